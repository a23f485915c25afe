"""Tests of endpoints that say that they are leaving or want a pause."""

import asyncio

import pytest

from chervilspindle.routing import data_path_test
from chervilspindle.routing import rate_limit_test

SERVICES = (*data_path_test.SHARDS, "desk")
SLACK_S = 0.5  # for requests on the way


@pytest.fixture
def run_fleet():
    def run(test):
        data_path_test.run_in_world(
            lambda loop: rate_limit_test.Fleet(loop, 2, SERVICES), test, 20
        )

    return run


def is_told(entry, backend):
    target = entry.context.table.target_by_id[backend.endpoint_id]
    return target.restrictions.leaving


async def ask_all_kinds(fleet, seconds):
    """Send requests of all kinds to one VM; return the statuses."""
    statuses = []
    for path in ("/all/x", "/one/x", "/once/x"):
        answers = await fleet.ask_evenly(path, 20.0, seconds / 3, (0,))
        statuses += [status for status, _, _ in answers]
    return statuses


@pytest.mark.parametrize("failing", [False, True])
def test_an_endpoint_that_says_it_is_leaving_gets_nothing_more(
    run_fleet, failing
):
    async def test(fleet):
        leaving = [fleet.backend_by_id[f"{service}-a"] for service in SERVICES]
        for backend in leaving:
            backend.leaving = True
            backend.failing = failing
        for path in ("/all/x", "/one/x", "/once/x"):
            await fleet.ask(0, path)
        await asyncio.sleep(0.1)
        told = [
            backend
            for backend in leaving
            if is_told(fleet.entries[0], backend)
        ]
        assert told
        for backend in leaving:
            backend.leaving = False
            backend.arrivals_s.clear()
        statuses = await ask_all_kinds(fleet, 3.0)
        assert set(statuses) == {200}
        for backend in told:
            assert not backend.arrivals_s, backend.endpoint_id

    run_fleet(test)


def test_requests_that_wait_for_a_connection_don_t_go_to_a_leaving_endpoint(
    run_fleet,
):
    async def test(fleet):
        for zone in "ab":
            fleet.backend_by_id[f"desk-{zone}"].work_s = 0.1
        for target in (
            fleet.entries[0].context.table.targets_by_service["desk"].values()
        ):
            target.pool.max_connections = 1
        leaving = fleet.backend_by_id["desk-a"]
        leaving.leaving = True
        asks = [fleet.ask(0, "/one/x") for _ in range(8)]
        statuses = [status for status, *_ in await asyncio.gather(*asks)]
        assert len(leaving.arrivals_s) <= 2
        assert statuses.count(200) >= 5

    run_fleet(test)


def test_an_endpoint_gets_nothing_during_the_pause_that_it_asks_for(
    run_fleet,
):
    async def test(fleet):
        paused = fleet.backend_by_id["desk-a"]
        paused.refusing = True
        paused.retry_after = "1.5"
        started_s = fleet.loop.time()
        answers = await fleet.ask_evenly("/one/x", 40.0, 1.4, (0, 1))
        assert {status for status, *_ in answers} == {200}
        first_s = paused.arrivals_s[0]
        in_pause = [t for t in paused.arrivals_s if t > first_s + SLACK_S]
        assert len(in_pause) <= 2
        paused.refusing = False
        await asyncio.sleep(max(0.0, started_s + 2.2 - fleet.loop.time()))
        for _ in range(3):
            await asyncio.gather(*(fleet.ask(0, "/one/x") for _ in range(6)))
        assert paused.runs

    run_fleet(test)


def test_a_request_is_refused_at_once_until_the_first_pause_ends(run_fleet):
    async def test(fleet):
        for zone, pause in (("a", "2.0"), ("b", "1.2")):
            backend = fleet.backend_by_id[f"desk-{zone}"]
            backend.refusing = True
            backend.retry_after = pause
        for _ in range(3):
            await fleet.ask(0, "/one/x")
        arrived = [
            len(fleet.backend_by_id[f"desk-{z}"].arrivals_s) for z in "ab"
        ]
        started_s = fleet.loop.time()
        status, headers, _ = await fleet.ask(0, "/one/x")
        assert status == 503
        assert fleet.loop.time() - started_s < 0.05
        assert 0.8 <= float(headers["retry-after"]) <= 1.5
        assert arrived == [
            len(fleet.backend_by_id[f"desk-{z}"].arrivals_s) for z in "ab"
        ]

    run_fleet(test)


def test_a_query_leaves_out_a_shard_whose_endpoints_pause(run_fleet):
    async def test(fleet):
        for zone in "ab":
            backend = fleet.backend_by_id[f"shard-0-{zone}"]
            backend.refusing = True
            backend.retry_after = "3"
        await fleet.ask(0, "/all/x")
        for zone in "ab":
            fleet.backend_by_id[f"shard-0-{zone}"].arrivals_s.clear()
        for _ in range(10):
            status, headers, _ = await fleet.ask(0, "/all/x")
            assert status == 200
            assert data_path_test.read_missing(headers) == 1
        arrived = [
            len(fleet.backend_by_id[f"shard-0-{z}"].arrivals_s) for z in "ab"
        ]
        assert max(arrived) <= 2

    run_fleet(test)


def test_a_leaving_endpoint_stays_so_when_control_names_it_again(run_fleet):
    async def test(fleet):
        backend = fleet.backend_by_id["desk-a"]
        backend.leaving = True
        for _ in range(3):
            await fleet.ask(0, "/one/x")
        entry = fleet.entries[0]
        assert is_told(entry, backend)
        table = entry.context.table
        table.drop("desk-a", "lost")
        table.put(backend.build_row())
        assert is_told(entry, backend)
        table.put(backend.build_row()._replace(incarnation=2))
        assert not is_told(entry, backend)

    run_fleet(test)
