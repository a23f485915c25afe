"""Plans membership changes that keep the configured number of voters.

A VM that starts with an empty disk asks to join under a new member id and
replicates the log as a learner. Once the learner has caught up, the leader
removes the VM's former member, whose disk is lost, and promotes the learner.
Only one member changes at a time, and no operator has to act.
"""

from chervilspindle.control import raft

MAX_LEARNER_LAG_ENTRIES = 64


def get_vm_id(member_id: str) -> str:
    """Return the VM id that a member id ``VM_ID#SUFFIX`` starts with."""
    return member_id.split("#", 1)[0]


def plan_join(members, member_id: str, address: str):
    """Return the members after the next step of adding a learner.

    Earlier learners of the same VM are removed first, in a step of their own.

    Returns
    -------
    tuple of Member or None
        None if `member_id` is a member already.
    """
    member_by_id = {m.member_id: m for m in members}
    if member_id in member_by_id:
        return None
    remaining = tuple(
        m for m in members if not _is_stale_learner(m, member_id)
    )
    if len(remaining) < len(members):
        return remaining
    return members + (raft.Member(member_id, address, False),)


def plan_promotion(state: raft.RaftState, voter_target: int):
    """Return the members after the next step towards `voter_target` voters.

    The step removes the former voter of a caught-up learner's VM, or promotes
    a learner.

    Returns
    -------
    tuple of Member or None
        None if there is nothing to do.
    """
    for member in state.members:
        if member.voter or not _is_caught_up(state, member.member_id):
            continue
        vm_id = get_vm_id(member.member_id)
        former_voters = [
            m
            for m in state.members
            if m.voter and get_vm_id(m.member_id) == vm_id
        ]
        if former_voters:
            return tuple(m for m in state.members if m != former_voters[0])
        if len(raft.list_voters(state)) < voter_target:
            promoted = member._replace(voter=True)
            return tuple(promoted if m == member else m for m in state.members)
    return None


def plan_removal(
    state: raft.RaftState, voter_target: int, now: float, timeout_ms: float
):
    """Return the members without a failed voter that a learner can replace.

    The replacement of a lost VM has another name, so a voter is removed once
    it has not answered for `timeout_ms` and a learner on another VM has
    caught up. A removed voter that is still alive rejoins as a learner.

    Returns
    -------
    tuple of Member or None
        None if there is nothing to do.
    """
    if len(raft.list_voters(state)) < voter_target:
        return None
    replacements = [
        m
        for m in state.members
        if not m.voter
        and _is_caught_up(state, m.member_id)
        and now - state.progress_by_id[m.member_id].acked_sent_ms < timeout_ms
    ]
    if not replacements or now - state.elected_ms < timeout_ms:
        return None
    for member in state.members:
        if not member.voter or member.member_id == state.member_id:
            continue
        progress = state.progress_by_id.get(member.member_id)
        last_acked_ms = progress.acked_sent_ms if progress else raft.NEVER_MS
        if now - max(last_acked_ms, state.elected_ms) > timeout_ms:
            return tuple(m for m in state.members if m != member)
    return None


def _is_stale_learner(member, member_id: str) -> bool:
    same_vm = get_vm_id(member.member_id) == get_vm_id(member_id)
    return same_vm and not member.voter


def _is_caught_up(state: raft.RaftState, member_id: str) -> bool:
    progress = state.progress_by_id.get(member_id)
    if progress is None or progress.match_index == 0:
        return False
    lag_entries = raft.get_last_index(state) - progress.match_index
    return lag_entries <= MAX_LEARNER_LAG_ENTRIES
