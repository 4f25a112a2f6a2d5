"""Loans: lender and borrower never both use the lent part, whatever is lost, doubled or late.

Clocks run at a rate between 1 - DRIFT and 1 + DRIFT of true time; times here are true times.
"""

from collections.abc import Callable
from typing import Any

import z3

from spec.transition import Action, Guard, State, System, only

LENGTH = z3.RealVal(2)
DRIFT = z3.RealVal('1/500')
SURELY = LENGTH * (1 + DRIFT) / (1 - DRIFT)

_Keep = Callable[[str, Any], Any]

_YES, _NO = z3.BoolVal(val=True), z3.BoolVal(val=False)


def _pass_time(before: State, after: State, keep: _Keep) -> Any:
    later = z3.Real('later')
    return z3.And(later >= before['now'], only(before, after, now=later))


def _ask(before: State, after: State, keep: _Keep) -> Any:
    return z3.And(
        z3.Not(before['asking']), z3.Not(before['lent']), z3.Not(before['answered']),
        only(before, after, asking=_YES, asked_at=before['now']),
    )  # fmt: skip


def _lend(before: State, after: State, keep: _Keep) -> Any:
    reduced = z3.Bool('reduced')
    return z3.And(
        before['asking'],
        z3.Not(before['lent']),
        z3.Not(before['answered']),
        keep('reduce the lender before answering', reduced),
        only(before, after, lent=reduced, lent_at=before['now'], answered=_YES),
    )


def _borrow(before: State, after: State, keep: _Keep) -> Any:
    """The answer arrives; it may arrive again at any later time."""
    start = z3.Real('start')
    return z3.And(
        before['answered'],
        start <= before['now'],
        start >= before['asked_at'],
        keep('count the loan from the asking', start == before['asked_at']),
        only(before, after, borrowed=_YES, from_at=start),
    )


def _take_back(before: State, after: State, keep: _Keep) -> Any:
    elapsed = (before['now'] - before['lent_at']) * (1 + DRIFT)
    return z3.And(
        before['lent'],
        keep(
            'wait for the end of the loan',
            z3.And(elapsed >= LENGTH, keep('wait longer by the drift', elapsed >= SURELY)),
        ),
        only(before, after, lent=_NO),
    )


def _use_both(before: State, after: State, keep: _Keep) -> Any:
    """Both sides use the part at the same moment, if their own rules let them."""
    elapsed = (before['now'] - before['from_at']) * (1 - DRIFT)
    return z3.And(
        z3.Not(before['lent']),
        before['borrowed'],
        keep('stop at the end of the loan', elapsed < LENGTH),
        only(before, after, doubled=_YES),
    )


def _return_early(before: State, after: State, keep: _Keep) -> Any:
    borrowed = z3.Bool('still_borrowed')
    return z3.And(
        before['lent'],
        before['borrowed'],
        keep('stop using a part before returning it', z3.Not(borrowed)),
        # The answer is taken once: the request's identity is forgotten with it.
        only(before, after, lent=_NO, borrowed=borrowed, answered=_NO, asking=_NO),
    )


def _initial(first: State) -> Any:
    return z3.And(
        first['now'] == 0,
        *(z3.Not(first[name]) for name in ('asking', 'lent', 'answered', 'borrowed', 'doubled')),
    )


def _invariant(now: State) -> dict[str, Any]:
    return {
        'times are past': z3.And(
            z3.Implies(z3.Or(now['answered'], now['lent']), now['lent_at'] <= now['now']),
            z3.Implies(now['asking'], now['asked_at'] <= now['now']),
        ),
        'an answer follows its request': z3.Implies(
            now['answered'], z3.And(now['asking'], now['asked_at'] <= now['lent_at'])
        ),
        'a loan counts from its request': z3.Implies(
            now['borrowed'], z3.And(now['answered'], now['from_at'] == now['asked_at'])
        ),
        'a part that was lent comes back late': z3.Implies(
            z3.And(now['answered'], z3.Not(now['lent'])), (now['now'] - now['lent_at']) * (1 + DRIFT) >= SURELY
        ),
        'never used twice': z3.Not(now['doubled']),
    }


_REAL, _BOOL = z3.RealSort(), z3.BoolSort()
_LIMITS, _ALLOTMENT = 'fescuequay_core.limits:LimitController', 'fescuequay_core.allotments:Allotment'

SYSTEM = System(
    name='loans',
    sorts={
        'now': _REAL,
        'asking': _BOOL,
        'asked_at': _REAL,
        'lent': _BOOL,
        'lent_at': _REAL,
        'answered': _BOOL,
        'borrowed': _BOOL,
        'from_at': _REAL,
        'doubled': _BOOL,
    },
    initial=_initial,
    actions=(
        Action('time passes, or a process is paused', 'environment', _pass_time),
        Action('the borrower asks', f'{_LIMITS}._request_loans', _ask),
        Action('the lender lends and answers', f'{_LIMITS}._lend', _lend),
        Action('the answer arrives', f'{_LIMITS}._receive_loans', _borrow),
        Action('the lender takes the part back', f'{_ALLOTMENT}._end_loans', _take_back),
        Action('the borrower returns the part', f'{_LIMITS}._return_loans', _return_early),
        Action('both use the part', f'{_ALLOTMENT}.acquire', _use_both),
    ),
    invariant=_invariant,
    properties=lambda now: {'no part of a limit is used twice': z3.Not(now['doubled'])},
    guards={
        guard.name: guard
        for guard in (
            Guard('reduce the lender before answering', f'{_ALLOTMENT}.lend'),
            Guard('count the loan from the asking', f'{_LIMITS}._receive_loans'),
            Guard('wait for the end of the loan', f'{_ALLOTMENT}._end_loans'),
            Guard('wait longer by the drift', 'fescuequay_core.settings:Timing.drift_safe_s'),
            Guard('stop at the end of the loan', f'{_ALLOTMENT}.advance'),
            Guard('stop using a part before returning it', f'{_LIMITS}._return_loans'),
        )
    },
    depth=7,
)
