"""Keeps an entry's copy of the endpoints and the routing document current.

The entry long-polls one control member and switches to another when that
one does not answer or has lost contact with the leader. While no member can
be reached, the entry keeps serving callers with the state it has. A reply
with an older version than that state is never applied.
"""

import logging
import math
import random
import typing

from twisted.internet import defer

from chervilspindle.core import errors
from chervilspindle.core import logs
from chervilspindle.core import timers as timers_module
from chervilspindle.wire import messages

LOGGER = logging.getLogger(__name__)

WATCH_TIMEOUT_S = 1.1  # longer than a member holds a call open
RETRY_DELAY_S = 0.1
INITIAL_RETRY_DELAY_S = 0.03  # callers are refused until the first reply
MAX_MEMBER_AGE_MS = 1500.0  # a leader election ends within this time
NEARBY_BACKOFF_S = 10.0  # before a member of the zone is tried again
TOTALS_FRESH_S = 2.0  # a member without a leader sends no totals for a while
MAX_LOGGED = 20  # endpoints of a reply that cannot be applied
TOTALS_WINDOW_S = 15.0  # the retry budget's window, with a margin


class EntryInfo(typing.NamedTuple):
    """What an entry reports about itself to control.

    Parameters
    ----------
    vm_id, zone : str
    relay_address : str
        Address at which it serves as a relay; empty if it does not.
    """

    vm_id: str
    zone: str = ""
    relay_address: str = ""


class WatchClient:
    """Watches control on behalf of one entry.

    Parameters
    ----------
    entry_info : EntryInfo
    seeds : tuple of str
        Peer addresses at which members may be found.
    call : callable
        ``call(address, message, timeout_s)`` returns a Deferred.
    timers : TimerService
    on_delta : callable
        ``on_delta(delta)`` applies changed rows.
    on_totals : callable
        ``on_totals(watchers, requests)`` receives the number of entries and
        the sum of their requests.
    read_peak_requests : callable
        Returns the number of requests that this entry reports.
    on_relays : callable
        ``on_relays(fingerprint, relays)`` receives a changed relay list.
    seed : str
        Seed of the random choice of members, which spreads entries over
        them.

    Attributes
    ----------
    on_contact : callable
        ``on_contact(heard_s)`` is called before what a reply tells is
        passed on, with the time at which the member had heard of the leader
        at the latest, by `timers_module.read_monotonic_ms` in s.
    """

    def __init__(
        self,
        entry_info,
        seeds,
        call,
        timers,
        on_delta,
        on_totals,
        read_peak_requests,
        on_relays,
        seed=None,
    ):
        self.entry_info = entry_info
        self.seeds = tuple(seeds)
        self.call = call
        self.timers = timers
        self.on_delta = on_delta
        self.on_totals = on_totals
        self.read_peak_requests = read_peak_requests
        self.on_relays = on_relays
        self.relays_fingerprint = 0
        self.random = random.Random(seed)
        self.addresses = ()
        self.member_address = None
        self.failed_s_by_address = {}
        self.version = 0
        self.is_connected = False
        self.totals = []
        self.on_contact = None
        self.called_s = 0.0
        self.stopped = False

    def start(self):
        """Send the first watch call."""
        self._watch()

    def stop(self):
        """Send no further watch calls."""
        self.stopped = True

    def stop_relaying(self):
        """Report with the next call that this entry is no longer a relay."""
        self.entry_info = self.entry_info._replace(relay_address="")

    def set_seeds(self, seeds):
        """Replace the seeds, after a change of settings, unless by none."""
        self.seeds = tuple(seeds) or self.seeds

    def _watch(self):
        if self.stopped:
            return
        if self.member_address is None:
            self.member_address = self._pick_member()
        entry_info = self.entry_info
        message = messages.WatchCall(
            entry_info.vm_id,
            self.version,
            self.read_peak_requests(),
            entry_info.zone,
            entry_info.relay_address,
            self.relays_fingerprint,
        )
        self.called_s = timers_module.read_monotonic_ms() / 1000.0
        deferred = defer.maybeDeferred(
            self.call, self.member_address, message, WATCH_TIMEOUT_S
        )
        deferred.addCallback(self._handle_reply)
        deferred.addErrback(self._handle_failure)

    def _pick_member(self):
        """Return the member that failed least recently, if it ever failed.

        With two members unreachable, a purely random choice could keep
        trying them for longer than a change may take to be applied.
        """
        candidates = sorted({*self.seeds, *self.addresses})
        self.random.shuffle(candidates)
        return min(
            candidates,
            key=lambda a: self.failed_s_by_address.get(a, -math.inf),
        )

    def _handle_reply(self, reply):
        self.addresses = reply.addresses or self.addresses
        if reply.age_ms > MAX_MEMBER_AGE_MS:
            # A member that has just restarted has only its last snapshot.
            self._switch_member("member has no leader")
            return
        delta = messages.decode_delta(reply.delta)
        if delta.version < self.version:
            LOGGER.error(
                "control is older than what it said before",
                extra={"held": self.version, "offered": delta.version},
            )
            self._switch_member("member is older than the entry")
            return
        try:
            self.on_delta(delta)
        except Exception:
            LOGGER.exception(
                "reply of control cannot be applied",
                extra={
                    "member": self.member_address,
                    "held": self.version,
                    "offered": delta.version,
                    "full": delta.full,
                    "endpoints": [
                        e.endpoint_id for e in delta.endpoints[:MAX_LOGGED]
                    ],
                },
            )
            self._switch_member("reply cannot be applied")
            return
        self.version = delta.version
        if self.on_contact is not None:
            self.on_contact(self.called_s - reply.age_ms / 1000.0)
        self._record_totals(reply.watchers, reply.requests)
        if reply.relays is not None:
            self.relays_fingerprint = reply.relays.mark
            self.on_relays(*reply.relays)
        if not self.is_connected:
            self.is_connected = True
            logs.log_decision(
                "control-reached",
                member=self.member_address,
                version=self.version,
            )
        self._move_nearby(reply.nearby)
        self.timers.call_later(0.0, self._watch)

    def _move_nearby(self, nearby):
        """Watch a member of this zone from now on, if one is available."""
        if self.member_address in nearby:
            return
        now = self.timers.clock.seconds()
        available = [
            address
            for address in nearby
            if now - self.failed_s_by_address.get(address, -math.inf)
            > NEARBY_BACKOFF_S
        ]
        if available:
            self.member_address = self.random.choice(available)
            logs.log_decision(
                "control-nearby",
                member=self.member_address,
                version=self.version,
            )

    def _handle_failure(self, failure):
        if failure.check(errors.ProblemError):
            self._switch_member(failure.value.problem.detail)
            return
        LOGGER.error("watch call failed: %s", failure.getTraceback())
        self._switch_member("internal error")

    def _switch_member(self, reason):
        if self.is_connected:
            self.is_connected = False
            logs.log_decision(
                "control-lost",
                member=self.member_address,
                version=self.version,
                why=reason,
            )
        now = self.timers.clock.seconds()
        self.failed_s_by_address[self.member_address] = now
        self.member_address = self._pick_member()
        failed_s = self.failed_s_by_address.get(self.member_address, -math.inf)
        has_failed_lately = now - failed_s < RETRY_DELAY_S
        delay = INITIAL_RETRY_DELAY_S
        if self.version or has_failed_lately:
            delay = RETRY_DELAY_S
        self.timers.call_later(delay, self._watch)

    def _record_totals(self, watchers, requests):
        """Pass on the highest totals of the last `TOTALS_WINDOW_S`.

        Requests are passed on as 0, for unknown, when no totals arrived
        within `TOTALS_FRESH_S`.
        """
        now = self.timers.clock.seconds()
        if watchers > 0:
            self.totals.append((now, watchers, requests))
        self.totals = [t for t in self.totals if now - t[0] < TOTALS_WINDOW_S]
        if self.totals:
            is_fresh = now - self.totals[-1][0] < TOTALS_FRESH_S
            self.on_totals(
                max(t[1] for t in self.totals),
                max(t[2] for t in self.totals) if is_fresh else 0,
            )
