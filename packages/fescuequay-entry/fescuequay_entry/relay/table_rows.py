"""Encoding of the system's own rows: the coordinator lease, leader records and instances."""

import dataclasses
import itertools
from collections.abc import Iterable, Mapping
from typing import Any, Final, TypeVar

import msgspec

from fescuequay_core.decoding import JsonDecoder, UnreadableError
from fescuequay_core.relay import settlement
from fescuequay_core.relay.model import LeaderRecord, LeaseRecord, LeaseRow, MemberRecord
from fescuequay_core.types import InstanceId, Instant, LeaderState
from fescuequay_entry.relay.board import Board, log_event
from fescuequay_entry.relay.ports import TableRow

Record = TypeVar('Record', LeaseRow, LeaderRecord, MemberRecord)

Versioned = TypeVar('Versioned', LeaseRow, LeaderRecord)

_DECODERS_BY_KIND: Final[dict[type, JsonDecoder[Any]]] = {
    kind: JsonDecoder(kind) for kind in (LeaseRow, LeaderRecord, MemberRecord)
}

LEASE_KEY: Final = 'duty'
LEADER_PREFIX: Final = 'leader/'
MEMBER_PREFIX: Final = 'member/'

#: Maximum number of rows that one transaction carries over to a new era or removes; the table's limit is 100 entries.
MAX_BATCH_ROWS: Final = 90


@dataclasses.dataclass(slots=True)
class Rows:
    """The decoded rows of one read of the table.

    :param lease: The coordinator lease.
    :param leaders: The leader records of the services.
    :param members_by_id: The registered instances.
    :param versions_by_member: Row versions of the instances.
    """

    lease: LeaseRow | None = None
    leaders: list[LeaderRecord] = dataclasses.field(default_factory=list)
    members_by_id: dict[InstanceId, MemberRecord] = dataclasses.field(default_factory=dict)
    versions_by_member: dict[InstanceId, int] = dataclasses.field(default_factory=dict)

    @classmethod
    def decode(cls, rows: Iterable[TableRow]) -> 'Rows':
        """:returns: The rows that could be decoded; the others are logged and skipped."""
        found = cls()
        for row in rows:
            if row.key == LEASE_KEY:
                found.lease = _decode(row, LeaseRow)
            elif row.key.startswith(LEADER_PREFIX):
                found.leaders.extend(filter(None, [_decode(row, LeaderRecord)]))
            elif row.key.startswith(MEMBER_PREFIX):
                member = _decode(row, MemberRecord)
                if member is not None:
                    found.members_by_id[member.instance] = member
                    found.versions_by_member[member.instance] = row.version
        return found


def split_batch(rows: Mapping[str, bytes]) -> tuple[dict[str, bytes], dict[str, bytes]]:
    """:returns: As many rows as one transaction takes, and the others."""
    items = tuple(rows.items())
    return dict(items[:MAX_BATCH_ROWS]), dict(items[MAX_BATCH_ROWS:])


def rows_of_new_era(board: Board, left: Iterable[LeaderRecord], now: Instant, *, is_holder: bool) -> dict[str, bytes]:
    """Return the rows with which the lease's next holder settles a new era.

    :param board: The blackboard.
    :param left: Leader records that the table's copy holds.
    :param now: Present time.
    :param is_holder: Whether this instance has held the lease without a break and knows every record.
    :returns: Leader records, then instances, by key.
    """
    leaders = settlement.settle(itertools.chain(left, board.permits.records()), board.permits, now, is_holder=is_holder)
    members = [member for member in board.members_by_id.values() if not member.is_leaving]
    log_event(
        'era_settling',
        era=board.lease.era,
        holds=is_holder,
        since_s=round(now - board.lease.era_seen_at, 3),
        kept=','.join(record.service for record in leaders if record.state is LeaderState.LEADING) or '-',
        in_doubt=','.join(record.service for record in leaders if record.state is LeaderState.CLOSING) or '-',
        members=len(members),
    )
    return {
        **{LEADER_PREFIX + record.service: msgspec.json.encode(record) for record in leaders},
        **{MEMBER_PREFIX + member.instance: msgspec.json.encode(member) for member in members},
    }


def lease_of(row: TableRow | None) -> LeaseRecord | None:
    """:returns: The coordinator lease in a row, without its dates."""
    found = _decode(row, LeaseRow) if row is not None else None
    return found.record() if found is not None else None


def with_version(record: Versioned, version: int) -> Versioned:
    """:returns: A record with the version of its row."""
    return dataclasses.replace(record, version=version)


def _decode(row: TableRow, kind: type[Record]) -> Record | None:
    try:
        record: Record = _DECODERS_BY_KIND[kind].decode(row.content)
    except UnreadableError as error:
        log_event('bad_row', key=row.key, version=row.version, detail=str(error))
        return None
    return record if isinstance(record, MemberRecord) else with_version(record, row.version)
