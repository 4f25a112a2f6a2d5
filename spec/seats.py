"""Seats: the main share of a seat never has two users, even if its holder is paused or partitioned.

A claimant learns the row's age by the platform's clock; the holder's lease starts before it sent its write.
"""

from collections.abc import Callable
from typing import Any

import z3

from spec.transition import Action, Guard, State, System, update

LEASE = z3.RealVal(15)
DRIFT = z3.RealVal('1/500')
DRIFT_SAFE_LEASE = LEASE * (1 + DRIFT) / (1 - DRIFT)

_ApplyGuard = Callable[[str, Any], Any]

_YES, _NO = z3.BoolVal(val=True), z3.BoolVal(val=False)


def _pass_time(before: State, after: State, guard: _ApplyGuard) -> Any:
    later = z3.Real('later')
    return z3.And(later >= before['now'], update(before, after, now=later))


def _send_renewal(before: State, after: State, guard: _ApplyGuard) -> Any:
    return z3.And(
        z3.Not(before['renewing']), update(before, after, renewing=_YES, sent_at=before['now'], renewal_applied=_NO)
    )


def _apply_renewal(before: State, after: State, guard: _ApplyGuard) -> Any:
    """The platform applies the write, possibly long after it was sent."""
    return z3.And(
        before['renewing'],
        z3.Not(before['renewal_applied']),
        guard('write only over the row that was read', z3.Not(before['claimed'])),
        update(before, after, renewal_applied=_YES, row_written_at=before['now']),
    )


def _receive_renewal(before: State, after: State, guard: _ApplyGuard) -> Any:
    start = z3.Real('start')
    return z3.And(
        before['renewing'],
        before['renewal_applied'],
        start <= before['now'],
        guard('start the lease before the write', start == before['sent_at']),
        update(before, after, renewing=_NO, lease_at=start),
    )


def _lose_answer(before: State, after: State, guard: _ApplyGuard) -> Any:
    return z3.And(before['renewing'], update(before, after, renewing=_NO))


def _claim(before: State, after: State, guard: _ApplyGuard) -> Any:
    age = (before['now'] - before['row_written_at']) * (1 + DRIFT)
    waited = z3.And(age >= LEASE, guard('extend the wait by the clock drift', age >= DRIFT_SAFE_LEASE))
    return z3.And(
        z3.Not(before['claimed']), guard('wait for the end of the lease', waited), update(before, after, claimed=_YES)
    )


def _use_both(before: State, after: State, guard: _ApplyGuard) -> Any:
    elapsed = (before['now'] - before['lease_at']) * (1 - DRIFT)
    return z3.And(
        before['claimed'],
        guard('stop at the end of the lease', elapsed < LEASE),
        update(before, after, used_twice=_YES),
    )


def _initial(first: State) -> Any:
    flags = ('renewing', 'renewal_applied', 'claimed', 'used_twice')
    times = ('now', 'lease_at', 'row_written_at', 'sent_at')
    return z3.And(*(first[name] == 0 for name in times), *(z3.Not(first[name]) for name in flags))


def _invariant(now: State) -> dict[str, Any]:
    return {
        'times are not in the future': z3.And(
            now['row_written_at'] <= now['now'], now['sent_at'] <= now['now'], now['lease_at'] <= now['now']
        ),
        'a lease starts before its write': now['lease_at'] <= now['row_written_at'],
        'a write takes effect after it was sent': z3.Implies(
            z3.And(now['renewing'], now['renewal_applied']), now['sent_at'] <= now['row_written_at']
        ),
        'a seat is claimed after its lease expired': z3.Implies(
            now['claimed'], (now['now'] - now['row_written_at']) * (1 + DRIFT) >= DRIFT_SAFE_LEASE
        ),
        'a seat is never used by two instances': z3.Not(now['used_twice']),
    }


_REAL, _BOOL = z3.RealSort(), z3.BoolSort()
_SEATS = 'fescuequay_core.seats:SeatController'

SYSTEM = System(
    name='seats',
    sorts={
        'now': _REAL,
        'renewing': _BOOL,
        'sent_at': _REAL,
        'renewal_applied': _BOOL,
        'row_written_at': _REAL,
        'lease_at': _REAL,
        'claimed': _BOOL,
        'used_twice': _BOOL,
    },
    initial=_initial,
    actions=(
        Action('time passes, or a process is paused', 'environment', _pass_time),
        Action('the holder sends a renewal', f'{_SEATS}._write', _send_renewal),
        Action('the renewal takes effect', 'environment', _apply_renewal),
        Action('the holder receives the answer to the renewal', f'{_SEATS}._on_written', _receive_renewal),
        Action('the answer to the renewal is lost', 'environment', _lose_answer),
        Action('another instance claims the seat', f'{_SEATS}._claim', _claim),
        Action('both use the seat', f'{_SEATS}.has_main', _use_both),
    ),
    invariant=_invariant,
    properties=lambda now: {'no seat has two users': z3.Not(now['used_twice'])},
    guards={
        guard.name: guard
        for guard in (
            Guard('write only over the row that was read', f'{_SEATS}._write'),
            Guard('start the lease before the write', f'{_SEATS}._on_written'),
            Guard('wait for the end of the lease', f'{_SEATS}._is_free'),
            Guard('extend the wait by the clock drift', 'fescuequay_core.settings:Timing.drift_safe_s'),
            Guard('stop at the end of the lease', f'{_SEATS}.has_main'),
        )
    },
    depth=8,
)
