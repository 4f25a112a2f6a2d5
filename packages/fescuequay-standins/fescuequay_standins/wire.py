"""The server side of the PostgreSQL protocol, limited to what the client library uses."""

import asyncio
import contextlib
import re
import sqlite3
import struct
import time
from collections.abc import Iterator
from typing import TYPE_CHECKING, Final

from fescuequay_standins.database import Rows, SqlError, Statement, execute, is_read

if TYPE_CHECKING:
    from fescuequay_standins.group import Member

_SSL_REQUEST: Final = 80877103
_GSS_REQUEST: Final = 80877104
_CANCEL_REQUEST: Final = 80877102

_OIDS: Final = {
    'int8': 20,
    'float8': 701,
    'text': 25,
    'bytea': 17,
    'numeric': 1700,
    'timestamptz': 1184,
    'bool': 16,
    'jsonb': 3802,
}

#: By default Linux sends the first keepalive probe after two hours.
_DEFAULT_KEEPALIVE_S: Final = 7200.0

_PARAMETERS: Final = {
    'server_version': '16.0',
    'server_encoding': 'UTF8',
    'client_encoding': 'UTF8',
    'standard_conforming_strings': 'on',
    'integer_datetimes': 'on',
    'DateStyle': 'ISO, MDY',
    'TimeZone': 'UTC',
}


class WireSession:
    """One client connection.

    The writes of an open transaction are buffered and appended to the member's log at commit.

    :param member: The member that serves the connection.
    :param reader: Bytes from the client.
    :param writer: Bytes to the client.
    """

    def __init__(self, member: 'Member', reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._member = member
        self._reader = reader
        self._writer = writer
        self._connection: sqlite3.Connection | None = None
        self._connection_generation: object = None
        self._statement = Statement('', ())
        self._rows: Rows | None = None
        self._unlogged_writes: list[Statement] = []
        self._in_transaction = False
        self._is_failed = False
        self._holds_lock = False
        self._skip_to_sync = False
        self._is_read_only = False
        self._keepalive_s = _DEFAULT_KEEPALIVE_S
        self.data_centre = ''
        self.is_silent = False

    async def run(self) -> None:
        """Serve until the client disconnects."""
        try:
            if await self._start():
                await self._serve()
        except (asyncio.IncompleteReadError, ConnectionError):
            # On a silent connection the server does not notice that the client has disconnected.
            if self.is_silent:
                with contextlib.suppress(ConnectionError):
                    await self._wait_while_silent()
            return
        finally:
            self._rollback()
            if self._connection is not None:
                self._connection.close()
            self._writer.close()

    def abort(self) -> None:
        """Abort the connection at once, as in a crash."""
        transport = self._writer.transport
        if transport is not None:
            transport.abort()

    async def _start(self) -> bool:
        while True:
            (length,) = struct.unpack('!i', await self._reader.readexactly(4))
            body = await self._reader.readexactly(length - 4)
            (code,) = struct.unpack('!i', body[:4])
            if code in {_SSL_REQUEST, _GSS_REQUEST}:
                self._writer.write(b'N')
                continue
            if code == _CANCEL_REQUEST:
                return False
            break
        texts = body[4:].split(b'\0')
        options = dict(zip(texts[::2], texts[1::2], strict=False))
        self._member.seen_options.append(options)
        self._keepalive_s = _parse_keepalive_s(options.get(b'options', b'').decode())
        self.data_centre = options.get(b'application_name', b'').decode().rpartition('@')[2]
        await self._wait_while_silent()
        self._send(b'R', struct.pack('!i', 0))
        for name, text in _PARAMETERS.items():
            self._send(b'S', f'{name}\0{text}\0'.encode())
        self._send(b'K', struct.pack('!ii', 1, 1))
        self._send_ready_for_query()
        await self._writer.drain()
        return True

    async def _wait_while_silent(self) -> None:
        """Wait as long as a fault suppresses answers on this connection."""
        silent_since = time.monotonic()
        while self.is_silent or self._member.is_cut_from(self.data_centre):
            # The server's own keepalive probes go unanswered, so it drops the connection.
            if time.monotonic() - silent_since > self._keepalive_s:
                raise ConnectionResetError
            await asyncio.sleep(0.02)

    async def _serve(self) -> None:
        while True:
            kind = await self._reader.readexactly(1)
            (length,) = struct.unpack('!i', await self._reader.readexactly(4))
            body = await self._reader.readexactly(length - 4)
            await self._wait_while_silent()
            if kind == b'X' and not self.is_silent:
                return
            await self._handle_message(kind, body)
            await self._wait_while_silent()
            if kind in {b'S', b'Q'}:
                await self._writer.drain()

    async def _handle_message(self, kind: bytes, body: bytes) -> None:
        if kind == b'S':
            self._skip_to_sync = False
            self._send_ready_for_query()
            return
        if self._skip_to_sync:
            return
        try:
            await self._dispatch(kind, body)
        except SqlError as error:
            self._send_error(error)
            self._is_failed = self._in_transaction
            self._skip_to_sync = kind != b'Q'
            if kind == b'Q':
                self._send_ready_for_query()

    async def _dispatch(self, kind: bytes, body: bytes) -> None:
        if kind == b'Q':
            await self._run_simple_query(body)
        elif kind == b'P':
            self._statement = Statement(body.split(b'\0')[1].decode(), ())
            self._send(b'1', b'')
        elif kind == b'B':
            self._statement = Statement(self._statement.sql, tuple(_decode_params(body)))
            self._rows = await self._run_statement(self._statement)
            self._send(b'2', b'')
        elif kind == b'D':
            self._send_row_description()
        elif kind == b'E':
            self._send_rows()

    async def _run_simple_query(self, body: bytes) -> None:
        self._rows = await self._run_statement(Statement(body.rstrip(b'\0').decode(), ()))
        if self._rows.names:
            self._send_row_description()
        self._send_rows()
        self._send_ready_for_query()

    async def _run_statement(self, statement: Statement) -> Rows:
        rows = self._member.run_group_function(statement)
        return await self._run_ordinary(statement) if rows is None else rows

    async def _execute(self, statement: Statement) -> Rows:
        """Run a statement in a slot; an earlier wait for the write lock does not occupy one."""
        await self._member.occupy_slot()
        try:
            return execute(self._current_connection(), statement)
        finally:
            self._member.release_slot()

    async def _run_ordinary(self, statement: Statement) -> Rows:
        words = statement.sql.strip().rstrip(';').lower()
        if words.startswith('begin'):
            return await self._begin(is_read_only=self._is_read_only or 'read only' in words)
        if words == 'commit':
            return self._commit()
        if words == 'rollback':
            self._rollback()
            return Rows('ROLLBACK')
        if words.startswith('set default_transaction_read_only'):
            self._is_read_only = words.endswith('on')
        if words.startswith('set '):
            return Rows('SET')
        if self._is_failed:
            raise SqlError('25P02', 'current transaction is aborted, commands ignored until end of transaction block')
        if self._in_transaction:
            rows = await self._execute(statement)
            if not is_read(statement.sql):
                self._unlogged_writes.append(statement)
            return rows
        return await self._autocommit(statement)

    async def _autocommit(self, statement: Statement) -> Rows:
        if is_read(statement.sql):
            return await self._execute(statement)
        if self._is_read_only:
            raise SqlError('25006', 'cannot execute a write in a read-only transaction')
        await self._begin(is_read_only=False)
        try:
            rows = await self._execute(statement)
        except SqlError:
            self._rollback()
            raise
        self._unlogged_writes.append(statement)
        self._commit()
        return rows

    async def _begin(self, *, is_read_only: bool) -> Rows:
        if not is_read_only:
            self._require_primary()
            await self._member.database.write_lock.acquire()
            self._holds_lock = True
        session = self._current_connection()
        session.execute(f'pragma query_only={"on" if is_read_only else "off"}')
        session.execute('begin' if is_read_only else 'begin immediate')
        self._in_transaction = True
        return Rows('BEGIN')

    def _commit(self) -> Rows:
        if self._is_failed:
            self._rollback()
            return Rows('ROLLBACK')
        if self._holds_lock and self._unlogged_writes:
            try:
                self._require_primary()
            except SqlError:
                self._rollback()
                raise
        if self._in_transaction:
            self._current_connection().execute('commit')
        if self._unlogged_writes:
            self._member.database.append(tuple(self._unlogged_writes), self._member.now())
        self._end_transaction()
        return Rows('COMMIT')

    def _rollback(self) -> None:
        if self._in_transaction and self._connection is not None:
            with contextlib.suppress(sqlite3.Error):
                self._connection.execute('rollback')
        self._end_transaction()

    def _end_transaction(self) -> None:
        self._in_transaction = False
        self._is_failed = False
        self._unlogged_writes = []
        if self._connection is not None:
            self._connection.execute('pragma query_only=off')
        if self._holds_lock:
            self._holds_lock = False
            self._member.database.write_lock.release()

    def _require_primary(self) -> None:
        if not self._member.database.is_primary:
            raise SqlError('25006', 'cannot execute a write in a read-only transaction: not the primary')

    def _current_connection(self) -> sqlite3.Connection:
        # A database that was rewound has new data files.
        if self._connection is None or self._connection_generation is not self._member.data_generation():
            if self._connection is not None:
                self._connection.close()
            self._connection = self._member.database.connect()
            self._connection_generation = self._member.data_generation()
        return self._connection

    def _send_row_description(self) -> None:
        rows = self._rows
        if rows is None or not rows.names:
            self._send(b'n', b'')
            return
        parts = [struct.pack('!h', len(rows.names))]
        for name, kind in zip(rows.names, rows.types, strict=True):
            parts.append(name.encode() + b'\0' + struct.pack('!ihihih', 0, 0, _OIDS[kind], -1, -1, 0))
        self._send(b'T', b''.join(parts))

    def _send_rows(self) -> None:
        rows = self._rows or Rows('')
        for row in rows.rows:
            parts = [struct.pack('!h', len(row))]
            for kind, cell in zip(rows.types, row, strict=True):
                raw = _encode_cell(kind, cell)
                parts.append(struct.pack('!i', -1) if raw is None else struct.pack('!i', len(raw)) + raw)
            self._send(b'D', b''.join(parts))
        self._send(b'C', rows.tag.encode() + b'\0')

    def _send_error(self, error: SqlError) -> None:
        fields = f'SERROR\0VERROR\0C{error.code}\0M{error}\0\0'
        self._send(b'E', fields.encode())

    def _send_ready_for_query(self) -> None:
        state = b'I'
        if self._in_transaction:
            state = b'E' if self._is_failed else b'T'
        self._send(b'Z', state)

    def _send(self, kind: bytes, body: bytes) -> None:
        self._writer.write(kind + struct.pack('!i', len(body) + 4) + body)


def _parse_keepalive_s(options: str) -> float:
    """Read the time after which the server drops a silent connection from the client's keepalive options."""
    requested = {name: int(number) for name, number in re.findall(r'tcp_keepalives_(\w+)=(\d+)', options)}
    if set(requested) != {'idle', 'interval', 'count'}:
        return _DEFAULT_KEEPALIVE_S
    return requested['idle'] + requested['interval'] * requested['count']


def _decode_params(body: bytes) -> Iterator[str | None]:
    """Decode the text parameters of a Bind message; the product sends no other format."""
    offset = body.index(b'\0') + 1
    offset = body.index(b'\0', offset) + 1
    (formats,) = struct.unpack_from('!H', body, offset)
    offset += 2 + 2 * formats
    (count,) = struct.unpack_from('!H', body, offset)
    offset += 2
    for _ in range(count):
        (length,) = struct.unpack_from('!i', body, offset)
        offset += 4
        if length < 0:
            yield None
            continue
        yield body[offset : offset + length].decode()
        offset += length


def _encode_cell(kind: str, cell: object) -> bytes | None:
    if cell is None:
        return None
    if kind == 'bool':
        return b't' if str(cell).lower() in {'1', 't', 'true'} else b'f'
    if isinstance(cell, bytes):
        return b'\\x' + cell.hex().encode()
    return str(cell).encode()
