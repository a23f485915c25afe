"""Keeps the queues of endpoints short while a crowd of queries comes.

Answers the load of a crowd: queries come faster than their shards run them,
so that each of them waits in the queues of all, and all of them miss their
objective. Endpoints state their load with each answer, and two decisions
follow from it.

A shard is not hedged to an endpoint whose places are all taken: the hedge
would wait there too, and make the queue longer for others.

Once the shards of a route have more work than places on average, as much of
it is refused as is too much; the rest is answered in time, and who was
refused may come again. A few slow or lost endpoints don't count as a crowd:
the average is taken over all shards of the route.
"""

from chervilspindle.routing import selection

FULL_OCCUPANCY = 1.0  # as many requests as places
# Age at which a stated load says nothing any more; an entry asks each shard
# a few times a second.
OCCUPANCY_MEMORY_S = 1.0


def estimate_occupancy(healths_by_shard, now: float) -> float:
    """Return the requests for each place of a route's endpoints.

    Parameters
    ----------
    healths_by_shard : iterable of iterable of selection.Health
        Of the endpoints of each shard.
    now : float
        Loop time in s.

    Returns
    -------
    float
        Mean over shards of the mean over their endpoints; 0 if nothing is
        known. Stated loads fade with their age.
    """
    total = 0.0
    shards = 0
    for healths in healths_by_shard:
        found = 0.0
        count = 0
        for health in healths:
            load = selection.read_load(health, now, OCCUPANCY_MEMORY_S)
            found += load / health.slots
            count += 1
        if count:
            total += found / count
            shards += 1
    return total / shards if shards else 0.0


def has_free_slot(health: selection.Health, now: float) -> bool:
    """Tell whether an endpoint would start a request at once."""
    load = selection.read_load(health, now, OCCUPANCY_MEMORY_S)
    return load < health.slots


def compute_refused_share(occupancy: float) -> float:
    """Return the share of queries that is more than endpoints can run."""
    if occupancy <= FULL_OCCUPANCY:
        return 0.0
    return 1.0 - FULL_OCCUPANCY / occupancy


class Shedder:
    """Refuses a share of the queries, evenly spaced.

    Parameters
    ----------
    random : random.Random
        Draws which query is the first, so that entries don't all refuse the
        same moment's queries.
    """

    def __init__(self, random):
        self.random = random
        self.due_by_route = {}

    def refuse_next(self, route_name: str, share: float) -> bool:
        """Decide on the next query of a route.

        Returns
        -------
        bool
            True if it is one to refuse.
        """
        if share <= 0.0:
            self.due_by_route.pop(route_name, None)
            return False
        due = self.due_by_route.get(route_name)
        if due is None:
            due = self.random.random()
        due += share
        refused = due >= 1.0
        self.due_by_route[route_name] = due - 1.0 if refused else due
        return refused
