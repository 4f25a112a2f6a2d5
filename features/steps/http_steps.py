"""Steps of the HTTP client and the HTTP server of the instances, on loopback."""

import asyncio
import logging
import time
from collections.abc import Awaitable, Callable
from typing import Any, Final
from unittest import mock

from behave import given, then, when
from hypothesis import given as any_of
from hypothesis import settings, strategies

from fescuequay_core.types import InstanceId, ServiceId, TargetId
from fescuequay_entry.relay import bounded_log
from fescuequay_entry.relay.authority import Authority
from fescuequay_entry.relay.http_client import HttpClient, HttpError
from fescuequay_entry.relay.http_server import Answer, HttpServer, Request, Routes
from fescuequay_entry.relay.messages import FetchAnswer, FetchRequest
from fescuequay_entry.relay.peers import HttpPeers, PeerApi
from fescuequay_platform.store import PlatformPromoter
from features.http_ends import EMPTY, ScriptedEnd

_HOST: Final = '127.0.0.1'
_KEEP_ALIVE_S: Final = 5.0
_TIMEOUT_S: Final = 2.0

#: Time that the client waits for an end that stays silent, in seconds.
_SILENCE_S: Final = 0.1

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


class _Generation:
    """Number of the connections that are answered; those of an earlier number are silent."""

    def __init__(self) -> None:
        self.number = 0


@given('an HTTP end that answers {answers}')
def step_end(context: Any, answers: str) -> None:
    context.end = ScriptedEnd(answers.split(', '))


async def _let_answers_arrive() -> None:
    await asyncio.sleep(0.02)


async def _hold_event_loop() -> None:
    # The event loop doesn't see what arrives meanwhile.
    time.sleep(0.1)


@when('a client sends {method} twice')
def step_twice(context: Any, method: str) -> None:
    _send_twice(context, method, _let_answers_arrive)


@when('a client sends {method} twice, and its event loop is held up between them')
def step_twice_held(context: Any, method: str) -> None:
    _send_twice(context, method, _hold_event_loop)


def _send_twice(context: Any, method: str, pause: Callable[[], Awaitable[None]]) -> None:
    async def ask(client: HttpClient, address: str) -> str:
        try:
            async with asyncio.timeout(_SILENCE_S):
                response = await client.request(method, address, '/x', query={'a': 'b c'})
        except HttpError:
            return 'error'
        except TimeoutError:
            return 'timeout'
        era = response.headers_by_name.get('era')
        return f'{response.status} {response.body.decode()}' + (f' of era {era}' if era else '')

    async def ask_twice(address: str) -> list[str]:
        client = HttpClient()
        results = []
        for _ in range(2):
            results.append(await ask(client, address))
            await pause()
        client.close()
        return results

    async def run() -> list[str]:
        address = await context.end.start()
        # On an event loop of its own, so that the other end goes on while the client's is held up.
        results = await asyncio.to_thread(asyncio.run, ask_twice(address))
        context.end.stop()
        return results

    context.results = asyncio.run(run())


class _Lease(Authority):
    """A lease that lasts for as long as a test."""

    def left_s(self) -> float:
        return _TIMEOUT_S


@when('two promotions are requested, one right after the other')
def step_promotions(context: Any) -> None:
    async def run() -> list[str]:
        promoter = PlatformPromoter(HttpClient(), await context.end.start())
        results = []
        for token in (1, 2):
            outcome = await promoter.promote(ServiceId('s'), TargetId('i-1'), InstanceId('a'), token, _Lease())
            results.append(outcome.name.lower())
        context.end.stop()
        return results

    context.results = asyncio.run(run())


@then('the results are {results}')
def step_results(context: Any, results: str) -> None:
    assert ', '.join(context.results) == results, context.results


@then('the end got {count:d} requests on {connections:d} connections')
def step_counts(context: Any, count: int, connections: int) -> None:
    assert (context.end.requests, context.end.connections) == (count, connections)


@given('an HTTP end that has answered {count:d} requests on as many connections, which then go silent')
def step_silent_end(context: Any, count: int) -> None:
    context.kept = count


async def _after_silence(kept: int, step: Callable[[HttpClient, str], Awaitable[Any]]) -> Any:
    """Run a step with a client whose kept connections have gone silent; new ones are answered.

    :param kept: Number of kept connections.
    :param step: Is given the client and the address of the other end.
    """
    present = _Generation()

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        opened_in = present.number
        try:
            while await reader.readuntil(b'\r\n\r\n'):
                if opened_in == present.number:
                    # Late enough for all first requests to be under way at a time.
                    await asyncio.sleep(_SILENCE_S / 5)
                    writer.write(EMPTY)
        except (asyncio.IncompleteReadError, ConnectionError):
            return
        finally:
            writer.close()

    server = await asyncio.start_server(serve, _HOST, 0)
    address = f'{_HOST}:{server.sockets[0].getsockname()[1]}'
    client = HttpClient()
    await asyncio.gather(*(client.request('POST', address, '/x') for _ in range(kept)))
    present.number += 1
    outcome = await step(client, address)
    client.close()
    server.close()
    # Lets the ends of the connections arrive.
    await asyncio.sleep(0.02)
    return outcome


@when('a client sends it {count:d} requests, each with a time limit')
def step_after_silence(context: Any, count: int) -> None:
    async def ask(client: HttpClient, address: str) -> str:
        try:
            async with asyncio.timeout(_SILENCE_S):
                return (await client.request('POST', address, '/x')).body.decode()
        except TimeoutError:
            return 'timeout'

    async def ask_all(client: HttpClient, address: str) -> list[str]:
        return [await ask(client, address) for _ in range(count)]

    context.results = asyncio.run(_after_silence(context.kept, ask_all))


@when('a client fetches a configuration from it')
def step_fetch_after_silence(context: Any) -> None:
    async def fetch(client: HttpClient, address: str) -> FetchAnswer:
        return await asyncio.wait_for(HttpPeers(client).fetch(address, FetchRequest(1)), _SILENCE_S)

    context.answer = asyncio.run(_after_silence(context.kept, fetch))


@then('it is answered at once')
def step_fetched(context: Any) -> None:
    assert context.answer == FetchAnswer(), context.answer


@then('the first gets no answer and the second is answered on a new connection')
def step_new_connection(context: Any) -> None:
    assert context.results == ['timeout', '{}'], context.results


@when('a client sends a request to a port at which nobody listens')
def step_refused(context: Any) -> None:
    async def run() -> None:
        end = ScriptedEnd([])
        address = await end.start()
        end.stop()
        await asyncio.sleep(0)
        try:
            await HttpClient().request('POST', address, '/x')
        except HttpError as error:
            context.error = error

    asyncio.run(run())


@when('a client sends {part} as {text}')
def step_odd_request(context: Any, part: str, text: str) -> None:
    odd = text.encode().decode('unicode_escape')
    method, path = odd if part == 'method' else 'POST', odd if part == 'path' else '/x'
    headers = {odd: 'a'} if part == 'name' else {'A': odd if part == 'header' else 'a'}

    async def run() -> None:
        address = await context.end.start() + (odd if part == 'address suffix' else '')
        try:
            await asyncio.wait_for(HttpClient().request(method, address, path, headers=headers), _TIMEOUT_S)
        except HttpError as error:
            context.error = error
        # Lets a request that was sent nevertheless arrive.
        await asyncio.sleep(0.02)
        context.end.stop()

    asyncio.run(run())


@then('the error says that nothing was sent')
def step_unsent(context: Any) -> None:
    assert context.error.is_unsent, context.error
