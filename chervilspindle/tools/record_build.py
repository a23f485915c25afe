"""Records what the build on the path writes, to be read by later builds.

Run in a checkout of that build:

    PYTHONPATH=. python -P PATH/record_build.py >PATH/builds/COMMIT.json

All rows get sample values by the types of their fields. Only names that each
recorded build has are used here.
"""

import enum
import json
import os
import sys
import tempfile
import types
import typing

import msgspec

from chervilspindle.control import raft
from chervilspindle.control import raft_messages
from chervilspindle.control import state as state_module
from chervilspindle.control import storage as storage_module
from chervilspindle.core import rows
from chervilspindle.wire import messages

SCALAR_BY_TYPE = {
    int: 7,
    float: 2.5,
    str: "name",
    bytes: b"data",
    bool: True,
    msgspec.Raw: msgspec.Raw(b"\x01"),
}


def build_sample(kind):
    """Return a value of a type, with two elements in each sequence."""
    if kind in SCALAR_BY_TYPE:
        return SCALAR_BY_TYPE[kind]
    if isinstance(kind, types.UnionType):
        return build_sample(typing.get_args(kind)[0])
    if typing.get_origin(kind) is tuple:
        args = typing.get_args(kind)
        if args[-1] is Ellipsis:
            return (build_sample(args[0]),) * 2
        return tuple(build_sample(arg) for arg in args)
    if isinstance(kind, type) and issubclass(kind, enum.Enum):
        return next(iter(kind))
    hints = typing.get_type_hints(kind)
    return kind(*(build_sample(hints[name]) for name in kind._fields))


def build_commands():
    """Return commands that fill each table."""
    customer = rows.Customer("c", "p", "salt", "digest")
    plan = rows.Plan("p", ("desk-*",), 0.5, ("urgent",), 3.0)
    vm = rows.Vm("a@1", "a", "z1", "127.0.0.1:1", 1, "ready")
    holding = rows.Holding(1, 0, 65536)
    endpoint = rows.Endpoint(
        "e", "desk", "127.0.0.1:2", "z1", 4, 9, "ready", (holding,), 5, 6
    )
    lost = endpoint._replace(endpoint_id="f", state="lost")
    claim = rows.Claim("c/k", "digest", "r1", "claimed", b"null", 1000)
    commands = [
        state_module.ApplyLists("change", "digest", -1, (customer,), (plan,)),
        state_module.RegisterVm(vm),
        state_module.ReportEndpoints((endpoint, lost), 2000),
        state_module.Assign((state_module.Assignment("e", "a@1", 0),)),
        state_module.ClaimCommand(claim),
        state_module.ResolveClaim("c/k", "r1", "done", b"[]"),
        state_module.ApplyDocument(rows.StoredDocument(3, b'{"a": 1}')),
    ]
    if hasattr(state_module, "ReportCrashes"):
        record = rows.CrashRecord("content", ("e@5",), 3000)
        commands.append(state_module.ReportCrashes(record))
    if hasattr(state_module, "EvacuateZone"):
        evacuation = rows.ZoneEvacuation("z1", 4000)
        commands.append(state_module.EvacuateZone(evacuation))
    return commands


def apply_all(commands, tables, first_index):
    """Apply each command as the entry of its index."""
    for index, command in enumerate(commands, first_index):
        tables = tables._replace(version=index)
        tables = state_module.apply_command(command, tables).state
    return tables


def record_disk():
    """Return the files of a data folder, and its tables as a snapshot.

    The folder has a snapshot of half of the commands, and a log of all.
    """
    commands = build_commands()
    member = ("a#1", "127.0.0.1:1", True)
    data = [raft_messages.encode_members((member,))]
    data += [state_module.encode_batch((c,)) for c in commands]
    log = tuple(
        raft_messages.Entry(i, 1, raft.DATA if i > 1 else raft.CONFIG, d)
        for i, d in enumerate(data, 1)
    )
    half = len(commands) // 2
    tables = apply_all(commands[:half], state_module.EMPTY_STATE, 2)
    metadata = raft_messages.SnapshotMetadata(half + 1, 1, (member,))
    parts = tuple(state_module.encode_snapshot_parts(tables))
    with tempfile.TemporaryDirectory() as folder:
        identity = storage_module.create_identity(folder, "routing", "a")
        storage = storage_module.Storage(folder)
        storage.recover()
        empty = raft.build_state(
            identity.member_id,
            raft_messages.HardState(0, ""),
            (),
            storage_module.EMPTY_SNAPSHOT.mark,
            0.0,
            0.5,
        )
        first = empty._replace(term=1, voted_for="a#1", log=log[: half + 1])
        storage.persist(empty, first)
        storage.save_snapshot(
            storage_module.SnapshotFile(metadata, parts), first
        )
        kept = first._replace(log=(), snapshot_index=half + 1, snapshot_term=1)
        storage.persist(kept, kept._replace(log=log[half + 1 :]))
        storage.close()
        files = {}
        for name in sorted(os.listdir(folder)):
            with open(os.path.join(folder, name), "rb") as handle:
                files[name] = handle.read().hex()
    after = apply_all(commands[half:], tables, half + 2)
    return files, state_module.encode_snapshot(after).hex()


def record_build():
    """Return all records as an object for JSON."""
    frames = {
        name: messages.encode_frame(build_sample(cls), 5, False).hex()
        for name, cls in messages.MESSAGE_BY_NAME.items()
    }
    envelopes = {
        name: raft_messages.encode_envelope(
            "routing", "a#1", build_sample(cls)
        ).hex()
        for name, cls in raft_messages.MESSAGE_BY_NAME.items()
    }
    batches = {
        name: state_module.encode_batch((build_sample(cls),)).hex()
        for name, cls in state_module.COMMAND_BY_NAME.items()
    }
    files, tables = record_disk()
    return {
        "frames": frames,
        "delta": messages.encode_delta(build_sample(messages.Delta)).hex(),
        "envelopes": envelopes,
        "batches": batches,
        "disk": files,
        "tables": tables,
    }


if __name__ == "__main__":
    json.dump(record_build(), sys.stdout, indent=1, sort_keys=True)
    sys.stdout.write("\n")
