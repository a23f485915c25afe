"""Raft consensus: elections, log replication, snapshots, membership.

The algorithm is Raft (Ongaro and Ousterhout, "In Search of an
Understandable Consensus Algorithm", 2014) with pre-vote, check-quorum and
single-server membership changes from Ongaro's dissertation (2014, chapters
4, 6 and 9). One rule is added, see `list_quorums`: it counts disks that are
known to be gone. This module does no I/O: functions take the state of one
member, an event and the time in monotonic milliseconds, and return the new
state and the messages to send. The caller makes the new state durable before
it sends any of the messages.

`jitter` is a random number in [0, 1) that spreads election timeouts.
"""

import itertools
import math
import typing

from chervilspindle.control import raft_messages as messages

# Chosen for one region, where a round trip takes a few ms and an fsync one
# or two: an election starts after four missed heartbeats at the earliest.
ELECTION_MIN_MS = 300.0
ELECTION_MAX_MS = 600.0
HEARTBEAT_MS = 75.0
LEASE_MARGIN_MS = 100.0
BATCH_ENTRIES = 256
INSTALL_RETRY_MS = 1000.0
# Unacknowledged entries are sent again after this time, in which a connection
# without traffic is closed. If they were sent with each heartbeat, they would
# pile up for a frozen member.
RESEND_MS = 2000.0
NEVER_MS = -math.inf
MIN_EVEN_VOTERS = 4  # two voters bear no loss

DATA = 0
CONFIG = 1
NOOP = 2


class Member(typing.NamedTuple):
    """One member of the group.

    Parameters
    ----------
    member_id : str
        ``VM_ID#DISK``: a VM with a replaced disk is a new member.
    address : str
        ``IP:PORT`` of its replication socket.
    voter : bool
        False for a learner, which receives the log but has no vote.
    """

    member_id: str
    address: str
    voter: bool


class Progress(typing.NamedTuple):
    """Replication progress of one member, as seen by the leader.

    Parameters
    ----------
    next_index : int
        Index of the next entry to send.
    match_index : int
        Last index that is known to be replicated to the member.
    acked_sent_ms : float
        Send time of the latest message that the member has acknowledged.
        All times are monotonic milliseconds of the leader.
    install_sent_ms : float
        Time when a snapshot was last sent.
    entries_sent_ms : float
        Time when entries were last sent.
    """

    next_index: int
    match_index: int
    acked_sent_ms: float
    install_sent_ms: float = -math.inf
    entries_sent_ms: float = -math.inf


class Quorum(typing.NamedTuple):
    """How many of which voters are needed for a decision."""

    voter_ids: frozenset[str]
    needed: int


class RaftState(typing.NamedTuple):
    """State of one member; `log` starts after `snapshot_index`.

    `role` is "follower", "candidate" (collects pre-votes), "campaigning"
    (collects votes) or "leader". `members` is the latest configuration in
    the log, committed or not, and `previous_voter_ids` the voters of the one
    before it, which is committed; without one, those of the latest.
    `replaced_ids` are the voters whose disks are known to be gone, from the
    election of this term. The fields in ms are readings of the monotonic
    clock.
    """

    member_id: str
    term: int
    voted_for: str
    log: tuple[messages.Entry, ...]
    snapshot_index: int
    snapshot_term: int
    snapshot_members: tuple[Member, ...]
    commit_index: int
    role: str
    leader_id: str
    members: tuple[Member, ...]
    previous_voter_ids: frozenset[str]
    votes: frozenset[str]
    replaced_ids: frozenset[str]
    progress_by_id: dict[str, Progress]
    election_due_ms: float
    heartbeat_due_ms: float
    leader_contact_ms: float
    elected_ms: float


class Step(typing.NamedTuple):
    """Result of a transition: new state, messages as (receiver, message)."""

    state: RaftState
    outbox: tuple[tuple[str, typing.NamedTuple], ...] = ()


def build_state(
    member_id: str,
    hard: messages.HardState,
    log: tuple[messages.Entry, ...],
    snapshot: messages.SnapshotMetadata,
    now: float,
    jitter: float,
) -> RaftState:
    """Build the state of a member that has just started.

    The time of the last leader contact is set to `now`, so that the member
    grants no vote within the minimum election timeout after a restart.
    """
    state = RaftState(
        member_id=member_id,
        term=hard.term,
        voted_for=hard.voted_for,
        log=log,
        snapshot_index=snapshot.index,
        snapshot_term=snapshot.term,
        snapshot_members=_decode_members(snapshot.members),
        commit_index=snapshot.index,
        role="follower",
        leader_id="",
        members=(),
        previous_voter_ids=frozenset(),
        votes=frozenset(),
        replaced_ids=frozenset(),
        progress_by_id={},
        election_due_ms=0.0,
        heartbeat_due_ms=0.0,
        leader_contact_ms=now,
        elected_ms=0.0,
    )
    return _reset_election(_read_members(state), now, jitter)


def get_vm_id(member_id: str) -> str:
    """Return the VM id that a member id ``VM_ID#DISK`` starts with."""
    return member_id.split("#", 1)[0]


def get_last_index(state: RaftState) -> int:
    """Return the index of the last entry of the log."""
    return state.snapshot_index + len(state.log)


def get_term_at(state: RaftState, index: int) -> int | None:
    """Return the term of an entry, None if it is not in the log."""
    if index == state.snapshot_index:
        return state.snapshot_term
    offset = index - state.snapshot_index - 1
    if 0 <= offset < len(state.log):
        return state.log[offset].term
    return None


def get_entries(state: RaftState, first: int, last: int):
    """Return entries first..last, both included."""
    base = state.snapshot_index + 1
    return state.log[max(0, first - base) : max(0, last - base + 1)]


def find_members(state: RaftState) -> tuple[Member, ...]:
    """Return the latest configuration in the log, committed or not."""
    return next(_iterate_configs(state))


def find_members_at(state: RaftState, index: int) -> tuple[Member, ...]:
    """Return the configuration as of an index of the log."""
    for entry in reversed(get_entries(state, 0, index)):
        if entry.kind == CONFIG:
            return _decode_members(messages.decode_members(entry.data))
    return state.snapshot_members


def list_voters(state: RaftState) -> tuple[str, ...]:
    """Return the ids of the configured voters."""
    return tuple(m.member_id for m in state.members if m.voter)


def is_voter(state: RaftState) -> bool:
    """Tell whether this member has a vote."""
    return state.member_id in list_voters(state)


def is_latest_config_committed(state: RaftState) -> bool:
    """Tell whether this member knows its latest configuration as committed."""
    uncommitted = get_entries(state, state.commit_index + 1, 1 << 62)
    return not any(entry.kind == CONFIG for entry in uncommitted)


def list_quorums(state: RaftState) -> tuple[Quorum, ...]:
    """Return the quorums that a leader and an entry need, all of them.

    This is a strict majority, unless the number of voters is even and, of
    2 k voters, the disks of k - 1 or more are known to be gone: then k of the
    others. Any two of these quorums have a voter in common whose disk is
    there, as long as no other disks are lost. An odd number of voters gains
    nothing by the rule.

    Until the voters are known to be committed, a majority of those before
    them is needed too, which another candidate may still go by.
    """
    voter_ids = frozenset(list_voters(state))
    count = len(voter_ids)
    replaced = state.replaced_ids & voter_ids
    if (
        not replaced
        or count < MIN_EVEN_VOTERS
        or count % 2 == 1
        or len(replaced) < count // 2 - 1
    ):
        return (_build_majority(voter_ids),)
    quorums = (Quorum(voter_ids - replaced, count // 2),)
    if not (has_settled_voters(state) or is_latest_config_committed(state)):
        quorums += (_build_majority(state.previous_voter_ids),)
    return quorums


def has_settled_voters(state: RaftState) -> bool:
    """Tell whether the log itself shows that its voters are committed."""
    return state.previous_voter_ids == frozenset(list_voters(state))


def has_quorum(state: RaftState, ids) -> bool:
    """Tell whether `ids` contain a quorum of the voters."""
    return all(
        len(quorum.voter_ids.intersection(ids)) >= quorum.needed
        for quorum in list_quorums(state)
    )


def _find_acknowledged(state, value_by_voter, default):
    """Return the highest value that a quorum has reached.

    Parameters
    ----------
    state : RaftState
    value_by_voter : dict of str to int or float
    default : int or float
        Of voters without a value.
    """
    reached = []
    for quorum in list_quorums(state):
        values = [value_by_voter.get(v, default) for v in quorum.voter_ids]
        values.sort(reverse=True)
        reached.append(values[quorum.needed - 1] if values else default)
    return min(reached)


def _build_majority(voter_ids):
    return Quorum(voter_ids, len(voter_ids) // 2 + 1)


def compute_quorum_ack_time(state: RaftState, now: float) -> float:
    """Return the latest send time that a quorum has acknowledged.

    The leader itself counts with `now`. A leader lease that ends the minimum
    election timeout after this time can't overlap with that of another
    leader, because each member of the quorum refuses to vote until then.
    """
    time_by_voter = {
        other: progress.acked_sent_ms
        for other, progress in state.progress_by_id.items()
    }
    time_by_voter[state.member_id] = now
    return _find_acknowledged(state, time_by_voter, NEVER_MS)


def has_leader_lease(state: RaftState, now: float) -> bool:
    """Tell whether this member is the leader and holds a valid lease.

    While it does, no other member can have been elected. The lease requires
    a committed entry of the leader's own term.
    """
    if state.role != "leader":
        return False
    if get_term_at(state, state.commit_index) != state.term:
        return False
    acked_ms = compute_quorum_ack_time(state, now)
    return now < acked_ms + ELECTION_MIN_MS - LEASE_MARGIN_MS


def tick(state: RaftState, now: float, jitter: float) -> Step:
    """Handle timers: start an election, send heartbeats or step down."""
    if state.role == "leader":
        return _tick_leader(state, now, jitter)
    if now < state.election_due_ms or not _may_campaign(state):
        return Step(state)
    return _start_pre_vote(state, now, jitter)


def propose(state: RaftState, data: bytes, now: float):
    """Append a data entry on the leader.

    Returns
    -------
    Step, int or None
        The index of the entry, None if this member is not the leader.
    """
    if state.role != "leader":
        return Step(state), None
    return _append_entry(state, DATA, data, now)


def propose_members(state: RaftState, members: tuple[Member, ...], now: float):
    """Append a new configuration that differs in one member.

    Rejected while an earlier configuration is not committed, and before this
    leader has committed an entry of its own term.

    Returns
    -------
    Step, int or None
        The index of the entry, None if rejected.
    """
    if state.role != "leader":
        return Step(state), None
    if get_term_at(state, state.commit_index) != state.term:
        return Step(state), None
    if not is_latest_config_committed(state):
        return Step(state), None
    if len(set(members) ^ set(state.members)) > 2:
        return Step(state), None
    changed = set(list_voters(state)) ^ {
        m.member_id for m in members if m.voter
    }
    if len(changed) > 1:
        return Step(state), None
    data = messages.encode_members(tuple(tuple(m) for m in members))
    return _append_entry(state, CONFIG, data, now)


def step(state: RaftState, sender: str, message, now: float, jitter: float):
    """Handle one message from another member.

    Returns
    -------
    Step
    """
    term = getattr(message, "term", 0)
    if isinstance(message, messages.PreVote):
        return _handle_pre_vote(state, sender, message, now)
    if isinstance(message, messages.PreVoteReply):
        return _handle_pre_vote_reply(state, sender, message, now, jitter)
    if isinstance(message, messages.RequestVote):
        if _has_leader_contact(state, now):
            return Step(state)
    if term > state.term:
        state = _become_follower(state, term, "", now, jitter)
    handler = _HANDLER_BY_TYPE[type(message)]
    return handler(state, sender, message, now, jitter)


def compact(state: RaftState, index: int) -> RaftState:
    """Remove the log up to `index`, which a durable snapshot covers."""
    if index <= state.snapshot_index or index > state.commit_index:
        return state
    state = state._replace(
        snapshot_members=find_members_at(state, index),
        snapshot_term=get_term_at(state, index),
        log=get_entries(state, index + 1, 1 << 62),
        snapshot_index=index,
    )
    return _read_members(state)


def install_snapshot(
    state: RaftState,
    metadata: messages.SnapshotMetadata,
    now: float,
    jitter: float,
) -> RaftState:
    """Replace the log by a snapshot that the leader sent.

    Entries after the snapshot are kept if the log contains its last entry.
    """
    if metadata.index <= state.commit_index:
        return state
    kept = ()
    if get_term_at(state, metadata.index) == metadata.term:
        kept = get_entries(state, metadata.index + 1, 1 << 62)
    state = state._replace(
        log=kept,
        snapshot_index=metadata.index,
        snapshot_term=metadata.term,
        snapshot_members=_decode_members(metadata.members),
        commit_index=metadata.index,
    )
    return _reset_election(_read_members(state), now, jitter)


def build_install_reply(state: RaftState, metadata, sent_ms: float):
    """Build the acknowledgement of an installed snapshot."""
    return messages.AppendReply(
        state.term, True, max(metadata.index, state.commit_index), 0, sent_ms
    )


def _iterate_configs(state: RaftState):
    """Yield the configurations of log and snapshot, latest first."""
    for entry in reversed(state.log):
        if entry.kind == CONFIG:
            yield _decode_members(messages.decode_members(entry.data))
    yield state.snapshot_members


def _read_members(state: RaftState) -> RaftState:
    """Set the fields that follow from the configurations.

    A configuration is proposed only once the one before it is committed.
    """
    configs = tuple(itertools.islice(_iterate_configs(state), 2))
    previous = frozenset(m.member_id for m in configs[-1] if m.voter)
    return state._replace(members=configs[0], previous_voter_ids=previous)


def _decode_members(rows) -> tuple[Member, ...]:
    return tuple(Member(*row) for row in rows)


def _reset_election(state: RaftState, now: float, jitter: float):
    spread_ms = (ELECTION_MAX_MS - ELECTION_MIN_MS) * jitter
    return state._replace(election_due_ms=now + ELECTION_MIN_MS + spread_ms)


def _has_leader_contact(state: RaftState, now: float) -> bool:
    if state.role == "leader":
        return True
    return now < state.leader_contact_ms + ELECTION_MIN_MS


def _become_follower(state, term, leader_id, now, jitter):
    if term > state.term:
        state = state._replace(term=term, voted_for="")
    state = state._replace(
        role="follower",
        leader_id=leader_id,
        votes=frozenset(),
        replaced_ids=frozenset(),
        progress_by_id={},
    )
    return _reset_election(state, now, jitter)


def _may_campaign(state: RaftState) -> bool:
    """Tell whether this member may start an election.

    One that a configuration removes may be the only one that holds it, or
    entries before it. The others then need its log until that configuration
    is committed (section 4.2.2 of the dissertation).
    """
    if is_voter(state):
        return True
    if is_latest_config_committed(state):
        return False
    return any(
        member.voter and member.member_id == state.member_id
        for members in _iterate_configs(state)
        for member in members
    )


def _list_others(state: RaftState) -> tuple[str, ...]:
    return tuple(
        m.member_id for m in state.members if m.member_id != state.member_id
    )


def _start_pre_vote(state, now, jitter) -> Step:
    state = _reset_election(state, now, jitter)._replace(
        role="candidate",
        leader_id="",
        votes=frozenset({state.member_id}),
        replaced_ids=frozenset(),
    )
    if has_quorum(state, state.votes):
        return _start_election(state, now, jitter)
    last = get_last_index(state)
    request = messages.PreVote(state.term + 1, last, get_term_at(state, last))
    voters = list_voters(state)
    others = tuple(v for v in voters if v != state.member_id)
    return Step(state, tuple((other, request) for other in others))


def _start_election(state, now, jitter) -> Step:
    state = _reset_election(state, now, jitter)._replace(
        term=state.term + 1,
        voted_for=state.member_id,
        role="campaigning",
        votes=frozenset({state.member_id}),
        replaced_ids=frozenset(),
    )
    if has_quorum(state, state.votes):
        return _become_leader(state, now)
    last = get_last_index(state)
    request = messages.RequestVote(state.term, last, get_term_at(state, last))
    voters = list_voters(state)
    others = tuple(v for v in voters if v != state.member_id)
    return Step(state, tuple((other, request) for other in others))


def _become_leader(state, now) -> Step:
    last = get_last_index(state)
    progress = {
        other: Progress(last + 1, 0, NEVER_MS) for other in _list_others(state)
    }
    state = state._replace(
        role="leader",
        leader_id=state.member_id,
        progress_by_id=progress,
        elected_ms=now,
        heartbeat_due_ms=now,
    )
    return _append_entry(state, NOOP, b"", now)[0]


def _tick_leader(state, now, jitter) -> Step:
    acked_ms = compute_quorum_ack_time(state, now)
    contact_ms = max(acked_ms, state.elected_ms)
    # A leader that a configuration removes leads until it is committed.
    removed = not is_voter(state) and is_latest_config_committed(state)
    # Check-quorum: a leader without contact to a majority steps down.
    if now > contact_ms + ELECTION_MIN_MS or removed:
        return Step(_become_follower(state, state.term, "", now, jitter))
    if now < state.heartbeat_due_ms:
        return Step(state)
    state = state._replace(heartbeat_due_ms=now + HEARTBEAT_MS)
    return _broadcast(state, now)


def _append_entry(state, kind, data, now):
    index = get_last_index(state) + 1
    entry = messages.Entry(index, state.term, kind, data)
    state = state._replace(log=state.log + (entry,))
    if kind == CONFIG:
        state = _update_members(state)
    state = _advance_commit(state)
    result = _broadcast(state, now)
    return result, index


def _update_members(state):
    state = _read_members(state)
    if state.role != "leader":
        return state
    last = get_last_index(state)
    progress = {
        other: state.progress_by_id.get(other, Progress(last + 1, 0, NEVER_MS))
        for other in _list_others(state)
    }
    return state._replace(progress_by_id=progress)


def _broadcast(state, now) -> Step:
    outbox = []
    for other in state.progress_by_id:
        state, message = _build_append(state, other, now)
        if message is not None:
            outbox.append((other, message))
    return Step(state, tuple(outbox))


def _build_append(state, other, now):
    progress = state.progress_by_id[other]
    previous = progress.next_index - 1
    previous_term = get_term_at(state, previous)
    if previous_term is None:
        return _build_install(state, other, now)
    is_replicating = progress.match_index == previous
    entries = ()
    if is_replicating or now >= progress.entries_sent_ms + RESEND_MS:
        entries = get_entries(
            state, progress.next_index, progress.next_index + BATCH_ENTRIES - 1
        )
    message = messages.Append(
        state.term, previous, previous_term, entries, state.commit_index, now
    )
    if entries:
        state = _set_progress(state, other, entries_sent_ms=now)
    if entries and is_replicating:
        # Pipelining: the next batch is sent without waiting for the reply.
        state = _set_progress(state, other, next_index=entries[-1].index + 1)
    return state, message


def _build_install(state, other, now):
    progress = state.progress_by_id[other]
    if now < progress.install_sent_ms + INSTALL_RETRY_MS:
        # Heartbeats prevent an election by the member while the snapshot is
        # in transit.
        heartbeat = messages.Append(
            state.term, 1 << 62, 0, (), state.commit_index, now
        )
        return state, heartbeat
    state = _set_progress(state, other, install_sent_ms=now)
    # The caller sets the metadata and the bytes of its durable snapshot.
    metadata = messages.SnapshotMetadata(0, 0, ())
    return state, messages.Install(state.term, metadata, b"", now)


def _set_progress(state, other, **fields):
    progress = dict(state.progress_by_id)
    progress[other] = progress[other]._replace(**fields)
    return state._replace(progress_by_id=progress)


def _advance_commit(state):
    if state.role != "leader":
        return state
    match_by_voter = {
        other: progress.match_index
        for other, progress in state.progress_by_id.items()
    }
    match_by_voter[state.member_id] = get_last_index(state)
    index = _find_acknowledged(state, match_by_voter, 0)
    if index <= state.commit_index:
        return state
    # Only entries of the leader's own term are committed by counting replicas
    # (section 5.4.2 of the Raft paper).
    if get_term_at(state, index) != state.term:
        return state
    return state._replace(commit_index=index)


def _is_up_to_date(state, last_index, last_term) -> bool:
    own_last = get_last_index(state)
    own = (get_term_at(state, own_last), own_last)
    return (last_term, last_index) >= own


def _handle_pre_vote(state, sender, message, now) -> Step:
    # Votes are granted whatever the own configuration says: a candidate may
    # know a later one, in which this member has a vote, and counts only those.
    granted = (
        message.term > state.term
        and not _has_leader_contact(state, now)
        and _is_up_to_date(state, message.last_index, message.last_term)
    )
    reply = messages.PreVoteReply(message.term, granted, state.term)
    return Step(state, ((sender, reply),))


def _handle_pre_vote_reply(state, sender, message, now, jitter) -> Step:
    if message.own_term > state.term:
        state = _become_follower(state, message.own_term, "", now, jitter)
        return Step(state)
    if state.role != "candidate" or message.term != state.term + 1:
        return Step(state)
    state = _record_vote(state, sender, message.granted)
    if has_quorum(state, state.votes):
        return _start_election(state, now, jitter)
    return Step(state)


def _handle_request_vote(state, sender, message, now, jitter) -> Step:
    granted = (
        message.term == state.term
        and state.voted_for in ("", sender)
        and _is_up_to_date(state, message.last_index, message.last_term)
    )
    if granted:
        state = state._replace(voted_for=sender)
        state = _reset_election(state, now, jitter)
    reply = messages.VoteReply(state.term, granted)
    return Step(state, ((sender, reply),))


def _handle_vote_reply(state, sender, message, now, jitter) -> Step:
    if state.role != "campaigning" or message.term != state.term:
        return Step(state)
    state = _record_vote(state, sender, message.granted)
    if has_quorum(state, state.votes):
        return _become_leader(state, now)
    return Step(state)


def _record_vote(state, sender, granted):
    """Record a reply to a request of this election.

    It comes from the address of a voter. Under another id of the same VM it
    shows that the disk of the voter has been replaced: the reply was sent
    after the configuration with the voter was known, and a VM has one disk at
    a time. That holds for the term of a vote, which is unique, but a pre-vote
    may repeat its term, so its replies are not kept for the election.
    """
    vm_id = get_vm_id(sender)
    replaced = {
        voter
        for voter in list_voters(state)
        if voter != sender and get_vm_id(voter) == vm_id
    }
    state = state._replace(replaced_ids=state.replaced_ids | replaced)
    if granted:
        state = state._replace(votes=state.votes | {sender})
    return state


def _follow_leader(state, sender, now, jitter):
    state = state._replace(
        role="follower",
        leader_id=sender,
        leader_contact_ms=now,
        votes=frozenset(),
        replaced_ids=frozenset(),
        progress_by_id={},
    )
    return _reset_election(state, now, jitter)


def _handle_append(state, sender, message, now, jitter) -> Step:
    if message.term < state.term:
        reply = messages.AppendReply(state.term, False, 0, 0, message.sent_ms)
        return Step(state, ((sender, reply),))
    state = _follow_leader(state, sender, now, jitter)
    previous = message.previous_index
    if previous < state.snapshot_index:
        # The snapshot of this member covers the start of the batch.
        kept = tuple(
            e for e in message.entries if e.index > state.snapshot_index
        )
        message = message._replace(
            previous_index=state.snapshot_index,
            previous_term=state.snapshot_term,
            entries=kept,
        )
        previous = state.snapshot_index
    if get_term_at(state, previous) != message.previous_term:
        hint = min(get_last_index(state), max(0, previous - 1))
        hint = max(hint, state.commit_index)
        reply = messages.AppendReply(
            state.term, False, 0, hint, message.sent_ms
        )
        return Step(state, ((sender, reply),))
    state = _merge_entries(state, message.entries)
    match = previous + len(message.entries)
    commit = min(message.commit_index, match)
    if commit > state.commit_index:
        state = state._replace(commit_index=commit)
    reply = messages.AppendReply(state.term, True, match, 0, message.sent_ms)
    return Step(state, ((sender, reply),))


def _merge_entries(state, entries):
    for position, entry in enumerate(entries):
        existing_term = get_term_at(state, entry.index)
        if existing_term == entry.term:
            continue
        kept = get_entries(state, 0, entry.index - 1)
        state = state._replace(log=kept + tuple(entries[position:]))
        return _update_members(state)
    return state


def _handle_append_reply(state, sender, message, now, jitter) -> Step:
    if state.role != "leader" or message.term != state.term:
        return Step(state)
    progress = state.progress_by_id.get(sender)
    if progress is None:
        return Step(state)
    acked = max(progress.acked_sent_ms, message.sent_ms)
    if not message.success:
        last = get_last_index(state)
        next_index = max(
            progress.match_index + 1, min(message.hint_index, last) + 1
        )
        state = _set_progress(
            state, sender, next_index=next_index, acked_sent_ms=acked
        )
        if next_index == progress.next_index:
            # A rejection without new information is not answered, or
            # duplicated messages would multiply.
            return Step(state)
        state, append = _build_append(state, sender, now)
        return Step(state, ((sender, append),))
    match = max(progress.match_index, message.match_index)
    state = _set_progress(
        state,
        sender,
        match_index=match,
        next_index=max(progress.next_index, match + 1),
        acked_sent_ms=acked,
    )
    committed = state.commit_index
    state = _advance_commit(state)
    if state.commit_index > committed:
        return _broadcast(state, now)
    if state.progress_by_id[sender].next_index <= get_last_index(state):
        state, append = _build_append(state, sender, now)
        return Step(state, ((sender, append),))
    return Step(state)


def _handle_install(state, sender, message, now, jitter) -> Step:
    # The caller stores the snapshot and then calls install_snapshot.
    if message.term < state.term:
        reply = messages.AppendReply(state.term, False, 0, 0, message.sent_ms)
        return Step(state, ((sender, reply),))
    return Step(_follow_leader(state, sender, now, jitter))


_HANDLER_BY_TYPE = {
    messages.RequestVote: _handle_request_vote,
    messages.VoteReply: _handle_vote_reply,
    messages.Append: _handle_append,
    messages.AppendReply: _handle_append_reply,
    messages.Install: _handle_install,
}
