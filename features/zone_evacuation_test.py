"""Evacuates zones of real processes, through restarts and losses.

In the routed deployment, callers ask and operators change the configuration
all the time. The product's own deployment is used by its command line.
"""

import asyncio
import json
import signal
import time

import uvloop

from chervilspindle.tools import soak
from features import processes

IN_FORCE_S = 5.0  # limit for a change to be in force on each VM
ACK_S = 6.0  # limit for an operator's call, with its resends
ZONES = ("z1", "z2")
OUT = "z1"  # which all entries are in, and prefer
RETRY_S = 0.2


class EvacuationSoak(soak.Soak):
    """Half of the endpoints are in a zone that is evacuated and returns."""

    def __init__(self, loop, folder):
        super().__init__(loop, 3, 1.0, folder)
        for backend in self.backends:
            backend.zone = ZONES[int(backend.endpoint_id[-1])]
        self.ended = asyncio.Event()
        self.failure = None
        self.arrived = 0  # requests in the zone, once it is evacuated
        self.returned = 0  # requests there once it is back

    async def _wait_for_end(self):
        await self.ended.wait()

    async def _inject_faults(self):
        try:
            await self._play()
        except Exception as error:  # reported by the test
            self.failure = error
        finally:
            self.ended.set()

    async def _inject_endless_answers(self):
        """Do nothing: endpoints are well."""

    _inject_pauses = _inject_leaving = _inject_endless_answers
    _inject_unusable_announcements = _inject_endless_answers
    _inject_disk_faults = _inject_endless_answers
    _replace_members = _lose_first_disk = _inject_endless_answers

    async def _play(self):
        await self._check_mistakes()
        await self._change("POST")
        await asyncio.sleep(IN_FORCE_S)
        self.arrived = self._count_arrivals()
        await self._check_out("evacuated")
        for node in (self.entries[0], self.find_leader()):
            await self._restart_all((node,))
        await self._check_out("an entry and the leader restarted")
        await self._restart_all(self.members)
        await self._check_out("all members restarted")
        await self._check_no_leader()
        await self._restart_all(self.members + self.entries)
        await asyncio.sleep(1.0)
        await self._check_out("all processes restarted")
        await self._change("DELETE")
        await asyncio.sleep(IN_FORCE_S)
        before = self._count_arrivals()
        await asyncio.sleep(1.0)
        self.returned = self._count_arrivals() - before

    def _count_arrivals(self):
        return sum(len(b.arrivals_s) for b in self.backends if b.zone == OUT)

    async def _check_out(self, when):
        answered = self.counts["all 200"] + self.counts["once 200"]
        await asyncio.sleep(1.5)
        if self._count_arrivals() != self.arrived:
            self.record_violation("sent to an evacuated zone", when)
        if self.counts["all 200"] + self.counts["once 200"] <= answered:
            self.record_violation("nothing served", when)

    async def _restart_all(self, nodes):
        for node in nodes:
            node.busy = True
        await asyncio.gather(*(node.stop(signal.SIGKILL) for node in nodes))
        await asyncio.gather(*(node.start() for node in nodes))
        for node in nodes:
            await node.wait_until_served()
            node.disturbed_s = self.loop.time()
            node.busy = False

    async def _call_zone(self, method, zone=OUT, body=None, member=None):
        path = f"/api/evacuation/{zone}"
        status, _ = await self._call_control(method, path, body, member)
        return status

    async def _change(self, method):
        """Send a command to any member until it is acknowledged."""
        started_s = self.loop.time()
        status = 0
        while status != 200:
            if self.loop.time() - started_s > ACK_S:
                self.record_violation("not acknowledged", f"{method} {status}")
                return
            status = await self._call_zone(method)
            if 400 <= status < 500:
                self.record_violation("refused", f"{method} {status}")
                return
            if status != 200:
                await asyncio.sleep(RETRY_S)
        for member in self.members:
            if await self._call_zone(method, member=member) != 200:
                self.record_violation("resend refused", method)

    async def _check_mistakes(self):
        statuses = [
            await self._call_zone("POST", "unheard-of"),
            await self._call_zone("DELETE", "unheard-of"),
            await self._call_zone("GET"),
            await self._call_zone("PUT"),
            await self._call_zone("POST", OUT, b"{}"),
            await self._call_zone("DELETE", OUT, b"{}"),
        ]
        if statuses != [404, 200, 405, 405, 400, 400]:
            self.record_violation("statuses of mistaken calls", str(statuses))

    async def _check_no_leader(self):
        """Calls are refused in time while there is no leader."""
        lost, left = self.members[1:], self.members[0]
        for node in lost:
            node.busy = True
            await node.stop(signal.SIGKILL)
        await asyncio.sleep(2.0)
        for method in ("POST", "DELETE"):
            status = await self._call_zone(method, member=left)
            if status != 503:
                self.record_violation("without a leader", f"{method} {status}")
        for node in lost:
            await node.start()
            await node.wait_until_served()
            node.disturbed_s = self.loop.time()
            node.busy = False


def test_an_evacuation_holds_through_restarts_of_all_processes(tmp_path):
    """Guards against a command that a restart or a lost leader undoes."""
    loop = uvloop.new_event_loop()
    run = EvacuationSoak(loop, str(tmp_path))
    try:
        findings = loop.run_until_complete(run.run())
    finally:
        loop.close()
    assert run.failure is None
    assert findings == []
    assert run.arrived > 0
    assert run.returned > 0


class Evacuation:
    """A zone of a deployment of the product, used by the command line."""

    def __init__(self, deployed):
        self.deployed = deployed
        endpoints = deployed.documents.endpoints
        self.zone = endpoints[0]["zone"]
        self.names = [
            row["endpoint"] for row in endpoints if row["zone"] == self.zone
        ]

    def run(self, *arguments):
        """Run the command; return its exit code, output and errors."""
        server = f"http://{self.deployed.addresses[0]}"
        done = self.deployed.run("zone", *arguments, "--server", server)
        return done.returncode, done.stdout, done.stderr

    def list_evacuated(self):
        code, output, _ = self.run("list")
        assert code == 0
        return [row["zone"] for row in json.loads(output)["evacuated"]]

    def count_runs(self):
        """Ask all entries; return how many parts ran in the zone."""
        before = self._count()
        for number in range(24):
            status, _ = self.deployed.query(number % 3)
            assert status == 200
        return self._count() - before

    def _count(self):
        counts = [self.deployed.stand_in(name) for name in self.names]
        return sum(count["queries"] for count in counts)


def test_zones_of_the_product_are_evacuated_by_its_command(tmp_path):
    """Guards against owners that send to the zone, and lost commands."""
    deployed = processes.Deployment(tmp_path)
    try:
        deployed.start()
        evacuation = Evacuation(deployed)
        zone = evacuation.zone
        assert evacuation.count_runs() > 0
        code, _, printed = evacuation.run("out", "unheard-of")
        assert code == 1 and "unknown_zone" in printed
        assert evacuation.list_evacuated() == []
        assert evacuation.run("out", zone)[0] == 0
        assert evacuation.run("out", zone)[0] == 0
        time.sleep(IN_FORCE_S)
        assert evacuation.count_runs() == 0
        controls = [n for n in deployed.process_by_name if "control" in n]
        for name in controls:
            deployed.kill(name)
        for name in controls:
            deployed.start_vm(name)
        deployed.wait_until(lambda: deployed.get_leader(), 20)
        deployed.wait_until(lambda: deployed.query()[0] == 200, 10)
        assert evacuation.list_evacuated() == [zone]
        assert evacuation.count_runs() == 0
        assert evacuation.run("back", zone)[0] == 0
        assert evacuation.list_evacuated() == []
        time.sleep(IN_FORCE_S)
        assert evacuation.count_runs() > 0
    finally:
        deployed.stop()
