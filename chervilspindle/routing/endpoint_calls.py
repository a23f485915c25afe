"""Sends to endpoints: what all routed requests have in common."""

import logging
import typing

from chervilspindle.routing import documents
from chervilspindle.routing import endpoints
from chervilspindle.routing import policy
from chervilspindle.routing import retry_budget
from chervilspindle.routing import selection
from chervilspindle.wire import endpoint_http
from chervilspindle.wire import http_server

LOGGER = logging.getLogger(__name__)

NEVER_SENT = (
    endpoint_http.Ending.NOT_SENT,
    endpoint_http.Ending.WITHDRAWN,
)
OWN_CHOICE = (
    endpoint_http.Ending.CANCELLED,
    endpoint_http.Ending.WITHDRAWN,
)
GIVE_UP_MARGIN_S = 0.03  # lets an endpoint's own refusal at its deadline in
ABANDON_DELAY_S = 0.3  # work that ends sooner costs less than a connection


class HeaderNames(typing.NamedTuple):
    """Names of the headers between callers, this system and endpoints.

    Parameters
    ----------
    request_id : str
        Id of one attempt of a caller.
    deadline_ms : str
        How long the sender waits.
    stamp : str
        Signature of an endpoint's answer.
    expected_endpoint : str
        Endpoint that alone may run a request.
    load : str
        Load of an endpoint: running, waiting, slots.
    not_run : str
        States that an endpoint did not run a request.
    part_stamps : str
        Signatures of the parts in an answer.
    missing_parts : str
        Number of shards that an answer does not cover.
    """

    request_id: str
    deadline_ms: str
    stamp: str
    expected_endpoint: str
    load: str
    not_run: str
    part_stamps: str
    missing_parts: str


class Names(typing.NamedTuple):
    """`HeaderNames` as sent, and in lower case as compared."""

    sent: HeaderNames
    lower: HeaderNames


def build_names(names: HeaderNames) -> Names:
    """Encode header names."""
    return Names(
        HeaderNames(*(n.encode() for n in names)),
        HeaderNames(*(n.lower().encode() for n in names)),
    )


class LatencyEstimates:
    """How this process keeps up; a mutable row.

    Attributes
    ----------
    usual_ms_by_route : dict of str to float
        Usual time of the parts of each route.
    lag_ms : float
        How late answers that are due at some time usually are.

    Parameters
    ----------
    core_share : float
        Part of a core that the process has.
    link_mbps : float
        Bandwidth of the VM's link, in Mbit/s.
    """

    __slots__ = ("usual_ms_by_route", "lag_ms", "core_share", "link_mbps")

    def __init__(self, core_share: float = 1.0, link_mbps: float = 1000.0):
        self.part_ms_by_route = {}
        self.lag_ms = policy.FIRST_LAG_MS / core_share
        self.core_share = core_share
        self.link_mbps = link_mbps

    def compute_answer_ms(self, route: documents.Route) -> float:
        """Return how long it takes to build and send an answer, in ms."""
        return policy.compute_answer_ms(
            len(route.shards), self.core_share, self.link_mbps
        )


class Context(typing.NamedTuple):
    """What all routed requests of a process share.

    Parameters
    ----------
    loop : asyncio.AbstractEventLoop
    names : Names
    table : endpoints.EndpointTable
    budget : retry_budget.RetryBudget
    pace : Pace
    metrics : RoutingMetrics
    random : random.Random
    relays : relaying.RelayClient
    shedder : overload.Shedder
    """

    loop: object
    names: Names
    table: endpoints.EndpointTable
    budget: retry_budget.RetryBudget
    latency_estimates: LatencyEstimates
    metrics: object
    random: object
    relays: object
    shedder: object


class Incoming(typing.NamedTuple):
    """A caller's request with its route.

    Parameters
    ----------
    exchange : http_server.Exchange
    route : documents.Route
    version : int
        Version of the document that named the route.
    request_id : bytes
    caller_ms : float or None
        How long the caller waits.
    """

    exchange: http_server.Exchange
    route: documents.Route
    version: int
    request_id: bytes
    caller_ms: float | None


class RequestTemplate:
    """The request as endpoints get it, but for what differs by send.

    Parameters
    ----------
    head, tail : bytes
        What stands before and after that.
    names : HeaderNames
        As sent.
    """

    __slots__ = ("head", "tail", "names")

    def __init__(self, head: bytes, tail: bytes, names: HeaderNames):
        self.head = head
        self.tail = tail
        self.names = names

    def build(self, endpoint_id: str, left_ms: float) -> bytes:
        """Return the bytes for one endpoint."""
        return b"%s%s: %d\r\n%s: %s%s" % (
            self.head,
            self.names.deadline_ms,
            max(1, int(left_ms)),
            self.names.expected_endpoint,
            endpoint_id.encode(),
            self.tail,
        )


def build_message(incoming: Incoming, names: Names) -> RequestTemplate:
    """Return a caller's request as endpoints get it."""
    request = incoming.exchange.request
    kept = select_headers(request.headers, names.lower)
    lines = [b"%s %s HTTP/1.1\r\n" % (request.method, request.target)]
    lines += [b"%s: %s\r\n" % header for header in kept]
    if request.body or request.method in (b"POST", b"PUT", b"PATCH"):
        lines.append(b"Content-Length: %d\r\n" % len(request.body))
    lines.append(b"%s: %s\r\n" % (names.sent.request_id, incoming.request_id))
    tail = b"\r\n\r\n" + request.body
    return RequestTemplate(b"".join(lines), tail, names.sent)


def select_headers(headers, lower: HeaderNames):
    """Return the headers that are passed on."""
    dropped = set(http_server.HOP_BY_HOP)
    dropped.update(
        (lower.request_id, lower.deadline_ms, lower.expected_endpoint)
    )
    for name, value in headers:
        if name == b"connection":
            dropped.update(t.strip().lower() for t in value.split(b","))
    return tuple(h for h in headers if h[0] not in dropped)


class Verdict(typing.NamedTuple):
    """What an endpoint's answer means for a request.

    Parameters
    ----------
    good : bool
    ran : bool
        False only if the endpoint certainly has not run the request.
    reason : str
        For logs and counters.
    """

    good: bool
    ran: bool
    reason: str


def judge_answer(answer: endpoint_http.Answer, lower: HeaderNames) -> Verdict:
    """Judge the end of one send."""
    ending = answer.ending
    if ending in NEVER_SENT:
        return Verdict(False, False, ending.value)
    if ending is not endpoint_http.Ending.ANSWERED:
        return Verdict(False, True, ending.value)
    if answer.status == 421:
        return Verdict(False, False, "other_endpoint")
    if answer.get_header(lower.not_run) is not None:
        return Verdict(False, False, f"refused_{answer.status}")
    if answer.get_header(b"content-encoding") not in (None, b"identity"):
        return Verdict(False, True, "encoded")
    if 200 <= answer.status < 300:
        if answer.get_header(lower.stamp) is None:
            return Verdict(False, True, "unsigned")
        return Verdict(True, True, "ok")
    return Verdict(False, True, f"status_{answer.status}")


def build_call(
    message: RequestTemplate,
    request_id: bytes,
    endpoint_id: str,
    deadline_s: float,
    now: float,
    on_end,
    reusable: bool = True,
) -> endpoint_http.Call:
    """Build a send to one endpoint with what is left of the time."""
    return endpoint_http.Call(
        message.build(endpoint_id, (deadline_s - now) * 1000.0),
        request_id,
        deadline_s + GIVE_UP_MARGIN_S,
        on_end,
        reusable,
    )


def take_answer(
    target: endpoints.Target,
    call: endpoint_http.Call,
    answer: endpoint_http.Answer,
    context: Context,
) -> Verdict:
    """Judge the end of a send and take in what it says of its endpoint."""
    verdict = judge_answer(answer, context.names.lower)
    now = context.loop.time()
    health = target.health
    lower = context.names.lower
    load = answer.get_header(lower.load) if answer.headers else None
    if load is not None:
        parsed = parse_load(load)
        if parsed is not None:
            selection.note_load(health, *parsed, now)
    if verdict.good:
        selection.note_answer(health, (now - call.sent_s) * 1000.0, now)
    elif verdict.reason == "other_endpoint":
        health.refused = True
    elif answer.ending not in OWN_CHOICE:
        selection.note_failure(health, now)
    return verdict


def parse_load(value: bytes) -> tuple[int, int, int] | None:
    """Parse running, waiting and slots; None if it can't be read."""
    try:
        running, waiting, slots = map(int, value.split(b","))
    except ValueError:
        return None
    return running, waiting, slots
