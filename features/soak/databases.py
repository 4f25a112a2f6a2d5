"""Databases of one service on loopback: a primary, its replicas, and the faults that can be injected."""

import asyncio
import contextlib
import dataclasses
import random
import time
from collections.abc import AsyncIterator, Callable
from typing import Final

from features.ports import reserve_port
from features.soak import odd_answers, wire
from features.soak.history import Commit, History
from features.soak.requests import Requests

HOST: Final = '127.0.0.1'

#: Time that a statement takes and replication lag, in seconds; the values of the users' pages.
_STATEMENT_S: Final = 0.01
_REPLICATION_INTERVAL_S: Final = 0.02

#: Number of bytes that are read at once.
_CHUNK_BYTES: Final = 65536

#: Share of the answers that are odd while a database answers oddly.
_ODD_SHARE: Final = 0.3

#: States of a session after the statements that begin and end transactions.
_STATES_BY_TEXT: Final = {'BEGIN': 'T', 'BEGIN READ': 'T', 'COMMIT': 'I', 'ROLLBACK': 'I'}

#: Time after a promotion at which the old primary becomes a replica of the new one, in seconds.
_DEMOTION_DELAY_S: Final = 1.0


@dataclasses.dataclass(slots=True)
class _Session:
    """State of one connection."""

    state: str = 'I'
    is_open: bool = False
    shapes_by_name: dict[str, str] = dataclasses.field(default_factory=dict)


def _ignore_report() -> None:
    """Do nothing; used until a registry is attached."""


class Database:
    """One database: a server of the line protocol with a log.

    It runs each line that it sees; a careless one takes CR, LF or NUL for the end of a line.

    :param name: Target id.
    :param service: Service that it belongs to.
    """

    def __init__(self, name: str, service: 'Service') -> None:
        self.name = name
        self.service = service
        self.port = reserve_port()
        self.is_primary = False
        self.term = 1
        self.log: list[Commit] = []
        self.is_silent = False
        #: Whether it is cut off from the other databases and the store, and whether it receives nothing as a replica.
        self.is_isolated = False
        self.is_deaf = False
        self.answer_loss_probability = 0.0
        self.is_careless = True
        self.oddity: odd_answers.Oddity | None = None
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen, on the same port as before after a restart."""
        self._server = await asyncio.start_server(self._serve, HOST, self.port)

    @property
    def _requests(self) -> Requests:
        return self.service.history.requests

    @property
    def is_up(self) -> bool:
        """:returns: Whether it is running."""
        return self._server is not None

    @property
    def is_reachable(self) -> bool:
        """:returns: Whether the other databases reach it."""
        return self.is_up and not self.is_silent and not self.is_isolated

    def crash(self) -> None:
        """Close every connection and stop listening; the log is kept."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in tuple(self._writers):
            writer.transport.abort()

    def position(self) -> str:
        """:returns: Its log position in the format of the protocol."""
        return f'{self.term}.{len(self.log)}'

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        session = _Session()
        try:
            async for line in self._lines(reader):
                while self.is_silent:
                    await asyncio.sleep(0.05)
                if not await self._reply(line, session, writer):
                    return
        except (ConnectionError, asyncio.IncompleteReadError):
            return
        finally:
            self._writers.discard(writer)
            with contextlib.suppress(ConnectionError):
                writer.close()

    async def _lines(self, reader: asyncio.StreamReader) -> AsyncIterator[str]:
        """:returns: The lines that it runs; what it receives is checked against the protocol."""
        messages = wire.LineReader(wire.PROTOCOL_END)
        lines = wire.LineReader(wire.CARELESS_END if self.is_careless else wire.PROTOCOL_END)
        while chunk := await reader.read(_CHUNK_BYTES):
            for message in messages.feed(chunk):
                self._requests.check_line(self.name, message)
            for line in lines.feed(chunk):
                yield wire.decode(line)

    async def _reply(self, line: str, session: _Session, writer: asyncio.StreamWriter) -> bool:
        """:returns: Whether the connection goes on."""
        answers = await self._answer(line, session)
        if random.random() < self.answer_loss_probability:
            return False
        oddity = self.oddity
        if oddity is not None and line.startswith('QUERY') and random.random() < _ODD_SHARE:
            self._requests.tried[oddity.value] += 1
            return await odd_answers.write(writer, answers, oddity)
        writer.write(''.join(f'{answer}\r\n' for answer in answers).encode('utf-8', 'surrogateescape'))
        await writer.drain()
        return True

    async def _answer(self, line: str, session: '_Session') -> list[str]:
        word, _, rest = line.partition(' ')
        if word == 'START' and not session.is_open:
            session.is_open = True
            self._requests.check_start(self.name, self.service.name, rest)
            return [self._ready()]
        request, _, text = rest.partition(' ')
        self._requests.check_run(self.name, request, text if word == 'QUERY' else line)
        session.state = _STATES_BY_TEXT.get(text, session.state)
        answers = await self._run(request, text, session)
        return [*answers[:-1], answers[-1].replace('READY I', f'READY {session.state}')]

    async def _run(self, request: str, text: str, session: _Session) -> list[str]:
        words = text.split(' ')
        if words[0] in {'READ', 'WRITE', 'AFTER', 'EXECUTE'}:
            await asyncio.sleep(_STATEMENT_S)
        if words[0] == 'AFTER':
            term, _, number = words[1].partition('.')
            if (int(term), int(number)) > (self.term, len(self.log)):
                return [f'ERROR LAGGING {self.name}', self._ready()]
            words = words[2:]
        if words[0] == 'STATUS' or words[0] in {'DEMOTE', 'PAUSE'}:
            return self._control(words)
        if words[0] == 'READ':
            number = max((commit.number for commit in self.log if commit.key == words[1]), default=0)
            return [f'ROW {number} {words[1]}', f'DONE {self.name}.{request}', self._ready()]
        if words[0] == 'WRITE':
            return self._write(request, words[1], int(words[2]) if words[2:] and words[2].isdecimal() else 0)
        if words[0] == 'EXECUTE' and words[1] not in session.shapes_by_name:
            return [f'ERROR NOSTMT {words[1]}', self._ready()]
        if words[0] in {'EXECUTE', 'COMMIT'}:
            return [f'DONE {self.name}.{request}', self._ready()]
        self._keep_shape(words, session)
        return ['DONE -', self._ready()]

    def _keep_shape(self, words: list[str], session: _Session) -> None:
        if words[0] == 'PREPARE':
            session.shapes_by_name[words[1]] = ' '.join(words[2:])
        elif words[0] == 'RESET':
            session.shapes_by_name.clear()

    def _write(self, request: str, key: str, number: int) -> list[str]:
        if not self.is_primary:
            return [f'ERROR READONLY {self.name}', self._ready()]
        commit = Commit(request, key, number, time.monotonic(), self.service.current_primary is self)
        self.log.append(commit)
        self.service.history.record_commit(commit)
        return [f'DONE {self.name}.{request}', self._ready()]

    def _control(self, words: list[str]) -> list[str]:
        if words[0] == 'DEMOTE' and self.term < int(words[1]) and self.is_primary:
            self.is_primary = False
            self.service.report()
        role = 'primary' if self.is_primary else 'replica'
        return [f'ROW {role} {self.term} {self.position()} {self.position()} 20 0 0', 'DONE -', self._ready()]

    def _ready(self) -> str:
        return f'READY I {self.position()}'


class Service:
    """Three databases with replication; ``report`` updates their registrations.

    :param name: Name of the service.
    :param history: History that records and checks the commits.
    """

    def __init__(self, name: str, history: History) -> None:
        self.name = name
        self.history = history
        self.databases = [Database(f'{name}-{number}', self) for number in range(3)]
        self.current_primary = self.databases[0]
        self.current_primary.is_primary = True
        self.report: Callable[[], None] = _ignore_report

    async def start(self) -> None:
        """Start the databases and their replication."""
        for database in self.databases:
            await database.start()
        self._replicating = asyncio.ensure_future(self._replicate())

    async def promote(self, name: str) -> bool:
        """Promote a database to primary of the next term with the log that it has. :returns: Whether it is running."""
        candidate = next((database for database in self.databases if database.name == name), None)
        if candidate is None or not candidate.is_up:
            return False
        if not candidate.is_primary:
            asyncio.get_running_loop().call_later(0.1, self._complete_promotion, candidate)
        return True

    async def answer_oddly(self, oddity: odd_answers.Oddity, for_s: float) -> None:
        """Let some of the answers of all its databases be odd for a while."""
        for database in self.databases:
            database.oddity = oddity
        await asyncio.sleep(for_s)
        for database in self.databases:
            database.oddity = None

    def _complete_promotion(self, candidate: Database) -> None:
        if not candidate.is_up or candidate.is_primary:
            return
        kept = {commit.request for commit in candidate.log}
        candidate.term = max(database.term for database in self.databases) + 1
        candidate.is_primary = True
        self.current_primary = candidate
        newest = {commit.request: commit for database in self.databases for commit in database.log}
        self.history.record_rollback([commit for request, commit in newest.items() if request not in kept])
        asyncio.get_running_loop().call_later(_DEMOTION_DELAY_S, self._demote_old_primary, candidate)
        self.report()

    def _demote_old_primary(self, candidate: Database) -> None:
        """Demote old primaries that can be reached; an unreachable one is demoted by a later control statement."""
        for database in self.databases:
            if (
                database is not candidate
                and database.is_primary
                and candidate is self.current_primary
                and not database.is_silent
                and not database.is_isolated
            ):
                database.is_primary = False
        self.report()

    async def _replicate(self) -> None:
        while True:
            await asyncio.sleep(_REPLICATION_INTERVAL_S)
            source = self.current_primary
            if not source.is_reachable or not source.is_primary:
                continue
            for database in self.databases:
                is_following = database.is_reachable and not database.is_deaf and not database.is_primary
                if database is not source and is_following:
                    database.log = list(source.log)
                    database.term = source.term
