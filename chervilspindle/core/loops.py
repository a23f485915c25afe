"""The single event loop of a process: Twisted's reactor on uvloop.

Most modules use the reactor. The data path uses asyncio protocols on the
same loop because they cost less per exchange.
"""

import asyncio
import gc

import uvloop

# Net allocations that trigger a collection of the young generation; at the
# default of 700 a wide query triggers several.
GC_YOUNG_THRESHOLD = 20000


class LoopTimer:
    """A delayed call made by `LoopClock.callLater`."""

    __slots__ = ("handle", "pending")

    def __init__(self):
        self.handle = None
        self.pending = True

    def cancel(self):
        """Cancel the call; has no effect if it has run."""
        self.pending = False
        self.handle.cancel()

    def active(self) -> bool:
        """Return whether the call is still pending."""
        return self.pending

    def run(self, callback, args):
        """Run the call."""
        self.pending = False
        callback(*args)


class LoopClock:
    """Clock of an asyncio loop, with methods of `IReactorTime`.

    Parameters
    ----------
    loop : asyncio.AbstractEventLoop
    """

    def __init__(self, loop):
        self.loop = loop

    def seconds(self) -> float:
        """Return the loop's monotonic time."""
        return self.loop.time()

    def callLater(self, delay, callback, *args) -> LoopTimer:
        """Call `callback` after `delay` seconds."""
        timer = LoopTimer()
        timer.handle = self.loop.call_later(delay, timer.run, callback, args)
        return timer


def install_reactor():
    """Install Twisted's reactor on a new uvloop loop.

    Must run before anything imports ``twisted.internet.reactor``.

    Returns
    -------
    reactor, loop
    """
    loop = uvloop.new_event_loop()
    asyncio.set_event_loop(loop)
    # A module-level import would install the default reactor in processes
    # that never call this function.
    from twisted.internet import asyncioreactor

    asyncioreactor.install(loop)
    from twisted.internet import reactor

    return reactor, loop


def freeze_heap():
    """Exclude all current objects from later garbage collections.

    A full collection traverses all modules and tables, which blocks the
    event loop for tens of milliseconds on a fraction of a core.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(GC_YOUNG_THRESHOLD, 20, 20)
