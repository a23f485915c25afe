"""Measures the cost of peer calls, HTTP requests and open links.

Caller and callee run in this process over loopback with many calls in
flight, so the measured processor time includes both ends.
"""

import gc
import time
import tracemalloc

import defopt
import klein
from twisted.internet import defer
from twisted.internet import reactor
from twisted.web import server

from chervilspindle.core import timers
from chervilspindle.wire import endpoint_client
from chervilspindle.wire import messages
from chervilspindle.wire import peer
from chervilspindle.wire import reactor_streams

ADDRESS = "127.0.0.1:22950"
HTTP_PORT = 22951
LINK_PORT = 22952
LINK_COUNT = 2000
CALL_COUNT = 4000
CONCURRENT_CALLS = 50
KEY = b"a key for this measurement"


def build_networks():
    """Build the peer networks of the caller and of the callee."""
    delta = messages.encode_delta(
        messages.Delta(1, False, None, (), (), (), (), ())
    )
    reply = messages.HeartbeatReply(3000, delta)
    service = timers.TimerService(reactor)
    byte_streams = reactor_streams.ReactorStreams(reactor)
    listening = peer.PeerNetwork(
        reactor, service, KEY, lambda link, message: reply, byte_streams
    )
    calling = peer.PeerNetwork(
        reactor,
        timers.TimerService(reactor),
        KEY,
        lambda link, message: None,
        byte_streams,
    )
    return calling, listening


@defer.inlineCallbacks
def run_windowed(start_call):
    """Run CALL_COUNT calls in batches; return processor time each, in us."""
    yield start_call()
    started = time.process_time()
    for _ in range(CALL_COUNT // CONCURRENT_CALLS):
        yield defer.gatherResults(
            [start_call() for _ in range(CONCURRENT_CALLS)]
        )
    return (time.process_time() - started) / CALL_COUNT * 1e6


@defer.inlineCallbacks
def measure_peer_call():
    """Return the processor time of a heartbeat and its reply, in us."""
    calling, listening = build_networks()
    yield listening.listen(ADDRESS)
    vm = messages.rows.Vm("a@1", "a", "z", ADDRESS, 1, "ready")
    heartbeat = messages.Heartbeat(vm, 1, 1, ())
    cost = yield run_windowed(lambda: calling.call(ADDRESS, heartbeat, 5.0))
    return cost


@defer.inlineCallbacks
def measure_http_request():
    """Return the processor time of an owner's POST to an endpoint, in us."""
    app = klein.Klein()

    @app.route("/run", methods=["POST"])
    def run(request):
        request.content.read()
        return b'{"request_id": "x", "snapshot": 1, "value": []}'

    reactor.listenTCP(
        HTTP_PORT, server.Site(app.resource()), interface="127.0.0.1"
    )
    client = endpoint_client.EndpointClient(
        reactor, f"127.0.0.1:{HTTP_PORT}", CONCURRENT_CALLS
    )
    body = b'"' + b"x" * 100 + b'"'
    cost = yield run_windowed(
        lambda: client.run_query("x", body, 1, 0, 65536, 1000.0)
    )
    return cost


@defer.inlineCallbacks
def measure_link_memory():
    """Return the memory of an open link, both ends, in bytes."""
    calling, listening = build_networks()
    first = LINK_PORT
    yield listening.listen(f"0.0.0.0:{first}")
    vm = messages.rows.Vm("a@1", "a", "z", ADDRESS, 1, "ready")
    heartbeat = messages.Heartbeat(vm, 1, 1, ())
    gc.collect()
    tracemalloc.start()
    for number in range(LINK_COUNT):
        # Each loopback address is treated as a separate VM.
        address = f"127.1.{number // 250}.{number % 250 + 1}:{first}"
        yield calling.call(address, heartbeat, 5.0)
    gc.collect()
    return tracemalloc.get_traced_memory()[0] / LINK_COUNT


@defer.inlineCallbacks
def measure_all():
    """Measure and print all costs."""
    cost = yield measure_peer_call()
    print(f"peer call and reply, both ends: {cost:.0f} us")
    cost = yield measure_http_request()
    print(f"HTTP request and answer, both ends: {cost:.0f} us")
    size = yield measure_link_memory()
    print(f"memory of an open link, both ends: {size:.0f} bytes")


def main():
    """Run all measurements, then stop the reactor."""
    reactor.callWhenRunning(
        lambda: measure_all().addBoth(lambda result: reactor.stop())
    )
    reactor.run()


if __name__ == "__main__":
    defopt.run(main)
