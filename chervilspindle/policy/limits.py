"""Adaptive concurrency limit of one endpoint.

The slots that the endpoint announces are the upper bound. Below it the limit
follows additive increase and multiplicative decrease (Chiu and Jain, 1989):
requests that the endpoint sheds and slow replies decrease it, fast replies
increase it. The limit of an endpoint that has just started is 1.
"""

import math
import typing

SHED_FACTOR = 0.5
SLOW_FACTOR = 0.8
SLOW_RATIO = 5.0
RAISE_STEP = 0.5
MIN_CUT_INTERVAL_MS = 200.0
STALL_RATIO = 8.0
STALL_MIN_MS = 100.0
STALL_PARTIAL_FACTOR = 4.0
STALL_PAUSE_MS = 1000.0
STALL_MAX_PAUSE_MS = 8000.0
SERVICE_SMOOTHING_UP = 0.1
SERVICE_SMOOTHING_DOWN = 0.3
BASELINE_SMOOTHING = 0.002
DEFAULT_SERVICE_MS = 10.0


class LimitState(typing.NamedTuple):
    """Concurrency limit, service times and circuit breaker of one endpoint.

    Parameters
    ----------
    slots : int
        Upper bound of the limit, announced by the endpoint.
    limit : float
        Current limit; `get_limit` rounds it down.
    service_ms : float
        Smoothed service time.
    baseline_ms : float
        Service time without overload: a slower average, at most
        `service_ms`.
    last_cut_ms, last_success_ms, stalled_until_ms : float
        Monotonic milliseconds.
    samples : int
        Successful requests so far.
    stalls : int
        Stalls since the last successful request.
    """

    slots: int
    limit: float
    service_ms: float = DEFAULT_SERVICE_MS
    baseline_ms: float = 0.0
    last_cut_ms: float = 0.0
    samples: int = 0
    last_success_ms: float = -math.inf
    stalls: int = 0
    stalled_until_ms: float = -math.inf


def build_limit(slots: int, is_cold: bool) -> LimitState:
    """Build the limit of an endpoint that has a new owner."""
    return LimitState(slots, 1.0 if is_cold else float(slots))


def get_limit(state: LimitState) -> int:
    """Return the number of requests that may run at once."""
    return max(1, min(state.slots, int(state.limit)))


def record_success(state: LimitState, service_ms: float, now: float):
    """Raise the limit after a reply, or cut it if the endpoint is slow now.

    Parameters
    ----------
    service_ms : float
        Service time of the request.
    now : float
        Monotonic milliseconds.

    Returns
    -------
    LimitState
    """
    if not state.samples:
        state = state._replace(service_ms=service_ms, baseline_ms=service_ms)
    service = state.service_ms
    # The estimate falls faster than it rises, so that it recovers soon after
    # a slow phase.
    smoothing = SERVICE_SMOOTHING_UP
    if service_ms < service:
        smoothing = SERVICE_SMOOTHING_DOWN
    service += smoothing * (service_ms - service)
    baseline = state.baseline_ms
    baseline += BASELINE_SMOOTHING * (service_ms - baseline)
    state = state._replace(
        service_ms=service,
        baseline_ms=min(baseline, service),
        samples=state.samples + 1,
        last_success_ms=now,
        stalls=0,
        stalled_until_ms=-math.inf,
    )
    if service > SLOW_RATIO * state.baseline_ms:
        return _cut(state, SLOW_FACTOR, now)
    raised = min(float(state.slots), state.limit + RAISE_STEP)
    return state._replace(limit=raised)


def record_shed(state: LimitState, now: float) -> LimitState:
    """Cut the limit after the endpoint shed a request."""
    return _cut(state, SHED_FACTOR, now)


def is_stalled(state: LimitState, started_ms, now: float) -> bool:
    """Tell whether an endpoint accepts requests but completes none.

    Parameters
    ----------
    started_ms : sequence of float
        Start times of the running requests, in monotonic milliseconds; not
        empty.
    now : float
        Monotonic milliseconds.

    Returns
    -------
    bool
        True if the oldest request has run much longer than the service time
        and no request has succeeded since it started. The threshold is
        higher while slots are free, because then fewer late requests
        support the conclusion.
    """
    threshold_ms = max(STALL_MIN_MS, STALL_RATIO * state.service_ms)
    if len(started_ms) < get_limit(state):
        threshold_ms *= STALL_PARTIAL_FACTOR
    if state.last_success_ms >= min(started_ms):
        return False
    return now - min(started_ms) > threshold_ms


def record_stall(state: LimitState, now: float) -> LimitState:
    """Pause a stalled endpoint with exponential backoff.

    This is a circuit breaker that lets one request through when half open
    (Nygard, "Release It!", 2007).
    """
    pause_ms = min(STALL_MAX_PAUSE_MS, STALL_PAUSE_MS * 2**state.stalls)
    return state._replace(
        limit=1.0, stalls=state.stalls + 1, stalled_until_ms=now + pause_ms
    )


def allow_probe(state: LimitState) -> LimitState:
    """End the pause, so that the next request probes the endpoint."""
    return state._replace(stalled_until_ms=-math.inf)


def _cut(state, factor, now):
    if now < state.last_cut_ms + MIN_CUT_INTERVAL_MS:
        return state
    return state._replace(
        limit=max(1.0, state.limit * factor), last_cut_ms=now
    )
