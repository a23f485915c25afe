"""Tests of VMs that are cut off from all endpoints, but not from others."""

import asyncio
import collections
import logging

import pytest
from twisted.internet import defer

from chervilspindle.platform import names as platform_names
from chervilspindle.routing import data_path_test
from chervilspindle.routing import rate_limit_test
from chervilspindle.routing import retry_budget
from chervilspindle.tools import link_faults
from chervilspindle.wire import messages

SERVICES = (*data_path_test.SHARDS, "desk")
CUT_OFF = (0, 1, 2)  # of five entries
IN_TOUCH = (3, 4)
SETTLE_S = 1.5
ROUNDS = 6
PATHS = ("/all/x", "/one/x", "/once/x")


@pytest.fixture
def run_fleet():
    def run(test, **options):
        def build(loop):
            return rate_limit_test.Fleet(loop, 5, SERVICES, **options)

        data_path_test.run_in_world(build, test, 20)

    return run


async def warm_up(fleet):
    """Let all entries open connections."""
    for path in PATHS:
        await asyncio.gather(*(fleet.ask(i, path) for i in range(5)))


def start_cut(fleet, cut, numbers=CUT_OFF):
    for number in numbers:
        fleet.entries[number].links.start_cut(cut)


async def cut_off(fleet, cut, numbers):
    """Cut entries off and wait until they have noticed."""
    start_cut(fleet, cut, numbers)
    await ask_all(fleet, numbers, rounds=1)
    await asyncio.sleep(SETTLE_S)


async def ask_all(fleet, numbers, paths=PATHS, rounds=ROUNDS):
    """Send requests of all kinds; return the counts of their statuses."""
    statuses = collections.Counter()
    for _ in range(rounds):
        asks = [fleet.ask(i, path) for path in paths for i in numbers]
        for status, _, _ in await asyncio.gather(*asks):
            statuses[status] += 1
    return statuses


def count_most_runs(fleet, target):
    """Return the most runs that one attempt had at one service."""
    runs = collections.Counter(
        (backend.service, run.request_id)
        for backend in fleet.backend_by_id.values()
        for run in backend.runs
        if run.target == target
    )
    return max(runs.values(), default=0)


@pytest.mark.parametrize("cut", link_faults.Cut)
def test_callers_of_vms_cut_off_from_all_endpoints_are_served(run_fleet, cut):
    async def test(fleet):
        await warm_up(fleet)
        await cut_off(fleet, cut, CUT_OFF)
        served = await ask_all(fleet, CUT_OFF)
        in_touch = await ask_all(fleet, IN_TOUCH)
        asked = ROUNDS * len(PATHS)
        assert in_touch[200] >= 0.9 * asked * len(IN_TOUCH), in_touch
        assert served[200] >= 0.9 * asked * len(CUT_OFF), served
        assert count_most_runs(fleet, "/once/x") == 1

    run_fleet(test)


def use_relays(entry):
    """Leave each shard one endpoint and tell the relay table its zone."""
    for shard in data_path_test.SHARDS:
        entry.context.table.drop(f"{shard}-b", "test")
    relay_table = entry.context.relays.table
    relay_table.add_endpoint_zones(entry.context.table.list_zones())
    relay_table.update_document(entry.entry.document)


def test_vms_in_touch_avoid_relays_that_are_cut_off(run_fleet):
    async def test(fleet):
        for entry in fleet.entries:
            entry.context.budget.rule = retry_budget.Rule(0.2, 5.0, 10.0)
            use_relays(entry)
        await warm_up(fleet)
        start_cut(fleet, link_faults.Cut.HANG, (2, 4))
        await ask_all(fleet, (1, 3), ("/all/x",), 1)
        await asyncio.sleep(SETTLE_S)
        statuses = await ask_all(fleet, (1, 3), ("/all/x",))
        assert statuses[200] >= 0.9 * statuses.total(), statuses

    run_fleet(test)


def list_ranked_vms(entry):
    """Return the VMs that are relays of a query to all shards."""
    table = entry.context.relays.table
    return {
        relay.vm_id
        for group in table.get_groups(data_path_test.SHARDS)
        for zone in "ab"
        for relay in table._rank(group, zone)
    }


async def cut_off_nearly_all(fleet):
    """Cut off all but three VMs that are no relays of a query to all shards.

    Returns
    -------
    list of int, list of int
        VMs cut off, and those in touch.
    """
    for entry in fleet.entries:
        use_relays(entry)
    ranked = set.union(*map(list_ranked_vms, fleet.entries))
    everyone = range(len(fleet.entries))
    others = [n for n in everyone if f"vm-{n}" not in ranked]
    in_touch = others[:3]
    numbers = [n for n in everyone if n not in in_touch]
    await ask_all(fleet, everyone, rounds=1)
    await cut_off(fleet, link_faults.Cut.HANG, numbers)
    return numbers, in_touch


def run_large_fleet(test, vms):
    def build(loop):
        return rate_limit_test.Fleet(loop, vms, SERVICES)

    data_path_test.run_in_world(build, test, 30)


def test_queries_are_served_where_nearly_all_vms_are_cut_off():
    """Guards against a few relays tried, and others that answer left out."""

    async def test(fleet):
        numbers, _ = await cut_off_nearly_all(fleet)
        statuses = await ask_all(fleet, numbers, ("/all/x",), 4)
        assert statuses[200] >= 0.9 * statuses.total(), statuses

    run_large_fleet(test, 30)


def test_queries_leave_out_the_usual_relays_if_these_failed_lately(caplog):
    async def test(fleet):
        numbers, in_touch = await cut_off_nearly_all(fleet)
        # VMs of the other zone have endpoints near, and use no group.
        asked = next(n for n in numbers if fleet.entries[n].row.zone == "b")
        table = fleet.entries[asked].context.relays.table
        for number, entry in enumerate(fleet.entries):
            if number in in_touch:
                table.clear_failure(entry.peer_address)
            else:
                table.record_relay_failure(entry.peer_address, "test")
        with caplog.at_level(logging.INFO):
            caplog.clear()
            assert (await fleet.ask(asked, "/all/x"))[0] == 200
        lines = [r for r in caplog.records if r.getMessage() == "request"]
        relays = {vm_id for line in lines for vm_id in line.relays}
        assert relays.issubset({f"vm-{number}" for number in in_touch})

    run_large_fleet(test, 12)


def test_endpoints_that_are_down_are_told_apart_from_a_cut(run_fleet):
    async def test(fleet):
        await warm_up(fleet)
        for backend in fleet.backend_by_id.values():
            if backend.service != "desk":
                backend.stop()
        statuses = await ask_all(fleet, range(5), ("/one/x",), 12)
        await ask_all(fleet, range(5), ("/all/x",), 3)
        assert statuses[200] == statuses.total()
        assert not any(
            e.context.reachability.is_cut_off for e in fleet.entries
        )

    run_fleet(test)


def test_requests_are_refused_at_once_if_all_vms_are_cut_off(run_fleet):
    async def test(fleet):
        await warm_up(fleet)
        for backend in fleet.backend_by_id.values():
            backend.runs.clear()
        await cut_off(fleet, link_faults.Cut.HANG, range(5))
        for path in PATHS:
            started_s = fleet.loop.time()
            status, headers, _ = await fleet.ask(0, path)
            assert status == 503 and "retry-after" in headers
            assert fleet.loop.time() - started_s < 0.1
        assert not any(b.runs for b in fleet.backend_by_id.values())

    run_fleet(test)


@pytest.mark.parametrize("cut", link_faults.Cut)
def test_a_vm_sends_directly_again_after_a_cut(run_fleet, cut):
    async def test(fleet):
        await warm_up(fleet)
        start_cut(fleet, cut, (0,))
        # Old connections may live on; all are busy with two queries at once.
        await ask_all(fleet, (0, 0), rounds=1)
        await asyncio.sleep(SETTLE_S)
        fleet.entries[0].links.end_cut()
        await asyncio.sleep(SETTLE_S)
        assert not fleet.entries[0].context.reachability.is_cut_off
        for entry in fleet.entries[1:]:
            entry.network.close()
        statuses = await ask_all(fleet, (0,))
        assert statuses[200] == statuses.total(), statuses

    run_fleet(test)


def test_an_entry_that_ends_runs_a_forwarded_request_once_at_most(run_fleet):
    async def test(fleet):
        await warm_up(fleet)
        await cut_off(fleet, link_faults.Cut.HANG, (0,))
        for backend in fleet.backend_by_id.values():
            backend.runs.clear()
            backend.work_s = 0.2
        asks = [asyncio.create_task(fleet.ask(0, "/once/x")) for _ in range(4)]
        await asyncio.sleep(0.1)
        busy = [e for e in fleet.entries if e.entry_peer.count_busy()]
        assert busy
        busy[0].network.close()
        statuses = [status for status, _, _ in await asyncio.gather(*asks)]
        runs = [
            run.request_id
            for backend in fleet.backend_by_id.values()
            for run in backend.runs
        ]
        assert len(set(runs)) == len(runs)
        assert statuses.count(502) > 0 and statuses.count(503) == 0, statuses
        assert statuses.count(200) + statuses.count(502) == 4

    run_fleet(test)


def test_an_entry_that_cannot_be_reached_costs_no_request(run_fleet):
    async def test(fleet):
        await warm_up(fleet)
        for entry in fleet.entries[2:4]:
            entry.network.close()
            rows = fleet.entries[0].context.relays.table.relays
            gone = entry.row._replace(address=data_path_test.find_address())
            rows = [gone if r.vm_id == gone.vm_id else r for r in rows]
            fleet.entries[0].context.relays.table.set_relays(2, rows)
        await cut_off(fleet, link_faults.Cut.HANG, (0,))
        statuses = await ask_all(fleet, (0,))
        assert statuses[200] == statuses.total(), statuses
        assert count_most_runs(fleet, "/once/x") == 1

    run_fleet(test)


def test_a_forwarded_request_is_cancelled_when_its_caller_leaves(run_fleet):
    async def test(fleet):
        await warm_up(fleet)
        await cut_off(fleet, link_faults.Cut.HANG, (0,))
        for backend in fleet.backend_by_id.values():
            backend.paused = True
        host, port = fleet.entries[0].address.split(":")
        _, writer = await asyncio.open_connection(host, int(port))
        writer.write(
            b"GET /one/x HTTP/1.1\r\nHost: h.example\r\n"
            b"%s: id-x\r\n\r\n" % platform_names.HEADERS.request_id.encode()
        )
        await asyncio.sleep(0.05)
        assert sum(e.entry_peer.count_busy() for e in fleet.entries) > 0
        writer.close()
        await asyncio.sleep(0.5)
        assert sum(e.entry_peer.count_busy() for e in fleet.entries) == 0

    run_fleet(test)


def test_the_limit_of_an_endpoint_holds_for_cut_off_vms(run_fleet):
    async def test(fleet):
        limited = fleet.backend_by_id["desk-a"]
        limited.limit_per_s = 4.0
        await warm_up(fleet)
        await cut_off(fleet, link_faults.Cut.HANG, CUT_OFF)
        start_s = fleet.loop.time()
        answers = await fleet.ask_evenly("/one/x", 40.0, 5.0, range(5))
        busiest = rate_limit_test.find_busiest_window(
            limited.arrivals_s, start_s
        )
        allowed = 1.5 * rate_limit_test.WINDOW_S * limited.limit_per_s + 5
        assert busiest <= allowed
        assert {status for status, *_ in answers} == {200}

    run_fleet(test)


def collect_crash_reports(fleet):
    """Return the list of crash reports that entries will send to control."""
    reports = []
    for entry in fleet.entries:
        entry.context.quarantine.send_report = lambda report: reports.append(
            report
        ) or defer.succeed(None)
    return reports


@pytest.mark.parametrize("cut", link_faults.Cut)
def test_a_cut_off_vm_suspects_no_request_of_crashing_endpoints(
    run_fleet, cut
):
    async def test(fleet):
        await warm_up(fleet)
        reports = collect_crash_reports(fleet)
        for backend in fleet.backend_by_id.values():
            backend.work_s = 0.05
        asks = [
            asyncio.create_task(ask_all(fleet, CUT_OFF, rounds=2))
            for _ in range(3)
        ]
        await asyncio.sleep(0.03)
        start_cut(fleet, cut)
        await asyncio.gather(*asks)
        await asyncio.sleep(SETTLE_S)
        await ask_all(fleet, CUT_OFF, rounds=2)
        assert not [r for r in reports if r.endpoints]

    run_fleet(test)


def test_crashes_under_a_request_of_a_cut_off_vm_are_reported(run_fleet):
    async def test(fleet):
        await warm_up(fleet)
        await cut_off(fleet, link_faults.Cut.HANG, (0,))
        reports = collect_crash_reports(fleet)
        for backend in fleet.backend_by_id.values():
            backend.crash_marker = b"/crash"
        await fleet.ask(0, "/one/crash")
        await fleet.ask(0, "/all/crash")
        await asyncio.sleep(0.5)
        ended = {e for report in reports for e in report.endpoints}
        assert len(ended) >= len(data_path_test.SHARDS), reports

    run_fleet(test)


def test_the_end_of_all_endpoints_heard_last_does_not_look_like_a_cut(
    run_fleet,
):
    async def test(fleet):
        await warm_up(fleet)
        await ask_all(fleet, (0,), ("/all/x",))
        for backend in fleet.backend_by_id.values():
            if backend.service != "desk":
                backend.stop()
                target = fleet.entries[0].context.table.target_by_id[
                    backend.endpoint_id
                ]
                # As if the resets had not arrived yet.
                target.pool.lost_s = -1.0
        context = fleet.entries[0].context
        context.reachability.next_check_s = 0.0
        context.reachability.record_failed(target.pool)
        await asyncio.sleep(0.5)
        assert not context.reachability.is_cut_off
        status, _, _ = await fleet.ask(0, "/one/x")
        assert status == 200

    run_fleet(test)


def play_older_build(entry, version):
    """Let an entry state a version and record what it would not know."""
    unknown = []
    handle = entry.network.handler

    def check(link, message):
        if not messages.is_known(type(message), version):
            unknown.append(message)
        return handle(link, message)

    entry.network.own_version = version
    entry.network.handler = check
    return unknown


def test_a_vm_cut_off_among_older_builds_sends_them_what_they_know(run_fleet):
    async def test(fleet):
        unknown = [play_older_build(e, 3) for e in fleet.entries[1:]]
        await warm_up(fleet)
        await cut_off(fleet, link_faults.Cut.HANG, (0,))
        queries = await ask_all(fleet, (0,), ("/all/x",))
        assert queries[200] >= 0.9 * ROUNDS, queries
        for path in ("/one/x", "/once/x"):
            runs = sum(len(b.runs) for b in fleet.backend_by_id.values())
            status, headers, _ = await fleet.ask(0, path)
            assert status == 503 and "retry-after" in headers
            after = sum(len(b.runs) for b in fleet.backend_by_id.values())
            assert after == runs
        relay_table = fleet.entries[0].context.relays.table
        assert not relay_table.failed_s_by_address
        assert not any(unknown)

    run_fleet(test)


def test_relays_that_are_cut_off_tell_older_builds_by_losses(run_fleet):
    async def test(fleet):
        unknown = [play_older_build(fleet.entries[i], 3) for i in (1, 3)]
        for entry in fleet.entries:
            use_relays(entry)
        await warm_up(fleet)
        start_cut(fleet, link_faults.Cut.HANG, (2, 4))
        await ask_all(fleet, (1, 3), ("/all/x",), 1)
        await asyncio.sleep(SETTLE_S)
        statuses = await ask_all(fleet, (1, 3), ("/all/x",))
        assert statuses[200] >= 0.9 * statuses.total(), statuses
        assert not any(unknown)

    run_fleet(test)
