"""Tests of what endpoints state in headers: any value is borne."""

import asyncio
import logging
import math

import hypothesis
from hypothesis import strategies
import pytest

from chervilspindle.platform import names as platform_names
from chervilspindle.policy import stated_speed
from chervilspindle.routing import data_path_test
from chervilspindle.routing import endpoint_calls
from chervilspindle.routing import overload
from chervilspindle.routing import permission
from chervilspindle.routing import rate_permits
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
        "1,,2,100",
        "1,0,,100",
        "1,0,2x",
        "1,0,2.5",
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
        "1,0,9999999",
        "1,0,9999999,100",
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
    stated = endpoint_calls.parse_load(value)
    assert stated == endpoint_calls.StatedLoad(*load)


@pytest.mark.parametrize(
    "rest",
    (
        ",3",
        ",100",
        " , 250 ",
        ",100,7",
        ",",
        ",,",
        ",-1",
        ",0",
        ",fast",
        ",nan",
        ";speed=100",
        " 100",
        f",{HUGE}",
        f",{TOO_LONG}",
        ",\u00b2",
        ",\n100",
    ),
)
def test_the_first_three_figures_are_read_whatever_follows(rest):
    """A new field of the header must not cost the load of all endpoints."""
    value = f"1,4,2{rest}".encode()
    assert endpoint_calls.parse_load(value)[:3] == (1, 4, 2)


@pytest.mark.parametrize(
    "rest,slowness",
    (
        (b",100", 1.0),
        (b" , 250 ", 2.5),
        (b",130.5,7", 1.305),
        (b",80,", 0.8),
        (b",1", stated_speed.MIN_SLOWNESS),
        (b",999999", stated_speed.MAX_SLOWNESS),
    ),
)
def test_a_stated_speed_is_read_within_bounds(rest, slowness):
    stated = endpoint_calls.parse_load(b"1,4,2" + rest)
    assert stated.slowness == slowness


@pytest.mark.parametrize(
    "speed",
    ("", "0", "0.0", "-1", "fast", "nan", "inf", "1e3", "1_0", HUGE, TOO_LONG),
)
def test_a_malformed_speed_is_told_from_none(speed):
    stated = endpoint_calls.parse_load(f"1,4,2,{speed}".encode())
    assert stated.speed is not None and stated.slowness is None
    assert endpoint_calls.parse_load(b"1,4,2").speed is None


def test_a_malformed_speed_is_counted_and_logged_once(run_test, caplog):
    """A line for each answer would fill the disk of the log."""
    caplog.set_level(logging.INFO, "chervilspindle.decision")

    async def test(world):
        for backend in world.backend_by_id.values():
            backend.load = b"1,0,2,fast"
        for number in range(4):
            status, _, body = await world.ask("/all/x", f"id-{number}")
            assert status == 200 and body
        assert "malformed-speed" in read_events(world)
        answered = [
            t
            for t in world.table.target_by_id.values()
            if t.health.recent_ms is not None
        ]
        assert all(t.health.load_s > 0.0 for t in answered)
        assert all(t.health.slowness_s is None for t in answered)

    run_test(test)
    logged = [r for r in caplog.records if "load-malformed" in r.message]
    endpoints = [r.endpoint for r in logged]
    assert endpoints and len(endpoints) == len(set(endpoints))


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


@pytest.mark.parametrize(
    "name,event",
    (
        (platform_names.HEADERS.limit, "malformed-limit"),
        ("Retry-After", "ignored-retry-after"),
    ),
)
@pytest.mark.parametrize("value", (b"nan", b"-1", b"soon", b"\xb2", b""))
def test_a_malformed_limit_or_pause_is_counted(run_test, name, event, value):
    async def test(world):
        for zone in "ab":
            backend = world.backend_by_id[f"desk-{zone}"]
            backend.extra_headers = ((name.encode(), value),)
            backend.refusing = True
        assert (await world.ask("/one/x"))[0] == 503
        assert event in read_events(world)

    run_test(test)


NUMBERS = strategies.one_of(
    strategies.integers(),
    strategies.integers(0, 10),
    strategies.floats(),
    strategies.sampled_from(
        (HUGE, TOO_LONG, "1e999", "-0", "nan", "\u0661", "1_0", "")
    ),
).map(str)
COUNTS = strategies.sampled_from(("0", "1", "7", "-3", HUGE, TOO_LONG))
HEADER_VALUES = strategies.one_of(
    strategies.tuples(COUNTS, COUNTS, COUNTS, NUMBERS).map(
        lambda items: ",".join(items).encode()
    ),
    strategies.tuples(COUNTS, COUNTS, COUNTS).map(
        lambda items: ",".join(items).encode()
    ),
    strategies.binary(max_size=20),
    NUMBERS.map(lambda text: text.encode()),
    strategies.tuples(NUMBERS, NUMBERS, NUMBERS).map(
        lambda items: ",".join(items).encode()
    ),
    strategies.datetimes().map(
        lambda date: date.strftime("%a, %d %b %Y %H:%M:%S GMT").encode()
    ),
)
LOWER = endpoint_calls.encode_header_names(platform_names.HEADERS).lower
PARSED_HEADERS = (
    LOWER.load,
    LOWER.limit,
    LOWER.leaving,
    LOWER.not_run,
    LOWER.stamp,
    b"retry-after",
    b"content-encoding",
)


@hypothesis.settings(derandomize=True, max_examples=300, deadline=None)
@hypothesis.given(
    answers=strategies.lists(
        strategies.tuples(
            strategies.sampled_from((200, 204, 421, 429, 500, 503)),
            strategies.dictionaries(
                strategies.sampled_from(PARSED_HEADERS), HEADER_VALUES
            ),
        ),
        min_size=1,
        max_size=3,
    )
)
def test_any_headers_of_an_endpoint_leave_the_others_usable(answers):
    loop = asyncio.new_event_loop()
    world = data_path_test.World(loop)
    context = world.entry.context
    for backend in world.backend_by_id.values():
        world.announce(backend)
    target = context.table.target_by_id["desk-a"]
    for status, headers in answers:
        call = endpoint_http.Call(b"", b"id", 0.0, None)
        call.sent_s = loop.time()
        answer = endpoint_http.Answer(
            endpoint_http.Ending.ANSWERED,
            status,
            tuple(headers.items()),
            headers,
        )
        outcome = endpoint_calls.handle_answer(target, call, answer, context)
        assert not outcome.succeeded or status < 300
    now = loop.time()
    verdict = permission.evaluate(target.restrictions, now)
    assert verdict.retry_s == math.inf or verdict.retry_s < now + 1000.0
    healths = [context.table.list_healths("desk")]
    occupancy = overload.estimate_occupancy(healths, now)
    assert 0.0 <= occupancy <= overload.MAX_OCCUPANCY
    chosen = context.table.choose("desk", ("desk-a",), 100.0, False)
    assert chosen.endpoint.endpoint_id == "desk-b"
    assert context.table.choose("desk", (), 100.0, False) is not None
    loop.close()


@hypothesis.settings(derandomize=True, max_examples=300, deadline=None)
@hypothesis.given(
    value=HEADER_VALUES
    | strategies.floats(0.0, allow_infinity=False).map(
        lambda limit: repr(limit).encode()
    ),
    elapsed_s=strategies.lists(strategies.floats(0.0, 1e6), max_size=5),
)
def test_any_limit_that_is_read_can_be_paced(value, elapsed_s):
    limit = permission.parse_limit(value)
    if limit is None:
        return
    rate = max(limit, rate_permits.MIN_LIMIT_PER_S)
    pacer = rate_permits.Pacer(rate, 1.0, rate_permits.BURST_S)
    now = 1.0
    for seconds in elapsed_s:
        reservation = pacer.reserve(now, 0.1)
        assert reservation.granted == (reservation.wait_s <= 0.1)
        assert 0.0 <= reservation.wait_s <= 1.0 / rate + 0.1
        now += seconds
