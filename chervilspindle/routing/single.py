"""A request that one endpoint answers, passed through unchanged."""

from chervilspindle.routing import forwarding
from chervilspindle.routing import policy
from chervilspindle.wire import endpoint_http
from chervilspindle.wire import http_server

MAX_REFUSED_SENDS = 3  # sends beyond the attempts that may run
PROMISES_NOT_RUN = (408, 421, 429, 503)


class Forward:
    """One request to one endpoint of a service.

    Parameters
    ----------
    incoming : forwarding.Incoming
    service : str
    context : forwarding.Context
    on_done : callable
        ``on_done(incoming, status, fields)`` after the answer.
    """

    def __init__(self, incoming, service, context, on_done):
        self.incoming = incoming
        self.service = service
        self.context = context
        self.on_done = on_done
        self.loop = context.loop
        route = incoming.route
        request = incoming.exchange.request
        self.started_s = request.received_s
        self.timing = policy.plan_timing(
            route.objective_ms,
            route.timeout_ms,
            incoming.caller_ms,
            request.is_first,
            context.pace.usual_ms_by_route.get(route.name, 0.0),
        )
        self.message = forwarding.Message(incoming, context.names)
        self.calls = []
        self.tried = []
        self.may_have_run = 0
        self.sends = 0
        self.last_failure = None
        self.last_reason = ""
        self.done = False
        self.timers = []

    def start(self):
        """Send to the best endpoint, or refuse without one."""
        self.context.budget.count_requests((self.service,))
        target = self.context.table.choose(self.service)
        if target is None:
            self._refuse("no_endpoint")
            return
        self._send(target)
        if self.done:
            return
        if self.incoming.route.idempotent:
            self._call_at(self.timing.hedge_ms, self._hedge)
        self._call_at(self.timing.deadline_ms, self._expire)
        self.incoming.exchange.on_abandoned = self._abandon

    def _call_at(self, after_ms, callback):
        due = self.started_s + after_ms / 1000.0
        self.timers.append(self.loop.call_at(due, callback))

    def _read_left_ms(self):
        elapsed = (self.loop.time() - self.started_s) * 1000.0
        return self.timing.deadline_ms - elapsed

    def _send(self, target):
        endpoint_id = target.endpoint.endpoint_id
        left_ms = self._read_left_ms()
        call = endpoint_http.Call(
            self.message.build(endpoint_id, left_ms),
            self.incoming.request_id,
            self.loop.time() + left_ms / 1000.0 + forwarding.GIVE_UP_MARGIN_S,
            self._end_call,
            self.incoming.route.idempotent,
        )
        call.context = target
        self.calls.append(call)
        self.tried.append(endpoint_id)
        self.sends += 1
        self.may_have_run += 1
        target.pool.submit(call)

    def _end_call(self, call, answer):
        target = call.context
        self.calls.remove(call)
        verdict = forwarding.judge_answer(answer, self.context.names.lower)
        forwarding.note_result(target, call, answer, verdict, self.context)
        if not verdict.ran:
            self.may_have_run -= 1
        if self.done:
            return
        if verdict.good:
            usual = self.context.pace.usual_ms_by_route
            name = self.incoming.route.name
            took = (self.loop.time() - call.sent_s) * 1000.0
            usual[name] = policy.smooth_usual(usual.get(name), took)
            self._pass_on(answer, "ok")
            return
        self.last_reason = verdict.reason
        self.context.metrics.count_failure(verdict.reason)
        if verdict.ran and _may_pass_on(answer):
            self.last_failure = answer
        if self.calls:
            return
        if self._may_send() and self._send_again("retry"):
            return
        self._end_failed()

    def _may_send(self) -> bool:
        route = self.incoming.route
        if self.sends >= route.max_attempts + MAX_REFUSED_SENDS:
            return False
        if route.idempotent:
            return self.may_have_run < route.max_attempts
        return self.may_have_run == 0

    def _send_again(self, cause) -> bool:
        target = self.context.table.choose(self.service, self.tried)
        if target is None:
            return False
        if not self.context.budget.spend(self.service):
            self.context.metrics.count_extra("over_budget")
            return False
        self.context.metrics.count_extra(cause)
        self._send(target)
        return True

    def _hedge(self):
        if not self.done and self.calls and self._may_send():
            self._send_again("hedge")

    def _expire(self):
        if self.done:
            return
        if self.may_have_run:
            self._finish(504, (), b"", "deadline")
        else:
            self._refuse("deadline")

    def _end_failed(self):
        if self.may_have_run == 0:
            self._refuse(self.last_reason)
        elif self.last_failure is not None:
            self._pass_on(self.last_failure, self.last_reason)
        else:
            self._finish(502, (), b"", self.last_reason)

    def _refuse(self, reason):
        retry_after = b"%.2f" % policy.RETRY_AFTER_S
        self._finish(503, ((b"Retry-After", retry_after),), b"", reason)

    def _pass_on(self, answer, reason):
        headers = tuple(
            h for h in answer.headers if h[0] not in http_server.HOP_BY_HOP
        )
        self._finish(answer.status, headers, answer.body, reason)

    def _finish(self, status, headers, body, reason):
        self.done = True
        for timer in self.timers:
            timer.cancel()
        self.incoming.exchange.respond(status, headers, body)
        self._report(status, reason)

    def _report(self, status, reason):
        fields = {
            "why": reason,
            "service": self.service,
            "sends": self.sends,
            "endpoints": list(self.tried),
        }
        self.on_done(self.incoming, status, fields)

    def _abandon(self):
        """Stop working for a caller that has left."""
        if self.done:
            return
        self.done = True
        for timer in self.timers:
            timer.cancel()
        self._report(499, "caller_left")
        if self.incoming.route.idempotent:
            self.loop.call_later(
                forwarding.ABANDON_DELAY_S, self._cancel_calls
            )

    def _cancel_calls(self):
        for call in list(self.calls):
            call.cancel()


def _may_pass_on(answer) -> bool:
    """Tell whether a failed answer may reach the caller as it is.

    Not a success without a signature, nor a status that promises that the
    request has not run, when the endpoint did not say so itself.
    """
    if answer.ending is not endpoint_http.Ending.ANSWERED:
        return False
    return answer.status >= 300 and answer.status not in PROMISES_NOT_RUN
