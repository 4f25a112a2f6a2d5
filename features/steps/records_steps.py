"""Steps that drive the system's rows over a table whose answers are scripted."""

import asyncio
from collections.abc import Mapping, Sequence
from typing import Any

import msgspec
from behave import given, then, when

from fescuequay_core.relay.model import LeaseRecord, LeaderRecord, MemberRecord
from fescuequay_core.types import InstanceId, LeaderState, ServiceId, TargetId, Term
from fescuequay_entry.relay.board import Board, InstanceIdentity
from fescuequay_entry.relay.ports import CommitResult, Table, TableError, TableRow, TableSnapshot
from fescuequay_entry.relay.records import Records

SERVICE = ServiceId('menus')
OTHER = MemberRecord(InstanceId('b'), 'b1', 'b:1', 'north')


class ScriptedTable(Table):
    """A table in memory whose next answer may be lost, or whose readings may be held back or rejected."""

    def __init__(self) -> None:
        self.rows: dict[str, TableRow] = {}
        self.version = 0
        self.loses_next = False
        self.rejects_readings = False
        self.held: asyncio.Event | None = None

    async def read(self) -> TableSnapshot:
        if self.rejects_readings:
            raise TableError('rejected')
        rows = tuple(self.rows.values())
        if self.held is not None:
            await self.held.wait()
        return TableSnapshot(rows, 0.0)

    async def commit(
        self, versions: Mapping[str, int], puts: Mapping[str, bytes], deletes: Sequence[str] = ()
    ) -> CommitResult:
        present = {key: self.rows[key] for key in versions if key in self.rows}
        if any((present[key].version if key in present else 0) != version for key, version in versions.items()):
            return CommitResult(is_accepted=False, version=self.version, rows_by_key=present, at_s=0.0)
        self.version += 1
        self.rows.update({key: TableRow(key, content, self.version) for key, content in puts.items()})
        for key in deletes:
            self.rows.pop(key, None)
        if self.loses_next:
            self.loses_next = False
            raise TableError('no answer')
        return CommitResult(is_accepted=True, version=self.version, rows_by_key={}, at_s=0.0)


def _run(step: Any) -> Any:
    return asyncio.run(step)


def _leading() -> LeaderRecord:
    return LeaderRecord(SERVICE, Term(1), TargetId('t1'), LeaderState.LEADING, 'first')


def _put_row(context: Any, member: MemberRecord) -> None:
    _run(context.scripted.commit({}, {f'member/{member.instance}': msgspec.json.encode(member)}))


@given('a table and an instance that holds the duty and has published a leader')
def step_holder(context: Any) -> None:
    context.now = 100.0
    context.scripted = ScriptedTable()
    context.holder_board = Board(InstanceIdentity(InstanceId('a'), 'a1', 'north', 'a:1'), lambda: context.now)
    context.holder = Records(context.holder_board, context.scripted)

    async def begin() -> None:
        await context.holder.read()
        await context.holder.register()
        await context.holder.acquire_lease()
        await context.holder.read()
        await context.holder.write_leader(_leading())

    _run(begin())


@given('another instance is listed')
def step_other(context: Any) -> None:
    _put_row(context, OTHER)
    _run(context.holder.read())
    assert (OTHER.instance, OTHER.incarnation) in context.holder_board.listed


@when('it closes the record and the answer is lost')
def step_close_unheard(context: Any) -> None:
    record = context.holder_board.permits.record(SERVICE)
    context.scripted.loses_next = True
    try:
        _run(context.holder.write_leader(_closing(record)))
    except TableError:
        return
    raise AssertionError('the answer was to be lost')


def _closing(record: LeaderRecord) -> LeaderRecord:
    return LeaderRecord(record.service, record.term, record.target, LeaderState.CLOSING, 'dead', version=record.version)


@when("a peer tells it of the duty's present row")
def step_peer_tells(context: Any) -> None:
    row = context.scripted.rows['duty']
    if row.version == context.holder_board.lease.record.version:
        _run(context.scripted.commit({}, {'duty': row.content}))
        row = context.scripted.rows['duty']
    told = msgspec.json.decode(row.content, type=LeaseRecord)
    context.holder_board.lease.observe(
        LeaseRecord(told.instance, told.incarnation, told.address, told.token, told.nonce, row.version), context.now
    )


@when('it renews the duty')
def step_renew(context: Any) -> None:
    context.now += 1.0
    _run(context.holder.renew())


@when('the table rejects readings')
def step_reject(context: Any) -> None:
    context.scripted.rejects_readings = True


@when('it tries to renew the duty')
def step_try_renew(context: Any) -> None:
    context.now += 1.0
    context.confirmed_age_s = context.holder_board.permits.oldest_age_s(context.now)
    try:
        _run(context.holder.renew())
    except TableError:
        return


@then('it knows that the record is closing')
def step_knows_closing(context: Any) -> None:
    assert context.holder_board.permits.record(SERVICE).state is LeaderState.CLOSING


@then('nobody may use the primary')
def step_nobody(context: Any) -> None:
    assert context.holder_board.permits.leader(SERVICE, context.now) is None


@then('nothing was confirmed by the renewal')
def step_not_confirmed(context: Any) -> None:
    assert context.holder_board.permits.oldest_age_s(context.now) == context.confirmed_age_s


@when('a reading is answered late, after the other instance was marked')
def step_late_reading(context: Any) -> None:
    async def race() -> None:
        context.scripted.held = asyncio.Event()
        reading = asyncio.ensure_future(context.holder.read())
        await asyncio.sleep(0)
        await context.holder.mark_leaving([OTHER.instance])
        context.scripted.held.set()
        await reading
        context.scripted.held = None

    _run(race())


@then('the other instance is not listed')
def step_not_listed(context: Any) -> None:
    assert (OTHER.instance, OTHER.incarnation) not in context.holder_board.listed


@when('the other instance is marked')
def step_mark(context: Any) -> None:
    _run(context.holder.mark_leaving([OTHER.instance]))
    _run(context.holder.read())


@when('{seconds:g} s pass and the table is read')
def step_pass(context: Any, seconds: float) -> None:
    context.now += seconds
    _run(context.holder.read())


@when('the other instance registers anew and is marked again')
def step_mark_again(context: Any) -> None:
    _put_row(context, OTHER)
    # Its own reading lists it, and the holder's next one comes only after the second mark.
    marked = MemberRecord(OTHER.instance, OTHER.incarnation, OTHER.address, OTHER.data_centre, is_leaving=True)
    _put_row(context, marked)


@then('the other instance still counts as one that may have a permit')
def step_not_ended(context: Any) -> None:
    assert OTHER.instance not in context.holder.members_without_permits()


@then("the other instance's permits have ended")
def step_ended(context: Any) -> None:
    assert OTHER.instance in context.holder.members_without_permits()
