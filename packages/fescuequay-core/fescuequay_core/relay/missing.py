"""Entries of a list that are missing from its latest reading, and whether they are gone."""

from collections.abc import Iterator
from typing import Final, Generic, TypeVar

from fescuequay_core.types import Instant

Key = TypeVar('Key', bound=str)

#: Time after a failure of the table during which a missing entry is kept, in seconds. Entries that expired while the
#: table was unavailable, or that a copy of it lacks, are back within about 2 s of its return.
REMOVAL_DELAY_S: Final = 2.5


class MissingEntries(Generic[Key]):
    """Entries in doubt: missing, but soon after a failure of the table."""

    def __init__(self) -> None:
        self._missing_since: dict[Key, Instant] = {}
        self._failed_at: Instant = float('-inf')

    def record_failure(self, now: Instant) -> None:
        """Record that the table did not answer, or has come back from a copy."""
        self._failed_at = now

    def record_present(self, key: Key) -> None:
        """Record that an entry is in the list."""
        self._missing_since.pop(key, None)

    def forget(self) -> None:
        """Forget all doubts, because the whole list was replaced from another source."""
        self._missing_since.clear()

    def failed_s(self, now: Instant) -> float:
        """:returns: Time since the latest failure, in seconds."""
        return now - self._failed_at

    def is_gone(self, key: Key, now: Instant) -> bool:
        """Decide about an entry that is missing from the list.

        :param key: Its key.
        :param now: Present time.
        :returns: Whether it may be removed now; otherwise it is in doubt.
        """
        if self.failed_s(now) >= REMOVAL_DELAY_S:
            return True
        self._missing_since.setdefault(key, now)
        return False

    def pop_expired(self, now: Instant) -> Iterator[Key]:
        """:returns: Entries that have been in doubt for long enough."""
        for key, missing_since in tuple(self._missing_since.items()):
            if now - max(missing_since, self._failed_at) >= REMOVAL_DELAY_S:
                self._missing_since.pop(key)
                yield key
