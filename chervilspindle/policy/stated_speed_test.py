"""Tests of what stated speeds tell, without a network."""

import random

import pytest

from chervilspindle.policy import persistence
from chervilspindle.policy import stated_speed


def observe_phases(tracker, phase_s, gap_s, count=20000):
    """Observe endpoints that are 2.5 times slower 15 % of the time.

    Parameters
    ----------
    phase_s : float
        Mean length of a slow phase.
    gap_s : float
        Mean time between two figures.
    """
    generator = random.Random("phases")
    slow = False
    change_s = now = 0.0
    earlier, earlier_s = 1.0, 0.0
    for _ in range(count):
        now += generator.expovariate(1.0 / gap_s)
        while change_s <= now:
            slow = not slow
            mean_s = phase_s if slow else phase_s * 0.85 / 0.15
            change_s += generator.expovariate(1.0 / mean_s)
        later = 2.5 if slow else 1.0
        tracker.observe(earlier, later, now - earlier_s)
        earlier, earlier_s = later, now


@pytest.mark.parametrize("phase_s", (0.1, 0.6, 4.0))
def test_figures_fade_as_fast_as_they_are_seen_to_change(phase_s):
    """A constant of one deployment would be wrong in the others."""
    tracker = stated_speed.build_persistence()
    observe_phases(tracker, phase_s, phase_s)
    assert tracker.get_share(phase_s / 20.0) > 0.75
    assert 0.1 < tracker.get_share(phase_s) < 0.6
    assert tracker.get_share(phase_s * 6.0) < 0.3


def test_figures_that_do_not_change_are_kept():
    tracker = stated_speed.build_persistence()
    generator = random.Random("constant")
    for _ in range(5000):
        figure = generator.choice((0.8, 1.0, 1.3))
        tracker.observe(figure, figure, generator.uniform(0.1, 5.0))
    assert tracker.get_share(2.0) > 0.9


def test_nothing_is_left_of_a_very_old_figure():
    tracker = stated_speed.build_persistence()
    for _ in range(1000):
        tracker.observe(2.5, 2.5, 20.0)
        tracker.observe(1.0, 1.0, 20.0)
    assert tracker.get_share(20.0) > 0.9
    assert tracker.get_share(persistence.MAX_AGE_S + 1.0) == 0.0


def test_before_figures_were_compared_new_ones_count_and_old_ones_do_not():
    tracker = stated_speed.build_persistence()
    assert tracker.get_share(0.0) > 0.9
    assert tracker.get_share(5.0) < 0.05
    shares = [tracker.get_share(0.01 * 1.5**n) for n in range(25)]
    assert shares == sorted(shares, reverse=True)


def test_any_figures_leave_the_share_between_0_and_1():
    tracker = stated_speed.build_persistence()
    generator = random.Random("any")
    figures = (stated_speed.MIN_SLOWNESS, 1.0, stated_speed.MAX_SLOWNESS)
    for _ in range(5000):
        age_s = generator.choice((0.0, -1.0, 1e-9, 0.1, 7.0, 1e9))
        earlier, later = generator.choices(figures, k=2)
        tracker.observe(earlier, later, age_s)
        assert 0.0 <= tracker.get_share(age_s) <= 1.0
