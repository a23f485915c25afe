"""Deltas of the replicated tables for entries.

Each member remembers which rows the latest versions touched, so that a
heartbeat is answered with just those rows; one that is further behind gets
all tables. Entries that know the same version share one encoded delta.
"""

import collections

from chervilspindle.wire import messages

VERSIONS_KEPT = 4096
KINDS = (
    "lists",
    "customer",
    "plan",
    "vm",
    "endpoint",
    "ownership",
    "document",
)


class ChangeFeed:
    """Touched rows by version, and a cache of built deltas."""

    def __init__(self):
        self.changes_by_version = collections.OrderedDict()
        self.oldest_version = 0
        self.delta_by_known = {}

    def reset(self, version: int):
        """Forget all, after the tables were replaced by a snapshot."""
        self.changes_by_version.clear()
        self.oldest_version = version
        self.delta_by_known.clear()

    def record(self, version: int, changes):
        """Note the rows that a version touched."""
        self.delta_by_known.clear()
        if changes:
            self.changes_by_version[version] = tuple(changes)
        while len(self.changes_by_version) > VERSIONS_KEPT:
            oldest, _ = self.changes_by_version.popitem(last=False)
            self.oldest_version = oldest

    def get_delta(self, state, known_version: int) -> bytes:
        """Return the encoded delta of what changed since `known_version`."""
        if not self.oldest_version <= known_version <= state.version:
            known_version = 0
        data = self.delta_by_known.get(known_version)
        if data is None:
            delta = self._build(state, known_version)
            data = messages.encode_delta(delta)
            self.delta_by_known[known_version] = data
        return data

    def _build(self, state, known_version: int) -> messages.Delta:
        if known_version == 0:
            return build_full_delta(state)
        keys_by_kind = {kind: set() for kind in KINDS}
        for version in reversed(self.changes_by_version):
            if version <= known_version:
                break
            for change in self.changes_by_version[version]:
                keys_by_kind[change.kind].add(change.key)
        return build_partial(state, keys_by_kind)


def build_full_delta(state) -> messages.Delta:
    """Build a delta that replaces all that an entry holds."""
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
    )


def build_partial(state, keys_by_kind) -> messages.Delta:
    """Build a delta of the named rows; a missing row counts as gone."""
    vms, gone_vms = _split(state.vm_by_session, keys_by_kind["vm"])
    rows, gone_rows = _split(state.endpoint_by_id, keys_by_kind["endpoint"])
    ownerships, _ = _split(state.ownership_by_id, keys_by_kind["ownership"])
    return messages.Delta(
        version=state.version,
        full=False,
        lists=_build_lists(state.lists, keys_by_kind),
        vms=vms,
        endpoints=rows,
        ownerships=ownerships,
        gone_vms=gone_vms,
        gone_endpoints=gone_rows,
        document=state.document if keys_by_kind["document"] else None,
    )


def _build_lists(lists, keys_by_kind):
    if not keys_by_kind["lists"]:
        return None
    customers, gone_customers = _split(
        lists.customers_by_name, keys_by_kind["customer"]
    )
    plans, gone_plans = _split(lists.plans_by_name, keys_by_kind["plan"])
    return messages.ListsDelta(
        lists.revision, False, customers, plans, gone_customers, gone_plans
    )


def _split(table, keys):
    present = tuple(table[key] for key in sorted(keys) if key in table)
    gone = tuple(key for key in sorted(keys) if key not in table)
    return present, gone
