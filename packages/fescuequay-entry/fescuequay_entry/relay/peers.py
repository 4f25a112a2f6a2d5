"""HTTP with JSON between instances: a client, and the handlers of the peer listener."""

import asyncio
import logging
from collections.abc import Awaitable, Callable
from http import HTTPStatus
from typing import Final, TypeVar

import aiohttp
import msgspec
from aiohttp import web

from fescuequay_entry.relay.board import log_event
from fescuequay_entry.relay.messages import (
    CloseAnswer,
    CloseRequest,
    ExchangeAnswer,
    ExchangeRequest,
    FetchAnswer,
    FetchRequest,
    News,
    SupplyAnswer,
    SupplyRequest,
)
from fescuequay_entry.relay.ports import FETCH_TIMEOUT_S, PEER_TIMEOUT_S, PeerError, Peers

Message = TypeVar('Message')

#: Maximum length of a decoding error in a log line.
_DETAIL_CHARACTERS: Final = 120

_EXCHANGE: Final = '/peer/exchange'
_SUPPLY: Final = '/peer/supply'
_FETCH: Final = '/peer/fetch'
_CLOSE: Final = '/peer/close'
_NEWS: Final = '/peer/news'


class HttpPeers(Peers):
    """Sends messages to peers over HTTP.

    :param http: Client session; connections that time out are closed and not reused.
    """

    def __init__(self, http: aiohttp.ClientSession) -> None:
        self._http = http

    async def exchange(self, address: str, request: ExchangeRequest) -> ExchangeAnswer:
        """:returns: The coordinator's answer. :raises PeerError: There was none."""
        return await self._post(address, _EXCHANGE, request, ExchangeAnswer, PEER_TIMEOUT_S)

    async def supply(self, address: str, request: SupplyRequest) -> SupplyAnswer:
        """:returns: Tokens. :raises PeerError: There was no answer."""
        return await self._post(address, _SUPPLY, request, SupplyAnswer, PEER_TIMEOUT_S)

    async def fetch(self, address: str, request: FetchRequest) -> FetchAnswer:
        """:returns: The peer's configuration, if it is new enough. :raises PeerError: There was no answer."""
        return await self._post(address, _FETCH, request, FetchAnswer, FETCH_TIMEOUT_S)

    async def close(self, address: str, request: CloseRequest, timeout_s: float) -> CloseAnswer:
        """:returns: The confirmation that the permit was released. :raises PeerError: There was none."""
        return await self._post(address, _CLOSE, request, CloseAnswer, timeout_s)

    async def send_news(self, address: str, news: News) -> None:
        """Notify a peer of a change. :raises PeerError: The peer did not answer."""
        await self._post(address, _NEWS, news, News, PEER_TIMEOUT_S)

    async def _post(self, address: str, path: str, body: object, kind: type[Message], timeout_s: float) -> Message:
        try:
            async with asyncio.timeout(timeout_s):
                status, raw = await self._call(f'http://{address}{path}', msgspec.json.encode(body))
            if status != HTTPStatus.OK:
                raise PeerError(f'{address} answered {status}')
            return msgspec.json.decode(raw, type=kind)
        except aiohttp.ClientConnectorError as error:
            raise PeerError(f'{address}: {type(error).__name__} {error}', is_unsent=True) from error
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise PeerError(f'{address}: {type(error).__name__} {error}') from error
        except msgspec.MsgspecError as error:
            raise PeerError(f'{address}: unreadable answer: {error}') from error

    async def _call(self, url: str, body: bytes) -> tuple[int, bytes]:
        async with self._http.post(url, data=body) as response:
            return response.status, await response.read()


class PeerApi:
    """Handlers of the peer listener.

    :param on_exchange: Answers an exchange.
    :param on_supply: Grants tokens.
    :param on_fetch: Returns the configuration.
    :param on_close: Releases the permit of a closed term.
    :param on_news: Receives news.
    """

    def __init__(
        self,
        on_exchange: Callable[[ExchangeRequest], ExchangeAnswer],
        on_supply: Callable[[SupplyRequest], SupplyAnswer],
        on_fetch: Callable[[FetchRequest], FetchAnswer],
        on_close: Callable[[CloseRequest], Awaitable[CloseAnswer]],
        on_news: Callable[[News], None],
    ) -> None:
        self._on_exchange = on_exchange
        self._on_supply = on_supply
        self._on_fetch = on_fetch
        self._on_close = on_close
        self._on_news = on_news

    def add_routes(self, application: web.Application) -> None:
        """Add the handlers to an application."""
        application.router.add_post(_EXCHANGE, self._exchange)
        application.router.add_post(_SUPPLY, self._supply)
        application.router.add_post(_FETCH, self._fetch)
        application.router.add_post(_CLOSE, self._close)
        application.router.add_post(_NEWS, self._news)

    async def _exchange(self, request: web.Request) -> web.Response:
        message = await _decode(request, ExchangeRequest)
        return _respond(self._on_exchange(message))

    async def _supply(self, request: web.Request) -> web.Response:
        return _respond(self._on_supply(await _decode(request, SupplyRequest)))

    async def _fetch(self, request: web.Request) -> web.Response:
        return _respond(self._on_fetch(await _decode(request, FetchRequest)))

    async def _close(self, request: web.Request) -> web.Response:
        message = await _decode(request, CloseRequest)
        return _respond(await self._on_close(message))

    async def _news(self, request: web.Request) -> web.Response:
        self._on_news(await _decode(request, News))
        return _respond(News())


async def _decode(request: web.Request, kind: type[Message]) -> Message:
    try:
        return msgspec.json.decode(await request.read(), type=kind)
    except (msgspec.MsgspecError, RecursionError) as error:
        log_event(
            'bad_peer_message',
            level=logging.WARNING,
            sender=request.remote,
            path=request.path,
            detail=str(error)[:_DETAIL_CHARACTERS],
        )
        raise web.HTTPBadRequest(text='unreadable message') from error


def _respond(message: object) -> web.Response:
    return web.Response(body=msgspec.json.encode(message), content_type='application/json')
