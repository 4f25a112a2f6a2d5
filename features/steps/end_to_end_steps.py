"""Steps that start real processes and send them single statements."""

from typing import Any

from behave import given, then, when

from features.world import World


@given('{count:d} real instances')
def step_real_instances(context: Any, count: int) -> None:
    context.world = World()
    context.world.start(count)


@given('{count:d} real instances whose reads wait up to {wait_s:g} s for a replica')
def step_patient_instances(context: Any, count: int, wait_s: float) -> None:
    # By default a read turns to the primary after 0.05 s, which is less than a busy machine takes to replicate.
    context.world = World()
    context.world.fleet.timing = {'replica_wait_s': wait_s}
    context.world.start(count)


@given('the table "{table}" exists')
def step_table(context: Any, table: str) -> None:
    reply = context.world.sql('i1', f'create table {table} (dish text primary key, price numeric(12,2))')
    assert reply.status == 200, reply.plain


@when('the caller writes price "{price}" for "{dish}" through {instance}')
def step_write_price(context: Any, price: str, dish: str, instance: str) -> None:
    sql = 'insert into prices values ($1, $2) on conflict (dish) do update set price = excluded.price'
    reply = context.world.sql(instance, sql, dish, price, token=context.world.token)
    assert reply.status == 200, reply.plain
    context.world.token = reply.token


@when('the caller reads "{dish}" through {instance} with its session')
def step_read_price(context: Any, dish: str, instance: str) -> None:
    sql = 'select price from prices where dish = $1'
    context.world.sql(instance, sql, dish, token=context.world.token, extra={'read': True})


@then('the answer holds price "{price}"')
def step_price(context: Any, price: str) -> None:
    reply = context.world.replies[-1]
    assert reply.status == 200, reply.plain
    assert reply.plain['result']['rows'] == [[price]], reply.plain


@then('a replica served it')
def step_replica(context: Any) -> None:
    reply = context.world.replies[-1]
    assert reply.plain['served']['role'] == 'replica', reply.plain


@when('a caller without a key sends "{sql}" to {instance}')
def step_without_key(context: Any, sql: str, instance: str) -> None:
    context.world.sql(instance, sql, organisation=None)


@then('it is refused with {status:d} "{reason}" and verdict "{verdict}"')
def step_refused(context: Any, status: int, reason: str, verdict: str) -> None:
    reply = context.world.replies[-1]
    found = (reply.status, reply.plain.get('reason'), reply.plain.get('verdict'))
    assert found == (status, reason, verdict), reply.plain
