"""A request to all shards: send, hedge, retry, merge and answer.

All shards come from the one document that was in force when the request
was read. The answer goes out when every shard has answered, or shortly
before the objective with the parts that are there, if they cover enough.
"""

from chervilspindle.policy import hedging
from chervilspindle.routing import forwarding
from chervilspindle.routing import merge
from chervilspindle.routing import policy
from chervilspindle.wire import endpoint_http

RECHECK_MS = 2.0  # a small part of the least time until a hedge
LOGGED_SENDS = 8  # second sends that the line of a request names
MAX_REFUSED_SENDS = 3  # sends of a shard beyond the attempts that may run


class Shard:
    """One shard of a request; a mutable row."""

    __slots__ = (
        "service",
        "calls",
        "tried",
        "may_have_run",
        "sends",
        "stamp",
        "body",
        "reason",
    )

    def __init__(self, service):
        self.service = service
        self.calls = []
        self.tried = []
        self.may_have_run = 0
        self.sends = 0
        self.stamp = None
        self.body = b""
        self.reason = ""

    def is_open(self) -> bool:
        """Tell whether an answer may still come."""
        return self.stamp is None and bool(self.calls)


class FanOut:
    """One request to all shards of its route.

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
        usual = context.pace.usual_ms_by_route.get(route.name, 0.0)
        request = incoming.exchange.request
        self.started_s = request.received_s
        self.timing = policy.plan_timing(
            route.objective_ms,
            route.timeout_ms,
            incoming.caller_ms,
            request.is_first,
            usual,
            context.pace.lag_ms,
        )
        self.message = forwarding.Message(incoming, context.names)
        self.shards = [Shard(service) for service in route.shards]
        self.needed = policy.count_needed(len(self.shards), route.min_coverage)
        self.answered = 0
        self.lost = 0  # shards that can get no part any more
        self.hedges = 0
        self.retries = 0
        self.again = []
        self.ran = False
        self.done = False
        self.past_answer_time = False
        self.timers = []

    def start(self):
        """Send to all shards, or refuse if too few have an endpoint."""
        route = self.incoming.route
        table = self.context.table
        self.context.budget.count_requests(route.shards)
        targets = [table.choose(s.service) for s in self.shards]
        if sum(1 for t in targets if t is not None) < self.needed:
            self._refuse("no_endpoint")
            return
        for shard, target in zip(self.shards, targets):
            if target is None:
                shard.reason = "no_endpoint"
                self.lost += 1
            else:
                self._send(shard, target)
        if self.done:
            return
        timing = self.timing
        self._call_at(timing.hedge_ms, self._hedge)
        if timing.answer_ms < timing.deadline_ms:
            self._call_at(timing.answer_ms, self._reach_answer_time)
        self._call_at(timing.deadline_ms, self._expire)
        self.incoming.exchange.on_abandoned = self._abandon

    def _call_at(self, after_ms, callback):
        due = self.started_s + after_ms / 1000.0
        self.timers.append(self.loop.call_at(due, callback))

    def _read_elapsed_ms(self):
        return (self.loop.time() - self.started_s) * 1000.0

    def _send(self, shard, target):
        left_ms = self.timing.deadline_ms - self._read_elapsed_ms()
        endpoint_id = target.endpoint.endpoint_id
        call = endpoint_http.Call(
            self.message.build(endpoint_id, left_ms),
            self.incoming.request_id,
            self.loop.time() + left_ms / 1000.0 + forwarding.GIVE_UP_MARGIN_S,
            self._end_call,
        )
        call.context = (shard, target)
        shard.calls.append(call)
        shard.tried.append(endpoint_id)
        shard.sends += 1
        shard.may_have_run += 1
        target.pool.submit(call)

    def _end_call(self, call, answer):
        shard, target = call.context
        shard.calls.remove(call)
        verdict = forwarding.judge_answer(answer, self.context.names.lower)
        forwarding.note_result(target, call, answer, verdict, self.context)
        if not verdict.ran:
            shard.may_have_run -= 1
        else:
            self.ran = True
        if self.done:
            return
        if verdict.good:
            if shard.stamp is None:
                self._take_part(shard, call, answer)
            return
        shard.reason = verdict.reason
        self.context.metrics.count_failure(verdict.reason)
        if shard.stamp is None and not shard.calls:
            self._retry(shard)

    def _take_part(self, shard, call, answer):
        shard.stamp = answer.get_header(self.context.names.lower.stamp)
        shard.body = answer.body
        self.answered += 1
        took = (self.loop.time() - call.sent_s) * 1000.0
        usual = self.context.pace.usual_ms_by_route
        name = self.incoming.route.name
        usual[name] = policy.smooth_usual(usual.get(name), took)
        if self.answered == len(self.shards):
            self._answer("complete")
        else:
            self._check_progress()

    def _check_progress(self):
        """Answer if nothing better can come, or at last if enough is there."""
        if self.done:
            return
        settled = self.answered + self.lost
        if self.answered >= self.needed:
            if self.past_answer_time or settled == len(self.shards):
                self._answer("partial")
        elif len(self.shards) - self.lost < self.needed:
            self._fail(502, "too_few_parts")

    def _reach_answer_time(self):
        self.past_answer_time = True
        pace = self.context.pace
        late_ms = self._read_elapsed_ms() - self.timing.answer_ms
        pace.lag_ms = policy.smooth_lag(pace.lag_ms, late_ms)
        if not self.done and self.answered >= self.needed:
            self._answer("objective")

    def _expire(self):
        if self.done:
            return
        if self.answered >= self.needed:
            self._answer("deadline")
        else:
            self._fail(504, "deadline")

    def _may_send(self, shard) -> bool:
        attempts = self.incoming.route.max_attempts
        if shard.may_have_run >= attempts:
            return False
        return shard.sends < attempts + MAX_REFUSED_SENDS

    def _hedge(self):
        if self.done:
            return
        elapsed = self._read_elapsed_ms()
        unsettled = len(self.shards) - self.answered
        late = elapsed / self.timing.hedge_ms
        if not hedging.is_straggler(
            len(self.shards), unsettled, late, policy.HEDGED_SHARE
        ):
            self._call_at(elapsed + RECHECK_MS, self._hedge)
            return
        for shard in self.shards:
            if shard.is_open() and self._send_again(shard, "hedge"):
                self.hedges += 1
                self.context.metrics.count_extra("hedge")

    def _retry(self, shard):
        if self._send_again(shard, shard.reason):
            self.retries += 1
            self.context.metrics.count_extra("retry")
        else:
            self.lost += 1
            self._check_progress()

    def _send_again(self, shard, cause) -> bool:
        """Send a shard to another endpoint, if rules and budget allow."""
        if not self._may_send(shard):
            return False
        target = self.context.table.choose(shard.service, shard.tried)
        if target is None:
            return False
        if not self.context.budget.spend(shard.service):
            self.context.metrics.count_extra("over_budget")
            return False
        if len(self.again) < LOGGED_SENDS:
            elapsed = round(self._read_elapsed_ms(), 1)
            endpoint_id = target.endpoint.endpoint_id
            self.again.append([shard.service, endpoint_id, cause, elapsed])
        self._send(shard, target)
        return True

    def _refuse(self, reason):
        retry_after = b"%.2f" % policy.RETRY_AFTER_S
        self._finish(503, ((b"Retry-After", retry_after),), b"", reason)

    def _fail(self, status, reason):
        if not self.ran and not any(s.calls for s in self.shards):
            self._refuse(reason)
        else:
            self._finish(status, (), b"", reason)

    def _answer(self, reason):
        names = self.context.names.sent
        parts = [s for s in self.shards if s.stamp is not None]
        body = merge.merge_top(
            [s.body for s in parts], self.incoming.route.top_k
        )
        headers = (
            (names.part_stamps, b", ".join(s.stamp for s in parts)),
            (names.missing_parts, b"%d" % (len(self.shards) - len(parts))),
            (b"Content-Type", b"application/octet-stream"),
        )
        self._finish(200, headers, body, reason)

    def _finish(self, status, headers, body, reason):
        self.done = True
        for timer in self.timers:
            timer.cancel()
        self.incoming.exchange.respond(status, headers, body)
        self._report(status, reason)

    def _report(self, status, reason):
        missing = [
            f"{s.service}:{s.reason or 'late'}"
            for s in self.shards
            if s.stamp is None
        ]
        fields = {
            "why": reason,
            "shards": len(self.shards),
            "answered": self.answered,
            "hedges": self.hedges,
            "retries": self.retries,
            "missing": missing,
            "again": self.again,
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
        self.loop.call_later(forwarding.ABANDON_DELAY_S, self._cancel_calls)

    def _cancel_calls(self):
        for shard in self.shards:
            for call in list(shard.calls):
                call.cancel()
