"""Whether a query is sent further after an endpoint broke off under it.

Answers the load of requests that crash the endpoints that run them: such a
query would end all replicas of its shards, first through its hedges. What the
query has seen itself decides, before control has heard of it.

A query that no endpoint has answered may also be the cause of its lateness by
its own work; sending it to the other replicas would not help it.
"""

import enum
import typing

from chervilspindle.policy import hedging


class Caution(enum.Enum):
    """What to do with further sends of a query."""

    SEND = "send"
    WAIT = "wait"  # until it is known whether the endpoint has ended
    WITHDRAW = "withdraw"  # also hedges in progress, until a shard answers


class Evidence(typing.NamedTuple):
    """What a query has seen of its sends.

    Parameters
    ----------
    answered : bool
        Whether an endpoint has answered it, so that it can be run.
    probing : int
        Endpoints that broke off and are being probed.
    crashed : int
        Endpoints that had ended when they were probed.
    """

    answered: bool
    probing: int
    crashed: int


def decide(evidence: Evidence) -> Caution:
    """Decide on hedges and resends of a query."""
    if evidence.answered:
        return Caution.SEND
    if evidence.crashed:
        return Caution.WITHDRAW
    return Caution.WAIT if evidence.probing else Caution.SEND


def may_hedge(evidence: Evidence, shards: int, is_relay_silent: bool) -> bool:
    """Tell whether a late shard of a query may be hedged.

    Parameters
    ----------
    shards : int
        Of the query; with few, none may have answered by chance.
    is_relay_silent : bool
        Whether the shard was sent through a relay that has not reported, so
        that the relay may be the cause.
    """
    if decide(evidence) is not Caution.SEND:
        return False
    few = shards < hedging.MIN_COMPARED_SHARDS
    return evidence.answered or is_relay_silent or few
