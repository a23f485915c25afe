"""Measures the cost slopes from which docs/CAPACITY.md is calculated.

Each slope is processor time, elapsed time or bytes as a function of one
size. The production code runs in this process; only its external interfaces
are replaced by test doubles. Writes one JSON line per point to the output
file and prints a table of the fitted slopes.
"""

import itertools
import json
import os
import statistics
import sys
import tempfile
import time
import tracemalloc

import defopt
import immutables
import msgspec

from chervilspindle.control import changes
from chervilspindle.control import node
from chervilspindle.control import placement
from chervilspindle.control import raft
from chervilspindle.control import raft_messages
from chervilspindle.control import state as state_module
from chervilspindle.control import storage as storage_module
from chervilspindle.core import rows
from chervilspindle.query import directory as directory_module
from chervilspindle.wire import messages
from chervilspindle.wire import peer

REPEATS = 5


def measure_us(function, count):
    """Return the median processor time of one call, in microseconds."""
    samples = []
    for _ in range(REPEATS):
        started = time.process_time()
        for _ in range(count):
            function()
        samples.append((time.process_time() - started) / count * 1e6)
    return statistics.median(samples)


def fit_slope(points):
    """Return slope and intercept of the least-squares line."""
    xs, ys = zip(*points)
    slope, intercept = statistics.linear_regression(xs, ys)
    return slope, intercept


def build_endpoints(count):
    """Build endpoint rows, two per service."""
    return tuple(
        rows.Endpoint(
            f"service-{n // 2:05d}.{n % 2}",
            f"service-{n // 2:05d}",
            f"10.0.{n // 250}.{n % 250}:8000",
            f"zone-{n % 8}",
            2,
            60,
            "ready",
            (rows.Holding(1, 0, rows.KEY_SPACE),),
            1796338148071,
            n,
        )
        for n in range(count)
    )


def build_vms(count):
    """Build one VM row (session) per entry."""
    return tuple(
        rows.Vm(
            f"entry-{n}@1796338148071",
            f"entry-{n}",
            f"zone-{n % 8}",
            f"10.1.{n // 250}.{n % 250}:9000",
            1796338148071,
            "ready",
        )
        for n in range(count)
    )


def build_tables(vms, endpoints):
    """Build replicated tables in which every endpoint has an owner."""
    state = state_module.EMPTY_STATE._replace(version=1)
    for vm in build_vms(vms):
        state = state_module.apply_command(
            state_module.RegisterVm(vm), state
        ).state
    report = state_module.ReportEndpoints(build_endpoints(endpoints), 0)
    state = state_module.apply_command(report, state).state
    index = placement.PlacementIndex(state)
    assignments = placement.plan_assignments(state, index)
    assign = state_module.Assign(assignments)
    return state_module.apply_command(assign, state).state


def measure_placement(sizes):
    """Measure a placement pass of the leader that has nothing to assign."""
    for vms, endpoints in sizes:
        state = build_tables(vms, endpoints)
        index = placement.PlacementIndex(state)
        cost = measure_us(lambda: placement.plan_assignments(state, index), 3)
        yield endpoints, cost


def measure_vm_loss(sizes):
    """Measure the removal of one session and the placement pass after it."""
    for vms, endpoints in sizes:
        yield endpoints, _measure_loss_us(vms, endpoints, 1)


def measure_zone_loss(sizes):
    """Measure the removal of an eighth of all sessions, and the placement."""
    for vms, endpoints in sizes:
        yield endpoints, _measure_loss_us(vms, endpoints, vms // 8)


def _measure_loss_us(vms, endpoints, lost_count):
    state = build_tables(vms, endpoints)
    sessions = tuple(state.vm_by_session)[:lost_count]
    command = state_module.RemoveVms(sessions)
    samples = []
    for _ in range(REPEATS):
        index = placement.PlacementIndex(state)
        started = time.process_time()
        outcome = state_module.apply_command(command, state)
        index.update(outcome.state, outcome.changes)
        assignments = placement.plan_assignments(outcome.state, index)
        samples.append((time.process_time() - started) * 1e6)
        assert assignments
    return statistics.median(samples)


def measure_heartbeat(sizes):
    """Measure a heartbeat at the leader: cached delta, tagged frames."""
    for vms, endpoints in sizes:
        state = build_tables(vms, endpoints)
        feed = changes.ChangeFeed()
        vm = next(iter(state.vm_by_session.values()))
        heartbeat = messages.Heartbeat(vm, state.version, 1, ())
        data = messages.encode_frame(heartbeat, 1, False)

        def answer_heartbeat():
            peer._compute_tag(b"k" * 32, 1, data)
            messages.decode_frame(data)
            delta = feed.get_delta(state, state.version)
            reply = messages.HeartbeatReply(3000, delta)
            out = messages.encode_frame(reply, 1, True)
            peer._compute_tag(b"k" * 32, 1, out)

        yield vms, measure_us(answer_heartbeat, 300)


def measure_directory(sizes):
    """Measure how an entry applies the delta of one changed endpoint."""
    for vms, endpoints in sizes:
        state = build_tables(vms, endpoints)
        directory = directory_module.Directory()
        directory.apply_delta(changes.build_full_delta(state))
        directory.plan_query(("service-00000",))
        row = next(iter(state.endpoint_by_id.values()))
        delta = messages.Delta(
            state.version + 1, False, None, (), (row,), (), (), ()
        )

        def apply_delta():
            directory.version = 0
            directory.apply_delta(delta)

        yield endpoints, measure_us(apply_delta, 5)


def measure_full_sync(sizes):
    """Measure the bytes of the full delta that a new entry receives."""
    for vms, endpoints in sizes:
        state = build_tables(vms, endpoints)
        delta = changes.build_full_delta(state)
        yield endpoints, len(msgspec.msgpack.encode(delta))


def measure_commit(sizes):
    """Measure propose, write with fsync and apply of a log entry, by batch."""
    for batch in sizes:
        with tempfile.TemporaryDirectory(dir=os.getcwd()) as folder:
            storage = storage_module.Storage(folder)
            storage.recover()
            yield batch, _measure_commit_us(storage, batch)


def _measure_commit_us(storage, batch):
    member = ("a#1", "10.0.0.1:1", True)
    data = raft_messages.encode_members((member,))
    entry = raft_messages.Entry(1, 1, raft.CONFIG, data)
    state = raft.build_state(
        "a#1",
        raft_messages.HardState(1, ""),
        (entry,),
        raft_messages.SnapshotMetadata(0, 0, ()),
        0.0,
        0.5,
    )
    state = raft.tick(state, 10000.0, 0.5).state
    claim = rows.Claim("customer/key", "d" * 32, "r" * 40, "claimed", b"", 1)
    commands = [state_module.ClaimCommand(claim)] * batch
    current_state = [state, state]

    def commit():
        batch_data = state_module.encode_batch(commands)
        step, _ = raft.propose(current_state[0], batch_data, 10001.0)
        storage.persist(current_state[0], step.state)
        for command in state_module.decode_batch(batch_data):
            state_module.apply_command(command, state_module.EMPTY_STATE)
        current_state[0] = step.state

    return measure_us(commit, 30)


def measure_fan_out(sizes):
    """Measure a sub-query message encoded, tagged, verified and decoded."""
    for parts in sizes:
        message = messages.SubQuery(
            "entry-1~" + "a" * 32,
            1,
            "customer",
            0.5,
            0,
            300.0,
            7,
            b'{"text": "canoe"}',
            tuple(
                messages.Part(n, f"service-{n:05d}.0", 3, 0, 65536)
                for n in range(parts)
            ),
        )

        def send_and_receive():
            data = messages.encode_frame(message, 0, False)
            peer._compute_tag(b"k" * 32, 1, data)
            peer._compute_tag(b"k" * 32, 1, data)
            messages.decode_frame(data)

        yield parts, measure_us(send_and_receive, 200)


def measure_memory(sizes):
    """Measure the resident memory of one entry's directory, in bytes."""
    for vms, endpoints in sizes:
        state = build_tables(vms, endpoints)
        data = msgspec.msgpack.encode(changes.build_full_delta(state))
        del state
        before = _read_resident_bytes()
        directories = []
        for _ in range(3):
            directory = directory_module.Directory()
            delta = msgspec.msgpack.decode(data, type=messages.Delta)
            directory.apply_delta(delta)
            directories.append(directory)
        yield endpoints, (_read_resident_bytes() - before) / len(directories)


def build_lists_command(number, names):
    """Build the command that sets the lists, with one row per customer."""
    plan = rows.Plan("plan", ("service-*",), 0.5, ("search",))
    customers = tuple(
        rows.Customer(name, "plan", "0" * 24, "f" * 64) for name in names
    )
    return state_module.ApplyLists(
        f"change-{number}", "digest", -1, customers, (plan,)
    )


def measure_lists_delta(sizes):
    """Measure the delta bytes sent to each VM when one customer is added."""
    for count in sizes:
        names = [f"customer-{n:06d}" for n in range(count)]
        state = state_module.EMPTY_STATE._replace(version=1)
        first = build_lists_command(1, names)
        state = state_module.apply_command(first, state).state
        feed = changes.ChangeFeed()
        feed.reset(1)
        second = build_lists_command(2, [*names, "customer-new"])
        outcome = state_module.apply_command(second, state._replace(version=2))
        feed.record(2, outcome.changes)
        yield count, len(feed.get_delta(outcome.state, 1))


def measure_snapshot(sizes):
    """Measure the encoding of a snapshot, taken every so many log entries."""
    for vms, endpoints in sizes:
        state = build_tables(vms, endpoints)
        yield endpoints, measure_us(
            lambda: state_module.encode_snapshot(state), 3
        )


def measure_snapshot_blocking(sizes):
    """Measure the longest elapsed us a snapshot write blocks the loop."""
    for claims in sizes:
        state = build_tables(3900, 21000)._replace(
            claim_by_id=build_claims(claims).claim_by_id
        )
        with tempfile.TemporaryDirectory() as folder:
            storage = storage_module.Storage(folder)
            storage.recover()
            writer = storage.begin_snapshot(
                raft_messages.SnapshotMetadata(1, 1, ())
            )
            source = state_module.encode_snapshot_parts(state)
            longest = 0.0
            while True:
                started = time.perf_counter()
                parts = tuple(itertools.islice(source, node.PARTS_PER_SLICE))
                if not parts:
                    break
                writer.add(parts)
                longest = max(longest, time.perf_counter() - started)
            writer.close()
            storage.close()
        yield claims, longest * 1e6


def build_claims(count):
    """Build tables that contain ``count`` claims with recorded outcomes."""
    claims = {}
    for number in range(count):
        claim = rows.Claim(
            f"customer-{number % 100}/key-{number:09d}",
            f"{number:032x}",
            f"entry-1~{number:032x}",
            "done",
            b"x" * 100 + str(number).encode(),
            number,
        )
        claims[claim.claim_id] = claim
    return state_module.EMPTY_STATE._replace(
        claim_by_id=immutables.Map(claims)
    )


def measure_claim_memory(sizes):
    """Measure the allocated bytes of recorded command outcomes."""
    for count in sizes:
        tracemalloc.start()
        state = build_claims(count)
        size = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()
        assert len(state.claim_by_id) == count
        yield count, size


def measure_claim_expiry(sizes):
    """Measure the expiry pass over all claims, which runs once a minute."""
    for count in sizes:
        state = build_claims(count)
        command = state_module.Expire(0)
        yield count, measure_us(
            lambda: state_module.apply_command(command, state), 1
        )


def _read_resident_bytes():
    with open("/proc/self/statm", encoding="ascii") as handle:
        return int(handle.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")


# Pairs of VMs and endpoints.
SIZES = ((100, 540), (400, 2160), (1000, 5400), (2000, 10800))

CUSTOMER_COUNTS = (100, 1000, 10000)
CLAIM_COUNTS = (20000, 50000, 100000)

SLOPES = (
    ("placement pass, nothing to do", "us/endpoint", measure_placement, SIZES),
    ("one VM lost and placed", "us/endpoint", measure_vm_loss, SIZES),
    ("a zone lost and placed", "us/endpoint", measure_zone_loss, SIZES),
    ("heartbeat at the leader", "us/VM known", measure_heartbeat, SIZES),
    ("delta of one row at an entry", "us/endpoint", measure_directory, SIZES),
    ("full sync", "bytes/endpoint", measure_full_sync, SIZES),
    ("directory memory", "bytes/endpoint", measure_memory, SIZES),
    ("commit with fsync", "us/command", measure_commit, (1, 10, 50, 100)),
    ("peer message", "us/part", measure_fan_out, (1, 10, 50, 150)),
    (
        "one customer added",
        "bytes/customer",
        measure_lists_delta,
        CUSTOMER_COUNTS,
    ),
    ("snapshot of the state", "us/endpoint", measure_snapshot, SIZES),
    ("longest turn", "us/claim", measure_snapshot_blocking, CLAIM_COUNTS),
    ("claim memory", "bytes/claim", measure_claim_memory, CLAIM_COUNTS),
    ("claim expiry pass", "us/claim", measure_claim_expiry, CLAIM_COUNTS),
)


def main(*, output: str = "run/slopes.jsonl"):
    """Measure all slopes.

    :param output: file that is overwritten with one JSON line per point
    """
    os.makedirs(os.path.dirname(output) or ".", exist_ok=True)
    with open(output, "w", encoding="utf-8") as sink:
        for name, unit, measure, sizes in SLOPES:
            points = []
            for size, value in measure(sizes):
                points.append((size, value))
                line = {"slope": name, "size": size, "value": value}
                sink.write(json.dumps(line) + "\n")
            slope, intercept = fit_slope(points)
            print(
                f"{name:<34}{slope:>12.4f} {unit:<16}"
                f"+ {intercept:>10.1f}   "
                + " ".join(f"{x}:{y:.0f}" for x, y in points),
                flush=True,
            )
    print(sys.version.split()[0])


if __name__ == "__main__":
    defopt.run(main, cli_options="kwonly")
