"""Versions of the peer protocol, and how the ends of a link state theirs.

The nonce with which each end opens a link holds its version and a keyed mark.
To builds that state none, it is a nonce like any other; theirs has no mark.
"""

import hashlib
import hmac
import os

# A version per change of messages, in the order in which builds had them:
# 1 the oldest that is still understood, 2 members by zone, 3 permits and crash
# records, 4 forwarded requests and probes, 5 stated versions, 6 permits of
# client accounts, zones that are taken out and the load in reports of relays,
# 7 a voter of the control group beyond its target, trials of contents.
OLDEST = 1
CRASH_RECORDS = 3
EVACUATIONS = 6
COLD_TIMES = 6
ADDITIONAL_VOTERS = 7
CURRENT = 7

NONCE_BYTES = 16
RANDOM_BYTES = 9
MARK_BYTES = 6


def build_nonce(shared_key: bytes, version: int = CURRENT) -> bytes:
    """Return a nonce that states a version."""
    stated = os.urandom(RANDOM_BYTES) + version.to_bytes(1, "big")
    return stated + _compute_mark(shared_key, stated)


def read_version(shared_key: bytes, nonce: bytes) -> int | None:
    """Return the version that a nonce states; None if it states none."""
    stated = nonce[: RANDOM_BYTES + 1]
    mark = nonce[RANDOM_BYTES + 1 :]
    if not hmac.compare_digest(mark, _compute_mark(shared_key, stated)):
        return None
    return stated[-1]


def _compute_mark(shared_key, stated):
    return hashlib.blake2b(
        stated, key=shared_key, digest_size=MARK_BYTES
    ).digest()
