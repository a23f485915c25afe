"""Counters and latency histograms of routed requests."""

import aioprometheus
from aioprometheus import renderer

from chervilspindle.core import metrics as core_metrics


class RoutingMetrics:
    """Metrics of one entry."""

    def __init__(self):
        self.registry = aioprometheus.Registry()
        self.requests = self._counter(
            "routed_requests_total", "Requests by route and status."
        )
        self.failures = self._counter(
            "send_failures_total", "Sends without a good answer, by reason."
        )
        self.extra = self._counter(
            "extra_sends_total", "Sends beyond the first, by cause."
        )
        self.events = self._counter(
            "connection_events_total", "Events of connections to endpoints."
        )
        self.held_back = self._counter(
            "held_back_sends_total",
            "Sends withheld from endpoints that take none now, by reason.",
        )
        self.unusable = self._counter(
            "unusable_rows_total",
            "Rows from control that this entry could not use, by kind.",
        )
        self.drained = self._counter(
            "drain_refusals_total",
            "Requests that a planned stop refused or ended, by how.",
        )
        self.refused_callers = self._counter(
            "refused_callers_total",
            "Connections of callers refused or closed at a limit, by reason.",
        )
        self.caller_bytes = aioprometheus.Gauge(
            "chervilspindle_caller_bytes",
            "Memory that is held for callers, in bytes.",
            registry=self.registry,
        )
        self.cut_off = aioprometheus.Gauge(
            "chervilspindle_cut_off",
            "1 while this VM reaches no endpoint, else 0.",
            registry=self.registry,
        )
        self.cut_off.set({}, 0)
        self.peer_links = aioprometheus.Gauge(
            "chervilspindle_peer_links",
            "Links to other processes, by the protocol version they read.",
            registry=self.registry,
        )
        self.peer_versions = set()
        self.latency = aioprometheus.Histogram(
            "chervilspindle_routed_seconds",
            "Time to the answer, by route.",
            buckets=core_metrics.LATENCY_BUCKETS_S,
            registry=self.registry,
        )

    def _counter(self, name, doc):
        return aioprometheus.Counter(
            f"chervilspindle_{name}", doc, registry=self.registry
        )

    def count_request(self, route, status, seconds):
        """Count one request and observe its latency in seconds."""
        self.requests.inc({"route": route, "status": str(status)})
        self.latency.observe({"route": route}, seconds)

    def count_failure(self, reason):
        """Count a send without a successful answer, by reason."""
        self.failures.inc({"reason": reason})

    def count_extra_send(self, cause):
        """Count a send beyond the first, by cause."""
        self.extra.inc({"cause": cause})

    def count_held_back(self, reason):
        """Count a send withheld from an endpoint, by reason."""
        self.held_back.inc({"reason": reason})

    def count_drained(self, how):
        """Count a request that a planned stop refused or ended."""
        self.drained.inc({"how": how})

    def count_event(self, event):
        """Count a connection event."""
        self.events.inc({"event": event})

    def count_unusable(self, kind):
        """Count a row from control that this entry could not use."""
        self.unusable.inc({"kind": kind})

    def count_refused_caller(self, reason):
        """Count a connection refused or closed at a limit, by reason."""
        self.refused_callers.inc({"reason": reason})

    def set_caller_bytes(self, count):
        """Set how much memory is held for callers."""
        self.caller_bytes.set({}, count)

    def set_cut_off(self, is_cut_off):
        """Set whether this VM reaches no endpoint."""
        self.cut_off.set({}, int(is_cut_off))

    def set_peer_links(self, links_by_version):
        """Set the number of links by the version that peers read."""
        self.peer_versions.update(links_by_version)
        for version in self.peer_versions:
            labels = {"version": str(version)}
            self.peer_links.set(labels, links_by_version.get(version, 0))

    def render(self, accept):
        """Render all metrics in a format that `accept` allows.

        Returns
        -------
        body, headers : bytes, dict
        """
        return renderer.render(self.registry, accept)
