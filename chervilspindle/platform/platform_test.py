"""Tests of the adapter with data in the platform's documented formats."""

import json

import pytest
from twisted.internet import defer

from chervilspindle.core import errors
from chervilspindle.core import rows
from chervilspindle.platform import control_api
from chervilspindle.platform import documents
from chervilspindle.platform import files
from chervilspindle.platform import samples
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
ANNOUNCEMENT = {
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


def test_standard_library_platform_module_is_not_shadowed():
    import platform

    assert platform.python_implementation()


def test_settings_are_decoded():
    decoded = settings.decode_settings(encode(SETTINGS))
    assert decoded.peer_address == "10.1.0.9:7380"
    assert decoded.seeds == ("10.1.0.12:7380", "10.2.0.24:7380")
    assert decoded.entry_address == "10.1.0.9:8104"
    assert decoded.control_address == ""
    assert decoded.voters == 5
    assert decoded.budget == (0.2, 116.0, 10.0)


@pytest.mark.parametrize("value", (0, -1, 1e308))
def test_a_limit_out_of_range_is_replaced_by_its_default(value):
    limits = dict.fromkeys(
        ("cpu-share", "cpu-cores", "link-speed-mbps", "memory-mb"), value
    )
    decoded = settings.decode_settings(encode({**SETTINGS, "limits": limits}))
    assert decoded == settings.decode_settings(encode(SETTINGS))


def test_settings_that_are_nested_too_deeply_cannot_be_read():
    nested = b"[" * samples.NESTING + b"]" * samples.NESTING
    data = encode(SETTINGS)[:-1] + b', "extra": ' + nested + b"}"
    with pytest.raises(ValueError, match="nested"):
        settings.decode_settings(data)


@pytest.mark.parametrize("missing", ["node-name", "zone", "seed-nodes"])
def test_error_names_the_missing_settings_field(missing):
    partial = {k: v for k, v in SETTINGS.items() if k != missing}
    with pytest.raises(ValueError, match=missing):
        settings.decode_settings(encode(partial))


def test_a_configuration_is_decoded():
    decoded = documents.decode_document(encode(CONFIGURATION))
    route = decoded.routes[0]
    assert (route.host, route.shards) == ("portal.example", ("a", "b"))
    assert route.idempotent and route.objective_ms == 71.0
    assert decoded.service_by_name["a"].connections == 58
    assert decoded.limits.idle_ms == 15000.0


ACCOUNT = {
    "name": "north",
    "api-keys": ["sesame-1", "sesame-2"],
    "priority": 0,
    "rate-per-s": 12.5,
    "burst-size": 20,
}


def test_accounts_and_exempt_routes_are_decoded():
    exempt = {**ROUTE, "name": "r-2", "path-prefix": "/s/"}
    value = {
        **CONFIGURATION,
        "routes": [ROUTE, {**exempt, "auth-exempt": True}],
        "tenants": [ACCOUNT, {"name": "bare"}],
    }
    decoded = documents.decode_document(encode(value))
    assert [r.needs_key for r in decoded.routes] == [True, False]
    keys = ("sesame-1", "sesame-2")
    assert decoded.accounts == (
        ("north", keys, 0, 12.5, 20.0),
        ("bare", (), None, 0.0, 0.0),
    )


def test_a_refusal_of_accounts_names_no_key():
    """Responses and logs of control are read by more than key holders."""
    frontend = FakeFrontend()
    tenants = [ACCOUNT, {**ACCOUNT, "name": "south"}]
    for wrong in (tenants, [{**ACCOUNT, "rate-per-s": -1}]):
        value = {**CONFIGURATION, "tenants": wrong}
        status, body = call(frontend, b"PUT", b"/api/config", value)
        assert status == 400 and b"north" in body
        assert b"sesame" not in body
    assert frontend.calls == []


def test_weights_and_types_are_decoded():
    split = [{"service": "a", "weight": 3}, {"service": "b", "weight": 1}]
    route = {**ROUTE, "route-type": "unsafe", "traffic-split": split}
    del route["fanout-services"]
    decoded = documents.decode_document(
        encode({**CONFIGURATION, "routes": [route]})
    )
    assert not decoded.routes[0].idempotent
    assert [a.weight for a in decoded.routes[0].alternatives] == [3.0, 1.0]


@pytest.mark.parametrize(
    "data", [b"", b"[]", b'{"version":1', b'{"version":"x","routes":[]}']
)
def test_malformed_configuration_is_refused(data):
    with pytest.raises(ValueError):
        documents.decode_document(data)


def test_an_announcement_is_decoded():
    decoded = control_api.decode_announcement("i-1", encode(ANNOUNCEMENT))
    assert decoded.state == "ready" and decoded.slots == 2
    assert (decoded.incarnation, decoded.sequence) == (1767897430081, 4)
    cold = control_api.decode_announcement(
        "i-1", encode({**ANNOUNCEMENT, "cold-left-ms": 900})
    )
    assert (cold.state, cold.cold_left_ms) == ("warming", 900.0)


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
def test_invalid_announcement_is_refused(change):
    with pytest.raises(ValueError):
        control_api.decode_announcement(
            "i-1", encode({**ANNOUNCEMENT, **change})
        )


class FakeFrontend:
    """Records calls and returns `result`, which each test sets."""

    def __init__(self):
        self.calls = []
        self.result = defer.succeed(None)
        self.nearby = ""

    def find_nearby_address(self, endpoint):
        return self.nearby

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

    def set_evacuated(self, zone, evacuated):
        self.calls.append((zone, evacuated))
        return self.result

    def list_evacuations(self):
        return self.result


class FakeExchange:
    """One request and its response."""

    def __init__(self, method, target, body=b""):
        self.request = http_server.Request(method, target, (), body, 0, True)
        self.response = None

    def respond(self, status, headers=(), body=b""):
        self.response = (status, body)


def call(frontend, method, target, value=None):
    body = encode(value) if value is not None else b""
    exchange = FakeExchange(method, target, body)
    control_api.build_handler(frontend)(exchange)
    return exchange.response


def test_a_configuration_is_acknowledged_once_it_is_committed():
    frontend = FakeFrontend()
    frontend.result = defer.Deferred()
    exchange = FakeExchange(b"PUT", b"/api/config", encode(CONFIGURATION))
    control_api.build_handler(frontend)(exchange)
    assert exchange.response is None
    frontend.result.callback(messages.DocumentReply(7))
    assert exchange.response[0] == 200
    assert frontend.calls == [rows.StoredDocument(7, encode(CONFIGURATION))]


def test_an_invalid_configuration_is_refused_and_changes_nothing():
    frontend = FakeFrontend()
    route = {**ROUTE, "fanout-services": ["a", "unheard-of"]}
    bad = {**CONFIGURATION, "routes": [route]}
    status, body = call(frontend, b"PUT", b"/api/config", bad)
    assert status == 400 and b"unheard-of" in body
    assert call(frontend, b"PUT", b"/api/config", [1])[0] == 400
    assert frontend.calls == []


def test_read_returns_stored_configuration_or_503_without_leader():
    frontend = FakeFrontend()
    data = encode(CONFIGURATION)
    frontend.result = defer.succeed(rows.StoredDocument(7, data))
    assert call(frontend, b"GET", b"/api/config") == (200, data)
    failed = errors.build_error(errors.ErrorKind.NO_LEADER, "no leader")
    frontend.result = defer.fail(failed)
    assert call(frontend, b"GET", b"/api/config")[0] == 503


def test_endpoints_are_announced_and_withdrawn():
    frontend = FakeFrontend()
    assert (
        call(frontend, b"PUT", b"/api/instances/i-1", ANNOUNCEMENT)[0] == 200
    )
    assert call(frontend, b"DELETE", b"/api/instances/i-1")[0] == 200
    assert frontend.calls[0].endpoint_id == frontend.calls[1] == "i-1"
    invalid = {**ANNOUNCEMENT, "sequence": None}
    assert call(frontend, b"PUT", b"/api/instances/i-1", invalid)[0] == 400
    assert len(frontend.calls) == 2


def test_an_endpoint_is_told_the_member_of_its_zone():
    frontend = FakeFrontend()
    target = b"/api/instances/i-1"
    assert call(frontend, b"PUT", target, ANNOUNCEMENT) == (200, b"{}")
    frontend.nearby = "10.0.0.4:8106"
    _, body = call(frontend, b"PUT", target, ANNOUNCEMENT)
    assert json.loads(body) == {"heartbeat-url": "http://10.0.0.4:8106"}


UNUSABLE_ANNOUNCEMENTS = samples.build_unusable_announcements(ANNOUNCEMENT)


@pytest.mark.parametrize("name", UNUSABLE_ANNOUNCEMENTS)
def test_an_announcement_that_names_no_usable_endpoint_is_refused(name):
    frontend = FakeFrontend()
    exchange = FakeExchange(
        b"PUT", b"/api/instances/i-1", UNUSABLE_ANNOUNCEMENTS[name]
    )
    control_api.build_handler(frontend)(exchange)
    assert frontend.calls == []
    assert exchange.response[0] == 400


@pytest.mark.parametrize(
    "encoded_id",
    (b"", b"a%0d%0aX:%20y", b"a%20b", b"a%00", b"%ff", b"a" * 201, b"\xff"),
)
def test_an_endpoint_id_that_no_header_can_hold_is_refused(encoded_id):
    frontend = FakeFrontend()
    target = b"/api/instances/" + encoded_id
    assert call(frontend, b"PUT", target, ANNOUNCEMENT)[0] == 400
    assert call(frontend, b"DELETE", target)[0] == 400
    assert frontend.calls == []


NESTED = b"[" * samples.NESTING + b"]" * samples.NESTING


@pytest.mark.parametrize(
    "data",
    (
        encode(CONFIGURATION)[:-1] + b', "extra": ' + NESTED + b"}",
        encode({**CONFIGURATION, "version": 10**30}),
        encode({**CONFIGURATION, "version": -1}),
        encode({**CONFIGURATION, "limits": {"body-max-bytes": 10**400}}),
        encode(
            {
                **CONFIGURATION,
                "services": [
                    {"name": name, "max-connections": 10**400} for name in "ab"
                ],
            }
        ),
        encode({**CONFIGURATION, "routes": [{**ROUTE, "timeout-ms": 1e300}]}),
    ),
    ids=(
        "nested",
        "version_beyond_64_bits",
        "version_negative",
        "limit_too_large",
        "connections_too_many",
        "timeout_too_long",
    ),
)
def test_a_configuration_that_cannot_be_stored_is_refused(data):
    frontend = FakeFrontend()
    exchange = FakeExchange(b"PUT", b"/api/config", data)
    control_api.build_handler(frontend)(exchange)
    assert frontend.calls == []
    assert exchange.response[0] == 400


UNREADABLE_CONFIGURATIONS = {
    "text_not_utf8": b', "comment": "\xff"}',
    "name_not_utf8": b', "\xff": 1}',
}


@pytest.mark.parametrize("name", UNREADABLE_CONFIGURATIONS)
def test_a_configuration_that_cannot_be_read_in_full_is_refused(name):
    frontend = FakeFrontend()
    data = encode(CONFIGURATION)[:-1] + UNREADABLE_CONFIGURATIONS[name]
    exchange = FakeExchange(b"PUT", b"/api/config", data)
    control_api.build_handler(frontend)(exchange)
    assert frontend.calls == []
    assert exchange.response[0] == 400


def decode_in_frames(data, frames):
    """Decode a document with more frames on the stack."""
    if frames:
        return decode_in_frames(data, frames - 1)
    return documents.decode_document(data)


def test_entries_can_read_each_nested_configuration_that_control_takes():
    for depth in range(50, 1000, 25):
        frontend = FakeFrontend()
        nested = b"[" * depth + b"]" * depth
        data = encode(CONFIGURATION)[:-1] + b', "extra": ' + nested + b"}"
        exchange = FakeExchange(b"PUT", b"/api/config", data)
        control_api.build_handler(frontend)(exchange)
        if frontend.calls:
            assert decode_in_frames(data, 100).version == 7


def test_weights_that_add_up_to_0_are_refused_beside_a_service():
    split = [{"service": "b", "weight": 0}]
    route = {**ROUTE, "service": "a", "traffic-split": split}
    del route["fanout-services"]
    frontend = FakeFrontend()
    configuration = {**CONFIGURATION, "routes": [route]}
    assert call(frontend, b"PUT", b"/api/config", configuration)[0] == 400
    assert frontend.calls == []


def test_unknown_paths_and_methods_are_refused():
    frontend = FakeFrontend()
    assert call(frontend, b"GET", b"/other")[0] == 404
    assert call(frontend, b"POST", b"/api/config")[0] == 405
    assert call(frontend, b"PUT", b"/api/instances/", ANNOUNCEMENT)[0] == 400


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


EVACUATION = b"/api/evacuation/"


def test_a_zone_is_evacuated_and_returned_once_that_is_committed():
    """Guards against an acknowledgement before the command is durable."""
    frontend = FakeFrontend()
    for method, evacuated in ((b"POST", True), (b"DELETE", False)):
        frontend.result = defer.Deferred()
        exchange = FakeExchange(method, EVACUATION + b"zone%2Da")
        control_api.build_handler(frontend)(exchange)
        assert exchange.response is None
        frontend.result.callback(messages.EvacuationReply(True))
        assert exchange.response[0] == 200
        assert frontend.calls.pop() == ("zone-a", evacuated)


def test_calls_for_zones_that_are_mistaken_change_nothing():
    """Guards against mistakes of operators that are acknowledged."""
    frontend = FakeFrontend()
    frontend.result = defer.succeed(messages.EvacuationReply(False))
    assert call(frontend, b"POST", EVACUATION + b"nowhere")[0] == 404
    frontend.calls.clear()
    for target in (EVACUATION, EVACUATION + b"a" * 201):
        assert call(frontend, b"POST", target)[0] == 404
    for method in (b"GET", b"PUT", b"PATCH", b"HEAD"):
        assert call(frontend, method, EVACUATION + b"zone-a")[0] == 405
    for method in (b"POST", b"DELETE"):
        assert call(frontend, method, EVACUATION + b"zone-a", {})[0] == 400
    assert call(frontend, b"POST", EVACUATION[:-1])[0] == 405
    assert frontend.calls == []


def test_calls_for_zones_without_a_leader_are_refused_for_now():
    """Guards against calls that hang or that operators don't resend."""
    frontend = FakeFrontend()
    failed = errors.build_error(errors.ErrorKind.NO_LEADER, "no leader")
    for method in (b"POST", b"DELETE"):
        frontend.result = defer.fail(failed)
        assert call(frontend, method, EVACUATION + b"zone-a")[0] == 503
    frontend.result = defer.fail(failed)
    assert call(frontend, b"GET", EVACUATION[:-1])[0] == 503


def test_evacuated_zones_are_listed():
    frontend = FakeFrontend()
    row = rows.ZoneEvacuation("zone-a", 7)
    reply = messages.ListEvacuationsReply((row,), ("zone-a", "zone-b"))
    frontend.result = defer.succeed(reply)
    status, body = call(frontend, b"GET", EVACUATION[:-1])
    assert status == 200
    assert json.loads(body) == {
        "evacuated": [{"zone": "zone-a", "since-ms": 7}],
        "zones": ["zone-a", "zone-b"],
    }
