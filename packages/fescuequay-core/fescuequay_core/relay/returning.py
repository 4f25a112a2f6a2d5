"""When refused callers may come back: one after another, at the rate at which their organisation is served."""

import math
from typing import Final

from fescuequay_core.types import Instant, OrganisationId

#: Longest time after which a caller is asked to come back, in seconds; later ones are spread over its second half.
_LONGEST_RETRY_AFTER_S: Final = 2.0

#: Its multiples modulo 1 are spread evenly however many there are.
_GOLDEN_RATIO: Final = 0.618034


class ReturnTimes:
    """Times that refused callers of one target were told to come back at."""

    def __init__(self) -> None:
        self._latest_by_organisation: dict[OrganisationId, Instant] = {}
        self._overflows = 0

    def next_after(self, organisation: OrganisationId, now: Instant, drain_s: float, interval_s: float) -> float:
        """Find the time after which one more refused caller of an organisation has room.

        :param organisation: The organisation.
        :param now: Present time.
        :param drain_s: Expected time until the queue is short enough for it, in seconds.
        :param interval_s: Time in which the organisation's share runs one statement, in seconds.
        :returns: The time, in seconds.
        """
        earliest = now + min(drain_s, _LONGEST_RETRY_AFTER_S / 2)
        latest = self._latest_by_organisation.get(organisation, float('-inf'))
        at = max(earliest, latest + interval_s)
        if at > now + _LONGEST_RETRY_AFTER_S:
            self._overflows += 1
            spread = math.modf(self._overflows * _GOLDEN_RATIO)[0]
            return (1 + spread) * _LONGEST_RETRY_AFTER_S / 2
        self._latest_by_organisation[organisation] = at
        return at - now

    def forget_past(self, now: Instant) -> None:
        """Forget the organisations whose callers have all been due."""
        self._latest_by_organisation = {
            organisation: at for organisation, at in self._latest_by_organisation.items() if at > now
        }
