"""Steps for the gateways of targets."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any, Final

import msgspec
from behave import given, then, when

from fescuequay_core.relay import gateways
from fescuequay_core.relay.model import DatabaseName
from fescuequay_core.types import InstanceId, OrganisationId
from fescuequay_emulator.callers import Session, StatementOutcome
from fescuequay_emulator.load import Load, read
from fescuequay_emulator.world import Plan, World
from fescuequay_entry.relay.hop_frames import Ask, Frame, FrameDecoder, FrameError, Ping, encode
from fescuequay_entry.relay.hop_tcp import TcpHops
from fescuequay_entry.relay.hops import HopReceiver
from features import gateway_builders as builders
from features.ports import reserve_port

_HOST: Final = '127.0.0.1'

#: Time within which a frame arrives over loopback, in seconds.
_ARRIVAL_S: Final = 5.0

#: Time after the start of a load at which a fault begins, in seconds.
_FAULT_AT_S: Final = 2.0

#: Time after the end of a load for open work to end, in seconds.
_SETTLE_S: Final = 3.0


@given(
    '{large:d} instances of {much:g} cores and {small:d} of {little:g} cores in each of {data_centres:d} data centres'
)
def step_sizes(context: Any, large: int, much: float, small: int, little: float, data_centres: int) -> None:
    context.members = list(builders.members_of(data_centres, (large, much), (small, little)))
    context.data_centres = data_centres


@when('the gateways of {count:d} targets in each data centre are chosen')
def step_choose(context: Any, count: int) -> None:
    context.targets = list(builders.targets_of(context.data_centres, count))
    context.chosen = gateways.choose(context.targets, context.members)


@then('each target has {count:d} gateways in its own data centre')
def step_gateways(context: Any, count: int) -> None:
    for target in context.targets:
        names = context.chosen[target.target]
        assert len(set(names)) == count, names
        assert all(name.startswith(target.data_centre) for name in names), names


@then('at least half of the places are at the larger instances')
def step_large(context: Any) -> None:
    places = [name for names in context.chosen.values() for name in names]
    assert 2 * sum('-s0-' in name for name in places) >= len(places), places


@then('no instance has more than {most:d} places')
def step_most(context: Any, most: int) -> None:
    places = [name for names in context.chosen.values() for name in names]
    assert max(places.count(name) for name in places) <= most, places


@when('an instance of {little:g} cores is added to each data centre and they are chosen again')
def step_add(context: Any, little: float) -> None:
    added = [builders.member(f'd{number}-new', f'd{number}', little) for number in range(context.data_centres)]
    context.earlier = context.chosen
    context.chosen = gateways.choose(context.targets, [*context.members, *added])


@then('at most a fifth of the places moved')
def step_moved(context: Any) -> None:
    moved = sum(len(set(names) - set(context.earlier[target])) for target, names in context.chosen.items())
    places = sum(len(names) for names in context.chosen.values())
    assert 5 * moved <= places, (moved, places)


@given('a data centre with one instance of 1 core and one that {what}')
def step_other(context: Any, what: str) -> None:
    place = 'd1' if what == 'is in another place' else 'd0'
    capacity = 0.0 if what == 'says no capacity' else 1.0
    other = builders.member('other', place, capacity, is_leaving=what == 'is leaving')
    context.members = [builders.member('first', 'd0', 1.0), other]


@when('the gateways of a target there are chosen')
def step_choose_one(context: Any) -> None:
    context.chosen = gateways.choose([builders.target('t', 'd0')], context.members)


@then('only the first one is a gateway')
def step_only_first(context: Any) -> None:
    assert list(context.chosen.values()) == [(InstanceId('first'),)], context.chosen


@when('a stream brings {what}')
def step_bytes(context: Any, what: str) -> None:
    if what.startswith('two frames'):
        later = msgspec.json.encode([*msgspec.json.decode(msgspec.json.encode(builders.ask(7))), '', None, None, 'new'])
        received = encode(Ping()) + builders.frame_of(later)
        decoder = FrameDecoder()
        context.frames = [frame for one in received for frame in decoder.feed(bytes((one,)))]
        return
    try:
        list(FrameDecoder().feed(builders.bytes_of(what)))
    except FrameError as error:
        context.error = error


@then('the stream is ended as unreadable')
def step_unreadable(context: Any) -> None:
    assert isinstance(context.error, FrameError)


@then('both are read')
def step_read(context: Any) -> None:
    first, second = context.frames
    assert isinstance(first, Ping) and isinstance(second, Ask) and second.number == 7, context.frames


class _Receiver(HopReceiver):
    """Keeps the first frame of a stream."""

    def __init__(self) -> None:
        self.frame: asyncio.Future[Frame] = asyncio.get_running_loop().create_future()

    def receive(self, frame: Frame) -> None:
        self.frame.set_result(frame)

    def end(self, detail: str) -> None:
        if not self.frame.done():
            self.frame.set_exception(AssertionError(detail))


@when('{what} with such bytes is sent from one instance to another')
def step_no_utf_8(context: Any, what: str) -> None:
    context.sent = builders.frame_without_utf_8(what)

    async def send() -> Frame:
        port = reserve_port()
        hops, receiver = TcpHops(_HOST, port), _Receiver()
        await hops.listen(lambda _link: receiver)
        link = await hops.connect(f'{_HOST}:{port}', _Receiver())
        link.send(context.sent)
        try:
            return await asyncio.wait_for(receiver.frame, _ARRIVAL_S)
        finally:
            link.close()
            hops.stop()

    context.received = asyncio.run(send())


@then('the other instance receives the same')
def step_received(context: Any) -> None:
    assert context.received == context.sent, context.received


@given('{count:d} instances with {most:d} connections for each target, all of which can be gateways')
def step_few(context: Any, count: int, most: int) -> None:
    context.relay = World(
        Plan(
            instances=count,
            services=2,
            copies=3,
            max_connections=most,
            organisations=6,
            rate_per_s=80,
            burst=80,
            cores=1.0,
        ),
        7,
    )


@when('they carry a load of {per_s:d} operations a second for {for_s:d} s')
def step_load(context: Any, per_s: int, for_s: int) -> None:
    _run_load(context, per_s, for_s, None)


@when('they carry a load of {per_s:d} operations a second for {for_s:d} s while {fault}')
def step_load_fault(context: Any, per_s: int, for_s: int, fault: str) -> None:
    _run_load(context, per_s, for_s, _FAULTS[fault])


def _run_load(context: Any, per_s: int, for_s: int, fault: Callable[[World], Awaitable[None]] | None) -> None:
    world: World = context.relay
    context.load = Load(world, per_s, 24)

    async def scenario(_: World) -> None:
        await world.start()
        opened = sum(target.opened_connections for target in world.targets.values())
        running = [context.load.run(for_s)]
        if fault is not None:
            running.append(_later(world, fault))
        await asyncio.gather(*running)
        await asyncio.sleep(_SETTLE_S)
        context.opened = sum(target.opened_connections for target in world.targets.values()) - opened
        context.broken = (*world.checker.violations(world.logs_by_service()), *world.violations.values())

    world.run(scenario)


async def _later(world: World, fault: Callable[[World], Awaitable[None]]) -> None:
    await asyncio.sleep(_FAULT_AT_S)
    await fault(world)


def _gateways(world: World) -> tuple[str, ...]:
    """:returns: The gateways of the primary of the first service."""
    primary = world.primary_of('s0').description
    instance = next(iter(world.instances.values()))
    return instance._pools._directory.gateways_of(primary)


def _first_gateway(world: World, organisation: int) -> str:
    """:returns: The gateway that an organisation uses for the primary of the first service."""
    target = world.primary_of('s0').description.target
    return next(gateways.in_order_for(_gateways(world), target, OrganisationId(f'o{organisation}')))


async def _kill(world: World) -> None:
    await world.restart(_gateways(world)[0], 2.0)


async def _lose_power(world: World) -> None:
    name = _gateways(world)[0]
    world.kill(name, is_power_loss=True)
    await asyncio.sleep(2.0)
    world.start_instance(name, world.data_centres_by_instance[name])


async def _freeze(world: World) -> None:
    world.loop.freeze(_gateways(world)[0], 2.0)
    world.checker.disturbed.append((_gateways(world)[0], world.loop.time() + 2.0))


async def _stop(world: World) -> None:
    await world.stop(_gateways(world)[0])


async def _kill_both(world: World) -> None:
    await asyncio.gather(*(world.restart(name, 2.0) for name in _gateways(world)))


async def _cut(world: World) -> None:
    gateway = _gateways(world)[0]
    others = [name for name in world.instances if name not in _gateways(world)][:3]
    for other in others:
        world.network.cut(gateway, other)
    await asyncio.sleep(3.0)
    for other in others:
        world.network.heal(gateway, other)


async def _lose_permit(world: World) -> None:
    """Let a gateway know an older leader record than the others."""
    permits = world.instances[_gateways(world)[0]].board.permits
    leader = permits.leader
    permits.leader = lambda service, now: None
    await asyncio.sleep(2.0)
    permits.leader = leader


async def _crash_primary(world: World) -> None:
    await world.crash(world.primary_of('s0'), 4.0, is_silent=True)


_FAULTS: Final = {
    'a gateway is killed': _kill,
    'a gateway loses power': _lose_power,
    'a gateway freezes for 2 s': _freeze,
    'a gateway is stopped and started again': _stop,
    'both gateways of a primary are killed': _kill_both,
    'a gateway is cut off from three instances for 3 s': _cut,
    'a gateway holds no permit for 2 s': _lose_permit,
    "the primary of a gateway's target crashes": _crash_primary,
}


@then('no guarantee is violated')
def step_none_broken(context: Any) -> None:
    assert not context.broken, context.broken[:5]


@then('at least {share:d}% of the operations are served')
def step_share(context: Any, share: int) -> None:
    asked = sum(tally.asked for tally in context.load.tallies.values())
    served = sum(tally.served for tally in context.load.tallies.values())
    assert 100 * served >= share * asked, (served, asked, [tally.refused for tally in context.load.tallies.values()])


@then('at most {most:d} connections are opened for 1,000 statements')
def step_opened(context: Any, most: int) -> None:
    statements = len(context.relay.checker.executions)
    assert 1000 * context.opened <= most * statements, (context.opened, statements)


@then('at least {share:d}% of the statements go over the gateways')
def step_hops(context: Any, share: int) -> None:
    answered = sum(
        instance.metrics.gateway.hops.labels('answered')._value.get() for instance in context.relay.instances.values()
    )
    statements = len(context.relay.checker.executions)
    assert 100 * answered >= share * statements, (answered, statements)


@then('no stream between instances is opened')
def step_no_stream(context: Any) -> None:
    assert context.relay.opened_streams == 0, context.relay.opened_streams


@when('a gateway freezes while a read of another instance is outstanding there')
def step_freeze_read(context: Any) -> None:
    world: World = context.relay

    async def scenario(_: World) -> None:
        await world.start()
        await Load(world, 40, 12).run(2.0)
        gateways_of_primary = _gateways(world)
        asker = next(name for name in world.instances if name not in gateways_of_primary)
        organisation = next(number for number in range(6) if _first_gateway(world, number) == gateways_of_primary[0])
        session = Session(
            1, world.credentials()[organisation], DatabaseName('primary-0'), world.checker.sent, world.rng
        )
        await session.open(world.listeners[asker])
        reading = asyncio.ensure_future(session.execute(read(1)))
        await asyncio.sleep(0.001)
        world.loop.freeze(gateways_of_primary[0], 2.0)
        began_at = world.loop.time()
        sent = await reading
        context.took_s = world.loop.time() - began_at
        context.is_served = sent.outcome is StatementOutcome.SERVED
        health = world.instances[asker].board.health_of(world.primary_of('s0').description)
        context.is_usable = health.failures == 0 and health.is_usable(world.loop.time())
        # The frozen process ends with the others only when it runs again.
        await asyncio.sleep(_SETTLE_S)

    world.run(scenario)


@then('the read is served within {ms:d} ms')
def step_within(context: Any, ms: int) -> None:
    assert context.is_served and context.took_s * 1000 <= ms, (context.is_served, context.took_s)


@then('the asking instance goes on using the target')
def step_not_blamed(context: Any) -> None:
    assert context.is_usable
