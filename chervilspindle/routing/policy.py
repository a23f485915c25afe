"""When a request or shard is sent again, and when an answer goes out.

Pure functions of times and counts, so that each decision can be tested on
the load that it answers.
"""

import math
import typing

HEDGE_FACTOR = 1.7  # times the usual time of the route's shards
HEDGE_LEAST_MS = 6.0
HEDGE_AIM_SHARE = 0.33  # a hedge has to end within the objective
DEFAULT_HEDGE_MS = 50.0  # routes without an objective
TRIP_MS = 3.0  # one way between callers and entries
CONNECT_MS = 6.0  # first request on a caller's connection, one round trip
ANSWER_MS = 2.5  # to build an answer and write it, at least
ANSWER_CORE_MS = 1.0  # the same on a whole core
STAMP_BYTES = 32  # of one shard in the head of an answer
USUAL_SMOOTHING = 0.05
FIRST_USUAL_MS = 15.0  # before the first answer, connections are new as well
LAG_RISE = 0.5  # lag is taken in fast and forgotten slowly
LAG_FALL = 0.1
MAX_LAG_MS = 15.0
FIRST_LAG_MS = 2.0  # on a whole core, before anything was measured
# Endpoints that pause or are slow are few at a time; more parts than that
# are late when the VM itself is.
HEDGED_SHARE = 0.25
REPORT_LEAD_MS = 2.0  # a relay's report travels and is decoded meanwhile
LEAST_REPORT_MS = 2.0  # endpoints have had no time before that
REPORT_GRACE_MS = 6.0  # later than that, a relay is taken to be silent
RETRY_AFTER_S = 0.25  # endpoints that refused have room again by then


class Timing(typing.NamedTuple):
    """Times of one request, in ms since it was read.

    Parameters
    ----------
    hedge_ms : float
        When parts without an answer are sent to another replica.
    answer_ms : float
        When an answer is sent with the parts that are there; infinite for
        a route without an objective.
    deadline_ms : float
        When the request is given up.
    """

    hedge_ms: float
    answer_ms: float
    deadline_ms: float

    @property
    def report_ms(self) -> float:
        """When relays report, so that a hedge knows what is missing."""
        return self.hedge_ms - REPORT_LEAD_MS


def plan_timing(
    objective_ms: float,
    timeout_ms: float,
    caller_ms: float | None,
    is_first: bool,
    usual_ms: float,
    late_ms: float = ANSWER_MS,
) -> Timing:
    """Plan a request from its route and from what its caller said.

    Parameters
    ----------
    objective_ms, timeout_ms : float
        Of the route; an objective of 0 is none.
    caller_ms : float or None
        How long the caller waits, if it said so.
    is_first : bool
        Whether the caller had to connect for the request.
    usual_ms : float
        Usual time of the route's parts.
    late_ms : float
        From the time of an answer until it is sent.
    """
    deadline = timeout_ms
    if caller_ms is not None:
        deadline = min(deadline, caller_ms)
    if not objective_ms:
        return Timing(DEFAULT_HEDGE_MS, math.inf, deadline)
    spent = TRIP_MS + (CONNECT_MS if is_first else 0.0)
    answer = max(0.0, objective_ms - spent - TRIP_MS - late_ms)
    hedge = max(HEDGE_LEAST_MS, HEDGE_FACTOR * usual_ms)
    return Timing(min(hedge, answer * HEDGE_AIM_SHARE), answer, deadline)


def compute_answer_ms(
    shards: int, core_share: float, link_mbps: float
) -> float:
    """Return how long it takes to build and send an answer, in ms.

    Parameters
    ----------
    shards : int
    core_share : float
        Part of a core that the process has.
    link_mbps : float
        Bandwidth of the VM's link, in Mbit/s.
    """
    link_ms = shards * STAMP_BYTES * 8 / (link_mbps * 1000.0)
    return max(ANSWER_MS, ANSWER_CORE_MS / core_share + link_ms)


def smooth_usual(usual_ms: float | None, sample_ms: float) -> float:
    """Return the usual time after one more sample.

    Late samples count as somewhat late only: they say little about what is
    usual.
    """
    if usual_ms is None:
        return sample_ms
    bounded = min(sample_ms, 2.0 * usual_ms)
    return usual_ms + USUAL_SMOOTHING * (bounded - usual_ms)


def smooth_lag(lag_ms: float, sample_ms: float) -> float:
    """Return how late this process usually is after one more sample.

    A VM with a part of a core is busy for some time with the answers that
    come in before an answer is due.
    """
    bounded = min(MAX_LAG_MS, max(0.0, sample_ms))
    weight = LAG_RISE if bounded > lag_ms else LAG_FALL
    return lag_ms + weight * (bounded - lag_ms)


def count_needed(shards: int, min_coverage: float) -> int:
    """Return how many shards an answer has to cover at least."""
    return max(1, math.ceil(shards * min_coverage - 1e-9))
