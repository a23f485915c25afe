"""Tests of requests with keys of client accounts, over real sockets."""

import asyncio
import logging

import pytest

from chervilspindle.core import logs
from chervilspindle.platform import names as platform_names
from chervilspindle.routing import cut_off_test
from chervilspindle.routing import data_path_test
from chervilspindle.routing import documents
from chervilspindle.routing import rate_limit_test
from chervilspindle.routing import request_content
from chervilspindle.tools import link_faults
from chervilspindle.wire import messages

NAMES = platform_names.HEADERS
TENANT = NAMES.account.encode()
LOWER_TENANT = TENANT.lower()
KEY = b"Authorization: Bearer sesame-1"
OTHER_KEY = b"Authorization: Bearer sesame-2"
NORTH = documents.Account("north", ("sesame-1",))
SOUTH = documents.Account("south", ("sesame-2",), 0)
PATHS = ("/one/x", "/once/x", "/all/x")


@pytest.fixture
def run_test():
    def run(test):
        data_path_test.run_in_world(data_path_test.World, test, 20)

    return run


def apply_accounts(entry, *accounts, exempt=()):
    """Activate a new version with accounts."""
    document = entry.document
    routes = [
        route._replace(needs_key=route.name not in exempt)
        for route in document.routes
    ]
    entry.update_document(
        document._replace(
            version=document.version + 1,
            routes=tuple(routes),
            accounts=accounts,
        )
    )


def collect_requests(backends):
    """Return a list that grows with each request to a stand-in."""
    received = []
    for backend in backends:
        handle = backend.server.handler

        def record(exchange, handle=handle):
            received.append(exchange.request)
            handle(exchange)

        backend.server.handler = record
    return received


def build_request(path, *lines, host=b"h.example"):
    return b"\r\n".join(
        (
            b"GET %s HTTP/1.1" % path.encode(),
            b"Host: " + host,
            NAMES.request_id.encode() + b": id-1",
            *lines,
            b"\r\n",
        )
    )


class RecordingPeer:
    """Keeps the calls that one entry gets from others, and handles them."""

    def __init__(self, entry_peer, calls):
        self.entry_peer = entry_peer
        self.calls = calls

    def handle(self, link, message):
        if isinstance(message, (messages.RelayCall, messages.ForwardCall)):
            self.calls.append(message)
        return self.entry_peer.handle(link, message)


async def send(address, *requests):
    """Send requests on one connection, each after the last answer.

    Returns
    -------
    list of (status, headers, body)
    """
    host, port = address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    answers = []
    for request in requests:
        writer.write(request)
        answers.append(await data_path_test.read_answer(reader))
    writer.close()
    return answers


async def send_for_statuses(address, *requests):
    return [answer[0] for answer in await send(address, *requests)]


def list_values(request, name):
    return [v for n, v in request.headers if n == name]


@pytest.mark.parametrize("path", PATHS)
def test_endpoints_get_the_account_and_not_the_key(run_test, path):
    async def test(world):
        apply_accounts(world.entry, NORTH, SOUTH)
        received = collect_requests(world.backend_by_id.values())
        stated = TENANT.lower() + b": south"
        hidden = b"Connection: " + TENANT
        request = build_request(path, KEY, stated, hidden)
        assert await send_for_statuses(world.address, request) == [200]
        assert received
        for one in received:
            assert list_values(one, LOWER_TENANT) == [b"north"]
            assert b"sesame" not in repr(one).encode()

    run_test(test)


@pytest.mark.parametrize("path", PATHS)
@pytest.mark.parametrize(
    "lines,why",
    (
        ((), "no_key"),
        ((KEY, KEY), "several_keys"),
        ((b"Authorization: Basic sesame-1",), "malformed_key"),
        ((b"Authorization: Bearer sesame-3",), "unknown_key"),
        ((TENANT + b": north",), "no_key"),
    ),
)
def test_a_request_without_a_known_key_is_not_run(
    run_test, caplog, path, lines, why
):
    caplog.set_level(logging.INFO, "chervilspindle.decision")

    async def test(world):
        apply_accounts(world.entry, NORTH)
        received = collect_requests(world.backend_by_id.values())
        request = build_request(path, *lines)
        ((status, headers, _),) = await send(world.address, request)
        assert status == 401 and headers["www-authenticate"] == "bearer"
        await asyncio.sleep(0.05)
        assert not received
        rows = world.entry.context.metrics.refused.get_all()
        assert rows == [({"reason": why}, 1)]

    run_test(test)
    rows = [r for r in caplog.records if r.getMessage() == "request"]
    assert [(r.status, r.why) for r in rows] == [(401, why)]
    formatter = logs.JsonFormatter()
    assert "sesame" not in "".join(map(formatter.format, caplog.records))


def test_a_missing_route_or_document_is_stated_as_such(run_test):
    """Callers would take a 401 for a fault of their key."""

    async def test(world):
        apply_accounts(world.entry, NORTH)
        requests = (
            build_request("/none/x"),
            build_request("/none/x", KEY),
            build_request("/one/x", KEY, host=b"other.example"),
        )
        statuses = await send_for_statuses(world.address, *requests)
        assert statuses == [404, 404, 404]
        world.entry.document = world.entry.routes = None
        request = build_request("/one/x", b"Authorization: Bearer sesame-3")
        assert await send_for_statuses(world.address, request) == [503]

    run_test(test)


def test_without_accounts_the_headers_are_forwarded(run_test):
    async def test(world):
        received = collect_requests(world.backend_by_id.values())
        request = build_request("/one/x", KEY, TENANT + b": mine")
        assert await send_for_statuses(world.address, request) == [200]
        assert list_values(received[0], b"authorization") == [
            b"Bearer sesame-1"
        ]
        assert list_values(received[0], LOWER_TENANT) == [b"mine"]

    run_test(test)


def test_an_exempt_route_passes_on_no_key_of_an_account(run_test):
    async def test(world):
        apply_accounts(world.entry, NORTH, exempt=("one",))
        received = collect_requests(world.backend_by_id.values())
        foreign = b"Authorization: Bearer other"
        stated = TENANT + b": north"
        requests = (
            build_request("/one/x"),
            build_request("/one/x", KEY, stated),
            build_request("/one/x", foreign, stated),
        )
        statuses = await send_for_statuses(world.address, *requests)
        assert statuses == [200, 200, 200]
        passed = [list_values(r, b"authorization") for r in received]
        assert [b"Bearer other"] in passed
        assert b"Bearer sesame-1" not in sum(passed, [])
        assert not any(list_values(r, LOWER_TENANT) for r in received)

    run_test(test)


def test_a_new_version_changes_what_open_connections_may_do(run_test):
    async def test(world):
        host, port = world.address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))

        async def ask(line):
            writer.write(build_request("/one/x", line))
            return (await data_path_test.read_answer(reader))[0]

        apply_accounts(world.entry, NORTH)
        assert [await ask(KEY), await ask(OTHER_KEY)] == [200, 401]
        apply_accounts(world.entry, NORTH, SOUTH)
        assert [await ask(KEY), await ask(OTHER_KEY)] == [200, 200]
        apply_accounts(world.entry, SOUTH)
        assert [await ask(KEY), await ask(OTHER_KEY)] == [401, 200]
        apply_accounts(world.entry)
        assert [await ask(KEY), await ask(b"X-None: 1")] == [200, 200]
        writer.close()

    run_test(test)


def test_a_request_in_progress_ends_under_the_rules_it_started_with(run_test):
    async def test(world):
        apply_accounts(world.entry, NORTH)
        received = collect_requests(world.backend_by_id.values())
        for zone in "ab":
            world.backend_by_id[f"desk-{zone}"].refusing = True
        world.backend_by_id["desk-a"].refusing = False
        world.backend_by_id["desk-a"].paused = True
        asked = world.loop.create_task(
            send_for_statuses(world.address, build_request("/one/x", KEY))
        )
        await asyncio.sleep(0.01)
        apply_accounts(world.entry, SOUTH)
        world.backend_by_id["desk-b"].refusing = False
        assert await asked == [200]
        assert len(received) >= 2
        for one in received:
            assert list_values(one, LOWER_TENANT) == [b"north"]

    run_test(test)


def test_a_document_with_mistakes_of_accounts_is_applied(run_test):
    """An older build stored it without a check."""

    async def test(world):
        odd = documents.Account("a\r\nX: 1", ("sesame-3",), -1, -1.0, -1.0)
        again = NORTH._replace(name="again")
        apply_accounts(world.entry, odd, NORTH, NORTH, again)
        received = collect_requests(world.backend_by_id.values())
        unknown = b"Authorization: Bearer sesame-3"
        statuses = await send_for_statuses(
            world.address,
            build_request("/one/x", unknown),
            build_request("/one/x", KEY),
        )
        assert statuses == [401, 200]
        assert list_values(received[0], LOWER_TENANT) == [b"north"]

    run_test(test)


def test_10_000_accounts_and_long_keys_are_served(run_test):
    async def test(world):
        many = [
            documents.Account(f"a-{n}", (f"k-{n}",)) for n in range(10_000)
        ]
        long = documents.Account("long", ("k" * 10_000,))
        apply_accounts(world.entry, *many, long)
        statuses = await send_for_statuses(
            world.address,
            build_request("/one/x", b"Authorization: Bearer k-9999"),
            build_request("/one/x", b"Authorization: Bearer " + b"k" * 10_000),
            build_request("/one/x", b"Authorization: Bearer " + b"j" * 10_000),
            build_request("/one/x", b"Authorization: Bearer \xff\xfe"),
        )
        assert statuses == [200, 200, 401, 401]

    run_test(test)


def test_relays_and_entries_that_send_for_others_get_no_key():
    async def test(fleet):
        sent = []
        for entry in fleet.entries:
            apply_accounts(entry.entry, NORTH)
        received = collect_requests(fleet.backend_by_id.values())
        for entry in fleet.entries:
            cut_off_test.use_relays(entry)
            entry.entry_peer = RecordingPeer(entry.entry_peer, sent)

        async def ask_all(numbers):
            return [
                status
                for path in PATHS
                for number in numbers
                for status in await send_for_statuses(
                    fleet.entries[number].address, build_request(path, KEY)
                )
            ]

        await ask_all(range(5))
        cut_off_test.start_cut(fleet, link_faults.Cut.HANG)
        await ask_all(cut_off_test.CUT_OFF)
        await asyncio.sleep(cut_off_test.SETTLE_S)
        assert set(await ask_all(cut_off_test.CUT_OFF)) == {200}
        kinds = {type(message).__name__ for message in sent}
        assert {"RelayCall", "ForwardCall"} <= kinds
        for message in sent:
            assert b"sesame" not in message.head + message.tail
            assert TENANT + b": north\r\n" in message.head
        for one in received:
            assert b"sesame" not in repr(one).encode()
            assert list_values(one, LOWER_TENANT) == [b"north"]

    def build(loop):
        services = cut_off_test.SERVICES
        return rate_limit_test.Fleet(loop, 5, services)

    data_path_test.run_in_world(build, test, 20)


def test_contents_of_different_accounts_are_told_apart(run_test):
    """One account's request that ends endpoints must not stop another's."""

    async def test(world):
        apply_accounts(world.entry, NORTH, SOUTH)
        contents = []
        find_wait_s = world.entry.context.quarantine.find_wait_s

        def record(request):
            contents.append(request_content.compute_digest(request))
            return find_wait_s(request)

        world.entry.context.quarantine.find_wait_s = record
        await send(
            world.address,
            build_request("/one/x", KEY),
            build_request("/one/x", OTHER_KEY),
            build_request("/one/x", KEY),
        )
        assert contents[0] == contents[2] != contents[1]

    run_test(test)
