"""State of one instance, shared by its controllers."""

import collections
import dataclasses

from fescuequay_core.config import Group, Service, Text
from fescuequay_core.events import Member
from fescuequay_core.fleet import FleetRecord, Leader
from fescuequay_core.messages import Heartbeat
from fescuequay_core.requests import Request, TargetStatus
from fescuequay_core.settings import Identity, Timing
from fescuequay_core.tokens import Session
from fescuequay_core.types import (
    GroupId,
    InstanceId,
    Instant,
    OrganisationId,
    Position,
    RequestId,
    SeatId,
    ServiceId,
    TargetId,
    Term,
    TransactionId,
)

#: Primary positions kept for each group, from which the age of replica data is computed.
_MAX_POSITIONS = 64


@dataclasses.dataclass(slots=True)
class TargetView:
    """What this instance knows of one target.

    :param status: Latest status.
    :param seen_at: When that status was requested.
    :param failing_since: Start of the first failed request since the latest status.
    :param is_probing: Whether a status request is under way.
    :param probed_at: When the latest status request was issued.
    :param connections: Connections that this instance may hold.
    :param in_flight: Connections in use by executions and open transactions.
    :param service_time_s: Smoothed duration of one execution.
    """

    status: TargetStatus | None = None
    seen_at: Instant | None = None
    failing_since: Instant | None = None
    is_probing: bool = False
    probed_at: Instant = float('-inf')
    connections: int = 0
    in_flight: int = 0
    service_time_s: float = 0.005


@dataclasses.dataclass(slots=True)
class PeerView:
    """What this instance knows of one other instance.

    :param heartbeat: Latest heartbeat.
    :param heard_at: When it arrived.
    :param failing_since: First failed message since that heartbeat.
    """

    heartbeat: Heartbeat
    heard_at: Instant
    failing_since: Instant | None = None


@dataclasses.dataclass(slots=True)
class Pending:
    """One admitted request that has not been answered yet.

    :param request: The request.
    :param organisation: Organisation that it is charged to.
    :param service: Service that answers it.
    :param group: Group that answers it.
    :param session: Session as the caller sent it.
    :param arrived_at: When it arrived.
    :param is_read: Whether it runs read-only.
    :param target: Target that executes it.
    :param term: Term in which it was sent.
    :param dispatched_at: When it was sent to the target.
    :param tries: Number of executions so far.
    """

    request: Request
    organisation: OrganisationId
    service: ServiceId
    group: GroupId
    session: Session
    arrived_at: Instant
    is_read: bool
    target: TargetId | None = None
    term: Term | None = None
    dispatched_at: Instant | None = None
    tries: int = 0


@dataclasses.dataclass(slots=True)
class Transaction:
    """One interactive transaction, bound to one connection of this instance.

    :param transaction: Id of the transaction.
    :param organisation: Organisation that opened it.
    :param group: Group that it runs in.
    :param target: Target that it runs at.
    :param term: Term in which it began.
    :param is_read: Whether it is read-only.
    :param is_busy: Whether a statement of it is executing.
    :param used_at: When its last statement ended.
    :param session: Session at its beginning.
    """

    transaction: TransactionId
    organisation: OrganisationId
    group: GroupId
    target: TargetId
    term: Term
    is_read: bool
    is_busy: bool
    used_at: Instant
    session: Session


class Blackboard:
    """Shared state, through which the controllers exchange what they know.

    The fleet controller owns the record and the text, the targets controller the views of targets,
    the membership controller the peers, and the admission controller the requests.

    :param identity: Id, data centre and addresses of this instance.
    :param timing: Intervals and timeouts.
    :param secrets: Secrets that verify session tokens; the first one signs new ones.
    """

    def __init__(self, identity: Identity, timing: Timing, secrets: tuple[bytes, ...]) -> None:
        self.identity = identity
        self.timing = timing
        self.secrets = secrets
        self.record = FleetRecord()
        self.confirmed_at: Instant | None = None
        # The latest confirmation that a peer reported; it bounds the age of the record but grants no permit.
        self.peer_confirmed_at: Instant | None = None
        self.text: Text | None = None
        self.text_number = 0
        self.text_adopted_at: Instant = float('-inf')
        # When this instance left a text under which others may still acknowledge writes of the group by permit.
        self.permit_policy_ended_at: dict[GroupId, Instant] = {}
        self.is_stopping = False
        self.seat: SeatId | None = None
        self.has_main_share = False
        self.has_floor_share = False
        self.targets_by_id: dict[TargetId, TargetView] = {}
        self.hosted_groups: dict[GroupId, Group] = {}
        self.used_at_by_group: dict[GroupId, Instant] = {}
        self.host_seats_by_group: dict[GroupId, frozenset[SeatId]] = {}
        self.positions_by_group: dict[GroupId, collections.deque[tuple[Instant, Position]]] = {}
        self.peers_by_id: dict[InstanceId, PeerView] = {}
        self.members_by_id: dict[InstanceId, Member] = {}
        self.requests_by_id: dict[RequestId, Pending] = {}
        self.transactions_by_id: dict[TransactionId, Transaction] = {}

    @property
    def instance(self) -> InstanceId:
        """:returns: The id of this instance."""
        return InstanceId(self.identity.instance)

    def view_of(self, target: TargetId) -> TargetView:
        """:returns: The view of a target, created empty on first use."""
        return self.targets_by_id.setdefault(target, TargetView())

    def leader_of(self, group: GroupId) -> Leader | None:
        """:returns: The leader record of a group, as last read."""
        return self.record.leaders.get(group)

    def group_of(self, group: GroupId) -> Group | None:
        """:returns: The group as the text describes it."""
        return self.text.groups_by_id.get(group) if self.text else None

    def service_of(self, group: GroupId) -> Service | None:
        """:returns: The service of a group."""
        if self.text is None or group not in self.text.service_ids_by_group:
            return None
        return self.text.services[self.text.service_ids_by_group[group]]

    def has_permit(self, now: Instant) -> bool:
        """Check whether this instance holds a permit, a time-limited lease on using the recorded primaries.

        The permit runs from the start of the latest confirming read of the leader records. A promoter waits for
        longer than the length of a permit, by the drift of both clocks.

        :param now: Present time.
        :returns: Whether the permit is still valid.
        """
        if self.confirmed_at is None:
            return False
        return now - self.confirmed_at < self.timing.permit_s

    def view_age_s(self, now: Instant) -> float:
        """:returns: Age of the latest confirmation, by this instance or relayed by a peer."""
        latest = max(self.confirmed_at or float('-inf'), self.peer_confirmed_at or float('-inf'))
        return now - latest

    def record_position(self, group: GroupId, seen_at: Instant, position: Position) -> None:
        """Record the log position of the primary of a group.

        :param group: The group.
        :param seen_at: When the status of the primary was requested.
        :param position: Log position in that status.
        """
        positions = self.positions_by_group.setdefault(group, collections.deque(maxlen=_MAX_POSITIONS))
        if positions and positions[-1][0] > seen_at:
            return
        if len(positions) > 1 and positions[-1][1] == position and positions[-2][1] == position:
            positions.pop()
        positions.append((seen_at, position))

    def data_age_s(self, group: GroupId, position: Position, now: Instant) -> float:
        """Compute an upper bound of the age of data at a log position.

        :param group: The group.
        :param position: Position that a replica has reached.
        :param now: Present time.
        :returns: Time since the primary was last seen at or before that position.
        """
        for seen_at, seen_position in reversed(self.positions_by_group.get(group, ())):
            if seen_position <= position:
                return now - seen_at
        return float('inf')
