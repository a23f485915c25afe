"""Callers that do not keep to the limits, for the soak.

A crowd keeps a number of connections open. Each sends what its kind names
and then stays as it is; those that are closed are opened again.
"""

import asyncio

CONNECTIONS = 60
REOPEN_S = 0.1
BODY_BYTES = 256 * 1024  # the limit of documents that state none
HEAD = b"POST /once/x HTTP/1.1\r\nHost: soak.example\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
# What a caller sends before it stops.
START_BY_NAME = {
    "silent": b"",
    "half a line": b"GET / HT",
    "short lines": HEAD + b"a:b\r\n" * 3000,
    "odd lines": HEAD + b"a:\r\nb: \r\nc:\t  d \r\n" * 900,
    "announced but one byte": HEAD
    + b"Content-Length: %d\r\n\r\n" % BODY_BYTES
    + b"b" * (BODY_BYTES - 1),
    "announced far over": HEAD + b"Content-Length: 1000000000\r\n\r\nb",
    "sent far over": CHUNKED + (b"8000\r\n" + b"b" * 0x8000 + b"\r\n") * 20,
    "large chunks": CHUNKED + (b"7000\r\n" + b"b" * 0x7000 + b"\r\n") * 9,
    "byte chunks": CHUNKED + b"1\r\nb\r\n" * 5000,
    "trailers": CHUNKED + b"1\r\nb\r\n0\r\n" + b"t:u\r\n" * 5000,
    "unread": b"GET / HTTP/1.1\r\nHost: h\r\n\r\n" * 5000,
}


class Connection(asyncio.Protocol):
    """One connection; reads nothing if its kind says so."""

    def __init__(self, start: bytes, reads: bool):
        self.start = start
        self.reads = reads
        self.transport = None
        self.lost = asyncio.get_running_loop().create_future()

    def connection_made(self, transport):
        """Send what the kind names."""
        self.transport = transport
        if not self.reads:
            transport.pause_reading()
        transport.write(self.start)

    def connection_lost(self, error):
        """Record the close."""
        if not self.lost.done():
            self.lost.set_result(None)


async def play(host: str, port: int, name: str, seconds: float):
    """Play a crowd of one kind against an address for a time.

    Parameters
    ----------
    host : str
    port : int
    name : str
        One of `START_BY_NAME`.
    seconds : float
    """
    tasks = [
        asyncio.create_task(_keep_open(host, port, name))
        for _ in range(CONNECTIONS)
    ]
    try:
        await asyncio.sleep(seconds)
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def _keep_open(host, port, name):
    loop = asyncio.get_running_loop()
    while True:
        try:
            transport, connection = await loop.create_connection(
                lambda: Connection(START_BY_NAME[name], name != "unread"),
                host,
                port,
            )
        except OSError:
            await asyncio.sleep(REOPEN_S)
            continue
        try:
            await connection.lost
        finally:
            transport.abort()
        await asyncio.sleep(REOPEN_S)
