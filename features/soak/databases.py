"""Databases of one service on loopback: a primary, its replicas, and their faults."""

import asyncio
import contextlib
import random
import time
from collections.abc import Callable
from typing import Final

from features.soak.history import Commit, History

HOST: Final = '127.0.0.1'

#: Time of a statement, and how far replicas are behind, in seconds, as the users' pages have them.
_WORK_S: Final = 0.01
_LAG_S: Final = 0.02

#: Time after a promotion after which the old primary follows the new one, in seconds.
_FOLLOW_S: Final = 1.0


def _nobody() -> None:
    """Tell nobody, before there is a registry."""


class Database:
    """One database: a line-protocol server with a log.

    :param name: Its id.
    :param service: The service that it belongs to.
    """

    def __init__(self, name: str, service: 'Service') -> None:
        self.name = name
        self.service = service
        self.port = 0
        self.is_primary = False
        self.term = 1
        self.log: list[Commit] = []
        self.is_dark = False
        self.loses_answers = 0.0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen, at the same address as before."""
        self._server = await asyncio.start_server(self._serve, HOST, self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    @property
    def is_up(self) -> bool:
        """:returns: Whether it runs."""
        return self._server is not None

    def crash(self) -> None:
        """End every connection and listen no more; the log stays."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in tuple(self._writers):
            writer.transport.abort()

    def position(self) -> str:
        """:returns: Its position as the protocol has it."""
        return f'{self.term}.{len(self.log)}'

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while line := await reader.readline():
                while self.is_dark:
                    await asyncio.sleep(0.05)
                answers = await self._answer(line.decode().rstrip('\r\n'))
                if random.random() < self.loses_answers:
                    return
                writer.write(''.join(f'{answer}\r\n' for answer in answers).encode())
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            return
        finally:
            self._writers.discard(writer)
            with contextlib.suppress(ConnectionError):
                writer.close()

    async def _answer(self, line: str) -> list[str]:
        word, _, rest = line.partition(' ')
        if word == 'START':
            return [self._ready()]
        request, _, text = rest.partition(' ')
        words = text.split(' ')
        if words[0] in {'READ', 'WRITE', 'AFTER'}:
            await asyncio.sleep(_WORK_S)
        if words[0] == 'AFTER':
            term, _, number = words[1].partition('.')
            if (int(term), int(number)) > (self.term, len(self.log)):
                return [f'ERROR LAGGING {self.name}', self._ready()]
            words = words[2:]
        if words[0] == 'STATUS' or words[0] in {'DEMOTE', 'PAUSE'}:
            return self._control(words)
        if words[0] == 'READ':
            number = max((commit.number for commit in self.log if commit.key == words[1]), default=0)
            return [f'ROW {number}', f'DONE {self.name}.{request}', self._ready()]
        if words[0] == 'WRITE':
            return self._write(request, words[1], int(words[2]))
        return ['DONE -', self._ready()]

    def _write(self, request: str, key: str, number: int) -> list[str]:
        if not self.is_primary:
            return [f'ERROR READONLY {self.name}', self._ready()]
        commit = Commit(request, key, number, time.monotonic(), self.service.named is self)
        self.log.append(commit)
        self.service.history.note_commit(commit)
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
    """Three databases that replicate; ``report`` tells the registry.

    :param name: Its name.
    :param history: What is checked.
    """

    def __init__(self, name: str, history: History) -> None:
        self.name = name
        self.history = history
        self.databases = [Database(f'{name}-{number}', self) for number in range(3)]
        self.named = self.databases[0]
        self.named.is_primary = True
        self.report: Callable[[], None] = _nobody

    async def start(self) -> None:
        """Start the databases and their replication."""
        for database in self.databases:
            await database.start()
        self._replicating = asyncio.ensure_future(self._replicate())

    async def promote(self, name: str) -> bool:
        """Let a database lead the next term with what it has. :returns: Whether it runs."""
        heir = next((database for database in self.databases if database.name == name), None)
        if heir is None or not heir.is_up:
            return False
        if not heir.is_primary:
            asyncio.get_running_loop().call_later(0.1, self._lead, heir)
        return True

    def _lead(self, heir: Database) -> None:
        if not heir.is_up or heir.is_primary:
            return
        kept = {commit.request for commit in heir.log}
        heir.term = max(database.term for database in self.databases) + 1
        heir.is_primary = True
        self.named = heir
        newest = {commit.request: commit for database in self.databases for commit in database.log}
        self.history.note_cut([commit for request, commit in newest.items() if request not in kept])
        asyncio.get_running_loop().call_later(_FOLLOW_S, self._follow, heir)
        self.report()

    def _follow(self, heir: Database) -> None:
        """An old primary learns of the new one, unless it can not be reached; then the next look tells it."""
        for database in self.databases:
            if database is not heir and database.is_primary and heir is self.named and not database.is_dark:
                database.is_primary = False
        self.report()

    async def _replicate(self) -> None:
        while True:
            await asyncio.sleep(_LAG_S)
            source = self.named
            if not source.is_up or source.is_dark or not source.is_primary:
                continue
            for database in self.databases:
                if database is not source and database.is_up and not database.is_dark and not database.is_primary:
                    database.log = list(source.log)
                    database.term = source.term
