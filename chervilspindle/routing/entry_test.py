"""Tests of callers' requests at the entry: any header, any target."""

import asyncio
import functools
import json
import logging

import hypothesis
from hypothesis import strategies
import pytest
import uvloop

from chervilspindle.core import logs
from chervilspindle.platform import names as platform_names
from chervilspindle.routing import data_path_test
from chervilspindle.routing import entry as entry_module
from chervilspindle.routing import request_timing

NAMES = platform_names.HEADERS
# Set by the entry in each request to an endpoint.
SET_HEADERS = (
    NAMES.deadline_ms.lower().encode(),
    NAMES.expected_endpoint.lower().encode(),
    b"content-length",
)
READ_S = 2.0
STATUSES = (100, 200, 400, 404, 431, 501)
SHORT_MS = 600.0  # the routes' timeout; with less, answers may be too late


@pytest.fixture
def run_test():
    def run(test):
        data_path_test.run_in_world(data_path_test.World, test, 30)

    return run


async def send_raw(world, data):
    """Send bytes; return the status of the answer."""
    host, port = world.address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(data)
    try:
        head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), READ_S)
    finally:
        writer.close()
    return int(head.split()[1])


def build_request(lines=(), target=b"/one/x", method=b"GET"):
    return b"\r\n".join(
        (
            method + b" " + target + b" HTTP/1.1",
            NAMES.request_id.encode() + b": id-1",
            *lines,
            b"\r\n",
        )
    )


@pytest.mark.parametrize(
    "lines",
    (
        (),
        (b"Host: h.example", b"Host: i.example"),
        (b"Host: h.example", b"Host: h.example"),
    ),
)
def test_a_request_without_exactly_one_host_is_refused(run_test, lines):
    """It could be routed by one host and run for another."""

    async def test(world):
        assert await send_raw(world, build_request(lines)) == 400
        assert not world.list_runs("desk")
        whole = build_request((b"Host: h.example",))
        assert await send_raw(world, whole) == 200

    run_test(test)


@pytest.mark.parametrize(
    "value,expected_ms",
    (
        (None, None),
        (b"0", 0.0),
        (b" 900 ", 900.0),
        (b"9" * 400, request_timing.MAX_DEADLINE_MS),
        (b"9" * 5000, request_timing.MAX_DEADLINE_MS),
        (b"", None),
        (b"-1", None),
        (b"+1", None),
        (b"1e3", None),
        (b"nan", None),
        (b"1_0", None),
        (b"\xb2", None),
        ("\u0661".encode(), None),
    ),
)
def test_a_deadline_is_bounded_or_malformed(value, expected_ms):
    assert entry_module.parse_ms(value) == expected_ms


@pytest.mark.parametrize("path", (b"/one/x", b"/once/x", b"/all/x"))
@pytest.mark.parametrize("value", (b"9" * 5000, b"soon", b"-1", b""))
def test_an_odd_deadline_is_served_and_logged_as_json(
    run_test, caplog, path, value
):
    caplog.set_level(logging.INFO, "chervilspindle.decision")

    async def test(world):
        line = NAMES.deadline_ms.encode() + b": " + value
        request = build_request((b"Host: h.example", line), path)
        assert await send_raw(world, request) == 200
        rows = world.entry.context.metrics.events.get_all()
        counted = "malformed-deadline" in [r[0]["event"] for r in rows]
        assert counted is not value.isdigit()

    run_test(test)
    formatter = logs.JsonFormatter()
    for record in caplog.records:
        json.loads(formatter.format(record), parse_constant=pytest.fail)


def test_a_route_without_a_practical_timeout_hands_endpoints_a_day(run_test):
    async def test(world):
        routes = [r._replace(timeout_ms=1e300) for r in data_path_test.ROUTES]
        document = world.entry.document
        world.entry.update_document(
            document._replace(version=4, routes=tuple(routes))
        )
        received = []
        for backend in world.backend_by_id.values():
            run = backend._run
            backend.server.handler = lambda exchange, run=run: (
                received.append(exchange.request),
                run(exchange),
            )
        for path in (b"/one/x", b"/once/x", b"/all/x"):
            request = build_request((b"Host: h.example",), path)
            assert await send_raw(world, request) == 200
        name = NAMES.deadline_ms.lower().encode()
        for request in received:
            assert int(request.get_header(name)) <= 86_400_000
        assert received

    run_test(test)


def run_sends(test_examples):
    """Run a hypothesis test with a started world; see `Sends`."""
    loop = uvloop.new_event_loop()
    world = data_path_test.World(loop, base=1e9)
    loop.run_until_complete(world.start())
    try:
        test_examples(Sends(world))
    finally:
        world.stop()
        tasks = asyncio.all_tasks(loop)
        for task in tasks:
            task.cancel()
        if tasks:
            loop.run_until_complete(asyncio.wait(tasks))
        loop.close()


class Sends:
    """Sends requests to a world and keeps what its endpoints received."""

    def __init__(self, world):
        self.world = world
        self.received = []
        for backend in world.backend_by_id.values():
            handler = functools.partial(self.receive, backend)
            backend.server.handler = handler

    def receive(self, backend, exchange):
        self.received.append(exchange.request)
        backend._handle(exchange)

    def send(self, data):
        """Return the status, and the requests that endpoints received."""
        self.received.clear()
        loop = self.world.loop
        status = loop.run_until_complete(send_raw(self.world, data))
        return status, list(self.received)


VISIBLE = strategies.characters(min_codepoint=0x21, max_codepoint=0x7E)
VALUES = strategies.one_of(
    strategies.binary(max_size=30).filter(
        lambda value: not set(value) & set(b"\r\n")
    ),
    strategies.text(VISIBLE, max_size=30).map(str.encode),
    strategies.integers().map(lambda number: b"%d" % number),
    strategies.sampled_from(
        (b"9" * 5000, b"nan", b"inf", b"1e999", b"\xb2", b"a\tb c")
    ),
)
SENT_HEADERS = strategies.fixed_dictionaries(
    {
        b"Host": strategies.just(b"h.example") | VALUES,
        NAMES.request_id.encode(): strategies.just(b"id-1") | VALUES,
    },
    optional={
        NAMES.deadline_ms.encode(): VALUES,
        NAMES.expected_endpoint.encode(): VALUES,
        NAMES.not_run.encode(): VALUES,
        NAMES.stamp.encode(): VALUES,
        b"Connection": VALUES | strategies.just(b"host, x"),
        b"Content-Encoding": VALUES,
        b"Keep-Alive": VALUES,
        b"Expect": VALUES | strategies.just(b"100-continue"),
        b"X-Other": VALUES,
    },
)


def test_any_headers_and_target_are_answered_and_passed_on_unchanged():
    @hypothesis.settings(derandomize=True, max_examples=300, deadline=None)
    @hypothesis.given(
        headers=SENT_HEADERS,
        target=strategies.one_of(
            strategies.sampled_from(
                (b"/one/x", b"/one/x?q=%00%0d%0a", b"/once/x#y", b"/one/../x")
            ),
            VALUES.map(lambda value: b"/one/" + value),
            VALUES,
        ),
        method=strategies.sampled_from((b"GET", b"POST", b"HEAD")),
    )
    def check(sends, headers, target, method):
        lines = [b"%s: %s" % item for item in headers.items()]
        data = b"\r\n".join(
            (b"%s %s HTTP/1.1" % (method, target), *lines, b"\r\n")
        )
        status, received = sends.send(data)
        deadline = headers.get(NAMES.deadline_ms.encode())
        caller_ms = entry_module.parse_ms(deadline)
        if caller_ms is not None and caller_ms < SHORT_MS:
            assert status in (*STATUSES, 503, 504)
        else:
            assert status in STATUSES
        sent = {n.lower(): v.strip() for n, v in headers.items()}
        for request in received:
            assert (request.method, request.target) == (method, target)
            for name, value in request.headers:
                if name not in SET_HEADERS:
                    assert sent.get(name, value) == value
                    assert name in sent
        if status == 200:
            most = 1 if target.startswith(b"/once/") else 2
            assert 1 <= len(received) <= most
        sound = build_request((b"Host: h.example",))
        assert sends.send(sound)[0] == 200

    run_sends(lambda sends: check(sends))
