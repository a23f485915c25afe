"""Tests of endpoints that break off their answers, seen by callers."""

import asyncio
import collections
import socket
import struct

import pytest

from chervilspindle.core import loops
from chervilspindle.platform import names as platform_names
from chervilspindle.routing import cut_off_test
from chervilspindle.routing import data_path_test
from chervilspindle.routing import rate_limit_test
from chervilspindle.routing import record_merging
from chervilspindle.routing import relayed_query_test
from chervilspindle.routing import retry_budget
from chervilspindle.tools import backends
from chervilspindle.tools import link_faults

STAMP = platform_names.HEADERS.stamp
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
RESET_DELAY_S = 0.002  # for the bytes before the reset to be read
BATCH = 8  # requests at once


class Plan:
    """What the endpoints of a world send as answers; mutable.

    Attributes
    ----------
    framing : str
        ``length``, ``chunks`` or ``none``.
    status : int
    is_reset : bool
        Whether a cut answer ends in a reset, instead of a clean close.
    cut_by_target : dict of str to int
        Bytes that are sent of the answer, by the target of the request; the
        whole answer is sent to other requests.
    surplus : bytes
        Sent after a whole answer.
    """

    def __init__(self, framing="length", status=200, is_reset=False):
        self.framing = framing
        self.status = status
        self.is_reset = is_reset
        self.cut_by_target = {}
        self.surplus = b""


class CuttingBackend(backends.Backend):
    """A stand-in endpoint that follows a `Plan`."""

    plan = Plan()

    def build_answer(self, request_id: bytes) -> bytes:
        """Return the head and the body of the whole answer."""
        plan = self.plan
        body = self.build_body(request_id)
        lines = [
            b"HTTP/1.1 %d Any" % plan.status,
            b"%s: %s.%s"
            % (STAMP.encode(), self.endpoint_id.encode(), request_id),
            b"%s: %s"
            % (platform_names.HEADERS.request_id.encode(), request_id),
        ]
        if plan.framing == "length":
            lines.append(b"Content-Length: %d" % len(body))
        elif plan.framing == "chunks":
            lines.append(b"Transfer-Encoding: chunked")
            body = b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body)
        return b"\r\n".join(lines) + b"\r\n\r\n" + body

    def count_head_bytes(self) -> int:
        return self.build_answer(b"id-1").index(b"\r\n\r\n") + 4

    def _answer(self, exchange, request_id):
        transport = exchange.connection.transport
        if transport.is_closing():
            return
        cut = self.plan.cut_by_target.get(exchange.request.target.decode())
        answer = self.build_answer(request_id)
        transport.write(
            answer + self.plan.surplus if cut is None else answer[:cut]
        )
        if cut is None and self.plan.framing != "none":
            exchange.answered = True
            exchange.connection.exchange = None
        elif self.plan.is_reset:
            self.loop.call_later(RESET_DELAY_S, reset, transport)
        else:
            transport.close()


def reset(transport):
    """Close a connection by a reset."""
    if not transport.is_closing():
        transport.get_extra_info("socket").setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
        )
        transport.abort()


def build_world(build, loop, plan):
    """Build a world whose endpoints follow a plan."""
    world = build(loop)
    clock = loops.LoopClock(loop)
    for endpoint_id, backend in list(world.backend_by_id.items()):
        cutting = CuttingBackend(
            loop,
            clock,
            endpoint_id,
            backend.service,
            backend.zone,
            backend.address,
            records=4,
        )
        cutting.plan = plan
        cutting.work_s = 0.0
        world.backend_by_id[endpoint_id] = cutting
    return world


def build_entry(loop):
    """Build a world with one entry and budget for each repeat."""
    return data_path_test.World(loop, base=1e6)


@pytest.fixture
def run_plan():
    def run(test, plan, build=build_entry):
        def build_planned(loop):
            return build_world(build, loop, plan)

        data_path_test.run_in_world(build_planned, test, 30)

    return run


async def ask_in_batches(ask, targets):
    """Send requests, a few at once; return the answers by target."""
    answers = {}
    targets = list(targets)
    for first in range(0, len(targets), BATCH):
        batch = targets[first : first + BATCH]
        answers.update(zip(batch, await asyncio.gather(*map(ask, batch))))
    return answers


PLANS = [
    (framing, is_reset)
    for framing in ("length", "chunks", "none")
    for is_reset in (False, True)
]


def plan_cuts(plan, backend, path, step=1):
    """Cut the answer to one request each after every byte, or every few."""
    end = len(backend.build_answer(b"id-1"))
    if plan.framing == "none" and not plan.is_reset:
        # At a clean close the body is complete by definition.
        end = backend.count_head_bytes()
    plan.cut_by_target = {f"{path}{cut}": cut for cut in range(0, end, step)}
    return plan.cut_by_target


def drop_objectives(world):
    """Let queries wait for all parts, however busy the machine is."""
    document = world.entry.document
    routes = tuple(r._replace(objective_ms=0.0) for r in document.routes)
    world.entry.update_document(
        document._replace(version=document.version + 1, routes=routes)
    )


def check_failure(answer):
    """Check that a caller got a failure that no endpoint has signed."""
    status, headers, _ = answer
    assert status in (502, 504), answer
    assert STAMP.lower() not in headers
    assert platform_names.HEADERS.part_stamps.lower() not in headers


@pytest.mark.parametrize("framing,is_reset", PLANS)
@pytest.mark.parametrize("status", (200, 500))
@pytest.mark.parametrize("path,method", (("/one/", "GET"), ("/once/", "POST")))
def test_a_cut_answer_to_a_single_request_is_an_unsigned_failure(
    run_plan, framing, is_reset, status, path, method
):
    plan = Plan(framing, status, is_reset)

    async def test(world):
        targets = plan_cuts(plan, world.backend_by_id["desk-a"], path)
        answers = await ask_in_batches(
            lambda target: world.ask(target, "id-1", method), targets
        )
        for answer in answers.values():
            check_failure(answer)
        runs = collections.Counter(r.target for r in world.list_runs("desk"))
        assert set(runs) == set(targets)
        most = 1 if path == "/once/" else 2
        assert max(runs.values()) == most == min(runs.values())

    run_plan(test, plan)


@pytest.mark.parametrize("framing,is_reset", PLANS)
def test_beside_a_cut_answer_the_caller_gets_the_whole_of_another(
    run_plan, framing, is_reset
):
    plan = Plan(framing, 200, is_reset)

    async def test(world):
        targets = plan_cuts(plan, world.backend_by_id["desk-a"], "/one/")
        whole = world.backend_by_id["desk-b"]
        whole.plan = Plan(framing)
        answers = await ask_in_batches(world.ask, targets)
        for status, headers, body in answers.values():
            assert status == 200
            assert headers[STAMP.lower()] == "desk-b.id-1"
            assert body == whole.build_body(b"id-1")

    run_plan(test, plan)


@pytest.mark.parametrize("framing,is_reset", PLANS)
@pytest.mark.parametrize("status", (200, 500))
def test_cut_parts_are_no_parts(run_plan, framing, is_reset, status):
    plan = Plan(framing, status, is_reset)

    async def test(world):
        targets = plan_cuts(plan, world.backend_by_id["desk-a"], "/all/")
        answers = await ask_in_batches(world.ask, targets)
        for answer in answers.values():
            check_failure(answer)

    run_plan(test, plan)


@pytest.mark.parametrize("framing,is_reset", PLANS)
@pytest.mark.parametrize("zones", ("a", "ab"))
def test_an_answer_holds_the_whole_parts_beside_cut_ones(
    run_plan, framing, is_reset, zones
):
    """A shard is sent again, and is missing if both replicas cut it."""
    plan = Plan(framing, 200, is_reset)

    async def test(world):
        targets = plan_cuts(plan, world.backend_by_id["desk-a"], "/all/")
        cut_ids = {f"shard-0-{zone}" for zone in zones}
        for endpoint_id, backend in world.backend_by_id.items():
            if endpoint_id not in cut_ids:
                backend.plan = Plan(framing)
        drop_objectives(world)
        shards = data_path_test.SHARDS[1 if zones == "ab" else 0 :]
        bodies = [
            world.backend_by_id[f"{s}-a"].build_body(b"id-1") for s in shards
        ]
        answers = await ask_in_batches(world.ask, targets)
        for status, headers, body in answers.values():
            assert status == 200
            stamps = data_path_test.read_stamps(headers)
            assert not cut_ids & {s.split(".")[0] for s in stamps}
            assert {s.split("-", 2)[1] for s in stamps} <= set("0123")
            assert data_path_test.read_missing(headers) == 4 - len(shards)
            assert len(set(stamps)) == len(stamps) == len(shards)
            assert body == record_merging.merge_top(bodies, 5)

    run_plan(test, plan)


@pytest.mark.parametrize("framing,is_reset", PLANS)
def test_relays_report_no_cut_parts(run_plan, framing, is_reset):
    plan = Plan(framing, 200, is_reset)

    async def test(world):
        ask = data_path_test.World.ask
        world.entry.context.budget.rule = retry_budget.Rule(0.2, 1e6, 10.0)
        backend = world.backend_by_id["shard-00-a"]
        targets = plan_cuts(plan, backend, "/all/", 9)
        cut = {f"shard-{i:02}" for i in (0, 9, 17)}
        for endpoint_id, backend in world.backend_by_id.items():
            if backend.service not in cut:
                backend.plan = Plan(framing)
        await ask(world, "/all/warm", "warm")
        assert world.list_groups()
        for target in targets:
            answer = await ask(world, target, "id-1")
            world.check(answer, "id-1", len(relayed_query_test.SHARDS) - 3)
            assert data_path_test.read_missing(answer[1]) == 3

    run_plan(test, plan, relayed_query_test.World)


@pytest.mark.parametrize("framing", ("length", "chunks"))
@pytest.mark.parametrize("is_reset", (False, True))
@pytest.mark.parametrize("path,method", (("/one/", "GET"), ("/once/", "POST")))
def test_an_answer_cut_at_another_entry_is_no_success(
    run_plan, framing, is_reset, path, method
):
    plan = Plan(framing, 200, is_reset)

    async def test(fleet):
        for entry in fleet.entries:
            entry.context.budget.rule = retry_budget.Rule(0.2, 1e6, 10.0)
        await cut_off_test.warm_up(fleet)
        await cut_off_test.cut_off(fleet, link_faults.Cut.HANG, (0,))
        assert fleet.entries[0].context.reachability.is_cut_off
        targets = plan_cuts(plan, fleet.backend_by_id["desk-a"], path, 3)
        answers = await ask_in_batches(
            lambda target: fleet.ask(0, target, method), targets
        )
        for answer in answers.values():
            check_failure(answer)
        most = 1 if path == "/once/" else 2
        for target in targets:
            assert cut_off_test.count_most_runs(fleet, target) <= most

    def build(loop):
        return rate_limit_test.Fleet(loop, 5, cut_off_test.SERVICES)

    run_plan(test, plan, build)


SURPLUS = (
    b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
    b"HTTP/1.1 2",
    b"HTTP/1.1 503 No\r\n",
    b"surplus",
)


@pytest.mark.parametrize("framing", ("length", "chunks"))
@pytest.mark.parametrize("status", (200, 404, 500))
@pytest.mark.parametrize("surplus", SURPLUS)
def test_a_caller_gets_the_status_of_the_answer_and_not_of_what_follows(
    run_plan, framing, status, surplus
):
    plan = Plan(framing, status)
    plan.surplus = surplus

    async def test(world):
        for path, method in (("/one/x", "GET"), ("/once/x", "POST")):
            answer = await world.ask(path, "id-1", method)
            assert answer[0] == status
            assert answer[2] == world.backend_by_id["desk-a"].build_body(
                b"id-1"
            )
        drop_objectives(world)
        answer = await world.ask("/all/x")
        if status == 200:
            assert answer[0] == 200
            assert data_path_test.read_missing(answer[1]) == 0
        else:
            check_failure(answer)

    run_plan(test, plan)
