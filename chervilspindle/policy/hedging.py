"""Decides when to hedge, and budgets the extra load on endpoints.

A part that takes long compared with recent parts of its service is also sent
to another replica (Dean and Barroso, "The Tail at Scale", 2013). Until it is
unanswered for `UNCONDITIONAL_RATIO` times the hedge delay, this requires that
enough other parts of its query are answered: if most are late, none is a
straggler.

First sends add tokens to the budgets that hedges and retries draw on, so the
extra load is a fixed share of the first sends even when every request is
late. Retries have a separate budget: they follow a failure, when the first
send is no longer load on its endpoint, and coverage depends on them.
"""

import typing

BUDGET_UTILIZATION = 0.8  # share of the budget that late parts should use
WINDOW_SAMPLES = 200
MIN_SAMPLES = 50
MIN_DELAY_MS = 5.0
DEFAULT_DELAY_MS = 50.0
REFRESH_SAMPLES = 25
TYPICAL_SMOOTHING = 0.05
MAX_LATE_RATIO = 3.0
HEDGE_BURST = 10.0
MIN_COMPARED_SHARDS = 4
MAX_UNANSWERED_SHARE = 0.5
UNCONDITIONAL_RATIO = 2.5
RECHECK_INTERVAL_MS = 10.0
RETRY_SHARE = 0.1
RETRY_BURST = 200.0


class Budget(typing.NamedTuple):
    """Token bucket of extra sends.

    Parameters
    ----------
    share : float
        Tokens added for each first send.
    burst : float
        Capacity of the bucket.
    tokens : float
        Extra sends that are allowed now.
    """

    share: float
    burst: float
    tokens: float


def build_budget(share: float, burst: float) -> Budget:
    """Build a full bucket; it stays empty if `share` is 0."""
    return Budget(share, burst, burst if share else 0.0)


def deposit(budget: Budget, sends: int) -> Budget:
    """Add the tokens for a number of first sends."""
    tokens = budget.tokens + sends * budget.share
    return budget._replace(tokens=min(budget.burst, tokens))


def try_withdraw(budget: Budget):
    """Take one token if there is one.

    Returns
    -------
    budget, granted : Budget, bool
    """
    if budget.tokens < 1.0:
        return budget, False
    return budget._replace(tokens=budget.tokens - 1.0), True


class LatencyStats(typing.NamedTuple):
    """Latencies of recent parts, relative to the typical ones.

    A single service yields too few samples for a high quantile. The samples
    are therefore normalized by the typical latency of their service and
    pooled over all services.

    Parameters
    ----------
    ratios : tuple of float
        Latest samples: time from the first send of a shard to its answer,
        divided by the typical latency of the service.
    limit : float
        Ratio above which a part is late; 0 while there are too few samples.
    since_refresh : int
        Samples since the limit was computed.
    typical_ms_by_service : dict of str to float
        Smoothed latencies without outliers.
    """

    ratios: tuple[float, ...] = ()
    limit: float = 0.0
    since_refresh: int = 0
    typical_ms_by_service: dict[str, float] = {}


def record_latency(
    state: LatencyStats, service: str, latency_ms: float, share: float
) -> LatencyStats:
    """Add a sample; recompute the limit every `REFRESH_SAMPLES` samples.

    Parameters
    ----------
    latency_ms : float
        Time since the first send, so that a part that a hedge answered still
        counts as late. Otherwise the limit would fall and hedges would
        exceed the budget.
    share : float
        Budget of hedges, as a share of first sends.
    """
    typical = state.typical_ms_by_service.get(service, latency_ms)
    ratio = latency_ms / max(typical, 0.1)
    # Bounded, because late parts are not typical.
    bounded = min(latency_ms, 2.0 * typical)
    state.typical_ms_by_service[service] = typical + TYPICAL_SMOOTHING * (
        bounded - typical
    )
    ratios = (state.ratios + (ratio,))[-WINDOW_SAMPLES:]
    count = state.since_refresh + 1
    if count < REFRESH_SAMPLES or len(ratios) < MIN_SAMPLES:
        return state._replace(ratios=ratios, since_refresh=count)
    return state._replace(
        ratios=ratios, limit=compute_limit(ratios, share), since_refresh=0
    )


def compute_limit(ratios, share: float) -> float:
    """Return the ratio above which a part is late.

    It is the quantile above which there are as many parts as the budget
    allows hedges. A lower quantile would use up the budget on parts that are
    about to finish and leave none for stragglers. When there are more
    stragglers than the budget allows hedges, the quantile falls among the
    stragglers, where a hedge comes too late; so the ratio is bounded.
    """
    quantile = 1.0 - BUDGET_UTILIZATION * share
    rank = min(len(ratios) - 1, int(quantile * len(ratios)))
    return min(MAX_LATE_RATIO, sorted(ratios)[rank])


def is_straggler(
    shards: int,
    unanswered: int,
    delay_ratio: float,
    max_unanswered_share: float = MAX_UNANSWERED_SHARE,
) -> bool:
    """Tell whether a late part is late compared with the rest of its query.

    When most parts of a query are late, the cause is shared, such as a VM
    that paused for a moment, and hedging each part would only add load.

    Parameters
    ----------
    shards, unanswered : int
        Shards of the query, and how many of them have no answer yet.
    delay_ratio : float
        Time since the part was first sent, divided by the delay after which
        it counts as late. From `UNCONDITIONAL_RATIO` on the part is hedged
        whatever the state of the others.
    max_unanswered_share : float
        Share of the shards that may be unanswered when one is hedged.
    """
    if shards < MIN_COMPARED_SHARDS or delay_ratio >= UNCONDITIONAL_RATIO:
        return True
    return unanswered <= shards * max_unanswered_share


def get_hedge_delay_ms(state: LatencyStats, service: str) -> float:
    """Return the delay after which a part of a service is late, in ms."""
    typical = state.typical_ms_by_service.get(service)
    if typical is None or not state.limit:
        return DEFAULT_DELAY_MS
    return max(MIN_DELAY_MS, state.limit * typical)
