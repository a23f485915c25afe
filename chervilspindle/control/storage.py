"""Durable storage of one member: a log file and snapshots.

Every record carries its length and a CRC-32. A torn last record, left by a
crash in the middle of a write, is cut off at recovery; damage before the
last record is refused, because entries that were promised would be lost.
A write returns only after fsync. Any failure leaves the storage unusable,
so that the process stops instead of promising what it may not hold.
"""

import contextlib
import os
import struct
import typing
import uuid
import zlib

import msgspec

from chervilspindle.control import raft_messages as messages

HEADER = struct.Struct(">II")  # length in bytes, CRC-32
IDENTITY_FILE = "identity.json"
LOG_FILE = "log"
SNAPSHOT_FILE = "snapshot"
REWRITE_BYTES = 8 * 1024 * 1024


class StorageError(Exception):
    """The data folder is damaged, full or not writable."""


class Identity(typing.NamedTuple):
    """Who this disk is: its group, its member id, and if it bootstraps."""

    group: str
    member_id: str


class HardRecord(typing.NamedTuple):
    """Record of a promise."""

    term: int
    voted_for: str


class AppendRecord(typing.NamedTuple):
    """Record of entries that replace all from the first one's index on."""

    entries: tuple[messages.Entry, ...]


class SnapshotFile(typing.NamedTuple):
    """Content of a snapshot file: what it covers, and parts of the tables."""

    mark: messages.SnapshotMetadata
    parts: tuple[bytes, ...]


class SnapshotEnd(typing.NamedTuple):
    """Last record of a whole snapshot file."""

    parts: int


class Recovered(typing.NamedTuple):
    """What recovery found on the disk."""

    hard: messages.HardState
    log: tuple[messages.Entry, ...]
    snapshot: SnapshotFile
    torn_bytes: int


EMPTY_SNAPSHOT = SnapshotFile(messages.SnapshotMetadata(0, 0, ()), ())

_ENCODER = msgspec.msgpack.Encoder()
_RECORD = msgspec.msgpack.Decoder(tuple[str, msgspec.Raw])
_HARD = msgspec.msgpack.Decoder(HardRecord)
_APPEND = msgspec.msgpack.Decoder(AppendRecord)
_MARK = msgspec.msgpack.Decoder(messages.SnapshotMetadata)


class Storage:
    """One member's data folder.

    Parameters
    ----------
    folder : str
        Exists already and is used by this process alone.
    fsync : callable
        Replaced by tests that bring about failures of the disk.
    """

    def __init__(self, folder: str, fsync=os.fsync, write=os.write):
        self.folder = folder
        self.fsync = fsync
        self.write = write
        self.handle = None
        self.log_bytes = 0
        self.failed = False

    def recover(self) -> Recovered:
        """Read snapshot and log, cut a torn tail, and open for appending.

        Raises
        ------
        StorageError
            If damage is found that a torn write can't explain.
        """
        snapshot = self._read_snapshot()
        path = os.path.join(self.folder, LOG_FILE)
        data = _read_file(path)
        records, valid = split_records(data)
        hard, log = replay_records(records, snapshot.mark)
        self._open(path, valid)
        return Recovered(hard, log, snapshot, len(data) - valid)

    def persist(self, old, new):
        """Make the difference of two raft states durable.

        Raises
        ------
        StorageError
        """
        chunks = []
        if (old.term, old.voted_for) != (new.term, new.voted_for):
            chunks.append(_pack(HardRecord(new.term, new.voted_for)))
        fresh = diff_log(old, new)
        if fresh is not None:
            chunks.append(_pack(AppendRecord(fresh)))
        if chunks:
            self._append(b"".join(chunks))

    def save_snapshot(self, snapshot: SnapshotFile, state):
        """Write a snapshot, then a log that starts after it."""
        writer = self.begin_snapshot(snapshot.mark)
        writer.add(snapshot.parts)
        writer.finish(state)

    def begin_snapshot(self, mark: messages.SnapshotMetadata):
        """Begin to write a snapshot part by part.

        Returns
        -------
        SnapshotWriter
        """
        return SnapshotWriter(self, mark)

    def start_log_after(self, mark: messages.SnapshotMetadata, state):
        """Replace the log by one that starts after a snapshot."""
        hard = _pack(HardRecord(state.term, state.voted_for))
        kept = tuple(e for e in state.log if e.index > mark.index)
        body = hard + _pack(AppendRecord(kept))
        self._replace(LOG_FILE, body)
        if self.handle is not None:
            os.close(self.handle)
        self._open(os.path.join(self.folder, LOG_FILE), len(body))

    def close(self):
        """Close the log file."""
        if self.handle is not None:
            os.close(self.handle)
            self.handle = None

    def _read_snapshot(self) -> SnapshotFile:
        data = _read_file(os.path.join(self.folder, SNAPSHOT_FILE))
        if not data:
            return EMPTY_SNAPSHOT
        records, valid = split_records(data)
        if len(records) < 2 or valid != len(data):
            raise StorageError(f"damaged snapshot in {self.folder}")
        parts = tuple(records[1:-1])
        if records[-1] != _ENCODER.encode(SnapshotEnd(len(parts))):
            raise StorageError(f"cut off snapshot in {self.folder}")
        return SnapshotFile(_MARK.decode(records[0]), parts)

    def _open(self, path: str, size: int):
        flags = os.O_RDWR | os.O_CREAT
        self.handle = os.open(path, flags, 0o600)
        os.ftruncate(self.handle, size)
        os.lseek(self.handle, size, os.SEEK_SET)
        self.fsync(self.handle)
        self._sync_folder()
        self.log_bytes = size

    def _append(self, data: bytes):
        with self.guard():
            self.write_all(self.handle, data)
            self.fsync(self.handle)
        self.log_bytes += len(data)

    def write_all(self, handle: int, data: bytes):
        """Write all bytes."""
        view = memoryview(data)
        while view:
            written = self.write(handle, view)
            view = view[written:]

    def _replace(self, name: str, data: bytes):
        path = os.path.join(self.folder, name)
        with self.guard():
            handle = open_new(path)
            try:
                self.write_all(handle, data)
                self.fsync(handle)
            finally:
                os.close(handle)
            self.put_in_place(path)

    def put_in_place(self, path: str):
        """Give a file that was written whole its name."""
        os.replace(path + ".new", path)
        self._sync_folder()

    @contextlib.contextmanager
    def guard(self):
        """Turn a failure of the disk into a `StorageError`, for good."""
        if self.failed:
            raise StorageError("storage failed before")
        try:
            yield
        except OSError as error:
            self.failed = True
            raise StorageError(f"write to {self.folder}: {error}") from error

    def _sync_folder(self):
        handle = os.open(self.folder, os.O_RDONLY)
        try:
            self.fsync(handle)
        finally:
            os.close(handle)


class SnapshotWriter:
    """Writes a snapshot part by part, each synced, and names it at the end.

    The file counts only once it is whole and in place; until then the old
    snapshot and the log stand.
    """

    def __init__(self, storage: Storage, mark: messages.SnapshotMetadata):
        self.storage = storage
        self.mark = mark
        self.path = os.path.join(storage.folder, SNAPSHOT_FILE)
        self.count = 0
        with storage.guard():
            self.handle = open_new(self.path)
            storage.write_all(self.handle, _frame(_ENCODER.encode(mark)))

    def add(self, parts):
        """Write and sync some parts.

        Raises
        ------
        StorageError
        """
        data = b"".join(_frame(part) for part in parts)
        self.count += len(parts)
        with self.storage.guard():
            self.storage.write_all(self.handle, data)
            self.storage.fsync(self.handle)

    def finish(self, state):
        """Put the snapshot in place, then a log that starts after it."""
        end = _frame(_ENCODER.encode(SnapshotEnd(self.count)))
        with self.storage.guard():
            self.storage.write_all(self.handle, end)
            self.storage.fsync(self.handle)
            self.abandon()
            self.storage.put_in_place(self.path)
        self.storage.start_log_after(self.mark, state)

    def abandon(self):
        """Close the file; what was written of it counts for nothing."""
        if self.handle is not None:
            os.close(self.handle)
            self.handle = None


def open_new(path: str) -> int:
    """Open the file that will replace another one."""
    flags = os.O_WRONLY | os.O_CREAT | os.O_TRUNC
    return os.open(path + ".new", flags, 0o600)


def split_records(data: bytes):
    """Split a file into records.

    Returns
    -------
    records, valid : list of bytes, int
        `valid` is the length of the part that holds whole records.

    Raises
    ------
    StorageError
        If a damaged record is followed by a whole one.
    """
    records = []
    offset = 0
    while offset + HEADER.size <= len(data):
        length, checksum = HEADER.unpack_from(data, offset)
        body = data[offset + HEADER.size : offset + HEADER.size + length]
        if len(body) < length or zlib.crc32(body) != checksum:
            _refuse_damage(data, offset, length)
            break
        records.append(body)
        offset += HEADER.size + length
    return records, offset


def replay_records(records, mark: messages.SnapshotMetadata):
    """Rebuild the promise and the log from records.

    Returns
    -------
    hard, log : HardState, tuple of Entry
    """
    hard = messages.HardState(0, "")
    log: list[messages.Entry] = []
    for record in records:
        kind, body = _RECORD.decode(record)
        if kind == HardRecord.__name__:
            hard = messages.HardState(*_HARD.decode(body))
            continue
        entries = _APPEND.decode(body).entries
        if entries:
            first = entries[0].index
            while log and log[-1].index >= first:
                log.pop()
            log.extend(entries)
    kept = tuple(e for e in log if e.index > mark.index)
    if kept and kept[0].index != mark.index + 1:
        raise StorageError("log does not continue the snapshot")
    return hard, kept


def diff_log(old, new):
    """Return the entries that turn the old log into the new, None if same.

    Both logs are immutable, so an untouched prefix is shared.
    """
    if old.log is new.log:
        return None
    old_last = old.snapshot_index + len(old.log)
    start = max(old.snapshot_index, new.snapshot_index) + 1
    old_part = old.log[start - old.snapshot_index - 1 :]
    new_part = new.log[start - new.snapshot_index - 1 :]
    common = 0
    for left, right in zip(old_part, new_part):
        if left is not right and left != right:
            break
        common += 1
    fresh = new_part[common:]
    if fresh:
        return fresh
    if start + common - 1 < old_last and new.snapshot_index < old_last:
        raise StorageError("a log never shrinks without new entries")
    return None


def load_identity(folder: str) -> Identity | None:
    """Read the identity of a data folder, None if it has none."""
    data = _read_file(os.path.join(folder, IDENTITY_FILE))
    if not data:
        return None
    return msgspec.json.decode(data, type=Identity)


def create_identity(folder: str, group: str, vm_id: str) -> Identity:
    """Give an empty data folder a new, unique member id, durably."""
    os.makedirs(folder, mode=0o700, exist_ok=True)
    if os.path.exists(os.path.join(folder, LOG_FILE)):
        raise StorageError(f"{folder} holds a log but no identity")
    identity = Identity(group, f"{vm_id}#{uuid.uuid4().hex[:12]}")
    storage = Storage(folder)
    storage._replace(IDENTITY_FILE, msgspec.json.encode(identity))
    return identity


def _refuse_damage(data: bytes, offset: int, length: int):
    """Refuse a damaged record that whole records follow."""
    following = offset + HEADER.size + length
    if following + HEADER.size > len(data):
        return
    next_length, checksum = HEADER.unpack_from(data, following)
    body = data[following + HEADER.size :][:next_length]
    if next_length and len(body) == next_length:
        if zlib.crc32(body) == checksum:
            raise StorageError(f"damaged record at byte {offset}")


def _pack(record) -> bytes:
    body = _ENCODER.encode(record)
    return _frame(_ENCODER.encode((type(record).__name__, msgspec.Raw(body))))


def _frame(body: bytes) -> bytes:
    return HEADER.pack(len(body), zlib.crc32(body)) + body


def _read_file(path: str) -> bytes:
    try:
        with open(path, "rb") as handle:
            return handle.read()
    except FileNotFoundError:
        return b""
