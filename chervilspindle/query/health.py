"""Health checks of owned endpoints: dead connections, stalls, lost endpoints.

A late request is probed on a new connection. The answer distinguishes a slow
endpoint from a connection whose state was dropped by a device on the path.
An endpoint that does not answer a probe is suspect and gets no work until it
does; one that accepts requests and completes none is paused; one that stops
announcing itself is reported as lost.
"""

import logging

from chervilspindle.core import errors
from chervilspindle.core import logs
from chervilspindle.policy import limits
from chervilspindle.query import endpoint_state
from chervilspindle.wire import messages

LOGGER = logging.getLogger(__name__)

LOST_AFTER_MS = 3500.0
PROBE_DELAY_RATIO = 4.0
MIN_PROBE_DELAY_MS = 60.0
PROBE_BACKOFF = 3.0
MAX_PROBE_INTERVAL_MS = 1000.0
SUSPECT_PROBE_INTERVAL_MS = 500.0


class HealthMonitor:
    """Checks the health of the endpoints of one owner.

    Parameters
    ----------
    owner : Owner
    """

    def __init__(self, owner):
        self.owner = owner

    def get_probe_delay_ms(self, owned) -> float:
        """Return the age at which a running request is probed, in ms."""
        return max(
            MIN_PROBE_DELAY_MS, PROBE_DELAY_RATIO * owned.limit.service_ms
        )

    def probe(self, owned, work):
        """Ask on a new connection whether a late request is still running."""
        work.probing = True
        self.owner.metrics.count_probe()
        deferred = owned.client.probe(work.run_id)
        deferred.addCallback(self._handle_probe_result, owned, work)
        deferred.addErrback(_log_failure)

    def _handle_probe_result(self, state, owned, work):
        work.probing = False
        now = self.owner.read_clock()
        if work.state != endpoint_state.RUNNING:
            return
        elapsed_ms = now - work.started_ms
        work.probe_ms = now + min(
            MAX_PROBE_INTERVAL_MS, PROBE_BACKOFF * elapsed_ms
        )
        self._update_suspect(owned, state is not None)
        if state is None:
            # The slot stays occupied; the gatherer may try another replica.
            self._answer_connection_lost(owned, work)
            return
        if state.state == "running":
            return
        logs.log_decision(
            "connection-silent",
            request_id=work.job.request_id,
            endpoint=owned.row.endpoint_id,
            run_state=state.state,
        )
        self.owner.metrics.count_silent()
        if state.state == "finished" and state.result is not None:
            self.owner.answer(
                owned,
                work,
                _get_result_status(work.job, state.result),
                True,
                0,
                elapsed_ms,
                bytes(state.result.value),
            )
        work.call.cancel()

    def _answer_connection_lost(self, owned, work):
        kind = errors.ErrorKind.CONNECTION_LOST
        if work.job.key is not None:
            kind = errors.ErrorKind.OUTCOME_UNKNOWN
        self.owner.answer(
            owned, work, kind.value, True, 0, 0.0, messages.EMPTY_VALUE
        )

    def _update_suspect(self, owned, answered):
        if owned.suspect != answered:
            return
        owned.suspect = not answered
        owned.suspect_probe_ms = (
            self.owner.read_clock() + SUSPECT_PROBE_INTERVAL_MS
        )
        logs.log_decision(
            "endpoint-suspect",
            endpoint=owned.row.endpoint_id,
            suspect=owned.suspect,
        )
        if owned.suspect:
            self.owner.refuse_queue(owned, errors.ErrorKind.NO_ENDPOINT)

    def check_stalled(self, owned, now):
        """Pause an endpoint that accepts requests and completes none.

        Its slots stay occupied. Parts are answered as lost, so that
        gatherers try other replicas; commands wait for their outcome.
        """
        if not owned.running or now < owned.limit.stalled_until_ms:
            return
        started = [work.started_ms for work in owned.running.values()]
        if not limits.is_stalled(owned.limit, started, now):
            return
        owned.limit = limits.record_stall(owned.limit, now)
        logs.log_decision(
            "endpoint-stalled",
            endpoint=owned.row.endpoint_id,
            running=len(started),
            pause_ms=owned.limit.stalled_until_ms - now,
        )
        for work in list(owned.running.values()):
            if work.job.key is None:
                self._answer_connection_lost(owned, work)
        self.owner.refuse_queue(owned, errors.ErrorKind.NO_ENDPOINT)

    def check_suspect(self, owned, now):
        """Probe a suspect endpoint periodically until it answers."""
        if not owned.suspect or now < owned.suspect_probe_ms:
            return
        owned.suspect_probe_ms = now + SUSPECT_PROBE_INTERVAL_MS
        self.owner.metrics.count_probe()
        deferred = owned.client.probe("health")
        deferred.addCallback(
            lambda state: self._update_suspect(owned, state is not None)
        )
        deferred.addErrback(_log_failure)

    def check_announcements(self, owned, now):
        """Report an endpoint as lost if it stopped announcing itself."""
        if self.owner.directory.sole_owner:
            # Without ownership every entry counts as owner of all endpoints,
            # but each announcement reaches only one entry.
            return
        if (
            owned.reported_lost
            or now < owned.last_announced_ms + LOST_AFTER_MS
        ):
            return
        owned.reported_lost = True
        row = owned.row._replace(state="lost", sequence=owned.row.sequence + 1)
        logs.log_decision("endpoint-lost", endpoint=row.endpoint_id)
        owned.row = row
        self.owner.refuse_queue(owned, errors.ErrorKind.NO_ENDPOINT)
        self.owner.session.report(row)


def _get_result_status(job, result) -> str:
    """Return the status of a result that a probe returned."""
    if result.kind:
        return result.kind
    if job.key is None and result.snapshot != job.snapshot:
        return errors.ErrorKind.SNAPSHOT_GONE.value
    return "ok"


def _log_failure(failure):
    LOGGER.error("endpoint health check failed: %s", failure.getTraceback())
