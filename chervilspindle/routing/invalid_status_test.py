"""Tests of endpoints whose status is not one of HTTP, on all paths.

Such a send failed and may have run, whatever its headers say.
"""

import json

import pytest
from twisted.internet import epollreactor
from twisted.internet import protocol

from chervilspindle.core import errors
from chervilspindle.platform import names
from chervilspindle.routing import data_path_test
from chervilspindle.routing import forwarding_test
from chervilspindle.routing import relayed_query_test
from chervilspindle.wire import endpoint_answers_test
from chervilspindle.wire import endpoint_client
from chervilspindle.wire import endpoint_http
from chervilspindle.wire import receive_limits

# Beyond the range, which callers got; and below, which they did not.
ABOVE = (b"600", b"700", b"999")
BELOW = (b"000", b"001", b"099")


def spoil(backend, status, is_refusal=False):
    """Let an endpoint run requests and answer with a status."""

    def answer(exchange, request_id):
        transport = exchange.connection.transport
        if transport.is_closing():
            return
        lines = [
            b"HTTP/1.1 %s Status" % status,
            b"%s: stamp" % names.HEADERS.stamp.encode(),
            b"%s: %s" % (names.HEADERS.request_id.encode(), request_id),
            b"Content-Length: 16",
        ]
        if is_refusal:
            lines.append(b"%s: 1" % names.HEADERS.not_run.encode())
        transport.write(b"\r\n".join(lines) + b"\r\n\r\n" + b"r" * 16)

    backend._answer = answer


@pytest.fixture
def play():
    def run(test, build_world=data_path_test.World):
        data_path_test.run_in_world(build_world, test, 20)

    return run


@pytest.mark.parametrize("status", (*ABOVE, *BELOW))
@pytest.mark.parametrize("method", (b"GET", b"HEAD"))
@pytest.mark.parametrize("is_split", (False, True))
def test_such_an_answer_is_invalid_and_closes_its_connection(
    status, method, is_split
):
    data = (
        b"HTTP/1.1 %s Any\r\nStamp: s\r\nContent-Length: 2\r\n\r\nno" % status
    )
    pieces = [data]
    if is_split:
        pieces = [data[i : i + 1] for i in range(len(data))]
    exchange = endpoint_answers_test.Exchange(method).receive(*pieces)
    assert exchange.connection.transport.is_closing()
    assert exchange.end().ending is endpoint_http.Ending.INVALID


@pytest.mark.parametrize("status", (b"200", b"599"))
def test_answers_at_the_end_of_the_range_are_valid(status):
    data = b"HTTP/1.1 %s Any\r\nContent-Length: 2\r\n\r\nno" % status
    answer = endpoint_answers_test.Exchange().receive(data).end()
    assert answer.ending is endpoint_http.Ending.ANSWERED
    assert answer.status == int(status)


@pytest.mark.parametrize("status", (*ABOVE, *BELOW))
@pytest.mark.parametrize("is_refusal", (False, True))
def test_a_single_request_fails_and_is_not_repeated(play, status, is_refusal):
    """It may have run, also if a header says that it has not."""

    async def test(world):
        for zone in "ab":
            spoil(world.backend_by_id[f"desk-{zone}"], status, is_refusal)
        answer = await world.ask("/once/x", "id-1", "POST", b"x")
        assert answer[0] == 502
        assert len(world.list_runs("desk")) == 1

    play(test)


@pytest.mark.parametrize("status", ABOVE)
def test_a_request_that_may_be_repeated_is_served_elsewhere(play, status):
    async def test(world):
        spoil(world.backend_by_id["desk-a"], status)
        assert (await world.ask("/one/x"))[0] == 200

    play(test)


@pytest.mark.parametrize("status", (*ABOVE, *BELOW))
def test_a_part_of_a_query_fails(play, status):
    async def test(world):
        for zone in "ab":
            spoil(world.backend_by_id[f"shard-0-{zone}"], status)
        answer = await world.ask("/all/x")
        assert answer[0] == 200
        assert data_path_test.read_missing(answer[1]) == 1

    play(test)


@pytest.mark.parametrize("status", ABOVE)
def test_a_part_that_a_relay_sent_fails(play, status):
    async def test(world):
        await world.warm()
        for zone in "ab":
            spoil(world.backend_by_id[f"shard-03-{zone}"], status)
        answer = await world.ask("id-1")
        world.check(answer, "id-1", 23)
        assert data_path_test.read_missing(answer[1]) == 1

    play(test, relayed_query_test.World)


@pytest.mark.parametrize("status", (-1, 0, 99, 600, 700, 999, 2**70))
def test_a_report_of_another_entry_is_invalid(status):
    """An entry of an older build passes such a status on."""
    (answer,) = forwarding_test.report("answered", status)
    assert answer.ending is endpoint_http.Ending.INVALID
    assert answer.status == 0 and not answer.headers


class OddEndpoint(protocol.Protocol):
    """An endpoint of the product's own deployments, with a status."""

    def dataReceived(self, data):
        if b"GET /run/" in data:
            body = json.dumps({"state": "running"}).encode()
        elif data.endswith(b"}"):
            body = json.dumps(
                {"request_id": "run", "kind": "shed", "not_run": True}
            ).encode()
        else:
            return
        head = b"HTTP/1.1 %s Any\r\nContent-Length: %d\r\n\r\n"
        self.transport.write(head % (self.factory.status, len(body)) + body)


def ask_odd_endpoint(status, call):
    """Return the result of a call of the owners' client."""
    reactor = epollreactor.EPollReactor()
    factory = protocol.Factory.forProtocol(OddEndpoint)
    factory.noisy = False
    factory.status = status
    port = reactor.listenTCP(0, factory, interface="127.0.0.1")
    client = endpoint_client.EndpointClient(
        reactor,
        f"127.0.0.1:{port.getHost().port}",
        2,
        receive_limits.ReceiveBudget(2**26),
    )
    results = []

    def start():
        call(client).addBoth(results.append).addBoth(lambda _: reactor.stop())

    reactor.callWhenRunning(start)
    reactor.run(installSignalHandlers=False)
    return results[0]


@pytest.mark.parametrize("status", (*ABOVE, *BELOW))
@pytest.mark.parametrize("is_command", (False, True))
def test_a_request_of_an_owner_may_have_run(status, is_command):
    def call(client):
        if is_command:
            return client.run_command("run", "key", b"{}", 100)
        return client.run_query("run", b"{}", 1, 0, 1, 100)

    result = ask_odd_endpoint(status, call)
    assert result.status == errors.ErrorKind.CONNECTION_LOST.value
    assert result.dispatched


@pytest.mark.parametrize("status", (*ABOVE, *BELOW))
def test_a_probe_of_an_owner_learns_nothing(status):
    result = ask_odd_endpoint(status, lambda client: client.probe("run"))
    assert result is None


def test_sound_statuses_of_an_owners_endpoint_are_read():
    """Guards the tests above against an endpoint that never answers."""
    result = ask_odd_endpoint(
        b"503", lambda c: c.run_query("run", b"{}", 1, 0, 1, 1000)
    )
    assert result.status == errors.ErrorKind.OVERLOADED.value
    assert not result.dispatched
    state = ask_odd_endpoint(b"200", lambda client: client.probe("run"))
    assert state.state == "running"
