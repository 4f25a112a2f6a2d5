"""Queues of the requests that wait for each group, with a bound on their wait."""

import collections
import dataclasses
from collections.abc import Iterator

from fescuequay_core import verdicts
from fescuequay_core.access import refuse
from fescuequay_core.blackboard import Blackboard, Pending
from fescuequay_core.lanes import FairLane
from fescuequay_core.routing import FLEET_RETRY_AFTER_S
from fescuequay_core.types import GroupId, Instant
from fescuequay_core.verdicts import Refusal

#: Minimum Retry-After of a refusal because of load, in seconds.
_MIN_RETRY_AFTER_S = 0.1


@dataclasses.dataclass(slots=True)
class Lanes:
    """Waiting requests of one group, in separate lanes so that reads and writes do not block each other.

    :param reads: Waiting reads.
    :param writes: Waiting writes.
    """

    reads: FairLane = dataclasses.field(default_factory=FairLane)
    writes: FairLane = dataclasses.field(default_factory=FairLane)

    def lane_of(self, pending: Pending) -> FairLane:
        """:returns: The lane of a request."""
        return self.reads if pending.is_read else self.writes


class GroupQueues:
    """Bounds how long requests wait, and refuses immediately those whose expected wait is too long.

    :param board: The blackboard.
    """

    def __init__(self, board: Blackboard) -> None:
        self._board = board
        self._lanes: dict[GroupId, Lanes] = collections.defaultdict(Lanes)

    def groups(self) -> tuple[GroupId, ...]:
        """:returns: Groups for which a request has been queued since the start."""
        return tuple(self._lanes)

    def lanes_of(self, group: GroupId) -> tuple[FairLane, FairLane]:
        """:returns: The lane of writes and the lane of reads."""
        lanes = self._lanes[group]
        return lanes.writes, lanes.reads

    def add(self, pending: Pending) -> None:
        """Queue a request behind the others of its organisation.

        :param pending: The request.
        """
        self._lanes[pending.group].lane_of(pending).add(pending)

    def check_overload(self, pending: Pending, now: Instant) -> Refusal | None:
        """Check whether the expected wait of a new request exceeds its bound.

        :param pending: The request.
        :param now: Present time.
        :returns: The refusal if it does.
        """
        estimate_s = self._estimate_wait_s(pending)
        bound_s = min(self._board.timing.queue_wait_s, pending.request.deadline - now)
        if estimate_s <= bound_s:
            return None
        detail = f'requests for the group {pending.group!r} wait about {estimate_s:.1f} s'
        return refuse(verdicts.OVERLOADED, detail, estimate_s)

    def expire(self, now: Instant) -> Iterator[tuple[Pending, Refusal]]:
        """Remove the requests whose deadline or longest wait has passed.

        :param now: Present time.
        :returns: Each request with its refusal.
        """
        lanes = [lane for group in self.groups() for lane in self.lanes_of(group)]
        for lane in lanes:
            for pending in lane:
                waited_s = now - pending.arrived_at
                if now >= pending.request.deadline or waited_s >= self._board.timing.queue_wait_s:
                    lane.remove(pending)
                    yield pending, self._wait_refusal(pending, waited_s)

    def _estimate_wait_s(self, pending: Pending) -> float:
        group = self._board.group_of(pending.group)
        leader = self._board.leader_of(pending.group)
        if group is None or leader is None:
            return 0.0
        names = group.targets if pending.is_read else (leader.target,)
        views = [self._board.view_of(name) for name in names]
        connections = sum(view.connections for view in views)
        slowest_s = max((view.service_time_s for view in views), default=0.0)
        ahead = self._lanes[pending.group].lane_of(pending).count_ahead(pending.organisation)
        return ahead * slowest_s / max(connections, 1)

    def _wait_refusal(self, pending: Pending, waited_s: float) -> Refusal:
        detail = f'no target of the group {pending.group!r} could run the request within {waited_s:.1f} s'
        leader = self._board.leader_of(pending.group)
        view = self._board.view_of(leader.target) if leader else None
        is_busy = view is not None and view.failing_since is None and 0 < view.connections <= view.in_flight
        if is_busy:
            return refuse(verdicts.OVERLOADED, detail, max(self._estimate_wait_s(pending), _MIN_RETRY_AFTER_S))
        reason = verdicts.NO_REPLICA if pending.is_read else verdicts.NO_PRIMARY
        return refuse(reason, detail, FLEET_RETRY_AFTER_S)
