"""Tests of the caution with queries under which endpoints broke off."""

import pytest

from chervilspindle.routing import crash_caution


@pytest.mark.parametrize(
    "evidence, expected",
    [
        ((False, 0, 0), crash_caution.Caution.SEND),
        ((False, 1, 0), crash_caution.Caution.WAIT),
        ((False, 1, 1), crash_caution.Caution.WITHDRAW),
        ((False, 0, 2), crash_caution.Caution.WITHDRAW),
        ((True, 1, 0), crash_caution.Caution.SEND),
        ((True, 0, 2), crash_caution.Caution.SEND),
    ],
)
def test_only_a_query_without_an_answer_is_held_back(evidence, expected):
    decided = crash_caution.decide(crash_caution.Evidence(*evidence))
    assert decided is expected


def test_a_query_that_nobody_has_answered_is_not_hedged():
    silent = crash_caution.Evidence(False, 0, 0)
    answered = crash_caution.Evidence(True, 0, 0)
    assert not crash_caution.may_hedge(silent, 20, False)
    assert crash_caution.may_hedge(answered, 20, False)
    assert crash_caution.may_hedge(silent, 20, True)
    assert crash_caution.may_hedge(silent, 2, False)


def test_nothing_is_hedged_while_a_crash_is_possible():
    for evidence in ((False, 1, 0), (False, 0, 1)):
        evidence = crash_caution.Evidence(*evidence)
        assert not crash_caution.may_hedge(evidence, 20, True)
        assert not crash_caution.may_hedge(evidence, 2, False)
