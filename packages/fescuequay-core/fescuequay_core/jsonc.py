"""JSON with comments: decoding, and the line on which each path stands."""

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

#: Also matches inside of strings, which only sends a text the longer way.
_TRAILING_COMMA: Final = re.compile(r',\s*[\]}]')

_BRACKET_OR_STRING: Final = re.compile(r'"(?:[^"\\\n]|\\.)*"|[\[{\]}]')
_BRACKET_STEPS: Final = {'[': 1, '{': 1, ']': -1, '}': -1}

_DEPTH_STEPS: Final = {'open': 1, 'close': -1}

#: Deeper nesting than any text needs; keeps every decoder away from its recursion limit.
MAX_DEPTH: Final = 64


class _Frame:
    """One open object or array while the tokens are walked."""

    def __init__(self, path: str, *, is_object: bool) -> None:
        self.path = path
        self.is_object = is_object
        self.next_key: str | None = None
        self.index = 0

    def child_path(self) -> str:
        """:returns: The path of the value that begins now."""
        if self.is_object:
            key = self.next_key or ''
            return f'{self.path}.{key}' if self.path else key
        return f'{self.path}[{self.index}]'


def plain_json(text: str) -> str:
    """Replace comments and trailing commas by blanks, keeping every line number.

    :param text: JSON with comments.
    :returns: JSON of the same length and lines.
    :raises TextError: when the nesting is too deep.
    """
    if '//' not in text and '/*' not in text and not _TRAILING_COMMA.search(text):
        return _check_depth(text)
    parts: list[str] = []
    pending_comma: int | None = None
    depth = 0
    for match in _TOKEN.finditer(text):
        kind, part = match.lastgroup, match.group()
        depth += _DEPTH_STEPS.get(kind or '', 0)
        if depth > MAX_DEPTH:
            raise TextError(f'the nesting is deeper than {MAX_DEPTH} levels', _line_of(text, match.start()))
        if kind == 'close' and pending_comma is not None:
            parts[pending_comma] = ' '
        if kind not in {'comment', 'space'}:
            pending_comma = len(parts) if part == ',' else None
        parts.append(_NOT_NEWLINE.sub(' ', part) if kind == 'comment' else part)
    return ''.join(parts)


def _check_depth(text: str) -> str:
    depth = 0
    for match in _BRACKET_OR_STRING.finditer(text):
        depth += _BRACKET_STEPS.get(match.group(), 0)
        if depth > MAX_DEPTH:
            raise TextError(f'the nesting is deeper than {MAX_DEPTH} levels', _line_of(text, match.start()))
    return text


def lines_by_path(text: str) -> dict[str, int]:
    """Find the line of every value of a well-formed text.

    :param text: JSON with comments that decodes.
    :returns: Line numbers from 1, by path such as ``services.x.groups``.
    """
    found = {'': 1}
    found.update(_paths_with_lines(text))
    return found


def nearest_line(found: dict[str, int], path: str) -> int:
    """Find the line of a path or, when it is absent, of its nearest parent.

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
    :returns: The plain value and the text.
    :raises TextError: when the bytes are not such a text; it carries the line.
    """
    try:
        text = raw.decode('utf-8')
    except UnicodeDecodeError as error:
        raise TextError(f'byte {error.start} is not UTF-8', raw.count(b'\n', 0, error.start) + 1) from None
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
    frames: list[_Frame] = []
    line = 1
    for match in _TOKEN.finditer(text):
        path = _process_token(frames, match.lastgroup or '', match.group())
        if path is not None:
            yield path, line
        line += match.group().count('\n')


def _process_token(frames: list[_Frame], kind: str, part: str) -> str | None:
    """Follow one token.

    :returns: The path of the value that begins with it, if one does.
    """
    top = frames[-1] if frames else None
    if kind == 'open':
        path = top.child_path() if top else ''
        frames.append(_Frame(path, is_object=part == '{'))
        return path if top else None
    if top is None:
        return None
    if kind == 'close':
        frames.pop()
        return None
    if part == ',':
        top.next_key = None
        top.index += 1
        return None
    if kind == 'string' and top.is_object and top.next_key is None:
        top.next_key = part[1:-1]
        return None
    return top.child_path() if kind in {'string', 'other'} else None


def _line_of(text: str, offset: int) -> int:
    return text.count('\n', 0, offset) + 1
