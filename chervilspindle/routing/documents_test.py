"""Tests of routing documents."""

import pytest

from chervilspindle.core import json_limits
from chervilspindle.routing import documents

SERVICES = {n: documents.Service(n, "/health", 56) for n in ("a", "b", "c")}


def build_route(name="r", **fields):
    values = {
        "host": "one.example",
        "prefix": "/r/",
        "idempotent": True,
        "timeout_ms": 1000.0,
        "objective_ms": 100.0,
        "priority": 1,
        "max_attempts": 2,
        "alternatives": (documents.WeightedService("a", 1.0),),
    }
    return documents.Route(name, **{**values, **fields})


def build_document(*routes):
    return documents.Document(1, routes, SERVICES, documents.Limits())


def list_messages(*routes):
    errors = documents.check_document(build_document(*routes))
    return [error.message for error in errors]


def test_longest_matching_prefix_of_the_host_is_chosen():
    table = documents.RouteTable(
        build_document(
            build_route("short", prefix="/a/"),
            build_route("long", prefix="/a/b/"),
            build_route("other", prefix="/a/b/c/", host="two.example"),
        )
    )
    assert table.match("one.example", "/a/b/c/d").name == "long"
    assert table.match("one.example", "/a/x").name == "short"
    assert table.match("one.example", "/a") is None
    assert table.match("three.example", "/a/b/") is None


def test_valid_document_has_no_errors():
    fan_out = build_route(
        "f",
        prefix="/f/",
        alternatives=(),
        shards=("a", "b"),
        top_k=5,
        min_coverage=0.75,
    )
    assert list_messages(build_route(), fan_out) == []


def test_invalid_documents_have_errors():
    zero_weights = (
        documents.WeightedService("a", 0.0),
        documents.WeightedService("b", 0.0),
    )
    unknown = (documents.WeightedService("x", 1.0),)
    assert list_messages(build_route("p"), build_route("q")) == [
        "same host and prefix as p"
    ]
    assert list_messages(build_route(timeout_ms=0.0)) == [
        "timeout must be positive"
    ]
    assert list_messages(build_route(alternatives=zero_weights)) == [
        "weights must be non-negative and not all zero"
    ]
    assert list_messages(build_route(alternatives=unknown)) == [
        "unknown service x"
    ]
    assert list_messages(build_route(alternatives=())) == [
        "route has no service"
    ]
    assert list_messages(build_route(alternatives=(), shards=("a", "a"))) == [
        "route lists a shard twice"
    ]
    assert list_messages(build_route(prefix="r")) == [
        "prefix must start and end with a slash"
    ]


def check_accounts(*accounts):
    document = build_document(build_route())._replace(accounts=accounts)
    return documents.check_document(document)


def test_valid_accounts_have_no_errors():
    accounts = (
        documents.Account("north", ("k-1", "k-2"), 0, 5.0, 10.0),
        documents.Account("South & sons", ()),
        documents.Account("a", ("k-3", "k-3", "\xfc", "k" * 10_000)),
    )
    assert check_accounts(*accounts) == ()


@pytest.mark.parametrize(
    "accounts,expected",
    (
        (
            (("north", ("secret",)), ("south", ("x", "secret"))),
            ("south", "account has the same key as north"),
        ),
        (
            (("north", ("a",)), ("north", ("b",))),
            ("north", "two accounts have this name"),
        ),
        ((("north", ("",)),), ("north", "account has an empty key")),
        (
            (("north", (), None, -0.1),),
            ("north", "rate must not be negative"),
        ),
        (
            (("north", (), None, 1.0, -1.0),),
            ("north", "burst must not be negative"),
        ),
        (
            (("north", (), json_limits.MAX_EXACT_INTEGER + 1),),
            ("north", "a number is out of range"),
        ),
        *(
            (
                ((name, ("secret",)),),
                ("account 1", "name is empty or invalid in a header"),
            )
            for name in ("", " ", "a ", "a\r\nb", "\x00", "\xfc", "a" * 1001)
        ),
    ),
)
def test_invalid_accounts_have_errors_that_name_no_key(accounts, expected):
    rows = [documents.Account(*fields) for fields in accounts]
    errors = check_accounts(*rows)
    assert errors == (expected,)
    assert "secret" not in str(errors)
