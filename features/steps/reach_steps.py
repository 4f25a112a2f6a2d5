"""Steps that cut instances off from most others and watch which of them ask for callers."""

import asyncio
import collections
from collections.abc import Callable
from typing import Any, Final

from behave import then, when

from fescuequay_emulator.table import TABLE_NODE, StoreFaults
from fescuequay_emulator.world import Plan, World

_SEED: Final = 17

#: Interval at which readiness is recorded, in seconds.
_CHECK_INTERVAL_S: Final = 0.05

#: Share of the time for which an instance that is cut off may ask for callers after it was first unready.
_MAX_READY_SHARE: Final = 0.1


def _watch(context: Any, count: int, seconds: float, begin: Callable[[World], None]) -> None:
    world = World(Plan(instances=count), _SEED)
    context.relay = world
    context.seconds = seconds
    context.unready_times = collections.defaultdict(list)

    async def scenario(_: World) -> None:
        await world.start()
        begin(world)
        began_at = world.loop.time()
        while world.loop.time() - began_at < seconds:
            await asyncio.sleep(_CHECK_INTERVAL_S)
            for name, instance in world.instances.items():
                if not instance.is_ready():
                    context.unready_times[name].append(world.loop.time() - began_at)

    world.run(scenario)


@when('{cut:d} of {count:d} instances in all data centres are cut off from the others and the table for {seconds:g} s')
def step_cut(context: Any, cut: int, count: int, seconds: float) -> None:
    def begin(world: World) -> None:
        names = sorted(world.instances)
        context.cut = [name for number, name in enumerate(names) if number % (count // cut) == 0]
        for near in context.cut:
            for far in (TABLE_NODE, *(name for name in names if name not in context.cut)):
                world.network.cut(near, far)

    _watch(context, count, seconds, begin)


@when('the table is silent for {count:d} instances for {seconds:g} s')
def step_silent(context: Any, count: int, seconds: float) -> None:
    def begin(world: World) -> None:
        context.cut = []
        world.store.faults = StoreFaults(is_silent=True)

    _watch(context, count, seconds, begin)


@then('they are unready within {limit:g} s and ask for hardly any callers afterwards')
def step_unready(context: Any, limit: float) -> None:
    for name in context.cut:
        times = context.unready_times[name]
        assert times and times[0] <= limit, (name, times[:1])
        expected = (context.seconds - times[0]) / _CHECK_INTERVAL_S
        assert len(times) >= expected * (1 - _MAX_READY_SHARE) - 1, (name, len(times), expected)


@then('no other instance is unready')
def step_ready(context: Any) -> None:
    others = {name: times[:2] for name, times in context.unready_times.items() if name not in context.cut}
    assert not others, others
