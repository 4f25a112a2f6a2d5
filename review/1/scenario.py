"""The holder of the failover duty is cut off from the platform while its call to promote is on the way."""

import asyncio
import os
import pathlib
import sys
import time

from standins.client import Client, Closed
from standins.database import Database, Group
from standins.instances import Instance, temporary_folder
from standins.link import Link
from standins.record import Record
from standins.store import Promotions, Store

#: Times that a promotion takes, that databases are dark and that the holder is cut off, in seconds.
_PROMOTE_S = 1.0
_PRIMARY_DARK_S = 7.0
_REPLICA_DARK_S = 4.0
_CUT_S = 5.5

#: Time from the holder's first write of the failover to the cut, in seconds: it has asked the replicas by then, and
#: waits for the one that is dark.
_CUT_AFTER_S = 1.75

#: Time for which the platform is watched after the cut, in seconds.
_WATCH_S = 8.0

_CONFIG = {
    'version': 3,
    'routes': [
        {
            'name': f'r-{service}',
            'host': f'db-{service}',
            'route_type': 'primary',
            'service': service,
            'timeout_ms': 1000,
            'target_latency_ms': 200,
            'priority': 1,
        }
        for service in ('orders', 'menus')
    ],
    'services': [{'name': name, 'max_conns': 21, 'sync_replicas': 0} for name in ('orders', 'menus')],
    'limits': {'tx_idle_ms': 3000},
    'tenants': [{'name': 'org', 'api_keys': ['org-key'], 'rate_per_s': 70, 'burst': 70}],
}


async def _write_on(instance: Instance, record: Record, acknowledged: list[tuple[float, str]]) -> None:
    """Write again and again, with a new session after each failure."""
    client: Client | None = None
    number = 0
    while True:
        await asyncio.sleep(0.1)
        try:
            if client is None:
                client = Client(instance.callers_port, record, 'writer')
                await client.open('db-orders', 'org-key')
            number += 1
            answer = await client.query(f'WRITE 1a4 value-{number}')
            if not answer.code:
                acknowledged.append((record.now(), client.last_request))
        except Closed:
            if client is not None:
                client.close()
            client = None


def _first_write(store: Store, service: str, since: float) -> float | None:
    """:returns: When the system wrote its row of a service since a time; nothing if it has not."""
    times = [at for (table, key), at in store.written_at.items() if table == 'fescuequay' and key.endswith(service)]
    return min((at for at in times if at > since), default=None)


async def _await_calls(promotions: Promotions, service: str, timeout_s: float) -> str:
    """:returns: Holder of the first call for a service. :raises RuntimeError: There was none in time."""
    until = time.monotonic() + timeout_s
    while time.monotonic() < until:
        for _, holder, _, name, _ in promotions.calls:
            if name == service:
                return holder
        await asyncio.sleep(0.02)
    raise RuntimeError(f'nobody was promoted for {service}')


def _judge(record: Record, promotions: Promotions, group: Group, acknowledged: list[tuple[float, str]]) -> bool:
    """Check the rule ONE.

    :returns: Whether a call had a lower token than the platform had seen, or a write ran at the old primary after a
        promotion had taken effect, and was acknowledged.
    """
    newest = 0
    is_broken = False
    for at, holder, token, service, name in promotions.calls:
        if token < newest:
            is_broken = True
            record.say(f'ONE: at {at:.2f} s {holder} promotes {name} of {service} with token {token} after {newest}')
        newest = max(newest, token)
    known = {request for _, request in acknowledged}
    for database in group.databases:
        for request, at in database.ran_at.items():
            earlier = [name for effect_at, name in group.promotions if effect_at < at]
            if request in known and earlier and earlier[-1] != database.name:
                is_broken = True
                record.say(f'ONE: at {at:.3f} s {database.name} runs {request}, acknowledged; {earlier[-1]} leads')
    return is_broken


async def _run(record: Record, folder: pathlib.Path) -> int:
    store = Store()
    await store.start()
    orders = [Database(f'i-orders-{number}', 'orders', zone, record) for number, zone in enumerate('abc')]
    menus = [Database(f'i-menus-{number}', 'menus', zone, record) for number, zone in enumerate('abc')]
    groups = {'orders': Group(store, record, orders), 'menus': Group(store, record, menus)}
    promotions = Promotions(record, groups, _PROMOTE_S)
    await promotions.start()
    store.put('op', 'config', _CONFIG)
    for group in groups.values():
        await group.start()
    instances: dict[str, Instance] = {}
    links: dict[str, tuple[Link, Link]] = {}
    for zone in 'abc':
        name = f'front-{zone}-1'
        links[name] = (Link(store.port), Link(promotions.port))
        for link in links[name]:
            await link.start()
        instances[name] = Instance(name, zone, links[name][0].port, links[name][1].port, folder, record)
    writing: asyncio.Task[None] | None = None
    acknowledged: list[tuple[float, str]] = []
    try:
        for instance in instances.values():
            instance.start()
        for instance in instances.values():
            await instance.await_ready()
        await asyncio.sleep(4)
        # An earlier failover of another service, whose call leaves the holder a connection to the platform.
        groups['menus'].set_dark(menus[0], True)
        holder = await _await_calls(promotions, 'menus', 8)
        others = [instance for name, instance in instances.items() if name != holder]
        writing = asyncio.create_task(_write_on(others[0], record, acknowledged))
        await asyncio.sleep(_PRIMARY_DARK_S)
        groups['menus'].set_dark(menus[0], False)
        await asyncio.sleep(1)
        # The failover: the primary and one replica go dark, the replica for a shorter time.
        crashed_at = time.monotonic()
        groups['orders'].set_dark(orders[0], True)
        groups['orders'].set_dark(orders[2], True)
        asyncio.get_running_loop().call_later(_REPLICA_DARK_S, groups['orders'].set_dark, orders[2], False)
        asyncio.get_running_loop().call_later(_PRIMARY_DARK_S, groups['orders'].set_dark, orders[0], False)
        while (began_at := _first_write(store, 'orders', crashed_at)) is None:
            if time.monotonic() > crashed_at + 6:
                raise RuntimeError('no failover began')
            await asyncio.sleep(0.01)
        await asyncio.sleep(began_at + _CUT_AFTER_S - time.monotonic())
        if os.environ.get('TROUBLE') != '0':
            record.write('cut from the platform', name=holder)
            for link in links[holder]:
                link.cut()
        await asyncio.sleep(_CUT_S)
        for link in links[holder]:
            link.heal()
        record.write('cut ends', name=holder)
        await asyncio.sleep(_WATCH_S)
        writing.cancel()
        if not any(call[3] == 'orders' for call in promotions.calls):
            record.say('could not run: nobody was promoted for orders')
            return 2
        is_broken = _judge(record, promotions, groups['orders'], acknowledged)
        _tell_lost(record, orders, acknowledged)
        record.say('BROKEN' if is_broken else 'held')
        return int(is_broken)
    finally:
        for instance in instances.values():
            instance.end()


def _tell_lost(record: Record, orders: list[Database], acknowledged: list[tuple[float, str]]) -> None:
    """Tell how many acknowledged writes the present primary lacks; told only, not judged."""
    leading = max((one for one in orders if one.is_primary), key=lambda one: one.term)
    kept = {request for _, _, _, request in leading.log}
    lost = [at for at, request in acknowledged if request not in kept]
    when = f', acknowledged from {min(lost):.2f} to {max(lost):.2f} s' if lost else ''
    record.say(f'acknowledged writes: {len(acknowledged)}; not in the log of {leading.name}: {len(lost)}{when}')


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
