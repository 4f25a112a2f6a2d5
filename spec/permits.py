"""Permits: no write is acknowledged by the primary alone after the next primary was promoted.

A permit is a time-limited lease on using a primary. One holder stands for all instances, because a promoter waits
for the permits of all of them in the same way.
Times are in true time; clocks run at between 1 - DRIFT and 1 + DRIFT times its rate.
"""

from collections.abc import Callable
from typing import Any

import z3

from spec.transition import Action, Guard, State, System, update

PERMIT = z3.RealVal(2)
DRIFT = z3.RealVal('1/500')
DRIFT_SAFE_PERMIT = PERMIT * (1 + DRIFT) / (1 - DRIFT)

_ApplyGuard = Callable[[str, Any], Any]


def _pass_time(before: State, after: State, guard: _ApplyGuard) -> Any:
    later = z3.Real('later')
    return z3.And(later >= before['now'], update(before, after, now=later))


def _send_read(before: State, after: State, guard: _ApplyGuard) -> Any:
    return z3.And(
        z3.Not(before['reading']),
        update(before, after, reading=z3.BoolVal(val=True), answered=z3.BoolVal(val=False), read_sent_at=before['now']),
    )


def _platform_answers(before: State, after: State, guard: _ApplyGuard) -> Any:
    return z3.And(
        before['reading'],
        z3.Not(before['answered']),
        update(before, after, answered=z3.BoolVal(val=True), answer_is_open=z3.Not(before['closed'])),
    )


def _receive_answer(before: State, after: State, guard: _ApplyGuard) -> Any:
    # Without the guard the permit may start at any time up to the answer.
    start = z3.Real('start')
    starts_at_read = guard('start the permit at the beginning of the read', start == before['read_sent_at'])
    done = update(before, after, reading=z3.BoolVal(val=False), has_permit=z3.BoolVal(val=True), permit_at=start)
    ignored = update(before, after, reading=z3.BoolVal(val=False))
    return z3.And(
        before['reading'],
        before['answered'],
        starts_at_read,
        start <= before['now'],
        z3.If(before['answer_is_open'], done, ignored),
    )


def _close(before: State, after: State, guard: _ApplyGuard) -> Any:
    return z3.And(z3.Not(before['closed']), update(before, after, closed=z3.BoolVal(val=True), closed_at=before['now']))


def _begin_wait(before: State, after: State, guard: _ApplyGuard) -> Any:
    return z3.And(
        guard('close the term before waiting', before['closed']),
        z3.Not(before['waiting']),
        update(before, after, waiting=z3.BoolVal(val=True), wait_began_at=before['now']),
    )


def _promote(before: State, after: State, guard: _ApplyGuard) -> Any:
    elapsed = (before['now'] - before['wait_began_at']) * (1 + DRIFT)
    return z3.And(
        before['waiting'],
        z3.Not(before['promoted']),
        guard(
            'wait until permits have expired',
            z3.And(elapsed >= PERMIT, guard('extend the wait by the clock drift', elapsed >= DRIFT_SAFE_PERMIT)),
        ),
        update(before, after, promoted=z3.BoolVal(val=True)),
    )


def _acknowledge(before: State, after: State, guard: _ApplyGuard) -> Any:
    elapsed = (before['now'] - before['permit_at']) * (1 - DRIFT)
    return z3.And(
        before['has_permit'],
        guard('acknowledge only under a valid permit', elapsed < PERMIT),
        update(before, after, acknowledged_late=z3.Or(before['acknowledged_late'], before['promoted'])),
    )


def _initial(first: State) -> Any:
    flags = (
        'reading',
        'answered',
        'answer_is_open',
        'has_permit',
        'closed',
        'waiting',
        'promoted',
        'acknowledged_late',
    )
    return z3.And(first['now'] == 0, *(z3.Not(first[name]) for name in flags))


def _invariant(now: State) -> dict[str, Any]:
    waited = (now['now'] - now['wait_began_at']) * (1 + DRIFT)
    return {
        'times are not in the future': z3.And(
            z3.Implies(now['reading'], now['read_sent_at'] <= now['now']),
            z3.Implies(now['has_permit'], now['permit_at'] <= now['now']),
            z3.Implies(now['closed'], now['closed_at'] <= now['now']),
            z3.Implies(now['waiting'], now['wait_began_at'] <= now['now']),
        ),
        'a read that saw the term open began before it closed': z3.Implies(
            z3.And(now['reading'], now['answered'], now['answer_is_open'], now['closed']),
            now['read_sent_at'] <= now['closed_at'],
        ),
        'a permit starts before the close': z3.Implies(
            z3.And(now['has_permit'], now['closed']), now['permit_at'] <= now['closed_at']
        ),
        'a promoter waits after the close': z3.Implies(
            now['waiting'], z3.And(now['closed'], now['closed_at'] <= now['wait_began_at'])
        ),
        'a promotion comes after the wait': z3.Implies(
            now['promoted'], z3.And(now['waiting'], waited >= DRIFT_SAFE_PERMIT)
        ),
        'no late acknowledgement': z3.Not(now['acknowledged_late']),
    }


_REAL, _BOOL = z3.RealSort(), z3.BoolSort()

SYSTEM = System(
    name='permits',
    sorts={
        'now': _REAL,
        'reading': _BOOL,
        'answered': _BOOL,
        'answer_is_open': _BOOL,
        'read_sent_at': _REAL,
        'has_permit': _BOOL,
        'permit_at': _REAL,
        'closed': _BOOL,
        'closed_at': _REAL,
        'waiting': _BOOL,
        'wait_began_at': _REAL,
        'promoted': _BOOL,
        'acknowledged_late': _BOOL,
    },
    initial=_initial,
    actions=(
        Action('time passes, or a process is paused', 'environment', _pass_time),
        Action('the holder begins a read', 'fescuequay_core.fleet_controller:FleetController._read', _send_read),
        Action('the platform answers', 'environment', _platform_answers),
        Action(
            'the holder receives the answer',
            'fescuequay_core.fleet_controller:FleetController._on_read',
            _receive_answer,
        ),
        Action('a promoter closes the term', 'fescuequay_core.leadership:LeadershipController._close_term', _close),
        Action(
            'a promoter begins to wait',
            'fescuequay_core.leadership:LeadershipController._record_changes',
            _begin_wait,
        ),
        Action('the next primary is promoted', 'fescuequay_core.leadership:LeadershipController._promote', _promote),
        Action(
            'the holder acknowledges',
            'fescuequay_core.acknowledgements:AcknowledgementTracker._is_confirmed',
            _acknowledge,
        ),
    ),
    invariant=_invariant,
    properties=lambda now: {'no acknowledgement after the next promotion': z3.Not(now['acknowledged_late'])},
    guards={
        guard.name: guard
        for guard in (
            Guard(
                'start the permit at the beginning of the read',
                'fescuequay_core.fleet_controller:FleetController._on_read',
            ),
            Guard('close the term before waiting', 'fescuequay_core.leadership:LeadershipController._record_changes'),
            Guard(
                'wait until permits have expired', 'fescuequay_core.leadership:LeadershipController._permits_expired'
            ),
            Guard('extend the wait by the clock drift', 'fescuequay_core.settings:Timing.drift_safe_s'),
            Guard('acknowledge only under a valid permit', 'fescuequay_core.blackboard:Blackboard.has_permit'),
        )
    },
    depth=9,
)
