"""All backends of a service are down for a while; then the final fault."""

import asyncio
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common_2"))

import world as world_module  # noqa: E402

RATE_PER_S = 30.0
WORK_S = 0.3
CALM_S = 8.0
DOWN_S = 4.5  # `srv_crash` of all backends of a service
BEFORE_FINAL_S = 6.0  # from the return of the backends
SYSTEM_DOWN_S = 0.8  # `kill_all`
RECOVERY_S = 12.0
MEASURED_S = 12.0
SERVED_SHARE = 0.25


class Load:
    """Clients that all ask for the same page."""

    def __init__(self, world, rate_per_s=RATE_PER_S):
        self.world = world
        self.rate_per_s = rate_per_s
        self.rows = []  # (time of sending, status)
        self.number = 0

    async def run(self):
        """Send until cancelled."""
        async with asyncio.TaskGroup() as group:
            while True:
                self.number += 1
                group.create_task(self.send(self.number))
                await asyncio.sleep(1.0 / self.rate_per_s)

    async def send(self, number):
        """Send one request."""
        world = self.world
        entry = world.entries[number % len(world.entries)]
        sent_s = world.record.now()
        headers = [
            (world_module.ATTEMPT, f"a{number}"),
            (world_module.DEADLINE, "4000"),
        ]
        try:
            async with asyncio.timeout(4.5):
                status = await world.call(
                    entry.ip,
                    world.front_port,
                    "GET",
                    "/fetch/1",
                    b"",
                    headers,
                )
        except (OSError, EOFError, asyncio.TimeoutError) as error:
            status = type(error).__name__
        self.rows.append((sent_s, status))

    def count(self, start_s, end_s):
        """Return how many were sent in a time, by status."""
        counts = {}
        for sent_s, status in self.rows:
            if start_s <= sent_s < end_s:
                counts[status] = counts.get(status, 0) + 1
        return counts


def compute_share(counts):
    """Return the share of requests that were served."""
    return counts.get(200, 0) / max(1, sum(counts.values()))


async def crash_backends(world, backends):
    """Stop backends, and start them anew."""
    for backend in backends:
        world.record.write(f"{backend.id} crashes")
        backend.stop()
    await asyncio.sleep(DOWN_S)
    for backend in backends:
        service, address = backend.service, backend.address
        new = type(backend)(
            world, f"{backend.id}-again", service, address, backend.work_s
        )
        new.body = backend.body
        world.backends.append(new)
        await new.start()
        world.record.write(f"{new.id} starts")


async def kill_all(world):
    """Kill all processes of the system, and start them again."""
    processes = (*world.controls, *world.entries)
    for process in processes:
        process.send(signal.SIGKILL)
    for process in processes:
        await process.end()
    await asyncio.sleep(SYSTEM_DOWN_S)
    for process in processes:
        await process.start()


async def play_faults(world, load, trouble, crash):
    """Let clients send through both faults; return what broke the rule."""
    record = world.record
    await asyncio.sleep(3.0)
    started_s = record.now()
    sending = asyncio.create_task(load.run())
    try:
        await asyncio.sleep(CALM_S)
        if trouble:
            await crash()
        await asyncio.sleep(BEFORE_FINAL_S)
        final_s = record.now()
        if trouble:
            await kill_all(world)
        back_s = record.now()
        await asyncio.sleep(RECOVERY_S + MEASURED_S)
        end_s = record.now()
        await asyncio.sleep(0.5)
    finally:
        sending.cancel()
    before = load.count(started_s, final_s)
    after = load.count(back_s + RECOVERY_S, end_s)
    record.write(f"sent before the final fault, by status: {before}")
    record.write(f"sent {RECOVERY_S} s after the return: {after}")
    if compute_share(before) < SERVED_SHARE:
        raise world_module.CannotRun("too little was served before")
    if not after:
        raise world_module.CannotRun("nothing was sent afterwards")
    if compute_share(after) < SERVED_SHARE:
        return [f"{compute_share(after):.2f} of the requests are served"]
    return []


async def case(record, trouble):
    """Return what broke the rule."""
    world = world_module.World(record, controls=3, entries=2)
    fetch = [
        world.add_backend(f"i-{n}", "fetch", work_s=WORK_S) for n in (1, 2, 3)
    ]
    for number in (4, 5):
        world.add_backend(f"i-{number}", "search")
    routes = [
        world_module.build_route(
            f"r-{s}", f"/{s}/", "safe", service=s, **{"timeout-ms": 4004}
        )
        for s in ("fetch", "search")
    ]
    try:
        await world.start(
            world_module.build_document(1, routes, ["fetch", "search"])
        )
        return await play_faults(
            world,
            Load(world),
            trouble,
            lambda: crash_backends(world, fetch),
        )
    finally:
        await world.stop()


if __name__ == "__main__":
    world_module.play(case, FOLDER)
