"""Choice of the entries that are responsible for a key.

Rendezvous hashing (Thaler and Ravishankar, 1998): every VM computes the same
order of entries for a key from the same list, and an entry that joins or
leaves changes the order of no other two.
"""

import hashlib
import heapq


def rank_entries(relays, key: str, count: int) -> list:
    """Return the first `count` entries in the order of a key.

    Parameters
    ----------
    relays : iterable of messages.Relay
        All entries that may be responsible.
    key : str
    count : int

    Returns
    -------
    list of messages.Relay
        Shorter than `count` if there are fewer entries.
    """
    return heapq.nlargest(
        count, relays, key=lambda relay: _compute_weight(relay.vm_id, key)
    )


def _compute_weight(vm_id, key) -> bytes:
    text = f"{vm_id} {key}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()
