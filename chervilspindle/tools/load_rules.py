"""Rules by which senders of `load_simulation` choose endpoints.

``python -m chervilspindle.tools.load_rules`` prints what they bring.
"""

import sys
import zlib

from chervilspindle.core import rows
from chervilspindle.policy import spreading
from chervilspindle.routing import endpoints
from chervilspindle.routing import selection
from chervilspindle.tools import load_simulation
from chervilspindle.wire import receive_limits

ZONE_NAMES = "abc"
SEEDS = (1, 2)
RECEIVE_BYTES = 1 << 20


class Clock:
    """Stands for the event loop, of which only the time is read."""

    def __init__(self):
        self.now = 0.0

    def time(self):
        """Return the simulated time."""
        return self.now


class TableRule:
    """The choice of `endpoints.EndpointTable`.

    Parameters
    ----------
    world : load_simulation.World
    zone : int
        Of the sender.
    random : random.Random
    """

    spread = False

    def __init__(self, world, zone, random):
        self.world = world
        self.random = random
        self.clock = Clock()
        self.table = endpoints.EndpointTable(
            self.clock,
            ZONE_NAMES[zone],
            b"id",
            random,
            None,
            receive_limits.ReceiveBudget(RECEIVE_BYTES),
        )
        if self.spread:
            self.table.loads = spreading.LoadMemory()
        self.targets = []
        for shard in range(world.shards):
            for name in ZONE_NAMES:
                self.table.put(self._build_row(shard, name))
            by_id = self.table.targets_by_service[f"s{shard}"]
            self.targets.append(list(by_id.values()))

    def _build_row(self, shard, zone):
        return rows.Endpoint(
            f"s{shard}-{zone}",
            f"s{shard}",
            "127.0.0.1:9",
            zone,
            self.world.slots,
            0,
            "ready",
            (),
            1,
            1,
        )

    def choose(self, shard, now):
        """Return the zone of the endpoint that is sent to."""
        self.clock.now = now
        target = self.pick(shard)
        target.pool.running[object()] = now
        return ZONE_NAMES.index(target.endpoint.zone)

    def pick(self, shard):
        """Return the target that is sent to."""
        return self.table.choose(f"s{shard}", (), self.world.objective_ms)

    def record(self, shard, zone, stated, took_ms, now):
        """Record an answer."""
        self.clock.now = now
        target = self.targets[shard][zone]
        running = target.pool.running
        sent_s = now - took_ms / 1000.0
        answered = min(running, key=lambda call: abs(running[call] - sent_s))
        del running[answered]
        self.table.record_load(target, *stated[:3])
        selection.record_slowness(
            target.health, stated[3], self.table.persistence, now
        )
        selection.record_success(target.health, took_ms, now)


class SpreadRule(TableRule):
    """The same with `spread_load`."""

    spread = True


class TwoRandomRule(TableRule):
    """The one of two endpoints at random that stated less load."""

    def pick(self, shard):
        """Return the target that is sent to."""
        return min(self.random.sample(self.targets[shard], 2), key=_rank)


class SubsetRule(TableRule):
    """The choice of the table among two endpoints by rendezvous hashing."""

    def __init__(self, *args):
        super().__init__(*args)
        self.name = self.random.random()

    def pick(self, shard):
        """Return the target that is sent to."""
        left_out = max(
            (t.endpoint.endpoint_id for t in self.targets[shard]),
            key=lambda one: zlib.crc32(f"{self.name} {one}".encode()),
        )
        return self.table.choose(
            f"s{shard}", (left_out,), self.world.objective_ms
        )


class NearRule(TableRule):
    """Always the endpoint of the sender's zone."""

    def pick(self, shard):
        """Return the target that is sent to."""
        return next(t for t in self.targets[shard] if t.same_zone)


RULE_BY_NAME = {
    "today": TableRule,
    "spread_load": SpreadRule,
    "two at random": TwoRandomRule,
    "subsets of two": SubsetRule,
    "zone only": NearRule,
}


def _rank(target):
    load = max(target.health.load, len(target.pool.running))
    return load / target.health.slots, not target.same_zone


def compute_rate(world, share: float) -> float:
    """Return the queries per second that take a share of all slots."""
    slots = load_simulation.ZONES * world.slots
    return share * slots * 1000.0 / world.work_ms


def build_worlds() -> dict:
    """Return the worlds that rules are compared in, by name."""
    base = load_simulation.World()
    slow = {"slow_share": 0.15, "pause_s": 0.12}
    uneven = {"factors": (0.8, 1.0, 1.3)}
    cases = (
        ("a tenth of the slots", 0.1, {"senders": 6}),
        ("half", 0.5, {"senders": 18}),
        ("half, 71 senders", 0.5, {"senders": 71}),
        ("half, six at a time", 0.5, {"senders": 18, "burst": 6}),
        ("half, all in one zone", 0.5, {"senders": 8, "busy_zones": 1}),
        ("0.6, slow phases and pauses", 0.6, {"senders": 24, **slow}),
        ("0.75, speeds differ", 0.75, {"senders": 24, **uneven}),
        ("0.8", 0.8, {"senders": 30}),
        ("0.8, three senders", 0.8, {"senders": 3}),
        ("0.8, all in one zone", 0.8, {"senders": 8, "busy_zones": 1}),
        ("0.95", 0.95, {"senders": 36}),
    )
    return {
        name: base._replace(queries_per_s=compute_rate(base, share), **changes)
        for name, share, changes in cases
    }


def simulate_seeds(world, build_rule, seeds=SEEDS):
    """Return the mean figures over some seeds."""
    runs = [
        load_simulation.simulate(world, build_rule, seed) for seed in seeds
    ]
    means = (sum(values) / len(values) for values in zip(*runs))
    return load_simulation.Figures(*means)


def main():
    """Print the table of `docs/design/even-load.md`."""
    for world_name, world in build_worlds().items():
        for name, rule in RULE_BY_NAME.items():
            figures = simulate_seeds(world, rule)
            sys.stdout.write(
                f"| {world_name} | {name} | {figures.most_waiting:.1f} | "
                f"{figures.mean_waiting:.3f} | {figures.idle_share:.3f} | "
                f"{figures.median_ms:.0f} | {figures.tail_ms:.0f} | "
                f"{figures.in_time:.4f} | {figures.remote_share:.2f} |\n"
            )
            sys.stdout.flush()


if __name__ == "__main__":
    main()
