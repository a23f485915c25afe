"""Collecting and merging of part sets.

A part set is the merged answer of one or more shards. A relay reduces the
parts of its shards to their greatest records, so that a part set can only be
used as a whole: the records of one shard can't be removed from it.
"""

from chervilspindle.routing import record_merging
from chervilspindle.wire import messages


def add_part_set(
    part_set_by_service: dict, new: messages.PartSet
) -> tuple[str, ...]:
    """Add a part set if that increases the number of covered shards.

    A shard that was sent twice may be answered twice, but may count only
    once. Sets that overlap the new one are dropped if the new one covers
    more shards than all of them together.

    Parameters
    ----------
    part_set_by_service : dict of str to messages.PartSet
        Updated in place.
    new : messages.PartSet

    Returns
    -------
    tuple of str
        Newly covered shards.
    """
    if len(new.services) == 1 and new.services[0] not in part_set_by_service:
        part_set_by_service[new.services[0]] = new
        return new.services
    overlapping = {}
    for service in new.services:
        part_set = part_set_by_service.get(service)
        if part_set is not None:
            overlapping[part_set.services] = part_set
    replaced = sum(len(part_set.services) for part_set in overlapping.values())
    if overlapping and len(new.services) <= replaced:
        return ()
    covered_before = set()
    for part_set in overlapping.values():
        covered_before.update(part_set.services)
        for service in part_set.services:
            del part_set_by_service[service]
    for service in new.services:
        part_set_by_service[service] = new
    if not covered_before:
        return new.services
    return tuple(s for s in new.services if s not in covered_before)


def merge_parts(part_sets, top_k: int) -> messages.PartSet:
    """Merge part sets into one with the `top_k` greatest records."""
    return messages.PartSet(
        tuple(s for p in part_sets for s in p.services),
        b", ".join(p.stamps for p in part_sets),
        record_merging.merge_top([p.body for p in part_sets], top_k),
    )
