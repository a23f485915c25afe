"""Loads and validates the settings of a process."""

import ipaddress
import logging
import typing

from chervilspindle.config import jsonc
from chervilspindle.config import options

SHARED_KEY_MIN_CHARACTERS = 16
# Room for one request of the largest size in progress.
MIN_CALLER_MEMORY_MB = 13.0
MIN_CALLER_CONNECTIONS = 16


class ControlVm(typing.NamedTuple):
    """Addresses of one control VM."""

    vm_id: str
    peer_address: str
    raft_address: str


class TokenRow(typing.NamedTuple):
    """Holder of a token, with the salted digest of the token."""

    name: str
    token_salt: str
    token_digest: str


class Settings(typing.NamedTuple):
    """Settings of one process; `options.OPTIONS` describes each of them."""

    vm_id: str
    zone: str
    roles: tuple[str, ...]
    http_address: str
    peer_address: str
    raft_address: str
    data_folder: str
    control_vms: tuple[ControlVm, ...]
    group: str
    shared_key: str
    operators: tuple[TokenRow, ...]
    endpoint_tokens: tuple[TokenRow, ...]
    log_level: str
    drain_seconds: float
    baselines: tuple[str, ...]
    extra_load_share: float
    memory_mb: float
    caller_memory_mb: float | None = None
    caller_connections: int | None = None


def load_settings(path: str):
    """Load and validate a settings file.

    Returns
    -------
    settings, errors : Settings or None, list of ConfigError
        Settings are None if there are errors.
    """
    document, errors = jsonc.load_file(path)
    if errors:
        return None, errors
    return build_settings(document, path)


def build_settings(document, source: str):
    """Validate a parsed document and build settings from it.

    The return value is that of `load_settings`.
    """
    if not isinstance(document, dict):
        error = jsonc.ConfigError(source, "document", "must be an object")
        return None, [error]
    errors = []
    for validate in VALIDATIONS:
        errors.extend(
            jsonc.ConfigError(source, place, detail)
            for place, detail in validate(document)
        )
        if errors and validate is validate_types:
            return None, errors
    if errors:
        return None, errors
    return _build(document), []


def validate_names(document):
    """Report unknown settings and missing required settings."""
    for name in document:
        if name not in options.OPTION_BY_NAME:
            yield name, "unknown setting"
    for option in options.OPTIONS:
        if option.default is options.REQUIRED and option.name not in document:
            yield option.name, "missing"


def validate_types(document):
    """Report values of the wrong JSON type."""
    for name, value in document.items():
        option = options.OPTION_BY_NAME.get(name)
        if option is None:
            continue
        kinds = (int, float) if option.kind is float else option.kind
        if not isinstance(value, kinds) or isinstance(value, bool):
            yield name, f"must be of type {option.kind.__name__}"
    yield from _validate_rows(
        document, "control_vms", options.CONTROL_VM_FIELDS
    )
    for name in ("operators", "endpoint_tokens"):
        yield from _validate_rows(document, name, options.TOKEN_FIELDS)


def validate_roles(document):
    """Report unknown roles and missing settings that a role requires."""
    roles = document.get("roles", [])
    if not roles:
        yield "roles", "must list at least one role"
    for index, role in enumerate(roles):
        if role not in ("entry", "control"):
            yield f"roles[{index}]", f"unknown role {role!r}"
    if "entry" in roles and not document.get("http_address"):
        yield "http_address", "missing, required by the entry role"
    if "control" in roles:
        for name in ("raft_address", "data_folder"):
            if not document.get(name):
                yield name, "missing, required by the control role"
        names = [row.get("vm_id") for row in document.get("control_vms", [])]
        if document.get("vm_id") not in names:
            yield "control_vms", "does not list this VM"


def validate_addresses(document):
    """Report addresses that are not an IP address and a port."""
    for name in ("http_address", "peer_address", "raft_address"):
        if document.get(name):
            yield from _validate_address(name, document[name])
    for index, row in enumerate(document.get("control_vms", [])):
        for name in ("peer_address", "raft_address"):
            place = f"control_vms[{index}].{name}"
            yield from _validate_address(place, row[name])


def validate_control_vms(document):
    """Report an even number of control VMs and duplicate VMs."""
    rows = document.get("control_vms", [])
    if len(rows) % 2 == 0:
        yield "control_vms", "must list an odd number of VMs"
    seen = set()
    for index, row in enumerate(rows):
        if row["vm_id"] in seen:
            yield f"control_vms[{index}].vm_id", "duplicate VM"
        seen.add(row["vm_id"])


def validate_values(document):
    """Report values that are out of their range."""
    for name in ("vm_id", "group"):
        value = document.get(name, "x")
        if not value or any(c in value for c in "#@/ "):
            yield name, "must be a name without '#', '@', '/' or spaces"
    if len(document.get("shared_key", "")) < SHARED_KEY_MIN_CHARACTERS:
        yield "shared_key", (
            f"must have at least {SHARED_KEY_MIN_CHARACTERS} characters"
        )
    if len(document.get("shared_key", "")) > 64:
        yield "shared_key", "must have at most 64 characters"
    level = document.get("log_level", "INFO").upper()
    if level not in logging.getLevelNamesMapping():
        yield "log_level", f"unknown level {level!r}"
    for index, name in enumerate(document.get("baselines", [])):
        if name not in options.BASELINES:
            yield f"baselines[{index}]", f"unknown baseline {name!r}"
    if not 0 < document.get("drain_seconds", 30.0) <= 600:
        yield "drain_seconds", "must be in (0, 600]"
    if not 0 <= document.get("extra_load_share", 0.05) <= 0.5:
        yield "extra_load_share", "must be in [0, 0.5]"
    if document.get("memory_mb", 256.0) < 64:
        yield "memory_mb", "must be at least 64"
    memory_mb = document.get("memory_mb", 256.0)
    caller_mb = document.get("caller_memory_mb", MIN_CALLER_MEMORY_MB)
    if not MIN_CALLER_MEMORY_MB <= caller_mb <= memory_mb:
        yield "caller_memory_mb", (
            f"must be {MIN_CALLER_MEMORY_MB} to memory_mb"
        )
    connections = document.get("caller_connections", MIN_CALLER_CONNECTIONS)
    if connections < MIN_CALLER_CONNECTIONS:
        yield "caller_connections", (
            f"must be at least {MIN_CALLER_CONNECTIONS}"
        )


VALIDATIONS = (
    validate_names,
    validate_types,
    validate_roles,
    validate_addresses,
    validate_control_vms,
    validate_values,
)


def _validate_rows(document, name, fields):
    rows = document.get(name, [])
    if not isinstance(rows, list):
        return
    for index, row in enumerate(rows):
        place = f"{name}[{index}]"
        if not isinstance(row, dict):
            yield place, "must be an object"
            continue
        for field in fields:
            if not isinstance(row.get(field), str):
                yield f"{place}.{field}", "must be a string"
        for field in row:
            if field not in fields:
                yield f"{place}.{field}", "unknown field"


def _validate_address(place, address):
    host, _, port = address.rpartition(":")
    try:
        ipaddress.ip_address(host)
    except ValueError:
        yield place, f"{address!r} is not IP:PORT"
        return
    if not port.isdigit() or not 0 < int(port) < 65536:
        yield place, f"{address!r} has no valid port"


def _build(document) -> Settings:
    values = {}
    for option in options.OPTIONS:
        values[option.name] = document.get(option.name, option.default)
    values["roles"] = tuple(values["roles"])
    values["baselines"] = tuple(values["baselines"])
    values["control_vms"] = tuple(
        ControlVm(**row) for row in values["control_vms"]
    )
    for name in ("operators", "endpoint_tokens"):
        values[name] = tuple(TokenRow(**row) for row in values[name])
    return Settings(**values)
