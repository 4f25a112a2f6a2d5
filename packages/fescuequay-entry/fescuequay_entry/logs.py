"""Logs: one line of key=value pairs for each event."""

import logging
import sys
import time
from typing import Final

_NEEDS_QUOTES: Final = frozenset(' ="\n\r\t')


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
        return ' '.join(f'{key}={_quoted(value)}' for key, value in pairs.items())


def configure(level: str) -> None:
    """Send the logs of this process to standard error.

    :param level: Least level.
    """
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(KeyValueFormatter())
    logging.basicConfig(level=level.upper(), handlers=[handler], force=True)
    logging.getLogger('aiohttp.access').setLevel(logging.WARNING)


def _quoted(value: object) -> str:
    text = str(value)
    if text and not _NEEDS_QUOTES.intersection(text):
        return text
    escaped = text.replace('\\', '\\\\').replace('"', '\\"').replace('\n', '\\n').replace('\r', '\\r')
    return f'"{escaped}"'
