"""A primary is cut off from its replicas and the store and is replaced, while transactions stay open on it."""

import asyncio
import os
import pathlib
import sys
import time

from standins.client import Client, Closed
from standins.database import Database, Group
from standins.instances import Instance, temporary_folder
from standins.record import Record
from standins.store import Promotions, Store

#: Time that a promotion takes, in seconds.
_PROMOTE_S = 0.3

#: Length of the partition, and of the time for which a replica receives nothing, in seconds.
_CUT_S = 7.0
_DEAF_S = 6.5

#: Time after which the entry of a database that is cut off expires: three heartbeats of 1.2 s after the last one.
_EXPIRE_S = 3.0

#: Largest age of data on the route that is read, in seconds.
_STALENESS_S = 1.5

#: Open transactions, the pause between the statements of each, in seconds, and their number.
_TRANSACTIONS = 4
_PAUSE_S = 1.2
_STATEMENTS = 9

_CONFIG = {
    'version': 3,
    'routes': [
        {
            'name': 'r-booking',
            'host': 'booking',
            'route_type': 'primary',
            'service': 'trails',
            'timeout_ms': 1000,
            'target_latency_ms': 200,
            'priority': 1,
        },
        {
            'name': 'r-roster',
            'host': 'roster',
            'route_type': 'bounded_staleness',
            'max_staleness_ms': 1500,
            'service': 'trails',
            'timeout_ms': 2000,
            'target_latency_ms': 600,
            'priority': 2,
        },
    ],
    'services': [{'name': 'trails', 'max_conns': 60, 'sync_replicas': 0}],
    'limits': {'tx_idle_ms': 3000},
    'tenants': [{'name': 'org', 'api_keys': ['org-key'], 'rate_per_s': 70, 'burst': 70}],
}


async def _hold_transaction(instance: Instance, record: Record, number: int) -> None:
    """Read in a transaction at the usual pace of a person."""
    client = Client(instance.callers_port, record, f'transaction-{number}')
    try:
        await client.open('booking', 'org-key')
        await client.query('BEGIN')
        for _ in range(_STATEMENTS):
            answer = await client.query(f'READ other-{number}')
            if answer.code:
                break
            await asyncio.sleep(_PAUSE_S)
        await client.query('ROLLBACK')
    except Closed:
        return
    finally:
        client.close()


async def _write(instance: Instance, record: Record, acknowledged: list[tuple[float, str]]) -> None:
    """Write again and again."""
    client = Client(instance.callers_port, record, 'writer')
    number = 0
    while True:
        try:
            await client.open('booking', 'org-key')
            while True:
                number += 1
                answer = await client.query(f'WRITE 1a4 value-{number}')
                if not answer.code:
                    acknowledged.append((record.now(), client.last_request))
                await asyncio.sleep(0.1)
        except Closed:
            client.close()
            await asyncio.sleep(0.1)


async def _read(instance: Instance, record: Record, reads: list[tuple[float, str]]) -> None:
    """Read again and again; note when each read was sent that succeeded."""
    client = Client(instance.callers_port, record, 'reader')
    while True:
        try:
            await client.open('roster', 'org-key')
            while True:
                sent_at = record.now()
                answer = await client.query('READ 1a4')
                if not answer.code:
                    reads.append((sent_at, client.last_request))
                await asyncio.sleep(0.1)
        except Closed:
            client.close()
            await asyncio.sleep(0.1)


def _judge(
    record: Record, group: Group, acknowledged: list[tuple[float, str]], reads: list[tuple[float, str]]
) -> bool:
    """:returns: Whether a read ran on a log that lacks a commit acknowledged long enough before it was sent."""
    leading = max((one for one in group.databases if one.is_primary), key=lambda one: one.term)
    kept = {entry[3] for entry in leading.log}
    stale = []
    for sent_at, request in reads:
        for database in group.databases:
            seen = database.seen_by_read.get(request)
            if seen is None:
                continue
            lacking = [at for at, write in acknowledged if at < sent_at - _STALENESS_S and write in kept - seen]
            if lacking:
                stale.append((sent_at, database.name, len(lacking), sent_at - min(lacking)))
    for sent_at, name, count, age_s in stale[:3] + stale[-1:]:
        record.say(
            f'STALE: the read sent at {sent_at:.2f} s runs at {name}, which lacks {count} commits; '
            f'the oldest was acknowledged {age_s:.2f} s before'
        )
    record.say(f'reads: {len(reads)}, stale: {len(stale)}; writes acknowledged: {len(acknowledged)}')
    return bool(stale)


async def _run(record: Record, folder: pathlib.Path) -> int:
    store = Store()
    await store.start()
    databases = [Database(f'i-{number}', 'trails', zone, record) for number, zone in enumerate('abc')]
    group = Group(store, record, databases)
    promotions = Promotions(record, {'trails': group}, _PROMOTE_S)
    await promotions.start()
    store.put('op', 'config', _CONFIG)
    await group.start()
    instances = [Instance(f'front-{zone}-1', zone, store.port, promotions.port, folder, record) for zone in 'abc']
    tasks: list[asyncio.Task[None]] = []
    acknowledged: list[tuple[float, str]] = []
    reads: list[tuple[float, str]] = []
    is_cut = os.environ.get('TROUBLE') != '0'
    try:
        for instance in instances:
            instance.start()
        for instance in instances:
            await instance.await_ready()
        await asyncio.sleep(4)
        # The clients in transactions and the reader use the instance that coordinates; the writer uses another one.
        busy = next(instance for instance in instances if instance.events('duty_taken'))
        other = next(instance for instance in instances if instance is not busy)
        tasks.append(asyncio.create_task(_read(busy, record, reads)))
        await asyncio.sleep(1)
        primary, deaf = databases[0], databases[1]
        if is_cut:
            group.cut_off(primary, _EXPIRE_S)
            deaf.is_deaf = True
            record.write('database receives nothing', id=deaf.name)
        cut_at = time.monotonic()
        for number in range(_TRANSACTIONS):
            tasks.append(asyncio.create_task(_hold_transaction(busy, record, number)))
            await asyncio.sleep(_PAUSE_S / _TRANSACTIONS)
        while is_cut and not group.promotions:
            if time.monotonic() > cut_at + _CUT_S:
                record.say('could not run: nobody was promoted during the cut')
                return 2
            await asyncio.sleep(0.02)
        tasks.append(asyncio.create_task(_write(other, record, acknowledged)))
        await asyncio.sleep(cut_at + _DEAF_S - time.monotonic())
        if is_cut:
            deaf.is_deaf = False
            record.write('database receives again', id=deaf.name)
            await asyncio.sleep(cut_at + _CUT_S - time.monotonic())
            group.heal(primary)
        await asyncio.sleep(4)
        for task in tasks:
            task.cancel()
        if not reads or not acknowledged:
            record.say('could not run: no read or no write succeeded')
            return 2
        is_broken = _judge(record, group, acknowledged, reads)
        record.say('BROKEN' if is_broken else 'held')
        return int(is_broken)
    finally:
        for task in tasks:
            task.cancel()
        for instance in instances:
            instance.end()


def main() -> int:
    """:returns: The exit code."""
    record = Record(pathlib.Path(__file__).with_name('record.txt'))
    try:
        with temporary_folder() as folder:
            return asyncio.run(_run(record, pathlib.Path(folder)))
    except Exception as error:  # noqa: BLE001 -- a case that can't run must say so
        record.say(f'could not run: {error!r}')
        return 2


if __name__ == '__main__':
    sys.exit(main())
