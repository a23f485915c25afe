"""Decoding of requests, and checks against the plan of the customer."""

import codecs
import typing

import msgspec

from chervilspindle.config import lists as lists_module
from chervilspindle.config import tokens
from chervilspindle.core import errors
from chervilspindle.core import rows

DEFAULT_DEADLINE_MS = 1000
MAX_DEADLINE_MS = 30000
MAX_PATTERNS = 1000
MAX_KEY_CHARACTERS = 200
CHECKED_BYTES = 64 * 1024  # whose text is checked at once


class QueryBody(msgspec.Struct, forbid_unknown_fields=True):
    """Body of POST /v1/query."""

    services: list[str]
    query: msgspec.Raw
    priority: str = ""
    deadline_ms: int = DEFAULT_DEADLINE_MS
    partial: bool = True


class QueryKey(msgspec.Struct):
    """What an entry reads of a query; the rest is for endpoints."""

    key: msgspec.Raw = msgspec.Raw(b"null")


class CommandBody(msgspec.Struct, forbid_unknown_fields=True):
    """Body of POST /v1/command."""

    service: str
    key: str
    command: dict
    priority: str = ""
    deadline_ms: int = DEFAULT_DEADLINE_MS


class Grant(typing.NamedTuple):
    """An authenticated customer and its plan, at one revision of the lists."""

    customer: str
    plan: rows.Plan
    revision: int


def authenticate(header: str | None, lists: rows.Lists) -> Grant:
    """Return the customer that an Authorization header identifies.

    Raises
    ------
    ProblemError
        UNAUTHENTICATED.
    """
    token = read_bearer(header)
    customer = tokens.verify_token(token, lists.customers_by_name)
    if customer is None:
        raise errors.build_error(
            errors.ErrorKind.UNAUTHENTICATED,
            "unknown bearer token",
            source="header Authorization",
        )
    plan = lists.plans_by_name[customer.plan]
    return Grant(customer.name, plan, lists.revision)


def read_bearer(header: str | None) -> str:
    """Return the bearer token of an Authorization header, '' if none."""
    scheme, _, token = (header or "").partition(" ")
    return token.strip() if scheme.lower() == "bearer" else ""


def decode_body(data: bytes, kind):
    """Decode a JSON body to a type.

    Raises
    ------
    ProblemError
        MALFORMED, with the location of the error.
    """
    try:
        return msgspec.json.decode(data, type=kind)
    except msgspec.ValidationError as error:
        detail, _, location = str(error).partition(" - at ")
        raise _build_malformed(detail, location.strip("`") or "$") from error
    except RecursionError as error:
        raise _build_malformed("body is nested too deeply", "$") from error
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise _build_malformed(
            f"body is not valid JSON: {error}", "$"
        ) from error


def read_query_key(query: bytes) -> str | None:
    """Check a query and return its key, None without one.

    The values of a query may take many times the memory of their text, so
    only the key is decoded.

    Raises
    ------
    ProblemError
        MALFORMED if the query is not an object, or not UTF-8.
    """
    decoder = codecs.getincrementaldecoder("utf-8")()
    try:
        for start in range(0, len(query), CHECKED_BYTES):
            decoder.decode(query[start : start + CHECKED_BYTES])
        key = bytes(msgspec.json.decode(query, type=QueryKey).key)
        return msgspec.json.decode(key) if key.startswith(b'"') else None
    except (ValueError, RecursionError) as error:
        detail = str(error).partition(" - at ")[0]
        raise _build_malformed(detail, "$.query") from error


def check_deadline(deadline_ms: int):
    """Raise MALFORMED for a deadline out of range."""
    if not 0 < deadline_ms <= MAX_DEADLINE_MS:
        raise _build_malformed(
            f"must be between 1 and {MAX_DEADLINE_MS}", "$.deadline_ms"
        )


def check_priority(priority: str, plan: rows.Plan) -> int:
    """Return the rank of a priority, by default the lowest of the plan."""
    if not priority:
        return len(plan.priorities) - 1
    if priority not in plan.priorities:
        raise errors.build_error(
            errors.ErrorKind.FORBIDDEN,
            f"priority {priority!r} is not in plan {plan.name!r}",
            source="$.priority",
        )
    return plan.priorities.index(priority)


def match_plan_services(patterns, plan: rows.Plan, known_services):
    """Return the services that match a pattern and that the plan allows.

    Raises
    ------
    ProblemError
        FORBIDDEN for a pattern whose services are all outside the plan,
        UNKNOWN_SERVICE for one that matches no service.
    """
    if not patterns or len(patterns) > MAX_PATTERNS:
        raise _build_malformed(
            f"must have 1 to {MAX_PATTERNS} patterns", "$.services"
        )
    allowed = set(lists_module.match_services(plan.services, known_services))
    chosen = set()
    for index, pattern in enumerate(patterns):
        matched = set(lists_module.match_services((pattern,), known_services))
        location = f"$.services[{index}]"
        if not matched:
            raise errors.build_error(
                errors.ErrorKind.UNKNOWN_SERVICE,
                f"no service matches {pattern!r}",
                source=location,
            )
        if not matched & allowed:
            raise errors.build_error(
                errors.ErrorKind.FORBIDDEN,
                f"{pattern!r} is not in plan {plan.name!r}",
                source=location,
            )
        chosen |= matched & allowed
    return tuple(sorted(chosen))


def _build_malformed(detail, location):
    return errors.build_error(
        errors.ErrorKind.MALFORMED, detail, source=location
    )
