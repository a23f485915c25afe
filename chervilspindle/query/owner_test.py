"""Tests of owned endpoints: slots, leases, cancellation, takeover."""

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
    """A session whose lease the test sets."""

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
    """An endpoint that answers when the test says so."""

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


class Setting:
    """One owner with one endpoint of two slots."""

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
        self.put(self.row, rows.Ownership("e", SESSION, epoch))

    def put(self, endpoint=None, ownership=None):
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
            self.owner.note_load(messages.Load("e", 1, 1, "ready", 0))

    def list_statuses(self):
        self.clock.advance(0)
        return {p.send: (p.status, p.dispatched) for p in self.target.parts}

    def answer_all(self):
        for run_id in list(self.client.call_by_run):
            self.client.answer(run_id)


@pytest.fixture(name="setting")
def build_setting():
    setting = Setting()
    # Two answers in time open both slots of a cold endpoint.
    setting.submit(100, 101)
    for _ in range(2):
        setting.clock.advance(0.01)
        setting.answer_all()
    setting.clock.advance(0)
    setting.target.parts.clear()
    return setting


def test_slots_are_a_hard_limit(setting):
    setting.submit(0, 1, 2, 3)
    assert len(setting.client.call_by_run) == 2
    setting.answer_all()
    assert len(setting.client.call_by_run) == 2


def test_cancelling_one_send_leaves_the_other(setting):
    setting.submit(0, 1)
    setting.owner.cancel(messages.CancelParts("r", 1, (0,)))
    assert len(setting.client.cancelled) == 1
    setting.answer_all()
    assert setting.list_statuses() == {1: ("ok", True)}


def test_cancelled_queued_work_never_runs(setting):
    setting.submit(0, 1, 2)
    setting.owner.cancel(messages.CancelParts("r", 1, (2,)))
    setting.answer_all()
    assert not setting.client.call_by_run
    assert set(setting.list_statuses()) == {0, 1}


def test_nothing_is_dispatched_without_a_lease(setting):
    setting.submit(0, 1, 2)
    setting.session.valid = False
    setting.answer_all()
    assert setting.list_statuses()[2] == ("no_lease", False)


def test_other_epoch_is_refused(setting):
    setting.epoch = 7
    setting.submit(0)
    assert setting.list_statuses() == {0: ("not_owner", False)}


def test_lost_ownership_refuses_what_is_queued(setting):
    setting.submit(0, 1, 2)
    setting.put(None, rows.Ownership("e", "entry-2@1", 2))
    assert setting.list_statuses() == {2: ("not_owner", False)}
    setting.answer_all()
    assert setting.list_statuses()[0] == ("ok", True)


def test_draining_endpoint_gets_no_new_work(setting):
    setting.submit(0, 1, 2)
    setting.owner.note_load(messages.Load("e", 1, 2, "draining", 2))
    assert setting.list_statuses() == {2: ("draining", False)}
    setting.answer_all()
    setting.submit(3)
    assert setting.list_statuses()[3] == ("no_endpoint", False)


def test_new_owner_waits_for_the_work_of_the_old_one():
    setting = Setting(epoch=3)
    setting.submit(0)
    assert not setting.client.call_by_run
    setting.owner.note_load(messages.Load("e", 1, 2, "ready", 1))
    assert len(setting.client.call_by_run) == 1


def test_hanging_endpoint_gets_no_more_than_its_slots(setting):
    setting.client.state = None
    setting.submit(0, 1, 2, deadline_ms=200.0)
    setting.pass_time(1.0)
    statuses = setting.list_statuses()
    assert statuses[0] == ("connection_lost", True)
    assert statuses[2][1] is False
    setting.submit(4, 5)
    setting.pass_time(1.0)
    assert len(setting.client.call_by_run) == 2


def test_silent_connection_is_found_and_its_slot_freed(setting):
    setting.submit(0)
    setting.client.state = "unknown"
    setting.pass_time(0.5)
    assert setting.list_statuses() == {0: ("endpoint_failed", True)}
    assert not setting.client.call_by_run


def test_restarted_endpoint_keeps_the_slots_it_says_are_taken(setting):
    setting.submit(0, 1)
    setting.put(setting.row._replace(incarnation=2, sequence=1))
    setting.pass_time(0.1)
    assert len(setting.client.call_by_run) == 2
    setting.submit(2)
    assert len(setting.client.call_by_run) == 2
    setting.client.state = "unknown"
    setting.pass_time(1.0)
    assert setting.list_statuses()[0][1] is True


def test_silent_announcements_make_an_endpoint_lost(setting):
    for _ in range(400):
        setting.clock.advance(0.01)
    assert setting.session.reports[0].state == "lost"


def test_doubled_command_message_is_not_run_again(setting):
    message = messages.RunCommand(
        "r", "c", 0.5, 0, 1000.0, "e", 1, "key", b"{}"
    )
    replies = []
    setting.owner.run_command(message, replies.append)
    setting.owner.run_command(message, replies.append)
    assert len(setting.client.call_by_run) == 1
    assert replies[0].status == "outcome_unknown"
    setting.answer_all()
    setting.clock.advance(0)
    assert replies[1].status == "ok"


def test_hopeless_work_is_refused_at_once_with_a_time_to_come_back(setting):
    setting.submit(*range(200), deadline_ms=100.0)
    setting.clock.advance(0)
    refused = [p for p in setting.target.parts if p.status == "overloaded"]
    assert refused
    assert all(p.retry_after_ms > 0 for p in refused)
    assert all(not p.dispatched for p in refused)


class Link:
    """Takes what the owner before tells the new one."""

    def __init__(self):
        self.messages = []

    def send(self, message):
        self.messages.append(message)


def move(setting, session, previous, epoch):
    setting.put(ownership=rows.Ownership("e", session, epoch, previous))


def test_owner_before_serves_until_it_is_asked(setting):
    move(setting, "entry-2@1", SESSION, 2)
    setting.submit(1, 2, 3)
    assert len(setting.client.call_by_run) == 2
    link = Link()
    call = messages.HandOverCall("e", 2, SESSION)
    reply = setting.owner.handover_manager.hand_over(call, link)
    assert reply == messages.HandOverReply(True, 2)
    setting.pass_time(0.1)
    assert [p.status for p in setting.target.parts] == ["not_owner"]
    setting.submit(4)
    setting.pass_time(0.1)
    assert len(setting.client.call_by_run) == 2
    for left in (1, 0):
        setting.client.answer(next(iter(setting.client.call_by_run)))
        assert link.messages[-1] == messages.SlotsLeft("e", 2, left)


def test_handed_over_grant_is_not_used_again(setting):
    call = messages.HandOverCall("e", 2, SESSION)
    assert setting.owner.handover_manager.hand_over(call, Link()).granted
    # The row of the new grant has not come yet, an older one comes late.
    setting.put(ownership=rows.Ownership("e", SESSION, 1))
    assert not setting.owner.owned_by_id
    setting.put(ownership=rows.Ownership("e", SESSION, 3))
    assert setting.owner.owned_by_id["e"].epoch == 3


def test_late_call_does_not_take_a_later_grant(setting):
    setting.put(ownership=rows.Ownership("e", SESSION, 3))
    call = messages.HandOverCall("e", 2, SESSION)
    setting.owner.handover_manager.hand_over(call, Link())
    assert setting.owner.owned_by_id["e"].epoch == 3


def test_call_for_another_process_is_answered_no(setting):
    call = messages.HandOverCall("e", 2, "entry-1@0")
    assert not setting.owner.handover_manager.hand_over(call, Link()).granted
    assert setting.owner.owned_by_id


def test_new_owner_asks_and_fills_only_free_slots():
    setting = Setting(epoch=1)
    other = setting.session.vm._replace(session="entry-2@1", vm_id="entry-2")
    setting.directory.vm_by_session["entry-2@1"] = other
    setting.put(ownership=rows.Ownership("e", "entry-2@1", 2))
    move(setting, SESSION, "entry-2@1", 3)
    assert not setting.owner.owned_by_id
    setting.pass_time(2.0)
    assert setting.calls == [messages.HandOverCall("e", 3, "entry-2@1")]
    setting.reply.callback(messages.HandOverReply(True, 1))
    setting.epoch = 3
    setting.submit(1, 2)
    assert len(setting.client.call_by_run) == 1
    assert setting.session.handovers == [("e", 3)]
    # A report that lags says less than the owner before.
    setting.owner.note_load(messages.Load("e", 1, 2, "ready", 1))
    assert len(setting.client.call_by_run) == 1
    setting.owner.note_slots_left(messages.SlotsLeft("e", 3, 0))
    assert len(setting.client.call_by_run) == 2


def test_new_owner_asks_again_until_it_is_answered():
    setting = Setting(epoch=1)
    other = setting.session.vm._replace(session="entry-2@1", vm_id="entry-2")
    setting.directory.vm_by_session["entry-2@1"] = other
    setting.put(ownership=rows.Ownership("e", "entry-2@1", 2))
    move(setting, SESSION, "entry-2@1", 3)
    setting.pass_time(2.0)
    setting.reply.callback(messages.HandOverReply(False, 0))
    setting.pass_time(1.0)
    assert len(setting.calls) == 2
    # Control says that the owner before has ended.
    setting.put(ownership=rows.Ownership("e", SESSION, 3))
    assert setting.owner.owned_by_id["e"].foreign == 2


@pytest.mark.parametrize(
    "snapshot,kind,status",
    (
        (1, "", "ok"),
        (2, "", "snapshot_gone"),
        (1, "endpoint_failed", "endpoint_failed"),
    ),
)
def test_result_behind_a_silent_connection_is_checked(
    setting, snapshot, kind, status
):
    setting.client.state = "finished"
    setting.client.result = endpoint_client.RunBody("r", snapshot, kind=kind)
    setting.submit(1)
    setting.pass_time(0.5)
    assert [p.status for p in setting.target.parts] == [status]


def test_owner_that_hears_of_its_grant_and_the_move_at_once_serves():
    setting = Setting(epoch=1)
    setting.put(ownership=rows.Ownership("e", "entry-3@1", 2))
    assert not setting.owner.owned_by_id
    # Epoch 3 was granted here and moved on before this VM heard of it.
    move(setting, "entry-2@1", SESSION, 4)
    assert setting.owner.owned_by_id["e"].epoch == 3
    call = messages.HandOverCall("e", 4, SESSION)
    assert setting.owner.handover_manager.hand_over(call, Link()).granted
    move(setting, "entry-2@1", SESSION, 4)
    assert not setting.owner.owned_by_id
