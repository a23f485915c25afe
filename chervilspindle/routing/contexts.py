"""Building of the context that all routed requests of a process share."""

import random
import typing

from chervilspindle.accounts import quota_permits
from chervilspindle.core import timers
from chervilspindle.policy import shared_limits
from chervilspindle.policy import spreading
from chervilspindle.routing import drain
from chervilspindle.routing import endpoint_calls
from chervilspindle.routing import endpoints
from chervilspindle.routing import overload
from chervilspindle.routing import quarantine
from chervilspindle.routing import rate_permits
from chervilspindle.routing import reachability as reachability_module
from chervilspindle.routing import relay_selection
from chervilspindle.routing import relayed_query
from chervilspindle.routing import retry_budget
from chervilspindle.wire import caller_limits
from chervilspindle.wire import receive_limits


class VmProfile(typing.NamedTuple):
    """Location and resources of the VM of an entry.

    Parameters
    ----------
    vm_id, zone : str
    core_share : float
        Share of a CPU core that the process may use.
    link_mbps : float
        Bandwidth of the VM's link, in Mbit/s.
    memory_mb : float
        Memory that the process may use, in MB.
    """

    vm_id: str
    zone: str
    core_share: float = 1.0
    link_mbps: float = 1000.0
    memory_mb: float = 256.0


def build_context(
    loop,
    profile: VmProfile,
    header_names: endpoint_calls.HeaderNames,
    rule: retry_budget.Rule,
    network,
    metrics,
    seed,
    quota_rule: shared_limits.QuotaRule | None = None,
    spread_load: bool = False,
    cold_rule: shared_limits.ColdRule | None = None,
    caller_budget: caller_limits.CallerBudget | None = None,
) -> endpoint_calls.Context:
    """Build the context of an entry.

    Parameters
    ----------
    loop : asyncio.AbstractEventLoop
    profile : VmProfile
    header_names : endpoint_calls.HeaderNames
    rule : retry_budget.Rule
    network : PeerNetwork
        Connections to other entries.
    metrics : RoutingMetrics
    seed : str
        Seed of the random number generator.
    quota_rule : shared_limits.QuotaRule or None
        None where quotas of client accounts are not in force.
    spread_load : bool
        Whether endpoints are chosen as `spreading` describes.
    cold_rule : shared_limits.ColdRule or None
        None where endpoints that are cold have no limit.
    caller_budget : caller_limits.CallerBudget or None
        Shared by all that is held for callers; None for no limit.
    """
    names = endpoint_calls.encode_header_names(header_names)
    generator = random.Random(seed)
    table = endpoints.EndpointTable(
        loop,
        profile.zone,
        names.lower.request_id,
        generator,
        metrics.count_event,
        receive_limits.ReceiveBudget(
            receive_limits.compute_budget_bytes(profile.memory_mb)
        ),
    )
    if spread_load:
        table.loads = spreading.LoadMemory()
    reachability = reachability_module.Reachability(
        loop, table, generator, metrics.set_cut_off
    )
    table.link_observer = reachability
    table.on_held_back = metrics.count_held_back
    table.cold_rule = cold_rule
    relay_table = relay_selection.RelayTable(
        profile.vm_id,
        profile.zone,
        profile.core_share,
        profile.link_mbps,
        loop.time,
    )
    budget = retry_budget.RetryBudget(rule, loop.time)
    issuer = rate_permits.PermitIssuer(profile.vm_id, relay_table, loop.time)
    relays = relayed_query.RelayClient(network, relay_table, generator)
    quarantined = quarantine.Quarantine(loop, table, reachability)
    quarantined.ask_other = relays.call_any
    reachability.ask_other = relays.call_any
    quotas = None
    if quota_rule is not None:
        quotas = quota_permits.QuotaClient(
            loop,
            network,
            quota_permits.QuotaIssuer(
                profile.vm_id,
                quota_rule,
                relay_table,
                lambda: timers.read_monotonic_ms() / 1000.0,
                network.send,
            ),
            generator,
            metrics.count_quota,
        )
    return endpoint_calls.Context(
        loop,
        names,
        table,
        budget,
        endpoint_calls.LatencyEstimates(profile.core_share, profile.link_mbps),
        metrics,
        generator,
        relays,
        overload.Shedder(generator),
        rate_permits.PermitClient(loop, network, issuer, budget, generator),
        quarantined,
        reachability,
        drain.Drain(loop),
        quotas,
        caller_budget or caller_limits.build_unlimited(loop.time),
    )
