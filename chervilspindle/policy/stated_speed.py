"""What the speed that an endpoint has stated tells about it now.

Endpoints state with their answers how long work takes there, where 100 is the
usual time and more is slower. The figure changes many times a second, and a VM
knows only the one of its last answer; `persistence` learns how much that still
says.
"""

import re

from chervilspindle.policy import persistence

FIGURE_PATTERN = re.compile(rb"\s*(\d{1,6}(?:\.\d{1,6})?)\s*")
USUAL_FIGURE = 100.0
# An endpoint that states an absurd figure is preferred or avoided no more than
# one whose work takes this share of the usual time.
MIN_SLOWNESS = 0.5
MAX_SLOWNESS = 8.0
# Half of a deviation is left after this time, before figures were compared.
ASSUMED_HALF_LIFE_S = 0.5


def parse_slowness(value: bytes) -> float | None:
    """Parse a stated speed; return the time that work takes, 1 if usual.

    Returns
    -------
    float or None
        Within `MIN_SLOWNESS` and `MAX_SLOWNESS`; None if malformed or 0.
    """
    match = FIGURE_PATTERN.fullmatch(value)
    if match is None:
        return None
    figure = float(match.group(1))
    if figure <= 0.0:
        return None
    slowness = figure / USUAL_FIGURE
    return min(MAX_SLOWNESS, max(MIN_SLOWNESS, slowness))


def build_persistence() -> persistence.Persistence:
    """Build what learns how fast stated speeds fade."""
    return persistence.Persistence(1.0, ASSUMED_HALF_LIFE_S)
