"""The platform's metadata store and its promotions."""

import asyncio
import base64
import json
import time
from collections.abc import Mapping
from typing import Any

from standins import http
from standins.record import Record


class Store:
    """Versioned rows with conditional writes and a feed of changes, as PROTOCOL.md describes them."""

    def __init__(self) -> None:
        self.port = 0
        self._rows: dict[tuple[str, str], tuple[str, int, bool]] = {}
        self._version = 0
        self._changed = asyncio.Event()
        #: When a key of a table was last written, by table and key.
        self.written_at: dict[tuple[str, str], float] = {}

    async def start(self) -> None:
        """Listen on a free port."""
        self._server, self.port = await http.serve(self._handle)

    def put(self, table: str, key: str, plain: Any) -> None:
        """Write a row as the operator or a database does."""
        self._apply([(table, key, base64.b64encode(json.dumps(plain).encode()).decode(), False)])

    def delete(self, table: str, key: str) -> None:
        """Delete a row as the operator or a database does."""
        if (table, key) in self._rows:
            self._apply([(table, key, '', True)])

    def _apply(self, changes: list[tuple[str, str, str, bool]]) -> None:
        self._version += 1
        for table, key, value, is_deleted in changes:
            self._rows[table, key] = (value, self._version, is_deleted)
            self.written_at[table, key] = time.monotonic()
        self._changed.set()
        self._changed = asyncio.Event()

    def _encode(self, table: str, key: str) -> dict[str, Any]:
        value, version, is_deleted = self._rows[table, key]
        row = {'table': table, 'part': '', 'key': key, 'value': value, 'ver': version}
        return {**row, 'deleted': True} if is_deleted else row

    def _answer(self, rows: list[dict[str, Any]], *, more: bool = False) -> dict[str, Any]:
        return {'rows': rows, 'ver': self._version, 'now_ms': time.monotonic() * 1000, 'more_pages': more}

    async def _handle(
        self, method: str, path: str, query: Mapping[str, str], _headers: Mapping[str, str], body: bytes
    ) -> tuple[int, Any]:
        if path == '/rows-get':
            await asyncio.sleep(0.004)
            return 200, self._get(query)
        if path == '/rows-feed':
            return 200, await self._feed(query)
        if path == '/rows-tx':
            await asyncio.sleep(0.004)
            return self._transact(json.loads(body))
        return 404, {}

    def _get(self, query: Mapping[str, str]) -> dict[str, Any]:
        limit = min(int(query.get('limit', '500')), 500)
        keys = sorted(
            key
            for (table, key), row in self._rows.items()
            if table == query['table'] and not row[2] and key >= query.get('from', '')
        )
        return self._answer([self._encode(query['table'], key) for key in keys[:limit]], more=len(keys) > limit)

    async def _feed(self, query: Mapping[str, str]) -> dict[str, Any]:
        table, after = query['table'], int(query['after'])
        until = time.monotonic() + int(query['wait_ms']) / 1000
        while True:
            names = [name for name, row in self._rows.items() if name[0] == table and row[1] > after]
            left_s = until - time.monotonic()
            if names or left_s <= 0:
                names.sort(key=lambda name: self._rows[name][1])
                return self._answer([self._encode(*name) for name in names])
            try:
                await asyncio.wait_for(self._changed.wait(), left_s)
            except TimeoutError:
                continue

    def _transact(self, call: dict[str, Any]) -> tuple[int, Any]:
        for row in call['precondition']:
            known = self._rows.get((row['table'], row['key']), ('', 0, True))
            if (0 if known[2] else known[1]) != row['ver']:
                names = [(each['table'], each['key']) for each in call['precondition']]
                present = [name for name in names if name in self._rows and not self._rows[name][2]]
                return 412, self._answer([self._encode(*name) for name in present])
        changes = [(row['table'], row['key'], row['value'], False) for row in call['puts']]
        changes += [
            (row['table'], row['key'], '', True)
            for row in call['deletes']
            if (row['table'], row['key']) in self._rows
        ]
        self._apply(changes)
        return 200, self._answer([])


class Promotions:
    """The platform's call that names the database that takes over; it does not check the fence."""

    def __init__(self, record: Record, groups: Mapping[str, Any], effect_s: float) -> None:
        self.port = 0
        #: Arrival, holder, token, service and id of each call.
        self.calls: list[tuple[float, str, int, str, str]] = []
        self._record = record
        self._groups = groups
        self._effect_s = effect_s

    async def start(self) -> None:
        """Listen on a free port."""
        self._server, self.port = await http.serve(self._handle)

    async def _handle(
        self, _method: str, path: str, _query: Mapping[str, str], headers: Mapping[str, str], body: bytes
    ) -> tuple[int, Any]:
        if path != '/promote':
            return 404, {}
        call = json.loads(body)
        holder, token = headers['x-lease-holder'], int(headers['x-fencing-token'])
        self.calls.append((self._record.now(), holder, token, call['service'], call['id']))
        self._record.write('promote arrives', holder=holder, token=token, service=call['service'], id=call['id'])
        database = self._groups[call['service']].by_id.get(call['id'])
        if database is None or not database.is_running:
            return 409, {}
        if not database.is_primary:
            asyncio.get_running_loop().call_later(self._effect_s, self._groups[call['service']].promote, database)
        return 200, {}
