"""The one record that the whole fleet agrees on, and the changes that may be made to it."""

import abc
import dataclasses
from typing import Final

import msgspec

from fescuequay_core.exceptions import MessageError
from fescuequay_core.types import Digest, GroupId, InstanceId, LeaderState, Position, TargetId, Term

#: Term starts kept for each group; sessions older than that are checked at the primary.
MAX_STARTS: Final = 16

#: Identities of the latest writes kept in the record, so that a writer whose answer was lost finds its own.
MAX_WRITE_IDS: Final = 64

#: Applied texts kept in the record for ``fescuequayctl history``.
MAX_HISTORY: Final = 32


class TermStart(msgspec.Struct, frozen=True, array_like=True):
    """Position at which a term began.

    :param term: The term.
    :param position: Last position of the terms before it.
    """

    term: Term
    position: Position


class Leader(msgspec.Struct, frozen=True):
    """Who leads one group, or who is about to make a target lead.

    :param term: Latest term that has led.
    :param target: Target that leads or led in that term.
    :param state: Whether the term still runs.
    :param next_term: Term of the promotion under way.
    :param promoter: Instance that carries out the promotion.
    :param successor: Target that a planned move asks for.
    :param named: Primary that the text named when the record was made; a later edit asks for a move.
    :param cause: Why the latest change was made.
    :param starts: Starts of the latest terms, oldest first.
    """

    term: Term
    target: TargetId
    state: LeaderState = LeaderState.LEADING
    next_term: Term = Term(0)
    promoter: InstanceId | None = None
    successor: TargetId | None = None
    named: TargetId | None = None
    cause: str = ''
    starts: tuple[TermStart, ...] = ()

    def end_of(self, term: Term) -> Position | None:
        """Find where a term ended.

        :param term: A term, at most the present one.
        :returns: The last position of the term that survived, or nothing while it runs or is unknown.
        """
        return min((start.position for start in self.starts if start.term > term), default=None)


class Applied(msgspec.Struct, frozen=True):
    """One applied text.

    :param number: Consecutive number of the text, from 1.
    :param digest: SHA-256 of the text; its name in the object store.
    :param author: Who applied it.
    :param applied_at: Time of the platform, in seconds since 1970.
    """

    number: int
    digest: Digest
    author: str
    applied_at: float


class FleetRecord(msgspec.Struct, frozen=True):
    """Everything that changes for the fleet as a whole.

    Confirming this row confirms the text, the keys and every leader at once.

    :param version: Grows by one with each change.
    :param text: The text in force, if any was applied.
    :param leaders: Leaders by group.
    :param history: Earlier texts, newest first.
    :param write_ids: Identities of the latest writes, newest last.
    """

    version: int = 0
    text: Applied | None = None
    leaders: dict[GroupId, Leader] = {}
    history: tuple[Applied, ...] = ()
    write_ids: tuple[str, ...] = ()


class Proposal(abc.ABC):
    """A change to the record; collaborates with the fleet controller, which writes it."""

    @abc.abstractmethod
    def apply_to(self, record: FleetRecord) -> FleetRecord | None:
        """Make the change.

        :param record: Record to change.
        :returns: The changed record, or nothing when the change no longer applies.
        """


@dataclasses.dataclass(frozen=True, slots=True)
class ApplyText(Proposal):
    """Put a new text in force if the one that the operator read is still in force.

    :param expected: Number of the text that the operator read; 0 for none.
    :param digest: Name of the new text.
    :param author: Who applies it.
    :param applied_at: Time of the platform.
    """

    expected: int
    digest: Digest
    author: str
    applied_at: float

    def apply_to(self, record: FleetRecord) -> FleetRecord | None:
        """:returns: The record with the new text, or nothing when another text won."""
        number = record.text.number if record.text else 0
        if number != self.expected:
            return None
        text = Applied(number + 1, self.digest, self.author, self.applied_at)
        history = (text, *record.history)[:MAX_HISTORY]
        return msgspec.structs.replace(record, text=text, history=history)


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeLeader(Proposal):
    """Replace one leader record if it is still the one that the decision was made on.

    :param group: The group.
    :param expected: Leader record that was read; nothing when there was none.
    :param leader: New leader record.
    """

    group: GroupId
    expected: Leader | None
    leader: Leader

    def apply_to(self, record: FleetRecord) -> FleetRecord | None:
        """:returns: The record with the new leader, or nothing when the group has moved on."""
        if record.leaders.get(self.group) != self.expected:
            return None
        return msgspec.structs.replace(record, leaders={**record.leaders, self.group: self.leader})


def with_write_id(record: FleetRecord, write_id: str) -> FleetRecord:
    """Advance the version of a changed record and sign it with the identity of the write.

    :param record: Changed record that still carries the version it was read at.
    :param write_id: Identity of the write.
    :returns: The record to write.
    """
    return msgspec.structs.replace(
        record, version=record.version + 1, write_ids=(*record.write_ids, write_id)[-MAX_WRITE_IDS:]
    )


def decode_record(raw: bytes) -> FleetRecord:
    """Decode a row of the platform or a part of a peer's message.

    :param raw: JSON.
    :returns: The record.
    :raises MessageError: when it is not a fleet record.
    """
    try:
        return msgspec.json.decode(raw, type=FleetRecord)
    except (msgspec.DecodeError, RecursionError) as error:
        raise MessageError(f'the fleet record does not decode: {error}') from None
