"""The rows of the table's present era, with versions that grow across eras."""

import dataclasses
from collections.abc import Iterable, Mapping, Sequence

from fescuequay_core.relay import eras
from fescuequay_core.types import Era
from fescuequay_entry.relay.board import Board, log_event
from fescuequay_entry.relay.ports import CommitResult, Table, TableError, TableRejected, TableRow


class EraChanged(TableError):
    """The table answered in a later era; a write has changed nothing that counts in that era."""


@dataclasses.dataclass(frozen=True, slots=True)
class EraSnapshot:
    """All rows of the table at one point in time.

    :param rows: Rows of the present era; each version is a stamp.
    :param earlier_rows: Rows that are left of earlier eras, as evidence; each version is a stamp.
    :param leftover_keys: Keys of the latter in the table.
    :param at_s: Time on the table's monotonic clock when it answered, in seconds.
    """

    rows: tuple[TableRow, ...]
    earlier_rows: tuple[TableRow, ...]
    leftover_keys: tuple[str, ...]
    at_s: float


class EraTable:
    """Keeps the rows of each era under keys of their own.

    A write whose conditions were read in an earlier era, or that the table carries out late, can only touch rows of
    that earlier era, whatever versions have been given out again since.

    :param board: The blackboard, which knows the present era.
    :param table: The table.
    """

    def __init__(self, board: Board, table: Table) -> None:
        self._board = board
        self._table = table

    async def read(self) -> EraSnapshot:
        """Read all rows. :raises TableError: There was no answer, or one of an earlier era."""
        snapshot = await self._table.read()
        self._note_era(snapshot.era)
        rows = [(_split(row.key), row) for row in snapshot.rows]
        stamped = [
            (era, TableRow(key, row.content, eras.stamp_of(era, row.version))) for (era, key), row in rows if era >= 0
        ]
        return EraSnapshot(
            tuple(row for era, row in stamped if era == snapshot.era),
            tuple(row for era, row in stamped if era < snapshot.era),
            tuple(row.key for (era, _), row in rows if 0 <= era < snapshot.era),
            snapshot.at_s,
        )

    async def commit(
        self,
        stamps_by_key: Mapping[str, int],
        puts: Mapping[str, bytes],
        deletes: Sequence[str] = (),
        leftover_keys: Iterable[str] = (),
    ) -> CommitResult:
        """Write rows of the present era atomically if the given rows still have the expected versions.

        :param stamps_by_key: Stamp that each of these rows must have; 0 for a row that must not exist.
        :param puts: Contents to write, by key.
        :param deletes: Keys to remove.
        :param leftover_keys: Rows of earlier eras to remove.
        :returns: Whether it was applied; versions are stamps.
        :raises EraChanged: The table is in a later era than was known.
        :raises TableRejected: It was certainly not applied.
        :raises TableError: It may have been applied, or may be applied later if its conditions still hold.
        """
        era = self._board.lease.era
        if era is None:
            raise TableRejected('the era of the table is not known yet')
        outdated = [key for key, stamp in stamps_by_key.items() if stamp and eras.era_of(stamp) != era]
        if outdated:
            raise TableRejected(f'{outdated[0]} was read in an earlier era than {era}')
        result = await self._table.commit(
            {_key(era, key): eras.version_of(stamp) for key, stamp in stamps_by_key.items()},
            {_key(era, key): content for key, content in puts.items()},
            [*(_key(era, key) for key in deletes), *leftover_keys],
        )
        self._note_era(result.era)
        if result.era != era:
            raise EraChanged(f'written in era {era}, answered in era {result.era}')
        return dataclasses.replace(
            result,
            version=eras.stamp_of(era, result.version),
            rows_by_key={
                _split(key)[1]: dataclasses.replace(row, key=_split(key)[1], version=eras.stamp_of(era, row.version))
                for key, row in result.rows_by_key.items()
            },
        )

    def _note_era(self, era: Era) -> None:
        """Note the era of an answer. :raises TableError: The answer is of an earlier era than is known."""
        lease = self._board.lease
        earlier = lease.era
        if earlier is not None and era < earlier:
            raise TableError(f'answer of era {era}, the present one is {earlier}')
        if lease.enter_era(era, self._board.clock()) and earlier is not None:
            holder = lease.record.instance if lease.record is not None else '-'
            log_event('era_changed', era=era, earlier=earlier, holder=holder, holds=lease.holds(self._board.clock()))


def _key(era: Era, key: str) -> str:
    return f'{era}/{key}'


def _split(key: str) -> tuple[Era, str]:
    """:returns: The era and the key within it; era -1 for a row of another writer."""
    number, _, rest = key.partition('/')
    return (Era(int(number)), rest) if number.isdecimal() else (Era(-1), key)
