"""Entry of routed requests: finds the route of a request and starts it.

An entry has one routing document and one table of endpoints; both are kept
current by a subscription to control. Without a document it refuses all
requests, since it can't tell unknown paths from those not yet received.
"""

import functools
import logging
import math

from chervilspindle.accounts import directory
from chervilspindle.core import logs
from chervilspindle.routing import admission_wait
from chervilspindle.routing import documents
from chervilspindle.routing import drain
from chervilspindle.routing import endpoint_calls
from chervilspindle.routing import fanout
from chervilspindle.routing import quarantine
from chervilspindle.routing import request_content
from chervilspindle.routing import request_timing
from chervilspindle.routing import single_endpoint
from chervilspindle.wire import http_server

LOGGER = logging.getLogger(__name__)

# Typical time from the start of an entry to its first document.
FIRST_DOCUMENT_S = 0.8
MIN_RETRY_AFTER_S = 0.1
MAX_LOGGED_ACCOUNTS = 8
CHALLENGE_HEADERS = ((b"WWW-Authenticate", b"Bearer"),)


class RoutingEntry:
    """Handles the requests of callers to one process.

    Parameters
    ----------
    context : endpoint_calls.Context
    """

    def __init__(self, context: endpoint_calls.Context):
        self.context = context
        self.document = None
        self.routes = None
        self.accounts = None
        self.draining = False
        self.request_by_exchange = {}  # those in progress
        self.started_s = context.loop.time()

    def update_document(self, document: documents.Document) -> bool:
        """Activate a document if it is newer than the active one.

        Returns
        -------
        bool
            Whether it was activated.
        """
        if self.document is not None:
            if document.version <= self.document.version:
                return False
        self.accounts = directory.AccountDirectory(document, self.accounts)
        self.routes = documents.RouteTable(document)
        self.context.shedder.update_document(document)
        self.document = document
        if self.context.quotas is not None:
            self.context.quotas.update_document(document)
        if self.accounts.unusable_names:
            names = self.accounts.unusable_names
            logs.log_decision(
                "accounts-ignored",
                version=document.version,
                count=len(names),
                accounts=[n[:40] for n in names[:MAX_LOGGED_ACCOUNTS]],
            )
        self.context.table.set_services(document.service_by_name)
        logs.log_decision(
            "document-in-force",
            version=document.version,
            routes=len(document.routes),
            accounts=len(document.accounts),
        )
        return True

    def is_ready(self) -> bool:
        """Tell whether callers should use this entry."""
        return self.document is not None and not self.draining

    def read_limits(self) -> http_server.ServerLimits:
        """Return the limits on connections and requests of callers."""
        limits = documents.Limits()
        if self.document is not None:
            limits = self.document.limits
        return http_server.ServerLimits(*limits)

    def handle(self, exchange: http_server.Exchange):
        """Start one request."""
        if self.routes is None:
            remaining_s = (
                self.started_s + FIRST_DOCUMENT_S - self.context.loop.time()
            )
            retry_after = b"%.2f" % max(MIN_RETRY_AFTER_S, remaining_s)
            headers = ((b"Retry-After", retry_after),)
            self._reject(exchange, 503, headers, "no_document")
            return
        request = exchange.request
        hosts = [v for name, v in request.headers if name == b"host"]
        if len(hosts) != 1:
            reason = "several_hosts" if hosts else "no_host"
            self._reject(exchange, 400, (), reason)
            return
        path = request.target.partition(b"?")[0]
        route = self.routes.match(_read_host(hosts[0]), path.decode("latin-1"))
        if route is None:
            self._reject(exchange, 404, (), "no_route")
            return
        verdict = self.accounts.authenticate(request.headers, route)
        if not verdict.allowed:
            self._reject(exchange, 401, CHALLENGE_HEADERS, verdict.reason)
            return
        request = self._remove_key(exchange, verdict.account)
        lower = self.context.names.lower
        request_id = request.get_header(lower.request_id)
        if not request_id:
            self._reject(exchange, 400, (), "no_request_id")
            return
        wait_s = self.context.quarantine.find_wait_s(request)
        if wait_s > 0.0:
            headers = ((b"Retry-After", b"%d" % math.ceil(wait_s)),)
            content = request_content.compute_digest(request)
            self._reject(
                exchange, 503, headers, quarantine.REASON, content=content
            )
            return
        deadline = request.get_header(lower.deadline_ms)
        caller_ms = parse_ms(deadline)
        if caller_ms is None and deadline is not None:
            self._record_malformed_deadline(request_id, deadline)
        incoming = endpoint_calls.IncomingRequest(
            exchange,
            route,
            self.document.version,
            request_id,
            caller_ms,
            verdict.account,
        )
        if self.draining and self._refuse_late(incoming):
            return
        account = incoming.account
        if (
            self.context.quotas is not None
            and account is not None
            and account.rate_per_s > 0.0
        ):
            self._wait_for_admission(
                incoming,
                functools.partial(self.context.quotas.ask, account.name),
                self._prepare,
                self._start_admitted,
            )
        else:
            self._start(incoming)

    def _remove_key(self, exchange, account):
        """Remove the key, and what the caller states as its account.

        Nothing that is built from the request later on has the key.
        """
        if self.accounts.in_force:
            exchange.request = exchange.request._replace(
                headers=self.accounts.select_headers(
                    exchange.request.headers,
                    account,
                    self.context.names.lower.account,
                ),
                account=account.name if account is not None else "",
            )
        return exchange.request

    def _record_malformed_deadline(self, request_id, value):
        self.context.metrics.count_event("malformed-deadline")
        logs.log_decision(
            "deadline-malformed",
            request_id=request_id.decode("latin-1"),
            value=logs.clip_header(value),
        )

    def start_draining(self, grace_s: float):
        """Take from now on only what can end within the grace period."""
        self.draining = True
        self.context.drain.start(grace_s)

    def takes_any(self) -> bool:
        """Tell whether a request of any route in use can still end."""
        if self.document is None:
            return False
        routes = self.document.routes
        times_by_route = self.context.drain.times_by_route
        used = [r for r in routes if r.name in times_by_route] or routes
        return any(
            self.context.drain.decide(route, route.timeout_ms / 1000.0).taken
            for route in used
        )

    def refuse_waiting(self):
        """Refuse requests that are not sent yet and can't end in time."""
        for request in list(self.request_by_exchange.values()):
            request.refuse_late()

    def end_requests(self):
        """Answer all requests in progress, as this process ends."""
        for request in list(self.request_by_exchange.values()):
            request.end_for_stop()

    def _refuse_late(self, incoming) -> bool:
        deadline_s = incoming.get_longest_ms() / 1000.0
        verdict = self.context.drain.decide(incoming.route, deadline_s)
        if verdict.taken:
            return False
        self.context.metrics.count_drained("new")
        headers = ((b"Retry-After", b"%.2f" % drain.RETRY_AFTER_S),)
        self._reject(
            incoming.exchange,
            503,
            headers,
            drain.REASON,
            route=incoming.route.name,
            **verdict.build_log_fields(),
        )
        return True

    def _wait_for_admission(self, incoming, ask, prepare, on_admitted):
        wait = admission_wait.AdmissionWait(
            incoming, self.context, ask, prepare, on_admitted, self._finish
        )
        self.request_by_exchange[incoming.exchange] = wait
        wait.start()

    def _prepare(self, incoming):
        """Build a request with a short objective while it is not admitted.

        Returns
        -------
        fanout.FanOut or None
            Has sent and counted nothing. None for a request to one endpoint,
            which has more time.
        """
        if not incoming.route.shards:
            return None
        request = self._build(incoming)
        request.prepare()
        return request

    def _start_admitted(self, incoming, prepared):
        del self.request_by_exchange[incoming.exchange]
        # The stop may have begun while the request waited.
        if self.draining:
            if self._refuse_late(incoming):
                return
            prepared = None  # its times don't have the end of this VM
        self._start(incoming, prepared)

    def _start_trial(self, incoming, prepared):
        is_trial = self.context.quarantine.is_refused(
            incoming.exchange.request
        )
        self._start_admitted(incoming._replace(is_trial=is_trial), None)

    def _needs_trial(self, incoming) -> bool:
        """Tell whether control has to allow a request that could be sent."""
        request = incoming.exchange.request
        if incoming.is_trial or not self.context.quarantine.is_refused(
            request
        ):
            return False
        services = incoming.route.shards or tuple(
            a.service for a in incoming.route.alternatives
        )
        find_opening_s = self.context.table.find_opening_s
        return any(math.isfinite(find_opening_s(s)) for s in services)

    def _start(self, incoming, prepared=None):
        if self._needs_trial(incoming):
            quarantined = self.context.quarantine
            self._wait_for_admission(
                incoming,
                functools.partial(quarantined.ask_trial, incoming),
                lambda incoming: None,
                self._start_trial,
            )
            return
        request = prepared or self._build(incoming)
        self.request_by_exchange[incoming.exchange] = request
        request.start()

    def _build(self, incoming):
        route = incoming.route
        if route.shards:
            return fanout.FanOut(incoming, self.context, self._finish)
        service = choose_service(route.alternatives, self.context.random)
        return single_endpoint.SingleEndpointRequest(
            incoming, service, self.context, self._finish
        )

    def _finish(self, incoming, status, fields):
        self.request_by_exchange.pop(incoming.exchange, None)
        if incoming.is_trial:
            fields = {**fields, "trial": True}
            self.context.quarantine.end_trial(incoming, status)
        now = self.context.loop.time()
        request = incoming.exchange.request
        if request.account:
            fields = {**fields, "account": request.account}
        seconds = now - request.received_s
        if status == 200:
            self.context.drain.record(incoming.route.name, seconds)
        self.context.metrics.count_request(
            incoming.route.name, status, seconds
        )
        logs.log_decision(
            "request",
            request_id=incoming.request_id.decode("latin-1"),
            route=incoming.route.name,
            version=incoming.version,
            status=status,
            ms=round(seconds * 1000.0, 1),
            caller_ms=incoming.caller_ms,
            **fields,
        )

    def _reject(self, exchange, status, headers, reason, **fields):
        lower = self.context.names.lower
        request_id = exchange.request.get_header(lower.request_id) or b""
        exchange.respond(status, headers, reason.encode())
        self.context.metrics.count_request("", status, 0.0)
        self.context.metrics.count_refused(reason)
        logs.log_decision(
            "request",
            request_id=request_id.decode("latin-1"),
            status=status,
            why=reason,
            version=self.document.version if self.document else 0,
            target=exchange.request.target.decode("latin-1")[:200],
            **fields,
        )


def choose_service(alternatives, random) -> str:
    """Choose a service at random in proportion to the weights."""
    if len(alternatives) == 1:
        return alternatives[0].service
    total = sum(a.weight for a in alternatives)
    point = random.random() * total
    for alternative in alternatives:
        point -= alternative.weight
        if point < 0:
            return alternative.service
    return next(a for a in reversed(alternatives) if a.weight > 0).service


def parse_ms(value: bytes | None) -> float | None:
    """Parse a time in ms, up to a day; None if missing or malformed."""
    if value is None or not value.strip().isdigit():
        return None
    return min(float(value), request_timing.MAX_DEADLINE_MS)


def _read_host(value: bytes) -> str:
    host = value.decode("latin-1").lower()
    name, colon, port = host.rpartition(":")
    return name if colon and port.isdigit() else host
