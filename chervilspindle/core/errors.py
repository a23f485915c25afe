"""The closed list of error kinds and the answer that each one gets.

Callers decide from an answer whether a request may be sent again, so the
mapping lives in one table: no other module picks a status code.
"""

import enum
import typing


class ErrorKind(enum.Enum):
    """Every reason for which a request or a shard gets no result."""

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
    NOT_OWNER = "not_owner"
    SNAPSHOT_GONE = "snapshot_gone"
    DEADLINE = "deadline"
    CONNECTION_LOST = "connection_lost"
    ENDPOINT_FAILED = "endpoint_failed"
    INCOMPLETE = "incomplete"
    CANCELLED = "cancelled"
    INTERNAL = "internal"


class Answer(typing.NamedTuple):
    """How an error kind is answered.

    Parameters
    ----------
    status : int
        HTTP status code.
    not_run : bool
        Whether the kind by itself proves that nothing was executed.
    retry : bool
        Whether the same request may succeed later, so that the answer
        carries a Retry-After header.
    title : str
        Short summary for people.
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
    """Return the kinds as the words that messages carry."""
    return frozenset(kind.value for kind in kinds)


class Problem(typing.NamedTuple):
    """One error as data, in the shape of RFC 9457 problem details.

    Parameters
    ----------
    kind : ErrorKind
        Entry of the closed list.
    detail : str
        What went wrong, with the place in the input where there is one.
    not_run : bool
        True only if nothing was executed for the request.
    retry_after_ms : int
        When to come back, in milliseconds; 0 for no advice.
    request_id : str
        Identifier of the request, empty if none was given yet.
    source : str
        Place of the mistake, such as ``customers[2].plan``.
    """

    kind: ErrorKind
    detail: str
    not_run: bool
    retry_after_ms: int = 0
    request_id: str = ""
    source: str = ""


class ProblemError(Exception):
    """Carries a `Problem` through code that reports by exceptions."""

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
    """Build a problem with the defaults of the kind's table row.

    A problem is marked as not run only if the table or the caller says so;
    kinds that may be retried always get a time to come back.
    """
    answer = ANSWER_BY_KIND[kind]
    if not_run is None:
        not_run = answer.not_run
    if answer.retry and retry_after_ms <= 0:
        retry_after_ms = DEFAULT_RETRY_AFTER_MS
    return Problem(kind, detail, not_run, retry_after_ms, request_id, source)


def build_error(kind: ErrorKind, detail: str, **fields) -> ProblemError:
    """Build an exception for `build_problem` of the same arguments."""
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
