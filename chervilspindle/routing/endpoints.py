"""Table of the endpoints this VM may send to, and selection among them."""

import collections
import logging
import math
import typing

from chervilspindle.core import endpoint_checks
from chervilspindle.core import logs
from chervilspindle.core import rows
from chervilspindle.policy import spreading
from chervilspindle.policy import stated_speed
from chervilspindle.routing import evacuations
from chervilspindle.routing import overload
from chervilspindle.routing import permission
from chervilspindle.routing import rate_permits
from chervilspindle.routing import selection
from chervilspindle.wire import endpoint_http

LOGGER = logging.getLogger(__name__)

MIN_CONNECTIONS = 2  # one stalled connection must not block an endpoint
MAX_CONNECTIONS = 12
MAX_TOTAL_CONNECTIONS = 1 << 20  # of an endpoint, from all VMs
CONNECTION_SHARE = 0.8  # the rest is for VMs that control has not counted
MAX_LEAVING_PROCESSES = 1024  # that are remembered after they were dropped
USABLE_STATES = ("ready", "warming")
NO_ENDPOINT = "no_endpoint"  # reason of a request without an endpoint


class Target(typing.NamedTuple):
    """An endpoint with its connection pool and its health."""

    endpoint: rows.Endpoint
    pool: endpoint_http.EndpointPool
    health: selection.Health
    restrictions: permission.Restrictions
    same_zone: bool


class EndpointTable:
    """Endpoints by service, updated from the replicated tables of control.

    Parameters
    ----------
    loop : asyncio.AbstractEventLoop
    zone : str
        Zone of this VM.
    id_header : bytes
        Lower-case name of the request id header, which endpoints echo.
    random : random.Random
    on_event : callable
        ``on_event(name)``, called to count connection events.
    receive_budget : receive_limits.ReceiveBudget
        For the answers of all endpoints together.

    Attributes
    ----------
    evacuations : evacuations.Evacuations
    on_held_back : callable
        ``on_held_back(reason)``, called for each request that is chosen anew
        because its endpoint may no longer be sent to.
    """

    def __init__(
        self, loop, zone, id_header, random, on_event, receive_budget
    ):
        self.loop = loop
        self.zone = zone
        self.id_header = id_header
        self.random = random
        self.on_event = on_event
        self.receive_budget = receive_budget
        self.link_observer = endpoint_http.LinkObserver()
        self.loads = None  # a `spreading.LoadMemory` where load is spread
        self.persistence = stated_speed.build_persistence()
        self.vms = 1
        self.revision = 0  # incremented when an endpoint is put or dropped
        self.connections_by_service = {}
        self.target_by_id = {}
        # Ids and incarnations of dropped endpoints that said they are leaving.
        self.leaving_processes = collections.OrderedDict()
        self.targets_by_service = {}
        self.evacuations = evacuations.Evacuations()
        self.cold_rule = None
        self.cold_service_by_name = {}
        self.on_held_back = _ignore

    def put(self, endpoint: rows.Endpoint):
        """Add or update an endpoint; drop it if its state is not usable.

        The connection pool and health are kept as long as the endpoint is
        the same process.

        Raises
        ------
        ValueError
            If no request can be sent to it; it is dropped.
        """
        current = self.target_by_id.get(endpoint.endpoint_id)
        if endpoint.state not in USABLE_STATES:
            self.drop(endpoint.endpoint_id, endpoint.state)
            return
        if current is not None and _is_same_process(
            current.endpoint, endpoint
        ):
            target = current._replace(endpoint=endpoint)
            target.restrictions.zone_out = self._is_zone_out(endpoint)
        elif mistake := endpoint_checks.find_mistake(endpoint):
            self.drop(endpoint.endpoint_id, "unusable")
            raise ValueError(mistake)
        else:
            self.drop(endpoint.endpoint_id, "replaced")
            target = self._build(endpoint)
            logs.log_decision(
                "endpoint-added",
                endpoint=endpoint.endpoint_id,
                service=endpoint.service,
                incarnation=endpoint.incarnation,
            )
        self.revision += 1
        self.target_by_id[endpoint.endpoint_id] = target
        targets = self.targets_by_service.setdefault(endpoint.service, {})
        targets[endpoint.endpoint_id] = target
        # Its zone may have changed.
        self._hold_back_evacuated(target)
        self._apply_cold(target, current)

    def apply_evacuations(self, changed, gone, full: bool):
        """Apply changed evacuations of zones to all endpoints.

        Requests that wait for a connection to an endpoint of such a zone are
        chosen anew.

        Parameters
        ----------
        changed : sequence of rows.ZoneEvacuation
        gone : sequence of str
        full : bool
            See `evacuations.Evacuations.apply`.

        Returns
        -------
        evacuations.EvacuationChange
        """
        now = self.loop.time()
        change = self.evacuations.apply(changed, gone, full, now)
        if change == evacuations.NO_CHANGE:
            return change
        self.revision += 1
        targets = list(self.target_by_id.values())
        # All are closed before the first request is chosen anew.
        for target in targets:
            target.restrictions.zone_out = self._is_zone_out(target.endpoint)
        for target in targets:
            self._hold_back_evacuated(target)
        return change

    def _is_zone_out(self, endpoint) -> bool:
        return endpoint.zone in self.evacuations.row_by_zone

    def _hold_back_evacuated(self, target):
        if target.restrictions.zone_out:
            self.hold_back_waiting(target, permission.ZONE_OUT)

    def has_evacuated(self, service: str) -> bool:
        """Tell whether a service has an endpoint that only its zone closes."""
        return bool(self.evacuations.row_by_zone) and any(
            target.restrictions.closed_reason == permission.ZONE_OUT
            for _, target in self._list_targets(service)
        )

    def explain_absence(self, service: str) -> str:
        """Return why no endpoint of a service can be chosen."""
        if self.has_evacuated(service):
            return permission.ZONE_OUT
        return NO_ENDPOINT

    def is_all_evacuated(self) -> bool:
        """Tell whether all endpoints are in evacuated zones."""
        if not self.evacuations.row_by_zone or not self.target_by_id:
            return False
        return all(t.restrictions.zone_out for t in self.target_by_id.values())

    def set_services(self, service_by_name):
        """Apply what a document states of the services' endpoints.

        Parameters
        ----------
        service_by_name : dict of str to documents.Service
        """
        self.cold_service_by_name = {
            name: service
            for name, service in service_by_name.items()
            if service.cold_start_s or service.cold_requests_per_s
        }
        for target in self.target_by_id.values():
            self._set_cold_limit(target)

    def _set_cold_limit(self, target):
        service = self.cold_service_by_name.get(target.endpoint.service)
        per_s, longest_s = None, 0.0
        if service is not None:
            longest_s = service.cold_start_s
            if self.cold_rule is not None and service.cold_requests_per_s > 0:
                share = self.cold_rule.overload / rate_permits.COLD_OVERLOAD
                per_s = service.cold_requests_per_s * min(1.0, share)
        permission.set_cold_limit(target.restrictions, per_s, longest_s)

    def _apply_cold(self, target, previous):
        """Apply whether control says that an endpoint is cold.

        Only what has changed is applied: the endpoint's own answers may be
        newer than the row.
        """
        restrictions = target.restrictions
        is_kept = (
            previous is not None and previous.restrictions is restrictions
        )
        was_cold = is_kept and previous.endpoint.state == "warming"
        endpoint = target.endpoint
        if endpoint.state != "warming":
            if was_cold:
                permission.record_cold(restrictions, 0.0, self.loop.time())
        elif not was_cold or previous.endpoint.sequence != endpoint.sequence:
            left_s = endpoint.cold_left_ms / 1000.0 or None
            permission.record_cold(restrictions, left_s, self.loop.time())
            self._set_cold_limit(target)
            if restrictions.cold_per_s:
                self.hold_back_waiting(target, permission.COLD)

    def hold_back_waiting(self, target: Target, reason: str):
        """Choose the requests anew that wait for a connection."""
        for _ in range(target.pool.hold_back_waiting()):
            self.on_held_back(reason)

    def drop(self, endpoint_id: str, reason: str):
        """Remove an endpoint; requests in progress there may complete."""
        target = self.target_by_id.pop(endpoint_id, None)
        if target is None:
            return
        self.revision += 1
        service = target.endpoint.service
        del self.targets_by_service[service][endpoint_id]
        if not self.targets_by_service[service]:
            del self.targets_by_service[service]
        if target.restrictions.leaving:
            self._remember_leaving(target.endpoint)
        target.pool.close()
        logs.log_decision(
            "endpoint-dropped",
            endpoint=endpoint_id,
            service=service,
            address=target.endpoint.address,
            why=reason,
        )

    def _remember_leaving(self, endpoint):
        """Remember an endpoint in case control names it again."""
        self.leaving_processes[_get_process_key(endpoint)] = True
        while len(self.leaving_processes) > MAX_LEAVING_PROCESSES:
            self.leaving_processes.popitem(last=False)

    def retain(self, endpoint_ids):
        """Drop all endpoints except those with the given ids."""
        for endpoint_id in list(self.target_by_id):
            if endpoint_id not in endpoint_ids:
                self.drop(endpoint_id, "unknown to control")

    def set_connections(self, connections_by_service, vms: int):
        """Set how many connections endpoints accept, shared by the VMs.

        Parameters
        ----------
        connections_by_service : dict of str to int
            Connections that each endpoint of a service accepts.
        vms : int
            Number of VMs that share them.
        """
        self.vms = max(1, vms)
        self.connections_by_service = connections_by_service
        for target in self.target_by_id.values():
            limit = self._get_limit(target.endpoint.service)
            target.pool.max_connections = limit

    def count_endpoints(self, service: str) -> int:
        """Return the number of usable endpoints of a service.

        Those of evacuated zones don't count.
        """
        return len(self._list_in_use(service))

    def list_zones(self) -> dict[str, set[str]]:
        """Return the zones in which each service has usable endpoints."""
        return {
            service: {t.endpoint.zone for t in targets.values()}
            for service, targets in self.targets_by_service.items()
        }

    def list_healths(self, service: str) -> list:
        """Return the health of each endpoint of a service.

        Those of evacuated zones are left out: their load tells nothing of the
        load of the others.
        """
        if self.evacuations.row_by_zone:
            return [t.health for t in self._list_in_use(service)]
        targets = self.targets_by_service.get(service, {})
        return [t.health for t in targets.values()]

    def _list_in_use(self, service):
        targets = self.targets_by_service.get(service, {}).values()
        if not self.evacuations.row_by_zone:
            return targets
        return [t for t in targets if not t.restrictions.zone_out]

    def find_mean_load(self, services, since_s: float) -> float:
        """Return the mean load per slot that was stated since a time.

        Negative if no endpoint of the services has stated one.
        """
        loads = [
            min(health.load / health.slots, overload.MAX_OCCUPANCY)
            for service in services
            for health in self.list_healths(service)
            if health.load_s >= since_s
        ]
        return sum(loads) / len(loads) if loads else -1.0

    def estimate_wait_ms(self, service: str, work_ms: float) -> float:
        """Return how long a request would wait at the least loaded endpoint.

        By the loads that endpoints stated; 0 if nothing is known.
        """
        now = self.loop.time()
        return min(
            (
                overload.estimate_wait_ms(health, now, work_ms)
                for health in self.list_healths(service)
            ),
            default=0.0,
        )

    def find_work_ms(self, service: str) -> float:
        """Return the lowest typical response time of a service, in ms."""
        return find_best_ms(self.targets_by_service.get(service, {}).values())

    def can_hedge(
        self, service: str, excluded, left_ms: float = math.inf
    ) -> bool:
        """Tell whether a hedge would be answered by an unused slot in time.

        An endpoint outside `excluded` has a free slot and no limit, and does
        not state that it is too slow.

        Parameters
        ----------
        service : str
        excluded : collection of str
            Ids of endpoints.
        left_ms : float
            Time until the answer is due.
        """
        now = self.loop.time()
        targets = self.targets_by_service.get(service, {})
        return any(
            overload.has_free_slot(target.health, now)
            and not self._is_too_slow(target.health, left_ms, now)
            for endpoint_id, target in targets.items()
            if endpoint_id not in excluded
            and not permission.evaluate(target.restrictions, now).reason
        )

    def _is_too_slow(self, health, left_ms, now) -> bool:
        """Tell whether an endpoint states that it takes too long."""
        if health.slowness_s is None or health.recent_ms is None:
            return False
        slowness = selection.estimate_slowness(health, self.persistence, now)
        return slowness > 1.0 and health.recent_ms * slowness > left_ms

    def read_slowness(self, endpoint_id: str) -> float:
        """Return the expected time of work at an endpoint, 1 if usual."""
        target = self.target_by_id.get(endpoint_id)
        if target is None or target.health.slowness_s is None:
            return 1.0
        now = self.loop.time()
        return selection.estimate_slowness(
            target.health, self.persistence, now
        )

    def is_open(self, service: str, excluded, by_s: float) -> bool:
        """Tell whether an endpoint may be sent to at a loop time."""
        return any(
            permission.evaluate(target.restrictions, by_s).allowed
            for endpoint_id, target in self._list_targets(service)
            if endpoint_id not in excluded
        )

    def find_opening_s(self, service: str) -> float:
        """Return the loop time from which an endpoint may be sent to.

        Infinite without endpoints.
        """
        now = self.loop.time()
        opening_s = math.inf
        for _, target in self._list_targets(service):
            verdict = permission.evaluate(target.restrictions, now)
            if verdict.allowed:
                return now
            opening_s = min(opening_s, verdict.retry_s)
        return opening_s

    def _list_targets(self, service):
        return self.targets_by_service.get(service, {}).items()

    def choose(
        self,
        service: str,
        excluded=(),
        objective_ms: float = 0.0,
        is_hedge: bool = False,
    ) -> Target | None:
        """Return the endpoint with the lowest cost, or None if none is left.

        A random surcharge of up to 10 % spreads requests over endpoints of
        similar cost. If none may be sent to now, the one that may be first
        is returned. Hedges go to no endpoint that names a limit.

        Parameters
        ----------
        service : str
        excluded : collection of str
            Ids of endpoints.
        objective_ms : float
            Latency objective of the request; 0 if it has none.
        is_hedge : bool
        """
        best = None
        best_cost = 0.0
        first_opening = None
        opening_s = math.inf
        now = self.loop.time()
        targets = self.targets_by_service.get(service)
        if not targets:
            return None
        if self.evacuations.returned_s_by_zone:
            excluded = self._exclude_returning(service, excluded, now)
        best_ms = find_best_ms(targets.values())
        other_zone_ms = selection.compute_other_zone_penalty(objective_ms)
        for target in targets.values():
            if target.endpoint.endpoint_id in excluded:
                continue
            verdict = permission.evaluate(target.restrictions, now)
            if is_hedge and verdict.needs_permit:
                continue
            if not verdict.allowed:
                if verdict.retry_s < opening_s:
                    first_opening, opening_s = target, verdict.retry_s
                continue
            cost = self.compute_cost(
                target, now, best_ms, other_zone_ms, is_hedge
            )
            if verdict.reason == permission.COLD:
                cost += selection.COLD_LIMIT_PENALTY_MS
            cost *= 1.0 + 0.1 * self.random.random()
            if best is None or cost < best_cost:
                best, best_cost = target, cost
        return best or first_opening

    def _exclude_returning(self, service, excluded, now):
        """Exclude endpoints of returning zones as well, if others are open."""
        avoided = self.evacuations.draw_avoided(now, self.random)
        if not avoided:
            return excluded
        extended = (
            *excluded,
            *(
                endpoint_id
                for endpoint_id, target in self._list_targets(service)
                if target.endpoint.zone in avoided
            ),
        )
        return extended if self.is_open(service, extended, now) else excluded

    def compute_cost(
        self, target, now, best_ms, other_zone_ms, is_hedge=False
    ) -> float:
        """Return the cost of sending to an endpoint; see `selection`."""
        pool = target.pool
        view = selection.CandidateState(
            len(pool.running),
            pool.get_oldest_age_s(now) * 1000.0,
            target.same_zone,
            target.endpoint.state == "warming"
            or target.restrictions.cold_until_s > now,
            pool.has_room(),
        )
        health = target.health
        slowness = 1.0
        if is_hedge and health.slowness_s is not None:
            slowness = selection.estimate_slowness(
                health, self.persistence, now
            )
        waiting = None
        if self.loads is not None:
            waiting = self._draw_waiting(target, now)
        return selection.compute_cost(
            health, view, now, best_ms, other_zone_ms, slowness, waiting
        )

    def _draw_waiting(self, target, now) -> float:
        health = target.health
        load_s = health.load_s
        running = target.pool.running
        sent_since = 0
        if running:
            sent_since = sum(s > load_s for s in running.values())
        return spreading.draw_waiting(
            self.loads,
            target.endpoint.zone,
            health.load,
            load_s,
            sent_since,
            len(running),
            health.slots,
            now,
            self.random,
        )

    def record_load(
        self, target: Target, running: int, waiting: int, slots: int
    ):
        """Record the load that an endpoint stated with an answer."""
        now = self.loop.time()
        health = target.health
        earlier, earlier_s = health.load, health.load_s
        selection.record_load(health, running, waiting, slots, now)
        if self.loads is not None:
            self.loads.observe(target.endpoint.zone, health.load, now)
            if earlier_s:
                self.loads.persistence.observe(
                    earlier, health.load, now - earlier_s
                )

    def _build(self, endpoint):
        pool = endpoint_http.EndpointPool(
            self.loop,
            endpoint.address,
            self.id_header,
            self._get_limit(endpoint.service),
            self.on_event,
            self.receive_budget,
        )
        pool.link_observer = self.link_observer
        restrictions = permission.Restrictions(endpoint.endpoint_id)
        process_key = _get_process_key(endpoint)
        restrictions.leaving = process_key in self.leaving_processes
        restrictions.zone_out = self._is_zone_out(endpoint)
        target = Target(
            endpoint,
            pool,
            selection.Health(endpoint.slots),
            restrictions,
            endpoint.zone == self.zone,
        )
        self._set_cold_limit(target)
        return target

    def _get_limit(self, service):
        total = self.connections_by_service.get(service, 0)
        # A stored document may have a number beyond the range of a float.
        total = max(0, min(total, MAX_TOTAL_CONNECTIONS))
        share = int(total * CONNECTION_SHARE / self.vms)
        return max(MIN_CONNECTIONS, min(MAX_CONNECTIONS, share))


def _ignore(reason):
    """Count nothing."""


def find_best_ms(targets) -> float:
    """Return the lowest typical response time of some endpoints, in ms."""
    best = math.inf
    for target in targets:
        typical = target.health.baseline_ms
        if typical is not None and typical < best:
            best = typical
    return selection.INITIAL_ANSWER_MS if best == math.inf else best


def _get_process_key(endpoint):
    return endpoint.endpoint_id, endpoint.incarnation


def _is_same_process(current, endpoint):
    return (current.incarnation, current.address, current.service) == (
        endpoint.incarnation,
        endpoint.address,
        endpoint.service,
    )
