"""HTTP/1.1 server for the listeners of an instance: small requests with JSON, answered in their order."""

import asyncio
import dataclasses
import logging
from collections.abc import Awaitable, Callable, Mapping
from http import HTTPStatus
from typing import Any, Final, TypeAlias, cast

import httptools

from fescuequay_entry.relay.bounded_log import BoundedLog
from fescuequay_entry.relay.http_head import encode_response

#: Largest size of a request, in bytes; the largest message between instances is a configuration of some 200 KB.
_MAX_REQUEST_BYTES: Final = 2_097_152

#: Most requests of one connection that wait for their answers.
_MAX_PIPELINED: Final = 16

#: Versions of HTTP that the server speaks.
_VERSIONS: Final = frozenset(('1.0', '1.1'))

#: Backlog of connections that wait to be accepted: all peers may connect at once.
_BACKLOG: Final = 256

#: Most open connections of a listener; beyond them, the one that has been idle for longest is closed.
_MAX_CONNECTIONS: Final = 2_048

#: Most bytes of answers that wait to be sent on all connections of a listener; beyond them, requests are refused.
_MAX_UNSENT_BYTES: Final = 16_777_216

#: Time for which a client may leave an answer unread before its connection is reset, in seconds: those who ask have
#: given up by then.
_UNREAD_TIMEOUT_S: Final = 2.0

#: Maximum length of an error in a log line.
_DETAIL_CHARACTERS: Final = 120


@dataclasses.dataclass(slots=True)
class Request:
    """A complete request.

    :param method: HTTP method.
    :param path: Path without the query.
    :param body: Body.
    :param sender: IP address of the client.
    """

    method: str
    path: str
    body: bytes
    sender: str


@dataclasses.dataclass(slots=True)
class Answer:
    """Answer to a request.

    :param status: Status code.
    :param body: Body.
    :param content_type: Its media type.
    """

    status: HTTPStatus = HTTPStatus.OK
    body: bytes = b''
    content_type: str = 'application/json'


#: Refusal of a request whose answer would wait behind too many others.
_OVERLOADED: Final = Answer(HTTPStatus.SERVICE_UNAVAILABLE)

Handler: TypeAlias = Callable[[Request], Awaitable[Answer]]

#: Handlers by method and path.
Routes: TypeAlias = Mapping[tuple[str, str], Handler]


class HttpServer:
    """Listens on one address.

    :param routes: Handlers by method and path; anything else is answered with 404.
    :param keep_alive_s: Idle time after which a connection is closed, in seconds.
    """

    def __init__(self, routes: Routes, keep_alive_s: float) -> None:
        self._routes = routes
        self._keep_alive_s = keep_alive_s
        self._connections = _Connections()
        self._server: asyncio.Server | None = None

    async def start(self, host: str, port: int) -> None:
        """Listen. :raises OSError: The address can't be used."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _ServerConnection(self._routes, self._keep_alive_s, self._connections),
            host,
            port,
            backlog=_BACKLOG,
            reuse_address=True,
        )

    @property
    def port(self) -> int:
        """:returns: The port that it listens on."""
        return int(self._server.sockets[0].getsockname()[1]) if self._server is not None else 0

    def stop(self) -> None:
        """Stop listening and close every connection."""
        if self._server is not None:
            self._server.close()
        for connection in self._connections.all():
            connection.close()


class _Connections:
    """The connections of a listener in the order of their latest requests, and those with unsent answers."""

    def __init__(self) -> None:
        # A dict, because it keeps the order.
        self._all: dict[_ServerConnection, None] = {}
        self._blocked: set[_ServerConnection] = set()
        self.log = BoundedLog('http_listener')

    def all(self) -> tuple['_ServerConnection', ...]:
        """:returns: Every open connection."""
        return tuple(self._all)

    def add(self, connection: '_ServerConnection') -> None:
        """Add a new connection, and close the one that has been idle for longest if there are too many."""
        self._all[connection] = None
        if len(self._all) > _MAX_CONNECTIONS:
            idle = next((other for other in self._all if other.is_idle), None)
            if idle is not None:
                idle.abort('too many connections')

    def remove(self, connection: '_ServerConnection') -> None:
        """Forget a connection that has ended."""
        self._all.pop(connection, None)
        self._blocked.discard(connection)

    def record_request(self, connection: '_ServerConnection') -> None:
        """Note that a connection is in use."""
        if connection in self._all:
            self._all[connection] = self._all.pop(connection)

    def set_blocked(self, connection: '_ServerConnection', *, is_blocked: bool) -> None:
        """Note whether a connection has unsent bytes."""
        if is_blocked:
            self._blocked.add(connection)
        else:
            self._blocked.discard(connection)

    def is_full(self) -> bool:
        """:returns: Whether so much waits to be sent that no further request is answered."""
        return sum(connection.unsent_bytes() for connection in self._blocked) > _MAX_UNSENT_BYTES


class _ServerConnection(asyncio.Protocol):
    """One client's connection; the parser of the library calls the ``on_`` methods."""

    def __init__(self, routes: Routes, keep_alive_s: float, connections: _Connections) -> None:
        self._routes = routes
        self._keep_alive_s = keep_alive_s
        self._connections = connections
        self._transport: asyncio.Transport | None = None
        self._parser: Any = httptools.HttpRequestParser(self)
        self._url = b''
        self._body: list[bytes] = []
        self._size = 0
        self._sender = '-'
        # Requests to answer, and the refusal of what can't be parsed, with whether the connection is kept after it.
        self._requests: asyncio.Queue[tuple[Request | Answer, bool]] = asyncio.Queue()
        self._is_ended = False
        self._answering: asyncio.Task[None] | None = None
        self._closing: asyncio.TimerHandle | None = None
        self._unread: asyncio.TimerHandle | None = None
        self._may_write = asyncio.Event()
        self._may_write.set()
        self._is_answering = False

    @property
    def is_idle(self) -> bool:
        """:returns: Whether it has no request to answer, and nothing to send."""
        return not self._is_answering and self._requests.empty() and self._may_write.is_set() and not self._size

    def unsent_bytes(self) -> int:
        """:returns: Size of what waits to be sent."""
        return self._transport.get_write_buffer_size() if self._transport is not None else 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin to answer requests."""
        self._transport = cast(asyncio.Transport, transport)
        # Any unsent byte counts as blocking, so that one answer at most waits to be sent.
        self._transport.set_write_buffer_limits(high=0)
        self._sender = str((transport.get_extra_info('peername') or ('-',))[0])
        self._connections.add(self)
        self._answering = asyncio.ensure_future(self._answer_all())
        self._restart_timer()

    def connection_lost(self, _error: Exception | None) -> None:
        """Stop answering."""
        self._connections.remove(self)
        self._transport = None
        for timer in (self._closing, self._unread):
            if timer is not None:
                timer.cancel()
        if self._answering is not None:
            self._answering.cancel()

    def pause_writing(self) -> None:
        """Answer no further request until the client has read what was sent, and wait for that only so long."""
        self._may_write.clear()
        self._connections.set_blocked(self, is_blocked=True)
        self._unread = asyncio.get_running_loop().call_later(_UNREAD_TIMEOUT_S, self.abort, 'answer unread')

    def resume_writing(self) -> None:
        """Answer requests again."""
        self._may_write.set()
        self._connections.set_blocked(self, is_blocked=False)
        if self._unread is not None:
            self._unread.cancel()

    def data_received(self, received: bytes) -> None:
        """Parse a part of a request; nothing behind the last one or behind what can't be parsed is a request."""
        if self._is_ended:
            return
        self._restart_timer()
        self._size += len(received)
        if self._size > _MAX_REQUEST_BYTES:
            self._reject(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, 'request too long')
            return
        try:
            self._parser.feed_data(received)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self._reject(HTTPStatus.BAD_REQUEST, str(error))

    def close(self) -> None:
        """Close the connection after sending pending output."""
        if self._transport is not None:
            self._transport.close()

    def abort(self, reason: str) -> None:
        """Reset the connection, and drop what waits to be sent."""
        if self._transport is not None:
            self._connections.log.log(
                'connection_reset',
                level=logging.INFO,
                sender=self._sender,
                reason=reason,
                unsent_bytes=self.unsent_bytes(),
            )
            self._transport.abort()

    def on_message_begin(self) -> None:
        """Forget the request before."""
        self._url = b''
        self._body = []

    def on_url(self, part: bytes) -> None:
        """Keep a part of the URL."""
        self._url += part

    def on_header(self, name: bytes, content: bytes) -> None:
        """Refuse a body in a coding that is not decoded."""
        if name.lower() == b'transfer-encoding' and content.strip(b' \t').lower() != b'chunked':
            self._reject(HTTPStatus.NOT_IMPLEMENTED, 'unsupported transfer coding')

    def on_headers_complete(self) -> None:
        """Refuse other versions, and changes to other protocols, behind which no HTTP follows."""
        version = self._parser.get_http_version()
        if version not in _VERSIONS:
            self._reject(HTTPStatus.HTTP_VERSION_NOT_SUPPORTED, f'HTTP version {version}')
        if self._parser.should_upgrade():
            self._reject(HTTPStatus.BAD_REQUEST, 'upgrade requested')

    def on_body(self, part: bytes) -> None:
        """Keep a part of the body."""
        self._body.append(part)

    def on_message_complete(self) -> None:
        """Queue the request."""
        self._size = 0
        if self._requests.qsize() >= _MAX_PIPELINED:
            self._reject(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, 'too many requests')
        if self._is_ended:
            return
        path = self._url.split(b'?')[0].decode('latin-1')
        method = self._parser.get_method().decode('latin-1')
        request = Request(method, path, b''.join(self._body), self._sender)
        is_kept = self._parser.should_keep_alive()
        self._is_ended = not is_kept
        self._requests.put_nowait((request, is_kept))

    async def _answer_all(self) -> None:
        while True:
            self._is_answering = False
            request, is_kept = await self._requests.get()
            self._is_answering = True
            self._connections.record_request(self)
            await self._may_write.wait()
            if isinstance(request, Answer):
                answer = _encode(request, is_kept=is_kept)
            elif self._connections.is_full():
                answer = _encode(_OVERLOADED, is_kept=is_kept)
            else:
                answer = await self._answer(request, is_kept=is_kept)
            if self._transport is None:
                return
            self._transport.write(answer)
            if not is_kept:
                self.close()
                return
            self._restart_timer()

    async def _answer(self, request: Request, *, is_kept: bool) -> bytes:
        handler = self._routes.get((request.method, request.path))
        if handler is None:
            return _encode(Answer(HTTPStatus.NOT_FOUND), is_kept=is_kept)
        try:
            return _encode(await handler(request), is_kept=is_kept)
        except Exception as error:  # noqa: BLE001 -- one request must not end the process
            self._connections.log.log(
                'handler_failed',
                level=logging.ERROR,
                sender=request.sender,
                path=request.path[:_DETAIL_CHARACTERS],
                error=repr(error)[:_DETAIL_CHARACTERS],
            )
            return _encode(Answer(HTTPStatus.INTERNAL_SERVER_ERROR), is_kept=is_kept)

    def _reject(self, status: HTTPStatus, detail: str) -> None:
        """Log one line, refuse what can't be parsed after the requests before it, and then close the connection."""
        if self._is_ended:
            return
        self._is_ended = True
        self._connections.log.log('bad_http_request', sender=self._sender, detail=detail[:_DETAIL_CHARACTERS])
        self._requests.put_nowait((Answer(status), False))

    def _restart_timer(self) -> None:
        if self._closing is not None:
            self._closing.cancel()
        self._closing = asyncio.get_running_loop().call_later(self._keep_alive_s, self.close)


def _encode(answer: Answer, *, is_kept: bool) -> bytes:
    """:returns: The bytes of an answer. :raises HeadError: Its media type is malformed."""
    fields = (
        ('Content-Type', answer.content_type),
        ('Content-Length', str(len(answer.body))),
        ('Connection', 'keep-alive' if is_kept else 'close'),
    )
    return encode_response(answer.status, fields) + answer.body
