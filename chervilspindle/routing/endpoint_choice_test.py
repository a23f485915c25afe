"""Tests of the choice of endpoints, without a network."""

import hashlib
import random

import pytest

from chervilspindle.core import rows
from chervilspindle.routing import data_path_test
from chervilspindle.routing import endpoints
from chervilspindle.routing import request_timing
from chervilspindle.routing import selection
from chervilspindle.wire import receive_limits

SERVICES = tuple(f"shard-{i}" for i in range(6))
# Digest of the choices of 40d71cd, where endpoints stated no speed.
RECORDED_CHOICES = (
    "ebc07a0385434f0fa57b9ebc98e8eacff749931a62254fcb341b02b4dc4b7f12"
)


class Clock:
    """Stands for the event loop where only its time is read."""

    def __init__(self):
        self.now = 100.0

    def time(self):
        return self.now


def build_table(clock, seed="choice"):
    table = endpoints.EndpointTable(
        clock,
        "a",
        b"id",
        random.Random(seed),
        lambda name: None,
        receive_limits.ReceiveBudget(1 << 20),
    )
    for service in SERVICES:
        for zone in "abc":
            endpoint_id = f"{service}-{zone}"
            state = "warming" if endpoint_id == "shard-0-b" else "ready"
            row = rows.Endpoint(
                endpoint_id,
                service,
                "127.0.0.1:9",
                zone,
                2,
                0,
                state,
                (),
                1,
                1,
            )
            table.put(row)
    return table


def record_choices(table, clock):
    """Choose under random events; return the ids that were chosen."""
    events = random.Random("events")
    targets = list(table.target_by_id.values())
    chosen = []
    for number in range(3000):
        clock.now += events.expovariate(200.0)
        target = events.choice(targets)
        kind = events.randrange(8)
        if kind < 4:
            load = (events.randrange(4), events.randrange(5), 2)
            selection.record_load(target.health, *load, clock.now)
        if kind < 5:
            took_ms = events.lognormvariate(2.5, 0.5)
            selection.record_success(target.health, took_ms, clock.now)
        if kind == 5:
            selection.record_failure(target.health, clock.now)
        if kind == 6:
            target.pool.running[number] = clock.now
        if kind == 7:
            target.pool.running.clear()
            target.health.misdirected = events.random() < 0.1
            until_s = clock.now + events.uniform(-0.5, 0.1)
            target.restrictions.paused_until_s = until_s
        service = events.choice(SERVICES)
        excluded = ()
        if events.random() < 0.3:
            excluded = (f"{service}-{events.choice('abc')}",)
        objective_ms = events.choice((0.0, 46.0, 135.0))
        is_hedge = bool(excluded)
        target = table.choose(service, excluded, objective_ms, is_hedge)
        chosen.append(target.endpoint.endpoint_id)
    return chosen


def test_choices_are_as_recorded_where_endpoints_state_no_speed():
    """Guards deployments that ask for nothing new from other choices."""
    clock = Clock()
    chosen = record_choices(build_table(clock), clock)
    digest = hashlib.sha256(" ".join(chosen).encode()).hexdigest()
    assert digest == RECORDED_CHOICES


def state_slowness(table, slowness_by_id, now):
    for endpoint_id, slowness in slowness_by_id.items():
        health = table.target_by_id[endpoint_id].health
        selection.record_slowness(health, slowness, table.persistence, now)


def choose_often(table, service, **options):
    """Return the ids of the endpoints that are chosen."""
    return {
        table.choose(service, **options).endpoint.endpoint_id
        for _ in range(50)
    }


def warm_up(table, clock, took_ms=20.0):
    for target in table.target_by_id.values():
        selection.record_success(target.health, took_ms, clock.now)


def test_first_sends_stay_in_the_zone_while_its_endpoint_is_slow():
    """Guards against parts of slow phases that cross zones for nothing."""
    clock = Clock()
    table = build_table(clock)
    warm_up(table, clock)
    state_slowness(table, {"shard-1-a": 2.5}, clock.now)
    clock.now += 0.01
    assert choose_often(table, "shard-1", objective_ms=170.0) == {"shard-1-a"}


def test_a_hedge_goes_to_the_endpoint_that_is_not_slow():
    clock = Clock()
    table = build_table(clock)
    warm_up(table, clock)
    state_slowness(table, {"shard-1-b": 2.5, "shard-1-c": 1.0}, clock.now)
    chosen = choose_often(
        table, "shard-1", excluded=("shard-1-a",), is_hedge=True
    )
    assert chosen == {"shard-1-c"}


def test_no_hedge_is_due_where_all_others_state_that_they_are_too_slow():
    clock = Clock()
    table = build_table(clock)
    warm_up(table, clock)
    tried = ("shard-1-a", "shard-1-b")
    assert table.can_hedge("shard-1", tried, 5.0)
    state_slowness(table, {"shard-1-c": 2.5}, clock.now)
    assert not table.can_hedge("shard-1", tried, 40.0)
    assert table.can_hedge("shard-1", tried, 60.0)


def test_an_endpoint_that_stays_slow_is_left_whatever_it_states():
    """Its response times decide, as for endpoints that state no speed."""
    clock = Clock()
    table = build_table(clock)
    warm_up(table, clock)
    health = table.target_by_id["shard-1-a"].health
    for _ in range(20):
        clock.now += 0.2
        state_slowness(table, {"shard-1-a": 9.0}, clock.now)
        selection.record_success(health, 180.0, clock.now)
    chosen = choose_often(table, "shard-1", objective_ms=170.0)
    assert "shard-1-a" not in chosen


def test_an_endpoint_that_is_always_slower_is_expected_to_stay_so():
    clock = Clock()
    table = build_table(clock)
    warm_up(table, clock)
    health = table.target_by_id["shard-1-a"].health
    for _ in range(300):
        clock.now += 1.0
        state_slowness(table, {"shard-1-a": 1.3}, clock.now)
        selection.record_success(health, 26.0, clock.now)
    assert 24.0 < health.recent_ms < 28.0
    clock.now += 5.0
    assert abs(table.read_slowness("shard-1-a") - 1.0) < 0.05


def test_an_endpoint_that_states_no_speed_is_as_slow_as_usual():
    clock = Clock()
    table = build_table(clock)
    assert table.read_slowness("shard-1-a") == 1.0
    assert table.read_slowness("unknown") == 1.0


@pytest.mark.parametrize(
    "path,service", (("/all/x", "shard-0"), ("/one/x", "desk"))
)
@pytest.mark.parametrize("speed", (b"100", b"250"))
def test_a_hedge_waits_while_a_slow_endpoint_is_in_time(path, service, speed):
    """The endpoint pauses, so that only the hedge answers."""
    arrived_ms = []

    async def test(world):
        near, far = (world.backend_by_id[f"{service}-{z}"] for z in "ab")
        for backend in world.backend_by_id.values():
            backend.work_s = 0.01
        near.load = b"1,0,2," + speed
        for number in range(3):
            await world.ask(path, f"warm-{number}")
        near.paused = True
        far.arrivals_s.clear()
        estimates = world.entry.context.latency_estimates
        estimates.part_ms_by_route.update(all=10.0, one=10.0)
        started_s = world.loop.time()
        status, _, _ = await world.ask(path, "id-1")
        assert status == 200 and near.paused_exchanges
        arrived_ms.append((far.arrivals_s[0] - started_s) * 1000.0)

    data_path_test.run_in_world(data_path_test.World, test, 10)
    usual_ms = request_timing.HEDGE_FACTOR * 10.0
    assert arrived_ms[0] >= usual_ms - 2.0
    if speed == b"250":
        assert arrived_ms[0] >= 1.6 * usual_ms


def test_load_is_spread_only_where_the_settings_ask_for_it():
    """The setting costs no request and no connection more than without."""
    arrived = []
    for spread_load in (False, True):

        async def test(world, is_on=spread_load):
            for number in range(5):
                status, _, _ = await world.ask("/all/x", f"id-{number}")
                assert status == 200
            loads = world.table.loads
            assert (loads is not None) == is_on
            assert loads is None or loads.stated_s_by_zone
            backends = world.backend_by_id.values()
            arrived.append(sum(len(b.arrivals_s) for b in backends))

        data_path_test.run_in_world(
            lambda loop, on=spread_load: data_path_test.World(
                loop, spread_load=on
            ),
            test,
            10,
        )
    assert arrived[0] == arrived[1] == 5 * len(data_path_test.SHARDS)
