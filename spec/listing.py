"""Listing: on the users' platform, an instance that promoters do not ask has no valid permit.

A coordinator marks the row of an instance that it no longer hears from, and removes the row later. The instance may
still read the table and register again at any moment. A promoter asks every instance whose row it finds, except:
- instances whose mark it has known for longer than a permit lasts;
- instances to which it has confirmed nothing and whose row it has known for as long.

One instance stands for all. Times are in true time; monotonic clocks run at between 1 - DRIFT and 1 + DRIFT times
its rate.
"""

from collections.abc import Callable
from typing import Any

import z3

from spec.closing import DRIFT, PERMIT, WAIT, update_later
from spec.transition import Action, Guard, State, System

_ApplyGuard = Callable[[str, Any], Any]

_YES, _NO = z3.BoolVal(val=True), z3.BoolVal(val=False)


def _has_waited_since_mark(now: State) -> Any:
    return (now['now'] - now['mark_recorded_at']) * (1 + DRIFT) >= WAIT


def _is_live(now: State) -> Any:
    return z3.And(now['permit'], (now['now'] - now['permit_at']) * (1 - DRIFT) < PERMIT)


def _register(before: State, after: State, guard: _ApplyGuard) -> Any:
    began_at = z3.Real('began_at')
    return z3.And(
        before['running'],
        began_at >= before['registered_at'],
        began_at <= before['now'],
        update_later(
            before,
            after,
            present=_YES,
            marked=_NO,
            row_version=before['row_version'] + 1,
            registered=_YES,
            registered_at=began_at,
        ),
    )


def _read_by_itself(before: State, after: State, guard: _ApplyGuard) -> Any:
    """The instance reads the table; its permit starts at its own registration, even if its row has changed since."""
    start = z3.Real('start')
    return z3.And(
        before['running'],
        before['registered'],
        start <= before['now'],
        guard('start the permit of an own read at the registration', start == before['registered_at']),
        update_later(before, after, permit=_YES, permit_at=start),
    )


def _receive_confirmation(before: State, after: State, guard: _ApplyGuard) -> Any:
    """The coordinator confirms the records to an instance that it considers listed.

    A confirmation is as old as the latest renewal, which needs a complete view, so a confirmation from a view
    that is older than the mark dates from before the mark.
    """
    start, confirmed_at = z3.Real('start'), z3.Real('confirmed_at')
    is_fresh = z3.Or(before['complete_version'] == before['lease_version'], start <= before['marked_at'])
    return z3.And(
        before['running'],
        guard('confirm only to listed instances', before['listed']),
        start <= before['now'],
        guard('renew only with a complete view', is_fresh),
        confirmed_at >= before['last_confirmed_at'],
        confirmed_at <= before['now'],
        guard('record the latest confirmation', confirmed_at >= start),
        update_later(before, after, permit=_YES, permit_at=start, last_confirmed_at=confirmed_at),
    )


def _answer_read(before: State, after: State, guard: _ApplyGuard) -> Any:
    """The table answers a read of the coordinator, which may receive the answer much later."""
    listed = z3.And(before['present'], z3.Not(before['marked']), before['running'])
    return update_later(before, after, read_pending=_YES, read_listed=listed, read_version=before['lease_version'])


def _receive_read(before: State, after: State, guard: _ApplyGuard) -> Any:
    is_new = guard('ignore an outdated read', before['read_version'] >= before['complete_version'])
    accepted = update_later(
        before,
        after,
        read_pending=_NO,
        listed=before['read_listed'],
        complete_version=_larger(before['read_version'], before['complete_version']),
    )
    return z3.And(before['read_pending'], z3.If(is_new, accepted, update_later(before, after, read_pending=_NO)))


def _larger(one: Any, other: Any) -> Any:
    return z3.If(one >= other, one, other)


def _mark(before: State, after: State, guard: _ApplyGuard) -> Any:
    """The table applies the mark, on condition of the lease row; the coordinator may not receive the answer."""
    version = before['lease_version'] + 1
    is_answered, view = z3.Bool('is_answered'), z3.Bool('listed_after')
    return z3.And(
        before['present'],
        z3.Not(before['marked']),
        guard('remove a marked instance from the list', z3.Implies(is_answered, z3.Not(view))),
        z3.Implies(z3.Not(is_answered), view == before['listed']),
        z3.Implies(view, before['listed']),
        update_later(
            before,
            after,
            marked=_YES,
            marked_at=before['now'],
            row_version=before['row_version'] + 1,
            lease_version=version,
            complete_version=z3.If(is_answered, version, before['complete_version']),
            listed=view,
        ),
    )


def _record_mark(before: State, after: State, guard: _ApplyGuard) -> Any:
    """A promoter, which may be another instance, reads the table and records since when the row has been marked."""
    is_same = z3.And(before['mark_recorded'], guard("date a mark by its row's version", _is_mark_current(before)))
    new_record = update_later(
        before, after, mark_recorded=_YES, mark_recorded_at=before['now'], mark_row_version=before['row_version']
    )
    marked = z3.And(before['present'], before['marked'])
    return z3.If(
        marked,
        z3.If(is_same, update_later(before, after, mark_row_version=before['row_version']), new_record),
        update_later(before, after, mark_recorded=_NO),
    )


def _is_mark_current(now: State) -> Any:
    return now['mark_row_version'] == now['row_version']


def _record_version(before: State, after: State, guard: _ApplyGuard) -> Any:
    """A promoter reads the table and records a time, at the latest now, by which the row's version was written."""
    is_same = z3.And(
        before['version_recorded'], guard("date a registration by its row's version", _is_version_current(before))
    )
    since = z3.Real('since')
    is_dated = z3.Implies(before['registered'], since >= before['registered_at'])
    return z3.And(
        since <= before['now'],
        guard('date a row no earlier than its write', is_dated),
        z3.If(
            is_same,
            update_later(before, after, recorded_row_version=before['row_version']),
            update_later(
                before,
                after,
                version_recorded=_YES,
                version_recorded_at=since,
                recorded_row_version=before['row_version'],
            ),
        ),
    )


def _is_version_current(now: State) -> Any:
    return now['recorded_row_version'] == now['row_version']


def _has_waited_since_confirmation(now: State) -> Any:
    latest = _larger(now['version_recorded_at'], now['last_confirmed_at'])
    return (now['now'] - latest) * (1 + DRIFT) >= WAIT


def _skip(before: State, after: State, guard: _ApplyGuard) -> Any:
    """A promoter that has just read the table leaves the instance out."""
    has_waited = z3.And(before['present'], before['marked'], before['mark_recorded'], _has_waited_since_mark(before))
    is_mark_current = guard('read the list after the closing', _is_mark_current(before))
    is_version_current = guard('read the list after the closing', _is_version_current(before))
    is_unconfirmed = z3.And(before['version_recorded'], _has_waited_since_confirmation(before), is_version_current)
    return z3.And(
        z3.Or(z3.Not(before['present']), z3.And(has_waited, is_mark_current), is_unconfirmed),
        update_later(before, after, skipped_with_permit=z3.Or(before['skipped_with_permit'], _is_live(before))),
    )


def _remove(before: State, after: State, guard: _ApplyGuard) -> Any:
    return z3.And(
        before['present'],
        before['mark_recorded'],
        guard('remove only the row that was read', z3.And(before['marked'], _is_mark_current(before))),
        guard('remove a row only after the last permit', _has_waited_since_mark(before)),
        update_later(before, after, present=_NO),
    )


def _stop(before: State, after: State, guard: _ApplyGuard) -> Any:
    """The instance stops by plan; its row names its incarnation, so no other process can take its place."""
    permit = z3.Bool('permit_after')
    return z3.And(
        before['running'],
        guard('revoke permits before the row is removed', z3.Not(permit)),
        z3.Implies(permit, before['permit']),
        update_later(before, after, running=_NO, present=_NO, permit=permit, listed=_NO, read_pending=_NO),
    )


def _initial(first: State) -> Any:
    numbers = (name for name, sort in SORTS.items() if sort != z3.BoolSort())
    flags = (name for name, sort in SORTS.items() if sort == z3.BoolSort() and name != 'running')
    return z3.And(first['running'], *(first[name] == 0 for name in numbers), *(z3.Not(first[name]) for name in flags))


def _invariant(now: State) -> dict[str, Any]:
    is_behind = now['complete_version'] < now['lease_version']
    is_unlisted = z3.Or(z3.Not(now['present']), now['marked'])
    is_marked_row = z3.And(now['present'], now['marked'], now['mark_recorded'], _is_mark_current(now))
    return {
        'times are not in the future': z3.And(
            z3.Implies(now['permit'], now['permit_at'] <= now['now']),
            now['marked_at'] <= now['now'],
            now['mark_recorded_at'] <= now['now'],
        ),
        'versions exist': z3.And(
            now['complete_version'] <= now['lease_version'],
            z3.Implies(now['read_pending'], now['read_version'] <= now['lease_version']),
            z3.Implies(now['mark_recorded'], now['mark_row_version'] <= now['row_version']),
        ),
        'an instance that never had a row has no permit': z3.Implies(
            z3.And(now['running'], z3.Not(now['present']), z3.Not(now['marked'])),
            z3.And(
                z3.Not(now['registered']),
                z3.Not(now['permit']),
                z3.Not(now['listed']),
                z3.Not(z3.And(now['read_pending'], now['read_listed'])),
            ),
        ),
        'a stopped instance has no permit': z3.Implies(
            z3.Not(now['running']), z3.And(z3.Not(now['permit']), z3.Not(now['present']))
        ),
        'a marked instance is listed only in an older view': z3.Implies(
            z3.And(now['running'], is_unlisted, now['listed']), z3.And(is_behind, now['marked'])
        ),
        'a read that lists a marked instance is older than the mark': z3.Implies(
            z3.And(now['running'], is_unlisted, now['read_pending'], now['read_listed']),
            z3.And(now['read_version'] < now['lease_version'], now['marked']),
        ),
        'no permit starts after the mark': z3.Implies(
            z3.And(now['running'], is_unlisted, now['permit']), now['permit_at'] <= now['marked_at']
        ),
        'a registration comes before the mark': z3.Implies(
            z3.And(now['running'], is_unlisted, now['registered']), now['registered_at'] <= now['marked_at']
        ),
        'a mark is recorded after it was set': z3.Implies(is_marked_row, now['marked_at'] <= now['mark_recorded_at']),
        'a removed row was marked for longer than a permit': z3.Implies(
            z3.And(now['running'], z3.Not(now['present']), now['marked']),
            (now['now'] - now['marked_at']) * (1 + DRIFT) >= WAIT,
        ),
        'a permit starts at a registration or a confirmation': z3.Implies(
            now['permit'],
            z3.Or(
                now['permit_at'] <= now['last_confirmed_at'],
                z3.And(now['registered'], now['permit_at'] <= now['registered_at']),
            ),
        ),
        'a registration is recorded after it was made': z3.And(
            now['last_confirmed_at'] <= now['now'],
            z3.Implies(now['registered'], now['registered_at'] <= now['now']),
            z3.Implies(
                now['version_recorded'],
                z3.And(now['version_recorded_at'] <= now['now'], now['recorded_row_version'] <= now['row_version']),
            ),
            z3.Implies(
                z3.And(now['version_recorded'], now['registered'], _is_version_current(now)),
                now['registered_at'] <= now['version_recorded_at'],
            ),
        ),
        'no instance with a valid permit is left out': z3.Not(now['skipped_with_permit']),
    }


_REAL, _BOOL, _INT = z3.RealSort(), z3.BoolSort(), z3.IntSort()

SORTS = {
    'now': _REAL,
    'running': _BOOL,
    'present': _BOOL,
    'marked': _BOOL,
    'marked_at': _REAL,
    'row_version': _INT,
    'lease_version': _INT,
    'complete_version': _INT,
    'listed': _BOOL,
    'read_pending': _BOOL,
    'read_listed': _BOOL,
    'read_version': _INT,
    'permit': _BOOL,
    'permit_at': _REAL,
    'mark_recorded': _BOOL,
    'mark_recorded_at': _REAL,
    'mark_row_version': _INT,
    'registered': _BOOL,
    'registered_at': _REAL,
    'last_confirmed_at': _REAL,
    'version_recorded': _BOOL,
    'version_recorded_at': _REAL,
    'recorded_row_version': _INT,
    'skipped_with_permit': _BOOL,
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
        Action('the coordinator confirms to it', f'{_COORDINATOR}.exchange', _receive_confirmation),
        Action('the table answers the coordinator', 'environment', _answer_read),
        Action('the coordinator receives the answer', f'{_RECORDS}._update_listed', _receive_read),
        Action('the instance is marked', f'{_RECORDS}.mark_leaving', _mark),
        Action('a promoter records the mark', f'{_RECORDS}._update_listed', _record_mark),
        Action("a promoter records the row's version", f'{_CONFIRMATIONS}.record_row', _record_version),
        Action('a promoter does not ask the instance', f'{_REPLACEMENT}._collect_permits', _skip),
        Action('the row is removed', f'{_RECORDS}.remove_members', _remove),
        Action('the instance stops by plan', 'fescuequay_entry.relay.instance:Instance.stop', _stop),
    ),
    invariant=_invariant,
    properties=lambda now: {'an instance that is not asked has no valid permit': z3.Not(now['skipped_with_permit'])},
    guards={
        guard.name: guard
        for guard in (
            Guard('confirm only to listed instances', f'{_MEMBERSHIP}._apply_answer'),
            Guard('renew only with a complete view', f'{_RECORDS}._write'),
            Guard('ignore an outdated read', f'{_RECORDS}.read'),
            Guard('remove a marked instance from the list', f'{_RECORDS}.mark_leaving'),
            Guard('start the permit of an own read at the registration', f'{_RECORDS}.read'),
            Guard('record the latest confirmation', f'{_CONFIRMATIONS}.record_sent'),
            Guard("date a registration by its row's version", f'{_CONFIRMATIONS}.record_row'),
            Guard('date a row no earlier than its write', f'{_RECORDS}.read'),
            Guard("date a mark by its row's version", f'{_RECORDS}._update_listed'),
            Guard('read the list after the closing', f'{_REPLACEMENT}._collect_permits'),
            Guard('remove only the row that was read', f'{_RECORDS}._row_conditions'),
            Guard('remove a row only after the last permit', f'{_RECORDS}.members_without_permits'),
            Guard('revoke permits before the row is removed', f'{_MEMBERSHIP}.leave'),
        )
    },
    depth=10,
)
