"""Replication transport between control members, over nng push and pull.

Every member listens on one pull socket and dials one push socket to each
other member. nng reconnects by itself and does not report lost connections,
which is sufficient because the replication protocol tolerates lost messages; a
message is dropped if the send queue is full. The reactor reads the pull
socket's file descriptor, so that all work runs on one event loop.
"""

import hashlib
import hmac
import logging

import pynng
from twisted.internet import interfaces
import zope.interface

TAG_BYTES = 16
SEND_QUEUE_MESSAGES = 128
RECONNECT_MIN_MS = 50
RECONNECT_MAX_MS = 500
RECEIVE_LIMIT_BYTES = 64 * 1024 * 1024
MAX_MESSAGES_PER_READ = 64  # per iteration of the event loop

LOGGER = logging.getLogger(__name__)


@zope.interface.implementer(interfaces.IReadDescriptor)
class NngTransport:
    """Sends and receives authenticated datagrams.

    Parameters
    ----------
    reactor : IReactorFDSet
    shared_key : bytes
    handler : callable
        ``handler(data)``, called with each authenticated message.
    """

    def __init__(self, reactor, shared_key: bytes, handler):
        self.reactor = reactor
        self.shared_key = shared_key
        self.handler = handler
        self.push_by_address = {}
        self.pull = None

    def listen(self, address: str):
        """Listen on ``IP:PORT`` and start reading."""
        self.pull = pynng.Pull0(recv_max_size=RECEIVE_LIMIT_BYTES)
        self.pull.listen(f"tcp://{address}")
        self.descriptor = self.pull.recv_fd
        self.reactor.addReader(self)

    def send(self, address: str, data: bytes):
        """Send to a member; the message is dropped if the queue is full."""
        socket = self.push_by_address.get(address)
        if socket is None:
            socket = self._dial(address)
        try:
            socket.send(self._compute_tag(data) + data, block=False)
        except pynng.TryAgain:
            LOGGER.debug(
                "send queue full; replication message dropped",
                extra={"address": address},
            )

    def close(self):
        """Close all sockets."""
        if self.pull is not None:
            self.reactor.removeReader(self)
            self.pull.close()
        for socket in self.push_by_address.values():
            socket.close()

    def fileno(self) -> int:
        """Return the descriptor that is readable while messages are queued."""
        return self.descriptor

    def logPrefix(self) -> str:
        """Return the name of this reader in the reactor's log messages."""
        return "nng"

    def doRead(self):
        """Receive queued messages, at most `MAX_MESSAGES_PER_READ`."""
        for _ in range(MAX_MESSAGES_PER_READ):
            try:
                data = self.pull.recv(block=False)
            except pynng.TryAgain:
                return
            self._receive(data)

    def connectionLost(self, reason):
        """Do nothing: nng owns the descriptor."""

    def _receive(self, data: bytes):
        tag, body = data[:TAG_BYTES], data[TAG_BYTES:]
        if hmac.compare_digest(tag, self._compute_tag(body)):
            self.handler(body)
        else:
            LOGGER.warning(
                "replication message failed authentication; dropped"
            )

    def _dial(self, address: str):
        socket = pynng.Push0(
            send_buffer_size=SEND_QUEUE_MESSAGES,
            reconnect_time_min=RECONNECT_MIN_MS,
            reconnect_time_max=RECONNECT_MAX_MS,
        )
        socket.dial(f"tcp://{address}", block=False)
        self.push_by_address[address] = socket
        return socket

    def _compute_tag(self, data: bytes) -> bytes:
        digest = hashlib.blake2b(
            data, key=self.shared_key, digest_size=TAG_BYTES
        )
        return digest.digest()
