"""Steps about what the instances of large fleets send each other."""

import asyncio
import dataclasses
from typing import Any

from behave import given, then, when

from features.coordinators import coordinator_of
from fescuequay_core.relay.history import History
from fescuequay_core.relay.model import LeaderRecord, TargetDescription
from fescuequay_core.relay.permits import Permits
from fescuequay_core.relay.registry import Registry
from fescuequay_core.types import LeaderState, Role, ServiceId, TargetId, Term
from fescuequay_emulator.world import Plan, World
from fescuequay_entry.relay.messages import ExchangeAnswer, ExchangeRequest, News
from fescuequay_entry.relay.news import NewsSender


@given('a list of {count:d} entries that a reader knows')
def step_long_list(context: Any, count: int) -> None:
    context.entries = {f'n{number:04}': number for number in range(count)}
    context.history = History()
    context.history.record(context.entries)
    context.known = context.history.digest


@when('{count:d} entries are added one after the other')
def step_added(context: Any, count: int) -> None:
    for number in range(count):
        context.entries[f'x{number:04}'] = number
        context.history.record(context.entries)


@then('the reader is sent {count:d} entries, and readers of the same state share one difference')
def step_sent(context: Any, count: int) -> None:
    difference = context.history.since(context.known)
    assert not difference.is_whole and len(difference.changed) == count, difference
    assert context.history.since(context.known) is difference
    whole = context.history.since('unknown')
    assert whole is context.history.since('also unknown')


@when('an entry is removed and added with its earlier state')
def step_back(context: Any) -> None:
    earlier = dict(context.entries)
    context.entries.pop('n0003')
    context.history.record(context.entries)
    assert context.history.since(context.known).removed == ('n0003',)
    context.history.record(earlier)


@then('the reader has the present list')
def step_present(context: Any) -> None:
    assert context.history.since(context.known) is None


def _record(number: int, version: int) -> LeaderRecord:
    service = ServiceId(f's{number}')
    return LeaderRecord(service, Term(1), TargetId(f't{number}'), LeaderState.LEADING, 'found', None, version)


@given('leader records of {count:d} services that another instance knows')
def step_records(context: Any, count: int) -> None:
    context.permits = Permits()
    for number in range(count):
        context.permits.observe(_record(number, number + 1), 0.0, 0.0)
    context.known = context.permits.digest()


@when('one of them changes')
def step_record_changes(context: Any) -> None:
    assert context.permits.since(context.known) == ()
    context.permits.observe(_record(7, 100), 0.0, 0.0)


@then('the other instance is sent that one, and one of unknown records is sent all')
def step_records_sent(context: Any) -> None:
    assert context.permits.since(context.known) == (_record(7, 100),)
    assert context.permits.since('unknown') is None
    assert Permits().since('unknown') is None


@given('a fleet of {services:d} services and {instances:d} instances on the model')
def step_fleet(context: Any, services: int, instances: int) -> None:
    context.relay = World(Plan(instances=instances, services=services, counts_bytes=True), 3)


class _InterruptedPeers:
    """Lets an instance learn of a newer leader record while its exchange is under way."""

    def __init__(self, world: World, name: str) -> None:
        self._membership = world.instances[name].membership
        self._board = world.instances[name].board
        self._peers = self._membership._peers
        self._membership._peers = self  # type: ignore[assignment]
        self.request: ExchangeRequest | None = None
        self.answer: ExchangeAnswer | None = None

    async def exchange(self, address: str, request: ExchangeRequest) -> ExchangeAnswer:
        """:returns: The coordinator's answer, after the record has changed here."""
        answer = await self._peers.exchange(address, request)
        known = self._board.permits.record(ServiceId('s7'))
        assert known is not None
        newer = dataclasses.replace(known, version=known.version + 1)
        self._board.permits.observe(newer, float('-inf'), float('inf'))
        self.request, self.answer = request, answer
        self._membership._peers = self._peers
        return answer


@when('an instance learns of a newer record while its exchange is under way')
def step_learns(context: Any) -> None:
    async def run(world: World) -> None:
        await world.start()
        holder = coordinator_of(world)
        name = next(name for name in world.instances if name != holder)
        peers = _InterruptedPeers(world, name)
        while peers.answer is None:
            await asyncio.sleep(0.001)
        context.exchanged = (peers.request, peers.answer)
        permits = world.instances[name].board.permits
        leaders = {record.service: permits.leader(record.service, world.loop.time()) for record in permits.records()}
        context.permitted = {service for service, leader in leaders.items() if leader is not None}
        context.services = set(leaders)

    context.relay.run(run)


@then('the answer confirms only the records that it knew when it asked')
def step_confirms(context: Any) -> None:
    request, answer = context.exchanged
    assert answer.records_since == request.records and answer.records == (), answer
    assert context.services - context.permitted == {ServiceId('s7')}, context.permitted


@when('the coordinator answers exchanges at 0, 10 and 30 ms')
def step_answers(context: Any) -> None:
    async def run(world: World) -> None:
        await world.start()
        name = coordinator_of(world)
        assert name is not None
        holder = world.instances[name]
        other = next(one.board.own for one in world.instances.values() if one is not holder)
        member = holder.board.members_by_id[other.instance]
        began_at = world.loop.time()
        for at_s in (0.0, 0.01, 0.03):
            await asyncio.sleep(began_at + at_s - world.loop.time())
            answer = holder.membership.answer_exchange(ExchangeRequest(member, -1, '', {}, ''))
            context.ages_ms.append(round(answer.record_age_s * 1000))

    context.ages_ms = []
    context.relay.run(run)


@then('the records in its answers are {ages} ms old')
def step_ages(context: Any, ages: str) -> None:
    assert ', '.join(map(str, context.ages_ms)) == ages, context.ages_ms


@when('it runs for {seconds:d} s in calm weather')
def step_calm(context: Any, seconds: int) -> None:
    async def run(world: World) -> None:
        await world.start()
        world.control_bytes.clear()
        world.control_messages.clear()
        await asyncio.sleep(seconds)

    context.relay.run(run)


@then('an exchange takes less than {limit:d} KB on average')
def step_exchange_size(context: Any, limit: int) -> None:
    world: World = context.relay
    kind = ExchangeRequest.__name__
    size = world.control_bytes[kind] / world.control_messages[kind]
    assert size < limit * 1000, size


def _target(number: int, service: str, role: Role = Role.REPLICA) -> TargetDescription:
    return TargetDescription(TargetId(f't{number}'), 0, ServiceId(service), f'a{number}:1', 'north', False, role)


@given('a registry of 3 targets of one service')
def step_registry(context: Any) -> None:
    context.registry = Registry()
    for number in range(3):
        context.registry[TargetId(f't{number}')] = _target(number, 'a')


@when('one is removed, one moves to another service and one changes its role')
def step_registry_changes(context: Any) -> None:
    removals = [context.registry.remove(TargetId('t0')) for _ in range(2)]
    assert removals == [True, False], removals
    context.registry[TargetId('t1')] = _target(1, 'b')
    context.registry[TargetId('t2')] = _target(2, 'a', Role.PRIMARY)


@then('the services have 1 target each, and the registry has 2')
def step_registry_has(context: Any) -> None:
    assert list(context.registry.of_service(ServiceId('a'))) == [_target(2, 'a', Role.PRIMARY)]
    assert list(context.registry.of_service(ServiceId('b'))) == [_target(1, 'b')]
    assert sorted(context.registry) == ['t1', 't2'] and len(context.registry) == 2


class _SlowPeer:
    """Takes its time to answer news."""

    def __init__(self, answer_s: float) -> None:
        self._answer_s = answer_s
        self.got: list[News] = []

    async def send_news(self, _address: str, news: News) -> None:
        """Record the news, and answer late."""
        self.got.append(news)
        await asyncio.sleep(self._answer_s)


@given('a peer that takes {answer_ms:d} ms to answer news')
def step_slow_peer(context: Any, answer_ms: int) -> None:
    context.slow_peer = _SlowPeer(answer_ms / 1000)


@when('{count:d} configurations are announced to it within a moment, and then a resignation')
def step_announced(context: Any, count: int) -> None:
    async def run() -> None:
        sender = NewsSender(context.slow_peer)
        for version in range(1, count + 1):
            sender.send('peer:1', News(version, 'own'))
            await asyncio.sleep(0.001)
        sender.send('peer:1', News(resigned=5))
        await asyncio.sleep(0.5)
        context.count = count

    asyncio.run(run())


@then('it has got 2 messages, and the last names the newest configuration and the resignation')
def step_got(context: Any) -> None:
    first, last = context.slow_peer.got
    assert first == News(1, 'own') and last == News(context.count, 'own', None, 5), (first, last)
