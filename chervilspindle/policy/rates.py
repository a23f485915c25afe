"""Limits how many requests a second a customer may send.

A plan's rate holds for each of its customers over all VMs together. The
platform's balancer spreads callers evenly, so each VM keeps a token bucket
for its even part of the rate; the burst takes up what is uneven.
"""

import typing

BURST_S = 2.0
LEAST_BURST = 2.0
CUSTOMERS_KEPT = 10000


class Bucket(typing.NamedTuple):
    """Tokens of one customer as of a reading of the monotonic clock, in ms."""

    tokens: float
    filled_ms: float


class Verdict(typing.NamedTuple):
    """Whether a request is within the rate; if not, when to come back."""

    bucket: Bucket
    granted: bool
    retry_after_ms: int


def take_token(
    bucket: Bucket | None, rate: float, vms: int, now: float
) -> Verdict:
    """Take a token for one request.

    Parameters
    ----------
    bucket : Bucket or None
        None for a customer that was not seen lately.
    rate : float
        Requests a second of the customer over all VMs, above 0.
    vms : int
        VMs that callers are spread over, at least 1.
    now : float
        Monotonic milliseconds.
    """
    part_ms = rate / vms / 1000.0
    burst = max(LEAST_BURST, part_ms * BURST_S * 1000.0)
    tokens = burst
    if bucket is not None:
        elapsed = max(0.0, now - bucket.filled_ms)
        tokens = min(burst, bucket.tokens + elapsed * part_ms)
    if tokens < 1.0:
        wait = (1.0 - tokens) / part_ms
        return Verdict(Bucket(tokens, now), False, int(wait) + 1)
    return Verdict(Bucket(tokens - 1.0, now), True, 0)


def evict_oldest(bucket_by_customer: dict) -> dict:
    """Return the buckets without those that were not used for longest."""
    if len(bucket_by_customer) <= CUSTOMERS_KEPT:
        return bucket_by_customer
    kept = sorted(
        bucket_by_customer.items(), key=lambda item: -item[1].filled_ms
    )
    return dict(kept[: CUSTOMERS_KEPT // 2])
