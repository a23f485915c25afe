"""Merging of the records of shards into the top k."""

import heapq

RECORD_BYTES = 16
# Parts with more records than this multiple of the top k are trimmed when
# they arrive, which bounds the memory of queries in progress.
TRIM_FACTOR = 4


def split_records(body: bytes) -> list[bytes]:
    """Split a part into records; a shorter remainder is ignored."""
    end = len(body) - len(body) % RECORD_BYTES
    return [body[i : i + RECORD_BYTES] for i in range(0, end, RECORD_BYTES)]


def merge_top(bodies, count: int) -> bytes:
    """Return the `count` greatest records of all parts, in descending order.

    Records are compared as bytes; duplicates are kept.
    """
    records = []
    for body in bodies:
        records.extend(split_records(body))
    return b"".join(heapq.nlargest(count, records))


def trim_part(body: bytes, count: int) -> bytes:
    """Return the records of a part that may be among the `count` greatest."""
    if len(body) <= TRIM_FACTOR * count * RECORD_BYTES:
        return body
    return merge_top((body,), count)
