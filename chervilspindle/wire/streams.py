"""Byte streams of an asyncio loop for framed Twisted protocols.

On a uvloop loop, Twisted's sockets use poll handles, which uvloop closes when
a socket fails; from then on each write raises and the connection is never
reported as lost. Processes on uvloop therefore run the same protocols on the
loop's own transports; all other processes use `reactor_streams`.
"""

import asyncio

from twisted.internet import defer
from twisted.internet import error as internet_error
from twisted.python import failure as failure_module

CONNECT_TIMEOUT_S = 0.5  # several round trips between regions


class LoopStreams:
    """Streams of an asyncio loop, for Twisted protocols.

    Parameters
    ----------
    loop : asyncio.AbstractEventLoop
    """

    def __init__(self, loop):
        self.loop = loop

    def listen(self, address: str, factory) -> defer.Deferred:
        """Accept connections on ``IP:PORT`` with a protocol factory."""
        host, port = address.rsplit(":", 1)
        starting = self.loop.create_server(
            lambda: _Stream(factory.buildProtocol(None)), host, int(port)
        )
        deferred = defer.Deferred.fromFuture(self.loop.create_task(starting))
        return deferred.addCallback(_Port)

    def connect(self, address: str, build_protocol) -> defer.Deferred:
        """Connect; fails with `ConnectError` or `OSError`."""
        host, port = address.rsplit(":", 1)
        opening = self._open(host, int(port), build_protocol)
        return defer.Deferred.fromFuture(self.loop.create_task(opening))

    async def _open(self, host, port, build_protocol):
        streams = []

        def build_stream():
            streams.append(_Stream(build_protocol()))
            return streams[-1]

        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await self.loop.create_connection(build_stream, host, port)
        except TimeoutError as error:
            lost = internet_error.TimeoutError()
            for stream in streams:
                stream.abandon(lost)
            raise lost from error


class _Port:
    """A listening socket."""

    def __init__(self, server):
        self.server = server

    def stopListening(self):
        self.server.close()


class _Stream(asyncio.Protocol):
    """Adapts an asyncio transport to a Twisted protocol."""

    def __init__(self, inner):
        self.inner = inner
        self.transport = None
        self.is_lost = False

    def connection_made(self, transport):
        self.transport = transport
        self.inner.makeConnection(self)

    def data_received(self, data):
        self.inner.dataReceived(data)

    def abandon(self, error):
        """Report a connection as lost that was made too late.

        If `create_connection` is cancelled after it has called
        `connection_made`, uvloop closes the socket and tells no one.
        """
        if self.transport is not None:
            self.transport.abort()
            self.connection_lost(error)

    def connection_lost(self, error):
        if self.is_lost:
            return
        self.is_lost = True
        reason = error or internet_error.ConnectionDone()
        self.inner.connectionLost(failure_module.Failure(reason))

    # Methods of a Twisted transport that framed protocols call.

    def write(self, data):
        # uvloop raises on a write after a connection is lost but before
        # connection_lost is called.
        if not self.is_lost and not self.transport.is_closing():
            self.transport.write(data)

    def loseConnection(self):
        self.transport.close()

    def abortConnection(self):
        self.transport.abort()

    def setTcpNoDelay(self, enabled):
        """Do nothing: asyncio sets TCP_NODELAY on its TCP transports."""
