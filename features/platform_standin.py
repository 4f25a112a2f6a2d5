"""Stand-ins on loopback for the platform of one instance: its metadata store, and one database."""

import asyncio
import base64
import json
import re
import threading
from typing import Any, Final

from aiohttp import web

from features import odd_entries
from features.ports import reserve_port

HOST: Final = '127.0.0.1'

#: Longest wait for a step of a test, in seconds.
TIMEOUT_S: Final = 15.0

#: Maximum length of a message, in bytes.
_MAX_MESSAGE_BYTES: Final = 1_048_576

#: What a careless target may take for the end of a line.
_LINE_END = re.compile(b'\\r\\n|[\\r\\n\\0]')

_CONFIG = {
    'version': 3,
    'routes': [
        {
            'name': 'r',
            'host': 'db',
            'route_type': 'primary',
            'service': 'svc',
            'timeout_ms': 1000,
            'target_latency_ms': 400,
        }
    ],
    'services': [{'name': 'svc', 'max_conns': 20, 'sync_replicas': 0}],
    'tenants': [
        {'name': 'org', 'api_keys': ['secret'], 'rate_per_s': 50, 'burst': 50},
        {'name': 'bulk', 'api_keys': ['bulk-key'], 'rate_per_s': 5000, 'burst': 5000},
    ],
    'limits': {'tx_idle_ms': 3000},
}

#: Item after which the database says that a transaction is open, though none was begun.
LEFT_OPEN = 'left-open'


class PlatformStandIn:
    """Stands in for one database and for the calls of the metadata store that one instance makes."""

    def __init__(self) -> None:
        self.store_port = reserve_port()
        self.database_port = reserve_port()
        self._rows: dict[tuple[str, str], tuple[str, int]] = {}
        self._version = 0
        self._items: dict[str, str] = {}
        self._commits = 0
        #: Ids and texts of the statements that the database ran, and on which of its connections.
        self.ran: list[tuple[str, str]] = []
        self.connections: list[int] = []
        self._connection_count = 0
        #: Addresses from which its connections came, by their numbers.
        self.peers: dict[int, str] = {}
        self._late_entries: dict[str, bytes] = {}
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        entry = {
            'service': 'svc',
            'address': f'{HOST}:{self.database_port}',
            'zone': 'z',
            'state': 'ready',
            'db_role': 'primary',
            'born': 1,
            'seq': 1,
            'slots': 4,
        }
        self._put('op', 'config', json.dumps(_CONFIG).encode())
        self._put('servers', 'i-1', json.dumps(entry).encode())

    def add_odd_entries(self) -> None:
        """Let another writer leave odd entries, some of which come while the instance runs."""
        self._put('op', 'config', odd_entries.with_odd_entries(_CONFIG))
        for number, raw in enumerate(odd_entries.ENTRIES_BY_NAME.values()):
            self._put('servers', f'odd-{number}', raw)
            self._late_entries[f'late-{number}'] = raw
        for number, raw in enumerate(odd_entries.OWN_ROWS_BY_NAME.values()):
            for kind in ('leader', 'member'):
                self._put('fescuequay', f'0/{kind}/odd-{number}', raw)

    def start(self) -> None:
        """Start the listeners in a thread of their own."""
        self._thread.start()
        asyncio.run_coroutine_threadsafe(self._listen(), self._loop).result(TIMEOUT_S)

    def close(self) -> None:
        """Stop the listeners and their thread."""
        asyncio.run_coroutine_threadsafe(self._end(), self._loop).result(TIMEOUT_S)
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(TIMEOUT_S)
        self._loop.close()

    async def _listen(self) -> None:
        application = web.Application()
        application.router.add_get('/rows-get', self._get)
        application.router.add_get('/rows-feed', self._feed)
        application.router.add_post('/rows-tx', self._transact)
        self._runner = web.AppRunner(application)
        await self._runner.setup()
        await web.TCPSite(self._runner, HOST, self.store_port).start()
        self._server = await asyncio.start_server(self._serve, HOST, self.database_port, limit=2 * _MAX_MESSAGE_BYTES)

    async def _end(self) -> None:
        self._server.close()
        await self._runner.cleanup()
        others = [task for task in asyncio.all_tasks() if task is not asyncio.current_task()]
        for task in others:
            task.cancel()
        await asyncio.gather(*others, return_exceptions=True)

    def _put(self, table: str, key: str, raw: bytes) -> None:
        self._rows[table, key] = (base64.b64encode(raw).decode(), self._version)

    def _answer(self, rows: list[dict[str, Any]], status: int = 200) -> web.Response:
        return web.json_response({'rows': rows, 'ver': self._version, 'now_ms': 1, 'more_pages': False}, status=status)

    def _row(self, table: str, key: str) -> dict[str, Any]:
        value, version = self._rows[table, key]
        return {'table': table, 'part': '', 'key': key, 'value': value, 'ver': version}

    async def _get(self, request: web.Request) -> web.Response:
        table = request.query['table']
        return self._answer([self._row(*name) for name in sorted(self._rows) if name[0] == table])

    async def _feed(self, request: web.Request) -> web.Response:
        table = request.query['table']
        if table == 'servers' and self._late_entries:
            self._version += 1
            late, self._late_entries = self._late_entries, {}
            for key, raw in late.items():
                self._put(table, key, raw)
            return self._answer([self._row(table, key) for key in late])
        await asyncio.sleep(int(request.query['wait_ms']) / 1000)
        return self._answer([])

    async def _transact(self, request: web.Request) -> web.Response:
        body = await request.json()
        for row in body['precondition']:
            name = (row['table'], row['key'])
            if self._rows.get(name, ('', 0))[1] != row['ver']:
                return self._answer([self._row(*name)] if name in self._rows else [], 412)
        self._version += 1
        for row in body['puts']:
            self._rows[row['table'], row['key']] = (row['value'], self._version)
        for row in body['deletes']:
            self._rows.pop((row['table'], row['key']), None)
        return self._answer([])

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one database connection, like a target that takes more than CR LF for the end of a line."""
        self._connection_count += 1
        connection = self._connection_count
        self.peers[connection] = '{0}:{1}'.format(*writer.get_extra_info('peername'))
        try:
            while raw := await reader.readline():
                lines = filter(None, _LINE_END.split(raw))
                answers = (answer for line in lines for answer in self._replies_to(line.decode(), connection))
                writer.writelines(answer.encode() + b'\r\n' for answer in answers)
                await writer.drain()
        except ConnectionError:
            return
        finally:
            writer.close()

    def _replies_to(self, line: str, connection: int) -> list[str]:
        word, _, rest = line.partition(' ')
        ready = f'READY I 1.{self._commits}'
        if word == 'START':
            assert 'secret' not in rest, 'a key was forwarded to the database'
            return [ready]
        request, _, text = rest.partition(' ')
        self.ran.append((request, text))
        self.connections.append(connection)
        words = text.split(' ')
        if words[0] == 'STATUS':
            return [f'ROW primary 1 1.{self._commits} 0 0 0 1', 'DONE -', ready]
        if words[0] == 'WRITE':
            self._commits += 1
            self._items[words[1]] = ' '.join(words[2:])
            return [f'DONE i-1.{request}', f'READY I 1.{self._commits}']
        if words[0] == 'READ':
            state = 'T' if words[1] == LEFT_OPEN else 'I'
            return [f'ROW {self._items.get(words[1], "")}', f'DONE i-1.{request}', f'READY {state} 1.{self._commits}']
        return ['DONE -', ready]
