"""Ports for processes that are started several times.

They lie below those that the kernel gives to outgoing connections, which could
take the port of a process while it restarts.
"""

import secrets
import socket

FIRST_PORT = 10000
LAST_PORT = 32000


def find_run(count: int) -> int:
    """Return the first of a run of ports that are free now.

    The run is drawn, since another process may look for one at the same time.
    """
    steps = (LAST_PORT - FIRST_PORT) // count
    for _ in range(steps):
        first = FIRST_PORT + secrets.randbelow(steps) * count
        if all(_is_free(first + offset) for offset in range(count)):
            return first
    raise RuntimeError("no run of free ports")


def find_ports(count: int) -> list[int]:
    """Return free ports; the one above each of them is free as well."""
    first = find_run(2 * count)
    return list(range(first, first + 2 * count, 2))


def _is_free(port):
    with socket.socket() as probe:
        try:
            probe.bind(("", port))  # on no address of this machine
        except OSError:
            return False
    return True
