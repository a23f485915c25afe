"""Tests of the choice of snapshot and of coverage."""

import hypothesis
from hypothesis import strategies

from chervilspindle.core import rows
from chervilspindle.query import coverage

HALF = rows.KEY_SPACE // 2


def build_endpoint(name, holdings, state="ready"):
    return rows.Endpoint(
        name,
        "s",
        "127.0.0.1:1",
        "z",
        2,
        60,
        state,
        tuple(rows.Holding(*h) for h in holdings),
        1,
        1,
    )


def is_ready(endpoint):
    return endpoint.state == "ready"


def plan(endpoints, **fields):
    return coverage.plan_query({"s": endpoints}, is_ready, **fields)


def test_newest_snapshot_that_covers_all_is_chosen():
    whole = (1, 0, rows.KEY_SPACE)
    part = (2, 0, HALF)
    result = plan([build_endpoint("a", [whole, part])])
    assert result.snapshot == 1
    assert not result.missing


def test_repartitioned_snapshot_is_chosen_once_complete():
    whole = (1, 0, rows.KEY_SPACE)
    left, right = (2, 0, HALF), (2, HALF, rows.KEY_SPACE)
    result = plan(
        [build_endpoint("a", [whole, left]), build_endpoint("b", [right])]
    )
    assert result.snapshot == 2
    assert [(s.low, s.high) for s in result.shards] == [
        (0, HALF),
        (HALF, rows.KEY_SPACE),
    ]


def test_shard_of_a_lost_endpoint_is_missing():
    result = plan(
        [
            build_endpoint("a", [(1, 0, HALF)]),
            build_endpoint("b", [(1, HALF, rows.KEY_SPACE)], "lost"),
        ]
    )
    assert [(m.low, m.high) for m in result.missing] == [
        (HALF, rows.KEY_SPACE)
    ]


def test_service_without_endpoints_is_missing():
    result = coverage.plan_query({"s": [], "t": []}, is_ready)
    assert {m.service for m in result.missing} == {"s", "t"}


def test_one_snapshot_for_all_services():
    whole = rows.KEY_SPACE
    result = coverage.plan_query(
        {
            "s": [build_endpoint("a", [(1, 0, whole), (2, 0, whole)])],
            "t": [build_endpoint("b", [(1, 0, whole)])],
        },
        is_ready,
    )
    assert result.snapshot == 1
    assert len(result.shards) == 2


def test_key_restricts_the_plan_to_its_shard():
    endpoints = [
        build_endpoint("a", [(1, 0, HALF), (1, HALF, rows.KEY_SPACE)])
    ]
    result = plan(endpoints, key_slot=HALF + 1)
    assert [(s.low, s.high) for s in result.shards] == [(HALF, rows.KEY_SPACE)]


def test_excluded_snapshot_is_not_chosen():
    whole = rows.KEY_SPACE
    endpoints = [build_endpoint("a", [(1, 0, whole), (2, 0, whole)])]
    assert plan(endpoints, excluded=frozenset({2})).snapshot == 1


@hypothesis.given(
    strategies.lists(
        strategies.tuples(strategies.integers(0, 8), strategies.integers(0, 8))
    )
)
@hypothesis.settings(derandomize=True, max_examples=300)
def test_tiles_cover_the_key_space_exactly(pairs):
    unit = rows.KEY_SPACE // 8
    tiles = coverage.tile_ranges((a * unit, b * unit) for a, b in pairs)
    cursor = 0
    for low, high, _ in tiles:
        assert low == cursor < high
        cursor = high
    assert cursor == rows.KEY_SPACE
