"""Logs and metrics of evacuated zones, at entries and control members."""

from chervilspindle.control import evacuations as control_evacuations
from chervilspindle.core import logs
from chervilspindle.routing import evacuations


class EntryMonitor:
    """Applies changed evacuations to the endpoints of an entry.

    Parameters
    ----------
    context : endpoint_calls.Context
    """

    def __init__(self, context):
        self.table = context.table
        self.relay_table = context.relays.table
        self.metrics = context.metrics
        self.loop = context.loop
        self.random = context.random
        self.all_evacuated = False

    def apply(self, delta):
        """Apply the evacuations of a delta."""
        change = self.table.apply_evacuations(
            delta.evacuations, delta.gone_evacuations, delta.full
        )
        if not (change.evacuated or change.returned):
            return
        row_by_zone = self.table.evacuations.row_by_zone
        for zone in change.evacuated:
            logs.log_decision(
                "zone-evacuated",
                zone=zone,
                since_ms=row_by_zone[zone].since_ms,
            )
        for zone in change.returned:
            logs.log_decision("zone-returned", zone=zone)
            self.loop.call_later(
                evacuations.draw_relays_delay_s(self.random),
                self.relay_table.use_zone,
                zone,
            )
        self.relay_table.set_evacuated_zones(row_by_zone)
        self.metrics.set_evacuated_zones(row_by_zone)

    def check_all_evacuated(self):
        """Tell operators when nothing can be sent to any endpoint."""
        all_evacuated = self.table.is_all_evacuated()
        if all_evacuated == self.all_evacuated:
            return
        self.all_evacuated = all_evacuated
        self.metrics.set_all_evacuated(all_evacuated)
        logs.log_decision(
            "all-zones-evacuated",
            all_evacuated=all_evacuated,
            evacuated=sorted(self.table.evacuations.row_by_zone),
        )


class MemberMonitor:
    """Keeps the metrics of a control member up to date.

    Parameters
    ----------
    node : ControlNode
    metrics : RoutingMetrics
    """

    def __init__(self, node, metrics):
        self.node = node
        self.metrics = metrics
        self.shown = None
        node.applied_listeners.append(self._show)

    def _show(self):
        tables = self.node.tables
        row_by_zone = tables.evacuation_by_zone
        if row_by_zone is self.shown:
            return
        self.shown = row_by_zone
        zones = control_evacuations.list_zones_in_use(tables)
        self.metrics.set_evacuated_zones(row_by_zone)
        self.metrics.set_all_evacuated(
            bool(zones) and all(zone in row_by_zone for zone in zones)
        )
