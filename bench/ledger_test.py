"""Tests of the account of lost credit, on lines and on an emulated day."""

import io
import json
import logging

import pytest

from bench import ledger
from chervilspindle.core import logs
from chervilspindle.routing import data_path_test


def build_line(at_s=1.0, **fields):
    row = {"message": "request", "status": 200, "route": "r", "ms": 10.0}
    return ledger.Line(at_s, "vm", {**row, **fields})


def build_partial(**fields):
    return build_line(shards=10, answered=8, why="objective", **fields)


def test_lines_are_read_with_and_without_a_prefix():
    row = {"message": "request", "status": 200, "time": 5.5, "vm": "b"}
    other = {"message": "serving"}
    text = "\n".join(
        (
            json.dumps(row),
            f"   12.25 a {json.dumps(row)}",
            json.dumps(other),
            "{broken",
            "day   score",
        )
    )
    lines, errors = ledger.read_lines(io.StringIO(text))
    assert [(line.at_s, line.vm_id) for line in lines] == [
        (5.5, "b"),
        (12.25, "a"),
    ]
    assert len(errors) == 1 and errors[0].startswith("line 4")


@pytest.mark.parametrize(
    "fields,causes",
    (
        (
            {"missing": ["a:late"], "again": [["a", "e", "hedge", 10.0]]},
            ["no endpoint answered in time"],
        ),
        (
            {"missing": ["a:late"], "again": [["a", "e", "hedge", 70.0]]},
            ["second send came late"],
        ),
        ({"missing": ["a:late"], "again": []}, ["no second send"]),
        (
            {"missing": ["a:status_500", "b:broken"]},
            ["connection lost", "endpoints failed"],
        ),
    ),
)
def test_the_square_of_the_missing_share_is_lost_by_cause(fields, causes):
    losses = ledger.list_losses(build_partial(**fields), 80.0)
    assert [loss.cause for loss in losses] == causes
    assert sum(loss.credit for loss in losses) == pytest.approx(0.36)


@pytest.mark.parametrize(
    "fields,cause",
    (
        ({"status": 503, "why": "no_document"}, "entry had no routes yet"),
        ({"status": 503, "why": "overload"}, "refused by load"),
        ({"status": 504, "why": "deadline"}, "no endpoint answered in time"),
        ({"status": 502, "why": "broken"}, "connection lost"),
        (
            {"ms": 200.0, "shards": 9, "answered": 9, "why": "complete"},
            "queue, processor or link",
        ),
    ),
)
def test_a_failed_or_late_answer_loses_all(fields, cause):
    (loss,) = ledger.list_losses(build_line(**fields), 80.0)
    assert (loss.cause, loss.credit) == (cause, 1.0)


def test_whole_answers_in_time_and_requests_given_up_lose_nothing():
    assert ledger.list_losses(build_line(), 80.0) == []
    assert ledger.list_losses(build_line(status=499), 80.0) == []


def test_requests_without_a_line_are_counted_by_window():
    lines = [build_line(at_s) for at_s in (0.5, 2.5, 3.5)]
    windows = ledger.sum_windows(lines, [], 2.0, {0.0: 4, 2.0: 2})
    assert [w.requests for w in windows] == [4, 2]
    assert windows[0].compute_share() == pytest.approx(0.25)
    assert windows[1].compute_share() == 1.0


def test_routes_are_counted_and_chosen():
    lines = [
        build_line(),
        build_line(status=503, why="no_endpoint"),
        build_line(route="idle", status=503, why="no_endpoint"),
    ]
    assert ledger.count_routes(lines) == [("r", 2, 1), ("idle", 1, 0)]
    assert ledger.keep_routes(lines, {"r"}) == lines[:2]


@pytest.fixture
def log():
    """Collect decisions as the JSON lines that a process writes."""
    stream = io.StringIO()
    handler = logging.StreamHandler(stream)
    handler.setFormatter(logs.JsonFormatter("vm-1"))
    previous = logs.DECISION_LOGGER.level
    logs.DECISION_LOGGER.addHandler(handler)
    logs.DECISION_LOGGER.setLevel(logging.INFO)
    yield stream
    logs.DECISION_LOGGER.removeHandler(handler)
    logs.DECISION_LOGGER.setLevel(previous)


def test_the_losses_of_an_emulated_day_are_found(log):
    """Four answers lack a shard, two fail; four have nothing to lose."""

    async def play(world):
        for number in range(4):
            await world.ask("/all/x", f"whole-{number}")
        for zone in "ab":
            world.backend_by_id[f"shard-0-{zone}"].paused = True
        for number in range(4):
            status, headers, _ = await world.ask("/all/x", f"part-{number}")
            assert status == 200
            assert data_path_test.read_missing(headers) == 1
        for zone in "ab":
            world.backend_by_id[f"shard-0-{zone}"].resume()
            for service in ("shard-1", "shard-2"):
                world.backend_by_id[f"{service}-{zone}"].failing = True
        for number in range(2):
            status, _, _ = await world.ask("/all/x", f"failed-{number}")
            assert status == 502

    data_path_test.run_in_world(data_path_test.World, play, 10)
    lines, errors = ledger.read_lines(io.StringIO(log.getvalue()))
    assert errors == [] and len(lines) == 10
    answer_ms = ledger.estimate_answer_ms(lines)["all"]
    losses = [x for line in lines for x in ledger.list_losses(line, answer_ms)]
    credit_by_id = {}
    for loss in losses:
        credit_by_id[loss.request_id] = (
            credit_by_id.get(loss.request_id, 0.0) + loss.credit
        )
    assert credit_by_id == pytest.approx(
        {f"part-{n}": 1.0 - 0.75**2 for n in range(4)}
        | {f"failed-{n}": 1.0 for n in range(2)}
    )
    cause_by_id = {loss.request_id: loss.cause for loss in losses}
    # Later requests wait for a connection that paused requests hold.
    assert {cause_by_id[f"part-{n}"] for n in range(4)} <= {
        "no endpoint answered in time",
        "no second send",
        "second send came late",
        "no connection",
    }
    assert cause_by_id["failed-0"] == "endpoints failed"
    text = ledger.render(ledger.sum_windows(lines, losses, 1e6), 1)
    assert "10 requests" in text
