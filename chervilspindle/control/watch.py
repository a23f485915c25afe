"""Sends entry processes the changes of the replicated tables.

An entry is the process on a VM that accepts callers' requests. It long-polls
one control member with a watch call, which is answered when rows have
changed, or after a while without changes. Any member may be watched: versions
of committed rows only increase, and the reply has the time since the member
last heard from the leader.
"""

import math
import typing

from twisted.internet import defer

from chervilspindle.control import raft
from chervilspindle.wire import messages
from chervilspindle.wire import versions

IDLE_REPLY_S = 0.7  # idle calls are answered to show that the member is alive
BATCH_DELAY_S = 0.02  # changes within this time are sent together
MIN_REPLY_INTERVAL_S = 0.2  # for one entry; batches bursts of changes
CHECK_PERIOD_S = 0.05


class PendingCall(typing.NamedTuple):
    """A watch call that waits for a change until `due_ms`.

    `peer_version` is the version of the protocol that the entry reads.
    """

    call: messages.WatchCall
    due_ms: float
    deferred: defer.Deferred
    peer_version: int


class WatchServer:
    """Answers watch calls at one member.

    Parameters
    ----------
    node : ControlNode
    frontend : ControlFrontend
    timers : TimerService
    read_clock : callable
        Monotonic milliseconds.
    """

    def __init__(self, node, frontend, timers, read_clock):
        self.node = node
        self.frontend = frontend
        self.timers = timers
        self.read_clock = read_clock
        self.pending = []
        self.batch_scheduled = False
        self.last_reply_ms_by_vm = {}
        node.applied_listeners.append(self._on_applied)
        timers.subscribe("watch-check", CHECK_PERIOD_S, self._answer_due)

    def watch(
        self,
        call: messages.WatchCall,
        peer_version: int = versions.CURRENT,
    ):
        """Answer a watch call.

        Parameters
        ----------
        call : messages.WatchCall
        peer_version : int
            Version of the protocol that the entry reads.

        Returns
        -------
        WatchReply or Deferred
            The reply if there are changes to send now, else a Deferred that
            fires with it later.
        """
        self.frontend.record_watcher(call)
        now = self.read_clock()
        if self._has_changes(call, now) or self._is_useless(call):
            return self._build_reply(call, peer_version)
        due = now + IDLE_REPLY_S * 1000.0
        pending_call = PendingCall(call, due, defer.Deferred(), peer_version)
        self.pending.append(pending_call)
        return pending_call.deferred

    def _on_applied(self):
        if self.pending and not self.batch_scheduled:
            self.batch_scheduled = True
            self.timers.call_later(BATCH_DELAY_S, self._answer_batch)

    def _answer_batch(self):
        self.batch_scheduled = False
        self._answer_due()

    def _answer_due(self):
        now = self.read_clock()
        pending, self.pending = self.pending, []
        for one in pending:
            if now >= one.due_ms or self._has_changes(one.call, now):
                reply = self._build_reply(one.call, one.peer_version)
                one.deferred.callback(reply)
            else:
                self.pending.append(one)

    def _has_changes(self, call, now) -> bool:
        """Tell whether there are changes that may be sent to an entry now.

        Replies to one entry are at least `MIN_REPLY_INTERVAL_S` apart, unless
        the entry has no tables yet or a change is urgent.
        """
        if self.node.tables.version <= call.known_version:
            return False
        last_reply_ms = self.last_reply_ms_by_vm.get(call.vm_id, -math.inf)
        return (
            not call.known_version
            or self.node.feed.urgent_version > call.known_version
            or now - last_reply_ms >= MIN_REPLY_INTERVAL_S * 1000.0
        )

    def _is_useless(self, call) -> bool:
        """Tell whether an entry without tables should ask another member.

        It serves no caller until it has tables, and takes none from a member
        that knows no leader.
        """
        return not call.known_version and self._read_age_ms() == math.inf

    def _build_reply(self, call, peer_version=versions.CURRENT):
        node = self.node
        self.last_reply_ms_by_vm[call.vm_id] = self.read_clock()
        relay_list = self.frontend.relay_list
        relays_changed = (
            relay_list.mark and relay_list.mark != call.known_relays
        )
        return messages.WatchReply(
            self._read_age_ms(),
            self.frontend.totals.watchers,
            self.frontend.totals.requests,
            tuple(sorted(m.address for m in node.raft.members)),
            node.feed.get_delta(node.tables, call.known_version, peer_version),
            relay_list if relays_changed else None,
            self.frontend.list_nearby(call.zone),
        )

    def _read_age_ms(self) -> float:
        """Return how stale the tables of this member may be, in ms.

        The age is infinite until a log entry of the current term is committed
        here, because the tables may lack changes that were acknowledged
        before a restart.
        """
        if self.node.is_leader():
            return 0.0
        state = self.node.raft
        term = raft.get_term_at(state, state.commit_index)
        if not state.leader_id or term != state.term:
            return math.inf
        return self.read_clock() - state.leader_contact_ms
