"""When to hedge, and the budget for extra load on endpoints.

A part that is late against recent times of its service is sent to another
replica as well (Dean and Barroso, "The Tail at Scale", 2013), at first
only while most others of its query are answered: when all are late, none is a
straggler.
First sends fill the budgets that hedges and retries draw on, so the extra
load stays a fixed share even when every request is late. Retries have a
budget of their own: they follow a loss, when the first send is no load any
more, and coverage depends on them.
"""

import typing

BUDGET_USE = 0.8  # part of the budget that late parts are meant to use
WINDOW_SAMPLES = 200
MIN_SAMPLES = 50
MIN_DELAY_MS = 5.0
DEFAULT_DELAY_MS = 50.0
REFRESH_SAMPLES = 25
TYPICAL_SMOOTHING = 0.05
MAX_LATE_RATIO = 3.0
HEDGE_BURST = 10.0
LEAST_COMPARED = 4  # shards
MAX_UNSETTLED_SHARE = 0.5
CERTAIN_RATIO = 2.5
RECHECK_INTERVAL_MS = 10.0
RETRY_SHARE = 0.1
RETRY_BURST = 200.0


class Budget(typing.NamedTuple):
    """Token bucket of extra sub-requests."""

    share: float
    burst: float
    tokens: float


def build_budget(share: float, burst: float) -> Budget:
    """Build a full bucket that refills by `share` of a token a send."""
    return Budget(share, burst, burst if share else 0.0)


def deposit(budget: Budget, sends: int) -> Budget:
    """Add the tokens that first sends bring."""
    tokens = budget.tokens + sends * budget.share
    return budget._replace(tokens=min(budget.burst, tokens))


def try_withdraw(budget: Budget):
    """Take one token.

    Returns
    -------
    budget, granted : Budget, bool
    """
    if budget.tokens < 1.0:
        return budget, False
    return budget._replace(tokens=budget.tokens - 1.0), True


class LatencyStats(typing.NamedTuple):
    """How late parts of all services are, against what is typical.

    One service gives too few samples for a high quantile, so the samples
    are ratios to the typical time of each service, pooled over services.

    Parameters
    ----------
    ratios : tuple of float
        Latest samples: time from the first send of a shard to its answer,
        over the typical time of the service.
    limit : float
        Ratio above which a part is late; 0 while too little is known.
    since_refresh : int
        Samples since the limit was computed.
    typical_ms_by_service : dict of str to float
    """

    ratios: tuple[float, ...] = ()
    limit: float = 0.0
    since_refresh: int = 0
    typical_ms_by_service: dict[str, float] = {}


def record_latency(
    state: LatencyStats, service: str, latency_ms: float, share: float
) -> LatencyStats:
    """Add a sample and renew the limit every so many samples.

    Parameters
    ----------
    latency_ms : float
        From the first send, so that a part which a hedge rescued counts as
        late: otherwise the limit would sink and overspend the budget.
    share : float
        Budget of hedges, as a share of all sends.
    """
    typical = state.typical_ms_by_service.get(service, latency_ms)
    ratio = latency_ms / max(typical, 0.1)
    # Late parts say little about what is typical.
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

    It is the quantile that the budget can pay for: a lower one would spend
    the budget on parts that are about to end, and leave none for those that
    are truly late. When more parts straggle than the budget can pay for,
    that quantile lies among the stragglers themselves, where a hedge is of
    no use any more; so the ratio is bounded.
    """
    quantile = 1.0 - BUDGET_USE * share
    rank = min(len(ratios) - 1, int(quantile * len(ratios)))
    return min(MAX_LATE_RATIO, sorted(ratios)[rank])


def is_straggler(
    shards: int,
    unsettled: int,
    late: float,
    max_unsettled_share: float = MAX_UNSETTLED_SHARE,
) -> bool:
    """Tell whether a late part is late against the others of its query.

    When most parts of a query are late, their common way is slow, such as a
    VM that paused for a moment, and a hedge of each would only add load.

    Parameters
    ----------
    shards, unsettled : int
        Shards of the query, and how many of them have no answer yet.
    late : float
        Time since the part was first sent, over the delay after which it
        counts as late; from some multiple on it is hedged in any case.
    max_unsettled_share : float
        Share of the shards that may be unanswered when one is hedged.
    """
    if shards < LEAST_COMPARED or late >= CERTAIN_RATIO:
        return True
    return unsettled <= shards * max_unsettled_share


def get_hedge_delay_ms(state: LatencyStats, service: str) -> float:
    """Return after how long a part of a service is late, in ms."""
    typical = state.typical_ms_by_service.get(service)
    if typical is None or not state.limit:
        return DEFAULT_DELAY_MS
    return max(MIN_DELAY_MS, state.limit * typical)
