"""Scatter-gather of queries: choice of replicas, sends, merge of replies.

A query reads one snapshot. Each shard is settled once, by the first
successful reply to one of its parts; a reply to another attempt, shard or
snapshot is dropped. The query is answered as soon as every shard is settled.
"""

import heapq
import math
import uuid

from twisted.internet import defer

from chervilspindle.core import errors
from chervilspindle.policy import admission
from chervilspindle.policy import hedging
from chervilspindle.policy import replicas
from chervilspindle.query import answers
from chervilspindle.query import directory as directory_module
from chervilspindle.query import query_state
from chervilspindle.wire import messages

MIN_TICK_DELAY_S = 0.002
MAX_ATTEMPTS = 3
MAX_SENDS = 5
RETRY_PAUSE_MS = 60.0
MAX_PARTS_IN_FLIGHT = 20000


class Gatherer:
    """Runs the queries that this entry has admitted.

    Parameters
    ----------
    vm : rows.Vm
    directory : Directory
    send : callable
        ``send(vm, message)`` sends to an owner; delivery is not guaranteed.
    timers : TimerService
    read_clock : callable
        Monotonic milliseconds.
    explainer : Explainer
    metrics : Metrics
    extra_load_share : float
        Hedges allowed per first send of a part. Rescues (hedges that were
        refused at first) have a second budget of the same size.
    random : random.Random
    baselines : tuple of str
        Mechanisms that are disabled, for baseline measurements.
    """

    def __init__(
        self,
        vm,
        directory,
        send,
        timers,
        read_clock,
        explainer,
        metrics,
        extra_load_share,
        random,
        baselines=(),
    ):
        self.vm = vm
        self.directory = directory
        self.send = send
        self.read_clock = read_clock
        self.explainer = explainer
        self.metrics = metrics
        self.random = random
        self.hedging_enabled = "no-hedge" not in baselines
        self.picks_random_replica = "random-replica" in baselines
        self.hedge_budget = hedging.build_budget(
            extra_load_share, hedging.HEDGE_BURST
        )
        self.rescue_budget = hedging.build_budget(
            extra_load_share, hedging.HEDGE_BURST
        )
        self.retry_budget = hedging.build_budget(
            hedging.RETRY_SHARE, hedging.RETRY_BURST
        )
        self.query_by_id = {}
        self.stats_by_endpoint = {}
        self.latency_stats = hedging.LatencyStats(typical_ms_by_service={})
        self.parts_by_customer = {}
        self.weight_by_customer = {}
        self.parts_in_flight = 0
        self.timed_events = []
        self.event_number = 0
        self.timers = timers
        self.tick_timer = None
        self.next_tick_ms = math.inf

    def submit(self, request: query_state.QueryRequest) -> defer.Deferred:
        """Run a query.

        Returns
        -------
        Deferred of query_state.Answer
            Fails with `ProblemError`.
        """
        now = self.read_clock()
        plan = self._plan_query(request, frozenset())
        self._check_capacity(request, len(plan.shards))
        query = query_state.RunningQuery(request, defer.Deferred(), now)
        self.query_by_id[request.request_id] = query
        self._schedule(query.due_ms, "deadline", query, None)
        self._start_attempt(query, plan)
        return query.deferred

    def receive(self, message: messages.SubReply):
        """Handle the replies of an owner."""
        query = self.query_by_id.get(message.request_id)
        if query is None or message.attempt != query.attempt:
            return
        for reply in message.parts:
            if query.request.request_id not in self.query_by_id:
                return
            if query.attempt != message.attempt:
                return
            self._handle_reply(query, reply)
        self._finish_if_settled(query)

    def handle_connection_lost(self, address: str):
        """Fail the parts sent over a lost connection; they may have run."""
        for query in list(self.query_by_id.values()):
            for shard in query.shards:
                for number, send in list(shard.outstanding.items()):
                    if send.address == address:
                        self._fail_part(query, shard, number)
            self._finish_if_settled(query)

    def tick(self):
        """Run the hedges, retries and deadlines that are due."""
        self.next_tick_ms = math.inf
        now = self.read_clock()
        while self.timed_events and self.timed_events[0][0] <= now:
            _, _, kind, query, item = heapq.heappop(self.timed_events)
            if query.request.request_id not in self.query_by_id:
                continue
            if kind == "deadline":
                self._finish(query)
            elif item[0] != query.attempt:
                continue
            elif kind == "retry":
                self._retry_paused(query, query.shards[item[1]])
            else:
                self._hedge(query, query.shards[item[1]], kind == "rescue")
        self._schedule_tick()

    def choose_endpoint(self, endpoint_ids):
        """Return the usable replica expected to finish first, or None."""
        candidates = [
            self._build_candidate(endpoint_id)
            for endpoint_id in endpoint_ids
            if self._is_usable(endpoint_id)
        ]
        if not candidates:
            return None
        if self.picks_random_replica:
            return self.random.choice(candidates).endpoint_id
        best = replicas.choose_replica(
            candidates, self.read_clock(), self.random.random
        )
        return best.endpoint_id

    def _plan_query(self, request, excluded):
        slot = None
        if request.key is not None:
            slot = directory_module.hash_key(request.key)
        return self.directory.plan_query(request.services, slot, excluded)

    def _check_capacity(self, request, parts):
        customer_parts = self.parts_by_customer.get(request.customer, 0)
        active = sum(
            self.weight_by_customer[c]
            for c in self.parts_by_customer
            if c != request.customer
        )
        load = admission.EntryLoad(self.parts_in_flight, MAX_PARTS_IN_FLIGHT)
        if not admission.may_admit(
            load,
            customer_parts,
            parts,
            request.weight,
            active + request.weight,
        ):
            raise errors.build_error(
                errors.ErrorKind.OVER_PLAN,
                "requests in flight exceed the customer's share of this VM",
                request_id=request.request_id,
            )

    def _start_attempt(self, query, plan):
        query.plan = plan
        query.attempt += 1
        query.shards = tuple(
            query_state.ShardState(shard, index)
            for index, shard in enumerate(plan.shards)
        )
        query.shard_by_send = {}
        query.unsettled_count = len(query.shards)
        self._add_parts_in_flight(query.request, len(query.shards))
        request = query.request
        self.explainer.record(
            request.request_id,
            "plan",
            customer=request.customer,
            attempt=query.attempt,
            snapshot=plan.snapshot,
            shards=len(plan.shards),
            missing=[tuple(m) for m in plan.missing],
            reason="newest snapshot that covers most",
        )
        if plan.missing and not request.partial:
            self._finish(query)
            return
        chosen = []
        for shard in query.shards:
            endpoint_id = self.choose_endpoint(shard.plan.endpoint_ids)
            if endpoint_id is None:
                self._settle_missing(
                    query, shard, errors.ErrorKind.NO_ENDPOINT.value
                )
            else:
                chosen.append((shard, endpoint_id))
        self.hedge_budget = hedging.deposit(self.hedge_budget, len(chosen))
        self.rescue_budget = hedging.deposit(self.rescue_budget, len(chosen))
        self.retry_budget = hedging.deposit(self.retry_budget, len(chosen))
        self._send_parts(query, chosen, "expected-finish")
        self._finish_if_settled(query)

    def _send_parts(self, query, chosen, reason, ignore_pause=False):
        """Send parts to their owners, one message per owner."""
        now = self.read_clock()
        parts_by_session = {}
        for shard, endpoint_id in chosen:
            vm, epoch = self.directory.get_route(endpoint_id)
            number = len(query.shard_by_send)
            query.shard_by_send[number] = shard
            part = messages.Part(
                number,
                endpoint_id,
                epoch,
                shard.plan.low,
                shard.plan.high,
                ignore_pause,
            )
            parts_by_session.setdefault(vm.session, []).append(part)
            shard.outstanding[number] = query_state.Send(
                endpoint_id, epoch, vm.peer_address, now
            )
            shard.tried.append(endpoint_id)
            shard.first_sent_ms = shard.first_sent_ms or now
            self._update_stats(endpoint_id, replicas.record_sent, now)
            self._schedule_hedge(query, shard, now)
        request = query.request
        for session, parts in parts_by_session.items():
            self.explainer.record(
                request.request_id,
                "route",
                customer=request.customer,
                owner=session,
                endpoints=[p.endpoint_id for p in parts],
                reason=reason,
            )
            message = messages.SubQuery(
                request.request_id,
                query.attempt,
                request.customer,
                request.weight,
                request.rank,
                query.due_ms - now,
                query.plan.snapshot,
                request.encoded_query,
                tuple(parts),
            )
            self.send(self.directory.vm_by_session[session], message)

    def _schedule_hedge(self, query, shard, now, kind="hedge"):
        if not self.hedging_enabled or len(shard.plan.endpoint_ids) < 2:
            return
        delay = hedging.get_hedge_delay_ms(
            self.latency_stats, shard.plan.service
        )
        if now + delay < query.due_ms:
            item = (query.attempt, shard.index)
            self._schedule(now + delay, kind, query, item)

    def _schedule(self, due_ms, kind, query, item):
        self.event_number += 1
        heapq.heappush(
            self.timed_events, (due_ms, self.event_number, kind, query, item)
        )
        self._schedule_tick()

    def _schedule_tick(self):
        """Have `tick` run when the earliest timed event is due."""
        if (
            not self.timed_events
            or self.timed_events[0][0] >= self.next_tick_ms
        ):
            return
        if self.tick_timer is not None and self.tick_timer.active():
            self.tick_timer.cancel()
        self.next_tick_ms = self.timed_events[0][0]
        delay_s = (self.next_tick_ms - self.read_clock()) / 1000.0
        self.tick_timer = self.timers.call_later(
            max(delay_s, MIN_TICK_DELAY_S), self.tick
        )

    def _hedge(self, query, shard, is_rescue):
        """Send a late part to another replica, if the budget allows it.

        A part that the hedge budget refused is checked once more after the
        same delay. If it is still unanswered, its hedge ("rescue") draws on
        a separate budget. Such parts are rare unless endpoints are slow, so
        this adds load only when it is useful.
        """
        if shard.settled or len(shard.tried) >= MAX_SENDS:
            return
        if not self._is_straggler(query, shard):
            item = (query.attempt, shard.index)
            due = self.read_clock() + hedging.RECHECK_INTERVAL_MS
            kind = "rescue" if is_rescue else "hedge"
            self._schedule(due, kind, query, item)
            return
        endpoint_id = self._choose_hedge(shard)
        if endpoint_id is None:
            return
        if not self._try_withdraw_hedge(is_rescue):
            self._refuse_hedge(query, shard, endpoint_id, is_rescue)
            return
        query.hedges += 1
        reason = "rescue" if is_rescue else "hedge"
        self.metrics.count_extra(reason)
        self._send_parts(query, [(shard, endpoint_id)], reason)

    def _is_straggler(self, query, shard):
        delay = hedging.get_hedge_delay_ms(
            self.latency_stats, shard.plan.service
        )
        delay_ratio = (self.read_clock() - shard.first_sent_ms) / delay
        return hedging.is_straggler(
            len(query.shards), query.unsettled_count, delay_ratio
        )

    def _try_withdraw_hedge(self, is_rescue):
        if is_rescue:
            self.rescue_budget, granted = hedging.try_withdraw(
                self.rescue_budget
            )
        else:
            self.hedge_budget, granted = hedging.try_withdraw(
                self.hedge_budget
            )
        return granted

    def _refuse_hedge(self, query, shard, endpoint_id, is_rescue):
        self.metrics.count_refused_hedge()
        self.explainer.record(
            query.request.request_id,
            "hedge-refused",
            endpoint=endpoint_id,
            reason="budget of extra load is spent",
        )
        if not is_rescue:
            self._schedule_hedge(query, shard, self.read_clock(), "rescue")

    def _choose_hedge(self, shard):
        """Return an untried replica, or any replica if all were tried.

        A hedge may be late too, and a delay is more often specific to one
        request than to the endpoint, so trying a replica twice can help.
        """
        untried = [i for i in shard.plan.endpoint_ids if i not in shard.tried]
        endpoint_id = self.choose_endpoint(untried)
        if endpoint_id is None and not untried:
            endpoint_id = self.choose_endpoint(shard.plan.endpoint_ids)
        return endpoint_id

    def _handle_reply(self, query, reply):
        shard = query.shard_by_send.get(reply.send)
        if shard is None or reply.send not in shard.outstanding:
            return
        send = shard.outstanding.pop(reply.send)
        if self._follow_handover(query, shard, send, reply):
            return
        now = self.read_clock()
        self._update_stats(
            reply.endpoint_id,
            replicas.record_reply,
            reply.service_ms,
            reply.backlog_ms,
            now,
        )
        if reply.status in _ENDPOINT_FAILURES:
            self._update_stats(
                reply.endpoint_id, replicas.record_unavailable, now
            )
        shard.may_have_run = shard.may_have_run or reply.dispatched
        if reply.status in _TRANSIENT_REFUSALS and not reply.dispatched:
            shard.refused += 1
        if shard.settled:
            return
        if reply.status == "ok":
            self._settle_value(query, shard, reply, now)
            return
        shard.retry_after_ms = max(shard.retry_after_ms, reply.retry_after_ms)
        shard.reason = reply.status
        if reply.status == errors.ErrorKind.SNAPSHOT_GONE.value:
            self._restart_on_other_snapshot(query, shard)
            return
        self._retry_or_settle(query, shard, reply.dispatched)

    def _follow_handover(self, query, shard, send, reply):
        """Resend a part to the new owner of the same endpoint.

        A refusal by the previous owner is no sign of a failing endpoint, so
        the endpoint is kept: the part queues for it at the new owner as it
        did at the previous one.
        """
        if reply.status != errors.ErrorKind.NOT_OWNER.value or shard.settled:
            return False
        if len(shard.tried) >= MAX_SENDS:
            return False
        if not self.directory.invalidate_route(send.endpoint_id, send.epoch):
            return False
        if not self._is_usable(send.endpoint_id):
            return False
        self._update_stats(send.endpoint_id, replicas.record_not_run)
        self._send_parts(query, [(shard, send.endpoint_id)], "handed-over")
        return True

    def _settle_value(self, query, shard, reply, now):
        shard.value = reply.value
        shard.settled = True
        query.unsettled_count -= 1
        self.latency_stats = hedging.record_latency(
            self.latency_stats,
            shard.plan.service,
            now - shard.first_sent_ms,
            self.hedge_budget.share,
        )
        self._cancel_parts(query, (shard,))

    def _settle_missing(self, query, shard, reason):
        shard.reason = reason
        shard.settled = True
        query.unsettled_count -= 1

    def _fail_part(self, query, shard, number):
        send = shard.outstanding.pop(number, None)
        if send is None:
            return
        self._update_stats(
            send.endpoint_id, replicas.record_failure, self.read_clock()
        )
        shard.may_have_run = True
        if not shard.settled:
            shard.reason = errors.ErrorKind.CONNECTION_LOST.value
            self._retry_or_settle(query, shard, True)

    def _retry_or_settle(self, query, shard, dispatched):
        """Retry a failed part, now or later, or settle its shard as missing.

        Does nothing while another send for the shard is outstanding.
        """
        if shard.outstanding:
            return
        now = self.read_clock()
        endpoint_id = None
        if shard.count_run_sends() < MAX_SENDS and now < query.due_ms:
            endpoint_id = self._choose_retry(shard)
        if endpoint_id is not None and dispatched:
            self.retry_budget, granted = hedging.try_withdraw(
                self.retry_budget
            )
            if not granted:
                endpoint_id = None
        if endpoint_id is None:
            if not self._schedule_paused_retry(query, shard, now):
                self._settle_missing(query, shard, shard.reason)
            return
        query.retries += 1
        if dispatched:
            self.metrics.count_extra("retry")
        self._send_parts(
            query, [(shard, endpoint_id)], f"retry after {shard.reason}"
        )

    def _schedule_paused_retry(self, query, shard, now):
        """Schedule a delayed retry after transient refusals by all replicas.

        An owner that has paused an endpoint or has just handed it over
        refuses parts without running them, so a retry puts no load on the
        endpoints.

        Returns
        -------
        bool
            True if a retry is scheduled.
        """
        if (
            shard.reason not in _TRANSIENT_REFUSALS
            or shard.count_run_sends() >= MAX_SENDS
        ):
            return False
        if now + RETRY_PAUSE_MS >= query.due_ms:
            return False
        item = (query.attempt, shard.index)
        self._schedule(now + RETRY_PAUSE_MS, "retry", query, item)
        return True

    def _retry_paused(self, query, shard):
        """Run a retry scheduled by `_schedule_paused_retry`.

        The part asks the owner to try the endpoint even if it is paused.
        """
        if shard.settled or shard.outstanding:
            return
        endpoint_id = self.choose_endpoint(shard.plan.endpoint_ids)
        if endpoint_id is None:
            self._settle_missing(query, shard, shard.reason)
            self._finish_if_settled(query)
            return
        query.retries += 1
        self._send_parts(
            query,
            [(shard, endpoint_id)],
            f"last resort after {shard.reason}",
            ignore_pause=True,
        )

    def _choose_retry(self, shard):
        untried = [i for i in shard.plan.endpoint_ids if i not in shard.tried]
        endpoint_id = self.choose_endpoint(untried)
        if endpoint_id is not None or untried:
            return endpoint_id
        if shard.reason != errors.ErrorKind.CONNECTION_LOST.value:
            return None
        return self.choose_endpoint(shard.plan.endpoint_ids)

    def _restart_on_other_snapshot(self, query, shard):
        """Restart a query on another snapshot and cancel the current attempt.

        `shard` is settled as missing if no attempt, time or snapshot is
        left.
        """
        now = self.read_clock()
        excluded = query.excluded | {query.plan.snapshot}
        plan = self._plan_query(query.request, excluded)
        if query.attempt >= MAX_ATTEMPTS or not plan.shards:
            self._settle_missing(query, shard, shard.reason)
            return
        if now >= query.due_ms:
            self._settle_missing(query, shard, shard.reason)
            return
        query.excluded = excluded
        query.earlier_attempt_ran = query.earlier_attempt_ran or any(
            s.may_have_run or s.outstanding for s in query.shards
        )
        self._cancel_parts(query, query.shards)
        self._add_parts_in_flight(query.request, -len(query.shards))
        self._start_attempt(query, plan)

    def _cancel_parts(self, query, shards):
        now = self.read_clock()
        numbers_by_address = {}
        for shard in shards:
            for number, send in shard.outstanding.items():
                numbers = numbers_by_address.setdefault(send.address, [])
                numbers.append(number)
                waited = now - send.sent_ms
                self._update_stats(
                    send.endpoint_id, replicas.record_cancelled, waited, now
                )
            shard.may_have_run = shard.may_have_run or bool(shard.outstanding)
            shard.outstanding = {}
        for address, numbers in numbers_by_address.items():
            message = messages.CancelParts(
                query.request.request_id, query.attempt, tuple(numbers)
            )
            vm = self._find_vm(address)
            if vm is not None:
                self.send(vm, message)

    def _find_vm(self, address):
        for vm in self.directory.vm_by_session.values():
            if vm.peer_address == address:
                return vm
        return None

    def _finish_if_settled(self, query):
        if query.request.request_id not in self.query_by_id:
            return
        if query.unsettled_count == 0:
            self._finish(query)
        elif not query.request.partial and any(
            s.settled and s.value is None for s in query.shards
        ):
            self._finish(query)

    def _finish(self, query):
        """Answer a query, or fail it if it has no result that may be sent."""
        request = query.request
        del self.query_by_id[request.request_id]
        self._add_parts_in_flight(request, -len(query.shards))
        deadline = errors.ErrorKind.DEADLINE.value
        for shard in query.shards:
            if not shard.settled:
                shard.reason = deadline
                self._mark_unanswered_failed(shard)
        self._cancel_parts(query, query.shards)
        missing = answers.list_missing(query)
        results = answers.list_results(query)
        self._record_answer(query, results, missing)
        if missing and (not results or not request.partial):
            query.deferred.errback(answers.build_failure(query, missing))
            return
        answer = query_state.Answer(
            request.request_id, query.plan.snapshot, results, missing
        )
        query.deferred.callback(answer)

    def _mark_unanswered_failed(self, shard):
        """Avoid, for a while, the endpoints that have not answered a shard."""
        now = self.read_clock()
        for send in shard.outstanding.values():
            self._update_stats(
                send.endpoint_id, replicas.record_unavailable, now
            )

    def _record_answer(self, query, results, missing):
        self.metrics.count_shards("ok", len(results))
        for row in missing:
            self.metrics.count_shards(row.reason, 1)
        self.explainer.record(
            query.request.request_id,
            "answer",
            customer=query.request.customer,
            snapshot=query.plan.snapshot,
            answered=len(results),
            missing=[tuple(m) for m in missing],
            hedges=query.hedges,
            retries=query.retries,
            elapsed_ms=round(self.read_clock() - query.started_ms, 2),
        )

    def _add_parts_in_flight(self, request, count):
        self.parts_in_flight += count
        remaining = self.parts_by_customer.get(request.customer, 0) + count
        if remaining > 0:
            self.parts_by_customer[request.customer] = remaining
            self.weight_by_customer[request.customer] = request.weight
        else:
            self.parts_by_customer.pop(request.customer, None)
            self.weight_by_customer.pop(request.customer, None)

    def _is_usable(self, endpoint_id):
        endpoint = self.directory.endpoint_by_id.get(endpoint_id)
        return endpoint is not None and self.directory.is_usable(endpoint)

    def _build_candidate(self, endpoint_id):
        endpoint = self.directory.endpoint_by_id[endpoint_id]
        stats = self.stats_by_endpoint.get(endpoint_id)
        return replicas.Candidate(
            endpoint_id,
            endpoint.slots,
            endpoint.zone == self.vm.zone,
            stats or replicas.ReplicaStats(),
        )

    def _update_stats(self, endpoint_id, update, *values):
        stats = self.stats_by_endpoint.get(endpoint_id)
        self.stats_by_endpoint[endpoint_id] = update(
            stats or replicas.ReplicaStats(), *values
        )


_TRANSIENT_REFUSALS = errors.collect_values(
    errors.ErrorKind.NO_ENDPOINT, errors.ErrorKind.NOT_OWNER
)

_ENDPOINT_FAILURES = errors.collect_values(
    errors.ErrorKind.NO_ENDPOINT,
    errors.ErrorKind.NOT_OWNER,
    errors.ErrorKind.NO_LEASE,
    errors.ErrorKind.DRAINING,
    errors.ErrorKind.CONNECTION_LOST,
)


def build_request_id(vm_id: str) -> str:
    """Return a unique request id; its prefix names the VM of the query."""
    return f"{vm_id}~{uuid.uuid4().hex}"
