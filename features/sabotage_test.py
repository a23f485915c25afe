"""Each check fails without its mechanism: proofs that can go red.

Every case removes one mechanism, runs the story of the fault matrix with a
fault that the mechanism is meant for, and expects the named check to fail.
"""

import os
import traceback

import pytest

from chervilspindle.control import storage
from chervilspindle.query import commands
from chervilspindle.query import directory
from chervilspindle.query import endpoint_state
from chervilspindle.query import entry
from chervilspindle.query import gather
from chervilspindle.query import owner
from chervilspindle.query import query_state
from chervilspindle.query import session
from chervilspindle.wire import messages
from features import fakes
from features import faults
from features import promises
from features import workload
from features import world as world_module


def hide_missing(monkeypatch):
    """Leave out of the answer the shards that failed."""

    def note_nothing(self, query, results, missing):
        query.plan = query.plan._replace(missing=())

    monkeypatch.setattr(gather.Gatherer, "_record_answer", note_nothing)
    original = query_state.Answer

    def build(request_id, snapshot, results, missing):
        return original(request_id, snapshot, results, ())

    monkeypatch.setattr(query_state, "Answer", build)


def answer_another_caller(monkeypatch):
    """Give a reply to whichever query happens to run."""
    original = gather.Gatherer.receive

    def receive(self, message):
        for query in list(self.query_by_id.values())[-1:]:
            message = message._replace(
                request_id=query.request.request_id, attempt=query.attempt
            )
            for reply in message.parts:
                shard = query.shard_by_send.get(reply.send)
                if shard is not None:
                    send = query_state.Send(reply.endpoint_id, 0, "", 0.0)
                    shard.outstanding.setdefault(reply.send, send)
        original(self, message)

    monkeypatch.setattr(gather.Gatherer, "receive", receive)
    monkeypatch.setattr(workload, "QUERY_PERIOD_S", 0.004)


def claim_not_run(monkeypatch):
    """Say of every part that it was never dispatched."""
    original = owner.Owner.answer

    def answer(self, endpoint, work, status, dispatched, *rest):
        original(self, endpoint, work, status, status == "ok", *rest)

    monkeypatch.setattr(owner.Owner, "answer", answer)


def grant_every_claim(monkeypatch):
    """Dispatch without asking whether the key was claimed before."""

    def claim(self, request, claim_):
        return messages.ClaimReply(True, claim_)

    monkeypatch.setattr(commands.CommandRunner, "_claim", claim)


def ignore_draining(monkeypatch):
    """Take a leaving endpoint for a ready one."""
    original = entry.Entry.handle_announcement

    def take(self, endpoint, in_use):
        original(self, endpoint._replace(state="ready"), in_use)

    monkeypatch.setattr(entry.Entry, "handle_announcement", take)


def drain_without_waiting(monkeypatch):
    """Stop although requests are in flight."""
    monkeypatch.setattr(entry.Entry, "_is_busy", lambda self: False)
    monkeypatch.setattr(entry, "READY_LINGER_S", 0.0)
    monkeypatch.setattr(fakes, "SERVICE_S", 0.2)


def ignore_lease(monkeypatch):
    """Admit on lists of any age."""
    monkeypatch.setattr(session.Session, "is_valid", lambda self: True)


def skip_disk(monkeypatch):
    """Promise without writing."""
    original = storage.Storage.persist

    def persist(self, old, new):
        if len(new.log) < 12:
            original(self, old, new)

    monkeypatch.setattr(storage.Storage, "persist", persist)


def take_over_at_once(monkeypatch):
    """Use all slots of an endpoint that an earlier owner may still fill."""

    def count_free_slots(self, now):
        return self.row.slots - len(self.running)

    monkeypatch.setattr(
        endpoint_state.OwnedEndpoint, "count_free_slots", count_free_slots
    )
    monkeypatch.setattr(fakes, "SERVICE_S", 4.0)


def accept_older_lists(monkeypatch):
    """Go back to the lists before the last change."""
    original = directory.Directory.apply_delta

    def apply_delta(self, delta):
        before = self.lists
        result = original(self, delta)
        if delta.lists is None and hasattr(self, "older"):
            self.lists = self.older
        elif delta.lists is not None:
            self.older = before
        return result

    monkeypatch.setattr(directory.Directory, "apply_delta", apply_delta)


CASES = (
    (answer_another_caller, "SubQuery", faults.reorder, "one_snapshot"),
    (hide_missing, "SubQuery", faults.drop, "coverage"),
    (answer_another_caller, "SubQuery", faults.reorder, "whole_answers"),
    (claim_not_run, "EndpointCommandReply", faults.drop, "not_run"),
    (grant_every_claim, "ClaimCall", faults.reorder, "at_most_once"),
    (ignore_draining, "Announce", faults.reorder, "drained"),
    (drain_without_waiting, "SubQuery", faults.reorder, "nothing_cut"),
    (ignore_lease, "Heartbeat", faults.cut_both_ways, "in_force"),
    (skip_disk, "ApplyListsReply", faults.reorder, "in_force|recovery"),
    (take_over_at_once, "EndpointCancel", faults.drop, "slots"),
    (accept_older_lists, "ApplyListsCall", faults.reorder, "revisions"),
)


def isolate_entry(world, ends, arrive):
    """Cut one entry off from all of control for longer than a lease."""
    name = ends[0]
    for vm in world.controls():
        world.cut(name, vm.name)
    world.clock.callLater(25.0, world.heal)
    return True


def restart_all_control(world, ends, arrive):
    """Restart every control VM at once."""
    for vm in world.controls():
        faults.kill(world, vm.name)
    return False


def lose_every(step):
    """Build a fault that loses all messages of a step from now on."""

    def lose(world, ends, arrive):
        world.faults.append(world_module.Fault(step, 1, lose))
        return True

    return lose


def lose_both_replicas(world, ends, arrive):
    """Kill every replica of one service."""
    for name in ("portal-1.0", "portal-1.1"):
        faults.kill(world, name)
    return False


SEEDS = (5, 6, 8)
CHECKED_IN_THE_STORY = {"nothing_cut", "in_force"}

REPLACED = {
    "coverage": lose_both_replicas,
    "slots": lose_every("EndpointCancel"),
    "in_force": isolate_entry,
    "in_force|recovery": restart_all_control,
}


@pytest.mark.parametrize(
    "remove,step,fault,check", CASES, ids=lambda v: getattr(v, "__name__", v)
)
def test_check_fails_without_mechanism(
    remove, step, fault, check, tmp_path, monkeypatch
):
    """The story without one mechanism breaks the promise it serves.

    Whether a story has a request in flight at the right moment depends on
    its seed; one red story is proof enough that the check can go red.
    """
    remove(monkeypatch)
    fault_at = world_module.Fault(step, 3, REPLACED.get(check, fault))
    for seed in SEEDS:
        folder = tmp_path / str(seed)
        world = world_module.World(folder, monkeypatch, seed=seed)
        if goes_red(world, fault_at, check):
            return
    raise AssertionError(f"check {check} stays green without its mechanism")


def goes_red(world, fault_at, check):
    """Run the story; tell whether the named check fails in it or after."""
    trace = ""
    try:
        workload.run_story(world, fault_at)
    except AssertionError as error:
        trace = "".join(traceback.format_tb(error.__traceback__))
    if any(f"_{name}" in trace for name in check.split("|")):
        return True
    named = getattr(promises, f"check_{check}", None)
    if named is None or check in CHECKED_IN_THE_STORY:
        return False
    try:
        named(world)
    except AssertionError:
        return True
    return False


@pytest.mark.parametrize("check", sorted(REPLACED))
def test_mechanism_holds_under_the_same_fault(check, tmp_path, monkeypatch):
    """The same fault with all mechanisms in place breaks nothing."""
    if check == "slots":
        monkeypatch.setattr(fakes, "SERVICE_S", 4.0)
    world = world_module.World(tmp_path, monkeypatch, seed=5)
    step = next(c[1] for c in CASES if c[3] == check)
    workload.run_story(world, world_module.Fault(step, 3, REPLACED[check]))
    assert os.listdir(tmp_path)
