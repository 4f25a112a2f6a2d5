"""Steps of the policies about connections: few of them, full targets, and restarts under load."""

import asyncio
import collections
from collections.abc import Iterator
from typing import Any
from unittest import mock

from behave import given, then, when

from fescuequay_core.relay.model import DatabaseName
from fescuequay_core.relay.waiting import WaitingStatement
from fescuequay_core.types import OrganisationId
from fescuequay_emulator.callers import Session, StatementOutcome
from fescuequay_emulator.load import read
from fescuequay_emulator.world import Plan, World
from fescuequay_entry.relay import pool
from fescuequay_entry.relay.ports import TargetLost


@when('its target does not open a connection for a statement with {ms:d} ms left')
def step_slow_connect(context: Any, ms: int) -> None:
    world: World = context.relay

    async def scenario(_: World) -> None:
        await world.start()
        instance = world.instances['n0']
        target = world.primary_of('s0')
        target.is_silent = True
        connections = instance._pools.pool_of(target.description)
        try:
            now = world.loop.time()
            await connections.acquire(WaitingStatement(OrganisationId('o0'), 0, now, now, now + ms / 1000))
        except TargetLost:
            context.is_usable = instance.board.health_of(target.description).is_usable(world.loop.time())

    world.run(scenario)


@then('other statements {may} go to the target')
def step_may_use(context: Any, may: str) -> None:
    assert context.is_usable is (may == 'may')


def _reader(world: World, number: int) -> Session:
    """:returns: A session that reads, with the credential and the kind of route that its number selects."""
    kind = ('bounded', 'session')[number % 2]
    credentials = world.credentials()
    credential = credentials[number % len(credentials)]
    return Session(number, credential, DatabaseName(f'{kind}-{number % 2}'), world.checker.sent, world.rng)


@given('{count:d} instances in front of targets with {most:d} connections, and {organisations:d} organisations')
def step_few_connections(context: Any, count: int, most: int, organisations: int) -> None:
    context.relay = World(
        Plan(instances=count, services=2, max_connections=most, organisations=organisations, work_s=0.03), 5
    )


@given(
    '{count:d} instances in front of targets with {most:d} connections, and {organisations:d} organisations '
    'within a rate of {rate:g}'
)
def step_few_connections_and_rate(context: Any, count: int, most: int, organisations: int, rate: float) -> None:
    plan = Plan(
        instances=count,
        services=2,
        max_connections=most,
        organisations=organisations,
        work_s=0.03,
        rate_per_s=rate,
        burst=rate,
    )
    context.relay = World(plan, 5)


#: Reads a second that 6 targets with 2 slots carry at 0.03 s for a read and 0.012 s for opening its connection.
_CAPACITY_PER_S = 6 * 2 / 0.042

#: Time after an overload in which what it left behind drains, in seconds: the time limit of a read.
_DRAIN_S = 1.0


@given('{count:d} instances in front of targets with {slots:d} slots and {most:d} connections')
def step_few_slots(context: Any, count: int, slots: int, most: int) -> None:
    plan = Plan(
        instances=count,
        services=2,
        slots=slots,
        max_connections=most,
        organisations=8,
        work_s=0.03,
        rate_per_s=400,
        burst=400,
    )
    context.relay = World(plan, 5)


def _silent_targets(world: World) -> Iterator[str]:
    """:returns: The targets that some instance does not use, because it takes them for silent."""
    for instance in world.instances.values():
        for target in instance.board.targets_by_id.values():
            health = instance.board.health_of(target)
            if health.is_silent and not health.is_usable(world.loop.time()):
                yield target.target


@when('callers read at {high:g} times the capacity for {long_s:g} s, then at {low:g} times for {short_s:g} s')
def step_overload(context: Any, high: float, long_s: float, low: float, short_s: float) -> None:
    world: World = context.relay
    context.after_overload = collections.Counter()
    context.refusal_times = []
    context.paused = set()

    async def call(number: int, *, is_after: bool) -> None:
        session = _reader(world, number)
        await session.open(world.listeners[world.rng.choice(sorted(world.listeners))])
        began_at = world.loop.time()
        sent = await session.execute(read(number))
        if is_after:
            context.after_overload[sent.outcome] += 1
        if sent.outcome is not StatementOutcome.SERVED:
            context.refusal_times.append(world.loop.time() - began_at)
        session.close()

    async def watch() -> None:
        while True:
            await asyncio.sleep(0.05)
            context.paused.update(_silent_targets(world))

    async def scenario(_: World) -> None:
        await world.start()
        watcher = asyncio.ensure_future(watch())
        calls = []
        began_at = world.loop.time()
        while world.loop.time() < began_at + long_s + _DRAIN_S + short_s:
            passed_s = world.loop.time() - began_at
            share = high if passed_s < long_s else low
            await asyncio.sleep(world.rng.expovariate(share * _CAPACITY_PER_S))
            step = call(len(calls), is_after=passed_s >= long_s + _DRAIN_S)
            calls.append(asyncio.ensure_future(step))
        await asyncio.gather(*calls)
        watcher.cancel()

    world.run(scenario)


@then('no target is paused as silent')
def step_none_paused(context: Any) -> None:
    assert not context.paused, context.paused


@then('at least {least:d} of 100 reads after the overload are served')
def step_served_after(context: Any, least: int) -> None:
    outcomes = context.after_overload
    assert outcomes[StatementOutcome.SERVED] * 100 >= least * outcomes.total(), outcomes


@then('every refusal comes within {limit:g} s')
def step_refused_soon(context: Any, limit: float) -> None:
    assert max(context.refusal_times, default=0) <= limit, max(context.refusal_times)


@when('callers read for {seconds:g} s')
def step_read(context: Any, seconds: float) -> None:
    world: World = context.relay
    context.results = collections.Counter()

    async def call(number: int, until: float) -> None:
        while world.loop.time() < until:
            await asyncio.sleep(world.rng.expovariate(4.0))
            session = _reader(world, number)
            await session.open(world.listeners[world.rng.choice(sorted(world.listeners))])
            sent = await session.execute(read(number))
            context.results[sent.outcome] += 1
            session.close()

    async def scenario(_: World) -> None:
        await world.start()
        opened = sum(target.opened_connections for target in world.targets.values())
        until = world.loop.time() + seconds
        await asyncio.gather(*(call(number, until) for number in range(40)))
        context.opened = sum(target.opened_connections for target in world.targets.values()) - opened
        context.refused = sum(target.rejected_connections for target in world.targets.values())

    world.run(scenario)


@then('at most {new:d} connections in {count:d} statements are new')
def step_new_connections(context: Any, new: int, count: int) -> None:
    asked = context.results.total()
    assert context.opened <= asked * new / count, (context.opened, asked)


@then('targets refuse at most {most:d} connection in {count:d} statements')
def step_refused(context: Any, most: int, count: int) -> None:
    asked = context.results.total()
    assert context.refused <= asked * most / count, (context.refused, asked)


@then('every read is served')
def step_reads_served(context: Any) -> None:
    assert set(context.results) == {StatementOutcome.SERVED}, context.results


@when('all of them lose power while callers read, and restart after 1 s')
def step_power(context: Any) -> None:
    world: World = context.relay
    context.results = collections.Counter()

    async def call(number: int, since: float, until: float) -> None:
        while world.loop.time() < until:
            await asyncio.sleep(world.rng.expovariate(4.0))
            session = _reader(world, number)
            listener = world.listeners.get(world.rng.choice(sorted(world.data_centres_by_instance)))
            asked_at = world.loop.time()
            if listener is None or await session.open(listener) is not True:
                context.results[None] += asked_at >= since
                continue
            sent = await session.execute(read(number))
            context.results[sent.outcome] += asked_at >= since
            session.close()

    async def scenario(_: World) -> None:
        await world.start()
        off_at = world.loop.time() + 5
        back_at = off_at + 1
        calls = [asyncio.ensure_future(call(number, back_at + 0.4, off_at + 3)) for number in range(120)]
        await asyncio.sleep(5)
        names = sorted(world.instances)
        for name in names:
            world.kill(name, is_power_loss=True)
        await asyncio.sleep(1)
        for name in names:
            world.start_instance(name, world.data_centres_by_instance[name])
        await asyncio.gather(*calls)

    world.run(scenario)


@then('at least {least:d} of 100 reads from 0.4 s to 3 s after their restart are served')
def step_mostly_served(context: Any, least: int) -> None:
    assert context.results[StatementOutcome.SERVED] * 100 >= least * context.results.total(), context.results


@when('{count:d} instances lose power and restart on seeds {first:d} to {last:d}, closing and keeping idle connections')
def step_power_both(context: Any, count: int, first: int, last: int) -> None:
    plan = Plan(instances=count, services=2, max_connections=34, organisations=8, work_s=0.03)

    def lost() -> int:
        total = 0
        for seed in range(first, last + 1):
            context.relay = World(plan, seed)
            step_power(context)
            total += context.results.total() - context.results[StatementOutcome.SERVED]
        return total

    context.lost_closing = lost()
    with mock.patch.object(pool, '_NO_KEEP_AFTER_START_S', 0.0):
        context.lost_keeping = lost()


@then('fewer reads are lost when idle connections are closed')
def step_fewer_lost(context: Any) -> None:
    assert context.lost_closing < context.lost_keeping, (context.lost_closing, context.lost_keeping)
