"""Steps that apply the loads and faults that policies are made for."""

import asyncio
import collections
import dataclasses
from collections.abc import Iterator
from typing import Any
from unittest import mock

from behave import given, then, when

from fescuequay_core.relay import eras
from fescuequay_core.relay.buckets import AcquireResult, Buckets
from fescuequay_core.relay.model import DatabaseName, MemberRecord, OrganisationPolicy
from fescuequay_core.relay.intervals import contact_timeout_s, exchange_interval_s
from fescuequay_core.relay.tokenpool import TokenPool, Tolerance, TokenRequest
from fescuequay_core.relay.waiting import WaitingStatement
from fescuequay_core.types import InstanceId, LeaderState, OrganisationId, ServiceId
from fescuequay_emulator.callers import Session, StatementOutcome
from fescuequay_emulator.load import read, write
from fescuequay_emulator.table import StoreFaults
from fescuequay_emulator.virtual_loop import VirtualLoop
from fescuequay_emulator.world import DATA_CENTRES, Plan, World
from fescuequay_entry.relay import pool
from fescuequay_entry.relay.board import Board, InstanceIdentity
from fescuequay_entry.relay.coordinator import Coordinator
from fescuequay_entry.relay.messages import SupplyAnswer, SupplyRequest
from fescuequay_entry.relay.ports import PEER_TIMEOUT_S, PeerError, TargetLost
from fescuequay_entry.relay.token_supply import TokenSupply
from lab import losses

#: Tolerance of rates that the platform's pages state.
_TOLERANCE = Tolerance(5.0, 0.1, 20.0)
_ORGANISATION = OrganisationId('o')

#: Bound on iterations, so that a wait that makes no progress fails instead of running for ever.
_MAX_ITERATIONS = 2000

#: Controllers that a coordinator without the lease does not call.
_NO_CONTROLLERS: Any = (None, None, None)

#: Delay after a write whose answer is lost at which its writer is checked; its lease is still valid then.
_LOST_ANSWER_CHECK_S = 0.3


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


@given('{count:d} instances with a new token pool for a rate of {rate:d}, after the previous pool granted all it could')
def step_new_pool(context: Any, count: int, rate: int) -> None:
    context.count = count
    context.policy = OrganisationPolicy(_ORGANISATION, rate, rate)
    # The previous pool granted the burst, the rate for 5 s and the part of the tolerance that stocks may use.
    context.granted_before = 5 * rate + rate + _TOLERANCE.stock_allowance(context.policy)
    context.pool = TokenPool(100.0, _TOLERANCE)


@when('each instance requests tokens for its part of {count:d} operations in 0.1 s')
def step_ask_new_pool(context: Any, count: int) -> None:
    context.wanted = count
    context.granted = 0
    for step in range(11):
        now = 100.0 + step / 100
        for number in range(context.count):
            part = len(range(number, count, context.count))
            context.pool.accept_request(InstanceId(f'n{number}'), 'i', step, now)
            request = TokenRequest({_ORGANISATION: part}, {_ORGANISATION: part})
            answer = context.pool.grant(
                InstanceId(f'n{number}'), request, {_ORGANISATION: context.policy}, context.count, now
            )
            context.granted += answer[_ORGANISATION][0]


@then('at least {count:d} of them get a token at once')
def step_at_least(context: Any, count: int) -> None:
    assert context.granted >= count, context.granted


@then('both pools together granted no more than its limit and the tolerance allow')
def step_within_tolerance(context: Any) -> None:
    rate = context.policy.rate_per_s
    allowed = (5 * rate + context.policy.burst) * 1.1 + 20
    # What the new pool granted for its own 0.1 s is outside the window of the previous pool.
    own = rate * 0.1
    assert context.granted_before + context.granted - own <= allowed, (context.granted_before, context.granted, allowed)


@given('an instance of {count:d} whose organisation of a rate of {rate:d} has an exhausted bucket for {ms:d} ms')
def step_exhausted(context: Any, count: int, rate: int, ms: int) -> None:
    buckets = Buckets()
    buckets._policies_by_organisation = {'o': OrganisationPolicy(_ORGANISATION, rate, rate)}
    buckets.set_member_count(count)
    buckets.record_contact(1.0)
    buckets.acquire(_ORGANISATION, 0.0, 1.0)
    buckets.receive(_ORGANISATION, 0, ms / 1000, 0.0)
    context.buckets = buckets


@when('{waiting:d} operations wait there, and another one can wait for {ms:d} ms')
def step_other_waits(context: Any, waiting: int, ms: int) -> None:
    context.buckets.add_waiting(_ORGANISATION, waiting)
    context.taken, context.wait_s = context.buckets.acquire(_ORGANISATION, 0.0, ms / 1000)


@then('that one is told to {do}')
def step_told_to(context: Any, do: str) -> None:
    assert context.taken is (AcquireResult.ASK_COORDINATOR if do == 'wait' else AcquireResult.EXHAUSTED), (
        context.taken,
        context.wait_s,
    )


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
        holder = _holder(world)
        while holder is None or (world.data_centres_by_instance[holder] == data_centre) is not is_wanted_inside:
            if holder is not None:
                await world.restart(holder, 4.0)
            await asyncio.sleep(1)
            holder = _holder(world)
        context.began_at = world.loop.time()
        world.cut_data_centre(data_centre)
        await asyncio.sleep(8)
        context.changes = [change for change in world.checker.changes if change.service == ServiceId('s0')]
        context.overlaps = dict(world.violations)

    world.run(scenario)


def _holder(world: World) -> str | None:
    """:returns: The instance that holds the coordinator lease."""
    return next((name for name, one in world.instances.items() if one.board.lease.holds(world.loop.time())), None)


@then('no two primaries may be used at the same time')
def step_no_overlap(context: Any) -> None:
    assert not context.overlaps, context.overlaps


@when('the table accepts a closing record of the coordinator and its answer is lost')
def step_lost_closing(context: Any) -> None:
    world: World = context.relay

    async def scenario(_: World) -> None:
        await world.start()
        holder = _holder(world)
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


@given('{count:d} instances whose organisation of a rate of {rate:d} is asked for {per_s:d} operations a second')
def step_even_load(context: Any, count: int, rate: int, per_s: int) -> None:
    context.policy = OrganisationPolicy(_ORGANISATION, rate, rate)
    context.pool = TokenPool(0.0, _TOLERANCE)
    context.buckets = [Buckets() for _ in range(count)]
    context.per_s = per_s
    for each in context.buckets:
        each._policies_by_organisation = {'o': context.policy}
        each.set_member_count(count)


@when('their supplier of tokens stops responding for {seconds:g} s')
def step_supplier_silent(context: Any, seconds: float) -> None:
    undisturbed_s = 5.0
    context.missing = 0
    count = len(context.buckets)
    spacing_s = count / context.per_s
    for step in range(int((undisturbed_s + seconds) * 100)):
        now = step / 100
        for number, each in enumerate(context.buckets):
            is_due = step % int(exchange_interval_s(count) * 100) == number
            if now < undisturbed_s and is_due:
                _exchange(context, InstanceId(f'n{number}'), each, now)
            due_at = number * spacing_s / count
            if int((now - due_at) / spacing_s) > int((now - 0.01 - due_at) / spacing_s):
                taken, _ = each.acquire(_ORGANISATION, now, 0.0)
                context.missing += taken is not AcquireResult.ACQUIRED and now >= undisturbed_s


def _exchange(context: Any, instance: InstanceId, each: Buckets, now: float) -> None:
    context.pool.record_contact(instance, now)
    each.record_contact(now + contact_timeout_s(len(context.buckets)))
    request = TokenRequest(each.update_requests(now), each.waiting(), each.held(now))
    granted = context.pool.grant(instance, request, {_ORGANISATION: context.policy}, len(context.buckets), now)
    for organisation, (tokens, next_token_s) in granted.items():
        each.receive(organisation, tokens, next_token_s, now)
    each.extend_stocks(now)


@then('every operation meanwhile gets a token')
def step_none_missing(context: Any) -> None:
    assert not context.missing, context.missing


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


@when('the coordinator is cut off right after the table accepted its renewal')
def step_cut_after_renewal(context: Any) -> None:
    world: World = context.relay

    async def scenario(_: World) -> None:
        await world.start()
        holder = _holder(world)
        assert holder is not None
        renewed = world.store.present_row('duty').version
        while world.store.present_row('duty').version == renewed:
            await asyncio.sleep(0.0005)
        for node in tuple(world.network.data_centres_by_node):
            world.network.cut(holder, node)
        began_at = world.loop.time()
        while _holder(world) in {holder, None}:
            await asyncio.sleep(0.01)
        context.took_s = world.loop.time() - began_at

    world.run(scenario)


@when('a primary and an instance stop responding, and {wait:g} s later all the others are killed for {away:g} s')
def step_closed_and_killed(context: Any, wait: float, away: float) -> None:
    world: World = context.relay

    async def scenario(_: World) -> None:
        await world.start()
        other = next(name for name in sorted(world.instances) if name != _holder(world))
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
        holder = _holder(world)
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


def _has_contact() -> bool:
    """:returns: False, as if no instance of another data centre answered."""
    return False


class CutOffPeers:
    """Peers seen from a data centre that is cut off: those inside answer, the others time out."""

    def __init__(self, near: set[str]) -> None:
        self._near = near

    async def supply(self, address: str, _: SupplyRequest) -> SupplyAnswer:
        await asyncio.sleep(0.005 if address in self._near else PEER_TIMEOUT_S)
        if address not in self._near:
            raise PeerError('silent')
        return SupplyAnswer()


@when('{near:d} of {count:d} instances are cut off with their data centre and lose their supplier of tokens')
def step_lose_supplier(context: Any, near: int, count: int) -> None:
    loop = VirtualLoop()
    asyncio.set_event_loop(loop)
    # Names begin with their data centre, and those of the other data centre sort first.
    names = [f'far-{number:03}' for number in range(count - near)] + [f'near-{number:03}' for number in range(near)]
    members = {
        InstanceId(name): MemberRecord(InstanceId(name), 'i', f'{name}:1', name.partition('-')[0]) for name in names
    }
    own = names[-1]
    board = Board(InstanceIdentity(InstanceId(own), 'i', 'near', f'{own}:1'), loop.time)
    board.set_members(members)
    peers: Any = CutOffPeers({f'{name}:1' for name in names[count - near :]})
    supply = TokenSupply(board, peers, Coordinator(board, *_NO_CONTROLLERS), _has_contact)
    context.took_s = float('inf')

    async def scenario() -> None:
        running = asyncio.ensure_future(supply.run())
        while loop.time() < 5 and not supply._supplier.startswith('near'):
            await asyncio.sleep(0.01)
        context.took_s = loop.time()
        running.cancel()

    loop.run_until_complete(scenario())


@then('they have a supplier in their data centre within {limit:g} s')
def step_one_supplier(context: Any, limit: float) -> None:
    assert context.took_s <= limit, context.took_s


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
