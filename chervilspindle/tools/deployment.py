"""Builds settings, lists and stand-in endpoints for one machine.

The demonstration, the scenarios and the experiments use it. It contains
the two users' deployments at the sizes that they specified.
"""

import json
import os
import secrets
import typing

from chervilspindle.config import settings as settings_module
from chervilspindle.config import tokens
from chervilspindle.core import rows

HOST = "127.0.0.1"
ZONES = ("zone-a", "zone-b", "zone-c")


class ServiceGroup(typing.NamedTuple):
    """Services of one kind, each with the same number of endpoints.

    `service_ms` is the typical time of one request, `connect_ms` the cost
    of a new connection.
    """

    name: str
    services: int
    endpoints: int
    slots: int
    connections: int
    service_ms: float
    connect_ms: float


class PlanRow(typing.NamedTuple):
    """A plan and its customers."""

    name: str
    customers: tuple[str, ...]
    services: tuple[str, ...]
    share: float
    priorities: tuple[str, ...]


class Profile(typing.NamedTuple):
    """One user's deployment."""

    name: str
    groups: tuple[ServiceGroup, ...]
    plans: tuple[PlanRow, ...]


BEN_SALAH = Profile(
    "ben-salah",
    (
        ServiceGroup("portal", 20, 2, 2, 60, 8.0, 6.0),
        ServiceGroup("drive-sync", 30, 2, 2, 60, 8.0, 6.0),
        ServiceGroup("archive-desk", 1, 3, 3, 200, 12.0, 1.0),
        ServiceGroup("billing-ledger", 1, 3, 3, 200, 12.0, 1.0),
    ),
    (
        PlanRow(
            "casework",
            ("food-bank-sfax", "orphan-sponsors-tunis"),
            ("portal-*", "drive-sync-*", "archive-desk"),
            0.5,
            ("beneficiary-lookup", "search", "archive"),
        ),
        PlanRow(
            "association",
            ("clinic-gabes", "school-aid-kef"),
            ("portal-*", "archive-desk"),
            0.2,
            ("search", "archive"),
        ),
        PlanRow(
            "accounts",
            ("billing-office",),
            ("billing-ledger", "archive-desk"),
            0.3,
            ("ledger", "archive"),
        ),
    ),
)

LAGOON_PADDLE = Profile(
    "lagoon-paddle",
    (
        ServiceGroup("booking-desk", 20, 2, 2, 60, 8.0, 6.0),
        ServiceGroup("hotel-partner", 30, 2, 2, 60, 8.0, 6.0),
        ServiceGroup("waiver-desk", 1, 5, 3, 90, 6.0, 1.0),
        ServiceGroup("guide-app", 1, 3, 3, 90, 5.0, 1.0),
    ),
    (
        PlanRow(
            "yards",
            ("desk-negombo", "desk-bentota"),
            ("booking-desk-*", "hotel-partner-*", "waiver-desk"),
            0.4,
            ("lookup", "search", "report"),
        ),
        PlanRow(
            "guides",
            ("guide-phones",),
            ("booking-desk-*", "guide-app", "waiver-desk"),
            0.4,
            ("lookup", "search"),
        ),
        PlanRow(
            "hotels",
            ("hotel-reef", "hotel-palm"),
            ("hotel-partner-*", "booking-desk-*"),
            0.1,
            ("search",),
        ),
    ),
)

PROFILE_BY_NAME = {p.name: p for p in (BEN_SALAH, LAGOON_PADDLE)}


class Deployment(typing.NamedTuple):
    """Documents of one deployment on this machine.

    Parameters
    ----------
    control_settings, entry_settings : tuple of dict
    endpoints : tuple of dict
        Rows for `endpoint.EndpointConfig`.
    lists : dict
        The two lists.
    token_by_name : dict of str to str
        Tokens of customers and of ``operator``.
    """

    control_settings: tuple[dict, ...]
    entry_settings: tuple[dict, ...]
    endpoints: tuple[dict, ...]
    lists: dict
    token_by_name: dict[str, str]


class PortRange:
    """Allocates consecutive ports."""

    def __init__(self, first: int):
        self.next_port = first

    def allocate(self) -> str:
        """Return the address with the next port."""
        self.next_port += 1
        return f"{HOST}:{self.next_port - 1}"


def build_deployment(
    profile: Profile,
    folder: str,
    first_port: int,
    controls: int = 3,
    entries: int = 3,
    scale: float = 1.0,
) -> Deployment:
    """Build all documents of a deployment.

    Parameters
    ----------
    profile : Profile
    folder : str
        Data folders of control VMs go below it.
    first_port : int
        Ports from here on are used.
    controls, entries : int
        Processes of each role.
    scale : float
        Part of each group's services, at least one of each.
    """
    ports = PortRange(first_port)
    token_by_name = {}
    operator = _issue("operator", token_by_name)
    control_rows = [
        {
            "vm_id": f"control-{number}",
            "peer_address": ports.allocate(),
            "raft_address": ports.allocate(),
        }
        for number in range(1, controls + 1)
    ]
    common = {
        "control_vms": control_rows,
        "group": profile.name,
        "shared_key": secrets.token_hex(16),
        "operators": [operator],
    }
    control_settings = tuple(
        {
            **common,
            **row,
            "zone": ZONES[index % len(ZONES)],
            "roles": ["control"],
            "data_folder": os.path.join(folder, row["vm_id"]),
        }
        for index, row in enumerate(control_rows)
    )
    entry_settings = tuple(
        {
            **common,
            "vm_id": f"entry-{index + 1}",
            "zone": ZONES[index % len(ZONES)],
            "roles": ["entry"],
            "http_address": ports.allocate(),
            "peer_address": ports.allocate(),
        }
        for index in range(entries)
    )
    return Deployment(
        control_settings,
        entry_settings,
        tuple(_build_endpoints(profile, ports, scale)),
        build_lists(profile, token_by_name),
        token_by_name,
    )


def build_lists(profile: Profile, token_by_name) -> dict:
    """Build the two lists of a profile and the customers' tokens."""
    customers = []
    plans = []
    for plan in profile.plans:
        plans.append(
            {
                "name": plan.name,
                "services": list(plan.services),
                "share": plan.share,
                "priorities": list(plan.priorities),
            }
        )
        for name in plan.customers:
            row = _issue(name, token_by_name)
            customers.append({**row, "plan": plan.name})
    return {"customers": customers, "plans": plans}


def write_documents(deployment: Deployment, folder: str):
    """Write all documents as files, for processes to read.

    Returns
    -------
    dict of str to str
        Path of each settings file by VM, and of ``endpoints``, ``lists``.
    """
    path_by_name = {}
    for document in deployment.control_settings + deployment.entry_settings:
        path_by_name[document["vm_id"]] = _write(
            folder, f"{document['vm_id']}.json", document
        )
    path_by_name["endpoints"] = _write(
        folder, "endpoints.json", list(deployment.endpoints)
    )
    path_by_name["lists"] = _write(folder, "lists.json", deployment.lists)
    return path_by_name


def parse_settings(document: dict) -> settings_module.Settings:
    """Return validated settings of a document."""
    settings, mistakes = settings_module.build_settings(document, "built")
    if mistakes:
        raise ValueError(str(mistakes))
    return settings


def list_http_addresses(deployment: Deployment) -> list[str]:
    """Return the addresses on which entries serve callers."""
    return [row["http_address"] for row in deployment.entry_settings]


def _build_endpoints(profile, ports, scale):
    for group in profile.groups:
        count = max(1, round(group.services * scale))
        for number in range(1, count + 1):
            service = group.name
            if group.services > 1:
                service = f"{group.name}-{number:02d}"
            for replica in range(group.endpoints):
                yield {
                    "endpoint": f"{service}.{replica}",
                    "service": service,
                    "address": ports.allocate(),
                    "zone": ZONES[(number + replica) % len(ZONES)],
                    "slots": group.slots,
                    "connections": group.connections,
                    "holdings": [[1, 0, rows.KEY_SPACE]],
                    "service_ms": group.service_ms,
                    "connect_ms": group.connect_ms,
                }


def _issue(name, token_by_name):
    issued = tokens.create_token(name)
    token_by_name[name] = issued.token
    return {
        "name": name,
        "token_salt": issued.token_salt,
        "token_digest": issued.token_digest,
    }


def _write(folder, name, document):
    path = os.path.join(folder, name)
    with open(path, "w", encoding="utf-8") as handle:
        json.dump(document, handle, indent=2)
    return path
