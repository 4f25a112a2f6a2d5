"""Steps that control where an operation is placed and how its statements end, in virtual time."""

import asyncio
import contextlib
from typing import Any

from behave import given, then, when

from fescuequay_core.relay import refusals
from fescuequay_core.relay.model import (
    Consistency,
    DatabaseName,
    Route,
    SessionState,
    Statement,
    TargetDescription,
)
from fescuequay_core.relay.refusals import Refused
from fescuequay_core.types import InstanceId, OrganisationId, RequestId, Role, ServiceId, TargetId, Verdict
from fescuequay_emulator.load import read, write
from fescuequay_emulator.virtual_loop import VirtualLoop
from fescuequay_entry.relay.board import Board, InstanceIdentity
from fescuequay_entry.relay.operation import Operation, Placement
from fescuequay_entry.relay.pool import PooledConnection, Pools
from fescuequay_entry.relay.ports import NotSent, Outcome, TargetLost
from fescuequay_entry.relay.statement_runner import StatementRunner

TARGET = TargetDescription(TargetId('t1'), 1, ServiceId('s'), 't1:9', 'north', is_draining=False, role=Role.REPLICA)
ROUTE = Route('r', DatabaseName('d'), ServiceId('s'), Consistency.SESSION, 2.0, 1.0, 0.5, 1, is_open=True)


class SlowConnection:
    """Connection that answers every statement after a fixed delay."""

    name = '-'

    def __init__(self, after_s: float) -> None:
        self.sent = 0
        self.is_open = True
        self._after_s = after_s

    async def execute(self, *_: Any, name: str | None, after: Any) -> Outcome:
        self.sent += 1
        await asyncio.sleep(self._after_s)
        return Outcome((), 'mark', None, SessionState.IDLE, None)

    def close(self) -> None:
        self.is_open = False


class OneTargetRunner(StatementRunner):
    """Runner that places the first attempt on a given connection and refuses to place further ones."""

    def __init__(self, board: Board, connection: Any, failure: str = '') -> None:
        super().__init__(board, Pools(board, None))  # type: ignore[arg-type]
        self._places_left = 1
        self._connection = connection
        self._failure = failure

    async def place(self, operation: Operation, *, needs_primary: bool, tried: set[TargetId]) -> Placement:
        if self._places_left == 0:
            raise Refused(refusals.NO_TARGET, retry_after_s=0.2)
        self._places_left -= 1
        pool: Any = None
        return Placement(PooledConnection(self._connection, TARGET, operation.organisation, pool), None, None)

    def release(self, placement: Placement, *, is_clean: bool) -> None:
        """Do nothing; the connection belongs to no pool."""

    async def execute(
        self,
        operation: Operation,
        placement: Placement,
        request: RequestId,
        statement: Statement,
        shape: tuple[str, bool] | None,
    ) -> Outcome:
        if self._failure.startswith('does not respond'):
            await asyncio.sleep(0.4)
        if 'before it was sent' in self._failure:
            raise NotSent('reset')
        if 'ended' in self._failure or 'ends' in self._failure:
            raise TargetLost('reset')
        if self._failure:
            reason = refusals.FAILED if 'failed' in self._failure else refusals.BEHIND
            return Outcome((), '', Refused(reason), SessionState.IDLE, None)
        return await super().execute(operation, placement, request, statement, shape)


def _create_board(context: Any) -> None:
    context.loop = VirtualLoop()
    context.verdict_board = Board(InstanceIdentity(InstanceId('a'), 'a1', 'north', 'a:1'), context.loop.time)


def _run(context: Any, runner: StatementRunner, statement: Statement) -> None:
    async def run() -> None:
        operation = Operation(ROUTE, OrganisationId('o'), context.loop.time(), {}, None)
        try:
            context.outcome = (await runner.run_single(operation, RequestId('q'), statement, None))[0]
        except Refused as refusal:
            context.refusal = refusal

    asyncio.set_event_loop(context.loop)
    context.outcome = None
    context.refusal = None
    context.loop.run_until_complete(run())
    context.loop.close()


@given('a read whose first target {failure}')
def step_first(context: Any, failure: str) -> None:
    _create_board(context)
    context.runner = OneTargetRunner(context.verdict_board, None, failure)


@when('no other target can run it')
def step_no_other(context: Any) -> None:
    _run(context, context.runner, read(1))


@then('the caller is told {verdict}')
def step_told(context: Any, verdict: str) -> None:
    assert context.refusal is not None and context.refusal.reason.verdict is Verdict(verdict), context.refusal


@given('a {kind} at a connection that answers after {after_s:g} s')
def step_slow(context: Any, kind: str, after_s: float) -> None:
    _create_board(context)
    context.connection = SlowConnection(after_s)
    context.statement = write(1, 'v') if kind == 'write' else read(1)


@when('it is sent {before_s:g} s before the instance begins to refuse')
def step_sent(context: Any, before_s: float) -> None:
    board = context.verdict_board
    board.refuse_by = before_s
    board.answer_by = before_s + 0.5
    _run(context, OneTargetRunner(board, context.connection), context.statement)


@then('it is answered')
def step_answered(context: Any) -> None:
    assert context.outcome is not None and context.outcome.signature == 'mark', context.refusal


@then('it is refused as stopping and not run')
def step_stopping(context: Any) -> None:
    assert context.refusal is not None and context.refusal.reason is refusals.STOPPING, context.refusal
    assert context.refusal.retry_after_s is not None and not context.connection.sent


class LostConnection(SlowConnection):
    """Connection that is lost after a delay, before the statement is sent."""

    async def execute(self, *_: Any, name: str | None, after: Any) -> Outcome:
        await asyncio.sleep(self._after_s)
        raise NotSent('reset')


@given('two attempts of a read, of which one is lost before it is sent, {when} the other one is sent')
def step_two_attempts(context: Any, when: str) -> None:
    _create_board(context)
    runner = StatementRunner(context.verdict_board, Pools(context.verdict_board, None))  # type: ignore[arg-type]
    context.operation = Operation(ROUTE, OrganisationId('o'), 0.0, {}, None)
    connections: list[Any] = [LostConnection(0.2), SlowConnection(0.1)]
    if when == 'before':
        connections = [LostConnection(0.05), SlowConnection(0.2)]

    async def attempt(connection: Any) -> None:
        pool: Any = None
        placement = Placement(PooledConnection(connection, TARGET, context.operation.organisation, pool), None)
        with contextlib.suppress(NotSent):
            await runner.execute(context.operation, placement, RequestId('q'), read(1), None)

    async def run() -> None:
        await asyncio.gather(*map(attempt, connections))

    context.attempts = run


@when('both have ended')
def step_both_ended(context: Any) -> None:
    context.loop.run_until_complete(context.attempts())
    context.loop.close()


@then('the read counts as sent')
def step_counts_as_sent(context: Any) -> None:
    assert context.operation.is_sent
