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


#: What stands before the end of a line in the field, by the name of the shape; ``%s`` is the hidden request.
_FIELDS: Final = {
    'a read': b'QUERY s1 READ x%s',
    'a write': b'QUERY s1 WRITE x before%s',
    'a value': b'QUERY s1 SET lang es%s',
    'a prepared shape': b'QUERY s1 PREPARE p1 READ q2c%s',
    'the arguments of a prepared statement': b'QUERY s1 EXECUTE p0 x%s',
    'the id of a request': b'QUERY s1%s READ x',
    'an unknown kind': b'NOTICE s1%s',
    'the end of a session': b'BYE%s',
    'an unknown statement': b'QUERY s1 JUMP x%s',
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
    """:returns: Each kind of field with each byte that may be taken for the end of a line."""
    for place, field in _FIELDS.items():
        for separator_name, separator in _SEPARATORS.items():
            hidden = f'hidden{place}{separator_name}'.replace(' ', '').encode()
            inner = separator + b'QUERY ' + hidden + b' READ x'
            yield Smuggling(f'{separator_name} in {place}', field % inner + b'\r\n', hidden)
    yield Smuggling(
        'the rest of a message that is too long',
        b'QUERY s1 WRITE x ' + b'y' * _MAX_MESSAGE_BYTES + b'\nQUERY hiddenlong READ x\r\n',
        b'hiddenlong',
    )
    yield Smuggling(
        'a message after one that is too long',
        b'QUERY s1 WRITE x ' + b'y' * _MAX_MESSAGE_BYTES + b'\r\nQUERY hiddenafter READ x\r\n',
        b'hiddenafter',
    )


def reserved_ids() -> Iterator[Smuggling]:
    """:returns: Requests under ids that name no request of a caller."""
    yield Smuggling('the id of internal statements', b'QUERY - READ foreign\r\n', b'foreign')
    yield Smuggling('no id', b'QUERY  READ anonymous\r\n', b'anonymous')
