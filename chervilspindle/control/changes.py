"""Deltas of the replicated tables for entry processes.

Each member records which rows the latest versions changed, so that the reply
to a heartbeat or watch call holds just these rows; an entry that is further
behind gets all tables. Entries at the same version share one encoded delta.
"""

import collections

from chervilspindle.core import rows
from chervilspindle.wire import layouts
from chervilspindle.wire import messages
from chervilspindle.wire import versions

MAX_RETAINED_VERSIONS = 4096
CHANGE_KINDS = (
    "lists",
    "customer",
    "plan",
    "vm",
    "endpoint",
    "ownership",
    "document",
    "crash",
    "evacuation",
)
URGENT_KINDS = ("crash", "evacuation")


class ChangeFeed:
    """Changed rows by version, and a cache of encoded deltas.

    Attributes
    ----------
    urgent_version : int
        Newest version that changed a row which entries act on to protect
        endpoints.
    """

    def __init__(self):
        self.changes_by_version = collections.OrderedDict()
        self.oldest_version = 0
        self.urgent_version = 0
        self.delta_by_key = {}

    def reset(self, version: int):
        """Clear all records after a snapshot replaced the tables."""
        self.changes_by_version.clear()
        self.oldest_version = version
        self.delta_by_key.clear()

    def record(self, version: int, changes):
        """Record the rows that a version changed."""
        self.delta_by_key.clear()
        if changes:
            self.changes_by_version[version] = tuple(changes)
            if any(change.kind in URGENT_KINDS for change in changes):
                self.urgent_version = version
        while len(self.changes_by_version) > MAX_RETAINED_VERSIONS:
            oldest, _ = self.changes_by_version.popitem(last=False)
            self.oldest_version = oldest

    def get_delta(
        self,
        state,
        known_version: int,
        peer_version: int = versions.CURRENT,
    ) -> bytes:
        """Return the encoded delta of the rows changed since `known_version`.

        The delta is a full one if the feed does not reach back that far, or
        if the tables have not reached `known_version`. It is written for
        builds that read `peer_version` of the protocol.
        """
        if not self.oldest_version <= known_version <= state.version:
            known_version = 0
        layout = tuple(
            layouts.get_field_count(kind, messages.FIELD_COUNTS, peer_version)
            for kind in (messages.Delta, rows.Endpoint)
        )
        data = self.delta_by_key.get((known_version, layout))
        if data is None:
            delta = self._build_delta(state, known_version)
            data = messages.encode_delta(delta, peer_version)
            self.delta_by_key[known_version, layout] = data
        return data

    def _build_delta(self, state, known_version: int) -> messages.Delta:
        if known_version == 0:
            return build_full_delta(state)
        keys_by_kind = {kind: set() for kind in CHANGE_KINDS}
        for version in reversed(self.changes_by_version):
            if version <= known_version:
                break
            for change in self.changes_by_version[version]:
                keys_by_kind[change.kind].add(change.key)
        return build_incremental_delta(state, keys_by_kind)


def build_full_delta(state) -> messages.Delta:
    """Build a delta that replaces all tables of an entry."""
    return messages.Delta(
        version=state.version,
        full=True,
        lists=messages.ListsDelta(
            state.lists.revision,
            True,
            tuple(state.lists.customers_by_name.values()),
            tuple(state.lists.plans_by_name.values()),
            (),
            (),
        ),
        vms=tuple(state.vm_by_session.values()),
        endpoints=tuple(state.endpoint_by_id.values()),
        ownerships=tuple(state.ownership_by_id.values()),
        gone_vms=(),
        gone_endpoints=(),
        document=state.document,
        crashes=tuple(state.crash_by_content.values()),
        evacuations=tuple(state.evacuation_by_zone.values()),
    )


def build_incremental_delta(state, keys_by_kind) -> messages.Delta:
    """Build a delta of the given rows; missing rows are sent as removed."""
    vms, gone_vms = _partition_keys(state.vm_by_session, keys_by_kind["vm"])
    endpoints, gone_endpoints = _partition_keys(
        state.endpoint_by_id, keys_by_kind["endpoint"]
    )
    ownerships, _ = _partition_keys(
        state.ownership_by_id, keys_by_kind["ownership"]
    )
    crashes, gone_crashes = _partition_keys(
        state.crash_by_content, keys_by_kind["crash"]
    )
    evacuations, gone_evacuations = _partition_keys(
        state.evacuation_by_zone, keys_by_kind["evacuation"]
    )
    return messages.Delta(
        version=state.version,
        full=False,
        lists=_build_lists_delta(state.lists, keys_by_kind),
        vms=vms,
        endpoints=endpoints,
        ownerships=ownerships,
        gone_vms=gone_vms,
        gone_endpoints=gone_endpoints,
        document=state.document if keys_by_kind["document"] else None,
        crashes=crashes,
        gone_crashes=gone_crashes,
        evacuations=evacuations,
        gone_evacuations=gone_evacuations,
    )


def _build_lists_delta(lists, keys_by_kind):
    if not keys_by_kind["lists"]:
        return None
    customers, gone_customers = _partition_keys(
        lists.customers_by_name, keys_by_kind["customer"]
    )
    plans, gone_plans = _partition_keys(
        lists.plans_by_name, keys_by_kind["plan"]
    )
    return messages.ListsDelta(
        lists.revision, False, customers, plans, gone_customers, gone_plans
    )


def _partition_keys(table, keys):
    """Return the rows that exist, and the keys of those that do not."""
    present = tuple(table[key] for key in sorted(keys) if key in table)
    missing = tuple(key for key in sorted(keys) if key not in table)
    return present, missing
