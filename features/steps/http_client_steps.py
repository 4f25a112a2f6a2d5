"""Steps of the HTTP client of the instances, on loopback."""

import asyncio
import time
from collections.abc import Awaitable, Callable
from typing import Any, Final

from behave import given, then, when

from fescuequay_core.types import InstanceId, ServiceId, TargetId
from fescuequay_entry.relay.authority import Authority
from fescuequay_entry.relay.http_client import HttpClient, HttpError
from fescuequay_entry.relay.messages import FetchAnswer, FetchRequest
from fescuequay_entry.relay.peers import HttpPeers
from fescuequay_platform.store import PlatformPromoter
from features.http_ends import EMPTY, ScriptedEnd

_HOST: Final = '127.0.0.1'
_TIMEOUT_S: Final = 2.0

#: Time that the client waits for an end that stays silent, in seconds.
_SILENCE_S: Final = 0.1


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
