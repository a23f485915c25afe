"""Choice of the control members that endpoints and entries call.

Announcements and watch calls are most of the traffic of control. Any member
serves them, so they go to a member of the caller's own zone where there is
one, and cross no zone.
"""

import typing
import zlib

from chervilspindle.wire import messages


class PlaceTable(typing.NamedTuple):
    """Places of the members that reported to the leader lately.

    Parameters
    ----------
    mark : int
        Fingerprint of the content, 0 if it is not known.
    places : tuple of messages.MemberPlace
    """

    mark: int
    places: tuple[messages.MemberPlace, ...]


EMPTY_TABLE = PlaceTable(0, ())


def build_table(places) -> PlaceTable:
    """Return a table of places with its fingerprint, which is never 0."""
    ordered = tuple(sorted(set(places)))
    text = " ".join("/".join(place) for place in ordered)
    return PlaceTable(zlib.crc32(text.encode()) or 1, ordered)


def list_peer_addresses(places, zone: str) -> tuple[str, ...]:
    """Return the peer addresses of the members in a zone."""
    return tuple(p.peer_address for p in places if p.zone == zone)


def choose_control_address(places, zone: str, key: str) -> str:
    """Return the control address of a member in a zone, empty if none is.

    Parameters
    ----------
    places : sequence of messages.MemberPlace
    zone : str
    key : str
        Spreads callers over the members of the zone.
    """
    addresses = [p.control_address for p in places if p.zone == zone]
    if not addresses:
        return ""
    return min(addresses, key=lambda a: zlib.crc32(f"{key} {a}".encode()))
