"""Tests of the adapter against shapes written from the platform's pages."""

import json

import pytest
from twisted.internet import defer

from chervilspindle.core import errors
from chervilspindle.core import rows
from chervilspindle.platform import control_api
from chervilspindle.platform import documents
from chervilspindle.platform import files
from chervilspindle.platform import settings
from chervilspindle.wire import http_server
from chervilspindle.wire import messages

SETTINGS = {
    "node-name": "front-a-1",
    "ip-address": "10.1.0.9",
    "zone": "zone-a",
    "bind-addrs": {
        "front": "10.1.0.9:8104",
        "readiness-addr": "10.1.0.9:8108",
    },
    "internal-ports": [7380, 7395],
    "seed-nodes": ["10.1.0.12:8106", "10.2.0.24:8106"],
    "bootstrap": True,
    "data-dir": None,
    "fault-tolerance": {"machines": 2, "zones": 0, "regions": 0},
    "policy-values": {
        "grace-s": 6,
        "retry-budget-ratio": 0.2,
        "budget-window-s": 10,
        "retry-budget-base": 116,
    },
    "something-new": [1, 2],
}

ROUTE = {
    "name": "r-1",
    "hostname": "Portal.example",
    "path-prefix": "/r/",
    "route-type": "safe",
    "timeout-ms": 1001,
    "slo-ms": 71,
    "priority": 2,
    "fanout-services": ["a", "b"],
    "max-attempts": 2,
    "top-k": 5,
    "min-coverage": 0.75,
}
CONFIGURATION = {
    "version": 7,
    "routes": [ROUTE],
    "services": [
        {"name": "a", "health-path": "/health", "max-connections": 58},
        {"name": "b", "health-path": "/health", "max-connections": 58},
    ],
    "limits": {"header-max-bytes": 16384, "idle-timeout-ms": 15000},
}
BEAT = {
    "service": "a",
    "address": "10.128.0.9:8080",
    "zone": "zone-a",
    "version": "v1",
    "concurrency-limit": 2,
    "state": "ready",
    "cold-left-ms": 0,
    "sequence": 4,
    "born": 1767897430081,
}


def encode(value):
    return json.dumps(value).encode()


def test_the_standard_module_keeps_its_name():
    import platform

    assert platform.python_implementation()


def test_settings_are_decoded():
    found = settings.decode_settings(encode(SETTINGS))
    assert found.peer_address == "10.1.0.9:7380"
    assert found.seeds == ("10.1.0.12:7380", "10.2.0.24:7380")
    assert found.entry_address == "10.1.0.9:8104"
    assert found.control_address == ""
    assert found.voters == 5
    assert found.budget == (0.2, 116.0, 10.0)


@pytest.mark.parametrize("missing", ["node-name", "zone", "seed-nodes"])
def test_settings_without_a_field_are_refused_by_its_name(missing):
    partial = {k: v for k, v in SETTINGS.items() if k != missing}
    with pytest.raises(ValueError, match=missing):
        settings.decode_settings(encode(partial))


def test_a_configuration_is_decoded():
    found = documents.decode_document(encode(CONFIGURATION))
    route = found.routes[0]
    assert (route.host, route.shards) == ("portal.example", ("a", "b"))
    assert route.idempotent and route.objective_ms == 71.0
    assert found.service_by_name["a"].connections == 58
    assert found.limits.idle_ms == 15000.0


def test_weights_and_types_are_decoded():
    split = [{"service": "a", "weight": 3}, {"service": "b", "weight": 1}]
    route = {**ROUTE, "route-type": "unsafe", "traffic-split": split}
    del route["fanout-services"]
    found = documents.decode_document(
        encode({**CONFIGURATION, "routes": [route]})
    )
    assert not found.routes[0].idempotent
    assert [a.weight for a in found.routes[0].alternatives] == [3.0, 1.0]


@pytest.mark.parametrize(
    "data", [b"", b"[]", b'{"version":1', b'{"version":"x","routes":[]}']
)
def test_a_configuration_that_cannot_be_read_is_refused(data):
    with pytest.raises(ValueError):
        documents.decode_document(data)


def test_an_announcement_is_decoded():
    found = control_api.decode_announcement("i-1", encode(BEAT))
    assert found.state == "ready" and found.slots == 2
    assert (found.incarnation, found.sequence) == (1767897430081, 4)
    cold = control_api.decode_announcement(
        "i-1", encode({**BEAT, "cold-left-ms": 900})
    )
    assert cold.state == "warming"


@pytest.mark.parametrize(
    "change",
    [
        {"state": "resting"},
        {"sequence": "4"},
        {"address": "nowhere"},
        {"concurrency-limit": 0},
        {"service": ""},
    ],
)
def test_announcements_of_another_kind_are_refused(change):
    with pytest.raises(ValueError):
        control_api.decode_announcement("i-1", encode({**BEAT, **change}))


class FakeDesk:
    """Records calls and answers as each test says."""

    def __init__(self):
        self.calls = []
        self.result = defer.succeed(None)

    def announce(self, endpoint):
        self.calls.append(endpoint)
        return self.result

    def withdraw(self, endpoint_id):
        self.calls.append(endpoint_id)
        return self.result

    def apply_document(self, document):
        self.calls.append(document)
        return self.result

    def read_document(self):
        return self.result


class FakeExchange:
    """One request and the answer that it got."""

    def __init__(self, method, target, body=b""):
        self.request = http_server.Request(method, target, (), body, 0, True)
        self.answer = None

    def respond(self, status, headers=(), body=b""):
        self.answer = (status, body)


def call(frontend, method, target, value=None):
    body = encode(value) if value is not None else b""
    exchange = FakeExchange(method, target, body)
    control_api.build_handler(frontend)(exchange)
    return exchange.answer


def test_a_configuration_is_acknowledged_once_it_is_committed():
    frontend = FakeDesk()
    frontend.result = defer.Deferred()
    exchange = FakeExchange(b"PUT", b"/api/config", encode(CONFIGURATION))
    control_api.build_handler(frontend)(exchange)
    assert exchange.answer is None
    frontend.result.callback(messages.DocumentReply(7))
    assert exchange.answer[0] == 200
    assert frontend.calls == [rows.StoredDocument(7, encode(CONFIGURATION))]


def test_an_invalid_configuration_is_refused_and_changes_nothing():
    frontend = FakeDesk()
    route = {**ROUTE, "fanout-services": ["a", "unheard-of"]}
    bad = {**CONFIGURATION, "routes": [route]}
    status, body = call(frontend, b"PUT", b"/api/config", bad)
    assert status == 400 and b"unheard-of" in body
    assert call(frontend, b"PUT", b"/api/config", [1])[0] == 400
    assert frontend.calls == []


def test_a_read_gives_back_what_was_sent_or_is_not_sure():
    frontend = FakeDesk()
    data = encode(CONFIGURATION)
    frontend.result = defer.succeed(rows.StoredDocument(7, data))
    assert call(frontend, b"GET", b"/api/config") == (200, data)
    failed = errors.build_error(errors.ErrorKind.NO_LEADER, "no leader")
    frontend.result = defer.fail(failed)
    assert call(frontend, b"GET", b"/api/config")[0] == 503


def test_endpoints_come_and_go():
    frontend = FakeDesk()
    assert call(frontend, b"PUT", b"/api/instances/i-1", BEAT)[0] == 200
    assert call(frontend, b"DELETE", b"/api/instances/i-1")[0] == 200
    assert frontend.calls[0].endpoint_id == frontend.calls[1] == "i-1"
    forged = {**BEAT, "sequence": None}
    assert call(frontend, b"PUT", b"/api/instances/i-1", forged)[0] == 400
    assert len(frontend.calls) == 2


def test_other_calls_are_refused():
    frontend = FakeDesk()
    assert call(frontend, b"GET", b"/other")[0] == 404
    assert call(frontend, b"POST", b"/api/config")[0] == 405
    assert call(frontend, b"PUT", b"/api/instances/", BEAT)[0] == 400


def test_files_are_recognised_and_checked():
    assert files.is_platform_file(SETTINGS)
    assert files.is_platform_file(CONFIGURATION)
    assert not files.is_platform_file({"plans": []})
    assert files.list_mistakes(SETTINGS) == []
    assert files.list_mistakes(CONFIGURATION) == []
    doubled = {**CONFIGURATION, "routes": [ROUTE, {**ROUTE, "name": "r-2"}]}
    assert files.list_mistakes(doubled) == ["r-2: same host and prefix as r-1"]
    wrong = {**SETTINGS, "zone": 3}
    assert "$.zone" in files.list_mistakes(wrong)[0]
