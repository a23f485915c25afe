"""Measures the processor time of real processes, idle and per shard.

Starts a deployment and reads the processor time of each process from /proc,
first idle, then while queries are sent one at a time over an increasing
number of shards.
"""

import json
import os
import tempfile
import time

import defopt

from bench import slopes
from features import processes

IDLE_S = 10.0
QUERIES = 150
TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def read_usage(pid):
    """Return the processor time in ms and the resident memory in MB."""
    with open(f"/proc/{pid}/stat", encoding="ascii") as handle:
        fields = handle.read().rsplit(")", 1)[1].split()
    with open(f"/proc/{pid}/statm", encoding="ascii") as handle:
        pages = int(handle.read().split()[1])
    ticks = int(fields[11]) + int(fields[12])
    memory = pages * os.sysconf("SC_PAGE_SIZE") / 1e6
    return ticks * 1000.0 / TICKS_PER_S, memory


def read_usage_by_name(deployment):
    """Return processor time and memory of all processes, by name."""
    return {
        name: read_usage(process.pid)
        for name, process in deployment.process_by_name.items()
    }


def measure_idle(deployment):
    """Print the core share and memory of each process while idle."""
    before = read_usage_by_name(deployment)
    time.sleep(IDLE_S)
    after = read_usage_by_name(deployment)
    for name in sorted(after):
        spent = after[name][0] - before[name][0]
        share = spent / (IDLE_S * 10.0)
        print(
            f"idle {name:<14}{share:6.2f} % of a core, "
            f"{after[name][1]:6.1f} MB"
        )


def measure_queries(deployment, services):
    """Return the entries' processor time and elapsed time per query, in ms."""
    body = {
        "services": services,
        "query": {"text": "canoe"},
        "priority": "lookup",
        "deadline_ms": 2000,
    }

    def send(count):
        for number in range(count):
            status, _ = deployment.request(
                "POST", "/v1/query", "desk-negombo", body, entry=number % 3
            )
            assert status == 200

    send(30)
    before = read_usage_by_name(deployment)
    started = time.monotonic()
    send(QUERIES)
    elapsed = time.monotonic() - started
    after = read_usage_by_name(deployment)
    spent = sum(
        after[n][0] - before[n][0] for n in after if n.startswith("entry")
    )
    cost = spent / QUERIES
    return cost, elapsed / QUERIES * 1000.0


def main(*, shards: str = "1,5,10,20", scale: float = 0.5):
    """Measure and print the costs.

    :param shards: comma-separated shard counts; if empty, measure only idle
    :param scale: fraction of the services, which sets the announcement rate
    """
    with tempfile.TemporaryDirectory() as folder:
        deployment = processes.Deployment(folder, entries=3, scale=scale)
        try:
            deployment.start()
            time.sleep(3)
            count = len(deployment.documents.endpoints)
            print(f"{count / 3:.1f} announcements a second at each entry")
            measure_idle(deployment)
            if not shards:
                return
            points = []
            for count in map(int, shards.split(",")):
                names = sorted(
                    {
                        row["service"]
                        for row in deployment.documents.endpoints
                        if row["service"].startswith(("booking", "hotel"))
                    }
                )[:count]
                cost, elapsed = measure_queries(deployment, names)
                points.append((count, cost))
                print(
                    f"{count} shards: {cost:.2f} ms of entries' time a "
                    f"query, {elapsed:.1f} ms elapsed",
                    flush=True,
                )
            slope, intercept = slopes.fit_slope(points)
            print(
                json.dumps(
                    {
                        "ms_per_shard": round(slope, 3),
                        "ms_per_query": round(intercept, 3),
                    }
                )
            )
        finally:
            deployment.stop()


if __name__ == "__main__":
    defopt.run(main, cli_options="kwonly")
