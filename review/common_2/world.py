"""A small deployment on loopback addresses, and stand-ins around it.

The processes of the system are started with the commands of the deploy file.
Backends, clients and the operator are small stand-ins that follow the pages.
"""

import asyncio
import contextlib
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
HEARTBEAT_S = 1.2
GRACE_S = 6
HOST = "desk.example"
ATTEMPT = "Chervilspindle-Attempt-Id"
DEADLINE = "Chervilspindle-Deadline-Ms"
STAMP = "Chervilspindle-Server-Stamp"
EXPECT = "Chervilspindle-Expect-Instance"
NOT_RUN = "Chervilspindle-Not-Executed"


class CannotRun(Exception):
    """The case could not be set up; says nothing about the system."""


class Record:
    """The record of what was sent, answered and run."""

    def __init__(self, path):
        self.handle = open(path, "w", encoding="utf-8")
        self.started_s = time.monotonic()

    def now(self):
        """Return the time since the start, in s."""
        return time.monotonic() - self.started_s

    def write(self, text):
        """Write one line with the time since the start."""
        line = f"{self.now():8.3f} {text}"
        self.handle.write(line + "\n")
        self.handle.flush()
        print(line, flush=True)


def find_ports(count):
    """Return free ports, not next to each other's uses."""
    ports = []
    with contextlib.ExitStack() as stack:
        while len(ports) < count:
            listener = stack.enter_context(socket.socket())
            listener.bind(("127.0.0.1", 0))
            ports.append(listener.getsockname()[1])
    return ports


def find_inner_port():
    """Return a port that is free together with the next one."""
    while True:
        port = random.randrange(20000, 30000)
        with contextlib.ExitStack() as stack:
            try:
                for number in (port, port + 1):
                    listener = stack.enter_context(socket.socket())
                    listener.bind(("127.0.0.1", number))
            except OSError:
                continue
            return port


class Message:
    """A request or a response that was read."""

    def __init__(self, first, headers, body=b"", complete=True):
        self.first = first
        self.headers = headers
        self.body = body
        self.complete = complete

    @property
    def status(self):
        """Return the status of a response."""
        return int(self.first.split()[1])

    def get(self, name):
        """Return the first value of a header, or None."""
        for key, value in self.headers:
            if key.lower() == name.lower():
                return value
        return None


async def read_head(reader):
    """Return the first line and the headers; None at a close before."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if not error.partial:
            return None
        raise
    lines = head.decode("latin-1").split("\r\n")[:-2]
    headers = []
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers.append((name.strip(), value.strip()))
    return lines[0], headers


def build(first, headers, body=b""):
    """Return a message with a length as bytes."""
    lines = [first, *(f"{n}: {v}" for n, v in headers)]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Backend:
    """A backend: announces itself and answers one request at a time."""

    def __init__(self, world, backend_id, service, address, work_s=0.01):
        self.world = world
        self.id = backend_id
        self.service = service
        self.address = address
        self.work_s = work_s
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.body = b"answer"
        self.extra = []
        self.runs = []
        self.server = None
        self.announcing = None
        self.writers = set()
        self.zone = "z1"

    async def start(self):
        """Listen and announce."""
        host, port = self.address.split(":")
        self.server = await asyncio.start_server(
            self.serve, host, int(port), limit=1 << 20
        )
        self.announcing = asyncio.create_task(self.announce_again())

    def stop(self):
        """Close all, as a process that ends."""
        if self.announcing:
            self.announcing.cancel()
        if self.server:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def announce_again(self):
        """Send heartbeats."""
        while True:
            with contextlib.suppress(OSError, asyncio.TimeoutError, EOFError):
                await self.announce()
            await asyncio.sleep(HEARTBEAT_S)

    async def announce(self):
        """Send one heartbeat; return the status."""
        self.sequence += 1
        body = json.dumps(
            {
                "service": self.service,
                "address": self.address,
                "zone": self.zone,
                "version": "v1",
                "concurrency-limit": 4,
                "state": self.state,
                "cold-left-ms": 0,
                "sequence": self.sequence,
                "born": self.born,
            }
        ).encode()
        return await self.world.call_control(
            "PUT", f"/api/instances/{self.id}", body
        )

    async def serve(self, reader, writer):
        """Serve one connection."""
        self.writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                request = Message(*head)
                length = int(request.get("Content-Length") or 0)
                request.body = await reader.readexactly(length)
                await self.handle(request, writer)
                await writer.drain()
        except (OSError, EOFError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def handle(self, request, writer):
        """Answer one request."""
        attempt = request.get(ATTEMPT)
        if request.first.startswith("GET /health "):
            writer.write(
                build(
                    "HTTP/1.1 200 OK",
                    [("Chervilspindle-Instance-Id", self.id)],
                )
            )
            return
        if request.get(EXPECT) not in (None, self.id):
            writer.write(build("HTTP/1.1 421 Misdirected", [(NOT_RUN, "1")]))
            return
        await self.run(request, attempt, writer)

    def build_answer(self, attempt, status="200 OK"):
        """Return the answer to a request as bytes."""
        headers = [
            (ATTEMPT, attempt),
            (STAMP, f"{self.id}.{attempt}"),
            *self.extra,
        ]
        return build(f"HTTP/1.1 {status}", headers, self.body)

    async def run(self, request, attempt, writer):
        """Run one request and answer it."""
        self.runs.append(attempt)
        self.world.record.write(f"{self.id} runs {attempt}")
        await asyncio.sleep(self.work_s)
        writer.write(self.build_answer(attempt))


class Process:
    """One process of the system."""

    def __init__(self, world, role, name, ip, zone):
        self.world = world
        self.role = role
        self.name = name
        self.ip = ip
        self.zone = zone
        self.folder = world.folder / name
        self.folder.mkdir()
        self.data = self.folder / "data"
        if role == "control":
            self.data.mkdir()
        self.settings = self.folder / "settings.json"
        self.process = None

    def write_settings(self, first_start):
        """Write the settings as the template of the deploy file does."""
        world = self.world
        served = {"control": f"{self.ip}:{world.control_port}"}
        if self.role == "entry":
            served = {
                "front": f"{self.ip}:{world.front_port}",
                "readiness-addr": f"{self.ip}:{world.ready_port}",
            }
        serves = ["control"] if self.role == "control" else ["front"]
        content = {
            "node-name": self.name,
            "role": self.role,
            "machine-class": "core" if self.role == "control" else "front",
            "serves": serves,
            "ip-address": self.ip,
            "zone": self.zone,
            "region": "r1",
            "zones": {"z1": "r1", "z2": "r1", "z3": "r1"},
            "bind-addrs": served,
            "internal-ports": [world.inner_port, world.inner_port + 1],
            "seed-nodes": [
                f"{p.ip}:{world.control_port}" for p in world.controls[:3]
            ],
            "bootstrap": first_start,
            "fault-counted": self.role == "control",
            "limits": {
                "cpu-share": 0.731,
                "cpu-cores": 1,
                "memory-mb": 222,
                "max-fds": 1535,
                "link-speed-mbps": 350.0,
                "disk-mb": 128 if self.role == "control" else 0,
            },
            "data-dir": str(self.data) if self.role == "control" else None,
            "discovery": "registry",
            "entry-point": "vip",
            "heartbeat-ms": 1200,
            "policy-terms": world.terms,
            "fault-tolerance": {
                "machines": (len(world.controls) - 1) // 2,
                "zones": 0,
                "regions": 0,
            },
            "policy-values": world.values,
            "config_mode": "highest",
        }
        new = self.settings.with_suffix(".new")
        new.write_text(json.dumps(content))
        new.replace(self.settings)

    async def start(self):
        """Start the process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = deploy["roles"][self.role]["run"].split()
        kept = ("PATH", "HOME", "JAVA_HOME", "LANG")
        environment = {k: os.environ[k] for k in kept if k in os.environ}
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["CHERVILSPINDLE_BOOT"] = str(self.settings)
        log = open(self.folder / "log", "ab")
        self.process = await asyncio.create_subprocess_exec(
            *command, cwd=ROOT, env=environment, stdout=log, stderr=log
        )
        log.close()
        self.world.record.write(f"start {self.name} pid {self.process.pid}")

    def send(self, number):
        """Send a signal, if the process runs."""
        if self.process is not None and self.process.returncode is None:
            name = signal.Signals(number).name
            self.world.record.write(f"{name} to {self.name}")
            self.process.send_signal(number)

    async def end(self):
        """Kill the process and wait for its end."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
        if self.process is not None:
            await self.process.wait()


class World:
    """All processes and stand-ins of one run."""

    def __init__(self, record, controls=1, entries=1):
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="case-"))
        net = f"127.{random.randrange(20, 240)}"
        self.net = f"{net}.{random.randrange(1, 250)}"
        ports = find_ports(4)
        self.front_port, self.ready_port, self.control_port = ports[:3]
        self.backend_port = ports[3]
        self.inner_port = find_inner_port()
        self.terms = ["base", "drain", "config", "cost", "retry", "recover"]
        self.terms.append("scatter")
        self.values = {
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
        self.zones = ("z1", "z2", "z3")
        self.controls = []
        self.entries = []
        for number in range(controls):
            self.controls.append(
                Process(
                    self,
                    "control",
                    f"core-{number + 1}",
                    f"{self.net}.{number + 1}",
                    self.zones[number % 3],
                )
            )
        for number in range(entries):
            self.entries.append(
                Process(
                    self,
                    "entry",
                    f"front-{number + 1}",
                    f"{self.net}.{number + 50}",
                    "z1",
                )
            )
        self.backends = []

    def add_backend(self, backend_id, service, kind=Backend, **fields):
        """Add a backend at an address of its own."""
        number = 100 + len(self.backends)
        address = f"{self.net}.{number}:{self.backend_port}"
        backend = kind(self, backend_id, service, address, **fields)
        self.backends.append(backend)
        return backend

    async def start(self, document):
        """Start all, and wait until the configuration is acknowledged."""
        for process in (*self.controls, *self.entries):
            process.write_settings(True)
            await process.start()
        for backend in self.backends:
            await backend.start()
        body = json.dumps(document).encode()
        await self.repeat(
            "configuration",
            lambda: self.call_control("PUT", "/api/config", body),
            200,
        )
        for process in (*self.controls, *self.entries):
            process.write_settings(False)
        for entry in self.entries:
            await self.repeat(
                f"{entry.name} ready",
                lambda e=entry: self.call(
                    e.ip, self.ready_port, "GET", "/api/ready"
                ),
                200,
            )

    async def repeat(self, what, attempt, status, for_s=25.0):
        """Call until a status comes."""
        end_s = time.monotonic() + for_s
        seen = None
        while time.monotonic() < end_s:
            try:
                async with asyncio.timeout(2.0):
                    seen = await attempt()
            except (OSError, EOFError, asyncio.TimeoutError) as error:
                seen = repr(error)
            if seen == status:
                self.record.write(f"{what}: {status}")
                return
            await asyncio.sleep(0.2)
        raise CannotRun(f"{what}: {seen}")

    async def call(self, ip, port, method, path, body=b"", headers=()):
        """Send one request on a new connection; return the status."""
        response = await self.exchange(ip, port, method, path, body, headers)
        return response.status

    async def exchange(self, ip, port, method, path, body=b"", headers=()):
        """Send one request on a new connection; return the response."""
        reader, writer = await asyncio.open_connection(ip, port)
        try:
            rows = [("Host", HOST), ("Content-Type", "application/json")]
            writer.write(
                build(f"{method} {path} HTTP/1.1", [*rows, *headers], body)
            )
            response = Message(*(await read_head(reader) or ("closed 0", [])))
            length = int(response.get("Content-Length") or 0)
            response.body = await reader.readexactly(length)
            return response
        finally:
            writer.close()

    async def call_control(self, method, path, body=b""):
        """Call control at any of its nodes until one answers below 500."""
        status = 0
        for process in random.sample(self.controls, len(self.controls)):
            try:
                async with asyncio.timeout(1.0):
                    status = await self.call(
                        process.ip, self.control_port, method, path, body
                    )
            except (OSError, EOFError, asyncio.TimeoutError):
                continue
            if status < 500:
                return status
        return status

    async def stop(self):
        """End all that was started."""
        for backend in self.backends:
            backend.stop()
        for process in (*self.entries, *self.controls):
            await process.end()
        shutil.rmtree(self.folder, ignore_errors=True)


def build_route(name, prefix, route_type, **fields):
    """Return a route."""
    return {
        "name": name,
        "hostname": HOST,
        "path-prefix": prefix,
        "route-type": route_type,
        "timeout-ms": 10005,
        "slo-ms": 600,
        "priority": 2,
        "max-attempts": 2,
        **fields,
    }


def build_document(version, routes, services):
    """Return a configuration."""
    return {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": name,
                "health-path": "/health",
                "max-connections": 58,
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


def play(case, folder, limit_s=110.0):
    """Run a case: ``case(record, trouble)`` returns the breaks of the rule.

    Exits with 1 if there are any, 0 if not, 2 if the case could not run.
    """
    record = Record(pathlib.Path(folder) / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write(f"trouble: {trouble}")

    async def limited():
        async with asyncio.timeout(limit_s):
            return await case(record, trouble)

    try:
        broken = asyncio.run(limited())
    except (CannotRun, asyncio.TimeoutError, OSError) as error:
        record.write(f"cannot run: {error!r}")
        sys.exit(2)
    for line in broken:
        record.write(f"BROKEN: {line}")
    record.write("rule broken" if broken else "rule held")
    sys.exit(1 if broken else 0)
