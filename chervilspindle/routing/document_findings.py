"""Findings in a routing document beyond the errors for which it is refused.

The document is accepted by control in spite of them, and does what it says,
which is probably not what its author meant.
"""

import re
import typing

from chervilspindle.config import findings
from chervilspindle.policy import shared_limits
from chervilspindle.routing import documents
from chervilspindle.routing import request_timing

# The request line of HTTP/1.1 has visible characters only, and the query
# begins at the first question mark.
PREFIX_PATTERN = re.compile(r"[!-~\x80-\xff]*")
HOST_PATTERN = re.compile(r"[a-z0-9._~%!$&'()+,;=:\[\]-]+")
PORT_PATTERN = re.compile(r".*:\d+")
BURST_LIMIT_S = 3600.0  # a burst beyond an hour of the rate hides the rate
MEMORY_SHARE = 0.5  # of a VM, that one request of a caller may take


class DeploymentRules(typing.NamedTuple):
    """What the settings of the processes say about documents.

    Parameters
    ----------
    quota_rule : shared_limits.QuotaRule or None
    cold_rule : shared_limits.ColdRule or None
    grace_s : float
    memory_mb : float
    """

    quota_rule: shared_limits.QuotaRule | None
    cold_rule: shared_limits.ColdRule | None
    grace_s: float
    memory_mb: float


def list_findings(
    document: documents.Document, rules: DeploymentRules | None = None
):
    """Yield what is probably a mistake in a document without errors.

    Parameters
    ----------
    document : documents.Document
    rules : DeploymentRules or None
        None if the settings are not known.
    """
    yield from _list_route_findings(document)
    yield from _list_unused_services(document)
    yield from _list_account_findings(document)
    yield from _list_limit_findings(document)
    if rules is not None:
        yield from _list_rule_findings(document, rules)


def _list_route_findings(document):
    names = set()
    for route in document.routes:
        if route.name in names:
            yield _build("route-name-twice", route, "another has this name")
        names.add(route.name)
        yield from _list_unmatchable(route)
        yield from _list_target_findings(route)
        if 0 < route.objective_ms and route.timeout_ms < route.objective_ms:
            text = (
                f"timeout of {route.timeout_ms:g} ms is below the objective "
                f"of {route.objective_ms:g} ms"
            )
            yield _build("timeout-below-objective", route, text)
        if route.priority < 0:
            text = "priority is below 0, the most urgent one"
            yield _build("priority-out-of-range", route, text)


def _list_unmatchable(route):
    """Yield why no request can match a route."""
    host = route.host
    if not HOST_PATTERN.fullmatch(host):
        text = f"no request has the host {host!r}"
        yield _build("host-never-matches", route, text)
    elif PORT_PATTERN.fullmatch(host):
        text = f"host {host!r} has a port, which is cut off from requests'"
        yield _build("host-never-matches", route, text)
    if "?" in route.prefix or not PREFIX_PATTERN.fullmatch(route.prefix):
        text = f"no path begins with {route.prefix!r}"
        yield _build("prefix-never-matches", route, text)


def _list_target_findings(route):
    services = [a.service for a in route.alternatives]
    for alternative in route.alternatives:
        if alternative.weight == 0:
            text = f"service {alternative.service} has a weight of 0"
            yield _build("weight-zero", route, text)
    for service in sorted({s for s in services if services.count(s) > 1}):
        text = f"service {service} is listed twice; its weights add up"
        yield _build("service-twice", route, text)
    if not route.shards:
        if route.min_coverage:
            text = "minimum coverage of a route without shards has no effect"
            yield _build("coverage-without-shards", route, text)
        if route.top_k:
            text = "number of records of a route without shards has no effect"
            yield _build("records-without-shards", route, text)
        return
    count = len(route.shards)
    required = request_timing.count_required_shards(count, route.min_coverage)
    if required == count and route.min_coverage < 1.0 and count > 1:
        text = (
            f"minimum coverage {route.min_coverage:g} of {count} shards needs "
            "all of them"
        )
        yield _build("coverage-needs-all", route, text)
    if route.min_coverage == 0:
        text = f"a response may lack all but one of {count} shards"
        yield _build("coverage-zero", route, text)
    if route.top_k < 1:
        text = "responses have no records"
        yield _build("no-records", route, text)
    if not route.idempotent and route.max_attempts > 1:
        text = "shards may run more than once, but the route is not idempotent"
        yield _build("fan-out-not-idempotent", route, text)


def _list_unused_services(document):
    used = set()
    for route in document.routes:
        used.update(route.shards)
        used.update(a.service for a in route.alternatives)
    for name in sorted(document.service_by_name.keys() - used):
        yield findings.Finding("unused-service", name, "no route names it")


def _list_account_findings(document):
    accounts = document.accounts
    guarded = [r for r in document.routes if r.needs_key]
    if accounts and not guarded:
        yield findings.Finding(
            "accounts-unused", "accounts", "no route needs a key"
        )
    if not accounts:
        for route in document.routes:
            if not route.needs_key:
                text = "needs no key, but there are no accounts anyway"
                yield _build("exemption-without-accounts", route, text)
    for account in accounts:
        if not account.keys:
            yield _build("account-without-key", account, "nobody can use it")
        if account.priority is not None and account.priority < 0:
            text = "priority is below 0, the most urgent one"
            yield _build("priority-out-of-range", account, text)
        if account.burst and not account.rate_per_s:
            text = "burst without a rate has no effect"
            yield _build("burst-without-rate", account, text)
        elif account.burst > BURST_LIMIT_S * account.rate_per_s:
            text = (
                f"burst of {account.burst:g} is more than an hour of the rate "
                f"of {account.rate_per_s:g} per second"
            )
            yield _build("burst-hides-rate", account, text)
    yield from _list_unlimited(accounts, guarded)


def _list_unlimited(accounts, guarded):
    """Yield accounts that may keep all others out."""
    for account in accounts:
        if account.priority is None or account.rate_per_s:
            continue
        others = [r.priority for r in guarded]
        others += [
            other.priority
            for other in accounts
            if other.priority is not None and other is not account
        ]
        if others and account.priority < min(others):
            text = (
                f"priority {account.priority} goes before all others, and it "
                "has no rate"
            )
            yield _build("most-urgent-without-rate", account, text)


def _list_limit_findings(document):
    for field in ("header_bytes", "header_ms", "idle_ms"):
        if getattr(document.limits, field) <= 0:
            text = f"{field} of 0 or less refuses every request"
            yield findings.Finding("limit-refuses-all", "limits", text)
    for service in document.service_by_name.values():
        if service.cold_requests_per_s and not service.cold_start_s:
            text = "a rate while cold, but no time that endpoints are cold"
            yield _build("cold-rate-without-time", service, text)


def _list_rule_findings(document, rules):
    quota = rules.quota_rule
    for account in document.accounts:
        if not account.rate_per_s:
            continue
        if quota is None:
            text = "has a rate, but the settings have no quota window"
            yield _build("quota-not-in-force", account, text)
            continue
        limit = account.rate_per_s * quota.window_s + account.burst
        if limit < 1.0:
            text = f"less than one request in a window of {quota.window_s:g} s"
            yield _build("quota-admits-none", account, text)
    for service in document.service_by_name.values():
        if service.cold_requests_per_s and rules.cold_rule is None:
            text = "has a rate while cold, which the settings do not enforce"
            yield _build("cold-rate-not-in-force", service, text)
    for route in document.routes:
        if route.timeout_ms > rules.grace_s * 1000.0:
            text = (
                f"timeout of {route.timeout_ms:g} ms is longer than the grace "
                f"period of {rules.grace_s:g} s"
            )
            yield _build("timeout-above-grace", route, text)
    limit_bytes = MEMORY_SHARE * rules.memory_mb * (1 << 20)
    if document.limits.body_bytes > limit_bytes:
        text = (
            f"body_bytes of {document.limits.body_bytes} is more than "
            f"{MEMORY_SHARE:.0%} of the memory of {rules.memory_mb:g} MB"
        )
        yield findings.Finding("body-above-memory", "limits", text)


def _build(code, row, message):
    return findings.Finding(code, row.name, message)


def compare(old: documents.Document, new: documents.Document):
    """Yield what differs between two versions of a document."""
    for table, old_rows, new_rows in (
        ("routes", old.routes, new.routes),
        (
            "services",
            old.service_by_name.values(),
            new.service_by_name.values(),
        ),
        ("accounts", old.accounts, new.accounts),
    ):
        yield from findings.compare_rows(
            table,
            {row.name: row for row in old_rows},
            {row.name: row for row in new_rows},
            ("keys",),
        )
    yield from findings.compare_rows(
        "limits", {"limits": old.limits}, {"limits": new.limits}
    )
