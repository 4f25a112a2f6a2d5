"""HTTP with JSON between instances: a client, and the handlers of the peer listener."""

import asyncio
from collections.abc import Awaitable, Callable
from http import HTTPStatus
from typing import Any, Final, TypeVar

import msgspec

from fescuequay_core.decoding import JsonDecoder, UnreadableError
from fescuequay_entry.relay.bounded_log import BoundedLog
from fescuequay_entry.relay.http_client import HttpClient, HttpError
from fescuequay_entry.relay.http_server import Answer, Handler, Request
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

_EXCHANGE: Final = '/peer/exchange'
_SUPPLY: Final = '/peer/supply'
_FETCH: Final = '/peer/fetch'
_CLOSE: Final = '/peer/close'
_NEWS: Final = '/peer/news'

_DECODERS_BY_KIND: Final[dict[type, JsonDecoder[Any]]] = {
    kind: JsonDecoder(kind)
    for kind in (
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
}

_BAD_REQUEST: Final = Answer(HTTPStatus.BAD_REQUEST, b'"unreadable message"')


class HttpPeers(Peers):
    """Sends messages to peers over HTTP.

    :param http: HTTP client; connections that time out are closed and not reused.
    """

    def __init__(self, http: HttpClient) -> None:
        self._http = http

    async def exchange(self, address: str, request: ExchangeRequest) -> ExchangeAnswer:
        """:returns: The coordinator's answer. :raises PeerError: There was none."""
        return await self._post(address, _EXCHANGE, request, ExchangeAnswer, PEER_TIMEOUT_S)

    async def supply(self, address: str, request: SupplyRequest) -> SupplyAnswer:
        """:returns: Tokens. :raises PeerError: There was no answer."""
        return await self._post(address, _SUPPLY, request, SupplyAnswer, PEER_TIMEOUT_S)

    async def fetch(self, address: str, request: FetchRequest) -> FetchAnswer:
        """:returns: The peer's configuration, if it is new enough. :raises PeerError: There was no answer."""
        # Rare and due within the bound of a configuration, so no time is lost on a silent connection.
        return await self._post(address, _FETCH, request, FetchAnswer, FETCH_TIMEOUT_S, is_fresh=True)

    async def close(self, address: str, request: CloseRequest, timeout_s: float) -> CloseAnswer:
        """:returns: The confirmation that the permit was released. :raises PeerError: There was none."""
        return await self._post(address, _CLOSE, request, CloseAnswer, timeout_s)

    async def send_news(self, address: str, news: News) -> None:
        """Notify a peer of a change. :raises PeerError: The peer did not answer."""
        await self._post(address, _NEWS, news, News, PEER_TIMEOUT_S)

    async def _post(
        self,
        address: str,
        path: str,
        body: object,
        kind: type[Message],
        timeout_s: float,
        *,
        is_fresh: bool = False,
    ) -> Message:
        raw = msgspec.json.encode(body)
        try:
            async with asyncio.timeout(timeout_s):
                response = await self._http.request('POST', address, path, body=raw, is_fresh=is_fresh)
            if response.status != HTTPStatus.OK:
                raise PeerError(f'{address} answered {response.status}')
            answer: Message = _DECODERS_BY_KIND[kind].decode(response.body)
            return answer
        except HttpError as error:
            raise PeerError(f'{address}: {error}', is_unsent=error.is_unsent) from error
        except TimeoutError as error:
            raise PeerError(f'{address}: no answer in {timeout_s:.2f} s') from error
        except UnreadableError as error:
            raise PeerError(f'{address}: unreadable answer: {error}') from error


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
        self._log = BoundedLog('peer_listener')

    def routes(self) -> dict[tuple[str, str], Handler]:
        """:returns: The handlers by method and path."""
        return {
            ('POST', _EXCHANGE): self._exchange,
            ('POST', _SUPPLY): self._supply,
            ('POST', _FETCH): self._fetch,
            ('POST', _CLOSE): self._close,
            ('POST', _NEWS): self._news,
        }

    async def _exchange(self, request: Request) -> Answer:
        message = self._decode(request, ExchangeRequest)
        return _BAD_REQUEST if message is None else _encode(self._on_exchange(message))

    async def _supply(self, request: Request) -> Answer:
        message = self._decode(request, SupplyRequest)
        return _BAD_REQUEST if message is None else _encode(self._on_supply(message))

    async def _fetch(self, request: Request) -> Answer:
        message = self._decode(request, FetchRequest)
        return _BAD_REQUEST if message is None else _encode(self._on_fetch(message))

    async def _close(self, request: Request) -> Answer:
        message = self._decode(request, CloseRequest)
        return _BAD_REQUEST if message is None else _encode(await self._on_close(message))

    async def _news(self, request: Request) -> Answer:
        message = self._decode(request, News)
        if message is None:
            return _BAD_REQUEST
        self._on_news(message)
        return _encode(News())

    def _decode(self, request: Request, kind: type[Message]) -> Message | None:
        """:returns: The message; nothing, after one log line, if it is malformed."""
        try:
            message: Message = _DECODERS_BY_KIND[kind].decode(request.body)
            return message
        except UnreadableError as error:
            self._log.log('bad_peer_message', sender=request.sender, path=request.path, detail=str(error))
            return None


def _encode(message: object) -> Answer:
    return Answer(body=msgspec.json.encode(message))
