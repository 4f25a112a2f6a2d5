"""Steps of the policies about restarts and waits, and of the counts of a log."""

import asyncio
from typing import Any

from behave import given, then, when

from fescuequay_core.relay.model import DatabaseName
from fescuequay_core.types import InstanceId
from fescuequay_emulator.callers import Session, StatementOutcome
from fescuequay_emulator.load import read, write
from fescuequay_emulator.virtual_loop import VirtualLoop
from fescuequay_emulator.world import World
from fescuequay_entry.relay.board import Board, InstanceIdentity
from lab import losses

#: Bound on iterations, so that a wait that makes no progress fails instead of running for ever.
_MAX_ITERATIONS = 2000


@when('all instances are killed and {count:d} callers connect in the first {ms:d} ms after their start')
def step_mass_restart(context: Any, count: int, ms: int) -> None:
    world: World = context.relay

    async def call(number: int) -> tuple[bool, float]:
        await asyncio.sleep(world.rng.uniform(0.001, ms / 1000))
        began_at = world.loop.time()
        kind = ('primary', 'bounded', 'session')[number % 2]
        credential = world.credentials()[number % len(world.credentials())]
        session = Session(number, credential, DatabaseName(f'{kind}-{number % 2}'), world.checker.sent, world.rng)
        name = sorted(world.listeners)[number % len(world.listeners)]
        if await session.open(world.listeners[name]) is not True:
            return False, world.loop.time() - began_at
        sent = await session.execute(write(1, 'v') if kind == 'primary' else read(1))
        return sent.outcome is StatementOutcome.SERVED, world.loop.time() - began_at

    async def scenario(_: World) -> None:
        await world.start()
        names = sorted(world.data_centres_by_instance)
        for name in names:
            world.kill(name)
        await asyncio.sleep(1.0)
        for name in names:
            world.start_instance(name, world.data_centres_by_instance[name])
        context.results = await asyncio.gather(*(call(number) for number in range(count)))

    world.run(scenario)


@then('each of them is served within {limit:g} s')
def step_all_served(context: Any, limit: float) -> None:
    lost = [result for result in context.results if not result[0] or result[1] > limit]
    assert not lost, (len(lost), lost[:5])


_LOG = """
 -11.5 front-1 time=2026-01-01T10:00:00.500Z level=info event=starting instance=front-1 data_centre=north
  33.1 front-1 time=2026-01-01T10:00:45.100Z level=info event=served request=a target=t ms=4.0
  33.2 front-1 time=2026-01-01T10:00:45.200Z level=info event=served request=b target=t ms=4.0
  33.5 front-1 time=2026-01-01T10:00:45.500Z level=info event=refused request=c reason=no_primary detail="s has none"
  33.9 front-1 time=2026-01-01T10:00:45.900Z level=info event=term_closing service=s term=1 cause=dead
what happened
"""


@when('the log of an instance with a refusal, two served statements and a closing is read')
def step_read_log(context: Any) -> None:
    context.seconds = losses.by_second(losses.parse(_LOG.splitlines()))


@then(
    'second {number:d} has {served:d} served, {count:d} refused at "{centre}" for "{reason}" and {decisions:d} decision'
)
def step_second(context: Any, number: int, served: int, count: int, centre: str, reason: str, decisions: int) -> None:
    second = context.seconds[number]
    assert (second.served, second.refused, len(second.decisions)) == (served, {(centre, reason): count}, decisions), (
        second
    )


@given('{count:d} instances that started at different times without a configuration')
def step_without_configuration(context: Any, count: int) -> None:
    context.started_at = [number * 0.737 for number in range(count)]


@when('a session of each waits for it')
def step_wait_for_configuration(context: Any) -> None:
    loop = VirtualLoop()
    asyncio.set_event_loop(loop)
    context.waited = []
    readings = 0

    def clock() -> float:
        # A wait that never yields to the loop would read the clock for ever.
        nonlocal readings
        readings += 1
        assert readings < _MAX_ITERATIONS, 'the wait does not yield'
        return loop.time()

    async def wait(started_at: float) -> None:
        await asyncio.sleep(started_at)
        board = Board(InstanceIdentity(InstanceId('a'), 'i', 'near', 'a:1'), clock)
        await board.await_configuration()
        context.waited.append(loop.time() - started_at)

    async def scenario() -> None:
        await asyncio.gather(*(wait(started_at) for started_at in context.started_at))

    loop.run_until_complete(scenario())


@then('each wait ends at the same time after the start of its instance')
def step_wait_ends(context: Any) -> None:
    assert len(context.waited) == len(context.started_at)
    assert max(context.waited) - min(context.waited) < 0.001, context.waited


@given('a virtual clock at {now:f} s')
def step_clock(context: Any, now: float) -> None:
    context.loop = VirtualLoop()
    asyncio.set_event_loop(context.loop)
    context.loop.run_until_complete(asyncio.sleep(now))


@when('a wait repeats until {until:f} s while others run')
def step_repeat(context: Any, until: float) -> None:
    turns = 0

    async def run_on() -> None:
        # Keeps a task ready in every turn, so that the loop never advances the clock by waiting.
        while turns < _MAX_ITERATIONS and context.loop.time() < until:
            await asyncio.sleep(0)

    async def repeat() -> None:
        nonlocal turns
        while context.loop.time() < until and turns < _MAX_ITERATIONS:
            turns += 1
            waiter = context.loop.create_future()
            context.loop.call_later(until - context.loop.time(), waiter.set_result, None)
            await waiter

    async def scenario() -> None:
        await asyncio.gather(run_on(), repeat())

    context.loop.run_until_complete(scenario())
    context.turns = turns


@then('it ends after at most {most:d} turns')
def step_turns(context: Any, most: int) -> None:
    assert context.turns <= most, context.turns
