"""Runs statements at targets: the primary under a permit, replicas where the data is fresh enough."""

import asyncio
from collections.abc import Coroutine
from typing import Any, Final, TypeVar

from fescuequay_core.relay import refusals
from fescuequay_core.relay.freshness import Sample
from fescuequay_core.relay.model import Consistency, SessionState, Statement, StatementKind
from fescuequay_core.relay.refusals import Promise, Refused
from fescuequay_core.types import Instant, RequestId, TargetId, Verdict
from fescuequay_entry.relay.board import Board, log_event
from fescuequay_entry.relay.choosing import BUSY_PAUSE_S, FAILOVER_SHARE, RECHECK_S, RETRY_READ_S, Chooser
from fescuequay_entry.relay.pool import Pools
from fescuequay_entry.relay.ports import NotSent, Outcome, TargetLost
from fescuequay_entry.relay.work import Choice, Doubt, InFlight, Placed, Work

Ended = TypeVar('Ended')

#: Silence after which a read is sent a second time: at least this, and this many times the usual time.
_HEDGE_S: Final = 0.12
_HEDGE_FACTOR: Final = 4.0

#: Silence of a target's connection that counts as a sign of trouble at the target, in seconds.
_SILENCE_S: Final = 0.5


class Runner:
    """Places operations on connections and runs their statements.

    :param board: The blackboard.
    :param pools: Connections to targets.
    """

    def __init__(self, board: Board, pools: Pools) -> None:
        self._board = board
        self._pools = pools
        self._chooser = Chooser(board, pools)
        self._tasks: set[asyncio.Task[Any]] = set()

    async def run_single(
        self, work: Work, request: RequestId, statement: Statement, shape: tuple[str, bool] | None
    ) -> tuple[Outcome, Placed]:
        """Run a statement outside a transaction.

        :param work: The operation.
        :param request: The caller's id.
        :param statement: The statement.
        :param shape: Shape of the prepared statement, and whether it writes.
        :returns: The target's answer, and where it ran.
        :raises Refused: It was refused, or its outcome is not known.
        """
        is_write = statement.kind is StatementKind.WRITE or (shape is not None and shape[1])
        if is_write:
            return await self._write(work, request, statement, shape)
        return await self._read(work, request, statement, shape)

    async def place(self, work: Work, *, needs_primary: bool, tried: set[TargetId]) -> Placed:
        """Get a connection for an operation, with the session's values set.

        :param work: The operation.
        :param needs_primary: Whether only the primary will do.
        :param tried: Targets that should be avoided; those that fail are added.
        :raises Refused: There is none in time; nothing has run.
        """
        while True:
            if needs_primary or work.route.consistency is Consistency.PRIMARY:
                choice = Choice(*await self._chooser.await_leader(work, tried))
            else:
                choice = await self._chooser.choose_reader(work, tried)
            placed = await self._try_place(work, choice, tried)
            if placed is not None:
                return placed

    def release(self, placed: Placed, *, is_clean: bool) -> None:
        """Give a connection back."""
        placed.lease.pool.give_back(placed.lease, is_clean=is_clean)

    def abandon(self, placed: Placed) -> None:
        """Roll back what is open on a connection and give it back, without waiting."""
        self._spawn(self._roll_back(placed))

    async def execute(
        self, work: Work, placed: Placed, request: RequestId, statement: Statement, shape: tuple[str, bool] | None
    ) -> Outcome:
        """Run one statement on a connection that the operation holds.

        :param work: The operation.
        :param placed: The connection.
        :param request: The caller's id.
        :param statement: The statement.
        :param shape: Shape of the prepared statement, and whether it writes.
        :raises TargetLost: The connection ended, or the time limit passed and the connection was closed.
        :raises TimeoutError: The time limit passed.
        :raises Refused: No time is left; the statement was not sent.
        """
        lease = placed.lease
        name = await self._prepare(work, placed, shape)
        evidence = self._board.health_of(lease.target)
        sent_at = self._board.clock()
        limit_s = self._limit_s(work, sent_at)
        work.is_sent = True
        evidence.in_flight += 1
        try:
            outcome = await asyncio.wait_for(
                lease.connection.execute(request, statement, name=name, after=placed.after),
                limit_s,
            )
        except (TimeoutError, TargetLost) as error:
            self._note_lost(placed, sent_at, error, request)
            raise
        finally:
            evidence.in_flight -= 1
        self._note_outcome(placed, sent_at, outcome)
        return outcome

    def is_current(self, placed: Placed) -> bool:
        """:returns: Whether the permit under which the primary is used still covers its term."""
        if placed.record is None:
            return True
        present = self._board.permits.leader(placed.record.service, self._board.clock())
        return present is not None and present.version == placed.record.version

    async def consider_retry(self, work: Work, placed: Placed, fault: Refused, tried: set[TargetId]) -> None:
        """Prepare another attempt for a statement that surely did not run, or raise its refusal.

        :param work: The operation.
        :param placed: Where it was refused.
        :param fault: The target's refusal.
        :param tried: Targets to avoid; this one is added.
        :raises Refused: Another attempt is of no use.
        """
        target = placed.lease.target
        now = self._board.clock()
        promise = fault.reason.promise
        is_final = fault.reason.verdict is not Verdict.NOT_RUN or promise is Promise.MALFORMED
        if is_final or now - work.began_at > work.route.timeout_s * FAILOVER_SHARE:
            raise fault
        if promise is Promise.NO_SUCH_STATEMENT:
            placed.lease.names_by_shape.clear()
            return
        tried.add(target.target)
        if promise is Promise.BEHIND:
            self._board.health_of(target).note_behind(now)
        elif promise is not Promise.OVERLOADED:
            await self._board.wait_for_change(RECHECK_S)
        elif now - work.began_at > work.route.aim_s:
            raise Refused(refusals.TARGET_BUSY, f'{target.target} is full', RETRY_READ_S)
        else:
            await asyncio.sleep(BUSY_PAUSE_S)

    async def _roll_back(self, placed: Placed) -> None:
        is_clean = False
        try:
            outcome = await asyncio.wait_for(placed.lease.connection.rollback(), _SILENCE_S)
            is_clean = outcome.state is SessionState.IDLE
        except (TimeoutError, TargetLost) as error:
            log_event('rollback_lost', target=placed.lease.target.target, detail=str(error) or 'silent')
        finally:
            self.release(placed, is_clean=is_clean)

    async def _prepare(self, work: Work, placed: Placed, shape: tuple[str, bool] | None) -> str | None:
        began_at = self._board.clock()
        try:
            async with asyncio.timeout(_SILENCE_S):
                await placed.lease.take_on(work.values)
                return await placed.lease.name_of(shape[0], is_write=shape[1]) if shape is not None else None
        except (TimeoutError, TargetLost) as error:
            self._note_lost(placed, began_at, error, RequestId('-'))
            raise NotSent(str(error) or 'the target was silent') from error

    async def _write(
        self, work: Work, request: RequestId, statement: Statement, shape: tuple[str, bool] | None
    ) -> tuple[Outcome, Placed]:
        tried: set[TargetId] = set()
        while True:
            placed = await self.place(work, needs_primary=True, tried=tried)
            try:
                outcome = await self._write_once(work, placed, request, statement, shape)
            except NotSent:
                tried.add(placed.lease.target.target)
                continue
            if outcome.fault is None:
                if not self.is_current(placed):
                    raise Refused(refusals.SUPERSEDED)
                return outcome, placed
            await self.consider_retry(work, placed, outcome.fault, tried)

    async def _write_once(
        self, work: Work, placed: Placed, request: RequestId, statement: Statement, shape: tuple[str, bool] | None
    ) -> Outcome:
        is_clean = False
        try:
            with InFlight(self._board, work):
                outcome = await self.execute(work, placed, request, statement, shape)
            is_clean = True
            return outcome
        except NotSent:
            raise
        except TimeoutError:
            raise Refused(refusals.TIMED_OUT, f'{placed.lease.target.target} was silent') from None
        except TargetLost as error:
            raise Refused(refusals.LOST, str(error)) from error
        finally:
            self.release(placed, is_clean=is_clean)

    async def _read(
        self, work: Work, request: RequestId, statement: Statement, shape: tuple[str, bool] | None
    ) -> tuple[Outcome, Placed]:
        """Read, and read again elsewhere when the first target stays silent; reads may run twice."""
        tried: set[TargetId] = set()
        pending: set[asyncio.Task[tuple[Outcome, Placed]]] = set()
        failures: list[Refused] = []
        for limit_s in (self._hedge_s(work), work.route.timeout_s):
            pending.add(self._spawn(self._read_once(work, request, statement, shape, tried)))
            outcome, pending = await self._first(pending, min(self._board.clock() + limit_s, work.until), failures)
            if outcome is not None:
                return outcome
            if not pending:
                # Where one attempt may have run, no other one decides that nothing did.
                raise max(failures, key=_may_have_run)
        raise Refused(refusals.TIMED_OUT, f'no target answered in {work.route.timeout_s:.2f} s')

    async def _first(
        self, pending: set[asyncio.Task[tuple[Outcome, Placed]]], until: Instant, failures: list[Refused]
    ) -> tuple[tuple[Outcome, Placed] | None, set[asyncio.Task[tuple[Outcome, Placed]]]]:
        """Wait for the first attempt that is served; one that is refused joins the failures and leaves it to others."""
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

    async def _read_once(
        self, work: Work, request: RequestId, statement: Statement, shape: tuple[str, bool] | None, tried: set[TargetId]
    ) -> tuple[Outcome, Placed]:
        doubt = Doubt()
        try:
            while True:
                placed = await self.place(work, needs_primary=False, tried=tried)
                outcome = await self._attempt(work, placed, request, statement, shape, tried, doubt)
                if outcome is not None:
                    return outcome, placed
        except Refused as refusal:
            raise doubt.told(refusal) from None

    async def _attempt(
        self,
        work: Work,
        placed: Placed,
        request: RequestId,
        statement: Statement,
        shape: tuple[str, bool] | None,
        tried: set[TargetId],
        doubt: Doubt,
    ) -> Outcome | None:
        """:returns: The answer of a target that served the read; nothing where another one may be tried."""
        try:
            outcome = await self._execute_read(work, placed, request, statement, shape)
        except TargetLost as error:
            tried.add(placed.lease.target.target)
            doubt.note_lost(error)
            return None
        if outcome.fault is None:
            return outcome
        if outcome.fault.reason.promise is Promise.FAILED and doubt.note(outcome.fault):
            tried.add(placed.lease.target.target)
        else:
            await self.consider_retry(work, placed, outcome.fault, tried)
        return None

    async def _execute_read(
        self, work: Work, placed: Placed, request: RequestId, statement: Statement, shape: tuple[str, bool] | None
    ) -> Outcome:
        """:returns: The target's answer. The connection is given back."""
        is_clean = False
        try:
            outcome = await self.execute(work, placed, request, statement, shape)
            is_clean = True
            return outcome
        except TimeoutError:
            raise Refused(refusals.TIMED_OUT, f'{placed.lease.target.target} was silent') from None
        finally:
            self.release(placed, is_clean=is_clean)

    def _limit_s(self, work: Work, now: Instant) -> float:
        """:returns: Time that a statement has if it is sent now. :raises Refused: There is none."""
        if now >= self._board.refuse_by:
            raise Refused(refusals.STOPPING, retry_after_s=RETRY_READ_S)
        if now >= work.until:
            raise Refused(refusals.QUEUE_FULL, 'its time was used up before it could be sent', RETRY_READ_S)
        return min(work.until, self._board.answer_by) - now

    def _hedge_s(self, work: Work) -> float:
        times = [self._board.health_of(target).statement_s for target in self._board.targets_of(work.route.service)]
        return max(_HEDGE_S, _HEDGE_FACTOR * min(times, default=_HEDGE_S))

    def _spawn(self, step: Coroutine[Any, Any, Ended]) -> asyncio.Task[Ended]:
        task = asyncio.ensure_future(step)
        self._tasks.add(task)
        task.add_done_callback(self._forget)
        return task

    def _forget(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        # A second attempt that lost the race may fail unseen; asking for its error marks it as seen.
        if not task.cancelled():
            task.exception()

    async def _try_place(self, work: Work, choice: Choice, tried: set[TargetId]) -> Placed | None:
        target = choice.target
        pool = self._pools.of(target)
        patience = max(work.began_at + work.route.aim_s, self._board.clock() + work.route.aim_s / 2)
        until = self._board.may_wait_until(min(work.until, patience))
        try:
            lease = await pool.acquire(work.organisation, work.route.priority, until)
        except TargetLost:
            tried.add(target.target)
            return None
        except Refused as refusal:
            tried.add(target.target)
            if self._board.clock() >= work.began_at + work.route.aim_s:
                raise
            log_event('target_full', target=target.target, detail=refusal.detail)
            await asyncio.sleep(BUSY_PAUSE_S)
            return None
        placed = Placed(lease, choice.record, choice.after)
        try:
            await asyncio.wait_for(lease.take_on(work.values), _SILENCE_S)
        except (TargetLost, TimeoutError) as error:
            self._note_lost(placed, self._board.clock(), error, RequestId('-'))
            self.release(placed, is_clean=False)
            tried.add(target.target)
            return None
        if not self.is_current(placed):
            self.release(placed, is_clean=True)
            return None
        return placed

    def _note_outcome(self, placed: Placed, sent_at: Instant, outcome: Outcome) -> None:
        now = self._board.clock()
        evidence = self._board.health_of(placed.lease.target)
        is_fault = outcome.fault is not None and outcome.fault.reason.promise is Promise.FAILED
        has_run = outcome.fault is None or is_fault
        evidence.note_answer(now, took_s=now - sent_at if has_run else None, is_fault=is_fault)
        if placed.record is not None and outcome.position is not None:
            sample = Sample(sent_at, outcome.position)
            self._board.samples.note(placed.record.service, placed.record.term, sample)

    def _note_lost(self, placed: Placed, sent_at: Instant, error: Exception, request: RequestId) -> None:
        now = self._board.clock()
        target = placed.lease.target
        is_refusal = isinstance(error, TargetLost) and error.is_refusal
        self._board.health_of(target).note_failure(sent_at, now, is_refusal=is_refusal)
        placed.lease.connection.close()
        log_event(
            'target_lost',
            request=request,
            target=target.target,
            waited_s=round(now - sent_at, 3),
            detail=str(error) or 'silent',
        )


def _may_have_run(refusal: Refused) -> bool:
    return refusal.reason.verdict is not Verdict.NOT_RUN
