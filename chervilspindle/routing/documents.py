"""Routing documents: the complete configuration of routes at one version.

A document is immutable. Validation returns errors as data; a document with
any error is never applied.
"""

import re
import typing

from chervilspindle.core import json_limits

# Endpoints limit the size of a request's header, of which a name is a part.
MAX_ACCOUNT_NAME_CHARACTERS = 1000
ACCOUNT_NAME_PATTERN = re.compile(r"[!-~](?:[ -~\t]*[!-~])?")


class Limits(typing.NamedTuple):
    """Limits on the size and timing of callers' requests.

    Parameters
    ----------
    header_bytes, body_bytes : int
    header_ms : float
        Maximum time until the header of a request has arrived.
    idle_ms : float
        Maximum time that a connection may stay idle.
    """

    header_bytes: int = 16384
    body_bytes: int = 262144
    header_ms: float = 5000.0
    idle_ms: float = 60000.0


class Service(typing.NamedTuple):
    """A service that routes may refer to.

    Parameters
    ----------
    name : str
    health_path : str
    connections : int
        Connections that each endpoint accepts from all clients together.
    cold_start_s : float
        How long an endpoint is cold after it starts; 0 if not stated.
    cold_requests_per_s : float
        Requests per second that a cold endpoint takes from all VMs together;
        0 for no limit.
    """

    name: str
    health_path: str
    connections: int
    cold_start_s: float = 0.0
    cold_requests_per_s: float = 0.0


class WeightedService(typing.NamedTuple):
    """An alternative of a route and its relative share of the requests."""

    service: str
    weight: float


class Route(typing.NamedTuple):
    """Destination of the requests for one host and path prefix.

    Parameters
    ----------
    name, host, prefix : str
    idempotent : bool
        Whether a request may be executed more than once.
    timeout_ms : float
        Maximum time until a request is answered.
    objective_ms : float
        Latency objective; 0 if the route has none.
    priority : int
        Rank among routes; 0 is the most urgent.
    max_attempts : int
        Maximum number of endpoints that execute a request, or one shard of
        it.
    alternatives : tuple of WeightedService
        One service in most cases; empty for a fan-out route.
    shards : tuple of str
        Services that a fan-out request is sent to; one per shard.
    top_k : int
        Number of records in the answer to a fan-out request.
    min_coverage : float
        Minimum share of the shards that an answer covers, in [0, 1].
    needs_key : bool
        Whether requests need the key of a client account, if the document
        has accounts.
    """

    name: str
    host: str
    prefix: str
    idempotent: bool
    timeout_ms: float
    objective_ms: float
    priority: int
    max_attempts: int
    alternatives: tuple[WeightedService, ...] = ()
    shards: tuple[str, ...] = ()
    top_k: int = 0
    min_coverage: float = 0.0
    needs_key: bool = True


class Account(typing.NamedTuple):
    """A client account: who may call, how often, and with which priority.

    Parameters
    ----------
    name : str
    keys : tuple of str
        Secrets; any of them identifies the account.
    priority : int or None
        Goes before the priority of the route; None if not stated.
    rate_per_s : float
        Requests per second over all VMs together; 0 for no limit.
    burst : float
        Requests that may be made on top of the rate.
    """

    name: str
    keys: tuple[str, ...]
    priority: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0


class Document(typing.NamedTuple):
    """All routes and services at one version."""

    version: int
    routes: tuple[Route, ...]
    service_by_name: dict[str, Service]
    limits: Limits
    accounts: tuple[Account, ...] = ()


class DocumentError(typing.NamedTuple):
    """A reason to reject a document, and the route that it concerns."""

    place: str
    message: str


def check_document(document: Document) -> tuple[DocumentError, ...]:
    """Return all errors of a document, empty if it may be applied."""
    errors = []
    largest = json_limits.MAX_EXACT_INTEGER
    if not 0 <= document.version <= largest:
        errors.append(DocumentError("version", "is out of range"))
    for place, row in _list_numeric_rows(document):
        if any(abs(n) > largest for n in row if _is_number(n)):
            errors.append(DocumentError(place, "a number is out of range"))
    route_name_by_key = {}
    for route in document.routes:
        key = (route.host, route.prefix)
        if key in route_name_by_key:
            text = f"same host and prefix as {route_name_by_key[key]}"
            errors.append(DocumentError(route.name, text))
        route_name_by_key[key] = route.name
        errors.extend(_check_route(route, document.service_by_name))
    errors.extend(_check_accounts(document.accounts))
    return tuple(errors)


def _list_numeric_rows(document):
    yield "limits", document.limits
    for service in document.service_by_name.values():
        yield service.name, service
    for route in document.routes:
        yield route.name, route
        for alternative in route.alternatives:
            yield route.name, alternative
    for account in document.accounts:
        yield account.name, account


def _is_number(value):
    return isinstance(value, (int, float))


def _check_route(route: Route, service_by_name):
    if not route.prefix.startswith("/") or not route.prefix.endswith("/"):
        yield DocumentError(
            route.name, "prefix must start and end with a slash"
        )
    if route.timeout_ms <= 0:
        yield DocumentError(route.name, "timeout must be positive")
    if route.max_attempts < 1:
        yield DocumentError(route.name, "at least one attempt must be allowed")
    services = [a.service for a in route.alternatives] + list(route.shards)
    if not services:
        yield DocumentError(route.name, "route has no service")
    if route.alternatives and route.shards:
        yield DocumentError(
            route.name, "route has both alternatives and shards"
        )
    for name in services:
        if name not in service_by_name:
            yield DocumentError(route.name, f"unknown service {name}")
    weights = [a.weight for a in route.alternatives]
    if weights and (min(weights) < 0 or sum(weights) <= 0):
        yield DocumentError(
            route.name, "weights must be non-negative and not all zero"
        )
    if len(set(route.shards)) < len(route.shards):
        yield DocumentError(route.name, "route lists a shard twice")
    if not 0 <= route.min_coverage <= 1:
        yield DocumentError(
            route.name, "minimum coverage must be between 0 and 1"
        )


def _check_accounts(accounts):
    """Yield the errors of accounts, which never name a key."""
    names = set()
    name_by_key = {}
    for number, account in enumerate(accounts):
        place = account.name
        if not is_account_name(account.name):
            place = f"account {number + 1}"
            yield DocumentError(place, "name is empty or invalid in a header")
        elif account.name in names:
            yield DocumentError(place, "two accounts have this name")
        names.add(account.name)
        for key in account.keys:
            if not key:
                yield DocumentError(place, "account has an empty key")
                continue
            holder = name_by_key.setdefault(key, place)
            if holder != place:
                text = f"account has the same key as {holder}"
                yield DocumentError(place, text)
        if account.rate_per_s < 0:
            yield DocumentError(place, "rate must not be negative")
        if account.burst < 0:
            yield DocumentError(place, "burst must not be negative")


def is_account_name(name: str) -> bool:
    """Tell whether a name can be sent as the value of a header."""
    if len(name) > MAX_ACCOUNT_NAME_CHARACTERS:
        return False
    return ACCOUNT_NAME_PATTERN.fullmatch(name) is not None


class RouteTable:
    """Index of the routes of a document by host.

    Parameters
    ----------
    document : Document
    """

    def __init__(self, document: Document):
        self.document = document
        self.routes_by_host = {}
        for route in document.routes:
            self.routes_by_host.setdefault(route.host, []).append(route)
        for routes in self.routes_by_host.values():
            routes.sort(key=lambda r: len(r.prefix), reverse=True)

    def match(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching prefix, or None."""
        for route in self.routes_by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None
