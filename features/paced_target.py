"""A target with a few slots and a line of statements in front of its pace, in virtual time."""

import dataclasses
import heapq
import random

from fescuequay_core.relay.pace import Pace, Unpaced
from fescuequay_core.types import Instant

#: Mean work by kind, in seconds, and how often it is asked for in each mix.
WORK_S_BY_KIND = {'lookup': 0.026, 'proof': 0.015, 'scan': 0.005}
WEIGHTS_BY_MIX = {'light': (1, 1, 8), 'usual': (1.5, 7, 1.5), 'heavy': (8, 1, 1)}

#: Spread of the work of one kind, and how often it is how many times as much.
_SPREAD = 0.6
_TAIL_SHARE, _TAIL_FACTOR = 0.03, 7.0

#: Time of a statement to the target and back, in seconds.
_NETWORK_S = 0.0005


@dataclasses.dataclass
class Moment:
    """What was seen when a statement was answered."""

    took_s: float


class FixedPace(Unpaced):
    """A limit that doesn't change."""

    def __init__(self, statements: int) -> None:
        self._statements = statements

    def limit(self, now: Instant) -> float:
        """:returns: The limit."""
        return self._statements


class PacedTarget:
    """A target that always has statements waiting in the line before it.

    :param pace: The pace under test.
    :param slots: Statements that it really runs at a time.
    :param queue: Further statements that it accepts before it turns some away.
    """

    def __init__(self, pace: Pace, slots: int, queue: int = 32, seed: int = 1) -> None:
        self.pace = pace
        self.slots = slots
        self.queue = queue
        self.mix = 'usual'
        self.slowness = 1.0
        self.now = 0.0
        self.moments: list[Moment] = []
        self.rejected = 0
        self._rng = random.Random(seed)
        self._free_at = [0.0] * slots
        self._ends: list[tuple[float, int, float, str, int]] = []
        self._number = 0
        self._counts_since = 0.0
        self._counted = 0

    def run(self, seconds: float) -> None:
        """Keep as many statements at the target as the pace allows."""
        until = self.now + seconds
        while self.now < until:
            while len(self._ends) < int(self.pace.limit(self.now)):
                self._send()
            end, _, sent_at, kind, in_flight = heapq.heappop(self._ends)
            self.now = end
            if kind == 'rejected':
                self.rejected += 1
                self.pace.record_overload(end)
            else:
                self.moments.append(Moment(end - sent_at))
                self.pace.record_answer(end, end - sent_at, in_flight, kind)

    def begin_count(self) -> None:
        """Count the statements that are served from now on."""
        self._counts_since = self.now
        self._counted = len(self.moments)

    def rate(self) -> float:
        """:returns: Statements served a second since the count began."""
        return (len(self.moments) - self._counted) / (self.now - self._counts_since)

    def _send(self) -> None:
        self._number += 1
        in_flight = len(self._ends) + 1
        if in_flight > self.slots + self.queue:
            heapq.heappush(self._ends, (self.now + _NETWORK_S, self._number, self.now, 'rejected', in_flight))
            return
        kind = self._rng.choices(list(WORK_S_BY_KIND), WEIGHTS_BY_MIX[self.mix])[0]
        work_s = WORK_S_BY_KIND[kind] * self.slowness * self._rng.lognormvariate(-(_SPREAD**2) / 2, _SPREAD)
        work_s *= _TAIL_FACTOR if self._rng.random() < _TAIL_SHARE else 1.0
        began_at = max(heapq.heappop(self._free_at), self.now + _NETWORK_S / 2)
        heapq.heappush(self._free_at, began_at + work_s)
        end = began_at + work_s + _NETWORK_S / 2
        heapq.heappush(self._ends, (end, self._number, self.now, kind, in_flight))
