"""Dispatch of shards from this process to one endpoint each.

Used by the entry of a query, and by a relay on behalf of another entry. A
dispatch never sends a shard twice: hedges and retries are decided by the
entry, which knows the whole query and its budget.
"""

from chervilspindle.routing import endpoint_calls
from chervilspindle.routing import record_merging
from chervilspindle.wire import messages
from chervilspindle.wire import receive_limits


class DirectDispatch:
    """Shards of one query that are sent from this process.

    Parameters
    ----------
    context : endpoint_calls.Context
    template : endpoint_calls.RequestTemplate
    request_id : bytes
    deadline_s : float
        Loop time until which endpoints may answer.
    top_k : int
        Number of greatest records that the query asks for.
    objective_ms : float
        Latency objective of the query; 0 if it has none.
    cause : str
        For logs: why the shards are sent.
    listener
        Gets ``on_part(dispatch, service, stamp, body, took_ms)``,
        ``on_part_lost(dispatch, loss)`` and ``on_endpoint_chosen(dispatch,
        service, endpoint_id)``.
    """

    presumed_lost = False  # only relays are presumed lost as a whole

    def __init__(
        self,
        context,
        template,
        request_id,
        deadline_s,
        top_k,
        objective_ms,
        cause,
        listener,
    ):
        self.context = context
        self.template = template
        self.request_id = request_id
        self.deadline_s = deadline_s
        self.top_k = top_k
        self.objective_ms = objective_ms
        self.cause = cause
        self.part_limit_bytes = receive_limits.compute_part_limit(
            top_k, record_merging.RECORD_BYTES
        )
        self.listener = listener
        self.call_by_service = {}
        self.stopped = False

    def start(self, services, tried_by_service):
        """Send each shard to the endpoint with the lowest cost."""
        for service in services:
            if self.stopped:
                return
            excluded = tried_by_service.get(service, ())
            if not self._send(service, excluded):
                reason = self.context.table.explain_absence(service)
                loss = messages.Loss(service, "", reason, False)
                self.listener.on_part_lost(self, loss)

    def _send(self, service, excluded) -> bool:
        """Send a shard to an endpoint that is not in `excluded`.

        Returns
        -------
        bool
            False if there is none.
        """
        table = self.context.table
        target = table.choose(
            service, excluded, self.objective_ms, self.cause == "hedge"
        )
        if target is None:
            return False
        now = self.context.loop.time()
        endpoint_id = target.endpoint.endpoint_id
        excluded = (*excluded, endpoint_id)
        call = endpoint_calls.build_call(
            self.template,
            self.request_id,
            endpoint_id,
            self.deadline_s,
            now,
            self._on_call_ended,
            max_body_bytes=self.part_limit_bytes,
        )
        call.context = (service, target, excluded)
        self.call_by_service[service] = call
        self.listener.on_endpoint_chosen(self, service, endpoint_id)
        max_wait_s = 0.0
        if not table.is_open(service, excluded, now):
            max_wait_s = endpoint_calls.compute_max_wait_s(
                self.objective_ms, self.deadline_s, now
            )
        send = endpoint_calls.Send(
            target, call, self.template, self.cause, max_wait_s
        )
        endpoint_calls.submit(send, self.context)
        return True

    def awaits_report(self) -> bool:
        """Tell whether a relay has yet to report; never without a relay."""
        return False

    def may_have_run(self) -> bool:
        """Tell whether an endpoint may be running a shard."""
        return any(
            c.connection is not None for c in self.call_by_service.values()
        )

    def has_calls(self) -> bool:
        """Tell whether calls to endpoints have not ended."""
        return bool(self.call_by_service)

    def stop(self):
        """Withdraw what is not sent yet; requests in progress run on."""
        self.stopped = True
        for call in list(self.call_by_service.values()):
            if call.connection is None:
                call.cancel()

    def withdraw_unsent(self) -> list[str]:
        """Withdraw shards that wait for a connection.

        The listener is not told.

        Returns
        -------
        list of str
            Their services.
        """
        services = []
        for service, call in list(self.call_by_service.items()):
            if call.connection is None:
                del self.call_by_service[service]
                call.on_end = _ignore_end
                call.cancel()
                services.append(service)
        return services

    def abandon(self) -> list[str]:
        """Cancel what is in progress without telling the listener.

        Returns
        -------
        list of str
            The services of the cancelled shards.
        """
        calls, self.call_by_service = self.call_by_service, {}
        self.stopped = True
        for call in calls.values():
            call.on_end = _ignore_end
            call.cancel()
        return list(calls)

    def cancel(self):
        """Cancel what is in progress."""
        self.stopped = True
        for call in list(self.call_by_service.values()):
            call.cancel()

    def _on_call_ended(self, call, answer):
        service, target, excluded = call.context
        del self.call_by_service[service]
        context = self.context
        outcome = endpoint_calls.handle_answer(target, call, answer, context)
        if outcome.succeeded:
            took_ms = (context.loop.time() - call.sent_s) * 1000.0
            stamp = answer.get_header(context.names.lower.stamp)
            body = record_merging.trim_part(answer.body, self.top_k)
            self.listener.on_part(self, service, stamp, body, took_ms)
            return
        if outcome.reason == endpoint_calls.HELD_BACK:
            if not self.stopped and self._send(service, excluded):
                return
        context.metrics.count_failure(outcome.reason)
        endpoint_id = target.endpoint.endpoint_id
        loss = messages.Loss(
            service, endpoint_id, outcome.reason, outcome.may_have_run
        )
        self.listener.on_part_lost(self, loss)


def _ignore_end(call, answer):
    """Do nothing: the sender has withdrawn the call."""
