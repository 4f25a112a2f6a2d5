"""Stand-in for the platform's load balancer: distributes TCP connections over ready instances in turn."""

import asyncio
import contextlib
import dataclasses

import aiohttp


@dataclasses.dataclass(slots=True)
class BalancedInstance:
    """One instance behind the balancer.

    :param address: Address of its listener for callers.
    :param is_ready: Whether its latest readiness check passed.
    """

    address: str
    is_ready: bool = False


class Balancer:
    """Distributes connections over ready instances.

    :param check_s: Interval between rounds of readiness checks.
    """

    def __init__(self, check_s: float = 0.3) -> None:
        self.instances_by_name: dict[str, BalancedInstance] = {}
        self.port = 0
        self._check_s = check_s
        self._connection_count = 0
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self, port: int = 0) -> None:
        """Open the listener.

        :param port: Port, or 0 to let the system choose one.
        """
        server = await asyncio.start_server(self._accept, '127.0.0.1', port)
        self.port = server.sockets[0].getsockname()[1]
        self._tasks.append(asyncio.create_task(self._run_checks()))

    def stop(self) -> None:
        """Stop the readiness checks."""
        for task in self._tasks:
            task.cancel()

    async def _run_checks(self) -> None:
        timeout = aiohttp.ClientTimeout(total=1)
        async with aiohttp.ClientSession(timeout=timeout) as http:
            while True:
                for instance in tuple(self.instances_by_name.values()):
                    instance.is_ready = await _is_ready(http, instance.address)
                await asyncio.sleep(self._check_s)

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        ready = [instance for instance in self.instances_by_name.values() if instance.is_ready]
        if not ready:
            writer.close()
            return
        self._connection_count += 1
        host, _, port = ready[self._connection_count % len(ready)].address.rpartition(':')
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
