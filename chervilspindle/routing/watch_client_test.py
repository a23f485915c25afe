"""Tests of following control."""

import math

import pytest
from twisted.internet import defer
from twisted.internet import task

from chervilspindle.core import errors
from chervilspindle.core import rows
from chervilspindle.core import timers as timers_module
from chervilspindle.routing import watch_client as follower_module
from chervilspindle.wire import messages
from chervilspindle.wire import streams

SEEDS = ("10.0.0.1:7000", "10.0.0.2:7000", "10.0.0.3:7000")


class Control:
    """Members that answer as each test says."""

    def __init__(self):
        self.clock = task.Clock()
        self.calls = []
        self.answer = lambda address, message: defer.Deferred()
        self.deltas = []
        self.counts = []
        self.relays = []
        self.follower = follower_module.Follower(
            follower_module.Watcher("vm-1"),
            SEEDS,
            self.call,
            timers_module.TimerService(self.clock),
            self.deltas.append,
            lambda watchers, requests: self.counts.append(watchers),
            lambda: 3,
            lambda mark, relays: self.relays.append(mark),
            seed="test",
        )

    def call(self, address, message, timeout_s):
        self.calls.append((address, message))
        return self.answer(address, message)


def build_reply(version, age_ms=0.0, watchers=0, addresses=SEEDS):
    delta = messages.Delta(version, False, None, (), (), (), (), ())
    return messages.WatchReply(
        age_ms, watchers, 0, addresses, messages.encode_delta(delta)
    )


def test_takes_deltas_in_order_and_asks_for_what_follows():
    control = Control()
    control.answer = lambda address, message: (
        defer.succeed(build_reply(message.known_version + 1))
        if message.known_version < 3
        else defer.Deferred()
    )
    control.follower.start()
    for _ in range(5):
        control.clock.advance(0.01)
    assert [d.version for d in control.deltas] == [1, 2, 3]
    assert control.calls[-1][1].known_version == 3


def test_goes_on_after_a_call_that_raises():
    """A link that breaks while it is written to ended the following."""
    control = Control()

    def raise_error(address, message):
        raise RuntimeError("the handler is closed")

    control.answer = raise_error
    control.follower.start()
    replies = [build_reply(1)]
    control.answer = lambda address, message: (
        defer.succeed(replies.pop(0)) if replies else defer.Deferred()
    )
    control.clock.advance(follower_module.RETRY_S)
    assert [d.version for d in control.deltas] == [1]


def test_moves_to_another_member_when_one_does_not_answer():
    control = Control()
    control.answer = lambda address, message: defer.fail(
        errors.build_error(errors.ErrorKind.CONNECTION_LOST, "lost")
    )
    control.follower.start()
    control.clock.advance(follower_module.RETRY_S)
    assert control.calls[0][0] != control.calls[1][0]


def test_moves_on_from_a_member_that_hears_no_leader():
    control = Control()
    control.answer = lambda address, message: defer.succeed(
        build_reply(message.known_version, age_ms=math.inf)
    )
    control.follower.start()
    control.clock.advance(follower_module.RETRY_S)
    assert control.calls[0][0] != control.calls[1][0]
    assert not control.follower.in_touch
    assert control.deltas == []


def test_never_takes_an_older_version():
    control = Control()
    replies = [build_reply(7), build_reply(5), build_reply(8)]
    control.answer = lambda address, message: (
        defer.succeed(replies.pop(0)) if replies else defer.Deferred()
    )
    control.follower.start()
    control.clock.pump([0.05] * 10)
    assert [d.version for d in control.deltas] == [7, 8]


def test_learns_members_that_the_settings_do_not_name():
    control = Control()
    moved = ("10.0.0.9:7000",)
    replies = [defer.succeed(build_reply(1, addresses=moved))]
    failed = errors.build_error(errors.ErrorKind.CONNECTION_LOST, "lost")
    control.answer = lambda address, message: (
        replies.pop(0) if replies else defer.fail(failed)
    )
    control.follower.start()
    control.clock.pump([0.1] * 40)
    assert moved[0] in {address for address, _ in control.calls}


def test_passes_on_the_highest_count_of_a_while():
    control = Control()
    replies = [build_reply(1, watchers=12), build_reply(2, watchers=7)]
    control.answer = lambda address, message: (
        defer.succeed(replies.pop(0)) if replies else defer.Deferred()
    )
    control.follower.start()
    control.clock.pump([0.05] * 4)
    assert control.counts == [12, 12]


def test_a_document_comes_with_the_delta():
    delta = messages.Delta(
        1,
        True,
        None,
        (),
        (),
        (),
        (),
        (),
        rows.StoredDocument(4, b"{}"),
    )
    decoded = messages.decode_delta(messages.encode_delta(delta))
    assert decoded.document == rows.StoredDocument(4, b"{}")


@pytest.mark.parametrize("seed", range(40))
def test_two_of_five_members_that_fall_silent_cost_little_time(seed):
    """Dead members were tried again and again, for over three seconds."""
    control = Control()
    five = tuple(f"10.0.0.{i}:7000" for i in range(1, 6))
    control.follower.seeds = five
    control.follower.random.seed(seed)
    dead = set()

    def answer(address, message):
        waiting = defer.Deferred()
        if address not in dead:
            reply = build_reply(message.known_version + 1, addresses=five)
            control.clock.callLater(0.2, waiting.callback, reply)
            return waiting
        lost = errors.build_error(errors.ErrorKind.CONNECTION_LOST, "lost")
        limit = streams.CONNECT_TIMEOUT_S
        if address == control.calls[0][0]:
            limit = follower_module.CALL_TIMEOUT_S
        control.clock.callLater(limit, waiting.errback, lost)
        return waiting

    control.answer = answer
    control.follower.start()
    control.clock.pump([0.05] * 20)
    first = control.follower.member
    dead.update((first, next(a for a in five if a != first)))
    before = control.follower.version
    control.clock.pump([0.05] * 50)
    assert control.follower.version > before + 1
    assert control.follower.in_touch
