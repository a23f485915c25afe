"""Keeps an entry's copy of endpoints and document current.

The entry watches one control member and moves to another when that one
does not answer or has not heard the leader. What it holds stays in force
while no member can be reached: callers are served on, and an older document
than the one held is never taken.
"""

import logging
import math
import random
import typing

from twisted.internet import defer

from chervilspindle.core import errors
from chervilspindle.core import logs
from chervilspindle.wire import messages

LOGGER = logging.getLogger(__name__)

CALL_TIMEOUT_S = 1.1  # longer than a member holds a call
RETRY_S = 0.1
FIRST_RETRY_S = 0.03  # callers wait for an entry that has nothing yet
AGE_LIMIT_MS = 1500.0  # a member that elects a leader catches up meanwhile
COUNT_FRESH_S = 2.0  # a member without a leader can't count for a while
COUNT_MEMORY_S = 15.0  # a window of the retry budget, with a margin


class Watcher(typing.NamedTuple):
    """What an entry tells of itself.

    Parameters
    ----------
    vm_id, zone : str
    relay_address : str
        Where it gathers shards for others; empty if it does not.
    """

    vm_id: str
    zone: str = ""
    relay_address: str = ""


class Follower:
    """Watches control for one entry.

    Parameters
    ----------
    watcher : Watcher
    seeds : tuple of str
        Peer addresses at which members may be found.
    call : callable
        ``call(address, message, timeout_s)`` returns a Deferred.
    timers : TimerService
    take_delta : callable
        ``take_delta(delta)`` puts rows in force.
    take_count : callable
        ``take_count(watchers, requests)`` gets the number of entries and
        the sum of their requests.
    read_requests : callable
        Returns what this entry reports as its requests.
    take_relays : callable
        ``take_relays(mark, relays)``.
    seed : str
        Spreads entries over members.
    """

    def __init__(
        self,
        watcher,
        seeds,
        call,
        timers,
        take_delta,
        take_count,
        read_requests,
        take_relays,
        seed=None,
    ):
        self.watcher = watcher
        self.seeds = tuple(seeds)
        self.call = call
        self.timers = timers
        self.take_delta = take_delta
        self.take_count = take_count
        self.read_requests = read_requests
        self.take_relays = take_relays
        self.known_relays = 0
        self.random = random.Random(seed)
        self.addresses = ()
        self.member = None
        self.failed_s_by_address = {}
        self.version = 0
        self.in_touch = False
        self.counts = []
        self.stopped = False

    def start(self):
        """Start watching."""
        self._watch()

    def stop(self):
        """Ask for nothing more."""
        self.stopped = True

    def leave_relays(self):
        """Gather for no other entry; told with the next call."""
        self.watcher = self.watcher._replace(relay_address="")

    def set_seeds(self, seeds):
        """Take over seeds from changed settings."""
        self.seeds = tuple(seeds)

    def _watch(self):
        if self.stopped:
            return
        if self.member is None:
            self.member = self._pick()
        watcher = self.watcher
        message = messages.WatchCall(
            watcher.vm_id,
            self.version,
            self.read_requests(),
            watcher.zone,
            watcher.relay_address,
            self.known_relays,
        )
        deferred = defer.maybeDeferred(
            self.call, self.member, message, CALL_TIMEOUT_S
        )
        deferred.addCallback(self._take_reply)
        deferred.addErrback(self._call_failed)

    def _pick(self):
        """Return a member that never failed, or failed the longest ago.

        With two members out of reach, a choice at random could try them
        again and again for longer than a change may take to be in force.
        """
        known = sorted({*self.seeds, *self.addresses})
        self.random.shuffle(known)
        return min(
            known, key=lambda a: self.failed_s_by_address.get(a, -math.inf)
        )

    def _take_reply(self, reply):
        self.addresses = reply.addresses or self.addresses
        if reply.age_ms > AGE_LIMIT_MS:
            # A member that has just restarted knows only its last snapshot.
            self._move_on("member has no leader")
            return
        delta = messages.decode_delta(reply.delta)
        if delta.version < self.version:
            LOGGER.error(
                "control is older than what it said before",
                extra={"held": self.version, "offered": delta.version},
            )
            self._move_on("member is older than the entry")
            return
        self.take_delta(delta)
        self.version = delta.version
        self._note_count(reply.watchers, reply.requests)
        if reply.relays is not None:
            self.known_relays = reply.relays.mark
            self.take_relays(*reply.relays)
        if not self.in_touch:
            self.in_touch = True
            logs.log_decision(
                "control-reached", member=self.member, version=self.version
            )
        self.timers.call_later(0.0, self._watch)

    def _call_failed(self, failure):
        if failure.check(errors.ProblemError):
            self._move_on(failure.value.problem.detail)
            return
        LOGGER.error("watching failed: %s", failure.getTraceback())
        self._move_on("internal error")

    def _move_on(self, reason):
        if self.in_touch:
            self.in_touch = False
            logs.log_decision(
                "control-lost",
                member=self.member,
                version=self.version,
                why=reason,
            )
        self.failed_s_by_address[self.member] = self.timers.clock.seconds()
        self.member = self._pick()
        delay = RETRY_S if self.version else FIRST_RETRY_S
        self.timers.call_later(delay, self._watch)

    def _note_count(self, watchers, requests):
        """Pass on the most that was counted within a while."""
        now = self.timers.clock.seconds()
        if watchers > 0:
            self.counts.append((now, watchers, requests))
        self.counts = [c for c in self.counts if now - c[0] < COUNT_MEMORY_S]
        if self.counts:
            is_fresh = now - self.counts[-1][0] < COUNT_FRESH_S
            self.take_count(
                max(c[1] for c in self.counts),
                max(c[2] for c in self.counts) if is_fresh else 0,
            )
