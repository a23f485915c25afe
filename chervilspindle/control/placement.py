"""Chooses the owner of each endpoint.

Owners of the replicas of one service sit on different VMs and, where that
is possible, in different zones, so that losing a VM leaves every shard with
an owned replica. Load is evened by counts of endpoints.
"""

import heapq
import typing

from chervilspindle.control import state as state_module

CANDIDATES = 16
MAX_SPREAD = 1
LEAST_MOVES = 4
SESSIONS_PER_MOVE = 8


class SessionLoad(typing.NamedTuple):
    """How many endpoints a session owns."""

    count: int
    session: str


class PlacementIndex:
    """What placement needs to know, kept current row by row.

    A pass looks only at endpoints without a settled owner, so that its cost
    follows what changed and not the size of the deployment. An endpoint is
    moving while its owner before still has to hand it over.
    """

    def __init__(self, state):
        self.ids_by_session = {vm: set() for vm in state.vm_by_session}
        self.owner_by_id_by_service = {}
        self.service_by_id = {}
        self.unsettled_ids = set()
        self.moving_ids = set()
        for endpoint_id in state.endpoint_by_id:
            self._refresh(state, endpoint_id)

    def update(self, state, changes):
        """Take in the rows that a version touched."""
        for change in changes:
            if change.kind in ("endpoint", "ownership"):
                self._refresh(state, change.key)
            elif change.kind == "vm":
                self._refresh_session(state, change.key)

    def count_loads(self, state):
        """Return the number of endpoints of each ready session."""
        return {
            session: len(ids)
            for session, ids in self.ids_by_session.items()
            if state.vm_by_session[session].state == "ready"
        }

    def list_siblings(self, endpoint_id):
        """Return the sessions that own the other replicas of a service."""
        service = self.service_by_id[endpoint_id]
        owner_by_id = self.owner_by_id_by_service.get(service, {})
        return [s for i, s in owner_by_id.items() if i != endpoint_id]

    def _refresh_session(self, state, session):
        for endpoint_id in list(self.ids_by_session.get(session, ())):
            self._refresh(state, endpoint_id)
        if session in state.vm_by_session:
            self.ids_by_session.setdefault(session, set())
        else:
            self.ids_by_session.pop(session, None)

    def _refresh(self, state, endpoint_id):
        self._forget(endpoint_id)
        endpoint = state.endpoint_by_id.get(endpoint_id)
        if endpoint is None:
            return
        ownership = state.ownership_by_id.get(endpoint_id)
        session = ownership.session if ownership else ""
        self.service_by_id[endpoint_id] = endpoint.service
        if session:
            self.ids_by_session.setdefault(session, set()).add(endpoint_id)
            owners = self.owner_by_id_by_service.setdefault(
                endpoint.service, {}
            )
            owners[endpoint_id] = session
        if ownership is not None and ownership.previous:
            self.moving_ids.add(endpoint_id)
            return
        vm = state.vm_by_session.get(session)
        is_settled = vm is not None and vm.state == "ready"
        if not is_settled and endpoint.state != "lost":
            self.unsettled_ids.add(endpoint_id)

    def _forget(self, endpoint_id):
        self.unsettled_ids.discard(endpoint_id)
        self.moving_ids.discard(endpoint_id)
        service = self.service_by_id.pop(endpoint_id, None)
        owners = self.owner_by_id_by_service.get(service, {})
        session = owners.pop(endpoint_id, None)
        if not owners:
            self.owner_by_id_by_service.pop(service, None)
        if session in self.ids_by_session:
            self.ids_by_session[session].discard(endpoint_id)


def plan_assignments(state, index):
    """Return the grants that endpoints without a lasting owner need now.

    Parameters
    ----------
    state : ControlState
    index : PlacementIndex
        Current for `state`.

    Returns
    -------
    tuple of Assignment
        For endpoints without owner, and for those of sessions that drain.
    """
    if not index.unsettled_ids:
        return ()
    loads = index.count_loads(state)
    heap = [SessionLoad(count, session) for session, count in loads.items()]
    heapq.heapify(heap)
    granted_by_service = {}
    grants = []
    for endpoint_id in sorted(index.unsettled_ids):
        if not heap:
            break
        granted = granted_by_service.setdefault(
            index.service_by_id[endpoint_id], []
        )
        siblings = index.list_siblings(endpoint_id) + granted
        endpoint = state.endpoint_by_id[endpoint_id]
        session = _choose_session(state, endpoint, siblings, heap)
        granted.append(session)
        grants.append(_grant(state, endpoint_id, session))
    return tuple(grants)


def _choose_session(state, endpoint, siblings, heap):
    """Take the best of the least loaded sessions and count it up."""
    size = min(CANDIDATES, len(heap))
    candidates = [heapq.heappop(heap) for _ in range(size)]
    best = min(candidates, key=_build_rank(state, endpoint, siblings))
    for load in candidates:
        count = load.count + (load is best)
        heapq.heappush(heap, SessionLoad(count, load.session))
    return best.session


def _build_rank(state, endpoint, siblings):
    """Return the order of preference of sessions for an endpoint."""
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

    return rank


def _grant(state, endpoint_id, session):
    ownership = state.ownership_by_id.get(endpoint_id)
    epoch = ownership.epoch if ownership else 0
    return state_module.Assignment(endpoint_id, session, epoch)


def plan_moves(state, index):
    """Return grants that even out the load, some at a time.

    At most one endpoint of a service moves at once, so that gatherers which
    have not heard of the new owner yet find another replica.
    """
    loads = index.count_loads(state)
    if len(loads) < 2 or index.unsettled_ids:
        return ()
    room = max(LEAST_MOVES, len(loads) // SESSIONS_PER_MOVE)
    room -= len(index.moving_ids)
    least = min(loads.values())
    services = {index.service_by_id[i] for i in index.moving_ids}
    moves = []
    for session in sorted(loads, key=lambda s: (-loads[s], s)):
        spread = loads[session] - least
        if spread <= MAX_SPREAD or len(moves) >= room:
            break
        limit = min(room - len(moves), max(1, spread // 2))
        moves += _plan_session_moves(
            state, index, loads, session, limit, services
        )
    return tuple(moves)


def _plan_session_moves(state, index, loads, session, limit, services):
    """Return moves of one session's endpoints, at most `limit`.

    `loads` and `services` take in what is planned.
    """
    moves = []
    for endpoint_id in sorted(index.ids_by_session[session]):
        service = index.service_by_id[endpoint_id]
        if service in services or not _is_covered(state, index, endpoint_id):
            continue
        better = _find_better(state, index, loads, endpoint_id)
        if better == session:
            continue
        loads[session] -= 1
        loads[better] += 1
        services.add(service)
        moves.append(_grant(state, endpoint_id, better))
        if len(moves) >= limit:
            break
    return moves


def _is_covered(state, index, endpoint_id):
    """Tell whether another replica serves while an endpoint is moved."""
    endpoint = state.endpoint_by_id[endpoint_id]
    for other_id in index.owner_by_id_by_service[endpoint.service]:
        other = state.endpoint_by_id[other_id]
        if other_id == endpoint_id or other.state != "ready":
            continue
        if set(endpoint.holdings) <= set(other.holdings):
            return True
    return False


def _find_better(state, index, loads, endpoint_id):
    """Return the session that should own an endpoint, its own if none is.

    An endpoint whose replicas rule out all less loaded sessions would
    otherwise move to and fro for ever.
    """
    endpoint = state.endpoint_by_id[endpoint_id]
    own = state.ownership_by_id[endpoint_id].session
    candidates = heapq.nsmallest(
        CANDIDATES,
        (
            SessionLoad(count - (session == own), session)
            for session, count in loads.items()
        ),
    )
    siblings = index.list_siblings(endpoint_id)
    rank = _build_rank(state, endpoint, siblings)
    return min(candidates, key=rank).session
