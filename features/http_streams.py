"""Random streams of HTTP messages, in random parts, and what the product makes of them without a network."""

import asyncio
import dataclasses
import socket
from collections.abc import Sequence
from typing import Any, Final
from unittest import mock

from hypothesis import strategies

from fescuequay_entry.relay import bounded_log, http_client, http_server
from fescuequay_entry.relay.http_server import Answer, Request

_KEEP_ALIVE_S: Final = 5.0

_STARTS: Final = (
    b'POST /a HTTP/1.1',
    b'GET /b?c=d HTTP/1.1',
    b'PUT /a HTTP/1.0',
    b'POST /a HTTP/1.0',
    b'POST /a HTTP/2.0',
    b'GET /a',
    b'POST  /a  HTTP/1.1',
    b'CONNECT a:80 HTTP/1.1',
    b'\r\nPOST /a HTTP/1.1',
    b'\nPOST /a HTTP/1.1',
)
_STATUS_LINES: Final = (
    b'HTTP/1.1 200 OK',
    b'HTTP/1.1 200 OK',
    b'HTTP/1.0 200 OK',
    b'HTTP/1.1 100 Continue',
    b'HTTP/1.1 103 Early Hints',
    b'HTTP/1.1 101 Switching',
    b'HTTP/1.1 204 No Content',
    b'HTTP/1.1 304 Not Modified',
    b'HTTP/1.1 500',
    b'HTTP/1.1 099 Low',
    b'HTTP/2.0 200 OK',
)
_FIELDS: Final = (
    b'Content-Length: 3',
    b'content-length:3 ',
    b'Content-Length: 0',
    b'Content-Length: 03',
    b'Content-Length: -3',
    b'Content-Length: +3',
    b'Content-Length: 3, 3',
    b'Content-Length: 99999999999999999999',
    b'Content-Length:',
    b'Content-Length : 3',
    b'Transfer-Encoding: chunked',
    b'Transfer-Encoding: Chunked ',
    b'Transfer-Encoding: gzip, chunked',
    b'Transfer-Encoding: identity',
    b'Connection: close',
    b'Connection: keep-alive',
    b'Connection: Upgrade',
    b'Upgrade: h2c',
    b'Host: a',
    b'A: b',
    b'A: b\r\n c',
    b'A: b\nB: c',
    b' A: b',
    b'A',
    b'A: \x80\t',
)
_BODIES: Final = (
    b'',
    b'abc',
    b'3\r\nabc\r\n0\r\n\r\n',
    b'3;a=b\r\nabc\r\n0;c\r\nA: b\r\n\r\n',
    b'03\r\nabc\r\n0\r\nContent-Length: 3\r\n\r\n',
    b'3\nabc\r\n0\r\n\r\n',
    b'4\r\nabc\r\n0\r\n\r\n',
    b'2\r\nabc\r\n0\r\n\r\n',
    b'-3\r\nabc\r\n0\r\n\r\n',
    b'0x3\r\nabc\r\n0\r\n\r\n',
    b'fffffffffffffffff\r\nabc\r\n0\r\n\r\n',
    b'3 \r\nabc\r\n0\r\n\r\n',
)

#: Bytes that mutations insert.
_ODD_BYTES: Final = (b'\r', b'\n', b'\0', b' ', b'\t', b':', b'\r\n', b'\x80', b'0')


@dataclasses.dataclass(frozen=True, slots=True)
class Stream:
    """The bytes of one connection.

    :param raw: The bytes.
    :param cuts: Places at which they are parted.
    """

    raw: bytes
    cuts: tuple[int, ...]

    def parts(self) -> list[bytes]:
        """:returns: The parts, of which none is empty."""
        places = sorted({0, *(cut % (len(self.raw) + 1) for cut in self.cuts), len(self.raw)})
        return [self.raw[begin:end] for begin, end in zip(places, places[1:], strict=False)]


def _messages(starts: Sequence[bytes]) -> strategies.SearchStrategy[bytes]:
    plain = strategies.builds(
        lambda start, fields, body: b'\r\n'.join((start, *fields, b'', body)),
        strategies.sampled_from(starts),
        strategies.lists(strategies.sampled_from(_FIELDS), max_size=3),
        strategies.sampled_from(_BODIES),
    )
    # Without these most streams would end at their first message.
    whole = strategies.sampled_from(
        [b'\r\n'.join((start, field, b'', body)) for start in starts[:2] for field, body in _WHOLE]
    )
    return strategies.one_of(whole, plain)


_WHOLE: Final = (
    (b'Content-Length: 3', b'abc'),
    (b'Content-Length: 0', b''),
    (b'Transfer-Encoding: chunked', b'3;a=b\r\nabc\r\n0\r\nA: b\r\n\r\n'),
)


@strategies.composite
def _streams(draw: Any, starts: Sequence[bytes]) -> Stream:
    raw = b''.join(draw(strategies.lists(_messages(starts), min_size=1, max_size=4)))
    for place, kept, odd in draw(
        strategies.lists(
            strategies.tuples(strategies.integers(0, 500), strategies.booleans(), strategies.sampled_from(_ODD_BYTES)),
            max_size=1,
        )
    ):
        at = place % (len(raw) + 1)
        raw = raw[:at] + odd + raw[at if kept else at + 1 :]
    return Stream(raw, draw(strategies.lists(strategies.integers(0, 500), max_size=4).map(tuple)))


def request_streams() -> strategies.SearchStrategy[Stream]:
    """:returns: Streams of requests, some of them malformed."""
    return _streams(_STARTS)


def response_streams() -> strategies.SearchStrategy[Stream]:
    """:returns: Streams of responses, some of them malformed."""
    return _streams(_STATUS_LINES)


class _Transport(asyncio.Transport):
    """Keeps what is written, and tells its protocol of its end as the event loop would."""

    def __init__(self, protocol: asyncio.Protocol) -> None:
        self._socket, self._other = socket.socketpair()
        super().__init__({'socket': self._socket, 'peername': ('a', 1)})
        self._protocol = protocol
        self.written = b''
        self.is_closed = False

    def write(self, sent: Any) -> None:
        if not self.is_closed:
            self.written += sent

    def is_closing(self) -> bool:
        return self.is_closed

    def close(self) -> None:
        if not self.is_closed:
            self.is_closed = True
            asyncio.get_running_loop().call_soon(self._protocol.connection_lost, None)

    abort = close

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        pass

    def get_write_buffer_size(self) -> int:
        return 0

    def release(self) -> None:
        """Close the sockets."""
        self._socket.close()
        self._other.close()


class _Everything(dict[Any, Any]):
    """Routes of which each leads to one handler."""

    def __init__(self, handler: Any) -> None:
        super().__init__()
        self._handler = handler

    def get(self, _key: Any, default: Any = None) -> Any:
        return self._handler


async def _settle() -> None:
    for _ in range(40):
        await asyncio.sleep(0)


def serve(parts: Sequence[bytes]) -> tuple[list[tuple[str, str, bytes]], bytes, bool]:
    """:returns: The requests that a listener handles, what it answers, and whether it closes the connection."""
    handled = []

    async def handle(request: Request) -> Answer:
        handled.append((request.method, request.path, request.body))
        await asyncio.sleep(0)
        return Answer(body=request.body)

    async def run() -> tuple[bytes, bool]:
        connection = http_server._ServerConnection(_Everything(handle), _KEEP_ALIVE_S, http_server._Connections())
        transport = _Transport(connection)
        connection.connection_made(transport)
        for part in parts:
            if not transport.is_closed:
                connection.data_received(part)
        await _settle()
        outcome = transport.written, transport.is_closed
        transport.close()
        await _settle()
        transport.release()
        return outcome

    with mock.patch.object(bounded_log, 'log_event'):
        return handled, *asyncio.run(run())


def receive(parts: Sequence[bytes]) -> tuple[http_client.Response | None, bool]:
    """:returns: The response in what a client receives until the end, and whether it keeps the connection."""

    async def run() -> tuple[http_client.Response | None, bool]:
        connection = http_client._Connection('a')
        transport = _Transport(connection)
        connection.connection_made(transport)
        answer = asyncio.ensure_future(connection.send(b'', None))
        await asyncio.sleep(0)
        for part in parts:
            if not transport.is_closed:
                connection.data_received(part)
        await _settle()
        is_kept = answer.done() and not transport.is_closed
        transport.close()
        try:
            return await answer, is_kept
        except http_client.HttpError:
            return None, False
        finally:
            transport.release()

    with mock.patch.object(http_client, 'log_event'):
        return asyncio.run(run())
