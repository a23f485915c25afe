"""Tests of the rate limits of customers."""

import pytest

from chervilspindle.policy import rates


def count_granted(rate, vms, period_ms, duration_ms):
    bucket = None
    granted = 0
    now = 1000.0
    while now < 1000.0 + duration_ms:
        decision = rates.take_token(bucket, rate, vms, now)
        bucket = decision.bucket
        granted += decision.granted
        now += period_ms
    return granted


@pytest.mark.parametrize("rate,vms", ((10.0, 1), (100.0, 5), (3.0, 2)))
def test_overload_gets_the_rate_and_one_burst(rate, vms):
    granted = count_granted(rate, vms, 1.0, 60000.0)
    part = rate / vms
    burst = max(rates.MIN_BURST, part * rates.BURST_S)
    assert part * 60.0 - 1 <= granted <= part * 60.0 + burst + 1


def test_customer_within_its_rate_is_never_refused():
    assert count_granted(10.0, 1, 110.0, 60000.0) == 546


def test_retry_is_granted_after_the_advised_delay_and_not_before():
    bucket = rates.Bucket(0.0, 0.0)
    decision = rates.take_token(bucket, 4.0, 2, 0.0)
    assert not decision.granted
    assert decision.retry_after_ms == 501
    later = float(decision.retry_after_ms)
    assert not rates.take_token(decision.bucket, 4.0, 2, later - 20.0).granted
    assert rates.take_token(decision.bucket, 4.0, 2, later).granted


def test_number_of_buckets_is_bounded():
    buckets = {
        f"c{n}": rates.Bucket(1.0, float(n))
        for n in range(rates.MAX_BUCKETS + 1)
    }
    kept = rates.evict_oldest(buckets)
    assert len(kept) == rates.MAX_BUCKETS // 2
    assert f"c{rates.MAX_BUCKETS}" in kept
