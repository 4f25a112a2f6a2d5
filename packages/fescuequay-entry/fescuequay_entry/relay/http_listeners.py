"""HTTP listeners of an instance: peer requests, metrics and readiness checks."""

import asyncio
from http import HTTPStatus
from typing import Final

from aiohttp import web

from fescuequay_entry.relay.instance import Instance
from fescuequay_entry.relay.peers import PeerApi
from fescuequay_entry.relay.settings import split_address

#: Timeout for closing each listener, in seconds.
_CLEANUP_TIMEOUT_S: Final = 0.5

#: Keep-alive of peers' connections, in seconds; longer than the interval between two exchanges.
_KEEP_ALIVE_TIMEOUT_S: Final = 30

#: Backlog of connections that wait to be accepted: all peers may connect at once.
_BACKLOG: Final = 256


class HttpListeners:
    """Starts and stops an instance together with its HTTP listeners.

    :param instance: The instance.
    :param readiness_path: URL path of the readiness check.
    """

    def __init__(self, instance: Instance, readiness_path: str) -> None:
        self._instance = instance
        self._readiness_path = readiness_path
        self._runners: list[web.AppRunner] = []

    async def start(self) -> None:
        """Open the listeners and start the instance."""
        settings = self._instance.settings
        await self._serve(self._peer_application(), settings.host, settings.peer_ports[0])
        await self._serve(self._readiness_application(), *split_address(settings.readiness))
        await self._instance.start()

    async def stop(self) -> None:
        """Stop the instance, then the listeners."""
        await self._instance.stop()
        for runner in self._runners:
            await asyncio.wait_for(runner.cleanup(), _CLEANUP_TIMEOUT_S)

    def _peer_application(self) -> web.Application:
        application = web.Application()
        membership = self._instance.membership
        api = PeerApi(
            membership.answer_exchange,
            membership.answer_supply,
            self._instance.configurations.answer_fetch,
            membership.answer_close,
            membership.receive_news,
        )
        api.add_routes(application)
        application.router.add_get('/metrics', self._answer_metrics)
        return application

    def _readiness_application(self) -> web.Application:
        application = web.Application()
        application.router.add_get(self._readiness_path, self._answer_readiness)
        return application

    async def _answer_readiness(self, _request: web.Request) -> web.Response:
        return web.Response(status=HTTPStatus.OK if self._instance.is_ready() else HTTPStatus.SERVICE_UNAVAILABLE)

    async def _answer_metrics(self, _request: web.Request) -> web.Response:
        return web.Response(body=self._instance.metrics.text(), content_type='text/plain')

    async def _serve(self, application: web.Application, host: str, port: int) -> None:
        runner = web.AppRunner(application, access_log=None, keepalive_timeout=_KEEP_ALIVE_TIMEOUT_S)
        await runner.setup()
        await web.TCPSite(runner, host, port, backlog=_BACKLOG, reuse_address=True).start()
        self._runners.append(runner)
