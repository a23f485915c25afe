"""Chooses the owner of each endpoint.

Owners of the replicas of one service sit on different VMs and, where that
is possible, in different zones, so that losing a VM leaves every shard with
an owned replica. Load is evened by counts of endpoints.
"""

import heapq
import typing

from chervilspindle.control import state as state_module

CANDIDATES = 16
MAX_SPREAD = 2
MOVES_PER_ROUND = 4


class SessionLoad(typing.NamedTuple):
    """How many endpoints a session owns."""

    count: int
    session: str


def plan_assignments(state, acked_version_by_session):
    """Return the ownership changes that are safe and useful now.

    Parameters
    ----------
    state : ControlState
    acked_version_by_session : dict of str to int
        Version of the tables that each session has confirmed.

    Returns
    -------
    tuple of Assignment
        Grants for endpoints without owner, releases from sessions that
        drain, and a few releases that even out the load.
    """
    owners = _list_owners_by_service(state)
    loads = _count_loads(state)
    grants = _plan_grants(state, owners, loads, acked_version_by_session)
    releases = _plan_drain_releases(state)
    if not grants and not releases:
        releases = _plan_moves(state, owners, loads)
    return tuple(grants) + tuple(releases)


def _list_owners_by_service(state):
    """Map each service to the sessions that own a replica of it."""
    owners_by_service = {}
    for ownership in state.ownership_by_id.values():
        endpoint = state.endpoint_by_id.get(ownership.endpoint_id)
        if endpoint is not None and ownership.session:
            owners = owners_by_service.setdefault(endpoint.service, [])
            owners.append(ownership.session)
    return owners_by_service


def _count_loads(state):
    count_by_session = {
        vm.session: 0
        for vm in state.vm_by_session.values()
        if vm.state == "ready"
    }
    for ownership in state.ownership_by_id.values():
        if ownership.session in count_by_session:
            count_by_session[ownership.session] += 1
    return count_by_session


def _is_grantable(ownership, state, acked_version_by_session):
    """Tell whether no earlier owner can still send work."""
    if ownership is None:
        return True
    if ownership.session:
        return False
    if ownership.previous not in state.vm_by_session:
        return True
    acked = acked_version_by_session.get(ownership.previous, 0)
    return acked >= ownership.released_at


def _plan_grants(state, owners_by_service, count_by_session, acked):
    heap = [SessionLoad(n, s) for s, n in count_by_session.items()]
    heapq.heapify(heap)
    grants = []
    for endpoint_id in sorted(state.endpoint_by_id):
        endpoint = state.endpoint_by_id[endpoint_id]
        ownership = state.ownership_by_id.get(endpoint_id)
        if endpoint.state == "lost" or not heap:
            continue
        if not _is_grantable(ownership, state, acked):
            continue
        siblings = owners_by_service.setdefault(endpoint.service, [])
        session = _choose_session(state, endpoint, siblings, heap)
        count_by_session[session] += 1
        siblings.append(session)
        epoch = ownership.epoch if ownership else 0
        grants.append(state_module.Assignment(endpoint_id, session, epoch))
    return grants


def _choose_session(state, endpoint, siblings, heap):
    """Take the best of the least loaded sessions and count it up."""
    size = min(CANDIDATES, len(heap))
    candidates = [heapq.heappop(heap) for _ in range(size)]
    zones = {
        state.vm_by_session[s].zone
        for s in siblings
        if s in state.vm_by_session
    }

    def rank(load):
        zone = state.vm_by_session[load.session].zone
        return (
            load.session in siblings,
            zone in zones,
            load.count,
            zone != endpoint.zone,
            load.session,
        )

    best = min(candidates, key=rank)
    for load in candidates:
        count = load.count + (load is best)
        heapq.heappush(heap, SessionLoad(count, load.session))
    return best.session


def _plan_drain_releases(state):
    releases = []
    for ownership in state.ownership_by_id.values():
        vm = state.vm_by_session.get(ownership.session)
        if vm is not None and vm.state == "draining":
            releases.append(_release(ownership))
    return releases


def _release(ownership):
    return state_module.Assignment(ownership.endpoint_id, "", ownership.epoch)


def _plan_moves(state, owners_by_service, count_by_session):
    """Release endpoints of the most loaded session, a few at a time."""
    if len(count_by_session) < 2:
        return []
    most = max(count_by_session, key=count_by_session.get)
    least = min(count_by_session.values())
    spread = count_by_session[most] - least
    if spread <= MAX_SPREAD:
        return []
    moves = []
    moving_services = set()
    for ownership in state.ownership_by_id.values():
        if ownership.session != most:
            continue
        endpoint = state.endpoint_by_id.get(ownership.endpoint_id)
        if endpoint is None or endpoint.service in moving_services:
            continue
        moving_services.add(endpoint.service)
        moves.append(_release(ownership))
        if len(moves) >= min(MOVES_PER_ROUND, spread // 2):
            break
    return moves
