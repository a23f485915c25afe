"""Timing of hedges, relay reports and answers.

Pure functions of times and counts, so that each decision can be tested in
isolation.
"""

import math
import typing

HEDGE_FACTOR = 1.7  # times the smoothed part time of the route
MIN_HEDGE_MS = 6.0
# Latest hedge as a share of the answer time; a hedge has to be answered
# within the objective.
MAX_HEDGE_SHARE = 0.33
MAX_DEADLINE_MS = 86_400_000.0  # for routes and callers that allow more
DEFAULT_HEDGE_MS = 50.0  # routes without an objective
# Between a caller and this VM, where the system does not measure it.
DEFAULT_ROUND_TRIP_MS = 6.0
# A longer measured one is due to lost packets rather than to distance.
MAX_ROUND_TRIP_MS = 50.0
MIN_ANSWER_SEND_MS = 2.5  # to build and write an answer
ANSWER_BUILD_CORE_MS = 1.0  # to build an answer on a whole core
STAMP_BYTES = 32  # signature of one shard in the header of an answer
PART_MS_SMOOTHING = 0.05
# Before the first answer of a route, when connections are new as well.
INITIAL_PART_MS = 15.0
LAG_RISE_WEIGHT = 0.5  # lag is tracked fast upwards and slowly downwards
LAG_FALL_WEIGHT = 0.1
MAX_LAG_MS = 15.0
INITIAL_LAG_CORE_MS = 2.0  # on a whole core, before the first measurement
# Only a few endpoints are paused or slow at a time; when a larger share of
# parts is late, this VM itself is.
MAX_STRAGGLER_SHARE = 0.25
REPORT_LEAD_MS = 2.0  # for a relay's report to travel and to be decoded
MIN_REPORT_MS = 2.0  # endpoints can't have answered earlier
REPORT_GRACE_MS = 6.0  # a relay without a report by then is presumed lost
RETRY_AFTER_S = 0.25  # by then, endpoints that refused have room again


class Timing(typing.NamedTuple):
    """Schedule of one request, in ms since it was read.

    Parameters
    ----------
    hedge_ms : float
        When shards without an answer are hedged to another replica.
    answer_ms : float
        When an answer is sent with the parts received so far; infinite for
        a route without an objective.
    deadline_ms : float
        When the request times out.
    """

    hedge_ms: float
    answer_ms: float
    deadline_ms: float

    @property
    def report_ms(self) -> float:
        """When relays report, early enough to decide on hedges."""
        return self.hedge_ms - REPORT_LEAD_MS


def plan_timing(
    objective_ms: float,
    timeout_ms: float,
    caller_ms: float | None,
    is_first: bool,
    part_ms: float,
    answer_send_ms: float = MIN_ANSWER_SEND_MS,
    round_trip_ms: float | None = None,
) -> Timing:
    """Plan a request from the times of its route and its caller.

    Parameters
    ----------
    objective_ms, timeout_ms : float
        Of the route; an objective of 0 means none.
    caller_ms : float or None
        How long the caller waits, if known.
    is_first : bool
        Whether the request is the first on the caller's connection.
    part_ms : float
        Smoothed part time of the route.
    answer_send_ms : float
        From the due time of the answer until it is sent, lag included.
    round_trip_ms : float or None
        Network round trip to the caller, if known. The objective counts
        from the caller's connection attempt to the arrival of the answer.
    """
    deadline = min(timeout_ms, MAX_DEADLINE_MS)
    if caller_ms is not None:
        deadline = min(deadline, caller_ms)
    if not objective_ms:
        return Timing(DEFAULT_HEDGE_MS, math.inf, deadline)
    if round_trip_ms is None:
        round_trip_ms = DEFAULT_ROUND_TRIP_MS
    network_ms = min(round_trip_ms, MAX_ROUND_TRIP_MS)
    if is_first:
        network_ms *= 2.0
    answer = max(0.0, objective_ms - network_ms - answer_send_ms)
    hedge = max(MIN_HEDGE_MS, HEDGE_FACTOR * part_ms)
    return Timing(min(hedge, answer * MAX_HEDGE_SHARE), answer, deadline)


def delay_hedge_ms(timing: Timing, slowness: float) -> float:
    """Return when a shard is hedged whose endpoint states that it is slow.

    It is late only against its own expected time. The hedge is still sent
    early enough to be answered within the objective.

    Parameters
    ----------
    timing : Timing
    slowness : float
        Time that work takes at the endpoint, 1 if usual.
    """
    if slowness <= 1.0:
        return timing.hedge_ms
    latest_ms = max(timing.hedge_ms, timing.answer_ms * MAX_HEDGE_SHARE)
    return min(timing.hedge_ms * slowness, latest_ms)


def estimate_answer_send_ms(
    shards: int, core_share: float, link_mbps: float
) -> float:
    """Return the time to build and send an answer, in ms.

    Parameters
    ----------
    shards : int
    core_share : float
        Share of a CPU core that the process may use.
    link_mbps : float
        Bandwidth of the VM's link, in Mbit/s.
    """
    link_ms = shards * STAMP_BYTES * 8 / (link_mbps * 1000.0)
    return max(MIN_ANSWER_SEND_MS, ANSWER_BUILD_CORE_MS / core_share + link_ms)


def smooth_part_ms(part_ms: float | None, sample_ms: float) -> float:
    """Return the smoothed part time after one more sample.

    Samples are capped at twice the current value, so that stragglers have
    little influence.
    """
    if part_ms is None:
        return sample_ms
    capped = min(sample_ms, 2.0 * part_ms)
    return part_ms + PART_MS_SMOOTHING * (capped - part_ms)


def smooth_lag(lag_ms: float, sample_ms: float) -> float:
    """Return the smoothed lag of this process after one more sample.

    A VM with a fraction of a core may still be processing received parts
    when an answer is due.
    """
    capped = min(MAX_LAG_MS, max(0.0, sample_ms))
    weight = LAG_RISE_WEIGHT if capped > lag_ms else LAG_FALL_WEIGHT
    return lag_ms + weight * (capped - lag_ms)


def count_required_shards(shards: int, min_coverage: float) -> int:
    """Return the minimum number of shards that an answer has to cover."""
    return max(1, math.ceil(shards * min_coverage - 1e-9))
