"""Store, registry and promoter of the platform on loopback, and a proxy that injects network faults before them."""

import asyncio
import base64
import contextlib
import json
import random
from collections.abc import Callable
from typing import Any, Final

from aiohttp import web

from features.soak.databases import HOST, Service

#: Delay of an answer that counts as lost, in seconds: longer than any timeout of an instance.
_LOST_ANSWER_S: Final = 30.0

#: Interval at which held bytes check whether they may pass, in seconds.
_HOLD_CHECK_S: Final = 0.01


class Platform:
    """Versioned rows with a change feed, conditional writes, and promotions.

    :param services: Services that are registered and can be promoted.
    """

    def __init__(self, services: list[Service]) -> None:
        self.services = services
        self.port = 0
        self.is_rejecting = False
        self.answer_loss_probability = 0.0
        self.delay_s = 0.0
        self.era = 1
        self._rows: dict[tuple[str, str], tuple[str, int, bool]] = {}
        self._version = 0
        self._changed = asyncio.Event()
        for service in services:
            service.report = self._report

    async def start(self) -> None:
        """Listen and register the databases."""
        application = web.Application()
        application.router.add_get('/rows-get', self._get)
        application.router.add_get('/rows-feed', self._feed)
        application.router.add_post('/rows-tx', self._transact)
        application.router.add_post('/promote', self._promote)
        runner = web.AppRunner(application, access_log=None)
        await runner.setup()
        site = web.TCPSite(runner, HOST, 0)
        await site.start()
        self.port = runner.addresses[0][1]
        self._report()

    def copy(self) -> tuple[int, dict[tuple[str, str], tuple[str, int, bool]]]:
        """:returns: A copy of the store, for ``restore``."""
        return self._version, dict(self._rows)

    def restore(self, copy: tuple[int, dict[tuple[str, str], tuple[str, int, bool]]]) -> None:
        """Come back from a copy: later rows are gone, but those of operators and databases are written again."""
        others = {name: row for name, row in self._rows.items() if name[0] in {'op', 'servers'}}
        self.era += 1
        self._version, self._rows = copy[0], dict(copy[1])
        for (table, key), (value, _, is_deleted) in others.items():
            self._version += 1
            self._store_row(table, key, value, is_deleted=is_deleted)

    def put(self, table: str, key: str, plain: Any) -> None:
        """Write a row as an operator or a database does."""
        self._version += 1
        self._store_row(table, key, base64.b64encode(json.dumps(plain).encode()).decode())

    def put_raw(self, table: str, key: str, raw: bytes) -> None:
        """Write any bytes as another writer does."""
        self._version += 1
        self._store_row(table, key, base64.b64encode(raw).decode())

    def delete(self, table: str, key: str) -> None:
        """Delete a row."""
        self._version += 1
        self._store_row(table, key, '', is_deleted=True)

    def _store_row(self, table: str, key: str, value: str, *, is_deleted: bool = False) -> None:
        self._rows[table, key] = (value, self._version, is_deleted)
        self._changed.set()
        self._changed = asyncio.Event()

    def _report(self) -> None:
        for service in self.services:
            for database in service.databases:
                if database.is_isolated:
                    continue
                self.put(
                    'servers',
                    database.name,
                    {
                        'service': service.name,
                        'address': f'{HOST}:{database.port}',
                        'zone': 'z',
                        'state': 'ready',
                        'db_role': 'primary' if database.is_primary else 'replica',
                        'born': 1,
                        'seq': self._version,
                        'slots': 8,
                    },
                )

    def _encode_row(self, table: str, key: str) -> dict[str, Any]:
        value, version, is_deleted = self._rows[table, key]
        row = {'table': table, 'part': '', 'key': key, 'value': value, 'ver': version}
        return {**row, 'deleted': True} if is_deleted else row

    def _make_response(self, rows: list[dict[str, Any]], status: int = 200) -> web.Response:
        plain = {'rows': rows, 'ver': self._version, 'now_ms': 1, 'more_pages': False}
        return web.json_response(plain, status=status, headers={'Store-Era': str(self.era)})

    async def _apply_faults(self) -> None:
        await asyncio.sleep(self.delay_s)
        if self.is_rejecting:
            raise web.HTTPServiceUnavailable

    async def _get(self, request: web.Request) -> web.Response:
        await self._apply_faults()
        table = request.query['table']
        names = sorted(name for name, row in self._rows.items() if name[0] == table and not row[2])
        return self._make_response([self._encode_row(*name) for name in names])

    async def _feed(self, request: web.Request) -> web.Response:
        await self._apply_faults()
        table, after = request.query['table'], int(request.query['after'])
        if after > self._version:
            raise web.HTTPGone
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(int(request.query['wait_ms']) / 1000):
                while not self._changed_since(table, after):
                    await self._changed.wait()
        return self._make_response([self._encode_row(*name) for name in self._changed_since(table, after)])

    def _changed_since(self, table: str, after: int) -> list[tuple[str, str]]:
        found = [name for name, row in self._rows.items() if name[0] == table and row[1] > after]
        return sorted(found, key=lambda name: self._rows[name][1])

    async def _transact(self, request: web.Request) -> web.Response:
        await self._apply_faults()
        body = await request.json()
        for row in body['precondition']:
            name = (row['table'], row['key'])
            _, version, is_deleted = self._rows.get(name, ('', 0, False))
            if (0 if is_deleted else version) != row['ver']:
                return self._make_response(
                    [self._encode_row(*name)] if name in self._rows and not is_deleted else [], 412
                )
        self._version += 1
        for row in body['puts']:
            self._store_row(row['table'], row['key'], row['value'])
        for row in body['deletes']:
            self._store_row(row['table'], row['key'], '', is_deleted=True)
        answer = self._make_response([])
        if random.random() < self.answer_loss_probability:
            await asyncio.sleep(_LOST_ANSWER_S)
        return answer

    async def _promote(self, request: web.Request) -> web.Response:
        body = await request.json()
        service = next(service for service in self.services if service.name == body['service'])
        service.history.record_promotion(request.headers['X-Lease-Holder'], int(request.headers['X-Fencing-Token']))
        return web.Response(status=200 if await service.promote(body['id']) else 409)


class Proxy:
    """Forwards connections to a port; ``mode`` is pass, silent or reset.

    While it is silent, bytes are held, and delivered later unless their sender has reset the connection. Connections
    that were open when they were silenced carry nothing more, and new ones work.

    :param platform_port: Port of the platform.
    """

    def __init__(self, platform_port: int) -> None:
        self.mode = 'pass'
        self.held_bytes = 0
        #: Called with each chunk before it is forwarded.
        self.on_chunk: Callable[[bytes], None] | None = None
        self.port = 0
        self._platform_port = platform_port
        self._writers: set[asyncio.StreamWriter] = set()
        self._silenced: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen."""
        server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = server.sockets[0].getsockname()[1]

    def set_mode(self, mode: str) -> None:
        """Start or end a network fault; ``reset`` also aborts the open connections."""
        self.mode = mode
        if mode == 'reset':
            for writer in tuple(self._writers):
                writer.transport.abort()

    def silence_open(self) -> None:
        """Let the open connections go silent for good."""
        self._silenced.update(self._writers)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.mode == 'reset':
            writer.transport.abort()
            return
        platform_reader, platform_writer = await asyncio.open_connection(HOST, self._platform_port)
        self._writers.update((writer, platform_writer))
        try:
            await asyncio.wait(
                {
                    asyncio.ensure_future(self._forward(reader, platform_writer)),
                    asyncio.ensure_future(self._forward(platform_reader, writer)),
                },
                return_when=asyncio.FIRST_COMPLETED,
            )
        finally:
            for end in (writer, platform_writer):
                self._writers.discard(end)
                self._silenced.discard(end)
                end.transport.abort()

    async def _forward(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError):
            while chunk := await reader.read(65536):
                if self.on_chunk is not None:
                    self.on_chunk(chunk)
                await self._hold(len(chunk))
                if reader.exception() is not None:
                    # The sender has reset the connection, so what was held is lost.
                    return
                if writer not in self._silenced:
                    writer.write(chunk)
                    await writer.drain()

    async def _hold(self, size: int) -> None:
        """Hold bytes while nothing passes."""
        self.held_bytes += size
        while self.mode == 'silent':
            await asyncio.sleep(_HOLD_CHECK_S)
        self.held_bytes -= size
