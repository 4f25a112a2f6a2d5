"""Stand-in for the platform's balancer: TCP connections in turn to the instances that are ready."""

import asyncio
import contextlib
import dataclasses

import aiohttp


@dataclasses.dataclass(slots=True)
class Backend:
    """One instance behind the balancer.

    :param address: Its callers' listener.
    :param is_ready: Whether its readiness check passed last.
    """

    address: str
    is_ready: bool = False


class Balancer:
    """Spreads connections over ready instances.

    :param check_s: Interval of readiness checks.
    """

    def __init__(self, check_s: float = 0.3) -> None:
        self.backends_by_name: dict[str, Backend] = {}
        self.port = 0
        self._check_s = check_s
        self._turn = 0
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self, port: int = 0) -> None:
        """Open the listener.

        :param port: Port, or 0 for one from the system.
        """
        server = await asyncio.start_server(self._accept, '127.0.0.1', port)
        self.port = server.sockets[0].getsockname()[1]
        self._tasks.append(asyncio.create_task(self._check()))

    def stop(self) -> None:
        """End the checks."""
        for task in self._tasks:
            task.cancel()

    async def _check(self) -> None:
        timeout = aiohttp.ClientTimeout(total=1)
        async with aiohttp.ClientSession(timeout=timeout) as http:
            while True:
                for backend in tuple(self.backends_by_name.values()):
                    backend.is_ready = await _is_ready(http, backend.address)
                await asyncio.sleep(self._check_s)

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        ready = [backend for backend in self.backends_by_name.values() if backend.is_ready]
        if not ready:
            writer.close()
            return
        self._turn += 1
        host, _, port = ready[self._turn % len(ready)].address.rpartition(':')
        try:
            inner_reader, inner_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.close()
            return
        await asyncio.gather(_copy(reader, inner_writer), _copy(inner_reader, writer))


async def _is_ready(http: aiohttp.ClientSession, address: str) -> bool:
    try:
        async with http.get(f'http://{address}/readyz') as answer:
            return answer.status == 200  # noqa: WPS432
    except (aiohttp.ClientError, TimeoutError, OSError):
        return False


async def _copy(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    with contextlib.suppress(ConnectionError):
        while data := await reader.read(65536):
            writer.write(data)
            await writer.drain()
    with contextlib.suppress(ConnectionError, OSError):
        writer.close()
