"""Builds what all routed requests of a process share."""

import random
import typing

from chervilspindle.routing import endpoints
from chervilspindle.routing import forwarding
from chervilspindle.routing import overload
from chervilspindle.routing import relay_selection
from chervilspindle.routing import relayed_query
from chervilspindle.routing import retry_budget


class Place(typing.NamedTuple):
    """Where an entry runs, and what it has there.

    Parameters
    ----------
    vm_id, zone : str
    core_share : float
        Part of a core that the process may use.
    link_mbps : float
        Bandwidth of the VM's link, in Mbit/s.
    """

    vm_id: str
    zone: str
    core_share: float = 1.0
    link_mbps: float = 1000.0


def build_context(
    loop,
    place: Place,
    header_names: forwarding.HeaderNames,
    rule: retry_budget.Rule,
    network,
    metrics,
    seed,
) -> forwarding.Context:
    """Build the context of an entry.

    Parameters
    ----------
    loop : asyncio.AbstractEventLoop
    place : Place
    header_names : forwarding.HeaderNames
    rule : retry_budget.Rule
    network : PeerNetwork
        Links to other entries.
    metrics : RoutingMetrics
    seed : str
        Of the random numbers.
    """
    names = forwarding.build_names(header_names)
    generator = random.Random(seed)
    table = endpoints.EndpointTable(
        loop,
        place.zone,
        names.lower.request_id,
        generator,
        metrics.count_event,
    )
    relay_table = relay_selection.RelayTable(
        place.vm_id,
        place.zone,
        place.core_share,
        place.link_mbps,
        loop.time,
    )
    return forwarding.Context(
        loop,
        names,
        table,
        retry_budget.RetryBudget(rule, loop.time),
        forwarding.Pace(place.core_share, place.link_mbps),
        metrics,
        generator,
        relayed_query.RelayClient(network, relay_table),
        overload.Shedder(generator),
    )
