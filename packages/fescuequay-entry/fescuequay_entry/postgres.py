"""Driver for targets that speak the PostgreSQL protocol, based on psycopg."""

import asyncio
import contextlib
import os
import re
from collections.abc import Iterator
from typing import Any, Final

import msgspec
import psycopg
from psycopg import generators, pq, waiting

from fescuequay_core.requests import ResultSet, Statement, TargetStatus
from fescuequay_core.types import Position, Role, Term
from fescuequay_entry.config import split_address
from fescuequay_entry.driver import (
    AnswerTooLargeError,
    ConnectError,
    Connection,
    ConnectionLostError,
    Driver,
    Endpoint,
    TargetError,
)

#: Timeout of a cancel request, in seconds.
_CANCEL_TIMEOUT_S: Final = 0.5

#: Both ends use TCP keepalive to detect a connection that a network device between them has dropped, so that it
#: soon stops counting against the target's connection limit. Idle time and interval are in seconds.
_KEEPALIVE_IDLE_S: Final = 2
_KEEPALIVE_INTERVAL_S: Final = 1
_KEEPALIVE_COUNT: Final = 2
_SERVER_KEEPALIVE: Final = (
    f'-c tcp_keepalives_idle={_KEEPALIVE_IDLE_S} -c tcp_keepalives_interval={_KEEPALIVE_INTERVAL_S} '
    f'-c tcp_keepalives_count={_KEEPALIVE_COUNT}'
)

_STATUS_SQL: Final = 'select * from platform_status()'
_FENCE_SQL: Final = 'select * from platform_fence($1)'
_PROMOTE_SQL: Final = 'select platform_promote($1)'

#: SQLSTATE of a write that reached a target other than the primary.
_READ_ONLY_SQLSTATES: Final = frozenset(('25006',))

#: Command tags that leave the session unchanged; any other, such as SET, makes the connection unfit for reuse.
_SESSION_NEUTRAL_TAGS: Final = frozenset(
    ('SELECT', 'INSERT', 'UPDATE', 'DELETE', 'MERGE', 'VALUES', 'CREATE', 'ALTER', 'DROP', 'TRUNCATE', 'COMMENT')
    + ('BEGIN', 'COMMIT', 'ROLLBACK', 'EXPLAIN', 'SHOW', '')
)

#: Functions and temporary objects by which statements with a session-neutral tag change the session.
_SESSION_CHANGES: Final = re.compile(r'set_config|pg_(?:try_)?advisory_lock|temp(?:orary)?\s+(?:table|view)', re.I)

#: SQLSTATEs of texts that PostgreSQL can't hold, and of too many parameters.
_NOT_IN_REPERTOIRE: Final = '22021'
_TOO_MANY_PARAMS: Final = '54023'

#: Most parameters of a statement; their number has 16 bits in a message.
_MAX_PARAMS: Final = 65_535

_INTEGER_OIDS: Final = frozenset((20, 21, 23, 26))
_FLOAT_OIDS: Final = frozenset((700, 701))
_BOOL_OID: Final = 16
_JSON_OIDS: Final = frozenset((114, 3802))

#: Encodes decimal numbers with the digits that the caller wrote.
_ENCODER: Final = msgspec.json.Encoder(decimal_format='number')

_TYPE_NAMES: Final = {
    16: 'bool',
    17: 'bytea',
    20: 'int8',
    21: 'int2',
    23: 'int4',
    25: 'text',
    114: 'json',
    700: 'float4',
    701: 'float8',
    1043: 'varchar',
    1082: 'date',
    1114: 'timestamp',
    1184: 'timestamptz',
    1700: 'numeric',
    2950: 'uuid',
    3802: 'jsonb',
}

_SUCCESS_STATUSES: Final = frozenset((pq.ExecStatus.TUPLES_OK, pq.ExecStatus.COMMAND_OK, pq.ExecStatus.EMPTY_QUERY))


class PostgresConnection(Connection):
    """One PostgreSQL connection; parameters are sent as text and the target infers their types.

    :param raw: Open connection of psycopg.
    :param endpoint: Endpoint with which it was opened.
    """

    def __init__(self, raw: psycopg.AsyncConnection[Any], endpoint: Endpoint) -> None:
        self._raw = raw
        self._endpoint = endpoint
        self._is_tainted = False
        self._is_read_only = False
        self._results: list[Any] = []
        self._waiter: asyncio.Future[list[Any]] | None = None
        self._loop = asyncio.get_running_loop()
        # libpq closes its socket when the connection breaks, and the descriptor may then be reused for another
        # connection; a duplicate descriptor remains valid until it is closed here.
        self._socket = os.dup(raw.pgconn.socket)
        self._is_open = True
        self._loop.add_reader(self._socket, self._on_readable)

    async def execute(self, statement: Statement) -> ResultSet:
        """:returns: The rows of one statement."""
        outcome = await self._run(statement.sql, statement.params)
        tag = (outcome.command_status or b'').split(b' ')[0].decode()
        if tag not in _SESSION_NEUTRAL_TAGS or _SESSION_CHANGES.search(statement.sql):
            self._is_tainted = True
        return ResultSet(self._encode_answer(outcome), tag)

    async def set_read_only(self, *, is_read_only: bool) -> None:
        """Make the target reject writes on this connection, or accept them again."""
        await self._run(f'set default_transaction_read_only = {"on" if is_read_only else "off"}', ())
        self._is_read_only = is_read_only

    async def status(self) -> TargetStatus:
        """:returns: The status that the target reports."""
        return _decode_status(await self._run(_STATUS_SQL, ()))

    async def fence(self, term: Term) -> TargetStatus:
        """:returns: The target's status after the fence."""
        return _decode_status(await self._run(_FENCE_SQL, (term,)))

    async def promote(self, term: Term) -> Position:
        """:returns: The log position at which the term starts."""
        outcome = await self._run(_PROMOTE_SQL, (term,))
        return Position(int(outcome.get_value(0, 0) or 0))

    @property
    def is_clean(self) -> bool:
        """:returns: Whether no transaction is open and the session is unchanged."""
        pgconn = self._raw.pgconn
        is_idle = pgconn.status == pq.ConnStatus.OK and pgconn.transaction_status == pq.TransactionStatus.IDLE
        return is_idle and not self._is_tainted

    @property
    def is_read_only(self) -> bool:
        """:returns: Whether the target rejects writes on this connection."""
        return self._is_read_only

    @property
    def is_transaction_intact(self) -> bool:
        """:returns: Whether the transaction begun by this instance is still open and the session unchanged."""
        return self._raw.pgconn.transaction_status == pq.TransactionStatus.INTRANS and not self._is_tainted

    async def cancel(self) -> None:
        """Request that the target cancels the running statement; best effort."""
        with contextlib.suppress(psycopg.Error, OSError):
            await self._raw.cancel_safe(timeout=_CANCEL_TIMEOUT_S)

    def close(self) -> None:
        """Close the connection at once."""
        if not self._is_open:
            return
        self._is_open = False
        self._loop.remove_reader(self._socket)
        os.close(self._socket)
        self._raw.pgconn.finish()

    async def _run(self, sql: str, params: tuple[object, ...]) -> Any:
        pgconn = self._raw.pgconn
        if pgconn.status != pq.ConnStatus.OK:
            raise ConnectionLostError('the connection is closed')
        command, arguments = _encode_statement(sql, params)
        # Mark the connection as unfit for reuse until the answer is complete.
        was_tainted, self._is_tainted = self._is_tainted, True
        try:
            pgconn.send_query_params(command, arguments)
            outcomes = await self._receive_results()
        except (psycopg.Error, OSError) as error:
            raise ConnectionLostError(f'the connection was lost: {error}') from None
        self._is_tainted = was_tainted
        outcome = outcomes[-1]
        if outcome.status not in _SUCCESS_STATUSES:
            raise self._build_error(outcome)
        return outcome

    async def _receive_results(self) -> list[Any]:
        """Wait for the complete answer, using the reader that stays registered for the connection's lifetime.

        A statement that does not fit into the socket's send buffer is sent by psycopg's slower generator.
        """
        pgconn = self._raw.pgconn
        if pgconn.flush():
            self._loop.remove_reader(self._socket)
            outcomes: list[Any] = await waiting.wait_async(generators.execute(pgconn), pgconn.socket)
            self._loop.add_reader(self._socket, self._on_readable)
            return outcomes
        self._results = []
        self._waiter = self._loop.create_future()
        return await self._waiter

    def _on_readable(self) -> None:
        pgconn = self._raw.pgconn
        try:
            pgconn.consume_input()
            is_complete = self._collect_results()
        except psycopg.Error as error:
            self._loop.remove_reader(self._socket)
            self._is_tainted = True
            if self._waiter is not None and not self._waiter.done():
                self._waiter.set_exception(error)
            return
        if is_complete and self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(self._results)

    def _collect_results(self) -> bool:
        pgconn = self._raw.pgconn
        while not pgconn.is_busy():
            answer = pgconn.get_result()
            if answer is None:
                return True
            self._results.append(answer)
        return False

    def _build_error(self, outcome: Any) -> Exception:
        code = (outcome.error_field(pq.DiagnosticField.SQLSTATE) or b'').decode()
        message = (outcome.error_field(pq.DiagnosticField.MESSAGE_PRIMARY) or b'').decode(errors='replace')
        if outcome.status != pq.ExecStatus.FATAL_ERROR or self._raw.pgconn.status != pq.ConnStatus.OK:
            self._is_tainted = True
            return ConnectionLostError(f'the target closed the connection: {message}')
        return TargetError(message, code, is_not_primary=code in _READ_ONLY_SQLSTATES)

    def _encode_answer(self, outcome: Any) -> bytes:
        body = msgspec.json.encode(
            {
                'columns': [_describe_column(outcome, column) for column in range(outcome.nfields)],
                'rows': list(_decode_rows(outcome)),
                'row_count': _row_count(outcome),
            }
        )
        if len(body) > self._endpoint.max_answer_bytes:
            raise AnswerTooLargeError(f'the answer has {len(body)} bytes')
        return body


class PostgresDriver(Driver):
    """Opens connections with psycopg; sends the data centre to the target as part of the application name."""

    async def connect(self, endpoint: Endpoint, timeout_s: float) -> PostgresConnection:
        """:returns: An open connection."""
        host, port = split_address(endpoint.address)
        timeout_ms = int(endpoint.statement_timeout_s * 1000)
        try:
            raw = await asyncio.wait_for(
                psycopg.AsyncConnection.connect(
                    host=host,
                    port=port,
                    user='fescuequay',
                    dbname='fescuequay',
                    application_name=f'fescuequay@{endpoint.data_centre}',
                    options=f'-c statement_timeout={timeout_ms} {_SERVER_KEEPALIVE}',
                    keepalives_idle=_KEEPALIVE_IDLE_S,
                    keepalives_interval=_KEEPALIVE_INTERVAL_S,
                    keepalives_count=_KEEPALIVE_COUNT,
                    sslmode='disable',
                    gssencmode='disable',
                    autocommit=True,
                ),
                timeout_s,
            )
            raw.pgconn.nonblocking = 1
        except (psycopg.Error, OSError, TimeoutError) as error:
            raise ConnectError(f'no connection to {endpoint.address}: {error or "timeout"}') from None
        return PostgresConnection(raw, endpoint)


def _encode_statement(sql: str, params: tuple[object, ...]) -> tuple[bytes, list[bytes | None]]:
    """Encode a statement for the client library, which takes a NUL for the end of a text.

    :param sql: Its text.
    :param params: Its parameters.
    :returns: Text and parameters.
    :raises TargetError: A message can't hold them as a whole; nothing was sent.
    """
    if len(params) > _MAX_PARAMS:
        raise TargetError(f'a statement has at most {_MAX_PARAMS} parameters, not {len(params)}', _TOO_MANY_PARAMS)
    return _encode_text(sql), [_encode_param(value) for value in params]


def _encode_param(value: object) -> bytes | None:
    """Encode a JSON value as the text form of a parameter. :raises TargetError: It has no such form."""
    if value is None:
        return None
    return _encode_text(value) if isinstance(value, str) else _ENCODER.encode(value)


def _encode_text(text: str) -> bytes:
    try:
        raw = text.encode()
    except UnicodeEncodeError:
        raise TargetError('a text with half of a surrogate pair', _NOT_IN_REPERTOIRE) from None
    if b'\0' in raw:
        raise TargetError('a text with a NUL', _NOT_IN_REPERTOIRE)
    return raw


def _decode_status(outcome: Any) -> TargetStatus:
    cells = [(outcome.get_value(0, column) or b'').decode() for column in range(6)]
    return TargetStatus(
        role=Role(cells[0]),
        term=Term(int(cells[1])),
        position=Position(int(cells[2])),
        fence=Term(int(cells[3])),
        replicated=Position(int(cells[4])),
        upstream_age_s=float(cells[5]),
    )


def _describe_column(outcome: Any, column: int) -> dict[str, str]:
    oid = outcome.ftype(column)
    return {'name': outcome.fname(column).decode(), 'type': _TYPE_NAMES.get(oid, str(oid))}


def _decode_rows(outcome: Any) -> Iterator[list[object]]:
    oids = [outcome.ftype(column) for column in range(outcome.nfields)]
    for row in range(outcome.ntuples):
        yield [_decode_cell(oid, outcome.get_value(row, column)) for column, oid in enumerate(oids)]


def _decode_cell(oid: int, raw: bytes | None) -> object:
    """Convert a cell for JSON: numbers keep all digits; numerics and timestamps remain text as sent by the target."""
    if raw is None:
        return None
    if oid in _INTEGER_OIDS or oid in _JSON_OIDS:
        return msgspec.Raw(raw)
    if oid in _FLOAT_OIDS:
        text = raw.decode()
        return text if text.strip('-') in {'NaN', 'Infinity'} else float(text)
    if oid == _BOOL_OID:
        return raw == b't'
    return raw.decode()


def _row_count(outcome: Any) -> int:
    return int(outcome.command_tuples or 0) if outcome.command_tuples is not None else outcome.ntuples
