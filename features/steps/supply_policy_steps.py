"""Steps of the policies about tokens: new pools, exhausted buckets, and suppliers that stop responding."""

import asyncio
from typing import Any

from behave import given, then, when

from fescuequay_core.relay.buckets import AcquireResult, Buckets
from fescuequay_core.relay.intervals import contact_timeout_s, exchange_interval_s
from fescuequay_core.relay.model import MemberRecord, OrganisationPolicy
from fescuequay_core.relay.tokenpool import TokenPool, Tolerance, TokenRequest
from fescuequay_core.types import InstanceId, OrganisationId
from fescuequay_emulator.virtual_loop import VirtualLoop
from fescuequay_entry.relay.board import Board, InstanceIdentity
from fescuequay_entry.relay.coordinator import Coordinator
from fescuequay_entry.relay.messages import SupplyAnswer, SupplyRequest
from fescuequay_entry.relay.ports import PEER_TIMEOUT_S, PeerError
from fescuequay_entry.relay.token_supply import TokenSupply

#: Tolerance of rates that the platform's pages state.
_TOLERANCE = Tolerance(5.0, 0.1, 20.0)

_ORGANISATION = OrganisationId('o')

#: Controllers that a coordinator without the lease does not call.
_NO_CONTROLLERS: Any = (None, None, None)


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
