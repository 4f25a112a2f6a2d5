"""Serves other instances as a gateway: runs their statements on the connections that this instance holds."""

import asyncio
import logging
from typing import Final

import msgspec

from fescuequay_core.relay import refusals
from fescuequay_core.relay.model import SessionState, StatementKind, TargetDescription
from fescuequay_core.relay.refusals import RefusalKind, Refused
from fescuequay_core.relay.waiting import WaitingStatement
from fescuequay_core.types import Instant, OrganisationId, RequestId, TargetId
from fescuequay_entry.relay import ask_checks
from fescuequay_entry.relay.board import Board, log_event
from fescuequay_entry.relay.gateway_directory import GatewayDirectory
from fescuequay_entry.relay.gateway_leases import GatewayLease
from fescuequay_entry.relay.hop_frames import (
    Answer,
    Ask,
    Cancel,
    Drop,
    Fate,
    Frame,
    FrameError,
    Leaving,
    Ping,
    Pong,
    Step,
    UnsendableFrame,
    pair_of,
    position_of,
)
from fescuequay_entry.relay.hop_streams import MAX_OUTSTANDING
from fescuequay_entry.relay.hops import HopLink, HopReceiver
from fescuequay_entry.relay.metrics import GatewayMetrics
from fescuequay_entry.relay.pool import PooledConnection, Pools
from fescuequay_entry.relay.ports import (
    Outcome,
    StatementParser,
    TargetLost,
    TargetSilent,
    UnreadableAnswer,
    UnsendableStatement,
)

#: Timeout for setting session values and preparing a statement, in seconds.
_PREPARE_TIMEOUT_S: Final = 0.5

#: Time beyond the limit of idle transactions after which the gateway ends one itself, in seconds.
_IDLE_MARGIN_S: Final = 2.0

_BEGIN_STEPS: Final = frozenset((Step.BEGIN_READ, Step.BEGIN_WRITE))

#: Steps that get a connection from the pool.
_FIRST_STEPS: Final = _BEGIN_STEPS | {Step.SINGLE}


class _NotServed(Exception):
    """A statement was not sent.

    :param fate: What became of it.
    :param detail: Why.
    """

    def __init__(self, fate: Fate, detail: str) -> None:
        super().__init__(detail)
        self.fate = fate
        self.detail = detail


class Gateway:
    """Accepts the streams of other instances.

    :param board: Shared state of the instance.
    :param pools: This instance's connections.
    :param directory: Knows the gateways.
    :param metrics: Counters.
    :param parse: Parses the text of a statement.
    """

    def __init__(
        self,
        board: Board,
        pools: Pools,
        directory: GatewayDirectory,
        metrics: GatewayMetrics,
        parse: StatementParser,
    ) -> None:
        self.board = board
        self.pools = pools
        self.directory = directory
        self.metrics = metrics
        self.parse = parse
        self._streams: dict['_GatewayStream', None] = {}

    def accept(self, link: HopLink) -> HopReceiver:
        """:returns: What handles the frames of a new stream."""
        stream = _GatewayStream(self, link)
        self._streams[stream] = None
        if self.board.is_stopping:
            link.send(Leaving())
        return stream

    def forget(self, stream: '_GatewayStream') -> None:
        """Forget a stream that has ended."""
        self._streams.pop(stream, None)

    def announce_stop(self) -> None:
        """Let the other instances take other ways from now on."""
        for stream in tuple(self._streams):
            stream.link.send(Leaving())

    def is_busy(self) -> bool:
        """:returns: Whether a statement or transaction of another instance is open."""
        return any(stream.is_busy() for stream in self._streams)

    def sweep(self) -> None:
        """End transactions that are idle for too long, and update the gauges."""
        configuration = self.board.configuration
        if configuration is not None:
            oldest = self.board.clock() - configuration.idle_transaction_s - _IDLE_MARGIN_S
            for stream in tuple(self._streams):
                stream.drop_idle_since(oldest)
        self.metrics.held.set(self.pools.open_count())
        self.metrics.lent.set(sum(stream.lease_count() for stream in self._streams))

    def close(self) -> None:
        """Close all streams."""
        for stream in tuple(self._streams):
            stream.link.close()


class _GatewayStream(HopReceiver):
    """Stream of one other instance."""

    def __init__(self, gateway: Gateway, link: HopLink) -> None:
        self.link = link
        self._gateway = gateway
        self._board = gateway.board
        self._last_number = 0
        self._tasks_by_number: dict[int, asyncio.Task[None]] = {}
        self._sent_numbers: set[int] = set()
        self._leases_by_number: dict[int, GatewayLease] = {}

    def receive(self, frame: Frame) -> None:
        """Handle a frame. :raises FrameError: It is a request that came before, or whose number did."""
        if isinstance(frame, Ask):
            self._require_new(frame)
            self._accept(frame)
        elif isinstance(frame, Ping):
            self.link.send(Pong())
        elif isinstance(frame, Cancel):
            task = self._tasks_by_number.get(frame.number)
            if task is not None:
                task.cancel()
        elif isinstance(frame, Drop):
            self._drop(frame.lease)

    def end(self, detail: str) -> None:
        """End all transactions of the stream; statements that were sent run to their end."""
        self._gateway.forget(self)
        for number, task in tuple(self._tasks_by_number.items()):
            if number not in self._sent_numbers:
                task.cancel()
        for lease in tuple(self._leases_by_number):
            self._drop(lease)
        if self._tasks_by_number:
            log_event('gateway_stream_ended', outstanding=len(self._tasks_by_number), detail=detail)

    def is_busy(self) -> bool:
        """:returns: Whether a statement or transaction is open."""
        return bool(self._tasks_by_number or self._leases_by_number)

    def lease_count(self) -> int:
        """:returns: Number of open transactions."""
        return len(self._leases_by_number)

    def drop_idle_since(self, oldest: Instant) -> None:
        """End transactions whose latest statement ended before a time."""
        for number, lease in tuple(self._leases_by_number.items()):
            if not lease.is_busy and lease.used_at < oldest:
                log_event('gateway_lease_idle', target=lease.pooled.target.target)
                self._drop(number)

    def _require_new(self, ask: Ask) -> None:
        """Require that the numbers of requests and transactions grow, so that no statement runs twice."""
        for number in (ask.lease, ask.number) if ask.step in _BEGIN_STEPS else (ask.number,):
            if number <= self._last_number:
                raise FrameError(f'number {number} after {self._last_number}')
            self._last_number = number

    def _accept(self, ask: Ask) -> None:
        if len(self._tasks_by_number) >= MAX_OUTSTANDING:
            self._answer(ask, Answer(ask.number, Fate.TURNED_AWAY, detail='too many requests on one stream'))
            return
        task = asyncio.ensure_future(self._serve(ask))
        self._tasks_by_number[ask.number] = task
        task.add_done_callback(lambda _done: self._forget(ask.number))

    def _forget(self, number: int) -> None:
        self._tasks_by_number.pop(number, None)
        self._sent_numbers.discard(number)

    async def _serve(self, ask: Ask) -> None:
        try:
            answer = await self._run(ask)
        except _NotServed as error:
            answer = Answer(ask.number, error.fate, detail=error.detail)
        except Refused as refusal:
            self._drop(ask.lease)
            answer = Answer(
                ask.number,
                Fate.REFUSED,
                reason=refusal.reason.code,
                detail=refusal.detail,
                retry_after_s=refusal.retry_after_s,
            )
        except TargetSilent as error:
            # The path from here may be at fault: the sender tries another one before it takes the target for silent.
            answer = Answer(ask.number, Fate.TURNED_AWAY, detail=str(error))
        except UnreadableAnswer as error:
            # An answer of the target, by which the other instance judges it; a lost connection would pause it there.
            is_sent = ask.number in self._sent_numbers
            fate, reason = (Fate.ANSWERED, refusals.LOST) if is_sent else (Fate.REFUSED, refusals.TARGET_BUSY)
            answer = Answer(ask.number, fate, reason=reason.code, detail=str(error))
        except (TargetLost, TimeoutError) as error:
            fate = Fate.LOST if ask.number in self._sent_numbers else Fate.NOT_SENT
            answer = Answer(ask.number, fate, detail=str(error) or 'the target did not answer in time')
        except Exception as error:  # noqa: BLE001 -- one request must not end the stream
            log_event('handler_failed', level=logging.ERROR, path='gateway', error=repr(error))
            answer = Answer(ask.number, Fate.LOST, detail='the gateway failed')
        self._answer(ask, answer)

    def _answer(self, ask: Ask, answer: Answer) -> None:
        sent = answer
        try:
            self.link.send(answer)
        except UnsendableFrame as error:
            log_event('answer_unsendable', request=ask.request, target=ask.target, detail=str(error))
            # The statement may have run: without its rows, its outcome is unknown to the caller.
            detail = f'the answer could not be passed on: {error}'
            sent = msgspec.structs.replace(answer, signature='', rows=[], reason=refusals.LOST.code, detail=detail)
            self.link.send(sent)
        self._gateway.metrics.asked.labels(sent.fate.name.lower()).inc()

    async def _run(self, ask: Ask) -> Answer:
        until = self._board.clock() + ask.limit_s
        ask_checks.require_sound(ask, self._gateway.parse)
        target = self._target_of(ask)
        lease = await self._lease_of(ask, target)
        state: SessionState | None = None
        lease.is_busy = True
        try:
            outcome = await self._execute(ask, lease, until)
            state = outcome.state
        except _NotServed:
            # Nothing was sent: only a transaction that had begun before is still open on the connection.
            state = SessionState.IDLE if ask.step in _FIRST_STEPS else None
            raise
        finally:
            self._finish(ask, lease, state)
        return self._answer_of(ask, target, outcome, lease.pooled.connection.name)

    def _finish(self, ask: Ask, lease: GatewayLease, state: SessionState | None) -> None:
        """Release the connection, unless a transaction goes on.

        :param state: State of the target's session; nothing if it is not known.
        """
        lease.is_busy = False
        lease.used_at = self._board.clock()
        if state is None or state is SessionState.IDLE or lease.is_dropped:
            self._leases_by_number.pop(ask.lease, None)
            lease.pooled.source.release(lease.pooled, is_clean=state is SessionState.IDLE)

    def _answer_of(self, ask: Ask, target: TargetDescription, outcome: Outcome, connection: str) -> Answer:
        pool = self._gateway.pools.pool_of(target)
        fault = outcome.fault
        return Answer(
            ask.number,
            Fate.ANSWERED,
            outcome.state,
            pair_of(outcome.position),
            outcome.signature,
            list(outcome.rows),
            '' if fault is None else fault.reason.code,
            '' if fault is None else fault.detail,
            None if fault is None else fault.retry_after_s,
            pool.waiting(),
            pool.available(),
            connection,
        )

    def _target_of(self, ask: Ask) -> TargetDescription:
        target = self._board.targets_by_id.get(TargetId(ask.target))
        if target is None or target.born_ms != ask.born_ms:
            raise _NotServed(Fate.TURNED_AWAY, f'{ask.target} is not known here')
        return target

    async def _lease_of(self, ask: Ask, target: TargetDescription) -> GatewayLease:
        """:returns: The connection of the transaction, or a new one for a single statement or a new transaction."""
        if ask.step not in _FIRST_STEPS:
            lease = self._leases_by_number.get(ask.lease)
            if lease is None or lease.is_busy:
                raise _NotServed(Fate.TURNED_AWAY, 'the transaction was ended')
            return lease
        if self._board.is_stopping or self._board.is_closed(target):
            raise _NotServed(Fate.TURNED_AWAY, 'the gateway is stopping or the target gets no more work')
        if not self._has_permit(ask, target):
            raise _NotServed(Fate.TURNED_AWAY, 'the gateway has no permit for this primary')
        self._gateway.directory.record_asked(target.target)
        now = self._board.clock()
        statement = WaitingStatement(
            OrganisationId(ask.organisation),
            ask.priority,
            now - ask.age_s,
            now + ask.aim_s,
            now + ask.wait_s,
            ask.is_continued,
            opens_transaction=ask.step in _BEGIN_STEPS,
        )
        pooled = await self._gateway.pools.pool_of(target).acquire(statement)
        self._gateway.metrics.wait.observe(self._board.clock() - now)
        lease = GatewayLease(pooled, now)
        if ask.step in _BEGIN_STEPS:
            self._leases_by_number[ask.lease] = lease
        return lease

    async def _execute(self, ask: Ask, lease: GatewayLease, until: Instant) -> Outcome:
        pooled = lease.pooled
        health = self._board.health_of(pooled.target)
        began_at = self._board.clock()
        lease.has_written = lease.has_written or ask_checks.is_write(ask)
        # A commit decides; what a transaction writes before it takes no effect.
        is_decisive = ask.step in _FIRST_STEPS or (ask.kind is StatementKind.COMMIT and lease.has_written)
        try:
            name = await self._prepare(ask, pooled)
            if is_decisive and not self._has_permit(ask, pooled.target):
                # Checked at the moment of sending.
                raise _NotServed(Fate.TURNED_AWAY, 'the permit for this primary has ended at the gateway')
            async with asyncio.timeout(max(until - self._board.clock(), 0)):
                outcome = await self._send_counted(ask, pooled, name, writes=int(lease.has_written and is_decisive))
        except UnsendableStatement as error:
            # Nothing was sent, so that the connection is as it was.
            state = SessionState.IDLE if ask.step in _FIRST_STEPS else SessionState.IN_TRANSACTION
            return Outcome((), '', Refused(refusals.MALFORMED, str(error)), state, pooled.connection.position)
        except UnreadableAnswer:
            health.record_answer(self._board.clock(), is_fault=True)
            pooled.connection.close()
            raise
        except (TargetLost, TimeoutError):
            health.record_failure(began_at, self._board.clock(), is_refusal=False)
            pooled.connection.close()
            raise
        self._record(pooled, outcome, began_at)
        return outcome

    async def _prepare(self, ask: Ask, pooled: PooledConnection) -> str | None:
        if ask.step in _BEGIN_STEPS or ask.step is Step.ROLLBACK:
            return None
        async with asyncio.timeout(_PREPARE_TIMEOUT_S):
            await pooled.apply_session_values(ask.values)
            return None if ask.shape is None else await pooled.prepared_name(ask.shape[0], is_write=ask.shape[1])

    async def _send_counted(self, ask: Ask, pooled: PooledConnection, name: str | None, *, writes: int) -> Outcome:
        """Send a statement that counts as in flight, so that a planned promotion can wait for its end."""
        health = self._board.health_of(pooled.target)
        counts = self._board.in_flight_writes
        service = pooled.target.service
        health.in_flight += 1
        counts[service] = counts.get(service, 0) + writes
        try:
            return await self._send(ask, pooled, name)
        finally:
            health.in_flight -= 1
            counts[service] -= writes

    async def _send(self, ask: Ask, pooled: PooledConnection, name: str | None) -> Outcome:
        connection = pooled.connection
        self._sent_numbers.add(ask.number)
        after = position_of(ask.after)
        if ask.step in _BEGIN_STEPS:
            return await connection.begin(is_write=ask.step is Step.BEGIN_WRITE, after=after)
        if ask.step is Step.ROLLBACK:
            return await connection.rollback()
        return await connection.execute(RequestId(ask.request), ask.statement(), name=name, after=after)

    def _record(self, pooled: PooledConnection, outcome: Outcome, began_at: Instant) -> None:
        fault = outcome.fault
        is_fault = fault is not None and fault.reason.kind is RefusalKind.FAILED
        if fault is not None and fault.reason is refusals.UNKNOWN_STATEMENT:
            pooled.names_by_shape.clear()
        now = self._board.clock()
        took_s = now - began_at if fault is None or is_fault else None
        self._board.health_of(pooled.target).record_answer(now, took_s=took_s, is_fault=is_fault)

    def _has_permit(self, ask: Ask, target: TargetDescription) -> bool:
        if not ask.record_version:
            return True
        present = self._board.permits.leader(target.service, self._board.clock())
        return present is not None and present.version == ask.record_version and present.target == target.target

    def _drop(self, number: int) -> None:
        lease = self._leases_by_number.get(number)
        if lease is None:
            return
        if lease.is_busy:
            lease.is_dropped = True
            return
        self._leases_by_number.pop(number)
        lease.pooled.source.release(lease.pooled, is_clean=False)
