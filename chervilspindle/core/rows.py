"""Rows of the tables that control replicates and entries read.

All rows are immutable named tuples, so that a table can be shared between
the replicated state, a snapshot on disk and a reply on the wire.
"""

import typing

FINAL_SEQUENCE = 1 << 62  # of an endpoint that has left, after all others
KEY_SPACE = 65536  # hash slots, shard ranges are [low, high) in it


class Plan(typing.NamedTuple):
    """What a customer plan may use.

    Parameters
    ----------
    name : str
    services : tuple of str
        Shell-style patterns of service names.
    share : float
        Weight of each customer of the plan in slot time, in (0, 1].
    priorities : tuple of str
        Names of priorities, the most urgent first.
    rate : float
        Requests a second that each customer may send; 0 for no limit.
    """

    name: str
    services: tuple[str, ...]
    share: float
    priorities: tuple[str, ...]
    rate: float = 0.0


class Customer(typing.NamedTuple):
    """One customer; its bearer token is kept only as a salted digest."""

    name: str
    plan: str
    token_salt: str
    token_digest: str


class Lists(typing.NamedTuple):
    """The operators' two lists at one revision."""

    revision: int
    customers_by_name: dict[str, Customer]
    plans_by_name: dict[str, Plan]


class Holding(typing.NamedTuple):
    """A shard range [low, high) that an endpoint holds in one snapshot."""

    snapshot: int
    low: int
    high: int


class Endpoint(typing.NamedTuple):
    """One endpoint as it last announced itself.

    Parameters
    ----------
    endpoint_id, service, address, zone : str
        `address` is ``IP:PORT`` of its HTTP server.
    slots : int
        Requests that it runs at once.
    connections : int
        Connections that it accepts.
    state : str
        ``warming``, ``ready``, ``draining``, ``lost`` or ``gone``.
    holdings : tuple of Holding
    incarnation : int
        Start time in milliseconds; a restarted endpoint has a larger one.
    sequence : int
        Number of the announcement within the incarnation.
    """

    endpoint_id: str
    service: str
    address: str
    zone: str
    slots: int
    connections: int
    state: str
    holdings: tuple[Holding, ...]
    incarnation: int
    sequence: int


class Vm(typing.NamedTuple):
    """One process of the entry role on a VM.

    `session` is ``VM_ID@INCARNATION``: leases are granted to it, so that a
    restarted process never inherits what its predecessor may still hold.
    """

    session: str
    vm_id: str
    zone: str
    peer_address: str
    incarnation: int
    state: str  # "ready" or "draining"


class Ownership(typing.NamedTuple):
    """Which session alone may send work to an endpoint, and since which epoch.

    While `previous` is not empty, that session still serves the endpoint
    under the epoch before, until it hands it over to `session` or loses its
    lease. An empty `session` means that nobody may send it work.
    """

    endpoint_id: str
    session: str
    epoch: int
    previous: str = ""


class Claim(typing.NamedTuple):
    """The right to run one non-idempotent request, by customer and key.

    Parameters
    ----------
    claim_id : str
        ``CUSTOMER/IDEMPOTENCY-KEY``.
    digest : str
        Digest of the request that the key is bound to.
    attempt : str
        Request id of the only attempt that may be dispatched.
    outcome : str
        ``claimed``, ``done`` or ``failed``.
    value : bytes
        JSON of the recorded answer.
    created_ms : int
        Wall time of the claim, for expiry.
    """

    claim_id: str
    digest: str
    attempt: str
    outcome: str
    value: bytes
    created_ms: int


class StoredDocument(typing.NamedTuple):
    """A routing document as an operator sent it; version -1 is none."""

    version: int
    data: bytes


NO_DOCUMENT = StoredDocument(-1, b"")


def is_newer(candidate: Endpoint, known: Endpoint) -> bool:
    """Tell whether an announcement is later than the known one."""
    candidate_order = (candidate.incarnation, candidate.sequence)
    return candidate_order > (known.incarnation, known.sequence)


def is_changed(candidate: Endpoint, known: Endpoint) -> bool:
    """Tell whether two announcements differ in more than their number."""
    return candidate._replace(sequence=0) != known._replace(sequence=0)
