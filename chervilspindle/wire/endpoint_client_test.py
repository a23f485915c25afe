"""Tests of decoding the responses of endpoints."""

import json

import hypothesis
from hypothesis import strategies
import pytest
from twisted.internet import defer
from twisted.internet import epollreactor
from twisted.internet import protocol

from chervilspindle.core import errors
from chervilspindle.wire import endpoint_client
from chervilspindle.wire import messages
from chervilspindle.wire import receive_limits

DEADLINE_MS = 1500
# Each with a run id of four digits.
HEAD_BY_FRAMING = {
    "length": "HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n",
    "chunks": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
    "none": "HTTP/1.1 200 OK\r\n\r\n",
    "interim": "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n"
    "Content-Length: {length}\r\n\r\n",
    "failure": "HTTP/1.1 503 No\r\nContent-Length: {length}\r\n\r\n",
}


def encode(**fields):
    return json.dumps({"request_id": "run", **fields}).encode()


def test_answer_is_decoded():
    data = encode(snapshot=3, value=[1, 2])
    result = endpoint_client.read_answer(200, data, "run")
    assert result[:4] == ("ok", True, 0, 3)
    assert json.loads(result.value) == [1, 2]


@pytest.mark.parametrize(
    "data", (b"", b"{", b"[]", b'{"request_id": "other", "snapshot": 3}')
)
def test_invalid_or_mismatched_answer_may_have_run(data):
    result = endpoint_client.read_answer(200, data, "run")
    assert result.status == errors.ErrorKind.CONNECTION_LOST.value
    assert result.dispatched


@pytest.mark.parametrize(
    "endpoint_kind,kind",
    (
        ("shed", errors.ErrorKind.OVERLOADED),
        ("draining", errors.ErrorKind.DRAINING),
        ("warming", errors.ErrorKind.NO_ENDPOINT),
        ("snapshot_gone", errors.ErrorKind.SNAPSHOT_GONE),
        ("failed", errors.ErrorKind.ENDPOINT_FAILED),
        ("unlisted", errors.ErrorKind.CONNECTION_LOST),
    ),
)
def test_answers_and_probes_map_error_kinds_alike(endpoint_kind, kind):
    data = encode(kind=endpoint_kind, not_run=True, retry_after_ms=70)
    result = endpoint_client.read_answer(503, data, "run")
    assert (result.status, result.dispatched) == (kind.value, False)
    assert result.retry_after_ms == 70
    probe = json.dumps(
        {
            "state": "finished",
            "result": {"request_id": "run", "kind": endpoint_kind},
        }
    )
    state = endpoint_client.read_state(probe.encode())
    assert state.result.kind == kind.value


def test_refusal_without_not_run_may_have_run():
    result = endpoint_client.read_answer(503, encode(kind="shed"), "run")
    assert result.dispatched


def build_answer(framing, run_id):
    """Return a whole answer of an endpoint."""
    kind = "shed" if framing == "failure" else ""
    body = encode(
        request_id=run_id, snapshot=3, value=[1], kind=kind, not_run=True
    )
    head = HEAD_BY_FRAMING[framing].format(length=len(body)).encode()
    if framing == "chunks":
        body = b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body)
    return head + body


class CuttingEndpoint(protocol.Protocol):
    """Answers with the number of bytes that the run's id names."""

    def __init__(self, framing, is_reset):
        self.framing = framing
        self.is_reset = is_reset
        self.received = b""

    def dataReceived(self, data):
        self.received += data
        if not self.received.endswith(b"}"):
            return
        body = self.received.partition(b"\r\n\r\n")[2]
        run_id = json.loads(body)["request_id"]
        answer = build_answer(self.framing, run_id)
        self.transport.write(answer[: int(run_id)])
        if self.is_reset:
            reactor = self.factory.reactor
            reactor.callLater(0.01, self.transport.abortConnection)
        else:
            self.transport.loseConnection()


def run_cut(framing, is_reset, command=False):
    """Run one request for each number of bytes; return the results."""
    reactor = epollreactor.EPollReactor()
    factory = protocol.Factory.forProtocol(
        lambda: CuttingEndpoint(framing, is_reset)
    )
    factory.noisy = False
    factory.reactor = reactor
    port = reactor.listenTCP(0, factory, 400, "127.0.0.1")
    client = endpoint_client.EndpointClient(
        reactor,
        f"127.0.0.1:{port.getHost().port}",
        400,
        receive_limits.ReceiveBudget(2**26),
    )
    end = len(build_answer(framing, "0000"))
    run_ids = [f"{cut:04}" for cut in range(end + 1)]
    results = []

    def start():
        if command:
            calls = [
                client.run_command(run_id, "key", b"{}", DEADLINE_MS)
                for run_id in run_ids
            ]
        else:
            calls = [
                client.run_query(run_id, b"{}", 3, 0, 1, DEADLINE_MS)
                for run_id in run_ids
            ]
        gathered = defer.gatherResults(calls)
        gathered.addBoth(results.append)
        gathered.addBoth(lambda _: reactor.stop())

    reactor.callWhenRunning(start)
    reactor.run(installSignalHandlers=False)
    return results[0]


@pytest.mark.parametrize("framing", HEAD_BY_FRAMING)
@pytest.mark.parametrize("is_reset", (False, True))
@pytest.mark.parametrize("command", (False, True))
def test_an_answer_cut_after_any_byte_may_have_run_and_has_no_result(
    framing, is_reset, command
):
    *cut, whole = run_cut(framing, is_reset, command)
    lost = endpoint_client.RunResult(
        errors.ErrorKind.CONNECTION_LOST.value,
        True,
        0,
        0,
        messages.EMPTY_VALUE,
    )
    for length, result in enumerate(cut):
        assert result == lost, length
    if framing == "failure":
        assert (whole.status, whole.dispatched) == ("overloaded", False)
    else:
        assert (whole.status, whole.snapshot) == ("ok", 3)


NESTED = b'{"request_id":"run","%s":' + b"[" * 100_000 + b"]" * 100_000 + b"}"


@pytest.mark.parametrize("field", (b"value", b"unknown"))
def test_a_deeply_nested_answer_may_have_run(field):
    """An exception here would keep the endpoint's slot for good."""
    data = NESTED % field
    result = endpoint_client.read_answer(200, data, "run")
    assert result.status == errors.ErrorKind.CONNECTION_LOST.value
    assert result.dispatched


@pytest.mark.parametrize(
    "advice,expected_ms",
    (
        (-5, 0),
        (250, 250),
        (10**9, endpoint_client.MAX_RETRY_AFTER_MS),
        (10**22, endpoint_client.MAX_RETRY_AFTER_MS),
    ),
)
def test_advice_out_of_range_does_not_keep_back_the_reply(advice, expected_ms):
    """Replies of several parts share a frame, which could not be encoded."""
    data = encode(kind="shed", not_run=True, retry_after_ms=advice)
    result = endpoint_client.read_answer(503, data, "run")
    assert result.retry_after_ms == expected_ms
    reply = messages.PartReply(
        0,
        "desk.0",
        result.status,
        result.dispatched,
        result.retry_after_ms,
        0.0,
        0.0,
        0.0,
        result.value,
    )
    message = messages.SubReply("r", 1, (reply,))
    frame = messages.encode_frame(message, 0, False)
    assert messages.decode_frame(frame)[0] == message


@pytest.mark.parametrize("value", (b'"\xff"', b'["\xed\xa0\x80"]'))
def test_a_value_that_is_not_utf_8_is_no_result(value):
    """The answer of a query holds the values of all shards."""
    data = b'{"request_id":"run","value":' + value + b"}"
    result = endpoint_client.read_answer(200, data, "run")
    assert result.status == errors.ErrorKind.CONNECTION_LOST.value
    with pytest.raises(ValueError):
        endpoint_client.read_state(b'{"state":"x","result":' + data + b"}")


JSON_VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | strategies.text(),
    lambda inner: strategies.lists(inner, max_size=3)
    | strategies.dictionaries(strategies.text(), inner, max_size=3),
    max_leaves=6,
)


@hypothesis.settings(derandomize=True, max_examples=300, deadline=None)
@hypothesis.given(
    code=strategies.sampled_from((200, 204, 404, 429, 500, 503)),
    data=strategies.one_of(
        strategies.binary(max_size=60),
        strategies.fixed_dictionaries(
            {"request_id": strategies.just("run") | JSON_VALUES},
            optional={
                "snapshot": JSON_VALUES,
                "value": JSON_VALUES,
                "kind": JSON_VALUES | strategies.just("shed"),
                "not_run": JSON_VALUES,
                "retry_after_ms": JSON_VALUES,
            },
        ).map(lambda fields: json.dumps(fields).encode()),
    ),
)
def test_any_answer_is_a_result_or_a_lost_connection(code, data):
    result = endpoint_client.read_answer(code, data, "run")
    assert result.dispatched or b'"not_run": true' in data
    assert 0 <= result.retry_after_ms <= endpoint_client.MAX_RETRY_AFTER_MS
    json.loads(result.value)
    if result.status != "ok":
        errors.ErrorKind(result.status)
