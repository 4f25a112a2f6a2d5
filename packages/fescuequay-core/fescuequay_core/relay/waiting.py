"""Statements that wait for a connection to a target, and the order in which they get one."""

import abc
import dataclasses
from collections.abc import Iterator

from fescuequay_core.types import Instant, OrganisationId


@dataclasses.dataclass(slots=True, eq=False)
class WaitingStatement:
    """A statement that needs a connection to a target; compared by identity.

    :param organisation: Organisation that it runs for.
    :param priority: Priority of its route; 0 is the highest.
    :param arrived_at: When its operation arrived at the first instance.
    :param aim_at: When it should be answered.
    :param until: When it must have got a connection, or it is refused.
    :param is_continued: Whether it belongs to an open transaction, which already holds its connection.
    :param opens_transaction: Whether the connection will be held for a transaction.
    """

    organisation: OrganisationId
    priority: int
    arrived_at: Instant
    aim_at: Instant
    until: Instant
    is_continued: bool = False
    opens_transaction: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Dismissal:
    """A waiting statement that is refused now, and what was known then.

    :param statement: The statement.
    :param waiting: Number of statements that waited, this one included.
    :param expected_wait_s: Expected wait for its turn, in seconds; infinite if it would never get one.
    :param retry_after_s: Time after which a new try has room, in seconds.
    """

    statement: WaitingStatement
    waiting: int
    expected_wait_s: float
    retry_after_s: float


class WaitingLine(abc.ABC):
    """Order of the statements that wait for a connection to one target."""

    @abc.abstractmethod
    def add(self, statement: WaitingStatement, now: Instant) -> None:
        """Add a statement that waits."""

    @abc.abstractmethod
    def remove(self, statement: WaitingStatement) -> None:
        """Remove a statement that no longer waits; unknown ones are ignored."""

    def take(self, statement: WaitingStatement, now: Instant) -> None:
        """Remove a statement whose turn has come.

        :param statement: The statement.
        :param now: Present time.
        """
        self.remove(statement)

    def pass_by(self, statement: WaitingStatement, now: Instant) -> None:
        """Record a statement that got a connection without waiting.

        :param statement: The statement.
        :param now: Present time.
        """

    def record_run(self, priority: int, took_s: float) -> None:
        """Record how long a statement occupied the target.

        :param priority: Its priority.
        :param took_s: The time, in seconds.
        """

    @abc.abstractmethod
    def in_order(self, now: Instant) -> Iterator[WaitingStatement]:
        """:returns: The waiting statements, the next one to get a connection first."""

    @abc.abstractmethod
    def dismiss(self, now: Instant, expected_s: float, concurrency: float) -> Iterator[Dismissal]:
        """Remove the statements that can't be answered within their time limit any more.

        :param now: Present time.
        :param expected_s: Expected time of one statement at the target, in seconds.
        :param concurrency: Number of statements that run there at a time.
        :returns: Those to refuse at once.
        """

    @abc.abstractmethod
    def __len__(self) -> int:
        """:returns: Number of waiting statements."""


class ArrivalLine(WaitingLine):
    """Orders by priority, then by arrival; each statement waits until its own deadline."""

    def __init__(self) -> None:
        self._statements: list[WaitingStatement] = []

    def add(self, statement: WaitingStatement, now: Instant) -> None:
        """Add a statement behind those of its priority."""
        self._statements.append(statement)
        self._statements.sort(key=lambda one: one.priority)

    def remove(self, statement: WaitingStatement) -> None:
        """Remove a statement."""
        if statement in self._statements:
            self._statements.remove(statement)

    def in_order(self, now: Instant) -> Iterator[WaitingStatement]:
        """:returns: The waiting statements by priority and arrival."""
        yield from tuple(self._statements)

    def dismiss(self, now: Instant, expected_s: float, concurrency: float) -> Iterator[Dismissal]:
        """:returns: None."""
        yield from ()

    def __len__(self) -> int:
        """:returns: Number of waiting statements."""
        return len(self._statements)
