"""Tests of the answers of endpoints: cut short, odd, or followed by more."""

import hypothesis
from hypothesis import strategies
import pytest

from chervilspindle.wire import endpoint_http
from chervilspindle.wire import receive_limits
from chervilspindle.wire import receive_limits_test

ID_HEADER = b"x-id"
ANSWERED = endpoint_http.Ending.ANSWERED
INVALID = endpoint_http.Ending.INVALID
SIGNED = b"HTTP/1.1 200 OK\r\nStamp: s\r\nX-Id: id\r\n"
# Whole answers, with their status and body.
WHOLE_BY_NAME = {
    "length": (SIGNED + b"Content-Length: 5\r\n\r\nhello", 200, b"hello"),
    "empty": (SIGNED + b"Content-Length: 0\r\n\r\n", 200, b""),
    "chunks": (
        SIGNED + b"Transfer-Encoding: chunked\r\n\r\n"
        b"5\r\nhello\r\nA;x=y\r\n0123456789\r\n0\r\n\r\n",
        200,
        b"hello0123456789",
    ),
    "trailers": (
        SIGNED + b"Transfer-Encoding: chunked\r\nTrailer: T\r\n\r\n"
        b"5\r\nhello\r\n0\r\nT: 1\r\n\r\n",
        200,
        b"hello",
    ),
    "interim": (
        b"HTTP/1.1 100 Continue\r\n\r\n"
        b"HTTP/1.1 103 Early Hints\r\nStamp: no\r\nLink: /\r\n\r\n"
        + SIGNED
        + b"Content-Length: 5\r\n\r\nhello",
        200,
        b"hello",
    ),
    "interim with a length": (
        b"HTTP/1.1 100 Continue\r\nContent-Length: 2\r\n\r\n"
        + SIGNED
        + b"Content-Length: 5\r\n\r\nhello",
        200,
        b"hello",
    ),
    "failure": (
        b"HTTP/1.1 500 Error\r\nStamp: s\r\nContent-Length: 2\r\n\r\nno",
        500,
        b"no",
    ),
    "no content": (b"HTTP/1.1 204 No\r\nStamp: s\r\n\r\n", 204, b""),
    "not modified": (
        b"HTTP/1.1 304 No\r\nContent-Length: 5\r\nStamp: s\r\n\r\n",
        304,
        b"",
    ),
    "old version": (
        b"HTTP/1.0 200 OK\r\nStamp: s\r\nContent-Length: 5\r\n\r\nhello",
        200,
        b"hello",
    ),
}
# Heads of answers whose body ends with the connection.
OPEN_ENDED_HEADS = (
    SIGNED + b"\r\n",
    SIGNED + b"Connection: close\r\n\r\n",
    SIGNED + b"Connection: Upgrade\r\nUpgrade: x\r\n\r\n",
    SIGNED + b"Transfer-Encoding: identity\r\n\r\n",
    b"HTTP/1.1 100 Continue\r\n\r\n" + SIGNED + b"\r\n",
    b"HTTP/1.0 200 OK\r\nStamp: s\r\n\r\n",
)


class Exchange:
    """One request on a connection, whose bytes the test delivers."""

    def __init__(self, method=b"GET"):
        self.events = []
        self.answers = []
        self.pool = endpoint_http.EndpointPool(
            receive_limits_test.FakeLoop(),
            "127.0.0.1:1",
            ID_HEADER,
            1,
            self.events.append,
            receive_limits.ReceiveBudget(2**26),
        )
        self.call = endpoint_http.Call(
            method + b" / HTTP/1.1\r\nHost: h\r\n\r\n",
            b"id",
            1.0,
            lambda call, answer: self.answers.append(answer),
        )
        self.pool.submit(self.call)
        self.connection = endpoint_http.EndpointConnection(self.pool)
        self.connection.connection_made(receive_limits_test.FakeTransport())

    def receive(self, *pieces):
        for piece in pieces:
            if not self.connection.transport.is_closing():
                self.connection.data_received(piece)
        return self

    def end(self, is_reset=False):
        """End the connection; return the one answer."""
        if is_reset:
            self.connection.connection_lost(ConnectionResetError())
        else:
            if not self.connection.transport.is_closing():
                self.connection.eof_received()
            self.connection.connection_lost(None)
        assert len(self.answers) == 1 and self.pool.count == 0
        assert self.pool.receive_budget.total_bytes == 0
        return self.answers[0]

    def is_reusable(self):
        return self.connection in self.pool.idle


@pytest.mark.parametrize("status", (200, 404, 500))
@pytest.mark.parametrize(
    "surplus",
    (
        b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno",
        b"HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n",
        b"HTTP/1.1 2",
        b"HTTP/1.1 ",
        b"HTTP/1.1 103 Early\r\n\r\n",
        b"\r\n\r\n",
        b"surplus",
    ),
)
def test_bytes_after_an_answer_do_not_change_its_status(status, surplus):
    head = b"HTTP/1.1 %d Any\r\nContent-Length: 4\r\n\r\n" % status
    exchange = Exchange().receive(head + b"body" + surplus)
    answer = exchange.end()
    assert answer.ending is ANSWERED
    assert (answer.status, answer.body) == (status, b"body")


@pytest.mark.parametrize(
    "lines",
    (
        b"Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n",
        b"Transfer-Encoding: identity\r\nTransfer-Encoding: chunked\r\n",
        b"Transfer-Encoding:\r\nTransfer-Encoding: chunked\r\n",
        b"Transfer-Encoding: gzip, chunked\r\n",
    ),
)
@pytest.mark.parametrize("is_reset", (False, True))
def test_chunks_cut_short_are_no_answer_however_they_are_announced(
    lines, is_reset
):
    chunks = b"5\r\nhello\r\n0\r\n\r\n"
    for length in range(len(chunks)):
        exchange = Exchange().receive(
            b"HTTP/1.1 200 OK\r\n" + lines + b"\r\n" + chunks[:length]
        )
        assert exchange.end(is_reset).ending is not ANSWERED, length


@pytest.mark.parametrize(
    "coding",
    (b"gzip", b"gzip, chunked", b"chunked, gzip", b"deflate", b"xchunked"),
)
def test_a_body_in_an_unknown_transfer_coding_is_no_answer(coding):
    """It would be passed on as if it were the body itself."""
    for body in (b"hello", b"5\r\nhello\r\n0\r\n\r\n"):
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: " + coding
        exchange = Exchange().receive(head + b"\r\n\r\n" + body)
        assert exchange.end().ending is INVALID


@pytest.mark.parametrize(
    "coding", (b"chunked", b"Chunked", b"identity, chunked")
)
def test_a_chunked_body_is_decoded(coding):
    head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: " + coding
    exchange = Exchange().receive(
        head + b"\r\n\r\n" + b"5\r\nhello\r\n0\r\n\r\n"
    )
    assert exchange.is_reusable()
    answer = exchange.end()
    assert (answer.ending, answer.body) == (ANSWERED, b"hello")


def test_a_body_with_the_identity_coding_ends_with_the_connection():
    head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: identity\r\n\r\n"
    assert Exchange().receive(head + b"hello").end().body == b"hello"
    reset = Exchange().receive(head + b"hello").end(is_reset=True)
    assert reset.ending is endpoint_http.Ending.BROKEN


@pytest.mark.parametrize("digits", (400, 5000))
def test_a_huge_keep_alive_timeout_does_not_spoil_the_answer(digits):
    head = (
        b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nKeep-Alive: timeout="
        + b"9" * digits
    )
    exchange = Exchange().receive(head + b"\r\n\r\nbody")
    assert exchange.is_reusable()
    assert exchange.end().body == b"body"


@pytest.mark.parametrize(
    "value,expected_s",
    (
        (b"timeout=3", 3 - endpoint_http.IDLE_MARGIN_S),
        (b"max=100, Timeout=7", 7 - endpoint_http.IDLE_MARGIN_S),
        (b"timeout=0", 0.0),
        (b"timeout=-1", endpoint_http.DEFAULT_IDLE_LIMIT_S),
        (b"timeout=1e9", endpoint_http.DEFAULT_IDLE_LIMIT_S),
        (b"timeout=nan", endpoint_http.DEFAULT_IDLE_LIMIT_S),
        (b"timeout=\xb2", endpoint_http.DEFAULT_IDLE_LIMIT_S),
        (b"timeout", endpoint_http.DEFAULT_IDLE_LIMIT_S),
        (b"=", endpoint_http.DEFAULT_IDLE_LIMIT_S),
    ),
)
def test_a_malformed_keep_alive_timeout_is_ignored(value, expected_s):
    head = b"HTTP/1.1 204 No\r\nKeep-Alive: " + value
    exchange = Exchange().receive(head + b"\r\n\r\n")
    assert exchange.connection.idle_limit_s == expected_s
    assert exchange.end().status == 204


def test_trailers_are_not_taken_for_headers():
    """A signature after the body would sign an answer that has none."""
    answer = (
        Exchange()
        .receive(
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nA: 1\r\n\r\n"
            b"4\r\nbody\r\n0\r\nStamp: s\r\nA: 2\r\nX-Id: other\r\n\r\n"
        )
        .end()
    )
    assert answer.ending is ANSWERED and answer.body == b"body"
    assert list(answer.headers) == [
        (b"transfer-encoding", b"chunked"),
        (b"a", b"1"),
    ]


@pytest.mark.parametrize(
    "head,is_reusable",
    (
        (b"HTTP/1.1 200 OK\r\n", True),
        (b"HTTP/1.0 200 OK\r\n", False),
        (b"HTTP/1.0 200 OK\r\nConnection: keep-alive\r\n", True),
        (b"HTTP/1.1 200 OK\r\nConnection: close\r\n", False),
        (b"HTTP/1.1 200 OK\r\nConnection: x, Close\r\n", False),
        (b"HTTP/1.1 200 OK\r\nConnection: x\r\nConnection: close\r\n", False),
    ),
)
def test_a_connection_that_the_endpoint_will_close_is_not_used_again(
    head, is_reusable
):
    """An unsafe request on it would be lost and must not be repeated."""
    answer = head + b"Content-Length: 4\r\n\r\nbody"
    exchange = Exchange().receive(answer)
    assert exchange.is_reusable() is is_reusable
    assert exchange.end().body == b"body"


@pytest.mark.parametrize(
    "head",
    (
        b"HTTP/1.1 204 No Content\r\n",
        b"HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n",
        b"HTTP/1.1 304 Not Modified\r\n",
        b"HTTP/1.1 304 Not Modified\r\nContent-Length: 7\r\n",
    ),
)
def test_an_answer_without_a_body_leaves_the_connection_open(head):
    exchange = Exchange().receive(head + b"\r\n")
    assert exchange.is_reusable()
    assert exchange.end().body == b""


@pytest.mark.parametrize(
    "lines",
    (
        b"Content-Length: 7\r\n",
        b"Transfer-Encoding: chunked\r\n",
        b"",
    ),
)
def test_the_answer_to_head_is_complete_after_its_header(lines):
    head = b"HTTP/1.1 200 OK\r\nStamp: s\r\n" + lines
    for surplus in (b"", b"surplus"):
        exchange = Exchange(b"HEAD").receive(
            b"HTTP/1.1 103 Early\r\n\r\n", head, b"\r\n" + surplus
        )
        assert [a.status for a in exchange.answers] == [200]
        assert not exchange.is_reusable()
        answer = exchange.end()
        assert answer.ending is ANSWERED and answer.body == b""


@pytest.mark.parametrize("name", WHOLE_BY_NAME)
@pytest.mark.parametrize("is_reset", (False, True))
@pytest.mark.parametrize("is_split", (False, True))
def test_an_answer_cut_after_any_byte_is_answered_only_if_whole(
    name, is_reset, is_split
):
    data, status, body = WHOLE_BY_NAME[name]
    whole = Exchange().receive(data).end()
    for length in range(len(data)):
        cut = data[:length]
        pieces = [cut[i : i + 1] for i in range(length)] if is_split else [cut]
        answer = Exchange().receive(*pieces).end(is_reset)
        assert answer.ending is endpoint_http.Ending.BROKEN, length
    assert (whole.ending, whole.status, whole.body) == (ANSWERED, status, body)


@pytest.mark.parametrize("head", OPEN_ENDED_HEADS)
def test_an_answer_without_a_length_is_complete_only_at_a_clean_close(head):
    for length in range(len(head)):
        for is_reset in (False, True):
            answer = Exchange().receive(head[:length]).end(is_reset)
            assert answer.ending is endpoint_http.Ending.BROKEN, length
    for body in (b"", b"hello"):
        reset = Exchange().receive(head + body).end(is_reset=True)
        assert reset.ending is endpoint_http.Ending.BROKEN
        exchange = Exchange().receive(head, body)
        assert not exchange.answers
        answer = exchange.end()
        assert answer.ending is ANSWERED and answer.body == body
        assert not exchange.is_reusable()


@pytest.mark.parametrize(
    "lines",
    (
        b"Content-Length: 2\r\nContent-Length: 5\r\n",
        b"Content-Length: 5\r\nContent-Length: 5\r\n",
        b"Content-Length: 5, 5\r\n",
        b"Content-Length: -1\r\n",
        b"Content-Length:\r\n",
        b"Content-Length: 5 5\r\n",
        b"Content-Length: 0x5\r\n",
        b"Content-Length: " + b"9" * 5000 + b"\r\n",
        b"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
        b"Transfer-Encoding: chunked\r\nContent-Length: 5\r\n",
        b"Transfer-Encoding:\r\n chunked\r\n",
        b"Stamp: a\r\n b\r\nContent-Length: 5\r\n",
        b"Stamp: a\rb\r\nContent-Length: 5\r\n",
        b"Stamp: a\nb: c\r\nContent-Length: 5\r\n",
        b"Stamp: a\0b\r\nContent-Length: 5\r\n",
        b"Stamp : a\r\nContent-Length: 5\r\n",
    ),
)
def test_an_answer_with_a_doubtful_head_is_no_answer(lines):
    head = b"HTTP/1.1 200 OK\r\n" + lines + b"\r\n"
    for is_reset in (False, True):
        for body in (b"", b"hello", b"5\r\nhello\r\n0\r\n\r\n"):
            answer = Exchange().receive(head + body).end(is_reset)
            assert answer.ending is INVALID


def test_an_answer_to_another_attempt_is_no_answer():
    for attempt in (b"other", b"", b"id2", b"ID"):
        head = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Id: " + attempt
        exchange = Exchange().receive(head + b"\r\n\r\n")
        assert not exchange.is_reusable()
        assert exchange.end().ending is INVALID
        assert exchange.events.count("foreign-answer") == 1


@pytest.mark.parametrize(
    "answer",
    (
        b"HTTP/1.1 101 Switching\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n",
        b"HTTP/1.1 20 OK\r\nContent-Length: 0\r\n\r\n",
        b"HTTP/1.1 2000 OK\r\nContent-Length: 0\r\n\r\n",
        b"HTTP/2.5 200 OK\r\nContent-Length: 0\r\n\r\n",
        b"HTTP/1.1 200 OK\nContent-Length: 0\n\n",
        b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03",
        b"hello",
    ),
)
def test_bytes_that_are_no_answer_are_invalid(answer):
    assert Exchange().receive(answer).end().ending is INVALID


FRAGMENTS = (
    b"HTTP/1.1 200 OK\r\n",
    b"HTTP/1.0 200 OK\r\n",
    b"HTTP/1.1 100 Continue\r\n\r\n",
    b"HTTP/1.1 204 No\r\n",
    b"HTTP/1.1 500 No\r\n",
    b"Content-Length: 5\r\n",
    b"Content-Length: 0\r\n",
    b"Transfer-Encoding: chunked\r\n",
    b"Transfer-Encoding: gzip\r\n",
    b"Connection: close\r\n",
    b"Keep-Alive: timeout=",
    b"X-Id: id\r\n",
    b"X-Id: ",
    b"9" * 400,
    b"hello",
    b"5\r\nhello\r\n",
    b"0\r\n\r\n",
    b"\r\n",
)


@hypothesis.settings(max_examples=300, deadline=None, derandomize=True)
@hypothesis.given(
    pieces=strategies.lists(
        strategies.one_of(
            strategies.sampled_from(FRAGMENTS), strategies.binary(max_size=20)
        ),
        max_size=12,
    ),
    is_split=strategies.booleans(),
    is_reset=strategies.booleans(),
)
def test_any_bytes_end_a_request_once(pieces, is_split, is_reset):
    """No exception leaves the connection, and no head can carry another."""
    exchange = Exchange()
    exchange.receive(*(pieces if is_split else [b"".join(pieces)]))
    answer = exchange.end(is_reset)
    assert (answer.ending is ANSWERED) == bool(answer.status)
    if answer.ending is ANSWERED:
        assert 200 <= answer.status <= 999
    for name, value in answer.headers:
        assert not set(name + value) & set(b"\r\n\0")
