"""Randomized fault-injection soak over real processes on loopback.

Each entry and control member runs in its own process. Faults are injected
from outside the processes: signals, wiped data folders, and a proxy in front
of each endpoint. The promised guarantees are checked against what callers,
operators and endpoints observe.
"""

import asyncio
import collections
import json
import os
import random
import shutil
import signal
import sys
import tempfile
import typing

import uvloop

from chervilspindle.core import loops
from chervilspindle.platform import names
from chervilspindle.platform import samples
from chervilspindle.routing import record_merging
from chervilspindle.tools import backends
from chervilspindle.tools import disk_faults
from chervilspindle.tools import fault_proxy
from chervilspindle.tools import free_ports
from chervilspindle.tools import hostile_callers

SHARDS = tuple(f"shard-{i}" for i in range(6))
HOST = "soak.example"
CONNECTIONS = 60
TOP_K = 5
MIN_COVERAGE = 0.5
APPLY_S = 3.0  # limit for an accepted change to reach all entries
DRAIN_S = 3.0  # a draining endpoint gets no new work after this
RECOVERY_S = 4.0  # undisturbed time after which time limits apply
FINAL_RECOVERY_S = 10.0  # wait before the checks at the end of a run
ANNOUNCE_INTERVAL_S = 0.6
MEAN_ARRIVAL_INTERVAL_S = 0.02
SHUTDOWN_GRACE_S = 6.0
DISK_SETTLING_S = 1.0  # until a member that ends of a fault has ended
SYNC_TIME_S = 4.0  # a new member counts as sound after this
MAX_START_S = 10.0  # of a process on a busy machine
# Of a process that ended by itself; the defaults of systemd.
RESTART_DELAY_S = 0.1
START_LIMIT = 5
START_LIMIT_INTERVAL_S = 10.0
PAUSE_SLACK_S = 0.5  # for requests on the way when a pause begins
# An entry has to be refused once to know of a pause; two more may cross it.
MAX_PAUSE_ARRIVALS = 3
MEMBERS = 3
ENTRIES = 4
MEMORY_MB = 152.0  # of the smallest VM that the product is made for


class Finding(typing.NamedTuple):
    """One observed violation of a promise."""

    at_s: float
    promise: str
    detail: str


class DiskFault(typing.NamedTuple):
    """One fault of a disk.

    Parameters
    ----------
    kind : str
        One of `disk_faults.FAULTS`.
    for_s : float
    meanwhile : str
        What happens half way: "kill", "wipe" (killed, and the disk is lost),
        or nothing.
    """

    kind: str
    for_s: float
    meanwhile: str = ""


class Node:
    """A control member or an entry, run as a process that can restart.

    Attributes
    ----------
    checkout : str
        Folder of the build to run; empty for the one of this process.
    lost : int
        Control members that may fail at the same time.
    memory_mb : float
    """

    lost = MEMBERS // 2
    memory_mb = MEMORY_MB

    def __init__(self, folder, name, ip, ports, serves_control):
        self.name = name
        self.ip = ip
        self.ports = ports
        self.serves_control = serves_control
        self.folder = os.path.join(folder, name)
        self.data = os.path.join(self.folder, "data")
        self.settings = os.path.join(self.folder, "settings.json")
        self.disk = disk_faults.DiskSwitch(os.path.join(self.folder, "disk"))
        self.process = None
        self.log = None
        self.log_offset = 0
        self.disturbed_s = 0.0
        self.busy = False
        self.starts = 0
        self.end_codes = []  # while `keep_running` looked after it
        self.checkout = ""

    def build_settings(self, seeds, first_start) -> dict:
        """Return the settings as the platform would write them."""
        front, ready, control, inner = self.ports
        addresses = {"control": f"{self.ip}:{control}"}
        if not self.serves_control:
            addresses = {
                "front": f"{self.ip}:{front}",
                "ready": f"{self.ip}:{ready}",
            }
        return samples.build_settings(
            self.name,
            self.ip,
            addresses,
            [inner, inner + 1],
            seeds,
            first_start,
            self.data if self.serves_control else None,
            self.lost,
            SHUTDOWN_GRACE_S,
            self.memory_mb,
        )

    def write_settings(self, seeds, first_start):
        """Write the settings file."""
        os.makedirs(self.data, exist_ok=True)
        settings = self.build_settings(seeds, first_start)
        # A process may read the file at any moment.
        with open(self.settings + ".new", "w", encoding="utf-8") as handle:
            json.dump(settings, handle)
        os.replace(self.settings + ".new", self.settings)

    async def start(self):
        """Start the process, appending to the log of earlier starts."""
        self.starts += 1
        self.log = open(self.get_log_path(), "ab")
        self.log_offset = os.path.getsize(self.get_log_path())
        environment = {**os.environ, names.SETTINGS_VARIABLE: self.settings}
        program = ["chervilspindle.platform"]
        if self.checkout:
            environment["PYTHONPATH"] = self.checkout
        elif self.serves_control:
            program = [disk_faults.__name__, self.disk.path, self.data]
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            *program,
            env=environment,
            cwd=self.checkout or None,
            stdout=self.log,
            stderr=self.log,
        )

    def get_log_path(self):
        """Return the path of the log that all starts of the node share."""
        return os.path.join(self.folder, "log")

    def has_served(self):
        """Return whether the current process has logged that it serves."""
        with open(self.get_log_path(), "rb") as handle:
            handle.seek(self.log_offset)
            return b'"message": "serving"' in handle.read()

    async def wait_until_served(self):
        """Wait until the process serves, at most `MAX_START_S`."""
        for _ in range(round(MAX_START_S / 0.05)):
            if self.has_served():
                return
            await asyncio.sleep(0.05)

    def send_signal(self, number):
        """Send a signal to the process if it is running."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def keep_running(self):
        """Start the process again each time that it ends, until cancelled.

        Like a supervisor, give up on one that ends again and again.
        """
        loop = asyncio.get_running_loop()
        started_s = collections.deque(maxlen=START_LIMIT)
        while True:
            await self.process.wait()
            self.log.close()
            self.end_codes.append(self.process.returncode)
            now = loop.time()
            if len(started_s) == START_LIMIT and (
                now - started_s[0] < START_LIMIT_INTERVAL_S
            ):
                return
            started_s.append(now)
            await asyncio.sleep(RESTART_DELAY_S)
            await self.start()

    async def stop(self, number):
        """Send a signal to the process and wait until it has exited."""
        self.send_signal(number)
        if self.process is not None:
            await self.process.wait()
        if self.log is not None:
            self.log.close()


class Soak:
    """One soak run: the processes, the faults, the load and the checks.

    Parameters
    ----------
    loop : asyncio.AbstractEventLoop
    seed : int
    seconds : float
    folder : str
        Where the processes keep their data and logs.
    """

    def __init__(self, loop, seed: int, seconds: float, folder: str):
        self.loop = loop
        self.random = random.Random(seed)
        # A stream of its own keeps the faults of earlier seeds as they were.
        self.endless_random = random.Random(f"endless {seed}")
        self.notice_random = random.Random(f"notice {seed}")
        self.writer_random = random.Random(f"writer {seed}")
        self.member_random = random.Random(f"member {seed}")
        self.disk_random = random.Random(f"disk {seed}")
        self.caller_random = random.Random(f"caller {seed}")
        self.seconds = seconds
        self.folder = folder
        self.findings = []
        self.counts = collections.Counter()
        self.sequence = 0
        self.version = 0
        self.acked = []
        self.sent_versions = []
        self.refused_ids = set()
        self.left_at_by_id = {}
        self.stopping = False
        self.started_s = loop.time()
        ports = free_ports.find_ports(5)
        self.member_ports = ports[:4]
        net = self.random.randrange(10, 250)
        self.member_net = f"127.{net}.1"
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
        self.spares = []  # members that take the place of another soon
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
                backend.incarnation = 1000
                proxy = fault_proxy.FaultProxy(loop, backend.address)
                backend.proxy_address = f"{ip}:{ports[4] + 1}"
                self.backends.append(backend)
                self.proxy_by_id[endpoint_id] = proxy

    def record_violation(self, promise, detail):
        """Record a violation of a promise."""
        at = round(self.loop.time() - self.started_s, 3)
        self.findings.append(Finding(at, promise, detail))

    async def run(self):
        """Run the soak and return its findings."""
        self._write_settings(True)
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
            self._write_settings(False)
            await self._lose_first_disk()
            await asyncio.sleep(2.0)
            for activity in (
                self._generate_load,
                self._run_operator,
                self._inject_faults,
                self._inject_endless_answers,
                self._inject_pauses,
                self._inject_leaving,
                self._inject_unusable_announcements,
                self._replace_members,
                self._inject_disk_faults,
                self._inject_hostile_callers,
                self._watch_memory,
            ):
                tasks.append(self.loop.create_task(activity()))
            await self._wait_for_end()
            self.stopping = True
            await asyncio.wait(tasks[1:], timeout=30)
            await self._check_recovery()
            self._check_runs()
        finally:
            for task in tasks:
                task.cancel()
            for node in (*self.members, *self.spares, *self.entries):
                await node.stop(signal.SIGKILL)
            for backend in self.backends:
                backend.stop()
                self.proxy_by_id[backend.endpoint_id].stop()
        return self.findings

    async def _lose_first_disk(self):
        """Lose a disk right after the first document, at half of the seeds."""
        if self.member_random.random() < 0.5:
            await self._wipe(self.member_random)

    async def _wait_for_end(self):
        await asyncio.sleep(self.seconds)

    def _list_seeds(self):
        return [f"{m.ip}:{m.ports[2]}" for m in self.members]

    def _write_settings(self, first_start):
        seeds = self._list_seeds()
        for node in (*self.members, *self.entries):
            node.write_settings(seeds, first_start)

    # Endpoints and operators.

    async def _announce_all(self):
        while True:
            for backend in self.backends:
                if backend.endpoint_id not in self.left_at_by_id:
                    self.loop.create_task(self._announce(backend))
            await asyncio.sleep(ANNOUNCE_INTERVAL_S)

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
        body = b"" if value is None else value
        if not isinstance(body, bytes):
            body = json.dumps(body).encode()
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
        self.sent_versions.append(self.version)
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
                self.record_violation(
                    "valid change refused", f"status {status}"
                )
                return
            await asyncio.sleep(0.3)
        self.record_violation(
            "change not acknowledged", f"version {document['version']}"
        )

    async def _run_operator(self):
        while not self.stopping:
            await asyncio.sleep(self.random.uniform(0.5, 3.0))
            await self._put_document()
            self.loop.create_task(self._check_read(None))
            self.loop.create_task(self._check_in_force(self.acked[-1]))

    async def _check_read(self, member):
        """Check that a read is no older than what was acked APPLY_S ago."""
        newest = self._newest_acked(self.loop.time() - APPLY_S)
        status, data = await self._call_control(
            "GET", "/api/config", member=member
        )
        if status == 200 and json.loads(data)["version"] < newest:
            self.record_violation("read is older", data[:40].decode())
        return status

    def _newest_acked(self, before):
        return max((v for at, v in self.acked if at <= before), default=0)

    async def _check_in_force(self, acked):
        """Check that undisturbed entries serve a version within APPLY_S."""
        at, version = acked
        await asyncio.sleep(max(0.0, at + APPLY_S - self.loop.time()))
        if self._newest_acked(self.loop.time()) != version:
            return
        for entry in self.entries:
            if self._is_disturbed(entry):
                continue
            if not await self._is_in_force(entry, version):
                superseded = self._newest_acked(self.loop.time()) != version
                if not superseded and not self._is_disturbed(entry):
                    self.record_violation(
                        "change not in force", f"{entry.name} {version}"
                    )

    async def _is_in_force(self, entry, version):
        """Tell whether an entry serves a version, or one sent after it.

        A later one may be in force before it is acknowledged.
        """
        for sent in [v for v in self.sent_versions if v >= version]:
            path = f"/v{sent}/x"
            if await self._send_request(entry, path, "GET") != 404:
                return True
        return False

    def _is_disturbed(self, node):
        nodes = (node, *self.members)
        last = max(n.disturbed_s for n in nodes)
        if any(n.busy for n in nodes):
            return True
        return self.loop.time() - last < RECOVERY_S

    # Load from callers, and checks of the answers.

    async def _generate_load(self):
        pending = set()
        while not self.stopping:
            entry = self.random.choice(self.entries)
            if self.random.random() < 0.6:
                coroutine = self._send_request(entry, "/all/x", "GET")
            else:
                coroutine = self._send_request(entry, "/once/x", "POST")
            task = self.loop.create_task(coroutine)
            pending.add(task)
            task.add_done_callback(pending.discard)
            await asyncio.sleep(
                self.random.expovariate(1 / MEAN_ARRIVAL_INTERVAL_S)
            )
        if pending:
            await asyncio.wait(pending, timeout=5)

    async def _send_request(self, entry, path, method):
        self.sequence += 1
        request_id = f"r{self.sequence}"
        headers = {
            names.HEADERS.request_id: request_id,
            names.HEADERS.deadline_ms: "1500",
        }
        body = request_id.encode() if method == "POST" else b""
        front = entry.ports[0]
        call = exchange(entry.ip, front, method, path, headers, body)
        try:
            status, response_headers, data = await asyncio.wait_for(call, 4.0)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            self.counts["no answer"] += 1
            return 0
        self.counts[f"{path.split('/')[1][:4]} {status}"] += 1
        if status == 200 and path.startswith("/all/"):
            self._check_answer(request_id, response_headers, data)
        elif status == 200 and method == "POST":
            self._check_single(request_id, response_headers, data)
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
                self.record_violation(
                    "another caller's part", f"{stamp} {request_id}"
                )
        if len(set(services)) < len(services) or not set(services) <= set(
            SHARDS
        ):
            self.record_violation("parts of no one version", str(services))
        if len(services) + missing != len(SHARDS):
            self.record_violation(
                "untrue coverage", f"{services} and {missing}"
            )
        if len(services) < MIN_COVERAGE * len(SHARDS):
            self.record_violation("too few parts", str(services))
        by_service = {b.service: b for b in self.backends}
        bodies = [
            by_service[s].build_body(request_id.encode()) for s in services
        ]
        if body != record_merging.merge_top(bodies, TOP_K):
            self.record_violation("wrong records", request_id)

    def _check_single(self, request_id, headers, body):
        stamp = headers.get(names.HEADERS.stamp.lower(), "")
        if stamp.partition(".")[2] != request_id:
            self.record_violation(
                "another caller's answer", f"{stamp} {request_id}"
            )
        if body != self.backends[-1].build_body(request_id.encode()):
            self.record_violation("answer is not whole", request_id)

    # Fault injection.

    async def _inject_faults(self):
        running = set()
        while not self.stopping:
            fault = self.random.choice(
                (
                    self._kill,
                    self._kill,
                    self._freeze,
                    self._restart,
                    self._wipe,
                    self._inject_endpoint_fault,
                    self._inject_endpoint_fault,
                    self._inject_endpoint_fault,
                    self._drain_endpoint,
                )
            )
            task = self.loop.create_task(fault())
            running.add(task)
            task.add_done_callback(running.discard)
            await asyncio.sleep(self.random.uniform(0.2, 2.5))
        if running:
            await asyncio.wait(running, timeout=20)

    async def _inject_endless_answers(self):
        rng = self.endless_random
        while not self.stopping:
            await asyncio.sleep(rng.uniform(0.5, 4.0))
            backend = rng.choice(self.backends)
            backend.endless = rng.choice(sorted(backends.ENDLESS_BY_NAME))
            self.counts["endpoint endless"] += 1
            await asyncio.sleep(rng.uniform(0.2, 2.0))
            backend.endless = ""

    async def _inject_pauses(self):
        """Let endpoints turn requests away and ask for a pause."""
        rng = self.notice_random
        while not self.stopping:
            await asyncio.sleep(rng.uniform(1.0, 5.0))
            backend = rng.choice(self.backends)
            pause_s = rng.uniform(1.0, 2.0)
            if backend.refusing or backend.state != "ready":
                continue
            self.counts["endpoint asks for a pause"] += 1
            starts_before = self._count_starts()
            started_s = self.loop.time()
            backend.refusing = True
            backend.retry_after = f"{pause_s:.2f}"
            await asyncio.sleep(pause_s - PAUSE_SLACK_S)
            backend.refusing = False
            backend.retry_after = ""
            if self._count_starts() != starts_before:
                continue  # an entry that restarts knows of no pause
            arrived = sum(
                1
                for at in backend.arrivals_s
                if at > started_s + PAUSE_SLACK_S
            )
            if arrived > ENTRIES * MAX_PAUSE_ARRIVALS:
                text = f"{backend.endpoint_id}: {arrived} requests"
                self.record_violation("sent to during a pause", text)

    async def _inject_leaving(self):
        """Let endpoints say in their answers alone that they are leaving."""
        rng = self.notice_random
        while not self.stopping:
            await asyncio.sleep(rng.uniform(3.0, 9.0))
            backend = rng.choice(self.backends)
            if backend.state != "ready":
                continue
            self.counts["endpoint says it is leaving"] += 1
            backend.leaving = True
            starts_before = self._count_starts()
            await asyncio.sleep(DRAIN_S)
            before = len(backend.arrivals_s)
            await asyncio.sleep(1.0)
            arrived = len(backend.arrivals_s) - before
            has_restarted = self._count_starts() != starts_before
            # Each entry may still have to be told by its first answer.
            if arrived > ENTRIES and not has_restarted:
                text = f"{backend.endpoint_id}: {arrived} requests"
                self.record_violation("sent to while leaving", text)
            backend.leaving = False
            if backend.state == "ready":
                backend.incarnation += 1000
                backend.sequence = 0

    async def _inject_unusable_announcements(self):
        """Let another writer announce endpoints that nobody can use."""
        rng = self.writer_random
        while not self.stopping:
            await asyncio.sleep(rng.uniform(0.2, 1.0))
            backend = rng.choice(self.backends)
            body_by_name = samples.build_unusable_announcements(
                backend.build_announcement()
            )
            name = rng.choice(sorted(body_by_name))
            endpoint_id = f"writer-{name}-{rng.randrange(1000)}"
            self.counts["unusable announcement"] += 1
            status, _ = await self._call_control(
                "PUT",
                f"/api/instances/{endpoint_id}",
                body_by_name[name],
                rng.choice(self.members),
            )
            if status in (200, 500):
                text = f"{endpoint_id}: status {status}"
                self.record_violation("unusable announcement taken", text)

    def _count_starts(self) -> int:
        """Return how many processes of entries have been started."""
        return sum(entry.starts for entry in self.entries)

    async def _inject_hostile_callers(self):
        """Let crowds beyond the limits call entries and control members."""
        rng = self.caller_random
        while not self.stopping:
            await asyncio.sleep(rng.uniform(1.0, 5.0))
            node = rng.choice((*self.members, *self.entries))
            port = node.ports[2] if node.serves_control else node.ports[0]
            name = rng.choice(sorted(hostile_callers.START_BY_NAME))
            self.counts["hostile callers"] += 1
            seconds = rng.uniform(0.5, 2.0)
            await hostile_callers.play(node.ip, port, name, seconds)

    async def _watch_memory(self):
        while not self.stopping:
            for node in (*self.members, *self.entries):
                peak_mb = read_peak_memory_mb(node.process)
                if peak_mb > MEMORY_MB:
                    text = f"{node.name}: {peak_mb:.0f} MB"
                    self.record_violation("memory above the limit", text)
            await asyncio.sleep(0.5)

    def find_leader(self):
        """Return the member that was elected last."""
        member_by_term = {}
        for member in self.members:
            with open(member.get_log_path(), encoding="utf-8") as handle:
                for line in handle:
                    if '"role": "leader"' in line and '"leadership"' in line:
                        member_by_term[json.loads(line)["term"]] = member
        return member_by_term[max(member_by_term)]

    def _acquire_node(self, nodes, source=None):
        """Reserve a random node for a fault, or return None.

        A majority of the control members is always left undisturbed.
        """
        free = [n for n in nodes if not n.busy]
        if nodes is self.members:
            away = sum(1 for n in nodes if self._is_recently_disturbed(n))
            if away >= MEMBERS // 2:
                return None
        if not free:
            return None
        node = (source or self.random).choice(free)
        node.busy = True
        node.disturbed_s = self.loop.time()
        self.counts[f"fault on {node.name[:4]}"] += 1
        return node

    def _is_recently_disturbed(self, node):
        return node.busy or self.loop.time() - node.disturbed_s < RECOVERY_S

    def _release_node(self, node):
        node.disturbed_s = self.loop.time()
        node.busy = False

    def _pick_group(self):
        return self.random.choice((self.members, self.entries, self.entries))

    async def _kill(self):
        node = self._acquire_node(self._pick_group())
        if node is None:
            return
        await node.stop(signal.SIGKILL)
        await asyncio.sleep(self.random.uniform(0.1, 2.0))
        await node.start()
        if node.serves_control:
            await node.wait_until_served()
        self._release_node(node)

    async def _freeze(self):
        node = self._acquire_node(self._pick_group())
        if node is None:
            return
        node.send_signal(signal.SIGSTOP)
        await asyncio.sleep(self.random.uniform(0.3, 4.0))
        node.send_signal(signal.SIGCONT)
        self._release_node(node)

    async def _restart(self):
        node = self._acquire_node(self._pick_group())
        if node is None:
            return
        await self._terminate(node)
        await node.start()
        if node.serves_control:
            await node.wait_until_served()
        self._release_node(node)

    async def _terminate(self, node):
        """Send SIGTERM and check that the process ends in time."""
        node.send_signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(node.process.wait(), SHUTDOWN_GRACE_S)
            code = node.process.returncode
            # A SIGTERM that arrives before any project code has run ends
            # the interpreter with -15; the process has no requests yet.
            early = code == -signal.SIGTERM and not node.has_served()
            if code != 0 and not early:
                self.record_violation(
                    "shutdown failed", f"{node.name}: {code}"
                )
        except asyncio.TimeoutError:
            self.record_violation("shutdown took too long", node.name)
        await node.stop(signal.SIGKILL)

    async def _wipe(self, source=None):
        node = self._acquire_node(self.members, source)
        if node is None:
            return
        await node.stop(signal.SIGKILL)
        shutil.rmtree(node.data)
        os.makedirs(node.data)
        await asyncio.sleep((source or self.random).uniform(0.1, 1.0))
        await node.start()
        if node.serves_control:
            await node.wait_until_served()
        self._release_node(node)

    async def _inject_disk_faults(self):
        """Let the disks of members fail, never two at once."""
        rng = self.disk_random
        while not await self._is_stopped_within(rng.uniform(0.5, 6.0)):
            node = self._acquire_node(self.members, rng)
            if node is not None:
                await self._fail_disk(node, draw_disk_fault(rng))
                self._release_node(node)

    async def _fail_disk(self, node, fault):
        """Let a disk fail; return once its process serves again."""
        self.counts[f"disk {fault.kind}"] += 1
        node.disk.set_fault(fault.kind)
        keeping = self.loop.create_task(node.keep_running())
        await asyncio.sleep(fault.for_s / 2)
        if fault.meanwhile:
            self.counts[f"disk {fault.kind}, {fault.meanwhile}"] += 1
            node.send_signal(signal.SIGKILL)
            await node.process.wait()
        if fault.meanwhile == "wipe":
            shutil.rmtree(node.data)
            os.makedirs(node.data)
        await asyncio.sleep(fault.for_s / 2)
        node.disk.set_fault("")
        await asyncio.sleep(DISK_SETTLING_S)
        await node.wait_until_served()
        keeping.cancel()

    async def _replace_members(self):
        """Replace members as planned; a disk is lost right after each."""
        for number in range(MEMBERS, 250):
            pause_s = self.member_random.uniform(0.5, 10.0)
            if await self._is_stopped_within(pause_s):
                return
            ip = f"{self.member_net}.{number + 1}"
            new = Node(
                self.folder, f"core-{number}", ip, self.member_ports, True
            )
            new.write_settings(self._list_seeds(), False)
            self.spares.append(new)
            await new.start()
            await new.wait_until_served()
            old, pause_s = None, SYNC_TIME_S
            while old is None:
                if await self._is_stopped_within(pause_s):
                    return
                old = self._acquire_node(self.members, self.member_random)
                pause_s = 0.1
            await self._terminate(old)
            self.spares.remove(new)
            self.members[self.members.index(old)] = new
            self._write_settings(False)
            self.counts["member replaced"] += 1
            await self._wipe(self.member_random)

    async def _is_stopped_within(self, seconds):
        """Wait; return early with True once the soak ends."""
        end_s = self.loop.time() + seconds
        while self.loop.time() < end_s and not self.stopping:
            await asyncio.sleep(0.1)
        return self.stopping

    async def _inject_endpoint_fault(self):
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
            backend.lost_answer_share = 0.3
        await asyncio.sleep(self.random.uniform(0.2, 4.0))
        self._clear_endpoint_faults(backend)

    def _clear_endpoint_faults(self, backend):
        self.proxy_by_id[backend.endpoint_id].clear_faults()
        backend.failing = backend.refusing = False
        backend.endless = ""
        backend.lost_answer_share = 0.0
        backend.resume()

    async def _drain_endpoint(self):
        """Drain an endpoint, then bring it back as a new incarnation."""
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
        undisturbed_before = not any(
            self._is_disturbed(e) for e in self.entries
        )
        await asyncio.sleep(0.5)
        undisturbed_after = not any(
            self._is_disturbed(e) for e in self.entries
        )
        if (
            undisturbed_before
            and undisturbed_after
            and len(backend.runs) > count
        ):
            self.record_violation("work after draining", backend.endpoint_id)
        backend.incarnation += 1000
        backend.sequence = 0
        backend.state = "ready"
        self.left_at_by_id.pop(backend.endpoint_id, None)

    # Checks at the end of the run.

    async def _check_recovery(self):
        for backend in self.backends:
            self._clear_endpoint_faults(backend)
        for node in (*self.members, *self.entries):
            node.send_signal(signal.SIGCONT)
            if node.process.returncode is not None:
                self.record_violation("process ended by itself", node.name)
                await node.start()
        await asyncio.sleep(FINAL_RECOVERY_S)
        version = self._newest_acked(self.loop.time())
        for entry in self.entries:
            for path in ("/all/x", f"/v{version}/x"):
                status = await self._send_request(entry, path, "GET")
                if status != 200:
                    text = f"{entry.name} {path} {status}"
                    self.record_violation("not served after recovery", text)
        for member in self.members:
            status = await self._check_read(member)
            if status != 200:
                text = f"{member.name} {status}"
                self.record_violation("not readable after recovery", text)

    def _check_runs(self):
        runs = collections.Counter(
            run.request_id
            for backend in self.backends
            for run in backend.runs
            if run.target.startswith("/once/")
        )
        for request_id, count in runs.items():
            if count > 1:
                self.record_violation(
                    "ran more than once", f"{request_id} {count}"
                )
            if request_id in self.refused_ids:
                self.record_violation("ran though refused", request_id)


def draw_disk_fault(rng) -> DiskFault:
    """Return a random fault of a disk."""
    return DiskFault(
        rng.choice(disk_faults.FAULTS),
        rng.uniform(0.5, 5.0),
        rng.choice(("", "", "kill", "wipe")),
    )


def read_peak_memory_mb(process) -> float:
    """Return the peak resident memory of a process, 0 if it has ended."""
    try:
        with open(f"/proc/{process.pid}/status", encoding="ascii") as handle:
            for line in handle:
                if line.startswith("VmHWM:"):
                    return int(line.split()[1]) / 1000.0
    except OSError:
        return 0.0
    return 0.0


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
        response_headers = dict(
            r.lower().split(": ", 1) for r in rows[1:] if ": " in r
        )
        length = int(response_headers.get("content-length", "0"))
        return (
            int(rows[0].split()[1]),
            response_headers,
            await reader.readexactly(length),
        )
    finally:
        writer.close()


def run_soak(seed: int, seconds: float, keep: str = ""):
    """Run one soak and remove its folder unless `keep` names one.

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
