"""State of the queries that an entry is running."""

import typing

from chervilspindle.query import coverage

REPLY_GRACE_MS = 15.0  # reserved for sending the answer to the caller


class QueryRequest(typing.NamedTuple):
    """A query that was admitted.

    Parameters
    ----------
    request_id, customer : str
    weight : float
    rank : int
    services : tuple of str
    key : str or None
        Key that the query asks for; None if it needs all shards.
    encoded_query : bytes
        JSON, as the caller sent it.
    deadline_ms : float
    partial : bool
    """

    request_id: str
    customer: str
    weight: float
    rank: int
    services: tuple[str, ...]
    key: str | None
    encoded_query: bytes
    deadline_ms: float
    partial: bool


class Answer(typing.NamedTuple):
    """Results of a query; `missing` lists the key ranges without a result."""

    request_id: str
    snapshot: int
    results: tuple[tuple[str, str, bytes], ...]
    missing: tuple[coverage.MissingRange, ...]


class Send(typing.NamedTuple):
    """A part that was sent and is not yet answered."""

    endpoint_id: str
    epoch: int
    address: str
    sent_ms: float


class ShardState:
    """One shard of a running query.

    `outstanding` maps the number of a send within its attempt to a `Send`;
    `tried` lists the endpoint of each send, also of repeated ones; `refused`
    counts those that owners refused without running them.
    """

    __slots__ = (
        "plan",
        "index",
        "outstanding",
        "tried",
        "refused",
        "value",
        "settled",
        "reason",
        "may_have_run",
        "retry_after_ms",
        "first_sent_ms",
    )

    def __init__(self, plan: coverage.Shard, index: int):
        self.plan = plan
        self.index = index
        self.outstanding = {}
        self.tried = []
        self.refused = 0
        self.value = None
        self.settled = False
        self.reason = ""
        self.may_have_run = False
        self.retry_after_ms = 0
        self.first_sent_ms = 0.0

    def count_run_sends(self) -> int:
        """Return how many sends have run or may still run."""
        return len(self.tried) - self.refused


class RunningQuery:
    """A query that is admitted and not yet answered.

    `excluded` holds snapshots that endpoints no longer had;
    `earlier_attempt_ran` tells that a part of an earlier attempt may have
    run; `shard_by_send` maps the number of a send to its shard.
    """

    __slots__ = (
        "request",
        "deferred",
        "started_ms",
        "due_ms",
        "attempt",
        "excluded",
        "plan",
        "shards",
        "shard_by_send",
        "unsettled_count",
        "earlier_attempt_ran",
        "hedges",
        "retries",
    )

    def __init__(self, request, deferred, now):
        self.request = request
        self.deferred = deferred
        self.started_ms = now
        self.due_ms = now + request.deadline_ms - REPLY_GRACE_MS
        self.attempt = 0
        self.excluded = frozenset()
        self.plan = None
        self.shards = ()
        self.shard_by_send = {}
        self.unsettled_count = 0
        self.earlier_attempt_ran = False
        self.hedges = 0
        self.retries = 0
