"""Steps about entries and rows that another writer has left, and about addresses that can't be used."""

import asyncio
import contextlib
import dataclasses
from collections.abc import Callable, Coroutine
from typing import Any, Final

import msgspec
from behave import given, then, when

from features import odd_entries
from fescuequay_core.decoding import JsonDecoder, UnreadableError
from fescuequay_core.relay.model import Configuration, LeaseRow, MemberRecord, TargetDescription
from fescuequay_core.types import InstanceId, OrganisationId, Role, ServiceId, TargetId
from fescuequay_entry.relay.hop_tcp import TcpHops
from fescuequay_entry.relay.hops import HopUnreachable
from fescuequay_entry.relay.http_client import HttpClient, HttpError
from fescuequay_entry.relay.messages import ExchangeRequest, News
from fescuequay_entry.relay.ports import TableRow, TargetLost
from fescuequay_entry.relay.settings import split_address
from fescuequay_entry.relay.table_rows import LEADER_PREFIX, LEASE_KEY, MEMBER_PREFIX, Rows
from fescuequay_platform import rows, store
from fescuequay_platform.connections import LineDriver

_MEMBER: Final = MemberRecord(InstanceId('i'), 'x', '127.0.0.1:1', 'north')

_LEASE: Final = LeaseRow(InstanceId('i'), 'x', '127.0.0.1:1', 1, 'n')

_TARGET: Final = TargetDescription(
    TargetId('t'), 1, ServiceId('s'), '127.0.0.1:1', 'north', is_draining=False, role=Role.REPLICA, slots=4
)


@when('another writer leaves each of the odd registry entries')
def step_odd_entries(context: Any) -> None:
    context.described = {name: rows.decode_target('i-9', raw) for name, raw in odd_entries.ENTRIES_BY_NAME.items()}


@then('none of them describes a target, and a complete entry still does')
def step_no_target(context: Any) -> None:
    usable = [name for name, target in context.described.items() if target is not None]
    assert not usable, usable
    assert rows.decode_target('i-1', odd_entries.entry()) is not None


@when('another writer leaves complete registry entries under odd keys')
def step_odd_keys(context: Any) -> None:
    context.described = {
        name: rows.decode_target(key, odd_entries.entry()) for name, key in odd_entries.KEYS_BY_NAME.items()
    }


class FixedStore:
    """Answers each call of the store with the same three rows."""

    async def get(self, _path: str, _query: Any, **_limits: Any) -> Any:
        raw = msgspec.json.encode({'rows': [{'key': key, 'value': '', 'ver': 1} for key in 'abc'], 'ver': 1})
        return store._decode_answer(raw, '0')


def _fail_at_second(key: str, _content: bytes) -> str:
    if key == 'b':
        raise ZeroDivisionError
    return key


@given('a feed of 3 entries whose decoder fails at the second one')
def step_failing_decoder(context: Any) -> None:
    client: Any = FixedStore()
    context.feed = store.StoreFeed(client, 'servers', _fail_at_second)


@when('the feed is read as a whole, and then its changes')
def step_read_feed(context: Any) -> None:
    async def read() -> list[dict[str, Any]]:
        return [dict((await context.feed.snapshot()).items), dict((await context.feed.changes(1, 0)).items)]

    context.batches = asyncio.run(read())


@then('both have the first and the third entry, and the second one as missing')
def step_others_kept(context: Any) -> None:
    assert context.batches == [{'a': 'a', 'b': None, 'c': 'c'}] * 2, context.batches


@when('another writer leaves each of the odd rows among those of the system')
def step_odd_rows(context: Any) -> None:
    good = msgspec.json.encode(_MEMBER)
    odd = [
        TableRow(f'{prefix}{number}', raw, number + 1)
        for number, raw in enumerate(odd_entries.OWN_ROWS_BY_NAME.values())
        for prefix in (LEADER_PREFIX, MEMBER_PREFIX, LEASE_KEY)
    ]
    context.rows = Rows.decode([*odd, TableRow(f'{MEMBER_PREFIX}i', good, 99)])


@then('the other rows are read, and everything that was read can be sent on')
def step_other_rows(context: Any) -> None:
    found = context.rows
    assert 'i' in found.members_by_id, found
    assert not found.leaders and found.lease is None, found
    msgspec.json.encode(list(found.members_by_id.values()))


@when("the operators' row has odd entries in each list, a field that is nested too deep, and half a character")
def step_odd_configuration(context: Any) -> None:
    context.configuration = rows.decode_operator_row(
        'config', odd_entries.with_odd_entries(odd_entries.configuration())
    )


@then('all other routes, services and organisations are in force')
def step_others_in_force(context: Any) -> None:
    found = context.configuration
    assert isinstance(found, Configuration), found
    assert list(found.routes_by_database) == ['db'], found
    assert list(found.services_by_id) == ['svc'] and list(found.organisations_by_id) == ['org'], found


async def _connect_target(address: str) -> None:
    target = dataclasses.replace(_TARGET, address=address)
    await LineDriver().connect(target, OrganisationId('o'))


async def _connect_http(address: str) -> None:
    await HttpClient().request('GET', address, '/')


async def _connect_gateway(address: str) -> None:
    host, port = split_address(address)
    receiver: Any = None
    await TcpHops('127.0.0.1', 1).connect(f'{host}:{port + 1}', receiver)


_CONNECTS_BY_NAME: dict[str, tuple[Callable[[str], Coroutine[Any, Any, None]], type[Exception]]] = {
    'the driver of targets': (_connect_target, TargetLost),
    'the HTTP client': (_connect_http, HttpError),
    'the streams to gateways': (_connect_gateway, HopUnreachable),
}


@when('a connection to {address} is opened by {opener}')
def step_connect(context: Any, address: str, opener: str) -> None:
    connect, context.expected = _CONNECTS_BY_NAME[opener]
    context.error = None
    try:
        asyncio.run(connect(address))
    except Exception as error:  # noqa: BLE001 -- the next step checks its type
        context.error = error


@then('it fails as one to an unreachable end')
def step_unreachable(context: Any) -> None:
    assert isinstance(context.error, context.expected), repr(context.error)


@when('another writer leaves members and leases with odd names and addresses, and instances send them')
def step_odd_instances(context: Any) -> None:
    context.read = []
    for field, text in odd_entries.ODD_INSTANCES:
        member = msgspec.json.encode(dataclasses.replace(_MEMBER, **{field: text}))
        if Rows.decode([TableRow(f'{MEMBER_PREFIX}i', member, 1)]).members_by_id:
            context.read.append(('a member of the table', field, text))
        request = msgspec.json.encode(ExchangeRequest(msgspec.Raw(member), 1, '', {}, ''))  # type: ignore[arg-type]
        _note_if_read(context, 'a member that asks', ExchangeRequest, request, field, text)
        if field == 'data_centre':
            continue
        lease = msgspec.json.encode(dataclasses.replace(_LEASE, **{field: text}))
        if Rows.decode([TableRow(LEASE_KEY, lease, 1)]).lease is not None:
            context.read.append(('a lease of the table', field, text))
        if field == 'address':
            _note_if_read(context, 'news', News, msgspec.json.encode(News(sender=text)), field, text)


def _note_if_read(context: Any, what: str, kind: type, raw: bytes, field: str, text: str) -> None:
    with contextlib.suppress(UnreadableError):
        JsonDecoder[Any](kind).decode(raw)
        context.read.append((what, field, text))


@then('none of them is read, and sound ones, a lease that nobody holds and news of nobody still are')
def step_no_odd_instance(context: Any) -> None:
    assert not context.read, context.read
    free = dataclasses.replace(_LEASE, instance=InstanceId(''), address='')
    rows_of_two = [
        TableRow(f'{MEMBER_PREFIX}i', msgspec.json.encode(_MEMBER), 1),
        TableRow(LEASE_KEY, msgspec.json.encode(free), 2),
    ]
    found = Rows.decode(rows_of_two)
    assert found.members_by_id and found.lease is not None, found
    assert JsonDecoder[News](News).decode(b'{}') == News()
