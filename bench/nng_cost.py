"""Processor time of an nng push to a pull in one process, on the reactor.

Compares the transport between control members with the framed links.
"""

import time

import defopt
from twisted.internet import reactor

from chervilspindle.wire import nng

ADDRESS = "127.0.0.1:22960"
MESSAGES = 5000
KEY = b"a key for this measurement"


class Counter:
    """Sends the next message when one arrives, and stops in the end."""

    def __init__(self):
        self.count = 0
        self.transport = nng.NngTransport(reactor, KEY, self.receive)
        self.started = None

    def start(self):
        """Open the sockets and send the first messages."""
        self.transport.listen(ADDRESS)
        self.started = time.process_time()
        for _ in range(10):
            self.transport.send(ADDRESS, b"x" * 200)

    def receive(self, data):
        """Count a message."""
        self.count += 1
        if self.count < MESSAGES:
            self.transport.send(ADDRESS, data)
            return
        if self.count == MESSAGES:
            spent = (time.process_time() - self.started) / self.count * 1e6
            print(f"nng message, both ends: {spent:.0f} us")
            reactor.callLater(0, reactor.stop)


def stop_late():
    """Stop a run that lost a message."""
    if reactor.running:
        reactor.stop()


def main():
    """Measure and stop."""
    reactor.callWhenRunning(Counter().start)
    reactor.callLater(30, stop_late)
    reactor.run()


if __name__ == "__main__":
    defopt.run(main)
