"""JSON with comments and trailing commas: decoding, and the line number of each path."""

import re
from collections.abc import Iterator
from typing import Final

import msgspec

from fescuequay_core.exceptions import TextError

_TOKEN: Final = re.compile(
    r"""
    (?P<string>"(?:[^"\\\n]|\\.)*")
    | (?P<comment>//[^\n]*|/\*.*?\*/)
    | (?P<open>[\[{])
    | (?P<close>[\]}])
    | (?P<mark>[:,])
    | (?P<space>\s+)
    | (?P<other>[^\s"\[\]{},:/]+|.)
    """,
    re.VERBOSE | re.DOTALL,
)

_NOT_NEWLINE: Final = re.compile(r'[^\n]')

#: Also matches inside strings, which only costs the time of the slow path.
_TRAILING_COMMA: Final = re.compile(r',\s*[\]}]')

_BRACKET_OR_STRING: Final = re.compile(r'"(?:[^"\\\n]|\\.)*"|[\[{\]}]')
_DEPTH_CHANGES_BY_BRACKET: Final = {'[': 1, '{': 1, ']': -1, '}': -1}

_DEPTH_CHANGES_BY_TOKEN: Final = {'open': 1, 'close': -1}

#: Maximum nesting, deeper than any text needs and below the recursion limit of every decoder.
MAX_DEPTH: Final = 64


class _Container:
    """One object or array that is open at the current token."""

    def __init__(self, path: str, *, is_object: bool) -> None:
        self.path = path
        self.is_object = is_object
        self.next_key: str | None = None
        self.index = 0

    def child_path(self) -> str:
        """:returns: The path of the value that begins at the current token."""
        if self.is_object:
            key = self.next_key or ''
            return f'{self.path}.{key}' if self.path else key
        return f'{self.path}[{self.index}]'


def plain_json(text: str) -> str:
    """Replace comments and trailing commas with spaces, so that offsets and line numbers stay the same.

    :param text: JSON with comments.
    :returns: JSON of the same length and with the same lines.
    :raises TextError: if the nesting is too deep.
    """
    if '//' not in text and '/*' not in text and not _TRAILING_COMMA.search(text):
        return _check_depth(text)
    parts: list[str] = []
    pending_comma: int | None = None
    depth = 0
    for match in _TOKEN.finditer(text):
        kind, token = match.lastgroup, match.group()
        depth += _DEPTH_CHANGES_BY_TOKEN.get(kind or '', 0)
        if depth > MAX_DEPTH:
            raise TextError(f'the nesting is deeper than {MAX_DEPTH} levels', _line_of(text, match.start()))
        if kind == 'close' and pending_comma is not None:
            parts[pending_comma] = ' '
        if kind not in {'comment', 'space'}:
            pending_comma = len(parts) if token == ',' else None
        parts.append(_NOT_NEWLINE.sub(' ', token) if kind == 'comment' else token)
    return ''.join(parts)


def _check_depth(text: str) -> str:
    depth = 0
    for match in _BRACKET_OR_STRING.finditer(text):
        depth += _DEPTH_CHANGES_BY_BRACKET.get(match.group(), 0)
        if depth > MAX_DEPTH:
            raise TextError(f'the nesting is deeper than {MAX_DEPTH} levels', _line_of(text, match.start()))
    return text


def lines_by_path(text: str) -> dict[str, int]:
    """Find the line of every value of a well-formed text.

    :param text: Well-formed JSON with comments.
    :returns: Line numbers from 1, by path such as ``services.x.groups``.
    """
    found = {'': 1}
    found.update(_paths_with_lines(text))
    return found


def nearest_line(found: dict[str, int], path: str) -> int:
    """Find the line of a path or, if it is missing, of its nearest parent.

    :param found: Lines by path.
    :param path: Path to look up.
    :returns: A line number from 1.
    """
    while path and path not in found:
        path = path[: max(path.rfind('.'), path.rfind('['), 0)]
    return found.get(path, 1)


def decode_text(raw: bytes) -> tuple[object, str]:
    """Decode bytes that hold JSON with comments.

    :param raw: The bytes, UTF-8.
    :returns: The value and the decoded string.
    :raises TextError: if the bytes are not JSON with comments; it carries the line.
    """
    try:
        text = raw.decode('utf-8')
    except UnicodeDecodeError as error:
        raise TextError(f'byte {error.start} is not valid UTF-8', raw.count(b'\n', 0, error.start) + 1) from None
    plain = plain_json(text)
    _reject_duplicate_keys(plain)
    try:
        return msgspec.json.decode(plain), text
    except (msgspec.DecodeError, RecursionError) as error:
        byte = re.search(r'byte (\d+)', str(error))
        offset = int(byte.group(1)) if byte else len(raw)
        raise TextError(str(error), plain.encode().count(b'\n', 0, offset) + 1) from None


def _reject_duplicate_keys(plain: str) -> None:
    seen: set[str] = set()
    for path, line in _paths_with_lines(plain):
        if path in seen:
            raise TextError(f'{path} is given twice', line)
        seen.add(path)


def _paths_with_lines(text: str) -> Iterator[tuple[str, int]]:
    containers: list[_Container] = []
    line = 1
    for match in _TOKEN.finditer(text):
        path = _process_token(containers, match.lastgroup or '', match.group())
        if path is not None:
            yield path, line
        line += match.group().count('\n')


def _process_token(containers: list[_Container], kind: str, token: str) -> str | None:
    """Update the open objects and arrays by one token.

    :returns: The path of the value that begins with the token, if one does.
    """
    innermost = containers[-1] if containers else None
    if kind == 'open':
        path = innermost.child_path() if innermost else ''
        containers.append(_Container(path, is_object=token == '{'))
        return path if innermost else None
    if innermost is None:
        return None
    if kind == 'close':
        containers.pop()
        return None
    if token == ',':
        innermost.next_key = None
        innermost.index += 1
        return None
    if kind == 'string' and innermost.is_object and innermost.next_key is None:
        innermost.next_key = _key_of(token)
        return None
    return innermost.child_path() if kind in {'string', 'other'} else None


def _key_of(token: str) -> str:
    """:returns: The key that a string stands for; one with a wrong escape is refused by the decoder."""
    try:
        return msgspec.json.decode(token, type=str)
    except msgspec.DecodeError:
        return token[1:-1]


def _line_of(text: str, offset: int) -> int:
    return text.count('\n', 0, offset) + 1
