"""Client and server of relayed queries.

A relay queries shards on behalf of another entry. At a time set by that
entry it reports the parts received so far, merged into one set; later parts
are reported unmerged as they arrive. Retries and hedges are left to the
entry: each `RelayCall` sends each of its shards at most once, so the entry
can bound how often a shard may have run even if the relay is lost.
"""

import functools
import itertools

from chervilspindle.core import logs
from chervilspindle.routing import direct_dispatch
from chervilspindle.routing import drain
from chervilspindle.routing import endpoint_calls
from chervilspindle.routing import forwarding
from chervilspindle.routing import part_merging
from chervilspindle.wire import caller_limits
from chervilspindle.wire import endpoint_http
from chervilspindle.wire import messages

MAX_LOGGED_SERVICES = 8
REPORT_BATCH_S = 0.002  # parts within this time share one report
NOT_SENT = endpoint_http.Ending.NOT_SENT.value


class RelayedDispatch:
    """Shards of a query that were sent through a relay.

    Has the same interface as `direct_dispatch.DirectDispatch`.

    Attributes
    ----------
    presumed_lost : bool
        Whether the relay's first report is so late that the entry no longer
        waits for it.
    """

    def __init__(self, client, address, query_id, services, listener):
        self.client = client
        self.address = address
        self.query_id = query_id
        self.pending_services = set(services)
        self.listener = listener
        self.reported = False
        self.presumed_lost = False

    def awaits_report(self) -> bool:
        """Tell whether the relay has not reported yet."""
        return not self.reported

    def may_have_run(self) -> bool:
        """Tell whether an endpoint may be executing a shard."""
        return bool(self.pending_services)

    def withdraw_unsent(self) -> list[str]:
        """Return no shards: what the relay has sent is not known."""
        return []

    def has_calls(self) -> bool:
        """Tell whether this process holds calls; only the relay does."""
        return False

    def stop(self):
        """Ignore further reports; shards in progress are not cancelled."""
        self.client.discard(self)

    def cancel(self):
        """Make the relay cancel the shards in progress."""
        self.client.cancel(self)

    def handle_report(self, report: messages.RelayReport):
        """Pass the content of a report to the listener."""
        self.reported = True
        self.presumed_lost = False
        pending = self.pending_services
        if report.load >= 0.0 and report.parts:
            services = report.parts[0].services
            if pending.issuperset(services):
                self.listener.on_load(services, report.load)
        for service, endpoint_id in report.sent:
            if self._is_expected((service,)):
                self.listener.on_endpoint_chosen(self, service, endpoint_id)
        for part_set in report.parts:
            if self._is_expected(part_set.services):
                pending.difference_update(part_set.services)
                self.listener.on_part_set(self, part_set, report.mean_part_ms)
        losses = []
        for loss in report.losses:
            if self._is_expected((loss.service,)):
                pending.discard(loss.service)
                losses.append(loss)
        if losses:
            self.listener.on_parts_lost(self, tuple(losses))
        if not self.pending_services:
            self.client.discard(self)

    def _is_expected(self, services) -> bool:
        """Tell whether all of the shards are pending."""
        if self.pending_services.issuperset(services):
            return True
        logs.log_decision(
            "relay-row-ignored",
            address=self.address,
            services=list(services)[:MAX_LOGGED_SERVICES],
        )
        return False

    def abandon(self) -> list[str]:
        """Cancel what is in progress without telling the listener.

        Returns
        -------
        list of str
            The services of the cancelled shards.
        """
        self.client.cancel(self)
        services = sorted(self.pending_services)
        self.pending_services.clear()
        return services

    def refuse(self):
        """Report all shards as not sent: the relay is cut off."""
        self._lose(endpoint_calls.CUT_OFF, False)

    def fail(self, reason: str):
        """Report all shards in progress as lost."""
        self._lose(reason, True)

    def _lose(self, reason, may_have_run):
        losses = [
            messages.Loss(service, "", reason, may_have_run)
            for service in sorted(self.pending_services)
        ]
        self.pending_services.clear()
        self.listener.on_parts_lost(self, losses)


class RelayClient:
    """Sends shards of this VM's queries through relays.

    Parameters
    ----------
    network : PeerNetwork
    table : relay_selection.RelayTable
    random : random.Random
    """

    def __init__(self, network, table, random):
        self.network = network
        self.table = table
        self.random = random
        self.query_ids = itertools.count(1)
        self.dispatch_by_id = {}
        network.lost_listeners.append(self._handle_lost_link)

    def send(
        self, relay, services, tried, message, request, listener
    ) -> RelayedDispatch:
        """Send shards through a relay.

        Parameters
        ----------
        relay : messages.Relay
        services : tuple of str
        tried : tuple of tuple of str
            Endpoints to which each shard was sent before; may be empty.
        message : endpoint_calls.RequestTemplate
        request : messages.RelayedRequest
        listener
            Receives ``on_part_set(dispatch, part_set, mean_part_ms)``,
            ``on_parts_lost(dispatch, losses)`` and
            ``on_endpoint_chosen(dispatch, service, endpoint_id)``.
        """
        query_id = next(self.query_ids)
        dispatch = RelayedDispatch(
            self, relay.address, query_id, services, listener
        )
        self.dispatch_by_id[query_id] = dispatch
        call = messages.RelayCall(
            query_id, message.head, message.tail, services, tried, request
        )
        self._send(dispatch, call)
        return dispatch

    def forward(self, relay, call: messages.ForwardCall, on_end):
        """Send a request to one endpoint through another entry.

        Parameters
        ----------
        relay : messages.Relay
        call : messages.ForwardCall
            Its query id is set here.
        on_end : callable
            ``on_end(call, answer)``, called once.

        Returns
        -------
        forwarding.ForwardedCall
        """
        query_id = next(self.query_ids)
        forwarded = forwarding.ForwardedCall(
            self, relay.address, query_id, on_end
        )
        forwarded.sent_s = self.table.read_clock()
        self.dispatch_by_id[query_id] = forwarded
        self._send(forwarded, call._replace(query_id=query_id))
        return forwarded

    def call_any(self, message, timeout_s: float, tried):
        """Call another entry and add its address to the list `tried`.

        Returns
        -------
        Deferred or None
            None if all entries were tried.
        """
        relay = self.table.pick_any(tried, self.random)
        if relay is None:
            return None
        tried.append(relay.address)
        return self.network.call(relay.address, message, timeout_s)

    def _send(self, dispatch, call):
        def handle_unsent():
            if self.network.knows(dispatch.address, type(call)):
                self.table.record_relay_failure(dispatch.address, "no link")
            self._refuse(call.query_id)

        self.network.send(dispatch.address, call, handle_unsent)

    def handle_refusal(self, address: str, refusal: messages.RelayRefusal):
        """Avoid a relay that is cut off; it sends nothing."""
        self.table.record_relay_failure(address, endpoint_calls.CUT_OFF)
        self._refuse(refusal.query_id)

    def _refuse(self, query_id):
        dispatch = self.dispatch_by_id.pop(query_id, None)
        if dispatch is not None:
            dispatch.refuse()

    def handle_report(self, address: str, report):
        """Handle a report from a relay."""
        self.table.clear_failure(address)
        dispatch = self.dispatch_by_id.get(report.query_id)
        if dispatch is not None:
            dispatch.handle_report(report)

    def discard(self, dispatch):
        """Ignore further reports of a dispatch."""
        self.dispatch_by_id.pop(dispatch.query_id, None)

    def cancel(self, dispatch):
        """Make the relay cancel what is in progress of a dispatch."""
        self.discard(dispatch)
        if dispatch.may_have_run():
            self.network.send(
                dispatch.address, messages.RelayCancel(dispatch.query_id)
            )

    def _handle_lost_link(self, address):
        lost = [
            d for d in self.dispatch_by_id.values() if d.address == address
        ]
        if lost:
            self.table.record_relay_failure(address, "link lost")
        for dispatch in lost:
            self.discard(dispatch)
        for dispatch in lost:
            dispatch.fail(endpoint_calls.RELAY_LOST)


class RelayServer:
    """Queries shards on behalf of other entries.

    Parameters
    ----------
    context : endpoint_calls.Context
    """

    def __init__(self, context):
        self.context = context
        self.served_by_key = {}

    def count_busy(self) -> int:
        """Return the number of relayed calls in progress."""
        return len(self.served_by_key)

    def handle(self, link, message):
        """Handle a message from another entry."""
        _handle_message(message, self, link)

    def serve(self, link, query_id, served):
        """Start a call, or refuse it.

        Refused if this VM reaches no endpoint, or stops before the end of the
        call.
        """
        reachability = self.context.reachability
        if reachability.is_cut_off or self._is_late(served):
            served.refuse()
            return
        if not self._holds(served):
            served.report_unsent()
            served.clear()
            return
        self.served_by_key[link, query_id] = served
        reachability.listeners.add(served)
        served.start()

    def _holds(self, served) -> bool:
        """Count the memory of a call; false if it does not fit."""
        held_bytes = served.count_bytes()
        if held_bytes <= caller_limits.SMALL_BYTES:
            return True
        if self.context.caller_budget.try_hold(served, held_bytes):
            return True
        logs.log_decision(
            "relay-refused",
            request_id=served.get_request_id().decode("latin-1"),
            why=caller_limits.BUDGET_REASON,
            bytes=held_bytes,
        )
        return False

    def _is_late(self, served) -> bool:
        work = served.estimate_work()
        verdict = drain.decide(work, self.context.drain.get_left_s())
        if verdict.taken:
            return False
        self.context.metrics.count_drained("relayed")
        logs.log_decision(
            "relay-refused",
            request_id=served.get_request_id().decode("latin-1"),
            why=drain.REASON,
            **verdict.build_log_fields(),
        )
        return True

    def end_requests(self):
        """Report what is in progress as lost, as this process ends."""
        for served in list(self.served_by_key.values()):
            served.handle_cut_off()

    def discard(self, link, query_id):
        """Forget a call that has ended."""
        served = self.served_by_key.pop((link, query_id), None)
        self.context.caller_budget.release(served)
        if served is not None:
            served.clear()
        self.context.reachability.listeners.discard(served)


@functools.singledispatch
def _handle_message(message, server: RelayServer, link):
    raise TypeError(f"relay cannot handle message {type(message).__name__}")


@_handle_message.register
def _handle_call(message: messages.RelayCall, server: RelayServer, link):
    server.serve(link, message.query_id, _ServedCall(server, link, message))


@_handle_message.register
def _handle_forward(message: messages.ForwardCall, server: RelayServer, link):
    served = forwarding.ServedForward(server, link, message)
    server.serve(link, message.query_id, served)


@_handle_message.register
def _handle_cancel(message: messages.RelayCancel, server: RelayServer, link):
    served = server.served_by_key.get((link, message.query_id))
    if served is not None:
        served.cancel()


class _ServedCall(caller_limits.RunningHold):
    """A `RelayCall` in progress at the relay."""

    def __init__(self, server, link, call):
        self.server = server
        self.link = link
        self.call = call
        context = server.context
        self.loop = context.loop
        request = call.request
        started_s = self.loop.time()
        self.started_s = started_s
        self.dispatch = direct_dispatch.DirectDispatch(
            context,
            endpoint_calls.RequestTemplate(
                call.head, call.tail, context.names.sent
            ),
            request.request_id,
            min(started_s + request.left_ms / 1000.0, context.drain.end_s),
            request.top_k,
            request.objective_ms,
            "hedge" if request.is_hedge else "relayed",
            self,
        )
        self.pending_count = len(call.services)
        self.endpoint_by_service = {}
        self.parts = []
        self.losses = []
        self.durations_ms = []
        self.first_report_sent = False
        self.batch_timer = None
        self.report_at_s = started_s + request.report_ms / 1000.0
        self.first_report_timer = None

    def get_request_id(self) -> bytes:
        """Return the id of the caller's request."""
        return self.call.request.request_id

    def estimate_work(self) -> drain.Work:
        """Return the time that the entry gives the shards, as far as known.

        With an objective the entry answers then, with the parts that it has.
        """
        request = self.call.request
        objective_s = request.objective_ms / 1000.0 or None
        return drain.Work(request.left_ms / 1000.0, objective_s, True)

    def start(self):
        """Send the shards to endpoints."""
        self.first_report_timer = self.loop.call_at(
            self.report_at_s, self._report_first
        )
        services, tried = self.call.services, self.call.tried
        self.dispatch.start(services, dict(zip(services, tried)))

    def refuse(self):
        """Tell that no shard is sent from this VM."""
        query_id = self.call.query_id
        if self.link.knows(messages.RelayRefusal):
            self.link.send(messages.RelayRefusal(query_id))
        else:
            self.report_unsent()

    def count_bytes(self) -> int:
        """Return the memory of the request, in bytes."""
        return self.dispatch.template.count_bytes()

    def clear(self):
        """Drop the request, after its last send."""
        self.call = self.call._replace(tail=b"")
        self.dispatch.template.clear()

    def report_unsent(self):
        """Report that no shard was sent, as this VM has no room for it."""
        losses = tuple(
            messages.Loss(service, "", NOT_SENT, False)
            for service in self.call.services
        )
        self.link.send(
            messages.RelayReport(self.call.query_id, (), losses, (), 0.0)
        )

    def handle_cut_off(self):
        """Report the shards that this VM can't send, or get answers of."""
        for service in self.dispatch.withdraw_unsent():
            loss = messages.Loss(service, "", endpoint_calls.CUT_OFF, False)
            self.on_part_lost(self.dispatch, loss)
        endpoint_by_service = dict(self.endpoint_by_service)
        for service in self.dispatch.abandon():
            endpoint_id = endpoint_by_service[service]
            loss = messages.Loss(
                service, endpoint_id, endpoint_calls.RELAY_LOST, True
            )
            self.on_part_lost(self.dispatch, loss)

    def cancel(self):
        """Cancel the shards in progress."""
        self.dispatch.cancel()
        self._close()

    # Listener methods called by the dispatch.

    def on_endpoint_chosen(self, dispatch, service, endpoint_id):
        self.endpoint_by_service[service] = endpoint_id

    def on_part(self, dispatch, service, stamp, body, took_ms):
        self.parts.append(messages.PartSet((service,), stamp, body))
        self.durations_ms.append(took_ms)
        self._complete_shard(service)

    def on_part_lost(self, dispatch, loss):
        self.losses.append(loss)
        self._complete_shard(loss.service)

    def _complete_shard(self, service):
        self.endpoint_by_service.pop(service, None)
        self.pending_count -= 1
        if not self.pending_count:
            self._report()
            self._close()
        elif self.batch_timer is None and (
            self.first_report_sent or self.losses
        ):
            self.batch_timer = self.loop.call_later(
                REPORT_BATCH_S, self._report_batch
            )

    def _report_batch(self):
        self.batch_timer = None
        if self.first_report_sent:
            self._report()
            return
        # Before the first report only losses are sent, so that the entry
        # can retry those shards without waiting for the others.
        losses, self.losses = tuple(self.losses), []
        self._send_report((), losses, ())

    def _report_first(self):
        self._report()
        self.first_report_sent = True
        pending = dict(itertools.islice(self.endpoint_by_service.items(), 8))
        logs.log_decision(
            "relayed-late",
            request_id=self.call.request.request_id.decode("latin-1"),
            open=pending,
            after_ms=round(self.call.request.report_ms, 1),
        )

    def _report(self):
        part_sets, losses = tuple(self.parts), tuple(self.losses)
        in_progress = ()
        if not self.first_report_sent:
            in_progress = tuple(self.endpoint_by_service.items())
            if len(part_sets) > 1:
                part_sets = (
                    part_merging.merge_parts(
                        part_sets, self.call.request.top_k
                    ),
                )
        self.parts, self.losses = [], []
        self._send_report(part_sets, losses, in_progress)

    def _send_report(self, part_sets, losses, in_progress):
        mean_ms = 0.0
        if part_sets:
            mean_ms = sum(self.durations_ms) / len(self.durations_ms)
            self.durations_ms = []
        context = self.server.context
        load = -1.0
        if part_sets and context.shedder.in_force:
            load = context.table.find_mean_load(
                self.call.services, self.started_s
            )
        self.link.send(
            messages.RelayReport(
                self.call.query_id,
                part_sets,
                losses,
                in_progress,
                mean_ms,
                load,
            )
        )

    def _close(self):
        self.first_report_timer.cancel()
        if self.batch_timer is not None:
            self.batch_timer.cancel()
        self.server.discard(self.link, self.call.query_id)
