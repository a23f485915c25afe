"""Prometheus metrics of one process.

They cover what users ask about: tail latency, coverage and extra load on
endpoints. Gauges show the state of the control group.
"""

import aioprometheus
from aioprometheus import renderer

LATENCY_BUCKETS_S = (
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.2,
    0.38,
    0.75,
    1.5,
    3.0,
    10.0,
)


class Metrics:
    """All metrics of one process."""

    def __init__(self):
        self.registry = aioprometheus.Registry()
        self.requests = self._counter(
            "requests_total", "Requests by customer, kind and answer."
        )
        self.latency = aioprometheus.Histogram(
            "chervilspindle_request_seconds",
            "Time to the answer, by kind.",
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self.shards = self._counter(
            "shards_total", "Shards asked, by result; ok is covered."
        )
        self.dispatches = self._counter(
            "dispatches_total", "Requests sent to endpoints, by cause."
        )
        self.extra = self._counter(
            "extra_load_total",
            "Extra work for endpoints: hedge, retry, wasted, probe.",
        )
        self.endpoint_events = self._counter(
            "endpoint_events_total",
            "Shed requests, silent connections, refused hedges.",
        )
        self.gauges = aioprometheus.Gauge(
            "chervilspindle_state",
            "State by name: lease_ms, revision, version, term, leader,"
            " caller_bytes.",
            registry=self.registry,
        )
        self.refused_callers = self._counter(
            "refused_callers_total",
            "Connections of callers refused or closed at a limit, by reason.",
        )

    def _counter(self, name, doc):
        return aioprometheus.Counter(
            f"chervilspindle_{name}", doc, registry=self.registry
        )

    def count_request(self, customer, kind, answer, seconds):
        """Count one answered request."""
        self.requests.inc(
            {"customer": customer, "kind": kind, "answer": answer}
        )
        self.latency.observe({"kind": kind}, seconds)

    def count_shards(self, result, count):
        """Count the shards of answers by result."""
        if count:
            self.shards.add({"result": result}, count)

    def count_dispatch(self, job):
        """Count one request sent to an endpoint."""
        kind = "query" if job.key is None else "command"
        self.dispatches.inc({"kind": kind})

    def count_extra(self, cause, count=1):
        """Count sub-requests beyond the first for a shard."""
        self.extra.add({"cause": cause}, count)

    def count_refused_hedge(self):
        """Count a hedge that the hedge budget did not allow."""
        self.endpoint_events.inc({"event": "hedge-refused"})

    def count_wasted(self):
        """Count a request that ran although its result was not needed."""
        self.extra.inc({"cause": "wasted"})

    def count_probe(self):
        """Count a probe sent for a late request."""
        self.extra.inc({"cause": "probe"})

    def count_shed(self):
        """Count a request that an endpoint shed."""
        self.endpoint_events.inc({"event": "shed"})

    def count_silent(self):
        """Count a connection that was detected as silent."""
        self.endpoint_events.inc({"event": "silent"})

    def count_refused_caller(self, reason):
        """Count a connection refused or closed at a limit, by reason."""
        self.refused_callers.inc({"reason": reason})

    def set_state(self, name, value):
        """Set the state gauge called `name`."""
        self.gauges.set({"name": name}, value)

    def render(self, accept):
        """Render all metrics in a format that `accept` allows.

        Returns
        -------
        body, headers : bytes, dict
        """
        return renderer.render(self.registry, accept)
