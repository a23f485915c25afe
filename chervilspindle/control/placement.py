"""Chooses the owner of each endpoint.

An endpoint is owned by a VM of its own availability zone, so that the loss of
a zone removes endpoints together with their owners and leaves replicas in
other zones unaffected. If the zone has no VM, a VM of any zone may own it.
The owners of a service's replicas are on different VMs and, as far as
possible, in different zones. Load is the number of owned endpoints; it is
balanced over the VMs that may own an endpoint.
"""

import heapq
import typing

from chervilspindle.control import state as state_module

MAX_CANDIDATES = 16
MAX_LOAD_DIFFERENCE = 1
MIN_CONCURRENT_MOVES = 4
SESSIONS_PER_CONCURRENT_MOVE = 8


class SessionLoad(typing.NamedTuple):
    """Number of endpoints that a session owns."""

    count: int
    session: str


class SessionPool:
    """Sessions that may own endpoints, in heaps ordered by load.

    There is one heap for each availability zone and one for all sessions.
    Counts in the heaps may be stale; an entry with a stale count is corrected
    when it is popped.
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
        self.global_heap = [SessionLoad(c, s) for s, c in loads.items()]
        heapq.heapify(self.global_heap)

    def has_zone(self, zone) -> bool:
        """Tell whether a zone has sessions that may own endpoints."""
        return zone in self.heap_by_zone

    def choose(self, zone, replica_owners) -> str:
        """Return the best session for an endpoint, '' if there is none.

        Parameters
        ----------
        zone : str
            Zone of the endpoint.
        replica_owners : list of str
            Sessions that own the service's other replicas.
        """
        local_heap = self.heap_by_zone.get(zone)
        if local_heap:
            best = self._find_best(local_heap, replica_owners)
            if best not in replica_owners:
                return best
        return (
            self._find_best(self.global_heap, replica_owners)
            if self.global_heap
            else ""
        )

    def record_move(self, source, target):
        """Update the loads for an endpoint that moves between sessions."""
        if source in self.loads:
            self.loads[source] -= 1
        self.loads[target] += 1

    def get_min_load_by_zone(self):
        """Return the load of the least loaded session of each zone."""
        return {
            zone: min(self.loads[load.session] for load in heap)
            for zone, heap in self.heap_by_zone.items()
        }

    def _find_best(self, heap, replica_owners):
        candidates = []
        while heap and len(candidates) < MAX_CANDIDATES:
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
            for s in replica_owners
            if s in self.state.vm_by_session
        }

        def rank(load):
            zone = self.state.vm_by_session[load.session].zone
            return (load.session in replica_owners, zone in zones, load)

        return min(candidates, key=rank).session


class PlacementIndex:
    """Index of endpoints for placement, updated row by row.

    A placement pass visits only endpoints that need an owner, so that its
    cost depends on what changed and not on the size of the deployment.

    Attributes
    ----------
    needs_owner_ids : set of str
        Endpoints without an owner, or whose owner's session is not ready.
        Lost endpoints and those in `handover_ids` are left out.
    handover_ids : set of str
        Endpoints that their previous owner still has to hand over.
    cross_zone_ids : set of str
        Endpoints whose owner is in another availability zone.
    change_count : int
        Number of relevant row changes so far.
    """

    def __init__(self, state):
        self.endpoint_ids_by_session = {s: set() for s in state.vm_by_session}
        self.owner_by_id_by_service = {}
        self.service_by_id = {}
        self.needs_owner_ids = set()
        self.handover_ids = set()
        self.cross_zone_ids = set()
        self.change_count = 0
        for endpoint_id in state.endpoint_by_id:
            self._refresh(state, endpoint_id)

    def update(self, state, changes):
        """Update the index for the rows that a version changed."""
        for change in changes:
            if change.kind in ("endpoint", "ownership"):
                self.change_count += 1
                self._refresh(state, change.key)
            elif change.kind == "vm":
                self.change_count += 1
                self._refresh_session(state, change.key)

    def count_loads(self, state):
        """Return the number of endpoints of each ready session."""
        return {
            session: len(ids)
            for session, ids in self.endpoint_ids_by_session.items()
            if state.vm_by_session[session].state == "ready"
        }

    def list_replica_owners(self, endpoint_id):
        """Return the sessions that own the other replicas of a service."""
        service = self.service_by_id[endpoint_id]
        owner_by_id = self.owner_by_id_by_service.get(service, {})
        return [s for i, s in owner_by_id.items() if i != endpoint_id]

    def _refresh_session(self, state, session):
        for endpoint_id in list(self.endpoint_ids_by_session.get(session, ())):
            self._refresh(state, endpoint_id)
        if session in state.vm_by_session:
            self.endpoint_ids_by_session.setdefault(session, set())
        else:
            self.endpoint_ids_by_session.pop(session, None)

    def _refresh(self, state, endpoint_id):
        self._remove(endpoint_id)
        endpoint = state.endpoint_by_id.get(endpoint_id)
        if endpoint is None:
            return
        ownership = state.ownership_by_id.get(endpoint_id)
        session = ownership.session if ownership else ""
        self.service_by_id[endpoint_id] = endpoint.service
        if session:
            self.endpoint_ids_by_session.setdefault(session, set()).add(
                endpoint_id
            )
            owners = self.owner_by_id_by_service.setdefault(
                endpoint.service, {}
            )
            owners[endpoint_id] = session
        if ownership is not None and ownership.previous:
            self.handover_ids.add(endpoint_id)
            return
        vm = state.vm_by_session.get(session)
        has_ready_owner = vm is not None and vm.state == "ready"
        if not has_ready_owner and endpoint.state != "lost":
            self.needs_owner_ids.add(endpoint_id)
        elif has_ready_owner and vm.zone != endpoint.zone:
            self.cross_zone_ids.add(endpoint_id)

    def _remove(self, endpoint_id):
        self.needs_owner_ids.discard(endpoint_id)
        self.handover_ids.discard(endpoint_id)
        self.cross_zone_ids.discard(endpoint_id)
        service = self.service_by_id.pop(endpoint_id, None)
        owners = self.owner_by_id_by_service.get(service, {})
        session = owners.pop(endpoint_id, None)
        if not owners:
            self.owner_by_id_by_service.pop(service, None)
        if session in self.endpoint_ids_by_session:
            self.endpoint_ids_by_session[session].discard(endpoint_id)


def plan_assignments(state, index):
    """Return assignments for all endpoints that need an owner.

    Parameters
    ----------
    state : ControlState
    index : PlacementIndex
        Must be up to date with `state`.

    Returns
    -------
    tuple of Assignment
        For endpoints without an owner and for those of draining sessions.
    """
    if not index.needs_owner_ids:
        return ()
    pool = SessionPool(state, index.count_loads(state))
    new_owners_by_service = {}
    assignments = []
    for endpoint_id in sorted(index.needs_owner_ids):
        new_owners = new_owners_by_service.setdefault(
            index.service_by_id[endpoint_id], []
        )
        replica_owners = index.list_replica_owners(endpoint_id) + new_owners
        zone = state.endpoint_by_id[endpoint_id].zone
        session = pool.choose(zone, replica_owners)
        if not session:
            break
        new_owners.append(session)
        pool.record_move("", session)
        assignments.append(_build_assignment(state, endpoint_id, session))
    return tuple(assignments)


def _build_assignment(state, endpoint_id, session):
    ownership = state.ownership_by_id.get(endpoint_id)
    epoch = ownership.epoch if ownership else 0
    return state_module.Assignment(endpoint_id, session, epoch)


def plan_moves(state, index):
    """Return assignments that move endpoints to better owners.

    A better owner is in the endpoint's zone, or has less load.
    The number of concurrent moves is limited. At most one endpoint of a
    service moves at a time, so that a gatherer that does not know the new
    owner yet can use another replica.
    """
    loads = index.count_loads(state)
    if len(loads) < 2 or index.needs_owner_ids:
        return ()
    max_moves = max(
        MIN_CONCURRENT_MOVES, len(loads) // SESSIONS_PER_CONCURRENT_MOVE
    )
    max_moves -= len(index.handover_ids)
    plan = MovePlan(state, index, SessionPool(state, loads), max_moves)
    for endpoint_id in sorted(index.cross_zone_ids):
        zone = state.endpoint_by_id[endpoint_id].zone
        if plan.pool.has_zone(zone):
            plan.add_if_better(endpoint_id, True)
    for endpoint_id in _list_movable(state, index, plan.pool):
        plan.add_if_better(endpoint_id, False)
    return tuple(plan.moves)


def _list_movable(state, index, pool):
    """Return the endpoints of sessions with more load than others.

    A session is compared with the least loaded one of its zone. Endpoints
    that it owns across zones may move to any zone, so for these it is
    compared with the least loaded session of all.
    """
    min_load_by_zone = pool.get_min_load_by_zone()
    min_load = min(min_load_by_zone.values())
    movable = []
    for session in sorted(pool.loads, key=lambda s: (-pool.loads[s], s)):
        count = pool.loads[session]
        if count - min_load <= MAX_LOAD_DIFFERENCE:
            break
        ids = index.endpoint_ids_by_session[session]
        zone = state.vm_by_session[session].zone
        if count - min_load_by_zone[zone] <= MAX_LOAD_DIFFERENCE:
            ids = ids & index.cross_zone_ids
        movable.extend(sorted(ids))
    return movable


class MovePlan:
    """Moves planned in one round, and the loads that result from them."""

    def __init__(self, state, index, pool, max_moves):
        self.state = state
        self.index = index
        self.pool = pool
        self.max_moves = max_moves
        self.moves = []
        self.moving_services = {
            index.service_by_id[i] for i in index.handover_ids
        }

    def add_if_better(self, endpoint_id, to_own_zone: bool):
        """Plan to move an endpoint if there is a better owner for it.

        With `to_own_zone` the new owner has to be in the endpoint's zone;
        otherwise it has to have less load.
        """
        if len(self.moves) >= self.max_moves:
            return
        service = self.index.service_by_id[endpoint_id]
        if service in self.moving_services:
            return
        endpoint = self.state.endpoint_by_id[endpoint_id]
        owner = self.state.ownership_by_id[endpoint_id].session
        replica_owners = self.index.list_replica_owners(endpoint_id)
        target = self.pool.choose(endpoint.zone, replica_owners)
        if not self._is_better(
            endpoint, owner, target, replica_owners, to_own_zone
        ):
            return
        if not _has_ready_replica(self.state, self.index, endpoint_id):
            return
        self.pool.record_move(owner, target)
        self.moving_services.add(service)
        self.moves.append(_build_assignment(self.state, endpoint_id, target))

    def _is_better(self, endpoint, owner, target, replica_owners, to_own_zone):
        if target in ("", owner, *replica_owners):
            return False
        zone = self.state.vm_by_session[target].zone
        owner_zone = self.state.vm_by_session[owner].zone
        if to_own_zone:
            return zone == endpoint.zone
        if owner_zone == endpoint.zone != zone:
            return False
        difference = self.pool.loads[owner] - self.pool.loads[target]
        return difference > MAX_LOAD_DIFFERENCE


def _has_ready_replica(state, index, endpoint_id):
    """Tell whether another replica can serve while an endpoint is moved.

    It has to be owned and ready, and to hold all that the endpoint holds.
    """
    endpoint = state.endpoint_by_id[endpoint_id]
    for other_id in index.owner_by_id_by_service[endpoint.service]:
        other = state.endpoint_by_id[other_id]
        if other_id == endpoint_id or other.state != "ready":
            continue
        if set(endpoint.holdings) <= set(other.holdings):
            return True
    return False
