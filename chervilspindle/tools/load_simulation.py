"""Simulation of senders that share endpoints, without a network.

Several senders query all shards of a route. Each shard has one endpoint in
each zone, which runs some requests at a time and queues the others. A sender
knows of an endpoint what its last answer from there stated, as old as that
answer. A rule chooses the endpoint; `chervilspindle.policy.spreading_test`
and ``python -m chervilspindle.tools.load_simulation`` compare rules.
"""

import collections
import heapq
import itertools
import random
import typing

ARRIVAL, DEPARTURE, ANSWER, QUERY = range(4)
ZONES = 3


class World(typing.NamedTuple):
    """What is simulated.

    Parameters
    ----------
    senders : int
        Placed in the zones in turn.
    queries : int
    queries_per_s : float
        Of all senders together.
    burst : int
        Queries that arrive at the same moment, each at a sender of its own.
    shards, slots : int
    work_ms : float
        Mean time of a part at the usual speed.
    objective_ms : float
    remote_ms : float
        Delay of one message between zones.
    factors : tuple of float
        Time of work at the endpoints of each zone, 1 if usual.
    slow_share, slow_factor, slow_s : float
        Share of time in slow phases, time of work in them, mean length.
    pause_s, pause_period_s : float
        Each endpoint stops for so long, once in a period; 0 for none.
    busy_zones : int
        Zones that have senders.
    """

    senders: int = 24
    queries: int = 300
    queries_per_s: float = 200.0
    burst: int = 1
    shards: int = 90
    slots: int = 2
    work_ms: float = 16.5
    objective_ms: float = 170.0
    remote_ms: float = 3.9
    factors: tuple[float, ...] = (1.0, 1.0, 1.0)
    slow_share: float = 0.0
    slow_factor: float = 2.5
    slow_s: float = 0.6
    pause_s: float = 0.0
    pause_period_s: float = 3.0
    busy_zones: int = ZONES


class Figures(typing.NamedTuple):
    """Outcome of a simulation.

    Parameters
    ----------
    most_waiting : int
        Greatest number of requests in one queue.
    mean_waiting : float
        Requests in a queue, as the mean over endpoints and time.
    idle_share : float
        Share of time in which a shard has an endpoint without requests and
        another one with a queue.
    median_ms, tail_ms : float
        Of the time of the slowest part of a query; the 95th percentile.
    in_time : float
        Share of the parts that are answered within the objective.
    remote_share : float
        Share of the parts that are sent to another zone.
    messages : int
        Requests that reached endpoints.
    """

    most_waiting: int
    mean_waiting: float
    idle_share: float
    median_ms: float
    tail_ms: float
    in_time: float
    remote_share: float
    messages: int


class Endpoint:
    """One simulated endpoint; mutable.

    Attributes
    ----------
    running : int
    queue : deque
        Requests that wait.
    """

    def __init__(self, world, zone, seed):
        self.world = world
        self.zone = zone
        self.random = random.Random(seed)
        self.running = 0
        self.queue = collections.deque()
        self.pause_start_s = self.random.uniform(0.0, world.pause_period_s)
        self.is_slow = self.random.random() < world.slow_share
        self.change_s = 0.0
        if world.slow_share:
            self.change_s = self._draw_phase_s()

    def _draw_phase_s(self):
        world = self.world
        mean_s = world.slow_s
        if not self.is_slow:
            mean_s *= (1.0 - world.slow_share) / world.slow_share
        return self.random.expovariate(1.0 / mean_s)

    def read_factor(self, now):
        """Return the time of work now, 1 if usual."""
        world = self.world
        while world.slow_share and now >= self.change_s:
            self.is_slow = not self.is_slow
            self.change_s += self._draw_phase_s()
        factor = world.factors[self.zone]
        return factor * world.slow_factor if self.is_slow else factor

    def draw_end_s(self, now):
        """Return when a request ends that starts now."""
        world = self.world
        work_s = world.work_ms / 1000.0 * self.read_factor(now)
        left_s = work_s * self.random.lognormvariate(-0.08, 0.4)
        if not world.pause_s:
            return now + left_s
        # The work that fits between two pauses, and what is left of the first.
        between_s = world.pause_period_s - world.pause_s
        phase_s = (now - self.pause_start_s) % world.pause_period_s
        done_s = max(0.0, phase_s - world.pause_s)
        started_s = now - phase_s + world.pause_s + done_s
        pauses = int((done_s + left_s) / between_s)
        return started_s + left_s + pauses * world.pause_s


class Waiting:
    """Requests that wait at the endpoints of a shard, over time; mutable."""

    def __init__(self):
        self.changed_s = 0.0
        self.counts = [0] * ZONES
        self.busy = [0] * ZONES
        self.waiting_s = 0.0
        self.idle_s = 0.0

    def update(self, zone, endpoint, now):
        """Account for the time since the last change."""
        elapsed = now - self.changed_s
        self.changed_s = now
        self.waiting_s += elapsed * sum(self.counts)
        if any(self.counts) and not all(self.busy):
            self.idle_s += elapsed
        self.counts[zone] = len(endpoint.queue)
        self.busy[zone] = endpoint.running


def simulate(world: World, build_rule, seed: int = 1) -> Figures:
    """Simulate all queries of a world.

    Parameters
    ----------
    world : World
    build_rule : callable
        ``build_rule(world, zone, random)`` returns the rule of one sender,
        with ``choose(shard, now)``, which returns a zone, and
        ``record(shard, zone, stated, took_ms, now)``; `stated` are running,
        waiting, slots and slowness.
    seed : int
    """
    generator = random.Random(seed)
    rules = [
        build_rule(world, i % world.busy_zones, random.Random(f"{seed} {i}"))
        for i in range(world.senders)
    ]
    endpoints = [
        [Endpoint(world, z, f"{seed} {s} {z}") for z in range(ZONES)]
        for s in range(world.shards)
    ]
    waiting = [Waiting() for _ in range(world.shards)]
    order = itertools.count()
    events = []
    now = 0.0
    for number in range(world.queries):
        if number % world.burst == 0:
            gap_s = world.burst / world.queries_per_s
            now += generator.expovariate(1.0 / gap_s)
            senders = generator.sample(range(world.senders), world.burst)
        sender = senders[number % world.burst]
        events.append((now, next(order), QUERY, (number, sender)))
    heapq.heapify(events)
    slowest_ms = [0.0] * world.queries
    parts_in_time = remote = messages = most_waiting = 0

    def push(due_s, kind, data):
        heapq.heappush(events, (due_s, next(order), kind, data))

    def compute_delay_s(sender, zone):
        is_near = sender % world.busy_zones == zone
        return (0.25 if is_near else world.remote_ms) / 1000.0

    def start(endpoint, data, now):
        endpoint.running += 1
        push(endpoint.draw_end_s(now), DEPARTURE, data)

    while events:
        now, _, kind, data = heapq.heappop(events)
        if kind == QUERY:
            number, sender = data
            for shard in range(world.shards):
                zone = rules[sender].choose(shard, now)
                remote += zone != sender % world.busy_zones
                delay_s = compute_delay_s(sender, zone)
                part = (number, sender, shard, zone, now)
                push(now + delay_s, ARRIVAL, part)
            continue
        number, sender, shard, zone, sent_s = data[:5]
        endpoint = endpoints[shard][zone]
        if kind == ARRIVAL:
            messages += 1
            if endpoint.running < world.slots:
                start(endpoint, data, now)
            else:
                endpoint.queue.append(data)
                most_waiting = max(most_waiting, len(endpoint.queue))
            waiting[shard].update(zone, endpoint, now)
        elif kind == DEPARTURE:
            stated = (
                endpoint.running,
                len(endpoint.queue),
                world.slots,
                endpoint.read_factor(now),
            )
            endpoint.running -= 1
            if endpoint.queue:
                start(endpoint, endpoint.queue.popleft(), now)
            waiting[shard].update(zone, endpoint, now)
            delay_s = compute_delay_s(sender, zone)
            push(now + delay_s, ANSWER, (*data, stated))
        else:
            took_ms = (now - sent_s) * 1000.0
            rules[sender].record(shard, zone, data[5], took_ms, now)
            parts_in_time += took_ms <= world.objective_ms
            slowest_ms[number] = max(slowest_ms[number], took_ms)
    parts = world.queries * world.shards
    total_s = max(w.changed_s for w in waiting) * world.shards
    slowest_ms.sort()
    return Figures(
        most_waiting,
        sum(w.waiting_s for w in waiting) / (total_s * ZONES),
        sum(w.idle_s for w in waiting) / total_s,
        slowest_ms[len(slowest_ms) // 2],
        slowest_ms[int(len(slowest_ms) * 0.95)],
        parts_in_time / parts,
        remote / parts,
        messages,
    )
