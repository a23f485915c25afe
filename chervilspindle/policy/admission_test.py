"""Tests of admission control and the delay before a retry."""

from chervilspindle.policy import admission


def test_idle_endpoint_gets_requests_however_slow_it_was():
    estimate = admission.estimate_queue(0, 0, 2, 5000.0, 1.0)
    assert not admission.would_miss_deadline(estimate, 100.0)


def test_request_behind_a_long_queue_is_rejected():
    estimate = admission.estimate_queue(50, 2, 2, 20.0, 1.0)
    assert estimate.wait_ms == 10.0 + 500.0
    assert admission.would_miss_deadline(estimate, 300.0)
    retry_after = admission.compute_retry_after_ms(estimate, 300.0)
    assert retry_after == 230


def test_wait_depends_on_the_guaranteed_share():
    half = admission.estimate_queue(10, 2, 2, 20.0, 0.5)
    whole = admission.estimate_queue(10, 2, 2, 20.0, 1.0)
    assert half.wait_ms == 10.0 + 200.0
    assert whole.wait_ms == 10.0 + 100.0


def test_expired_request_is_rejected():
    estimate = admission.estimate_queue(0, 0, 2, 20.0, 1.0)
    assert admission.would_miss_deadline(estimate, 0.0)


def test_entry_admits_every_request_below_its_limit():
    load = admission.EntryLoad(100, 1000)
    assert admission.may_admit(load, 0, 900, 0.1, 1.0)


def test_customer_is_limited_to_its_share_of_a_full_entry():
    load = admission.EntryLoad(1000, 1000)
    assert not admission.may_admit(load, 800, 10, 0.5, 1.0)
    assert admission.may_admit(load, 300, 10, 0.5, 1.0)


def test_no_request_is_admitted_at_twice_the_limit():
    load = admission.EntryLoad(2000, 1000)
    assert not admission.may_admit(load, 0, 1, 0.5, 1.0)
