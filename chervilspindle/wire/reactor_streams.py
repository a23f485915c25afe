"""Byte streams of a Twisted reactor for framed protocols."""

from twisted.internet import defer
from twisted.internet import endpoints
from twisted.internet import protocol

from chervilspindle.wire import streams


class ReactorStreams:
    """Streams of a Twisted reactor.

    Parameters
    ----------
    reactor : IReactorTCP
    """

    def __init__(self, reactor):
        self.reactor = reactor

    def listen(self, address: str, factory) -> defer.Deferred:
        """Accept connections on ``IP:PORT`` with a protocol factory."""
        host, port = address.rsplit(":", 1)
        server = endpoints.TCP4ServerEndpoint(
            self.reactor, int(port), interface=host
        )
        return server.listen(factory)

    def connect(self, address: str, build_protocol) -> defer.Deferred:
        """Connect; fails with `ConnectError` or `OSError`."""
        host, port = address.rsplit(":", 1)
        client = endpoints.TCP4ClientEndpoint(
            self.reactor, host, int(port), timeout=streams.CONNECT_TIMEOUT_S
        )
        factory = protocol.Factory.forProtocol(build_protocol)
        factory.noisy = False
        return client.connect(factory)
