"""Merges the records of shards to the greatest of all."""

import heapq

RECORD_BYTES = 16


def split_records(body: bytes) -> list[bytes]:
    """Split a part into records; a shorter remainder is not a record."""
    end = len(body) - len(body) % RECORD_BYTES
    return [body[i : i + RECORD_BYTES] for i in range(0, end, RECORD_BYTES)]


def merge_top(bodies, count: int) -> bytes:
    """Return the greatest `count` records of all parts, greatest first.

    Records are compared byte by byte, and equal ones all count.
    """
    found = []
    for body in bodies:
        found.extend(split_records(body))
    return b"".join(heapq.nlargest(count, found))
