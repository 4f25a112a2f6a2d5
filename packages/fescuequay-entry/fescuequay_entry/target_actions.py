"""Executes the core's commands for targets and reports the results as events."""

import asyncio
import logging
import time
from collections.abc import Awaitable, Callable
from typing import Any, Final

from fescuequay_core import commands, events
from fescuequay_core.types import TargetId
from fescuequay_entry.config import Settings
from fescuequay_entry.driver import ConnectError, Connection, ConnectionLostError, Driver, Endpoint, TargetError
from fescuequay_entry.execution import Executor
from fescuequay_entry.pool import Pool

_LOG: Final = logging.getLogger('fescuequay')

_TargetRequest = Callable[[Connection], Awaitable[Any]]


class TargetActions:
    """Sends status, fence and promote requests and callers' requests to targets, and maintains their pools.

    :param driver: Opens connections.
    :param settings: Settings of the instance.
    :param post: Passes an event to the core.
    """

    def __init__(self, driver: Driver, settings: Settings, post: Callable[[events.Event], None]) -> None:
        self._driver = driver
        self._settings = settings
        self._post = post
        self.pools_by_target: dict[TargetId, Pool] = {}
        self._executor = Executor(self.pools_by_target)

    def size_pool(self, command: commands.SizePool) -> None:
        """Open, resize or close the pool of a target."""
        pool = self.pools_by_target.get(command.target)
        endpoint = Endpoint(
            command.address, self._settings.data_centre, command.statement_timeout_s, self._settings.max_answer_bytes
        )
        if pool is not None and pool.endpoint == endpoint:
            pool.resize(command.connections)
        else:
            if pool is not None:
                pool.resize(0)
            self.pools_by_target[command.target] = Pool(
                self._driver,
                endpoint,
                command.connections,
                self._settings.timing.probe_timeout_s,
                self._settings.connection_idle_s,
            )
        if command.connections == 0:
            self.pools_by_target.pop(command.target, None)

    async def execute(self, command: commands.Execute) -> None:
        """Run a caller's request and report its outcome."""
        outcome = await self._executor.run(command)
        self._post(events.ExecutionEnded(command.request.request_id, outcome))

    def close(self) -> None:
        """Close every pool."""
        for pool in self.pools_by_target.values():
            pool.resize(0)

    async def probe(self, command: commands.ProbeTarget) -> None:
        """Request the status of a target and report it."""
        if command.delay_s:
            await asyncio.sleep(command.delay_s)
        started_at = time.monotonic()
        status = await self._request_target(command.target, lambda connection: connection.status())
        if status is None:
            self._post(events.TargetStatusFailed(command.target, started_at))
        else:
            self._post(events.TargetStatusReceived(command.target, status[0], status[1]))

    async def fence(self, command: commands.FenceTarget) -> None:
        """Fence a target and report its status after the fence."""
        result = await self._request_target(command.target, lambda connection: connection.fence(command.term))
        self._post(events.Fenced(command.target, command.term, result[0] if result else None))

    async def promote(self, command: commands.PromoteTarget) -> None:
        """Promote a target and report the log position at which its term starts."""
        result = await self._request_target(command.target, lambda connection: connection.promote(command.term))
        self._post(events.Promoted(command.target, command.term, result[0] if result else None))

    async def _request_target(self, target: TargetId, send: _TargetRequest) -> tuple[Any, float] | None:
        """Send a request to a target on a connection acquired with priority.

        :returns: The answer and the time at which it was requested; ``None`` when there was no answer.
        """
        pool = self.pools_by_target.get(target)
        if pool is None:
            return None
        try:
            async with asyncio.timeout(self._settings.timing.probe_timeout_s):
                connection = await pool.acquire(is_urgent=True)
                started_at = time.monotonic()
                answer = await _send_and_release(pool, connection, send)
        except (TimeoutError, ConnectError, ConnectionLostError):
            pool.close_idle()
            return None
        except TargetError as error:
            _LOG.warning('target_refused', extra={'pairs': {'target': target, 'cause': str(error)}})
            return None
        return answer, started_at


async def _send_and_release(pool: Pool, connection: Connection, send: _TargetRequest) -> Any:
    try:
        answer = await send(connection)
    except TargetError:
        pool.release(connection)
        raise
    except BaseException:
        pool.discard(connection)
        raise
    pool.release(connection)
    return answer
