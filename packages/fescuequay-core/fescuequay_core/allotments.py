"""Token buckets: the share of each organisation's limit that this instance may use."""

import dataclasses
from collections.abc import Iterator
from typing import Final

from fescuequay_core.messages import Loan
from fescuequay_core.types import Instant, ResourceId

#: Duration of its own demand for which a lender keeps tokens back, in seconds.
RESERVE_S: Final = 0.4


@dataclasses.dataclass(slots=True)
class RunningLoan:
    """One loan that has not ended, seen from the lender or the borrower.

    :param loan: The amounts.
    :param until: When it ends on this side.
    """

    loan: Loan
    until: Instant


class Allotment:
    """The part of one limit that this instance may use.

    The share is the base that comes with the seat, minus what is lent, plus what is borrowed. Between two
    changes of the share the bucket refills at a constant rate. Loans that have ended in the meantime are
    removed at their own end times and in order, so that a late update never refills at a rate that had ended.
    Over all instances the shares sum to no more than the limit.

    :param resource: The resource.
    :param now: Present time.
    """

    def __init__(self, resource: ResourceId, now: Instant) -> None:
        self.resource = resource
        self.level = 0.0
        self.base_rate_per_s = 0.0
        self.base_units = 0.0
        self.lent_by_id: dict[str, RunningLoan] = {}
        self.borrowed_by_id: dict[str, RunningLoan] = {}
        self.rate_per_s = 0.0
        self.units = 0.0
        self._updated_at = now
        self._next_change: Instant = float('inf')

    def set_base(self, rate_per_s: float, units: float, now: Instant, *, is_full: bool = False) -> None:
        """Change the base from now on.

        :param rate_per_s: Refill per second.
        :param units: Capacity.
        :param now: Present time.
        :param is_full: Whether the bucket starts full, because no instance can have used it before.
        """
        if not is_full and rate_per_s == self.base_rate_per_s and units == self.base_units:
            return
        self.advance(now)
        self.base_rate_per_s = rate_per_s
        self.base_units = units
        self._recompute()
        if is_full:
            self.level = self.units

    def acquire(self, now: Instant) -> bool:
        """:returns: Whether a token was available, which has then been taken."""
        self.advance(now)
        if self.level < 1:
            return False
        self.level -= 1
        return True

    def advance(self, now: Instant) -> None:
        """Refill the bucket up to now and end the expired loans.

        :param now: Present time.
        """
        while self._next_change <= now:
            self._fill(self._next_change)
            self._end_loans(self._next_change)
        self._fill(now)

    def lend(self, loan: Loan, until: Instant, now: Instant) -> None:
        """Reduce the share and the tokens by a loan.

        :param loan: The amounts; its tokens leave the bucket.
        :param until: When the borrower has certainly stopped using it.
        :param now: Present time.
        """
        self.advance(now)
        self.level -= loan.tokens
        self.lent_by_id[loan.loan_id] = RunningLoan(loan, until)
        self._recompute()

    def borrow(self, loan: Loan, until: Instant, now: Instant) -> None:
        """Add a loan from a peer to the share and the tokens.

        :param loan: The amounts.
        :param until: When it must no longer be used.
        :param now: Present time.
        """
        if until <= now:
            return
        self.advance(now)
        self.borrowed_by_id[loan.loan_id] = RunningLoan(loan, until)
        self._recompute()
        self.level = min(self.level + min(loan.tokens, loan.units), self.units)

    def renew(self, loan_id: str, until: Instant, now: Instant, *, is_lender: bool) -> bool:
        """Extend a running loan.

        :param loan_id: The loan.
        :param until: Its new end.
        :param now: Present time.
        :param is_lender: Whether this side lent it.
        :returns: Whether the loan was still running.
        """
        self.advance(now)
        loans = self.lent_by_id if is_lender else self.borrowed_by_id
        running = loans.get(loan_id)
        if running is None:
            return False
        running.until = max(running.until, until)
        self._recompute()
        return True

    def end_loan(self, loan_id: str, now: Instant, *, is_lender: bool) -> None:
        """End a loan early. The borrower ends it before it tells the lender.

        :param loan_id: The loan.
        :param now: Present time.
        :param is_lender: Whether this side lent it.
        """
        self.advance(now)
        loans = self.lent_by_id if is_lender else self.borrowed_by_id
        if loans.pop(loan_id, None) is not None:
            self._recompute()

    def lendable(self, need_per_s: float, now: Instant) -> tuple[float, float]:
        """Compute how much can be lent; only the base is ever lent, never a borrowed part.

        :param need_per_s: Refill per second that this instance needs itself.
        :param now: Present time.
        :returns: Refill per second and tokens.
        """
        self.advance(now)
        own_rate = self.base_rate_per_s - sum(lent.loan.rate_per_s for lent in self.lent_by_id.values())
        own_units = self.base_units - sum(lent.loan.units for lent in self.lent_by_id.values())
        if own_rate <= 0 or own_units <= 0:
            return 0.0, 0.0
        # Tokens beyond the reserve can be lent even if no refill can.
        tokens = max(min(self.level, own_units) - need_per_s * RESERVE_S, 0.0)
        return max(own_rate - need_per_s, 0.0), tokens

    def _fill(self, until: Instant) -> None:
        if until > self._updated_at:
            self.level = min(self.units, self.level + self.rate_per_s * (until - self._updated_at))
            self._updated_at = until

    def _end_loans(self, now: Instant) -> None:
        for loans in (self.lent_by_id, self.borrowed_by_id):
            for loan_id in tuple(_expired_loan_ids(loans, now)):
                loans.pop(loan_id)
        self._recompute()

    def _recompute(self) -> None:
        borrowed = self.borrowed_by_id.values()
        lent = self.lent_by_id.values()
        # Borrowed amounts never offset lent ones: if the base has shrunk below what is lent, the own share
        # counts as zero, so that the lent part is not granted twice.
        own_rate = self.base_rate_per_s - sum(running.loan.rate_per_s for running in lent)
        own_units = self.base_units - sum(running.loan.units for running in lent)
        self.rate_per_s = max(own_rate, 0.0) + sum(running.loan.rate_per_s for running in borrowed)
        self.units = max(own_units, 0.0) + sum(running.loan.units for running in borrowed)
        self.level = min(self.level, self.units)
        ends = [running.until for running in (*lent, *borrowed)]
        self._next_change = min(ends, default=float('inf'))


def _expired_loan_ids(loans: dict[str, RunningLoan], now: Instant) -> Iterator[str]:
    return (loan_id for loan_id, running in loans.items() if running.until <= now)
