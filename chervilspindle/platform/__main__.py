"""Runs one process on the platform: an entry or a control member."""

import os
import signal
import sys

EXIT_OK = 0


def handle_early_signals():
    """Handle signals until the process is built.

    SIGTERM ends the process, which has done nothing yet; an exception from
    the handler could be ignored by the code that it interrupts. SIGHUP asks
    for settings to be read, which a start does anyway.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    signal.signal(signal.SIGTERM, lambda number, frame: os._exit(EXIT_OK))


def main() -> int:
    """Run the process; return its exit code."""
    handle_early_signals()
    # Most of a start is importing.
    from chervilspindle.platform import program

    return program.run()


if __name__ == "__main__":
    sys.exit(main())
