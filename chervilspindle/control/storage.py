"""Durable storage of one member: a write-ahead log and a snapshot.

Every record has its length and a CRC-32. A torn last record, left by a crash
during a write, is truncated at recovery, and so are zeros after the last
record. Damage before the last record is an error, because acknowledged
entries would be lost. Writes return only after fsync. After any failed write
the storage rejects further writes, so that the process stops instead of
acknowledging data that may not be durable.
"""

import contextlib
import errno
import logging
import os
import struct
import time
import typing
import uuid
import zlib

import msgspec

from chervilspindle.control import raft_messages as messages
from chervilspindle.wire import layouts

LOGGER = logging.getLogger(__name__)

HEADER = struct.Struct(">II")  # length in bytes, CRC-32
IDENTITY_FILE = "identity.json"
LOG_FILE = "log"
SNAPSHOT_FILE = "snapshot"
PROBE_FILE = "probe"
MAX_LOG_BYTES = 8 * 1024 * 1024
PROBE_BYTES = 64 * 1024
DISK_RETRY_S = 0.1
DISK_LOG_ATTEMPTS = 300  # every 30 s
# What a disk answers that may take writes again without help of an operator.
PASSING_ERRORS = (errno.ENOSPC, errno.EDQUOT, errno.EIO, errno.EROFS)


class StorageError(Exception):
    """The data folder is damaged, full or not writable."""


class Identity(typing.NamedTuple):
    """Identity of a data folder: its group and its member id."""

    group: str
    member_id: str


class HardRecord(typing.NamedTuple):
    """Log record of a term and a vote."""

    term: int
    voted_for: str


class AppendRecord(typing.NamedTuple):
    """Log record of entries.

    They replace all earlier entries from the index of the first one on.
    """

    entries: tuple[messages.Entry, ...]


class SnapshotFile(typing.NamedTuple):
    """Content of a snapshot file: metadata, and tables in parts."""

    mark: messages.SnapshotMetadata
    parts: tuple[bytes, ...]


class SnapshotEnd(typing.NamedTuple):
    """Last record of a complete snapshot file: the number of parts."""

    parts: int


class RecoveredState(typing.NamedTuple):
    """State recovered from disk.

    Parameters
    ----------
    hard : HardState
    log : tuple of Entry
        Entries after the snapshot.
    snapshot : SnapshotFile
    torn_bytes : int
        Bytes that were truncated at the end of the log.
    """

    hard: messages.HardState
    log: tuple[messages.Entry, ...]
    snapshot: SnapshotFile
    torn_bytes: int


EMPTY_SNAPSHOT = SnapshotFile(messages.SnapshotMetadata(0, 0, ()), ())

_ENCODER = msgspec.msgpack.Encoder()
_RECORD_DECODER = msgspec.msgpack.Decoder(tuple[str, msgspec.Raw])
_HARD_DECODER = msgspec.msgpack.Decoder(HardRecord)
_APPEND_DECODER = msgspec.msgpack.Decoder(AppendRecord)
_METADATA_DECODER = msgspec.msgpack.Decoder(messages.SnapshotMetadata)


class Storage:
    """Data folder of one member.

    Parameters
    ----------
    folder : str
        Must exist and be used by this process only.
    fsync, write : callable
        Tests replace these to inject disk failures.
    """

    def __init__(self, folder: str, fsync=os.fsync, write=os.write):
        self.folder = folder
        self.fsync = fsync
        self.write = write
        self.handle = None
        self.log_bytes = 0
        self.failed = False

    def recover(self) -> RecoveredState:
        """Read snapshot and log, truncate a torn tail, open for appending.

        Raises
        ------
        StorageError
            If there is damage that a torn write does not explain.
        """
        snapshot = self._read_snapshot()
        path = os.path.join(self.folder, LOG_FILE)
        data = _read_file(path)
        records, valid = split_records(data)
        with _reject_unreadable(f"log in {self.folder}"):
            hard, log = replay_records(records, snapshot.mark)
        torn_bytes = len(data) - valid
        if torn_bytes:
            LOGGER.warning(
                "torn write cut off the log",
                extra={"valid_bytes": valid, "torn_bytes": torn_bytes},
            )
        with self.convert_errors():
            self._open(path, valid)
        return RecoveredState(hard, log, snapshot, torn_bytes)

    def persist(self, old, new):
        """Make the difference of two Raft states durable.

        Raises
        ------
        StorageError
        """
        chunks = []
        if (old.term, old.voted_for) != (new.term, new.voted_for):
            chunks.append(_encode_record(HardRecord(new.term, new.voted_for)))
        appended = diff_log(old, new)
        if appended is not None:
            chunks.append(_encode_record(AppendRecord(appended)))
        if chunks:
            self._append(b"".join(chunks))

    def save_snapshot(self, snapshot: SnapshotFile, state):
        """Write a snapshot at once, then a log that starts after it."""
        writer = self.begin_snapshot(snapshot.mark)
        writer.add(snapshot.parts)
        writer.finish(state)

    def begin_snapshot(self, metadata: messages.SnapshotMetadata):
        """Start to write a snapshot incrementally.

        Returns
        -------
        SnapshotWriter
        """
        return SnapshotWriter(self, metadata)

    def rewrite_log(self, metadata: messages.SnapshotMetadata, state):
        """Replace the log by one that starts after a snapshot."""
        hard = _encode_record(HardRecord(state.term, state.voted_for))
        kept = tuple(e for e in state.log if e.index > metadata.index)
        body = hard + _encode_record(AppendRecord(kept))
        self._replace(LOG_FILE, body)
        with self.convert_errors():
            self.close()
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
            raise StorageError(
                f"snapshot in {self.folder} is damaged: "
                f"{valid} of {len(data)} bytes are valid"
            )
        parts = tuple(records[1:-1])
        if records[-1] != _ENCODER.encode(SnapshotEnd(len(parts))):
            raise StorageError(f"snapshot in {self.folder} is truncated")
        with _reject_unreadable(f"snapshot in {self.folder}"):
            metadata = layouts.decode(_METADATA_DECODER, records[0])
        return SnapshotFile(metadata, parts)

    def _open(self, path: str, size: int):
        flags = os.O_RDWR | os.O_CREAT
        self.handle = os.open(path, flags, 0o600)
        os.ftruncate(self.handle, size)
        os.lseek(self.handle, size, os.SEEK_SET)
        self.fsync(self.handle)
        self._sync_folder()
        self.log_bytes = size

    def _append(self, data: bytes):
        with self.convert_errors():
            self.write_all(self.handle, data)
            self.fsync(self.handle)
        self.log_bytes += len(data)

    def write_all(self, handle: int, data: bytes):
        """Write all bytes; a single write may be short."""
        view = memoryview(data)
        while view:
            written = self.write(handle, view)
            if not written:
                raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
            view = view[written:]

    def _replace(self, name: str, data: bytes):
        path = os.path.join(self.folder, name)
        with self.convert_errors():
            handle = open_temporary(path)
            try:
                self.write_all(handle, data)
                self.fsync(handle)
            finally:
                os.close(handle)
            self.publish(path)

    def publish(self, path: str):
        """Atomically rename a complete temporary file to its final name."""
        os.replace(path + ".new", path)
        self._sync_folder()

    @contextlib.contextmanager
    def convert_errors(self):
        """Convert an `OSError` to a `StorageError` and reject later writes."""
        if self.failed:
            raise StorageError("storage is unusable after a failed write")
        try:
            yield
        except OSError as error:
            self.failed = True
            raise StorageError(
                f"write to {self.folder} failed: {error}"
            ) from error

    def _sync_folder(self):
        handle = os.open(self.folder, os.O_RDONLY)
        try:
            self.fsync(handle)
        finally:
            os.close(handle)


class SnapshotWriter:
    """Writes a snapshot incrementally to a temporary file, with fsync.

    `finish` publishes it. Until then recovery uses the previous snapshot and
    the log.
    """

    def __init__(self, storage: Storage, metadata: messages.SnapshotMetadata):
        self.storage = storage
        self.metadata = metadata
        self.path = os.path.join(storage.folder, SNAPSHOT_FILE)
        self.count = 0
        with storage.convert_errors():
            self.handle = open_temporary(self.path)
            storage.write_all(self.handle, _frame(_ENCODER.encode(metadata)))

    def add(self, parts):
        """Write and fsync some parts.

        Raises
        ------
        StorageError
        """
        data = b"".join(_frame(part) for part in parts)
        self.count += len(parts)
        with self.storage.convert_errors():
            self.storage.write_all(self.handle, data)
            self.storage.fsync(self.handle)

    def finish(self, state):
        """Publish the snapshot, then write a log that starts after it."""
        end = _frame(_ENCODER.encode(SnapshotEnd(self.count)))
        with self.storage.convert_errors():
            self.storage.write_all(self.handle, end)
            self.storage.fsync(self.handle)
            self.close()
            self.storage.publish(self.path)
        self.storage.rewrite_log(self.metadata, state)

    def close(self):
        """Close the temporary file; without `finish` it is never read."""
        if self.handle is not None:
            os.close(self.handle)
            self.handle = None


def open_temporary(path: str) -> int:
    """Open the temporary file that will replace `path`."""
    flags = os.O_WRONLY | os.O_CREAT | os.O_TRUNC
    return os.open(path + ".new", flags, 0o600)


def split_records(data: bytes):
    """Split a file into records.

    Returns
    -------
    records, valid : list of bytes, int
        `valid` is the length in bytes of the valid records.

    Raises
    ------
    StorageError
        If a damaged record is followed by a valid one.
    """
    records = []
    offset = 0
    while offset + HEADER.size <= len(data):
        length, checksum = HEADER.unpack_from(data, offset)
        body = data[offset + HEADER.size : offset + HEADER.size + length]
        # No record is empty, and the checksum of nothing is 0: a header of
        # zeros is the end of a file that a lost write only made longer.
        if not length or len(body) < length or zlib.crc32(body) != checksum:
            _raise_if_not_torn_tail(data, offset, length)
            break
        records.append(body)
        offset += HEADER.size + length
    return records, offset


def replay_records(records, metadata: messages.SnapshotMetadata):
    """Rebuild the hard state and the log from records.

    Returns
    -------
    hard, log : HardState, tuple of Entry

    Raises
    ------
    StorageError
        If entries are missing, or a record is of a newer build.
    """
    hard = messages.HardState(0, "")
    log: list[messages.Entry] = []
    for record in records:
        tag, body = _RECORD_DECODER.decode(record)
        if tag == HardRecord.__name__:
            hard = messages.HardState(*layouts.decode(_HARD_DECODER, body))
            continue
        if tag != AppendRecord.__name__:
            raise StorageError(f"log has a {tag}, of a newer build")
        entries = layouts.decode(_APPEND_DECODER, body).entries
        if entries:
            first = entries[0].index
            while log and log[-1].index >= first:
                log.pop()
            log.extend(entries)
    kept = tuple(e for e in log if e.index > metadata.index)
    if kept and kept[0].index != metadata.index + 1:
        raise StorageError(
            f"log starts at index {kept[0].index}, "
            f"but the snapshot ends at {metadata.index}"
        )
    if any(e.index != kept[0].index + i for i, e in enumerate(kept)):
        raise StorageError("entries in the middle of the log are missing")
    return hard, kept


def diff_log(old, new):
    """Return the entries that turn the old log into the new one.

    Returns
    -------
    tuple of Entry or None
        Entries from the first difference on, None if there is none. The logs
        are immutable and share their common prefix.
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
    appended = new_part[common:]
    if appended:
        return appended
    if start + common - 1 < old_last and new.snapshot_index < old_last:
        raise StorageError("log became shorter without new entries")
    return None


def check_writable(folder: str, write=os.write):
    """Write, sync and remove a file.

    Raises
    ------
    OSError
        If the disk refuses that, for example because it is full.
    """
    os.makedirs(folder, mode=0o700, exist_ok=True)
    storage = Storage(folder, write=write)
    path = os.path.join(folder, PROBE_FILE)
    handle = open_temporary(path)
    try:
        storage.write_all(handle, bytes(PROBE_BYTES))
        storage.fsync(handle)
    finally:
        os.close(handle)
        os.unlink(path + ".new")


def wait_until_writable(
    folder: str, is_stopped, write=os.write, sleep=time.sleep
) -> bool:
    """Wait, before a member starts, until its disk takes writes.

    A process that ends on a full disk and is started again at once ends again;
    supervisors give up on it, or wait ever longer, also after there is room.

    Parameters
    ----------
    folder : str
    is_stopped : callable
        ``is_stopped()`` tells whether to wait no longer.
    write, sleep : callable
        Tests replace these.

    Returns
    -------
    bool
        False if told to stop.

    Raises
    ------
    OSError
        If the folder cannot be used for a reason that does not pass.
    """
    attempts = 0
    while not is_stopped():
        try:
            check_writable(folder, write)
        except OSError as error:
            if error.errno not in PASSING_ERRORS:
                raise
            if attempts % DISK_LOG_ATTEMPTS == 0:
                LOGGER.error(
                    "disk refuses writes, waiting before the start",
                    extra={"folder": folder, "why": str(error)},
                )
            attempts += 1
            sleep(DISK_RETRY_S)
            continue
        if attempts:
            LOGGER.info(
                "disk takes writes again",
                extra={"folder": folder, "attempts": attempts + 1},
            )
        return True
    return False


def load_identity(folder: str) -> Identity | None:
    """Return the identity of a data folder, None if it has none."""
    data = _read_file(os.path.join(folder, IDENTITY_FILE))
    if not data:
        return None
    with _reject_unreadable(f"identity in {folder}"):
        return msgspec.json.decode(data, type=Identity)


def create_identity(folder: str, group: str, vm_id: str) -> Identity:
    """Durably write an identity with a new member id to an empty folder."""
    os.makedirs(folder, mode=0o700, exist_ok=True)
    if os.path.exists(os.path.join(folder, LOG_FILE)):
        raise StorageError(f"{folder} contains a log but no identity file")
    identity = Identity(group, f"{vm_id}#{uuid.uuid4().hex[:12]}")
    storage = Storage(folder)
    storage._replace(IDENTITY_FILE, msgspec.json.encode(identity))
    return identity


def _raise_if_not_torn_tail(data: bytes, offset: int, length: int):
    """Raise if the damaged record at `offset` is followed by a valid one."""
    following = (offset + HEADER.size + length,)
    if not length:
        # The length of the next record itself begins with zero bytes.
        zeros = len(data) - offset - len(data[offset:].lstrip(b"\0"))
        end = offset + zeros
        following = range(max(offset, end - HEADER.size), end + 1)
    if any(_has_valid_record(data, start) for start in following):
        raise StorageError(
            f"record at byte {offset} is damaged, but followed by a valid one"
        )


def _has_valid_record(data: bytes, offset: int) -> bool:
    if offset + HEADER.size > len(data):
        return False
    length, checksum = HEADER.unpack_from(data, offset)
    start = offset + HEADER.size
    body = data[start : start + length]
    if not length or len(body) < length:
        return False
    return zlib.crc32(body) == checksum


def _encode_record(record) -> bytes:
    body = _ENCODER.encode(record)
    return _frame(_ENCODER.encode((type(record).__name__, msgspec.Raw(body))))


def _frame(body: bytes) -> bytes:
    return HEADER.pack(len(body), zlib.crc32(body)) + body


@contextlib.contextmanager
def _reject_unreadable(what: str):
    """Convert the errors of decoders to a `StorageError`."""
    try:
        yield
    except (msgspec.MsgspecError, RecursionError) as error:
        raise StorageError(f"{what} cannot be read: {error}") from error


def _read_file(path: str) -> bytes:
    try:
        with open(path, "rb") as handle:
            return handle.read()
    except FileNotFoundError:
        return b""
