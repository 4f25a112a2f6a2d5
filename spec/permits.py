"""Permits: an acknowledgement at the primary alone never comes after the next primary was promoted.

One holder stands for every instance, because a promoter waits out all of them alike. Clocks run at a
rate between 1 - DRIFT and 1 + DRIFT of true time; times here are true times.
"""

from collections.abc import Callable
from typing import Any

import z3

from spec.transition import Action, Guard, State, System, only

PERMIT = z3.RealVal(2)
DRIFT = z3.RealVal('1/500')
SURELY = PERMIT * (1 + DRIFT) / (1 - DRIFT)

_Keep = Callable[[str, Any], Any]


def _pass_time(before: State, after: State, keep: _Keep) -> Any:
    later = z3.Real('later')
    return z3.And(later >= before['now'], only(before, after, now=later))


def _begin_read(before: State, after: State, keep: _Keep) -> Any:
    return z3.And(
        z3.Not(before['reading']),
        only(before, after, reading=z3.BoolVal(val=True), answered=z3.BoolVal(val=False), read_at=before['now']),
    )


def _platform_answers(before: State, after: State, keep: _Keep) -> Any:
    return z3.And(
        before['reading'],
        z3.Not(before['answered']),
        only(before, after, answered=z3.BoolVal(val=True), saw_open=z3.Not(before['closed'])),
    )


def _take_answer(before: State, after: State, keep: _Keep) -> Any:
    # The permit runs from any time up to the answer; the guard pins it to the beginning of the read.
    start = z3.Real('start')
    is_early = keep('count the permit from the beginning of the read', start == before['read_at'])
    done = only(before, after, reading=z3.BoolVal(val=False), confirmed=z3.BoolVal(val=True), confirmed_at=start)
    ignored = only(before, after, reading=z3.BoolVal(val=False))
    return z3.And(
        before['reading'],
        before['answered'],
        is_early,
        start <= before['now'],
        z3.If(before['saw_open'], done, ignored),
    )


def _close(before: State, after: State, keep: _Keep) -> Any:
    return z3.And(z3.Not(before['closed']), only(before, after, closed=z3.BoolVal(val=True), closed_at=before['now']))


def _begin_wait(before: State, after: State, keep: _Keep) -> Any:
    return z3.And(
        keep('close the term before waiting', before['closed']),
        z3.Not(before['waiting']),
        only(before, after, waiting=z3.BoolVal(val=True), wait_at=before['now']),
    )


def _promote(before: State, after: State, keep: _Keep) -> Any:
    elapsed = (before['now'] - before['wait_at']) * (1 + DRIFT)
    return z3.And(
        before['waiting'],
        z3.Not(before['promoted']),
        keep('wait for permits', z3.And(elapsed >= PERMIT, keep('wait longer by the drift', elapsed >= SURELY))),
        only(before, after, promoted=z3.BoolVal(val=True)),
    )


def _acknowledge(before: State, after: State, keep: _Keep) -> Any:
    elapsed = (before['now'] - before['confirmed_at']) * (1 - DRIFT)
    return z3.And(
        before['confirmed'],
        keep('acknowledge under a running permit', elapsed < PERMIT),
        only(before, after, late=z3.Or(before['late'], before['promoted'])),
    )


def _initial(first: State) -> Any:
    flags = ('reading', 'answered', 'saw_open', 'confirmed', 'closed', 'waiting', 'promoted', 'late')
    return z3.And(first['now'] == 0, *(z3.Not(first[name]) for name in flags))


def _invariant(now: State) -> dict[str, Any]:
    waited = (now['now'] - now['wait_at']) * (1 + DRIFT)
    return {
        'times are past': z3.And(
            z3.Implies(now['reading'], now['read_at'] <= now['now']),
            z3.Implies(now['confirmed'], now['confirmed_at'] <= now['now']),
            z3.Implies(now['closed'], now['closed_at'] <= now['now']),
            z3.Implies(now['waiting'], now['wait_at'] <= now['now']),
        ),
        'a read that saw the term open began before it closed': z3.Implies(
            z3.And(now['reading'], now['answered'], now['saw_open'], now['closed']),
            now['read_at'] <= now['closed_at'],
        ),
        'a permit counts from before the close': z3.Implies(
            z3.And(now['confirmed'], now['closed']), now['confirmed_at'] <= now['closed_at']
        ),
        'a promoter waits after the close': z3.Implies(
            now['waiting'], z3.And(now['closed'], now['closed_at'] <= now['wait_at'])
        ),
        'a promotion comes after the wait': z3.Implies(now['promoted'], z3.And(now['waiting'], waited >= SURELY)),
        'no late acknowledgement': z3.Not(now['late']),
    }


_REAL, _BOOL = z3.RealSort(), z3.BoolSort()

SYSTEM = System(
    name='permits',
    sorts={
        'now': _REAL,
        'reading': _BOOL,
        'answered': _BOOL,
        'saw_open': _BOOL,
        'read_at': _REAL,
        'confirmed': _BOOL,
        'confirmed_at': _REAL,
        'closed': _BOOL,
        'closed_at': _REAL,
        'waiting': _BOOL,
        'wait_at': _REAL,
        'promoted': _BOOL,
        'late': _BOOL,
    },
    initial=_initial,
    actions=(
        Action('time passes, or a process is paused', 'environment', _pass_time),
        Action('the holder begins a read', 'fescuequay_core.fleet_controller:FleetController._read', _begin_read),
        Action('the platform answers', 'environment', _platform_answers),
        Action(
            'the holder takes the answer', 'fescuequay_core.fleet_controller:FleetController._on_read', _take_answer
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
    properties=lambda now: {'no acknowledgement after the next promotion': z3.Not(now['late'])},
    guards={
        guard.name: guard
        for guard in (
            Guard(
                'count the permit from the beginning of the read',
                'fescuequay_core.fleet_controller:FleetController._on_read',
            ),
            Guard('close the term before waiting', 'fescuequay_core.leadership:LeadershipController._record_changes'),
            Guard('wait for permits', 'fescuequay_core.leadership:LeadershipController._permits_expired'),
            Guard('wait longer by the drift', 'fescuequay_core.settings:Timing.drift_safe_s'),
            Guard('acknowledge under a running permit', 'fescuequay_core.blackboard:Blackboard.has_permit'),
        )
    },
    depth=9,
)
