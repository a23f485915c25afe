"""HTTP/1.1 server of the data path, on asyncio protocols and httptools.

A connection serves one request at a time and answers pipelined requests in
order. A request reaches the handler only after it has been read completely, so
a connection that closes earlier has certainly caused no work.
"""

import collections
from collections import abc
import http
import logging
import math
import socket
import struct
import typing

import httptools

from chervilspindle.wire import caller_limits
from chervilspindle.wire import request_reader

LOGGER = logging.getLogger(__name__)

SWEEP_S = 0.5
MAX_PIPELINED = 16
# Between turns while several connections wait for theirs; leaves time for
# requests that need none.
TURN_PAUSE_S = 0.001
RETRY_AFTER = (b"Retry-After", b"1")
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

    def close_after_answer(self):
        """Close the connection once the answer is sent."""
        self.connection.keep_alive = False

    def try_hold(self, added_bytes: int) -> bool:
        """Count more memory until the answer; false if it does not fit."""
        return self.connection.try_hold_running(added_bytes)


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


def build_plain_refusal(status: int, reason: str):
    """Return status, headers and body of a refusal, as plain text."""
    headers = (RETRY_AFTER,) if status == 503 else ()
    return status, headers, reason.encode()


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
    budget : caller_limits.CallerBudget or None
        Shared by all servers of the process; None for no limit.
    max_connections : float
        Beyond it, connections without a request in progress are closed.
    build_refusal : callable
        ``build_refusal(status, reason)`` returns the status, headers and body
        of the answer to a request that is refused unread.
    """

    def __init__(
        self,
        loop,
        timers,
        name,
        handler,
        read_limits,
        budget=None,
        max_connections=math.inf,
        build_refusal=build_plain_refusal,
    ):
        self.loop = loop
        self.timers = timers
        self.name = name
        self.handler = handler
        self.read_limits = read_limits
        self.budget = budget or caller_limits.build_unlimited(loop.time)
        self.max_connections = max_connections
        self.build_refusal = build_refusal
        self.connections = set()
        self.turns = collections.deque()  # connections with bytes to parse
        self.turn_is_due = False
        # The connection that needs many calls of the parser for its bytes; a
        # second one waits for turns.
        self.busiest = None
        self.closing = False
        self.server = None

    async def listen(self, address: str, backlog: int):
        """Listen on ``IP:PORT``."""
        host, port = address.rsplit(":", 1)
        self.server = await self.loop.create_server(
            lambda: ServerConnection(self), host, int(port), backlog=backlog
        )
        self.start_sweeps()

    def start_sweeps(self):
        """Close connections from now on that take too long or stay idle."""
        self.timers.subscribe(self.name, SWEEP_S, self.sweep)

    def sweep(self):
        """Close connections that take too long or stay idle."""
        now = self.loop.time()
        limits = self.read_limits()
        for connection in list(self.connections):
            connection.check_time(now, limits)

    def add(self, connection):
        """Register a connection; closes others if there are too many."""
        self.connections.add(connection)
        self.budget.hold(connection, caller_limits.CONNECTION_BYTES)
        if len(self.connections) <= self.max_connections:
            return
        now = self.loop.time()
        surplus = len(self.connections) - self.max_connections
        share = self.max_connections * caller_limits.CLOSED_SHARE
        chosen = caller_limits.choose_closed(
            (c.describe_idle(now) for c in self.connections),
            max(surplus, int(share)),
        )
        for victim in chosen:
            self.connections.discard(victim)
            victim.drop(caller_limits.CONNECTIONS_REASON)
        LOGGER.warning(
            "connections closed",
            extra={
                "server": self.name,
                "closed": len(chosen),
                "limit": self.max_connections,
            },
        )

    def queue_turn(self, connection):
        """Let a connection parse more once others had their turn."""
        self.turns.append(connection)
        if not self.turn_is_due:
            self.turn_is_due = True
            self.loop.call_soon(self._run_turn)

    def _run_turn(self):
        # Connections that were closed meanwhile take no turn.
        while self.turns and not self.turns.popleft().take_turn():
            pass
        if len(self.turns) > 1:
            self.loop.call_later(TURN_PAUSE_S, self._run_turn)
        elif self.turns:
            self.loop.call_soon(self._run_turn)
        else:
            self.turn_is_due = False

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
    """One connection of a caller.

    Attributes
    ----------
    backlog : bytes
        Received but not parsed, from `backlog_start` on.
    waiting_bytes, running_bytes, unread_bytes : int
        Memory of the requests that wait and of the one in progress, and
        answers that the caller has not read.
    """

    def __init__(self, server: HttpServer):
        self.server = server
        self.transport = None
        self.reader = request_reader.RequestReader(self, server.read_limits)
        self.backlog = b""
        self.backlog_start = 0
        self.waiting_bytes = 0
        self.running_bytes = 0
        self.unread_bytes = 0
        self.request_started_s = None
        self.idle_since_s = server.loop.time()
        self.unread_since_s = None
        self.closing_since_s = None
        self.request_count = 0
        self.waiting = collections.deque()
        self.exchange = None
        self.refused = False
        self.keep_alive = True
        self.is_held = False  # more than a small request
        self.is_parsing = False
        self.is_queued = False
        self.is_admitting = False
        self.reading_paused = False

    def connection_made(self, transport):
        """Register a new connection."""
        self.transport = transport
        self.round_trip_ms = read_round_trip_ms(
            transport.get_extra_info("socket")
        )
        self.server.add(self)

    def connection_lost(self, error):
        """Abandon the request in progress."""
        self.server.connections.discard(self)
        self.server.budget.release(self)
        if self.server.busiest is self:
            self.server.busiest = None
        self.refused = True
        self.waiting.clear()
        self._drop_partial()
        exchange, self.exchange = self.exchange, None
        if exchange is not None and exchange.on_abandoned is not None:
            exchange.on_abandoned()

    def eof_received(self):
        """Close: a caller that ends its sending side has disconnected."""
        return False

    def pause_writing(self):
        """Answer no further request until the caller has read."""
        self.unread_since_s = self.server.loop.time()

    def resume_writing(self):
        """Answer the next request."""
        self.unread_since_s = None
        self.unread_bytes = 0
        self._update_held()
        if self.waiting:
            self.server.loop.call_soon(self._serve_next)
        self._read_on()

    def data_received(self, data: bytes):
        """Parse received bytes."""
        if self.refused:
            return
        if self.request_started_s is None:
            self.request_started_s = self.server.loop.time()
        if (
            len(data) <= caller_limits.PIECE_BYTES
            and not self.backlog
            and self.reader.calls <= caller_limits.MAX_TURN_CALLS
            and len(self.waiting) <= MAX_PIPELINED
        ):
            self._parse(data)
        else:
            self.backlog = self.backlog[self.backlog_start :] + data
            self.backlog_start = 0
            if self._needs_turn():
                self._wait_for_turn()
            else:
                self._parse_backlog()
        if (
            self.is_held
            or self.backlog
            or self.request_started_s is not None
            and self.reader.get_held_bytes() > caller_limits.SMALL_BYTES
        ):
            self._update_held()

    def take_turn(self) -> bool:
        """Parse some of the backlog; return whether there was any."""
        self.is_queued = False
        if self.refused or self.transport.is_closing() or not self.backlog:
            return False
        self._parse_backlog()
        self._update_held()
        return True

    def _parse_backlog(self):
        """Parse until all is parsed or others have their turn."""
        if self.is_parsing:
            return
        self.is_parsing = True
        calls = self.reader.calls
        view = memoryview(self.backlog)
        while self.backlog_start < len(view):
            if self.reader.calls - calls > caller_limits.MAX_TURN_CALLS:
                self._wait_for_turn()
                break
            if len(self.waiting) > MAX_PIPELINED:
                self._pause_reading()
                break
            end = self.backlog_start + caller_limits.PIECE_BYTES
            piece = view[self.backlog_start : end]
            self.backlog_start = end
            self._parse(piece)
            if self.refused:
                break
        self.is_parsing = False
        if self.refused or self.backlog_start >= len(self.backlog):
            self.backlog = b""
            self.backlog_start = 0
            self._read_on()

    def _needs_turn(self) -> bool:
        """Tell whether others need as many calls of the parser as this."""
        if self.reader.calls <= caller_limits.MAX_TURN_CALLS:
            return False
        server = self.server
        if server.busiest is None:
            server.busiest = self
        return server.busiest is not self

    def _wait_for_turn(self):
        self._pause_reading()
        if not self.is_queued:
            self.is_queued = True
            self.server.queue_turn(self)

    def _pause_reading(self):
        if not self.reading_paused and not self.transport.is_closing():
            self.reading_paused = True
            self.transport.pause_reading()

    def _read_on(self):
        """Parse or read more, unless enough requests wait already."""
        if self.is_parsing or self.is_queued or self.transport.is_closing():
            return
        if len(self.waiting) > MAX_PIPELINED:
            return
        if self.backlog and not self.refused:
            self._wait_for_turn()
        elif self.reading_paused:
            self.reading_paused = False
            self.transport.resume_reading()

    def _parse(self, piece):
        try:
            self.reader.parse(piece)
        except httptools.HttpParserUpgrade:
            # The request is served without the upgrade, as RFC 9110 allows;
            # what follows it may be of another protocol.
            self.refused = True

    def begin_request(self):
        """Note that the first bytes of a request were parsed."""
        if self.exchange is None and not self.waiting and not self.backlog:
            self.reader.calls = 0
            if self.server.busiest is self:
                self.server.busiest = None
        if self.request_started_s is None:
            self.request_started_s = self.server.loop.time()

    def send_continue(self):
        """Ask for the body of a request, unless an answer is due before."""
        if self.exchange is None:
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def complete_request(self, read: request_reader.ReadRequest):
        """Pass a request to the handler, or queue it."""
        request = Request(
            read.method,
            read.target,
            read.headers,
            read.body,
            self.server.loop.time(),
            self.request_count == 0,
            self.round_trip_ms,
        )
        self.request_count += 1
        self.request_started_s = None
        self.waiting.append((request, read.keep_alive, read.cost_bytes))
        self.waiting_bytes += read.cost_bytes
        if len(self.waiting) > MAX_PIPELINED:
            self._pause_reading()
        self._serve_next()

    def finish(self, exchange, status, headers, body):
        """Write the answer of the request in progress."""
        if self.exchange is not exchange:
            return
        self.exchange = None
        self.running_bytes = 0
        keep = self.keep_alive and not self.server.closing
        self._write(status, headers, body, exchange.request.method, keep)
        self.idle_since_s = self.server.loop.time()
        if self.unread_since_s is not None:
            self.unread_bytes = self.transport.get_write_buffer_size()
            self._update_held()
        elif self.is_held:
            self._update_held()
        if not keep:
            self.transport.close()
            return
        if self.waiting:
            self.server.loop.call_soon(self._serve_next)
        if self.reading_paused:
            self._read_on()

    def try_hold_running(self, added_bytes: int) -> bool:
        """Count more memory of the request in progress, if it fits."""
        if self not in self.server.connections:
            return False
        budget = self.server.budget
        held_bytes = budget.held_by_connection.get(self, 0)
        # What is in progress is not given up for its own growth.
        self.running_bytes += added_bytes
        fits = budget.try_hold(self, held_bytes + added_bytes)
        if fits:
            self.is_held = True
        else:
            self.running_bytes -= added_bytes
        return fits

    def describe_held(self, held_bytes: int, now: float):
        """Return what the budget has to know of the connection."""
        since_s = self.request_started_s
        if self.unread_since_s is not None:
            since_s = self.unread_since_s
        if since_s is None:
            since_s = self.idle_since_s
        is_running = self.exchange is not None
        if is_running:
            held_bytes -= self.running_bytes + caller_limits.CONNECTION_BYTES
            is_running = held_bytes <= caller_limits.SMALL_BYTES
        return caller_limits.Held(
            self,
            held_bytes,
            now - since_s,
            is_running,
            self.refused or self.transport.is_closing(),
        )

    def describe_idle(self, now: float):
        """Return what the limit of connections has to know of it."""
        return caller_limits.Idle(
            self,
            self.request_count,
            now - self.idle_since_s,
            self.exchange is not None or bool(self.waiting),
        )

    def give_up(self, reason: str):
        """Release what is held beside the request in progress."""
        has_begun = self.request_started_s is not None or self.waiting
        unread = self.exchange is None and self.unread_since_s is not None
        if self.transport.is_closing() or unread:
            self.drop(reason)
        elif self.is_admitting or has_begun or self.exchange is not None:
            self.refuse(503, "too much is held for callers", reason)
        else:
            self.drop(reason)

    def drop(self, reason: str):
        """Close at once, without an answer."""
        self.server.budget.count_refused(reason)
        self.refused = True
        self.waiting.clear()
        self._drop_partial()
        self.server.budget.release(self)
        self.transport.abort()

    def _drop_partial(self):
        self.reader.drop()
        self.backlog = b""
        self.backlog_start = 0
        self.waiting_bytes = 0

    def _update_held(self):
        """Tell the budget what is held for the connection."""
        if self not in self.server.connections:
            return
        held = (
            self.reader.get_held_bytes()
            + len(self.backlog)
            + self.waiting_bytes
            + self.running_bytes
            + self.unread_bytes
        )
        self.is_held = held > caller_limits.SMALL_BYTES
        if not self.is_held:
            held = 0
        self.server.budget.hold(self, caller_limits.CONNECTION_BYTES + held)

    def is_idle(self) -> bool:
        """Return whether all that was read has been answered."""
        return (
            self.exchange is None
            and self.request_started_s is None
            and not self.backlog
        )

    def is_new(self) -> bool:
        """Return whether its first request may be on its way."""
        if self.request_count:
            return False
        age_s = self.server.loop.time() - self.idle_since_s
        return age_s < caller_limits.FIRST_REQUEST_S

    def check_time(self, now: float, limits: ServerLimits):
        """Close the connection if its caller takes too long."""
        if self.transport.is_closing():
            self._check_closing(now, limits)
            return
        if self.exchange is not None:
            return
        if self.unread_since_s is not None:
            self._check_unread(now, limits)
        elif self.request_started_s is not None:
            if (now - self.request_started_s) * 1000.0 > limits.header_ms:
                self.refuse(408, "request was not sent in time")
        elif (now - self.idle_since_s) * 1000.0 > limits.idle_ms:
            self.transport.close()

    def _check_closing(self, now, limits):
        """Abort a connection that does not take the end of its answer."""
        if self.closing_since_s is None:
            self.closing_since_s = now
        elif (now - self.closing_since_s) * 1000.0 > limits.idle_ms:
            self.drop(caller_limits.UNREAD_REASON)

    def _check_unread(self, now, limits):
        """Abort a connection whose caller has stopped reading answers."""
        unread_bytes = self.transport.get_write_buffer_size()
        if unread_bytes < self.unread_bytes:
            self.unread_since_s = now
            self.unread_bytes = unread_bytes
            self._update_held()
        elif (now - self.unread_since_s) * 1000.0 > limits.idle_ms:
            self.drop(caller_limits.UNREAD_REASON)

    def _serve_next(self):
        if self.exchange is not None or not self.waiting:
            return
        if self.unread_since_s is not None or self.transport.is_closing():
            return
        request, keep, cost = self.waiting.popleft()
        self.waiting_bytes -= cost
        copies = caller_limits.RUNNING_COPIES - 1
        self.running_bytes = cost + copies * len(request.body)
        if self.running_bytes > caller_limits.SMALL_BYTES:
            self.is_admitting = True
            self._update_held()
            self.is_admitting = False
            if self.refused:
                return
        self.keep_alive = keep
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

    def refuse(self, status, reason, label=""):
        """Reject an unreadable request, after the answer in progress.

        With an answer in progress, the connection closes after that answer;
        queued requests and the rejected one get no answer. Counted under
        `label`, by default the status.
        """
        if self.refused:
            return
        self.refused = True
        self.server.budget.count_refused(label or str(status))
        LOGGER.warning(
            "request refused",
            extra={
                "server": self.server.name,
                "status": status,
                "why": reason,
            },
        )
        has_earlier = bool(self.waiting) and not self.is_admitting
        self.waiting.clear()
        self._drop_partial()
        if self.exchange is not None:
            # The connection closes after the answer in progress.
            self.keep_alive = False
        else:
            self.running_bytes = 0
            if not has_earlier:
                # It would be taken for the answer to a queued request.
                answer = self.server.build_refusal(status, reason)
                self._write(*answer, b"GET", False)
            self.transport.close()
        self._update_held()

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
