"""Replication transport between control members, over nng push and pull.

Every member listens on one pull socket and dials one push socket to each
other member. nng reconnects on its own and hides lost connections, which
suits a protocol that expects messages to be lost; a full send queue drops
the message. The pull socket's file descriptor is read by the reactor, so
that all work stays on the one loop.
"""

import hashlib
import hmac
import logging

import pynng
from twisted.internet import interfaces
import zope.interface

TAG_BYTES = 16
SEND_QUEUE = 128  # messages
RECONNECT_MIN_MS = 50
RECONNECT_MAX_MS = 500
RECEIVE_LIMIT_BYTES = 64 * 1024 * 1024
RECEIVE_BURST = 64  # messages a turn of the loop

LOGGER = logging.getLogger(__name__)


@zope.interface.implementer(interfaces.IReadDescriptor)
class NngTransport:
    """Sends and receives authenticated datagrams.

    Parameters
    ----------
    reactor : IReactorFDSet
    shared_key : bytes
    handler : callable
        Gets the bytes of each message that passed the check.
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
        """Send to a member; silently dropped if its queue is full."""
        socket = self.push_by_address.get(address)
        if socket is None:
            socket = self._dial(address)
        try:
            socket.send(self._compute_tag(data) + data, block=False)
        except pynng.TryAgain:
            LOGGER.debug("message dropped", extra={"address": address})

    def close(self):
        """Close all sockets."""
        if self.pull is not None:
            self.reactor.removeReader(self)
            self.pull.close()
        for socket in self.push_by_address.values():
            socket.close()

    def fileno(self) -> int:
        """Return the descriptor that is readable while messages wait."""
        return self.descriptor

    def logPrefix(self) -> str:
        """Return the name of this reader in reactor messages."""
        return "nng"

    def doRead(self):
        """Take the waiting messages, at most one burst."""
        for _ in range(RECEIVE_BURST):
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
            LOGGER.warning("replication message refused")

    def _dial(self, address: str):
        socket = pynng.Push0(
            send_buffer_size=SEND_QUEUE,
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
