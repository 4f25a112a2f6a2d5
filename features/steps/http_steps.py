"""Steps of the HTTP server of the instances, on loopback."""

import asyncio
import logging
from collections.abc import Awaitable, Callable
from typing import Any, Final
from unittest import mock

from behave import given, then, when
from hypothesis import given as any_of
from hypothesis import settings, strategies

from fescuequay_entry.relay import bounded_log
from fescuequay_entry.relay.http_server import Answer, HttpServer, Request, Routes
from fescuequay_entry.relay.peers import PeerApi

_HOST: Final = '127.0.0.1'
_KEEP_ALIVE_S: Final = 5.0
_TIMEOUT_S: Final = 2.0

#: Interval in which the number of lines is bounded, in seconds.
_LOG_INTERVAL_S: Final = 1.0

#: Time of a slow answer, in seconds.
_SLOW_S: Final = 0.05

_VALID: Final = b'POST /echo HTTP/1.1\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok'


class _Lines(logging.Handler):
    """Collects log lines."""

    def __init__(self) -> None:
        super().__init__()
        self.lines: list[str] = []

    def emit(self, record: logging.LogRecord) -> None:
        self.lines.append(f'{record.getMessage()} {getattr(record, "pairs", "")}')


async def _echo(request: Request) -> Answer:
    return Answer(body=request.body)


async def _fail(_request: Request) -> Answer:
    raise ValueError('x' * 1000)


async def _split(_request: Request) -> Answer:
    return Answer(content_type='text/plain\r\n\r\nHTTP/1.1 200 OK')


_ROUTES: Final = {('POST', '/echo'): _echo, ('POST', '/fail'): _fail, ('POST', '/split'): _split}


async def _send(port: int, sent: bytes) -> bytes:
    reader, writer = await asyncio.open_connection(_HOST, port)
    try:
        writer.write(sent)
        writer.write_eof()
        return await asyncio.wait_for(reader.read(), _TIMEOUT_S)
    except ConnectionError:
        return b''
    finally:
        writer.transport.abort()


def _with_server(step: Callable[[int], Awaitable[Any]], routes: Routes | None = None) -> tuple[Any, list[str]]:
    """Run a step against a server, and collect what is logged."""
    handler = _Lines()

    async def run() -> Any:
        server = HttpServer({**_ROUTES, **(routes or {})}, _KEEP_ALIVE_S)
        await server.start(_HOST, 0)
        try:
            return await step(server.port)
        finally:
            server.stop()

    log = logging.getLogger('fescuequay')
    # The environment of the features suppresses lines.
    earlier_level, disabled = log.level, logging.root.manager.disable
    log.addHandler(handler)
    log.setLevel(logging.INFO)
    logging.disable(logging.NOTSET)
    try:
        return asyncio.run(run()), handler.lines
    finally:
        logging.disable(disabled)
        log.setLevel(earlier_level)
        log.removeHandler(handler)


def _describe(received: bytes) -> str:
    """:returns: Status and body of each answer."""
    parts = [part.partition(b'\r\n\r\n') for part in received.split(b'HTTP/1.1 ') if part]
    return ', '.join(f'{head[:3].decode()} {body.decode()}'.strip() for head, _, body in parts)


@given('a listener that echoes the body of a POST to /echo')
def step_listener(context: Any) -> None:
    context.received = b''


@when('it gets the bytes {text}')
def step_bytes(context: Any, text: str) -> None:
    sent = text.encode().decode('unicode_escape').encode('latin-1')

    async def ask(port: int) -> tuple[bytes, bytes]:
        return await _send(port, sent), await _send(port, _VALID)

    (context.received, context.later), context.lines = _with_server(ask)


def _send_behind_slow(context: Any, sent: bytes) -> None:
    """Send bytes behind a request whose answer takes a while, and note the requests that are handled."""
    context.handled = []

    async def handle(request: Request) -> Answer:
        context.handled.append(request.body.decode())
        await asyncio.sleep(_SLOW_S if request.path == '/slow' else 0)
        return Answer(body=request.body)

    async def ask(port: int) -> bytes:
        reader, writer = await asyncio.open_connection(_HOST, port)
        writer.write(b'POST /slow HTTP/1.1\r\nContent-Length: 1\r\n\r\na' + sent)
        received = await asyncio.wait_for(reader.read(), _TIMEOUT_S)
        writer.close()
        return received

    routes = {(method, path): handle for method in ('GET', 'POST', 'CONNECT') for path in ('/slow', '/echo')}
    context.received, context.lines = _with_server(ask, routes)


@when('it gets a request that it answers slowly, and behind it {text}')
def step_bytes_behind(context: Any, text: str) -> None:
    _send_behind_slow(context, text.encode().decode('unicode_escape').encode('latin-1'))


@when('a slow request is followed by {count:d} requests')
def step_requests_behind(context: Any, count: int) -> None:
    _send_behind_slow(context, b'POST /echo HTTP/1.1\r\nContent-Length: 1\r\n\r\nb' * count)


@when('it gets {size:d} MB of a request of {total:d} MB')
def step_large(context: Any, size: int, total: int) -> None:
    head = f'POST /echo HTTP/1.1\r\nContent-Length: {total * 1_000_000}\r\n\r\n'.encode()

    async def ask(port: int) -> bytes:
        reader, writer = await asyncio.open_connection(_HOST, port)
        writer.write(head + b'x' * (size * 1_000_000))
        answer = await asyncio.wait_for(reader.readuntil(b'\r\n\r\n'), _TIMEOUT_S)
        writer.transport.abort()
        return answer

    context.received = _with_server(ask)[0]


@when('it gets {text} on {count:d} connections, one after the other')
def step_many_bad(context: Any, text: str, count: int) -> None:
    sent = text.encode().decode('unicode_escape').encode('latin-1')

    async def ask(port: int) -> None:
        for _ in range(count):
            await _send(port, sent)
        # Lets the interval end.
        await asyncio.sleep(_LOG_INTERVAL_S)

    with mock.patch.object(bounded_log, '_INTERVAL_S', _LOG_INTERVAL_S):
        news = PeerApi(*(_never for _ in range(5))).routes()
        context.lines = _with_server(ask, news)[1]


def _never(*_arguments: Any) -> Any:
    raise AssertionError('a malformed message was handled')


@then('it has logged {count:d} lines, and then one line that counts {more:d} more')
def step_few_lines(context: Any, count: int, more: int) -> None:
    assert len(context.lines) == count + 1, len(context.lines)
    assert context.lines[-1].startswith('lines_omitted') and f"'count': {more}" in context.lines[-1], context.lines[-1]


@then('it answers with {answers}')
def step_answers(context: Any, answers: str) -> None:
    assert _describe(context.received) == answers, context.received


@then('it first answers the slow one: {answers}')
def step_ordered_answers(context: Any, answers: str) -> None:
    assert _describe(context.received) == answers, context.received


@then('it has handled the requests {bodies}')
def step_handled(context: Any, bodies: str) -> None:
    assert ', '.join(context.handled) == bodies, context.handled


@then('it handles at most {count:d} of them, answers those first and the next one with {status:d}')
def step_most_handled(context: Any, count: int, status: int) -> None:
    handled = ['200 a', *('200 b' for _ in context.handled[1:])]
    assert _describe(context.received) == ', '.join((*handled, str(status))), context.received
    assert 1 < len(handled) <= count, handled


@then('it logged at most one line of at most {length:d} characters')
def step_lines(context: Any, length: int) -> None:
    assert len(context.lines) <= 1 and all(len(line) <= length for line in context.lines), context.lines


@then('it still answers a request on a new connection')
def step_later(context: Any) -> None:
    assert _describe(context.later) == '200 ok', context.later


@then('no arbitrary bytes end it')
def step_arbitrary(context: Any) -> None:
    @settings(max_examples=60, deadline=None, derandomize=True, database=None)
    @any_of(strategies.binary(max_size=300), strategies.booleans())
    def check(sent: bytes, is_after_line: bool) -> None:
        prefix = b'POST /echo HTTP/1.1\r\n' if is_after_line else b''

        async def ask(port: int) -> bytes:
            await _send(port, prefix + sent)
            return await _send(port, _VALID)

        received = _with_server(ask)[0]
        assert _describe(received) == '200 ok', (sent, received)

    check()
