"""A small model of the HTTP/1.1 messages that the product accepts, independent of its parser."""

import dataclasses
import re
from collections.abc import Iterator
from typing import Final

_METHOD: Final = rb'(?P<method>GET|HEAD|POST|PUT|DELETE|OPTIONS|CONNECT)'
_TOKEN: Final = rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+"
_FIELD: Final = rb'(?:' + _TOKEN + rb':[\t ]*[\t -~\x80-\xff]*\r\n)'
_REQUEST_HEAD: Final = re.compile(
    rb'[\r\n]*' + _METHOD + rb' +(?P<target>[/*][!-~]*|[a-z]+:80) +HTTP/(?P<version>1\.[01])\r\n'
    rb'(?P<fields>' + _FIELD + rb'*)\r\n'
)
_RESPONSE_HEAD: Final = re.compile(
    rb'[\r\n]*HTTP/(?P<version>1\.[01]) (?P<status>[0-9]{3})(?: [^\r\n]*)?\r\n(?P<fields>' + _FIELD + rb'*)\r\n'
)
_CHUNK: Final = re.compile(rb'(?P<size>[0-9a-fA-F]{1,16})(?:;' + _TOKEN + rb'(?:=' + _TOKEN + rb')?)*\r\n')
_TRAILER: Final = re.compile(_FIELD + rb'*\r\n')
_LENGTH: Final = re.compile(rb'[0-9]{1,19}')

#: Statuses of responses without a body.
_NO_BODY: Final = frozenset((204, 304))


class MalformedError(ValueError):
    """The bytes are no beginning of a message that is accepted, or not yet a whole one."""


@dataclasses.dataclass(frozen=True, slots=True)
class Message:
    """A whole message.

    :param start: Method and path, or the status.
    :param fields: Its header fields, by name in lower case.
    :param body: Its body.
    :param is_last: Whether the connection ends behind it.
    """

    start: tuple[str, ...]
    fields: dict[str, str]
    body: bytes
    is_last: bool


def requests(stream: bytes) -> Iterator[Message]:
    """:returns: The requests before the first bytes that are none."""
    end = 0
    is_last = False
    while not is_last:
        head = _REQUEST_HEAD.match(stream, end)
        if head is None:
            return
        try:
            fields = _decode_fields(head['fields'])
            if head['method'] == b'CONNECT' or ('upgrade' in fields and 'upgrade' in _options(fields)):
                return
            body, end = _decode_body(fields, stream, head.end(), is_until_end=False)
        except MalformedError:
            return
        is_last = _is_last(head['version'], fields)
        yield Message((head['method'].decode(), head['target'].split(b'?')[0].decode()), fields, body, is_last)


def response(stream: bytes) -> tuple[Message, bool]:
    """:returns: The response in what one connection received until its end, and whether anything follows it.

    :raises MalformedError: There is no whole one.
    """
    status = end = 0
    while status < 200:
        head = _RESPONSE_HEAD.match(stream, end)
        if head is None:
            raise MalformedError('head')
        status, end = int(head['status']), head.end()
        fields = _decode_fields(head['fields'])
        if status < 100 or status == 101:
            raise MalformedError('status')
        if status < 200 and not {'content-length', 'transfer-encoding'}.isdisjoint(fields):
            _decode_coding(fields)
    is_framed = status in _NO_BODY or not {'content-length', 'transfer-encoding'}.isdisjoint(fields)
    if status in _NO_BODY:
        _decode_coding(fields)
        body = b''
    else:
        body, end = _decode_body(fields, stream, end, is_until_end=True)
    is_last = not is_framed or _is_last(head['version'], fields)
    return Message((str(status),), fields, body, is_last), end < len(stream)


def _decode_fields(raw: bytes) -> dict[str, str]:
    fields: dict[str, str] = {}
    for line in raw.split(b'\r\n')[:-1]:
        name, _, content = line.decode('latin-1').partition(':')
        before = fields.get(name.lower())
        # A tab may stand behind any content but a coding of the body, which the parser then doesn't know.
        text = content.lstrip(' \t').rstrip(' ' if name.lower() == 'transfer-encoding' else ' \t')
        if before is not None and name.lower() in {'content-length', 'transfer-encoding'}:
            raise MalformedError('a field twice')
        fields[name.lower()] = text if before is None else f'{before}, {text}'
    return fields


def _decode_coding(fields: dict[str, str]) -> int | None:
    """:returns: The length of the body; ``None`` for one in chunks."""
    coding = fields.get('transfer-encoding')
    length = fields.get('content-length')
    if coding is not None:
        if coding.lower() != 'chunked' or length is not None:
            raise MalformedError('coding')
        return None
    if _LENGTH.fullmatch((length or '0').encode('latin-1') if length != '' else b'') is None:
        raise MalformedError('length')
    return int(length or 0)


def _decode_body(fields: dict[str, str], stream: bytes, begin: int, *, is_until_end: bool) -> tuple[bytes, int]:
    size = _decode_coding(fields)
    if size is None:
        return _decode_chunks(stream, begin)
    if is_until_end and 'content-length' not in fields:
        return stream[begin:], len(stream)
    if len(stream) < begin + size:
        raise MalformedError('not whole')
    return stream[begin : begin + size], begin + size


def _decode_chunks(stream: bytes, begin: int) -> tuple[bytes, int]:
    parts = []
    end = begin
    while True:
        chunk = _CHUNK.match(stream, end)
        if chunk is None:
            raise MalformedError('chunk')
        size, end = int(chunk['size'], 16), chunk.end()
        if not size:
            break
        parts.append(stream[end : end + size])
        if stream[end + size : end + size + 2] != b'\r\n':
            raise MalformedError('end of chunk')
        end += size + 2
    trailer = _TRAILER.match(stream, end)
    if trailer is None or not {'content-length', 'transfer-encoding'}.isdisjoint(_decode_fields(trailer[0][:-2])):
        raise MalformedError('trailer')
    return b''.join(parts), trailer.end()


def _options(fields: dict[str, str]) -> set[str]:
    return {option.strip(' \t').lower() for option in fields.get('connection', '').split(',')}


def _is_last(version: bytes, fields: dict[str, str]) -> bool:
    options = _options(fields)
    return 'close' in options or (version == b'1.0' and 'keep-alive' not in options)
