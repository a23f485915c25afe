"""Tests of the limit of endpoints that are cold, which crash above it."""

import asyncio
import heapq
import itertools
import math
import random
import typing

import pytest
from twisted.internet import defer

from chervilspindle.platform import names as platform_names
from chervilspindle.policy import shared_limits
from chervilspindle.routing import data_path_test
from chervilspindle.routing import documents
from chervilspindle.routing import permission
from chervilspindle.routing import rate_limit_test
from chervilspindle.routing import rate_permits
from chervilspindle.wire import messages

RULE = shared_limits.ColdRule(1.5, 5.0)
COLD_HEADER = platform_names.HEADERS.cold_left_ms.encode()


def compute_bound(limit):
    return RULE.overload * limit + RULE.slack


def build_cold(per_s=4.0, left_s=5.0, now=10.0):
    restrictions = permission.Restrictions("e-1")
    permission.set_cold_limit(restrictions, per_s, 20.0)
    assert permission.record_cold(restrictions, left_s, now)
    return restrictions


def test_a_cold_endpoint_needs_a_permit_until_it_is_warm():
    restrictions = build_cold()
    verdict = permission.evaluate(restrictions, 14.9)
    assert verdict == (True, True, 14.9, permission.COLD)
    assert permission.evaluate(restrictions, 15.0) == (True, False, 15.0, "")


def test_a_cold_endpoint_without_a_stated_rate_has_no_limit():
    restrictions = permission.Restrictions("e-1")
    permission.set_cold_limit(restrictions, None, 20.0)
    assert not permission.record_cold(restrictions, 5.0, 10.0)
    assert permission.is_cold(restrictions, 11.0)
    assert not permission.evaluate(restrictions, 11.0).reason


def test_a_cold_time_that_is_not_known_is_that_of_the_document():
    restrictions = permission.Restrictions("e-1")
    permission.record_cold(restrictions, None, 10.0)
    assert permission.is_cold(restrictions, 1e6)
    permission.set_cold_limit(restrictions, 4.0, 20.0)
    assert permission.evaluate(restrictions, 29.9).needs_permit
    assert not permission.evaluate(restrictions, 30.0).needs_permit


def test_an_endpoint_that_says_that_it_is_warm_is_no_longer_limited():
    restrictions = build_cold()
    permission.record_cold(restrictions, 0.0, 11.0)
    assert not permission.evaluate(restrictions, 11.0).needs_permit


def test_the_lower_of_two_limits_holds():
    restrictions = build_cold(per_s=4.0)
    assert permission.get_shared_limit(restrictions, 11.0) == (4.0, 0.0, True)
    permission.record_limit(restrictions, b"2", 10.5, 11.0)
    assert permission.get_shared_limit(restrictions, 11.0) == (2.0, 0.0, True)
    permission.record_limit(restrictions, b"9", 11.0, 11.5)
    assert permission.get_shared_limit(restrictions, 11.5) == (4.0, 0.0, True)
    assert permission.get_shared_limit(restrictions, 16.0) == (
        9.0,
        4.5,
        False,
    )


def test_an_endpoint_that_accepted_no_connection_may_have_started_again():
    restrictions = permission.Restrictions("e-1")
    permission.suspect_cold(restrictions, 10.0, 10.1)
    assert not permission.evaluate(restrictions, 10.1).needs_permit
    permission.set_cold_limit(restrictions, 4.0, 20.0)
    permission.suspect_cold(restrictions, -math.inf, 10.1)
    assert not permission.evaluate(restrictions, 10.1).needs_permit
    permission.suspect_cold(restrictions, 10.0, 10.1)
    assert permission.evaluate(restrictions, 10.1).needs_permit
    until_s = 10.0 + permission.SUSPECTED_S
    assert not permission.evaluate(restrictions, until_s).needs_permit


@pytest.mark.parametrize(
    "value,left_s",
    (
        (b"0", 0.0),
        (b" 1500 ", 1.5),
        (b"12.5", 0.0125),
        (b"999999999", permission.MAX_COLD_S),
        (b"", None),
        (b"-1", None),
        (b"soon", None),
        (b"nan", None),
        (b"1e3", None),
        (b"9" * 400, None),
        (b"\xb2", None),
    ),
)
def test_a_cold_time_is_read_within_bounds(value, left_s):
    assert permission.parse_cold_left_s(value) == left_s


class Endpoint(typing.NamedTuple):
    """What a permit is asked for."""

    endpoint_id: str
    zone: str


class Target(typing.NamedTuple):
    """An endpoint and its restrictions."""

    endpoint: Endpoint
    restrictions: permission.Restrictions


class SimulatedVm:
    """A VM that asks for permits, and may issue them; stops at times."""

    def __init__(self, simulation, name):
        self.simulation = simulation
        self.row = messages.Relay(name, "a", name)
        self.relays = ()
        self.stopped_until_s = 0.0
        self.vms = simulation.vm_count
        self.issuer = rate_permits.PermitIssuer(name, self, self.time)
        self.client = rate_permits.PermitClient(
            self, self, self.issuer, self, simulation.random
        )

    # The loop of the VM.

    def time(self):
        return self.simulation.now

    def call_at(self, due_s, callback, *args):
        return self.simulation.schedule(due_s, self, callback, args)

    def call_later(self, delay_s, callback, *args):
        return self.call_at(self.time() + delay_s, callback, *args)

    # Its network.

    def call(self, address, message, timeout_s):
        """Deliver a call and its reply, each late, or neither."""
        deferred = defer.Deferred()
        simulation = self.simulation
        if simulation.random.random() < simulation.lost_share:
            return deferred
        other = simulation.vm_by_name[address]

        def answer():
            reply = other.issuer.issue(message)
            self.call_later(
                simulation.draw_delay_s(), deferred.callback, reply
            )

        other.call_later(simulation.draw_delay_s(), answer)
        return deferred


class Event:
    """A timer of the simulation."""

    def __init__(self, vm, callback, args):
        self.vm = vm
        self.callback = callback
        self.args = args

    def cancel(self):
        self.callback = None


class Simulation:
    """VMs that ask for permits to send to one cold endpoint."""

    def __init__(self, seed, limit, vm_count=24, lost_share=0.0):
        self.random = random.Random(seed)
        self.limit = limit
        self.vm_count = vm_count
        self.lost_share = lost_share
        self.now = 0.0
        self.events = []
        self.order = itertools.count()
        names = [f"vm-{i}" for i in range(vm_count)]
        self.vm_by_name = {n: SimulatedVm(self, n) for n in names}
        self.arrivals_s = []

    def draw_delay_s(self):
        return self.random.uniform(0.0005, 0.005)

    def schedule(self, due_s, vm, callback, args):
        event = Event(vm, callback, args)
        heapq.heappush(self.events, (due_s, next(self.order), event))
        return event

    def set_list(self, names, spread_s):
        """Send all VMs a list of entries, each at its own time."""
        relays = tuple(self.vm_by_name[n].row for n in names)
        for vm in self.vm_by_name.values():
            delay_s = self.random.uniform(0.0, spread_s)
            vm.call_later(delay_s, setattr, vm, "relays", relays)

    def ask(self, vm):
        """Ask for a permit and send with it."""
        endpoint = Endpoint("e-1", "a")
        target = Target(endpoint, build_cold(self.limit, 1e6, self.now))

        def send(granted):
            if granted:
                lifetime_s = rate_permits.COLD_PERMIT_LIFETIME_S
                delay_s = self.random.uniform(0.0, lifetime_s)
                self.arrivals_s.append(self.now + delay_s)

        vm.client.acquire(target, self.random.choice((0.0, 0.05)), send)

    def run(self, until_s, asks_per_s):
        """Run with random VMs that ask."""
        next_ask_s = self.now
        vms = list(self.vm_by_name.values())
        while True:
            due_s = self.events[0][0] if self.events else math.inf
            if min(due_s, next_ask_s) > until_s:
                self.now = until_s
                return
            if next_ask_s <= due_s:
                self.now = next_ask_s
                next_ask_s += self.random.expovariate(asks_per_s)
                vm = self.random.choice(vms)
                if vm.stopped_until_s <= self.now:
                    self.ask(vm)
                continue
            _, _, event = heapq.heappop(self.events)
            self.now = max(self.now, due_s)
            if event.callback is None:
                continue
            if event.vm.stopped_until_s > self.now:
                # What was due meanwhile runs once the VM goes on.
                item = (event.vm.stopped_until_s, next(self.order), event)
                heapq.heappush(self.events, item)
                continue
            event.callback(*event.args)


def check_bound(simulation, seed):
    busiest = rate_limit_test.find_busiest_window(
        simulation.arrivals_s, 0.0, 1.0
    )
    assert busiest <= compute_bound(simulation.limit), f"seed {seed}"


@pytest.mark.parametrize("limit", (2.0, 10.0, 40.0))
def test_the_limit_holds_in_each_second_and_is_used(limit):
    simulation = Simulation(1, limit)
    simulation.set_list(simulation.vm_by_name, 0.0)
    simulation.run(20.0, 5.0 * limit)
    check_bound(simulation, 1)
    used = [t for t in simulation.arrivals_s if t > 5.0]
    assert len(used) >= 0.85 * limit * 15.0


@pytest.mark.parametrize("limit", (2.0, 10.0, 40.0))
def test_the_limit_holds_while_issuers_change_stop_and_are_lost(limit):
    """VMs join, leave and stop; lists come late; calls are lost."""
    for seed in range(25):
        simulation = Simulation(seed, limit, lost_share=0.05)
        names = list(simulation.vm_by_name)
        live = set(names)
        simulation.set_list(names, 0.0)
        while simulation.now < 24.0:
            simulation.run(simulation.now + 2.0, 6.0 * limit)
            live ^= {simulation.random.choice(names)}
            simulation.set_list(sorted(live), 1.2)
            vm = simulation.vm_by_name[simulation.random.choice(names)]
            stopped_s = simulation.random.choice((0.05, 0.3, 1.5))
            vm.stopped_until_s = simulation.now + stopped_s
        check_bound(simulation, seed)


@pytest.mark.parametrize("limit", (2.0, 40.0))
def test_the_limit_holds_while_no_vm_knows_an_issuer(limit):
    for seed in range(10):
        simulation = Simulation(seed, limit, vm_count=108)
        simulation.run(10.0, 20.0 * limit)
        simulation.run(12.0, 0.01)
        for vm in simulation.vm_by_name.values():
            simulation.ask(vm)  # all at once, after a time of rest
        simulation.run(20.0, 20.0 * limit)
        check_bound(simulation, seed)
        assert len(simulation.arrivals_s) <= 0.2 * limit * 20.0 + 5


def run_in_fleet(test, cold_per_s=4.0, rule=RULE, **options):
    options.update(cold_rule=rule, cold_per_s=cold_per_s)
    rate_limit_test.run_in_fleet(test, **options)


def announce(fleet, endpoint_id, state):
    """Send the row of an endpoint to all entries."""
    row = fleet.backend_by_id[endpoint_id].build_row()
    for entry in fleet.entries:
        entry.context.table.put(row._replace(state=state))


def find_busiest_second(backend, after_s=0.0):
    return rate_limit_test.find_busiest_window(
        backend.arrivals_s, after_s, 1.0
    )


def test_all_vms_together_keep_to_the_limit_of_a_cold_endpoint():
    async def test(fleet):
        cold, warm = (fleet.backend_by_id[f"desk-{z}"] for z in "ab")
        announce(fleet, "desk-a", "warming")
        answers = await fleet.ask_evenly("/one/x", 60.0, 4.0, (0, 1, 2, 3))
        assert {status for status, *_ in answers} == {200}
        assert find_busiest_second(cold) <= compute_bound(4.0)
        assert len(warm.arrivals_s) > 200
        announce(fleet, "desk-a", "ready")
        before = len(cold.arrivals_s)
        await fleet.ask_evenly("/one/x", 60.0, 1.0, (0, 2))
        assert len(cold.arrivals_s) - before > 30

    run_in_fleet(test)


def test_a_service_that_is_cold_as_a_whole_serves_its_limit():
    """The rest is refused as not run, so that no endpoint crashes."""

    async def test(fleet):
        for zone in "ab":
            announce(fleet, f"desk-{zone}", "warming")
        answers = await fleet.ask_evenly("/one/x", 80.0, 6.0, (0, 1, 2, 3))
        statuses = [status for status, *_ in answers]
        assert set(statuses) == {200, 503}
        assert statuses.count(200) >= 15
        for backend in fleet.backend_by_id.values():
            assert find_busiest_second(backend) <= compute_bound(4.0)
        runs = sum(len(b.runs) for b in fleet.backend_by_id.values())
        assert runs == statuses.count(200)

    run_in_fleet(test)


def test_an_endpoint_that_turns_cold_is_noticed_at_its_first_answer():
    async def test(fleet):
        cold = fleet.backend_by_id["desk-a"]
        await fleet.ask_evenly("/one/x", 20.0, 1.0, (0, 1, 2, 3))
        cold.extra_headers = ((COLD_HEADER, b"60000"),)
        turned_s = fleet.loop.time()
        answers = await fleet.ask_evenly("/one/x", 60.0, 4.0, (0, 1, 2, 3))
        assert {status for status, *_ in answers} == {200}
        assert find_busiest_second(cold, turned_s) <= compute_bound(4.0)
        # Those of the other zone may have sent nothing there.
        for entry in fleet.entries[::2]:
            target = entry.context.table.target_by_id["desk-a"]
            assert target.restrictions.cold_until_s > fleet.loop.time()

    run_in_fleet(test)


@pytest.mark.parametrize(
    "options", ({"rule": None}, {"cold_per_s": 0.0}), ids=("rule", "rate")
)
def test_there_is_no_limit_where_the_rule_or_the_rate_is_missing(options):
    async def test(fleet):
        announce(fleet, "desk-a", "warming")
        await fleet.ask_evenly("/one/x", 60.0, 1.0, (0, 2))
        assert len(fleet.backend_by_id["desk-a"].arrivals_s) > 50

    run_in_fleet(test, **options)


def test_no_hedge_goes_to_a_cold_endpoint():
    async def test(fleet):
        near, cold = (fleet.backend_by_id[f"desk-{z}"] for z in "ab")
        announce(fleet, "desk-b", "warming")
        near.work_s = 0.2
        for _ in range(3):
            status, _, _ = await fleet.ask(0, "/one/x")
            assert status == 200
        assert not cold.arrivals_s and len(near.arrivals_s) == 3

    run_in_fleet(test)


def test_an_endpoint_that_starts_again_is_not_sent_all_at_once():
    """Its announcement may take a moment, and it is cold from its start."""

    async def test(fleet):
        cold = fleet.backend_by_id["desk-a"]
        await fleet.ask_evenly("/one/x", 20.0, 0.5, (0, 2))
        for entry in fleet.entries:
            other = entry.context.table.target_by_id["desk-b"]
            other.restrictions.paused_until_s = math.inf
        cold.stop()
        answers = await fleet.ask_evenly("/one/x", 20.0, 0.5, (0, 2))
        assert {status for status, *_ in answers} <= {502, 503}
        await cold.start()
        started_s = fleet.loop.time()
        answers = await fleet.ask_evenly("/one/x", 60.0, 3.0, (0, 2))
        assert {status for status, *_ in answers} == {200, 503}
        # The last failed attempt was a moment before the start.
        window_s = permission.SUSPECTED_S - 1.0
        early = [t for t in cold.arrivals_s if 0.0 <= t - started_s < window_s]
        assert len(early) <= compute_bound(4.0)

    run_in_fleet(test)


def test_requests_that_wait_for_an_endpoint_are_chosen_anew_once_it_is_cold():
    async def test(fleet):
        entry = fleet.entries[0]
        cold, other = (fleet.backend_by_id[f"desk-{z}"] for z in "ab")
        target = entry.context.table.target_by_id["desk-a"]
        target.pool.max_connections = 1
        cold.paused = True
        asks = [
            asyncio.create_task(fleet.ask(0, "/once/x")) for _ in range(30)
        ]
        await asyncio.sleep(0.05)
        waiting = len(target.pool.waiting)
        arrived = len(cold.arrivals_s)
        announce(fleet, "desk-a", "warming")
        target.pool.max_connections = 12
        await asyncio.sleep(0.05)
        cold.resume()
        answers = await asyncio.gather(*asks)
        assert waiting > 5
        assert len(cold.arrivals_s) - arrived <= compute_bound(4.0)
        assert len(other.arrivals_s) >= waiting - compute_bound(4.0)
        assert {status for status, *_ in answers} == {200}

    run_in_fleet(test)


def test_the_announced_time_is_counted_from_the_row_that_brings_it():
    """An endpoint may be cold again before control has seen it warm."""
    loop = asyncio.new_event_loop()
    world = data_path_test.World(loop)
    world.table.cold_rule = RULE
    service = documents.Service("desk", "/health", 20, 60.0, 4.0)
    world.table.set_services({"desk": service})
    backend = world.backend_by_id["desk-a"]

    def announce(**changes):
        world.announce(backend, **changes)
        target = world.table.target_by_id["desk-a"]
        return target.restrictions.cold_until_s - loop.time()

    assert 19.0 < announce(state="warming", cold_left_ms=20000.0) <= 20.0
    first = world.table.target_by_id["desk-a"].restrictions.cold_until_s
    announce(state="warming", cold_left_ms=20000.0)  # the same row again
    again = world.table.target_by_id["desk-a"].restrictions.cold_until_s
    assert again == first
    row = {"state": "warming", "sequence": 9}
    assert 29.0 < announce(cold_left_ms=30000.0, **row) <= 30.0
    assert announce(state="ready", sequence=10) <= 0.0
    assert 59.0 < announce(state="warming", sequence=11) <= 60.0
    loop.close()


def test_a_document_without_the_rate_ends_the_limit():
    loop = asyncio.new_event_loop()
    world = data_path_test.World(loop)
    world.table.cold_rule = RULE
    for backend in world.backend_by_id.values():
        world.announce(backend, state="warming")
    restrictions = world.table.target_by_id["desk-a"].restrictions

    def apply(**changes):
        service = documents.Service("desk", "/health", 20)
        world.table.set_services({"desk": service._replace(**changes)})
        now = loop.time()
        return permission.evaluate(restrictions, now).needs_permit

    assert not apply()
    assert apply(cold_requests_per_s=4.0)
    assert apply(cold_requests_per_s=4.0, cold_start_s=60.0)
    assert not apply(cold_start_s=60.0)
    assert not apply(cold_requests_per_s=-1.0)
    loop.close()
