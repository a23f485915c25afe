"""Tests of shards that go through relays, over real sockets."""

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
from chervilspindle.routing import merge
from chervilspindle.routing import metrics as metrics_module
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
# So slow a link that 24 shards make three groups of eight.
LINK_MBPS = 0.5


class Entry:
    """One entry that may also be a relay; `silent` makes it answer none."""

    def __init__(self, loop, clock, name, zone):
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
            contexts.Place(name, zone, 1.0, LINK_MBPS),
            platform_names.HEADERS,
            retry_budget.Rule(0.2, 100.0, 10.0),
            self.network,
            metrics_module.RoutingMetrics(),
            name,
        )
        self.context.budget.vms = 1
        self.row = messages.Relay(name, zone, self.address)
        self.entry = entry_module.RoutingEntry(self.context)
        self.relay = relayed_query.Relay(self.context)

    def handle(self, link, message):
        if isinstance(message, messages.RelayReport):
            self.context.relays.take_report(link.dialled_address, message)
            return
        self.calls.append(message)
        if not self.silent:
            self.relay.handle(link, message)


class World:
    """Five entries in each of two zones, an endpoint of each shard in both.

    Callers ask the first entry.
    """

    def __init__(self, loop):
        self.loop = loop
        clock = loops.LoopClock(loop)
        self.entries = [
            Entry(loop, clock, f"vm-{i}", "ab"[i % 2]) for i in range(10)
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
            for service in SHARDS
            for zone in "ab"
        }

    async def start(self):
        await self.server.listen(self.address, 16)
        for backend in self.backend_by_id.values():
            await backend.start()
        services = {
            name: documents.Service(name, "/health", 20) for name in SHARDS
        }
        document = documents.Document(
            3, (ROUTE,), services, documents.Limits()
        )
        for one in self.entries:
            await one.network.listen(one.address).asFuture(self.loop)
            one.entry.put_document(document)
            one.context.relays.table.put_document(document)
            one.context.relays.table.set_relays(
                1, [e.row for e in self.entries]
            )
            for backend in self.backend_by_id.values():
                one.context.table.put(backend.build_row())

    def stop(self):
        self.server.stop()
        for backend in self.backend_by_id.values():
            backend.stop()
        for one in self.entries:
            one.network.close()

    def list_groups(self):
        return self.entry.context.relays.table.get_groups(SHARDS)

    def find_relays(self):
        """Return the entries that the groups of the first entry go to."""
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
        """Open connections; hedges are due after 190 ms from then on."""
        await self.ask("warm")
        await self.ask("warm-2")
        self.entry.context.pace.usual_ms_by_route["all"] = 1000.0

    async def ask(self, request_id):
        ask = data_path_test.World.ask
        return await ask(self, "/all/x", request_id)

    def check(self, answer, request_id, least):
        """Check stamps, count of missing parts and records."""
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
        assert body == merge.merge_top(bodies, 20)


@pytest.fixture
def play():
    def run(test):
        data_path_test.play_world(World, test, 20)

    return run


def test_shards_go_through_relays_of_the_zone_and_stay_there(play):
    async def test(world):
        await world.warm()
        for one in world.entries:
            one.calls.clear()
        for number in range(3):
            answer = await world.ask(f"id-{number}")
            world.check(answer, f"id-{number}", 24)
        assert len(world.find_relays()) == 3
        assert {e.row.zone for e in world.entries if e.calls} == {"a"}
        assert sum(len(e.calls) for e in world.entries) == 9
        runs = world.count_runs()
        assert {runs[f"id-1{service}"] for service in SHARDS} == {1}

    play(test)


def test_a_paused_endpoint_is_hedged_near_a_replica_in_another_zone(play):
    async def test(world):
        await world.warm()
        world.backend_by_id["shard-03-a"].paused = True
        answer = await world.ask("id-1")
        world.check(answer, "id-1", 24)
        far = [
            call
            for e in world.entries
            for call in e.calls
            if e.row.zone == "b" and call.request.request_id == b"id-1"
        ]
        assert [c.services for c in far] == [("shard-03",)]
        assert far[0].tried == (("shard-03-a",),)

    play(test)


def test_a_silent_relay_is_replaced_and_avoided(play):
    async def test(world):
        await world.warm()
        silent = world.find_relays()[1]
        silent.silent = True
        missed = [
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
        # Sent twice, of which the silent relay ran none.
        runs = world.count_runs()
        assert {runs[f"id-1{service}"] for service in missed} == {1}
        assert max(runs.values()) <= ROUTE.max_attempts

    play(test)


def test_a_relay_that_is_gone_is_replaced(play):
    async def test(world):
        await world.warm()
        lost = world.find_relays()[0]
        world.backend_by_id["shard-03-a"].work_s = 0.06
        asking = world.loop.create_task(world.ask("id-1"))
        await asyncio.sleep(0.01)
        for link in list(lost.network.links):
            link.transport.abortConnection()
        world.check(await asking, "id-1", 24)
        assert max(world.count_runs().values()) <= ROUTE.max_attempts

    play(test)


def test_no_shard_runs_more_often_than_allowed_whatever_fails(play):
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
    raise AssertionError("did not happen")


def test_a_refusal_does_not_wait_for_the_report(play):
    async def test(world):
        await world.warm()
        # Reports are due some time before hedges, which are late then.
        world.entry.context.pace.usual_ms_by_route["all"] = 100.0
        for zone in "ab":
            world.backend_by_id[f"shard-00-{zone}"].work_s = 0.15
        world.backend_by_id["shard-03-a"].refusing = True
        asking = world.loop.create_task(world.ask("id-1"))
        runs = world.backend_by_id["shard-03-b"].runs
        await wait_for(lambda: "id-1" in [r.request_id for r in runs])
        first = [
            query
            for e in world.entries
            for query in e.relay.query_by_key.values()
            if "shard-00" in query.call.services
        ]
        assert [query.first_sent for query in first] == [False]
        world.check(await asking, "id-1", 24)

    play(test)


def test_relays_give_up_when_the_caller_has_left(play):
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


def test_without_relays_the_entry_sends_itself(play):
    async def test(world):
        world.entry.context.relays.table.set_relays(2, [])
        world.check(await world.ask("id-1"), "id-1", 24)
        assert not any(e.calls for e in world.entries)

    play(test)
