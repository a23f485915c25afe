"""Opens connections to endpoints ahead of the queries that need them.

Endpoints close idle connections, so an entry with few queries would have to
connect to every shard when the next query arrives. For many shards, a VM
with a fraction of a core would spend more time on that than the latency
objective allows.

Where endpoints accept too few connections for all entries, connections that
are not prewarmed are closed soon after use, so that no entry is refused
because of idle connections of another one.
"""

import math
import zlib

from chervilspindle.core import logs

INTERVAL_S = 0.25
MAX_OPENED_PER_INTERVAL = 8  # spreads the CPU time of connecting
CONNECT_CORE_MS = 0.15  # CPU time per connection, on a whole core
# Share of the objective that connecting takes. Below it, prewarming is not
# worth the connections that it holds.
MIN_CONNECT_SHARE = 0.1
RETRY_DELAY_S = 2.0  # after a failed connection attempt
SCARCE_IDLE_S = 1.0  # maximum idle time where connections are scarce
SCARCE_CONNECTIONS_PER_ENTRY = 2.0  # with fewer, they count as scarce


def is_prewarming_needed(
    shards: int, objective_ms: float, core_share: float
) -> bool:
    """Tell whether connecting would delay a query too much.

    Parameters
    ----------
    shards : int
        Connections that the query needs.
    objective_ms : float
        Latency objective; 0 if there is none.
    core_share : float
        Share of a CPU core that the process may use.
    """
    if not objective_ms:
        return False
    connect_ms = shards * CONNECT_CORE_MS / core_share
    return connect_ms > MIN_CONNECT_SHARE * objective_ms


class ConnectionPrewarmer:
    """Periodically opens the connections that this VM's queries need.

    Parameters
    ----------
    entry : RoutingEntry
    timers : TimerService
    vm_id : str
    core_share : float
        Share of a CPU core that the process may use.
    """

    def __init__(self, entry, timers, vm_id, core_share):
        self.entry = entry
        self.vm_id = vm_id
        self.core_share = core_share
        self.plan_key = None
        self.prewarmed_pools = ()
        timers.subscribe("connection-prewarmer", INTERVAL_S, self.maintain)

    def maintain(self):
        """Update the plan, close scarce connections, open missing ones."""
        document = self.entry.document
        if document is None or self.entry.draining:
            return
        table = self.entry.context.table
        relays = self.entry.context.relays.table
        key = (document.version, table.revision, relays.revision)
        if key != self.plan_key:
            self.plan_key = key
            self._plan(document, table, relays)
        now = self.entry.context.loop.time()
        self._close_scarce_idle(table, now)
        remaining = MAX_OPENED_PER_INTERVAL
        for pool in self.prewarmed_pools:
            if pool.count or now - pool.failed_s < RETRY_DELAY_S:
                continue
            pool.open_idle()
            remaining -= 1
            if not remaining:
                return

    def _plan(self, document, table, relays):
        """Choose the endpoints to keep connections open to.

        They serve the shards for which this VM is a relay, and those that
        this entry sends directly.
        """
        services = relays.list_relayed_services()
        for route in document.routes:
            if is_prewarming_needed(
                len(route.shards), route.objective_ms, self.core_share
            ):
                groups = relays.get_groups(route.shards)
                services.update(
                    set(route.shards).difference(*(g.services for g in groups))
                )
        prewarmed_pools = [
            self._choose_pool(table, s) for s in sorted(services)
        ]
        prewarmed_pools = tuple(
            pool for pool in prewarmed_pools if pool is not None
        )
        if len(prewarmed_pools) != len(self.prewarmed_pools):
            logs.log_decision(
                "connections-kept", endpoints=len(prewarmed_pools)
            )
        self.prewarmed_pools = prewarmed_pools

    def _close_scarce_idle(self, table, now):
        """Close idle connections that are scarce and not prewarmed."""
        kept = set(map(id, self.prewarmed_pools))
        for target in table.target_by_id.values():
            limit = table.connections_by_service.get(
                target.endpoint.service, 0
            )
            scarce = 0 < limit < SCARCE_CONNECTIONS_PER_ENTRY * table.vms
            if scarce and id(target.pool) not in kept:
                target.pool.max_idle_s = SCARCE_IDLE_S
                target.pool.close_stale(now)
            else:
                target.pool.max_idle_s = math.inf

    def _choose_pool(self, table, service):
        """Return the pool to prewarm for a service, None without endpoints.

        Endpoints of evacuated zones don't count.

        Chosen by rendezvous hashing among the endpoints of this zone, which
        queries from this VM prefer, or among all if this zone has none.
        """
        targets = [
            target
            for target in table.targets_by_service.get(service, {}).values()
            if not target.restrictions.zone_out
        ]
        if not targets:
            return None
        local = [t for t in targets if t.same_zone]
        chosen = min(
            local or targets,
            key=lambda t: zlib.crc32(
                f"{self.vm_id} {t.endpoint.endpoint_id}".encode()
            ),
        )
        return chosen.pool
