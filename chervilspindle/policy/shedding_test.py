"""Tests of which requests are refused under load: shares and their order."""

import math

import hypothesis
from hypothesis import strategies
import pytest

from chervilspindle.policy import shedding

RULE = shedding.Rule(1.0, 4.0)


def build_kind(priority=0, account="", route="r"):
    return shedding.Kind(priority, account, route)


def test_the_mean_load_forgets_what_is_old():
    pressure = shedding.Pressure()
    for _ in range(50):
        pressure = shedding.record_load(pressure, 3.0, 0.0)
    assert pressure.load == pytest.approx(3.0)
    later = shedding.record_load(pressure, 1.0, 10.0 * shedding.LOAD_MEMORY_S)
    assert later.load == pytest.approx(1.0, abs=0.01)


def test_a_batch_counts_like_its_single_loads():
    single = shedding.Pressure()
    for load in (1.0, 2.0, 3.0):
        single = shedding.record_load(single, load, 1.0)
    batch = shedding.record_load(shedding.Pressure(), 2.0, 1.0, 3.0)
    assert batch.load == pytest.approx(single.load)
    assert batch.weight == pytest.approx(single.weight)


def play(load, seconds, pressure=shedding.Pressure(), start_s=100.0):
    """Return the pressure after a steady load."""
    now = start_s
    while now < start_s + seconds:
        now += 0.1
        pressure = shedding.record_load(pressure, load, now)
        pressure = shedding.correct_share(pressure, RULE, now)
    return pressure, now


def test_the_share_shrinks_above_the_target_and_comes_back_below():
    high, now = play(1.5, 4.0)
    assert 0.2 < math.exp(high.log_share) < 0.6
    low, _ = play(0.5, 6.0, high, now)
    assert low.log_share == pytest.approx(0.0, abs=0.01)


def test_the_share_never_falls_so_far_that_no_load_is_heard():
    pressure, now = play(100.0, 60.0)
    assert shedding.compute_share(pressure, RULE, now) >= shedding.MIN_SHARE


def test_a_high_load_cuts_the_share_at_once():
    pressure = shedding.record_load(shedding.Pressure(), 2.0, 1.0)
    assert shedding.compute_share(pressure, RULE, 1.0) == pytest.approx(0.5)
    later = 1.0 + 10.0 * shedding.LOAD_FADE_S
    assert shedding.compute_share(pressure, RULE, later) > 0.99


def test_hardly_anything_is_admitted_while_queues_are_long():
    """What was admitted would be late too, and keep the queues long."""
    pressure = shedding.record_load(shedding.Pressure(), 3.5, 1.0)
    assert shedding.compute_share(pressure, RULE, 1.0) < 0.1


def test_the_share_comes_back_when_nothing_is_heard():
    """A VM that refuses all would never hear that the load is over."""
    pressure, now = play(3.0, 5.0)
    after = shedding.correct_share(
        pressure, RULE, now + 5.0 * shedding.RECOVERY_S
    )
    assert math.exp(after.log_share) > 0.97


def test_the_least_urgent_are_refused_first():
    kinds = [build_kind(n, "", name) for n, name in enumerate("abc")]
    shares = shedding.share_out(dict.fromkeys(kinds, 4.0), 0.5, {})
    kept = shedding.KEPT_PART * 0.5
    assert shares[kinds[0]] == 1.0
    assert shares[kinds[1]] == pytest.approx(0.5 - kept)
    assert shares[kinds[2]] == pytest.approx(kept)


def test_an_account_far_beyond_its_share_is_refused_first():
    demands = {build_kind(0, name): 1.0 for name in "abc"}
    demands[build_kind(0, "big")] = 8.0
    shares = shedding.share_out(demands, 6 / 11, {})
    assert all(shares[build_kind(0, name)] == 1.0 for name in "abc")
    assert shares[build_kind(0, "big")] == pytest.approx(3 / 8)


def test_accounts_share_in_proportion_to_their_weights():
    demands = {build_kind(0, "a"): 9.0, build_kind(0, "b"): 9.0}
    shares = shedding.share_out(demands, 0.5, {"a": 2.0, "b": 1.0})
    assert shares[build_kind(0, "a")] == pytest.approx(6 / 9)
    assert shares[build_kind(0, "b")] == pytest.approx(3 / 9)


def test_an_account_that_asks_again_at_once_gains_nothing():
    patient, eager = build_kind(0, "patient"), build_kind(0, "eager")
    capacity = 1.2
    for repeats in (1.0, 3.0, 10.0):
        demands = {patient: 1.0, eager: repeats}
        share = capacity / sum(demands.values())
        shares = shedding.share_out(demands, share, {})
        # For each request that it would make without repeats.
        assert shares[eager] * repeats <= shares[patient] + 1e-9


KINDS = strategies.builds(
    shedding.Kind,
    strategies.integers(0, 3),
    strategies.sampled_from("abcd"),
    strategies.sampled_from(("r", "s")),
)


@hypothesis.settings(derandomize=True, max_examples=300, deadline=None)
@hypothesis.given(
    demands=strategies.dictionaries(
        KINDS, strategies.floats(0.02, 1e6), min_size=1
    ),
    share=strategies.floats(0.01, 1.0),
    weights=strategies.dictionaries(
        strategies.sampled_from("abcd"), strategies.floats(0.01, 100.0)
    ),
)
def test_what_is_shared_out(demands, share, weights):
    """The sum is kept, as are the order and what each kind keeps."""
    shares = shedding.share_out(demands, share, weights)
    total = sum(demands.values())
    granted = sum(demands[kind] * shares[kind] for kind in demands)
    assert granted == pytest.approx(share * total, rel=1e-6)
    assert all(0.0 <= s <= 1.0 + 1e-9 for s in shares.values())
    for group in (lambda k: k.account, lambda k: k.route):
        for name in set(map(group, demands)):
            members = [k for k in demands if group(k) == name]
            asked = sum(demands[k] for k in members)
            got = sum(demands[k] * shares[k] for k in members)
            assert got >= 0.25 * share * asked
    kept = shedding.KEPT_PART * share
    for kind, one in shares.items():
        for other_kind, other in shares.items():
            if kind.priority < other_kind.priority:
                assert one > 1.0 - 1e-6 or other <= kept + 1e-6


def test_a_wait_is_estimated_for_a_full_endpoint_only():
    assert shedding.estimate_wait_ms(2.0, 3, 90.0) == 0.0
    assert shedding.estimate_wait_ms(3.0, 3, 90.0) == pytest.approx(30.0)
    assert shedding.estimate_wait_ms(8.0, 3, 90.0) == pytest.approx(180.0)


@pytest.mark.parametrize(
    "wait_ms,work_ms,left_ms,expected",
    (
        (0.0, 90.0, 600.0, False),
        (500.0, 90.0, 600.0, False),
        (520.0, 90.0, 600.0, True),
        (0.0, 900.0, 600.0, False),
        (310.0, 900.0, 600.0, True),
        (0.0, 90.0, -5.0, False),
        (1.0, 90.0, -5.0, True),
        (1e6, 90.0, math.inf, False),
    ),
)
def test_a_request_without_a_queue_before_it_has_a_chance(
    wait_ms, work_ms, left_ms, expected
):
    """A service slower than its objective must still get requests."""
    assert shedding.is_hopeless(wait_ms, work_ms, left_ms) is expected
