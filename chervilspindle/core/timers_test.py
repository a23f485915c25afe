"""Tests of the timer service on a fake clock."""

import pytest
from twisted.internet import task

from chervilspindle.core import timers


class TimerHarness:
    """Timer service with one subscriber that records its run times."""

    def __init__(self):
        self.clock = task.Clock()
        self.service = timers.TimerService(self.clock)
        self.runs = []
        self.service.subscribe("s", 1.0, self.run)

    def run(self):
        self.runs.append(round(self.clock.seconds(), 3))

    def advance_clock(self, seconds):
        for _ in range(round(seconds * 100)):
            self.clock.advance(0.01)


@pytest.fixture(name="harness")
def build_harness():
    return TimerHarness()


def test_subscriber_runs_each_period(harness):
    harness.advance_clock(3.5)
    assert harness.runs == pytest.approx([1.0, 2.0, 3.0], abs=0.02)


def test_schedule_within_runs_early_and_keeps_the_period(harness):
    harness.advance_clock(0.2)
    harness.service.schedule_within("s", 0.1)
    harness.service.schedule_within("s", 0.5)
    harness.advance_clock(1.5)
    assert harness.runs == pytest.approx([0.3, 1.3], abs=0.02)


def test_schedule_within_never_postpones_a_run(harness):
    harness.advance_clock(0.9)
    harness.service.schedule_within("s", 5.0)
    harness.advance_clock(0.2)
    assert harness.runs == pytest.approx([1.0], abs=0.02)


def test_subscriber_may_schedule_itself(harness):
    runs = []

    def run():
        runs.append(harness.clock.seconds())
        if len(runs) < 3:
            harness.service.schedule_within("t", 0.1)

    harness.service.subscribe("t", 1.0, run)
    harness.advance_clock(1.6)
    assert runs == pytest.approx([1.0, 1.1, 1.2], abs=0.05)


def test_failing_subscriber_does_not_stop_others(harness):
    def fail():
        raise ValueError("broken")

    harness.service.subscribe("f", 0.5, fail)
    harness.advance_clock(1.2)
    assert harness.runs == pytest.approx([1.0], abs=0.02)


def test_schedule_within_ignores_cancelled_subscriber(harness):
    harness.service.cancel("s")
    harness.service.schedule_within("s", 0.0)
    harness.advance_clock(2.0)
    assert harness.runs == []
