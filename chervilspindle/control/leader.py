"""What the control leader does beside the log: sessions and placement.

A heartbeat grants its session a lease, which the session counts from the
moment at which it sent the heartbeat; the leader counts from the later
moment at which it answered, plus a margin, so that it never declares a
session ended that still holds its lease. A new leader assumes that each
session was renewed at its own election.
"""

import functools
import json
import math

from chervilspindle.control import placement
from chervilspindle.control import raft
from chervilspindle.control import state as state_module
from chervilspindle.core import logs
from chervilspindle.wire import messages

LEASE_MS = 3000
LEASE_MARGIN_MS = 300
TEND_PERIOD_S = 0.1
EXPIRE_PERIOD_MS = 60000
MOVE_PERIOD_MS = 500.0


class Leader:
    """Serves entries while its member leads.

    Parameters
    ----------
    node : ControlNode
    timers : TimerService
    read_clock : callable
        Monotonic milliseconds.
    """

    def __init__(self, node, timers, read_clock):
        self.node = node
        self.read_clock = read_clock
        self.renewed_by_session = {}
        self.revision_by_session = {}
        self.pending_assign = False
        self.move_due_ms = -math.inf
        self.even_changes = None
        self.expire_due_ms = -math.inf
        node.leader_listeners.append(self._start_term)
        timers.subscribe("leader-tend", TEND_PERIOD_S, self.tend)

    def handle(self, message):
        """Answer one call of an entry, or say who leads."""
        if not self.node.is_leader():
            return messages.NotLeader(self.node.get_leader_vm())
        return handle_call(message, self)

    def tend(self):
        """End sessions whose lease ran out, then place endpoints."""
        if not self.node.is_leader():
            return
        now = self.read_clock()
        self._end_expired(now)
        self._place(now)
        if now >= self.expire_due_ms:
            self.expire_due_ms = now + EXPIRE_PERIOD_MS
            command = state_module.Expire(logs.read_wall_ms())
            self._propose_quietly(command)

    def _start_term(self):
        now = self.read_clock()
        self.renewed_by_session = {
            session: now for session in self.node.tables.vm_by_session
        }
        self.revision_by_session = {}
        self.pending_assign = False

    def _end_expired(self, now):
        limit = LEASE_MS + LEASE_MARGIN_MS
        expired = []
        for session in self.node.tables.vm_by_session:
            renewed = self.renewed_by_session.setdefault(session, now)
            if now > renewed + limit:
                logs.log_decision("session-expired", session=session)
                self.renewed_by_session[session] = now
                expired.append(session)
        if expired:
            self._propose_quietly(state_module.RemoveVms(tuple(expired)))
            self._forget_ended()

    def _forget_ended(self):
        """Drop what is remembered of sessions that ended earlier."""
        for table in (self.renewed_by_session, self.revision_by_session):
            for session in list(table):
                if session not in self.node.tables.vm_by_session:
                    del table[session]

    def _place(self, now):
        if self.pending_assign:
            return
        tables = self.node.tables
        assignments = placement.plan_assignments(tables, self.node.placement)
        if not assignments and now >= self.move_due_ms:
            self.move_due_ms = now + MOVE_PERIOD_MS
            assignments = self._plan_moves()
        if not assignments:
            return
        self.pending_assign = True
        deferred = self.node.propose(state_module.Assign(assignments))
        deferred.addBoth(self._finish_assign)

    def _plan_moves(self):
        """Plan moves, unless nothing changed since there were none."""
        index = self.node.placement
        if self.even_changes == (index, index.changes_seen):
            return ()
        moves = placement.plan_moves(self.node.tables, index)
        self.even_changes = None if moves else (index, index.changes_seen)
        return moves

    def _finish_assign(self, _):
        self.pending_assign = False

    def _propose_quietly(self, command):
        self.node.propose(command).addErrback(lambda failure: None)

    def renew(self, heartbeat: messages.Heartbeat):
        """Answer a heartbeat of a registered session."""
        if not self.node.is_leader():
            return messages.NotLeader(self.node.get_leader_vm())
        session = heartbeat.vm.session
        tables = self.node.tables
        lease_ms = 0
        if session in tables.vm_by_session and not self._is_replaced(
            heartbeat.vm
        ):
            lease_ms = LEASE_MS
            self.renewed_by_session[session] = self.read_clock()
        self.revision_by_session[session] = heartbeat.known_revision
        delta = self.node.feed.get_delta(tables, heartbeat.known_version)
        return messages.HeartbeatReply(lease_ms, delta)

    def _is_replaced(self, vm):
        for other in self.node.tables.vm_by_session.values():
            if other.vm_id == vm.vm_id:
                if other.incarnation > vm.incarnation:
                    return True
        return False

    def build_status(self) -> dict:
        """Return how the system stands, as the leader sees it."""
        now = self.read_clock()
        tables = self.node.tables
        sessions = []
        for vm in tables.vm_by_session.values():
            renewed = self.renewed_by_session.get(vm.session)
            sessions.append(
                {
                    "session": vm.session,
                    "vm": vm.vm_id,
                    "zone": vm.zone,
                    "state": vm.state,
                    "revision": self.revision_by_session.get(vm.session),
                    "lease_age_ms": (
                        round(now - renewed) if renewed else None
                    ),
                    "endpoints": len(
                        self.node.placement.ids_by_session.get(vm.session, ())
                    ),
                }
            )
        return {
            "leader": self.node.identity.member_id,
            "term": self.node.raft.term,
            "revision": tables.lists.revision,
            "version": tables.version,
            "log_index": raft.get_last_index(self.node.raft),
            "voters": list(raft.list_voters(self.node.raft)),
            "learners": [
                m.member_id for m in self.node.raft.members if not m.voter
            ],
            "vms": sessions,
            "endpoints": [
                _describe_endpoint(e, tables)
                for e in tables.endpoint_by_id.values()
            ],
            "claims": len(tables.claim_by_id),
        }


def _describe_endpoint(endpoint, tables) -> dict:
    ownership = tables.ownership_by_id.get(endpoint.endpoint_id)
    return {
        "endpoint": endpoint.endpoint_id,
        "service": endpoint.service,
        "state": endpoint.state,
        "zone": endpoint.zone,
        "snapshots": sorted({h.snapshot for h in endpoint.holdings}),
        "owner": ownership.session if ownership else "",
        "epoch": ownership.epoch if ownership else 0,
        "handed_over_by": ownership.previous if ownership else "",
    }


@functools.singledispatch
def handle_call(message, leader: Leader):
    """Answer one call of an entry; returns a reply or a Deferred."""
    raise TypeError(f"not a control call: {type(message).__name__}")


@handle_call.register
def _handle_heartbeat(message: messages.Heartbeat, leader: Leader):
    known = leader.node.tables.vm_by_session.get(message.vm.session)
    commands = []
    if known != message.vm:
        commands.append(state_module.RegisterVm(message.vm))
    if message.reports:
        commands.append(
            state_module.ReportEndpoints(message.reports, logs.read_wall_ms())
        )
    if message.handovers:
        commands.append(state_module.EndHandovers(message.handovers))
    if not commands:
        return leader.renew(message)
    for command in commands[:-1]:
        leader._propose_quietly(command)
    deferred = leader.node.propose(commands[-1])
    deferred.addCallback(lambda _: leader.renew(message))
    return deferred


@handle_call.register
def _handle_leave(message: messages.Leave, leader: Leader):
    deferred = leader.node.propose(state_module.RemoveVms((message.session,)))
    deferred.addCallback(lambda _: messages.Done())
    return deferred


@handle_call.register
def _handle_apply(message: messages.ApplyListsCall, leader: Leader):
    command = state_module.ApplyLists(*message)
    deferred = leader.node.propose(command)
    deferred.addCallback(
        lambda result: messages.ApplyListsReply(
            result.accepted, result.revision, result.detail
        )
    )
    return deferred


@handle_call.register
def _handle_claim(message: messages.ClaimCall, leader: Leader):
    deferred = leader.node.propose(state_module.ClaimCommand(message.claim))
    deferred.addCallback(lambda result: messages.ClaimReply(*result))
    return deferred


@handle_call.register
def _handle_resolve(message: messages.ResolveCall, leader: Leader):
    deferred = leader.node.propose(state_module.ResolveClaim(*message))
    deferred.addCallback(lambda _: messages.Done())
    return deferred


@handle_call.register
def _handle_status(message: messages.StatusCall, leader: Leader):
    body = json.dumps(leader.build_status()).encode()
    return messages.StatusReply(body)
