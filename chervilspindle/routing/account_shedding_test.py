"""Tests of load shedding by priority and account at an entry."""

import asyncio
import random
import time

import pytest

from chervilspindle.accounts import entry_accounts_test
from chervilspindle.policy import shedding
from chervilspindle.routing import cut_off_test
from chervilspindle.routing import data_path_test
from chervilspindle.routing import documents
from chervilspindle.routing import endpoint_calls
from chervilspindle.routing import overload
from chervilspindle.routing import rate_limit_test
from chervilspindle.routing import selection

URGENT = documents.Account("urgent", ("sesame-1",), 0)
USUAL = documents.Account("usual", ("sesame-2",))
KEY_BY_NAME = {
    "urgent": entry_accounts_test.KEY,
    "usual": entry_accounts_test.OTHER_KEY,
}
SERVICES = (*data_path_test.SHARDS, "desk")


@pytest.fixture
def run_test():
    def run(test):
        data_path_test.run_in_world(data_path_test.World, test, 20)

    return run


async def ask(world, path, name):
    request = entry_accounts_test.build_request(path, KEY_BY_NAME[name])
    (answer,) = await entry_accounts_test.send(world.address, request)
    return answer


def report_load(world, load):
    """Make all endpoints have just stated a load per slot."""
    shedder = world.entry.context.shedder
    for service in SERVICES:
        now = world.loop.time()
        shedder.record_load(service, load, now, 100.0)


@pytest.mark.parametrize("path", ("/all/x", "/one/x", "/once/x"))
def test_the_less_urgent_are_refused_first_and_never_run(run_test, path):
    async def test(world):
        entry_accounts_test.apply_accounts(world.entry, URGENT, USUAL)
        statuses = {"urgent": [], "usual": []}
        waits = []
        for _ in range(30):
            for name, seen in statuses.items():
                report_load(world, 3.0)
                status, headers, _ = await ask(world, path, name)
                seen.append(status)
                if status == 503:
                    waits.append(float(headers["retry-after"]))
            await asyncio.sleep(0.01)
        assert statuses["urgent"].count(200) > statuses["usual"].count(200)
        assert statuses["usual"].count(503) > 10
        # The header has two decimals, so some are equal by chance.
        assert len(set(waits)) > 0.5 * len(waits)
        assert shedding.RETRY_AFTER_S[0] <= min(waits)
        assert max(waits) <= shedding.RETRY_AFTER_S[1]
        served = sum(s.count(200) for s in statuses.values())
        assert served + len(waits) == 60
        service = "desk" if path != "/all/x" else "shard-0"
        runs = world.list_runs(service)
        # Hedges of idempotent requests run besides.
        assert served <= len(runs) <= served * (1 if path == "/once/x" else 2)

    run_test(test)


def test_nothing_is_refused_by_account_without_load(run_test):
    async def test(world):
        entry_accounts_test.apply_accounts(world.entry, URGENT, USUAL)
        for _ in range(10):
            report_load(world, 0.5)
            for path in ("/all/x", "/one/x"):
                assert (await ask(world, path, "usual"))[0] == 200

    run_test(test)


def test_without_accounts_single_requests_are_not_shed(run_test):
    """These deployments are in service; nothing may change for them."""

    async def test(world):
        shedder = world.entry.context.shedder
        assert not shedder.in_force
        for target in world.table.targets_by_service["desk"].values():
            now = world.loop.time()
            selection.record_load(target.health, 500, 500, 2, now)
        assert (await world.ask("/one/x"))[0] == 200
        assert not shedder.pool_by_service

    run_test(test)


def test_a_single_request_that_would_be_late_everywhere_is_refused(run_test):
    async def test(world):
        entry_accounts_test.apply_accounts(world.entry, URGENT)
        for target in world.table.targets_by_service["desk"].values():
            now = world.loop.time()
            selection.record_success(target.health, 50.0, now)
            selection.record_load(target.health, 30, 0, 2, now)
        status, headers, _ = await ask(world, "/once/x", "urgent")
        assert status == 503 and "retry-after" in headers
        assert not world.list_runs("desk")

    run_test(test)


def test_a_service_slower_than_its_objective_gets_requests(run_test):
    async def test(world):
        entry_accounts_test.apply_accounts(world.entry, URGENT)
        for target in world.table.targets_by_service["desk"].values():
            now = world.loop.time()
            selection.record_success(target.health, 5000.0, now)
        for path in ("/one/x", "/once/x"):
            assert (await ask(world, path, "urgent"))[0] == 200

    run_test(test)


def test_stated_loads_reach_the_shedder(run_test):
    async def test(world):
        entry_accounts_test.apply_accounts(world.entry, URGENT)
        for backend in world.backend_by_id.values():
            backend.load = b"3,2,2"
        await ask(world, "/all/x", "urgent")
        await ask(world, "/one/x", "urgent")
        for service in ("shard-0", "desk"):
            pool = world.entry.context.shedder.pool_by_service[service]
            pool.fold_loads()
            assert pool.pressure.load == pytest.approx(2.0)

    run_test(test)


def test_a_less_urgent_query_is_not_hedged_near_the_slots(run_test):
    async def test(world):
        entry_accounts_test.apply_accounts(world.entry, URGENT, USUAL)
        for name in ("urgent", "usual"):
            await ask(world, "/all/x", name)
        hedged = {}
        for name in ("usual", "urgent"):
            report_load(world, 1.2)
            for backend in world.backend_by_id.values():
                backend.runs.clear()
                backend.paused = backend.endpoint_id == "shard-0-a"
            status, _, _ = await ask(world, "/all/x", name)
            assert status == 200
            hedged[name] = len(world.backend_by_id["shard-0-b"].runs)
        assert hedged == {"usual": 0, "urgent": 1}

    run_test(test)


@pytest.mark.parametrize("accounts", ((URGENT,), ()))
def test_relays_report_the_load_of_their_shards(accounts):
    """An entry that sends no part itself hears of no load otherwise."""

    async def test(fleet):
        for entry in fleet.entries:
            entry_accounts_test.apply_accounts(entry.entry, *accounts)
            cut_off_test.use_relays(entry)
        for backend in fleet.backend_by_id.values():
            backend.load = b"3,2,2"
        request = entry_accounts_test.build_request(
            "/all/x", entry_accounts_test.KEY
        )
        entry = fleet.entries[1]  # in another zone than the endpoints
        answers = await entry_accounts_test.send(entry.address, request)
        assert answers[0][0] == 200
        pool = entry.context.shedder.pool_by_service.get("shard-0")
        if not accounts:
            assert pool is None
            return
        pool.fold_loads()
        assert pool.pressure.load == pytest.approx(2.0)

    def build(loop):
        return rate_limit_test.Fleet(loop, 5, cut_off_test.SERVICES)

    data_path_test.run_in_world(build, test, 20)


def build_document(accounts=(USUAL,), routes=data_path_test.ROUTES):
    return documents.Document(1, routes, {}, documents.Limits(), accounts)


def test_queries_with_shards_in_common_have_one_pool():
    wide = data_path_test.ROUTES[0]
    routes = (
        wide._replace(name="a", shards=("s1", "s2")),
        wide._replace(name="b", shards=("s3", "s4")),
        wide._replace(name="c", shards=("s2", "s3")),
        wide._replace(name="d", shards=("s5",)),
        data_path_test.ROUTES[2],
    )
    assert overload.list_pools(routes) == [
        (("s1", "s2", "s3", "s4"), shedding.FAN_OUT_RULE),
        (("s5",), shedding.FAN_OUT_RULE),
        (("desk",), shedding.SINGLE_RULE),
    ]


def test_pools_are_kept_by_a_new_version_and_dropped_without_accounts():
    shedder = overload.Shedder(random.Random(1))
    shedder.update_document(build_document())
    pool = shedder.pool_by_service["shard-0"]
    wide = data_path_test.ROUTES[0]
    routes = (
        wide._replace(name="a", shards=wide.shards[:2]),
        wide._replace(name="b", shards=wide.shards[2:]),
    )
    shedder.update_document(build_document(routes=routes))
    assert shedder.pool_by_service["shard-0"] is pool
    assert shedder.pool_by_service["shard-3"] is not pool
    shedder.update_document(build_document(()))
    assert not shedder.in_force and not shedder.pool_by_service
    shedder.record_load("shard-0", 5.0, 1.0)
    incoming = build_incoming(USUAL)
    assert shedder.decide(incoming, "shard-0", 1.0).admitted


def test_weights_are_in_proportion_to_rates():
    accounts = (
        documents.Account("large", (), None, 30.0),
        documents.Account("small", (), None, 10.0),
        documents.Account("unlimited", ()),
    )
    assert overload.find_weights(accounts) == {"large": 1.5, "small": 0.5}
    assert overload.find_weights(accounts[2:]) == {}


def build_incoming(account, route=data_path_test.ROUTES[0]):
    return endpoint_calls.IncomingRequest(None, route, 1, b"", None, account)


def test_many_accounts_and_loads_leave_no_growth():
    shedder = overload.Shedder(random.Random(1))
    accounts = [documents.Account(f"a-{n}", ()) for n in range(2000)]
    shedder.update_document(build_document(tuple(accounts)))
    pool = shedder.pool_by_service["shard-0"]
    now = 100.0
    for account in accounts:
        now += 0.001
        shedder.record_load("shard-0", 3.0, now)
        shedder.decide(build_incoming(account), "shard-0", now)
    assert len(pool.demand_by_kind) == 2000
    now += 10.0 * shedding.DEMAND_MEMORY_S
    for _ in range(3):
        now += 1.0
        shedder.decide(build_incoming(accounts[0]), "shard-0", now)
    assert len(pool.demand_by_kind) == 1
    assert len(pool.credit_by_kind) <= 1


def test_a_kind_that_arrives_after_a_long_time_is_counted():
    """Its count was forgotten at once, so it was refused as if unknown."""
    shedder = overload.Shedder(random.Random(1))
    shedder.update_document(build_document())
    pool = shedder.pool_by_service["shard-0"]
    for now in (100.0, 100.0 + 20.0 * shedding.DEMAND_MEMORY_S):
        shedder.decide(build_incoming(USUAL), "shard-0", now)
        assert list(pool.demand_by_kind.values()) == pytest.approx([1.0])


def test_a_decision_takes_microseconds_with_many_kinds():
    """Entries have a fraction of a core, and decide for each request.

    The shortest of some runs is taken, as other processes use the machine.
    """
    shedder = overload.Shedder(random.Random(1))
    accounts = [documents.Account(f"a-{n}", ()) for n in range(500)]
    shedder.update_document(build_document(tuple(accounts)))
    incomings = [build_incoming(account) for account in accounts]
    now = 100.0
    times_s = []
    for _ in range(20):
        started_s = time.perf_counter()
        for incoming in incomings:
            now += 0.002
            shedder.record_load("shard-0", 2.5, now)
            shedder.decide(incoming, "shard-0", now)
        times_s.append(time.perf_counter() - started_s)
    assert min(times_s) / len(incomings) < 300e-6
