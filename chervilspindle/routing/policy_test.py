"""Tests of decisions on times, choices and budgets, on loads they answer."""

import random
import typing

import hypothesis
from hypothesis import strategies
import pytest

from chervilspindle.routing import endpoints
from chervilspindle.routing import merge
from chervilspindle.routing import policy
from chervilspindle.routing import retry_budget
from chervilspindle.routing import selection

VIEW = selection.CandidateState(0, 0.0, True, False, True)


def test_an_answer_leaves_time_for_the_way_back():
    kept = policy.plan_timing(44.0, 600.0, 601.0, False, 4.0)
    first = policy.plan_timing(44.0, 600.0, 601.0, True, 4.0)
    assert kept.answer_ms + 2 * policy.TRIP_MS < 44.0
    assert first.answer_ms == kept.answer_ms - policy.CONNECT_MS
    assert first.hedge_ms < first.answer_ms / 2


def test_an_answer_leaves_sooner_on_a_slow_vm_and_its_link():
    assert policy.compute_answer_ms(20, 0.731, 350.0) == policy.ANSWER_MS
    narrow = policy.compute_answer_ms(90, 0.361, 13.5)
    wide = policy.compute_answer_ms(135, 0.361, 13.5)
    assert wide > narrow > 4.0
    soon = policy.plan_timing(95.0, 600.0, 601.0, False, 4.0, wide)
    late = policy.plan_timing(95.0, 600.0, 601.0, False, 4.0)
    sooner_ms = late.answer_ms - soon.answer_ms
    assert sooner_ms == pytest.approx(wide - policy.ANSWER_MS)


def test_a_process_that_is_late_answers_sooner():
    lag = 0.0
    for _ in range(10):
        lag = policy.smooth_lag(lag, 6.0)
    assert 5.0 < lag <= 6.0
    calm = policy.plan_timing(44.0, 600.0, 601.0, False, 4.0)
    late_ms = policy.ANSWER_MS + lag
    busy = policy.plan_timing(44.0, 600.0, 601.0, False, 4.0, late_ms)
    assert busy.answer_ms == pytest.approx(calm.answer_ms - lag)
    assert policy.smooth_lag(lag, 500.0) <= policy.MAX_LAG_MS


def test_the_sooner_of_timeout_and_caller_ends_a_request():
    assert policy.plan_timing(0, 500.0, 200.0, False, 4.0).deadline_ms == 200.0
    assert policy.plan_timing(0, 500.0, None, False, 4.0).deadline_ms == 500.0


def test_coverage_counts_whole_shards():
    assert policy.count_needed(20, 0.75) == 15
    assert policy.count_needed(20, 0.89) == 18
    assert policy.count_needed(30, 0.9) == 27
    assert policy.count_needed(3, 0.0) == 1


def test_a_few_late_parts_do_not_move_what_is_usual():
    usual = None
    for sample in [10.0] * 50 + [500.0] * 3:
        usual = policy.smooth_usual(usual, sample)
    assert usual < 13.0


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
    assert merge.merge_top(bodies, count) == expected


def test_a_paused_endpoint_is_avoided_while_it_is_silent():
    paused = selection.Health(2)
    other = selection.Health(2)
    silent = VIEW._replace(outstanding=1, silence_ms=40.0)
    far = VIEW._replace(same_zone=False)
    assert selection.compute_cost(paused, silent, 1.0) > (
        selection.compute_cost(other, far, 1.0)
    )


def test_a_stated_load_counts_for_a_moment():
    health = selection.Health(2)
    idle = selection.compute_cost(health, VIEW, 10.0)
    selection.note_load(health, 2, 6, 2, 10.0)
    assert selection.compute_cost(health, VIEW, 10.0) > 3 * idle
    later = 10.0 + selection.LOAD_MEMORY_S
    assert selection.compute_cost(health, VIEW, later) == idle


def test_failures_are_forgiven_after_a_while_and_by_an_answer():
    health = selection.Health(2)
    before = selection.compute_cost(health, VIEW, 5.0)
    for _ in range(3):
        selection.note_failure(health, 5.0)
    assert selection.compute_cost(health, VIEW, 5.0) > before + 100.0
    later = 5.0 + selection.FAILURE_MEMORY_S
    assert selection.compute_cost(health, VIEW, later) == before
    selection.note_answer(health, selection.INITIAL_ANSWER_MS, later)
    assert health.failures == 0


def replay_slow_endpoint(gap_s, slow_from_s, slow_to_s, until_s):
    """Send to the better of two replicas, of which the near one turns slow.

    Returns
    -------
    list of (time, is_near)
    """
    near, far = selection.Health(2), selection.Health(2)
    view_far = VIEW._replace(same_zone=False)
    sent = []
    now = 0.0
    while now < until_s:
        best = endpoints.find_best_ms([Known(h) for h in (near, far)])
        is_near = selection.compute_cost(near, VIEW, now, best) <= (
            selection.compute_cost(far, view_far, now, best)
        )
        slow = is_near and slow_from_s <= now < slow_to_s
        took_ms = 60.0 if slow else 8.0
        selection.note_answer(near if is_near else far, took_ms, now)
        sent.append((now, is_near))
        now += gap_s
    return sent


class Known(typing.NamedTuple):
    health: selection.Health


@pytest.mark.parametrize("gap_s", [0.02, 0.2, 0.7, 2.0])
def test_a_slow_endpoint_is_left_at_any_rate_and_tried_again(gap_s):
    sent = replay_slow_endpoint(gap_s, 5.0, 13.0, 30.0)
    assert all(is_near for now, is_near in sent if now < 5.0)
    during = [is_near for now, is_near in sent if 5.0 + gap_s < now < 13.0]
    assert sum(during) <= 4 + 0.05 * len(during)
    after = [is_near for now, is_near in sent if now > 20.0]
    assert sum(after) >= 0.9 * len(after)


def replay_budget(vms, rate, seconds, wanted, counted_until_s=0.0):
    """Play requests spread over VMs, each asking for `wanted` extra sends.

    Control sums up the requests until it is lost.

    Returns
    -------
    list of (time, kind)
        Requests and extra sends of all VMs together.
    """
    rule = retry_budget.Rule(0.2, 116.0, 10.0)
    now = [0.0]
    budgets = []
    for _ in range(vms):
        budget = retry_budget.RetryBudget(rule, lambda: now[0])
        budget.vms = vms
        budgets.append(budget)
    draw = random.Random(7)
    events = []
    for _ in range(int(rate * seconds)):
        now[0] += draw.expovariate(rate)
        budget = draw.choice(budgets)
        budget.count_requests(("s",))
        events.append((now[0], "request"))
        if now[0] < counted_until_s:
            total = sum(b.read_peak_requests() for b in budgets)
            for one in budgets:
                one.update_totals(vms, total)
        for _ in range(wanted):
            if budget.spend("s"):
                events.append((now[0], "extra"))
    return events


def test_all_vms_together_stay_within_the_budget_of_any_window():
    events = replay_budget(vms=15, rate=50.0, seconds=40.0, wanted=2)
    extras = [t for t, kind in events if kind == "extra"]
    requests = [t for t, kind in events if kind == "request"]
    assert len(extras) > 200
    for start in [t for t in extras if t > 10.0]:
        sent = sum(1 for t in extras if start <= t < start + 10.0)
        asked = sum(1 for t in requests if start - 10.0 <= t < start)
        asked = max(
            asked, sum(1 for t in requests if start <= t < start + 10.0)
        )
        assert sent <= 0.2 * asked + 116.0


@pytest.mark.parametrize("counted_until_s", [1.5, 4.0, 40.0])
@pytest.mark.parametrize("rate", [10.0, 25.0, 67.0])
def test_the_budget_holds_when_requests_grow_and_control_is_lost(
    counted_until_s, rate
):
    events = replay_budget(20, rate, 25.0, 2, counted_until_s)
    extras = [t for t, kind in events if kind == "extra"]
    requests = [t for t, kind in events if kind == "request"]
    for start in [0.0, *extras]:
        sent = sum(1 for t in extras if start <= t < start + 10.0)
        asked = sum(1 for t in requests if start <= t < start + 10.0)
        before = sum(1 for t in requests if start - 10.0 <= t < start)
        assert sent <= 0.2 * max(asked, before) + 116.0


def test_a_budget_is_small_until_the_vms_are_counted():
    rule = retry_budget.Rule(0.2, 116.0, 10.0)
    budget = retry_budget.RetryBudget(rule, lambda: 0.0)
    granted = sum(1 for _ in range(50) if budget.spend("s"))
    assert granted <= 116.0 / retry_budget.UNKNOWN_VMS


def test_few_requests_may_each_be_sent_again_once():
    """Even parts of a hundred VMs left lost parts without a retry."""
    rule = retry_budget.Rule(0.2, 268.0, 10.0)
    now = [0.0]
    budget = retry_budget.RetryBudget(rule, lambda: now[0])
    budget.vms = 102
    for _ in range(5):
        budget.count_requests(("s",))
    assert budget.read_peak_requests() == 5
    assert sum(budget.spend("s") for _ in range(9)) == 2
    budget.update_totals(102, 120)
    assert sum(budget.spend("s") for _ in range(9)) == 3
    now[0] += 11.0
    budget.count_requests(("s",))
    budget.update_totals(102, 600)
    assert sum(budget.spend("s") for _ in range(9)) <= 2
