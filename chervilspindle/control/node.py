"""One control member: drives the pure log with a disk, sockets and timers.

Events of one turn of the loop are stepped together, made durable with one
fsync, and only then are messages sent and committed commands applied.
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

LOGGER = logging.getLogger(__name__)

TICK_S = 0.05
JOIN_PERIOD_MS = 1000.0
SNAPSHOT_ENTRIES = 2000
PROPOSAL_TIMEOUT_MS = 3000.0
PARTS_PER_SLICE = 4
REJOIN_AFTER_MS = 3000.0  # two elections without a leader's word
REPLACE_AFTER_MS = 4000.0  # a restart and a pause are shorter


class Proposal(typing.NamedTuple):
    """A command that waits for its commit."""

    command: typing.NamedTuple
    deferred: defer.Deferred


class Waiting(typing.NamedTuple):
    """Proposals that went into one entry of the log."""

    term: int
    due_ms: float
    proposals: tuple[Proposal, ...]


class SnapshotBuild(typing.NamedTuple):
    """A snapshot that is being written, and the parts it has so far."""

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
        ``send(address, data)``; may lose the message.
    timers : TimerService
    read_clock : callable
        Monotonic milliseconds.
    on_failure : callable
        Called once when the disk fails; the process has to stop.
    seed : int
        Seed of election jitter.
    seeds : tuple of str
        Replication addresses at which members may be found, for groups
        whose VMs are not listed.
    voters : int or None
        Voters that the group should have; as many as VMs by default.
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
        self.building = None
        self.feed = changes.ChangeFeed()
        self.placement = placement.PlacementIndex(self.tables)
        self.proposals = []
        self.waiting_by_index = {}
        self.inbox = []
        self.flush_planned = False
        self.failed = False
        self.join_due_ms = 0.0
        self.joins = {}
        self.leader_listeners = []
        self.applied_listeners = []
        self.address_by_member = {}

    def start(self):
        """Recover from the disk and start the timers."""
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
        self.persisted = self.raft
        self._load_tables(recovered.snapshot)
        LOGGER.info(
            "control recovered",
            extra={
                "member": self.identity.member_id,
                "revision": self.tables.lists.revision,
                "log_entries": len(recovered.log),
                "torn_bytes": recovered.torn_bytes,
            },
        )

    def stop(self):
        """Stop timers and close the disk."""
        self.timers.cancel("control-tick")
        self._abandon_snapshot()
        self.failed = True
        self.storage.close()

    def initialise(self):
        """Write the log of a new group whose only voter is this member."""
        self._recover()
        member = (self.identity.member_id, self.address, True)
        data = raft_messages.encode_members((member,))
        entry = raft_messages.Entry(1, 1, raft.CONFIG, data)
        self.raft = self.raft._replace(term=1, log=(entry,))
        self.storage.persist(self.persisted, self.raft)

    def receive(self, data: bytes, address: str = ""):
        """Take a message from the transport.

        Parameters
        ----------
        data : bytes
        address : str
            Where the sender listens, if the transport tells. A new member
            knows the others only by that.
        """
        try:
            decoded = raft_messages.decode_envelope(data)
        except (raft_messages.msgspec.MsgspecError, KeyError):
            LOGGER.warning("replication message not understood")
            return
        group, sender, message = decoded
        if group == self.identity.group:
            if address:
                self.address_by_member[sender] = address
            self.inbox.append((sender, message))
            self._plan_flush()

    def propose(self, command) -> defer.Deferred:
        """Commit a command through the log.

        Returns
        -------
        Deferred
            Fires with the result of applying the command. Fails with
            NO_LEADER and not_run if it certainly is not in the log, and
            with OUTCOME_UNKNOWN if it may be.
        """
        if not self.is_leader():
            return defer.fail(self.build_no_leader())
        deferred = defer.Deferred()
        self.proposals.append(Proposal(command, deferred))
        self._plan_flush()
        return deferred

    def is_leader(self) -> bool:
        """Tell whether this member leads and no other can have replaced it."""
        if self.failed or self.raft is None:
            return False
        return raft.has_authority(self.raft, self.read_clock())

    def get_leader_vm(self) -> str:
        """Return the VM of the leader that this member follows, or ''."""
        return membership.get_vm_id(self.raft.leader_id)

    def find_leader_address(self) -> str | None:
        """Return the replication address of the leader, if one is known."""
        return self._find_address(self.raft.leader_id)

    def build_no_leader(self) -> errors.ProblemError:
        """Build the error for calls that only the leader can answer."""
        return errors.build_error(
            errors.ErrorKind.NO_LEADER, "this control VM does not lead"
        )

    def tick(self):
        """Advance timers of the log and look after membership."""
        if self.failed:
            return
        now = self.read_clock()
        was_leader = self.raft.role == "leader"
        self._advance(raft.tick(self.raft, now, self.random.random()))
        self._expire_waiting(now)
        if self.failed:
            return
        if self.raft.role == "leader":
            self._tend_members(now)
        else:
            self.joins.clear()
            if now >= self.join_due_ms:
                self.join_due_ms = now + JOIN_PERIOD_MS
                self._ask_to_join()
        if was_leader and self.raft.role != "leader":
            logs.log_decision(
                "leadership",
                role=self.raft.role,
                term=self.raft.term,
                leader=self.raft.leader_id,
            )

    def _plan_flush(self):
        if not self.flush_planned:
            self.flush_planned = True
            self.timers.call_later(0, self._flush)

    def _flush(self):
        self.flush_planned = False
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
            self._take_join(sender, message)
            return ()
        if isinstance(message, raft_messages.Install):
            return self._install(sender, message)
        now = self.read_clock()
        result = raft.step(
            self.raft, sender, message, now, self.random.random()
        )
        self._note_role_change(result.state)
        return result.outbox

    def _note_role_change(self, new):
        if new.role == "leader" and self.raft.role != "leader":
            self._announce_leadership(new)
        self.raft = new

    def _announce_leadership(self, new):
        logs.log_decision("leadership", role="leader", term=new.term)
        for listener in self.leader_listeners:
            listener()

    def _propose_batch(self):
        if not self.proposals:
            return ()
        proposals, self.proposals = self.proposals, []
        now = self.read_clock()
        data = state_module.encode_batch(p.command for p in proposals)
        result, index = raft.propose(self.raft, data, now)
        if index is None:
            for proposal in proposals:
                proposal.deferred.errback(self.build_no_leader())
            return ()
        self.raft = result.state
        self.waiting_by_index[index] = Waiting(
            self.raft.term, now + PROPOSAL_TIMEOUT_MS, tuple(proposals)
        )
        return result.outbox

    def _advance(self, result: raft.Step):
        """Make a step durable, then send its messages and apply commits."""
        self._note_role_change(result.state)
        try:
            self.storage.persist(self.persisted, self.raft)
        except storage_module.StorageError:
            self._fail()
            return
        self.persisted = self.raft
        for receiver, message in result.outbox:
            self._send(receiver, message)
        self._apply_committed()
        self._maybe_snapshot()

    def _fail(self):
        if self.failed:
            return
        self.failed = True
        LOGGER.exception("control storage failed")
        for waiting in self.waiting_by_index.values():
            _fail_unknown(waiting)
        self.waiting_by_index.clear()
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
        data = raft_messages.encode_envelope(
            self.identity.group, self.identity.member_id, message
        )
        self.send(address, data)

    def _find_address(self, member_id):
        vm_id = membership.get_vm_id(member_id)
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

    def _install(self, sender, message):
        now = self.read_clock()
        result = raft.step(
            self.raft, sender, message, now, self.random.random()
        )
        self._note_role_change(result.state)
        if result.outbox:
            return result.outbox
        mark = message.mark
        if mark.index > self.raft.commit_index:
            state = raft.adopt_snapshot(
                self.raft, mark, now, self.random.random()
            )
            parts = state_module.split_snapshot_parts(message.data)
            snapshot = storage_module.SnapshotFile(mark, parts)
            self._abandon_snapshot()
            try:
                self.storage.save_snapshot(snapshot, state)
            except storage_module.StorageError:
                self._fail()
                return ()
            self.raft = self.persisted = state
            self._load_tables(snapshot)
        reply = raft.build_install_reply(self.raft, mark, message.sent_ms)
        return ((sender, reply),)

    def _apply_committed(self):
        before = self.applied_index
        while self.applied_index < self.raft.commit_index:
            index = self.applied_index + 1
            entry = raft.get_entries(self.raft, index, index)[0]
            self.applied_index = index
            results = self._apply_entry(entry)
            self._resolve_waiting(entry, results)
        if self.applied_index > before:
            for listener in self.applied_listeners:
                listener()

    def _apply_entry(self, entry):
        if entry.kind != raft.DATA:
            return ()
        self.tables = self.tables._replace(version=entry.index)
        results = []
        touched = []
        for command in state_module.decode_batch(entry.data):
            outcome = state_module.apply_command(command, self.tables)
            self.tables = outcome.state
            results.append(outcome.result)
            touched.extend(outcome.changes)
            _log_placement(command)
        self.feed.record(entry.index, touched)
        self.placement.update(self.tables, touched)
        return results

    def _resolve_waiting(self, entry, results):
        waiting = self.waiting_by_index.pop(entry.index, None)
        if waiting is None:
            return
        if waiting.term != entry.term:
            for proposal in waiting.proposals:
                proposal.deferred.errback(self.build_no_leader())
            return
        for proposal, result in zip(waiting.proposals, results):
            proposal.deferred.callback(result)

    def _expire_waiting(self, now):
        for index, waiting in list(self.waiting_by_index.items()):
            if now > waiting.due_ms:
                del self.waiting_by_index[index]
                _fail_unknown(waiting)

    def _maybe_snapshot(self):
        """Begin a snapshot if the log has grown long."""
        if self.building is not None:
            return
        entries = self.applied_index - self.raft.snapshot_index
        large = self.storage.log_bytes > storage_module.REWRITE_BYTES
        if entries < SNAPSHOT_ENTRIES and not (large and entries > 0):
            return
        state = raft.compact(self.raft, self.applied_index)
        mark = raft_messages.SnapshotMark(
            state.snapshot_index,
            state.snapshot_term,
            tuple(tuple(m) for m in state.snapshot_members),
        )
        try:
            writer = self.storage.begin_snapshot(mark)
        except storage_module.StorageError:
            self._fail()
            return
        source = state_module.encode_snapshot_parts(self.tables)
        self.building = SnapshotBuild(writer, source, [])
        self._plan_slice()

    def _plan_slice(self):
        self.timers.call_later(0, self._build_slice, self.building)

    def _build_slice(self, build):
        """Encode and write some more rows; the log goes on meanwhile."""
        if self.failed or self.building is not build:
            return
        parts = tuple(itertools.islice(build.source, PARTS_PER_SLICE))
        try:
            if parts:
                build.writer.add(parts)
                build.parts.extend(parts)
                self._plan_slice()
            else:
                self._finish_snapshot(build)
        except storage_module.StorageError:
            self._fail()

    def _finish_snapshot(self, build):
        self.building = None
        mark = build.writer.mark
        state = raft.compact(self.raft, mark.index)
        # What was promised since the last turn is in the new log too.
        build.writer.finish(state)
        self.raft = self.persisted = state
        self.snapshot = storage_module.SnapshotFile(mark, tuple(build.parts))
        LOGGER.info("control snapshot", extra={"index": mark.index})

    def _abandon_snapshot(self):
        if self.building is not None:
            self.building.writer.abandon()
            self.building = None

    def _ask_to_join(self):
        """Ask to be a member, also if it was one and hears no leader.

        A member that was replaced while it was away still counts itself in
        and would never hear of the others again.
        """
        known = {m.member_id for m in self.raft.members}
        silent_ms = self.read_clock() - self.raft.leader_contact_ms
        if self.identity.member_id in known and silent_ms < REJOIN_AFTER_MS:
            return
        join = raft_messages.Join(self.identity.member_id, self.address)
        found = {*self.address_by_vm.values(), *self.seeds}
        found.update(m.address for m in self.raft.members)
        for address in sorted(found - {self.address}):
            self._send_join(address, join)

    def _take_join(self, sender, join):
        """Keep a request to join as the leader, else pass it to the leader.

        A new member knows only the seeds, and none of them may lead. It
        repeats its request, so nobody else keeps it. What was passed on
        isn't passed on again, so that no request goes in circles.
        """
        if self.raft.role == "leader":
            self.joins[join.member_id] = join.address
            return
        address = self.find_leader_address()
        if sender == join.member_id and address is not None:
            self._send_join(address, join)

    def _send_join(self, address, join):
        data = raft_messages.encode_envelope(
            self.identity.group, self.identity.member_id, join
        )
        self.send(address, data)

    def _tend_members(self, now):
        planned = membership.plan_promotion(self.raft, self.voters)
        if planned is None:
            planned = membership.plan_removal(
                self.raft, self.voters, now, REPLACE_AFTER_MS
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

    def _plan_next_join(self):
        while self.joins:
            member_id, address = next(iter(self.joins.items()))
            planned = membership.plan_join(
                self.raft.members, member_id, address
            )
            if planned is not None:
                return planned
            del self.joins[member_id]
        return None


def _fail_unknown(waiting: Waiting):
    for proposal in waiting.proposals:
        proposal.deferred.errback(
            errors.build_error(
                errors.ErrorKind.OUTCOME_UNKNOWN,
                "the change may or may not be accepted",
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
