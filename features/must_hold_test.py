"""Steps of the scenarios over real processes."""

import concurrent.futures
import json
import signal
import socket
import threading
import time

import pytest
import pytest_bdd

from chervilspindle.tools import records
from features import processes
from features import relay

pytest_bdd.scenarios("must_hold.feature")

pytestmark = pytest.mark.xdist_group("processes")


class Context:
    """What one scenario has seen."""

    def __init__(self):
        self.answers = []
        self.replies = []
        self.revision = 1
        self.started = 0.0
        self.exit_code = None
        self.load = None


class Load:
    """Threads that search all the time."""

    def __init__(self, deployment, entries, workers=2):
        self.deployment = deployment
        self.answers = []
        self.running = True
        self.threads = [
            threading.Thread(target=self._run, args=(entry,))
            for entry in entries
            for _ in range(workers)
        ]
        for thread in self.threads:
            thread.start()

    def _run(self, entry):
        while self.running:
            self.answers.append(self.deployment.query(entry))
            time.sleep(0.02)

    def stop(self):
        """Stop and return all answers."""
        self.running = False
        for thread in self.threads:
            thread.join()
        return self.answers


@pytest.fixture
def context():
    """What the steps of one scenario share."""
    return Context()


@pytest_bdd.given(
    pytest_bdd.parsers.parse(
        "a deployment of {controls:d} control VMs and {entries:d} entries"
    ),
    target_fixture="deployment",
)
def start_deployment(controls, entries, tmp_path, request):
    """Start real processes."""
    deployment = processes.Deployment(tmp_path, controls, entries)
    request.addfinalizer(deployment.stop)
    deployment.start()
    for entry in range(entries):
        deployment.wait_until(lambda: deployment.is_complete(entry), 5)
    return deployment


@pytest_bdd.when("a desk searches all yards through each entry")
def search_everywhere(deployment, context):
    """Search through each entry."""
    for entry in range(3):
        context.answers.append(deployment.query(entry))


@pytest_bdd.then("each answer covers every shard of one snapshot")
def check_coverage(deployment, context):
    """Check coverage and snapshot."""
    services = {
        row["service"]
        for row in deployment.documents.endpoints
        if row["service"].startswith(("booking-desk", "hotel-partner"))
    }
    for status, body in context.answers:
        assert status == 200
        assert body["coverage"]["complete"]
        assert {row["service"] for row in body["results"]} == services
        for row in body["results"]:
            assert all(r["snapshot"] == body["snapshot"] for r in row["value"])


@pytest_bdd.then("each answer holds exactly the records that match")
def check_records(context):
    """Compare with the right answer."""
    for _, body in context.answers:
        for row in body["results"]:
            low, high = map(int, row["shard"].split("-"))
            expected = records.search(
                row["service"], body["snapshot"], low, high, {"text": "canoe"}
            )
            assert row["value"] == expected


@pytest_bdd.then("an oversized body is refused as not run, naming the place")
def check_oversized(deployment):
    """Announce a large body, and send one in chunks without a length."""
    announced = b"Content-Length: 99000000\r\n\r\n{"
    chunk = b"100000\r\n" + b"x" * 0x100000 + b"\r\n"
    chunked = b"Transfer-Encoding: chunked\r\n\r\n" + chunk * 5
    for rest in (announced, chunked):
        answer = send_raw(deployment.addresses[0], rest)
        head, _, body = answer.partition(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 413"), head
        problem = json.loads(body)
        assert problem["source"] == "body"
        assert problem["not_run"] is True


def send_raw(address, rest):
    """Send a request whose head ends with `rest`; return what comes back."""
    host, port = address.rsplit(":", 1)
    with socket.create_connection((host, int(port)), timeout=5) as connection:
        head = b"POST /v1/query HTTP/1.1\r\nHost: x\r\n"
        try:
            connection.sendall(head + rest)
        except OSError:
            # The answer may come before all is sent.
            pass
        answer = b""
        while chunk := connection.recv(65536):
            answer += chunk
        return answer


@pytest_bdd.when(
    pytest_bdd.parsers.re(
        r'(a|the) desk (places|resends) the hold "(?P<key>[^"]+)" '
        r"through entry (?P<entry>\d)"
    )
)
def place_hold(deployment, context, key, entry):
    """Place a hold."""
    context.replies.append(deployment.command(key, int(entry) - 1))


@pytest_bdd.then("both answers are the same")
def check_same(context):
    """Compare both answers but for the request id."""
    first, second = context.replies
    assert first[0] == second[0] == 200
    assert first[1]["value"] == second[1]["value"]


@pytest_bdd.then(pytest_bdd.parsers.parse('the hold "{key}" ran once'))
def check_ran_once(deployment, key):
    """Look into the run log."""
    runs = [r for r in deployment.list_runs() if r["command"]["hold"] == key]
    assert len(runs) == 1


@pytest_bdd.when("the control leader is killed")
def kill_leader(deployment, context):
    """Kill the leader under load."""
    context.load = Load(deployment, range(3))
    deployment.kill(deployment.get_leader())
    context.started = time.monotonic()


@pytest_bdd.then(
    pytest_bdd.parsers.parse(
        "another leader is found within {limit:d} seconds"
    )
)
def check_leader(deployment, limit):
    """Wait for a leader."""
    deployment.wait_until(deployment.get_leader, limit)


@pytest_bdd.then(
    pytest_bdd.parsers.parse(
        "a change is accepted and in force everywhere within {limit:d} seconds"
    )
)
def check_change(deployment, context, limit):
    """Apply a change and wait for it everywhere."""
    number = len(context.replies)
    started = time.monotonic()
    replies = []

    def try_apply():
        status, body = deployment.apply(f"change-{number}", context.revision)
        replies.append((status, body))
        return status == 200

    deployment.wait_until(try_apply, limit)
    context.revision = replies[-1][1]["revision"]
    left = limit - (time.monotonic() - started)
    deployment.wait_until(
        lambda: deployment.is_in_force(context.revision), left
    )


@pytest_bdd.then("every search meanwhile covered every shard")
def check_searches(context):
    """Check the answers of the load."""
    answers = context.load.stop()
    assert len(answers) > 20
    for status, body in answers:
        assert status == 200, body
        assert body["coverage"]["complete"], body["coverage"]


@pytest_bdd.when(
    pytest_bdd.parsers.parse(
        "the control leader is frozen for {duration:d} seconds "
        "while a change is applied"
    )
)
def freeze_leader(deployment, context, duration):
    """Freeze the leader and apply a change by the others."""
    leader = deployment.get_leader()
    deployment.signal(leader, signal.SIGSTOP)
    started = time.monotonic()
    check_change(deployment, context, 7)
    time.sleep(max(0.0, duration - (time.monotonic() - started)))
    deployment.signal(leader, signal.SIGCONT)


@pytest_bdd.then("the change is still in force after it wakes")
def check_not_reverted(deployment, context):
    """Look several times at every entry."""
    for _ in range(20):
        for entry in range(3):
            status, body = deployment.request(
                "GET", "/v1/config", "operator", entry=entry
            )
            assert status == 200
            assert body["revision"] == context.revision
        time.sleep(0.1)


@pytest_bdd.when(pytest_bdd.parsers.parse("entry {number:d} is killed"))
def kill_entry(deployment, context, number):
    """Kill an entry, which owns endpoints."""
    deployment.kill(f"entry-{number}")
    context.started = time.monotonic()


@pytest_bdd.then(
    pytest_bdd.parsers.parse(
        "searches through entry {number:d} are complete again within "
        "{limit:d} seconds"
    )
)
def check_searches_complete(deployment, number, limit):
    """Wait for a complete answer."""
    deployment.wait_until(lambda: deployment.is_complete(number - 1), limit)


@pytest_bdd.then(
    pytest_bdd.parsers.parse(
        "every endpoint has an owner again within {limit:d} seconds"
    )
)
def check_owned(deployment, limit):
    """Wait until all endpoints are owned by live sessions."""

    def is_taken_over():
        body = deployment.get_status()
        if body is None:
            return False
        live = {vm["session"] for vm in body["vms"]}
        return len(live) == 2 and all(
            e["owner"] in live for e in body["endpoints"]
        )

    deployment.wait_until(is_taken_over, limit)


@pytest_bdd.when(
    pytest_bdd.parsers.parse(
        "entry {number:d} is frozen for {duration:d} seconds while holds "
        "are placed"
    )
)
def freeze_entry(deployment, context, number, duration):
    """Freeze an owner; place and resend holds through the others."""
    others = [n for n in range(3) if n != number - 1]
    deployment.signal(f"entry-{number}", signal.SIGSTOP)
    due = time.monotonic() + duration
    count = 0
    while time.monotonic() < due:
        key = f"hold-{count}"
        for entry in others:
            context.replies.append((key, deployment.command(key, entry, 400)))
        count += 1
    deployment.signal(f"entry-{number}", signal.SIGCONT)
    time.sleep(2.0)
    for key in {key for key, _ in context.replies}:
        deployment.command(key, number - 1, 400)


@pytest_bdd.then("no hold ran twice")
def check_no_double(deployment, context):
    """Look into the run log, and at what was said of each hold."""
    runs = [r["command"]["hold"] for r in deployment.list_runs()]
    assert len(runs) == len(set(runs))
    for key, (status, _) in context.replies:
        if status == 200:
            assert key in runs
    assert runs


@pytest_bdd.then("no endpoint was pushed past its slots")
def check_slots(deployment):
    """Read the stand-ins' counts."""
    for row in deployment.documents.endpoints:
        counts = deployment.stand_in(row["endpoint"])
        assert counts["over_slots"] == 0, counts
        assert counts["refused_connections"] == 0, counts


@pytest_bdd.when(
    pytest_bdd.parsers.parse(
        "entry {number:d} is asked to stop while it answers searches"
    )
)
def stop_entry(deployment, context, number):
    """Send SIGTERM under load."""
    context.load = Load(deployment, [number - 1], workers=4)
    time.sleep(1.0)
    name = f"entry-{number}"
    deployment.signal(name, signal.SIGTERM)
    process = deployment.process_by_name.pop(name)
    context.exit_code = process.wait(timeout=30)


@pytest_bdd.then("every search that it took was answered in whole")
def check_nothing_cut(context):
    """A search is answered, refused as not run, or finds the port closed."""
    answers = context.load.stop()
    answered = [a for a in answers if a[0] == 200]
    assert len(answered) > 10
    for status, body in answers:
        if status == 200:
            assert body["coverage"]["complete"], body["coverage"]
        elif status:
            assert body["not_run"], body


@pytest_bdd.then("it stopped with exit code 0")
def check_exit_code(context):
    """Check the exit code."""
    assert context.exit_code == 0


@pytest_bdd.when("an endpoint announces that it leaves under load")
def leave(deployment, context):
    """Drain one endpoint under load."""
    context.load = Load(deployment, range(3))
    time.sleep(0.5)
    deployment.stand_in("booking-desk-01.0", {"drain": True})
    time.sleep(5.0)


@pytest_bdd.then(
    pytest_bdd.parsers.parse("it gets no new work after {limit:d} seconds")
)
def check_no_new_work(deployment, limit):
    """Read when the last new work came."""
    counts = deployment.stand_in("booking-desk-01.0")
    assert counts["last_work_after_drain_ms"] <= limit * 1000


@pytest_bdd.then("searches stay complete")
def check_stay_complete(context):
    """Check all answers of the load."""
    check_searches(context)


@pytest_bdd.when("all connections to one endpoint go silent under load")
def go_silent(deployment, context):
    """Silence the open connections of one endpoint, twice."""
    context.load = Load(deployment, range(3))
    time.sleep(1.0)
    for _ in range(2):
        deployment.stand_in("booking-desk-01.0", {"silence": True})
        time.sleep(1.0)


@pytest_bdd.then("every search is still complete")
def check_all_complete(context):
    """Check all answers of the load."""
    check_searches(context)


@pytest_bdd.when("two operators apply a change on the same revision at once")
def race(deployment, context):
    """Send two changes through different entries at once."""
    with concurrent.futures.ThreadPoolExecutor() as pool:
        futures = [
            pool.submit(deployment.apply, f"race-{n}", context.revision, n)
            for n in range(2)
        ]
        context.replies = [future.result() for future in futures]


@pytest_bdd.then("exactly one is accepted and the other gets a conflict")
def check_race(context):
    """Compare both answers."""
    assert sorted(status for status, _ in context.replies) == [200, 412]


@pytest_bdd.then("a resend of either gets its first answer")
def check_resend(deployment, context):
    """Resend both through the third entry."""
    for number, first in enumerate(context.replies):
        again = deployment.apply(f"race-{number}", context.revision, 2)
        assert again[0] == first[0]
        assert again[1].get("revision") == first[1].get("revision")


@pytest_bdd.when("a control VM loses its disk and comes back")
def lose_disk(deployment, context):
    """Remove a control VM's files and start it again."""
    leader = deployment.get_leader()
    context.lost = next(
        f"control-{n}" for n in (1, 2, 3) if f"control-{n}" != leader
    )
    context.old_voters = set(deployment.get_status()["voters"])
    deployment.kill(context.lost)
    folder = processes.os.path.join(deployment.folder, context.lost)
    for name in processes.os.listdir(folder):
        processes.os.remove(processes.os.path.join(folder, name))
    deployment.start_vm(context.lost)


@pytest_bdd.then(
    pytest_bdd.parsers.parse(
        "{count:d} voters are configured again within {limit:d} seconds"
    )
)
def check_voters(deployment, context, count, limit):
    """Wait for a new identity among the voters."""

    def is_repaired():
        body = deployment.get_status()
        if body is None:
            return False
        voters = set(body["voters"])
        vms = {voter.split("#")[0] for voter in voters}
        fresh = {v.split("#")[0] for v in voters - context.old_voters}
        return len(vms) == count == len(voters) and fresh == {context.lost}

    deployment.wait_until(is_repaired, limit)


@pytest_bdd.when("another control VM is killed right after")
def kill_another(deployment, context):
    """Kill the leader, which did not lose its disk."""
    deployment.kill(deployment.get_leader())


@pytest_bdd.when(
    pytest_bdd.parsers.parse(
        "{count:d} changes are applied and all control VMs are killed and "
        "started"
    )
)
def restart_control(deployment, context, count):
    """Apply many changes, then restart all of control."""
    for number in range(count):
        status, body = deployment.apply(f"c-{number}", context.revision)
        assert status == 200, body
        context.revision = body["revision"]
    names = ["control-1", "control-2", "control-3"]
    for name in names:
        deployment.kill(name)
    for name in names:
        deployment.start_vm(name)


@pytest_bdd.then("the current revision is the last accepted one")
def check_revision(deployment, context):
    """Ask for the revision until there is a leader."""
    deployment.wait_until(deployment.get_leader, 10)
    assert deployment.get_status()["revision"] == context.revision == 501


@pytest_bdd.given(
    pytest_bdd.parsers.parse(
        'a deployment whose control VM "{vm_id}" can be cut off'
    ),
    target_fixture="deployment",
)
def start_with_relays(vm_id, tmp_path, request, context):
    """Start real processes with relays around one control VM."""
    deployment = processes.Deployment(tmp_path, 3, 3)
    context.isolation = relay.Isolation(deployment.documents, vm_id)
    first = deployment.documents.entry_settings[0]
    context.entry_relays = []
    for row in first["control_vms"]:
        if row["vm_id"] != vm_id:
            way = relay.Relay(row["peer_address"])
            row["peer_address"] = way.address
            context.entry_relays.append(way)
    deployment.write()
    request.addfinalizer(context.isolation.stop)
    for way in context.entry_relays:
        request.addfinalizer(way.stop)
    request.addfinalizer(deployment.stop)
    deployment.start()
    return deployment


@pytest_bdd.when(
    pytest_bdd.parsers.parse(
        '"{vm_id}" leads and is cut off from the other control VMs'
    )
)
def cut_leader(deployment, context, vm_id):
    """Make a VM the leader, then cut it off."""
    deployment.wait_until(deployment.get_leader, 10)
    while deployment.get_leader() != vm_id:
        leader = deployment.get_leader()
        deployment.signal(leader, signal.SIGSTOP)
        deployment.wait_until(
            lambda: deployment.get_leader() not in ("", leader), 10
        )
        deployment.signal(leader, signal.SIGCONT)
        time.sleep(2.0)
    context.isolation.cut()


@pytest_bdd.when(
    pytest_bdd.parsers.parse('"{vm_id}" is reached by the others again')
)
def heal_leader(context, vm_id):
    """Mend the ways to the VM that was cut off."""
    context.isolation.heal()


@pytest_bdd.when(
    pytest_bdd.parsers.parse('entry 1 reaches no control VM but "{vm_id}"')
)
def cut_entry(context, vm_id):
    """Cut the first entry off from the other control VMs."""
    for way in context.entry_relays:
        way.is_cut = True


@pytest_bdd.then(
    pytest_bdd.parsers.parse(
        "entry 1 refuses searches as not run within {limit:d} seconds"
    )
)
def check_refused(deployment, limit):
    """Wait for refusals, and see that they go on."""

    def is_refused():
        status, body = deployment.query(0)
        return status == 503 and body["kind"] == "no_lease"

    deployment.wait_until(is_refused, limit)
    for _ in range(20):
        status, body = deployment.query(0)
        assert status == 503 and body["not_run"], body
        time.sleep(0.1)
