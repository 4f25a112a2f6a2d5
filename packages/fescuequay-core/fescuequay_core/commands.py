"""Commands of the core, which its host carries out."""

import dataclasses

from fescuequay_core.fleet import FleetRecord
from fescuequay_core.messages import PeerMessage
from fescuequay_core.requests import Answer, Request
from fescuequay_core.types import Digest, InstanceId, SeatId, TargetId, Term, TransactionId


class Command:
    """Base of every command."""

    __slots__ = ()


@dataclasses.dataclass(frozen=True, slots=True)
class ReadFleet(Command):
    """Read the fleet record.

    :param etag: Version that this instance holds; an unchanged row is not sent again.
    """

    etag: str | None


@dataclasses.dataclass(frozen=True, slots=True)
class WriteFleet(Command):
    """Write the fleet record if the row still has this version.

    :param record: Record to write.
    :param etag: Version that the row must have, or nothing when it must not exist.
    :param write_id: Identity of the write.
    """

    record: FleetRecord
    etag: str | None
    write_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class ReadObject(Command):
    """Fetch an object from the object store or, if that fails, from a peer.

    :param digest: Name of the object.
    :param peer_addresses: Peers to try.
    """

    digest: Digest
    peer_addresses: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ReadMembers(Command):
    """Read the platform's instance list."""


@dataclasses.dataclass(frozen=True, slots=True)
class ReadSeats(Command):
    """Read the seats of this data centre."""


@dataclasses.dataclass(frozen=True, slots=True)
class WriteSeat(Command):
    """Claim, renew or release a seat if its row still has this version.

    :param seat: The seat.
    :param holder: Holder to write.
    :param etag: Version that the row must have.
    :param is_released: Whether the holder releases it.
    :param floor_free_in_s: Time until the floor of any earlier holder has expired for certain, in seconds.
    """

    seat: SeatId
    holder: InstanceId
    etag: str | None
    is_released: bool = False
    floor_free_in_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class SendPeer(Command):
    """Send a message to a peer and report its answer.

    :param peer: The peer.
    :param address: Address of its peer listener.
    :param message: The message.
    """

    peer: InstanceId
    address: str
    message: PeerMessage


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerPeer(Command):
    """Answer the message of a peer that is being handled.

    :param message: The answer.
    """

    message: PeerMessage


@dataclasses.dataclass(frozen=True, slots=True)
class Forward(Command):
    """Send an admitted request to the instance that can run it.

    :param request: The request.
    :param peer: That instance.
    :param address: Address of its peer listener.
    """

    request: Request
    peer: InstanceId
    address: str


@dataclasses.dataclass(frozen=True, slots=True)
class ProbeTarget(Command):
    """Request the status of a target.

    :param target: The target.
    :param delay_s: Delay before the request, in seconds.
    """

    target: TargetId
    delay_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class FenceTarget(Command):
    """Make a target reject writes and replicated log of earlier terms.

    :param target: The target.
    :param term: Term of the fence.
    """

    target: TargetId
    term: Term


@dataclasses.dataclass(frozen=True, slots=True)
class PromoteTarget(Command):
    """Promote a fenced target to primary.

    :param target: The target.
    :param term: Term in which it is the primary.
    """

    target: TargetId
    term: Term


@dataclasses.dataclass(frozen=True, slots=True)
class SizePool(Command):
    """Set the number of connections that this instance may hold to a target.

    :param target: The target.
    :param address: Address of its listener.
    :param connections: Maximum number of connections; 0 closes the pool.
    :param statement_timeout_s: Timeout of one statement, in seconds.
    """

    target: TargetId
    address: str
    connections: int
    statement_timeout_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Execute(Command):
    """Execute a request at a target.

    :param request: The request.
    :param target: The target.
    :param is_read_only: Whether the target must reject writes.
    :param transaction: Interactive transaction whose connection is used.
    :param organisation: Organisation that an idempotency record belongs to.
    """

    request: Request
    target: TargetId
    is_read_only: bool
    transaction: TransactionId | None
    organisation: str


@dataclasses.dataclass(frozen=True, slots=True)
class Reply(Command):
    """Send the final answer to a caller.

    :param answer: The answer.
    """

    answer: Answer


@dataclasses.dataclass(frozen=True, slots=True)
class Incident(Command):
    """Log an event and keep it in the journal of the instance.

    :param name: Name of the event, such as ``promotion_began``.
    :param subject: Id of the request, group, organisation or instance concerned.
    :param cause: Cause of the event.
    :param details: Further keys and values of the log line.
    """

    name: str
    subject: str
    cause: str
    details: tuple[tuple[str, str], ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Stopped(Command):
    """Report that the graceful stop has ended and the process may exit."""
