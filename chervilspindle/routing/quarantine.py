"""Quarantine of requests that crash the endpoints that run them.

A caller may repeat such a request at any VM, so no VM sees all the endpoints
that ended under it. Entries report each to control, which keeps them in the
replicated tables, by the digest of the request's content. Once
`crash_trials.MIN_CRASHES` endpoints have ended, and none has answered, all
entries refuse requests of that content, but for one at a time that control
allows as a trial.

A broken connection alone is no evidence: it may be the network's, or this
VM's. An endpoint counts as ended if it also accepts no new connection right
afterwards, as seen from a VM that other endpoints accept connections of at
that time. A VM that is cut off asks other entries.

An answer to any request of the content clears the record, so that a request
which merely ran beside the one that crashes is cleared by its next shard or
repeat. A content that endpoints have answered lately is not refused either,
as long as all the endpoints that ended under it also ended under contents that
none has answered.

A query that some shards have answered may still end the endpoints of another.
What is known of one shard is kept as that of a content of its own, see
`crash_trials.name_shard`, and such a shard is left out of the query.
"""

import collections
import math
import typing

from chervilspindle.core import errors
from chervilspindle.core import logs
from chervilspindle.policy import crash_trials
from chervilspindle.routing import request_content
from chervilspindle.wire import endpoint_http
from chervilspindle.wire import messages

REASON = "crashes_endpoints"
PROBE_TIMEOUT_S = 0.3
ASK_TIMEOUT_S = 1.0  # for another entry to probe an endpoint and its own links
MAX_ASKED = 3  # entries
REPORT_BATCH_S = 0.02  # crashes within this time share one report
REPORT_RETRY_S = 0.3
ANSWERED_MEMORY_S = 60.0
MAX_ANSWERED_CONTENTS = 4096
# A VM that reaches control later was cut off, perhaps from the endpoints too.
REPORT_LIFETIME_S = 5.0
MAX_REPORTED_CONTENTS = 1024
# After a trial's deadline: probes of its endpoint, and the report to control.
TRIAL_REPORT_S = PROBE_TIMEOUT_S + MAX_ASKED * ASK_TIMEOUT_S + 1.0
TRIAL_RETRY_S = 1.0  # if control cannot be asked


def find_blocked(records, answered) -> set[str]:
    """Return the contents that crash endpoints, of those under which some did.

    Answers the load of a frequent request that runs at endpoints which
    another request ends.

    Parameters
    ----------
    records : collection of rows.CrashRecord
    answered : collection of str
        Contents that an endpoint has answered lately.
    """
    blocked = {r.content for r in records if r.content not in answered}
    explained = {
        endpoint
        for record in records
        if record.content in blocked
        for endpoint in record.endpoints
    }
    blocked.update(
        r.content for r in records if not explained.issuperset(r.endpoints)
    )
    return blocked


class TrialOutcome(typing.NamedTuple):
    """Whether a request may run as a trial; see `quota_permits.Outcome`."""

    granted: bool
    reason: str
    wait_s: float
    fields: dict


class TrialAdmission:
    """A request that waits until control allows its trial."""

    def __init__(self, on_outcome):
        self.on_outcome = on_outcome
        self.cancelled = False

    def cancel(self):
        """Don't call `on_outcome` any more."""
        self.cancelled = True


class Quarantine:
    """Contents that crash endpoints, as known to one entry.

    Parameters
    ----------
    loop : asyncio.AbstractEventLoop
    table : endpoints.EndpointTable
    reachability : reachability.Reachability

    Attributes
    ----------
    ask_other : callable or None
        ``ask_other(message, timeout_s, tried)`` sends a `messages.ProbeCall`
        to an entry whose address is not in the list `tried`, adds it there,
        and returns a Deferred; None if there is no other entry to ask.
    send_report : callable or None
        ``send_report(message)`` sends a `messages.CrashReport` or
        `messages.TrialRequest` to control and returns a Deferred; None
        without control.
    crashes_by_query : dict of str to int
        See `crash_trials.count_crashes`.
    due_s_by_content : dict of str to float
        Loop time from which control is asked for a trial.
    reported_s_by_content : OrderedDict of str to float
        Loop time of the last report from here, oldest first.
    answered_s_by_content : OrderedDict of str to float
        Loop time of the last answer, oldest first. Those that complete a
        query are kept by the key of all its shards.
    """

    def __init__(self, loop, table, reachability):
        self.loop = loop
        self.table = table
        self.reachability = reachability
        self.ask_other = None
        self.send_report = None
        self.record_by_content = {}
        self.crashes_by_query = {}
        self.blocked_contents = set()
        self.explained_contents = set()
        self.due_s_by_content = {}
        self.reported_s_by_content = collections.OrderedDict()
        self.answered_s_by_content = collections.OrderedDict()
        self.callbacks_by_endpoint = {}
        self.pending_by_content = {}

    def apply(self, records, gone, full: bool):
        """Apply changed records of the replicated tables."""
        if full:
            self.record_by_content = {}
        released = {
            r.content
            for r in records
            if crash_trials.is_release(
                self.record_by_content.get(r.content), r
            )
        }
        for record in records:
            self.record_by_content[record.content] = record
        for content in gone:
            self.record_by_content.pop(content, None)
        self._count_crashes()
        suspects = crash_trials.find_suspects(self.record_by_content.values())
        answered = self._list_answered(suspects)
        blocked = find_blocked(suspects, answered)
        for content in blocked - self.blocked_contents:
            record = self.record_by_content[content]
            logs.log_decision(
                "content-quarantined",
                content=content,
                endpoints=list(record.endpoints),
            )
        explained = {r.content for r in suspects} - blocked
        for content in explained - self.explained_contents:
            logs.log_decision(
                "content-explained",
                content=content,
                endpoints=list(self.record_by_content[content].endpoints),
                by=sorted(blocked),
            )
        self.explained_contents = explained
        for content in self.blocked_contents - blocked:
            logs.log_decision("content-released", content=content)
        changed = {record.content for record in records}
        for content in (blocked & changed) | (blocked - self.blocked_contents):
            pause_ms = crash_trials.compute_pause_ms(
                self.record_by_content[content], content in answered
            )
            if content in released:
                pause_ms = crash_trials.RELEASE_PAUSE_MS
            self._schedule_trial(content, pause_ms)
        for content in self.due_s_by_content.keys() - blocked:
            del self.due_s_by_content[content]
        self.blocked_contents = blocked

    def _count_crashes(self):
        self.crashes_by_query = crash_trials.count_crashes(
            self.record_by_content.values()
        )

    def is_refused(self, request) -> bool:
        """Tell whether a request may only run as a trial."""
        if not self.blocked_contents:
            return False
        return self.is_content_refused(request_content.compute_digest(request))

    def is_content_refused(self, content: str) -> bool:
        """Tell whether requests of a content may only run as a trial."""
        return (
            content in self.blocked_contents
            and not crash_trials.is_expired(
                self.record_by_content[content], logs.read_wall_ms()
            )
        )

    def holds_resends(self, request) -> bool:
        """Tell whether a request that has just lost an endpoint is held back.

        The loss may be a crash that control has not recorded yet.
        """
        if not self.record_by_content:
            return False
        return self.holds_content(request_content.compute_digest(request))

    def holds_content(self, content: str) -> bool:
        """Tell whether one more endpoint might be too many for a content."""
        if content in self.explained_contents:
            return False
        query = crash_trials.get_query(content)
        crashes = self.crashes_by_query.get(query, 0)
        return crashes + 1 >= crash_trials.MIN_CRASHES

    def find_wait_s(self, request) -> float:
        """Return how long requests of this content are refused, in s.

        0 if they are not, or if control may allow a trial.
        """
        if not self.blocked_contents:
            return 0.0
        return self.find_content_wait_s(
            request_content.compute_digest(request)
        )

    def find_content_wait_s(self, content: str) -> float:
        """Return the time until the trial of a content, in s; see above."""
        if not self.is_content_refused(content):
            return 0.0
        return max(0.0, self.due_s_by_content[content] - self.loop.time())

    def _schedule_trial(self, content, wait_ms):
        self.due_s_by_content[content] = self.loop.time() + wait_ms / 1000.0

    def ask_trial(
        self, incoming, on_outcome, content: str = ""
    ) -> TrialAdmission:
        """Ask control whether a request may run as a trial.

        Parameters
        ----------
        incoming : endpoint_calls.IncomingRequest
        on_outcome : callable
            ``on_outcome(outcome)`` is called once with a `TrialOutcome`,
            unless cancelled.
        content : str
            That of a shard of the request; empty for the request as a whole.
        """
        admission = TrialAdmission(on_outcome)
        content = content or request_content.compute_digest(
            incoming.exchange.request
        )
        wait_s = self.find_content_wait_s(content)
        if wait_s > 0.0 or self.send_report is None:
            self._settle_trial(admission, False, wait_s)
            return admission
        record = self.record_by_content[content]
        lasts_s = incoming.get_longest_ms() / 1000.0 + TRIAL_REPORT_S
        self._schedule_trial(content, lasts_s * 1000.0)
        message = messages.TrialRequest(
            content, lasts_s * 1000.0, bool(self._list_answered((record,)))
        )
        deferred = self.send_report(message)
        deferred.addCallbacks(
            self._handle_trial_reply,
            self._handle_trial_failure,
            callbackArgs=(admission, content),
            errbackArgs=(admission, content),
        )
        return admission

    def _handle_trial_reply(self, reply, admission, content):
        if not reply.granted:
            self._schedule_trial(content, reply.wait_ms)
        elif admission.cancelled:
            self.release_trial(content)
        self._settle_trial(admission, reply.granted, reply.wait_ms / 1000.0)

    def _handle_trial_failure(self, failure, admission, content):
        failure.trap(errors.ProblemError)
        logs.log_decision(
            "trial-call-failed", content=content, why=str(failure.value)
        )
        self._schedule_trial(content, TRIAL_RETRY_S * 1000.0)
        self._settle_trial(admission, False, TRIAL_RETRY_S)

    def _settle_trial(self, admission, granted, wait_s):
        if not admission.cancelled:
            admission.on_outcome(TrialOutcome(granted, REASON, wait_s, {}))

    def end_trial(self, incoming, status: int):
        """Let another trial begin if this one has not run.

        Parameters
        ----------
        incoming : endpoint_calls.IncomingRequest
        status : int
            Of its answer; 503 if it has not run.
        """
        request = incoming.exchange.request
        if status == 503 and self.is_refused(request):
            self.release_trial(request_content.compute_digest(request))

    def release_trial(self, content: str):
        """Let another trial begin, as one has shown nothing."""
        record = self.record_by_content.get(content)
        if record is None:
            return  # cleared meanwhile
        was_answered = bool(self._list_answered((record,)))
        deferred = self.send_report(
            messages.TrialRequest(content, 0.0, was_answered)
        )
        deferred.addErrback(self._log_release_failure, content)

    def _log_release_failure(self, failure, content):
        """Log it: the next trial begins once this one's time is over."""
        failure.trap(errors.ProblemError)
        logs.log_decision(
            "trial-call-failed", content=content, why=str(failure.value)
        )

    def _list_answered(self, records) -> set[str]:
        """Return the contents that an endpoint answered lately."""
        since_s = self.loop.time() - ANSWERED_MEMORY_S if records else 0.0
        answered_s = self.answered_s_by_content
        return {
            content
            for content in (r.content for r in records)
            if max(
                answered_s.get(content, -math.inf),
                answered_s.get(crash_trials.get_query(content), -math.inf),
            )
            > since_s
        }

    def has_suspects(self) -> bool:
        """Tell whether there is anything that an answer may clear."""
        reported = self.reported_s_by_content
        since_s = self.loop.time() - REPORT_LIFETIME_S
        while reported and next(iter(reported.values())) < since_s:
            reported.popitem(last=False)
        return bool(
            reported or self.record_by_content or self.pending_by_content
        )

    def record_content_answered(self, content: str):
        """Clear the record of a content that an endpoint has answered."""
        self._remember_answer(content)
        # A crash may be reported here whose record control has not sent yet.
        self.pending_by_content.pop(content, None)
        reported_s = self.reported_s_by_content.pop(content, -math.inf)
        is_recorded = self.record_by_content.pop(content, None) is not None
        if is_recorded:
            self._count_crashes()
        self.blocked_contents.discard(content)
        self.due_s_by_content.pop(content, None)
        now = self.loop.time()
        if is_recorded or now - reported_s < REPORT_LIFETIME_S:
            self._send(messages.CrashReport(content, ()), now)

    def record_complete(self, content: str):
        """Record that all shards of a query have been answered."""
        shard = crash_trials.name_shard(content, "")
        self._remember_answer(crash_trials.get_query(shard))

    def _remember_answer(self, content):
        self.answered_s_by_content[content] = self.loop.time()
        self.answered_s_by_content.move_to_end(content)
        if len(self.answered_s_by_content) > MAX_ANSWERED_CONTENTS:
            self.answered_s_by_content.popitem(last=False)

    def suspect(self, request, endpoint_id: str):
        """Report an endpoint that ended while it had a request.

        Parameters
        ----------
        request : routed_request.RoutedRequest
        endpoint_id : str
        """
        process = self.find_process(endpoint_id)
        if not process or request.answered:
            return

        def handle_probed(crashed):
            if request.answered:
                return
            if crashed:
                self._add(request, process)
            elif request.incoming.is_trial:
                self.release_trial(
                    request_content.compute_digest(
                        request.incoming.exchange.request
                    )
                )

        self.probe(endpoint_id, handle_probed)

    def find_process(self, endpoint_id: str) -> str:
        """Return the process of an endpoint as records name it.

        Empty if the endpoint is no longer known.
        """
        target = self.table.target_by_id.get(endpoint_id)
        if target is None:
            return ""
        return f"{endpoint_id}@{target.endpoint.incarnation}"

    def probe(self, endpoint_id: str, on_result):
        """Find out whether an endpoint has ended.

        Parameters
        ----------
        endpoint_id : str
        on_result : callable
            ``on_result(crashed)``; False if the endpoint accepts connections,
            is no longer known, or no VM that was asked can tell.
        """
        callbacks = self.callbacks_by_endpoint.get(endpoint_id)
        if callbacks is not None:
            callbacks.append(on_result)
            return
        target = self.table.target_by_id.get(endpoint_id)
        if target is None:
            self.loop.call_soon(on_result, False)
            return
        self.callbacks_by_endpoint[endpoint_id] = [on_result]
        self.loop.create_task(self._probe(endpoint_id))

    async def observe(self, endpoint_id: str) -> messages.EndpointState:
        """Probe an endpoint from this VM."""
        target = self.table.target_by_id.get(endpoint_id)
        if target is None or self.reachability.is_cut_off:
            return messages.EndpointState.UNKNOWN
        pool = target.pool
        since_s = self.loop.time()
        if await endpoint_http.can_connect(
            self.loop, pool.host, pool.port, PROBE_TIMEOUT_S
        ):
            return messages.EndpointState.ALIVE
        if await self.reachability.has_reached_since(since_s, pool):
            return messages.EndpointState.ENDED
        return messages.EndpointState.UNKNOWN

    async def _ask_others(self, endpoint_id, tried) -> messages.EndpointState:
        """Return the state as the first entry sees it that can tell."""
        while self.ask_other is not None and len(tried) < MAX_ASKED:
            deferred = self.ask_other(
                messages.ProbeCall(endpoint_id), ASK_TIMEOUT_S, tried
            )
            if deferred is None:
                break
            try:
                reply = await deferred.asFuture(self.loop)
            except errors.ProblemError as error:
                logs.log_decision(
                    "probe-call-failed",
                    endpoint=endpoint_id,
                    address=tried[-1],
                    why=str(error),
                )
                continue
            state = reply.state
            if state is not messages.EndpointState.UNKNOWN:
                return state
        return messages.EndpointState.UNKNOWN

    async def _probe(self, endpoint_id):
        tried = []
        state = await self.observe(endpoint_id)
        if state is messages.EndpointState.UNKNOWN:
            state = await self._ask_others(endpoint_id, tried)
        crashed = state is messages.EndpointState.ENDED
        logs.log_decision(
            "endpoint-probed",
            endpoint=endpoint_id,
            crashed=crashed,
            state=state.value,
            asked=tried,
        )
        for on_result in self.callbacks_by_endpoint.pop(endpoint_id):
            on_result(crashed)

    def _add(self, request, process):
        self.report_crash(
            request_content.compute_digest(request.incoming.exchange.request),
            process,
        )

    def report_crash(self, content: str, process: str):
        """Report a process that ended under a content.

        Parameters
        ----------
        content : str
        process : str
            See `find_process`.
        """
        pending = self.pending_by_content.get(content)
        if pending is None:
            pending = self.pending_by_content[content] = []
            self.loop.call_later(REPORT_BATCH_S, self._flush, content)
        pending.append(process)

    def _flush(self, content):
        processes = self.pending_by_content.pop(content, None)
        if processes is None:
            return  # an endpoint has answered meanwhile
        report = messages.CrashReport(content, tuple(dict.fromkeys(processes)))
        logs.log_decision(
            "crashes-suspected",
            content=content,
            endpoints=list(report.endpoints),
        )
        now = self.loop.time()
        self.reported_s_by_content[content] = now
        self.reported_s_by_content.move_to_end(content)
        if len(self.reported_s_by_content) > MAX_REPORTED_CONTENTS:
            self.reported_s_by_content.popitem(last=False)
        self._send(report, now)

    def _send(self, report, since_s):
        if self.send_report is None:
            return
        self.send_report(report).addErrback(
            self._handle_failure, report, since_s
        )

    def _handle_failure(self, failure, report, since_s):
        failure.trap(errors.ProblemError)
        answered_s = self.answered_s_by_content.get(report.content, -math.inf)
        is_outdated = self.loop.time() - since_s > REPORT_LIFETIME_S or (
            report.endpoints and answered_s > since_s
        )
        logs.log_decision(
            "crash-report-failed",
            content=report.content,
            why=str(failure.value),
            dropped=bool(is_outdated),
        )
        if not is_outdated:
            self.loop.call_later(REPORT_RETRY_S, self._send, report, since_s)
