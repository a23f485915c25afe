"""Tests of durable storage with torn, damaged and failed writes."""

import errno
import os

import hypothesis
from hypothesis import strategies
import msgspec
import pytest

from chervilspindle.control import raft
from chervilspindle.control import raft_messages as messages
from chervilspindle.control import storage as storage_module


def build_state(count=0, term=1):
    state = raft.build_state(
        "vm#1",
        messages.HardState(term, ""),
        (),
        messages.SnapshotMetadata(0, 0, ()),
        0.0,
        0.5,
    )
    log = tuple(
        messages.Entry(i + 1, term, raft.DATA, b"%d" % i) for i in range(count)
    )
    return state._replace(log=log)


def open_storage(folder, **fields):
    storage = storage_module.Storage(str(folder), **fields)
    return storage, storage.recover()


def write(folder, *states):
    storage, _ = open_storage(folder)
    previous = build_state(term=0)
    for state in states:
        storage.persist(previous, state)
        previous = state
    storage.close()


def test_written_state_is_recovered(tmp_path):
    state = build_state(5, term=3)._replace(voted_for="vm#2")
    write(tmp_path, state)
    _, recovered = open_storage(tmp_path)
    assert recovered.hard == (3, "vm#2")
    assert recovered.log == state.log


def test_replaced_suffix_is_recovered(tmp_path):
    first = build_state(5)
    replaced = first.log[:2] + (messages.Entry(3, 2, raft.DATA, b"new"),)
    write(tmp_path, first, first._replace(log=replaced))
    _, recovered = open_storage(tmp_path)
    assert recovered.log == replaced


@hypothesis.given(cut=strategies.integers(1, 400))
@hypothesis.settings(derandomize=True, max_examples=60, deadline=None)
def test_torn_tail_keeps_all_complete_records(tmp_path_factory, cut):
    folder = tmp_path_factory.mktemp("torn")
    states = [build_state(n) for n in range(1, 8)]
    write(folder, *states)
    path = folder / "log"
    size = path.stat().st_size
    os.truncate(path, max(0, size - cut))
    storage, recovered = open_storage(folder)
    assert recovered.log == states[-1].log[: len(recovered.log)]
    storage.persist(
        build_state(len(recovered.log)), build_state(len(recovered.log) + 1)
    )
    storage.close()
    _, reopened = open_storage(folder)
    assert len(reopened.log) == len(recovered.log) + 1


def write_log(folder, data):
    folder.mkdir()
    (folder / "log").write_bytes(data)


def test_a_log_that_ends_in_zeros_keeps_every_record(tmp_path):
    """Guards against a torn write that only made the file longer."""
    states = [build_state(n) for n in range(1, 4)]
    write(tmp_path, *states)
    whole = (tmp_path / "log").read_bytes()
    for zeros in (1, 7, 8, 9, 16, 4096):
        folder = tmp_path / f"zeros-{zeros}"
        write_log(folder, whole + bytes(zeros))
        storage, recovered = open_storage(folder)
        assert recovered.log == states[-1].log
        assert recovered.torn_bytes == zeros
        storage.persist(states[-1], build_state(4))
        storage.close()
        _, reopened = open_storage(folder)
        assert len(reopened.log) == 4


@pytest.mark.parametrize("fill", ("nothing", "zeros"))
def test_power_loss_at_each_byte_of_the_last_write(tmp_path, fill):
    """The last write is a vote with an entry, the one before was synced."""
    states = [build_state(n) for n in range(1, 4)]
    write(tmp_path, *states)
    synced = (tmp_path / "log").stat().st_size
    storage, _ = open_storage(tmp_path)
    last = build_state(4)._replace(term=2, voted_for="vm#2")
    storage.persist(states[-1], last)
    storage.close()
    whole = (tmp_path / "log").read_bytes()
    for size in range(synced, len(whole)):
        data = whole[:size]
        if fill == "zeros":
            data = data.ljust(len(whole), b"\0")
        folder = tmp_path / f"cut-{size}"
        write_log(folder, data)
        storage, recovered = open_storage(folder)
        storage.close()
        assert recovered.log[:3] == states[-1].log, size
        assert recovered.log in (states[-1].log, last.log), size
        assert recovered.hard in ((1, ""), (2, "vm#2")), size


def test_damage_before_the_last_record_is_an_error(tmp_path):
    write(tmp_path, *(build_state(n) for n in range(1, 8)))
    path = tmp_path / "log"
    data = bytearray(path.read_bytes())
    data[12] ^= 0xFF
    path.write_bytes(data)
    with pytest.raises(storage_module.StorageError):
        open_storage(tmp_path)


def test_zeros_before_the_last_record_are_an_error(tmp_path):
    """Acknowledged records behind the zeros would be lost."""
    write(tmp_path, *(build_state(n) for n in range(1, 8)))
    path = tmp_path / "log"
    data = path.read_bytes()
    second = storage_module.HEADER.size + len(
        storage_module.split_records(data)[0][0]
    )
    for zeros in (1, 2, 3, 7, 8, 9, 30, 90):
        path.write_bytes(data[:second] + bytes(zeros) + data[second:])
        with pytest.raises(storage_module.StorageError):
            open_storage(tmp_path)


def test_damaged_snapshot_is_an_error(tmp_path):
    storage, _ = open_storage(tmp_path)
    state = build_state(5)._replace(commit_index=5)
    metadata = messages.SnapshotMetadata(5, 1, ())
    storage.save_snapshot(
        storage_module.SnapshotFile(metadata, (b"x" * 50,)), state
    )
    storage.close()
    path = tmp_path / "snapshot"
    path.write_bytes(path.read_bytes()[:-1] + b"?")
    with pytest.raises(storage_module.StorageError):
        open_storage(tmp_path)


def test_snapshot_and_log_after_it_are_recovered(tmp_path):
    storage, _ = open_storage(tmp_path)
    state = build_state(8)._replace(commit_index=5)
    storage.persist(build_state(term=0), state)
    compacted = raft.compact(state, 5)
    metadata = messages.SnapshotMetadata(5, 1, ())
    storage.save_snapshot(
        storage_module.SnapshotFile(metadata, (b"ta", b"bles")), compacted
    )
    storage.close()
    _, recovered = open_storage(tmp_path)
    assert recovered.snapshot.parts == (b"ta", b"bles")
    assert [e.index for e in recovered.log] == [6, 7, 8]


def test_failed_write_makes_the_storage_unusable(tmp_path):
    storage, _ = open_storage(tmp_path)

    def fail(handle):
        raise OSError(28, "No space left on device")

    storage.fsync = fail
    for _ in range(2):
        with pytest.raises(storage_module.StorageError):
            storage.persist(build_state(), build_state(1))
        storage.fsync = os.fsync


@pytest.mark.parametrize("failing", range(1, 7))
def test_a_disk_that_fails_while_the_log_is_replaced_is_not_written_to_again(
    tmp_path, failing
):
    """Guards against a member that goes on after an operation that failed."""
    storage, _ = open_storage(tmp_path)
    state = build_state(8)._replace(commit_index=5)
    storage.persist(build_state(term=0), state)
    writer = begin_snapshot(storage, state)
    calls = []

    def fail(handle):
        calls.append(handle)
        if len(calls) == failing:
            raise OSError(28, "No space left on device")

    storage.fsync = fail
    with pytest.raises(storage_module.StorageError):
        writer.finish(raft.compact(state, 5))
    with pytest.raises(storage_module.StorageError):
        storage.persist(state, build_state(9))


def test_a_disk_that_takes_no_bytes_is_not_tried_without_end(tmp_path):
    storage, _ = open_storage(tmp_path)
    storage.write = lambda handle, data: 0
    with pytest.raises(storage_module.StorageError):
        storage.persist(build_state(), build_state(1))


class FullDisk:
    """Refuses writes until it has been waited for some times."""

    def __init__(self, waits, code=errno.ENOSPC):
        self.waits = waits
        self.code = code
        self.waited_s = 0.0

    def write(self, handle, data):
        if self.waits:
            raise OSError(self.code, os.strerror(self.code))
        return len(data)

    def sleep(self, seconds):
        self.waits -= 1
        self.waited_s += seconds


def wait_for(disk, folder, is_stopped=lambda: False):
    return storage_module.wait_until_writable(
        str(folder), is_stopped, disk.write, disk.sleep
    )


def test_a_member_starts_once_its_full_disk_has_room(tmp_path):
    """Guards against a member that its supervisor gives up on."""
    disk = FullDisk(7)
    folder = tmp_path / "data"
    assert wait_for(disk, folder)
    assert disk.waited_s == pytest.approx(7 * storage_module.DISK_RETRY_S)
    assert list(folder.iterdir()) == []


def test_a_member_that_waits_for_its_disk_can_be_stopped(tmp_path):
    disk = FullDisk(99)
    assert not wait_for(disk, tmp_path, lambda: disk.waits < 97)
    assert list(tmp_path.iterdir()) == []


def test_a_long_wait_for_a_disk_is_logged_again(tmp_path, caplog):
    waits = 2 * storage_module.DISK_LOG_ATTEMPTS + 1
    assert wait_for(FullDisk(waits), tmp_path)
    refusals = [r for r in caplog.records if "refuses" in r.getMessage()]
    assert len(refusals) == 3


def test_a_folder_that_may_not_be_written_is_not_waited_for(tmp_path):
    with pytest.raises(PermissionError):
        wait_for(FullDisk(99, errno.EACCES), tmp_path)


FILES = (
    storage_module.LOG_FILE,
    storage_module.SNAPSHOT_FILE,
    storage_module.IDENTITY_FILE,
)
ROWS = strategies.recursive(
    strategies.one_of(
        strategies.none(),
        strategies.integers(-(2**63), 2**63),
        strategies.binary(max_size=8),
        strategies.sampled_from(("HardRecord", "AppendRecord", "SnapshotEnd")),
    ),
    lambda inner: strategies.lists(inner, max_size=6),
    max_leaves=12,
)
FRAMED = strategies.lists(ROWS.map(msgspec.msgpack.encode), max_size=4).map(
    lambda bodies: b"".join(map(storage_module._frame, bodies))
)


def open_folder(folder):
    """Open a data folder as a start does; return its log."""
    storage_module.load_identity(str(folder))
    storage, recovered = open_storage(folder)
    storage.close()
    return recovered.log


def assert_opens_or_is_refused(folder):
    """Open a folder; nothing but a `StorageError` may be raised."""
    try:
        log = open_folder(folder)
    except storage_module.StorageError:
        return
    first = log[0].index if log else 0
    assert [e.index for e in log] == list(range(first, first + len(log)))


@hypothesis.settings(max_examples=600, derandomize=True, deadline=None)
@hypothesis.given(
    strategies.sampled_from(FILES),
    strategies.one_of(strategies.binary(max_size=64), FRAMED),
)
@hypothesis.example(storage_module.IDENTITY_FILE, b"\xff")
@hypothesis.example(storage_module.LOG_FILE, storage_module._frame(b"\xff"))
@hypothesis.example(storage_module.IDENTITY_FILE, b"[" * 100_000)
def test_a_folder_with_any_file_opens_or_is_refused(
    tmp_path_factory, name, content
):
    folder = tmp_path_factory.mktemp("any")
    (folder / name).write_bytes(content)
    assert_opens_or_is_refused(folder)


@hypothesis.settings(max_examples=600, derandomize=True, deadline=None)
@hypothesis.given(
    strategies.sampled_from(FILES),
    strategies.integers(0, 400),
    strategies.integers(0, 40),
    strategies.binary(max_size=12),
)
def test_a_folder_with_a_damaged_file_opens_or_is_refused(
    tmp_path_factory, name, start, removed, added
):
    folder = tmp_path_factory.mktemp("damaged")
    storage_module.create_identity(str(folder), "group", "vm")
    storage, _ = open_storage(folder)
    state = build_state(5)
    storage.persist(build_state(term=0), state)
    mark = messages.SnapshotMetadata(3, 1, ())
    snapshot = storage_module.SnapshotFile(mark, (b"part", b"part"))
    storage.save_snapshot(snapshot, state)
    storage.close()
    path = folder / name
    content = path.read_bytes()
    place = start % len(content)
    path.write_bytes(content[:place] + added + content[place + removed :])
    assert_opens_or_is_refused(folder)


def test_short_writes_are_continued(tmp_path):
    storage, _ = open_storage(tmp_path)
    storage.write = lambda handle, data: os.write(handle, data[:3])
    storage.persist(build_state(term=0), build_state(4))
    storage.close()
    _, recovered = open_storage(tmp_path)
    assert len(recovered.log) == 4


def test_each_data_folder_has_its_own_member_id(tmp_path):
    first = storage_module.create_identity(str(tmp_path / "a"), "g", "vm")
    second = storage_module.create_identity(str(tmp_path / "b"), "g", "vm")
    assert first.member_id != second.member_id
    assert storage_module.load_identity(str(tmp_path / "a")) == first


def test_log_without_identity_is_an_error(tmp_path):
    write(tmp_path, build_state(2))
    with pytest.raises(storage_module.StorageError):
        storage_module.create_identity(str(tmp_path), "g", "vm")


def begin_snapshot(storage, state, index=5):
    metadata = messages.SnapshotMetadata(index, 1, ())
    writer = storage.begin_snapshot(metadata)
    writer.add((b"first", b"second"))
    return writer


def test_unfinished_snapshot_is_ignored(tmp_path):
    storage, _ = open_storage(tmp_path)
    state = build_state(8)._replace(commit_index=5)
    storage.persist(build_state(term=0), state)
    begin_snapshot(storage, state)
    # The VM crashes after an entry was appended during the snapshot.
    longer = build_state(9)._replace(commit_index=5)
    storage.persist(state, longer)
    storage.close()
    _, recovered = open_storage(tmp_path)
    assert recovered.snapshot == storage_module.EMPTY_SNAPSHOT
    assert len(recovered.log) == 9


def test_entries_appended_during_a_snapshot_are_recovered(tmp_path):
    storage, _ = open_storage(tmp_path)
    state = build_state(8)._replace(commit_index=5)
    storage.persist(build_state(term=0), state)
    writer = begin_snapshot(storage, state)
    longer = build_state(9)._replace(commit_index=9)
    storage.persist(state, longer)
    writer.finish(raft.compact(longer, 5))
    storage.close()
    _, recovered = open_storage(tmp_path)
    assert recovered.snapshot.parts == (b"first", b"second")
    assert [e.index for e in recovered.log] == [6, 7, 8, 9]


def test_truncated_snapshot_is_an_error(tmp_path):
    storage, _ = open_storage(tmp_path)
    state = build_state(8)._replace(commit_index=5)
    storage.persist(build_state(term=0), state)
    begin_snapshot(storage, state).finish(raft.compact(state, 5))
    storage.close()
    path = tmp_path / "snapshot"
    data = path.read_bytes()
    records, _ = storage_module.split_records(data)
    last = storage_module.HEADER.size + len(records[-1])
    path.write_bytes(data[:-last])
    with pytest.raises(storage_module.StorageError):
        open_storage(tmp_path)


def write_records(folder, *records):
    """Write a log of records, each a tag and fields."""
    encode = storage_module._ENCODER.encode
    data = b"".join(
        storage_module._frame(encode((tag, fields))) for tag, fields in records
    )
    (folder / storage_module.LOG_FILE).write_bytes(data)


def test_surplus_fields_of_stored_records_are_left_out(tmp_path):
    entry = (1, 3, raft.DATA, b"data", "surplus")
    write_records(
        tmp_path,
        ("HardRecord", (3, "vm#1", "surplus")),
        ("AppendRecord", ((entry,), "surplus")),
    )
    storage, recovered = open_storage(tmp_path)
    storage.close()
    assert recovered.hard == messages.HardState(3, "vm#1")
    assert recovered.log == (messages.Entry(*entry[:4]),)


def test_a_record_of_a_newer_build_is_not_taken_for_entries(tmp_path):
    write_records(tmp_path, ("NewerRecord", ((),)))
    with pytest.raises(storage_module.StorageError, match="NewerRecord"):
        open_storage(tmp_path)
