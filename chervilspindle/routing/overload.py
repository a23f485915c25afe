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

Where the document has client accounts, `policy/shedding.py` decides instead,
by priority and account, for queries and for single requests. Here are the
loads that it responds to and the counts of what arrives.
"""

import math
import typing

from chervilspindle.policy import shedding
from chervilspindle.routing import selection

FULL_OCCUPANCY = 1.0  # as many requests as slots
MAX_OCCUPANCY = 16.0  # that one endpoint counts with
# A reported load decays linearly to 0 within this time; an entry queries each
# shard a few times a second.
OCCUPANCY_DECAY_S = 1.0
REFRESH_S = 0.1  # of the shares by kind of request
REFRESH_KIND_S = 0.0001  # for each kind: with many, it takes longer


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


def estimate_wait_ms(
    health: selection.Health, now: float, work_ms: float
) -> float:
    """Return how long a request would wait at an endpoint, in ms."""
    load = selection.decay_load(health, now, OCCUPANCY_DECAY_S)
    return shedding.estimate_wait_ms(load, health.slots, work_ms)


def compute_refused_share(occupancy: float) -> float:
    """Return the share of queries in excess of what endpoints can run."""
    if occupancy <= FULL_OCCUPANCY:
        return 0.0
    return 1.0 - FULL_OCCUPANCY / occupancy


class Verdict(typing.NamedTuple):
    """Whether a request is admitted.

    Parameters
    ----------
    admitted : bool
    load : float
        Requests per slot of the endpoints.
    share : float
        Share of such requests that is admitted.
    """

    admitted: bool
    load: float = 0.0
    share: float = 1.0

    def build_log_fields(self, incoming) -> dict:
        """Return the fields of the log event of a refusal."""
        return {
            "priority": incoming.get_priority(),
            "load": round(self.load, 2),
            "admitted_share": round(self.share, 2),
        }


class Pool:
    """Endpoints whose load is held together; mutable.

    Attributes
    ----------
    rule : shedding.Rule
    pressure : shedding.Pressure
    heard_load, heard_count : float
        Sum and number of the loads that are not yet in `pressure`.
    heard_s : float
        Loop time of the last of them.
    demand_by_kind : dict of shedding.Kind to float
        Requests that arrived, decayed to `refreshed_s`.
    share_by_kind : dict of shedding.Kind to float
        Admitted shares, as of `refreshed_s`.
    other_share : float
        Of kinds that have arrived since.
    credit_by_kind : dict of shedding.Kind to float
        Spaces refusals evenly.
    """

    __slots__ = (
        "rule",
        "pressure",
        "heard_load",
        "heard_count",
        "heard_s",
        "demand_by_kind",
        "share_by_kind",
        "other_share",
        "credit_by_kind",
        "refreshed_s",
    )

    def __init__(self, rule: shedding.Rule):
        self.rule = rule
        self.pressure = shedding.Pressure()
        self.heard_load = 0.0
        self.heard_count = 0.0
        self.heard_s = 0.0
        self.demand_by_kind = {}
        self.share_by_kind = {}
        self.other_share = 1.0
        self.credit_by_kind = {}
        self.refreshed_s = -math.inf

    def record_load(self, load: float, now: float, count: float = 1.0):
        """Add a load that was heard; see `shedding.record_load`."""
        if now - self.heard_s > shedding.LOAD_MEMORY_S:
            self.fold_loads()
        self.heard_load += min(load, self.rule.max_load) * count
        self.heard_count += count
        self.heard_s = now

    def fold_loads(self):
        """Bring the loads that were heard into the mean."""
        if self.heard_count:
            self.pressure = shedding.record_load(
                self.pressure,
                self.heard_load / self.heard_count,
                self.heard_s,
                self.heard_count,
            )
            self.heard_load = self.heard_count = 0.0

    def is_calm(self) -> bool:
        """Tell whether all requests are admitted."""
        pressure = self.pressure
        return pressure.log_share > -1e-3 and pressure.load <= self.rule.target

    def is_due(self, now: float) -> bool:
        """Tell whether the shares by kind are to be computed again."""
        wait_s = REFRESH_S + REFRESH_KIND_S * len(self.demand_by_kind)
        return now - self.refreshed_s >= wait_s

    def decay_demand(self, now: float):
        """Forget what arrived long ago."""
        if self.refreshed_s > -math.inf:
            elapsed = now - self.refreshed_s
            decay = math.exp(-elapsed / shedding.DEMAND_MEMORY_S)
            self.demand_by_kind = {
                kind: demand * decay
                for kind, demand in self.demand_by_kind.items()
                if demand * decay >= shedding.MIN_DEMAND
            }
        self.refreshed_s = now

    def refresh(self, now: float, weight_by_account):
        """Compute the admitted share of each kind of requests."""
        self.credit_by_kind = {
            kind: credit
            for kind, credit in self.credit_by_kind.items()
            if kind in self.demand_by_kind
        }
        self.share_by_kind = {}
        self.other_share = 1.0
        if not self.is_calm():
            share = shedding.compute_share(self.pressure, self.rule, now)
            self.other_share = share
            self.share_by_kind = shedding.share_out(
                self.demand_by_kind, share, weight_by_account
            )


class Shedder:
    """Decides which requests are refused because of overload.

    Parameters
    ----------
    random : random.Random
        Draws the initial phase of each route, so that entries don't refuse
        in lockstep.

    Attributes
    ----------
    in_force : bool
        Whether requests are refused by priority and account.
    """

    def __init__(self, random):
        self.random = random
        self.credit_by_route = {}
        self.in_force = False
        self.pool_by_service = {}
        self.weight_by_account = {}

    def refuse_next(self, route_name: str, share: float) -> bool:
        """Tell whether to refuse the next query of a route.

        Each call counts as one query.
        """
        if share <= 0.0:
            self.credit_by_route.pop(route_name, None)
            return False
        return self._spend(self.credit_by_route, route_name, share)

    def _spend(self, credit_by_key, key, share) -> bool:
        credit = credit_by_key.get(key)
        if credit is None:
            credit = self.random.random()
        credit += share
        refused = credit >= 1.0
        credit_by_key[key] = credit - 1.0 if refused else credit
        return refused

    def update_document(self, document):
        """Follow the routes and accounts of a document."""
        self.in_force = bool(document.accounts)
        previous, self.pool_by_service = self.pool_by_service, {}
        if not self.in_force:
            return
        self.weight_by_account = find_weights(document.accounts)
        kept = set()
        for services, rule in list_pools(document.routes):
            pools = [previous[s] for s in services if s in previous]
            pool = next((p for p in pools if p not in kept), Pool(rule))
            pool.rule = rule
            kept.add(pool)
            for service in services:
                self.pool_by_service[service] = pool

    def record_load(
        self, service: str, load: float, now: float, count: float = 1.0
    ):
        """Record the requests per slot that endpoints of a service state."""
        pool = self.pool_by_service.get(service)
        if pool is not None:
            pool.record_load(load, now, count)

    def decide(self, incoming, service: str, now: float) -> Verdict:
        """Decide whether a request is admitted; each call counts as one.

        Parameters
        ----------
        incoming : endpoint_calls.IncomingRequest
        service : str
            Any of those that it would be sent to.
        now : float
            Loop time in s.
        """
        pool = self.pool_by_service.get(service)
        if pool is None:
            # A request may wait for its start while the document changes.
            return Verdict(True)
        kind = build_kind(incoming)
        is_due = pool.is_due(now)
        if is_due:
            pool.decay_demand(now)
        demands = pool.demand_by_kind
        demands[kind] = demands.get(kind, 0.0) + 1.0
        pool.fold_loads()
        pool.pressure = shedding.correct_share(pool.pressure, pool.rule, now)
        if is_due:
            pool.refresh(now, self.weight_by_account)
        load = pool.pressure.load
        share = pool.share_by_kind.get(kind, pool.other_share)
        if share >= 1.0:
            pool.credit_by_kind.pop(kind, None)
            return Verdict(True, load)
        refused = self._spend(pool.credit_by_kind, kind, 1.0 - share)
        return Verdict(not refused, load, share)

    def spares_hedges(self, incoming, service: str) -> bool:
        """Tell whether a request is not hedged, for the sake of others.

        So it is near the load that the slots can bear, unless no request of
        the same endpoints has been more urgent lately.
        """
        pool = self.pool_by_service.get(service)
        if pool is None or pool.pressure.load <= shedding.HEDGE_LOAD:
            return False
        priority = incoming.get_priority()
        return any(kind.priority < priority for kind in pool.demand_by_kind)

    def draw_retry_s(self) -> float:
        """Return when a refused caller may return, in s."""
        return self.random.uniform(*shedding.RETRY_AFTER_S)


def build_kind(incoming) -> shedding.Kind:
    """Return the kind of a request, by which it is counted."""
    account = incoming.account
    return shedding.Kind(
        incoming.get_priority(),
        account.name if account is not None else "",
        incoming.route.name,
    )


def find_weights(accounts) -> dict[str, float]:
    """Return the weights of accounts in a fair share.

    They are in proportion to the rates that accounts may use. An account
    without a rate has the mean weight.
    """
    rates = [a.rate_per_s for a in accounts if a.rate_per_s > 0.0]
    if not rates:
        return {}
    mean = sum(rates) / len(rates)
    return {
        a.name: a.rate_per_s / mean for a in accounts if a.rate_per_s > 0.0
    }


def list_pools(routes) -> list:
    """Return the services whose endpoints form a pool, with its rule.

    Queries with a shard in common share the endpoints of all their shards;
    any other service has a pool of its own.

    Returns
    -------
    list of (tuple of str, shedding.Rule)
    """
    groups = []
    for route in routes:
        if not route.shards:
            continue
        merged = set(route.shards)
        for group in [g for g in groups if not merged.isdisjoint(g)]:
            merged |= group
            groups.remove(group)
        groups.append(merged)
    pools = [(tuple(sorted(g)), shedding.FAN_OUT_RULE) for g in groups]
    shards = set().union(*groups)
    singles = {a.service for route in routes for a in route.alternatives}
    pools += [
        ((service,), shedding.SINGLE_RULE)
        for service in sorted(singles - shards)
    ]
    return pools
