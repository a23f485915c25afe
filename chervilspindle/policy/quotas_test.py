"""Tests of the window, the shares of the slack and the decisions."""

import collections
import random

from chervilspindle.policy import quotas
from chervilspindle.policy import rendezvous
from chervilspindle.policy import shared_limits
from chervilspindle.wire import messages

RULE = shared_limits.QuotaRule(5.0, 0.1, 20.0)
SPAN_S = quotas.compute_span_s(RULE)
LIMIT = quotas.compute_limit(RULE, 4.0, 10.0)


def build_standing(rank=0, complete_s=-100.0, second_s=-100.0, contact=0.0):
    return quotas.Standing(rank, complete_s, second_s, contact)


def test_the_limit_and_the_slack_are_those_of_a_window():
    assert LIMIT == (30.0, 23.0)


def test_a_low_rate_still_gives_one_request_in_a_window():
    """An account of 0.1 requests per second would never be served."""
    assert quotas.compute_limit(RULE, 0.1, 0.0).full == 1.0
    strict = shared_limits.QuotaRule(5.0, 0.0, 0.0)
    assert quotas.compute_limit(strict, 0.1, 0.0).full == 0.5


def test_no_sliding_window_has_more_than_the_limit():
    """An average over fixed windows would allow twice the limit."""
    generator = random.Random(1)
    log = quotas.AdmissionLog()
    now = 0.0
    admitted = []
    while now < 60.0:
        now += generator.expovariate(20.0)
        if quotas.decide_full(log, LIMIT, RULE, now).granted:
            admitted.append(now)
    for start_s in admitted:
        count = sum(start_s <= t <= start_s + RULE.window_s for t in admitted)
        assert count <= LIMIT.full
        count = sum(start_s <= t <= start_s + SPAN_S for t in admitted)
        assert count <= LIMIT.full + quotas.EDGE_SHARE * LIMIT.slack
    assert len(admitted) > 0.9 * LIMIT.full * 60.0 / RULE.window_s


def test_below_the_limit_nothing_is_refused():
    """Not even where each window has all that it may have."""
    log = quotas.AdmissionLog()
    for i in range(1000):
        now = i * RULE.window_s / LIMIT.full * 1.001
        assert quotas.decide_full(log, LIMIT, RULE, now).granted


def test_bursts_below_the_limit_are_refused_once_in_a_thousand_at_most():
    """Limits are 1.6 times the usual rate, and calls come at random."""
    generator = random.Random(1)
    limit = quotas.compute_limit(RULE, 3.0, 6.0)
    log = quotas.AdmissionLog()
    now = 0.0
    arrived = collections.deque()
    below = 0
    refused = 0
    while now < 20_000.0:
        now += generator.expovariate(3.0 / 1.6)
        arrived.append(now)
        while arrived[0] < now - RULE.window_s:
            arrived.popleft()
        decision = quotas.decide_full(log, limit, RULE, now)
        if len(arrived) <= limit.full:
            below += 1
            refused += not decision.granted
    assert below > 30_000 and refused <= below / 1000.0


def test_a_refusal_says_when_there_is_room():
    """A caller that came back earlier would be refused again."""
    log = quotas.AdmissionLog()
    for i in range(30):
        quotas.decide_full(log, LIMIT, RULE, i * 0.1)
    refusal = quotas.decide_full(log, LIMIT, RULE, 3.0)
    assert not refusal.granted
    assert (refusal.limit, refusal.count) == (30.0, 30)
    assert refusal.age_s == 3.0
    assert abs(refusal.wait_s - 2.0) < 1e-9
    early_s = 3.0 + refusal.wait_s - 0.001
    assert not quotas.decide_full(log, LIMIT, RULE, early_s).granted
    late_s = 3.0 + refusal.wait_s + 0.001
    assert quotas.decide_full(log, LIMIT, RULE, late_s).granted


def test_a_lowered_limit_waits_until_the_count_is_below_it():
    log = quotas.AdmissionLog()
    for i in range(30):
        quotas.decide_full(log, LIMIT, RULE, i * 0.1)
    lowered = quotas.Limit(10.0, 21.0)
    refusal = quotas.decide_full(log, lowered, RULE, 3.0)
    assert (refusal.granted, refusal.count) == (False, 30)
    # The 21st admission, at 2.0, has to leave the window, and the 17th, at
    # 1.6, the longer one with the time of use.
    assert abs(refusal.wait_s - (1.6 + SPAN_S - 3.0)) < 1e-9
    raised = quotas.Limit(40.0, 24.0)
    assert quotas.decide_full(log, raised, RULE, 3.0).granted


def test_a_limit_without_room_for_one_request_is_refused_with_a_window():
    limit = quotas.Limit(0.5, 0.0)
    refusal = quotas.decide_full(quotas.AdmissionLog(), limit, RULE, 0.0)
    assert (refusal.granted, refusal.wait_s) == (False, SPAN_S)


def test_callers_that_are_refused_together_return_apart():
    generator = random.Random(1)
    waits = [quotas.spread_wait_s(2.0, generator) for _ in range(100)]
    assert 2.0 <= min(waits) and max(waits) <= 2.0 + quotas.RETURN_SPREAD_S
    assert len(set(waits)) == 100


def test_only_an_issuer_with_a_complete_log_and_control_admits_the_limit():
    def is_full(now=0.0, **changes):
        return quotas.is_full(build_standing(**changes), RULE, now)

    assert is_full()
    assert not is_full(rank=1)
    assert not is_full(complete_s=-SPAN_S + 0.1)
    assert is_full(complete_s=-SPAN_S)
    assert not is_full(complete_s=float("inf"))
    assert is_full(contact=quotas.MAX_CONTACT_AGE_S - 0.1)
    assert not is_full(contact=quotas.MAX_CONTACT_AGE_S)


def test_substitutes_stay_within_the_slack_in_each_case_of_two_lists():
    """Up to four entries admit at once while two lists are in use."""

    def share(**changes):
        return quotas.compute_share(build_standing(**changes), RULE, 0.0)

    first = share(rank=0, second_s=-1.0)
    settled = share(rank=1)
    joined = share(rank=1, second_s=-1.0)
    cut_off = share(rank=1, contact=quotas.MAX_CONTACT_AGE_S)
    edge = quotas.EDGE_SHARE
    # The issuer admits its limit; its substitute, then the first two of the
    # list without both.
    assert edge + settled + first + joined <= 1.0
    # The same later, while the first two of the old list are cut off.
    assert first + joined + 2 * cut_off <= 1.0
    assert edge + settled + 2 * cut_off <= 1.0
    assert max(settled, first, joined, cut_off) <= 0.4


def test_a_substitute_counts_what_it_admitted_as_issuer():
    """It would otherwise admit the limit and a share besides."""
    log = quotas.AdmissionLog()
    for _ in range(30):
        quotas.decide_full(log, LIMIT, RULE, 0.0)
    decision = quotas.decide_as_substitute(log, LIMIT, 0.4, RULE, 1.0)
    assert not decision.granted


def test_a_substitute_admits_its_share_and_no_more_than_the_limit():
    log = quotas.AdmissionLog()
    granted = [
        quotas.decide_as_substitute(log, LIMIT, 0.4, RULE, 0.0).granted
        for _ in range(20)
    ]
    assert granted.count(True) == 9
    small = quotas.Limit(2.0, 20.0)
    log = quotas.AdmissionLog()
    granted = [
        quotas.decide_as_substitute(log, small, 0.4, RULE, 0.0).granted
        for _ in range(20)
    ]
    assert granted.count(True) == 2


def test_an_entry_that_leaves_changes_the_order_of_no_others():
    relays = [messages.Relay(f"vm-{i}", "a", f"vm-{i}") for i in range(20)]
    for i in range(50):
        ranked = rendezvous.rank_entries(relays, f"account-{i}", 3)
        rest = [r for r in relays if r != ranked[0]]
        assert rendezvous.rank_entries(rest, f"account-{i}", 2) == ranked[1:]
        mixed = relays[::-1]
        assert rendezvous.rank_entries(mixed, f"account-{i}", 3) == ranked


def test_an_entry_that_leaves_lets_nobody_overtake_in_an_account():
    """Guards against issuers that take shares beside a settled substitute."""
    relays = [messages.Relay(f"vm-{i}", "a", f"vm-{i}") for i in range(108)]
    for i in range(50):
        ranked = quotas.rank_issuers(relays, f"account-{i}", 3)
        rest = [r for r in relays if r != ranked[0]]
        assert quotas.rank_issuers(rest, f"account-{i}", 2) == ranked[1:]


def test_few_entries_are_issuers_however_many_accounts_there_are():
    """Guards against a new link for most requests for an admission."""
    relays = [messages.Relay(f"vm-{i}", "a", f"vm-{i}") for i in range(108)]
    issuers = quotas.list_issuers(relays, 2)
    assert len(issuers) <= 2 * quotas.ISSUER_KEYS
    used = set()
    for i in range(1000):
        used.update(quotas.rank_issuers(relays, f"account-{i}", 2))
    assert used == set(issuers)
