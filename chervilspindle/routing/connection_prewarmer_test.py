"""Tests of opening connections ahead of queries."""

import typing

from twisted.internet import task

from chervilspindle.core import timers as timers_module
from chervilspindle.routing import connection_prewarmer
from chervilspindle.routing import documents
from chervilspindle.routing import permission
from chervilspindle.routing import relay_selection as relays_module
from chervilspindle.wire import messages


class Pool:
    """A connection pool that counts what is opened and closed."""

    def __init__(self):
        self.count = 0
        self.failed_s = -100.0
        self.opened = 0
        self.closed_s = []

    def close_stale(self, now):
        self.closed_s.append(now)

    def open_idle(self):
        self.count += 1
        self.opened += 1


class Row(typing.NamedTuple):
    endpoint_id: str
    service: str = ""


class Target(typing.NamedTuple):
    endpoint: Row
    pool: Pool
    same_zone: bool
    restrictions: permission.Restrictions


class Loop:
    def __init__(self, clock):
        self.time = clock.seconds


class Fake(typing.NamedTuple):
    """Stand-in for an entry, a context or a table of the prewarmer."""

    document: object = None
    draining: bool = False
    context: object = None
    table: object = None
    loop: object = None
    targets_by_service: object = None
    target_by_id: object = None
    connections_by_service: object = {}
    vms: int = 1
    revision: int = 0
    relays: object = None


def build(
    shards,
    core_share,
    objective_ms=47.0,
    connections=0,
    vms=1,
    link_mbps=1000.0,
    relays=(),
):
    clock = task.Clock()
    names = tuple(f"s-{i}" for i in range(shards))
    targets = {
        name: {
            f"{name}-{zone}": Target(
                Row(f"{name}-{zone}"),
                Pool(),
                zone == "a",
                permission.Restrictions(f"{name}-{zone}"),
            )
            for zone in "ab"
        }
        for name in names
    }
    route = documents.Route(
        "r", "h", "/", True, 600.0, objective_ms, 1, 2, (), names, 5, 0.8
    )
    table = Fake(
        targets_by_service=targets,
        target_by_id={
            i: t._replace(endpoint=t.endpoint._replace(service=name))
            for name, by_id in targets.items()
            for i, t in by_id.items()
        },
        connections_by_service={name: connections for name in names},
        vms=vms,
    )
    document = documents.Document(1, (route,), {}, documents.Limits())
    relay_table = relays_module.RelayTable(
        "vm-1", "a", core_share, link_mbps, clock.seconds
    )
    if relays:
        relay_table.update_document(document)
        relay_table.set_relays(1, relays)
    entry = Fake(
        document,
        context=Fake(
            table=table, loop=Loop(clock), relays=Fake(table=relay_table)
        ),
    )
    timers = timers_module.TimerService(clock)
    connection_prewarmer.ConnectionPrewarmer(entry, timers, "vm-1", core_share)
    return clock, targets


def list_opened(targets, same_zone):
    return [
        t.pool.opened
        for by_id in targets.values()
        for t in by_id.values()
        if t.same_zone == same_zone
    ]


def test_connections_to_many_shards_are_opened_on_a_fraction_of_a_core():
    clock, targets = build(shards=90, core_share=0.361)
    clock.pump([connection_prewarmer.INTERVAL_S] * 12)
    assert list_opened(targets, True) == [1] * 90
    assert list_opened(targets, False) == [0] * 90


def test_number_opened_per_interval_is_bounded():
    clock, targets = build(shards=90, core_share=0.361)
    clock.advance(connection_prewarmer.INTERVAL_S)
    assert (
        sum(list_opened(targets, True))
        == connection_prewarmer.MAX_OPENED_PER_INTERVAL
    )


def test_few_shards_on_most_of_a_core_are_not_prewarmed():
    clock, targets = build(shards=20, core_share=0.731)
    clock.pump([connection_prewarmer.INTERVAL_S] * 12)
    assert sum(list_opened(targets, True)) == 0


def test_failed_connection_is_retried_after_a_delay():
    clock, targets = build(shards=90, core_share=0.361)
    pool = targets["s-0"]["s-0-a"].pool
    pool.failed_s = clock.seconds()
    clock.pump([0.25] * 6)
    assert pool.opened == 0
    clock.pump([0.25] * 12)
    assert pool.opened == 1


def test_scarce_connections_are_closed_unless_prewarmed():
    _, targets = built = build(90, 0.361, connections=86, vms=102)
    built[0].advance(connection_prewarmer.INTERVAL_S)
    pools = [t.pool for d in targets.values() for t in d.values()]
    closed = [p for p in pools if p.closed_s]
    assert len(closed) == 90
    assert all(
        p.max_idle_s == connection_prewarmer.SCARCE_IDLE_S for p in closed
    )


def test_plentiful_connections_are_not_closed():
    clock, targets = build(90, 0.361, connections=300, vms=102)
    clock.advance(connection_prewarmer.INTERVAL_S)
    pools = [t.pool for d in targets.values() for t in d.values()]
    assert not any(p.closed_s for p in pools)


def test_relay_opens_connections_for_its_own_groups_only():
    entries = [
        messages.Relay(f"vm-{i}", "a", f"10.0.0.{i}:1") for i in range(34)
    ]
    table = relays_module.RelayTable("vm-1", "a", 0.361, 13.5, lambda: 0.0)
    clock, targets = build(90, 0.361, link_mbps=13.5, relays=entries)
    clock.pump([connection_prewarmer.INTERVAL_S] * 12)
    opened = {
        name
        for name, by_id in targets.items()
        if any(t.pool.opened for t in by_id.values())
    }
    assert opened == list_own_services(table, tuple(targets), entries)
    assert len(opened) < 45


def list_own_services(table, services, entries):
    groups = relays_module.divide_shards(
        sorted(services),
        relays_module.count_groups(90, 47.0, 0.361, 13.5),
    )
    return {
        service
        for group in groups
        for relay in relays_module.rank_relays(entries, "a", group, 0.0)
        for service in group.services
        if relay.vm_id == table.vm_id
    }


def test_no_connection_is_opened_to_an_evacuated_zone():
    """Guards against prewarmed connections to endpoints that get nothing."""
    clock, targets = build(shards=90, core_share=0.361)
    for by_id in targets.values():
        for target in by_id.values():
            target.restrictions.zone_out = target.same_zone
    clock.pump([connection_prewarmer.INTERVAL_S] * 12)
    assert list_opened(targets, True) == [0] * 90
    assert list_opened(targets, False) == [1] * 90
