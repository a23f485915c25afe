"""Chooses the replica with the least expected finish time.

Load reports of endpoints may be stale or wrong, so a gatherer relies on its
own observations: the service times of its requests, the number of its
outstanding requests, and the owner's backlog as of the last reply. The
weight of an observation decays with its age, as in an exponential moving
average over unevenly spaced samples (Eckner, "Algorithms for Unevenly Spaced
Time Series", 2019).
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
    """Observations of a gatherer about one endpoint.

    Parameters
    ----------
    service_ms : float
        Smoothed service time.
    sampled_ms : float
        Time of the last sample of the service time, in monotonic
        milliseconds, like all times below.
    backlog_ms : float
        Backlog of the owner's queue as of the last reply.
    observed_ms : float
        Time of the last reply.
    outstanding : int
        Own requests without a reply.
    waiting_since_ms : float
        While requests are outstanding, the time when the first of them was
        sent or when the last reply arrived, whichever is later.
    failed_ms : float
        Time of the last failure.
    """

    service_ms: float = DEFAULT_SERVICE_MS
    sampled_ms: float = 0.0
    backlog_ms: float = 0.0
    observed_ms: float = 0.0
    outstanding: int = 0
    waiting_since_ms: float = 0.0
    failed_ms: float = -math.inf


class Candidate(typing.NamedTuple):
    """One replica of a part."""

    endpoint_id: str
    slots: int
    same_zone: bool
    stats: ReplicaStats


def estimate_finish_ms(candidate: Candidate, now: float) -> float:
    """Return the expected time until a new part would finish, in ms."""
    stats = candidate.stats
    age_ms = max(0.0, now - stats.observed_ms)
    backlog_ms = stats.backlog_ms * math.exp(-age_ms / BACKLOG_DECAY_MS)
    # The estimate of a slow endpoint decays to the default, so that it gets
    # requests again. Otherwise its recovery would go unnoticed as long as
    # other replicas look faster.
    weight = _compute_weight(stats, now)
    floor_ms = min(stats.service_ms, DEFAULT_SERVICE_MS)
    expected_ms = floor_ms + weight * (stats.service_ms - floor_ms)
    own_ms = stats.outstanding * expected_ms / max(1, candidate.slots)
    failure_age_ms = now - stats.failed_ms
    penalty_ms = FAILURE_PENALTY_MS * math.exp(
        -failure_age_ms / FAILURE_DECAY_MS
    )
    zone_ms = 0.0 if candidate.same_zone else OTHER_ZONE_MS
    waited_ms = now - stats.waiting_since_ms if stats.outstanding else 0.0
    service_ms = max(expected_ms, waited_ms)
    return max(backlog_ms, own_ms) + service_ms + penalty_ms + zone_ms


def choose_replica(candidates, now: float, random_unit) -> Candidate:
    """Return the candidate with the least expected finish time.

    Parameters
    ----------
    candidates : sequence of Candidate
        Not empty.
    now : float
        Monotonic milliseconds.
    random_unit : callable
        Returns a number in [0, 1). The jitter spreads choices between nearly
        equal candidates, since all gatherers see the same stale backlog.
    """

    def estimate(candidate):
        jitter = 1.0 + JITTER_SHARE * random_unit()
        return estimate_finish_ms(candidate, now) * jitter

    return min(candidates, key=estimate)


def record_sent(stats: ReplicaStats, now: float) -> ReplicaStats:
    """Record that a part was sent."""
    since = stats.waiting_since_ms if stats.outstanding else now
    return stats._replace(
        outstanding=stats.outstanding + 1, waiting_since_ms=since
    )


def record_reply(
    stats: ReplicaStats, service_ms: float, backlog_ms: float, now: float
) -> ReplicaStats:
    """Record a reply; a service time of 0 means that the part did not run."""
    if service_ms > 0:
        stats = _sample(stats, service_ms, now)
    return stats._replace(
        backlog_ms=backlog_ms,
        observed_ms=now,
        waiting_since_ms=now,
        outstanding=max(0, stats.outstanding - 1),
    )


def record_unavailable(stats: ReplicaStats, now: float) -> ReplicaStats:
    """Record that the endpoint can't be used at the moment."""
    return stats._replace(failed_ms=now)


def record_cancelled(
    stats: ReplicaStats, waited_ms: float, now: float
) -> ReplicaStats:
    """Record a part that was cancelled before its reply.

    Its service time is unknown, but not below `waited_ms`. Without this
    sample an endpoint that never replies would look fast.
    """
    stats = _sample(stats, max(stats.service_ms, waited_ms), now)
    return record_not_run(stats)


def record_not_run(stats: ReplicaStats) -> ReplicaStats:
    """Record that a part that was sent did not run there."""
    return stats._replace(outstanding=max(0, stats.outstanding - 1))


def record_failure(stats: ReplicaStats, now: float) -> ReplicaStats:
    """Record a part that failed or got no reply."""
    return record_unavailable(record_not_run(stats), now)


def _sample(stats, service_ms, now):
    """Add a service time, with more weight the older the last sample is."""
    weight = max(SERVICE_SMOOTHING, 1.0 - _compute_weight(stats, now))
    smoothed_ms = stats.service_ms
    smoothed_ms += weight * (service_ms - smoothed_ms)
    return stats._replace(service_ms=smoothed_ms, sampled_ms=now)


def _compute_weight(stats, now):
    """Return the weight of the smoothed service time by age, in (0, 1]."""
    return math.exp(-max(0.0, now - stats.sampled_ms) / SERVICE_DECAY_MS)
