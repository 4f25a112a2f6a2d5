"""Connection pools of the targets: few connections, shared by many sessions, each for one organisation."""

import abc
import asyncio
import dataclasses
from collections.abc import Awaitable, Callable
from typing import Final

from fescuequay_core.relay import resting
from fescuequay_core.relay.fair_line import FairLine
from fescuequay_core.relay.gateways import GATEWAYS_OF_TARGET
from fescuequay_core.relay.model import LeaderRecord, TargetDescription
from fescuequay_core.relay.pace import Pace, PaceWhileHolding, Unpaced
from fescuequay_core.relay.refusals import TARGET_BUSY, RefusalKind, Refused
from fescuequay_core.relay.waiting import ArrivalLine, WaitingLine, WaitingStatement
from fescuequay_core.types import Instant, OrganisationId, TargetId

from fescuequay_entry.relay.board import Board
from fescuequay_entry.relay.gateway_directory import ConnectionShare, GatewayDirectory
from fescuequay_entry.relay.metrics import QueueStatistics
from fescuequay_entry.relay.opening import Opening
from fescuequay_entry.relay.paced import PacedDriver
from fescuequay_entry.relay.pacing import Pacing
from fescuequay_entry.relay.ports import Outcome, TargetConnection, TargetDriver, TargetLost, TargetSilent
from fescuequay_entry.relay.waiting_room import Holders, WaitingRoom

#: Time after which an unused connection is closed, in seconds; below the targets' own limit of 60 s.
_IDLE_TIMEOUT_S: Final = 40.0

#: Time for which no connection is opened to a target that had none left, in seconds: each attempt costs the target
#: time.
_FULL_TARGET_PAUSE_S: Final = 0.15

#: Time after the start for which connections are closed after use, in seconds: after a common power loss, targets
#: still count the connections of the former processes for as long.
_NO_KEEP_AFTER_START_S: Final = 3.2

#: Time after the pause for a full target for which connections are closed after use, in seconds: instances take turns
#: then.
_NO_KEEP_AFTER_FULL_S: Final = 2.0

#: Retry-after of a statement that got no connection, in seconds: the duration of a few statements.
_RETRY_AFTER_S: Final = 0.1


@dataclasses.dataclass(slots=True)
class PooledConnection:
    """Connection to a target with the session state that is set on it; used by one statement or transaction at a time.

    :param connection: The connection.
    :param target: Its target.
    :param organisation: Organisation on whose behalf it was opened.
    :param source: What it is released to.
    :param values: Session values that are set on it.
    :param names_by_shape: Names of the statements prepared on it, by shape and whether they write.
    :param used_at: When it was last released.
    """

    connection: TargetConnection
    target: TargetDescription
    organisation: OrganisationId
    source: 'ConnectionSource'
    values: dict[str, str] = dataclasses.field(default_factory=dict)
    names_by_shape: dict[tuple[str, bool], str] = dataclasses.field(default_factory=dict)
    used_at: float = 0.0

    async def apply_session_values(self, values: dict[str, str]) -> None:
        """Set the session values of the connection to those of a session; one that the session lacks forces a reset.

        :param values: The session's values.
        :raises TargetLost: The connection ended, or the target refused a value.
        """
        if self.values == values:
            return
        if any(name not in values for name in self.values):
            await self._require_success(self.connection.reset())
            self.values = {}
            self.names_by_shape = {}
        for name, content in values.items():
            if self.values.get(name) != content:
                await self._require_success(self.connection.set_value(name, content))
                self.values[name] = content

    async def prepared_name(self, shape: str, *, is_write: bool) -> str:
        """Prepare a statement on this connection unless it has been prepared before.

        :param shape: Shape of the statement.
        :param is_write: Whether it writes.
        :returns: Its name on this connection.
        :raises TargetLost: The connection ended, or the target refused to prepare it.
        """
        name = self.names_by_shape.get((shape, is_write))
        if name is None:
            name = f'f{len(self.names_by_shape)}'
            await self._require_success(self.connection.prepare(name, shape, is_write=is_write))
            self.names_by_shape[shape, is_write] = name
        return name

    def note_record(self, record: LeaderRecord | None) -> None:
        """Take note of the leader record under which the primary is used; nothing for a replica."""

    def note_limit(self, at: Instant) -> None:
        """Take note of when the time limit of the next statement ends."""

    def concerns_target(self, error: Exception) -> bool:
        """:returns: Whether a failure on this connection says something about the target."""
        return True

    async def _require_success(self, step: Awaitable[Outcome]) -> None:
        outcome = await step
        if outcome.fault is not None:
            # A connection with partly applied session state must not be reused.
            self.connection.close()
            raise TargetLost(f'the target refused session state: {outcome.fault.detail}')


class ConnectionSource(abc.ABC):
    """Where statements get connections to one incarnation of a target.

    :param target: The target.
    :cvar is_shared: Whether other instances use the same connections.
    """

    is_shared = False

    def __init__(self, target: TargetDescription) -> None:
        self.target = target

    @abc.abstractmethod
    def available(self) -> int:
        """:returns: Number of connections that are idle or may be opened."""

    @abc.abstractmethod
    def has_idle(self, organisation: OrganisationId) -> bool:
        """:returns: Whether there is an idle connection of an organisation."""

    @abc.abstractmethod
    def waiting(self) -> int:
        """:returns: Number of statements that wait for a connection."""

    @abc.abstractmethod
    async def acquire(self, statement: WaitingStatement) -> PooledConnection:
        """Acquire a connection for a statement.

        :param statement: The statement.
        :returns: The connection; it must be released.
        :raises Refused: No connection became available in time; nothing has run.
        :raises TargetLost: The target can't be reached.
        """

    @abc.abstractmethod
    def release(self, pooled: PooledConnection, *, is_clean: bool) -> None:
        """Release a connection.

        :param pooled: The connection.
        :param is_clean: Whether it has no open transaction and no outstanding answer; otherwise it is closed.
        """

    @abc.abstractmethod
    def sweep(self) -> None:
        """Close connections that are no longer needed."""

    @abc.abstractmethod
    def close(self) -> None:
        """Close the idle connections; those in use are closed when they are released."""


class TargetPool(ConnectionSource):
    """This instance's own connections to a target, and the statements that wait for one.

    :param board: Shared state of the instance.
    :param driver: Opens connections.
    :param target: The target.
    :param share_of: Returns this instance's share of the target's connections.
    :param line: Order of the waiting statements; by priority and arrival by default.
    :param pace: Limit of the statements at the target; none by default.
    :param queues: Counts the waiting statements; nobody reads them by default.
    """

    def __init__(
        self,
        board: Board,
        driver: TargetDriver,
        target: TargetDescription,
        share_of: Callable[[], ConnectionShare],
        line: WaitingLine | None = None,
        pace: Pace | None = None,
        queues: QueueStatistics | None = None,
    ) -> None:
        super().__init__(target)
        self._board = board
        self._share_of = share_of
        self._idle: list[PooledConnection] = []
        self._held = 0
        self._pacing = Pacing(board, target, pace or Unpaced(), self._active, self._wake_waiters)
        self._driver = driver if pace is None else PacedDriver(driver, self._pacing)
        self._room = WaitingRoom(
            target.target,
            ArrivalLine() if line is None else line,
            board.clock,
            self._expected_s,
            self._concurrency,
            queues or QueueStatistics(),
        )
        self._holders = Holders(self._room)
        self.is_closed = False
        self._full_until = float('-inf')
        self._openings: set[asyncio.Task[PooledConnection]] = set()

    def available(self) -> int:
        """:returns: Number of connections that are idle or may be opened."""
        free = min(self._share.max_open - self._held, self._pacing.limit() - self._active())
        return max(int(free), 0)

    def has_idle(self, organisation: OrganisationId) -> bool:
        """:returns: Whether there is an idle connection of an organisation."""
        return any(pooled.organisation == organisation for pooled in self._idle)

    def waiting(self) -> int:
        """:returns: Number of statements that wait for a connection."""
        return len(self._room)

    def open_count(self) -> int:
        """:returns: Number of open connections."""
        return self._held + len(self._idle)

    async def acquire(self, statement: WaitingStatement) -> PooledConnection:
        """Acquire a connection, in the order of the waiting line."""
        self._require_answering()
        await self._wait_for_turn(statement)
        self._require_answering()
        self._held += 1
        try:
            idle = self._take_idle(statement.organisation)
            pooled = idle or await self._open(statement.organisation, statement.until)
        except BaseException:
            self._held -= 1
            self._wake_waiters()
            raise
        self._pacing.assign(pooled.connection, statement)
        self._holders.add(pooled.connection, statement)
        return pooled

    def release(self, pooled: PooledConnection, *, is_clean: bool) -> None:
        """Release a connection; one that is not clean is closed."""
        self._held -= 1
        self._pacing.withdraw(pooled.connection)
        self._holders.remove(pooled.connection)
        if is_clean and pooled.connection.is_open and not self.is_closed and self._may_keep():
            pooled.used_at = self._board.clock()
            self._idle.append(pooled)
            self._close_surplus()
        else:
            pooled.connection.close()
        self._wake_waiters()

    def close(self) -> None:
        """Close the idle connections; those in use are closed when they are released."""
        self.is_closed = True
        for pooled in self._idle:
            pooled.connection.close()
        self._idle.clear()

    def use_line(self, line: type[ArrivalLine | FairLine]) -> None:
        """Order the waiting statements anew if another line is to be used, since there are more or fewer instances."""
        if not isinstance(self._room.line, line):
            self._room.change_line(line())

    def sweep(self) -> None:
        """Close connections that have reached the idle timeout or were closed by the target."""
        oldest = self._board.clock() - _IDLE_TIMEOUT_S
        for pooled in tuple(self._idle):
            if pooled.used_at < oldest or not pooled.connection.is_open:
                self._idle.remove(pooled)
                pooled.connection.close()
        self._close_surplus()

    def _require_answering(self) -> None:
        """:raises TargetSilent: Its callers do better elsewhere than in the line."""
        if self._is_silent():
            raise TargetSilent(f'{self.target.target} does not answer')

    def _is_silent(self) -> bool:
        """:returns: Whether the target gave no sign of itself and is not to be tried now, or is being tried."""
        health = self._board.health_of(self.target)
        is_tried = self._active() > 0 or not health.is_usable(self._board.clock())
        return health.is_silent and is_tried and self._pacing.is_paced()

    def _active(self) -> int:
        """:returns: Number of statements and openings that are at the target."""
        return self._held - self._pacing.resting

    @property
    def _share(self) -> ConnectionShare:
        return self._share_of()

    def _may_keep(self) -> bool:
        """:returns: Whether an unused connection stays open; closing it leaves its slot to other instances."""
        is_scarce = (
            self._board.clock() < self._full_until + _NO_KEEP_AFTER_FULL_S
            or self._board.uptime_s() < _NO_KEEP_AFTER_START_S
        )
        return self._share.is_common or not is_scarce

    def _close_surplus(self) -> None:
        while self._idle and self.open_count() > self._share.max_kept:
            self._idle.pop(0).connection.close()

    async def _wait_for_turn(self, statement: WaitingStatement) -> None:
        if self.available() > self._room.woken and not len(self._room) and self._may_hold(statement):
            self._room.pass_by(statement)
            return
        try:
            await self._room.wait(statement)
        except BaseException:
            self._wake_waiters()
            raise

    def _wake_waiters(self) -> None:
        if self._is_silent():
            # Nobody waits for a silent target.
            self._room.wake(len(self._room), (), lambda _statement: True)
            return
        free = self.available() - self._room.woken
        self._room.wake(free, (pooled.organisation for pooled in self._idle), self._may_hold)

    def _may_hold(self, statement: WaitingStatement) -> bool:
        """:returns: Whether a statement may take a connection, though it will keep it for a transaction."""
        if not statement.opens_transaction or isinstance(self._room.line, ArrivalLine):
            return True
        return resting.may_open(self._holders.transactions, self._share.max_open, self._room.singles())

    def _concurrency(self) -> float:
        """:returns: Number of statements that run at the target at a time."""
        return min(self._pacing.limit(), self._share.max_open)

    def _expected_s(self) -> float:
        return self._board.health_of(self.target).statement_s

    def _take_idle(self, organisation: OrganisationId) -> PooledConnection | None:
        for index in range(len(self._idle) - 1, -1, -1):
            if self._idle[index].organisation == organisation:
                pooled = self._idle.pop(index)
                if pooled.connection.is_open:
                    return pooled
                pooled.connection.close()
        return None

    async def _open(self, organisation: OrganisationId, until: float) -> PooledConnection:
        if self._board.clock() < self._full_until:
            raise Refused(TARGET_BUSY, f'{self.target.target} had no connection left', _RETRY_AFTER_S)
        if self._idle and self.open_count() > self._share.max_kept:
            self._idle.pop(0).connection.close()
        opening = asyncio.ensure_future(self._connect(organisation))
        self._openings.add(opening)
        opening.add_done_callback(self._openings.discard)
        began_at = self._board.clock()
        try:
            await asyncio.wait({opening}, timeout=max(until - began_at, 0))
        finally:
            if not opening.done():
                # The target is working on it already: the connection is kept for the next statement.
                self._held += 1
                opening.add_done_callback(self._keep_late)
        if opening.done():
            return opening.result()
        raise TargetLost(f'{self.target.target} did not open a connection in {self._board.clock() - began_at:.2f} s')

    def _keep_late(self, opening: asyncio.Task[PooledConnection]) -> None:
        """Keep a connection that was opened after its statement had given up."""
        self._held -= 1
        if not opening.cancelled() and opening.exception() is None:
            pooled = opening.result()
            if self.is_closed:
                pooled.connection.close()
            else:
                pooled.used_at = self._board.clock()
                self._idle.append(pooled)
        self._wake_waiters()

    async def _connect(self, organisation: OrganisationId) -> PooledConnection:
        try:
            connection = await Opening(self._board, self._driver, self.target).run(organisation)
        except Refused as refusal:
            if refusal.reason.kind in {RefusalKind.TOO_MANY_CONNECTIONS, RefusalKind.OVERLOADED}:
                self._full_until = self._board.clock() + _FULL_TARGET_PAUSE_S
                self._pacing.record_overload()
                raise Refused(TARGET_BUSY, refusal.detail, _RETRY_AFTER_S) from refusal
            raise TargetLost(f'{self.target.target} refused the connection: {refusal.detail}') from refusal
        return PooledConnection(connection, self.target, organisation, self)


class Pools:
    """Pools of all targets, kept in line with the target registry on the blackboard.

    :param board: Shared state of the instance.
    :param driver: Opens connections.
    :param directory: Knows the gateways of the targets; none by default.
    :param gateway_source: Returns the source for a target that has gateways, given this instance's own pool.
    """

    def __init__(
        self,
        board: Board,
        driver: TargetDriver,
        directory: GatewayDirectory | None = None,
        gateway_source: Callable[[TargetPool], ConnectionSource] | None = None,
    ) -> None:
        self._board = board
        self._driver = driver
        self.queues = QueueStatistics()
        self._directory = GatewayDirectory(board, is_used=False) if directory is None else directory
        self._gateway_source = gateway_source
        self._sources_by_target: dict[TargetId, tuple[TargetPool, ConnectionSource]] = {}
        self.pools_by_target: dict[TargetId, TargetPool] = {}
        board.changes.subscribe(self._on_change)

    def pool_of(self, target: TargetDescription) -> TargetPool:
        """:returns: The pool of a target's current incarnation."""
        pool = self.pools_by_target.get(target.target)
        if pool is None or _is_different_incarnation(pool.target, target):
            if pool is not None:
                pool.close()
            pool = self._new_pool(target)
            self.pools_by_target[target.target] = pool
        return pool

    def source_of(self, target: TargetDescription) -> ConnectionSource:
        """:returns: Where statements get connections to a target: its gateways, if it has any, or else its pool."""
        pool = self.pool_of(target)
        if self._gateway_source is None or not self._directory.gateways_of(target):
            return pool
        known = self._sources_by_target.get(target.target)
        if known is None or known[0] is not pool:
            known = (pool, self._gateway_source(pool))
            self._sources_by_target[target.target] = known
        return known[1]

    def share_of(self, target: TargetDescription) -> ConnectionShare:
        """:returns: This instance's share of a target's connections."""
        return self._directory.share_of(target)

    def open_count(self) -> int:
        """:returns: Number of open connections to all targets."""
        return sum(pool.open_count() for pool in self.pools_by_target.values())

    def is_scarce(self, target: TargetDescription) -> bool:
        """:returns: Whether a target has so few connections that gateways hold them."""
        return bool(self._directory.gateways_of(target))

    def sweep(self) -> None:
        """Close connections that are no longer needed."""
        for pool in self.pools_by_target.values():
            pool.use_line(FairLine if self.is_scarce(pool.target) else ArrivalLine)
            pool.sweep()

    def close(self) -> None:
        """Close every pool."""
        for pool in self.pools_by_target.values():
            pool.close()

    def _on_change(self, subject: str) -> None:
        if subject != 'targets':
            return
        for target, pool in tuple(self.pools_by_target.items()):
            present = self._board.targets_by_id.get(target)
            if present is None or _is_different_incarnation(pool.target, present):
                pool.close()
                self.pools_by_target.pop(target)
                self._sources_by_target.pop(target, None)

    def _new_pool(self, target: TargetDescription) -> TargetPool:
        """:returns: A pool for a target; the one place that decides its waiting line and its pace."""
        pace = None
        if self._gateway_source is not None:
            found = self._board.paces.of(target, self._board.clock(), GATEWAYS_OF_TARGET)
            pace = PaceWhileHolding(found, lambda: self._directory.is_gateway(target))
        line = FairLine() if self.is_scarce(target) else None
        return TargetPool(
            self._board, self._driver, target, lambda: self.share_of(target), line, pace, queues=self.queues
        )


def _is_different_incarnation(known: TargetDescription, present: TargetDescription) -> bool:
    return known.born_ms != present.born_ms or known.address != present.address
