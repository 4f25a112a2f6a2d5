"""One pool of connections to a simulated target, and callers who use it, in virtual time."""

import asyncio
import random
from collections.abc import Coroutine
from typing import Any

from fescuequay_core.relay.model import LeaderRecord, Statement, StatementKind, TargetDescription
from fescuequay_core.relay.pace import PaceByTarget, Unpaced
from fescuequay_core.relay.refusals import Refused
from fescuequay_core.relay.waiting import WaitingStatement
from fescuequay_core.types import InstanceId, LeaderState, OrganisationId, RequestId, Role, ServiceId, TargetId, Term
from fescuequay_emulator.connections import ModelDriver
from fescuequay_emulator.network import Network
from fescuequay_emulator.targets import ModelTarget
from fescuequay_emulator.virtual_loop import VirtualLoop
from fescuequay_entry.relay.board import Board, InstanceIdentity
from fescuequay_entry.relay.pool import ConnectionShare, PooledConnection, TargetPool
from fescuequay_entry.relay.ports import TargetLost

SLOTS = 4
WORK_S = 0.02

_TARGET = TargetDescription(
    TargetId('t'), 1, ServiceId('s'), 't:9', 'north', is_draining=False, role=Role.REPLICA, slots=SLOTS
)
_READ = Statement(StatementKind.READ, 'read')

#: Time that an instance without a connection kept after its start waits before it keeps connections, in seconds.
_AFTER_START_S = 4.0

_TIME_LIMIT_S = 0.8
_WAIT_S = 0.3


class PacedPool:
    """A pool and its target.

    :param connections: Connections that the pool may have.
    :param is_paced: Whether the pool has a pace.
    """

    def __init__(self, connections: int, *, is_paced: bool) -> None:
        self.loop = VirtualLoop()
        network = Network(random.Random(1))
        for node in ('i', 't'):
            network.add(node, 'north')
        self.target = ModelTarget(network, random.Random(2), _TARGET, SLOTS, WORK_S, lambda _: None)
        self.board = Board(InstanceIdentity(InstanceId('i'), 'i1', 'north', 'i:1'), self.loop.time)
        pace = PaceByTarget().of(_TARGET, 0.0) if is_paced else None
        self.pool = TargetPool(
            self.board,
            ModelDriver(network, {_TARGET.address: self.target}, 'i'),
            _TARGET,
            lambda: ConnectionShare(connections, connections),
            pace=pace,
        )
        self.took_s: list[float] = []
        self.refused_after_s = 0.0
        self.most_at_target = 0
        self._at_target = 0
        self.pace = pace or Unpaced()

    def run(self, scenario: Coroutine[Any, Any, None]) -> None:
        """Run a scenario after the time in which new instances keep no connection."""

        async def run() -> None:
            await asyncio.sleep(_AFTER_START_S)
            await scenario

        try:
            self.loop.run_until_complete(asyncio.wait_for(run(), 60))
        finally:
            self.loop.close()

    def waiting_statement(self) -> WaitingStatement:
        """:returns: A statement that needs a connection now."""
        now = self.board.clock()
        return WaitingStatement(OrganisationId('o'), 1, now, now + 0.25, now + _WAIT_S)

    async def read_until(self, until: float) -> None:
        """Read again and again, as a statement runner does."""
        while self.board.clock() < until:
            began_at = self.board.clock()
            try:
                pooled = await self.pool.acquire(self.waiting_statement())
            except (Refused, TargetLost):
                self.refused_after_s += self.board.clock() - began_at
                await asyncio.sleep(0.02)
                continue
            self.pool.release(pooled, is_clean=await self._read(pooled))

    async def rest_until(self, until: float) -> None:
        """Begin a transaction and send nothing more."""
        pooled = await self.pool.acquire(self.waiting_statement())
        await pooled.connection.begin(is_write=False, after=None)
        await asyncio.sleep(until - self.board.clock())
        self.pool.release(pooled, is_clean=False)

    async def silence_for(self, seconds: float) -> None:
        """Make the target silent."""
        self.target.crash(is_silent=True)
        await asyncio.sleep(seconds)
        self.target.restart()

    def promote(self) -> None:
        """Publish that the target leads its service."""
        record = LeaderRecord(_TARGET.service, Term(2), _TARGET.target, LeaderState.LEADING, 'test', version=2)
        self.board.update_record(record, self.board.clock(), 'test')

    async def _read(self, pooled: PooledConnection) -> bool:
        began_at = self.board.clock()
        health = self.board.health_of(_TARGET)
        self._at_target += 1
        self.most_at_target = max(self.most_at_target, self._at_target)
        try:
            outcome = await asyncio.wait_for(pooled.connection.execute(RequestId('r'), _READ), _TIME_LIMIT_S)
        except (TimeoutError, TargetLost):
            health.record_failure(began_at, self.board.clock(), is_refusal=False)
            return False
        finally:
            self._at_target -= 1
        took_s = self.board.clock() - began_at
        health.record_answer(self.board.clock(), took_s=took_s)
        if outcome.fault is None:
            self.took_s.append(took_s)
        return True
