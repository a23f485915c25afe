"""Tests of how requests are spread, without a network."""

import collections
import random

import pytest

from chervilspindle.policy import spreading
from chervilspindle.tools import load_rules
from chervilspindle.tools import load_simulation

WORLDS = load_rules.build_worlds()


def build_memory(loads, age_s=0.09):  # not at the edge of an age class
    """Build a memory that endpoints of zone "a" stated some loads to."""
    memory = spreading.LoadMemory()
    earlier = loads[0]
    for load in loads:
        memory.observe("a", load, 100.0)
        memory.persistence.observe(earlier, load, age_s)
        earlier = load
    return memory


def draw(memory, stated, age_s, sent_since=0, slots=2, seed=1):
    """Return the mean of many draws."""
    generator = random.Random(seed)
    draws = [
        spreading.draw_waiting(
            memory,
            "a",
            stated,
            100.0 - age_s,
            sent_since,
            sent_since,
            slots,
            100.0,
            generator,
        )
        for _ in range(2000)
    ]
    return sum(draws) / len(draws)


def draw_loads(count=3000):
    generator = random.Random("loads")
    return [float(generator.randrange(8)) for _ in range(count)]


def test_an_endpoint_with_free_slots_is_not_waited_for():
    memory = spreading.LoadMemory()
    assert draw(memory, 0.0, 0.0) == draw(memory, 1.0, 0.0) == 0.0
    assert draw(memory, 5.0, 0.0) > 1.5


def test_an_old_load_tells_less_than_a_new_one():
    memory = build_memory(draw_loads())
    new = draw(memory, 9.0, 0.0) - draw(memory, 0.0, 0.0)
    old = draw(memory, 9.0, 0.09) - draw(memory, 0.0, 0.09)
    assert old < 0.3 * new


def test_own_requests_count_until_the_next_stated_load():
    """A query after the other would go to the endpoint that was idle."""
    memory = build_memory(draw_loads())
    waits = [draw(memory, 0.0, 0.0, sent) for sent in range(5)]
    assert waits == sorted(waits) and waits[4] > waits[0] + 1.0


def test_chance_decides_more_the_less_is_known():
    memory = build_memory(draw_loads())
    generator = random.Random("chance")

    def count_chosen(age_s):
        chosen = collections.Counter()
        for _ in range(2000):
            waits = [
                spreading.draw_waiting(
                    memory,
                    "a",
                    load,
                    100.0 - age_s,
                    0,
                    0,
                    2,
                    100.0,
                    generator,
                )
                for load in (2.0, 5.0)
            ]
            chosen[waits.index(min(waits))] += 1
        return chosen[1] / 2000

    assert count_chosen(0.0) < 0.1
    assert 0.35 < count_chosen(0.09) < 0.65


def test_the_mean_of_a_zone_is_forgotten_without_answers():
    """Otherwise a zone that was full once would be left for good."""
    memory = build_memory([6.0] * 500)
    assert memory.get_mean("a", 100.0) > 5.0
    assert memory.get_mean("a", 100.0 + spreading.MEAN_LIFE_S) == 0.0
    assert memory.get_mean("b", 100.0) == 0.0


def test_a_doubtful_load_near_the_slots_is_a_short_wait():
    assert spreading.estimate_ahead(0.0, 0.0, 2) == 0.0
    assert spreading.estimate_ahead(4.0, 0.0, 2) == 3.0
    assert 0.0 < spreading.estimate_ahead(0.5, 1.0, 2) < 0.5
    certain = spreading.estimate_ahead(9.0, 1.0, 2)
    assert certain == 8.0


def test_any_loads_can_be_drawn_from():
    memory = spreading.LoadMemory()
    generator = random.Random("any")
    for _ in range(2000):
        load = generator.choice((0.0, 1.0, 1e6))
        memory.observe("a", load, generator.uniform(0.0, 5.0))
        memory.persistence.observe(
            load, generator.choice((0.0, 1e6)), generator.uniform(-1.0, 99.0)
        )
        waiting = spreading.draw_waiting(
            memory, "a", load, 0.0, 0, 3, 1, 6.0, generator
        )
        assert -1e9 < waiting < 1e9


@pytest.mark.parametrize(
    "name",
    (
        "0.6, slow phases and pauses",
        "0.75, speeds differ",
        "0.8, all in one zone",
    ),
)
def test_queues_and_tails_are_shorter_than_with_the_choice_of_today(name):
    """The least loaded endpoint would get a queue while others idle."""
    world = WORLDS[name]
    today, spread = (
        load_simulation.simulate(world, load_rules.RULE_BY_NAME[rule])
        for rule in ("today", "spread_load")
    )
    assert spread.mean_waiting < 0.97 * today.mean_waiting
    assert spread.idle_share < 0.98 * today.idle_share
    assert spread.tail_ms < 0.98 * today.tail_ms
    assert spread.in_time >= today.in_time
    assert spread.messages == today.messages == world.queries * world.shards


@pytest.mark.parametrize("name", ("a tenth of the slots", "half"))
def test_usual_load_stays_in_the_zone_as_today(name):
    world = WORLDS[name]._replace(shards=30)
    today, spread = (
        load_simulation.simulate(world, load_rules.RULE_BY_NAME[rule])
        for rule in ("today", "spread_load")
    )
    assert spread.remote_share <= today.remote_share + 0.005
    assert spread.tail_ms <= 1.05 * today.tail_ms
    assert spread.messages == today.messages
