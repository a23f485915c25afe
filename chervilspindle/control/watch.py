"""Tells entries what changed in the replicated tables, as it changes.

An entry watches one member with a call that is answered when something has
changed, or after a while. Any member may be watched: committed rows only
grow in version, and the reply says how long ago the member heard the leader.
"""

import math
import typing

from twisted.internet import defer

from chervilspindle.control import raft
from chervilspindle.wire import messages

HOLD_S = 0.7  # answers an idle call; shows that the member is alive
GATHER_S = 0.02  # changes of one moment go out together
SPACING_S = 0.2  # between answers to one entry; a storm of changes is one
CHECK_S = 0.05


class Waiting(typing.NamedTuple):
    """A call that waits for a change."""

    call: messages.WatchCall
    due_ms: float
    deferred: defer.Deferred


class WatchServer:
    """Answers the watch calls at one member.

    Parameters
    ----------
    node : ControlNode
    desk : Desk
    timers : TimerService
    read_clock : callable
        Monotonic milliseconds.
    """

    def __init__(self, node, frontend, timers, read_clock):
        self.node = node
        self.frontend = frontend
        self.timers = timers
        self.read_clock = read_clock
        self.waiting = []
        self.release_planned = False
        self.answered_ms_by_vm = {}
        node.applied_listeners.append(self._note_change)
        timers.subscribe("watch-check", CHECK_S, self._answer_due)

    def watch(self, call: messages.WatchCall):
        """Answer now if something is new, else when it is."""
        self.frontend.note_watcher(call)
        now = self.read_clock()
        if self._has_news(call, now):
            return self._build_reply(call)
        due = now + HOLD_S * 1000.0
        waiting = Waiting(call, due, defer.Deferred())
        self.waiting.append(waiting)
        return waiting.deferred

    def _note_change(self):
        if self.waiting and not self.release_planned:
            self.release_planned = True
            self.timers.call_later(GATHER_S, self._release)

    def _release(self):
        self.release_planned = False
        self._answer_due()

    def _answer_due(self):
        now = self.read_clock()
        waiting, self.waiting = self.waiting, []
        for one in waiting:
            if now >= one.due_ms or self._has_news(one.call, now):
                one.deferred.callback(self._build_reply(one.call))
            else:
                self.waiting.append(one)

    def _has_news(self, call, now) -> bool:
        """Tell whether there is news, and the last answer is a while ago."""
        if self.node.tables.version <= call.known_version:
            return False
        answered = self.answered_ms_by_vm.get(call.vm_id, -math.inf)
        return not call.known_version or now - answered >= SPACING_S * 1000.0

    def _build_reply(self, call):
        node = self.node
        self.answered_ms_by_vm[call.vm_id] = self.read_clock()
        known = self.frontend.relay_list
        is_news = known.mark and known.mark != call.known_relays
        return messages.WatchReply(
            self._read_age_ms(),
            self.frontend.totals.watchers,
            self.frontend.totals.requests,
            tuple(sorted(m.address for m in node.raft.members)),
            node.feed.get_delta(node.tables, call.known_version),
            known if is_news else None,
        )

    def _read_age_ms(self) -> float:
        """Return the age of what this member knows to be committed, in ms.

        Until an entry of the present term is committed here, the tables may
        lack what was acknowledged before a restart.
        """
        if self.node.is_leader():
            return 0.0
        state = self.node.raft
        term = raft.get_term_at(state, state.commit_index)
        if not state.leader_id or term != state.term:
            return math.inf
        return self.read_clock() - state.leader_contact_ms
