"""Tests of how answers of endpoints are read."""

import json

import pytest

from chervilspindle.core import errors
from chervilspindle.wire import endpoint_client


def encode(**fields):
    return json.dumps({"request_id": "run", **fields}).encode()


def test_answer_is_read():
    data = encode(snapshot=3, value=[1, 2])
    result = endpoint_client.read_answer(200, data, "run")
    assert result[:4] == ("ok", True, 0, 3)
    assert json.loads(result.value) == [1, 2]


@pytest.mark.parametrize(
    "data", (b"", b"{", b"[]", b'{"request_id": "other", "snapshot": 3}')
)
def test_answer_that_is_not_ours_may_have_run(data):
    result = endpoint_client.read_answer(200, data, "run")
    assert result.status == errors.ErrorKind.CONNECTION_LOST.value
    assert result.dispatched


@pytest.mark.parametrize(
    "word,kind",
    (
        ("shed", errors.ErrorKind.OVERLOADED),
        ("draining", errors.ErrorKind.DRAINING),
        ("warming", errors.ErrorKind.NO_ENDPOINT),
        ("snapshot_gone", errors.ErrorKind.SNAPSHOT_GONE),
        ("failed", errors.ErrorKind.ENDPOINT_FAILED),
        ("never heard of", errors.ErrorKind.CONNECTION_LOST),
    ),
)
def test_refusal_is_read_the_same_way_everywhere(word, kind):
    data = encode(kind=word, not_run=True, retry_after_ms=70)
    result = endpoint_client.read_answer(503, data, "run")
    assert (result.status, result.dispatched) == (kind.value, False)
    assert result.retry_after_ms == 70
    probe = json.dumps(
        {"state": "finished", "result": {"request_id": "run", "kind": word}}
    )
    state = endpoint_client.read_state(probe.encode())
    assert state.result.kind == kind.value


def test_refusal_that_does_not_say_so_may_have_run():
    result = endpoint_client.read_answer(503, encode(kind="shed"), "run")
    assert result.dispatched
