"""Fields of messages to callers and targets: which texts end neither their field nor their message early."""

import re
from typing import Final

#: Characters that one program or another takes for the end of a line.
_LINE_END: Final = re.compile('[\0\r\n]')

_NAME: Final = re.compile('[^\0\r\n ]+')


def is_line(text: str) -> bool:
    """:returns: Whether a text can be the last field of a message, which extends to its end."""
    return _LINE_END.search(text) is None


def is_name(text: str) -> bool:
    """:returns: Whether a text can be any field of a message; all but the last one end at a blank."""
    return _NAME.fullmatch(text) is not None
