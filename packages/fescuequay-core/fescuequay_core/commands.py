"""Everything that the core can ask its host to do."""

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

    :param etag: Version already held; an unchanged row need not be sent.
    """

    etag: str | None


@dataclasses.dataclass(frozen=True, slots=True)
class WriteFleet(Command):
    """Write the fleet record if the row still has this version.

    :param record: Record to write.
    :param etag: Version that the row must have; nothing when it must not exist.
    :param write_id: Identity of the write.
    """

    record: FleetRecord
    etag: str | None
    write_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class ReadObject(Command):
    """Fetch an object from the object store or, failing that, from a peer.

    :param digest: Name of the object.
    :param peer_addresses: Peers to ask.
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
    :param is_released: Whether the holder gives it back.
    :param floor_free_in_s: Time until an earlier holder has surely lost its floor.
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
    :param address: Its peer listener.
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
    :param address: Its peer listener.
    """

    request: Request
    peer: InstanceId
    address: str


@dataclasses.dataclass(frozen=True, slots=True)
class ProbeTarget(Command):
    """Ask a target for its status.

    :param target: The target.
    :param delay_s: Time to wait first.
    """

    target: TargetId
    delay_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class FenceTarget(Command):
    """Make a target refuse writes and log of earlier terms.

    :param target: The target.
    :param term: The fence.
    """

    target: TargetId
    term: Term


@dataclasses.dataclass(frozen=True, slots=True)
class PromoteTarget(Command):
    """Make a fenced target lead.

    :param target: The target.
    :param term: Term in which it leads.
    """

    target: TargetId
    term: Term


@dataclasses.dataclass(frozen=True, slots=True)
class SizePool(Command):
    """Set how many connections this instance may hold to a target.

    :param target: The target.
    :param address: Its listener.
    :param connections: Largest number; 0 closes the pool.
    :param statement_timeout_s: Longest run of one statement.
    """

    target: TargetId
    address: str
    connections: int
    statement_timeout_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Execute(Command):
    """Run a request at a target.

    :param request: The request.
    :param target: The target.
    :param is_read_only: Whether the target must refuse writes.
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
    """Give a caller the final answer.

    :param answer: The answer.
    """

    answer: Answer


@dataclasses.dataclass(frozen=True, slots=True)
class Incident(Command):
    """Something worth a log line and a place in the instance's memory.

    :param name: What happened, such as ``promotion_published``.
    :param subject: Request, group, organisation or instance concerned.
    :param cause: Why.
    :param details: Further values for the log line.
    """

    name: str
    subject: str
    cause: str
    details: tuple[tuple[str, str], ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Stopped(Command):
    """Nothing is in flight any more; the process may end."""
