"""Tests of the rate that an endpoint takes from all VMs together."""

import asyncio
import random

from twisted.internet import defer

from chervilspindle.core import loops
from chervilspindle.core import timers as timers_module
from chervilspindle.platform import names as platform_names
from chervilspindle.routing import contexts
from chervilspindle.routing import data_path_test
from chervilspindle.routing import documents
from chervilspindle.routing import entry as entry_module
from chervilspindle.routing import metrics as metrics_module
from chervilspindle.routing import peer_messages
from chervilspindle.routing import rate_permits
from chervilspindle.routing import retry_budget
from chervilspindle.tools import backends
from chervilspindle.tools import link_faults
from chervilspindle.wire import http_server
from chervilspindle.wire import messages
from chervilspindle.wire import peer
from chervilspindle.wire import streams

WINDOW_S = 4.0
SETTLE_S = 1.0  # for all VMs to be told


class Entry:
    """An entry with its server for callers and its links to the others."""

    def __init__(
        self, loop, clock, name, zone, quota_rule=None, cold_rule=None
    ):
        self.links = link_faults.FaultyLinks(loop)
        self.timers = timers_module.TimerService(clock)
        self.peer_address = data_path_test.find_address()
        self.address = data_path_test.find_address()
        self.network = peer.PeerNetwork(
            clock,
            self.timers,
            b"key",
            lambda link, message: self.entry_peer.handle(link, message),
            streams.LoopStreams(loop),
        )
        self.context = contexts.build_context(
            self.links,
            contexts.VmProfile(name, zone),
            platform_names.HEADERS,
            retry_budget.Rule(0.2, 100.0, 10.0),
            self.network,
            metrics_module.RoutingMetrics(),
            name,
            quota_rule,
            cold_rule=cold_rule,
        )
        self.context.latency_estimates.lag_ms = 0.0
        self.entry_peer = peer_messages.EntryPeer(self.context)
        self.row = messages.Relay(name, zone, self.peer_address)
        self.entry = entry_module.RoutingEntry(self.context)
        self.server = http_server.HttpServer(
            loop, self.timers, name, self.entry.handle, self.entry.read_limits
        )


class Fleet:
    """Entries that share two endpoints of each service.

    Has what `data_path_test.run_in_world` needs. Cold endpoints take
    `cold_per_s` for 60 s if the document is to say so.
    """

    def __init__(
        self,
        loop,
        entries=4,
        services=("desk",),
        quota_rule=None,
        cold_rule=None,
        cold_per_s=0.0,
    ):
        self.loop = loop
        self.services = services
        self.cold_per_s = cold_per_s
        clock = loops.LoopClock(loop)
        self.entries = [
            Entry(loop, clock, f"vm-{i}", "ab"[i % 2], quota_rule, cold_rule)
            for i in range(entries)
        ]
        self.backend_by_id = {
            f"{service}-{zone}": backends.Backend(
                loop,
                clock,
                f"{service}-{zone}",
                service,
                zone,
                data_path_test.find_address(),
            )
            for service in services
            for zone in "ab"
        }
        self.asked = 0

    async def start(self):
        for backend in self.backend_by_id.values():
            await backend.start()
        services = {
            name: documents.Service(name, "/health", 40, 60.0, self.cold_per_s)
            for name in self.services
        }
        document = documents.Document(
            3, data_path_test.ROUTES, services, documents.Limits()
        )
        rows = [e.row for e in self.entries]
        for entry in self.entries:
            await entry.network.listen(entry.peer_address).asFuture(self.loop)
            await entry.server.listen(entry.address, 64)
            entry.entry.update_document(document)
            context = entry.context
            context.budget.update_totals(len(rows), 0)
            context.relays.table.set_relays(1, rows)
            for backend in self.backend_by_id.values():
                context.table.put(backend.build_row())

    def stop(self):
        for entry in self.entries:
            entry.server.stop()
            entry.network.close()
        for backend in self.backend_by_id.values():
            backend.stop()

    async def ask(self, number, path, method="GET", body=b""):
        """Send one request to an entry; return status, headers and body."""
        self.asked += 1
        request_id = f"id-{self.asked}"
        entry = self.entries[number]
        host, port = entry.address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: h.example\r\n"
            f"{platform_names.HEADERS.request_id}: {request_id}\r\n"
            f"{platform_names.HEADERS.deadline_ms}: 900\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        writer.write(head.encode() + body)
        answer = await data_path_test.read_answer(reader)
        writer.close()
        return answer

    async def ask_evenly(self, path, rate, seconds, numbers):
        """Send requests at a rate to the entries of `numbers` in turn."""
        asks = []
        start_s = self.loop.time()
        for i in range(int(rate * seconds)):
            await asyncio.sleep(
                max(0.0, start_s + i / rate - self.loop.time())
            )
            ask = self.ask(numbers[i % len(numbers)], path)
            asks.append(asyncio.create_task(ask))
        return await asyncio.gather(*asks)


def find_busiest_window(arrivals_s, after_s, window_s=WINDOW_S):
    """Return the most arrivals in any window that starts at a given time."""
    times = [t for t in arrivals_s if t >= after_s]
    return max(
        (
            sum(1 for t in times if start <= t < start + window_s)
            for start in times
        ),
        default=0,
    )


def run_in_fleet(test, **options):
    data_path_test.run_in_world(lambda loop: Fleet(loop, **options), test, 20)


def test_all_vms_together_keep_to_the_limit_that_an_endpoint_names():
    async def test(fleet):
        limited = fleet.backend_by_id["desk-a"]
        limited.limit_per_s = 4.0
        start_s = fleet.loop.time()
        answers = await fleet.ask_evenly(
            "/one/x", 40.0, SETTLE_S + WINDOW_S + 1.0, (0, 0, 0, 1, 2, 3)
        )
        busiest = find_busiest_window(limited.arrivals_s, start_s + SETTLE_S)
        assert busiest <= 1.5 * WINDOW_S * limited.limit_per_s + 5
        assert {status for status, *_ in answers} == {200}

    run_in_fleet(test)


def test_limited_endpoints_serve_their_limit_and_the_rest_is_refused_at_once():
    async def test(fleet):
        for backend in fleet.backend_by_id.values():
            backend.limit_per_s = 5.0
        seconds = SETTLE_S + WINDOW_S
        took_s = []

        async def ask(number):
            started_s = fleet.loop.time()
            status, headers, _ = await fleet.ask(number, "/one/x")
            took_s.append(fleet.loop.time() - started_s)
            return status, float(headers.get("retry-after", 0.0))

        asks = []
        for i in range(int(30 * seconds)):
            asks.append(asyncio.create_task(ask(i % 4)))
            await asyncio.sleep(1.0 / 30)
        answers = await asyncio.gather(*asks)
        statuses = [status for status, _ in answers]
        assert set(statuses) == {200, 503}
        assert statuses.count(200) >= 0.8 * 10.0 * seconds
        assert all(after > 0.0 for status, after in answers if status == 503)
        objective_s = data_path_test.ROUTES[2].objective_ms / 1000.0
        assert max(took_s) < objective_s
        for backend in fleet.backend_by_id.values():
            after_s = backend.arrivals_s[0] + SETTLE_S
            busiest = find_busiest_window(backend.arrivals_s, after_s)
            assert busiest <= 1.5 * WINDOW_S * backend.limit_per_s + 5
            assert len(backend.runs) == len(backend.arrivals_s)

    run_in_fleet(test)


def find_issuer(fleet):
    """Return the entry that issues the permits of the endpoint desk-a."""
    rows = [e.row for e in fleet.entries]
    issuer = rate_permits.choose_issuer(rows, "desk-a", "a")
    return [e for e in fleet.entries if e.row == issuer][0]


def test_the_limit_holds_while_the_issuer_is_lost():
    async def test(fleet):
        limited = fleet.backend_by_id["desk-a"]
        limited.limit_per_s = 4.0
        start_s = fleet.loop.time()
        lost = find_issuer(fleet)
        numbers = [i for i, e in enumerate(fleet.entries) if e is not lost]

        def lose():
            lost.network.handler = lambda link, message: defer.Deferred()

        fleet.loop.call_later(2.0, lose)
        answers = await fleet.ask_evenly("/one/x", 40.0, 7.0, numbers)
        busiest = find_busiest_window(limited.arrivals_s, start_s + SETTLE_S)
        assert busiest <= 1.5 * WINDOW_S * limited.limit_per_s + 5
        assert {status for status, *_ in answers} == {200}

    run_in_fleet(test)


def test_vms_keep_to_the_limit_where_the_issuer_knows_no_permits():
    async def test(fleet):
        limited = fleet.backend_by_id["desk-a"]
        limited.limit_per_s = 4.0
        start_s = fleet.loop.time()
        older = find_issuer(fleet)
        older.network.own_version = 2
        received = []
        older.network.handler = lambda link, message: received.append(message)
        numbers = [i for i, e in enumerate(fleet.entries) if e is not older]
        answers = await fleet.ask_evenly("/one/x", 40.0, 5.0, numbers)
        busiest = find_busiest_window(limited.arrivals_s, start_s + SETTLE_S)
        assert busiest <= 1.5 * WINDOW_S * limited.limit_per_s + 5
        assert {status for status, *_ in answers} == {200}
        assert received == []

    run_in_fleet(test)


def test_a_shard_whose_endpoints_are_at_their_limit_is_left_out():
    async def test(fleet):
        for zone in "ab":
            fleet.backend_by_id[f"shard-0-{zone}"].limit_per_s = 1.0
        answers = await fleet.ask_evenly("/all/x", 20.0, 3.0, (0, 1, 2, 3))
        assert {status for status, *_ in answers} == {200}
        missing = [data_path_test.read_missing(h) for _, h, _ in answers]
        assert set(missing) == {0, 1}
        for zone in "ab":
            backend = fleet.backend_by_id[f"shard-0-{zone}"]
            after_s = backend.arrivals_s[0] + SETTLE_S
            times = [t for t in backend.arrivals_s if t > after_s]
            assert len(times) <= 1.5 * WINDOW_S + 5

    run_in_fleet(test, services=data_path_test.SHARDS)


def test_a_query_with_too_few_shards_open_is_refused_before_it_is_sent():
    async def test(fleet):
        entry = fleet.entries[0]
        now = fleet.loop.time()
        for backend in fleet.backend_by_id.values():
            if backend.service != "shard-0":
                target = entry.context.table.target_by_id[backend.endpoint_id]
                target.restrictions.limit_per_s = 1.0
                target.restrictions.closed_until_s = now + 2.0
        status, headers, _ = await fleet.ask(0, "/all/x")
        assert status == 503 and 1.5 < float(headers["retry-after"]) <= 2.0
        assert not any(b.arrivals_s for b in fleet.backend_by_id.values())

    run_in_fleet(test, services=data_path_test.SHARDS)


def test_issuers_that_disagree_stay_within_the_limit():
    """VMs join and leave; each VM gets the new list up to 1.2 s later."""
    for seed in range(20):
        generator = random.Random(seed)
        now = [0.0]
        limit = 8.0
        names = [f"vm-{i}" for i in range(15)]
        relays = {n: messages.Relay(n, "a", n) for n in names}

        class Table:
            relays = ()

        tables = {n: Table() for n in names}
        issuers = {
            n: rate_permits.PermitIssuer(n, tables[n], lambda: now[0])
            for n in names
        }
        live = set(names)
        pending = []
        for table in tables.values():
            table.relays = tuple(relays.values())
        sent = []
        next_change_s = 2.0
        while now[0] < 30.0:
            now[0] += 0.01
            if now[0] >= next_change_s:
                next_change_s += 4.0
                live ^= {generator.choice(names)}
                rows = tuple(relays[n] for n in names if n in live)
                for n in names:
                    due_s = now[0] + generator.uniform(0.0, 1.2)
                    pending.append((due_s, n, rows))
            for item in [p for p in pending if p[0] <= now[0]]:
                pending.remove(item)
                tables[item[1]].relays = item[2]
            asker = generator.choice(names)
            issuer = rate_permits.choose_issuer(
                tables[asker].relays, "e-1", "a"
            )
            call = messages.PermitCall("e-1", "a", limit, 0.0, 0.0)
            reply = issuers[issuer.vm_id].issue(call)
            if reply.is_issuer and reply.granted:
                sent.append(now[0])
        assert find_busiest_window(sent, 0.0) <= 1.5 * WINDOW_S * limit + 5
        assert len(sent) >= 0.7 * limit * 30.0


def test_vms_without_an_issuer_share_a_part_of_the_limit():
    now = 0.0

    class Loop:
        def time(self):
            return now

    class Budget:
        vms = 60

    call = messages.PermitCall("e-1", "a", 8.0, 0.0, 0.0)
    clients = [
        rate_permits.PermitClient(
            Loop(), None, None, Budget, random.Random(seed)
        )
        for seed in range(Budget.vms)
    ]
    sent = []
    while now < 120.0:
        now += 0.05
        sent += [now for c in clients if c.reserve_alone(call).granted]
    share = rate_permits.FALLBACK_SHARE * call.limit_per_s
    assert 0.8 * share * 120.0 < len(sent) <= share * 120.0 + Budget.vms
    busiest = find_busiest_window(sent, 0.0)
    assert busiest <= 1.5 * WINDOW_S * share + 5


def test_a_pacer_grants_up_to_the_wait_that_the_caller_accepts():
    pacer = rate_permits.Pacer(2.0, 0.0, 0.0)
    assert pacer.reserve(0.0, 0.0) == (True, 0.0)
    assert pacer.reserve(0.1, 0.0) == (False, 0.4)
    assert pacer.reserve(0.1, 0.4) == (True, 0.4)
    assert pacer.reserve(0.1, 0.5) == (False, 0.9)


def test_a_pacer_keeps_the_rate_that_was_named_last():
    pacer = rate_permits.Pacer(2.0, 0.0, 0.0)
    pacer.set_rate(4.0, 1.0)
    pacer.set_rate(8.0, 0.5)
    assert pacer.rate_per_s == 4.0
