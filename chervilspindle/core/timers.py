"""Timer service that runs all periodic and delayed work of a process.

Components subscribe with a period instead of calling the reactor, so that
tests drive the whole system with a fake clock and shutdown stops every timer.
"""

from collections import abc
import logging
import time
import typing

LOGGER = logging.getLogger(__name__)


class Subscription(typing.NamedTuple):
    """One subscriber: its name, period in seconds and callback."""

    name: str
    period_s: float
    callback: abc.Callable[[], None]


class ScheduledRun(typing.NamedTuple):
    """The next run of a subscriber: its due time and pending delayed call."""

    subscription: Subscription
    due_s: float
    delayed_call: object


def read_monotonic_ms() -> float:
    """Return a monotonic time in milliseconds that includes suspended time.

    Lease expiry is checked against this clock, so it must advance while a VM
    is paused.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME) * 1000.0


class TimerService:
    """Runs subscribers on a Twisted clock.

    Parameters
    ----------
    clock : twisted.internet.interfaces.IReactorTime
    """

    def __init__(self, clock):
        self.clock = clock
        self.scheduled_by_name = {}

    def subscribe(
        self, name: str, period_s: float, callback: abc.Callable[[], None]
    ):
        """Run `callback` every `period_s` seconds until cancelled."""
        if name in self.scheduled_by_name:
            raise ValueError(f"timer {name} is already subscribed")
        self._schedule(Subscription(name, period_s, callback), period_s)

    def schedule_within(self, name: str, delay_s: float):
        """Run a subscriber no later than `delay_s` seconds from now.

        The run is never postponed, and later runs follow at the subscriber's
        period. Subscribers with intermittent work stay idle until they are
        scheduled by this method. Unknown names are ignored.
        """
        scheduled = self.scheduled_by_name.get(name)
        if scheduled is None:
            return
        due = self.clock.seconds() + max(0.0, delay_s)
        if scheduled.due_s <= due and scheduled.delayed_call.active():
            return
        if scheduled.delayed_call.active():
            scheduled.delayed_call.cancel()
        self._schedule(scheduled.subscription, max(0.0, delay_s))

    def cancel(self, name: str):
        """Cancel one subscription; unknown names are ignored."""
        scheduled = self.scheduled_by_name.pop(name, None)
        if scheduled is not None and scheduled.delayed_call.active():
            scheduled.delayed_call.cancel()

    def cancel_all(self):
        """Cancel all subscriptions."""
        for name in list(self.scheduled_by_name):
            self.cancel(name)

    def call_later(
        self, delay_s: float, callback: abc.Callable[..., None], *args
    ):
        """Run `callback` once, `delay_s` seconds from now."""
        return self.clock.callLater(max(0.0, delay_s), callback, *args)

    def _schedule(self, subscription: Subscription, delay_s: float):
        self.scheduled_by_name[subscription.name] = ScheduledRun(
            subscription,
            self.clock.seconds() + delay_s,
            self.clock.callLater(delay_s, self._run, subscription),
        )

    def _run(self, subscription: Subscription):
        self._schedule(subscription, subscription.period_s)
        try:
            subscription.callback()
        except Exception:
            LOGGER.exception(
                "timer failed", extra={"timer": subscription.name}
            )
