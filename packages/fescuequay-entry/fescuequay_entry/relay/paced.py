"""Connections to a target whose answers are recorded in its pace."""

from collections.abc import Awaitable, Callable, Hashable
from typing import Final

from fescuequay_core.relay.model import LogPosition, Statement, TargetDescription, TargetReport
from fescuequay_core.types import OrganisationId, RequestId, Term
from fescuequay_entry.relay.pacing import Pacing
from fescuequay_entry.relay.ports import Outcome, TargetConnection, TargetDriver, ignore_acceptance

#: Time after which an abandoned opening or statement shows that the target is silent, in seconds.
_SILENT_OPENING_S: Final = 0.2
_SILENT_STATEMENT_S: Final = 0.5

#: Kind of work of an opening.
_OPENING: Final = 'opening'


class PacedConnection(TargetConnection):
    """Connection whose statements are recorded; between them it is at rest.

    :param connection: The connection.
    :param pacing: Pace of its target.
    """

    def __init__(self, connection: TargetConnection, pacing: Pacing) -> None:
        self._connection = connection
        self._pacing = pacing

    @property
    def name(self) -> str:  # type: ignore[override]
        """:returns: Name of the connection in logs."""
        return self._connection.name

    @property
    def is_open(self) -> bool:  # type: ignore[override]
        """:returns: Whether it can be used."""
        return self._connection.is_open

    @property
    def position(self) -> LogPosition | None:  # type: ignore[override]
        """:returns: Log position that the target reported last."""
        return self._connection.position

    async def execute(
        self,
        request: RequestId,
        statement: Statement,
        *,
        name: str | None = None,
        after: LogPosition | None = None,
    ) -> Outcome:
        """Run a caller's statement, which is compared with others of its kind and route."""
        answer = self._connection.execute(request, statement, name=name, after=after)
        return await self._work(answer, statement.kind)

    async def begin(self, *, is_write: bool, after: LogPosition | None) -> Outcome:
        """Begin a transaction."""
        return await self._work(self._connection.begin(is_write=is_write, after=after), 'begin')

    async def rollback(self) -> Outcome:
        """Roll the transaction back."""
        return await self._connection.rollback()

    async def set_value(self, name: str, value: str) -> Outcome:
        """Set a session value."""
        return await self._connection.set_value(name, value)

    async def prepare(self, name: str, shape: str, *, is_write: bool) -> Outcome:
        """Prepare a statement."""
        return await self._connection.prepare(name, shape, is_write=is_write)

    async def reset(self) -> Outcome:
        """Discard all session values and prepared statements."""
        return await self._connection.reset()

    async def status(self) -> TargetReport | None:
        """:returns: The target's status."""
        return await self._connection.status()

    async def demote(self, term: Term) -> TargetReport | None:
        """Demote a primary of an earlier term to a replica."""
        return await self._connection.demote(term)

    async def hold(self, term: Term) -> TargetReport | None:
        """Stop replication on a replica until a promotion."""
        return await self._connection.hold(term)

    def close(self) -> None:
        """End the connection at once."""
        self._connection.close()

    async def _work(self, answer: Awaitable[Outcome], kind: Hashable) -> Outcome:
        work = (kind, self._pacing.work_of(self))
        self._pacing.begin_work(self)
        try:
            return await self._pacing.observe(answer, work, _SILENT_STATEMENT_S)
        finally:
            self._pacing.end_work(self)


class PacedDriver(TargetDriver):
    """Opens connections whose answers are recorded.

    :param driver: Opens the connections.
    :param pacing: Pace of the target.
    """

    def __init__(self, driver: TargetDriver, pacing: Pacing) -> None:
        self._driver = driver
        self._pacing = pacing

    async def connect(
        self,
        target: TargetDescription,
        organisation: OrganisationId,
        on_accepted: Callable[[], None] = ignore_acceptance,
    ) -> TargetConnection:
        """Open a connection."""
        opening = self._driver.connect(target, organisation, on_accepted)
        return PacedConnection(await self._pacing.observe(opening, _OPENING, _SILENT_OPENING_S), self._pacing)
