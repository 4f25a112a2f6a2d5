"""Feeds the pace of a target with what its connections meet, and counts the connections that are at rest."""

import asyncio
import math
from collections.abc import Awaitable, Callable, Hashable
from typing import Final, TypeVar

from fescuequay_core.relay.model import TargetDescription
from fescuequay_core.relay.pace import Pace
from fescuequay_core.relay.refusals import RefusalKind
from fescuequay_core.relay.waiting import WaitingStatement
from fescuequay_core.types import Instant, LeaderState, Term
from fescuequay_entry.relay.board import Board, log_event
from fescuequay_entry.relay.ports import Outcome, TargetConnection, TargetLost

Answer = TypeVar('Answer')

#: Time without a statement after which a connection in use is at rest, in seconds: the next statement of a transaction
#: often follows at once, and the connection of a single one is released.
_REST_AFTER_S: Final = 0.005

#: Digits after the point to which the aim of a route is rounded, in seconds; routes with different aims differ in work.
_AIM_DIGITS: Final = 3


class Pacing:
    """Pace of one target at the pool that holds its connections.

    :param board: Shared state of the instance.
    :param target: The target.
    :param pace: Decides about the limit.
    :param active: Returns the number of statements and openings that are at the target.
    :param wake: Called when the target has room for further ones.
    """

    def __init__(
        self,
        board: Board,
        target: TargetDescription,
        pace: Pace,
        active: Callable[[], int],
        wake: Callable[[], None],
    ) -> None:
        self._board = board
        self._target = target
        self._pace = pace
        self._active = active
        self._wake = wake
        self._term = self._led_term()
        self._work_by_connection: dict[TargetConnection, Hashable] = {}
        self._timers_by_connection: dict[TargetConnection, asyncio.TimerHandle] = {}
        # Connections of open transactions whose callers have not sent the next statement.
        self._resting: set[TargetConnection] = set()

    @property
    def resting(self) -> int:
        """:returns: Number of connections that are in use but at rest, which the target does no work for."""
        return len(self._resting)

    def limit(self) -> float:
        """:returns: Statements and openings that may be at the target at a time."""
        self._notice_promotion()
        return self._pace.limit(self._board.clock())

    def is_paced(self) -> bool:
        """:returns: Whether the statements at the target are limited."""
        return self.limit() < math.inf

    def assign(self, connection: TargetConnection, statement: WaitingStatement) -> None:
        """Note for which statement a connection is used next."""
        work = (statement.priority, round(statement.aim_at - statement.arrived_at, _AIM_DIGITS))
        self._work_by_connection[connection] = work

    def withdraw(self, connection: TargetConnection) -> None:
        """Note that a connection is no longer used."""
        self.begin_work(connection)
        self._work_by_connection.pop(connection, None)

    def begin_work(self, connection: TargetConnection) -> None:
        """Note that a statement is sent on a connection."""
        self._resting.discard(connection)
        timer = self._timers_by_connection.pop(connection, None)
        if timer is not None:
            timer.cancel()

    def end_work(self, connection: TargetConnection) -> None:
        """Note that a connection's statement has ended; unless another one follows, it comes to rest."""
        self.begin_work(connection)
        if connection in self._work_by_connection:
            loop = asyncio.get_running_loop()
            self._timers_by_connection[connection] = loop.call_later(_REST_AFTER_S, self._rest, connection)

    def work_of(self, connection: TargetConnection) -> Hashable:
        """:returns: Kind of the work that a connection is used for."""
        return self._work_by_connection.get(connection)

    async def observe(self, answer: Awaitable[Answer], kind: Hashable, silent_s: float) -> Answer:
        """Await an answer of the target, and record how it went.

        :param answer: The answer.
        :param kind: Kind of its work.
        :param silent_s: Time from which on the target counts as silent if the answer is no longer waited for.
        :raises TargetLost: The connection ended.
        """
        began_at, in_flight = self._board.clock(), self._active()
        try:
            outcome = await answer
        except TargetLost:
            self._pace.record_failure(self._board.clock())
            raise
        except asyncio.CancelledError:
            if self._board.clock() - began_at >= silent_s:
                self._pace.record_failure(self._board.clock())
            raise
        else:
            self._record(outcome, began_at, in_flight, kind)
            return outcome
        finally:
            self._report(self._board.clock())

    def record_overload(self) -> None:
        """Record that the target turned a connection away because it is full."""
        self._pace.record_overload(self._board.clock())
        self._report(self._board.clock())

    def _record(self, outcome: object, began_at: Instant, in_flight: int, kind: Hashable) -> None:
        now = self._board.clock()
        fault = outcome.fault if isinstance(outcome, Outcome) else None
        if self._board.health_of(self._target).failing_since is not None:
            self._pace.restart(now)
        if fault is None:
            self._pace.record_answer(now, now - began_at, in_flight, kind)
        elif fault.reason.kind is RefusalKind.OVERLOADED:
            self._pace.record_overload(now)

    def _rest(self, connection: TargetConnection) -> None:
        self._timers_by_connection.pop(connection, None)
        self._resting.add(connection)
        self._wake()

    def _led_term(self) -> Term | None:
        record = self._board.permits.record(self._target.service)
        is_leading = record is not None and record.state is LeaderState.LEADING and record.target == self._target.target
        return record.term if record is not None and is_leading else None

    def _notice_promotion(self) -> None:
        term = self._led_term()
        if term is not None and term != self._term:
            self._pace.restart(self._board.clock())
        self._term = term

    def _report(self, now: Instant) -> None:
        for change in self._pace.take_changes(now):
            log_event(
                'pace_changed',
                target=self._target.target,
                before=change.before,
                lowest=change.lowest,
                after=change.after,
                cause=change.cause.value,
                ratio=round(change.ratio, 2),
                active=self._active(),
            )
