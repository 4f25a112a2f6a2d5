"""How long one reading of a feed counts, from the time within which a change must be in force everywhere."""

import dataclasses
from typing import Final

#: Share of the bound for which one call waits for a change. A silent connection shows when its call is overdue, so this
#: is most of the time for which a reader can be deaf.
_WAIT_SHARE: Final = 1 / 3

#: Shortest and longest wait of one call, in seconds: the first bounds the number of calls, the second the time for
#: which the table keeps one open.
_MIN_WAIT_S: Final = 0.5
_MAX_WAIT_S: Final = 4.0

#: Time beyond its wait after which a call is overdue, in seconds; a slow table answers in 0.34 s.
_OVERDUE_S: Final = 0.5

#: Share of the bound for which an instance relies on a reading; the rest is for a reading of its own.
_RELIANCE_SHARE: Final = 0.8


@dataclasses.dataclass(frozen=True, slots=True)
class FeedTiming:
    """Times of the feeds that carry what operators and targets write.

    :param wait_s: Wait of one call for a change, in seconds.
    :param overdue_s: Time after the begin of a call at which its connection counts as silent, in seconds.
    :param max_age_s: Age of the last reading, its own or the coordinator's, from which an instance reads itself, in
        seconds.
    """

    wait_s: float
    overdue_s: float
    max_age_s: float


def feed_timing(bound_s: float) -> FeedTiming:
    """Derive the times of the feeds.

    :param bound_s: Time within which a change must be in force everywhere, in seconds.
    :returns: The times.
    """
    wait_s = min(max(bound_s * _WAIT_SHARE, _MIN_WAIT_S), _MAX_WAIT_S)
    overdue_s = wait_s + _OVERDUE_S
    return FeedTiming(wait_s, overdue_s, max(bound_s * _RELIANCE_SHARE, overdue_s))
