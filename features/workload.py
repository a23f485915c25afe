"""Steady work of callers and operators, while faults come and go."""

from chervilspindle.control import raft
from chervilspindle.core import rows
from chervilspindle.wire import messages
from features import promises

QUERY_PERIOD_S = 0.05
COMMAND_PERIOD_S = 0.2
RESEND_S = 0.35
APPLY_PERIOD_S = 1.0
SETTLE_S = 12.0
RECOVERED_SERVICE_S = 0.008
DROP_PAUSE_S = 0.1
STRAGGLERS = 12
STRAGGLER_PAUSE_S = 0.25
STRAGGLER_WINDOW_S = 0.1
STRAGGLER_S = 0.3
RECOVERY_LIMIT_S = 10.0


def start_services(world, services=2, replicas=2):
    """Start endpoints, apply the lists and wait until all is served."""
    for service in range(1, services + 1):
        for replica in range(replicas):
            world.add_endpoint(
                f"portal-{service}.{replica}", f"portal-{service}"
            )
    world.advance_until(lambda: count_owned(world) == services * replicas, 10)
    # A new group grows from one voter, and only three can lose a disk.
    world.advance_until(lambda: count_voters(world) == 3, 10)
    world.must_apply("first")
    world.advance_until(lambda: in_force_everywhere(world, 1), 5)


def count_voters(world):
    """Return how many voters the leader has, 0 without a leader."""
    leader = world.get_leader()
    return len(raft.list_voters(leader.node.raft)) if leader else 0


def count_owned(world):
    """Return how many endpoints have an owner that serves them."""
    return sum(1 for n in world.endpoint_by_name if world.get_owner(n))


def in_force_everywhere(world, revision):
    """Tell whether every entry has a revision in force."""
    return all(
        vm.entry.directory.lists.revision >= revision
        for vm in world.entries()
        if not vm.process.killed
    )


class Workload:
    """Periodic queries, commands with resends, and changes of the lists."""

    def __init__(self, world):
        self.world = world
        self.number = 0
        self.pending_changes = []
        self.running = True

    def start(self):
        """Start all periodic work."""
        self._repeat(QUERY_PERIOD_S, self._query)
        self._repeat(COMMAND_PERIOD_S, self._command)
        self._repeat(APPLY_PERIOD_S, self._apply)

    def stop(self):
        """Stop sending."""
        self.running = False

    def _repeat(self, period_s, function):
        def run():
            if self.running:
                self.world.clock.callLater(period_s, run)
                function()

        self.world.clock.callLater(period_s, run)

    def _query(self):
        self.number += 1
        self.world.query(partial=self.number % 3 != 0)

    def _command(self):
        self.number += 1
        key = f"hold-{self.number}"
        self.world.command(key)
        self.world.clock.callLater(RESEND_S, self.world.command, key)

    def _apply(self):
        self.number += 1
        world = self.world
        if world._pick_entry() is None:
            return
        replies = world.apply_lists(f"change-{self.number}", -1)
        sent = [False]

        def look():
            if replies and not sent[0]:
                sent[0] = True
                reply = replies[0]
                if isinstance(reply, messages.ApplyListsReply):
                    if reply.accepted:
                        world.note_accepted(reply.revision)
                        world.clock.callLater(
                            promises.IN_FORCE_LIMIT_S,
                            promises.check_in_force,
                            world,
                            world.clock.seconds(),
                            reply.revision,
                        )
            elif not replies:
                world.clock.callLater(0.05, look)

        look()


def change_snapshot(world):
    """Repartition: a new snapshot with two shards for each service."""
    half = rows.KEY_SPACE // 2
    for endpoint in world.endpoint_by_name.values():
        endpoint.holdings = [
            rows.Holding(1, 0, rows.KEY_SPACE),
            rows.Holding(2, 0, half),
            rows.Holding(2, half, rows.KEY_SPACE),
        ]
        endpoint.announce()


def drop_old_snapshot(world):
    """Drop the old snapshot, one endpoint after the other, under load."""
    for number, endpoint in enumerate(world.endpoint_by_name.values()):
        world.clock.callLater(DROP_PAUSE_S * number, _drop_old, endpoint)


def start_straggling(world):
    """Let single requests take long, so that hedges and probes come up."""
    endpoints = list(world.endpoint_by_name.values())
    for number in range(STRAGGLERS):
        endpoint = endpoints[number % len(endpoints)]
        world.clock.callLater(
            STRAGGLER_PAUSE_S * (number + 1), _straggle, world, endpoint
        )


def _straggle(world, endpoint):
    usual = endpoint.service_s
    endpoint.service_s = max(usual, STRAGGLER_S)
    world.clock.callLater(
        STRAGGLER_WINDOW_S, setattr, endpoint, "service_s", usual
    )


def _drop_old(endpoint):
    endpoint.holdings = [h for h in endpoint.holdings if h.snapshot != 1]
    endpoint.announce()


def run_story(world, *injected):
    """Run the story of the fault matrix: work, changes, faults, repairs.

    The story has each step of the path: a snapshot change and repartition,
    an endpoint that drains, a lost control leader, and a graceful restart
    of an entry.
    """
    start_services(world)
    workload = Workload(world)
    workload.start()
    world.faults.extend(injected)
    start_straggling(world)
    world.advance(1.0)
    change_snapshot(world)
    world.advance(1.0)
    drop_old_snapshot(world)
    world.endpoint_by_name["portal-2.1"].drain()
    world.advance(1.0)
    leader = world.get_leader()
    if leader is not None:
        leader.kill()
        world.clock.callLater(
            3.0, lambda: leader.process.killed and leader.start()
        )
    world.advance(3.0)
    drained = next(
        vm
        for vm in world.entries()
        if not vm.process.killed and not vm.process.frozen
    )
    restart_gracefully(world, drained)
    world.advance(SETTLE_S - 6.0)
    workload.stop()
    world.unused_faults = list(world.faults)
    world.faults.clear()
    for endpoint in world.endpoint_by_name.values():
        endpoint.service_s = RECOVERED_SERVICE_S
    world.advance(8.0)
    for failure in world.failures:
        failure.raiseException()
    promises.check_all(world)
    check_recovery(world)


def restart_gracefully(world, vm):
    """Drain an entry, then start it again."""

    def start_again(_):
        promises.check_nothing_cut(world, vm)
        vm.kill()
        world.clock.callLater(0.5, vm.start)

    failures = []
    vm.entry.drain().addBoth(start_again).addErrback(failures.append)
    world.failures = failures


def check_recovery(world):
    """After all repairs, a query covers everything again."""
    world.heal()

    def is_whole():
        outcome = world.query()
        world.advance(0.45)
        return outcome.answer and not outcome.answer.missing

    world.advance_until(is_whole, RECOVERY_LIMIT_S)
