"""Serves endpoints, operators and entry processes at any control member.

Announcements of endpoints and routing documents of operators are forwarded to
the leader and acknowledged once they are committed. A control member
acknowledges an announcement without changes by itself. Members periodically
report to the leader which endpoints announced themselves, so that the leader
can mark endpoints as lost that no member has heard from. An entry is the
process on a VM that accepts callers' requests.
"""

import functools
import logging
import math
import typing
import zlib

from twisted.internet import defer

from chervilspindle.control import evacuations
from chervilspindle.control import locality
from chervilspindle.control import member_versions
from chervilspindle.control import state as state_module
from chervilspindle.core import endpoint_checks
from chervilspindle.core import errors
from chervilspindle.core import logs
from chervilspindle.core import rows
from chervilspindle.policy import crash_trials
from chervilspindle.wire import messages
from chervilspindle.wire import versions

LOGGER = logging.getLogger(__name__)

LEADER_CALL_TIMEOUT_S = 0.9  # below the callers' timeout of 1 s
# Longer than an election. A member that has not reached a leader for so long
# can't report the endpoints that it hears.
LEADER_SILENCE_MS = 2500.0
# Announcements of one cold time differ by the time that they travel.
COLD_TOLERANCE_MS = 500.0
REPORT_PERIOD_S = 0.5
ENDPOINT_TIMEOUT_MS = 10000.0  # several announcements, late ones included
# If a smaller share of the endpoints announces itself, the leader itself may
# be cut off, so it records none as lost.
MIN_ANNOUNCED_SHARE = 0.5
FORGET_PERIOD_MS = 60000.0
WATCHER_TIMEOUT_MS = 2500.0
MEMBER_REPORT_TIMEOUT_MS = 5000.0
COUNT_DELAY_MS = 3000.0  # all members have reported to a new leader by then
# Most members have reported to a new leader by then. A partial list of relays
# still serves queries, whereas a count that lacks some VMs would let the
# others exceed the limits that all VMs share.
RELAY_LIST_DELAY_MS = 1000.0
# Limits the size of relay lists in large deployments; a query needs only a
# few relays for each of its shard groups.
MAX_RELAYS_PER_ZONE = 48
EMPTY_RELAY_LIST = messages.RelayList(0, ())


class ServiceNames(typing.NamedTuple):
    """Services that the document of a version names, None if not known."""

    version: int
    names: frozenset[str] | None


class ControlFrontend:
    """Handles calls of endpoints, operators and watching entries.

    Parameters
    ----------
    node : ControlNode
    network : PeerNetwork
    timers : TimerService
    read_clock : callable
        Monotonic milliseconds.
    place : messages.MemberPlace or None
        Where this member serves; None if callers are not to be told.
    folder : str
        Where versions of members are kept; empty to keep none.
    read_service_names : callable or None
        ``read_service_names(data)`` returns the services that a stored
        document names, or raises ValueError.
    """

    def __init__(
        self,
        node,
        network,
        timers,
        read_clock,
        place=None,
        folder="",
        read_service_names=None,
    ):
        self.place = place
        self.folder = folder
        self.read_service_names = read_service_names
        self.stored_versions = {}
        if folder:
            self.stored_versions = member_versions.load(folder)
            network.record_versions(self.stored_versions.items())
        self.place_table = locality.EMPTY_TABLE
        self.leader_reply_ms = -math.inf
        self.node = node
        self.network = network
        self.read_clock = read_clock
        # Endpoints that announced themselves here since the last report.
        self.announced_ids = set()
        # When endpoints that announced themselves here as cold will be warm.
        self.cold_end_ms_by_id = {}
        # Time and WatchCall of the latest call by VM id of the entry.
        self.last_watch_by_vm = {}
        self.totals = messages.MemberReportReply(0, 0)
        self.relay_list = EMPTY_RELAY_LIST
        # Used by the leader only: latest MemberReport and its time by member,
        # and time of the latest announcement by endpoint.
        self.last_report_by_member = {}
        self.last_announced_ms_by_id = {}
        # Contents whose trial is being committed.
        self.starting_trials = set()
        self.trial_history = crash_trials.TrialHistory()
        self.elected_ms = math.inf
        self.next_forget_ms = -math.inf
        self.service_names = ServiceNames(-1, None)
        node.leader_listeners.append(self._on_elected)
        timers.subscribe("member-report", REPORT_PERIOD_S, self._send_report)

    def announce(self, endpoint: rows.Endpoint) -> defer.Deferred:
        """Record the announcement of an endpoint.

        Returns
        -------
        Deferred
            Fires with None once the announcement is committed, or at once if
            it is outdated or changes nothing. Fails if no leader can be
            reached, so that the endpoint announces itself to another member.
        """
        stored = self.node.tables.endpoint_by_id.get(endpoint.endpoint_id)
        self.announced_ids.add(endpoint.endpoint_id)
        cold_end_ms = self.read_clock() + endpoint.cold_left_ms
        is_cold_again = self._is_cold_again(endpoint, cold_end_ms)
        if stored is not None and self._is_leader_in_reach():
            if not rows.is_newer(endpoint, stored):
                return defer.succeed(None)
            if not rows.is_changed(endpoint, stored) and not is_cold_again:
                return defer.succeed(None)
        deferred = self.call_leader(messages.AnnounceCall(endpoint))
        if is_cold_again:
            deferred.addCallback(
                self._record_cold_end, endpoint.endpoint_id, cold_end_ms
            )
        return deferred

    def _is_cold_again(self, endpoint, end_ms) -> bool:
        """Tell whether an endpoint stays cold for longer than it said here.

        The tables have the time of its first announcement as cold, since the
        time that is left differs in each.
        """
        endpoint_id = endpoint.endpoint_id
        if not endpoint.cold_left_ms:
            self.cold_end_ms_by_id.pop(endpoint_id, None)
            return False
        known_ms = self.cold_end_ms_by_id.get(endpoint_id)
        if known_ms is None:
            self._record_cold_end(None, endpoint_id, end_ms)
            return False
        return end_ms > known_ms + COLD_TOLERANCE_MS

    def _record_cold_end(self, result, endpoint_id, end_ms):
        now = self.read_clock()
        self.cold_end_ms_by_id = {
            known_id: known_ms
            for known_id, known_ms in self.cold_end_ms_by_id.items()
            if known_ms > now
        }
        self.cold_end_ms_by_id[endpoint_id] = end_ms
        return result

    def find_nearby_address(self, endpoint: rows.Endpoint) -> str:
        """Return the control address that an endpoint should announce to.

        Empty if no member is known in its zone.
        """
        return locality.choose_control_address(
            self.place_table.places, endpoint.zone, endpoint.endpoint_id
        )

    def list_nearby(self, zone: str) -> tuple[str, ...]:
        """Return the peer addresses of the members in a zone."""
        return locality.list_peer_addresses(self.place_table.places, zone)

    def _is_leader_in_reach(self) -> bool:
        silent_ms = self.read_clock() - self.leader_reply_ms
        return self.node.is_leader() or silent_ms < LEADER_SILENCE_MS

    def withdraw(self, endpoint_id: str) -> defer.Deferred:
        """Record that an endpoint has left and accepts no more work.

        Only a new incarnation of the endpoint can announce itself again.

        Returns
        -------
        Deferred
            Fires once the change is committed, or at once if the endpoint is
            unknown or has left already.
        """
        stored = self.node.tables.endpoint_by_id.get(endpoint_id)
        if stored is None or stored.state == "gone":
            return defer.succeed(None)
        withdrawn = stored._replace(state="gone", sequence=rows.FINAL_SEQUENCE)
        return self.call_leader(messages.AnnounceCall(withdrawn))

    def apply_document(self, document: rows.StoredDocument):
        """Store a validated routing document.

        Returns
        -------
        Deferred
            Fires with `DocumentReply` once it is committed.
        """
        return self.call_leader(messages.DocumentCall(document))

    def read_document(self):
        """Read the latest routing document from the leader.

        Returns
        -------
        Deferred
            Fires with the `StoredDocument`; fails if no leader answers.
        """
        held = self.node.tables.document
        deferred = self.call_leader(messages.ReadDocumentCall(held.version))

        def choose(reply):
            is_held = reply.document.version == held.version
            return held if is_held else reply.document

        return deferred.addCallback(choose)

    def set_evacuated(self, zone: str, evacuated: bool) -> defer.Deferred:
        """Begin or end the evacuation of a zone.

        Returns
        -------
        Deferred
            Fires with `EvacuationReply` once it is committed.
        """
        return self.call_leader(messages.EvacuationCall(zone, evacuated))

    def list_evacuations(self) -> defer.Deferred:
        """Read the evacuated zones from the leader.

        Returns
        -------
        Deferred
            Fires with `ListEvacuationsReply`.
        """
        return self.call_leader(messages.ListEvacuationsCall())

    def is_zone_known(self, zone: str) -> bool:
        """Tell whether an endpoint, a member or a relay is in a zone."""
        places = list(self.place_table.places)
        if self.place is not None:
            places.append(self.place)
        return (
            evacuations.is_known(self.node.tables, zone)
            or any(place.zone == zone for place in places)
            or any(r.zone == zone for r in self.relay_list.relays)
        )

    def call_leader(self, message) -> defer.Deferred:
        """Send a call to the leader, which may be this member."""
        if self.node.is_leader():
            return defer.maybeDeferred(handle_leader_call, message, self)
        address = self.node.find_leader_address()
        if address is None or address == self.node.address:
            return defer.fail(self.node.build_no_leader_error())
        deferred = self.network.call(address, message, LEADER_CALL_TIMEOUT_S)
        return deferred.addCallback(self._check_reply)

    def report_crash(self, report: messages.CrashReport) -> defer.Deferred:
        """Pass on to the leader what an entry reports about a request."""
        return self.call_leader(messages.CrashCall(report))

    def request_trial(self, request: messages.TrialRequest) -> defer.Deferred:
        """Pass on to the leader that an entry asks for a trial."""
        return self.call_leader(messages.TrialCall(request))

    def answer(self, message):
        """Answer a call of another member; if not the leader, name its VM."""
        if not self.node.is_leader():
            return messages.NotLeader(self.node.get_leader_vm())
        return handle_leader_call(message, self)

    def record_watcher(self, call: messages.WatchCall):
        """Record that an entry watches this member."""
        self.last_watch_by_vm[call.vm_id] = (self.read_clock(), call)

    def _check_reply(self, reply):
        if isinstance(reply, messages.NotLeader):
            raise self.node.build_no_leader_error()
        return reply

    def _on_elected(self):
        now = self.read_clock()
        self.elected_ms = now
        self.last_report_by_member = {}
        self.last_announced_ms_by_id = {}

    def _send_report(self):
        now = self.read_clock()
        for vm_id, (called_ms, _) in list(self.last_watch_by_vm.items()):
            if now - called_ms > WATCHER_TIMEOUT_MS:
                del self.last_watch_by_vm[vm_id]
        announced_ids, self.announced_ids = self.announced_ids, set()
        calls = [call for _, call in self.last_watch_by_vm.values()]
        relays = [
            messages.Relay(c.vm_id, c.zone, c.relay_address)
            for c in calls
            if c.relay_address
        ]
        report = messages.MemberReport(
            self.node.identity.member_id,
            len(calls),
            sum(c.requests for c in calls),
            tuple(announced_ids),
            select_relays(relays),
            self.relay_list.mark,
            self.place,
            self.place_table.mark,
        )
        deferred = self.call_leader(report)
        deferred.addCallbacks(
            self._on_report_reply,
            self._on_report_failed,
            (),
            {},
            (announced_ids,),
        )
        if self.node.is_leader():
            self._expire_endpoints(now)
            self._forget_endpoints(now)
        if self.folder:
            self._store_versions()

    def _store_versions(self):
        known = dict(self._list_versions())
        if known == self.stored_versions:
            return
        if member_versions.save(self.folder, known):
            self.stored_versions = known

    def _on_report_reply(self, reply):
        self.totals = reply
        if reply.versions:
            self.network.record_versions(reply.versions)
        self.leader_reply_ms = self.read_clock()
        if reply.places is not None:
            self.place_table = locality.build_table(reply.places)
        if reply.relays is not None:
            self.relay_list = reply.relays

    def _on_report_failed(self, failure, announced_ids):
        failure.trap(errors.ProblemError)
        self.totals = messages.MemberReportReply(0, 0)
        # Included in the next report, which may go to another leader.
        self.announced_ids.update(announced_ids)

    def handle_report(self, report: messages.MemberReport):
        """As the leader, record a member's report and reply with totals."""
        now = self.read_clock()
        self.last_report_by_member[report.member_id] = (report, now)
        for endpoint_id in report.heard:
            self.last_announced_ms_by_id[endpoint_id] = now
        elected_for_ms = now - self.elected_ms
        if elected_for_ms < RELAY_LIST_DELAY_MS:
            return messages.MemberReportReply(0, 0)
        recent = [
            latest
            for latest, received_ms in self.last_report_by_member.values()
            if now - received_ms < MEMBER_REPORT_TIMEOUT_MS
        ]
        relay_list = build_relay_list([r for m in recent for r in m.relays])
        place_table = locality.build_table(
            m.place for m in recent if m.place is not None
        )
        counted = recent if elected_for_ms >= COUNT_DELAY_MS else ()
        return messages.MemberReportReply(
            sum(r.watchers for r in counted),
            sum(r.requests for r in counted),
            None if relay_list.mark == report.known_relays else relay_list,
            (
                None
                if place_table.mark == report.known_places
                else place_table.places
            ),
            self._list_versions(),
        )

    def _list_versions(self):
        """Return the version that other members read, by peer address."""
        version_by_address = {
            address: self.network.version_by_address.get(address)
            for address in self._list_other_members()
        }
        return tuple((a, v) for a, v in version_by_address.items() if v)

    def can_members_read(self, version: int) -> bool:
        """Tell whether all members are known to read a version.

        A command that a member can't read must not get into its log.
        """
        return all(
            self.network.read_version(address) >= version
            for address in self._list_other_members()
        )

    def _list_other_members(self):
        addresses = {m.address for m in self.node.raft.members}
        return sorted(addresses - {self.node.address})

    def is_named(self, service: str) -> bool:
        """Tell whether the document names a service; all without one."""
        document = self.node.tables.document
        if self.service_names.version != document.version:
            names = None
            if self.read_service_names is not None and document.version >= 0:
                try:
                    names = frozenset(self.read_service_names(document.data))
                except ValueError as error:
                    LOGGER.error(
                        "document cannot be decoded",
                        extra={
                            "version": document.version,
                            "why": str(error),
                        },
                    )
            self.service_names = ServiceNames(document.version, names)
        names = self.service_names.names
        return names is None or service in names

    def _expire_endpoints(self, now):
        """Record endpoints as lost that have not announced themselves."""
        announced_after_ms = now - ENDPOINT_TIMEOUT_MS
        usable = [
            e
            for e in self.node.tables.endpoint_by_id.values()
            if e.state not in ("lost", "gone")
        ]
        timed_out = []
        for endpoint in usable:
            announced_ms = self.last_announced_ms_by_id.setdefault(
                endpoint.endpoint_id, now
            )
            # A row with a sequence out of range cannot be replaced; entries
            # do not use it.
            is_replaceable = endpoint.sequence < rows.FINAL_SEQUENCE
            if announced_ms < announced_after_ms and is_replaceable:
                timed_out.append(endpoint)
        if not timed_out:
            return
        # Another writer may announce any number of endpoints of services
        # that the document does not name. They tell nothing about the rest.
        named = sum(self.is_named(e.service) for e in usable)
        unnamed = [e for e in timed_out if not self.is_named(e.service)]
        silent = len(timed_out) - len(unnamed)
        if silent > named * (1.0 - MIN_ANNOUNCED_SHARE):
            timed_out = unnamed
        if timed_out:
            self._record_lost(timed_out, now)

    def _forget_endpoints(self, now):
        """Remove endpoints that have been lost for long."""
        if now < self.next_forget_ms:
            return
        self.next_forget_ms = now + FORGET_PERIOD_MS
        known = self.node.tables.endpoint_by_id
        self.last_announced_ms_by_id = {
            endpoint_id: announced_ms
            for endpoint_id, announced_ms in (
                self.last_announced_ms_by_id.items()
            )
            if endpoint_id in known
        }
        wall_ms = logs.read_wall_ms()
        forgotten_ms = wall_ms - state_module.LOST_ENDPOINT_RETENTION_MS
        lost_times_ms = self.node.tables.lost_at_by_id.values()
        if any(lost_ms < forgotten_ms for lost_ms in lost_times_ms):
            command = state_module.Expire(wall_ms)
            self.node.propose(command).addErrback(_log_problem)

    def _record_lost(self, timed_out, now):
        for endpoint in timed_out:
            logs.log_decision(
                "endpoint-silent",
                endpoint=endpoint.endpoint_id,
                service=endpoint.service,
                silent_ms=round(
                    now - self.last_announced_ms_by_id[endpoint.endpoint_id]
                ),
            )
        lost = tuple(
            e._replace(state="lost", sequence=e.sequence + 1)
            for e in timed_out
        )
        command = state_module.ReportEndpoints(lost, logs.read_wall_ms())
        self.node.propose(command).addErrback(_log_problem)


def select_relays(relays) -> tuple[messages.Relay, ...]:
    """Return each relay once, at most `MAX_RELAYS_PER_ZONE` of each zone.

    Relays are ranked by a hash of their VM id, so that a relay that is added
    or removed changes at most one other place in its zone.
    """
    relay_by_id = {r.vm_id: r for r in relays}
    ranked = sorted(
        relay_by_id.values(), key=lambda r: zlib.crc32(r.vm_id.encode())
    )
    selected = []
    count_by_zone = {}
    for relay in ranked:
        count = count_by_zone.get(relay.zone, 0)
        if count < MAX_RELAYS_PER_ZONE:
            selected.append(relay)
            count_by_zone[relay.zone] = count + 1
    return tuple(selected)


def build_relay_list(relays) -> messages.RelayList:
    """Return the list of relays with its fingerprint, which is never 0.

    A fingerprint of 0 stands for no list.
    """
    selected = select_relays(relays)
    text = " ".join("/".join(relay) for relay in selected)
    return messages.RelayList(zlib.crc32(text.encode()) or 1, selected)


@functools.singledispatch
def handle_leader_call(message, frontend: ControlFrontend):
    """As the leader, handle a call of a member."""
    raise TypeError(
        f"unsupported call to the control leader: {type(message).__name__}"
    )


@handle_leader_call.register
def _handle_announce(
    message: messages.AnnounceCall, frontend: ControlFrontend
):
    mistake = endpoint_checks.find_mistake(message.endpoint)
    if not mistake:
        mistake = _find_conflict(message.endpoint, frontend)
    if mistake:
        # The member that forwards it may be of a build without this check.
        raise errors.build_error(errors.ErrorKind.MALFORMED, mistake)
    frontend.last_announced_ms_by_id[message.endpoint.endpoint_id] = (
        frontend.read_clock()
    )
    endpoint = message.endpoint
    if endpoint.cold_left_ms and not frontend.can_members_read(
        versions.COLD_TIMES
    ):
        endpoint = endpoint._replace(cold_left_ms=0.0)
    command = state_module.ReportEndpoints((endpoint,), logs.read_wall_ms())
    deferred = frontend.node.propose(command)
    logs.log_decision(
        "endpoint-announced",
        endpoint=endpoint.endpoint_id,
        service=endpoint.service,
        state=endpoint.state,
        incarnation=endpoint.incarnation,
        sequence=endpoint.sequence,
    )
    return deferred.addCallback(lambda _: messages.Done())


def _find_conflict(endpoint, frontend) -> str:
    """Return why an announcement is not of the endpoint with its id.

    Empty if it may be. Another writer may use the id of an endpoint in use.
    An endpoint neither moves while it runs nor changes to a service that
    nothing is sent to.
    """
    stored = frontend.node.tables.endpoint_by_id.get(endpoint.endpoint_id)
    if stored is None or stored.state in ("lost", "gone"):
        return ""
    if endpoint.incarnation and stored.incarnation == endpoint.incarnation:
        if stored.address != endpoint.address:
            return f"id is in use at {stored.address}"
        if stored.service != endpoint.service:
            return f"id is in use by an endpoint of service {stored.service}"
    if stored.service == endpoint.service:
        return ""
    if not frontend.is_named(stored.service):
        return ""
    if frontend.is_named(endpoint.service):
        return ""
    return f"id is in use by an endpoint of service {stored.service}"


@handle_leader_call.register
def _handle_crash(message: messages.CrashCall, frontend: ControlFrontend):
    report = message.report
    if not frontend.can_members_read(versions.CRASH_RECORDS):
        raise errors.build_error(
            errors.ErrorKind.INTERNAL,
            "a control member runs a build without crash records",
            not_run=True,
        )
    if report.endpoints:
        now_ms = logs.read_wall_ms()
        record = rows.CrashRecord(report.content, report.endpoints, now_ms)
        command = state_module.ReportCrashes(record)
        frontend.trial_history.record_crash(report.content, now_ms)
    else:
        frontend.trial_history.clear(report.content)
        command = state_module.ClearCrashes(report.content)
    logs.log_decision(
        "crashes-reported",
        content=report.content,
        endpoints=list(report.endpoints),
    )
    deferred = frontend.node.propose(command)
    return deferred.addCallback(lambda _: messages.Done())


@handle_leader_call.register
def _handle_trial(message: messages.TrialCall, frontend: ControlFrontend):
    """Let one request of a refused content run, once its pause is over.

    The record is renewed up to the end of the trial, so that no other begins
    meanwhile, also after the loss of this leader. Once a trial has ended
    without an outcome, another one may begin soon.
    """
    request = message.request
    record_by_content = frontend.node.tables.crash_by_content
    record = record_by_content.get(request.content)
    if record is None:
        return messages.TrialReply(True, 0.0)
    history = frontend.trial_history
    now_ms = logs.read_wall_ms()
    if request.lasts_ms > 0.0:
        wait_ms = _find_trial_wait_ms(request, record, frontend, now_ms)
        if wait_ms > 0.0:
            return messages.TrialReply(False, wait_ms)
        lasts_ms = round(min(request.lasts_ms, crash_trials.MAX_TRIAL_MS))
        last_ms = now_ms + lasts_ms
        history.begin(request.content, last_ms, record_by_content)
    else:
        lasts_ms = 0
        pause_ms = history.compute_pause_ms(record, request.was_answered)
        last_ms = crash_trials.compute_release_ms(pause_ms, now_ms)
        history.release(request.content)
    command = state_module.ReportCrashes(
        rows.CrashRecord(request.content, (), last_ms)
    )
    logs.log_decision(
        "content-trial",
        content=request.content,
        lasts_ms=lasts_ms,
        endpoints=len(record.endpoints),
    )
    frontend.starting_trials.add(request.content)
    deferred = frontend.node.propose(command)
    deferred.addBoth(_end_trial_start, frontend, request.content)
    return deferred.addCallback(lambda _: messages.TrialReply(True, 0.0))


def _find_trial_wait_ms(request, record, frontend, now_ms) -> float:
    wait_ms = 0.0
    records = frontend.node.tables.crash_by_content.values()
    if record in crash_trials.find_suspects(records):
        history = frontend.trial_history
        pause_ms = history.compute_pause_ms(record, request.was_answered)
        wait_ms = crash_trials.compute_wait_ms(record, pause_ms, now_ms)
    if request.content in frontend.starting_trials:
        wait_ms = max(wait_ms, crash_trials.FIRST_PAUSE_IF_ANSWERED_MS)
    return wait_ms


def _end_trial_start(result, frontend, content):
    frontend.starting_trials.discard(content)
    return result


@handle_leader_call.register
def _handle_evacuation(
    message: messages.EvacuationCall, frontend: ControlFrontend
):
    return evacuations.handle_call(
        message,
        frontend.node,
        frontend.is_zone_known(message.zone),
        frontend.can_members_read,
    )


@handle_leader_call.register
def _handle_list_evacuations(
    message: messages.ListEvacuationsCall, frontend: ControlFrontend
):
    return evacuations.build_list(frontend.node.tables)


@handle_leader_call.register
def _handle_document(
    message: messages.DocumentCall, frontend: ControlFrontend
):
    if not frontend.node.is_formed():
        raise errors.build_error(
            errors.ErrorKind.NO_LEADER, "the control group is still forming"
        )
    deferred = frontend.node.propose(
        state_module.ApplyDocument(message.document)
    )
    return deferred.addCallback(
        lambda result: messages.DocumentReply(result.current_version)
    )


@handle_leader_call.register
def _handle_read(
    message: messages.ReadDocumentCall, frontend: ControlFrontend
):
    document = frontend.node.tables.document
    if document.version == message.held_version:
        document = document._replace(data=b"")
    return messages.ReadDocumentReply(document)


@handle_leader_call.register
def _handle_report(message: messages.MemberReport, frontend: ControlFrontend):
    return frontend.handle_report(message)


def _log_problem(failure):
    failure.trap(errors.ProblemError)
    LOGGER.warning(
        "lost endpoints could not be recorded or removed",
        extra={"why": str(failure.value)},
    )
