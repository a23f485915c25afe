"""Tests of replica selection, concurrency limits and hedging."""

from chervilspindle.policy import hedging
from chervilspindle.policy import limits
from chervilspindle.policy import replicas


def build_candidate(name, **fields):
    return replicas.Candidate(name, 2, True, replicas.ReplicaStats(**fields))


def choose(*candidates, now=1000.0):
    return replicas.choose_replica(candidates, now, lambda: 0.5).endpoint_id


def test_replica_with_longer_queue_is_avoided():
    busy = build_candidate("busy", backlog_ms=100.0, observed_ms=990.0)
    assert choose(busy, build_candidate("idle")) == "idle"


def test_weight_of_an_old_backlog_decays():
    stale = build_candidate("a", backlog_ms=100.0, observed_ms=-9000.0)
    slow = build_candidate("b", service_ms=20.0)
    assert choose(stale, slow) == "a"


def test_failed_replica_is_avoided_until_the_penalty_decays():
    failed = build_candidate("failed", failed_ms=900.0)
    assert choose(failed, build_candidate("slow", service_ms=100.0)) == "slow"
    later = 900.0 + 20000.0
    slow = build_candidate("slow", service_ms=100.0)
    assert choose(failed, slow, now=later) == "failed"


def test_own_outstanding_requests_count():
    loaded = build_candidate("loaded", outstanding=8, waiting_since_ms=999.0)
    assert choose(loaded, build_candidate("other", service_ms=15.0)) == "other"


def test_limit_never_exceeds_the_announced_slots():
    state = limits.build_limit(2, True)
    assert limits.get_limit(state) == 1
    for now in range(100):
        state = limits.record_success(state, 10.0, float(now))
    assert limits.get_limit(state) == 2


def test_shed_requests_cut_the_limit_once_per_interval():
    state = limits.build_limit(8, False)
    for now in (1000.0, 1001.0, 1002.0):
        state = limits.record_shed(state, now)
    assert limits.get_limit(state) == 4
    state = limits.record_shed(state, 2000.0)
    assert limits.get_limit(state) == 2


def test_slow_replies_cut_the_limit():
    state = limits.build_limit(8, False)
    for now in range(50):
        state = limits.record_success(state, 10.0, float(now))
    for now in range(60):
        state = limits.record_success(state, 200.0, 1000.0 + now * 50)
    assert limits.get_limit(state) < 8


def test_hedges_stay_within_their_budget():
    budget = hedging.build_budget(0.05, 10.0)
    granted = 0
    for _ in range(10000):
        budget = hedging.deposit(budget, 1)
        budget, ok = hedging.try_withdraw(budget)
        granted += ok
    assert granted <= 10000 * 0.05 + 10


def test_budget_with_share_zero_allows_no_hedge():
    budget = hedging.build_budget(0.0, 10.0)
    assert not hedging.try_withdraw(hedging.deposit(budget, 1000))[1]


def record_all(samples, share=0.05):
    """Record (service, latency in ms) pairs."""
    state = hedging.LatencyStats(typical_ms_by_service={})
    for service, latency in samples:
        state = hedging.record_latency(state, service, latency, share)
    return state


def test_late_parts_are_stragglers_within_the_budget():
    base_ms = [10.0 + number % 100 / 100.0 for number in range(400)]
    extra_ms = [200.0 if number % 33 == 0 else 0.0 for number in range(400)]
    state = record_all(("s", b + e) for b, e in zip(base_ms, extra_ms))
    delay = hedging.get_hedge_delay_ms(state, "s")
    late = sum(1 for b, e in zip(base_ms, extra_ms) if b + e > delay)
    assert 400 / 33 <= late <= 400 * 0.05


def test_many_stragglers_do_not_raise_the_hedge_delay():
    state = record_all(
        ("s", 210.0 if number % 10 == 0 else 10.0) for number in range(400)
    )
    assert hedging.get_hedge_delay_ms(state, "s") < 60.0


def test_services_share_their_samples():
    state = record_all(
        (f"s{number % 20}", (1 + number % 20) * 10.0) for number in range(200)
    )
    assert hedging.get_hedge_delay_ms(state, "s0") < 50.0
    assert hedging.get_hedge_delay_ms(state, "s19") >= 200.0


def test_too_few_samples_give_the_default_delay():
    state = record_all([("s", 1.0)])
    assert hedging.get_hedge_delay_ms(state, "s") == hedging.DEFAULT_DELAY_MS
    assert hedging.get_hedge_delay_ms(state, "t") == hedging.DEFAULT_DELAY_MS


def test_endpoint_without_replies_is_avoided():
    silent = build_candidate("silent", outstanding=1, waiting_since_ms=900.0)
    assert choose(silent, build_candidate("slow", service_ms=50.0)) == "slow"


def test_stall_is_distinguished_from_a_single_late_request():
    state = limits.build_limit(2, False)
    for now in range(10):
        state = limits.record_success(state, 10.0, float(now))
    assert not limits.is_stalled(state, (100.0,), 250.0)
    assert limits.is_stalled(state, (100.0, 100.0), 250.0)
    assert not limits.is_stalled(state, (100.0,), 350.0)
    assert limits.is_stalled(state, (100.0,), 550.0)
    state = limits.record_success(state, 10.0, 150.0)
    assert not limits.is_stalled(state, (100.0, 100.0), 400.0)


def test_pause_after_stalls_grows_and_ends_with_a_success():
    state = limits.build_limit(2, False)
    pauses = []
    for now in (0.0, 10000.0, 20000.0):
        state = limits.record_stall(state, now)
        pauses.append(state.stalled_until_ms - now)
    assert pauses == [1000.0, 2000.0, 4000.0]
    state = limits.record_success(state, 10.0, 30000.0)
    assert state.stalls == 0
    assert state.stalled_until_ms < 30000.0


def test_estimate_recovers_soon_after_a_slow_phase():
    state = limits.build_limit(2, False)
    for now in range(50):
        state = limits.record_success(state, 4000.0, float(now))
    for now in range(10):
        state = limits.record_success(state, 10.0, 100.0 + now)
    assert state.service_ms < 200.0


def test_part_is_a_straggler_only_relative_to_its_query():
    assert hedging.is_straggler(10, 1, 1.0)
    assert hedging.is_straggler(10, 5, 1.0)
    assert not hedging.is_straggler(10, 6, 1.0)
    assert hedging.is_straggler(10, 6, hedging.UNCONDITIONAL_RATIO)
    assert hedging.is_straggler(1, 1, 1.0)
    assert hedging.is_straggler(2, 2, 1.0)
