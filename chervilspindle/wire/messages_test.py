"""Tests of the codec of peer messages."""

import pytest

from chervilspindle.core import errors
from chervilspindle.wire import messages


def test_json_values_survive_a_frame():
    part = messages.Part(0, "desk.0", 3, 0, 65536)
    query = messages.SubQuery(
        "r", 1, "c", 0.5, 0, 250.0, 7, b'{"text": "canoe"}', (part,)
    )
    data = messages.encode_frame(query, 5, False)
    assert messages.decode_frame(data) == (query, 5, False)


def test_reply_value_survives_a_frame():
    reply = messages.PartReply(
        0, "desk.0", "ok", True, 0, 0.1, 8.0, 0.0, b'[{"key": "a"}]'
    )
    message = messages.SubReply("r", 1, (reply,))
    data = messages.encode_frame(message, 0, False)
    assert messages.decode_frame(data)[0] == message


def test_unknown_kind_is_refused():
    data = messages._ENCODER.encode(
        messages.Frame("Nonsense", 1, False, messages.msgspec.Raw(b"\xc0"))
    )
    with pytest.raises(KeyError):
        messages.decode_frame(data)


@pytest.mark.parametrize("kind", errors.ErrorKind)
def test_every_error_kind_survives_a_problem_reply(kind):
    problem = errors.build_problem(kind, "detail")
    reply = messages.build_problem_reply(problem)
    assert messages.read_problem(reply).kind is kind
    assert bool(problem.retry_after_ms) == errors.ANSWER_BY_KIND[kind].retry


def test_a_problem_of_an_unknown_kind_is_an_internal_error():
    reply = messages.ProblemReply("of a newer build", "detail", True, 5)
    problem = messages.read_problem(reply)
    assert problem.kind is errors.ErrorKind.INTERNAL
    assert problem.not_run and problem.detail == "detail"
