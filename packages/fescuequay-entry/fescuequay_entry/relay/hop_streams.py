"""This instance's streams to gateways: requests in flight, and when a gateway is left for the other one."""

import asyncio
import dataclasses
from collections.abc import Callable
from typing import Final

from fescuequay_core.relay.model import MemberRecord
from fescuequay_core.types import InstanceId, Instant, TargetId
from fescuequay_entry.relay.board import Board, log_event
from fescuequay_entry.relay.hop_frames import Answer, Ask, Cancel, Drop, Frame, Leaving, Ping
from fescuequay_entry.relay.hops import HopLink, HopReceiver, Hops, HopUnreachable
from fescuequay_entry.relay.ports import GatewayLost, GatewayTurnedAway
from fescuequay_entry.relay.settings import split_address

#: Timeout for opening a stream, in seconds.
_CONNECT_TIMEOUT_S: Final = 0.15

#: Interval of the checks of a stream while something is outstanding, in seconds.
_CHECK_INTERVAL_S: Final = 0.03

#: Time without a frame after which a sign of life is requested, in seconds.
_PING_AFTER_S: Final = 0.03

#: Time without a frame after which a gateway counts as silent, in seconds; less than the shortest aim.
_SILENT_AFTER_S: Final = 0.1

#: Time without a frame after which a stream is closed, in seconds; the gateway then ends its transactions.
_CLOSE_AFTER_S: Final = 0.3

#: Shortest and longest time for which a gateway that failed is avoided, in seconds; it doubles with each failure.
_FIRST_PAUSE_S: Final = 0.25
_LONGEST_PAUSE_S: Final = 4.0

#: Time without a failure after which the next one counts as the first, in seconds.
_FORGET_AFTER_S: Final = 8.0

#: Time for which a gateway that turned a statement away is not asked for that target, in seconds.
_TURNED_AWAY_PAUSE_S: Final = 0.15

#: Time for which a gateway that announced its stop is avoided, in seconds: the stop and the start after it.
_LEAVING_PAUSE_S: Final = 8.0

#: Most requests and unsent bytes of one stream; the next request takes another way.
MAX_OUTSTANDING: Final = 256
_MAX_UNSENT_BYTES: Final = 250_000

#: Time after which an unused stream is closed, in seconds.
_IDLE_TIMEOUT_S: Final = 60.0

#: Time for which what a gateway says about a target's waiting line holds, in seconds.
_LOAD_MAX_AGE_S: Final = 1.0


@dataclasses.dataclass(slots=True)
class _Outstanding:
    """A request in flight.

    :param answer: Its answer.
    :param may_repeat: Whether it may be sent elsewhere although it may have run.
    """

    answer: asyncio.Future[Answer]
    may_repeat: bool


class HopStream(HopReceiver):
    """One open stream to a gateway.

    :param clock: Monotonic time, in seconds.
    :param on_failure: Called with the reason when the gateway is silent or the stream ends.
    :param on_leaving: Called when the gateway announces its stop.
    """

    def __init__(
        self, clock: Callable[[], Instant], on_failure: Callable[[str], None], on_leaving: Callable[[], None]
    ) -> None:
        self._clock = clock
        self._on_failure = on_failure
        self._on_leaving = on_leaving
        self._link: HopLink | None = None
        self._outstanding_by_number: dict[int, _Outstanding] = {}
        self._last_number = 0
        self._received_at: Instant = clock()
        self._checked_at: Instant = clock()
        self._check: asyncio.TimerHandle | None = None
        self.is_silent = False

    @property
    def is_open(self) -> bool:
        """:returns: Whether frames can be sent."""
        return self._link is not None

    def is_full(self) -> bool:
        """:returns: Whether too much is outstanding for another request."""
        link = self._link
        return (
            link is None
            or len(self._outstanding_by_number) >= MAX_OUTSTANDING
            or link.unsent_bytes() > _MAX_UNSENT_BYTES
        )

    def is_idle_since(self, at: Instant) -> bool:
        """:returns: Whether nothing is outstanding and nothing arrived after a time."""
        return not self._outstanding_by_number and self._received_at < at

    def open(self, link: HopLink) -> None:
        """Begin to use an open link."""
        self._link = link
        self._received_at = self._clock()

    def next_number(self) -> int:
        """:returns: The number of the next request or transaction."""
        self._last_number += 1
        return self._last_number

    async def ask(self, ask: Ask, *, may_repeat: bool) -> Answer:
        """Send a request and wait for its answer; a wait that is cancelled cancels the request.

        :param ask: The request.
        :param may_repeat: Whether it may be sent elsewhere although it may have run.
        :raises GatewayTurnedAway: The stream is closed; nothing was sent.
        :raises GatewayLost: The stream ended, or the gateway is silent; it may have run.
        :raises UnsendableFrame: Nothing was sent.
        """
        if self._link is None:
            raise GatewayTurnedAway('the stream to the gateway is closed')
        self._link.send(ask)
        answer: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()
        self._outstanding_by_number[ask.number] = _Outstanding(answer, may_repeat)
        self._start_check()
        is_answered = False
        try:
            received = await answer
            is_answered = True
            return received
        finally:
            self._outstanding_by_number.pop(ask.number, None)
            if not is_answered:
                self.send(Cancel(ask.number))

    def send(self, frame: Frame) -> None:
        """Send a frame without an answer, if the stream is open."""
        if self._link is not None:
            self._link.send(frame)

    def drop(self, lease: int) -> None:
        """Abandon a transaction."""
        self.send(Drop(lease))

    def receive(self, frame: Frame) -> None:
        """Handle a frame of the gateway."""
        self._received_at = self._clock()
        self.is_silent = False
        if isinstance(frame, Answer):
            outstanding = self._outstanding_by_number.get(frame.number)
            if outstanding is not None and not outstanding.answer.done():
                outstanding.answer.set_result(frame)
        elif isinstance(frame, Leaving):
            self._on_leaving()

    def end(self, detail: str) -> None:
        """Fail what is outstanding."""
        if self._link is None:
            return
        self._link = None
        self._stop_check()
        for outstanding in tuple(self._outstanding_by_number.values()):
            self._fail(outstanding, detail)
        self._on_failure(detail)

    def close(self, detail: str) -> None:
        """Close the stream and fail what is outstanding."""
        link = self._link
        self.end(detail)
        if link is not None:
            link.close()

    def close_unused(self) -> None:
        """Close a stream that nobody uses."""
        link, self._link = self._link, None
        self._stop_check()
        if link is not None:
            link.close()

    def _fail(self, outstanding: _Outstanding, detail: str) -> None:
        if not outstanding.answer.done():
            outstanding.answer.set_exception(GatewayLost(f'the gateway was lost: {detail}'))

    def _start_check(self) -> None:
        if self._check is None:
            now = self._clock()
            # Silence counts only from when the gateway owed something.
            self._received_at = self._checked_at = now
            self._check = asyncio.get_running_loop().call_later(_CHECK_INTERVAL_S, self._check_silence)

    def _stop_check(self) -> None:
        if self._check is not None:
            self._check.cancel()
            self._check = None

    def _check_silence(self) -> None:
        self._check = None
        if self._link is None or not self._outstanding_by_number:
            return
        now = self._clock()
        if now - self._checked_at > 2 * _CHECK_INTERVAL_S:
            # This instance was held up itself; what has arrived in the meantime is read first.
            self._received_at = now
        self._checked_at = now
        silent_s = now - self._received_at
        if silent_s >= _CLOSE_AFTER_S:
            self.close(f'silent for {silent_s:.2f} s')
            return
        if silent_s >= _SILENT_AFTER_S and not self.is_silent:
            self._leave_silent(silent_s)
        if silent_s >= _PING_AFTER_S:
            self._link.send(Ping())
        self._check = asyncio.get_running_loop().call_later(_CHECK_INTERVAL_S, self._check_silence)

    def _leave_silent(self, silent_s: float) -> None:
        self.is_silent = True
        detail = f'silent for {silent_s:.2f} s'
        self._on_failure(detail)
        for outstanding in tuple(self._outstanding_by_number.values()):
            if outstanding.may_repeat:
                self._fail(outstanding, detail)


class GatewayPeer:
    """A gateway as this instance sees it, over all streams to it.

    :param board: Shared state of the instance.
    :param hops: Opens streams.
    :param member: The gateway's entry in the list of instances.
    """

    def __init__(self, board: Board, hops: Hops, member: MemberRecord) -> None:
        self._board = board
        self._hops = hops
        self.member = member
        self._stream: HopStream | None = None
        self._connecting: asyncio.Task[bool] | None = None
        self._avoided_until: Instant = float('-inf')
        self._failed_at: Instant = float('-inf')
        self._failures = 0
        self._turned_away_until_by_target: dict[TargetId, Instant] = {}
        self._loads_by_target: dict[TargetId, tuple[Instant, int, int]] = {}

    async def usable_stream(self, target: TargetId) -> HopStream | None:
        """Return a stream for a statement; only the first use of a gateway waits until it is open.

        :param target: Target of the statement.
        :returns: The stream; nothing if the statement had better take another way.
        """
        now = self._board.clock()
        if now < self._avoided_until or now < self._turned_away_until_by_target.get(target, now):
            return None
        if self._stream is None or not self._stream.is_open:
            connecting = self._connect()
            if self._failures or not await asyncio.shield(connecting):
                return None
        stream = self._stream
        return None if stream is None or stream.is_full() else stream

    def is_avoided(self) -> bool:
        """:returns: Whether statements take another way now."""
        return self._board.clock() < self._avoided_until

    def record_turned_away(self, target: TargetId) -> None:
        """Record that the gateway doesn't serve a target now."""
        self._turned_away_until_by_target[target] = self._board.clock() + _TURNED_AWAY_PAUSE_S

    def record_load(self, target: TargetId, waiting: int, available: int) -> None:
        """Record the waiting line of a target that the gateway reports."""
        self._loads_by_target[target] = (self._board.clock(), waiting, available)

    def load_of(self, target: TargetId) -> tuple[int, int] | None:
        """:returns: Waiting statements and free connections as reported lately; nothing if there was no report."""
        load = self._loads_by_target.get(target)
        if load is None or self._board.clock() - load[0] > _LOAD_MAX_AGE_S:
            return None
        return load[1], load[2]

    def sweep(self) -> None:
        """Close a stream that was not used for long."""
        stream = self._stream
        if stream is not None and stream.is_idle_since(self._board.clock() - _IDLE_TIMEOUT_S):
            stream.close_unused()
            self._stream = None

    def close(self) -> None:
        """Close the stream."""
        if self._connecting is not None:
            self._connecting.cancel()
        if self._stream is not None:
            self._stream.close_unused()

    def _connect(self) -> asyncio.Task[bool]:
        if self._connecting is None:
            self._connecting = asyncio.ensure_future(self._open_stream())
        return self._connecting

    async def _open_stream(self) -> bool:
        stream = HopStream(self._board.clock, self._record_failure, self._record_leaving)
        try:
            host, port = split_address(self.member.address)
            link = await asyncio.wait_for(self._hops.connect(f'{host}:{port + 1}', stream), _CONNECT_TIMEOUT_S)
        except (HopUnreachable, TimeoutError, ValueError) as error:
            self._record_failure(str(error) or 'no stream could be opened in time')
            return False
        finally:
            self._connecting = None
        stream.open(link)
        self._stream = stream
        if self._board.clock() - self._failed_at > _FORGET_AFTER_S:
            self._failures = 0
        return True

    def _record_failure(self, detail: str) -> None:
        now = self._board.clock()
        if now < self._avoided_until:
            return
        self._failures = 1 if now - self._failed_at > _FORGET_AFTER_S else self._failures + 1
        self._failed_at = now
        pause_s = min(_FIRST_PAUSE_S * 2 ** (self._failures - 1), _LONGEST_PAUSE_S)
        self._avoided_until = now + pause_s
        log_event('gateway_suspect', gateway=self.member.instance, failures=self._failures, pause_s=pause_s, why=detail)

    def _record_leaving(self) -> None:
        self._avoided_until = self._board.clock() + _LEAVING_PAUSE_S
        log_event('gateway_suspect', gateway=self.member.instance, failures=0, pause_s=_LEAVING_PAUSE_S, why='leaving')


class GatewayPeers:
    """The gateways that this instance uses.

    :param board: Shared state of the instance.
    :param hops: Opens streams.
    """

    def __init__(self, board: Board, hops: Hops) -> None:
        self._board = board
        self._hops = hops
        self._peers_by_instance: dict[InstanceId, GatewayPeer] = {}

    def of(self, instance: InstanceId) -> GatewayPeer | None:
        """:returns: The gateway; nothing if it isn't in the list of instances."""
        member = self._board.members_by_id.get(instance)
        if member is None:
            return None
        peer = self._peers_by_instance.get(instance)
        if peer is None or (peer.member is not member and _has_restarted(peer.member, member)):
            if peer is not None:
                peer.close()
            peer = GatewayPeer(self._board, self._hops, member)
            self._peers_by_instance[instance] = peer
        return peer

    def sweep(self) -> None:
        """Close streams that were not used for long."""
        for peer in self._peers_by_instance.values():
            peer.sweep()

    def close(self) -> None:
        """Close all streams."""
        for peer in self._peers_by_instance.values():
            peer.close()


def _has_restarted(known: MemberRecord, present: MemberRecord) -> bool:
    """:returns: Whether it is another incarnation; a list that doesn't name the incarnation tells nothing."""
    is_other = bool(known.incarnation and present.incarnation) and known.incarnation != present.incarnation
    return is_other or known.address != present.address
