"""Replicated log: elections, replication, snapshots, membership.

The algorithm is Raft (Ongaro and Ousterhout, "In Search of an
Understandable Consensus Algorithm", 2014) with pre-vote, check-quorum and
single-server membership changes from Ongaro's dissertation (2014, chapters
4, 6 and 9). This module is pure: functions take the state of one member, an
event and a time in milliseconds, and return the new state and messages. The
caller makes the new state durable before it sends any of the messages.
"""

import math
import typing

from chervilspindle.control import raft_messages as messages

# Times within one region, where round trips take a few ms and a sync of the
# disk one or two: a leader is missed after four heartbeats.
ELECTION_MIN_MS = 300.0
ELECTION_MAX_MS = 600.0
HEARTBEAT_MS = 75.0
QUORUM_MARGIN_MS = 100.0
BATCH_ENTRIES = 256
INSTALL_RETRY_MS = 1000.0
# Entries without acknowledgement go out again after this, the time in which a
# silent link is closed. Sent with each heartbeat, they would pile up for a
# member that is frozen.
RESEND_MS = 2000.0
NEVER_MS = -math.inf

DATA = 0
CONFIG = 1
NOOP = 2


class Member(typing.NamedTuple):
    """One member of the group.

    Parameters
    ----------
    member_id : str
        ``VM_ID#DISK``: a replaced disk makes a new member.
    address : str
        ``IP:PORT`` of its replication socket.
    voter : bool
        False for a learner, which replicates but has no vote.
    """

    member_id: str
    address: str
    voter: bool


class Progress(typing.NamedTuple):
    """What the leader knows about one member."""

    next_index: int
    match_index: int
    acked_sent_ms: float
    install_sent_ms: float = -math.inf
    entries_sent_ms: float = -math.inf


class RaftState(typing.NamedTuple):
    """Whole state of one member; `log` starts after `snapshot_index`."""

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
    votes: frozenset[str]
    progress_by_id: dict[str, Progress]
    election_due_ms: float
    heartbeat_due_ms: float
    leader_contact_ms: float
    elected_ms: float


class Step(typing.NamedTuple):
    """Result of a transition: new state and messages as (to, message)."""

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

    A fresh member counts as having heard a leader now, so that it grants no
    vote within the minimum election time after a restart.
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
        votes=frozenset(),
        progress_by_id={},
        election_due_ms=0.0,
        heartbeat_due_ms=0.0,
        leader_contact_ms=now,
        elected_ms=0.0,
    )
    state = state._replace(members=find_members(state))
    return _reset_election(state, now, jitter)


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
    for entry in reversed(state.log):
        if entry.kind == CONFIG:
            return _decode_members(messages.decode_members(entry.data))
    return state.snapshot_members


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


def has_majority(state: RaftState, ids) -> bool:
    """Tell whether `ids` hold a strict majority of configured voters."""
    voters = list_voters(state)
    granted = sum(1 for voter in voters if voter in ids)
    return granted * 2 > len(voters)


def compute_quorum_contact(state: RaftState, now: float) -> float:
    """Return the latest send time that a majority has acknowledged.

    The leader counts itself at `now`. Authority that ends the minimum
    election time after this moment can't overlap with another leader's,
    because each of that majority refuses to vote for as long.
    """
    times = []
    for voter in list_voters(state):
        progress = state.progress_by_id.get(voter)
        if voter == state.member_id:
            times.append(now)
        elif progress is not None:
            times.append(progress.acked_sent_ms)
        else:
            times.append(NEVER_MS)
    times.sort(reverse=True)
    return times[len(times) // 2] if times else NEVER_MS


def has_authority(state: RaftState, now: float) -> bool:
    """Tell whether this member is a leader that no other can have replaced."""
    if state.role != "leader":
        return False
    if get_term_at(state, state.commit_index) != state.term:
        return False
    contact = compute_quorum_contact(state, now)
    return now < contact + ELECTION_MIN_MS - QUORUM_MARGIN_MS


def tick(state: RaftState, now: float, jitter: float) -> Step:
    """Advance timers: start elections, send heartbeats, stand down."""
    if state.role == "leader":
        return _tick_leader(state, now, jitter)
    if now < state.election_due_ms or not is_voter(state):
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
    return _append_own(state, DATA, data, now)


def propose_members(state: RaftState, members: tuple[Member, ...], now: float):
    """Append a new configuration that differs in one member.

    Refused (None for the index) while an earlier configuration is not
    committed, or before this leader committed an entry of its own term.
    """
    if state.role != "leader":
        return Step(state), None
    if get_term_at(state, state.commit_index) != state.term:
        return Step(state), None
    for entry in get_entries(state, state.commit_index + 1, 1 << 62):
        if entry.kind == CONFIG:
            return Step(state), None
    if len(set(members) ^ set(state.members)) > 2:
        return Step(state), None
    changed = set(list_voters(state)) ^ {
        m.member_id for m in members if m.voter
    }
    if len(changed) > 1:
        return Step(state), None
    data = messages.encode_members(tuple(tuple(m) for m in members))
    return _append_own(state, CONFIG, data, now)


def step(state: RaftState, sender: str, message, now: float, jitter: float):
    """Handle one message from another member.

    Returns
    -------
    Step
    """
    term = getattr(message, "term", 0)
    if isinstance(message, messages.PreVote):
        return _on_pre_vote(state, sender, message, now)
    if isinstance(message, messages.PreVoteReply):
        return _on_pre_vote_reply(state, sender, message, now, jitter)
    if isinstance(message, messages.RequestVote):
        if _hears_leader(state, now):
            return Step(state)
    if term > state.term:
        state = _become_follower(state, term, "", now, jitter)
    handler = _HANDLER_BY_TYPE[type(message)]
    return handler(state, sender, message, now, jitter)


def compact(state: RaftState, index: int) -> RaftState:
    """Drop the log up to `index`, which a durable snapshot now covers."""
    if index <= state.snapshot_index or index > state.commit_index:
        return state
    return state._replace(
        snapshot_members=find_members_at(state, index),
        snapshot_term=get_term_at(state, index),
        log=get_entries(state, index + 1, 1 << 62),
        snapshot_index=index,
    )


def adopt_snapshot(
    state: RaftState,
    mark: messages.SnapshotMetadata,
    now: float,
    jitter: float,
) -> RaftState:
    """Replace the log by a snapshot that the leader sent."""
    if mark.index <= state.commit_index:
        return state
    keep = ()
    if get_term_at(state, mark.index) == mark.term:
        keep = get_entries(state, mark.index + 1, 1 << 62)
    state = state._replace(
        log=keep,
        snapshot_index=mark.index,
        snapshot_term=mark.term,
        snapshot_members=_decode_members(mark.members),
        commit_index=mark.index,
    )
    state = state._replace(members=find_members(state))
    return _reset_election(state, now, jitter)


def build_install_reply(state: RaftState, mark, sent_ms: float):
    """Build the acknowledgement of an installed snapshot."""
    return messages.AppendReply(
        state.term, True, max(mark.index, state.commit_index), 0, sent_ms
    )


def _decode_members(rows) -> tuple[Member, ...]:
    return tuple(Member(*row) for row in rows)


def _reset_election(state: RaftState, now: float, jitter: float):
    spread = (ELECTION_MAX_MS - ELECTION_MIN_MS) * jitter
    return state._replace(election_due_ms=now + ELECTION_MIN_MS + spread)


def _hears_leader(state: RaftState, now: float) -> bool:
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
        progress_by_id={},
    )
    return _reset_election(state, now, jitter)


def _list_others(state: RaftState) -> tuple[str, ...]:
    return tuple(
        m.member_id for m in state.members if m.member_id != state.member_id
    )


def _start_pre_vote(state, now, jitter) -> Step:
    state = _reset_election(state, now, jitter)._replace(
        role="candidate", leader_id="", votes=frozenset({state.member_id})
    )
    if has_majority(state, state.votes):
        return _start_election(state, now, jitter)
    last = get_last_index(state)
    ask = messages.PreVote(state.term + 1, last, get_term_at(state, last))
    voters = list_voters(state)
    others = tuple(v for v in voters if v != state.member_id)
    return Step(state, tuple((other, ask) for other in others))


def _start_election(state, now, jitter) -> Step:
    state = _reset_election(state, now, jitter)._replace(
        term=state.term + 1,
        voted_for=state.member_id,
        role="campaigning",
        votes=frozenset({state.member_id}),
    )
    if has_majority(state, state.votes):
        return _become_leader(state, now)
    last = get_last_index(state)
    ask = messages.RequestVote(state.term, last, get_term_at(state, last))
    voters = list_voters(state)
    others = tuple(v for v in voters if v != state.member_id)
    return Step(state, tuple((other, ask) for other in others))


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
    return _append_own(state, NOOP, b"", now)[0]


def _tick_leader(state, now, jitter) -> Step:
    contact = compute_quorum_contact(state, now)
    started = max(contact, state.elected_ms)
    if now > started + ELECTION_MIN_MS or not is_voter(state):
        return Step(_become_follower(state, state.term, "", now, jitter))
    if now < state.heartbeat_due_ms:
        return Step(state)
    state = state._replace(heartbeat_due_ms=now + HEARTBEAT_MS)
    return _broadcast(state, now)


def _append_own(state, kind, data, now):
    index = get_last_index(state) + 1
    entry = messages.Entry(index, state.term, kind, data)
    state = state._replace(log=state.log + (entry,))
    if kind == CONFIG:
        state = _adopt_members(state)
    state = _advance_commit(state)
    step_ = _broadcast(state, now)
    return step_, index


def _adopt_members(state):
    members = find_members(state)
    state = state._replace(members=members)
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
    in_step = progress.match_index == previous
    entries = ()
    if in_step or now >= progress.entries_sent_ms + RESEND_MS:
        entries = get_entries(
            state, progress.next_index, progress.next_index + BATCH_ENTRIES - 1
        )
    message = messages.Append(
        state.term, previous, previous_term, entries, state.commit_index, now
    )
    if entries:
        state = _set_progress(state, other, entries_sent_ms=now)
    if entries and in_step:
        # The member follows in step, so the next batch goes out unasked.
        state = _set_progress(state, other, next_index=entries[-1].index + 1)
    return state, message


def _build_install(state, other, now):
    progress = state.progress_by_id[other]
    if now < progress.install_sent_ms + INSTALL_RETRY_MS:
        # A heartbeat keeps the member quiet while the snapshot travels.
        beat = messages.Append(
            state.term, 1 << 62, 0, (), state.commit_index, now
        )
        return state, beat
    state = _set_progress(state, other, install_sent_ms=now)
    # The caller fills in the mark and the bytes of its durable snapshot.
    mark = messages.SnapshotMetadata(0, 0, ())
    return state, messages.Install(state.term, mark, b"", now)


def _set_progress(state, other, **fields):
    progress = dict(state.progress_by_id)
    progress[other] = progress[other]._replace(**fields)
    return state._replace(progress_by_id=progress)


def _advance_commit(state):
    if state.role != "leader":
        return state
    matches = []
    for voter in list_voters(state):
        if voter == state.member_id:
            matches.append(get_last_index(state))
        elif voter in state.progress_by_id:
            matches.append(state.progress_by_id[voter].match_index)
        else:
            matches.append(0)
    matches.sort(reverse=True)
    index = matches[len(matches) // 2] if matches else 0
    if index <= state.commit_index:
        return state
    # Only entries of the own term commit by counting (section 5.4.2).
    if get_term_at(state, index) != state.term:
        return state
    return state._replace(commit_index=index)


def _is_up_to_date(state, last_index, last_term) -> bool:
    own_last = get_last_index(state)
    own = (get_term_at(state, own_last), own_last)
    return (last_term, last_index) >= own


def _on_pre_vote(state, sender, message, now) -> Step:
    granted = (
        message.term > state.term
        and not _hears_leader(state, now)
        and is_voter(state)
        and _is_up_to_date(state, message.last_index, message.last_term)
    )
    reply = messages.PreVoteReply(message.term, granted, state.term)
    return Step(state, ((sender, reply),))


def _on_pre_vote_reply(state, sender, message, now, jitter) -> Step:
    if message.own_term > state.term:
        state = _become_follower(state, message.own_term, "", now, jitter)
        return Step(state)
    if state.role != "candidate" or message.term != state.term + 1:
        return Step(state)
    if not message.granted:
        return Step(state)
    state = state._replace(votes=state.votes | {sender})
    if has_majority(state, state.votes):
        return _start_election(state, now, jitter)
    return Step(state)


def _on_request_vote(state, sender, message, now, jitter) -> Step:
    granted = (
        message.term == state.term
        and state.voted_for in ("", sender)
        and is_voter(state)
        and _is_up_to_date(state, message.last_index, message.last_term)
    )
    if granted:
        state = state._replace(voted_for=sender)
        state = _reset_election(state, now, jitter)
    reply = messages.VoteReply(state.term, granted)
    return Step(state, ((sender, reply),))


def _on_vote_reply(state, sender, message, now, jitter) -> Step:
    if state.role != "campaigning" or message.term != state.term:
        return Step(state)
    if not message.granted:
        return Step(state)
    state = state._replace(votes=state.votes | {sender})
    if has_majority(state, state.votes):
        return _become_leader(state, now)
    return Step(state)


def _follow(state, sender, now, jitter):
    state = state._replace(
        role="follower",
        leader_id=sender,
        leader_contact_ms=now,
        votes=frozenset(),
        progress_by_id={},
    )
    return _reset_election(state, now, jitter)


def _on_append(state, sender, message, now, jitter) -> Step:
    if message.term < state.term:
        reply = messages.AppendReply(state.term, False, 0, 0, message.sent_ms)
        return Step(state, ((sender, reply),))
    state = _follow(state, sender, now, jitter)
    previous = message.previous_index
    if previous < state.snapshot_index:
        # The snapshot covers the start of the batch.
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
        known = get_term_at(state, entry.index)
        if known == entry.term:
            continue
        kept = get_entries(state, 0, entry.index - 1)
        state = state._replace(log=kept + tuple(entries[position:]))
        return _adopt_members(state)
    return state


def _on_append_reply(state, sender, message, now, jitter) -> Step:
    if state.role != "leader" or message.term != state.term:
        return Step(state)
    progress = state.progress_by_id.get(sender)
    if progress is None:
        return Step(state)
    acked = max(progress.acked_sent_ms, message.sent_ms)
    if not message.success:
        last = get_last_index(state)
        following = max(
            progress.match_index + 1, min(message.hint_index, last) + 1
        )
        state = _set_progress(
            state, sender, next_index=following, acked_sent_ms=acked
        )
        if following == progress.next_index:
            # Answering a refusal that tells nothing new would let doubled
            # messages multiply.
            return Step(state)
        state, resend = _build_append(state, sender, now)
        return Step(state, ((sender, resend),))
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
        state, more = _build_append(state, sender, now)
        return Step(state, ((sender, more),))
    return Step(state)


def _on_install(state, sender, message, now, jitter) -> Step:
    # The caller stores the bytes and then calls adopt_snapshot.
    if message.term < state.term:
        reply = messages.AppendReply(state.term, False, 0, 0, message.sent_ms)
        return Step(state, ((sender, reply),))
    return Step(_follow(state, sender, now, jitter))


_HANDLER_BY_TYPE = {
    messages.RequestVote: _on_request_vote,
    messages.VoteReply: _on_vote_reply,
    messages.Append: _on_append,
    messages.AppendReply: _on_append_reply,
    messages.Install: _on_install,
}
