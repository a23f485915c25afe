"""The closed list of error kinds and the HTTP answer to each.

Callers decide from the answer whether a request may be retried, so the
mapping is kept in one table and no other module chooses status codes.
"""

import enum
import typing


class ErrorKind(enum.Enum):
    """All reasons for which a request or a shard has no result."""

    MALFORMED = "malformed"
    TOO_LARGE = "too_large"
    UNAUTHENTICATED = "unauthenticated"
    FORBIDDEN = "forbidden"
    UNKNOWN_SERVICE = "unknown_service"
    UNKNOWN_PATH = "unknown_path"
    UNKNOWN_REQUEST = "unknown_request"
    CONFLICT = "conflict"
    KEY_REUSED = "key_reused"
    IN_PROGRESS = "in_progress"
    OUTCOME_UNKNOWN = "outcome_unknown"
    OVER_PLAN = "over_plan"
    OVERLOADED = "overloaded"
    NO_LEASE = "no_lease"
    NO_LEADER = "no_leader"
    DRAINING = "draining"
    NO_ENDPOINT = "no_endpoint"
    ZONE_OUT = "zone_out"
    UNKNOWN_ZONE = "unknown_zone"
    NOT_OWNER = "not_owner"
    SNAPSHOT_GONE = "snapshot_gone"
    DEADLINE = "deadline"
    CONNECTION_LOST = "connection_lost"
    ENDPOINT_FAILED = "endpoint_failed"
    INCOMPLETE = "incomplete"
    CANCELLED = "cancelled"
    INTERNAL = "internal"


class Answer(typing.NamedTuple):
    """HTTP answer to an error kind.

    Parameters
    ----------
    status : int
        HTTP status code.
    not_run : bool
        Whether the kind alone proves that nothing was executed.
    retry : bool
        Whether the same request may succeed later, so that the answer
        carries a Retry-After header.
    title : str
        Short human-readable summary.
    """

    status: int
    not_run: bool
    retry: bool
    title: str


ANSWER_BY_KIND = {
    ErrorKind.MALFORMED: Answer(400, True, False, "Malformed request"),
    ErrorKind.TOO_LARGE: Answer(413, True, False, "Request too large"),
    ErrorKind.UNAUTHENTICATED: Answer(401, True, False, "Unknown token"),
    ErrorKind.FORBIDDEN: Answer(403, True, False, "Not in the plan"),
    ErrorKind.UNKNOWN_SERVICE: Answer(404, True, False, "Unknown service"),
    ErrorKind.UNKNOWN_PATH: Answer(404, True, False, "Unknown path"),
    ErrorKind.UNKNOWN_REQUEST: Answer(404, True, False, "Unknown request"),
    ErrorKind.CONFLICT: Answer(412, True, False, "Revision conflict"),
    ErrorKind.KEY_REUSED: Answer(422, True, False, "Key used before"),
    ErrorKind.IN_PROGRESS: Answer(409, False, True, "Still in progress"),
    ErrorKind.OUTCOME_UNKNOWN: Answer(504, False, True, "Outcome unknown"),
    ErrorKind.OVER_PLAN: Answer(429, True, True, "Over the plan"),
    ErrorKind.OVERLOADED: Answer(503, True, True, "Overloaded"),
    ErrorKind.NO_LEASE: Answer(503, True, True, "Cut off from control"),
    ErrorKind.NO_LEADER: Answer(503, True, True, "No control leader"),
    ErrorKind.DRAINING: Answer(503, True, True, "Shutting down"),
    ErrorKind.NO_ENDPOINT: Answer(503, True, True, "No endpoint"),
    ErrorKind.ZONE_OUT: Answer(503, True, True, "Zone evacuated"),
    ErrorKind.UNKNOWN_ZONE: Answer(404, True, False, "Unknown zone"),
    ErrorKind.NOT_OWNER: Answer(503, True, True, "Not the owner"),
    ErrorKind.SNAPSHOT_GONE: Answer(503, True, True, "Snapshot gone"),
    ErrorKind.DEADLINE: Answer(504, False, True, "Deadline exceeded"),
    ErrorKind.CONNECTION_LOST: Answer(502, False, True, "Connection lost"),
    ErrorKind.ENDPOINT_FAILED: Answer(502, False, True, "Endpoint failed"),
    ErrorKind.INCOMPLETE: Answer(503, False, True, "Incomplete answer"),
    ErrorKind.CANCELLED: Answer(499, False, False, "Cancelled"),
    ErrorKind.INTERNAL: Answer(500, False, True, "Internal error"),
}

DEFAULT_RETRY_AFTER_MS = 1000


def collect_values(*kinds: ErrorKind) -> frozenset[str]:
    """Return the wire values of error kinds."""
    return frozenset(kind.value for kind in kinds)


class Problem(typing.NamedTuple):
    """One error, with the content of RFC 9457 problem details.

    Parameters
    ----------
    kind : ErrorKind
        Kind of the error.
    detail : str
        What went wrong, with the position in the input if there is one.
    not_run : bool
        True only if nothing was executed for the request.
    retry_after_ms : int
        Delay before a retry, in milliseconds; 0 for no advice.
    request_id : str
        Identifier of the request; empty if none is assigned yet.
    source : str
        Position of the error in the input, such as
        ``customers[2].plan``.
    """

    kind: ErrorKind
    detail: str
    not_run: bool
    retry_after_ms: int = 0
    request_id: str = ""
    source: str = ""


class ProblemError(Exception):
    """Exception that carries a `Problem`."""

    def __init__(self, problem: Problem):
        super().__init__(f"{problem.kind.value}: {problem.detail}")
        self.problem = problem


def build_problem(
    kind: ErrorKind,
    detail: str,
    *,
    not_run: bool | None = None,
    retry_after_ms: int = 0,
    request_id: str = "",
    source: str = "",
) -> Problem:
    """Build a problem, with defaults from `ANSWER_BY_KIND`.

    `not_run` is true only if the table or the caller sets it. Kinds that may
    be retried always get a retry delay.
    """
    answer = ANSWER_BY_KIND[kind]
    if not_run is None:
        not_run = answer.not_run
    if answer.retry and retry_after_ms <= 0:
        retry_after_ms = DEFAULT_RETRY_AFTER_MS
    return Problem(kind, detail, not_run, retry_after_ms, request_id, source)


def build_error(kind: ErrorKind, detail: str, **fields) -> ProblemError:
    """Build an exception that carries the problem of these arguments."""
    return ProblemError(build_problem(kind, detail, **fields))


def describe_problem(problem: Problem) -> dict:
    """Return the problem as an RFC 9457 JSON object."""
    answer = ANSWER_BY_KIND[problem.kind]
    body = {
        "type": f"urn:chervilspindle:error:{problem.kind.value}",
        "title": answer.title,
        "status": answer.status,
        "detail": problem.detail,
        "kind": problem.kind.value,
        "not_run": problem.not_run,
        "request_id": problem.request_id,
    }
    if problem.retry_after_ms:
        body["retry_after_ms"] = problem.retry_after_ms
    if problem.source:
        body["source"] = problem.source
    return body
