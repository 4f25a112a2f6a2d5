"""Log lines that others can cause, bounded by their number."""

import asyncio
import logging
from typing import Any, Final

from fescuequay_entry.relay.board import log_event

#: Time in which the number of lines is bounded, in seconds.
_INTERVAL_S: Final = 10.0

#: Most lines in that time.
_MAX_LINES: Final = 20


class BoundedLog:
    """Logs events of one source; of those beyond the bound, their number is logged as the interval ends.

    :param source: Name of the source, for the line with that number.
    """

    def __init__(self, source: str) -> None:
        self._source = source
        self._count = 0

    def log(self, event: str, *, level: int = logging.WARNING, **pairs: Any) -> None:
        """Log an event as one line, or count it.

        :param event: Name of the event.
        :param level: Log level.
        :param pairs: What the line says.
        """
        if not self._count:
            asyncio.get_running_loop().call_later(_INTERVAL_S, self._end_interval)
        self._count += 1
        if self._count <= _MAX_LINES:
            log_event(event, level=level, **pairs)

    def _end_interval(self) -> None:
        if self._count > _MAX_LINES:
            log_event('lines_omitted', level=logging.WARNING, source=self._source, count=self._count - _MAX_LINES)
        self._count = 0
