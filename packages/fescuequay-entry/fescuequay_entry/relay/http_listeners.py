"""HTTP listeners of an instance: peer requests, metrics and readiness checks."""

from http import HTTPStatus
from typing import Final

from fescuequay_entry.relay.http_server import Answer, HttpServer, Request, Routes
from fescuequay_entry.relay.instance import Instance
from fescuequay_entry.relay.peers import PeerApi
from fescuequay_entry.relay.settings import split_address

#: Keep-alive of peers' connections, in seconds; longer than the interval between two exchanges.
_KEEP_ALIVE_S: Final = 30.0


class HttpListeners:
    """Starts and stops an instance together with its HTTP listeners.

    :param instance: The instance.
    :param readiness_path: URL path of the readiness check.
    """

    def __init__(self, instance: Instance, readiness_path: str) -> None:
        self._instance = instance
        self._readiness_path = readiness_path
        self._servers: list[HttpServer] = []

    async def start(self) -> None:
        """Open the listeners and start the instance."""
        settings = self._instance.settings
        await self._serve(self._peer_routes(), settings.host, settings.peer_ports[0])
        await self._serve({('GET', self._readiness_path): self._answer_readiness}, *split_address(settings.readiness))
        await self._instance.start()

    async def stop(self) -> None:
        """Stop the instance, then the listeners."""
        await self._instance.stop()
        for server in self._servers:
            server.stop()

    def _peer_routes(self) -> Routes:
        membership = self._instance.membership
        api = PeerApi(
            membership.answer_exchange,
            membership.answer_supply,
            self._instance.configurations.answer_fetch,
            membership.answer_close,
            membership.receive_news,
        )
        return {**api.routes(), ('GET', '/metrics'): self._answer_metrics}

    async def _answer_readiness(self, _request: Request) -> Answer:
        return Answer(HTTPStatus.OK if self._instance.is_ready() else HTTPStatus.SERVICE_UNAVAILABLE)

    async def _answer_metrics(self, _request: Request) -> Answer:
        return Answer(body=self._instance.metrics.text(), content_type='text/plain')

    async def _serve(self, routes: Routes, host: str, port: int) -> None:
        server = HttpServer(routes, _KEEP_ALIVE_S)
        await server.start(host, port)
        self._servers.append(server)
