"""Counters and latency histograms of routed requests."""

import collections
import heapq

import aioprometheus
from aioprometheus import renderer

from chervilspindle.core import metrics as core_metrics

MAX_ACCOUNTS = 20  # that have series of their own


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
        self.quota_requests = self._counter(
            "quota_requests_total",
            "Requests of accounts with a quota, by result; the accounts with"
            " most requests by name, the others together without one.",
        )
        self.quota_counts_by_account = {}
        self.refused = self._counter(
            "refused_requests_total",
            "Requests that an entry refused before a route ran them, by "
            "reason.",
        )
        self.shed = self._counter(
            "shed_requests_total",
            "Requests refused because of the load of endpoints, by route "
            "and priority.",
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
        self.evacuated_zones = aioprometheus.Gauge(
            "chervilspindle_evacuated_zones",
            "1 for a zone to whose endpoints nothing is sent, else 0.",
            registry=self.registry,
        )
        self.all_evacuated = aioprometheus.Gauge(
            "chervilspindle_all_zones_evacuated",
            "1 while all endpoints are in evacuated zones, else 0.",
            registry=self.registry,
        )
        self.all_evacuated.set({}, 0)
        self.shown_zones = set()
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

    def count_refused(self, reason):
        """Count a request that was refused before it was started."""
        self.refused.inc({"reason": reason})

    def count_shed(self, route, priority):
        """Count a request that was refused because of overload."""
        self.shed.inc({"route": route, "priority": str(priority)})

    def count_event(self, event):
        """Count a connection event."""
        self.events.inc({"event": event})

    def count_unusable(self, kind):
        """Count a row from control that this entry could not use."""
        self.unusable.inc({"kind": kind})

    def count_quota(self, account, result):
        """Count a request of an account with a quota, by result."""
        counts = self.quota_counts_by_account.get(account)
        if counts is None:
            counts = collections.Counter()
            self.quota_counts_by_account[account] = counts
        counts[result] += 1

    def _sum_quota_requests(self):
        """Name the `MAX_ACCOUNTS` largest accounts, and sum the others."""
        largest = heapq.nlargest(
            MAX_ACCOUNTS,
            self.quota_counts_by_account.items(),
            key=lambda item: item[1].total(),
        )
        named = {account for account, _ in largest}
        sums = collections.Counter()
        for account, counts in self.quota_counts_by_account.items():
            label = account if account in named else ""
            for result, count in counts.items():
                sums[label, result] += count
        # An account that is no longer among the largest loses its series.
        self.quota_requests.values.clear()
        for (account, result), count in sums.items():
            labels = {"account": account, "result": result}
            self.quota_requests.set(labels, count)

    def count_refused_caller(self, reason):
        """Count a connection refused or closed at a limit, by reason."""
        self.refused_callers.inc({"reason": reason})

    def set_caller_bytes(self, count):
        """Set how much memory is held for callers."""
        self.caller_bytes.set({}, count)

    def set_cut_off(self, is_cut_off):
        """Set whether this VM reaches no endpoint."""
        self.cut_off.set({}, int(is_cut_off))

    def set_evacuated_zones(self, zones):
        """Set which zones are evacuated."""
        self.shown_zones.update(zones)
        for zone in self.shown_zones:
            self.evacuated_zones.set({"zone": zone}, int(zone in zones))

    def set_all_evacuated(self, all_evacuated):
        """Set whether all endpoints are in evacuated zones."""
        self.all_evacuated.set({}, int(all_evacuated))

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
        self._sum_quota_requests()
        return renderer.render(self.registry, accept)
