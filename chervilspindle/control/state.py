"""Replicated state machine of the control group.

Every member applies the same commands in the same order, so applying a
command must be deterministic: nothing here reads a clock, a file or a random
number. Commands carry the times that they need.
"""

import functools
import itertools
import typing

import immutables
import msgspec

from chervilspindle.core import rows
from chervilspindle.wire import layouts

MAX_ROWS_PER_PART = 500
MAX_CHANGE_RESULTS = 5000
CLAIM_RETENTION_MS = 24 * 3600 * 1000
LOST_ENDPOINT_RETENTION_MS = 3600 * 1000
MAX_CRASH_RECORDS = 1000
MAX_CRASHED_ENDPOINTS = 16  # in one record


class ApplyLists(typing.NamedTuple):
    """Replaces customers and plans if the revision equals `if_revision`.

    An `if_revision` of -1 replaces them unconditionally.
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
    """Ends sessions that left or whose lease expired.

    One command ends many sessions, because the loss of an availability zone
    ends hundreds of them and each command scans all ownership rows.
    """

    sessions: tuple[str, ...]


class ReportEndpoints(typing.NamedTuple):
    """Adds or updates endpoints from their announcements.

    `now_ms` is the wall time that lost endpoints are recorded with.
    """

    endpoints: tuple[rows.Endpoint, ...]
    now_ms: int


class Assignment(typing.NamedTuple):
    """Assigns an endpoint to a session; a live owner hands it over first.

    Takes effect only if the endpoint's epoch still equals `epoch` and no
    handover is in progress.
    """

    endpoint_id: str
    session: str
    epoch: int


class Assign(typing.NamedTuple):
    """Changes the owners of endpoints."""

    assignments: tuple[Assignment, ...]


class Handover(typing.NamedTuple):
    """Identifies a handover by its endpoint and the new owner's epoch."""

    endpoint_id: str
    epoch: int


class EndHandovers(typing.NamedTuple):
    """Records that new owners have taken over from the previous owners."""

    handovers: tuple[Handover, ...]


class ClaimCommand(typing.NamedTuple):
    """Claims the right to run a non-idempotent request."""

    claim: rows.Claim


class ResolveClaim(typing.NamedTuple):
    """Records the outcome of an attempt, or releases its claim.

    `outcome` is ``done``, ``failed`` or ``free``; ``free`` releases the claim
    and is used only if the request was never dispatched.
    """

    claim_id: str
    attempt: str
    outcome: str
    value: bytes


class Expire(typing.NamedTuple):
    """Removes claims and lost endpoints whose retention period is over."""

    now_ms: int


class ApplyDocument(typing.NamedTuple):
    """Replaces the routing document if its version is higher."""

    document: rows.StoredDocument


class ReportCrashes(typing.NamedTuple):
    """Records endpoints that ended under requests of the same content."""

    record: rows.CrashRecord


class ClearCrashes(typing.NamedTuple):
    """Removes the record of a content that an endpoint has answered."""

    content: str


class EvacuateZone(typing.NamedTuple):
    """Begins the evacuation of a zone; one that has begun keeps its row."""

    evacuation: rows.ZoneEvacuation


class ReturnZone(typing.NamedTuple):
    """Ends the evacuation of a zone."""

    zone: str


class UnreadableCommand(Exception):
    """A log entry has a command that this build does not know."""


class DocumentResult(typing.NamedTuple):
    """Version of the stored document after a document was applied."""

    current_version: int


class EvacuationResult(typing.NamedTuple):
    """Whether a command changed whether a zone is evacuated."""

    changed: bool


class Batch(typing.NamedTuple):
    """Several commands in one log entry."""

    commands: tuple[tuple[str, msgspec.Raw], ...]


class ChangeResult(typing.NamedTuple):
    """Result of a change, stored so that a resend gets the same answer."""

    digest: str
    accepted: bool
    revision: int
    detail: str


class ClaimResult(typing.NamedTuple):
    """Result of a claim: the granted claim, or the existing one."""

    granted: bool
    claim: rows.Claim


class Change(typing.NamedTuple):
    """Identifies a row that a command changed, for deltas to entries."""

    kind: str  # one of changes.CHANGE_KINDS
    key: str


class ControlState(typing.NamedTuple):
    """All replicated tables.

    `unknown_parts` has the snapshot parts of tables that only newer builds
    know; they stay as they are.
    """

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
    crash_by_content: immutables.Map = immutables.Map()
    evacuation_by_zone: immutables.Map = immutables.Map()
    unknown_parts: tuple[bytes, ...] = ()


class Outcome(typing.NamedTuple):
    """Result of applying one command."""

    state: ControlState
    result: tuple | None = None
    changes: tuple[Change, ...] = ()


class SnapshotHeader(typing.NamedTuple):
    """First part of a snapshot of the tables."""

    version: int
    revision: int


class SnapshotPart(typing.NamedTuple):
    """A batch of rows of one table in a snapshot."""

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
        ReportCrashes,
        ClearCrashes,
        EvacuateZone,
        ReturnZone,
    )
}

_ENCODER = msgspec.msgpack.Encoder()
_BATCH = msgspec.msgpack.Decoder(Batch)
_DECODER_BY_NAME = {
    name: msgspec.msgpack.Decoder(cls) for name, cls in COMMAND_BY_NAME.items()
}


def encode_command(command) -> tuple[str, msgspec.Raw]:
    """Encode one command of a log entry.

    Raises
    ------
    OverflowError, TypeError, ValueError
        If a value has no encoding, such as an integer beyond 64 bits.
    """
    name = type(command).__name__
    if isinstance(command, ReportEndpoints):
        endpoints = tuple(map(_shorten, command.endpoints))
        command = command._replace(endpoints=endpoints)
    return name, msgspec.Raw(_ENCODER.encode(command))


def _shorten(endpoint: rows.Endpoint) -> tuple:
    """Return a row without the time that it stays cold, if it has none.

    Members of version 5 and older can't read that field.
    """
    return endpoint if endpoint.cold_left_ms else endpoint[:-1]


def join_commands(encoded) -> bytes:
    """Build the data of one log entry from encoded commands."""
    return _ENCODER.encode(Batch(tuple(encoded)))


def encode_batch(commands) -> bytes:
    """Encode commands as the data of one log entry."""
    return join_commands(encode_command(c) for c in commands)


def decode_batch(data: bytes) -> tuple:
    """Decode the commands of one log entry.

    Raises
    ------
    UnreadableCommand
        If one is of a newer build.
    """
    try:
        batch = layouts.decode(_BATCH, data)
        return tuple(
            layouts.decode(_DECODER_BY_NAME[name], raw)
            for name, raw in batch.commands
        )
    except (msgspec.MsgspecError, KeyError) as error:
        raise UnreadableCommand(str(error)) from error


def encode_snapshot_parts(state: ControlState):
    """Yield the encoded parts of a snapshot of all tables.

    Each part has at most `MAX_ROWS_PER_PART` rows. The tables are immutable,
    so the iterator may be consumed step by step while later commands are
    applied to newer tables.

    Returns
    -------
    iterator of bytes
    """
    header = SnapshotHeader(state.version, state.lists.revision)
    yield _encode_part("head", header)
    for table, table_rows in (
        ("customers", state.lists.customers_by_name.values()),
        ("plans", state.lists.plans_by_name.values()),
        ("changes", _list_change_results(state)),
        ("vms", state.vm_by_session.values()),
        ("endpoints", map(_shorten, state.endpoint_by_id.values())),
        ("lost_at", state.lost_at_by_id.items()),
        ("ownerships", state.ownership_by_id.values()),
        ("claims", state.claim_by_id.values()),
        ("documents", (state.document,)),
        ("crashes", state.crash_by_content.values()),
        ("evacuations", state.evacuation_by_zone.values()),
    ):
        remaining = iter(table_rows)
        while part := tuple(itertools.islice(remaining, MAX_ROWS_PER_PART)):
            yield _encode_part(table, part)
    yield from state.unknown_parts


def join_snapshot_parts(parts) -> bytes:
    """Join the encoded parts of a snapshot to one byte string."""
    return _ENCODER.encode(tuple(parts))


def split_snapshot_parts(data: bytes) -> tuple[bytes, ...]:
    """Return the encoded parts of a joined snapshot."""
    return _PART_LIST_DECODER.decode(data) if data else ()


def encode_snapshot(state: ControlState) -> bytes:
    """Encode all tables as one joined snapshot."""
    return join_snapshot_parts(encode_snapshot_parts(state))


def decode_snapshot(data: bytes) -> ControlState:
    """Rebuild the tables from a snapshot; empty bytes give empty tables."""
    return decode_snapshot_parts(split_snapshot_parts(data))


def decode_snapshot_parts(parts) -> ControlState:
    """Rebuild the tables from snapshot parts; no parts give empty tables."""
    if not parts:
        return EMPTY_STATE
    rows_by_table = {name: [] for name in _DECODER_BY_TABLE}
    header = SnapshotHeader(0, 0)
    unknown_parts = []
    for encoded in parts:
        part = layouts.decode(_PART_DECODER, encoded)
        decoder = _DECODER_BY_TABLE.get(part.table)
        if part.table == "head":
            header = layouts.decode(_HEADER_DECODER, part.rows)
        elif decoder is None:
            unknown_parts.append(encoded)
        else:
            table_rows = layouts.decode(decoder, part.rows)
            rows_by_table[part.table].extend(table_rows)
    state = _build_state(header, rows_by_table)
    return state._replace(unknown_parts=tuple(unknown_parts))


def _build_state(header, rows_by_table) -> ControlState:
    lists = rows.Lists(
        header.revision,
        {c.name: c for c in rows_by_table["customers"]},
        {p.name: p for p in rows_by_table["plans"]},
    )
    return ControlState(
        version=header.version,
        lists=lists,
        change_results=immutables.Map(rows_by_table["changes"]),
        change_order=tuple(key for key, _ in rows_by_table["changes"]),
        vm_by_session=immutables.Map(
            (v.session, v) for v in rows_by_table["vms"]
        ),
        endpoint_by_id=immutables.Map(
            (e.endpoint_id, e) for e in rows_by_table["endpoints"]
        ),
        lost_at_by_id=immutables.Map(rows_by_table["lost_at"]),
        ownership_by_id=immutables.Map(
            (o.endpoint_id, o) for o in rows_by_table["ownerships"]
        ),
        claim_by_id=immutables.Map(
            (c.claim_id, c) for c in rows_by_table["claims"]
        ),
        document=(rows_by_table["documents"] or [rows.NO_DOCUMENT])[0],
        crash_by_content=immutables.Map(
            (c.content, c) for c in rows_by_table["crashes"]
        ),
        evacuation_by_zone=immutables.Map(
            (e.zone, e) for e in rows_by_table["evacuations"]
        ),
    )


def _list_change_results(state):
    return ((key, state.change_results[key]) for key in state.change_order)


def _encode_part(table, content) -> bytes:
    encoded = msgspec.Raw(_ENCODER.encode(content))
    return _ENCODER.encode(SnapshotPart(table, encoded))


_PART_LIST_DECODER = msgspec.msgpack.Decoder(tuple[bytes, ...])
_PART_DECODER = msgspec.msgpack.Decoder(SnapshotPart)
_HEADER_DECODER = msgspec.msgpack.Decoder(SnapshotHeader)
_DECODER_BY_TABLE = {
    name: msgspec.msgpack.Decoder(tuple[row_type, ...])
    for name, row_type in (
        ("customers", rows.Customer),
        ("plans", rows.Plan),
        ("changes", tuple[str, ChangeResult]),
        ("vms", rows.Vm),
        ("endpoints", rows.Endpoint),
        ("lost_at", tuple[str, int]),
        ("ownerships", rows.Ownership),
        ("claims", rows.Claim),
        ("documents", rows.StoredDocument),
        ("crashes", rows.CrashRecord),
        ("evacuations", rows.ZoneEvacuation),
    )
}


@functools.singledispatch
def apply_command(command, state: ControlState) -> Outcome:
    """Apply one command.

    A command whose preconditions no longer hold leaves the state unchanged.
    """
    raise TypeError(f"unsupported control command: {type(command).__name__}")


@apply_command.register
def _apply_lists(command: ApplyLists, state: ControlState) -> Outcome:
    stored = state.change_results.get(command.change_id)
    if stored is not None:
        return Outcome(state, _reuse_result(stored, command))
    revision = state.lists.revision
    if command.if_revision not in (-1, revision):
        detail = f"revision is {revision}, not {command.if_revision}"
        result = ChangeResult(command.digest, False, revision, detail)
        return Outcome(_store_result(state, command.change_id, result), result)
    lists = rows.Lists(
        revision + 1,
        {c.name: c for c in command.customers},
        {p.name: p for p in command.plans},
    )
    result = ChangeResult(command.digest, True, lists.revision, "")
    changes = (
        Change("lists", ""),
        *_list_changes(
            "customer", state.lists.customers_by_name, lists.customers_by_name
        ),
        *_list_changes("plan", state.lists.plans_by_name, lists.plans_by_name),
    )
    state = _store_result(state, command.change_id, result)
    return Outcome(state._replace(lists=lists), result, changes)


def _list_changes(kind, old_by_name, new_by_name):
    """Return a change for each row that differs between two tables."""
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
def _report_crashes(command: ReportCrashes, state: ControlState) -> Outcome:
    record = command.record
    table = _drop_expired_crashes(state.crash_by_content, record.last_ms)
    removed = [c for c in state.crash_by_content if c not in table]
    stored = table.get(record.content)
    known = stored.endpoints if stored is not None else ()
    new = tuple(e for e in record.endpoints if e not in known)
    endpoints = (*known, *new)[:MAX_CRASHED_ENDPOINTS]
    if stored is None and len(table) >= MAX_CRASH_RECORDS:
        oldest = min(table.values(), key=lambda r: (r.last_ms, r.content))
        table = table.delete(oldest.content)
        removed.append(oldest.content)
    table = table.set(record.content, record._replace(endpoints=endpoints))
    state = state._replace(crash_by_content=table)
    changes = tuple(Change("crash", c) for c in (*removed, record.content))
    return Outcome(state, None, changes)


@apply_command.register
def _clear_crashes(command: ClearCrashes, state: ControlState) -> Outcome:
    if command.content not in state.crash_by_content:
        return Outcome(state)
    table = state.crash_by_content.delete(command.content)
    state = state._replace(crash_by_content=table)
    return Outcome(state, None, (Change("crash", command.content),))


@apply_command.register
def _evacuate_zone(command: EvacuateZone, state: ControlState) -> Outcome:
    zone = command.evacuation.zone
    if zone in state.evacuation_by_zone:
        return Outcome(state, EvacuationResult(False))
    table = state.evacuation_by_zone.set(zone, command.evacuation)
    state = state._replace(evacuation_by_zone=table)
    return Outcome(
        state, EvacuationResult(True), (Change("evacuation", zone),)
    )


@apply_command.register
def _return_zone(command: ReturnZone, state: ControlState) -> Outcome:
    zone = command.zone
    if zone not in state.evacuation_by_zone:
        return Outcome(state, EvacuationResult(False))
    table = state.evacuation_by_zone.delete(zone)
    state = state._replace(evacuation_by_zone=table)
    return Outcome(
        state, EvacuationResult(True), (Change("evacuation", zone),)
    )


def _drop_expired_crashes(table, now_ms):
    """Return the crash records whose retention period is not over."""
    for record in list(table.values()):
        if record.last_ms + rows.CRASH_RETENTION_MS < now_ms:
            table = table.delete(record.content)
    return table


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
    ended = {s for s in command.sessions if s in state.vm_by_session}
    if not ended:
        return Outcome(state)
    table = state.vm_by_session
    changes = []
    for session in sorted(ended):
        table = table.delete(session)
        changes.append(Change("vm", session))
    updated = {}
    for endpoint_id, ownership in state.ownership_by_id.items():
        if ownership.session in ended:
            updated[endpoint_id] = _revoke_ownership(ownership, ended)
        elif ownership.previous in ended:
            updated[endpoint_id] = ownership._replace(previous="")
    changes.extend(Change("ownership", key) for key in updated)
    state = state._replace(
        vm_by_session=table,
        ownership_by_id=state.ownership_by_id.update(updated),
    )
    return Outcome(state, None, tuple(changes))


def _revoke_ownership(ownership, ended):
    """Return an endpoint's ownership after the session of its owner ended.

    During a handover the endpoint returns to the previous owner under a new
    epoch, whether or not that owner has already handed it over.
    """
    session = "" if ownership.previous in ended else ownership.previous
    return ownership._replace(
        session=session, epoch=ownership.epoch + 1, previous=""
    )


@apply_command.register
def _report_endpoints(
    command: ReportEndpoints, state: ControlState
) -> Outcome:
    table = state.endpoint_by_id
    lost_at = state.lost_at_by_id
    changes = []
    for endpoint in command.endpoints:
        stored = table.get(endpoint.endpoint_id)
        if stored is not None and not rows.is_newer(endpoint, stored):
            continue
        table = table.set(endpoint.endpoint_id, endpoint)
        changes.append(Change("endpoint", endpoint.endpoint_id))
        if endpoint.state == "lost":
            lost_at = lost_at.set(endpoint.endpoint_id, command.now_ms)
        elif endpoint.endpoint_id in lost_at:
            lost_at = lost_at.delete(endpoint.endpoint_id)
    state = state._replace(endpoint_by_id=table, lost_at_by_id=lost_at)
    return Outcome(state, None, tuple(changes))


@apply_command.register
def _assign(command: Assign, state: ControlState) -> Outcome:
    table = state.ownership_by_id
    changes = []
    for assignment in command.assignments:
        endpoint_id = assignment.endpoint_id
        current = table.get(endpoint_id) or rows.Ownership(endpoint_id, "", 0)
        if current.epoch != assignment.epoch or current.previous:
            continue
        if assignment.session not in state.vm_by_session:
            continue
        if assignment.session == current.session:
            continue
        new = rows.Ownership(
            endpoint_id, assignment.session, current.epoch + 1, current.session
        )
        table = table.set(endpoint_id, new)
        changes.append(Change("ownership", endpoint_id))
    state = state._replace(ownership_by_id=table)
    return Outcome(state, None, tuple(changes))


@apply_command.register
def _end_handovers(command: EndHandovers, state: ControlState) -> Outcome:
    table = state.ownership_by_id
    changes = []
    for endpoint_id, epoch in command.handovers:
        current = table.get(endpoint_id)
        if current is None or current.epoch != epoch or not current.previous:
            continue
        table = table.set(endpoint_id, current._replace(previous=""))
        changes.append(Change("ownership", endpoint_id))
    state = state._replace(ownership_by_id=table)
    return Outcome(state, None, tuple(changes))


@apply_command.register
def _claim_command(command: ClaimCommand, state: ControlState) -> Outcome:
    existing = state.claim_by_id.get(command.claim.claim_id)
    if existing is not None:
        return Outcome(state, ClaimResult(False, existing))
    table = state.claim_by_id.set(command.claim.claim_id, command.claim)
    state = state._replace(claim_by_id=table)
    return Outcome(state, ClaimResult(True, command.claim))


@apply_command.register
def _resolve_claim(command: ResolveClaim, state: ControlState) -> Outcome:
    claim = state.claim_by_id.get(command.claim_id)
    if claim is None or claim.attempt != command.attempt:
        return Outcome(state)
    if claim.outcome != "claimed":
        return Outcome(state)
    if command.outcome == "free":
        table = state.claim_by_id.delete(command.claim_id)
    else:
        resolved = claim._replace(outcome=command.outcome, value=command.value)
        table = state.claim_by_id.set(command.claim_id, resolved)
    return Outcome(state._replace(claim_by_id=table))


@apply_command.register
def _expire(command: Expire, state: ControlState) -> Outcome:
    claims = state.claim_by_id
    for claim in state.claim_by_id.values():
        if claim.created_ms + CLAIM_RETENTION_MS < command.now_ms:
            claims = claims.delete(claim.claim_id)
    endpoints = state.endpoint_by_id
    lost_at = state.lost_at_by_id
    ownerships = state.ownership_by_id
    changes = []
    for endpoint_id, lost_ms in state.lost_at_by_id.items():
        if lost_ms + LOST_ENDPOINT_RETENTION_MS >= command.now_ms:
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


def _store_result(state, change_id, result):
    """Store the result of a change, and drop the oldest one at the limit."""
    results = state.change_results.set(change_id, result)
    order = state.change_order + (change_id,)
    if len(order) > MAX_CHANGE_RESULTS:
        results = results.delete(order[0])
        order = order[1:]
    return state._replace(change_results=results, change_order=order)


def _reuse_result(stored: ChangeResult, command: ApplyLists):
    """Answer a resent change; refuse a change id used for another change."""
    if stored.digest == command.digest:
        return stored
    detail = "change id was used for another change"
    return ChangeResult(stored.digest, False, stored.revision, detail)
