"""Authenticated message links between VMs, over framed TCP.

Each link starts with an exchange of nonces; every later frame carries a keyed
BLAKE2b tag over a counter and the payload, so that frames cannot be forged,
replayed, dropped or reordered within a link. Both ends of an active link send
pings and close it when nothing arrives, because TCP alone may take minutes to
detect that a device on the path has dropped the connection's state. Idle links
send no pings, so that thousands of them cost nothing; the next message starts
the pings of both ends again.

The nonces also state which version of the protocol each end reads. Of a peer
that states none, the end that opened the link finds it out on links of their
own, since such a peer closes a link on a message that it can't read.
"""

import collections
import hashlib
import hmac
import itertools
import logging
import math
import typing

import msgspec
from twisted.internet import defer
from twisted.internet import error as internet_error
from twisted.internet import protocol
from twisted.protocols import basic

from chervilspindle.core import errors
from chervilspindle.core import logs
from chervilspindle.wire import caller_limits
from chervilspindle.wire import messages
from chervilspindle.wire import versions

LOGGER = logging.getLogger(__name__)

NONCE_BYTES = versions.NONCE_BYTES
TAG_BYTES = 16
MAX_FRAME_BYTES = 64 * 1024 * 1024
PING_PERIOD_S = 0.5
SILENCE_LIMIT_S = 2.0
IDLE_AFTER_S = 10.0
MAX_QUEUED = 10000
TRIALS_TIMEOUT_S = 0.5  # for all trials of a peer's version


class PendingCall(typing.NamedTuple):
    """A call whose reply is outstanding."""

    deferred: defer.Deferred
    timeout: object


class PeerLink(basic.Int32StringReceiver):
    """One connection; the same class serves both ends.

    Attributes
    ----------
    version : int
        Version of the protocol that the peer reads, as far as known.
    is_version_known : bool
        Whether the peer has stated it, or trials have shown it.
    is_verified : bool
        Whether the peer has shown that it has the key, or this end opened
        the link. Others may hold only what the limits on callers leave.
    """

    MAX_LENGTH = NONCE_BYTES  # until the handshake

    def __init__(self, network, dialled_address: str = ""):
        self.network = network
        self.dialled_address = dialled_address
        self.is_dialled = bool(dialled_address)
        self.is_verified = self.is_dialled
        self.is_aborted = False
        self.own_nonce = versions.build_nonce(
            network.shared_key, network.own_version
        )
        self.version = versions.OLDEST
        self.is_version_known = False
        self.send_key = None
        self.receive_key = None
        self.sent_count = 0
        self.received_count = 0
        self.last_received = network.clock.seconds()
        self.last_sent = self.last_received
        self.last_used = self.last_received
        self.pending_by_id = {}
        self.call_ids = itertools.count(1)

    def connectionMade(self):
        """Start the handshake."""
        self.transport.setTcpNoDelay(True)
        self.network.add_link(self)
        self.sendString(self.own_nonce)

    def connectionLost(self, reason=protocol.connectionDone):
        """Fail outstanding calls and remove the link from the network."""
        pending = list(self.pending_by_id.values())
        self.pending_by_id.clear()
        self.network.remove_link(self)
        for call in pending:
            if call.timeout.active():
                call.timeout.cancel()
            call.deferred.errback(_build_connection_lost("peer link lost"))

    def dataReceived(self, data: bytes):
        """Read frames; limits what peers hold that have shown no key."""
        if self.is_aborted:
            return
        super().dataReceived(data)
        if not self.is_verified and not self.is_aborted:
            self.network.hold_unverified(self, len(self._unprocessed))

    def abort(self):
        """Close at once and read nothing more."""
        self.is_aborted = True
        self.paused = True  # ends the loop over received frames
        self._unprocessed = b""
        self.transport.abortConnection()

    def describe_held(self, held_bytes: int, now: float):
        """Return what the budget for callers has to know of the link."""
        return caller_limits.Held(
            self, held_bytes, now - self.last_received, False, self.is_aborted
        )

    def give_up(self, reason: str):
        """Close for a limit on callers."""
        self.network.drop_unverified(self, reason)

    def stringReceived(self, string: bytes):
        """Authenticate a frame and dispatch its message."""
        self.last_received = self.network.clock.seconds()
        if self.receive_key is None:
            self._finish_handshake(string)
            return
        body = self._verify(string)
        if body is None:
            LOGGER.warning("peer frame failed authentication; closing link")
            self.abort()
            return
        if not self.is_verified:
            self.is_verified = True
            self.network.release_unverified(self)
        if not body:
            return
        try:
            frame = messages.split_frame(body)
        except (msgspec.MsgspecError, RecursionError):
            LOGGER.warning("peer frame cannot be decoded; closing link")
            self.abort()
            return
        self.last_used = self.last_received
        if not self.is_version_known:
            inferred = messages.infer_version(frame)
            self.version = max(self.version, inferred)
        try:
            message = messages.decode_message(frame)
        except (msgspec.MsgspecError, KeyError, RecursionError):
            self._handle_unreadable(frame)
            return
        if frame.is_reply:
            self._resolve(frame.call_id, message)
        else:
            self.network.dispatch(self, frame.call_id, message)

    def _handle_unreadable(self, frame: messages.Frame):
        """Reject a message of another build; the link stays open."""
        LOGGER.warning(
            "peer message cannot be read",
            extra={"kind": frame.kind, "peer_version": self.version},
        )
        problem = errors.build_problem(
            errors.ErrorKind.INTERNAL,
            f"the build cannot read this {frame.kind}",
            not_run=not frame.is_reply,
        )
        reply = messages.build_problem_reply(problem)
        if frame.is_reply:
            self._resolve(frame.call_id, reply)
        elif frame.call_id:
            self.send(reply, frame.call_id, is_reply=True)

    def lengthLimitExceeded(self, length: int):
        """Close a link whose frame exceeds the size limit."""
        LOGGER.warning(
            "peer frame is too large; closing link",
            extra={"frame_bytes": length, "limit_bytes": self.MAX_LENGTH},
        )
        self.abort()

    def is_ready(self) -> bool:
        """Return whether the handshake is complete."""
        return self.send_key is not None

    def is_idle(self, now: float) -> bool:
        """Return whether no message was carried for `IDLE_AFTER_S`."""
        return now - self.last_used > IDLE_AFTER_S

    def knows(self, kind) -> bool:
        """Tell whether the peer's build knows a type of message."""
        return messages.is_known(kind, self.version)

    def send(self, message, call_id: int = 0, is_reply: bool = False):
        """Send a message, in the layout that the peer reads.

        Raises
        ------
        ProblemError
            MALFORMED and not_run if it cannot be encoded.
        """
        self._send_encoded(_encode(message, call_id, is_reply, self.version))

    def _send_encoded(self, body: bytes):
        now = self.network.clock.seconds()
        if self.is_idle(now):
            # The other end sent no pings on the idle link, so the silence
            # limit starts now.
            self.last_received = now
        self.last_used = now
        self._send_body(body)

    def call(self, message, timeout_s: float) -> defer.Deferred:
        """Send a message and wait for its reply.

        Fails at once, as not run, if the peer's build does not know it.
        """
        if not self.knows(type(message)):
            return defer.fail(_build_unknown_kind(message))
        call_id = next(self.call_ids)
        try:
            body = _encode(message, call_id, False, self.version)
        except errors.ProblemError as error:
            return defer.fail(error)
        deferred = defer.Deferred()
        timeout = self.network.clock.callLater(
            timeout_s, self._time_out, call_id
        )
        self.pending_by_id[call_id] = PendingCall(deferred, timeout)
        self._send_encoded(body)
        return deferred

    def send_ping(self):
        """Send an empty frame."""
        self._send_body(b"")

    def _finish_handshake(self, nonce: bytes):
        if len(nonce) != NONCE_BYTES or nonce == self.own_nonce:
            self.abort()
            return
        dialled = self.is_dialled
        first, second = self.own_nonce, nonce
        if not dialled:
            first, second = second, first
        dialler_key = _derive_key(
            self.network.shared_key, first + second, b"d"
        )
        listener_key = _derive_key(
            self.network.shared_key, first + second, b"l"
        )
        self.MAX_LENGTH = MAX_FRAME_BYTES
        self.send_key = dialler_key if dialled else listener_key
        self.receive_key = listener_key if dialled else dialler_key
        stated = versions.read_version(self.network.shared_key, nonce)
        if stated is not None:
            self.version = stated
            self.is_version_known = True
        self._handle_open()

    def _handle_open(self):
        if self.is_version_known or not self.dialled_address:
            self.network.link_ready(self)
            return
        learning = self.network.learn_version(self, self.dialled_address)
        learning.addCallback(lambda _: self.network.link_ready(self))

    def _send_body(self, body: bytes):
        tag = _compute_tag(self.send_key, self.sent_count, body)
        self.sent_count += 1
        self.last_sent = self.network.clock.seconds()
        self.sendString(tag + body)

    def _verify(self, data: bytes) -> bytes | None:
        tag, body = data[:TAG_BYTES], data[TAG_BYTES:]
        expected = _compute_tag(self.receive_key, self.received_count, body)
        self.received_count += 1
        return body if hmac.compare_digest(tag, expected) else None

    def _resolve(self, call_id: int, message):
        call = self.pending_by_id.pop(call_id, None)
        if call is None:
            return
        if call.timeout.active():
            call.timeout.cancel()
        if isinstance(message, messages.ProblemReply):
            problem = messages.read_problem(message)
            call.deferred.errback(errors.ProblemError(problem))
        else:
            call.deferred.callback(message)

    def _time_out(self, call_id: int):
        call = self.pending_by_id.pop(call_id, None)
        if call is not None:
            call.deferred.errback(
                _build_connection_lost("peer did not answer in time")
            )


class TrialLink(PeerLink):
    """Finds out whether a build that states no version reads a message.

    Parameters
    ----------
    network : PeerNetwork
    message : typing.NamedTuple
    on_result : callable
        ``on_result(reads)``, called once.
    """

    def __init__(self, network, message, on_result):
        super().__init__(network)
        self.is_dialled = True
        self.is_verified = True
        self.message = message
        self.on_result = on_result
        self.has_result = False

    def connectionLost(self, reason=protocol.connectionDone):
        """Take a closed link as the answer that the message is not read."""
        super().connectionLost(reason)
        self._finish(False)

    def _handle_open(self):
        self._send_body(messages.encode_frame(self.message, 1, False))

    def _resolve(self, call_id: int, message):
        self._finish(True)
        self.transport.loseConnection()

    def _finish(self, reads):
        if not self.has_result:
            self.has_result = True
            self.on_result(reads)


class PeerNetwork(protocol.Factory):
    """All links of one process.

    Parameters
    ----------
    reactor : IReactorTCP and IReactorTime
    timers : TimerService
    shared_key : bytes
    handler : callable
        ``handler(link, message)`` returns a reply, a Deferred, or None.
    byte_streams : ReactorStreams or LoopStreams
        Opens connections.

    Attributes
    ----------
    own_version : int
        Version that this end states; tests play older builds with it.
    version_by_address : dict of str to int
        Version of the latest link to each address.
    """

    noisy = False

    def __init__(
        self, reactor, timers, shared_key: bytes, handler, byte_streams
    ):
        self.clock = reactor
        self.byte_streams = byte_streams
        self.shared_key = shared_key
        self.handler = handler
        self.links = set()
        self.link_by_address = {}
        self.queue_by_address = {}
        self.own_version = versions.CURRENT
        self.version_by_address = {}
        self.lost_listeners = []
        self.caller_budget = caller_limits.build_unlimited(reactor.seconds)
        self.max_unverified = math.inf
        self.unverified = {}  # accepted links in the order of their arrival
        timers.subscribe("peer-pings", PING_PERIOD_S, self._check_links)

    def buildProtocol(self, addr):
        """Build the protocol of an accepted connection."""
        return PeerLink(self)

    def listen(self, address: str) -> defer.Deferred:
        """Accept links on ``IP:PORT``."""
        return self.byte_streams.listen(address, self)

    def send(self, address: str, message, on_unsent=None):
        """Send a message, over a new link if there is none yet.

        If the link is lost, each of `lost_listeners` is called as
        ``listener(address)``. If there was no link to send it on,
        `on_unsent` is called before that, without arguments; also, later,
        if the peer's build does not know the message.
        """

        def start(ready):
            if ready is None:
                if on_unsent is not None:
                    on_unsent()
            elif ready.knows(type(message)):
                ready.send(message)
            elif on_unsent is not None:
                self.clock.callLater(0, on_unsent)

        link = self.link_by_address.get(address)
        if link is not None and link.is_ready():
            start(link)
        else:
            self._enqueue(address, start)

    def call(self, address: str, message, timeout_s: float):
        """Send a message and wait for its reply.

        Returns
        -------
        Deferred
            Fails with `ProblemError` of the peer, or CONNECTION_LOST.
        """
        link = self.link_by_address.get(address)
        if link is not None and link.is_ready():
            return link.call(message, timeout_s)
        outer = defer.Deferred()

        def start(ready):
            if ready is None:
                outer.errback(
                    _build_connection_lost("peer cannot be reached", True)
                )
                return
            ready.call(message, timeout_s).chainDeferred(outer)

        self._enqueue(address, start)
        return outer

    def open(self, address: str):
        """Open a link to an address, if none is open or being opened."""
        if not self.has_link(address):
            self._enqueue(address, lambda ready: None)

    def has_link(self, address: str) -> bool:
        """Tell whether a link to an address is open or being opened."""
        return (
            address in self.link_by_address or address in self.queue_by_address
        )

    def read_version(self, address: str) -> int:
        """Return the version that is read at an address, as far as known."""
        return self.version_by_address.get(address, versions.OLDEST)

    def knows(self, address: str, kind) -> bool:
        """Tell whether the build at an address knows a type of message.

        As it was at the latest link; true if there was none.
        """
        version = self.version_by_address.get(address, versions.CURRENT)
        return messages.is_known(kind, version)

    def record_versions(self, versions_by_address):
        """Record versions as another process knows them.

        Those of addresses to which this process has a link are known better.
        """
        for address, version in versions_by_address:
            if address not in self.link_by_address:
                self.version_by_address[address] = version

    def count_links_by_version(self) -> dict:
        """Return the number of open links by the version that peers read."""
        return collections.Counter(
            link.version for link in self.links if link.is_ready()
        )

    def learn_version(self, link: PeerLink, address: str) -> defer.Deferred:
        """Find out which version the peer of a link reads.

        Does nothing if it is known.

        Parameters
        ----------
        link : PeerLink
        address : str
            Where the peer accepts links; may be empty.

        Returns
        -------
        Deferred
            Fires with None, also if the peer does not answer in time.
        """
        if link.is_version_known or not address:
            return defer.succeed(None)
        learned = defer.Deferred()
        timeout = self.clock.callLater(
            TRIALS_TIMEOUT_S, learned.callback, None
        )

        def finish(version):
            if timeout.active():
                timeout.cancel()
                link.version = max(link.version, version)
                link.is_version_known = True
                learned.callback(None)

        def try_next(trials):
            if not trials or link not in self.links:
                finish(versions.OLDEST)
                return
            version, message = trials[0]

            def handle_result(reads):
                if reads:
                    finish(version)
                else:
                    try_next(trials[1:])

            connecting = self.byte_streams.connect(
                address, lambda: TrialLink(self, message, handle_result)
            )
            connecting.addErrback(_ignore_connect_error)

        try_next(messages.TRIAL_BY_VERSION)
        return learned

    def dispatch(self, link: PeerLink, call_id: int, message):
        """Run the handler and send back its reply."""
        deferred = defer.maybeDeferred(self.handler, link, message)
        if call_id:
            deferred.addErrback(_convert_failure)
            deferred.addCallback(self._reply, link, call_id)
            # A reply that cannot be encoded.
            deferred.addErrback(_convert_reply_failure)
            deferred.addCallback(self._reply, link, call_id)
        else:
            deferred.addErrback(_log_failure)

    def limit_unverified(self, budget, max_links: float):
        """Limit links whose peers have not shown that they have the key.

        Parameters
        ----------
        budget : caller_limits.CallerBudget
        max_links : float
            Beyond it, the oldest such link is closed.
        """
        self.caller_budget = budget
        self.max_unverified = max_links

    def hold_unverified(self, link: PeerLink, count: int):
        """Count what is held for a link without a verified frame."""
        held = caller_limits.CONNECTION_BYTES + count
        self.caller_budget.hold(link, held)

    def release_unverified(self, link: PeerLink):
        """Stop counting a link that is verified or closed."""
        self.unverified.pop(link, None)
        self.caller_budget.release(link)

    def drop_unverified(self, link: PeerLink, reason: str):
        """Close a link at a limit on callers."""
        self.caller_budget.count_refused(reason)
        self.release_unverified(link)
        link.abort()

    def add_link(self, link: PeerLink):
        """Register an opened link."""
        self.links.add(link)
        if link.is_verified:
            return
        self.unverified[link] = None
        self.hold_unverified(link, 0)
        if len(self.unverified) > self.max_unverified:
            oldest = next(iter(self.unverified))
            self.drop_unverified(oldest, caller_limits.CONNECTIONS_REASON)

    def link_ready(self, link: PeerLink):
        """Send the messages queued until the handshake completed."""
        address = link.dialled_address
        if not address or link not in self.links:
            return
        self.link_by_address[address] = link
        before = self.version_by_address.get(address, versions.CURRENT)
        self.version_by_address[address] = link.version
        if link.version != before:
            logs.log_decision(
                "peer-version",
                address=address,
                version=link.version,
                own_version=self.own_version,
            )
        for start in self.queue_by_address.pop(address, ()):
            try:
                start(link)
            except errors.ProblemError as error:
                LOGGER.error(
                    "queued peer message was not sent",
                    extra={"address": address, "why": str(error)},
                )

    def remove_link(self, link: PeerLink):
        """Remove a closed link and notify those who sent on it."""
        self.links.discard(link)
        self.release_unverified(link)
        address = link.dialled_address
        if not address:
            return
        if self.link_by_address.get(address) is link:
            del self.link_by_address[address]
        self._fail_queue(address)

    def close(self):
        """Close all links after their pending output is written."""
        for link in list(self.links):
            link.transport.loseConnection()

    def _enqueue(self, address: str, start):
        queue = self.queue_by_address.get(address)
        if queue is None:
            self.queue_by_address[address] = [start]
            self._connect(address)
        elif len(queue) < MAX_QUEUED:
            queue.append(start)
        else:
            self.clock.callLater(0, start, None)

    def _connect(self, address: str):
        connecting = defer.maybeDeferred(
            self.byte_streams.connect,
            address,
            lambda: PeerLink(self, dialled_address=address),
        )
        connecting.addErrback(
            lambda failure: self._connect_failed(address, failure)
        )

    def _connect_failed(self, address: str, failure):
        if not failure.check(internet_error.ConnectError, OSError):
            LOGGER.warning(
                "peer address cannot be used",
                extra={"address": address, "why": str(failure.value)},
            )
        self._fail_queue(address)

    def _fail_queue(self, address: str):
        for start in self.queue_by_address.pop(address, ()):
            start(None)
        for listener in self.lost_listeners:
            listener(address)

    def _reply(self, reply, link: PeerLink, call_id: int):
        if reply is not None and link in self.links:
            link.send(reply, call_id, is_reply=True)

    def _check_links(self):
        now = self.clock.seconds()
        for link in list(self.links):
            if link.is_ready() and link.is_idle(now):
                continue
            if now - link.last_received > SILENCE_LIMIT_S:
                link.transport.abortConnection()
            elif link.is_ready() and now - link.last_sent >= PING_PERIOD_S:
                link.send_ping()


def _derive_key(shared_key: bytes, nonces: bytes, label: bytes) -> bytes:
    return hashlib.blake2b(nonces + label, key=shared_key).digest()


def _compute_tag(key: bytes, count: int, body: bytes) -> bytes:
    counter = count.to_bytes(8, "big")
    digest = hashlib.blake2b(counter, key=key, digest_size=TAG_BYTES)
    digest.update(body)
    return digest.digest()


def _encode(message, call_id, is_reply, version):
    try:
        return messages.encode_frame(message, call_id, is_reply, version)
    except (OverflowError, RecursionError, TypeError, ValueError) as error:
        raise errors.build_error(
            errors.ErrorKind.MALFORMED,
            f"{type(message).__name__} cannot be sent: {error}",
            not_run=True,
        ) from error


def _build_connection_lost(detail: str, not_run: bool = False):
    return errors.build_error(
        errors.ErrorKind.CONNECTION_LOST, detail, not_run=not_run
    )


def _build_unknown_kind(message):
    return errors.build_error(
        errors.ErrorKind.INTERNAL,
        f"the peer's build does not know {type(message).__name__}",
        not_run=True,
    )


def _ignore_connect_error(failure):
    failure.trap(internet_error.ConnectError, OSError)


def _convert_failure(failure):
    if failure.check(errors.ProblemError):
        return messages.build_problem_reply(failure.value.problem)
    LOGGER.error("handler of peer call failed: %s", failure.getTraceback())
    return _build_internal_reply()


def _build_internal_reply():
    problem = errors.build_problem(
        errors.ErrorKind.INTERNAL, "internal error at the peer"
    )
    return messages.build_problem_reply(problem)


def _convert_reply_failure(failure):
    LOGGER.error("reply to peer was not sent: %s", failure.getTraceback())
    return _build_internal_reply()


def _log_failure(failure):
    LOGGER.error("handler of peer message failed: %s", failure.getTraceback())
