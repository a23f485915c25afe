"""Converts the platform's settings file to `process.RoutingSettings`."""

import logging

import msgspec

from chervilspindle.core import endpoint_checks
from chervilspindle.core import json_limits
from chervilspindle.policy import shared_limits
from chervilspindle.routing import process
from chervilspindle.routing import retry_budget

LOGGER = logging.getLogger(__name__)

# The platform provides no secret, so the key is fixed. It rejects stray
# connections and processes of other deployments, but does not protect against
# an attacker on the network.
SHARED_KEY = "chervilspindle links"
MAX_VOTERS = 101
MAX_LOG_CHARS = 200
MAY_BE_ZERO = (
    "grace_s",
    "budget_ratio",
    "budget_base",
    "quota_overage",
    "quota_slack",
    "cold_slack",
)


class Addresses(msgspec.Struct):
    """Listen addresses; empty for a role that the process does not have."""

    front: str = ""
    ready: str = msgspec.field(default="", name="readiness-addr")
    control: str = ""


class Tolerance(msgspec.Struct):
    """Number of simultaneous failures that the system must survive."""

    machines: int = 0


class Limits(msgspec.Struct):
    """Resources that are available to the process."""

    core_share: float = msgspec.field(default=1.0, name="cpu-share")
    # Speed relative to one core, not a number of cores.
    speed: float = msgspec.field(default=1.0, name="cpu-cores")
    link_mbps: float = msgspec.field(default=1000.0, name="link-speed-mbps")
    memory_mb: float = msgspec.field(default=256.0, name="memory-mb")
    # Absent for a share of the memory and of the descriptors.
    caller_memory_mb: float | None = msgspec.field(
        default=None, name="caller-memory-mb"
    )
    caller_connections: int | None = msgspec.field(
        default=None, name="caller-connections"
    )


class PolicyValues(msgspec.Struct):
    """Tunable values of the grace period and of the retry budget."""

    grace_s: float = msgspec.field(default=6.0, name="grace-s")
    budget_ratio: float = msgspec.field(default=0.1, name="retry-budget-ratio")
    budget_base: float = msgspec.field(default=10.0, name="retry-budget-base")
    budget_window_s: float = msgspec.field(
        default=10.0, name="budget-window-s"
    )
    # Absent where the rule is not in force.
    quota_window_s: float | None = msgspec.field(
        default=None, name="quota-window-s"
    )
    quota_overage: float = msgspec.field(default=0.0, name="quota-overage")
    quota_slack: float = msgspec.field(default=0.0, name="quota-slack")
    cold_overload: float | None = msgspec.field(
        default=None, name="warmup-overload"
    )
    cold_slack: float = msgspec.field(default=0.0, name="warmup-slack")


class SettingsFile(msgspec.Struct):
    """The settings file; unknown fields are ignored."""

    node_name: str = msgspec.field(name="node-name")
    ip: str = msgspec.field(name="ip-address")
    zone: str
    addresses: Addresses = msgspec.field(name="bind-addrs")
    # First and last port for connections between processes of the system.
    ports: tuple[int, int] = msgspec.field(name="internal-ports")
    # Control addresses; the port is replaced by the first internal port.
    seeds: tuple[str, ...] = msgspec.field(name="seed-nodes")
    first_start: bool = msgspec.field(default=False, name="bootstrap")
    data_folder: str | None = msgspec.field(default=None, name="data-dir")
    tolerance: Tolerance = msgspec.field(
        default_factory=Tolerance, name="fault-tolerance"
    )
    limits: Limits = msgspec.field(default_factory=Limits)
    policy: PolicyValues = msgspec.field(
        default_factory=PolicyValues, name="policy-values"
    )


def decode_settings(data: bytes) -> process.RoutingSettings:
    """Decode the settings file.

    Raises
    ------
    ValueError
        If a field is missing or of another type; the message names it.
    """
    try:
        file = msgspec.json.decode(data, type=SettingsFile)
    except RecursionError as error:
        raise ValueError("nested too deeply") from error
    port, metrics_port = file.ports[0], file.ports[0] + 1
    seeds = tuple(f"{s.rsplit(':', 1)[0]}:{port}" for s in file.seeds)
    seeds = tuple(filter(_is_usable, seeds))
    policy = _replace_unusable(file.policy)
    limits = _replace_unusable(file.limits)
    settings = process.RoutingSettings(
        vm_id=file.node_name,
        zone=file.zone,
        peer_address=f"{file.ip}:{port}",
        metrics_address=f"{file.ip}:{metrics_port}",
        seeds=seeds,
        shared_key=SHARED_KEY,
        entry_address=file.addresses.front,
        ready_address=file.addresses.ready,
        control_address=file.addresses.control,
        data_folder=file.data_folder or "",
        first_start=file.first_start,
        voters=2 * file.tolerance.machines + 1,
        budget=retry_budget.Rule(
            policy.budget_ratio, policy.budget_base, policy.budget_window_s
        ),
        grace_s=policy.grace_s,
        core_share=limits.core_share * limits.speed,
        link_mbps=limits.link_mbps,
        memory_mb=limits.memory_mb,
        quota_rule=_build_quota_rule(policy),
        cold_rule=_build_cold_rule(policy),
        caller_memory_mb=limits.caller_memory_mb,
        caller_connections=limits.caller_connections,
    )
    _check(settings)
    return settings


def _build_quota_rule(policy):
    if policy.quota_window_s is None:
        return None
    return shared_limits.QuotaRule(
        policy.quota_window_s, policy.quota_overage, policy.quota_slack
    )


def _build_cold_rule(policy):
    if policy.cold_overload is None:
        return None
    return shared_limits.ColdRule(policy.cold_overload, policy.cold_slack)


def _check(settings):
    """Raise a `ValueError` that names a field no process can start with."""
    if settings.first_start and not settings.seeds:
        raise ValueError("`bootstrap` is set without usable `seed-nodes`")
    if not 1 <= settings.voters <= MAX_VOTERS:
        raise ValueError("`machines` of `fault-tolerance` is out of range")
    if not settings.entry_address and not settings.data_folder:
        raise ValueError("neither `front` nor `data-dir` is set")
    for address in (
        settings.peer_address,
        settings.metrics_address,
        settings.entry_address,
        settings.ready_address,
        settings.control_address,
    ):
        if address:
            endpoint_checks.parse_address(address)


def _is_usable(seed) -> bool:
    try:
        endpoint_checks.parse_address(seed)
    except ValueError as error:
        LOGGER.warning("seed cannot be used: %s", str(error)[:MAX_LOG_CHARS])
        return False
    return True


def _replace_unusable(part):
    """Replace values that nothing can be computed with by their defaults."""
    usable = {
        name: value
        for name, value in msgspec.structs.asdict(part).items()
        if value is not None
        and value <= json_limits.MAX_EXACT_INTEGER
        and (value > 0 or value == 0 and name in MAY_BE_ZERO)
    }
    return type(part)(**usable)
