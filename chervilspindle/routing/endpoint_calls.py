"""Calls to endpoints: building requests and evaluating answers.

Also holds the context that all routed requests of a process share.
"""

import logging
import re
import typing

from chervilspindle.core import logs
from chervilspindle.policy import stated_speed
from chervilspindle.routing import documents
from chervilspindle.routing import endpoints
from chervilspindle.routing import permission
from chervilspindle.routing import rate_permits
from chervilspindle.routing import request_timing
from chervilspindle.routing import retry_budget
from chervilspindle.routing import selection
from chervilspindle.wire import endpoint_http
from chervilspindle.wire import http_server
from chervilspindle.wire import receive_limits

LOGGER = logging.getLogger(__name__)

# Endings in which the request certainly never reached the endpoint.
NOT_SENT_ENDINGS = (
    endpoint_http.Ending.NOT_SENT,
    endpoint_http.Ending.WITHDRAWN,
    endpoint_http.Ending.HELD_BACK,
    endpoint_http.Ending.CUT_OFF,
)
# Endings caused by this process, which say nothing about the endpoint.
LOCAL_ENDINGS = (
    endpoint_http.Ending.CANCELLED,
    endpoint_http.Ending.WITHDRAWN,
    endpoint_http.Ending.HELD_BACK,
    endpoint_http.Ending.CUT_OFF,
    endpoint_http.Ending.RELAY_LOST,
)
# Time after the deadline for an endpoint's own refusal to arrive.
DEADLINE_GRACE_S = 0.03
# Cancelling costs a connection, which is more than work that ends within
# this time.
CALLER_LEFT_CANCEL_DELAY_S = 0.3
# Longest wait for a permit, as a share of the objective, or of the time left
# without one: the answer is to arrive in time.
MAX_PERMIT_WAIT_SHARE = 0.5
STAMP_PATTERN = re.compile(rb"[!-+\--~]+")  # visible ASCII but the comma
# Three numbers, bounded so that one endpoint can't state an absurd load. Later
# versions of endpoints add further fields, so anything may follow.
LOAD_PATTERN = re.compile(
    rb"\s*(\d{1,6})\s*,\s*(\d{1,6})\s*,\s*(\d{1,6})"
    rb"(?:\s*,([^,]*)(?:,.*)?|[;\s].*)?",
    re.DOTALL,
)
# A request up to this size is copied for each send, which takes less time than
# a second write to its connection.
MAX_COPIED_BYTES = 4 * 1024
PERMIT_LIFETIME_S = 0.5  # of a permit that waits for a connection
# Answers that were none, one after the other, before an endpoint may be paused
# for them.
MIN_INVALID_IN_ROW = 3
# Reasons of outcomes.
HELD_BACK = endpoint_http.Ending.HELD_BACK.value
BROKEN = endpoint_http.Ending.BROKEN.value
CUT_OFF = endpoint_http.Ending.CUT_OFF.value
RELAY_LOST = endpoint_http.Ending.RELAY_LOST.value
# Reasons of sends that this VM's own links kept from the endpoint, if it is
# cut off.
LINK_REASONS = (
    CUT_OFF,
    endpoint_http.Ending.NOT_SENT.value,
    endpoint_http.Ending.WITHDRAWN.value,
)


class HeaderNames(typing.NamedTuple):
    """Names of the headers used with callers and endpoints.

    Parameters
    ----------
    request_id : str
        Id of one attempt by a caller.
    deadline_ms : str
        How long the sender waits.
    stamp : str
        Signature of an endpoint's answer.
    expected_endpoint : str
        Id of the only endpoint that may run the request.
    load : str
        Load of an endpoint: running, waiting and slots.
    limit : str
        Requests per second that an endpoint takes from all VMs together.
    leaving : str
        States that an endpoint is leaving.
    not_run : str
        States that an endpoint did not run a request.
    part_stamps : str
        Signatures of the parts in an answer.
    missing_parts : str
        Number of shards that an answer does not cover.
    account : str
        Name of the client account; set by the entry, never by callers.
    cold_left_ms : str
        How long an endpoint stays cold, in its health answers.
    """

    request_id: str
    deadline_ms: str
    stamp: str
    expected_endpoint: str
    load: str
    limit: str
    leaving: str
    not_run: str
    part_stamps: str
    missing_parts: str
    account: str
    cold_left_ms: str


class EncodedHeaderNames(typing.NamedTuple):
    """`HeaderNames` as bytes: as sent, and in lower case to compare."""

    sent: HeaderNames
    lower: HeaderNames


def encode_header_names(names: HeaderNames) -> EncodedHeaderNames:
    """Encode header names to bytes."""
    return EncodedHeaderNames(
        HeaderNames(*(n.encode() for n in names)),
        HeaderNames(*(n.lower().encode() for n in names)),
    )


class LatencyEstimates:
    """Latencies of parts and of this process, for `request_timing`; mutable.

    Attributes
    ----------
    part_ms_by_route : dict of str to float
        Smoothed part time of each route.
    lag_ms : float
        Smoothed delay of answer timers in this process.

    Parameters
    ----------
    core_share : float
        Share of a CPU core that the process may use.
    link_mbps : float
        Bandwidth of the VM's link, in Mbit/s.
    """

    __slots__ = ("part_ms_by_route", "lag_ms", "core_share", "link_mbps")

    def __init__(self, core_share: float = 1.0, link_mbps: float = 1000.0):
        self.part_ms_by_route = {}
        self.lag_ms = request_timing.INITIAL_LAG_CORE_MS / core_share
        self.core_share = core_share
        self.link_mbps = link_mbps

    def estimate_answer_send_ms(self, route: documents.Route) -> float:
        """Return the time to build and send an answer, in ms."""
        return request_timing.estimate_answer_send_ms(
            len(route.shards), self.core_share, self.link_mbps
        )


class Context(typing.NamedTuple):
    """State and services shared by all routed requests of a process.

    Parameters
    ----------
    loop : asyncio.AbstractEventLoop
    names : EncodedHeaderNames
    table : endpoints.EndpointTable
    budget : retry_budget.RetryBudget
    latency_estimates : LatencyEstimates
    metrics : RoutingMetrics
    random : random.Random
    relays : relayed_query.RelayClient
    shedder : overload.Shedder
    permits : rate_permits.PermitClient
    quarantine : quarantine.Quarantine
    reachability : reachability.Reachability
    drain : drain.Drain
    quotas : quota_permits.QuotaClient or None
        None where quotas of client accounts are not in force.
    caller_budget : caller_limits.CallerBudget or None
        Shared by all that is held for callers; set by `build_context`.
    """

    loop: object
    names: EncodedHeaderNames
    table: endpoints.EndpointTable
    budget: retry_budget.RetryBudget
    latency_estimates: LatencyEstimates
    metrics: object
    random: object
    relays: object
    shedder: object
    permits: object
    quarantine: object
    reachability: object
    drain: object
    quotas: object = None
    caller_budget: object = None


class IncomingRequest(typing.NamedTuple):
    """A caller's request and its route.

    Parameters
    ----------
    exchange : http_server.Exchange
    route : documents.Route
    version : int
        Version of the document that the route is from.
    request_id : bytes
    caller_ms : float or None
        How long the caller waits.
    account : documents.Account or None
        Client account of the caller; None on routes that need no key, and
        where the document has no accounts.
    is_trial : bool
        Whether its content is refused otherwise, see `quarantine`. It reaches
        one endpoint until that has answered.
    """

    exchange: http_server.Exchange
    route: documents.Route
    version: int
    request_id: bytes
    caller_ms: float | None
    account: documents.Account | None = None
    is_trial: bool = False

    def get_priority(self) -> int:
        """Return the rank of the request; 0 is the most urgent."""
        account = self.account
        if account is not None and account.priority is not None:
            return account.priority
        return self.route.priority

    def get_longest_ms(self) -> float:
        """Return the longest time until the answer."""
        if self.caller_ms is None:
            return self.route.timeout_ms
        return min(self.route.timeout_ms, self.caller_ms)


class RequestTemplate:
    """A request to endpoints without the headers that differ by send.

    Parameters
    ----------
    head, tail : bytes
        The request before and after these headers.
    names : HeaderNames
        As sent.

    Attributes
    ----------
    shared_tail : bytes
        The tail if all sends share it, empty if each has a copy.
    """

    __slots__ = ("head", "tail", "names", "shared_tail")

    def __init__(self, head: bytes, tail: bytes, names: HeaderNames):
        self.head = head
        self.tail = tail
        self.names = names
        self.shared_tail = tail if len(tail) > MAX_COPIED_BYTES else b""

    def build(self, endpoint_id: str, remaining_ms: float) -> bytes:
        """Return the request to one endpoint up to the shared tail."""
        return b"%s%s: %d\r\n%s: %s%s" % (
            self.head,
            self.names.deadline_ms,
            max(1, int(remaining_ms)),
            self.names.expected_endpoint,
            endpoint_id.encode(),
            b"" if self.shared_tail else self.tail,
        )

    def count_bytes(self) -> int:
        """Return the memory of the template, in bytes."""
        return len(self.head) + len(self.tail)

    def clear(self):
        """Drop the request, as nothing is sent from now on.

        Requests and their sends refer to each other, so without this the body
        would stay in memory until a garbage collection.
        """
        self.tail = self.shared_tail = b""


def build_request_template(
    incoming: IncomingRequest, names: EncodedHeaderNames
) -> RequestTemplate:
    """Build the template for sending a caller's request to endpoints."""
    request = incoming.exchange.request
    forwarded = select_headers(request.headers, names.lower)
    account = incoming.account
    if account is not None:
        replaced = (b"authorization", names.lower.account)
        forwarded = tuple(h for h in forwarded if h[0] not in replaced)
    lines = [b"%s %s HTTP/1.1\r\n" % (request.method, request.target)]
    lines += [b"%s: %s\r\n" % header for header in forwarded]
    if request.body or request.method in (b"POST", b"PUT", b"PATCH"):
        lines.append(b"Content-Length: %d\r\n" % len(request.body))
    if account is not None:
        name = account.name.encode()
        lines.append(b"%s: %s\r\n" % (names.sent.account, name))
    lines.append(b"%s: %s\r\n" % (names.sent.request_id, incoming.request_id))
    tail = b"\r\n\r\n" + request.body
    return RequestTemplate(b"".join(lines), tail, names.sent)


def select_headers(headers, lower: HeaderNames):
    """Return the headers that are forwarded to endpoints."""
    dropped = set(http_server.HOP_BY_HOP)
    dropped.update(
        (lower.request_id, lower.deadline_ms, lower.expected_endpoint)
    )
    for name, value in headers:
        if name == b"connection":
            dropped.update(t.strip().lower() for t in value.split(b","))
    return tuple(h for h in headers if h[0] not in dropped)


class SendOutcome(typing.NamedTuple):
    """Result of one send to an endpoint.

    Parameters
    ----------
    succeeded : bool
    may_have_run : bool
        False only if the endpoint certainly has not run the request.
    reason : str
        For logs and metrics.
    """

    succeeded: bool
    may_have_run: bool
    reason: str


def classify_answer(
    answer: endpoint_http.Answer, lower: HeaderNames
) -> SendOutcome:
    """Classify the end of one send."""
    ending = answer.ending
    if ending in NOT_SENT_ENDINGS:
        return SendOutcome(False, False, ending.value)
    if ending is not endpoint_http.Ending.ANSWERED:
        return SendOutcome(False, True, ending.value)
    if answer.status == 421:
        return SendOutcome(False, False, "other_endpoint")
    if answer.get_header(lower.not_run) is not None:
        return SendOutcome(False, False, f"refused_{answer.status}")
    if answer.get_header(b"content-encoding") not in (None, b"identity"):
        return SendOutcome(False, True, "encoded")
    if 200 <= answer.status < 300:
        if not is_stamp(answer.get_header(lower.stamp)):
            return SendOutcome(False, True, "unsigned")
        return SendOutcome(True, True, "ok")
    return SendOutcome(False, True, f"status_{answer.status}")


def is_stamp(value: bytes | None) -> bool:
    """Tell whether a header can be a signature in a list of signatures."""
    return value is not None and STAMP_PATTERN.fullmatch(value) is not None


def build_call(
    template: RequestTemplate,
    request_id: bytes,
    endpoint_id: str,
    deadline_s: float,
    now: float,
    on_end,
    reusable: bool = True,
    max_body_bytes: int = receive_limits.MAX_BODY_BYTES,
) -> endpoint_http.Call:
    """Build the call to one endpoint with the remaining time."""
    return endpoint_http.Call(
        template.build(endpoint_id, (deadline_s - now) * 1000.0),
        request_id,
        deadline_s + DEADLINE_GRACE_S,
        on_end,
        reusable,
        max_body_bytes,
        template.shared_tail,
    )


class Send(typing.NamedTuple):
    """One send to an endpoint.

    Parameters
    ----------
    target : endpoints.Target
    call : endpoint_http.Call
    template : RequestTemplate
    cause : str
        For logs: why the endpoint is sent to.
    max_wait_s : float
        How long the send may wait for a permit.
    """

    target: endpoints.Target
    call: endpoint_http.Call
    template: RequestTemplate
    cause: str
    max_wait_s: float


def submit(send: Send, context: Context):
    """Send a call to an endpoint, with a permit if that needs one.

    Without a permit, or if the endpoint wants nothing now, the call ends as
    `Ending.HELD_BACK`.
    """
    now = context.loop.time()
    target = send.target
    unreached_s = target.pool.unreached_s
    permission.suspect_cold(target.restrictions, unreached_s, now)
    verdict = permission.evaluate(target.restrictions, now)
    send.call.pool = target.pool
    if send.cause == "hedge" and verdict.reason == permission.COLD:
        _hold_back(send, verdict.reason, context)
        return
    if not verdict.needs_permit:
        if verdict.allowed:
            send.target.pool.submit(send.call)
        else:
            _hold_back(send, verdict.reason, context)
        return

    def finish(granted):
        _finish_permit(send, granted, context)

    context.permits.acquire(send.target, send.max_wait_s, finish)


def _finish_permit(send, granted, context):
    call = send.call
    target = send.target
    if call.ended:
        return
    now = context.loop.time()
    if not granted:
        _hold_back(send, "limit", context)
        return
    verdict = permission.evaluate(target.restrictions, now)
    if not verdict.allowed and not verdict.needs_permit:
        _hold_back(send, verdict.reason, context)
        return
    remaining_ms = (call.deadline_s - DEADLINE_GRACE_S - now) * 1000.0
    call.data = send.template.build(target.endpoint.endpoint_id, remaining_ms)
    call.send_by_s = now + PERMIT_LIFETIME_S
    if permission.is_limited_by_cold(target.restrictions, now):
        call.send_by_s = now + rate_permits.COLD_PERMIT_LIFETIME_S
    permission.record_send(target.restrictions, send.cause, now)
    target.pool.submit(call)


def _hold_back(send, reason, context):
    context.metrics.count_held_back(reason)
    answer = endpoint_http.Answer(endpoint_http.Ending.HELD_BACK)
    send.target.pool.end(send.call, answer)


def compute_max_wait_s(
    objective_ms: float, deadline_s: float, now: float
) -> float:
    """Return how long a request may wait for a permit, in s.

    Parameters
    ----------
    objective_ms : float
        Latency objective; 0 if there is none.
    deadline_s, now : float
        Loop times.
    """
    remaining_s = max(0.0, deadline_s - now)
    if objective_ms:
        remaining_s = min(remaining_s, objective_ms / 1000.0)
    return MAX_PERMIT_WAIT_SHARE * remaining_s


def handle_answer(
    target: endpoints.Target,
    call: endpoint_http.Call,
    answer: endpoint_http.Answer,
    context: Context,
) -> SendOutcome:
    """Classify the end of a send and update the endpoint's health."""
    outcome = classify_answer(answer, context.names.lower)
    now = context.loop.time()
    health = target.health
    lower = context.names.lower
    load = answer.get_header(lower.load) if answer.headers else None
    if load is not None:
        _record_load(target, load, now, context)
    if answer.ending is endpoint_http.Ending.ANSWERED:
        if outcome.reason != "other_endpoint":
            permission.record_limit(
                target.restrictions,
                answer.get_header(lower.limit),
                call.sent_s,
                now,
            )
            _record_notices(target, answer, context)
    if outcome.succeeded:
        selection.record_success(health, (now - call.sent_s) * 1000.0, now)
    elif outcome.reason == "other_endpoint":
        health.misdirected = True
    elif answer.ending not in LOCAL_ENDINGS:
        selection.record_failure(health, now)
        if answer.ending is endpoint_http.Ending.INVALID:
            _pause_invalid(target, now, context)
    return outcome


def _pause_invalid(target, now, context):
    """Pause an endpoint whose answers are none if these take too long."""
    pool = target.pool
    if pool.invalid_in_row < MIN_INVALID_IN_ROW:
        return
    pause_s = pool.receive_budget.invalid_time.compute_pause_s(now)
    if pause_s > 0.0:
        permission.pause(
            target.restrictions, pause_s, "invalid", now, context.random
        )
        context.table.hold_back_waiting(target, permission.PAUSE)


def _record_load(target, value, now, context):
    """Record the load and the speed that an endpoint states."""
    health = target.health
    stated = parse_load(value)
    if stated is not None:
        context.table.record_load(
            target, stated.running, stated.waiting, stated.slots
        )
        if context.shedder.in_force:
            context.shedder.record_load(
                target.endpoint.service, health.load / health.slots, now
            )
        if stated.slowness is not None:
            selection.record_slowness(
                health, stated.slowness, context.table.persistence, now
            )
        if stated.slowness is not None or stated.speed is None:
            return
    context.metrics.count_event(
        "malformed-load" if stated is None else "malformed-speed"
    )
    # An endpoint that states a bad value does so with each answer.
    if not health.has_misstated:
        health.has_misstated = True
        logs.log_decision(
            "endpoint-load-malformed",
            endpoint=target.endpoint.endpoint_id,
            value=logs.clip_header(value),
        )


def is_link_failure(reason: str, context: Context) -> bool:
    """Tell whether a send did not leave this VM or another, cut off."""
    if reason == CUT_OFF:
        return True
    return context.reachability.is_cut_off and reason in LINK_REASONS


def _record_notices(target, answer, context):
    """Record whether the endpoint is leaving or asks for a pause."""
    restrictions = target.restrictions
    now = context.loop.time()
    limit = answer.get_header(context.names.lower.limit)
    if limit is not None and permission.parse_limit(limit) is None:
        context.metrics.count_event("malformed-limit")
    leaving = answer.get_header(context.names.lower.leaving)
    permission.record_leaving(restrictions, leaving)
    if answer.status == 503:
        pause = answer.get_header(b"retry-after")
        is_read = permission.record_pause(
            restrictions, pause, now, context.random
        )
        if not is_read:
            context.metrics.count_event("ignored-retry-after")
    turned_cold = _record_cold(target, answer, now, context)
    verdict = permission.evaluate(restrictions, now)
    if turned_cold or not verdict.allowed and not verdict.needs_permit:
        context.table.hold_back_waiting(target, verdict.reason)


def _record_cold(target, answer, now, context) -> bool:
    """Record how long the endpoint says that it stays cold, if it does.

    Returns
    -------
    bool
        Whether sends have to stop that were allowed without a permit.
    """
    value = answer.get_header(context.names.lower.cold_left_ms)
    if value is None:
        return False
    left_s = permission.parse_cold_left_s(value)
    if left_s is None:
        context.metrics.count_event("malformed-cold-time")
        return False
    return permission.record_cold(target.restrictions, left_s, now)


class StatedLoad(typing.NamedTuple):
    """What an endpoint states of its load.

    Parameters
    ----------
    running, waiting, slots : int
    speed : bytes or None
        As stated; None if there is no such field.
    slowness : float or None
        Time that work takes, 1 if usual; None if not stated or malformed.
    """

    running: int
    waiting: int
    slots: int
    speed: bytes | None = None
    slowness: float | None = None


def parse_load(value: bytes) -> StatedLoad | None:
    """Parse what an endpoint states of its load.

    The speed is not needed, and fields after it are ignored.

    Returns
    -------
    StatedLoad or None
        None if one of the first three figures is malformed.
    """
    match = LOAD_PATTERN.fullmatch(value)
    if match is None:
        return None
    running, waiting, slots, speed = match.groups()
    slowness = None
    if speed is not None:
        slowness = stated_speed.parse_slowness(speed)
    return StatedLoad(int(running), int(waiting), int(slots), speed, slowness)
