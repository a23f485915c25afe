"""Endpoint selection by expected time to an answer.

An entry sends to endpoints directly and shares them with other entries
without coordination. It estimates the state of an endpoint from its own
observations: response times, its own outstanding requests, and the load the
endpoint reported with its last answer, which is weighted down with age.

Endpoints may also state how slow they are; see `stated_speed`. That decides
where hedges go. First sends go by response times alone: a slow phase is mostly
over before it makes an answer late, and the other endpoints of a shard are in
other zones.
"""

import math
import typing

INITIAL_ANSWER_MS = 10.0  # before the first answer of a service
MIN_SAMPLE_WEIGHT = 0.1
# The weight of past response times decays with this time constant: slow
# phases of endpoints last some seconds.
RECENT_TIME_CONSTANT_S = 3.0
BASELINE_TIME_CONSTANT_S = 20.0  # longer than such a slow phase
LOAD_DECAY_S = 0.25  # a reported load decays linearly to 0 within this time
UNRESPONSIVE_FACTOR = 3.0  # times the expected response time
MIN_UNRESPONSIVE_MS = 12.0
UNRESPONSIVE_PENALTY_MS = 60.0  # most of a pause is still to come
FAILURE_PENALTY_MS = 40.0  # for each consecutive failure
MAX_FAILURES = 6
FAILURE_DECAY_S = 2.0
# For an endpoint that answered as another one or as shutting down.
MISDIRECTED_PENALTY_MS = 500.0
COLD_PENALTY_MS = 8.0
# Where a permit is needed as well, others are taken unless they are slow: each
# permit costs a message, and few are given out.
COLD_LIMIT_PENALTY_MS = 40.0
# The usual speed of an endpoint is smoothed over a time that is long against
# slow phases; one answer alone has little weight.
USUAL_TIME_CONSTANT_S = 60.0
MAX_USUAL_WEIGHT = 0.1
NO_CONNECTION_PENALTY_MS = 30.0
# Traffic between zones costs more than the added latency: within this share
# of the objective, an answer from the same zone is preferred.
OTHER_ZONE_OBJECTIVE_SHARE = 0.12
OTHER_ZONE_PENALTY_MS = 3.0  # for routes without an objective


class Health:
    """Observed state of one endpoint; mutable.

    Attributes
    ----------
    recent_ms : float or None
        Smoothed response time; None before the first answer.
    answered_s : float
        Loop time of the last answer.
    baseline_ms : float or None
        Response time smoothed over a longer period than `recent_ms`.
    load : float
        Requests running or queued at the endpoint, as last reported.
    load_s : float
        Loop time at which the load was reported.
    slots : int
        Requests that the endpoint runs in parallel.
    failures : int
        Failures since the last answer.
    failed_s : float
        Loop time of the last failure.
    misdirected : bool
        Whether it answered that it is another endpoint or shutting down.
    slowness : float
        Time that work takes there, as last stated; 1 if usual.
    slowness_s : float or None
        Loop time at which it was stated; None if it never was.
    usual_slowness : float
        Smoothed over a minute; 1 for most endpoints.
    has_misstated : bool
        Whether it has stated a load or a speed that cannot be read.
    """

    __slots__ = (
        "recent_ms",
        "answered_s",
        "baseline_ms",
        "load",
        "load_s",
        "slots",
        "failures",
        "failed_s",
        "misdirected",
        "slowness",
        "slowness_s",
        "usual_slowness",
        "has_misstated",
    )

    def __init__(self, slots: int):
        self.recent_ms = None
        self.answered_s = 0.0
        self.baseline_ms = None
        self.load = 0.0
        self.load_s = 0.0
        self.slots = max(1, slots)
        self.failures = 0
        self.failed_s = 0.0
        self.misdirected = False
        self.slowness = 1.0
        self.slowness_s = None
        self.usual_slowness = 1.0
        self.has_misstated = False


class CandidateState(typing.NamedTuple):
    """What the cost of an endpoint depends on besides its health.

    Parameters
    ----------
    outstanding : int
        Requests of this VM in progress at the endpoint.
    oldest_pending_ms : float
        Age of the oldest of them.
    same_zone : bool
        Whether the endpoint is in this VM's zone.
    cold : bool
        Whether the endpoint is still warming up.
    has_room : bool
        Whether a request would get a connection without waiting.
    """

    outstanding: int
    oldest_pending_ms: float
    same_zone: bool
    cold: bool
    has_room: bool


def record_success(health: Health, took_ms: float, now: float):
    """Update the response times after a successful answer.

    The weight of a sample grows with the time since the last one, so that an
    entry that seldom sends to an endpoint also detects that it became slow.
    """
    recent = health.recent_ms
    if recent is None:
        health.recent_ms = took_ms
        health.baseline_ms = took_ms
    else:
        elapsed = now - health.answered_s
        weight = max(
            MIN_SAMPLE_WEIGHT,
            1.0 - math.exp(-elapsed / RECENT_TIME_CONSTANT_S),
        )
        capped = min(took_ms, 3.0 * recent + 5.0)
        health.recent_ms = recent + weight * (capped - recent)
        weight = 1.0 - math.exp(-elapsed / BASELINE_TIME_CONSTANT_S)
        capped = min(took_ms, 2.0 * health.baseline_ms)
        health.baseline_ms += weight * (capped - health.baseline_ms)
    health.answered_s = now
    health.failures = 0


def estimate_answer_ms(health: Health, best_ms: float, now: float) -> float:
    """Return the expected response time in ms.

    Parameters
    ----------
    best_ms : float
        Lowest baseline response time of the service's endpoints. The
        estimate of a slower endpoint decays towards it, so that the endpoint
        is tried again.
    """
    recent = health.recent_ms
    if recent is None or recent <= best_ms:
        return best_ms
    decay = math.exp((health.answered_s - now) / RECENT_TIME_CONSTANT_S)
    return best_ms + (recent - best_ms) * decay


def record_load(health: Health, running: int, waiting: int, slots: int, now):
    """Record the load that an endpoint reported with an answer.

    The report counts the answered request itself, which is subtracted.
    """
    health.load = max(0.0, running + waiting - 1.0)
    health.load_s = now
    health.slots = max(1, slots)


def decay_load(health: Health, now: float, decay_s: float) -> float:
    """Return the reported load, linearly decayed with its age."""
    remaining = 1.0 - (now - health.load_s) / decay_s
    return health.load * remaining if remaining > 0.0 else 0.0


def record_slowness(health: Health, slowness: float, persistence, now: float):
    """Record how slow an endpoint says that it is.

    Parameters
    ----------
    health : Health
    slowness : float
        See `stated_speed.parse_slowness`.
    persistence : persistence.Persistence
        Learns from it.
    now : float
        Loop time.
    """
    if health.slowness_s is not None:
        elapsed = now - health.slowness_s
        persistence.observe(health.slowness, slowness, elapsed)
        weight = min(MAX_USUAL_WEIGHT, elapsed / USUAL_TIME_CONSTANT_S)
        health.usual_slowness += weight * (slowness - health.usual_slowness)
    health.slowness = slowness
    health.slowness_s = now


def estimate_slowness(health: Health, persistence, now: float) -> float:
    """Return the expected time of work now, 1 if usual for the endpoint.

    A stated deviation fades as `persistence` says. Response times contain
    what is usual for the endpoint.
    """
    if health.slowness_s is None:
        return 1.0
    ratio = health.slowness / health.usual_slowness
    share = persistence.get_share(now - health.slowness_s)
    return 1.0 + (ratio - 1.0) * share


def record_failure(health: Health, now: float):
    """Count a request without a successful answer."""
    health.failures = min(MAX_FAILURES, health.failures + 1)
    health.failed_s = now


def compute_other_zone_penalty(objective_ms: float) -> float:
    """Return how much later an answer of the same zone may come, in ms."""
    if not objective_ms:
        return OTHER_ZONE_PENALTY_MS
    return OTHER_ZONE_OBJECTIVE_SHARE * objective_ms


def compute_cost(
    health: Health,
    candidate: CandidateState,
    now: float,
    best_ms: float = INITIAL_ANSWER_MS,
    other_zone_ms: float = OTHER_ZONE_PENALTY_MS,
    slowness: float = 1.0,
    waiting: float | None = None,
) -> float:
    """Return the expected time to an answer plus penalties, in ms.

    Parameters
    ----------
    other_zone_ms : float
        Penalty of an endpoint in another zone.
    slowness : float
        See `estimate_slowness`.
    waiting : float or None
        Time until the request is started, in times of work, where it is
        drawn; see `spreading`.
    """
    answer_ms = estimate_answer_ms(health, best_ms, now) * slowness
    if waiting is None:
        reported = decay_load(health, now, LOAD_DECAY_S)
        load = max(reported, candidate.outstanding)
        waiting = max(0.0, load - health.slots + 1)
    cost = answer_ms * (1.0 + waiting)
    unresponsive_ms = max(MIN_UNRESPONSIVE_MS, UNRESPONSIVE_FACTOR * answer_ms)
    if candidate.oldest_pending_ms > unresponsive_ms:
        cost += UNRESPONSIVE_PENALTY_MS + candidate.oldest_pending_ms
    if health.failures:
        elapsed = now - health.failed_s
        decay = max(0.0, 1.0 - elapsed / FAILURE_DECAY_S)
        cost += health.failures * FAILURE_PENALTY_MS * decay
    if health.misdirected:
        cost += MISDIRECTED_PENALTY_MS
    if candidate.cold:
        cost += COLD_PENALTY_MS
    if not candidate.has_room:
        cost += NO_CONNECTION_PENALTY_MS
    if not candidate.same_zone:
        cost += other_zone_ms
    return cost
