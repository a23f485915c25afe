"""HTTP/1.1 client of the data path: persistent connections to endpoints.

A connection carries one request at a time. Bytes that do not belong to the
request in progress close the connection, so that they cannot be mistaken for
the answer to another request.
"""

import asyncio
import collections
from collections import abc
import enum
import math
import time
import typing

import httptools

from chervilspindle.core import endpoint_checks
from chervilspindle.core import logs
from chervilspindle.wire import http_statuses
from chervilspindle.wire import receive_limits

CONNECT_TIMEOUT_S = 0.5  # several round trips within a region
DEFAULT_IDLE_LIMIT_S = 4.0  # for endpoints that state no keep-alive timeout
MAX_IDLE_LIMIT_S = 3600.0
IDLE_MARGIN_S = 0.5  # stops reuse before the endpoint closes the connection
# Longest idle time of a connection that a request which must run at most once
# may reuse; after longer, the endpoint may be closing it.
SINGLE_RUN_IDLE_LIMIT_S = 1.0
MAX_WAITING = 64  # requests of this VM that wait for a connection
# With less time left, the endpoint's answer would miss the deadline.
MIN_REMAINING_S = 0.05


class Ending(enum.Enum):
    """How an exchange with an endpoint ended."""

    ANSWERED = "answered"
    NOT_SENT = "not_sent"  # certainly never reached the endpoint
    WITHDRAWN = "withdrawn"  # cancelled before it was sent
    BROKEN = "broken"  # connection lost after sending
    INVALID = "invalid"  # received bytes are not an answer to the request
    TIMED_OUT = "timed_out"
    CANCELLED = "cancelled"
    HELD_BACK = "held_back"  # the endpoint takes no request now
    CUT_OFF = "cut_off"  # the VM asked to send it reaches no endpoint
    RELAY_LOST = "relay_lost"  # no word from the VM asked to send it


class Answer(typing.NamedTuple):
    """An endpoint's answer.

    Parameters
    ----------
    ending : Ending
    status : int
        0 unless `ending` is ANSWERED.
    headers : sequence of (name, value)
        Names are in lower case.
    value_by_name : dict of bytes to bytes
        First value of each header.
    body : bytes
    """

    ending: Ending
    status: int = 0
    headers: typing.Sequence = ()
    value_by_name: dict[bytes, bytes] = {}
    body: bytes = b""

    def get_header(self, name: bytes) -> bytes | None:
        """Return the first value of a header, None without one."""
        return self.value_by_name.get(name)


class Call:
    """One request to one endpoint, until its answer.

    Parameters
    ----------
    data : bytes
        The encoded request, without what `body` holds of it.
    request_id : bytes
        Echoed by the endpoint.
    deadline_s : float
        Loop time at which the request is aborted.
    on_end : callable
        ``on_end(call, answer)``, called once.
    reusable : bool
        Whether it may be sent on any idle connection, even if the endpoint
        may be closing that.
    max_body_bytes : int
        Largest accepted body of the answer.
    body : bytes
        Sent after `data`; calls with the same body share it.

    Attributes
    ----------
    send_by_s : float
        Loop time after which it is no longer sent.
    """

    __slots__ = (
        "send_by_s",
        "data",
        "request_id",
        "deadline_s",
        "on_end",
        "reusable",
        "max_body_bytes",
        "body",
        "pool",
        "connection",
        "timer",
        "sent_s",
        "started_s",
        "ended",
        "context",
    )

    def __init__(
        self,
        data,
        request_id,
        deadline_s,
        on_end,
        reusable=True,
        max_body_bytes=receive_limits.MAX_BODY_BYTES,
        body=b"",
    ):
        self.data = data
        self.request_id = request_id
        self.deadline_s = deadline_s
        self.on_end: abc.Callable | None = on_end
        self.reusable = reusable
        self.max_body_bytes = max_body_bytes
        self.body = body
        self.send_by_s = math.inf
        self.pool = None
        self.connection = None
        self.timer = None
        self.sent_s = 0.0
        self.started_s = 0.0
        self.ended = False
        self.context = None

    def cancel(self):
        """Abort the request; the endpoint sees its connection close."""
        self.pool.abort_call(self, Ending.CANCELLED)


class LinkObserver:
    """Is told what happens on connections to endpoints; ignores it."""

    def record_sent(self):
        """Record that a request was sent."""

    def record_heard(self):
        """Record that an endpoint has sent something."""

    def record_connected(self):
        """Record that a connection was opened."""

    def record_failed(self, pool):
        """Record that a connection could not be opened, or broke off."""


async def can_connect(loop, host: str, port: int, timeout_s: float) -> bool:
    """Tell whether an address accepts a connection, which is closed again."""
    connecting = loop.create_connection(asyncio.Protocol, host, port)
    try:
        transport, _ = await asyncio.wait_for(connecting, timeout_s)
    except (OSError, asyncio.TimeoutError):
        return False
    transport.close()
    return True


class EndpointPool:
    """Connections of this VM to one endpoint.

    Parameters
    ----------
    loop : asyncio.AbstractEventLoop
    address : str
        ``IP:PORT``.
    id_header : bytes
        Lower-case name of the header that echoes the request's id.
    max_connections : int
        This VM's share of the endpoint's connections.
    on_event : callable
        ``on_event(name)``, called for events that are counted.
    receive_budget : receive_limits.ReceiveBudget
        Shared by all pools of the process.

    Attributes
    ----------
    heard_s : float
        Loop time at which the endpoint last accepted a connection or sent
        something.
    lost_s : float
        Loop time at which a connection last failed or was reset.
    unreached_s : float
        Loop time at which a connection attempt last failed while there was no
        other connection.
    invalid_in_row : int
        Answers that were none since the last that was one.
    link_observer : LinkObserver
    """

    def __init__(
        self,
        loop,
        address,
        id_header,
        max_connections,
        on_event,
        receive_budget,
    ):
        self.loop = loop
        self.host, self.port = endpoint_checks.parse_address(address)
        self.id_header = id_header
        self.max_connections = max_connections
        self.on_event = on_event
        self.receive_budget = receive_budget
        self.idle = []
        self.count = 0
        self.waiting = collections.deque()
        self.running = {}
        self.closed = False
        self.failed_s = -math.inf
        self.is_reachable = True  # by the last connection attempt
        self.heard_s = -math.inf
        self.lost_s = -math.inf
        self.unreached_s = -math.inf
        self.invalid_in_row = 0
        self.link_observer = LinkObserver()
        self.max_idle_s = math.inf

    def open_idle(self):
        """Open a connection ahead of requests."""
        if not self.closed and self.count < self.max_connections:
            self._connect()

    def close_stale(self, now: float):
        """Close connections that were idle for longer than `max_idle_s`."""
        stale = [
            c for c in self.idle if now - c.idle_since_s > self.max_idle_s
        ]
        for connection in stale:
            self.idle.remove(connection)
            connection.transport.close()

    def submit(self, call: Call):
        """Send a request now, or as soon as a connection is free."""
        call.pool = self
        call.started_s = self.loop.time()
        call.timer = self.loop.call_later(
            max(0.0, call.deadline_s - call.started_s),
            self.abort_call,
            call,
            Ending.TIMED_OUT,
        )
        self.running[call] = call.started_s
        if self.closed:
            self.end(call, Answer(Ending.NOT_SENT))
            return
        connection = self._pop_idle(call)
        if connection is not None:
            connection.send(call)
            return
        if len(self.waiting) >= MAX_WAITING:
            self.end(call, Answer(Ending.NOT_SENT))
            return
        self.waiting.append(call)
        if self.count < self.max_connections:
            self._connect()

    def hold_back_waiting(self) -> int:
        """End the requests that wait for a connection; return how many."""
        waiting, self.waiting = self.waiting, collections.deque()
        for call in waiting:
            self.end(call, Answer(Ending.HELD_BACK))
        return len(waiting)

    def start_forwarded(self, call):
        """Count a request that another VM sends to the endpoint."""
        self.running[call] = self.loop.time()

    def end_forwarded(self, call):
        """Stop counting a request that another VM was asked to send."""
        self.running.pop(call, None)

    def has_room(self) -> bool:
        """Return whether a connection is idle or may be opened."""
        return bool(self.idle) or self.count < self.max_connections

    def get_oldest_age_s(self, now: float) -> float:
        """Return how long the oldest request has been in progress, in s.

        0 if none is in progress.
        """
        for started_s in self.running.values():
            return now - started_s
        return 0.0

    def abort_call(self, call: Call, ending: Ending):
        """End a request without an answer."""
        if call.ended:
            return
        connection = call.connection
        if connection is None:
            # A connection being opened for it will serve other requests.
            if call in self.waiting:
                self.waiting.remove(call)
            withdrawn = ending is Ending.CANCELLED
            ending = Ending.WITHDRAWN if withdrawn else Ending.NOT_SENT
            self.end(call, Answer(ending))
            return
        connection.abort()
        if ending is Ending.TIMED_OUT:
            # A device on the path may have dropped the state of this
            # connection, and of the idle ones as well.
            self._close_idle()
        self.end(call, Answer(ending))

    def _close_idle(self):
        idle, self.idle = self.idle, []
        for connection in idle:
            connection.transport.close()

    def end(self, call: Call, answer: Answer):
        """Report the end of a request to its `on_end`, once."""
        if call.ended:
            return
        call.ended = True
        self.running.pop(call, None)
        if call.timer is not None:
            call.timer.cancel()
        call.connection = None
        # Its sender may refer to it for longer.
        call.body = b""
        call.on_end(call, answer)

    def close(self):
        """Close idle connections now and busy ones after their answers."""
        self.closed = True
        self._close_idle()
        for call in list(self.waiting):
            self.end(call, Answer(Ending.NOT_SENT))
        self.waiting.clear()

    def release(self, connection):
        """Reuse a connection that has no request in progress."""
        if self.closed or connection.must_close:
            connection.transport.close()
            return
        now = self.loop.time()
        while self.waiting:
            call = self.waiting.popleft()
            if call.deadline_s - now < MIN_REMAINING_S:
                self.end(call, Answer(Ending.NOT_SENT))
                continue
            if now > call.send_by_s:
                self.end(call, Answer(Ending.HELD_BACK))
                continue
            connection.send(call)
            return
        connection.idle_since_s = now
        self.idle.append(connection)

    def remove_connection(self, connection):
        """Remove a lost connection."""
        self.count -= 1
        if connection in self.idle:
            self.idle.remove(connection)
        if self.waiting and self.count < self.max_connections:
            self._connect()

    def _pop_idle(self, call):
        now = self.loop.time()
        while self.idle:
            connection = self.idle.pop()
            age = now - connection.idle_since_s
            if connection.transport.is_closing():
                continue
            if age > connection.idle_limit_s:
                connection.transport.close()
                continue
            if not call.reusable and age > SINGLE_RUN_IDLE_LIMIT_S:
                connection.transport.close()
                continue
            return connection
        return None

    def _connect(self):
        self.count += 1
        self.on_event("connect")
        self.loop.create_task(self._open())

    async def _open(self):
        connection = EndpointConnection(self)
        task = asyncio.current_task()
        timer = self.loop.call_later(CONNECT_TIMEOUT_S, task.cancel)
        try:
            await self.loop.create_connection(
                lambda: connection, self.host, self.port
            )
        except (OSError, asyncio.CancelledError) as error:
            if connection.transport is not None:
                connection.transport.abort()
                # uvloop doesn't, if cancelled after connection_made.
                connection.connection_lost(error)
            else:
                self.count -= 1
            self._connect_failed(type(error).__name__)
        finally:
            timer.cancel()

    def _connect_failed(self, reason):
        self.on_event("connect-failed")
        self.failed_s = self.lost_s = self.loop.time()
        self.link_observer.record_failed(self)
        if self.is_reachable:
            self.is_reachable = False
            logs.log_decision(
                "endpoint-unreachable",
                endpoint_address=f"{self.host}:{self.port}",
                why=reason,
                connections=self.count,
            )
        if self.count > 0:
            return
        self.unreached_s = self.failed_s
        waiting, self.waiting = self.waiting, collections.deque()
        for call in waiting:
            self.end(call, Answer(Ending.NOT_SENT))

    def connected(self, connection):
        """Make a new connection available to requests."""
        self.heard_s = self.loop.time()
        self.link_observer.record_connected()
        if not self.is_reachable:
            self.is_reachable = True
            logs.log_decision(
                "endpoint-reached",
                endpoint_address=f"{self.host}:{self.port}",
                last_failed_ms_ago=round(
                    (self.loop.time() - self.failed_s) * 1000.0
                ),
            )
        self.release(connection)


class EndpointConnection:
    """One connection to an endpoint.

    Attributes
    ----------
    spent_s : float
        Time that went into the answer's blocks so far.
    block_started_s : float or None
        Clock time at which work on a block began; None without one.
    """

    def __init__(self, pool: EndpointPool):
        self.pool = pool
        self.transport = None
        self.parser = None
        self.call = None
        self.must_close = False
        self.is_lost = False
        self.status = 0
        self.idle_since_s = 0.0
        self.idle_limit_s = DEFAULT_IDLE_LIMIT_S
        self.headers = []
        self.value_by_name = {}
        self.body = []
        self.body_bytes = 0
        self.received_bytes = 0
        self.head_bytes = 0
        self.interim_answers = 0
        self.spent_s = 0.0
        self.block_started_s = None
        self.complete = False
        self.in_body = False
        self.until_close = False
        self.is_decodable = True

    def connection_made(self, transport):
        """Add the open connection to the pool."""
        self.transport = transport
        self.pool.connected(self)

    def send(self, call: Call):
        """Send a request."""
        self.call = call
        call.connection = self
        call.sent_s = self.pool.loop.time()
        self.body_bytes = 0
        self.received_bytes = 0
        self.head_bytes = 0
        self.interim_answers = 0
        self.spent_s = 0.0
        self.block_started_s = None
        self.complete = False
        self.in_body = False
        self.is_decodable = True
        self.parser = httptools.HttpResponseParser(self)
        self.transport.write(call.data)
        if call.body:
            self.transport.write(call.body)
        self.pool.link_observer.record_sent()

    def pause_writing(self):
        """Do nothing: a request is bounded and written in one call."""

    def resume_writing(self):
        """Do nothing."""

    def eof_received(self):
        """Complete an answer that is delimited by the close."""
        call = self.call
        if call is not None and self.in_body and self.until_close:
            self.must_close = True
            self._finish()
        return False

    def connection_lost(self, error):
        """Fail the request in progress."""
        if self.is_lost:
            return
        self.is_lost = True
        call, self.call = self.call, None
        self.pool.receive_budget.release(self)
        self.pool.remove_connection(self)
        if call is not None or error is not None:
            self.pool.lost_s = self.pool.loop.time()
        if call is not None:
            self.pool.link_observer.record_failed(self.pool)
            self.pool.end(call, Answer(Ending.BROKEN))

    def data_received(self, data: bytes):
        """Parse an answer; unexpected bytes close the connection."""
        self.pool.heard_s = self.pool.loop.time()
        self.pool.link_observer.record_heard()
        call = self.call
        if call is None:
            self.must_close = True
            self.pool.on_event("unexpected-bytes")
            self.transport.abort()
            return
        self.block_started_s = time.perf_counter()
        left_bytes = len(data)
        for piece in receive_limits.split(data):
            left_bytes -= len(piece)
            self._parse(piece)
            if self.call is not call:
                return
            if self.complete:
                # Bytes after the answer, which are not looked at.
                self.must_close = self.must_close or left_bytes > 0
                self._finish()
                return
        self._end_block()

    def _end_block(self):
        """Add the time since the start of a block to that of the answer."""
        if self.block_started_s is not None:
            self.spent_s += time.perf_counter() - self.block_started_s
            self.block_started_s = None

    def _parse(self, piece: bytes):
        """Parse a piece of an answer; fails it if it exceeds a limit."""
        was_in_body = self.in_body
        try:
            self.parser.feed_data(piece)
        except (
            httptools.HttpParserError,
            httptools.HttpParserUpgrade,
        ):
            self.must_close = True
            if not self.complete:
                self._fail(Ending.INVALID)
                return
        if not self.is_decodable:
            self._fail(Ending.INVALID)
            return
        self.received_bytes += len(piece)
        overhead_bytes = self.received_bytes - self.body_bytes
        if not was_in_body:
            self.head_bytes = overhead_bytes
        if self.body_bytes > self.call.max_body_bytes:
            self.drop_answer("body_limit")
        elif self.complete:
            return
        elif receive_limits.is_overhead_exceeded(
            self.received_bytes, self.body_bytes
        ):
            self.drop_answer("overhead_limit")
        elif receive_limits.is_framing_exceeded(
            overhead_bytes - self.head_bytes, self.body_bytes
        ):
            self.drop_answer("framing_limit")
        elif self.interim_answers > receive_limits.MAX_INTERIM_ANSWERS:
            self.drop_answer("interim_limit")
        else:
            count = len(piece)
            if not was_in_body:
                count = receive_limits.count_head_bytes(piece)
            self.pool.receive_budget.hold(self, count)

    def drop_answer(self, reason: str):
        """Close the connection of an answer that exceeds a limit."""
        call = self.call
        self.pool.on_event("answer-too-large")
        logs.log_decision(
            "answer-too-large",
            request_id=call.request_id.decode("latin-1"),
            endpoint_address=f"{self.pool.host}:{self.pool.port}",
            why=reason,
            received_bytes=self.received_bytes,
            body_bytes=self.body_bytes,
            body_limit_bytes=call.max_body_bytes,
        )
        self.must_close = True
        self._fail(Ending.INVALID)

    def on_message_begin(self):
        """Start an answer; a surplus one closes the connection later."""
        if self.complete:
            self.must_close = True
            return
        self.headers = []
        self.value_by_name = {}
        self.body = []
        self.body_bytes = 0

    def on_header(self, name: bytes, value: bytes):
        """Append one header; trailers are ignored."""
        if not self.complete and not self.in_body:
            name = name.lower()
            self.headers.append((name, value))
            self.value_by_name.setdefault(name, value)

    def on_headers_complete(self):
        """Determine how the answer is delimited and the keep-alive limit."""
        if self.complete:
            return
        self.in_body = True
        # The parser's status is that of the last head, even a surplus one.
        self.status = self.parser.get_status_code()
        if not http_statuses.is_valid(self.status):
            self.is_decodable = False
            self.pool.on_event("invalid-status")
            logs.log_decision(
                "answer-invalid",
                request_id=self.call.request_id.decode("latin-1"),
                endpoint_address=f"{self.pool.host}:{self.pool.port}",
                why=f"status {self.status}",
            )
            return
        values = self.value_by_name
        codings = ()
        if b"transfer-encoding" in values:
            codings = list_transfer_codings(self.headers)
            self.is_decodable = codings in ((), (b"chunked",))
        self.until_close = b"content-length" not in values and not codings
        if b"keep-alive" in values:
            self._read_keep_alive(values[b"keep-alive"])
        if self.call.data.startswith(b"HEAD ") and self.status >= 200:
            # The parser does not know the request and expects a body.
            self.complete = True
            self.is_decodable = True
            self.must_close = True

    def on_body(self, body: bytes):
        """Append a piece of the body."""
        if self.complete:
            return
        self.body_bytes += len(body)
        receive_limits.add_body_piece(self.body, body)

    def on_message_complete(self):
        """Mark the answer as complete, unless it is an interim one."""
        if self.complete:
            return
        if self.status < 200:
            self.in_body = False
            self.interim_answers += 1
            return
        self.complete = True
        if not self.parser.should_keep_alive():
            self.must_close = True

    def _read_keep_alive(self, value: bytes):
        for item in value.split(b","):
            name, _, text = item.strip().partition(b"=")
            if name.lower() != b"timeout":
                continue
            if text.isdigit():
                # Unlike int, float takes any number of digits.
                seconds = min(float(text), MAX_IDLE_LIMIT_S)
                self.idle_limit_s = max(0.0, seconds - IDLE_MARGIN_S)
            else:
                self.pool.on_event("malformed-keep-alive")

    def _finish(self):
        call, self.call = self.call, None
        self.pool.receive_budget.release(self)
        self.block_started_s = None
        answer = Answer(
            Ending.ANSWERED,
            self.status,
            self.headers,
            self.value_by_name,
            b"".join(self.body),
        )
        self.parser = None
        self.headers = []
        self.body = []
        echoed = self.value_by_name.get(self.pool.id_header)
        if echoed is not None and echoed != call.request_id:
            self.pool.on_event("foreign-answer")
            self.transport.abort()
            self.pool.invalid_in_row += 1
            self.pool.end(call, Answer(Ending.INVALID))
            return
        self.pool.invalid_in_row = 0
        self.pool.release(self)
        self.pool.end(call, answer)

    def abort(self):
        """Close the connection and discard what was received.

        The parser holds an unfinished header, and refers to this connection.
        """
        self.call = None
        self.parser = None
        self.pool.receive_budget.release(self)
        self.headers = []
        self.body = []
        self.transport.abort()

    def _fail(self, ending):
        call = self.call
        pool = self.pool
        pool.invalid_in_row += 1
        self._end_block()
        pool.receive_budget.invalid_time.charge(self.spent_s, pool.loop.time())
        self.abort()
        self.pool.end(call, Answer(ending))


def list_transfer_codings(headers) -> tuple[bytes, ...]:
    """Return the transfer codings of a message in lower case, in order.

    All header lines count; `identity` is left out.
    """
    lines = [v for name, v in headers if name == b"transfer-encoding"]
    codings = (c.strip().lower() for c in b",".join(lines).split(b","))
    return tuple(c for c in codings if c not in (b"", b"identity"))
