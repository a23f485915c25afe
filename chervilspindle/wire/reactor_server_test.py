"""Tests of connections of callers over a Twisted reactor."""

import json
import math

import klein
import pytest
from twisted.internet import defer
from twisted.internet import task
from twisted.internet import testing
from twisted.web import server as web_server

from chervilspindle.core import timers as timers_module
from chervilspindle.wire import caller_limits
from chervilspindle.wire import exchange_request
from chervilspindle.wire import http_api
from chervilspindle.wire import http_server
from chervilspindle.wire import reactor_server

POST = b"POST /echo HTTP/1.1\r\nHost: h\r\n"
LARGE = b"l" * 300_000


class World:
    """A server with a small Klein application, on a clock."""

    app = klein.Klein()

    def __init__(self, limit_bytes=math.inf, max_connections=math.inf):
        self.clock = task.Clock()
        self.reasons = []
        self.cancelled = []
        self.budget = caller_limits.CallerBudget(
            limit_bytes, self.clock.seconds, self.reasons.append
        )
        site = web_server.Site(self.app.resource())
        self.server = http_server.HttpServer(
            reactor_server.ReactorLoop(self.clock),
            timers_module.TimerService(self.clock),
            "test",
            lambda exchange: exchange_request.serve(site, exchange),
            lambda: http_api.LIMITS,
            self.budget,
            max_connections,
            http_api.build_refusal,
        )
        self.factory = reactor_server.Factory(self.server)

    @app.route("/echo", methods=["POST"])
    def echo(self, request):
        request.setHeader("X-Args", str(len(request.args)))
        return request.content.read()

    @app.route("/large")
    def send_large(self, request):
        return LARGE

    @app.route("/last")
    def send_last(self, request):
        request.setHeader("Connection", "close")
        return b"last"

    @app.route("/wait")
    def wait(self, request):
        return defer.Deferred(self.cancelled.append)

    def connect(self):
        connection = self.factory.buildProtocol(None)
        transport = testing.StringTransport()
        connection.makeConnection(transport)
        return connection, transport

    def send(self, data):
        connection, transport = self.connect()
        connection.dataReceived(data)
        return self.read(transport)

    def read(self, transport):
        """Take all that is sent, as a caller that reads would."""
        while transport.producer is not None:
            transport.producer.resumeProducing()
            self.clock.advance(0)
        return transport.value()


def test_a_form_is_a_body_like_any_other():
    """Guards against parsing fields, each of which costs far more memory."""
    body = b"a&b=c&" * 1000
    answer = World().send(
        POST
        + b"Content-Type: application/x-www-form-urlencoded\r\n"
        + b"Content-Length: %d\r\n\r\n" % len(body)
        + body
    )
    head, _, received = answer.partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 200") and received == body
    assert b"X-Args: 0" in head
    assert head.lower().count(b"content-length:") == 1


def test_pipelined_requests_are_answered_in_order():
    request = POST + b"Content-Length: 1\r\n\r\n"
    world = World()
    connection, transport = world.connect()
    connection.dataReceived(request + b"1" + request + b"2")
    world.clock.advance(0)
    bodies = [a[-1:] for a in world.read(transport).split(b"HTTP/1.1 ")[1:]]
    assert bodies == [b"1", b"2"]


def test_a_large_answer_is_passed_on_as_it_is_read():
    world = World()
    connection, transport = world.connect()
    connection.dataReceived(b"GET /large HTTP/1.1\r\nHost: h\r\n\r\n" * 2)
    for _ in range(5):
        world.clock.advance(1.0)
    # The caller reads nothing, so it gets no more, and the next waits.
    assert not transport.value()
    held = world.budget.held_by_connection[connection.inner]
    assert held >= len(LARGE)
    transport.producer.resumeProducing()
    assert len(transport.value()) == reactor_server.WRITE_BYTES
    assert world.read(transport).count(LARGE) == 2
    world.clock.advance(0)
    assert world.budget.total_bytes == caller_limits.CONNECTION_BYTES


def test_the_connection_closes_after_a_last_answer():
    world = World()
    connection, transport = world.connect()
    connection.dataReceived(b"GET /last HTTP/1.1\r\nHost: h\r\n\r\n")
    assert not transport.disconnecting
    assert world.read(transport).endswith(b"last")
    assert transport.disconnecting


def test_a_caller_that_leaves_ends_its_handler():
    world = World()
    connection, transport = world.connect()
    connection.dataReceived(b"GET /wait HTTP/1.1\r\nHost: h\r\n\r\n")
    assert not world.cancelled
    connection.connectionLost()
    assert len(world.cancelled) == 1
    assert world.budget.total_bytes == 0


def test_silent_connections_make_room():
    world = World(max_connections=16)
    first, transport = world.connect()
    world.clock.advance(1.0)
    for _ in range(16):
        world.connect()
    assert transport.disconnected or transport.aborting
    assert len(world.server.connections) == 16
    assert world.reasons == [caller_limits.CONNECTIONS_REASON]


@pytest.mark.parametrize(
    "data,status,kind,source",
    (
        (POST + b"Content-Length: 5000000\r\n\r\n", 413, "too_large", "body"),
        (POST + b"X: " + b"x" * 40_000, 413, "too_large", "header"),
        (b"nonsense\r\n\r\n", 400, "malformed", None),
    ),
)
def test_a_refusal_is_a_problem_that_has_not_run(data, status, kind, source):
    answer = World().send(data)
    head, _, body = answer.partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 %d " % status)
    assert b"application/problem+json" in head
    problem = json.loads(body)
    assert problem["kind"] == kind and problem["not_run"] is True
    assert problem.get("source") == source


def test_a_request_without_room_is_told_when_to_come_back():
    world = World(limit_bytes=100_000)
    answer = world.send(
        POST + b"Content-Length: 60000\r\n\r\n" + b"b" * 60_000
    )
    head, _, body = answer.partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 503") and b"Retry-After: 1" in head
    problem = json.loads(body)
    assert problem["kind"] == "overloaded" and problem["not_run"] is True
