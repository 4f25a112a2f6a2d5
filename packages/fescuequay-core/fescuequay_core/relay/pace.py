"""How many statements may be at a target at a time."""

import abc
import dataclasses
import enum
import math
from collections.abc import Callable, Hashable, Iterator
from typing import Final

from fescuequay_core.relay.answer_times import AnswerTimes
from fescuequay_core.relay.model import TargetDescription
from fescuequay_core.types import Instant, TargetId

#: Limit after a start, a recovery or a promotion.
_FIRST_LIMIT: Final = 2.0

#: Least limit: work must go on, or nothing would show that the target has recovered.
_MIN_LIMIT: Final = 1.0

#: Statements beyond the slots at the start, so that a slot that becomes free has work at once.
_MARGIN: Final = 1.0

#: Assumed slots of a target that does not state them.
_UNKNOWN_SLOTS: Final = 4

#: Answers that are judged together: single ones differ too much.
_WINDOW_ANSWERS: Final = 16

#: Mean multiple of the undisturbed time up to which the limit grows, and from which it falls.
_QUICK_RATIO: Final = 1.25
_SLOW_RATIO: Final = 1.6

#: Multiple of the undisturbed time from which on a single answer ends the climb after a start.
_STALLED_RATIO: Final = 4.0

#: Answers after which the limit is lowered for a window if hardly any of them showed the undisturbed time.
_BLIND_ANSWERS: Final = 400

#: Factors of the limit after slow answers (at least), a rejection, and a missing answer.
_LEAST_SLOW_FACTOR: Final = 0.7
_OVERLOAD_FACTOR: Final = 0.7
_FAILURE_FACTOR: Final = 0.5

#: Time for which further rejections and failures count as one, in seconds: they come from the same moment.
_SAME_CAUSE_S: Final = 0.1

#: Least time between two reported changes of a target's limit, in seconds.
_REPORT_INTERVAL_S: Final = 0.5


class PaceCause(enum.Enum):
    """Why a limit was changed."""

    QUICK = 'quick_answers'
    SLOW = 'slow_answers'
    OVERLOAD = 'overload'
    FAILURE = 'failure'
    RESTART = 'restart'


@dataclasses.dataclass(frozen=True, slots=True)
class PaceChange:
    """Change of a limit.

    :param before: Limit that was reported last.
    :param lowest: Lowest limit since then.
    :param after: Present limit.
    :param cause: Why it was changed last; if it was begun anew since the last report, that.
    :param ratio: Mean multiple of the undisturbed answer time in the latest window.
    """

    before: int
    lowest: int
    after: int
    cause: PaceCause
    ratio: float


class Pace(abc.ABC):
    """Limit of the statements that one instance may have at a target at a time."""

    @abc.abstractmethod
    def limit(self, now: Instant) -> float:
        """:returns: Statements and openings of connections that may be at the target at a time."""

    @abc.abstractmethod
    def record_answer(self, now: Instant, took_s: float, in_flight: int, kind: Hashable = None) -> None:
        """Record a statement that ran.

        :param now: Present time.
        :param took_s: Time of its answer, in seconds.
        :param in_flight: Number of statements that were at the target when it was sent, this one included.
        :param kind: Kind of its work; only statements of the same kind are compared.
        """

    @abc.abstractmethod
    def record_overload(self, now: Instant) -> None:
        """Record that the target turned a statement or a connection away because it is full."""

    @abc.abstractmethod
    def record_failure(self, now: Instant) -> None:
        """Record that the target did not answer."""

    @abc.abstractmethod
    def restart(self, now: Instant) -> None:
        """Begin anew, since the target has just started, recovered or been promoted."""

    def take_changes(self, now: Instant) -> Iterator[PaceChange]:
        """:returns: The change since the one that was returned last; nothing if there was none, or only just now."""
        yield from ()


class Unpaced(Pace):
    """No limit besides the connections."""

    def limit(self, now: Instant) -> float:
        """:returns: No limit."""
        return math.inf

    def record_answer(self, now: Instant, took_s: float, in_flight: int, kind: Hashable = None) -> None:
        """Ignore the answer."""

    def record_overload(self, now: Instant) -> None:
        """Ignore the overload."""

    def record_failure(self, now: Instant) -> None:
        """Ignore the failure."""

    def restart(self, now: Instant) -> None:
        """Ignore the restart."""


class AnswerPace(Pace):
    """Finds the limit from the target's answers.

    It grows by one for each window of answers that are about as quick as without a queue while the limit is used, and
    shrinks with those that are slower, though not below the slots. After a start or restart it climbs by one
    with each answer, up to the limit that had been found before. If the target is never idle enough to show its
    undisturbed time, the limit is lowered for a window from time to time.

    :param slots: Statements that the target says it runs at a time; 0 if it does not say so.
    """

    def __init__(self, slots: int) -> None:
        guess = slots or _UNKNOWN_SLOTS
        # Up to its slots, no statement waits for another one.
        self._quiet = guess
        self._found = guess + _MARGIN
        self._limit = min(_FIRST_LIMIT, self._found)
        self._is_climbing = True
        self._answers_since_quiet = 0
        self._quiet_answers = 0
        self._times = AnswerTimes()
        self._ratios: list[float] = []
        self._most_in_flight = 0
        self._ratio = 1.0
        self._reduced_at: Instant = -math.inf
        self._cause = PaceCause.QUICK
        self._reported = int(self._limit)
        self._lowest = self._limit
        self._is_restarted = False
        self._reported_at: Instant = -math.inf

    def limit(self, now: Instant) -> float:
        """:returns: Statements and openings of connections that may be at the target at a time."""
        return min(self._limit, self._quiet) if self._is_blind() else self._limit

    def record_answer(self, now: Instant, took_s: float, in_flight: int, kind: Hashable = None) -> None:
        """Record a statement that ran; the limit may grow or shrink."""
        is_quiet = in_flight <= self._quiet
        self._count(is_quiet=is_quiet)
        ratio = self._times.record(kind, took_s, is_quiet=is_quiet)
        if self._is_climbing:
            self._climb(ratio)
        elif ratio is not None:
            self._judge(ratio, in_flight)

    def record_overload(self, now: Instant) -> None:
        """Reduce the limit, since the target turned work away."""
        if self._is_new_cause(now):
            self._find(self._limit * _OVERLOAD_FACTOR, PaceCause.OVERLOAD)

    def record_failure(self, now: Instant) -> None:
        """Reduce the limit, since the target did not answer; once it answers, the limit climbs back."""
        if self._is_new_cause(now):
            self._is_climbing = True
            self._set(self._limit * _FAILURE_FACTOR, PaceCause.FAILURE)

    def restart(self, now: Instant) -> None:
        """Climb from a low limit to the one that was found before."""
        self._is_restarted = True
        self._is_climbing = True
        self._set(min(_FIRST_LIMIT, self._found), PaceCause.RESTART)

    def take_changes(self, now: Instant) -> Iterator[PaceChange]:
        """:returns: The change since the one that was returned last; nothing if there was none, or only just now."""
        is_changed = self._is_restarted or int(self._limit) != self._reported
        if not is_changed or now < self._reported_at + _REPORT_INTERVAL_S:
            return
        cause = PaceCause.RESTART if self._is_restarted else self._cause
        yield PaceChange(self._reported, int(self._lowest), int(self._limit), cause, self._ratio)
        self._reported, self._lowest, self._reported_at = int(self._limit), self._limit, now
        self._is_restarted = False

    def _is_blind(self) -> bool:
        """:returns: Whether the undisturbed time has hardly been seen of late."""
        return self._answers_since_quiet >= _BLIND_ANSWERS

    def _count(self, *, is_quiet: bool) -> None:
        self._answers_since_quiet += 1
        self._quiet_answers += int(is_quiet)
        if self._quiet_answers >= _WINDOW_ANSWERS:
            self._answers_since_quiet = self._quiet_answers = 0

    def _climb(self, ratio: float | None) -> None:
        if ratio is not None and ratio >= _STALLED_RATIO:
            self._find(self._limit * _LEAST_SLOW_FACTOR, PaceCause.SLOW)
            return
        self._set(min(self._limit + 1, self._found), PaceCause.QUICK)
        self._is_climbing = self._limit < self._found

    def _judge(self, ratio: float, in_flight: int) -> None:
        """Judge a window of answers once it is complete."""
        self._ratios.append(ratio)
        self._most_in_flight = max(self._most_in_flight, in_flight)
        if len(self._ratios) < _WINDOW_ANSWERS:
            return
        self._ratio = sum(self._ratios) / len(self._ratios)
        if self._ratio > _SLOW_RATIO:
            slower = self._limit * max(_SLOW_RATIO / self._ratio, _LEAST_SLOW_FACTOR)
            # With fewer than its slots, slow answers show a slower target, and none would be quicker.
            self._find(max(slower, min(self._limit, self._quiet)), PaceCause.SLOW)
        elif self._ratio < _QUICK_RATIO and self._most_in_flight >= int(self._limit):
            # A limit that nothing reaches says nothing about the target.
            self._find(self._limit + 1, PaceCause.QUICK)
        self._begin_window()

    def _is_new_cause(self, now: Instant) -> bool:
        """:returns: Whether a rejection or failure is not of the same moment as the latest one."""
        is_new = now >= self._reduced_at + _SAME_CAUSE_S
        if is_new:
            self._reduced_at = now
        return is_new

    def _find(self, limit: float, cause: PaceCause) -> None:
        """Set a limit that the next climb may return to."""
        self._set(limit, cause)
        self._found = self._limit
        self._is_climbing = False

    def _set(self, limit: float, cause: PaceCause) -> None:
        self._limit = max(limit, _MIN_LIMIT)
        self._lowest = min(self._lowest, self._limit)
        self._cause = cause
        self._begin_window()

    def _begin_window(self) -> None:
        self._ratios.clear()
        self._most_in_flight = 0


class PaceWhileHolding(Pace):
    """Applies a pace while this instance holds the target's connections for others, and learns at other times too.

    :param pace: The pace.
    :param is_holder: Returns whether it holds them now.
    """

    def __init__(self, pace: Pace, is_holder: Callable[[], bool]) -> None:
        self._pace = pace
        self._is_holder = is_holder

    def limit(self, now: Instant) -> float:
        """:returns: Statements and openings of connections that may be at the target at a time."""
        return self._pace.limit(now) if self._is_holder() else math.inf

    def record_answer(self, now: Instant, took_s: float, in_flight: int, kind: Hashable = None) -> None:
        """Record a statement that ran."""
        self._pace.record_answer(now, took_s, in_flight, kind)

    def record_overload(self, now: Instant) -> None:
        """Record that the target turned work away."""
        self._pace.record_overload(now)

    def record_failure(self, now: Instant) -> None:
        """Record that the target did not answer."""
        self._pace.record_failure(now)

    def restart(self, now: Instant) -> None:
        """Begin anew."""
        self._pace.restart(now)

    def take_changes(self, now: Instant) -> Iterator[PaceChange]:
        """:returns: The pace's changes while it applies."""
        return self._pace.take_changes(now) if self._is_holder() else iter(())


class PaceByTarget:
    """Pace by target, kept over its incarnations, so that what was learnt of a flapping target is not lost."""

    def __init__(self) -> None:
        self._paces_by_target: dict[TargetId, tuple[int, AnswerPace]] = {}

    def of(self, target: TargetDescription, now: Instant, holders: int = 1) -> Pace:
        """:returns: The pace of a target, restarted if this is another incarnation than before.

        :param target: The target.
        :param now: Present time.
        :param holders: Number of instances that divide the target's work among them, each with a pace.
        """
        known = self._paces_by_target.get(target.target)
        pace = known[1] if known is not None else AnswerPace(math.ceil(target.slots / holders))
        if known is not None and known[0] != target.born_ms:
            pace.restart(now)
        self._paces_by_target[target.target] = (target.born_ms, pace)
        return pace

    def limits(self, now: Instant) -> Iterator[tuple[TargetId, float]]:
        """:returns: The limit of each target that has a pace."""
        return ((target, pace.limit(now)) for target, (_, pace) in self._paces_by_target.items())
