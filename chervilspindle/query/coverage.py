"""Choice of the snapshot of a query, of its shards and missing key ranges.

The ranges that endpoints announce for one snapshot partition the key space
of a service exactly; a new partitioning comes with a new snapshot. A query
reads the same snapshot of all services, so an answer never mixes
partitionings.
"""

import typing

from chervilspindle.core import errors
from chervilspindle.core import rows


class Shard(typing.NamedTuple):
    """One shard of a plan; `endpoint_ids` lists its usable replicas."""

    service: str
    low: int
    high: int
    endpoint_ids: tuple[str, ...]


class MissingRange(typing.NamedTuple):
    """A key range of a service without a result, and the reason."""

    service: str
    low: int
    high: int
    reason: str


class SnapshotPlan(typing.NamedTuple):
    """The shards of one snapshot that a query reads, and those it can't."""

    snapshot: int
    shards: tuple[Shard, ...]
    missing: tuple[MissingRange, ...]


def name_shard(low: int, high: int) -> str:
    """Return the name that answers use for a shard."""
    return f"{low}-{high}"


def plan_query(
    endpoints_by_service,
    is_usable,
    key_slot: int | None = None,
    excluded=frozenset(),
    evacuated_zones=frozenset(),
) -> SnapshotPlan:
    """Choose the snapshot of a query and list its shards.

    Parameters
    ----------
    endpoints_by_service : dict of str to sequence of Endpoint
        All known endpoints of each service of the query. Lost endpoints
        are included, so that their shards are listed as missing.
    is_usable : callable
        Tells whether work can be sent to an endpoint now.
    key_slot : int, optional
        Restricts the query to the shards that contain this slot.
    excluded : frozenset of int
        Snapshots that endpoints no longer have.
    evacuated_zones : collection of str
        Zones whose endpoints are not usable for that reason.

    Returns
    -------
    SnapshotPlan
        Of the newest snapshot that covers everything; if there is none,
        of the one that covers most, preferring newer ones.
    """
    snapshots = {
        holding.snapshot
        for endpoints in endpoints_by_service.values()
        for endpoint in endpoints
        for holding in endpoint.holdings
    }
    best = SnapshotPlan(0, (), _list_all_missing(endpoints_by_service))
    best_covered = -1
    for snapshot in sorted(snapshots - excluded, reverse=True):
        plan = _plan_snapshot(
            snapshot,
            endpoints_by_service,
            is_usable,
            key_slot,
            evacuated_zones,
        )
        covered = sum(s.high - s.low for s in plan.shards)
        if covered > best_covered:
            best, best_covered = plan, covered
        if not plan.missing:
            break
    return best


def tile_ranges(ranges):
    """Split the key space into the given ranges and the gaps between them.

    Ranges that are empty or overlap an earlier one are ignored.

    Returns
    -------
    list of tuple of (int, int, bool)
        Low, high, and True for a given range, False for a gap.
    """
    tiles = []
    cursor = 0
    for low, high in sorted(set(ranges)):
        if low < cursor or high <= low:
            continue
        if low > cursor:
            tiles.append((cursor, low, False))
        tiles.append((low, high, True))
        cursor = high
    if cursor < rows.KEY_SPACE:
        tiles.append((cursor, rows.KEY_SPACE, False))
    return tiles


def _list_all_missing(endpoints_by_service):
    return tuple(
        MissingRange(
            service, 0, rows.KEY_SPACE, errors.ErrorKind.NO_ENDPOINT.value
        )
        for service in sorted(endpoints_by_service)
    )


def _plan_snapshot(
    snapshot, endpoints_by_service, is_usable, key_slot, evacuated_zones
):
    shards = []
    missing = []
    for service in sorted(endpoints_by_service):
        replica_ids_by_range = _map_replicas_by_range(
            snapshot, endpoints_by_service[service], is_usable
        )
        for low, high, is_announced in tile_ranges(replica_ids_by_range):
            if key_slot is not None and not low <= key_slot < high:
                continue
            replica_ids = (
                replica_ids_by_range.get((low, high), ())
                if is_announced
                else ()
            )
            if replica_ids:
                shards.append(Shard(service, low, high, tuple(replica_ids)))
            else:
                kind = errors.ErrorKind.NO_ENDPOINT
                holding = rows.Holding(snapshot, low, high)
                if evacuated_zones and any(
                    holding in endpoint.holdings
                    and endpoint.zone in evacuated_zones
                    and endpoint.state == "ready"
                    for endpoint in endpoints_by_service[service]
                ):
                    kind = errors.ErrorKind.ZONE_OUT
                missing.append(MissingRange(service, low, high, kind.value))
    return SnapshotPlan(snapshot, tuple(shards), tuple(missing))


def _map_replicas_by_range(snapshot, endpoints, is_usable):
    """Map each range of a snapshot to the usable endpoints that serve it."""
    replica_ids_by_range = {}
    for endpoint in endpoints:
        for holding in endpoint.holdings:
            if holding.snapshot != snapshot:
                continue
            key = (holding.low, holding.high)
            replica_ids = replica_ids_by_range.setdefault(key, [])
            if is_usable(endpoint):
                replica_ids.append(endpoint.endpoint_id)
    return replica_ids_by_range
