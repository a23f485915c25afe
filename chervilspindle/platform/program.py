"""Builds one process from its settings file and runs it."""

import logging
import os
import sys

from chervilspindle.core import log_output
from chervilspindle.core import logs
from chervilspindle.core import loops
from chervilspindle.platform import control_api
from chervilspindle.platform import documents
from chervilspindle.platform import names
from chervilspindle.platform import settings as settings_module

EXIT_SETTINGS = 2


def read_settings():
    """Read the settings file that the environment variable names.

    Raises
    ------
    KeyError
        If the environment variable is not set.
    OSError, ValueError
        If the file cannot be read or is invalid.
    """
    with open(os.environ[names.SETTINGS_VARIABLE], "rb") as handle:
        return settings_module.decode_settings(handle.read())


def run() -> int:
    """Run the process.

    Returns
    -------
    int
        Exit code.
    """
    stream = log_output.NonBlockingStream(sys.stdout.fileno())
    code = _run(stream)
    logs.log_end(code)
    return code


def _run(stream) -> int:
    try:
        settings = read_settings()
    except (KeyError, OSError, ValueError) as error:
        logs.configure_logging("", stream=stream)
        logging.getLogger(__name__).error("settings cannot be read: %s", error)
        return EXIT_SETTINGS
    logs.configure_logging(settings.vm_id, stream=stream)
    logging.getLogger().handlers[0].addFilter(log_output.VolumeLimiter())
    reactor, loop = loops.install_reactor()
    # Twisted's endpoints import the default reactor unless one is installed.
    from chervilspindle.routing import process

    adapter = process.Adapter(
        names.HEADERS,
        names.READY_PATH,
        documents.decode_document,
        control_api.build_handler,
        read_settings,
    )
    clock = loops.LoopClock(loop)
    return process.run(reactor, loop, clock, adapter)
