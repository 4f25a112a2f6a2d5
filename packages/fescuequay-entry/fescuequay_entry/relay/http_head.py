"""Heads of HTTP/1.1 messages, checked where their bytes are produced: no text of a caller can end one early."""

import re
from collections.abc import Iterable
from http import HTTPStatus
from typing import Final

#: A method or the name of a field.
_TOKEN: Final = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+")

#: Path and query.
_TARGET: Final = re.compile('/[!"$-~]*')

#: Content of a field; blanks at either end would not arrive.
_CONTENT: Final = re.compile('(?:[!-~\x80-\xff](?:[\t -~\x80-\xff]*[!-~\x80-\xff])?)?')

#: Fields by which a body would have another end than by its length.
_RESERVED: Final = frozenset(('transfer-encoding', 'upgrade', 'trailer'))

#: Maximum length of a text in an error.
_DETAIL_CHARACTERS: Final = 60


class HeadError(ValueError):
    """A text can't stand where it should in the head of a message."""


def encode_request(method: str, target: str, fields: Iterable[tuple[str, str]]) -> bytes:
    """Encode the head of a request.

    :param method: Its method.
    :param target: Path and query.
    :param fields: Names and contents of the header fields.
    :returns: The bytes up to the body.
    :raises HeadError: A part of it is malformed.
    """
    _check('method', _TOKEN, method)
    _check('path', _TARGET, target)
    return _encode(f'{method} {target} HTTP/1.1', fields)


def encode_response(status: HTTPStatus, fields: Iterable[tuple[str, str]]) -> bytes:
    """Encode the head of a response.

    :param status: Its status.
    :param fields: Names and contents of the header fields.
    :returns: The bytes up to the body.
    :raises HeadError: A field is malformed.
    """
    return _encode(f'HTTP/1.1 {status.value} {status.phrase}', fields)


def _encode(start: str, fields: Iterable[tuple[str, str]]) -> bytes:
    lines = [start]
    names = set(_RESERVED)
    for name, content in fields:
        _check('header name', _TOKEN, name)
        _check(f'header {name}', _CONTENT, content)
        if name.lower() in names:
            raise HeadError(f'header {name[:_DETAIL_CHARACTERS]} is reserved or stands twice')
        names.add(name.lower())
        lines.append(f'{name}: {content}')
    return '\r\n'.join([*lines, '', '']).encode('latin-1')


def _check(part: str, pattern: re.Pattern[str], text: str) -> None:
    if pattern.fullmatch(text) is None:
        raise HeadError(f'malformed {part[:_DETAIL_CHARACTERS]}: {text[:_DETAIL_CHARACTERS]!r}')
