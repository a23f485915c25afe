"""Keeps the configured number of voters without an operator's help.

A VM that starts with an empty disk asks to join under a new member id and
replicates as a learner. Once it has caught up, the leader removes the
member that the same VM had before, whose disk is gone, and promotes the
learner. Only one member changes at a time.
"""

from chervilspindle.control import raft

CAUGHT_UP_ENTRIES = 64


def get_vm_id(member_id: str) -> str:
    """Return the VM of a member."""
    return member_id.split("#", 1)[0]


def plan_join(members, member_id: str, address: str):
    """Return the members with a new learner, None if nothing changes."""
    known = {m.member_id: m for m in members}
    if member_id in known:
        return None
    kept = tuple(m for m in members if not _is_stale_learner(m, member_id))
    if len(kept) < len(members):
        return kept
    return members + (raft.Member(member_id, address, False),)


def plan_promotion(state: raft.RaftState, voter_target: int):
    """Return the members after the next step towards the target.

    Returns
    -------
    tuple of Member or None
        None if there is nothing to do.
    """
    for member in state.members:
        if member.voter or not _is_caught_up(state, member.member_id):
            continue
        vm_id = get_vm_id(member.member_id)
        replaced = [
            m
            for m in state.members
            if m.voter and get_vm_id(m.member_id) == vm_id
        ]
        if replaced:
            return tuple(m for m in state.members if m != replaced[0])
        if len(raft.list_voters(state)) < voter_target:
            promoted = member._replace(voter=True)
            return tuple(promoted if m == member else m for m in state.members)
    return None


def plan_removal(
    state: raft.RaftState, voter_target: int, now: float, silent_ms: float
):
    """Return the members without a voter that a learner can replace.

    A VM that is gone for good comes back under another name, so its place
    among the voters is given up once another VM has caught up and the voter
    has not answered for `silent_ms`. A replaced voter that is still alive
    joins again as a learner.

    Returns
    -------
    tuple of Member or None
        None if there is nothing to do.
    """
    if len(raft.list_voters(state)) < voter_target:
        return None
    ready = [
        m
        for m in state.members
        if not m.voter
        and _is_caught_up(state, m.member_id)
        and now - state.progress_by_id[m.member_id].acked_sent_ms < silent_ms
    ]
    if not ready or now - state.elected_ms < silent_ms:
        return None
    for member in state.members:
        if not member.voter or member.member_id == state.member_id:
            continue
        progress = state.progress_by_id.get(member.member_id)
        heard = progress.acked_sent_ms if progress else raft.NEVER_MS
        if now - max(heard, state.elected_ms) > silent_ms:
            return tuple(m for m in state.members if m != member)
    return None


def _is_stale_learner(member, member_id: str) -> bool:
    same_vm = get_vm_id(member.member_id) == get_vm_id(member_id)
    return same_vm and not member.voter


def _is_caught_up(state: raft.RaftState, member_id: str) -> bool:
    progress = state.progress_by_id.get(member_id)
    if progress is None or progress.match_index == 0:
        return False
    behind = raft.get_last_index(state) - progress.match_index
    return behind <= CAUGHT_UP_ENTRIES
