"""Three core machines are replaced one after the other, as planned."""

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
REPLACED = 3  # the site has a spare machine of the core in each zone
# The first old machine is stopped once all successors have had more than
# sync-time-s; the pause between two of them.
SUCCESSOR_HEAD_START_S = 6.0
PAUSE_S = 1.5


async def run(platform, trouble):
    """Play the case; see `standins.run_case`."""
    cores = [
        platform.add_machine(f"core-{n}", f"1.{n}", f"z{n % 3}", "control")
        for n in range(1, 6)
    ]
    seeds = cores[:3]
    for machine in cores:
        machine.write_settings(seeds, True)
        await machine.start()
    route = standins.build_route("r", "/a/", "safe", 4000, service="desk")

    async def put(version, machines, within_s):
        document = standins.build_configuration(version, [route], ["desk"])
        return await platform.put_configuration(machines, document, within_s)

    if not await put(1, cores, 20.0):
        return None
    for machine in cores:
        machine.write_settings(seeds, False)
    await asyncio.sleep(5.0)

    # Planned replacements: the new machines first, then SIGTERM in turn.
    old, kept = cores[:REPLACED], cores[REPLACED:]
    successors = []
    for number, machine in enumerate(old, len(cores) + 1):
        successor = platform.add_machine(
            f"core-{number}", f"1.{number}", machine.zone, "control"
        )
        successor.write_settings(seeds, False)
        await successor.start()
        successors.append(successor)
    await asyncio.sleep(SUCCESSOR_HEAD_START_S)
    living = [*kept, *successors]
    if not await put(2, living, 3.0):
        return None
    if trouble:
        for machine in old:
            machine.send_signal(signal.SIGTERM)
            await asyncio.wait_for(machine.process.wait(), standins.GRACE_S)
            platform.record.write(f"{machine.name} has ended and is removed")
            await asyncio.sleep(PAUSE_S)
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
    if 2 not in read:
        broken.append(f"CONFIG: version 2 was acknowledged; read {read}")
    if not await put(3, living, 5.0):
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
