"""Tests of entry and control processes without their sockets."""

import asyncio
import json

import hypothesis
from hypothesis import strategies
import pytest
import uvloop

from chervilspindle.core import loops
from chervilspindle.core import rows
from chervilspindle.platform import documents as platform_documents
from chervilspindle.platform import names as platform_names
from chervilspindle.platform import samples
from chervilspindle.platform import settings as platform_settings
from chervilspindle.routing import documents
from chervilspindle.routing import endpoints
from chervilspindle.routing import process
from chervilspindle.wire import messages

HOST = "h.example"
UNUSABLE_ADDRESS_BY_NAME = {
    "port_of_5000_digits": "10.0.0.9:" + "9" * 5000,
    "port_out_of_range": "10.0.0.9:65536",
    "port_zero": "10.0.0.9:0",
    "port_not_ascii": "10.0.0.9:\u00b2",
    "port_negative": "10.0.0.9:-1",
    "port_empty": "10.0.0.9:",
    "port_missing": "10.0.0.9",
    "empty": "",
    "host_name": "backend.example:80",
    "line_break": "10.0.0.9\r\nX-Injected: 1:80",
}


def build_endpoint(endpoint_id, **changes):
    endpoint = rows.Endpoint(
        endpoint_id,
        "desk",
        "127.0.0.1:9",
        "z1",
        2,
        0,
        "ready",
        (),
        1000,
        1,
    )
    return endpoint._replace(**changes)


def build_stored_document(version):
    target = samples.build_service_target("desk")
    route = samples.build_route("one", HOST, "/one/", True, **target)
    configuration = samples.build_configuration(
        version, [route], ("desk",), 20
    )
    return rows.StoredDocument(version, json.dumps(configuration).encode())


def build_delta(version, endpoints, document):
    return messages.Delta(
        version, True, None, (), endpoints, (), (), (), document
    )


def build_entry(**changes):
    """Build an entry with changed settings, and its loop."""
    loop = uvloop.new_event_loop()
    asyncio.set_event_loop(loop)
    clock = loops.LoopClock(loop)
    addresses = {"front": "127.0.0.1:1", "ready": "127.0.0.1:2"}
    settings = samples.build_settings(
        "vm-1", "127.0.0.1", addresses, [3, 4], [], False, None, 1, 6.0, 222.0
    )
    adapter = process.Adapter(
        platform_names.HEADERS,
        platform_names.READY_PATH,
        platform_documents.decode_document,
        None,
        None,
    )
    decoded = platform_settings.decode_settings(json.dumps(settings).encode())
    entry = process.EntryProcess(
        clock, loop, clock, decoded._replace(**changes), adapter, None
    )
    return entry, loop


@pytest.fixture
def entry():
    entry, loop = build_entry()
    yield entry
    loop.run_until_complete(asyncio.sleep(0))
    loop.close()


@pytest.mark.parametrize("is_on", (False, True))
def test_load_is_spread_where_the_settings_say_so(is_on):
    entry, loop = build_entry(spread_load=is_on)
    assert (entry.context.table.loads is not None) == is_on
    loop.run_until_complete(asyncio.sleep(0))
    loop.close()


@pytest.mark.parametrize("name", UNUSABLE_ADDRESS_BY_NAME)
def test_an_unusable_endpoint_does_not_hold_up_the_rows_beside_it(entry, name):
    address = UNUSABLE_ADDRESS_BY_NAME[name]
    endpoints = (
        build_endpoint("a-sound"),
        build_endpoint("odd", address=address),
        build_endpoint("z-sound"),
    )
    delta = build_delta(5, endpoints, build_stored_document(7))
    entry._apply_delta(delta)
    assert set(entry.context.table.target_by_id) == {"a-sound", "z-sound"}
    assert entry.entry.document.version == 7


def test_an_unreadable_document_does_not_hold_up_the_endpoints(entry):
    entry._apply_delta(build_delta(5, (), build_stored_document(7)))
    unreadable = rows.StoredDocument(8, b'{"version": 8, "routes": [{}]}')
    entry._apply_delta(
        build_delta(6, (build_endpoint("a-sound"),), unreadable)
    )
    assert set(entry.context.table.target_by_id) == {"a-sound"}
    assert entry.entry.document.version == 7


VALUES = strategies.one_of(
    strategies.none(),
    strategies.booleans(),
    strategies.integers(),
    strategies.integers(-(10**400), 10**400),
    strategies.floats(allow_nan=False, allow_infinity=False),
    strategies.text(max_size=20),
    strategies.just([]),
    strategies.just({}),
)
FIELDS = (
    *((place, "routes") for place in samples.build_route("", "", "", True)),
    *((place, "services") for place in ("name", "max-connections")),
    ("body-max-bytes", "limits"),
    ("idle-timeout-ms", "limits"),
    ("version", ""),
)


@hypothesis.settings(
    derandomize=True,
    max_examples=400,
    deadline=None,
    suppress_health_check=[hypothesis.HealthCheck.function_scoped_fixture],
)
@hypothesis.given(strategies.sampled_from(FIELDS), VALUES)
def test_any_document_that_passes_the_checks_can_be_applied(
    entry, field, value
):
    key, place = field
    configuration = json.loads(build_stored_document(1).data)
    configuration["limits"] = {}
    part = configuration[place] if place else configuration
    (part[0] if isinstance(part, list) else part)[key] = value
    data = json.dumps(configuration).encode()
    try:
        document = platform_documents.decode_document(data)
    except ValueError:
        return
    if documents.check_document(document):
        return
    entry.entry.document = None
    stored = rows.StoredDocument(document.version, data)
    entry._apply_delta(build_delta(5, (build_endpoint("a"),), stored))
    assert entry.entry.document == document
    assert entry.context.table.target_by_id


def test_too_many_connections_in_a_stored_document_do_not_hold_up_endpoints(
    entry,
):
    configuration = json.loads(build_stored_document(7).data)
    for service in configuration["services"]:
        service["max-connections"] = 10**400
    stored = rows.StoredDocument(7, json.dumps(configuration).encode())
    entry._apply_delta(build_delta(5, (build_endpoint("a"),), stored))
    pool = entry.context.table.target_by_id["a"].pool
    assert pool.max_connections == endpoints.MAX_CONNECTIONS


def test_services_whose_endpoints_are_gone_take_no_room(entry):
    table = entry.context.table
    for number in range(100):
        odd = build_endpoint("odd", service=f"service-{number}")
        table.put(odd)
        table.put(odd._replace(state="lost"))
    table.put(build_endpoint("sound"))
    assert set(table.targets_by_service) == {"desk"}
    assert set(table.list_zones()) == {"desk"}


def read_gauge(entry, name):
    body, _ = entry.metrics.render([])
    lines = body.decode().splitlines()
    return {line for line in lines if line.startswith(name)}


def evacuate(entry, version, zones, gone=(), full=False, endpoints=()):
    delta = messages.Delta(
        version,
        full,
        None,
        (),
        endpoints,
        (),
        (),
        (),
        evacuations=tuple(rows.ZoneEvacuation(z, 7) for z in zones),
        gone_evacuations=gone,
    )
    entry._apply_delta(delta)


def test_evacuations_are_in_force_before_the_endpoints_beside_them(
    entry, caplog
):
    """Guards against an entry that has started and does not know of them."""
    endpoints_ = tuple(
        build_endpoint(f"e-{zone}", zone=zone) for zone in ("z1", "z2")
    )
    table = entry.context.table
    with caplog.at_level("INFO"):
        evacuate(entry, 1, ("z1",), full=True, endpoints=endpoints_)
        assert table.choose("desk").endpoint.endpoint_id == "e-z2"
        gauge = "chervilspindle_evacuated_zones{"
        assert read_gauge(entry, gauge) == {f'{gauge}zone="z1"}} 1'}
        evacuate(entry, 2, ("z2",))
        assert table.choose("desk") is None
        gauge_all = "chervilspindle_all_zones_evacuated"
        assert read_gauge(entry, gauge_all) == {f"{gauge_all} 1"}
        evacuate(entry, 3, (), ("z1",))
        assert table.choose("desk").endpoint.endpoint_id == "e-z1"
        assert read_gauge(entry, gauge_all) == {f"{gauge_all} 0"}
        assert f'{gauge}zone="z1"}} 0' in read_gauge(entry, gauge)
    logged = [r.getMessage() for r in caplog.records]
    assert logged.count("zone-evacuated") == 2
    assert logged.count("zone-returned") == 1
    assert logged.count("all-zones-evacuated") == 2
