"""Steps that test what becomes of bytes that a target sends behind an answer."""

import asyncio
from typing import Any

from behave import then, when

from features import line_ends
from fescuequay_core.relay.model import Statement, StatementKind
from fescuequay_core.types import RequestId
from fescuequay_entry.relay.ports import NotSent, Outcome
from fescuequay_platform.connections import LineTarget

_ANSWER = b'ROW v\r\nDONE sig\r\nREADY T 1.2\r\n'
_SURPLUS_BY_NAME = {
    'another answer': b'ROW forged\r\nDONE forged\r\nREADY T 1.2\r\n',
    'another row': b'ROW forged\r\n',
    'a part of another message': b'ROW for',
    'the end of the connection': b'',
    'another answer with the end behind it': b'ROW forged\r\nDONE forged\r\nREADY T 1.2\r\n',
}
_ENDS = frozenset(('the end of the connection', 'another answer with the end behind it'))


async def _ask_twice(surplus: bytes, *, ends: bool) -> tuple[Outcome | BaseException, line_ends.MemoryTransport]:
    """:returns: What the second statement gets, and the connection to the target."""
    protocol, transport = line_ends.connect()
    target = LineTarget(protocol)
    first = asyncio.ensure_future(target.execute(RequestId('a1'), Statement(StatementKind.READ, 'READ x')))
    await asyncio.sleep(0)
    protocol.data_received(_ANSWER + surplus)
    await first
    if ends:
        protocol.eof_received()
    second = asyncio.ensure_future(target.execute(RequestId('a2'), Statement(StatementKind.READ, 'READ y')))
    await asyncio.sleep(0)
    if not second.done():
        protocol.data_received(_ANSWER)
    (result,) = await asyncio.gather(second, return_exceptions=True)
    return result, transport


@when('a target answers a statement, sends {what}, and is asked again on the same connection')
def step_asked_again(context: Any, what: str) -> None:
    context.asked = asyncio.run(_ask_twice(_SURPLUS_BY_NAME[what], ends=what in _ENDS))


@then('the next statement is not sent and the connection is lost')
def step_not_sent(context: Any) -> None:
    result, transport = context.asked
    assert isinstance(result, NotSent), (result, transport.sent)
    assert b'a2' not in transport.sent, transport.sent
    assert transport.is_closing()
