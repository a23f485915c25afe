"""Converts an operator's configuration to a routing document."""

import msgspec

from chervilspindle.platform import names
from chervilspindle.routing import documents


class Split(msgspec.Struct):
    """A service of a weighted route and its weight."""

    service: str
    weight: float


class Route(msgspec.Struct):
    """A route in the operator's configuration."""

    name: str
    host: str = msgspec.field(name="hostname")
    prefix: str = msgspec.field(name="path-prefix")
    # Whether requests are idempotent, not the kind of forwarding.
    route_type: str = msgspec.field(name="route-type")
    timeout_ms: float = msgspec.field(name="timeout-ms")
    objective_ms: float = msgspec.field(default=0.0, name="slo-ms")
    priority: int = 0
    service: str | None = None
    split: tuple[Split, ...] = msgspec.field(default=(), name="traffic-split")
    shards: tuple[str, ...] = msgspec.field(default=(), name="fanout-services")
    max_attempts: int = msgspec.field(default=1, name="max-attempts")
    top_k: int = msgspec.field(default=0, name="top-k")
    min_coverage: float = msgspec.field(default=0.0, name="min-coverage")
    exempt: bool = msgspec.field(default=False, name="auth-exempt")


class Service(msgspec.Struct):
    """A service in the operator's configuration."""

    name: str
    health_path: str = msgspec.field(default="/health", name="health-path")
    connections: int = msgspec.field(default=0, name="max-connections")
    cold_start_s: float = msgspec.field(default=0.0, name="cold-start-s")
    cold_per_s: float = msgspec.field(default=0.0, name="warmup-per-s")


class Account(msgspec.Struct):
    """A client account in the operator's configuration."""

    name: str
    keys: tuple[str, ...] = msgspec.field(default=(), name="api-keys")
    priority: int | None = None
    rate_per_s: float = msgspec.field(default=0.0, name="rate-per-s")
    burst: float = msgspec.field(default=0.0, name="burst-size")


class Limits(msgspec.Struct):
    """Limits on the size and duration of incoming requests."""

    header_bytes: int = msgspec.field(default=16384, name="header-max-bytes")
    body_bytes: int = msgspec.field(default=262144, name="body-max-bytes")
    header_ms: float = msgspec.field(default=5000.0, name="header-timeout-ms")
    idle_ms: float = msgspec.field(default=60000.0, name="idle-timeout-ms")


class Configuration(msgspec.Struct):
    """The operator's complete configuration."""

    version: int
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    limits: Limits = msgspec.field(default_factory=Limits)
    accounts: tuple[Account, ...] = msgspec.field(default=(), name="tenants")


_DECODER = msgspec.json.Decoder(Configuration)
# An entry decodes with more frames on the stack than control, and the decoder
# counts them against its limit of nesting.
SPARE_FRAMES = 300


def decode_document(data: bytes) -> documents.Document:
    """Decode a configuration without checking it for consistency.

    Raises
    ------
    ValueError
        If a field cannot be decoded; the message names it.
    """
    return _convert(_decode(data))


def _decode(data):
    try:
        return _DECODER.decode(data)
    except RecursionError as error:
        raise ValueError("nested too deeply") from error


def _convert(configuration):
    limits = configuration.limits
    return documents.Document(
        configuration.version,
        tuple(_convert_route(route) for route in configuration.routes),
        {
            s.name: documents.Service(*msgspec.structs.astuple(s))
            for s in configuration.services
        },
        documents.Limits(
            limits.header_bytes,
            limits.body_bytes,
            limits.header_ms,
            limits.idle_ms,
        ),
        tuple(
            documents.Account(*msgspec.structs.astuple(account))
            for account in configuration.accounts
        ),
    )


def decode_new_document(data: bytes, spare_frames: int = SPARE_FRAMES):
    """Decode a configuration that an operator has sent.

    Unlike those stored before, it must be readable in full: unknown fields
    are valid UTF-8 as well, and each entry can decode it.

    Raises
    ------
    ValueError
        If it cannot be read; the message names the field.
    """
    if spare_frames:
        # Each call adds a frame to the stack.
        return decode_new_document(data, spare_frames - 1)
    data.decode()
    configuration = _decode(data)
    for route in configuration.routes:
        # A service beside the weights would add its own.
        if route.split and sum(part.weight for part in route.split) <= 0:
            raise ValueError(f"{route.name}: weights add up to 0")
    return _convert(configuration)


def _convert_route(route: Route) -> documents.Route:
    alternatives = tuple(
        documents.WeightedService(s.service, s.weight) for s in route.split
    )
    if route.service is not None:
        alternatives += (documents.WeightedService(route.service, 1.0),)
    return documents.Route(
        name=route.name,
        host=route.host.lower(),
        prefix=route.prefix,
        idempotent=route.route_type == names.IDEMPOTENT_TYPE,
        timeout_ms=route.timeout_ms,
        objective_ms=route.objective_ms,
        priority=route.priority,
        max_attempts=route.max_attempts,
        alternatives=alternatives,
        shards=route.shards,
        top_k=route.top_k,
        min_coverage=route.min_coverage,
        needs_key=not route.exempt,
    )
