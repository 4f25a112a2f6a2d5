"""Brings this instance its tokens: from the coordinator, or without one from a neighbour that stands in."""

import asyncio
import collections
from collections.abc import Callable
from typing import Final

from fescuequay_core.relay.model import MemberRecord
from fescuequay_core.relay.intervals import contact_timeout_s, exchange_interval_s, urgent_interval_s
from fescuequay_core.types import InstanceId, Instant, OrganisationId
from fescuequay_entry.relay.board import Board, log_event
from fescuequay_entry.relay.coordinator import Coordinator
from fescuequay_entry.relay.messages import SupplyAnswer, SupplyRequest
from fescuequay_entry.relay.ports import PeerError, Peers

#: Exchanges without tokens after which a neighbour is asked.
_FALLBACK_AFTER_ROUNDS: Final = 2.1

#: Time for which an instance that did not answer is not asked again, in seconds.
_SILENT_RETRY_S: Final = 2.0

#: Instances that are probed at a time in search of one that stands in.
_PARALLEL_PROBES: Final = 4

#: Requests without an answer after which no part is left to an instance until it answers again: each one that may
#: have arrived makes the wait longer until the part is back.
_FAILURE_LIMIT: Final = 1


class TokenSupply:
    """Leaves this instance's even part of the limits to one other at a time, and takes tokens from it.

    That is the coordinator; when it resigns, it goes on supplying until there is another. Without an answer from it
    the first instance by name that answers stands in, so that all that reach each other choose the same one and
    share their parts. An instance turns to another one when the former has let its part go, or else only after the
    part has come back to it.

    :param board: The blackboard.
    :param peers: Client of the other instances.
    :param coordinator: Holds this instance's own pool.
    :param has_path: Tells whether an instance of another data centre, or the table, answered lately.
    """

    def __init__(self, board: Board, peers: Peers, coordinator: Coordinator, has_path: Callable[[], bool]) -> None:
        self._has_path = has_path
        self._board = board
        self._peers = peers
        self._coordinator = coordinator
        self._supplied_at: Instant = float('-inf')
        self._supplier = ''
        self._delegated_until: Instant = float('-inf')
        # Number of the latest request that left the part, and to whom it was left before.
        self._previous_delegation: tuple[int, str, Instant] = (-1, '', float('-inf'))
        self._failures_by_address: collections.Counter[str] = collections.Counter()
        self._number = 0
        self._silent_until: dict[InstanceId, Instant] = {}
        self._urgent = asyncio.Event()
        self._releasing: asyncio.Task[None] | None = None
        board.changes.subscribe(self._on_change)

    async def run(self) -> None:
        """Ask whenever an operation waits, and find a stand-in whenever nobody supplies, for ever."""
        while True:
            try:
                await asyncio.wait_for(self._urgent.wait(), self._round_s())
            except TimeoutError:
                is_wanted = False
            else:
                is_wanted = True
            self._urgent.clear()
            now = self._board.clock()
            if self._board.lease.holds(now):
                self.grant_to_self()
            elif now - self._supplied_at > _FALLBACK_AFTER_ROUNDS * self._round_s():
                await self._ask_fallback_supplier()
            elif is_wanted:
                await self._ask_supplier()
            await asyncio.sleep(urgent_interval_s(self._board.member_count()))

    def delegate_share(self, address: str, now: Instant) -> SupplyRequest | None:
        """Leave the even part to an instance from now on, if no other may still count on it.

        :param address: Its peer listener.
        :param now: Present time.
        :returns: The request for tokens that goes with it; nothing when the part is not left to it.
        """
        if self._is_silent(address) or self._is_releasing():
            return None
        if address != self._supplier:
            if now < self._delegated_until:
                self._release()
                return None
            log_event('tokens_from', address=address, earlier=self._supplier or '-')
        self._previous_delegation = (self._number + 1, self._supplier, self._delegated_until)
        self._supplier = address
        self._delegated_until = now + contact_timeout_s(self._board.member_count())
        return self._new_request(now)

    def grant_to_self(self) -> None:
        """Take tokens from this instance's own pool."""
        now = self._board.clock()
        if self.delegate_share(self._board.own.peer_address, now) is not None:
            self._supplied_at = now
            self._coordinator.grant_own_tokens(now)

    def receive_answer(self, answer: SupplyAnswer, began_at: Instant) -> None:
        """Take in the tokens of an answer.

        :param answer: The answer to a request that left the part.
        :param began_at: When that was sent.
        """
        self._supplied_at = max(self._supplied_at, began_at)
        self._board.buckets.record_contact(began_at + contact_timeout_s(self._board.member_count()))
        self._receive(answer, began_at)

    def record_failure(self, address: str, request: SupplyRequest | None, error: PeerError) -> None:
        """Record that an instance did not answer a request.

        :param address: Its peer listener.
        :param request: The request, if it left the part.
        :param error: What happened; where the request was never sent, the part was not left either.
        """
        self._failures_by_address[address] += 1
        if request is not None and error.is_unsent and request.number == self._previous_delegation[0]:
            self._supplier, self._delegated_until = self._previous_delegation[1:]

    def record_answer(self, address: str) -> None:
        """Record that an instance answers, whatever it was asked."""
        self._failures_by_address.pop(address, None)

    def _receive(self, answer: SupplyAnswer, began_at: Instant) -> None:
        buckets = self._board.buckets
        for name, (tokens, next_token_s) in answer.tokens.items():
            buckets.receive(OrganisationId(name), tokens, next_token_s, began_at)
        buckets.extend_stocks(began_at)
        self._board.changes.on_next('tokens')

    def _is_silent(self, address: str) -> bool:
        return self._failures_by_address[address] >= _FAILURE_LIMIT

    def _round_s(self) -> float:
        return exchange_interval_s(self._board.member_count())

    def _new_request(self, now: Instant, *, is_release: bool = False) -> SupplyRequest:
        own = self._board.own
        buckets = self._board.buckets
        self._number += 1
        return SupplyRequest(
            own.instance,
            own.incarnation,
            self._number,
            _with_plain_keys(buckets.update_requests(now)),
            _with_plain_keys(buckets.waiting()),
            _with_plain_keys(buckets.held(now)),
            is_release,
        )

    def _probe_request(self) -> SupplyRequest:
        """:returns: A request that asks for nothing and leaves nothing."""
        own = self._board.own
        self._number += 1
        return SupplyRequest(own.instance, own.incarnation, self._number, {}, is_release=True)

    def _on_change(self, subject: str) -> None:
        if subject == 'demand':
            self._urgent.set()

    async def _ask_supplier(self) -> None:
        if self._supplier and self._board.clock() < self._delegated_until:
            await self._request_tokens(self._supplier)

    async def _request_tokens(self, address: str) -> bool:
        """:returns: Whether the instance answered."""
        began_at = self._board.clock()
        request = self.delegate_share(address, began_at)
        if request is None:
            return False
        try:
            answer = await self._peers.supply(address, request)
        except PeerError as error:
            self.record_failure(address, request, error)
            log_event('supply_lost', address=address, failures=self._failures_by_address[address], detail=str(error))
            return False
        self.record_answer(address)
        self.receive_answer(answer, began_at)
        return True

    def _release(self) -> None:
        """Take the part back from an instance that may still be in touch."""
        if not self._is_silent(self._supplier):
            self._releasing = asyncio.ensure_future(self._release_from(self._supplier))

    def _is_releasing(self) -> bool:
        return self._releasing is not None and not self._releasing.done()

    async def _release_from(self, address: str) -> None:
        began_at = self._board.clock()
        request = self._new_request(began_at, is_release=True)
        if address == self._board.own.peer_address:
            answer = self._coordinator.grant_tokens(request)
        else:
            try:
                answer = await self._peers.supply(address, request)
            except PeerError as error:
                self.record_failure(address, None, error)
                log_event('release_lost', address=address, detail=str(error))
                return
        self._receive(answer, began_at)
        if address == self._supplier:
            self._delegated_until = self._board.clock()

    async def _ask_fallback_supplier(self) -> None:
        own = self._board.own.instance
        now = self._board.clock()
        names = sorted(
            name for name, member in self._board.members_by_id.items() if name < own and self._may_ask(member)
        )
        probed = [name for name in names if self._silent_until.get(name, float('-inf')) <= now][:_PARALLEL_PROBES]
        members = [self._board.members_by_id[name] for name in probed]
        delegated = [member for member in members if member.address == self._supplier]
        # A part that was left to a silent instance is gone for a while, so it is left only to one that answers.
        for member, has_answered in await self._probe_all(delegated or members):
            if has_answered:
                await self._request_tokens(member.address)
                return
            if member.address != self._supplier or self._is_silent(member.address):
                self._silent_until[member.instance] = now + _SILENT_RETRY_S
        if not probed:
            self.grant_to_self()

    def _may_ask(self, member: MemberRecord) -> bool:
        """:returns: Whether an instance may answer: cut off with its data centre, only those beside this one do."""
        return self._has_path() or member.data_centre == self._board.own.data_centre

    async def _probe_all(self, members: list[MemberRecord]) -> list[tuple[MemberRecord, bool]]:
        answers = await asyncio.gather(*(self._probe(member) for member in members))
        return list(zip(members, answers, strict=True))

    async def _probe(self, member: MemberRecord) -> bool:
        """:returns: Whether the instance answers a request that leaves nothing to it."""
        try:
            await self._peers.supply(member.address, self._probe_request())
        except PeerError:
            return False
        self.record_answer(member.address)
        return True


def _with_plain_keys(counts: dict[OrganisationId, int]) -> dict[str, int]:
    return {str(name): count for name, count in counts.items()}
