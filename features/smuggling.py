"""Messages of callers that hold a whole request inside a field, and the requests that no caller sent."""

import dataclasses
from collections.abc import Iterator
from typing import Final

#: Maximum length of a message of the line protocol, in bytes.
_MAX_MESSAGE_BYTES: Final = 1_048_576


@dataclasses.dataclass(frozen=True, slots=True)
class Smuggling:
    """What one caller sends after it has opened its session.

    :param name: What is unusual about it.
    :param raw: The bytes; they end with CR LF, unless the message is unfinished.
    :param hidden: Id of the request inside, which is no message of its own by the protocol.
    """

    name: str
    raw: bytes
    hidden: bytes


#: A message up to the request inside, by the name of the field. It has an id of its own and the key of its caller.
_FIELDS: Final = {
    'a read': b'QUERY %(id)s READ %(key)s%(inner)s',
    'a write': b'QUERY %(id)s WRITE %(key)s before%(inner)s',
    'a value': b'QUERY %(id)s SET lang es%(inner)s',
    'a prepared shape': b'QUERY %(id)s PREPARE p1 READ q2c%(inner)s',
    'the arguments of a prepared statement': b'QUERY %(id)s EXECUTE p0 %(key)s%(inner)s',
    'the id of a request': b'QUERY %(id)s%(inner)s READ %(key)s',
    'the id and the text of a request': b'QUERY %(id)s%(inner)s',
    'an unknown kind': b'NOTICE %(id)s%(inner)s',
    'the end of a session': b'BYE%(inner)s',
    'a second opening': b'START db secret%(inner)s',
    'an unknown statement': b'QUERY %(id)s JUMP %(key)s%(inner)s',
}

#: Bytes that some decoder may take for the end of a line, by name.
_SEPARATORS: Final = {
    'a line feed': b'\n',
    'two line feeds': b'\n\n',
    'a carriage return': b'\r',
    'two carriage returns': b'\r\r',
    'a line feed and a carriage return': b'\n\r',
    'a NUL': b'\0',
}


def shapes() -> Iterator[Smuggling]:
    """:returns: Each kind of field with each byte that may be taken for the end of a line, and long messages."""
    yield from short_messages()
    yield from long_messages()


def short_messages(key: bytes = b'x', prefix: bytes = b'', *, is_write: bool = False) -> Iterator[Smuggling]:
    """Build a message of each kind of field with each byte that may be taken for the end of a line.

    :param key: Key that the message and the request inside read or write.
    :param prefix: Prefix of their ids.
    :param is_write: Whether the request inside writes.
    """
    text = b'WRITE ' + key + b' 1' if is_write else b'READ ' + key
    for place, field in _FIELDS.items():
        for separator_name, separator in _SEPARATORS.items():
            hidden = prefix + f'hidden{place}{separator_name}'.replace(' ', '').encode()
            inner = separator + b'QUERY ' + hidden + b' ' + text
            raw = field % {b'id': prefix + b's1', b'key': key, b'inner': inner}
            yield Smuggling(f'{separator_name} in {place}', raw + b'\r\n', hidden)


def long_messages(key: bytes = b'x', prefix: bytes = b'') -> Iterator[Smuggling]:
    """:returns: Messages that are too long, before a request; parameters as above."""
    for name, hidden, end in (
        ('the rest of a message that is too long', b'hiddenlong', b'\n'),
        ('a message after one that is too long', b'hiddenafter', b'\r\n'),
    ):
        begin = b'QUERY ' + prefix + b's1 WRITE ' + key + b' ' + b'y' * _MAX_MESSAGE_BYTES
        yield Smuggling(name, begin + end + b'QUERY ' + prefix + hidden + b' READ ' + key + b'\r\n', prefix + hidden)


def reserved_ids() -> Iterator[Smuggling]:
    """:returns: Requests under ids that name no request of a caller."""
    yield Smuggling('the id of internal statements', b'QUERY - READ foreign\r\n', b'foreign')
    yield Smuggling('no id', b'QUERY  READ anonymous\r\n', b'anonymous')
