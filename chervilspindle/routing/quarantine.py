"""Quarantine of requests that crash the endpoints that run them.

A caller may repeat such a request at any VM, so no VM sees all the endpoints
that ended under it. Entries report each to control, which keeps them in the
replicated tables, by the digest of the request's content. Once
`MIN_CRASHES` endpoints have ended, and none has answered, all entries refuse
requests of that content until the record expires.

A broken connection alone is no evidence: it may be the network's, or this
VM's. An endpoint counts as ended if it also accepts no new connection right
afterwards, as seen from a VM that other endpoints accept connections of at
that time. A VM that is cut off asks other entries.

An answer to any request of the content clears the record, so that a request
which merely ran beside the one that crashes is cleared by its next shard or
repeat. A content that endpoints have answered lately is not refused either,
as long as all the endpoints that ended under it also ended under contents that
none has answered.
"""

import collections
import math

from chervilspindle.core import errors
from chervilspindle.core import logs
from chervilspindle.core import rows
from chervilspindle.routing import request_content
from chervilspindle.wire import endpoint_http
from chervilspindle.wire import messages

MIN_CRASHES = 3
PROBE_TIMEOUT_S = 0.3
ASK_TIMEOUT_S = 1.0  # for another entry to probe an endpoint and its own links
MAX_ASKED = 3  # entries
REPORT_BATCH_S = 0.02  # crashes within this time share one report
REPORT_RETRY_S = 0.3
ANSWERED_MEMORY_S = 60.0
MAX_ANSWERED_CONTENTS = 4096
# A VM that reaches control later was cut off, perhaps from the endpoints too.
REPORT_LIFETIME_S = 5.0


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
        ``send_report(report)`` sends a `messages.CrashReport` to control and
        returns a Deferred; None without control.
    answered_s_by_content : OrderedDict of str to float
        Loop time of the last answer, oldest first.
    """

    def __init__(self, loop, table, reachability):
        self.loop = loop
        self.table = table
        self.reachability = reachability
        self.ask_other = None
        self.send_report = None
        self.record_by_content = {}
        self.blocked_contents = set()
        self.explained_contents = set()
        self.answered_s_by_content = collections.OrderedDict()
        self.callbacks_by_endpoint = {}
        self.pending_by_content = {}

    def apply(self, records, gone, full: bool):
        """Apply changed records of the replicated tables."""
        if full:
            self.record_by_content = {}
        for record in records:
            self.record_by_content[record.content] = record
        for content in gone:
            self.record_by_content.pop(content, None)
        suspects = [
            record
            for record in self.record_by_content.values()
            if len(record.endpoints) >= MIN_CRASHES
        ]
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
        self.blocked_contents = blocked

    def find_wait_s(self, request) -> float:
        """Return how long requests of this content are refused, in s.

        0 if they are not.
        """
        if not self.blocked_contents:
            return 0.0
        content = request_content.compute_digest(request)
        if content not in self.blocked_contents:
            return 0.0
        expires_ms = (
            self.record_by_content[content].last_ms + rows.CRASH_RETENTION_MS
        )
        return max(0.0, (expires_ms - logs.read_wall_ms()) / 1000.0)

    def _list_answered(self, records) -> set[str]:
        """Return the contents that an endpoint answered lately."""
        since_s = self.loop.time() - ANSWERED_MEMORY_S if records else 0.0
        return {
            record.content
            for record in records
            if self.answered_s_by_content.get(record.content, -math.inf)
            > since_s
        }

    def record_answered(self, request):
        """Clear the record of a content that an endpoint has answered."""
        content = request_content.compute_digest(request)
        self.answered_s_by_content[content] = self.loop.time()
        self.answered_s_by_content.move_to_end(content)
        if len(self.answered_s_by_content) > MAX_ANSWERED_CONTENTS:
            self.answered_s_by_content.popitem(last=False)
        if self.record_by_content.pop(content, None) is not None:
            self.blocked_contents.discard(content)
            self._send(messages.CrashReport(content, ()), self.loop.time())

    def suspect(self, request, endpoint_id: str):
        """Report an endpoint that ended while it had a request.

        Parameters
        ----------
        request : routed_request.RoutedRequest
        endpoint_id : str
        """
        target = self.table.target_by_id.get(endpoint_id)
        if target is None or request.answered:
            return
        process = f"{endpoint_id}@{target.endpoint.incarnation}"

        def handle_probed(crashed):
            if crashed and not request.answered:
                self._add(request, process)

        self.probe(endpoint_id, handle_probed)

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
        content = request_content.compute_digest(
            request.incoming.exchange.request
        )
        pending = self.pending_by_content.get(content)
        if pending is None:
            pending = self.pending_by_content[content] = []
            self.loop.call_later(REPORT_BATCH_S, self._flush, content)
        pending.append(process)

    def _flush(self, content):
        processes = self.pending_by_content.pop(content)
        report = messages.CrashReport(content, tuple(dict.fromkeys(processes)))
        logs.log_decision(
            "crashes-suspected",
            content=content,
            endpoints=list(report.endpoints),
        )
        self._send(report, self.loop.time())

    def _send(self, report, since_s):
        if self.send_report is None:
            return
        self.send_report(report).addErrback(
            self._handle_failure, report, since_s
        )

    def _handle_failure(self, failure, report, since_s):
        failure.trap(errors.ProblemError)
        is_outdated = self.loop.time() - since_s > REPORT_LIFETIME_S
        logs.log_decision(
            "crash-report-failed",
            content=report.content,
            why=str(failure.value),
            dropped=is_outdated,
        )
        if not is_outdated:
            self.loop.call_later(REPORT_RETRY_S, self._send, report, since_s)
