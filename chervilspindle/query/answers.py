"""Contents of the answer to a query, and the error if there is none."""

from chervilspindle.core import errors
from chervilspindle.query import coverage


def list_missing(query) -> tuple[coverage.MissingRange, ...]:
    """Return the key ranges without a result, with reasons."""
    return query.plan.missing + tuple(
        coverage.MissingRange(
            s.plan.service, s.plan.low, s.plan.high, s.reason
        )
        for s in query.shards
        if s.value is None
    )


def list_results(query) -> tuple[tuple[str, str, bytes], ...]:
    """Return service, shard name and value of each answered shard."""
    return tuple(
        (
            s.plan.service,
            coverage.name_shard(s.plan.low, s.plan.high),
            s.value,
        )
        for s in query.shards
        if s.value is not None
    )


def build_failure(query, missing) -> errors.ProblemError:
    """Build the error for a query that can't be answered.

    It is marked as not run only if no part can have run.
    """
    ran = query.earlier_attempt_ran or any(
        s.may_have_run or s.value is not None for s in query.shards
    )
    retry_after = max((s.retry_after_ms for s in query.shards), default=0)
    reasons = {row.reason for row in missing}
    kind = errors.ErrorKind.INCOMPLETE
    if len(reasons) == 1:
        kind = errors.ErrorKind(next(iter(reasons)))
    return errors.build_error(
        kind,
        f"{len(missing)} shards are missing: " + ", ".join(sorted(reasons)),
        not_run=not ran,
        retry_after_ms=retry_after,
        request_id=query.request.request_id,
    )
