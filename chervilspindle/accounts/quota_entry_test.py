"""Tests of quotas at entries, with their links and endpoints."""

import asyncio
import logging

import pytest
from twisted.internet import defer

from chervilspindle.accounts import quota_links
from chervilspindle.accounts import quota_permits
from chervilspindle.platform import names as platform_names
from chervilspindle.policy import quotas
from chervilspindle.policy import shared_limits
from chervilspindle.routing import data_path_test
from chervilspindle.routing import documents
from chervilspindle.routing import drain_test
from chervilspindle.routing import metrics as metrics_module
from chervilspindle.routing import rate_limit_test
from chervilspindle.wire import messages

RULE = shared_limits.QuotaRule(5.0, 0.1, 20.0)
# 14 requests in a window.
NORTH = documents.Account("north", ("sesame-1",), None, 2.0, 4.0)
SOUTH = documents.Account("south", ("sesame-2",))
FULL = 14


class Fleet(rate_limit_test.Fleet):
    """Entries that have known each other for long, and two accounts."""

    def __init__(self, loop, quota_rule=RULE, services=("desk",)):
        super().__init__(loop, 4, services, quota_rule)
        self.calls = 0

    async def start(self):
        await super().start()
        for entry in self.entries:
            document = entry.entry.document
            entry.entry.update_document(
                document._replace(version=9, accounts=(NORTH, SOUTH))
            )
            self._count_calls(entry)
            quotas = entry.context.quotas
            if quotas is not None:
                issuer = quotas.issuer
                issuer.contact_s = issuer.read_clock()
                issuer.lists = [
                    quota_permits.EntryList(
                        issuer.contact_s - 100.0, issuer.relay_table.relays
                    )
                ]

    def _count_calls(self, entry):
        call = entry.network.call

        def count(*args):
            self.calls += 1
            return call(*args)

        entry.network.call = count

    def rank(self):
        """Return the entries in the order of the account `north`."""
        rows = [e.row for e in self.entries]
        ranked = quotas.rank_issuers(rows, "north", len(rows))
        entry_by_name = {e.row.vm_id: e for e in self.entries}
        return [entry_by_name[row.vm_id] for row in ranked]

    def list_runs(self):
        runs = [b.runs for b in self.backend_by_id.values()]
        return [run.request_id for rows in runs for run in rows]

    async def open(self, entry, request_id, key, path="/one/x", ms=900):
        """Send a request; return the connection's reader and writer."""
        names = platform_names.HEADERS
        host, port = entry.address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(
            (
                f"GET {path} HTTP/1.1\r\nHost: h.example\r\n"
                f"{names.request_id}: {request_id}\r\n"
                f"{names.deadline_ms}: {ms}\r\n"
                f"Authorization: Bearer {key}\r\n\r\n"
            ).encode()
        )
        return reader, writer

    async def ask_as(self, entry, request_id, key="sesame-1", **options):
        reader, writer = await self.open(entry, request_id, key, **options)
        answer = await data_path_test.read_answer(reader)
        writer.close()
        return answer


def run_in_fleet(test, **options):
    data_path_test.run_in_world(lambda loop: Fleet(loop, **options), test, 20)


def silence(entry):
    """Have an entry reply to no call of others."""
    entry.network.handler = lambda link, message: defer.Deferred()


async def wait_for(condition):
    for _ in range(200):
        if condition():
            return
        await asyncio.sleep(0.005)
    raise AssertionError("the condition did not come about")


def test_all_entries_together_keep_to_the_limit_of_an_account(caplog):
    caplog.set_level(logging.INFO, "chervilspindle.decision")

    async def test(fleet):
        answers = []
        for i in range(24):
            entry = fleet.entries[i % 4]
            answers.append(await fleet.ask_as(entry, f"id-{i}"))
        statuses = [status for status, *_ in answers]
        assert (statuses.count(200), statuses.count(429)) == (FULL, 10)
        assert len(fleet.list_runs()) == FULL
        waits = {h["retry-after"] for s, h, _ in answers if s == 429}
        assert all(3.0 < float(wait) < 5.6 for wait in waits)
        assert len(waits) > 5
        assert fleet.calls <= 24

    run_in_fleet(test)
    lines = [r for r in caplog.records if getattr(r, "status", 0) == 429]
    assert len(lines) == 10
    for line in lines:
        assert (line.why, line.account) == ("quota", "north")
        assert (line.limit, line.count) == (FULL, FULL)
        assert 0 <= line.age_ms < 5500


def test_the_issuer_decides_its_own_requests_without_a_message():
    async def test(fleet):
        issuer = fleet.rank()[0]
        for i in range(3):
            status, *_ = await fleet.ask_as(issuer, f"id-{i}")
            assert status == 200
        assert fleet.calls == 0

    run_in_fleet(test)


@pytest.mark.parametrize("case", ("no-limit", "no-rule", "no-account"))
def test_requests_without_a_quota_cost_nothing(case):
    async def test(fleet):
        for entry in fleet.entries:
            quotas = entry.context.quotas
            if quotas is not None:
                quotas.ask = None
            if case == "no-account":
                document = entry.entry.document._replace(version=10)
                entry.entry.update_document(document._replace(accounts=()))
        key = "sesame-2" if case == "no-limit" else "sesame-1"
        for i in range(20):
            status, *_ = await fleet.ask_as(fleet.entries[0], f"id-{i}", key)
            assert status == 200
        assert fleet.calls == 0

    rule = None if case == "no-rule" else RULE
    run_in_fleet(test, quota_rule=rule)


def test_a_request_without_its_key_is_not_counted():
    async def test(fleet):
        for i in range(FULL + 2):
            entry = fleet.entries[i % 4]
            status, *_ = await fleet.ask_as(entry, f"bad-{i}", "wrong")
            assert status == 401
        status, *_ = await fleet.ask_as(fleet.entries[0], "id-1")
        assert status == 200 and fleet.calls <= 1

    run_in_fleet(test)


def test_retries_of_a_request_do_not_count():
    """A request that is sent twice would be counted twice."""

    async def test(fleet):
        for backend in fleet.backend_by_id.values():
            backend.failing = True
        await fleet.ask_as(fleet.entries[0], "id-1")
        issuer = fleet.rank()[0].context.quotas.issuer
        assert len(issuer.issued_by_name["north"].log.times) == 1

    run_in_fleet(test)


def test_a_silent_issuer_is_replaced_within_the_objective():
    async def test(fleet):
        ranked = fleet.rank()
        silence(ranked[0])
        started_s = fleet.loop.time()
        status, *_ = await fleet.ask_as(ranked[3], "id-1")
        assert status == 200
        assert fleet.loop.time() - started_s < 0.3
        assert list(ranked[3].context.quotas.failed_s_by_address) == [
            ranked[0].peer_address
        ]

    run_in_fleet(test)


def test_without_a_reply_the_response_is_503_and_nothing_is_run():
    async def test(fleet):
        ranked = fleet.rank()
        silence(ranked[0])
        silence(ranked[1])
        status, headers, _ = await fleet.ask_as(ranked[3], "id-1")
        assert status == 503 and float(headers["retry-after"]) >= 1.0
        assert not fleet.list_runs()

    run_in_fleet(test)


def test_an_entry_of_an_older_build_is_asked_nothing():
    async def test(fleet):
        ranked = fleet.rank()
        received = []
        ranked[0].network.own_version = 5
        ranked[0].network.handler = lambda link, message: received.append(
            message
        )
        status, *_ = await fleet.ask_as(ranked[3], "id-1")
        assert status == 200 and not received

    run_in_fleet(test)


def test_an_entry_without_the_rule_is_no_issuer():
    """Settings change on one VM after the other."""

    async def test(fleet):
        ranked = fleet.rank()
        index = ranked[0].entry_peer
        index.context = index.context._replace(quotas=None)
        status, *_ = await fleet.ask_as(ranked[3], "id-1")
        assert status == 200

    run_in_fleet(test)


def test_a_caller_that_leaves_before_the_admission_has_nothing_run():
    async def test(fleet):
        ranked = fleet.rank()
        silence(ranked[0])
        silence(ranked[1])
        entry = ranked[3].entry
        _, writer = await fleet.open(ranked[3], "id-1", "sesame-1")
        await wait_for(lambda: entry.request_by_exchange)
        writer.close()
        await wait_for(lambda: not entry.request_by_exchange)
        await asyncio.sleep(0.1)
        assert not fleet.list_runs()
        counted = ranked[3].context.metrics.requests.get_all()
        assert [labels["status"] for labels, _ in counted] == ["499"]

    run_in_fleet(test)


@pytest.fixture(name="long_wait")
def lengthen_wait(monkeypatch):
    """Have entries wait for a silent issuer until a test acts."""
    monkeypatch.setattr(quota_permits, "REPLY_TIMEOUT_S", 0.5)


async def open_waiting(fleet):
    """Return an entry whose request waits for a silent issuer."""
    ranked = fleet.rank()
    silence(ranked[0])
    entry = ranked[3]
    reader, writer = await fleet.open(entry, "id-1", "sesame-1")
    await wait_for(lambda: entry.entry.request_by_exchange)
    return entry, reader, writer


def test_a_caller_that_leaves_meanwhile_is_not_served_later(long_wait):
    async def test(fleet):
        entry, _, writer = await open_waiting(fleet)
        writer.close()
        await wait_for(lambda: not entry.entry.request_by_exchange)
        await asyncio.sleep(0.7)
        assert not fleet.list_runs()

    run_in_fleet(test)


@pytest.mark.parametrize("how", ("ends", "refuses", "admitted-late"))
def test_a_request_that_waits_when_its_entry_stops_is_refused(long_wait, how):
    """It is in progress, and has certainly not run."""

    async def test(fleet):
        entry, reader, _ = await open_waiting(fleet)
        assert entry.server.count_busy() == 1
        if how == "ends":
            entry.entry.end_requests()
        else:
            # Less is left than the route's timeout.
            entry.entry.start_draining(0.7)
        if how == "refuses":
            entry.entry.refuse_waiting()
        status, headers, _ = await data_path_test.read_answer(reader)
        assert status == 503 and headers["retry-after"] == "0.05"
        await asyncio.sleep(0.7)
        assert not fleet.list_runs()
        assert not entry.entry.request_by_exchange
        counted = entry.context.metrics.drained.get_all()
        label = {"ends": "ended", "refuses": "waiting"}.get(how, "new")
        assert counted == [({"how": label}, 1)]

    run_in_fleet(test)


def test_a_request_that_waits_is_served_by_an_entry_that_has_time(long_wait):
    async def test(fleet):
        entry, reader, _ = await open_waiting(fleet)
        entry.entry.start_draining(30.0)
        entry.entry.refuse_waiting()
        status, *_ = await data_path_test.read_answer(reader)
        assert status == 200

    run_in_fleet(test)


def test_the_deadline_counts_from_when_the_request_was_read():
    """A request that waited past it is not run."""

    async def test(fleet):
        ranked = fleet.rank()
        silence(ranked[0])
        status, *_ = await fleet.ask_as(ranked[3], "id-1", ms=10)
        assert status == 503
        assert not fleet.list_runs()
        issuer = ranked[1].context.quotas.issuer
        assert len(issuer.issued_by_name["north"].log.own_times) == 1

    run_in_fleet(test)


def run_with_shards(test):
    run_in_fleet(test, services=("desk", *data_path_test.SHARDS))


def check_nothing_is_counted(fleet, entry):
    """Check that no request was sent, counted or put in progress."""
    assert not fleet.list_runs()
    assert not entry.context.budget.slices_by_service
    assert not entry.context.shedder.credit_by_route
    assert not entry.context.reachability.listeners
    assert not entry.context.relays.dispatch_by_id
    assert not entry.entry.request_by_exchange


async def open_prepared(fleet):
    """Return an entry whose fan-out request waits for a silent issuer."""
    ranked = fleet.rank()
    silence(ranked[0])
    entry = ranked[3]
    reader, writer = await fleet.open(entry, "id-1", "sesame-1", path="/all/x")
    await wait_for(lambda: entry.entry.request_by_exchange)
    (wait,) = entry.entry.request_by_exchange.values()
    assert wait.prepared.is_unsent() and wait.prepared.capacity is not None
    assert not wait.prepared.dispatches and not wait.prepared.timers
    return entry, wait, reader, writer


def test_a_query_is_prepared_while_the_reply_is_on_its_way():
    """Guards against work that begins with the reply, or before the ask."""

    async def test(fleet):
        entry = fleet.rank()[3]
        events = []
        call = entry.network.call
        build = entry.entry._build

        def record_call(*args):
            events.append("ask")
            return call(*args).addBoth(record_reply)

        def record_reply(reply):
            events.append("reply")
            return reply

        def record_build(incoming):
            events.append("build")
            return build(incoming)

        entry.network.call = record_call
        entry.entry._build = record_build
        answer = await fleet.ask_as(entry, "id-1", path="/all/x")
        assert answer[0] == 200
        assert events == ["ask", "build", "reply"]
        assert len(fleet.list_runs()) == len(data_path_test.SHARDS)

    run_with_shards(test)


def test_a_prepared_query_that_is_refused_has_not_run():
    """Guards against sends and counts ahead of the admission."""

    async def test(fleet):
        entry = fleet.rank()[3]
        for i in range(FULL):
            assert (await fleet.ask_as(fleet.rank()[1], f"id-{i}"))[0] == 200
        for backend in fleet.backend_by_id.values():
            backend.runs.clear()
        status, headers, _ = await fleet.ask_as(
            entry, "id-late", path="/all/x"
        )
        assert status == 429 and float(headers["retry-after"]) > 0.0
        check_nothing_is_counted(fleet, entry)

    run_with_shards(test)


@pytest.mark.parametrize("how", ("caller-leaves", "stops", "drains"))
def test_a_prepared_query_that_ends_before_its_admission_has_not_run(
    long_wait, how
):
    """Guards against a start by an admission that comes afterwards."""

    async def test(fleet):
        entry, _, reader, writer = await open_prepared(fleet)
        if how == "caller-leaves":
            writer.close()
            await wait_for(lambda: not entry.entry.request_by_exchange)
        else:
            if how == "stops":
                entry.entry.end_requests()
            else:
                entry.entry.start_draining(0.7)
                entry.entry.refuse_waiting()
            status, headers, _ = await data_path_test.read_answer(reader)
            assert status == 503 and headers["retry-after"] == "0.05"
        await asyncio.sleep(0.7)
        check_nothing_is_counted(fleet, entry)

    run_with_shards(test)


def test_a_query_that_waited_long_is_checked_against_present_endpoints(
    long_wait,
):
    """Guards against a start by the capacity of half a second ago."""

    async def test(fleet):
        entry, wait, reader, _ = await open_prepared(fleet)
        checked_s = wait.prepared.capacity.checked_s
        table = entry.context.table
        for endpoint_id in fleet.backend_by_id:
            table.drop(endpoint_id, "forgotten")
        status, *_ = await data_path_test.read_answer(reader)
        assert status == 503
        assert wait.prepared.capacity.checked_s > checked_s
        check_nothing_is_counted(fleet, entry)

    run_with_shards(test)


def test_a_query_that_was_prepared_before_a_stop_is_planned_anew(long_wait):
    """Guards against timers that don't have the end of the VM."""

    async def test(fleet):
        entry, wait, reader, _ = await open_prepared(fleet)
        entry.entry.start_draining(30.0)
        started = []
        build = entry.entry._build
        entry.entry._build = (
            lambda incoming: started.append(build(incoming)) or started[-1]
        )
        status, *_ = await data_path_test.read_answer(reader)
        assert status == 200
        assert len(started) == 1 and not wait.prepared.dispatches

    run_with_shards(test)


def test_a_planned_stop_hands_over_by_a_message():
    async def test(fleet):
        ranked = fleet.rank()
        for i in range(10):
            assert (await fleet.ask_as(ranked[3], f"a-{i}"))[0] == 200
        ranked[0].context.quotas.issuer.start_draining()
        statuses = []
        for i in range(10):
            answer = await fleet.ask_as(ranked[2], f"b-{i}")
            statuses.append(answer[0])
        assert statuses == [200] * (FULL - 10) + [429] * (20 - FULL)

    run_in_fleet(test)


class ProcessWorld(drain_test.World):
    """The process of an entry, with two accounts."""

    async def start(self):
        await super().start()
        document = self.process.entry.document
        self.process.entry.update_document(
            document._replace(version=9, accounts=(NORTH, SOUTH))
        )


def build_process_world(loop):
    """Build a world whose process has a rule of quotas."""
    settings = drain_test.build_settings
    changed = pytest.MonkeyPatch()
    changed.setattr(
        drain_test,
        "build_settings",
        lambda **changes: settings(quota_rule=RULE, **changes),
    )
    try:
        return ProcessWorld(loop)
    finally:
        changed.undo()


def test_a_process_hears_of_control_and_of_lists(caplog):
    """The issuer must not go by a list or a contact of its own."""
    caplog.set_level(logging.INFO, "chervilspindle.decision")

    async def test(world):
        process = world.process
        issuer = process.context.quotas.issuer
        assert process.watch_client.on_contact == issuer.record_contact
        rows = (messages.Relay("vm-1", "a", "x"),)
        process.watch_client.on_relays(7, rows)
        assert issuer.lists[-1].relays == rows
        issuer.record_contact(issuer.read_clock())
        call = messages.QuotaCall("north", False)
        assert issuer.decide(call).is_issuer
        process.stop()
        assert not issuer.decide(call).is_issuer

    data_path_test.run_in_world(build_process_world, test, 10)


def test_a_process_opens_links_to_issuers_once_it_knows_them():
    """Guards against links that wait for the first requests."""

    async def test(world):
        opened = []
        world.process.network.open = opened.append
        world.process.watch_client.on_relays(
            7, (messages.Relay("vm-9", "a", "x"),)
        )
        await asyncio.sleep(quota_links.SPREAD_S + 0.1)
        assert opened == ["x"]

    data_path_test.run_in_world(build_process_world, test, 10)


def test_metrics_name_the_largest_accounts_and_sum_the_others():
    """10,000 accounts must not make 10,000 series."""
    metrics = metrics_module.RoutingMetrics()
    for i in range(50):
        for _ in range(i + 1):
            metrics.count_quota(f"account-{i}", "admitted")
    metrics.count_quota("account-49", "quota")
    metrics.render([])
    rows = metrics.quota_requests.get_all()
    assert len(rows) == metrics_module.MAX_ACCOUNTS + 2
    count_by_labels = {(r["account"], r["result"]): n for r, n in rows}
    assert count_by_labels["account-49", "admitted"] == 50
    assert count_by_labels["account-49", "quota"] == 1
    assert count_by_labels["", "admitted"] == sum(range(1, 31))
    body, _ = metrics.render([])
    assert body.count(b"chervilspindle_quota_requests_total{") == len(rows)
