"""Stand-in for an endpoint of the platform.

It models the behaviour of endpoints: slots, a connection limit, the cost of a
new connection, zone delay, drain, cold start, shedding, cancellation,
deadlines, load reports that lag or lie, stragglers, connections that go
silent, snapshots and repartition. It counts overload and other events, so
that a test can check whether an endpoint was loaded beyond its limits, and
logs every command that ran.
"""

import json
import logging
import random
import time
import typing

import klein
import msgspec
import treq
import treq.client
from twisted.internet import defer
from twisted.internet import endpoints as internet_endpoints
from twisted.internet import task
from twisted.web import client as web_client
from twisted.web import http
from twisted.web import server

from chervilspindle.core import rows
from chervilspindle.tools import records

LOGGER = logging.getLogger(__name__)

ANNOUNCE_S = 1.0
ANNOUNCE_TIMEOUT_S = 0.8
MAX_RESULTS = 2000
RESTART_DELAY_S = 0.02  # lets the response be sent before the restart


class EndpointConfig(msgspec.Struct, frozen=True):
    """Configuration of one stand-in endpoint.

    `holdings` are rows (snapshot, low, high); times are in milliseconds.
    """

    endpoint: str
    service: str
    address: str
    zone: str
    slots: int = 2
    connections: int = 60
    holdings: tuple[rows.Holding, ...] = (rows.Holding(1, 0, rows.KEY_SPACE),)
    service_ms: float = 8.0
    connect_ms: float = 6.0
    zone_ms: float = 0.0
    cold_ms: float = 0.0
    straggler_share: float = 0.0
    straggler_ms: float = 200.0


class Run(typing.NamedTuple):
    """One request that is running."""

    run_id: str
    timer: object
    deferred: defer.Deferred


class Counts(msgspec.Struct):
    """Counters of one stand-in."""

    queries: int = 0
    commands: int = 0
    shed: int = 0
    cancelled: int = 0
    expired: int = 0
    max_running: int = 0
    over_slots: int = 0
    max_connections: int = 0
    refused_connections: int = 0
    new_connections: int = 0
    work_after_drain: int = 0
    last_work_after_drain_ms: float = 0.0


class Faults(msgspec.Struct):
    """Faults that are switched on.

    Parameters
    ----------
    extra_ms : float
        Added to each service time.
    straggler_share, straggler_ms : float
        Override the configured ones if not negative.
    in_use : int
        Reported in place of the true load, if not negative.
    report_lag_s : float
        Age of the load that is reported.
    shed_share : float
        Share of the requests that are shed.
    fail_commands : bool
        Commands run but answer 500.
    mute : bool
        No announcements are sent periodically.
    """

    extra_ms: float = 0.0
    straggler_share: float = -1.0
    straggler_ms: float = -1.0
    in_use: int = -1
    report_lag_s: float = 0.0
    shed_share: float = 0.0
    fail_commands: bool = False
    mute: bool = False


class Channel(http.HTTPChannel):
    """A connection that can be made to drop data silently."""

    silent = False
    served = 0

    def dataReceived(self, data):
        """Discard data that arrives on a silent connection."""
        if not self.silent:
            super().dataReceived(data)

    def connectionLost(self, reason):
        """Remove the connection from the site."""
        self.factory.remove_channel(self)
        super().connectionLost(reason)


class CountingSite(server.Site):
    """Site that enforces a connection limit."""

    def __init__(self, resource, endpoint):
        super().__init__(resource, timeout=None)
        self.endpoint = endpoint
        self.channels = set()
        self.displayTracebacks = False

    def buildProtocol(self, addr):
        """Accept a connection, or refuse it over the limit."""
        counts = self.endpoint.counts
        if len(self.channels) >= self.endpoint.config.connections:
            counts.refused_connections += 1
            return None
        channel = Channel()
        channel.factory = self
        channel.requestFactory = self.requestFactory
        channel.site = self
        channel.timeOut = None
        self.channels.add(channel)
        counts.new_connections += 1
        counts.max_connections = max(
            counts.max_connections, len(self.channels)
        )
        return channel

    def remove_channel(self, channel):
        """Stop counting a closed connection towards the limit."""
        self.channels.discard(channel)


class StandIn:
    """One endpoint.

    Parameters
    ----------
    reactor : IReactorTCP and IReactorTime
    config : EndpointConfig
    entries : sequence of str
        ``IP:PORT`` of entries to announce to, in turn.
    run_log : callable
        Called with a dict for every command that ran.
    seed : int
    """

    app = klein.Klein()

    def __init__(self, reactor, config, entries, run_log, seed=0):
        self.reactor = reactor
        self.config = config
        self.entries = list(entries)
        self.run_log = run_log
        self.random = random.Random(f"{seed}/{config.endpoint}")
        self.site = CountingSite(self.app.resource(), self)
        self.counts = Counts()
        self.faults = Faults()
        self.holdings = tuple(config.holdings)
        self.state = "ready"
        self.drained_at = 0.0
        self.incarnation = int(time.time() * 1000)
        self.sequence = 0
        self.run_by_id = {}
        self.result_by_id = {}
        self.load_history = []
        self.port = None
        self.announce_timer = None
        self.agent = treq.client.HTTPClient(
            web_client.Agent(
                reactor, pool=web_client.HTTPConnectionPool(reactor)
            )
        )

    @defer.inlineCallbacks
    def start(self):
        """Listen and start periodic announcements."""
        host, number = self.config.address.rsplit(":", 1)
        listener = internet_endpoints.TCP4ServerEndpoint(
            self.reactor, int(number), interface=host
        )
        self.port = yield listener.listen(self.site)
        if self.config.cold_ms:
            self.state = "warming"
            self.reactor.callLater(self.config.cold_ms / 1000, self._warm_up)
        delay = self.random.random() * ANNOUNCE_S / 4
        self.announce_timer = self.reactor.callLater(
            delay, self._announce_periodically
        )

    def stop(self):
        """Stop at once, as a crash would."""
        if self.announce_timer is not None and self.announce_timer.active():
            self.announce_timer.cancel()
        for channel in list(self.site.channels):
            channel.transport.abortConnection()
        return defer.maybeDeferred(self.port.stopListening)

    @defer.inlineCallbacks
    def restart(self, down_ms: float, cold_ms: float):
        """Stop abruptly, then start as a new incarnation that warms up."""
        yield self.stop()
        for run in list(self.run_by_id.values()):
            if run.timer.active():
                run.timer.cancel()
        self.run_by_id.clear()
        self.result_by_id.clear()
        yield task.deferLater(self.reactor, down_ms / 1000.0)
        self.incarnation = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.config = msgspec.structs.replace(self.config, cold_ms=cold_ms)
        yield self.start()

    def drain(self):
        """Announce that this endpoint is draining."""
        self.state = "draining"
        self.drained_at = self.reactor.seconds()
        self._announce()

    def silence(self):
        """Make all open connections silent; new connections still work."""
        for channel in self.site.channels:
            channel.silent = True

    def set_holdings(self, holdings):
        """Replace the snapshots and key ranges served, and announce them."""
        self.holdings = tuple(rows.Holding(*row) for row in holdings)
        self._announce()

    @app.route("/run", methods=["POST"])
    def run_query(self, request):
        """Run a query over one key range."""
        body = json.loads(request.content.read())
        self.counts.queries += 1
        return self._run(request, body, self._search)

    @app.route("/command", methods=["POST"])
    def run_command(self, request):
        """Run a non-idempotent request."""
        body = json.loads(request.content.read())
        self.counts.commands += 1
        return self._run(request, body, self._execute)

    @app.route("/run/<run_id>", methods=["DELETE"])
    def cancel(self, request, run_id):
        """Cancel a running request."""
        run = self.run_by_id.get(run_id)
        if run is None:
            return _reply(request, 404, {"state": "unknown"})
        self.counts.cancelled += 1
        run.timer.cancel()
        self._finish(run, 499, {"kind": "cancelled", "not_run": False})
        return _reply(request, 200, {"state": "cancelled"})

    @app.route("/run/<run_id>", methods=["GET"])
    def show_run(self, request, run_id):
        """Return the state of a request, and its result if finished."""
        if run_id in self.run_by_id:
            return _reply(request, 200, {"state": "running"})
        if run_id in self.result_by_id:
            result = self.result_by_id[run_id]
            return _reply(
                request, 200, {"state": "finished", "result": result}
            )
        return _reply(request, 200, {"state": "unknown"})

    @app.route("/stand-in", methods=["GET"])
    def show_counts(self, request):
        """Return the counts, for tests and experiments."""
        return _reply(
            request,
            200,
            {
                "endpoint": self.config.endpoint,
                "state": self.state,
                "running": len(self.run_by_id),
                **msgspec.to_builtins(self.counts),
            },
        )

    @app.route("/stand-in", methods=["POST"])
    def change(self, request):
        """Switch faults or change the state of the endpoint.

        ``faults`` (of `Faults`), ``drain``, ``silence``, ``holdings``, and
        ``restart``: milliseconds that it is down, after which it warms up for
        ``cold_ms``.
        """
        body = json.loads(request.content.read())
        if "faults" in body:
            self.faults = msgspec.convert(body["faults"], Faults)
        if body.get("drain"):
            self.drain()
        if body.get("silence"):
            self.silence()
        if "holdings" in body:
            self.set_holdings(body["holdings"])
        if "restart" in body:
            self.reactor.callLater(
                RESTART_DELAY_S,
                self.restart,
                float(body["restart"]),
                float(body.get("cold_ms", 0.0)),
            )
        return _reply(request, 200, {"changed": True})

    def _warm_up(self):
        self.state = "ready"
        self._announce()

    def _run(self, request, body, execute):
        run_id = body["request_id"]
        refusal = self._refuse(body)
        if refusal is not None:
            refusal = {"request_id": run_id, "not_run": True, **refusal}
            return _reply(request, 503, refusal)
        if self.state == "draining":
            self.counts.work_after_drain += 1
            elapsed_s = self.reactor.seconds() - self.drained_at
            self.counts.last_work_after_drain_ms = elapsed_s * 1000
        delay_ms = self._draw_delay_ms(request)
        limit_ms = float(request.getHeader("x-deadline-ms") or 1e9)
        deferred = defer.Deferred()
        if delay_ms > limit_ms:
            timer = self.reactor.callLater(
                limit_ms / 1000, self._expire, run_id
            )
        else:
            timer = self.reactor.callLater(
                delay_ms / 1000, self._complete, run_id, body, execute
            )
        self.run_by_id[run_id] = Run(run_id, timer, deferred)
        running = len(self.run_by_id)
        self.counts.max_running = max(self.counts.max_running, running)
        if running > self.config.slots:
            self.counts.over_slots += 1
        channel = request.channel
        deferred.addCallback(self._send_result, request, channel)
        return deferred

    def _refuse(self, body):
        if self.state == "warming":
            return {"kind": "warming"}
        snapshot = body.get("snapshot")
        if snapshot is not None and not any(
            h.snapshot == snapshot
            and h.low <= body["low"]
            and body["high"] <= h.high
            for h in self.holdings
        ):
            return {"kind": "snapshot_gone"}
        full = len(self.run_by_id) >= self.config.slots
        if full or self.random.random() < self.faults.shed_share:
            self.counts.shed += 1
            if full:
                self.counts.over_slots += 1
            return {"kind": "shed", "retry_after_ms": 50}
        return None

    def _draw_delay_ms(self, request):
        delay = self.random.expovariate(1.0) * self.config.service_ms * 0.5
        delay += self.config.service_ms * 0.5 + self.config.zone_ms
        delay += self.faults.extra_ms
        share = self.faults.straggler_share
        if share < 0:
            share = self.config.straggler_share
        length = self.faults.straggler_ms
        if length < 0:
            length = self.config.straggler_ms
        if self.random.random() < share:
            delay += length
        channel = request.channel
        if not channel.served:
            delay += self.config.connect_ms
        channel.served += 1
        return delay

    def _search(self, body):
        return records.search(
            self.config.service,
            body["snapshot"],
            body["low"],
            body["high"],
            body["query"],
        )

    def _execute(self, body):
        row = {
            "endpoint": self.config.endpoint,
            "service": self.config.service,
            "key": body["key"],
            "command": body["command"],
            "request_id": body["request_id"],
        }
        self.run_log(row)
        return {"key": body["key"], "applied": body["command"]}

    def _complete(self, run_id, body, execute):
        value = execute(body)
        result = {
            "request_id": run_id,
            "snapshot": body.get("snapshot", 0),
            "value": value,
        }
        status = 200
        if self.faults.fail_commands and "command" in body:
            status, result["kind"] = 500, "failed"
        self._finish(self.run_by_id[run_id], status, result)

    def _expire(self, run_id):
        self.counts.expired += 1
        run = self.run_by_id[run_id]
        self._finish(run, 504, {"kind": "deadline", "not_run": False})

    def _finish(self, run, status, result):
        del self.run_by_id[run.run_id]
        result.setdefault("request_id", run.run_id)
        self.result_by_id[run.run_id] = result
        if len(self.result_by_id) > MAX_RESULTS:
            del self.result_by_id[next(iter(self.result_by_id))]
        run.deferred.callback((status, result))

    def _send_result(self, outcome, request, channel):
        status, result = outcome
        if channel.silent:
            return defer.Deferred()
        return _reply(request, status, result)

    def _announce_periodically(self):
        self.announce_timer = self.reactor.callLater(
            ANNOUNCE_S, self._announce_periodically
        )
        if not self.faults.mute:
            self._announce()

    def _announce(self):
        self.sequence += 1
        self.entries = self.entries[1:] + self.entries[:1]
        body = {
            "endpoint": self.config.endpoint,
            "service": self.config.service,
            "address": self.config.address,
            "zone": self.config.zone,
            "slots": self.config.slots,
            "connections": self.config.connections,
            "state": self.state,
            "holdings": [list(row) for row in self.holdings],
            "incarnation": self.incarnation,
            "sequence": self.sequence,
            "in_use": self._report_load(),
        }
        deferred = self.agent.post(
            f"http://{self.entries[0]}/v1/announce",
            data=json.dumps(body).encode(),
            headers={"Content-Type": ["application/json"]},
            timeout=ANNOUNCE_TIMEOUT_S,
        )
        deferred.addCallback(treq.content)
        deferred.addErrback(lambda _: self._log_announce_failure())

    def _log_announce_failure(self):
        LOGGER.debug("announcement to an entry failed")

    def _report_load(self):
        if self.faults.in_use >= 0:
            return self.faults.in_use
        now = self.reactor.seconds()
        self.load_history.append((now, len(self.run_by_id)))
        self.load_history = self.load_history[-100:]
        due = now - self.faults.report_lag_s
        reported = self.load_history[0][1]
        for moment, running in self.load_history:
            if moment <= due:
                reported = running
        return reported


class RunLog:
    """Log of all commands that ran, kept in memory and in a file."""

    def __init__(self, path: str = ""):
        self.rows = []
        self.handle = open(path, "a", encoding="utf-8") if path else None

    def __call__(self, row):
        """Append one command that ran."""
        self.rows.append(row)
        if self.handle is not None:
            self.handle.write(json.dumps(row) + "\n")
            self.handle.flush()


def load_configs(path: str) -> list[EndpointConfig]:
    """Read a JSON file with a list of endpoints."""
    with open(path, "rb") as handle:
        return msgspec.json.decode(handle.read(), type=list[EndpointConfig])


def _reply(request, status, body):
    request.setResponseCode(status)
    request.setHeader("Content-Type", "application/json")
    return json.dumps(body).encode()
