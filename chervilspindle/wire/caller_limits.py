"""Limits on what callers may make this process hold.

Callers outside the operator's control may send requests of legal size that
cost far more memory than bytes, or stop short of the end of many of them. All
that is held for the callers of a process shares one budget, and a share of
the descriptors is left to endpoints, peers and readiness checks.
"""

import heapq
import math
import typing

from chervilspindle.core import logs

# Memory of a header line beside its bytes: a tuple and two bytes objects.
LINE_BYTES = 160
# Memory of a connection with a small request: its protocol object, the
# parser and the transport.
CONNECTION_BYTES = 8 * 1024
# Requests up to this size are covered by CONNECTION_BYTES.
SMALL_BYTES = 4 * 1024
# A request that runs holds its body, once more in the template of its sends,
# and once more while a message to a relay is encoded.
RUNNING_COPIES = 3
# Of the VM's memory. Resident memory grew by up to twice the bytes that were
# counted while a crowd sent, since freed buffers leave gaps.
BUDGET_SHARE = 1.0 / 6.0
MIN_BUDGET_BYTES = 16 * 1024 * 1024
# Bytes of resident memory for each that is counted.
RESIDENT_GROWTH = 2.0
# Taken after the start beside callers: connections, tables, loaded modules.
SERVING_MB = 10.0
# Even with little memory left: a body of 4 MiB in progress.
LEAST_BUDGET_BYTES = 13 * 1000 * 1000
# Victims are sought until this share of the budget is in use, so that a crowd
# does not cause a search for each of its bytes.
TARGET_SHARE = 0.875
CONNECTION_SHARE = 0.6  # of the descriptors that the process may open
MIN_CONNECTIONS = 16
# Of the connections; closed together, so that a crowd that connects does not
# cause a search for each of its connections.
CLOSED_SHARE = 1.0 / 32.0
# Of the descriptors; for links whose peer has not shown that it has the key.
UNVERIFIED_SHARE = 0.125
# Of the descriptors; for each of the servers that are not for callers.
SIDE_SHARE = 1.0 / 16.0
# Requests that have just begun are refused by size alone.
MIN_AGE_S = 0.05
# Bytes that are parsed at once. Between two such pieces the limits are
# checked, so a piece bounds how far a caller gets beyond them.
PIECE_BYTES = 4096
# Calls of the parser for one connection before others have their turn; a
# request within the limits and in chunks of 4 KiB and more needs fewer.
MAX_TURN_CALLS = 500
REQUEST_CALLS = 16  # which a complete request counts as

FIRST_REQUEST_S = 0.5  # within which a new connection gets its request

BUDGET_REASON = "caller_budget"
CONNECTIONS_REASON = "connections"
UNREAD_REASON = "unread"


class Held(typing.NamedTuple):
    """What is held for one connection.

    Parameters
    ----------
    connection : object
    held_bytes : int
        Without the request in progress.
    age_s : float
        Time since its request began, or since its caller stopped reading.
    is_running : bool
        Whether a request is in progress and it holds little else.
    is_over : bool
        Whether it is beyond a limit already and is being closed.
    """

    connection: object
    held_bytes: int
    age_s: float
    is_running: bool
    is_over: bool


class Idle(typing.NamedTuple):
    """A connection that might be closed to make room for a new one.

    Parameters
    ----------
    connection : object
    request_count : int
        Complete requests so far.
    quiet_s : float
        Time since its last answer, or since it was opened.
    is_running : bool
    """

    connection: object
    request_count: int
    quiet_s: float
    is_running: bool


def choose_refused(rows, excess_bytes: int) -> list:
    """Return the connections to give up, in order, to free some bytes.

    Those beyond a limit go first, then those that hold most and make least
    progress: the product of their bytes and of the age of their request. A
    connection whose request is in progress is never chosen.

    Parameters
    ----------
    rows : iterable of Held
    excess_bytes : int
    """
    candidates = [row for row in rows if not row.is_running]
    candidates.sort(key=_rank_held, reverse=True)
    chosen = []
    for row in candidates:
        if excess_bytes <= 0:
            break
        chosen.append(row.connection)
        excess_bytes -= row.held_bytes
    return chosen


def _rank_held(row: Held):
    # A connection that holds no request is worth the least.
    held_bytes = row.held_bytes - CONNECTION_BYTES
    return row.is_over, held_bytes * (MIN_AGE_S + row.age_s)


def choose_closed(rows, count: int) -> list:
    """Return the connections to close for new ones, in order.

    Those that never sent a complete request go first, unless they are new,
    then those that have been quiet for longest. One whose request is in
    progress is never chosen.

    Parameters
    ----------
    rows : iterable of Idle
    count : int
    """
    candidates = [row for row in rows if not row.is_running]
    return [
        row.connection
        for row in heapq.nlargest(count, candidates, key=_rank_idle)
    ]


def _rank_idle(row: Idle):
    if row.request_count:
        return 1, row.quiet_s
    return 0 if row.quiet_s < FIRST_REQUEST_S else 2, row.quiet_s


def compute_budget_bytes(
    memory_mb: float, resident_mb: float | None = None
) -> int:
    """Return the budget of a VM for what its callers hold, in bytes.

    Parameters
    ----------
    memory_mb : float
        Memory of the VM.
    resident_mb : float or None
        Memory of the process at its start, if known. The budget is
        at most half of what is left, as resident memory grows by up to twice
        what is counted.
    """
    wanted = max(MIN_BUDGET_BYTES, int(memory_mb * 1e6 * BUDGET_SHARE))
    if resident_mb is None:
        return wanted
    left_mb = memory_mb - resident_mb - SERVING_MB
    left = int(left_mb * 1e6 / RESIDENT_GROWTH)
    return max(LEAST_BUDGET_BYTES, min(wanted, left))


def compute_max_connections(descriptors: float) -> float:
    """Return how many connections of callers a process accepts.

    Parameters
    ----------
    descriptors : float
        Descriptors that it may open; infinite for no limit.
    """
    return _take_share(descriptors, CONNECTION_SHARE)


def compute_max_side(descriptors: float) -> float:
    """Return how many connections each other server accepts."""
    return _take_share(descriptors, SIDE_SHARE)


def compute_max_unverified(descriptors: float) -> float:
    """Return how many links may be open that have not shown the key."""
    return _take_share(descriptors, UNVERIFIED_SHARE)


def _take_share(descriptors, share):
    if math.isinf(descriptors):
        return math.inf
    return max(MIN_CONNECTIONS, int(descriptors * share))


class RunningHold:
    """What sends of a request hold; it is never given up."""

    def describe_held(self, held_bytes: int, now: float):
        """Return what the budget has to know of it."""
        return Held(self, held_bytes, 0.0, True, False)


class CallerBudget:
    """Bytes that a process holds for its callers.

    Parameters
    ----------
    limit_bytes : float
        Infinite for no limit.
    read_clock : callable
        Returns the time in seconds.
    on_refused : callable or None
        ``on_refused(reason)``, called for each connection that is given up.
    trim : callable
        Called after room was made; may return free memory to the system.

    Attributes
    ----------
    held_by_connection : dict of object to int
    """

    def __init__(
        self, limit_bytes, read_clock, on_refused=None, trim=lambda: None
    ):
        self.limit_bytes = limit_bytes
        self.read_clock = read_clock
        self.on_refused = on_refused
        self.trim = trim
        self.total_bytes = 0
        self.held_by_connection = {}

    def hold(self, connection, count: int):
        """Set what is held for a connection; makes room over the budget.

        Parameters
        ----------
        connection
            Has the methods ``describe_held(held_bytes, now)``, which returns
            a row of `Held`, and ``give_up(reason)``, which releases what it
            holds.
        count : int
        """
        added = count - self.held_by_connection.get(connection, 0)
        self.total_bytes += added
        self.held_by_connection[connection] = count
        if added > 0 and self.total_bytes > self.limit_bytes:
            self._make_room()

    def try_hold(self, connection, count: int) -> bool:
        """Set what is held for a connection, unless there is no room.

        Returns
        -------
        bool
            False if it does not fit; what was held before is held on.
        """
        before = self.held_by_connection.get(connection, 0)
        self.hold(connection, count)
        if self.total_bytes <= self.limit_bytes:
            return True
        if before:
            self.hold(connection, before)
        else:
            self.release(connection)
        self.count_refused(BUDGET_REASON)
        return False

    def release(self, connection):
        """Remove all that is held for a connection."""
        self.total_bytes -= self.held_by_connection.pop(connection, 0)

    def count_refused(self, reason: str):
        """Count a connection that is refused or closed for a limit."""
        if self.on_refused is not None:
            self.on_refused(reason)

    def _make_room(self):
        now = self.read_clock()
        rows = [
            connection.describe_held(held, now)
            for connection, held in self.held_by_connection.items()
        ]
        target = self.limit_bytes * TARGET_SHARE
        chosen = choose_refused(rows, self.total_bytes - target)
        before = self.total_bytes
        for connection in chosen:
            connection.give_up(BUDGET_REASON)
        logs.log_decision(
            "caller-budget-exceeded",
            held_bytes=before,
            limit_bytes=int(self.limit_bytes),
            refused_connections=len(chosen),
            freed_bytes=before - self.total_bytes,
        )
        self.trim()


def build_unlimited(read_clock) -> CallerBudget:
    """Build a budget without a limit."""
    return CallerBudget(math.inf, read_clock)
