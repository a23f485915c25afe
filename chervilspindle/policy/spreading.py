"""How requests are spread over endpoints whose load is known only from before.

An endpoint states its load with its answers. Between two answers other VMs
send to it as well, and all that know the same send to the endpoint that stood
out then: it gets a queue, and is avoided while it idles. Four things counter
that:

- A stated load fades to the mean load of the endpoints of that zone, as fast
  as loads are seen to change; see `persistence`. The mean stands for what the
  others have sent since, and their answers.
- What this VM has sent since the load was stated is added.
- A queue counts by the time that the endpoint's slots need for it together.
- The less is known of a load, the more chance decides: the differences that
  remain are drawn from the spread of the loads.
"""

import math

from chervilspindle.policy import persistence

# Half of a deviation is left after this time, before loads were compared.
ASSUMED_HALF_LIFE_S = 0.1
# Scale of the drawn differences, as a share of the standard deviation of what
# is not known. In the simulation, 0 leaves longer queues at high load, and 1
# sends many requests to other zones at moderate load.
CHANCE = 0.25
MEAN_WEIGHT = 0.02  # of one stated load in the mean of a zone
# The mean of a zone fades to 0 without a stated load within this time, so
# that its endpoints are tried again.
MEAN_LIFE_S = 2.0
MIN_DRAW = 1e-12


class LoadMemory:
    """The loads that endpoints stated to one VM; mutable.

    Attributes
    ----------
    persistence : persistence.Persistence
        Of loads, all endpoints together.
    mean_by_zone : dict of str to float
    stated_s_by_zone : dict of str to float
        Time of the last stated load.
    """

    __slots__ = ("persistence", "mean_by_zone", "stated_s_by_zone")

    def __init__(self):
        self.persistence = persistence.Persistence(0.0, ASSUMED_HALF_LIFE_S)
        self.mean_by_zone = {}
        self.stated_s_by_zone = {}

    def observe(self, zone: str, load: float, now: float):
        """Record a load that an endpoint of a zone stated."""
        mean = self.mean_by_zone.get(zone, 0.0)
        self.mean_by_zone[zone] = mean + MEAN_WEIGHT * (load - mean)
        self.stated_s_by_zone[zone] = now

    def get_mean(self, zone: str, now: float) -> float:
        """Return the mean load of the endpoints of a zone."""
        stated_s = self.stated_s_by_zone.get(zone)
        if stated_s is None:
            return 0.0
        fresh = 1.0 - (now - stated_s) / MEAN_LIFE_S
        return self.mean_by_zone[zone] * fresh if fresh > 0.0 else 0.0


def estimate_ahead(load: float, doubt: float, slots: int) -> float:
    """Return the expected number of requests before which none is started.

    Parameters
    ----------
    load : float
        Expected number of requests at the endpoint.
    doubt : float
        Standard deviation of that.
    slots : int
    """
    ahead = load - slots + 1.0
    reach = 2.0 * doubt
    if -reach < ahead < reach:
        # The mean of the positive part of an even spread within the reach,
        # near that of a normal one.
        return (ahead + reach) ** 2 / (4.0 * reach)
    return max(0.0, ahead)


def draw_waiting(
    memory: LoadMemory,
    zone: str,
    stated: float,
    stated_s: float,
    sent_since: int,
    outstanding: int,
    slots: int,
    now: float,
    random,
) -> float:
    """Draw the time that a request waits at an endpoint, in times of work.

    Parameters
    ----------
    memory : LoadMemory
    zone : str
        Of the endpoint.
    stated : float
        Load that the endpoint stated last.
    stated_s, now : float
        Loop times.
    sent_since : int
        Requests of this VM that were sent since and have no answer.
    outstanding : int
        All requests of this VM that have no answer.
    slots : int
    random : random.Random
    """
    share = memory.persistence.get_share(now - stated_s)
    mean = memory.get_mean(zone, now)
    load = mean + (stated - mean) * share + sent_since
    if load < outstanding:
        load = outstanding
    doubt = math.sqrt(memory.persistence.variance * (1.0 - share * share))
    if doubt <= 0.0:
        return max(0.0, load - slots + 1.0) / slots
    waiting = estimate_ahead(load, doubt, slots) / slots
    # Gumbel differences: the odds of two endpoints are exponential in the
    # difference of their waits.
    drawn = -math.log(1.0 - random.random()) or MIN_DRAW
    return waiting + CHANCE * doubt / slots * math.log(drawn)
