"""Tests of watching control from an entry."""

import math

import pytest
from twisted.internet import defer
from twisted.internet import task

from chervilspindle.core import errors
from chervilspindle.core import rows
from chervilspindle.core import timers as timers_module
from chervilspindle.routing import watch_client
from chervilspindle.wire import messages
from chervilspindle.wire import streams

SEEDS = ("10.0.0.1:7000", "10.0.0.2:7000", "10.0.0.3:7000")


class Control:
    """Control members whose answers each test defines."""

    def __init__(self):
        self.clock = task.Clock()
        self.calls = []
        self.answer = lambda address, message: defer.Deferred()
        self.deltas = []
        self.counts = []
        self.relays = []
        self.client = watch_client.WatchClient(
            watch_client.EntryInfo("vm-1"),
            SEEDS,
            self.call,
            timers_module.TimerService(self.clock),
            self.deltas.append,
            lambda watchers, requests: self.counts.append(watchers),
            lambda: 3,
            lambda fingerprint, relays: self.relays.append(fingerprint),
            seed="test",
        )

    def call(self, address, message, timeout_s):
        self.calls.append((address, message))
        return self.answer(address, message)


def build_reply(version, age_ms=0.0, watchers=0, addresses=SEEDS, nearby=()):
    delta = messages.Delta(version, False, None, (), (), (), (), ())
    return messages.WatchReply(
        age_ms,
        watchers,
        0,
        addresses,
        messages.encode_delta(delta),
        None,
        nearby,
    )


def test_deltas_are_applied_in_order_and_the_next_is_requested():
    control = Control()
    control.answer = lambda address, message: (
        defer.succeed(build_reply(message.known_version + 1))
        if message.known_version < 3
        else defer.Deferred()
    )
    control.client.start()
    for _ in range(5):
        control.clock.advance(0.01)
    assert [d.version for d in control.deltas] == [1, 2, 3]
    assert control.calls[-1][1].known_version == 3


def test_call_that_raises_is_retried():
    """A link that broke during a write raised, which ended the watch."""
    control = Control()

    def raise_error(address, message):
        raise RuntimeError("the handler is closed")

    control.answer = raise_error
    control.client.start()
    replies = [build_reply(1)]
    control.answer = lambda address, message: (
        defer.succeed(replies.pop(0)) if replies else defer.Deferred()
    )
    control.clock.advance(watch_client.RETRY_DELAY_S)
    assert [d.version for d in control.deltas] == [1]


def test_switches_member_when_one_does_not_answer():
    control = Control()
    control.answer = lambda address, message: defer.fail(
        errors.build_error(errors.ErrorKind.CONNECTION_LOST, "lost")
    )
    control.client.start()
    control.clock.advance(watch_client.RETRY_DELAY_S)
    assert control.calls[0][0] != control.calls[1][0]


def test_switches_from_a_member_without_a_leader():
    control = Control()
    control.answer = lambda address, message: defer.succeed(
        build_reply(message.known_version, age_ms=math.inf)
    )
    control.client.start()
    control.clock.advance(watch_client.RETRY_DELAY_S)
    assert control.calls[0][0] != control.calls[1][0]
    assert not control.client.is_connected
    assert control.deltas == []


def test_an_entry_without_tables_pauses_after_trying_every_member():
    control = Control()
    control.answer = lambda address, message: defer.succeed(
        build_reply(0, age_ms=math.inf)
    )
    control.client.start()
    control.clock.pump([0.01] * 100)
    assert {address for address, _ in control.calls[:3]} == set(SEEDS)
    round_s = 2 * watch_client.INITIAL_RETRY_DELAY_S
    round_s += watch_client.RETRY_DELAY_S
    assert len(control.calls) <= 3 * (1.0 / round_s + 1)
    assert len(control.calls) >= 3 * (1.0 / round_s - 1)


def test_older_version_is_never_applied():
    control = Control()
    replies = [build_reply(7), build_reply(5), build_reply(8)]
    control.answer = lambda address, message: (
        defer.succeed(replies.pop(0)) if replies else defer.Deferred()
    )
    control.client.start()
    control.clock.pump([0.05] * 10)
    assert [d.version for d in control.deltas] == [7, 8]


def test_members_outside_the_seeds_are_learned():
    control = Control()
    learned = ("10.0.0.9:7000",)
    replies = [defer.succeed(build_reply(1, addresses=learned))]
    error = errors.build_error(errors.ErrorKind.CONNECTION_LOST, "lost")
    control.answer = lambda address, message: (
        replies.pop(0) if replies else defer.fail(error)
    )
    control.client.start()
    control.clock.pump([0.1] * 40)
    assert learned[0] in {address for address, _ in control.calls}


def test_an_entry_moves_to_a_member_of_its_zone_and_back_after_a_failure():
    control = Control()
    nearby = ("10.0.0.9:7000",)
    lost = False

    def answer(address, message):
        if address in nearby and lost:
            return defer.fail(
                errors.build_error(errors.ErrorKind.CONNECTION_LOST, "lost")
            )
        reply = build_reply(message.known_version + 1, nearby=nearby)
        waiting = defer.Deferred()
        control.clock.callLater(0.2, waiting.callback, reply)
        return waiting

    control.answer = answer
    control.client.start()
    control.clock.pump([0.05] * 20)
    assert control.calls[-1][0] == nearby[0]
    assert control.client.is_connected
    lost = True
    control.clock.pump([0.05] * 20)
    assert control.calls[-1][0] != nearby[0]
    assert control.client.is_connected
    lost = False
    control.clock.pump([0.1] * 110)
    assert control.calls[-1][0] == nearby[0]
    versions = [d.version for d in control.deltas]
    assert versions == sorted(versions)


def test_highest_entry_count_of_the_window_is_passed_on():
    control = Control()
    replies = [build_reply(1, watchers=12), build_reply(2, watchers=7)]
    control.answer = lambda address, message: (
        defer.succeed(replies.pop(0)) if replies else defer.Deferred()
    )
    control.client.start()
    control.clock.pump([0.05] * 4)
    assert control.counts == [12, 12]


def test_delta_with_a_document_survives_encoding():
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
def test_loss_of_two_of_five_members_costs_little_time(seed):
    """A random choice retried unreachable members for over three seconds."""
    control = Control()
    five = tuple(f"10.0.0.{i}:7000" for i in range(1, 6))
    control.client.seeds = five
    control.client.random.seed(seed)
    lost_addresses = set()

    def answer(address, message):
        waiting = defer.Deferred()
        if address not in lost_addresses:
            reply = build_reply(message.known_version + 1, addresses=five)
            control.clock.callLater(0.2, waiting.callback, reply)
            return waiting
        error = errors.build_error(errors.ErrorKind.CONNECTION_LOST, "lost")
        limit = streams.CONNECT_TIMEOUT_S
        if address == control.calls[0][0]:
            limit = watch_client.WATCH_TIMEOUT_S
        control.clock.callLater(limit, waiting.errback, error)
        return waiting

    control.answer = answer
    control.client.start()
    control.clock.pump([0.05] * 20)
    first = control.client.member_address
    lost_addresses.update((first, next(a for a in five if a != first)))
    before = control.client.version
    control.clock.pump([0.05] * 50)
    assert control.client.version > before + 1
    assert control.client.is_connected


def test_settings_without_seeds_do_not_end_the_watch():
    control = Control()
    pending = defer.Deferred()
    control.answer = lambda address, message: pending
    control.client.start()
    control.client.set_seeds(())
    control.answer = lambda address, message: defer.Deferred()
    pending.errback(
        errors.build_error(errors.ErrorKind.CONNECTION_LOST, "cut off")
    )
    control.clock.pump([0.1] * 10)
    assert len(control.calls) == 2


def test_contact_is_known_by_the_time_of_the_call_before_the_list():
    """A reply that was read late, after a freeze, is no fresh contact."""
    control = Control()
    heard = []
    control.answer = lambda address, message: replies.pop(0)
    control.client.on_contact = lambda at_s: heard.append(
        (at_s, list(control.relays))
    )
    reply = build_reply(5, age_ms=400.0)
    late = defer.Deferred()
    replies = [late, defer.Deferred()]
    control.client.start()
    called_s = control.client.called_s
    late.callback(reply._replace(relays=messages.RelayList(9, ())))
    assert heard == [(called_s - 0.4, [])]
    assert control.relays == [9]


def test_a_member_without_a_leader_is_no_contact():
    control = Control()
    heard = []
    control.client.on_contact = heard.append
    control.answer = lambda address, message: defer.succeed(
        build_reply(5, age_ms=1600.0)
    )
    control.client.start()
    assert not heard
