"""The fleet record, which all instances share, and the changes that may be proposed to it."""

import abc
import dataclasses
from typing import Final

import msgspec

from fescuequay_core.exceptions import MessageError
from fescuequay_core.types import Digest, GroupId, InstanceId, LeaderState, Position, TargetId, Term

#: Term starts kept for each group; sessions of older terms are compared with the oldest start that is kept.
MAX_STARTS: Final = 16

#: Identities of the latest writes kept in the record, by which a writer that got no answer finds its own write.
MAX_WRITE_IDS: Final = 64

#: Applied texts kept in the record for ``fescuequayctl history``.
MAX_HISTORY: Final = 32


class TermStart(msgspec.Struct, frozen=True, array_like=True):
    """Log position at which a term began.

    :param term: The term.
    :param position: Last position of the terms before it.
    """

    term: Term
    position: Position


class Leader(msgspec.Struct, frozen=True):
    """The leader of one group and the promotion under way, if any.

    :param term: Latest published term.
    :param target: Primary of that term.
    :param state: Whether the term is running or closing.
    :param next_term: Term of the promotion under way.
    :param promoter: Instance that carries out the promotion.
    :param successor: Target that a planned move should promote.
    :param named: Primary that the text named when the record was made; a later edit requests a planned move.
    :param cause: Cause of the latest change.
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
        :returns: The last position of the term that survived, or nothing while the term runs or its end is unknown.
        """
        return min((start.position for start in self.starts if start.term > term), default=None)


class Applied(msgspec.Struct, frozen=True):
    """One applied text.

    :param number: Consecutive number of the text, from 1.
    :param digest: SHA-256 of the text, which is its name in the object store.
    :param author: Operator who applied it.
    :param applied_at: Time by the platform's clock, in seconds since 1970.
    """

    number: int
    digest: Digest
    author: str
    applied_at: float


class FleetRecord(msgspec.Struct, frozen=True):
    """State that all instances share, stored in one row at the platform.

    A read of this one row confirms the text, the keys and every leader record at once.

    :param version: Increases by one with each change.
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
    """A change to the fleet record, written by the fleet controller."""

    @abc.abstractmethod
    def apply_to(self, record: FleetRecord) -> FleetRecord | None:
        """Apply the change.

        :param record: Record to change.
        :returns: The changed record, or nothing when the change no longer applies.
        """


@dataclasses.dataclass(frozen=True, slots=True)
class ApplyText(Proposal):
    """Puts a new text in force if the one that the operator read is still in force.

    :param expected: Number of the text that the operator read; 0 for none.
    :param digest: Name of the new text.
    :param author: Operator who applies it.
    :param applied_at: Time by the platform's clock.
    """

    expected: int
    digest: Digest
    author: str
    applied_at: float

    def apply_to(self, record: FleetRecord) -> FleetRecord | None:
        """:returns: The record with the new text, or nothing when another text is in force."""
        number = record.text.number if record.text else 0
        if number != self.expected:
            return None
        text = Applied(number + 1, self.digest, self.author, self.applied_at)
        history = (text, *record.history)[:MAX_HISTORY]
        return msgspec.structs.replace(record, text=text, history=history)


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeLeader(Proposal):
    """Replaces a leader record if it is still the one that the decision was based on.

    :param group: The group.
    :param expected: Leader record that was read, or nothing when there was none.
    :param leader: New leader record.
    """

    group: GroupId
    expected: Leader | None
    leader: Leader

    def apply_to(self, record: FleetRecord) -> FleetRecord | None:
        """:returns: The record with the new leader, or nothing when the leader record of the group has changed."""
        if record.leaders.get(self.group) != self.expected:
            return None
        return msgspec.structs.replace(record, leaders={**record.leaders, self.group: self.leader})


def with_write_id(record: FleetRecord, write_id: str) -> FleetRecord:
    """Increment the version of a changed record and add the identity of the write.

    :param record: Changed record that still carries the version it was read at.
    :param write_id: Identity of the write.
    :returns: The record to write.
    """
    return msgspec.structs.replace(
        record, version=record.version + 1, write_ids=(*record.write_ids, write_id)[-MAX_WRITE_IDS:]
    )


def decode_record(raw: bytes) -> FleetRecord:
    """Decode a fleet record from a row of the platform.

    :param raw: JSON.
    :returns: The record.
    :raises MessageError: when it is not a fleet record.
    """
    try:
        return msgspec.json.decode(raw, type=FleetRecord)
    except (msgspec.DecodeError, RecursionError) as error:
        raise MessageError(f'the fleet record does not decode: {error}') from None
