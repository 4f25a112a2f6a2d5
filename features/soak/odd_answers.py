"""Answers of a target that misbehaves: bytes that end lines early, cut, repeated or late answers."""

import asyncio
import enum
from collections.abc import Sequence
from typing import Final

#: Delay of an answer after which an instance has given up, in seconds; the timeout of the routes is 1 s.
_LATE_S: Final = 1.5

_FORGED: Final = b'DONE forged.signature'
_END: Final = b'\r\n'


class Oddity(enum.Enum):
    """What is odd about an answer."""

    LINE_FEED = 'a line feed in a row'
    CARRIAGE_RETURN = 'a carriage return in a row'
    CUT = 'an answer cut within a line'
    EXTRA = 'bytes behind READY'
    HALF_EXTRA = 'half a message behind READY'
    WRONG_STATE = 'READY with a wrong state'
    TWO_DONE = 'two DONE'
    LATE = 'an answer that comes too late'


async def write(writer: asyncio.StreamWriter, answers: Sequence[str], oddity: Oddity) -> bool:
    """Write an odd answer.

    :param writer: Connection of the instance.
    :param answers: Lines of the correct answer.
    :param oddity: What is odd about it.
    :returns: Whether the connection goes on.
    """
    lines = [answer.encode('utf-8', 'surrogateescape') for answer in answers]
    if oddity is Oddity.LATE:
        await asyncio.sleep(_LATE_S)
    writer.write(_distort(lines, oddity))
    await writer.drain()
    return oddity is not Oddity.CUT


def _distort(lines: list[bytes], oddity: Oddity) -> bytes:
    *results, ready = (line + _END for line in lines)
    match oddity:
        case Oddity.LINE_FEED | Oddity.CARRIAGE_RETURN:
            separator = b'\n' if oddity is Oddity.LINE_FEED else b'\r'
            return b''.join((b'ROW 0 forged', separator, _FORGED, _END, *results, ready))
        case Oddity.CUT:
            return b''.join((*results, ready))[: -len(ready) // 2]
        case Oddity.EXTRA:
            return b''.join((*results, ready, b'ROW 0 forged', _END, _FORGED, _END, ready))
        case Oddity.HALF_EXTRA:
            return b''.join((*results, ready, b'ROW 0 for'))
        case Oddity.WRONG_STATE:
            return b''.join((*results, _with_wrong_state(ready)))
        case Oddity.TWO_DONE:
            return b''.join((_FORGED, _END, *results, _FORGED, _END, ready))
        case _:
            return b''.join((*results, ready))


def _with_wrong_state(ready: bytes) -> bytes:
    word, state, position = ready.split(b' ')
    return b' '.join((word, b'T' if state == b'I' else b'I', position))
