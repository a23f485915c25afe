"""Reads the requests of one connection from its bytes, within limits.

Lines and bytes are counted as they arrive, so that a request beyond a limit
is refused before the rest of it is kept.
"""

import typing

import httptools

from chervilspindle.wire import caller_limits

# Of a header line: the colon and the line end; spaces are optional.
MIN_LINE_OVERHEAD_BYTES = 3
# Method, version and line ends, which the limit of the head does not count.
MAX_START_LINE_OVERHEAD_BYTES = 64
CHUNK_OVERHEAD_RATIO = 16  # framing of chunks with one byte each


class ReadRequest(typing.NamedTuple):
    """A request that was read completely.

    Parameters
    ----------
    method, target : bytes
    headers : tuple of (name, value)
        Names are in lower case.
    body : bytes
    keep_alive : bool
        Whether the connection may be used for further requests.
    cost_bytes : int
        Memory that it takes.
    """

    method: bytes
    target: bytes
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    keep_alive: bool
    cost_bytes: int


class RefusedError(Exception):
    """Stops the parser after a refusal."""


class RequestReader:
    """Parses the bytes of one connection.

    Parameters
    ----------
    connection
        Has the methods ``begin_request()``, ``send_continue()``,
        ``complete_request(read)`` and ``refuse(status, reason)``, and the
        attribute ``refused``.
    read_limits : callable
        Returns the current `http_server.ServerLimits`.

    Attributes
    ----------
    body : bytes or bytearray
        What has arrived of the body; one buffer from its second piece on.
    line_bytes : int
        Memory of the target and the header lines so far.
    dry_bytes : int
        Received in a row without a byte of the body: trailers, extensions.
    calls : int
        Calls of the parser, as a measure of work; the connection resets it.
    """

    def __init__(self, connection, read_limits):
        self.connection = connection
        self.read_limits = read_limits
        self.parser = httptools.HttpRequestParser(self)
        self.target = b""
        self.headers = []
        self.body = b""
        self.header_bytes = 0
        self.body_bytes = 0
        self.received_bytes = 0  # since the end of the head
        self.line_bytes = 0
        self.dry_bytes = 0
        self.calls = 0
        self.in_header = True

    def parse(self, piece):
        """Parse up to `caller_limits.PIECE_BYTES` and check the limits.

        Raises
        ------
        HttpParserUpgrade
        """
        body_bytes = self.body_bytes
        try:
            if self.in_header:
                self.header_bytes += len(piece)
            self.received_bytes += len(piece)
            self.parser.feed_data(piece)
        except httptools.HttpParserError as error:
            self.connection.refuse(400, str(error))
            return
        limit = self.read_limits().header_bytes
        if self.in_header:
            if self.header_bytes > limit + MAX_START_LINE_OVERHEAD_BYTES:
                self.connection.refuse(431, "header is too large")
            return
        if self.body_bytes == body_bytes:
            self.dry_bytes += len(piece)
        else:
            self.dry_bytes = 0
        if self.dry_bytes > limit or (
            self.received_bytes - self.body_bytes
            > limit + CHUNK_OVERHEAD_RATIO * self.body_bytes
        ):
            self.connection.refuse(413, "framing of the body is too large")

    def get_held_bytes(self) -> int:
        """Return the memory of the request that is being read."""
        head = self.line_bytes
        if self.in_header and self.header_bytes > head:
            head = self.header_bytes
        return head + len(self.body) + self.dry_bytes

    def drop(self):
        """Discard what is held of a request."""
        self.target = b""
        self.headers = []
        self.body = b""
        self.header_bytes = 0
        self.body_bytes = 0
        self.line_bytes = 0
        self.dry_bytes = 0
        self.in_header = True

    def on_message_begin(self):
        """Start a request; the state was reset at the end of the last."""
        self.connection.begin_request()

    def on_url(self, url: bytes):
        """Append a piece of the request target."""
        self.target += url
        self.line_bytes += len(url)

    def on_header(self, name: bytes, value: bytes):
        """Append one header; trailers are ignored."""
        self.calls += 1
        if not self.in_header:
            return
        self.headers.append((name.lower(), value))
        self.line_bytes += len(name) + len(value) + caller_limits.LINE_BYTES

    def on_headers_complete(self):
        """Check the header section before the body is read."""
        self.in_header = False
        self.received_bytes = 0
        size = len(self.target)
        expects = False
        codings = []
        length = b""
        for name, value in self.headers:
            size += len(name) + len(value) + MIN_LINE_OVERHEAD_BYTES
            if name == b"expect" and value.lower() == b"100-continue":
                expects = True
            elif name == b"transfer-encoding":
                codings.append(value.strip().lower())
            elif name == b"content-length":
                length = value
        limits = self.read_limits()
        if size > limits.header_bytes:
            self._refuse(431, "header is too large")
        elif codings not in ([], [b"chunked"]):
            self._refuse(501, "transfer coding is not supported")
        # Unlike int, float takes any number of digits.
        elif length.isdigit() and float(length) > limits.body_bytes:
            self._refuse(413, "body is too large")
        elif expects:
            self.connection.send_continue()

    def on_body(self, body: bytes):
        """Append a piece of the body."""
        self.calls += 1
        self.body_bytes += len(body)
        if self.body_bytes > self.read_limits().body_bytes:
            self._refuse(413, "body is too large")
        held = self.body
        if not held:
            self.body = body
        elif isinstance(held, bytearray):
            held += body
        else:
            self.body = bytearray(held)
            self.body += body

    def on_message_complete(self):
        """Pass the request on."""
        if self.connection.refused:
            return
        read = ReadRequest(
            self.parser.get_method(),
            self.target,
            tuple(self.headers),
            bytes(self.body),
            self.parser.should_keep_alive()
            and not self.parser.should_upgrade(),
            self.line_bytes + len(self.body),
        )
        self.calls += caller_limits.REQUEST_CALLS
        self.drop()
        self.connection.complete_request(read)

    def _refuse(self, status, reason):
        """Refuse the request from a call of the parser, and stop that."""
        self.connection.refuse(status, reason)
        raise RefusedError()
