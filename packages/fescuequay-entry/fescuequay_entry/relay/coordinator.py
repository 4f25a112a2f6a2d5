"""The duties of one instance at a time: renews, probes primaries, divides limits, replaces primaries."""

import asyncio
from collections.abc import Coroutine, Iterator, Mapping
from typing import Any, Final

from fescuequay_core.relay.lease import RENEW_INTERVAL_S
from fescuequay_core.relay.freshness import Sample
from fescuequay_core.relay.model import LeaderRecord, TargetDescription, TargetReport
from fescuequay_core.relay.intervals import contact_timeout_s, exchange_interval_s
from fescuequay_core.relay.failure_detector import PrimaryStatus, Observation, PeerReport, evaluate
from fescuequay_core.relay.tokenpool import TokenPool, TokenRequest
from fescuequay_core.types import InstanceId, Instant, LeaderState, OrganisationId, Role, ServiceId, TargetId, Term
from fescuequay_entry.relay.board import Board, log_event
from fescuequay_entry.relay.control_connections import ControlConnections
from fescuequay_entry.relay.followers import FEED_COUNT
from fescuequay_entry.relay.messages import (
    ExchangeAnswer,
    ExchangeRequest,
    PositionSample,
    SupplyAnswer,
    SupplyRequest,
)
from fescuequay_entry.relay.ports import TableError
from fescuequay_entry.relay.records import DutyLost, Records
from fescuequay_entry.relay.replacement import Replacement

#: Time between two reads of the whole table by the coordinator, in seconds; instances rarely come and go.
_TABLE_READ_INTERVAL_S: Final = 3.0

#: Time without a request after which an instance gets no more permits until it registers again, so that no
#: promoter waits for it, in seconds. Each return costs three calls of the table, so short silences are let pass.
_MARK_LEAVING_AFTER_S: Final = 7.0

#: Time without a request after which an instance's row is removed and its part of the limits shared out, in
#: seconds; until then its part of the limits is kept for it.
_REMOVE_AFTER_S: Final = 12.0

#: Exchanges for which another instance's observation counts.
_OBSERVATION_MAX_AGE_ROUNDS: Final = 4.5

#: Age up to which a position from traffic makes a probe needless, in seconds; reads accept 1.5 s and more.
_FRESH_POSITION_S: Final = 0.4

#: Share of the time between renewals from which one is due; the next look would come too late.
_RENEWAL_DUE_SHARE: Final = 0.9

#: Age that is told of feeds that were never read, in seconds; JSON has no infinity.
_NEVER_READ_AGE_S: Final = 1e6

#: Digits of ages in seconds that are told for orientation: milliseconds.
_AGE_DIGITS: Final = 3

#: Time within which an answer shows that a primary is reached, in seconds.
RECENT_ANSWER_S: Final = 1.0

#: Time for which a service may be without any primary before one is chosen, in seconds, at the first start.
_NO_PRIMARY_TIMEOUT_S: Final = 2.0

#: Time after a replacement for which a primary that some instances do not reach is kept, in seconds: each change stops
#: writes for a promotion, and moving the primary to and fro serves nobody.
_CUT_COOLDOWN_S: Final = 8.0

#: Time after a replacement during which the registry's older word about roles is not acted on, in seconds.
_REGISTRY_LAG_S: Final = 1.0


class Coordinator:
    """Acts while this instance holds the duty; collaborates with ``Replacement`` and ``TokenPool``.

    :param board: The blackboard.
    :param records: The system's rows.
    :param controls: Connections to targets.
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
        self._replacements_by_service: dict[ServiceId, asyncio.Task[None]] = {}
        self._roles_ignored_until: dict[ServiceId, Instant] = {}
        self._cooldown_until: dict[ServiceId, Instant] = {}
        self._no_primary_since: dict[ServiceId, Instant] = {}
        self._probed_targets: set[TargetId] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._renewed_at: Instant = float('-inf')
        self._table_read_at: Instant = float('-inf')
        self._lease_token = -1

    async def run_round(self) -> None:
        """Do what is due. :raises TableError: The table did not answer. :raises DutyLost: It was taken."""
        board = self._board
        now = board.clock()
        record = board.lease.record
        if record is not None and record.token != self._lease_token:
            self._begin_lease(record.token, now)
        if now - self._renewed_at >= RENEW_INTERVAL_S * _RENEWAL_DUE_SHARE:
            self._renewed_at = now
            await self._records.renew()
        if now - self._table_read_at >= _TABLE_READ_INTERVAL_S:
            self._table_read_at = now
            await self._records.read()
            await self._remove_silent_members()
        if board.lease.holds(board.clock()):
            for service in self._services():
                self._check_service(service)

    def exchange(self, request: ExchangeRequest) -> ExchangeAnswer:
        """Answer an instance.

        :param request: What it says.
        :returns: What it needs to know.
        """
        board = self._board
        now = board.clock()
        if not board.lease.holds(now):
            # Instances that reach no coordinator pool their even parts at one of them.
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
        board.targets_history.note(board.targets_by_id)
        return ExchangeAnswer(
            is_coordinator=True,
            duty=board.lease.record,
            is_listed=is_listed,
            records=board.permits.records(),
            record_age_s=record_age_s,
            members=board.members_history.since(request.members),
            supply=self.grant_tokens(request.supply) if request.supply else None,
            samples=dict(self._position_samples(now)),
            configuration_version=board.configuration.version if board.configuration else -1,
            targets=board.targets_history.since(request.targets),
            feed_age_s=_rounded_age_s(
                now - min(board.feed_answered_at.values())
                if len(board.feed_answered_at) == FEED_COUNT
                else _NEVER_READ_AGE_S
            ),
            path_age_s=_rounded_age_s(board.lease.renewal_age_s(now)),
        )

    def confirm_records(self, now: Instant) -> None:
        """Confirm the records by the lease.

        :param now: Present time.
        """
        self._board.permits.confirm(self._board.permits.records(), self._records.confirmed_at(now))

    def grant_tokens(self, request: SupplyRequest) -> SupplyAnswer:
        """Give tokens to an instance that leaves its even part to this one, as coordinator or in its place.

        :param request: Its token_request.
        :returns: The tokens.
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
        """Give this instance the tokens that it needs, from the parts that were left to it."""
        buckets = self._board.buckets
        buckets.record_contact(now + contact_timeout_s(self._board.member_count()))
        self._token_pool.record_contact(self._board.own.instance, now)
        token_request = TokenRequest(buckets.update_requests(now), buckets.waiting(), buckets.held(now))
        for organisation, (tokens, next_token_s) in self._grant(self._board.own.instance, token_request, now).items():
            buckets.receive(OrganisationId(organisation), tokens, next_token_s, now)
        buckets.extend_stocks(now)
        self._board.changes.on_next('tokens')

    def stop(self) -> None:
        """Abandon what is under way; another coordinator goes on with it."""
        for task in self._replacements_by_service.values():
            task.cancel()
        self._replacements_by_service.clear()

    def _begin_lease(self, token: int, now: Instant) -> None:
        self._lease_token = token
        self._began_at = now
        # The row was as it had last been observation when it was taken over, so it had not been renewed since.
        self._board.confirmations.begin(min(now, self._records.previous_lease_until))
        self._observations.clear()
        self._table_read_at = float('-inf')
        self._renewed_at = float('-inf')
        self.stop()

    def _grant(self, instance: InstanceId, token_request: TokenRequest, now: Instant) -> dict[str, tuple[int, float]]:
        configuration = self._board.configuration
        if configuration is None:
            return {}
        granted = self._token_pool.grant(
            instance, token_request, configuration.organisations_by_id, self._board.member_count(), now
        )
        return {str(name): tokens for name, tokens in granted.items()}

    def _position_samples(self, now: Instant) -> Iterator[tuple[str, PositionSample]]:
        for service in self._services():
            newest = self._board.samples.newest(service)
            if newest is not None:
                term, sample = newest
                yield service, PositionSample(term, sample.position.term, sample.position.number, now - sample.at)

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
        """:returns: Other instances that have sent no request for a while."""
        oldest = self._board.clock() - silent_s
        if self._began_at >= oldest:
            return
        for instance in self._board.members_by_id:
            heard_at, _ = self._observations.get(instance, (float('-inf'), None))
            if instance != self._board.own.instance and heard_at < oldest:
                yield instance

    def _check_service(self, service: ServiceId) -> None:
        """Probe a service's primary and start its replacement where the observations call for it."""
        task = self._replacements_by_service.get(service)
        if task is not None and not task.done():
            return
        record = self._board.permits.record(service)
        if record is None:
            self._spawn(self._write_first_record(service))
            return
        if record.state is LeaderState.CLOSING:
            self._start_replacement(record, record.cause or 'taken over', is_planned=False)
            return
        target = self._board.targets_by_id.get(record.target)
        if target is None or target.is_draining:
            if self._board.has_targets and any(True for _ in self._board.targets_of(service)):
                self._start_replacement(record, 'draining' if target else 'gone', is_planned=True)
            return
        if target.target not in self._probed_targets and self._needs_probe(record, target):
            self._spawn(self._probe(record, target))
        finding = evaluate(
            self._own_observation(target), self._recent_reports(record), exchange_interval_s(self._board.member_count())
        )
        is_recent = self._board.clock() < self._cooldown_until.get(service, float('-inf'))
        if finding is PrimaryStatus.DEAD or (finding is PrimaryStatus.PARTITIONED and not is_recent):
            self._start_replacement(record, finding.value, is_planned=False)
            return
        self._demote_stale_primaries(service, record)

    def _start_replacement(self, record: LeaderRecord, cause: str, *, is_planned: bool) -> None:
        others = [target for target in self._board.targets_of(record.service) if target.target != record.target]
        if not others and record.state is LeaderState.LEADING:
            return
        task = asyncio.ensure_future(self._run_replacement(record, cause, is_planned=is_planned))
        self._replacements_by_service[record.service] = task

    async def _run_replacement(self, record: LeaderRecord, cause: str, *, is_planned: bool) -> None:
        try:
            await self._replacement.run(record, cause, is_planned=is_planned)
        except DutyLost:
            log_event('replacement_abandoned', service=record.service, term=record.term)
        self._roles_ignored_until[record.service] = self._board.clock() + _REGISTRY_LAG_S
        self._cooldown_until[record.service] = self._board.clock() + _CUT_COOLDOWN_S

    def _own_observation(self, target: TargetDescription) -> Observation:
        return observe(self._board, target)

    def _recent_reports(self, record: LeaderRecord) -> Iterator[PeerReport]:
        now = self._board.clock()
        oldest = now - _OBSERVATION_MAX_AGE_ROUNDS * exchange_interval_s(self._board.member_count())
        for heard_at, request in self._observations.values():
            observation = request.observations.get(record.service)
            if observation is not None and observation[0] == record.target and heard_at > oldest:
                yield PeerReport(Observation(*observation[1:]), now - heard_at)

    def _needs_probe(self, record: LeaderRecord, target: TargetDescription) -> bool:
        """:returns: Whether this instance's own traffic does not show lately enough how the primary is."""
        newest = self._board.samples.newest(record.service)
        is_fresh = newest is not None and self._board.clock() - newest[1].at < _FRESH_POSITION_S
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
            if self._board.permits.leader(record.service, sent_at) is not None:
                self._board.samples.note(record.service, record.term, Sample(sent_at, report.position))
        elif report.term >= record.term and self._board.clock() > self._roles_ignored_until.get(record.service, 0):
            log_event('primary_deposed', service=record.service, target=target.target, term=report.term)
            task = self._replacements_by_service.get(record.service)
            if task is None or task.done():
                self._start_replacement(record, 'deposed', is_planned=False)

    def _demote_stale_primaries(self, service: ServiceId, record: LeaderRecord) -> None:
        """Demote an earlier primary that came back and still believes that it leads."""
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
        await self._controls.demote(target, Term(record.term))
        log_event('pretender_demoted', service=record.service, target=target.target, term=report.term)

    async def _write_first_record(self, service: ServiceId) -> None:
        """Write the first record of a service from what its targets say."""
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
    """:returns: An age in as many digits as matter where no promise rests on it; every instance is told it often."""
    return round(age_s, _AGE_DIGITS)


def _term_of(pair: tuple[TargetDescription, TargetReport]) -> Term:
    return pair[1].term


def _by_organisation(counts: Mapping[str, int]) -> dict[OrganisationId, int]:
    return {OrganisationId(name): count for name, count in counts.items()}


def observe(board: Board, target: TargetDescription) -> Observation:
    """:returns: What this instance sees of a primary."""
    health = board.health_of(target)
    now = board.clock()
    failing_s = None if health.failing_since is None else now - health.failing_since
    others = (board.health_of(other) for other in board.targets_of(target.service) if other != target)
    reaches_others = any(now - other.answered_at < RECENT_ANSWER_S for other in others)
    return Observation(failing_s, health.is_refusing, now - health.answered_at < RECENT_ANSWER_S, reaches_others)
