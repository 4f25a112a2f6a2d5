"""Waiting line of a target with too little room: orders statements by what their callers can still get."""

import dataclasses
import enum
import math
from collections.abc import Iterable, Iterator
from typing import Final

from fescuequay_core.relay.demand import Demand
from fescuequay_core.relay.returning import ReturnTimes
from fescuequay_core.relay.waiting import Dismissal, WaitingLine, WaitingStatement
from fescuequay_core.types import Instant, OrganisationId

#: Part of the target's work that each lower priority gets while it waits.
_GUARANTEED_SHARE: Final = 0.04

#: Weight of the latest run in the smoothed work of a priority.
_WORK_WEIGHT: Final = 0.05

#: Part of its aim after which a waiting statement of an organisation within its share no longer yields to higher
#: priorities.
_PRESSED_SHARE: Final = 0.25

#: Part of its aim within which a statement is planned to be answered; the rest is for the error of the plan.
_PLANNED_SHARE: Final = 0.8

#: Factor of the expected wait of a late statement that must fit into its time limit: nobody should wait in vain.
_LATE_MARGIN: Final = 1.5

#: Work that waits for each slot below which nothing can be hopeless, in seconds.
_SHORT_QUEUE_S: Final = 0.01


#: Interval at which the turns are planned anew, in seconds.
_PLAN_INTERVAL_S: Final = 0.004

#: Part of the target that organisations within their share may claim before higher priorities.
_ENTITLED_SHARE: Final = 1.0


#: Tag of a statement that no longer yields to others of its priority, in seconds.
_NO_TAG: Final = -1.0


class _Standing(enum.IntEnum):
    """What a statement may claim; lower ones go first."""

    CONTINUED = 0
    ENTITLED = 1
    ORDINARY = 2
    LATE = 3


#: Standing, priority, whether beyond the share, tag in seconds, and aim.
_Rank = tuple[int, int, int, float, Instant]


@dataclasses.dataclass(slots=True, eq=False)
class _Entry:
    """A waiting statement with its place.

    :param statement: The statement.
    :param work_s: Expected time that it occupies the target, in seconds.
    :param is_within_share: Whether its organisation asked for no more than its even share when it arrived.
    :param tag: Work that its organisation will have had before it, on the scale of its priority's progress, in seconds.
    """

    statement: WaitingStatement
    work_s: float
    is_within_share: bool
    tag: float

    def is_late(self, now: Instant) -> bool:
        """:returns: Whether it misses its aim even if it runs now."""
        return now + self.work_s > self.statement.aim_at

    def planned_by(self) -> Instant:
        """:returns: When its answer is planned to be there, within its aim."""
        statement = self.statement
        return statement.arrived_at + (statement.aim_at - statement.arrived_at) * _PLANNED_SHARE

    def is_pressed(self, now: Instant) -> bool:
        """:returns: Whether it has waited for so long that it no longer yields to higher priorities."""
        return now > self.pressed_at()

    def pressed_at(self) -> Instant:
        """:returns: When it stops yielding."""
        statement = self.statement
        return statement.arrived_at + (statement.aim_at - statement.arrived_at) * _PRESSED_SHARE


class FairLine(WaitingLine):
    """Orders by open transaction, aim that can be met, priority, and even shares of organisations.

    A lower priority gets a guaranteed part of the work. Within a priority, organisations beyond their even share take
    turns by the work that they have had (start-time fair queueing).
    """

    def __init__(self) -> None:
        self._entries_by_statement: dict[WaitingStatement, _Entry] = {}
        self._demand = Demand()
        self._returns = ReturnTimes()
        self._concurrency = math.inf
        self._expected_s = 0.0
        self._work_by_priority: dict[int, float] = {}
        self._owed_by_priority: dict[int, float] = {}
        self._progress_by_priority: dict[int, float] = {}
        self._finish_by_owner: dict[tuple[int, OrganisationId], float] = {}
        self._queued_s = 0.0
        self._planned_at: Instant = float('-inf')
        self._may_press = True
        self._entitled_s = 0.0

    def add(self, statement: WaitingStatement, now: Instant) -> None:
        """Add a statement, with its place among those of its organisation."""
        work_s = self._work_of(statement.priority)
        is_within = self._record_demand(statement, work_s, now)
        owner = (statement.priority, statement.organisation)
        tag = max(self._progress_by_priority.get(statement.priority, 0.0), self._finish_by_owner.get(owner, 0.0))
        self._finish_by_owner[owner] = tag + work_s
        self._entries_by_statement[statement] = _Entry(statement, work_s, is_within, tag)
        self._queued_s += work_s

    def pass_by(self, statement: WaitingStatement, now: Instant) -> None:
        """Record the demand of a statement that needn't wait."""
        self._record_demand(statement, self._work_of(statement.priority), now)

    def remove(self, statement: WaitingStatement) -> None:
        """Remove a statement that did not run; its organisation is not charged."""
        entry = self._entries_by_statement.pop(statement, None)
        if entry is None:
            return
        self._queued_s = max(self._queued_s - entry.work_s, 0.0) if self._entries_by_statement else 0.0
        self._finish_by_owner[statement.priority, statement.organisation] -= entry.work_s

    def take(self, statement: WaitingStatement, now: Instant) -> None:
        """Remove a statement whose turn has come, and charge it."""
        entry = self._entries_by_statement.pop(statement, None)
        if entry is None:
            return
        self._queued_s = max(self._queued_s - entry.work_s, 0.0) if self._entries_by_statement else 0.0
        if not entry.is_within_share:
            progress = self._progress_by_priority.get(statement.priority, 0.0)
            self._progress_by_priority[statement.priority] = max(progress, entry.tag)
        self._record_owed(statement.priority, entry.work_s)
        if not self._entries_by_statement:
            self._forget(now)

    def record_run(self, priority: int, took_s: float) -> None:
        """Learn the work of a priority's statements."""
        known_s = self._work_of(priority)
        self._work_by_priority[priority] = known_s + _WORK_WEIGHT * (took_s - known_s)

    def in_order(self, now: Instant) -> Iterator[WaitingStatement]:
        """:returns: The waiting statements, the next one first; one of a priority that is owed work precedes."""
        if not self._entries_by_statement:
            return
        if len(self._entries_by_statement) == 1:
            yield from tuple(self._entries_by_statement)
            return
        entries = tuple(self._entries_by_statement.values())
        # Usually only the first one is wanted, for which no order is needed.
        first = self._first(entries, now)
        yield first.statement
        yield from (entry.statement for entry in self._ranked(now) if entry is not first)

    def dismiss(self, now: Instant, expected_s: float, concurrency: float) -> Iterator[Dismissal]:
        """Remove the statements that can't be answered within their time limit any more."""
        self._concurrency = max(concurrency, 1)
        self._expected_s = expected_s
        if self._queued_s < _SHORT_QUEUE_S * self._concurrency or now < self._planned_at + _PLAN_INTERVAL_S:
            return
        self._planned_at = now
        self._may_press = self._demand.rate_within_share(now) < _ENTITLED_SHARE * self._concurrency
        waiting = len(self)
        dismissals = tuple(
            Dismissal(entry.statement, waiting, wait_s, self._retry_after_s(entry, wait_s, now))
            for entry, wait_s in self._hopeless(now)
        )
        for dismissal in dismissals:
            self.remove(dismissal.statement)
        yield from dismissals

    def __len__(self) -> int:
        """:returns: Number of waiting statements."""
        return len(self._entries_by_statement)

    def _work_of(self, priority: int) -> float:
        return self._work_by_priority.get(priority, self._expected_s)

    def _record_demand(self, statement: WaitingStatement, work_s: float, now: Instant) -> bool:
        self._demand.record(statement.organisation, work_s, now)
        is_within = self._demand.is_within_share(statement.organisation, self._concurrency, now)
        self._demand.record_class(statement.priority, work_s, now, is_within_share=is_within)
        return is_within

    def _record_owed(self, served: int, work_s: float) -> None:
        """Let the lower priorities that wait earn their part of the work that another one got."""
        waiting = frozenset(statement.priority for statement in self._entries_by_statement)
        for priority in waiting:
            if priority > 0 and priority != served:
                owed_s = self._owed_by_priority.get(priority, 0.0) + work_s * _GUARANTEED_SHARE
                self._owed_by_priority[priority] = min(owed_s, 2 * self._work_of(priority))
        if served > 0:
            self._owed_by_priority[served] = max(self._owed_by_priority.get(served, 0.0) - work_s, 0.0)

    def _first(self, entries: Iterable[_Entry], now: Instant) -> _Entry:
        """:returns: The statement whose turn is next: the first one in order, unless a priority is owed work."""
        first = min(entries, key=lambda entry: self._rank(entry, now))
        owed = {p for p, owed_s in self._owed_by_priority.items() if owed_s >= self._work_of(p)}
        if not owed or first.statement.is_continued:
            return first
        in_time = (entry for entry in entries if entry.statement.priority in owed and not entry.is_late(now))
        return min(in_time, key=lambda entry: self._rank(entry, now), default=first)

    def _ranked(self, now: Instant) -> list[_Entry]:
        return sorted(self._entries_by_statement.values(), key=lambda entry: self._rank(entry, now))

    def _rank(self, entry: _Entry, now: Instant) -> _Rank:
        """:returns: Sort key of a statement; the lowest one goes first."""
        statement = entry.statement
        if statement.is_continued:
            return _Standing.CONTINUED, 0, 0, 0.0, statement.arrived_at
        # One that has waited for a part of its aim keeps its place, so that newer ones are refused early.
        tag = _NO_TAG if entry.is_pressed(now) else entry.tag
        own = (statement.priority, int(not entry.is_within_share), tag, statement.aim_at)
        if entry.is_late(now):
            return _Standing.LATE, *own
        if entry.is_within_share and (statement.priority == 0 or (self._may_press and entry.is_pressed(now))):
            return _Standing.ENTITLED, 0, 0, 0.0, statement.aim_at
        return _Standing.ORDINARY, *own

    def _hopeless(self, now: Instant) -> Iterator[tuple[_Entry, float]]:
        """Plan the turns of the waiting statements.

        :returns: Those whose turn comes too late, and their expected wait in seconds.
        """
        # Since statements wait, every slot is taken, on average by one that is half done.
        planned_s = self._expected_s / 2 * self._concurrency
        planned_by_priority: dict[int, float] = {}
        self._entitled_s = sum(entry.work_s for entry in self._entries_by_statement.values() if entry.is_within_share)
        late: list[_Entry] = []
        for entry in self._ranked(now):
            priority = entry.statement.priority
            own_s = planned_by_priority.get(priority, 0.0)
            wait_s = self._expected_wait_s(entry, planned_s, own_s, now)
            if entry.statement.is_continued or now + wait_s + entry.work_s <= entry.planned_by():
                planned_s += entry.work_s
                planned_by_priority[priority] = own_s + entry.work_s
            else:
                late.append(entry)
        yield from self._hopeless_late(late, planned_s, now)

    def _hopeless_late(self, late: list[_Entry], planned_s: float, now: Instant) -> Iterator[tuple[_Entry, float]]:
        free = self._concurrency - self._demand.rate(now)
        for entry in late:
            wait_s = _quotient(planned_s, free)
            if now + wait_s * _LATE_MARGIN + entry.work_s > entry.statement.until:
                yield entry, wait_s
            else:
                planned_s += entry.work_s

    def _expected_wait_s(self, entry: _Entry, ahead_s: float, own_s: float, now: Instant) -> float:
        """Expect the wait of a statement.

        :param entry: The statement.
        :param ahead_s: Work of the waiting statements that go before it, in seconds.
        :param own_s: The part of it that has the same priority.
        :param now: Present time.
        :returns: The wait in seconds.
        """
        if self._rank(entry, now)[0] < _Standing.ORDINARY:
            return ahead_s / self._concurrency
        priority = entry.statement.priority
        before = self._demand.rate_before(priority, now, is_within_share=entry.is_within_share)
        free = self._concurrency - before
        shared_s = _quotient(ahead_s, free)
        guaranteed_s = own_s / (self._concurrency * _GUARANTEED_SHARE) if priority > 0 else math.inf
        wait_s = min(shared_s, guaranteed_s)
        return min(wait_s, self._pressed_wait_s(entry, now)) if entry.is_within_share and self._may_press else wait_s

    def _pressed_wait_s(self, entry: _Entry, now: Instant) -> float:
        """:returns: Expected wait of a statement that stops yielding to higher priorities after a part of its aim."""
        free = self._concurrency - self._demand.rate_within_share(now)
        return max(entry.pressed_at() - now, 0) + self._entitled_s / max(free, self._concurrency * _GUARANTEED_SHARE)

    def _retry_after_s(self, entry: _Entry, wait_s: float, now: Instant) -> float:
        statement = entry.statement
        drain_s = self._queued_s / self._concurrency if math.isinf(wait_s) else wait_s
        interval_s = entry.work_s * self._demand.active() / self._concurrency
        return self._returns.next_after(statement.organisation, now, max(drain_s, entry.work_s), interval_s)

    def _forget(self, now: Instant) -> None:
        """Forget the turns, since nobody waits."""
        self._finish_by_owner.clear()
        self._progress_by_priority.clear()
        self._owed_by_priority.clear()
        self._returns.forget_past(now)


def _quotient(work_s: float, rate: float) -> float:
    """:returns: Time in which work is done; infinite if nothing of it is."""
    return work_s / rate if rate > 0 else math.inf
