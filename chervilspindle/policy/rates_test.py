"""Tests of the rates of customers."""

import pytest

from chervilspindle.policy import rates


def count_granted(rate, vms, period_ms, duration_ms):
    bucket = None
    granted = 0
    now = 1000.0
    while now < 1000.0 + duration_ms:
        verdict = rates.take_token(bucket, rate, vms, now)
        bucket = verdict.bucket
        granted += verdict.granted
        now += period_ms
    return granted


@pytest.mark.parametrize("rate,vms", ((10.0, 1), (100.0, 5), (3.0, 2)))
def test_flood_gets_the_rate_and_one_burst(rate, vms):
    granted = count_granted(rate, vms, 1.0, 60000.0)
    part = rate / vms
    burst = max(rates.LEAST_BURST, part * rates.BURST_S)
    assert part * 60.0 - 1 <= granted <= part * 60.0 + burst + 1


def test_customer_within_its_rate_is_never_refused():
    assert count_granted(10.0, 1, 110.0, 60000.0) == 546


def test_time_to_come_back_is_honest():
    bucket = rates.Bucket(0.0, 0.0)
    verdict = rates.take_token(bucket, 4.0, 2, 0.0)
    assert not verdict.granted
    assert verdict.retry_after_ms == 501
    later = float(verdict.retry_after_ms)
    assert not rates.take_token(verdict.bucket, 4.0, 2, later - 20.0).granted
    assert rates.take_token(verdict.bucket, 4.0, 2, later).granted


def test_only_so_many_customers_are_kept():
    buckets = {
        f"c{n}": rates.Bucket(1.0, float(n))
        for n in range(rates.CUSTOMERS_KEPT + 1)
    }
    kept = rates.evict_oldest(buckets)
    assert len(kept) == rates.CUSTOMERS_KEPT // 2
    assert f"c{rates.CUSTOMERS_KEPT}" in kept
