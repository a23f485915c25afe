"""A request that one endpoint answers, passed through unchanged."""

from chervilspindle.routing import endpoint_calls
from chervilspindle.routing import routed_request
from chervilspindle.wire import endpoint_http
from chervilspindle.wire import http_server

PROMISES_NOT_RUN = (408, 421, 429, 503)


class Forward(routed_request.RoutedRequest):
    """One request to one endpoint of a service."""

    def __init__(self, incoming, service, context, on_done):
        super().__init__(incoming, context, on_done)
        self.service = service
        self.calls = []
        self.tried = []
        self.may_have_run = 0
        self.sends = 0
        self.last_failure = None
        self.last_reason = ""

    def start(self):
        """Send to the best endpoint, or refuse without one."""
        self.context.budget.count_requests((self.service,))
        target = self.context.table.choose(self.service)
        if target is None:
            self.refuse("no_endpoint")
            return
        self._send(target)
        if self.done:
            return
        if self.incoming.route.idempotent:
            self.call_at(self.timing.hedge_ms, self._hedge)
        self.call_at(self.timing.deadline_ms, self._expire)
        self.watch_caller()

    def _send(self, target):
        endpoint_id = target.endpoint.endpoint_id
        call = endpoint_calls.build_call(
            self.message,
            self.incoming.request_id,
            endpoint_id,
            self.read_deadline_s(),
            self.loop.time(),
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
        verdict = endpoint_calls.take_answer(
            target, call, answer, self.context
        )
        if not verdict.ran:
            self.may_have_run -= 1
        if self.done:
            return
        if verdict.good:
            self.note_usual((self.loop.time() - call.sent_s) * 1000.0)
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
        if self.sends >= route.max_attempts + routed_request.MAX_REFUSED_SENDS:
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
        if self.may_have_run > self._count_unsent():
            self.finish(504, (), b"", "deadline")
        else:
            self.refuse("deadline")

    def _end_failed(self):
        if self.may_have_run == 0:
            self.refuse(self.last_reason)
        elif self.last_failure is not None:
            self._pass_on(self.last_failure, self.last_reason)
        else:
            self.finish(502, (), b"", self.last_reason)

    def _pass_on(self, answer, reason):
        headers = tuple(
            h for h in answer.headers if h[0] not in http_server.HOP_BY_HOP
        )
        self.finish(answer.status, headers, answer.body, reason)

    def describe(self) -> dict:
        """Return the fields of the request's log line."""
        return {
            "service": self.service,
            "sends": self.sends,
            "endpoints": list(self.tried),
        }

    def stop_sends(self):
        """Send nothing more; what was sent ends by itself."""
        for call in list(self.calls):
            if call.connection is None:
                call.cancel()

    def cancel_sends(self):
        """Give up what is in progress."""
        for call in list(self.calls):
            call.cancel()

    def _count_unsent(self) -> int:
        """Return how many sends still wait for a connection.

        They are withdrawn when the request ends, so they will never run.
        """
        return sum(1 for c in self.calls if c.connection is None)


def _may_pass_on(answer) -> bool:
    """Tell whether a failed answer may reach the caller as it is.

    Not a success without a signature, nor a status that promises that the
    request has not run, when the endpoint did not say so itself.
    """
    if answer.ending is not endpoint_http.Ending.ANSWERED:
        return False
    return answer.status >= 300 and answer.status not in PROMISES_NOT_RUN
