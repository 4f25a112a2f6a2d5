"""Decoding of JSON that others have written: whatever the bytes are, the outcome is a value or one kind of error."""

import re
from typing import Annotated, Any, Final, Generic, TypeVar

import msgspec

Shape = TypeVar('Shape')

#: Largest whole number of messages, records and rows: 64 bits with a sign.
MAX_INTEGER: Final = 9_223_372_036_854_775_807

#: Whole numbers of messages, records and rows.
Integer = Annotated[int, msgspec.Meta(ge=-MAX_INTEGER, le=MAX_INTEGER)]
Natural = Annotated[int, msgspec.Meta(ge=0, le=MAX_INTEGER)]

#: Maximum length of a decoder's complaint, in characters.
_DETAIL_CHARACTERS: Final = 120

#: A string, which may lack its end, or a bracket outside strings.
_TOKEN: Final = re.compile(rb'"(?:[^"\\]|\\.)*\\?(?:"|\Z)|[\[\]{}]', re.DOTALL)


#: A string, and the colon after it if it is the name of a field.
_STRING: Final = re.compile(rb'("(?:[^"\\]|\\.)*")(\s*:)?', re.DOTALL)


class UnreadableError(ValueError):
    """Bytes that are no JSON of the expected shape."""


class JsonDecoder(Generic[Shape]):
    """Decodes JSON of one shape.

    :param kind: Type of the value.
    """

    def __init__(self, kind: object) -> None:
        self._kind: Any = kind
        self._decoder: msgspec.json.Decoder[Shape] = msgspec.json.Decoder(kind)

    def decode(self, raw: bytes | msgspec.Raw) -> Shape:
        """:returns: The value. :raises UnreadableError: The bytes are malformed, of another shape or too deep."""
        try:
            return self._decoder.decode(raw)
        except RecursionError:
            raise UnreadableError('nested too deep') from None
        except msgspec.MsgspecError as error:
            raise UnreadableError(str(error)[:_DETAIL_CHARACTERS]) from None

    def convert(self, plain: object) -> Shape:
        """:returns: The value of plain JSON. :raises UnreadableError: It is of another shape."""
        try:
            shaped: Shape = msgspec.convert(plain, self._kind)
        except (msgspec.ValidationError, RecursionError) as error:
            raise UnreadableError(str(error)[:_DETAIL_CHARACTERS]) from None
        return shaped


def prune(raw: bytes, levels: int) -> bytes:
    """Replace what is nested too deep by ``null``, so that the rest of a document can be decoded.

    :param raw: JSON; of other bytes some may be missing from the result.
    :param levels: Number of nested arrays and objects that are kept.
    :returns: JSON with at most that many.
    """
    kept: list[bytes] = []
    depth = kept_until = 0
    for token in _TOKEN.finditer(raw):
        if token[0] in b'[{':
            if depth == levels:
                kept.append(raw[kept_until : token.start()] + b'null')
            depth += 1
        elif token[0] in b']}':
            depth -= 1
            if depth == levels:
                kept_until = token.end()
    if depth <= levels:
        kept.append(raw[kept_until:])
    return b''.join(kept)


_STRINGS: Final = JsonDecoder[str](str)


def replace_malformed_strings(raw: bytes) -> bytes:
    """Replace strings that no decoder reads, as one with half of a surrogate pair, so that the rest can be decoded.

    :param raw: JSON.
    :returns: JSON with ``null`` for such strings, and an empty name for fields whose name is one.
    """
    return _STRING.sub(_replace_if_malformed, raw)


def _replace_if_malformed(found: re.Match[bytes]) -> bytes:
    text, colon = found.groups()
    try:
        _STRINGS.decode(text)
    except UnreadableError:
        return b'""' + colon if colon else b'null'
    return found[0]
