"""How much an old figure of an endpoint still tells.

Endpoints state figures with their answers, and a VM knows only those of its
last answer. How fast they get out of date depends on the deployment, so it is
learned: whenever an endpoint states a figure again, the two are compared with
the time between them.
"""

import math

# Ages are told apart by powers of two, from this age on.
FIRST_AGE_S = 0.0125
CLASSES_PER_S = 1.0 / FIRST_AGE_S
AGE_CLASSES = 12
MAX_AGE_S = 60.0  # nothing is known of older figures
# What is assumed before figures were compared weighs as much as a few
# comparisons with a deviation of 1.
ASSUMED_WEIGHT = 3.0
FORGETTING = 0.995  # for each comparison of an age class
MEAN_WEIGHT = 0.01


def get_age_class(age_s: float) -> int:
    """Return the class of an age: its power of two of `FIRST_AGE_S`."""
    if age_s <= FIRST_AGE_S:
        return 0
    return min(AGE_CLASSES - 1, math.frexp(age_s * CLASSES_PER_S)[1])


class Persistence:
    """How much of a deviation from the mean figure is left after a time.

    The regression of later figures on earlier ones, of all endpoints
    together; mutable.

    Parameters
    ----------
    mean : float
        Of the figures, before the first one.
    half_life_s : float
        Time after which half of a deviation is left, before the first
        comparisons.

    Attributes
    ----------
    variance : float
        Of the figures, smoothed as their mean.
    """

    __slots__ = (
        "mean",
        "variance",
        "products",
        "squares",
        "share_by_age_class",
    )

    def __init__(self, mean: float, half_life_s: float):
        self.mean = mean
        self.variance = 0.0
        self.squares = [ASSUMED_WEIGHT] * AGE_CLASSES
        self.share_by_age_class = [
            0.5 ** (FIRST_AGE_S * 2.0**index / half_life_s)
            for index in range(AGE_CLASSES)
        ]
        self.products = [
            ASSUMED_WEIGHT * share for share in self.share_by_age_class
        ]

    def observe(self, earlier: float, later: float, age_s: float):
        """Compare two figures of an endpoint, stated `age_s` apart."""
        mean = self.mean
        later_deviation = later - mean
        self.mean = mean + MEAN_WEIGHT * later_deviation
        self.variance += MEAN_WEIGHT * (
            later_deviation * later_deviation - self.variance
        )
        index = get_age_class(age_s)
        deviation = earlier - mean
        product = FORGETTING * self.products[index]
        square = FORGETTING * self.squares[index]
        product += deviation * later_deviation
        square += deviation * deviation
        self.products[index] = product
        self.squares[index] = square
        share = product / square if square > 0.0 else 0.0
        self.share_by_age_class[index] = min(1.0, max(0.0, share))

    def get_share(self, age_s: float) -> float:
        """Return the share of a deviation that is left, from 0 to 1."""
        # The class is found here, since this runs for each candidate.
        if age_s <= FIRST_AGE_S:
            return self.share_by_age_class[0]
        if age_s > MAX_AGE_S:
            return 0.0
        index = math.frexp(age_s * CLASSES_PER_S)[1]
        if index >= AGE_CLASSES:
            index = AGE_CLASSES - 1
        return self.share_by_age_class[index]
