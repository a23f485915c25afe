"""Adaptive limit of requests that an owner runs at one endpoint.

The announced slots are a hard ceiling. Below it the limit follows additive
increase and multiplicative decrease (Chiu and Jain, 1989): shed requests
and slow answers cut it, answers in time raise it. An endpoint that has just
started begins at one.
"""

import math
import typing

SHED_FACTOR = 0.5
SLOW_FACTOR = 0.8
SLOW_RATIO = 5.0
RAISE_STEP = 0.5
CUT_PAUSE_MS = 200.0
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
    """Limit and service times of one endpoint, in ms."""

    slots: int
    limit: float
    service_ms: float = DEFAULT_SERVICE_MS
    baseline_ms: float = 0.0
    cut_ms: float = 0.0
    samples: int = 0
    last_success_ms: float = -math.inf
    stalls: int = 0
    stalled_until_ms: float = -math.inf


def build_limit(slots: int, is_cold: bool) -> LimitState:
    """Build the limit of an endpoint that was just taken over."""
    return LimitState(slots, 1.0 if is_cold else float(slots))


def get_limit(state: LimitState) -> int:
    """Return the number of requests that may run at once."""
    return max(1, min(state.slots, int(state.limit)))


def record_success(state: LimitState, service_ms: float, now: float):
    """Raise the limit, or cut it when the endpoint has become slow."""
    if not state.samples:
        state = state._replace(service_ms=service_ms, baseline_ms=service_ms)
    service = state.service_ms
    # A slow phase must not make the endpoint look slow long after it.
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
    """Cut the limit after the endpoint refused a request."""
    return _cut(state, SHED_FACTOR, now)


def is_stalled(state: LimitState, started_ms, now: float) -> bool:
    """Tell whether an endpoint takes requests and ends none.

    Parameters
    ----------
    started_ms : sequence of float
        Starts of the requests that run.
    now : float
        Monotonic milliseconds.

    Returns
    -------
    bool
        True if the oldest request is far later than usual and none ended
        since it started. While slots are free it takes longer
        to tell, since one late request says less than all.
    """
    late_ms = max(STALL_MIN_MS, STALL_RATIO * state.service_ms)
    if len(started_ms) < get_limit(state):
        late_ms *= STALL_PARTIAL_FACTOR
    if state.last_success_ms >= min(started_ms):
        return False
    return now - min(started_ms) > late_ms


def record_stall(state: LimitState, now: float) -> LimitState:
    """Pause an endpoint that stalled, longer each time, then try it again.

    This is a circuit breaker that lets one request through when half open
    (Nygard, "Release It!", 2007).
    """
    pause = min(STALL_MAX_PAUSE_MS, STALL_PAUSE_MS * 2**state.stalls)
    return state._replace(
        limit=1.0, stalls=state.stalls + 1, stalled_until_ms=now + pause
    )


def allow_probe(state: LimitState) -> LimitState:
    """Let the next request try an endpoint that was paused."""
    return state._replace(stalled_until_ms=-math.inf)


def _cut(state, factor, now):
    if now < state.cut_ms + CUT_PAUSE_MS:
        return state
    return state._replace(limit=max(1.0, state.limit * factor), cut_ms=now)
