"""Logs: one line of key=value pairs for each event."""

import logging
import os
import sys
import time
from typing import Final

#: Bytes of log lines that may wait for a slow reader: some hundred lines.
MAX_PENDING_BYTES: Final = 65536

_QUOTED_CHARS: Final = frozenset(' ="\n\r\t')


class KeyValueFormatter(logging.Formatter):
    """Writes the message as the event and the record's ``pairs`` behind it."""

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
    """Writes lines to a descriptor without ever waiting for its reader.

    A reader that falls behind costs lines, never time: up to ``MAX_PENDING_BYTES`` bytes wait, further lines are
    dropped, and the next line that fits says how many.

    :param descriptor: Open for writing.
    """

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        self.dropped = 0
        self._descriptor = descriptor
        self._pending = b''
        os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record, or count it as dropped."""
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
            # The reader is behind; the lines wait.
            return
        except OSError:
            # Nobody reads any more, and there is nowhere to say so.
            written = len(self._pending)
        self._pending = self._pending[written:]


def configure(level: str, descriptor: int | None = None) -> None:
    """Send the logs of this process to standard error, or to a descriptor.

    :param level: Least level.
    :param descriptor: Open for writing; lines go there without ever waiting for its reader.
    """
    handler = logging.StreamHandler(sys.stderr) if descriptor is None else NonBlockingHandler(descriptor)
    handler.setFormatter(KeyValueFormatter())
    logging.basicConfig(level=level.upper(), handlers=[handler], force=True)
    logging.getLogger('aiohttp.access').setLevel(logging.WARNING)


def _quote(value: object) -> str:
    text = str(value)
    if text and not _QUOTED_CHARS.intersection(text):
        return text
    escaped = text.replace('\\', '\\\\').replace('"', '\\"').replace('\n', '\\n').replace('\r', '\\r')
    return f'"{escaped}"'
