"""Keeps connections open to the endpoints that the next query will need.

Where endpoints accept fewer connections than there are entries, the others
are closed soon after use, so that no entry is turned away for connections
that another one holds idle.

An entry with few queries finds its connections closed by the endpoints when
the next one comes. Opening one for each of many shards at that moment costs
a VM with a part of a core more time than the query has.
"""

import math
import zlib

from chervilspindle.core import logs

TICK_S = 0.25
OPENED_A_TICK = 8  # spreads the processor time of opening
CONNECT_CORE_MS = 0.15  # processor time of one connection, on a whole core
KEEP_SHARE = 0.1  # of the objective; less is not worth the connections
PAUSE_S = 2.0  # after a connection that failed
SPARE_S = 1.0  # idle time of a connection where they are scarce
SCARCE_SHARE = 2.0  # connections of an endpoint for each entry


def is_worth_keeping(
    shards: int, objective_ms: float, core_share: float
) -> bool:
    """Tell whether opening connections would take a query too long."""
    if not objective_ms:
        return False
    opening_ms = shards * CONNECT_CORE_MS / core_share
    return opening_ms > KEEP_SHARE * objective_ms


class ConnectionKeeper:
    """Opens connections ahead of queries.

    Parameters
    ----------
    entry : RoutingEntry
    timers : TimerService
    vm_id : str
    core_share : float
        Part of a core that the process may use.
    """

    def __init__(self, entry, timers, vm_id, core_share):
        self.entry = entry
        self.vm_id = vm_id
        self.core_share = core_share
        self.planned_for = None
        self.homes = ()
        timers.subscribe("connection-keeper", TICK_S, self.tick)

    def tick(self):
        """Open some of the connections that are missing."""
        document = self.entry.document
        if document is None or self.entry.draining:
            return
        table = self.entry.context.table
        relays = self.entry.context.relays.table
        basis = (document.version, table.revision, relays.revision)
        if basis != self.planned_for:
            self.planned_for = basis
            self._plan(document, table, relays)
        now = self.entry.context.loop.time()
        self._close_spare(table, now)
        left = OPENED_A_TICK
        for pool in self.homes:
            if pool.count or now - pool.failed_s < PAUSE_S:
                continue
            pool.open_idle()
            left -= 1
            if not left:
                return

    def _plan(self, document, table, relays):
        """Find the endpoints whose connections are kept."""
        services = relays.list_relayed_services()
        for route in document.routes:
            if relays.get_groups(route.shards):
                continue
            if is_worth_keeping(
                len(route.shards), route.objective_ms, self.core_share
            ):
                services.update(route.shards)
        homes = [self._find_home(table, s) for s in sorted(services)]
        homes = tuple(pool for pool in homes if pool is not None)
        if len(homes) != len(self.homes):
            logs.log_decision("connections-kept", endpoints=len(homes))
        self.homes = homes

    def _close_spare(self, table, now):
        """Close what is idle at other endpoints with few connections."""
        kept = set(map(id, self.homes))
        for target in table.target_by_id.values():
            limit = table.connections_by_service.get(
                target.endpoint.service, 0
            )
            scarce = 0 < limit < SCARCE_SHARE * table.vms
            if scarce and id(target.pool) not in kept:
                target.pool.keep_s = SPARE_S
                target.pool.close_stale(now)
            else:
                target.pool.keep_s = math.inf

    def _find_home(self, table, service):
        """Return the pool that queries from this VM use first."""
        targets = table.targets_by_service.get(service)
        if not targets:
            return None
        near = [t for t in targets.values() if t.same_zone]
        chosen = min(
            near or targets.values(),
            key=lambda t: zlib.crc32(
                f"{self.vm_id} {t.endpoint.endpoint_id}".encode()
            ),
        )
        return chosen.pool
