"""Entries that are restarted in turn cut requests that they took late."""

import asyncio
import math
import os
import signal
import sys
import time
import zlib

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "common"))

import standins  # noqa: E402

ENTRIES = 4  # of the clients' zone; all are stopped and started in turn
OTHER_ENTRIES = 2  # of another zone; never stopped
GAP_S = 1.0  # between two SIGTERMs, as the site's own roll_term has it
CLIENTS = 48
BACKENDS = 18
WORK_S = 0.36
DEADLINE_MS = 4004
# An excuse of the rule ends here: requests sent no later than 3 s after the
# SIGTERM may be cut in the last sixth of grace-s.
EXCUSED_S = 3.0
RUN_S = 16.0
TERM_AT_S = 5.0
RESTART_DELAY_S = 0.5
CHECK_S = 1.0
CHECK_TIMEOUT_S = 1.0
TERM_BEFORE_CHECK_S = 0.2  # from a SIGTERM to the next readiness check
MISSES = 2


class Ingress:
    """Chooses the node of each new connection, as the platform does."""

    def __init__(self, platform, entries, zone):
        self.platform = platform
        self.entries = entries
        self.near = [e for e in entries if e.zone == zone]
        self.far = [e for e in entries if e.zone != zone]
        self.checked_s = 0.0
        self.misses = {e.name: MISSES for e in entries}

    async def check(self):
        """Check all nodes once a second, until cancelled."""
        while True:
            self.checked_s = time.monotonic()
            await asyncio.gather(
                asyncio.sleep(CHECK_S), *map(self._check_one, self.entries)
            )

    async def _check_one(self, entry):
        port = self.platform.ports["ready"]
        call = standins.exchange(entry.ip, port, "GET", "/api/ready", {}, b"")
        try:
            status, _, _ = await asyncio.wait_for(call, CHECK_TIMEOUT_S)
        except standins.LOST:
            status = 0
        before = self.misses[entry.name] < MISSES
        if status == 200:
            self.misses[entry.name] = 0
        else:
            self.misses[entry.name] += 1
        now = self.misses[entry.name] < MISSES
        if now != before:
            text = "in rotation" if now else "out of rotation"
            self.platform.record.write(f"{entry.name} is {text}")

    def choose(self, client, retries):
        """Return the node of a connection; retries reach other nodes."""
        nodes = [e for e in self.near if self.misses[e.name] < MISSES]
        if not nodes:
            nodes = self.far
        elif 2 * len(nodes) < len(self.near):
            nodes = self.near
        return nodes[(zlib.crc32(client.encode()) + retries) % len(nodes)]


class Attempt:
    """One request of a client, and what became of it."""

    def __init__(self, request_id, entry, sent_s):
        self.request_id = request_id
        self.entry = entry
        self.sent_s = sent_s
        self.ended_s = None
        self.status = None  # None: the connection ended without an answer


async def send_requests(platform, ingress, number, attempts, end_s):
    """Send requests one after the other, each on a new connection."""
    client = f"client-{number}"
    count = retries = 0
    await asyncio.sleep(number * WORK_S / CLIENTS)
    while time.monotonic() < end_s:
        count += 1
        entry = ingress.choose(client, retries)
        request_id = f"q{number:02d}-{count:03d}"
        attempt = Attempt(request_id, entry, time.monotonic())
        headers = {
            "Chervilspindle-Attempt-Id": request_id,
            "Chervilspindle-Deadline-Ms": str(DEADLINE_MS),
        }
        call = standins.exchange(
            entry.ip,
            platform.ports["front"],
            "POST",
            "/once/x",
            headers,
            request_id.encode(),
        )
        try:
            attempt.status, _, _ = await asyncio.wait_for(call, 5.0)
        except ConnectionRefusedError:
            retries += 1
            await asyncio.sleep(0.05)
            continue
        except standins.LOST as error:
            platform.record.write(f"{request_id} got no answer: {error!r}")
        retries = 0
        attempt.ended_s = time.monotonic()
        attempts.append(attempt)
        text = f"sent {request_id} to {entry.name} at {attempt.sent_s:.3f}"
        platform.record.write(f"{text}: status {attempt.status}")


async def stop_and_restart(platform, entry):
    """Send SIGTERM, then SIGKILL after grace-s; start it again."""
    entry.send_signal(signal.SIGTERM)
    try:
        await asyncio.wait_for(entry.process.wait(), standins.GRACE_S)
    except asyncio.TimeoutError:
        await entry.kill()
    platform.record.write(f"{entry.name} has ended")
    entry.ends_by_order = True
    await asyncio.sleep(RESTART_DELAY_S)
    await entry.start()


async def run(platform, trouble):
    """Play the case; see `standins.run_case`."""
    cores = [
        platform.add_machine(f"core-{n}", f"1.{n}", "z1", "control")
        for n in range(1, 6)
    ]
    entries = [
        platform.add_machine(f"front-{n}", f"2.{n}", "z1", "entry")
        for n in range(1, ENTRIES + 1)
    ]
    others = [
        platform.add_machine(f"far-{n}", f"4.{n}", "z2", "entry")
        for n in range(1, OTHER_ENTRIES + 1)
    ]
    for machine in (*cores, *entries, *others):
        machine.write_settings(cores[:3], True)
        await machine.start()
    backends = [
        standins.Backend(
            platform, f"i-{n}", "desk", f"3.{n}", "z1", work_s=WORK_S
        )
        for n in range(1, BACKENDS + 1)
    ]
    route = standins.build_route(
        "once", "/once/", "unsafe", DEADLINE_MS, service="desk"
    )
    document = standins.build_configuration(1, [route], ["desk"])
    if not await platform.put_configuration(cores, document, 20.0):
        return None
    for machine in (*cores, *entries, *others):
        machine.write_settings(cores[:3], False)
    ingress = Ingress(platform, [*entries, *others], "z1")
    tasks = [asyncio.create_task(ingress.check())]
    for backend in backends:
        await backend.start()
        tasks.append(asyncio.create_task(backend.keep_announcing(cores)))
    await asyncio.sleep(5.0)

    started_s = time.monotonic()
    attempts = []
    clients = [
        asyncio.create_task(
            send_requests(platform, ingress, n, attempts, started_s + RUN_S)
        )
        for n in range(CLIENTS)
    ]
    await asyncio.sleep(TERM_AT_S)
    term_s_by_name = {}
    stops = []
    due_s = ingress.checked_s + CHECK_S - TERM_BEFORE_CHECK_S
    await asyncio.sleep(max(0.0, due_s - time.monotonic()))
    for entry in entries if trouble else ():
        term_s_by_name[entry.name] = time.monotonic()
        stops.append(asyncio.create_task(stop_and_restart(platform, entry)))
        await asyncio.sleep(GAP_S)
    await asyncio.gather(*clients, *stops)
    for task in tasks:
        task.cancel()

    ran = {request_id for b in backends for _, request_id in b.runs}
    served = sum(1 for a in attempts if a.status == 200)
    platform.record.write(f"{served} of {len(attempts)} requests: 200")
    if served < len(attempts) / 2:
        return None
    broken = []
    for attempt in attempts:
        if attempt.status is not None or attempt.request_id not in ran:
            continue
        term_s = term_s_by_name.get(attempt.entry.name, math.inf)
        after_s = attempt.sent_s - term_s
        text = (
            f"{attempt.request_id} at {attempt.entry.name}, sent {after_s:.2f}"
            f" s after the SIGTERM, ran and was cut"
            f" {attempt.ended_s - attempt.sent_s:.2f} s after it was sent"
        )
        if EXCUSED_S < after_s < standins.GRACE_S + 1.0:
            broken.append(f"LOST: {text}")
        else:
            platform.record.write(f"excused: {text}")
    return broken


if __name__ == "__main__":
    standins.run_case(FOLDER, run)
