"""Statements that compete for the connections of one pool, in virtual time."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any, cast

from fescuequay_core.relay.fair_line import FairLine
from fescuequay_core.relay.model import TargetDescription
from fescuequay_core.relay.pace import Unpaced
from fescuequay_core.relay.refusals import Refused
from fescuequay_core.relay.waiting import WaitingStatement
from fescuequay_core.types import Instant, OrganisationId, Role, ServiceId, TargetId
from fescuequay_entry.relay.board import Board, InstanceIdentity
from fescuequay_entry.relay.pool import ConnectionShare, PooledConnection, TargetPool
from fescuequay_entry.relay.ports import TargetConnection, TargetDriver

_TARGET = TargetDescription(TargetId('t1'), 1, ServiceId('s1'), '10.0.0.1:5000', 'd1', False, Role.PRIMARY)

#: Aim and time limit of the statements, in seconds.
_AIM_S = 0.6
_LIMIT_S = 1.0


class _Connection:
    """A connection that is only held."""

    def __init__(self) -> None:
        self.is_open = True

    def close(self) -> None:
        """End it."""
        self.is_open = False


class _Driver:
    """Opens connections at once."""

    async def connect(self, *_: object) -> TargetConnection:
        """:returns: A connection."""
        return cast(TargetConnection, _Connection())


class _FixedPace(Unpaced):
    """A fixed limit."""

    def __init__(self, slots: int) -> None:
        self._slots = slots

    def limit(self, now: Instant) -> float:
        """:returns: The limit."""
        return self._slots


class PoolLoad:
    """A pool with a fair line, and what its statements meet."""

    def __init__(self, slots: int, connections: int, statement_s: float) -> None:
        self.slots = slots
        self.connections = connections
        self.statement_s = statement_s
        self.served: list[float] = []
        self.refused: list[tuple[float, Refused]] = []
        self.held: list[PooledConnection] = []
        self.most_at_once = 0
        self._at_once = 0

    @property
    def transactions(self) -> int:
        """:returns: Number of transactions that hold a connection."""
        return len(self.held)

    async def play(self, scenario: Callable[['PoolLoad'], Awaitable[None]]) -> None:
        """Play a scenario in the running loop."""
        clock: Callable[[], Any] = asyncio.get_running_loop().time
        self._clock = clock
        board = Board(InstanceIdentity('i1', '1', 'd1', ''), clock)  # type: ignore[arg-type]
        board.health_of(_TARGET).statement_s = self.statement_s
        share = ConnectionShare(self.connections, self.connections)
        driver = cast(TargetDriver, _Driver())
        # The first seconds after a start, in which connections aren't kept, are over.
        await asyncio.sleep(5)
        self._pool = TargetPool(board, driver, _TARGET, lambda: share, FairLine(), _FixedPace(self.slots))
        await scenario(self)

    async def run_single(self) -> None:
        """Run one statement."""
        began_at = self._clock()
        try:
            pooled = await self._pool.acquire(self._statement(opens_transaction=False))
        except Refused as refusal:
            self.refused.append((self._clock() - began_at, refusal))
            return
        self._at_once += 1
        self.most_at_once = max(self.most_at_once, self._at_once)
        await asyncio.sleep(self.statement_s)
        self._at_once -= 1
        self.served.append(self._clock() - began_at)
        self._pool.release(pooled, is_clean=True)

    async def open_transaction(self) -> None:
        """Take a connection and keep it."""
        self.held.append(await self._pool.acquire(self._statement(opens_transaction=True)))

    def _statement(self, *, opens_transaction: bool) -> WaitingStatement:
        now = self._clock()
        return WaitingStatement(
            OrganisationId('o1'), 0, now, now + _AIM_S, now + _LIMIT_S, opens_transaction=opens_transaction
        )
