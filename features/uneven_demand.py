"""Demand that swings between data centres, placed by many instances that know the load with a delay."""

import collections
import dataclasses
import heapq
import math
import random

from fescuequay_core.relay import placement
from fescuequay_core.relay.health import TargetHealth
from fescuequay_core.relay.model import TargetDescription
from fescuequay_core.types import Role, ServiceId, TargetId

DATA_CENTRES = ('north', 'east', 'west')
SLOTS = 4
_WORK_S = 0.02
_REPORT_INTERVAL_S = 0.1
_SWING, _PERIOD_S = 0.55, 13.0

#: Demand on a data centre at the middle of the wave, as a share of what its target can do.
_LOAD = 0.9


@dataclasses.dataclass(frozen=True, slots=True)
class Wave:
    """What targets and callers saw.

    :param uses: Busy time of the targets in each second, in slot seconds.
    :param waits_s: How long each statement waited.
    """

    uses: list[list[float]]
    waits_s: list[float]

    def longest_uneven_s(self, factor: float) -> int:
        """:returns: Longest time for which a target was used more than a multiple of the mean, in seconds."""
        longest = present = 0
        for uses in self.uses:
            is_uneven = max(uses) > factor * sum(uses) / len(uses)
            present = present + 1 if is_uneven else 0
            longest = max(longest, present)
        return longest


def play_wave(seconds: int, *, is_drawn: bool, seed: int) -> Wave:
    """Play a wave of demand whose tops come a third of a period apart.

    :param seconds: Its length.
    :param is_drawn: Whether the instances draw between the two best targets instead of taking the best one.
    :param seed: Seed of the arrivals and draws.
    :returns: What the targets and callers saw.
    """
    rng = random.Random(seed)
    targets = [
        TargetDescription(TargetId(f't-{dc}'), 1, ServiceId('s'), f'{dc}:9', dc, False, Role.REPLICA, slots=SLOTS)
        for dc in DATA_CENTRES
    ]
    health = TargetHealth(statement_s=_WORK_S)
    free_at = {target.target: [0.0] * SLOTS for target in targets}
    reported: dict[TargetId, tuple[int, int]] = {target.target: (0, SLOTS) for target in targets}
    queued: dict[TargetId, list[float]] = {target.target: [] for target in targets}
    used = [collections.Counter[TargetId]() for _ in range(seconds + 60)]
    reported_at = 0.0
    waits_s = []
    for now, data_centre in _arrivals(rng, seconds):
        if now >= reported_at + _REPORT_INTERVAL_S:
            reported_at = now
            for name in queued:
                queued[name] = [begin for begin in queued[name] if begin > now]
                reported[name] = (len(queued[name]), sum(end <= now for end in free_at[name]))
        candidates = [
            placement.Candidate(
                target, health, reported[target.target][1], reported[target.target][0], False, is_shared=True
            )
            for target in targets
        ]
        draw = rng.random() if is_drawn else -1.0
        chosen = placement.pick(candidates, data_centre, now, lambda draw=draw: draw, is_replicated=True)
        assert chosen is not None
        name = chosen.target.target
        work_s = rng.expovariate(1 / _WORK_S)
        begin = max(heapq.heappop(free_at[name]), now)
        heapq.heappush(free_at[name], begin + work_s)
        queued[name].append(begin)
        waits_s.append(begin - now)
        used[int(begin)][name] += work_s
    return Wave([[second[target.target] for target in targets] for second in used[:seconds]], waits_s)


def _arrivals(rng: random.Random, seconds: int) -> list[tuple[float, str]]:
    arrivals = []
    for number, data_centre in enumerate(DATA_CENTRES):
        now = 0.0
        while now < seconds:
            wave = 1 + _SWING * math.sin(2 * math.pi * (now / _PERIOD_S + number / len(DATA_CENTRES)))
            now += rng.expovariate(wave * _LOAD * SLOTS / _WORK_S)
            arrivals.append((now, data_centre))
    return sorted(arrivals)
