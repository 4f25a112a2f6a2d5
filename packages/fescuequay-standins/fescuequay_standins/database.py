"""Stand-in for one database of a group: a log, a term and a fence, with its data in sqlite3."""

import asyncio
import dataclasses
import pathlib
import re
import sqlite3
from collections.abc import Iterator
from typing import Final

_READ_KEYWORDS: Final = frozenset(('select', 'values', 'with', 'explain', 'show'))
_DDL_NUMERIC: Final = re.compile(r'\b(?:numeric|decimal)\b(?:\s*\([^)]*\))?', re.IGNORECASE)
_BUSY_TIMEOUT_S: Final = 1.0


class SqlError(Exception):
    """An error that is reported to the client.

    :param code: SQLSTATE.
    :param message: Error message.
    """

    def __init__(self, code: str, message: str) -> None:
        super().__init__(message)
        self.code = code


@dataclasses.dataclass(frozen=True, slots=True)
class Statement:
    """One statement of a logged transaction."""

    sql: str
    params: tuple[str | None, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """One committed transaction; its position is its index in the log, counted from 1."""

    term: int
    statements: tuple[Statement, ...]
    committed_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Rows:
    """Result of one statement."""

    tag: str
    names: tuple[str, ...] = ()
    types: tuple[str, ...] = ()
    rows: tuple[tuple[object, ...], ...] = ()


class Database:
    """One member of a group.

    Of its group it knows only the size and the positions that replicas confirmed; the group replicates its log.

    :param name: Id of the target.
    :param folder: Folder of its data files.
    :param is_primary: Whether it starts as the primary.
    """

    def __init__(self, name: str, folder: pathlib.Path, *, is_primary: bool) -> None:
        self.name = name
        self.term = 1
        self.fence = 1
        self.is_primary = is_primary
        self.leads_timeline = is_primary
        self.log: list[Entry] = []
        self.heard_upstream_at = 0.0
        self.acked_by_replica: dict[str, int] = {}
        self.member_count = 1
        self.changed = asyncio.Event()
        self.write_lock = asyncio.Lock()
        self._folder = folder
        self._generation = 0
        self._applier = self._open()

    @property
    def position(self) -> int:
        """:returns: Position of the last log entry."""
        return len(self.log)

    @property
    def replicated(self) -> int:
        """:returns: Position that a majority of the group holds, as far as this primary knows."""
        needed = self.member_count // 2
        if needed == 0:
            return self.position
        acked = sorted(self.acked_by_replica.values(), reverse=True)
        return acked[needed - 1] if len(acked) >= needed else 0

    def connect(self) -> sqlite3.Connection:
        """:returns: A new sqlite3 connection to the data."""
        return self._open()

    def set_fence(self, term: int) -> None:
        """Reject writes and log entries of terms below the fence.

        :param term: The fence.
        :raises SqlError: if a higher fence is already set.
        """
        if term < self.fence:
            raise SqlError('55000', f'{self.name} is fenced at term {self.fence}')
        self.fence = term
        if self.is_primary and term > self.term:
            self.is_primary = False

    def promote(self, term: int) -> int:
        """Become the primary of a term.

        :param term: The term, which must equal the fence.
        :returns: Position at which the term starts.
        :raises SqlError: if the fence differs, or the term is not newer than the current one.
        """
        if self.is_primary and self.term == term:
            return self._start_position(term)
        if term != self.fence or term <= self.term:
            raise SqlError('55000', f'{self.name} is fenced at term {self.fence}, not {term}')
        self.term = term
        self.is_primary = True
        self.leads_timeline = True
        self.acked_by_replica = {}
        return self.position

    def append(self, statements: tuple[Statement, ...], now: float) -> None:
        """Log a transaction that was just committed."""
        self.log.append(Entry(self.term, statements, now))
        self.changed.set()

    def follow(self, upstream: 'Database', position: int, now: float) -> None:
        """Copy the log of another member up to a position, and discard own entries that it does not have.

        :param upstream: Member that leads its timeline.
        :param position: Last position to copy.
        :param now: Current monotonic time, in seconds.
        """
        self.heard_upstream_at = now
        common = self._common_length(upstream.log)
        if common < self.position:
            self._rewind(upstream.log[:common])
        for entry in upstream.log[self.position : position]:
            self._apply(entry)
        if upstream.term > self.term:
            self.term = upstream.term
            self.fence = max(self.fence, upstream.term)
            self.leads_timeline = False
        upstream.acked_by_replica[self.name] = self.position

    def _common_length(self, log: list[Entry]) -> int:
        upper = min(len(self.log), len(log))
        while upper and self.log[upper - 1] is not log[upper - 1]:
            upper -= 1
        return upper

    def _rewind(self, entries: list[Entry]) -> None:
        self._generation += 1
        self._applier.close()
        self._applier = self._open()
        self.log = []
        for entry in entries:
            self._apply(entry)

    def _apply(self, entry: Entry) -> None:
        self._applier.execute('begin immediate')
        for statement in entry.statements:
            execute(self._applier, statement)
        self._applier.execute('commit')
        self.log.append(entry)

    def _start_position(self, term: int) -> int:
        return sum(1 for entry in self.log if entry.term < term)

    def _open(self) -> sqlite3.Connection:
        path = self._folder / f'{self.name}-{self._generation}.sqlite'
        connection = sqlite3.connect(path, isolation_level=None, timeout=_BUSY_TIMEOUT_S, cached_statements=64)
        connection.execute('pragma journal_mode=wal')
        connection.execute('pragma synchronous=off')
        return connection


def is_read(sql: str) -> bool:
    """:returns: Whether the first word of a statement is one of a read."""
    words = sql.lstrip(' \n\t(').split(None, 1)
    return bool(words) and words[0].lower() in _READ_KEYWORDS


def execute(connection: sqlite3.Connection, statement: Statement) -> Rows:
    """Run one statement.

    :param connection: Connection to run it on.
    :param statement: The statement; its placeholders are ``$1`` and so on.
    :returns: Its rows.
    :raises SqlError: if sqlite3 rejects it.
    """
    sql = statement.sql
    if sql.lstrip()[:6].lower() in {'create', 'alter '}:
        sql = _DDL_NUMERIC.sub('numeric_text', sql)
    params = {str(number): text for number, text in enumerate(statement.params, start=1)}
    try:
        cursor = connection.execute(sql, params)
        rows = tuple(cursor.fetchall())
    except sqlite3.OperationalError as error:
        raise SqlError('25006' if 'readonly' in str(error) else '42601', str(error)) from None
    except sqlite3.IntegrityError as error:
        raise SqlError('23505', str(error)) from None
    except (sqlite3.Error, sqlite3.Warning) as error:
        raise SqlError('22000', str(error)) from None
    names = tuple(column[0] for column in cursor.description or ())
    return Rows(_command_tag(sql, rows, cursor.rowcount), names, tuple(_column_types(connection, names, rows)), rows)


def _command_tag(sql: str, rows: tuple[tuple[object, ...], ...], changed: int) -> str:
    word = sql.split(None, 1)[0].upper() if sql.split() else ''
    if word in {'SELECT', 'VALUES', 'WITH', 'EXPLAIN'}:
        return f'SELECT {len(rows)}'
    count = max(changed, len(rows), 0)
    if word == 'INSERT':
        return f'INSERT 0 {count}'
    return f'{word} {count}' if word in {'UPDATE', 'DELETE'} else word


def _column_types(
    connection: sqlite3.Connection, names: tuple[str, ...], rows: tuple[tuple[object, ...], ...]
) -> Iterator[str]:
    declared = dict(_declared_types(connection)) if names and rows else {}
    for index, name in enumerate(names):
        values = (row[index] for row in rows if row[index] is not None)
        sample = next(values, None)
        yield declared.get(name) or _infer_type(sample)


def _declared_types(connection: sqlite3.Connection) -> Iterator[tuple[str, str]]:
    """Find types by column name, on the assumption that columns of one name have the same type in every table."""
    known = {'numeric_text': 'numeric', 'timestamptz': 'timestamptz', 'boolean': 'bool', 'jsonb': 'jsonb'}
    for (table,) in connection.execute("select name from sqlite_master where type = 'table'").fetchall():
        for column in connection.execute(f'pragma table_info("{table}")').fetchall():
            kind = known.get(column[2].lower())
            if kind:
                yield column[1], kind


def _infer_type(sample: object) -> str:
    if isinstance(sample, int):
        return 'int8'
    if isinstance(sample, float):
        return 'float8'
    return 'bytea' if isinstance(sample, bytes) else 'text'
