"""Checks of what must always hold, over everything a world has seen."""

import json

IN_FORCE_LIMIT_S = 7.0
DRAIN_LIMIT_S = 3.0


def check_all(world):
    """Check every promise that can be judged from the outcomes."""
    check_one_snapshot(world)
    check_coverage(world)
    check_whole_answers(world)
    check_not_run(world)
    check_at_most_once(world)
    check_slots(world)
    check_drained(world)


def list_answers(world):
    """Return the outcomes of queries that were answered."""
    return [o for o in world.outcomes if o.kind == "query" and o.answer]


def check_one_snapshot(world):
    """Each answer reflects one snapshot."""
    for outcome in list_answers(world):
        for _, _, value in outcome.answer.results:
            found = decode(value)["snapshot"]
            assert found == outcome.answer.snapshot, outcome.nonce


def check_coverage(world):
    """Each answer names every shard once, as answered or as missing."""
    for outcome in list_answers(world):
        answered = [(s, name) for s, name, _ in outcome.answer.results]
        missing = [
            (m.service, f"{m.low}-{m.high}") for m in outcome.answer.missing
        ]
        named = answered + missing
        assert len(set(named)) == len(named), outcome.nonce
        expected = world.list_services(outcome.patterns)
        assert {s for s, _ in named} == expected, outcome.nonce
        for service in {s for s, _ in named}:
            ranges = sorted(
                tuple(map(int, name.split("-")))
                for s, name in named
                if s == service
            )
            cursor = 0
            for low, high in ranges:
                assert low == cursor, (outcome.nonce, ranges)
                cursor = high
            assert cursor == 65536, (outcome.nonce, ranges)


def check_whole_answers(world):
    """Each caller gets parts of its own request, for the named shard."""
    for outcome in list_answers(world):
        for service, name, value in outcome.answer.results:
            row = decode(value)
            assert row["nonce"] == outcome.nonce
            assert row["service"] == service
            assert f"{row['low']}-{row['high']}" == name


def check_not_run(world):
    """What was refused as not run left no trace at any endpoint."""
    ran = set()
    for endpoint in world.endpoint_by_name.values():
        ran.update(run_id.split(".")[0] for run_id in endpoint.ran)
    for outcome in world.outcomes:
        problem = outcome.problem
        if problem is not None and problem.not_run and problem.request_id:
            assert problem.request_id not in ran, outcome.nonce


def check_at_most_once(world):
    """Each idempotency key ran at most once, over all endpoints."""
    runs = []
    for endpoint in world.endpoint_by_name.values():
        runs.extend(nonce for _, nonce, _ in endpoint.commands)
    assert len(set(runs)) == len(runs), sorted(runs)
    done = {
        o.idempotency_key
        for o in world.outcomes
        if o.kind == "command" and o.answer
    }
    assert done <= set(runs), "an outcome was reported of what never ran"


def check_slots(world):
    """No endpoint was pushed past its slots."""
    for endpoint in world.endpoint_by_name.values():
        assert endpoint.over_slots == 0, endpoint.name


def check_drained(world):
    """A leaving endpoint was sent no new work after a few seconds.

    What counts is when its owner sent the work: an endpoint that freezes
    and announces its leave finds in its own backlog, when it wakes, what
    was sent before.
    """
    for endpoint in world.endpoint_by_name.values():
        for late in endpoint.work_after_drain:
            assert late <= DRAIN_LIMIT_S, (endpoint.name, late)


def check_nothing_cut(world, vm):
    """A VM that has drained owes no caller an answer."""
    if vm.process.killed or vm.process.frozen:
        return
    for outcome in world.outcomes:
        if outcome.entry_name == vm.name and outcome.ended_at is None:
            age = world.clock.seconds() - outcome.sent_at
            started = world.clock.seconds() - vm.process.started_s
            assert age > started, f"{outcome.nonce} was cut"


def check_in_force(world, accepted_at, revision):
    """A revision is in force on a VM, or the VM admits nothing."""
    assert world.clock.seconds() >= accepted_at + IN_FORCE_LIMIT_S
    for vm in world.entries():
        if vm.process.killed or vm.process.frozen:
            continue
        if vm.entry.session.is_valid():
            found = vm.entry.directory.lists.revision
            assert found >= revision, (vm.name, found, revision)


def decode(value):
    """Return the decoded JSON of an endpoint's value."""
    return json.loads(value)
