"""An entry's copy of the replicated tables, with routes and query plans."""

import logging
import typing
import zlib

from chervilspindle.core import logs
from chervilspindle.core import rows
from chervilspindle.query import coverage

LOGGER = logging.getLogger(__name__)

EMPTY_LISTS = rows.Lists(0, {}, {})
MAX_CACHED_PLANS = 512


def hash_key(key: str) -> int:
    """Return the slot of a key, in [0, KEY_SPACE)."""
    return zlib.crc32(key.encode()) % rows.KEY_SPACE


class Route(typing.NamedTuple):
    """The VM that may send work to an endpoint, and its epoch."""

    vm: rows.Vm
    epoch: int


class Directory:
    """Tables of one entry, kept current by deltas from control.

    `sole_owner` is set in the baseline without ownership: that session is
    treated as the owner of every endpoint.
    """

    def __init__(self):
        self.version = 0
        self.lists = EMPTY_LISTS
        self.vm_by_session = {}
        self.ready_vm_count = 0
        self.endpoint_by_id = {}
        self.ownership_by_id = {}
        self.ids_by_service = {}
        self.plan_by_query = {}
        self.handed_over_epoch_by_id = {}
        self.evacuated_zones = frozenset()
        self.listeners = []
        self.sole_owner = ""

    def apply_delta(self, delta) -> bool:
        """Apply a delta and notify the listeners.

        Versions and revisions only increase: an older delta, which may be
        delayed or come from a member that lags, is refused.

        Returns
        -------
        bool
            False if the delta was refused.
        """
        if delta.version < self.version:
            return False
        if delta.lists and delta.lists.revision < self.lists.revision:
            LOGGER.error("refused a delta with older customer and plan lists")
            return False
        changed_ids = set()
        if delta.full:
            changed_ids.update(self.endpoint_by_id)
            self._clear()
        self.version = delta.version
        if delta.lists is not None:
            self.lists = merge_lists(self.lists, delta.lists)
        self._apply_rows(delta, changed_ids)
        self._apply_evacuations(delta, changed_ids)
        if changed_ids or delta.vms or delta.gone_vms or delta.lists:
            self.plan_by_query.clear()
        for listener in self.listeners:
            listener(changed_ids)
        return True

    def list_services(self):
        """Return all services that were announced or are named in a plan."""
        names = set(self.ids_by_service)
        for plan in self.lists.plans_by_name.values():
            names.update(s for s in plan.services if not _is_pattern(s))
        return names

    def get_route(self, endpoint_id: str) -> Route | None:
        """Return the route to the current owner of an endpoint, or None.

        During a handover that is the previous owner, until the handover is
        known to be done.
        """
        ownership = self.ownership_by_id.get(endpoint_id)
        if ownership is None:
            return None
        handed_over_epoch = self.handed_over_epoch_by_id.get(endpoint_id)
        previous_vm = self.vm_by_session.get(ownership.previous)
        if previous_vm is not None and handed_over_epoch != ownership.epoch:
            return Route(previous_vm, ownership.epoch - 1)
        vm = self.vm_by_session.get(ownership.session)
        return Route(vm, ownership.epoch) if vm is not None else None

    def record_handover(self, endpoint_id: str, epoch: int):
        """Record that an endpoint was handed over under a new epoch."""
        self.handed_over_epoch_by_id[endpoint_id] = epoch

    def invalidate_route(self, endpoint_id: str, epoch: int) -> bool:
        """Record that the owner under `epoch` no longer serves an endpoint.

        Returns
        -------
        bool
            True if a later owner is known.
        """
        ownership = self.ownership_by_id.get(endpoint_id)
        if ownership is None or ownership.epoch <= epoch:
            return False
        if ownership.previous and ownership.epoch == epoch + 1:
            self.record_handover(endpoint_id, ownership.epoch)
        return True

    def is_usable(self, endpoint) -> bool:
        """Tell whether an endpoint is ready and has a known owner."""
        if endpoint.state != "ready":
            return False
        if endpoint.zone in self.evacuated_zones:
            return False
        return self.get_route(endpoint.endpoint_id) is not None

    def is_all_evacuated(self) -> bool:
        """Tell whether all endpoints are in evacuated zones."""
        if not self.evacuated_zones or not self.endpoint_by_id:
            return False
        return all(
            endpoint.zone in self.evacuated_zones
            for endpoint in self.endpoint_by_id.values()
        )

    def plan_query(self, services, key_slot=None, excluded=frozenset()):
        """Return the plan of a query, cached; see `coverage.plan_query`."""
        query = (services, key_slot, excluded)
        plan = self.plan_by_query.get(query)
        if plan is not None:
            return plan
        endpoints_by_service = {
            service: [
                self.endpoint_by_id[i]
                for i in self.ids_by_service.get(service, ())
            ]
            for service in services
        }
        plan = coverage.plan_query(
            endpoints_by_service,
            self.is_usable,
            key_slot,
            excluded,
            self.evacuated_zones,
        )
        if len(self.plan_by_query) >= MAX_CACHED_PLANS:
            self.plan_by_query.clear()
        self.plan_by_query[query] = plan
        return plan

    def _clear(self):
        self.vm_by_session = {}
        self.endpoint_by_id = {}
        self.ownership_by_id = {}
        self.ids_by_service = {}

    def _apply_rows(self, delta, changed_ids):
        """Apply the rows of a delta; add changed endpoints to `changed_ids`.

        The cost is proportional to the size of the delta, not of the tables.
        """
        for vm in delta.vms:
            self.vm_by_session[vm.session] = vm
        for session in delta.gone_vms:
            self.vm_by_session.pop(session, None)
        if delta.vms or delta.gone_vms or delta.full:
            states = [vm.state for vm in self.vm_by_session.values()]
            self.ready_vm_count = states.count("ready")
        for endpoint in delta.endpoints:
            self._store_endpoint(endpoint)
            changed_ids.add(endpoint.endpoint_id)
        for endpoint_id in delta.gone_endpoints:
            self._remove_endpoint(endpoint_id)
            changed_ids.add(endpoint_id)
        for ownership in delta.ownerships:
            changed_ids.add(ownership.endpoint_id)
            if not ownership.previous:
                self.handed_over_epoch_by_id.pop(ownership.endpoint_id, None)
            if not self.sole_owner:
                self.ownership_by_id[ownership.endpoint_id] = ownership

    def _apply_evacuations(self, delta, changed_ids):
        """Apply evacuated zones; add their endpoints to `changed_ids`."""
        before = self.evacuated_zones
        after = set() if delta.full else set(before)
        after.update(row.zone for row in delta.evacuations)
        after.difference_update(delta.gone_evacuations)
        changed = before.symmetric_difference(after)
        if not changed:
            return
        self.evacuated_zones = frozenset(after)
        self.plan_by_query.clear()
        for zone in sorted(changed):
            logs.log_decision(
                "zone-evacuated" if zone in after else "zone-returned",
                zone=zone,
            )
        if self.is_all_evacuated():
            logs.log_decision("all-zones-evacuated", evacuated=sorted(after))
        changed_ids.update(
            endpoint_id
            for endpoint_id, endpoint in self.endpoint_by_id.items()
            if endpoint.zone in changed
        )

    def _store_endpoint(self, endpoint):
        endpoint_id = endpoint.endpoint_id
        current = self.endpoint_by_id.get(endpoint_id)
        if current is not None and current.service != endpoint.service:
            self._remove_endpoint(endpoint_id)
        self.endpoint_by_id[endpoint_id] = endpoint
        ids = self.ids_by_service.setdefault(endpoint.service, {})
        ids[endpoint_id] = True
        if self.sole_owner:
            self.ownership_by_id[endpoint_id] = rows.Ownership(
                endpoint_id, self.sole_owner, 1
            )

    def _remove_endpoint(self, endpoint_id):
        """Remove an endpoint; its service stays listed, as missing."""
        current = self.endpoint_by_id.pop(endpoint_id, None)
        self.ownership_by_id.pop(endpoint_id, None)
        self.handed_over_epoch_by_id.pop(endpoint_id, None)
        if current is not None:
            self.ids_by_service[current.service].pop(endpoint_id, None)


def merge_lists(lists: rows.Lists, delta) -> rows.Lists:
    """Return the lists after a `ListsDelta` is applied."""
    customers = {} if delta.full else dict(lists.customers_by_name)
    plans = {} if delta.full else dict(lists.plans_by_name)
    customers.update((row.name, row) for row in delta.customers)
    plans.update((row.name, row) for row in delta.plans)
    for name in delta.gone_customers:
        customers.pop(name, None)
    for name in delta.gone_plans:
        plans.pop(name, None)
    return rows.Lists(delta.revision, customers, plans)


def _is_pattern(text: str) -> bool:
    return any(c in text for c in "*?[")
