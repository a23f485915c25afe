"""Tests of evacuated zones in the replicated state and at the leader."""

import pytest
from twisted.internet import defer

from chervilspindle.control import changes
from chervilspindle.control import evacuations
from chervilspindle.control import frontend_test
from chervilspindle.control import leader as leader_module
from chervilspindle.control import member_poll
from chervilspindle.control import node_test
from chervilspindle.control import raft
from chervilspindle.control import state as state_module
from chervilspindle.control import watch as watch_module
from chervilspindle.core import errors
from chervilspindle.core import logs
from chervilspindle.core import rows
from chervilspindle.core import timers as timers_module
from chervilspindle.wire import messages
from chervilspindle.wire import versions

control = frontend_test.control
group = node_test.group


class CurrentNetwork:
    """Links of a member to others of the same build."""

    def read_version(self, address):
        return versions.CURRENT


def set_evacuated(frontend, zone, evacuated=True):
    """Return the reply, or the problem."""
    outcomes = []
    frontend.set_evacuated(zone, evacuated).addBoth(outcomes.append)
    (outcome,) = outcomes
    return outcome


def announce(frontend, zone="a"):
    endpoint_id = f"i-{zone}"
    endpoint = frontend_test.build_endpoint(endpoint_id=endpoint_id, zone=zone)
    frontend.announce(endpoint)


def list_zones(node):
    return sorted(node.tables.evacuation_by_zone)


def test_an_evacuation_is_committed_and_taken_back(control):
    """Guards against calls whose resend is refused or changes the row."""
    _, node, frontend, _ = control
    announce(frontend)
    assert set_evacuated(frontend, "a").known
    row = node.tables.evacuation_by_zone["a"]
    assert set_evacuated(frontend, "a").known
    assert node.tables.evacuation_by_zone["a"] is row
    for _ in range(2):
        assert set_evacuated(frontend, "a", False).known
        assert list_zones(node) == []
    assert set_evacuated(frontend, "unheard-of", False).known


def test_an_unknown_zone_is_not_evacuated(control):
    """Guards against zones that exist only as a mistake of an operator."""
    _, node, frontend, _ = control
    announce(frontend)
    assert not set_evacuated(frontend, "b").known
    assert list_zones(node) == []
    frontend.place = messages.MemberPlace("b", "", "")
    assert set_evacuated(frontend, "b").known


def test_the_last_command_holds_when_all_zones_are_evacuated(control, caplog):
    """Guards against an operator's command that the system overrules."""
    _, node, frontend, _ = control
    announce(frontend, "a")
    announce(frontend, "b")
    with caplog.at_level("INFO"):
        for zone in "ab":
            set_evacuated(frontend, zone)
    assert list_zones(node) == ["a", "b"]
    lines = [r.getMessage() for r in caplog.records]
    assert lines.count("zone-evacuated") == 2
    assert lines.count("all-zones-evacuated") == 1
    caplog.clear()
    with caplog.at_level("INFO"):
        set_evacuated(frontend, "b")
        set_evacuated(frontend, "b", False)
    lines = [r.getMessage() for r in caplog.records]
    assert lines.count("zone-evacuated") == 0
    assert lines.count("zone-returned") == 1
    replies = []
    frontend.list_evacuations().addCallback(replies.append)
    assert [e.zone for e in replies[0].evacuations] == ["a"]
    assert replies[0].zones == ("a", "b")


def test_without_a_leader_a_call_fails_at_once(control):
    """Guards against operators that wait for nothing."""
    _, node, frontend, _ = control
    announce(frontend)
    node.leads = False
    for evacuated in (True, False):
        failure = set_evacuated(frontend, "a", evacuated)
        assert failure.value.problem.kind is errors.ErrorKind.NO_LEADER


def test_a_group_that_forms_acknowledges_nothing(control):
    """Guards against a command that is lost with the only disk."""
    _, node, frontend, _ = control
    announce(frontend)
    node.is_formed = lambda: False
    failure = set_evacuated(frontend, "a")
    assert failure.value.problem.kind is errors.ErrorKind.NO_LEADER
    assert list_zones(node) == []


@pytest.mark.parametrize("version, proposed", ((5, 0), (6, 1)))
def test_members_that_can_t_read_the_command_do_not_get_it(
    control, version, proposed
):
    """Guards against members of the build before that stop at it."""
    _, node, frontend, _ = control
    announce(frontend)
    proposed_before = len(node.proposed)
    node.raft = node.raft._replace(
        members=tuple(
            raft.Member(f"{a}#1", a, True) for a in (node.address, "b")
        )
    )
    frontend.network = frontend_test.FakeNetwork(b=version)
    outcome = set_evacuated(frontend, "a")
    assert len(node.proposed) == proposed_before + proposed
    if not proposed:
        assert outcome.value.problem.not_run
        # Nothing can be evacuated, so there is nothing to take back.
        assert set_evacuated(frontend, "a", False).known


def test_entries_learn_of_evacuations_at_once(control):
    """Guards against evacuations that wait for a busy entry's next batch."""
    clock, node, frontend, watch = control
    announce(frontend)
    replies = frontend_test.follow(watch)
    frontend.apply_document(rows.StoredDocument(1, b"route"))
    clock.advance(watch_module.BATCH_DELAY_S)
    answered = len(replies)
    set_evacuated(frontend, "a")
    clock.advance(watch_module.BATCH_DELAY_S)
    assert [e.zone for e in replies[-1].evacuations] == ["a"]
    assert len(replies) == answered + 1
    set_evacuated(frontend, "a", False)
    clock.advance(watch_module.BATCH_DELAY_S)
    assert replies[-1].gone_evacuations == ("a",)
    set_evacuated(frontend, "a")
    full = messages.decode_delta(node.feed.get_delta(node.tables, 0))
    assert full.full and [e.zone for e in full.evacuations] == ["a"]
    old = messages.decode_delta(node.feed.get_delta(node.tables, 0, 5))
    assert old.evacuations == ()


def test_a_snapshot_holds_the_evacuated_zones(control):
    """Guards against zones that return when a log is compacted."""
    _, node, frontend, _ = control
    announce(frontend)
    set_evacuated(frontend, "a")
    data = state_module.encode_snapshot(node.tables)
    assert state_module.decode_snapshot(data) == node.tables


def test_unchanged_tables_give_the_deltas_of_the_build_before():
    """Guards against bytes that older entries have to read."""
    state = state_module.EMPTY_STATE
    delta = changes.build_full_delta(state)
    assert delta.evacuations == () and delta.gone_evacuations == ()


def start_networks(group):
    for vm_id, frontend in group.frontend_by_vm.items():
        if vm_id in group.node_by_vm:
            frontend.network = CurrentNetwork()


def evacuate_at_leader(group, zone, evacuated=True):
    start_networks(group)
    frontend = group.frontend_by_vm[group.find_leader()]
    outcomes = []
    frontend.set_evacuated(zone, evacuated).addBoth(outcomes.append)
    for _ in range(200):
        if outcomes:
            break
        group.run(node_test.TURN_S)
    return outcomes


def add_endpoint(group):
    leader = group.node_by_vm[group.find_leader()]
    endpoint = frontend_test.build_endpoint()
    command = state_module.ReportEndpoints((endpoint,), logs.read_wall_ms())
    leader.propose(command)
    group.run(0.5)


def test_an_evacuation_survives_the_loss_of_all_power_and_of_disks(group):
    """Guards against commands that were acknowledged and are lost."""
    add_endpoint(group)
    (reply,) = evacuate_at_leader(group, "a")
    assert reply.known
    group.run(1.0)
    folders = {
        vm_id: group.node_by_vm[vm_id].storage.folder for vm_id in group.vms
    }
    for vm_id in group.vms:
        group.remove(vm_id)
    for vm_id in group.vms:
        group.start(vm_id, folders[vm_id])
    group.run(5.0)
    assert group.node_by_vm[group.find_leader()].tables.evacuation_by_zone
    group.lose_disks([v for v in group.vms if v != group.find_leader()][:2])
    group.run(node_test.RECOVERY_S)
    for node in group.node_by_vm.values():
        assert list_zones(node) == ["a"]
    assert evacuate_at_leader(group, "a", False)[0].known
    group.run(1.0)
    for node in group.node_by_vm.values():
        assert list_zones(node) == []


def test_evacuations_are_acknowledged_while_documents_are_sent(group):
    """Guards against commands that wait behind configurations."""
    add_endpoint(group)
    leader = group.node_by_vm[group.find_leader()]
    for version in range(1, 40):
        document = rows.StoredDocument(version, b"x" * 100000)
        leader.propose(state_module.ApplyDocument(document))
    started_s = group.clock.seconds()
    assert evacuate_at_leader(group, "a")[0].known
    assert group.clock.seconds() - started_s < 1.0


def test_the_zones_in_use_are_those_of_live_endpoints():
    """Guards against a zone of lost endpoints that counts as left."""
    endpoints = {
        state: frontend_test.build_endpoint(endpoint_id=state, state=state)
        for state in ("ready", "lost", "gone")
    }
    endpoints["lost"] = endpoints["lost"]._replace(zone="b")
    tables = state_module.EMPTY_STATE._replace(endpoint_by_id=endpoints)
    assert evacuations.list_zones_in_use(tables) == ["a"]


class PollNetwork:
    """Links that open if their other end is up."""

    def __init__(self, **version_by_address):
        self.up = version_by_address
        self.version_by_address = {}

    def call(self, address, message, timeout_s):
        if address in self.up:
            self.version_by_address[address] = self.up[address]
        return defer.fail(errors.build_error(errors.ErrorKind.NO_LEADER, ""))

    def read_version(self, address):
        return self.version_by_address.get(address, versions.OLDEST)

    def record_versions(self, versions_by_address):
        self.version_by_address.update(versions_by_address)


def test_members_that_are_down_are_known_from_before(control, tmp_path):
    """Guards against zones that can't be evacuated once a VM is lost."""
    clock, node, _, _ = control
    node.raft = node.raft._replace(
        members=tuple(raft.Member(f"{v}#1", v, True) for v in "abc")
    )
    addresses = {vm: f"at-{vm}" for vm in "abc"}

    def build(network):
        return member_poll.MemberPoll(
            node,
            network,
            addresses,
            "a",
            str(tmp_path),
            timers_module.TimerService(clock),
        )

    poll = build(PollNetwork(**{"at-b": 6}))
    assert not poll.can_members_read(6)
    clock.advance(0)
    assert not poll.can_members_read(6)
    poll.network.up["at-c"] = 6
    clock.advance(member_poll.POLL_PERIOD_S)
    assert poll.can_members_read(6)
    clock.advance(member_poll.POLL_PERIOD_S)
    restarted = build(PollNetwork(**{"at-b": 6}))
    assert restarted.can_members_read(6)
    restarted.network.up["at-c"] = 5
    clock.advance(0)
    assert not restarted.can_members_read(6)


def test_owners_get_evacuations_in_the_layout_that_they_read(control):
    """Guards against heartbeats that older entries can't read."""
    clock, node, frontend, _ = control
    announce(frontend)
    timers = timers_module.TimerService(clock)
    leader = leader_module.Leader(node, timers, clock.seconds)
    for evacuated in (True, False, True):
        outcomes = []
        call = messages.EvacuationCall("a", evacuated)
        leader.handle(call).addCallback(outcomes.append)
        assert outcomes[0].known
    assert not leader.handle(messages.EvacuationCall("b", True)).known
    for version, zones in ((6, ["a"]), (5, []), (1, [])):
        vm = rows.Vm(f"v{version}@1", "v", "z", "127.0.0.1:1", 1, "ready")
        heartbeat = messages.Heartbeat(vm, 0, 0, ())
        replies = []
        leader.handle(heartbeat, version).addCallback(replies.append)
        delta = messages.decode_delta(replies[0].delta)
        assert [e.zone for e in delta.evacuations] == zones
    reply = leader.handle(messages.ListEvacuationsCall())
    assert [e.zone for e in reply.evacuations] == ["a"]
    leader.can_members_read = lambda version: version < 6
    with pytest.raises(errors.ProblemError):
        leader.handle(messages.EvacuationCall("a", True))
