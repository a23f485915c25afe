"""Crowds of callers that do not keep to the limits, for tests."""

import asyncio
import os
import typing

CROWD = 100
# Ends a wait on a process that hangs; no test depends on its length.
SAFETY_S = 40.0
QUIET_TICKS = 8  # processor time in a second, of a process at rest


class Crowd(typing.NamedTuple):
    """What each of some connections sends.

    Parameters
    ----------
    stages : tuple of bytes
        Each is sent once all connections have sent the one before.
    count : int
        Number of connections.
    port : str
        Name of the port that they connect to.
    reads : bool
        Whether responses are read.
    """

    stages: tuple[bytes, ...]
    count: int = CROWD
    port: str = "front"
    reads: bool = True


def fill(start: bytes, filler: bytes, size: int) -> bytes:
    """Return `start` and as many times `filler` as fit into `size` bytes."""
    return start + filler * ((size - len(start)) // len(filler))


def build_chunks(chunk_bytes: int, body_bytes: int) -> bytes:
    """Return the chunks of a body, without the last chunk."""
    chunk = b"%x\r\n%s\r\n" % (chunk_bytes, b"b" * chunk_bytes)
    return chunk * (body_bytes // chunk_bytes)


def build_pipelined(size: int) -> bytes:
    """Return requests whose answers are long in proportion to them."""
    request = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"
    return request * (size // len(request))


class Connection(asyncio.Protocol):
    """One connection of the crowd."""

    def __init__(self, reads):
        self.reads = reads
        self.transport = None
        self.closed = False

    def connection_made(self, transport):
        self.transport = transport
        if not self.reads:
            transport.pause_reading()

    def connection_lost(self, error):
        self.closed = True

    def has_sent(self):
        """Tell whether nothing is left to send."""
        return self.closed or not self.transport.get_write_buffer_size()


async def connect(loop, crowd: Crowd, host: str, port: int) -> list:
    """Open the connections of a crowd, as many as are accepted."""
    connections = []
    for _ in range(crowd.count):
        try:
            async with asyncio.timeout(5.0):
                _, connection = await loop.create_connection(
                    lambda: Connection(crowd.reads), host, port
                )
        except (OSError, TimeoutError):
            continue
        connections.append(connection)
    return connections


async def send(crowd: Crowd, connections: list, wait_until_quiet):
    """Send all that the connections of a crowd take.

    Parameters
    ----------
    crowd : Crowd
    connections : list of Connection
    wait_until_quiet : callable
        Coroutine function that waits until the process does no more work.
    """
    for stage in crowd.stages:
        for connection in connections:
            if not connection.closed:
                connection.transport.write(stage)
        await wait_until_quiet()


async def wait_until_quiet(pid: int, lives):
    """Wait until a process does no more work, or has ended.

    Parameters
    ----------
    pid : int
    lives : callable
        Tells whether the process runs.
    """
    loop = asyncio.get_running_loop()
    due_s = loop.time() + SAFETY_S
    spent = [-2 * QUIET_TICKS, -QUIET_TICKS]
    while lives() and loop.time() < due_s:
        spent.append(read_ticks(pid))
        if spent[-1] - spent[-3] < QUIET_TICKS:
            return
        await asyncio.sleep(0.5)


def read_peak_mb(pid: int) -> float:
    """Return the peak of a process's resident memory in MB."""
    path = f"/proc/{pid}/status"
    with open(path, encoding="ascii") as handle:
        for line in handle:
            if line.startswith("VmHWM:"):
                return int(line.split()[1]) * 1024 / 1e6
    raise ValueError(path)


def count_descriptors(pid: int) -> int:
    """Return the number of a process's open descriptors."""
    return len(os.listdir(f"/proc/{pid}/fd"))


def read_ticks(pid: int) -> int:
    """Return the processor time that a process has spent, in ticks."""
    with open(f"/proc/{pid}/stat", encoding="ascii") as handle:
        fields = handle.read().rpartition(")")[2].split()
    return int(fields[11]) + int(fields[12])
