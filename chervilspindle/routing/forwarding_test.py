"""Tests of reports on requests and shards that other entries send."""

import pytest

from chervilspindle.routing import forwarding
from chervilspindle.routing import relayed_query
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


class Listener:
    """Records what a relay reported; knows two shards."""

    def __init__(self):
        self.rows = []

    def on_endpoint_chosen(self, dispatch, service, endpoint_id):
        self.rows.append(("sent", service))

    def on_part_set(self, dispatch, part_set, mean_ms):
        self.rows.append(("part", part_set.services))

    def on_parts_lost(self, dispatch, losses):
        self.rows.append(("lost", tuple(row.service for row in losses)))


def test_rows_of_a_relay_on_other_shards_are_ignored_beside_the_sound_ones():
    listener = Listener()
    client = Client()
    dispatch = relayed_query.RelayedDispatch(
        client, "vm:1", 7, ("one", "two", "three"), listener
    )
    parts = tuple(
        messages.PartSet(services, b"s", b"")
        for services in (("other",), ("one", "other"), ("one",), ("one",))
    )
    losses = tuple(
        messages.Loss(service, "e-1", "broken", True)
        for service in ("other", "two", "two", "one")
    )
    sent = (("other", "e-1"), ("three", "e-2"))
    dispatch.handle_report(messages.RelayReport(7, parts, losses, sent, 1.0))
    assert listener.rows == [
        ("sent", "three"),
        ("part", ("one",)),
        ("lost", ("two",)),
    ]
    assert dispatch.pending_services == {"three"} and not client.discarded
