"""Tests of how much a process holds for callers."""

from chervilspindle.routing import caller_capacity
from chervilspindle.wire import caller_limits


def test_the_resident_memory_of_this_process_is_known():
    resident_mb = caller_capacity.read_resident_mb()
    assert resident_mb is None or 5.0 < resident_mb < 10_000.0


def test_free_memory_is_returned_after_room_was_made():
    """Guards against a heap whose gaps stay resident under a crowd."""
    trims = []

    class Connection:
        def describe_held(self, held_bytes, now):
            return caller_limits.Held(self, held_bytes, 1.0, False, False)

        def give_up(self, reason):
            assert not trims
            budget.release(self)

    budget = caller_limits.CallerBudget(
        1000, lambda: 0.0, trim=lambda: trims.append(budget.total_bytes)
    )
    budget.hold(Connection(), 900)
    assert not trims
    budget.hold(Connection(), 900)
    assert trims == [0]
    caller_capacity.find_trim()()
