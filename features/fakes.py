"""Fakes of the interfaces of one process: time, transport, endpoints."""

import itertools
import json
import typing

from twisted.internet import defer

from chervilspindle.core import errors
from chervilspindle.core import rows
from chervilspindle.wire import endpoint_client
from chervilspindle.wire import messages

SILENCE_S = 2.0
SERVICE_S = 0.008
ANNOUNCE_S = 1.0
COLD_S = 1.5


class Process:
    """One process: its own view of time, alive, frozen or killed."""

    def __init__(self, world, name, skew_ms):
        self.world = world
        self.name = name
        self.skew_ms = skew_ms
        self.frozen = False
        self.killed = False
        self.backlog = []
        self.started_s = world.clock.seconds()

    def seconds(self):
        """Return the time on this process's clock, in seconds."""
        return self.world.clock.seconds() + self.skew_ms / 1000.0

    def read_clock(self):
        """Return the time on this process's clock, in ms."""
        return self.seconds() * 1000.0

    def callLater(self, delay_s, function, *args):
        """Run a function later, unless killed by then."""
        return DelayedCall(self, delay_s, function, args)

    def run(self, function):
        """Run a function now, or when the process thaws."""
        if self.killed:
            return
        if self.frozen:
            self.backlog.append(function)
        else:
            function()

    def thaw(self):
        """Wake up and run what has come due."""
        self.frozen = False
        backlog, self.backlog = self.backlog, []
        for function in backlog:
            self.run(function)


class DelayedCall:
    """A timer of one process."""

    def __init__(self, process, delay_s, function, args):
        self.done = False
        self.process = process
        self.function = function
        self.args = args
        process.world.clock.callLater(delay_s, self._due)

    def active(self):
        """Tell whether the call is still to come."""
        return not self.done

    def cancel(self):
        """Drop the call."""
        self.done = True

    def _due(self):
        if not self.done:
            self.process.run(self._run)

    def _run(self):
        if not self.done:
            self.done = True
            self.function(*self.args)


class Network:
    """The `PeerNetwork` of one process, over the world's transport."""

    def __init__(self, world, process, address):
        self.world = world
        self.process = process
        self.address = address
        self.handler = None
        self.lost_listeners = []
        self.pending = {}
        self.numbers = itertools.count()

    def send(self, address, message):
        """Send a one-way message."""
        self.world.transmit(
            self,
            address,
            message,
            lambda target, copy: target.receive(self, copy),
            lambda: self.lose(address),
        )

    def call(self, address, message, timeout_s):
        """Send a message and wait for the reply."""
        number = next(self.numbers)
        deferred = defer.Deferred()
        timeout = self.process.callLater(
            timeout_s, self._fail, number, "timeout", False
        )
        self.pending[number] = (address, deferred, timeout)
        self.world.transmit(
            self,
            address,
            message,
            lambda target, copy: target.receive_call(self, number, copy),
            lambda: self._fail(number, "refused", True),
        )
        return deferred

    def receive(self, source, message):
        """Handle a one-way message."""
        self.handler(ReplyTarget(self, source), message)

    def receive_call(self, source, number, message):
        """Handle a call and send back the reply."""
        deferred = defer.maybeDeferred(
            self.handler, ReplyTarget(self, source), message
        )
        deferred.addErrback(_convert_failure)
        deferred.addCallback(self._send_reply, source, number)

    def lose(self, address):
        """Lose the link to an address."""
        for number, row in list(self.pending.items()):
            if row[0] == address:
                self._fail(number, "link lost", False)
        for listener in self.lost_listeners:
            listener(address)

    def _send_reply(self, reply, source, number):
        if reply is not None:
            self.world.transmit(
                self,
                source.address,
                reply,
                lambda target, copy: target.resolve(number, copy),
                lambda: None,
            )

    def resolve(self, number, reply):
        """Take the reply of a call."""
        row = self.pending.pop(number, None)
        if row is None:
            return
        row[2].cancel()
        if isinstance(reply, messages.ProblemReply):
            problem = messages.read_problem(reply)
            row[1].errback(errors.ProblemError(problem))
        else:
            row[1].callback(reply)

    def _fail(self, number, detail, not_run):
        row = self.pending.pop(number, None)
        if row is not None:
            row[2].cancel()
            row[1].errback(
                errors.build_error(
                    errors.ErrorKind.CONNECTION_LOST, detail, not_run=not_run
                )
            )


class ReplyTarget(typing.NamedTuple):
    """Where an owner sends its replies."""

    network: Network
    source: Network

    def send(self, message):
        """Send one message back."""
        self.network.send(self.source.address, message)


def _convert_failure(failure):
    if failure.check(errors.ProblemError):
        return messages.build_problem_reply(failure.value.problem)
    raise failure.value


class Endpoint:
    """A stand-in endpoint with slots, snapshots and a log of what ran."""

    def __init__(self, world, name, service, address, slots=2):
        self.world = world
        self.name = name
        self.service = service
        self.address = address
        self.slots = slots
        self.state = "ready"
        self.holdings = [rows.Holding(1, 0, rows.KEY_SPACE)]
        self.incarnation = world.read_wall_ms()
        self.sequence = 0
        self.running = {}
        self.over_slots = 0
        self.ran = []
        self.commands = []
        self.drained_at = None
        self.work_after_drain = []
        self.alive = True
        self.service_s = SERVICE_S
        self.process = Process(world, name, 0.0)
        self.process.callLater(0.01, self.announce_again)

    def announce_again(self):
        """Announce every second."""
        self.process.callLater(ANNOUNCE_S, self.announce_again)
        self.announce()

    def announce(self):
        """Announce to the next entry that accepts a connection."""
        self.sequence += 1
        row = rows.Endpoint(
            self.name,
            self.service,
            self.address,
            "zone-a",
            self.slots,
            60,
            self.state,
            tuple(self.holdings),
            self.incarnation,
            self.sequence,
        )
        entries = [m for m in self.world.entries() if not m.process.killed]
        if not entries:
            return
        member = entries[self.sequence % len(entries)]
        in_use = len(self.running)
        self.world.act(
            "Announce",
            (self.name, member.name),
            lambda: member.process.run(
                lambda: member.entry.handle_announcement(row, in_use)
            ),
        )

    def crash(self):
        """End at once; what runs gets no answer."""
        self.alive = False
        self.process.killed = True
        running, self.running = self.running, {}
        for done in running.values():
            done(_LOST)

    def restart(self):
        """Start again as a new incarnation, cold at first."""
        self.alive = True
        self.incarnation = self.world.read_wall_ms()
        self.sequence = 0
        self.state = "warming"
        self.drained_at = None
        self.process = Process(self.world, self.name, 0.0)
        self.process.callLater(0.01, self.announce_again)
        self.process.callLater(COLD_S, self.warm_up)

    def warm_up(self):
        """Take work from now on, unless it leaves already."""
        if self.state == "warming":
            self.state = "ready"
            self.announce()

    def drain(self):
        """Announce that this endpoint leaves."""
        self.state = "draining"
        self.drained_at = self.world.clock.seconds()
        self.announce()

    def start_run(self, run_id, body, execute, done, sent_s):
        """Run a request that was sent at `sent_s`, or refuse it."""
        if run_id in self.running:
            return
        refusal = self._refuse(body)
        if refusal:
            done(endpoint_client.RunResult(refusal, False, 0, 0, b"null"))
            return
        if self.drained_at is not None:
            late = sent_s - self.drained_at
            self.work_after_drain.append(late)
        self.running[run_id] = done
        self.ran.append(run_id)
        execute()
        self.process.callLater(self.service_s, self._end, run_id, body)

    def _refuse(self, body):
        if self.state == "warming":
            return "no_endpoint"
        snapshot = body.get("snapshot")
        if snapshot is not None and not any(
            h.snapshot == snapshot
            and h.low <= body["low"]
            and body["high"] <= h.high
            for h in self.holdings
        ):
            return "snapshot_gone"
        if len(self.running) >= self.slots:
            self.over_slots += 1
            return "overloaded"
        return ""

    def _end(self, run_id, body):
        done = self.running.pop(run_id, None)
        if done is None:
            return
        value = {
            "service": self.service,
            "low": body.get("low"),
            "high": body.get("high"),
            "snapshot": body.get("snapshot", 0),
            "nonce": body["query"].get("nonce"),
        }
        done(
            endpoint_client.RunResult(
                "ok",
                True,
                0,
                body.get("snapshot", 0),
                json.dumps(value).encode(),
            )
        )

    def find_state(self, run_id):
        """Return what became of a run."""
        if run_id in self.running:
            return "running"
        return "finished" if run_id in self.ran else "unknown"

    def cancel(self, run_id):
        """End a run."""
        done = self.running.pop(run_id, None)
        if done is not None:
            done(endpoint_client.RunResult("cancelled", True, 0, 0, b"null"))


class Client:
    """The endpoint client of one entry process."""

    def __init__(self, world, process, address):
        self.world = world
        self.process = process
        self.endpoint = world.endpoint_by_address[address]

    def run_query(self, run_id, query, snapshot, low, high, deadline_ms):
        """Run one part."""
        body = {
            "snapshot": snapshot,
            "low": low,
            "high": high,
            "query": json.loads(query),
        }
        return self._run("EndpointQuery", run_id, body, lambda: None)

    def run_command(self, run_id, key, command, deadline_ms):
        """Run a command once."""
        body = {"query": json.loads(command)}
        log = self.endpoint.commands
        return self._run(
            "EndpointCommand",
            run_id,
            body,
            lambda: log.append((key, body["query"]["nonce"], run_id)),
        )

    def cancel(self, run_id):
        """Ask the endpoint to end a run."""
        self.world.act(
            "EndpointCancel",
            (self.process.name, self.endpoint.name),
            lambda: self.endpoint.process.run(
                lambda: self.endpoint.cancel(run_id)
            ),
        )

    def probe(self, run_id):
        """Ask what became of a run."""
        deferred = defer.Deferred()
        timeout = self.process.callLater(0.15, deferred.callback, None)

        def finish(state):
            if timeout.active():
                timeout.cancel()
                deferred.callback(state)

        def ask():
            state = endpoint_client.RunState(self.endpoint.find_state(run_id))
            self.world.act(
                "EndpointProbeReply",
                (self.endpoint.name, self.process.name),
                lambda: self.process.run(lambda: finish(state)),
            )

        self.world.act(
            "EndpointProbe",
            (self.process.name, self.endpoint.name),
            lambda: self.endpoint.process.run(ask),
        )
        return deferred

    def close(self):
        """Close idle connections."""

    def _run(self, step, run_id, body, execute):
        deferred = defer.Deferred(lambda d: d.callback(_LOST))
        sent_s = self.world.clock.seconds()

        def answer(result):
            self.world.act(
                f"{step}Reply",
                (self.endpoint.name, self.process.name),
                lambda: self.process.run(lambda: finish(result)),
            )

        def finish(result):
            if not deferred.called:
                deferred.callback(result)

        def start():
            if deferred.called:
                # The owner has aborted the connection: its kernel sends
                # nothing again that the endpoint has not received.
                return
            if not self.endpoint.alive:
                refused = endpoint_client.RunResult(
                    "no_endpoint", False, 0, 0, b"null"
                )
                self.process.run(lambda: finish(refused))
                return
            self.endpoint.process.run(
                lambda: self.endpoint.start_run(
                    run_id, body, execute, answer, sent_s
                )
            )

        self.world.act(step, (self.process.name, self.endpoint.name), start)
        return deferred


_LOST = endpoint_client.RunResult("connection_lost", True, 0, 0, b"null")
