"""An HTTP end whose answers are scripted, byte by byte."""

import asyncio
from typing import Final

_HOST: Final = '127.0.0.1'

#: Pause between two parts of an answer, in seconds; longer than a client that takes the first part for all waits.
_PART_INTERVAL_S: Final = 0.04

_OK: Final = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'
_NEW: Final = b'HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nnew'
_CONTINUE: Final = b'HTTP/1.1 100 Continue\r\nEra: 7\r\n\r\n'
_ERA_1: Final = b'HTTP/1.1 200 OK\r\nEra: 1\r\nContent-Length: 2\r\n\r\nok'
_ERA_2: Final = b'HTTP/1.1 200 OK\r\nEra: 2\r\nContent-Length: 2\r\n\r\nno'
_CHUNKED: Final = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n'

EMPTY: Final = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}'

#: The parts of each answer, by its name; the end pauses between them.
_PARTS_BY_ANSWER: Final = {
    'ok': (_OK,),
    'new': (_NEW,),
    'chunked': (_CHUNKED + b'\r\n',),
    'until the end': (b'HTTP/1.1 200 OK\r\n\r\nok',),
    'ok and close': (b'HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok',),
    'half': (b'HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nok',),
    'rubbish': (b'\x00\x01 rubbish\r\n\r\n',),
    'end': (),
    'silence': (),
    'ok and more': (_OK + b'more',),
    'ok and an empty line': (_OK + b'\r\n',),
    'ok and part': (_OK + b'HTTP/1.1 500 No\r\nEra: 9',),
    'ok then new': (_OK, _NEW),
    'eras 1 and 2': (_ERA_1 + _ERA_2,),
    'interim and ok': (_CONTINUE + _OK,),
    'interim then ok': (_CONTINUE, _OK),
    'interim and end': (_CONTINUE,),
    'another protocol': (b'HTTP/1.1 101 Switching\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\nok',),
    'no body': (b'HTTP/1.1 204 No Content\r\n\r\n',),
    'no body and more': (b'HTTP/1.1 204 No Content\r\nContent-Length: 2\r\n\r\nok',),
    'trailer': (_CHUNKED + b'Era: 9\r\n\r\n',),
    'two eras': (_ERA_1.replace(b'Era: 1', b'Era: 1\r\nEra: 2'),),
    'compressed': (_CHUNKED.replace(b'chunked', b'gzip, chunked') + b'\r\n',),
    'HTTP/2.0': (_OK.replace(b'1.1', b'2.0'),),
    'conflict': (_OK.replace(b'200 OK', b'409 Conflict'),),
    'two lengths': (_OK.replace(b'\r\n\r\n', b'\r\nContent-Length: 3\r\n\r\n'),),
    'bare line feeds': (_OK.replace(b'\r\n', b'\n'),),
    'a folded field': (_OK.replace(b'\r\n\r\n', b'\r\nEra: 1\r\n 2\r\n\r\n'),),
    'endless fields': (b'HTTP/1.1 200 OK\r\n' + b'Era: 1\r\n' * 4_000_000,),
}

#: Answers after which the end closes the connection.
_CLOSING: Final = frozenset(('until the end', 'ok and close', 'half', 'end', 'interim and end'))


class ScriptedEnd:
    """Answers each request with the next answer of a script.

    :param answers: Names of the answers.
    """

    def __init__(self, answers: list[str]) -> None:
        self._answers = answers
        self.requests = 0
        self.connections = 0
        self._server: asyncio.Server | None = None

    async def start(self) -> str:
        """:returns: Its address."""
        self._server = await asyncio.start_server(self._serve, _HOST, 0)
        return f'{_HOST}:{self._server.sockets[0].getsockname()[1]}'

    def stop(self) -> None:
        """Stop listening."""
        assert self._server is not None
        self._server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        try:
            while await reader.readuntil(b'\r\n\r\n'):
                self.requests += 1
                answer = self._answers.pop(0)
                await _write(writer, _PARTS_BY_ANSWER[answer])
                if answer in _CLOSING:
                    break
        except (asyncio.IncompleteReadError, ConnectionError):
            return
        finally:
            writer.close()


async def _write(writer: asyncio.StreamWriter, parts: tuple[bytes, ...]) -> None:
    for index, part in enumerate(parts):
        if index:
            await asyncio.sleep(_PART_INTERVAL_S)
        writer.write(part)
