"""HTTP client of one endpoint, over persistent connections.

Requests to run are sent with the Twisted agent that treq wraps: treq's
handling of URLs, cookies and redirects took a quarter of the time of a request
and is not needed. The HTTP library never retries requests: only the callers of
this module decide whether a request may run again.
"""

import typing

import hyperlink
import msgspec
import treq.client
from twisted.internet import defer
from twisted.internet import endpoints
from twisted.internet import error as internet_error
from twisted.web import client as web_client
from twisted.web import http_headers
from twisted.web import iweb
import zope.interface

from chervilspindle.core import errors
from chervilspindle.wire import messages

CONNECT_TIMEOUT_S = 1.0
IDLE_CONNECTION_S = 20.0
PROBE_TIMEOUT_S = 0.15

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
    """Connects to IP addresses without name resolution."""

    def __init__(self, reactor):
        self.reactor = reactor

    def endpointForURI(self, uri):
        """Return the TCP endpoint of a URI."""
        return endpoints.TCP4ClientEndpoint(
            self.reactor,
            uri.host.decode(),
            uri.port,
            timeout=CONNECT_TIMEOUT_S,
        )


@zope.interface.implementer(iweb.IBodyProducer)
class BytesProducer:
    """Writes the body of a request in one call.

    Parameters
    ----------
    body : bytes
    """

    def __init__(self, body: bytes):
        self.body = body
        self.length = len(body)

    def startProducing(self, consumer):
        """Write the whole body."""
        consumer.write(self.body)
        return defer.succeed(None)

    def pauseProducing(self):
        """Do nothing: all is written."""

    def resumeProducing(self):
        """Do nothing: all is written."""

    def stopProducing(self):
        """Do nothing: all is written."""


class EndpointClient:
    """Connections to one endpoint.

    Parameters
    ----------
    reactor : IReactorTCP and IReactorTime
    address : str
        ``IP:PORT``.
    connections : int
        Maximum number of persistent connections.
    """

    def __init__(self, reactor, address: str, connections: int):
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
        self.agent = self._build_agent(self.pool)
        self.persistent_client = treq.client.HTTPClient(self.agent)
        # Probes use new connections, since a middlebox may silently have
        # dropped the state of an existing one.
        self.probe_client = treq.client.HTTPClient(
            self._build_agent(
                web_client.HTTPConnectionPool(reactor, persistent=False)
            )
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
            "query": msgspec.Raw(query),
        }
        return self._run("run", run_id, body, deadline_ms)

    def run_command(self, run_id, key, command, deadline_ms):
        """Send one non-idempotent request, without retries."""
        body = {
            "request_id": run_id,
            "key": key,
            "command": msgspec.Raw(command),
        }
        return self._run("command", run_id, body, deadline_ms)

    @defer.inlineCallbacks
    def cancel(self, run_id: str):
        """Ask the endpoint to cancel a request; failures are ignored."""
        try:
            response = yield self.persistent_client.delete(
                self._build_run_url(run_id)
            )
            yield treq.content(response)
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
        request = self.probe_client.get(self._build_run_url(run_id))
        request.addTimeout(PROBE_TIMEOUT_S, self.reactor)
        try:
            response = yield request
            data = yield treq.content(response)
            return read_state(data)
        except Exception:
            return None

    def close(self):
        """Close idle connections."""
        self.pool.closeCachedConnections()

    def _build_run_url(self, run_id):
        return self.base.child("run", run_id)

    def _build_agent(self, pool):
        return web_client.Agent.usingEndpointFactory(
            self.reactor, Dialler(self.reactor), pool
        )

    @defer.inlineCallbacks
    def _run(self, path, run_id, body, deadline_ms):
        headers = http_headers.Headers(
            {
                b"Content-Type": [b"application/json"],
                b"X-Request-Id": [run_id.encode()],
                b"X-Deadline-Ms": [b"%d" % max(1, deadline_ms)],
            }
        )
        producer = BytesProducer(_ENCODER.encode(body))
        try:
            response = yield self.agent.request(
                b"POST", self.url_by_path[path], headers, producer
            )
            data = yield treq.content(response)
        except Exception as error:
            return _read_failure(error)
        return read_answer(response.code, data, run_id)


def read_answer(code: int, data: bytes, run_id: str) -> RunResult:
    """Decode an HTTP response into a result.

    A response that names another request counts as a lost connection.
    """
    try:
        body = _BODY.decode(data)
    except msgspec.MsgspecError:
        return _build_failure(errors.ErrorKind.CONNECTION_LOST, True)
    if body.request_id != run_id:
        return _build_failure(errors.ErrorKind.CONNECTION_LOST, True)
    if code == 200:
        return RunResult("ok", True, 0, body.snapshot, bytes(body.value))
    return RunResult(
        read_kind(body.kind),
        not body.not_run,
        body.retry_after_ms,
        body.snapshot,
        bytes(body.value),
    )


def read_state(data: bytes) -> RunState:
    """Decode the answer to a probe; its kind becomes an `ErrorKind` value.

    Raises
    ------
    msgspec.MsgspecError
    """
    state = _STATE.decode(data)
    if state.result is not None and state.result.kind:
        state.result.kind = read_kind(state.result.kind)
    return state


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
