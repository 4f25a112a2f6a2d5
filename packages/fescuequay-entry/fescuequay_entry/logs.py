"""Logging in lines of key=value pairs, one line for each event."""

import logging
import os
import re
import sys
import time
from typing import Final

#: Maximum size of the log lines that wait for a slow reader, in bytes: some hundred lines.
MAX_PENDING_BYTES: Final = 65536

#: Maximum number of characters of a value; what is cut off is counted.
_MAX_VALUE_CHARS: Final = 1024

#: Values that are written as they are: printable ASCII without the characters that have a meaning in a line.
_PLAIN: Final = re.compile(f'[!#-<>-~]{{1,{_MAX_VALUE_CHARS}}}')

#: First codes of characters that need four and eight digits.
_MIN_WIDE_CODE: Final = 0x100
_MIN_LONG_CODE: Final = 0x10000

_ESCAPES_BY_CHAR: Final = {'\\': r'\\', '"': r'\"', '\n': r'\n', '\r': r'\r', '\t': r'\t'}


class KeyValueFormatter(logging.Formatter):
    """Formats a record as key=value pairs: time, level and event, followed by the record's ``pairs``."""

    def format(self, record: logging.LogRecord) -> str:
        """:returns: One line."""
        stamp = time.strftime('%Y-%m-%dT%H:%M:%S', time.gmtime(record.created))
        pairs: dict[str, object] = {
            'time': f'{stamp}.{int(record.msecs):03d}Z',
            'level': record.levelname.lower(),
            'event': record.getMessage(),
            **getattr(record, 'pairs', {}),
        }
        if record.exc_info and record.exc_info[0] is not None:
            pairs['error'] = f'{record.exc_info[0].__name__}: {record.exc_info[1]}'
        return ' '.join(f'{key}={_quote(value)}' for key, value in pairs.items())


class NonBlockingHandler(logging.Handler):
    """Writes log lines to a file descriptor without blocking.

    When the reader falls behind, lines are buffered until more than ``MAX_PENDING_BYTES`` are pending. Further
    lines are dropped, and the next line written is followed by one with the number of dropped lines.

    :param descriptor: File descriptor, open for writing.
    """

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        self.dropped = 0
        self._descriptor = descriptor
        self._pending = b''
        os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record, or drop and count it."""
        line = f'{self.format(record)}\n'.encode('utf-8', 'backslashreplace')
        if len(self._pending) > MAX_PENDING_BYTES:
            self._write(b'')
        if len(self._pending) > MAX_PENDING_BYTES:
            self.dropped += 1
            return
        if self.dropped:
            line += f'level=warning event=log_lines_dropped count={self.dropped}\n'.encode()
            self.dropped = 0
        self._write(line)

    def _write(self, line: bytes) -> None:
        self._pending += line
        try:
            written = os.write(self._descriptor, self._pending)
        except BlockingIOError:
            # The reader has fallen behind; the lines stay pending.
            return
        except OSError:
            # The reader has gone and no other log exists to report it in; discard the pending lines.
            written = len(self._pending)
        self._pending = self._pending[written:]


def configure(level: str, descriptor: int | None = None) -> None:
    """Configure the logging of this process, to standard error or to a file descriptor.

    :param level: Minimum level.
    :param descriptor: File descriptor, open for writing, to which lines are written without blocking.
    """
    handler = logging.StreamHandler(sys.stderr) if descriptor is None else NonBlockingHandler(descriptor)
    handler.setFormatter(KeyValueFormatter())
    logging.basicConfig(level=level.upper(), handlers=[handler], force=True)
    logging.getLogger('aiohttp.access').setLevel(logging.WARNING)


def escape(text: str) -> str:
    """:returns: A text with escapes for quotes, backslashes and whatever isn't printable, as in Python's literals."""
    return ''.join(
        _ESCAPES_BY_CHAR.get(char) or (char if char.isprintable() else _escape_code(ord(char))) for char in text
    )


def _escape_code(code: int) -> str:
    if code < _MIN_WIDE_CODE:
        return f'\\x{code:02x}'
    return f'\\u{code:04x}' if code < _MIN_LONG_CODE else f'\\U{code:08x}'


def _quote(value: object) -> str:
    """:returns: A value as it is if nobody can misread it, or quoted, with the number of characters cut off."""
    text = str(value)
    if _PLAIN.fullmatch(text):
        return text
    cut = len(text) - _MAX_VALUE_CHARS
    quoted = f'"{escape(text[:_MAX_VALUE_CHARS])}"'
    return f'{quoted}+{cut}' if cut > 0 else quoted
