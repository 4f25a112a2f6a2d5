"""Readings of the bytes of the line protocol, independent of the code under test."""

import re
from typing import Final

#: Maximum length of a message, in bytes.
MAX_MESSAGE_BYTES: Final = 1_048_576

#: What ends a message by the protocol, and what a careless program takes for the end of a line.
PROTOCOL_END: Final = re.compile(b'\\r\\n')
CARELESS_END: Final = re.compile(b'[\\r\\n\\0]')


class LineReader:
    """Splits a stream, received in chunks of any size, into lines that are not empty.

    :param end: What ends a line.
    """

    def __init__(self, end: re.Pattern[bytes]) -> None:
        self._end = end
        self._rest = b''

    def feed(self, chunk: bytes) -> list[bytes]:
        """:returns: The lines that the chunk completes."""
        *lines, self._rest = self._end.split(self._rest + chunk)
        return [line for line in lines if line]


def is_decodable(line: bytes) -> bool:
    """:returns: Whether a line of the protocol, without its CR LF, is a message."""
    return CARELESS_END.search(line) is None and len(line) + 2 <= MAX_MESSAGE_BYTES


def decode(line: bytes) -> str:
    """:returns: The text of a line; bytes that are no UTF-8 are kept as surrogates."""
    return line.decode('utf-8', 'surrogateescape')
