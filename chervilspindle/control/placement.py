"""Chooses the owner of each endpoint.

An endpoint's owner sits in the endpoint's own availability zone, so that a
lost zone takes owners and endpoints of the same replicas; where the zone has
no VM, any other may own it. Owners of the replicas of one service sit on
different VMs and, as far as possible, in different zones. Load is evened by
counts of endpoints over the VMs that an endpoint may go to.
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


class Pools:
    """Sessions that take endpoints, by zone and all, least loaded first.

    Counts of the heaps may be out of date; they are put right when they
    come up.
    """

    def __init__(self, state, loads):
        self.state = state
        self.loads = loads
        self.heap_by_zone = {}
        for session, count in loads.items():
            zone = state.vm_by_session[session].zone
            load = SessionLoad(count, session)
            self.heap_by_zone.setdefault(zone, []).append(load)
        for heap in self.heap_by_zone.values():
            heapq.heapify(heap)
        self.heap = [SessionLoad(c, s) for s, c in loads.items()]
        heapq.heapify(self.heap)

    def has_zone(self, zone) -> bool:
        """Tell whether a zone has sessions that take endpoints."""
        return zone in self.heap_by_zone

    def choose(self, zone, siblings) -> str:
        """Return the best session for an endpoint, '' if there is none.

        Parameters
        ----------
        zone : str
            Of the endpoint.
        siblings : list of str
            Sessions that own its other replicas.
        """
        home = self.heap_by_zone.get(zone)
        if home:
            best = self._take_best(home, siblings)
            if best not in siblings:
                return best
        return self._take_best(self.heap, siblings) if self.heap else ""

    def move(self, source, target):
        """Count an endpoint from one session to another."""
        if source in self.loads:
            self.loads[source] -= 1
        self.loads[target] += 1

    def list_least(self):
        """Return the least load of each zone."""
        return {
            zone: min(self.loads[load.session] for load in heap)
            for zone, heap in self.heap_by_zone.items()
        }

    def _take_best(self, heap, siblings):
        candidates = []
        while heap and len(candidates) < CANDIDATES:
            load = heapq.heappop(heap)
            count = self.loads[load.session]
            if count == load.count:
                candidates.append(load)
            else:
                heapq.heappush(heap, SessionLoad(count, load.session))
        for load in candidates:
            heapq.heappush(heap, load)
        zones = {
            self.state.vm_by_session[s].zone
            for s in siblings
            if s in self.state.vm_by_session
        }

        def rank(load):
            zone = self.state.vm_by_session[load.session].zone
            return (load.session in siblings, zone in zones, load)

        return min(candidates, key=rank).session


class PlacementIndex:
    """What placement needs to know, kept current row by row.

    A pass looks only at endpoints without a settled owner, so that its cost
    follows what changed and not the size of the deployment. An endpoint is
    moving while its owner before still has to hand it over, and foreign while
    its owner sits in another zone.
    """

    def __init__(self, state):
        self.ids_by_session = {vm: set() for vm in state.vm_by_session}
        self.owner_by_id_by_service = {}
        self.service_by_id = {}
        self.unsettled_ids = set()
        self.moving_ids = set()
        self.foreign_ids = set()
        self.changes_seen = 0
        for endpoint_id in state.endpoint_by_id:
            self._refresh(state, endpoint_id)

    def update(self, state, changes):
        """Take in the rows that a version touched."""
        for change in changes:
            if change.kind in ("endpoint", "ownership"):
                self.changes_seen += 1
                self._refresh(state, change.key)
            elif change.kind == "vm":
                self.changes_seen += 1
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
        elif is_settled and vm.zone != endpoint.zone:
            self.foreign_ids.add(endpoint_id)

    def _forget(self, endpoint_id):
        self.unsettled_ids.discard(endpoint_id)
        self.moving_ids.discard(endpoint_id)
        self.foreign_ids.discard(endpoint_id)
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
    pools = Pools(state, index.count_loads(state))
    granted_by_service = {}
    grants = []
    for endpoint_id in sorted(index.unsettled_ids):
        granted = granted_by_service.setdefault(
            index.service_by_id[endpoint_id], []
        )
        siblings = index.list_siblings(endpoint_id) + granted
        zone = state.endpoint_by_id[endpoint_id].zone
        session = pools.choose(zone, siblings)
        if not session:
            break
        granted.append(session)
        pools.move("", session)
        grants.append(_grant(state, endpoint_id, session))
    return tuple(grants)


def _grant(state, endpoint_id, session):
    ownership = state.ownership_by_id.get(endpoint_id)
    epoch = ownership.epoch if ownership else 0
    return state_module.Assignment(endpoint_id, session, epoch)


def plan_moves(state, index):
    """Return grants that bring endpoints home and even out the load.

    They are some at a time. At most one endpoint of a service moves at once,
    so that gatherers which have not heard of the new owner yet find another
    replica.
    """
    loads = index.count_loads(state)
    if len(loads) < 2 or index.unsettled_ids:
        return ()
    room = max(LEAST_MOVES, len(loads) // SESSIONS_PER_MOVE)
    room -= len(index.moving_ids)
    plan = MovePlan(state, index, Pools(state, loads), room)
    for endpoint_id in sorted(index.foreign_ids):
        zone = state.endpoint_by_id[endpoint_id].zone
        if plan.pools.has_zone(zone):
            plan.consider(endpoint_id, True)
    for endpoint_id in _list_movable(state, index, plan.pools):
        plan.consider(endpoint_id, False)
    return tuple(plan.moves)


def _list_movable(state, index, pools):
    """Return the endpoints that a fuller session could give away.

    Within a zone a session compares with the least loaded one there; foreign
    endpoints may go anywhere, so for them it compares with all.
    """
    least_by_zone = pools.list_least()
    least = min(least_by_zone.values())
    movable = []
    for session in sorted(pools.loads, key=lambda s: (-pools.loads[s], s)):
        count = pools.loads[session]
        if count - least <= MAX_SPREAD:
            break
        ids = index.ids_by_session[session]
        zone = state.vm_by_session[session].zone
        if count - least_by_zone[zone] <= MAX_SPREAD:
            ids = ids & index.foreign_ids
        movable.extend(sorted(ids))
    return movable


class MovePlan:
    """Moves that are planned in one round, and the loads that they leave."""

    def __init__(self, state, index, pools, room):
        self.state = state
        self.index = index
        self.pools = pools
        self.room = room
        self.moves = []
        self.services = {index.service_by_id[i] for i in index.moving_ids}

    def consider(self, endpoint_id, goes_home: bool):
        """Move an endpoint if that brings it home or evens out the load."""
        if len(self.moves) >= self.room:
            return
        service = self.index.service_by_id[endpoint_id]
        if service in self.services:
            return
        endpoint = self.state.endpoint_by_id[endpoint_id]
        own = self.state.ownership_by_id[endpoint_id].session
        siblings = self.index.list_siblings(endpoint_id)
        target = self.pools.choose(endpoint.zone, siblings)
        if not self._is_better(endpoint, own, target, siblings, goes_home):
            return
        if not _is_covered(self.state, self.index, endpoint_id):
            return
        self.pools.move(own, target)
        self.services.add(service)
        self.moves.append(_grant(self.state, endpoint_id, target))

    def _is_better(self, endpoint, own, target, siblings, goes_home):
        if target in ("", own, *siblings):
            return False
        zone = self.state.vm_by_session[target].zone
        own_zone = self.state.vm_by_session[own].zone
        if goes_home:
            return zone == endpoint.zone
        if own_zone == endpoint.zone != zone:
            return False
        spread = self.pools.loads[own] - self.pools.loads[target]
        return spread > MAX_SPREAD


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
