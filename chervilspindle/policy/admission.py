"""Admission control: rejects early what would miss its deadline."""

import typing

MAX_RETRY_AFTER_MS = 30000
MIN_RETRY_AFTER_MS = 50
MIN_PARTS_PER_CUSTOMER = 200
SERVICE_TIME_FACTOR = 1.0
WAIT_TIME_FACTOR = 1.2


class QueueEstimate(typing.NamedTuple):
    """Expected queueing delay and completion of a new request, in ms."""

    wait_ms: float
    finish_ms: float


def estimate_queue(
    queued_ahead: int,
    in_flight: int,
    limit: int,
    service_ms: float,
    share: float,
) -> QueueEstimate:
    """Estimate when a new request of a customer would start and finish.

    Parameters
    ----------
    queued_ahead : int
        The customer's queued requests that are served before the new one.
    in_flight, limit : int
        Running requests at the endpoint, and its concurrency limit.
    service_ms : float
        Expected service time of one request.
    share : float
        Guaranteed share of the customer in the slot time, in (0, 1].

    Returns
    -------
    QueueEstimate
    """
    if in_flight < limit and queued_ahead == 0:
        return QueueEstimate(0.0, service_ms)
    # Mean time between two requests that finish.
    interval_ms = service_ms / max(1, limit)
    wait_ms = interval_ms + queued_ahead * interval_ms / share
    return QueueEstimate(wait_ms, wait_ms + service_ms)


def would_miss_deadline(estimate: QueueEstimate, remaining_ms: float) -> bool:
    """Tell whether a request is expected to miss its deadline.

    The factors reject requests that would run but finish too late: under
    overload these would occupy all slots without a useful result. A request
    that need not wait is admitted whatever the service time. Otherwise an
    endpoint that was slow would get no requests, and its estimate could
    never recover.
    """
    if estimate.wait_ms <= 0:
        return remaining_ms <= 0
    service = estimate.finish_ms - estimate.wait_ms
    needed_ms = (
        WAIT_TIME_FACTOR * estimate.wait_ms + SERVICE_TIME_FACTOR * service
    )
    return needed_ms > remaining_ms


def compute_retry_after_ms(
    estimate: QueueEstimate, remaining_ms: float
) -> int:
    """Return the delay after which a retry should be admitted, in ms."""
    excess_ms = estimate.finish_ms - remaining_ms
    bounded_ms = max(MIN_RETRY_AFTER_MS, min(MAX_RETRY_AFTER_MS, excess_ms))
    return int(bounded_ms)


class EntryLoad(typing.NamedTuple):
    """Parts in flight at an entry, and the limit of their number."""

    total: int
    limit: int


def may_admit(
    load: EntryLoad,
    own_parts: int,
    new_parts: int,
    weight: float,
    active_weight: float,
) -> bool:
    """Tell whether an entry admits another request of a customer.

    Below the limit every request is admitted. Above it, a customer is
    admitted up to its share of the limit by weight, so that one customer
    can't use the whole capacity of the entry. The load never exceeds twice
    the limit.

    Parameters
    ----------
    load : EntryLoad
    own_parts, new_parts : int
        Parts in flight of the customer, and those of the new request.
    weight, active_weight : float
        Weight of the customer, and the sum of the weights of all customers
        with parts in flight.
    """
    if load.total + new_parts <= load.limit:
        return True
    share = weight / max(weight, active_weight)
    allowance = max(MIN_PARTS_PER_CUSTOMER, load.limit * share)
    if load.total + new_parts > 2 * load.limit:
        return False
    return own_parts + new_parts <= allowance
