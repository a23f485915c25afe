"""Crowds of queries, played against endpoints with queues."""

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
LENGTH_S = 8.0


def build_health(load, slots=SLOTS, load_s=0.0):
    """Return the health of an endpoint that stated a load."""
    health = selection.Health(slots)
    # An endpoint counts the request that it answers.
    selection.note_load(health, load + 1.0, 0, slots, load_s)
    return health


def test_occupancy_is_the_mean_over_shards():
    busy = [build_health(4.0), build_health(2.0)]
    idle = [build_health(0.0), build_health(0.0)]
    assert overload.estimate_occupancy([busy, idle], 0.0) == 0.75


def test_occupancy_fades_with_the_age_of_what_was_stated():
    shards = [[build_health(4.0)]]
    half = overload.OCCUPANCY_MEMORY_S / 2
    assert overload.estimate_occupancy(shards, half) == pytest.approx(1.0)
    assert overload.estimate_occupancy(shards, 3 * half) == 0.0


def test_without_endpoints_nothing_refuse_next():
    assert overload.estimate_occupancy([[], []], 0.0) == 0.0
    assert overload.compute_refused_share(0.0) == 0.0


def test_what_fits_is_not_refused():
    assert overload.compute_refused_share(overload.FULL_OCCUPANCY) == 0.0


def test_twice_too_much_is_halved():
    assert overload.compute_refused_share(2.0) == 0.5


def test_one_endless_queue_among_many_shards_is_no_crowd():
    shards = [[build_health(0.0)] for _ in range(SHARDS - 1)]
    shards.append([build_health(13.0)])
    occupancy = overload.estimate_occupancy(shards, 0.0)
    assert overload.compute_refused_share(occupancy) == 0.0


def test_refusals_are_spaced_evenly():
    shedder = overload.Shedder(random.Random(1))
    refused = [shedder.refuse_next("r", 0.25) for _ in range(400)]
    assert sum(refused) == pytest.approx(100, abs=1)
    assert all(1 <= sum(refused[i : i + 8]) <= 3 for i in range(392))


def test_routes_are_counted_apart():
    shedder = overload.Shedder(random.Random(1))
    for _ in range(10):
        shedder.refuse_next("a", 0.9)
    refused = [shedder.refuse_next("b", 0.5) for _ in range(100)]
    assert sum(refused) == pytest.approx(50, abs=1)


def test_an_endpoint_with_a_queue_has_no_place():
    assert overload.has_free_slot(build_health(1.0), 0.0)
    assert not overload.has_free_slot(build_health(2.0), 0.0)


def test_a_queue_of_long_ago_is_forgotten():
    health = build_health(2.0)
    assert overload.has_free_slot(health, 0.5 * overload.OCCUPANCY_MEMORY_S)


class Crowd:
    """Queries at a rate against shards of endpoints, first come first served.

    Each query sends every shard to the endpoint of it that is free first and
    is answered with its last part.
    """

    def __init__(self, per_s, sheds, seed=7):
        self.random = random.Random(seed)
        self.per_s = per_s
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
        self.stated = []

    def play(self):
        """Return the time of each query, None for refused ones."""
        now = 0.0
        times = []
        while now < LENGTH_S:
            now += self.random.expovariate(self.per_s)
            times.append(self.ask(now))
        return times

    def ask(self, now):
        """Play one query."""
        while self.stated and self.stated[0][0] <= now:
            at, shard, replica, load = heapq.heappop(self.stated)
            health = self.healths[shard][replica]
            selection.note_load(health, load + 1.0, 0, SLOTS, at)
        if self.sheds:
            occupancy = overload.estimate_occupancy(self.healths, now)
            share = overload.compute_refused_share(occupancy)
            if self.shedder.refuse_next("r", share):
                return None
        return max(self.run(n, now) for n in range(SHARDS)) - now

    def run(self, shard, now):
        """Run one shard; return when it ends."""
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
        heapq.heappush(self.stated, (end, shard, replica, load))
        return end


def measure_in_time(times):
    """Return the share of all queries that met their objective."""
    met = [t for t in times if t is not None and t <= OBJECTIVE_S]
    return len(met) / len(times)


@pytest.mark.parametrize("seed", range(5))
def test_a_crowd_is_answered_in_time_as_far_as_there_is_room(seed):
    capacity = REPLICAS * SLOTS / WORK_S
    crowd = Crowd(capacity * 1.4, True, seed).play()
    without = Crowd(capacity * 1.4, False, seed).play()
    assert measure_in_time(without) < 0.3
    assert measure_in_time(crowd) > 0.5


@pytest.mark.parametrize("seed", range(5))
def test_at_half_of_what_fits_hardly_anything_refuse_next(seed):
    capacity = REPLICAS * SLOTS / WORK_S
    times = Crowd(capacity * 0.5, True, seed).play()
    assert sum(1 for t in times if t is None) <= 0.01 * len(times)
