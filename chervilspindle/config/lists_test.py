"""Tests of the operators' lists of customers and plans, and of tokens."""

import copy

import pytest

from chervilspindle.config import lists
from chervilspindle.config import tokens
from chervilspindle.core import rows
from chervilspindle.tools import deployment


@pytest.fixture(name="document")
def build_document():
    return deployment.build_lists(deployment.BEN_SALAH, {})


def list_places(document):
    _, errors = lists.build_lists(document, "file")
    return {e.place for e in errors}


def change(document, place, value):
    document = copy.deepcopy(document)
    target = document
    for step in place[:-1]:
        target = target[step]
    target[place[-1]] = value
    return document


@pytest.mark.parametrize("profile", deployment.PROFILE_BY_NAME.values())
def test_generated_lists_are_valid(profile):
    assert list_places(deployment.build_lists(profile, {})) == set()


@pytest.mark.parametrize(
    "place,value,expected_place",
    (
        (("customers", 1, "plan"), "gold", "customers[1].plan"),
        (("customers", 0, "name"), "", "customers[0].name"),
        (("customers", 0, "token_digest"), "x", "customers[0].token_digest"),
        (("customers", 0, "colour"), "x", "customers[0].colour"),
        (("customers", 0), 7, "customers[0]"),
        (("plans", 0, "share"), 1.5, "plans[0].share"),
        (("plans", 0, "share"), "all", "plans[0].share"),
        (("plans", 0, "rate"), -1, "plans[0].rate"),
        (("plans", 0, "rate"), "fast", "plans[0].rate"),
        (("plans", 2, "services"), [], "plans[2].services"),
        (("plans", 2, "services"), [[]], "plans[2].services"),
        (("plans", 0, "priorities"), ["a", "a"], "plans[0].priorities"),
        (("extra",), [], "extra"),
    ),
)
def test_error_is_reported_at_its_position(
    document, place, value, expected_place
):
    assert expected_place in list_places(change(document, place, value))


def test_duplicate_name_is_reported(document):
    document["customers"].append(document["customers"][0])
    place = f"customers[{len(document['customers']) - 1}].name"
    assert place in list_places(document)


def test_described_lists_can_be_applied_again(document):
    parsed, _ = lists.build_lists(document, "file")
    stored = rows.Lists(
        3,
        {c.name: c for c in parsed.customers},
        {p.name: p for p in parsed.plans},
    )
    reloaded, errors = lists.build_lists(lists.describe_lists(stored), "file")
    assert not errors
    assert reloaded.customers == tuple(sorted(parsed.customers))
    assert reloaded.plans == tuple(sorted(parsed.plans))


def test_token_matches_only_its_own_row():
    issued = tokens.create_token("a")
    row = rows.Customer("a", "p", issued.token_salt, issued.token_digest)
    table = {"a": row}
    assert tokens.verify_token(issued.token, table) is row
    for wrong in ("", "a", "a.", issued.token + "x", "b" + issued.token):
        assert tokens.verify_token(wrong, table) is None


def test_patterns_match_whole_names():
    names = ("portal-1", "portal-2", "archive")
    assert lists.match_services(("portal-*",), names) == names[:2]
    assert lists.match_services(("portal",), names) == ()
