"""The entry role of a VM, and its handlers of messages from peers."""

import functools
import math
import random

from twisted.internet import defer

from chervilspindle.config import lists as lists_module
from chervilspindle.core import errors
from chervilspindle.core import lifecycle
from chervilspindle.core import logs
from chervilspindle.core import rows
from chervilspindle.policy import rates
from chervilspindle.query import commands
from chervilspindle.query import directory as directory_module
from chervilspindle.query import explain
from chervilspindle.query import gather
from chervilspindle.query import owner as owner_module
from chervilspindle.query import query_state
from chervilspindle.query import requests
from chervilspindle.query import session as session_module
from chervilspindle.wire import messages

LOAD_FORWARD_DELAY_S = 0.1
STATE_METRICS_PERIOD_S = 1.0
DRAIN_CHECK_PERIOD_S = 0.05
READY_LINGER_S = 1.5
EXPLAIN_TIMEOUT_S = 1.0
STATUS_TIMEOUT_S = 2.0
APPLY_TIMEOUT_S = 4.0


class LocalTarget:
    """Delivers replies of the local owner to the local gatherer."""

    def __init__(self, gatherer):
        self.gatherer = gatherer

    def send(self, message):
        """Pass a reply to the gatherer."""
        self.gatherer.receive(message)


class Entry:
    """One process of the entry role.

    Parameters
    ----------
    settings : Settings
    network : PeerNetwork
        Its handler must pass messages to `handle`.
    build_client : callable
        ``build_client(address, connections)`` returns an endpoint client.
    timers : TimerService
    read_clock : callable
        Monotonic milliseconds.
    metrics : Metrics
    seed : int, optional
        Seed for random choices.
    """

    def __init__(
        self,
        settings,
        network,
        build_client,
        timers,
        read_clock,
        metrics,
        seed=None,
    ):
        self.settings = settings
        self.network = network
        self.timers = timers
        self.read_clock = read_clock
        self.metrics = metrics
        incarnation = logs.read_wall_ms()
        vm = rows.Vm(
            f"{settings.vm_id}@{incarnation}",
            settings.vm_id,
            settings.zone,
            settings.peer_address,
            incarnation,
            "ready",
        )
        self.directory = directory_module.Directory()
        if "no-ownership" in settings.baselines:
            self.directory.sole_owner = vm.session
        self.explainer = explain.Explainer()
        self.lifecycle = lifecycle.build_lifecycle()
        addresses = {v.vm_id: v.peer_address for v in settings.control_vms}
        self.control = session_module.ControlClient(
            network.call, addresses, timers
        )
        self.session = session_module.Session(
            vm, self.directory, self.control, timers, read_clock
        )
        self.owner = owner_module.Owner(
            self.session,
            self.directory,
            build_client,
            timers,
            read_clock,
            metrics,
            self._call_owner,
            is_fair="fifo" not in settings.baselines,
        )
        self.gatherer = gather.Gatherer(
            vm,
            self.directory,
            self._send_to_owner,
            timers,
            read_clock,
            self.explainer,
            metrics,
            settings.extra_load_share,
            random.Random(seed),
            settings.baselines,
        )
        self.commands = commands.CommandRunner(
            self.directory,
            self.gatherer.choose_endpoint,
            self.control,
            self._call_owner,
            timers,
            self.explainer,
        )
        self.local_target = LocalTarget(self.gatherer)
        self.pending_loads_by_session = {}
        self.bucket_by_customer = {}
        self.in_flight = 0
        self.is_rejecting = False
        self.end_s = math.inf  # by the timers' clock, while it drains
        network.lost_listeners.append(self.gatherer.handle_connection_lost)

    def start(self):
        """Start the session and the periodic tasks."""
        self.session.start()
        self.timers.subscribe(
            "entry-state", STATE_METRICS_PERIOD_S, self._update_state_metrics
        )

    def is_ready(self) -> bool:
        """Tell whether the load balancer may send requests here."""
        return (
            self.lifecycle.get_state() == "ready" and self.session.is_valid()
        )

    @defer.inlineCallbacks
    def run_query(self, header: str | None, data: bytes):
        """Answer POST /v1/query.

        Returns
        -------
        Deferred of query_state.Answer
            Fails with `ProblemError`.
        """
        request_id = gather.build_request_id(self.settings.vm_id)
        grant = self._admit(header, request_id)
        body = requests.decode_body(data, requests.QueryBody)
        request = self._build_query(request_id, grant, body)
        answer = yield self._run_measured(
            "query", grant, lambda: self.gatherer.submit(request)
        )
        return answer

    @defer.inlineCallbacks
    def run_command(self, header, idempotency_key, data: bytes):
        """Answer POST /v1/command.

        Returns
        -------
        Deferred of (str, bytes)
            Request id, and the value as JSON. Fails with `ProblemError`.
        """
        request_id = gather.build_request_id(self.settings.vm_id)
        grant = self._admit(header, request_id)
        body = requests.decode_body(data, requests.CommandBody)
        request = self._build_command(request_id, grant, body, idempotency_key)
        value = yield self._run_measured(
            "command", grant, lambda: self.commands.run(request)
        )
        return request_id, value

    def handle_announcement(self, endpoint: rows.Endpoint, in_use: int):
        """Report an announced endpoint to control, its load to its owner."""
        current = self.directory.endpoint_by_id.get(endpoint.endpoint_id)
        if current is not None and current.incarnation > endpoint.incarnation:
            return
        if current is None or rows.is_changed(endpoint, current):
            if current is None or rows.is_newer(endpoint, current):
                self.session.report(endpoint)
        load = messages.Load(
            endpoint.endpoint_id,
            endpoint.incarnation,
            endpoint.sequence,
            endpoint.state,
            in_use,
        )
        route = self.directory.get_route(endpoint.endpoint_id)
        if route is None:
            return
        vm = route.vm
        if vm.session == self.session.vm.session:
            self.owner.handle_load(load)
            return
        if not self.pending_loads_by_session:
            self.timers.call_later(LOAD_FORWARD_DELAY_S, self._forward_loads)
        self.pending_loads_by_session.setdefault(vm.session, []).append(load)
        if endpoint.state == "draining":
            self._forward_loads()

    @defer.inlineCallbacks
    def apply_lists(self, parsed, if_revision, change_id):
        """Ask control to replace the lists of customers and plans.

        Returns
        -------
        Deferred of ApplyListsReply
        """
        call = messages.ApplyListsCall(
            change_id,
            parsed.digest,
            if_revision,
            parsed.customers,
            parsed.plans,
        )
        reply = yield self.control.call(call, APPLY_TIMEOUT_S)
        logs.log_decision(
            "apply",
            change_id=change_id,
            accepted=reply.accepted,
            revision=reply.revision,
            detail=reply.detail,
        )
        return reply

    @defer.inlineCallbacks
    def set_evacuated(self, zone: str, evacuated: bool):
        """Ask control to begin or end the evacuation of a zone.

        Returns
        -------
        Deferred
            Fires once the change is committed. Fails with `ProblemError`.
        """
        call = messages.EvacuationCall(zone, evacuated)
        reply = yield self.control.call(call, APPLY_TIMEOUT_S)
        if not reply.known:
            raise errors.build_error(
                errors.ErrorKind.UNKNOWN_ZONE,
                "no endpoint and no VM is in this zone",
            )

    def list_evacuations(self):
        """Return a Deferred of ListEvacuationsReply from the leader."""
        return self.control.call(
            messages.ListEvacuationsCall(), STATUS_TIMEOUT_S
        )

    def get_status(self):
        """Return a Deferred of StatusReply from the control leader."""
        return self.control.call(messages.StatusCall(), STATUS_TIMEOUT_S)

    @defer.inlineCallbacks
    def explain_request(self, request_id: str):
        """Return the decisions on a request, from here or its gathering VM.

        Returns
        -------
        Deferred of bytes
            JSON, empty if the request is unknown.
        """
        body = self.explainer.describe(request_id)
        if body:
            return body
        vm_id = request_id.partition("~")[0]
        for vm in self.directory.vm_by_session.values():
            if vm.vm_id == vm_id and vm_id != self.settings.vm_id:
                reply = yield self.network.call(
                    vm.peer_address,
                    messages.ExplainCall(request_id),
                    EXPLAIN_TIMEOUT_S,
                )
                if reply.body:
                    return reply.body
        return b""

    def handle(self, link, message):
        """Handle a message from a peer."""
        return handle_peer(message, self, link)

    @defer.inlineCallbacks
    def drain(self):
        """Hand over endpoints, stop admitting, wait for requests in flight."""
        self.lifecycle.drain()
        logs.log_decision("drain", session=self.session.vm.session)
        self.session.set_state("draining")
        due = self.timers.clock.seconds() + self.settings.drain_seconds
        self.end_s = due
        # Serve requests until the load balancer has noticed the failing
        # readiness check and sends no more.
        yield self._pause(READY_LINGER_S)
        self.is_rejecting = True
        while self.timers.clock.seconds() < due and self._is_busy():
            yield self._pause(DRAIN_CHECK_PERIOD_S)
        yield self.session.leave()
        self.lifecycle.drained()
        logs.log_decision("drained", session=self.session.vm.session)

    def _is_busy(self):
        return bool(
            self.in_flight
            or self.commands.background_calls
            or self.owner.count_work()
            or self._can_hand_over()
        )

    def _can_hand_over(self):
        """Tell whether this VM has endpoints that another can take over."""
        if not self.owner.owned_by_id or not self.session.is_valid():
            return False
        own_session = self.session.vm.session
        return any(
            vm.state == "ready" and vm.session != own_session
            for vm in self.directory.vm_by_session.values()
        )

    def _admit(self, header, request_id):
        if self.is_rejecting:
            raise errors.build_error(
                errors.ErrorKind.DRAINING,
                "this VM is shutting down",
                request_id=request_id,
            )
        if not self.session.is_valid():
            raise errors.build_error(
                errors.ErrorKind.NO_LEASE,
                "this VM has no valid lease from control",
                request_id=request_id,
            )
        grant = requests.authenticate(header, self.directory.lists)
        self._check_rate(grant, request_id)
        return grant

    def _check_time_left(self, deadline_ms, request_id):
        """Refuse a request that may last longer than this process."""
        left_ms = (self.end_s - self.timers.clock.seconds()) * 1000.0
        if deadline_ms <= left_ms:
            return
        logs.log_decision(
            "too-late-to-end",
            request_id=request_id,
            needed_ms=deadline_ms,
            left_ms=round(left_ms),
        )
        raise errors.build_error(
            errors.ErrorKind.DRAINING,
            "this VM shuts down before the request's deadline",
            request_id=request_id,
        )

    def _check_rate(self, grant, request_id):
        rate = grant.plan.rate
        if not rate:
            return
        vm_count = self.directory.ready_vm_count
        buckets = rates.evict_oldest(self.bucket_by_customer)
        verdict = rates.take_token(
            buckets.get(grant.customer),
            rate,
            max(1, vm_count),
            self.read_clock(),
        )
        buckets[grant.customer] = verdict.bucket
        self.bucket_by_customer = buckets
        if verdict.granted:
            return
        logs.log_decision(
            "over-rate", request_id=request_id, customer=grant.customer
        )
        raise errors.build_error(
            errors.ErrorKind.OVER_PLAN,
            f"rate limit of the plan exceeded: {rate:g} requests per second",
            retry_after_ms=verdict.retry_after_ms,
            request_id=request_id,
        )

    def _build_query(self, request_id, grant, body):
        requests.check_deadline(body.deadline_ms)
        self._check_time_left(body.deadline_ms, request_id)
        rank = requests.check_priority(body.priority, grant.plan)
        services = requests.match_plan_services(
            body.services, grant.plan, self.directory.list_services()
        )
        encoded_query = bytes(body.query)
        return query_state.QueryRequest(
            request_id,
            grant.customer,
            grant.plan.share,
            rank,
            services,
            requests.read_query_key(encoded_query),
            encoded_query,
            float(body.deadline_ms),
            body.partial,
        )

    def _build_command(self, request_id, grant, body, idempotency_key):
        requests.check_deadline(body.deadline_ms)
        self._check_time_left(body.deadline_ms, request_id)
        rank = requests.check_priority(body.priority, grant.plan)
        requests.match_plan_services(
            [body.service], grant.plan, self.directory.list_services()
        )
        length = len(idempotency_key or "")
        if not 0 < length <= requests.MAX_KEY_CHARACTERS:
            raise errors.build_error(
                errors.ErrorKind.MALFORMED,
                "Idempotency-Key must have 1 to 200 characters",
                source="header Idempotency-Key",
            )
        return commands.CommandRequest(
            request_id,
            grant.customer,
            grant.plan.share,
            rank,
            idempotency_key,
            body.service,
            body.key,
            body.command,
            float(body.deadline_ms),
        )

    @defer.inlineCallbacks
    def _run_measured(self, kind, grant, start):
        started = self.read_clock()
        self.in_flight += 1
        answer = "ok"
        try:
            return (yield start())
        except errors.ProblemError as error:
            answer = error.problem.kind.value
            raise
        finally:
            self.in_flight -= 1
            elapsed_s = (self.read_clock() - started) / 1000.0
            self.metrics.count_request(grant.customer, kind, answer, elapsed_s)

    def _send_to_owner(self, vm, message):
        if vm.session == self.session.vm.session:
            # Deliver in a later turn of the event loop, as from a peer.
            self.timers.call_later(
                0, handle_peer, message, self, self.local_target
            )
        else:
            self.network.send(vm.peer_address, message)

    def _call_owner(self, vm, message, timeout_s):
        if vm.session != self.session.vm.session:
            return self.network.call(vm.peer_address, message, timeout_s)
        return handle_peer(message, self, self.local_target)

    def _forward_loads(self):
        pending_loads_by_session, self.pending_loads_by_session = (
            self.pending_loads_by_session,
            {},
        )
        for session, loads in pending_loads_by_session.items():
            vm = self.directory.vm_by_session.get(session)
            if vm is not None:
                report = messages.LoadReport(tuple(loads))
                self.network.send(vm.peer_address, report)

    def _update_state_metrics(self):
        if self.session.is_valid():
            self.lifecycle.lease_gained()
        self.metrics.set_state("lease_ms", self.session.get_lease_ms())
        self.metrics.set_state("version", self.directory.version)
        self.metrics.set_state("revision", self.directory.lists.revision)
        self.metrics.set_state(
            "evacuated_zones", len(self.directory.evacuated_zones)
        )
        self.metrics.set_state(
            "all_zones_evacuated", int(self.directory.is_all_evacuated())
        )
        self.metrics.set_state("owned", len(self.owner.owned_by_id))
        self.metrics.set_state("work", self.owner.count_work())

    def _pause(self, delay_s):
        deferred = defer.Deferred()
        self.timers.call_later(delay_s, deferred.callback, None)
        return deferred


@functools.singledispatch
def handle_peer(message, entry: Entry, link):
    """Handle a message from a peer.

    Returns
    -------
    message, Deferred of message, or None
        The reply, if the message has one.
    """
    raise TypeError(
        f"an entry does not accept {type(message).__name__} messages"
    )


@handle_peer.register
def _handle_sub_query(message: messages.SubQuery, entry: Entry, link):
    entry.owner.submit(message, link)


@handle_peer.register
def _handle_sub_reply(message: messages.SubReply, entry: Entry, link):
    entry.gatherer.receive(message)


@handle_peer.register
def _handle_cancel(message: messages.CancelParts, entry: Entry, link):
    entry.owner.cancel(message)


@handle_peer.register
def _handle_command(message: messages.RunCommand, entry: Entry, link):
    deferred = defer.Deferred()
    entry.owner.run_command(message, deferred.callback)
    return deferred


@handle_peer.register
def _handle_load_report(message: messages.LoadReport, entry: Entry, link):
    for load in message.loads:
        entry.owner.handle_load(load)


@handle_peer.register
def _handle_hand_over(message: messages.HandOverCall, entry: Entry, link):
    return entry.owner.handover_manager.hand_over(message, link)


@handle_peer.register
def _handle_slots_left(message: messages.SlotsLeft, entry: Entry, link):
    entry.owner.handle_slots_left(message)


@handle_peer.register
def _handle_explain(message: messages.ExplainCall, entry: Entry, link):
    body = entry.explainer.describe(message.request_id)
    return messages.ExplainReply(body)


def describe_lists(lists: rows.Lists) -> dict:
    """Return the lists and their revision in the format for operators."""
    return {
        "revision": lists.revision,
        **lists_module.describe_lists(lists),
    }
