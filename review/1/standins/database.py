"""Databases of the line protocol: a primary and replicas with logs, terms and transactions."""

import asyncio
import dataclasses
import secrets
from typing import Any

from standins.http import HOST
from standins.record import Record

Position = tuple[int, int]


@dataclasses.dataclass
class _Session:
    tenant: str
    state: str = 'I'
    is_write: bool = False
    writes: list[tuple[str, str, str]] = dataclasses.field(default_factory=list)
    values: dict[str, str] = dataclasses.field(default_factory=dict)
    shapes: dict[str, tuple[str, str]] = dataclasses.field(default_factory=dict)


class Database:
    """One database.

    :param name: Its id.
    :param service: Its service.
    :param zone: Its zone.
    :param record: Gets what it runs.
    :param work_s: Time of each read, write and commit, in seconds.
    """

    def __init__(self, name: str, service: str, zone: str, record: Record, work_s: float = 0.01) -> None:
        self.name = name
        self.service = service
        self.zone = zone
        self.port = 0
        self.is_primary = False
        self.is_running = True
        self.term = 1
        #: Entries of the log: position, item, data and the request that wrote it.
        self.log: list[tuple[Position, str, str, str]] = []
        self.group: Group | None = None
        #: When each of its writes ran, by request.
        self.ran_at: dict[str, float] = {}
        #: Writes that its log had when a read ran, by the request of the read.
        self.seen_by_read: dict[str, frozenset[str]] = {}
        self.is_dark = False
        #: Whether it receives nothing as a replica, and whether it is partitioned from the platform's store.
        self.is_deaf = False
        self.is_cut_off = False
        self._record = record
        self._work_s = work_s
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, HOST, 0, limit=2**21)
        self.port = self._server.sockets[0].getsockname()[1]

    @property
    def position(self) -> Position:
        """:returns: Position of the last entry of its log."""
        return self.log[-1][0] if self.log else (1, 0)

    def entry(self) -> dict[str, Any]:
        """:returns: What it says of itself in the store."""
        return {
            'service': self.service,
            'address': f'{HOST}:{self.port}',
            'zone': self.zone,
            'version': 'v1',
            'slots': 8,
            'state': 'ready',
            'cold_remaining_ms': 0,
            'db_role': 'primary' if self.is_primary else 'replica',
            'born': 1,
            'seq': 1,
        }

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        session: _Session | None = None
        self._writers.add(writer)
        try:
            while line := await reader.readline():
                while self.is_dark:
                    await asyncio.sleep(0.05)
                kind, _, rest = line.decode().rstrip('\r\n').partition(' ')
                if kind == 'BYE':
                    return
                if kind == 'START':
                    service, tenant, *name = rest.split(' ')
                    if service != self.service or name not in ([], [self.name]):
                        writer.write(b'ERROR MISDIRECT another database\r\n')
                        return
                    session = _Session(tenant)
                    writer.write(f'READY I {_text(self.position)}\r\n'.encode())
                    continue
                if session is None or kind != 'QUERY':
                    return
                request, _, text = rest.partition(' ')
                lines = await self._run(session, request, text)
                writer.write(''.join(f'{one}\r\n' for one in lines).encode())
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            return
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _run(self, session: _Session, request: str, text: str) -> list[str]:
        after: Position | None = None
        word, _, rest = text.partition(' ')
        if word == 'AFTER':
            wanted, _, rest = rest.partition(' ')
            term, _, number = wanted.partition('.')
            after = (int(term), int(number))
            word, _, rest = rest.partition(' ')
        if word in {'READ', 'WRITE', 'COMMIT', 'EXECUTE'}:
            await asyncio.sleep(self._work_s)
        if after is not None and self.position < after:
            return self._error(session, 'LAGGING')
        if session.state == 'E' and word not in {'ROLLBACK', 'COMMIT'}:
            return self._error(session, 'MALFORMED')
        return self._statement(session, request, word, rest)

    def _statement(self, session: _Session, request: str, word: str, rest: str) -> list[str]:
        group = self.group
        assert group is not None
        if word == 'STATUS':
            return self._status()
        if word == 'DEMOTE':
            if self.is_primary and self.term < int(rest):
                self.is_primary = False
                group.report(self)
            return self._status()
        if word in {'PAUSE', 'RESUME'}:
            return self._status()
        if word == 'RESET':
            session.values, session.shapes = {}, {}
            return self._done(session)
        if word == 'SET':
            name, _, value = rest.partition(' ')
            session.values[name] = value
            return self._done(session)
        if word == 'PREPARE':
            name, mode, shape = rest.split(' ', 2)
            session.shapes[name] = (mode, shape)
            return self._done(session)
        if word == 'DEALLOC':
            session.shapes.pop(rest, None)
            return self._done(session)
        if word == 'BEGIN':
            if rest != 'READ' and not self.is_primary:
                return self._error(session, 'READONLY')
            session.state, session.is_write, session.writes = 'T', rest != 'READ', []
            return self._done(session)
        if word == 'ROLLBACK':
            session.state = 'I'
            return self._done(session)
        is_lost = session.state == 'T' and session.is_write and not self.is_primary
        if word == 'COMMIT':
            if session.state == 'E' or (is_lost and session.writes):
                session.state = 'I'
                return self._error(session, 'READONLY')
            session.state = 'I'
            for write in session.writes:
                self._append(*write)
            return self._done(session, self._signature(request))
        if word == 'EXECUTE':
            name, _, rest = rest.partition(' ')
            if name not in session.shapes:
                return self._error(session, 'NOSTMT')
            word = session.shapes[name][0]
        if is_lost or (word == 'WRITE' and not self.is_primary):
            return self._error(session, 'READONLY')
        item, _, data = rest.partition(' ')
        if word == 'WRITE':
            if session.state == 'T':
                session.writes.append((item, data, request))
            else:
                self._append(item, data, request)
            return self._done(session, self._signature(request))
        if word == 'READ':
            self.seen_by_read[request] = frozenset(entry[3] for entry in self.log)
            value = next((data for _, name, data, _ in reversed(self.log) if name == item), '')
            self._record.write('read runs', at=self.name, request=request, log=_text(self.position), row=value[:40] or '-')
            return [f'ROW {value}', *self._done(session, self._signature(request))]
        return self._error(session, 'MALFORMED')

    def _append(self, item: str, data: str, request: str) -> None:
        number = self.position[1] + 1
        self.log.append(((self.term, number), item, data, request))
        self.ran_at[request] = self._record.now()
        self._record.write('write runs', at=self.name, request=request, log=_text(self.position), item=item, data=data[:40])

    def _signature(self, request: str) -> str:
        return f'{self.name}.{request}.{secrets.token_hex(4)}'

    def _done(self, session: _Session, signature: str = '-') -> list[str]:
        return [f'DONE {signature}', f'READY {session.state} {_text(self.position)}']

    def _error(self, session: _Session, code: str) -> list[str]:
        session.state = 'E' if session.state != 'I' else 'I'
        return [f'ERROR {code} {self.name}', f'READY {session.state} {_text(self.position)}']

    def _status(self) -> list[str]:
        role = 'primary' if self.is_primary else 'replica'
        row = f'ROW {role} {self.term} {_text(self.position)} 0 0 0 {len(self._writers)}'
        return [row, 'DONE -', f'READY I {_text(self.position)}']


class Group:
    """The databases of one service, and what passes between them.

    :param store: Where they register.
    :param record: Gets what happens.
    :param databases: The databases; the first one leads.
    """

    def __init__(self, store: Any, record: Record, databases: list[Database]) -> None:
        self.databases = databases
        self.by_id = {database.name: database for database in databases}
        self._store = store
        self._record = record
        #: Pairs of databases that can't reach each other.
        self.cuts: set[frozenset[str]] = set()
        #: When promotions took effect, and of which database.
        self.promotions: list[tuple[float, str]] = []
        databases[0].is_primary = True
        for database in databases:
            database.group = self

    async def start(self) -> None:
        """Start and register all databases, and replicate."""
        for database in self.databases:
            await database.start()
            self.report(database)
        self._replicating = asyncio.create_task(self._replicate())

    def report(self, database: Database) -> None:
        """Report the state of a database, unless it can't."""
        if not database.is_cut_off:
            self._store.put('servers', database.name, database.entry())

    def promote(self, database: Database) -> None:
        """Let a database lead the next term."""
        if not database.is_running or database.is_primary:
            return
        database.term = max(one.term for one in self.databases) + 1
        database.is_primary = True
        self.promotions.append((self._record.now(), database.name))
        self._record.write('promotion takes effect', id=database.name, term=database.term, log=_text(database.position))
        self.report(database)

    def set_dark(self, database: Database, is_dark: bool) -> None:
        """Let a database go silent or come back."""
        database.is_dark = is_dark
        database.is_running = not is_dark
        self._record.write('database is dark' if is_dark else 'database is back', id=database.name)

    def cut_off(self, database: Database, expire_after_s: float) -> None:
        """Partition a database from its replicas and from the store, where its entry expires."""
        database.is_cut_off = True
        self.cuts = {frozenset((database.name, other.name)) for other in self.databases if other is not database}
        self._record.write('database is cut off from its replicas and the store', id=database.name)
        asyncio.get_running_loop().call_later(expire_after_s, self._expire, database)

    def heal(self, database: Database) -> None:
        """End the partition of a database."""
        database.is_cut_off = False
        self.cuts = set()
        self._record.write('database is reached again', id=database.name)
        self.report(database)

    def _expire(self, database: Database) -> None:
        if database.is_cut_off:
            self._record.write('entry expires', id=database.name)
            self._store.delete('servers', database.name)

    async def _replicate(self) -> None:
        met_since: dict[str, float] = {}
        while True:
            await asyncio.sleep(0.02)
            leading = [one for one in self.databases if one.is_primary and not one.is_dark]
            for one in leading:
                newer = [other for other in leading if other.term > one.term and self._reach(one, other)]
                if newer:
                    # A former primary gives up a second after it can reach the new one.
                    met_since.setdefault(one.name, self._record.now())
                    if self._record.now() - met_since[one.name] >= 1:
                        one.is_primary = False
                        met_since.pop(one.name)
                        self._record.write('former primary gives up', id=one.name)
                        self.report(one)
                else:
                    met_since.pop(one.name, None)
            for replica in self.databases:
                if replica.is_primary or replica.is_dark or replica.is_deaf:
                    continue
                sources = [one for one in leading if one.term >= replica.term and self._reach(one, replica)]
                if sources:
                    source = max(sources, key=lambda one: one.term)
                    replica.term = source.term
                    replica.log = list(source.log)

    def _reach(self, one: Database, other: Database) -> bool:
        return frozenset((one.name, other.name)) not in self.cuts


def _text(position: Position) -> str:
    return f'{position[0]}.{position[1]}'
