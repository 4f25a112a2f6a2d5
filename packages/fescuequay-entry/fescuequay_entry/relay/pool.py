"""Connections of this instance to the targets: few, shared by many sessions, one organisation each."""

import asyncio
import dataclasses
import itertools
from collections.abc import Awaitable, Callable
from typing import Final

from fescuequay_core.relay.model import TargetDescription
from fescuequay_core.relay.refusals import QUEUE_FULL, TARGET_BUSY, RefusalKind, Refused
from fescuequay_core.types import OrganisationId, TargetId
from fescuequay_entry.relay.board import Board, log_event
from fescuequay_entry.relay.ports import Outcome, TargetConnection, TargetDriver, TargetLost

#: Connections of each target that are left to status requests, promotions and instances that just started.
_RESERVED_CONNECTIONS: Final = 3

#: Time for which an unused connection is kept, in seconds; below the targets' own limit of a minute.
_IDLE_TIMEOUT_S: Final = 40.0

#: Longest wait for a new connection, in seconds; a target that needs longer would answer no statement in time either.
CONNECT_TIMEOUT_S: Final = 0.6

#: Wait for a new connection from which silence is evidence against the target, in seconds.
SILENT_CONNECT_WAIT_S: Final = 0.2

#: Least wait for a new connection, in seconds.
_MIN_CONNECT_TIMEOUT_S: Final = 0.02

#: Time for which no connection is asked of a target that had none left, in seconds: each try takes the target's time.
_FULL_TARGET_PAUSE_S: Final = 0.15

#: Time after the start for which connections are closed after use, in seconds: as long as targets count those of
#: instances that lost power with this one.
_NO_KEEP_AFTER_START_S: Final = 3.2

#: Time after such a refusal for which connections are closed after use, in seconds, so that instances take turns.
_NO_KEEP_AFTER_FULL_S: Final = 2.0

#: When to come back after a wait for a connection that was in vain, in seconds: a few statements' time.
_RETRY_AFTER_S: Final = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class ConnectionShare:
    """Connections of one target that an instance may have.

    :param max_open: Connections at a time; at least one, also where there are more instances than connections.
    :param kept: Connections that it may keep while they are idle. Where there are more instances than connections, it
        keeps none: statements need them for a moment only, and idle ones would turn other instances away.
    """

    max_open: int
    max_kept: int


@dataclasses.dataclass(slots=True)
class PooledConnection:
    """A connection while one statement or transaction has it.

    :param connection: The connection.
    :param target: Its target.
    :param organisation: Organisation that it speaks for.
    :param pool: Where it is given back.
    :param values: Session values that are set on it.
    :param names_by_shape: Names of the statements that are prepared on it.
    :param used_at: When it was last given back.
    """

    connection: TargetConnection
    target: TargetDescription
    organisation: OrganisationId
    pool: 'TargetPool'
    values: dict[str, str] = dataclasses.field(default_factory=dict)
    names_by_shape: dict[tuple[str, bool], str] = dataclasses.field(default_factory=dict)
    used_at: float = 0.0

    async def apply_session_values(self, values: dict[str, str]) -> None:
        """Make the connection's session values those of a session.

        :param values: The session's values.
        :raises TargetLost: The connection ended, or refused a value.
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
        """Prepare a shape once on this connection.

        :param shape: The shape.
        :param is_write: Whether it writes.
        :returns: Its name there.
        :raises TargetLost: The connection ended, or refused it.
        """
        name = self.names_by_shape.get((shape, is_write))
        if name is None:
            name = f'f{len(self.names_by_shape)}'
            await self._require_success(self.connection.prepare(name, shape, is_write=is_write))
            self.names_by_shape[shape, is_write] = name
        return name

    async def _require_success(self, step: Awaitable[Outcome]) -> None:
        outcome = await step
        if outcome.fault is not None:
            # Half-applied session state must not serve anybody.
            self.connection.close()
            raise TargetLost(f'session state was refused: {outcome.fault.detail}')


class TargetPool:
    """Connections to one incarnation of a target, and the statements that wait for one.

    :param board: The blackboard.
    :param driver: Opens connections.
    :param target: The target.
    :param share_of: Tells this instance's share of the target's connections.
    """

    def __init__(
        self, board: Board, driver: TargetDriver, target: TargetDescription, share_of: Callable[[], ConnectionShare]
    ) -> None:
        self.target = target
        self._board = board
        self._driver = driver
        self._share_of = share_of
        self._idle: list[PooledConnection] = []
        self._held = 0
        self._sequence = itertools.count()
        self._waiters: list[tuple[int, int, asyncio.Future[None]]] = []
        self.is_closed = False
        self._full_until = float('-inf')

    def available(self) -> int:
        """:returns: Connections that are idle or may be opened."""
        return max(self._share.max_open - self._held, 0)

    def has_idle(self, organisation: OrganisationId) -> bool:
        """:returns: Whether an idle connection speaks for an organisation."""
        return any(pooled.organisation == organisation for pooled in self._idle)

    def waiting(self) -> int:
        """:returns: Statements that wait for a connection."""
        return len(self._waiters)

    def open_count(self) -> int:
        """:returns: Open connections."""
        return self._held + len(self._idle)

    async def acquire(self, organisation: OrganisationId, priority: int, until: float) -> PooledConnection:
        """Get a connection.

        :param organisation: Organisation that it must speak for.
        :param priority: 0 goes first.
        :param until: Latest time.
        :returns: The connection; it must be released.
        :raises Refused: There is none in time; nothing has run.
        :raises TargetLost: The target can't be reached.
        """
        if self.available() == 0 or self._waiters:
            await self._wait(priority, until)
        self._held += 1
        try:
            return self._take_idle(organisation) or await self._open(organisation, until)
        except BaseException:
            self._held -= 1
            self._wake_waiters()
            raise

    def release(self, pooled: PooledConnection, *, is_clean: bool) -> None:
        """Return a connection.

        :param pooled: The connection.
        :param is_clean: Whether it is outside a transaction and nothing is outstanding.
        """
        self._held -= 1
        if is_clean and pooled.connection.is_open and not self.is_closed and self._may_keep():
            pooled.used_at = self._board.clock()
            self._idle.append(pooled)
            self._close_surplus()
        else:
            pooled.connection.close()
        self._wake_waiters()

    def close(self) -> None:
        """Close the idle connections; those in use close when they are given back."""
        self.is_closed = True
        for pooled in self._idle:
            pooled.connection.close()
        self._idle.clear()

    def sweep(self) -> None:
        """Close connections that were idle for long or ended by themselves."""
        oldest = self._board.clock() - _IDLE_TIMEOUT_S
        for pooled in tuple(self._idle):
            if pooled.used_at < oldest or not pooled.connection.is_open:
                self._idle.remove(pooled)
                pooled.connection.close()
        self._close_surplus()

    def close_idle(self) -> None:
        """Close every idle connection: one of them has proved silent, so the others are doubtful."""
        for pooled in self._idle:
            pooled.connection.close()
        self._idle.clear()

    @property
    def _share(self) -> ConnectionShare:
        return self._share_of()

    def _may_keep(self) -> bool:
        """:returns: Whether an unused connection stays open, or leaves its place at the target to other instances."""
        is_scarce = (
            self._board.clock() < self._full_until + _NO_KEEP_AFTER_FULL_S
            or self._board.uptime_s() < _NO_KEEP_AFTER_START_S
        )
        return not is_scarce

    def _close_surplus(self) -> None:
        while self._idle and self.open_count() > self._share.max_kept:
            self._idle.pop(0).connection.close()

    async def _wait(self, priority: int, until: float) -> None:
        now = self._board.clock()
        waiter = asyncio.get_running_loop().create_future()
        entry = (priority, next(self._sequence), waiter)
        self._waiters.append(entry)
        self._waiters.sort(key=lambda other: other[:2])
        try:
            await asyncio.wait_for(waiter, max(until - now, 0))
        except TimeoutError:
            raise Refused(
                QUEUE_FULL, f'no connection to {self.target.target} became free in {until - now:.2f} s', _RETRY_AFTER_S
            ) from None
        finally:
            if entry in self._waiters:
                self._waiters.remove(entry)

    def _wake_waiters(self) -> None:
        free = self.available()
        for _, _, waiter in self._waiters:
            if free <= 0:
                return
            if not waiter.done():
                waiter.set_result(None)
                free -= 1

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
        began_at = self._board.clock()
        health = self._board.health_of(self.target)
        limit_s = min(CONNECT_TIMEOUT_S, max(until - began_at, _MIN_CONNECT_TIMEOUT_S))
        try:
            connection = await asyncio.wait_for(self._driver.connect(self.target, organisation), limit_s)
        except TimeoutError:
            if limit_s >= SILENT_CONNECT_WAIT_S:
                # A shorter wait shows how little time the statement had, and nothing about the target.
                health.record_failure(began_at, self._board.clock(), is_refusal=False)
            log_event('target_silent', target=self.target.target, waited_s=round(limit_s, 3), step='connect')
            raise TargetLost(f'{self.target.target} did not accept a connection in {limit_s:.2f} s') from None
        except TargetLost as error:
            health.record_failure(began_at, self._board.clock(), is_refusal=error.is_refusal)
            log_event('target_unreachable', target=self.target.target, detail=str(error), step='connect')
            raise
        except Refused as refusal:
            health.record_answer(self._board.clock())
            if refusal.reason.kind in {RefusalKind.TOO_MANY_CONNECTIONS, RefusalKind.OVERLOADED}:
                self._full_until = self._board.clock() + _FULL_TARGET_PAUSE_S
                raise Refused(TARGET_BUSY, refusal.detail, _RETRY_AFTER_S) from refusal
            raise TargetLost(f'{self.target.target} refused the connection: {refusal.detail}') from refusal
        health.record_connection(self._board.clock(), self._board.clock() - began_at)
        return PooledConnection(connection, self.target, organisation, self)


class Pools:
    """The pools of all targets; follows the registry on the blackboard.

    :param board: The blackboard.
    :param driver: Opens connections.
    """

    def __init__(self, board: Board, driver: TargetDriver) -> None:
        self._board = board
        self._driver = driver
        self.pools_by_target: dict[TargetId, TargetPool] = {}
        board.changes.subscribe(self._on_change)

    def pool_of(self, target: TargetDescription) -> TargetPool:
        """:returns: The pool of a target's present incarnation."""
        pool = self.pools_by_target.get(target.target)
        if pool is None or _is_different_incarnation(pool.target, target):
            if pool is not None:
                pool.close()
            pool = TargetPool(self._board, self._driver, target, lambda: self.share_of(target))
            self.pools_by_target[target.target] = pool
        return pool

    def share_of(self, target: TargetDescription) -> ConnectionShare:
        """:returns: This instance's share of a target's connections."""
        configuration = self._board.configuration
        policy = configuration.services_by_id.get(target.service) if configuration else None
        if policy is None:
            return ConnectionShare(1, 1)
        reserved = min(_RESERVED_CONNECTIONS, policy.max_connections // 4)
        even = (policy.max_connections - reserved) // self._board.member_count()
        return ConnectionShare(max(even, 1), even)

    def sweep(self) -> None:
        """Close what is no longer needed."""
        for pool in self.pools_by_target.values():
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


def _is_different_incarnation(known: TargetDescription, present: TargetDescription) -> bool:
    return known.born_ms != present.born_ms or known.address != present.address
