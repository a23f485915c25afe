"""What the speed that an endpoint has stated tells about it now.

Endpoints state with their answers how long work takes there, where 100 is the
usual time and more is slower. The figure changes many times a second, and a VM
knows only the one of its last answer. How much an old figure still says
depends on the deployment and is learned: whenever an endpoint states a figure
again, the two are compared with the time between them.
"""

import math
import re

FIGURE_PATTERN = re.compile(rb"\s*(\d{1,6}(?:\.\d{1,6})?)\s*")
USUAL_FIGURE = 100.0
# An endpoint that states an absurd figure is preferred or avoided no more than
# one whose work takes this share of the usual time.
MIN_SLOWNESS = 0.5
MAX_SLOWNESS = 8.0
# Ages are told apart by powers of two, from this age on.
FIRST_AGE_S = 0.0125
AGE_CLASSES = 12
MAX_AGE_S = 60.0  # nothing is known of older figures
# What is assumed before figures were compared: half of a deviation is left
# after this time. Weighs as much as a few comparisons with a doubled time.
ASSUMED_HALF_LIFE_S = 0.5
ASSUMED_WEIGHT = 3.0
FORGETTING = 0.995  # for each comparison of an age class
MEAN_WEIGHT = 0.01


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


def get_age_class(age_s: float) -> int:
    """Return the class of an age: its power of two of `FIRST_AGE_S`."""
    if age_s <= FIRST_AGE_S:
        return 0
    return min(AGE_CLASSES - 1, math.frexp(age_s / FIRST_AGE_S)[1])


class Persistence:
    """How much of a deviation from the usual speed is left after a time.

    The regression of later figures on earlier ones, of all endpoints
    together; mutable.
    """

    __slots__ = ("mean", "products", "squares", "share_by_age_class")

    def __init__(self):
        self.mean = 1.0
        self.products = []
        self.squares = [ASSUMED_WEIGHT] * AGE_CLASSES
        for index in range(AGE_CLASSES):
            age_s = FIRST_AGE_S * 2.0**index
            left = 0.5 ** (age_s / ASSUMED_HALF_LIFE_S)
            self.products.append(ASSUMED_WEIGHT * left)
        self.share_by_age_class = [
            product / ASSUMED_WEIGHT for product in self.products
        ]

    def observe(self, earlier: float, later: float, age_s: float):
        """Compare two figures of an endpoint, stated `age_s` apart."""
        mean = self.mean
        self.mean = mean + MEAN_WEIGHT * (later - mean)
        index = get_age_class(age_s)
        deviation = earlier - mean
        product = FORGETTING * self.products[index]
        square = FORGETTING * self.squares[index]
        product += deviation * (later - mean)
        square += deviation * deviation
        self.products[index] = product
        self.squares[index] = square
        share = product / square if square > 0.0 else 0.0
        self.share_by_age_class[index] = min(1.0, max(0.0, share))

    def get_share(self, age_s: float) -> float:
        """Return the share of a deviation that is left, from 0 to 1."""
        if age_s > MAX_AGE_S:
            return 0.0
        return self.share_by_age_class[get_age_class(age_s)]
