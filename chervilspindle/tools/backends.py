"""Stand-in endpoints of the platform, for tests and the soak.

Each records the requests that it ran, so that checks can use what endpoints
observed. Faults are switched on by setting attributes at run time.
"""

import random
import typing
from urllib import parse

from chervilspindle.core import rows
from chervilspindle.core import timers as timers_module
from chervilspindle.platform import names
from chervilspindle.platform import samples
from chervilspindle.wire import http_server

RECORD_BYTES = 16
ENDLESS_BLOCK_BYTES = 65536
ENDLESS_PERIOD_S = 0.0005
# What an endpoint in trouble may send until its caller closes: a start, and
# bytes that are repeated.
ENDLESS_BY_NAME = {
    "no status line": (b"", b"?" * 1024),
    "status line": (b"HTTP/1.1 200 ", b"o" * 1024),
    "header lines": (b"HTTP/1.1 200 OK\r\n", b"X-Filler: 0123456789\r\n"),
    "header value": (b"HTTP/1.1 200 OK\r\nX-Filler: ", b"v" * 1024),
    "interim answers": (b"", b"HTTP/1.1 103 Early Hints\r\nLink: /\r\n\r\n"),
    "body to the close": (b"HTTP/1.1 200 OK\r\n\r\n", b"b" * 1024),
    "length": (
        b"HTTP/1.1 200 OK\r\nContent-Length: 999999999999\r\n\r\n",
        b"b" * 1024,
    ),
    "chunks": (
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
        b"400\r\n" + b"b" * 1024 + b"\r\n",
    ),
    "small chunks": (
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
        b"1\r\nb\r\n",
    ),
    "chunk extension": (
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;e=",
        b"e" * 1024,
    ),
    "trailers": (
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
        b"X-Filler: 0123456789\r\n",
    ),
}
# Sent after a sound answer, on the same connection.
UNASKED_BYTES = "unasked bytes"
LIMITS = http_server.ServerLimits(65536, 4194304, 30000.0, 60000.0)


class Run(typing.NamedTuple):
    """One request that an endpoint started to run."""

    request_id: str
    method: str
    target: str
    body: bytes


class Backend:
    """One stand-in endpoint.

    Parameters
    ----------
    loop : asyncio.AbstractEventLoop
    clock : LoopClock
    endpoint_id, service, zone, address : str
    records : int
        Records in each answer.

    Attributes
    ----------
    work_s : float
        Time from the start of a request to its answer.
    paused : bool
        Accepts requests but holds them until `resume`.
    refusing : bool
        Answers 503 to all requests without running them.
    failing : bool
        Runs all requests and answers `failure_status`.
    limit_per_s : float or None
        Named in all answers; not enforced.
    load : bytes
        Stated in answers to requests that ran.
    stamp : bytes or None
        Signature of all answers; None for a sound one.
    extra_headers : tuple of (name, value)
        Sent in all answers.
    leaving : bool
        Says in all answers that it is leaving; serves on.
    retry_after : str
        Sent with refusals; empty for none.
    arrivals_s, run_started_s : list of float
        Loop time of each request that arrived, and of each of `runs`.
    crash_marker : bytes
        Requests with this in their target crash it; empty for none.
    on_crash : callable
        ``on_crash(backend)``, called instead of an answer to such a request.
    lost_answer_share : float
        Share of the requests that run but whose connection is then
        aborted instead of an answer.
    endless : str
        Name of the row of `ENDLESS_BY_NAME` that it sends instead of
        answers; empty for a sound endpoint.
    """

    def __init__(
        self, loop, clock, endpoint_id, service, zone, address, records=30
    ):
        self.loop = loop
        self.endpoint_id = endpoint_id
        self.service = service
        self.zone = zone
        self.address = address
        self.records = records
        self.work_s = 0.003
        self.paused = False
        self.refusing = False
        self.failing = False
        self.failure_status = 500
        self.endless_period_s = ENDLESS_PERIOD_S
        self.limit_per_s = None
        self.load = b"1,0,2"
        self.stamp = None
        self.extra_headers = ()
        self.leaving = False
        self.retry_after = ""
        self.arrivals_s = []
        self.crash_marker = b""
        self.on_crash = Backend.stop
        self.lost_answer_share = 0.0
        self.endless = ""
        self.endless_bytes = 0
        self.runs = []
        self.run_started_s = []
        self.paused_exchanges = []
        self.sequence = 0
        self.incarnation = 0
        self.state = "ready"
        self.random = random.Random(endpoint_id)
        self.timers = timers_module.TimerService(clock)
        self.server = http_server.HttpServer(
            loop, self.timers, "backend", self._handle, lambda: LIMITS
        )

    async def start(self):
        """Listen on `address`, also again after a stop."""
        await self.server.listen(self.address, 64)

    def stop(self):
        """Close all connections and the listener."""
        self.server.stop()

    def resume(self):
        """Stop pausing and run the requests that arrived meanwhile."""
        self.paused = False
        exchanges, self.paused_exchanges = self.paused_exchanges, []
        for exchange in exchanges:
            self._run(exchange)

    def build_row(self) -> rows.Endpoint:
        """Return the row that control would send to entries."""
        return rows.Endpoint(
            self.endpoint_id,
            self.service,
            self.address,
            self.zone,
            2,
            0,
            "ready",
            (),
            1,
            1,
        )

    def build_announcement(self) -> dict:
        """Return the next announcement in the platform's format."""
        self.sequence += 1
        return samples.build_announcement(
            self.service,
            self.address,
            self.zone,
            self.state,
            self.sequence,
            self.incarnation,
        )

    def _handle(self, exchange):
        self.arrivals_s.append(self.loop.time())
        request = exchange.request
        lower = {n: v for n, v in request.headers}
        expected = lower.get(names.HEADERS.expected_endpoint.lower().encode())
        if expected not in (None, self.endpoint_id.encode()):
            exchange.respond(421, self._build_refusal())
        elif self.refusing:
            exchange.respond(503, self._build_refusal())
        elif self.paused:
            self.paused_exchanges.append(exchange)
        else:
            self._run(exchange)

    def _build_refusal(self):
        headers = [
            (names.HEADERS.not_run.encode(), b"1"),
            *self._build_notices(),
        ]
        if self.retry_after:
            headers.append((b"Retry-After", self.retry_after.encode()))
        return tuple(headers)

    def _build_notices(self):
        """Return the headers by which it restricts what it is sent."""
        headers = list(self.extra_headers)
        if self.limit_per_s is not None:
            value = f"{self.limit_per_s:.1f}".encode()
            headers.append((names.HEADERS.limit.encode(), value))
        if self.leaving:
            headers.append((names.HEADERS.leaving.encode(), b"1"))
        return headers

    def _run(self, exchange):
        request = exchange.request
        request_id = request.get_header(
            names.HEADERS.request_id.lower().encode()
        )
        self.runs.append(
            Run(
                (request_id or b"").decode("latin-1"),
                request.method.decode(),
                request.target.decode("latin-1"),
                request.body,
            )
        )
        self.run_started_s.append(self.loop.time())
        self.loop.call_later(self.work_s, self._answer, exchange, request_id)

    def _answer(self, exchange, request_id):
        transport = exchange.connection.transport
        if transport.is_closing():
            return
        if self.crash_marker and self.crash_marker in exchange.request.target:
            self.on_crash(self)
            return
        if self.random.random() < self.lost_answer_share:
            transport.abort()
            return
        if self.endless and self.endless != UNASKED_BYTES:
            head, filler = ENDLESS_BY_NAME[self.endless]
            transport.write(head)
            self._send_endless(transport, filler)
            return
        stamp = self.stamp
        if stamp is None:
            attempt = parse.quote(request_id)
            stamp = f"{self.endpoint_id}.{attempt}".encode()
        headers = (
            (names.HEADERS.stamp.encode(), stamp),
            (names.HEADERS.request_id.encode(), request_id),
            (names.HEADERS.load.encode(), self.load),
            *self._build_notices(),
        )
        if self.failing:
            exchange.respond(self.failure_status, headers, b"failed")
            return
        exchange.respond(200, headers, self.build_body(request_id))
        if self.endless:
            self._send_endless(transport, b"u" * 1024)

    def _send_endless(self, transport, filler):
        if transport.is_closing():
            return
        if transport.get_write_buffer_size() < ENDLESS_BLOCK_BYTES:
            block = filler * (ENDLESS_BLOCK_BYTES // len(filler))
            self.endless_bytes += len(block)
            transport.write(block)
        self.loop.call_later(
            self.endless_period_s, self._send_endless, transport, filler
        )

    def build_body(self, request_id: bytes) -> bytes:
        """Return the records for a request, equal on all replicas."""
        generator = random.Random(f"{self.service} {request_id!r}")
        return generator.randbytes(self.records * RECORD_BYTES)
