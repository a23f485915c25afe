"""Wait of a request until it is admitted.

Requests wait for the quota of their client account, and for the trial of a
content that crashed endpoints.
"""

from chervilspindle.accounts import quota_permits
from chervilspindle.routing import drain
from chervilspindle.routing import routed_request


class AdmissionWait:
    """A request that is started once it is admitted, or refused.

    It is in progress meanwhile, like a routed request, and is certainly not
    run: nothing of it is sent. It is prepared while the reply is on its way.

    Parameters
    ----------
    incoming : endpoint_calls.IncomingRequest
    context : endpoint_calls.Context
    ask : callable
        ``ask(on_outcome)`` asks for the admission. It calls
        ``on_outcome(outcome)`` once, maybe before it returns, with the fields
        of `quota_permits.Outcome`, and returns an object whose ``cancel()``
        prevents that.
    prepare : callable
        ``prepare(incoming)`` returns the prepared request, or None. It is
        called after `ask`, and must neither send nor count.
    on_admitted : callable
        ``on_admitted(incoming, prepared)`` starts the request; `prepared` is
        None if the admission needed no reply.
    on_done : callable
        ``on_done(incoming, status, fields)`` is called if it is not started.
    """

    def __init__(self, incoming, context, ask, prepare, on_admitted, on_done):
        self.incoming = incoming
        self.context = context
        self.ask = ask
        self.prepare = prepare
        self.on_admitted = on_admitted
        self.on_done = on_done
        self.admission = None
        self.prepared = None
        self.done = False

    def start(self):
        """Ask for the admission; may end the wait before it returns."""
        self.incoming.exchange.on_abandoned = self._on_caller_left
        self.admission = self.ask(self._handle_outcome)
        if not self.done:
            self.prepared = self.prepare(self.incoming)

    def refuse_late(self):
        """Refuse a request that can't end before this VM stops."""
        if self.done:
            return
        verdict = self.context.drain.decide(
            self.incoming.route, self._read_left_ms() / 1000.0
        )
        if not verdict.taken:
            self.context.metrics.count_drained("waiting")
            self._refuse(503, drain.REASON, drain.RETRY_AFTER_S, {})

    def end_for_stop(self):
        """Refuse the request, as this VM has to stop."""
        if not self.done:
            self.context.metrics.count_drained("ended")
            self._refuse(503, drain.REASON, drain.RETRY_AFTER_S, {})

    def _handle_outcome(self, outcome):
        if not outcome.granted:
            is_limit = outcome.reason == quota_permits.REFUSED
            self._refuse(
                429 if is_limit else 503,
                outcome.reason,
                outcome.wait_s,
                outcome.fields,
            )
        elif self._read_left_ms() <= 0.0:
            self._refuse(503, "deadline", 0.0, {})
        else:
            self._close()
            self.on_admitted(self.incoming, self.prepared)

    def _read_left_ms(self) -> float:
        """Return the time until the deadline, which began at the read."""
        received_s = self.incoming.exchange.request.received_s
        elapsed_ms = (self.context.loop.time() - received_s) * 1000.0
        return self.incoming.get_longest_ms() - elapsed_ms

    def _refuse(self, status, reason, wait_s, fields):
        self._close()
        headers = ((b"Retry-After", b"%.2f" % wait_s),)
        self.incoming.exchange.respond(status, headers)
        self.on_done(self.incoming, status, {"why": reason, **fields})

    def _on_caller_left(self):
        self._close()
        status = routed_request.CALLER_LEFT_STATUS
        self.on_done(self.incoming, status, {"why": "caller_left"})

    def _close(self):
        self.done = True
        self.incoming.exchange.on_abandoned = None
        if self.admission is not None:
            self.admission.cancel()
