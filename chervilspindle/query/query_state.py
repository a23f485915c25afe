"""Rows of the queries that an entry is gathering."""

import typing

from chervilspindle.query import coverage

REPLY_GRACE_MS = 15.0  # kept for the way of the answer to the caller


class QueryRequest(typing.NamedTuple):
    """An admitted caller's query."""

    request_id: str
    customer: str
    weight: float
    rank: int
    services: tuple[str, ...]
    query: dict
    encoded_query: bytes
    deadline_ms: float
    partial: bool


class Answer(typing.NamedTuple):
    """A whole answer; `missing` tells what it does not cover."""

    request_id: str
    snapshot: int
    results: tuple[tuple[str, str, bytes], ...]
    missing: tuple[coverage.MissingRange, ...]


class Send(typing.NamedTuple):
    """One part that was sent and has no reply yet."""

    endpoint_id: str
    epoch: int
    address: str
    sent_ms: float


class ShardState:
    """One shard of a running query; `outstanding` maps numbers to sends."""

    __slots__ = (
        "plan",
        "index",
        "outstanding",
        "tried",
        "value",
        "settled",
        "reason",
        "may_have_run",
        "retry_after_ms",
        "sent_ms",
    )

    def __init__(self, plan: coverage.Shard, index: int):
        self.plan = plan
        self.index = index
        self.outstanding = {}
        self.tried = []
        self.value = None
        self.settled = False
        self.reason = ""
        self.may_have_run = False
        self.retry_after_ms = 0
        self.sent_ms = 0.0


class RunningQuery:
    """One query between its admission and its answer."""

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
