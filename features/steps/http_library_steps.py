"""Steps about what the HTTP library does by itself in the clients and listeners that use it."""

import asyncio
import re
import time
from collections.abc import Awaitable, Callable
from typing import Any, Final

import aiohttp
from aiohttp import web
from behave import given, then, when

from fescuequay_core.events import Member, WriteResult
from fescuequay_core.requests import Answer, Request, ResultSet
from fescuequay_core.types import InstanceId, RequestId, RequestKind, RouteId
from fescuequay_ctl.operations import Operations
from fescuequay_entry.callers import CallersApi
from fescuequay_entry.config import Settings
from fescuequay_entry.http_session import open_session
from fescuequay_entry.peers import PeerClient, PeerError, encode_answer
from fescuequay_entry.platform import HttpPlatform, PlatformError

_HOST: Final = '127.0.0.1'
_TIMEOUT_S: Final = 2.0
_SLOW_S: Final = 0.05
_STATEMENT: Final = b'POST /v1/r/statements HTTP/1.1\r\nHost: a\r\nContent-Length: 13\r\n\r\n{"sql":"yes"}'


async def _serve(app: web.Application, step: Callable[[str], Awaitable[Any]]) -> Any:
    """Run a step while a server listens; the step is given its address."""
    runner = web.AppRunner(app, shutdown_timeout=0.1)
    await runner.setup()
    await web.TCPSite(runner, _HOST, 0).start()
    try:
        return await step(f'{_HOST}:{runner.addresses[0][1]}')
    finally:
        await runner.cleanup()


async def _has_written(platform: HttpPlatform) -> bool:
    return (await platform.write('key', b'1', None))[0] is not WriteResult.UNKNOWN


async def _has_status(http: aiohttp.ClientSession, address: str) -> bool:
    member = Member(InstanceId('a'), 'dc', address, is_leaving=False)
    return await Operations(http, f'http://{address}')._fetch(member, '/status') is not None


def _calls(http: aiohttp.ClientSession, address: str) -> dict[str, Callable[[], Awaitable[Any]]]:
    platform = HttpPlatform(http, f'http://{address}', 'dc')
    peers = PeerClient(http, (b'secret',), _TIMEOUT_S)
    request = Request(RequestId('1'), RequestKind.STATEMENT, RouteId('r'), time.monotonic() + _TIMEOUT_S)
    return {
        'a forwarded request': lambda: peers.forward(address, request),
        'a write of a row': lambda: _has_written(platform),
        'a read of a row': lambda: platform.read('key', None),
        'the storage of an object': lambda: platform.put(b'text'),
        'the list of instances': platform.members,
        'a status by an operator': lambda: _has_status(http, address),
    }


@given('an HTTP server that answers everything with {status:d} and another place')
def step_elsewhere(context: Any, status: int) -> None:
    context.moved = []

    async def answer(request: web.Request) -> web.Response:
        if request.path != '/elsewhere':
            return web.Response(status=status, headers={'Location': '/elsewhere'}, text='[]')
        context.moved.append(request.method)
        return web.Response(text='["1"]')

    context.app = web.Application()
    context.app.router.add_route('*', '/{path:.*}', answer)


@when('{what} is requested')
def step_request(context: Any, what: str) -> None:
    async def ask(address: str) -> bool:
        async with aiohttp.ClientSession() as http:
            try:
                return await _calls(http, address)[what]() is not False
            except (PeerError, PlatformError) as error:
                context.may_have_run = getattr(error, 'may_have_run', None)
                return False

    context.is_done = asyncio.run(_serve(context.app, ask))


@then('it has failed, and the other place was asked for nothing')
def step_failed(context: Any) -> None:
    assert (context.is_done, context.moved) == (False, []), (context.is_done, context.moved)


@given('an HTTP server that answers everything with a change to another protocol')
def step_protocol(context: Any) -> None:
    _answer_all(context, lambda: web.Response(status=101))


@given('an HTTP server that answers everything with the answer to another request')
def step_other_answer(context: Any) -> None:
    _answer_all(context, lambda: web.Response(body=encode_answer(Answer(RequestId('other')))))


def _answer_all(context: Any, response: Callable[[], web.Response]) -> None:
    async def answer(_request: web.Request) -> web.Response:
        return response()

    context.app = web.Application()
    context.app.router.add_route('*', '/{path:.*}', answer)


@then('it has failed, and may have run')
def step_unknown(context: Any) -> None:
    assert (context.is_done, context.may_have_run) == (False, True), (context.is_done, context.may_have_run)


@when('the library sends a write twice, and the event loop runs between them')
def step_writes(context: Any) -> None:
    _write_twice(context, _let_answers_arrive)


@when('the library sends a write twice, and the event loop is held up between them')
def step_writes_held(context: Any) -> None:
    _write_twice(context, _hold_event_loop)


def _write_twice(context: Any, pause: Callable[[], Awaitable[None]]) -> None:
    async def ask(http: aiohttp.ClientSession, address: str) -> str:
        async with http.post(f'http://{address}/x', timeout=aiohttp.ClientTimeout(total=_TIMEOUT_S)) as response:
            return f'{response.status} {await response.text()}'

    async def ask_twice(address: str) -> list[str]:
        async with open_session() as http:
            first = await ask(http, address)
            await pause()
            return [first, await ask(http, address)]

    async def run() -> list[str]:
        address = await context.end.start()
        results = await asyncio.to_thread(asyncio.run, ask_twice(address))
        context.end.stop()
        return results

    context.results = asyncio.run(run())


async def _let_answers_arrive() -> None:
    await asyncio.sleep(0.1)


async def _hold_event_loop() -> None:
    time.sleep(0.1)


@given('a platform that lists an instance, which keeps the subjects that it is asked about')
def step_explaining(context: Any) -> None:
    context.asked = []

    async def explain(request: web.Request) -> web.Response:
        context.asked.append(request.match_info['subject'])
        return web.json_response([])

    async def members(request: web.Request) -> web.Response:
        return web.json_response([{'instance': 'a', 'data_centre': 'dc', 'peer_address': request.host}])

    context.app = web.Application()
    context.app.router.add_get('/explain/{subject}', explain)
    context.app.router.add_get('/instances', members)


@when('an operator asks about the subject {text}')
def step_explain(context: Any, text: str) -> None:
    async def ask(address: str) -> None:
        async with open_session() as http:
            await Operations(http, f'http://{address}').explain(_unescape(text))

    asyncio.run(_serve(context.app, ask))


@then('the instance was asked about {text} alone')
def step_explained(context: Any, text: str) -> None:
    assert context.asked == [_unescape(text)], context.asked


def _unescape(text: str) -> str:
    return text.replace('\\r', '\r').replace('\\n', '\n')


@given("the callers' API with an executor that takes 50 ms")
def step_api(context: Any) -> None:
    context.ran = []

    async def submit(request: Request) -> Answer:
        context.ran.extend(statement.sql for statement in request.statements)
        await asyncio.sleep(_SLOW_S)
        return Answer(request.request_id, results=(ResultSet(b'{}', 'SELECT'),))

    settings = Settings('a', 'dc', 'http://a', ('00' * 16,))
    context.submit, context.settings = submit, settings


@when('it gets a statement and behind it {text}')
def step_behind(context: Any, text: str) -> None:
    behind = text.encode().decode('unicode_escape').encode('latin-1')

    async def ask(address: str) -> bytes:
        reader, writer = await asyncio.open_connection(*address.split(':'))
        writer.write(_STATEMENT)
        # The statement is under way by then.
        await asyncio.sleep(_SLOW_S / 2)
        writer.write(behind)
        received = await asyncio.wait_for(reader.read(), _TIMEOUT_S)
        writer.close()
        return received

    api = CallersApi(context.settings, context.submit, bool, bool)
    context.received = asyncio.run(_serve(api.application(), ask))


@then('it has run that statement alone, and answered it before the error {status:d}')
def step_alone(context: Any, status: int) -> None:
    assert context.ran == ['yes'], context.ran
    statuses = [int(found) for found in re.findall(rb'HTTP/1\.[01] ([0-9]{3})', context.received)]
    assert statuses == [200, status], context.received
