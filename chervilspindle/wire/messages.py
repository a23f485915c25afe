"""Messages between processes of the system, and their codec."""

import enum
import typing
import zlib

import msgspec

from chervilspindle.core import errors
from chervilspindle.core import rows
from chervilspindle.wire import layouts
from chervilspindle.wire import versions


class ListsDelta(typing.NamedTuple):
    """Changed rows of the operators' lists of customers and plans.

    Parameters
    ----------
    revision : int
        Revision of the lists after this delta.
    full : bool
        Whether it replaces both lists.
    customers, plans : tuple
        Rows that were added or changed.
    gone_customers, gone_plans : tuple of str
        Names of rows that were removed.
    """

    revision: int
    full: bool
    customers: tuple[rows.Customer, ...]
    plans: tuple[rows.Plan, ...]
    gone_customers: tuple[str, ...]
    gone_plans: tuple[str, ...]


class Delta(typing.NamedTuple):
    """Rows that changed since the version that an entry has.

    Parameters
    ----------
    version : int
        Version of the tables after this delta.
    full : bool
        Whether it replaces all tables of the entry.
    lists : ListsDelta or None
    vms, endpoints, ownerships : tuple
        Rows that were added or changed.
    gone_vms, gone_endpoints : tuple of str
        Identifiers of rows that were removed.
    document : StoredDocument or None
        None if it did not change.
    crashes : tuple of CrashRecord
        Records that were added or changed.
    gone_crashes : tuple of str
        Contents whose records were removed.
    evacuations : tuple of ZoneEvacuation
        Zones whose evacuation began.
    gone_evacuations : tuple of str
        Zones whose evacuation ended.
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
    crashes: tuple[rows.CrashRecord, ...] = ()
    gone_crashes: tuple[str, ...] = ()
    evacuations: tuple[rows.ZoneEvacuation, ...] = ()
    gone_evacuations: tuple[str, ...] = ()


class Heartbeat(typing.NamedTuple):
    """Renews a session and reports endpoints that changed.

    `known_version` and `known_revision` are the versions of the tables and
    of the lists that are in effect on the VM. `handovers` holds
    (endpoint_id, epoch) of the endpoints that it has taken over.
    """

    vm: rows.Vm
    known_version: int
    known_revision: int
    reports: tuple[rows.Endpoint, ...]
    handovers: tuple[tuple[str, int], ...] = ()


class HeartbeatReply(typing.NamedTuple):
    """Grants a lease that starts when the heartbeat was sent.

    `delta` is an already encoded `Delta`: it is encoded once for all
    sessions that have the same version.
    """

    lease_ms: int
    delta: bytes


class Leave(typing.NamedTuple):
    """Ends a session that holds neither endpoints nor work any longer."""

    session: str


class Done(typing.NamedTuple):
    """Acknowledges a call that has no other result."""


class NotLeader(typing.NamedTuple):
    """Rejects a call and names the VM of the control leader, if known."""

    leader_vm: str


class ApplyListsCall(typing.NamedTuple):
    """Asks the leader to replace the lists of customers and plans."""

    change_id: str
    digest: str
    if_revision: int
    customers: tuple[rows.Customer, ...]
    plans: tuple[rows.Plan, ...]


class ApplyListsReply(typing.NamedTuple):
    """Reports whether a change was accepted, and the revision."""

    accepted: bool
    revision: int
    detail: str


class ClaimCall(typing.NamedTuple):
    """Asks for the right to run a non-idempotent request."""

    claim: rows.Claim


class ClaimReply(typing.NamedTuple):
    """Returns the new claim, or the existing one with the same key."""

    granted: bool
    claim: rows.Claim


class ResolveCall(typing.NamedTuple):
    """Records an attempt's outcome (``done``, ``failed``, ``free``)."""

    claim_id: str
    attempt: str
    outcome: str
    value: bytes


class StatusCall(typing.NamedTuple):
    """Asks the leader for the status of the system."""


class StatusReply(typing.NamedTuple):
    """Returns the status as JSON."""

    body: bytes


class Part(typing.NamedTuple):
    """One shard of a sub-query, for one endpoint in one ownership epoch.

    `send` numbers the sends of an attempt: replies and cancellations name
    it, which distinguishes repeated sends for the same shard.
    `ignore_pause` asks the owner to try an endpoint that it has paused,
    since no other replica is left.
    """

    send: int
    endpoint_id: str
    epoch: int
    low: int
    high: int
    ignore_pause: bool = False


class SubQuery(typing.NamedTuple):
    """All parts of one query for the endpoints of one owner.

    `deadline_ms` is the remaining time: VM clocks are never compared.
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
        False guarantees that the endpoint never received the part.
    retry_after_ms : int
    wait_ms, service_ms : float
        Time in the owner's queue, and time at the endpoint.
    backlog_ms : float
        Expected wait in the endpoint's queue when the reply was built.
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
    """Results of parts that ended in the same event loop iteration."""

    request_id: str
    attempt: int
    parts: tuple[PartReply, ...]


class CancelParts(typing.NamedTuple):
    """Cancels the named sends of a sub-query."""

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
    """Outcome of a command; if not `dispatched`, it certainly never ran."""

    status: str
    dispatched: bool
    retry_after_ms: int
    value: bytes


class HandOverCall(typing.NamedTuple):
    """Asks the previous owner to release a newly granted endpoint.

    Parameters
    ----------
    endpoint_id : str
    epoch : int
        Epoch of the new grant; the previous owner sends no more work under
        an earlier one.
    previous : str
        Session of the previous owner; another process at its address
        declines.
    """

    endpoint_id: str
    epoch: int
    previous: str


class HandOverReply(typing.NamedTuple):
    """Reports whether an endpoint was handed over, and its running work."""

    granted: bool
    running: int


class SlotsLeft(typing.NamedTuple):
    """Tells the new owner how much work of the previous one still runs."""

    endpoint_id: str
    epoch: int
    running: int


class Load(typing.NamedTuple):
    """Load that an endpoint reported in one announcement."""

    endpoint_id: str
    incarnation: int
    sequence: int
    state: str
    in_use: int


class LoadReport(typing.NamedTuple):
    """Announcements that an entry forwards to the endpoints' owner."""

    loads: tuple[Load, ...]


class ExplainCall(typing.NamedTuple):
    """Asks the entry that coordinated a request for its decisions."""

    request_id: str


class ExplainReply(typing.NamedTuple):
    """Returns the decisions as JSON, empty if the request is unknown."""

    body: bytes


class ProblemReply(typing.NamedTuple):
    """Reports that a call failed."""

    kind: str
    detail: str
    not_run: bool
    retry_after_ms: int


class Replicate(typing.NamedTuple):
    """Carries one message of the replicated log.

    `address` is the address on which its sender listens.
    """

    data: bytes
    address: str


class Relay(typing.NamedTuple):
    """An entry that queries shards on behalf of other entries.

    Parameters
    ----------
    vm_id, zone : str
    address : str
        Address on which it accepts peer links.
    """

    vm_id: str
    zone: str
    address: str


class RelayList(typing.NamedTuple):
    """All relays; `mark` is a fingerprint of the list."""

    mark: int
    relays: tuple[Relay, ...]


class RelayedRequest(typing.NamedTuple):
    """Parameters of a relayed query, apart from its shards.

    Parameters
    ----------
    request_id : bytes
    left_ms : float
        Time until the deadline of the query.
    report_ms : float
        Time after which the relay reports the results it has.
    top_k : int
        Number of records in the answer of the query.
    objective_ms : float
        Latency objective of the query; 0 if it has none.
    is_hedge : bool
        Whether another endpoint has each shard, so that endpoints with a
        limit get none.
    """

    request_id: bytes
    left_ms: float
    report_ms: float
    top_k: int
    objective_ms: float = 0.0
    is_hedge: bool = False


class RelayCall(typing.NamedTuple):
    """Asks a relay to send shards, each to one endpoint.

    Parameters
    ----------
    query_id : int
        Unique on the link.
    head, tail : bytes
        Bytes of the request before and after the part that differs by
        endpoint.
    services : tuple of str
    tried : tuple of tuple of str
        Endpoints to which each shard was already sent; may be empty.
    request : RelayedRequest
    """

    query_id: int
    head: bytes
    tail: bytes
    services: tuple[str, ...]
    tried: tuple[tuple[str, ...], ...]
    request: RelayedRequest


class PartSet(typing.NamedTuple):
    """Combined successful answers of some shards.

    Parameters
    ----------
    services : tuple of str
        The shards.
    stamps : bytes
        Their signatures, separated by commas.
    body : bytes
        Their records, or only the top ones.
    """

    services: tuple[str, ...]
    stamps: bytes
    body: bytes


class Loss(typing.NamedTuple):
    """A shard without a usable answer.

    Parameters
    ----------
    service, endpoint_id : str
        The endpoint is empty if there was none to send to, or if it is
        unknown.
    reason : str
    ran : bool
        False only if the endpoint certainly did not run the request.
    """

    service: str
    endpoint_id: str
    reason: str
    ran: bool


class RelayReport(typing.NamedTuple):
    """Outcome of shards that a relay has sent.

    Parameters
    ----------
    query_id : int
    parts : tuple of PartSet
    losses : tuple of Loss
    sent : tuple of (service, endpoint_id)
        Shards that are still in progress; set in the first report only.
    mean_part_ms : float
        Mean time of the parts, 0 if there are none.
    load : float
        Mean of the requests per slot that endpoints of the shards have
        stated to the relay since the call; negative if not known.
    """

    query_id: int
    parts: tuple[PartSet, ...]
    losses: tuple[Loss, ...]
    sent: tuple[tuple[str, str], ...]
    mean_part_ms: float
    load: float = -1.0


class RelayCancel(typing.NamedTuple):
    """Tells a relay to cancel the shards of a query in progress.

    Or the request of a `ForwardCall`.
    """

    query_id: int


class ForwardCall(typing.NamedTuple):
    """Asks another entry to send a request to one endpoint.

    Parameters
    ----------
    query_id : int
        Unique on the link, together with those of `RelayCall`.
    endpoint_id : str
    head, tail : bytes
        See `RelayCall`.
    request_id : bytes
    left_ms : float
        Time until the deadline of the request.
    max_wait_s : float
        How long the send may wait for a permit.
    idempotent : bool
    """

    query_id: int
    endpoint_id: str
    head: bytes
    tail: bytes
    request_id: bytes
    left_ms: float
    max_wait_s: float
    idempotent: bool


class ForwardReport(typing.NamedTuple):
    """Answer of the endpoint of a `ForwardCall`.

    Parameters
    ----------
    query_id : int
    ending : str
        Value of an `endpoint_http.Ending`.
    status : int
    headers : tuple of (name, value)
    body : bytes
    """

    query_id: int
    ending: str
    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes


class RelayRefusal(typing.NamedTuple):
    """Tells that a `RelayCall` or `ForwardCall` is not sent anywhere.

    The entry that was asked is cut off from endpoints, or stops too soon.
    """

    query_id: int


class ProbeCall(typing.NamedTuple):
    """Asks another entry whether an endpoint has ended.

    Sent by an entry that does not reach endpoints itself.
    """

    endpoint_id: str


class EndpointState(enum.Enum):
    """What a probe of an endpoint shows."""

    ALIVE = "alive"
    ENDED = "ended"
    UNKNOWN = "unknown"  # the VM that probes may be cut off


class ProbeReply(typing.NamedTuple):
    """Answer to `ProbeCall`."""

    state: EndpointState


class PermitCall(typing.NamedTuple):
    """Asks the issuer of an endpoint for a permit to send one request.

    Parameters
    ----------
    endpoint_id, zone : str
    limit_per_s : float
        As the endpoint named it to the caller.
    age_s : float
        Time since then.
    max_wait_s : float
        How long the caller can wait for the permit to hold.
    is_cold : bool
        Whether the endpoint is cold, so that the limit holds in each second.
    """

    endpoint_id: str
    zone: str
    limit_per_s: float
    age_s: float
    max_wait_s: float
    is_cold: bool = False


class PermitReply(typing.NamedTuple):
    """Answer to `PermitCall`.

    Parameters
    ----------
    is_issuer : bool
        Whether the entry that answers is the issuer of the endpoint.
    granted : bool
    wait_s : float
        See `rate_permits.Reservation`.
    """

    is_issuer: bool
    granted: bool
    wait_s: float


class QuotaCall(typing.NamedTuple):
    """Asks an entry to admit one request of a client account.

    Parameters
    ----------
    account : str
    as_substitute : bool
        Whether the issuer of the account did not reply, or replied that it
        is not the issuer.
    """

    account: str
    as_substitute: bool


class QuotaReply(typing.NamedTuple):
    """Answer to `QuotaCall`.

    Parameters
    ----------
    is_issuer : bool
        Whether the entry that answers may admit requests of the account.
    is_full : bool
        Whether it has decided by the whole limit of the account, not as a
        substitute.
    granted : bool
    wait_s : float
        If refused, the time until there is room again.
    limit : float
        Requests that it admits in a window.
    count : int
        Requests that it counts in the window, with this one if granted.
    age_s : float
        Age of the oldest of them.
    successor : Relay or None
        If it is not the issuer, the entry to which it has handed over the
        account.
    """

    is_issuer: bool
    is_full: bool = False
    granted: bool = False
    wait_s: float = 0.0
    limit: float = 0.0
    count: int = 0
    age_s: float = 0.0
    successor: Relay | None = None


class QuotaHandover(typing.NamedTuple):
    """Tells an entry that it is the issuer of a client account from now on.

    Parameters
    ----------
    account : str
    vm_id : str
        The entry that was the issuer, and sends this.
    ages_s : tuple of float
        Ages of the admissions that still count, the oldest first.
    complete_age_s : float
        Age of the time since which no other entry admitted the full limit;
        negative if that time is yet to come.
    """

    account: str
    vm_id: str
    ages_s: tuple[float, ...]
    complete_age_s: float


class WatchCall(typing.NamedTuple):
    """Long poll: asks a control member for rows as soon as any change.

    Parameters
    ----------
    vm_id : str
    known_version : int
    requests : int
        Peak number of requests that the entry had for one service within a
        window of the retry budget.
    zone, relay_address : str
        Where the entry serves as a relay; empty while it is not ready to.
    known_relays : int
        Fingerprint of the list of relays that the entry has.
    """

    vm_id: str
    known_version: int
    requests: int
    zone: str = ""
    relay_address: str = ""
    known_relays: int = 0


class WatchReply(typing.NamedTuple):
    """Changed rows, and how current the member's state is.

    Parameters
    ----------
    age_ms : float
        Time since the member last heard from the leader.
    watchers : int
        Number of entries that watch any member, 0 if unknown.
    requests : int
        Sum of the `requests` that all entries reported.
    addresses : tuple of str
        Peer addresses of all members.
    delta : bytes
        Encoded `Delta`.
    relays : RelayList or None
        None if the entry has the current list, or the member has none.
    nearby : tuple of str
        Peer addresses of members in the entry's zone.
    """

    age_ms: float
    watchers: int
    requests: int
    addresses: tuple[str, ...]
    delta: bytes
    relays: RelayList | None = None
    nearby: tuple[str, ...] = ()


class AnnounceCall(typing.NamedTuple):
    """Asks the leader to record an endpoint's announcement."""

    endpoint: rows.Endpoint


class CrashReport(typing.NamedTuple):
    """Tells control which endpoints ended under requests of one content.

    Sent by an entry to any member.

    Parameters
    ----------
    content : str
    endpoints : tuple of str
        See `rows.CrashRecord`; empty if an endpoint has answered such a
        request, which ends the suspicion.
    """

    content: str
    endpoints: tuple[str, ...]


class CrashCall(typing.NamedTuple):
    """Asks the leader to record a `CrashReport`."""

    report: CrashReport


class TrialRequest(typing.NamedTuple):
    """Asks control for the trial of a content that crashed endpoints.

    Sent by an entry to any member.

    Parameters
    ----------
    content : str
    lasts_ms : float
        Time within which its outcome is reported; 0 if a trial has ended
        without one.
    was_answered : bool
        Whether an endpoint has answered the content lately.
    """

    content: str
    lasts_ms: float
    was_answered: bool


class TrialCall(typing.NamedTuple):
    """Asks the leader about a `TrialRequest`."""

    request: TrialRequest


class TrialReply(typing.NamedTuple):
    """Answers a `TrialRequest`; `wait_ms` is until the next trial."""

    granted: bool
    wait_ms: float


class EvacuationCall(typing.NamedTuple):
    """Asks the leader to begin or to end the evacuation of a zone."""

    zone: str
    evacuated: bool


class EvacuationReply(typing.NamedTuple):
    """Confirms that the state of a zone is committed.

    `known` is False if the zone does not exist, so that nothing was changed.
    """

    known: bool


class ListEvacuationsCall(typing.NamedTuple):
    """Asks the leader for the evacuated zones."""


class ListEvacuationsReply(typing.NamedTuple):
    """The evacuated zones, and the zones of the endpoints in use."""

    evacuations: tuple[rows.ZoneEvacuation, ...]
    zones: tuple[str, ...]


class MemberPlace(typing.NamedTuple):
    """Where a control member serves."""

    zone: str
    peer_address: str
    control_address: str


class MemberReport(typing.NamedTuple):
    """Tells the leader what a member has received since its last report.

    Parameters
    ----------
    member_id : str
    watchers : int
        Number of entries that watch this member.
    requests : int
        Sum of their `requests`.
    heard : tuple of str
        Endpoints that announced themselves.
    relays : tuple of Relay
        Relays among the entries that watch this member.
    known_relays : int
        Fingerprint of the list of all members' relays that this one has.
    place : MemberPlace or None
    known_places : int
        Fingerprint of the places of all members that this one has.
    """

    member_id: str
    watchers: int
    requests: int
    heard: tuple[str, ...]
    relays: tuple[Relay, ...] = ()
    known_relays: int = 0
    place: MemberPlace | None = None
    known_places: int = 0


class MemberReportReply(typing.NamedTuple):
    """Sums over all members, 0 if the leader does not know them yet.

    `relays` and `places` are also None if the member has the current ones.
    `versions` has (peer address, version that is read there) of the members
    that the leader knows.
    """

    watchers: int
    requests: int
    relays: RelayList | None = None
    places: tuple[MemberPlace, ...] | None = None
    versions: tuple[tuple[str, int], ...] = ()


class DocumentCall(typing.NamedTuple):
    """Asks the leader to store and activate a routing document."""

    document: rows.StoredDocument


class DocumentReply(typing.NamedTuple):
    """Returns the version that is stored after the call."""

    held_version: int


class ReadDocumentCall(typing.NamedTuple):
    """Asks the leader for the newest routing document.

    Parameters
    ----------
    held_version : int
        Version that the member has; its content is not sent again.
    """

    held_version: int = -1


class ReadDocumentReply(typing.NamedTuple):
    """Returns the newest routing document; version -1 means none.

    Without content if the member has that version.
    """

    document: rows.StoredDocument


class Frame(typing.NamedTuple):
    """One message on a link; `call_id` 0 means that no reply is expected."""

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
        ForwardCall,
        ForwardReport,
        RelayRefusal,
        ProbeCall,
        ProbeReply,
        PermitCall,
        PermitReply,
        QuotaCall,
        QuotaReply,
        QuotaHandover,
        WatchCall,
        WatchReply,
        AnnounceCall,
        CrashReport,
        CrashCall,
        TrialRequest,
        TrialCall,
        TrialReply,
        EvacuationCall,
        EvacuationReply,
        ListEvacuationsCall,
        ListEvacuationsReply,
        MemberReport,
        MemberReportReply,
        DocumentCall,
        DocumentReply,
        ReadDocumentCall,
        ReadDocumentReply,
    )
}

# Number of fields by the version that had so many first.
FIELD_COUNTS = {
    RelayedRequest: {1: 4, 2: 5, 6: 6},
    RelayReport: {1: 5, 6: 6},
    WatchReply: {1: 6, 2: 7},
    MemberReport: {1: 6, 2: 8},
    MemberReportReply: {1: 3, 2: 4, 5: 5},
    ReadDocumentCall: {1: 0, 2: 1},
    PermitCall: {1: 5, 6: 6},
    Delta: {1: 9, 3: 11, 6: 13},
    rows.Endpoint: {1: 10, 6: 11},
}

# Version that had a kind first; all other kinds are in each version.
FIRST_VERSION_BY_KIND = {
    PermitCall: 3,
    PermitReply: 3,
    CrashReport: 3,
    CrashCall: 3,
    ForwardCall: 4,
    ForwardReport: 4,
    RelayRefusal: 4,
    ProbeCall: 4,
    ProbeReply: 4,
    EvacuationCall: 6,
    EvacuationReply: 6,
    ListEvacuationsCall: 6,
    ListEvacuationsReply: 6,
    QuotaCall: 6,
    QuotaReply: 6,
    QuotaHandover: 6,
    TrialRequest: 7,
    TrialCall: 7,
    TrialReply: 7,
}

# Replies that nobody waits for, newest version first. A build that knows the
# kind rejects it with a reply, one that does not closes the link.
TRIAL_BY_VERSION = (
    (4, ProbeReply(EndpointState.UNKNOWN)),
    (3, PermitReply(False, False, 0.0)),
    (2, WatchReply(0.0, 0, 0, (), b"")),
)

EMPTY_VALUE = b"null"

# Documents and tables of endpoints go to every entry and compress to a fifth
# or less of their size; for smaller deltas the saving is not worth the time.
COMPRESSION_MIN_BYTES = 1024
COMPRESSION_LEVEL = 1  # entries wait while the shared delta is compressed
PLAIN = b"p"
COMPRESSED = b"z"
ARRAY_SIZE_MASK = 0x0F  # of the first byte of a MessagePack array

_ENCODER = msgspec.msgpack.Encoder()
_DELTA = msgspec.msgpack.Decoder(Delta)
_FRAME = msgspec.msgpack.Decoder(Frame)
_DECODER_BY_NAME = {
    name: msgspec.msgpack.Decoder(cls) for name, cls in MESSAGE_BY_NAME.items()
}
_CHANGED_KINDS = frozenset(
    cls
    for cls in MESSAGE_BY_NAME.values()
    if layouts.contains_any(cls, FIELD_COUNTS)
)


def encode_delta(delta: Delta, version: int = versions.CURRENT) -> bytes:
    """Encode a delta for a version, compressed if it is large."""
    data = _ENCODER.encode(layouts.fit(delta, FIELD_COUNTS, version))
    if len(data) < COMPRESSION_MIN_BYTES:
        return PLAIN + data
    return COMPRESSED + zlib.compress(data, COMPRESSION_LEVEL)


def decode_delta(data: bytes) -> Delta:
    """Decode a delta.

    Raises
    ------
    msgspec.MsgspecError, zlib.error
    """
    if data[:1] == COMPRESSED:
        return layouts.decode(_DELTA, zlib.decompress(data[1:]))
    return layouts.decode(_DELTA, data[1:])


def encode_frame(
    message,
    call_id: int,
    is_reply: bool,
    version: int = versions.CURRENT,
) -> bytes:
    """Encode one message for a peer that reads a version."""
    kind = type(message)
    if version < versions.CURRENT and kind in _CHANGED_KINDS:
        message = layouts.fit(message, FIELD_COUNTS, version)
    body = msgspec.Raw(_ENCODER.encode(message))
    return _ENCODER.encode(Frame(kind.__name__, call_id, is_reply, body))


def is_known(kind, version: int) -> bool:
    """Tell whether builds of a version know a kind of message."""
    return FIRST_VERSION_BY_KIND.get(kind, versions.OLDEST) <= version


def split_frame(data: bytes) -> Frame:
    """Decode a frame without its message.

    Raises
    ------
    msgspec.MsgspecError
    """
    return layouts.decode(_FRAME, data)


def decode_message(frame: Frame):
    """Decode the message of a frame.

    Raises
    ------
    msgspec.MsgspecError
    KeyError
        If the kind is unknown.
    """
    return layouts.decode(_DECODER_BY_NAME[frame.kind], frame.body)


def decode_frame(data: bytes):
    """Decode one message.

    Returns
    -------
    message, call_id, is_reply : typing.NamedTuple, int, bool

    Raises
    ------
    msgspec.MsgspecError, KeyError, RecursionError
    """
    frame = split_frame(data)
    return decode_message(frame), frame.call_id, frame.is_reply


def infer_version(frame: Frame) -> int:
    """Return the first version whose builds write such a frame."""
    kind = MESSAGE_BY_NAME.get(frame.kind)
    first_by_count = {
        count: version for version, count in FIELD_COUNTS.get(kind, {}).items()
    }
    size_byte = bytes(frame.body)[0] if first_by_count else 0
    return max(
        FIRST_VERSION_BY_KIND.get(kind, versions.OLDEST),
        first_by_count.get(size_byte & ARRAY_SIZE_MASK, versions.OLDEST),
    )


def build_problem_reply(problem: errors.Problem) -> ProblemReply:
    """Build the reply that reports a problem."""
    return ProblemReply(
        problem.kind.value,
        problem.detail,
        problem.not_run,
        problem.retry_after_ms,
    )


def read_problem(reply: ProblemReply) -> errors.Problem:
    """Return the problem that a reply reports.

    A kind that this build does not know becomes INTERNAL.
    """
    try:
        kind = errors.ErrorKind(reply.kind)
    except ValueError:
        kind = errors.ErrorKind.INTERNAL
    return errors.Problem(
        kind,
        reply.detail,
        reply.not_run,
        reply.retry_after_ms,
    )
