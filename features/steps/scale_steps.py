"""Steps for decisions that matter where there are many instances."""

import asyncio
import collections
from typing import Any

from behave import given, then, when

from fescuequay_core.relay.history import History
from fescuequay_core.relay.model import MemberRecord, OrganisationPolicy
from fescuequay_core.relay.intervals import contact_timeout_s
from fescuequay_core.relay.distribution import parent_of
from fescuequay_core.relay.tokenpool import TokenPool, Tolerance, TokenRequest
from fescuequay_core.types import InstanceId, OrganisationId
from fescuequay_emulator.virtual_loop import VirtualLoop
from fescuequay_emulator.world import DATA_CENTRES, World
from fescuequay_entry.relay.board import Board, InstanceIdentity
from fescuequay_entry.relay.messages import SupplyAnswer, SupplyRequest
from fescuequay_entry.relay.ports import PeerError
from fescuequay_entry.relay.token_supply import TokenSupply

RATE_PER_S = 80.0
MEMBERS = 4
#: As the sites' pages state it.
TOLERANCE = Tolerance(5.0, 0.1, 20.0)
ORGANISATION = OrganisationId('o')


@given('two token pools and 4 instances that leave their parts to the first')
def step_pools(context: Any) -> None:
    context.pools = [TokenPool(0.0, TOLERANCE), TokenPool(0.0, TOLERANCE)]
    for number in range(MEMBERS):
        assert context.pools[0].accept_request(InstanceId(f'n{number}'), 'i', 5, 100.0)


@when('one instance releases its part and turns to the second')
def step_release(context: Any) -> None:
    context.pools[0].release(InstanceId('n1'), 'i', 6)
    assert context.pools[1].accept_request(InstanceId('n1'), 'i', 7, 100.0)


@when('an earlier request of that instance reaches the first pool late')
def step_late(context: Any) -> None:
    assert not context.pools[0].accept_request(InstanceId('n1'), 'i', 5, 100.0)


@then('the first pool gives three quarters of a rate and the second a quarter')
def step_parts(context: Any) -> None:
    assert [pool.share(MEMBERS, 100.0) for pool in context.pools] == [3 / 4, 1 / 4]
    policies = {ORGANISATION: OrganisationPolicy(ORGANISATION, RATE_PER_S, RATE_PER_S)}
    wish = TokenRequest({ORGANISATION: 1000}, {ORGANISATION: 1000})
    given = [pool.grant(InstanceId('n0'), wish, policies, MEMBERS, 100.0)[ORGANISATION][0] for pool in context.pools]
    # What the second call finds is what has come in since; the first emptied the buckets.
    assert sum(given) <= RATE_PER_S, given


@given('a list of 80 entries that is known')
def step_list(context: Any) -> None:
    context.entries = {f'n{number}': number for number in range(80)}
    context.history = History()
    context.history.note(context.entries)
    context.known = context.history.digest


@when('2 entries change, 1 is added and 1 is removed')
def step_change(context: Any) -> None:
    entries = {**context.entries, 'n1': -1, 'n2': -2, 'new': 0}
    entries.pop('n3')
    context.history.note(entries)


@then('the difference names 3 entries and 1 removal')
def step_difference(context: Any) -> None:
    difference = context.history.since(context.known)
    assert not difference.is_whole
    assert sorted(difference.changed) == [-2, -1, 0] and difference.removed == ('n3',), difference


@then('whoever knows an unknown list is sent all 80')
def step_whole(context: Any) -> None:
    difference = context.history.since('unknown')
    assert difference.is_whole and len(difference.changed) == 80, difference


@then('whoever knows the present list is sent nothing')
def step_nothing(context: Any) -> None:
    assert context.history.since(context.history.digest) is None


@when('{count:d} instances of a data centre look for whom to ask')
def step_parents(context: Any, count: int) -> None:
    members = [MemberRecord(InstanceId(f'n{number:03}'), '', f'a{number}', 'north') for number in range(count)]
    others = [MemberRecord(InstanceId(f's{number:03}'), '', f'b{number}', 'south') for number in range(count)]
    context.parents = {member.instance: parent_of(member.instance, 'north', [*others, *members]) for member in members}


@then('one of them asks the table, nobody is asked by more than 4, and all are reached in {steps:d} steps')
def step_reached(context: Any, steps: int) -> None:
    parents = {name: parent.instance if parent is not None else None for name, parent in context.parents.items()}
    roots = [name for name, parent in parents.items() if parent is None]
    asked = collections.Counter(parent for parent in parents.values() if parent is not None)
    depths = {roots[0]: 0}
    for name in sorted(parents):
        depths.setdefault(name, depths.get(parents[name], 0) + 1)
    assert len(roots) == 1 and max(asked.values(), default=0) <= 4, (roots, asked)
    assert max(depths.values()) == steps, depths


@when('the first instance of a data centre goes silent and a key is withdrawn')
def step_silent_parent(context: Any) -> None:
    world: World = context.relay

    async def story(_: World) -> None:
        await world.start()
        # Each instance's own first call to the feed ends; from then on the coordinator tells of news.
        await asyncio.sleep(6)
        for place in tuple(world.network.data_centres_by_node):
            world.network.cut('n0', place)
        world.withdraw_key(world.credentials()[0])
        version = world.checker.configurations[-1][1].version
        near = [
            name for name, zone in world.data_centres_by_instance.items() if zone == DATA_CENTRES[0] and name != 'n0'
        ]
        began_at = world.loop.time()
        while any(world.instances[name].board.configuration.version < version for name in near):
            await asyncio.sleep(0.01)
        context.near = near
        context.took_s = world.loop.time() - began_at

    world.run(story)


@then('the other instances of that data centre hold the new configuration within {limit:g} s')
def step_in_time(context: Any, limit: float) -> None:
    assert len(context.near) >= 2
    assert context.took_s <= limit, context.took_s


class SupplyingPeers:
    """Answers requests for tokens, unless it is silent, and remembers them."""

    def __init__(self) -> None:
        self.is_silent = False
        self.is_absent = False
        self.requests: list[tuple[str, SupplyRequest]] = []

    async def supply(self, address: str, request: SupplyRequest) -> SupplyAnswer:
        self.requests.append((address, request))
        await asyncio.sleep(0.01)
        if self.is_silent:
            raise PeerError('silent')
        if self.is_absent:
            raise PeerError('refused', is_unsent=True)
        return SupplyAnswer()


def _is_in_touch() -> bool:
    """:returns: Whether instances of other data centres answer."""
    return True


@given('an instance that has left its part to one supplier')
def step_left_part(context: Any) -> None:
    context.loop = VirtualLoop()
    asyncio.set_event_loop(context.loop)
    board = Board(InstanceIdentity(InstanceId('a'), 'a1', 'north', 'a:1'), context.loop.time)
    context.supplying = SupplyingPeers()
    coordinator: Any = None
    context.supply = TokenSupply(board, context.supplying, coordinator, _is_in_touch)
    context.first = context.supply.delegate_share('first:1', context.loop.time())
    assert context.first is not None


@given('an instance that asks a supplier that is not there')
def step_absent(context: Any) -> None:
    step_left_part(context)
    context.supply.record_failure('first:1', context.first, PeerError('refused', is_unsent=True))


@then('it asks that one at once')
def step_at_once(context: Any) -> None:
    assert context.asked_at_once is not None


@when('it asks that one again, which is not there any more, and would turn to another one')
def step_gone(context: Any) -> None:
    async def story() -> None:
        again = context.supply.delegate_share('first:1', context.loop.time())
        context.supply.record_failure('first:1', again, PeerError('refused', is_unsent=True))
        context.supplying.is_absent = True
        await _turn_to_second(context)

    context.loop.run_until_complete(story())


@when('it would turn to another one that coordinates now')
def step_turn(context: Any) -> None:
    async def story() -> None:
        context.asked_at_once = context.supply.delegate_share('second:1', context.loop.time())
        await asyncio.sleep(0.05)
        context.asked_later = context.supply.delegate_share('second:1', context.loop.time())

    context.loop.run_until_complete(story())


@then('it asks that one for nothing until the first has let the part go')
def step_let_go(context: Any) -> None:
    assert context.asked_at_once is None
    assert [(address, request.is_release) for address, request in context.supplying.requests] == [('first:1', True)]


@then('then it asks it')
def step_asks(context: Any) -> None:
    assert context.asked_later is not None and not context.asked_later.is_release


@when('the supplier goes silent and it would turn to another one')
def step_supplier_silent(context: Any) -> None:
    async def story() -> None:
        context.supplying.is_silent = True
        await _turn_to_second(context)

    context.loop.run_until_complete(story())


async def _turn_to_second(context: Any) -> None:
    """Note when the second supplier may be asked."""
    context.turned_at = None
    for _ in range(300):
        await asyncio.sleep(0.01)
        if context.supply.delegate_share('second:1', context.loop.time()) is not None:
            context.turned_at = context.loop.time()
            return


@then('it asks that one for nothing until the supplier surely counts on it no more')
def step_by_time(context: Any) -> None:
    assert context.turned_at is not None
    assert contact_timeout_s(1) <= context.turned_at <= contact_timeout_s(1) + 0.02, context.turned_at
