"""Keeps this instance in contact with the coordinator, or with the table when no coordinator answers."""

import asyncio
import dataclasses
import random
from collections.abc import Awaitable
from typing import Final

import msgspec

from fescuequay_core.relay.freshness import Sample
from fescuequay_core.relay.history import Difference
from fescuequay_core.relay.intervals import contact_timeout_s, exchange_interval_s, retry_interval_s, urgent_interval_s
from fescuequay_core.relay.lease import RENEW_INTERVAL_S
from fescuequay_core.relay.model import LogPosition, MemberRecord
from fescuequay_core.relay.reach import ProbeRotation, Reach
from fescuequay_core.types import InstanceId, Instant, LeaderState, ServiceId, TargetId, Term
from fescuequay_entry.relay.board import Board, log_event
from fescuequay_entry.relay.coordinator import Coordinator, has_observed, observe
from fescuequay_entry.relay.era_table import EraChanged
from fescuequay_entry.relay.followers import ConfigurationFollower, TargetFollower
from fescuequay_entry.relay.messages import (
    MANY_RECORDS,
    CloseAnswer,
    CloseRequest,
    ExchangeAnswer,
    ExchangeRequest,
    News,
    SupplyAnswer,
    SupplyRequest,
)
from fescuequay_entry.relay.news import NewsSender
from fescuequay_entry.relay.ports import PEER_TIMEOUT_S, PeerError, Peers, TableError
from fescuequay_entry.relay.records import DutyLost, Records
from fescuequay_entry.relay.replacement import drain_writes
from fescuequay_entry.relay.token_supply import TokenSupply

#: Minimum pause between two rounds, even after a round that took long, in seconds.
_MIN_PAUSE_S: Final = 0.02

#: Age of the coordinator's confirmations from which this instance reads the table itself, in seconds: three renewals.
_STALE_CONFIRMATIONS_S: Final = 1.2

#: Age of confirmations from which this instance registers again, so that its own read of the table confirms the
#: records, in seconds. There is usually a new coordinator before that, and each registration delays promoters that
#: can't reach this instance.
_REREGISTER_AFTER_S: Final = 1.9

#: Exchange intervals without an answer of the table, a coordinator or most instances of other data centres after which
#: an instance asks for no more callers. An unavailable table alone does not count, since others would be affected too.
_ISOLATED_ROUNDS: Final = 2.4

#: Number of instances that are probed at a time.
_PARALLEL_PROBES: Final = 3

#: Exchange intervals without such an answer after which this instance probes other peers.
_PATH_PROBE_ROUNDS: Final = 1.3

#: Interval between checks for that, as a fraction of the exchange interval.
_PATH_CHECK_SHARE: Final = 0.25

#: Time for which an instance is sent the positions of a service after it has needed one, in seconds.
_POSITION_NEED_S: Final = 30.0

#: Maximum random delay before acquiring the lease, in seconds, so that few instances try at the same time.
_ACQUIRE_JITTER_S: Final = 0.12


class Membership:
    """Runs rounds: coordinates, exchanges with the coordinator, or reads the table and acquires a free lease.

    :param board: The blackboard.
    :param records: Access to the system's rows in the table.
    :param peers: Client of the other instances.
    :param coordinator: Coordinates while this instance holds the lease.
    :param targets: Applies the registry that the coordinator relays.
    :param configurations: Fetches configuration versions that peers report.
    """

    def __init__(
        self,
        board: Board,
        records: Records,
        peers: Peers,
        coordinator: Coordinator,
        targets: TargetFollower,
        configurations: ConfigurationFollower,
    ) -> None:
        self._targets = targets
        self._configurations = configurations
        self._board = board
        self._records = records
        self._peers = peers
        self._coordinator = coordinator
        self._urgent = asyncio.Event()
        self._supply = TokenSupply(board, peers, coordinator, self._has_path)
        self._is_registered = False
        self._has_lost_contact = False
        self._table_answered_at: Instant = board.clock()
        self._table_retry_at: Instant = float('-inf')
        self._coordinator_answered_at: Instant = board.clock()
        # When most instances last answered probes.
        self._others_answered_at: Instant = board.clock()
        self._reach = Reach()
        self._exchanging: set[str] = set()
        self._news = NewsSender(peers)
        self._probe_rotation = ProbeRotation(board.own.instance)
        # The coordinator that answered last, and the newest format of lists that it reads.
        self._reader_address = ''
        self._reads = 1

    async def run(self) -> None:
        """Run rounds, path checks and the token supply until cancelled."""
        await asyncio.gather(self._run_rounds(), self._watch_path(), self._supply.run())

    def answer_exchange(self, request: ExchangeRequest) -> ExchangeAnswer:
        """:returns: The coordinator's answer to a peer."""
        return self._coordinator.exchange(request)

    async def answer_close(self, request: CloseRequest) -> CloseAnswer:
        """Release the permit of a closed term.

        :param request: The closing record, and whether to wait for writes in flight.
        :returns: The confirmation.
        """
        service = request.record.service
        self._board.update_record(request.record, self._board.clock(), 'coordinator')
        if request.is_planned:
            await drain_writes(self._board, service)
        return CloseAnswer(self._board.own.instance)

    def answer_supply(self, request: SupplyRequest) -> SupplyAnswer:
        """:returns: Tokens for a peer that delegates its equal share of the limits to this instance."""
        return self._coordinator.grant_tokens(request)

    def receive_news(self, news: News) -> None:
        """Apply news of a peer: fetch a newer configuration, update the lease, and exchange at once."""
        held = self._board.configuration.version if self._board.configuration else -1
        if news.configuration_version > held:
            self._configurations.request_version(news.configuration_version, news.sender)
        if news.duty is not None:
            self._board.lease.observe(news.duty, self._board.clock(), self._board.clock())
        if news.resigned:
            self._board.lease.record_resignation(news.resigned)
        self._urgent.set()

    async def release_lease(self) -> None:
        """Release the coordinator lease at a planned stop."""
        await self._coordinator.stop()
        await self._try_before_stop('duty', self._records.release_lease())

    async def leave(self) -> None:
        """Release all permits and remove this instance's row.

        The permits go first, because promoters revoke permits only from instances that have a row.
        """
        self._board.permits.revoke_all()
        await self._try_before_stop('row', self._records.leave())

    def isolated_s(self) -> float:
        """:returns: Seconds since the table, a coordinator or most instances of other data centres last answered."""
        return self._board.clock() - max(
            self._table_answered_at, self._coordinator_answered_at, self._others_answered_at
        )

    def is_isolated(self, for_s: float = 0.0) -> bool:
        """Check whether this instance is cut off from the table, from coordinators and from most of the others.

        :param for_s: Additional time for which it must have been isolated, in seconds.
        :returns: Whether that has been so for ``_ISOLATED_ROUNDS`` exchange intervals and that time.
        """
        return self.isolated_s() > _ISOLATED_ROUNDS * self._round_s() + for_s

    def _has_path(self) -> bool:
        return self.isolated_s() <= _PATH_PROBE_ROUNDS * self._round_s()

    def _has_contact(self) -> bool:
        """:returns: Whether the table or a coordinator answered recently."""
        contact_at = max(self._table_answered_at, self._coordinator_answered_at)
        return self._board.clock() - contact_at <= _PATH_PROBE_ROUNDS * self._round_s()

    def _round_s(self) -> float:
        return exchange_interval_s(self._board.member_count())

    async def _try_before_stop(self, what: str, step: Awaitable[None]) -> None:
        try:
            await step
        except TableError as error:
            log_event('leave_failed', what=what, detail=str(error))

    async def _run_rounds(self) -> None:
        while True:
            began_at = self._board.clock()
            try:
                await self._run_round()
            except (TableError, DutyLost) as error:
                pause_s = retry_interval_s(self._board.member_count())
                self._table_retry_at = began_at + random.uniform(pause_s / 2, 2 * pause_s)  # noqa: S311
                self._log_contact_lost(type(error).__name__, str(error))
            await self._pause(began_at)

    async def _pause(self, began_at: Instant) -> None:
        """Wait for the next round, or for a shorter time when news arrives."""
        lease = self._board.lease
        period_s = RENEW_INTERVAL_S if lease.is_own() else self._round_s()
        until = began_at + period_s
        if not lease.is_settled() and began_at < lease.settles_at():
            until = min(until, lease.settles_at())
        left_s = until - self._board.clock()
        try:
            await asyncio.wait_for(self._urgent.wait(), max(left_s, _MIN_PAUSE_S))
        except TimeoutError:
            return
        self._urgent.clear()
        await asyncio.sleep(
            max(min(began_at + urgent_interval_s(self._board.member_count()) - self._board.clock(), left_s), 0)
        )

    async def _run_round(self) -> None:
        board = self._board
        lease = board.lease
        if not self._is_registered:
            await self._records.read()
            await self._records.register()
            self._is_registered = True
            await self._records.read()
        if lease.is_own() and not lease.has_resigned() and lease.is_settled():
            await self._coordinate()
            return
        if lease.holds(board.clock()) and not board.is_stopping:
            # The table has begun a new era, which the holder settles from what it knows.
            await self._acquire_lease()
            return
        if await self._exchange_with_coordinator():
            return
        if board.clock() < self._table_retry_at:
            return
        if board.permits.records() and board.permits.oldest_age_s(board.clock()) > _REREGISTER_AFTER_S:
            await self._records.register()
        await self._records.read()
        self._table_answered_at = board.clock()
        if (board.own.instance, board.own.incarnation) not in board.listed:
            await self._records.register()
            await self._records.read()
        if board.lease.may_take_over(board.clock()) and not board.is_stopping:
            await asyncio.sleep(random.uniform(0, _ACQUIRE_JITTER_S))  # noqa: S311 -- spreads calls, no secret
            await self._acquire_lease()

    async def _exchange_with_coordinator(self) -> bool:
        """:returns: Whether the coordinator answered and its confirmations are recent."""
        board = self._board
        record = board.lease.record
        if record is None or not record.instance or board.lease.is_own():
            return False
        left_s = board.lease.takeover_at() - board.clock()
        if self._has_lost_contact and left_s < PEER_TIMEOUT_S:
            # The request might outlast the lease. When the lease ends, the table shows whether it was renewed.
            await asyncio.sleep(max(left_s, 0))
            return False
        return (
            await self._exchange(record.address) is True
            and board.permits.oldest_age_s(board.clock()) < _STALE_CONFIRMATIONS_S
        )

    async def _coordinate(self) -> None:
        try:
            await self._coordinator.run_round()
            self._table_answered_at = self._board.clock()
        except EraChanged:
            self._urgent.set()
            raise
        except TableError:
            await self._consider_resigning()
            raise
        finally:
            if self._board.lease.holds(self._board.clock()):
                self._supply.grant_to_self()

    async def _consider_resigning(self) -> None:
        """Resign as coordinator and inform the peers, if the table has not answered this instance for long enough."""
        if not self._board.lease.resign(self._board.clock()):
            return
        log_event('duty_resigned', token=self._board.lease.token)
        # Another instance may take the lease over as soon as it hears of this.
        await self._coordinator.stop()
        for member in self._others():
            self._news.send(member.address, News(resigned=self._board.lease.token))

    async def _watch_path(self) -> None:
        """Probe other peers while neither the table nor a coordinator answers."""
        while True:
            await asyncio.sleep(self._round_s() * _PATH_CHECK_SHARE)
            if not self._has_contact():
                await asyncio.gather(*(self._probe_peer(member) for member in self._peers_to_probe()))

    async def _acquire_lease(self) -> None:
        if not await self._records.acquire_lease():
            return
        await self._records.read()
        news = News(duty=self._board.lease.record)
        for member in self._others():
            self._news.send(member.address, news)
        await self._coordinator.run_round()

    def _peers_to_probe(self) -> list[MemberRecord]:
        """:returns: The next instances in turn, preferably of other data centres; they may know the coordinator."""
        others = [member for member in self._others() if member.address not in self._exchanging]
        far = [member for member in others if member.data_centre != self._board.own.data_centre] or others
        return self._probe_rotation.choose(far, _PARALLEL_PROBES)

    async def _probe_peer(self, member: MemberRecord) -> None:
        """Exchange with an instance; if most answer, the path of this one is not what is broken."""
        began_at = self._board.clock()
        is_answered = await self._exchange(member.address, is_probe=True) is not None
        now = self._board.clock()
        self._reach.record(now, is_answered=is_answered)
        if is_answered and self._reach.has_majority(now):
            self._others_answered_at = max(self._others_answered_at, began_at)

    def _others(self) -> list[MemberRecord]:
        own = self._board.own.instance
        return [member for member in self._board.members_by_id.values() if member.instance != own]

    async def _exchange(self, address: str, *, is_probe: bool = False) -> bool | None:
        """:returns: Whether the coordinator answered; nothing if there was no answer."""
        began_at = self._board.clock()
        token_request = None if is_probe else self._supply.delegate_share(address, began_at)
        request = self._request(address, token_request)
        known = self._board.permits.records() if request.records is not None else ()
        self._exchanging.add(address)
        try:
            answer = await self._peers.exchange(address, request)
        except PeerError as error:
            self._supply.record_failure(address, token_request, error)
            self._log_contact_lost('coordinator', str(error))
            return None
        finally:
            self._exchanging.discard(address)
        self._supply.record_answer(address)
        if answer.supply is not None:
            # A former coordinator still grants tokens from the shares that were delegated to it.
            self._supply.receive_answer(answer.supply, began_at)
        if answer.duty is not None:
            self._board.lease.observe(answer.duty, self._board.clock(), self._board.clock())
        if not answer.is_coordinator:
            return False
        self._reader_address, self._reads = address, answer.reads
        # A coordinator of the same data centre with an overdue renewal may be cut off together with this instance.
        overdue_s = max(answer.path_age_s - RENEW_INTERVAL_S, 0)
        self._coordinator_answered_at = max(self._coordinator_answered_at, began_at - overdue_s)
        if self._has_lost_contact:
            self._has_lost_contact = False
            log_event('coordinator_regained', address=address)
        if answer.records_since is not None and answer.records_since == request.records:
            # The records that it does not repeat are those that the digest stood for, not those known by now.
            newest = {record.service: record for record in (*known, *answer.records)}
            answer = msgspec.structs.replace(answer, records=tuple(newest.values()))
        self._apply_answer(answer, address, began_at)
        return True

    def _request(self, address: str, token_request: SupplyRequest | None) -> ExchangeRequest:
        board = self._board
        board.record_targets()
        reads = self._reads if address == self._reader_address else 1
        own = board.own
        observations: dict[str, tuple[TargetId, float | None, bool, bool, bool]] = {}
        for record in board.permits.records():
            target = board.targets_by_id.get(record.target)
            if target is not None and record.state is LeaderState.LEADING and has_observed(board, target):
                observation = observe(board, target)
                if observation.failing_s is not None or observation.has_answered:
                    observations[record.service] = (target.target, *dataclasses.astuple(observation))
        return ExchangeRequest(
            own.member_record(),
            board.configuration.version if board.configuration else -1,
            board.targets_history.digest_for(reads),
            observations,
            board.members_history.digest_for(reads),
            token_request,
            *self._needed_records(),
        )

    def _needed_records(self) -> tuple[str | None, tuple[ServiceId, ...] | None]:
        """:returns: Digest of the leader records and the services whose positions are needed; nothing for all."""
        board = self._board
        if len(board.permits) < MANY_RECORDS:
            return None, None
        return board.permits.digest(), board.samples.needed_since(board.clock() - _POSITION_NEED_S)

    def _apply_answer(self, answer: ExchangeAnswer, address: str, began_at: Instant) -> None:
        """Apply an answer of the coordinator; ages count from the time of the request, so none is underestimated."""
        board = self._board
        confirmed_at = began_at - answer.record_age_s if answer.is_listed else float('-inf')
        for record in answer.records:
            board.update_record(record, confirmed_at, 'coordinator')
        if answer.members is not None:
            self._apply_member_changes(answer.members)
        held = board.configuration.version if board.configuration is not None else -1
        if answer.configuration_version > held:
            self._configurations.request_version(answer.configuration_version, fallback_peer=address)
        elif answer.configuration_version < held:
            self._news.send(address, News(held, board.own.peer_address))
        if answer.targets is not None:
            self._targets.adopt(answer.targets)
        self._apply_readings(answer, began_at)
        for service, sample in answer.samples.items():
            position = LogPosition(Term(sample.position_term), sample.number)
            known = board.permits.record(ServiceId(service))
            if known is not None and known.term == sample.term:
                board.samples.record(known.service, known.term, Sample(began_at - sample.age_s, position))

    def _apply_readings(self, answer: ExchangeAnswer, began_at: Instant) -> None:
        """Apply what the coordinator has read of the feeds, and rely on that while it is recent."""
        if answer.evacuated is not None:
            feed_age_s, ages_s = answer.evacuated
            self._configurations.adopt_evacuations(
                {name: began_at - age_s for name, age_s in ages_s.items()}, began_at - feed_age_s
            )
        read_at = began_at - answer.feed_age_s
        self._board.record_operators_reading(read_at)
        self._board.rely_on_coordinator(read_at, began_at + contact_timeout_s(self._board.member_count()))

    def _apply_member_changes(self, changes: Difference[MemberRecord]) -> None:
        known = {} if changes.is_whole else dict(self._board.members_by_id)
        for member in changes.changed:
            known[member.instance] = member
        for name in changes.removed:
            known.pop(InstanceId(name), None)
        self._records.replace_members(known.values())

    def _log_contact_lost(self, what: str, detail: str) -> None:
        if not self._has_lost_contact:
            self._has_lost_contact = True
            log_event('contact_lost', what=what, detail=detail)
