"""Tests of the owner: slots, leases, cancellation, handover."""

import pytest
from twisted.internet import defer
from twisted.internet import task

from chervilspindle.core import metrics
from chervilspindle.core import rows
from chervilspindle.core import timers
from chervilspindle.query import directory as directory_module
from chervilspindle.query import owner as owner_module
from chervilspindle.wire import endpoint_client
from chervilspindle.wire import messages

SESSION = "entry-1@1"


class FakeSession:
    """A session whose lease the test grants and revokes."""

    def __init__(self):
        self.vm = rows.Vm(SESSION, "entry-1", "z", "127.0.0.1:1", 1, "ready")
        self.valid = True
        self.reports = []
        self.handovers = []

    def report_handover(self, endpoint_id, epoch):
        self.handovers.append((endpoint_id, epoch))

    def is_valid(self):
        return self.valid

    def report(self, endpoint):
        self.reports.append(endpoint)


class FakeClient:
    """Client of an endpoint whose answers the test triggers."""

    def __init__(self):
        self.call_by_run = {}
        self.cancelled = []
        self.state = "running"
        self.result = None

    def run_query(self, run_id, *rest):
        return self._start(run_id)

    def run_command(self, run_id, *rest):
        return self._start(run_id)

    def cancel(self, run_id):
        self.cancelled.append(run_id)

    def probe(self, run_id):
        if self.state is None:
            return defer.succeed(None)
        state = endpoint_client.RunState(self.state, self.result)
        return defer.succeed(state)

    def close(self):
        pass

    def _start(self, run_id):
        deferred = defer.Deferred(lambda d: self.answer(run_id, "cancelled"))
        self.call_by_run[run_id] = deferred
        return deferred

    def answer(self, run_id, status="ok", dispatched=True):
        call = self.call_by_run.pop(run_id)
        call.callback(
            endpoint_client.RunResult(status, dispatched, 0, 1, b"[]")
        )


class Target:
    """Collects replies."""

    def __init__(self):
        self.parts = []

    def send(self, message):
        self.parts.extend(message.parts)


class OwnerHarness:
    """An owner that serves one endpoint with two slots."""

    def __init__(self, epoch=1):
        self.clock = task.Clock()
        self.client = FakeClient()
        self.session = FakeSession()
        self.directory = directory_module.Directory()
        self.owner = owner_module.Owner(
            self.session,
            self.directory,
            lambda address, connections: self.client,
            timers.TimerService(self.clock),
            lambda: self.clock.seconds() * 1000.0,
            metrics.Metrics(),
            self.call,
        )
        self.calls = []
        self.target = Target()
        self.version = 0
        self.epoch = epoch
        self.row = rows.Endpoint(
            "e", "s", "127.0.0.1:2", "z", 2, 60, "ready", (), 1, 1
        )
        self.apply_rows(self.row, rows.Ownership("e", SESSION, epoch))

    def apply_rows(self, endpoint=None, ownership=None):
        self.version += 1
        self.directory.apply_delta(
            messages.Delta(
                self.version,
                False,
                None,
                (self.session.vm,),
                (endpoint,) if endpoint else (),
                (ownership,) if ownership else (),
                (),
                (),
            )
        )

    def call(self, vm, message, timeout_s):
        self.calls.append(message)
        self.reply = defer.Deferred()
        return self.reply

    def submit(self, *sends, customer="c", rank=0, deadline_ms=1000.0):
        parts = tuple(
            messages.Part(n, "e", self.epoch, 0, 65536) for n in sends
        )
        self.owner.submit(
            messages.SubQuery(
                "r", 1, customer, 0.5, rank, deadline_ms, 1, b"{}", parts
            ),
            self.target,
        )

    def pass_time(self, seconds):
        for _ in range(int(seconds / 0.01)):
            self.clock.advance(0.01)
            self.owner.handle_load(messages.Load("e", 1, 1, "ready", 0))

    def list_statuses(self):
        self.clock.advance(0)
        return {p.send: (p.status, p.dispatched) for p in self.target.parts}

    def answer_all(self):
        for run_id in list(self.client.call_by_run):
            self.client.answer(run_id)


@pytest.fixture(name="harness")
def build_harness():
    harness = OwnerHarness()
    # Two fast answers raise the limit of a new endpoint to both slots.
    harness.submit(100, 101)
    for _ in range(2):
        harness.clock.advance(0.01)
        harness.answer_all()
    harness.clock.advance(0)
    harness.target.parts.clear()
    return harness


def test_slots_are_a_hard_limit(harness):
    harness.submit(0, 1, 2, 3)
    assert len(harness.client.call_by_run) == 2
    harness.answer_all()
    assert len(harness.client.call_by_run) == 2


def test_cancelling_one_send_leaves_the_other(harness):
    harness.submit(0, 1)
    harness.owner.cancel(messages.CancelParts("r", 1, (0,)))
    assert len(harness.client.cancelled) == 1
    harness.answer_all()
    assert harness.list_statuses() == {1: ("ok", True)}


def test_cancelled_queued_work_never_runs(harness):
    harness.submit(0, 1, 2)
    harness.owner.cancel(messages.CancelParts("r", 1, (2,)))
    harness.answer_all()
    assert not harness.client.call_by_run
    assert set(harness.list_statuses()) == {0, 1}


def test_nothing_is_dispatched_without_a_lease(harness):
    harness.submit(0, 1, 2)
    harness.session.valid = False
    harness.answer_all()
    assert harness.list_statuses()[2] == ("no_lease", False)


def test_part_of_another_epoch_is_refused(harness):
    harness.epoch = 7
    harness.submit(0)
    assert harness.list_statuses() == {0: ("not_owner", False)}


def test_lost_ownership_refuses_queued_work(harness):
    harness.submit(0, 1, 2)
    harness.apply_rows(None, rows.Ownership("e", "entry-2@1", 2))
    assert harness.list_statuses() == {2: ("not_owner", False)}
    harness.answer_all()
    assert harness.list_statuses()[0] == ("ok", True)


def test_draining_endpoint_gets_no_new_work(harness):
    harness.submit(0, 1, 2)
    harness.owner.handle_load(messages.Load("e", 1, 2, "draining", 2))
    assert harness.list_statuses() == {2: ("draining", False)}
    harness.answer_all()
    harness.submit(3)
    assert harness.list_statuses()[3] == ("no_endpoint", False)


def test_new_owner_waits_for_the_work_of_an_earlier_owner():
    harness = OwnerHarness(epoch=3)
    harness.submit(0)
    assert not harness.client.call_by_run
    harness.owner.handle_load(messages.Load("e", 1, 2, "ready", 1))
    assert len(harness.client.call_by_run) == 1


def test_hanging_endpoint_gets_no_more_than_its_slots(harness):
    harness.client.state = None
    harness.submit(0, 1, 2, deadline_ms=200.0)
    harness.pass_time(1.0)
    statuses = harness.list_statuses()
    assert statuses[0] == ("connection_lost", True)
    assert statuses[2][1] is False
    harness.submit(4, 5)
    harness.pass_time(1.0)
    assert len(harness.client.call_by_run) == 2


def test_silent_connection_is_detected_and_its_slot_freed(harness):
    harness.submit(0)
    harness.client.state = "unknown"
    harness.pass_time(0.5)
    assert harness.list_statuses() == {0: ("endpoint_failed", True)}
    assert not harness.client.call_by_run


def test_restarted_endpoint_keeps_slots_of_requests_it_reports_running(
    harness,
):
    harness.submit(0, 1)
    harness.apply_rows(harness.row._replace(incarnation=2, sequence=1))
    harness.pass_time(0.1)
    assert len(harness.client.call_by_run) == 2
    harness.submit(2)
    assert len(harness.client.call_by_run) == 2
    harness.client.state = "unknown"
    harness.pass_time(1.0)
    assert harness.list_statuses()[0][1] is True


def test_endpoint_without_announcements_is_reported_lost(harness):
    for _ in range(400):
        harness.clock.advance(0.01)
    assert harness.session.reports[0].state == "lost"


def test_duplicate_command_message_is_not_run_again(harness):
    message = messages.RunCommand(
        "r", "c", 0.5, 0, 1000.0, "e", 1, "key", b"{}"
    )
    replies = []
    harness.owner.run_command(message, replies.append)
    harness.owner.run_command(message, replies.append)
    assert len(harness.client.call_by_run) == 1
    assert replies[0].status == "outcome_unknown"
    harness.answer_all()
    harness.clock.advance(0)
    assert replies[1].status == "ok"


def test_work_that_would_miss_its_deadline_is_refused_with_retry_after(
    harness,
):
    harness.submit(*range(200), deadline_ms=100.0)
    harness.clock.advance(0)
    refused = [p for p in harness.target.parts if p.status == "overloaded"]
    assert refused
    assert all(p.retry_after_ms > 0 for p in refused)
    assert all(not p.dispatched for p in refused)


class Link:
    """Collects the messages of the previous owner to the new one."""

    def __init__(self):
        self.messages = []

    def send(self, message):
        self.messages.append(message)


def move_ownership(harness, session, previous, epoch):
    harness.apply_rows(ownership=rows.Ownership("e", session, epoch, previous))


def test_previous_owner_serves_until_handover_is_requested(harness):
    move_ownership(harness, "entry-2@1", SESSION, 2)
    harness.submit(1, 2, 3)
    assert len(harness.client.call_by_run) == 2
    link = Link()
    call = messages.HandOverCall("e", 2, SESSION)
    reply = harness.owner.handover_manager.hand_over(call, link)
    assert reply == messages.HandOverReply(True, 2)
    harness.pass_time(0.1)
    assert [p.status for p in harness.target.parts] == ["not_owner"]
    harness.submit(4)
    harness.pass_time(0.1)
    assert len(harness.client.call_by_run) == 2
    for running in (1, 0):
        harness.client.answer(next(iter(harness.client.call_by_run)))
        assert link.messages[-1] == messages.SlotsLeft("e", 2, running)


def test_grant_is_not_used_after_its_handover(harness):
    call = messages.HandOverCall("e", 2, SESSION)
    assert harness.owner.handover_manager.hand_over(call, Link()).granted
    # A late row of the old grant arrives before the row of the new one.
    harness.apply_rows(ownership=rows.Ownership("e", SESSION, 1))
    assert not harness.owner.owned_by_id
    harness.apply_rows(ownership=rows.Ownership("e", SESSION, 3))
    assert harness.owner.owned_by_id["e"].epoch == 3


def test_late_call_does_not_release_a_later_grant(harness):
    harness.apply_rows(ownership=rows.Ownership("e", SESSION, 3))
    call = messages.HandOverCall("e", 2, SESSION)
    harness.owner.handover_manager.hand_over(call, Link())
    assert harness.owner.owned_by_id["e"].epoch == 3


def test_call_for_another_process_is_refused(harness):
    call = messages.HandOverCall("e", 2, "entry-1@0")
    assert not harness.owner.handover_manager.hand_over(call, Link()).granted
    assert harness.owner.owned_by_id


def test_new_owner_requests_handover_and_fills_only_free_slots():
    harness = OwnerHarness(epoch=1)
    other = harness.session.vm._replace(session="entry-2@1", vm_id="entry-2")
    harness.directory.vm_by_session["entry-2@1"] = other
    harness.apply_rows(ownership=rows.Ownership("e", "entry-2@1", 2))
    move_ownership(harness, SESSION, "entry-2@1", 3)
    assert not harness.owner.owned_by_id
    harness.pass_time(2.0)
    assert harness.calls == [messages.HandOverCall("e", 3, "entry-2@1")]
    harness.reply.callback(messages.HandOverReply(True, 1))
    harness.epoch = 3
    harness.submit(1, 2)
    assert len(harness.client.call_by_run) == 1
    assert harness.session.handovers == [("e", 3)]
    # An outdated announcement does not override the previous owner.
    harness.owner.handle_load(messages.Load("e", 1, 2, "ready", 1))
    assert len(harness.client.call_by_run) == 1
    harness.owner.handle_slots_left(messages.SlotsLeft("e", 3, 0))
    assert len(harness.client.call_by_run) == 2


def test_new_owner_repeats_its_request_until_it_is_granted():
    harness = OwnerHarness(epoch=1)
    other = harness.session.vm._replace(session="entry-2@1", vm_id="entry-2")
    harness.directory.vm_by_session["entry-2@1"] = other
    harness.apply_rows(ownership=rows.Ownership("e", "entry-2@1", 2))
    move_ownership(harness, SESSION, "entry-2@1", 3)
    harness.pass_time(2.0)
    harness.reply.callback(messages.HandOverReply(False, 0))
    harness.pass_time(1.0)
    assert len(harness.calls) == 2
    # Control reports that the session of the previous owner has ended.
    harness.apply_rows(ownership=rows.Ownership("e", SESSION, 3))
    assert harness.owner.owned_by_id["e"].inherited_running == 2


@pytest.mark.parametrize(
    "snapshot,kind,status",
    (
        (1, "", "ok"),
        (2, "", "snapshot_gone"),
        (1, "endpoint_failed", "endpoint_failed"),
    ),
)
def test_result_behind_a_silent_connection_is_checked(
    harness, snapshot, kind, status
):
    harness.client.state = "finished"
    harness.client.result = endpoint_client.RunBody("r", snapshot, kind=kind)
    harness.submit(1)
    harness.pass_time(0.5)
    assert [p.status for p in harness.target.parts] == [status]


def test_owner_serves_when_its_grant_and_its_handover_arrive_together():
    harness = OwnerHarness(epoch=1)
    harness.apply_rows(ownership=rows.Ownership("e", "entry-3@1", 2))
    assert not harness.owner.owned_by_id
    # Control granted epoch 3 to this VM and planned the next move before
    # this VM received either row.
    move_ownership(harness, "entry-2@1", SESSION, 4)
    assert harness.owner.owned_by_id["e"].epoch == 3
    call = messages.HandOverCall("e", 4, SESSION)
    assert harness.owner.handover_manager.hand_over(call, Link()).granted
    move_ownership(harness, "entry-2@1", SESSION, 4)
    assert not harness.owner.owned_by_id


def test_an_endpoint_that_cannot_be_used_does_not_hold_up_those_beside_it():
    harness = OwnerHarness()

    def build_client(address, connections):
        if "9" * 5000 in address:
            raise ValueError("expected integer for port")
        return FakeClient()

    harness.owner.build_client = build_client
    directory = harness.directory
    for endpoint_id in ("odd", "sound"):
        row = harness.row._replace(endpoint_id=endpoint_id)
        directory.endpoint_by_id[endpoint_id] = row
        directory.ownership_by_id[endpoint_id] = rows.Ownership(
            endpoint_id, SESSION, 1
        )
    address = "127.0.0.1:" + "9" * 5000
    odd = directory.endpoint_by_id["odd"]._replace(address=address)
    directory.endpoint_by_id["odd"] = odd
    directory.endpoint_by_id["e"] = harness.row._replace(
        address=address, sequence=2
    )
    harness.owner.update_owned(["odd", "e", "sound"])
    assert set(harness.owner.owned_by_id) == {"sound"}


def evacuate(harness, zones=(), gone=()):
    harness.version += 1
    delta = messages.Delta(
        harness.version,
        False,
        None,
        (),
        (),
        (),
        (),
        (),
        evacuations=tuple(rows.ZoneEvacuation(zone, 1) for zone in zones),
        gone_evacuations=gone,
    )
    assert harness.directory.apply_delta(delta)


def test_an_endpoint_of_an_evacuated_zone_gets_no_new_work(harness):
    """Guards against queued work that is sent after the evacuation."""
    harness.submit(0, 1, 2)
    evacuate(harness, ("z",))
    assert harness.list_statuses() == {2: ("no_endpoint", False)}
    harness.submit(3)
    assert harness.list_statuses()[3] == ("no_endpoint", False)
    # What runs there ends as it began.
    harness.answer_all()
    assert harness.list_statuses()[0] == ("ok", True)
    assert not harness.client.call_by_run


def test_an_endpoint_whose_zone_returns_gets_work_by_degrees(harness):
    """Guards against full load for endpoints that may be cold."""
    evacuate(harness, ("z",))
    evacuate(harness, (), ("z",))
    harness.submit(0, 1, 2)
    assert len(harness.client.call_by_run) == 1
    for _ in range(3):
        harness.clock.advance(0.01)
        harness.answer_all()
    harness.submit(3, 4)
    assert len(harness.client.call_by_run) == 2


def test_an_owner_that_takes_over_knows_of_evacuated_zones(harness):
    """Guards against an endpoint that moves to another owner."""
    evacuate(harness, ("z",))
    harness.apply_rows(None, rows.Ownership("e", "entry-2@1", 2))
    harness.apply_rows(None, rows.Ownership("e", SESSION, 3))
    harness.epoch = 3
    harness.submit(7)
    assert harness.list_statuses()[7] == ("no_endpoint", False)


def test_plans_name_evacuated_zones_as_the_reason(harness):
    """Guards against callers that are told that an endpoint is missing."""
    row = harness.row._replace(
        holdings=(rows.Holding(1, 0, rows.KEY_SPACE),), sequence=2
    )
    harness.apply_rows(row)
    directory = harness.directory
    assert directory.plan_query(("s",)).missing == ()
    evacuate(harness, ("z", "elsewhere"))
    (missing,) = directory.plan_query(("s",)).missing
    assert missing.reason == "zone_out"
    assert directory.is_all_evacuated()
    harness.apply_rows(row._replace(state="draining", sequence=3))
    (missing,) = directory.plan_query(("s",)).missing
    assert missing.reason == "no_endpoint"
    harness.apply_rows(row._replace(sequence=4))
    evacuate(harness, (), ("z",))
    assert directory.plan_query(("s",)).missing == ()
    assert not directory.is_all_evacuated()
