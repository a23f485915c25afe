"""A deployment of real processes, and a relay that can be cut."""

import collections
import json
import os
import signal
import subprocess
import sys
import time
import urllib.error
import urllib.request

from chervilspindle.tools import deployment
from chervilspindle.tools import free_ports

START_TIMEOUT_S = 25.0
POLL_S = 0.1


class Deployment:
    """Processes of one deployment; each is killed at the end by its id."""

    def __init__(
        self,
        folder,
        controls=3,
        entries=3,
        scale=0.05,
        profile=deployment.LAGOON_PADDLE,
        baselines=(),
        endpoint_processes=1,
    ):
        self.folder = str(folder)
        self.endpoint_processes = endpoint_processes
        self.documents = deployment.build_deployment(
            profile,
            self.folder,
            free_ports.find_run(200),
            controls=controls,
            entries=entries,
            scale=scale,
        )
        for document in self.documents.entry_settings:
            document["baselines"] = list(baselines)
        self.path_by_name = deployment.write_documents(
            self.documents, self.folder
        )
        self.process_by_name = {}
        self.addresses = deployment.list_http_addresses(self.documents)
        self.run_log = os.path.join(self.folder, "runs.log")

    def write(self):
        """Write all documents again, after a test changed them."""
        self.path_by_name = deployment.write_documents(
            self.documents, self.folder
        )

    def start(self):
        """Start everything and wait until every endpoint has an owner."""
        self.run("init", "--settings", self.path_by_name["control-1"])
        for document in (
            self.documents.control_settings + self.documents.entry_settings
        ):
            self.start_vm(document["vm_id"])
        self.start_endpoints()
        self.wait_until(self.is_owned, START_TIMEOUT_S)
        if len(self.documents.entry_settings) > 1:
            self.wait_until(self.is_spread, START_TIMEOUT_S)
        status, _ = self.apply("first", 0)
        assert status == 200
        self.wait_until(lambda: self.is_in_force(1), 7)

    def start_endpoints(self):
        """Start the stand-ins, spread over their processes."""
        count = self.endpoint_processes
        for number in range(count):
            name = f"endpoints-{number}"
            path = os.path.join(self.folder, f"{name}.json")
            with open(path, "w", encoding="utf-8") as handle:
                json.dump(self.documents.endpoints[number::count], handle)
            self.spawn(
                name,
                "endpoint",
                path,
                "--entries",
                ",".join(self.addresses),
                "--run-log",
                self.run_log,
                "--seed",
                str(number),
            )

    def start_vm(self, vm_id):
        """Start the process of one VM."""
        path = self.path_by_name[vm_id]
        self.spawn(vm_id, "serve", "--settings", path)

    def spawn(self, name, *arguments):
        """Start one process."""
        with open(os.path.join(self.folder, f"{name}.log"), "ab") as log:
            self.process_by_name[name] = subprocess.Popen(
                [sys.executable, "-m", "chervilspindle", *arguments],
                stdout=log,
                stderr=log,
            )

    def run(self, *arguments, timeout=30):
        """Run one command to its end; return its output."""
        return subprocess.run(
            [sys.executable, "-m", "chervilspindle", *arguments],
            capture_output=True,
            text=True,
            timeout=timeout,
            env={
                **os.environ,
                "CHERVILSPINDLE_TOKEN": self.documents.token_by_name[
                    "operator"
                ],
            },
        )

    def signal(self, name, number):
        """Send a signal to one process."""
        self.process_by_name[name].send_signal(number)

    def kill(self, name):
        """Kill one process and wait for its end."""
        process = self.process_by_name.pop(name)
        process.kill()
        process.wait()

    def stop(self):
        """Kill all processes that were started here."""
        for process in self.process_by_name.values():
            process.send_signal(signal.SIGCONT)
            process.kill()
        for process in self.process_by_name.values():
            process.wait()

    def request(
        self,
        method,
        path,
        token="",
        body=None,
        headers=None,
        entry=0,
        timeout=5,
    ):
        """Send one HTTP request to an entry.

        Returns
        -------
        status, body : int, object
            (0, None) if there was no answer.
        """
        secret = self.documents.token_by_name.get(token, token)
        data = body
        if body is not None and not isinstance(body, bytes):
            data = json.dumps(body).encode()
        request = urllib.request.Request(
            f"http://{self.addresses[entry]}{path}",
            data=data,
            method=method,
            headers={"Authorization": f"Bearer {secret}", **(headers or {})},
        )
        try:
            with urllib.request.urlopen(request, timeout=timeout) as answer:
                return answer.status, json.loads(answer.read())
        except urllib.error.HTTPError as error:
            return error.code, json.loads(error.read())
        except (OSError, ValueError):
            return 0, None

    def query(self, entry=0, deadline_ms=600, **fields):
        """Send a query over all booking desks and hotel partners."""
        body = {
            "services": ["booking-desk-*", "hotel-partner-*"],
            "query": {"text": "canoe"},
            "priority": "lookup",
            "deadline_ms": deadline_ms,
            **fields,
        }
        return self.request(
            "POST", "/v1/query", "desk-negombo", body, entry=entry
        )

    def command(self, key, entry=0, deadline_ms=1500):
        """Send a hold on the waiver desk."""
        body = {
            "service": "waiver-desk",
            "key": "waiver-desk/0001",
            "command": {"hold": key},
            "deadline_ms": deadline_ms,
        }
        return self.request(
            "POST",
            "/v1/command",
            "desk-negombo",
            body,
            {"Idempotency-Key": key},
            entry=entry,
        )

    def apply(self, change_id, if_revision, entry=0):
        """Send the lists under a change id."""
        headers = {"If-Match": f'"{if_revision}"', "Change-Id": change_id}
        return self.request(
            "PUT",
            "/v1/config",
            "operator",
            self.documents.lists,
            headers,
            entry,
        )

    def get_status(self, entry=0):
        """Return the status, or None."""
        status, body = self.request(
            "GET", "/v1/status", "operator", entry=entry
        )
        return body if status == 200 else None

    def is_owned(self):
        """Tell whether every endpoint has an owner."""
        body = self.get_status()
        if body is None:
            return False
        owned = [e for e in body["endpoints"] if e["owner"]]
        return len(owned) == len(self.documents.endpoints)

    def is_spread(self):
        """Tell whether replicas have different owners, and none moves.

        The first entry that has a lease gets every endpoint; the others take
        theirs over when they have one too.
        """
        body = self.get_status()
        if body is None or any(e["handed_over_by"] for e in body["endpoints"]):
            return False
        owners_by_service = collections.defaultdict(list)
        for row in body["endpoints"]:
            owners_by_service[row["service"]].append(row["owner"])
        return all(
            len(owners) == 1 or len(set(owners)) > 1
            for owners in owners_by_service.values()
        )

    def is_in_force(self, revision):
        """Tell whether every VM has confirmed a revision."""
        body = self.get_status()
        return body is not None and all(
            (vm["revision"] or 0) >= revision for vm in body["vms"]
        )

    def is_complete(self, entry=0):
        """Tell whether a query through an entry covers everything."""
        status, body = self.query(entry)
        return status == 200 and body["coverage"]["complete"]

    def get_leader(self, entry=0):
        """Return the VM that leads control, or ''."""
        body = self.get_status(entry)
        return body["leader"].split("#")[0] if body else ""

    def list_runs(self):
        """Return the commands that ran."""
        try:
            with open(self.run_log, encoding="utf-8") as handle:
                return [json.loads(line) for line in handle]
        except FileNotFoundError:
            return []

    def stand_in(self, endpoint, body=None):
        """Read the counts of a stand-in, or switch faults on."""
        address = next(
            row["address"]
            for row in self.documents.endpoints
            if row["endpoint"] == endpoint
        )
        data = None if body is None else json.dumps(body).encode()
        request = urllib.request.Request(
            f"http://{address}/stand-in", data=data
        )
        with urllib.request.urlopen(request, timeout=5) as answer:
            return json.loads(answer.read())

    def wait_until(self, condition, limit_s):
        """Wait for a condition; return the time that it took, in s."""
        started = time.monotonic()
        while not condition():
            if time.monotonic() - started > limit_s:
                raise AssertionError(f"not within {limit_s} s")
            time.sleep(POLL_S)
        return time.monotonic() - started
