"""Chooses the target of each request by term, log position, data age and load."""

import dataclasses
from collections.abc import Iterator
from typing import Final

from fescuequay_core import verdicts
from fescuequay_core.blackboard import Blackboard, Pending, TargetView
from fescuequay_core.fleet import Leader
from fescuequay_core.tokens import Mark
from fescuequay_core.types import Acknowledge, Instant, LeaderState, Role, TargetId, Term, Verdict
from fescuequay_core.verdicts import Refusal

#: Retry-After of a refusal whose cause is the state of the fleet rather than load, in seconds.
FLEET_RETRY_AFTER_S: Final = 1.0


class Choice:
    """Base of the routing decisions."""

    __slots__ = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Dispatch(Choice):
    """The request can run at a target now.

    :param target: The target.
    :param term: Term of the group's leader record.
    """

    target: TargetId
    term: Term


@dataclasses.dataclass(frozen=True, slots=True)
class Wait(Choice):
    """No target can run the request now.

    :param probes: Targets whose status may change that.
    :param needs_refresh: Whether a newer fleet record may change that.
    """

    probes: tuple[TargetId, ...] = ()
    needs_refresh: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Refuse(Choice):
    """The request can never run as it is.

    :param refusal: The refusal to send.
    """

    refusal: Refusal


class Router:
    """Chooses targets from the state on the blackboard, which it does not change.

    :param board: The blackboard.
    """

    def __init__(self, board: Blackboard) -> None:
        self._board = board

    def choose(self, pending: Pending, now: Instant) -> Choice:
        """Choose a target.

        :param pending: The request.
        :param now: Present time.
        :returns: The target, or why the request cannot run now.
        """
        leader = self._board.leader_of(pending.group)
        if leader is None:
            return Wait(needs_refresh=True)
        mark = pending.session.marks.get(pending.group)
        if mark is not None:
            blocked = self._check_mark(mark, leader)
            if blocked is not None:
                return blocked
        if pending.is_read:
            return self._choose_for_read(pending, leader, mark, now)
        return self._choose_for_write(pending, leader, now)

    def _check_mark(self, mark: Mark, leader: Leader) -> Choice | None:
        """Check that the group still holds everything that a session has seen or written.

        :param mark: Latest log position that the session has seen or written.
        :param leader: Leader record of the group.
        :returns: Why the session cannot be served now, or nothing when it can.
        """
        if mark.term > leader.term:
            return Wait(needs_refresh=True)
        end = leader.end_of(mark.term)
        if mark.term < leader.term and end is not None and mark.position > end:
            detail = f'the session saw position {mark.position} of term {mark.term}, which ended at {end}'
            return Refuse(Refusal(verdicts.SESSION_AHEAD, Verdict.NOT_RUN, detail))
        return None

    def _choose_for_write(self, pending: Pending, leader: Leader, now: Instant) -> Choice:
        if leader.state is not LeaderState.LEADING:
            return Wait(needs_refresh=True)
        view = self._board.view_of(leader.target)
        if view.failing_since is not None:
            return Wait(needs_refresh=True)
        service = self._board.service_of(pending.group)
        if service is not None and service.acknowledge is Acknowledge.PRIMARY and not self._board.has_permit(now):
            return Wait(needs_refresh=True)
        status = view.status
        if status is not None and (status.fence > leader.term or status.term > leader.term):
            return Wait(needs_refresh=True)
        return self._dispatch_if_free(leader.target, view, leader)

    def _choose_for_read(self, pending: Pending, leader: Leader, mark: Mark | None, now: Instant) -> Choice:
        accepted_s = self._accepted_age_s(pending)
        if (mark is not None and mark.is_uncertain) or accepted_s <= 0:
            return self._choose_primary_read(pending, leader, now)
        eligible: list[TargetId] = []
        too_old: list[TargetId] = []
        for target, view in self._replicas(pending, leader):
            if self._is_fresh(pending, view, mark, accepted_s, now):
                eligible.append(target)
            else:
                too_old.append(target)
        free = [name for name in eligible if _has_free_connection(self._board.view_of(name))]
        if free:
            return Dispatch(min(free, key=self._cost), leader.term)
        waited_s = now - pending.arrived_at
        if too_old and not eligible and waited_s < self._board.timing.replica_wait_s:
            # With late statuses replicas look older than they are; probing them and the primary may correct that.
            return Wait((*too_old, leader.target))
        choice = self._choose_primary_read(pending, leader, now)
        if isinstance(choice, Wait):
            return Wait((*too_old, leader.target), choice.needs_refresh)
        return choice

    def _choose_primary_read(self, pending: Pending, leader: Leader, now: Instant) -> Choice:
        view = self._board.view_of(leader.target)
        if leader.state is not LeaderState.LEADING or view.failing_since is not None:
            return Wait(needs_refresh=True)
        requested_age_s = pending.request.accepted_age_s
        if requested_age_s is not None and self._board.view_age_s(now) > requested_age_s + self._board.timing.permit_s:
            return Wait(needs_refresh=True)
        return self._dispatch_if_free(leader.target, view, leader)

    def _dispatch_if_free(self, target: TargetId, view: TargetView, leader: Leader) -> Choice:
        return Dispatch(target, leader.term) if _has_free_connection(view) else Wait()

    def _accepted_age_s(self, pending: Pending) -> float:
        if pending.request.accepted_age_s is not None:
            return pending.request.accepted_age_s
        service = self._board.service_of(pending.group)
        return service.read_age_ms / 1000 if service else 0.0

    def _replicas(self, pending: Pending, leader: Leader) -> Iterator[tuple[TargetId, TargetView]]:
        group = self._board.group_of(pending.group)
        for target, config in group.targets.items() if group else ():
            view = self._board.view_of(target)
            if target == leader.target or config.draining or view.connections == 0:
                continue
            if view.status is not None and view.failing_since is None and view.status.role is Role.REPLICA:
                yield target, view

    def _is_fresh(self, pending: Pending, view: TargetView, mark: Mark | None, accepted_s: float, now: Instant) -> bool:
        status = view.status
        leader = self._board.leader_of(pending.group)
        # Only a log of the present term is known to contain everything that survived from earlier terms.
        if status is None or leader is None or status.term != leader.term:
            return False
        if mark is not None and status.position < mark.position:
            return False
        return self._board.data_age_s(pending.group, status.position, now) <= accepted_s

    def _cost(self, target: TargetId) -> tuple[bool, float, float]:
        view = self._board.view_of(target)
        group_targets = self._board.text.targets_by_id if self._board.text else {}
        is_far = group_targets[target].data_centre != self._board.identity.data_centre
        return is_far, view.in_flight / max(view.connections, 1), view.service_time_s


def _has_free_connection(view: TargetView) -> bool:
    return view.in_flight < view.connections
