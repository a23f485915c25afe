"""Which requests to refuse when endpoints have more than they can do.

The load that this responds to is the number of requests that an endpoint runs
or has waiting for each of its slots, as it states it in its answers: the mean
of what this VM heard lately from the endpoints of one pool, which are those of
a service, or of all shards that routes have in common.

Two corrections hold the load at a target. The admitted share of all requests
shrinks slowly while the load is above the target and grows while it is below,
so that the load does not rise with the demand: what has to be answered soonest
would be late. A direct cut for a load that is far above the target lets queues
drain that have formed before the share has followed.

The admitted share is given out by priority, by the VM's own counts of what
arrives; within a priority, to accounts by their fair share.
"""

import collections
import math
import typing

LOAD_MEMORY_S = 0.3  # time constant of the mean of the loads heard
LOAD_FADE_S = 1.0  # time constant of the direct cut after the last load
STALE_S = 3.0  # older loads do not change the share
MAX_STEP_S = 0.4  # between two corrections of the share that counts
# Of the logarithm of the share, for each unit of load above the target. With
# 1.2, bursts of twice the capacity were cut to a tenth before their queues
# had drained (simulation of `shedding_test`).
GAIN_PER_S = 0.5
MAX_EXCESS = 1.5  # of the load above its target that counts
# Load from which queues have formed, as a factor of the target, and exponent
# of the cut that lets them drain: what is admitted meanwhile is late as well.
FAR_FACTOR = 2.0
FAR_CAUTION = 5.0
# The share returns to 1 with this time constant if nothing is heard. It also
# lets VMs that hear little converge to the share of the others.
RECOVERY_S = 10.0
MIN_SHARE = 0.05  # some requests are always admitted, so that load is heard
# Part of the average admitted share that each route and account keeps,
# whatever its priority: a quarter, and a margin for counts that are small.
KEPT_PART = 0.3
KEPT_ERROR = 1e-6  # of sums of shares
DEMAND_MEMORY_S = 20.0  # time constant of the counts of what arrives
MIN_DEMAND = 0.02  # requests; a smaller count is forgotten
# Above this load, only the most urgent requests are hedged.
HEDGE_LOAD = 0.9
RETRY_AFTER_S = (0.25, 1.25)  # range, so that callers return spread out


class Rule(typing.NamedTuple):
    """How the load of a pool is held.

    Parameters
    ----------
    target : float
        Load that is aimed at.
    max_load : float
        That one endpoint counts with.
    """

    target: float
    max_load: float


# Lower targets refused queries at 0.65 to 0.8 of the capacity that would have
# been answered in time. A queue counts up to a bound, so that paused endpoints
# among many shards do not look like overload.
FAN_OUT_RULE = Rule(1.5, 4.0)
# A single request waits in one queue, and its objective is several times its
# work in the deployments that were simulated.
SINGLE_RULE = Rule(2.0, 8.0)


class Kind(typing.NamedTuple):
    """Requests that are treated alike.

    Parameters
    ----------
    priority : int
        0 is the most urgent.
    account : str
        Name of the client account; empty without one.
    route : str
    """

    priority: int
    account: str
    route: str


class Pressure(typing.NamedTuple):
    """What a VM knows about the load of some endpoints.

    Parameters
    ----------
    load : float
        Mean of the loads heard lately.
    weight : float
        Number of loads in the mean, decayed to `heard_s`.
    heard_s : float
        Time of the last load heard.
    log_share : float
        Logarithm of the share of requests that is admitted.
    decided_s : float
        Time of the last correction of the share.
    """

    load: float = 0.0
    weight: float = 0.0
    heard_s: float = -math.inf
    log_share: float = 0.0
    decided_s: float = -math.inf


def record_load(
    pressure: Pressure, load: float, now: float, count: float = 1.0
) -> Pressure:
    """Add a load that was heard.

    Parameters
    ----------
    load : float
        Requests per slot.
    count : float
        Number of endpoints that it is the mean of.
    """
    decay = math.exp((pressure.heard_s - now) / LOAD_MEMORY_S)
    weight = pressure.weight * decay + count
    mean = pressure.load + (load - pressure.load) * count / weight
    return pressure._replace(load=mean, weight=weight, heard_s=now)


def correct_share(pressure: Pressure, rule: Rule, now: float) -> Pressure:
    """Correct the admitted share by what was heard since the last time."""
    elapsed = now - pressure.decided_s
    log_share = pressure.log_share * math.exp(-elapsed / RECOVERY_S)
    is_news = pressure.heard_s > pressure.decided_s
    if is_news and now - pressure.heard_s < STALE_S:
        excess = min(MAX_EXCESS, pressure.load - rule.target)
        log_share -= GAIN_PER_S * excess * min(elapsed, MAX_STEP_S)
        log_share = min(0.0, max(math.log(MIN_SHARE), log_share))
    return pressure._replace(log_share=log_share, decided_s=now)


def compute_share(pressure: Pressure, rule: Rule, now: float) -> float:
    """Return the share of requests that is admitted now."""
    log_share = pressure.log_share
    if pressure.load > rule.target:
        fade = math.exp((pressure.heard_s - now) / LOAD_FADE_S)
        cut = math.log(pressure.load / rule.target)
        far_above = pressure.load / (FAR_FACTOR * rule.target)
        if far_above > 1.0:
            cut += FAR_CAUTION * math.log(far_above)
        log_share -= cut * fade
    return max(MIN_SHARE, math.exp(log_share))


def estimate_wait_ms(load: float, slots: int, work_ms: float) -> float:
    """Return how long a request would wait for a slot of an endpoint.

    Parameters
    ----------
    load : float
        Requests that it runs or has waiting.
    """
    return max(0.0, load - slots + 1.0) / slots * work_ms


def is_hopeless(wait_ms: float, work_ms: float, left_ms: float) -> bool:
    """Tell whether a request that waits so long would be late.

    Its work counts with half of the time that is left at most: a service that
    is slower than its objective would refuse everything otherwise.

    Parameters
    ----------
    wait_ms : float
        Until a slot is free.
    work_ms : float
    left_ms : float
        Time until the answer has to be ready.
    """
    return wait_ms > max(left_ms - work_ms, 0.5 * left_ms, 0.0)


class Claim(typing.NamedTuple):
    """What one account may get of the requests of one priority.

    Parameters
    ----------
    demand : float
        Requests that arrive.
    kept : float
        What it gets in any case.
    weight : float
        Of the account in a fair share.
    """

    demand: float
    kept: float
    weight: float


def share_out(
    demand_by_kind: dict[Kind, float],
    share: float,
    weight_by_account: dict[str, float],
) -> dict[Kind, float]:
    """Return the share of each kind of requests that is admitted.

    The more urgent go first; within a priority, accounts get what they ask
    for up to a common level in proportion to their weights. Then each
    account and each route is brought to `KEPT_PART` of the average share. To
    give each kind so much would reward callers that ask again at once.

    Parameters
    ----------
    demand_by_kind : dict of Kind to float
        Requests that arrive.
    share : float
        Share of all requests that is admitted.
    weight_by_account : dict of str to float
        Accounts that are absent have a weight of 1.
    """
    if share >= 1.0:
        return dict.fromkeys(demand_by_kind, 1.0)
    kept_share = KEPT_PART * share
    protected = set()
    while True:
        shares = _share_out_by_priority(
            demand_by_kind, share, weight_by_account, kept_share, protected
        )
        missed = _find_missed(demand_by_kind, shares, kept_share)
        if missed <= protected:
            return shares
        protected |= missed


def _share_out_by_priority(
    demand_by_kind, share, weight_by_account, kept_share, protected
):
    """Return the share of each kind.

    Parameters
    ----------
    protected : set of (int, str)
        Priorities and accounts whose requests get `kept_share` at least.
    """
    demands_by_priority = collections.defaultdict(collections.Counter)
    for kind, demand in demand_by_kind.items():
        demands_by_priority[kind.priority][kind.account] += demand
    left = share * sum(demand_by_kind.values())
    reserved = kept_share * sum(
        demand
        for kind, demand in demand_by_kind.items()
        if kind[:2] in protected
    )
    share_by_owner = {}
    for priority, demands in sorted(demands_by_priority.items()):
        claims = {}
        for account, demand in demands.items():
            is_protected = (priority, account) in protected
            kept = kept_share * demand if is_protected else 0.0
            weight = weight_by_account.get(account, 1.0)
            claims[account] = Claim(demand, kept, weight)
            reserved -= kept
        level = find_level(claims.values(), left - reserved)
        for account, claim in claims.items():
            granted = min(claim.demand, max(claim.kept, level * claim.weight))
            left -= granted
            share_by_owner[priority, account] = granted / claim.demand
    return {kind: share_by_owner[kind[:2]] for kind in demand_by_kind}


def _find_missed(demand_by_kind, shares, kept_share):
    """Return owners of requests whose account or route gets too little."""
    demands = collections.Counter()
    granted = collections.Counter()
    for kind, demand in demand_by_kind.items():
        for group in (("account", kind.account), ("route", kind.route)):
            demands[group] += demand
            granted[group] += demand * shares[kind]
    short = {
        group
        for group, demand in demands.items()
        if granted[group] < (1.0 - KEPT_ERROR) * kept_share * demand
    }
    return {
        kind[:2]
        for kind in demand_by_kind
        if ("account", kind.account) in short or ("route", kind.route) in short
    }


def find_level(claims, total: float) -> float:
    """Return the level of a fair share, for a weight of 1.

    Each claim gets its weight times the level, but no less than it keeps and
    no more than it asks for. Infinite if the total suffices for all.
    """
    # What is granted grows between the two levels of each claim.
    steps = []
    for claim in claims:
        steps.append((claim.kept / claim.weight, claim.weight))
        steps.append((claim.demand / claim.weight, -claim.weight))
    granted = sum(claim.kept for claim in claims)
    level = 0.0
    weights = 0.0
    for next_level, weight in sorted(steps):
        growth = (next_level - level) * weights
        if weights > 0.0 and granted + growth > total:
            return level + max(0.0, total - granted) / weights
        granted += growth
        level = next_level
        weights += weight
    return math.inf
