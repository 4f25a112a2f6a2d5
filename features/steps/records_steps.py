"""Steps that drive the system's records over a table with scripted faults."""

import asyncio
from collections.abc import Callable, Mapping, Sequence
from typing import Any

import msgspec
from behave import given, then, when

from fescuequay_core.relay.lease import LEASE_S
from fescuequay_core.relay.model import LeaseRecord, LeaderRecord, MemberRecord
from fescuequay_core.types import Era, InstanceId, LeaderState, ServiceId, TargetId, Term
from fescuequay_entry.relay.board import Board, InstanceIdentity
from fescuequay_entry.relay.ports import CommitResult, Table, TableError, TableRow, TableSnapshot
from fescuequay_entry.relay.records import Records

SERVICE = ServiceId('menus')
OTHER = MemberRecord(InstanceId('b'), 'b1', 'b:1', 'north')


class ScriptedTable(Table):
    """A table in memory that can lose its next answer, and delay or reject reads."""

    def __init__(self) -> None:
        self.rows: dict[str, TableRow] = {}
        self.version = 0
        self.loses_next_answer = False
        self.rejects_reads = False
        self.read_gate: asyncio.Event | None = None
        self.era = Era(0)
        self.era_after_write: Era | None = None
        self.clock: Callable[[], float] = float

    def come_back(self, version: int, rows: dict[str, TableRow]) -> None:
        """Begin a new era with the rows of a copy."""
        self.era = Era(self.era + 1)
        self.version = version
        self.rows = dict(rows)

    async def read(self) -> TableSnapshot:
        if self.rejects_reads:
            raise TableError('rejected')
        rows = tuple(self.rows.values())
        if self.read_gate is not None:
            await self.read_gate.wait()
        return TableSnapshot(rows, self.clock(), self.era)

    async def commit(
        self, versions: Mapping[str, int], puts: Mapping[str, bytes], deletes: Sequence[str] = ()
    ) -> CommitResult:
        present = {key: self.rows[key] for key in versions if key in self.rows}
        if any((present[key].version if key in present else 0) != version for key, version in versions.items()):
            return CommitResult(
                is_accepted=False, version=self.version, rows_by_key=present, at_s=self.clock(), era=self.era
            )
        self.version += 1
        self.rows.update({key: TableRow(key, content, self.version) for key, content in puts.items()})
        for key in deletes:
            self.rows.pop(key, None)
        if self.loses_next_answer:
            self.loses_next_answer = False
            raise TableError('no answer')
        if self.era_after_write is not None:
            self.era, self.era_after_write = self.era_after_write, None
        return CommitResult(is_accepted=True, version=self.version, rows_by_key={}, at_s=self.clock(), era=self.era)


def _run(step: Any) -> Any:
    return asyncio.run(step)


def _leading() -> LeaderRecord:
    return LeaderRecord(SERVICE, Term(1), TargetId('t1'), LeaderState.LEADING, 'first')


def _put_row(context: Any, member: MemberRecord) -> None:
    _run(context.scripted.commit({}, {f'0/member/{member.instance}': msgspec.json.encode(member)}))


@given('a table and an instance that holds the coordinator lease and has published a leader')
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
def step_close_without_answer(context: Any) -> None:
    record = context.holder_board.permits.record(SERVICE)
    context.scripted.loses_next_answer = True
    try:
        _run(context.holder.write_leader(_closing(record)))
    except TableError:
        return
    raise AssertionError('the answer should have been lost')


def _closing(record: LeaderRecord) -> LeaderRecord:
    return LeaderRecord(record.service, record.term, record.target, LeaderState.CLOSING, 'dead', version=record.version)


@when('a peer sends it the present row of the lease')
def step_peer_sends(context: Any) -> None:
    row = context.scripted.rows['0/duty']
    if row.version == context.holder_board.lease.record.version:
        _run(context.scripted.commit({}, {'0/duty': row.content}))
        row = context.scripted.rows['0/duty']
    sent = msgspec.json.decode(row.content, type=LeaseRecord)
    context.holder_board.lease.observe(
        LeaseRecord(sent.instance, sent.incarnation, sent.address, sent.token, sent.nonce, row.version),
        context.now,
        context.now,
    )


@when('it renews the lease')
def step_renew(context: Any) -> None:
    context.now += 1.0
    _run(context.holder.renew())


@when('the table rejects reads')
def step_reject(context: Any) -> None:
    context.scripted.rejects_reads = True


@when('the table answers reads again')
def step_answer_reads(context: Any) -> None:
    context.scripted.rejects_reads = False


@when('it tries to renew the lease')
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


@then('no instance may use the primary')
def step_nobody(context: Any) -> None:
    assert context.holder_board.permits.leader(SERVICE, context.now) is None


@then('nothing was confirmed by the renewal')
def step_not_confirmed(context: Any) -> None:
    assert context.holder_board.permits.oldest_age_s(context.now) == context.confirmed_age_s


@when('a read is answered late, after the other instance was marked as leaving')
def step_late_read(context: Any) -> None:
    async def race() -> None:
        context.scripted.read_gate = asyncio.Event()
        pending_read = asyncio.ensure_future(context.holder.read())
        await asyncio.sleep(0)
        await context.holder.mark_leaving([OTHER.instance])
        context.scripted.read_gate.set()
        await pending_read
        context.scripted.read_gate = None

    _run(race())


@then('the other instance is not listed')
def step_not_listed(context: Any) -> None:
    assert (OTHER.instance, OTHER.incarnation) not in context.holder_board.listed


@when('the other instance is marked as leaving')
def step_mark(context: Any) -> None:
    _run(context.holder.mark_leaving([OTHER.instance]))
    _run(context.holder.read())


@when('{seconds:g} s pass and the table is read')
def step_pass(context: Any, seconds: float) -> None:
    context.now += seconds
    _run(context.holder.read())


@when('the other instance registers again and is marked as leaving again')
def step_mark_again(context: Any) -> None:
    _put_row(context, OTHER)
    # The other instance has read itself as listed; the holder reads only after the second mark.
    marked = MemberRecord(OTHER.instance, OTHER.incarnation, OTHER.address, OTHER.data_centre, is_leaving=True)
    _put_row(context, marked)


@then('the other instance may still have a permit')
def step_not_expired(context: Any) -> None:
    assert OTHER.instance not in context.holder.members_without_permits()


@then("the other instance's permits have expired")
def step_expired(context: Any) -> None:
    assert OTHER.instance in context.holder.members_without_permits()


@given('a copy of the table')
def step_copy(context: Any) -> None:
    context.copy = (context.scripted.version, dict(context.scripted.rows))


@when('the table comes back from the copy')
def step_come_back(context: Any) -> None:
    context.scripted.come_back(*context.copy)


@when("the table's clock jumps by {seconds:g} s")
def step_clock_jumps(context: Any, seconds: float) -> None:
    context.scripted.clock = lambda: context.now + seconds


@then('an instance that reads the table {later:g} s later dates lease and settlement no earlier than they were')
def step_dates(context: Any, later: float) -> None:
    renewed_at = context.now
    context.now += later
    reader_board = Board(InstanceIdentity(InstanceId('d'), 'd1', 'east', 'd:1'), lambda: context.now)
    _run(Records(reader_board, context.scripted).read())
    assert reader_board.lease.expires_at() >= renewed_at + LEASE_S, reader_board.lease.expires_at()
    assert reader_board.lease.settled_at >= context.settled_at, reader_board.lease.settled_at


@when('the holder sees the new era and settles it')
def step_settle(context: Any) -> None:
    step_try_renew(context)
    context.now -= 1.0
    assert _run(context.holder.acquire_lease()), 'the era was not settled'
    context.settled_at = context.now


@when('another instance has known the new era for {seconds:g} s')
def step_other_sees(context: Any, seconds: float) -> None:
    context.other_board = Board(InstanceIdentity(InstanceId('c'), 'c1', 'south', 'c:1'), lambda: context.now)
    context.other = Records(context.other_board, context.scripted)
    _run(context.other.read())
    context.now += seconds


@then('it {may} settle the era')
def step_may_settle(context: Any, may: str) -> None:
    assert context.other_board.lease.may_take_over(context.now) is (may == 'may')


@when('it settles the era')
def step_other_settles(context: Any) -> None:
    assert _run(context.other.acquire_lease()), 'the era was not settled'


@then('the record is {state} in the new era, and the token is larger than {token:d}')
def step_settled(context: Any, state: str, token: int) -> None:
    reader_board = Board(InstanceIdentity(InstanceId('d'), 'd1', 'east', 'd:1'), lambda: context.now)
    _run(Records(reader_board, context.scripted).read())
    assert reader_board.permits.record(SERVICE).state.value == state
    assert reader_board.lease.token > token, reader_board.lease.token


@then('the other instance is listed in the new era')
def step_listed_again(context: Any) -> None:
    assert (OTHER.instance, OTHER.incarnation) in context.holder_board.listed
    assert f'{context.scripted.era}/member/{OTHER.instance}' in context.scripted.rows


@when('the table carries out a renewal of the earlier holder in the new era')
def step_late_renewal(context: Any) -> None:
    context.scripted.era_after_write = Era(context.scripted.era + 1)
    context.renewed_age_s = context.holder_board.lease.renewal_age_s(context.now)
    try:
        _run(context.holder.renew())
    except TableError as error:
        context.error = error
        return
    raise AssertionError('the renewal was counted')


@then('that renewal does not count')
def step_not_counted(context: Any) -> None:
    assert context.holder_board.lease.renewal_age_s(context.now) == context.renewed_age_s
    assert not context.holder_board.lease.is_settled()


@then('a write of the earlier era is not sent, whatever its version')
def step_not_sent(context: Any) -> None:
    version = context.scripted.version
    try:
        _run(context.holder.write_leader(_leading()))
    except TableError:
        assert context.scripted.version == version, 'the table got the write'
        return
    raise AssertionError('the write was accepted')


@then('an answer of the earlier era is ignored')
def step_late_answer(context: Any) -> None:
    context.scripted.era = Era(context.scripted.era - 1)
    try:
        _run(context.other.read())
    except TableError:
        return
    raise AssertionError('the answer was taken')


@then('its rows of the earlier era can be removed')
def step_leftovers(context: Any) -> None:
    _run(context.holder.read())
    _run(context.holder.remove_leftovers())
    assert all(key.startswith(f'{context.scripted.era}/') for key in context.scripted.rows), context.scripted.rows
