"""Opens one connection to a target, and tells a full target from a silent one."""

import asyncio
from typing import Final

from fescuequay_core.relay.model import TargetDescription
from fescuequay_core.relay.refusals import Refused
from fescuequay_core.types import OrganisationId
from fescuequay_entry.relay.board import Board, log_event
from fescuequay_entry.relay.ports import TargetConnection, TargetDriver, TargetLost

#: Timeout for opening a connection that the target has accepted, in seconds; a target that needs longer would answer no
#: statement in time either.
_OPEN_TIMEOUT_S: Final = 0.6

#: Time within which a target accepts a connection, in seconds, and after which one that it has accepted counts as slow.
_ACCEPT_TIMEOUT_S: Final = 0.2


class Opening:
    """One attempt to open a connection; its outcome is recorded in the target's health.

    A target whose queue is long accepts a connection at once and opens it late. One that is down or cut off does not
    even accept it. Only the latter is a reason to send no statements there.

    :param board: Shared state of the instance.
    :param driver: Opens connections.
    :param target: The target.
    """

    def __init__(self, board: Board, driver: TargetDriver, target: TargetDescription) -> None:
        self._board = board
        self._driver = driver
        self._target = target
        self._began_at = board.clock()
        self._limit = asyncio.timeout(_ACCEPT_TIMEOUT_S)
        self._slow_timer: asyncio.TimerHandle | None = None

    async def run(self, organisation: OrganisationId) -> TargetConnection:
        """Open the connection.

        :param organisation: Organisation on whose behalf statements will run.
        :returns: The connection.
        :raises TargetLost: The target can't be reached or did not open it in time.
        :raises Refused: The target refused it; nothing has run.
        """
        health = self._board.health_of(self._target)
        try:
            async with self._limit:
                connection = await self._driver.connect(self._target, organisation, self._continue_accepted)
        except TimeoutError:
            raise self._timeout() from None
        except TargetLost as error:
            health.record_failure(self._began_at, self._board.clock(), is_refusal=error.is_refusal)
            log_event('target_unreachable', target=self._target.target, detail=str(error), step='connect')
            raise
        except Refused:
            health.record_answer(self._board.clock())
            raise
        finally:
            if self._slow_timer is not None:
                self._slow_timer.cancel()
        health.record_connection(self._board.clock(), self._waited_s())
        return connection

    def _waited_s(self) -> float:
        return self._board.clock() - self._began_at

    def _continue_accepted(self) -> None:
        """Give a target that has accepted the connection more time to open it."""
        loop = asyncio.get_running_loop()
        self._slow_timer = loop.call_later(_ACCEPT_TIMEOUT_S, self._record_slow)
        self._limit.reschedule(loop.time() + _OPEN_TIMEOUT_S)

    def _record_slow(self) -> None:
        self._board.health_of(self._target).record_slow_opening(self._began_at, self._board.clock())
        log_event('target_slow', target=self._target.target, waited_s=round(self._waited_s(), 3), step='open')

    def _timeout(self) -> TargetLost:
        is_accepted = self._slow_timer is not None
        now = self._board.clock()
        health = self._board.health_of(self._target)
        health.record_failure(self._began_at, now, is_refusal=False, is_accepted=is_accepted)
        waited_s = round(self._waited_s(), 3)
        step = 'open' if is_accepted else 'connect'
        log_event('target_silent', target=self._target.target, waited_s=waited_s, step=step)
        return TargetLost(f'{self._target.target} did not open a connection in {waited_s} s')
