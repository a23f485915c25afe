"""Tests of the replicated state machine, placement and the change feed."""

import hypothesis
from hypothesis import strategies
import pytest

from chervilspindle.control import changes
from chervilspindle.control import placement
from chervilspindle.control import state as state_module
from chervilspindle.core import rows
from chervilspindle.query import directory
from chervilspindle.wire import messages

PLAN = rows.Plan("p", ("s-*",), 0.5, ("high", "low"))


def apply_all(state, *commands):
    """Apply commands and return the state and the last result."""
    result = None
    for command in commands:
        outcome = state_module.apply_command(
            command, state._replace(version=state.version + 1)
        )
        state, result = outcome.state, outcome.result
    return state, result


def build_vm(number, zone="a", state="ready"):
    return rows.Vm(
        f"vm-{number}@1", f"vm-{number}", zone, "127.0.0.1:1", 1, state
    )


def build_endpoint(name, service, zone="a", sequence=1, state="ready"):
    return rows.Endpoint(
        name, service, "127.0.0.1:2", zone, 2, 60, state, (), 1, sequence
    )


def build_tables(vms=4, services=6):
    commands = [
        state_module.RegisterVm(build_vm(n, "abc"[n % 3])) for n in range(vms)
    ]
    endpoints = tuple(
        build_endpoint(f"s-{n}.{r}", f"s-{n}", "abc"[(n + r) % 3])
        for n in range(services)
        for r in range(2)
    )
    commands.append(state_module.ReportEndpoints(endpoints, 0))
    return apply_all(state_module.EMPTY_STATE, *commands)[0]


def end_handovers(state):
    """Complete all handovers in progress."""
    moving = tuple(
        state_module.Handover(row.endpoint_id, row.epoch)
        for row in state.ownership_by_id.values()
        if row.previous
    )
    return apply_all(state, state_module.EndHandovers(moving))[0]


def place(state):
    """Apply planned assignments until none is left."""
    for _ in range(20):
        index = placement.PlacementIndex(state)
        assignments = placement.plan_assignments(state, index)
        if not assignments:
            return state
        state, _ = apply_all(state, state_module.Assign(assignments))
    raise AssertionError("placement still plans assignments after 20 rounds")


def apply_lists(change_id, if_revision, digest="d"):
    return state_module.ApplyLists(change_id, digest, if_revision, (), (PLAN,))


def test_concurrent_changes_accept_one_and_resends_get_the_first_result():
    state = state_module.EMPTY_STATE
    state, first = apply_all(state, apply_lists("a", 0))
    state, second = apply_all(state, apply_lists("b", 0))
    assert (first.accepted, second.accepted) == (True, False)
    state, _ = apply_all(state, apply_lists("c", 1))
    state, resent = apply_all(state, apply_lists("a", 0))
    assert resent == first
    state, resent = apply_all(state, apply_lists("b", 0))
    assert resent == second
    assert state.lists.revision == 2


def test_reused_change_id_with_another_digest_is_refused():
    state, _ = apply_all(state_module.EMPTY_STATE, apply_lists("a", 0))
    state, result = apply_all(state, apply_lists("a", 1, "other"))
    assert not result.accepted
    assert state.lists.revision == 1


def build_claim(attempt):
    return rows.Claim("c/k", "digest", attempt, "claimed", b"", 0)


def test_claim_is_granted_once_and_released_only_by_its_attempt():
    state = state_module.EMPTY_STATE
    state, first = apply_all(
        state, state_module.ClaimCommand(build_claim("one"))
    )
    state, second = apply_all(
        state, state_module.ClaimCommand(build_claim("two"))
    )
    assert (first.granted, second.granted) == (True, False)
    free = state_module.ResolveClaim("c/k", "two", "free", b"")
    state, _ = apply_all(state, free)
    assert "c/k" in state.claim_by_id
    state, _ = apply_all(state, free._replace(attempt="one"))
    assert "c/k" not in state.claim_by_id


def test_recorded_outcome_of_a_claim_is_final():
    state, _ = apply_all(
        state_module.EMPTY_STATE,
        state_module.ClaimCommand(build_claim("one")),
        state_module.ResolveClaim("c/k", "one", "done", b"1"),
        state_module.ResolveClaim("c/k", "one", "free", b""),
    )
    assert state.claim_by_id["c/k"].value == b"1"


def test_out_of_order_announcement_is_ignored():
    draining = build_endpoint("e", "s", sequence=9, state="draining")
    state, _ = apply_all(
        state_module.EMPTY_STATE,
        state_module.ReportEndpoints((draining,), 0),
        state_module.ReportEndpoints((build_endpoint("e", "s"),), 0),
    )
    assert state.endpoint_by_id["e"].state == "draining"


def test_older_incarnation_of_a_vm_is_not_registered():
    new = build_vm(1)._replace(incarnation=5, session="vm-1@5")
    state, _ = apply_all(
        state_module.EMPTY_STATE,
        state_module.RegisterVm(new),
        state_module.RegisterVm(build_vm(1)),
    )
    assert list(state.vm_by_session) == ["vm-1@5"]


def test_snapshot_restores_all_tables():
    state = place(build_tables())
    state, _ = apply_all(
        state,
        apply_lists("a", 0),
        state_module.ClaimCommand(build_claim("one")),
    )
    assert (
        state_module.decode_snapshot(state_module.encode_snapshot(state))
        == state
    )


def test_replicas_have_owners_on_different_vms_and_zones():
    state = place(build_tables())
    for service in range(6):
        owners = {
            state.ownership_by_id[f"s-{service}.{r}"].session for r in (0, 1)
        }
        zones = {state.vm_by_session[s].zone for s in owners}
        assert len(owners) == 2
        assert len(zones) == 2


def test_endpoints_of_a_removed_vm_are_reassigned_under_a_new_epoch():
    state = place(build_tables())
    before = state.ownership_by_id
    state, _ = apply_all(state, state_module.RemoveVms(("vm-0@1",)))
    state = place(state)
    for endpoint_id, row in state.ownership_by_id.items():
        assert row.session in state.vm_by_session
        if before[endpoint_id].session == "vm-0@1":
            assert row.epoch > before[endpoint_id].epoch


def drain_vm():
    """Drain one VM; return the tables and the handovers in progress."""
    state = place(build_tables())
    state, _ = apply_all(
        state, state_module.RegisterVm(build_vm(0, state="draining"))
    )
    state = place(state)
    moving = [o for o in state.ownership_by_id.values() if o.previous]
    assert moving
    assert all(o.previous == "vm-0@1" != o.session for o in moving)
    return state, moving


def test_endpoints_of_a_draining_vm_always_have_an_owner():
    state, moving = drain_vm()
    assert all(o.session for o in state.ownership_by_id.values())
    state = end_handovers(state)
    for row in moving:
        assert state.ownership_by_id[row.endpoint_id].epoch == row.epoch
        assert not state.ownership_by_id[row.endpoint_id].previous


def test_endpoint_is_not_reassigned_during_a_handover():
    state, moving = drain_vm()
    row = moving[0]
    other = next(s for s in state.vm_by_session if s != row.session)
    assignment = state_module.Assignment(row.endpoint_id, other, row.epoch)
    state, _ = apply_all(state, state_module.Assign((assignment,)))
    assert state.ownership_by_id[row.endpoint_id] == row


def test_endpoint_returns_to_the_previous_owner_if_the_new_one_is_lost():
    state, moving = drain_vm()
    row = moving[0]
    state, _ = apply_all(state, state_module.RemoveVms((row.session,)))
    ownership = state.ownership_by_id[row.endpoint_id]
    assert ownership == row._replace(
        session=row.previous, previous="", epoch=row.epoch + 1
    )


def test_handover_ends_when_the_previous_owner_is_lost():
    state, moving = drain_vm()
    state, _ = apply_all(state, state_module.RemoveVms(("vm-0@1",)))
    for row in moving:
        ownership = state.ownership_by_id[row.endpoint_id]
        assert ownership == row._replace(previous="")


def test_end_of_an_earlier_handover_is_ignored():
    state, moving = drain_vm()
    row = moving[0]
    earlier = state_module.Handover(row.endpoint_id, row.epoch - 1)
    state, _ = apply_all(state, state_module.EndHandovers((earlier,)))
    assert state.ownership_by_id[row.endpoint_id] == row


def test_rebalancing_to_a_new_vm_is_limited_per_round():
    state = place(build_tables(vms=2, services=12))
    state, _ = apply_all(state, state_module.RegisterVm(build_vm(9)))
    moves = placement.plan_moves(state, placement.PlacementIndex(state))
    assert 0 < len(moves) <= placement.MIN_CONCURRENT_MOVES
    services = [m.endpoint_id.split(".")[0] for m in moves]
    assert len(set(services)) == len(services)


def test_endpoint_is_not_moved_while_its_replica_drains():
    state = place(build_tables(vms=2, services=12))
    draining = tuple(
        build_endpoint(f"s-{n}.1", f"s-{n}", "abc"[n % 3], 2, "draining")
        for n in range(12)
    )
    state, _ = apply_all(
        state,
        state_module.ReportEndpoints(draining, 0),
        state_module.RegisterVm(build_vm(9)),
    )
    moves = placement.plan_moves(state, placement.PlacementIndex(state))
    assert all(m.endpoint_id.endswith(".1") for m in moves)


COMMANDS = strategies.lists(
    strategies.one_of(
        strategies.builds(
            lambda n, s: state_module.RegisterVm(build_vm(n, state=s)),
            strategies.integers(0, 4),
            strategies.sampled_from(("ready", "draining")),
        ),
        strategies.builds(
            lambda n: state_module.RemoveVms((f"vm-{n}@1",)),
            strategies.integers(0, 4),
        ),
        strategies.builds(
            lambda n, q, s: state_module.ReportEndpoints(
                (build_endpoint(f"s-{n}.0", f"s-{n}", "a", q, s),), 0
            ),
            strategies.integers(0, 5),
            strategies.integers(1, 20),
            strategies.sampled_from(("ready", "draining", "lost")),
        ),
        strategies.sampled_from(("place", "move", "end")),
    ),
    max_size=30,
)


def build_step(name, state, index):
    """Return the command that the leader would propose for a step."""
    if name == "place":
        planned = placement.plan_assignments(state, index)
        return state_module.Assign(planned)
    if name == "move":
        return state_module.Assign(placement.plan_moves(state, index))
    moving = tuple(
        state_module.Handover(i, state.ownership_by_id[i].epoch)
        for i in sorted(index.handover_ids)
    )
    return state_module.EndHandovers(moving)


@hypothesis.given(COMMANDS)
@hypothesis.settings(derandomize=True, max_examples=200, deadline=None)
def test_incremental_index_and_deltas_match_the_tables(history):
    """The index updated by changes equals one built from the whole tables."""
    state = build_tables(vms=2, services=3)
    index = placement.PlacementIndex(state)
    feed = changes.ChangeFeed()
    feed.reset(state.version)
    for command in history:
        if isinstance(command, str):
            command = build_step(command, state, index)
        state = state._replace(version=state.version + 1)
        outcome = state_module.apply_command(command, state)
        state = outcome.state
        index.update(state, outcome.changes)
        feed.record(state.version, outcome.changes)
    fresh = placement.PlacementIndex(state)
    assert index.needs_owner_ids == fresh.needs_owner_ids
    assert index.handover_ids == fresh.handover_ids
    assert index.cross_zone_ids == fresh.cross_zone_ids
    assert index.endpoint_ids_by_session == fresh.endpoint_ids_by_session
    assert index.owner_by_id_by_service == fresh.owner_by_id_by_service
    first = state.version - len(history)
    delta = messages.decode_delta(feed.get_delta(state, first))
    for row in delta.endpoints:
        assert state.endpoint_by_id[row.endpoint_id] == row
    for row in delta.ownerships:
        assert state.ownership_by_id[row.endpoint_id] == row


@hypothesis.given(strategies.integers(2, 6), strategies.integers(1, 12))
@hypothesis.settings(derandomize=True, max_examples=60, deadline=None)
def test_rebalancing_terminates(vms, services):
    """Rebalancing settles, and no endpoint returns to the owner it left."""
    state = build_tables(vms=1, services=services)
    state = place(state)
    for number in range(1, vms):
        vm = build_vm(number, "abc"[number % 3])
        state, _ = apply_all(state, state_module.RegisterVm(vm))
    for _ in range(40):
        moves = placement.plan_moves(state, placement.PlacementIndex(state))
        if not moves:
            break
        before = state.ownership_by_id
        state, _ = apply_all(state, state_module.Assign(moves))
        state = place(end_handovers(state))
        for move in moves:
            new = state.ownership_by_id[move.endpoint_id].session
            assert new != before[move.endpoint_id].session
    else:
        raise AssertionError("rebalancing still plans moves after 40 rounds")
    check_placement(state)


def check_placement(state):
    """Check that owners are in their endpoints' zones and loads are even."""
    index = placement.PlacementIndex(state)
    sessions_by_zone = {}
    for vm in state.vm_by_session.values():
        sessions_by_zone.setdefault(vm.zone, set()).add(vm.session)
    for endpoint in state.endpoint_by_id.values():
        local = sessions_by_zone.get(endpoint.zone, set())
        replica_owners = set(index.list_replica_owners(endpoint.endpoint_id))
        row = state.ownership_by_id[endpoint.endpoint_id]
        assert row.session in local or not local - replica_owners, row
    loads = index.count_loads(state)
    for sessions in sessions_by_zone.values():
        counts = [loads[s] for s in sessions]
        assert max(counts) - min(counts) <= 1, loads


def test_loss_of_a_zone_leaves_each_service_an_owned_replica():
    state = build_tables(vms=0, services=30)
    for number in range(9):
        vm = build_vm(number, "abc"[number % 3])
        state, _ = apply_all(state, state_module.RegisterVm(vm))
    state = place(state)
    check_placement(state)
    for zone in "abc":
        remaining = {
            e.service
            for e in state.endpoint_by_id.values()
            if e.zone != zone
            and state.vm_by_session[
                state.ownership_by_id[e.endpoint_id].session
            ].zone
            != zone
        }
        assert len(remaining) == 30


def test_endpoints_move_to_their_zone_once_it_has_a_vm():
    state = build_tables(vms=0, services=12)
    for number in (0, 1):
        state, _ = apply_all(
            state, state_module.RegisterVm(build_vm(number, "ab"[number]))
        )
    state = place(state)
    assert len(state.ownership_by_id) == 24
    state, _ = apply_all(state, state_module.RegisterVm(build_vm(2, "c")))
    for _ in range(20):
        moves = placement.plan_moves(state, placement.PlacementIndex(state))
        state, _ = apply_all(state, state_module.Assign(moves))
        state = end_handovers(state)
    check_placement(state)


def test_endpoints_of_zones_without_vms_are_balanced_over_all_vms():
    state = build_tables(vms=0, services=12)
    for number in range(2):
        vm = build_vm(number, "xy"[number])
        state, _ = apply_all(state, state_module.RegisterVm(vm))
    state = place(state)
    state, _ = apply_all(state, state_module.RegisterVm(build_vm(2, "z")))
    for _ in range(20):
        moves = placement.plan_moves(state, placement.PlacementIndex(state))
        state, _ = apply_all(state, state_module.Assign(moves))
        state = end_handovers(state)
    loads = placement.PlacementIndex(state).count_loads(state)
    assert sorted(loads.values()) == [8, 8, 8]


NAMES = strategies.sampled_from(("a", "b", "c", "d"))


def build_lists_change(number, names, share):
    customers = tuple(
        rows.Customer(n, "p", "00", f"{share:.1f}") for n in sorted(names)
    )
    plans = tuple(
        rows.Plan(f"p-{n}", ("s-*",), share, ("high",)) for n in sorted(names)
    )
    return state_module.ApplyLists(
        f"change-{number}", "d", -1, customers, plans
    )


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.frozensets(NAMES),
            strategies.sampled_from((0.1, 0.2)),
            strategies.booleans(),
        ),
        min_size=1,
        max_size=12,
    )
)
@hypothesis.settings(derandomize=True, max_examples=200, deadline=None)
def test_list_deltas_add_up_to_the_lists(history):
    """An entry that gets only some of the deltas still has equal lists."""
    state = state_module.EMPTY_STATE
    feed = changes.ChangeFeed()
    entry = directory.Directory()
    for number, (names, share, is_delivered) in enumerate(history):
        command = build_lists_change(number, names, share)
        outcome = state_module.apply_command(
            command, state._replace(version=state.version + 1)
        )
        state = outcome.state
        feed.record(state.version, outcome.changes)
        if is_delivered:
            data = feed.get_delta(state, entry.version)
            assert entry.apply_delta(messages.decode_delta(data))
            assert entry.lists == state.lists


def test_delta_size_of_one_customer_is_independent_of_the_lists():
    sizes = []
    for count in (10, 5000):
        names = [f"c{n}" for n in range(count)]
        state, _ = apply_all(
            state_module.EMPTY_STATE, build_lists_change(1, names, 0.1)
        )
        feed = changes.ChangeFeed()
        feed.reset(state.version)
        outcome = state_module.apply_command(
            build_lists_change(2, [*names, "new"], 0.1),
            state._replace(version=state.version + 1),
        )
        feed.record(state.version + 1, outcome.changes)
        sizes.append(len(feed.get_delta(outcome.state, state.version)))
    assert sizes[1] < sizes[0] + 20


def report_crashes(state, content, endpoints, last_ms):
    record = rows.CrashRecord(content, endpoints, last_ms)
    command = state_module.ReportCrashes(record)
    return state_module.apply_command(command, state)


def test_crashes_of_one_content_are_counted_once_for_each_endpoint():
    outcome = report_crashes(
        state_module.EMPTY_STATE, "c1", ("a@1", "b@1"), 1000
    )
    outcome = report_crashes(outcome.state, "c1", ("b@1", "a@2"), 2000)
    record = outcome.state.crash_by_content["c1"]
    assert record.endpoints == ("a@1", "b@1", "a@2")
    assert record.last_ms == 2000
    assert outcome.changes == (state_module.Change("crash", "c1"),)
    data = state_module.encode_snapshot(outcome.state)
    assert state_module.decode_snapshot(data) == outcome.state


def test_crash_records_expire_and_are_bounded():
    state = state_module.EMPTY_STATE
    for number in range(state_module.MAX_CRASH_RECORDS + 5):
        outcome = report_crashes(state, f"c{number}", ("a@1",), 1000 + number)
        state = outcome.state
    assert len(state.crash_by_content) == state_module.MAX_CRASH_RECORDS
    assert "c4" not in state.crash_by_content
    late_ms = 10000 + rows.CRASH_RETENTION_MS
    outcome = report_crashes(state, "new", ("a@1",), late_ms)
    assert list(outcome.state.crash_by_content) == ["new"]
    assert len(outcome.changes) == state_module.MAX_CRASH_RECORDS + 1


def test_an_answered_content_is_cleared():
    state = report_crashes(
        state_module.EMPTY_STATE, "c1", ("a@1",), 1000
    ).state
    outcome = state_module.apply_command(
        state_module.ClearCrashes("c1"), state
    )
    assert not outcome.state.crash_by_content
    assert outcome.changes == (state_module.Change("crash", "c1"),)


def encode_raw(value):
    return state_module.msgspec.msgpack.encode(value)


def test_tables_of_a_newer_build_survive_in_snapshots():
    newer = encode_raw(("newer table", ((1, "row"),)))
    parts = (*state_module.encode_snapshot_parts(build_vm_state()), newer)
    tables = state_module.decode_snapshot_parts(parts)
    assert tuple(state_module.encode_snapshot_parts(tables)) == parts


def test_surplus_fields_in_snapshots_and_commands_are_left_out():
    vm = rows.Vm("a@1", "a", "z", "127.0.0.1:1", 1, "ready")
    part = encode_raw(("vms", ((*vm, "surplus"),), "surplus"))
    tables = state_module.decode_snapshot_parts((part,))
    assert tables.vm_by_session["a@1"] == vm
    batch = encode_raw(([("RegisterVm", ((*vm, "surplus"), 5))],))
    assert state_module.decode_batch(batch) == (state_module.RegisterVm(vm),)


@pytest.mark.parametrize(
    "command", (("Newer", ()), ("RegisterVm", ()), ("RegisterVm", (5,)))
)
def test_a_batch_with_an_unreadable_command_is_refused_as_a_whole(command):
    known = ("RemoveVms", (("a@1",),))
    with pytest.raises(state_module.UnreadableCommand):
        state_module.decode_batch(encode_raw(([known, command],)))


def build_vm_state():
    vm = rows.Vm("a@1", "a", "z", "127.0.0.1:1", 1, "ready")
    command = state_module.RegisterVm(vm)
    return state_module.apply_command(command, state_module.EMPTY_STATE).state
