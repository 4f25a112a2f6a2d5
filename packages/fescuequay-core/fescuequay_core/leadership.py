"""Failover of a group: failure detection, closing of a term, fencing, promotion and publication."""

import dataclasses
import enum
from collections.abc import Iterator, Mapping
from typing import Final

import msgspec

from fescuequay_core.blackboard import Blackboard, TargetView
from fescuequay_core.commands import Command, FenceTarget, Incident, PromoteTarget
from fescuequay_core.config import Group
from fescuequay_core.controller import Controller, Handler
from fescuequay_core.events import Event, Fenced, FleetRead, FleetWritten, Promoted, Tick
from fescuequay_core.fleet import MAX_STARTS, ChangeLeader, Leader, TermStart
from fescuequay_core.fleet_controller import FleetController
from fescuequay_core.hosts import host_rank
from fescuequay_core.requests import TargetStatus
from fescuequay_core.types import (
    Acknowledge,
    GroupId,
    Instant,
    LeaderState,
    Position,
    Role,
    TargetId,
    Term,
)

#: Delay per host rank before an instance starts a failover, in seconds, so that hosts rarely start the same one.
_RANK_DELAY_S: Final = 0.25

#: Time to wait for the remaining targets once a majority is fenced, in seconds.
_FENCE_GRACE_S: Final = 0.08

#: Time that a planned move gives its successor to reach the old primary's log position, in seconds.
_CATCH_UP_TIMEOUT_S: Final = 1.0

#: Promote requests to one candidate before the promotion starts over with a new term.
_MAX_PROMOTE_TRIES: Final = 5


class _Stage(enum.Enum):
    """Stage of a promotion that this instance carries out."""

    WAITING_FOR_PERMITS = 'waiting_for_permits'
    FENCING = 'fencing'
    PROMOTING = 'promoting'
    PUBLISHING = 'publishing'


@dataclasses.dataclass(slots=True)
class _Attempt:
    """State of one promotion that this instance carries out, for one term."""

    term: Term
    began_at: Instant
    stage: _Stage = _Stage.WAITING_FOR_PERMITS
    stage_began_at: Instant = 0.0
    requested_at: Instant = float('-inf')
    statuses: dict[TargetId, TargetStatus] = dataclasses.field(default_factory=dict)
    majority_at: Instant | None = None
    candidate: TargetId | None = None
    start: Position | None = None
    tries: int = 0


class LeadershipController(Controller):
    """Replaces the primary of a group under a term that no other promotion uses.

    The fleet record at the platform serialises all promotions. A conditional write closes the current term and
    names the promoter and a term that was never used before. A target becomes the primary only when the record
    that names it is published. A promoter that dies or pauses is replaced by another with a higher term, and the
    fences of that term make targets reject what the first promoter still sends.

    :param board: The blackboard.
    :param fleet: Controller that writes proposed changes of the fleet record.
    """

    def __init__(self, board: Blackboard, fleet: FleetController) -> None:
        super().__init__(board)
        self._fleet = fleet
        self._attempts: dict[GroupId, _Attempt] = {}
        self._seen_since: dict[GroupId, tuple[Leader, Instant]] = {}
        self._closing_since: dict[GroupId, tuple[Term, Instant]] = {}
        self._reported_closing: dict[GroupId, Leader] = {}
        self._refenced_at: dict[TargetId, Instant] = {}

    def handlers(self) -> Mapping[type[Event], Handler]:
        """:returns: Handlers of the timer and of fence and promote answers."""
        return {
            Tick: self._on_tick,
            Fenced: self._on_fenced,
            Promoted: self._on_promoted,
            FleetRead: self._on_record,
            FleetWritten: self._on_record,
        }

    def _on_tick(self, event: Tick, now: Instant) -> Iterator[Command]:
        for group_id, group in self.board.hosted_groups.items():
            yield from self._advance_group(group_id, group, now)
        for group_id in tuple(self._attempts):
            leader = self.board.leader_of(group_id)
            if leader is None or leader.state is not LeaderState.CLOSING:
                self._attempts.pop(group_id)

    def _advance_group(self, group_id: GroupId, group: Group, now: Instant) -> Iterator[Command]:
        leader = self.board.leader_of(group_id)
        self._record_changes(group_id, leader, now)
        if leader is None:
            yield from self._bootstrap(group_id, group, now)
        elif leader.state is LeaderState.LEADING:
            yield from self._check_primary(group_id, group, leader, now)
        elif leader.promoter == self.board.instance:
            yield from self._promote(group_id, group, leader, now)
        else:
            self._attempts.pop(group_id, None)
            yield from self._consider_takeover(group_id, leader, now)

    def _record_changes(self, group_id: GroupId, leader: Leader | None, now: Instant) -> None:
        """Record when this instance first saw the present leader record and the closing of its term."""
        if leader is None:
            return
        if self._seen_since.get(group_id, (None, now))[0] != leader:
            self._seen_since[group_id] = (leader, now)
        closing_term = self._closing_since.get(group_id, (None, now))[0]
        if leader.state is LeaderState.CLOSING and closing_term != leader.term:
            self._closing_since[group_id] = (leader.term, now)

    def _bootstrap(self, group_id: GroupId, group: Group, now: Instant) -> Iterator[Command]:
        """Propose the primary of the highest term as first leader, once a majority of the group was seen."""
        statuses = self._statuses(group)
        if len(statuses) < _majority(group):
            return
        primaries = [target for target, status in statuses.items() if status.role is Role.PRIMARY]
        if not primaries:
            return
        target = max(primaries, key=lambda name: statuses[name].term)
        if statuses[target].term < max(status.term for status in statuses.values()):
            return
        leader = Leader(statuses[target].term, target, named=group.primary, cause='first primary seen')
        yield from self._fleet.propose(ChangeLeader(group_id, None, leader), now)

    def _statuses(self, group: Group) -> dict[TargetId, TargetStatus]:
        views = {target: self.board.view_of(target) for target in group.targets}
        return {
            target: view.status
            for target, view in views.items()
            if view.status is not None and view.failing_since is None
        }

    def _check_primary(self, group_id: GroupId, group: Group, leader: Leader, now: Instant) -> Iterator[Command]:
        yield from self._refence(group, leader, now)
        successor = self._planned_successor(group, leader)
        if successor is not None:
            yield from self._close_term(group_id, leader, 'planned move', now, successor, group.primary)
            return
        cause = self._failure_cause(group_id, group, leader, now)
        if cause is not None and len(self._reachable(group, leader)) >= _majority(group):
            yield from self._close_term(group_id, leader, cause, now)

    def _planned_successor(self, group: Group, leader: Leader) -> TargetId | None:
        statuses = self._statuses(group)
        if leader.target not in statuses:
            return None
        is_edited = leader.named is not None and group.primary != leader.named
        current = group.targets.get(leader.target)
        if is_edited and group.primary != leader.target:
            return group.primary if group.primary in statuses else None
        if current is None or current.draining:
            others = [name for name in statuses if name != leader.target and not group.targets[name].draining]
            return max(others, key=lambda name: statuses[name].position, default=None)
        return None

    def _reachable(self, group: Group, leader: Leader) -> list[TargetId]:
        return [target for target in self._statuses(group) if target != leader.target]

    def _failure_cause(self, group_id: GroupId, group: Group, leader: Leader, now: Instant) -> str | None:
        """Check whether the primary should be replaced.

        :param group_id: The group.
        :param group: Its configuration.
        :param leader: Its leader record.
        :param now: Present time.
        :returns: The cause of the replacement, or nothing when the primary stays.
        """
        if leader.target not in group.targets:
            return 'the text no longer contains the primary'
        timing = self.board.timing
        view = self.board.view_of(leader.target)
        if view.failing_since is None:
            return self._demotion_cause(view, leader, self._seen_since[group_id][1])
        silent_s = now - view.failing_since
        if silent_s < timing.suspect_after_s + host_rank(self.board, group_id, leader.target) * _RANK_DELAY_S:
            return None
        replicas = [self.board.view_of(target).status for target in self._reachable(group, leader)]
        silent_to_replicas = [
            status for status in replicas if status and status.upstream_age_s > timing.suspect_after_s / 2
        ]
        if len(silent_to_replicas) * 2 > len(replicas):
            return 'the primary is silent, also to its replicas'
        if silent_s > 2 * timing.suspect_after_s and self._is_silent_to_peers(leader.target, now):
            return 'the primary is silent, also to other instances'
        return None

    def _demotion_cause(self, view: TargetView, leader: Leader, since: Instant) -> str | None:
        status = view.status
        # A status requested before the record was seen may predate the promotion of the target.
        if status is None or view.seen_at is None or view.seen_at <= since:
            return None
        if status.fence > leader.term:
            return f'the primary was fenced at term {status.fence}'
        if status.role is Role.REPLICA and status.term <= leader.term:
            return 'the primary came back as a replica'
        return None

    def _is_silent_to_peers(self, target: TargetId, now: Instant) -> bool:
        fresh = [
            view.heartbeat
            for view in self.board.peers_by_id.values()
            if now - view.heard_at < self.board.timing.peer_timeout_s
        ]
        silent = [heartbeat for heartbeat in fresh if target in heartbeat.silent_targets]
        return len(silent) * 2 > len(fresh)

    def _close_term(
        self,
        group_id: GroupId,
        leader: Leader,
        cause: str,
        now: Instant,
        successor: TargetId | None = None,
        named: TargetId | None = None,
    ) -> Iterator[Command]:
        closing = msgspec.structs.replace(
            leader,
            state=LeaderState.CLOSING,
            next_term=Term(max(leader.next_term, leader.term) + 1),
            promoter=self.board.instance,
            successor=successor,
            named=named or leader.named,
            cause=cause,
        )
        yield from self._fleet.propose(ChangeLeader(group_id, leader, closing), now)
        if self._reported_closing.get(group_id) != leader:
            self._reported_closing[group_id] = leader
            yield Incident('term_closing', group_id, cause, (('term', str(leader.term)), ('target', leader.target)))

    def _consider_takeover(self, group_id: GroupId, leader: Leader, now: Instant) -> Iterator[Command]:
        since = self._seen_since[group_id][1]
        timeout_s = self.board.timing.takeover_after_s + host_rank(self.board, group_id, leader.target) * _RANK_DELAY_S
        service = self.board.service_of(group_id)
        if service is not None and service.acknowledge is Acknowledge.PRIMARY:
            timeout_s += self.board.timing.permit_s
        if now - since > timeout_s:
            cause = f'promoter {leader.promoter} made no progress'
            yield from self._close_term(group_id, leader, cause, now, leader.successor)

    def _promote(self, group_id: GroupId, group: Group, leader: Leader, now: Instant) -> Iterator[Command]:
        attempt = self._attempts.get(group_id)
        if attempt is None or attempt.term != leader.next_term:
            attempt = _Attempt(leader.next_term, now, stage_began_at=now)
            self._attempts[group_id] = attempt
            yield Incident('promotion_began', group_id, leader.cause, (('term', str(attempt.term)),))
        if attempt.stage is _Stage.WAITING_FOR_PERMITS and self._permits_expired(group_id, attempt, now):
            self._enter_stage(attempt, _Stage.FENCING, now)
        if attempt.stage is _Stage.FENCING:
            yield from self._fence(group, leader, attempt, now)
        if attempt.stage is _Stage.PROMOTING:
            yield from self._request_promotion(group_id, leader, attempt, now)
        if attempt.stage is _Stage.PUBLISHING:
            yield from self._publish(group_id, group, leader, attempt, now)

    def _enter_stage(self, attempt: _Attempt, stage: _Stage, now: Instant) -> None:
        attempt.stage = stage
        attempt.stage_began_at = now
        attempt.requested_at = float('-inf')

    def _permits_expired(self, group_id: GroupId, attempt: _Attempt, now: Instant) -> bool:
        """Check whether every permit granted before the term was closed has expired.

        A read after the term was first closed grants no permit for it, so the wait counts from then, also when
        another promoter takes over. A service that acknowledges on a majority needs no permits: fencing a majority
        ends its acknowledgements. A planned move fences the old primary itself and would need no wait either,
        but waits all the same, because the old primary may fail during the move.

        :param group_id: The group.
        :param attempt: The promotion.
        :param now: Present time.
        :returns: Whether no instance may still acknowledge writes of the closed term by permit.
        """
        service = self.board.service_of(group_id)
        permit_s = self.board.timing.drift_safe_s(self.board.timing.permit_s)
        uses_permits = service is None or service.acknowledge is Acknowledge.PRIMARY
        # Another instance may still use an earlier text under which this service relied on permits.
        policy_ended_at = self.board.permit_policy_ended_at.get(group_id, float('-inf'))
        began_at = self._closing_since[group_id][1] if uses_permits else policy_ended_at
        return now >= began_at + permit_s

    def _fence(self, group: Group, leader: Leader, attempt: _Attempt, now: Instant) -> Iterator[Command]:
        is_waiting = self._is_catching_up(leader, attempt, now)
        if now - attempt.requested_at >= self.board.timing.fence_retry_s:
            attempt.requested_at = now
            for target in group.targets:
                if target not in attempt.statuses and (not is_waiting or target == leader.target):
                    yield FenceTarget(target, attempt.term)
        if is_waiting or len(attempt.statuses) < _majority(group):
            return
        attempt.majority_at = now if attempt.majority_at is None else attempt.majority_at
        is_complete = len(attempt.statuses) == len(group.targets)
        if is_complete or now - attempt.majority_at >= _FENCE_GRACE_S:
            attempt.candidate = self._choose_candidate(group, leader, attempt.statuses)
            self._enter_stage(attempt, _Stage.PROMOTING, now)

    def _is_catching_up(self, leader: Leader, attempt: _Attempt, now: Instant) -> bool:
        """Check whether a planned move still waits for its successor.

        The old primary is fenced first, while the replicas still receive its log.

        :param leader: The leader record.
        :param attempt: The promotion.
        :param now: Present time.
        :returns: Whether the other targets must not be fenced yet.
        """
        if leader.successor is None or now - attempt.stage_began_at > _CATCH_UP_TIMEOUT_S:
            return False
        last = attempt.statuses.get(leader.target)
        successor = self.board.view_of(leader.successor)
        if last is None:
            return True
        if successor.status is None:
            return False
        if successor.status.position >= last.position:
            return False
        # Make a probe due at once, so that its answer shows the progress at the next tick.
        successor.probed_at = float('-inf')
        return True

    def _choose_candidate(self, group: Group, leader: Leader, statuses: dict[TargetId, TargetStatus]) -> TargetId:
        """Choose the most advanced fenced target, a draining one only if no other is as advanced."""

        def rank(target: TargetId) -> tuple[int, int, bool, bool, bool]:
            status = statuses[target]
            is_successor = target == leader.successor
            is_named = target == group.primary
            return status.term, status.position, not group.targets[target].draining, is_successor, is_named

        return max(statuses, key=rank)

    def _request_promotion(
        self, group_id: GroupId, leader: Leader, attempt: _Attempt, now: Instant
    ) -> Iterator[Command]:
        if attempt.candidate is None or now - attempt.requested_at < self.board.timing.fence_retry_s:
            return
        attempt.requested_at = now
        attempt.tries += 1
        if attempt.tries > _MAX_PROMOTE_TRIES:
            cause = f'{attempt.candidate} could not be promoted'
            yield from self._close_term(group_id, leader, cause, now, leader.successor)
            return
        yield PromoteTarget(attempt.candidate, attempt.term)

    def _publish(
        self, group_id: GroupId, group: Group, leader: Leader, attempt: _Attempt, now: Instant
    ) -> Iterator[Command]:
        if attempt.candidate is None or attempt.start is None:
            return
        starts = (*leader.starts, TermStart(attempt.term, attempt.start))[-MAX_STARTS:]
        published = Leader(
            attempt.term,
            attempt.candidate,
            next_term=attempt.term,
            named=leader.named or group.primary,
            cause=leader.cause,
            starts=starts,
        )
        yield from self._fleet.propose(ChangeLeader(group_id, leader, published), now)

    def _on_fenced(self, event: Fenced, now: Instant) -> Iterator[Command]:
        if event.status is None or event.status.fence != event.term:
            return
        for group_id, attempt in self._attempts.items():
            group = self.board.group_of(group_id)
            if group is not None and event.target in group.targets and attempt.term == event.term:
                if attempt.stage is _Stage.FENCING:
                    attempt.statuses[event.target] = event.status
                    details = (('target', event.target), ('position', str(event.status.position)))
                    yield Incident('target_fenced', group_id, f'term {event.term}', details)
        yield from self._advance_promotions(now)

    def _on_promoted(self, event: Promoted, now: Instant) -> Iterator[Command]:
        if event.start is None:
            return
        for group_id, attempt in self._attempts.items():
            if attempt.term == event.term and attempt.candidate == event.target:
                if attempt.stage is _Stage.PROMOTING:
                    attempt.start = event.start
                    self._enter_stage(attempt, _Stage.PUBLISHING, now)
                    details = (('target', event.target), ('start', str(event.start)))
                    yield Incident('target_promoted', group_id, f'term {event.term}', details)
        yield from self._advance_promotions(now)

    def _on_record(self, event: Event, now: Instant) -> Iterator[Command]:
        yield from self._advance_promotions(now)

    def _advance_promotions(self, now: Instant) -> Iterator[Command]:
        """Advance the promotions that this instance carries out, without waiting for the timer."""
        for group_id, group in self.board.hosted_groups.items():
            leader = self.board.leader_of(group_id)
            if leader is not None and leader.state is LeaderState.CLOSING and leader.promoter == self.board.instance:
                self._record_changes(group_id, leader, now)
                yield from self._promote(group_id, group, leader, now)

    def _refence(self, group: Group, leader: Leader, now: Instant) -> Iterator[Command]:
        """Fence targets that came back from an earlier term, so that they replicate from the new primary."""
        for target, status in self._statuses(group).items():
            is_behind = target != leader.target and status.fence < leader.term and status.term < leader.term
            last = self._refenced_at.get(target, float('-inf'))
            if is_behind and now - last > self.board.timing.suspect_after_s:
                self._refenced_at[target] = now
                yield FenceTarget(target, leader.term)
                yield Incident('target_refenced', target, f'it is still in term {status.term}')


def _majority(group: Group) -> int:
    return len(group.targets) // 2 + 1
