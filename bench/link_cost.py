"""Processor time of a peer call and an HTTP request, memory of a link.

Both ends run in this process over loopback, with many calls in flight, so
the processor time of the process is that of caller and callee together.
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
LINKS = 2000
CALLS = 4000
WINDOW = 50
KEY = b"a key for this measurement"


def build_networks():
    """Build a calling and a listening network."""
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
def run_windowed(start_one):
    """Run CALLS calls, WINDOW at once; return processor time each, in us."""
    yield start_one()
    started = time.process_time()
    for _ in range(CALLS // WINDOW):
        yield defer.gatherResults([start_one() for _ in range(WINDOW)])
    return (time.process_time() - started) / CALLS * 1e6


@defer.inlineCallbacks
def measure_peer_call():
    """Measure a heartbeat and its reply over a peer link."""
    calling, listening = build_networks()
    yield listening.listen(ADDRESS)
    vm = messages.rows.Vm("a@1", "a", "z", ADDRESS, 1, "ready")
    heartbeat = messages.Heartbeat(vm, 1, 1, ())
    cost = yield run_windowed(lambda: calling.call(ADDRESS, heartbeat, 5.0))
    return cost


@defer.inlineCallbacks
def measure_http_request():
    """Measure a small POST, as an owner sends to an endpoint."""
    app = klein.Klein()

    @app.route("/run", methods=["POST"])
    def run(request):
        request.content.read()
        return b'{"request_id": "x", "snapshot": 1, "value": []}'

    reactor.listenTCP(
        HTTP_PORT, server.Site(app.resource()), interface="127.0.0.1"
    )
    client = endpoint_client.EndpointClient(
        reactor, f"127.0.0.1:{HTTP_PORT}", WINDOW
    )
    body = b'"' + b"x" * 100 + b'"'
    cost = yield run_windowed(
        lambda: client.run_query("x", body, 1, 0, 65536, 1000.0)
    )
    return cost


@defer.inlineCallbacks
def measure_link_memory():
    """Measure the memory of one open link, both ends, in bytes."""
    calling, listening = build_networks()
    first = LINK_PORT
    yield listening.listen(f"0.0.0.0:{first}")
    vm = messages.rows.Vm("a@1", "a", "z", ADDRESS, 1, "ready")
    heartbeat = messages.Heartbeat(vm, 1, 1, ())
    gc.collect()
    tracemalloc.start()
    for number in range(LINKS):
        # Each address of the loopback network counts as another VM.
        address = f"127.1.{number // 250}.{number % 250 + 1}:{first}"
        yield calling.call(address, heartbeat, 5.0)
    gc.collect()
    return tracemalloc.get_traced_memory()[0] / LINKS


@defer.inlineCallbacks
def measure_all():
    """Measure and print all."""
    cost = yield measure_peer_call()
    print(f"peer call and reply, both ends: {cost:.0f} us")
    cost = yield measure_http_request()
    print(f"HTTP request and answer, both ends: {cost:.0f} us")
    size = yield measure_link_memory()
    print(f"memory of an open link, both ends: {size:.0f} bytes")


def main():
    """Measure and stop."""
    reactor.callWhenRunning(
        lambda: measure_all().addBoth(lambda result: reactor.stop())
    )
    reactor.run()


if __name__ == "__main__":
    defopt.run(main)
