"""Loopback TCP proxy that injects network faults."""

import asyncio

CHUNK_BYTES = 65536


class FaultProxy:
    """Forwards connections to one address.

    Attributes
    ----------
    delay_s : float
        Delay of each chunk read, in both directions.
    silent : bool
        Reads and discards all bytes, in both directions.
    one_way : bool
        Forwards requests but discards answers.
    refusing : bool
        Resets new connections.
    """

    def __init__(self, loop, target: str):
        self.loop = loop
        self.host, port = target.rsplit(":", 1)
        self.port = int(port)
        self.delay_s = 0.0
        self.silent = False
        self.one_way = False
        self.refusing = False
        self.writers = set()
        self.tasks = set()
        self.server = None

    async def start(self, address: str):
        """Listen on an address of the form ``IP:PORT``."""
        host, port = address.rsplit(":", 1)
        self.server = await asyncio.start_server(self._accept, host, int(port))

    def reset_all(self):
        """Reset all open connections."""
        for writer in list(self.writers):
            writer.transport.abort()

    def clear_faults(self):
        """Clear all faults; reset connections if bytes were discarded."""
        broken = self.silent or self.one_way
        self.delay_s = 0.0
        self.silent = self.one_way = self.refusing = False
        if broken:
            self.reset_all()

    def stop(self):
        """Close the listener and reset all connections."""
        if self.server is not None:
            self.server.close()
        self.reset_all()
        for task in list(self.tasks):
            task.cancel()

    def _accept(self, reader, writer):
        task = self.loop.create_task(self._serve(reader, writer))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            if self.refusing:
                writer.transport.abort()
                return
            inner, outer = await asyncio.open_connection(self.host, self.port)
            self.writers.add(outer)
            pumps = [
                self.loop.create_task(self._pump(reader, outer, False)),
                self.loop.create_task(self._pump(inner, writer, True)),
            ]
            self.tasks.update(pumps)
            await asyncio.wait(pumps)
            self.tasks.difference_update(pumps)
            self.writers.discard(outer)
        except OSError:
            # The endpoint is down: reset the caller's connection.
            writer.transport.abort()
        finally:
            self.writers.discard(writer)

    async def _pump(self, reader, writer, is_answer):
        try:
            while data := await reader.read(CHUNK_BYTES):
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                if self.silent or (self.one_way and is_answer):
                    continue
                writer.write(data)
                await writer.drain()
            writer.close()
        except OSError:
            writer.transport.abort()
