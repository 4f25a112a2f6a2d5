"""HTTP/1.1 client for the table, the promoter and peers: one request at a time on each kept connection."""

import asyncio
import dataclasses
import logging
from collections.abc import Mapping
from http import HTTPStatus
from typing import Any, Final
from urllib.parse import urlencode

import httptools

from fescuequay_entry.relay import tcp_options
from fescuequay_entry.relay.authority import Authority, AuthorityEnded, run_within
from fescuequay_entry.relay.board import log_event
from fescuequay_entry.relay.http_head import HeadError, encode_request

#: Idle time after which a kept connection is not used again, in seconds; shorter than that of the listeners.
_KEEP_ALIVE_S: Final = 20.0

#: Largest body of a response, in bytes; a page of the table's rows has 1 MB.
_MAX_BODY_BYTES: Final = 8_388_608

#: Largest size of the header fields of a response, in bytes.
_MAX_FIELD_BYTES: Final = 65_536

#: Most bytes of one response: its interim responses, its fields and its body with the sizes of its chunks.
_MAX_RESPONSE_BYTES: Final = 2 * _MAX_BODY_BYTES

#: Versions of HTTP whose responses the client reads.
_VERSIONS: Final = frozenset(('1.0', '1.1'))

#: Statuses of responses that can't be used: those below the first of HTTP, and a change to another protocol.
_UNUSABLE_STATUSES: Final = frozenset((*range(HTTPStatus.CONTINUE), HTTPStatus.SWITCHING_PROTOCOLS))

#: Maximum length of a field in an error.
_DETAIL_CHARACTERS: Final = 40


class HttpError(Exception):
    """A request got no complete response.

    :param detail: What happened.
    :param is_unsent: Whether no connection was established, so that nothing was sent.
    """

    def __init__(self, detail: str, *, is_unsent: bool = False) -> None:
        super().__init__(detail)
        self.is_unsent = is_unsent


@dataclasses.dataclass(slots=True)
class Response:
    """A complete response.

    :param status: Its status code.
    :param headers_by_name: Its headers, by name in lower case.
    :param body: Its body.
    """

    status: int
    headers_by_name: dict[str, str]
    body: bytes


class _Connection(asyncio.Protocol):
    """One connection; the parser of the library calls the ``on_`` methods.

    :param address: Address of the other end.
    """

    def __init__(self, address: str) -> None:
        self._address = address
        self.idle_since = 0.0
        #: Whether the latest request was sent.
        self.is_sent = False
        self._transport: asyncio.Transport | None = None
        self._parser: Any = None
        self._headers_by_name: dict[str, str] = {}
        self._body: list[bytes] = []
        self._body_size = 0
        self._field_size = 0
        self._received = 0
        self._has_headers = False
        self._has_response = False
        self._response: asyncio.Future[Response] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport. A request that was given up must not arrive later."""
        self._transport = transport  # type: ignore[assignment]
        tcp_options.reset_at_close(transport)

    def data_received(self, received: bytes) -> None:
        """Parse a part of a response; bytes that belong to no request end the connection."""
        if self._response is None or self._response.done():
            self._close_surplus(len(received))
            return
        self._has_response = True
        self._received += len(received)
        if self._received > _MAX_RESPONSE_BYTES:
            self._fail(f'response longer than {_MAX_RESPONSE_BYTES} bytes')
            return
        # Parsed by itself, the last byte shows whether the response ended before it.
        view = memoryview(received)
        self._parse(view[:-1])
        if self._response.done():
            self._close_surplus(len(received))
        else:
            self._parse(view[-1:])

    def connection_lost(self, error: Exception | None) -> None:
        """End the response; one without a length ends with the connection."""
        self._transport = None
        if self._response is None or self._response.done():
            return
        has_length = 'content-length' in self._headers_by_name or 'transfer-encoding' in self._headers_by_name
        if self._has_headers and not has_length and error is None:
            self.on_message_complete()
        else:
            self._fail(f'connection lost: {error}' if error else 'connection closed before the end of the response')

    @property
    def is_open(self) -> bool:
        """:returns: Whether another request can be sent on it."""
        return self._transport is not None and not self._transport.is_closing()

    @property
    def has_response(self) -> bool:
        """:returns: Whether any byte of the latest response has arrived."""
        return self._has_response

    async def send(self, message: bytes, authority: Authority | None) -> Response:
        """Send a request and wait for its response.

        :param message: The request.
        :param authority: Authority for the request; it is checked at the moment of sending.
        :returns: The response.
        :raises HttpError: There was no complete one.
        """
        self.is_sent = False
        transport = self._unused_transport()
        if authority is not None:
            left_s = authority.left_s()
            if left_s <= 0:
                raise HttpError('the authority ended before the request was sent', is_unsent=True)
            tcp_options.drop_unacknowledged_after(transport, left_s)
        self._parser = httptools.HttpResponseParser(self)
        self._headers_by_name = {}
        self._body = []
        self._body_size = self._field_size = self._received = 0
        self._has_headers = self._has_response = False
        self._response = asyncio.get_running_loop().create_future()
        self.is_sent = True
        transport.write(message)
        return await self._response

    def close(self) -> None:
        """Close the connection at once."""
        if self._transport is not None:
            self._transport.abort()

    def on_header(self, name: bytes, content: bytes) -> None:
        """Keep a header; fields behind the body are none, and those of the same name are one list."""
        if self._has_headers:
            return
        self._field_size += len(name) + len(content)
        if self._field_size > _MAX_FIELD_BYTES:
            self._fail(f'header fields longer than {_MAX_FIELD_BYTES} bytes')
            return
        key = name.decode('latin-1').lower()
        text = content.decode('latin-1').strip(' \t')
        before = self._headers_by_name.get(key)
        self._headers_by_name[key] = text if before is None else f'{before}, {text}'

    def on_headers_complete(self) -> None:
        """Note that the body begins, and check that its end can be told."""
        if self._has_headers:
            return
        self._has_headers = True
        version = self._parser.get_http_version()
        if version not in _VERSIONS:
            self._fail(f'response of HTTP version {version}')
        coding = self._headers_by_name.get('transfer-encoding', 'chunked')
        if coding.lower() != 'chunked':
            self._fail(f'response with unsupported transfer coding {coding[:_DETAIL_CHARACTERS]!r}')

    def on_body(self, part: bytes) -> None:
        """Keep a part of the body."""
        self._body_size += len(part)
        if self._body_size > _MAX_BODY_BYTES:
            self._fail(f'response longer than {_MAX_BODY_BYTES} bytes')
            return
        self._body.append(part)

    def on_message_complete(self) -> None:
        """Hand the response over, unless it is an interim one, behind which the final one follows."""
        if self._response is None or self._response.done():
            return
        status = self._parser.get_status_code()
        if status in _UNUSABLE_STATUSES:
            self._fail(f'response with status {status}')
            return
        if status < HTTPStatus.OK:
            self._headers_by_name = {}
            self._has_headers = False
            return
        if not self._parser.should_keep_alive():
            self.close()
        self._response.set_result(Response(status, self._headers_by_name, b''.join(self._body)))

    def _unused_transport(self) -> asyncio.Transport:
        """:returns: The transport, on which nothing has arrived that the event loop has yet to read.

        :raises HttpError: There is none; what has arrived can't be the response to a request that is still to be sent.
        """
        if self._transport is None or self._transport.is_closing():
            raise HttpError('connection closed', is_unsent=True)
        if tcp_options.has_arrived(self._transport):
            raise HttpError('bytes or the end of the connection arrived before the request was sent', is_unsent=True)
        return self._transport

    def _close_surplus(self, size: int) -> None:
        """Close the connection, since nobody can tell to which request the bytes behind a response belong."""
        if self.is_open:
            log_event('surplus_response_bytes', level=logging.WARNING, address=self._address, size=size)
        self.close()

    def _parse(self, part: memoryview) -> None:
        if not part:
            return
        try:
            self._parser.feed_data(part)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self._fail(f'malformed response: {error}')

    def _fail(self, detail: str) -> None:
        if self._response is not None and not self._response.done():
            self._response.set_exception(HttpError(detail))
        self.close()


class HttpClient:
    """Sends requests and keeps connections open for later ones; callers set the time limits."""

    def __init__(self) -> None:
        self._idle_by_address: dict[str, list[_Connection]] = {}
        self._swept_at = 0.0

    async def request(  # noqa: WPS211 -- the parts of a request
        self,
        method: str,
        address: str,
        path: str,
        *,
        query: Mapping[str, str] | None = None,
        body: bytes = b'',
        headers: Mapping[str, str] | None = None,
        is_fresh: bool = False,
        authority: Authority | None = None,
    ) -> Response:
        """Send a request. A connection whose request is cancelled, as by a time limit, is reset.

        :param method: HTTP method.
        :param address: ``host:port``.
        :param path: Path without a query.
        :param query: Parameters of the query.
        :param body: Body, as JSON.
        :param headers: Further headers.
        :param is_fresh: Whether to open a new connection, since one that was kept may have gone silent.
        :param authority: Authority for a request that changes something. The request is sent only while it lasts, and
            given up when it ends, at the latest as it stands at the moment of sending.
        :raises HttpError: There was no complete response, or the request can't be encoded.
        """
        target = f'{path}?{urlencode(query)}' if query else path
        message = _encode(method, address, target, body, headers or {})
        connection = None if is_fresh else self._take_idle(address)
        if connection is not None:
            try:
                return await self._send(connection, address, message, authority)
            except HttpError:
                # The other end may close a kept connection at any time. Only a read is sent again, and only if
                # nothing of the response has arrived.
                if connection.is_sent and (method != 'GET' or connection.has_response):
                    raise
        return await self._send(await _connect_within(address, authority), address, message, authority)

    def close(self) -> None:
        """Close all idle connections."""
        for connections in self._idle_by_address.values():
            for connection in connections:
                connection.close()
        self._idle_by_address.clear()

    async def _send(
        self, connection: _Connection, address: str, message: bytes, authority: Authority | None
    ) -> Response:
        if authority is None:
            return await self._exchange(connection, address, message, None)
        connection.is_sent = False
        try:
            return await run_within(authority, self._exchange(connection, address, message, authority))
        except AuthorityEnded:
            connection.close()
            raise HttpError('no response while the authority lasted', is_unsent=not connection.is_sent) from None

    async def _exchange(
        self, connection: _Connection, address: str, message: bytes, authority: Authority | None
    ) -> Response:
        try:
            response = await connection.send(message, authority)
        except asyncio.CancelledError:
            connection.close()
            # What silenced this connection may have silenced those that were kept; a new one shows whether the other
            # end is gone.
            self._close_idle(address)
            raise
        except BaseException:
            connection.close()
            raise
        if connection.is_open:
            connection.idle_since = asyncio.get_running_loop().time()
            self._idle_by_address.setdefault(address, []).append(connection)
            self._close_expired(connection.idle_since)
        return response

    def _close_idle(self, address: str) -> None:
        for connection in self._idle_by_address.pop(address, []):
            connection.close()

    def _close_expired(self, now: float) -> None:
        """Close connections to any address that have been idle for too long, so that none stays open for good."""
        if now - self._swept_at < _KEEP_ALIVE_S / 2:
            return
        self._swept_at = now
        for address, connections in tuple(self._idle_by_address.items()):
            kept = []
            for connection in connections:
                if connection.is_open and connection.idle_since > now - _KEEP_ALIVE_S:
                    kept.append(connection)
                else:
                    connection.close()
            if kept:
                self._idle_by_address[address] = kept
            else:
                self._idle_by_address.pop(address)

    def _take_idle(self, address: str) -> _Connection | None:
        oldest = asyncio.get_running_loop().time() - _KEEP_ALIVE_S
        connections = self._idle_by_address.get(address, [])
        while connections:
            connection = connections.pop()
            if connection.is_open and connection.idle_since > oldest:
                return connection
            connection.close()
        self._idle_by_address.pop(address, None)
        return None


async def _connect_within(address: str, authority: Authority | None) -> _Connection:
    """Connect for as long as the authority for the request lasts. :raises HttpError: There is no connection."""
    if authority is None:
        return await _connect(address)
    try:
        return await run_within(authority, _connect(address))
    except AuthorityEnded:
        raise HttpError('the authority ended before a connection was open', is_unsent=True) from None


async def _connect(address: str) -> _Connection:
    host, _, port = address.rpartition(':')
    try:
        _, connection = await asyncio.get_running_loop().create_connection(
            lambda: _Connection(address), host, int(port)
        )
    except (OSError, ValueError, OverflowError) as error:
        raise HttpError(f'{type(error).__name__} {error}', is_unsent=True) from error
    return connection


def _encode(method: str, address: str, target: str, body: bytes, headers: Mapping[str, str]) -> bytes:
    """:returns: The bytes of a request. :raises HttpError: A part of its head is malformed."""
    fields = [('Host', address), ('Content-Length', str(len(body)))]
    if body:
        fields.append(('Content-Type', 'application/json'))
    try:
        return encode_request(method, target, (*fields, *headers.items())) + body
    except HeadError as error:
        raise HttpError(str(error), is_unsent=True) from error
