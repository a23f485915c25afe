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
MOVES_PER_ROUND = 4


class SessionLoad(typing.NamedTuple):
    """How many endpoints a session owns."""

    count: int
    session: str


class PlacementIndex:
    """What placement needs to know, kept current row by row.

    A pass looks only at endpoints without a settled owner, so that its cost
    follows what changed and not the size of the deployment.
    """

    def __init__(self, state):
        self.ids_by_session = {vm: set() for vm in state.vm_by_session}
        self.owner_by_id_by_service = {}
        self.service_by_id = {}
        self.unsettled_ids = set()
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

    def list_siblings(self, service):
        """Return the sessions that own a replica of a service."""
        return list(self.owner_by_id_by_service.get(service, {}).values())

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
        vm = state.vm_by_session.get(session)
        is_settled = vm is not None and vm.state == "ready"
        if not is_settled and endpoint.state != "lost":
            self.unsettled_ids.add(endpoint_id)

    def _forget(self, endpoint_id):
        self.unsettled_ids.discard(endpoint_id)
        service = self.service_by_id.pop(endpoint_id, None)
        owners = self.owner_by_id_by_service.get(service, {})
        session = owners.pop(endpoint_id, None)
        if not owners:
            self.owner_by_id_by_service.pop(service, None)
        if session in self.ids_by_session:
            self.ids_by_session[session].discard(endpoint_id)


def plan_assignments(state, index, acked_version_by_session):
    """Return the ownership changes that are safe and useful now.

    Parameters
    ----------
    state : ControlState
    index : PlacementIndex
        Current for `state`.
    acked_version_by_session : dict of str to int
        Version of the tables that each session has confirmed.

    Returns
    -------
    tuple of Assignment
        Grants for endpoints without owner, and releases from sessions that
        drain.
    """
    if not index.unsettled_ids:
        return ()
    grantable = []
    releases = []
    for endpoint_id in sorted(index.unsettled_ids):
        ownership = state.ownership_by_id.get(endpoint_id)
        if ownership is not None and ownership.session:
            releases.append(_release(ownership))
        elif _is_grantable(ownership, state, acked_version_by_session):
            grantable.append(endpoint_id)
    grants = _plan_grants(state, index, grantable) if grantable else []
    return tuple(grants) + tuple(releases)


def _is_grantable(ownership, state, acked_version_by_session):
    """Tell whether no earlier owner can still send work."""
    if ownership is None:
        return True
    if ownership.previous not in state.vm_by_session:
        return True
    acked = acked_version_by_session.get(ownership.previous, 0)
    return acked >= ownership.released_at


def _plan_grants(state, index, endpoint_ids):
    loads = index.count_loads(state)
    heap = [SessionLoad(count, session) for session, count in loads.items()]
    heapq.heapify(heap)
    siblings_by_service = {}
    grants = []
    for endpoint_id in endpoint_ids:
        if not heap:
            break
        endpoint = state.endpoint_by_id[endpoint_id]
        siblings = siblings_by_service.setdefault(
            endpoint.service, index.list_siblings(endpoint.service)
        )
        session = _choose_session(state, endpoint, siblings, heap)
        siblings.append(session)
        ownership = state.ownership_by_id.get(endpoint_id)
        epoch = ownership.epoch if ownership else 0
        grants.append(state_module.Assignment(endpoint_id, session, epoch))
    return grants


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


def _release(ownership):
    return state_module.Assignment(ownership.endpoint_id, "", ownership.epoch)


def plan_moves(state, index):
    """Return releases that even out the load, a few at a time.

    At most one endpoint of a service is moved at once, so that its other
    replicas go on serving.
    """
    loads = index.count_loads(state)
    if len(loads) < 2 or index.unsettled_ids:
        return ()
    least = min(loads.values())
    for session in sorted(loads, key=lambda s: (-loads[s], s)):
        spread = loads[session] - least
        if spread <= MAX_SPREAD:
            break
        limit = min(MOVES_PER_ROUND, spread // 2)
        moves = _plan_session_moves(state, index, loads, session, limit)
        if moves:
            return moves
    return ()


def _plan_session_moves(state, index, loads, session, limit):
    """Return releases of one session's endpoints, at most `limit`."""
    moves = []
    services = set()
    for endpoint_id in sorted(index.ids_by_session[session]):
        service = index.service_by_id[endpoint_id]
        if service in services or not _is_covered(state, index, endpoint_id):
            continue
        if _find_better(state, index, loads, endpoint_id) == session:
            continue
        services.add(service)
        moves.append(_release(state.ownership_by_id[endpoint_id]))
        if len(moves) >= limit:
            break
    return tuple(moves)


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
    """Return the session that would be granted an endpoint, once released.

    Without this question an endpoint whose replicas rule out all less
    loaded sessions would be released and granted to the same one for ever.
    """
    endpoint = state.endpoint_by_id[endpoint_id]
    owner_by_id = index.owner_by_id_by_service[endpoint.service]
    siblings = [s for i, s in owner_by_id.items() if i != endpoint_id]
    own = owner_by_id[endpoint_id]
    candidates = heapq.nsmallest(
        CANDIDATES,
        (
            SessionLoad(count - (session == own), session)
            for session, count in loads.items()
        ),
    )
    rank = _build_rank(state, endpoint, siblings)
    return min(candidates, key=rank).session
