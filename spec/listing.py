"""Listing: on the users' platform, an instance that promoters do not ask has no permit left.

A coordinator marks the row of an instance that it no longer hears, and removes it later; the instance may still
read the table and register anew at any moment. A promoter asks the instances whose rows it finds, but for those
whose mark it has known for longer than a permit lasts, and those that it has confirmed nothing to and whose row it has
known for as long. One instance stands for all. Times are true times; steady
clocks run at a rate between 1 - DRIFT and 1 + DRIFT of them.
"""

from collections.abc import Callable
from typing import Any

import z3

from spec.closing import DRIFT, PERMIT, WAIT, then
from spec.transition import Action, Guard, State, System

_Keep = Callable[[str, Any], Any]

_YES, _NO = z3.BoolVal(val=True), z3.BoolVal(val=False)


def _has_waited(now: State) -> Any:
    return (now['now'] - now['noted_at']) * (1 + DRIFT) >= WAIT


def _is_live(now: State) -> Any:
    return z3.And(now['permit'], (now['now'] - now['permit_at']) * (1 - DRIFT) < PERMIT)


def _register(before: State, after: State, keep: _Keep) -> Any:
    began_at = z3.Real('began_at')
    return z3.And(
        before['runs'],
        began_at >= before['registered_at'],
        began_at <= before['now'],
        then(
            before,
            after,
            present=_YES,
            marked=_NO,
            row_version=before['row_version'] + 1,
            registered=_YES,
            registered_at=began_at,
        ),
    )


def _read_by_itself(before: State, after: State, keep: _Keep) -> Any:
    """The instance reads the table; the permit counts from its own registration, whatever became of the row."""
    start = z3.Real('start')
    return z3.And(
        before['runs'],
        before['registered'],
        start <= before['now'],
        keep('count an own reading from the registration', start == before['registered_at']),
        then(before, after, permit=_YES, permit_at=start),
    )


def _hear(before: State, after: State, keep: _Keep) -> Any:
    """The coordinator confirms the records to the instance, if it counts it as listed.

    Its confirmation is as old as its latest renewal, which needs a complete view: one older than the mark
    was confirmed before the mark at the latest.
    """
    start, told = z3.Real('start'), z3.Real('told')
    fresh = z3.Or(before['complete'] == before['duty_version'], start <= before['marked_at'])
    return z3.And(
        before['runs'],
        keep('confirm only to listed instances', before['view']),
        start <= before['now'],
        keep('renew only on a complete view', fresh),
        told >= before['told_at'],
        told <= before['now'],
        keep('remember the latest confirmation', told >= start),
        then(before, after, permit=_YES, permit_at=start, told_at=told),
    )


def _answer_reading(before: State, after: State, keep: _Keep) -> Any:
    """The table answers a reading of the coordinator; the answer may be taken much later."""
    listed = z3.And(before['present'], z3.Not(before['marked']), before['runs'])
    return then(before, after, reading=_YES, read_listed=listed, read_version=before['duty_version'])


def _take_reading(before: State, after: State, keep: _Keep) -> Any:
    is_new = keep('ignore a reading that was overtaken', before['read_version'] >= before['complete'])
    taken = then(
        before,
        after,
        reading=_NO,
        view=before['read_listed'],
        complete=_larger(before['read_version'], before['complete']),
    )
    return z3.And(before['reading'], z3.If(is_new, taken, then(before, after, reading=_NO)))


def _larger(one: Any, other: Any) -> Any:
    return z3.If(one >= other, one, other)


def _mark(before: State, after: State, keep: _Keep) -> Any:
    """The table takes the mark, under the duty; the coordinator hears of it or not."""
    version = before['duty_version'] + 1
    heard, view = z3.Bool('heard'), z3.Bool('view_after')
    return z3.And(
        before['present'],
        z3.Not(before['marked']),
        keep('strike a marked instance off the list', z3.Implies(heard, z3.Not(view))),
        z3.Implies(z3.Not(heard), view == before['view']),
        z3.Implies(view, before['view']),
        then(
            before,
            after,
            marked=_YES,
            marked_at=before['now'],
            row_version=before['row_version'] + 1,
            duty_version=version,
            complete=z3.If(heard, version, before['complete']),
            view=view,
        ),
    )


def _note(before: State, after: State, keep: _Keep) -> Any:
    """A promoter, perhaps another instance, reads the table and notes since when the row is marked."""
    is_same = z3.And(before['noted'], keep("count a mark by its row's version", _is_noted(before)))
    fresh = then(before, after, noted=_YES, noted_at=before['now'], noted_version=before['row_version'])
    marked = z3.And(before['present'], before['marked'])
    return z3.If(
        marked,
        z3.If(is_same, then(before, after, noted_version=before['row_version']), fresh),
        then(before, after, noted=_NO),
    )


def _is_noted(now: State) -> Any:
    return now['noted_version'] == now['row_version']


def _see(before: State, after: State, keep: _Keep) -> Any:
    """A promoter reads the table and notes when the row's version was written, at the latest now."""
    is_same = z3.And(before['seen'], keep("count a registration by its row's version", _is_seen(before)))
    since = z3.Real('since')
    is_dated = z3.Implies(before['registered'], since >= before['registered_at'])
    return z3.And(
        since <= before['now'],
        keep('date a row from when it was surely written', is_dated),
        z3.If(
            is_same,
            then(before, after, seen_version=before['row_version']),
            then(before, after, seen=_YES, seen_at=since, seen_version=before['row_version']),
        ),
    )


def _is_seen(now: State) -> Any:
    return now['seen_version'] == now['row_version']


def _has_outwaited(now: State) -> Any:
    latest = _larger(now['seen_at'], now['told_at'])
    return (now['now'] - latest) * (1 + DRIFT) >= WAIT


def _skip(before: State, after: State, keep: _Keep) -> Any:
    """A promoter that has just read the table does not ask the instance."""
    is_over = z3.And(before['present'], before['marked'], before['noted'], _has_waited(before))
    known = keep('read the list after the closing', _is_noted(before))
    is_seen = keep('read the list after the closing', _is_seen(before))
    is_quiet = z3.And(before['seen'], _has_outwaited(before), is_seen)
    return z3.And(
        z3.Or(z3.Not(before['present']), z3.And(is_over, known), is_quiet),
        then(before, after, missed=z3.Or(before['missed'], _is_live(before))),
    )


def _remove(before: State, after: State, keep: _Keep) -> Any:
    return z3.And(
        before['present'],
        before['noted'],
        keep('remove only the row that was read', z3.And(before['marked'], _is_noted(before))),
        keep('remove a row only after the last permit', _has_waited(before)),
        then(before, after, present=_NO),
    )


def _stop(before: State, after: State, keep: _Keep) -> Any:
    """The instance ends by plan; the list names its incarnation, so nobody else takes its place there."""
    permit = z3.Bool('permit_after')
    return z3.And(
        before['runs'],
        keep('give permits up before the row goes', z3.Not(permit)),
        z3.Implies(permit, before['permit']),
        then(before, after, runs=_NO, present=_NO, permit=permit, view=_NO, reading=_NO),
    )


def _initial(first: State) -> Any:
    numbers = (name for name, sort in SORTS.items() if sort != z3.BoolSort())
    flags = (name for name, sort in SORTS.items() if sort == z3.BoolSort() and name != 'runs')
    return z3.And(first['runs'], *(first[name] == 0 for name in numbers), *(z3.Not(first[name]) for name in flags))


def _invariant(now: State) -> dict[str, Any]:
    is_behind = now['complete'] < now['duty_version']
    is_struck = z3.Or(z3.Not(now['present']), now['marked'])
    is_marked_row = z3.And(now['present'], now['marked'], now['noted'], _is_noted(now))
    return {
        'times are past': z3.And(
            z3.Implies(now['permit'], now['permit_at'] <= now['now']),
            now['marked_at'] <= now['now'],
            now['noted_at'] <= now['now'],
        ),
        'versions were given out': z3.And(
            now['complete'] <= now['duty_version'],
            z3.Implies(now['reading'], now['read_version'] <= now['duty_version']),
            z3.Implies(now['noted'], now['noted_version'] <= now['row_version']),
        ),
        'a row that was never there has no instance with a permit': z3.Implies(
            z3.And(now['runs'], z3.Not(now['present']), z3.Not(now['marked'])),
            z3.And(
                z3.Not(now['registered']),
                z3.Not(now['permit']),
                z3.Not(now['view']),
                z3.Not(z3.And(now['reading'], now['read_listed'])),
            ),
        ),
        'a stopped instance has no permit': z3.Implies(
            z3.Not(now['runs']), z3.And(z3.Not(now['permit']), z3.Not(now['present']))
        ),
        'a marked instance is listed only on an older view': z3.Implies(
            z3.And(now['runs'], is_struck, now['view']), z3.And(is_behind, now['marked'])
        ),
        'a reading before the mark is an older one': z3.Implies(
            z3.And(now['runs'], is_struck, now['reading'], now['read_listed']),
            z3.And(now['read_version'] < now['duty_version'], now['marked']),
        ),
        'no permit counts from after the mark': z3.Implies(
            z3.And(now['runs'], is_struck, now['permit']), now['permit_at'] <= now['marked_at']
        ),
        'a registration comes before the mark': z3.Implies(
            z3.And(now['runs'], is_struck, now['registered']), now['registered_at'] <= now['marked_at']
        ),
        'a mark is noted after it was set': z3.Implies(is_marked_row, now['marked_at'] <= now['noted_at']),
        'a removed row was marked for longer than a permit': z3.Implies(
            z3.And(now['runs'], z3.Not(now['present']), now['marked']),
            (now['now'] - now['marked_at']) * (1 + DRIFT) >= WAIT,
        ),
        'a permit is one of a registration or of a confirmation': z3.Implies(
            now['permit'],
            z3.Or(
                now['permit_at'] <= now['told_at'], z3.And(now['registered'], now['permit_at'] <= now['registered_at'])
            ),
        ),
        'a registration is seen after it was made': z3.And(
            now['told_at'] <= now['now'],
            z3.Implies(now['registered'], now['registered_at'] <= now['now']),
            z3.Implies(now['seen'], z3.And(now['seen_at'] <= now['now'], now['seen_version'] <= now['row_version'])),
            z3.Implies(z3.And(now['seen'], now['registered'], _is_seen(now)), now['registered_at'] <= now['seen_at']),
        ),
        'nobody with a permit is missed': z3.Not(now['missed']),
    }


_REAL, _BOOL, _INT = z3.RealSort(), z3.BoolSort(), z3.IntSort()

SORTS = {
    'now': _REAL,
    'runs': _BOOL,
    'present': _BOOL,
    'marked': _BOOL,
    'marked_at': _REAL,
    'row_version': _INT,
    'duty_version': _INT,
    'complete': _INT,
    'view': _BOOL,
    'reading': _BOOL,
    'read_listed': _BOOL,
    'read_version': _INT,
    'permit': _BOOL,
    'permit_at': _REAL,
    'noted': _BOOL,
    'noted_at': _REAL,
    'noted_version': _INT,
    'registered': _BOOL,
    'registered_at': _REAL,
    'told_at': _REAL,
    'seen': _BOOL,
    'seen_at': _REAL,
    'seen_version': _INT,
    'missed': _BOOL,
}

_RECORDS = 'fescuequay_entry.relay.records:Records'
_MEMBERSHIP = 'fescuequay_entry.relay.membership:Membership'
_CONFIRMATIONS = 'fescuequay_core.relay.permits:Confirmations'
_REPLACEMENT = 'fescuequay_entry.relay.replacement:Replacement'
_COORDINATOR = 'fescuequay_entry.relay.coordinator:Coordinator'

SYSTEM = System(
    name='listing',
    sorts=SORTS,
    initial=_initial,
    actions=(
        Action('the instance registers', f'{_RECORDS}.register', _register),
        Action('the instance reads the table', f'{_RECORDS}.read', _read_by_itself),
        Action('the coordinator confirms to it', f'{_COORDINATOR}.exchange', _hear),
        Action('the table answers the coordinator', 'environment', _answer_reading),
        Action('the coordinator takes the answer', f'{_RECORDS}._update_listed', _take_reading),
        Action('the instance is marked', f'{_RECORDS}.mark_leaving', _mark),
        Action('a promoter notes the mark', f'{_RECORDS}._update_listed', _note),
        Action("a promoter notes the row's version", f'{_CONFIRMATIONS}.record_row', _see),
        Action('a promoter does not ask the instance', f'{_REPLACEMENT}._collect_permits', _skip),
        Action('the row is removed', f'{_RECORDS}.remove_members', _remove),
        Action('the instance ends by plan', 'fescuequay_entry.relay.instance:Instance.stop', _stop),
    ),
    invariant=_invariant,
    properties=lambda now: {'an instance that is not asked has no permit': z3.Not(now['missed'])},
    guards={
        guard.name: guard
        for guard in (
            Guard('confirm only to listed instances', f'{_MEMBERSHIP}._apply_answer'),
            Guard('renew only on a complete view', f'{_RECORDS}._write'),
            Guard('ignore a reading that was overtaken', f'{_RECORDS}.read'),
            Guard('strike a marked instance off the list', f'{_RECORDS}.mark_leaving'),
            Guard('count an own reading from the registration', f'{_RECORDS}.read'),
            Guard('remember the latest confirmation', f'{_CONFIRMATIONS}.record_sent'),
            Guard("count a registration by its row's version", f'{_CONFIRMATIONS}.record_row'),
            Guard('date a row from when it was surely written', f'{_RECORDS}.read'),
            Guard("count a mark by its row's version", f'{_RECORDS}._update_listed'),
            Guard('read the list after the closing', f'{_REPLACEMENT}._collect_permits'),
            Guard('remove only the row that was read', f'{_RECORDS}._row_conditions'),
            Guard('remove a row only after the last permit', f'{_RECORDS}.members_without_permits'),
            Guard('give permits up before the row goes', f'{_MEMBERSHIP}.leave'),
        )
    },
    depth=10,
)
