"""Chooses a replica by its expected finish time.

Reports of endpoints may lag or mislead, so a gatherer trusts what it
observed itself: the time its own requests took, its own requests that are
still outstanding, and the owner's queue as of the last reply. What was
observed counts for less the older it is, as in an exponential moving average
over samples at irregular times (Eckner, "Algorithms for Unevenly Spaced Time
Series", 2019).
"""

import math
import typing

BACKLOG_DECAY_MS = 500.0
SERVICE_SMOOTHING = 0.1
SERVICE_DECAY_MS = 3000.0
DEFAULT_SERVICE_MS = 10.0
OTHER_ZONE_MS = 1.0
FAILURE_PENALTY_MS = 500.0
FAILURE_DECAY_MS = 2000.0
JITTER_SHARE = 0.1


class ReplicaStats(typing.NamedTuple):
    """What a gatherer knows of one endpoint.

    Times are in milliseconds; `sampled_ms`, when a service time was last
    taken in, `observed_ms`, `waiting_since_ms` and `failed_ms` are readings
    of the monotonic clock. While requests are
    outstanding, `waiting_since_ms` is when the first of them was sent, or
    when one was answered since: an endpoint that answers keeps it recent.
    """

    service_ms: float = DEFAULT_SERVICE_MS
    sampled_ms: float = 0.0
    backlog_ms: float = 0.0
    observed_ms: float = 0.0
    outstanding: int = 0
    waiting_since_ms: float = 0.0
    failed_ms: float = -math.inf


class Candidate(typing.NamedTuple):
    """One replica that could run a part."""

    endpoint_id: str
    slots: int
    same_zone: bool
    stats: ReplicaStats


def estimate_finish_ms(candidate: Candidate, now: float) -> float:
    """Return the expected time until a new part would finish, in ms."""
    stats = candidate.stats
    age = max(0.0, now - stats.observed_ms)
    backlog = stats.backlog_ms * math.exp(-age / BACKLOG_DECAY_MS)
    # An endpoint that was slow is tried again after a while: nobody would
    # learn that it has recovered while other replicas look faster.
    trust = _get_trust(stats, now)
    usual = min(stats.service_ms, DEFAULT_SERVICE_MS)
    expected = usual + trust * (stats.service_ms - usual)
    own = stats.outstanding * expected / max(1, candidate.slots)
    failed_age = now - stats.failed_ms
    penalty = FAILURE_PENALTY_MS * math.exp(-failed_age / FAILURE_DECAY_MS)
    zone = 0.0 if candidate.same_zone else OTHER_ZONE_MS
    waited = now - stats.waiting_since_ms if stats.outstanding else 0.0
    service = max(expected, waited)
    return max(backlog, own) + service + penalty + zone


def choose_replica(candidates, now: float, random_unit) -> Candidate:
    """Return the candidate with the least expected finish time.

    Parameters
    ----------
    candidates : sequence of Candidate
        Not empty.
    now : float
        Monotonic milliseconds.
    random_unit : callable
        Returns a number in [0, 1); spreads choices that are nearly equal,
        since all gatherers see the same stale backlog.
    """

    def rank(candidate):
        jitter = 1.0 + JITTER_SHARE * random_unit()
        return estimate_finish_ms(candidate, now) * jitter

    return min(candidates, key=rank)


def record_sent(stats: ReplicaStats, now: float) -> ReplicaStats:
    """Count a part that was sent."""
    since = stats.waiting_since_ms if stats.outstanding else now
    return stats._replace(
        outstanding=stats.outstanding + 1, waiting_since_ms=since
    )


def record_reply(
    stats: ReplicaStats, service_ms: float, backlog_ms: float, now: float
) -> ReplicaStats:
    """Take in a reply; a service time of 0 means that nothing ran."""
    if service_ms > 0:
        stats = _sample(stats, service_ms, now)
    return stats._replace(
        backlog_ms=backlog_ms,
        observed_ms=now,
        waiting_since_ms=now,
        outstanding=max(0, stats.outstanding - 1),
    )


def record_unavailable(stats: ReplicaStats, now: float) -> ReplicaStats:
    """Take in that the endpoint can't be used at the moment."""
    return stats._replace(failed_ms=now)


def record_cancelled(
    stats: ReplicaStats, waited_ms: float, now: float
) -> ReplicaStats:
    """Take in a part whose answer is no longer waited for.

    What it would have taken is unknown, but no less than it was waited for;
    without that sample an endpoint that answers nothing would look fast.
    """
    stats = _sample(stats, max(stats.service_ms, waited_ms), now)
    return record_not_run(stats)


def record_not_run(stats: ReplicaStats) -> ReplicaStats:
    """Take back a part that its owner passed on without running it."""
    return stats._replace(outstanding=max(0, stats.outstanding - 1))


def record_failure(stats: ReplicaStats, now: float) -> ReplicaStats:
    """Take in a part that failed or got no reply."""
    return record_unavailable(record_not_run(stats), now)


def _sample(stats, service_ms, now):
    """Take in a service time; it counts for more the older the last one."""
    weight = max(SERVICE_SMOOTHING, 1.0 - _get_trust(stats, now))
    smoothed = stats.service_ms
    smoothed += weight * (service_ms - smoothed)
    return stats._replace(service_ms=smoothed, sampled_ms=now)


def _get_trust(stats, now):
    """Return how much the service time still says, in (0, 1]."""
    return math.exp(-max(0.0, now - stats.sampled_ms) / SERVICE_DECAY_MS)
