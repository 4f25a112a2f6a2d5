"""Execution of requests at targets, with an exact verdict on whether they may have run."""

import asyncio
import time
from typing import Final

import msgspec

from fescuequay_core import verdicts
from fescuequay_core.commands import Execute
from fescuequay_core.exceptions import FescuequayError
from fescuequay_core.requests import Outcome, Request, ResultSet, Statement
from fescuequay_core.types import RequestKind, TargetId, TransactionId, Verdict
from fescuequay_core.verdicts import Reason, Refusal
from fescuequay_entry.driver import AnswerTooLargeError, ConnectError, Connection, TargetError
from fescuequay_entry.pool import Pool

#: Minimum timeout, in seconds, so that a request whose deadline has passed still ends as a timeout.
_MIN_TIMEOUT_S: Final = 0.001

_BEGIN: Final = Statement('begin')
_BEGIN_READ_ONLY: Final = Statement('begin read only')
_COMMIT: Final = Statement('commit')
_ROLLBACK: Final = Statement('rollback')

_CREATE_RECORDS: Final = Statement(
    'create table if not exists fescuequay_idempotency ('
    'organisation text not null, idempotency_key text not null, fingerprint text not null, '
    'answer text not null, primary key (organisation, idempotency_key))'
)
_INSERT_RECORD: Final = (
    'insert into fescuequay_idempotency (organisation, idempotency_key, fingerprint, answer) '
    "values ($1, $2, $3, '') on conflict do nothing"
)
_UPDATE_RECORD: Final = 'update fescuequay_idempotency set answer = $3 where organisation = $1 and idempotency_key = $2'
_SELECT_RECORD: Final = (
    'select fingerprint, answer from fescuequay_idempotency where organisation = $1 and idempotency_key = $2'
)

#: Command tags of statements that end a transaction.
_TRANSACTION_END_TAGS: Final = frozenset(('COMMIT', 'ROLLBACK', 'PREPARE'))


class _KeyReusedError(Exception):
    """An idempotency key was reused with other statements."""


class _RecordedAnswer(Exception):  # noqa: N818
    """The request already ran; its idempotency record holds the first answer."""

    def __init__(self, results: tuple[ResultSet, ...]) -> None:
        super().__init__()
        self.results = results


class _ResultRows(msgspec.Struct, frozen=True):
    rows: list[list[object]]
    row_count: int = 0


class Executor:
    """Carries out ``Execute`` commands on connections from the pools of the targets.

    :param pools_by_target: Pool of each target, kept up to date by the host.
    """

    def __init__(self, pools_by_target: dict[TargetId, Pool]) -> None:
        self._pools = pools_by_target
        self._connections_by_transaction: dict[TransactionId, tuple[Connection, Pool]] = {}

    async def run(self, command: Execute) -> Outcome:
        """Run one request until its deadline.

        :param command: Request and target.
        :returns: The outcome; errors of the target are part of it and never raised.
        """
        progress = _Progress()
        remaining_s = max(command.request.deadline - time.monotonic(), _MIN_TIMEOUT_S)
        try:
            async with asyncio.timeout(remaining_s):
                return await self._run_kind(command, progress)
        except _RecordedAnswer as recorded:
            return Outcome(Verdict.RAN, recorded.results, is_repeat=True)
        except TimeoutError:
            detail = f'the target {command.target!r} did not answer before the deadline'
            return _failure(verdicts.DEADLINE, progress.verdict, detail)
        except (FescuequayError, _SessionViolationError, _KeyReusedError) as error:
            return _outcome_of(error, progress, is_read_only=command.is_read_only)

    async def _run_kind(self, command: Execute, progress: '_Progress') -> Outcome:
        kind = command.request.kind
        if kind in {RequestKind.STATEMENT, RequestKind.BATCH}:
            return await self._run_standalone(command, progress)
        if kind is RequestKind.BEGIN:
            return await self._begin_transaction(command)
        return await self._continue_transaction(command, progress)

    async def _run_standalone(self, command: Execute, progress: '_Progress') -> Outcome:
        pool = self._pool(command.target)
        connection = await pool.acquire(is_read_only=command.is_read_only)
        try:
            results = await self._run_on_connection(connection, command, progress)
        except (TargetError, _KeyReusedError, _RecordedAnswer):
            pool.release(connection)
            raise
        except asyncio.CancelledError:
            pool.cancel_and_close(connection)
            pool.close_idle()
            raise
        except BaseException:
            pool.discard(connection)
            pool.close_idle()
            raise
        pool.release(connection)
        return Outcome(Verdict.RAN, results)

    async def _run_on_connection(
        self, connection: Connection, command: Execute, progress: '_Progress'
    ) -> tuple[ResultSet, ...]:
        request = command.request
        await _set_access_mode(connection, command)
        if request.kind is RequestKind.STATEMENT and request.idempotency_key is None:
            progress.may_have_run = not command.is_read_only
            result = await connection.execute(request.statements[0])
            if not connection.is_clean:
                raise _SessionViolationError(Verdict.MAY_HAVE_RUN)
            return (result,)
        await connection.execute(_BEGIN_READ_ONLY if command.is_read_only else _BEGIN)
        progress.is_in_transaction = True
        try:
            results = await _run_statements(connection, command)
        except (TargetError, AnswerTooLargeError, _RecordedAnswer, _KeyReusedError):
            await connection.execute(_ROLLBACK)
            raise
        progress.may_have_run = not command.is_read_only
        await connection.execute(_COMMIT)
        return results

    async def _begin_transaction(self, command: Execute) -> Outcome:
        pool = self._pool(command.target)
        connection = await pool.acquire(is_read_only=command.is_read_only)
        try:
            await _set_access_mode(connection, command)
            await connection.execute(_BEGIN_READ_ONLY if command.is_read_only else _BEGIN)
        except BaseException:
            pool.discard(connection)
            raise
        if command.transaction is not None:
            self._connections_by_transaction[command.transaction] = (connection, pool)
        return Outcome(Verdict.RAN)

    async def _continue_transaction(self, command: Execute, progress: '_Progress') -> Outcome:
        transaction = command.transaction
        connection_and_pool = self._connections_by_transaction.get(transaction) if transaction is not None else None
        if connection_and_pool is None or transaction is None:
            return _failure(
                verdicts.UNKNOWN_TRANSACTION, Verdict.NOT_RUN, f'there is no open transaction {transaction!r}'
            )
        connection, pool = connection_and_pool
        progress.is_in_transaction = True
        try:
            outcome = await self._run_in_transaction(connection, command.request, progress)
        except TargetError:
            if command.request.kind is not RequestKind.IN_TRANSACTION:
                self._release_transaction(transaction)
            raise
        except BaseException:
            self._connections_by_transaction.pop(transaction, None)
            pool.cancel_and_close(connection)
            raise
        if command.request.kind is not RequestKind.IN_TRANSACTION:
            self._release_transaction(transaction)
        return outcome

    async def _run_in_transaction(self, connection: Connection, request: Request, progress: '_Progress') -> Outcome:
        if request.kind is RequestKind.ROLLBACK:
            await connection.execute(_ROLLBACK)
            return Outcome(Verdict.RAN)
        if request.kind is RequestKind.COMMIT:
            return await _commit(connection, progress)
        return Outcome(Verdict.RAN, await _run_checked(connection, request.statements))

    def _release_transaction(self, transaction: TransactionId) -> None:
        connection_and_pool = self._connections_by_transaction.pop(transaction, None)
        if connection_and_pool is not None:
            connection_and_pool[1].release(connection_and_pool[0])

    def _pool(self, target: TargetId) -> Pool:
        pool = self._pools.get(target)
        if pool is None:
            raise ConnectError(f'this instance holds no connections to {target!r}')
        return pool


class _SessionViolationError(Exception):
    """A statement ended its transaction or changed the session state of its connection."""

    def __init__(self, verdict: Verdict) -> None:
        super().__init__('a statement may not begin or end transactions or change settings of the connection')
        self.verdict = verdict


class _Progress:
    """Progress of an execution, from which the verdict is derived."""

    def __init__(self) -> None:
        self.is_in_transaction = False
        self.may_have_run = False

    @property
    def verdict(self) -> Verdict:
        """:returns: The verdict if the connection is lost now.

        The target rolls back a transaction for which no commit was sent.
        """
        return Verdict.MAY_HAVE_RUN if self.may_have_run else Verdict.NOT_RUN

    @property
    def large_answer_verdict(self) -> Verdict:
        """:returns: The verdict if the answer is too large; an open transaction is then rolled back."""
        return Verdict.NOT_RUN if self.is_in_transaction else Verdict.RAN


async def _set_access_mode(connection: Connection, command: Execute) -> None:
    """Make the connection read-only for a read, so that the target rejects a write declared as a read."""
    if connection.is_read_only is not command.is_read_only:
        await connection.set_read_only(is_read_only=command.is_read_only)


async def _run_statements(connection: Connection, command: Execute) -> tuple[ResultSet, ...]:
    request = command.request
    if request.idempotency_key is None or command.is_read_only:
        return await _run_checked(connection, request.statements)
    record_key = (command.organisation, request.idempotency_key)
    await connection.execute(_CREATE_RECORDS)
    inserted = await connection.execute(Statement(_INSERT_RECORD, (*record_key, request.fingerprint)))
    if msgspec.json.decode(inserted.body, type=_ResultRows).row_count == 0:
        await _raise_recorded_answer(connection, record_key, request.fingerprint)
    results = await _run_checked(connection, request.statements)
    answer = msgspec.json.encode([msgspec.Raw(result.body) for result in results]).decode()
    await connection.execute(Statement(_UPDATE_RECORD, (*record_key, answer)))
    return results


async def _run_checked(connection: Connection, statements: tuple[Statement, ...]) -> tuple[ResultSet, ...]:
    """Run the statements of a transaction and check that none ends it or makes a read-only one writable."""
    results = []
    for statement in statements:
        results.append(await connection.execute(statement))
        if not connection.is_transaction_intact:
            # Only the target's answer shows what a statement did, so the check follows each statement.
            has_ended = results[-1].tag in _TRANSACTION_END_TAGS
            raise _SessionViolationError(Verdict.MAY_HAVE_RUN if has_ended else Verdict.NOT_RUN)
    return tuple(results)


async def _raise_recorded_answer(connection: Connection, record_key: tuple[str, str], fingerprint: str) -> None:
    found = await connection.execute(Statement(_SELECT_RECORD, record_key))
    row = msgspec.json.decode(found.body, type=_ResultRows).rows[0]
    if row[0] != fingerprint:
        raise _KeyReusedError(f'the idempotency key {record_key[1]!r} was used with other statements')
    bodies = msgspec.json.decode(str(row[1]), type=list[msgspec.Raw])
    raise _RecordedAnswer(tuple(ResultSet(bytes(body)) for body in bodies))


async def _commit(connection: Connection, progress: _Progress) -> Outcome:
    progress.may_have_run = True
    result = await connection.execute(_COMMIT)
    # A target answers COMMIT of a failed transaction with the tag ROLLBACK.
    if result.tag == 'ROLLBACK':
        return _failure(verdicts.STATEMENT_FAILED, Verdict.NOT_RUN, 'the transaction had failed and was rolled back')
    return Outcome(Verdict.RAN)


def _outcome_of(error: Exception, progress: _Progress, *, is_read_only: bool) -> Outcome:
    if isinstance(error, TargetError):
        return _outcome_of_rejection(error, progress, is_read_only=is_read_only)
    if isinstance(error, ConnectError):
        return _failure(verdicts.CONNECTION_LOST, Verdict.NOT_RUN, str(error), is_retryable=True)
    if isinstance(error, AnswerTooLargeError):
        return _failure(verdicts.ANSWER_TOO_LARGE, progress.large_answer_verdict, str(error))
    if isinstance(error, _SessionViolationError):
        return _failure(verdicts.BAD_REQUEST, error.verdict, str(error))
    if isinstance(error, _KeyReusedError):
        return _failure(verdicts.KEY_REUSED, Verdict.NOT_RUN, str(error))
    return _failure(verdicts.CONNECTION_LOST, progress.verdict, str(error), is_retryable=True)


def _outcome_of_rejection(error: TargetError, progress: _Progress, *, is_read_only: bool) -> Outcome:
    detail = f'{error} (SQLSTATE {error.code})'
    if error.is_not_primary and not is_read_only:
        return _failure(verdicts.NO_PRIMARY, Verdict.NOT_RUN, detail, is_retryable=not progress.is_in_transaction)
    return _failure(verdicts.STATEMENT_FAILED, Verdict.NOT_RUN, detail)


def _failure(reason: Reason, verdict: Verdict, detail: str, *, is_retryable: bool = False) -> Outcome:
    return Outcome(verdict, refusal=Refusal(reason, verdict, detail), is_retryable=is_retryable)
