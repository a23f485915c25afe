"""Timer service: the one place where parts ask to be run periodically.

Parts subscribe with a period instead of calling the reactor, so that tests
drive the whole system with a fake clock and shutdown stops every timer.
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


class Running(typing.NamedTuple):
    """A subscriber's next run: when it is due, and its call on the clock."""

    subscription: Subscription
    due_s: float
    delayed: object


def read_monotonic_ms() -> float:
    """Return milliseconds of a clock that counts suspended time too.

    Leases are judged by it, so it has to advance while a VM is paused.
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
        self.running_by_name = {}

    def subscribe(
        self, name: str, period_s: float, callback: abc.Callable[[], None]
    ):
        """Run `callback` every `period_s` seconds until cancelled."""
        if name in self.running_by_name:
            raise ValueError(f"timer {name} is subscribed already")
        self._schedule(Subscription(name, period_s, callback), period_s)

    def schedule_within(self, name: str, delay_s: float):
        """Run a subscriber no later than `delay_s` seconds from now.

        It goes on with its period after that. Subscribers whose work comes
        and goes wake up for it and sleep meanwhile.
        """
        running = self.running_by_name.get(name)
        if running is None:
            return
        due = self.clock.seconds() + max(0.0, delay_s)
        if running.due_s <= due and running.delayed.active():
            return
        if running.delayed.active():
            running.delayed.cancel()
        self._schedule(running.subscription, max(0.0, delay_s))

    def cancel(self, name: str):
        """Stop one subscriber; an unknown name is ignored."""
        running = self.running_by_name.pop(name, None)
        if running is not None and running.delayed.active():
            running.delayed.cancel()

    def cancel_all(self):
        """Stop every subscriber."""
        for name in list(self.running_by_name):
            self.cancel(name)

    def call_later(
        self, delay_s: float, callback: abc.Callable[..., None], *args
    ):
        """Run `callback` once, `delay_s` seconds from now."""
        return self.clock.callLater(max(0.0, delay_s), callback, *args)

    def _schedule(self, subscription: Subscription, delay_s: float):
        self.running_by_name[subscription.name] = Running(
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
