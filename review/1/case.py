"""Two core machines lose their disks after a planned replacement."""

import asyncio
import json
import os
import signal
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "common"))

import standins  # noqa: E402

SYNC_TIME_S = 4.0
RECOVERY_S = 12.0
STABLE_WINDOW_S = 4.0
# The old machine is removed once its successor has had more than sync-time-s.
SUCCESSOR_HEAD_START_S = 6.0
# From the end of the removed machine's process to the loss of the disks.
LOSS_AFTER_REMOVAL_S = 2.5
DOWN_S = 1.0
# With KILL_ALL=1, all core processes are killed after the removal and are back
# at once; the disks are lost once all have been back for sync-time-s.
KILL_AFTER_REMOVAL_S = 1.0
SLACK_S = 0.15


async def run(platform, trouble):
    """Play the case; see `standins.run_case`."""
    only = os.environ.get("ONLY", "")
    cores = [
        platform.add_machine(f"core-{n}", f"1.{n}", f"z{n % 3}", "control")
        for n in range(1, 6)
    ]
    seeds = cores[:3]
    for machine in cores:
        machine.write_settings(seeds, True)
        await machine.start()
    route = standins.build_route("r", "/a/", "safe", 4000, service="desk")
    versions = iter(range(1, 100))

    async def put(machines, within_s):
        version = next(versions)
        document = standins.build_configuration(version, [route], ["desk"])
        if await platform.put_configuration(machines, document, within_s):
            return version
        return None

    if await put(cores, 20.0) is None:
        return None
    for machine in cores:
        machine.write_settings(seeds, False)
    await asyncio.sleep(5.0)

    # Planned replacement: the new machine first, then SIGTERM.
    removed, *remaining = cores
    successor = platform.add_machine("core-6", "1.6", removed.zone, "control")
    successor.write_settings(seeds, False)
    await successor.start()
    await asyncio.sleep(SUCCESSOR_HEAD_START_S)
    if trouble and only != "disks":
        removed.send_signal(signal.SIGTERM)
        await asyncio.wait_for(removed.process.wait(), standins.GRACE_S)
        platform.record.write(f"{removed.name} has ended and is removed")
    living = [*remaining, successor]
    newest = await put(living, 2.0)
    if newest is None:
        return None
    if trouble and os.environ.get("KILL_ALL"):
        await asyncio.sleep(KILL_AFTER_REMOVAL_S)
        for machine in living:
            machine.send_signal(signal.SIGKILL)
        for machine in living:
            await machine.process.wait()
        for machine in living:
            await machine.start()
        await asyncio.sleep(SYNC_TIME_S + SLACK_S)
        platform.record.write("all core processes are back for sync-time-s")
    else:
        await asyncio.sleep(LOSS_AFTER_REMOVAL_S)

    # As many machines as may be lost at once lose their disks.
    lost = remaining[: standins.TOLERATED_MACHINES]
    if trouble and only != "replacement":
        for machine in lost:
            machine.send_signal(signal.SIGKILL)
        for machine in lost:
            await machine.process.wait()
            machine.lose_disk()
        await asyncio.sleep(DOWN_S)
        for machine in lost:
            await machine.start()
    await asyncio.sleep(SYNC_TIME_S + RECOVERY_S)

    # Read back, repeatedly, for longer than stable-window-ms.
    read = set()
    end_s = time.monotonic() + 2 * STABLE_WINDOW_S
    while time.monotonic() < end_s:
        for machine in living:
            _, version = await platform.read_configuration(machine)
            read.add(version)
        await asyncio.sleep(0.5)
    broken = []
    versions_read = {v for v in read if v is not None}
    if not versions_read:
        broken.append(f"CONFIG: version {newest} was acknowledged; no read")
    elif max(versions_read) < newest:
        broken.append(f"CONFIG: read {versions_read}, acknowledged {newest}")
    if await put(living, 5.0) is None:
        platform.record.write("a further change is not acknowledged in 5 s")
    for machine in platform.machine_by_name.values():
        for row in machine.read_log():
            if row.get("message") in ("membership", "leadership"):
                kept = ("time", "vm", "role", "term", "members", "voters")
                text = json.dumps({k: row[k] for k in kept if k in row})
                platform.record.write(f"log {text}")
    return broken


if __name__ == "__main__":
    standins.run_case(FOLDER, run)
