"""Whether this VM reaches endpoints, or is cut off from all of them.

A request without an answer may be due to its endpoint or to this VM's links.
New connections tell them apart: if none of several endpoints accepts one, the
VM counts as cut off, and requests go through other entries until an endpoint
accepts a connection again. Endpoints that answered last, and whose connections
have not broken off since, are tried first, so that endpoints which are down
together don't look like a cut. Other entries are asked about these endpoints
as well: if one has ended as they see it, this VM is not cut off.

Old connections are no evidence: they may work while new ones are refused.
"""

import asyncio
import math

from chervilspindle.core import logs
from chervilspindle.wire import endpoint_http
from chervilspindle.wire import messages

# Without a byte from any endpoint for this long, connections are checked.
SILENCE_S = 0.2
PROBE_TIMEOUT_S = 0.15  # several round trips within a region
PROBED_ENDPOINTS = 3
# Connections take a slot of the endpoint for a moment.
CHECK_INTERVAL_S = 1.0
OPINION_TIMEOUT_S = 0.03  # several round trips within a region
OPINION_POLL_S = 0.002
RECOVERY_INTERVAL_S = 0.5
RECOVERY_PROBES = 2


class Reachability:
    """Observes the connections to endpoints of one entry.

    Parameters
    ----------
    loop : asyncio.AbstractEventLoop
    table : endpoints.EndpointTable
    random : random.Random
    on_change : callable
        ``on_change(is_cut_off)``.

    Attributes
    ----------
    is_cut_off : bool
    ask_other : callable or None
        See `quarantine.Quarantine`.
    listeners : set
        Their ``handle_cut_off()`` is called when the VM is found to be cut
        off.
    """

    def __init__(self, loop, table, random, on_change):
        self.loop = loop
        self.table = table
        self.random = random
        self.on_change = on_change
        self.is_cut_off = False
        self.ask_other = None
        self.listeners = set()
        self.since_s = 0.0  # when the VM was found to be cut off
        self.waiting_since_s = None  # for a byte from any endpoint
        self.is_timer_set = False
        self.check = None  # the task in progress
        self.next_check_s = 0.0
        self.connected_s = -math.inf

    def record_sent(self):
        """Record that a request was sent to an endpoint."""
        if self.waiting_since_s is None and not self.is_cut_off:
            self.waiting_since_s = self.loop.time()
            if not self.is_timer_set:
                self._set_timer(SILENCE_S)

    def record_heard(self):
        """Record that an endpoint has sent something."""
        self.waiting_since_s = None

    def record_connected(self):
        """Record that an endpoint has accepted a connection."""
        self.connected_s = self.loop.time()

    def record_failed(self, pool):
        """Record that a connection could not be opened, or broke off."""
        self._check("connection failed", pool)

    async def has_reached_since(self, since_s: float, pool) -> bool:
        """Tell whether an endpoint has accepted a connection since a time.

        Opens one if needed.

        Parameters
        ----------
        since_s : float
            Loop time.
        pool : endpoint_http.EndpointPool
            Of an endpoint that is not tried.
        """
        if self.connected_s >= since_s:
            return True
        if self.is_cut_off:
            return False
        if self.check is None:
            self._start_check("endpoint lost", pool)
        if self.check is not None:
            await self.check
        return self.connected_s >= since_s

    def _set_timer(self, delay_s):
        self.is_timer_set = True
        self.loop.call_later(delay_s, self._check_silence)

    def _check_silence(self):
        self.is_timer_set = False
        if self.waiting_since_s is None or self.is_cut_off:
            return
        remaining_s = self.waiting_since_s + SILENCE_S - self.loop.time()
        if remaining_s > 0.0:
            self._set_timer(remaining_s)
        else:
            self.waiting_since_s = None
            self._check("silence", None)

    def _check(self, reason, failed_pool):
        is_due = self.loop.time() >= self.next_check_s
        if is_due and self.check is None and not self.is_cut_off:
            self._start_check(reason, failed_pool)

    def _start_check(self, reason, failed_pool):
        self.check = self.loop.create_task(
            self._run_check(reason, failed_pool)
        )

    def _rank_targets(self, failed_pool, probed):
        targets = [
            target
            for target in self.table.target_by_id.values()
            if target.pool is not failed_pool and target not in probed
        ]
        targets.sort(key=_rank_target)
        return targets

    async def _run_check(self, reason, failed_pool):
        started_s = self.loop.time()
        probed = []
        try:
            is_cut_off = await self._confirm_cut(failed_pool, probed)
        finally:
            now = self.loop.time()
            self.check = None
            self.next_check_s = now + CHECK_INTERVAL_S
        if not is_cut_off:
            return
        self.is_cut_off = True
        self.since_s = now
        self.waiting_since_s = None
        logs.log_decision(
            "cut-off",
            why=reason,
            probed=[target.endpoint.endpoint_id for target in probed],
            check_ms=round((now - started_s) * 1000.0, 1),
        )
        self.on_change(True)
        self.loop.call_later(RECOVERY_INTERVAL_S, self._start_recovery)
        for listener in list(self.listeners):
            listener.handle_cut_off()

    async def _confirm_cut(self, failed_pool, probed) -> bool:
        """Probe one endpoint, and others only if it is out of reach.

        What was probed is added to the list `probed`.
        """
        for count in (1, PROBED_ENDPOINTS - 1):
            targets = self._rank_targets(failed_pool, probed)[:count]
            probed += targets
            if await self._probe(targets):
                return False
        if len(probed) < PROBED_ENDPOINTS:
            return False
        return not await self._ask_for_ended(probed)

    async def _ask_for_ended(self, targets) -> bool:
        """Tell whether other entries see that an endpoint has ended.

        Each is asked about one endpoint. Late answers don't count: this VM
        would go on sending to no avail meanwhile.
        """
        if self.ask_other is None:
            return False
        tried = []
        replies = []

        def add_reply(reply):
            replies.append(reply)

        def log_failure(failure):
            logs.log_decision("probe-call-failed", why=str(failure.value))

        for target in targets:
            call = messages.ProbeCall(target.endpoint.endpoint_id)
            deferred = self.ask_other(call, OPINION_TIMEOUT_S, tried)
            if deferred is not None:
                deferred.addCallbacks(add_reply, log_failure)
        end_s = self.loop.time() + OPINION_TIMEOUT_S
        while len(replies) < len(tried) and self.loop.time() < end_s:
            await asyncio.sleep(OPINION_POLL_S)
        states = [reply.state for reply in replies]
        has_ended = messages.EndpointState.ENDED in states
        if has_ended:
            logs.log_decision(
                "cut-off-denied",
                probed=[target.endpoint.endpoint_id for target in targets],
                states=[state.value for state in states],
                asked=tried,
            )
        return has_ended

    async def _probe(self, targets) -> bool:
        """Tell whether any of some endpoints accepts a connection."""
        probes = [
            endpoint_http.can_connect(
                self.loop,
                target.pool.host,
                target.pool.port,
                PROBE_TIMEOUT_S,
            )
            for target in targets
        ]
        reached = any(await asyncio.gather(*probes))
        if reached:
            self.record_connected()
        return reached

    def _start_recovery(self):
        if self.is_cut_off:
            self.loop.call_later(RECOVERY_INTERVAL_S, self._start_recovery)
            self.loop.create_task(self._recover())

    def _list_preferred(self):
        """Return the endpoints outside evacuated zones, or all if none is.

        Those of an evacuated zone may be out of reach themselves.
        """
        targets = list(self.table.target_by_id.values())
        return [t for t in targets if not t.restrictions.zone_out] or targets

    async def _recover(self):
        targets = self._list_preferred()
        count = min(RECOVERY_PROBES, len(targets))
        if not await self._probe(self.random.sample(targets, count)):
            return
        self.is_cut_off = False
        logs.log_decision(
            "cut-off-ended",
            after_ms=round((self.loop.time() - self.since_s) * 1000.0),
        )
        self.on_change(False)


def _rank_target(target):
    """Order targets by how likely they accept a connection."""
    pool = target.pool
    zone_out = target.restrictions.zone_out
    return zone_out, pool.lost_s > pool.heard_s, -pool.heard_s
