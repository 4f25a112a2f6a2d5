"""A plain reader of log lines: whitespace between pairs, and quoted contents with backslashes."""

import re
from collections.abc import Iterator
from typing import Final

_NAMED: Final = {'n': '\n', 'r': '\r', 't': '\t', '"': '"', '\\': '\\'}
_DIGITS_BY_LETTER: Final = {'x': 2, 'u': 4, 'U': 8}
_REST: Final = re.compile(r'\+(\d+)')


def pairs_of(line: str) -> Iterator[tuple[str, str, int]]:
    """Read the pairs of one line.

    :param line: The line, without its end.
    :returns: The key, the content and the number of characters that were cut off, of each pair.
    """
    place = 0
    while place < len(line):
        key, _, rest = line[place:].partition('=')
        if rest.startswith('"'):
            content, length = _unquoted(rest)
            cut = _REST.match(rest, length)
            length += len(cut[0]) if cut else 0
            yield key, content, int(cut[1]) if cut else 0
        else:
            # As a tool does that splits a line into words.
            content = rest.split()[0]
            length = len(content)
            yield key, content, 0
        place += len(key) + 1 + length
        assert line[place : place + 1] in {'', ' '}, line[place:]
        place += 1


def _unquoted(text: str) -> tuple[str, int]:
    """:returns: The text that is quoted at the start of another, and the length with its quotes."""
    found = []
    place = 1
    while text[place] != '"':
        if text[place] != '\\':
            found.append(text[place])
            place += 1
            continue
        letter = text[place + 1]
        digits = _DIGITS_BY_LETTER.get(letter, 0)
        code = text[place + 2 : place + 2 + digits]
        found.append(chr(int(code, 16)) if digits else _NAMED[letter])
        place += 2 + digits
    return ''.join(found), place + 1
