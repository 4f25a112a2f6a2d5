"""Steps about the time until a configuration is in force everywhere, and what the logs tell of it."""

import asyncio
import logging
from collections.abc import Callable
from typing import Any, Final

from behave import given, then, when

from features.coordinators import coordinator_of
from fescuequay_core.relay.model import Configuration
from fescuequay_core.types import InstanceId
from fescuequay_emulator.load import Load
from fescuequay_emulator.virtual_loop import VirtualLoop
from fescuequay_emulator.world import DATA_CENTRES, World
from fescuequay_entry.relay.board import Board, InstanceIdentity
from fescuequay_entry.relay.followers import ConfigurationFollower
from fescuequay_entry.relay.messages import FetchAnswer, FetchRequest
from fescuequay_entry.relay.ports import Batch

#: Time until the first feed call of each instance has ended, in seconds; then the coordinator reads for all.
_RELAYING_S: Final = 6.0

#: Time that a scenario in virtual time waits for a change, in seconds.
_PATIENCE_S: Final = 60.0

_PER_S: Final = 40.0
_SESSIONS: Final = 10


class Pairs(logging.Handler):
    """Keeps the pairs of each event by the event's name."""

    def __init__(self) -> None:
        super().__init__()
        self.pairs_by_event: dict[str, list[dict[str, Any]]] = {}

    def emit(self, record: logging.LogRecord) -> None:
        self.pairs_by_event.setdefault(record.getMessage(), []).append(getattr(record, 'pairs'))


@when('callers send statements for {seconds:g} s, and a key is withdrawn meanwhile')
def step_load(context: Any, seconds: float) -> None:
    world: World = context.relay
    context.logged = Pairs()
    log = logging.getLogger('fescuequay')
    earlier_level = log.level

    async def run(_: World) -> None:
        await world.start()
        log.addHandler(context.logged)
        log.setLevel(logging.INFO)
        loading = asyncio.ensure_future(Load(world, _PER_S, _SESSIONS).run(seconds))
        await asyncio.sleep(seconds / 2)
        world.withdraw_key(world.credentials()[0])
        await loading

    disabled, logging.root.manager.disable = logging.root.manager.disable, logging.NOTSET
    try:
        world.run(run)
    finally:
        logging.root.manager.disable = disabled
        log.removeHandler(context.logged)
        log.setLevel(earlier_level)


@then('each served and refused request names a version, its source, and an age of both it and the last reading')
def step_named(context: Any) -> None:
    requests = [*context.logged.pairs_by_event['served'], *context.logged.pairs_by_event['refused']]
    assert len(requests) > _PER_S, len(requests)
    for pairs in requests:
        assert pairs['version'] >= 1, pairs
        assert pairs['version_source'] == 'table' or pairs['version_source'].startswith('peer '), pairs
        assert pairs['version_held_s'] >= 0 and pairs['read_age_s'] >= 0, pairs


@then('the requests after the change name a newer version than those before')
def step_newer(context: Any) -> None:
    versions = [pairs['version'] for pairs in context.logged.pairs_by_event['served']]
    assert versions[0] < versions[-1] == max(versions), (versions[0], versions[-1])


class EmptyPeers:
    """Peers that answer each fetch, and hold no configuration."""

    async def fetch(self, _address: str, _request: FetchRequest) -> FetchAnswer:
        return FetchAnswer()


class WholeFeed:
    """A feed whose snapshot has a configuration."""

    def __init__(self, configuration: Configuration) -> None:
        self._items = {'config': configuration}

    async def snapshot(self) -> Batch[Any]:
        return Batch(self._items, 1)


@given('an instance that was told of a version by a peer, and whose table has it')
def step_told(context: Any) -> None:
    context.loop = VirtualLoop()
    asyncio.set_event_loop(context.loop)
    context.board = Board(InstanceIdentity(InstanceId('a'), 'a1', 'north', 'a:1'), context.loop.time)
    feed: Any = WholeFeed(Configuration(7, 3.0, {}, {}, {}, {}))
    peers: Any = EmptyPeers()
    context.follower = ConfigurationFollower(context.board, feed, peers)


@when('that peer answers each fetch without a configuration')
def step_in_vain(context: Any) -> None:
    async def run() -> None:
        fetching = asyncio.ensure_future(context.follower.run_fetches())
        context.follower.request_version(7, 'b:1')
        await context.board.wait_for_change(_PATIENCE_S)
        context.held_at = context.loop.time() if context.board.configuration else float('inf')
        fetching.cancel()

    context.loop.run_until_complete(run())


@then('the instance holds the version within {limit:g} s')
def step_held(context: Any, limit: float) -> None:
    assert context.held_at <= limit, context.held_at


def _withdraw_key(world: World) -> Callable[[Board], bool]:
    world.withdraw_key(world.credentials()[1])
    version = world.checker.configurations[-1][1].version
    return lambda board: board.configuration is not None and board.configuration.version >= version


def _evacuate(world: World) -> Callable[[Board], bool]:
    world.evacuate(DATA_CENTRES[1])
    return lambda board: board.evacuations.includes(DATA_CENTRES[1])


def _drain(world: World) -> Callable[[Board], bool]:
    target = world.primary_of('s0')
    world.drain(target)
    return lambda board: board.targets_by_id[target.name].is_draining


_CHANGES_BY_NAME: Final = {
    'a key is withdrawn': _withdraw_key,
    'a data centre is evacuated': _evacuate,
    'a target leaves': _drain,
}


async def _time_until(world: World, is_known: Callable[[Board], bool]) -> float:
    """:returns: Time until every instance knows of a change, in seconds."""
    began_at = world.loop.time()
    while not all(is_known(instance.board) for instance in world.instances.values()):
        await asyncio.sleep(0.01)
    return world.loop.time() - began_at


@when("the coordinator's connections to the table go silent right after a call began, and {what}")
def step_silent(context: Any, what: str) -> None:
    world: World = context.relay

    async def run(_: World) -> None:
        await world.start()
        await asyncio.sleep(_RELAYING_S)
        # First changes end the calls that the coordinator waits on, and the next ones begin.
        target = world.primary_of('s0')
        world.registry.put(target.name, target.description)
        world.withdraw_key(world.credentials()[0])
        version = world.checker.configurations[-1][1].version
        await _time_until(
            world, lambda board: board.configuration is not None and board.configuration.version >= version
        )
        coordinator = coordinator_of(world)
        assert coordinator is not None
        world.store.silence_connections(coordinator)
        context.took_s = await _time_until(world, _CHANGES_BY_NAME[what](world))
        assert coordinator_of(world) == coordinator, 'the lease was renewed on another connection'

    world.run(run)


@then('every instance knows it within {limit:g} s')
def step_in_time(context: Any, limit: float) -> None:
    assert context.took_s <= limit, context.took_s
