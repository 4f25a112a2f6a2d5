"""Interactive transactions, each bound to one connection of one instance."""

from collections.abc import Iterator
from typing import Final

from fescuequay_core import verdicts
from fescuequay_core.access import refuse
from fescuequay_core.blackboard import Blackboard, Pending, Transaction
from fescuequay_core.commands import Execute
from fescuequay_core.requests import Outcome, Request
from fescuequay_core.types import InstanceId, Instant, RequestId, RequestKind, RouteId, TransactionId
from fescuequay_core.verdicts import Refusal

_SEPARATOR: Final = '~'

_ENDING_KINDS: Final = frozenset((RequestKind.COMMIT, RequestKind.ROLLBACK))


class TransactionRegistry:
    """Registers the open transactions and runs one statement of each at a time.

    :param board: The blackboard.
    """

    def __init__(self, board: Blackboard) -> None:
        self._board = board

    def new_id(self, request_id: RequestId) -> TransactionId:
        """:returns: The id of the transaction that a request opens, which contains the id of this instance."""
        return TransactionId(f'{self._board.instance}{_SEPARATOR}{request_id}')

    def owner_of(self, transaction: TransactionId | None) -> InstanceId | None:
        """:returns: The instance that holds a transaction, as its id says."""
        if transaction is None or _SEPARATOR not in transaction:
            return None
        return InstanceId(transaction.split(_SEPARATOR, 1)[0])

    def acquire(self, pending: Pending) -> Transaction | Refusal:
        """Reserve the transaction of a request for one execution.

        :param pending: The request.
        :returns: The transaction, or why it cannot be used.
        """
        name = pending.request.transaction
        transaction = self._board.transactions_by_id.get(name) if name else None
        # A transaction of another organisation is reported like one that does not exist.
        if transaction is None or transaction.organisation != pending.organisation:
            return refuse(verdicts.UNKNOWN_TRANSACTION, f'there is no open transaction {name!r}')
        if transaction.is_busy:
            return refuse(verdicts.BAD_REQUEST, f'a statement of the transaction {name!r} still runs')
        transaction.is_busy = True
        return transaction

    def on_ended(self, pending: Pending, outcome: Outcome, now: Instant) -> None:
        """Update a transaction after one of its requests ended.

        :param pending: The request.
        :param outcome: How it ended.
        :param now: Present time.
        """
        if pending.request.kind is RequestKind.BEGIN:
            self._begin(pending, outcome, now)
            return
        name = pending.request.transaction
        transaction = self._board.transactions_by_id.get(name) if name else None
        if transaction is None:
            return
        transaction.is_busy = False
        transaction.used_at = now
        is_lost = outcome.refusal is not None and outcome.refusal.reason is not verdicts.STATEMENT_FAILED
        if pending.request.kind in _ENDING_KINDS or is_lost:
            self._remove(transaction)

    def expire(self, now: Instant) -> Iterator[Execute]:
        """Roll back the transactions that have been idle for too long.

        :param now: Present time.
        """
        for transaction in tuple(self._board.transactions_by_id.values()):
            is_idle = not transaction.is_busy and now - transaction.used_at > self._board.timing.transaction_idle_s
            if is_idle:
                self._remove(transaction)
                name = RequestId(f'idle-{transaction.transaction}')
                request = Request(name, RequestKind.ROLLBACK, RouteId(''), now + 1, transaction=transaction.transaction)
                yield Execute(request, transaction.target, transaction.is_read, transaction.transaction, '')

    def _begin(self, pending: Pending, outcome: Outcome, now: Instant) -> None:
        if outcome.refusal is not None or pending.target is None or pending.term is None:
            self._release_connection(pending)
            return
        transaction = Transaction(
            transaction=self.new_id(pending.request.request_id),
            organisation=pending.organisation,
            group=pending.group,
            target=pending.target,
            term=pending.term,
            is_read=pending.is_read,
            is_busy=False,
            used_at=now,
            session=pending.session,
        )
        self._board.transactions_by_id[transaction.transaction] = transaction

    def _remove(self, transaction: Transaction) -> None:
        self._board.transactions_by_id.pop(transaction.transaction, None)
        view = self._board.view_of(transaction.target)
        view.in_flight = max(view.in_flight - 1, 0)

    def _release_connection(self, pending: Pending) -> None:
        if pending.target is not None:
            view = self._board.view_of(pending.target)
            view.in_flight = max(view.in_flight - 1, 0)
