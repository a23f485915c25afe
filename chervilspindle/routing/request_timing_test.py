"""Tests of timing, endpoint selection, merging and retry budgets."""

import math
import random
import typing

import hypothesis
from hypothesis import strategies
import pytest

from chervilspindle.routing import endpoints
from chervilspindle.routing import record_merging
from chervilspindle.routing import request_timing
from chervilspindle.routing import retry_budget
from chervilspindle.routing import selection

CANDIDATE = selection.CandidateState(0, 0.0, True, False, True)


def test_answer_time_reserves_the_return_trip():
    reused = request_timing.plan_timing(44.0, 600.0, 601.0, False, 4.0)
    first = request_timing.plan_timing(44.0, 600.0, 601.0, True, 4.0)
    assert reused.answer_ms + request_timing.DEFAULT_ROUND_TRIP_MS < 44.0
    assert (
        first.answer_ms
        == reused.answer_ms - request_timing.DEFAULT_ROUND_TRIP_MS
    )
    assert first.hedge_ms < first.answer_ms / 2


@pytest.mark.parametrize("round_trip_ms", (0.4, 2.4, 8.0, 50.0))
@pytest.mark.parametrize("is_first", (True, False))
def test_an_answer_sent_on_time_arrives_within_the_objective(
    round_trip_ms, is_first
):
    """A constant round trip cut off parts for nearer callers too early."""
    timing = request_timing.plan_timing(
        200.0, 600.0, 601.0, is_first, 4.0, 2.5, round_trip_ms
    )
    connected_ms = round_trip_ms if is_first else 0.0
    arrival_ms = connected_ms + round_trip_ms + timing.answer_ms + 2.5
    assert arrival_ms == pytest.approx(200.0)


def test_a_round_trip_with_lost_packets_does_not_take_the_objective():
    timing = request_timing.plan_timing(
        95.0, 600.0, 601.0, False, 4.0, 2.5, 900.0
    )
    assert timing.answer_ms > 40.0


def test_answer_time_is_earlier_on_a_slow_vm_and_link():
    assert (
        request_timing.estimate_answer_send_ms(20, 0.731, 350.0)
        == request_timing.MIN_ANSWER_SEND_MS
    )
    narrow = request_timing.estimate_answer_send_ms(90, 0.361, 13.5)
    wide = request_timing.estimate_answer_send_ms(135, 0.361, 13.5)
    assert wide > narrow > 4.0
    slow = request_timing.plan_timing(95.0, 600.0, 601.0, False, 4.0, wide)
    fast = request_timing.plan_timing(95.0, 600.0, 601.0, False, 4.0)
    earlier_ms = fast.answer_ms - slow.answer_ms
    assert earlier_ms == pytest.approx(
        wide - request_timing.MIN_ANSWER_SEND_MS
    )


def test_answer_time_is_earlier_when_the_process_lags():
    lag = 0.0
    for _ in range(10):
        lag = request_timing.smooth_lag(lag, 6.0)
    assert 5.0 < lag <= 6.0
    idle = request_timing.plan_timing(44.0, 600.0, 601.0, False, 4.0)
    answer_send_ms = request_timing.MIN_ANSWER_SEND_MS + lag
    busy = request_timing.plan_timing(
        44.0, 600.0, 601.0, False, 4.0, answer_send_ms
    )
    assert busy.answer_ms == pytest.approx(idle.answer_ms - lag)
    assert request_timing.smooth_lag(lag, 500.0) <= request_timing.MAX_LAG_MS


def test_deadline_is_the_earlier_of_route_timeout_and_caller():
    assert (
        request_timing.plan_timing(0, 500.0, 200.0, False, 4.0).deadline_ms
        == 200.0
    )
    assert (
        request_timing.plan_timing(0, 500.0, None, False, 4.0).deadline_ms
        == 500.0
    )


def test_required_coverage_is_rounded_up_to_whole_shards():
    assert request_timing.count_required_shards(20, 0.75) == 15
    assert request_timing.count_required_shards(20, 0.89) == 18
    assert request_timing.count_required_shards(30, 0.9) == 27
    assert request_timing.count_required_shards(3, 0.0) == 1


def test_a_few_late_parts_hardly_change_the_smoothed_time():
    part_ms = None
    for sample in [10.0] * 50 + [500.0] * 3:
        part_ms = request_timing.smooth_part_ms(part_ms, sample)
    assert part_ms < 13.0


@hypothesis.given(
    strategies.lists(strategies.binary(max_size=100), max_size=6),
    strategies.integers(0, 8),
)
def test_merge_equals_sorting_all_records(bodies, count):
    records = []
    for body in bodies:
        for start in range(0, len(body) - 15, 16):
            records.append(body[start : start + 16])
    expected = b"".join(sorted(records, reverse=True)[:count])
    assert record_merging.merge_top(bodies, count) == expected


def test_an_unresponsive_endpoint_costs_more_than_another_zone():
    paused = selection.Health(2)
    other = selection.Health(2)
    unresponsive = CANDIDATE._replace(outstanding=1, oldest_pending_ms=40.0)
    far = CANDIDATE._replace(same_zone=False)
    assert selection.compute_cost(paused, unresponsive, 1.0) > (
        selection.compute_cost(other, far, 1.0)
    )


@pytest.mark.parametrize("objective_ms", (0.0, 50.0, 100.0, 544.0))
def test_a_far_endpoint_is_taken_once_the_near_one_is_that_much_slower(
    objective_ms,
):
    """Load of one more request a slot in the zone goes elsewhere."""
    penalty = selection.compute_other_zone_penalty(objective_ms)
    near, far = selection.Health(2), selection.Health(2)
    far_candidate = CANDIDATE._replace(same_zone=False)
    for health, took_ms in ((far, 100.0), (near, 100.0 + penalty - 1.0)):
        selection.record_success(health, took_ms, 1.0)

    def prefers_near():
        near_cost, far_cost = (
            selection.compute_cost(health, candidate, 1.0, 100.0, penalty)
            for health, candidate in (
                (near, CANDIDATE),
                (far, far_candidate),
            )
        )
        return near_cost < far_cost

    assert prefers_near()
    selection.record_load(near, 2, 2, 2, 1.0)
    assert not prefers_near()


def test_a_reported_load_raises_the_cost_until_it_decays():
    health = selection.Health(2)
    idle = selection.compute_cost(health, CANDIDATE, 10.0)
    selection.record_load(health, 2, 6, 2, 10.0)
    assert selection.compute_cost(health, CANDIDATE, 10.0) > 3 * idle
    later = 10.0 + selection.LOAD_DECAY_S
    assert selection.compute_cost(health, CANDIDATE, later) == idle


def test_failures_decay_and_are_reset_by_an_answer():
    health = selection.Health(2)
    before = selection.compute_cost(health, CANDIDATE, 5.0)
    for _ in range(3):
        selection.record_failure(health, 5.0)
    assert selection.compute_cost(health, CANDIDATE, 5.0) > before + 100.0
    later = 5.0 + selection.FAILURE_DECAY_S
    assert selection.compute_cost(health, CANDIDATE, later) == before
    selection.record_success(health, selection.INITIAL_ANSWER_MS, later)
    assert health.failures == 0


def simulate_slow_endpoint(gap_s, slow_from_s, slow_to_s, until_s):
    """Simulate two replicas, of which the near one is slow for a while.

    Returns
    -------
    list of (time, is_near)
        For each request, whether it was sent to the near replica.
    """
    near, far = selection.Health(2), selection.Health(2)
    far_candidate = CANDIDATE._replace(same_zone=False)
    sent = []
    now = 0.0
    while now < until_s:
        best = endpoints.find_best_ms([Candidate(h) for h in (near, far)])
        is_near = selection.compute_cost(near, CANDIDATE, now, best) <= (
            selection.compute_cost(far, far_candidate, now, best)
        )
        slow = is_near and slow_from_s <= now < slow_to_s
        took_ms = 60.0 if slow else 8.0
        selection.record_success(near if is_near else far, took_ms, now)
        sent.append((now, is_near))
        now += gap_s
    return sent


class Candidate(typing.NamedTuple):
    health: selection.Health


@pytest.mark.parametrize("gap_s", [0.02, 0.2, 0.7, 2.0])
def test_a_slow_endpoint_is_avoided_and_retried_at_any_rate(gap_s):
    sent = simulate_slow_endpoint(gap_s, 5.0, 13.0, 30.0)
    assert all(is_near for now, is_near in sent if now < 5.0)
    during = [is_near for now, is_near in sent if 5.0 + gap_s < now < 13.0]
    assert sum(during) <= 4 + 0.05 * len(during)
    after = [is_near for now, is_near in sent if now > 20.0]
    assert sum(after) >= 0.9 * len(after)


def simulate_budget(vms, rate, seconds, wanted, totals_until_s=0.0):
    """Simulate requests over VMs that each want `wanted` extra sends.

    Control reports the total of requests until `totals_until_s`.

    Returns
    -------
    list of (time, kind)
        Requests and extra sends of all VMs; kind is "request" or "extra".
    """
    rule = retry_budget.Rule(0.2, 116.0, 10.0)
    now = [0.0]
    budgets = []
    for _ in range(vms):
        budget = retry_budget.RetryBudget(rule, lambda: now[0])
        budget.vms = vms
        budgets.append(budget)
    generator = random.Random(7)
    events = []
    for _ in range(int(rate * seconds)):
        now[0] += generator.expovariate(rate)
        budget = generator.choice(budgets)
        budget.count_requests(("s",))
        events.append((now[0], "request"))
        if now[0] < totals_until_s:
            total = sum(b.read_peak_requests() for b in budgets)
            for each in budgets:
                each.update_totals(vms, total)
        for _ in range(wanted):
            if budget.try_withdraw("s"):
                events.append((now[0], "extra"))
    return events


def test_all_vms_together_stay_within_the_budget_in_any_window():
    events = simulate_budget(vms=15, rate=50.0, seconds=40.0, wanted=2)
    extras = [t for t, kind in events if kind == "extra"]
    requests = [t for t, kind in events if kind == "request"]
    assert len(extras) > 200
    for start in [t for t in extras if t > 10.0]:
        sent = sum(1 for t in extras if start <= t < start + 10.0)
        requested = sum(1 for t in requests if start - 10.0 <= t < start)
        requested = max(
            requested, sum(1 for t in requests if start <= t < start + 10.0)
        )
        assert sent <= 0.2 * requested + 116.0


@pytest.mark.parametrize("totals_until_s", [1.5, 4.0, 40.0])
@pytest.mark.parametrize("rate", [10.0, 25.0, 67.0])
def test_budget_holds_when_requests_grow_and_control_is_lost(
    totals_until_s, rate
):
    events = simulate_budget(20, rate, 25.0, 2, totals_until_s)
    extras = [t for t, kind in events if kind == "extra"]
    requests = [t for t, kind in events if kind == "request"]
    for start in [0.0, *extras]:
        sent = sum(1 for t in extras if start <= t < start + 10.0)
        requested = sum(1 for t in requests if start <= t < start + 10.0)
        before = sum(1 for t in requests if start - 10.0 <= t < start)
        assert sent <= 0.2 * max(requested, before) + 116.0


def test_budget_is_small_until_the_vm_count_is_known():
    rule = retry_budget.Rule(0.2, 116.0, 10.0)
    budget = retry_budget.RetryBudget(rule, lambda: 0.0)
    granted = sum(1 for _ in range(50) if budget.try_withdraw("s"))
    assert granted <= 116.0 / retry_budget.ASSUMED_VMS


def test_few_requests_may_each_be_resent_once():
    """Split over 102 VMs, the base was too small to retry all lost shards."""
    rule = retry_budget.Rule(0.2, 268.0, 10.0)
    now = [0.0]
    budget = retry_budget.RetryBudget(rule, lambda: now[0])
    budget.vms = 102
    for _ in range(5):
        budget.count_requests(("s",))
    assert budget.read_peak_requests() == 5
    assert sum(budget.try_withdraw("s") for _ in range(9)) == 2
    budget.update_totals(102, 120)
    assert sum(budget.try_withdraw("s") for _ in range(9)) == 3
    now[0] += 11.0
    budget.count_requests(("s",))
    budget.update_totals(102, 600)
    assert sum(budget.try_withdraw("s") for _ in range(9)) <= 2


def test_a_hedge_waits_for_an_endpoint_that_states_that_it_is_slow():
    """Hedges of parts that are in time use up the budget of the others."""
    timing = request_timing.Timing(20.0, 120.0, 1000.0)
    assert request_timing.delay_hedge_ms(timing, 1.0) == 20.0
    assert request_timing.delay_hedge_ms(timing, 0.5) == 20.0
    assert request_timing.delay_hedge_ms(timing, 1.5) == 30.0
    latest_ms = 120.0 * request_timing.MAX_HEDGE_SHARE
    assert request_timing.delay_hedge_ms(timing, 8.0) == latest_ms
    unlimited = request_timing.Timing(50.0, math.inf, 1000.0)
    assert request_timing.delay_hedge_ms(unlimited, 2.0) == 100.0
