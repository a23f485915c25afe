"""State of the endpoints that an entry owns and of the work at them."""

import typing

from chervilspindle.policy import fairness
from chervilspindle.policy import limits
from chervilspindle.wire import messages

MAX_DEADLINE_MS = 30000.0
HANDOVER_COUNT_VALID_MS = 5000.0

QUEUED = "queued"
RUNNING = "running"
ENDED = "ended"


class Job(typing.NamedTuple):
    """What to run: a part of a query, or a command.

    `key` is the shard key of the command, whose hash selects the shard. It is
    None for a part of a query.
    """

    request_id: str
    attempt: int
    customer: str
    weight: float
    rank: int
    snapshot: int
    body: object
    part: messages.Part
    key: str | None


class Work:
    """One job at one endpoint, from admission to its end.

    `answered` tells that a reply was sent or is no longer needed; the slot
    stays occupied until the endpoint is known to have ended the job.

    Parameters
    ----------
    job : Job
    on_reply : callable
        ``on_reply(job, reply)`` is called at most once.
    due_ms : float
        Deadline on the owner's clock.
    now : float
        Time of admission, on the same clock.
    """

    __slots__ = (
        "job",
        "on_reply",
        "due_ms",
        "queued_ms",
        "started_ms",
        "state",
        "answered",
        "run_id",
        "call",
        "probe_ms",
        "probing",
        "cancelled_ms",
    )

    def __init__(self, job: Job, on_reply, due_ms: float, now: float):
        self.job = job
        self.on_reply = on_reply
        self.due_ms = due_ms
        self.queued_ms = now
        self.started_ms = 0.0
        self.state = QUEUED
        self.answered = False
        self.run_id = ""
        self.call = None
        self.probe_ms = 0.0
        self.probing = False
        self.cancelled_ms = 0.0


def build_key(job: Job):
    """Return the key of a job in cancellations."""
    return job.request_id, job.attempt, job.part.send


def is_queued(work: Work) -> bool:
    """Tell whether work is waiting for a slot."""
    return work.state == QUEUED


class Successor(typing.NamedTuple):
    """The new owner, notified when requests end after a handover."""

    link: object
    epoch: int


class OwnedEndpoint:
    """State of one endpoint while this VM owns it.

    `inherited_running` counts requests of previous owners that may still
    run; it is ignored from `inherited_until_ms` on. `released` tells that
    this VM no longer serves the endpoint and waits for its requests to end.
    """

    def __init__(self, row, epoch: int, client, now: float):
        self.row = row
        self.epoch = epoch
        self.client = client
        self.limit = limits.build_limit(row.slots, epoch == 1)
        self.queue = fairness.FairQueue(is_queued)
        self.running = {}
        self.last_announced_ms = now
        # Requests of a previous owner may still run. All slots count as
        # occupied until the number of these requests is reported.
        self.inherited_running = 0 if epoch == 1 else row.slots
        self.inherited_until_ms = 0.0 if epoch == 1 else now + MAX_DEADLINE_MS
        self.handover_count_valid_until_ms = 0.0
        self.reported_lost = False
        self.released = False
        self.successor = None
        # A suspect endpoint has not answered a probe; it gets no work until
        # it answers one.
        self.suspect = False
        self.suspect_probe_ms = 0.0
        self.zone_out = False  # whether the endpoint's zone is evacuated

    def set_inherited(self, running: int, now: float):
        """Set the number of running requests that a previous owner reported.

        For `HANDOVER_COUNT_VALID_MS` it takes precedence over announcements
        of the endpoint, which may be outdated.
        """
        self.inherited_running = min(self.row.slots, running)
        self.handover_count_valid_until_ms = now + HANDOVER_COUNT_VALID_MS
        if not running:
            self.inherited_until_ms = 0.0

    def accepts_work(self, now: float) -> bool:
        """Tell whether the endpoint is ready, and nothing keeps work back.

        It may be suspect or paused, or its zone may be evacuated.
        """
        if self.suspect or self.zone_out or now < self.limit.stalled_until_ms:
            return False
        return self.row.state == "ready"

    def count_free_slots(self, now: float) -> int:
        """Return the number of requests that may be dispatched now."""
        inherited_running = (
            self.inherited_running if now < self.inherited_until_ms else 0
        )
        allowed = min(
            limits.get_limit(self.limit), self.row.slots - inherited_running
        )
        return allowed - len(self.running)
