"""Bounded in-memory log of the decisions of an instance and their causes."""

import collections
import dataclasses
import heapq
from collections.abc import Iterator
from typing import Final

from fescuequay_core.commands import Incident
from fescuequay_core.types import Instant

#: Incidents kept for each name, so that a flood of refusals does not evict the entries of a failover.
MAX_INCIDENTS: Final = 1024


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """One recorded incident.

    :param at: When it was recorded, in monotonic time of the instance.
    :param incident: The incident.
    """

    at: Instant
    incident: Incident


class Journal:
    """Keeps the latest incidents for ``fescuequayctl explain``."""

    def __init__(self) -> None:
        self._entries_by_name: dict[str, collections.deque[Entry]] = {}

    def record(self, incident: Incident, now: Instant) -> None:
        """Record an incident.

        :param incident: The incident.
        :param now: Present time.
        """
        entries = self._entries_by_name.setdefault(incident.name, collections.deque(maxlen=MAX_INCIDENTS))
        entries.append(Entry(now, incident))

    def about(self, subject: str) -> Iterator[Entry]:
        """Find the entries about a request, group, organisation, target or instance.

        :param subject: Its id.
        :returns: Entries, oldest first.
        """
        entries = heapq.merge(*self._entries_by_name.values(), key=lambda entry: entry.at)
        for entry in entries:
            values = {value for _, value in entry.incident.details}
            if entry.incident.subject == subject or subject in values:
                yield entry
