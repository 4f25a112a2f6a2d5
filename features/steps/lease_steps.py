"""Steps about the coordinator's lease while connections to the table fail."""

import asyncio
import collections
from typing import Any, Final

from behave import then, when

from features.coordinators import coordinator_of
from fescuequay_emulator.load import Load
from fescuequay_emulator.world import World

_PER_S: Final = 60.0
_SESSIONS: Final = 12

#: Time after the begin of the load at which a renewal is lost, in seconds.
_LOST_AT_S: Final = 3.0

#: Time until a write takes effect whose answer is lost, in seconds; nothing if the table never gets it.
_EFFECT_AFTER_S: Final[dict[str, float | None]] = {
    'never gets it': None,
    'has carried it out': 0.0,
    'carries it out 0.6 s later': 0.6,
    'carries it out 3 s later': 3.0,
}


def _holder(world: World) -> tuple[str, int]:
    """:returns: The coordinator and its token."""
    name = coordinator_of(world)
    assert name is not None
    return name, world.instances[name].board.lease.token


@when('callers send statements for {seconds:g} s, and a renewal of the coordinator is not answered: the table {what}')
def step_lost_renewal(context: Any, seconds: float, what: str) -> None:
    world: World = context.relay

    async def run(_: World) -> None:
        await world.start()
        context.load = Load(world, _PER_S, _SESSIONS)
        loading = asyncio.ensure_future(context.load.run(seconds))
        await asyncio.sleep(_LOST_AT_S)
        context.holder = _holder(world)
        world.store.lose_next_write(context.holder[0], _EFFECT_AFTER_S[what])
        await loading
        context.holder_afterwards = _holder(world)

    world.run(run)


@then('the same instance coordinates, with the same token')
def step_same(context: Any) -> None:
    assert context.holder_afterwards == context.holder, (context.holder, context.holder_afterwards)


@then('no statement was refused')
def step_none_refused(context: Any) -> None:
    tallies = context.load.tallies.values()
    refused = sum((tally.refused for tally in tallies), collections.Counter())
    assert not refused, refused
    assert sum(tally.asked for tally in tallies) > _PER_S, tallies
