"""Tests of control nodes that find each other through seed addresses only."""

import functools

import pytest
from twisted.internet import task

from chervilspindle.control import node as node_module
from chervilspindle.control import raft
from chervilspindle.control import state as state_module
from chervilspindle.control import storage as storage_module
from chervilspindle.core import rows
from chervilspindle.core import timers

TURN_S = 0.01


class Group:
    """Five nodes with an in-memory network; two of them are seeds."""

    def __init__(self, folder):
        self.folder = folder
        self.clock = task.Clock()
        self.node_by_vm = {}
        self.isolated = set()
        self.starts = 0
        self.vms = tuple(f"core-{n}" for n in range(5))
        for vm_id in self.vms:
            self.start(vm_id)

    def start(self, vm_id):
        """Start a node with an empty disk."""
        self.starts += 1
        folder = self.folder / f"{vm_id}-{self.starts}"
        folder.mkdir()
        identity = storage_module.create_identity(str(folder), "group", vm_id)
        node = node_module.ControlNode(
            identity,
            vm_id,
            {},
            storage_module.Storage(str(folder), fsync=lambda handle: None),
            functools.partial(self.send, vm_id),
            timers.TimerService(self.clock),
            self.read_ms,
            lambda: None,
            seed=self.starts,
            seeds=self.vms[:2],
            voters=len(self.vms),
        )
        if self.starts == 1:
            node.initialise()
        self.node_by_vm[vm_id] = node
        node.start()

    def read_ms(self):
        """Return the simulated time, in ms."""
        return 1e6 + self.clock.seconds() * 1000.0

    def send(self, sender, address, data):
        """Deliver a message in the next turn if neither end is isolated."""
        self.clock.callLater(TURN_S, self._deliver, sender, address, data)

    def _deliver(self, sender, address, data):
        if not {sender, address} & self.isolated:
            self.node_by_vm[address].receive(data, sender)

    def run(self, seconds):
        """Advance the simulated time."""
        for _ in range(round(seconds / TURN_S)):
            self.clock.advance(TURN_S)

    def replace_disk(self, vm_id):
        """Restart a node with an empty disk."""
        self.node_by_vm[vm_id].stop()
        self.start(vm_id)

    def find_leader(self):
        """Return the VM of the leader."""
        return next(v for v, n in self.node_by_vm.items() if n.is_leader())

    def list_voters(self):
        """Return the member ids of the voters in the leader's log."""
        leader = self.node_by_vm[self.find_leader()]
        return raft.list_voters(leader.raft)

    def list_ids(self):
        """Return the present member ids of all nodes."""
        nodes = self.node_by_vm.values()
        return {n.identity.member_id for n in nodes}

    def move_leader(self, targets):
        """Isolate leaders for a while until one of `targets` is elected."""
        for _ in range(50):
            leader = self.find_leader()
            if leader in targets:
                return
            self.isolated = {leader}
            self.run(4.0)
            self.isolated = set()
            self.run(1.0)
        raise AssertionError(f"none of {targets} was elected")


@pytest.fixture
def group(tmp_path):
    """A group of five voters."""
    group = Group(tmp_path)
    group.run(10.0)
    assert len(group.list_voters()) == 5
    yield group
    for node in group.node_by_vm.values():
        node.stop()


def test_new_disk_joins_when_no_seed_is_the_leader(group):
    group.move_leader(group.vms[2:])
    group.replace_disk(
        next(v for v in group.vms[2:] if v != group.find_leader())
    )
    group.run(5.0)
    assert set(group.list_voters()) == group.list_ids()


def test_two_more_disks_are_replaced_after_the_first(group):
    group.move_leader(group.vms[2:])
    group.replace_disk(
        next(v for v in group.vms[2:] if v != group.find_leader())
    )
    group.run(5.0)
    for vm_id in [v for v in group.vms[2:] if v != group.find_leader()]:
        group.replace_disk(vm_id)
    group.run(10.0)
    assert set(group.list_voters()) == group.list_ids()


@pytest.mark.parametrize("vm_id", ("core-2", "core-3", "core-4"))
def test_a_new_disk_is_let_in_soon_after_an_election(group, vm_id):
    """Its first requests, made without a leader, are lost."""
    group.move_leader(group.vms[:1])
    group.isolated = {"core-0"}
    group.replace_disk(vm_id)
    member_id = group.node_by_vm[vm_id].identity.member_id
    nodes = [group.node_by_vm[v] for v in group.vms[1:]]
    while not any(node.is_leader() for node in nodes):
        group.run(0.05)
    group.run(0.4)
    leader = next(node for node in nodes if node.is_leader())
    assert member_id in {m.member_id for m in leader.raft.members}


def test_join_request_of_a_replaced_disk_is_discarded(group):
    group.move_leader(group.vms[:1])
    stale = group.node_by_vm["core-4"].identity.member_id
    group.replace_disk("core-4")
    group.run(5.0)
    assert set(group.list_voters()) == group.list_ids()
    group.move_leader(group.vms[1:2])
    group.run(1.0)
    members = group.node_by_vm["core-1"].raft.members
    assert stale not in {m.member_id for m in members}


def test_a_command_that_cannot_be_encoded_fails_alone(tmp_path):
    group = Group(tmp_path)
    group.run(3.0)
    leader = group.node_by_vm[group.find_leader()]
    row = rows.Endpoint(
        "odd", "desk", "10.0.0.9:80", "z", 2, 0, "ready", (), 1, 2**70
    )
    ends = {}
    unusable = leader.propose(state_module.ReportEndpoints((row,), 1))
    unusable.addErrback(lambda failure: ends.update(unusable=failure))
    document = rows.StoredDocument(7, b"{}")
    sound = leader.propose(state_module.ApplyDocument(document))
    sound.addCallback(lambda result: ends.update(sound=result))
    group.run(1.0)
    assert ends["sound"].current_version == 7
    assert ends["unusable"].value.problem.not_run
    assert leader.tables.document == document


def test_a_member_that_cannot_read_a_command_stops_and_applies_no_later_one(
    tmp_path,
):
    group = Group(tmp_path)
    group.run(20.0)
    leader = group.node_by_vm[group.find_leader()]
    applied = {v: n.applied_index for v, n in group.node_by_vm.items()}
    newer = type("Newer", (state_module.ClearCrashes,), {})
    state_module.apply_command.register(newer)(
        lambda command, tables: state_module.Outcome(tables)
    )
    leader.propose(newer("content"))
    group.run(0.2)
    leader.propose(state_module.ClearCrashes("content"))
    group.run(1.0)
    for vm_id, node in group.node_by_vm.items():
        assert node.failed
        assert node.applied_index == applied[vm_id]
        assert node.tables.version <= applied[vm_id]
