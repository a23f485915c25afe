"""Requests that are forwarded unchanged to one endpoint of a service."""

import math

from chervilspindle.policy import shedding
from chervilspindle.routing import drain
from chervilspindle.routing import endpoint_calls
from chervilspindle.routing import permission
from chervilspindle.routing import request_timing
from chervilspindle.routing import routed_request
from chervilspindle.wire import endpoint_http
from chervilspindle.wire import http_server
from chervilspindle.wire import messages

# By these statuses, callers may assume that the request has not run.
NOT_RUN_STATUSES = (408, 421, 429, 503)


class SingleEndpointRequest(routed_request.RoutedRequest):
    """One request to a service, sent to one endpoint at a time.

    Idempotent requests may be hedged to a second endpoint.
    """

    def __init__(self, incoming, service, context, on_done):
        super().__init__(incoming, context, on_done)
        self.service = service
        self.calls = []
        self.tried = []
        self.relays_tried = []  # addresses
        self.relay_vm_ids = []
        self.held_back = []  # endpoints that took no request at that time
        self.possible_runs = 0
        self.send_count = 0
        self.last_failure = None
        self.last_reason = ""

    def start(self):
        """Send to the endpoint with the lowest cost, or refuse if none."""
        if self._is_shed():
            return
        self.context.budget.count_requests((self.service,))
        target = self._choose()
        if target is None:
            table = self.context.table
            self.refuse(
                self.last_reason or table.explain_absence(self.service)
            )
            return
        self._send(target, "first")
        if self.done:
            return
        if self.incoming.route.idempotent:
            self.schedule_at_ms(self.timing.hedge_ms, self._on_hedge_time)
        self.schedule_at_ms(self.timing.deadline_ms, self.on_deadline)
        self.watch_caller()
        self.watch_reachability()

    def _is_shed(self) -> bool:
        """Refuse the request if the endpoints have too much to do."""
        shedder = self.context.shedder
        if not shedder.in_force:
            return False
        now = self.loop.time()
        verdict = shedder.decide(self.incoming, self.service, now)
        if verdict.admitted and self._is_hopeless():
            verdict = verdict._replace(admitted=False)
        if not verdict.admitted:
            self.refuse_overload(verdict)
        return not verdict.admitted

    def _is_hopeless(self) -> bool:
        """Tell whether queues are too long to answer in time anywhere."""
        timing = self.timing
        limit_ms = min(timing.answer_ms, timing.deadline_ms)
        table = self.context.table
        work_ms = table.find_work_ms(self.service)
        return shedding.is_hopeless(
            table.estimate_wait_ms(self.service, work_ms),
            work_ms,
            limit_ms - self.read_elapsed_ms(),
        )

    def _choose(self, is_hedge=False):
        if not self.can_end():
            self.last_reason = self.last_reason or drain.REASON
            return None
        return self.context.table.choose(
            self.service,
            (*self.tried, *self.held_back),
            self.incoming.route.objective_ms,
            is_hedge,
        )

    def _send(self, target, cause):
        if self.is_sent_by_others():
            self._send_by_other(target, cause)
            return
        call = endpoint_calls.build_call(
            self.template,
            self.incoming.request_id,
            target.endpoint.endpoint_id,
            self.read_deadline_s(),
            self.loop.time(),
            self._on_call_ended,
            self.incoming.route.idempotent,
        )
        self._register(call, target, cause)
        send = endpoint_calls.Send(
            target, call, self.template, cause, self._compute_max_wait_s()
        )
        endpoint_calls.submit(send, self.context)

    def _send_by_other(self, target, cause):
        """Let another entry send to an endpoint, as this VM is cut off."""
        relays = self.context.relays
        relay = relays.table.pick_any(self.relays_tried, self.context.random)
        if relay is None:
            self.last_reason = endpoint_calls.CUT_OFF
            if not self.calls:
                self._answer_failure()
            return
        self.relays_tried.append(relay.address)
        self.relay_vm_ids.append(relay.vm_id)
        endpoint_id = target.endpoint.endpoint_id
        message = messages.ForwardCall(
            0,
            endpoint_id,
            self.template.head,
            self.template.tail,
            self.incoming.request_id,
            self.timing.deadline_ms - self.read_elapsed_ms(),
            self._compute_max_wait_s(endpoint_id),
            self.incoming.route.idempotent,
        )
        call = relays.forward(relay, message, self._on_forward_ended)
        target.pool.start_forwarded(call)
        self._register(call, target, cause)

    def _register(self, call, target, cause):
        call.context = (target, cause)
        self.calls.append(call)
        self.tried.append(target.endpoint.endpoint_id)
        self.send_count += 1
        self.possible_runs += 1

    def _compute_max_wait_s(self, *chosen) -> float:
        """Return how long to wait for a permit: 0 if others are open."""
        excluded = (*self.tried, *self.held_back, *chosen)
        now = self.loop.time()
        if self.context.table.is_open(self.service, excluded, now):
            return 0.0
        return endpoint_calls.compute_max_wait_s(
            self.incoming.route.objective_ms, self.read_deadline_s(), now
        )

    def _on_forward_ended(self, call, answer):
        target, _ = call.context
        target.pool.end_forwarded(call)
        self._on_call_ended(call, answer)

    def _on_call_ended(self, call, answer):
        target, cause = call.context
        self.calls.remove(call)
        self.release_sends()
        outcome = endpoint_calls.handle_answer(
            target, call, answer, self.context
        )
        if not outcome.may_have_run:
            self.possible_runs -= 1
        if outcome.reason == endpoint_calls.BROKEN:
            self.record_broken(target.endpoint.endpoint_id)
        if outcome.succeeded or _is_callers_error(outcome, answer):
            self.record_answered()
        if self.done:
            return
        if outcome.succeeded:
            self.record_part_ms((self.loop.time() - call.sent_s) * 1000.0)
            self._forward_answer(answer, "ok")
            return
        self.last_reason = outcome.reason
        if outcome.reason == endpoint_calls.HELD_BACK:
            self.held_back.append(target.endpoint.endpoint_id)
            self._take_back_send(target.endpoint.endpoint_id)
            if not self.calls:
                self._send_instead(cause)
            return
        if endpoint_calls.is_link_failure(outcome.reason, self.context):
            self._take_back_send(target.endpoint.endpoint_id)
            self._send_instead(cause)
            return
        self.context.metrics.count_failure(outcome.reason)
        if outcome.may_have_run and _is_forwardable(answer):
            self.last_failure = answer
        if self.calls:
            return
        if self._may_resend() and self._resend("retry"):
            return
        self._answer_failure()

    def handle_cut_off(self):
        """Send again through another entry what has no answer yet."""
        if not self.is_sent_by_others():
            return
        unsent = [call for call in self.calls if call.connection is None]
        for call in unsent:
            call.cancel()
        if not unsent and self.incoming.route.idempotent:
            self._hedge()

    def _take_back_send(self, endpoint_id):
        """Forget a send of which the endpoint got nothing."""
        self.tried.remove(endpoint_id)
        self.send_count -= 1

    def _send_instead(self, cause):
        """Send in place of a send that was taken back."""
        target = self._choose()
        if target is not None:
            self._send(target, cause)
        elif not self.calls:
            self._answer_failure()

    def _may_resend(self) -> bool:
        route = self.incoming.route
        if self.is_quarantined():
            return False
        if self.send_count >= (
            route.max_attempts + routed_request.MAX_REFUSED_SENDS
        ):
            return False
        if route.idempotent:
            return self.possible_runs < route.max_attempts
        return self.possible_runs == 0

    def _resend(self, cause) -> bool:
        target = self._choose(cause == "hedge")
        if target is None:
            return False
        if not self.context.budget.try_withdraw(self.service):
            self.context.metrics.count_extra_send("over_budget")
            return False
        self.context.metrics.count_extra_send(cause)
        self._send(target, cause)
        return True

    def _on_hedge_time(self):
        """Hedge, or wait for an endpoint that states that it is slow."""
        if self.calls:
            target, _ = self.calls[-1].context
            slowness = self.context.table.read_slowness(
                target.endpoint.endpoint_id
            )
            due_ms = request_timing.delay_hedge_ms(self.timing, slowness)
            if slowness > 1.0 and self.read_elapsed_ms() < due_ms:
                self.schedule_at_ms(due_ms, self._hedge)
                return
        self._hedge()

    def _hedge(self):
        if self.done or not self.calls or not self._may_resend():
            return
        shedder = self.context.shedder
        if not shedder.spares_hedges(self.incoming, self.service):
            self._resend("hedge")

    def is_unsent(self) -> bool:
        """Tell whether certainly no endpoint has the request."""
        return self.possible_runs <= self._count_unsent()

    def end_with(self, reason: str):
        """End without an answer from an endpoint."""
        if self.is_unsent():
            self.refuse(reason)
        else:
            self.finish(504, (), b"", reason)

    def _answer_failure(self):
        if self.possible_runs == 0:
            table = self.context.table
            opening_s = table.find_opening_s(self.service)
            reason = self.last_reason
            if math.isinf(opening_s) and table.has_evacuated(self.service):
                reason = permission.ZONE_OUT
            self.refuse(reason, opening_s - self.loop.time())
        elif self.last_failure is not None:
            self._forward_answer(self.last_failure, self.last_reason)
        else:
            self.finish(502, (), b"", self.last_reason)

    def _forward_answer(self, answer, reason):
        headers = tuple(
            h for h in answer.headers if h[0] not in http_server.HOP_BY_HOP
        )
        self.finish(answer.status, headers, answer.body, reason)

    def build_log_fields(self) -> dict:
        """Return the request-specific fields of the log event."""
        fields = {
            "service": self.service,
            "sends": self.send_count,
            "endpoints": list(self.tried),
        }
        if self.relay_vm_ids:
            fields["relays"] = self.relay_vm_ids
        return fields

    def has_sends(self) -> bool:
        """Tell whether this process holds sends that have not ended."""
        return bool(self.calls)

    def stop_sends(self):
        """Withdraw what is not sent yet; requests in progress run on."""
        for call in list(self.calls):
            if call.connection is None:
                call.cancel()

    def cancel_sends(self):
        """Cancel what is in progress."""
        for call in list(self.calls):
            call.cancel()

    def _count_unsent(self) -> int:
        """Return how many calls are waiting for a connection.

        They are withdrawn when the request ends, so they never run.
        """
        return sum(1 for c in self.calls if c.connection is None)


def _is_callers_error(outcome, answer) -> bool:
    """Tell whether an endpoint has run a request and found it wanting."""
    if not outcome.may_have_run or not _is_forwardable(answer):
        return False
    return answer.status < 500


def _is_forwardable(answer) -> bool:
    """Tell whether a failed answer may be forwarded to the caller.

    Excluded are successes without a signature, and statuses that imply that
    the request has not run when the endpoint did not state that.
    """
    if answer.ending is not endpoint_http.Ending.ANSWERED:
        return False
    return answer.status >= 300 and answer.status not in NOT_RUN_STATUSES
