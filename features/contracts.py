"""Contract tests of the outside interfaces, which any implementation must pass.

A clause takes an implementation of the product's abstract class and switches for its faults, so that it can test a
real platform or database as well as a stand-in.
"""

import asyncio
import contextlib
import hashlib
from collections.abc import Awaitable, Callable
from typing import Any, Protocol

import msgspec

from fescuequay_core.events import WriteResult
from fescuequay_core.requests import Statement
from fescuequay_core.types import Digest, Role, Term
from fescuequay_entry.driver import ConnectError, Connection, ConnectionLostError, Driver, Endpoint, TargetError
from fescuequay_entry.platform import HttpPlatform, ObjectStore, PlatformError, Table


class FaultSwitches(Protocol):
    """Switches that inject faults into an implementation."""

    async def set(self, fault: str) -> None:
        """Inject a fault, or remove all faults with an empty name."""


Clause = Callable[[Any, FaultSwitches], Awaitable[None]]


async def _raises(error: type[Exception], work: Awaitable[Any]) -> Exception:
    try:
        await work
    except error as found:
        return found
    raise AssertionError(f'{error.__name__} was expected')


async def row_is_created_once(table: Table, switches: FaultSwitches) -> None:
    """Of two writes of a new row, the first is accepted and the second gets a conflict."""
    results = [(await table.write('new', body, None))[0] for body in (b'1', b'2')]
    assert results == [WriteResult.ACCEPTED, WriteResult.CONFLICT]
    assert (await table.read('new', None)).body == b'1'


async def row_changes_only_on_its_version(table: Table, switches: FaultSwitches) -> None:
    """A write conditional on an old version changes nothing."""
    _, first = await table.write('row', b'1', None)
    result, second = await table.write('row', b'2', first)
    assert result is WriteResult.ACCEPTED and second != first
    assert (await table.write('row', b'3', first))[0] is WriteResult.CONFLICT
    row = await table.read('row', None)
    assert (row.body, row.etag) == (b'2', second)


async def unchanged_row_is_not_sent(table: Table, switches: FaultSwitches) -> None:
    """A reader that has the present version gets no body."""
    _, etag = await table.write('row', b'1', None)
    assert (await table.read('row', etag)).body is None
    assert (await table.read('absent', None)).etag is None


async def age_counts_from_the_change(table: Table, switches: FaultSwitches) -> None:
    """The age of a row grows, and restarts when the row changes."""
    _, etag = await table.write('a/1', b'1', None)
    await asyncio.sleep(0.05)
    old = (await table.read_prefix('a/'))[0].age_s
    await table.write('a/1', b'2', etag)
    new = (await table.read_prefix('a/'))[0].age_s
    assert new < old, (new, old)


async def lost_answer_is_unknown(table: Table, switches: FaultSwitches) -> None:
    """A write whose answer is lost is reported as unknown, though it took effect."""
    await switches.set('lose one answer')
    result, _ = await table.write('row', b'1', None)
    assert result is WriteResult.UNKNOWN
    assert (await table.read('row', None)).body == b'1'


async def outage_is_an_error(table: Table, switches: FaultSwitches) -> None:
    """In an outage reads fail with the typed error, and writes are unknown."""
    await switches.set('down')
    await _raises(PlatformError, table.read('row', None))
    await _raises(PlatformError, table.read_prefix('a/'))
    assert (await table.write('row', b'1', None))[0] is WriteResult.UNKNOWN


async def object_is_what_was_put(store: ObjectStore, switches: FaultSwitches) -> None:
    """An object is found under the digest of its stored form."""
    body = b'text ' * 1000
    assert await store.get(await store.put(body)) == body


async def absent_object_is_an_error(store: ObjectStore, switches: FaultSwitches) -> None:
    """Reading an unknown name fails with the typed error."""
    await _raises(PlatformError, store.get(Digest(hashlib.sha256(b'absent').hexdigest())))


async def damaged_object_is_an_error(store: ObjectStore, switches: FaultSwitches) -> None:
    """Reading an object that does not match its digest fails with the typed error."""
    digest = await store.put(b'text')
    await switches.set('damage objects')
    await _raises(PlatformError, store.get(digest))


async def instances_are_listed(platform: HttpPlatform, switches: FaultSwitches) -> None:
    """The list has each instance and whether it is leaving."""
    await switches.set('list two instances')
    members = {member.instance: member for member in await platform.members()}
    assert {name: member.is_leaving for name, member in members.items()} == {'a': False, 'b': True}


async def _open(driver: Driver, endpoint: Endpoint) -> Connection:
    return await driver.connect(endpoint, 1.0)


async def status_reports_role_and_term(subject: tuple[Driver, list[Endpoint]], switches: FaultSwitches) -> None:
    """One member is the primary, and the others are replicas in the same term."""
    statuses = [await (await _open(subject[0], endpoint)).status() for endpoint in subject[1]]
    assert [status.role for status in statuses] == [Role.PRIMARY, Role.REPLICA, Role.REPLICA]
    assert len({status.term for status in statuses}) == 1


async def position_grows_and_is_replicated(subject: tuple[Driver, list[Endpoint]], switches: FaultSwitches) -> None:
    """A later status reports a position after a committed write, and replicas reach that position."""
    primary, replica = [await _open(subject[0], endpoint) for endpoint in subject[1][:2]]
    before = (await primary.status()).position
    await primary.execute(Statement('create table t (x integer)'))
    after = (await primary.status()).position
    assert after > before
    for _ in range(200):
        if (await replica.status()).position >= after:
            break
        await asyncio.sleep(0.01)
    assert (await replica.status()).position >= after
    assert (await primary.status()).replicated >= after


async def replica_refuses_writes(subject: tuple[Driver, list[Endpoint]], switches: FaultSwitches) -> None:
    """A write at a replica fails with the error of a target that is not the primary."""
    replica = await _open(subject[0], subject[1][1])
    error = await _raises(TargetError, replica.execute(Statement('create table t (x integer)')))
    assert isinstance(error, TargetError) and error.is_not_primary


async def fenced_primary_refuses_writes(subject: tuple[Driver, list[Endpoint]], switches: FaultSwitches) -> None:
    """After a fence the target refuses writes of an earlier term and lower fences."""
    primary = await _open(subject[0], subject[1][0])
    term = (await primary.status()).term
    status = await primary.fence(Term(term + 2))
    assert status.fence == term + 2
    await _raises(TargetError, primary.execute(Statement('create table t (x integer)')))
    await _raises(TargetError, primary.fence(Term(term + 1)))


async def promotion_requires_its_fence(subject: tuple[Driver, list[Endpoint]], switches: FaultSwitches) -> None:
    """A replica can be promoted only in the term of its fence, and a repeated promotion returns the same start."""
    replica = await _open(subject[0], subject[1][1])
    term = Term((await replica.status()).term + 1)
    await _raises(TargetError, replica.promote(term))
    await replica.fence(term)
    start = await replica.promote(term)
    await replica.execute(Statement('create table t (x integer)'))
    assert await replica.promote(term) == start
    assert (await replica.status()).role is Role.PRIMARY


async def read_only_connection_refuses_writes(subject: tuple[Driver, list[Endpoint]], switches: FaultSwitches) -> None:
    """A connection that is set to read only refuses writes until it is reset."""
    primary = await _open(subject[0], subject[1][0])
    await primary.set_read_only(is_read_only=True)
    await _raises(TargetError, primary.execute(Statement('create table t (x integer)')))
    await primary.set_read_only(is_read_only=False)
    await primary.execute(Statement('create table t (x integer)'))


async def open_transaction_is_detected(subject: tuple[Driver, list[Endpoint]], switches: FaultSwitches) -> None:
    """A connection with an open transaction or a changed setting is not clean."""
    for sql in ('begin', 'set search_path = x'):
        connection = await _open(subject[0], subject[1][0])
        assert connection.is_clean
        await connection.execute(Statement(sql))
        assert not connection.is_clean, sql


async def crashed_target_is_lost_or_unreachable(
    subject: tuple[Driver, list[Endpoint]], switches: FaultSwitches
) -> None:
    """After a crash open connections fail with the typed error, and new ones cannot be opened."""
    connection = await _open(subject[0], subject[1][0])
    await switches.set('down')
    await _raises(ConnectionLostError, connection.execute(Statement('select 1 as x')))
    await _raises(ConnectError, _open(subject[0], subject[1][0]))


async def lost_connection_does_not_disturb_others(
    subject: tuple[Driver, list[Endpoint]], switches: FaultSwitches
) -> None:
    """A connection that replaces a lost one works, whether or not the loss was detected before."""
    for is_detected in (True, False):
        lost = await _open(subject[0], subject[1][0])
        await switches.set('drop connections')
        if is_detected:
            await _raises(ConnectionLostError, lost.execute(Statement('select 1 as x')))
        await asyncio.sleep(0.05)
        replacement = await _open(subject[0], subject[1][0])
        lost.close()
        lost.close()
        async with asyncio.timeout(2):
            await replacement.execute(Statement('select 1 as x'))
        replacement.close()


async def statement_runs_in_full_or_not_at_all(subject: tuple[Driver, list[Endpoint]], switches: FaultSwitches) -> None:
    """A text that a message can't hold as a whole is rejected, and the connection stays in use."""
    primary = await _open(subject[0], subject[1][0])
    await primary.execute(Statement('create table t (x text)'))
    changes = (
        Statement("insert into t values ('a')\0, ('b')"),
        Statement('insert into t values ($1)', ('a\0b',)),
        Statement('insert into t values ($1)', ('a', *('b' for _ in range(65_536)))),
        Statement('insert into t values ($1)', ('\ud800',)),
    )
    rejected = []
    for statement in changes:
        with contextlib.suppress(TargetError, ConnectionLostError):
            await primary.execute(statement)
            rejected.append(statement.sql)
    rows = await (await _open(subject[0], subject[1][0])).execute(Statement('select x from t'))
    assert msgspec.json.decode(rows.body)['rows'] == [], rows.body
    assert not rejected and primary.is_clean, rejected


async def connections_are_limited(subject: tuple[Driver, list[Endpoint]], switches: FaultSwitches) -> None:
    """The target refuses connections beyond its limit before a statement can be sent."""
    for _ in range(3):
        await _open(subject[0], subject[1][2])
    await _raises(ConnectError, _open(subject[0], subject[1][2]))


CLAUSES: dict[str, dict[str, Clause]] = {
    'table': {
        'a new row is created once': row_is_created_once,
        'a row changes only on its present version': row_changes_only_on_its_version,
        'an unchanged row is not sent': unchanged_row_is_not_sent,
        'the age of a row counts from its last change': age_counts_from_the_change,
        'a write whose answer is lost is unknown': lost_answer_is_unknown,
        'an outage is an error': outage_is_an_error,
    },
    'object store': {
        'an object is what was put': object_is_what_was_put,
        'an absent object is an error': absent_object_is_an_error,
        'a damaged object is an error': damaged_object_is_an_error,
    },
    'instance list': {'instances are listed': instances_are_listed},
    'database driver': {
        'the status reports role and term': status_reports_role_and_term,
        'the position grows and is replicated': position_grows_and_is_replicated,
        'a replica refuses writes': replica_refuses_writes,
        'a fenced primary refuses writes': fenced_primary_refuses_writes,
        'a promotion requires its fence': promotion_requires_its_fence,
        'a read-only connection refuses writes': read_only_connection_refuses_writes,
        'an open transaction is detected': open_transaction_is_detected,
        'a crashed target is lost or unreachable': crashed_target_is_lost_or_unreachable,
        'a lost connection does not disturb others': lost_connection_does_not_disturb_others,
        'a statement runs in full or not at all': statement_runs_in_full_or_not_at_all,
        'connections are limited': connections_are_limited,
    },
}
