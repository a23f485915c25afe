"""How much a process holds for callers, by its settings and its system."""

import ctypes
import functools
import math
import resource
import typing

from chervilspindle.wire import caller_limits


class CallerCapacity(typing.NamedTuple):
    """What a process holds for callers.

    Parameters
    ----------
    budget : caller_limits.CallerBudget
        Shared by all servers of the process and by links to it.
    max_connections : float
        Connections of callers; infinite for no limit.
    max_side : float
        Connections to each server that is not for callers.
    max_unverified : float
        Links whose peers have not shown that they have the key.
    """

    budget: caller_limits.CallerBudget
    max_connections: float
    max_side: float
    max_unverified: float


def build_capacity(settings, read_clock, on_refused) -> CallerCapacity:
    """Build the capacity of a process with `process.RoutingSettings`."""
    limit_bytes = caller_limits.compute_budget_bytes(
        settings.memory_mb, read_resident_mb()
    )
    if settings.caller_memory_mb is not None:
        limit_bytes = int(settings.caller_memory_mb * 1e6)
    descriptors = read_descriptor_limit()
    max_connections = caller_limits.compute_max_connections(descriptors)
    if settings.caller_connections is not None:
        max_connections = settings.caller_connections
    return CallerCapacity(
        caller_limits.CallerBudget(
            limit_bytes, read_clock, on_refused, find_trim()
        ),
        max_connections,
        caller_limits.compute_max_side(descriptors),
        caller_limits.compute_max_unverified(descriptors),
    )


def find_trim():
    """Return a function that returns free memory to the system.

    Freed buffers leave gaps in the heap, which stay resident. Without glibc
    the function does nothing.
    """
    trim = getattr(ctypes.CDLL(None), "malloc_trim", None)
    return functools.partial(trim, 0) if trim is not None else lambda: None


def read_resident_mb() -> float | None:
    """Return the resident memory of this process in MB.

    None where the system does not tell it.
    """
    try:
        with open("/proc/self/statm", encoding="ascii") as handle:
            pages = int(handle.read().split()[1])
    except OSError:
        return None
    return pages * resource.getpagesize() / 1e6


def read_descriptor_limit() -> float:
    """Return how many descriptors the process may open."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return math.inf if soft == resource.RLIM_INFINITY else soft
