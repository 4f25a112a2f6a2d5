"""Runs statements on targets: the primary while its permit is valid, replicas whose data is recent enough."""

import asyncio
from collections.abc import Coroutine
from typing import Any, Final, TypeVar

from fescuequay_core.relay import refusals
from fescuequay_core.relay.freshness import Sample
from fescuequay_core.relay.model import (
    Consistency,
    LeaderRecord,
    SessionState,
    Statement,
    StatementKind,
    TargetDescription,
)
from fescuequay_core.relay.repeats import RepeatBudgets
from fescuequay_core.relay.refusals import RefusalKind, Refused
from fescuequay_core.types import Instant, RequestId, TargetId, Verdict
from fescuequay_entry.relay.board import Board, log_event
from fescuequay_entry.relay.operation import Choice, FailedAttempts, InFlightWrite, Operation, Placement
from fescuequay_entry.relay.pool import Pools
from fescuequay_entry.relay.ports import (
    GatewayRefused,
    NotSent,
    Outcome,
    TargetLost,
    TargetSilent,
    UnreadableAnswer,
    UnsendableStatement,
)
from fescuequay_entry.relay.target_selector import (
    BUSY_TARGET_PAUSE_S,
    FAILOVER_WAIT_SHARE,
    READ_RETRY_AFTER_S,
    RECHECK_INTERVAL_S,
    TargetSelector,
)

Result = TypeVar('Result')

#: Delay after which an unanswered read is sent to a second target (hedged): this multiple of the shortest smoothed
#: statement time among the targets of the service, but at least the minimum, in seconds.
_MIN_HEDGE_DELAY_S: Final = 0.12
_HEDGE_FACTOR: Final = 4.0

#: Timeout for setting session values, preparing a statement and rolling back, in seconds. Except for a
#: rollback, its expiry is recorded as a failure of the target.
_SILENCE_TIMEOUT_S: Final = 0.5


class StatementRunner:
    """Acquires a connection for each operation and runs its statements there.

    :param board: Shared state of the instance.
    :param pools: Connection pools of the targets.
    """

    def __init__(self, board: Board, pools: Pools) -> None:
        self._board = board
        self._pools = pools
        self._selector = TargetSelector(board, pools)
        self._budgets = RepeatBudgets()
        self._tasks: set[asyncio.Task[Any]] = set()

    async def run_single(
        self, operation: Operation, request: RequestId, statement: Statement, shape: tuple[str, bool] | None
    ) -> tuple[Outcome, Placement]:
        """Run a statement outside a transaction.

        :param operation: The operation.
        :param request: The caller's id of the request.
        :param statement: The statement.
        :param shape: Shape of the prepared statement, and whether it writes.
        :returns: The target's answer, and where the statement ran.
        :raises Refused: It was refused, or its outcome is unknown.
        """
        is_write = statement.kind is StatementKind.WRITE or (shape is not None and shape[1])
        if is_write:
            return await self._write(operation, request, statement, shape)
        return await self._read(operation, request, statement, shape)

    async def place(self, operation: Operation, *, needs_primary: bool, tried: set[TargetId]) -> Placement:
        """Acquire a connection for an operation and set the session values on it.

        :param operation: The operation.
        :param needs_primary: Whether it must be a connection to the primary.
        :param tried: Targets to avoid; those that fail are added.
        :raises Refused: No connection was available in time; nothing has run.
        """
        while True:
            operation.is_bound = needs_primary or operation.route.consistency is Consistency.PRIMARY
            if operation.is_bound:
                choice = Choice(*await self._selector.await_leader(operation, tried))
            else:
                choice = await self._selector.choose_reader(operation, tried)
            placement = await self._try_place(operation, choice, tried)
            if placement is not None:
                return placement

    def release(self, placement: Placement, *, is_clean: bool) -> None:
        """Return a connection to its pool."""
        placement.pooled.source.release(placement.pooled, is_clean=is_clean)

    def roll_back_and_release(self, placement: Placement) -> None:
        """Roll back the open transaction in the background and return the connection to its pool."""
        self._spawn(self._roll_back(placement))

    async def execute(
        self,
        operation: Operation,
        placement: Placement,
        request: RequestId,
        statement: Statement,
        shape: tuple[str, bool] | None,
    ) -> Outcome:
        """Run one statement on the connection of an operation.

        :param operation: The operation.
        :param placement: The connection.
        :param request: The caller's id of the request.
        :param statement: The statement.
        :param shape: Shape of the prepared statement, and whether it writes.
        :raises TargetLost: The connection ended, or the time limit passed and the connection was closed.
        :raises TimeoutError: The time limit passed.
        :raises Refused: The time limit had passed before the statement was sent, or the instance stops.
        """
        pooled = placement.pooled
        try:
            name = await self._prepare(operation, placement, shape)
        except UnsendableStatement as error:
            # Nothing was sent, so that the connection is as it was.
            state = SessionState.IN_TRANSACTION if placement.has_begun else SessionState.IDLE
            return Outcome((), '', Refused(refusals.MALFORMED, str(error)), state, pooled.connection.position)
        health = self._board.health_of(pooled.target)
        sent_at = self._board.clock()
        limit_s = self._time_limit_s(operation, sent_at)
        pooled.note_limit(sent_at + limit_s)
        operation.sent_attempts += 1
        health.in_flight += 1
        try:
            outcome = await asyncio.wait_for(
                pooled.connection.execute(request, statement, name=name, after=placement.after),
                limit_s,
            )
        except (TimeoutError, TargetLost) as error:
            if isinstance(error, NotSent):
                operation.sent_attempts -= 1
            self._record_lost(placement, sent_at, error, request)
            raise
        finally:
            health.in_flight -= 1
        self._record_outcome(placement, sent_at, outcome, request)
        return outcome

    def has_valid_permit(self, placement: Placement) -> bool:
        """:returns: Whether the permit under which the primary was chosen is still valid; always true at a replica."""
        if placement.record is None:
            return True
        present = self._board.permits.leader(placement.record.service, self._board.clock())
        return present is not None and present.version == placement.record.version

    async def prepare_retry(
        self, operation: Operation, placement: Placement, fault: Refused, tried: set[TargetId]
    ) -> None:
        """Prepare another attempt of a statement that certainly did not run, or raise its refusal.

        :param operation: The operation.
        :param placement: Connection on which it was refused.
        :param fault: The target's refusal.
        :param tried: Targets to avoid; this one is added.
        :raises Refused: The refusal is final, or too little time is left for another attempt.
        """
        target = placement.pooled.target
        now = self._board.clock()
        kind = fault.reason.kind
        is_final = fault.reason.verdict is not Verdict.NOT_RUN or kind is RefusalKind.MALFORMED
        if is_final or now - operation.began_at > operation.route.timeout_s * FAILOVER_WAIT_SHARE:
            raise fault
        if kind is RefusalKind.NO_SUCH_STATEMENT:
            placement.pooled.names_by_shape.clear()
            return
        if not self._may_repeat(target):
            raise fault
        tried.add(target.target)
        if kind is RefusalKind.BEHIND:
            self._board.health_of(target).record_behind(now)
        elif kind is not RefusalKind.OVERLOADED:
            await self._board.wait_for_change(RECHECK_INTERVAL_S)
        elif now - operation.began_at > operation.route.aim_s:
            raise Refused(refusals.TARGET_BUSY, f'{target.target} is overloaded', READ_RETRY_AFTER_S)
        else:
            await asyncio.sleep(BUSY_TARGET_PAUSE_S)

    async def prepare_after_loss(
        self, operation: Operation, placement: Placement, error: TargetLost, tried: set[TargetId]
    ) -> None:
        """Prepare another attempt of a statement whose connection was lost.

        :param operation: The operation.
        :param placement: Connection that was lost.
        :param error: What happened.
        :param tried: Targets to avoid; this one is added, unless only the gateway before it failed.
        :raises Refused: A gateway refused it, and its aim has passed; or no other target may answer readably.
        """
        target = placement.pooled.target.target
        if isinstance(error, GatewayRefused):
            await self._pause_after_refusal(operation, target, error.refusal, tried)
        elif error.concerns_target:
            tried.add(target)
        if isinstance(error, UnreadableAnswer):
            self._require_another(operation, error, tried)

    async def _roll_back(self, placement: Placement) -> None:
        is_clean = False
        try:
            outcome = await asyncio.wait_for(placement.pooled.connection.rollback(), _SILENCE_TIMEOUT_S)
            is_clean = outcome.state is SessionState.IDLE
        except (TimeoutError, TargetLost) as error:
            log_event('rollback_lost', target=placement.pooled.target.target, detail=str(error) or 'silent')
        finally:
            self.release(placement, is_clean=is_clean)

    async def _prepare(self, operation: Operation, placement: Placement, shape: tuple[str, bool] | None) -> str | None:
        began_at = self._board.clock()
        try:
            async with asyncio.timeout(_SILENCE_TIMEOUT_S):
                await placement.pooled.apply_session_values(operation.values)
                return await placement.pooled.prepared_name(shape[0], is_write=shape[1]) if shape is not None else None
        except UnreadableAnswer as error:
            self._record_lost(placement, began_at, error, RequestId('-'))
            raise Refused(refusals.TARGET_BUSY, str(error), READ_RETRY_AFTER_S) from error
        except (TimeoutError, TargetLost) as error:
            self._record_lost(placement, began_at, error, RequestId('-'))
            raise NotSent(str(error) or 'the target did not answer') from error

    async def _write(
        self, operation: Operation, request: RequestId, statement: Statement, shape: tuple[str, bool] | None
    ) -> tuple[Outcome, Placement]:
        tried: set[TargetId] = set()
        while True:
            placement = await self.place(operation, needs_primary=True, tried=tried)
            try:
                outcome = await self._write_once(operation, placement, request, statement, shape)
            except NotSent as error:
                await self.prepare_after_loss(operation, placement, error, tried)
                continue
            if outcome.fault is None:
                if not self.has_valid_permit(placement):
                    raise Refused(refusals.SUPERSEDED)
                return outcome, placement
            await self.prepare_retry(operation, placement, outcome.fault, tried)

    async def _write_once(
        self,
        operation: Operation,
        placement: Placement,
        request: RequestId,
        statement: Statement,
        shape: tuple[str, bool] | None,
    ) -> Outcome:
        is_clean = False
        try:
            with InFlightWrite(self._board, operation):
                outcome = await self.execute(operation, placement, request, statement, shape)
            is_clean = outcome.state is SessionState.IDLE
            return outcome
        except NotSent:
            raise
        except TimeoutError:
            raise Refused(
                refusals.TIMED_OUT, f'{placement.pooled.target.target} did not answer within the time limit'
            ) from None
        except TargetLost as error:
            raise Refused(refusals.LOST, str(error)) from error
        finally:
            self.release(placement, is_clean=is_clean)

    async def _read(
        self, operation: Operation, request: RequestId, statement: Statement, shape: tuple[str, bool] | None
    ) -> tuple[Outcome, Placement]:
        """Run a read, and a hedged one at another target if there is no answer after a delay; reads may run twice."""
        tried: set[TargetId] = set()
        pending: set[asyncio.Task[tuple[Outcome, Placement]]] = set()
        failures: list[Refused] = []
        for limit_s in (self._hedge_delay_s(operation), operation.route.timeout_s):
            if not pending or self._may_hedge(operation):
                pending.add(self._spawn(self._read_with_retries(operation, request, statement, shape, tried)))
            outcome, pending = await self._first_success(
                pending, min(self._board.clock() + limit_s, operation.until), failures
            )
            if outcome is not None:
                return outcome
            if not pending:
                # If any attempt may have run, a refusal that says that nothing ran must not be reported.
                raise max(failures, key=_may_have_run)
        raise Refused(refusals.TIMED_OUT, f'no target answered in {operation.route.timeout_s:.2f} s')

    async def _first_success(
        self, pending: set[asyncio.Task[tuple[Outcome, Placement]]], until: Instant, failures: list[Refused]
    ) -> tuple[tuple[Outcome, Placement] | None, set[asyncio.Task[tuple[Outcome, Placement]]]]:
        """Wait for the first attempt that succeeds; the refusals of others are added to ``failures``."""
        while pending:
            left_s = max(until - self._board.clock(), 0)
            done, pending = await asyncio.wait(pending, timeout=left_s, return_when=asyncio.FIRST_COMPLETED)
            for task in done:
                try:
                    return task.result(), pending
                except Refused as refusal:
                    failures.append(refusal)
            if self._board.clock() >= until:
                break
        return None, pending

    async def _read_with_retries(
        self,
        operation: Operation,
        request: RequestId,
        statement: Statement,
        shape: tuple[str, bool] | None,
        tried: set[TargetId],
    ) -> tuple[Outcome, Placement]:
        failed_attempts = FailedAttempts()
        try:
            while True:
                placement = await self.place(operation, needs_primary=False, tried=tried)
                outcome = await self._attempt_read(
                    operation, placement, request, statement, shape, tried, failed_attempts
                )
                if outcome is not None:
                    return outcome, placement
        except Refused as refusal:
            raise failed_attempts.refusal_to_report(refusal) from None

    async def _attempt_read(
        self,
        operation: Operation,
        placement: Placement,
        request: RequestId,
        statement: Statement,
        shape: tuple[str, bool] | None,
        tried: set[TargetId],
        failed_attempts: FailedAttempts,
    ) -> Outcome | None:
        """:returns: The answer of a target that served the read; nothing if another target may be tried."""
        try:
            outcome = await self._execute_read(operation, placement, request, statement, shape)
        except TargetLost as error:
            failed_attempts.record_lost(error)
            await self.prepare_after_loss(operation, placement, error, tried)
            return None
        if outcome.fault is None:
            return outcome
        if outcome.fault.reason.kind is RefusalKind.FAILED and failed_attempts.record(outcome.fault):
            tried.add(placement.pooled.target.target)
        else:
            await self.prepare_retry(operation, placement, outcome.fault, tried)
        return None

    async def _execute_read(
        self,
        operation: Operation,
        placement: Placement,
        request: RequestId,
        statement: Statement,
        shape: tuple[str, bool] | None,
    ) -> Outcome:
        """:returns: The target's answer; the connection has been returned to its pool."""
        is_clean = False
        try:
            outcome = await self.execute(operation, placement, request, statement, shape)
            is_clean = outcome.state is SessionState.IDLE
            return outcome
        except TimeoutError:
            raise Refused(
                refusals.TIMED_OUT, f'{placement.pooled.target.target} did not answer within the time limit'
            ) from None
        finally:
            self.release(placement, is_clean=is_clean)

    def _time_limit_s(self, operation: Operation, now: Instant) -> float:
        """:returns: Time left for a statement that is sent now, in seconds. :raises Refused: None is left."""
        if now >= self._board.refuse_by:
            raise Refused(refusals.STOPPING, retry_after_s=READ_RETRY_AFTER_S)
        if now >= operation.until:
            raise Refused(
                refusals.QUEUE_FULL, 'the time limit had passed before the statement could be sent', READ_RETRY_AFTER_S
            )
        return min(operation.until, self._board.answer_by) - now

    def _hedge_delay_s(self, operation: Operation) -> float:
        times = [
            self._board.health_of(target).statement_s for target in self._board.targets_of(operation.route.service)
        ]
        return max(_MIN_HEDGE_DELAY_S, _HEDGE_FACTOR * min(times, default=_MIN_HEDGE_DELAY_S))

    def _may_hedge(self, operation: Operation) -> bool:
        """:returns: Whether a read may be sent to a second target; it may cost too much where connections are few."""
        target = self._board.targets_by_id.get(operation.sent_to) if operation.sent_to is not None else None
        if target is None:
            return not any(self._pools.is_scarce(one) for one in self._board.targets_of(operation.route.service))
        return self._may_repeat(target)

    def _may_repeat(self, target: TargetDescription) -> bool:
        """:returns: Whether a statement of a target may be repeated; where connections are scarce, it is charged."""
        return not self._pools.is_scarce(target) or self._budgets.of(target.target).spend()

    def _spawn(self, step: Coroutine[Any, Any, Result]) -> asyncio.Task[Result]:
        task = asyncio.ensure_future(step)
        self._tasks.add(task)
        task.add_done_callback(self._discard_task)
        return task

    def _discard_task(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        # Retrieving the error of an attempt that is no longer awaited keeps asyncio from logging it as never retrieved.
        if not task.cancelled():
            task.exception()

    async def _try_place(self, operation: Operation, choice: Choice, tried: set[TargetId]) -> Placement | None:
        target = choice.target
        source = self._pools.source_of(target)
        until = self._board.may_wait_until(self._acquire_until(operation, target))
        try:
            pooled = await source.acquire(operation.waiting_statement(until))
        except TargetLost as error:
            tried.add(target.target)
            if self._board.clock() >= operation.began_at + operation.route.timeout_s * FAILOVER_WAIT_SHARE:
                raise Refused(refusals.TARGET_BUSY, str(error), READ_RETRY_AFTER_S) from error
            if choice.record is not None and isinstance(error, TargetSilent):
                # Nothing but the primary can run it, and nothing was tried, so that no time has passed.
                await asyncio.sleep(BUSY_TARGET_PAUSE_S)
            return None
        except Refused as refusal:
            await self._pause_after_refusal(operation, target.target, refusal, tried)
            return None
        operation.sent_to = target.target
        self._budgets.of(target.target).record_statement()
        placement = Placement(pooled, choice.record, choice.required)
        pooled.note_record(choice.record)
        try:
            await asyncio.wait_for(pooled.apply_session_values(operation.values), _SILENCE_TIMEOUT_S)
        except (TargetLost, TimeoutError) as error:
            self._record_lost(placement, self._board.clock(), error, RequestId('-'))
            self.release(placement, is_clean=False)
            tried.add(target.target)
            if isinstance(error, UnreadableAnswer):
                self._require_another(operation, error, tried)
            return None
        except UnsendableStatement as error:
            self.release(placement, is_clean=True)
            raise Refused(refusals.MALFORMED, str(error)) from error
        if not self.has_valid_permit(placement) or self._board.is_closed(target):
            self.release(placement, is_clean=True)
            return None
        return placement

    async def _pause_after_refusal(
        self, operation: Operation, target: TargetId, refusal: Refused, tried: set[TargetId]
    ) -> None:
        """Avoid a target that had no connection, and pause.

        :raises Refused: The aim has passed, or there is no room at any target.
        """
        tried.add(target)
        has_room = refusal.reason is not refusals.NO_ROOM
        if not has_room and (operation.is_bound or self._are_all_tried(operation, tried)):
            raise refusal
        if self._board.clock() >= operation.began_at + operation.route.aim_s:
            raise refusal
        log_event('target_full', target=target, detail=refusal.detail)
        if has_room:
            await asyncio.sleep(BUSY_TARGET_PAUSE_S)

    def _require_another(self, operation: Operation, error: UnreadableAnswer, tried: set[TargetId]) -> None:
        """:raises Refused: No other target may run it; this one would give the same answer again at once."""
        if operation.is_bound or self._are_all_tried(operation, tried):
            raise Refused(refusals.TARGET_BUSY, str(error), READ_RETRY_AFTER_S) from error

    def _acquire_until(self, operation: Operation, target: TargetDescription) -> Instant:
        """:returns: When an operation must have got a connection; one that gets it later is refused."""
        aim_at = operation.began_at + operation.route.aim_s
        if self._pools.is_scarce(target):
            # Late work is done while there is room; the line refuses it as soon as there is none.
            return max(aim_at, operation.until - self._board.health_of(target).statement_s)
        return min(operation.until, max(aim_at, self._board.clock() + operation.route.aim_s / 2))

    def _are_all_tried(self, operation: Operation, tried: set[TargetId]) -> bool:
        return all(target.target in tried for target, _ in self._board.read_targets_of(operation.route.service))

    def _record_outcome(self, placement: Placement, sent_at: Instant, outcome: Outcome, request: RequestId) -> None:
        now = self._board.clock()
        health = self._board.health_of(placement.pooled.target)
        is_fault = outcome.fault is not None and outcome.fault.reason.kind is RefusalKind.FAILED
        has_run = outcome.fault is None or is_fault
        health.record_answer(now, took_s=now - sent_at if has_run else None, is_fault=is_fault)
        if placement.record is not None and outcome.position is not None:
            self._record_position(placement, placement.record, Sample(sent_at, outcome.position), request)

    def _record_position(self, placement: Placement, record: LeaderRecord, sample: Sample, request: RequestId) -> None:
        """Record the position of a primary, unless it may have been replaced before the statement was sent."""
        permits = self._board.permits
        if permits.was_in_force(record, sample.at):
            self._board.samples.record(record.service, record.term, sample)
            return
        present = permits.record(record.service)
        log_event(
            'position_ignored',
            request=request,
            target=placement.pooled.target.target,
            term=record.term,
            version=record.version,
            leader_version=present.version if present is not None else '-',
            permit_age_s=round(permits.age_s(record.service, sample.at), 3),
        )

    def _record_lost(self, placement: Placement, sent_at: Instant, error: Exception, request: RequestId) -> None:
        now = self._board.clock()
        target = placement.pooled.target
        is_refusal = isinstance(error, TargetLost) and error.is_refusal
        concerns_target = placement.pooled.concerns_target(error)
        if isinstance(error, UnreadableAnswer):
            # A target that answers is neither down nor silent, so that one unreadable row does not pause it.
            self._board.health_of(target).record_answer(now, is_fault=True)
        elif concerns_target:
            self._board.health_of(target).record_failure(sent_at, now, is_refusal=is_refusal)
        placement.pooled.connection.close()
        log_event(
            'target_lost' if concerns_target else 'hop_failed',
            request=request,
            target=target.target,
            connection=placement.pooled.connection.name,
            waited_s=round(now - sent_at, 3),
            detail=str(error) or 'silent',
        )


def _may_have_run(refusal: Refused) -> bool:
    return refusal.reason.verdict is not Verdict.NOT_RUN
