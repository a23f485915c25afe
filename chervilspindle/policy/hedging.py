"""When to hedge, and the budget for extra load on endpoints.

A part that is late against a high quantile of its service's recent times is
sent to another replica as well (Dean and Barroso, "The Tail at Scale",
2013). First sends fill the budgets that hedges and retries draw on, so the
extra load stays a fixed share even when every request is late. Retries have
a budget of their own: they follow a loss, when the first send is no load
any more, and coverage depends on them.
"""

import statistics
import typing

BUDGET_USE = 0.8  # part of the budget that late parts are meant to use
WINDOW_SAMPLES = 200
MIN_SAMPLES = 20
MIN_DELAY_MS = 5.0
DEFAULT_DELAY_MS = 50.0
REFRESH_SAMPLES = 20
HEDGE_BURST = 10.0
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


def earn(budget: Budget, sends: int) -> Budget:
    """Add the tokens that first sends bring."""
    tokens = budget.tokens + sends * budget.share
    return budget._replace(tokens=min(budget.burst, tokens))


def spend(budget: Budget):
    """Take one token.

    Returns
    -------
    budget, granted : Budget, bool
    """
    if budget.tokens < 1.0:
        return budget, False
    return budget._replace(tokens=budget.tokens - 1.0), True


class Latencies(typing.NamedTuple):
    """Recent answer times of one service, and the delay they give."""

    samples_ms: tuple[float, ...] = ()
    delay_ms: float = DEFAULT_DELAY_MS
    since_refresh: int = 0


def note_latency(
    state: Latencies, latency_ms: float, share: float
) -> Latencies:
    """Add a sample and renew the delay every so many samples.

    Parameters
    ----------
    share : float
        Budget of hedges, as a share of all sends.
    """
    samples = (state.samples_ms + (latency_ms,))[-WINDOW_SAMPLES:]
    count = state.since_refresh + 1
    if count < REFRESH_SAMPLES or len(samples) < MIN_SAMPLES:
        return state._replace(samples_ms=samples, since_refresh=count)
    return Latencies(samples, compute_delay_ms(samples, share), 0)


def compute_delay_ms(samples_ms, share: float) -> float:
    """Return the delay after which a part is late, in ms.

    It is the quantile that the budget can pay for: a lower one would spend
    the budget on parts that are about to end, and leave none for those that
    are truly late.
    """
    cuts = statistics.quantiles(samples_ms, n=1000, method="inclusive")
    quantile = 1.0 - BUDGET_USE * share
    return max(MIN_DELAY_MS, cuts[min(998, int(quantile * 1000) - 1)])
