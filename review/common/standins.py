"""Stand-ins of the platform for the review's scripts.

Only the standard library is used. Each machine has a loopback address of its
own, and every program of the system runs as a separate process, started with
the `run` line of the deploy file.
"""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import sys
import time
import tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(__file__)))
HOST = "review.example"
TOLERATED_MACHINES = 2
HEARTBEAT_MS = 1200
GRACE_S = 6.0
RESTART_DELAY_S = 0.5  # of a process that ended
POLICY_VALUES = {
    "seed-lag-s": 3,
    "reuse-after-s": 2,
    "stable-window-ms": 4000,
    "ack-ms": 5000,
    "sync-time-s": 4,
    "drain-ms": 3000,
    "grace-s": GRACE_S,
    "loss-slack-ms": 200,
    "config-apply-ms": 3000,
    "rollback-slack-ms": 250,
    "skew-max-ms": 12000,
    "retry-budget-ratio": 0.2,
    "budget-window-s": 10,
    "retry-budget-base": 116,
    "recovery-s": 12,
}
LOST = (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError)


class Record:
    """Writes what happened to record.txt, with the time since the start."""

    def __init__(self, folder):
        self.started_s = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w")

    def write(self, text):
        """Write one line."""
        at_s = time.monotonic() - self.started_s
        self.file.write(f"{at_s:8.3f} {text}\n")
        self.file.flush()


class Machine:
    """A machine of the system with its one process."""

    def __init__(self, platform, name, ip, zone, role):
        self.platform = platform
        self.name = name
        self.ip = ip
        self.zone = zone
        self.role = role
        self.folder = os.path.join(platform.folder, name)
        self.data = os.path.join(self.folder, "data")
        self.process = None
        self.watcher = None
        self.ends_by_order = False
        self.own_ends = 0  # ends of the process without an order
        os.makedirs(self.data)

    def write_settings(self, seeds, bootstrap):
        """Write the settings file as the template of the role shapes it."""
        ports = self.platform.ports
        front = self.role == "entry"
        addresses = {"control": f"{self.ip}:{ports['control']}"}
        if front:
            addresses = {
                "front": f"{self.ip}:{ports['front']}",
                "readiness-addr": f"{self.ip}:{ports['ready']}",
            }
        settings = {
            "node-name": self.name,
            "role": self.role,
            "machine-class": "front" if front else "core",
            "serves": ["front"] if front else ["control"],
            "ip-address": self.ip,
            "zone": self.zone,
            "region": "r1",
            "zones": {self.zone: "r1"},
            "bind-addrs": addresses,
            "internal-ports": [ports["inner"], ports["inner"] + 15],
            "seed-nodes": [f"{s.ip}:{ports['control']}" for s in seeds],
            "bootstrap": bootstrap,
            "fault-counted": not front,
            "limits": {
                "cpu-share": 0.731 if front else 0.86,
                "cpu-cores": 1 if front else 3,
                "memory-mb": 222 if front else 296,
                "max-fds": 1535 if front else 4096,
                "link-speed-mbps": 350.0 if front else 1000.0,
                "disk-mb": 0 if front else 128,
            },
            "data-dir": None if front else self.data,
            "discovery": "registry",
            "entry-point": "vip",
            "heartbeat-ms": HEARTBEAT_MS,
            "fault-tolerance": {
                "machines": TOLERATED_MACHINES,
                "zones": 0,
                "regions": 0,
            },
            "policy-values": POLICY_VALUES,
            "config_mode": "highest",
        }
        path = os.path.join(self.folder, "settings.json")
        with open(path + ".new", "w") as handle:
            json.dump(settings, handle)
        os.replace(path + ".new", path)

    async def start(self):
        """Start the process with the command of the deploy file."""
        run = self.platform.deploy["roles"][self.role]["run"].split()
        kept = ("PATH", "HOME", "LANG")
        environment = {k: os.environ[k] for k in kept if k in os.environ}
        environment["CHERVILSPINDLE_BOOT"] = os.path.join(
            self.folder, "settings.json"
        )
        environment["PYTHONPATH"] = os.path.join(ROOT, "target", "deps")
        with open(os.path.join(self.folder, "log"), "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *run, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.platform.record.write(f"start {self.name}")
        self.ends_by_order = False
        self.watcher = asyncio.create_task(self._watch(self.process))

    async def _watch(self, process):
        """Restart a process that ended by itself, after a short delay."""
        code = await process.wait()
        if self.ends_by_order:
            return
        text = f"{self.name} ended by itself with code {code}"
        self.platform.record.write(text)
        self.own_ends += 1
        await asyncio.sleep(RESTART_DELAY_S)
        if not self.ends_by_order:
            await self.start()

    def send_signal(self, number):
        """Send a signal to the process, if it runs."""
        if number in (signal.SIGTERM, signal.SIGKILL):
            self.ends_by_order = True
        if self.is_running():
            self.process.send_signal(number)
            text = f"{signal.Signals(number).name} to {self.name}"
            self.platform.record.write(text)

    def is_running(self):
        """Tell whether the process runs."""
        return self.process is not None and self.process.returncode is None

    async def kill(self):
        """Kill the process and wait until it has ended."""
        self.send_signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()

    def lose_disk(self):
        """Empty the data folder, which belongs to this test."""
        shutil.rmtree(self.data)
        os.makedirs(self.data)
        self.platform.record.write(f"disk of {self.name} is empty")

    def read_log(self):
        """Return the rows of the process's log."""
        rows = []
        with open(os.path.join(self.folder, "log")) as handle:
            for line in handle:
                try:
                    rows.append(json.loads(line))
                except ValueError:
                    pass
        return rows


class Platform:
    """Machines of one deployment, and the operator."""

    def __init__(self, folder, record):
        self.folder = folder
        self.record = record
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as handle:
            self.deploy = tomllib.load(handle)
        self.net = random.randrange(10, 250)
        self.ports = find_ports()
        self.machine_by_name = {}

    def add_machine(self, name, ip, zone, role):
        """Add a machine; its process is started separately."""
        machine = Machine(self, name, f"127.{self.net}.{ip}", zone, role)
        self.machine_by_name[name] = machine
        return machine

    async def stop_all(self):
        """End all processes that this platform has started."""
        for machine in self.machine_by_name.values():
            machine.ends_by_order = True
        for machine in self.machine_by_name.values():
            if machine.is_running():
                machine.process.send_signal(signal.SIGCONT)
                machine.process.kill()
                await machine.process.wait()

    async def call_control(self, machine, method, path, body=b"", wait_s=1.0):
        """Call a control machine; the status is 0 without an answer."""
        call = exchange(
            machine.ip, self.ports["control"], method, path, {}, body
        )
        try:
            status, _, data = await asyncio.wait_for(call, wait_s)
        except LOST:
            return 0, b""
        return status, data

    async def put_configuration(self, machines, document, within_s):
        """Send a configuration until it is acknowledged, as operators do."""
        body = json.dumps(document).encode()
        end_s = time.monotonic() + within_s
        number = 0
        while time.monotonic() < end_s:
            machine = machines[number % len(machines)]
            number += 1
            status, _ = await self.call_control(
                machine, "PUT", "/api/config", body
            )
            text = f"PUT version {document['version']} at {machine.name}"
            self.record.write(f"{text}: {status}")
            if status == 200:
                return True
            await asyncio.sleep(min(1.0, 0.1 * number))
        return False

    async def read_configuration(self, machine):
        """Read the configuration; the version is None without a 200."""
        status, data = await self.call_control(machine, "GET", "/api/config")
        version = json.loads(data)["version"] if status == 200 else None
        text = f"GET at {machine.name}: {status}, version {version}"
        self.record.write(text)
        return status, version


class Backend:
    """A sound backend of the platform."""

    def __init__(self, platform, backend_id, service, ip, zone, **options):
        self.platform = platform
        self.backend_id = backend_id
        self.service = service
        self.ip = f"127.{platform.net}.{ip}"
        self.zone = zone
        self.work_s = options.get("work_s", 0.1)
        self.slots = options.get("slots", 3)
        self.queue = options.get("queue", 12)
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.busy = 0
        self.waiting = 0
        self.free = asyncio.Condition()
        self.runs = []  # (time, request id) of each request that ran
        self.ended = set()  # ids of requests that it answered
        self.server = None

    async def start(self):
        """Listen."""
        port = self.platform.ports["backend"]
        self.server = await asyncio.start_server(self._serve, self.ip, port)

    async def announce(self, machine):
        """Send one heartbeat to a control machine; return the status."""
        self.sequence += 1
        beat = {
            "service": self.service,
            "address": f"{self.ip}:{self.platform.ports['backend']}",
            "zone": self.zone,
            "version": "v1",
            "concurrency-limit": self.slots,
            "state": self.state,
            "cold-left-ms": 0,
            "sequence": self.sequence,
            "born": self.born,
        }
        path = f"/api/instances/{self.backend_id}"
        body = json.dumps(beat).encode()
        status, _ = await self.platform.call_control(
            machine, "PUT", path, body
        )
        return status

    async def keep_announcing(self, machines):
        """Send heartbeats until cancelled, to another machine if one fails."""
        number = random.randrange(len(machines))
        while True:
            machine = machines[number % len(machines)]
            if await self.announce(machine) != 200:
                number += 1
                await asyncio.sleep(0.2)
                continue
            await asyncio.sleep(HEARTBEAT_MS / 1000.0)

    async def _serve(self, reader, writer):
        try:
            while True:
                head, body = await read_message(reader)
                if not await self._answer(head, reader, writer):
                    break
        except LOST:
            pass
        finally:
            writer.close()

    async def _answer(self, head, reader, writer):
        headers = head[1]
        request_id = headers.get("chervilspindle-attempt-id", "")
        expected = headers.get("chervilspindle-expect-instance")
        load = f"{self.busy},{self.waiting},{self.slots}"
        common = {
            "Chervilspindle-Attempt-Id": request_id,
            "Chervilspindle-Server-Load": load,
        }
        not_run = {**common, "Chervilspindle-Not-Executed": "1"}
        if expected not in (None, self.backend_id):
            write_answer(writer, 421, not_run, b"")
            return True
        if not request_id:
            write_answer(writer, 400, not_run, b"")
            return True
        if self.waiting >= self.queue:
            write_answer(writer, 503, not_run, b"")
            return True
        async with self.free:
            self.waiting += 1
            await self.free.wait_for(lambda: self.busy < self.slots)
            self.waiting -= 1
            self.busy += 1
        record = self.platform.record
        self.runs.append((time.monotonic(), request_id))
        record.write(f"run {request_id} at {self.backend_id}")
        try:
            await asyncio.sleep(self.work_s)
        finally:
            async with self.free:
                self.busy -= 1
                self.free.notify()
        self.ended.add(request_id)
        record.write(f"ran {request_id} at {self.backend_id}")
        stamp = {
            "Chervilspindle-Server-Stamp": f"{self.backend_id}.{request_id}"
        }
        write_answer(
            writer, 200, {**common, **stamp}, self.build_body(request_id)
        )
        await writer.drain()
        return True

    def build_body(self, request_id):
        """Return the body of the answer to a request."""
        generator = random.Random(f"{self.service} {request_id}")
        return generator.randbytes(20 * 16)


def build_route(name, prefix, route_type, timeout_ms, **target):
    """Return a route of a configuration."""
    return {
        "name": name,
        "hostname": HOST,
        "path-prefix": prefix,
        "route-type": route_type,
        "timeout-ms": timeout_ms,
        "slo-ms": 350,
        "priority": 1,
        "max-attempts": 2,
        **target,
    }


def build_configuration(version, routes, services):
    """Return a complete configuration."""
    return {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": name,
                "health-path": "/health",
                "max-connections": 214,
                "protocol": "h1",
                "tls": False,
            }
            for name in services
        ],
        "limits": {
            "header-max-bytes": 16384,
            "body-max-bytes": 262144,
            "header-timeout-ms": 3000,
            "idle-timeout-ms": 15000,
        },
    }


def write_answer(writer, status, headers, body):
    """Write an answer with a length."""
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines += [f"Content-Length: {len(body)}", "", ""]
    writer.write("\r\n".join(lines).encode("latin-1") + body)


async def read_message(reader):
    """Read a message with a length.

    Returns
    -------
    (first line, headers), body : (str, dict of str to str), bytes
    """
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.split("\r\n")
    headers = {}
    for line in lines:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return (first, headers), body


async def exchange(ip, port, method, target, headers, body):
    """Send one request on a new connection and read its answer.

    Returns
    -------
    status, headers, body : int, dict of str to str, bytes
    """
    reader, writer = await asyncio.open_connection(ip, port)
    try:
        lines = [f"{method} {target} HTTP/1.1", f"Host: {HOST}"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        lines += [f"Content-Length: {len(body)}", "", ""]
        writer.write("\r\n".join(lines).encode() + body)
        (first, answer_headers), data = await read_message(reader)
        return int(first.split()[1]), answer_headers, data
    finally:
        writer.close()


def find_ports():
    """Return ports that are free at the time of the call."""
    names = ("control", "front", "ready", "backend")
    probes = [socket.socket() for _ in names]
    try:
        for probe in probes:
            probe.bind(("127.0.0.1", 0))
        ports = {n: p.getsockname()[1] for n, p in zip(names, probes)}
    finally:
        for probe in probes:
            probe.close()
    while True:
        inner = random.randrange(20000, 30000, 16)
        if not set(range(inner, inner + 16)) & set(ports.values()):
            break
    return {**ports, "inner": inner}


async def wait_for(predicate, within_s, interval_s=0.1):
    """Wait until an asynchronous predicate holds; return whether it did."""
    end_s = time.monotonic() + within_s
    while time.monotonic() < end_s:
        if await predicate():
            return True
        await asyncio.sleep(interval_s)
    return False


def run_case(folder, case):
    """Run a case and exit with 0 (held), 1 (broken) or 2 (could not run).

    Parameters
    ----------
    folder : str
        Where record.txt is written.
    case : callable
        ``await case(platform, trouble)`` returns a list of what broke the
        rule, or None if the case could not run.
    """
    import tempfile

    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder)
    temporary = tempfile.mkdtemp(prefix="review-")

    async def main():
        platform = Platform(temporary, record)
        try:
            return await asyncio.wait_for(case(platform, trouble), 115)
        finally:
            await platform.stop_all()

    broken = None
    try:
        broken = asyncio.run(main())
    except Exception as error:
        record.write(f"the case could not run: {error!r}")
    if os.environ.get("KEEP"):
        print(temporary)
    else:
        shutil.rmtree(temporary, ignore_errors=True)
    if broken is None:
        record.write("RESULT: could not run")
        sys.exit(2)
    for text in broken:
        record.write(f"BROKEN: {text}")
    record.write(f"RESULT: {'broken' if broken else 'held'}")
    sys.exit(1 if broken else 0)
