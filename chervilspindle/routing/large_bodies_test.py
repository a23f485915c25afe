"""Tests of the memory that requests with large bodies hold while sent on."""

import asyncio
import sys

import pytest

from chervilspindle.platform import names as platform_names
from chervilspindle.routing import data_path_test
from chervilspindle.routing import relayed_query_test
from chervilspindle.wire import caller_limits

BODY = b"q" * 100_000
LIMIT_S = 30.0


class DirectWorld(relayed_query_test.World):
    """The first entry sends to all shards itself."""

    link_mbps = 1000.0


def run(world_class, test):
    """Run a test in a world."""
    data_path_test.run_in_world(world_class, test, LIMIT_S)


async def open_query(world, body):
    """Send a query on a new connection; return its reader and writer."""
    host, port = world.address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(
        b"POST /all/x HTTP/1.1\r\nHost: h.example\r\n%s: id-%d\r\n"
        b"Content-Length: %d\r\n\r\n"
        % (
            platform_names.HEADERS.request_id.encode(),
            len(body),
            len(body),
        )
        + body
    )
    return reader, writer


async def ask(world, body):
    """Send a query; return the status of its answer."""
    reader, writer = await open_query(world, body)
    head = await reader.readuntil(b"\r\n\r\n")
    writer.close()
    return int(head.split()[1]), head


async def wait_until(condition):
    """Wait until a condition holds."""
    while not condition():
        await asyncio.sleep(0.01)


def list_calls(entry):
    """Return the calls in progress of an entry."""
    targets = entry.context.table.target_by_id.values()
    return [call for t in targets for call in t.pool.running]


def count_runs(world):
    """Return how often an endpoint ran something."""
    return sum(len(b.runs) for b in world.backend_by_id.values())


def set_paused(world, paused):
    """Let all endpoints hold what they get, or run it."""
    for backend in world.backend_by_id.values():
        if paused:
            backend.paused = True
        else:
            backend.resume()


def test_all_sends_of_a_query_share_its_body():
    """Guards against a copy of a large body for each shard."""

    async def test(world):
        set_paused(world, True)
        _, writer = await open_query(world, BODY)
        shards = len(relayed_query_test.SHARDS)
        await wait_until(lambda: len(list_calls(world.entry)) >= shards)
        calls = list_calls(world.entry)
        assert len({id(call.body) for call in calls}) == 1
        assert all(len(call.data) < 1000 for call in calls)
        assert calls[0].body.endswith(BODY)
        writer.close()

    run(DirectWorld, test)


def test_bodies_arrive_whole_whether_shared_or_copied():
    async def test(world):
        for body in (b"", b"small", BODY):
            before = count_runs(world)
            assert (await ask(world, body))[0] == 200
            assert count_runs(world) > before
            runs = [
                b.runs[-1].body for b in world.backend_by_id.values() if b.runs
            ]
            assert body in runs

    run(DirectWorld, test)


def test_what_relays_have_no_room_for_is_sent_another_way():
    """Guards against memory of relayed calls outside the budget."""

    async def test(world):
        assert (await ask(world, b"warm"))[0] == 200
        ran_by_shard = world.count_runs()
        for entry in world.entries[1:]:
            entry.context.caller_budget.limit_bytes = len(BODY)
        status, _ = await ask(world, BODY)
        assert status == 200
        ran_by_shard = world.count_runs() - ran_by_shard
        assert len(ran_by_shard) == len(relayed_query_test.SHARDS)
        attempts = relayed_query_test.ROUTE.max_attempts
        assert max(ran_by_shard.values()) <= attempts
        for entry in world.entries[1:]:
            assert entry.context.caller_budget.total_bytes == 0
        # No relay counts as failed for a refusal.
        assert not world.entry.context.relays.table.failed_s_by_address

    run(relayed_query_test.World, test)


def test_a_query_whose_copies_for_relays_do_not_fit_has_not_run():
    async def test(world):
        assert (await ask(world, b"warm"))[0] == 200
        ran = count_runs(world)
        copies = caller_limits.RUNNING_COPIES + len(world.list_groups())
        world.server.budget.limit_bytes = (copies - 1) * len(BODY)
        status, head = await ask(world, BODY)
        assert status == 503 and b"Retry-After" in head
        assert count_runs(world) == ran
        world.server.budget.limit_bytes = (copies + 1) * len(BODY)
        assert (await ask(world, BODY))[0] == 200

    run(relayed_query_test.World, test)


def test_what_a_relay_holds_is_counted_until_its_sends_end():
    async def test(world):
        assert (await ask(world, b"warm"))[0] == 200
        set_paused(world, True)
        asking = asyncio.create_task(ask(world, BODY))
        relays = world.find_relays()

        def read_held():
            return [r.context.caller_budget.total_bytes for r in relays]

        await wait_until(lambda: all(h > len(BODY) for h in read_held()))
        set_paused(world, False)
        await asking
        await wait_until(lambda: not any(read_held()))

    run(relayed_query_test.World, test)


@pytest.mark.parametrize(
    "world_class", (DirectWorld, relayed_query_test.World)
)
def test_a_body_is_dropped_with_its_last_send(world_class):
    """Guards against bodies that wait for a garbage collection."""

    async def test(world):
        assert (await ask(world, b"warm"))[0] == 200
        set_paused(world, True)
        asking = asyncio.create_task(ask(world, BODY))
        # A relay may have several groups of the query.
        senders = set(world.find_relays()) or {world.entry}
        await wait_until(lambda: all(map(list_calls, senders)))
        bodies = [list_calls(sender)[0].body for sender in senders]
        set_paused(world, False)
        await asking
        await wait_until(lambda: not any(map(list_calls, senders)))
        await asyncio.sleep(0.05)
        for entry in world.entries:
            entry.calls.clear()  # messages that the test's relays recorded
        while bodies:
            body = bodies.pop()
            # This variable and the argument.
            assert sys.getrefcount(body) == 2

    run(world_class, test)


def test_sends_are_counted_after_their_caller_has_left():
    """Guards against callers that leave at once and come again."""

    async def test(world):
        set_paused(world, True)
        _, writer = await open_query(world, BODY)
        budget = world.entry.context.caller_budget
        shards = len(relayed_query_test.SHARDS)
        await wait_until(lambda: len(list_calls(world.entry)) >= shards)
        writer.close()
        await wait_until(lambda: budget.total_bytes > len(BODY))
        set_paused(world, False)
        await wait_until(lambda: not budget.total_bytes)
        assert not list_calls(world.entry)

    run(DirectWorld, test)


@pytest.mark.parametrize("held", (0, 100))
def test_what_does_not_fit_is_not_held(held):
    reasons = []
    budget = caller_limits.CallerBudget(1000, lambda: 0.0, reasons.append)
    hold = caller_limits.RunningHold()
    if held:
        assert budget.try_hold(hold, held)
    assert not budget.try_hold(hold, 1001)
    assert budget.total_bytes == held
    assert reasons == [caller_limits.BUDGET_REASON]
    assert budget.try_hold(hold, 1000)
    budget.release(hold)
    assert budget.total_bytes == 0
