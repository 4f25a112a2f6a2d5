"""Loans: the lender and the borrower never use the same loan at once, even if messages are lost, repeated or late.

Times are in true time; clocks run at between 1 - DRIFT and 1 + DRIFT times its rate.
"""

from collections.abc import Callable
from typing import Any

import z3

from spec.transition import Action, Guard, State, System, update

LOAN = z3.RealVal(2)
DRIFT = z3.RealVal('1/500')
DRIFT_SAFE_LOAN = LOAN * (1 + DRIFT) / (1 - DRIFT)

_ApplyGuard = Callable[[str, Any], Any]

_YES, _NO = z3.BoolVal(val=True), z3.BoolVal(val=False)


def _pass_time(before: State, after: State, guard: _ApplyGuard) -> Any:
    later = z3.Real('later')
    return z3.And(later >= before['now'], update(before, after, now=later))


def _request(before: State, after: State, guard: _ApplyGuard) -> Any:
    return z3.And(
        z3.Not(before['requested']), z3.Not(before['lent']), z3.Not(before['answered']),
        update(before, after, requested=_YES, requested_at=before['now']),
    )  # fmt: skip


def _lend(before: State, after: State, guard: _ApplyGuard) -> Any:
    reduced = z3.Bool('reduced')
    return z3.And(
        before['requested'],
        z3.Not(before['lent']),
        z3.Not(before['answered']),
        guard('reduce the lender before answering', reduced),
        update(before, after, lent=reduced, lent_at=before['now'], answered=_YES),
    )


def _borrow(before: State, after: State, guard: _ApplyGuard) -> Any:
    """The answer arrives, possibly more than once and at any later time."""
    start = z3.Real('start')
    return z3.And(
        before['answered'],
        start <= before['now'],
        start >= before['requested_at'],
        guard('start the loan at the request', start == before['requested_at']),
        update(before, after, borrowed=_YES, loan_from=start),
    )


def _reclaim(before: State, after: State, guard: _ApplyGuard) -> Any:
    elapsed = (before['now'] - before['lent_at']) * (1 + DRIFT)
    return z3.And(
        before['lent'],
        guard(
            'wait for the end of the loan',
            z3.And(elapsed >= LOAN, guard('extend the wait by the clock drift', elapsed >= DRIFT_SAFE_LOAN)),
        ),
        update(before, after, lent=_NO),
    )


def _use_both(before: State, after: State, guard: _ApplyGuard) -> Any:
    """Both sides use the loan at once, if the rules of each allow it."""
    elapsed = (before['now'] - before['loan_from']) * (1 - DRIFT)
    return z3.And(
        z3.Not(before['lent']),
        before['borrowed'],
        guard('stop at the end of the loan', elapsed < LOAN),
        update(before, after, used_twice=_YES),
    )


def _return_early(before: State, after: State, guard: _ApplyGuard) -> Any:
    borrowed = z3.Bool('borrowed_after')
    return z3.And(
        before['lent'],
        before['borrowed'],
        guard('stop using a loan before returning it', z3.Not(borrowed)),
        # The borrower forgets the request's id with the answer, so a repeated answer is ignored.
        update(before, after, lent=_NO, borrowed=borrowed, answered=_NO, requested=_NO),
    )


def _initial(first: State) -> Any:
    return z3.And(
        first['now'] == 0,
        *(z3.Not(first[name]) for name in ('requested', 'lent', 'answered', 'borrowed', 'used_twice')),
    )


def _invariant(now: State) -> dict[str, Any]:
    return {
        'times are not in the future': z3.And(
            z3.Implies(z3.Or(now['answered'], now['lent']), now['lent_at'] <= now['now']),
            z3.Implies(now['requested'], now['requested_at'] <= now['now']),
        ),
        'an answer follows its request': z3.Implies(
            now['answered'], z3.And(now['requested'], now['requested_at'] <= now['lent_at'])
        ),
        'a loan starts at its request': z3.Implies(
            now['borrowed'], z3.And(now['answered'], now['loan_from'] == now['requested_at'])
        ),
        'a loan is reclaimed only after it expired': z3.Implies(
            z3.And(now['answered'], z3.Not(now['lent'])), (now['now'] - now['lent_at']) * (1 + DRIFT) >= DRIFT_SAFE_LOAN
        ),
        'a loan is never used by both sides': z3.Not(now['used_twice']),
    }


_REAL, _BOOL = z3.RealSort(), z3.BoolSort()
_LIMITS, _ALLOTMENT = 'fescuequay_core.limits:LimitController', 'fescuequay_core.allotments:Allotment'

SYSTEM = System(
    name='loans',
    sorts={
        'now': _REAL,
        'requested': _BOOL,
        'requested_at': _REAL,
        'lent': _BOOL,
        'lent_at': _REAL,
        'answered': _BOOL,
        'borrowed': _BOOL,
        'loan_from': _REAL,
        'used_twice': _BOOL,
    },
    initial=_initial,
    actions=(
        Action('time passes, or a process is paused', 'environment', _pass_time),
        Action('the borrower requests a loan', f'{_LIMITS}._request_loans', _request),
        Action('the lender lends and answers', f'{_LIMITS}._lend', _lend),
        Action('the answer arrives', f'{_LIMITS}._receive_loans', _borrow),
        Action('the lender reclaims the loan', f'{_ALLOTMENT}._end_loans', _reclaim),
        Action('the borrower returns the loan', f'{_LIMITS}._return_loans', _return_early),
        Action('both use the loan', f'{_ALLOTMENT}.acquire', _use_both),
    ),
    invariant=_invariant,
    properties=lambda now: {'no share of a limit is used by both sides': z3.Not(now['used_twice'])},
    guards={
        guard.name: guard
        for guard in (
            Guard('reduce the lender before answering', f'{_ALLOTMENT}.lend'),
            Guard('start the loan at the request', f'{_LIMITS}._receive_loans'),
            Guard('wait for the end of the loan', f'{_ALLOTMENT}._end_loans'),
            Guard('extend the wait by the clock drift', 'fescuequay_core.settings:Timing.drift_safe_s'),
            Guard('stop at the end of the loan', f'{_ALLOTMENT}.advance'),
            Guard('stop using a loan before returning it', f'{_LIMITS}._return_loans'),
        )
    },
    depth=7,
)
