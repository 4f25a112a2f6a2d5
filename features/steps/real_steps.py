"""Steps that check the guarantees with real processes."""

import asyncio
import copy
import json
import signal
import time
from typing import Any

import aiohttp
from behave import then, when

from features import builders
from features.world import Reply
from fescuequay_ctl.operations import TextConflictError

_INSTANCES = ('i1', 'i2', 'i3')


def _count(context: Any, condition: str = '1 = 1', instance: str = 'i1') -> int:
    """Count rows at the primary, independently of any session."""
    body = {'read': True, 'accept_age_ms': 0}
    reply = context.world.sql(instance, f'select count(*) as n from prices where {condition}', extra=body)
    assert reply.status == 200, reply.plain
    return int(reply.plain['result']['rows'][0][0])


@when('statements that begin transactions or change settings are sent through i1')
def step_change_connection(context: Any) -> None:
    for sql in ('begin read only', 'rollback', 'commit', 'set search_path = nowhere', 'begin'):
        context.world.sql('i1', sql)
        context.world.sql('i1', sql, extra={'read': True})


@then('the next 20 statements through i1 see none of that')
def step_unaffected(context: Any) -> None:
    for number in range(20):
        reply = context.world.sql('i1', 'insert into prices values ($1, $2)', f'dish-{number}', '1.00')
        assert reply.status == 200, reply.plain
    # Count through another instance, since a connection left in a transaction would see its own uncommitted rows.
    assert _count(context, instance='i2') == 20


@then('60 concurrent reads each get their own answer')
def step_own_answers(context: Any) -> None:
    world = context.world

    async def read(number: int) -> bool:
        body = {'sql': 'select $1 as mine', 'params': [f'mine-{number}'], 'read': True}
        reply = await world.send(_INSTANCES[number % 3], f'{builders.WRITES}/statements', body)
        return bool(reply.plain['result']['rows'] == [[f'mine-{number}']])

    async def all_reads() -> list[bool]:
        return await asyncio.gather(*(read(number) for number in range(60)))

    assert all(world.run(all_reads()))


@when('values of each type are written and read back')
def step_types(context: Any) -> None:
    world = context.world
    ddl = (
        'create table kinds (i bigint, f double precision, n numeric(40,20), t timestamptz, b boolean, j jsonb, s text)'
    )
    assert world.sql('i1', ddl).status == 200
    raw = (
        b'{"sql": "insert into kinds values ($1, $2, $3, $4, $5, $6, $7)", "params": [9007199254740993, 0.1,'
        b' 12345678901234567890.12345678901234567890, "2026-12-04 10:00:00.123456+00", true, {"a": [1, 2.50]},'
        b' "\\u00f1and\\u00fa \\u2603"]}'
    )
    reply = world.call('i1', f'{builders.WRITES}/statements', raw)
    assert reply.status == 200, reply.plain
    context.kinds = world.sql('i2', 'select * from kinds', extra={'read': True}, token=reply.token)


@then('they come back digit for digit')
def step_digits(context: Any) -> None:
    plain = context.kinds.plain['result']
    assert [column['type'] for column in plain['columns']] == [
        'int8', 'float8', 'numeric', 'timestamptz', 'bool', 'jsonb', 'text'
    ], plain  # fmt: skip
    row = plain['rows'][0]
    assert row[:5] == [9007199254740993, 0.1, '12345678901234567890.12345678901234567890',
                       '2026-12-04 10:00:00.123456+00', True], row  # fmt: skip
    assert row[5]['a'][0] == 1 and row[6] == 'ñandú ☃', row


@then('an answer beyond the limit is refused as too large')
def step_large(context: Any) -> None:
    sql = (
        'with recursive n(i) as (select 1 union all select i + 1 from n where i < 12000) '
        'select i, hex(zeroblob(250)) as pad from n'
    )
    reply = context.world.sql('i1', sql, extra={'read': True, 'timeout_ms': 20000})
    assert reply.status == 413 and reply.plain['reason'] == 'answer_too_large', reply.plain
    small = context.world.sql('i1', sql.replace('12000', '4000'), extra={'read': True})
    assert len(small.plain['result']['rows']) == 4000


@when('the same order is sent 5 times at once under one idempotency key to three instances')
def step_idempotent(context: Any) -> None:
    world = context.world
    context.order = {'sql': 'insert into prices values ($1, $2) returning dish', 'params': ['order-1', '5.00']}

    async def send(number: int) -> Reply:
        path = f'{builders.WRITES}/statements'
        reply: Reply = await world.send(_INSTANCES[number % 3], path, context.order, headers={'Idempotency-Key': 'k1'})
        return reply

    async def all_sends() -> list[Reply]:
        return await asyncio.gather(*(send(number) for number in range(5)))

    context.orders = world.run(all_sends())


@then('it is stored once, and the others repeat the first answer')
def step_stored_once(context: Any) -> None:
    assert [reply.status for reply in context.orders] == [200] * 5, [reply.plain for reply in context.orders]
    assert sorted(reply.plain['served']['repeat'] for reply in context.orders) == [False, True, True, True, True]
    assert len({json.dumps(reply.plain['result']) for reply in context.orders}) == 1
    assert _count(context, "dish = 'order-1'") == 1


@then('the same key with other statements is refused with "{reason}"')
def step_reused(context: Any, reason: str) -> None:
    body = {**context.order, 'params': ['order-2', '6.00']}
    reply = context.world.call('i2', f'{builders.WRITES}/statements', body, headers={'Idempotency-Key': 'k1'})
    assert (reply.status, reply.plain['reason'], reply.plain['verdict']) == (422, reason, 'not_run'), reply.plain


def _begin(context: Any, instance: str) -> str:
    reply = context.world.call(instance, f'{builders.WRITES}/transactions')
    assert reply.status == 201, reply.plain
    return f'{builders.WRITES}/transactions/{reply.plain["transaction"]}'


@when('i2 is killed in the middle of an interactive transaction')
def step_killed(context: Any) -> None:
    context.path = _begin(context, 'i2')
    insert = {'sql': 'insert into prices values ($1, $2)', 'params': ['half', '1.00']}
    assert context.world.call('i2', f'{context.path}/statements', insert).status == 200
    context.world.run(context.world.fleet.instances_by_name['i2'].stop(signal.SIGKILL))


@then('nothing of the transaction is stored, and another instance can write the same row')
def step_nothing_stored(context: Any) -> None:
    assert _count(context, "dish = 'half'") == 0
    reply = context.world.sql('i1', 'insert into prices values ($1, $2)', 'half', '2.00')
    assert reply.status == 200, reply.plain


@then('its transaction is refused as unknown or out of reach, not run')
def step_unknown_transaction(context: Any) -> None:
    reply = context.world.call('i1', f'{context.path}/commit')
    assert reply.plain['reason'] in {'transaction_unknown', 'peer_unreachable'}, reply.plain
    assert reply.plain['verdict'] == 'not_run', reply.plain


@when('a batch fails at its second statement')
def step_batch(context: Any) -> None:
    good = {'sql': 'insert into prices values ($1, $2)', 'params': ['batch', '1.00']}
    context.batch = [good, {'sql': 'insert into nowhere values (1)'}]
    context.world.call('i1', f'{builders.WRITES}/batches', {'statements': context.batch})


@then('nothing of the batch is stored, and the refusal says not run')
def step_batch_nothing(context: Any) -> None:
    reply = context.world.replies[-1]
    assert (reply.status, reply.plain['verdict']) == (422, 'not_run'), reply.plain
    assert _count(context, "dish = 'batch'") == 0


@then('a write that is declared a read is refused and has not run')
def step_mislabelled(context: Any) -> None:
    for instance in _INSTANCES:
        for body in ({'read': True}, {'read': True, 'accept_age_ms': 0}):
            reply = context.world.sql(instance, 'insert into prices values ($1, $2)', 'sly', '1.00', extra=body)
            assert (reply.status, reply.plain['verdict']) == (422, 'not_run'), reply.plain
    statements = [{'sql': 'set transaction read write'}, {'sql': "insert into prices values ('sly', '1.00')"}]
    body = {'statements': statements, 'read': True, 'accept_age_ms': 0}
    reply = context.world.call('i1', f'{builders.WRITES}/batches', body)
    assert reply.status == 400 and reply.plain['verdict'] == 'not_run', reply.plain
    assert _count(context, "dish = 'sly'") == 0


@then('a batch that contains a commit is refused with a verdict that it may have run')
def step_own_commit(context: Any) -> None:
    statements = [context.batch[0], {'sql': 'commit'}, context.batch[0]]
    reply = context.world.call('i1', f'{builders.WRITES}/batches', {'statements': statements})
    assert (reply.status, reply.plain['verdict']) == (400, 'may_have_run'), reply.plain


@when('a transaction is begun at i1, used at i3 and committed at i2')
def step_transaction_moves(context: Any) -> None:
    path = _begin(context, 'i1')
    for number, instance in enumerate(('i3', 'i1', 'i2')):
        insert = {'sql': 'insert into prices values ($1, $2)', 'params': [f'roam-{number}', '1.00']}
        reply = context.world.call(instance, f'{path}/statements', insert)
        assert reply.status == 200, reply.plain
    assert _count(context) == 0
    reply = context.world.call('i2', f'{path}/commit')
    assert reply.status == 200, reply.plain
    context.token = reply.token


@then('its rows are read through i2 with the session of the commit')
def step_transaction_read(context: Any) -> None:
    reply = context.world.sql('i2', 'select count(*) as n from prices', token=context.token, extra={'read': True})
    assert reply.plain['result']['rows'] == [[3]], reply.plain


@when('writes go on at every instance while the primary is cut off')
def step_cut_primary(context: Any) -> None:
    world = context.world
    context.acked = []

    async def writer(number: int, until: float) -> None:
        turn = 0
        while time.monotonic() < until:
            turn += 1
            name = f'w{number}-{turn}'
            body = {'sql': 'insert into prices values ($1, $2)', 'params': [name, '1.00']}
            reply = await world.send(_INSTANCES[number % 3], f'{builders.WRITES}/statements', body)
            if reply.status == 200:
                context.acked.append((reply.plain['served']['term'], name))
            await asyncio.sleep(0.02)

    async def run() -> None:
        until = time.monotonic() + 11
        writers = [asyncio.create_task(writer(number, until)) for number in range(6)]
        await asyncio.sleep(2)
        await world.fleet.set_member_faults('g1-1', is_isolated=True, cut_data_centres=('dc-b', 'dc-c'))
        await asyncio.gather(*writers)
        await world.fleet.set_member_faults('g1-1')
        await asyncio.sleep(2)

    world.run(run())


@then('every acknowledged write is read back')
def step_all_back(context: Any) -> None:
    body = {'read': True, 'accept_age_ms': 0, 'timeout_ms': 10000}
    reply = context.world.sql('i2', 'select dish from prices', extra=body)
    held = [row[0] for row in reply.plain['result']['rows']]
    assert reply.plain['served']['term'] > 1, reply.plain['served']
    missing = {name for _, name in context.acked} - set(held)
    assert not missing, missing
    assert len(held) == len(set(held))


@then('writes went on in the next term')
def step_next_term(context: Any) -> None:
    assert len({term for term, _ in context.acked}) > 1, {term for term, _ in context.acked}


@when('requests with keys succeed and fail at every instance')
def step_keys(context: Any) -> None:
    for instance in _INSTANCES:
        for organisation in ('acme', 'bolt', 'nobody'):
            context.world.sql(instance, 'select 1 as one', organisation=organisation, extra={'read': True})
            context.world.sql(instance, 'select broken from', organisation=organisation)
            context.world.call(instance, f'{builders.WRITES}/transactions/x~y/commit', organisation=organisation)


@then('no log, metric, status, reply, row or target contains a key')
def step_no_key(context: Any) -> None:
    world = context.world

    async def get(url: str) -> str:
        async with world.http.get(url) as answer:
            return str(await answer.text())

    places: dict[str, str] = {}
    for name, instance in world.fleet.instances_by_name.items():
        for path in ('metrics', 'status', 'explain/acme', 'explain/bolt'):
            places[f'{name} {path}'] = world.run(get(f'http://{instance.peers}/{path}'))
        places[f'{name} log'] = ''.join(instance.log)
    for number, reply in enumerate(world.replies):
        places[f'reply {number}'] = f'{reply.plain} {dict(reply.headers)}'
    for key, row in world.fleet.platform.rows_by_key.items():
        places[f'row {key}'] = row.body.decode()
    for group in world.fleet.groups_by_id.values():
        for name, member in group.members_by_name.items():
            places[name] = repr(member.database.log) + repr(member.seen_options)
    assert places['i1 log'] and places['i1 metrics']
    for organisation in ('acme', 'bolt', 'nobody'):
        found = [place for place, text in places.items() if builders.key_of(organisation) in text]
        assert not found, found


def _apply(context: Any, edit: Any) -> None:
    plain = copy.deepcopy(context.world.fleet.plain)
    edit(plain)
    context.world.run(context.world.operations.apply(builders.raw_text(plain), 'test', None))
    context.world.fleet.plain = plain


@when('callers use the key of "{organisation}" on open connections while it is withdrawn')
def step_withdraw_real(context: Any, organisation: str) -> None:
    world = context.world
    context.served = []

    async def caller(instance: str, until: float) -> None:
        while time.monotonic() < until:
            body = {'sql': 'select 1 as one', 'read': True}
            reply = await world.send(instance, f'{builders.READS}/statements', body, organisation=organisation)
            if reply.status == 200:
                context.served.append(time.monotonic())
            await asyncio.sleep(0.02)

    async def run() -> None:
        callers = [asyncio.create_task(caller(name, time.monotonic() + 8)) for name in _INSTANCES]
        await asyncio.sleep(1)
        plain = copy.deepcopy(world.fleet.plain)
        plain['organisations'][organisation]['keys'] = {}
        await world.operations.apply(builders.raw_text(plain), 'test', None)
        await world.operations.wait(2, 20)
        context.in_force_at = time.monotonic()
        await asyncio.gather(*callers)

    world.run(run())


@then('no request with it is served once every instance has the text')
def step_withdrawn_real(context: Any) -> None:
    assert context.served and min(context.served) < context.in_force_at
    # Answers to requests that were served just before may still be in transit.
    late = [at for at in context.served if at > context.in_force_at + 1]
    assert not late, late
    for instance in _INSTANCES:
        reply = context.world.sql(instance, 'select 1 as one', organisation='bolt', extra={'read': True})
        assert reply.plain['reason'] == 'key_unknown', reply.plain


@when('two operators apply different texts that they edited from the same one')
def step_two_operators(context: Any) -> None:
    world = context.world
    texts = []
    for rate in (111, 222):
        plain = copy.deepcopy(world.fleet.plain)
        plain['organisations']['acme']['rate_per_s'] = rate
        texts.append(builders.raw_text(plain))

    async def run() -> list[Any]:
        jobs = (world.operations.apply(raw, f'operator-{number}', 1) for number, raw in enumerate(texts))
        return await asyncio.gather(*jobs, return_exceptions=True)

    context.results = world.run(run())


@then('one is applied, and the other is told which text was applied and how it differs')
def step_race(context: Any) -> None:
    losers = [result for result in context.results if isinstance(result, TextConflictError)]
    winners = [result for result in context.results if not isinstance(result, Exception)]
    assert len(losers) == len(winners) == 1, context.results
    assert winners[0].number == 2 and winners[0].author in str(losers[0]), str(losers[0])
    assert any('acme.rate_per_s' in line for line in losers[0].differences), losers[0].differences


@when('"acme" gets a rate of 10 and a burst of 20 and sends 150 requests at once to all instances')
def step_burst_real(context: Any) -> None:
    world = context.world
    _apply(context, lambda plain: plain['organisations']['acme'].update(rate_per_s=10, burst=20))
    world.run(world.operations.wait(2, 5))

    async def send(number: int) -> int:
        body = {'sql': 'select 1 as one', 'read': True}
        reply = await world.send(_INSTANCES[number % 3], f'{builders.WRITES}/statements', body)
        if reply.status == 429:
            assert reply.plain['reason'] == 'rate_exceeded' and int(reply.headers['Retry-After']) >= 1
        return int(reply.status)

    async def run() -> list[int]:
        return await asyncio.gather(*(send(number) for number in range(150)))

    began_at = time.monotonic()
    statuses = world.run(run())
    context.allowed = 20 + 10 * (time.monotonic() - began_at)
    context.statuses = statuses


@then('no more than rate and burst allow were served')
def step_burst_served(context: Any) -> None:
    served = context.statuses.count(200)
    assert 1 <= served <= context.allowed, (served, context.allowed)


@when('callers read while "{target}" is marked as draining')
def step_drain_real(context: Any, target: str) -> None:
    context.draining = target
    world = context.world
    group = 'services db groups g1 targets'.split()

    def edit(plain: Any) -> None:
        for name in group:
            plain = plain[name]
        plain[target]['draining'] = True

    _apply(context, edit)
    world.run(world.operations.wait(2, 20))


@then('it serves no read once every instance has the text')
def step_drained(context: Any) -> None:
    served = {
        context.world.sql(name, 'select 1 as one', extra={'read': True}).plain['served']['target']
        for name in _INSTANCES * 6
    }
    assert served and context.draining not in served, served


@when('i2 is stopped while callers write through the balancer')
def step_stop_real(context: Any) -> None:
    world = context.world
    context.trouble = []

    async def one(http: aiohttp.ClientSession, name: str) -> None:
        url = f'http://127.0.0.1:{world.fleet.balancer.port}/v1/{builders.WRITES}/statements'
        body = {'sql': 'insert into prices values ($1, $2)', 'params': [name, '1.00']}
        headers = {'Authorization': f'Bearer {builders.key_of("acme")}'}
        try:
            async with http.post(url, json=body, headers=headers) as answer:
                text = await answer.text()
        except (aiohttp.ClientError, OSError) as error:
            context.trouble.append(repr(error))
            return
        if answer.status != 200:
            context.trouble.append(text)

    async def caller(number: int, until: float) -> None:
        turn = 0
        connector = aiohttp.TCPConnector(force_close=True)
        async with aiohttp.ClientSession(connector=connector) as http:
            while time.monotonic() < until:
                turn += 1
                await one(http, f's{number}-{turn}')
                await asyncio.sleep(0.01)

    async def run() -> None:
        callers = [asyncio.create_task(caller(number, time.monotonic() + 6)) for number in range(6)]
        await asyncio.sleep(1)
        instance = world.fleet.instances_by_name['i2']
        instance.send(signal.SIGTERM)
        await asyncio.gather(*callers)
        context.code = await instance.process.wait()

    world.run(run())


@then('every write was answered with success, and i2 exited with code 0')
def step_stop_clean(context: Any) -> None:
    assert not context.trouble, context.trouble[:3]
    assert context.code == 0, context.code


@when('every open connection of "{target}" stops responding')
def step_silence(context: Any, target: str) -> None:
    context.world.run(context.world.fleet.set_member_faults(target, silence_open=True))


@then('writes are served again')
def step_served_again(context: Any) -> None:
    for number in range(40):
        extra = {'timeout_ms': 1000}
        reply = context.world.sql('i1', 'insert into prices values ($1, $2)', f'again-{number}', '1.00', extra=extra)
        if reply.status == 200:
            break
    assert reply.status == 200, reply.plain
