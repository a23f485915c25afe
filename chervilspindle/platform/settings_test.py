"""Tests that each settings file is refused or can be used."""

import copy
import json
import math

import hypothesis
from hypothesis import strategies
import pytest

from chervilspindle.core import endpoint_checks
from chervilspindle.platform import samples
from chervilspindle.platform import settings as settings_module
from chervilspindle.routing import drain
from chervilspindle.routing import retry_budget

ADDRESSES = {"front": "127.0.0.1:1", "ready": "127.0.0.1:2"}
SETTINGS = {
    **samples.build_settings(
        "vm-1",
        "127.0.0.1",
        ADDRESSES,
        [3, 4],
        ["127.0.0.2:80", "127.0.0.3:80"],
        True,
        "data",
        1,
        6.0,
        222.0,
    ),
    "limits": {
        "cpu-share": 0.5,
        "cpu-cores": 1.0,
        "link-speed-mbps": 100.0,
        "memory-mb": 222.0,
        "caller-memory-mb": 40.0,
        "caller-connections": 500,
    },
}
PLACES = [
    *((key,) for key in SETTINGS),
    *(
        (key, inner)
        for key, value in SETTINGS.items()
        if isinstance(value, dict)
        for inner in value
    ),
    ("internal-ports", 0),
    ("internal-ports", 1),
    ("seed-nodes", 0),
]
VALUES = strategies.recursive(
    strategies.one_of(
        strategies.none(),
        strategies.booleans(),
        strategies.integers(-3, 70000),
        strategies.integers(-(10**400), 10**400),
        strategies.floats(allow_nan=False, allow_infinity=False),
        strategies.text(max_size=20),
        strategies.just("127.0.0.1:" + "9" * 5000),
    ),
    lambda inner: strategies.lists(inner, max_size=3)
    | strategies.dictionaries(strategies.text(max_size=5), inner, max_size=2),
    max_leaves=4,
)


def replace(place, value):
    """Return the settings file with another value at a place."""
    content = copy.deepcopy(SETTINGS)
    part = content
    for key in place[:-1]:
        part = part[key]
    part[place[-1]] = value
    return json.dumps(content).encode()


def assert_usable(settings):
    """Compute with the settings as a process does."""
    assert 0.0 <= drain.compute_end_s(settings.grace_s) < math.inf
    budget = retry_budget.RetryBudget(settings.budget, lambda: 1e6)
    budget.update_totals(3, 100)
    budget.count_requests(["desk"])
    budget.try_withdraw("desk")
    assert 1 <= settings.voters <= settings_module.MAX_VOTERS
    assert settings.seeds or not settings.first_start
    for address in (
        settings.peer_address,
        settings.metrics_address,
        settings.entry_address,
        settings.ready_address,
        settings.control_address,
        *settings.seeds,
    ):
        if address:
            endpoint_checks.parse_address(address)
    assert bool(settings.entry_address) or settings.data_folder


@hypothesis.settings(derandomize=True, max_examples=2000, deadline=None)
@hypothesis.given(strategies.sampled_from(PLACES), VALUES)
@hypothesis.example(("policy-values", "budget-window-s"), 0)
@hypothesis.example(("policy-values", "grace-s"), -1)
@hypothesis.example(("fault-tolerance", "machines"), -5)
@hypothesis.example(("seed-nodes",), [])
@hypothesis.example(("seed-nodes", 0), "")
@hypothesis.example(("internal-ports", 0), 65535)
@hypothesis.example(("bind-addrs", "front"), "")
def test_settings_with_any_value_are_refused_or_usable(place, value):
    try:
        settings = settings_module.decode_settings(replace(place, value))
    except ValueError:
        return
    assert_usable(settings)


@hypothesis.settings(derandomize=True, max_examples=300, deadline=None)
@hypothesis.given(strategies.binary(max_size=200))
def test_settings_of_any_bytes_are_refused(data):
    with pytest.raises(ValueError):
        settings_module.decode_settings(data)


def test_settings_as_the_platform_writes_them_are_usable():
    data = json.dumps(SETTINGS).encode()
    assert_usable(settings_module.decode_settings(data))
