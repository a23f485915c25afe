"""Loads and validates the operators' lists of customers and plans."""

import fnmatch
import hashlib
import json
import typing

from chervilspindle.config import jsonc
from chervilspindle.core import rows

MAX_CUSTOMERS = 100000
MAX_PLANS = 10000
MAX_REQUESTS_PER_S = 1000000


class ParsedLists(typing.NamedTuple):
    """Rows of both lists and a digest of the document."""

    customers: tuple[rows.Customer, ...]
    plans: tuple[rows.Plan, ...]
    digest: str


def load_lists(path: str):
    """Load and validate a file that contains both lists.

    Returns
    -------
    lists, errors : ParsedLists or None, list of ConfigError
    """
    document, errors = jsonc.load_file(path)
    if errors:
        return None, errors
    return build_lists(document, path)


def build_lists(document, source: str):
    """Validate a parsed document and build the rows from it.

    The return value is that of `load_lists`.
    """
    errors = []
    for validate in VALIDATIONS:
        new_errors = [
            jsonc.ConfigError(source, place, detail)
            for place, detail in validate(document)
        ]
        errors.extend(new_errors)
        if new_errors and validate is validate_shape:
            return None, errors
    if errors:
        return None, errors
    customers = tuple(_build_customer(row) for row in document["customers"])
    plans = tuple(_build_plan(row) for row in document["plans"])
    return ParsedLists(customers, plans, _compute_digest(document)), []


def describe_lists(lists: rows.Lists) -> dict:
    """Return the lists in the form of the JSON document that operators edit.

    Rows are sorted by name, so that all VMs return the same document.
    """
    return {
        "customers": [
            row._asdict() for _, row in sorted(lists.customers_by_name.items())
        ],
        "plans": [
            {
                **p._asdict(),
                "services": list(p.services),
                "priorities": list(p.priorities),
            }
            for _, p in sorted(lists.plans_by_name.items())
        ],
    }


def validate_shape(document):
    """Report unknown or missing lists and fields, and wrong types."""
    if not isinstance(document, dict):
        yield "document", "must be an object"
        return
    for name in document:
        if name not in ("customers", "plans"):
            yield name, "unknown list"
    for name, fields in _FIELDS_BY_LIST.items():
        table = document.get(name)
        if not isinstance(table, list):
            yield name, "must be a list"
            continue
        for index, row in enumerate(table):
            yield from _validate_row(f"{name}[{index}]", row, fields)


def validate_sizes(document):
    """Report lists that are too long."""
    if len(document["customers"]) > MAX_CUSTOMERS:
        yield "customers", f"has more than {MAX_CUSTOMERS} rows"
    if len(document["plans"]) > MAX_PLANS:
        yield "plans", f"has more than {MAX_PLANS} rows"


def validate_names(document):
    """Report invalid names and duplicate names within a list."""
    for list_name in ("customers", "plans"):
        seen = set()
        for index, row in enumerate(document[list_name]):
            place = f"{list_name}[{index}].name"
            if not row["name"] or any(c in row["name"] for c in "./ "):
                yield place, "must be a name without '.', '/' or spaces"
            if row["name"] in seen:
                yield place, f"duplicate name {row['name']!r}"
            seen.add(row["name"])


def validate_plans(document):
    """Report numbers out of range and empty or duplicate list items."""
    for index, row in enumerate(document["plans"]):
        place = f"plans[{index}]"
        if not 0 < row["share"] <= 1:
            yield f"{place}.share", "must be in (0, 1]"
        if not 0 <= row.get("rate", 0) <= MAX_REQUESTS_PER_S:
            yield f"{place}.rate", f"must be in 0..{MAX_REQUESTS_PER_S}"
        for field in ("services", "priorities"):
            values = row[field]
            if not values:
                yield f"{place}.{field}", "must not be empty"
            if any(not isinstance(v, str) or not v for v in values):
                yield f"{place}.{field}", "must contain only non-empty strings"
            elif len(set(values)) < len(values):
                yield f"{place}.{field}", "contains a duplicate"


def validate_references(document):
    """Report customers whose plan is not in the list of plans."""
    plans = {row["name"] for row in document["plans"]}
    for index, row in enumerate(document["customers"]):
        if row["plan"] not in plans:
            yield f"customers[{index}].plan", f"unknown plan {row['plan']!r}"


def validate_digests(document):
    """Report token digests not in the form that the `token` command prints."""
    for index, row in enumerate(document["customers"]):
        digest = row["token_digest"]
        if len(digest) != 64 or set(digest) - set("0123456789abcdef"):
            place = f"customers[{index}].token_digest"
            yield place, "must be 64 hexadecimal digits"


VALIDATIONS = (
    validate_shape,
    validate_sizes,
    validate_names,
    validate_plans,
    validate_references,
    validate_digests,
)

_FIELDS_BY_LIST = {
    "customers": {
        "name": str,
        "plan": str,
        "token_salt": str,
        "token_digest": str,
    },
    "plans": {
        "name": str,
        "services": list,
        "share": (int, float),
        "priorities": list,
        "rate": (int, float),
    },
}

_OPTIONAL_FIELDS = frozenset({"rate"})


def match_services(patterns, names) -> tuple[str, ...]:
    """Return the names that match any shell-style pattern, sorted."""
    return tuple(
        name
        for name in sorted(names)
        if any(fnmatch.fnmatchcase(name, p) for p in patterns)
    )


def _validate_row(place, row, fields):
    if not isinstance(row, dict):
        yield place, "must be an object"
        return
    for name, kind in fields.items():
        if name not in row:
            if name not in _OPTIONAL_FIELDS:
                yield f"{place}.{name}", "missing"
        elif not isinstance(row[name], kind) or isinstance(row[name], bool):
            yield f"{place}.{name}", "has the wrong type"
    for name in row:
        if name not in fields:
            yield f"{place}.{name}", "unknown field"


def _build_customer(row) -> rows.Customer:
    return rows.Customer(
        row["name"], row["plan"], row["token_salt"], row["token_digest"]
    )


def _build_plan(row) -> rows.Plan:
    return rows.Plan(
        row["name"],
        tuple(row["services"]),
        float(row["share"]),
        tuple(row["priorities"]),
        float(row.get("rate", 0.0)),
    )


def _compute_digest(document) -> str:
    canonical = json.dumps(document, sort_keys=True)
    return hashlib.blake2b(canonical.encode(), digest_size=16).hexdigest()
