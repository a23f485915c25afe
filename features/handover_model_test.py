"""Model check of ownership: never two sessions that may send work.

The real tables, owners and handovers of one endpoint and three entries are
explored breadth first: each state is reached again by running its actions
from the start, and each action that is possible there is tried next. Actions
are the steps of control, deltas that are heard early or late, leases that
run out and come back, and calls that arrive, arrive twice, or are lost.
"""

import collections
import typing

import pytest
from twisted.internet import defer

from chervilspindle.control import state as state_module
from chervilspindle.core import errors
from chervilspindle.core import metrics
from chervilspindle.core import rows
from chervilspindle.query import directory as directory_module
from chervilspindle.query import handover
from chervilspindle.query import owner as owner_module
from chervilspindle.wire import messages

NAMES = ("a@1", "b@1", "c@1")
ENDPOINT = rows.Endpoint(
    "e", "s", "127.0.0.1:2", "z", 2, 60, "ready", (), 1, 1
)
MAX_STATES = 6000
MAX_CALLS = 3


class Client:
    """An endpoint that never answers; nothing is sent in the model."""

    def close(self):
        """Close nothing."""


class Timers:
    """Timers that fire when the model says so."""

    def __init__(self):
        self.planned = []

    def subscribe(self, name, period_s, callback):
        """Subscribe nothing: periodic work plays no part here."""

    def schedule_within(self, name, delay_s):
        """Hurry nothing."""

    def call_later(self, delay_s, callback, *args):
        """Keep a call of the handover desk."""
        if getattr(callback, "__name__", "") == "_request_handover":
            self.planned.append((callback, args))


class Session:
    """The lease of one entry."""

    def __init__(self, name):
        self.vm = rows.Vm(
            name, name[0], "z", f"127.0.0.1:{NAMES.index(name)}", 1, "ready"
        )
        self.valid = True
        self.taken = set()

    def is_valid(self):
        """Tell whether the lease holds."""
        return self.valid

    def report(self, endpoint):
        """Report nothing."""

    def report_handover(self, endpoint_id, epoch):
        """Remember what control has to be told."""
        self.taken.add(epoch)


class Entry:
    """One entry of the model."""

    def __init__(self, model, name):
        self.session = Session(name)
        self.directory = directory_module.Directory()
        self.timers = Timers()
        self.owner = owner_module.Owner(
            self.session,
            self.directory,
            lambda address, connections: Client(),
            self.timers,
            lambda: 0.0,
            metrics.Metrics(),
            lambda vm, message, timeout_s: model.call(name, vm, message),
        )
        self.version = 0
        self.coming = None

    def hear(self, tables):
        """Put the tables of control in force."""
        self.directory.apply_delta(
            messages.Delta(
                tables.version,
                True,
                None,
                tuple(tables.vm_by_session.values()),
                tuple(tables.endpoint_by_id.values()),
                tuple(tables.ownership_by_id.values()),
                (),
                (),
            )
        )
        self.version = tables.version

    def may_send(self):
        """Tell whether the owner would send work to the endpoint."""
        return "e" in self.owner.owned_by_id and self.session.valid


class Call(typing.NamedTuple):
    """A handover call on its way, or its reply."""

    sender: str
    target: str
    message: messages.HandOverCall
    deferred: defer.Deferred
    stage: str  # "call" or "reply"
    reply: messages.HandOverReply | None


class Model:
    """Control and three entries, driven one action at a time."""

    def __init__(self, path=()):
        self.tables = state_module.EMPTY_STATE
        self.calls = []
        self.entry_by_name = {n: Entry(self, n) for n in NAMES}
        for name in NAMES:
            vm = self.entry_by_name[name].session.vm
            self._commit(state_module.RegisterVm(vm))
        self._commit(state_module.ReportEndpoints((ENDPOINT,), 0))
        self._assign("a@1")
        self.entry_by_name["a@1"].hear(self.tables)
        for action in path:
            self.run(action)

    def call(self, sender, vm, message):
        """Put a call on its way."""
        deferred = defer.Deferred()
        self.calls.append(
            Call(sender, vm.session, message, deferred, "call", None)
        )
        return deferred

    def list_actions(self):
        """Return all actions that are possible now."""
        found = [("assign", n) for n in NAMES if self._may_assign(n)]
        for name, entry in self.entry_by_name.items():
            if entry.session.valid:
                found.append(("expire", name))
                if entry.coming is not None:
                    found.append(("hear", name))
                else:
                    found.append(("ask", name))
                if entry.session.taken:
                    found.append(("confirm", name))
            else:
                found.append(("renew", name))
            if entry.timers.planned:
                found.append(("timer", name))
        for number, call in enumerate(self.calls):
            found.append(("lose", number))
            found.append(("deliver", number))
            if call.stage == "call":
                found.append(("copy", number))
        return found

    def run(self, action):
        """Run one action."""
        kind, subject = action
        getattr(self, f"_{kind}")(subject)

    def get_key(self):
        """Return what tells this state from others."""
        row = self.tables.ownership_by_id["e"]
        sessions = tuple(sorted(self.tables.vm_by_session))
        entries = tuple(
            (
                e.directory.ownership_by_id.get("e"),
                e.owner.owned_by_id["e"].epoch if e.owner.owned_by_id else 0,
                e.owner.handover_manager.released_epoch_by_id.get("e", 0),
                e.session.valid,
                tuple(sorted(e.session.taken)),
                len(e.timers.planned),
                e.version == self.tables.version,
                e.coming and e.coming.ownership_by_id["e"],
            )
            for e in self.entry_by_name.values()
        )
        calls = tuple(
            sorted(
                (c.sender, c.target, c.message, c.stage, str(c.reply))
                for c in self.calls
            )
        )
        return row, sessions, entries, calls

    def check(self):
        """At most one session may send work."""
        senders = [n for n, e in self.entry_by_name.items() if e.may_send()]
        assert len(senders) <= 1, senders

    def _may_assign(self, name):
        row = self.tables.ownership_by_id["e"]
        return (
            name in self.tables.vm_by_session
            and row.session != name
            and not row.previous
        )

    def _commit(self, command):
        version = self.tables.version + 1
        self.tables = state_module.apply_command(
            command, self.tables._replace(version=version)
        ).state

    def _assign(self, name):
        row = self.tables.ownership_by_id.get("e")
        epoch = row.epoch if row else 0
        assignment = state_module.Assignment("e", name, epoch)
        self._commit(state_module.Assign((assignment,)))

    def _ask(self, name):
        # Control answers a heartbeat; the answer may take its time.
        self.entry_by_name[name].coming = self.tables

    def _hear(self, name):
        entry = self.entry_by_name[name]
        tables, entry.coming = entry.coming, None
        entry.hear(tables)

    def _expire(self, name):
        # The session stops by its own clock before control ends it.
        self.entry_by_name[name].session.valid = False
        self._commit(state_module.RemoveVms((name,)))

    def _renew(self, name):
        # The delta is put in force before the lease counts.
        entry = self.entry_by_name[name]
        self._commit(state_module.RegisterVm(entry.session.vm))
        entry.coming = None
        entry.hear(self.tables)
        entry.session.valid = True

    def _confirm(self, name):
        taken = self.entry_by_name[name].session.taken
        ended = tuple(state_module.Handover("e", n) for n in sorted(taken))
        taken.clear()
        self._commit(state_module.EndHandovers(ended))

    def _timer(self, name):
        callback, args = self.entry_by_name[name].timers.planned.pop(0)
        if len(self.calls) < MAX_CALLS:
            callback(*args)

    def _lose(self, number):
        call = self.calls.pop(number)
        call.deferred.errback(
            errors.build_error(errors.ErrorKind.CONNECTION_LOST, "lost")
        )

    def _copy(self, number):
        call = self.calls[number]
        handover_manager = self.entry_by_name[
            call.target
        ].owner.handover_manager
        return handover_manager.hand_over(call.message, None)

    def _deliver(self, number):
        call = self.calls[number]
        if call.stage == "call":
            reply = self._copy(number)
            self.calls[number] = call._replace(stage="reply", reply=reply)
            return
        del self.calls[number]
        call.deferred.callback(call.reply)


def explore(limit, start=()):
    """Check states breadth first from a start.

    Returns
    -------
    states, depth : int, int
    """
    seen = {Model(start).get_key()}
    frontier = collections.deque([start])
    deepest = 0
    while frontier and len(seen) < limit:
        path = frontier.popleft()
        for action in Model(path).list_actions():
            longer = (*path, action)
            model = Model(longer)
            key = model.get_key()
            if key in seen:
                continue
            seen.add(key)
            try:
                model.check()
            except AssertionError as error:
                raise AssertionError(f"{error} after {longer}") from error
            frontier.append(longer)
            deepest = len(longer)
    return len(seen), deepest


# A handover whose call is on its way, with an old answer of control that has
# not reached the owner before.
CALL_SENT = (
    ("ask", "a@1"),
    ("assign", "b@1"),
    ("ask", "b@1"),
    ("hear", "b@1"),
    ("timer", "b@1"),
)
STARTS = ((), CALL_SENT)


@pytest.mark.parametrize("start", STARTS, ids=("begin", "call-sent"))
def test_no_two_sessions_may_send(start):
    count, depth = explore(MAX_STATES, start)
    assert count >= MAX_STATES
    assert depth >= len(start) + 4


def forget_given(monkeypatch):
    """Take up again what was handed over."""
    original = handover.HandoverManager.get_serving_epoch

    def find(self, row):
        self.released_epoch_by_id.clear()
        return original(self, row)

    monkeypatch.setattr(handover.HandoverManager, "get_serving_epoch", find)


def ask_nobody(monkeypatch):
    """Start under a grant while the owner before still serves."""
    original = handover.HandoverManager.get_serving_epoch
    monkeypatch.setattr(
        handover.HandoverManager,
        "get_serving_epoch",
        lambda self, row: original(self, row._replace(previous="")),
    )


def keep_serving(monkeypatch):
    """Go on serving after the handover."""
    monkeypatch.setattr(
        owner_module.Owner, "release_to_successor", lambda self, *rest: 0
    )


@pytest.mark.parametrize(
    "remove",
    (forget_given, ask_nobody, keep_serving),
    ids=lambda r: r.__name__,
)
def test_model_finds_what_a_missing_rule_breaks(remove, monkeypatch):
    remove(monkeypatch)
    with pytest.raises(AssertionError, match="after"):
        for start in STARTS:
            explore(MAX_STATES // 2, start)
