"""Tests of shard groups, the choice of their relays, and merging of parts."""

import collections
import math
import random

import pytest

from chervilspindle.routing import documents
from chervilspindle.routing import part_merging
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
    table.update_document(document)
    table.set_relays(7, build_relays(count))
    return table


def build_zoned_table(vm_id, zone, zone_pairs, shards=SHARDS, core=0.516):
    """Return a table of shards whose endpoints are in pairs of zones."""
    table = relay_selection.RelayTable(vm_id, zone, core, 37.0, lambda: 0.0)
    route = documents.Route(
        "r", "h", "/", True, 600.0, 46.0, 1, 2, (), shards, 5, 0.85
    )
    table.update_document(
        documents.Document(1, (route,), {}, documents.Limits())
    )
    zones = sorted({z for pair in zone_pairs for z in pair})
    table.set_relays(7, build_relays(40 * len(zones), "".join(zones)))
    table.add_endpoint_zones(
        {
            service: set(zone_pairs[i % len(zone_pairs)])
            for i, service in enumerate(shards)
        }
    )
    return table


def rank(table, group):
    return relay_selection.rank_relays(
        table.relays, "a", group, table.queries_per_s
    )


def test_query_over_many_shards_on_a_fraction_of_a_core_is_divided():
    groups = relay_selection.count_groups(90, 47.0, 0.361, 13.5)
    assert 4 <= groups <= 11
    assert (
        sum(
            len(g.services)
            for g in relay_selection.divide_shards(SHARDS, groups)
        )
        == 90
    )


def test_query_that_is_cheap_to_send_directly_is_not_divided():
    assert relay_selection.count_groups(20, 44.0, 0.731, 350.0) == 1
    assert relay_selection.count_groups(90, 0.0, 0.361, 13.5) == 1


FIVE_ZONES = ("ab", "bc", "cd", "de", "ea")
THREE_ZONES = ("ab", "bc", "ca")


@pytest.mark.parametrize("zone", "abcde")
def test_groups_and_their_relays_are_where_the_endpoints_are(zone):
    """Relays of the entry's own zone fetched three of five parts across."""
    table = build_zoned_table("vm-0", zone, FIVE_ZONES)
    groups = table.get_groups(SHARDS)
    assert len(groups) == 5
    covered = [s for g in groups for s in g.services]
    assert sorted(covered) == sorted(SHARDS)
    for group in groups:
        relay = table.pick(group)
        assert relay.zone in group.zones
        assert (relay.zone == zone) == (zone in group.zones)
        other = table.pick_from_other_zone(group)
        assert {relay.zone, other.zone} == set(group.zones)


def test_entries_of_one_zone_spread_over_the_zones_of_a_remote_group():
    picked = collections.Counter()
    for number in range(0, 200, 5):
        table = build_zoned_table(f"vm-{number}", "a", FIVE_ZONES)
        group = next(
            g for g in table.get_groups(SHARDS) if g.zones == ("c", "d")
        )
        picked[table.pick(group).zone] += 1
    assert min(picked["c"], picked["d"]) >= 10


def test_few_shards_are_relayed_only_to_other_zones():
    shards = SHARDS[:20]
    table = build_zoned_table("vm-0", "a", THREE_ZONES, shards, core=0.731)
    (group,) = table.get_groups(shards)
    assert group.zones == ("b", "c") and len(group.services) == 7
    assert table.list_relayed_services() == set()


def test_a_lost_endpoint_does_not_move_shards_between_groups():
    table = build_zoned_table("vm-0", "a", FIVE_ZONES)
    before = table.get_groups(SHARDS), table.revision
    table.add_endpoint_zones({SHARDS[0]: {"b"}, SHARDS[7]: set()})
    assert (table.get_groups(SHARDS), table.revision) == before


def test_shards_in_zones_of_their_own_share_a_group():
    table = build_zoned_table("vm-0", "a", FIVE_ZONES)
    table.add_endpoint_zones({SHARDS[0]: {"d"}, SHARDS[1]: {"e"}})
    groups = table.get_groups(SHARDS)
    assert sum(len(g.services) for g in groups) == len(SHARDS)
    (rest,) = [g for g in groups if not g.zones]
    assert set(rest.services) == set(SHARDS[:2])
    assert table.pick(rest).zone == "a"


def test_a_zone_of_endpoints_without_relays_is_sent_directly():
    table = build_zoned_table("vm-0", "a", THREE_ZONES, SHARDS[:20], 0.731)
    table.set_relays(8, [r for r in table.relays if r.zone == "a"])
    (group,) = table.get_groups(SHARDS[:20])
    assert table.pick(group) is None


def test_groups_are_spread_over_the_relays_of_a_zone():
    table = build_table()
    table.set_query_rate(600.0)
    counts = collections.Counter()
    for group in table.get_groups(SHARDS):
        ranked = rank(table, group)
        assert len(ranked) >= relay_selection.MIN_RELAYS
        counts.update(r.vm_id for r in ranked)
    assert len(counts) > 12 and max(counts.values()) <= 4


def test_number_of_relays_grows_with_the_query_rate():
    counts = [
        relay_selection.count_relays(34, 7, rate)
        for rate in (0.0, 7.0, 30.0, 1e6)
    ]
    assert counts == [2, 2, 4, 5]
    assert (
        relay_selection.count_relays(1, 7, 7.0) == relay_selection.MIN_RELAYS
    )


def test_small_changes_of_the_rate_do_not_change_the_relays():
    table = build_table()
    table.set_query_rate(20.0)
    before = table.revision
    table.set_query_rate(45.0)
    assert table.revision == before
    table.set_query_rate(90.0)
    assert table.revision == before + 1


def test_unknown_rate_does_not_change_the_relays():
    table = build_table()
    table.set_query_rate(90.0)
    before = table.revision, table.queries_per_s
    table.set_query_rate(None)
    assert (table.revision, table.queries_per_s) == before


def test_removing_a_relay_replaces_only_that_relay():
    table = build_table()
    for group in table.get_groups(SHARDS):
        before = relay_selection.rank_relays(table.relays, "a", group, 200.0)
        fewer = [r for r in table.relays if r != before[0]]
        after = relay_selection.rank_relays(fewer, "a", group, 200.0)
        assert len(set(after) - set(before)) <= 1


def test_each_entry_uses_one_relay_and_entries_use_different_ones():
    group = build_table().get_groups(SHARDS)[0]
    picked = collections.Counter()
    for number in range(0, 102, 3):
        table = build_table(f"vm-{number}")
        picked[table.pick(group).vm_id] += 1
        assert table.pick(group) == table.pick(group)
    assert len(picked) >= relay_selection.MIN_RELAYS


def test_failed_relay_is_avoided_until_backoff_ends_or_it_reports():
    clock = [100.0]
    table = build_table(clock=clock)
    group = table.get_groups(SHARDS)[0]
    first = table.pick(group)
    table.record_relay_failure(first.address, "no report")
    second = table.pick(group)
    assert second != first
    clock[0] += relay_selection.FAILURE_BACKOFF_S + 0.1
    assert table.pick(group) == first
    table.record_relay_failure(first.address, "no report")
    table.clear_failure(first.address)
    assert table.pick(group) == first


def test_relay_of_another_zone_is_used_when_all_of_the_zone_failed():
    clock = [100.0]
    table = build_table(clock=clock)
    group = table.get_groups(SHARDS)[0]
    for relay in rank(table, group):
        assert table.pick(group).zone == "a"
        table.record_relay_failure(relay.address, "no report")
    assert table.pick(group).zone != "a"


def test_when_all_relays_failed_the_least_recent_failure_is_tried():
    clock = [100.0]
    table = build_table(clock=clock)
    table.set_relays(8, [r for r in table.relays if r.zone == "a"])
    group = table.get_groups(SHARDS)[0]
    failed = []
    for _ in rank(table, group):
        failed.append(table.pick(group))
        table.record_relay_failure(failed[-1].address, "no report")
        clock[0] += 0.1
    assert table.pick(group) == failed[0]


def test_other_zone_relay_is_remote_and_an_entry_never_picks_itself():
    table = build_table()
    group = table.get_groups(SHARDS)[0]
    assert table.pick_from_other_zone(group).zone != "a"
    alone = build_table(count=1)
    assert (
        alone.pick(group) is None and alone.pick_from_other_zone(group) is None
    )


def part_set(*services):
    return messages.PartSet(services, b"s", b"")


def test_second_part_of_a_shard_is_ignored():
    part_sets = {}
    assert part_merging.add_part_set(part_sets, part_set("a")) == ("a",)
    assert part_merging.add_part_set(part_sets, part_set("a")) == ()
    assert part_merging.add_part_set(part_sets, part_set("b", "c")) == (
        "b",
        "c",
    )
    assert len({id(p) for p in part_sets.values()}) == 2


def test_larger_part_set_replaces_the_sets_it_overlaps():
    part_sets = {}
    part_merging.add_part_set(part_sets, part_set("a", "b"))
    part_merging.add_part_set(part_sets, part_set("d"))
    assert part_merging.add_part_set(part_sets, part_set("b", "c")) == ()
    assert set(part_sets) == {"a", "b", "d"}
    assert part_merging.add_part_set(part_sets, part_set("b", "c", "e")) == (
        "c",
        "e",
    )
    assert set(part_sets) == {"b", "c", "d", "e"}
    assert (
        part_sets["b"] is part_sets["e"]
        and part_sets["d"] is not part_sets["b"]
    )


def find_sender(table, cut_off, rng):
    """Return how many entries were asked until one is not cut off."""
    tried = []
    while True:
        relay = table.pick_any(tried, rng)
        if relay is None:
            return math.inf
        tried.append(relay.address)
        if relay.vm_id not in cut_off:
            table.clear_failure(relay.address)
            return len(tried)
        table.record_relay_failure(relay.address, "cut_off")


def test_a_vm_whose_whole_zone_is_cut_off_asks_other_zones_first():
    table = build_table()
    cut_off = {r.vm_id for r in table.relays if r.zone == "a"}
    rng = random.Random(1)
    asked = [find_sender(table, cut_off, rng) for _ in range(20)]
    assert asked[0] <= 2 and set(asked[1:]) == {1}


@pytest.mark.parametrize("seed", range(20))
def test_a_vm_among_many_that_are_cut_off_soon_finds_one_that_is_not(seed):
    table = build_table()
    rng = random.Random(seed)
    cut_off = {r.vm_id for r in rng.sample(table.relays, 61)}
    asked = [find_sender(table, cut_off, rng) for _ in range(40)]
    assert asked.count(math.inf) <= 1
    assert sum(a > 1 for a in asked) <= 6


def test_requests_of_a_cut_off_vm_are_spread_over_entries_of_its_zone():
    table = build_table()
    rng = random.Random(2)
    chosen = collections.Counter()
    for _ in range(200):
        relay = table.pick_any((), rng)
        chosen[relay.vm_id] += 1
        assert relay.zone == "a" and relay.vm_id != "vm-0"
    assert len(chosen) > 20


def test_most_first_requests_find_the_tenth_that_is_not_cut_off():
    """Guards against requests that fail after six entries of a hundred."""
    asked = []
    for seed in range(50):
        table = build_table()
        rng = random.Random(seed)
        cut_off = {r.vm_id for r in rng.sample(table.relays, 92)}
        asked.append(find_sender(table, cut_off, rng))
    assert asked.count(math.inf) < 15


def test_if_all_entries_are_known_to_be_cut_off_few_are_asked():
    table = build_table()
    everyone = {r.vm_id for r in table.relays}
    rng = random.Random(4)
    for _ in range(20):
        assert find_sender(table, everyone, rng) == math.inf
    tried = []
    while (relay := table.pick_any(tried, rng)) is not None:
        tried.append(relay.address)
    assert len(tried) == relay_selection.MAX_FAILED_RELAYS


def test_if_all_entries_are_cut_off_the_first_one_to_fail_is_asked():
    clock = [0.0]
    table = build_table(clock=clock, count=4)
    for relay in table.relays:
        clock[0] += 0.1
        table.record_relay_failure(relay.address, "cut_off")
    assert table.pick_any((), random).vm_id == "vm-1"
