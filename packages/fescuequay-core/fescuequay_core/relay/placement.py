"""Ranks the targets of a read by the expected time of the answer; replicas that have the data precede the primary."""

import dataclasses
from collections.abc import Callable, Iterable, Iterator
from typing import Final

from fescuequay_core.relay.health import TargetHealth
from fescuequay_core.relay.model import TargetDescription
from fescuequay_core.types import Instant, TargetId

#: Extra time that a statement to another data centre costs in the comparison, in seconds: two crossings of
#: 0.5 ms and the cost of its bytes. A nearer target with one more statement in flight is not better.
_REMOTE_PENALTY_S: Final = 0.008

#: What a new connection costs, as a multiple of the time that it takes: the statement waits for it, and it takes a slot
#: of the target and usually displaces another organisation's connection.
_OPENING_COST_FACTOR: Final = 2.0

#: Penalty for reads on the primary, which keeps its capacity for writes, in seconds: a replica is preferred unless its
#: expected time is longer by more than this.
_PRIMARY_PENALTY_S: Final = 0.12

#: Exponent of the expected times in the odds of targets whose connections are held in common.
_SHARPNESS: Final = 1.5

#: Age from which a healthy replica is expected to have received and applied a commit, in seconds.
REPLICATION_DELAY_S: Final = 0.2


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """One target that may run a read.

    :param target: Its registry entry.
    :param health: Its observed health.
    :param available: Connections of this instance to it that are free or may be opened.
    :param waiting: Statements of this instance that wait for a connection to it.
    :param is_primary: Whether it leads the service.
    :param has_connection: Whether an idle connection is authenticated for the statement's organisation.
    :param is_shared: Whether its connections are held in common; other instances choose by the same figures then.
    """

    target: TargetDescription
    health: TargetHealth
    available: int
    waiting: int
    is_primary: bool
    has_connection: bool = True
    is_shared: bool = False

    def is_idle(self) -> bool:
        """:returns: Whether a statement that is sent now would not wait."""
        return self.waiting == 0 and self.available > 0

    def expected_s(self) -> float:
        """:returns: Expected time until a statement that is sent now has been answered."""
        if self.is_shared and self.target.slots:
            # What runs there is known for all instances together.
            return self.health.statement_s * (1 + self.waiting / self.target.slots)
        ahead = self.health.in_flight + self.waiting
        connections = max(self.health.in_flight + self.available, 1)
        opening_s = 0.0 if self.has_connection else self.health.connect_s * _OPENING_COST_FACTOR
        return self.health.statement_s * (1 + ahead / connections) + opening_s


def rank(
    candidates: Iterable[Candidate], data_centre: str, now: Instant, *, is_replicated: bool
) -> Iterator[Candidate]:
    """Order the targets that may run a read.

    :param candidates: Targets that are neither draining nor gone.
    :param data_centre: Where this instance runs.
    :param now: Present time.
    :param is_replicated: Whether the required position is old enough for a healthy replica to have it.
    :returns: The best one first; those that fail statements come after the others, and
            those that are paused because they do not answer last of all.
    """

    yield from sorted(candidates, key=lambda one: _cost(one, data_centre, now, is_replicated=is_replicated))


def pick(
    candidates: Iterable[Candidate], data_centre: str, now: Instant, draw: Callable[[], float], *, is_replicated: bool
) -> Candidate | None:
    """Pick the target of a read.

    Instances that choose by the same figures would all run to the same target until the next figures arrive. So under
    load, the others of its class are picked as often as their expected times deserve.

    :param candidates: Targets that are neither draining nor gone.
    :param data_centre: Where this instance runs.
    :param now: Present time.
    :param draw: Draws a random number from 0 to 1.
    :param is_replicated: Whether the required position is old enough for a healthy replica to have it.
    :returns: The target; nothing without candidates.
    """
    ranked = tuple(rank(candidates, data_centre, now, is_replicated=is_replicated))
    if not ranked or ranked[0].is_idle() or not all(candidate.is_shared for candidate in ranked):
        return next(iter(ranked), None)
    costs = [_cost(candidate, data_centre, now, is_replicated=is_replicated) for candidate in ranked]
    alike = [
        (candidate, cost[2] ** -_SHARPNESS)
        for candidate, cost in zip(ranked, costs, strict=True)
        if cost[:2] == costs[0][:2]
    ]
    left = draw() * sum(weight for _, weight in alike)
    for candidate, weight in alike:
        left -= weight
        if left < 0:
            return candidate
    return ranked[0]


def _cost(candidate: Candidate, data_centre: str, now: Instant, *, is_replicated: bool) -> tuple[bool, bool, float]:
    """:returns: Whether it is paused, whether it fails statements, and its expected time with penalties."""
    expected_s = candidate.expected_s()
    if candidate.target.data_centre != data_centre:
        expected_s += _REMOTE_PENALTY_S
    is_behind = not candidate.is_primary and (not is_replicated or now < candidate.health.behind_until)
    if candidate.is_primary or is_behind:
        expected_s += _PRIMARY_PENALTY_S
    if is_behind:
        expected_s += _PRIMARY_PENALTY_S
    return not candidate.health.is_usable(now), now < candidate.health.faulty_until, expected_s


def exclude_tried(candidates: Iterable[Candidate], tried: frozenset[TargetId]) -> Iterator[Candidate]:
    """:returns: The candidates that have not been tried for this statement."""
    return (candidate for candidate in candidates if candidate.target.target not in tried)


def exclude_silent(candidates: Iterable[Candidate], now: Instant) -> Iterator[Candidate]:
    """Leave out the targets that are paused, but not the last ones that accept connections.

    Under overload every target opens connections late. Were all of them paused at once, nothing would be left.

    :param candidates: Targets that may run a read.
    :param now: Present time.
    :returns: Those that are not paused; if there are none, those that are slow rather than silent.
    """
    remaining = tuple(candidates)
    usable = tuple(candidate for candidate in remaining if candidate.health.is_usable(now))
    yield from usable or (candidate for candidate in remaining if not candidate.health.is_silent)
