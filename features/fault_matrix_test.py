"""Fault matrix: every fault at every step, with all promises checked."""

import pytest

from features import faults
from features import workload
from features import world as world_module

MESSAGE_STEPS = (
    "Announce",
    "LoadReport",
    "Heartbeat",
    "HeartbeatReply",
    "ClaimCall",
    "ClaimReply",
    "RunCommand",
    "CommandReply",
    "ResolveCall",
    "SubQuery",
    "SubReply",
    "EndpointQuery",
    "EndpointCommand",
    "EndpointQueryReply",
    "EndpointCommandReply",
    "EndpointCancel",
    "EndpointProbe",
    "ApplyListsCall",
    "ApplyListsReply",
    "Append",
    "AppendReply",
    "PreVote",
    "PreVoteReply",
    "RequestVote",
    "VoteReply",
    "Leave",
    "HandOverCall",
    "HandOverReply",
)
OCCURRENCES = (1, 7)

# Steps that the story takes only a few times.
RARE = {
    "PreVote",
    "PreVoteReply",
    "RequestVote",
    "VoteReply",
    "Leave",
    "HandOverCall",
    "HandOverReply",
    "EndpointCancel",
    "EndpointProbe",
}

# Owner and endpoint speak HTTP over one TCP connection each time, and the
# client library's repeats are switched off: TCP does not deliver a request
# twice, so a doubled delivery at this step is no fault of the platform.
IMPOSSIBLE = {("EndpointCommand", "duplicate")}


@pytest.mark.parametrize(
    "fault", faults.MESSAGE_FAULTS, ids=lambda f: f.__name__
)
@pytest.mark.parametrize("step", MESSAGE_STEPS)
def test_message_fault(step, fault, tmp_path, monkeypatch):
    """One fault at one message of the path."""
    if (step, fault.__name__) in IMPOSSIBLE:
        pytest.skip("TCP does not deliver a request twice")
    seed = len(step) * 31 + len(fault.__name__)
    world = world_module.World(tmp_path, monkeypatch, seed=seed)
    occurrence = OCCURRENCES[seed % len(OCCURRENCES)]
    if step in RARE:
        occurrence = 1
    workload.run_story(world, world_module.Fault(step, occurrence, fault))
    assert not world.unused_faults, "the story never takes this step"


@pytest.mark.parametrize("fault", faults.DISK_FAULTS, ids=lambda f: f.__name__)
@pytest.mark.parametrize("occurrence", (1, 4, 20))
def test_disk_fault(fault, occurrence, tmp_path, monkeypatch):
    """One fault at one durable write."""
    world = world_module.World(tmp_path, monkeypatch, seed=occurrence)
    workload.run_story(
        world, world_module.Fault("DiskWrite", occurrence, fault)
    )
    assert not world.unused_faults
