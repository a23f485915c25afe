"""A request to all shards: send, hedge, retry, merge and answer.

All shards come from the one document that was in force when the request
was read. The answer goes out when every shard has answered, or shortly
before the objective with the parts that are there, if they cover enough.
"""

from chervilspindle.policy import hedging
from chervilspindle.routing import merge
from chervilspindle.routing import policy
from chervilspindle.routing import routed

RECHECK_MS = 2.0  # a small part of the least time until a hedge
LOGGED_SENDS = 8  # second sends that the line of a request names


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


class FanOut(routed.RoutedRequest):
    """One request to all shards of its route."""

    def __init__(self, incoming, context, on_done):
        super().__init__(incoming, context, on_done)
        route = incoming.route
        self.shards = [Shard(service) for service in route.shards]
        self.needed = policy.count_needed(len(self.shards), route.min_coverage)
        self.answered = 0
        self.lost = 0  # shards that can get no part any more
        self.hedges = 0
        self.retries = 0
        self.again = []
        self.ran = False
        self.past_answer_time = False

    def start(self):
        """Send to all shards, or refuse if too few have an endpoint."""
        route = self.incoming.route
        table = self.context.table
        self.context.budget.count_requests(route.shards)
        targets = [table.choose(s.service) for s in self.shards]
        if sum(1 for t in targets if t is not None) < self.needed:
            self.refuse("no_endpoint")
            return
        for shard, target in zip(self.shards, targets):
            if self.done:
                # Too many shards were lost while the first were sent.
                return
            if target is None:
                shard.reason = "no_endpoint"
                self.lost += 1
            else:
                self._send(shard, target)
        if self.done:
            return
        timing = self.timing
        self.call_at(timing.hedge_ms, self._hedge)
        if timing.answer_ms < timing.deadline_ms:
            self.call_at(timing.answer_ms, self._reach_answer_time)
        self.call_at(timing.deadline_ms, self._expire)
        self.watch_caller()

    def _send(self, shard, target):
        endpoint_id = target.endpoint.endpoint_id
        call = self.build_call(endpoint_id, self._end_call)
        call.context = (shard, target)
        shard.calls.append(call)
        shard.tried.append(endpoint_id)
        shard.sends += 1
        shard.may_have_run += 1
        target.pool.submit(call)

    def _end_call(self, call, answer):
        shard, target = call.context
        shard.calls.remove(call)
        verdict = self.judge(call, target, answer)
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
        self.note_usual(call)
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
        late_ms = self.read_elapsed_ms() - self.timing.answer_ms
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
        return shard.sends < attempts + routed.MAX_REFUSED_SENDS

    def _hedge(self):
        if self.done:
            return
        elapsed = self.read_elapsed_ms()
        unsettled = len(self.shards) - self.answered
        late = elapsed / self.timing.hedge_ms
        if not hedging.is_straggler(
            len(self.shards), unsettled, late, policy.HEDGED_SHARE
        ):
            self.call_at(elapsed + RECHECK_MS, self._hedge)
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
        target = self.choose_again(shard.service, shard.tried)
        if target is None:
            return False
        if len(self.again) < LOGGED_SENDS:
            elapsed = round(self.read_elapsed_ms(), 1)
            endpoint_id = target.endpoint.endpoint_id
            self.again.append([shard.service, endpoint_id, cause, elapsed])
        self._send(shard, target)
        return True

    def _fail(self, status, reason):
        if not self.ran and self.count_unsent() == len(self.list_calls()):
            self.refuse(reason)
        else:
            self.finish(status, (), b"", reason)

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
        self.finish(200, headers, body, reason)

    def describe(self) -> dict:
        """Return the fields of the request's log line."""
        missing = [
            f"{s.service}:{s.reason or 'late'}"
            for s in self.shards
            if s.stamp is None
        ]
        return {
            "shards": len(self.shards),
            "answered": self.answered,
            "hedges": self.hedges,
            "retries": self.retries,
            "missing": missing,
            "again": self.again,
        }

    def list_calls(self) -> list:
        """Return the sends that are in progress."""
        return [call for shard in self.shards for call in shard.calls]
