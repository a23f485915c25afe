"""Plans membership changes that keep the configured number of voters.

A VM that starts with an empty disk asks to join under a new member id and
replicates the log as a learner. Once it has caught up it takes the place of a
voter that leaves, whose VM has a new identity, or that is silent. Only one
member changes at a time, and no operator has to act.

The order of the two steps depends on the voter. One that leaves is still
there, so its successor is promoted first, and the group never has fewer
voters than its target. One that is lost is removed first, so that the group
never needs the successor before it has its vote.

While the group has a VM more than its target, that VM votes too. When one of
the others then ends for good without notice, its successor already holds what
is committed, and the target's losses can be borne at once
(`raft.list_quorums`).
"""

from chervilspindle.control import raft

MAX_LEARNER_LAG_ENTRIES = 64
LIVE_TIMEOUT_MS = 1000.0  # several heartbeats
REPLACE_TIMEOUT_MS = 1500.0  # longer than an election
SURPLUS_TIMEOUT_MS = 2000.0  # leaving voters have told a new leader by then
# Longer than a VM takes to join after the first start of all.
FORMING_TIMEOUT_MS = 6000.0


def plan_join(state: raft.RaftState, member_id: str, address: str):
    """Return the members after the next step of adding a learner.

    Earlier learners of the same VM are removed first, in a step of their own.

    Returns
    -------
    tuple of Member or None
        None if `member_id` is a member already, or if its disk is known to be
        gone, so that the request is a late one.
    """
    member_ids = {m.member_id for m in state.members}
    if member_id in member_ids | state.replaced_ids:
        return None
    remaining = tuple(
        m for m in state.members if not _is_stale_learner(m, member_id)
    )
    if len(remaining) < len(state.members):
        return remaining
    return state.members + (raft.Member(member_id, address, False),)


def plan_voters(
    state: raft.RaftState,
    voter_target: int,
    leaving_ids,
    now: float,
    has_older_members: bool = False,
):
    """Return the members after the next step towards `voter_target` voters.

    Parameters
    ----------
    state : raft.RaftState
        State of the leader.
    voter_target : int
    leaving_ids : collection of str
        Members that are about to end.
    now : float
        Monotonic milliseconds.
    has_older_members : bool
        Whether a member is of a build that keeps no voter beyond the target.
        As the leader it would remove one, at whatever moment.

    Returns
    -------
    tuple of Member or None
        None if there is nothing to do, or if the step could leave fewer live
        voters than a majority.
    """
    voters = [m for m in state.members if m.voter]
    replaced = [m for m in voters if m.member_id in state.replaced_ids]
    if replaced:
        return _remove(state, replaced[0], now)
    if len(voters) > voter_target:
        kept = voter_target if has_older_members else voter_target + 1
        return _plan_surplus(state, kept, leaving_ids, now)
    successor = _find_successor(state, leaving_ids, now)
    if successor is None:
        return None
    if len(voters) < voter_target:
        return _promote(state, successor)
    if any(m.member_id in leaving_ids for m in voters):
        return _promote(state, successor)
    lost = _find_lost_voter(state, now)
    if lost is not None:
        return _remove(state, lost, now)
    if has_older_members:
        return None
    return _plan_additional_voter(state, leaving_ids, now)


def has_left(state: raft.RaftState) -> bool:
    """Tell whether this member knows that the group goes on without it.

    A learner asks the leader, which might promote it at any moment.
    """
    is_member = any(m.member_id == state.member_id for m in state.members)
    return not is_member and raft.is_latest_config_committed(state)


def is_free_to_leave(
    state: raft.RaftState,
    voter_target: int,
    member_id: str,
    leaving_ids,
    now: float,
) -> bool:
    """Tell on the leader whether a member that leaves may end now.

    A voter waits for a learner that can take its place, and until a
    configuration without it is committed.
    """
    committed = raft.find_members_at(state, state.commit_index)
    voters = {m.member_id for m in (*committed, *state.members) if m.voter}
    if member_id not in voters:
        return True
    if not raft.is_latest_config_committed(state):
        return False
    # A new leader waits for learners that have not answered it yet.
    has_successor = any(
        not m.voter
        and m.member_id not in leaving_ids
        and _get_silence_ms(state, m.member_id, now) < LIVE_TIMEOUT_MS
        for m in state.members
    )
    is_replaced = len(raft.list_voters(state)) > voter_target
    return not has_successor and not is_replaced


def is_formed(
    state: raft.RaftState, voter_target: int, seeds: int, now: float
) -> bool:
    """Tell on the leader whether a new group may acknowledge changes.

    It may once voters on `voter_target` VMs hold them, so that a majority
    that holds them is left after the losses that the target allows for. A VM
    that has not joined `FORMING_TIMEOUT_MS` after the election is one of
    these losses, or does not exist. The seeds exist.
    """
    voters = len({raft.get_vm_id(v) for v in raft.list_voters(state)})
    if voters >= voter_target:
        return True
    waited_ms = now - state.elected_ms
    return voters >= min(voter_target, seeds) and (
        waited_ms > FORMING_TIMEOUT_MS
    )


def _find_successor(state, leaving_ids, now):
    """Return a learner that can take a vote now, None if there is none."""
    return next(_iterate_successors(state, leaving_ids, now), None)


def _iterate_successors(state, leaving_ids, now):
    for member in state.members:
        if (
            not member.voter
            and member.member_id not in leaving_ids
            and _is_live(state, member.member_id, now)
            and _is_caught_up(state, member.member_id)
        ):
            yield member


def _find_lost_voter(state, now):
    """Return a voter whose disk is replaced or that is silent, or None."""
    last_by_vm = {raft.get_vm_id(m.member_id): m for m in state.members}
    lost = None
    for member in state.members:
        if not member.voter or member.member_id == state.member_id:
            continue
        silence_ms = _get_silence_ms(state, member.member_id, now)
        is_replaced = last_by_vm[raft.get_vm_id(member.member_id)] != member
        if is_replaced and silence_ms > LIVE_TIMEOUT_MS:
            return member
        if silence_ms > REPLACE_TIMEOUT_MS:
            lost = lost or member
    return lost


def _plan_additional_voter(state, leaving_ids, now):
    """Return the members with a voter on one VM more than the target.

    A silent voter is replaced instead, once it is known to be lost.
    """
    voters = raft.list_voters(state)
    voter_vms = {raft.get_vm_id(v) for v in voters}
    if not all(_is_live(state, v, now) for v in voters):
        return None
    successors = _iterate_successors(state, leaving_ids, now)
    for member in successors:
        if raft.get_vm_id(member.member_id) not in voter_vms:
            return _promote(state, member)
    return None


def _plan_surplus(state, kept, leaving_ids, now):
    """Return the members without a voter that the group doesn't need.

    Up to `kept` voters stay while all of them are there. Their configuration
    is proposed a second time, so that members learn from their logs, also
    after a restart, that it is committed.
    """
    voters = [m for m in state.members if m.voter]
    leaving = [m for m in voters if m.member_id in leaving_ids]
    lost = _find_lost_voter(state, now)
    if leaving:
        return _remove(state, leaving[0], now)
    if lost is not None:
        return _remove(state, lost, now)
    if len(voters) <= kept and _are_on_different_vms(voters):
        return None if raft.has_settled_voters(state) else state.members
    if now - state.elected_ms < SURPLUS_TIMEOUT_MS:
        return None
    others = [m for m in voters if m.member_id != state.member_id]
    return _remove(state, others[-1], now)


def _are_on_different_vms(voters):
    return len({raft.get_vm_id(m.member_id) for m in voters}) == len(voters)


def _promote(state, learner):
    promoted = learner._replace(voter=True)
    return tuple(promoted if m == learner else m for m in state.members)


def _remove(state, member, now):
    """Return the members without one, None if too few live voters remain."""
    remaining = tuple(m for m in state.members if m != member)
    voters = [m.member_id for m in remaining if m.voter]
    live = sum(_is_live(state, v, now) for v in voters)
    return remaining if live * 2 > len(voters) else None


def _is_live(state, member_id: str, now: float) -> bool:
    if member_id == state.member_id:
        return True
    progress = state.progress_by_id.get(member_id)
    if progress is None:
        return False
    return now - progress.acked_sent_ms < LIVE_TIMEOUT_MS


def _get_silence_ms(state, member_id: str, now: float) -> float:
    """Return how long this leader has had no answer of a member."""
    progress = state.progress_by_id.get(member_id)
    last_acked_ms = progress.acked_sent_ms if progress else raft.NEVER_MS
    return now - max(last_acked_ms, state.elected_ms)


def _is_stale_learner(member, member_id: str) -> bool:
    same_vm = raft.get_vm_id(member.member_id) == raft.get_vm_id(member_id)
    return same_vm and not member.voter


def _is_caught_up(state: raft.RaftState, member_id: str) -> bool:
    progress = state.progress_by_id.get(member_id)
    if progress is None or progress.match_index == 0:
        return False
    lag_entries = raft.get_last_index(state) - progress.match_index
    return lag_entries <= MAX_LEARNER_LAG_ENTRIES
