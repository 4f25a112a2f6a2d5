"""Gets tokens for this instance from the coordinator or, without one, from a fallback supplier."""

import asyncio
import collections
from collections.abc import Callable
from typing import Final

from fescuequay_core.relay.intervals import contact_timeout_s, exchange_interval_s, urgent_interval_s
from fescuequay_core.relay.model import MemberRecord
from fescuequay_core.types import InstanceId, Instant, OrganisationId
from fescuequay_entry.relay.board import Board, log_event
from fescuequay_entry.relay.coordinator import Coordinator
from fescuequay_entry.relay.messages import SupplyAnswer, SupplyRequest
from fescuequay_entry.relay.ports import PeerError, Peers

#: Exchange intervals without an answer from a supplier after which a fallback supplier is sought.
_FALLBACK_AFTER_ROUNDS: Final = 2.1

#: Time for which an instance that did not answer is not probed again, in seconds.
_SILENT_RETRY_S: Final = 2.0

#: Number of instances that are probed at a time in search of a fallback supplier.
_PARALLEL_PROBES: Final = 4

#: Requests without an answer after which no share is delegated to an instance until it answers again. Each request that
#: may have arrived prolongs the wait until the delegation expires.
_FAILURE_LIMIT: Final = 1


class TokenSupply:
    """Delegates this instance's equal share of the limits to one supplier at a time and gets tokens from it.

    The supplier is the coordinator; after resigning, it goes on supplying until there is another. If it does not
    answer, the first instance by name that answers is the fallback supplier, so that all instances that reach each
    other choose the same one and pool their shares. An instance delegates its share to another supplier only when the
    former one has released it, or when the delegation has expired.

    :param board: The blackboard.
    :param peers: Client of the other instances.
    :param coordinator: Holds this instance's own token pool.
    :param has_path: Returns whether an instance of another data centre, or the table, answered recently.
    """

    def __init__(self, board: Board, peers: Peers, coordinator: Coordinator, has_path: Callable[[], bool]) -> None:
        self._has_path = has_path
        self._board = board
        self._peers = peers
        self._coordinator = coordinator
        self._supplied_at: Instant = float('-inf')
        self._supplier = ''
        self._delegated_until: Instant = float('-inf')
        # Number of the latest request that delegated the share, and the supplier and expiry before it.
        self._previous_delegation: tuple[int, str, Instant] = (-1, '', float('-inf'))
        self._failures_by_address: collections.Counter[str] = collections.Counter()
        self._number = 0
        self._not_probed_until: dict[InstanceId, Instant] = {}
        self._urgent = asyncio.Event()
        self._releasing: asyncio.Task[None] | None = None
        board.changes.subscribe(self._on_change)

    async def run(self) -> None:
        """Request tokens when an operation waits, and seek a fallback supplier when none answers, until cancelled."""
        while True:
            try:
                await asyncio.wait_for(self._urgent.wait(), self._round_s())
            except TimeoutError:
                is_urgent = False
            else:
                is_urgent = True
            self._urgent.clear()
            now = self._board.clock()
            if self._board.lease.holds(now):
                self.grant_to_self()
            elif now - self._supplied_at > _FALLBACK_AFTER_ROUNDS * self._round_s():
                await self._ask_fallback_supplier()
            elif is_urgent:
                await self._ask_supplier()
            await asyncio.sleep(urgent_interval_s(self._board.member_count()))

    def delegate_share(self, address: str, now: Instant) -> SupplyRequest | None:
        """Delegate the equal share to an instance, unless another one may still use it.

        :param address: Address of its peer listener.
        :param now: Present time.
        :returns: The token request to send to it; nothing if the share is not delegated to it.
        """
        if self._is_silent(address) or self._is_releasing():
            return None
        if address != self._supplier:
            if now < self._delegated_until:
                self._start_release()
                return None
            log_event('tokens_from', address=address, earlier=self._supplier or '-')
        self._previous_delegation = (self._number + 1, self._supplier, self._delegated_until)
        self._supplier = address
        self._delegated_until = now + contact_timeout_s(self._board.member_count())
        return self._new_request(now)

    def grant_to_self(self) -> None:
        """Grant this instance tokens from its own pool, if the share may be delegated to itself."""
        now = self._board.clock()
        if self.delegate_share(self._board.own.peer_address, now) is not None:
            self._supplied_at = now
            self._coordinator.grant_own_tokens(now)

    def receive_answer(self, answer: SupplyAnswer, began_at: Instant) -> None:
        """Add the tokens of an answer to the buckets.

        :param answer: The answer to a request that delegated the share.
        :param began_at: When the request was sent.
        """
        self._supplied_at = max(self._supplied_at, began_at)
        self._board.buckets.record_contact(began_at + contact_timeout_s(self._board.member_count()))
        self._add_tokens(answer, began_at)

    def record_failure(self, address: str, request: SupplyRequest | None, error: PeerError) -> None:
        """Record that an instance did not answer a request.

        :param address: Address of its peer listener.
        :param request: The request, if it delegated the share.
        :param error: The error; if the request was never sent, the share was not delegated either.
        """
        self._failures_by_address[address] += 1
        if request is not None and error.is_unsent and request.number == self._previous_delegation[0]:
            self._supplier, self._delegated_until = self._previous_delegation[1:]

    def record_answer(self, address: str) -> None:
        """Record that an instance has answered any request."""
        self._failures_by_address.pop(address, None)

    def _add_tokens(self, answer: SupplyAnswer, began_at: Instant) -> None:
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
        """:returns: A request that asks for no tokens and delegates no share."""
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

    def _start_release(self) -> None:
        """Start to take the share back from the supplier, unless it does not answer."""
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
        self._add_tokens(answer, began_at)
        if address == self._supplier:
            self._delegated_until = self._board.clock()

    async def _ask_fallback_supplier(self) -> None:
        own = self._board.own.instance
        now = self._board.clock()
        names = sorted(
            name for name, member in self._board.members_by_id.items() if name < own and self._may_be_reachable(member)
        )
        candidates = [name for name in names if self._not_probed_until.get(name, float('-inf')) <= now][
            :_PARALLEL_PROBES
        ]
        members = [self._board.members_by_id[name] for name in candidates]
        delegated = [member for member in members if member.address == self._supplier]
        # A share delegated to an instance that does not answer can't be used until it expires, so probe beforehand.
        for member, has_answered in await self._probe_all(delegated or members):
            if has_answered:
                await self._request_tokens(member.address)
                return
            if member.address != self._supplier or self._is_silent(member.address):
                self._not_probed_until[member.instance] = now + _SILENT_RETRY_S
        if not candidates:
            self.grant_to_self()

    def _may_be_reachable(self, member: MemberRecord) -> bool:
        """:returns: Whether an instance may be reachable; without a path, only those in the same data centre are."""
        return self._has_path() or member.data_centre == self._board.own.data_centre

    async def _probe_all(self, members: list[MemberRecord]) -> list[tuple[MemberRecord, bool]]:
        answers = await asyncio.gather(*(self._probe(member) for member in members))
        return list(zip(members, answers, strict=True))

    async def _probe(self, member: MemberRecord) -> bool:
        """:returns: Whether the instance answers a request that delegates no share to it."""
        try:
            await self._peers.supply(member.address, self._probe_request())
        except PeerError:
            return False
        self.record_answer(member.address)
        return True


def _with_plain_keys(counts: dict[OrganisationId, int]) -> dict[str, int]:
    return {str(name): count for name, count in counts.items()}
