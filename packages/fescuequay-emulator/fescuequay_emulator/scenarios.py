"""Scenarios in JSON with comments: a deployment, a load and a schedule of faults; and the figures of a run."""

import asyncio
import pathlib
from collections.abc import Awaitable, Callable
from typing import Final

import msgspec

from fescuequay_core import jsonc
from fescuequay_core.types import Role
from fescuequay_emulator.figures import Figures, collect_figures
from fescuequay_emulator.late_delivery import HoldEnd, hold_next_promotion
from fescuequay_emulator.load import Load
from fescuequay_emulator.network import CutMode
from fescuequay_emulator.open_transactions import TransactionsOnReplacedPrimary
from fescuequay_emulator.peers import PROMOTER_NODE
from fescuequay_emulator.rude_callers import hide_requests
from fescuequay_emulator.rude_targets import hide_answers
from fescuequay_emulator.table import TABLE_NODE, StoreFaults
from fescuequay_emulator.wire import Wire
from fescuequay_emulator.world import DATA_CENTRES, Plan, World

#: Time after the end of the load for the deployment to settle, in seconds.
_SETTLE_S: Final = 4.0

#: Time for which a primary in an evacuated data centre may still be used, in seconds.
EVACUATION_REPLACEMENT_S: Final = 2.5

#: Interval at which operators repeat a write to a table that does not answer, in seconds.
_RETRY_S: Final = 0.05

#: Factor by which a flood exceeds an organisation's rate, and number of its sessions.
_FLOOD_FACTOR: Final = 7.0
_FLOOD_SESSIONS: Final = 60


class Fault(msgspec.Struct, frozen=True):
    """One fault of the schedule.

    :param at: Start, in seconds from the start of the load.
    :param kind: Kind of fault, a key of ``_ACTIONS_BY_KIND``.
    :param for_s: Duration, in seconds.
    :param on: Number of the instance, service, data centre or key, as the kind has it; or ``coordinator``.
    :param how: Variant of the fault.
    :param share: Share of instances, statements or answers affected, or the magnitude of the fault.
    """

    at: float
    kind: str
    for_s: float = 3.0
    on: str = '0'
    how: str = ''
    share: float = 0.3


class Scenario(msgspec.Struct, frozen=True):
    """One scenario.

    :param about: Description in a sentence.
    :param plan: Size of the deployment.
    :param seconds: Duration of the load.
    :param per_s: Operations per second.
    :param sessions: Number of sessions.
    :param faults: Schedule of faults.
    """

    about: str
    plan: Plan = Plan()
    seconds: float = 15.0
    per_s: float = 60.0
    sessions: int = 24
    faults: tuple[Fault, ...] = ()


def load(path: pathlib.Path) -> Scenario:
    """:returns: The scenario in a file. :raises ValueError: The file is not a valid scenario; the message names it."""
    plain, _ = jsonc.decode_text(path.read_bytes())
    try:
        return msgspec.convert(plain, Scenario)
    except msgspec.ValidationError as error:
        raise ValueError(f'{path}: {error}') from error


def run_scenario(scenario: Scenario, seed: int, wire: Wire | None = None) -> Figures:
    """Run a scenario.

    :param scenario: The scenario.
    :param seed: Seed of the random number generator; equal seeds give equal runs.
    :param wire: Encoding of messages; by default they are handed over as they are, and no request hides inside one.
    :returns: The figures of the run.
    """
    world = World(scenario.plan, seed, wire)
    callers = Load(world, scenario.per_s, scenario.sessions)

    async def run_load_and_faults(_: World) -> None:
        await world.start()
        world.reset_counters()
        began_at = world.loop.time()
        faults = [asyncio.ensure_future(_apply(world, fault, began_at)) for fault in scenario.faults]
        await callers.run(scenario.seconds)
        await asyncio.wait_for(asyncio.gather(*faults), 60)
        await asyncio.sleep(_SETTLE_S)

    world.run(run_load_and_faults)
    return collect_figures(world, callers)


async def _apply(world: World, fault: Fault, began_at: float) -> None:
    await asyncio.sleep(max(began_at + fault.at - world.loop.time(), 0))
    action = _ACTIONS_BY_KIND.get(fault.kind)
    if action is None:
        raise ValueError(f'unknown kind of fault {fault.kind!r}; known are {", ".join(sorted(_ACTIONS_BY_KIND))}')
    await action(world, fault)


def _instance(world: World, fault: Fault) -> str:
    names = sorted(world.data_centres_by_instance)
    if fault.on == 'coordinator':
        for name in sorted(world.instances):
            if world.instances[name].board.lease.holds(world.loop.time()):
                return name
    return names[int(fault.on) % len(names)] if fault.on.isdigit() else names[0]


async def _kill(world: World, fault: Fault) -> None:
    await world.restart(_instance(world, fault), fault.for_s)


async def _freeze(world: World, fault: Fault) -> None:
    """Freeze an instance while its monotonic clock runs on, as the suspension of a process does."""
    name = _instance(world, fault)
    world.loop.freeze(name, fault.for_s)
    await asyncio.sleep(fault.for_s)
    world.checker.disturbed.append((name, world.loop.time()))


async def _kill_all(world: World, fault: Fault) -> None:
    await asyncio.gather(*(world.restart(name, fault.for_s) for name in sorted(world.data_centres_by_instance)))


async def _stop(world: World, fault: Fault) -> None:
    name = _instance(world, fault)
    if name in world.instances:
        await world.stop(name)


async def _crash_primary(world: World, fault: Fault) -> None:
    await world.crash(world.primary_of(f's{fault.on}'), fault.for_s, is_silent=fault.how == 'dark')


async def _drain_primary(world: World, fault: Fault) -> None:
    world.drain(world.primary_of(f's{fault.on}'))


async def _cut_data_centre(world: World, fault: Fault) -> None:
    heal = world.cut_data_centre(
        DATA_CENTRES[int(fault.on)], CutMode.REFUSING if fault.how == 'reset' else CutMode.SILENT
    )
    await asyncio.sleep(fault.for_s)
    heal()


async def _cut_primary(world: World, fault: Fault) -> None:
    """Cut a primary off from a share of the instances, and from its replicas if ``how`` contains ``replicas``."""
    primary = world.primary_of(f's{fault.on}')
    names = sorted(world.instances)
    nodes = [name for name in names if world.rng.random() < fault.share]
    if 'replicas' in fault.how:
        nodes += [other.name for other in primary.other_targets]
    await _cut_pairs(world, [(primary.name, node) for node in nodes], fault)


async def _cut_instance(world: World, fault: Fault) -> None:
    """Cut an instance off from table and promoter; from its peers if ``how`` is ``peers``, from all if ``all``."""
    name = _instance(world, fault)
    others = [other for other in world.instances if other != name] if fault.how in {'all', 'peers'} else []
    nodes = others if fault.how == 'peers' else [TABLE_NODE, PROMOTER_NODE, *others]
    await _cut_pairs(world, [(name, node) for node in nodes], fault)


async def _cut_pairs(world: World, pairs: list[tuple[str, str]], fault: Fault) -> None:
    for near, far in pairs:
        world.network.cut(near, far)
    await asyncio.sleep(fault.for_s)
    for near, far in pairs:
        world.network.heal(near, far)


async def _store(world: World, fault: Fault) -> None:
    faults = StoreFaults(
        is_silent=fault.how == 'silent',
        is_busy=fault.how == 'busy',
        rejected=frozenset(sorted(world.instances)[: int(fault.share * len(world.instances))])
        if fault.how == 'some'
        else frozenset(),
        slowdown_factor=fault.share if fault.how == 'slow' else 1.0,
        lost_answer_share=fault.share if fault.how in {'lost', 'late'} else 0.0,
        max_delay_s=3.0 if fault.how == 'late' else 0.0,
    )
    world.store.faults = faults
    began_at = world.loop.time()
    await asyncio.sleep(fault.for_s)
    world.checker.table_disturbances.append((began_at, world.loop.time()))
    if world.store.faults is faults:
        world.store.faults = StoreFaults()


async def _silence(world: World, fault: Fault) -> None:
    """Let the connections of an instance to the table go silent; new ones work."""
    world.store.silence_connections(_instance(world, fault))


async def _restore(world: World, fault: Fault) -> None:
    """Let the table be away for ``for_s`` and come back from a copy that is ``share`` seconds old."""
    began_at = world.loop.time()
    await world.store.restore_copy(fault.share, fault.for_s)
    world.checker.table_disturbances.append((began_at, world.loop.time()))


async def _evacuate(world: World, fault: Fault) -> None:
    """Evacuate the data centres whose numbers stand in ``on``, separated by commas, for ``for_s``."""
    while world.store.faults.is_silent or world.store.faults.is_busy:
        # The bound counts from the table's acknowledgement.
        await asyncio.sleep(_RETRY_S)
    lifts = [world.evacuate(DATA_CENTRES[int(number)]) for number in fault.on.split(',')]
    await asyncio.sleep(fault.for_s)
    for lift in lifts:
        lift()


async def _hold_promotion(world: World, fault: Fault) -> None:
    await hold_next_promotion(world, f's{fault.on}', fault.for_s, HoldEnd(fault.how))


async def _replace_under_transactions(world: World, fault: Fault) -> None:
    event = TransactionsOnReplacedPrimary(world, world.plan.services_by_number()[-1])
    await (event.cut_off_reader(fault.for_s) if fault.how == 'cut' else event.run(fault.for_s))


async def _hide_requests(world: World, fault: Fault) -> None:
    await hide_requests(world, f'rude {fault}', fault.for_s)


async def _hide_answers(world: World, fault: Fault) -> None:
    await hide_answers(world, f's{fault.on}', fault.share, f'rude {fault}', fault.for_s)


async def _compact(world: World, _: Fault) -> None:
    world.store.oldest_retained_version = world.store.version


async def _lag(world: World, fault: Fault) -> None:
    replicas = [other for other in world.primary_of(f's{fault.on}').other_targets]
    for replica in replicas:
        replica.lag_s = fault.share
        replica.ignores_replication = fault.how == 'deaf'
    await asyncio.sleep(fault.for_s)
    for replica in replicas:
        replica.lag_s = 0.02
        replica.ignores_replication = False
        if replica.role is Role.REPLICA:
            replica.become_replica()


async def _lose_answers(world: World, fault: Fault) -> None:
    targets = [target for target in world.targets.values() if target.description.service == f's{fault.on}']
    for target in targets:
        target.lost_answer_share = fault.share
    await asyncio.sleep(fault.for_s)
    for target in targets:
        target.lost_answer_share = 0.0


async def _grey(world: World, fault: Fault) -> None:
    """Make the replicas of a service fail a share of their statements while they report a normal status."""
    replicas = list(world.primary_of(f's{fault.on}').other_targets)
    for replica in replicas:
        replica.failed_statement_share = fault.share
    await asyncio.sleep(fault.for_s)
    for replica in replicas:
        replica.failed_statement_share = 0.0


async def _flood(world: World, fault: Fault) -> None:
    """Send a multiple of one organisation's rate."""
    flood = Load(
        world, world.plan.rate_per_s * _FLOOD_FACTOR, _FLOOD_SESSIONS, credential=world.credentials()[int(fault.on)]
    )
    await flood.run(fault.for_s)


async def _withdraw(world: World, fault: Fault) -> None:
    world.withdraw_key(world.credentials()[int(fault.on)])


_ACTIONS_BY_KIND: Final[dict[str, Callable[[World, Fault], Awaitable[None]]]] = {
    'kill': _kill,
    'freeze': _freeze,
    'kill_all': _kill_all,
    'stop': _stop,
    'crash_primary': _crash_primary,
    'drain_primary': _drain_primary,
    'cut_zone': _cut_data_centre,
    'cut_primary': _cut_primary,
    'cut_instance': _cut_instance,
    'store': _store,
    'compact': _compact,
    'lag': _lag,
    'lose_answers': _lose_answers,
    'grey': _grey,
    'flood': _flood,
    'withdraw': _withdraw,
}

#: Kinds of faults, from which random schedules are drawn.
FAULT_KINDS: Final = tuple(_ACTIONS_BY_KIND)

#: Kinds that schedules get in addition, so that seeds keep their schedules: the table comes back from a copy, operators
#: evacuate a data centre, connections to the table go silent, a promotion's request is held up, transactions stay
#: open on a primary that is replaced, and callers and targets hide requests and answers inside fields.
DRILL_KIND: Final = 'restore'
EVACUATION_KIND: Final = 'evacuate'
SILENCE_KIND: Final = 'silence'
HOLD_KIND: Final = 'hold_promotion'
TRANSACTIONS_KIND: Final = 'replace_under_transactions'
HIDDEN_KIND: Final = 'hide_requests'
HIDDEN_ANSWERS_KIND: Final = 'hide_answers'
_ACTIONS_BY_KIND.update(
    {
        DRILL_KIND: _restore,
        EVACUATION_KIND: _evacuate,
        SILENCE_KIND: _silence,
        HOLD_KIND: _hold_promotion,
        TRANSACTIONS_KIND: _replace_under_transactions,
        HIDDEN_KIND: _hide_requests,
        HIDDEN_ANSWERS_KIND: _hide_answers,
    }
)
