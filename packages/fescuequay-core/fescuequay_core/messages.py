"""Messages between instances; JSON on the wire."""

from typing import Final

import msgspec

from fescuequay_core.exceptions import MessageError
from fescuequay_core.fleet import FleetRecord
from fescuequay_core.types import InstanceId, ResourceId, SeatId, TargetId


class Heartbeat(msgspec.Struct, frozen=True, tag='heartbeat', omit_defaults=True):
    """Periodic message: who lives, what is in force and how fresh that is.

    :param sender: Instance that sends it.
    :param data_centre: Its data centre.
    :param peer_address: Its peer listener.
    :param fleet_version: Version of the fleet record that it holds.
    :param confirmed_age_s: Age of its latest confirmation at the platform, its own or relayed.
    :param is_leaving: Whether it is stopping.
    :param record: The record itself, when the receiver is thought to hold an older one.
    :param seat: Seat that it holds, if any.
    :param heard_ages_s: Peers that it heard from, with the age of the evidence.
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
    """Wish for a part of one resource.

    :param resource: The resource.
    :param rate_per_s: Wanted refill a second.
    :param units: Wanted capacity.
    """

    resource: ResourceId
    rate_per_s: float
    units: float


class LoanRequest(msgspec.Struct, frozen=True, tag='loan_request'):
    """Request for loans, and for the renewal of running ones.

    :param ask_id: Identity of the request; a lender answers each at most once.
    :param sender: Borrower.
    :param wants: Wishes by resource.
    :param renewals: Ids of loans to renew.
    :param returns: Ids of loans that the borrower has already stopped using.
    """

    ask_id: str
    sender: InstanceId
    wants: tuple[RequestedAmount, ...] = ()
    renewals: tuple[str, ...] = ()
    returns: tuple[str, ...] = ()


class Loan(msgspec.Struct, frozen=True, array_like=True):
    """Part of a resource that a lender gives up for a time.

    :param loan_id: Identity.
    :param resource: The resource.
    :param rate_per_s: Refill a second.
    :param units: Capacity.
    :param tokens: Tokens handed over, at most the capacity.
    """

    loan_id: str
    resource: ResourceId
    rate_per_s: float
    units: float
    tokens: float


class LoanAnswer(msgspec.Struct, frozen=True, tag='loan_answer'):
    """Answer to a loan request.

    :param ask_id: Identity of the request.
    :param sender: Lender.
    :param loans: New loans, each for the agreed length from the sending of the request.
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
    :raises MessageError: when it is not one.
    """
    try:
        return _DECODER.decode(raw)
    except (msgspec.DecodeError, RecursionError) as error:
        raise MessageError(f'the peer message does not decode: {error}') from None


def encode(message: PeerMessage) -> bytes:
    """:returns: The JSON of a message."""
    return msgspec.json.encode(message)
