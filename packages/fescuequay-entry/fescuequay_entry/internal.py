"""Internal HTTP API: messages of peers, status and explanations for operators, and metrics."""

import time
from typing import TYPE_CHECKING

import msgspec
from aiohttp import web

from fescuequay_core import messages
from fescuequay_core.exceptions import MessageError
from fescuequay_core.journal import Entry
from fescuequay_core.types import Digest
from fescuequay_entry.peers import MAC_HEADER, decode_request, encode_answer, is_authentic

if TYPE_CHECKING:
    from fescuequay_entry.daemon import Daemon

_MAX_BODY_BYTES = 4 * 1024 * 1024


class InternalApi:
    """Serves peers, operators and the metrics collector.

    :param daemon: Instance that handles the requests.
    :param secrets: Secrets with which messages of peers are authenticated.
    """

    def __init__(self, daemon: 'Daemon', secrets: tuple[bytes, ...]) -> None:
        self._daemon = daemon
        self._secrets = secrets

    def application(self) -> web.Application:
        """:returns: The HTTP application."""
        app = web.Application(client_max_size=_MAX_BODY_BYTES)
        router = app.router
        router.add_post('/peer/messages', self._message)
        router.add_post('/peer/requests', self._request)
        router.add_post('/peer/objects', self._object)
        router.add_get('/status', self._status)
        router.add_get('/explain/{subject}', self._explain)
        router.add_get('/metrics', self._metrics)
        router.add_get('/livez', self._livez)
        router.add_get('/readyz', self._readyz)
        return app

    async def _authentic_body(self, request: web.Request) -> bytes:
        body = await request.read()
        if not is_authentic(body, request.headers.get(MAC_HEADER, ''), self._secrets):
            raise web.HTTPForbidden(reason='the message was not signed by this fleet')
        return body

    async def _message(self, request: web.Request) -> web.Response:
        body = await self._authentic_body(request)
        try:
            message = messages.decode(body)
        except MessageError as error:
            return web.Response(status=400, text=f'{error}\n')
        answer = self._daemon.handle_peer_message(message)
        return web.Response(body=b'' if answer is None else messages.encode(answer))

    async def _request(self, request: web.Request) -> web.Response:
        body = await self._authentic_body(request)
        try:
            forwarded = decode_request(body, time.monotonic())
        except MessageError as error:
            return web.Response(status=400, text=f'{error}\n')
        answer = await self._daemon.submit(forwarded)
        return web.Response(body=encode_answer(answer), content_type='application/json')

    async def _object(self, request: web.Request) -> web.Response:
        digest = Digest((await self._authentic_body(request)).decode(errors='replace'))
        packed = self._daemon.packed_object(digest)
        return web.Response(status=404) if packed is None else web.Response(body=packed)

    async def _status(self, request: web.Request) -> web.Response:
        return _json_response(self._build_status())

    def _build_status(self) -> dict[str, object]:
        now = time.monotonic()
        board = self._daemon.core.board
        return {
            'instance': board.instance,
            'data_centre': board.identity.data_centre,
            'is_ready': self._daemon.is_ready(),
            'seat': board.seat,
            'fleet_version': board.record.version,
            'text_number': board.text_number,
            'view_age_s': None if board.view_age_s(now) == float('inf') else round(board.view_age_s(now), 3),
            'leaders': board.record.leaders,
            'peers': {
                peer: {'silent': view.failing_since is not None, 'heard_s': round(now - view.heard_at, 3)}
                for peer, view in board.peers_by_id.items()
            },
            'targets': {
                target: {
                    'role': view.status.role.value if view.status else None,
                    'term': view.status.term if view.status else None,
                    'position': view.status.position if view.status else None,
                    'silent': view.failing_since is not None,
                    'connections': view.connections,
                    'in_flight': view.in_flight,
                }
                for target, view in board.targets_by_id.items()
            },
            'allotments': {
                organisation: {'rate_per_s': share[0], 'units': share[1], 'tokens': share[2]}
                for organisation, share in self._daemon.core.shares(now).items()
            },
        }

    async def _explain(self, request: web.Request) -> web.Response:
        now = time.monotonic()
        entries = self._daemon.core.journal.about(request.match_info['subject'])
        return _json_response([self._describe_entry(entry, now) for entry in entries])

    def _describe_entry(self, entry: Entry, now: float) -> dict[str, object]:
        incident = entry.incident
        return {
            'instance': self._daemon.instance,
            'ago_s': round(now - entry.at, 3),
            'event': incident.name,
            'subject': incident.subject,
            'cause': incident.cause,
            'details': dict(incident.details),
        }

    async def _metrics(self, request: web.Request) -> web.Response:
        self._daemon.refresh_gauges()
        return web.Response(body=self._daemon.metrics.exposition(), content_type='text/plain')

    async def _livez(self, request: web.Request) -> web.Response:
        return web.Response(text='ok\n')

    async def _readyz(self, request: web.Request) -> web.Response:
        is_ready = self._daemon.is_ready()
        return web.Response(text='ready\n' if is_ready else 'not ready\n', status=200 if is_ready else 503)


def _json_response(plain: object) -> web.Response:
    return web.Response(body=msgspec.json.encode(plain), content_type='application/json')
