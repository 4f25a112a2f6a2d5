"""Simulated targets: execution slots, a replicated log with terms, promotion, and faults."""

import asyncio
import dataclasses
import random
from collections.abc import Callable
from typing import TYPE_CHECKING, Final

from fescuequay_core.relay import refusals
from fescuequay_core.relay.model import (
    LogPosition,
    Statement,
    TargetDescription,
    TargetReport,
)
from fescuequay_core.relay.refusals import Refused
from fescuequay_core.types import OrganisationId, RequestId, Role, ServiceId, TargetId, Term
from fescuequay_emulator.network import Network

if TYPE_CHECKING:
    from fescuequay_emulator.connections import ModelConnection

#: Time for which a new connection occupies a slot, in seconds, as at the sites.
_CONNECTION_SETUP_S: Final = 0.012

#: Number of statements waiting for a slot at which further ones are refused.
_MAX_QUEUED_STATEMENTS: Final = 24


@dataclasses.dataclass(frozen=True, slots=True)
class Commit:
    """One entry of a log.

    :param position: Its log position.
    :param request: Request that committed it.
    :param writes: Requests whose writes it contains.
    """

    position: LogPosition
    request: RequestId
    writes: tuple[RequestId, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Execution:
    """A statement that a target executed, recorded for the checker.

    :param at: Time of execution.
    :param target: The target.
    :param service: Service of the target.
    :param request: Id of the request.
    :param statement: The statement as received.
    :param organisation: Organisation of the connection.
    :param values: Session values of the connection.
    :param shape: Text of the prepared statement, and whether it writes; nothing for other statements.
    :param transaction: Number of the transaction; 0 outside one.
    :param applied: Commits visible to it.
    :param is_primary: Whether the target was primary.
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
    """A target.

    :param network: The network.
    :param rng: Random number generator of execution times and faults.
    :param description: Its entry in the registry.
    :param slots: Number of statements that it executes concurrently.
    :param work_s: Median time of a statement, in seconds.
    :param on_execution: Called with each executed statement.
    """

    def __init__(
        self,
        network: Network,
        rng: random.Random,
        description: TargetDescription,
        slots: int,
        work_s: float,
        on_execution: Callable[[Execution], None],
    ) -> None:
        self.network = network
        self.description = description
        self.role = description.role
        self.term = Term(1)
        self.log: list[Commit] = []
        self.applied = 0
        self.lag_s = 0.02
        self.ignores_replication = False
        self.is_alive = True
        self.is_silent = False
        self.lost_answer_share = 0.0
        self.failed_statement_share = 0.0
        #: Rows of the next answer to a read; none by default.
        self.next_rows: Callable[[], tuple[str, ...]] = tuple
        self.max_connections = 60
        #: Counts of connections opened, and of those rejected because ``max_connections`` was reached.
        self.opened_connections = 0
        self.rejected_connections = 0
        self.connections: dict['ModelConnection', None] = {}
        self.other_targets: list['ModelTarget'] = []
        self._rng = rng
        self._slots = asyncio.Semaphore(slots)
        self._setups: set[asyncio.Task[None]] = set()
        self._waiting = 0
        self._work_s = work_s
        self._on_execution = on_execution
        self._transactions = 0

    @property
    def name(self) -> TargetId:
        """:returns: Id of the target."""
        return self.description.target

    def position(self) -> LogPosition:
        """:returns: Position of the end of its log."""
        return self.log[-1].position if self.log else LogPosition(Term(1), 0)

    def visible_commits(self) -> tuple[Commit, ...]:
        """:returns: The commits visible to a read."""
        return tuple(self.log if self.role is Role.PRIMARY else self.log[: self.applied])

    def next_transaction(self) -> int:
        """:returns: Number of a new transaction."""
        self._transactions += 1
        return self._transactions

    def crash(self, *, is_silent: bool = False) -> None:
        """End the process and its connections; if ``is_silent``, the other ends are not notified."""
        self.is_alive = False
        self.is_silent = is_silent
        for connection in tuple(self.connections):
            connection.abort(is_silent=is_silent)

    def restart(self) -> None:
        """Restart with the log kept; rejoin as a replica if another target leads a later term."""
        self.is_alive = True
        self.is_silent = False
        if any(other.role is Role.PRIMARY and other.term > self.term for other in self.other_targets):
            self.become_replica()

    def become_replica(self) -> None:
        """Become a replica; copy the log of the newest primary that it reaches, unless it has followed a later one."""
        self.role = Role.REPLICA
        primaries = [
            other
            for other in self.other_targets
            if other.role is Role.PRIMARY
            and other.is_alive
            and other.term >= self.term
            and not self.network.is_cut(self.name, other.name)
        ]
        if primaries:
            newest = max(primaries, key=lambda other: other.term)
            self.term = newest.term
            self.log = list(newest.log)
            self.applied = len(self.log)

    def become_primary(self, term: Term) -> None:
        """Become primary of a term with the log received so far; reachable replicas follow."""
        self.role = Role.PRIMARY
        self.term = term
        for other in self.other_targets:
            if (
                other.role is Role.REPLICA
                and not other.ignores_replication
                and not self.network.is_cut(self.name, other.name)
            ):
                other.become_replica()

    def commit(self, request: RequestId, writes: tuple[RequestId, ...]) -> None:
        """Append a commit and send it to the replicas."""
        position = LogPosition(self.term, self.position().number + 1)
        entry = Commit(position, request, writes)
        self.log.append(entry)
        loop = asyncio.get_running_loop()
        for other in self.other_targets:
            if not other.ignores_replication and not self.network.is_cut(self.name, other.name):
                loop.call_later(0.001, other.receive_commit, self, entry)

    def receive_commit(self, primary: 'ModelTarget', entry: Commit) -> None:
        """Receive a commit from the primary and apply it after the lag."""
        if (
            self.role is not Role.REPLICA
            or not self.is_alive
            or primary.term < self.term
            or entry in self.log
            or entry not in primary.log
        ):
            return
        # The entry brings all earlier entries that were missed.
        self.log = primary.log[: primary.log.index(entry) + 1]
        asyncio.get_running_loop().call_later(self.lag_s, self._apply, len(self.log))

    def report(self) -> TargetReport:
        """:returns: Its status."""
        return TargetReport(self.role, self.term, self.position(), self.lag_s, self._waiting, len(self.connections))

    def record_execution(self, execution: Execution) -> None:
        """Record an executed statement."""
        self._on_execution(execution)

    async def occupy_slot(self) -> None:
        """Occupy a slot for the time of a statement. :raises Refused: The queue is full."""
        if self._slots.locked() and self._waiting >= _MAX_QUEUED_STATEMENTS:
            raise Refused(refusals.TARGET_BUSY, f'{self.name} is full')
        self._waiting += 1
        try:
            async with self._slots:
                await asyncio.sleep(self._rng.lognormvariate(0, 0.5) * self._work_s)
        finally:
            self._waiting -= 1

    async def occupy_slot_to_connect(self) -> None:
        """Occupy a slot for the time of connecting, also if the caller gives up meanwhile."""
        setup = asyncio.ensure_future(self._set_up_connection())
        self._setups.add(setup)
        setup.add_done_callback(self._setups.discard)
        await asyncio.shield(setup)

    def loses_answer(self) -> bool:
        """:returns: Whether the answer to an executed statement is lost, at random."""
        return self._rng.random() < self.lost_answer_share

    def fails(self) -> bool:
        """:returns: Whether a statement fails, at random, although the reported status is normal."""
        return self._rng.random() < self.failed_statement_share

    async def _set_up_connection(self) -> None:
        async with self._slots:
            await asyncio.sleep(_CONNECTION_SETUP_S)

    def _apply(self, count: int) -> None:
        self.applied = max(self.applied, min(count, len(self.log)))
