"""Simulations of load shedding by priority and account, without a network.

Some VMs send to the same endpoints, each by what the endpoints stated in the
answers that it heard. What callers get is compared with first come, first
served. Times and rates are those of the deployments of
`docs/ACCOUNTS-AND-LOAD.md`, with fewer shards.
"""

import collections
import heapq
import random
import typing

import pytest

from chervilspindle.routing import documents
from chervilspindle.routing import endpoint_calls
from chervilspindle.routing import overload

SLOTS = 2
SHARDS = ("s0", "s1", "s2", "s3")
REPLICAS = 3
START_S = 2.0  # until then, half of the capacity is asked for
END_S = 8.0
LOAD_DECAY_S = 0.25  # as in `selection`
PAUSE_S = 0.1
PAUSE_PERIOD_S = 2.4
MIN_COVERAGE = 0.5
LATE_WORTH = 0.15  # of a single request after its objective
DEMANDS = (1.0, 1.7, 2.1, 3.0)  # times the capacity
# Weight of the statistical error of a few hundred requests.
TOLERANCE = 0.03


class Traffic(typing.NamedTuple):
    """Requests of one route.

    Parameters
    ----------
    route : documents.Route
    work_s : float
        Mean time of one part.
    in_time_s : float
        Objective without the network's and the entry's time.
    weight : float
        Relative rate.
    """

    route: documents.Route
    work_s: float
    in_time_s: float
    weight: float


class Caller(typing.NamedTuple):
    """A client account, its relative rate, and repeats of refused requests."""

    account: documents.Account
    weight: float = 1.0
    repeats: int = 0


class Mix(typing.NamedTuple):
    """Traffic over the endpoints of some services.

    Parameters
    ----------
    traffic : tuple of Traffic
    replicas, slots : int
        Endpoints of each service, and requests that one runs at a time.
    speeds : tuple of float
        Of the replicas.
    """

    traffic: tuple[Traffic, ...]
    replicas: int
    slots: int
    speeds: tuple[float, ...] = (1.0,)

    def compute_capacity(self) -> float:
        """Return the requests per second that the endpoints can run."""
        speeds = [
            self.speeds[i % len(self.speeds)] for i in range(self.replicas)
        ]
        work_s = sum(t.work_s * t.weight for t in self.traffic)
        weight = sum(t.weight for t in self.traffic)
        return self.slots * sum(speeds) / (work_s / weight)


class Outcome:
    """What callers got of one kind of requests; mutable."""

    def __init__(self):
        self.wanted = 0  # repeats not counted
        self.asked = 0
        self.served = 0
        self.worth = 0.0

    def add(self, other):
        self.wanted += other.wanted
        self.asked += other.asked
        self.served += other.served
        self.worth += other.worth

    def get_served_share(self) -> float:
        return self.served / self.asked

    def get_worth(self) -> float:
        return self.worth / self.wanted


def build_route(name, priority, objective_ms, shards=SHARDS):
    alternatives = ()
    if not shards:
        alternatives = (documents.WeightedService("desk", 1.0),)
    return documents.Route(
        name,
        "h",
        f"/{name}/",
        True,
        1000.0,
        objective_ms,
        priority,
        2,
        alternatives,
        shards,
    )


def build_caller(name, weight=1.0, priority=None, repeats=0):
    account = documents.Account(name, (), priority)
    return Caller(account, weight, repeats)


FIRST = Mix(
    (
        Traffic(build_route("wide", 1, 135.0), 0.0112, 0.115, 12.6),
        Traffic(build_route("quick", 0, 46.0), 0.00375, 0.030, 7.3),
    ),
    REPLICAS,
    SLOTS,
)
SECOND = Mix(
    (
        Traffic(build_route("wide", 1, 170.0), 0.0165, 0.150, 15.8),
        Traffic(build_route("quick", 2, 87.0), 0.0057, 0.070, 5.3),
    ),
    REPLICAS,
    SLOTS,
    (0.8, 1.0, 1.3),
)
SINGLE = Mix(
    (Traffic(build_route("desk", 2, 602.0, ()), 0.09, 0.59, 1.0),), 4, 3
)
CALLERS = tuple(
    build_caller(f"c{number}", 4.0 if number < 2 else 1.0)
    for number in range(10)
)


class Query:
    """One admitted request; mutable."""

    __slots__ = ("started_s", "traffic", "outcome", "pending", "in_time")

    def __init__(self, started_s, traffic, outcome, pending):
        self.started_s = started_s
        self.traffic = traffic
        self.outcome = outcome
        self.pending = pending
        self.in_time = 0


class Endpoint:
    """One endpoint that runs parts in the order of their arrival."""

    def __init__(self, slots, speed, phase_s):
        self.free_s = [0.0] * slots
        self.slots = slots
        self.speed = speed
        self.phase_s = phase_s
        self.count = 0

    def run(self, now, work_s):
        """Return when a part that arrives now ends."""
        start = max(now, heapq.heappop(self.free_s))
        into_period = (start + self.phase_s) % PAUSE_PERIOD_S
        start += max(0.0, PAUSE_S - into_period)
        end = start + work_s / self.speed
        heapq.heappush(self.free_s, end)
        self.count += 1
        return end


class Vm:
    """What one VM knows: its shedder, and the last loads of endpoints."""

    def __init__(self, shedder):
        self.shedder = shedder
        self.load_by_endpoint = {}
        self.own = collections.Counter()

    def choose(self, candidates, now, rng):
        """Return the endpoint with the least load, as far as known."""

        def estimate(endpoint):
            load, heard_s = self.load_by_endpoint.get(endpoint, (0.0, -9.0))
            fresh = max(0.0, 1.0 - (now - heard_s) / LOAD_DECAY_S)
            known = max(load * fresh, self.own[endpoint])
            cost = 1.0 + max(0.0, known - endpoint.slots + 1.0)
            return cost * (1.0 + 0.1 * rng.random())

        return min(candidates, key=estimate)


class Simulation:
    """Requests at a rate to a mix of routes.

    Parameters
    ----------
    mix : Mix
    demand : float
        Times the capacity, from `START_S` on.
    sheds : bool
        False for first come, first served.
    vms : int
        That callers send to.
    """

    def __init__(self, mix, demand, sheds, vms=12, callers=CALLERS, seed=3):
        self.random = random.Random(seed)
        self.mix = mix
        self.sheds = sheds
        self.callers = callers
        self.rate = demand * mix.compute_capacity()
        self.early_rate = 0.5 * mix.compute_capacity()
        routes = tuple(t.route for t in mix.traffic)
        document = documents.Document(
            1,
            routes,
            {},
            documents.Limits(),
            tuple(c.account for c in callers),
        )
        self.vms = []
        for _ in range(vms):
            shedder = overload.Shedder(self.random)
            shedder.update_document(document)
            self.vms.append(Vm(shedder))
        services = routes[0].shards or ("desk",)
        self.endpoints_by_service = {
            service: [
                Endpoint(
                    mix.slots,
                    mix.speeds[i % len(mix.speeds)],
                    self.random.uniform(0.0, PAUSE_PERIOD_S),
                )
                for i in range(mix.replicas)
            ]
            for service in services
        }
        self.outcome_by_key = collections.defaultdict(Outcome)
        self.events = []
        self.count = 0

    def push(self, due_s, handler, *args):
        self.count += 1
        heapq.heappush(self.events, (due_s, self.count, handler, args))

    def run(self):
        """Play the simulation and return it."""
        self.push(0.0, self.arrive)
        while self.events:
            now, _, handler, args = heapq.heappop(self.events)
            if now > END_S:
                break
            handler(now, *args)
        return self

    def arrive(self, now):
        rate = self.rate if now >= START_S else self.early_rate
        self.push(now + self.random.expovariate(rate), self.arrive)
        mix = self.mix
        (traffic,) = self.random.choices(
            mix.traffic, [t.weight for t in mix.traffic]
        )
        (caller,) = self.random.choices(
            self.callers, [c.weight for c in self.callers]
        )
        incoming = endpoint_calls.IncomingRequest(
            None, traffic.route, 1, b"", None, caller.account
        )
        outcome = Outcome()  # not counted
        if now >= START_S + 0.5:
            key = (
                incoming.get_priority(),
                caller.account.name,
                traffic.route.name,
            )
            outcome = self.outcome_by_key[key]
        outcome.wanted += 1
        for _ in range(1 + caller.repeats):
            outcome.asked += 1
            vm = self.random.choice(self.vms)
            if self.admit(vm, incoming, now):
                self.send(vm, traffic, outcome, now)
                return

    def admit(self, vm, incoming, now):
        if not self.sheds:
            return True
        service = next(iter(self.endpoints_by_service))
        return vm.shedder.decide(incoming, service, now).admitted

    def send(self, vm, traffic, outcome, now):
        outcome.served += 1
        services = self.endpoints_by_service
        query = Query(now, traffic, outcome, len(services))
        for service, endpoints in services.items():
            endpoint = vm.choose(endpoints, now, self.random)
            vm.own[endpoint] += 1
            work_s = self.random.lognormvariate(-0.06, 0.35) * traffic.work_s
            end = endpoint.run(now, work_s)
            self.push(end, self.end_part, vm, service, endpoint, query)

    def end_part(self, now, vm, service, endpoint, query):
        endpoint.count -= 1
        vm.own[endpoint] -= 1
        vm.load_by_endpoint[endpoint] = (endpoint.count, now)
        load = endpoint.count / endpoint.slots
        vm.shedder.record_load(service, load, now)
        took_s = now - query.started_s
        query.in_time += took_s <= query.traffic.in_time_s
        query.pending -= 1
        if query.pending:
            return
        coverage = query.in_time / len(self.endpoints_by_service)
        if coverage >= MIN_COVERAGE:
            query.outcome.worth += coverage**2
        elif not query.traffic.route.shards:
            query.outcome.worth += LATE_WORTH

    def sum_up(self, place=None):
        """Return outcomes by one part of their key, or that of all."""
        summed = collections.defaultdict(Outcome)
        for key, outcome in self.outcome_by_key.items():
            summed[key[place] if place is not None else ""].add(outcome)
        return summed if place is not None else summed[""]


PRIORITY, ACCOUNT, ROUTE = range(3)


def check_kept_shares(simulation):
    """Check what each route and account keeps whatever its priority."""
    average = simulation.sum_up().get_served_share()
    for place in (ACCOUNT, ROUTE):
        for name, outcome in simulation.sum_up(place).items():
            share = outcome.get_served_share()
            assert share >= 0.25 * average - TOLERANCE, name


@pytest.mark.parametrize("demand", DEMANDS)
@pytest.mark.parametrize("mix", (FIRST, SECOND), ids=("first", "second"))
def test_urgent_queries_earn_most_and_all_earn_more(mix, demand):
    """They were late while less urgent ones of the same shards were not."""
    shedding = Simulation(mix, demand, True).run()
    plain = Simulation(mix, demand, False).run()
    by_priority = shedding.sum_up(PRIORITY)
    urgent, other = (by_priority[p] for p in sorted(by_priority))
    assert urgent.get_served_share() >= other.get_served_share() - TOLERANCE
    assert urgent.get_worth() >= other.get_worth() - TOLERANCE
    plain_urgent = plain.sum_up(PRIORITY)[min(by_priority)]
    assert urgent.get_worth() > plain_urgent.get_worth() + 0.2
    total = shedding.sum_up().get_worth()
    assert total > plain.sum_up().get_worth() + 0.1
    check_kept_shares(shedding)


@pytest.mark.parametrize("demand", DEMANDS)
def test_accounts_go_by_their_priority_before_that_of_the_route(demand):
    callers = (
        *(build_caller(f"c{number}") for number in range(8)),
        build_caller("first", priority=0),
        build_caller("last", priority=5),
    )
    simulation = Simulation(FIRST, demand, True, callers=callers).run()
    worth = {
        name: outcome.get_worth()
        for name, outcome in simulation.sum_up(ACCOUNT).items()
    }
    usual = [worth[f"c{number}"] for number in range(8)]
    assert worth["first"] > max(usual) - 0.1
    assert worth["last"] < min(usual)
    check_kept_shares(simulation)


@pytest.mark.parametrize("mix", (FIRST, SINGLE), ids=("queries", "single"))
def test_one_account_at_8_times_its_rate_costs_the_others_little(mix):
    callers = (
        *(build_caller(f"c{number}") for number in range(9)),
        build_caller("big", 8.0),
    )
    plain = Simulation(mix, 1.7, False, callers=callers).run()
    simulation = Simulation(mix, 1.7, True, callers=callers).run()
    by_account = simulation.sum_up(ACCOUNT)
    big = by_account.pop("big")
    others = Outcome()
    for outcome in by_account.values():
        others.add(outcome)
    assert others.get_served_share() > 1.3 * big.get_served_share()
    plain_others = [
        o.get_worth() for n, o in plain.sum_up(ACCOUNT).items() if n != "big"
    ]
    assert others.get_worth() > max(plain_others) + 0.2
    check_kept_shares(simulation)


@pytest.mark.parametrize("demand", DEMANDS)
def test_single_requests_are_served_in_time_by_priority(demand):
    callers = (
        *(build_caller(f"c{number}") for number in range(6)),
        build_caller("first", priority=0),
        build_caller("last", priority=5),
    )
    simulation = Simulation(SINGLE, demand, True, callers=callers).run()
    plain = Simulation(SINGLE, demand, False, callers=callers).run()
    if demand > 1.0:
        total = simulation.sum_up().get_worth()
        assert total > plain.sum_up().get_worth()
    by_priority = simulation.sum_up(PRIORITY)
    assert by_priority[0].get_worth() > 0.7
    shares = [by_priority[p].get_served_share() for p in (0, 2, 5)]
    assert shares[0] >= shares[1] - TOLERANCE
    assert shares[1] >= shares[2] - TOLERANCE


@pytest.mark.parametrize("demand", DEMANDS)
def test_the_load_of_all_callers_at_one_zone_is_shed_alike(demand):
    """Its few VMs take all requests; the others hear of no load."""
    simulation = Simulation(FIRST, demand, True, vms=3).run()
    plain = Simulation(FIRST, demand, False, vms=3).run()
    by_priority = simulation.sum_up(PRIORITY)
    assert by_priority[0].get_worth() >= by_priority[1].get_worth() - 0.03
    total = simulation.sum_up().get_worth()
    assert total > plain.sum_up().get_worth() + 0.1
    check_kept_shares(simulation)


def test_callers_that_ask_again_at_once_gain_little():
    """With equal chances they would get more than twice as much.

    They gain only what patient callers leave at times of little load.
    """
    callers = (
        build_caller("patient"),
        build_caller("eager", repeats=4),
    )
    simulation = Simulation(FIRST, 1.7, True, callers=callers).run()
    by_account = simulation.sum_up(ACCOUNT)
    gain = by_account["eager"].get_worth() - by_account["patient"].get_worth()
    assert gain < 0.1


@pytest.mark.parametrize("mix", (FIRST, SINGLE), ids=("queries", "single"))
def test_hardly_anything_is_refused_at_half_the_capacity(mix):
    simulation = Simulation(mix, 0.5, True).run()
    assert simulation.sum_up().get_served_share() > 0.99
