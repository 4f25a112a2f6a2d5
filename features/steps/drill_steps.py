"""Steps of drills: new eras of the table and evacuations of data centres."""

import asyncio
import dataclasses
import logging
from collections.abc import Callable, Coroutine
from typing import Any, Final

from behave import given, then, when

from features.soak.platform import Platform
from fescuequay_core.relay import eras, settlement
from fescuequay_core.relay.model import Evacuation, LeaderRecord, LogPosition, TargetReport
from fescuequay_core.relay.permits import PERMIT_S, Permits
from fescuequay_core.types import Era, LeaderState, Role, ServiceId, TargetId, Term
from fescuequay_emulator import scenarios
from fescuequay_entry.relay.http_client import HttpClient
from fescuequay_entry.relay.ports import HistoryLost
from fescuequay_platform import rows
from fescuequay_platform.store import StoreClient, StoreFeed, StoreTable

_NOW: Final = 100.0

_RECORD: Final = LeaderRecord(ServiceId('s'), Term(3), TargetId('a'), LeaderState.LEADING, 'first', version=8)


@then('at least {count:d} operations were refused because the data centre is evacuated')
def step_refused(context: Any, count: int) -> None:
    assert context.figures.refused.get('evacuated', 0) >= count, context.figures.refused


@then('operations are served again within {limit:g} s after the evacuation is lifted')
def step_served_again(context: Any, limit: float) -> None:
    (fault,) = context.relay_scenario.faults
    # The gap in writes spans the evacuation, less the time in which the primary may still be used.
    assert context.figures.write_gap_s <= fault.for_s - scenarios.EVACUATION_REPLACEMENT_S + limit


@when('an instance settles an era with a record that is {state}, {knowledge}')
def step_settle(context: Any, state: str, knowledge: str) -> None:
    record = dataclasses.replace(_RECORD, state=LeaderState(state))
    permits = Permits()
    if knowledge == 'with a live permit':
        permits.observe(record, _NOW - PERMIT_S / 2, _NOW)
    elif knowledge == 'with an expired permit':
        permits.observe(record, _NOW - PERMIT_S, _NOW)
    elif knowledge == 'with a live permit for another version':
        permits.observe(dataclasses.replace(record, version=record.version - 1), _NOW, _NOW)
    is_holder = knowledge == 'as the holder of the lease'
    (context.settled,) = settlement.settle([record], permits, _NOW, is_holder=is_holder)


@then('the record begins the era as {state}')
def step_settled(context: Any, state: str) -> None:
    assert context.settled.state.value == state, context.settled


@when('the targets of a record in doubt of term {term:d} at {target} report {reports}')
def step_report(context: Any, term: int, target: str, reports: str) -> None:
    record = dataclasses.replace(_RECORD, term=Term(term), target=TargetId(target), state=LeaderState.CLOSING)
    words = [report.split() for report in reports.split(', ')]
    by_target = {
        TargetId(name): TargetReport(Role(role), Term(int(known)), LogPosition(Term(3), 5), 0.0, 0, 0)
        for name, role, known in words
    }
    registered = [TargetId(name) for name in 'abc']
    context.keeps = settlement.is_still_leading(record, registered, by_target)


@then('the primary {keeps} leading')
def step_keeps(context: Any, keeps: str) -> None:
    assert context.keeps is (keeps == 'keeps')


@then('the next token after {first:d} in era {earlier:d} is smaller than the one after {second:d} in era {later:d}')
def step_tokens(context: Any, first: int, earlier: int, second: int, later: int) -> None:
    assert eras.next_token(first, Era(earlier)) < eras.next_token(second, Era(later))
    assert eras.next_token(first, Era(earlier)) > first


@when("the operators' rows are read")
def step_rows(context: Any) -> None:
    logging.disable(logging.CRITICAL)
    try:
        context.entries = [rows.decode_operator_row(row['key'], row['content'].encode()) for row in context.table]
    finally:
        logging.disable(logging.NOTSET)


@then('the evacuated data centres are {names}')
def step_evacuated(context: Any, names: str) -> None:
    found = [entry.data_centre for entry in context.entries if isinstance(entry, Evacuation)]
    assert found == names.split(', '), found


@given('a store on loopback that has come back from a copy {count:d} times')
def step_store(context: Any, count: int) -> None:
    context.store = Platform([])
    context.store.era += count


def _with_client(context: Any, step: Callable[[StoreClient], Coroutine[Any, Any, list[Any]]]) -> list[Any]:
    async def run() -> list[Any]:
        await context.store.start()
        http = HttpClient()
        try:
            return await step(StoreClient(http, f'127.0.0.1:{context.store.port}'))
        finally:
            http.close()

    return asyncio.run(run())


@when('its rows and both feeds are read, and a row is written')
def step_read_store(context: Any) -> None:
    async def read(client: StoreClient) -> list[Any]:
        table = StoreTable(client)
        feeds = [StoreFeed(client, 'op', rows.decode_operator_row), StoreFeed(client, 'servers', rows.decode_target)]
        written = await table.commit({'row': 0}, {'row': b'1'})
        conflict = await table.commit({'row': 0}, {'row': b'2'})
        snapshots = [await feed.snapshot() for feed in feeds]
        changes = [await feed.changes(0, 0.01) for feed in feeds]
        return [written, conflict, await table.read(), *snapshots, *changes]

    context.answers = _with_client(context, read)


@when('the store comes back from a copy again and is read')
def step_read_again(context: Any) -> None:
    async def read(client: StoreClient) -> list[Any]:
        context.store.restore(context.store.copy())
        feed = StoreFeed(client, 'op', rows.decode_operator_row)
        snapshot = await feed.snapshot()
        try:
            await feed.changes(snapshot.version + 1, 0.01)
        except HistoryLost:
            context.has_lost_history = True
        return [await StoreTable(client).read(), snapshot]

    context.answers = _with_client(context, read)


@then('all answers are of era {era:d}')
def step_eras(context: Any, era: int) -> None:
    assert {answer.era for answer in context.answers} == {era}, context.answers


@then('a feed that asks for a version of the earlier era has lost its history')
def step_history(context: Any) -> None:
    assert context.has_lost_history
