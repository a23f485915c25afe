"""Event loop whose outgoing connections suffer network faults.

Cuts one VM of a test off from endpoints while others in the same process
still reach them.
"""

import asyncio
import enum


class Cut(enum.Enum):
    """What happens to the connections of a VM that is cut off."""

    HANG = "hang"
    RESET = "reset"  # open connections are reset, new ones hang
    REFUSE = "refuse"  # open connections live on, new ones are refused


class FaultyLinks:
    """An event loop that cuts the connections opened through it.

    Everything but `create_connection` is the wrapped loop's.

    Attributes
    ----------
    cut : Cut or None
    attempts : int
        Connection attempts while there was a cut.
    """

    def __init__(self, loop):
        self.loop = loop
        self.cut = None
        self.attempts = 0
        self.protocols = set()

    def __getattr__(self, name):
        return getattr(self.loop, name)

    def start_cut(self, cut: Cut):
        """Cut all connections, open and new ones."""
        self.cut = cut
        if cut is Cut.RESET:
            for protocol in list(self.protocols):
                protocol.transport.abort()

    def end_cut(self):
        """Let connections through again; bytes sent meanwhile are lost."""
        self.cut = None

    def is_silent(self) -> bool:
        """Tell whether open connections carry nothing."""
        return self.cut in (Cut.HANG, Cut.RESET)

    async def create_connection(self, factory, host, port, **options):
        """Open a connection, unless there is a cut."""
        if self.cut is not None:
            self.attempts += 1
        if self.cut is Cut.REFUSE:
            raise ConnectionRefusedError(f"{host}:{port} is cut off")
        if self.cut is not None:
            await asyncio.get_running_loop().create_future()
        transport, wrapper = await self.loop.create_connection(
            lambda: _FaultyProtocol(self, factory()), host, port, **options
        )
        return transport, wrapper.inner


class _FaultyTransport:
    """Passes writes on unless the links are silent."""

    def __init__(self, links, transport):
        self.links = links
        self.transport = transport

    def __getattr__(self, name):
        return getattr(self.transport, name)

    def write(self, data):
        if not self.links.is_silent():
            self.transport.write(data)


class _FaultyProtocol(asyncio.Protocol):
    """Passes received bytes on unless the links are silent."""

    def __init__(self, links, inner):
        self.links = links
        self.inner = inner
        self.transport = None

    def connection_made(self, transport):
        self.transport = transport
        self.links.protocols.add(self)
        self.inner.connection_made(_FaultyTransport(self.links, transport))

    def data_received(self, data):
        if not self.links.is_silent():
            self.inner.data_received(data)

    def eof_received(self):
        return self.inner.eof_received()

    def connection_lost(self, error):
        self.links.protocols.discard(self)
        self.inner.connection_lost(error)
