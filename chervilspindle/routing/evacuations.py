"""Zones to whose endpoints an entry sends nothing, and their gradual return.

Control keeps the evacuated zones; each entry applies them to the restrictions
of its endpoints (see `permission`). After an evacuation the zone's endpoints
may be cold. While others take requests, an entry therefore chooses among them
only for a share of its requests, which grows over `RETURN_S`.
"""

import typing

RETURN_S = 10.0
# Some requests go to the zone at once, so that it shows whether it works.
FIRST_SHARE = 0.05
# When an entry uses the relays of the zone again, as a share of `RETURN_S`
# and drawn by each entry. Before, these would send most parts to other zones.
MIN_RELAYS_SHARE = 0.3


class EvacuationChange(typing.NamedTuple):
    """Zones whose evacuation began or ended."""

    evacuated: tuple[str, ...]
    returned: tuple[str, ...]


NO_CHANGE = EvacuationChange((), ())


class Evacuations:
    """Evacuated zones, and those that return; mutable.

    Attributes
    ----------
    row_by_zone : dict of str to rows.ZoneEvacuation
    returned_s_by_zone : dict of str to float
        Loop time at which the evacuation ended, while the zone returns.
    """

    def __init__(self):
        self.row_by_zone = {}
        self.returned_s_by_zone = {}

    def apply(self, changed, gone, full: bool, now: float) -> EvacuationChange:
        """Apply changed rows of the replicated tables.

        Parameters
        ----------
        changed : sequence of rows.ZoneEvacuation
        gone : sequence of str
            Zones whose evacuation ended.
        full : bool
            Whether `changed` has all rows.
        now : float
            Loop time.
        """
        before = self.row_by_zone
        after = {} if full else dict(before)
        after.update((row.zone, row) for row in changed)
        for zone in gone:
            after.pop(zone, None)
        self.row_by_zone = after
        change = EvacuationChange(
            tuple(sorted(after.keys() - before.keys())),
            tuple(sorted(before.keys() - after.keys())),
        )
        for zone in change.evacuated:
            self.returned_s_by_zone.pop(zone, None)
        for zone in change.returned:
            self.returned_s_by_zone[zone] = now
        return change

    def draw_avoided(self, now: float, random) -> set[str]:
        """Return the returning zones that one choice avoids, at random."""
        avoided = set()
        for zone, returned_s in list(self.returned_s_by_zone.items()):
            share = compute_return_share(now - returned_s)
            if share >= 1.0:
                del self.returned_s_by_zone[zone]
            elif random.random() >= share:
                avoided.add(zone)
        return avoided


def draw_relays_delay_s(random) -> float:
    """Return after which time an entry uses the relays of a returned zone."""
    spread = 1.0 - MIN_RELAYS_SHARE
    return RETURN_S * (MIN_RELAYS_SHARE + spread * random.random())


def compute_return_share(elapsed_s: float) -> float:
    """Return the share of choices that include a zone that returns."""
    return min(1.0, max(FIRST_SHARE, elapsed_s / RETURN_S))
