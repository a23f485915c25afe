"""Tests of what endpoints state in headers: any value is borne."""

import logging

import pytest

from chervilspindle.routing import data_path_test
from chervilspindle.routing import endpoint_calls

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
