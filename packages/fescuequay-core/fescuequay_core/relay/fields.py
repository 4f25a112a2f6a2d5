"""Texts that are sent as parts of messages, headers and paths: which of them end none of these early."""

import re
from typing import Annotated, Final

import msgspec

from fescuequay_core.types import InstanceId

#: Characters that one program or another takes for the end of a line.
_LINE_END: Final = re.compile('[\0\r\n]')

#: Maximum length of a name in settings and records, in characters; the keys of rows are not longer.
_MAX_NAME_CHARS: Final = 190

#: Name of an instance in records and messages.
InstanceName = Annotated[InstanceId, msgspec.Meta(pattern=r'\A[!-~]+\Z', max_length=_MAX_NAME_CHARS)]

#: ``host:port`` of a listener in records and messages.
ListenerAddress = Annotated[str, msgspec.Meta(pattern=r'\A[!-~]+:[0-9]{1,5}\Z', max_length=_MAX_NAME_CHARS)]

#: The same where they may be empty, as in a lease that nobody holds.
OptionalInstanceName = Annotated[InstanceId, msgspec.Meta(pattern=r'\A[!-~]*\Z', max_length=_MAX_NAME_CHARS)]
OptionalAddress = Annotated[str, msgspec.Meta(pattern=r'\A([!-~]+:[0-9]{1,5})?\Z', max_length=_MAX_NAME_CHARS)]

#: Name of a data centre in records and messages.
DataCentreName = Annotated[str, msgspec.Meta(pattern=r'\A[^\x00-\x20\x7f]+\Z', max_length=_MAX_NAME_CHARS)]

_NAME: Final = re.compile('[^\0\r\n ]+')


def is_line(text: str) -> bool:
    """:returns: Whether a text can be the last field of a message, which extends to its end."""
    return _LINE_END.search(text) is None


def is_name(text: str) -> bool:
    """:returns: Whether a text can be any field of a message; all but the last one end at a blank."""
    return _NAME.fullmatch(text) is not None


def is_plain_name(text: str) -> bool:
    """:returns: Whether a text can be a name in keys of rows and in log lines: printable, and without blanks."""
    return 0 < len(text) <= _MAX_NAME_CHARS and text.isprintable() and ' ' not in text


def is_header_name(text: str) -> bool:
    """:returns: Whether a text can be a name that is sent in headers and paths, too: in ASCII."""
    return text.isascii() and is_plain_name(text)
