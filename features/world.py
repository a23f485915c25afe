"""Small fakes at the interfaces: clock, transport and endpoints.

The real control members, leaders and entries run unchanged on a fake clock.
Messages pass one function, where a test injects a fault at a chosen step:
the name of a message's type, a durable write, or an endpoint's request.
"""

import fnmatch
import json
import os
import random
import typing
import uuid

from twisted.internet import task

from chervilspindle.config import settings as settings_module
from chervilspindle.config import tokens
from chervilspindle.control import leader as leader_module
from chervilspindle.control import node as node_module
from chervilspindle.control import raft_messages
from chervilspindle.control import storage as storage_module
from chervilspindle.core import errors
from chervilspindle.core import logs
from chervilspindle.core import metrics as metrics_module
from chervilspindle.core import timers as timers_module
from chervilspindle.query import entry as entry_module
from chervilspindle.wire import messages
from chervilspindle.wire import versions
from features import fakes

LATENCY_S = 0.001
STEP_S = 0.005
CUSTOMER = "caseworkers"
OTHER_CUSTOMER = "archivists"


class Vm:
    """One VM of either role, that can be killed and restarted."""

    def __init__(self, world, document):
        self.world = world
        self.document = document
        self.name = document["vm_id"]
        self.is_control = "control" in document["roles"]
        self.entry = self.node = self.leader = None
        self.starts = 0
        self.disk_full = False
        self.start()

    def start(self):
        """Start a new process on this VM."""
        self.starts += 1
        world = self.world
        settings, mistakes = settings_module.build_settings(
            self.document, self.name
        )
        assert not mistakes, mistakes
        skew = world.random.uniform(-5000.0, 5000.0)
        self.process = fakes.Process(world, self.name, skew)
        self.timers = timers_module.TimerService(self.process)
        self.network = fakes.Network(
            world, self.process, settings.peer_address
        )
        world.network_by_address[settings.peer_address] = self.network
        if self.is_control:
            self._start_control(settings)
        else:
            self._start_entry(settings)

    def kill(self):
        """End the process at once."""
        if self.process.killed:
            return
        self.process.killed = True
        if self.is_control:
            self.node.storage.close()
        self.world.break_links(self.network.address, LATENCY_S)

    def freeze(self):
        """Stop the process without ending it."""
        self.process.frozen = True
        self.world.break_links(self.network.address, fakes.SILENCE_S)

    def lose_disk(self):
        """Remove all files of the data folder."""
        folder = self.document["data_folder"]
        for name in os.listdir(folder):
            os.remove(os.path.join(folder, name))

    def tear_log(self, count):
        """Cut bytes off the end of the log, as a torn write leaves it."""
        path = os.path.join(self.document["data_folder"], "log")
        size = os.path.getsize(path)
        os.truncate(path, max(0, size - count))

    def _start_control(self, settings):
        world = self.world
        folder = settings.data_folder
        identity = storage_module.load_identity(folder)
        fresh = identity is None
        if fresh:
            identity = storage_module.create_identity(
                folder, settings.group, settings.vm_id
            )
        storage = storage_module.Storage(folder, self._sync)
        self.node = node_module.ControlNode(
            identity,
            settings.raft_address,
            {v.vm_id: v.raft_address for v in settings.control_vms},
            storage,
            self._send_raft,
            self.timers,
            self.process.read_clock,
            self.kill,
            seed=world.random.random(),
        )
        if fresh and self.starts == 1 and self.name == "control-1":
            self.node.initialise()
            storage.close()
        self.node.start()
        self.leader = leader_module.Leader(
            self.node, self.timers, self.process.read_clock
        )
        self.network.handler = lambda link, message: self.leader.handle(
            message, versions.CURRENT
        )
        world.vm_by_raft_address[settings.raft_address] = self

    def _start_entry(self, settings):
        self.entry = entry_module.Entry(
            settings,
            self.network,
            lambda address, connections: fakes.Client(
                self.world, self.process, address
            ),
            self.timers,
            self.process.read_clock,
            metrics_module.Metrics(),
            seed=self.world.random.random(),
        )
        self.network.handler = self.entry.handle
        self.entry.start()

    def _sync(self, handle):
        if self.disk_full:
            raise OSError(28, "No space left on device")
        self.world.act("DiskWrite", (self.name, self.name), lambda: None)

    def _send_raft(self, address, data):
        world = self.world
        target = world.vm_by_raft_address.get(address)
        if target is None:
            return
        kind = raft_messages.decode_envelope(data)[2].__class__.__name__

        def arrive():
            receiver = world.vm_by_raft_address[address]
            receiver.process.run(lambda: receiver.node.receive(data))

        world.act(kind, (self.name, target.name), arrive)


class Outcome:
    """A caller's view of one request."""

    def __init__(self, kind, nonce, entry_name, sent_at):
        self.kind = kind
        self.nonce = nonce
        self.entry_name = entry_name
        self.sent_at = sent_at
        self.ended_at = None
        self.answer = None
        self.problem = None
        self.idempotency_key = ""
        self.patterns = ()


class Fault(typing.NamedTuple):
    """A fault at the n-th time that a step is taken."""

    step: str
    occurrence: int
    inject: typing.Callable


class World:
    """Control VMs, entries and endpoints, with callers and operators."""

    def __init__(self, folder, monkeypatch, seed=0, controls=3, entries=3):
        self.folder = str(folder)
        self.random = random.Random(seed)
        self.clock = task.Clock()
        self.wall_base_ms = 1_700_000_000_000
        monkeypatch.setattr(logs, "read_wall_ms", self.read_wall_ms)
        monkeypatch.setattr(uuid, "uuid4", self.draw_uuid)
        self.network_by_address = {}
        self.vm_by_raft_address = {}
        self.endpoint_by_address = {}
        self.endpoint_by_name = {}
        self.cuts = set()
        self.faults = []
        self.unused_faults = []
        self.seen_by_step = {}
        self.outcomes = []
        self.revisions = []
        self.in_force_log = []
        self.token_by_name = {}
        self.rate_by_name = {}
        self.lists_document = None
        self.revision_floor = {}
        self.failures = []
        self._build(controls, entries)

    def read_wall_ms(self):
        """Return the wall time, in ms."""
        return int(self.wall_base_ms + self.clock.seconds() * 1000)

    def draw_uuid(self):
        """Return a unique id that depends only on the seed."""
        return uuid.UUID(int=self.random.getrandbits(128), version=4)

    def entries(self):
        """Return the VMs with the entry role."""
        return [v for v in self.vm_by_name.values() if not v.is_control]

    def controls(self):
        """Return the control VMs."""
        return [v for v in self.vm_by_name.values() if v.is_control]

    def list_services(self, patterns):
        """Return the services of all endpoints that match patterns."""
        names = {e.service for e in self.endpoint_by_name.values()}
        return {
            name
            for name in names
            if any(fnmatch.fnmatchcase(name, p) for p in patterns)
        }

    def get_leader(self):
        """Return the VM that leads, or None."""
        for vm in self.controls():
            if not vm.process.killed and not vm.process.frozen:
                if vm.node.is_leader():
                    return vm
        return None

    def get_owner(self, endpoint_name):
        """Return the VM that owns an endpoint, or None."""
        for vm in self.entries():
            if not vm.process.killed:
                if endpoint_name in vm.entry.owner.owned_by_id:
                    return vm
        return None

    def add_endpoint(self, name, service, slots=2):
        """Start an endpoint."""
        address = f"127.0.0.1:{20000 + len(self.endpoint_by_address)}"
        endpoint = fakes.Endpoint(self, name, service, address, slots)
        self.endpoint_by_address[address] = endpoint
        self.endpoint_by_name[name] = endpoint
        return endpoint

    def advance(self, seconds):
        """Let time pass, checking what must always hold."""
        due = self.clock.seconds() + seconds
        while self.clock.seconds() < due:
            self.clock.advance(STEP_S)
            self._watch_revisions()

    def advance_until(self, condition, limit_s):
        """Let time pass until a condition holds; return the time it took."""
        start = self.clock.seconds()
        while not condition():
            if self.clock.seconds() - start > limit_s:
                raise AssertionError(f"not within {limit_s} s")
            self.clock.advance(STEP_S)
            self._watch_revisions()
        return self.clock.seconds() - start

    def act(self, step, ends, arrive):
        """Take one step between two ends, with whatever fault is due."""
        self.seen_by_step[step] = self.seen_by_step.get(step, 0) + 1
        for fault in list(self.faults):
            if fault.step != step:
                continue
            if fault.occurrence > 1:
                self.faults.remove(fault)
                self.faults.append(
                    fault._replace(occurrence=fault.occurrence - 1)
                )
                continue
            self.faults.remove(fault)
            if fault.inject(self, ends, arrive):
                return
        if ends in self.cuts:
            return
        delay = LATENCY_S * (1.0 + 0.5 * self.random.random())
        self.clock.callLater(delay, self._arrive, ends, arrive)

    def transmit(self, source, address, message, arrive, refuse):
        """Carry a message between two processes."""
        target = self.network_by_address.get(address)
        if target is None or target.process.killed:
            self.clock.callLater(LATENCY_S, source.process.run, refuse)
            return
        data = messages.encode_frame(message, 1, False)
        copy = messages.decode_frame(data)[0]
        ends = (source.process.name, target.process.name)
        if (ends in self.cuts) or (ends[::-1] in self.cuts):
            self.clock.callLater(
                fakes.SILENCE_S,
                source.process.run,
                lambda: source.lose(address),
            )

        def deliver():
            target.process.run(lambda: arrive(target, copy))

        self.act(type(message).__name__, ends, deliver)

    def break_links(self, address, delay_s):
        """Let all others notice that links to an address are gone."""

        def notice():
            for network in list(self.network_by_address.values()):
                if network.address != address:
                    network.process.run(
                        lambda network=network: network.lose(address)
                    )

        self.clock.callLater(delay_s, notice)

    def cut(self, first, second, one_way=False):
        """Cut the way between two VMs."""
        self.cuts.add((first, second))
        if not one_way:
            self.cuts.add((second, first))
        for here, there in ((first, second), (second, first)):
            self._lose_later(here, there)

    def isolate(self, name):
        """Cut a VM off from all other VMs."""
        for other in self.vm_by_name:
            if other != name:
                self.cut(name, other)

    def mend(self, first, second):
        """Mend the cut between two ends."""
        self.cuts.discard((first, second))
        self.cuts.discard((second, first))

    def heal(self):
        """Mend all cuts."""
        self.cuts.clear()

    def apply_lists(self, change_id, if_revision, entry=None, shares=None):
        """Send a change of the lists through an entry.

        Returns
        -------
        list
            Gets the reply or the failure.
        """
        vm = entry or self._pick_entry()
        document = self._build_lists(shares or {})
        parsed, mistakes = entry_module.lists_module.build_lists(
            document, "test"
        )
        assert not mistakes
        replies = []
        vm.entry.apply_lists(parsed, if_revision, change_id).addBoth(
            replies.append
        )
        return replies

    def must_apply(self, change_id, shares=None):
        """Apply a change and wait for its acceptance."""
        while True:
            replies = self.apply_lists(change_id, -1, shares=shares)
            self.advance_until(lambda: replies, 10)
            if isinstance(replies[0], messages.ApplyListsReply):
                assert replies[0].accepted, replies
                self.note_accepted(replies[0].revision)
                return replies[0].revision

    def note_accepted(self, revision):
        """Remember when a revision was accepted."""
        self.revisions.append((self.clock.seconds(), revision))

    def query(self, vm=None, deadline_ms=400, partial=True, **fields):
        """Send a query as a caller."""
        vm = vm or self._pick_entry()
        outcome = self._start_outcome("query", vm)
        body = {
            "services": ["portal-*"],
            "query": {"nonce": outcome.nonce},
            "deadline_ms": deadline_ms,
            "partial": partial,
            **fields,
        }
        outcome.patterns = body["services"]
        if vm is not None:
            vm.process.run(
                lambda: self._watch(
                    outcome,
                    vm.entry.run_query(
                        self._header(CUSTOMER), json.dumps(body).encode()
                    ),
                )
            )
        return outcome

    def command(self, idempotency_key, vm=None, deadline_ms=400):
        """Send a command as a caller."""
        vm = vm or self._pick_entry()
        outcome = self._start_outcome("command", vm)
        outcome.idempotency_key = idempotency_key
        body = {
            "service": "portal-1",
            "key": "portal-1/0001",
            "command": {"nonce": idempotency_key},
            "deadline_ms": deadline_ms,
        }
        if vm is not None:
            vm.process.run(
                lambda: self._watch(
                    outcome,
                    vm.entry.run_command(
                        self._header(CUSTOMER),
                        idempotency_key,
                        json.dumps(body).encode(),
                    ),
                )
            )
        return outcome

    def _start_outcome(self, kind, vm):
        outcome = Outcome(
            kind,
            f"n{len(self.outcomes)}",
            vm.name if vm else "",
            self.clock.seconds(),
        )
        self.outcomes.append(outcome)
        return outcome

    def _watch(self, outcome, deferred):
        def succeed(answer):
            outcome.ended_at = self.clock.seconds()
            outcome.answer = answer

        def fail(failure):
            outcome.ended_at = self.clock.seconds()
            failure.trap(errors.ProblemError)
            outcome.problem = failure.value.problem

        deferred.addCallbacks(succeed, fail)

    def _pick_entry(self):
        ready = [
            vm
            for vm in self.entries()
            if not vm.process.killed and not vm.process.frozen
        ]
        return self.random.choice(ready) if ready else None

    def _header(self, name):
        return f"Bearer {self.token_by_name[name]}"

    def _build(self, controls, entries):
        control_vms = [
            {
                "vm_id": f"control-{n}",
                "peer_address": f"127.0.0.1:{10000 + n}",
                "raft_address": f"127.0.0.1:{11000 + n}",
            }
            for n in range(1, controls + 1)
        ]
        common = {
            "control_vms": control_vms,
            "shared_key": "a key of this test world",
            "drain_seconds": 20.0,
        }
        self.vm_by_name = {}
        for row in control_vms:
            folder = os.path.join(self.folder, row["vm_id"])
            document = {
                **common,
                **row,
                "zone": f"zone-{row['vm_id'][-1]}",
                "roles": ["control"],
                "data_folder": folder,
            }
            self.vm_by_name[row["vm_id"]] = Vm(self, document)
        for n in range(1, entries + 1):
            document = {
                **common,
                "vm_id": f"entry-{n}",
                "zone": f"zone-{n % 3}",
                "roles": ["entry"],
                "http_address": f"127.0.0.1:{12000 + n}",
                "peer_address": f"127.0.0.1:{13000 + n}",
            }
            self.vm_by_name[f"entry-{n}"] = Vm(self, document)

    def _build_lists(self, shares):
        customers = []
        plans = []
        for name in (CUSTOMER, OTHER_CUSTOMER):
            if name not in self.token_by_name:
                self.token_by_name[name] = tokens.create_token(name).token
            token = self.token_by_name[name]
            customers.append(
                {
                    "name": name,
                    "plan": name,
                    "token_salt": "00",
                    "token_digest": tokens.compute_digest(token, "00"),
                }
            )
            plans.append(
                {
                    "name": name,
                    "services": ["portal-*"],
                    "share": shares.get(name, 0.5),
                    "priorities": ["lookup", "search", "archive"],
                    "rate": self.rate_by_name.get(name, 0),
                }
            )
        return {"customers": customers, "plans": plans}

    def _arrive(self, ends, arrive):
        if ends not in self.cuts:
            arrive()

    def _lose_later(self, here, there):
        def lose():
            vm = self.vm_by_name.get(here)
            other = self.vm_by_name.get(there)
            if vm is None or other is None or (here, there) not in self.cuts:
                return
            vm.process.run(lambda: vm.network.lose(other.network.address))

        self.clock.callLater(fakes.SILENCE_S, lose)

    def _watch_revisions(self):
        for vm in self.entries():
            if vm.process.killed:
                continue
            revision = vm.entry.directory.lists.revision
            floor = self.revision_floor.get((vm.name, vm.starts), 0)
            assert revision >= floor, f"{vm.name} went back to {revision}"
            self.revision_floor[(vm.name, vm.starts)] = revision
