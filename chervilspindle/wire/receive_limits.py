"""Limits on what endpoints may send to this process.

An endpoint in trouble may send without end. Each answer has a limit of its
own, and the answers that are being received share a budget, so that many
such endpoints at once can't exhaust the memory of the VM. A received block is
parsed in pieces, with a look at the limits after each, so that the rest of an
answer that exceeds them costs no time. The time that goes into answers that
are none has a share of its own, so that requests to other endpoints are
served meanwhile.
"""

import math

from chervilspindle.core import logs
from chervilspindle.wire import caller_limits

# Bytes outside the body: status line, header lines, interim answers, chunk
# framing and trailers.
MAX_OVERHEAD_BYTES = 16 * 1024
CHUNK_OVERHEAD_RATIO = 2  # framing of chunks with three bytes each
MAX_FRAMING_BYTES = 2048  # after the head, beside that ratio
MAX_INTERIM_ANSWERS = 16
PIECE_BYTES = 2048
MAX_BODY_PIECES = 64
MAX_BODY_BYTES = 4 * 1024 * 1024
MIN_PART_LIMIT_BYTES = 64 * 1024
PART_LIMIT_FACTOR = 16  # times the size of the records that are asked for
BUDGET_SHARE = 0.125  # of the VM's memory
MIN_BUDGET_BYTES = 2 * MAX_BODY_BYTES
INVALID_TIME_SHARE = 0.1  # of the process's time, for answers that are none
MAX_INVALID_TIME_S = 0.1  # spent at once
# Beside the parsing: the request, its connection, and what the kernel copies.
INVALID_ANSWER_TIME_S = 0.0005
MAX_INVALID_PAUSE_S = 2.0  # an endpoint may be sound again any time


def compute_part_limit(top_k: int, record_bytes: int) -> int:
    """Return the largest accepted body of a part, in bytes.

    Parameters
    ----------
    top_k : int
        Records that the query asks for.
    record_bytes : int
    """
    wanted = PART_LIMIT_FACTOR * top_k * record_bytes
    return min(MAX_BODY_BYTES, max(MIN_PART_LIMIT_BYTES, wanted))


def is_overhead_exceeded(received_bytes: int, body_bytes: int) -> bool:
    """Tell whether an answer has too many bytes outside its body."""
    allowed = MAX_OVERHEAD_BYTES + CHUNK_OVERHEAD_RATIO * body_bytes
    return received_bytes - body_bytes > allowed


def is_framing_exceeded(framing_bytes: int, body_bytes: int) -> bool:
    """Tell whether too many bytes after a head are none of the body."""
    return (
        framing_bytes > MAX_FRAMING_BYTES + CHUNK_OVERHEAD_RATIO * body_bytes
    )


def split(data: bytes):
    """Return a received block in pieces; small ones are not copied."""
    if len(data) <= PIECE_BYTES:
        return (data,)
    starts = range(0, len(data), PIECE_BYTES)
    return (data[start : start + PIECE_BYTES] for start in starts)


def count_head_bytes(piece: bytes) -> int:
    """Return the memory that a piece of a head takes, at most."""
    return len(piece) + piece.count(b"\n") * caller_limits.LINE_BYTES


def add_body_piece(pieces: list, piece: bytes):
    """Append to a body; many small pieces are held as one."""
    if len(pieces) == MAX_BODY_PIECES:
        pieces[:] = [bytearray().join(pieces)]
    if pieces and isinstance(pieces[0], bytearray):
        pieces[0] += piece
    else:
        pieces.append(piece)


def compute_budget_bytes(memory_mb: float) -> int:
    """Return the budget of a VM for incomplete answers, in bytes."""
    return max(MIN_BUDGET_BYTES, int(memory_mb * 1e6 * BUDGET_SHARE))


class InvalidTime:
    """Time that a process has spent on answers that are none; mutable.

    It drains at the rate that may be spent for longer.

    Attributes
    ----------
    level_s : float
        Time spent and not drained yet, as of `updated_s`.
    updated_s : float
        Loop time.
    """

    __slots__ = ("level_s", "updated_s")

    def __init__(self):
        self.level_s = 0.0
        self.updated_s = -math.inf

    def charge(self, spent_s: float, now: float):
        """Add an answer whose parsing took some time until a loop time."""
        spent_s += INVALID_ANSWER_TIME_S
        most_s = MAX_INVALID_TIME_S + MAX_INVALID_PAUSE_S * INVALID_TIME_SHARE
        self.level_s = min(most_s, self._read_level_s(now) + spent_s)
        self.updated_s = now

    def compute_pause_s(self, now: float) -> float:
        """Return how long no more is to be spent, in s; 0 if more may be."""
        surplus_s = self._read_level_s(now) - MAX_INVALID_TIME_S
        return max(0.0, surplus_s / INVALID_TIME_SHARE)

    def _read_level_s(self, now):
        drained_s = (now - self.updated_s) * INVALID_TIME_SHARE
        return max(0.0, self.level_s - drained_s)


class ReceiveBudget:
    """Bytes of incomplete answers that a process holds in memory.

    When they exceed the budget, the largest answer is dropped: that of an
    endpoint that sends without end, rather than one that has just begun.

    Parameters
    ----------
    limit_bytes : int

    Attributes
    ----------
    invalid_time : InvalidTime
    """

    def __init__(self, limit_bytes: int):
        self.limit_bytes = limit_bytes
        self.invalid_time = InvalidTime()
        self.total_bytes = 0
        self.held_by_connection = {}

    def hold(self, connection, count: int):
        """Add received bytes; drops the largest answers over the budget.

        Parameters
        ----------
        connection
            Has a method ``drop_answer(reason)``, which calls `release`.
        count : int
        """
        held_by_connection = self.held_by_connection
        held_by_connection[connection] = (
            held_by_connection.get(connection, 0) + count
        )
        self.total_bytes += count
        while self.total_bytes > self.limit_bytes:
            largest = max(held_by_connection, key=held_by_connection.get)
            logs.log_decision(
                "receive-budget-exceeded",
                held_bytes=self.total_bytes,
                limit_bytes=self.limit_bytes,
                dropped_bytes=held_by_connection[largest],
            )
            largest.drop_answer("receive_budget")

    def release(self, connection):
        """Remove the bytes of an answer that has ended."""
        self.total_bytes -= self.held_by_connection.pop(connection, 0)
