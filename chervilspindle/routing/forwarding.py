"""Requests to one endpoint that another entry sends.

Used by an entry that is cut off from endpoints. It chooses the endpoint,
keeps to attempts and budget, and answers the caller, as if it had sent the
request itself. The other entry sends it directly or not at all.
"""

from chervilspindle.core import logs
from chervilspindle.routing import drain
from chervilspindle.routing import endpoint_calls
from chervilspindle.wire import caller_limits
from chervilspindle.wire import endpoint_http
from chervilspindle.wire import http_statuses
from chervilspindle.wire import messages

ENDING_BY_VALUE = {ending.value: ending for ending in endpoint_http.Ending}


class ForwardedCall:
    """One request that another entry was asked to send.

    Has the interface of `endpoint_http.Call` that its sender uses, and the
    one of `relayed_query.RelayedDispatch` that the relay client uses.

    Attributes
    ----------
    connection : str
        Address of the other entry, as the request may run from now on.
    """

    def __init__(self, client, address, query_id, on_end):
        self.client = client
        self.address = address
        self.connection = address
        self.query_id = query_id
        self.on_end = on_end
        self.sent_s = 0.0
        self.ended = False
        self.context = None

    def may_have_run(self) -> bool:
        """Tell whether an endpoint may be executing the request."""
        return not self.ended

    def cancel(self):
        """Make the other entry cancel the request."""
        self.client.cancel(self)
        self._end(endpoint_http.Answer(endpoint_http.Ending.CANCELLED))

    def handle_report(self, report: messages.ForwardReport):
        """End with the answer that the endpoint sent to the other entry."""
        self.client.discard(self)
        if report.ending not in ENDING_BY_VALUE:
            logs.log_decision(
                "forward-report-unreadable",
                address=self.address,
                ending=report.ending,
            )
            self.fail("unknown ending")
            return
        ending = ENDING_BY_VALUE[report.ending]
        is_answered = ending is endpoint_http.Ending.ANSWERED
        if is_answered and not http_statuses.is_valid(report.status):
            self._end(endpoint_http.Answer(endpoint_http.Ending.INVALID))
            return
        value_by_name = {}
        for name, value in report.headers:
            value_by_name.setdefault(name, value)
        self._end(
            endpoint_http.Answer(
                ending,
                report.status,
                report.headers,
                value_by_name,
                report.body,
            )
        )

    def refuse(self):
        """End: the other entry has not sent it, or could not be asked."""
        self._end(endpoint_http.Answer(endpoint_http.Ending.CUT_OFF))

    def fail(self, reason: str):
        """End without knowing whether the request has run."""
        self._end(endpoint_http.Answer(endpoint_http.Ending.RELAY_LOST))

    def _end(self, answer):
        if not self.ended:
            self.ended = True
            self.on_end(self, answer)


class ServedForward(caller_limits.RunningHold):
    """A `messages.ForwardCall` in progress at the entry that sends it."""

    def __init__(self, server, link, message):
        self.server = server
        self.link = link
        self.message = message
        self.target = None
        self.call = None

    def get_request_id(self) -> bytes:
        """Return the id of the caller's request."""
        return self.message.request_id

    def estimate_work(self) -> drain.Work:
        """Return the time that the caller gives the request."""
        message = self.message
        return drain.Work(message.left_ms / 1000.0, None, message.idempotent)

    def start(self):
        """Send the request to its endpoint, if that is known here."""
        message = self.message
        context = self.server.context
        target = context.table.target_by_id.get(message.endpoint_id)
        if target is None:
            ending = endpoint_http.Ending.NOT_SENT
            self._report(endpoint_http.Answer(ending))
            return
        self.target = target
        now = context.loop.time()
        template = endpoint_calls.RequestTemplate(
            message.head, message.tail, context.names.sent
        )
        self.call = endpoint_calls.build_call(
            template,
            message.request_id,
            message.endpoint_id,
            now + message.left_ms / 1000.0,
            now,
            self._on_call_ended,
            message.idempotent,
        )
        send = endpoint_calls.Send(
            target, self.call, template, "forwarded", message.max_wait_s
        )
        endpoint_calls.submit(send, context)

    def count_bytes(self) -> int:
        """Return the memory of the request, in bytes."""
        return len(self.message.head) + len(self.message.tail)

    def clear(self):
        """Drop the request, after its last send."""
        self.message = self.message._replace(tail=b"")

    def report_unsent(self):
        """Report that it was not sent, as this VM has no room for it."""
        self._report(endpoint_http.Answer(endpoint_http.Ending.NOT_SENT))

    def refuse(self):
        """Tell that the request is not sent from this VM."""
        self.link.send(messages.RelayRefusal(self.message.query_id))

    def handle_cut_off(self):
        """Refuse the request if it has not left this VM."""
        if self.call.connection is None:
            self.call.on_end = self._refuse
            self.call.cancel()

    def cancel(self):
        """Cancel the request."""
        self.call.cancel()

    def _refuse(self, call, answer):
        self.server.discard(self.link, self.message.query_id)
        self.refuse()

    def _on_call_ended(self, call, answer):
        context = self.server.context
        outcome = endpoint_calls.handle_answer(
            self.target, call, answer, context
        )
        if not outcome.succeeded:
            context.metrics.count_failure(outcome.reason)
        self._report(answer)

    def _report(self, answer):
        self.server.discard(self.link, self.message.query_id)
        self.link.send(
            messages.ForwardReport(
                self.message.query_id,
                answer.ending.value,
                answer.status,
                tuple(answer.headers),
                answer.body,
            )
        )
