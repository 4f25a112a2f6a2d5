"""An operation: its requirements, the connection that it runs on, and what its attempts may have done."""

import dataclasses
from typing import Any, Final

from fescuequay_core.relay import refusals
from fescuequay_core.relay.freshness import RequiredPosition
from fescuequay_core.relay.model import LeaderRecord, LogPosition, Route, TargetDescription
from fescuequay_core.relay.refusals import Refused
from fescuequay_core.relay.waiting import WaitingStatement
from fescuequay_core.types import Instant, OrganisationId, TargetId, Verdict
from fescuequay_entry.relay.board import Board
from fescuequay_entry.relay.pool import PooledConnection
from fescuequay_entry.relay.ports import NotSent, TargetLost

#: Retry-after of a read whose connection ended, in seconds: the duration of several statements.
_READ_RETRY_AFTER_S: Final = 0.2


@dataclasses.dataclass(slots=True)
class Operation:
    """A statement or transaction of a caller that is being served.

    :param route: Route in force when it arrived.
    :param organisation: Organisation that it runs for.
    :param began_at: When it arrived; in a transaction, when its current statement arrived.
    :param values: Session values that must be set on the connection.
    :param position: Log position of the latest commit of the session.
    :param sent_attempts: Number of statements that were sent to a target, which may have run them; a hedged read has
        several.
    :param opens_transaction: Whether it is a transaction.
    :param is_bound: Whether only the primary may run it.
    :param sent_to: Target whose connection it got last.
    """

    route: Route
    organisation: OrganisationId
    began_at: Instant
    values: dict[str, str]
    position: LogPosition | None
    sent_attempts: int = 0
    opens_transaction: bool = False
    is_bound: bool = False
    sent_to: TargetId | None = None

    @property
    def is_sent(self) -> bool:
        """:returns: Whether a statement was sent to a target, which may have run it."""
        return self.sent_attempts > 0

    @property
    def until(self) -> Instant:
        """:returns: When the time limit of its current statement ends."""
        return self.began_at + self.route.timeout_s

    def waiting_statement(self, until: Instant) -> WaitingStatement:
        """Describe its current statement while it waits for a connection.

        :param until: When it must have got one.
        :returns: The statement.
        """
        return WaitingStatement(
            self.organisation,
            self.route.priority,
            self.began_at,
            self.began_at + self.route.aim_s,
            until,
            opens_transaction=self.opens_transaction,
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """Target selected for an operation.

    :param record: Leader record under whose permit the primary is used; nothing for a replica.
    :param target: The target.
    :param required: Log position that a replica must have reached; nothing for the primary.
    """

    record: LeaderRecord | None
    target: TargetDescription
    required: RequiredPosition | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Placement:
    """Connection that was acquired for an operation.

    :param pooled: The connection.
    :param record: Leader record under whose permit the primary is used; nothing for a replica.
    :param required: Log position that a replica must have reached; nothing for the primary.
    :param has_begun: Whether a transaction has begun on it, so that the target has checked the position.
    """

    pooled: PooledConnection
    record: LeaderRecord | None
    required: RequiredPosition | None = None
    has_begun: bool = False

    @property
    def after(self) -> LogPosition | None:
        """:returns: Log position that the target still has to check."""
        return None if self.required is None or self.has_begun else self.required.position

    def basis(self, now: Instant) -> dict[str, Any]:
        """Describe on what the freshness of a read at a replica rests.

        :param now: Present time.
        :returns: The pairs of a log line; none for the primary.
        """
        if self.required is None:
            return {}
        return {
            'after': self.required.position,
            'sample_term': self.required.term,
            'sample_age_s': round(now - self.required.sample.at, 3),
        }


class FailedAttempts:
    """Earlier attempts of a read that ran or may have run, so that no later refusal says that nothing ran."""

    def __init__(self) -> None:
        self._latest: Refused | None = None

    def record(self, refusal: Refused) -> bool:
        """Record a failed attempt that ran or may have run.

        :param refusal: The refusal that describes it.
        :returns: Whether it is the first one; a read may be retried once, and a second failure is taken to be caused by
            the statement itself.
        """
        is_first = self._latest is None
        self._latest = refusal
        return is_first

    def record_lost(self, error: TargetLost) -> None:
        """Record that a connection ended before the answer, unless the statement had not been sent."""
        if not isinstance(error, NotSent):
            self.record(Refused(refusals.LOST, str(error), _READ_RETRY_AFTER_S))

    def refusal_to_report(self, refusal: Refused) -> Refused:
        """:returns: The refusal given, unless it says that nothing ran while an earlier attempt may have run."""
        if self._latest is not None and refusal.reason.verdict is Verdict.NOT_RUN:
            return self._latest
        return refusal


class InFlightWrite:
    """Counts a write while a target may be running it, so that a planned promotion can wait for it to end."""

    def __init__(self, board: Board, operation: Operation) -> None:
        self._counts = board.in_flight_writes
        self._service = operation.route.service

    def __enter__(self) -> None:
        self._counts[self._service] = self._counts.get(self._service, 0) + 1

    def __exit__(self, *error: object) -> None:
        self._counts[self._service] -= 1
