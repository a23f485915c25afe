"""The replicated state: a pure function from log entries to tables.

Every member applies the same commands in the same order, so nothing here
reads a clock, a file or a random number; times come with the commands.
"""

import functools
import itertools
import typing

import immutables
import msgspec

from chervilspindle.core import rows

ROWS_PER_PART = 500
CHANGE_IDS_KEPT = 5000
CLAIM_KEPT_MS = 24 * 3600 * 1000
LOST_ENDPOINT_KEPT_MS = 3600 * 1000


class ApplyLists(typing.NamedTuple):
    """Replaces the two lists if the revision is still `if_revision`.

    An `if_revision` of -1 replaces whatever is there.
    """

    change_id: str
    digest: str
    if_revision: int
    customers: tuple[rows.Customer, ...]
    plans: tuple[rows.Plan, ...]


class RegisterVm(typing.NamedTuple):
    """Adds or updates the session of an entry process."""

    vm: rows.Vm


class RemoveVms(typing.NamedTuple):
    """Ends sessions whose lease ran out or that left.

    Many at once, since a lost zone ends hundreds and each command looks
    through all ownership rows.
    """

    sessions: tuple[str, ...]


class ReportEndpoints(typing.NamedTuple):
    """Adds or updates endpoints from their announcements."""

    endpoints: tuple[rows.Endpoint, ...]
    now_ms: int


class Assignment(typing.NamedTuple):
    """Gives an endpoint to a session; a live owner hands it over first.

    It takes effect only if the endpoint's epoch is still `epoch` and no
    handover is under way.
    """

    endpoint_id: str
    session: str
    epoch: int


class Assign(typing.NamedTuple):
    """Changes ownership of endpoints."""

    assignments: tuple[Assignment, ...]


class Handover(typing.NamedTuple):
    """Names the grant under which a session has taken over an endpoint."""

    endpoint_id: str
    epoch: int


class EndHandovers(typing.NamedTuple):
    """Records that new owners have taken over from the sessions before."""

    handovers: tuple[Handover, ...]


class ClaimCommand(typing.NamedTuple):
    """Claims the right to run a non-idempotent request."""

    claim: rows.Claim


class ResolveClaim(typing.NamedTuple):
    """Records the outcome of an attempt, or frees its claim.

    `outcome` is ``done``, ``failed`` or ``free``; the last only if the
    request was never dispatched.
    """

    claim_id: str
    attempt: str
    outcome: str
    value: bytes


class Expire(typing.NamedTuple):
    """Drops claims and lost endpoints that are too old to matter."""

    now_ms: int


class ApplyDocument(typing.NamedTuple):
    """Replaces the routing document if its version is higher."""

    document: rows.StoredDocument


class DocumentResult(typing.NamedTuple):
    """The version that is held after a document was applied."""

    held_version: int


class Batch(typing.NamedTuple):
    """Several commands in one log entry."""

    commands: tuple[tuple[str, msgspec.Raw], ...]


class ChangeResult(typing.NamedTuple):
    """The first answer to a change, given again to each resend."""

    digest: str
    accepted: bool
    revision: int
    detail: str


class ClaimResult(typing.NamedTuple):
    """Answer to a claim: granted, or what is known of the earlier one."""

    granted: bool
    claim: rows.Claim


class Change(typing.NamedTuple):
    """Names a row that a command touched, for the deltas to entries."""

    kind: str  # one of changes.KINDS
    key: str


class ControlState(typing.NamedTuple):
    """All replicated tables."""

    version: int
    lists: rows.Lists
    change_results: immutables.Map
    change_order: tuple[str, ...]
    vm_by_session: immutables.Map
    endpoint_by_id: immutables.Map
    lost_at_by_id: immutables.Map
    ownership_by_id: immutables.Map
    claim_by_id: immutables.Map
    document: rows.StoredDocument = rows.NO_DOCUMENT


class Outcome(typing.NamedTuple):
    """Result of applying one command."""

    state: ControlState
    result: tuple | None = None
    changes: tuple[Change, ...] = ()


class ImageHead(typing.NamedTuple):
    """First part of an image of the tables."""

    version: int
    revision: int


class ImagePart(typing.NamedTuple):
    """Some rows of one table, as a snapshot stores them."""

    table: str
    rows: msgspec.Raw


EMPTY_STATE = ControlState(
    version=0,
    lists=rows.Lists(0, {}, {}),
    change_results=immutables.Map(),
    change_order=(),
    vm_by_session=immutables.Map(),
    endpoint_by_id=immutables.Map(),
    lost_at_by_id=immutables.Map(),
    ownership_by_id=immutables.Map(),
    claim_by_id=immutables.Map(),
)

COMMAND_BY_NAME = {
    cls.__name__: cls
    for cls in (
        ApplyLists,
        RegisterVm,
        RemoveVms,
        ReportEndpoints,
        Assign,
        EndHandovers,
        ClaimCommand,
        ResolveClaim,
        Expire,
        ApplyDocument,
    )
}

_ENCODER = msgspec.msgpack.Encoder()
_BATCH = msgspec.msgpack.Decoder(Batch)
_DECODER_BY_NAME = {
    name: msgspec.msgpack.Decoder(cls) for name, cls in COMMAND_BY_NAME.items()
}


def encode_batch(commands) -> bytes:
    """Encode commands as the data of one log entry."""
    packed = tuple(
        (type(c).__name__, msgspec.Raw(_ENCODER.encode(c))) for c in commands
    )
    return _ENCODER.encode(Batch(packed))


def decode_batch(data: bytes) -> tuple:
    """Decode the commands of one log entry."""
    batch = _BATCH.decode(data)
    return tuple(
        _DECODER_BY_NAME[name].decode(raw) for name, raw in batch.commands
    )


def encode_snapshot_parts(state: ControlState):
    """Yield all tables as parts of a snapshot, a limited number of rows each.

    The tables are immutable, so that the parts may be taken one by one while
    newer tables are already in use.

    Returns
    -------
    iterator of bytes
    """
    head = ImageHead(state.version, state.lists.revision)
    yield _encode_part("head", head)
    for table, found in (
        ("customers", state.lists.customers_by_name.values()),
        ("plans", state.lists.plans_by_name.values()),
        ("changes", _list_change_results(state)),
        ("vms", state.vm_by_session.values()),
        ("endpoints", state.endpoint_by_id.values()),
        ("lost_at", state.lost_at_by_id.items()),
        ("ownerships", state.ownership_by_id.values()),
        ("claims", state.claim_by_id.values()),
        ("documents", (state.document,)),
    ):
        source = iter(found)
        while part := tuple(itertools.islice(source, ROWS_PER_PART)):
            yield _encode_part(table, part)


def join_snapshot_parts(parts) -> bytes:
    """Join the parts of a snapshot to one image."""
    return _ENCODER.encode(tuple(parts))


def split_snapshot_parts(data: bytes) -> tuple[bytes, ...]:
    """Return the parts of an image."""
    return _PARTS.decode(data) if data else ()


def encode_snapshot(state: ControlState) -> bytes:
    """Encode all tables for a snapshot."""
    return join_snapshot_parts(encode_snapshot_parts(state))


def decode_snapshot(data: bytes) -> ControlState:
    """Rebuild the tables from an image; empty bytes give empty tables."""
    return decode_snapshot_parts(split_snapshot_parts(data))


def decode_snapshot_parts(parts) -> ControlState:
    """Rebuild the tables from parts of a snapshot; none give empty tables."""
    if not parts:
        return EMPTY_STATE
    rows_by_table = {name: [] for name in _ROWS_BY_TABLE}
    head = ImageHead(0, 0)
    for encoded in parts:
        part = _PART.decode(encoded)
        if part.table == "head":
            head = _HEAD.decode(part.rows)
        else:
            decoder = _ROWS_BY_TABLE[part.table]
            rows_by_table[part.table].extend(decoder.decode(part.rows))
    return _build_state(head, rows_by_table)


def _build_state(head, found) -> ControlState:
    lists = rows.Lists(
        head.revision,
        {c.name: c for c in found["customers"]},
        {p.name: p for p in found["plans"]},
    )
    return ControlState(
        version=head.version,
        lists=lists,
        change_results=immutables.Map(found["changes"]),
        change_order=tuple(key for key, _ in found["changes"]),
        vm_by_session=immutables.Map((v.session, v) for v in found["vms"]),
        endpoint_by_id=immutables.Map(
            (e.endpoint_id, e) for e in found["endpoints"]
        ),
        lost_at_by_id=immutables.Map(found["lost_at"]),
        ownership_by_id=immutables.Map(
            (o.endpoint_id, o) for o in found["ownerships"]
        ),
        claim_by_id=immutables.Map((c.claim_id, c) for c in found["claims"]),
        document=(found["documents"] or [rows.NO_DOCUMENT])[0],
    )


def _list_change_results(state):
    return ((key, state.change_results[key]) for key in state.change_order)


def _encode_part(table, content) -> bytes:
    encoded = msgspec.Raw(_ENCODER.encode(content))
    return _ENCODER.encode(ImagePart(table, encoded))


_PARTS = msgspec.msgpack.Decoder(tuple[bytes, ...])
_PART = msgspec.msgpack.Decoder(ImagePart)
_HEAD = msgspec.msgpack.Decoder(ImageHead)
_ROWS_BY_TABLE = {
    name: msgspec.msgpack.Decoder(tuple[kind, ...])
    for name, kind in (
        ("customers", rows.Customer),
        ("plans", rows.Plan),
        ("changes", tuple[str, ChangeResult]),
        ("vms", rows.Vm),
        ("endpoints", rows.Endpoint),
        ("lost_at", tuple[str, int]),
        ("ownerships", rows.Ownership),
        ("claims", rows.Claim),
        ("documents", rows.StoredDocument),
    )
}


@functools.singledispatch
def apply_command(command, state: ControlState) -> Outcome:
    """Apply one command; a command that no longer fits changes nothing."""
    raise TypeError(f"not a command: {type(command).__name__}")


@apply_command.register
def _apply_lists(command: ApplyLists, state: ControlState) -> Outcome:
    first = state.change_results.get(command.change_id)
    if first is not None:
        return Outcome(state, _repeat_result(first, command))
    revision = state.lists.revision
    if command.if_revision not in (-1, revision):
        detail = f"revision is {revision}, not {command.if_revision}"
        result = ChangeResult(command.digest, False, revision, detail)
        return Outcome(_remember(state, command.change_id, result), result)
    lists = rows.Lists(
        revision + 1,
        {c.name: c for c in command.customers},
        {p.name: p for p in command.plans},
    )
    result = ChangeResult(command.digest, True, lists.revision, "")
    touched = (
        Change("lists", ""),
        *_list_changes(
            "customer", state.lists.customers_by_name, lists.customers_by_name
        ),
        *_list_changes("plan", state.lists.plans_by_name, lists.plans_by_name),
    )
    state = _remember(state, command.change_id, result)
    return Outcome(state._replace(lists=lists), result, touched)


def _list_changes(kind, old_by_name, new_by_name):
    """Return which rows differ between two tables."""
    names = [n for n, row in new_by_name.items() if old_by_name.get(n) != row]
    names += [n for n in old_by_name if n not in new_by_name]
    return tuple(Change(kind, name) for name in names)


@apply_command.register
def _apply_document(command: ApplyDocument, state: ControlState) -> Outcome:
    document = command.document
    if document.version <= state.document.version:
        return Outcome(state, DocumentResult(state.document.version))
    state = state._replace(document=document)
    result = DocumentResult(document.version)
    return Outcome(state, result, (Change("document", ""),))


@apply_command.register
def _register_vm(command: RegisterVm, state: ControlState) -> Outcome:
    vm = command.vm
    for other in state.vm_by_session.values():
        if other.vm_id == vm.vm_id and other.incarnation > vm.incarnation:
            return Outcome(state)
    if state.vm_by_session.get(vm.session) == vm:
        return Outcome(state)
    table = state.vm_by_session.set(vm.session, vm)
    state = state._replace(vm_by_session=table)
    return Outcome(state, None, (Change("vm", vm.session),))


@apply_command.register
def _remove_vms(command: RemoveVms, state: ControlState) -> Outcome:
    gone = {s for s in command.sessions if s in state.vm_by_session}
    if not gone:
        return Outcome(state)
    table = state.vm_by_session
    changes = []
    for session in sorted(gone):
        table = table.delete(session)
        changes.append(Change("vm", session))
    freed = {}
    for endpoint_id, ownership in state.ownership_by_id.items():
        if ownership.session in gone:
            freed[endpoint_id] = _free(ownership, gone)
        elif ownership.previous in gone:
            freed[endpoint_id] = ownership._replace(previous="")
    changes.extend(Change("ownership", key) for key in freed)
    state = state._replace(
        vm_by_session=table,
        ownership_by_id=state.ownership_by_id.update(freed),
    )
    return Outcome(state, None, tuple(changes))


def _free(ownership, gone):
    """Take an endpoint from a session that ended.

    If it was to be handed over, the session before gets it back under a new
    epoch, whether or not it has handed it over already.
    """
    heir = "" if ownership.previous in gone else ownership.previous
    return ownership._replace(
        session=heir, epoch=ownership.epoch + 1, previous=""
    )


@apply_command.register
def _report_endpoints(
    command: ReportEndpoints, state: ControlState
) -> Outcome:
    table = state.endpoint_by_id
    lost = state.lost_at_by_id
    changes = []
    for endpoint in command.endpoints:
        known = table.get(endpoint.endpoint_id)
        if known is not None and not rows.is_newer(endpoint, known):
            continue
        table = table.set(endpoint.endpoint_id, endpoint)
        changes.append(Change("endpoint", endpoint.endpoint_id))
        if endpoint.state == "lost":
            lost = lost.set(endpoint.endpoint_id, command.now_ms)
        elif endpoint.endpoint_id in lost:
            lost = lost.delete(endpoint.endpoint_id)
    state = state._replace(endpoint_by_id=table, lost_at_by_id=lost)
    return Outcome(state, None, tuple(changes))


@apply_command.register
def _assign(command: Assign, state: ControlState) -> Outcome:
    table = state.ownership_by_id
    changes = []
    for assignment in command.assignments:
        endpoint_id = assignment.endpoint_id
        known = table.get(endpoint_id) or rows.Ownership(endpoint_id, "", 0)
        if known.epoch != assignment.epoch or known.previous:
            continue
        if assignment.session not in state.vm_by_session:
            continue
        if assignment.session == known.session:
            continue
        row = rows.Ownership(
            endpoint_id, assignment.session, known.epoch + 1, known.session
        )
        table = table.set(endpoint_id, row)
        changes.append(Change("ownership", endpoint_id))
    state = state._replace(ownership_by_id=table)
    return Outcome(state, None, tuple(changes))


@apply_command.register
def _end_handovers(command: EndHandovers, state: ControlState) -> Outcome:
    table = state.ownership_by_id
    changes = []
    for endpoint_id, epoch in command.handovers:
        known = table.get(endpoint_id)
        if known is None or known.epoch != epoch or not known.previous:
            continue
        table = table.set(endpoint_id, known._replace(previous=""))
        changes.append(Change("ownership", endpoint_id))
    state = state._replace(ownership_by_id=table)
    return Outcome(state, None, tuple(changes))


@apply_command.register
def _claim_command(command: ClaimCommand, state: ControlState) -> Outcome:
    known = state.claim_by_id.get(command.claim.claim_id)
    if known is not None:
        return Outcome(state, ClaimResult(False, known))
    table = state.claim_by_id.set(command.claim.claim_id, command.claim)
    state = state._replace(claim_by_id=table)
    return Outcome(state, ClaimResult(True, command.claim))


@apply_command.register
def _resolve_claim(command: ResolveClaim, state: ControlState) -> Outcome:
    known = state.claim_by_id.get(command.claim_id)
    if known is None or known.attempt != command.attempt:
        return Outcome(state)
    if known.outcome != "claimed":
        return Outcome(state)
    if command.outcome == "free":
        table = state.claim_by_id.delete(command.claim_id)
    else:
        resolved = known._replace(outcome=command.outcome, value=command.value)
        table = state.claim_by_id.set(command.claim_id, resolved)
    return Outcome(state._replace(claim_by_id=table))


@apply_command.register
def _expire(command: Expire, state: ControlState) -> Outcome:
    claims = state.claim_by_id
    for claim in state.claim_by_id.values():
        if claim.created_ms + CLAIM_KEPT_MS < command.now_ms:
            claims = claims.delete(claim.claim_id)
    endpoints = state.endpoint_by_id
    lost_at = state.lost_at_by_id
    ownerships = state.ownership_by_id
    changes = []
    for endpoint_id, since in state.lost_at_by_id.items():
        if since + LOST_ENDPOINT_KEPT_MS >= command.now_ms:
            continue
        endpoints = endpoints.delete(endpoint_id)
        lost_at = lost_at.delete(endpoint_id)
        changes.append(Change("endpoint", endpoint_id))
        if endpoint_id in ownerships:
            ownerships = ownerships.delete(endpoint_id)
            changes.append(Change("ownership", endpoint_id))
    state = state._replace(
        claim_by_id=claims,
        endpoint_by_id=endpoints,
        lost_at_by_id=lost_at,
        ownership_by_id=ownerships,
    )
    return Outcome(state, None, tuple(changes))


def _remember(state, change_id, result):
    results = state.change_results.set(change_id, result)
    order = state.change_order + (change_id,)
    if len(order) > CHANGE_IDS_KEPT:
        results = results.delete(order[0])
        order = order[1:]
    return state._replace(change_results=results, change_order=order)


def _repeat_result(first: ChangeResult, command: ApplyLists):
    if first.digest == command.digest:
        return first
    detail = "change id was used for another change"
    return ChangeResult(first.digest, False, first.revision, detail)
