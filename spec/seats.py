"""Seats: the main part of a seat never has two users, though the holder may be paused or cut off.

The platform's clock tells a claimant how old the row is; the holder counts from before it wrote.
"""

from collections.abc import Callable
from typing import Any

import z3

from spec.transition import Action, Guard, State, System, only

LEASE = z3.RealVal(15)
DRIFT = z3.RealVal('1/500')
SURELY = LEASE * (1 + DRIFT) / (1 - DRIFT)

_Keep = Callable[[str, Any], Any]

_YES, _NO = z3.BoolVal(val=True), z3.BoolVal(val=False)


def _pass_time(before: State, after: State, keep: _Keep) -> Any:
    later = z3.Real('later')
    return z3.And(later >= before['now'], only(before, after, now=later))


def _send_renewal(before: State, after: State, keep: _Keep) -> Any:
    return z3.And(
        z3.Not(before['renewing']), only(before, after, renewing=_YES, sent_at=before['now'], took_effect=_NO)
    )


def _renewal_takes_effect(before: State, after: State, keep: _Keep) -> Any:
    """The platform carries out the write, perhaps long after it was sent."""
    return z3.And(
        before['renewing'],
        z3.Not(before['took_effect']),
        keep('write only over the row that was read', z3.Not(before['claimed'])),
        only(before, after, took_effect=_YES, changed_at=before['now']),
    )


def _hear_of_renewal(before: State, after: State, keep: _Keep) -> Any:
    start = z3.Real('start')
    return z3.And(
        before['renewing'],
        before['took_effect'],
        start <= before['now'],
        keep('count the lease from before the write', start == before['sent_at']),
        only(before, after, renewing=_NO, lease_at=start),
    )


def _lose_answer(before: State, after: State, keep: _Keep) -> Any:
    return z3.And(before['renewing'], only(before, after, renewing=_NO))


def _claim(before: State, after: State, keep: _Keep) -> Any:
    age = (before['now'] - before['changed_at']) * (1 + DRIFT)
    waited = z3.And(age >= LEASE, keep('wait longer by the drift', age >= SURELY))
    return z3.And(
        z3.Not(before['claimed']), keep('wait for the end of the lease', waited), only(before, after, claimed=_YES)
    )


def _use_both(before: State, after: State, keep: _Keep) -> Any:
    elapsed = (before['now'] - before['lease_at']) * (1 - DRIFT)
    return z3.And(
        before['claimed'], keep('stop at the end of the lease', elapsed < LEASE), only(before, after, doubled=_YES)
    )


def _initial(first: State) -> Any:
    flags = ('renewing', 'took_effect', 'claimed', 'doubled')
    times = ('now', 'lease_at', 'changed_at', 'sent_at')
    return z3.And(*(first[name] == 0 for name in times), *(z3.Not(first[name]) for name in flags))


def _invariant(now: State) -> dict[str, Any]:
    return {
        'times are past': z3.And(
            now['changed_at'] <= now['now'], now['sent_at'] <= now['now'], now['lease_at'] <= now['now']
        ),
        'a lease counts from before its write': now['lease_at'] <= now['changed_at'],
        'a write takes effect after it was sent': z3.Implies(
            z3.And(now['renewing'], now['took_effect']), now['sent_at'] <= now['changed_at']
        ),
        'a claim comes after the lease': z3.Implies(
            now['claimed'], (now['now'] - now['changed_at']) * (1 + DRIFT) >= SURELY
        ),
        'never used twice': z3.Not(now['doubled']),
    }


_REAL, _BOOL = z3.RealSort(), z3.BoolSort()
_SEATS = 'fescuequay_core.seats:SeatController'

SYSTEM = System(
    name='seats',
    sorts={
        'now': _REAL,
        'renewing': _BOOL,
        'sent_at': _REAL,
        'took_effect': _BOOL,
        'changed_at': _REAL,
        'lease_at': _REAL,
        'claimed': _BOOL,
        'doubled': _BOOL,
    },
    initial=_initial,
    actions=(
        Action('time passes, or a process is paused', 'environment', _pass_time),
        Action('the holder sends a renewal', f'{_SEATS}._write', _send_renewal),
        Action('the renewal takes effect', 'environment', _renewal_takes_effect),
        Action('the holder hears of it', f'{_SEATS}._on_written', _hear_of_renewal),
        Action('the answer is lost', 'environment', _lose_answer),
        Action('another instance claims the seat', f'{_SEATS}._claim', _claim),
        Action('both use the seat', f'{_SEATS}.has_main', _use_both),
    ),
    invariant=_invariant,
    properties=lambda now: {'no seat has two users': z3.Not(now['doubled'])},
    guards={
        guard.name: guard
        for guard in (
            Guard('write only over the row that was read', f'{_SEATS}._write'),
            Guard('count the lease from before the write', f'{_SEATS}._on_written'),
            Guard('wait for the end of the lease', f'{_SEATS}._is_free'),
            Guard('wait longer by the drift', 'fescuequay_core.settings:Timing.drift_safe_s'),
            Guard('stop at the end of the lease', f'{_SEATS}.has_main'),
        )
    },
    depth=8,
)
