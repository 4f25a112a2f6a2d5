"""Messages between instances; JSON on the wire."""

from typing import Final

import msgspec

from fescuequay_core.exceptions import MessageError
from fescuequay_core.fleet import FleetRecord
from fescuequay_core.types import InstanceId, ResourceId, SeatId, TargetId


class Heartbeat(msgspec.Struct, frozen=True, tag='heartbeat', omit_defaults=True):
    """Periodic message with the state of its sender and the age of its fleet record.

    :param sender: Instance that sends it.
    :param data_centre: Its data centre.
    :param peer_address: Address of its peer listener.
    :param fleet_version: Version of the fleet record that it holds.
    :param confirmed_age_s: Time since the platform confirmed that record as the latest, to the sender or to a peer.
    :param is_leaving: Whether it is stopping.
    :param record: The record itself, if the receiver probably holds an older one.
    :param seat: Seat that it holds, if any.
    :param heard_ages_s: Time since the latest message of each peer that it received messages from.
    :param silent_targets: Primaries that it cannot reach.
    """

    sender: InstanceId
    data_centre: str
    peer_address: str
    fleet_version: int
    confirmed_age_s: float | None
    is_leaving: bool = False
    record: FleetRecord | None = None
    seat: SeatId | None = None
    heard_ages_s: dict[InstanceId, float] = {}
    silent_targets: tuple[TargetId, ...] = ()


class RequestedAmount(msgspec.Struct, frozen=True, array_like=True):
    """Amount of one resource that a borrower requests.

    :param resource: The resource.
    :param rate_per_s: Requested refill per second.
    :param units: Requested capacity.
    """

    resource: ResourceId
    rate_per_s: float
    units: float


class LoanRequest(msgspec.Struct, frozen=True, tag='loan_request'):
    """Request for new loans and for the renewal of existing ones.

    :param ask_id: Id of the request; a lender grants loans for each id at most once.
    :param sender: Borrower.
    :param wants: Requested amounts, one for each resource.
    :param renewals: Ids of loans to renew.
    :param returns: Ids of loans that the borrower has already stopped using.
    """

    ask_id: str
    sender: InstanceId
    wants: tuple[RequestedAmount, ...] = ()
    renewals: tuple[str, ...] = ()
    returns: tuple[str, ...] = ()


class Loan(msgspec.Struct, frozen=True, array_like=True):
    """Share of a resource that a lender hands to a borrower for a limited time.

    :param loan_id: Id of the loan.
    :param resource: The resource.
    :param rate_per_s: Refill per second.
    :param units: Capacity.
    :param tokens: Tokens that come with it, at most the capacity.
    """

    loan_id: str
    resource: ResourceId
    rate_per_s: float
    units: float
    tokens: float


class LoanAnswer(msgspec.Struct, frozen=True, tag='loan_answer'):
    """Answer to a loan request.

    :param ask_id: Id of the request.
    :param sender: Lender.
    :param loans: New loans, whose duration counts from the sending of the request.
    :param renewed: Ids of renewed loans.
    """

    ask_id: str
    sender: InstanceId
    loans: tuple[Loan, ...] = ()
    renewed: tuple[str, ...] = ()


PeerMessage = Heartbeat | LoanRequest | LoanAnswer

_DECODER: Final = msgspec.json.Decoder(PeerMessage)


def decode(raw: bytes) -> PeerMessage:
    """Decode one message.

    :param raw: JSON.
    :returns: The message.
    :raises MessageError: if it cannot be decoded.
    """
    try:
        return _DECODER.decode(raw)
    except (msgspec.DecodeError, RecursionError) as error:
        raise MessageError(f'the peer message cannot be decoded: {error}') from None


def encode(message: PeerMessage) -> bytes:
    """:returns: The JSON of a message."""
    return msgspec.json.encode(message)
