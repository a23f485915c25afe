"""Tests of what endpoints state in headers: any value is borne."""

import logging

import pytest

from chervilspindle.platform import names as platform_names
from chervilspindle.routing import data_path_test
from chervilspindle.routing import endpoint_calls
from chervilspindle.wire import endpoint_http

HUGE = "9" * 400
TOO_LONG = "9" * 5000


@pytest.fixture
def run_test():
    def run(test):
        data_path_test.run_in_world(data_path_test.World, test, 10)

    return run


@pytest.mark.parametrize(
    "value",
    (
        "",
        "1,0",
        "1,0,2,3",
        "-5,0,2",
        "1,-1,2",
        "1,0,-2",
        "1_0,0,2",
        "1e3,0,2",
        "nan,0,2",
        "inf,0,2",
        f"{HUGE},0,2",
        f"1,{HUGE},2",
        f"1,0,{HUGE}",
        f"{TOO_LONG},0,2",
        "9999999,0,2",
        "\u0661,0,2",
        "\u00b2,0,2",
    ),
)
def test_a_load_out_of_range_is_malformed(value):
    assert endpoint_calls.parse_load(value.encode()) is None


@pytest.mark.parametrize(
    "value,load",
    (
        (b"1,0,2", (1, 0, 2)),
        (b" 12 , 3,\t4 ", (12, 3, 4)),
        (b"0,0,0", (0, 0, 0)),
    ),
)
def test_a_load_in_range_is_read(value, load):
    assert endpoint_calls.parse_load(value) == load


def read_events(world):
    """Return the names of the events that were counted."""
    rows = world.entry.context.metrics.events.get_all()
    return {labels["event"] for labels, _ in rows}


@pytest.mark.parametrize("value", (f"{HUGE},0,2", f"1,0,{HUGE}", "x"))
@pytest.mark.parametrize("path", ("/one/x", "/once/x", "/all/x"))
def test_a_malformed_load_does_not_cost_the_answer(
    run_test, caplog, value, path
):
    caplog.set_level(logging.INFO, "chervilspindle.decision")

    async def test(world):
        for backend in world.backend_by_id.values():
            backend.load = value.encode()
        for number in range(4):
            status, _, body = await world.ask(path, f"id-{number}")
            assert status == 200 and body
        assert "malformed-load" in read_events(world)

    run_test(test)
    logged = [r for r in caplog.records if "load-malformed" in r.message]
    assert logged and all(len(r.value) <= 40 for r in logged)


ODD_STAMPS = (b"", b"a, b", b"a,", b"a b", b"a\tb", b"a\xff")


@pytest.mark.parametrize("stamp", ODD_STAMPS)
def test_an_answer_with_a_malformed_stamp_is_unsigned(stamp):
    name = platform_names.HEADERS.stamp.lower().encode()
    headers = ((name, stamp),)
    answer = endpoint_http.Answer(
        endpoint_http.Ending.ANSWERED, 200, headers, dict(headers)
    )
    names = endpoint_calls.encode_header_names(platform_names.HEADERS)
    outcome = endpoint_calls.classify_answer(answer, names.lower)
    assert outcome == endpoint_calls.SendOutcome(False, True, "unsigned")


@pytest.mark.parametrize("stamp", ODD_STAMPS)
def test_a_part_with_a_malformed_stamp_does_not_spoil_the_answer(
    run_test, stamp
):
    """One entry that is no signature makes the whole answer worthless."""

    async def test(world):
        odd = [world.backend_by_id[f"shard-0-{zone}"] for zone in "ab"]
        for backend in odd:
            backend.stamp = stamp
        status, headers, _ = await world.ask("/all/x")
        assert status == 200
        stamps = data_path_test.read_stamps(headers)
        assert sorted(s.split("-")[1] for s in stamps) == ["1", "2", "3"]
        assert data_path_test.read_missing(headers) == 1

    run_test(test)
