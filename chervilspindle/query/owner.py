"""Queueing and dispatch of work to the endpoints that this VM owns.

Only the owner of an endpoint sends it work, so its slots, the shares of
customers and the priorities are enforced here exactly. Before each dispatch
the owner checks its lease on its own clock, so that a process that was
suspended or partitioned dispatches nothing after its lease has expired.
"""

import itertools
import logging
import math

from chervilspindle.core import endpoint_checks
from chervilspindle.core import errors
from chervilspindle.core import logs
from chervilspindle.policy import admission
from chervilspindle.policy import limits
from chervilspindle.query import endpoint_state
from chervilspindle.query import handover
from chervilspindle.query import health
from chervilspindle.wire import messages

LOGGER = logging.getLogger(__name__)

TICK_S = 0.02
FULL_PASS_S = 0.1
MAX_QUEUED = 5000
CANCEL_PROBE_DELAY_MS = 250.0
MAX_RECENT_COMMAND_IDS = 10000


class Owner:
    """Queues work for the endpoints that this VM owns, and dispatches it.

    Parameters
    ----------
    session : Session
    directory : Directory
    build_client : callable
        ``build_client(address, connections)`` returns an endpoint client.
    timers : TimerService
    read_clock : callable
        Monotonic milliseconds.
    metrics : Metrics
    call : callable
        ``call(vm, message, timeout_s)`` calls the owner on a VM and returns
        a Deferred.
    is_fair : bool
        False for first come, first served, as a measurement baseline.
    """

    def __init__(
        self,
        session,
        directory,
        build_client,
        timers,
        read_clock,
        metrics,
        call,
        is_fair=True,
    ):
        self.session = session
        self.directory = directory
        self.build_client = build_client
        self.timers = timers
        self.read_clock = read_clock
        self.metrics = metrics
        self.is_fair = is_fair
        self.owned_by_id = {}
        self.closing = []
        self.work_by_key = {}
        self.run_numbers = itertools.count()
        self.replies_by_target = {}
        self.flush_scheduled = False
        self.next_full_pass_ms = -math.inf
        self.tick_scheduled = False
        self.recent_command_ids = {}
        self.health = health.HealthMonitor(self)
        self.handover_manager = handover.HandoverManager(
            self, directory, session, call, timers
        )
        directory.listeners.append(self.update_owned)
        timers.subscribe("owner", FULL_PASS_S, self.tick)

    def update_owned(self, endpoint_ids):
        """Start and stop serving endpoints after a change of the directory.

        Parameters
        ----------
        endpoint_ids : set of str
            Endpoints whose rows changed.
        """
        own_session = self.session.vm.session
        for endpoint_id in endpoint_ids:
            row = self.directory.ownership_by_id.get(endpoint_id)
            endpoint = self.directory.endpoint_by_id.get(endpoint_id)
            if endpoint is not None and not _has_usable_address(endpoint):
                endpoint = None
            owned = self.owned_by_id.get(endpoint_id)
            if owned and not (
                endpoint and handover.may_serve(row, own_session, owned.epoch)
            ):
                self._stop_serving(endpoint_id)
                owned = None
            if owned is None:
                self._serve_if_allowed(row, endpoint)
            elif owned.row != endpoint:
                self._update_row(owned, endpoint)
            if owned is not None:
                self._update_zone(owned)

    def take_over(self, endpoint, epoch: int, running: int):
        """Start serving an endpoint that its previous owner handed over.

        Parameters
        ----------
        endpoint : rows.Endpoint
        epoch : int
        running : int
            Requests of the previous owner that still run there.
        """
        self._start_serving(endpoint, epoch)
        owned = self.owned_by_id[endpoint.endpoint_id]
        now = self.read_clock()
        owned.set_inherited(running, now)
        self._dispatch(owned, now)

    def release_to_successor(self, endpoint_id: str, epoch: int, link) -> int:
        """Stop serving an endpoint in favour of the owner of a later epoch.

        Parameters
        ----------
        link : object
            Its ``send(message)`` sends to the new owner.

        Returns
        -------
        int
            Requests that still run there.
        """
        owned = self.owned_by_id.get(endpoint_id)
        if owned is not None and owned.epoch < epoch:
            self._stop_serving(endpoint_id)
        for owned in self._list_closing(endpoint_id):
            owned.successor = endpoint_state.Successor(link, epoch)
        return self._count_closing_runs(endpoint_id)

    def handle_slots_left(self, message: messages.SlotsLeft):
        """Update how many requests of the previous owner still run."""
        owned = self.owned_by_id.get(message.endpoint_id)
        if owned is not None and owned.epoch == message.epoch:
            now = self.read_clock()
            owned.set_inherited(
                min(owned.inherited_running, message.running), now
            )
            self._dispatch(owned, now)

    def submit(self, message: messages.SubQuery, target):
        """Queue the parts of a sub-query.

        Parameters
        ----------
        message : SubQuery
        target : object
            Its ``send(message)`` receives the replies.
        """
        now = self.read_clock()
        due = now + min(message.deadline_ms, endpoint_state.MAX_DEADLINE_MS)
        for part in message.parts:
            job = endpoint_state.Job(
                message.request_id,
                message.attempt,
                message.customer,
                message.weight,
                message.rank,
                message.snapshot,
                message.query,
                part,
                None,
            )
            work = endpoint_state.Work(
                job, self._build_reply_callback(target), due, now
            )
            self._admit(work, now)

    def run_command(self, message: messages.RunCommand, answer):
        """Queue a claimed command; `answer` is called with its CommandReply.

        A duplicate of an earlier message is answered with an unknown
        outcome, since the first copy may have run.
        """
        now = self.read_clock()
        if message.request_id in self.recent_command_ids:
            kind = errors.ErrorKind.OUTCOME_UNKNOWN.value
            answer(messages.CommandReply(kind, True, 0, messages.EMPTY_VALUE))
            return
        self._record_command_id(message.request_id)
        part = messages.Part(0, message.endpoint_id, message.epoch, 0, 0)
        job = endpoint_state.Job(
            message.request_id,
            0,
            message.customer,
            message.weight,
            message.rank,
            0,
            message.command,
            part,
            message.key,
        )
        due = now + min(message.deadline_ms, endpoint_state.MAX_DEADLINE_MS)

        def convert(job_, reply):
            answer(
                messages.CommandReply(
                    reply.status,
                    reply.dispatched,
                    reply.retry_after_ms,
                    reply.value,
                )
            )

        self._admit(endpoint_state.Work(job, convert, due, now), now)

    def cancel(self, message: messages.CancelParts):
        """Cancel parts whose result is no longer needed."""
        now = self.read_clock()
        for send in message.sends:
            key = (message.request_id, message.attempt, send)
            work = self.work_by_key.get(key)
            if work is not None:
                self._cancel_work(work, now)

    def handle_load(self, load: messages.Load):
        """Apply the state and load that an endpoint announced."""
        owned = self.owned_by_id.get(load.endpoint_id)
        if owned is None or load.incarnation < owned.row.incarnation:
            return
        now = self.read_clock()
        owned.last_announced_ms = now
        owned.reported_lost = False
        if load.state != owned.row.state and load.state == "draining":
            owned.row = owned.row._replace(state="draining")
            self.refuse_queue(owned, errors.ErrorKind.DRAINING)
        if (
            owned.handover_count_valid_until_ms
            <= now
            < owned.inherited_until_ms
        ):
            inherited_running = load.in_use - len(owned.running)
            owned.inherited_running = max(
                0, min(owned.row.slots, inherited_running)
            )
            if not owned.inherited_running:
                owned.inherited_until_ms = 0.0
            self._dispatch(owned, now)

    def tick(self):
        """Dispatch, expire and probe work; check the health of endpoints.

        Runs every `TICK_S` while there is work, else every `FULL_PASS_S`.
        Announcements, suspect endpoints and idle queues are checked every
        `FULL_PASS_S` only.
        """
        now = self.read_clock()
        self.tick_scheduled = False
        is_full_pass = now >= self.next_full_pass_ms
        if is_full_pass:
            self.next_full_pass_ms = (
                now + FULL_PASS_S * 1000.0 - TICK_S * 500.0
            )
        is_active = bool(self.closing)
        for owned in list(self.owned_by_id.values()):
            if owned.running or owned.queue.size:
                is_active = True
                self._expire_queued(owned, now)
                self._check_running(owned, now)
                self.health.check_stalled(owned, now)
                self._dispatch(owned, now)
            if is_full_pass:
                self.health.check_announcements(owned, now)
                self.health.check_suspect(owned, now)
                owned.queue.evict_idle()
        for owned in list(self.closing):
            self._check_running(owned, now)
            if not owned.running:
                self.closing.remove(owned)
                owned.client.close()
        if is_active:
            self._schedule_tick()

    def count_work(self) -> int:
        """Return the number of jobs queued or running."""
        queued = sum(o.queue.size for o in self.owned_by_id.values())
        running = sum(len(o.running) for o in self.owned_by_id.values())
        return queued + running + sum(len(o.running) for o in self.closing)

    def _schedule_tick(self):
        if not self.tick_scheduled:
            self.tick_scheduled = True
            self.timers.schedule_within("owner", TICK_S)

    def _serve_if_allowed(self, row, endpoint):
        if row is None or endpoint is None:
            return
        epoch = self.handover_manager.get_serving_epoch(row)
        if epoch:
            self._start_serving(endpoint, epoch)
        else:
            self.handover_manager.schedule_request(row)

    def _start_serving(self, endpoint, epoch):
        client = self.build_client(
            endpoint.address, min(endpoint.connections, endpoint.slots + 1)
        )
        now = self.read_clock()
        owned = endpoint_state.OwnedEndpoint(endpoint, epoch, client, now)
        owned.zone_out = endpoint.zone in self.directory.evacuated_zones
        self.owned_by_id[endpoint.endpoint_id] = owned
        logs.log_decision(
            "owner-gained", endpoint=endpoint.endpoint_id, epoch=epoch
        )

    def _stop_serving(self, endpoint_id):
        owned = self.owned_by_id.pop(endpoint_id)
        owned.released = True
        self._schedule_tick()
        self.refuse_queue(owned, errors.ErrorKind.NOT_OWNER)
        self.closing.append(owned)
        logs.log_decision(
            "owner-lost", endpoint=endpoint_id, epoch=owned.epoch
        )

    def _update_row(self, owned, endpoint):
        if endpoint.address != owned.row.address:
            owned.client.close()
            owned.client = self.build_client(
                endpoint.address, endpoint.slots + 1
            )
        if endpoint.incarnation != owned.row.incarnation:
            owned.limit = limits.build_limit(endpoint.slots, True)
            owned.last_announced_ms = self.read_clock()
            for work in owned.running.values():
                # The request may run in the old process or in the new one;
                # only a probe of the endpoint can tell, so send it now.
                work.probe_ms = 0.0
        elif endpoint.slots != owned.row.slots:
            owned.limit = owned.limit._replace(slots=endpoint.slots)
        owned.row = endpoint
        if endpoint.state == "draining":
            self.refuse_queue(owned, errors.ErrorKind.DRAINING)

    def _update_zone(self, owned):
        """Keep work back while the endpoint's zone is evacuated.

        Queued work is refused, so that gatherers choose another replica. The
        endpoint may be cold when its zone returns, so its limit rises again
        from 1 as that of an endpoint that has just started.
        """
        zone_out = owned.row.zone in self.directory.evacuated_zones
        if zone_out == owned.zone_out:
            return
        owned.zone_out = zone_out
        if zone_out:
            self.refuse_queue(owned, errors.ErrorKind.NO_ENDPOINT)
        else:
            owned.limit = owned.limit._replace(limit=1.0)

    def _admit(self, work: endpoint_state.Work, now: float):
        if not self.is_fair:
            work.job = work.job._replace(customer="", weight=1.0, rank=0)
        part = work.job.part
        owned = self.owned_by_id.get(part.endpoint_id)
        if owned is None or owned.epoch != part.epoch:
            self._refuse(work, errors.ErrorKind.NOT_OWNER)
            return
        if part.ignore_pause:
            owned.limit = limits.allow_probe(owned.limit)
        if not owned.accepts_work(now):
            self._refuse(work, errors.ErrorKind.NO_ENDPOINT)
            return
        estimate = self._estimate_queue(owned, work.job)
        remaining = work.due_ms - now
        if (
            admission.would_miss_deadline(estimate, remaining)
            or owned.queue.size >= MAX_QUEUED
        ):
            retry_after = admission.compute_retry_after_ms(estimate, remaining)
            self._refuse(work, errors.ErrorKind.OVERLOADED, retry_after)
            return
        self.work_by_key[endpoint_state.build_key(work.job)] = work
        self._schedule_tick()
        owned.queue.push(
            work.job.customer, work.job.weight, work.job.rank, work
        )
        self._dispatch(owned, now)

    def _estimate_queue(self, owned, job):
        return admission.estimate_queue(
            owned.queue.count_ahead(job.customer, job.rank),
            len(owned.running),
            limits.get_limit(owned.limit),
            owned.limit.service_ms,
            owned.queue.get_share(job.customer, job.weight),
        )

    def _dispatch(self, owned: endpoint_state.OwnedEndpoint, now: float):
        while owned.queue.size and owned.count_free_slots(now) > 0:
            if not self.session.is_valid():
                self.refuse_queue(owned, errors.ErrorKind.NO_LEASE)
                return
            if not owned.accepts_work(now):
                return
            cost = owned.limit.service_ms
            customer, work = owned.queue.pop(cost)
            if work is None:
                return
            if work.due_ms - now < self._get_min_remaining_ms(owned):
                owned.queue.charge(customer, -cost)
                self._refuse(work, errors.ErrorKind.DEADLINE)
                continue
            self._start(owned, work, now)

    def _start(self, owned, work, now):
        job = work.job
        work.state = endpoint_state.RUNNING
        work.started_ms = now
        work.probe_ms = now + self.health.get_probe_delay_ms(owned)
        work.run_id = (
            f"{job.request_id}.{job.attempt}.{next(self.run_numbers)}"
        )
        owned.running[work.run_id] = work
        remaining = work.due_ms - now
        self.metrics.count_dispatch(job)
        if job.key is None:
            part = job.part
            work.call = owned.client.run_query(
                work.run_id,
                job.body,
                job.snapshot,
                part.low,
                part.high,
                remaining,
            )
        else:
            work.call = owned.client.run_command(
                work.run_id, job.key, job.body, remaining
            )
        work.call.addCallback(self._finish, owned, work)
        work.call.addErrback(_log_failure)

    def _finish(self, result, owned, work):
        """Handle the endpoint's result and free the slot."""
        now = self.read_clock()
        if owned.running.pop(work.run_id, None) is None:
            return
        self._remove_work(work)
        work.state = endpoint_state.ENDED
        service_ms = now - work.started_ms
        self._record_result(owned, work, result, service_ms, now)
        status = result.status
        if status == "ok" and work.job.key is None:
            if result.snapshot != work.job.snapshot:
                status = errors.ErrorKind.SNAPSHOT_GONE.value
        if status == errors.ErrorKind.CANCELLED.value and not work.answered:
            status = errors.ErrorKind.ENDPOINT_FAILED.value
        self.answer(
            owned,
            work,
            status,
            result.dispatched,
            result.retry_after_ms,
            service_ms,
            result.value,
        )
        if work.answered and work.cancelled_ms and result.dispatched:
            self.metrics.count_wasted()
        if owned.released:
            self._notify_successor(owned)
        else:
            self._dispatch(owned, now)

    def _notify_successor(self, owned):
        if owned.successor is None:
            return
        endpoint_id = owned.row.endpoint_id
        running = self._count_closing_runs(endpoint_id)
        owned.successor.link.send(
            messages.SlotsLeft(endpoint_id, owned.successor.epoch, running)
        )

    def _list_closing(self, endpoint_id):
        return [o for o in self.closing if o.row.endpoint_id == endpoint_id]

    def _count_closing_runs(self, endpoint_id):
        """Return how many requests of this VM run at a released endpoint."""
        return sum(len(o.running) for o in self._list_closing(endpoint_id))

    def _record_result(self, owned, work, result, service_ms, now):
        owned.queue.charge(
            work.job.customer, service_ms - owned.limit.service_ms
        )
        if result.status == "ok":
            owned.limit = limits.record_success(owned.limit, service_ms, now)
        elif result.status == errors.ErrorKind.OVERLOADED.value:
            owned.limit = limits.record_shed(owned.limit, now)
            self.metrics.count_shed()

    def answer(
        self, owned, work, status, dispatched, retry_after, service_ms, value
    ):
        """Reply to the sender of work; only the first reply is sent."""
        if work.answered:
            return
        work.answered = True
        wait = (work.started_ms or self.read_clock()) - work.queued_ms
        backlog = 0.0
        if owned is not None:
            backlog = (
                owned.queue.size
                * owned.limit.service_ms
                / limits.get_limit(owned.limit)
            )
        work.on_reply(
            work.job,
            messages.PartReply(
                work.job.part.send,
                work.job.part.endpoint_id,
                status,
                dispatched,
                int(retry_after),
                wait,
                service_ms if dispatched else 0.0,
                backlog,
                value,
            ),
        )

    def _refuse(self, work, kind, retry_after=0):
        """Answer work that was not dispatched, and remove it."""
        owned = self.owned_by_id.get(work.job.part.endpoint_id)
        self._remove_work(work)
        work.state = endpoint_state.ENDED
        self.answer(
            owned,
            work,
            kind.value,
            False,
            retry_after,
            0.0,
            messages.EMPTY_VALUE,
        )

    def refuse_queue(self, owned, kind):
        """Refuse all queued work of an endpoint, as not dispatched."""
        for customer, work in owned.queue.list_least_urgent():
            owned.queue.count_removed(customer)
            self._refuse(work, kind)

    def _expire_queued(self, owned, now):
        if not owned.queue.size:
            return
        needed = self._get_min_remaining_ms(owned)
        for customer, work in owned.queue.list_least_urgent():
            if work.due_ms - now < needed:
                owned.queue.count_removed(customer)
                self._refuse(work, errors.ErrorKind.DEADLINE)

    def _get_min_remaining_ms(self, owned):
        """Return the time to the deadline that work needs to be dispatched.

        It is 0 for an idle endpoint, which then gets new measurements of
        its service time even if the current estimate is too high.
        """
        if not owned.running:
            return 0.0
        return admission.SERVICE_TIME_FACTOR * owned.limit.service_ms

    def _check_running(self, owned, now):
        for work in list(owned.running.values()):
            if now > work.due_ms and not work.cancelled_ms:
                self._expire_running(owned, work, now)
            if now > work.probe_ms and not work.probing:
                # The slot of a cancelled request stays occupied until the
                # endpoint confirms that the request has ended, so that a
                # hanging endpoint gets no more requests than its slots.
                self.health.probe(owned, work)

    def _expire_running(self, owned, work, now):
        kind = errors.ErrorKind.DEADLINE
        if work.job.key is not None:
            kind = errors.ErrorKind.OUTCOME_UNKNOWN
        self.answer(
            owned, work, kind.value, True, 0, 0.0, messages.EMPTY_VALUE
        )
        if work.job.key is None:
            self._cancel_running(owned, work, now)
        else:
            work.cancelled_ms = now
            work.probe_ms = now + CANCEL_PROBE_DELAY_MS

    def _cancel_work(self, work, now):
        owned = self.owned_by_id.get(work.job.part.endpoint_id)
        work.answered = True
        if work.state == endpoint_state.QUEUED and owned is not None:
            owned.queue.count_removed(work.job.customer)
            self._remove_work(work)
            work.state = endpoint_state.ENDED
        elif work.state == endpoint_state.RUNNING:
            for candidate in (owned, *self.closing):
                if candidate and work.run_id in candidate.running:
                    self._cancel_running(candidate, work, now)

    def _cancel_running(self, owned, work, now):
        work.cancelled_ms = now
        work.probe_ms = now + CANCEL_PROBE_DELAY_MS
        owned.client.cancel(work.run_id)

    def _build_reply_callback(self, target):
        def answer(job, reply):
            key = (id(target), job.request_id, job.attempt)
            entry = self.replies_by_target.get(key)
            if entry is None:
                entry = self.replies_by_target[key] = (target, job, [])
            entry[2].append(reply)
            if not self.flush_scheduled:
                self.flush_scheduled = True
                self.timers.call_later(0, self._flush_replies)

        return answer

    def _flush_replies(self):
        self.flush_scheduled = False
        batches, self.replies_by_target = self.replies_by_target, {}
        for target, job, replies in batches.values():
            target.send(
                messages.SubReply(job.request_id, job.attempt, tuple(replies))
            )

    def _remove_work(self, work):
        key = endpoint_state.build_key(work.job)
        if self.work_by_key.get(key) is work:
            del self.work_by_key[key]

    def _record_command_id(self, request_id):
        self.recent_command_ids[request_id] = True
        if len(self.recent_command_ids) > MAX_RECENT_COMMAND_IDS:
            del self.recent_command_ids[next(iter(self.recent_command_ids))]


def _log_failure(failure):
    LOGGER.error(
        "could not process an endpoint's result: %s", failure.getTraceback()
    )


def _has_usable_address(endpoint) -> bool:
    """Tell whether an endpoint that control may have stored can be used."""
    try:
        endpoint_checks.parse_address(endpoint.address)
    except ValueError as error:
        LOGGER.warning(
            "endpoint cannot be used",
            extra={
                "endpoint": endpoint.endpoint_id,
                "why": str(error)[: endpoint_checks.MAX_NAME_CHARACTERS],
            },
        )
        return False
    return True
