"""An entry's session with control: lease, heartbeats and leader calls.

The lease starts when the heartbeat was sent, on the clock of this VM.
Without a lease the entry admits nothing and dispatches nothing: its lists
may be outdated and its endpoints may have another owner.
"""

import logging

from twisted.internet import defer

from chervilspindle.core import errors
from chervilspindle.core import logs
from chervilspindle.core import rows
from chervilspindle.wire import messages

LOGGER = logging.getLogger(__name__)

HEARTBEAT_MS = 1000.0
EAGER_HEARTBEAT_MS = 50.0
CALL_TIMEOUT_S = 0.8
RETRY_PAUSE_S = 0.1
TICK_S = 0.5
MAX_REPORTS = 2000


class ControlClient:
    """Finds the control leader and calls it.

    Parameters
    ----------
    call : callable
        ``call(address, message, timeout_s)`` returns a Deferred.
    address_by_vm : dict of str to str
        Peer addresses of the control VMs.
    timers : TimerService
    """

    def __init__(self, call, address_by_vm, timers):
        self.call_peer = call
        self.address_by_vm = address_by_vm
        self.vm_ids = sorted(address_by_vm)
        self.leader_vm = self.vm_ids[0]
        self.timers = timers

    @defer.inlineCallbacks
    def call(self, message, timeout_s: float):
        """Call the leader; try other control VMs until the timeout.

        Raises
        ------
        ProblemError
            NO_LEADER; marked as not run unless the reply to an attempt was
            lost.
        """
        due = self.timers.clock.seconds() + timeout_s
        may_have_run = False
        while True:
            remaining = due - self.timers.clock.seconds()
            if remaining <= 0:
                raise errors.build_error(
                    errors.ErrorKind.NO_LEADER,
                    "no control leader could be reached",
                    not_run=not may_have_run,
                )
            address = self.address_by_vm[self.leader_vm]
            try:
                reply = yield self.call_peer(
                    address, message, min(CALL_TIMEOUT_S, remaining)
                )
            except errors.ProblemError as error:
                if not _is_retryable(error.problem):
                    raise
                may_have_run = may_have_run or not error.problem.not_run
                self._select_next_leader("")
            else:
                if not isinstance(reply, messages.NotLeader):
                    return reply
                self._select_next_leader(reply.leader_vm)
            yield self._pause(RETRY_PAUSE_S)

    def _select_next_leader(self, hint: str):
        if hint in self.address_by_vm and hint != self.leader_vm:
            self.leader_vm = hint
            return
        position = self.vm_ids.index(self.leader_vm)
        self.leader_vm = self.vm_ids[(position + 1) % len(self.vm_ids)]

    def _pause(self, delay_s):
        deferred = defer.Deferred()
        self.timers.call_later(delay_s, deferred.callback, None)
        return deferred


class Session:
    """Renews the lease of one entry process by heartbeats.

    Parameters
    ----------
    vm : rows.Vm
    directory : Directory
    control : ControlClient
    timers : TimerService
    read_clock : callable
        Monotonic milliseconds.
    """

    def __init__(self, vm, directory, control, timers, read_clock):
        self.vm = vm
        self.directory = directory
        self.control = control
        self.timers = timers
        self.read_clock = read_clock
        self.lease_until_ms = 0.0
        self.reports_by_id = {}
        self.handover_epoch_by_id = {}
        self.next_heartbeat_ms = 0.0
        self.last_sent_ms = 0.0
        self.heartbeat_in_flight = False
        self.stopped = False

    def start(self):
        """Start sending heartbeats."""
        self.timers.subscribe("session", TICK_S, self._tick)
        self._schedule_tick()

    def is_valid(self) -> bool:
        """Tell whether the lease is valid now."""
        return self.read_clock() < self.lease_until_ms

    def get_lease_ms(self) -> float:
        """Return the remaining time of the lease, in ms."""
        return max(0.0, self.lease_until_ms - self.read_clock())

    def report(self, endpoint: rows.Endpoint):
        """Report a changed endpoint in an early heartbeat."""
        pending = self.reports_by_id.get(endpoint.endpoint_id)
        if pending is not None and not rows.is_newer(endpoint, pending):
            return
        if len(self.reports_by_id) < MAX_REPORTS:
            self.reports_by_id[endpoint.endpoint_id] = endpoint
            self.expedite_heartbeat()

    def report_handover(self, endpoint_id: str, epoch: int):
        """Report that an endpoint was taken over from its previous owner."""
        self.handover_epoch_by_id[endpoint_id] = epoch
        self.expedite_heartbeat()

    def expedite_heartbeat(self):
        """Send the next heartbeat now, `EAGER_HEARTBEAT_MS` after the last."""
        self.next_heartbeat_ms = min(
            self.next_heartbeat_ms, self.last_sent_ms + EAGER_HEARTBEAT_MS
        )
        self._schedule_tick()

    def set_state(self, state: str):
        """Announce a new state of this VM."""
        self.vm = self.vm._replace(state=state)
        self.expedite_heartbeat()

    @defer.inlineCallbacks
    def leave(self):
        """End the session: nothing is admitted or dispatched afterwards."""
        self.stopped = True
        self.lease_until_ms = 0.0
        try:
            yield self.control.call(messages.Leave(self.vm.session), 2.0)
        except errors.ProblemError:
            LOGGER.warning(
                "could not notify control that this session has ended"
            )

    def _schedule_tick(self):
        delay_ms = max(0.0, self.next_heartbeat_ms - self.read_clock())
        self.timers.schedule_within("session", delay_ms / 1000.0)

    def _tick(self):
        now = self.read_clock()
        if (
            self.heartbeat_in_flight
            or self.stopped
            or now < self.next_heartbeat_ms
        ):
            return
        self.heartbeat_in_flight = True
        self.last_sent_ms = now
        self.next_heartbeat_ms = now + HEARTBEAT_MS
        reports, self.reports_by_id = self.reports_by_id, {}
        heartbeat = messages.Heartbeat(
            self.vm,
            self.directory.version,
            self.directory.lists.revision,
            tuple(reports.values()),
            self._list_handovers(),
        )
        deferred = self.control.call(heartbeat, CALL_TIMEOUT_S * 1.5)
        deferred.addCallbacks(
            self._handle_heartbeat_reply,
            self._handle_heartbeat_failure,
            (now,),
        )
        deferred.addErrback(_log_failure)
        deferred.addBoth(self._end_heartbeat, reports)

    def _list_handovers(self):
        """Return the handovers that control has not recorded yet."""
        for endpoint_id, epoch in list(self.handover_epoch_by_id.items()):
            row = self.directory.ownership_by_id.get(endpoint_id)
            if row is None or row.epoch != epoch or not row.previous:
                del self.handover_epoch_by_id[endpoint_id]
        return tuple(self.handover_epoch_by_id.items())

    def _handle_heartbeat_reply(self, reply, sent_ms):
        previous_revision = self.directory.lists.revision
        delta = messages.decode_delta(reply.delta)
        if not self.directory.apply_delta(delta):
            # Control has lost accepted changes; continuing with its tables
            # would revert them here.
            LOGGER.error("control is older than what it said before")
            return True
        if reply.lease_ms and not self.stopped:
            if not self.is_valid():
                logs.log_decision("lease-gained", session=self.vm.session)
            until = sent_ms + reply.lease_ms
            self.lease_until_ms = max(self.lease_until_ms, until)
        elif not self.stopped:
            self.expedite_heartbeat()
        if self.directory.lists.revision != previous_revision:
            # Lets operators see soon that the lists are applied here.
            self.expedite_heartbeat()
        return True

    def _handle_heartbeat_failure(self, failure):
        """Return whether the reports of the heartbeat are done with."""
        failure.trap(errors.ProblemError)
        if failure.value.problem.kind is errors.ErrorKind.MALFORMED:
            # The same reports would fail again, and the lease would end.
            failure.raiseException()
        self.expedite_heartbeat()
        return False

    def _end_heartbeat(self, succeeded, reports):
        self.heartbeat_in_flight = False
        self._schedule_tick()
        if not succeeded:
            for endpoint in reports.values():
                self.report(endpoint)


def _is_retryable(problem: errors.Problem) -> bool:
    return problem.kind in (
        errors.ErrorKind.CONNECTION_LOST,
        errors.ErrorKind.NO_LEADER,
        errors.ErrorKind.OUTCOME_UNKNOWN,
    )


def _log_failure(failure):
    LOGGER.error("could not process a heartbeat: %s", failure.getTraceback())
    return True
