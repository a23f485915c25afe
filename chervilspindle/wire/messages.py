"""Messages between the system's own processes, and their codec."""

import typing
import zlib

import msgspec

from chervilspindle.core import errors
from chervilspindle.core import rows


class ListsDelta(typing.NamedTuple):
    """Rows of the operators' lists that changed.

    Parameters
    ----------
    revision : int
        Revision of the lists after this delta.
    full : bool
        Whether it replaces both lists.
    customers, plans : tuple
    gone_customers, gone_plans : tuple of str
    """

    revision: int
    full: bool
    customers: tuple[rows.Customer, ...]
    plans: tuple[rows.Plan, ...]
    gone_customers: tuple[str, ...]
    gone_plans: tuple[str, ...]


class Delta(typing.NamedTuple):
    """Rows that changed since the version that an entry knows.

    Parameters
    ----------
    version : int
        Version of the tables after this delta.
    full : bool
        Whether it replaces all that the entry holds.
    lists : ListsDelta or None
    vms, endpoints, ownerships : tuple
    gone_vms, gone_endpoints : tuple of str
    document : StoredDocument or None
        None if it did not change.
    """

    version: int
    full: bool
    lists: ListsDelta | None
    vms: tuple[rows.Vm, ...]
    endpoints: tuple[rows.Endpoint, ...]
    ownerships: tuple[rows.Ownership, ...]
    gone_vms: tuple[str, ...]
    gone_endpoints: tuple[str, ...]
    document: rows.StoredDocument | None = None


class Heartbeat(typing.NamedTuple):
    """Renews a session and reports endpoints that changed.

    `known_version` and `known_revision` are those in force on the VM;
    `handovers` name endpoints and epochs that it has taken over.
    """

    vm: rows.Vm
    known_version: int
    known_revision: int
    reports: tuple[rows.Endpoint, ...]
    handovers: tuple[tuple[str, int], ...] = ()


class HeartbeatReply(typing.NamedTuple):
    """Grants a lease from the time at which the heartbeat was sent.

    `delta` is an encoded `Delta`, so that it is encoded once for all
    sessions that know the same version.
    """

    lease_ms: int
    delta: bytes


class Leave(typing.NamedTuple):
    """Ends a session that holds nothing any more."""

    session: str


class Done(typing.NamedTuple):
    """Acknowledges a call that has no other result."""


class NotLeader(typing.NamedTuple):
    """Names the VM of the control leader, if one is known."""

    leader_vm: str


class ApplyListsCall(typing.NamedTuple):
    """Asks the leader to replace the two lists."""

    change_id: str
    digest: str
    if_revision: int
    customers: tuple[rows.Customer, ...]
    plans: tuple[rows.Plan, ...]


class ApplyListsReply(typing.NamedTuple):
    """Tells whether a change was accepted, and the revision."""

    accepted: bool
    revision: int
    detail: str


class ClaimCall(typing.NamedTuple):
    """Asks for the right to run a non-idempotent request."""

    claim: rows.Claim


class ClaimReply(typing.NamedTuple):
    """The new claim, or the earlier one under the same key."""

    granted: bool
    claim: rows.Claim


class ResolveCall(typing.NamedTuple):
    """Records the outcome of an attempt (``done``, ``failed``, ``free``)."""

    claim_id: str
    attempt: str
    outcome: str
    value: bytes


class StatusCall(typing.NamedTuple):
    """Asks the leader how the system stands."""


class StatusReply(typing.NamedTuple):
    """JSON of the status."""

    body: bytes


class Part(typing.NamedTuple):
    """One shard of a sub-query, at one endpoint under one epoch.

    `send` numbers the sends of an attempt: replies and cancellations name
    it, so that a second send for the same shard is told apart. `insist`
    asks the owner to try an endpoint that it has paused, since no other
    replica is left.
    """

    send: int
    endpoint_id: str
    epoch: int
    low: int
    high: int
    ignore_pause: bool = False


class SubQuery(typing.NamedTuple):
    """All parts of one query for the endpoints of one owner.

    `deadline_ms` is the time left; clocks of VMs are never compared.
    `query` is JSON.
    """

    request_id: str
    attempt: int
    customer: str
    weight: float
    rank: int
    deadline_ms: float
    snapshot: int
    query: bytes
    parts: tuple[Part, ...]


class PartReply(typing.NamedTuple):
    """Result of one part.

    Parameters
    ----------
    send : int
    endpoint_id : str
    status : str
        ``ok`` or the value of an `ErrorKind`.
    dispatched : bool
        False proves that the endpoint never got the part.
    retry_after_ms : int
    wait_ms, service_ms : float
        Time in the owner's queue, and at the endpoint.
    backlog_ms : float
        Expected wait of the endpoint's queue when the reply was built.
    value : bytes
        JSON.
    """

    send: int
    endpoint_id: str
    status: str
    dispatched: bool
    retry_after_ms: int
    wait_ms: float
    service_ms: float
    backlog_ms: float
    value: bytes


class SubReply(typing.NamedTuple):
    """Results of parts that ended in the same turn of the loop."""

    request_id: str
    attempt: int
    parts: tuple[PartReply, ...]


class CancelParts(typing.NamedTuple):
    """Ends the named sends of a sub-query."""

    request_id: str
    attempt: int
    sends: tuple[int, ...]


class RunCommand(typing.NamedTuple):
    """Asks an owner to dispatch a claimed request exactly once."""

    request_id: str
    customer: str
    weight: float
    rank: int
    deadline_ms: float
    endpoint_id: str
    epoch: int
    key: str
    command: bytes


class CommandReply(typing.NamedTuple):
    """Outcome of a command; `dispatched` False proves that it never ran."""

    status: str
    dispatched: bool
    retry_after_ms: int
    value: bytes


class HandOverCall(typing.NamedTuple):
    """Asks the owner before for an endpoint that was granted anew.

    Parameters
    ----------
    endpoint_id : str
    epoch : int
        Of the new grant; the owner before sends no more work under any
        earlier one.
    previous : str
        The session that is asked; another process at its address answers
        no.
    """

    endpoint_id: str
    epoch: int
    previous: str


class HandOverReply(typing.NamedTuple):
    """Says whether an endpoint was handed over, and how much runs there."""

    granted: bool
    running: int


class SlotsLeft(typing.NamedTuple):
    """Tells the new owner how much work of the owner before still runs."""

    endpoint_id: str
    epoch: int
    running: int


class Load(typing.NamedTuple):
    """What an endpoint said of its load in one announcement."""

    endpoint_id: str
    incarnation: int
    sequence: int
    state: str
    in_use: int


class LoadReport(typing.NamedTuple):
    """Announcements that an entry passes on to the endpoints' owner."""

    loads: tuple[Load, ...]


class ExplainCall(typing.NamedTuple):
    """Asks the entry that gathered a request what it decided."""

    request_id: str


class ExplainReply(typing.NamedTuple):
    """JSON of the decisions, empty if the request is unknown."""

    body: bytes


class ProblemReply(typing.NamedTuple):
    """Answers a call that failed."""

    kind: str
    detail: str
    not_run: bool
    retry_after_ms: int


class Replicate(typing.NamedTuple):
    """Carries one message of the replicated log.

    `address` is where its sender listens.
    """

    data: bytes
    address: str


class Relay(typing.NamedTuple):
    """An entry that gathers shards for others.

    Parameters
    ----------
    vm_id, zone : str
    address : str
        Where its links come in.
    """

    vm_id: str
    zone: str
    address: str


class RelayList(typing.NamedTuple):
    """All relays; lists with the same mark are the same."""

    mark: int
    relays: tuple[Relay, ...]


class RelayedRequest(typing.NamedTuple):
    """What a relay has to know of a query besides its shards.

    Parameters
    ----------
    request_id : bytes
    left_ms : float
        Until the deadline of the query.
    report_ms : float
        When the relay reports what it has.
    top_k : int
        Records in the answer of the query.
    """

    request_id: bytes
    left_ms: float
    report_ms: float
    top_k: int


class RelayCall(typing.NamedTuple):
    """Asks a relay to send shards, each to one endpoint.

    Parameters
    ----------
    query_id : int
        Unique on the link.
    head, tail : bytes
        The request around what differs by endpoint.
    services : tuple of str
    tried : tuple of tuple of str
        Endpoints that got a shard before, by shard; may be empty.
    request : RelayedRequest
    """

    query_id: int
    head: bytes
    tail: bytes
    services: tuple[str, ...]
    tried: tuple[tuple[str, ...], ...]
    request: RelayedRequest


class PartSet(typing.NamedTuple):
    """Good answers of some shards.

    Parameters
    ----------
    services : tuple of str
        The shards.
    stamps : bytes
        Their signatures, separated by commas.
    body : bytes
        Their records, or the greatest of them.
    """

    services: tuple[str, ...]
    stamps: bytes
    body: bytes


class Loss(typing.NamedTuple):
    """A shard that got no part.

    Parameters
    ----------
    service, endpoint_id : str
        The endpoint is empty if there was none to send to, or if it is not
        known.
    reason : str
    ran : bool
        False only if the endpoint certainly has not run the request.
    """

    service: str
    endpoint_id: str
    reason: str
    ran: bool


class RelayReport(typing.NamedTuple):
    """What became of shards that a relay has sent.

    Parameters
    ----------
    query_id : int
    parts : tuple of PartSet
    losses : tuple of Loss
    sent : tuple of (service, endpoint_id)
        Shards that are still in progress, in the first report.
    usual_ms : float
        Mean time of the parts, 0 without any.
    """

    query_id: int
    parts: tuple[PartSet, ...]
    losses: tuple[Loss, ...]
    sent: tuple[tuple[str, str], ...]
    mean_part_ms: float


class RelayCancel(typing.NamedTuple):
    """Has a relay give up what is in progress."""

    query_id: int


class WatchCall(typing.NamedTuple):
    """Asks a control member for rows that changed, as soon as some have.

    Parameters
    ----------
    vm_id : str
    known_version : int
    requests : int
        The most that the entry had for one service within a window of the
        retry budget.
    zone, relay_address : str
        Where the entry gathers shards for others; empty while it is not
        ready to.
    known_relays : int
        Mark of the relays that the entry knows.
    """

    vm_id: str
    known_version: int
    requests: int
    zone: str = ""
    relay_address: str = ""
    known_relays: int = 0


class WatchReply(typing.NamedTuple):
    """What changed, and how far the member can be trusted.

    Parameters
    ----------
    age_ms : float
        How long ago the member last heard the leader.
    watchers : int
        Entries that watch any member, 0 if that is not known.
    requests : int
        Sum of what all entries reported as their requests.
    addresses : tuple of str
        Peer addresses of all members.
    delta : bytes
        Encoded `Delta`.
    relays : RelayList or None
        None if the entry knows them, or the member does not.
    """

    age_ms: float
    watchers: int
    requests: int
    addresses: tuple[str, ...]
    delta: bytes
    relays: RelayList | None = None


class AnnounceCall(typing.NamedTuple):
    """Asks the leader to record what an endpoint said of itself."""

    endpoint: rows.Endpoint


class MemberReport(typing.NamedTuple):
    """Tells the leader what a member has heard since its last report.

    Parameters
    ----------
    member_id : str
    watchers : int
        Entries that watch this member.
    requests : int
        Sum of their requests.
    heard : tuple of str
        Endpoints that announced themselves.
    relays : tuple of Relay
        Among the entries that watch this member.
    known_relays : int
        Mark of the relays of all members that this one knows.
    """

    member_id: str
    watchers: int
    requests: int
    heard: tuple[str, ...]
    relays: tuple[Relay, ...] = ()
    known_relays: int = 0


class MemberReportReply(typing.NamedTuple):
    """Sums over all members, 0 if the leader does not know them yet.

    `relays` is None as well if the member knows them.
    """

    watchers: int
    requests: int
    relays: RelayList | None = None


class DocumentCall(typing.NamedTuple):
    """Asks the leader to put a routing document in force."""

    document: rows.StoredDocument


class DocumentReply(typing.NamedTuple):
    """The version held after that."""

    held_version: int


class ReadDocumentCall(typing.NamedTuple):
    """Asks the leader for the newest routing document."""


class ReadDocumentReply(typing.NamedTuple):
    """The newest routing document; version -1 is none."""

    document: rows.StoredDocument


class Frame(typing.NamedTuple):
    """One message on a link; `call_id` 0 expects no reply."""

    kind: str
    call_id: int
    is_reply: bool
    body: msgspec.Raw


MESSAGE_BY_NAME = {
    cls.__name__: cls
    for cls in (
        Heartbeat,
        HeartbeatReply,
        Leave,
        Done,
        NotLeader,
        ApplyListsCall,
        ApplyListsReply,
        ClaimCall,
        ClaimReply,
        ResolveCall,
        StatusCall,
        StatusReply,
        SubQuery,
        SubReply,
        CancelParts,
        RunCommand,
        CommandReply,
        HandOverCall,
        HandOverReply,
        SlotsLeft,
        LoadReport,
        ExplainCall,
        ExplainReply,
        ProblemReply,
        Replicate,
        RelayCall,
        RelayReport,
        RelayCancel,
        WatchCall,
        WatchReply,
        AnnounceCall,
        MemberReport,
        MemberReportReply,
        DocumentCall,
        DocumentReply,
        ReadDocumentCall,
        ReadDocumentReply,
    )
}

EMPTY_VALUE = b"null"

# Documents and tables of endpoints shrink to a fifth and less, and go to
# every entry; small deltas are not worth the time.
COMPRESSED_FROM_BYTES = 1024
COMPRESSION_LEVEL = 1  # shared by all entries, but made while they wait
PLAIN = b"p"
COMPRESSED = b"z"

_ENCODER = msgspec.msgpack.Encoder()
_DELTA = msgspec.msgpack.Decoder(Delta)
_FRAME = msgspec.msgpack.Decoder(Frame)
_DECODER_BY_NAME = {
    name: msgspec.msgpack.Decoder(cls) for name, cls in MESSAGE_BY_NAME.items()
}


def encode_delta(delta: Delta) -> bytes:
    """Encode a delta, compressed if it is large."""
    data = _ENCODER.encode(delta)
    if len(data) < COMPRESSED_FROM_BYTES:
        return PLAIN + data
    return COMPRESSED + zlib.compress(data, COMPRESSION_LEVEL)


def decode_delta(data: bytes) -> Delta:
    """Decode a delta.

    Raises
    ------
    msgspec.DecodeError, zlib.error
    """
    if data[:1] == COMPRESSED:
        return _DELTA.decode(zlib.decompress(data[1:]))
    return _DELTA.decode(data[1:])


def encode_frame(message, call_id: int, is_reply: bool) -> bytes:
    """Encode one message."""
    body = msgspec.Raw(_ENCODER.encode(message))
    name = type(message).__name__
    return _ENCODER.encode(Frame(name, call_id, is_reply, body))


def decode_frame(data: bytes):
    """Decode one message.

    Returns
    -------
    message, call_id, is_reply : typing.NamedTuple, int, bool

    Raises
    ------
    msgspec.DecodeError, KeyError
    """
    frame = _FRAME.decode(data)
    message = _DECODER_BY_NAME[frame.kind].decode(frame.body)
    return message, frame.call_id, frame.is_reply


def build_problem_reply(problem: errors.Problem) -> ProblemReply:
    """Turn a problem into its message."""
    return ProblemReply(
        problem.kind.value,
        problem.detail,
        problem.not_run,
        problem.retry_after_ms,
    )


def read_problem(reply: ProblemReply) -> errors.Problem:
    """Turn a message back into the problem."""
    return errors.Problem(
        errors.ErrorKind(reply.kind),
        reply.detail,
        reply.not_run,
        reply.retry_after_ms,
    )
