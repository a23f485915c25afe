"""Tests of the load generator: choice of entries, arrivals, summary."""

import glob
import os

import pytest
from twisted.internet import task

from chervilspindle.tools import load

SCENARIOS = os.path.join(
    os.path.dirname(__file__), "..", "..", "bench", "scenarios"
)


def build_generator(entries=("a:1", "b:1")):
    traffic = load.Traffic("c", 50.0, ["s-*"])
    scenario = load.Scenario("name", "lagoon-paddle", 2.0, [traffic])
    target = load.Target(entries, {"c": "token"}, {})
    return load.Generator(task.Clock(), scenario, target, 1)


@pytest.mark.parametrize(
    "path", sorted(glob.glob(os.path.join(SCENARIOS, "*.json")))
)
def test_scenario_files_are_valid(path):
    scenario, mistakes = load.load_scenario(path)
    assert not mistakes
    assert scenario.name == os.path.basename(path).removesuffix(".json")


def test_entry_that_is_not_ready_gets_no_requests():
    generator = build_generator()
    generator._set_ready("a:1", False)
    assert generator.ready == ["b:1"]
    generator._set_ready("a:1", True)
    assert sorted(generator.ready) == ["a:1", "b:1"]


def test_last_entry_is_kept_when_no_entry_is_ready():
    generator = build_generator()
    generator._set_ready("a:1", False)
    generator._set_ready("b:1", False)
    assert generator.ready == ["b:1"]


def test_arrivals_depend_on_the_seed_alone():
    def list_moments():
        generator = build_generator()
        moments = []
        generator._send = lambda traffic, due: moments.append(due)
        generator._schedule_arrivals(generator.scenario.traffic[0], 0.0, 2.0)
        generator.reactor.advance(3.0)
        return moments

    first = list_moments()
    assert first == list_moments()
    assert 60 < len(first) < 140


def test_summary_reports_goodput_and_coverage():
    tally = load.Tally()
    tally.sent = 4
    tally.good = 3
    tally.shards_answered = 39
    tally.shards_total = 40
    summary = tally.summarise()
    assert summary["goodput"] == 0.75
    assert summary["coverage"] == 0.975
