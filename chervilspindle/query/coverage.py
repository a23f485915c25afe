"""Which snapshot a query reads, which shards it has, and what is missing.

The ranges that endpoints announce for one snapshot tile the key space of a
service exactly; a repartition comes with a new snapshot. Only one snapshot
is chosen for a whole query, so an answer never mixes partitions.
"""

import typing

from chervilspindle.core import errors
from chervilspindle.core import rows


class Shard(typing.NamedTuple):
    """One shard of a plan; `endpoint_ids` are replicas that can serve it."""

    service: str
    low: int
    high: int
    endpoint_ids: tuple[str, ...]


class MissingRange(typing.NamedTuple):
    """A key range of a service that an answer lacks, and why."""

    service: str
    low: int
    high: int
    reason: str


class SnapshotPlan(typing.NamedTuple):
    """The shards of one snapshot that a query asks, and those it can't."""

    snapshot: int
    shards: tuple[Shard, ...]
    missing: tuple[MissingRange, ...]


def name_shard(low: int, high: int) -> str:
    """Return the name of a shard in answers."""
    return f"{low}-{high}"


def plan_query(
    endpoints_by_service,
    is_usable,
    key_slot: int | None = None,
    excluded=frozenset(),
) -> SnapshotPlan:
    """Choose the snapshot of a query and list its shards.

    Parameters
    ----------
    endpoints_by_service : dict of str to sequence of Endpoint
        All known endpoints of each service that the query asks, also those
        that are lost, so that their shards are missed.
    is_usable : callable
        Tells whether an endpoint can be sent work now.
    key_slot : int, optional
        Restricts the query to the shards that hold this slot.
    excluded : frozenset of int
        Snapshots that were found gone.

    Returns
    -------
    SnapshotPlan
        The newest snapshot that covers everything; else the one that
        covers most, the newest of equals.
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
            snapshot, endpoints_by_service, is_usable, key_slot
        )
        covered = sum(s.high - s.low for s in plan.shards)
        if covered > best_covered:
            best, best_covered = plan, covered
        if not plan.missing:
            break
    return best


def tile_ranges(ranges):
    """Order ranges into a tiling of the key space.

    Returns
    -------
    list of tuple of (int, int, bool)
        Low, high, and whether the range is held; gaps are not held.
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


def _plan_snapshot(snapshot, endpoints_by_service, is_usable, key_slot):
    shards = []
    missing = []
    for service in sorted(endpoints_by_service):
        holders_by_range = _list_holders(
            snapshot, endpoints_by_service[service], is_usable
        )
        for low, high, held in tile_ranges(holders_by_range):
            if key_slot is not None and not low <= key_slot < high:
                continue
            holders = holders_by_range.get((low, high), ()) if held else ()
            if holders:
                shards.append(Shard(service, low, high, tuple(holders)))
            else:
                reason = errors.ErrorKind.NO_ENDPOINT.value
                missing.append(MissingRange(service, low, high, reason))
    return SnapshotPlan(snapshot, tuple(shards), tuple(missing))


def _list_holders(snapshot, endpoints, is_usable):
    """Map each range of a snapshot to the usable endpoints that hold it."""
    holders_by_range = {}
    for endpoint in endpoints:
        for holding in endpoint.holdings:
            if holding.snapshot != snapshot:
                continue
            key = (holding.low, holding.high)
            holders = holders_by_range.setdefault(key, [])
            if is_usable(endpoint):
                holders.append(endpoint.endpoint_id)
    return holders_by_range
