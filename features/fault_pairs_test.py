"""Two faults in one story: pairs drawn from the fault matrix.

All pairs are too many to run, so a fixed number is drawn with a fixed seed;
the second fault falls soon after the first, often into its repair.
"""

import random

import pytest

from features import fault_matrix_test
from features import faults
from features import workload
from features import world as world_module

PAIRS = 40
SEED = 20261204


def draw_pairs():
    """Draw steps and faults; both steps are taken often in the story."""
    source = random.Random(SEED)
    steps = [
        step
        for step in fault_matrix_test.MESSAGE_STEPS
        if step not in fault_matrix_test.RARE
    ]
    cells = [
        (step, fault)
        for step in steps
        for fault in faults.MESSAGE_FAULTS
        if (step, fault.__name__) not in fault_matrix_test.IMPOSSIBLE
    ]
    return [tuple(source.sample(cells, 2)) for _ in range(PAIRS)]


def name_pair(pair):
    """Return an id for a pair."""
    return "+".join(f"{step}-{fault.__name__}" for step, fault in pair)


@pytest.mark.parametrize("pair", draw_pairs(), ids=name_pair)
def test_pair_of_faults(pair, tmp_path, monkeypatch):
    """Both faults in one story."""
    seed = sum(len(step) * 13 + len(f.__name__) for step, f in pair)
    world = world_module.World(tmp_path, monkeypatch, seed=seed)
    (first_step, first), (second_step, second) = pair
    workload.run_story(
        world,
        world_module.Fault(first_step, 1, first),
        world_module.Fault(second_step, 3, second),
    )
    assert not world.unused_faults
