"""What requests to one endpoint and to many have in common.

A routed request has times at which something is due, sends to endpoints,
and ends once: with an answer, or because its caller left.
"""

from chervilspindle.routing import endpoint_calls
from chervilspindle.routing import policy

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
            context.latency_estimates.part_ms_by_route.get(
                route.name, policy.FIRST_USUAL_MS
            ),
            context.latency_estimates.lag_ms
            + context.latency_estimates.compute_answer_ms(route),
        )
        self.message = endpoint_calls.build_message(incoming, context.names)
        self.done = False
        self.timers = []

    def describe(self) -> dict:
        """Return the fields of the request's log line."""
        raise NotImplementedError

    def stop_sends(self):
        """Send nothing more; what was sent ends by itself."""
        raise NotImplementedError

    def cancel_sends(self):
        """Give up what is in progress."""
        raise NotImplementedError

    def call_at(self, after_ms, callback):
        """Run `callback` some time after the request was read."""
        due = self.started_s + after_ms / 1000.0
        self.timers.append(self.loop.call_at(due, callback))

    def read_elapsed_ms(self) -> float:
        """Return the time since the request was read."""
        return (self.loop.time() - self.started_s) * 1000.0

    def read_deadline_s(self) -> float:
        """Return the loop time at which the request is given up."""
        return self.started_s + self.timing.deadline_ms / 1000.0

    def note_usual(self, took_ms: float):
        """Take in the time of good answers."""
        usual = self.context.latency_estimates.part_ms_by_route
        name = self.incoming.route.name
        usual[name] = policy.smooth_usual(usual.get(name), took_ms)

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
                endpoint_calls.ABANDON_DELAY_S, self.cancel_sends
            )

    def _end(self):
        self.done = True
        for timer in self.timers:
            timer.cancel()
        self.stop_sends()
