"""Planned moves of endpoints between live owners, without a gap.

Control grants an endpoint to a new owner while the owner before still
serves it. The new owner waits until the other entries have heard of the
grant, then asks the one before for the endpoint. That one stops sending
work, passes its queue back to the gatherers, who send it on, and answers how
much still runs; from then on the new owner fills the other slots. If the
owner before can't be asked, it goes on serving until it answers, leaves or
loses its lease, which control then tells the new owner.
"""

import typing

from chervilspindle.core import errors
from chervilspindle.core import logs
from chervilspindle.core import rows
from chervilspindle.wire import messages

GRANT_PROPAGATION_S = 1.2  # longer than the period of heartbeats
CALL_TIMEOUT_S = 0.5
RETRY_S = 0.3


class PendingHandover(typing.NamedTuple):
    """An endpoint that this VM waits for, and under which epoch."""

    endpoint_id: str
    epoch: int


def may_serve(row: rows.Ownership | None, own: str, epoch: int) -> bool:
    """Tell whether a session may go on serving under an epoch.

    Parameters
    ----------
    row : Ownership or None
        As this VM knows it.
    own : str
        The session.
    epoch : int
        Under which it serves the endpoint.
    """
    if row is None:
        return False
    if row.previous == own and row.epoch == epoch + 1:
        return True
    return row.session == own and row.epoch == epoch


class HandoverManager:
    """Asks for endpoints granted to this VM, and hands over its own.

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
        """Return the epoch that may be used without asking anybody, or 0.

        An owner may hear of its grant and of the next owner at once; it
        serves under its own grant until it is asked for the endpoint.
        """
        own = self.session.vm.session
        given = self.released_epoch_by_id.get(row.endpoint_id, 0)
        if row.epoch <= given:
            return 0
        if row.previous == own:
            return row.epoch - 1
        if row.session == own and not row.previous:
            return row.epoch
        return 0

    def schedule_request(self, row: rows.Ownership | None):
        """Plan to ask for an endpoint that another session still serves."""
        own = self.session.vm.session
        if row is None or row.session != own or not row.previous:
            return
        pending = PendingHandover(row.endpoint_id, row.epoch)
        if self.pending_by_id.get(row.endpoint_id) == pending:
            return
        self.pending_by_id[row.endpoint_id] = pending
        self.timers.call_later(
            GRANT_PROPAGATION_S, self._request_handover, pending
        )

    def hand_over(self, message: messages.HandOverCall, link):
        """Stop serving an endpoint and say how much still runs there."""
        if message.previous != self.session.vm.session:
            return messages.HandOverReply(False, 0)
        endpoint_id = message.endpoint_id
        given = self.released_epoch_by_id.get(endpoint_id, 0)
        self.released_epoch_by_id[endpoint_id] = max(given, message.epoch)
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
