"""Charges requests to their organisation's rate limit and queues those that wait for a loan."""

import collections
from collections.abc import Iterator

from fescuequay_core import verdicts
from fescuequay_core.access import refuse
from fescuequay_core.blackboard import Blackboard, Pending
from fescuequay_core.commands import Command
from fescuequay_core.limits import Admission, LimitController
from fescuequay_core.types import Instant, OrganisationId, RequestKind
from fescuequay_core.verdicts import Refusal

#: Ending a transaction is not charged, so that a rate limit never delays the release of its locks.
_FREE_KINDS = frozenset((RequestKind.COMMIT, RequestKind.ROLLBACK))


class ChargeQueue:
    """Charges requests; those that wait for a loan keep their order of arrival within an organisation.

    :param board: The blackboard.
    :param limits: The rate limits.
    """

    def __init__(self, board: Blackboard, limits: LimitController) -> None:
        self._board = board
        self._limits = limits
        self._waiting: dict[OrganisationId, collections.deque[Pending]] = collections.defaultdict(collections.deque)

    def charge(self, pending: Pending, now: Instant) -> Admission:
        """Charge a request that has just arrived.

        :param pending: The request.
        :param now: Present time.
        :returns: Whether it is admitted; with ``WAIT``, ``resolve`` yields it later.
        """
        if pending.request.is_charged or pending.request.kind in _FREE_KINDS:
            return Admission.GRANTED
        admission = self._limits.admit(pending.organisation, now)
        if admission is Admission.WAIT and not self._board.peers_by_id:
            return Admission.REFUSED
        if admission is Admission.WAIT:
            self._waiting[pending.organisation].append(pending)
        return admission

    def request_loans(self, organisation: OrganisationId, now: Instant) -> Iterator[Command]:
        """Request loans from peers for the waiting requests of an organisation.

        :param organisation: The organisation.
        :param now: Present time.
        """
        yield from self._limits.request_tokens(organisation, len(self._waiting[organisation]), now)

    def resolve(self, now: Instant) -> Iterator[tuple[Pending, Admission]]:
        """Iterate over the waiting requests that can be charged now or whose wait has timed out.

        :param now: Present time.
        :returns: Each request with ``GRANTED`` or ``REFUSED``.
        """
        for organisation, waiting in self._waiting.items():
            while waiting:
                admission = self._limits.admit(organisation, now, is_retry=True)
                if admission is Admission.WAIT and not self._has_waited(waiting[0], now):
                    break
                is_granted = admission is Admission.GRANTED
                yield waiting.popleft(), Admission.GRANTED if is_granted else Admission.REFUSED

    def waiting_organisations(self) -> Iterator[OrganisationId]:
        """:returns: Organisations with waiting requests."""
        return (organisation for organisation, waiting in self._waiting.items() if waiting)

    def refusal(self, pending: Pending) -> Refusal:
        """:returns: The refusal of a request over the limit, with the time after which to retry."""
        retry_after_s = self._limits.retry_after_s(pending.organisation)
        detail = f'the organisation {pending.organisation!r} has used up its rate'
        return refuse(verdicts.RATE_EXCEEDED, detail, retry_after_s)

    def _has_waited(self, pending: Pending, now: Instant) -> bool:
        return now - pending.arrived_at >= self._board.timing.loan_wait_s
