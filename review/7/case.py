"""The leader is gone for good, its successor is in step; two lose disks."""

import asyncio
import json
import pathlib
import shutil
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common_2"))

import world as world_module  # noqa: E402

SUCCESSOR_S = 8.0  # it runs before the old machine goes, `sync-time-s` is 4
LOST_AFTER_S = float(sys.argv[1]) if len(sys.argv) > 1 else 1.2
DOWN_S = 1.0
SETTLED_S = 16.0  # `sync-time-s` and `recovery-s`
READ_S = 12.0


async def put(world, version):
    """Send a configuration until a node acknowledges it."""
    route = world_module.build_route(
        "r-fetch", "/fetch/", "safe", service="fetch"
    )
    document = world_module.build_document(version, [route], ["fetch"])
    body = json.dumps(document).encode()
    await world.repeat(
        f"version {version}",
        lambda: world.call_control("PUT", "/api/config", body),
        200,
    )


def find_leader(world):
    """Return the control process that logged last that it leads."""
    latest = None
    for process in world.controls:
        with open(process.folder / "log", encoding="utf-8") as handle:
            for line in handle:
                if '"leadership"' not in line or '"leader"' not in line:
                    continue
                row = json.loads(line)
                if row.get("role") != "leader":
                    continue
                if latest is None or row["time"] > latest[0]:
                    latest = (row["time"], process)
    if latest is None:
        raise world_module.CannotRun("no leader was logged")
    return latest[1]


async def lose_disk(process):
    """Kill a machine, empty its disk and start it again."""
    process.world.record.write(f"{process.name} loses power and its disk")
    await process.end()
    shutil.rmtree(process.data)
    process.data.mkdir()
    process.write_settings(False)
    await asyncio.sleep(DOWN_S)
    await process.start()


async def read_back(world, statuses):
    """Read the configuration at each node; return versions that came."""
    versions = set()
    for process in world.controls:
        if process.process.returncode is not None:
            continue
        try:
            async with asyncio.timeout(1.5):
                response = await world.exchange(
                    process.ip, world.control_port, "GET", "/api/config"
                )
        except (OSError, EOFError, asyncio.TimeoutError) as error:
            status = type(error).__name__
        else:
            status = response.status
            if status == 200:
                versions.add(json.loads(response.body)["version"])
        statuses[status] = statuses.get(status, 0) + 1
    return versions


async def case(record, trouble):
    """Return what broke the rule."""
    world = world_module.World(record, controls=5, entries=1)
    world.add_backend("i-1", "fetch")
    statuses = {}
    versions = set()
    try:
        route = world_module.build_route(
            "r-fetch", "/fetch/", "safe", service="fetch"
        )
        await world.start(world_module.build_document(1, [route], ["fetch"]))
        await asyncio.sleep(4.0)
        old = find_leader(world)
        successor = world_module.Process(
            world, "control", "core-6", f"{world.net}.6", old.zone
        )
        successor.write_settings(False)
        await successor.start()
        await asyncio.sleep(SUCCESSOR_S)
        await put(world, 2)
        others = [p for p in world.controls if p is not old]
        world.controls.append(successor)
        if trouble:
            record.write(f"{old.name} is gone for good")
            old.send(signal.SIGKILL)
            await old.end()
            await asyncio.sleep(LOST_AFTER_S)
            await asyncio.gather(*(lose_disk(p) for p in others[:2]))
        await asyncio.sleep(SETTLED_S)
        end_s = record.now() + READ_S
        while record.now() < end_s:
            versions |= await read_back(world, statuses)
            await asyncio.sleep(0.3)
        running = [
            p.name for p in world.controls if p.process.returncode is None
        ]
        record.write(f"running: {', '.join(running)}")
    finally:
        await world.stop()
    record.write(f"reads by status: {statuses}, versions {versions}")
    if not versions:
        return ["the acknowledged configuration doesn't come"]
    if max(versions) < 2:
        return [f"version {max(versions)} was read, 2 was acknowledged"]
    return []


world_module.play(case, FOLDER)
