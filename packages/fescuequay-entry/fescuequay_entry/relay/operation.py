"""One operation on its way: what it needs, where it was placed, and what it may already have done."""

import dataclasses
from typing import Final

from fescuequay_core.relay import refusals
from fescuequay_core.relay.model import LeaderRecord, LogPosition, Route, TargetDescription
from fescuequay_core.relay.refusals import Refused
from fescuequay_core.types import Instant, OrganisationId, Verdict
from fescuequay_entry.relay.board import Board
from fescuequay_entry.relay.pool import PooledConnection
from fescuequay_entry.relay.ports import NotSent, TargetLost

#: When to come back with a read whose connection ended, in seconds: several statements' time.
_READ_RETRY_AFTER_S: Final = 0.2


@dataclasses.dataclass(slots=True)
class Operation:
    """One operation on its way.

    :param route: Route in force when it arrived.
    :param organisation: Organisation that it runs for.
    :param began_at: When its first byte had arrived.
    :param values: Session values that must be set.
    :param position: Latest commit of the session.
    :param is_sent: Whether a statement of it was sent to a target, which may have run it.
    """

    route: Route
    organisation: OrganisationId
    began_at: Instant
    values: dict[str, str]
    position: LogPosition | None
    is_sent: bool = False

    @property
    def until(self) -> Instant:
        """:returns: When the time limit of a statement that arrived now ends."""
        return self.began_at + self.route.timeout_s


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """A target that may run an operation now.

    :param record: Leader record under whose permit it is used; nothing at a replica.
    :param target: The target.
    :param after: Position that it must have reached.
    """

    record: LeaderRecord | None
    target: TargetDescription
    after: LogPosition | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Placement:
    """A connection that is ready for an operation.

    :param pooled: The connection.
    :param record: Leader record under whose permit it is used; nothing at a replica.
    :param after: Position that the target must have reached.
    """

    pooled: PooledConnection
    record: LeaderRecord | None
    after: LogPosition | None


class FailedAttempts:
    """What earlier attempts of a read may have done, so that no later refusal says that nothing ran."""

    def __init__(self) -> None:
        self._latest: Refused | None = None

    def record(self, refusal: Refused) -> bool:
        """Record how an attempt ended that ran or may have run.

        :param refusal: What would be told of it.
        :returns: Whether it is the first one; a read may run again, and a second failure is the statement's own.
        """
        is_first = self._latest is None
        self._latest = refusal
        return is_first

    def record_lost(self, error: TargetLost) -> None:
        """Record that a connection ended before the answer, unless nothing had been sent on it."""
        if not isinstance(error, NotSent):
            self.record(Refused(refusals.LOST, str(error), _READ_RETRY_AFTER_S))

    def refusal_to_report(self, refusal: Refused) -> Refused:
        """:returns: The refusal to tell: the latest one, unless it says that nothing ran and something may have."""
        if self._latest is not None and refusal.reason.verdict is Verdict.NOT_RUN:
            return self._latest
        return refusal


class InFlightWrite:
    """Counts a write while a target may be running it, so that a planned change of primary can wait for it."""

    def __init__(self, board: Board, operation: Operation) -> None:
        self._counts = board.in_flight_writes
        self._service = operation.route.service

    def __enter__(self) -> None:
        self._counts[self._service] = self._counts.get(self._service, 0) + 1

    def __exit__(self, *error: object) -> None:
        self._counts[self._service] -= 1
