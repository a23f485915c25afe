"""Decodes the platform's settings file to the product's settings."""

import msgspec

from chervilspindle.routing import process
from chervilspindle.routing import retry_budget

# The platform gives no secret. The key keeps processes of other deployments
# and stray connections out, not an attacker on the network.
SHARED_KEY = "chervilspindle links"


class Addresses(msgspec.Struct):
    """Addresses to listen on; absent for what the process does not serve."""

    front: str = ""
    ready: str = msgspec.field(default="", name="readiness-addr")
    control: str = ""


class Tolerance(msgspec.Struct):
    """What may be lost at the same time."""

    machines: int = 0


class Limits(msgspec.Struct):
    """Bounds on the process."""

    core_share: float = msgspec.field(default=1.0, name="cpu-share")
    # How many times as fast as one core, not a count of cores.
    speed: float = msgspec.field(default=1.0, name="cpu-cores")
    link_mbps: float = msgspec.field(default=1000.0, name="link-speed-mbps")


class Bounds(msgspec.Struct):
    """Values of the rules; times in the unit of their names."""

    grace_s: float = msgspec.field(default=6.0, name="grace-s")
    budget_ratio: float = msgspec.field(default=0.1, name="retry-budget-ratio")
    budget_base: float = msgspec.field(default=10.0, name="retry-budget-base")
    budget_window_s: float = msgspec.field(
        default=10.0, name="budget-window-s"
    )


class File(msgspec.Struct):
    """The settings file; fields that are not named here are ignored."""

    node_name: str = msgspec.field(name="node-name")
    ip: str = msgspec.field(name="ip-address")
    zone: str
    addresses: Addresses = msgspec.field(name="bind-addrs")
    # First and last port for links between the system's own processes.
    ports: tuple[int, int] = msgspec.field(name="internal-ports")
    # Control addresses, of which only the host part says where links go.
    seeds: tuple[str, ...] = msgspec.field(name="seed-nodes")
    first_start: bool = msgspec.field(default=False, name="bootstrap")
    data_folder: str | None = msgspec.field(default=None, name="data-dir")
    tolerance: Tolerance = msgspec.field(
        default_factory=Tolerance, name="fault-tolerance"
    )
    limits: Limits = msgspec.field(default_factory=Limits)
    bounds: Bounds = msgspec.field(
        default_factory=Bounds, name="policy-values"
    )


def decode_settings(data: bytes) -> process.RoutingSettings:
    """Decode the settings file.

    Raises
    ------
    ValueError
        Names the field that is missing or of another type.
    """
    found = msgspec.json.decode(data, type=File)
    port, metrics_port = found.ports[0], found.ports[0] + 1
    seeds = tuple(f"{s.rsplit(':', 1)[0]}:{port}" for s in found.seeds)
    bounds = found.bounds
    return process.RoutingSettings(
        vm_id=found.node_name,
        zone=found.zone,
        peer_address=f"{found.ip}:{port}",
        metrics_address=f"{found.ip}:{metrics_port}",
        seeds=seeds,
        shared_key=SHARED_KEY,
        entry_address=found.addresses.front,
        ready_address=found.addresses.ready,
        control_address=found.addresses.control,
        data_folder=found.data_folder or "",
        first_start=found.first_start,
        voters=2 * found.tolerance.machines + 1,
        budget=retry_budget.Rule(
            bounds.budget_ratio, bounds.budget_base, bounds.budget_window_s
        ),
        grace_s=bounds.grace_s,
        core_share=found.limits.core_share * found.limits.speed,
        link_mbps=found.limits.link_mbps,
    )
