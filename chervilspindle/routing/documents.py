"""Routing documents: a whole configuration of routes under one version.

A document is immutable. Checks return errors as data; a document with any
error is never put in force.
"""

import typing


class Limits(typing.NamedTuple):
    """Bounds on what a caller may send and how long it may take.

    Parameters
    ----------
    header_bytes, body_bytes : int
    header_ms : float
        Time within which the header of a request has to arrive.
    idle_ms : float
        Time for which a connection may stay without a request.
    """

    header_bytes: int = 16384
    body_bytes: int = 262144
    header_ms: float = 5000.0
    idle_ms: float = 60000.0


class Service(typing.NamedTuple):
    """A service that routes may name.

    Parameters
    ----------
    name : str
    health_path : str
    connections : int
        Connections that each endpoint accepts from all callers together.
    """

    name: str
    health_path: str
    connections: int


class WeightedService(typing.NamedTuple):
    """One alternative of a route and its share of the requests."""

    service: str
    weight: float


class Route(typing.NamedTuple):
    """Where requests of one host and path prefix go.

    Parameters
    ----------
    name, host, prefix : str
    idempotent : bool
        Whether a request may run more than once.
    timeout_ms : float
        Longest time that a request is kept waiting.
    objective_ms : float
        Latency objective; 0 if the route has none.
    priority : int
        Rank among routes, 0 is the most urgent.
    max_attempts : int
        Endpoints that one request, or one shard of it, may run on.
    alternatives : tuple of WeightedService
        One service in most cases; empty for a fan-out route.
    shards : tuple of str
        Services that all answer a fan-out request.
    top_k : int
        Records in the answer of a fan-out request.
    min_coverage : float
        Least share of the shards in an answer, in [0, 1].
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


class Document(typing.NamedTuple):
    """All routes and services at one version."""

    version: int
    routes: tuple[Route, ...]
    service_by_name: dict[str, Service]
    limits: Limits


class DocumentError(typing.NamedTuple):
    """One reason to refuse a document, and where it was found."""

    place: str
    message: str


def check_document(document: Document) -> tuple[DocumentError, ...]:
    """Return all errors of a document, none if it may be put in force."""
    errors = []
    place_by_key = {}
    for route in document.routes:
        key = (route.host, route.prefix)
        if key in place_by_key:
            text = f"same host and prefix as {place_by_key[key]}"
            errors.append(DocumentError(route.name, text))
        place_by_key[key] = route.name
        errors.extend(_check_route(route, document.service_by_name))
    return tuple(errors)


def _check_route(route: Route, service_by_name):
    if not route.prefix.startswith("/") or not route.prefix.endswith("/"):
        yield DocumentError(route.name, "prefix has no slash at either end")
    if route.timeout_ms <= 0:
        yield DocumentError(route.name, "timeout is not positive")
    if route.max_attempts < 1:
        yield DocumentError(route.name, "no attempt is allowed")
    named = [a.service for a in route.alternatives] + list(route.shards)
    if not named:
        yield DocumentError(route.name, "names no service")
    if route.alternatives and route.shards:
        yield DocumentError(route.name, "both forwards and fans out")
    for name in named:
        if name not in service_by_name:
            yield DocumentError(route.name, f"unknown service {name}")
    weights = [a.weight for a in route.alternatives]
    if weights and (min(weights) < 0 or sum(weights) <= 0):
        yield DocumentError(route.name, "weights do not add up")
    if len(set(route.shards)) < len(route.shards):
        yield DocumentError(route.name, "names a shard twice")
    if not 0 <= route.min_coverage <= 1:
        yield DocumentError(route.name, "coverage is not a share")


class RouteTable:
    """Finds the route of a request.

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
        """Return the route with the longest prefix, None without one."""
        for route in self.routes_by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None
