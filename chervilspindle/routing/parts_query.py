"""Sends some shards of a query to one endpoint each.

Runs at the entry of the query itself, or at a relay for another entry. It
never sends a shard twice: hedges and retries are decided where the query
and its budget are known.
"""

from chervilspindle.routing import forwarding
from chervilspindle.wire import messages


class PartsQuery:
    """Shards that are sent from this process.

    Parameters
    ----------
    context : forwarding.Context
    message : forwarding.Message
    request_id : bytes
    deadline_s : float
        Loop time until which endpoints may answer.
    listener
        Gets ``take_part(query, service, stamp, body, took_ms)``,
        ``lose_part(query, loss)`` and ``note_endpoint(query, service,
        endpoint_id)``.
    """

    presumed_lost = False  # endpoints are judged one by one

    def __init__(self, context, message, request_id, deadline_s, listener):
        self.context = context
        self.message = message
        self.request_id = request_id
        self.deadline_s = deadline_s
        self.listener = listener
        self.call_by_service = {}
        self.stopped = False

    def start(self, services, tried_by_service):
        """Send each shard to the endpoint that costs the least."""
        table = self.context.table
        now = self.context.loop.time()
        for service in services:
            if self.stopped:
                return
            target = table.choose(service, tried_by_service.get(service, ()))
            if target is None:
                loss = messages.Loss(service, "", "no_endpoint", False)
                self.listener.on_part_lost(self, loss)
                continue
            endpoint_id = target.endpoint.endpoint_id
            call = forwarding.build_call(
                self.message,
                self.request_id,
                endpoint_id,
                self.deadline_s,
                now,
                self._end_call,
            )
            call.context = (service, target)
            self.call_by_service[service] = call
            self.listener.on_endpoint_chosen(self, service, endpoint_id)
            target.pool.submit(call)

    def is_silent(self) -> bool:
        """Tell whether nothing is known of what was sent."""
        return False

    def may_have_run(self) -> bool:
        """Tell whether an endpoint may be at work."""
        return any(
            c.connection is not None for c in self.call_by_service.values()
        )

    def stop(self):
        """Send nothing more; what was sent ends by itself."""
        self.stopped = True
        for call in list(self.call_by_service.values()):
            if call.connection is None:
                call.cancel()

    def cancel(self):
        """Give up what is in progress."""
        self.stopped = True
        for call in list(self.call_by_service.values()):
            call.cancel()

    def _end_call(self, call, answer):
        service, target = call.context
        del self.call_by_service[service]
        context = self.context
        verdict = forwarding.take_answer(target, call, answer, context)
        if verdict.good:
            took_ms = (context.loop.time() - call.sent_s) * 1000.0
            stamp = answer.get_header(context.names.lower.stamp)
            self.listener.on_part(self, service, stamp, answer.body, took_ms)
            return
        context.metrics.count_failure(verdict.reason)
        endpoint_id = target.endpoint.endpoint_id
        loss = messages.Loss(service, endpoint_id, verdict.reason, verdict.ran)
        self.listener.on_part_lost(self, loss)
