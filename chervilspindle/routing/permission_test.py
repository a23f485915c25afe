import math
import random

import pytest

from chervilspindle.routing import permission


def record(restrictions, value, sent_s, now):
    permission.record_limit(restrictions, value, sent_s, now)
    return restrictions.limit_per_s


def test_a_limit_holds_until_a_later_answer_does_not_name_it():
    restrictions = permission.Restrictions("e-1")
    assert record(restrictions, b"9.8", 1.0, 1.1) == 9.8
    assert record(restrictions, b"4", 1.0, 1.2) == 4.0
    assert record(restrictions, None, 1.1, 1.3) == 4.0  # sent before
    assert record(restrictions, None, 1.3, 1.4) is None


def test_a_malformed_limit_changes_nothing():
    restrictions = permission.Restrictions("e-1")
    record(restrictions, b"9.8", 1.0, 1.1)
    for value in (b"", b"many", b"-1", b"inf", b"nan"):
        assert record(restrictions, value, 2.0, 2.1) == 9.8


@pytest.mark.parametrize(
    "value, expected",
    [
        (b"1", 1.0),
        (b" 0.25 ", 0.25),
        (b"99999999", permission.MAX_PAUSE_S),
        (b"inf", permission.MAX_PAUSE_S),
        (b"Thu, 01 Jan 1970 00:01:40 GMT", 40.0),
        (b"Thu, 01 Jan 1970 00:00:10 GMT", None),
        (b"0", None),
        (b"-3", None),
        (b"nan", None),
        (b"soon", None),
        (b"", None),
    ],
)
def test_a_pause_is_read_in_seconds_or_as_a_date(value, expected):
    assert permission.parse_pause_s(value, 60.0) == expected


def test_an_endpoint_is_not_sent_to_until_its_longest_pause_ends():
    restrictions = permission.Restrictions("e-1")
    permission.record_pause(restrictions, b"2", 1.0, random.Random(1))
    permission.record_pause(restrictions, b"0.5", 1.1, random.Random(1))
    verdict = permission.evaluate(restrictions, 2.9)
    assert not verdict.allowed and 3.0 <= verdict.retry_s <= 3.2
    assert permission.evaluate(restrictions, 3.3).allowed


def test_vms_return_from_a_pause_at_different_times():
    ends_s = set()
    for seed in range(20):
        restrictions = permission.Restrictions("e-1")
        permission.record_pause(restrictions, b"2", 0.0, random.Random(seed))
        ends_s.add(restrictions.paused_until_s)
    assert len(ends_s) == 20 and 2.0 <= min(ends_s) < max(ends_s) <= 2.2


def test_a_leaving_endpoint_is_never_sent_to():
    restrictions = permission.Restrictions("e-1")
    for value in (None, b"0", b"", b"yes"):
        permission.record_leaving(restrictions, value)
        assert permission.evaluate(restrictions, 0.0).allowed
    permission.record_leaving(restrictions, b"1")
    permission.record_leaving(restrictions, None)
    verdict = permission.evaluate(restrictions, 1e9)
    assert not verdict.allowed and verdict.retry_s == math.inf
