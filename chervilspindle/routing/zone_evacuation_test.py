"""Tests of zones that are evacuated while requests of all kinds run."""

import asyncio
import random

import pytest

from chervilspindle.core import rows
from chervilspindle.routing import connection_prewarmer
from chervilspindle.routing import data_path_test
from chervilspindle.routing import evacuation_monitor
from chervilspindle.routing import evacuations
from chervilspindle.routing import permission
from chervilspindle.routing import rate_limit_test
from chervilspindle.routing import relay_selection_test
from chervilspindle.routing import relayed_query_test
from chervilspindle.tools import link_faults
from chervilspindle.wire import messages

SERVICES = (*data_path_test.SHARDS, "desk")
PATHS = ("/all/x", "/one/x", "/once/x")
ZONE_OUT = permission.ZONE_OUT


def build_delta(zones=(), gone=(), full=False):
    evacuated = tuple(rows.ZoneEvacuation(zone, 1000) for zone in zones)
    return messages.Delta(
        2,
        full,
        None,
        (),
        (),
        (),
        (),
        (),
        evacuations=evacuated,
        gone_evacuations=tuple(gone),
    )


def evacuate(entries, *zones):
    for entry in entries:
        monitor = evacuation_monitor.EntryMonitor(entry.context)
        monitor.apply(build_delta(zones))


def return_zones(entries, *zones):
    for entry in entries:
        monitor = evacuation_monitor.EntryMonitor(entry.context)
        monitor.apply(build_delta(gone=zones))


def list_backends(world, zone):
    return [b for b in world.backend_by_id.values() if b.zone == zone]


def count_arrivals(world, zone):
    return sum(len(b.arrivals_s) for b in list_backends(world, zone))


def run_fleet(test, entries=2):
    data_path_test.run_in_world(
        lambda loop: rate_limit_test.Fleet(loop, entries, SERVICES), test, 30
    )


async def ask_all_kinds(fleet, seconds, numbers):
    """Send requests of all kinds; return the statuses."""
    asks = [fleet.ask_evenly(path, 30.0, seconds, numbers) for path in PATHS]
    answers = await asyncio.gather(*asks)
    return [status for some in answers for status, *_ in some]


def test_no_request_goes_to_an_evacuated_zone():
    """Guards against a path that does not ask whether a zone is evacuated."""

    async def test(fleet):
        numbers = range(len(fleet.entries))
        await ask_all_kinds(fleet, 0.5, numbers)
        assert count_arrivals(fleet, "a")
        # Hedges and retries look for another endpoint.
        fleet.backend_by_id["shard-0-b"].work_s = 0.12
        fleet.backend_by_id["desk-b"].work_s = 0.05
        evacuate(fleet.entries, "a")
        before = count_arrivals(fleet, "a")
        statuses = await ask_all_kinds(fleet, 2.0, numbers)
        assert count_arrivals(fleet, "a") == before
        assert statuses.count(200) >= 0.95 * len(statuses)

    run_fleet(test, 4)


def test_a_vm_that_is_cut_off_has_nothing_sent_to_an_evacuated_zone():
    """Guards against sends that another entry makes for a VM."""

    async def test(fleet):
        await ask_all_kinds(fleet, 0.3, (0, 1, 2, 3))
        entry = fleet.entries[0]
        entry.links.start_cut(link_faults.Cut.HANG)
        entry.context.reachability.is_cut_off = True
        # The VM that is cut off has not heard of it yet.
        evacuate(fleet.entries[1:], "a")
        before = count_arrivals(fleet, "a")
        statuses = []
        for path in PATHS * 4:
            statuses.append((await fleet.ask(0, path))[0])
        assert count_arrivals(fleet, "a") == before
        assert statuses.count(200) >= 8, statuses

    run_fleet(test, 4)


def test_requests_that_wait_for_a_connection_are_chosen_anew():
    """Guards against requests sent after they waited for a connection."""

    async def test(fleet):
        for zone in "ab":
            fleet.backend_by_id[f"desk-{zone}"].work_s = 0.15
        (entry,) = fleet.entries
        table = entry.context.table
        for target in table.targets_by_service["desk"].values():
            target.pool.max_connections = 1
        asks = [
            asyncio.create_task(fleet.ask(0, path))
            for path in ("/one/x", "/once/x") * 2
        ]
        await asyncio.sleep(0.05)
        before = count_arrivals(fleet, "a")
        assert len(table.target_by_id["desk-a"].pool.waiting) >= 1
        table.target_by_id["desk-b"].pool.max_connections = 9
        evacuate(fleet.entries, "a")
        statuses = [status for status, *_ in await asyncio.gather(*asks)]
        # What was sent before ends as it began.
        assert before and statuses == [200] * 4
        assert count_arrivals(fleet, "a") == before

    run_fleet(test, 1)


def test_a_request_that_waits_for_a_permit_is_chosen_anew():
    """Guards against permits used after the evacuation."""

    async def test(fleet):
        (entry,) = fleet.entries
        table = entry.context.table
        for zone in "ab":
            restrictions = table.target_by_id[f"desk-{zone}"].restrictions
            restrictions.limit_per_s = 8.0
            restrictions.named_s = fleet.loop.time() + 60.0
        asks = [asyncio.create_task(fleet.ask(0, "/one/x")) for _ in range(14)]
        await asyncio.sleep(0.01)
        before = count_arrivals(fleet, "a")
        evacuate(fleet.entries, "a")
        statuses = [status for status, *_ in await asyncio.gather(*asks)]
        assert before
        assert count_arrivals(fleet, "a") == before
        assert set(statuses) <= {200, 503}

    run_fleet(test, 1)


def read_reasons(caplog, path):
    return [
        r.why
        for r in caplog.records
        if r.getMessage() == "request" and r.route == path.split("/")[1]
    ]


def test_shards_of_an_evacuated_zone_are_missing_and_refusals_say_why(caplog):
    """Guards against queries that are sent though they can't be answered."""

    async def test(fleet):
        (entry,) = fleet.entries
        entry.context.table.drop("shard-0-b", "test")
        await ask_all_kinds(fleet, 0.2, (0,))
        evacuate(fleet.entries, "a")
        status, headers, _ = await fleet.ask(0, "/all/x")
        assert status == 200 and data_path_test.read_missing(headers) == 1
        entry.context.table.drop("shard-1-b", "test")
        before = count_arrivals(fleet, "a"), count_arrivals(fleet, "b")
        caplog.clear()
        started_s = fleet.loop.time()
        status, headers, _ = await fleet.ask(0, "/all/x")
        assert fleet.loop.time() - started_s < 0.05
        assert status == 503 and float(headers["retry-after"]) > 0.0
        evacuate(fleet.entries, "b")
        for path in PATHS:
            status, headers, _ = await fleet.ask(0, path)
            assert status == 503 and float(headers["retry-after"]) > 0.0
        for path in PATHS:
            assert set(read_reasons(caplog, path)) == {ZONE_OUT}
        after = count_arrivals(fleet, "a"), count_arrivals(fleet, "b")
        assert after == before
        # Without endpoints at all, the evacuation is not the reason.
        for endpoint_id in list(entry.context.table.target_by_id):
            entry.context.table.drop(endpoint_id, "test")
        caplog.clear()
        for path in PATHS:
            await fleet.ask(0, path)
            assert read_reasons(caplog, path) == ["no_endpoint"]

    with caplog.at_level("INFO"):
        run_fleet(test, 1)


def test_endpoints_that_start_or_move_into_an_evacuated_zone_get_nothing():
    """Guards against rows that are applied after the evacuation."""

    async def test(fleet):
        (entry,) = fleet.entries
        table = entry.context.table
        evacuate(fleet.entries, "a")
        row = fleet.backend_by_id["desk-a"].build_row()
        table.put(row._replace(incarnation=row.incarnation + 1))
        assert table.choose("desk").endpoint.endpoint_id == "desk-b"
        table.put(fleet.backend_by_id["desk-b"].build_row()._replace(zone="a"))
        assert table.choose("desk") is None
        table.put(fleet.backend_by_id["desk-b"].build_row())
        assert table.choose("desk").endpoint.endpoint_id == "desk-b"

    run_fleet(test, 1)


def test_a_zone_returns_by_degrees(monkeypatch):
    """Guards against a whole load for endpoints that may be cold."""

    async def test(fleet):
        (entry,) = fleet.entries
        table = entry.context.table

        def count_chosen():
            chosen = [table.choose("desk") for _ in range(1000)]
            return sum(t.endpoint.zone == "a" for t in chosen)

        assert count_chosen() == 1000
        evacuate(fleet.entries, "a")
        assert count_chosen() == 0
        return_zones(fleet.entries, "a")
        returned_s = table.evacuations.returned_s_by_zone["a"]
        counts = []
        for share in (0.0, 0.25, 0.5, 0.75):
            elapsed_s = share * evacuations.RETURN_S
            now = fleet.loop.time()
            table.evacuations.returned_s_by_zone["a"] = now - elapsed_s
            counts.append(count_chosen())
        assert returned_s <= fleet.loop.time()
        assert 20 <= counts[0] <= 100
        assert counts == sorted(counts) and counts[2] < 600
        now = fleet.loop.time()
        table.evacuations.returned_s_by_zone["a"] = now - evacuations.RETURN_S
        assert count_chosen() == 1000
        assert not table.evacuations.returned_s_by_zone

    run_fleet(test, 1)


def test_a_returning_zone_is_used_if_no_other_takes_requests():
    """Guards against refusals for the sake of a slow return."""

    async def test(fleet):
        (entry,) = fleet.entries
        table = entry.context.table
        evacuate(fleet.entries, "a", "b")
        assert table.choose("desk") is None
        assert table.is_all_evacuated()
        return_zones(fleet.entries, "a")
        assert not table.is_all_evacuated()
        for _ in range(50):
            assert table.choose("desk").endpoint.zone == "a"

    run_fleet(test, 1)


class FixedRandom(random.Random):
    """Counts the numbers drawn."""

    drawn = 0

    def random(self):
        self.drawn += 1
        return super().random()


def test_choices_without_evacuations_draw_the_same_numbers():
    """Guards against evacuations that cost or change anything unused."""

    async def test(fleet):
        (entry,) = fleet.entries
        table = entry.context.table
        table.random = FixedRandom(1)
        table.choose("desk")
        assert table.random.drawn == 2  # one for each endpoint

    run_fleet(test, 1)


def test_connections_are_not_kept_to_an_evacuated_zone():
    """Guards against connections that are opened ahead of requests."""

    async def test(fleet):
        (entry,) = fleet.entries
        prewarmer = connection_prewarmer.ConnectionPrewarmer(
            entry.entry, entry.timers, "vm-0", 1.0
        )
        table = entry.context.table
        pool = table.target_by_id["desk-a"].pool
        assert prewarmer._choose_pool(table, "desk") is pool
        revision = table.revision
        evacuate(fleet.entries, "a")
        assert table.revision != revision  # the plan is made anew
        pool = table.target_by_id["desk-b"].pool
        assert prewarmer._choose_pool(table, "desk") is pool
        evacuate(fleet.entries, "b")
        assert prewarmer._choose_pool(table, "desk") is None

    run_fleet(test, 1)


@pytest.mark.parametrize("aware", (True, False))
def test_relayed_queries_send_nothing_to_an_evacuated_zone(aware):
    """Guards against relays that know of an evacuation before the entry."""

    async def test(world):
        await world.warm()
        evacuate(world.entries if aware else world.entries[1:], "a")
        before = count_arrivals(world, "a")
        for number in range(5):
            world.check(await world.ask(f"id-{number}"), f"id-{number}", 1)
        assert count_arrivals(world, "a") == before
        if aware:
            assert {r.row.zone for r in world.find_relays()} == {"b"}

    data_path_test.run_in_world(relayed_query_test.World, test, 20)


def test_a_shard_that_a_relay_may_not_send_is_not_resent(caplog):
    """Guards against a budget that is spent on sends that can't be made."""

    async def test(world):
        await world.warm()
        service = relayed_query_test.SHARDS[0]
        for entry in world.entries:
            entry.context.table.drop(f"{service}-b", "test")
        evacuate(world.entries[1:], "a")
        caplog.clear()
        status, headers, _ = await world.ask("id-1")
        assert status == 200 and data_path_test.read_missing(headers) == 1
        (line,) = [r for r in caplog.records if r.getMessage() == "request"]
        assert line.missing == [f"{service}:{ZONE_OUT}"]
        assert line.retries == 0

    with caplog.at_level("INFO"):
        data_path_test.run_in_world(relayed_query_test.World, test, 20)


def test_groups_use_relays_of_zones_that_are_not_evacuated():
    """Guards against relays that have no connections to the endpoints."""
    table = relay_selection_test.build_table("vm-0", "a")
    zones = {s: {"a", "b", "c"} for s in relay_selection_test.SHARDS}
    table.add_endpoint_zones(zones)
    group, *_ = table.get_groups(relay_selection_test.SHARDS)
    assert table.pick(group).zone == "a"
    table.set_evacuated_zones({"a"})
    assert table.pick(group).zone in "bc"
    assert table.pick_from_other_zone(group).zone in "bc"
    assert not table.list_relayed_services()
    table.use_zone("a")
    assert table.pick(group).zone in "bc"
    table.set_evacuated_zones({"a", "b", "c"})
    assert table.pick(group).zone == "a"


def test_relays_of_a_returned_zone_are_ready_before_they_are_used():
    """Guards against relays that have to connect to each endpoint first."""
    zones = {s: {"a", "b", "c"} for s in relay_selection_test.SHARDS}
    for relay in relay_selection_test.build_relays(102):
        table = relay_selection_test.build_table(relay.vm_id, "a")
        table.add_endpoint_zones(zones)
        if relay.zone == "a" and table.list_relayed_services():
            break
    relayed = table.list_relayed_services()
    group, *_ = table.get_groups(relay_selection_test.SHARDS)
    table.set_evacuated_zones({"a"})
    table.set_evacuated_zones(())
    assert relayed and table.list_relayed_services() == relayed
    assert table.pick(group).zone in "bc"
    table.use_zone("a")
    assert table.pick(group).zone == "a"


def test_entries_use_the_relays_of_a_returned_zone_one_after_the_other():
    """Guards against a whole zone of entries that returns at a moment."""
    generator = random.Random(1)
    delays = sorted(
        evacuations.draw_relays_delay_s(generator) for _ in range(27)
    )
    assert 2.9 < delays[0] < 4.5 and 8.5 < delays[-1] <= evacuations.RETURN_S
    assert 8 <= sum(d < 6.5 for d in delays) <= 19


def test_a_full_delta_replaces_the_evacuated_zones():
    """Guards against zones that stay out after control was read anew."""
    state = evacuations.Evacuations()
    row = rows.ZoneEvacuation("a", 1)
    change = state.apply((row,), (), True, 5.0)
    assert change == (("a",), ())
    assert state.apply((row,), (), True, 6.0) == evacuations.NO_CHANGE
    other = rows.ZoneEvacuation("b", 2)
    assert state.apply((other,), (), True, 7.0) == (("b",), ("a",))
    assert state.apply((), ("b", "unheard-of"), False, 8.0) == ((), ("b",))
    assert state.returned_s_by_zone == {"a": 7.0, "b": 8.0}
    state.apply((row,), (), False, 9.0)
    assert state.returned_s_by_zone == {"b": 8.0}


def test_a_leaving_endpoint_stays_closed_when_its_zone_returns():
    """Guards against an evacuation that hides what an endpoint said."""
    restrictions = permission.Restrictions("e")
    restrictions.zone_out = True
    assert permission.evaluate(restrictions, 0.0).reason == ZONE_OUT
    permission.record_leaving(restrictions, b"1")
    assert permission.evaluate(restrictions, 0.0).reason == permission.LEAVING
    restrictions.zone_out = False
    assert not permission.evaluate(restrictions, 0.0).allowed
