"""Selection of the relays through which a query with many shards is sent.

On a VM with a fraction of a core and a slow link, sending a query to many
shards directly takes a large part of its latency objective. The shards are
then divided into groups, and each group is sent through a relay: another
entry that queries the shards and merges their results. Each group has few
relays, so that a relay's connections to the group's endpoints stay in use
although any one entry receives a query only every few seconds.

A group has the shards whose endpoints are in the same zones, and its relays
are in those zones as well. So one merged report crosses between zones instead
of a part of each shard. Where all shards can be sent directly, only those
without an endpoint in the entry's zone go through a relay.
"""

import collections
import math
import typing
import zlib

from chervilspindle.core import logs
from chervilspindle.wire import messages

SHARD_CORE_MS = 0.05  # CPU time per shard, on a whole core
SHARD_BYTES = 400  # one shard's response with its headers
MAX_GROUP_TIME_SHARE = 0.1  # of the objective, spent by a relay on a group
MIN_GROUP_SHARDS = 8  # smaller groups cost more messages than they save
# Fewest shards for which a message between zones replaces direct sends.
MIN_REMOTE_SHARDS = 3
MIN_RELAYS = 2  # per group and zone, to tolerate the loss of one
# Query rate of a zone per relay of a group. With a lower one a relay would
# have too few samples of its endpoints to tell which are slow; with a much
# higher one it would be overloaded.
QUERIES_PER_S_PER_RELAY = 10.0
# For one request of a VM that is cut off: relays tried in all, and if each
# relay has failed lately.
MAX_TRIED_RELAYS = 16
MAX_FAILED_RELAYS = 6
KNOWN_GOOD_S = 5.0  # after a relay's last report
FAILURE_BACKOFF_S = 8.0  # longer than the time between an entry's queries


class ShardGroup(typing.NamedTuple):
    """Shards of a query that are sent through one relay.

    Parameters
    ----------
    services : tuple of str
        One service per shard.
    group_count : int
        Number of groups that the query is divided into.
    zones : tuple of str
        Zones in which the shards have endpoints; empty if they are not known
        or differ by shard.
    """

    services: tuple[str, ...]
    group_count: int
    zones: tuple[str, ...] = ()


def count_groups(
    shards: int, objective_ms: float, core_share: float, link_mbps: float
) -> int:
    """Return the number of groups that the shards of a query form.

    Parameters
    ----------
    shards : int
    objective_ms : float
        Shortest latency objective of the routes over these shards; 0 if
        none has one.
    core_share : float
        Share of a CPU core that an entry may use.
    link_mbps : float
        Bandwidth of an entry's link, in Mbit/s.

    Returns
    -------
    int
        1 if the entry sends to all shards directly.
    """
    if not objective_ms:
        return 1
    link_ms = SHARD_BYTES * 8 / (link_mbps * 1000.0)
    direct_ms = shards * (SHARD_CORE_MS / core_share + link_ms)
    needed = math.ceil(direct_ms / (MAX_GROUP_TIME_SHARE * objective_ms))
    return max(1, min(needed, shards // MIN_GROUP_SHARDS))


def divide_shards(services, groups: int) -> tuple[ShardGroup, ...]:
    """Divide shards into groups whose sizes differ by at most one."""
    count = len(services)
    edges = [count * i // groups for i in range(groups + 1)]
    return tuple(
        ShardGroup(tuple(services[start:end]), groups)
        for start, end in zip(edges, edges[1:])
    )


def divide_by_zones(
    services, zones_by_service, groups: int, min_shards: int
) -> tuple[ShardGroup, ...]:
    """Divide shards by the zones of their endpoints, then by number.

    Parameters
    ----------
    services : sequence of str
    zones_by_service : dict of str to tuple of str
        Zones in which each shard has endpoints, sorted; shards without known
        endpoints are absent.
    groups : int
        Number of groups needed if zones did not matter.
    min_shards : int
        Shards whose zones are shared by fewer than this form groups together.
    """
    services_by_zones = collections.defaultdict(list)
    for service in services:
        services_by_zones[zones_by_service.get(service, ())].append(service)
    rest = []
    for zones in list(services_by_zones):
        if not zones or len(services_by_zones[zones]) < min_shards:
            rest.extend(services_by_zones.pop(zones))
    if rest:
        services_by_zones[()] = sorted(rest)
    size = len(services) / groups
    divided = []
    for zones, members in sorted(services_by_zones.items()):
        parts = max(1, round(len(members) / size))
        divided += [g.services for g in divide_shards(members, parts)]
    zones_of = {
        service: zones
        for zones, members in services_by_zones.items()
        for service in members
    }
    return tuple(
        ShardGroup(members, len(divided), zones_of[members[0]])
        for members in divided
    )


def count_relays(
    available: int, group_count: int, queries_per_s: float
) -> int:
    """Return the number of relays of a group in a zone.

    Parameters
    ----------
    available : int
        Relays in the zone.
    group_count : int
        Number of groups that share them.
    queries_per_s : float
        Query rate of the zone.
    """
    needed = count_relays_for_rate(queries_per_s)
    return max(MIN_RELAYS, min(needed, math.ceil(available / group_count)))


def count_relays_for_rate(queries_per_s: float) -> int:
    """Return the number of relays per group that a zone's rate requires.

    The number grows in powers of two, so that small changes of the rate do
    not change the set of relays.
    """
    needed = MIN_RELAYS
    while needed * QUERIES_PER_S_PER_RELAY < queries_per_s:
        needed *= 2
    return needed


def rank_relays(
    relays, zone: str, group: ShardGroup, queries_per_s: float
) -> list[messages.Relay]:
    """Return the relays of a group in a zone, by rendezvous hashing."""
    ranked = [r for r in relays if r.zone == zone]
    ranked.sort(key=lambda r: _hash(group.services[0], r.vm_id))
    return ranked[
        : count_relays(len(ranked), group.group_count, queries_per_s)
    ]


class RelayTable:
    """The relays known to an entry, with their recent failures.

    Parameters
    ----------
    vm_id, zone : str
        Of this entry.
    core_share : float
        Share of a CPU core that this entry may use.
    link_mbps : float
        Bandwidth of this entry's link, in Mbit/s.
    read_clock : callable
        Returns the current time in seconds.
    """

    def __init__(self, vm_id, zone, core_share, link_mbps, read_clock):
        self.vm_id = vm_id
        self.zone = zone
        self.core_share = core_share
        self.link_mbps = link_mbps
        self.read_clock = read_clock
        self.revision = 0  # incremented when the relays of a group may change
        self.relays = ()
        self.objective_by_shards = {}
        self.zones_by_service = {}
        self.groups_by_shards = {}
        self.direct_shards = set()  # keys of queries that may be sent directly
        self.ranked_by_group = {}
        self.failed_s_by_address = {}
        self.reported_s_by_address = {}
        self.queries_per_s = 0.0
        self.evacuated_zones = frozenset()
        # Evacuated zones, and returned ones whose relays are not used yet.
        self.avoided_zones = frozenset()

    def set_relays(self, fingerprint: int, relays):
        """Replace the list of relays by the one that control sent.

        Parameters
        ----------
        fingerprint : int
            Identifies the content of the list.
        relays : sequence of messages.Relay
        """
        self.relays = tuple(relays)
        addresses = {relay.address for relay in self.relays}
        for by_address in (
            self.failed_s_by_address,
            self.reported_s_by_address,
        ):
            for address in set(by_address) - addresses:
                del by_address[address]
        self.ranked_by_group = {}
        self.revision += 1
        logs.log_decision("relays-known", mark=fingerprint, relays=len(relays))

    def set_evacuated_zones(self, zones):
        """Set the zones to whose endpoints nothing is sent.

        Their relays would have to open connections to other zones, whose own
        relays have them already. A zone that returns is avoided until
        `use_zone` is called; its relays open connections meanwhile.
        """
        self.evacuated_zones = frozenset(zones)
        self._set_avoided_zones(self.avoided_zones | self.evacuated_zones)

    def use_zone(self, zone: str):
        """Use the relays of a returned zone from now on."""
        if zone not in self.evacuated_zones:
            self._set_avoided_zones(self.avoided_zones - {zone})

    def _set_avoided_zones(self, zones):
        self.avoided_zones = zones
        self.ranked_by_group = {}
        self.revision += 1

    def _list_zones_in_use(self, group):
        """Return the zones of a group that are not avoided, or else all."""
        return _leave_out(group.zones, self.avoided_zones)

    def set_query_rate(self, queries_per_s: float | None):
        """Set the query rate of the whole system.

        None means that control does not know the rate; the previous one is
        kept.
        """
        if queries_per_s is None:
            return
        zones = self._count_relay_zones()
        before = self._count_relays_by_zones()
        self.queries_per_s = queries_per_s / zones
        if self._count_relays_by_zones() != before:
            self.ranked_by_group = {}
            self.revision += 1

    def update_document(self, document):
        """Divide the shards of all routes into groups."""
        objective_by_shards = {}
        for route in document.routes:
            if route.shards:
                previous = objective_by_shards.get(route.shards, math.inf)
                objective = route.objective_ms or math.inf
                objective_by_shards[route.shards] = min(previous, objective)
        self.objective_by_shards = objective_by_shards
        self._divide()

    def add_endpoint_zones(self, zones_by_service):
        """Add zones in which services have endpoints.

        A zone whose endpoints are lost is kept: they mostly come back, and
        other groups would have relays without connections.

        Parameters
        ----------
        zones_by_service : dict of str to set of str
        """
        changed = False
        for service, zones in zones_by_service.items():
            known = self.zones_by_service.get(service, ())
            if not zones.issubset(known):
                self.zones_by_service[service] = tuple(
                    sorted(zones.union(known))
                )
                changed = True
        if changed:
            self._divide()

    def _divide(self):
        groups_by_shards = {}
        direct_shards = set()
        for shards, objective in self.objective_by_shards.items():
            count = count_groups(
                len(shards),
                0.0 if math.isinf(objective) else objective,
                self.core_share,
                self.link_mbps,
            )
            is_direct = count == 1
            # Routes that list the same shards in another order get the same
            # groups.
            groups = divide_by_zones(
                sorted(shards),
                self.zones_by_service,
                count,
                MIN_REMOTE_SHARDS if is_direct else MIN_GROUP_SHARDS,
            )
            if is_direct:
                direct_shards.add(shards)
                groups = tuple(
                    g for g in groups if g.zones and self.zone not in g.zones
                )
            if groups:
                groups_by_shards[shards] = groups
        if (groups_by_shards, direct_shards) != (
            self.groups_by_shards,
            self.direct_shards,
        ):
            self.groups_by_shards = groups_by_shards
            self.direct_shards = direct_shards
            self.ranked_by_group = {}
            self.revision += 1

    def get_groups(self, shards) -> tuple[ShardGroup, ...]:
        """Return the groups of a query that are sent through relays.

        Shards in none of them are sent directly.
        """
        return self.groups_by_shards.get(shards, ())

    def pick(self, group: ShardGroup, tried=()) -> messages.Relay | None:
        """Return a relay for a group, in the zone that the entry prefers.

        An entry keeps using one relay, on which its latency estimates are
        based, until that relay fails. If all relays of the zone have failed
        recently, an available relay of another zone is returned. None if
        the zone has no relay that is not in `tried`.

        Parameters
        ----------
        group : ShardGroup
        tried : collection of str
            Addresses of relays to leave out.
        """
        preferred = self._pick_from_zone(
            group, self._get_preferred_zone(group), tried
        )
        if preferred is None or self.is_available(preferred):
            return preferred
        other = self.pick_from_other_zone(group, tried)
        if other is not None and self.is_available(other):
            return other
        return preferred

    def pick_from_other_zone(
        self, group: ShardGroup, tried=()
    ) -> messages.Relay | None:
        """Return a relay of another zone, or None if there is none.

        It is close to other replicas of the shards than the relays of the
        preferred zone.
        """
        preferred = self._get_preferred_zone(group)
        zones = {r.zone for r in self.relays} - {preferred}
        zones = zones.intersection(self._list_zones_in_use(group)) or zones
        candidates = [
            self._pick_from_zone(group, zone, tried) for zone in sorted(zones)
        ]
        candidates = [r for r in candidates if r is not None]
        candidates.sort(key=lambda r: _hash(self.vm_id, r.vm_id))
        if not candidates:
            return None
        return min(candidates, key=self._get_failed_s)

    def has_others(self) -> bool:
        """Tell whether another entry may be asked to send requests."""
        return any(r.vm_id != self.vm_id for r in self.relays)

    def pick_any(self, tried, random) -> messages.Relay | None:
        """Return an entry to send any request, None if none is left.

        Entries that have reported lately are preferred, then those of this
        zone, then those of zones in which none has failed: a whole zone may
        be cut off. If all have failed, the one that did so first is returned,
        unless as many as `MAX_FAILED_RELAYS` were tried.

        Parameters
        ----------
        tried : collection of str
            Addresses of entries to leave out.
        random : random.Random
            Spreads requests over the entries.
        """
        if len(tried) >= MAX_TRIED_RELAYS:
            return None
        candidates = [
            r
            for r in self.relays
            if r.vm_id != self.vm_id and r.address not in tried
        ]
        available = [r for r in candidates if self.is_available(r)]
        if not available:
            if len(tried) >= MAX_FAILED_RELAYS:
                return None
            return min(candidates, key=self._get_failed_s, default=None)
        failed_zones = {
            r.zone for r in self.relays if not self.is_available(r)
        }
        good = [r for r in available if self._is_known_good(r)]
        good_near = [r for r in good if r.zone == self.zone]
        sound = [r for r in available if r.zone not in failed_zones]
        sound_near = [r for r in sound if r.zone == self.zone]
        for choices in (good_near, sound_near, good):
            if len(choices) >= MIN_RELAYS:
                return random.choice(choices)
        return random.choice(good or sound or available)

    def list_relayed_services(self) -> set[str]:
        """Return the shards that this VM is a relay of for many entries.

        Shards that most entries send directly are left out.
        """
        services = set()
        for shards, groups in self.groups_by_shards.items():
            if shards in self.direct_shards:
                continue
            for group in groups:
                zones = _leave_out(group.zones, self.evacuated_zones)
                if zones and self.zone not in zones:
                    continue
                ranked = self._rank(group, self.zone)
                if any(r.vm_id == self.vm_id for r in ranked):
                    services.update(group.services)
        return services

    def record_relay_failure(self, address: str, reason: str):
        """Avoid a relay for `FAILURE_BACKOFF_S`."""
        failed_before = address in self.failed_s_by_address
        self.failed_s_by_address[address] = self.read_clock()
        if not failed_before:
            logs.log_decision("relay-failed", address=address, why=reason)

    def clear_failure(self, address: str):
        """Make a relay available again after it has reported."""
        self.reported_s_by_address[address] = self.read_clock()
        if self.failed_s_by_address.pop(address, None) is not None:
            logs.log_decision("relay-answers", address=address)

    def _rank(self, group, zone):
        key = (group, zone)
        ranked = self.ranked_by_group.get(key)
        if ranked is None:
            rate = self.queries_per_s * self._get_rate_factor(group)
            ranked = rank_relays(self.relays, zone, group, rate)
            # The order differs by group, so that the groups of one query
            # are processed by different relays in parallel.
            keys = (self.vm_id, group.services[0])
            ranked.sort(key=lambda r: _hash(*keys, r.vm_id))
            self.ranked_by_group[key] = ranked
        return ranked

    def _get_preferred_zone(self, group) -> str:
        """Return this zone, or for shards without endpoints here another."""
        zones = self._list_zones_in_use(group)
        if not zones or self.zone in zones:
            return self.zone
        return min(
            zones, key=lambda z: _hash(self.vm_id, z, group.services[0])
        )

    def _count_relay_zones(self) -> int:
        return max(1, len({r.zone for r in self.relays}))

    def _get_rate_factor(self, group) -> float:
        """Return a relay zone's query rate over the mean rate of a zone."""
        zones = len(self._list_zones_in_use(group))
        return self._count_relay_zones() / zones if zones else 1.0

    def _count_relays_by_zones(self) -> list[int]:
        """Return the relays that groups need, by the factors of their rate."""
        factors = {1.0}
        for groups in self.groups_by_shards.values():
            factors.update(map(self._get_rate_factor, groups))
        return [
            count_relays_for_rate(self.queries_per_s * factor)
            for factor in sorted(factors)
        ]

    def _pick_from_zone(self, group, zone, tried):
        candidates = [
            r
            for r in self._rank(group, zone)
            if r.vm_id != self.vm_id and r.address not in tried
        ]
        if not candidates:
            return None
        for relay in candidates:
            if self.is_available(relay):
                return relay
        return min(candidates, key=self._get_failed_s)

    def is_available(self, relay) -> bool:
        """Tell whether a relay has not failed lately."""
        backoff_start_s = self.read_clock() - FAILURE_BACKOFF_S
        return self._get_failed_s(relay) < backoff_start_s

    def _is_known_good(self, relay) -> bool:
        reported_s = self.reported_s_by_address.get(relay.address, -math.inf)
        return self.read_clock() - reported_s < KNOWN_GOOD_S

    def _get_failed_s(self, relay) -> float:
        return self.failed_s_by_address.get(relay.address, -math.inf)


def _leave_out(zones, left_out):
    """Return the zones without some others, or all if none is left."""
    if not left_out:
        return zones
    return tuple(z for z in zones if z not in left_out) or zones


def _hash(*keys) -> int:
    return zlib.crc32(" ".join(keys).encode())
