"""Which endpoint of a service gets a request: by expected time to answer.

An entry sends to endpoints itself and shares them with other entries that
it does not talk to. What it knows of an endpoint is what it saw: times of
answers, requests of its own that are unanswered, and the load that the
endpoint stated with its last answer, which counts for less the older it is.
"""

import math
import typing

INITIAL_ANSWER_MS = 10.0  # service time before the first answer of any
SMOOTHING = 0.1  # least weight of a new sample
# What an answer took says less the longer ago it was: troubles of endpoints
# last some seconds.
USUAL_MEMORY_S = 3.0
TYPICAL_MEMORY_S = 20.0  # longer than such a trouble
LOAD_MEMORY_S = 0.25  # after this a stated load says nothing any more
SILENCE_FACTOR = 3.0  # times the usual time make a silence
SILENCE_LEAST_MS = 12.0
SILENCE_PENALTY_MS = 60.0  # most of a pause is still to come
FAILURE_PENALTY_MS = 40.0  # for each failure in a row
FAILURES_COUNTED = 6
FAILURE_MEMORY_S = 2.0
LEAVING_PENALTY_MS = 500.0  # an endpoint that refused as it is leaving
COLD_PENALTY_MS = 8.0
FULL_PENALTY_MS = 30.0  # no connection is free
OTHER_ZONE_MS = 3.0  # bytes between zones cost more than they take time


class Health:
    """What this VM knows of one endpoint; a mutable row.

    Attributes
    ----------
    usual_ms : float or None
        Smoothed time of answers; None before the first.
    usual_s : float
        Loop time of the last answer.
    typical_ms : float or None
        The same as `usual_ms`, over a longer time.
    load : float
        Requests that ran or waited there, as last stated.
    load_s : float
        Loop time at which the load was stated.
    slots : int
    failures : int
        Failures since the last answer.
    failed_s : float
        Loop time of the last failure.
    refused : bool
        Whether it said that it is another endpoint or leaving.
    """

    __slots__ = (
        "usual_ms",
        "usual_s",
        "typical_ms",
        "load",
        "load_s",
        "slots",
        "failures",
        "failed_s",
        "refused",
    )

    def __init__(self, slots: int):
        self.usual_ms = None
        self.usual_s = 0.0
        self.baseline_ms = None
        self.load = 0.0
        self.load_s = 0.0
        self.slots = max(1, slots)
        self.failures = 0
        self.failed_s = 0.0
        self.refused = False


class CandidateState(typing.NamedTuple):
    """What a choice depends on besides health.

    Parameters
    ----------
    outstanding : int
        Requests of this VM in progress there.
    silence_ms : float
        How long the oldest of them has run.
    same_zone, cold, has_room : bool
    """

    outstanding: int
    silence_ms: float
    same_zone: bool
    cold: bool
    has_room: bool


def note_answer(health: Health, took_ms: float, now: float):
    """Take in a good answer.

    A sample weighs more the longer ago the last one was, so that an entry
    that seldom sends to an endpoint notices too when it turns slow.
    """
    usual = health.usual_ms
    if usual is None:
        health.usual_ms = took_ms
        health.baseline_ms = took_ms
    else:
        elapsed = now - health.usual_s
        weight = max(SMOOTHING, 1.0 - math.exp(-elapsed / USUAL_MEMORY_S))
        bounded = min(took_ms, 3.0 * usual + 5.0)
        health.usual_ms = usual + weight * (bounded - usual)
        weight = 1.0 - math.exp(-elapsed / TYPICAL_MEMORY_S)
        bounded = min(took_ms, 2.0 * health.baseline_ms)
        health.baseline_ms += weight * (bounded - health.baseline_ms)
    health.usual_s = now
    health.failures = 0


def estimate_usual(health: Health, best_ms: float, now: float) -> float:
    """Return the time of an answer that is expected now, in ms.

    Parameters
    ----------
    best_ms : float
        Least typical time of the service's endpoints. What is known of a
        slower one fades towards it, so that it is tried again.
    """
    usual = health.usual_ms
    if usual is None or usual <= best_ms:
        return best_ms
    fading = math.exp((health.usual_s - now) / USUAL_MEMORY_S)
    return best_ms + (usual - best_ms) * fading


def note_load(health: Health, running: int, waiting: int, slots: int, now):
    """Take in the load that an endpoint stated with an answer."""
    health.load = max(0.0, running + waiting - 1.0)
    health.load_s = now
    health.slots = max(1, slots)


def read_load(health: Health, now: float, memory_s: float) -> float:
    """Return the stated load, which fades with its age."""
    freshness = 1.0 - (now - health.load_s) / memory_s
    return health.load * freshness if freshness > 0.0 else 0.0


def note_failure(health: Health, now: float):
    """Take in that a request got no good answer."""
    health.failures = min(FAILURES_COUNTED, health.failures + 1)
    health.failed_s = now


def compute_cost(
    health: Health,
    view: CandidateState,
    now: float,
    best_ms: float = INITIAL_ANSWER_MS,
) -> float:
    """Return the expected time to an answer and its penalties, in ms."""
    usual_ms = estimate_usual(health, best_ms, now)
    stated = read_load(health, now, LOAD_MEMORY_S)
    load = max(stated, view.outstanding)
    cost = usual_ms * (1.0 + max(0.0, load - health.slots + 1))
    silence_limit = max(SILENCE_LEAST_MS, SILENCE_FACTOR * usual_ms)
    if view.silence_ms > silence_limit:
        cost += SILENCE_PENALTY_MS + view.silence_ms
    if health.failures:
        since = now - health.failed_s
        fading = max(0.0, 1.0 - since / FAILURE_MEMORY_S)
        cost += health.failures * FAILURE_PENALTY_MS * fading
    if health.refused:
        cost += LEAVING_PENALTY_MS
    if view.cold:
        cost += COLD_PENALTY_MS
    if not view.has_room:
        cost += FULL_PENALTY_MS
    if not view.same_zone:
        cost += OTHER_ZONE_MS
    return cost
