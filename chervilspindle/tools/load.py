"""Open-loop load generator for experiments.

Arrivals follow a Poisson process with a fixed seed and never wait for
answers. Latency is measured from the scheduled arrival time, so that a stall
of the system or of the generator is not hidden (coordinated omission).
"""

import fnmatch
import json
import random
import re
import typing

import hdrh.histogram
import msgspec
import treq
import treq.client
from twisted.internet import defer
from twisted.internet import task
from twisted.web import client as web_client

from chervilspindle.config import jsonc
from chervilspindle.tools import records

MAX_LATENCY_US = 60_000_000
SIGNIFICANT_FIGURES = 3
ANSWER_GRACE_S = 1.0
CONNECTIONS = 400
READINESS_INTERVAL_S = 0.25
READINESS_TIMEOUT_S = 0.5

_CAUSE = re.compile(
    r"^chervilspindle_(?:extra_load|endpoint_events)_total"
    r'\{(?:cause|event)="([^"]+)"\} ([0-9.e+]+)',
    re.MULTILINE,
)


class Traffic(msgspec.Struct, forbid_unknown_fields=True):
    """Requests of one customer at one priority.

    `rate` is in requests a second, `kind` is ``query`` or ``command``.
    """

    customer: str
    rate: float
    services: list[str]
    priority: str = ""
    deadline_ms: int = 400
    query: dict = {}
    kind: str = "query"
    partial: bool = True


class Change(msgspec.Struct, forbid_unknown_fields=True):
    """A change to the stand-ins that match a pattern, at a given time.

    `endpoints` is a shell-style pattern of names, `zone` limits the change
    to one availability zone, and `body` is sent to each stand-in; see
    `endpoint.StandIn.change`.
    """

    at_s: float
    endpoints: str
    body: dict
    zone: str = ""


class Scenario(msgspec.Struct, forbid_unknown_fields=True):
    """One load experiment.

    `profile`, `scale`, `entries` and `signals` are read by the script
    that starts the processes; a signal is (at_s, process, signal name).
    """

    name: str
    profile: str
    duration_s: float
    traffic: list[Traffic]
    changes: list[Change] = []
    scale: float = 0.2
    entries: int = 3
    warmup_s: float = 3.0
    signals: list[tuple[float, str, str]] = []


class Target(typing.NamedTuple):
    """Addresses and zones of a deployment, and its customers' tokens."""

    entries: tuple[str, ...]
    token_by_name: dict[str, str]
    address_by_endpoint: dict[str, str]
    zone_by_endpoint: dict[str, str] = {}


class Tally:
    """Results of the requests of one customer at one priority."""

    def __init__(self):
        self.histogram = hdrh.histogram.HdrHistogram(
            1, MAX_LATENCY_US, SIGNIFICANT_FIGURES
        )
        self.refusal_histogram = hdrh.histogram.HdrHistogram(
            1, MAX_LATENCY_US, SIGNIFICANT_FIGURES
        )
        self.sent = 0
        self.good = 0
        self.answered = 0
        self.shards_answered = 0
        self.shards_total = 0
        self.wrong = 0
        self.mixed = 0
        self.failures = {}
        self.missing = {}
        self.without_retry_after = 0

    def summarise(self) -> dict:
        """Return the row of the report; latencies are in ms."""
        return {
            "sent": self.sent,
            "answered": self.answered,
            "goodput": round(self.good / max(1, self.sent), 4),
            "p50": self._get_percentile_ms(self.histogram, 50),
            "p99": self._get_percentile_ms(self.histogram, 99),
            "p999": self._get_percentile_ms(self.histogram, 99.9),
            "coverage": round(
                self.shards_answered / max(1, self.shards_total), 5
            ),
            "wrong": self.wrong,
            "mixed": self.mixed,
            "refusal_p99": self._get_percentile_ms(self.refusal_histogram, 99),
            "failures": dict(sorted(self.failures.items())),
            "missing": dict(sorted(self.missing.items())),
            "without_retry_after": self.without_retry_after,
        }

    def _get_percentile_ms(self, histogram, percentile):
        return round(histogram.get_value_at_percentile(percentile) / 1000.0, 2)


class Generator:
    """Runs one scenario against a running deployment.

    Parameters
    ----------
    reactor : the reactor
    scenario : Scenario
    target : Target
    seed : int
    """

    def __init__(self, reactor, scenario, target, seed):
        self.reactor = reactor
        self.scenario = scenario
        self.target = target
        self.random = random.Random(seed)
        pool = web_client.HTTPConnectionPool(reactor)
        pool.maxPersistentPerHost = CONNECTIONS
        pool.retryAutomatically = False
        self.client = treq.client.HTTPClient(
            web_client.Agent(reactor, pool=pool)
        )
        self.tally_by_key = {}
        self.ready = list(target.entries)
        self.request_count = 0
        self.seed = seed

    @defer.inlineCallbacks
    def run(self):
        """Run the scenario.

        Returns
        -------
        Deferred of dict
            The report.
        """
        checks = task.LoopingCall(self._check_readiness)
        checks.clock = self.reactor
        checks.start(READINESS_INTERVAL_S)
        yield self._send_all(self.scenario.warmup_s)
        self.tally_by_key = {}
        before = yield self._read_endpoint_counts()
        causes_before = yield self._read_load_by_cause()
        for change in self.scenario.changes:
            self.reactor.callLater(change.at_s, self._apply_change, change)
        yield self._send_all(self.scenario.duration_s)
        after = yield self._read_endpoint_counts()
        causes_after = yield self._read_load_by_cause()
        checks.stop()
        report = self._report(before, after)
        report["causes"] = {
            name: value - causes_before.get(name, 0.0)
            for name, value in sorted(causes_after.items())
        }
        return report

    @defer.inlineCallbacks
    def _send_all(self, duration_s):
        start = self.reactor.seconds() + 0.05
        for traffic in self.scenario.traffic:
            self._schedule_arrivals(traffic, start, duration_s)
        longest = max(t.deadline_ms for t in self.scenario.traffic)
        yield task.deferLater(
            self.reactor, duration_s + longest / 1000 + ANSWER_GRACE_S
        )

    def _schedule_arrivals(self, traffic, start, duration_s):
        moment = self.random.expovariate(traffic.rate)
        while moment < duration_s:
            self.reactor.callLater(
                start + moment - self.reactor.seconds(),
                self._send,
                traffic,
                start + moment,
            )
            moment += self.random.expovariate(traffic.rate)

    def _send(self, traffic, due):
        key = (traffic.customer, traffic.priority)
        tally = self.tally_by_key.setdefault(key, Tally())
        tally.sent += 1
        self.request_count += 1
        address = self.random.choice(self.ready)
        token = self.target.token_by_name[traffic.customer]
        path, body = self._build(traffic)
        headers = {"Authorization": f"Bearer {token}"}
        if traffic.kind == "command":
            headers["Idempotency-Key"] = (
                f"load-{self.seed}-{self.request_count}"
            )
        deferred = self.client.post(
            f"http://{address}{path}",
            data=json.dumps(body).encode(),
            headers=headers,
            timeout=traffic.deadline_ms / 1000 + ANSWER_GRACE_S,
        )
        deferred.addCallback(self._record_response, traffic, tally, due)
        deferred.addErrback(self._record_client_error, tally)

    def _check_readiness(self):
        """Probe ``/readyz`` of each entry as the load balancer does."""
        for address in self.target.entries:
            deferred = self.client.get(
                f"http://{address}/readyz", timeout=READINESS_TIMEOUT_S
            )
            deferred.addCallbacks(
                self._record_readiness,
                lambda _, address: self._set_ready(address, False),
                callbackArgs=(address,),
                errbackArgs=(address,),
            )

    def _record_readiness(self, response, address):
        self._set_ready(address, response.code == 200)
        return treq.content(response)

    def _set_ready(self, address, is_ready):
        if is_ready and address not in self.ready:
            self.ready.append(address)
        elif not is_ready and address in self.ready and len(self.ready) > 1:
            self.ready.remove(address)

    def _build(self, traffic):
        common = {
            "priority": traffic.priority,
            "deadline_ms": traffic.deadline_ms,
        }
        if traffic.kind == "command":
            service = traffic.services[0]
            return "/v1/command", {
                **common,
                "service": service,
                "key": f"{service}/0001",
                "command": {"hold": self.request_count},
            }
        return "/v1/query", {
            **common,
            "services": traffic.services,
            "query": traffic.query,
            "partial": traffic.partial,
        }

    @defer.inlineCallbacks
    def _record_response(self, response, traffic, tally, due):
        data = yield treq.content(response)
        elapsed_us = max(1, int((self.reactor.seconds() - due) * 1e6))
        elapsed_us = min(elapsed_us, MAX_LATENCY_US)
        body = json.loads(data)
        if response.code != 200:
            self._record_refusal(tally, response, body, elapsed_us)
            return
        tally.answered += 1
        tally.histogram.record_value(elapsed_us)
        if traffic.kind == "command":
            tally.good += elapsed_us <= traffic.deadline_ms * 1000
            return
        coverage = body["coverage"]
        tally.shards_answered += coverage["answered"]
        tally.shards_total += coverage["total"]
        for row in coverage["missing"]:
            reason = row["reason"]
            tally.missing[reason] = tally.missing.get(reason, 0) + 1
        in_time = elapsed_us <= traffic.deadline_ms * 1000
        tally.good += in_time and coverage["complete"]
        self._check_results(traffic, tally, body)

    def _record_refusal(self, tally, response, body, elapsed_us):
        kind = body.get("kind", str(response.code))
        run = "not_run" if body.get("not_run") else "may_have_run"
        name = f"{kind}:{run}"
        tally.failures[name] = tally.failures.get(name, 0) + 1
        if body.get("not_run"):
            tally.refusal_histogram.record_value(elapsed_us)
        if not response.headers.hasHeader("retry-after"):
            tally.without_retry_after += 1

    def _check_results(self, traffic, tally, body):
        """Count results that are wrong or from another snapshot."""
        for row in body["results"]:
            low, high = map(int, row["shard"].split("-"))
            if any(r["snapshot"] != body["snapshot"] for r in row["value"]):
                tally.mixed += 1
            expected = records.search(
                row["service"], body["snapshot"], low, high, traffic.query
            )
            if row["value"] != expected:
                tally.wrong += 1

    def _record_client_error(self, failure, tally):
        name = f"client:{failure.type.__name__}"
        tally.failures[name] = tally.failures.get(name, 0) + 1

    def _apply_change(self, change):
        data = json.dumps(change.body).encode()
        for name, address in self.target.address_by_endpoint.items():
            zone = self.target.zone_by_endpoint.get(name, "")
            if change.zone not in ("", zone):
                continue
            if fnmatch.fnmatchcase(name, change.endpoints):
                self.client.post(
                    f"http://{address}/stand-in", data=data
                ).addCallbacks(treq.content, lambda _: None)

    @defer.inlineCallbacks
    def _read_endpoint_counts(self):
        counts_by_name = {}
        for name, address in self.target.address_by_endpoint.items():
            try:
                response = yield self.client.get(
                    f"http://{address}/stand-in", timeout=2
                )
                counts_by_name[name] = yield treq.json_content(response)
            except Exception:
                counts_by_name[name] = {}
        return counts_by_name

    @defer.inlineCallbacks
    def _read_load_by_cause(self):
        """Sum the entries' counters of extra load, by cause."""
        total_by_cause = {}
        for address in self.target.entries:
            try:
                response = yield self.client.get(
                    f"http://{address}/metrics", timeout=2
                )
                text = yield treq.text_content(response)
            except Exception:
                continue
            for cause, value in _CAUSE.findall(text):
                total = total_by_cause.get(cause, 0.0) + float(value)
                total_by_cause[cause] = total
        return total_by_cause

    def _report(self, before, after):
        totals = {}
        for name, counts in after.items():
            for field, value in counts.items():
                if not isinstance(value, (int, float)):
                    continue
                past = before.get(name, {}).get(field, 0)
                if field.startswith("max_"):
                    totals[field] = max(totals.get(field, 0), value)
                else:
                    totals[field] = totals.get(field, 0) + value - past
        needed = sum(t.shards_answered for t in self.tally_by_key.values())
        queries = totals.get("queries", 0)
        totals["extra_load"] = round(queries / max(1, needed) - 1.0, 4)
        return {
            "scenario": self.scenario.name,
            "seed": self.seed,
            "rows": [
                {"customer": c, "priority": p, **tally.summarise()}
                for (c, p), tally in sorted(self.tally_by_key.items())
            ],
            "endpoints": totals,
        }


def load_scenario(path: str):
    """Read a scenario from a file of JSON with comments.

    Returns
    -------
    scenario, errors : Scenario or None, list of ConfigError
    """
    document, mistakes = jsonc.load_file(path)
    if mistakes:
        return None, mistakes
    try:
        return msgspec.convert(document, Scenario), []
    except msgspec.ValidationError as error:
        detail, _, place = str(error).partition(" - at ")
        return None, [jsonc.ConfigError(path, place or "document", detail)]


def format_report(report: dict) -> str:
    """Return the report as a table."""
    lines = [
        f"{report['scenario']} seed {report['seed']}",
        f"{'customer':<22}{'priority':<20}{'sent':>6}{'good':>8}{'p50':>8}"
        f"{'p99':>8}{'p99.9':>8}{'cover':>9}{'refus99':>8}",
    ]
    for row in report["rows"]:
        lines.append(
            f"{row['customer']:<22}{row['priority']:<20}{row['sent']:>6}"
            f"{row['goodput']:>8.3f}{row['p50']:>8.1f}{row['p99']:>8.1f}"
            f"{row['p999']:>8.1f}{row['coverage']:>9.5f}"
            f"{row['refusal_p99']:>8.1f}"
        )
        if row["failures"]:
            lines.append(f"    failures: {row['failures']}")
        if row["missing"]:
            lines.append(f"    missing: {row['missing']}")
    totals = report["endpoints"]
    lines.append(
        f"endpoints: extra load {totals['extra_load']:.4f}, over slots "
        f"{totals.get('over_slots', 0)}, shed {totals.get('shed', 0)}, "
        f"connections refused {totals.get('refused_connections', 0)}"
    )
    causes = report.get("causes", {})
    lines.append(
        "causes: " + ", ".join(f"{n} {v:.0f}" for n, v in causes.items())
    )
    return "\n".join(lines)


def plot_reports(reports, path: str):
    """Write a bar plot of p99 by customer for several reports."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(9, 5))
    names = [f"{r['customer']}/{r['priority']}" for r in reports[0]["rows"]]
    width = 0.8 / len(reports)
    for number, report in enumerate(reports):
        values = [row["p99"] for row in report["rows"]]
        places = [i + number * width for i in range(len(values))]
        label = f"{report.get('variant', '')} {report['scenario']}"
        axes.bar(places, values, width, label=label)
    axes.set_xticks(range(len(names)), names, rotation=20, fontsize=7)
    axes.set_ylabel("p99 latency (ms)")
    axes.legend(fontsize=7)
    figure.tight_layout()
    figure.savefig(path)
