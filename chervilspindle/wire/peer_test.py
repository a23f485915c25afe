"""Tests of peer links: authentication, calls, silent and idle links."""

import hypothesis
from hypothesis import strategies
import msgspec
import pytest
from twisted.internet import defer
from twisted.internet import task
from twisted.internet import testing

from chervilspindle.core import errors
from chervilspindle.core import rows
from chervilspindle.core import timers
from chervilspindle.wire import caller_limits
from chervilspindle.wire import messages
from chervilspindle.wire import peer
from chervilspindle.wire import reactor_streams
from chervilspindle.wire import versions

ADDRESS = "127.0.0.1:1"
OLD_NONCE = bytes(range(peer.NONCE_BYTES))  # states no version


UNENCODABLE = messages.DocumentCall(rows.StoredDocument(1 << 70, b""))


class Transport(testing.StringTransport):
    """Collects the bytes written and records an abort."""

    def setTcpNoDelay(self, enabled):
        pass

    def abortConnection(self):
        self.disconnecting = True


class End:
    """One process with one end of a link."""

    def __init__(self, clock, key, dialled):
        self.clock = clock
        self.received = []
        self.lost = []
        self.network = peer.PeerNetwork(
            clock,
            timers.TimerService(clock),
            key,
            self.handle,
            reactor_streams.ReactorStreams(clock),
        )
        self.network.lost_listeners.append(self.lost.append)
        self.link = peer.PeerLink(self.network, dialled)
        self.transport = Transport()

    def handle(self, link, message):
        self.received.append(message)
        if isinstance(message, messages.StatusCall):
            return messages.StatusReply(b"{}")
        return None


class Pair:
    """Both ends of a link; the test decides when bytes are delivered."""

    def __init__(self, first_key=b"k" * 16, second_key=b"k" * 16):
        self.clock = task.Clock()
        self.dialler = End(self.clock, first_key, ADDRESS)
        self.listener = End(self.clock, second_key, "")
        for end in (self.dialler, self.listener):
            end.link.makeConnection(end.transport)
        self.deliver()

    def deliver(self):
        """Deliver bytes both ways until both ends are quiet."""
        moved = True
        while moved:
            moved = False
            for here, there in (
                (self.dialler, self.listener),
                (self.listener, self.dialler),
            ):
                data = here.transport.value()
                here.transport.clear()
                if data:
                    moved = True
                    there.link.dataReceived(data)

    def advance_time(self, seconds, deliver=True):
        for _ in range(round(seconds * 10)):
            self.clock.advance(0.1)
            if deliver:
                self.deliver()


@pytest.fixture(name="pair")
def build_pair():
    return Pair()


def test_call_gets_its_reply(pair):
    replies = []
    link = pair.dialler.link
    link.call(messages.StatusCall(), 1.0).addCallback(replies.append)
    pair.deliver()
    assert replies == [messages.StatusReply(b"{}")]


def test_call_without_reply_fails_in_time_and_may_have_run(pair):
    failures = []
    link = pair.dialler.link
    link.call(messages.StatusCall(), 1.0).addErrback(failures.append)
    pair.advance_time(1.2, deliver=False)
    problem = failures[0].value.problem
    assert problem.kind is errors.ErrorKind.CONNECTION_LOST
    assert not problem.not_run


@pytest.mark.parametrize(
    "data", (b"\x03\x00\x00\x00", b"\x00\x00\x00\x11", b"HTTP/1.1 200 OK")
)
def test_a_link_is_closed_at_a_large_frame_before_the_handshake(data):
    clock = task.Clock()
    end = End(clock, b"k" * 16, "")
    end.link.makeConnection(end.transport)
    end.link.dataReceived(data)
    assert end.transport.disconnecting


def test_link_with_different_key_is_refused():
    pair = Pair(second_key=b"x" * 16)
    pair.dialler.link.send(messages.StatusCall())
    pair.deliver()
    assert pair.listener.transport.disconnecting
    assert pair.listener.received == []


@pytest.mark.parametrize("position", (5, 25, -1))
def test_changed_frame_is_refused(pair, position):
    pair.dialler.link.send(messages.Leave("session"))
    data = bytearray(pair.dialler.transport.value())
    data[position] ^= 1
    pair.dialler.transport.clear()
    pair.listener.link.dataReceived(bytes(data))
    assert pair.listener.transport.disconnecting
    assert pair.listener.received == []


def test_replayed_frame_is_refused(pair):
    pair.dialler.link.send(messages.Leave("session"))
    data = pair.dialler.transport.value()
    pair.listener.link.dataReceived(data)
    assert len(pair.listener.received) == 1
    pair.listener.link.dataReceived(data)
    assert len(pair.listener.received) == 1
    assert pair.listener.transport.disconnecting


def test_active_link_that_goes_silent_is_closed(pair):
    pair.dialler.link.send(messages.Leave("session"))
    pair.deliver()
    pair.advance_time(5.0)
    assert not pair.dialler.transport.disconnecting
    pair.advance_time(3.0, deliver=False)
    assert pair.dialler.transport.disconnecting


def test_idle_link_sends_nothing_and_stays(pair):
    pair.advance_time(30.0)
    pair.dialler.transport.clear()
    pair.listener.transport.clear()
    pair.advance_time(60.0, deliver=False)
    assert pair.dialler.transport.value() == b""
    assert pair.listener.transport.value() == b""
    assert not pair.dialler.transport.disconnecting
    pair.dialler.link.send(messages.Leave("session"))
    pair.advance_time(5.0)
    assert len(pair.listener.received) == 1
    assert not pair.dialler.transport.disconnecting


def test_idle_link_that_went_silent_is_closed_after_the_next_message(pair):
    pair.advance_time(60.0)
    pair.dialler.link.send(messages.Leave("session"))
    pair.advance_time(1.0, deliver=False)
    assert not pair.dialler.transport.disconnecting
    pair.advance_time(2.0, deliver=False)
    assert pair.dialler.transport.disconnecting


REPORT = messages.ForwardReport(
    7, "answered", 200, ((b"stamp", b"s"),), b"hello" * 9
)


def test_a_frame_cut_after_any_byte_is_not_delivered():
    pair = Pair()
    pair.listener.link.send(REPORT)
    whole = pair.listener.transport.value()
    for length in range(len(whole)):
        pair = Pair()
        pair.listener.link.send(REPORT)
        cut = pair.listener.transport.value()[:length]
        pair.dialler.link.dataReceived(cut)
        pair.dialler.link.connectionLost()
        assert pair.dialler.received == []
        assert pair.dialler.lost == [ADDRESS]


def test_a_reply_cut_after_any_byte_fails_its_call_and_may_have_run():
    length = 0
    while True:
        pair = Pair()
        results = []
        call = pair.dialler.link.call(messages.StatusCall(), 1.0)
        call.addBoth(results.append)
        data = pair.dialler.transport.value()
        pair.listener.link.dataReceived(data)
        reply = pair.listener.transport.value()
        pair.dialler.link.dataReceived(reply[:length])
        if length == len(reply):
            assert results == [messages.StatusReply(b"{}")]
            return
        pair.dialler.link.connectionLost()
        problem = results[0].value.problem
        assert problem.kind is errors.ErrorKind.CONNECTION_LOST
        assert not problem.not_run
        length += 1


def nest(depth):
    """Return nested arrays."""
    return b"\x91" * depth + b"\xc0"


@hypothesis.settings(derandomize=True, max_examples=200, deadline=None)
@hypothesis.given(
    body=strategies.one_of(
        strategies.binary(max_size=40),
        strategies.sampled_from((0, 10, 5000)).map(nest),
        strategies.tuples(
            strategies.sampled_from(
                [b"\xa4Nope", b"\xadForwardReport", b"\xaaRelayReport"]
            ),
            strategies.binary(max_size=30)
            | strategies.sampled_from((0, 10, 5000)).map(nest),
        ).map(lambda parts: b"\x94" + parts[0] + b"\x00\xc2" + parts[1]),
    )
)
def test_any_content_of_a_frame_closes_the_link_or_harms_no_message(body):
    """A peer of another build may send what this one can't read."""
    pair = Pair()
    pair.dialler.link._send_body(body)
    pair.deliver()
    if pair.listener.transport.disconnecting:
        return
    pair.dialler.link.send(REPORT)
    pair.deliver()
    assert pair.listener.received[-1] == REPORT


def build_frame(kind, call_id, is_reply, *fields):
    body = messages.msgspec.Raw(messages._ENCODER.encode(fields))
    return (kind, call_id, is_reply, body)


def test_both_ends_learn_the_version_that_the_other_reads(pair):
    for end in (pair.dialler, pair.listener):
        assert end.link.version == versions.CURRENT
        assert end.link.is_version_known


def test_a_message_of_an_unknown_kind_is_answered_and_the_link_stays(pair):
    answers = []
    link = pair.dialler.link
    link._resolve = lambda call_id, message: answers.append(message)
    for call_id in (1, 0):
        frame = build_frame("NewCall", call_id, False, "field")
        link._send_body(messages._ENCODER.encode(frame))
        pair.deliver()
        assert not pair.listener.transport.disconnecting
    (answer,) = answers
    assert messages.read_problem(answer).not_run
    link.send(messages.Leave("session"))
    pair.deliver()
    assert pair.listener.received == [messages.Leave("session")]


def test_a_reply_that_cannot_be_read_fails_its_call_only(pair):
    failures = []
    listener = pair.listener.link
    listener.call(messages.StatusCall(), 1.0).addErrback(failures.append)
    data = build_frame("NewReply", 1, True, 5)
    pair.dialler.link._send_body(messages._ENCODER.encode(data))
    pair.deliver()
    problem = failures[0].value.problem
    assert problem.kind is errors.ErrorKind.INTERNAL and not problem.not_run
    assert not pair.listener.transport.disconnecting


def test_surplus_fields_of_a_newer_build_are_left_out(pair):
    place = ["a", "10.0.0.1:1", "10.0.0.1:2", "surplus"]
    relay = ["vm", "a", "10.0.0.2:1", 7]
    fields = ("m", 1, 2, ["e"], [relay], 3, place, 4, "surplus", {"x": []})
    frame = (*build_frame("MemberReport", 0, False, *fields), "surplus")
    pair.dialler.link._send_body(messages._ENCODER.encode(frame))
    pair.deliver()
    (report,) = pair.listener.received
    assert report.relays == (messages.Relay("vm", "a", "10.0.0.2:1"),)
    assert report.place == messages.MemberPlace(*place[:3])
    assert report.known_places == 4


def test_a_kind_that_the_peer_does_not_know_is_not_sent(pair):
    link = pair.dialler.link
    link.version = 3
    failures = []
    call = messages.ProbeCall("endpoint")
    link.call(call, 1.0).addErrback(failures.append)
    assert failures[0].value.problem.not_run
    unsent = []
    pair.dialler.network.send(ADDRESS, call, lambda: unsent.append(call))
    pair.advance_time(0.1)
    assert unsent == [call]
    assert pair.listener.received == []


class TrialStreams:
    """Connects trial links to a build that reads kinds up to a version."""

    def __init__(self, version):
        self.version = version
        self.trials = 0
        self.ends = []

    def connect(self, address, build_link):
        self.trials += 1
        link = build_link()
        transport = Transport()
        link.makeConnection(transport)
        listener = End(task.Clock(), b"k" * 16, "")
        listener.link.own_nonce = OLD_NONCE
        listener.link.makeConnection(listener.transport)
        link.dataReceived(listener.transport.value())
        listener.transport.clear()
        sent = transport.value()
        listener.link.dataReceived(sent)
        kind = type(listener.received[0])
        if messages.is_known(kind, self.version) and self.has_fields(kind):
            listener.link.send(messages.Done(), 1, is_reply=True)
            link.dataReceived(listener.transport.value())
        else:
            link.connectionLost()
        return defer.succeed(None)

    def has_fields(self, kind):
        counts = messages.FIELD_COUNTS.get(kind, {0: 0})
        return max(counts) <= self.version


@pytest.mark.parametrize("version", (1, 2, 3, 4))
def test_the_version_of_a_build_that_states_none_is_found_out(version):
    pair = Pair()
    network = pair.dialler.network
    network.byte_streams = TrialStreams(version)
    link = peer.PeerLink(network, "127.0.0.1:2")
    queued = []
    network.queue_by_address["127.0.0.1:2"] = [queued.append]
    link.makeConnection(Transport())
    link.dataReceived(
        len(OLD_NONCE).to_bytes(4, "big") + OLD_NONCE,
    )
    assert link.version == version
    assert network.link_by_address["127.0.0.1:2"] is link
    assert queued == [link]
    assert network.byte_streams.trials == min(5 - version, 3)


def test_a_peer_that_ends_no_trial_counts_as_the_oldest():
    pair = Pair()
    network = pair.dialler.network
    network.byte_streams = TrialStreams(4)
    network.byte_streams.connect = lambda address, build: defer.Deferred()
    link = peer.PeerLink(network, "127.0.0.1:2")
    link.makeConnection(Transport())
    link.dataReceived(len(OLD_NONCE).to_bytes(4, "big") + OLD_NONCE)
    assert "127.0.0.1:2" not in network.link_by_address
    pair.advance_time(peer.TRIALS_TIMEOUT_S + 0.1)
    assert network.link_by_address["127.0.0.1:2"].version == versions.OLDEST


def test_messages_that_only_newer_builds_write_show_the_version():
    pair = Pair()
    end = End(pair.clock, b"k" * 16, "")
    end.link.makeConnection(end.transport)
    end.link.receive_key = end.link.send_key = b"x"
    for message, version in (
        (messages.StatusCall(), 1),
        (messages.MemberReport("m", 0, 0, ()), 2),
        (messages.PermitCall("e", "a", 1.0, 0.0, 0.0), 3),
        (messages.ProbeCall("e"), 4),
        (messages.StatusCall(), 4),
    ):
        body = messages.encode_frame(message, 0, False, max(version, 2))
        tag = peer._compute_tag(b"x", end.link.received_count, body)
        end.link.stringReceived(tag + body)
        assert end.link.version == version


class BrokenStreams:
    """Fails to open each connection."""

    def __init__(self, error, is_raised):
        self.error = error
        self.is_raised = is_raised

    def connect(self, address, build_protocol):
        if self.is_raised:
            raise self.error
        return defer.fail(self.error)


@pytest.mark.parametrize("is_raised", (True, False))
@pytest.mark.parametrize(
    "error", (ValueError("no port"), UnicodeError("label too long"))
)
def test_each_call_to_an_address_that_cannot_be_used_fails(error, is_raised):
    clock = task.Clock()
    network = End(clock, b"k" * 16, "").network
    network.byte_streams = BrokenStreams(error, is_raised)
    failures = []
    for _ in range(2):
        calling = network.call("x", messages.StatusCall(), 1.0)
        calling.addErrback(failures.append)
    network.send("x", messages.StatusCall())
    clock.advance(1.0)
    problems = [failure.value.problem for failure in failures]
    assert [p.kind for p in problems] == [errors.ErrorKind.CONNECTION_LOST] * 2
    assert all(p.not_run for p in problems)
    assert network.queue_by_address == {}


def test_a_call_that_cannot_be_encoded_fails_alone(pair):
    link = pair.dialler.link
    failures = []
    link.call(UNENCODABLE, 1.0).addErrback(failures.append)
    assert failures[0].value.problem.kind is errors.ErrorKind.MALFORMED
    assert failures[0].value.problem.not_run
    assert link.pending_by_id == {}
    test_call_gets_its_reply(pair)


def test_a_message_that_cannot_be_encoded_does_not_drop_those_behind_it():
    pair = Pair()
    network = pair.dialler.network
    network.link_by_address.clear()
    network.queue_by_address[ADDRESS] = []
    replies = []
    network.send(ADDRESS, UNENCODABLE)
    network.call(ADDRESS, UNENCODABLE, 1.0).addErrback(lambda _: None)
    network.call(ADDRESS, messages.StatusCall(), 1.0).addCallback(
        replies.append
    )
    network.link_ready(pair.dialler.link)
    pair.deliver()
    assert replies == [messages.StatusReply(b"{}")]


def test_a_reply_that_cannot_be_encoded_is_an_error_at_the_caller(pair):
    pair.listener.network.handler = lambda link, message: UNENCODABLE
    failures = []
    call = pair.dialler.link.call(messages.StatusCall(), 1.0)
    call.addErrback(failures.append)
    pair.deliver()
    assert failures[0].value.problem.kind is errors.ErrorKind.INTERNAL


def test_a_problem_of_an_unknown_kind_fails_its_call(pair):
    pair.listener.network.handler = lambda link, message: (
        messages.ProblemReply("kind_of_a_later_build", "text", True, 0)
    )
    failures = []
    call = pair.dialler.link.call(messages.StatusCall(), 1.0)
    call.addErrback(failures.append)
    pair.deliver()
    assert failures[0].value.problem.kind is errors.ErrorKind.INTERNAL
    assert failures[0].value.problem.not_run
    assert not pair.dialler.transport.disconnecting


def test_a_nested_frame_closes_its_link_only(pair):
    other = End(pair.clock, b"k" * 16, "").link
    pair.listener.network.add_link(other)
    frame = messages.Frame("Leave", 0, False, b"")
    nested = msgspec.Raw(b"\x91" * 5000 + b"\xc0")
    body = msgspec.msgpack.encode(frame._replace(body=nested))
    pair.dialler.link._send_body(body)
    pair.listener.link.dataReceived(pair.dialler.transport.value())
    assert pair.listener.transport.disconnecting
    assert other in pair.listener.network.links


def test_a_link_that_is_opened_in_advance_is_opened_once():
    """Guards against a second connection, and against a message on it."""
    opened = []

    class Streams:
        def connect(self, address, build_protocol):
            opened.append(build_protocol())
            return defer.Deferred()

    clock = task.Clock()
    network = peer.PeerNetwork(
        clock, timers.TimerService(clock), b"k" * 16, None, Streams()
    )
    assert not network.has_link(ADDRESS)
    network.open(ADDRESS)
    network.open(ADDRESS)
    assert network.has_link(ADDRESS) and len(opened) == 1
    transport = Transport()
    opened[0].makeConnection(transport)
    transport.clear()
    opened[0].stringReceived(versions.build_nonce(b"k" * 16, versions.CURRENT))
    network.open(ADDRESS)
    assert opened[0].is_ready() and network.has_link(ADDRESS)
    assert len(opened) == 1 and transport.value() == b""
    opened[0].connectionLost()
    assert not network.has_link(ADDRESS)


def accept(network):
    """Accept a link of a peer; return it with its transport."""
    link = network.buildProtocol(None)
    transport = Transport()
    link.makeConnection(transport)
    return link, transport


def test_frames_without_end_of_peers_without_the_key_share_the_budget():
    """Guards against frames that are buffered before they are verified."""
    clock = task.Clock()
    network = End(clock, b"k" * 16, "").network
    reasons = []
    budget = caller_limits.CallerBudget(
        3_000_000, clock.seconds, reasons.append
    )
    network.limit_unverified(budget, 10)
    links = [accept(network) for _ in range(4)]
    for link, transport in links:
        link.dataReceived(b"\0\0\0\x10" + OLD_NONCE + b"\x03\0\0\0")
        clock.advance(0.1)
        for _ in range(10):
            if not transport.disconnecting:
                link.dataReceived(b"p" * 100_000)
    closed = [t.disconnecting for _, t in links]
    assert closed[0] and not closed[3]
    assert reasons == ["caller_budget"] * sum(closed)
    assert budget.total_bytes <= budget.limit_bytes


def test_a_verified_link_holds_nothing_of_the_budget(pair):
    """A frame of a peer with the key may be as large as it has to be."""
    network = pair.listener.network
    budget = caller_limits.CallerBudget(10_000, pair.clock.seconds)
    network.limit_unverified(budget, 10)
    pair.dialler.link.send(messages.Replicate(b"small", ADDRESS))
    pair.deliver()
    assert not network.unverified and not budget.held_by_connection
    large = messages.Replicate(b"x" * 100_000, ADDRESS)
    pair.dialler.link.send(large)
    data = pair.dialler.transport.value()
    pair.dialler.transport.clear()
    for start in range(0, len(data), 1000):
        pair.listener.link.dataReceived(data[start : start + 1000])
    assert pair.listener.received[-1] == large


def test_silent_links_make_room_for_new_ones():
    clock = task.Clock()
    network = End(clock, b"k" * 16, "").network
    budget = caller_limits.CallerBudget(10**9, clock.seconds)
    network.limit_unverified(budget, 3)
    transports = [accept(network)[1] for _ in range(5)]
    assert [t.disconnecting for t in transports] == [True] * 2 + [False] * 3


def test_nothing_is_read_after_a_frame_that_failed_authentication(pair):
    """Guards against a log line for each frame that came with it."""
    link = pair.listener.link
    frame = b"\0\0\0\x01p"
    link.dataReceived(frame * 1000)
    assert pair.listener.transport.disconnecting
    assert link.received_count == 1
