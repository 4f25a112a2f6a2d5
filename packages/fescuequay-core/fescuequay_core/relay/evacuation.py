"""Data centres whose targets get no more work because operators evacuate them.

It answers planned work under the usual load: reads move at once, and a primary has a short time in which the
coordinator replaces it, since refusing its writes meanwhile would help nobody. What then still needs it is refused
at once.
"""

from collections.abc import Mapping
from typing import Final

from fescuequay_core.types import Instant

#: Share of the operators' bound for which a primary in an evacuated data centre is still used. A replacement takes two
#: seconds; the rest of the bound covers the time until this instance learns of the evacuation.
_REPLACEMENT_SHARE: Final = 0.5


class Evacuations:
    """Evacuated data centres, and since when this instance has known of each.

    :param bound_s: Time from the operators' request after which no target there may get work, in seconds.
    """

    def __init__(self, bound_s: float) -> None:
        self._replacement_s = bound_s * _REPLACEMENT_SHARE
        self._known_since: dict[str, Instant] = {}
        #: Whether the list was ever read.
        self.is_known = False

    @property
    def data_centres(self) -> tuple[str, ...]:
        """:returns: The evacuated data centres, by name."""
        return tuple(sorted(self._known_since))

    def ages_s(self, now: Instant) -> dict[str, float]:
        """:returns: Time since each evacuation became known, in seconds, by data centre."""
        return {name: now - since for name, since in self._known_since.items()}

    def replace(self, since_by_data_centre: Mapping[str, Instant]) -> tuple[str, ...]:
        """Replace the list.

        :param since_by_data_centre: All data centres that are evacuated now, and since when that has been known.
        :returns: Those that were not evacuated before, and those that no longer are.
        """
        self.is_known = True
        changed = tuple(sorted(set(since_by_data_centre) ^ set(self._known_since)))
        self._known_since = {
            name: min(since, self._known_since.get(name, since)) for name, since in since_by_data_centre.items()
        }
        return changed

    def includes(self, data_centre: str) -> bool:
        """:returns: Whether targets there get no more reads, and primaries there are to be replaced."""
        return data_centre in self._known_since

    def is_closed(self, data_centre: str, now: Instant) -> bool:
        """:returns: Whether targets there get no more work at all, primaries included."""
        known_since = self._known_since.get(data_centre)
        return known_since is not None and now - known_since >= self._replacement_s
