"""Measures the processor time of an nng push and pull in one process.

The figure is for comparing the transport between control members with the
framed peer links, which bench.link_cost measures.
"""

import time

import defopt
from twisted.internet import reactor

from chervilspindle.wire import nng

ADDRESS = "127.0.0.1:22960"
MESSAGE_COUNT = 5000
KEY = b"a key for this measurement"


class EchoBenchmark:
    """Sends one message per arrival until MESSAGE_COUNT have arrived."""

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
        """Send the next message, or print the cost after the last one."""
        self.count += 1
        if self.count < MESSAGE_COUNT:
            self.transport.send(ADDRESS, data)
            return
        if self.count == MESSAGE_COUNT:
            spent = (time.process_time() - self.started) / self.count * 1e6
            print(f"nng message, both ends: {spent:.0f} us")
            reactor.callLater(0, reactor.stop)


def stop_on_timeout():
    """Stop a run that did not finish, for example after a lost message."""
    if reactor.running:
        reactor.stop()


def main():
    """Run the measurement, for at most 30 s."""
    reactor.callWhenRunning(EchoBenchmark().start)
    reactor.callLater(30, stop_on_timeout)
    reactor.run()


if __name__ == "__main__":
    defopt.run(main)
