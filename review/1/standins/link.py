"""A link that can be cut: a TCP proxy that holds what is sent while it is cut, as a partition does."""

import asyncio
import contextlib

from standins.http import HOST


class Link:
    """Forwards connections to an address.

    While it is cut, nothing passes in either direction. What was sent meanwhile is delivered when it heals, unless
    the sender has reset the connection.

    :param port: Port of the far end.
    """

    def __init__(self, port: int) -> None:
        self.port = 0
        self._far_port = port
        self._is_whole = asyncio.Event()
        self._is_whole.set()
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def cut(self) -> None:
        """Hold everything from now on."""
        self._is_whole.clear()

    def heal(self) -> None:
        """Deliver what was held, and forward again."""
        self._is_whole.set()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        far_writer = None
        try:
            await self._is_whole.wait()
            far_reader, far_writer = await asyncio.open_connection(HOST, self._far_port)
            forth = asyncio.create_task(self._pump(reader, far_writer))
            back = asyncio.create_task(self._pump(far_reader, writer))
            await asyncio.wait({forth, back})
        except OSError:
            pass
        finally:
            for end in (writer, far_writer):
                if end is not None:
                    end.close()

    async def _pump(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while data := await reader.read(65536):
                if not self._is_whole.is_set():
                    await self._is_whole.wait()
                    if reader.exception() is not None:
                        # The sender has reset the connection: what it had sent is lost.
                        raise ConnectionResetError
                writer.write(data)
                await writer.drain()
            await self._is_whole.wait()
            with contextlib.suppress(OSError):
                writer.write_eof()
        except OSError:
            writer.transport.abort()
