"""Runs load scenarios on real processes and compares variants.

Each run starts a new deployment, sends the load from a separate process and
appends a JSON line to the output. The variants of a scenario are interleaved
within each seed, so that drift of the machine affects all of them.

Usage: python -m bench.experiment SCENARIO [--variants a,b] [--seeds 1,2]
A variant is ``full`` or baselines joined by ``+``, such as ``no-hedge``.
"""

import json
import os
import signal
import tempfile
import threading
import time

import defopt

from chervilspindle.tools import deployment as deployment_module
from chervilspindle.tools import load
from features import processes

LOAD_TIMEOUT_S = 300


def run_once(path, variant, seed, output):
    """Run a scenario on one variant, append the report and return it."""
    scenario, errors = load.load_scenario(path)
    if errors:
        raise SystemExit(str(errors))
    baselines = () if variant == "full" else variant.split("+")
    with tempfile.TemporaryDirectory() as folder:
        deployment = processes.Deployment(
            folder,
            entries=scenario.entries,
            scale=scenario.scale,
            profile=deployment_module.PROFILE_BY_NAME[scenario.profile],
            baselines=baselines,
        )
        try:
            deployment.start()
            report = run_load(deployment, scenario, path, seed, folder)
        finally:
            deployment.stop()
    report["variant"] = variant
    with open(output, "a", encoding="utf-8") as sink:
        sink.write(json.dumps(report) + "\n")
    print(f"--- {variant}")
    print(load.format_report(report), flush=True)
    return report


def run_load(deployment, scenario, path, seed, folder):
    """Run the load tool in a process and send the scenario's signals."""
    target = os.path.join(folder, "target.json")
    with open(target, "w", encoding="utf-8") as handle:
        json.dump(build_target(deployment), handle)
    result = os.path.join(folder, "report.jsonl")
    start = time.monotonic() + scenario.warmup_s + 2.0
    signals = threading.Thread(
        target=send_signals, args=(deployment, scenario, start), daemon=True
    )
    signals.start()
    finished = deployment.run(
        "load",
        path,
        "--target",
        target,
        "--seed",
        str(seed),
        "--output",
        result,
        timeout=LOAD_TIMEOUT_S,
    )
    if finished.returncode:
        raise SystemExit(finished.stderr)
    with open(result, encoding="utf-8") as handle:
        return json.loads(handle.readline())


def build_target(deployment):
    """Return the load tool's target, which it reads as a JSON array."""
    return [
        deployment.addresses,
        deployment.documents.token_by_name,
        {
            row["endpoint"]: row["address"]
            for row in deployment.documents.endpoints
        },
        {
            row["endpoint"]: row["zone"]
            for row in deployment.documents.endpoints
        },
    ]


def send_signals(deployment, scenario, start):
    """Send each signal of the scenario at its time after ``start``.

    START starts a killed VM again; RESTART stops it with SIGTERM first.
    """
    for at_s, name, signal_name in sorted(scenario.signals):
        time.sleep(max(0.0, start + at_s - time.monotonic()))
        if signal_name == "START":
            deployment.start_vm(name)
        elif signal_name == "SIGKILL":
            deployment.kill(name)
        elif signal_name == "RESTART":
            deployment.signal(name, signal.SIGTERM)
            deployment.process_by_name.pop(name).wait()
            deployment.start_vm(name)
        else:
            deployment.signal(name, getattr(signal, signal_name))


def main(
    *scenarios: str,
    variants: str = "full",
    seeds: str = "1",
    output: str = "run/experiments.jsonl",
):
    """Run every scenario with every seed on every variant.

    :param scenarios: scenario files
    :param variants: variants, separated by commas
    :param seeds: seeds, separated by commas
    :param output: file to which reports are appended as JSON lines
    """
    os.makedirs(os.path.dirname(output) or ".", exist_ok=True)
    for path in scenarios:
        for seed in seeds.split(","):
            for variant in variants.split(","):
                run_once(path, variant, int(seed), output)


if __name__ == "__main__":
    defopt.run(main, cli_options="kwonly")
