"""Tests of reports on requests that another entry sends."""

import pytest

from chervilspindle.routing import forwarding
from chervilspindle.wire import endpoint_http
from chervilspindle.wire import messages


class Client:
    """Records the calls that are no longer waited for."""

    def __init__(self):
        self.discarded = []

    def discard(self, call):
        self.discarded.append(call)


def report(ending, status=200):
    """Return the answers of a call that gets a report."""
    answers = []
    client = Client()
    call = forwarding.ForwardedCall(
        client, "vm:1", 7, lambda call, answer: answers.append(answer)
    )
    headers = ((b"stamp", b"s"), (b"stamp", b"t"))
    message = messages.ForwardReport(7, ending, status, headers, b"body")
    call.handle_report(message)
    call.handle_report(message)
    assert client.discarded[0] is call and call.ended
    return answers


@pytest.mark.parametrize("ending", endpoint_http.Ending)
def test_a_report_ends_its_call_once(ending):
    (answer,) = report(ending.value)
    assert answer.ending is ending
    assert answer.get_header(b"stamp") == b"s"


@pytest.mark.parametrize("ending", ("", "answer", "of a later build"))
def test_a_report_with_an_unknown_ending_may_have_run(ending):
    """Its call would last until the deadline of its caller."""
    (answer,) = report(ending)
    assert answer.ending is endpoint_http.Ending.RELAY_LOST
    assert not answer.status and not answer.body
