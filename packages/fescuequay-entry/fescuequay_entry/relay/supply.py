"""Brings this instance its tokens: from the coordinator, or without one from a neighbour that stands in."""

import asyncio
from collections.abc import Callable
from typing import Final

from fescuequay_core.relay.model import MemberRecord
from fescuequay_core.relay.pace import contact_s, round_s, urgent_s
from fescuequay_core.types import InstanceId, Instant, OrganisationId
from fescuequay_entry.relay.board import Board, log_event
from fescuequay_entry.relay.coordinator import Coordinator
from fescuequay_entry.relay.messages import ExchangeAnswer, ExchangeRequest
from fescuequay_entry.relay.ports import PeerError, Peers

#: Exchanges without tokens from a coordinator after which a neighbour is asked.
_QUIET_ROUNDS: Final = 2.1

#: Time for which an instance that did not answer is not asked again, in seconds.
_SILENT_S: Final = 2.0

#: Instances that are tried at a time in search of one that stands in.
_TRIED: Final = 4


class Supply:
    """Leaves this instance's even part of the limits to one other at a time, and takes tokens from it.

    Without a coordinator the first instance by name that answers stands in, so that all that reach each
    other choose the same one and share their parts. An instance turns to another only after its part
    has come back to it.

    :param board: The blackboard.
    :param peers: Client of the other instances.
    :param coordinator: Holds this instance's own pool.
    :param request: Makes an exchange request at a time, leaving the part or not.
    """

    def __init__(
        self,
        board: Board,
        peers: Peers,
        coordinator: Coordinator,
        request: Callable[[Instant, bool], ExchangeRequest],
    ) -> None:
        self.supplied_at: Instant = float('-inf')
        self._board = board
        self._peers = peers
        self._coordinator = coordinator
        self._request = request
        self._delegate = ''
        self._delegated_until: Instant = float('-inf')
        self._silent_until: dict[InstanceId, Instant] = {}
        self._urgent = asyncio.Event()
        board.changes.subscribe(self._on_change)

    async def run(self) -> None:
        """Find a stand-in whenever there is no coordinator, for ever."""
        while True:
            try:
                await asyncio.wait_for(self._urgent.wait(), round_s(self._board.member_count()))
            except TimeoutError:
                self._urgent.clear()
            self._urgent.clear()
            now = self._board.clock()
            is_holder = self._board.duty.holds(now)
            if not is_holder and now - self.supplied_at > _QUIET_ROUNDS * round_s(self._board.member_count()):
                await self._ask_stand_in()
            await asyncio.sleep(urgent_s(self._board.member_count()))

    def delegate(self, address: str, now: Instant) -> bool:
        """Leave the even part to an instance, unless another may still count on it.

        :param address: Its peer listener.
        :param now: Present time.
        :returns: Whether the part is left to it.
        """
        if address != self._delegate and now < self._delegated_until:
            return False
        if address != self._delegate:
            log_event('tokens_from', address=address, earlier=self._delegate or '-')
        self._delegate = address
        self._delegated_until = now + self._contact_s()
        return True

    def serve_own(self) -> None:
        """Take tokens from this instance's own pool."""
        now = self._board.clock()
        if self.delegate(self._board.own.peer_address, now):
            self._coordinator.take_own_part(now)

    def take(self, answer: ExchangeAnswer, began_at: Instant) -> None:
        """Take in the tokens of an answer.

        :param answer: The answer to a request that left the part.
        :param began_at: When that was sent.
        """
        buckets = self._board.buckets
        buckets.note_contact(began_at + self._contact_s())
        for name, (tokens, dry_s) in answer.tokens.items():
            buckets.receive(OrganisationId(name), tokens, dry_s, began_at)
        self._board.changes.on_next('tokens')

    def _contact_s(self) -> float:
        return contact_s(self._board.member_count())

    def _on_change(self, subject: str) -> None:
        if subject == 'demand':
            self._urgent.set()

    async def _ask_stand_in(self) -> None:
        own = self._board.own.instance
        now = self._board.clock()
        names = sorted(name for name in self._board.members_by_id if name < own)
        tried = [name for name in names if self._silent_until.get(name, float('-inf')) <= now][:_TRIED]
        members = [self._board.members_by_id[name] for name in tried]
        delegated = [member for member in members if member.address == self._delegate]
        for member, answered in await self._ask_all(delegated or members):
            if answered:
                return
            self._silent_until[member.instance] = now + _SILENT_S
        if not tried:
            self.serve_own()

    async def _ask_all(self, members: list[MemberRecord]) -> list[tuple[MemberRecord, bool]]:
        """Ask the first one for tokens, and the others just whether they answer."""
        answers = await asyncio.gather(*(self._ask(member) for member in members))
        return list(zip(members, answers, strict=True))

    async def _ask(self, member: MemberRecord) -> bool:
        """:returns: Whether the instance answered."""
        began_at = self._board.clock()
        delegates = self.delegate(member.address, began_at)
        try:
            answer = await self._peers.exchange(member.address, self._request(began_at, delegates))
        except PeerError:
            return False
        if delegates:
            self.take(answer, began_at)
        return True
