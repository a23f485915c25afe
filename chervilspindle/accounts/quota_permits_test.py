"""Tests of the issuer and the client of quotas, by failure."""

import logging
import math

import pytest

from chervilspindle.accounts import quota_permits
from chervilspindle.accounts import quota_schedules_test
from chervilspindle.policy import quotas
from chervilspindle.policy import rendezvous
from chervilspindle.wire import messages

RULE = quota_schedules_test.RULE
DOCUMENT = quota_schedules_test.DOCUMENT
FULL = int(quota_schedules_test.FULL)
SLACK = quota_schedules_test.BOUND - quota_schedules_test.FULL
SHARE = int(quotas.SUBSTITUTE_SHARE * SLACK)
REDUCED = int(quotas.REDUCED_SHARE * SLACK)
NAMES = tuple(f"vm-{i}" for i in range(5))
SETTLED_S = quotas.compute_settle_s(RULE)


def rank(names):
    relays = [messages.Relay(name, "a", name) for name in names]
    ranked = quotas.rank_issuers(relays, "acme", len(relays))
    return [relay.vm_id for relay in ranked]


class World(quota_schedules_test.World):
    """A world whose entries are in the order of the account `acme`."""

    def __init__(self, names=NAMES, settled=True):
        super().__init__(1)
        self.ranked = rank(names)
        if settled:
            self.start_settled(names)
        else:
            for name in names:
                self.start_entry(name)
        self.run(1.0)

    def get(self, place):
        return self.entry_by_name[self.ranked[place]]

    def ask(self, count, entry=None):
        """Return the outcomes of requests of an entry, after 0.2 s."""
        before = len(self.outcomes)
        for _ in range(count):
            (entry or self.get(-1)).ask()
        self.run(0.2)
        return [outcome for _, outcome in self.outcomes[before:]]

    def count_granted(self, count, entry=None):
        return sum(o.granted for o in self.ask(count, entry))

    def check_bound(self):
        busiest = quota_schedules_test.find_busiest_window(self.uses)
        assert busiest <= quota_schedules_test.BOUND


def test_all_entries_together_admit_the_limit_and_the_rest_is_refused():
    world = World()
    outcomes = []
    for place in range(5):
        outcomes += world.ask(12, world.get(place))
    granted = [o for o in outcomes if o.granted]
    refused = [o for o in outcomes if not o.granted]
    assert (len(granted), len(refused)) == (FULL, 60 - FULL)
    assert {o.reason for o in refused} == {quota_permits.REFUSED}
    for outcome in refused:
        assert outcome.fields["account"] == "acme"
        assert (outcome.fields["limit"], outcome.fields["count"]) == (
            FULL,
        ) * 2
        assert RULE.window_s - 1.5 < outcome.wait_s
        assert outcome.wait_s <= RULE.window_s + quotas.RETURN_SPREAD_S


def test_an_admission_costs_one_call_and_one_reply():
    world = World()
    calls = []
    asker = world.get(-1)
    call = asker.call
    asker.call = lambda *args: calls.append(args) or call(*args)
    assert world.count_granted(1) == 1
    assert len(calls) == 1
    # The issuer itself decides at once, without a message.
    issuer = world.get(0)
    issuer.call = lambda *args: pytest.fail("the issuer calls itself")
    before = len(world.outcomes)
    issuer.ask()
    assert [o.granted for _, o in world.outcomes[before:]] == [True]


def test_refusals_of_a_flood_cost_no_messages():
    """An account at eight times its rate must not take up its issuer."""
    world = World()
    world.ask(FULL)
    calls = []
    asker = world.get(-1)
    call = asker.call
    asker.call = lambda *args: calls.append(args) or call(*args)
    world.ask(1)
    outcomes = world.ask(500)
    assert {o.reason for o in outcomes} == {quota_permits.REFUSED}
    assert len(calls) <= 2


def test_there_is_room_at_the_time_that_a_refusal_names():
    world = World()
    world.ask(FULL)
    refused = world.ask(1)[0]
    world.run(refused.wait_s)
    assert world.count_granted(1) == 1


@pytest.mark.parametrize("how", ("kill", "freeze"))
def test_the_substitute_admits_its_share_without_the_issuer(how):
    world = World()
    if how == "kill":
        world.kill(world.ranked[0], None)
    else:
        world.freeze(world.ranked[0], 2.0)
    outcomes = world.ask(20)
    assert sum(o.granted for o in outcomes) == SHARE
    refused = [o for o in outcomes if not o.granted]
    assert {o.reason for o in refused} == {quota_permits.UNDECIDED}
    assert all(o.wait_s > 0.0 for o in refused)


def test_the_successor_of_a_killed_issuer_becomes_complete():
    world = World()
    world.ask(FULL)
    world.kill(world.ranked[0], None)
    killed_s = world.now
    world.run(6.0)
    assert world.count_granted(30) == SHARE + REDUCED
    world.run(killed_s + 2.5 + 2.0 + SETTLED_S - world.now)
    world.check_bound()
    assert world.count_granted(30) == FULL


def test_an_issuer_that_was_frozen_for_long_does_not_admit_the_limit():
    """Its successor may have admitted the limit meanwhile."""
    world = World()
    world.freeze(world.ranked[0], 30.0)
    world.run(25.0)
    frozen = world.get(0)
    assert world.count_granted(30) == FULL
    world.run(5.0)
    assert not frozen.frozen
    frozen.ask()
    frozen.ask()
    for _ in range(60):
        world.ask(5)
        world.ask(2, frozen)
    world.check_bound()


def test_an_admission_that_a_frozen_entry_reads_late_is_not_used():
    """It counts no more at the issuer when it would reach an endpoint."""
    world = World()
    asker = world.get(-1)
    asker.ask()
    world.freeze(world.ranked[-1], 10.0)
    uses = len(world.uses)
    world.run(9.9)
    assert len(world.uses) == uses
    calls = []
    call = asker.call
    asker.call = lambda *args: calls.append(args) or call(*args)
    world.run(0.2)
    # It asked again, and the issuer counted both.
    assert len(calls) == 1 and len(world.uses) == uses + 1


def test_a_pause_of_the_asking_entry_does_not_condemn_the_issuer():
    """The timer of the call is due first, though the reply has come."""
    world = World()
    asker = world.get(-1)
    asker.ask()
    world.freeze(world.ranked[-1], 0.1)
    world.run(0.5)
    assert world.outcomes[-1][1].granted
    assert not asker.client.failed_s_by_address


def test_an_entry_that_is_cut_off_from_the_issuer_asks_the_substitute():
    world = World()
    asker = world.ranked[-1]
    world.cut({asker}, {world.ranked[0]}, 100.0)
    assert world.count_granted(20) == SHARE
    # It is left out for a while, and then asked again.
    assert list(world.get(-1).client.failed_s_by_address) == [world.ranked[0]]
    assert world.count_granted(30, world.get(2)) == FULL
    world.check_bound()


def test_nothing_is_admitted_without_a_reply():
    """A share for each VM would be less than a request in a window."""
    world = World()
    asker = world.ranked[-1]
    world.cut({asker}, set(world.ranked[:-1]), 100.0)
    started_s = world.now
    outcomes = world.ask(20)
    assert {o.reason for o in outcomes} == {quota_permits.UNDECIDED}
    took_s = max(s for s, _ in world.outcomes) - started_s
    assert took_s <= 2 * quota_permits.REPLY_TIMEOUT_S + 0.01


def test_an_issuer_without_control_stops_admitting_the_limit_in_time():
    world = World()
    world.cut_control({world.ranked[0]}, 100.0)
    world.run(4.0)
    assert world.count_granted(1, world.get(0)) == 1
    world.run(quotas.CONTROL_SILENCE_S - 4.0 + SETTLED_S)
    issuer = world.get(0)
    reply = issuer.issuer.decide(messages.QuotaCall("acme", False))
    assert reply.is_issuer and not reply.is_full


def test_a_short_loss_of_control_stops_no_issuer():
    """An election takes up to about two seconds."""
    world = World()
    world.cut_control(set(NAMES), 4.0)
    world.run(3.9)
    assert world.count_granted(30) == FULL
    world.run(1.0)
    assert world.ask(1)[0].reason == quota_permits.REFUSED


def test_a_planned_stop_costs_nothing():
    world = World()
    assert world.count_granted(10) == 10
    world.drain(world.ranked[0], None)
    # Before and after control sends the list without it.
    assert world.count_granted(5) == 5
    world.run(2.0)
    outcomes = world.ask(10)
    assert sum(o.granted for o in outcomes) == FULL - 15
    assert {o.reason for o in outcomes if not o.granted} == {"quota"}
    world.check_bound()


def test_an_entry_that_joins_as_issuer_costs_nothing():
    """Entries act by two lists for a moment."""
    names = rank(NAMES)
    world = World(names[1:])
    world.run(1.0)
    assert world.count_granted(10) == 10
    world.start_entry(names[0])
    granted = 0
    for _ in range(10):
        granted += world.count_granted(1)
    assert granted == 10
    joined = world.entry_by_name[names[0]]
    world.run(3.0)
    reply = joined.issuer.decide(messages.QuotaCall("acme", False))
    assert reply.is_issuer and reply.is_full
    world.check_bound()


def test_a_lost_handover_costs_a_time_as_substitute():
    names = rank(NAMES)
    world = World(names[1:])
    world.count_granted(FULL)
    world.start_entry(names[0])
    world.cut({names[0]}, {names[1]}, 3.0)
    world.run(3.0)
    asker = world.entry_by_name[names[-1]]
    assert world.count_granted(20, asker) == SHARE
    world.run(SETTLED_S)
    assert world.count_granted(30, asker) == FULL
    world.check_bound()


def test_all_entries_that_start_at_once_admit_a_share_at_first():
    world = World(settled=False)
    world.run(2.0)
    assert world.count_granted(30) == SHARE + REDUCED
    world.run(SETTLED_S)
    assert world.count_granted(30) == FULL
    world.check_bound()


def test_without_a_list_of_entries_nothing_is_decided():
    world = World()
    asker = world.get(-1)
    asker.table.relays = ()
    assert world.ask(1)[0].reason == quota_permits.UNDECIDED


def test_an_entry_of_an_older_build_is_not_asked():
    """It would close the link on a message that it does not know."""
    world = World()
    asker = world.get(-1)
    asker.knows = lambda address, kind: address != world.ranked[0]
    called = []
    call = asker.call
    asker.call = lambda *args: called.append(args[0]) or call(*args)
    assert world.ask(1)[0].granted
    assert called == [world.ranked[1]]


def test_the_issuer_uses_the_limit_of_its_own_document():
    world = World()
    account = quota_schedules_test.ACCOUNT

    def put(**changes):
        accounts = (account._replace(**changes),)
        for entry in world.entries:
            entry.client.update_document(DOCUMENT._replace(accounts=accounts))

    assert world.count_granted(FULL + 1) == FULL
    put(burst=account.burst + 5.0)
    assert world.count_granted(10) == 5
    put(rate_per_s=0.4, burst=0.0)
    assert world.ask(1)[0].fields["limit"] == 2.0
    world.run(6.0)
    assert world.count_granted(10) == 2
    put(rate_per_s=0.0)
    assert world.count_granted(100) == 100


def test_an_issuer_without_a_document_admits_nothing():
    world = World()
    world.get(0).issuer.account_by_name = None
    reply = world.get(0).issuer.decide(messages.QuotaCall("acme", False))
    assert reply == quota_permits.NOT_ISSUER


def test_a_handover_that_is_read_after_a_long_freeze_is_ignored():
    """Its ages would be counted from the time at which it is read."""
    world = World()
    second = world.get(1)
    world.freeze(world.ranked[1], 12.0)
    world.drain(world.ranked[0], None)
    world.run(11.9)
    world.cut_control({world.ranked[1]}, 5.0)
    world.run(0.2)
    reply = second.issuer.decide(messages.QuotaCall("acme", True))
    assert not reply.is_full


def test_an_issuer_whose_successor_started_again_steps_back():
    """Both would admit the limit, one by a handover and one by the list."""
    world = World()
    world.ask(5)
    world.drain(world.ranked[0], 0.5)
    for _ in range(150):
        world.ask(5, world.get(1))
        world.ask(5, world.get(0))
    world.check_bound()


def test_accounts_without_calls_are_forgotten():
    world = World()
    issuer = world.get(0).issuer
    for i in range(100):
        issuer.decide(messages.QuotaCall(f"other-{i}", False))
    assert len(issuer.issued_by_name) == 100
    world.now += quota_permits.IDLE_S
    issuer.decide(messages.QuotaCall("acme", False))
    assert list(issuer.issued_by_name) == ["acme"]


def test_an_account_that_was_not_called_for_long_has_a_complete_log():
    """The lists of the last while tell since when an entry is the first."""
    world = World()
    world.run(60.0)
    reply = world.get(0).issuer.decide(messages.QuotaCall("acme", False))
    assert reply.is_full


def test_changes_of_the_issuer_are_logged(caplog):
    caplog.set_level(logging.INFO, "chervilspindle.decision")
    world = World()
    world.ask(5)
    world.drain(world.ranked[0], None)
    world.run(1.0)
    world.ask(1)
    lines = [(r.message, getattr(r, "mode", "")) for r in caplog.records]
    assert lines == [
        ("quota-issued-here", "complete"),
        ("quota-handed-over", ""),
        ("quota-taken-over", ""),
        ("quota-issued-here", "complete"),
    ]
    ages = [r.complete_age_s for r in caplog.records]
    assert all(age is None or math.isfinite(age) for age in ages)


def lose_the_first_two_twice():
    """Return the requests in the busiest window while entries are lost.

    The issuer goes on without control for as long as it may. The first two
    by the list without it are killed as soon as they have admitted their
    shares.
    """
    world = World()
    issuer = world.get(0)
    world.cut_control({issuer.row.vm_id}, 60.0)
    world.run(5.2)
    world.ask(40, issuer)
    for _ in range(2):
        running = [e for e in world.entry_by_name.values() if e.alive]
        others = [e for e in running if e != issuer]
        for entry in 20 * others:
            entry.ask()
        world.run(0.1)
        table = others[0].table
        for relay in others[0].issuer.rank_entries("acme", table.relays):
            world.kill(relay.vm_id, None)
        world.run(4.3)
    return quota_schedules_test.find_busiest_window(world.uses)


def test_entries_that_are_lost_one_after_another_stay_within_the_slack():
    """Guards against new firsts that take shares beside the old second."""
    assert lose_the_first_two_twice() <= quota_schedules_test.BOUND


def test_entries_that_overtake_the_second_would_exceed_the_slack(monkeypatch):
    """Shows why the order of an account is one over all entries.

    Here it is an order among two entries that a fixed key selects, so that
    the entry that replaces a lost one may become the first at once.
    """

    def rank_selected(relays, account_name, count):
        selected = rendezvous.rank_entries(relays, "fixed-0", 2)
        return rendezvous.rank_entries(selected, account_name, count)

    monkeypatch.setattr(quotas, "rank_issuers", rank_selected)
    assert lose_the_first_two_twice() > quota_schedules_test.BOUND
