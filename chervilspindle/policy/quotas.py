"""Quotas: how many requests of a client account are admitted in a window.

The entry that is the issuer of an account admits up to the whole limit. It
keeps the times of its admissions, so the bound is exact for each sliding
window. Other entries admit a share of the slack while the issuer does not
reply or does not know all recent admissions yet.

All times are seconds of one monotonic clock that includes suspended time.
"""

import collections
import hashlib
import math
import typing

from chervilspindle.policy import rendezvous
from chervilspindle.policy import shared_limits

# Accounts share this many orders of entries, so that few entries are issuers
# and links to all of them can be kept open. The number must not depend on the
# list of entries: all accounts would get other issuers when it changes.
ISSUER_KEYS = 8

# Within which an admission is used. A request that is used in a window was
# admitted in it or this much earlier.
USE_S = 0.5
# Since an entry last heard of control, after which another entry may be the
# issuer without its knowledge. Control takes an entry off the list 2.5 s
# after its last call.
CONTROL_SILENCE_S = 8.0
# An issuer stops earlier, because members of control may have lists of
# different ages: up to 2 s, by two reports to the leader and a held call.
MAX_CONTACT_AGE_S = CONTROL_SILENCE_S - 2.0

# Shares of the slack. An issuer admits the limit in each window, and this much
# more in a window and the time of use together: without it, a caller that
# spreads its limit evenly over each window would be refused.
EDGE_SHARE = 0.2
# What substitutes admit. An entry that has just become the second, or that
# control does not reach, gets less, since with entries that have another list
# up to four may be in use: together 0.8 of the slack at most.
SUBSTITUTE_SHARE = 0.32
REDUCED_SHARE = 0.16

# Callers return within this time after there is room.
RETURN_SPREAD_S = 0.5


def find_issuer_key(account_name: str) -> str:
    """Return the key by which the entries of an account are ranked."""
    digest = hashlib.blake2b(account_name.encode(), digest_size=8).digest()
    return _build_issuer_key(int.from_bytes(digest) % ISSUER_KEYS)


def rank_issuers(relays, account_name: str, count: int) -> list:
    """Return the first `count` entries of an account, its issuer first.

    An entry that leaves the list makes nobody overtake another entry. The
    shares of the slack depend on that: the entry that moves up to the first
    place was the second, and only the new second is one more that admits.
    """
    return rendezvous.rank_entries(
        relays, find_issuer_key(account_name), count
    )


def list_issuers(relays, count: int) -> list:
    """Return the entries that are among the first `count` of any account."""
    issuers = []
    for number in range(ISSUER_KEYS):
        key = _build_issuer_key(number)
        for relay in rendezvous.rank_entries(relays, key, count):
            if relay not in issuers:
                issuers.append(relay)
    return issuers


def _build_issuer_key(number) -> str:
    return f"quota-issuer-{number}"


class Limit(typing.NamedTuple):
    """Limits of one account in a window.

    Parameters
    ----------
    full : float
        Requests that the account may make.
    slack : float
        Requests that may be admitted besides, while more than one entry
        admits them.
    """

    full: float
    slack: float


def compute_limit(
    rule: shared_limits.QuotaRule, rate_per_s: float, burst: float
) -> Limit:
    """Return the limits of an account in a window of the rule.

    An account whose rate gives less than one request in a window may make
    one if the slack covers it.
    """
    full = rate_per_s * rule.window_s + burst
    slack = full * rule.overage + rule.slack
    if full < 1.0 <= full + slack:
        return Limit(1.0, full + slack - 1.0)
    return Limit(full, slack)


def compute_span_s(rule: shared_limits.QuotaRule) -> float:
    """Return for how long an admission counts."""
    return rule.window_s + USE_S


def compute_settle_s(rule: shared_limits.QuotaRule) -> float:
    """Return after which time all entries act by a changed list."""
    return CONTROL_SILENCE_S + compute_span_s(rule)


class Decision(typing.NamedTuple):
    """Whether a request is admitted.

    Parameters
    ----------
    granted : bool
    wait_s : float
        If refused, the time until there is room again.
    limit : float
    count : int
        Requests that count, with this one if granted.
    age_s : float
        Age of the oldest request that counts.
    """

    granted: bool
    wait_s: float
    limit: float
    count: int
    age_s: float


class AdmissionLog:
    """Times of the admissions of one account; mutable.

    Attributes
    ----------
    times : deque of float
        All that are known: those of this entry, and those that a handover
        named.
    own_times : deque of float
        Those of this entry.
    """

    __slots__ = ("times", "own_times")

    def __init__(self):
        self.times = collections.deque()
        self.own_times = collections.deque()

    def expire(self, before_s: float):
        """Remove the admissions before a time."""
        for times in (self.times, self.own_times):
            while times and times[0] < before_s:
                times.popleft()

    def record(self, now: float):
        """Add an admission of this entry."""
        self.times.append(now)
        self.own_times.append(now)

    def forget_all(self):
        """Forget what was handed over, except for this entry's own share.

        The new issuer hands it back if it ceases to be the issuer.
        """
        self.times.clear()

    def merge(self, times):
        """Add admissions of another entry."""
        self.times = collections.deque(sorted((*self.times, *times)))


class Standing(typing.NamedTuple):
    """What an entry is to an account at one time.

    Parameters
    ----------
    rank : int
        Place in the order of entries for the account; 0 for its issuer.
    complete_s : float
        Time since which no other entry admitted the full limit.
    second_s : float
        Time since which the entry is one of the first two.
    contact_age_s : float
        Time since control was last heard of.
    """

    rank: int
    complete_s: float
    second_s: float
    contact_age_s: float


def is_full(
    standing: Standing, rule: shared_limits.QuotaRule, now: float
) -> bool:
    """Tell whether an entry may admit the full limit.

    Only one entry may at a time. It knows of all admissions that still count
    once its log has been complete for as long as they do.
    """
    return (
        standing.rank == 0
        and standing.contact_age_s < MAX_CONTACT_AGE_S
        and now - standing.complete_s >= compute_span_s(rule)
    )


def compute_share(
    standing: Standing, rule: shared_limits.QuotaRule, now: float
) -> float:
    """Return the share of the slack that a substitute may admit."""
    if standing.contact_age_s >= MAX_CONTACT_AGE_S:
        return REDUCED_SHARE
    is_settled = now - standing.second_s >= compute_settle_s(rule)
    if standing.rank == 0 or is_settled:
        return SUBSTITUTE_SHARE
    return REDUCED_SHARE


def decide_full(
    log: AdmissionLog, limit: Limit, rule: shared_limits.QuotaRule, now: float
) -> Decision:
    """Decide on a request by the whole limit, and record an admission."""
    span_s = compute_span_s(rule)
    log.expire(now - span_s)
    times = log.times
    most = limit.full + EDGE_SHARE * limit.slack
    wait_s = max(
        _find_wait_s(times, limit.full, rule.window_s, now),
        _find_wait_s(times, most, span_s, now),
    )
    start_s = now - rule.window_s
    if wait_s <= 0.0:
        log.record(now)
    elif times:
        # Only a refusal is logged with them.
        recent = [t for t in times if t >= start_s]
        age_s = now - recent[0] if recent else 0.0
        return Decision(False, wait_s, limit.full, len(recent), age_s)
    return Decision(wait_s <= 0.0, wait_s, limit.full, len(times), 0.0)


def decide_as_substitute(
    log: AdmissionLog,
    limit: Limit,
    share: float,
    rule: shared_limits.QuotaRule,
    now: float,
) -> Decision:
    """Decide on a request by a share of the slack.

    All admissions of this entry count, also those that it made as issuer.
    """
    span_s = compute_span_s(rule)
    log.expire(now - span_s)
    times = log.own_times
    allowed = min(limit.full, share * limit.slack)
    wait_s = _find_wait_s(times, allowed, span_s, now)
    if wait_s <= 0.0:
        log.record(now)
    age_s = now - times[0] if times else 0.0
    return Decision(wait_s <= 0.0, wait_s, allowed, len(times), age_s)


def _find_wait_s(times, allowed, length_s, now) -> float:
    """Return the time until one more fits into a window; 0 if it does now."""
    room = math.floor(allowed)
    if len(times) < room:
        return 0.0
    if room == 0:
        # There is never room, and the caller may ask for a raised limit.
        return length_s
    # The limit may have been lowered below what counts.
    return max(0.0, times[len(times) - room] + length_s - now)


def spread_wait_s(wait_s: float, random) -> float:
    """Return when a refused caller is to come back.

    Not before there is room, and not together with the others.
    """
    return wait_s + RETURN_SPREAD_S * random.random()
