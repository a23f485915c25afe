"""Serves requests that `http_server` has read with a Klein application.

The request is complete and within the limits on callers when Klein sees it, so
nothing of `twisted.web` reads from a connection. In particular, a body that is
called a form is not parsed, which would cost many times its bytes.
"""

import io

from twisted.internet import address as internet_address
from twisted.internet import error as internet_error
from twisted.python import failure as failure_module
from twisted.web import server

ADDRESS = internet_address.IPv4Address("TCP", "0.0.0.0", 0)
# Set by the server itself, or of no use to callers.
DROPPED_HEADERS = frozenset(
    (b"connection", b"content-length", b"date", b"server")
)


class ExchangeChannel:
    """What a request of `twisted.web` needs of its connection.

    Parameters
    ----------
    site : twisted.web.server.Site
    exchange : http_server.Exchange
    """

    transport = None
    factory = None

    def __init__(self, site, exchange):
        self.site = site
        self.exchange = exchange
        self.status = 0
        self.headers = ()
        self.pieces = []

    def getPeer(self):
        """Return a placeholder: handlers don't use the caller's address."""
        return ADDRESS

    def getHost(self):
        """Return a placeholder for the address of this process."""
        return ADDRESS

    def isSecure(self) -> bool:
        """Return false: TLS ends at the balancer."""
        return False

    def writeHeaders(self, version, code, reason, headers):
        """Keep the status and the headers for the answer."""
        self.status = int(code)
        rows = [
            (name, value)
            for name, values in headers.getAllRawHeaders()
            for value in values
        ]
        if (b"connection", b"close") in ((n.lower(), v) for n, v in rows):
            self.exchange.close_after_answer()
        self.headers = tuple(
            row for row in rows if row[0].lower() not in DROPPED_HEADERS
        )

    def write(self, data: bytes):
        """Keep a piece of the body for the answer."""
        self.pieces.append(data)

    def requestDone(self, request):
        """Answer the caller."""
        self.exchange.respond(self.status, self.headers, b"".join(self.pieces))


def serve(site, exchange):
    """Run the application of a site on a request.

    Parameters
    ----------
    site : twisted.web.server.Site
    exchange : http_server.Exchange
    """
    received = exchange.request
    request = server.Request(ExchangeChannel(site, exchange))
    for name, value in received.headers:
        request.requestHeaders.addRawHeader(name, value)
    request.content = io.BytesIO(received.body)
    request.method = received.method
    request.uri = received.target
    request.path = received.target.partition(b"?")[0]
    request.args = {}
    # The version of which the body of an answer is not sent in chunks.
    request.clientproto = b"HTTP/1.0"

    def abandon():
        lost = failure_module.Failure(internet_error.ConnectionDone())
        request.connectionLost(lost)

    exchange.on_abandoned = abandon
    request.process()
