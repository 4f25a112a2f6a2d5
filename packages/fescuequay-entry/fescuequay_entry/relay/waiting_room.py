"""Statements that wait for a connection to a target, and the refusal of those for whom there will be no room."""

import asyncio
import itertools
import math
from collections.abc import Callable, Iterable
from typing import Final

from fescuequay_core.relay.refusals import NO_ROOM, QUEUE_FULL, Refused
from fescuequay_core.relay.waiting import Dismissal, WaitingLine, WaitingStatement
from fescuequay_core.types import Instant, OrganisationId, TargetId
from fescuequay_entry.relay.metrics import QueueStatistics
from fescuequay_entry.relay.ports import TargetConnection

#: Retry-after of a statement that got no connection, in seconds: the duration of a few statements.
_RETRY_AFTER_S: Final = 0.1

#: Statements at the head of the line among which one with an idle connection may go first.
_CHOICE: Final = 4

#: Interval at which the line is asked for hopeless statements while nothing else happens, in seconds.
_DISMISS_INTERVAL_S: Final = 0.01


class WaitingRoom:
    """Wakes the waiting statements of one target in the order of their line.

    :param target: The target.
    :param line: Order of the statements.
    :param clock: Returns the present time.
    :param expected_s: Returns the expected time of one statement at the target, in seconds.
    :param concurrency: Returns the number of statements that run there at a time.
    :param statistics: Counts the waiting statements of all targets.
    """

    def __init__(
        self,
        target: TargetId,
        line: WaitingLine,
        clock: Callable[[], Instant],
        expected_s: Callable[[], float],
        concurrency: Callable[[], float],
        statistics: QueueStatistics,
    ) -> None:
        self._target = target
        self.line = line
        self.clock = clock
        self._expected_s = expected_s
        self._concurrency = concurrency
        self._statistics = statistics
        self._wakers_by_statement: dict[WaitingStatement, asyncio.Future[None]] = {}
        #: Statements whose turn has come and that have not gone on yet.
        self.woken = 0
        self._timer: asyncio.TimerHandle | None = None

    def __len__(self) -> int:
        return len(self.line)

    def change_line(self, line: WaitingLine) -> None:
        """Order the waiting statements by another line from now on."""
        now = self.clock()
        for statement in tuple(self.line.in_order(now)):
            self.line.remove(statement)
            line.add(statement, now)
        self.line = line

    def singles(self) -> int:
        """:returns: Number of waiting statements outside transactions."""
        return sum(not statement.opens_transaction for statement in self._wakers_by_statement)

    def pass_by(self, statement: WaitingStatement) -> None:
        """Record a statement that needn't wait."""
        self.line.pass_by(statement, self.clock())

    async def wait(self, statement: WaitingStatement) -> None:
        """Wait for a statement's turn.

        :param statement: The statement.
        :raises Refused: Its turn didn't come in time, or would not.
        """
        now = self.clock()
        waker = asyncio.get_running_loop().create_future()
        self._wakers_by_statement[statement] = waker
        self.line.add(statement, now)
        self._statistics.enter(statement.priority)
        self.dismiss()
        try:
            await asyncio.wait_for(waker, max(statement.until - now, 0))
        except TimeoutError:
            raise Refused(
                QUEUE_FULL,
                f'no connection to {self._target} became free in {statement.until - now:.2f} s; {len(self)} wait',
                _RETRY_AFTER_S,
            ) from None
        finally:
            self.line.remove(statement)
            self._wakers_by_statement.pop(statement)
            has_turn = waker.done() and not waker.cancelled() and waker.exception() is None
            self.woken -= int(has_turn)
            self._statistics.leave(statement.priority, self.clock() - now, has_turn=has_turn)

    def dismiss(self) -> None:
        """Refuse the statements that can't be answered in time any more."""
        for dismissal in self.line.dismiss(self.clock(), self._expected_s(), self._concurrency()):
            waker = self._wakers_by_statement[dismissal.statement]
            if not waker.done():
                waker.set_exception(_refusal(self._target, dismissal))
        if len(self) and self._timer is None:
            self._timer = asyncio.get_running_loop().call_later(_DISMISS_INTERVAL_S, self._dismiss_later)

    def wake(self, free: int, idle: Iterable[OrganisationId], is_ready: Callable[[WaitingStatement], bool]) -> None:
        """Wake the statements whose turn it is.

        :param free: Number of statements that may go.
        :param idle: Organisations of the idle connections.
        :param is_ready: Tells whether a statement may take a connection now.
        """
        if free <= 0 or not len(self):
            return
        now = self.clock()
        with_connection = frozenset(idle)
        for _ in range(free):
            ready = (statement for statement in self.line.in_order(now) if is_ready(statement))
            statement = self._next(tuple(itertools.islice(ready, _CHOICE)), with_connection, now)
            if statement is None:
                return
            self.line.take(statement, now)
            waker = self._wakers_by_statement[statement]
            if not waker.done():
                waker.set_result(None)
                self.woken += 1

    def _next(
        self, first: tuple[WaitingStatement, ...], with_connection: frozenset[OrganisationId], now: Instant
    ) -> WaitingStatement | None:
        """:returns: The first statement, or one that follows and saves an opening, if the first one has time for it."""
        if not first or self._expected_s() * _CHOICE > first[0].aim_at - now:
            return first[0] if first else None
        same = (one for one in first if one.priority <= first[0].priority and one.organisation in with_connection)
        return next(same, first[0])

    def _dismiss_later(self) -> None:
        self._timer = None
        self.dismiss()


class Holders:
    """Statements and transactions that hold a connection to one target.

    :param room: Learns how long single statements take.
    """

    def __init__(self, room: WaitingRoom) -> None:
        self._room = room
        self._statements_by_connection: dict[TargetConnection, tuple[WaitingStatement, Instant]] = {}

    @property
    def transactions(self) -> int:
        """:returns: Number of connections that open transactions hold."""
        return sum(statement.opens_transaction for statement, _ in self._statements_by_connection.values())

    def add(self, connection: TargetConnection, statement: WaitingStatement) -> None:
        """Record that a statement got a connection."""
        self._statements_by_connection[connection] = (statement, self._room.clock())

    def remove(self, connection: TargetConnection) -> None:
        """Record that a connection is no longer held."""
        statement, since = self._statements_by_connection.pop(connection, (None, 0.0))
        if statement is not None and not statement.opens_transaction:
            self._room.line.record_run(statement.priority, self._room.clock() - since)


def _refusal(target: TargetId, dismissal: Dismissal) -> Refused:
    wait_s = dismissal.expected_wait_s
    wait = 'none in sight' if math.isinf(wait_s) else f'in {wait_s * 1000:.0f} ms'
    detail = f'{dismissal.waiting} wait for {target}; turn of priority {dismissal.statement.priority}: {wait}'
    return Refused(NO_ROOM, detail, dismissal.retry_after_s)
