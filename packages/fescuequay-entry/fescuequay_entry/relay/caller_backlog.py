"""What a caller has sent and not finished, or has not read: for how long, and when its session ends for it."""

from collections.abc import Callable
from typing import Final

from fescuequay_core.types import Instant, OrganisationId, RequestId
from fescuequay_entry.relay.board import log_event
from fescuequay_entry.relay.ports import CallerConnection
from fescuequay_entry.relay.session_buffers import Holder, SessionBuffers

#: Time for which a caller may leave an answer unread, in seconds; the longest deadline of the users' callers is 10 s.
_UNREAD_TIMEOUT_S: Final = 10.0


class CallerBacklog(Holder):
    """Watches what waits on the connection of one caller.

    :param buffers: Memory for what waits on the connections of all callers.
    :param caller: The connection.
    :param clock: Monotonic time, in seconds.
    :param organisation: Returns the caller's organisation.
    """

    def __init__(
        self,
        buffers: SessionBuffers,
        caller: CallerConnection,
        clock: Callable[[], Instant],
        organisation: Callable[[], str],
    ) -> None:
        self.previous_request = RequestId('-')
        self._buffers = buffers
        self._caller = caller
        self._clock = clock
        self._organisation = organisation
        self._is_watched = False
        caller.watch_backlog(self._record)

    def held_bytes(self) -> int:
        """:returns: Memory of what was received and not read, and of what waits to be sent, in bytes."""
        return self._caller.held_bytes()

    def reset(self, reason: str) -> None:
        """Reset the connection and discard what waits."""
        log_event(
            'session_reset',
            session=self._caller.peer,
            organisation=self._organisation(),
            held_bytes=self.held_bytes(),
            previous=self.previous_request,
            reason=reason,
        )
        self._caller.abort()

    def forget(self) -> None:
        """Stop watching."""
        self._is_watched = False
        self._buffers.forget(self)

    async def wait_until_read(self, limit_s: float | None = None) -> bool:
        """Wait until the caller has read its answers, but for a rest.

        :param limit_s: Longest wait, in seconds; by default, the longest time for which an answer may stay unread.
        :returns: Whether it has, or the connection has ended.
        """
        return await self._caller.wait_until_read(_UNREAD_TIMEOUT_S if limit_s is None else limit_s)

    def end_if_unread(self, began_at: Instant, *, is_over: bool) -> bool:
        """Reset the connection if the caller has not read its answers.

        :param began_at: When the wait for it began.
        :param is_over: Whether that wait is over because the connection has ended or everything was read.
        :returns: Whether the session has ended.
        """
        unread_bytes = self._caller.unread_bytes()
        if not unread_bytes:
            if self._is_watched and not self.held_bytes():
                self.forget()
            return False
        log_event(
            'answer_unread',
            session=self._caller.peer,
            organisation=self._organisation(),
            previous=self.previous_request,
            unread_bytes=unread_bytes,
            waited_s=round(self._clock() - began_at, 3),
            outcome='connection lost' if is_over else 'reset',
        )
        self._caller.abort()
        return True

    def _record(self) -> None:
        self._is_watched = True
        self._buffers.record_backlog(self, OrganisationId(self._organisation()))
