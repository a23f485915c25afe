"""HTTP interface of an entry for callers, endpoints and operators.

It also serves the health, readiness and metrics paths for the platform.
"""

import functools
import json
import logging
import math

import klein
import msgspec
from twisted.internet import defer
from twisted.web import http
from twisted.web import server
from werkzeug import exceptions as werkzeug_exceptions

from chervilspindle.config import jsonc
from chervilspindle.config import lists as lists_module
from chervilspindle.config import tokens
from chervilspindle.core import endpoint_checks
from chervilspindle.core import errors
from chervilspindle.core import json_limits
from chervilspindle.core import rows
from chervilspindle.query import coverage
from chervilspindle.query import entry as entry_module
from chervilspindle.query import requests
from chervilspindle.wire import exchange_request
from chervilspindle.wire import http_server
from chervilspindle.wire import reactor_server

LOGGER = logging.getLogger(__name__)

MAX_BODY_BYTES = 4 * 1024 * 1024
MAX_HEADER_BYTES = 32 * 1024
TIMEOUT_S = 120.0  # of an idle connection, and of a request being sent
PROBLEM_TYPE = "application/problem+json"
MAX_HOLDINGS = 1000
MAX_NAME_CHARACTERS = 200
MAX_NUMBER = json_limits.MAX_EXACT_INTEGER
RANGE_BY_FIELD = {
    "slots": (1, endpoint_checks.MAX_SLOTS),
    "connections": (1, MAX_NUMBER),
    "incarnation": (0, MAX_NUMBER),
    "sequence": (0, rows.FINAL_SEQUENCE - 1),
    "in_use": (0, MAX_NUMBER),
}


class Announcement(msgspec.Struct, forbid_unknown_fields=True):
    """Body of POST /v1/announce."""

    endpoint: str
    service: str
    address: str
    zone: str
    slots: int
    connections: int
    state: str
    holdings: list[rows.Holding]
    incarnation: int
    sequence: int
    in_use: int = 0


LIMITS = http_server.ServerLimits(
    MAX_HEADER_BYTES, MAX_BODY_BYTES, TIMEOUT_S * 1000.0, TIMEOUT_S * 1000.0
)
KIND_BY_STATUS = {
    408: errors.ErrorKind.DEADLINE,
    413: errors.ErrorKind.TOO_LARGE,
    431: errors.ErrorKind.TOO_LARGE,
    503: errors.ErrorKind.OVERLOADED,
}
SOURCE_BY_STATUS = {413: "body", 431: "header"}


def build_refusal(status: int, reason: str):
    """Return status, headers and body of a refusal, as a problem.

    Such a request was not read completely, so it has not run.
    """
    kind = KIND_BY_STATUS.get(status, errors.ErrorKind.MALFORMED)
    problem = errors.build_problem(
        kind, reason, not_run=True, source=SOURCE_BY_STATUS.get(status, "")
    )
    headers = [(b"Content-Type", PROBLEM_TYPE.encode())]
    if problem.retry_after_ms:
        headers.append((b"Retry-After", b"%d" % _round_up_s(problem)))
    body = json.dumps(errors.describe_problem(problem)).encode()
    return errors.ANSWER_BY_KIND[kind].status, tuple(headers), body


class HttpApi:
    """HTTP routes of one entry.

    Parameters
    ----------
    entry : Entry
    """

    app = klein.Klein()

    def __init__(self, entry):
        self.entry = entry
        self.operator_by_name = {
            row.name: row for row in entry.settings.operators
        }
        self.announcer_by_name = {
            row.name: row for row in entry.settings.endpoint_tokens
        }

    def build_server(
        self, reactor, timers, budget=None, max_connections=math.inf
    ) -> http_server.HttpServer:
        """Return the server to listen with.

        Parameters
        ----------
        reactor : IReactorTime
        timers : TimerService
        budget : caller_limits.CallerBudget or None
            Shared by all that the process holds for callers.
        max_connections : float
        """
        site = server.Site(self.app.resource())
        site.displayTracebacks = False
        return http_server.HttpServer(
            reactor_server.ReactorLoop(reactor),
            timers,
            "http-api",
            functools.partial(exchange_request.serve, site),
            lambda: LIMITS,
            budget,
            max_connections,
            build_refusal,
        )

    @app.route("/v1/query", methods=["POST"])
    @defer.inlineCallbacks
    def run_query(self, request):
        """Answer a query."""
        answer = yield self.entry.run_query(
            request.getHeader("authorization"), request.content.read()
        )
        return _write_bytes(request, 200, encode_answer(answer))

    @app.route("/v1/command", methods=["POST"])
    @defer.inlineCallbacks
    def run_command(self, request):
        """Run a non-idempotent request."""
        request_id, value = yield self.entry.run_command(
            request.getHeader("authorization"),
            request.getHeader("idempotency-key"),
            request.content.read(),
        )
        body = {
            "request_id": request_id,
            "outcome": "done",
            "value": msgspec.Raw(value),
        }
        return _write_bytes(request, 200, msgspec.json.encode(body))

    @app.route("/v1/announce", methods=["POST"])
    def handle_announcement(self, request):
        """Record an endpoint's announcement."""
        if self.announcer_by_name:
            self._check_token(request, self.announcer_by_name)
        body = requests.decode_body(request.content.read(), Announcement)
        endpoint = build_endpoint(body)
        self.entry.handle_announcement(endpoint, body.in_use)
        return _write_json(request, 200, {"accepted": True})

    @app.route("/v1/config", methods=["GET"])
    def show_config(self, request):
        """Return the lists of customers and plans in effect on this VM."""
        self._check_token(request, self.operator_by_name)
        if not self.entry.session.is_valid():
            raise errors.build_error(
                errors.ErrorKind.NO_LEASE, "this VM has no lease"
            )
        lists = self.entry.directory.lists
        request.setHeader("ETag", f'"{lists.revision}"')
        return _write_json(request, 200, entry_module.describe_lists(lists))

    @app.route("/v1/config", methods=["PUT"])
    @defer.inlineCallbacks
    def apply_config(self, request):
        """Replace the lists of customers and plans."""
        self._check_token(request, self.operator_by_name)
        if_revision = read_revision(request.getHeader("if-match"))
        change_id = read_change_id(request.getHeader("change-id"))
        parsed = parse_lists(request.content.read())
        reply = yield self.entry.apply_lists(parsed, if_revision, change_id)
        if not reply.accepted:
            raise errors.build_error(
                errors.ErrorKind.CONFLICT, reply.detail, source="If-Match"
            )
        request.setHeader("ETag", f'"{reply.revision}"')
        body = {"accepted": True, "revision": reply.revision}
        return _write_json(request, 200, body)

    @app.route("/v1/status", methods=["GET"])
    @defer.inlineCallbacks
    def show_status(self, request):
        """Return the status of the system."""
        self._check_token(request, self.operator_by_name)
        reply = yield self.entry.get_status()
        return _write_bytes(request, 200, reply.body)

    @app.route("/v1/evacuations", methods=["GET"])
    @defer.inlineCallbacks
    def list_evacuations(self, request):
        """Return the evacuated zones."""
        self._check_token(request, self.operator_by_name)
        reply = yield self.entry.list_evacuations()
        evacuated = [
            {"zone": e.zone, "since_ms": e.since_ms} for e in reply.evacuations
        ]
        body = {"evacuated": evacuated, "zones": list(reply.zones)}
        return _write_json(request, 200, body)

    @app.route("/v1/evacuations/<zone>", methods=["POST", "DELETE"])
    @defer.inlineCallbacks
    def change_evacuation(self, request, zone):
        """Begin or end the evacuation of a zone, once it is committed."""
        self._check_token(request, self.operator_by_name)
        if request.content.read():
            raise errors.build_error(
                errors.ErrorKind.MALFORMED,
                "a call for a zone has no body",
                source="body",
            )
        evacuated = request.method == b"POST"
        yield self.entry.set_evacuated(zone, evacuated)
        return _write_json(
            request, 200, {"zone": zone, "evacuated": evacuated}
        )

    @app.route("/v1/explain/<request_id>", methods=["GET"])
    @defer.inlineCallbacks
    def explain(self, request, request_id):
        """Return the recorded decisions for a request."""
        self._check_token(request, self.operator_by_name)
        body = yield self.entry.explain_request(request_id)
        if not body:
            raise errors.build_error(
                errors.ErrorKind.UNKNOWN_REQUEST,
                "no request with this ID is recorded",
            )
        return _write_bytes(request, 200, body)

    @app.route("/healthz", methods=["GET"])
    def show_health(self, request):
        """Report that the process is alive."""
        return _write_json(request, 200, {"alive": True})

    @app.route("/readyz", methods=["GET"])
    def show_readiness(self, request):
        """Tell the load balancer whether to route callers to this VM."""
        ready = self.entry.is_ready()
        return _write_json(request, 200 if ready else 503, {"ready": ready})

    @app.route("/metrics", methods=["GET"])
    def show_metrics(self, request):
        """Return all metrics."""
        body, headers = self.entry.metrics.render(["text/plain"])
        for name, value in headers.items():
            request.setHeader(name, value)
        return body

    @app.handle_errors(Exception)
    def answer_error(self, request, failure):
        """Answer any failure with a JSON problem document."""
        problem = read_failure(failure)
        answer = errors.ANSWER_BY_KIND[problem.kind]
        if problem.retry_after_ms:
            request.setHeader("Retry-After", str(_round_up_s(problem)))
        if problem.kind is errors.ErrorKind.DRAINING:
            # The caller then reconnects to another VM before this one closes
            # its port.
            request.setHeader("Connection", "close")
        return _write_json(
            request,
            answer.status,
            errors.describe_problem(problem),
            PROBLEM_TYPE,
        )

    def _check_token(self, request, row_by_name):
        token = requests.read_bearer(request.getHeader("authorization"))
        if tokens.verify_token(token, row_by_name) is None:
            raise errors.build_error(
                errors.ErrorKind.UNAUTHENTICATED,
                "the bearer token is not valid for this path",
                source="header Authorization",
            )


def read_failure(failure) -> errors.Problem:
    """Return the problem to report for a failure.

    Details of unexpected exceptions are logged, not returned to the caller.
    """
    if failure.check(errors.ProblemError):
        return failure.value.problem
    if failure.check(werkzeug_exceptions.HTTPException):
        return errors.build_problem(
            errors.ErrorKind.UNKNOWN_PATH,
            "the path does not exist or does not support this method",
            source="request line",
        )
    LOGGER.error(
        "request handler raised an exception: %s", failure.getTraceback()
    )
    return errors.build_problem(errors.ErrorKind.INTERNAL, "internal error")


def encode_answer(answer) -> bytes:
    """Encode the response body of a query as JSON."""
    total = len(answer.results) + len(answer.missing)
    body = {
        "request_id": answer.request_id,
        "snapshot": answer.snapshot,
        "coverage": {
            "complete": not answer.missing,
            "answered": len(answer.results),
            "total": total,
            "missing": [
                {
                    "service": row.service,
                    "shard": coverage.name_shard(row.low, row.high),
                    "reason": row.reason,
                }
                for row in answer.missing
            ],
        },
        "results": [
            {
                "service": service,
                "shard": shard,
                "value": msgspec.Raw(value),
            }
            for service, shard, value in answer.results
        ],
    }
    return msgspec.json.encode(body)


def build_endpoint(body: Announcement) -> rows.Endpoint:
    """Validate an announcement and build its row.

    Raises
    ------
    ProblemError
        MALFORMED, with the JSON path of the first invalid field as source.
    """
    for place, mistake in list_mistakes(body):
        raise errors.build_error(
            errors.ErrorKind.MALFORMED, mistake, source=f"$.{place}"
        )
    return rows.Endpoint(
        body.endpoint,
        body.service,
        body.address,
        body.zone,
        body.slots,
        body.connections,
        body.state,
        tuple(body.holdings),
        body.incarnation,
        body.sequence,
    )


def list_mistakes(body: Announcement):
    """Yield (field path, message) for each invalid field."""
    for name in ("endpoint", "service", "zone"):
        if not 0 < len(getattr(body, name)) <= MAX_NAME_CHARACTERS:
            yield name, f"must have 1 to {MAX_NAME_CHARACTERS} characters"
    try:
        endpoint_checks.parse_address(body.address)
    except ValueError as error:
        yield "address", f"must be IP:PORT: {error}"[:MAX_NAME_CHARACTERS]
    for name, (low, high) in RANGE_BY_FIELD.items():
        if not low <= getattr(body, name) <= high:
            yield name, f"must be {low} to {high}"
    if body.state not in ("warming", "ready", "draining"):
        yield "state", "must be warming, ready or draining"
    if len(body.holdings) > MAX_HOLDINGS:
        yield "holdings", f"must have at most {MAX_HOLDINGS} rows"
    for index, row in enumerate(body.holdings):
        if not 0 <= row.low < row.high <= rows.KEY_SPACE:
            yield (
                f"holdings[{index}]",
                f"must have 0 <= low < high <= {rows.KEY_SPACE}",
            )
        if not 0 <= row.snapshot <= MAX_NUMBER:
            yield f"holdings[{index}]", f"snapshot must be 0 to {MAX_NUMBER}"


def read_revision(header: str | None) -> int:
    """Return the revision of an If-Match header, -1 for ``*``."""
    text = (header or "").strip().strip('"')
    if text == "*":
        return -1
    if not text.isdigit():
        raise errors.build_error(
            errors.ErrorKind.MALFORMED,
            'must be "REVISION" or *',
            source="header If-Match",
        )
    return int(text)


def read_change_id(header: str | None) -> str:
    """Return a Change-Id header."""
    text = (header or "").strip()
    if not 0 < len(text) <= MAX_NAME_CHARACTERS:
        raise errors.build_error(
            errors.ErrorKind.MALFORMED,
            f"must have 1 to {MAX_NAME_CHARACTERS} characters",
            source="header Change-Id",
        )
    return text


def parse_lists(data: bytes) -> lists_module.ParsedLists:
    """Parse and validate both lists.

    Raises
    ------
    ProblemError
        MALFORMED, with the location of each error.
    """
    try:
        text = data.decode()
    except UnicodeDecodeError as error:
        raise errors.build_error(
            errors.ErrorKind.MALFORMED,
            "body is not valid UTF-8",
            source="body",
        ) from error
    document, mistakes = jsonc.parse_text(text, "body")
    parsed = None
    if not mistakes:
        parsed, mistakes = lists_module.build_lists(document, "body")
    if mistakes:
        raise errors.build_error(
            errors.ErrorKind.MALFORMED,
            "; ".join(jsonc.format_error(m) for m in mistakes),
            source=mistakes[0].place,
        )
    return parsed


def _round_up_s(problem) -> int:
    """Return the delay before a retry in whole seconds."""
    return -(-problem.retry_after_ms // 1000)


def _write_json(request, status, body, content_type="application/json"):
    return _write_bytes(
        request, status, json.dumps(body).encode(), content_type
    )


def _write_bytes(request, status, data, content_type="application/json"):
    request.setResponseCode(status, http.RESPONSES.get(status))
    request.setHeader("Content-Type", content_type)
    return data
