"""A model of the line protocol's framing, written from its description and not from the codec."""

import dataclasses
import re

_LINE = re.compile(b'([^\r\n\0]*)\r\n')
_BROKEN = re.compile(b'[^\r\n\0]*(\n|\0|\r[^\n])')
_MAX_BYTES = 2**20

#: Least and largest number of fields of each kind; the last one may hold blanks.
_MOST_FIELDS = {b'START': 3, b'QUERY': 2, b'BYE': 0, b'READY': 2, b'ERROR': 2, b'ROW': 1, b'DONE': 1}


@dataclasses.dataclass(frozen=True)
class Reading:
    """What a stream of bytes says.

    :param lines: For each complete line its kind and fields; nothing for one that is no message.
    :param is_broken: Whether what follows them can't be read.
    :param rest: Bytes of an unfinished message.
    """

    lines: list[tuple[bytes, ...] | None]
    is_broken: bool
    rest: bytes


def read(raw: bytes) -> Reading:
    """:returns: What the bytes say, up to the first place at which they break the rules of lines."""
    lines: list[tuple[bytes, ...] | None] = []
    place = 0
    while line := _LINE.match(raw, place):
        if len(line.group(1)) > _MAX_BYTES:
            return Reading(lines, is_broken=True, rest=b'')
        lines.append(_message(line.group(1)))
        place = line.end()
    rest = raw[place:]
    is_broken = bool(_BROKEN.match(rest)) or len(rest.rstrip(b'\r')) > _MAX_BYTES
    return Reading(lines, is_broken, b'' if is_broken else rest)


def _message(line: bytes) -> tuple[bytes, ...] | None:
    kind, *rest = line.split(b' ', 1)
    if kind not in _MOST_FIELDS:
        return None
    text = rest[0] if rest else b''
    if not text or not _MOST_FIELDS[kind]:
        return (kind,)
    fields = text.split(b' ', _MOST_FIELDS[kind] - 1)
    return None if b'' in fields[:-1] else (kind, *fields)


def is_sendable(kind: str, fields: tuple[bytes, ...]) -> bool:
    """:returns: Whether a message can be sent: one line that is read as the same fields."""
    line = b' '.join((kind.encode(), *fields))
    has_blank = any(field == b'' or b' ' in field for field in fields[:-1])
    return len(line) <= _MAX_BYTES and not has_blank and not re.search(b'[\r\n\0]', line)
