"""What an entry still takes while it stops, and when it has to end.

From SIGTERM on the entry has the grace period, less a margin, to finish. It
takes a request only if that can end before; a caller whose request is refused
goes to another entry. The deadline that endpoints get is cut to the time left,
so that none works for an entry that is gone.
"""

import collections
import math
import typing

STOP_MARGIN_S = 0.6  # between stopping and the platform's SIGKILL
NOTICE_S = 2.6  # two failed checks of a balancer that polls each second
RETRY_AFTER_S = 0.05  # other entries serve at once
REASON = "draining"
RECENT_ANSWERS = 64  # of a route
SLOW_PERCENTILE = 0.95
# An unsafe request that is ended early can't be repeated by its caller.
UNSAFE_FACTOR = 2.0


class Work(typing.NamedTuple):
    """What is known of the time that a request takes.

    Parameters
    ----------
    deadline_s : float
        Longest time, by the route's timeout and the caller's deadline.
    slow_s : float or None
        Time of a slow request of its kind; None if not known.
    idempotent : bool
        Whether the caller can repeat it if it is ended early.
    """

    deadline_s: float
    slow_s: float | None
    idempotent: bool


class Verdict(typing.NamedTuple):
    """Whether a request is taken, and by which times."""

    taken: bool
    needed_s: float
    left_s: float

    def build_log_fields(self) -> dict:
        """Return the fields of the log event of a refusal."""
        return {
            "needed_ms": round(self.needed_s * 1000.0),
            "left_ms": round(self.left_s * 1000.0),
        }


def compute_end_s(grace_s: float) -> float:
    """Return when an entry ends at the latest, in s since SIGTERM."""
    return max(0.0, grace_s - STOP_MARGIN_S)


def compute_notice_s(grace_s: float) -> float:
    """Return how long an idle entry waits for the balancer to notice."""
    return min(NOTICE_S, compute_end_s(grace_s))


def compute_needed_s(work: Work) -> float:
    """Return the time within which a request ends, as far as known."""
    if work.slow_s is None:
        return work.deadline_s
    factor = 1.0 if work.idempotent else UNSAFE_FACTOR
    return min(work.deadline_s, factor * work.slow_s)


def decide(work: Work, left_s: float) -> Verdict:
    """Decide whether a request can end in the time that is left.

    Parameters
    ----------
    work : Work
    left_s : float
        Time until the entry ends; infinite if it does not stop.
    """
    needed_s = compute_needed_s(work)
    return Verdict(needed_s <= left_s, needed_s, left_s)


def find_slow_s(times_s) -> float | None:
    """Return a high percentile of some times; None without any."""
    if not times_s:
        return None
    ordered = sorted(times_s)
    return ordered[math.ceil(SLOW_PERCENTILE * len(ordered)) - 1]


class Drain:
    """State of the stop of one entry; mutable.

    Parameters
    ----------
    loop : asyncio.AbstractEventLoop

    Attributes
    ----------
    end_s : float
        Loop time at which the entry ends at the latest; infinite while it
        does not stop.
    times_by_route : dict of str to deque
        Times of the last successful answers, in s.
    """

    def __init__(self, loop):
        self.loop = loop
        self.end_s = math.inf
        self.times_by_route = {}

    def start(self, grace_s: float):
        """Begin to stop."""
        self.end_s = self.loop.time() + compute_end_s(grace_s)

    def is_started(self) -> bool:
        """Tell whether the entry stops."""
        return self.end_s < math.inf

    def get_left_s(self) -> float:
        """Return the time until the entry ends."""
        return max(0.0, self.end_s - self.loop.time())

    def record(self, route_name: str, took_s: float):
        """Record the time of a successful answer."""
        times = self.times_by_route.get(route_name)
        if times is None:
            times = collections.deque(maxlen=RECENT_ANSWERS)
            self.times_by_route[route_name] = times
        times.append(took_s)

    def decide(self, route, deadline_s: float) -> Verdict:
        """Decide whether a request of a route can still end.

        Parameters
        ----------
        route : documents.Route
        deadline_s : float
            How long the request may take from now on.
        """
        slow_s = find_slow_s(self.times_by_route.get(route.name))
        work = Work(deadline_s, slow_s, route.idempotent)
        return decide(work, self.get_left_s())
