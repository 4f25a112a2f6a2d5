"""A constant load from sessions on every kind of route, and a tally of the results."""

import asyncio
import collections
import dataclasses
from typing import Final

from fescuequay_core.relay.model import Consistency, Credential, DatabaseName, Statement, StatementKind
from fescuequay_emulator.callers import SentStatement, Session, StatementOutcome
from fescuequay_emulator.world import World

#: Share of operations that write, and share that are transactions.
_WRITE_SHARE: Final = 0.25
_TRANSACTION_SHARE: Final = 0.25

#: Number of distinct items that operations read and write.
_ITEM_COUNT: Final = 50

#: Distance between the random bases of session numbers; larger than the number of sessions in one load.
_SESSION_NUMBER_STEP: Final = 1000

#: Pause between two attempts at an operation, in seconds.
_RETRY_PAUSE_S: Final = 0.1


def read(item: int) -> Statement:
    """:returns: A statement that reads an item."""
    return Statement(StatementKind.READ, f'READ {item}')


def write(item: int, value: str) -> Statement:
    """:returns: A statement that writes an item."""
    return Statement(StatementKind.WRITE, f'WRITE {item} {value}', is_write=True)


def set_value(name: str, value: str) -> Statement:
    """:returns: A statement that sets a session value."""
    return Statement(StatementKind.SET, f'SET {name} {value}', name=name, value=value)


def prepare(name: str, shape: str, *, is_write: bool) -> Statement:
    """:returns: A statement that prepares another under a name."""
    mode = 'WRITE' if is_write else 'READ'
    return Statement(StatementKind.PREPARE, f'PREPARE {name} {mode} {shape}', name=name, value=shape, is_write=is_write)


def execute(name: str, item: int) -> Statement:
    """:returns: A statement that executes a prepared one."""
    return Statement(StatementKind.EXECUTE, f'EXECUTE {name} {item}', name=name, arguments=str(item))


BEGIN: Final = Statement(StatementKind.BEGIN, 'BEGIN', is_write=True)
BEGIN_READ: Final = Statement(StatementKind.BEGIN, 'BEGIN READ')
COMMIT: Final = Statement(StatementKind.COMMIT, 'COMMIT')
ROLLBACK: Final = Statement(StatementKind.ROLLBACK, 'ROLLBACK')


@dataclasses.dataclass(slots=True)
class Tally:
    """Results of the operations on one kind of route.

    :param asked: Number of operations.
    :param served: Number of operations that succeeded, after retries where needed.
    :param refused: Number of refused attempts by reason.
    :param latencies_s: Time of each served operation from its first attempt.
    """

    asked: int = 0
    served: int = 0
    refused: collections.Counter[str] = dataclasses.field(default_factory=collections.Counter)
    latencies_s: list[float] = dataclasses.field(default_factory=list)


class Load:
    """Sessions that send operations at a constant mean rate.

    :param world: The deployment.
    :param per_s: Operations per second over all sessions.
    :param sessions: Number of sessions.
    :param credential: Key of all sessions; by default they use the configured keys in turn.
    """

    def __init__(self, world: World, per_s: float, sessions: int, credential: Credential | None = None) -> None:
        self._credential = credential
        self._world = world
        self._pause_s = sessions / per_s
        self._sessions = sessions
        self.tallies: dict[Consistency, Tally] = {kind: Tally() for kind in Consistency}
        self.write_times: list[float] = []

    async def run(self, for_s: float) -> None:
        """Send operations for ``for_s`` seconds."""
        until = self._world.loop.time() + for_s
        await asyncio.gather(*(self._run_session(number, until) for number in range(self._sessions)))

    async def _run_session(self, number: int, until: float) -> None:
        world = self._world
        kind = tuple(Consistency)[number % len(Consistency)]
        service = world.rng.randrange(world.plan.services)
        credentials = world.credentials()
        session = Session(
            number + world.rng.getrandbits(20) * _SESSION_NUMBER_STEP,
            self._credential or credentials[number % len(credentials)],
            DatabaseName(f'{kind.value}-{service}'),
            world.checker.sent,
            world.rng,
        )
        await asyncio.sleep(world.rng.uniform(0, self._pause_s))
        while world.loop.time() < until:
            await self._run_operation(session, self.tallies[kind], kind)
            await asyncio.sleep(world.rng.expovariate(1 / self._pause_s))
        session.close()

    async def _run_operation(self, session: Session, tally: Tally, kind: Consistency) -> None:
        began_at = self._world.loop.time()
        may_write = kind is not Consistency.BOUNDED
        is_write = may_write and self._world.rng.random() < _WRITE_SHARE
        is_transaction = self._world.rng.random() < _TRANSACTION_SHARE
        tally.asked += 1
        for _ in range(3):
            try:
                last = await asyncio.wait_for(
                    self._attempt(session, is_write=is_write, is_transaction=is_transaction), 3.0
                )
            except TimeoutError:
                session.close()
                return
            if last is not None and last.outcome is StatementOutcome.SERVED:
                tally.served += 1
                tally.latencies_s.append(self._world.loop.time() - began_at)
                if is_write:
                    self.write_times.append(self._world.loop.time())
                return
            if last is not None and last.refusal is not None:
                tally.refused[last.refusal.reason.code] += 1
            if last is not None and last.outcome is StatementOutcome.UNKNOWN and is_write:
                return
            await asyncio.sleep(_RETRY_PAUSE_S)

    async def _attempt(self, session: Session, *, is_write: bool, is_transaction: bool) -> SentStatement | None:
        if not session.is_open and not await self._open(session):
            return None
        item = self._world.rng.randrange(_ITEM_COUNT)
        if not is_transaction:
            return await self._execute_single(session, item, is_write=is_write)
        sent = await session.execute(BEGIN if is_write else BEGIN_READ)
        steps = [read(item), *([write(item, f'v{session.number}')] if is_write else []), COMMIT]
        for statement in steps:
            if sent.outcome is not StatementOutcome.SERVED:
                break
            await asyncio.sleep(self._world.rng.uniform(0, 0.05))
            sent = await session.execute(statement)
        if sent.outcome is not StatementOutcome.SERVED:
            session.close()
        return sent

    async def _execute_single(self, session: Session, item: int, *, is_write: bool) -> SentStatement:
        if self._world.rng.random() < 0.5:
            return await session.execute(write(item, f'v{session.number}') if is_write else read(item))
        name = 'w' if is_write else 'r'
        if name not in session.shapes:
            await session.execute(prepare(name, f'q{session.number % 5}', is_write=is_write))
        return await session.execute(execute(name, item))

    async def _open(self, session: Session) -> bool:
        names = sorted(self._world.listeners)
        ready = [name for name in names if self._world.instances[name].is_ready()]
        if not ready:
            return False
        listener = self._world.listeners[self._world.rng.choice(ready)]
        if await session.open(listener) is not True:
            return False
        await session.execute(set_value('lang', f'l{session.number % 3}'))
        if session.number % 2:
            await session.execute(set_value('user', f'u{session.number}'))
        return True
