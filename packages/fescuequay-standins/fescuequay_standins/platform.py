"""Stand-in for the platform: a table, an object store, an instance list, and injected faults."""

import asyncio
import hashlib
import time
from typing import Any, Final

import msgspec
from aiohttp import web

#: Row versions are opaque to clients.
_ETAG_PREFIX: Final = 'v'


class Row(msgspec.Struct):
    """One row of the table.

    :param body: Content of the row.
    :param version: Version of the row.
    :param changed_at: When it last changed, by the platform's clock.
    """

    body: bytes
    version: int
    changed_at: float


class Condition(msgspec.Struct, frozen=True):
    """Conditional write of one row in a transaction.

    :param key: Key of the row.
    :param etag: Version that the row must have; None if it must not exist.
    :param body: New content.
    """

    key: str
    etag: str | None
    body: str


class Faults(msgspec.Struct):
    """Faults of the platform; each can be changed while requests are running.

    :param is_down: Whether every request fails.
    :param delay_s: Time added to every request.
    :param lose_answers: Number of future writes that are applied but whose answer is lost.
    :param cut_data_centres: Data centres whose requests are never answered.
    """

    is_down: bool = False
    delay_s: float = 0.0
    lose_answers: int = 0
    cut_data_centres: tuple[str, ...] = ()


class Platform:
    """Keeps rows, objects and instances in memory and serves them over HTTP."""

    def __init__(self) -> None:
        self.rows_by_key: dict[str, Row] = {}
        self.objects_by_digest: dict[str, bytes] = {}
        self.instances_by_id: dict[str, dict[str, Any]] = {}
        self.faults = Faults()
        self.reads = 0
        self.writes = 0
        self._version = 0

    def application(self) -> web.Application:
        """:returns: The HTTP application."""
        app = web.Application(middlewares=[self._with_faults], client_max_size=16 * 1024 * 1024)
        app.router.add_get('/table/{key:.+}', self._get_row)
        app.router.add_put('/table/{key:.+}', self._put_row)
        app.router.add_get('/rows', self._list_rows)
        app.router.add_post('/transactions', self._transact)
        app.router.add_get('/objects/{digest}', self._get_object)
        app.router.add_put('/objects/{digest}', self._put_object)
        app.router.add_get('/instances', self._list_instances)
        app.router.add_put('/control/instances/{instance}', self._put_instance)
        app.router.add_delete('/control/instances/{instance}', self._delete_instance)
        app.router.add_put('/control/faults', self._put_faults)
        app.router.add_get('/control/load', self._get_load)
        return app

    def write(self, conditions: list[Condition]) -> list[str] | None:
        """Write all rows, or none if a condition fails.

        :param conditions: Rows with the versions that they must have.
        :returns: The new versions, or None if a condition failed.
        """
        if any(self._etag(item.key) != item.etag for item in conditions):
            return None
        for item in conditions:
            self._version += 1
            self.rows_by_key[item.key] = Row(item.body.encode(), self._version, time.time())
        return [self._etag(item.key) or '' for item in conditions]

    def _etag(self, key: str) -> str | None:
        row = self.rows_by_key.get(key)
        return f'{_ETAG_PREFIX}{row.version}' if row else None

    @web.middleware
    async def _with_faults(self, request: web.Request, handler: Any) -> web.StreamResponse:
        if request.path.startswith('/control'):
            return await self._handle_request(handler, request)
        if request.headers.get('X-Data-Centre') in self.faults.cut_data_centres:
            await asyncio.sleep(3600)
        if self.faults.delay_s:
            await asyncio.sleep(self.faults.delay_s)
        if self.faults.is_down:
            return web.Response(status=503)
        is_write = request.method in {'PUT', 'POST'}
        self.writes += is_write
        self.reads += not is_write
        response = await self._handle_request(handler, request)
        if is_write and response.status < 300 and self.faults.lose_answers:
            self.faults.lose_answers -= 1
            if request.transport is not None:
                request.transport.abort()
        return response

    async def _handle_request(self, handler: Any, request: web.Request) -> web.StreamResponse:
        try:
            response: web.StreamResponse = await handler(request)
        except (msgspec.DecodeError, UnicodeDecodeError):
            return web.Response(status=400)
        return response

    async def _get_row(self, request: web.Request) -> web.Response:
        key = request.match_info['key']
        row = self.rows_by_key.get(key)
        if row is None:
            return web.Response(status=404)
        etag = f'"{self._etag(key)}"'
        headers = {'ETag': etag, 'X-Age': f'{time.time() - row.changed_at:.6f}'}
        if request.headers.get('If-None-Match') == etag:
            return web.Response(status=304, headers=headers)
        return web.Response(body=row.body, content_type='application/json', headers=headers)

    async def _put_row(self, request: web.Request) -> web.Response:
        if_match = request.headers.get('If-Match')
        if if_match is None and request.headers.get('If-None-Match') != '*':
            return web.Response(status=428)
        etag = if_match.strip('"') if if_match else None
        body = (await request.read()).decode()
        etags = self.write([Condition(request.match_info['key'], etag, body)])
        if etags is None:
            return web.Response(status=412)
        return web.Response(headers={'ETag': f'"{etags[0]}"'})

    async def _list_rows(self, request: web.Request) -> web.Response:
        prefix = request.query.get('prefix', '')
        found = [
            {
                'key': key,
                'etag': self._etag(key),
                'age_s': time.time() - row.changed_at,
                'body': row.body.decode(),
            }
            for key, row in sorted(self.rows_by_key.items())
            if key.startswith(prefix)
        ]
        return web.json_response(found)

    async def _transact(self, request: web.Request) -> web.Response:
        conditions = msgspec.json.decode(await request.read(), type=list[Condition])
        etags = self.write(conditions)
        return web.Response(status=412) if etags is None else web.json_response(etags)

    async def _get_object(self, request: web.Request) -> web.Response:
        body = self.objects_by_digest.get(request.match_info['digest'])
        return web.Response(status=404) if body is None else web.Response(body=body)

    async def _put_object(self, request: web.Request) -> web.Response:
        body = await request.read()
        digest = request.match_info['digest']
        if hashlib.sha256(body).hexdigest() != digest:
            return web.Response(status=422)
        self.objects_by_digest[digest] = body
        return web.Response(status=201)

    async def _list_instances(self, request: web.Request) -> web.Response:
        body = msgspec.json.encode([{'instance': name, **row} for name, row in sorted(self.instances_by_id.items())])
        headers = {'ETag': f'"{hashlib.sha256(body).hexdigest()[:16]}"'}
        if request.headers.get('If-None-Match') == headers['ETag']:
            return web.Response(status=304, headers=headers)
        return web.Response(body=body, content_type='application/json', headers=headers)

    async def _put_instance(self, request: web.Request) -> web.Response:
        self.instances_by_id[request.match_info['instance']] = msgspec.json.decode(
            await request.read(), type=dict[str, Any]
        )
        return web.Response(status=204)

    async def _delete_instance(self, request: web.Request) -> web.Response:
        self.instances_by_id.pop(request.match_info['instance'], None)
        return web.Response(status=204)

    async def _put_faults(self, request: web.Request) -> web.Response:
        self.faults = msgspec.json.decode(await request.read(), type=Faults)
        return web.Response(status=204)

    async def _get_load(self, request: web.Request) -> web.Response:
        return web.json_response({'reads': self.reads, 'writes': self.writes})
