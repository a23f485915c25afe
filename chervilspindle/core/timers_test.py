"""Tests of the timer service on a fake clock."""

import pytest
from twisted.internet import task

from chervilspindle.core import timers


class Setting:
    """A service with one subscriber that notes when it ran."""

    def __init__(self):
        self.clock = task.Clock()
        self.service = timers.TimerService(self.clock)
        self.runs = []
        self.service.subscribe("s", 1.0, self.run)

    def run(self):
        self.runs.append(round(self.clock.seconds(), 3))

    def pass_time(self, seconds):
        for _ in range(round(seconds * 100)):
            self.clock.advance(0.01)


@pytest.fixture(name="setting")
def build_setting():
    return Setting()


def test_subscriber_runs_each_period(setting):
    setting.pass_time(3.5)
    assert setting.runs == pytest.approx([1.0, 2.0, 3.0], abs=0.02)


def test_hurried_run_comes_early_and_the_period_goes_on(setting):
    setting.pass_time(0.2)
    setting.service.schedule_within("s", 0.1)
    setting.service.schedule_within("s", 0.5)
    setting.pass_time(1.5)
    assert setting.runs == pytest.approx([0.3, 1.3], abs=0.02)


def test_hurry_never_puts_a_run_off(setting):
    setting.pass_time(0.9)
    setting.service.schedule_within("s", 5.0)
    setting.pass_time(0.2)
    assert setting.runs == pytest.approx([1.0], abs=0.02)


def test_subscriber_may_hurry_itself(setting):
    runs = []

    def run():
        runs.append(setting.clock.seconds())
        if len(runs) < 3:
            setting.service.schedule_within("t", 0.1)

    setting.service.subscribe("t", 1.0, run)
    setting.pass_time(1.6)
    assert runs == pytest.approx([1.0, 1.1, 1.2], abs=0.05)


def test_failing_subscriber_goes_on(setting):
    def fail():
        raise ValueError("broken")

    setting.service.subscribe("f", 0.5, fail)
    setting.pass_time(1.2)
    assert setting.runs == pytest.approx([1.0], abs=0.02)


def test_cancelled_subscriber_is_not_hurried(setting):
    setting.service.cancel("s")
    setting.service.schedule_within("s", 0.0)
    setting.pass_time(2.0)
    assert setting.runs == []
