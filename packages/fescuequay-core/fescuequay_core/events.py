"""Events that the host reports to the core."""

import dataclasses
import enum

from fescuequay_core.fleet import FleetRecord
from fescuequay_core.messages import PeerMessage
from fescuequay_core.requests import Answer, Outcome, Request, TargetStatus
from fescuequay_core.types import Digest, InstanceId, Instant, Position, RequestId, SeatId, TargetId, Term


class WriteResult(enum.Enum):
    """Outcome of a conditional write at the platform."""

    ACCEPTED = 'accepted'
    CONFLICT = 'conflict'
    UNKNOWN = 'unknown'


class Event:
    """Base of every event."""

    __slots__ = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Tick(Event):
    """The tick of the host, which drives all timers."""


@dataclasses.dataclass(frozen=True, slots=True)
class FleetRead(Event):
    """The platform answered a read of the fleet record.

    :param started_at: When the read began; the record is confirmed as of then.
    :param etag: Version of the row at the platform.
    :param record: The record, or nothing when it has not changed.
    """

    started_at: Instant
    etag: str | None
    record: FleetRecord | None


@dataclasses.dataclass(frozen=True, slots=True)
class FleetReadFailed(Event):
    """A read of the fleet record failed."""


@dataclasses.dataclass(frozen=True, slots=True)
class FleetWritten(Event):
    """A conditional write of the fleet record ended.

    :param write_id: Identity of the write.
    :param outcome: Outcome of the write.
    :param etag: New version of the row when the write was accepted.
    """

    write_id: str
    outcome: WriteResult
    etag: str | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ObjectRead(Event):
    """A fetch of an object ended.

    :param digest: Name of the object.
    :param raw: Its bytes, already checked against the digest, or nothing when it could not be fetched.
    """

    digest: Digest
    raw: bytes | None


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """One row of the platform's instance list.

    :param instance: The instance.
    :param data_centre: Its data centre.
    :param peer_address: Address of its peer listener.
    :param is_leaving: Whether the platform is about to stop the instance.
    """

    instance: InstanceId
    data_centre: str
    peer_address: str
    is_leaving: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class MembersRead(Event):
    """The platform's instance list was read.

    :param members: Its rows.
    """

    members: tuple[Member, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class PeerMessageReceived(Event):
    """A message from a peer arrived.

    :param message: The message.
    :param sent_at: For an answer, when its request was sent.
    """

    message: PeerMessage
    sent_at: Instant | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class PeerFailed(Event):
    """A peer did not answer a message.

    :param peer: The peer.
    """

    peer: InstanceId


@dataclasses.dataclass(frozen=True, slots=True)
class Seat:
    """One row of the platform that names the holder of a seat.

    :param seat: Id of the seat.
    :param holder: Instance that holds it.
    :param etag: Version of the row.
    :param age_s: Time since the row last changed by the platform's clock, in seconds.
    :param is_released: Whether the holder released it.
    :param floor_free_in_s: Time from the last change until the floor of any earlier holder has expired for
        certain, in seconds.
    """

    seat: SeatId
    holder: InstanceId | None
    etag: str | None
    age_s: float
    is_released: bool = False
    floor_free_in_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class SeatsRead(Event):
    """The seats of this data centre were read.

    :param seats: Their rows.
    """

    seats: tuple[Seat, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class SeatWritten(Event):
    """A conditional write of a seat ended.

    :param seat: The seat.
    :param outcome: Outcome of the write.
    :param etag: New version of the row.
    :param started_at: When the write began; the lease of the seat runs from then.
    """

    seat: SeatId
    outcome: WriteResult
    etag: str | None
    started_at: Instant


@dataclasses.dataclass(frozen=True, slots=True)
class TargetStatusReceived(Event):
    """A target answered a status request.

    :param target: The target.
    :param status: Its status.
    :param started_at: When the status was requested.
    """

    target: TargetId
    status: TargetStatus
    started_at: Instant


@dataclasses.dataclass(frozen=True, slots=True)
class TargetStatusFailed(Event):
    """A status request to a target failed.

    :param target: The target.
    :param started_at: When the status was requested.
    """

    target: TargetId
    started_at: Instant


@dataclasses.dataclass(frozen=True, slots=True)
class Fenced(Event):
    """A fence request ended.

    :param target: The target.
    :param term: Term of the fence.
    :param status: Status after the fence, or nothing when the request failed.
    """

    target: TargetId
    term: Term
    status: TargetStatus | None


@dataclasses.dataclass(frozen=True, slots=True)
class Promoted(Event):
    """A promote request ended.

    :param target: The target.
    :param term: Term in which it should be the primary.
    :param start: Log position at which the term starts, or nothing when the request failed.
    """

    target: TargetId
    term: Term
    start: Position | None


@dataclasses.dataclass(frozen=True, slots=True)
class RequestArrived(Event):
    """A caller sent a request.

    :param request: The request.
    """

    request: Request


@dataclasses.dataclass(frozen=True, slots=True)
class ExecutionEnded(Event):
    """An execution at a target ended.

    :param request_id: The request.
    :param outcome: How it ended.
    """

    request_id: RequestId
    outcome: Outcome


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardEnded(Event):
    """A forwarded request was answered or failed.

    :param request_id: The request.
    :param answer: Answer of the other instance, or nothing when it failed.
    :param may_have_run: Without an answer, whether the other instance may have received the request.
    """

    request_id: RequestId
    answer: Answer | None
    may_have_run: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class StopRequested(Event):
    """A graceful stop of the instance was requested."""
