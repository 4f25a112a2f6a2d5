"""Model databases: slots, a replicated log with terms, transactions, session state, and their faults."""

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

#: Time that a new connection takes a slot, in seconds; as the sites have it.
_CONNECTION_SETUP_S: Final = 0.012

#: Statements that wait for a slot before more are refused.
_MAX_QUEUED_STATEMENTS: Final = 24


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
class Execution:
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
    :param rng: Source of chance.
    :param description: What it says of itself.
    :param slots: Statements that it runs at a time.
    :param work_s: Mean time of a statement.
    :param on_execution: Tells the judge of each statement.
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
        self.max_connections = 60
        #: Connections that were opened here, and those that were turned away because there were too many.
        self.opened_connections = 0
        self.rejected_connections = 0
        self.connections: dict['ModelConnection', None] = {}
        self.other_targets: list['ModelTarget'] = []
        self._rng = rng
        self._slots = asyncio.Semaphore(slots)
        self._waiting = 0
        self._work_s = work_s
        self._on_run = on_execution
        self._transactions = 0

    @property
    def name(self) -> TargetId:
        """:returns: Its id."""
        return self.description.target

    def position(self) -> LogPosition:
        """:returns: End of its log."""
        return self.log[-1].position if self.log else LogPosition(Term(1), 0)

    def visible_commits(self) -> tuple[Commit, ...]:
        """:returns: The commits that a read sees."""
        return tuple(self.log if self.role is Role.PRIMARY else self.log[: self.applied])

    def next_transaction(self) -> int:
        """:returns: Number of a new transaction."""
        self._transactions += 1
        return self._transactions

    def crash(self, *, is_silent: bool = False) -> None:
        """End the process, with its connections; a dark one goes silent instead."""
        self.is_alive = False
        self.is_silent = is_silent
        for connection in tuple(self.connections):
            connection.abort(is_silent=is_silent)

    def restart(self) -> None:
        """Start again with the log."""
        self.is_alive = True
        self.is_silent = False
        if any(other.role is Role.PRIMARY and other.term > self.term for other in self.other_targets):
            self.become_replica()

    def become_replica(self) -> None:
        """Become a replica of the newest primary and take its log."""
        self.role = Role.REPLICA
        primaries = [other for other in self.other_targets if other.role is Role.PRIMARY and other.is_alive]
        if primaries:
            newest = max(primaries, key=lambda other: other.term)
            self.term = newest.term
            self.log = list(newest.log)
            self.applied = len(self.log)

    def become_primary(self, term: Term) -> None:
        """Lead a term with what was received; the others follow."""
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
        """Take in a commit of the primary, and apply it later."""
        if (
            self.role is not Role.REPLICA
            or not self.is_alive
            or primary.term < self.term
            or entry in self.log
            or entry not in primary.log
        ):
            return
        # With the entry comes whatever was missed before it.
        self.log = primary.log[: primary.log.index(entry) + 1]
        asyncio.get_running_loop().call_later(self.lag_s, self._apply, len(self.log))

    def report(self) -> TargetReport:
        """:returns: Its status."""
        return TargetReport(self.role, self.term, self.position(), self.lag_s, self._waiting, len(self.connections))

    def record_execution(self, run: Execution) -> None:
        """Tell the judge."""
        self._on_run(run)

    async def occupy_slot(self) -> None:
        """Take a slot for a statement's time. :raises Refused: The queue is full."""
        if self._slots.locked() and self._waiting >= _MAX_QUEUED_STATEMENTS:
            raise Refused(refusals.TARGET_BUSY, f'{self.name} is full')
        self._waiting += 1
        try:
            async with self._slots:
                await asyncio.sleep(self._rng.lognormvariate(0, 0.5) * self._work_s)
        finally:
            self._waiting -= 1

    async def occupy_slot_to_connect(self) -> None:
        """Take a slot for a new connection."""
        async with self._slots:
            await asyncio.sleep(_CONNECTION_SETUP_S)

    def loses_answer(self) -> bool:
        """:returns: Whether the answer of a statement that ran is lost."""
        return self._rng.random() < self.lost_answer_share

    def fails(self) -> bool:
        """:returns: Whether a statement fails though the target says that it is well."""
        return self._rng.random() < self.failed_statement_share

    def _apply(self, count: int) -> None:
        self.applied = max(self.applied, min(count, len(self.log)))
