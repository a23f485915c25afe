"""Moves of endpoints between live entries lose no shard, whatever fails."""

import pytest

from features import faults
from features import promises
from features import workload
from features import world as world_module

SERVICES = 6
QUERY_PERIOD_S = 0.04
MOVE_LIMIT_S = 10.0


class Watch:
    """Queries all the time, through the entries that serve."""

    def __init__(self, world):
        self.world = world
        self.outcomes = []
        self.running = True
        self._run()

    def _run(self):
        if self.running:
            self.world.clock.callLater(QUERY_PERIOD_S, self._run)
            self.outcomes.append(self.world.query(self._pick()))

    def _pick(self):
        """Return an entry that the balancer finds ready."""
        ready = [
            vm
            for vm in self.world.entries()
            if not vm.process.killed and vm.entry.is_ready()
        ]
        return self.world.random.choice(ready)

    def stop(self):
        """Stop, and let the last answers come in."""
        self.running = False
        self.world.advance(0.6)

    def list_incomplete(self):
        """Return what was not answered in whole."""
        return [
            (o.sent_at, o.problem or o.answer and o.answer.missing)
            for o in self.outcomes
            if not o.answer or o.answer.missing
        ]


def build_world(tmp_path, monkeypatch, seed):
    """Build a world in which one entry has not started yet."""
    world = world_module.World(tmp_path, monkeypatch, seed=seed)
    world.vm_by_name["entry-3"].kill()
    workload.start_services(world, services=SERVICES)
    world.advance(1.0)
    return world


def wait_for_moves(world):
    """Wait until the entry that came last has its part of the endpoints."""
    owner = world.vm_by_name["entry-3"].entry.owner
    return world.advance_until(
        lambda: len(owner.owned_by_id) >= SERVICES * 2 // 3 - 1, MOVE_LIMIT_S
    )


@pytest.mark.parametrize("seed", (1, 2, 3))
def test_new_entry_gets_its_part_without_a_gap(tmp_path, monkeypatch, seed):
    """Endpoints move to an entry that has just started."""
    world = build_world(tmp_path, monkeypatch, seed)
    watch = Watch(world)
    world.advance(0.5)
    world.vm_by_name["entry-3"].start()
    wait_for_moves(world)
    world.advance(2.0)
    watch.stop()
    promises.check_all(world)
    assert watch.list_incomplete() == []
    assert world.seen_by_step["HandOverCall"] >= SERVICES * 2 // 3 - 1


@pytest.mark.parametrize("delay_s", (0.2, 0.6, 1.0, 1.4, 1.8, 2.4))
def test_leader_is_lost_in_the_middle_of_moves(tmp_path, monkeypatch, delay_s):
    """The moves that control has begun end without it, or after it."""
    world = build_world(tmp_path, monkeypatch, 4)
    watch = Watch(world)
    world.vm_by_name["entry-3"].start()
    world.advance(delay_s)
    world.get_leader().kill()
    wait_for_moves(world)
    watch.stop()
    promises.check_all(world)
    assert watch.list_incomplete() == []


@pytest.mark.parametrize("seed", (5, 6, 7))
def test_entry_that_leaves_hands_over_without_a_gap(
    tmp_path, monkeypatch, seed
):
    """A graceful stop loses no shard of anybody's answer."""
    world = world_module.World(tmp_path, monkeypatch, seed=seed)
    workload.start_services(world, services=SERVICES)
    world.advance(1.0)
    watch = Watch(world)
    leaving = world.vm_by_name["entry-2"]
    done = []
    leaving.entry.drain().addBoth(done.append)
    took = world.advance_until(lambda: done, MOVE_LIMIT_S)
    world.advance(1.0)
    watch.stop()
    promises.check_all(world)
    assert watch.list_incomplete() == []
    assert took < 6.0


@pytest.mark.parametrize("step", ("HandOverCall", "HandOverReply"))
@pytest.mark.parametrize(
    "fault", faults.MESSAGE_FAULTS, ids=lambda f: f.__name__
)
def test_fault_in_a_handover(tmp_path, monkeypatch, step, fault):
    """No work is doubled or over slots, and all is served again."""
    world = build_world(tmp_path, monkeypatch, len(step) + len(fault.__name__))
    work = workload.Workload(world)
    work.start()
    world.vm_by_name["entry-3"].start()
    world.faults.append(world_module.Fault(step, 2, fault))
    world.advance(9.0)
    work.stop()
    world.advance(8.0)
    assert not world.faults, "the fault met no handover"
    promises.check_all(world)
    workload.check_recovery(world)
