"""Which entries gather shards for others, and for which of them.

A query over many shards takes a VM with a part of a core and a slow link a
large part of its objective. Its shards are then divided into groups, and
each group goes through an entry of the same zone that gathers for it. A
group has few such entries, so their connections to its endpoints stay in
use while each entry by itself has a query every few seconds only.
"""

import math
import typing
import zlib

from chervilspindle.core import logs
from chervilspindle.wire import messages

SHARD_CORE_MS = 0.05  # processor time of one shard, on a whole core
SHARD_BYTES = 400  # a part with its headers
ALONE_SHARE = 0.1  # of the objective that a group may take its relay
LEAST_GROUP = 8  # shards; smaller groups cost more messages than they save
LEAST_RELAYS = 2  # of a group in a zone, so that one may be lost
# Queries of a zone for each relay of a group: with fewer, a relay would see
# its endpoints too seldom to know which are slow; with many more, it is busy.
QUERIES_PER_RELAY_S = 10.0
FAILURE_MEMORY_S = 8.0  # longer than an entry waits for its next query


class Group(typing.NamedTuple):
    """Shards that are gathered together.

    Parameters
    ----------
    services : tuple of str
    spread : int
        Number of groups of the same query.
    """

    services: tuple[str, ...]
    spread: int


def count_groups(
    shards: int, objective_ms: float, core_share: float, link_mbps: float
) -> int:
    """Return into how many groups the shards of a query are divided.

    Parameters
    ----------
    shards : int
    objective_ms : float
        Of the most urgent route; 0 if none has one.
    core_share : float
        Part of a core that an entry has.
    link_mbps : float
        Bandwidth of an entry's link, in Mbit/s.

    Returns
    -------
    int
        1 where an entry sends to all endpoints itself.
    """
    if not objective_ms:
        return 1
    link_ms = SHARD_BYTES * 8 / (link_mbps * 1000.0)
    alone_ms = shards * (SHARD_CORE_MS / core_share + link_ms)
    wanted = math.ceil(alone_ms / (ALONE_SHARE * objective_ms))
    return max(1, min(wanted, shards // LEAST_GROUP))


def divide(services, groups: int) -> tuple[Group, ...]:
    """Divide shards into groups of nearly the same size."""
    count = len(services)
    edges = [count * i // groups for i in range(groups + 1)]
    return tuple(
        Group(tuple(services[start:end]), groups)
        for start, end in zip(edges, edges[1:])
    )


def count_relays(near: int, spread: int, queries_per_s: float) -> int:
    """Return how many relays a group has in a zone.

    Parameters
    ----------
    near : int
        Entries of the zone.
    spread : int
        Groups that divide them.
    queries_per_s : float
        Of the zone.
    """
    wanted = count_wanted(queries_per_s)
    return max(LEAST_RELAYS, min(wanted, math.ceil(near / spread)))


def count_wanted(queries_per_s: float) -> int:
    """Return how many relays the queries of a zone need for each group.

    Doubling steps keep the relays the same while the rate varies.
    """
    wanted = LEAST_RELAYS
    while wanted * QUERIES_PER_RELAY_S < queries_per_s:
        wanted *= 2
    return wanted


def rank_relays(
    relays, zone: str, group: Group, queries_per_s: float
) -> list[messages.Relay]:
    """Return the relays of a group in a zone, by rendezvous hashing."""
    near = [r for r in relays if r.zone == zone]
    near.sort(key=lambda r: _hash(group.services[0], r.vm_id))
    return near[: count_relays(len(near), group.spread, queries_per_s)]


class RelayTable:
    """The relays that an entry knows, and how they answered it.

    Parameters
    ----------
    vm_id, zone : str
    core_share : float
    link_mbps : float
    read_clock : callable
        Seconds.
    """

    def __init__(self, vm_id, zone, core_share, link_mbps, read_clock):
        self.vm_id = vm_id
        self.zone = zone
        self.core_share = core_share
        self.link_mbps = link_mbps
        self.read_clock = read_clock
        self.revision = 0  # grows when other relays may gather for a group
        self.relays = ()
        self.groups_by_shards = {}
        self.ranked_by_group = {}
        self.failed_s_by_address = {}
        self.queries_per_s = 0.0

    def put_relays(self, mark: int, relays):
        """Take over the relays that control knows."""
        self.relays = tuple(relays)
        self.ranked_by_group = {}
        self.revision += 1
        logs.log_decision("relays-known", mark=mark, relays=len(relays))

    def put_rate(self, queries_per_s: float | None):
        """Take over how many queries a second the whole system has.

        While control can't tell (None), as many are expected as before.
        """
        if queries_per_s is None:
            return
        zones = max(1, len({r.zone for r in self.relays}))
        before = count_wanted(self.queries_per_s)
        self.queries_per_s = queries_per_s / zones
        if count_wanted(self.queries_per_s) != before:
            self.ranked_by_group = {}
            self.revision += 1

    def put_document(self, document):
        """Divide the shards of all routes into groups."""
        objective_by_shards = {}
        for route in document.routes:
            if route.shards:
                known = objective_by_shards.get(route.shards, math.inf)
                objective = route.objective_ms or math.inf
                objective_by_shards[route.shards] = min(known, objective)
        self.groups_by_shards = {}
        for shards, objective in objective_by_shards.items():
            count = count_groups(
                len(shards),
                0.0 if math.isinf(objective) else objective,
                self.core_share,
                self.link_mbps,
            )
            if count > 1:
                # Routes may name the same shards in another order.
                groups = divide(sorted(shards), count)
                self.groups_by_shards[shards] = groups
        self.ranked_by_group = {}
        self.revision += 1

    def get_groups(self, shards) -> tuple[Group, ...]:
        """Return the groups of a query, none if it is sent directly."""
        return self.groups_by_shards.get(shards, ())

    def pick(self, group: Group, tried=()) -> messages.Relay | None:
        """Return a relay in this zone for a group, None without one.

        An entry keeps to the same relay, whose pace it knows, until that
        one fails. If all relays of the zone have failed lately, the relay is
        of another zone.
        """
        near = self._pick(group, self.zone, tried)
        if near is None or self._is_fit(near):
            return near
        far = self.pick_from_other_zone(group, tried)
        return far if far is not None and self._is_fit(far) else near

    def pick_from_other_zone(
        self, group: Group, tried=()
    ) -> messages.Relay | None:
        """Return a relay of another zone, where other replicas are near."""
        zones = {r.zone for r in self.relays} - {self.zone}
        found = [self._pick(group, zone, tried) for zone in sorted(zones)]
        found = [r for r in found if r is not None]
        found.sort(key=lambda r: _hash(self.vm_id, r.vm_id))
        if not found:
            return None
        return min(found, key=self._read_failed_s)

    def list_own_services(self) -> set[str]:
        """Return the shards that this VM gathers for others."""
        services = set()
        for groups in self.groups_by_shards.values():
            for group in groups:
                ranked = self._rank(group, self.zone)
                if any(r.vm_id == self.vm_id for r in ranked):
                    services.update(group.services)
        return services

    def record_relay_failure(self, address: str, reason: str):
        """Avoid a relay for a while."""
        known = address in self.failed_s_by_address
        self.failed_s_by_address[address] = self.read_clock()
        if not known:
            logs.log_decision("relay-failed", address=address, why=reason)

    def note_report(self, address: str):
        """Use a relay again that has answered."""
        if self.failed_s_by_address.pop(address, None) is not None:
            logs.log_decision("relay-answers", address=address)

    def _rank(self, group, zone):
        key = (group, zone)
        ranked = self.ranked_by_group.get(key)
        if ranked is None:
            ranked = rank_relays(self.relays, zone, group, self.queries_per_s)
            # Another one for each group, so that they work side by side.
            words = (self.vm_id, group.services[0])
            ranked.sort(key=lambda r: _hash(*words, r.vm_id))
            self.ranked_by_group[key] = ranked
        return ranked

    def _pick(self, group, zone, tried):
        found = [
            r
            for r in self._rank(group, zone)
            if r.vm_id != self.vm_id and r.address not in tried
        ]
        if not found:
            return None
        for relay in found:
            if self._is_fit(relay):
                return relay
        return min(found, key=self._read_failed_s)

    def _is_fit(self, relay) -> bool:
        limit = self.read_clock() - FAILURE_MEMORY_S
        return self._read_failed_s(relay) < limit

    def _read_failed_s(self, relay) -> float:
        return self.failed_s_by_address.get(relay.address, -math.inf)


def _hash(*words) -> int:
    return zlib.crc32(" ".join(words).encode())
