"""Times of recovery on real processes, each measured several times.

Leader killed to another leader, owner killed to new owners, change accepted
to in force on every VM, and leaving endpoint to its last new work.
"""

import signal
import statistics
import tempfile
import threading
import time

import defopt

from features import processes

POLL_S = 0.02


def wait_for(condition, limit_s):
    """Return the time until a condition holds, in ms."""
    started = time.monotonic()
    while not condition():
        if time.monotonic() - started > limit_s:
            raise SystemExit(f"not within {limit_s} s")
        time.sleep(POLL_S)
    return (time.monotonic() - started) * 1000.0


def measure_leader(deployment):
    """Kill the leader; return the time until another answers, in ms."""
    leader = deployment.get_leader()
    deployment.kill(leader)
    elapsed = wait_for(lambda: deployment.get_leader() not in ("", leader), 20)
    deployment.start_vm(leader)
    wait_for(lambda: len(deployment.get_status()["voters"]) == 3, 20)
    time.sleep(2.0)
    return elapsed


def measure_owner(deployment, sent_signal):
    """Stop an owner; return the time until all endpoints are owned, in ms."""
    deployment.signal("entry-3", sent_signal)

    def is_taken_over():
        body = deployment.get_status()
        if body is None:
            return False
        live = {vm["session"] for vm in body["vms"] if vm["vm"] != "entry-3"}
        return all(e["owner"] in live for e in body["endpoints"])

    elapsed = wait_for(is_taken_over, 30)
    process = deployment.process_by_name.pop("entry-3")
    process.kill()
    process.wait()
    deployment.start_vm("entry-3")
    wait_for(lambda: deployment.is_complete(2), 20)
    time.sleep(4.0)
    return elapsed


def measure_change(deployment, number):
    """Apply a change; return the time until it is in force, in ms."""
    revision = deployment.get_status()["revision"]
    status, body = deployment.apply(f"time-{number}", revision)
    assert status == 200
    return wait_for(lambda: deployment.is_in_force(body["revision"]), 20)


def measure_drain(deployment, endpoint):
    """Drain an endpoint under load; return when its last work came, in ms."""
    running = [True]

    def search(entry):
        while running[0]:
            deployment.query(entry)

    threads = [threading.Thread(target=search, args=(n,)) for n in range(3)]
    for thread in threads:
        thread.start()
    time.sleep(0.5)
    deployment.stand_in(endpoint, {"drain": True})
    time.sleep(4.0)
    running[0] = False
    for thread in threads:
        thread.join()
    return deployment.stand_in(endpoint)["last_work_after_drain_ms"]


def show(name, values):
    """Print median and largest of the values."""
    print(
        f"{name:<44} median {statistics.median(values):7.0f} ms, "
        f"largest {max(values):7.0f} ms, n {len(values)}",
        flush=True,
    )


def main(*, rounds: int = 5):
    """Measure and print.

    :param rounds: how often each time is taken
    """
    with tempfile.TemporaryDirectory() as folder:
        deployment = processes.Deployment(folder, scale=0.2)
        try:
            deployment.start()
            numbers = range(rounds)
            show(
                "accepted to in force everywhere",
                [measure_change(deployment, n) for n in range(4 * rounds)],
            )
            show(
                "leader killed to another leader",
                [measure_leader(deployment) for _ in numbers],
            )
            for name, sent_signal in (
                ("owner killed to all endpoints owned", signal.SIGKILL),
                ("owner frozen to all endpoints owned", signal.SIGSTOP),
                ("owner stopped to all endpoints owned", signal.SIGTERM),
            ):
                show(
                    name,
                    [measure_owner(deployment, sent_signal) for _ in numbers],
                )
            endpoints = [
                row["endpoint"]
                for row in deployment.documents.endpoints
                if row["endpoint"].startswith("booking-desk")
                and row["endpoint"].endswith(".0")
            ]
            show(
                "leaving announced to last new work",
                [measure_drain(deployment, e) for e in endpoints],
            )
        finally:
            deployment.stop()


if __name__ == "__main__":
    defopt.run(main, cli_options="kwonly")
