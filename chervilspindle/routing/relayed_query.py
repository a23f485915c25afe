"""Both ends of relayed shards: the entry of a query, and its relay.

A relay reports at a time that the entry gives what it has by then, merged,
and later parts one by one as they come. It decides nothing on its own, so
that the entry knows how often a shard may have run whatever becomes of the
relay: each message stands for one send of each of its shards.
"""

import functools
import itertools

from chervilspindle.core import logs
from chervilspindle.routing import forwarding
from chervilspindle.routing import parts
from chervilspindle.routing import parts_query
from chervilspindle.wire import messages

GATHER_S = 0.002  # parts that come together are reported together
FOR_RELAYS = (messages.RelayCall, messages.RelayCancel)


class RelayedParts:
    """Shards of a query that were sent through a relay.

    Has the methods of `parts_query.PartsQuery`.

    Attributes
    ----------
    presumed_lost : bool
        Whether the relay was silent for so long that nobody waits for it.
    """

    def __init__(self, client, address, query_id, services, listener):
        self.client = client
        self.address = address
        self.query_id = query_id
        self.open_services = set(services)
        self.listener = listener
        self.reported = False
        self.presumed_lost = False

    def is_silent(self) -> bool:
        """Tell whether the relay has not reported yet."""
        return not self.reported

    def may_have_run(self) -> bool:
        """Tell whether an endpoint may be at work."""
        return bool(self.open_services)

    def stop(self):
        """Take no more reports; what was sent ends by itself."""
        self.client.forget(self)

    def cancel(self):
        """Have the relay give up what is in progress."""
        self.client.cancel(self)

    def take_report(self, report: messages.RelayReport):
        """Pass on what a relay reports."""
        self.reported = True
        self.presumed_lost = False
        for service, endpoint_id in report.sent:
            self.listener.on_endpoint_chosen(self, service, endpoint_id)
        for found in report.parts:
            self.open_services.difference_update(found.services)
            self.listener.on_part_set(self, found, report.usual_ms)
        self.open_services.difference_update(
            loss.service for loss in report.losses
        )
        if report.losses:
            self.listener.on_parts_lost(self, report.losses)
        if not self.open_services:
            self.client.forget(self)

    def fail(self, reason: str):
        """Lose all shards that are in progress."""
        losses = [
            messages.Loss(service, "", reason, True)
            for service in sorted(self.open_services)
        ]
        self.open_services.clear()
        self.listener.on_parts_lost(self, losses)


class RelayClient:
    """Sends shards of this VM's queries through relays.

    Parameters
    ----------
    network : PeerNetwork
    table : relays.RelayTable
    """

    def __init__(self, network, table):
        self.network = network
        self.table = table
        self.ids = itertools.count(1)
        self.sent_by_id = {}
        network.lost_listeners.append(self._lose_link)

    def send(
        self, relay, services, tried, message, request, listener
    ) -> RelayedParts:
        """Send shards through a relay.

        Parameters
        ----------
        relay : messages.Relay
        services : tuple of str
        tried : tuple of tuple of str
            Endpoints that got a shard before, by shard; may be empty.
        message : forwarding.Message
        request : messages.RelayedRequest
        listener
            Gets ``take_part_set(sent, part_set, usual_ms)``,
            ``lose_parts(sent, losses)`` and ``note_endpoint``.
        """
        query_id = next(self.ids)
        sent = RelayedParts(self, relay.address, query_id, services, listener)
        self.sent_by_id[query_id] = sent
        call = messages.RelayCall(
            query_id, message.head, message.tail, services, tried, request
        )
        self.network.send(relay.address, call)
        return sent

    def take_report(self, address: str, report: messages.RelayReport):
        """Take in a report of a relay."""
        self.table.clear_failure(address)
        sent = self.sent_by_id.get(report.query_id)
        if sent is not None:
            sent.take_report(report)

    def forget(self, sent: RelayedParts):
        """Take no more reports of one send."""
        self.sent_by_id.pop(sent.query_id, None)

    def cancel(self, sent: RelayedParts):
        """Have a relay give up."""
        self.forget(sent)
        if sent.open_services:
            self.network.send(
                sent.address, messages.RelayCancel(sent.query_id)
            )

    def _lose_link(self, address):
        lost = [s for s in self.sent_by_id.values() if s.address == address]
        if lost:
            self.table.record_relay_failure(address, "link lost")
        for sent in lost:
            self.forget(sent)
        for sent in lost:
            sent.fail("relay_lost")


class Relay:
    """Gathers shards for other entries.

    Parameters
    ----------
    context : forwarding.Context
    """

    def __init__(self, context):
        self.context = context
        self.query_by_key = {}

    def count_busy(self) -> int:
        """Return how many queries of other entries are in progress."""
        return len(self.query_by_key)

    def handle(self, link, message):
        """Take a message of another entry."""
        _take(message, self, link)


@functools.singledispatch
def _take(message, relay: Relay, link):
    raise TypeError(f"not for a relay: {type(message).__name__}")


@_take.register
def _take_call(message: messages.RelayCall, relay: Relay, link):
    query = _RelayedQuery(relay, link, message)
    relay.query_by_key[link, message.query_id] = query
    query.start()


@_take.register
def _take_cancel(message: messages.RelayCancel, relay: Relay, link):
    query = relay.query_by_key.get((link, message.query_id))
    if query is not None:
        query.cancel()


class _RelayedQuery:
    """Shards that are gathered for another entry."""

    def __init__(self, relay, link, call):
        self.relay = relay
        self.link = link
        self.call = call
        context = relay.context
        self.loop = context.loop
        request = call.request
        started_s = self.loop.time()
        self.query = parts_query.PartsQuery(
            context,
            forwarding.Message(call.head, call.tail, context.names.sent),
            request.request_id,
            started_s + request.left_ms / 1000.0,
            self,
        )
        self.open = len(call.services)
        self.endpoint_by_service = {}
        self.parts = []
        self.losses = []
        self.took_ms = []
        self.first_sent = False
        self.planned = None
        self.timer = self.loop.call_at(
            started_s + request.report_ms / 1000.0, self._report_first
        )

    def start(self):
        """Send to the endpoints."""
        services, tried = self.call.services, self.call.tried
        self.query.start(services, dict(zip(services, tried)))

    def cancel(self):
        """Give up."""
        self.query.cancel()
        self._end()

    # What a parts query tells its listener.

    def on_endpoint_chosen(self, query, service, endpoint_id):
        self.endpoint_by_service[service] = endpoint_id

    def on_part(self, query, service, stamp, body, took_ms):
        self.parts.append(messages.PartSet((service,), stamp, body))
        self.took_ms.append(took_ms)
        self._settle(service)

    def on_part_lost(self, query, loss):
        self.losses.append(loss)
        self._settle(loss.service)

    def _settle(self, service):
        self.endpoint_by_service.pop(service, None)
        self.open -= 1
        if not self.open:
            self._report()
            self._end()
        elif self.planned is None and (self.first_sent or self.losses):
            self.planned = self.loop.call_later(GATHER_S, self._report_more)

    def _report_more(self):
        self.planned = None
        if self.first_sent:
            self._report()
            return
        # Lost shards can be sent again without waiting for the others.
        losses, self.losses = tuple(self.losses), []
        self._send_report((), losses, ())

    def _report_first(self):
        self._report()
        self.first_sent = True
        late = dict(itertools.islice(self.endpoint_by_service.items(), 8))
        logs.log_decision(
            "relayed-late",
            request_id=self.call.request.request_id.decode("latin-1"),
            open=late,
            after_ms=round(self.call.request.report_ms, 1),
        )

    def _report(self):
        found, losses = tuple(self.parts), tuple(self.losses)
        in_progress = ()
        if not self.first_sent:
            in_progress = tuple(self.endpoint_by_service.items())
            if len(found) > 1:
                found = (parts.merge_parts(found, self.call.request.top_k),)
        self.parts, self.losses = [], []
        self._send_report(found, losses, in_progress)

    def _send_report(self, found, losses, in_progress):
        usual_ms = 0.0
        if found:
            usual_ms = sum(self.took_ms) / len(self.took_ms)
            self.took_ms = []
        self.link.send(
            messages.RelayReport(
                self.call.query_id, found, losses, in_progress, usual_ms
            )
        )

    def _end(self):
        self.timer.cancel()
        if self.planned is not None:
            self.planned.cancel()
        self.relay.query_by_key.pop((self.link, self.call.query_id), None)
