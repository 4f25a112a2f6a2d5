"""Callers whose sessions hold whole requests inside fields, messages under reserved ids, and unfinished messages."""

import asyncio
import collections
import contextlib
import dataclasses
import itertools
import random
import secrets
import socket
import struct
import time
from collections.abc import Iterator, Sequence
from typing import Final

from features import smuggling
from features.soak import wire
from features.soak.databases import HOST
from features.soak.instances import Process
from features.soak.requests import Requests

#: Mean pause between two sessions of a caller, in seconds.
_MEAN_INTERVAL_S: Final = 0.1

#: Longest pause between two chunks of a session, and number of its chunks.
_CHUNK_PAUSE_S: Final = 0.01
_CHUNK_COUNTS: Final = (1, 1, 2, 3, 7)

#: Time for all answers of a session, in seconds: a statement times out after 1 s, and a process pauses for up to 4 s.
_ANSWERS_S: Final = 15.0

#: Time for which answers are read that belong to nothing, in seconds.
_EXTRA_ANSWERS_S: Final = 0.3

#: Number of sessions that a caller keeps open at once.
_OPEN_SESSIONS: Final = 20

#: Shares of the sessions that end with an unfinished message, and with one that is too long.
_UNFINISHED_SHARE: Final = 0.2
_LONG_SHARE: Final = 0.04

#: Option of a socket whose close resets the connection.
_RESET_AT_CLOSE: Final = struct.pack('ii', 1, 0)

#: Characters that end a line elsewhere, but not in the line protocol.
_ORDINARY_CHARACTERS: Final = ('\v', '\f', '\x1c', '\x85', '\u2028', '\udcff', 'é')

_READ_BYTES: Final = 65536


@dataclasses.dataclass(frozen=True, slots=True)
class _Script:
    """What a caller sends in one session.

    :param place: What is unusual about it.
    :param valid: Ids and texts of its messages up to the unusual one.
    :param raw: All bytes.
    :param is_finished: Whether the unusual message has an end.
    """

    place: str
    valid: tuple[tuple[str, str], ...]
    raw: bytes
    is_finished: bool


class RudeCaller:
    """Opens one session after the other, and keeps each open until the instance closes it.

    :param number: Number of the caller, part of its keys and ids.
    :param databases: Routes that it opens.
    :param requests: Records what is sent and checks the answers.
    :param processes: The instances.
    :param rng: Random number generator.
    """

    def __init__(
        self,
        number: int,
        databases: Sequence[str],
        requests: Requests,
        processes: list[Process],
        rng: random.Random,
    ) -> None:
        self._key = f'rude{number}'
        self._databases = databases
        self._requests = requests
        self._processes = processes
        self._rng = rng
        self._open_sockets: collections.deque[socket.socket] = collections.deque()

    async def run(self) -> None:
        """Open sessions until cancelled."""
        try:
            while True:
                await asyncio.sleep(self._rng.expovariate(1 / _MEAN_INTERVAL_S))
                ready = [process for process in self._processes if process.is_ready]
                if ready:
                    await self._play(self._rng.choice(ready), self._make_script())
        finally:
            for session in self._open_sockets:
                session.close()

    async def _play(self, process: Process, script: _Script) -> None:
        session = socket.socket()
        session.setblocking(False)
        self._open_sockets.append(session)
        if len(self._open_sockets) > _OPEN_SESSIONS:
            self._open_sockets.popleft().close()
        run_number, opened_at = process.run_number(), time.time()
        try:
            await asyncio.get_running_loop().sock_connect(session, (HOST, process.callers_port))
        except OSError:
            return
        self._requests.tried[f'sessions with {script.place}'] += 1
        answers = _Answers(session)
        sending = asyncio.ensure_future(self._send(session, script))
        try:
            # The first answer is that to START.
            reason = await answers.receive(len(script.valid) + 1)
            await sending
        finally:
            sending.cancel()
        if reason is None:
            await answers.receive_more()
        elif (
            process.run_number() == run_number is not None
            and not answers.is_refused()
            and not process.has_moved_callers(opened_at)
        ):
            self._report_unanswered(process, script, answers, reason)
        self._requests.check_groups(script.valid, answers.groups[1:], script.place)
        if not script.is_finished:
            self._end_unfinished(session)

    def _report_unanswered(self, process: Process, script: _Script, answers: '_Answers', reason: str) -> None:
        self._requests.record_unanswered(
            process.name,
            f'gave {len(answers.groups)} of {len(script.valid) + 1} answers ({reason}) with {script.place}; '
            f'sent {script.valid!r:.400}, got {answers.groups!r:.400}',
        )

    async def _send(self, session: socket.socket, script: _Script) -> None:
        sent = self._requests.open_session()
        cuts = sorted(self._choose_cut(script.raw) for _ in range(self._rng.choice(_CHUNK_COUNTS) - 1))
        # The instance may close the connection after the unusual message; its earlier answers can still be read.
        with contextlib.suppress(OSError):
            for start, end in itertools.pairwise((0, *cuts, len(script.raw))):
                sent.feed(script.raw[start:end])
                await asyncio.get_running_loop().sock_sendall(session, script.raw[start:end])
                await asyncio.sleep(self._rng.uniform(0, _CHUNK_PAUSE_S))

    def _choose_cut(self, raw: bytes) -> int:
        """:returns: Any place, or often one behind a byte that may be taken for the end of a line."""
        ends = [found.end() for found in wire.CARELESS_END.finditer(raw)]
        return self._rng.choice((self._rng.randrange(len(raw)), self._rng.choice(ends)))

    def _end_unfinished(self, session: socket.socket) -> None:
        """Reset the connection, end it, or leave it silent."""
        ending = self._rng.randrange(3)
        with contextlib.suppress(OSError):
            if ending == 0:
                session.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_AT_CLOSE)
                self._open_sockets.remove(session)
                session.close()
            elif ending == 1:
                session.shutdown(socket.SHUT_WR)

    def _make_script(self) -> _Script:
        database = self._rng.choice(self._databases)
        valid = (*self._valid_statements(), *self._reserved_statements())
        parts = [f'START {database} secret', *(f'QUERY {request} {text}' for request, text in valid)]
        raw = b''.join(part.encode('utf-8', 'surrogateescape') + b'\r\n' for part in parts)
        if self._rng.random() < _UNFINISHED_SHARE:
            end = self._rng.choice((b'', b'\r'))
            return _Script('an unfinished message', valid, raw + self._valid_message()[:-2] + end, is_finished=False)
        shape = self._choose_shape()
        self._requests.record_hidden(shape.hidden.decode(), f'inside: {shape.name}')
        behind = b''.join(self._messages_behind())
        return _Script(shape.name, valid, raw + shape.raw + behind, is_finished=True)

    def _choose_shape(self) -> smuggling.Smuggling:
        arguments = (self._key.encode(), secrets.token_hex(4).encode())
        if self._rng.random() < _LONG_SHARE:
            return self._rng.choice(tuple(smuggling.long_messages(*arguments)))
        is_write = self._rng.random() < 0.5
        return self._rng.choice(tuple(smuggling.short_messages(*arguments, is_write=is_write)))

    def _messages_behind(self) -> Iterator[bytes]:
        for _ in range(self._rng.randrange(3)):
            message = self._valid_message()
            self._requests.record_hidden(message.split(b' ')[1].decode(), 'behind the end of what can be decoded')
            yield message

    def _valid_message(self) -> bytes:
        return f'QUERY {secrets.token_hex(8)} {self._read_or_write()}\r\n'.encode('utf-8', 'surrogateescape')

    def _read_or_write(self) -> str:
        if self._rng.random() < 0.5:
            return f'READ {self._key}'
        return f'WRITE {self._key} {self._rng.choice(_ORDINARY_CHARACTERS)}{self._rng.randrange(1000)}'

    def _valid_statements(self) -> Iterator[tuple[str, str]]:
        """:returns: Ids and texts of valid statements, which may leave a transaction open."""
        texts = [self._read_or_write() for _ in range(self._rng.randrange(3))]
        if self._rng.random() < 0.5:
            texts.insert(0, f'SET lang {secrets.token_hex(4)}')
            texts.extend((f'PREPARE p0 READ {secrets.token_hex(4)}', f'EXECUTE p0 {self._key}'))
        if self._rng.random() < 0.4:
            begin = self._rng.choice(('BEGIN', 'BEGIN READ'))
            texts = [begin, *texts, *self._rng.choice(((), ('COMMIT',), ('ROLLBACK',)))]
        return ((secrets.token_hex(8), text) for text in texts)

    def _reserved_statements(self) -> Iterator[tuple[str, str]]:
        """:returns: Requests under ids that name no request of a caller, and a valid one behind them."""
        if self._rng.random() < 0.2:
            reserved = self._rng.choice(('', '-'))
            self._requests.tried[f'requests under the id {reserved!r}'] += 1
            yield (reserved, self._read_or_write())
            yield (secrets.token_hex(8), f'READ {self._key}')


class _Answers:
    """The answers that a session receives, each up to its ``READY``.

    :param session: Connection of the session.
    """

    def __init__(self, session: socket.socket) -> None:
        self.groups: list[list[str]] = []
        self._session = session
        self._lines = wire.LineReader(wire.PROTOCOL_END)
        self._group: list[str] = []

    async def receive(self, count: int) -> str | None:
        """:returns: Why fewer answers than the count came; nothing if they came."""
        try:
            async with asyncio.timeout(_ANSWERS_S):
                return await self._receive_groups(count)
        except (OSError, TimeoutError) as error:
            return repr(error)

    async def receive_more(self) -> None:
        """Receive what still comes within a moment."""
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(_EXTRA_ANSWERS_S):
                while await self._receive_chunk():
                    """Wait for the end."""

    def is_refused(self) -> bool:
        """:returns: Whether the session was refused."""
        return not self.groups and bool(self._group)

    async def _receive_groups(self, count: int) -> str | None:
        while len(self.groups) < count:
            if not await self._receive_chunk():
                return 'closed'
        return None

    async def _receive_chunk(self) -> bool:
        """:returns: Whether the connection goes on."""
        chunk = await asyncio.get_running_loop().sock_recv(self._session, _READ_BYTES)
        for line in self._lines.feed(chunk):
            self._group.append(wire.decode(line))
            if line.startswith(b'READY'):
                self.groups.append(self._group)
                self._group = []
        return bool(chunk)
