"""The coordinator's control connections to targets: status, demotion and holding replication."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Final

from fescuequay_core.relay.model import TargetDescription, TargetReport
from fescuequay_core.relay.refusals import Refused
from fescuequay_core.types import OrganisationId, TargetId, Term
from fescuequay_entry.relay.authority import Authority, AuthorityEnded, run_within
from fescuequay_entry.relay.board import Board, log_event
from fescuequay_entry.relay.ports import TargetConnection, TargetDriver, TargetLost

#: Timeout of a control request, in seconds. Statements may be queued ahead of it.
_CONTROL_TIMEOUT_S: Final = 0.5

#: Organisation given to targets for requests that the system makes on its own behalf.
_SYSTEM_ORGANISATION: Final = OrganisationId('-')


class ControlConnections:
    """Keeps one control connection to each target that is asked.

    :param board: The blackboard; every answer and failure updates the target's health.
    :param driver: Opens connections.
    """

    def __init__(self, board: Board, driver: TargetDriver) -> None:
        self._board = board
        self._driver = driver
        self._connections: dict[TargetId, tuple[int, TargetConnection]] = {}
        self._locks: dict[TargetId, asyncio.Lock] = {}

    async def status(self, target: TargetDescription) -> TargetReport | None:
        """:returns: The target's status report; nothing if it does not answer."""
        return await self._call(target, lambda connection: connection.status())

    async def demote(self, target: TargetDescription, term: Term, authority: Authority) -> TargetReport | None:
        """Demote a target, on behalf of a later term, while an authority lasts.

        :returns: Its status afterwards; nothing without an answer.
        """
        return await self._call(target, lambda connection: connection.demote(term), authority)

    async def hold(self, target: TargetDescription, term: Term, authority: Authority) -> TargetReport | None:
        """Stop a replica from receiving, while an authority lasts.

        :returns: Its status afterwards; nothing without an answer.
        """
        return await self._call(target, lambda connection: connection.hold(term), authority)

    def close(self) -> None:
        """Close every connection."""
        for _, connection in self._connections.values():
            connection.close()
        self._connections.clear()

    async def _call(
        self,
        target: TargetDescription,
        operation: Callable[[TargetConnection], Awaitable[TargetReport | None]],
        authority: Authority | None = None,
    ) -> TargetReport | None:
        async with self._locks.setdefault(target.target, asyncio.Lock()):
            began_at = self._board.clock()
            health = self._board.health_of(target)
            try:
                async with asyncio.timeout(_CONTROL_TIMEOUT_S):
                    connection = await self._connection(target)
                    report = await self._request(connection, operation, authority)
            except asyncio.CancelledError:
                # The late answer to a cancelled request must not be taken for the answer to the next one.
                self._close_connection(target)
                raise
            except AuthorityEnded:
                self._close_connection(target)
                log_event('control_given_up', target=target.target, waited_s=round(self._board.clock() - began_at, 3))
                return None
            except (TimeoutError, TargetLost, Refused) as error:
                self._close_connection(target)
                is_refusal = isinstance(error, TargetLost) and error.is_refusal
                if not isinstance(error, Refused):
                    health.record_failure(began_at, self._board.clock(), is_refusal=is_refusal)
                log_event(
                    'control_failed',
                    target=target.target,
                    waited_s=round(self._board.clock() - began_at, 3),
                    detail=str(error) or 'silent',
                )
                return None
            health.record_answer(self._board.clock())
            return report

    async def _request(
        self,
        connection: TargetConnection,
        operation: Callable[[TargetConnection], Awaitable[TargetReport | None]],
        authority: Authority | None,
    ) -> TargetReport | None:
        """Make a request; one that changes something only while its authority lasts.

        :raises AuthorityEnded: The authority ended first; the request may have arrived before.
        """
        if authority is None:
            return await operation(connection)

        async def request() -> TargetReport | None:
            if authority.left_s() <= 0:
                raise AuthorityEnded
            return await operation(connection)

        return await run_within(authority, request())

    async def _connection(self, target: TargetDescription) -> TargetConnection:
        known = self._connections.get(target.target)
        if known is not None and known[0] == target.born_ms and known[1].is_open:
            return known[1]
        self._close_connection(target)
        connection = await self._driver.connect(target, _SYSTEM_ORGANISATION)
        self._connections[target.target] = (target.born_ms, connection)
        return connection

    def _close_connection(self, target: TargetDescription) -> None:
        known = self._connections.pop(target.target, None)
        if known is not None:
            known[1].close()
