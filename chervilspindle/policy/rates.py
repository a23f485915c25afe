"""Rate limits of customers.

The rate of a plan applies to each of its customers over all VMs together.
The platform's load balancer spreads callers evenly, so each VM enforces an
equal part of the rate with a token bucket; the burst absorbs uneven load.
"""

import typing

BURST_S = 2.0
MIN_BURST = 2.0
MAX_BUCKETS = 10000


class Bucket(typing.NamedTuple):
    """Tokens of one customer as of a reading of the monotonic clock, in ms."""

    tokens: float
    refilled_ms: float


class RateDecision(typing.NamedTuple):
    """Whether a request is within the rate; if not, when to retry.

    Parameters
    ----------
    bucket : Bucket
        State after the request.
    granted : bool
    retry_after_ms : int
        Delay until the next token; 0 if granted.
    """

    bucket: Bucket
    granted: bool
    retry_after_ms: int


def take_token(
    bucket: Bucket | None, rate: float, vms: int, now: float
) -> RateDecision:
    """Take a token for one request.

    Parameters
    ----------
    bucket : Bucket or None
        None for a customer without a bucket; it starts with a full one.
    rate : float
        Requests per second of the customer over all VMs, above 0.
    vms : int
        VMs that share the load of callers, at least 1.
    now : float
        Monotonic milliseconds.

    Returns
    -------
    RateDecision
    """
    tokens_per_ms = rate / vms / 1000.0
    burst = max(MIN_BURST, tokens_per_ms * BURST_S * 1000.0)
    tokens = burst
    if bucket is not None:
        elapsed_ms = max(0.0, now - bucket.refilled_ms)
        tokens = min(burst, bucket.tokens + elapsed_ms * tokens_per_ms)
    if tokens < 1.0:
        wait_ms = (1.0 - tokens) / tokens_per_ms
        return RateDecision(Bucket(tokens, now), False, int(wait_ms) + 1)
    return RateDecision(Bucket(tokens - 1.0, now), True, 0)


def evict_oldest(bucket_by_customer: dict) -> dict:
    """Return the most recently used half of the buckets if there are too many.

    Below `MAX_BUCKETS` the argument is returned unchanged.
    """
    if len(bucket_by_customer) <= MAX_BUCKETS:
        return bucket_by_customer
    kept = sorted(
        bucket_by_customer.items(), key=lambda item: -item[1].refilled_ms
    )
    return dict(kept[: MAX_BUCKETS // 2])
