"""Steps about what waits at the HTTP listeners and in the client, on loopback."""

import asyncio
import contextlib
from collections.abc import AsyncIterator
from typing import Any, Final
from unittest import mock

from behave import given, then, when

from fescuequay_entry.relay import http_client, http_server
from fescuequay_entry.relay.http_client import HttpClient
from fescuequay_entry.relay.http_server import Answer, HttpServer, Request

_HOST: Final = '127.0.0.1'
_KEEP_ALIVE_S: Final = 30.0
_TIMEOUT_S: Final = 5.0
_REQUEST: Final = b'GET /x HTTP/1.1\r\nHost: a\r\n\r\n'

#: Receive buffer of a client that reads nothing, in bytes.
_WINDOW_BYTES: Final = 4096


class _Listener:
    """Counts the requests that it answers.

    :param size: Size of each answer, in bytes.
    """

    def __init__(self, size: int) -> None:
        self._body = b'x' * size
        self.handled = 0
        self.port = 0

    @contextlib.asynccontextmanager
    async def listening(self) -> AsyncIterator['_Listener']:
        """Listen for as long as the context lasts."""
        server = HttpServer({('GET', '/x'): self._answer}, _KEEP_ALIVE_S)
        await server.start(_HOST, 0)
        self.port = server.port
        try:
            yield self
        finally:
            server.stop()

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """:returns: A connection that reads ahead little."""
        return await asyncio.open_connection(_HOST, self.port, limit=_WINDOW_BYTES)

    async def _answer(self, _request: Request) -> Answer:
        self.handled += 1
        return Answer(body=self._body)


async def _write_until_reset(writer: asyncio.StreamWriter) -> None:
    """:raises ConnectionError: The connection was reset, so that a write fails."""
    while True:
        await asyncio.sleep(0.1)
        writer.write(b'\r\n')
        await writer.drain()


@given('a listener with answers of {size:d} MB')
def step_listener(context: Any, size: int) -> None:
    context.listener = _Listener(size * 1_000_000)


@when('a client sends {count:d} requests and reads nothing')
def step_unread(context: Any, count: int) -> None:
    async def run() -> None:
        async with context.listener.listening() as listener:
            _, writer = await listener.connect()
            writer.write(_REQUEST * count)
            began_at = asyncio.get_running_loop().time()
            with contextlib.suppress(TimeoutError, ConnectionError):
                await asyncio.wait_for(_write_until_reset(writer), _TIMEOUT_S)
            context.took_s = asyncio.get_running_loop().time() - began_at
            writer.transport.abort()

    asyncio.run(run())


@then('it handles at most {count:d} of them and resets the connection within {limit:g} s')
def step_reset(context: Any, count: int, limit: float) -> None:
    assert 1 <= context.listener.handled <= count, context.listener.handled
    assert context.took_s <= limit, context.took_s


@when('{count:d} clients send a request and read nothing')
def step_many_unread(context: Any, count: int) -> None:
    async def run() -> None:
        async with context.listener.listening() as listener:
            writers = []
            for _ in range(count):
                _, writer = await listener.connect()
                writer.write(_REQUEST)
                writers.append(writer)
            await asyncio.sleep(0.5)
            reader, writer = await listener.connect()
            writer.write(_REQUEST)
            context.status = await asyncio.wait_for(reader.readline(), _TIMEOUT_S)
            for each in (*writers, writer):
                each.transport.abort()

    asyncio.run(run())


@then('a further request is refused at once with {status:d}')
def step_refused(context: Any, status: int) -> None:
    assert f' {status} '.encode() in context.status, context.status


@given('a listener that holds {count:d} connections')
def step_small_listener(context: Any, count: int) -> None:
    context.listener = _Listener(1)
    context.most = count


@when('{count:d} clients connect one after the other')
def step_connect(context: Any, count: int) -> None:
    async def run() -> None:
        async with context.listener.listening() as listener:
            ends = []
            for _ in range(count):
                ends.append(await listener.connect())
                await asyncio.sleep(0.02)
            ends[-1][1].write(_REQUEST)
            context.status = await asyncio.wait_for(ends[-1][0].readline(), _TIMEOUT_S)
            context.ended = [index for index, (reader, _) in enumerate(ends) if reader.exception() or reader.at_eof()]
            for _, writer in ends:
                writer.transport.abort()

    with mock.patch.object(http_server, '_MAX_CONNECTIONS', context.most):
        asyncio.run(run())


@then('the 2 that were idle for longest are closed, and the last is answered')
def step_longest(context: Any) -> None:
    assert context.ended == [0, 1], context.ended
    assert b' 200 ' in context.status, context.status


@given('a client that keeps connections for {keep_s:g} s')
def step_client(context: Any, keep_s: float) -> None:
    context.keep_s = keep_s


@when('it asks one peer once, and another one for {seconds:g} s')
def step_asks(context: Any, seconds: float) -> None:
    async def run() -> None:
        async with _Listener(1).listening() as first, _Listener(1).listening() as other:
            client = HttpClient()
            await client.request('GET', f'{_HOST}:{first.port}', '/x')
            until = asyncio.get_running_loop().time() + seconds
            while asyncio.get_running_loop().time() < until:
                await client.request('GET', f'{_HOST}:{other.port}', '/x')
                await asyncio.sleep(0.02)
            context.first, context.other = f'{_HOST}:{first.port}', f'{_HOST}:{other.port}'
            context.kept = set(client._idle_by_address)
            client.close()

    with mock.patch.object(http_client, '_KEEP_ALIVE_S', context.keep_s):
        asyncio.run(run())


@then('it has closed the connection to the first one')
def step_closed(context: Any) -> None:
    assert context.kept == {context.other}, context.kept
