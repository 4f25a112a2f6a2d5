"""Steps that test single decisions of the relay."""

import asyncio
import dataclasses
from typing import Any, Final

from behave import given, then, when

from features.coordinators import coordinator_of
from fescuequay_core.relay import placement, refusals
from fescuequay_core.relay.lease import CoordinatorLease
from fescuequay_core.relay.health import TargetHealth
from fescuequay_core.relay.model import (
    Credential,
    DatabaseName,
    LeaseRecord,
    MemberRecord,
    TargetDescription,
)
from fescuequay_core.relay.intervals import exchange_interval_s
from fescuequay_core.relay.permits import PERMIT_S, Confirmations
from fescuequay_core.relay.failure_detector import Observation, PeerReport, evaluate
from fescuequay_core.types import InstanceId, LeaderState, Role, ServiceId, TargetId, Verdict
from fescuequay_emulator.callers import Session
from fescuequay_emulator.load import read, write
from fescuequay_emulator.table import TABLE_NODE, StoreFaults
from fescuequay_emulator.world import Plan, World

#: Instances of a fleet that is large enough for the longest interval between exchanges.
_LARGE_FLEET = 112

_OBSERVATIONS = {
    'answered': Observation(None, is_refusing=False, has_answered=True, reaches_others=True),
    'idle': Observation(None, is_refusing=False, has_answered=False, reaches_others=False),
    'silent': Observation(1.2, is_refusing=False, has_answered=False, reaches_others=True),
    'brief': Observation(0.3, is_refusing=False, has_answered=False, reaches_others=True),
    'refused': Observation(0.3, is_refusing=True, has_answered=False, reaches_others=True),
    'isolated': Observation(1.2, is_refusing=False, has_answered=False, reaches_others=False),
}


@given('an instance in virtual time with one primary')
def step_world(context: Any) -> None:
    context.relay = World(Plan(instances=2, services=1, work_s=0.2), 7)


@when('a write is answered after the leader record was closed')
def step_closed(context: Any) -> None:
    world: World = context.relay

    async def scenario(_: World) -> None:
        await world.start()
        # The coordinator is not used, because it would act on the closing record itself.
        name = next(other for other in sorted(world.instances) if other != coordinator_of(world))
        session = Session(1, Credential('key-o0'), DatabaseName('primary-0'), world.checker.sent, world.rng)
        assert await session.open(world.listeners[name]) is True
        statement = asyncio.ensure_future(session.execute(write(1, 'v')))
        board = world.instances[name].board
        while not board.in_flight_writes.get(ServiceId('s0')):
            await asyncio.sleep(0.001)
        record = board.permits.record(ServiceId('s0'))
        assert record is not None
        closed = dataclasses.replace(record, state=LeaderState.CLOSING, version=record.version + 1000)
        board.update_record(closed, board.clock(), 'test')
        context.sent = await statement

    world.run(scenario)


@then('the caller is told that the outcome is unknown')
def step_unknown(context: Any) -> None:
    assert context.sent.refusal is not None and context.sent.refusal.reason is refusals.SUPERSEDED, context.sent


@when('an instance is cut off from its peers and the table for {seconds:g} s and receives a {kind}')
def step_expired(context: Any, seconds: float, kind: str) -> None:
    world: World = context.relay

    async def scenario(_: World) -> None:
        await world.start()
        name = next(other for other in sorted(world.instances) if other != coordinator_of(world))
        session = Session(1, Credential('key-o0'), DatabaseName('bounded-0'), world.checker.sent, world.rng)
        if kind == 'write':
            session = Session(1, Credential('key-o0'), DatabaseName('primary-0'), world.checker.sent, world.rng)
        for node in (TABLE_NODE, *(other for other in world.instances if other != name)):
            world.network.cut(name, node)
        await asyncio.sleep(seconds)
        # Sessions that were idle have been closed by now.
        assert await session.open(world.listeners[name]) is True
        asked_at = world.loop.time()
        context.sent = await session.execute(write(1, 'v') if kind == 'write' else read(1))
        context.took_s = world.loop.time() - asked_at

    world.run(scenario)


@then('it is refused within {limit:d} ms as not run, with a time to retry after')
def step_at_once(context: Any, limit: int) -> None:
    refusal = context.sent.refusal
    assert refusal is not None and refusal.reason.verdict is Verdict.NOT_RUN, context.sent
    assert refusal.retry_after_s is not None and refusal.retry_after_s > 0, refusal
    assert context.took_s <= limit / 1000, (context.took_s, refusal.reason.code)


@when('permits are collected from a member whose connections are refused')
def step_collect(context: Any) -> None:
    world: World = context.relay

    async def scenario(_: World) -> None:
        await world.start()
        holder = next(name for name in world.instances if world.instances[name].board.lease.is_own())
        other = next(name for name in world.instances if name != holder)
        world.kill(other)
        primary = world.primary_of('s0')
        context.began_at = world.loop.time()
        primary.crash()
        await asyncio.sleep(8)
        context.changes = list(world.checker.changes)

    world.run(scenario)


@then('the promoter waits until its permit has certainly expired')
def step_waited(context: Any) -> None:
    (change,) = context.changes
    assert change.at - context.began_at >= PERMIT_S, change.at - context.began_at


@given('{count:d} instances in virtual time')
def step_instances(context: Any, count: int) -> None:
    context.relay = World(Plan(instances=count), 11)


#: Time after which another instance coordinates, in seconds.
_TAKEOVER_S: Final = 3.0


def _watch_readiness(context: Any, seconds: float, begin: Any, end: Any, prepare: Any = None) -> None:
    """Record when each instance was unready, in seconds from the beginning."""
    world: World = context.relay
    context.unready = {}

    async def scenario(_: World) -> None:
        await world.start()
        if prepare is not None:
            await prepare(world)
        began_at = world.loop.time()
        finish = begin(world)
        while world.loop.time() < began_at + seconds + 4:
            if finish is not None and world.loop.time() >= began_at + seconds:
                end(world, finish)
                finish = None
            for name, instance in world.instances.items():
                if not instance.is_ready():
                    context.unready.setdefault(name, []).append(world.loop.time() - began_at)
            await asyncio.sleep(0.1)

    world.run(scenario)


@when('{seconds:g} s without a fault pass')
def step_pass(context: Any, seconds: float) -> None:
    _watch_readiness(context, seconds, lambda _: None, None)


@when('a data centre with {coordinator} is cut off for {seconds:g} s')
def step_cut_with(context: Any, coordinator: str, seconds: float) -> None:
    async def await_place(world: World) -> None:
        """Restart coordinators until one runs where it is wanted."""
        is_wanted_inside = coordinator == 'the coordinator'
        holder = coordinator_of(world)
        while holder is None or (world.data_centres_by_instance[holder] == 'east') is not is_wanted_inside:
            if holder is not None:
                await world.restart(holder, after_s=_TAKEOVER_S)
            await asyncio.sleep(_TAKEOVER_S)
            holder = coordinator_of(world)

    _watch_readiness(context, seconds, lambda world: world.cut_data_centre('east'), lambda _, heal: heal(), await_place)


@when('a data centre is cut off for {seconds:g} s')
def step_cut(context: Any, seconds: float) -> None:
    _watch_readiness(context, seconds, lambda world: world.cut_data_centre('east'), lambda _, heal: heal())


@when('the table does not respond for {seconds:g} s')
def step_silent(context: Any, seconds: float) -> None:
    def begin(world: World) -> bool:
        world.store.faults = StoreFaults(is_silent=True)
        return True

    def end(world: World, _: bool) -> None:
        world.store.faults = StoreFaults()

    _watch_readiness(context, seconds, begin, end)


@then('every instance is ready throughout')
def step_ready(context: Any) -> None:
    assert not context.unready, context.unready


@then('its instances are unready within 2 s, and ready again within 2 s of the end')
def step_unready(context: Any) -> None:
    for name in ('n2', 'n6'):
        assert min(context.unready[name]) <= 2.0, context.unready[name][:3]
        assert max(context.unready[name]) <= 8.0, context.unready[name][-3:]


@then('the instances elsewhere stay ready')
def step_elsewhere(context: Any) -> None:
    assert set(context.unready) == {'n2', 'n6'}, set(context.unready)


@when('the coordinator sees {own} and the others see {others}')
def step_observe(context: Any, own: str, others: str) -> None:
    context.status = evaluate(
        _OBSERVATIONS[own], [_report(word) for word in others.split(' ')], exchange_interval_s(_LARGE_FLEET)
    )


def _report(word: str) -> PeerReport:
    """:returns: A report from its observation and age, as in ``answered@1.3``; the age defaults to 0 s."""
    name, _, age_s = word.partition('@')
    return PeerReport(_OBSERVATIONS[name], float(age_s or 0))


@when('the data centre of a primary is cut off for {seconds:g} s while all its instances reach it')
def step_cut_primary(context: Any, seconds: float) -> None:
    world: World = context.relay

    async def scenario(_: World) -> None:
        await world.start()
        primary = world.primary_of('s0')
        data_centre = primary.description.data_centre
        holder = coordinator_of(world)
        while world.data_centres_by_instance[holder] == data_centre:
            # The coordinator must not be cut off too; another one takes over while this one restarts.
            await world.restart(holder, after_s=3.0)
            holder = coordinator_of(world)
        near = [world.instances[name] for name, other in world.data_centres_by_instance.items() if other == data_centre]
        until = world.loop.time() + 2.0
        while world.loop.time() < until:
            # Simulates answered traffic in the data centre, which its instances report.
            for instance in near:
                instance.board.health_of(primary.description).record_answer(world.loop.time())
            await asyncio.sleep(0.1)
        began_at = world.loop.time()
        heal = world.cut_data_centre(data_centre)
        record = world.instances[holder].board.permits.record
        while record(ServiceId('s0')).state is LeaderState.LEADING and world.loop.time() < began_at + seconds:
            await asyncio.sleep(0.02)
        context.took_s = world.loop.time() - began_at
        heal()

    world.run(scenario)


@then('the replacement of the primary begins within {limit:g} s')
def step_replaced_within(context: Any, limit: float) -> None:
    assert context.took_s <= limit, context.took_s


@then('the primary is found {status}')
def step_status(context: Any, status: str) -> None:
    assert context.status.value == status, context.status


@when('the row of the lease was {row} and last changed {age:g} s ago')
def step_lease(context: Any, row: str, age: float) -> None:
    lease = CoordinatorLease(InstanceId('me'), 'now')
    records = {
        'absent': None,
        'free': LeaseRecord(InstanceId(''), '', '', 4, 'n', 9),
        'held': LeaseRecord(InstanceId('other'), 'i', 'a:1', 4, 'n', 9),
        'own': LeaseRecord(InstanceId('me'), 'before', 'a:1', 4, 'n', 9),
    }
    lease.observe(records.get(row, records['held']), 100.0, 100.0)
    if row == 'resigned':
        lease.record_resignation(4)
    context.may = lease.may_take_over(100.0 + age)


@then('the instance that reads the row {may} take over the lease')
def step_may(context: Any, may: str) -> None:
    assert context.may is (may == 'may'), context.may


@when('the table rejects the coordinator alone for 6 s')
def step_reject_coordinator(context: Any) -> None:
    world: World = context.relay

    async def scenario(_: World) -> None:
        await world.start()
        first = coordinator_of(world)
        world.store.faults = StoreFaults(rejected=frozenset((first or '',)))
        began_at = world.loop.time()
        while coordinator_of(world) in {first, None}:
            await asyncio.sleep(0.05)
        context.took_s = world.loop.time() - began_at

    world.run(scenario)


@then('another instance becomes coordinator within {limit:g} s')
def step_new_coordinator(context: Any, limit: float) -> None:
    assert context.took_s <= limit, context.took_s


@when('an instance is cut off for 22 s, so that its row is removed, and is reconnected')
def step_unlisted(context: Any) -> None:
    world: World = context.relay

    async def scenario(_: World) -> None:
        await world.start()
        await asyncio.sleep(12)
        name = next(other for other in sorted(world.instances) if other != coordinator_of(world))
        nodes = [node for node in world.network.data_centres_by_node if node != name]
        for node in nodes:
            world.network.cut(name, node)
        await asyncio.sleep(22)
        context.was_removed = world.store.present_row(f'member/{name}') is None
        for node in nodes:
            world.network.heal(name, node)
        context.unlisted_permits = 0
        context.has_permit = False
        for _ in range(3000):
            await asyncio.sleep(0.001)
            is_permitted = world.instances[name].board.permits.leader(ServiceId('s0'), world.loop.time()) is not None
            is_listed = world.store.present_row(f'member/{name}') is not None
            context.unlisted_permits += is_permitted and not is_listed
            context.has_permit = is_permitted and is_listed

    world.run(scenario)


@then('it has no permit while it is not listed, and is listed and has one within 3 s')
def step_listed(context: Any) -> None:
    assert context.was_removed
    assert not context.unlisted_permits, context.unlisted_permits
    assert context.has_permit


@when('a primary and an instance stop responding, and the coordinator is killed 2 s later')
def step_silent_primary(context: Any) -> None:
    world: World = context.relay

    async def scenario(_: World) -> None:
        await world.start()
        first = coordinator_of(world)
        other = next(name for name in sorted(world.instances) if name != first)
        for node in tuple(world.network.data_centres_by_node):
            world.network.cut(other, node)
        context.began_at = world.loop.time()
        world.primary_of('s0').crash(is_silent=True)
        await asyncio.sleep(2)
        world.kill(first or '')
        await asyncio.sleep(10)
        context.changes = [change for change in world.checker.changes if change.service == 's0']

    world.run(scenario)


@when('an instance stops responding, and 2 s later a primary')
def step_silent_first(context: Any) -> None:
    world: World = context.relay

    async def scenario(_: World) -> None:
        await world.start()
        _cut_off_other(world)
        await asyncio.sleep(2)
        context.began_at = world.loop.time()
        world.primary_of('s0').crash(is_silent=True)
        await asyncio.sleep(8)
        context.changes = [change for change in world.checker.changes if change.service == 's0']

    world.run(scenario)


@when('an instance stops responding, and a primary that returns under another id {seconds:g} s later')
def step_returned(context: Any, seconds: float) -> None:
    world: World = context.relay

    async def scenario(_: World) -> None:
        await world.start()
        _cut_off_other(world)
        context.took_s = float('inf')
        began_at = world.loop.time()
        primary = world.primary_of('s0')
        await world.replace_primary(primary, seconds)
        board = world.instances[coordinator_of(world)].board
        while world.loop.time() < began_at + 12:
            leader = board.permits.leader(ServiceId('s0'), world.loop.time())
            if leader is not None and leader.target == primary.name:
                context.took_s = world.loop.time() - began_at
                return
            await asyncio.sleep(0.02)

    world.run(scenario)


def _cut_off_other(world: World) -> None:
    """Cut off an instance that is not the coordinator."""
    other = next(name for name in sorted(world.instances) if name != coordinator_of(world))
    for node in tuple(world.network.data_centres_by_node):
        world.network.cut(other, node)


@then('the new id leads the service within {limit:g} s')
def step_new_leads(context: Any, limit: float) -> None:
    assert context.took_s <= limit, context.took_s


@given("a coordinator that acquired the lease at 10 s and read an instance's row at 11 s")
def step_confirmations(context: Any) -> None:
    context.confirmations = Confirmations()
    context.confirmations.begin(10.0)
    context.confirmations.record_row(InstanceId('other'), 5, 11.0)


@when('no confirmation is sent')
def step_none_sent(context: Any) -> None:
    """Leave only the confirmation by the row."""


@when('it is confirmed at {at:g} s')
def step_confirmed(context: Any, at: float) -> None:
    context.confirmations.record_sent(InstanceId('other'), at)


@when('it is confirmed at {first:g} s and then at {second:g} s')
def step_confirmed_twice(context: Any, first: float, second: float) -> None:
    step_confirmed(context, first)
    step_confirmed(context, second)


@when('its row is rewritten and read at {at:g} s')
def step_row_rewritten(context: Any, at: float) -> None:
    context.confirmations.record_row(InstanceId('other'), 6, at)


@when('its row is read unchanged at {at:g} s')
def step_row_unchanged(context: Any, at: float) -> None:
    context.confirmations.record_row(InstanceId('other'), 5, at)


@then("the instance's latest confirmation is of {at:g} s")
def step_latest(context: Any, at: float) -> None:
    assert context.confirmations.latest(MemberRecord(InstanceId('other'), 'i', 'o:1', 'north')) == at


@then('the service has a primary again within {limit:g} s')
def step_has_primary(context: Any, limit: float) -> None:
    assert context.changes and context.changes[0].at - context.began_at <= limit, context.changes


@when('replicas are {near} and {far} and the primary is idle')
def step_candidates(context: Any, near: str, far: str) -> None:
    def candidate(name: str, data_centre: str, state: str, *, is_primary: bool = False) -> placement.Candidate:
        role = Role.PRIMARY if is_primary else Role.REPLICA
        target = TargetDescription(
            TargetId(name), 1, ServiceId('s'), f'{name}:1', data_centre, is_draining=False, role=role
        )
        health = TargetHealth()
        if state == 'behind':
            health.record_behind(10.0)
        if state == 'faulty':
            for _ in range(10):
                health.record_answer(10.0, took_s=0.01, is_fault=True)
        if state == 'failing':
            health.record_failure(10.0, 10.0, is_refusal=False)
        is_full = state == 'full'
        health.in_flight = 2 if is_full else 0
        return placement.Candidate(target, health, 0 if is_full else 2, 12 if is_full else 0, is_primary)

    candidates = [
        candidate('near one', 'here', near),
        candidate('far one', 'there', far),
        candidate('primary', 'there', 'idle', is_primary=True),
    ]
    context.choice = next(placement.rank(candidates, 'here', 10.1, is_replicated=True)).target.target


@then('the read goes to the {choice}')
def step_choice(context: Any, choice: str) -> None:
    assert context.choice == choice, context.choice
