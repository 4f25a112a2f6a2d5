"""Callers who compete for one target, in virtual time, to compare waiting lines by what the callers get."""

import dataclasses
import heapq
import itertools
import random
from collections.abc import Callable, Iterable, Iterator
from typing import Any

from fescuequay_core.relay.waiting import ArrivalLine, Dismissal, WaitingLine, WaitingStatement
from fescuequay_core.types import Instant, OrganisationId


@dataclasses.dataclass(frozen=True)
class Kind:
    """Kind of request: aim, time limit and run in seconds, and its part of the work."""

    priority: int
    aim_s: float
    limit_s: float
    work_s: float
    part: float


KINDS = (Kind(0, 0.103, 0.8, 0.003, 0.3), Kind(1, 0.203, 1.0, 0.009, 0.3), Kind(2, 0.603, 1.2, 0.015, 0.4))
SLOTS = 4
ORGANISATIONS = 76

#: Time after which a caller comes back if the line doesn't tell one, and tries in all.
_BLIND_RETRY_S = 0.1
_TRIES = 3


@dataclasses.dataclass(frozen=True)
class Burst:
    """Load in multiples of the capacity: before and after, and between two times; some organisations ask for more."""

    usual: float
    factor: float
    since: Instant = 5.0
    until: Instant = 10.0
    end: Instant = 15.0
    large: int = 0
    large_factor: float = 6.0


@dataclasses.dataclass(eq=False)
class Call:
    """One operation of a caller, and what it got."""

    kind: Kind
    organisation: OrganisationId
    at: Instant
    tries: int = 0
    answered_at: Instant | None = None
    held_s: list[float] = dataclasses.field(default_factory=list)

    @property
    def is_in_aim(self) -> bool:
        """:returns: Whether it was answered within its aim, counted from the first try."""
        return self.answered_at is not None and self.answered_at <= self.at + self.kind.aim_s

    @property
    def is_late(self) -> bool:
        """:returns: Whether it was answered later."""
        return self.answered_at is not None and not self.is_in_aim


class DeadlineLine(ArrivalLine):
    """Earliest aim first."""

    def in_order(self, now: Instant) -> Iterator[WaitingStatement]:
        """:returns: The waiting statements by aim."""
        yield from sorted(self._statements, key=lambda one: one.aim_at)


class ControlledLine(ArrivalLine):
    """Latest first under overload, and refused after a quarter of the aim once the queue has stood for 0.1 s."""

    def __init__(self) -> None:
        super().__init__()
        self._emptied_at: Instant = 0.0

    def in_order(self, now: Instant) -> Iterator[WaitingStatement]:
        """:returns: The waiting statements, the latest first if the queue stands."""
        direction = -1 if now > self._emptied_at + 0.1 else 1
        yield from sorted(self._statements, key=lambda one: direction * one.arrived_at)

    def dismiss(self, now: Instant, expected_s: float, concurrency: float) -> Iterator[Dismissal]:
        """Refuse those that have waited for too long."""
        if len(self) <= 1:
            self._emptied_at = now
        for one in tuple(self._statements):
            if now > self._emptied_at + 0.1 and now > one.arrived_at + (one.aim_at - one.arrived_at) / 4:
                self.remove(one)
                yield Dismissal(one, len(self), 0.0, _BLIND_RETRY_S)


class Competition:
    """Plays a burst against a line."""

    def __init__(self, line: WaitingLine, burst: Burst, *, waits_to_aim: bool, seed: int = 1) -> None:
        self.line = line
        self.burst = burst
        self.waits_to_aim = waits_to_aim
        self.rng = random.Random(seed)
        self.calls: list[Call] = []
        self.calls_by_statement: dict[WaitingStatement, Call] = {}
        self.busy = 0
        self.busy_s = 0.0
        self.now: Instant = 0.0
        self._events: list[tuple[Instant, int, Callable[[], None]]] = []
        self._counter = itertools.count()

    def play(self) -> 'Competition':
        """Play to the end."""
        names = [OrganisationId(f'o{number}') for number in range(ORGANISATIONS)]
        for kind, (number, name) in itertools.product(KINDS, enumerate(names)):
            weight = (0.4 + 1.2 * number / (ORGANISATIONS - 1)) / ORGANISATIONS
            self._schedule_calls(kind, name, weight * kind.part * SLOTS / kind.work_s, number < self.burst.large)
        while self._events:
            self.now, _, act = heapq.heappop(self._events)
            act()
        return self

    def asked(self, priority: int | None = None, organisations: Iterable[str] | None = None) -> list[Call]:
        """:returns: What was asked during the burst."""
        chosen = None if organisations is None else set(organisations)
        return [
            call
            for call in self.calls
            if self.burst.since <= call.at < self.burst.until
            and (priority is None or call.kind.priority == priority)
            and (chosen is None or call.organisation in chosen)
        ]

    def within_share(self) -> set[str]:
        """:returns: Organisations whose demand in the burst is at most nine tenths of an even share of the capacity."""
        share_s = 0.9 * SLOTS * (self.burst.until - self.burst.since) / ORGANISATIONS
        work_s: dict[str, float] = {}
        for call in self.asked():
            work_s[call.organisation] = work_s.get(call.organisation, 0.0) + call.kind.work_s
        return {name for name, asked_s in work_s.items() if asked_s <= share_s}

    def goodput(self) -> float:
        """:returns: Work that was answered to callers during the burst, as a part of the capacity."""
        answered = (c for c in self.calls if c.answered_at and self.burst.since <= c.answered_at < self.burst.until)
        return sum(call.kind.work_s for call in answered) / (SLOTS * (self.burst.until - self.burst.since))

    def _schedule_calls(self, kind: Kind, name: OrganisationId, rate: float, is_large: bool) -> None:
        factor = self.burst.large_factor if is_large else self.burst.factor
        at = 0.0
        while at < self.burst.end:
            is_burst = self.burst.since <= at < self.burst.until
            at += self.rng.expovariate(rate * self.burst.usual * (factor if is_burst else 1.0))
            self._after(at, Call(kind, name, at))

    def _after(self, at: Instant, call: Call) -> None:
        if call.tries == 0:
            self.calls.append(call)
        self._push(at, lambda: self._ask(call))

    def _push(self, at: Instant, act: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at, next(self._counter), act))

    def _ask(self, call: Call) -> None:
        call.tries += 1
        aim_at = self.now + call.kind.aim_s
        limit = self.now + call.kind.limit_s - call.kind.work_s
        until = aim_at if self.waits_to_aim else limit
        statement = WaitingStatement(call.organisation, call.kind.priority, self.now, aim_at, until)
        if self.busy < SLOTS and not len(self.line):
            self.line.pass_by(statement, self.now)
            self._run(statement, call)
            return
        self.calls_by_statement[statement] = call
        self.line.add(statement, self.now)
        self._push(until, lambda: self._give_up(statement))
        self._advance()

    def _advance(self) -> None:
        for dismissal in self.line.dismiss(self.now, 0.008, SLOTS):
            self._refuse(dismissal.statement, dismissal.retry_after_s)
        while self.busy < SLOTS and len(self.line):
            statement = next(self.line.in_order(self.now))
            self.line.take(statement, self.now)
            self._run(statement, self.calls_by_statement.pop(statement))

    def _run(self, statement: WaitingStatement, call: Call) -> None:
        self.busy += 1
        took_s = call.kind.work_s * self.rng.uniform(0.7, 1.3)
        self._push(self.now + took_s, lambda: self._finish(call, took_s))

    def _finish(self, call: Call, took_s: float) -> None:
        self.busy -= 1
        call.answered_at = self.now
        self.line.record_run(call.kind.priority, took_s)
        self._advance()

    def _give_up(self, statement: WaitingStatement) -> None:
        if statement in self.calls_by_statement:
            self.line.remove(statement)
            self._refuse(statement, _BLIND_RETRY_S)

    def _refuse(self, statement: WaitingStatement, retry_after_s: float) -> None:
        call = self.calls_by_statement.pop(statement)
        call.held_s.append(self.now - statement.arrived_at)
        if call.tries < _TRIES and self.now + retry_after_s < call.at + call.kind.limit_s:
            self._after(self.now + retry_after_s, call)


def told_soon(calls: Iterable[Call]) -> float:
    """:returns: Part of the refusals that came within a quarter of the aim."""
    held = [(held_s, call.kind.aim_s) for call in calls for held_s in call.held_s]
    return sum(held_s <= aim_s / 4 for held_s, aim_s in held) / max(len(held), 1)


def part(calls: Iterable[Call], is_counted: Callable[[Call], Any]) -> float:
    """:returns: Part of the calls for which something holds."""
    listed = list(calls)
    return sum(bool(is_counted(call)) for call in listed) / max(len(listed), 1)
