"""When a content that crashed endpoints may be tried again.

Answers the load of contents under which several endpoints ended: a content
that ends them must reach few of them, and one that only ran there when they
ended for another reason must be served again soon. Which of the two it is, the
crashes alone don't tell, not even by their moments: all parts of a query that
ends its endpoints do so at once, as all endpoints of a failed rack do. So a
content is refused from its third crash on, and a trial by one endpoint of the
fleet at a time decides. An answer ends the verdict; a crash under a trial
doubles the pause before the next one.

A query that some shards answer may still end the endpoints of others. What is
known of one shard is kept as that of a content of its own, and the endpoints
that ended under any shard of a query count together.
"""

import collections

from chervilspindle.core import rows

MIN_CRASHES = 3
FIRST_PAUSE_MS = 8000
# A content that endpoints have answered lately is likely to be sound.
FIRST_PAUSE_IF_ANSWERED_MS = 1000
RELEASE_PAUSE_MS = 1000  # after a trial that has shown nothing
MAX_TRIAL_MS = 30 * 1000  # another trial begins after this time at the latest
MAX_PAUSE_MS = rows.CRASH_RETENTION_MS // 2  # the record outlives the pause


def name_shard(content: str, service: str) -> str:
    """Return the name of one shard of a query as a content of its own.

    Parameters
    ----------
    content : str
        Digest of the query.
    service : str
        Of the shard.
    """
    return f"{content}/{service}"


def get_query(content: str) -> str:
    """Return the key that all shards of a query share.

    A content that is not a shard's has a key of its own, also if it is that
    of the query: any answer clears it.
    """
    query, separator, _ = content.partition("/")
    return query + separator


def count_crashes(records) -> dict[str, int]:
    """Return the numbers of endpoints that ended, by query.

    Parameters
    ----------
    records : collection of rows.CrashRecord
    """
    ended_by_query = collections.defaultdict(set)
    for record in records:
        ended_by_query[get_query(record.content)].update(record.endpoints)
    return {query: len(ended) for query, ended in ended_by_query.items()}


def find_suspects(records) -> list[rows.CrashRecord]:
    """Return the records of contents that may be what ends endpoints.

    Parameters
    ----------
    records : collection of rows.CrashRecord
    """
    crashes_by_query = count_crashes(records)
    return [
        record
        for record in records
        if crashes_by_query[get_query(record.content)] >= MIN_CRASHES
    ]


def is_expired(record: rows.CrashRecord, now_ms: float) -> bool:
    """Tell whether a record is too old to say anything."""
    return now_ms > record.last_ms + rows.CRASH_RETENTION_MS


class TrialHistory:
    """Trials that this leader has allowed.

    It is lost with the leader, and the pauses grow anew then: the record has
    no place for it, and is read and written by members of earlier builds.

    Attributes
    ----------
    end_ms_by_content : dict of str to float
        Wall-clock time by which the outcome of a running trial is reported.
    crashes_by_content : dict of str to int
        Trials under which an endpoint ended.
    """

    def __init__(self):
        self.end_ms_by_content = {}
        self.crashes_by_content = {}

    def begin(self, content: str, end_ms: float, recorded):
        """Record that a trial begins, of the contents that are recorded."""
        for ended in self.end_ms_by_content.keys() - recorded:
            del self.end_ms_by_content[ended]
        for ended in self.crashes_by_content.keys() - recorded:
            del self.crashes_by_content[ended]
        self.end_ms_by_content[content] = end_ms

    def release(self, content: str):
        """Record that a trial has shown nothing."""
        self.end_ms_by_content.pop(content, None)

    def record_crash(self, content: str, now_ms: float):
        """Record a crash; it is the trial's if one is running."""
        if now_ms <= self.end_ms_by_content.pop(content, -1.0):
            crashes = self.crashes_by_content.get(content, 0) + 1
            self.crashes_by_content[content] = crashes

    def compute_pause_ms(
        self, record: rows.CrashRecord, was_answered: bool
    ) -> int:
        """Return the pause before a content's next trial, in ms."""
        crashes = self.crashes_by_content.get(record.content, 0)
        return compute_pause_ms(record, was_answered, crashes)

    def clear(self, content: str):
        """Forget a content that was answered."""
        self.end_ms_by_content.pop(content, None)
        self.crashes_by_content.pop(content, None)


def count_repeats(record: rows.CrashRecord) -> int:
    """Return how often endpoints ended that had ended before.

    Those that the verdict needs don't count. Endpoints that end in one moment
    are different ones, however many.
    """
    endpoints = {process.partition("@")[0] for process in record.endpoints}
    repeats = len(record.endpoints) - len(endpoints)
    return max(0, repeats - (MIN_CRASHES - 1))


def compute_pause_ms(
    record: rows.CrashRecord, was_answered: bool, trial_crashes: int = 0
) -> int:
    """Return the pause before the next trial, in ms.

    Parameters
    ----------
    record : rows.CrashRecord
    was_answered : bool
        Whether an endpoint has answered the content lately.
    trial_crashes : int
        Trials under which an endpoint ended, as far as they are known.
    """
    first_ms = FIRST_PAUSE_IF_ANSWERED_MS if was_answered else FIRST_PAUSE_MS
    doublings = max(trial_crashes, count_repeats(record))
    return min(MAX_PAUSE_MS, first_ms << doublings)


def compute_release_ms(pause_ms: int, now_ms: int) -> int:
    """Return the time of the last crash as if the pause were nearly over.

    It is what the record gets once a trial has shown nothing.
    """
    return now_ms + RELEASE_PAUSE_MS - pause_ms


def is_release(old: rows.CrashRecord | None, new: rows.CrashRecord) -> bool:
    """Tell whether a record has changed as a trial has shown nothing.

    Its time has gone back from the end of the trial.
    """
    return (
        old is not None
        and new.endpoints == old.endpoints
        and new.last_ms < old.last_ms
    )


def compute_wait_ms(
    record: rows.CrashRecord, pause_ms: int, now_ms: float
) -> float:
    """Return the time until a suspect's next trial, in ms.

    0 if one may begin.
    """
    if is_expired(record, now_ms):
        return 0.0
    return max(0.0, record.last_ms + pause_ms - now_ms)
