"""Tests of the requests of callers: any bytes, odd heads, and limits."""

import asyncio

import hypothesis
from hypothesis import strategies
import pytest

from chervilspindle.core import loops
from chervilspindle.core import timers as timers_module
from chervilspindle.wire import http_server

LIMITS = http_server.ServerLimits(2000, 5000, 1000.0, 1000.0)


class Transport:
    """Collects what is written."""

    def __init__(self):
        self.written = b""
        self.closed = False
        self.reading = True

    def get_extra_info(self, name):
        return None

    def write(self, data):
        assert not self.closed
        self.written += data

    def close(self):
        self.closed = True

    def is_closing(self):
        return self.closed

    def pause_reading(self):
        self.reading = False

    def resume_reading(self):
        self.reading = True


class Caller:
    """One connection of a caller to a server that answers at once."""

    def __init__(self, loop, handle=None):
        self.loop = loop
        self.requests = []
        self.exchanges = []
        self.handle = handle or self.answer
        server = http_server.HttpServer(
            loop,
            timers_module.TimerService(loops.LoopClock(loop)),
            "test",
            self.accept,
            lambda: LIMITS,
        )
        self.connection = http_server.ServerConnection(server)
        self.transport = Transport()
        self.connection.connection_made(self.transport)

    def accept(self, exchange):
        self.requests.append(exchange.request)
        self.exchanges.append(exchange)
        self.handle(exchange)

    def answer(self, exchange):
        exchange.respond(200, (), b"ok")

    def send(self, *pieces):
        for piece in pieces:
            if not self.transport.closed:
                self.connection.data_received(piece)
        return self

    def run_soon(self):
        """Run the callbacks that are due."""
        self.loop.call_soon(self.loop.stop)
        self.loop.run_forever()

    def read_statuses(self):
        """Return the statuses of the answers that were written."""
        rest, statuses = self.transport.written, []
        while rest:
            head, _, rest = rest.partition(b"\r\n\r\n")
            lines = head.split(b"\r\n")
            assert lines[0].startswith(b"HTTP/1.1 "), lines[0]
            statuses.append(int(lines[0].split()[1]))
            lengths = [
                int(line.split(b":")[1])
                for line in lines
                if line.lower().startswith(b"content-length:")
            ]
            rest = rest[sum(lengths) :]
        return statuses


@pytest.fixture
def loop():
    loop = asyncio.new_event_loop()
    yield loop
    loop.close()


def hold(exchange):
    """Answer nothing yet."""


UPGRADES = (
    b"CONNECT h:80 HTTP/1.1\r\nHost: h\r\n\r\n",
    b"GET / HTTP/1.1\r\nHost: h\r\nConnection: Upgrade\r\n"
    b"Upgrade: h2c\r\n\r\n",
    b"POST / HTTP/1.1\r\nHost: h\r\nConnection: Upgrade\r\n"
    b"Upgrade: h2c\r\nContent-Length: 3\r\n\r\nabc",
)


@pytest.mark.parametrize("request_bytes", UPGRADES)
@pytest.mark.parametrize("rest", (b"", b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"))
def test_a_request_to_upgrade_gets_one_answer(loop, request_bytes, rest):
    caller = Caller(loop).send(request_bytes + rest)
    caller.run_soon()
    assert len(caller.read_statuses()) == 1
    assert caller.transport.closed
    late = Caller(loop, hold).send(request_bytes + rest)
    for exchange in late.exchanges:
        exchange.respond(200, (), b"ok")
    assert len(late.read_statuses()) == 1 and late.transport.closed


GET = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"
REFUSED_LATER = (
    b"nonsense\r\n\r\n",
    b"GET / HTTP/1.1\r\nHost: h\r\nA: " + b"a" * 3000 + b"\r\n\r\n",
    b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9000\r\n\r\n"
    + b"a" * 9000,
)


@pytest.mark.parametrize("refused", REFUSED_LATER)
def test_a_refusal_is_never_taken_for_the_answer_to_a_waiting_request(
    loop, refused
):
    """Between two answers, no exchange is in progress for a moment."""
    caller = Caller(loop, hold).send(GET + GET)
    caller.exchanges[0].respond(200, (), b"ok")
    caller.send(refused)
    caller.run_soon()
    for exchange in caller.exchanges[1:]:
        exchange.respond(200, (), b"ok")
    caller.run_soon()
    assert caller.read_statuses() in ([200], [200, 200])
    assert caller.transport.closed


@pytest.mark.parametrize("refused", REFUSED_LATER)
def test_a_refusal_waits_for_the_answer_in_progress(loop, refused):
    caller = Caller(loop, hold).send(GET, refused)
    assert not caller.transport.written
    caller.exchanges[0].respond(200, (), b"ok")
    assert caller.read_statuses() == [200] and caller.transport.closed


CHUNKED = b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"


def test_trailers_of_a_request_are_not_taken_for_headers(loop):
    caller = Caller(loop).send(
        CHUNKED + b"3\r\nabc\r\n0\r\nHost: other\r\nX-Id: other\r\n\r\n" + GET
    )
    assert caller.requests[0].body == b"abc"
    assert dict(caller.requests[0].headers) == {
        b"host": b"h",
        b"transfer-encoding": b"chunked",
    }


@pytest.mark.parametrize(
    "filler",
    (
        b"0\r\n" + b"X-Filler: 0123456789\r\n" * 1000,
        b"0\r\nX-Filler: " + b"v" * 20_000,
        b"1;e=" + b"e" * 20_000,
    ),
)
@pytest.mark.parametrize("piece_bytes", (100, 10**6))
def test_endless_framing_of_a_request_is_refused(loop, filler, piece_bytes):
    size = len(filler)
    pieces = [filler[i : i + piece_bytes] for i in range(0, size, piece_bytes)]
    caller = Caller(loop).send(CHUNKED, *pieces)
    assert caller.read_statuses() == [413] and caller.transport.closed
    assert not caller.requests


def test_small_chunks_within_the_limits_are_read(loop):
    chunks = [b"1;x=y\r\nb\r\n"] * LIMITS.body_bytes
    caller = Caller(loop).send(CHUNKED, *chunks, b"0\r\n\r\n")
    assert caller.requests[0].body == b"b" * LIMITS.body_bytes


@pytest.mark.parametrize(
    "lines",
    (
        b"Transfer-Encoding: gzip, chunked\r\n",
        b"Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n",
        b"Transfer-Encoding: x\r\nTransfer-Encoding: gzip, chunked\r\n",
    ),
)
def test_a_body_in_an_unknown_transfer_coding_is_refused(loop, lines):
    """It would be passed on without its coding: another body."""
    head = b"POST / HTTP/1.1\r\nHost: h\r\n" + lines + b"\r\n"
    caller = Caller(loop).send(head + b"3\r\nabc\r\n0\r\n\r\n")
    assert not caller.requests
    assert caller.read_statuses() == [501] and caller.transport.closed


@pytest.mark.parametrize(
    "method,status,has_length",
    (
        (b"GET", 200, True),
        (b"GET", 404, True),
        (b"GET", 204, False),
        (b"GET", 304, False),
        (b"HEAD", 200, False),
    ),
)
def test_an_answer_without_a_body_states_no_length(
    loop, method, status, has_length
):
    caller = Caller(loop, lambda exchange: exchange.respond(status))
    caller.send(method + b" / HTTP/1.1\r\nHost: h\r\n\r\n")
    written = caller.transport.written
    assert (b"Content-Length: 0\r\n" in written) is has_length
    assert written.endswith(b"\r\n\r\n") and not caller.transport.closed


FRAGMENTS = (
    GET,
    CHUNKED,
    *UPGRADES,
    b"GET / HTTP/1.1\r\n",
    b"HEAD / HTTP/1.1\r\n",
    b"POST / HTTP/1.0\r\n",
    b"Host: h\r\n",
    b"Content-Length: 3\r\n",
    b"Content-Length: 9999\r\n",
    b"Transfer-Encoding: chunked\r\n",
    b"Transfer-Encoding: gzip\r\n",
    b"Connection: close\r\n",
    b"Connection: Upgrade\r\nUpgrade: x\r\n",
    b"Expect: 100-continue\r\n",
    b"3\r\nabc\r\n",
    b"0\r\n\r\n",
    b"abc",
    b"a" * 1500,
    b"\r\n",
)


@hypothesis.settings(derandomize=True, max_examples=400, deadline=None)
@hypothesis.given(
    pieces=strategies.lists(
        strategies.one_of(
            strategies.sampled_from(FRAGMENTS), strategies.binary(max_size=20)
        ),
        max_size=12,
    ),
    is_split=strategies.booleans(),
    answers_late=strategies.booleans(),
)
def test_any_bytes_of_a_caller_are_answered_in_order(
    pieces, is_split, answers_late
):
    """Each request has one answer, and a refusal is the last."""
    loop = asyncio.new_event_loop()
    caller = Caller(loop, hold if answers_late else None)
    caller.send(*(pieces if is_split else [b"".join(pieces)]))
    answered = 0
    while answered < len(caller.exchanges):
        caller.exchanges[answered].respond(200, (), b"ok")
        answered += 1
        caller.run_soon()
    caller.run_soon()
    statuses = [s for s in caller.read_statuses() if s != 100]
    served = statuses.count(200)
    assert served == len(caller.requests)
    assert statuses[:served] == [200] * served
    assert set(statuses[served:]) <= {400, 413, 431, 501}
    assert len(statuses) <= served + 1
    if len(statuses) > served:
        assert caller.transport.closed
    for request in caller.requests:
        assert len(request.body) <= LIMITS.body_bytes
        for name, value in request.headers:
            assert not set(name + value) & set(b"\r\n\0")
        assert not set(request.target) & set(b"\r\n\0 ")
    loop.close()
