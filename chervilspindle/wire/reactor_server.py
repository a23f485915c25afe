"""Connections of callers over a Twisted reactor, for `http_server`.

Processes of the product's own deployments run on a plain reactor. This module
gives `http_server.ServerConnection` the transport and the loop that it needs,
so that the same limits on callers hold there.
"""

import collections

from twisted.internet import defer
from twisted.internet import endpoints
from twisted.internet import interfaces
from twisted.internet import protocol
import zope.interface

from chervilspindle.wire import http_server

WRITE_BYTES = 64 * 1024  # given to the reactor's transport at once


class ReactorLoop:
    """Methods of an asyncio loop that `http_server` calls.

    Parameters
    ----------
    reactor : IReactorTime
    """

    def __init__(self, reactor):
        self.reactor = reactor

    def time(self) -> float:
        """Return the time of the reactor in seconds."""
        return self.reactor.seconds()

    def call_soon(self, callback, *args):
        """Call `callback` in the next iteration."""
        return self.reactor.callLater(0, callback, *args)

    def call_later(self, delay, callback, *args):
        """Call `callback` after `delay` seconds."""
        return self.reactor.callLater(delay, callback, *args)


def listen(reactor, server, address: str, backlog: int) -> defer.Deferred:
    """Accept connections of an `http_server.HttpServer` on ``IP:PORT``.

    Returns
    -------
    Deferred of IListeningPort
    """
    host, port = address.rsplit(":", 1)
    endpoint = endpoints.TCP4ServerEndpoint(
        reactor, int(port), interface=host, backlog=backlog
    )
    listening = endpoint.listen(Factory(server))
    server.start_sweeps()
    return listening


class Factory(protocol.Factory):
    """Builds the connections of a server.

    Parameters
    ----------
    server : http_server.HttpServer
    """

    noisy = False

    def __init__(self, server):
        self.server = server

    def buildProtocol(self, addr):
        """Build the protocol of an accepted connection."""
        return Connection(http_server.ServerConnection(self.server))


class Connection(protocol.Protocol):
    """Passes the events of a connection to a `ServerConnection`."""

    def __init__(self, inner):
        self.inner = inner
        self.adapter = None

    def connectionMade(self):
        """Register the connection."""
        self.adapter = TransportAdapter(self.transport, self.inner)
        self.inner.connection_made(self.adapter)

    def dataReceived(self, data: bytes):
        """Parse received bytes."""
        self.inner.data_received(data)

    def connectionLost(self, reason=protocol.connectionDone):
        """Abandon the request in progress."""
        self.adapter.discard()
        self.inner.connection_lost(reason.value)


@zope.interface.implementer(interfaces.IPullProducer)
class TransportAdapter:
    """Methods of an asyncio transport, over a Twisted one.

    Bytes are passed on only as the caller reads them: the transport asks for
    more once it has sent what it got. So their number is known.

    Parameters
    ----------
    transport : ITCPTransport
    inner : http_server.ServerConnection
    """

    def __init__(self, transport, inner):
        self.transport = transport
        self.inner = inner
        self.unsent = collections.deque()  # memoryviews
        self.unsent_bytes = 0  # with those that the transport has
        self.passed_bytes = 0  # that the transport has not sent
        self.is_writing = False
        self.is_paused = False
        self.is_closed = False
        set_no_delay = getattr(transport, "setTcpNoDelay", None)
        if set_no_delay is not None:
            set_no_delay(True)

    def get_extra_info(self, name: str):
        """Return the socket if that is asked for and known."""
        get_handle = getattr(self.transport, "getHandle", None)
        if name != "socket" or get_handle is None:
            return None
        return get_handle()

    def get_write_buffer_size(self) -> int:
        """Return the number of bytes that were not sent."""
        return self.unsent_bytes

    def write(self, data: bytes):
        """Send data, as the caller reads it."""
        if self.is_closed or not data:
            return
        self.unsent.append(memoryview(data))
        self.unsent_bytes += len(data)
        if not self.is_writing:
            self.is_writing = True
            self.transport.registerProducer(self, False)
        if self.unsent_bytes > WRITE_BYTES and not self.is_paused:
            self.is_paused = True
            self.inner.pause_writing()

    def resumeProducing(self):
        """Pass on more: all that was passed on before has been sent."""
        self.unsent_bytes -= self.passed_bytes
        self.passed_bytes = 0
        if self.unsent:
            piece = self.unsent[0][:WRITE_BYTES]
            rest = self.unsent[0][WRITE_BYTES:]
            if rest:
                self.unsent[0] = rest
            else:
                self.unsent.popleft()
            self.passed_bytes = len(piece)
            self.transport.write(bytes(piece))
            return
        self.is_writing = False
        self.transport.unregisterProducer()
        if self.is_closed:
            self.transport.loseConnection()
        elif self.is_paused:
            self.is_paused = False
            self.inner.resume_writing()

    def stopProducing(self):
        """Discard what is unsent: the connection is lost."""
        self.discard()

    def discard(self):
        """Discard what is unsent."""
        self.is_closed = True
        self.unsent.clear()
        self.unsent_bytes = self.passed_bytes = 0

    def close(self):
        """Close once all is sent."""
        if self.is_closed:
            return
        self.is_closed = True
        if not self.is_writing:
            self.transport.loseConnection()

    def abort(self):
        """Close at once."""
        self.discard()
        self.transport.abortConnection()

    def is_closing(self) -> bool:
        """Tell whether nothing more can be written."""
        return self.is_closed

    def pause_reading(self):
        """Receive nothing until `resume_reading`."""
        self.transport.pauseProducing()

    def resume_reading(self):
        """Receive again."""
        if not self.is_closed:
            self.transport.resumeProducing()
