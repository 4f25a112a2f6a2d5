"""Steps about invalid input and the OpenAPI description, with real processes."""

import asyncio
import json
import re
import time
from typing import Any

from behave import then, when

from features import builders
from features.world import Reply
from fescuequay_core import tokens
from fescuequay_core.tokens import Session
from fescuequay_entry.callers import CallersApi
from fescuequay_entry.config import Settings


def _invalid_call(context: Any, what: str) -> dict[str, Any]:
    path = f'{builders.WRITES}/statements'
    foreign = tokens.encode(Session('bolt'), builders.SECRET)  # type: ignore[arg-type]
    body = {'sql': 'select 1 as one', 'read': True}
    calls: dict[str, dict[str, Any]] = {
        'JSON that ends too early': {'path': path, 'body': b'{"sql": "sel'},
        'JSON of the wrong shape': {'path': path, 'body': b'[1, 2]'},
        'an unknown field': {'path': path, 'body': {'sql': 'select 1', 'surprise': 1}},
        'a body of 3 MB': {'path': path, 'body': {'sql': 'x' * 3_000_000}},
        'a forged session': {'path': path, 'body': body, 'token': 'AAAA' * 20},
        'a foreign session': {'path': path, 'body': body, 'token': foreign},
        'a wrong method': {'path': path, 'method': 'PUT'},
        'a path that does not exist': {'path': 'a/b/c'},
        'deeply nested JSON': {
            'path': path,
            'body': b'{"sql": "x", "params": ' + b'[' * 100_000 + b']' * 100_000 + b'}',
        },
        'an unknown key': {'path': path, 'body': body, 'organisation': 'nobody'},
    }
    return calls[what]


async def _send_incomplete(address: str, declared: int) -> bytes:
    host, _, port = address.rpartition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    head = f'POST /v1/{builders.WRITES}/statements HTTP/1.1\r\nHost: x\r\nContent-Length: {declared}\r\n'
    writer.write(f'{head}Authorization: Bearer {builders.key_of("acme")}\r\n\r\n{{"sql"'.encode())
    answer = await reader.read(4096)
    writer.close()
    return answer


@when('i1 is sent {what}')
def step_invalid_input(context: Any, what: str) -> None:
    declared = {'a body that is incomplete': 100, 'a body declared over the limit': 3_000_000}.get(what)
    if declared is not None:
        address = context.world.fleet.instances_by_name['i1'].callers
        began_at = time.monotonic()
        raw = context.world.run(_send_incomplete(address, declared))
        assert declared == 100 or time.monotonic() - began_at < 0.5, 'the refusal waited for the body'
        found = re.match(rb'HTTP/1.1 (\d+)', raw)
        assert found is not None, raw
        body = json.loads(raw.split(b'\r\n\r\n', 1)[1])
        context.reply = Reply(int(found.group(1)), {}, body)
    else:
        options = _invalid_call(context, what)
        context.reply = context.world.call('i1', options.pop('path'), options.pop('body', None), **options)


@then('it is answered with {status:d} and a problem document, and i1 still serves')
def step_problem_answer(context: Any, status: int) -> None:
    reply = context.reply
    assert reply.status == status, (reply.status, reply.plain)
    assert reply.plain['verdict'] == 'not_run' and reply.plain['type'].startswith('urn:'), reply.plain
    assert context.world.sql('i1', 'select 1 as one', extra={'read': True}).status == 200


@then('every path of the OpenAPI description is served, and no other')
def step_openapi(context: Any) -> None:
    world = context.world
    address = world.fleet.instances_by_name['i1'].callers

    async def get() -> Any:
        async with world.http.get(f'http://{address}/openapi.json') as answer:
            return await answer.json()

    described = world.run(get())
    settings = Settings('x', 'dc-a', 'http://x', ('5e' * 16,))
    app = CallersApi(settings, None, None, None).application()  # type: ignore[arg-type]
    served = {
        (route.method.lower(), route.resource.canonical)
        for route in app.router.routes()
        if route.resource is not None and route.method != 'HEAD'
    }
    documented = {(method, path) for path, methods in described['paths'].items() for method in methods}
    assert served == documented, served ^ documented
