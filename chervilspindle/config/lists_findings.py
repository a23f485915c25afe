"""Findings in the operators' lists of customers and plans.

Only what the validation of `config.lists` accepts is looked at.
"""

import fnmatch
import itertools

from chervilspindle.config import findings
from chervilspindle.config import lists

SECRET_FIELDS = ("token_salt", "token_digest")


def list_findings(parsed: lists.ParsedLists):
    """Yield what is probably a mistake in both lists."""
    used = {customer.plan for customer in parsed.customers}
    for plan in parsed.plans:
        if plan.name not in used:
            yield findings.Finding(
                "unused-plan", plan.name, "no customer has this plan"
            )
        yield from _list_covered_patterns(plan)
    yield from _list_priority_conflicts(parsed.plans)


def _list_covered_patterns(plan):
    for pattern, other in itertools.permutations(plan.services, 2):
        if fnmatch.fnmatchcase(pattern, other):
            text = f"pattern {pattern!r} is covered by {other!r}"
            yield findings.Finding("covered-pattern", plan.name, text)


def _list_priority_conflicts(plans):
    """Yield names of priorities that two plans rank in opposite order."""
    for one, other in itertools.combinations(plans, 2):
        shared = [name for name in one.priorities if name in other.priorities]
        ranked = [name for name in other.priorities if name in shared]
        if shared != ranked:
            text = f"ranks {', '.join(shared)} unlike {other.name}"
            yield findings.Finding("priority-conflict", one.name, text)


def compare(old: lists.ParsedLists, new: lists.ParsedLists):
    """Yield what differs between two versions of both lists."""
    for table in ("customers", "plans"):
        yield from findings.compare_rows(
            table,
            {row.name: row for row in getattr(old, table)},
            {row.name: row for row in getattr(new, table)},
            SECRET_FIELDS,
        )
