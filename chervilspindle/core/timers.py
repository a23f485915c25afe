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
        self.delayed_by_name = {}

    def subscribe(
        self, name: str, period_s: float, callback: abc.Callable[[], None]
    ):
        """Run `callback` every `period_s` seconds until cancelled."""
        if name in self.delayed_by_name:
            raise ValueError(f"timer {name} is subscribed already")
        self._schedule(Subscription(name, period_s, callback))

    def cancel(self, name: str):
        """Stop one subscriber; an unknown name is ignored."""
        delayed = self.delayed_by_name.pop(name, None)
        if delayed is not None and delayed.active():
            delayed.cancel()

    def cancel_all(self):
        """Stop every subscriber."""
        for name in list(self.delayed_by_name):
            self.cancel(name)

    def call_later(
        self, delay_s: float, callback: abc.Callable[..., None], *args
    ):
        """Run `callback` once, `delay_s` seconds from now."""
        return self.clock.callLater(max(0.0, delay_s), callback, *args)

    def _schedule(self, subscription: Subscription):
        self.delayed_by_name[subscription.name] = self.clock.callLater(
            subscription.period_s, self._run, subscription
        )

    def _run(self, subscription: Subscription):
        self._schedule(subscription)
        try:
            subscription.callback()
        except Exception:
            LOGGER.exception(
                "timer failed", extra={"timer": subscription.name}
            )
