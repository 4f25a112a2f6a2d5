"""Steps in which an operation waits at an instance that stops, in virtual time."""

import asyncio
import contextlib
import threading
import time
from typing import Any

from behave import given, then, when

from fescuequay_core.relay.model import (
    Consistency,
    DatabaseName,
    LeaderRecord,
    Route,
    TargetDescription,
)
from fescuequay_core.relay.refusals import Refused
from fescuequay_core.types import (
    InstanceId,
    LeaderState,
    OrganisationId,
    Role,
    ServiceId,
    TargetId,
    Term,
    Verdict,
)
from fescuequay_emulator.virtual_loop import VirtualLoop
from fescuequay_entry.relay.board import Board, InstanceIdentity
from fescuequay_entry.relay.operation import Operation
from fescuequay_entry.relay.pool import Pools
from fescuequay_entry.relay.statement_runner import StatementRunner

#: Time in which a part of a message arrives at an instance, in seconds.
_ARRIVAL_S = 0.2

SERVICE = ServiceId('menus')
PRIMARY = TargetId('t1')


@given('an instance whose service has its primary replaced')
def step_replaced(context: Any) -> None:
    context.virtual = VirtualLoop()
    context.waiting_board = Board(InstanceIdentity(InstanceId('a'), 'a1', 'north', 'a:1'), context.virtual.time)
    context.waiting_board.update_record(
        LeaderRecord(SERVICE, Term(1), PRIMARY, LeaderState.CLOSING, 'dead', version=2), 0.0, 'table'
    )
    context.waiting_board.targets_by_id[PRIMARY] = TargetDescription(
        PRIMARY, 1, SERVICE, 't1:9', 'north', is_draining=False, role=Role.PRIMARY
    )


@given('{what} that may wait for {limit_s:g} s')
def step_wait(context: Any, what: str, limit_s: float) -> None:
    route = Route(
        'orders', DatabaseName('orders'), SERVICE, Consistency.SESSION, 2.0, limit_s, limit_s, 1, is_open=True
    )
    context.waiting = Operation(route, OrganisationId('o'), context.virtual.time(), {}, None)
    context.needs_primary = what == 'a write'


@when('the instance stops and answers everything within {seconds:g} s')
def step_stop(context: Any, seconds: float) -> None:
    board = context.waiting_board

    async def place() -> None:
        # No target may run the operation, so no connection is ever requested.
        runner = StatementRunner(board, Pools(board, None))  # type: ignore[arg-type]
        placing = asyncio.ensure_future(runner.place(context.waiting, needs_primary=context.needs_primary, tried=set()))
        await asyncio.sleep(0.1)
        board.refuse_by = board.clock() + seconds
        context.stopped_at = board.clock()
        try:
            await placing
        except Refused as refusal:
            context.refusal = refusal
        context.refused_after_s = board.clock() - context.stopped_at

    asyncio.set_event_loop(context.virtual)
    context.virtual.run_until_complete(place())
    context.virtual.close()


@then('it is refused after {seconds:g} s at the latest')
def step_refused(context: Any, seconds: float) -> None:
    assert context.refused_after_s <= seconds + 1e-6, context.refused_after_s


@then('the refusal says that nothing ran and when to retry')
def step_refusal(context: Any) -> None:
    assert context.refusal.reason.verdict is Verdict.NOT_RUN, context.refusal
    assert context.refusal.retry_after_s is not None and context.refusal.retry_after_s > 0, context.refusal


@when('a caller sends a part of a write, the instance gets SIGTERM, and {pause_s:g} s later the rest comes')
def step_part(context: Any, pause_s: float) -> None:
    context.world.await_primary()
    with context.world.open_session() as caller:
        caller.sendall(b'QUERY w1 WRITE x ')
        time.sleep(_ARRIVAL_S)
        stopping = threading.Thread(target=context.world.stop, daemon=True)
        stopping.start()
        time.sleep(pause_s)
        context.answer = b''
        with contextlib.suppress(OSError):
            caller.sendall(b'v\r\n')
            context.answer = caller.recv(100)
    stopping.join()


@then('the caller is answered that the write is done')
def step_done(context: Any) -> None:
    assert context.answer.startswith(b'DONE '), context.answer
