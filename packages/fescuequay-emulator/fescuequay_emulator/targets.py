"""Model databases: slots, a replicated log with terms, transactions, session state, and their faults."""

import asyncio
import dataclasses
import random
from collections.abc import Awaitable, Callable
from typing import Any, Final

from fescuequay_core.relay import refusals
from fescuequay_core.relay.model import (
    LogPosition,
    SessionState,
    Statement,
    StatementKind,
    TargetDescription,
    TargetReport,
)
from fescuequay_core.relay.refusals import Reason, Refused
from fescuequay_core.types import OrganisationId, RequestId, Role, ServiceId, TargetId, Term
from fescuequay_emulator.network import Network
from fescuequay_entry.relay.ports import Outcome, TargetConnection, TargetDriver, TargetLost

#: Time that a new connection takes a slot, in seconds; as the sites have it.
_OPEN_S: Final = 0.012

#: Statements that wait for a slot before more are refused.
_QUEUE: Final = 24


@dataclasses.dataclass(frozen=True, slots=True)
class Commit:
    """One entry of a log.

    :param position: Its place.
    :param request: Request that committed it.
    :param writes: Requests whose writes it holds.
    """

    position: LogPosition
    request: RequestId
    writes: tuple[RequestId, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """One statement that a target ran, as the judge sees it.

    :param at: When.
    :param target: Where.
    :param service: Its service.
    :param request: The request.
    :param statement: The statement as it came.
    :param organisation: Organisation that the connection spoke for.
    :param values: Session values that were set.
    :param shape: Shape of the prepared statement.
    :param transaction: Number of the transaction; 0 outside one.
    :param applied: Commits that it saw.
    :param is_primary: Whether the target led then.
    :param instance: Instance that sent it.
    """

    at: float
    target: TargetId
    service: ServiceId
    request: RequestId
    statement: Statement
    organisation: OrganisationId
    values: dict[str, str]
    shape: tuple[str, bool] | None
    transaction: int
    applied: tuple[Commit, ...]
    is_primary: bool
    instance: str


class ModelTarget:
    """One database.

    :param network: The network.
    :param chance: Source of chance.
    :param description: What it says of itself.
    :param slots: Statements that it runs at a time.
    :param work_s: Mean time of a statement.
    :param on_run: Tells the judge of each statement.
    """

    def __init__(
        self,
        network: Network,
        chance: random.Random,
        description: TargetDescription,
        slots: int,
        work_s: float,
        on_run: Callable[[Run], None],
    ) -> None:
        self.network = network
        self.description = description
        self.role = description.role
        self.term = Term(1)
        self.log: list[Commit] = []
        self.applied = 0
        self.lag_s = 0.02
        self.is_deaf = False
        self.is_alive = True
        self.is_dark = False
        self.lost_share = 0.0
        self.failed_share = 0.0
        self.max_connections = 60
        self.connections: dict['ModelConnection', None] = {}
        self.followers: list['ModelTarget'] = []
        self._chance = chance
        self._slots = asyncio.Semaphore(slots)
        self._waiting = 0
        self._work_s = work_s
        self._on_run = on_run
        self._transactions = 0

    @property
    def name(self) -> TargetId:
        """:returns: Its id."""
        return self.description.target

    def position(self) -> LogPosition:
        """:returns: End of its log."""
        return self.log[-1].position if self.log else LogPosition(Term(1), 0)

    def seen(self) -> tuple[Commit, ...]:
        """:returns: The commits that a read sees."""
        return tuple(self.log if self.role is Role.PRIMARY else self.log[: self.applied])

    def next_transaction(self) -> int:
        """:returns: Number of a new transaction."""
        self._transactions += 1
        return self._transactions

    def crash(self, *, dark: bool = False) -> None:
        """End the process, with its connections; a dark one goes silent instead."""
        self.is_alive = False
        self.is_dark = dark
        for connection in tuple(self.connections):
            connection.break_off(is_silent=dark)

    def restart(self) -> None:
        """Start again with the log."""
        self.is_alive = True
        self.is_dark = False
        if any(other.role is Role.PRIMARY and other.term > self.term for other in self.followers):
            self.follow()

    def follow(self) -> None:
        """Become a replica of the newest primary and take its log."""
        self.role = Role.REPLICA
        leaders = [other for other in self.followers if other.role is Role.PRIMARY and other.is_alive]
        if leaders:
            newest = max(leaders, key=lambda other: other.term)
            self.term = newest.term
            self.log = list(newest.log)
            self.applied = len(self.log)

    def lead(self, term: Term) -> None:
        """Lead a term with what was received; the others follow."""
        self.role = Role.PRIMARY
        self.term = term
        for other in self.followers:
            if other.role is Role.REPLICA and not other.is_deaf and not self.network.is_cut(self.name, other.name):
                other.follow()

    def commit(self, request: RequestId, writes: tuple[RequestId, ...]) -> None:
        """Append a commit and send it to the replicas."""
        position = LogPosition(self.term, self.position().number + 1)
        entry = Commit(position, request, writes)
        self.log.append(entry)
        loop = asyncio.get_running_loop()
        for other in self.followers:
            if not other.is_deaf and not self.network.is_cut(self.name, other.name):
                loop.call_later(0.001, other.receive, self, entry)

    def receive(self, leader: 'ModelTarget', entry: Commit) -> None:
        """Take in a commit of the primary, and apply it later."""
        if (
            self.role is not Role.REPLICA
            or not self.is_alive
            or leader.term < self.term
            or entry in self.log
            or entry not in leader.log
        ):
            return
        # With the entry comes whatever was missed before it.
        self.log = leader.log[: leader.log.index(entry) + 1]
        asyncio.get_running_loop().call_later(self.lag_s, self._apply, len(self.log))

    def report(self) -> TargetReport:
        """:returns: Its status."""
        return TargetReport(self.role, self.term, self.position(), self.lag_s, self._waiting, len(self.connections))

    def note_run(self, run: Run) -> None:
        """Tell the judge."""
        self._on_run(run)

    async def work(self) -> None:
        """Take a slot for a statement's time. :raises Refused: The queue is full."""
        if self._slots.locked() and self._waiting >= _QUEUE:
            raise Refused(refusals.TARGET_BUSY, f'{self.name} is full')
        self._waiting += 1
        try:
            async with self._slots:
                await asyncio.sleep(self._chance.lognormvariate(0, 0.5) * self._work_s)
        finally:
            self._waiting -= 1

    async def open_slot(self) -> None:
        """Take a slot for a new connection."""
        async with self._slots:
            await asyncio.sleep(_OPEN_S)

    def loses_answer(self) -> bool:
        """:returns: Whether the answer of a statement that ran is lost."""
        return self._chance.random() < self.lost_share

    def fails(self) -> bool:
        """:returns: Whether a statement fails though the target says that it is well."""
        return self._chance.random() < self.failed_share

    def _apply(self, count: int) -> None:
        self.applied = max(self.applied, min(count, len(self.log)))


class ModelConnection(TargetConnection):
    """One connection of an instance to a model database.

    :param target: The database.
    :param caller: The instance.
    :param organisation: Organisation that it speaks for.
    """

    def __init__(self, target: ModelTarget, caller: str, organisation: OrganisationId) -> None:
        self.target = target
        self.is_open = True
        self.position = None
        self.values: dict[str, str] = {}
        self.shapes: dict[str, tuple[str, bool]] = {}
        self.transaction = 0
        self._caller = caller
        self._organisation = organisation
        self._may_write = True
        self._writes: list[RequestId] = []
        self._broken: asyncio.Future[None] = asyncio.get_running_loop().create_future()

    def break_off(self, *, is_silent: bool = False) -> None:
        """End the connection from the target's side; the caller sees it unless the end is silent."""
        self.transaction = 0
        self.target.connections.pop(self, None)
        if not is_silent:
            self.is_open = False
            if not self._broken.done():
                self._broken.set_result(None)

    def close(self) -> None:
        """End the connection from the instance's side."""
        self.is_open = False
        self.transaction = 0
        self.target.connections.pop(self, None)

    async def execute(
        self,
        request: RequestId,
        statement: Statement,
        *,
        name: str | None = None,
        after: LogPosition | None = None,
    ) -> Outcome:
        """Run a caller's statement."""
        return await self._ask(lambda: self._run(request, statement, name, after))

    async def begin(self, *, is_write: bool, after: LogPosition | None) -> Outcome:
        """Begin a transaction."""

        async def begin() -> Outcome:
            if is_write and self.target.role is not Role.PRIMARY:
                return self._fault(refusals.NOT_LEADING)
            if after is not None and not self._has(after):
                return self._fault(refusals.BEHIND)
            self.transaction = self.target.next_transaction()
            self._may_write = is_write
            self._writes = []
            return self._done()

        return await self._ask(begin)

    async def rollback(self) -> Outcome:
        """Roll the transaction back."""

        async def roll_back() -> Outcome:
            self.transaction = 0
            return self._done()

        return await self._ask(roll_back)

    async def set_value(self, name: str, value: str) -> Outcome:
        """Set a session value."""

        async def set_value() -> Outcome:
            self.values[name] = value
            return self._done()

        return await self._ask(set_value)

    async def prepare(self, name: str, shape: str, *, is_write: bool) -> Outcome:
        """Prepare a statement."""

        async def prepare() -> Outcome:
            self.shapes[name] = (shape, is_write)
            return self._done()

        return await self._ask(prepare)

    async def reset(self) -> Outcome:
        """Drop all values and prepared statements."""

        async def reset() -> Outcome:
            self.values.clear()
            self.shapes.clear()
            return self._done()

        return await self._ask(reset)

    async def status(self) -> TargetReport | None:
        """:returns: Its status."""
        await self._ask(self._nothing)
        return self.target.report()

    async def demote(self, term: Term) -> TargetReport | None:
        """Make a primary of an earlier term a replica."""

        async def demote() -> Outcome:
            if self.target.role is Role.PRIMARY and self.target.term < term:
                self.target.follow()
                self.target.applied = len(self.target.log)
            return self._done()

        await self._ask(demote)
        return self.target.report()

    async def hold(self, term: Term) -> TargetReport | None:
        """Stop a replica from receiving."""

        async def hold() -> Outcome:
            self.target.is_deaf = True
            return self._done()

        await self._ask(hold)
        return self.target.report()

    async def _nothing(self) -> Outcome:
        return self._done()

    async def _ask(self, step: Callable[[], Awaitable[Outcome]]) -> Outcome:
        asking = asyncio.ensure_future(self._both_ways(step))
        waited: set[asyncio.Future[Any]] = {asking, self._broken}
        done, _ = await asyncio.wait(waited, return_when=asyncio.FIRST_COMPLETED)
        if asking in done:
            return asking.result()
        asking.cancel()
        raise TargetLost('the target ended the connection')

    async def _both_ways(self, step: Callable[[], Awaitable[Outcome]]) -> Outcome:
        target = self.target
        try:
            await target.network.travel(self._caller, target.name)
            if not target.is_alive:
                await asyncio.get_running_loop().create_future()
            outcome = await step()
            await target.network.travel(target.name, self._caller)
        except ConnectionRefusedError as error:
            raise TargetLost(str(error)) from error
        self.position = outcome.position
        return outcome

    async def _run(
        self, request: RequestId, statement: Statement, name: str | None, after: LogPosition | None
    ) -> Outcome:
        target = self.target
        shape = self.shapes.get(name) if name is not None else None
        if name is not None and shape is None:
            return self._fault(refusals.UNKNOWN_STATEMENT)
        is_write = statement.kind is StatementKind.WRITE or (shape is not None and shape[1])
        try:
            await target.work()
        except Refused as refusal:
            return self._fault(refusal.reason)
        if not target.is_alive:
            await asyncio.get_running_loop().create_future()
        if after is not None and not self._has(after):
            return self._fault(refusals.BEHIND)
        must_lead = is_write or (self.transaction > 0 and self._may_write)
        if must_lead and target.role is not Role.PRIMARY:
            self.transaction = 0
            return self._fault(refusals.NOT_LEADING)
        target.note_run(self._described(request, statement, shape))
        if target.fails():
            return self._fault(refusals.FAILED)
        self._take_effect(request, statement, is_write=is_write)
        if target.loses_answer():
            await asyncio.get_running_loop().create_future()
        return self._done(f'{target.name}:{request}')

    def _take_effect(self, request: RequestId, statement: Statement, *, is_write: bool) -> None:
        if statement.kind is StatementKind.COMMIT:
            if self._writes:
                self.target.commit(request, tuple(self._writes))
            self.transaction = 0
            self._writes = []
        elif is_write and self.transaction:
            self._writes.append(request)
        elif is_write:
            self.target.commit(request, (request,))

    def _described(self, request: RequestId, statement: Statement, shape: tuple[str, bool] | None) -> Run:
        target = self.target
        return Run(
            asyncio.get_running_loop().time(),
            target.name,
            target.description.service,
            request,
            statement,
            self._organisation,
            dict(self.values),
            shape,
            self.transaction,
            target.seen(),
            target.role is Role.PRIMARY,
            self._caller,
        )

    def _has(self, position: LogPosition) -> bool:
        seen = self.target.seen()
        return bool(seen) and seen[-1].position >= position or position.number == 0

    def _done(self, signature: str = '-') -> Outcome:
        state = SessionState.IN_TRANSACTION if self.transaction else SessionState.IDLE
        return Outcome((), signature, None, state, self.target.position())

    def _fault(self, reason: Reason) -> Outcome:
        state = SessionState.FAILED if self.transaction else SessionState.IDLE
        return Outcome((), '', Refused(reason), state, self.target.position())


class ModelDriver(TargetDriver):
    """Opens connections of one instance to model databases.

    :param network: The network.
    :param targets_by_address: Databases by the address that they listen on.
    :param caller: The instance.
    """

    def __init__(self, network: Network, targets_by_address: dict[str, ModelTarget], caller: str) -> None:
        self._network = network
        self._targets_by_address = targets_by_address
        self._caller = caller

    async def connect(self, target: TargetDescription, organisation: OrganisationId) -> TargetConnection:
        """Open a connection."""
        found = self._targets_by_address.get(target.address)
        if found is None:
            raise TargetLost('nothing listens there', is_refusal=True)
        try:
            await self._network.travel(self._caller, found.name)
            if found.is_dark:
                await asyncio.get_running_loop().create_future()
            if not found.is_alive:
                raise TargetLost('nothing listens there', is_refusal=True)
            if found.name != target.target:
                raise Refused(refusals.WRONG_TARGET)
            if len(found.connections) >= found.max_connections:
                raise Refused(refusals.TOO_MANY)
            await found.open_slot()
            await self._network.travel(found.name, self._caller)
        except ConnectionRefusedError as error:
            raise TargetLost(str(error), is_refusal=True) from error
        connection = ModelConnection(found, self._caller, organisation)
        found.connections[connection] = None
        return connection
