"""Steps that refuse an operation of a session and check how many tokens it was charged."""

import asyncio
from typing import Any

from behave import given, then, when

from fescuequay_core.relay import refusals
from fescuequay_core.relay.buckets import AcquireResult
from fescuequay_core.relay.model import (
    Configuration,
    Consistency,
    Credential,
    DatabaseName,
    OrganisationPolicy,
    Route,
)
from fescuequay_core.relay.refusals import Refused
from fescuequay_core.types import InstanceId, OrganisationId, ServiceId
from fescuequay_emulator.callers import ModelCaller
from fescuequay_emulator.load import read
from fescuequay_entry.relay.board import Board, InstanceIdentity
from fescuequay_entry.relay.metrics import RelayMetrics
from fescuequay_entry.relay.ports import Opening, Query
from fescuequay_entry.relay.session import Session
from fescuequay_entry.relay.session_buffers import SessionBuffers

ORGANISATION = OrganisationId('o')
DATABASE = DatabaseName('menus')


class RefusingRunner:
    """Runner that refuses every operation, as if before or after it was sent to a target."""

    def __init__(self, *, is_sent: bool) -> None:
        self._is_sent = is_sent

    async def run_single(self, operation: Any, *_: Any) -> Any:
        operation.sent_attempts = int(self._is_sent)
        raise Refused(refusals.NO_TARGET, retry_after_s=0.2)


@given('a session of an organisation with 3 tokens in stock')
def step_session(context: Any) -> None:
    context.token_board = Board(InstanceIdentity(InstanceId('a'), 'a1', 'north', 'a:1'), lambda: 100.0)
    route = Route('r', DATABASE, ServiceId('s'), Consistency.SESSION, 2.0, 1.0, 0.5, 1, is_open=False)
    policy = OrganisationPolicy(ORGANISATION, 10.0, 10.0)
    context.token_board.adopt(
        Configuration(1, 3.0, {DATABASE: route}, {}, {ORGANISATION: policy}, {'key': ORGANISATION}), 'test'
    )
    buckets = context.token_board.buckets
    buckets.record_contact(200.0)
    buckets.add_sessions(ORGANISATION, 1)
    buckets.receive(ORGANISATION, 3, 0.0, 100.0)


@when('its operation is refused after it was {sent}')
def step_refused(context: Any, sent: str) -> None:
    async def run() -> None:
        caller = ModelCaller()
        runner: Any = RefusingRunner(is_sent=sent == 'sent to some target')
        session = Session(context.token_board, runner, RelayMetrics(), SessionBuffers(None), caller)
        serving = asyncio.ensure_future(session.run())
        caller.send(Opening(DATABASE, Credential('key')))
        await caller.next_answer()
        caller.send(Query('q1', read(1)))
        answer = await caller.next_answer()
        assert answer is not None and answer[0] is not None, answer
        caller.disconnect()
        await serving

    asyncio.run(run())


@then('the organisation has {left:d} tokens in stock')
def step_left(context: Any, left: int) -> None:
    buckets = context.token_board.buckets
    taken = [buckets.acquire(ORGANISATION, 100.0, 0.0)[0] for _ in range(4)]
    assert taken.count(AcquireResult.ACQUIRED) == left, taken
