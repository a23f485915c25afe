"""Decisions under faults: coverage, fairness and advice on a fake clock."""

import pytest

from features import fakes
from features import promises
from features import workload
from features import world as world_module

QUERY_PERIOD_S = 0.04


@pytest.fixture(name="world")
def build_world(tmp_path, monkeypatch):
    """Build a small world that has served for a while."""
    world = world_module.World(tmp_path, monkeypatch, seed=11)
    workload.start_services(world)
    send_queries(world, 40)
    return world


def send_queries(world, count, period_s=QUERY_PERIOD_S, **fields):
    """Send queries one after the other and return their outcomes."""
    outcomes = []
    for _ in range(count):
        outcomes.append(world.query(**fields))
        world.advance(period_s)
    world.advance(0.6)
    return outcomes


def list_reasons(outcomes):
    """Return why shards are missing, with the time of the request."""
    found = []
    for outcome in outcomes:
        if outcome.problem:
            found.append((outcome.sent_at, outcome.problem.kind.value))
        elif outcome.answer is None:
            found.append((outcome.sent_at, "none"))
        else:
            for row in outcome.answer.missing:
                found.append((outcome.sent_at, row.service, row.reason))
    return found


def test_coverage_while_one_of_each_pair_hangs(world):
    """Endpoints that announce, answer probes and end nothing."""
    for service in (1, 2):
        world.endpoint_by_name[f"portal-{service}.0"].service_s = 60.0
    outcomes = send_queries(world, 150)
    promises.check_all(world)
    assert list_reasons(outcomes) == []


def test_many_endpoints_hang_at_once(tmp_path, monkeypatch):
    """More late parts than the budgets of hedges can pay for."""
    world = world_module.World(tmp_path, monkeypatch, seed=12)
    workload.start_services(world, services=10)
    send_queries(world, 60, period_s=0.1)
    for service in range(1, 11):
        world.endpoint_by_name[f"portal-{service}.0"].service_s = 60.0
    outcomes = send_queries(world, 60, period_s=0.1)
    promises.check_all(world)
    assert list_reasons(outcomes) == []


def test_coverage_while_one_of_each_pair_is_dead(world):
    """Endpoints whose process is gone."""
    for service in (1, 2):
        world.endpoint_by_name[f"portal-{service}.0"].crash()
    outcomes = send_queries(world, 150)
    promises.check_all(world)
    assert list_reasons(outcomes) == []


@pytest.mark.parametrize("seed", range(11, 15))
def test_hung_endpoint_is_used_again_once_it_works(
    tmp_path, monkeypatch, seed
):
    """The other replica does not carry the load alone for ever."""
    world = world_module.World(tmp_path, monkeypatch, seed=seed)
    workload.start_services(world)
    send_queries(world, 40)
    endpoint = world.endpoint_by_name["portal-1.0"]
    endpoint.service_s = 60.0
    send_queries(world, 50)
    endpoint.service_s = fakes.SERVICE_S
    for run_id in list(endpoint.running):
        endpoint.cancel(run_id)
    world.advance(10.0)
    before = len(endpoint.ran)
    send_queries(world, 50)
    assert len(endpoint.ran) - before > 10


def test_given_up_request_is_answered_at_once(world):
    """A caller that wants all or nothing is not kept waiting."""
    for replica in (0, 1):
        world.endpoint_by_name[f"portal-1.{replica}"].crash()
    world.advance(6.0)
    outcome = world.query(partial=False, deadline_ms=5000)
    world.advance(0.05)
    assert outcome.problem is not None
    assert outcome.problem.retry_after_ms > 0
    assert outcome.problem.not_run


def test_overload_is_refused_at_once_and_truly_not_run(world):
    """Refusals wait for less than 20 ms and carry a time to come back."""
    outcomes = []
    for _ in range(120):
        for _ in range(6):
            outcomes.append(
                world.query(deadline_ms=150, services=["portal-1"])
            )
        world.advance(0.005)
    world.advance(1.0)
    promises.check_all(world)
    refused = [o for o in outcomes if o.problem and o.problem.not_run]
    assert refused
    assert all(o.problem.retry_after_ms > 0 for o in refused)
    overloaded = [o for o in refused if o.problem.kind.value == "overloaded"]
    # The fake endpoints end 200 requests a second; half is goodput.
    answered = [o for o in outcomes if o.answer and not o.answer.missing]
    assert len(answered) > 0.6 * 200 * 0.5
    waits = sorted(o.ended_at - o.sent_at for o in overloaded)
    assert waits[int(len(waits) * 0.5)] < 0.020


def test_urgent_requests_pass_those_that_may_wait(world):
    """Within a customer the urgent priority goes first."""
    archive = [
        world.query(deadline_ms=4000, priority="archive") for _ in range(200)
    ]
    urgent = [
        world.query(deadline_ms=4000, priority="lookup") for _ in range(20)
    ]
    world.advance(4.5)
    last_urgent = max(o.ended_at for o in urgent if o.answer)
    median = sorted(o.ended_at for o in archive if o.ended_at)[100]
    assert last_urgent < median


def test_stragglers_cost_no_coverage(world):
    """Late requests are no reason to give up on both replicas."""
    endpoints = list(world.endpoint_by_name.values())
    outcomes = []
    for number in range(200):
        late = endpoints[number % len(endpoints)]
        late.service_s = 0.2
        outcomes.append(world.query())
        world.advance(0.01)
        late.service_s = fakes.SERVICE_S
        world.advance(0.04)
    world.advance(0.6)
    promises.check_all(world)
    assert list_reasons(outcomes) == []


def test_hedges_leave_a_send_for_when_both_replicas_pause(world):
    """Guards against a shard given up long before its deadline."""
    replicas = [world.endpoint_by_name[f"portal-1.{n}"] for n in (0, 1)]
    outcomes = []
    for _ in range(8):
        for replica in replicas:
            replica.service_s = 0.2
        for _ in range(4):
            outcomes.append(world.query(services=["portal-1"]))
            world.advance(0.02)
        for replica in replicas:
            replica.service_s = fakes.SERVICE_S
        world.advance(1.0)
    promises.check_all(world)
    # Some queries may be refused for load: four of them need 0.4 s.
    reasons = {found[-1] for found in list_reasons(outcomes)}
    assert reasons <= {"overloaded"}


def test_coverage_while_endpoints_move_to_new_entries(world):
    """A planned move of ownership loses no shard."""
    outcomes = []
    for number in range(3):
        workload.restart_gracefully(
            world, world.vm_by_name[f"entry-{1 + number}"]
        )
        for _ in range(100):
            outcomes.append(world.query(vm=pick_ready(world)))
            world.advance(0.05)
    world.advance(0.6)
    promises.check_all(world)
    answered = [o for o in outcomes if o.answer]
    assert list_reasons(answered) == []
    assert len(answered) > 290


def pick_ready(world):
    """Return an entry that the balancer would choose."""
    ready = [
        vm
        for vm in world.entries()
        if not vm.process.killed and vm.entry.is_ready()
    ]
    return world.random.choice(ready)


def test_command_goes_to_another_replica_if_it_was_never_dispatched(world):
    """A lost owner costs no command while another replica is owned."""
    world.vm_by_name["entry-2"].kill()
    entry = world.vm_by_name["entry-1"]
    outcomes = []
    for number in range(20):
        outcomes.append(world.command(f"late-{number}", entry))
        world.advance(0.1)
    world.advance(1.0)
    promises.check_all(world)
    refused = [o.problem for o in outcomes if o.problem and o.problem.not_run]
    assert refused == []
    assert sum(1 for o in outcomes if o.answer) >= 18
