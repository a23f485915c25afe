"""Randomized fault soak: real processes on loopback, promises checked.

Entries and control members run as processes of their own. Faults come from
outside: signals, wiped disks, and a proxy before each endpoint. Promises are
judged from what callers, operators and endpoints see.
"""

import asyncio
import collections
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import typing

import uvloop

from chervilspindle.core import loops
from chervilspindle.platform import names
from chervilspindle.platform import samples
from chervilspindle.routing import record_merging
from chervilspindle.tools import backends
from chervilspindle.tools import fault_proxy

SHARDS = tuple(f"shard-{i}" for i in range(6))
HOST = "soak.example"
CONNECTIONS = 60
TOP_K = 5
MIN_COVERAGE = 0.5
APPLY_S = 3.0  # an accepted change is in force everywhere after this
DRAIN_S = 3.0  # an endpoint that leaves gets no new work after this
TOUCH_S = 4.0  # undisturbed time after which bounds hold again
SETTLE_S = 10.0  # recovery at the end of a run
BEAT_S = 0.6
REQUEST_S = 0.02
GRACE_S = 6.0
MEMBERS = 3
ENTRIES = 4


class Finding(typing.NamedTuple):
    """One promise that did not hold."""

    at_s: float
    promise: str
    detail: str


class Node:
    """One process of the system."""

    def __init__(self, folder, name, ip, ports, serves_control):
        self.name = name
        self.ip = ip
        self.ports = ports
        self.serves_control = serves_control
        self.folder = os.path.join(folder, name)
        self.data = os.path.join(self.folder, "data")
        self.settings = os.path.join(self.folder, "settings.json")
        self.process = None
        self.log = None
        self.log_offset = 0
        self.disturbed_s = 0.0
        self.busy = False

    def write_settings(self, seeds, first_start):
        """Write the settings file as the platform would."""
        os.makedirs(self.data, exist_ok=True)
        front, ready, control, inner = self.ports
        addresses = {"control": f"{self.ip}:{control}"}
        if not self.serves_control:
            addresses = {
                "front": f"{self.ip}:{front}",
                "ready": f"{self.ip}:{ready}",
            }
        found = samples.build_settings(
            self.name,
            self.ip,
            addresses,
            [inner, inner + 1],
            seeds,
            first_start,
            self.data if self.serves_control else None,
            MEMBERS // 2,
            GRACE_S,
        )
        with open(self.settings, "w", encoding="utf-8") as handle:
            json.dump(found, handle)

    async def start(self):
        """Start the process; its log goes on in the same file."""
        self.log = open(self.get_log_path(), "ab")
        self.log_offset = os.path.getsize(self.get_log_path())
        environment = {**os.environ, names.SETTINGS_VARIABLE: self.settings}
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "chervilspindle.platform",
            env=environment,
            stdout=self.log,
            stderr=self.log,
        )

    def get_log_path(self):
        """Return the path of the log of all its processes."""
        return os.path.join(self.folder, "log")

    def has_served(self):
        """Tell whether the present process came to listen."""
        with open(self.get_log_path(), "rb") as handle:
            handle.seek(self.log_offset)
            return b'"message": "serving"' in handle.read()

    def send_signal(self, number):
        """Send a signal to this process, if it runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def end(self, number):
        """End the process and wait for it."""
        self.send_signal(number)
        if self.process is not None:
            await self.process.wait()
        if self.log is not None:
            self.log.close()


class Soak:
    """One run.

    Parameters
    ----------
    loop : asyncio.AbstractEventLoop
    seed : int
    seconds : float
    folder : str
        Data and logs of the processes.
    """

    def __init__(self, loop, seed: int, seconds: float, folder: str):
        self.loop = loop
        self.random = random.Random(seed)
        self.seconds = seconds
        self.folder = folder
        self.findings = []
        self.counts = collections.Counter()
        self.sequence = 0
        self.version = 0
        self.acked = []
        self.refused_ids = set()
        self.left_at_by_id = {}
        self.stopping = False
        self.started_s = loop.time()
        ports = find_ports(5)
        net = self.random.randrange(10, 250)
        self.members = [
            Node(folder, f"core-{i}", f"127.{net}.1.{i + 1}", ports[:4], True)
            for i in range(MEMBERS)
        ]
        self.entries = [
            Node(
                folder, f"front-{i}", f"127.{net}.2.{i + 1}", ports[:4], False
            )
            for i in range(ENTRIES)
        ]
        clock = loops.LoopClock(loop)
        self.backends = []
        self.proxy_by_id = {}
        for number, service in enumerate((*SHARDS, "desk")):
            for copy in range(2):
                ip = f"127.{net}.{3 + copy}.{number + 1}"
                endpoint_id = f"{service}-{copy}"
                backend = backends.Backend(
                    loop, clock, endpoint_id, service, "z1", f"{ip}:{ports[4]}"
                )
                backend.born = 1000
                proxy = fault_proxy.FaultProxy(loop, backend.address)
                backend.proxy_address = f"{ip}:{ports[4] + 1}"
                self.backends.append(backend)
                self.proxy_by_id[endpoint_id] = proxy

    def find(self, promise, detail):
        """Record that a promise did not hold."""
        at = round(self.loop.time() - self.started_s, 3)
        self.findings.append(Finding(at, promise, detail))

    async def run(self):
        """Play the whole run; returns the findings."""
        seeds = [f"{m.ip}:{m.ports[2]}" for m in self.members]
        for node in (*self.members, *self.entries):
            node.write_settings(seeds, True)
        for backend in self.backends:
            await backend.start()
            await self.proxy_by_id[backend.endpoint_id].start(
                backend.proxy_address
            )
        for node in (*self.members, *self.entries):
            await node.start()
        tasks = [self.loop.create_task(self._announce_all())]
        try:
            await self._put_document()
            for node in (*self.members, *self.entries):
                node.write_settings(seeds, False)
            await asyncio.sleep(2.0)
            for job in (self._ask_all, self._operate, self._disturb):
                tasks.append(self.loop.create_task(job()))
            await asyncio.sleep(self.seconds)
            self.stopping = True
            await asyncio.wait(tasks[1:], timeout=30)
            await self._check_recovery()
            self._check_runs()
        finally:
            for task in tasks:
                task.cancel()
            for node in (*self.members, *self.entries):
                await node.end(signal.SIGKILL)
            for backend in self.backends:
                backend.stop()
                self.proxy_by_id[backend.endpoint_id].stop()
        return self.findings

    # Endpoints and operators.

    async def _announce_all(self):
        while True:
            for backend in self.backends:
                if backend.endpoint_id not in self.left_at_by_id:
                    self.loop.create_task(self._announce(backend))
            await asyncio.sleep(BEAT_S)

    async def _announce(self, backend):
        value = backend.build_announcement()
        value["address"] = backend.proxy_address
        path = f"/api/instances/{backend.endpoint_id}"
        status, _ = await self._call_control("PUT", path, value)
        draining = value["state"] == "draining"
        if status == 200 and draining:
            self.left_at_by_id.setdefault(
                backend.endpoint_id, self.loop.time()
            )
        return status

    async def _call_control(self, method, path, value=None, member=None):
        member = member or self.random.choice(self.members)
        body = json.dumps(value).encode() if value is not None else b""
        try:
            status, _, data = await asyncio.wait_for(
                exchange(member.ip, member.ports[2], method, path, {}, body),
                1.5,
            )
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return 0, b""
        return status, data

    def _build_document(self):
        self.version += self.random.randint(1, 3)
        newest = f"v{self.version}"
        to_desk = samples.build_service_target("desk")
        to_shards = samples.build_fanout_target(SHARDS, TOP_K, MIN_COVERAGE)
        routes = [
            samples.build_route("all", HOST, "/all/", True, **to_shards),
            samples.build_route("once", HOST, "/once/", False, **to_desk),
            samples.build_route(newest, HOST, f"/{newest}/", True, **to_desk),
        ]
        return samples.build_configuration(
            self.version, routes, (*SHARDS, "desk"), CONNECTIONS
        )

    async def _put_document(self):
        document = self._build_document()
        for _ in range(60):
            status, _ = await self._call_control(
                "PUT", "/api/config", document
            )
            if status == 200:
                self.acked.append((self.loop.time(), document["version"]))
                return
            if 400 <= status < 500:
                self.find("valid change refused", f"status {status}")
                return
            await asyncio.sleep(0.3)
        self.find("change not acknowledged", f"version {document['version']}")

    async def _operate(self):
        while not self.stopping:
            await asyncio.sleep(self.random.uniform(0.5, 3.0))
            await self._put_document()
            self.loop.create_task(self._check_read(None))
            self.loop.create_task(self._check_in_force(self.acked[-1]))

    async def _check_read(self, member):
        """A read never gives a version older than one long acknowledged."""
        newest = self._newest_acked(self.loop.time() - APPLY_S)
        status, data = await self._call_control(
            "GET", "/api/config", member=member
        )
        if status == 200 and json.loads(data)["version"] < newest:
            self.find("read is older", data[:40].decode())
        return status

    def _newest_acked(self, before):
        return max((v for at, v in self.acked if at <= before), default=0)

    async def _check_in_force(self, acked):
        """All undisturbed entries serve a version some seconds after it."""
        at, version = acked
        await asyncio.sleep(max(0.0, at + APPLY_S - self.loop.time()))
        if self._newest_acked(self.loop.time()) != version:
            return
        for entry in self.entries:
            if self._is_disturbed(entry):
                continue
            status = await self._ask_one(entry, f"/v{version}/x", "GET")
            superseded = self._newest_acked(self.loop.time()) != version
            if status == 404 and not superseded:
                if not self._is_disturbed(entry):
                    self.find("change not in force", f"{entry.name} {version}")

    def _is_disturbed(self, node):
        nodes = (node, *self.members)
        last = max(n.disturbed_s for n in nodes)
        if any(n.busy for n in nodes):
            return True
        return self.loop.time() - last < TOUCH_S

    # Callers.

    async def _ask_all(self):
        asking = set()
        while not self.stopping:
            entry = self.random.choice(self.entries)
            if self.random.random() < 0.6:
                job = self._ask_one(entry, "/all/x", "GET")
            else:
                job = self._ask_one(entry, "/once/x", "POST")
            task = self.loop.create_task(job)
            asking.add(task)
            task.add_done_callback(asking.discard)
            await asyncio.sleep(self.random.expovariate(1 / REQUEST_S))
        if asking:
            await asyncio.wait(asking, timeout=5)

    async def _ask_one(self, entry, path, method):
        self.sequence += 1
        request_id = f"r{self.sequence}"
        headers = {
            names.HEADERS.request_id: request_id,
            names.HEADERS.deadline_ms: "1500",
        }
        body = request_id.encode() if method == "POST" else b""
        front = entry.ports[0]
        calling = exchange(entry.ip, front, method, path, headers, body)
        try:
            status, found, data = await asyncio.wait_for(calling, 4.0)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            self.counts["no answer"] += 1
            return 0
        self.counts[f"{path.split('/')[1][:4]} {status}"] += 1
        if status == 200 and path.startswith("/all/"):
            self._check_answer(request_id, found, data)
        elif status == 200 and method == "POST":
            self._check_single(request_id, found, data)
        elif status in (429, 503) and method == "POST":
            self.refused_ids.add(request_id)
        return status

    def _check_answer(self, request_id, headers, body):
        stamps = headers.get(names.HEADERS.part_stamps.lower(), "").split(",")
        missing = int(headers.get(names.HEADERS.missing_parts.lower(), "0"))
        services = []
        for stamp in stamps:
            endpoint_id, _, for_id = stamp.strip().partition(".")
            services.append(endpoint_id.rsplit("-", 1)[0])
            if for_id != request_id:
                self.find("another caller's part", f"{stamp} {request_id}")
        if len(set(services)) < len(services) or not set(services) <= set(
            SHARDS
        ):
            self.find("parts of no one version", str(services))
        if len(services) + missing != len(SHARDS):
            self.find("untrue coverage", f"{services} and {missing}")
        if len(services) < MIN_COVERAGE * len(SHARDS):
            self.find("too few parts", str(services))
        by_service = {b.service: b for b in self.backends}
        bodies = [
            by_service[s].build_body(request_id.encode()) for s in services
        ]
        if body != record_merging.merge_top(bodies, TOP_K):
            self.find("wrong records", request_id)

    def _check_single(self, request_id, headers, body):
        stamp = headers.get(names.HEADERS.stamp.lower(), "")
        if stamp.partition(".")[2] != request_id:
            self.find("another caller's answer", f"{stamp} {request_id}")
        if body != self.backends[-1].build_body(request_id.encode()):
            self.find("answer is not whole", request_id)

    # Faults.

    async def _disturb(self):
        running = set()
        while not self.stopping:
            fault = self.random.choice(
                (
                    self._kill,
                    self._kill,
                    self._freeze,
                    self._restart,
                    self._wipe,
                    self._harm_endpoint,
                    self._harm_endpoint,
                    self._harm_endpoint,
                    self._drain_endpoint,
                )
            )
            task = self.loop.create_task(fault())
            running.add(task)
            task.add_done_callback(running.discard)
            await asyncio.sleep(self.random.uniform(0.2, 2.5))
        if running:
            await asyncio.wait(running, timeout=20)

    def _take(self, nodes):
        """Pick a node to disturb; a majority of control stays whole."""
        free = [n for n in nodes if not n.busy]
        if nodes is self.members:
            away = sum(1 for n in nodes if self._was_lately_away(n))
            if away >= MEMBERS // 2:
                return None
        if not free:
            return None
        node = self.random.choice(free)
        node.busy = True
        node.disturbed_s = self.loop.time()
        self.counts[f"fault on {node.name[:4]}"] += 1
        return node

    def _was_lately_away(self, node):
        return node.busy or self.loop.time() - node.disturbed_s < TOUCH_S

    def _give_back(self, node):
        node.disturbed_s = self.loop.time()
        node.busy = False

    def _pick_group(self):
        return self.random.choice((self.members, self.entries, self.entries))

    async def _kill(self):
        node = self._take(self._pick_group())
        if node is None:
            return
        await node.end(signal.SIGKILL)
        await asyncio.sleep(self.random.uniform(0.1, 2.0))
        await node.start()
        self._give_back(node)

    async def _freeze(self):
        node = self._take(self._pick_group())
        if node is None:
            return
        node.send_signal(signal.SIGSTOP)
        await asyncio.sleep(self.random.uniform(0.3, 4.0))
        node.send_signal(signal.SIGCONT)
        self._give_back(node)

    async def _restart(self):
        node = self._take(self._pick_group())
        if node is None:
            return
        node.send_signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(node.process.wait(), GRACE_S)
            code = node.process.returncode
            # The interpreter itself ends a process that gets the signal
            # before any code of ours runs; it holds no work yet.
            early = code == -signal.SIGTERM and not node.has_served()
            if code != 0 and not early:
                self.find("shutdown failed", f"{node.name}: {code}")
        except asyncio.TimeoutError:
            self.find("shutdown took too long", node.name)
        await node.end(signal.SIGKILL)
        await node.start()
        self._give_back(node)

    async def _wipe(self):
        node = self._take(self.members)
        if node is None:
            return
        await node.end(signal.SIGKILL)
        shutil.rmtree(node.data)
        os.makedirs(node.data)
        await asyncio.sleep(self.random.uniform(0.1, 1.0))
        await node.start()
        self._give_back(node)

    async def _harm_endpoint(self):
        backend = self.random.choice(self.backends)
        proxy = self.proxy_by_id[backend.endpoint_id]
        kind = self.random.choice(
            ("delay", "silent", "one_way", "reset", "refuse", "pause")
            + ("fail", "shed", "lose")
        )
        self.counts[f"endpoint {kind}"] += 1
        if kind == "delay":
            proxy.delay_s = self.random.uniform(0.01, 0.3)
        elif kind == "silent":
            proxy.silent = True
        elif kind == "one_way":
            proxy.one_way = True
        elif kind == "reset":
            proxy.reset_all()
        elif kind == "refuse":
            proxy.refusing = True
            proxy.reset_all()
        elif kind == "pause":
            backend.paused = True
        elif kind == "fail":
            backend.failing = True
        elif kind == "shed":
            backend.refusing = True
        else:
            backend.lose_share = 0.3
        await asyncio.sleep(self.random.uniform(0.2, 4.0))
        self._heal_endpoint(backend)

    def _heal_endpoint(self, backend):
        self.proxy_by_id[backend.endpoint_id].heal()
        backend.failing = backend.refusing = False
        backend.lose_share = 0.0
        backend.resume()

    async def _drain_endpoint(self):
        """Let an endpoint leave, and come back as a new process."""
        backend = self.random.choice(self.backends)
        if backend.state != "ready":
            return
        backend.state = "draining"
        self.counts["endpoint leaves"] += 1
        while backend.endpoint_id not in self.left_at_by_id:
            if self.stopping:
                break
            await asyncio.sleep(0.05)
        left = self.left_at_by_id.get(backend.endpoint_id, self.loop.time())
        await asyncio.sleep(max(0.0, left + DRAIN_S - self.loop.time()))
        count = len(backend.runs)
        calm = not any(self._is_disturbed(e) for e in self.entries)
        await asyncio.sleep(0.5)
        still = not any(self._is_disturbed(e) for e in self.entries)
        if calm and still and len(backend.runs) > count:
            self.find("work after draining", backend.endpoint_id)
        backend.born += 1000
        backend.sequence = 0
        backend.state = "ready"
        self.left_at_by_id.pop(backend.endpoint_id, None)

    # The end.

    async def _check_recovery(self):
        for backend in self.backends:
            self._heal_endpoint(backend)
        for node in (*self.members, *self.entries):
            node.send_signal(signal.SIGCONT)
            if node.process.returncode is not None:
                self.find("process ended by itself", node.name)
                await node.start()
        await asyncio.sleep(SETTLE_S)
        version = self._newest_acked(self.loop.time())
        for entry in self.entries:
            for path in ("/all/x", f"/v{version}/x"):
                status = await self._ask_one(entry, path, "GET")
                if status != 200:
                    text = f"{entry.name} {path} {status}"
                    self.find("not served after recovery", text)
        for member in self.members:
            status = await self._check_read(member)
            if status != 200:
                text = f"{member.name} {status}"
                self.find("not readable after recovery", text)

    def _check_runs(self):
        runs = collections.Counter(
            run.request_id
            for backend in self.backends
            for run in backend.runs
            if run.target.startswith("/once/")
        )
        for request_id, count in runs.items():
            if count > 1:
                self.find("ran more than once", f"{request_id} {count}")
            if request_id in self.refused_ids:
                self.find("ran though refused", request_id)


async def exchange(host, port, method, path, headers, body):
    """Send one request on a new connection.

    Returns
    -------
    status, headers, body : int, dict of str to str, bytes
    """
    reader, writer = await asyncio.open_connection(host, port)
    try:
        lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}"]
        lines += [f"{k}: {v}" for k, v in headers.items()]
        lines += [f"Content-Length: {len(body)}", "", ""]
        writer.write("\r\n".join(lines).encode() + body)
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        rows = head.split("\r\n")
        found = dict(r.lower().split(": ", 1) for r in rows[1:] if ": " in r)
        length = int(found.get("content-length", "0"))
        return int(rows[0].split()[1]), found, await reader.readexactly(length)
    finally:
        writer.close()


def find_ports(count: int) -> list[int]:
    """Return ports that are free now, with room for a second one above."""
    probes = [socket.socket() for _ in range(count)]
    try:
        for probe in probes:
            probe.bind(("127.0.0.1", 0))
        return [probe.getsockname()[1] for probe in probes]
    finally:
        for probe in probes:
            probe.close()


def run_soak(seed: int, seconds: float, keep: str = ""):
    """Run one seed.

    Returns
    -------
    findings, counts : list of Finding, collections.Counter
    """
    folder = keep or tempfile.mkdtemp(prefix="soak-")
    loop = uvloop.new_event_loop()
    asyncio.set_event_loop(loop)
    try:
        soak = Soak(loop, seed, seconds, folder)
        findings = loop.run_until_complete(soak.run())
    finally:
        left = asyncio.all_tasks(loop)
        for task in left:
            task.cancel()
        loop.run_until_complete(asyncio.gather(*left, return_exceptions=True))
        loop.close()
        if not keep:
            shutil.rmtree(folder, ignore_errors=True)
    return findings, soak.counts
