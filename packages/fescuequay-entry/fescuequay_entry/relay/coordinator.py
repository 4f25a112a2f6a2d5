"""The coordinator: renews its lease, probes primaries, divides rate limits and replaces primaries."""

import asyncio
import math
from collections.abc import Coroutine, Iterable, Iterator, Mapping
from typing import Any, Final, TypeAlias

from fescuequay_core.relay import formats, settlement
from fescuequay_core.relay.failure_detector import Observation, PeerReport, PrimaryStatus, evaluate
from fescuequay_core.relay.freshness import Sample
from fescuequay_core.relay.intervals import contact_timeout_s, exchange_interval_s
from fescuequay_core.relay.lease import RENEW_INTERVAL_S
from fescuequay_core.relay.model import LeaderRecord, TargetDescription, TargetReport
from fescuequay_core.relay.tokenpool import TokenPool, TokenRequest
from fescuequay_core.types import InstanceId, Instant, LeaderState, OrganisationId, Role, ServiceId, TargetId, Term
from fescuequay_entry.relay.authority import LeaseAuthority
from fescuequay_entry.relay.board import OPERATOR_FEED, Board, log_event
from fescuequay_entry.relay.control_connections import ControlConnections
from fescuequay_entry.relay.followers import FEED_COUNT
from fescuequay_entry.relay.messages import (
    MANY_RECORDS,
    ExchangeAnswer,
    ExchangeRequest,
    PositionSample,
    SupplyAnswer,
    SupplyRequest,
)
from fescuequay_entry.relay.ports import TableError
from fescuequay_entry.relay.records import DutyLost, Records
from fescuequay_entry.relay.replacement import Replacement

#: Interval between the coordinator's reads of the whole table, in seconds. Instances rarely come and go.
_TABLE_READ_INTERVAL_S: Final = 3.0

#: Interval between two confirmations of many leader records, in seconds; answers in between are older by that.
_CONFIRM_INTERVAL_S: Final = 0.02

#: Time without a request after which an instance is marked as leaving, in seconds: it gets no more permits until it
#: registers again, so no promoter waits for it. Registering again costs three table calls, so short silences are
#: tolerated.
_MARK_LEAVING_AFTER_S: Final = 7.0

#: Time without a request after which an instance's row is removed and its share of the limits is divided among the
#: others, in seconds. Until then the share stays reserved.
_REMOVE_AFTER_S: Final = 12.0

#: Number of exchange intervals after which another instance's observation is ignored.
_OBSERVATION_MAX_AGE_ROUNDS: Final = 4.5

#: Maximum age of a position seen in traffic that makes a probe unnecessary, in seconds. Reads accept 1.5 s and more.
_FRESH_POSITION_S: Final = 0.4

#: Fraction of the renewal interval after which a renewal is due. Waiting for the next round would make it late.
_RENEWAL_DUE_SHARE: Final = 0.9

#: Age reported for feeds that were never read, in seconds, since JSON cannot represent infinity.
_NEVER_READ_AGE_S: Final = 1e6

_MS_PER_S: Final = 1000

#: Decimal places of ages in seconds that no guarantee depends on (milliseconds).
_AGE_DIGITS: Final = 3

#: Maximum age of an answer that shows that a target is reachable, in seconds.
RECENT_ANSWER_S: Final = 1.0

#: Time for which a service may have no primary at its first start before one is chosen, in seconds.
_NO_PRIMARY_TIMEOUT_S: Final = 2.0

#: Time after a replacement during which a primary is kept although some instances cannot reach it, in seconds. Each
#: change blocks writes for the length of a promotion, so moving the primary back and forth helps nobody.
_PARTITION_COOLDOWN_S: Final = 8.0

#: Time after a replacement during which roles from the registry may be outdated and are ignored, in seconds.
_REGISTRY_LAG_S: Final = 1.0

#: When a report about a primary arrived, and what it says, as in ``ExchangeRequest.observations``.
_Report: TypeAlias = tuple[Instant, tuple[TargetId, float | None, bool, bool, bool]]


class Coordinator:
    """Coordinates all instances while this one holds the coordinator lease.

    :param board: The blackboard.
    :param records: Access to the system's rows in the table.
    :param controls: Control connections to targets.
    :param replacement: Replaces primaries.
    """

    def __init__(self, board: Board, records: Records, controls: ControlConnections, replacement: Replacement) -> None:
        self._board = board
        self._records = records
        self._controls = controls
        self._replacement = replacement
        self._began_at = board.clock()
        self._token_pool = TokenPool(board.clock(), board.tolerance)
        self._observations: dict[InstanceId, tuple[Instant, ExchangeRequest]] = {}
        self._reports_by_service: dict[str, list[_Report]] = {}
        self._replacements_by_service: dict[ServiceId, asyncio.Task[None]] = {}
        self._roles_ignored_until: dict[ServiceId, Instant] = {}
        self._cooldown_until: dict[ServiceId, Instant] = {}
        self._evacuation_tried_at: dict[ServiceId, Instant] = {}
        self._no_primary_since: dict[ServiceId, Instant] = {}
        self._probed_targets: set[TargetId] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._renewed_at: Instant = float('-inf')
        self._table_read_at: Instant = float('-inf')
        self._lease_token = -1
        self._confirmed_at: Instant = float('-inf')

    async def run_round(self) -> None:
        """Renew the lease, read the table and check every service, as each falls due.

        :raises TableError: The table did not answer.
        :raises DutyLost: Another instance has taken the lease.
        """
        board = self._board
        now = board.clock()
        record = board.lease.record
        if record is not None and record.token != self._lease_token:
            await self._begin_lease(record.token, now)
        if now - self._renewed_at >= RENEW_INTERVAL_S * _RENEWAL_DUE_SHARE:
            self._renewed_at = now
            await self._records.renew()
        if now - self._table_read_at >= _TABLE_READ_INTERVAL_S:
            self._table_read_at = now
            await self._records.read()
            await self._remove_silent_members()
            await self._records.remove_leftovers()
        if board.lease.holds(board.clock()):
            self._reports_by_service = self._index_reports()
            for service in self._services():
                self._check_service(service)

    def exchange(self, request: ExchangeRequest) -> ExchangeAnswer:
        """Answer the exchange request of an instance.

        :param request: The request, with the instance's observations.
        :returns: What has changed for the instance, and its tokens.
        """
        board = self._board
        now = board.clock()
        if not board.lease.holds(now):
            # Instances that reach no coordinator delegate their equal shares to one of them, the fallback supplier.
            return ExchangeAnswer(
                is_coordinator=False,
                duty=board.lease.record,
                supply=self.grant_tokens(request.supply) if request.supply else None,
            )
        member = request.member
        if board.members_by_id.get(member.instance) != member:
            board.set_members({**board.members_by_id, member.instance: member})
        self._observations[member.instance] = (now, request)
        is_listed = (member.instance, member.incarnation) in board.listed
        self.confirm_records(now)
        record_age_s = board.permits.oldest_age_s(now) if board.permits.records() else 0.0
        if is_listed:
            board.confirmations.record_sent(member.instance, now - record_age_s)
        else:
            self._table_read_at = float('-inf')
        board.record_targets()
        records, records_since = self._records_since(request.records)
        return ExchangeAnswer(
            is_coordinator=True,
            duty=board.lease.record,
            is_listed=is_listed,
            records=records,
            records_since=records_since,
            record_age_s=_rounded_up_age_s(record_age_s),
            members=board.members_history.since(request.members),
            supply=self.grant_tokens(request.supply) if request.supply else None,
            samples=dict(
                self._position_samples(now, self._services() if request.positions is None else request.positions)
            ),
            configuration_version=board.configuration.version if board.configuration else -1,
            targets=board.targets_history.since(request.targets),
            evacuated=self._evacuated(now),
            feed_age_s=_rounded_age_s(self._feed_age_s(now)),
            path_age_s=_rounded_age_s(board.lease.renewal_age_s(now)),
            reads=formats.READS,
        )

    def confirm_records(self, now: Instant) -> None:
        """Confirm that the leader records are the newest, as far as the lease guarantees it.

        Many records are confirmed once for all answers within a moment, which give the age of that.

        :param now: Present time.
        """
        pause_s = _CONFIRM_INTERVAL_S if len(self._board.permits) >= MANY_RECORDS else 0.0
        if now >= self._confirmed_at + pause_s:
            self._confirmed_at = now
            self._board.permits.confirm(self._board.permits.records(), self._records.confirmed_at(now))

    def grant_tokens(self, request: SupplyRequest) -> SupplyAnswer:
        """Grant tokens to an instance that delegates its equal share to this one, coordinator or fallback supplier.

        :param request: The requested, awaited and held tokens.
        :returns: The granted tokens.
        """
        now = self._board.clock()
        if not self._token_pool.accept_request(request.instance, request.incarnation, request.number, now):
            return SupplyAnswer()
        token_request = TokenRequest(
            _by_organisation(request.wanted), _by_organisation(request.waiting), _by_organisation(request.held)
        )
        granted = self._grant(request.instance, token_request, now)
        if request.is_release:
            self._token_pool.release(request.instance, request.incarnation, request.number)
        return SupplyAnswer(granted)

    def grant_own_tokens(self, now: Instant) -> None:
        """Grant this instance the tokens that it needs from the shares that were delegated to it."""
        buckets = self._board.buckets
        buckets.record_contact(now + contact_timeout_s(self._board.member_count()))
        self._token_pool.record_contact(self._board.own.instance, now)
        token_request = TokenRequest(buckets.update_requests(now), buckets.waiting(), buckets.held(now))
        for organisation, (tokens, next_token_s) in self._grant(self._board.own.instance, token_request, now).items():
            buckets.receive(OrganisationId(organisation), tokens, next_token_s, now)
        buckets.extend_stocks(now)
        self._board.changes.on_next('tokens')

    async def stop(self) -> None:
        """Cancel the replacements in progress; the next coordinator continues them.

        When this returns, their calls have been given up for good, so that the lease may go to another instance.
        """
        replacements = set(self._replacements_by_service.values())
        self._replacements_by_service.clear()
        for task in replacements:
            task.cancel()
        if replacements:
            await asyncio.wait(replacements)

    async def _begin_lease(self, token: int, now: Instant) -> None:
        self._lease_token = token
        self._began_at = now
        # Taking the lease over required an unchanged row, so the previous holder had not renewed it since.
        self._board.confirmations.begin(min(now, self._records.previous_lease_until))
        self._observations.clear()
        self._confirmed_at = float('-inf')
        self._table_read_at = float('-inf')
        self._renewed_at = float('-inf')
        await self.stop()

    def _grant(self, instance: InstanceId, token_request: TokenRequest, now: Instant) -> dict[str, tuple[int, float]]:
        configuration = self._board.configuration
        if configuration is None:
            return {}
        granted = self._token_pool.grant(
            instance, token_request, configuration.organisations_by_id, self._board.member_count(), now
        )
        return {str(name): tokens for name, tokens in granted.items()}

    def _feed_age_s(self, now: Instant) -> float:
        answered_at = self._board.feed_answered_at
        return now - min(answered_at.values()) if len(answered_at) == FEED_COUNT else _NEVER_READ_AGE_S

    def _evacuated(self, now: Instant) -> tuple[float, dict[str, float]] | None:
        """:returns: Age of the operators' feed, and of each evacuation; nothing if the feed is not recent."""
        age_s = now - self._board.feed_answered_at.get(OPERATOR_FEED, float('-inf'))
        if not self._board.evacuations.is_known or age_s >= self._board.feed_timing.max_age_s:
            return None
        return _rounded_age_s(age_s), self._board.evacuations.ages_s(now)

    def _records_since(self, digest: str | None) -> tuple[tuple[LeaderRecord, ...], str | None]:
        """:returns: The records that an instance does not know, and the digest of its own; or all, and nothing."""
        permits = self._board.permits
        changed = None if digest is None else permits.since(digest)
        return (permits.records(), None) if changed is None else (changed, digest)

    def _position_samples(self, now: Instant, services: Iterable[ServiceId]) -> Iterator[tuple[str, PositionSample]]:
        for service in services:
            newest = self._board.samples.newest(service)
            if newest is not None:
                term, sample = newest
                yield (
                    service,
                    PositionSample(
                        term, sample.position.term, sample.position.number, _rounded_up_age_s(now - sample.at)
                    ),
                )

    def _services(self) -> tuple[ServiceId, ...]:
        configuration = self._board.configuration
        return tuple(ServiceId(name) for name in configuration.services_by_id) if configuration else ()

    async def _remove_silent_members(self) -> None:
        members = self._board.members_by_id
        silent = [
            instance
            for instance in self._silent_members(_MARK_LEAVING_AFTER_S)
            if (instance, members[instance].incarnation) in self._board.listed
        ]
        if silent:
            log_event('members_silent', instances=','.join(silent))
            await self._records.mark_leaving(silent)
        ended = self._records.members_without_permits()
        gone = [instance for instance in self._silent_members(_REMOVE_AFTER_S) if instance in ended]
        if gone:
            log_event('members_removed', instances=','.join(gone))
            await self._records.remove_members(gone)
            self._records.replace_members([m for m in members.values() if m.instance not in gone])

    def _silent_members(self, silent_s: float) -> Iterator[InstanceId]:
        """:returns: Other instances that have sent no request for at least ``silent_s``."""
        oldest = self._board.clock() - silent_s
        if self._began_at >= oldest:
            return
        for instance in self._board.members_by_id:
            received_at, _ = self._observations.get(instance, (float('-inf'), None))
            if instance != self._board.own.instance and received_at < oldest:
                yield instance

    def _check_service(self, service: ServiceId) -> None:
        """Replace a service's primary if it has to go, or check whether it is usable."""
        task = self._replacements_by_service.get(service)
        if task is not None and not task.done():
            return
        record = self._board.permits.record(service)
        if record is None:
            self._spawn(self._write_first_record(service))
            return
        if not self._board.lease.is_present(record.version):
            self._start_replacement(record, settlement.ERA_CAUSE, is_planned=False)
            return
        if record.state is LeaderState.CLOSING:
            self._start_replacement(record, record.cause or 'taken over', is_planned=False)
            return
        target = self._board.targets_by_id.get(record.target)
        if target is None or target.is_draining:
            if self._board.has_targets and any(True for _ in self._board.targets_of(service)):
                self._start_replacement(record, 'draining' if target else 'gone', is_planned=True)
        elif self._should_move_out(service, target):
            self._evacuation_tried_at[service] = self._board.clock()
            self._start_replacement(record, 'evacuated', is_planned=True)
        else:
            self._check_primary(service, record, target)

    def _check_primary(self, service: ServiceId, record: LeaderRecord, target: TargetDescription) -> None:
        """Probe a primary that is meant to stay, and replace it if it is dead or cut off."""
        if target.target not in self._probed_targets and self._needs_probe(record, target):
            self._spawn(self._probe(record, target))
        status = evaluate(
            self._own_observation(target), self._recent_reports(record), exchange_interval_s(self._board.member_count())
        )
        is_cooling_down = self._board.clock() < self._cooldown_until.get(service, float('-inf'))
        if status is PrimaryStatus.DEAD or (status is PrimaryStatus.PARTITIONED and not is_cooling_down):
            self._start_replacement(record, status.value, is_planned=False)
            return
        self._demote_stale_primaries(service, record)

    def _should_move_out(self, service: ServiceId, primary: TargetDescription) -> bool:
        """:returns: Whether a primary's data centre is evacuated and a target elsewhere seems able to take over."""
        board = self._board
        tried_at = self._evacuation_tried_at.get(service, float('-inf'))
        if not board.evacuations.includes(primary.data_centre) or board.clock() < tried_at + _PARTITION_COOLDOWN_S:
            return False
        return any(
            not target.is_draining
            and not board.evacuations.includes(target.data_centre)
            and board.health_of(target).failing_since is None
            for target in board.targets_of(service)
        )

    def _start_replacement(self, record: LeaderRecord, cause: str, *, is_planned: bool) -> None:
        others = [target for target in self._board.targets_of(record.service) if target.target != record.target]
        if not others and record.state is LeaderState.LEADING and self._board.lease.is_present(record.version):
            return
        task = asyncio.ensure_future(self._run_replacement(record, cause, is_planned=is_planned))
        self._replacements_by_service[record.service] = task

    async def _run_replacement(self, record: LeaderRecord, cause: str, *, is_planned: bool) -> None:
        try:
            await self._replacement.run(record, cause, is_planned=is_planned)
        except DutyLost:
            log_event('replacement_abandoned', service=record.service, term=record.term)
        self._roles_ignored_until[record.service] = self._board.clock() + _REGISTRY_LAG_S
        self._cooldown_until[record.service] = self._board.clock() + _PARTITION_COOLDOWN_S

    def _own_observation(self, target: TargetDescription) -> Observation:
        return observe(self._board, target)

    def _index_reports(self) -> dict[str, list[_Report]]:
        """:returns: The recent reports of the other instances, by service."""
        oldest = self._board.clock() - _OBSERVATION_MAX_AGE_ROUNDS * exchange_interval_s(self._board.member_count())
        reports_by_service: dict[str, list[_Report]] = {}
        for received_at, request in self._observations.values():
            if received_at > oldest:
                for service, observation in request.observations.items():
                    reports_by_service.setdefault(service, []).append((received_at, observation))
        return reports_by_service

    def _recent_reports(self, record: LeaderRecord) -> Iterator[PeerReport]:
        now = self._board.clock()
        for received_at, observation in self._reports_by_service.get(record.service, ()):
            if observation[0] == record.target:
                yield PeerReport(Observation(*observation[1:]), now - received_at)

    def _needs_probe(self, record: LeaderRecord, target: TargetDescription) -> bool:
        """:returns: Whether this instance's own traffic has not shown recently that the primary is healthy."""
        newest = self._board.samples.newest(record.service)
        is_of_term = newest is not None and newest[0] == record.term
        is_fresh = newest is not None and is_of_term and self._board.clock() - newest[1].at < _FRESH_POSITION_S
        return not is_fresh or self._board.health_of(target).failing_since is not None

    async def _probe(self, record: LeaderRecord, target: TargetDescription) -> None:
        self._probed_targets.add(target.target)
        sent_at = self._board.clock()
        try:
            report = await self._controls.status(target)
        finally:
            self._probed_targets.discard(target.target)
        if report is None or self._board.permits.record(record.service) != record:
            return
        if report.role is Role.PRIMARY and report.term == record.term:
            if self._board.permits.was_in_force(record, sent_at):
                self._board.samples.record(record.service, record.term, Sample(sent_at, report.position))
        elif report.term >= record.term and self._board.clock() > self._roles_ignored_until.get(record.service, 0):
            log_event('primary_deposed', service=record.service, target=target.target, term=report.term)
            task = self._replacements_by_service.get(record.service)
            if task is None or task.done():
                self._start_replacement(record, 'deposed', is_planned=False)

    def _demote_stale_primaries(self, service: ServiceId, record: LeaderRecord) -> None:
        """Demote former primaries that have come back in the primary role."""
        if self._board.clock() < self._roles_ignored_until.get(service, float('-inf')):
            return
        for target in self._board.targets_of(service):
            if (
                target.target != record.target
                and target.role is Role.PRIMARY
                and target.target not in self._probed_targets
            ):
                self._roles_ignored_until[service] = self._board.clock() + _REGISTRY_LAG_S
                self._spawn(self._demote_if_stale(record, target))

    async def _demote_if_stale(self, record: LeaderRecord, target: TargetDescription) -> None:
        report = await self._controls.status(target)
        if report is None or report.role is not Role.PRIMARY:
            return
        if report.term > record.term:
            self._start_replacement(record, 'superseded', is_planned=False)
            return
        authority = LeaseAuthority(self._board, self._board.lease.token)
        await self._controls.demote(target, Term(record.term), authority)
        log_event('pretender_demoted', service=record.service, target=target.target, term=report.term)

    async def _write_first_record(self, service: ServiceId) -> None:
        """Write the first leader record of a service, from the roles that its targets report."""
        if service in self._replacements_by_service and not self._replacements_by_service[service].done():
            return
        targets = tuple(self._board.targets_of(service))
        if not targets:
            return
        reports = await asyncio.gather(*(self._controls.status(target) for target in targets))
        leading = [
            (target, report)
            for target, report in zip(targets, reports, strict=True)
            if report is not None and report.role is Role.PRIMARY
        ]
        if leading:
            target, report = max(leading, key=_term_of)
            record = LeaderRecord(service, report.term, target.target, LeaderState.LEADING, 'found')
        else:
            now = self._board.clock()
            if now - self._no_primary_since.setdefault(service, now) < _NO_PRIMARY_TIMEOUT_S:
                return
            terms = [report.term for report in reports if report is not None]
            record = LeaderRecord(service, max(terms, default=Term(0)), TargetId(''), LeaderState.CLOSING, 'none leads')
        if self._board.permits.record(service) is None:
            try:
                await self._records.write_leader(record)
            except (TableError, DutyLost) as error:
                log_event('record_write_failed', service=service, detail=str(error))

    def _spawn(self, step: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(step)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _rounded_age_s(age_s: float) -> float:
    """:returns: An age rounded to keep frequent messages short, where no guarantee depends on it."""
    return round(age_s, _AGE_DIGITS)


def _rounded_up_age_s(age_s: float) -> float:
    """:returns: An age on which a guarantee depends, rounded up to keep frequent messages short."""
    return math.ceil(age_s * _MS_PER_S) / _MS_PER_S if math.isfinite(age_s) else age_s


def _term_of(pair: tuple[TargetDescription, TargetReport]) -> Term:
    return pair[1].term


def _by_organisation(counts: Mapping[str, int]) -> dict[OrganisationId, int]:
    return {OrganisationId(name): count for name, count in counts.items()}


def observe(board: Board, target: TargetDescription) -> Observation:
    """:returns: What this instance observes of a primary."""
    health = board.health_of(target)
    now = board.clock()
    failing_s = None if health.failing_since is None else now - health.failing_since
    others = (board.health_of(other) for other in board.targets_of(target.service) if other != target)
    reaches_others = any(now - other.answered_at < RECENT_ANSWER_S for other in others)
    return Observation(failing_s, health.is_refusing, now - health.answered_at < RECENT_ANSWER_S, reaches_others)


def has_observed(board: Board, target: TargetDescription) -> bool:
    """:returns: Whether this instance has anything to report of a primary."""
    health = board.health_of(target)
    return health.failing_since is not None or board.clock() - health.answered_at < RECENT_ANSWER_S
