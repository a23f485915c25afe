"""Planned handover of endpoints between live owners, without interruption.

Control grants an endpoint to a new owner while the previous owner still
serves it. The new owner waits until the grant has reached the other entries,
then requests the endpoint from the previous owner. The previous owner stops
sending work, refuses its queue, which gatherers resend to the new owner, and
replies with the number of requests that still run; the new owner uses the
other slots at once. A previous owner that can't be reached goes on serving
until it replies, leaves or loses its lease; control reports the latter two
to the new owner.
"""

import typing

from chervilspindle.core import errors
from chervilspindle.core import logs
from chervilspindle.core import rows
from chervilspindle.wire import messages

GRANT_PROPAGATION_S = 1.2  # longer than the heartbeat period
CALL_TIMEOUT_S = 0.5
RETRY_S = 0.3


class PendingHandover(typing.NamedTuple):
    """A handover to this VM that is not complete; `epoch` is the new one."""

    endpoint_id: str
    epoch: int


def may_serve(
    row: rows.Ownership | None, own_session: str, epoch: int
) -> bool:
    """Tell whether a session may continue to serve under an epoch.

    Parameters
    ----------
    row : Ownership or None
        The latest that this VM has received.
    own_session : str
    epoch : int
        Epoch under which the session serves the endpoint.
    """
    if row is None:
        return False
    if row.previous == own_session and row.epoch == epoch + 1:
        return True
    return row.session == own_session and row.epoch == epoch


class HandoverManager:
    """Requests endpoints granted to this VM and hands over those it serves.

    Parameters
    ----------
    owner : Owner
    directory : Directory
    session : Session
    call : callable
        ``call(vm, message, timeout_s)`` returns a Deferred.
    timers : TimerService
    """

    def __init__(self, owner, directory, session, call, timers):
        self.owner = owner
        self.directory = directory
        self.session = session
        self.call = call
        self.timers = timers
        self.pending_by_id = {}
        self.released_epoch_by_id = {}

    def get_serving_epoch(self, row: rows.Ownership) -> int:
        """Return the epoch under which this VM may serve now, or 0.

        A grant and the grant of the next owner may arrive in one update;
        this VM then serves under its own until the next owner requests the
        endpoint.
        """
        own_session = self.session.vm.session
        released_epoch = self.released_epoch_by_id.get(row.endpoint_id, 0)
        if row.epoch <= released_epoch:
            return 0
        if row.previous == own_session:
            return row.epoch - 1
        if row.session == own_session and not row.previous:
            return row.epoch
        return 0

    def schedule_request(self, row: rows.Ownership | None):
        """Schedule the request for an endpoint granted to this VM."""
        own_session = self.session.vm.session
        if row is None or row.session != own_session or not row.previous:
            return
        pending = PendingHandover(row.endpoint_id, row.epoch)
        if self.pending_by_id.get(row.endpoint_id) == pending:
            return
        self.pending_by_id[row.endpoint_id] = pending
        self.timers.call_later(
            GRANT_PROPAGATION_S, self._request_handover, pending
        )

    def hand_over(self, message: messages.HandOverCall, link):
        """Release an endpoint; reply with the number of running requests."""
        if message.previous != self.session.vm.session:
            return messages.HandOverReply(False, 0)
        endpoint_id = message.endpoint_id
        released_epoch = self.released_epoch_by_id.get(endpoint_id, 0)
        self.released_epoch_by_id[endpoint_id] = max(
            released_epoch, message.epoch
        )
        self.directory.record_handover(endpoint_id, message.epoch)
        running = self.owner.release_to_successor(
            endpoint_id, message.epoch, link
        )
        logs.log_decision(
            "handed-over",
            endpoint=endpoint_id,
            epoch=message.epoch,
            running=running,
        )
        return messages.HandOverReply(True, running)

    def _request_handover(self, pending):
        row = self.directory.ownership_by_id.get(pending.endpoint_id)
        if not self._is_pending(pending, row):
            if self.pending_by_id.get(pending.endpoint_id) == pending:
                del self.pending_by_id[pending.endpoint_id]
            return
        vm = self.directory.vm_by_session.get(row.previous)
        if vm is None or not self.session.is_valid():
            self.timers.call_later(RETRY_S, self._request_handover, pending)
            return
        call = messages.HandOverCall(*pending, row.previous)
        deferred = self.call(vm, call, CALL_TIMEOUT_S)
        deferred.addCallbacks(
            self._handle_reply,
            self._handle_failure,
            (pending,),
            errbackArgs=(pending,),
        )

    def _is_pending(self, pending, row):
        if row is None or not row.previous or row.epoch != pending.epoch:
            return False
        if row.session != self.session.vm.session:
            return False
        return pending.endpoint_id not in self.owner.owned_by_id

    def _handle_reply(self, reply, pending):
        row = self.directory.ownership_by_id.get(pending.endpoint_id)
        endpoint = self.directory.endpoint_by_id.get(pending.endpoint_id)
        is_pending = endpoint is not None and self._is_pending(pending, row)
        if not is_pending or not reply.granted:
            self.timers.call_later(RETRY_S, self._request_handover, pending)
            return
        del self.pending_by_id[pending.endpoint_id]
        self.directory.record_handover(pending.endpoint_id, pending.epoch)
        self.owner.take_over(endpoint, pending.epoch, reply.running)
        self.session.report_handover(pending.endpoint_id, pending.epoch)

    def _handle_failure(self, failure, pending):
        failure.trap(errors.ProblemError)
        self.timers.call_later(RETRY_S, self._request_handover, pending)
