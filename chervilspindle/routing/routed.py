"""What requests to one endpoint and to many have in common.

A routed request has times at which something is due, sends to endpoints,
and ends once: with an answer, or because its caller left.
"""

from chervilspindle.routing import forwarding
from chervilspindle.routing import policy
from chervilspindle.wire import endpoint_http

MAX_REFUSED_SENDS = 3  # sends beyond the attempts that may run
CALLER_LEFT_STATUS = 499  # in logs and counters; nobody is there to get it


class RoutedRequest:
    """One request of a caller.

    Parameters
    ----------
    incoming : forwarding.Incoming
    context : forwarding.Context
    on_done : callable
        ``on_done(incoming, status, fields)`` after the answer.
    """

    def __init__(self, incoming, context, on_done):
        self.incoming = incoming
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
            context.pace.lag_ms,
        )
        self.message = forwarding.Message(incoming, context.names)
        self.done = False
        self.timers = []

    def describe(self) -> dict:
        """Return the fields of the request's log line."""
        raise NotImplementedError

    def list_calls(self) -> list:
        """Return the sends that are in progress."""
        raise NotImplementedError

    def call_at(self, after_ms, callback):
        """Run `callback` some time after the request was read."""
        due = self.started_s + after_ms / 1000.0
        self.timers.append(self.loop.call_at(due, callback))

    def read_elapsed_ms(self) -> float:
        """Return the time since the request was read."""
        return (self.loop.time() - self.started_s) * 1000.0

    def build_call(self, endpoint_id, on_end, reusable=True):
        """Build a send with what is left of the time."""
        left_ms = self.timing.deadline_ms - self.read_elapsed_ms()
        return endpoint_http.Call(
            self.message.build(endpoint_id, left_ms),
            self.incoming.request_id,
            self.loop.time() + left_ms / 1000.0 + forwarding.GIVE_UP_MARGIN_S,
            on_end,
            reusable,
        )

    def judge(self, call, target, answer) -> forwarding.Verdict:
        """Judge the end of a send and take it in."""
        names = self.context.names.lower
        verdict = forwarding.judge_answer(answer, names)
        forwarding.note_result(target, call, answer, verdict, self.context)
        return verdict

    def note_usual(self, call):
        """Take in the time of a good answer."""
        took_ms = (self.loop.time() - call.sent_s) * 1000.0
        usual = self.context.pace.usual_ms_by_route
        name = self.incoming.route.name
        usual[name] = policy.smooth_usual(usual.get(name), took_ms)

    def count_unsent(self) -> int:
        """Return how many sends still wait for a connection.

        They are withdrawn when the request ends, so they will never run.
        """
        return sum(1 for c in self.list_calls() if c.connection is None)

    def choose_again(self, service, tried):
        """Return an endpoint for one more send, None without room."""
        target = self.context.table.choose(service, tried)
        if target is None:
            return None
        if not self.context.budget.spend(service):
            self.context.metrics.count_extra("over_budget")
            return None
        return target

    def watch_caller(self):
        """Stop working once the caller leaves."""
        self.incoming.exchange.on_abandoned = self._abandon

    def refuse(self, reason):
        """Answer that the request has not run, and when to come back."""
        retry_after = b"%.2f" % policy.RETRY_AFTER_S
        self.finish(503, ((b"Retry-After", retry_after),), b"", reason)

    def finish(self, status, headers, body, reason):
        """Answer; what is still in progress ends by itself."""
        self._end()
        self.incoming.exchange.respond(status, headers, body)
        self.on_done(self.incoming, status, {"why": reason, **self.describe()})

    def _abandon(self):
        if self.done:
            return
        self._end()
        fields = {"why": "caller_left", **self.describe()}
        self.on_done(self.incoming, CALLER_LEFT_STATUS, fields)
        if self.incoming.route.idempotent:
            self.loop.call_later(
                forwarding.ABANDON_DELAY_S, self._cancel_calls
            )

    def _end(self):
        self.done = True
        for timer in self.timers:
            timer.cancel()
        for call in self.list_calls():
            if call.connection is None:
                call.cancel()

    def _cancel_calls(self):
        for call in self.list_calls():
            call.cancel()
