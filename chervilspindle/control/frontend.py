"""What any control member does for callers of control, leader or not.

Announcements of endpoints and documents of operators go through the leader
and are acknowledged once they are committed. An announcement that tells
nothing new is acknowledged by the member itself. Members tell the leader
every so often which endpoints they heard, so that it notices those that
fell silent.
"""

import functools
import logging
import math
import zlib

from twisted.internet import defer

from chervilspindle.control import state as state_module
from chervilspindle.core import errors
from chervilspindle.core import logs
from chervilspindle.core import rows
from chervilspindle.wire import messages

LOGGER = logging.getLogger(__name__)

LEADER_CALL_S = 0.9  # callers wait for a second
REPORT_S = 0.5
SILENT_AFTER_MS = 10000.0  # several announcements, late ones included
LEAST_HEARD_SHARE = 0.5  # with fewer, the leader itself may be cut off
WATCHER_MEMORY_MS = 2500.0
MEMBER_MEMORY_MS = 5000.0
COUNT_AFTER_MS = 3000.0  # all members have reported to a new leader
# Most have by then. A list that lacks some relays serves queries; a count
# that lacks some VMs would let the others overdraw what they share.
RELAYS_AFTER_MS = 1000.0
# Bounds what lists of relays weigh in large deployments; a query needs a few
# for each of its groups.
RELAYS_PER_ZONE = 48
NO_RELAYS = messages.RelayList(0, ())


class ControlFrontend:
    """Serves endpoints, operators and watching entries at one member.

    Parameters
    ----------
    node : ControlNode
    network : PeerNetwork
    timers : TimerService
    read_clock : callable
        Monotonic milliseconds.
    """

    def __init__(self, node, network, timers, read_clock):
        self.node = node
        self.network = network
        self.read_clock = read_clock
        self.heard = set()
        # Rows (time, call) of entries.
        self.seen_by_watcher = {}
        self.totals = messages.MemberReportReply(0, 0)
        self.relay_list = NO_RELAYS
        # As the leader: rows (report, time) by member, times by endpoint.
        self.count_by_member = {}
        self.heard_ms_by_id = {}
        self.led_since_ms = math.inf
        node.leader_listeners.append(self._start_term)
        timers.subscribe("desk-report", REPORT_S, self._report)

    def announce(self, endpoint: rows.Endpoint) -> defer.Deferred:
        """Take in what an endpoint says of itself.

        Returns
        -------
        Deferred
            Fires with None once it is recorded for good, or was already.
        """
        known = self.node.tables.endpoint_by_id.get(endpoint.endpoint_id)
        self.heard.add(endpoint.endpoint_id)
        if known is not None:
            if not rows.is_newer(endpoint, known):
                return defer.succeed(None)
            if not rows.is_changed(endpoint, known):
                return defer.succeed(None)
        return self.call_leader(messages.AnnounceCall(endpoint))

    def withdraw(self, endpoint_id: str) -> defer.Deferred:
        """Record that an endpoint takes no more work, for good."""
        known = self.node.tables.endpoint_by_id.get(endpoint_id)
        if known is None or known.state == "gone":
            return defer.succeed(None)
        gone = known._replace(state="gone", sequence=rows.FINAL_SEQUENCE)
        return self.call_leader(messages.AnnounceCall(gone))

    def apply_document(self, document: rows.StoredDocument):
        """Put a checked document in force.

        Returns
        -------
        Deferred
            Fires with `DocumentReply` once it is committed.
        """
        return self.call_leader(messages.DocumentCall(document))

    def read_document(self):
        """Ask for the newest document.

        Returns
        -------
        Deferred
            Fires with the `StoredDocument`; fails if no member can be sure.
        """
        deferred = self.call_leader(messages.ReadDocumentCall())
        return deferred.addCallback(lambda reply: reply.document)

    def call_leader(self, message) -> defer.Deferred:
        """Ask the leader, which may be this member."""
        if self.node.is_leader():
            return defer.maybeDeferred(answer_call, message, self)
        address = self.node.find_leader_address()
        if address is None or address == self.node.address:
            return defer.fail(self.node.build_no_leader())
        deferred = self.network.call(address, message, LEADER_CALL_S)
        return deferred.addCallback(self._check_reply)

    def answer(self, message):
        """Answer a call of another member."""
        if not self.node.is_leader():
            return messages.NotLeader(self.node.get_leader_vm())
        return answer_call(message, self)

    def note_watcher(self, call: messages.WatchCall):
        """Take in that an entry watches this member."""
        self.seen_by_watcher[call.vm_id] = (self.read_clock(), call)

    def _check_reply(self, reply):
        if isinstance(reply, messages.NotLeader):
            raise self.node.build_no_leader()
        return reply

    def _start_term(self):
        now = self.read_clock()
        self.led_since_ms = now
        self.count_by_member = {}
        self.heard_ms_by_id = {}

    def _report(self):
        now = self.read_clock()
        for vm_id, (seen, _) in list(self.seen_by_watcher.items()):
            if now - seen > WATCHER_MEMORY_MS:
                del self.seen_by_watcher[vm_id]
        heard, self.heard = self.heard, set()
        calls = [call for _, call in self.seen_by_watcher.values()]
        found = [
            messages.Relay(c.vm_id, c.zone, c.relay_address)
            for c in calls
            if c.relay_address
        ]
        report = messages.MemberReport(
            self.node.identity.member_id,
            len(calls),
            sum(c.requests for c in calls),
            tuple(heard),
            select_relays(found),
            self.relay_list.mark,
        )
        deferred = self.call_leader(report)
        deferred.addCallbacks(
            self._take_count, self._report_failed, (), {}, (heard,)
        )
        if self.node.is_leader():
            self._expire(now)

    def _take_count(self, reply):
        self.totals = reply
        if reply.relays is not None:
            self.relay_list = reply.relays

    def _report_failed(self, failure, heard):
        failure.trap(errors.ProblemError)
        self.totals = messages.MemberReportReply(0, 0)
        # They are told with the next report, to the next leader.
        self.heard.update(heard)

    def take_report(self, report: messages.MemberReport):
        """As the leader, take in a member's report."""
        now = self.read_clock()
        self.count_by_member[report.member_id] = (report, now)
        for endpoint_id in report.heard:
            self.heard_ms_by_id[endpoint_id] = now
        led_ms = now - self.led_since_ms
        if led_ms < RELAYS_AFTER_MS:
            return messages.MemberReportReply(0, 0)
        fresh = [
            found
            for found, seen in self.count_by_member.values()
            if now - seen < MEMBER_MEMORY_MS
        ]
        found = build_relay_list([r for f in fresh for r in f.relays])
        counted = fresh if led_ms >= COUNT_AFTER_MS else ()
        return messages.MemberReportReply(
            sum(r.watchers for r in counted),
            sum(r.requests for r in counted),
            None if found.mark == report.known_relays else found,
        )

    def _expire(self, now):
        """Record endpoints as lost that no member has heard for long."""
        limit = now - SILENT_AFTER_MS
        usable = [
            e
            for e in self.node.tables.endpoint_by_id.values()
            if e.state not in ("lost", "gone")
        ]
        silent = []
        for endpoint in usable:
            heard = self.heard_ms_by_id.setdefault(endpoint.endpoint_id, now)
            if heard < limit:
                silent.append(endpoint)
        if len(silent) > len(usable) * (1.0 - LEAST_HEARD_SHARE):
            return
        if not silent:
            return
        for endpoint in silent:
            logs.log_decision(
                "endpoint-silent",
                endpoint=endpoint.endpoint_id,
                service=endpoint.service,
                silent_ms=round(
                    now - self.heard_ms_by_id[endpoint.endpoint_id]
                ),
            )
        lost = tuple(
            e._replace(state="lost", sequence=e.sequence + 1) for e in silent
        )
        command = state_module.ReportEndpoints(lost, logs.read_wall_ms())
        self.node.propose(command).addErrback(_log_unless_problem)


def select_relays(relays) -> tuple[messages.Relay, ...]:
    """Return each relay once, and so many of a zone at most.

    Which of them stay depends on each relay by itself, so that one that
    comes or goes moves no other.
    """
    relay_by_id = {r.vm_id: r for r in relays}
    ranked = sorted(
        relay_by_id.values(), key=lambda r: zlib.crc32(r.vm_id.encode())
    )
    found = []
    count_by_zone = {}
    for relay in ranked:
        count = count_by_zone.get(relay.zone, 0)
        if count < RELAYS_PER_ZONE:
            found.append(relay)
            count_by_zone[relay.zone] = count + 1
    return tuple(found)


def build_relay_list(relays) -> messages.RelayList:
    """Return the list of relays and its mark, which is never 0."""
    found = select_relays(relays)
    text = " ".join("/".join(relay) for relay in found)
    return messages.RelayList(zlib.crc32(text.encode()) or 1, found)


@functools.singledispatch
def answer_call(message, frontend: ControlFrontend):
    """As the leader, answer one call of a member."""
    raise TypeError(f"not a call of the desk: {type(message).__name__}")


@answer_call.register
def _answer_announce(
    message: messages.AnnounceCall, frontend: ControlFrontend
):
    frontend.heard_ms_by_id[message.endpoint.endpoint_id] = (
        frontend.read_clock()
    )
    command = state_module.ReportEndpoints(
        (message.endpoint,), logs.read_wall_ms()
    )
    deferred = frontend.node.propose(command)
    endpoint = message.endpoint
    logs.log_decision(
        "endpoint-announced",
        endpoint=endpoint.endpoint_id,
        service=endpoint.service,
        state=endpoint.state,
        incarnation=endpoint.incarnation,
        sequence=endpoint.sequence,
    )
    return deferred.addCallback(lambda _: messages.Done())


@answer_call.register
def _answer_document(
    message: messages.DocumentCall, frontend: ControlFrontend
):
    deferred = frontend.node.propose(
        state_module.ApplyDocument(message.document)
    )
    return deferred.addCallback(
        lambda result: messages.DocumentReply(result.current_version)
    )


@answer_call.register
def _answer_read(
    message: messages.ReadDocumentCall, frontend: ControlFrontend
):
    return messages.ReadDocumentReply(frontend.node.tables.document)


@answer_call.register
def _answer_report(message: messages.MemberReport, frontend: ControlFrontend):
    return frontend.take_report(message)


def _log_unless_problem(failure):
    failure.trap(errors.ProblemError)
    LOGGER.warning("endpoints not recorded", extra={"why": str(failure.value)})
