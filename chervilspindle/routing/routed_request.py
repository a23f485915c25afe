"""Base class of requests to one endpoint and to all shards of a route.

A routed request has timers, sends to endpoints, and ends once: with an
answer, or because its caller disconnected.
"""

import math

from chervilspindle.core import logs
from chervilspindle.routing import drain
from chervilspindle.routing import endpoint_calls
from chervilspindle.routing import request_content
from chervilspindle.routing import request_timing
from chervilspindle.wire import caller_limits

# Sends beyond `max_attempts`, possible because refused ones don't count.
MAX_REFUSED_SENDS = 3
MAX_LOGGED_ENDPOINTS = 8
CALLER_LEFT_STATUS = 499  # for logs and metrics only; never sent


class RoutedRequest:
    """One request of a caller; abstract.

    Parameters
    ----------
    incoming : endpoint_calls.IncomingRequest
    context : endpoint_calls.Context
    on_done : callable
        ``on_done(incoming, status, fields)``, called once at the end.
    """

    def __init__(self, incoming, context, on_done):
        self.incoming = incoming
        self.context = context
        self.on_done = on_done
        self.loop = context.loop
        route = incoming.route
        request = incoming.exchange.request
        self.started_s = request.received_s
        self.longest_ms = incoming.get_longest_ms()
        left_s = context.drain.end_s - self.started_s
        self.timing = request_timing.plan_timing(
            route.objective_ms,
            route.timeout_ms,
            min(self.longest_ms, max(0.0, left_s * 1000.0)),
            request.is_first,
            context.latency_estimates.part_ms_by_route.get(
                route.name, request_timing.INITIAL_PART_MS
            ),
            context.latency_estimates.lag_ms
            + context.latency_estimates.estimate_answer_send_ms(route),
            request.round_trip_ms,
        )
        self.template = endpoint_calls.build_request_template(
            incoming, context.names
        )
        self.done = False
        self.hold = None  # of sends that outlive the answer
        self.timers = []
        self.broken_endpoints = []  # that closed the connection at work
        self.answered = False  # by any endpoint, with a success
        self.content = ""  # see `get_content`
        self.shed_fields = {}  # of the log event, if refused by load

    def build_log_fields(self) -> dict:
        """Return the request-specific fields of the log event."""
        raise NotImplementedError

    def is_unsent(self) -> bool:
        """Tell whether certainly no endpoint has any of the request."""
        raise NotImplementedError

    def end_with(self, reason: str):
        """End with what there is: an answer, or that it came too late."""
        raise NotImplementedError

    def can_end(self) -> bool:
        """Tell whether a send from now on can end before this VM stops."""
        if not self.context.drain.is_started():
            return True
        deadline_s = (self.longest_ms - self.read_elapsed_ms()) / 1000.0
        verdict = self.context.drain.decide(self.incoming.route, deadline_s)
        return verdict.taken

    def refuse_late(self):
        """Refuse a request that waits to be sent and can't end any more."""
        if not self.done and self.is_unsent() and not self.can_end():
            self.context.metrics.count_drained("waiting")
            self.refuse(drain.REASON)

    def end_for_stop(self):
        """End a request that is in progress when this VM has to stop."""
        if not self.done:
            self.context.metrics.count_drained("ended")
            self.end_with(drain.REASON)

    def on_deadline(self):
        """End at the caller's deadline, or when this VM has to stop."""
        if self.timing.deadline_ms < self.longest_ms:
            self.end_for_stop()
        elif not self.done:
            self.end_with("deadline")

    def is_sent_by_others(self) -> bool:
        """Tell whether other entries send, as this VM is cut off."""
        return (
            self.context.reachability.is_cut_off
            and self.context.relays.table.has_others()
        )

    def has_sends(self) -> bool:
        """Tell whether this process holds sends that have not ended."""
        raise NotImplementedError

    def stop_sends(self):
        """Withdraw what is not sent yet; requests in progress run on."""
        raise NotImplementedError

    def cancel_sends(self):
        """Cancel what is in progress."""
        raise NotImplementedError

    def handle_cut_off(self):
        """Send through other entries what this VM can't send any more."""
        raise NotImplementedError

    def schedule_at_ms(self, elapsed_ms, callback):
        """Run `callback` at a time in ms since the request was read."""
        due_s = self.started_s + elapsed_ms / 1000.0
        self.timers.append(self.loop.call_at(due_s, callback))

    def read_elapsed_ms(self) -> float:
        """Return the time in ms since the request was read."""
        return (self.loop.time() - self.started_s) * 1000.0

    def read_deadline_s(self) -> float:
        """Return the loop time at which the request times out."""
        return self.started_s + self.timing.deadline_ms / 1000.0

    def record_part_ms(self, took_ms: float):
        """Update the smoothed part time of the route."""
        part_ms_by_route = self.context.latency_estimates.part_ms_by_route
        name = self.incoming.route.name
        part_ms_by_route[name] = request_timing.smooth_part_ms(
            part_ms_by_route.get(name), took_ms
        )

    def watch_caller(self):
        """End the request when the caller disconnects."""
        self.incoming.exchange.on_abandoned = self._on_caller_left

    def watch_reachability(self):
        """Have `handle_cut_off` called if this VM loses all endpoints."""
        self.context.reachability.listeners.add(self)

    def refuse(self, reason, wait_s=0.0):
        """Answer 503: the request has not run and may be retried.

        Parameters
        ----------
        wait_s : float
            Time before which a retry could not be served; infinite if it is
            not known when it could be.
        """
        if math.isinf(wait_s):
            wait_s = 0.0
        min_wait_s = request_timing.RETRY_AFTER_S
        if reason == drain.REASON:
            min_wait_s = drain.RETRY_AFTER_S
        wait_s = max(min_wait_s, wait_s)
        retry_after = b"%.2f" % wait_s
        self.finish(503, ((b"Retry-After", retry_after),), b"", reason)

    def refuse_overload(self, verdict):
        """Refuse the request by load shedding.

        Parameters
        ----------
        verdict : overload.Verdict
        """
        self.shed_fields = verdict.build_log_fields(self.incoming)
        self.context.metrics.count_shed(
            self.incoming.route.name, self.shed_fields["priority"]
        )
        self.refuse("overload", self.context.shedder.draw_retry_s())

    def finish(self, status, headers, body, reason):
        """Answer the caller and end the request.

        Sends in progress run on.
        """
        self._close()
        self.incoming.exchange.respond(status, headers, body)
        self._hold_sends()
        fields = {
            "why": reason,
            **self.build_log_fields(),
            **self.shed_fields,
            **self._build_broken_fields(),
        }
        self.on_done(self.incoming, status, fields)

    def _hold_sends(self):
        """Count the request for as long as its sends outlive the answer."""
        held_bytes = self.template.count_bytes()
        if held_bytes > caller_limits.SMALL_BYTES and self.has_sends():
            self.hold = caller_limits.RunningHold()
            self.context.caller_budget.hold(self.hold, held_bytes)
        elif not self.has_sends():
            self.template.clear()

    def release_sends(self):
        """Drop a request that was answered, after its last send."""
        if self.hold is not None and not self.has_sends():
            self.context.caller_budget.release(self.hold)
            self.hold = None
            self.template.clear()

    def record_broken(self, endpoint_id: str):
        """Record that an endpoint broke off while it had the request."""
        self.broken_endpoints.append(endpoint_id)
        self.context.quarantine.suspect(self, endpoint_id)
        if self.done:
            self._log_broken()

    def record_answered(self):
        """Record that an endpoint has answered, so that it can be run."""
        if not self.answered:
            self.answered = True
            self.context.quarantine.record_content_answered(self.get_content())

    def get_content(self) -> str:
        """Return the digest of the request's content."""
        if not self.content:
            request = self.incoming.exchange.request
            self.content = request_content.compute_digest(request)
        return self.content

    def is_quarantined(self) -> bool:
        """Tell whether this request must not be sent to further endpoints."""
        if self.answered:
            return False
        quarantined = self.context.quarantine
        request = self.incoming.exchange.request
        if self.incoming.is_trial and quarantined.is_refused(request):
            return True
        return bool(self.broken_endpoints) and quarantined.holds_resends(
            request
        )

    def _build_broken_fields(self) -> dict:
        if not self.broken_endpoints:
            return {}
        return {
            "broken": self.broken_endpoints[:MAX_LOGGED_ENDPOINTS],
            "content": self.get_content(),
        }

    def _log_broken(self):
        """Log what broke off after the request's own line was written."""
        logs.log_decision(
            "broken-late",
            request_id=self.incoming.request_id.decode("latin-1"),
            **self._build_broken_fields(),
        )

    def _on_caller_left(self):
        if self.done:
            return
        self._close()
        self._hold_sends()
        fields = {
            "why": "caller_left",
            **self.build_log_fields(),
            **self._build_broken_fields(),
        }
        self.on_done(self.incoming, CALLER_LEFT_STATUS, fields)
        if self.incoming.route.idempotent:
            self.loop.call_later(
                endpoint_calls.CALLER_LEFT_CANCEL_DELAY_S, self.cancel_sends
            )

    def _close(self):
        self.done = True
        self.context.reachability.listeners.discard(self)
        for timer in self.timers:
            timer.cancel()
        self.stop_sends()
