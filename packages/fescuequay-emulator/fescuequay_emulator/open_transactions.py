"""A fault in which transactions stay open on a primary that is replaced, while reads go on."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Final

from fescuequay_core.relay.model import Consistency, DatabaseName, Statement
from fescuequay_emulator.callers import Session, StatementOutcome
from fescuequay_emulator.load import BEGIN, ROLLBACK, read, write

if TYPE_CHECKING:
    from fescuequay_emulator.targets import ModelTarget
    from fescuequay_emulator.world import World

#: Number of transactions, and the pause between two statements of one, in seconds.
_TRANSACTIONS: Final = 4
_PAUSE_S: Final = 1.2

#: Interval between two reads or writes outside transactions, in seconds.
_INTERVAL_S: Final = 0.1

#: Time for which the statements go on after the fault, in seconds.
_AFTERWARDS_S: Final = 1.0

#: Timeout of a statement, in seconds.
_STATEMENT_TIMEOUT_S: Final = 3.0

#: Item that is read and written.
_ITEM: Final = 1


class TransactionsOnReplacedPrimary:
    """Callers of one instance read, in transactions and outside, while callers of another one write.

    :param world: The deployment.
    :param service: Number of the service.
    """

    def __init__(self, world: 'World', service: int) -> None:
        self._world = world
        self._service = service
        self._primary = world.primary_of(f's{service}')
        names = sorted(world.data_centres_by_instance)
        now = world.loop.time()
        # The coordinator passes on the positions of primaries to the others.
        coordinators = (name for name, one in world.instances.items() if one.board.lease.holds(now))
        self._reading = next(coordinators, names[0])
        self._writing = next(name for name in names if name != self._reading)
        self._until = float('inf')

    async def run(self, for_s: float) -> None:
        """Isolate the primary from its replicas and the registry; one of the replicas receives nothing meanwhile."""
        deaf = self._primary.other_targets[0]
        deaf.ignores_replication = True
        await self._run_load(for_s, self._world.isolate(self._primary, for_s))
        deaf.ignores_replication = False
        if deaf.role is not self._world.primary_of(f's{self._service}').role:
            deaf.become_replica()

    async def cut_off_reader(self, for_s: float) -> None:
        """Cut off the instance that reads, together with the primary and one of its replicas."""
        inside = {self._reading, self._primary.name, self._primary.other_targets[0].name}
        nodes = tuple(self._world.network.data_centres_by_node)
        pairs = [(near, far) for near in sorted(inside) for far in nodes if far not in inside]
        for near, far in pairs:
            self._world.network.cut(near, far)
        began_at = self._world.loop.time()
        await self._run_load(for_s, asyncio.sleep(for_s))
        for near, far in pairs:
            self._world.network.heal(near, far)
        self._world.checker.cut_off.append((self._reading, began_at, self._world.loop.time()))
        self._rejoin(self._primary)

    def _rejoin(self, former: 'ModelTarget') -> None:
        """Let a former primary follow the present one, as it does a second after it reaches it."""
        if self._world.primary_of(f's{self._service}') is not former:
            former.become_replica()

    async def _run_load(self, for_s: float, fault: Awaitable[None]) -> None:
        self._until = self._world.loop.time() + for_s + _AFTERWARDS_S
        transactions = (self._hold_transaction(number) for number in range(_TRANSACTIONS))
        await asyncio.gather(fault, self._read(), self._write(), *transactions)

    async def _read(self) -> None:
        await self._repeat(self._reading, Consistency.BOUNDED, lambda: read(_ITEM))

    async def _write(self) -> None:
        while self._world.primary_of(f's{self._service}') is self._primary and self._is_running():
            await asyncio.sleep(_INTERVAL_S)
        await self._repeat(self._writing, Consistency.PRIMARY, lambda: write(_ITEM, 'v'))

    async def _repeat(self, instance: str, kind: Consistency, make: Callable[[], Statement]) -> None:
        session = self._session(kind)
        while self._is_running():
            if session.is_open or await self._open(session, instance):
                await self._execute(session, make())
            await asyncio.sleep(_INTERVAL_S)
        session.close()

    async def _hold_transaction(self, number: int) -> None:
        await asyncio.sleep(number * _PAUSE_S / _TRANSACTIONS)
        session = self._session(Consistency.PRIMARY)
        if await self._open(session, self._reading) and await self._execute(session, BEGIN):
            while self._is_running() and await self._execute(session, read(_ITEM)):
                await asyncio.sleep(_PAUSE_S)
            if session.is_open:
                await self._execute(session, ROLLBACK)
        session.close()

    async def _open(self, session: Session, instance: str) -> bool:
        listener = self._world.listeners.get(instance)
        return listener is not None and await session.open(listener) is True

    async def _execute(self, session: Session, statement: Statement) -> bool:
        """:returns: Whether the statement was served."""
        try:
            sent = await asyncio.wait_for(session.execute(statement), _STATEMENT_TIMEOUT_S)
        except TimeoutError:
            session.close()
            return False
        return sent.outcome is StatementOutcome.SERVED

    def _session(self, kind: Consistency) -> Session:
        world = self._world
        number = world.rng.getrandbits(30)
        database = DatabaseName(f'{kind.value}-{self._service}')
        return Session(number, world.credentials()[0], database, world.checker.sent, world.rng)

    def _is_running(self) -> bool:
        return self._world.loop.time() < self._until
