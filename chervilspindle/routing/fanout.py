"""Requests to all shards of a route: fan-out, hedges, retries and merge.

The shards are those of the routing document that was active when the
request was read. They are sent from this process or, where sending all of
them would take it too long or they are in other zones, in groups through
relays. The answer is sent
when every shard has answered, or shortly before the latency objective with
the parts received so far, if they reach the required coverage.
"""

import functools
import math
import typing

from chervilspindle.core import logs
from chervilspindle.policy import hedging
from chervilspindle.routing import crash_caution
from chervilspindle.routing import direct_dispatch
from chervilspindle.routing import endpoint_calls
from chervilspindle.routing import endpoints
from chervilspindle.routing import overload
from chervilspindle.routing import part_merging
from chervilspindle.routing import permission
from chervilspindle.routing import quarantine
from chervilspindle.routing import request_timing
from chervilspindle.routing import routed_request
from chervilspindle.routing import shard_crashes
from chervilspindle.routing import shard_states
from chervilspindle.wire import caller_limits
from chervilspindle.wire import messages

# Capacity that was checked earlier is checked again when the request starts.
MAX_CAPACITY_AGE_S = 0.05
HEDGE_RECHECK_MS = 2.0  # well below `request_timing.MIN_HEDGE_MS`
MAX_LOGGED_RESENDS = 8  # per request
CLOSED_REASONS = (endpoint_calls.HELD_BACK, permission.ZONE_OUT)


class Capacity(typing.NamedTuple):
    """What the endpoints of a route could take at a time.

    Parameters
    ----------
    checked_s : float
    opening_s : float
        From when the required shards have an endpoint that takes requests.
    occupancy : float
    revision : int
        Of the table of endpoints.
    """

    checked_s: float
    opening_s: float
    occupancy: float
    revision: int


class FanOut(routed_request.RoutedRequest):
    """One request to all shards of its route."""

    def __init__(self, incoming, context, on_done):
        super().__init__(incoming, context, on_done)
        route = incoming.route
        self.shard_by_service = {
            s: shard_states.ShardState(s) for s in route.shards
        }
        self.required = request_timing.count_required_shards(
            len(route.shards), route.min_coverage
        )
        self.part_set_by_service = {}
        self.dispatches = []
        self.failed_shards = 0
        self.hedges = 0
        self.retries = 0
        self.resends = []  # rows for the log, at most MAX_LOGGED_RESENDS
        self.relay_vm_ids = []
        self.may_have_run = False
        self.past_answer_time = False
        self.probing = 0  # endpoints that broke off and may have ended
        self.crashed = 0  # endpoints that ended
        self.withheld = []  # shards that are sent again only once it is safe
        self.hedge_dispatches = []
        self.awaits_trial = False  # one shard is sent, and not answered
        self.shard_crashes = shard_crashes.ShardCrashes(self)
        self.admissions = []  # of shards whose trial control is asked for
        self.capacity = None
        self.occupancy = 0.0  # of the endpoints, when the request arrived

    def prepare(self):
        """Check the capacity ahead of `start`; sends and counts nothing.

        For many shards this takes longer than to send the request.
        """
        services = self.incoming.route.shards
        table = self.context.table
        now = self.loop.time()
        openings_s = sorted(map(table.find_opening_s, services))
        occupancy = overload.estimate_occupancy(
            map(table.list_healths, services), now
        )
        self.capacity = Capacity(
            now, openings_s[self.required - 1], occupancy, table.revision
        )

    def _get_capacity(self, now) -> Capacity:
        capacity = self.capacity
        if (
            capacity is None
            or capacity.revision != self.context.table.revision
            or now - capacity.checked_s > MAX_CAPACITY_AGE_S
        ):
            self.prepare()
        return self.capacity

    def start(self):
        """Send to all shards.

        Refused if too few shards have an endpoint that takes requests in
        time, or by load shedding.
        """
        services = self.incoming.route.shards
        now = self.loop.time()
        capacity = self._get_capacity(now)
        max_wait_s = endpoint_calls.compute_max_wait_s(
            self.incoming.route.objective_ms, self.read_deadline_s(), now
        )
        wait_s = capacity.opening_s - now
        if wait_s > max_wait_s:
            has_endpoints = math.isfinite(wait_s)
            reason = (
                endpoint_calls.HELD_BACK
                if has_endpoints
                else self._explain_absence()
            )
            self.refuse(reason, wait_s)
            return
        if self._is_shed(capacity.occupancy, now):
            return
        if not self._holds_relayed():
            self.refuse(caller_limits.BUDGET_REASON)
            return
        if not self._leave_out_shards():
            return
        self.context.budget.count_requests(services)
        if self.is_quarantined():
            self._send_trial()
        else:
            self._send_all()
            self._ask_trials()
        if self.done:
            return
        timing = self.timing
        self.schedule_at_ms(timing.hedge_ms, self._hedge)
        if timing.answer_ms < timing.deadline_ms:
            self.schedule_at_ms(timing.answer_ms, self._on_answer_time)
        self.schedule_at_ms(timing.deadline_ms, self.on_deadline)
        self.watch_caller()
        self.watch_reachability()

    def _explain_absence(self) -> str:
        """Return why the required coverage cannot be reached.

        Evacuations are the reason if it could be reached without them.
        """
        table = self.context.table
        possible = sum(
            math.isfinite(table.find_opening_s(service))
            or table.has_evacuated(service)
            for service in self.incoming.route.shards
        )
        if possible >= self.required:
            return permission.ZONE_OUT
        return endpoints.NO_ENDPOINT

    def _is_shed(self, occupancy, now) -> bool:
        """Refuse the query if the endpoints have too much to do."""
        route = self.incoming.route
        shedder = self.context.shedder
        if shedder.in_force:
            verdict = shedder.decide(self.incoming, route.shards[0], now)
            self.occupancy = verdict.load
            if not verdict.admitted:
                self.refuse_overload(verdict)
            return not verdict.admitted
        self.occupancy = occupancy
        share = overload.compute_refused_share(occupancy)
        if shedder.refuse_next(route.name, share):
            self.refuse("overload")
            return True
        return False

    def _holds_relayed(self) -> bool:
        """Count the copies in messages to relays; false if they don't fit."""
        relays = self.context.relays.table
        groups = len(relays.get_groups(self.incoming.route.shards))
        copied_bytes = groups * self.template.count_bytes()
        if copied_bytes <= caller_limits.SMALL_BYTES:
            return True
        return self.incoming.exchange.try_hold(copied_bytes)

    def _leave_out_shards(self) -> bool:
        """Leave out shards that crash endpoints under this content.

        Those that may be tried wait until control allows it. Under a trial of
        the whole query, all of them wait until that is answered.

        Returns
        -------
        bool
            False if the others are too few; the request is refused then.
        """
        if not self.context.quarantine.blocked_contents:
            return True
        first_wait_s = math.inf
        for shard in self.shard_by_service.values():
            if not self.shard_crashes.is_refused(shard):
                continue
            shard.reason = quarantine.REASON
            wait_s = self.shard_crashes.find_wait_s(shard)
            if wait_s <= 0.0 or self.incoming.is_trial:
                shard.awaits_trial = True
                continue
            shard.failed = True
            self.failed_shards += 1
            first_wait_s = min(first_wait_s, wait_s)
        if len(self.shard_by_service) - self.failed_shards < self.required:
            self.refuse(quarantine.REASON, first_wait_s)
            return False
        return True

    def _ask_trials(self):
        """Ask control for the trials of shards."""
        for shard in self.shard_by_service.values():
            if self.done or not shard.awaits_trial:
                continue
            if not self.shard_crashes.is_refused(shard):
                shard.awaits_trial = False  # answered meanwhile
                self._send_ungrouped([shard], "first")
                continue
            admission = self.shard_crashes.ask_trial(
                shard, functools.partial(self._handle_trial, shard)
            )
            self.admissions.append(admission)

    def _handle_trial(self, shard, outcome):
        """Send a shard whose trial is allowed; fail one whose isn't."""
        shard.awaits_trial = False
        if self.done:
            return
        if outcome.granted:
            shard.is_trial = True
            self._send_ungrouped([shard], "first")
        else:
            self._fail_unsent([shard])
            self._check_progress()

    def _send_trial(self):
        """Send one shard; the others follow once it is answered.

        One that is refused by itself as well is the last choice.
        """
        self.awaits_trial = True
        find_opening_s = self.context.table.find_opening_s
        shard = min(
            filter(shard_states.has_no_sends, self.shard_by_service.values()),
            key=lambda s: (s.awaits_trial, find_opening_s(s.service)),
        )
        shard.awaits_trial = False
        self._send_ungrouped([shard], "first")

    def _end_trial(self):
        """Send the other shards once one is answered; fail if it is lost.

        Another one is sent instead if no endpoint can have run the first.
        """
        if self.done or not self.awaits_trial:
            return
        shards = self.shard_by_service.values()
        if self.answered:
            self.awaits_trial = False
            self._send_all()
            self._ask_trials()
        elif any(map(shard_states.has_open_sends, shards)):
            return
        elif self.is_unsent() and any(map(shard_states.has_no_sends, shards)):
            self._send_trial()
        else:
            self.awaits_trial = False
            self._fail(502, "too_few_parts")

    def _send_all(self):
        """Send the shards that have not been sent yet."""
        relays = self.context.relays
        for group in relays.table.get_groups(self.incoming.route.shards):
            if self.done:
                return
            relay = relays.table.pick(group)
            if relay is None:
                continue
            grouped = [self.shard_by_service[s] for s in group.services]
            for shard in grouped:
                shard.group = group
            grouped = [s for s in grouped if shard_states.is_unsent(s)]
            if not grouped:
                continue
            if self._is_avoided(relay):
                self._send_through_any(grouped)
            else:
                self._send_via_relay(relay, grouped, ())
        direct = [
            s
            for s in self.shard_by_service.values()
            if s.group is None and shard_states.is_unsent(s)
        ]
        if direct and not self.done:
            self._send_ungrouped(direct, "first")

    def _register_dispatch(self, dispatch, shards):
        self.dispatches.append(dispatch)
        for shard in shards:
            shard.open_dispatches.append(dispatch)
            shard.send_count += 1
            shard.possible_runs += 1

    def _send_ungrouped(self, shards, cause):
        """Send shards from this process, or through any entry if cut off."""
        if not self.is_sent_by_others():
            self._send_directly(shards, cause)
            return
        shards_by_group = {}
        for shard in shards:
            shards_by_group.setdefault(shard.group, []).append(shard)
        for grouped in shards_by_group.values():
            if not self.done:
                self._send_through_any(grouped)

    def _is_avoided(self, relay) -> bool:
        """Tell whether any other entry is better than a group's relay.

        If this VM is cut off, the group's relays may be as well. There are
        few of them, and they are the same for each query.
        """
        table = self.context.relays.table
        return self.is_sent_by_others() and not table.is_available(relay)

    def _send_through_any(self, shards):
        """Send shards through an entry that may send; fail without one."""
        tried = {a for s in shards for a in s.relays_tried}
        relay = self.context.relays.table.pick_any(tried, self.context.random)
        if relay is None:
            for shard in shards:
                shard.reason = endpoint_calls.CUT_OFF
            self._fail_unsent(shards)
            self._check_progress()
            return
        self._send_via_relay(
            relay, shards, tuple(tuple(s.tried) for s in shards)
        )

    def _send_directly(self, shards, cause):
        dispatch = direct_dispatch.DirectDispatch(
            self.context,
            self.template,
            self.incoming.request_id,
            self.read_deadline_s(),
            self.incoming.route.top_k,
            self.incoming.route.objective_ms,
            cause,
            self,
        )
        self._register_dispatch(dispatch, shards)
        tried = {s.service: tuple(s.tried) for s in shards if s.tried}
        dispatch.start([s.service for s in shards], tried)

    def _send_via_relay(self, relay, shards, tried, is_hedge=False):
        elapsed_ms = self.read_elapsed_ms()
        report_ms = max(
            request_timing.MIN_REPORT_MS, self.timing.report_ms - elapsed_ms
        )
        request = messages.RelayedRequest(
            self.incoming.request_id,
            self.timing.deadline_ms - elapsed_ms,
            report_ms,
            self.incoming.route.top_k,
            self.incoming.route.objective_ms,
            is_hedge,
        )
        dispatch = self.context.relays.send(
            relay,
            tuple(s.service for s in shards),
            tried,
            self.template,
            request,
            self,
        )
        self._register_dispatch(dispatch, shards)
        self.relay_vm_ids.append(relay.vm_id)
        for shard in shards:
            shard.relays_tried += (relay.address,)

    # Listener methods, called by dispatches.

    def on_endpoint_chosen(self, dispatch, service, endpoint_id):
        """Record the endpoint that a shard was sent to."""
        self.shard_by_service[service].tried.append(endpoint_id)

    def on_part(self, dispatch, service, stamp, body, took_ms):
        """Add a part that an endpoint sent to this process."""
        self.shard_crashes.record_answered(self.shard_by_service[service])
        self.record_answered()
        self.shard_by_service[service].open_dispatches.remove(dispatch)
        self.may_have_run = True
        if not self.done and service not in self.part_set_by_service:
            self.record_part_ms(took_ms)
            self._add_part_set(messages.PartSet((service,), stamp, body))
        self._end_trial()
        self._settle_withheld()
        self.release_sends()

    def on_part_set(self, dispatch, part_set, mean_ms):
        """Add a set of parts that a relay reported."""
        for service in part_set.services:
            self.shard_crashes.record_answered(self.shard_by_service[service])
        self.record_answered()
        for service in part_set.services:
            self.shard_by_service[service].open_dispatches.remove(dispatch)
        self.may_have_run = True
        if not self.done:
            self.record_part_ms(mean_ms)
            self._add_part_set(part_set)
        self._end_trial()
        self._settle_withheld()

    def on_load(self, services, load):
        """Record the load of the endpoints of some shards, from a relay."""
        if self.context.shedder.in_force:
            self.context.shedder.record_load(
                services[0], load, self.loop.time(), len(services)
            )

    def on_part_lost(self, dispatch, loss):
        """Handle the failure of one shard sent by this process."""
        self.on_parts_lost(dispatch, (loss,))

    def on_parts_lost(self, dispatch, losses):
        """Handle failed shards: resend them, or mark them as failed."""
        lost = []
        for loss in losses:
            shard = self.shard_by_service[loss.service]
            shard.open_dispatches.remove(dispatch)
            if loss.ran:
                self.may_have_run = True
            else:
                shard.possible_runs -= 1
            shard.reason = loss.reason
            if endpoint_calls.is_link_failure(loss.reason, self.context):
                self._take_back_send(shard, loss.endpoint_id)
                if not self._is_settled(shard):
                    lost.append(shard)
                continue
            if loss.reason == endpoint_calls.BROKEN:
                self.record_broken(loss.endpoint_id)
                self.shard_crashes.probe(shard, loss.endpoint_id)
            elif shard.is_trial and not loss.ran:
                self.shard_crashes.release_trial(shard)
            if loss.endpoint_id and loss.endpoint_id not in shard.tried:
                shard.tried.append(loss.endpoint_id)
            if not self._is_settled(shard) and not self._is_pending(shard):
                lost.append(shard)
        self.release_sends()
        if self.done or not lost:
            return
        # Where all endpoints of a shard are held back, a resend would be too.
        to_resend = [s for s in lost if s.reason not in CLOSED_REASONS]
        if self._decide_caution() is not crash_caution.Caution.SEND:
            self.withheld += [s for s in to_resend if s not in self.withheld]
            lost = [s for s in lost if s not in to_resend]
            to_resend = []
        self._retry(to_resend, lost)
        self._end_trial()
        self._settle_withheld()

    def _take_back_send(self, shard, endpoint_id):
        """Let a shard be sent again in place of a send that did not leave."""
        shard.send_count -= 1
        shard.unused_sends += 1
        if endpoint_id in shard.tried:
            shard.tried.remove(endpoint_id)

    def handle_cut_off(self):
        """Send unanswered shards through other entries."""
        if self.done or not self.is_sent_by_others():
            return
        unsent = []
        for dispatch in self.dispatches:
            for service in dispatch.withdraw_unsent():
                shard = self.shard_by_service[service]
                shard.open_dispatches.remove(dispatch)
                shard.possible_runs -= 1
                shard.reason = endpoint_calls.CUT_OFF
                self._take_back_send(shard, shard.tried[-1])
                unsent.append(shard)
        silent = [
            s
            for s in self.shard_by_service.values()
            if not self._is_settled(s) and s.group is None and s not in unsent
        ]
        unsent = [s for s in unsent if not self._is_settled(s)]
        self._retry(unsent + silent, unsent)

    def record_broken(self, endpoint_id):
        """Record that an endpoint broke off; find out whether it has ended."""
        super().record_broken(endpoint_id)
        if not self.answered:
            self.probing += 1
            self.context.quarantine.probe(endpoint_id, self._handle_probed)

    def record_answered(self):
        """Record that an endpoint has answered, so that it can be run.

        Crashes tell of the query as a whole only until then.
        """
        was_answered = self.answered
        super().record_answered()
        if not was_answered:
            self.shard_crashes.report_all(self.shard_by_service.values())

    def _handle_probed(self, crashed):
        self.probing -= 1
        self.crashed += crashed
        if self.done:
            return
        if self._decide_caution() is crash_caution.Caution.WITHDRAW:
            self._withdraw_hedges()
        self._end_trial()
        self._settle_withheld()

    def _get_evidence(self) -> crash_caution.Evidence:
        return crash_caution.Evidence(
            self.answered, self.probing, self.crashed
        )

    def _decide_caution(self) -> crash_caution.Caution:
        return crash_caution.decide(self._get_evidence())

    def _withdraw_hedges(self):
        """Cancel hedges: they would end the other replicas as well."""
        dispatches, self.hedge_dispatches = self.hedge_dispatches, []
        withdrawn = []
        for dispatch in dispatches:
            for service in dispatch.abandon():
                shard = self.shard_by_service[service]
                shard.open_dispatches.remove(dispatch)
                withdrawn.append(shard)
        if not withdrawn:
            return
        self.withheld += [s for s in withdrawn if s not in self.withheld]
        logs.log_decision(
            "hedges-withdrawn",
            request_id=self.incoming.request_id.decode("latin-1"),
            hedges=len(withdrawn),
            broken=len(self.broken_endpoints),
            crashed=self.crashed,
        )

    def _settle_withheld(self):
        """Resend withheld shards, or fail them once nothing is in progress."""
        if self.done or not self.withheld:
            return
        caution = self._decide_caution()
        shards = [
            s
            for s in self.withheld
            if not self._is_settled(s) and not self._is_pending(s)
        ]
        if caution is crash_caution.Caution.SEND:
            self.withheld = []
            self._retry(shards, shards)
        elif caution is crash_caution.Caution.WITHDRAW:
            if not any(map(self._is_pending, self.shard_by_service.values())):
                self.withheld = []
                self._retry([], shards)

    def _retry(self, to_resend, lost):
        """Resend shards, and mark those of `lost` that are not as failed."""
        resent = self._resend(to_resend, "retry")
        self.retries += len(resent)
        for _ in resent:
            self.context.metrics.count_extra_send("retry")
        self._fail_unsent(lost)
        self._check_progress()

    def _fail_unsent(self, shards):
        for shard in shards:
            if not self._is_pending(shard) and not self._is_settled(shard):
                shard.failed = True
                self.failed_shards += 1

    def _is_settled(self, shard) -> bool:
        return shard.failed or shard.service in self.part_set_by_service

    def _is_pending(self, shard) -> bool:
        return shard.awaits_trial or shard_states.has_open_sends(shard)

    def _add_part_set(self, part_set):
        part_sets = self.part_set_by_service
        covered_before = len(part_sets)
        for service in part_merging.add_part_set(part_sets, part_set):
            shard = self.shard_by_service[service]
            if shard.failed:
                shard.failed = False
                self.failed_shards -= 1
        if len(part_sets) == len(self.shard_by_service):
            self._answer("complete")
        elif len(part_sets) > covered_before:
            self._check_progress()

    def _check_progress(self):
        """Answer or fail if waiting can't improve the result.

        Past the answer time, required coverage is enough to answer.
        """
        if self.done:
            return
        answered = len(self.part_set_by_service)
        shards = len(self.shard_by_service)
        if answered >= self.required:
            if (
                self.past_answer_time
                or answered + self.failed_shards >= shards
            ):
                self._answer("partial")
        elif shards - self.failed_shards < self.required:
            self._fail(502, self._explain_too_few_parts())

    def _explain_too_few_parts(self) -> str:
        """Name evacuations as the reason if they make the difference."""
        kept_back = sum(
            shard.failed and shard.reason == permission.ZONE_OUT
            for shard in self.shard_by_service.values()
        )
        failed = self.failed_shards - kept_back
        if len(self.shard_by_service) - failed >= self.required:
            return permission.ZONE_OUT
        return "too_few_parts"

    def _on_answer_time(self):
        self.past_answer_time = True
        estimates = self.context.latency_estimates
        late_ms = self.read_elapsed_ms() - self.timing.answer_ms
        estimates.lag_ms = request_timing.smooth_lag(estimates.lag_ms, late_ms)
        if not self.done and len(self.part_set_by_service) >= self.required:
            self._answer("objective")

    def is_unsent(self) -> bool:
        """Tell whether certainly no endpoint has a shard."""
        return not self.may_have_run and not any(
            dispatch.may_have_run() for dispatch in self.dispatches
        )

    def end_with(self, reason: str):
        """Answer with the parts that are in, if they are enough."""
        if len(self.part_set_by_service) >= self.required:
            self._answer(reason)
        else:
            self._fail(504, reason)

    def _hedge(self):
        if self.done:
            return
        elapsed = self.read_elapsed_ms()
        shards = len(self.shard_by_service)
        unanswered = shards - len(self.part_set_by_service)
        elapsed_ratio = elapsed / self.timing.hedge_ms
        if not hedging.is_straggler(
            shards,
            unanswered,
            elapsed_ratio,
            request_timing.MAX_STRAGGLER_SHARE,
        ):
            self.schedule_at_ms(elapsed + HEDGE_RECHECK_MS, self._hedge)
            return
        # A relay about to report may already hold the parts.
        in_grace = (
            elapsed < self.timing.hedge_ms + request_timing.REPORT_GRACE_MS
        )
        table = self.context.table
        evidence = self._get_evidence()
        spares_hedges = self.context.shedder.spares_hedges(
            self.incoming, self.incoming.route.shards[0]
        )
        to_hedge = []
        recheck = False
        next_ms = math.inf
        for shard in self.shard_by_service.values():
            if self._is_settled(shard) or len(shard.open_dispatches) != 1:
                continue
            slowness = self._read_slowness(shard)
            if slowness > 1.0:
                due_ms = request_timing.delay_hedge_ms(self.timing, slowness)
                if elapsed < due_ms:
                    next_ms = min(next_ms, due_ms)
                    continue
            dispatch = shard.open_dispatches[0]
            if not crash_caution.may_hedge(
                evidence, shards, dispatch.awaits_report()
            ):
                recheck = True
                continue
            if dispatch.awaits_report():
                if in_grace:
                    recheck = True
                    continue
                self._presume_relay_lost(dispatch)
            elif spares_hedges:
                continue
            left_ms = self.timing.answer_ms - elapsed
            if table.can_hedge(shard.service, shard.tried, left_ms):
                to_hedge.append(shard)
        sent_before = len(self.dispatches)
        hedged = self._resend(to_hedge, "hedge")
        self.hedge_dispatches += self.dispatches[sent_before:]
        self.hedges += len(hedged)
        for _ in hedged:
            self.context.metrics.count_extra_send("hedge")
        if recheck:
            next_ms = min(next_ms, elapsed + HEDGE_RECHECK_MS)
        if not self.done and math.isfinite(next_ms):
            self.schedule_at_ms(next_ms, self._hedge)

    def _read_slowness(self, shard) -> float:
        """Return the expected time of work where a shard was last sent."""
        if not shard.tried:
            return 1.0
        return self.context.table.read_slowness(shard.tried[-1])

    def _presume_relay_lost(self, dispatch):
        if not dispatch.presumed_lost:
            dispatch.presumed_lost = True
            table = self.context.relays.table
            table.record_relay_failure(dispatch.address, "no report")

    def _reserve_resend(self, shard) -> bool:
        """Charge one more send to the budget.

        Returns
        -------
        bool
            False if attempts, endpoints or budget are exhausted.
        """
        attempts = self.incoming.route.max_attempts
        if self.is_quarantined() or shard.is_trial or shard.awaits_trial:
            return False
        if not shard.answered and self.shard_crashes.holds(shard):
            return False
        if shard.possible_runs >= attempts:
            return False
        if shard.send_count >= attempts + routed_request.MAX_REFUSED_SENDS:
            return False
        table = self.context.table
        if table.count_endpoints(shard.service) <= len(set(shard.tried)):
            return False
        if shard.unused_sends:
            shard.unused_sends -= 1
            return True
        if not self.context.budget.try_withdraw(shard.service):
            self.context.metrics.count_extra_send("over_budget")
            return False
        return True

    def _resend(self, shards, cause) -> list:
        """Send shards to other endpoints where attempts and budget allow it.

        Returns
        -------
        list of shard_states.ShardState
            The shards that were sent.
        """
        allowed = [s for s in shards if self._reserve_resend(s)]
        direct = []
        shards_by_relay = {}
        for shard in allowed:
            relay = self._pick_resend_relay(shard)
            if relay is None:
                direct.append(shard)
            else:
                shards_by_relay.setdefault(relay, []).append(shard)
        self._log_resends(allowed, cause)
        for relay, grouped in shards_by_relay.items():
            self._send_via_relay(
                relay,
                grouped,
                tuple(tuple(s.tried) for s in grouped),
                cause == "hedge",
            )
        if direct:
            self._send_ungrouped(direct, cause)
        return allowed

    def _pick_resend_relay(self, shard):
        """Return the relay for a resend, None to send from this process.

        If no endpoint is known to have got the shard, the relay itself did
        not answer, and another relay of this zone is preferred. Otherwise
        the endpoint did not answer; the other replicas are closer to relays
        of another zone.
        """
        if shard.group is None:
            return None
        table = self.context.relays.table
        tried = shard.relays_tried
        relay = None
        if not shard.tried:
            relay = table.pick(shard.group, tried)
        if relay is None:
            relay = table.pick_from_other_zone(shard.group, tried)
        if relay is not None and self._is_avoided(relay):
            return None
        return relay

    def _log_resends(self, shards, cause):
        elapsed = round(self.read_elapsed_ms(), 1)
        for shard in shards[: MAX_LOGGED_RESENDS - len(self.resends)]:
            tried = shard.tried[-1] if shard.tried else ""
            self.resends.append([shard.service, tried, cause, elapsed])

    def _fail(self, status, reason):
        if self.is_unsent():
            self.refuse(reason)
        else:
            self.finish(status, (), b"", reason)

    def _answer(self, reason):
        names = self.context.names.sent
        part_sets = self.part_set_by_service
        distinct = list({id(p): p for p in part_sets.values()}.values())
        merged = part_merging.merge_parts(distinct, self.incoming.route.top_k)
        missing = len(self.shard_by_service) - len(part_sets)
        if not missing:
            self.shard_crashes.record_complete()
        headers = (
            (names.part_stamps, merged.stamps),
            (names.missing_parts, b"%d" % missing),
            (b"Content-Type", b"application/octet-stream"),
        )
        self.finish(200, headers, merged.body, reason)

    def build_log_fields(self) -> dict:
        """Return the request-specific fields of the log event."""
        shards = self.shard_by_service
        missing = [
            f"{s.service}:{s.reason or 'late'}"
            for s in shards.values()
            if s.service not in self.part_set_by_service
        ]
        fields = {
            "shards": len(shards),
            "answered": len(self.part_set_by_service),
            "occupancy": round(self.occupancy, 2),
            "hedges": self.hedges,
            "retries": self.retries,
            "missing": missing,
            "again": self.resends,
        }
        if self.relay_vm_ids:
            fields["relays"] = self.relay_vm_ids
        if self.admissions:
            trials = [s.service for s in shards.values() if s.is_trial]
            fields["shard_trials"] = trials
        return fields

    def has_sends(self) -> bool:
        """Tell whether this process holds sends that have not ended."""
        return any(dispatch.has_calls() for dispatch in self.dispatches)

    def stop_sends(self):
        """Withdraw what is not sent yet; requests in progress run on."""
        for admission in self.admissions:
            admission.cancel()
        for dispatch in self.dispatches:
            dispatch.stop()

    def cancel_sends(self):
        """Cancel what is in progress."""
        for dispatch in self.dispatches:
            dispatch.cancel()
