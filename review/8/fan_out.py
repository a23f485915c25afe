"""The same as `case`, for a query to 12 shards of which 3 lose a backend.

One client asks once a second. The backends crash while they work on it, and
the query itself is answered by the other backends of these shards.
"""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common_2"))

import case as case_module  # noqa: E402
import world as world_module  # noqa: E402

SHARDS = 12
CRASHED_SHARDS = (0, 3, 7)  # one of two backends each, 3 of 24 in all
WORK_S = 0.03
INTO_WORK_S = 0.008


class Replica(world_module.Backend):
    """A backend of a shard, which knows when it last began to work."""

    began_s = 0.0

    async def run(self, request, attempt, writer):
        """Run one request."""
        self.began_s = self.world.record.now()
        await super().run(request, attempt, writer)


async def crash_at_work(world):
    """Crash backends that have just begun to work on the query."""
    began_s = world.record.now()
    working = []
    while len(working) < len(CRASHED_SHARDS):
        await asyncio.sleep(0.001)
        working = [
            replica
            for shard in CRASHED_SHARDS
            for replica in world.backends[2 * shard : 2 * shard + 2]
            if replica.began_s > began_s
        ]
    await asyncio.sleep(INTO_WORK_S)
    await case_module.crash_backends(world, working)


async def case(record, trouble):
    """Return what broke the rule."""
    world = world_module.World(record, controls=3, entries=2)
    shards = [f"shard-{number}" for number in range(SHARDS)]
    for shard in shards:
        for copy in (1, 2):
            replica = world.add_backend(
                f"{shard}-{copy}", shard, kind=Replica, work_s=WORK_S
            )
            replica.body = bytes(5 * 16)
    route = world_module.build_route(
        "r-fetch",
        "/fetch/",
        "safe",
        **{
            "timeout-ms": 2502,
            "fanout-services": shards,
            "top-k": 5,
            "min-coverage": 0.75,
        },
    )
    try:
        await world.start(world_module.build_document(1, [route], shards))
        return await case_module.play_faults(
            world,
            case_module.Load(world, rate_per_s=1.0),
            trouble,
            lambda: crash_at_work(world),
        )
    finally:
        await world.stop()


if __name__ == "__main__":
    world_module.play(case, FOLDER)
