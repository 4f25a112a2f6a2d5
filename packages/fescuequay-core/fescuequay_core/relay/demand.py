"""Work that organisations have recently asked of one target, and their even share of its capacity."""

import math
from typing import Final

from fescuequay_core.types import Instant, OrganisationId

#: Time constant of the demand of an organisation, in seconds: long enough that a few statements at once don't make a
#: small organisation look large.
_ORGANISATION_MEMORY_S: Final = 2.0

#: Time constant of the demand of a priority, in seconds: short enough to follow the end of a burst.
_PRIORITY_MEMORY_S: Final = 0.3

#: Work below which an organisation no longer counts as active, in seconds of one statement's run.
_ACTIVE_WORK_S: Final = 0.0005

#: Factor by which an organisation may exceed its even share before it counts as beyond: its arrivals scatter.
_SHARE_TOLERANCE: Final = 1.5

#: Interval at which inactive organisations are forgotten, in seconds.
_FORGET_INTERVAL_S: Final = 0.25


class DecayingRate:
    """Rate of what is added, with exponentially falling weight of what is older.

    :param memory_s: Time constant, in seconds.
    """

    def __init__(self, memory_s: float) -> None:
        self._memory_s = memory_s
        self._sum = 0.0
        self._at: Instant = 0.0

    def add(self, work_s: float, now: Instant) -> None:
        """Add work, in seconds."""
        self._sum = self.remaining(now) + work_s
        self._at = now

    def remaining(self, now: Instant) -> float:
        """:returns: What was added, weighted by age."""
        return self._sum * math.exp(min(self._at - now, 0) / self._memory_s)

    def rate(self, now: Instant) -> float:
        """:returns: Work a second."""
        return self.remaining(now) / self._memory_s


class Demand:
    """Work asked of one target, by organisation and by priority, in seconds of run for each second."""

    def __init__(self) -> None:
        self._rates_by_organisation: dict[OrganisationId, DecayingRate] = {}
        self._rates_by_priority: dict[tuple[int, bool], DecayingRate] = {}
        self._forgot_at: Instant = float('-inf')

    def record(self, organisation: OrganisationId, work_s: float, now: Instant) -> None:
        """Record that an organisation asks for work."""
        self._forget_inactive(now)
        rate = self._rates_by_organisation.setdefault(organisation, DecayingRate(_ORGANISATION_MEMORY_S))
        rate.add(work_s, now)

    def record_class(self, priority: int, work_s: float, now: Instant, *, is_within_share: bool) -> None:
        """Record the priority of the work, and whether its organisation is within its even share."""
        rate = self._rates_by_priority.setdefault((priority, is_within_share), DecayingRate(_PRIORITY_MEMORY_S))
        rate.add(work_s, now)

    def is_within_share(self, organisation: OrganisationId, concurrency: float, now: Instant) -> bool:
        """:returns: Whether an organisation asks for no more than an even part of what the target can run."""
        rate = self._rates_by_organisation.get(organisation)
        return rate is None or rate.rate(now) * self.active() <= concurrency * _SHARE_TOLERANCE

    def active(self) -> int:
        """:returns: Number of organisations that recently asked for work, at least 1."""
        return max(len(self._rates_by_organisation), 1)

    def rate_before(self, priority: int, now: Instant, *, is_within_share: bool) -> float:
        """:returns: Work a second that goes before a statement of a class because of its priority or its share."""
        return sum(
            rate.rate(now)
            for (other, is_other_within), rate in self._rates_by_priority.items()
            if other < priority or (other == priority and is_other_within and not is_within_share)
        )

    def rate_within_share(self, now: Instant) -> float:
        """:returns: Work a second that organisations within their even share ask for."""
        return sum(rate.rate(now) for (_, is_within), rate in self._rates_by_priority.items() if is_within)

    def rate(self, now: Instant) -> float:
        """:returns: All work asked for, a second."""
        return sum(rate.rate(now) for rate in self._rates_by_priority.values())

    def _forget_inactive(self, now: Instant) -> None:
        if now < self._forgot_at + _FORGET_INTERVAL_S:
            return
        self._forgot_at = now
        self._rates_by_organisation = {
            organisation: rate
            for organisation, rate in self._rates_by_organisation.items()
            if rate.remaining(now) > _ACTIVE_WORK_S
        }
