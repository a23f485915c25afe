"""Tests of the links that are opened to issuers in advance."""

import random

from twisted.internet import task

from chervilspindle.accounts import quota_links
from chervilspindle.accounts import quota_permits
from chervilspindle.accounts import quota_schedules_test
from chervilspindle.core import timers
from chervilspindle.policy import quotas
from chervilspindle.wire import messages

DOCUMENT = quota_schedules_test.DOCUMENT


class Table:
    """The list of entries."""

    def __init__(self, relays):
        self.relays = relays


class Network:
    """Records the links that are opened; those to `lost` can't be."""

    def __init__(self, clock):
        self.clock = clock
        self.opened = []  # (time, address)
        self.linked = set()
        self.lost = set()

    def has_link(self, address):
        return address in self.linked

    def open(self, address):
        self.opened.append((self.clock.seconds(), address))
        if address not in self.lost:
            self.linked.add(address)


class Case:
    """The links of one of 108 entries."""

    def __init__(self, document=DOCUMENT):
        self.clock = task.Clock()
        self.relays = tuple(
            messages.Relay(f"vm-{i}", "abc"[i % 3], f"at-{i}")
            for i in range(108)
        )
        self.network = Network(self.clock)
        issuers = quotas.list_issuers(self.relays, 2)
        self.expected = {r.address for r in issuers[1:]}
        self.issuer = quota_permits.QuotaIssuer(
            issuers[0].vm_id,
            quota_schedules_test.RULE,
            Table(self.relays),
            self.clock.seconds,
            None,
        )
        client = quota_permits.QuotaClient(
            None, self.network, self.issuer, random.Random(1), None
        )
        client.update_document(document)
        self.links = quota_links.IssuerLinks(
            client, timers.TimerService(self.clock)
        )

    def run(self, length_s):
        for _ in range(round(length_s * 100)):
            self.clock.advance(0.01)


def test_links_to_all_issuers_are_opened_soon_and_a_few_at_a_time():
    """Guards against handshakes of all entries at once on an issuer."""
    case = Case()
    case.links.check_soon()
    case.run(2.9)
    assert {a for _, a in case.network.opened} == case.expected
    assert len(case.network.opened) == len(case.expected)
    times = [t for t, _ in case.network.opened]
    assert max(map(times.count, times)) <= quota_links.MAX_OPENED
    case.run(10.0)
    assert len(case.network.opened) == len(case.expected)


def test_a_lost_link_is_opened_again_and_a_dead_address_tried_rarely():
    """Guards against cold links after a restart, and against a busy loop."""
    case = Case()
    case.run(6.0)
    case.network.opened.clear()
    case.network.lost = set(sorted(case.expected)[:5])
    case.network.linked -= case.expected
    case.run(9.0)
    opened = [a for _, a in case.network.opened]
    assert case.network.linked == case.expected - case.network.lost
    assert all(opened.count(a) <= 4 for a in case.expected)


def test_a_changed_list_opens_links_to_its_issuers():
    """Guards against links of the previous list only."""
    case = Case()
    case.run(6.0)
    gone = sorted(case.expected)[0]
    case.issuer.relay_table.relays = tuple(
        r for r in case.relays if r.address != gone
    )
    case.links.check_soon()
    case.run(2.9)
    rest = quotas.list_issuers(case.issuer.relay_table.relays, 2)
    addresses = {r.address for r in rest if r.vm_id != case.issuer.vm_id}
    assert addresses <= case.network.linked


def test_no_link_is_opened_without_a_limit_or_while_draining():
    """Guards against connections that serve nothing."""
    account = quota_schedules_test.ACCOUNT._replace(rate_per_s=0.0)
    case = Case(DOCUMENT._replace(accounts=(account,)))
    case.links.check_soon()
    case.run(7.0)
    draining = Case()
    draining.issuer.draining = True
    draining.run(7.0)
    assert not case.network.opened and not draining.network.opened
