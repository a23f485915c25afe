"""Tests of groups of shards, their relays and sets of parts."""

import collections

from chervilspindle.routing import documents
from chervilspindle.routing import parts
from chervilspindle.routing import relay_selection
from chervilspindle.wire import messages

SHARDS = tuple(f"shard-{i:02}" for i in range(90))


def build_relays(count, zones="abc"):
    return [
        messages.Relay(f"vm-{i}", zones[i % len(zones)], f"10.0.0.{i}:1")
        for i in range(count)
    ]


def build_table(vm_id="vm-0", zone="a", clock=None, count=102):
    clock = clock or [0.0]
    table = relay_selection.RelayTable(
        vm_id, zone, 0.361, 13.5, lambda: clock[0]
    )
    route = documents.Route(
        "r", "h", "/", True, 600.0, 47.0, 1, 2, (), SHARDS, 5, 0.85
    )
    document = documents.Document(1, (route,), {}, documents.Limits())
    table.put_document(document)
    table.put_relays(7, build_relays(count))
    return table


def rank(table, group):
    return relay_selection.rank_relays(
        table.relays, "a", group, table.queries_per_s
    )


def test_a_wide_query_on_a_part_of_a_core_is_divided():
    groups = relay_selection.count_groups(90, 47.0, 0.361, 13.5)
    assert 4 <= groups <= 11
    assert (
        sum(len(g.services) for g in relay_selection.divide(SHARDS, groups))
        == 90
    )


def test_a_query_that_takes_little_by_itself_is_not_divided():
    assert relay_selection.count_groups(20, 44.0, 0.731, 350.0) == 1
    assert relay_selection.count_groups(90, 0.0, 0.361, 13.5) == 1


def test_groups_share_the_relays_of_a_zone():
    table = build_table()
    table.put_rate(600.0)
    counts = collections.Counter()
    for group in table.get_groups(SHARDS):
        ranked = rank(table, group)
        assert len(ranked) >= relay_selection.LEAST_RELAYS
        counts.update(r.vm_id for r in ranked)
    assert len(counts) > 12 and max(counts.values()) <= 4


def test_few_queries_go_to_few_relays_and_many_to_all():
    counts = [
        relay_selection.count_relays(34, 7, rate)
        for rate in (0.0, 7.0, 30.0, 1e6)
    ]
    assert counts == [2, 2, 4, 5]
    assert (
        relay_selection.count_relays(1, 7, 7.0) == relay_selection.LEAST_RELAYS
    )


def test_relays_stay_the_same_while_the_rate_varies_a_little():
    table = build_table()
    table.put_rate(20.0)
    before = table.revision
    table.put_rate(45.0)
    assert table.revision == before
    table.put_rate(90.0)
    assert table.revision == before + 1


def test_relays_stay_while_control_cannot_tell_the_rate():
    table = build_table()
    table.put_rate(90.0)
    before = table.revision, table.queries_per_s
    table.put_rate(None)
    assert (table.revision, table.queries_per_s) == before


def test_a_relay_that_leaves_moves_few_others():
    table = build_table()
    for group in table.get_groups(SHARDS):
        before = relay_selection.rank_relays(table.relays, "a", group, 200.0)
        fewer = [r for r in table.relays if r != before[0]]
        after = relay_selection.rank_relays(fewer, "a", group, 200.0)
        assert len(set(after) - set(before)) <= 1


def test_entries_keep_to_a_relay_and_spread_over_them():
    group = build_table().get_groups(SHARDS)[0]
    picked = collections.Counter()
    for number in range(0, 102, 3):
        table = build_table(f"vm-{number}")
        picked[table.pick(group).vm_id] += 1
        assert table.pick(group) == table.pick(group)
    assert len(picked) >= relay_selection.LEAST_RELAYS


def test_a_silent_relay_is_avoided_until_it_reports():
    clock = [100.0]
    table = build_table(clock=clock)
    group = table.get_groups(SHARDS)[0]
    first = table.pick(group)
    table.record_relay_failure(first.address, "no report")
    second = table.pick(group)
    assert second != first
    clock[0] += relay_selection.FAILURE_MEMORY_S + 0.1
    assert table.pick(group) == first
    table.record_relay_failure(first.address, "no report")
    table.note_report(first.address)
    assert table.pick(group) == first


def test_when_a_zone_has_no_relay_left_another_zone_is_asked():
    clock = [100.0]
    table = build_table(clock=clock)
    group = table.get_groups(SHARDS)[0]
    for relay in rank(table, group):
        assert table.pick(group).zone == "a"
        table.record_relay_failure(relay.address, "no report")
    assert table.pick(group).zone != "a"


def test_when_all_relays_are_silent_the_one_that_was_first_is_tried():
    clock = [100.0]
    table = build_table(clock=clock)
    table.put_relays(8, [r for r in table.relays if r.zone == "a"])
    group = table.get_groups(SHARDS)[0]
    silent = []
    for _ in rank(table, group):
        silent.append(table.pick(group))
        table.record_relay_failure(silent[-1].address, "no report")
        clock[0] += 0.1
    assert table.pick(group) == silent[0]


def test_a_far_relay_is_of_another_zone_and_none_is_its_own():
    table = build_table()
    group = table.get_groups(SHARDS)[0]
    assert table.pick_from_other_zone(group).zone != "a"
    alone = build_table(count=1)
    assert (
        alone.pick(group) is None and alone.pick_from_other_zone(group) is None
    )


def part_set(*services):
    return messages.PartSet(services, b"s", b"")


def test_parts_of_one_shard_count_once():
    held = {}
    assert parts.add_parts(held, part_set("a")) == ("a",)
    assert parts.add_parts(held, part_set("a")) == ()
    assert parts.add_parts(held, part_set("b", "c")) == ("b", "c")
    assert len({id(p) for p in held.values()}) == 2


def test_a_set_that_covers_more_takes_the_place_of_those_it_overlaps():
    held = {}
    parts.add_parts(held, part_set("a", "b"))
    parts.add_parts(held, part_set("d"))
    assert parts.add_parts(held, part_set("b", "c")) == ()
    assert set(held) == {"a", "b", "d"}
    assert parts.add_parts(held, part_set("b", "c", "e")) == ("c", "e")
    assert set(held) == {"b", "c", "d", "e"}
    assert held["b"] is held["e"] and held["d"] is not held["b"]
