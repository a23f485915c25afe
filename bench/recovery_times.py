"""Measures recovery times on real processes, each several times.

Measures the time from loss of the leader to a new leader, from loss of an
owner to new owners, from an accepted change to its effect on every VM, and
from the drain of an endpoint to its last new work.
"""

import signal
import statistics
import tempfile
import threading
import time

import defopt

from features import processes

POLL_INTERVAL_S = 0.02


def wait_until(condition, limit_s):
    """Return the time until the condition is true, in ms."""
    started = time.monotonic()
    while not condition():
        if time.monotonic() - started > limit_s:
            raise SystemExit(f"condition not met within {limit_s} s")
        time.sleep(POLL_INTERVAL_S)
    return (time.monotonic() - started) * 1000.0


def measure_leader(deployment):
    """Kill the leader; return the time until status names another, in ms."""
    leader = deployment.get_leader()
    deployment.kill(leader)
    elapsed = wait_until(
        lambda: deployment.get_leader() not in ("", leader), 20
    )
    deployment.start_vm(leader)
    wait_until(lambda: len(deployment.get_status()["voters"]) == 3, 20)
    time.sleep(2.0)
    return elapsed


def measure_owner(deployment, sent_signal):
    """Signal an owner; return the ms until live VMs own all endpoints."""
    deployment.signal("entry-3", sent_signal)

    def is_taken_over():
        body = deployment.get_status()
        if body is None:
            return False
        live = {vm["session"] for vm in body["vms"] if vm["vm"] != "entry-3"}
        return all(e["owner"] in live for e in body["endpoints"])

    elapsed = wait_until(is_taken_over, 30)
    process = deployment.process_by_name.pop("entry-3")
    process.kill()
    process.wait()
    deployment.start_vm("entry-3")
    wait_until(lambda: deployment.is_complete(2), 20)
    time.sleep(4.0)
    return elapsed


def measure_change(deployment, number):
    """Apply a change; return the ms until every VM confirms it."""
    revision = deployment.get_status()["revision"]
    status, body = deployment.apply(f"time-{number}", revision)
    assert status == 200
    return wait_until(lambda: deployment.is_in_force(body["revision"]), 20)


def measure_drain(deployment, endpoint):
    """Drain an endpoint under load; return the ms to its last new work."""
    running = [True]

    def send_queries(entry):
        while running[0]:
            deployment.query(entry)

    threads = [
        threading.Thread(target=send_queries, args=(n,)) for n in range(3)
    ]
    for thread in threads:
        thread.start()
    time.sleep(0.5)
    deployment.stand_in(endpoint, {"drain": True})
    time.sleep(4.0)
    running[0] = False
    for thread in threads:
        thread.join()
    return deployment.stand_in(endpoint)["last_work_after_drain_ms"]


def print_summary(name, values):
    """Print the median and the maximum of the values, in ms."""
    print(
        f"{name:<44} median {statistics.median(values):7.0f} ms, "
        f"largest {max(values):7.0f} ms, n {len(values)}",
        flush=True,
    )


def main(*, rounds: int = 5):
    """Measure and print the recovery times.

    :param rounds: number of samples per time; four times as many for changes
    """
    with tempfile.TemporaryDirectory() as folder:
        deployment = processes.Deployment(folder, scale=0.2)
        try:
            deployment.start()
            numbers = range(rounds)
            print_summary(
                "accepted to in force everywhere",
                [measure_change(deployment, n) for n in range(4 * rounds)],
            )
            print_summary(
                "leader killed to another leader",
                [measure_leader(deployment) for _ in numbers],
            )
            for name, sent_signal in (
                ("owner killed to all endpoints owned", signal.SIGKILL),
                ("owner frozen to all endpoints owned", signal.SIGSTOP),
                ("owner stopped to all endpoints owned", signal.SIGTERM),
            ):
                print_summary(
                    name,
                    [measure_owner(deployment, sent_signal) for _ in numbers],
                )
            endpoints = [
                row["endpoint"]
                for row in deployment.documents.endpoints
                if row["endpoint"].startswith("booking-desk")
                and row["endpoint"].endswith(".0")
            ]
            print_summary(
                "leaving announced to last new work",
                [measure_drain(deployment, e) for e in endpoints],
            )
        finally:
            deployment.stop()


if __name__ == "__main__":
    defopt.run(main, cli_options="kwonly")
