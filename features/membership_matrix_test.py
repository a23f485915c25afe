"""Fault matrix of a repair: a control VM lost its disk and joins anew.

The story takes the steps that the main matrix does not: a member joins as a
learner, gets a snapshot of the state, catches up, becomes a voter, and its
old identity is removed. A fault falls into each of these steps; at the end
three voters have to be configured again and every promise holds.
"""

import pytest

from chervilspindle.control import node as node_module
from chervilspindle.core import errors
from features import faults
from features import promises
from features import workload
from features import world as world_module

STEPS = ("Join", "Install", "Append", "AppendReply")
SNAPSHOT_ENTRIES = 25
REPAIR_LIMIT_S = 15.0
STORY_S = 8.0


def run_repair(world, monkeypatch, *injected):
    """Lose a disk under load, with faults in the steps of the repair."""
    monkeypatch.setattr(node_module, "SNAPSHOT_ENTRIES", SNAPSHOT_ENTRIES)
    workload.start_services(world)
    work = workload.Workload(world)
    work.start()
    world.advance(6.0)
    lost = next(vm for vm in world.controls() if vm is not world.get_leader())
    lost.kill()
    lost.lose_disk()
    world.faults.extend(injected)
    world.advance(0.5)
    if lost.process.killed:
        lost.start()
    world.advance(STORY_S)
    work.stop()
    world.unused_faults = list(world.faults)
    world.faults.clear()
    world.advance(6.0)
    world.heal()
    world.advance_until(
        lambda: workload.count_voters(world) == 3, REPAIR_LIMIT_S
    )
    promises.check_all(world)
    workload.check_recovery(world)


def test_repair_takes_each_step(tmp_path, monkeypatch):
    """Without a fault the story has all steps of the matrix."""
    world = world_module.World(tmp_path, monkeypatch, seed=1)
    run_repair(world, monkeypatch)
    for step in STEPS:
        assert world.seen_by_step.get(step), step


@pytest.mark.parametrize(
    "fault", faults.MESSAGE_FAULTS, ids=lambda f: f.__name__
)
@pytest.mark.parametrize("step", STEPS)
def test_fault_in_a_repair(step, fault, tmp_path, monkeypatch):
    """One fault at one message of the repair."""
    seed = len(step) * 17 + len(fault.__name__)
    world = world_module.World(tmp_path, monkeypatch, seed=seed)
    run_repair(world, monkeypatch, world_module.Fault(step, 1, fault))
    assert not world.unused_faults, "the repair never takes this step"


@pytest.mark.parametrize(
    "fault", (faults.fill_disk, faults.tear_write), ids=lambda f: f.__name__
)
@pytest.mark.parametrize("occurrence", (1, 3, 9))
def test_disk_fault_in_a_repair(fault, occurrence, tmp_path, monkeypatch):
    """A second disk fails while the first is being replaced."""
    world = world_module.World(tmp_path, monkeypatch, seed=occurrence + 40)
    run_repair(
        world, monkeypatch, world_module.Fault("DiskWrite", occurrence, fault)
    )
    assert not world.unused_faults


def test_two_of_three_lost_disks_stop_control_for_good(tmp_path, monkeypatch):
    """A majority that is lost can't be told from one that promised more.

    Nobody leads, no change is accepted, and entries refuse as not run.
    """
    world = world_module.World(tmp_path, monkeypatch, seed=50)
    workload.start_services(world)
    work = workload.Workload(world)
    work.start()
    world.advance(2.0)
    leader = world.get_leader()
    for vm in world.controls():
        if vm is not leader:
            vm.kill()
            vm.lose_disk()
    world.advance(0.5)
    for vm in world.controls():
        if vm.process.killed:
            vm.start()
    world.advance(10.0)
    work.stop()
    world.advance(1.0)
    promises.check_all(world)
    assert world.get_leader() is None
    outcome = world.query()
    world.advance(0.5)
    assert outcome.problem.kind is errors.ErrorKind.NO_LEASE
    assert outcome.problem.not_run
