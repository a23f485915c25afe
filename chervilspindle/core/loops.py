"""The process's one event loop: Twisted's reactor on uvloop.

Most parts use the reactor. The data path speaks asyncio protocols on the
same loop, which cost less for each exchange.
"""

import asyncio
import gc

import uvloop

# Allocations between collections of young objects; at the default of 700 a
# wide query starts several.
COLLECT_AFTER = 20000


class LoopTimer:
    """A pending call of `LoopClock`."""

    __slots__ = ("handle", "pending")

    def __init__(self):
        self.handle = None
        self.pending = True

    def cancel(self):
        """Cancel the call; does nothing if it has run."""
        self.pending = False
        self.handle.cancel()

    def active(self) -> bool:
        """Tell whether the call is still to come."""
        return self.pending

    def run(self, callback, args):
        """Run the call."""
        self.pending = False
        callback(*args)


class LoopClock:
    """Clock over an asyncio loop, with the methods of `IReactorTime`.

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
        """Run `callback` after `delay` seconds."""
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
    # Importing the module at the top would install a default reactor early
    # in processes that never ask for this one.
    from twisted.internet import asyncioreactor

    asyncioreactor.install(loop)
    from twisted.internet import reactor

    return reactor, loop


def freeze_heap():
    """Leave what is held now out of later collections of garbage.

    A full collection walks all modules and tables, which holds the loop for
    tens of milliseconds on a part of a core.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(COLLECT_AFTER, 20, 20)
