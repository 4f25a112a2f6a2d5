"""Session of one caller: session values, prepared statements, transaction, and the checks before each operation."""

import asyncio
import dataclasses
from typing import Final

from fescuequay_core.relay import refusals
from fescuequay_core.relay.model import (
    Credential,
    DatabaseName,
    LogPosition,
    Route,
    SessionState,
    Statement,
    StatementKind,
)
from fescuequay_core.relay.refusals import Refused
from fescuequay_core.types import Instant, OrganisationId, TargetId
from fescuequay_entry.relay import admission
from fescuequay_entry.relay.board import Board, log_event
from fescuequay_entry.relay.caller_backlog import CallerBacklog
from fescuequay_entry.relay.metrics import RelayMetrics
from fescuequay_entry.relay.operation import InFlightWrite, Operation, Placement
from fescuequay_entry.relay.ports import (
    NO_EXTENT,
    BadMessage,
    CallerConnection,
    CallerMessage,
    Closing,
    Extent,
    NotSent,
    Opening,
    Outcome,
    Query,
    TargetLost,
    Unsendable,
)
from fescuequay_entry.relay.session_buffers import SessionBuffers
from fescuequay_entry.relay.statement_runner import StatementRunner

#: Timeout for the first message of a caller, in seconds; callers send it as soon as they are connected.
_OPENING_TIMEOUT_S: Final = 5.0

#: Number of messages in a row that cannot be decoded after which a session ends.
_MAX_BAD_MESSAGES: Final = 16

#: Retry-after of a transaction that could not begin, in seconds: the duration of several statements.
_BEGIN_RETRY_AFTER_S: Final = 0.2

#: Statements that change only the state of the session and are answered without a target.
_LOCAL_KINDS: Final = frozenset((StatementKind.SET, StatementKind.PREPARE, StatementKind.DEALLOCATE))


@dataclasses.dataclass(slots=True)
class OpenTransaction:
    """Open transaction of a session; a connection is acquired for its first statement.

    :param operation: The operation.
    :param is_write: Whether it was opened for writing.
    :param placement: Connection that it runs on; nothing before its first statement and after a failure.
    :param has_written: Whether a write was sent.
    :param failure: Why it failed; a failed transaction can only be ended.
    """

    operation: Operation
    is_write: bool
    placement: Placement | None = None
    has_written: bool = False
    failure: Refused | None = None


class Session:
    """Serves one caller connection until either side closes it.

    :param board: Shared state of the instance.
    :param runner: Runs statements at targets.
    :param metrics: Counters and histograms.
    :param buffers: Memory for what waits on the connections of callers.
    :param caller: Connection of the caller.
    """

    def __init__(
        self,
        board: Board,
        runner: StatementRunner,
        metrics: RelayMetrics,
        buffers: SessionBuffers,
        caller: CallerConnection,
    ) -> None:
        self._board = board
        self._runner = runner
        self._metrics = metrics
        self._caller = caller
        self._database = DatabaseName('')
        self._credential = Credential('')
        self._values: dict[str, str] = {}
        self._shapes_by_name: dict[str, tuple[str, bool]] = {}
        self._commit_position: LogPosition | None = None
        self._reported_position: LogPosition | None = None
        self._transaction: OpenTransaction | None = None
        self._basis = board.configuration_basis()
        self._backlog = CallerBacklog(buffers, caller, board.clock, self._organisation_label)
        self._bad_messages = 0
        self.is_busy = True

    async def run(self) -> None:
        """Open the session and serve its statements until the connection ends."""
        self._metrics.sessions.inc()
        try:
            if await self._open():
                await self._serve_as_active()
        finally:
            self._metrics.sessions.dec()
            self._end_transaction(is_clean=False)
            self._caller.close()
            self._backlog.forget()

    def close_if_idle(self) -> bool:
        """:returns: Whether the session was idle, without transaction or unread input, and has been closed."""
        if self.is_busy or self._transaction is not None or self._caller.has_unread():
            return False
        self._caller.close()
        return True

    async def _open(self) -> bool:
        try:
            message = await asyncio.wait_for(self._caller.receive(), _OPENING_TIMEOUT_S)
        except TimeoutError:
            return False
        if isinstance(message, Closing):
            return False
        if not isinstance(message, Opening):
            detail = message.detail if isinstance(message, BadMessage) else 'the session was not opened'
            self._log_bad_message(detail, message.extent)
            self._caller.reject_session(Refused(refusals.MALFORMED, detail))
            return False
        self._database = message.database
        self._credential = message.credential
        await self._board.await_configuration()
        try:
            self._admit()
        except Refused as refusal:
            log_event(
                'session_refused',
                session=self._caller.peer,
                database=message.database,
                reason=refusal.reason.code,
                **self._basis.pairs(),
            )
            self._metrics.refused.labels(refusal.reason.code).inc()
            self._caller.reject_session(refusal)
            return False
        self._caller.accept_session()
        return True

    async def _serve_as_active(self) -> None:
        """Serve while the session counts as active, so that a token of its organisation is kept in stock."""
        organisation = OrganisationId(self._organisation_label())
        self._board.buckets.add_sessions(organisation, 1)
        try:
            await self._serve()
        finally:
            self._board.buckets.add_sessions(organisation, -1)

    async def _serve(self) -> None:
        while await self._serve_next():
            if self._caller.has_unread():
                # The next message may be answered without a wait, too: other sessions go first.
                await asyncio.sleep(0)

    async def _serve_next(self) -> bool:
        """:returns: Whether the session goes on after the next message."""
        self.is_busy = False
        message = await self._next_message()
        self.is_busy = True
        if isinstance(message, Closing):
            return False
        if isinstance(message, Query):
            self._bad_messages = 0
            await self._handle_query(message)
        elif not self._refuse_bad_message(message):
            return False
        return await self._await_reader()

    def _refuse_bad_message(self, message: BadMessage | Opening) -> bool:
        """:returns: Whether the session can continue after a malformed or unexpected message."""
        detail = message.detail if isinstance(message, BadMessage) else 'the session is already open'
        self._log_bad_message(detail, message.extent if isinstance(message, BadMessage) else NO_EXTENT)
        self._bad_messages += 1
        is_last = self._bad_messages >= _MAX_BAD_MESSAGES
        if is_last:
            detail = f'{detail}; the session ends after {self._bad_messages} such messages in a row'
        self._caller.refuse(Refused(refusals.MALFORMED, detail), self._state(), self._reported_position)
        return isinstance(message, BadMessage) and not (message.is_fatal or is_last)

    async def _await_reader(self) -> bool:
        """:returns: Whether the caller has read its answers in time, so that its next statement may run."""
        began_at = self._board.clock()
        transaction = self._transaction
        is_over = False
        if transaction is not None and transaction.placement is not None:
            idle_s = self._idle_transaction_s()
            is_over = await self._backlog.wait_until_read(idle_s)
            if not is_over:
                self._fail_idle(transaction, idle_s)
        is_over = is_over or await self._backlog.wait_until_read()
        return not self._backlog.end_if_unread(began_at, is_over=is_over)

    def _log_bad_message(self, detail: str, extent: Extent) -> None:
        log_event(
            'bad_message',
            session=self._caller.peer,
            database=self._database or '-',
            organisation=self._organisation_label(),
            offset=extent.offset,
            size=extent.size,
            previous=self._backlog.previous_request,
            detail=detail,
        )
        self._metrics.refused.labels(refusals.MALFORMED.code).inc()

    async def _next_message(self) -> CallerMessage:
        transaction = self._transaction
        if transaction is None or transaction.placement is None:
            return await self._caller.receive()
        idle_s = self._idle_transaction_s()
        receiving = asyncio.ensure_future(self._caller.receive())
        done, _ = await asyncio.wait({receiving}, timeout=idle_s)
        if not done:
            self._fail_idle(transaction, idle_s)
        return await receiving

    def _idle_transaction_s(self) -> float | None:
        configuration = self._board.configuration
        return configuration.idle_transaction_s if configuration else None

    def _fail_idle(self, transaction: OpenTransaction, idle_s: float | None) -> None:
        log_event('transaction_idle', session=self._caller.peer, database=self._database, idle_s=idle_s)
        self._fail_transaction(transaction, Refused(refusals.TRANSACTION_IDLE))

    async def _handle_query(self, query: Query) -> None:
        began_at = self._board.clock()
        self._backlog.previous_request = query.request
        outcome = 'served'
        placement: Placement | None = None
        try:
            placement = await self._dispatch(query, began_at)
        except Refused as refusal:
            outcome = refusal.reason.code
            self._caller.refuse(refusal, self._state(), self._reported_position)
            log_event(
                'refused',
                request=query.request,
                session=self._caller.peer,
                offset=query.extent.offset,
                size=query.extent.size,
                kind=query.statement.kind.value,
                database=self._database,
                reason=outcome,
                verdict=refusal.reason.verdict.value,
                held_ms=round((self._board.clock() - began_at) * 1000, 1),
                detail=refusal.detail,
                **self._basis.pairs(),
            )
            self._metrics.refused.labels(outcome).inc()
            if refusal.reason in {refusals.UNKNOWN_KEY, refusals.UNKNOWN_DATABASE} and self._transaction is None:
                self._caller.close()
        if query.statement.kind not in _LOCAL_KINDS:
            self._metrics.record_statement(
                self._organisation_label(), query.statement.kind, outcome, self._board.clock() - began_at
            )
            if placement is not None:
                self._log_served(query, placement, began_at)

    def _log_served(self, query: Query, placement: Placement, began_at: Instant) -> None:
        now = self._board.clock()
        leader = self._board.permits.record(placement.pooled.target.service)
        log_event(
            'served',
            request=query.request,
            session=self._caller.peer,
            offset=query.extent.offset,
            size=query.extent.size,
            target=placement.pooled.target.target,
            connection=placement.pooled.connection.name,
            ms=round((now - began_at) * 1000, 1),
            leader_term=leader.term if leader is not None else '-',
            **placement.basis(now),
            **self._basis.pairs(),
        )

    async def _dispatch(self, query: Query, began_at: Instant) -> Placement | None:
        """:returns: Where the statement ran; nothing if it was answered without a target."""
        statement = query.statement
        transaction = self._transaction
        if transaction is not None and transaction.failure is not None:
            self._answer_failed(transaction, statement)
            return None
        if statement.kind in _LOCAL_KINDS:
            self._apply_locally(statement)
            self._answer_locally()
            return None
        if transaction is not None:
            return await self._handle_in_transaction(transaction, query, began_at)
        if statement.kind in {StatementKind.COMMIT, StatementKind.ROLLBACK}:
            raise Refused(refusals.MISPLACED, 'no transaction is open')
        operation = await self._start_operation(began_at)
        if statement.kind is StatementKind.BEGIN:
            operation.opens_transaction = True
            self._transaction = OpenTransaction(operation, statement.is_write)
            self._answer_locally()
            return None
        shape = self._shape_of(statement)
        try:
            outcome, placement = await self._runner.run_single(operation, query.request, statement, shape)
        except Refused:
            admission.return_token(self._board, operation)
            raise
        if statement.kind is StatementKind.WRITE or (shape is not None and shape[1]):
            self._record_commit(outcome)
        self._send_outcome(outcome, placement)
        return placement

    def _admit(self) -> tuple[Route, OrganisationId]:
        self._basis = self._board.configuration_basis()
        return admission.admit(self._board, self._database, self._credential)

    async def _start_operation(self, began_at: Instant) -> Operation:
        route, organisation = self._admit()
        await admission.take_token(self._board, route, organisation, began_at)
        return Operation(route, organisation, began_at, self._values, self._commit_position)

    def _apply_locally(self, statement: Statement) -> None:
        if statement.kind is StatementKind.SET:
            # Copied, because operations that are already running keep the values that they started with.
            self._values = {**self._values, statement.name: statement.value}
            if self._transaction is not None:
                self._transaction.operation.values = self._values
        elif statement.kind is StatementKind.PREPARE:
            self._shapes_by_name[statement.name] = (statement.value, statement.is_write)
        elif self._shapes_by_name.pop(statement.name, None) is None:
            raise Refused(refusals.UNKNOWN_STATEMENT, f'{statement.name} is not prepared')

    def _shape_of(self, statement: Statement) -> tuple[str, bool] | None:
        if statement.kind is not StatementKind.EXECUTE:
            return None
        shape = self._shapes_by_name.get(statement.name)
        if shape is None:
            raise Refused(refusals.UNKNOWN_STATEMENT, f'{statement.name} is not prepared')
        return shape

    async def _handle_in_transaction(
        self, transaction: OpenTransaction, query: Query, began_at: Instant
    ) -> Placement | None:
        statement = query.statement
        if statement.kind is StatementKind.ROLLBACK:
            self._end_transaction(is_clean=True)
            self._answer_locally()
            return None
        if statement.kind is StatementKind.BEGIN:
            raise Refused(refusals.MISPLACED, 'a transaction is already open')
        try:
            return await self._execute_in_transaction(transaction, query, began_at)
        except Refused as refusal:
            if refusal.reason is not refusals.UNKNOWN_STATEMENT:
                self._fail_transaction(transaction, refusal)
            if statement.kind is StatementKind.COMMIT:
                self._transaction = None
            raise

    async def _execute_in_transaction(self, transaction: OpenTransaction, query: Query, began_at: Instant) -> Placement:
        statement = query.statement
        self._admit()
        shape = self._shape_of(statement)
        is_write = statement.kind is StatementKind.WRITE or (shape is not None and shape[1])
        # The time limit of each statement counts from its own arrival. The first statement requires data that is
        # at least as recent as what BEGIN required.
        transaction.operation = dataclasses.replace(transaction.operation, began_at=began_at, values=self._values)
        if transaction.placement is None:
            transaction.placement = await self._begin_or_return_token(transaction)
        placement = transaction.placement
        if self._board.is_closed(placement.pooled.target):
            target = placement.pooled.target
            raise Refused(refusals.TRANSACTION_EVACUATED, f'{target.target} in {target.data_centre} gets no more work')
        is_commit = statement.kind is StatementKind.COMMIT
        transaction.has_written = transaction.has_written or is_write
        try:
            if is_commit and transaction.has_written:
                if not self._runner.has_valid_permit(placement):
                    raise Refused(refusals.TRANSACTION_LOST, 'the primary is being replaced', 0.5)
                with InFlightWrite(self._board, transaction.operation):
                    outcome = await self._runner.execute(
                        transaction.operation, placement, query.request, statement, shape
                    )
            else:
                outcome = await self._runner.execute(transaction.operation, placement, query.request, statement, shape)
        except (TimeoutError, TargetLost) as error:
            raise self._lost_refusal(transaction, error, is_commit=is_commit) from error
        if outcome.fault is not None:
            raise outcome.fault
        if is_commit:
            self._finish_commit(transaction, outcome)
        self._send_outcome(outcome, placement)
        return placement

    async def _begin_or_return_token(self, transaction: OpenTransaction) -> Placement:
        try:
            return await self._begin_at_target(transaction)
        except Refused:
            admission.return_token(self._board, transaction.operation)
            raise

    async def _begin_at_target(self, transaction: OpenTransaction) -> Placement:
        tried: set[TargetId] = set()
        operation = transaction.operation
        while True:
            placement = await self._runner.place(operation, needs_primary=transaction.is_write, tried=tried)
            limit_at = self._board.may_wait_until(operation.until)
            placement.pooled.note_limit(limit_at)
            try:
                outcome = await asyncio.wait_for(
                    placement.pooled.connection.begin(is_write=transaction.is_write, after=placement.after),
                    max(limit_at - self._board.clock(), 0),
                )
            except (TimeoutError, TargetLost) as error:
                self._runner.release(placement, is_clean=False)
                if isinstance(error, TargetLost):
                    await self._runner.prepare_after_loss(operation, placement, error, tried)
                else:
                    tried.add(placement.pooled.target.target)
                if self._board.clock() >= self._board.may_wait_until(operation.until):
                    raise Refused(
                        refusals.NO_TARGET,
                        'no target began the transaction within the time limit',
                        _BEGIN_RETRY_AFTER_S,
                    ) from None
                continue
            if outcome.fault is None:
                return dataclasses.replace(placement, has_begun=True)
            self._runner.release(placement, is_clean=outcome.state is SessionState.IDLE)
            await self._runner.prepare_retry(operation, placement, outcome.fault, tried)

    def _lost_refusal(self, transaction: OpenTransaction, error: Exception, *, is_commit: bool) -> Refused:
        if is_commit and transaction.has_written and not isinstance(error, NotSent):
            return Refused(refusals.LOST, str(error) or 'the commit was not answered within its time limit')
        # The target rolls back an uncommitted transaction when its connection ends.
        return Refused(refusals.TRANSACTION_LOST, str(error) or 'the target did not answer')

    def _finish_commit(self, transaction: OpenTransaction, outcome: Outcome) -> None:
        placement = transaction.placement
        if transaction.has_written and placement is not None and not self._runner.has_valid_permit(placement):
            raise Refused(refusals.SUPERSEDED)
        if transaction.has_written:
            self._record_commit(outcome)
        self._transaction = None
        transaction.placement = None
        if placement is not None:
            self._runner.release(placement, is_clean=outcome.state is SessionState.IDLE)

    def _answer_failed(self, transaction: OpenTransaction, statement: Statement) -> None:
        failure = transaction.failure
        if statement.kind is StatementKind.ROLLBACK:
            self._transaction = None
            self._answer_locally()
            return
        if statement.kind is StatementKind.COMMIT:
            self._transaction = None
            raise Refused(refusals.COMMIT_OF_FAILED, failure.detail if failure else '')
        if failure is not None and failure.reason is refusals.TRANSACTION_IDLE:
            # The caller has not been told yet that the transaction timed out.
            transaction.failure = Refused(refusals.TRANSACTION_FAILED)
            raise failure
        raise Refused(refusals.TRANSACTION_FAILED)

    def _fail_transaction(self, transaction: OpenTransaction, refusal: Refused) -> None:
        transaction.failure = refusal
        placement = transaction.placement
        transaction.placement = None
        if placement is not None:
            self._runner.roll_back_and_release(placement)

    def _end_transaction(self, *, is_clean: bool) -> None:
        transaction = self._transaction
        self._transaction = None
        if transaction is not None and transaction.placement is not None:
            if is_clean:
                self._runner.roll_back_and_release(transaction.placement)
            else:
                self._runner.release(transaction.placement, is_clean=False)

    def _record_commit(self, outcome: Outcome) -> None:
        if outcome.position is not None and (self._commit_position is None or outcome.position > self._commit_position):
            self._commit_position = outcome.position

    def _send_outcome(self, outcome: Outcome, placement: Placement) -> None:
        self._reported_position = outcome.position
        role = 'replica' if placement.record is None else 'primary'
        self._metrics.answered.labels(role).inc()
        try:
            self._caller.answer(outcome.rows, outcome.signature, self._state(), self._reported_position)
        except Unsendable as error:
            raise Refused(refusals.LOST, f'the answer cannot be passed on: {error}') from error

    def _answer_locally(self) -> None:
        self._caller.answer((), '-', self._state(), self._reported_position)

    def _state(self) -> SessionState:
        if self._transaction is None:
            return SessionState.IDLE
        return SessionState.FAILED if self._transaction.failure else SessionState.IN_TRANSACTION

    def _organisation_label(self) -> str:
        configuration = self._board.configuration
        known = configuration.organisation_ids_by_credential.get(self._credential) if configuration else None
        return known or admission.ANONYMOUS_ORGANISATION
