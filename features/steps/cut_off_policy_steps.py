"""Steps of the policies about silent primaries, and about instances and data centres that are cut off."""

import asyncio
import collections
import dataclasses
from typing import Any

from behave import then, when

from features.coordinators import coordinator_of
from fescuequay_core.relay import eras
from fescuequay_core.types import LeaderState, ServiceId
from fescuequay_emulator.table import StoreFaults
from fescuequay_emulator.world import DATA_CENTRES, World

#: Delay after a write whose answer is lost at which its writer is checked; its lease is still valid then.
_LOST_ANSWER_CHECK_S = 0.3


@when('a primary stops responding while every instance is reachable')
def step_silent_primary(context: Any) -> None:
    world: World = context.relay

    async def scenario(_: World) -> None:
        await world.start()
        context.began_at = world.loop.time()
        world.primary_of('s0').crash(is_silent=True)
        await asyncio.sleep(6)
        context.changes = [change for change in world.checker.changes if change.service == ServiceId('s0')]

    world.run(scenario)


@then('its instances are unready within {limit:g} s')
def step_unready_within(context: Any, limit: float) -> None:
    for name in ('n2', 'n6'):
        assert min(context.unready[name]) <= limit, context.unready[name][:3]


@when('a data centre is cut off with a primary and {coordinator}')
def step_cut_with_primary(context: Any, coordinator: str) -> None:
    world: World = context.relay
    data_centre = DATA_CENTRES[0]

    async def scenario(_: World) -> None:
        await world.start()
        assert world.primary_of('s0').description.data_centre == data_centre
        is_wanted_inside = coordinator == 'the coordinator'
        holder = coordinator_of(world)
        while holder is None or (world.data_centres_by_instance[holder] == data_centre) is not is_wanted_inside:
            if holder is not None:
                await world.restart(holder, 4.0)
            await asyncio.sleep(1)
            holder = coordinator_of(world)
        context.began_at = world.loop.time()
        world.cut_data_centre(data_centre)
        await asyncio.sleep(8)
        context.changes = [change for change in world.checker.changes if change.service == ServiceId('s0')]
        context.overlaps = dict(world.violations)

    world.run(scenario)


@then('no two primaries may be used at the same time')
def step_no_overlap(context: Any) -> None:
    assert not context.overlaps, context.overlaps


@when('the table accepts a closing record of the coordinator and its answer is lost')
def step_lost_closing(context: Any) -> None:
    world: World = context.relay

    async def scenario(_: World) -> None:
        await world.start()
        holder = coordinator_of(world)
        board = world.instances[holder].board
        records = world.instances[holder].membership._records
        record = board.permits.record(ServiceId('s0'))
        world.store.faults = StoreFaults(lost_answer_share=1.0)
        context.sent_at = world.loop.time()
        writing = asyncio.ensure_future(records.write_leader(dataclasses.replace(record, state=LeaderState.CLOSING)))
        await asyncio.sleep(_LOST_ANSWER_CHECK_S)
        context.was_taken = world.store.present_row('leader/s0').version > eras.version_of(record.version)
        context.confirmed_at = records.confirmed_at(world.loop.time())
        context.may_confirm = board.lease.holds(world.loop.time())
        writing.cancel()

    world.run(scenario)


@then('the coordinator confirms that leader for no time after the write')
def step_not_confirmed(context: Any) -> None:
    assert context.was_taken and context.may_confirm, 'the table did not accept the write, or the lease has expired'
    assert context.confirmed_at <= context.sent_at, (context.confirmed_at, context.sent_at)


@when('the coordinator is cut off right after the table accepted its renewal')
def step_cut_after_renewal(context: Any) -> None:
    world: World = context.relay

    async def scenario(_: World) -> None:
        await world.start()
        holder = coordinator_of(world)
        assert holder is not None
        renewed = world.store.present_row('duty').version
        while world.store.present_row('duty').version == renewed:
            await asyncio.sleep(0.0005)
        for node in tuple(world.network.data_centres_by_node):
            world.network.cut(holder, node)
        began_at = world.loop.time()
        while coordinator_of(world) in {holder, None}:
            await asyncio.sleep(0.01)
        context.took_s = world.loop.time() - began_at

    world.run(scenario)


@when('a primary and an instance stop responding, and {wait:g} s later all the others are killed for {away:g} s')
def step_closed_and_killed(context: Any, wait: float, away: float) -> None:
    world: World = context.relay

    async def scenario(_: World) -> None:
        await world.start()
        other = next(name for name in sorted(world.instances) if name != coordinator_of(world))
        for node in tuple(world.network.data_centres_by_node):
            world.network.cut(other, node)
        context.began_at = world.loop.time()
        world.primary_of('s0').crash(is_silent=True)
        await asyncio.sleep(wait)
        await asyncio.gather(*(world.restart(name, away) for name in sorted(world.instances) if name != other))
        await asyncio.sleep(6)
        context.changes = [change for change in world.checker.changes if change.service == ServiceId('s0')]
        context.overlaps = dict(world.violations)

    world.run(scenario)


@when('the data centre of the coordinator is cut off')
def step_cut_coordinator(context: Any) -> None:
    world: World = context.relay
    context.unready_at = {}

    async def scenario(_: World) -> None:
        await world.start()
        holder = coordinator_of(world)
        assert holder is not None
        data_centre = world.data_centres_by_instance[holder]
        world.cut_data_centre(data_centre)
        began_at = world.loop.time()
        near = [name for name, other in world.data_centres_by_instance.items() if other == data_centre]
        while world.loop.time() < began_at + 4:
            await asyncio.sleep(0.02)
            for name in near:
                if not world.instances[name].is_ready():
                    context.unready_at.setdefault(name, world.loop.time() - began_at)
        context.near = near

    world.run(scenario)


@then('all of its instances are unready within {limit:g} s')
def step_all_unready(context: Any, limit: float) -> None:
    assert set(context.unready_at) == set(context.near), context.unready_at
    assert max(context.unready_at.values()) <= limit, context.unready_at


@when('{seconds:g} s without a fault pass and probes of peers are counted')
def step_count_probes(context: Any, seconds: float) -> None:
    world: World = context.relay
    context.probed = []

    async def scenario(_: World) -> None:
        await world.start()
        until = world.loop.time() + seconds
        while world.loop.time() < until:
            await asyncio.sleep(0.02)
            context.probed.extend(name for name, one in world.instances.items() if not one.membership._has_contact())

    world.run(scenario)


@then('no instance probed its peers')
def step_not_probed(context: Any) -> None:
    assert not context.probed, collections.Counter(context.probed)
