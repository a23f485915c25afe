"""Parts of an answer: sets of shards that are answered together.

A relay merges the parts of its shards to their greatest records. Such a set
can only be used or left out whole: the records of one shard can't be taken
out of it again.
"""

from chervilspindle.routing import merge
from chervilspindle.wire import messages


def add_part_set(
    part_set_by_service: dict, new: messages.PartSet
) -> tuple[str, ...]:
    """Take in parts unless more shards would be lost by it than gained.

    A shard that was sent twice may be answered twice; only one of its
    answers may count. Sets that overlap a new one are dropped for it when
    the new one covers more.

    Returns
    -------
    tuple of str
        Shards that are covered now and were not before.
    """
    if len(new.services) == 1 and new.services[0] not in part_set_by_service:
        part_set_by_service[new.services[0]] = new
        return new.services
    overlapping = {}
    for service in new.services:
        held = part_set_by_service.get(service)
        if held is not None:
            overlapping[held.services] = held
    lost = sum(len(held.services) for held in overlapping.values())
    if overlapping and len(new.services) <= lost:
        return ()
    before = set()
    for held in overlapping.values():
        before.update(held.services)
        for service in held.services:
            del part_set_by_service[service]
    for service in new.services:
        part_set_by_service[service] = new
    if not before:
        return new.services
    return tuple(s for s in new.services if s not in before)


def merge_parts(part_sets, top_k: int) -> messages.PartSet:
    """Merge sets of parts to one, with the greatest records of all."""
    return messages.PartSet(
        tuple(s for p in part_sets for s in p.services),
        b", ".join(p.stamps for p in part_sets),
        merge.merge_top([p.body for p in part_sets], top_k),
    )
