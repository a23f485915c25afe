"""Runs non-idempotent commands at most once.

A claim on (customer, idempotency key) is committed in control before the
first dispatch, together with a digest of the request and the id of the
attempt. A claim is freed only if it is certain that the command was not
dispatched. If the outcome is unknown, the caller gets an error that says so,
and no entry runs the command again.
"""

import hashlib
import typing

import msgspec
from twisted.internet import defer

from chervilspindle.core import errors
from chervilspindle.core import logs
from chervilspindle.core import rows
from chervilspindle.query import directory as directory_module
from chervilspindle.wire import messages

CLAIM_TIMEOUT_S = 2.0
RESOLVE_TIMEOUT_S = 60.0
LATE_REPLY_GRACE_S = 5.0
IN_PROGRESS_MS = 35000
MAX_SENDS = 4


class CommandRequest(typing.NamedTuple):
    """A command that was admitted."""

    request_id: str
    customer: str
    weight: float
    rank: int
    idempotency_key: str
    service: str
    key: str
    command: dict
    deadline_ms: float


class CommandRunner:
    """Runs the commands that this entry has admitted.

    Parameters
    ----------
    directory : Directory
    choose_endpoint : callable
        Returns one usable endpoint of those given, or None.
    control : ControlClient
    call_owner : callable
        ``call_owner(vm, message, timeout_s)`` returns a Deferred.
    timers : TimerService
    explainer : Explainer
    """

    def __init__(
        self,
        directory,
        choose_endpoint,
        control,
        call_owner,
        timers,
        explainer,
    ):
        self.directory = directory
        self.choose_endpoint = choose_endpoint
        self.control = control
        self.call_owner = call_owner
        self.timers = timers
        self.explainer = explainer
        self.background_calls = 0

    @defer.inlineCallbacks
    def run(self, request: CommandRequest):
        """Run a command, or return the recorded outcome of an earlier attempt.

        Returns
        -------
        Deferred of bytes
            JSON of the value. Fails with `ProblemError`.
        """
        due = self.timers.clock.seconds() + request.deadline_ms / 1000.0
        endpoint_id = self._choose_endpoint(request)
        claim = build_claim(request)
        claimed = yield self._claim(request, claim)
        if not claimed.granted and claimed.claim.attempt != claim.attempt:
            return self._replay_outcome(request, claim, claimed.claim)
        if claimed.claim.outcome != "claimed":
            return self._replay_outcome(request, claim, claimed.claim)
        reply = yield self._send(request, endpoint_id, due)
        return (yield self._return_outcome(request, reply))

    @defer.inlineCallbacks
    def _send(self, request, endpoint_id, due):
        """Send a claimed command to an owner, with retries at other owners.

        It is retried only if the owner replies that it did not dispatch it,
        or if it was not sent because the owner can't be reached.
        """
        tried = []
        while True:
            remaining_s = due - self.timers.clock.seconds()
            route = self.directory.get_route(endpoint_id)
            if remaining_s <= 0 or route is None:
                kind = errors.ErrorKind.DEADLINE.value
                return messages.CommandReply(
                    kind, False, 0, messages.EMPTY_VALUE
                )
            tried.append(endpoint_id)
            reply = yield self._dispatch(
                request, endpoint_id, route, remaining_s
            )
            if reply.dispatched or reply.status not in _RETRY_ELSEWHERE:
                return reply
            if len(tried) >= MAX_SENDS:
                return reply
            if self.directory.invalidate_route(endpoint_id, route.epoch):
                continue
            untried = [
                i for i in self._list_replicas(request) if i not in tried
            ]
            endpoint_id = self.choose_endpoint(untried)
            if endpoint_id is None:
                return reply

    def _choose_endpoint(self, request):
        endpoint_id = self.choose_endpoint(self._list_replicas(request))
        if endpoint_id is None:
            raise self._build_not_run(request, self._explain_absence(request))
        return endpoint_id

    def _explain_absence(self, request):
        """Return the kind of error of a request without an endpoint."""
        slot = directory_module.hash_key(request.key)
        plan = self.directory.plan_query((request.service,), slot)
        if plan.missing:
            return errors.ErrorKind(plan.missing[0].reason)
        return errors.ErrorKind.NO_ENDPOINT

    def _list_replicas(self, request):
        slot = directory_module.hash_key(request.key)
        plan = self.directory.plan_query((request.service,), slot)
        return plan.shards[0].endpoint_ids if plan.shards else ()

    @defer.inlineCallbacks
    def _claim(self, request, claim):
        try:
            reply = yield self.control.call(
                messages.ClaimCall(claim), CLAIM_TIMEOUT_S
            )
        except errors.ProblemError as error:
            # Nothing was dispatched. Control may have committed the claim
            # all the same, so free it.
            self._resolve(request, "free", b"")
            raise self._build_not_run(
                request, errors.ErrorKind.NO_LEADER
            ) from error
        return reply

    def _replay_outcome(self, request, claim, earlier: rows.Claim):
        """Answer a repeated request with the outcome of the first attempt."""
        self.explainer.record(
            request.request_id,
            "claim-refused",
            customer=request.customer,
            claim=claim.claim_id,
            first_attempt=earlier.attempt,
            outcome=earlier.outcome,
        )
        if earlier.digest != claim.digest:
            raise errors.build_error(
                errors.ErrorKind.KEY_REUSED,
                "the idempotency key was already used for a different request",
                request_id=request.request_id,
                source="header Idempotency-Key",
            )
        if earlier.outcome == "done":
            return earlier.value
        if earlier.outcome == "failed":
            raise self._build_failed(request, earlier.value.decode())
        age = logs.read_wall_ms() - earlier.created_ms
        kind = errors.ErrorKind.OUTCOME_UNKNOWN
        if age < IN_PROGRESS_MS:
            kind = errors.ErrorKind.IN_PROGRESS
        raise errors.build_error(
            kind,
            "the outcome of an earlier attempt with this key is not recorded",
            not_run=False,
            request_id=request.request_id,
        )

    def _dispatch(self, request, endpoint_id, route, remaining_s):
        vm, epoch = route
        self.explainer.record(
            request.request_id,
            "command-route",
            customer=request.customer,
            owner=vm.session,
            endpoint=endpoint_id,
            reason="expected-finish",
        )
        message = messages.RunCommand(
            request.request_id,
            request.customer,
            request.weight,
            request.rank,
            remaining_s * 1000.0,
            endpoint_id,
            epoch,
            request.key,
            msgspec.json.encode(request.command),
        )
        caller_reply = defer.Deferred()
        # Wait for the reply past the deadline of the caller, to record the
        # outcome for repeated requests.
        owner_reply = self.call_owner(
            vm, message, remaining_s + LATE_REPLY_GRACE_S
        )
        timeout = self.timers.call_later(
            remaining_s, self._time_out, request, caller_reply
        )
        self.background_calls += 1
        owner_reply.addBoth(self._handle_reply, request, caller_reply, timeout)
        return caller_reply

    def _time_out(self, request, caller_reply):
        kind = errors.ErrorKind.OUTCOME_UNKNOWN.value
        caller_reply.callback(
            messages.CommandReply(kind, True, 0, messages.EMPTY_VALUE)
        )

    def _handle_reply(self, result, request, caller_reply, timeout):
        self.background_calls -= 1
        if not isinstance(result, messages.CommandReply):
            result = self._convert_call_failure(result)
        if timeout.active():
            timeout.cancel()
            caller_reply.callback(result)
            return
        self._record(request, result)

    def _convert_call_failure(self, failure):
        not_run = False
        if failure.check(errors.ProblemError):
            not_run = failure.value.problem.not_run
        kind = errors.ErrorKind.OUTCOME_UNKNOWN
        if not_run:
            kind = errors.ErrorKind.NO_ENDPOINT
        return messages.CommandReply(
            kind.value, not not_run, 0, messages.EMPTY_VALUE
        )

    @defer.inlineCallbacks
    def _return_outcome(self, request, reply):
        self.explainer.record(
            request.request_id,
            "command-outcome",
            customer=request.customer,
            status=reply.status,
            dispatched=reply.dispatched,
        )
        recorded = self._record(request, reply)
        if reply.status == "ok":
            yield recorded
            return reply.value
        if not reply.dispatched:
            yield recorded
            raise self._build_not_run(
                request, errors.ErrorKind(reply.status), reply.retry_after_ms
            )
        if reply.status == errors.ErrorKind.ENDPOINT_FAILED.value:
            yield recorded
            raise self._build_failed(request, reply.value.decode())
        raise errors.build_error(
            errors.ErrorKind.OUTCOME_UNKNOWN,
            "the request was sent, but its outcome is unknown",
            not_run=False,
            request_id=request.request_id,
        )

    def _record(self, request, reply):
        """Record the outcome of an attempt; if unknown, leave it claimed."""
        if reply.status == "ok":
            return self._resolve(request, "done", reply.value)
        if not reply.dispatched:
            return self._resolve(request, "free", b"")
        if reply.status == errors.ErrorKind.ENDPOINT_FAILED.value:
            return self._resolve(request, "failed", reply.value)
        return defer.succeed(None)

    def _resolve(self, request, outcome, value):
        """Record an outcome; retries go on if control can't be reached.

        Returns
        -------
        Deferred
            Fires once the record is committed, at the latest after
            `CLAIM_TIMEOUT_S`; it never fails. Calls to control continue in
            the background for up to `RESOLVE_TIMEOUT_S`.
        """
        message = messages.ResolveCall(
            build_claim_id(request), request.request_id, outcome, value
        )
        done = defer.Deferred()
        timeout = self.timers.call_later(CLAIM_TIMEOUT_S, done.callback, None)
        self.background_calls += 1

        def finish(result):
            self.background_calls -= 1
            if timeout.active():
                timeout.cancel()
                done.callback(None)

        self.control.call(message, RESOLVE_TIMEOUT_S).addBoth(finish)
        return done

    def _build_not_run(self, request, kind, retry_after_ms=0):
        return errors.build_error(
            kind,
            "the request was not run",
            not_run=True,
            retry_after_ms=retry_after_ms,
            request_id=request.request_id,
        )

    def _build_failed(self, request, detail):
        return errors.build_error(
            errors.ErrorKind.ENDPOINT_FAILED,
            f"the endpoint ran the request, which failed: {detail}",
            not_run=False,
            request_id=request.request_id,
        )


_RETRY_ELSEWHERE = errors.collect_values(
    errors.ErrorKind.NOT_OWNER,
    errors.ErrorKind.NO_ENDPOINT,
    errors.ErrorKind.NO_LEASE,
    errors.ErrorKind.DRAINING,
)


def build_claim_id(request: CommandRequest) -> str:
    """Return the id of the claim of a request."""
    return f"{request.customer}/{request.idempotency_key}"


def build_claim(request: CommandRequest) -> rows.Claim:
    """Build the claim of a request, with a digest of its content."""
    content = msgspec.json.encode(
        (request.service, request.key, request.command), order="sorted"
    )
    digest = hashlib.blake2b(content, digest_size=16).hexdigest()
    return rows.Claim(
        build_claim_id(request),
        digest,
        request.request_id,
        "claimed",
        b"",
        logs.read_wall_ms(),
    )
