"""Callers on real sockets: each session writes increasing numbers to a key of its own and reads it back."""

import asyncio
import errno
import random
import secrets
import socket
import time
from typing import Final

from features.soak.databases import HOST
from features.soak.history import History
from features.soak.instances import Process

#: Longest wait for an answer, in seconds; the timeout of the routes is 1 s.
ANSWER_TIMEOUT_S: Final = 3.0

#: Mean pause between two statements of a session, in seconds.
_MEAN_INTERVAL_S: Final = 0.05

#: Largest age of the data on the routes of ``BoundedReader``, in seconds.
MAX_STALENESS_S: Final = 1.5

#: Pause between two statements of a transaction, in seconds.
TRANSACTION_PAUSE_S: Final = 1.0

#: Time within which the kernel has reset a connection whose other end was closed before a request came, in seconds.
_RESET_WAIT_S: Final = 0.2

#: Passes of the event loop after which an end of the connection that the kernel has received is known.
_PASSES_OF_LOOP: Final = 2

#: Fraction of the statements that write.
_WRITE_FRACTION: Final = 0.4


class Caller:
    """One caller with one session at a time.

    :param number: Number of the caller, part of its key.
    :param database: Route that it opens; every read there must return every acknowledged write.
    :param history: History that records and checks the results.
    :param processes: The instances.
    :param rng: Random number generator.
    """

    def __init__(
        self, number: int, database: str, history: History, processes: list[Process], rng: random.Random
    ) -> None:
        self.key = f'{database}k{number}'
        self._database = database
        self._history = history
        self._processes = processes
        self._rng = rng
        self._counter = 0
        self._process: Process | None = None
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None
        self._sent = history.requests.open_session()

    async def run(self) -> None:
        """Send statements until cancelled."""
        try:
            while True:
                await asyncio.sleep(self._rng.expovariate(1 / _MEAN_INTERVAL_S))
                await self._send_one()
        finally:
            self._close()

    async def _send_one(self) -> None:
        try:
            if self._writer is not None or await self._open():
                await self._send_statement()
        except (ConnectionError, TimeoutError, asyncio.IncompleteReadError):
            self._close()

    async def _send_statement(self) -> None:
        if self._rng.random() < _WRITE_FRACTION:
            await self._write()
        else:
            await self._read()

    def _close(self) -> None:
        if self._writer is not None:
            self._writer.transport.abort()
        self._writer = None

    async def _open(self) -> bool:
        ready = [process for process in self._processes if process.is_ready]
        if not ready:
            return False
        self._process = self._rng.choice(ready)
        self._reader, self._writer = await asyncio.open_connection(HOST, self._process.callers_port)
        self._sent = self._history.requests.open_session()
        answers = await self._request(f'START {self._database} secret')
        if not answers[-1].startswith('READY'):
            self._close()
        return self._writer is not None

    async def _write(self) -> None:
        self._counter += 1
        request, number = secrets.token_hex(8), self._counter
        answers = await self._request(f'QUERY {request} WRITE {self.key} {number}', request)
        if answers[0].startswith('DONE'):
            self._history.record_success(request, self.key, number, time.monotonic())
        else:
            self._record_error(request, answers)

    async def _read(self) -> None:
        request = secrets.token_hex(8)
        expected = self._history.newest_acknowledged(self.key)
        answers = await self._request(f'QUERY {request} READ {self.key}', request)
        if answers[0].startswith('ROW'):
            self._history.record_read(request, self.key, int(answers[0].split(' ')[1]), expected, time.monotonic())
        else:
            self._record_error(request, answers)

    def _record_error(self, request: str, answers: list[str]) -> None:
        self._history.record_refusal(request, answers[0].split(' ')[1])

    async def _request(self, line: str, request: str = '-') -> list[str]:
        """:returns: The lines of the answer. :raises ConnectionError, TimeoutError: No answer came."""
        assert self._writer is not None and self._reader is not None and self._process is not None
        await self._notice_end()
        raw = f'{line}\r\n'.encode()
        self._sent.feed(raw)
        self._writer.write(raw)
        answers: list[str] = []
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            while not answers or not answers[-1].startswith('READY'):
                answers.append(await self._read_line(request))
                if answers[-1].startswith('ERROR') and request == '-':
                    break
        if request != '-':
            self._history.requests.check_answer(*line.split(' ', 2)[1:], answers)
        return answers

    async def _notice_end(self) -> None:
        """Notice that the instance has closed the idle session: a request that it never reads is not unanswered.

        :raises ConnectionResetError: It has.
        """
        assert self._reader is not None
        for _ in range(_PASSES_OF_LOOP):
            await asyncio.sleep(0)
        if self._reader.at_eof():
            raise ConnectionResetError

    async def _read_line(self, request: str) -> str:
        assert self._reader is not None and self._process is not None
        raw = await self._reader.readline()
        if raw:
            return raw.decode().rstrip('\r\n')
        if request != '-' and self._process.is_stopping and self._process.is_stable and not await self._was_unread():
            self._history.record_unanswered(self._process.name, request)
        raise ConnectionResetError

    async def _was_unread(self) -> bool:
        """:returns: Whether the request came after the close, so that the kernel reset what no process has read."""
        assert self._writer is not None
        await asyncio.sleep(_RESET_WAIT_S)
        error: int = self._writer.get_extra_info('socket').getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        return error in {errno.EPIPE, errno.ECONNRESET}


class BoundedReader(Caller):
    """Reads what another caller writes, on a route that accepts data of some age."""

    def follow(self, key: str) -> None:
        """Read a key of another caller."""
        self.key = key

    async def _send_statement(self) -> None:
        request = secrets.token_hex(8)
        before = time.monotonic() - MAX_STALENESS_S
        expected = self._history.newest_acknowledged(self.key, before)
        answers = await self._request(f'QUERY {request} READ {self.key}', request)
        if answers[0].startswith('ROW'):
            number = int(answers[0].split(' ')[1])
            self._history.record_read(request, self.key, number, expected, time.monotonic(), before)
        else:
            self._record_error(request, answers)


class TransactionHolder(Caller):
    """Keeps a transaction open and reads in it from time to time."""

    async def _send_statement(self) -> None:
        await self._request('QUERY b BEGIN', 'b')
        while True:
            answers = await self._request(f'QUERY {secrets.token_hex(8)} READ {self.key}', 'r')
            if answers[0].startswith('ERROR'):
                raise ConnectionResetError
            await asyncio.sleep(TRANSACTION_PAUSE_S)
