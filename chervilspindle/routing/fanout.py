"""A request to all shards: send, hedge, retry, merge and answer.

All shards come from the one document that was in force when the request
was read. They are sent from this process or, where a query would take it
too long, in groups through relays. The answer goes out when every shard has
answered, or shortly before the objective with the parts that are there, if
they cover enough.
"""

from chervilspindle.policy import hedging
from chervilspindle.routing import overload
from chervilspindle.routing import parts
from chervilspindle.routing import parts_query
from chervilspindle.routing import policy
from chervilspindle.routing import routed
from chervilspindle.wire import messages

RECHECK_MS = 2.0  # a small part of the least time until a hedge
LOGGED_SENDS = 8  # second sends that the line of a request names


class Shard:
    """One shard of a request; a mutable row.

    Attributes
    ----------
    service : str
    group : relays.Group or None
        None if it is sent from this process.
    open_sends : list
        `parts_query.PartsQuery` or `relaying.RelayedParts` in progress.
    tried : list of str
        Endpoints that it was sent to, as far as they are known.
    relays_tried : tuple of str
        Addresses.
    may_have_run, sends : int
    lost : bool
        Whether it can get no part any more.
    reason : str
        Of the last failure.
    """

    __slots__ = (
        "service",
        "group",
        "open_sends",
        "tried",
        "relays_tried",
        "may_have_run",
        "sends",
        "lost",
        "reason",
    )

    def __init__(self, service):
        self.service = service
        self.group = None
        self.open_sends = []
        self.tried = []
        self.relays_tried = ()
        self.may_have_run = 0
        self.sends = 0
        self.lost = False
        self.reason = ""


class FanOut(routed.RoutedRequest):
    """One request to all shards of its route."""

    def __init__(self, incoming, context, on_done):
        super().__init__(incoming, context, on_done)
        route = incoming.route
        self.shard_by_service = {s: Shard(s) for s in route.shards}
        self.needed = policy.count_needed(
            len(route.shards), route.min_coverage
        )
        self.part_set_by_service = {}
        self.sends = []  # all that may still be in progress
        self.lost = 0  # shards that can get no part any more
        self.hedges = 0
        self.retries = 0
        self.again = []
        self.relayed = []
        self.ran = False
        self.past_answer_time = False
        self.occupancy = 0.0  # of the endpoints, when the query came

    def start(self):
        """Send to all shards, or refuse if too few have an endpoint."""
        services = self.incoming.route.shards
        table = self.context.table
        found = sum(1 for s in services if table.count_endpoints(s))
        if found < self.needed:
            self.refuse("no_endpoint")
            return
        self.occupancy = overload.estimate_occupancy(
            map(table.list_healths, services), self.loop.time()
        )
        share = overload.compute_refused_share(self.occupancy)
        if self.context.shedder.refuse_next(self.incoming.route.name, share):
            self.refuse("overload")
            return
        self.context.budget.count_requests(services)
        self._send_first()
        if self.done:
            return
        timing = self.timing
        self.call_at(timing.hedge_ms, self._hedge)
        if timing.answer_ms < timing.deadline_ms:
            self.call_at(timing.answer_ms, self._reach_answer_time)
        self.call_at(timing.deadline_ms, self._expire)
        self.watch_caller()

    def _send_first(self):
        relays = self.context.relays
        for group in relays.table.get_groups(self.incoming.route.shards):
            relay = relays.table.pick(group)
            if relay is None:
                continue
            grouped = [self.shard_by_service[s] for s in group.services]
            for shard in grouped:
                shard.group = group
            self._send_through(relay, grouped, ())
        direct = [s for s in self.shard_by_service.values() if s.group is None]
        if direct and not self.done:
            self._send_from_here(direct)

    def _note_sends(self, sent, shards):
        self.sends.append(sent)
        for shard in shards:
            shard.open_sends.append(sent)
            shard.sends += 1
            shard.may_have_run += 1

    def _send_from_here(self, shards):
        sent = parts_query.PartsQuery(
            self.context,
            self.message,
            self.incoming.request_id,
            self.read_deadline_s(),
            self,
        )
        self._note_sends(sent, shards)
        tried = {s.service: tuple(s.tried) for s in shards if s.tried}
        sent.start([s.service for s in shards], tried)

    def _send_through(self, relay, shards, tried):
        elapsed_ms = self.read_elapsed_ms()
        report_ms = max(
            policy.LEAST_REPORT_MS, self.timing.report_ms - elapsed_ms
        )
        request = messages.RelayedRequest(
            self.incoming.request_id,
            self.timing.deadline_ms - elapsed_ms,
            report_ms,
            self.incoming.route.top_k,
        )
        sent = self.context.relays.send(
            relay,
            tuple(s.service for s in shards),
            tried,
            self.message,
            request,
            self,
        )
        self._note_sends(sent, shards)
        self.relayed.append(relay.vm_id)
        for shard in shards:
            shard.relays_tried += (relay.address,)

    # What sends tell their listener.

    def on_endpoint_chosen(self, sent, service, endpoint_id):
        """Take in which endpoint got a shard."""
        self.shard_by_service[service].tried.append(endpoint_id)

    def on_part(self, sent, service, stamp, body, took_ms):
        """Take in a part that this process got."""
        self.shard_by_service[service].open_sends.remove(sent)
        self.ran = True
        if not self.done and service not in self.part_set_by_service:
            self.note_usual(took_ms)
            self._add(messages.PartSet((service,), stamp, body))

    def on_part_set(self, sent, part_set, usual_ms):
        """Take in parts that a relay reported."""
        for service in part_set.services:
            self.shard_by_service[service].open_sends.remove(sent)
        self.ran = True
        if not self.done:
            self.note_usual(usual_ms)
            self._add(part_set)

    def on_part_lost(self, sent, loss):
        """Take in that this process got no part."""
        self.on_parts_lost(sent, (loss,))

    def on_parts_lost(self, sent, losses):
        """Take in that shards got no part; send them again."""
        again = []
        for loss in losses:
            shard = self.shard_by_service[loss.service]
            shard.open_sends.remove(sent)
            if loss.ran:
                self.ran = True
            else:
                shard.may_have_run -= 1
            shard.reason = loss.reason
            if loss.endpoint_id and loss.endpoint_id not in shard.tried:
                shard.tried.append(loss.endpoint_id)
            if not self._is_settled(shard) and not self._is_awaited(shard):
                again.append(shard)
        if self.done or not again:
            return
        sent_again = self._send_again(again, again[0].reason)
        self.retries += len(sent_again)
        for _ in sent_again:
            self.context.metrics.count_extra("retry")
        for shard in again:
            if not self._is_awaited(shard) and not self._is_settled(shard):
                shard.lost = True
                self.lost += 1
        self._check_progress()

    def _is_settled(self, shard) -> bool:
        return shard.lost or shard.service in self.part_set_by_service

    def _is_awaited(self, shard) -> bool:
        return any(not sent.presumed_lost for sent in shard.open_sends)

    def _add(self, part_set):
        held = self.part_set_by_service
        before = len(held)
        for service in parts.add_parts(held, part_set):
            shard = self.shard_by_service[service]
            if shard.lost:
                shard.lost = False
                self.lost -= 1
        if len(held) == len(self.shard_by_service):
            self._answer("complete")
        elif len(held) > before:
            self._check_progress()

    def _check_progress(self):
        """Answer if nothing better can come, or at last if enough is there."""
        if self.done:
            return
        answered = len(self.part_set_by_service)
        shards = len(self.shard_by_service)
        if answered >= self.needed:
            if self.past_answer_time or answered + self.lost >= shards:
                self._answer("partial")
        elif shards - self.lost < self.needed:
            self._fail(502, "too_few_parts")

    def _reach_answer_time(self):
        self.past_answer_time = True
        pace = self.context.pace
        late_ms = self.read_elapsed_ms() - self.timing.answer_ms
        pace.lag_ms = policy.smooth_lag(pace.lag_ms, late_ms)
        if not self.done and len(self.part_set_by_service) >= self.needed:
            self._answer("objective")

    def _expire(self):
        if self.done:
            return
        if len(self.part_set_by_service) >= self.needed:
            self._answer("deadline")
        else:
            self._fail(504, "deadline")

    def _hedge(self):
        if self.done:
            return
        elapsed = self.read_elapsed_ms()
        shards = len(self.shard_by_service)
        unsettled = shards - len(self.part_set_by_service)
        late = elapsed / self.timing.hedge_ms
        if not hedging.is_straggler(
            shards, unsettled, late, policy.HEDGED_SHARE
        ):
            self.call_at(elapsed + RECHECK_MS, self._hedge)
            return
        # A relay that is about to report may have the parts by now.
        grace = elapsed < self.timing.hedge_ms + policy.REPORT_GRACE_MS
        table = self.context.table
        late_shards = []
        waits = False
        for shard in self.shard_by_service.values():
            if self._is_settled(shard) or len(shard.open_sends) != 1:
                continue
            sent = shard.open_sends[0]
            if sent.is_silent():
                if grace:
                    waits = True
                    continue
                self._presume_lost(sent)
            if table.has_free_slot(shard.service, shard.tried):
                late_shards.append(shard)
        hedged = self._send_again(late_shards, "hedge")
        self.hedges += len(hedged)
        for _ in hedged:
            self.context.metrics.count_extra("hedge")
        if waits and not self.done:
            self.call_at(elapsed + RECHECK_MS, self._hedge)

    def _presume_lost(self, sent):
        if not sent.presumed_lost:
            sent.presumed_lost = True
            table = self.context.relays.table
            table.record_relay_failure(sent.address, "no report")

    def _reserve_send(self, shard) -> bool:
        """Take room for one more send, if rules and budget allow it."""
        attempts = self.incoming.route.max_attempts
        if shard.may_have_run >= attempts:
            return False
        if shard.sends >= attempts + routed.MAX_REFUSED_SENDS:
            return False
        table = self.context.table
        if table.count_endpoints(shard.service) <= len(set(shard.tried)):
            return False
        if not self.context.budget.spend(shard.service):
            self.context.metrics.count_extra("over_budget")
            return False
        return True

    def _send_again(self, shards, cause) -> list:
        """Send shards to other endpoints, as far as that is allowed.

        Returns
        -------
        list of Shard
            Those that were sent.
        """
        allowed = [s for s in shards if self._reserve_send(s)]
        direct = []
        shards_by_relay = {}
        for shard in allowed:
            relay = self._pick_again(shard)
            if relay is None:
                direct.append(shard)
            else:
                shards_by_relay.setdefault(relay, []).append(shard)
        self._note_again(allowed, cause)
        for relay, found in shards_by_relay.items():
            self._send_through(
                relay, found, tuple(tuple(s.tried) for s in found)
            )
        if direct:
            self._send_from_here(direct)
        return allowed

    def _pick_again(self, shard):
        """Return a relay for a second send, None to send from here.

        Another relay of the zone, if the first one is silent; otherwise the
        endpoint was, and the others are near the relays of other zones.
        """
        if shard.group is None:
            return None
        table = self.context.relays.table
        tried = shard.relays_tried
        if shard.tried:
            return table.pick_from_other_zone(shard.group, tried)
        near = table.pick(shard.group, tried)
        return near or table.pick_from_other_zone(shard.group, tried)

    def _note_again(self, shards, cause):
        elapsed = round(self.read_elapsed_ms(), 1)
        for shard in shards[: LOGGED_SENDS - len(self.again)]:
            tried = shard.tried[-1] if shard.tried else ""
            self.again.append([shard.service, tried, cause, elapsed])

    def _fail(self, status, reason):
        if not self.ran and not any(s.may_have_run() for s in self.sends):
            self.refuse(reason)
        else:
            self.finish(status, (), b"", reason)

    def _answer(self, reason):
        names = self.context.names.sent
        held = self.part_set_by_service
        found = list({id(p): p for p in held.values()}.values())
        whole = parts.merge_parts(found, self.incoming.route.top_k)
        missing = len(self.shard_by_service) - len(held)
        headers = (
            (names.part_stamps, whole.stamps),
            (names.missing_parts, b"%d" % missing),
            (b"Content-Type", b"application/octet-stream"),
        )
        self.finish(200, headers, whole.body, reason)

    def describe(self) -> dict:
        """Return the fields of the request's log line."""
        missing = [
            f"{s.service}:{s.reason or 'late'}"
            for s in self.shard_by_service.values()
            if s.service not in self.part_set_by_service
        ]
        fields = {
            "shards": len(self.shard_by_service),
            "answered": len(self.part_set_by_service),
            "occupancy": round(self.occupancy, 2),
            "hedges": self.hedges,
            "retries": self.retries,
            "missing": missing,
            "again": self.again,
        }
        if self.relayed:
            fields["relays"] = self.relayed
        return fields

    def stop_sends(self):
        """Send nothing more; what was sent ends by itself."""
        for sent in self.sends:
            sent.stop()

    def cancel_sends(self):
        """Give up what is in progress."""
        for sent in self.sends:
            sent.cancel()
