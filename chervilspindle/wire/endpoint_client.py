"""HTTP client of one endpoint, over persistent connections.

Requests are sent with the Twisted agent that treq wraps: treq's handling of
URLs, cookies and redirects took a quarter of the time of a request and is not
needed. The agent reads without limit, so its connections limit answers. The
HTTP library never retries requests: only the callers of this module decide
whether a request may run again.
"""

import collections
import typing

import hyperlink
import msgspec
from twisted.internet import defer
from twisted.internet import endpoints
from twisted.internet import error as internet_error
from twisted.internet import protocol as internet_protocol
from twisted.protocols import policies
from twisted.web import client as web_client
from twisted.web import http
from twisted.web import http_headers
from twisted.web import iweb
import zope.interface

from chervilspindle.core import errors
from chervilspindle.core import logs
from chervilspindle.wire import http_statuses
from chervilspindle.wire import messages
from chervilspindle.wire import receive_limits

CONNECT_TIMEOUT_S = 1.0
IDLE_CONNECTION_S = 20.0
PROBE_TIMEOUT_S = 0.15
CANCEL_TIMEOUT_S = 2.0
# An endpoint ends a request at its deadline; later its slot is free, even if
# it is still sending.
DEADLINE_OVERRUN_S = 2.0
MAX_RETRY_AFTER_MS = 600_000
WRITE_BYTES = 64 * 1024  # of a body at once

_NOT_CONNECTED = (
    internet_error.ConnectError,
    internet_error.ConnectingCancelledError,
)


class RunResult(typing.NamedTuple):
    """Result of a request to an endpoint.

    Parameters
    ----------
    status : str
        ``ok`` or the value of an `ErrorKind`.
    dispatched : bool
        False only if the request certainly did not run.
    retry_after_ms : int
    snapshot : int
    value : bytes
        JSON.
    """

    status: str
    dispatched: bool
    retry_after_ms: int
    snapshot: int
    value: bytes


class RunBody(msgspec.Struct):
    """Response body of an endpoint."""

    request_id: str = ""
    snapshot: int = 0
    value: msgspec.Raw = msgspec.Raw(messages.EMPTY_VALUE)
    kind: str = ""
    not_run: bool = False
    retry_after_ms: int = 0


class RunState(msgspec.Struct):
    """State of an earlier request, as reported by its endpoint."""

    state: str
    result: RunBody | None = None


_BODY = msgspec.json.Decoder(RunBody)
_STATE = msgspec.json.Decoder(RunState)
_ENCODER = msgspec.json.Encoder()


@zope.interface.implementer(iweb.IAgentEndpointFactory)
class Dialler:
    """Connects to IP addresses without name resolution.

    Parameters
    ----------
    reactor : IReactorTCP
    receive_budget : receive_limits.ReceiveBudget

    Attributes
    ----------
    receiving : LimitedConnection or None
        The connection whose bytes are being processed. The agent does not
        tell on which connection a response arrives.
    """

    def __init__(self, reactor, receive_budget):
        self.reactor = reactor
        self.receive_budget = receive_budget
        self.receiving = None

    def endpointForURI(self, uri):
        """Return the TCP endpoint of a URI."""
        inner = endpoints.TCP4ClientEndpoint(
            self.reactor,
            uri.host.decode(),
            uri.port,
            timeout=CONNECT_TIMEOUT_S,
        )
        return _LimitedEndpoint(inner, self)


class _LimitedEndpoint(typing.NamedTuple):
    """A TCP endpoint that makes each connection a `LimitedConnection`."""

    inner: endpoints.TCP4ClientEndpoint
    dialler: Dialler

    def connect(self, factory):
        wrapping = policies.WrappingFactory(factory)
        wrapping.protocol = LimitedConnection
        wrapping.dialler = self.dialler
        connecting = self.inner.connect(wrapping)
        return connecting.addCallback(lambda wrapper: wrapper.wrappedProtocol)


class LimitedConnection(policies.ProtocolWrapper):
    """Closes the connection of an answer that exceeds a limit."""

    received_bytes = 0
    body_bytes = 0
    dropped = False

    def dataReceived(self, data):
        """Pass on received bytes in pieces and check the limits."""
        for piece in receive_limits.split(data):
            if self.dropped:
                return
            self._pass_on(piece)

    def _pass_on(self, piece):
        dialler = self.factory.dialler
        self.received_bytes += len(piece)
        count = len(piece)
        if not self.body_bytes:
            count = receive_limits.count_head_bytes(piece)
        dialler.receive_budget.hold(self, count)
        if self.dropped:
            return
        dialler.receiving = self
        super().dataReceived(piece)
        dialler.receiving = None
        if self.body_bytes > receive_limits.MAX_BODY_BYTES:
            self.drop_answer("body_limit")
        elif receive_limits.is_overhead_exceeded(
            self.received_bytes, self.body_bytes
        ):
            self.drop_answer("overhead_limit")

    def connectionLost(self, reason=internet_protocol.connectionDone):
        """Return the bytes of the answer to the budget."""
        self.end_answer()
        super().connectionLost(reason)

    def end_answer(self):
        """Return the bytes of the answer to the budget."""
        self.received_bytes = 0
        self.body_bytes = 0
        self.factory.dialler.receive_budget.release(self)

    def drop_answer(self, reason: str, message: str = "answer-too-large"):
        """Close the connection; the request may have run."""
        if self.dropped:
            return
        self.dropped = True
        peer = self.transport.getPeer()
        logs.log_decision(
            message,
            endpoint_address=f"{peer.host}:{peer.port}",
            why=reason,
            received_bytes=self.received_bytes,
            body_bytes=self.body_bytes,
        )
        self.end_answer()
        self.transport.abortConnection()


class _BodyCollector(internet_protocol.Protocol):
    """Collects the body of a response.

    Attributes
    ----------
    done : Deferred of bytes
        Cancelling it closes the connection.
    """

    def __init__(self, connection):
        self.connection = connection
        self.pieces = []
        self.done = defer.Deferred(lambda _: self.transport.loseConnection())

    def dataReceived(self, data):
        self.connection.body_bytes += len(data)
        receive_limits.add_body_piece(self.pieces, data)

    def connectionLost(self, reason=internet_protocol.connectionDone):
        # Without a length, a body ends with its connection.
        ended = reason.check(web_client.ResponseDone, http.PotentialDataLoss)
        if ended and not self.connection.dropped:
            self.connection.end_answer()
            self.done.callback(b"".join(self.pieces))
        else:
            self.done.errback(reason)


@zope.interface.implementer(iweb.IBodyProducer)
class BytesProducer:
    """Writes the body of a request as its connection takes it.

    Parameters
    ----------
    parts : sequence of bytes
        The body; requests share parts, which are not copied as a whole.
    """

    def __init__(self, parts):
        self.parts = collections.deque(memoryview(part) for part in parts)
        self.length = sum(len(part) for part in parts)
        self.consumer = None
        self.finished = defer.Deferred()
        self.is_paused = False

    def startProducing(self, consumer):
        """Write until the connection has enough.

        Returns
        -------
        Deferred
            Fires once all is written.
        """
        self.consumer = consumer
        self.resumeProducing()
        return self.finished

    def pauseProducing(self):
        """Write no more until `resumeProducing`."""
        self.is_paused = True

    def resumeProducing(self):
        """Write on."""
        self.is_paused = False
        while self.parts and not self.is_paused:
            part = self.parts[0]
            if len(part) > WRITE_BYTES:
                self.parts[0] = part[WRITE_BYTES:]
            else:
                self.parts.popleft()
            self.consumer.write(bytes(part[:WRITE_BYTES]))
        if not self.parts and not self.finished.called:
            self.finished.callback(None)

    def stopProducing(self):
        """Write no more: the request is cancelled."""
        self.is_paused = True
        self.parts.clear()


class EndpointClient:
    """Connections to one endpoint.

    Parameters
    ----------
    reactor : IReactorTCP and IReactorTime
    address : str
        ``IP:PORT``.
    connections : int
        Maximum number of persistent connections.
    receive_budget : receive_limits.ReceiveBudget
        Shared by all clients of the process.
    """

    def __init__(
        self, reactor, address: str, connections: int, receive_budget
    ):
        self.reactor = reactor
        # Parsing a URL takes longer than sending it, so URLs are built once.
        self.base = hyperlink.DecodedURL.from_text(f"http://{address}/")
        self.url_by_path = {
            path: f"http://{address}/{path}".encode()
            for path in ("run", "command")
        }
        self.pool = web_client.HTTPConnectionPool(reactor, persistent=True)
        self.pool.maxPersistentPerHost = connections
        self.pool.retryAutomatically = False
        self.pool.cachedConnectionTimeout = IDLE_CONNECTION_S
        self.dialler = Dialler(reactor, receive_budget)
        self.agent = self._build_agent(self.pool)
        # Probes use new connections, since a middlebox may silently have
        # dropped the state of an existing one.
        self.probe_agent = self._build_agent(
            web_client.HTTPConnectionPool(reactor, persistent=False)
        )

    def run_query(self, run_id, query, snapshot, low, high, deadline_ms):
        """Run one part.

        Returns
        -------
        Deferred of RunResult
            Cancelling it closes the connection.
        """
        body = {
            "request_id": run_id,
            "snapshot": snapshot,
            "low": low,
            "high": high,
        }
        parts = (_ENCODER.encode(body)[:-1], b',"query":', query, b"}")
        return self._run("run", run_id, parts, deadline_ms)

    def run_command(self, run_id, key, command, deadline_ms):
        """Send one non-idempotent request, without retries."""
        body = {
            "request_id": run_id,
            "key": key,
            "command": msgspec.Raw(command),
        }
        parts = (_ENCODER.encode(body),)
        return self._run("command", run_id, parts, deadline_ms)

    @defer.inlineCallbacks
    def cancel(self, run_id: str):
        """Ask the endpoint to cancel a request; failures are ignored."""
        try:
            yield self._exchange(
                self.agent,
                b"DELETE",
                self._build_run_url(run_id),
                CANCEL_TIMEOUT_S,
            )
        except Exception:
            return

    @defer.inlineCallbacks
    def probe(self, run_id: str):
        """Ask for the state of a request, on a new connection.

        Returns
        -------
        Deferred of RunState or None
            None if the endpoint gave no valid answer in time.
        """
        try:
            _, data = yield self._exchange(
                self.probe_agent,
                b"GET",
                self._build_run_url(run_id),
                PROBE_TIMEOUT_S,
            )
            return read_state(data)
        except Exception:
            return None

    def close(self):
        """Close idle connections."""
        self.pool.closeCachedConnections()

    def _build_run_url(self, run_id):
        return self.base.child("run", run_id).to_uri().to_text().encode()

    def _build_agent(self, pool):
        return web_client.Agent.usingEndpointFactory(
            self.reactor, self.dialler, pool
        )

    def _exchange(
        self, agent, method, url, timeout_s, headers=None, producer=None
    ):
        """Send one request.

        Returns
        -------
        Deferred of (int, bytes)
            Status and body. Cancelling it closes the connection.
        """
        exchange = self._request(agent, method, url, headers, producer)
        return exchange.addTimeout(timeout_s, self.reactor)

    @defer.inlineCallbacks
    def _request(self, agent, method, url, headers, producer):
        response = yield agent.request(method, url, headers, producer)
        # The agent responds while the bytes of the head are processed.
        connection = self.dialler.receiving
        if not http_statuses.is_valid(response.code):
            reason = f"status {response.code}"
            connection.drop_answer(reason, "answer-invalid")
            raise ValueError(reason)
        collector = _BodyCollector(connection)
        response.deliverBody(collector)
        body = yield collector.done
        return response.code, body

    @defer.inlineCallbacks
    def _run(self, path, run_id, parts, deadline_ms):
        headers = http_headers.Headers(
            {
                b"Content-Type": [b"application/json"],
                b"X-Request-Id": [run_id.encode()],
                b"X-Deadline-Ms": [b"%d" % max(1, deadline_ms)],
            }
        )
        producer = BytesProducer(parts)
        try:
            code, data = yield self._exchange(
                self.agent,
                b"POST",
                self.url_by_path[path],
                max(1, deadline_ms) / 1000.0 + DEADLINE_OVERRUN_S,
                headers,
                producer,
            )
        except Exception as error:
            return _read_failure(error)
        return read_answer(code, data, run_id)


def read_answer(code: int, data: bytes, run_id: str) -> RunResult:
    """Decode an HTTP response into a result.

    A response that names another request counts as a lost connection.
    """
    try:
        body = _decode(_BODY, data)
    except (ValueError, RecursionError):
        return _build_failure(errors.ErrorKind.CONNECTION_LOST, True)
    if body.request_id != run_id:
        return _build_failure(errors.ErrorKind.CONNECTION_LOST, True)
    if code == 200:
        return RunResult("ok", True, 0, body.snapshot, bytes(body.value))
    return RunResult(
        read_kind(body.kind),
        not body.not_run,
        min(max(0, body.retry_after_ms), MAX_RETRY_AFTER_MS),
        body.snapshot,
        bytes(body.value),
    )


def read_state(data: bytes) -> RunState:
    """Decode the answer to a probe; its kind becomes an `ErrorKind` value.

    Raises
    ------
    ValueError or RecursionError
    """
    state = _decode(_STATE, data)
    if state.result is not None and state.result.kind:
        state.result.kind = read_kind(state.result.kind)
    return state


def _decode(decoder, data):
    # The decoder does not look into strings of values that it leaves raw.
    data.decode()
    return decoder.decode(data)


def read_kind(endpoint_kind: str) -> str:
    """Return the `ErrorKind` value for an error kind of an endpoint."""
    kind = _KIND_BY_ENDPOINT_KIND.get(
        endpoint_kind, errors.ErrorKind.CONNECTION_LOST
    )
    return kind.value


_KIND_BY_ENDPOINT_KIND = {
    "shed": errors.ErrorKind.OVERLOADED,
    "draining": errors.ErrorKind.DRAINING,
    "warming": errors.ErrorKind.NO_ENDPOINT,
    "snapshot_gone": errors.ErrorKind.SNAPSHOT_GONE,
    "deadline": errors.ErrorKind.DEADLINE,
    "cancelled": errors.ErrorKind.CANCELLED,
    "failed": errors.ErrorKind.ENDPOINT_FAILED,
}


def _read_failure(error) -> RunResult:
    if isinstance(error, _NOT_CONNECTED):
        return _build_failure(errors.ErrorKind.NO_ENDPOINT, False)
    return _build_failure(errors.ErrorKind.CONNECTION_LOST, True)


def _build_failure(kind, dispatched) -> RunResult:
    return RunResult(kind.value, dispatched, 0, 0, messages.EMPTY_VALUE)
