"""What members read, kept across restarts, for members that are down then.

The file is not synced: without it a member that is down counts as the oldest
build.
"""

import logging
import os

import msgspec

LOGGER = logging.getLogger(__name__)

FILE_NAME = "versions.json"
_DECODER = msgspec.json.Decoder(dict[str, int])


def load(folder: str) -> dict[str, int]:
    """Return the stored versions by peer address; empty without a file."""
    try:
        with open(os.path.join(folder, FILE_NAME), "rb") as handle:
            return _DECODER.decode(handle.read())
    except FileNotFoundError:
        return {}
    except (OSError, msgspec.MsgspecError) as error:
        LOGGER.warning(
            "versions of members cannot be read", extra={"why": str(error)}
        )
        return {}


def save(folder: str, version_by_address: dict[str, int]) -> bool:
    """Store versions by peer address; tell whether the disk took them."""
    path = os.path.join(folder, FILE_NAME)
    try:
        with open(path + ".new", "wb") as handle:
            handle.write(msgspec.json.encode(version_by_address))
        os.replace(path + ".new", path)
    except OSError as error:
        LOGGER.warning(
            "versions of members cannot be stored", extra={"why": str(error)}
        )
        return False
    return True
