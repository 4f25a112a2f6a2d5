"""Calls between instances, and from instances to the promoter, over the simulated network."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Final, TypeVar

import msgspec

from fescuequay_core.types import InstanceId, Role, ServiceId, TargetId
from fescuequay_emulator.checker import PromotionRequest
from fescuequay_entry.relay.authority import Authority, AuthorityEnded, run_within
from fescuequay_entry.relay.instance import Instance
from fescuequay_entry.relay.messages import (
    CloseAnswer,
    CloseRequest,
    ExchangeAnswer,
    ExchangeRequest,
    FetchAnswer,
    FetchRequest,
    News,
    SupplyAnswer,
    SupplyRequest,
)
from fescuequay_entry.relay.ports import (
    FETCH_TIMEOUT_S,
    PEER_TIMEOUT_S,
    PeerError,
    Peers,
    Promoter,
    PromoteResult,
)

if TYPE_CHECKING:
    from fescuequay_emulator.world import World

Answer = TypeVar('Answer')

#: Node of the promoter in the network.
PROMOTER_NODE: Final = 'promoter'

#: Size of the HTTP headers of a request and its answer, as the real client and listener write them.
_HEADER_BYTES: Final = 330


class ModelPeers(Peers):
    """Calls peers over the simulated network.

    :param world: The deployment.
    :param caller: Name of the calling instance.
    """

    def __init__(self, world: 'World', caller: str) -> None:
        self._world = world
        self._caller = caller

    async def exchange(self, address: str, request: ExchangeRequest) -> ExchangeAnswer:
        """:returns: The coordinator's answer."""
        return await self._call_counted(address, request, lambda one: one.membership.answer_exchange(request))

    async def supply(self, address: str, request: SupplyRequest) -> SupplyAnswer:
        """:returns: The tokens granted."""
        return await self._call_counted(address, request, lambda one: one.membership.answer_supply(request))

    async def fetch(self, address: str, request: FetchRequest) -> FetchAnswer:
        """:returns: The peer's configuration."""
        return await self._call_counted(
            address, request, lambda one: one.configurations.answer_fetch(request), FETCH_TIMEOUT_S
        )

    async def close(self, address: str, request: CloseRequest, timeout_s: float) -> CloseAnswer:
        """:returns: The peer's confirmation."""
        return await self._call(address, lambda instance: instance.membership.answer_close(request), timeout_s)

    async def send_news(self, address: str, news: News) -> None:
        """Notify a peer of a change."""

        async def deliver(instance: Instance) -> None:
            instance.membership.receive_news(news)

        await self._call(address, deliver, PEER_TIMEOUT_S)

    async def _call_counted(
        self,
        address: str,
        request: object,
        handler: Callable[[Instance], Answer],
        timeout_s: float = PEER_TIMEOUT_S,
    ) -> Answer:
        """Call a peer; count the bytes and messages exchanged, as the real client would send them."""

        async def answer(instance: Instance) -> Answer:
            return handler(instance)

        reply = await self._call(address, answer, timeout_s)
        if self._world.plan.counts_bytes:
            kind = type(request).__name__
            size = len(msgspec.json.encode(request)) + len(msgspec.json.encode(reply)) + _HEADER_BYTES
            self._world.control_bytes[kind] += size
            self._world.control_messages[kind] += 1
        return reply

    async def _call(self, address: str, handler: Callable[[Instance], Awaitable[Answer]], timeout_s: float) -> Answer:
        async def send_and_receive() -> Answer:
            name = self._world.names_by_address.get(address, address)
            await self._world.network.transmit(self._caller, name)
            # A frozen process handles the request when it resumes.
            await asyncio.sleep(max(self._world.loop.frozen_until(name) - self._world.loop.time(), 0))
            instance = self._world.instances.get(name)
            if instance is None:
                raise ConnectionRefusedError(address)
            answer = await handler(instance)
            try:
                await self._world.network.transmit(name, self._caller)
            except ConnectionRefusedError:
                # The request had arrived before the connection broke, so the outcome is unknown.
                raise TimeoutError from None
            return answer

        try:
            return await asyncio.wait_for(send_and_receive(), timeout_s)
        except (TimeoutError, ConnectionRefusedError) as error:
            is_unsent = isinstance(error, ConnectionRefusedError)
            raise PeerError(f'{address}: {type(error).__name__}', is_unsent=is_unsent) from error


class ModelPromoter(Promoter):
    """Promotes targets, as the operators' promoter does.

    :param world: The deployment.
    :param caller: Name of the calling instance.
    """

    def __init__(self, world: 'World', caller: str) -> None:
        self._world = world
        self._caller = caller

    async def promote(
        self, service: ServiceId, target: TargetId, holder: InstanceId, token: int, authority: Authority
    ) -> PromoteResult:
        """Promote a target to primary of the next term.

        :returns: Whether the promotion was accepted; unknown when the promoter was not reached in time.
        """
        if authority.left_s() <= 0:
            return PromoteResult.NOT_SENT
        try:
            return await run_within(authority, self._send(service, target, holder, token, authority.left_s()))
        except (AuthorityEnded, TimeoutError, ConnectionRefusedError):
            return PromoteResult.UNKNOWN

    async def _send(
        self, service: ServiceId, target: TargetId, holder: InstanceId, token: int, kept_s: float
    ) -> PromoteResult:
        """Send a request; the kernel keeps what is not acknowledged for ``kept_s``, also for a frozen process."""
        self._world.announce_promotion(self._caller)
        request = asyncio.wait_for(self._deliver(service, target, holder, token), kept_s)
        return await self._world.spawn_as('network', lambda: request)

    async def _deliver(self, service: ServiceId, target: TargetId, holder: InstanceId, token: int) -> PromoteResult:
        await self._world.network.transmit(self._caller, PROMOTER_NODE)
        self._world.checker.promotion_requests.append(PromotionRequest(self._world.loop.time(), holder, token, target))
        found = self._world.targets.get(target)
        if found is None or not found.is_alive:
            return PromoteResult.REFUSED
        self._world.record_permit_overlaps(service, target)
        if found.role is not Role.PRIMARY:
            self._world.loop.call_later(self._world.plan.promote_s, self._world.promote, target)
        return PromoteResult.ACCEPTED
