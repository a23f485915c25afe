"""Rows of the tables that the control group replicates and entries read.

All rows are immutable named tuples, so that a table can be shared between
the replicated state, a snapshot on disk and a reply on the wire.
"""

import typing

FINAL_SEQUENCE = 1 << 62  # sequence of a departed endpoint, above all others
KEY_SPACE = 65536  # hash slots; shard ranges [low, high) lie within it


class Plan(typing.NamedTuple):
    """Permissions and limits of a customer plan.

    Parameters
    ----------
    name : str
    services : tuple of str
        Shell-style patterns of service names.
    share : float
        Fair-share weight of each customer of the plan, by slot time,
        in (0, 1].
    priorities : tuple of str
        Names of priorities, most urgent first.
    rate : float
        Maximum requests per second for each customer; 0 for no limit.
    """

    name: str
    services: tuple[str, ...]
    share: float
    priorities: tuple[str, ...]
    rate: float = 0.0


class Customer(typing.NamedTuple):
    """One customer; only a salted digest of its bearer token is stored."""

    name: str
    plan: str
    token_salt: str
    token_digest: str


class Lists(typing.NamedTuple):
    """The operators' customer and plan lists at one revision."""

    revision: int
    customers_by_name: dict[str, Customer]
    plans_by_name: dict[str, Plan]


class Holding(typing.NamedTuple):
    """A shard range [low, high) that an endpoint serves from one snapshot."""

    snapshot: int
    low: int
    high: int


class Endpoint(typing.NamedTuple):
    """The latest announcement of an endpoint.

    Parameters
    ----------
    endpoint_id, service, address, zone : str
        `address` is ``IP:PORT`` of its HTTP server.
    slots : int
        Number of requests that it runs concurrently.
    connections : int
        Number of connections that it accepts.
    state : str
        ``warming``, ``ready``, ``draining``, ``lost`` or ``gone``.
    holdings : tuple of Holding
    incarnation : int
        Start time in milliseconds; a restarted endpoint has a larger one.
    sequence : int
        Number of the announcement within the incarnation.
    cold_left_ms : float
        How long it stays cold from that announcement on; 0 if it is not cold,
        or if that is not known.
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
    cold_left_ms: float = 0.0


class Vm(typing.NamedTuple):
    """One process with the entry role on a VM.

    Leases are granted to `session`, which is ``VM_ID@INCARNATION``, so that
    a restarted process never inherits leases its predecessor may still hold.
    """

    session: str
    vm_id: str
    zone: str
    peer_address: str
    incarnation: int
    state: str  # "ready" or "draining"


class Ownership(typing.NamedTuple):
    """Exclusive owner of an endpoint, with the epoch of its ownership.

    Only the owning session may send requests to the endpoint. While
    `previous` is not empty, that session still serves the endpoint under the
    preceding epoch, until it hands the endpoint over to `session` or loses
    its lease. If `session` is empty, no session may send requests to it.
    """

    endpoint_id: str
    session: str
    epoch: int
    previous: str = ""


class Claim(typing.NamedTuple):
    """Permission to run one non-idempotent request, by customer and key.

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
        Recorded answer as JSON.
    created_ms : int
        Wall-clock time of the claim, used to expire it.
    """

    claim_id: str
    digest: str
    attempt: str
    outcome: str
    value: bytes
    created_ms: int


CRASH_RETENTION_MS = 600 * 1000  # after the last report


class CrashRecord(typing.NamedTuple):
    """Endpoints that ended while they had requests of the same content.

    Parameters
    ----------
    content : str
        Digest of the request, the same for each repeat.
    endpoints : tuple of str
        Processes of endpoints, as ``ENDPOINT_ID@INCARNATION``.
    last_ms : int
        Wall-clock time of the last report, or by which the outcome of a trial
        is reported.
    """

    content: str
    endpoints: tuple[str, ...]
    last_ms: int


class ZoneEvacuation(typing.NamedTuple):
    """A zone to whose endpoints nothing is sent, as an operator asked.

    Parameters
    ----------
    zone : str
    since_ms : int
        Wall-clock time at which the evacuation was proposed.
    """

    zone: str
    since_ms: int


class StoredDocument(typing.NamedTuple):
    """A routing document as an operator sent it; version -1 means none."""

    version: int
    data: bytes


NO_DOCUMENT = StoredDocument(-1, b"")


def is_newer(candidate: Endpoint, stored: Endpoint) -> bool:
    """Return whether an announcement is later than the stored one."""
    candidate_order = (candidate.incarnation, candidate.sequence)
    return candidate_order > (stored.incarnation, stored.sequence)


def is_changed(candidate: Endpoint, stored: Endpoint) -> bool:
    """Return whether two announcements differ beyond their sequence.

    The time that an endpoint stays cold differs in each.
    """
    return candidate._replace(sequence=0, cold_left_ms=0.0) != stored._replace(
        sequence=0, cold_left_ms=0.0
    )
