"""Replaces the primary of a service: close the term, revoke permits, demote, choose, promote, publish."""

import asyncio
import dataclasses
from typing import Final

from fescuequay_core.relay import candidates, settlement
from fescuequay_core.relay.model import (
    LeaderRecord,
    LogPosition,
    MemberRecord,
    TargetDescription,
    TargetReport,
)
from fescuequay_core.relay.permits import PERMIT_MARGIN_S, PERMIT_S
from fescuequay_core.types import Instant, LeaderState, Role, ServiceId, TargetId, Term
from fescuequay_entry.relay.authority import LeaseAuthority
from fescuequay_entry.relay.board import Board, log_event
from fescuequay_entry.relay.control_connections import ControlConnections
from fescuequay_entry.relay.messages import CloseRequest, News
from fescuequay_entry.relay.ports import PEER_TIMEOUT_S, PeerError, Peers, Promoter, PromoteResult, TableError
from fescuequay_entry.relay.records import DutyLost, Records

#: Maximum wait of a planned change for writes in flight, in seconds. Longer than any usual statement takes.
DRAIN_WRITES_TIMEOUT_S: Final = 0.25

#: Maximum wait for the demotion of the old primary once no instance may use it, in seconds. It saves the last commits,
#: so it is worth a wait, but only a short one if the primary has been silent.
_DEMOTION_TIMEOUT_S: Final = 1.0
_SILENT_DEMOTION_TIMEOUT_S: Final = 0.05

#: Pause between two attempts of one step, in seconds: several times what a store call and a network crossing take.
_RETRY_PAUSE_S: Final = 0.05

#: Maximum wait for the chosen target to catch up with the demoted primary, in seconds. Replicas are 20 ms behind; one
#: that needs longer receives nothing, and writes must resume.
_CATCH_UP_TIMEOUT_S: Final = 0.8

#: Time for which several replicas are asked before those that do not answer are left out, in seconds.
_REPORTS_TIMEOUT_S: Final = 0.6

#: Time until a promotion without an answer is requested again, beyond that in which it takes effect, in seconds.
_UNANSWERED_PAUSE_S: Final = 0.2

#: Time after an accepted promotion within which the target must lead, in seconds. After that it is requested again.
_PROMOTION_TIMEOUT_S: Final = 3.0


class Replacement:
    """Changes the primary of a service on behalf of the coordinator.

    Instances use a primary under permits, time-limited leases. No target is promoted before every permit of the
    closed term is released or has expired.

    :param board: The blackboard.
    :param records: The leader records.
    :param peers: Client of the other instances.
    :param controls: Control connections to targets.
    :param promoter: Promotes a target.
    """

    def __init__(
        self, board: Board, records: Records, peers: Peers, controls: ControlConnections, promoter: Promoter
    ) -> None:
        self._board = board
        self._records = records
        self._peers = peers
        self._controls = controls
        self._promoter = promoter

    async def run(self, record: LeaderRecord, cause: str, *, is_planned: bool) -> None:
        """Replace a primary, or continue a replacement that an earlier coordinator began.

        :param record: The newest leader record of the service.
        :param cause: Why the primary is replaced.
        :param is_planned: Whether the old primary still works and is being taken out of service.
        :raises DutyLost: Another instance coordinates now.
        """
        began_at = self._board.clock()
        closing = await self._close(record, cause)
        if closing.cause == settlement.ERA_CAUSE and await self._keep_primary(closing):
            return
        # An earlier coordinator may have closed the term; no permit of it was granted after that became known.
        closed_at = min(self._board.clock(), self._board.permits.written_by(closing))
        log_event(
            'term_closing',
            service=record.service,
            term=record.term,
            target=record.target,
            cause=cause,
            planned=is_planned,
            version=closing.version,
        )
        collecting = asyncio.ensure_future(self._collect_permits(closing, closed_at, is_planned=is_planned))
        try:
            if is_planned:
                await asyncio.wait({collecting}, timeout=DRAIN_WRITES_TIMEOUT_S + PEER_TIMEOUT_S)
            log_end = await self._demote_with_timeout(closing, collecting)
            reports = await self._collect_reports(closing, log_end)
            await collecting
            leading = _find_leading(reports, closing.term)
            if leading is None:
                leading = await self._promote(closing, log_end)
        finally:
            collecting.cancel()
        await self._publish(closing, leading, cause)
        log_event(
            'term_published',
            service=record.service,
            term=leading[1].term,
            target=leading[0],
            took_s=round(self._board.clock() - began_at, 3),
            cause=cause,
        )

    async def _close(self, record: LeaderRecord, cause: str) -> LeaderRecord:
        if record.state is LeaderState.CLOSING and self._board.lease.is_present(record.version):
            return record
        return await self._write(dataclasses.replace(record, state=LeaderState.CLOSING, cause=cause))

    async def _keep_primary(self, closing: LeaderRecord) -> bool:
        """Publish a record in doubt again if its targets show that the primary was never replaced.

        :returns: Whether the primary leads on.
        """
        ready_at = self._board.lease.settled_at + settlement.PROMOTION_EFFECT_S
        await asyncio.sleep(max(ready_at - self._board.clock(), 0))
        until = self._board.clock() + _REPORTS_TIMEOUT_S
        reports: dict[TargetId, TargetReport] = {}
        while self._board.clock() < until:
            targets = list(self._board.targets_of(closing.service))
            answers = await self._ask_candidates(targets, closing, must_hold=False)
            reports = {name: report for name, (_, report) in answers.items()}
            if settlement.is_still_leading(closing, [target.target for target in targets], reports):
                log_event('primary_kept', service=closing.service, target=closing.target, term=closing.term)
                await self._publish(closing, (closing.target, reports[closing.target]), closing.cause)
                return True
            await self._check_still_coordinator(closing)
            await asyncio.sleep(_RETRY_PAUSE_S)
        log_event(
            'primary_in_doubt',
            service=closing.service,
            target=closing.target,
            term=closing.term,
            reports=','.join(f'{name}:{report.role.value}:{report.term}' for name, report in reports.items()) or '-',
        )
        return False

    async def _write(self, record: LeaderRecord) -> LeaderRecord:
        """Write a record, retrying until the table accepts it.

        A write whose answer was lost may have taken effect; a read of the table then shows the record.
        """
        while True:
            try:
                return await self._records.write_leader(record)
            except TableError as error:
                log_event('record_write_failed', service=record.service, state=record.state.value, detail=str(error))
            present = self._board.permits.record(record.service)
            if present is not None and present.version > record.version:
                if present.state is record.state and present.target == record.target:
                    return present
                record = dataclasses.replace(record, version=present.version)
            await asyncio.sleep(_RETRY_PAUSE_S)

    async def _collect_permits(self, closing: LeaderRecord, closed_at: Instant, *, is_planned: bool) -> None:
        """Wait until no instance can hold a permit of the closed term any more."""
        deadline = closed_at + PERMIT_S + PERMIT_MARGIN_S
        try:
            # Every instance that registered before the term was closed is in the table now.
            await self._records.read()
        except TableError as error:
            log_event('members_unread', detail=str(error))
            await self._sleep_until(max(deadline, self._earlier_era_deadline()))
            return
        ended = self._records.members_without_permits()
        members = [
            member
            for member in self._board.members_by_id.values()
            if member.instance != self._board.own.instance and member.instance not in ended
        ]
        if is_planned:
            await drain_writes(self._board, closing.service)
        results = await asyncio.gather(
            *(
                self._revoke_permit(member, closing, self._permit_end(member, closed_at), is_planned=is_planned)
                for member in members
            )
        )
        await self._sleep_until(self._earlier_era_deadline())
        silent = [member.instance for member, is_revoked in zip(members, results, strict=True) if not is_revoked]
        log_event(
            'permits_collected',
            service=closing.service,
            term=closing.term,
            members=len(members),
            outwaited=','.join(silent) or '-',
            took_s=round(self._board.clock() - closed_at, 3),
        )

    def _earlier_era_deadline(self) -> Instant:
        """:returns: When permits of an earlier era have expired; the present list may lack instances that hold one."""
        return self._board.lease.settled_at + PERMIT_S + PERMIT_MARGIN_S

    async def _sleep_until(self, deadline: Instant) -> None:
        await asyncio.sleep(max(deadline - self._board.clock(), 0))

    def _permit_end(self, member: MemberRecord, closed_at: Instant) -> Instant:
        """:returns: When an instance's permit of a closed term has certainly expired."""
        return min(closed_at, self._board.confirmations.latest(member)) + PERMIT_S + PERMIT_MARGIN_S

    async def _revoke_permit(
        self, member: MemberRecord, closing: LeaderRecord, deadline: Instant, *, is_planned: bool
    ) -> bool:
        """:returns: Whether the instance released its permit; otherwise its permit has expired."""
        request = CloseRequest(closing, is_planned)
        limit_s = PEER_TIMEOUT_S + (DRAIN_WRITES_TIMEOUT_S if is_planned else 0)
        while self._board.clock() < deadline:
            left_s = deadline - self._board.clock()
            try:
                await self._peers.close(member.address, request, min(limit_s, left_s))
            except PeerError:
                # A refused connection does not prove that the instance is down: a partition may refuse, too.
                await asyncio.sleep(min(_RETRY_PAUSE_S, max(deadline - self._board.clock(), 0)))
            else:
                return True
        return False

    async def _demote_with_timeout(self, closing: LeaderRecord, collecting: asyncio.Task[None]) -> LogPosition | None:
        """Demote the old primary, with a timeout once no instance may use it any more.

        :returns: The end of its log, if it was demoted.
        """
        demoting = asyncio.ensure_future(self._demote(closing))
        try:
            await asyncio.wait({demoting, collecting}, return_when=asyncio.FIRST_COMPLETED)
            await asyncio.wait({demoting}, timeout=self._demotion_timeout_s(closing))
            if demoting.done():
                return demoting.result()
        finally:
            demoting.cancel()
        log_event('demotion_given_up', service=closing.service, target=closing.target)
        return None

    def _demotion_timeout_s(self, closing: LeaderRecord) -> float:
        """:returns: Timeout of the demotion once no instance can use the old primary any more."""
        target = self._board.targets_by_id.get(closing.target)
        if target is None or self._board.health_of(target).failing_since is not None:
            return _SILENT_DEMOTION_TIMEOUT_S
        return _DEMOTION_TIMEOUT_S

    async def _demote(self, closing: LeaderRecord) -> LogPosition | None:
        """:returns: The end of the old primary's log, if it was demoted."""
        target = self._board.targets_by_id.get(closing.target)
        if target is None or self._board.health_of(target).is_refusing:
            return None
        report = await self._controls.demote(target, Term(closing.term + 1), self._authority())
        if report is None or report.role is not Role.REPLICA:
            log_event('demotion_failed', service=closing.service, target=closing.target, answered=report is not None)
            return None
        log_event('demoted', service=closing.service, target=closing.target, position=report.position)
        return report.position

    async def _collect_reports(
        self, closing: LeaderRecord, log_end: LogPosition | None
    ) -> dict[TargetId, tuple[TargetDescription, TargetReport]]:
        """Ask the promotion candidates for their status until all, or enough by the timeout, have answered."""
        began_at = self._board.clock()
        must_hold = self._acknowledging_replicas(closing.service) > 0 and log_end is None
        while True:
            eligible = [
                target
                for target in self._board.targets_of(closing.service)
                if target.target != closing.target or (log_end is not None and not self._is_leaving(target))
            ]
            reports = await self._ask_candidates(eligible, closing, must_hold=must_hold)
            is_late = self._board.clock() - began_at > _REPORTS_TIMEOUT_S
            if _has_enough_reports(reports, eligible, closing, is_late=is_late, needs_all=must_hold):
                return reports
            await self._check_still_coordinator(closing)
            await asyncio.sleep(_RETRY_PAUSE_S)

    async def _ask_candidates(
        self, eligible: list[TargetDescription], closing: LeaderRecord, *, must_hold: bool
    ) -> dict[TargetId, tuple[TargetDescription, TargetReport]]:
        """Ask candidates for their positions.

        With ``must_hold`` they stop receiving from the old primary first: a commit that a replica acknowledged after
        it reported its position would be missing from the comparison.
        """
        term = Term(closing.term + 1)
        authority = self._authority()
        calls = [
            self._controls.hold(candidate, term, authority) if must_hold else self._controls.status(candidate)
            for candidate in eligible
        ]
        answers = await asyncio.gather(*calls)
        return {
            candidate.target: (candidate, answer)
            for candidate, answer in zip(eligible, answers, strict=True)
            if answer is not None
        }

    def _authority(self) -> LeaseAuthority:
        """:returns: Authority of the present holder of the lease; one that has ended if that is another instance."""
        return LeaseAuthority(self._board, self._board.lease.token)

    def _is_leaving(self, target: TargetDescription) -> bool:
        return target.is_draining or self._board.evacuations.includes(target.data_centre)

    def _acknowledging_replicas(self, service: ServiceId) -> int:
        configuration = self._board.configuration
        policy = configuration.services_by_id.get(service) if configuration else None
        return policy.acknowledging_replicas if policy else 0

    async def _promote(self, closing: LeaderRecord, log_end: LogPosition | None) -> tuple[TargetId, TargetReport]:
        began_at = self._board.clock()
        while True:
            reports = await self._collect_reports(closing, log_end)
            leading = _find_leading(reports, closing.term) or _find_returned_primary(reports, closing)
            if leading is not None:
                return leading
            answering = [
                candidates.PromotionCandidate(target, report, self._is_leaving(target))
                for target, report in reports.values()
                if target.target != closing.target or len(reports) == 1
            ]
            candidate = candidates.choose(answering, can_catch_up=log_end is not None)
            is_late = self._board.clock() - began_at > _CATCH_UP_TIMEOUT_S
            if candidate is None or not (is_late or candidates.has_caught_up(candidate, log_end)):
                await asyncio.sleep(_RETRY_PAUSE_S / 5)
                continue
            promoted = await self._request_promotion(closing, candidate, reports)
            if promoted is not None:
                return promoted
            await self._check_still_coordinator(closing)

    async def _request_promotion(
        self,
        closing: LeaderRecord,
        candidate: candidates.PromotionCandidate,
        reports: dict[TargetId, tuple[TargetDescription, TargetReport]],
    ) -> tuple[TargetId, TargetReport] | None:
        """Request the promotion of a target and wait until it leads."""
        lease = self._board.lease
        if not lease.holds(self._board.clock()) or lease.record is None:
            await self._check_still_coordinator(closing)
            await asyncio.sleep(_RETRY_PAUSE_S / 2)
            return None
        token = lease.record.token
        began_at = self._board.clock()
        log_event(
            'promoting',
            service=closing.service,
            target=candidate.target.target,
            position=candidate.report.position,
            token=token,
            lease_left_s=round(lease.left_s(token, began_at), 3),
            others=','.join(f'{name}:{report.position}' for name, (_, report) in reports.items()),
        )
        answer = await self._promoter.promote(
            closing.service,
            candidate.target.target,
            self._board.own.instance,
            token,
            self._authority(),
        )
        log_event(
            'promote_answered',
            service=closing.service,
            target=candidate.target.target,
            answer=answer.value,
            token=token,
            waited_s=round(self._board.clock() - began_at, 3),
            lease_left_s=round(lease.left_s(token, self._board.clock()), 3),
        )
        if answer is PromoteResult.REFUSED:
            self._board.health_of(candidate.target).record_failure(
                self._board.clock(), self._board.clock(), is_refusal=True
            )
            await asyncio.sleep(_RETRY_PAUSE_S)
            return None
        deadline = self._effect_deadline(answer, began_at)
        while self._board.clock() < deadline:
            report = await self._controls.status(candidate.target)
            if report is not None and report.role is Role.PRIMARY and report.term > closing.term:
                return candidate.target.target, report
            if report is None and self._board.health_of(candidate.target).failures > 2:
                return None
            await asyncio.sleep(_RETRY_PAUSE_S / 2)
        return None

    def _effect_deadline(self, answer: PromoteResult, began_at: Instant) -> Instant:
        """:returns: When a promotion that was requested has taken effect, or will not do so."""
        now = self._board.clock()
        if answer is PromoteResult.ACCEPTED:
            return now + _PROMOTION_TIMEOUT_S
        if answer is PromoteResult.NOT_SENT:
            return now + _UNANSWERED_PAUSE_S
        return max(now, began_at + settlement.PROMOTION_EFFECT_S) + _UNANSWERED_PAUSE_S

    async def _publish(self, closing: LeaderRecord, leading: tuple[TargetId, TargetReport], cause: str) -> None:
        target, report = leading
        await self._write(
            dataclasses.replace(closing, term=report.term, target=target, state=LeaderState.LEADING, cause=cause)
        )
        news = News()
        for member in tuple(self._board.members_by_id.values()):
            if member.instance != self._board.own.instance:
                asyncio.ensure_future(self._send_news(member, news))

    async def _send_news(self, member: MemberRecord, news: News) -> None:
        try:
            await self._peers.send_news(member.address, news)
        except PeerError as error:
            log_event('news_lost', peer=member.instance, detail=str(error))

    async def _check_still_coordinator(self, closing: LeaderRecord) -> None:
        """Check that this instance still coordinates. :raises DutyLost: Another instance does."""
        if not self._board.lease.is_own():
            raise DutyLost
        present = self._board.permits.record(closing.service)
        if present is not None and present.version > closing.version:
            raise DutyLost


async def drain_writes(board: Board, service: ServiceId) -> None:
    """Wait, with a timeout, until this instance has no write in flight to a service's primary."""
    deadline = board.clock() + DRAIN_WRITES_TIMEOUT_S
    while board.in_flight_writes.get(service, 0) > 0 and board.clock() < deadline:
        await asyncio.sleep(_RETRY_PAUSE_S / 5)


def _has_enough_reports(
    reports: dict[TargetId, tuple[TargetDescription, TargetReport]],
    eligible: list[TargetDescription],
    closing: LeaderRecord,
    *,
    is_late: bool,
    needs_all: bool,
) -> bool:
    """:returns: Whether enough targets have answered to choose one."""
    others = [name for name in reports if name != closing.target]
    if not others:
        # Only the old primary has answered; it may lead again if no other target is registered.
        return bool(reports) and is_late and all(candidate.target == closing.target for candidate in eligible)
    return len(reports) == len(eligible) or (is_late and not needs_all)


def _find_leading(
    reports: dict[TargetId, tuple[TargetDescription, TargetReport]], closed: Term
) -> tuple[TargetId, TargetReport] | None:
    """:returns: A target that an earlier coordinator has promoted already, so that it leads a later term."""
    leading = [
        (name, report) for name, (_, report) in reports.items() if report.role is Role.PRIMARY and report.term > closed
    ]
    return max(leading, key=lambda pair: pair[1].term, default=None)


def _find_returned_primary(
    reports: dict[TargetId, tuple[TargetDescription, TargetReport]], closing: LeaderRecord
) -> tuple[TargetId, TargetReport] | None:
    """Find the old primary if it came back under another id.

    It leads the closed term with its complete log, so the promoter would accept its promotion again and again without
    doing anything. It can go on leading, since no instance holds a permit of that term any more.

    :returns: Its new id and its report.
    """
    for name, (_, report) in reports.items():
        if name != closing.target and report.role is Role.PRIMARY and report.term == closing.term:
            log_event('primary_returned', service=closing.service, earlier=closing.target, target=name)
            return name, report
    return None
