"""Load shedding and hedge suppression when endpoints are overloaded.

When queries arrive faster than endpoints can run their shards, every query
waits in the queues of all shards and misses its objective. Endpoints report
their load with each answer, and two decisions follow from it.

A shard is not hedged to an endpoint without a free slot: the hedge would
queue there too and delay other requests.

When the endpoints of a route have more requests than slots on average, the
excess share of its queries is refused, so that the rest is answered in time;
refused callers may retry. The average is taken over all shards of the route,
so that a few slow or lost endpoints don't count as overload.
"""

from chervilspindle.routing import selection

FULL_OCCUPANCY = 1.0  # as many requests as slots
MAX_OCCUPANCY = 16.0  # that one endpoint counts with
# A reported load decays linearly to 0 within this time; an entry queries each
# shard a few times a second.
OCCUPANCY_DECAY_S = 1.0


def estimate_occupancy(healths_by_shard, now: float) -> float:
    """Return the requests per slot of a route's endpoints.

    Parameters
    ----------
    healths_by_shard : iterable of iterable of selection.Health
        Health of the endpoints of each shard.
    now : float
        Loop time in s.

    Returns
    -------
    float
        Mean over shards of the mean over their endpoints; 0 without
        endpoints. Reported loads decay with their age.
    """
    total = 0.0
    shards = 0
    for healths in healths_by_shard:
        shard_total = 0.0
        count = 0
        for health in healths:
            load = selection.decay_load(health, now, OCCUPANCY_DECAY_S)
            shard_total += min(load / health.slots, MAX_OCCUPANCY)
            count += 1
        if count:
            total += shard_total / count
            shards += 1
    return total / shards if shards else 0.0


def has_free_slot(health: selection.Health, now: float) -> bool:
    """Tell whether an endpoint would start a request at once."""
    load = selection.decay_load(health, now, OCCUPANCY_DECAY_S)
    return load < health.slots


def compute_refused_share(occupancy: float) -> float:
    """Return the share of queries in excess of what endpoints can run."""
    if occupancy <= FULL_OCCUPANCY:
        return 0.0
    return 1.0 - FULL_OCCUPANCY / occupancy


class Shedder:
    """Refuses a share of the queries of each route, evenly spaced.

    Parameters
    ----------
    random : random.Random
        Draws the initial phase of each route, so that entries don't refuse
        in lockstep.
    """

    def __init__(self, random):
        self.random = random
        self.credit_by_route = {}

    def refuse_next(self, route_name: str, share: float) -> bool:
        """Tell whether to refuse the next query of a route.

        Each call counts as one query.
        """
        if share <= 0.0:
            self.credit_by_route.pop(route_name, None)
            return False
        credit = self.credit_by_route.get(route_name)
        if credit is None:
            credit = self.random.random()
        credit += share
        refused = credit >= 1.0
        self.credit_by_route[route_name] = credit - 1.0 if refused else credit
        return refused
