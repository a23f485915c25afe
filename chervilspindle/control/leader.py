"""Duties of the control leader beside the log: sessions and placement.

A heartbeat grants its session a lease. The session counts the lease from the
time at which it sent the heartbeat. The leader counts it from the later time
at which it replied, and adds a margin, so that it never ends a session that
still holds its lease. A new leader treats all sessions as renewed at the time
of its election.
"""

import functools
import json
import math

from chervilspindle.control import evacuations
from chervilspindle.control import placement
from chervilspindle.control import raft
from chervilspindle.control import state as state_module
from chervilspindle.core import logs
from chervilspindle.wire import messages
from chervilspindle.wire import versions

LEASE_MS = 3000
LEASE_MARGIN_MS = 300
TICK_PERIOD_S = 0.1
EXPIRY_PERIOD_MS = 60000
REBALANCE_PERIOD_MS = 500.0


class Leader:
    """Serves entry processes while its member is the leader.

    Parameters
    ----------
    node : ControlNode
    timers : TimerService
    read_clock : callable
        Monotonic milliseconds.

    Attributes
    ----------
    can_members_read : callable
        ``can_members_read(version)`` tells whether all members are known to
        read a version of the peer protocol.
    """

    def __init__(self, node, timers, read_clock):
        self.node = node
        self.read_clock = read_clock
        self.last_renewal_ms_by_session = {}
        self.revision_by_session = {}
        self.peer_version_by_session = {}
        self.can_members_read = lambda version: True
        self.assignment_pending = False
        self.next_rebalance_ms = -math.inf
        # Placement index and its change count when no moves were needed.
        self.last_balanced = None
        self.next_expiry_ms = -math.inf
        node.leader_listeners.append(self._on_elected)
        timers.subscribe("leader-tick", TICK_PERIOD_S, self.tick)

    def handle(self, message, peer_version: int = versions.OLDEST):
        """Answer a call of an entry; if not the leader, name its VM.

        Parameters
        ----------
        message : typing.NamedTuple
        peer_version : int
            Version of the protocol that the caller reads.
        """
        if not self.node.is_leader():
            return messages.NotLeader(self.node.get_leader_vm())
        if isinstance(message, messages.Heartbeat):
            session = message.vm.session
            self.peer_version_by_session[session] = peer_version
        return handle_call(message, self)

    def tick(self):
        """End sessions whose lease expired, then assign endpoints."""
        if not self.node.is_leader():
            return
        now = self.read_clock()
        self._expire_sessions(now)
        self._assign_owners(now)
        if now >= self.next_expiry_ms:
            self.next_expiry_ms = now + EXPIRY_PERIOD_MS
            command = state_module.Expire(logs.read_wall_ms())
            self._propose_best_effort(command)

    def _on_elected(self):
        now = self.read_clock()
        self.last_renewal_ms_by_session = {
            session: now for session in self.node.tables.vm_by_session
        }
        self.revision_by_session = {}
        self.assignment_pending = False

    def _expire_sessions(self, now):
        timeout_ms = LEASE_MS + LEASE_MARGIN_MS
        expired = []
        for session in self.node.tables.vm_by_session:
            last_renewal_ms = self.last_renewal_ms_by_session.setdefault(
                session, now
            )
            if now > last_renewal_ms + timeout_ms:
                logs.log_decision("session-expired", session=session)
                self.last_renewal_ms_by_session[session] = now
                expired.append(session)
        if expired:
            self._propose_best_effort(state_module.RemoveVms(tuple(expired)))
            self._drop_ended_sessions()

    def _drop_ended_sessions(self):
        """Drop local data of sessions that are no longer registered."""
        for table in (
            self.last_renewal_ms_by_session,
            self.revision_by_session,
            self.peer_version_by_session,
        ):
            for session in list(table):
                if session not in self.node.tables.vm_by_session:
                    del table[session]

    def _assign_owners(self, now):
        if self.assignment_pending:
            return
        tables = self.node.tables
        assignments = placement.plan_assignments(tables, self.node.placement)
        if not assignments and now >= self.next_rebalance_ms:
            self.next_rebalance_ms = now + REBALANCE_PERIOD_MS
            assignments = self._plan_rebalancing()
        if not assignments:
            return
        self.assignment_pending = True
        deferred = self.node.propose(state_module.Assign(assignments))
        deferred.addBoth(self._on_assigned)

    def _plan_rebalancing(self):
        """Plan moves, unless nothing changed since a plan without moves."""
        index = self.node.placement
        if self.last_balanced == (index, index.change_count):
            return ()
        moves = placement.plan_moves(self.node.tables, index)
        self.last_balanced = None if moves else (index, index.change_count)
        return moves

    def _on_assigned(self, _):
        self.assignment_pending = False

    def _propose_best_effort(self, command):
        self.node.propose(command).addErrback(lambda failure: None)

    def renew_session(self, heartbeat: messages.Heartbeat):
        """Renew the lease of a session, and reply with changed rows.

        The lease is 0 if the session has ended or the VM runs a newer
        incarnation.
        """
        if not self.node.is_leader():
            return messages.NotLeader(self.node.get_leader_vm())
        session = heartbeat.vm.session
        tables = self.node.tables
        lease_ms = 0
        if (
            session in tables.vm_by_session
            and not self._has_newer_incarnation(heartbeat.vm)
        ):
            lease_ms = LEASE_MS
            self.last_renewal_ms_by_session[session] = self.read_clock()
        self.revision_by_session[session] = heartbeat.known_revision
        delta = self.node.feed.get_delta(
            tables,
            heartbeat.known_version,
            self.peer_version_by_session.get(session, versions.OLDEST),
        )
        return messages.HeartbeatReply(lease_ms, delta)

    def _has_newer_incarnation(self, vm):
        for other in self.node.tables.vm_by_session.values():
            if other.vm_id == vm.vm_id:
                if other.incarnation > vm.incarnation:
                    return True
        return False

    def build_status(self) -> dict:
        """Return sessions, endpoints and replication state for operators."""
        now = self.read_clock()
        tables = self.node.tables
        sessions = []
        for vm in tables.vm_by_session.values():
            last_renewal_ms = self.last_renewal_ms_by_session.get(vm.session)
            sessions.append(
                {
                    "session": vm.session,
                    "vm": vm.vm_id,
                    "zone": vm.zone,
                    "state": vm.state,
                    "revision": self.revision_by_session.get(vm.session),
                    "lease_age_ms": (
                        round(now - last_renewal_ms)
                        if last_renewal_ms
                        else None
                    ),
                    "endpoints": len(
                        self.node.placement.endpoint_ids_by_session.get(
                            vm.session, ()
                        )
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
    """Handle a call of an entry; returns a reply or a Deferred."""
    raise TypeError(
        f"unsupported call to the control leader: {type(message).__name__}"
    )


@handle_call.register
def _handle_heartbeat(message: messages.Heartbeat, leader: Leader):
    registered_vm = leader.node.tables.vm_by_session.get(message.vm.session)
    commands = []
    if registered_vm != message.vm:
        commands.append(state_module.RegisterVm(message.vm))
    if message.reports:
        commands.append(
            state_module.ReportEndpoints(message.reports, logs.read_wall_ms())
        )
    if message.handovers:
        commands.append(state_module.EndHandovers(message.handovers))
    if not commands:
        return leader.renew_session(message)
    for command in commands[:-1]:
        leader._propose_best_effort(command)
    deferred = leader.node.propose(commands[-1])
    deferred.addCallback(lambda _: leader.renew_session(message))
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
def _handle_evacuation(message: messages.EvacuationCall, leader: Leader):
    tables = leader.node.tables
    zones = {vm.zone for vm in tables.vm_by_session.values()}
    return evacuations.handle_call(
        message,
        leader.node,
        message.zone in zones or evacuations.is_known(tables, message.zone),
        leader.can_members_read,
    )


@handle_call.register
def _handle_list_evacuations(
    message: messages.ListEvacuationsCall, leader: Leader
):
    return evacuations.build_list(leader.node.tables)


@handle_call.register
def _handle_status(message: messages.StatusCall, leader: Leader):
    body = json.dumps(leader.build_status()).encode()
    return messages.StatusReply(body)
