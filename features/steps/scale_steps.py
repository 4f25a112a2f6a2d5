"""Steps about decisions that matter with many instances: token shares, lists of members, and the feed."""

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
#: Tolerance that the sites' pages state.
TOLERANCE = Tolerance(5.0, 0.1, 20.0)
ORGANISATION = OrganisationId('o')


@given('two token pools and 4 instances that delegate their shares to the first')
def step_pools(context: Any) -> None:
    context.pools = [TokenPool(0.0, TOLERANCE), TokenPool(0.0, TOLERANCE)]
    for number in range(MEMBERS):
        assert context.pools[0].accept_request(InstanceId(f'n{number}'), 'i', 5, 100.0)


@when('one instance takes back its share and delegates it to the second')
def step_release(context: Any) -> None:
    context.pools[0].release(InstanceId('n1'), 'i', 6)
    assert context.pools[1].accept_request(InstanceId('n1'), 'i', 7, 100.0)


@when('an earlier request of that instance reaches the first pool late')
def step_late(context: Any) -> None:
    assert not context.pools[0].accept_request(InstanceId('n1'), 'i', 5, 100.0)


@then('the first pool grants three quarters of a rate and the second a quarter')
def step_shares(context: Any) -> None:
    assert [pool.share(MEMBERS, 100.0) for pool in context.pools] == [3 / 4, 1 / 4]
    policies = {ORGANISATION: OrganisationPolicy(ORGANISATION, RATE_PER_S, RATE_PER_S)}
    request = TokenRequest({ORGANISATION: 1000}, {ORGANISATION: 1000})
    granted = [
        pool.grant(InstanceId('n0'), request, policies, MEMBERS, 100.0)[ORGANISATION][0] for pool in context.pools
    ]
    # The first call grants all tokens, so the second can grant only what has been refilled since.
    assert sum(granted) <= RATE_PER_S, granted


@given('a known list of 80 entries')
def step_list(context: Any) -> None:
    context.entries = {f'n{number}': number for number in range(80)}
    context.history = History()
    context.history.record(context.entries)
    context.known = context.history.digest


@when('2 entries change, 1 is added and 1 is removed')
def step_change(context: Any) -> None:
    entries = {**context.entries, 'n1': -1, 'n2': -2, 'new': 0}
    entries.pop('n3')
    context.history.record(entries)


@then('the difference contains 3 entries and 1 removal')
def step_difference(context: Any) -> None:
    difference = context.history.since(context.known)
    assert not difference.is_whole
    assert sorted(difference.changed) == [-2, -1, 0] and difference.removed == ('n3',), difference


@then('a reader with an unknown version of the list is sent all 80')
def step_whole(context: Any) -> None:
    difference = context.history.since('unknown')
    assert difference.is_whole and len(difference.changed) == 80, difference


@then('a reader with the present list is sent nothing')
def step_nothing(context: Any) -> None:
    assert context.history.since(context.history.digest) is None


@when('{count:d} instances of a data centre choose which instance to ask')
def step_parents(context: Any, count: int) -> None:
    members = [MemberRecord(InstanceId(f'n{number:03}'), '', f'a{number}', 'north') for number in range(count)]
    others = [MemberRecord(InstanceId(f's{number:03}'), '', f'b{number}', 'south') for number in range(count)]
    context.parents = {member.instance: parent_of(member.instance, 'north', [*others, *members]) for member in members}


@then('one of them asks the table, none is asked by more than 4, and all are reached in {steps:d} steps')
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

    async def run(_: World) -> None:
        await world.start()
        # Wait until the first feed call of each instance has ended; after that the coordinator announces news.
        await asyncio.sleep(6)
        for node in tuple(world.network.data_centres_by_node):
            world.network.cut('n0', node)
        world.withdraw_key(world.credentials()[0])
        version = world.checker.configurations[-1][1].version
        others = [
            name
            for name, data_centre in world.data_centres_by_instance.items()
            if data_centre == DATA_CENTRES[0] and name != 'n0'
        ]
        began_at = world.loop.time()
        while any(world.instances[name].board.configuration.version < version for name in others):
            await asyncio.sleep(0.01)
        context.others = others
        context.took_s = world.loop.time() - began_at

    world.run(run)


@then('the other instances of that data centre hold the new configuration within {limit:g} s')
def step_configuration_in_time(context: Any, limit: float) -> None:
    assert len(context.others) >= 2
    assert context.took_s <= limit, context.took_s


class SupplyingPeers:
    """Records token requests and answers them, unless it is silent or absent."""

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


def _has_contact() -> bool:
    """:returns: True, as if instances of other data centres answered."""
    return True


@given('an instance that has delegated its share to one supplier')
def step_delegated(context: Any) -> None:
    context.loop = VirtualLoop()
    asyncio.set_event_loop(context.loop)
    board = Board(InstanceIdentity(InstanceId('a'), 'a1', 'north', 'a:1'), context.loop.time)
    context.supplying = SupplyingPeers()
    coordinator: Any = None
    context.supply = TokenSupply(board, context.supplying, coordinator, _has_contact)
    context.first = context.supply.delegate_share('first:1', context.loop.time())
    assert context.first is not None


@given('an instance whose delegation to a supplier failed for want of a connection')
def step_absent_supplier(context: Any) -> None:
    step_delegated(context)
    context.supply.record_failure('first:1', context.first, PeerError('refused', is_unsent=True))


@then('it requests tokens from the new supplier at once')
def step_at_once(context: Any) -> None:
    assert context.asked_at_once is not None


@when('a later request finds no supplier, and a new coordinator becomes its supplier')
def step_gone_supplier(context: Any) -> None:
    async def run() -> None:
        again = context.supply.delegate_share('first:1', context.loop.time())
        context.supply.record_failure('first:1', again, PeerError('refused', is_unsent=True))
        context.supplying.is_absent = True
        await _await_second_supplier(context)

    context.loop.run_until_complete(run())


@when('a new coordinator becomes its supplier')
def step_change_supplier(context: Any) -> None:
    async def run() -> None:
        context.asked_at_once = context.supply.delegate_share('second:1', context.loop.time())
        await asyncio.sleep(0.05)
        context.asked_later = context.supply.delegate_share('second:1', context.loop.time())

    context.loop.run_until_complete(run())


@then('it requests nothing from the new supplier until the first has released the share')
def step_released_first(context: Any) -> None:
    assert context.asked_at_once is None
    assert [(address, request.is_release) for address, request in context.supplying.requests] == [('first:1', True)]


@then('then it requests tokens from it')
def step_asks(context: Any) -> None:
    assert context.asked_later is not None and not context.asked_later.is_release


@when('the supplier goes silent, and a new coordinator becomes its supplier')
def step_supplier_silent(context: Any) -> None:
    async def run() -> None:
        context.supplying.is_silent = True
        await _await_second_supplier(context)

    context.loop.run_until_complete(run())


async def _await_second_supplier(context: Any) -> None:
    """Record when tokens may first be requested from the second supplier."""
    context.accepted_at = None
    for _ in range(300):
        await asyncio.sleep(0.01)
        if context.supply.delegate_share('second:1', context.loop.time()) is not None:
            context.accepted_at = context.loop.time()
            return


@then('it requests nothing from the new supplier until the delegation has certainly expired')
def step_after_expiry(context: Any) -> None:
    assert context.accepted_at is not None
    assert contact_timeout_s(1) <= context.accepted_at <= contact_timeout_s(1) + 0.02, context.accepted_at
