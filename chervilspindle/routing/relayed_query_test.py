"""Tests of queries sent through relays, over real sockets."""

import asyncio
import collections

import pytest

from chervilspindle.core import loops
from chervilspindle.core import timers as timers_module
from chervilspindle.platform import names as platform_names
from chervilspindle.routing import contexts
from chervilspindle.routing import data_path_test
from chervilspindle.routing import documents
from chervilspindle.routing import entry as entry_module
from chervilspindle.routing import metrics as metrics_module
from chervilspindle.routing import permission
from chervilspindle.routing import record_merging
from chervilspindle.routing import relayed_query
from chervilspindle.routing import retry_budget
from chervilspindle.tools import backends
from chervilspindle.wire import http_server
from chervilspindle.wire import messages
from chervilspindle.wire import peer
from chervilspindle.wire import streams

SHARDS = tuple(f"shard-{i:02}" for i in range(24))
ROUTE = documents.Route(
    "all",
    "h.example",
    "/all/",
    True,
    2000.0,
    600.0,
    1,
    2,
    shards=SHARDS,
    top_k=20,
    min_coverage=0.75,
)
# Slow enough that the 24 shards are divided into three groups of eight.
LINK_MBPS = 0.5


class Entry:
    """An entry that is also a relay; while `silent` it ignores relay calls."""

    def __init__(self, loop, clock, name, zone, link_mbps):
        self.timers = timers_module.TimerService(clock)
        self.address = data_path_test.find_address()
        self.silent = False
        self.calls = []
        self.network = peer.PeerNetwork(
            clock,
            self.timers,
            b"key",
            self.handle,
            streams.LoopStreams(loop),
        )
        self.context = contexts.build_context(
            loop,
            contexts.VmProfile(name, zone, 1.0, link_mbps),
            platform_names.HEADERS,
            retry_budget.Rule(0.2, 100.0, 10.0),
            self.network,
            metrics_module.RoutingMetrics(),
            name,
        )
        self.context.budget.vms = 1
        self.row = messages.Relay(name, zone, self.address)
        self.entry = entry_module.RoutingEntry(self.context)
        self.relay = relayed_query.RelayServer(self.context)

    def handle(self, link, message):
        if isinstance(message, messages.RelayReport):
            self.context.relays.handle_report(link.dialled_address, message)
            return
        self.calls.append(message)
        if not self.silent:
            self.relay.handle(link, message)


class World:
    """Two zones, each with five entries and one endpoint per shard.

    Callers send their requests to the first entry.
    """

    zones = "ab"
    link_mbps = LINK_MBPS
    route = ROUTE

    def __init__(self, loop):
        self.loop = loop
        clock = loops.LoopClock(loop)
        self.entries = [
            Entry(
                loop,
                clock,
                f"vm-{i}",
                self.zones[i % len(self.zones)],
                self.link_mbps,
            )
            for i in range(10)
        ]
        self.entry = self.entries[0]
        self.address = data_path_test.find_address()
        self.server = http_server.HttpServer(
            loop,
            self.entry.timers,
            "front",
            self.entry.entry.handle,
            self.entry.entry.read_limits,
        )
        self.backend_by_id = {
            f"{service}-{zone}": backends.Backend(
                loop,
                clock,
                f"{service}-{zone}",
                service,
                zone,
                data_path_test.find_address(),
            )
            for number, service in enumerate(SHARDS)
            for zone in self.list_zones(number)
        }

    def list_zones(self, number):
        """Return the zones of the endpoints of a shard."""
        return self.zones

    async def start(self):
        await self.server.listen(self.address, 16)
        for backend in self.backend_by_id.values():
            await backend.start()
        services = {
            name: documents.Service(name, "/health", 20) for name in SHARDS
        }
        document = documents.Document(
            3, (self.route,), services, documents.Limits()
        )
        for entry in self.entries:
            await entry.network.listen(entry.address).asFuture(self.loop)
            entry.entry.update_document(document)
            entry.context.relays.table.update_document(document)
            entry.context.relays.table.set_relays(
                1, [e.row for e in self.entries]
            )
            for backend in self.backend_by_id.values():
                entry.context.table.put(backend.build_row())
            table = entry.context.table
            entry.context.relays.table.add_endpoint_zones(table.list_zones())

    def stop(self):
        self.server.stop()
        for backend in self.backend_by_id.values():
            backend.stop()
        for entry in self.entries:
            entry.network.close()

    def list_groups(self):
        return self.entry.context.relays.table.get_groups(SHARDS)

    def find_relays(self):
        """Return the relays of the first entry's groups."""
        table = self.entry.context.relays.table
        entry_by_id = {e.row.vm_id: e for e in self.entries}
        return [
            entry_by_id[table.pick(group).vm_id]
            for group in self.list_groups()
        ]

    def count_runs(self):
        return collections.Counter(
            run.request_id + backend.service
            for backend in self.backend_by_id.values()
            for run in backend.runs
        )

    async def warm(self):
        """Open connections; from then on hedges are sent after 190 ms."""
        await self.ask("warm")
        await self.ask("warm-2")
        self.entry.context.latency_estimates.part_ms_by_route["all"] = 1000.0

    async def ask(self, request_id):
        ask = data_path_test.World.ask
        return await ask(self, "/all/x", request_id)

    def check(self, answer, request_id, least):
        """Check the stamps, the number of missing parts and the records."""
        status, headers, body = answer
        assert status == 200
        stamps = data_path_test.read_stamps(headers)
        named = {stamp.split(".")[0] for stamp in stamps}
        services = {name[:-2] for name in named}
        assert len(stamps) == len(named) == len(services) >= least
        missing = len(SHARDS) - len(services)
        assert data_path_test.read_missing(headers) == missing
        bodies = [
            self.backend_by_id[name].build_body(request_id.encode())
            for name in named
        ]
        assert body == record_merging.merge_top(bodies, 20)


class ThreeZoneWorld(World):
    """Three zones; the endpoints of each shard are in two of them.

    Links are fast enough to send all shards directly.
    """

    zones = "abc"
    link_mbps = 1000.0

    def list_zones(self, number):
        return ("ab", "bc", "ca")[number % 3]

    def list_remote_shards(self):
        return [s for n, s in enumerate(SHARDS) if n % 3 == 1]

    def count_remote_connections(self):
        """Return the first entry's connections to shards of other zones."""
        targets_by_service = self.entry.context.table.targets_by_service
        return sum(
            target.pool.count
            for service in self.list_remote_shards()
            for target in targets_by_service[service].values()
        )


class FixedTimes(dict):
    """Times of parts that samples do not change."""

    def __setitem__(self, route, part_ms):
        pass


class UnhedgedWorld(ThreeZoneWorld):
    """Hedges are due only after the callers' deadlines."""

    route = ROUTE._replace(timeout_ms=8000.0, objective_ms=6000.0)

    async def warm(self):
        await super().warm()
        estimates = self.entry.context.latency_estimates
        estimates.part_ms_by_route = FixedTimes(all=1000.0)


@pytest.fixture
def play():
    def run(test, build_world=World):
        data_path_test.run_in_world(build_world, test, 20)

    return run


def test_shards_are_sent_once_through_relays_of_the_same_zone(play):
    async def test(world):
        await world.warm()
        for entry in world.entries:
            entry.calls.clear()
        for number in range(3):
            answer = await world.ask(f"id-{number}")
            world.check(answer, f"id-{number}", 24)
        assert len(world.find_relays()) == 3
        assert {e.row.zone for e in world.entries if e.calls} == {"a"}
        assert sum(len(e.calls) for e in world.entries) == 9
        runs = world.count_runs()
        assert {runs[f"id-1{service}"] for service in SHARDS} == {1}

    play(test)


def test_paused_endpoint_is_hedged_through_a_relay_of_another_zone(play):
    async def test(world):
        await world.warm()
        world.backend_by_id["shard-03-a"].paused = True
        answer = await world.ask("id-1")
        world.check(answer, "id-1", 24)
        remote = [
            call
            for e in world.entries
            for call in e.calls
            if e.row.zone == "b" and call.request.request_id == b"id-1"
        ]
        assert [c.services for c in remote] == [("shard-03",)]
        assert remote[0].tried == (("shard-03-a",),)

    play(test)


def test_a_relayed_hedge_goes_to_no_cold_endpoint(play):
    """The relay alone may know that the other replica is cold."""

    async def test(world):
        await world.warm()
        service = SHARDS[0]
        near, cold = (world.backend_by_id[f"{service}-{z}"] for z in "ab")
        near.paused = True
        for entry in world.entries[1:]:
            target = entry.context.table.target_by_id[cold.endpoint_id]
            permission.set_cold_limit(target.restrictions, 4.0, 60.0)
            now = world.loop.time()
            permission.record_cold(target.restrictions, None, now)
        cold.arrivals_s.clear()
        status, headers, _ = await world.ask("id-2")
        assert status == 200
        assert data_path_test.read_missing(headers) == 1
        hedges = [
            c
            for entry in world.entries
            for c in entry.calls
            if isinstance(c, messages.RelayCall) and c.request.is_hedge
        ]
        assert hedges and not cold.arrivals_s

    play(test)


def test_silent_relay_is_replaced_and_then_avoided(play):
    async def test(world):
        await world.warm()
        silent = world.find_relays()[1]
        silent.silent = True
        group_services = [
            service
            for relay, group in zip(world.find_relays(), world.list_groups())
            for service in group.services
            if relay is silent
        ]
        answer = await world.ask("id-1")
        world.check(answer, "id-1", 24)
        calls = len(silent.calls)
        world.check(await world.ask("id-2"), "id-2", 24)
        assert len(silent.calls) == calls
        # Sent twice, but the silent relay did not send to any endpoint.
        runs = world.count_runs()
        assert {runs[f"id-1{service}"] for service in group_services} == {1}
        assert max(runs.values()) <= ROUTE.max_attempts

    play(test)


def test_relay_whose_link_breaks_is_replaced(play):
    async def test(world):
        await world.warm()
        lost = world.find_relays()[0]
        world.backend_by_id["shard-03-a"].work_s = 0.06
        request = world.loop.create_task(world.ask("id-1"))
        await asyncio.sleep(0.01)
        for link in list(lost.network.links):
            link.transport.abortConnection()
        world.check(await request, "id-1", 24)
        assert max(world.count_runs().values()) <= ROUTE.max_attempts

    play(test)


def test_max_attempts_holds_when_relays_and_endpoints_fail(play):
    async def test(world):
        await world.warm()
        world.find_relays()[0].silent = True
        for service in SHARDS[::5]:
            for zone in "ab":
                world.backend_by_id[f"{service}-{zone}"].failing = True
        for service in SHARDS[1::5]:
            world.backend_by_id[f"{service}-a"].refusing = True
        for number in range(5):
            answer = await world.ask(f"id-{number}")
            world.check(answer, f"id-{number}", 18)
        await asyncio.sleep(0.2)
        assert max(world.count_runs().values()) <= ROUTE.max_attempts

    play(test)


async def wait_for(condition):
    for _ in range(500):
        if condition():
            return
        await asyncio.sleep(0.002)
    raise AssertionError("condition not met within 1 s")


def test_refused_shard_is_retried_before_the_first_report(play):
    async def test(world):
        await world.warm()
        # Hedges are now due after 170 ms, the first reports just before.
        world.entry.context.latency_estimates.part_ms_by_route["all"] = 100.0
        for zone in "ab":
            world.backend_by_id[f"shard-00-{zone}"].work_s = 0.15
        world.backend_by_id["shard-03-a"].refusing = True
        request = world.loop.create_task(world.ask("id-1"))
        runs = world.backend_by_id["shard-03-b"].runs
        await wait_for(lambda: "id-1" in [r.request_id for r in runs])
        served = [
            call
            for e in world.entries
            for call in e.relay.served_by_key.values()
            if "shard-00" in call.call.services
        ]
        assert [call.first_report_sent for call in served] == [False]
        world.check(await request, "id-1", 24)

    play(test)


def test_relays_cancel_shards_when_the_caller_disconnects(play):
    async def test(world):
        await world.warm()
        for backend in world.backend_by_id.values():
            backend.work_s = 5.0
        host, port = world.address.split(":")
        _, writer = await asyncio.open_connection(host, int(port))
        writer.write(
            b"GET /all/x HTTP/1.1\r\nHost: h.example\r\n"
            + platform_names.HEADERS.request_id.encode()
            + b": id-1\r\n\r\n"
        )

        def list_busy():
            return [e for e in world.entries if e.relay.count_busy()]

        await wait_for(lambda: len(list_busy()) >= 2)
        writer.close()
        await wait_for(lambda: not list_busy())
        cancelled = [
            call
            for e in world.entries
            for call in e.calls
            if isinstance(call, messages.RelayCancel)
        ]
        assert len(cancelled) >= 3

    play(test)


def test_without_relays_the_entry_sends_directly(play):
    async def test(world):
        world.entry.context.relays.table.set_relays(2, [])
        world.check(await world.ask("id-1"), "id-1", 24)
        assert not any(e.calls for e in world.entries)

    play(test)


def test_shards_of_other_zones_come_in_one_report_a_query(play):
    """Each part crossed between zones with its request and headers."""

    async def test(world):
        await world.warm()
        for entry in world.entries:
            entry.calls.clear()
        asked = [
            world.loop.create_task(world.ask(f"id-{number}"))
            for number in range(20)
        ]
        for number, task in enumerate(asked):
            world.check(await task, f"id-{number}", len(SHARDS))
        calls = [call for entry in world.entries for call in entry.calls]
        remote = tuple(world.list_remote_shards())
        assert [call.services for call in calls] == [remote] * 20
        assert world.count_remote_connections() == 0
        runs = world.count_runs()
        assert all(runs[f"id-3{s}"] == 1 for s in SHARDS)

    play(test, UnhedgedWorld)


def test_a_silent_relay_of_another_zone_costs_no_shard(play):
    async def test(world):
        await world.warm()
        (silent,) = world.find_relays()
        silent.silent = True
        answer = await world.ask("id-1")
        world.check(answer, "id-1", len(SHARDS))
        assert max(world.count_runs().values()) <= 2

    play(test, ThreeZoneWorld)
