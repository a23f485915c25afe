"""Tests of what callers may make a process hold."""

import asyncio
import math

import hypothesis
from hypothesis import strategies
import pytest

from chervilspindle.core import loops
from chervilspindle.core import timers as timers_module
from chervilspindle.wire import caller_limits
from chervilspindle.wire import http_server

LIMITS = http_server.ServerLimits(8000, 200_000, 10_000.0, 10_000.0)
CONNECTION_BYTES = caller_limits.CONNECTION_BYTES
GET = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"
POST = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n"
CHUNKED = b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"


def build_held(name, held_bytes, age_s, is_running=False, is_over=False):
    """Build a row of a connection that holds some bytes of a request."""
    return caller_limits.Held(
        name, CONNECTION_BYTES + held_bytes, age_s, is_running, is_over
    )


def test_what_holds_most_for_longest_is_refused_first():
    rows = [
        build_held("new and large", 1_000_000, 0.01),
        build_held("old and large", 1_000_000, 5.0),
        build_held("old and small", 1000, 5.0),
        build_held("running", 9_000_000, 60.0, is_running=True),
        build_held("idle", 0, 1000.0),
        build_held("being closed", 0, 0.0, is_over=True),
    ]
    assert caller_limits.choose_refused(rows, 1) == ["being closed"]
    assert caller_limits.choose_refused(rows, math.inf) == [
        "being closed",
        "old and large",
        "new and large",
        "old and small",
        "idle",
    ]


@hypothesis.given(
    rows=strategies.lists(
        strategies.builds(
            build_held,
            strategies.uuids(),
            strategies.integers(0, 10**7),
            strategies.floats(0.0, 1000.0),
            strategies.booleans(),
            strategies.booleans(),
        ),
        max_size=30,
    ),
    excess=strategies.integers(-10, 10**8),
)
def test_no_more_is_refused_than_needed_and_nothing_that_runs(rows, excess):
    row_by_name = {row.connection: row for row in rows}
    chosen = [
        row_by_name[n] for n in caller_limits.choose_refused(rows, excess)
    ]
    assert not any(row.is_running for row in chosen)
    freed = sum(row.held_bytes for row in chosen)
    candidates = sum(not row.is_running for row in rows)
    assert freed >= excess or len(chosen) == candidates
    if chosen:
        assert freed - chosen[-1].held_bytes < excess


def test_connections_without_a_request_make_room_first():
    rows = [
        caller_limits.Idle("used", 5, 100.0, False),
        caller_limits.Idle("silent", 0, 1.0, False),
        caller_limits.Idle("silent for longer", 0, 2.0, False),
        caller_limits.Idle("running", 0, 50.0, True),
        caller_limits.Idle("new", 0, 0.1, False),
    ]
    assert caller_limits.choose_closed(rows, 9) == [
        "silent for longer",
        "silent",
        "used",
        "new",
    ]
    assert caller_limits.choose_closed(rows, 1) == ["silent for longer"]


def test_defaults_follow_the_vm():
    assert caller_limits.compute_budget_bytes(152) == 25_333_333
    assert caller_limits.compute_budget_bytes(16) == (
        caller_limits.MIN_BUDGET_BYTES
    )
    assert caller_limits.compute_budget_bytes(152, 50.0) == 25_333_333
    assert caller_limits.compute_budget_bytes(100, 62.0) == 14_000_000
    assert caller_limits.compute_budget_bytes(64, 62.0) == (
        caller_limits.LEAST_BUDGET_BYTES
    )
    assert caller_limits.compute_max_connections(1535) == 921
    assert caller_limits.compute_max_connections(math.inf) == math.inf
    assert caller_limits.compute_max_side(20) == caller_limits.MIN_CONNECTIONS
    # What is left to endpoints and to links whose peer has the key.
    left = 1535 - sum(
        (
            caller_limits.compute_max_connections(1535),
            2 * caller_limits.compute_max_side(1535),
            caller_limits.compute_max_unverified(1535),
        )
    )
    assert left > 200


class Transport:
    """Records what a connection does with its transport."""

    def __init__(self):
        self.written = b""
        self.closed = False
        self.aborted = False
        self.reading = True
        self.unread_bytes = 0

    def get_extra_info(self, name):
        return None

    def get_write_buffer_size(self):
        return self.unread_bytes

    def write(self, data):
        assert not self.closed
        self.written += data

    def close(self):
        self.closed = True

    def abort(self):
        self.closed = self.aborted = True

    def is_closing(self):
        return self.closed

    def pause_reading(self):
        assert self.reading
        self.reading = False

    def resume_reading(self):
        assert not self.reading
        self.reading = True


class Clock:
    """An asyncio loop whose time is set by the test."""

    def __init__(self):
        self.loop = asyncio.new_event_loop()
        self.now = 100.0
        self.call_soon = self.loop.call_soon

    def time(self):
        return self.now

    def call_later(self, delay, callback):
        return self.loop.call_soon(callback)

    def run_soon(self, times=1):
        for _ in range(times):
            self.loop.call_soon(self.loop.stop)
            self.loop.run_forever()


class World:
    """A server whose handler keeps the requests until the test answers."""

    def __init__(self, limit_bytes=math.inf, max_connections=math.inf):
        self.clock = Clock()
        self.reasons = []
        self.exchanges = []
        self.answers_at_once = False
        self.budget = caller_limits.CallerBudget(
            limit_bytes, self.clock.time, self.reasons.append
        )
        timers = timers_module.TimerService(loops.LoopClock(self.clock.loop))
        self.server = http_server.HttpServer(
            self.clock,
            timers,
            "test",
            self.handle,
            lambda: LIMITS,
            self.budget,
            max_connections,
        )

    def handle(self, exchange):
        self.exchanges.append(exchange)
        if self.answers_at_once:
            exchange.respond(200, (), b"ok")

    def connect(self):
        connection = http_server.ServerConnection(self.server)
        connection.connection_made(Transport())
        return connection

    def deliver(self, connection, data, piece_bytes=65536):
        """Deliver data as a transport would, while it may."""
        for start in range(0, len(data), piece_bytes):
            while not connection.transport.reading:
                self.clock.run_soon()
            if connection.transport.closed:
                return
            connection.data_received(data[start : start + piece_bytes])


@pytest.fixture
def build_world():
    worlds = []

    def build(*args):
        worlds.append(World(*args))
        return worlds[-1]

    yield build
    for world in worlds:
        world.clock.loop.close()


def get_status(connection):
    """Return the status of the last answer; 0 without one."""
    written = connection.transport.written
    start = written.rfind(b"HTTP/1.1 ")
    return int(written[start + 9 :].split()[0]) if written else 0


def test_an_announced_body_over_the_limit_is_refused_at_its_head(build_world):
    world = build_world()
    connection = world.connect()
    connection.data_received(POST % (LIMITS.body_bytes + 1))
    assert get_status(connection) == 413 and connection.transport.closed
    assert world.reasons == ["413"] and not world.exchanges
    digits = world.connect()
    digits.data_received(POST % 10**18)
    assert get_status(digits) == 413


def test_header_bytes_are_refused_while_the_head_is_open(build_world):
    world = build_world()
    connection = world.connect()
    world.deliver(connection, GET[:-2] + b"a:b\r\n" * LIMITS.header_bytes)
    world.clock.run_soon(9)
    assert get_status(connection) == 431 and connection.transport.closed
    assert not connection.reader.headers


def test_any_number_of_header_lines_within_the_bytes_is_served(build_world):
    """Guards against a second limit, of lines, inside the one of bytes."""
    world = build_world(caller_limits.MIN_BUDGET_BYTES)
    connection = world.connect()
    start = b"GET / HTTP/1.1\r\nHost:h\r\n"
    lines = b"a:b\r\n" * ((LIMITS.header_bytes - len(start)) // 5)
    world.deliver(connection, start + lines + b"\r\n", 700)
    assert len(world.exchanges) == 1
    world.exchanges[0].respond(200, (), b"ok")
    assert get_status(connection) == 200


def test_header_lines_are_held_by_their_memory_while_the_head_is_open(
    build_world,
):
    """A short line costs far more than its bytes."""
    limit_bytes = 500_000
    world = build_world(limit_bytes)
    lines = b"GET / HTTP/1.1\r\n" + b"a:b\r\n" * 1000
    line_bytes = 1000 * (caller_limits.LINE_BYTES + 2)
    connections = [world.connect() for _ in range(10)]
    for connection in connections:
        connection.data_received(lines)
        world.clock.now += 1.0
        assert world.budget.total_bytes <= limit_bytes
    refused = [c for c in connections if c.transport.closed]
    assert len(refused) >= 10 - limit_bytes // line_bytes
    for connection in refused:
        assert get_status(connection) == 503
        assert not connection.reader.headers


def test_a_stalled_body_makes_room_for_a_new_one(build_world):
    world = build_world(600_000)
    stalled = [world.connect() for _ in range(2)]
    for connection in stalled:
        world.deliver(connection, POST % 190_000 + b"b" * 189_999)
    world.clock.now += 5.0
    for _ in range(3):
        ordinary = world.connect()
        world.deliver(ordinary, POST % 150_000 + b"b" * 150_000)
        world.exchanges[-1].respond(200, (), b"ok")
        assert get_status(ordinary) == 200
        ordinary.connection_lost(None)
    assert len(world.exchanges) == 3
    refused = [c for c in stalled if c.transport.closed]
    assert refused
    for connection in refused:
        assert get_status(connection) == 503
        assert b"Retry-After: 1\r\n" in connection.transport.written
        # What comes after the refusal does not complete the request.
        connection.data_received(b"b")
    assert len(world.exchanges) == 3
    assert world.reasons == ["caller_budget"] * len(refused)


def test_requests_that_run_are_kept_and_a_further_one_has_not_run(build_world):
    """A complete request costs copies of its body while it is sent on."""
    world = build_world(700_000)
    connections = [world.connect() for _ in range(3)]
    for connection in connections:
        world.deliver(connection, POST % 100_000 + b"b" * 100_000)
    statuses = [get_status(c) for c in connections]
    assert statuses == [0, 0, 503]
    assert [e.connection for e in world.exchanges] == connections[:2]
    for exchange in world.exchanges:
        exchange.respond(200, (), b"ok")
    assert [get_status(c) for c in connections] == [200, 200, 503]
    for connection in connections:
        connection.connection_lost(None)
    assert world.budget.total_bytes == 0


def test_a_request_behind_one_that_runs_is_given_up_alone(build_world):
    world = build_world(400_000)
    connection = world.connect()
    connection.data_received(GET)
    world.deliver(connection, POST % 190_000 + b"b" * 189_999)
    world.clock.now += 5.0
    other = world.connect()
    world.deliver(other, POST % 190_000 + b"b" * 189_999)
    world.deliver(world.connect(), POST % 190_000 + b"b" * 189_999)
    assert not connection.transport.closed
    world.exchanges[0].respond(200, (), b"ok")
    assert get_status(connection) == 200 and connection.transport.closed
    assert connection.transport.written.count(b"HTTP/1.1") == 1
    assert len(world.exchanges) == 1


def test_answers_that_nobody_reads_are_bounded_and_closed(build_world):
    world = build_world()
    connection = world.connect()
    connection.data_received(GET * 3)
    connection.transport.unread_bytes = 70_000
    connection.pause_writing()
    world.exchanges[0].respond(200, (), b"ok")
    world.clock.run_soon(3)
    assert len(world.exchanges) == 1
    held = world.budget.held_by_connection[connection]
    assert held >= CONNECTION_BYTES + 70_000
    connection.transport.unread_bytes = 60_000
    world.clock.now += 9.0
    world.server.sweep()
    world.clock.now += 9.0
    world.server.sweep()
    assert not connection.transport.closed
    world.clock.now += 2.0
    world.server.sweep()
    assert connection.transport.aborted and world.reasons == ["unread"]


def test_a_caller_that_reads_again_is_served_on(build_world):
    world = build_world()
    connection = world.connect()
    connection.data_received(GET * 2)
    connection.transport.unread_bytes = 70_000
    connection.pause_writing()
    world.exchanges[0].respond(200, (), b"ok")
    connection.transport.unread_bytes = 0
    connection.resume_writing()
    world.clock.run_soon()
    assert len(world.exchanges) == 2


def test_a_refusal_that_nobody_takes_does_not_stay_open(build_world):
    world = build_world()
    connection = world.connect()
    connection.data_received(b"nonsense\r\n\r\n")
    for _ in range(2):
        world.server.sweep()
        world.clock.now += LIMITS.idle_ms / 1000.0 + 1.0
    world.server.sweep()
    assert connection.transport.aborted


def test_new_connections_close_silent_ones_and_none_that_runs(build_world):
    world = build_world(math.inf, 3)
    running, silent, used = (world.connect() for _ in range(3))
    running.data_received(GET)
    used.data_received(GET)
    world.exchanges[-1].respond(200, (), b"ok")
    world.clock.now += 1.0
    new = world.connect()
    assert silent.transport.aborted
    new.data_received(GET)
    world.connect().data_received(GET)
    assert used.transport.aborted
    last = world.connect()
    assert last.transport.aborted
    assert not running.transport.closed and not new.transport.closed
    assert world.reasons == ["connections"] * 3


def test_pipelined_requests_are_parsed_in_turns_and_all_answered(build_world):
    world = build_world()
    world.answers_at_once = True
    connections = [world.connect() for _ in range(2)]
    for connection in connections:
        connection.data_received(GET * 2000)
    per_piece = caller_limits.PIECE_BYTES // len(GET) + 1
    per_turn = caller_limits.MAX_TURN_CALLS // caller_limits.REQUEST_CALLS
    assert len(world.exchanges) <= 2 * (per_turn + per_piece)
    for _ in range(1000):
        world.clock.run_soon()
    assert len(world.exchanges) == 4000
    for connection in connections:
        assert connection.transport.written.count(b"HTTP/1.1 200") == 2000
        assert connection.transport.reading and connection.is_idle()


def test_requests_that_wait_are_bounded_while_one_runs(build_world):
    world = build_world()
    connection = world.connect()
    connection.data_received(GET * 2000)
    per_piece = caller_limits.PIECE_BYTES // len(GET) + 1
    assert len(connection.waiting) <= http_server.MAX_PIPELINED + per_piece
    assert not connection.transport.reading
    answered = 0
    while answered < len(world.exchanges):
        world.exchanges[answered].respond(200, (), b"ok")
        answered += 1
        world.clock.run_soon(4)
    assert answered == 2000


def test_small_chunks_of_several_callers_are_all_read(build_world):
    world = build_world()
    chunks = b"1\r\nb\r\n" * 5000 + b"0\r\n\r\n"
    connections = [world.connect() for _ in range(3)]
    for start in range(0, len(chunks), 1000):
        for connection in connections:
            head = CHUNKED if start == 0 else b""
            world.deliver(connection, head + chunks[start : start + 1000])
    for _ in range(500):
        world.clock.run_soon()
    assert [e.request.body for e in world.exchanges] == [b"b" * 5000] * 3


PIECES = (
    GET,
    GET * 30,
    POST % 50_000,
    POST % 150_000,
    POST % 300_000,
    CHUNKED,
    b"b" * 49_000,
    b"b" * 100_000,
    b"1\r\nb\r\n" * 2000,
    b"4000\r\n" + b"c" * 0x4000 + b"\r\n",
    b"0\r\n\r\n",
    b"GET / HTTP/1.1\r\n" + b"a:b\r\n" * 150,
    b"a:b\r\n" * 150,
    b"\r\n",
    b"nonsense",
)


@hypothesis.settings(derandomize=True, max_examples=200, deadline=None)
@hypothesis.given(
    steps=strategies.lists(
        strategies.tuples(
            strategies.integers(0, 5),
            strategies.sampled_from((*PIECES, "answer", "lost", "unread")),
        ),
        max_size=60,
    )
)
def test_any_callers_stay_in_the_budget_and_a_refused_request_never_runs(
    steps,
):
    """What runs is counted as well, so it may take all of the budget."""
    world = World(500_000)
    connections = {}
    answered = set()

    def answer(number):
        for exchange in world.exchanges:
            if exchange.connection is connections.get(number):
                exchange.respond(200, (), b"ok")
                answered.add(id(exchange))

    for number, step in steps:
        if number not in connections:
            connections[number] = world.connect()
        connection = connections[number]
        if step == "answer":
            answer(number)
        elif step == "lost" or connection.transport.closed:
            connection.transport.closed = True
            connection.connection_lost(None)
            del connections[number]
        elif step == "unread":
            if connection.unread_since_s is None:
                connection.transport.unread_bytes = 30_000
                connection.pause_writing()
            else:
                connection.transport.unread_bytes = 0
                connection.resume_writing()
        elif connection.transport.reading:
            connection.data_received(step)
        world.clock.now += 0.1
        world.clock.run_soon(3)
        held = world.budget.held_by_connection
        assert world.budget.total_bytes == sum(held.values())
        running = sum(c.running_bytes for c in held if c.exchange is not None)
        allowed = 500_000 + running + 6 * 2 * CONNECTION_BYTES
        assert world.budget.total_bytes <= allowed
    for number, connection in connections.items():
        answer(number)
        if get_status(connection) >= 400 and connection.exchange is None:
            handled = sum(e.connection is connection for e in world.exchanges)
            served = connection.transport.written.count(b"HTTP/1.1 200")
            assert handled == served
        connection.transport.closed = True
        connection.connection_lost(None)
    assert world.budget.total_bytes == 0
    assert not world.budget.held_by_connection
    world.clock.loop.close()
