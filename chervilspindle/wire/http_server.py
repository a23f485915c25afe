"""HTTP/1.1 server of the data path, on asyncio protocols and httptools.

A connection serves one request at a time and answers pipelined requests in
order. A request reaches the handler only after it has been read completely, so
a connection that closes earlier has certainly caused no work.
"""

import collections
from collections import abc
import http
import logging
import socket
import struct
import typing

import httptools

LOGGER = logging.getLogger(__name__)

SWEEP_S = 0.5
FIRST_REQUEST_S = 0.5  # within which a new connection gets its request
MAX_PIPELINED = 16
MAX_HEADERS = 200
CHUNK_OVERHEAD_RATIO = 16  # framing of chunks with one byte each
NO_BODY_STATUSES = (204, 304)
# In Linux's `struct tcp_info`, the smoothed round trip time in us.
TCP_INFO_BYTES = 104
TCP_INFO_RTT_OFFSET = 68
REASON_BY_STATUS = {s.value: s.phrase.encode() for s in http.HTTPStatus}
HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    )
)

Headers = tuple[tuple[bytes, bytes], ...]


class Request(typing.NamedTuple):
    """One request that was read completely.

    Parameters
    ----------
    method, target : bytes
    headers : tuple of (name, value)
        Names are in lower case.
    body : bytes
    received_s : float
        Loop time at which the last byte was read.
    is_first : bool
        Whether it is the first request on its connection.
    round_trip_ms : float or None
        Network round trip to the caller when it connected, if known.
    account : str
        Name of the client account whose key it had; the key is then removed
        from the headers. Empty if there is none.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    received_s: float
    is_first: bool
    round_trip_ms: float | None = None
    account: str = ""

    def get_header(self, name: bytes) -> bytes | None:
        """Return the first value of a header, None without one."""
        for key, value in self.headers:
            if key == name:
                return value
        return None


class ServerLimits(typing.NamedTuple):
    """Size and time limits for requests; see `documents.Limits`."""

    header_bytes: int
    body_bytes: int
    header_ms: float
    idle_ms: float


class Exchange:
    """One request and the means to answer it.

    `on_abandoned` is called without arguments if the caller disconnects
    before the answer.
    """

    __slots__ = ("connection", "request", "on_abandoned", "answered")

    def __init__(self, connection, request: Request):
        self.connection = connection
        self.request = request
        self.on_abandoned: abc.Callable[[], None] | None = None
        self.answered = False

    def respond(self, status: int, headers: Headers = (), body: bytes = b""):
        """Send the answer; later calls have no effect."""
        if self.answered:
            return
        self.answered = True
        self.on_abandoned = None
        self.connection.finish(self, status, headers, body)


def read_round_trip_ms(sock) -> float | None:
    """Return the round trip time that the kernel measured, in ms.

    None where the system does not tell it.
    """
    option = getattr(socket, "TCP_INFO", None)
    if option is None or sock is None:
        return None
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, option, TCP_INFO_BYTES)
    except OSError:
        # The caller has already closed the connection.
        return None
    if len(info) < TCP_INFO_RTT_OFFSET + 4:
        return None
    (round_trip_us,) = struct.unpack_from("=I", info, TCP_INFO_RTT_OFFSET)
    return round_trip_us / 1000.0 if round_trip_us else None


class HttpServer:
    """All connections of one listening address.

    Parameters
    ----------
    loop : asyncio.AbstractEventLoop
    timers : TimerService
    name : str
        Name of its timer, and the `server` field of its log lines.
    handler : callable
        ``handler(exchange)``; may answer before or after it returns.
    read_limits : callable
        Returns the current `ServerLimits`.
    """

    def __init__(self, loop, timers, name, handler, read_limits):
        self.loop = loop
        self.timers = timers
        self.name = name
        self.handler = handler
        self.read_limits = read_limits
        self.connections = set()
        self.closing = False
        self.server = None

    async def listen(self, address: str, backlog: int):
        """Listen on ``IP:PORT``."""
        host, port = address.rsplit(":", 1)
        self.server = await self.loop.create_server(
            lambda: ServerConnection(self), host, int(port), backlog=backlog
        )
        self.timers.subscribe(self.name, SWEEP_S, self.sweep)

    def sweep(self):
        """Close connections that take too long or stay idle."""
        now = self.loop.time()
        limits = self.read_limits()
        for connection in list(self.connections):
            connection.check_time(now, limits)

    def count_busy(self) -> int:
        """Return the number of connections with a request in progress."""
        return sum(1 for c in self.connections if c.exchange is not None)

    def start_closing(self):
        """Close each connection after its next answer from now on."""
        self.closing = True

    def stop_listening(self):
        """Accept no further connections; open ones are served on."""
        if self.server is not None:
            self.server.close()

    def close_idle(self):
        """Close connections without a request in progress or half read.

        Those that are new are left.
        """
        for connection in list(self.connections):
            if connection.is_idle() and not connection.is_new():
                connection.transport.close()

    def count_new(self) -> int:
        """Return the number of connections that are about to be used."""
        return sum(1 for c in self.connections if c.is_new())

    def stop(self):
        """Close the listener and all connections."""
        self.timers.cancel(self.name)
        self.stop_listening()
        for connection in list(self.connections):
            connection.transport.close()


class ServerConnection:
    """One connection of a caller."""

    def __init__(self, server: HttpServer):
        self.server = server
        self.transport = None
        self.parser = httptools.HttpRequestParser(self)
        self.target = b""
        self.headers = []
        self.body = []
        self.header_bytes = 0
        self.body_bytes = 0
        self.received_bytes = 0  # since the end of the head
        self.in_header = True
        self.request_started_s = None
        self.idle_since_s = server.loop.time()
        self.request_count = 0
        self.waiting = collections.deque()
        self.exchange = None
        self.refused = False
        self.keep_alive = True

    def connection_made(self, transport):
        """Register a new connection."""
        self.transport = transport
        self.round_trip_ms = read_round_trip_ms(
            transport.get_extra_info("socket")
        )
        self.server.connections.add(self)

    def connection_lost(self, error):
        """Abandon the request in progress."""
        self.server.connections.discard(self)
        self.waiting.clear()
        exchange, self.exchange = self.exchange, None
        if exchange is not None and exchange.on_abandoned is not None:
            exchange.on_abandoned()

    def eof_received(self):
        """Close: a caller that ends its sending side has disconnected."""
        return False

    def pause_writing(self):
        """Do nothing: answers are bounded in size and number."""

    def resume_writing(self):
        """Do nothing."""

    def data_received(self, data: bytes):
        """Parse received bytes."""
        if self.refused:
            return
        if self.request_started_s is None:
            self.request_started_s = self.server.loop.time()
        try:
            if self.in_header:
                self.header_bytes += len(data)
            self.received_bytes += len(data)
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            # The request is served without the upgrade, as RFC 9110 allows;
            # what follows it may be of another protocol.
            self.refused = True
            return
        except httptools.HttpParserError as error:
            if not self.refused:
                self._refuse(400, str(error))
            return
        limit = self.server.read_limits().header_bytes
        if self.in_header and self.header_bytes > limit:
            self._refuse(431, "header is too large")
        elif not self.in_header and (
            self.received_bytes - self.body_bytes
            > limit + CHUNK_OVERHEAD_RATIO * self.body_bytes
        ):
            self._refuse(413, "framing of the body is too large")

    def on_message_begin(self):
        """Reset the state for a new request."""
        self.target = b""
        self.headers = []
        self.body = []
        self.body_bytes = 0
        self.in_header = True
        if self.request_started_s is None:
            self.request_started_s = self.server.loop.time()

    def on_url(self, url: bytes):
        """Append a piece of the request target."""
        self.target += url

    def on_header(self, name: bytes, value: bytes):
        """Append one header; trailers are ignored."""
        if self.in_header:
            self.headers.append((name.lower(), value))

    def on_headers_complete(self):
        """Check the header section before the body is read."""
        self.in_header = False
        self.received_bytes = 0
        size = len(self.target)
        expects = False
        codings = []
        for name, value in self.headers:
            size += len(name) + len(value) + 4
            if name == b"expect" and value.lower() == b"100-continue":
                expects = True
            elif name == b"transfer-encoding":
                codings.append(value.strip().lower())
        limits = self.server.read_limits()
        if size > limits.header_bytes or len(self.headers) > MAX_HEADERS:
            self._refuse(431, "header is too large")
        elif codings not in ([], [b"chunked"]):
            self._refuse(501, "transfer coding is not supported")
        elif expects and self.exchange is None:
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes):
        """Append a piece of the body."""
        self.body_bytes += len(body)
        if self.body_bytes > self.server.read_limits().body_bytes:
            self._refuse(413, "body is too large")
            return
        self.body.append(body)

    def on_message_complete(self):
        """Pass the request to the handler, or queue it."""
        if self.refused:
            return
        request = Request(
            self.parser.get_method(),
            self.target,
            tuple(self.headers),
            b"".join(self.body),
            self.server.loop.time(),
            self.request_count == 0,
            self.round_trip_ms,
        )
        self.request_count += 1
        self.in_header = True
        self.header_bytes = 0
        self.request_started_s = None
        keep = (
            self.parser.should_keep_alive()
            and not self.parser.should_upgrade()
        )
        self.waiting.append((request, keep))
        if len(self.waiting) > MAX_PIPELINED:
            self.transport.pause_reading()
        self._serve_next()

    def finish(self, exchange, status, headers, body):
        """Write the answer of the request in progress."""
        if self.exchange is not exchange:
            return
        self.exchange = None
        keep = self.keep_alive and not self.server.closing
        self._write(status, headers, body, exchange.request.method, keep)
        self.idle_since_s = self.server.loop.time()
        if not keep:
            self.transport.close()
            return
        if self.waiting:
            self.transport.resume_reading()
            self.server.loop.call_soon(self._serve_next)

    def is_idle(self) -> bool:
        """Return whether all that was read has been answered."""
        return self.exchange is None and self.request_started_s is None

    def is_new(self) -> bool:
        """Return whether its first request may be on its way."""
        if self.request_count:
            return False
        age_s = self.server.loop.time() - self.idle_since_s
        return age_s < FIRST_REQUEST_S

    def check_time(self, now: float, limits: ServerLimits):
        """Close the connection if its caller takes too long."""
        if self.exchange is not None or self.transport.is_closing():
            return
        if self.request_started_s is not None:
            if (now - self.request_started_s) * 1000.0 > limits.header_ms:
                self._refuse(408, "request was not sent in time")
        elif (now - self.idle_since_s) * 1000.0 > limits.idle_ms:
            self.transport.close()

    def _serve_next(self):
        if self.exchange is not None or not self.waiting:
            return
        if self.transport.is_closing():
            return
        request, self.keep_alive = self.waiting.popleft()
        exchange = self.exchange = Exchange(self, request)
        try:
            self.server.handler(exchange)
        except Exception:
            # If this propagated to the parser, it would be reported to the
            # caller as a malformed request.
            LOGGER.exception(
                "request handler raised an exception",
                extra={
                    "server": self.server.name,
                    "method": request.method.decode("latin-1"),
                    "target": request.target.decode("latin-1")[:200],
                    "body_bytes": len(request.body),
                },
            )
            exchange.respond(500)

    def _refuse(self, status, reason):
        """Reject an unreadable request, after the answer in progress.

        With an answer in progress, the connection closes after that answer;
        queued requests and the rejected one get no answer.
        """
        if self.refused:
            return
        self.refused = True
        LOGGER.warning(
            "request refused",
            extra={
                "server": self.server.name,
                "status": status,
                "why": reason,
            },
        )
        if self.exchange is None and self.waiting:
            # This answer would be taken for that of the queued request.
            self.waiting.clear()
            self.transport.close()
        elif self.exchange is None:
            self._write(status, (), reason.encode(), b"GET", False)
            self.transport.close()
        else:
            # The connection closes after the answer in progress.
            self.keep_alive = False
            self.waiting.clear()

    def _write(self, status, headers, body, method, keep):
        if self.transport.is_closing():
            return
        reason = REASON_BY_STATUS.get(status, b"Status")
        parts = [b"HTTP/1.1 %d %s\r\n" % (status, reason)]
        for name, value in headers:
            parts.append(b"%s: %s\r\n" % (name, value))
        has_body = method != b"HEAD" and status not in NO_BODY_STATUSES
        if has_body:
            parts.append(b"Content-Length: %d\r\n" % len(body))
        if not keep:
            parts.append(b"Connection: close\r\n")
        parts.append(b"\r\n")
        if has_body:
            parts.append(body)
        self.transport.write(b"".join(parts))
