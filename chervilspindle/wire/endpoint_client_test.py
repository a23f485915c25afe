"""Tests of decoding the responses of endpoints."""

import json

import pytest

from chervilspindle.core import errors
from chervilspindle.wire import endpoint_client


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
