"""Tests of routed requests against simulated endpoints, over real sockets."""

import asyncio
import gc
import logging
import random
import socket

import pytest
import uvloop

from chervilspindle.core import loops
from chervilspindle.core import timers as timers_module
from chervilspindle.platform import names as platform_names
from chervilspindle.routing import contexts
from chervilspindle.routing import documents
from chervilspindle.routing import endpoint_calls
from chervilspindle.routing import entry as entry_module
from chervilspindle.routing import metrics as metrics_module
from chervilspindle.routing import record_merging
from chervilspindle.routing import retry_budget
from chervilspindle.routing import selection
from chervilspindle.tools import backends
from chervilspindle.wire import endpoint_http
from chervilspindle.wire import http_server
from chervilspindle.wire import peer
from chervilspindle.wire import streams

SHARDS = tuple(f"shard-{i}" for i in range(4))
ROUTES = (
    documents.Route(
        "all",
        "h.example",
        "/all/",
        True,
        1000.0,
        100.0,
        1,
        2,
        shards=SHARDS,
        top_k=5,
        min_coverage=0.75,
    ),
    documents.Route(
        "once",
        "h.example",
        "/once/",
        False,
        600.0,
        300.0,
        1,
        2,
        (documents.WeightedService("desk", 1.0),),
    ),
    documents.Route(
        "one",
        "h.example",
        "/one/",
        True,
        600.0,
        300.0,
        1,
        2,
        (documents.WeightedService("desk", 1.0),),
    ),
)


def find_address():
    """Return a free port on a random loopback address.

    On 127.0.0.1, the port could be taken by another test process, or by one
    of its outgoing connections, before it is bound here.
    """
    rng = random.SystemRandom()
    host = ".".join(["127", *(str(rng.randrange(1, 255)) for _ in "abc")])
    with socket.socket() as probe:
        probe.bind((host, 0))
        return f"{host}:{probe.getsockname()[1]}"


class World:
    """One entry and two endpoints of each service."""

    def __init__(self, loop, base=100.0, spread_load=False):
        self.loop = loop
        clock = loops.LoopClock(loop)
        self.timers = timers_module.TimerService(clock)
        network = peer.PeerNetwork(
            clock, self.timers, b"", None, streams.LoopStreams(loop)
        )
        context = contexts.build_context(
            loop,
            contexts.VmProfile("vm-1", "a"),
            platform_names.HEADERS,
            retry_budget.Rule(0.2, base, 10.0),
            network,
            metrics_module.RoutingMetrics(),
            "test",
            spread_load=spread_load,
        )
        context.budget.vms = 1
        context.latency_estimates.lag_ms = 0.0
        self.table = context.table
        self.entry = entry_module.RoutingEntry(context)
        self.address = find_address()
        self.server = http_server.HttpServer(
            loop,
            self.timers,
            "front",
            self.entry.handle,
            self.entry.read_limits,
        )
        self.backend_by_id = {}
        for service in (*SHARDS, "desk"):
            for zone in ("a", "b"):
                endpoint_id = f"{service}-{zone}"
                self.backend_by_id[endpoint_id] = backends.Backend(
                    loop, clock, endpoint_id, service, zone, find_address()
                )

    async def start(self):
        await self.server.listen(self.address, 16)
        services = {
            name: documents.Service(name, "/health", 20)
            for name in (*SHARDS, "desk")
        }
        self.entry.update_document(
            documents.Document(3, ROUTES, services, documents.Limits())
        )
        for backend in self.backend_by_id.values():
            await backend.start()
            self.announce(backend)

    def announce(self, backend, **changes):
        self.table.put(backend.build_row()._replace(**changes))

    def list_runs(self, service):
        return [
            run
            for backend in self.backend_by_id.values()
            if backend.service == service
            for run in backend.runs
        ]

    def stop(self):
        self.server.stop()
        for backend in self.backend_by_id.values():
            backend.stop()

    async def ask(self, path, request_id="id-1", method="GET", body=b""):
        """Send one request; return status, headers and body."""
        host, port = self.address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        headers = (
            f"{method} {path} HTTP/1.1\r\nHost: h.example\r\n"
            f"{platform_names.HEADERS.request_id}: {request_id}\r\n"
            f"{platform_names.HEADERS.deadline_ms}: 900\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        writer.write(headers.encode() + body)
        answer = await read_answer(reader)
        writer.close()
        return answer


async def read_answer(reader):
    head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
    headers = dict(
        line.lower().split(": ", 1) for line in head[1:] if ": " in line
    )
    body = await reader.readexactly(int(headers["content-length"]))
    return int(head[0].split()[1]), headers, body


def run_in_world(build_world, test, limit_s):
    """Run a coroutine function with a started world, within a time limit.

    Garbage collection is off: a full collection of a test process takes 80
    to 180 ms, enough to separate requests that were sent together.
    """
    gc.collect()
    gc.disable()
    loop = uvloop.new_event_loop()

    async def run():
        world = build_world(loop)
        await world.start()
        try:
            await test(world)
        finally:
            world.stop()
            await asyncio.sleep(0.01)

    try:
        loop.run_until_complete(asyncio.wait_for(run(), limit_s))
    finally:
        gc.enable()
    loop.close()


@pytest.fixture
def run_test():
    def run(test, **options):
        run_in_world(lambda loop: World(loop, **options), test, 10)

    return run


def read_stamps(headers):
    name = platform_names.HEADERS.part_stamps.lower()
    return [s.strip() for s in headers[name].split(",")]


def read_missing(headers):
    return int(headers[platform_names.HEADERS.missing_parts.lower()])


def test_an_answer_has_the_greatest_records_of_all_shards(run_test):
    async def test(world):
        status, headers, body = await world.ask("/all/x?q=1")
        parts = [
            world.backend_by_id[f"{s}-a"].build_body(b"id-1") for s in SHARDS
        ]
        assert status == 200 and read_missing(headers) == 0
        assert body == record_merging.merge_top(parts, 5)
        assert len(set(read_stamps(headers))) == len(SHARDS)
        run = world.list_runs("shard-0")[0]
        assert (run.method, run.target) == ("GET", "/all/x?q=1")

    run_test(test)


def test_the_round_trip_to_the_caller_is_measured(run_test):
    async def test(world):
        measured = []
        handle = world.entry.handle

        def record(exchange):
            measured.append(exchange.request.round_trip_ms)
            handle(exchange)

        world.server.handler = record
        await world.ask("/all/x")
        assert 0.0 < measured[0] < 50.0

    run_test(test)


def test_shards_on_paused_endpoints_are_hedged_within_the_objective(run_test):
    async def test(world):
        await world.ask("/all/x", "warm")
        for service in SHARDS[:2]:
            for zone in "ab":
                world.backend_by_id[f"{service}-{zone}"].runs.clear()
            world.backend_by_id[f"{service}-a"].paused = True
        started_s = world.loop.time()
        status, headers, _ = await world.ask("/all/x", "id-2")
        assert status == 200 and read_missing(headers) == 0
        assert world.loop.time() - started_s < 0.1

    run_test(test)


def test_an_answer_counts_shards_without_a_live_replica_as_missing(run_test):
    async def test(world):
        for zone in "ab":
            world.backend_by_id[f"shard-0-{zone}"].paused = True
        started_s = world.loop.time()
        status, headers, _ = await world.ask("/all/x")
        assert status == 200 and read_missing(headers) == 1
        assert len(read_stamps(headers)) == 3
        assert world.loop.time() - started_s < 0.1

    run_test(test)


def test_a_query_below_the_required_coverage_fails(run_test):
    async def test(world):
        for service in SHARDS[:2]:
            for zone in "ab":
                world.backend_by_id[f"{service}-{zone}"].failing = True
        started_s = world.loop.time()
        status, headers, _ = await world.ask("/all/x")
        assert status == 502
        assert world.loop.time() - started_s < 0.2

    run_test(test)


def test_a_query_is_refused_if_too_few_shards_have_endpoints(run_test):
    async def test(world):
        for service in SHARDS[:2]:
            for zone in "ab":
                world.table.drop(f"{service}-{zone}", "test")
        status, headers, _ = await world.ask("/all/x")
        assert status == 503 and "retry-after" in headers
        assert not any(world.list_runs(s) for s in SHARDS)

    run_test(test)


def test_a_refusal_during_fan_out_stops_sending(run_test):
    async def test(world):
        for service in SHARDS[:2]:
            for target in world.table.targets_by_service[service].values():
                target.pool.close()
        status, _, _ = await world.ask("/all/x")
        await asyncio.sleep(0.05)
        assert status == 503
        assert not any(world.list_runs(s) for s in SHARDS)

    run_test(test)


def pause_service(world, service):
    """Pause both endpoints and allow one connection to each; return them."""
    paused = [world.backend_by_id[f"{service}-{zone}"] for zone in "ab"]
    for backend in paused:
        backend.paused = True
    for target in world.table.targets_by_service[service].values():
        target.pool.max_connections = 1
    return paused


def test_a_request_still_queued_at_its_deadline_is_refused_as_not_run(
    run_test,
):
    async def test(world):
        paused = pause_service(world, "desk")
        tasks = [
            world.loop.create_task(
                world.ask("/once/x", f"id-{number}", "POST", b"b")
            )
            for number in range(4)
        ]
        statuses = sorted([(await task)[0] for task in tasks])
        assert statuses == [503, 503, 504, 504]
        for backend in paused:
            backend.resume()
        await asyncio.sleep(0.05)
        assert len(world.list_runs("desk")) == 2

    run_test(test)


def test_a_request_close_to_its_deadline_is_not_sent(run_test):
    async def test(world):
        pool = world.table.targets_by_service["desk"]["desk-a"].pool
        pool.max_connections = 1
        now = world.loop.time()
        ends = []
        first, late = (
            endpoint_http.Call(
                b"GET /x HTTP/1.1\r\nHost: h\r\n%s: %s\r\n\r\n"
                % (platform_names.HEADERS.request_id.encode(), name),
                name,
                now + left_s,
                lambda call, answer: ends.append((call.request_id, answer)),
            )
            for name, left_s in (
                (b"first", 2.0),
                (b"late", 0.15 + endpoint_http.MIN_REMAINING_S),
            )
        )
        world.backend_by_id["desk-a"].work_s = 0.18
        pool.submit(first)
        pool.submit(late)
        await asyncio.sleep(0.5)
        endings = {name: answer.ending for name, answer in ends}
        assert endings[b"first"] is endpoint_http.Ending.ANSWERED
        assert endings[b"late"] is endpoint_http.Ending.NOT_SENT
        assert [r.request_id for r in world.list_runs("desk")] == ["first"]

    run_test(test)


def test_sends_waiting_for_a_connection_are_withdrawn_at_the_answer(run_test):
    async def test(world):
        paused = pause_service(world, "shard-0")
        for request_id in ("id-1", "id-2"):
            status, headers, _ = await world.ask("/all/x", request_id)
            assert status == 200 and read_missing(headers) == 1
        for backend in paused:
            backend.resume()
        await asyncio.sleep(0.1)
        request_ids = {run.request_id for run in world.list_runs("shard-0")}
        assert request_ids == {"id-1"}

    run_test(test)


def test_single_requests_stay_in_the_zone_while_its_endpoint_has_room(
    run_test,
):
    async def test(world):
        for zone in "ab":
            world.backend_by_id[f"desk-{zone}"].work_s = 0.05
        # The first request is hedged: its route has no usual time yet.
        await world.ask("/one/x", "warm")
        world.backend_by_id["desk-b"].runs.clear()
        for number in range(12):
            status, _, _ = await world.ask("/one/x", f"id-{number}")
            assert status == 200
        assert world.backend_by_id["desk-b"].runs == []
        tasks = [
            world.loop.create_task(world.ask("/one/x", f"burst-{number}"))
            for number in range(8)
        ]
        assert {(await task)[0] for task in tasks} == {200}
        assert len(world.backend_by_id["desk-b"].runs) >= 3

    run_test(test)


def test_a_request_is_forwarded_unchanged(run_test):
    async def test(world):
        status, headers, body = await world.ask(
            "/one/a%20b?x=%2F", "id-9", "POST", b"\x00payload"
        )
        run = world.list_runs("desk")[0]
        assert run == ("id-9", "POST", "/one/a%20b?x=%2F", b"\x00payload")
        assert status == 200
        assert body == world.backend_by_id["desk-a"].build_body(b"id-9")
        assert platform_names.HEADERS.stamp.lower() in headers

    run_test(test)


def test_a_non_idempotent_request_is_not_resent_after_a_lost_answer(run_test):
    async def test(world):
        for zone in "ab":
            world.backend_by_id[f"desk-{zone}"].lost_answer_share = 1.0
        status, _, _ = await world.ask("/once/x", "id-1", "POST", b"b")
        assert status == 502
        assert len(world.list_runs("desk")) == 1

    run_test(test)


def test_a_non_idempotent_request_is_resent_after_a_refusal(run_test):
    async def test(world):
        world.backend_by_id["desk-a"].refusing = True
        status, _, _ = await world.ask("/once/x", "id-1", "POST", b"b")
        assert status == 200
        assert len(world.list_runs("desk")) == 1

    run_test(test)


def test_a_request_refused_by_all_endpoints_is_answered_as_not_run(run_test):
    async def test(world):
        for zone in "ab":
            world.backend_by_id[f"desk-{zone}"].refusing = True
        status, headers, _ = await world.ask("/once/x", "id-1", "POST", b"b")
        assert status == 503 and float(headers["retry-after"]) > 0
        assert world.list_runs("desk") == []

    run_test(test)


def test_an_unanswered_request_ends_at_the_route_timeout(run_test):
    async def test(world):
        for zone in "ab":
            world.backend_by_id[f"desk-{zone}"].paused = True
        started_s = world.loop.time()
        status, _, _ = await world.ask("/once/x", "id-1", "POST", b"b")
        assert status == 504
        assert 0.55 < world.loop.time() - started_s < 0.75

    run_test(test)


def test_another_endpoint_at_a_known_address_runs_nothing(run_test):
    async def test(world):
        moved = world.backend_by_id["desk-a"]
        moved.endpoint_id = "stranger"
        status, _, _ = await world.ask("/one/x")
        assert status == 200 and moved.runs == []

    run_test(test)


def test_a_failure_is_forwarded_with_the_status_of_the_endpoint(run_test):
    async def test(world):
        for zone in "ab":
            world.backend_by_id[f"desk-{zone}"].failing = True
        status, headers, body = await world.ask("/once/x", "i", "POST", b"b")
        assert (status, body) == (500, b"failed")
        assert platform_names.HEADERS.stamp.lower() in headers

    run_test(test)


def test_sends_are_cancelled_after_the_caller_disconnects(run_test):
    async def test(world):
        for zone in "ab":
            world.backend_by_id[f"desk-{zone}"].work_s = 5.0
        host, port = world.address.split(":")
        _, writer = await asyncio.open_connection(host, int(port))
        writer.write(
            b"GET /one/x HTTP/1.1\r\nHost: h.example\r\n"
            + platform_names.HEADERS.request_id.encode()
            + b": id-1\r\n\r\n"
        )
        await asyncio.sleep(0.05)
        writer.close()
        await asyncio.sleep(endpoint_calls.CALLER_LEFT_CANCEL_DELAY_S + 0.1)
        desk = world.backend_by_id["desk-a"].server
        other = world.backend_by_id["desk-b"].server
        assert desk.count_busy() + other.count_busy() == 0

    run_test(test)


def test_requests_without_a_route_or_a_document(run_test):
    async def test(world):
        status, _, _ = await world.ask("/nowhere/x")
        assert status == 404
        world.entry.document = world.entry.routes = None
        status, headers, _ = await world.ask("/all/x")
        assert status == 503 and "retry-after" in headers

    run_test(test)


def test_an_internal_error_is_answered_with_500(run_test):
    async def test(world):
        def fail(exchange):
            raise RuntimeError("internal error")

        world.server.handler = fail
        assert (await world.ask("/one/x"))[0] == 500
        world.server.handler = world.entry.handle
        assert (await world.ask("/one/x"))[0] == 200

    run_test(test)


def test_pipelined_requests_are_answered_in_order(run_test):
    async def test(world):
        world.backend_by_id["desk-a"].work_s = 0.05
        host, port = world.address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        for number in range(3):
            writer.write(
                b"GET /one/%d HTTP/1.1\r\nHost: h.example\r\n" % number
                + platform_names.HEADERS.request_id.encode()
                + b": id-%d\r\n\r\n" % number
            )
        for number in range(3):
            _, headers, _ = await read_answer(reader)
            request_id = headers[platform_names.HEADERS.request_id.lower()]
            assert request_id == f"id-{number}"
        writer.close()

    run_test(test)


@pytest.mark.parametrize(
    "data, status",
    [
        (b"NONSENSE\r\n\r\n", 400),
        (b"GET /all/x HTTP/1.1\r\n\r\n", 400),
        (b"GET /x HTTP/1.1\r\nHost: h\r\nA: " + b"b" * 20000, 431),
        (
            b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 300000\r\n\r\n"
            + b"x" * 300000,
            413,
        ),
        (
            b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            400,
        ),
    ],
)
def test_malformed_requests_are_refused_and_later_ones_answered(
    run_test, data, status
):
    async def test(world):
        host, port = world.address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(data)
        answered, _, _ = await read_answer(reader)
        assert answered == status
        writer.close()
        assert (await world.ask("/one/x"))[0] == 200

    run_test(test)


def test_each_request_is_logged_with_its_id(run_test, caplog):
    async def test(world):
        with caplog.at_level(logging.INFO):
            await world.ask("/all/x", "id-77")

    run_test(test)
    lines = [r for r in caplog.records if r.getMessage() == "request"]
    assert [r.request_id for r in lines] == ["id-77"]
    assert (lines[0].status, lines[0].version) == (200, 3)


def test_extra_sends_are_limited_by_the_budget(run_test):
    async def test(world):
        for service in SHARDS:
            world.backend_by_id[f"{service}-a"].failing = True
            world.backend_by_id[f"{service}-b"].failing = True
        for number in range(10):
            await world.ask("/all/x", f"id-{number}")
        assert len(world.list_runs("shard-0")) <= 10 + 0.2 * 10 + 4

    run_test(test, base=4.0)


def test_a_query_with_all_shards_late_is_not_hedged_at_once(run_test):
    """Shards were all hedged while connections were still being opened."""

    async def test(world):
        await world.ask("/all/x", "warm")
        for backend in world.backend_by_id.values():
            backend.runs.clear()
            backend.work_s = 0.012
        await world.ask("/all/x", "id-2")
        assert sum(len(world.list_runs(s)) for s in SHARDS) == len(SHARDS)

    run_test(test)


def report_load(world, endpoint_ids, load):
    """Make endpoints have just reported a load."""
    for endpoint_id in endpoint_ids:
        health = world.table.target_by_id[endpoint_id].health
        now = world.loop.time()
        # A report includes the request that is being answered.
        selection.record_load(health, load + 1.0, 0, health.slots, now)


def test_a_shard_is_not_hedged_to_an_endpoint_without_a_free_slot(run_test):
    async def test(world):
        await world.ask("/all/x", "warm")
        world.backend_by_id["shard-0-a"].paused = True
        report_load(world, ["shard-0-b"], 5.0)
        world.backend_by_id["shard-0-b"].runs.clear()
        status, headers, _ = await world.ask("/all/x", "id-2")
        assert status == 200 and read_missing(headers) == 1
        assert not world.backend_by_id["shard-0-b"].runs

    run_test(test)


def test_overload_is_shed_in_part_and_shed_queries_never_run(run_test):
    async def test(world):
        statuses = []
        for number in range(10):
            report_load(world, list(world.table.target_by_id), 4.0)
            status, headers, _ = await world.ask("/all/x", f"id-{number}")
            statuses.append(status)
            if status == 503:
                assert "retry-after" in headers
        ran = {run.request_id for s in SHARDS for run in world.list_runs(s)}
        assert 4 <= statuses.count(503) <= 6
        assert len(ran) == statuses.count(200) == 10 - statuses.count(503)

    run_test(test)


def test_a_refused_query_adds_nothing_to_the_budget(run_test):
    async def test(world):
        budget = world.entry.context.budget
        statuses = []
        for number in range(6):
            report_load(world, list(world.table.target_by_id), 4.0)
            status, _, _ = await world.ask("/all/x", f"id-{number}")
            statuses.append(status)
        assert budget.read_peak_requests() == statuses.count(200) < 6

    run_test(test)


def test_an_unknown_service_has_no_free_slot(run_test):
    async def test(world):
        assert world.table.can_hedge("desk", ())
        assert not world.table.can_hedge("desk", ("desk-a", "desk-b"))
        assert not world.table.can_hedge("unknown", ())

    run_test(test)
