"""Authority for a change: until when an instance may ask others for it."""

import abc
import asyncio
from collections.abc import Coroutine
from typing import Any, Final, TypeVar

from fescuequay_entry.relay.board import Board

Result = TypeVar('Result')

#: Interval at which a call under way checks whether its authority still lasts, in seconds. Timers of the event loop
#: don't count while the machine is suspended, and a lease can end early.
_CHECK_INTERVAL_S: Final = 0.05


class AuthorityEnded(Exception):
    """The authority for a call ended before the call did."""


class Authority(abc.ABC):
    """Right to ask for a change; a call that is still under way when it ends must not take effect later."""

    @abc.abstractmethod
    def left_s(self) -> float:
        """:returns: How long it certainly lasts, in seconds; 0 or less when it has ended."""


class LeaseAuthority(Authority):
    """Authority of the holder of the coordinator's lease.

    :param board: The blackboard.
    :param token: Token under which the holder acts.
    """

    def __init__(self, board: Board, token: int) -> None:
        self._board = board
        self._token = token

    def left_s(self) -> float:
        """:returns: Time left of the lease, in seconds; 0 once it has ended or was resigned."""
        return self._board.lease.left_s(self._token, self._board.clock())


async def run_within(authority: Authority, step: Coroutine[Any, Any, Result]) -> Result:
    """Run a call until it ends, but no longer than its authority lasts as it stands now.

    :param authority: The authority; the call also ends early if it ends before that.
    :param step: The call. It is cancelled, and has ended when this returns.
    :returns: Its result.
    :raises AuthorityEnded: The authority ended first.
    """
    loop = asyncio.get_running_loop()
    until = loop.time() + authority.left_s()
    call = asyncio.ensure_future(step)
    try:
        while not call.done():
            left_s = min(authority.left_s(), until - loop.time())
            if left_s <= 0:
                raise AuthorityEnded
            await asyncio.wait({call}, timeout=min(left_s, _CHECK_INTERVAL_S))
        return call.result()
    finally:
        if not call.done():
            call.cancel()
            await asyncio.wait({call})
