"""One control member: connects Raft to storage, network and timers.

The events of one event loop iteration are processed together and made
durable with one fsync. Only then are messages sent and committed commands
applied.
"""

import itertools
import logging
import random
import typing

from twisted.internet import defer

from chervilspindle.control import changes
from chervilspindle.control import membership
from chervilspindle.control import placement
from chervilspindle.control import raft
from chervilspindle.control import raft_messages
from chervilspindle.control import state as state_module
from chervilspindle.control import storage as storage_module
from chervilspindle.core import errors
from chervilspindle.core import logs
from chervilspindle.wire import versions

LOGGER = logging.getLogger(__name__)

TICK_S = 0.05
JOIN_INTERVAL_MS = 200.0  # shorter than an election
SNAPSHOT_ENTRIES = 2000
PROPOSAL_TIMEOUT_MS = 3000.0
PARTS_PER_SLICE = 4
REJOIN_TIMEOUT_MS = 2000.0  # longer than two elections
# After a start; the leader of a group sends to each member more often.
FIRST_CONTACT_TIMEOUT_MS = 500.0
LEAVE_NOTICE_MS = 1000.0  # several ticks, in each of which a Leave is sent


class Proposal(typing.NamedTuple):
    """An encoded command that is not committed yet."""

    encoded: tuple
    deferred: defer.Deferred


class PendingEntry(typing.NamedTuple):
    """Proposals in one log entry that is not committed yet."""

    term: int
    due_ms: float
    proposals: tuple[Proposal, ...]


class SnapshotBuild(typing.NamedTuple):
    """A snapshot in progress.

    Parameters
    ----------
    writer : storage.SnapshotWriter
    source : iterator of bytes
        Parts that are not written yet.
    parts : list of bytes
        Parts that are written.
    """

    writer: storage_module.SnapshotWriter
    source: typing.Iterator[bytes]
    parts: list[bytes]


class ControlNode:
    """One member of the control group.

    Parameters
    ----------
    identity : storage.Identity
    address : str
        Own replication address ``IP:PORT``.
    address_by_vm : dict of str to str
        Replication addresses of all control VMs, from the settings.
    storage : storage.Storage
    send : callable
        ``send(address, data)``; best effort, messages may be lost.
    timers : TimerService
    read_clock : callable
        Monotonic milliseconds.
    on_failure : callable
        Called once when storage fails; the process must stop then.
    seed : int
        Seed of the random election jitter.
    seeds : tuple of str
        Replication addresses of possible members, for groups whose VMs are
        not listed in the settings.
    voters : int or None
        Target number of voters; the number of control VMs by default.

    Attributes
    ----------
    read_version : callable
        ``read_version(address)`` returns the version of the peer protocol
        that is read at an address.
    """

    def __init__(
        self,
        identity,
        address,
        address_by_vm,
        storage,
        send,
        timers,
        read_clock,
        on_failure,
        seed=None,
        seeds=(),
        voters=None,
    ):
        self.identity = identity
        self.address = address
        self.address_by_vm = address_by_vm
        self.storage = storage
        self.send = send
        self.timers = timers
        self.read_clock = read_clock
        self.on_failure = on_failure
        self.seeds = tuple(seeds)
        self.voters = len(address_by_vm) if voters is None else voters
        self.random = random.Random(seed)
        self.raft = None
        self.persisted = None
        self.tables = state_module.EMPTY_STATE
        self.applied_index = 0
        self.snapshot = storage_module.EMPTY_SNAPSHOT
        self.snapshot_build = None
        self.feed = changes.ChangeFeed()
        self.placement = placement.PlacementIndex(self.tables)
        self.proposals = []
        self.pending_by_index = {}
        self.inbox = []
        self.flush_scheduled = False
        self.failed = False
        self.started_ms = 0.0
        self.join_due_ms = 0.0
        self.pending_joins = {}
        self.leaving = False
        self.free_to_leave = False
        # Used by the leader only: time of the latest Leave by member id.
        self.leave_ms_by_id = {}
        self.leader_listeners = []
        self.applied_listeners = []
        self.address_by_member = {}
        self.read_version = lambda address: versions.CURRENT

    def start(self):
        """Recover from disk and start the timers."""
        self._recover()
        self.timers.subscribe("control-tick", TICK_S, self.tick)

    def _recover(self):
        recovered = self.storage.recover()
        now = self.read_clock()
        self.raft = raft.build_state(
            self.identity.member_id,
            recovered.hard,
            recovered.log,
            recovered.snapshot.mark,
            now,
            self.random.random(),
        )
        self.started_ms = now
        self.persisted = self.raft
        self._load_tables(recovered.snapshot)
        LOGGER.info(
            "control state recovered from disk",
            extra={
                "member": self.identity.member_id,
                "revision": self.tables.lists.revision,
                "log_entries": len(recovered.log),
                "torn_bytes": recovered.torn_bytes,
            },
        )

    def stop(self):
        """Stop the timers and close the storage."""
        self.timers.cancel("control-tick")
        self._abort_snapshot()
        self.failed = True
        self.storage.close()

    def leave(self):
        """Announce that this member ends soon.

        If another VM can take its vote, the leader lets it. `free_to_leave`
        is set once this member is not needed for that any more.
        """
        self.leaving = True
        if self.raft is None:
            self.free_to_leave = True
        else:
            self.tick()

    def is_formed(self) -> bool:
        """Tell on the leader whether the group may acknowledge documents.

        A group that holds one has been formed before.
        """
        if self.tables.document.version >= 0:
            return True
        return membership.is_formed(
            self.raft, self.voters, len(self.seeds), self.read_clock()
        )

    def initialise(self):
        """Bootstrap a new group whose only voter is this member."""
        self._recover()
        member = (self.identity.member_id, self.address, True)
        data = raft_messages.encode_members((member,))
        entry = raft_messages.Entry(1, 1, raft.CONFIG, data)
        self.raft = self.raft._replace(term=1, log=(entry,))
        self.storage.persist(self.persisted, self.raft)

    def receive(self, data: bytes, address: str = ""):
        """Handle a message from the transport.

        Parameters
        ----------
        data : bytes
        address : str
            Replication address of the sender, if the transport provides it.
            A new member has no other source for the addresses of members
            outside the settings.
        """
        try:
            decoded = raft_messages.decode_envelope(data)
        except (raft_messages.msgspec.MsgspecError, KeyError):
            LOGGER.warning("discarded undecodable replication message")
            return
        group, sender, message = decoded
        if group == self.identity.group:
            if address:
                self.address_by_member[sender] = address
            self.inbox.append((sender, message))
            self._schedule_flush()

    def propose(self, command) -> defer.Deferred:
        """Commit a command through the log.

        Returns
        -------
        Deferred
            Fires with the result of applying the command. Fails with
            NO_LEADER and not_run if the command is certainly not in the log,
            and with OUTCOME_UNKNOWN if it may be; with MALFORMED if it has
            no encoding.
        """
        if not self.is_leader():
            return defer.fail(self.build_no_leader_error())
        try:
            encoded = state_module.encode_command(command)
        except (OverflowError, TypeError, ValueError) as error:
            name = type(command).__name__
            logs.log_decision("command-refused", command=name, why=str(error))
            return defer.fail(
                errors.build_error(
                    errors.ErrorKind.MALFORMED,
                    f"{name} cannot be stored: {error}",
                )
            )
        deferred = defer.Deferred()
        self.proposals.append(Proposal(encoded, deferred))
        self._schedule_flush()
        return deferred

    def is_leader(self) -> bool:
        """Tell whether this member is the leader and holds a valid lease."""
        if self.failed or self.raft is None:
            return False
        return raft.has_leader_lease(self.raft, self.read_clock())

    def get_leader_vm(self) -> str:
        """Return the id of the leader's VM, '' if no leader is known."""
        return raft.get_vm_id(self.raft.leader_id)

    def find_leader_address(self) -> str | None:
        """Return the replication address of the leader, None if unknown."""
        return self._find_address(self.raft.leader_id)

    def build_no_leader_error(self) -> errors.ProblemError:
        """Build the error for calls that only the leader can serve."""
        return errors.build_error(
            errors.ErrorKind.NO_LEADER, "this control VM is not the leader"
        )

    def tick(self):
        """Handle Raft timers, proposal timeouts and membership changes."""
        if self.failed:
            return
        now = self.read_clock()
        was_leader = self.raft.role == "leader"
        self._advance(raft.tick(self.raft, now, self.random.random()))
        self._expire_pending(now)
        if self.failed:
            return
        if self.leaving:
            self._request_leave(now)
        if self.raft.role == "leader":
            self._reconcile_members(now)
        else:
            self.pending_joins.clear()
            self.leave_ms_by_id.clear()
            if now >= self.join_due_ms:
                self.join_due_ms = now + JOIN_INTERVAL_MS
                self._request_join()
        if was_leader and self.raft.role != "leader":
            logs.log_decision(
                "leadership",
                role=self.raft.role,
                term=self.raft.term,
                leader=self.raft.leader_id,
            )

    def _schedule_flush(self):
        if not self.flush_scheduled:
            self.flush_scheduled = True
            self.timers.call_later(0, self._flush)

    def _flush(self):
        self.flush_scheduled = False
        if self.failed:
            return
        inbox, self.inbox = self.inbox, []
        outbox = []
        for sender, message in inbox:
            outbox.extend(self._step(sender, message))
        outbox.extend(self._propose_batch())
        self._advance(raft.Step(self.raft, tuple(outbox)))

    def _step(self, sender, message):
        if isinstance(message, raft_messages.Join):
            self._handle_join(sender, message)
            return ()
        if isinstance(message, raft_messages.Leave):
            return self._handle_leave(sender)
        if isinstance(message, raft_messages.LeaveReply):
            self.free_to_leave = self.free_to_leave or message.free
            return ()
        if isinstance(message, raft_messages.Install):
            return self._handle_install(sender, message)
        now = self.read_clock()
        result = raft.step(
            self.raft, sender, message, now, self.random.random()
        )
        self._set_raft_state(result.state)
        return result.outbox

    def _set_raft_state(self, new_state):
        if new_state.role == "leader" and self.raft.role != "leader":
            self._handle_election_won(new_state)
        self.raft = new_state

    def _handle_election_won(self, new_state):
        logs.log_decision("leadership", role="leader", term=new_state.term)
        for listener in self.leader_listeners:
            listener()

    def _propose_batch(self):
        if not self.proposals:
            return ()
        proposals, self.proposals = self.proposals, []
        now = self.read_clock()
        data = state_module.join_commands(p.encoded for p in proposals)
        result, index = raft.propose(self.raft, data, now)
        if index is None:
            for proposal in proposals:
                proposal.deferred.errback(self.build_no_leader_error())
            return ()
        self.raft = result.state
        self.pending_by_index[index] = PendingEntry(
            self.raft.term, now + PROPOSAL_TIMEOUT_MS, tuple(proposals)
        )
        return result.outbox

    def _advance(self, result: raft.Step):
        """Make a step durable, then send its messages and apply its commits.

        The order matters: other members may rely on a message only if its
        state survives a crash of this member.
        """
        self._set_raft_state(result.state)
        try:
            self.storage.persist(self.persisted, self.raft)
        except storage_module.StorageError:
            self._fail()
            return
        self.persisted = self.raft
        for receiver, message in result.outbox:
            self._send(receiver, message)
        self._apply_committed()
        self._start_snapshot_if_due()

    def _fail(self, reason="control storage failed"):
        if self.failed:
            return
        self.failed = True
        LOGGER.exception(reason)
        for pending in self.pending_by_index.values():
            _fail_with_unknown_outcome(pending)
        self.pending_by_index.clear()
        self.on_failure()

    def _send(self, receiver, message):
        address = self._find_address(receiver)
        if address is None:
            return
        if isinstance(message, raft_messages.Install):
            message = message._replace(
                mark=self.snapshot.mark,
                data=state_module.join_snapshot_parts(self.snapshot.parts),
            )
        version = self.read_version(address)
        if not raft_messages.is_known(type(message), version):
            return
        data = raft_messages.encode_envelope(
            self.identity.group, self.identity.member_id, message, version
        )
        self.send(address, data)

    def _find_address(self, member_id):
        vm_id = raft.get_vm_id(member_id)
        if vm_id in self.address_by_vm:
            return self.address_by_vm[vm_id]
        for member in self.raft.members:
            if member.member_id == member_id:
                return member.address
        return self.address_by_member.get(member_id)

    def _load_tables(self, snapshot):
        self.snapshot = snapshot
        self.tables = state_module.decode_snapshot_parts(snapshot.parts)
        self.applied_index = snapshot.mark.index
        self.feed.reset(self.tables.version)
        self.placement = placement.PlacementIndex(self.tables)

    def _handle_install(self, sender, message):
        now = self.read_clock()
        result = raft.step(
            self.raft, sender, message, now, self.random.random()
        )
        self._set_raft_state(result.state)
        if result.outbox:
            return result.outbox
        metadata = message.mark
        if metadata.index > self.raft.commit_index:
            state = raft.install_snapshot(
                self.raft, metadata, now, self.random.random()
            )
            parts = state_module.split_snapshot_parts(message.data)
            snapshot = storage_module.SnapshotFile(metadata, parts)
            self._abort_snapshot()
            try:
                self.storage.save_snapshot(snapshot, state)
            except storage_module.StorageError:
                self._fail()
                return ()
            self.raft = self.persisted = state
            self._load_tables(snapshot)
        reply = raft.build_install_reply(self.raft, metadata, message.sent_ms)
        return ((sender, reply),)

    def _apply_committed(self):
        before = self.applied_index
        while self.applied_index < self.raft.commit_index:
            index = self.applied_index + 1
            entry = raft.get_entries(self.raft, index, index)[0]
            try:
                results = self._apply_entry(entry)
            except state_module.UnreadableCommand:
                # Later entries on other tables would differ from the group's.
                self._fail("control log has a command of a newer build")
                return
            self.applied_index = index
            self._resolve_pending(entry, results)
            if entry.kind == raft.CONFIG:
                self.timers.call_later(0, self._continue_reconciling)
        if self.applied_index > before:
            for listener in self.applied_listeners:
                listener()

    def _apply_entry(self, entry):
        if entry.kind != raft.DATA:
            return ()
        commands = state_module.decode_batch(entry.data)
        self.tables = self.tables._replace(version=entry.index)
        results = []
        row_changes = []
        for command in commands:
            outcome = state_module.apply_command(command, self.tables)
            self.tables = outcome.state
            results.append(outcome.result)
            row_changes.extend(outcome.changes)
            _log_placement(command)
        self.feed.record(entry.index, row_changes)
        self.placement.update(self.tables, row_changes)
        return results

    def _resolve_pending(self, entry, results):
        pending = self.pending_by_index.pop(entry.index, None)
        if pending is None:
            return
        if pending.term != entry.term:
            for proposal in pending.proposals:
                proposal.deferred.errback(self.build_no_leader_error())
            return
        for proposal, result in zip(pending.proposals, results):
            proposal.deferred.callback(result)

    def _expire_pending(self, now):
        for index, pending in list(self.pending_by_index.items()):
            if now > pending.due_ms:
                del self.pending_by_index[index]
                _fail_with_unknown_outcome(pending)

    def _start_snapshot_if_due(self):
        """Start a snapshot if the log has grown beyond its limits."""
        if self.snapshot_build is not None:
            return
        entries = self.applied_index - self.raft.snapshot_index
        large = self.storage.log_bytes > storage_module.MAX_LOG_BYTES
        if entries < SNAPSHOT_ENTRIES and not (large and entries > 0):
            return
        state = raft.compact(self.raft, self.applied_index)
        metadata = raft_messages.SnapshotMetadata(
            state.snapshot_index,
            state.snapshot_term,
            tuple(tuple(m) for m in state.snapshot_members),
        )
        try:
            writer = self.storage.begin_snapshot(metadata)
        except storage_module.StorageError:
            self._fail()
            return
        source = state_module.encode_snapshot_parts(self.tables)
        self.snapshot_build = SnapshotBuild(writer, source, [])
        self._schedule_slice()

    def _schedule_slice(self):
        self.timers.call_later(0, self._write_slice, self.snapshot_build)

    def _write_slice(self, build):
        """Write the next parts; the log is appended to between slices."""
        if self.failed or self.snapshot_build is not build:
            return
        parts = tuple(itertools.islice(build.source, PARTS_PER_SLICE))
        try:
            if parts:
                build.writer.add(parts)
                build.parts.extend(parts)
                self._schedule_slice()
            else:
                self._finish_snapshot(build)
        except storage_module.StorageError:
            self._fail()

    def _finish_snapshot(self, build):
        self.snapshot_build = None
        metadata = build.writer.metadata
        state = raft.compact(self.raft, metadata.index)
        # The new log also contains the entries appended during the snapshot.
        build.writer.finish(state)
        self.raft = self.persisted = state
        self.snapshot = storage_module.SnapshotFile(
            metadata, tuple(build.parts)
        )
        LOGGER.info(
            "control snapshot written", extra={"index": metadata.index}
        )

    def _abort_snapshot(self):
        if self.snapshot_build is not None:
            self.snapshot_build.writer.close()
            self.snapshot_build = None

    def _request_join(self):
        """Ask to join the group unless this is a member with a leader.

        A member that was removed while it was down still finds itself in its
        own log but gets no messages. It asks again when it has had no
        contact with a leader for `REJOIN_TIMEOUT_MS`, or the seeds only for
        `FIRST_CONTACT_TIMEOUT_MS` after its start.
        """
        if self.leaving:
            return
        member_ids = {m.member_id for m in self.raft.members}
        silent_ms = self.read_clock() - self.raft.leader_contact_ms
        timeout_ms = REJOIN_TIMEOUT_MS
        if self.raft.leader_contact_ms <= self.started_ms:
            timeout_ms = FIRST_CONTACT_TIMEOUT_MS
        if self.identity.member_id in member_ids and silent_ms < timeout_ms:
            return
        join = raft_messages.Join(self.identity.member_id, self.address)
        addresses = {*self.address_by_vm.values(), *self.seeds}
        if silent_ms >= REJOIN_TIMEOUT_MS:
            addresses.update(m.address for m in self.raft.members)
        # The leader still sends to the former member of this address.
        addresses.update(filter(None, [self.find_leader_address()]))
        for address in sorted(addresses - {self.address}):
            self._send_join(address, join)

    def _handle_join(self, sender, join):
        """Record a join request on the leader; otherwise forward it there.

        A new member knows only the seeds, and possibly none of them is the
        leader. It repeats its request, so only the leader records it. A
        forwarded request is not forwarded again, which prevents loops.
        """
        if self.raft.role == "leader":
            self.pending_joins[join.member_id] = join.address
            return
        address = self.find_leader_address()
        if sender == join.member_id and address is not None:
            self._send_join(address, join)

    def _send_join(self, address, join):
        data = raft_messages.encode_envelope(
            self.identity.group, self.identity.member_id, join
        )
        self.send(address, data)

    def _request_leave(self, now):
        if self.raft.role == "leader":
            self._record_leave(self.identity.member_id, now)
            self.free_to_leave = self._is_free(self.identity.member_id, now)
        elif membership.has_left(self.raft):
            self.free_to_leave = True
        elif self.raft.leader_id:
            leave = raft_messages.Leave(self.identity.member_id)
            self._send(self.raft.leader_id, leave)

    def _handle_leave(self, sender):
        if self.raft.role != "leader":
            return ()
        now = self.read_clock()
        self._record_leave(sender, now)
        reply = raft_messages.LeaveReply(self._is_free(sender, now))
        return ((sender, reply),)

    def _record_leave(self, member_id, now):
        self.pending_joins.pop(member_id, None)
        if member_id not in self.leave_ms_by_id:
            logs.log_decision("member-leaving", member=member_id)
        self.leave_ms_by_id[member_id] = now

    def _is_free(self, member_id, now):
        # A leader that has been replaced may not know of the successor.
        return self.is_leader() and membership.is_free_to_leave(
            self.raft, self.voters, member_id, self.leave_ms_by_id, now
        )

    def _continue_reconciling(self):
        """Take the next step once a configuration is committed."""
        if not self.failed and self.raft.role == "leader":
            self._reconcile_members(self.read_clock())

    def _reconcile_members(self, now):
        for member_id, left_ms in list(self.leave_ms_by_id.items()):
            if now - left_ms > LEAVE_NOTICE_MS:
                del self.leave_ms_by_id[member_id]
        planned = membership.plan_voters(
            self.raft,
            self.voters,
            self.leave_ms_by_id,
            now,
            self._has_older_members(),
        )
        if planned is None:
            planned = self._plan_next_join()
        if planned is None:
            return
        result, index = raft.propose_members(self.raft, planned, now)
        if index is not None:
            logs.log_decision(
                "membership",
                members=[m.member_id for m in planned],
                voters=[m.member_id for m in planned if m.voter],
            )
            self._advance(result)

    def _has_older_members(self):
        addresses = (
            self._find_address(m.member_id) for m in self.raft.members
        )
        return any(
            self.read_version(address) < versions.ADDITIONAL_VOTERS
            for address in addresses
            if address is not None and address != self.address
        )

    def _plan_next_join(self):
        while self.pending_joins:
            member_id, address = next(iter(self.pending_joins.items()))
            planned = membership.plan_join(self.raft, member_id, address)
            if planned is not None:
                return planned
            del self.pending_joins[member_id]
        return None


def _fail_with_unknown_outcome(pending: PendingEntry):
    for proposal in pending.proposals:
        proposal.deferred.errback(
            errors.build_error(
                errors.ErrorKind.OUTCOME_UNKNOWN,
                "the change was not confirmed; it may or may not take effect",
            )
        )


def _log_placement(command):
    if isinstance(command, state_module.Assign):
        for assignment in command.assignments:
            logs.log_decision(
                "placement",
                endpoint=assignment.endpoint_id,
                owner=assignment.session,
                epoch=assignment.epoch + 1,
            )
