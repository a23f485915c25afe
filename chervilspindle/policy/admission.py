"""Decides at once what can't be answered in time, and when to come back."""

import typing

MAX_RETRY_AFTER_MS = 30000
MIN_RETRY_AFTER_MS = 50
MIN_PARTS_PER_CUSTOMER = 200
SERVICE_TIME_FACTOR = 1.0
WAIT_MARGIN = 1.2


class QueueEstimate(typing.NamedTuple):
    """Expected wait and finish of a new request at an endpoint, in ms."""

    wait_ms: float
    finish_ms: float


def estimate_queue(
    own_ahead: int,
    in_flight: int,
    limit: int,
    service_ms: float,
    share: float,
) -> QueueEstimate:
    """Estimate when a new request of a customer would run.

    Parameters
    ----------
    own_ahead : int
        The customer's own queued requests that go first.
    in_flight, limit : int
        Requests that run at the endpoint, and how many may.
    service_ms : float
        Typical time of one request.
    share : float
        Part of the slot time that the customer can count on, in (0, 1].
    """
    if in_flight < limit and own_ahead == 0:
        return QueueEstimate(0.0, service_ms)
    turn_ms = service_ms / max(1, limit)
    wait = turn_ms + own_ahead * turn_ms / share
    return QueueEstimate(wait, wait + service_ms)


def would_miss_deadline(estimate: QueueEstimate, remaining_ms: float) -> bool:
    """Tell whether a request can't finish within its deadline.

    Margins keep out requests that would run and end too late: under
    overload they would fill the slots and be of use to nobody. A request
    that needs not wait is never hopeless: were a slow endpoint refused all
    work, its estimate could never recover.
    """
    if estimate.wait_ms <= 0:
        return remaining_ms <= 0
    service = estimate.finish_ms - estimate.wait_ms
    needed = WAIT_MARGIN * estimate.wait_ms + SERVICE_TIME_FACTOR * service
    return needed > remaining_ms


def compute_retry_after_ms(
    estimate: QueueEstimate, remaining_ms: float
) -> int:
    """Return after how long the same request should find room, in ms."""
    excess = estimate.finish_ms - remaining_ms
    bounded = max(MIN_RETRY_AFTER_MS, min(MAX_RETRY_AFTER_MS, excess))
    return int(bounded)


class EntryLoad(typing.NamedTuple):
    """Parts in flight that an entry gathers."""

    total: int
    limit: int


def may_admit(
    load: EntryLoad,
    own_parts: int,
    new_parts: int,
    weight: float,
    active_weight: float,
) -> bool:
    """Tell whether an entry has room for another request of a customer.

    While there is room everyone may use it. Beyond the limit a customer is
    admitted only up to its share of it by weight, so that a greedy one
    can't fill the entry.
    """
    if load.total + new_parts <= load.limit:
        return True
    share = weight / max(weight, active_weight)
    allowance = max(MIN_PARTS_PER_CUSTOMER, load.limit * share)
    if load.total + new_parts > 2 * load.limit:
        return False
    return own_parts + new_parts <= allowance
