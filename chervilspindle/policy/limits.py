"""Adaptive limit of requests that an owner runs at one endpoint.

The announced slots are a hard ceiling. Below it the limit follows additive
increase and multiplicative decrease (Chiu and Jain, 1989): shed requests
and slow answers cut it, answers in time raise it. An endpoint that has just
started begins at one.
"""

import typing

SHED_FACTOR = 0.5
SLOW_FACTOR = 0.8
SLOW_RATIO = 5.0
RAISE_STEP = 0.5
CUT_PAUSE_MS = 200.0
SERVICE_SMOOTHING = 0.1
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


def build_limit(slots: int, is_cold: bool) -> LimitState:
    """Build the limit of an endpoint that was just taken over."""
    return LimitState(slots, 1.0 if is_cold else float(slots))


def get_limit(state: LimitState) -> int:
    """Return the number of requests that may run at once."""
    return max(1, min(state.slots, int(state.limit)))


def note_success(state: LimitState, service_ms: float, now: float):
    """Raise the limit, or cut it when the endpoint has become slow."""
    if not state.samples:
        state = state._replace(service_ms=service_ms, baseline_ms=service_ms)
    service = state.service_ms
    service += SERVICE_SMOOTHING * (service_ms - service)
    baseline = state.baseline_ms
    baseline += BASELINE_SMOOTHING * (service_ms - baseline)
    state = state._replace(
        service_ms=service,
        baseline_ms=min(baseline, service),
        samples=state.samples + 1,
    )
    if service > SLOW_RATIO * state.baseline_ms:
        return _cut(state, SLOW_FACTOR, now)
    raised = min(float(state.slots), state.limit + RAISE_STEP)
    return state._replace(limit=raised)


def note_shed(state: LimitState, now: float) -> LimitState:
    """Cut the limit after the endpoint refused a request."""
    return _cut(state, SHED_FACTOR, now)


def _cut(state, factor, now):
    if now < state.cut_ms + CUT_PAUSE_MS:
        return state
    return state._replace(limit=max(1.0, state.limit * factor), cut_ms=now)
