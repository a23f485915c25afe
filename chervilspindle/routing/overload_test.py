"""Tests of load shedding, by simulating endpoints with queues."""

import heapq
import random

import pytest

from chervilspindle.routing import overload
from chervilspindle.routing import selection

SHARDS = 20
REPLICAS = 2
SLOTS = 2
WORK_S = 0.03
OBJECTIVE_S = 0.18
DURATION_S = 8.0


def build_health(load, slots=SLOTS, load_s=0.0):
    """Return the health of an endpoint that reported a load."""
    health = selection.Health(slots)
    # A report includes the request that is being answered.
    selection.record_load(health, load + 1.0, 0, slots, load_s)
    return health


def test_occupancy_is_the_mean_over_shards():
    busy = [build_health(4.0), build_health(2.0)]
    idle = [build_health(0.0), build_health(0.0)]
    assert overload.estimate_occupancy([busy, idle], 0.0) == 0.75


def test_occupancy_decays_with_the_age_of_the_reported_load():
    shards = [[build_health(4.0)]]
    half = overload.OCCUPANCY_DECAY_S / 2
    assert overload.estimate_occupancy(shards, half) == pytest.approx(1.0)
    assert overload.estimate_occupancy(shards, 3 * half) == 0.0


def test_nothing_is_refused_without_endpoints():
    assert overload.estimate_occupancy([[], []], 0.0) == 0.0
    assert overload.compute_refused_share(0.0) == 0.0


def test_nothing_is_refused_at_full_occupancy():
    assert overload.compute_refused_share(overload.FULL_OCCUPANCY) == 0.0


def test_half_is_refused_at_twice_the_capacity():
    assert overload.compute_refused_share(2.0) == 0.5


def test_one_long_queue_among_many_shards_is_no_overload():
    shards = [[build_health(0.0)] for _ in range(SHARDS - 1)]
    shards.append([build_health(13.0)])
    occupancy = overload.estimate_occupancy(shards, 0.0)
    assert overload.compute_refused_share(occupancy) == 0.0


def test_an_endpoint_that_states_an_absurd_load_is_no_overload():
    """All queries of its route would be refused for its sake."""
    shards = [
        [build_health(0.5), build_health(0.5)] for _ in range(SHARDS - 1)
    ]
    shards.append([build_health(0.5), build_health(999_999.0, 1)])
    occupancy = overload.estimate_occupancy(shards, 0.0)
    assert overload.compute_refused_share(occupancy) == 0.0


def test_refusals_are_spaced_evenly():
    shedder = overload.Shedder(random.Random(1))
    refused = [shedder.refuse_next("r", 0.25) for _ in range(400)]
    assert sum(refused) == pytest.approx(100, abs=1)
    assert all(1 <= sum(refused[i : i + 8]) <= 3 for i in range(392))


def test_routes_are_counted_separately():
    shedder = overload.Shedder(random.Random(1))
    for _ in range(10):
        shedder.refuse_next("a", 0.9)
    refused = [shedder.refuse_next("b", 0.5) for _ in range(100)]
    assert sum(refused) == pytest.approx(50, abs=1)


def test_an_endpoint_with_a_queue_has_no_free_slot():
    assert overload.has_free_slot(build_health(1.0), 0.0)
    assert not overload.has_free_slot(build_health(2.0), 0.0)


def test_an_old_report_of_a_queue_is_ignored():
    health = build_health(2.0)
    assert overload.has_free_slot(health, 0.5 * overload.OCCUPANCY_DECAY_S)


class QuerySimulation:
    """Simulates queries at a rate against shards with FIFO endpoints.

    Each query sends every shard to the replica that is free first, and ends
    with its last part.
    """

    def __init__(self, queries_per_s, sheds, seed=7):
        self.random = random.Random(seed)
        self.queries_per_s = queries_per_s
        self.sheds = sheds
        self.healths = [
            [build_health(0.0, load_s=-9.0) for _ in range(REPLICAS)]
            for _ in range(SHARDS)
        ]
        self.free_s = [
            [[0.0] * SLOTS for _ in range(REPLICAS)] for _ in range(SHARDS)
        ]
        self.ends = [[[] for _ in range(REPLICAS)] for _ in range(SHARDS)]
        self.shedder = overload.Shedder(self.random)
        self.reports = []

    def run(self):
        """Return the duration of each query, None for refused ones."""
        now = 0.0
        times = []
        while now < DURATION_S:
            now += self.random.expovariate(self.queries_per_s)
            times.append(self.run_query(now))
        return times

    def run_query(self, now):
        """Return the duration of one query, None if it is refused."""
        while self.reports and self.reports[0][0] <= now:
            reported_s, shard, replica, load = heapq.heappop(self.reports)
            health = self.healths[shard][replica]
            selection.record_load(health, load + 1.0, 0, SLOTS, reported_s)
        if self.sheds:
            occupancy = overload.estimate_occupancy(self.healths, now)
            share = overload.compute_refused_share(occupancy)
            if self.shedder.refuse_next("r", share):
                return None
        return max(self.run_shard(n, now) for n in range(SHARDS)) - now

    def run_shard(self, shard, now):
        """Return when one shard of a query ends."""
        replica = min(
            range(REPLICAS), key=lambda r: min(self.free_s[shard][r])
        )
        slots = self.free_s[shard][replica]
        work_s = self.random.lognormvariate(0.0, 0.35) * WORK_S
        end = max(now, heapq.heappop(slots)) + work_s
        heapq.heappush(slots, end)
        ends = self.ends[shard][replica]
        ends[:] = [e for e in ends if e > now]
        load = float(len(ends))
        ends.append(end)
        heapq.heappush(self.reports, (end, shard, replica, load))
        return end


def compute_share_in_time(times):
    """Return the share of all queries that met their objective."""
    in_time = [t for t in times if t is not None and t <= OBJECTIVE_S]
    return len(in_time) / len(times)


@pytest.mark.parametrize("seed", range(5))
def test_shedding_keeps_answers_in_time_at_overload(seed):
    capacity = REPLICAS * SLOTS / WORK_S
    shedding = QuerySimulation(capacity * 1.4, True, seed).run()
    unlimited = QuerySimulation(capacity * 1.4, False, seed).run()
    assert compute_share_in_time(unlimited) < 0.3
    assert compute_share_in_time(shedding) > 0.5


@pytest.mark.parametrize("seed", range(5))
def test_hardly_anything_is_refused_at_half_the_capacity(seed):
    capacity = REPLICAS * SLOTS / WORK_S
    times = QuerySimulation(capacity * 0.5, True, seed).run()
    assert sum(1 for t in times if t is None) <= 0.01 * len(times)
