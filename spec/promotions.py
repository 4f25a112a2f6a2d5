"""Promotions: on the users' platform, no request of a former coordinator arrives after one of its successor.

The platform may not check fences, and the network may hold a request up and deliver it at any later time, unless its
sender has reset the connection. A coordinator sends a request only under its lease, and gives it up when the lease ends
as it stood at the moment of sending, before it resigns, and when its process ends.

One coordinator with one request and its successors stand for all. Times are in true time; monotonic clocks run at
between 1 - DRIFT and 1 + DRIFT times its rate. A process that is stopped between the check and the send is left out:
nothing bounds that.
"""

from collections.abc import Callable
from typing import Any

import z3

from spec.closing import DRIFT, LEASE, TAKEOVER, update_later
from spec.transition import Action, Guard, State, System, update

_ApplyGuard = Callable[[str, Any], Any]

_YES, _NO = z3.BoolVal(val=True), z3.BoolVal(val=False)


def _runs(now: State, lease_at: Any) -> Any:
    """:returns: Whether a lease that was renewed at a time still runs by the clock of its holder."""
    return (now['now'] - lease_at) * (1 - DRIFT) <= LEASE


def _update(before: State, after: State, guard: _ApplyGuard, **changes: Any) -> Any:
    """:returns: The condition that variables change and time passes; a running process gives its request up in time."""
    in_time = z3.Implies(z3.And(after['held'], z3.Not(after['ended'])), _runs(after, after['held_lease_at']))
    return z3.And(
        update_later(before, after, **changes),
        guard('give a request up when the lease under which it was sent ends', in_time),
    )


def _renew(before: State, after: State, guard: _ApplyGuard) -> Any:
    """The table accepts a renewal, whose answer may be lost."""
    start = z3.Real('start')
    return z3.And(
        z3.Not(before['taken_over']),
        z3.Not(before['resigned']),
        z3.Not(before['ended']),
        start >= before['lease_at'],
        start <= before['now'],
        _update(before, after, guard, lease_at=start),
    )


def _receive_renewal(before: State, after: State, guard: _ApplyGuard) -> Any:
    return _update(before, after, guard, known_lease_at=before['lease_at'])


def _send(before: State, after: State, guard: _ApplyGuard) -> Any:
    return z3.And(
        z3.Not(before['held']),
        z3.Not(before['ended']),
        guard('send nothing after resigning', z3.Not(before['resigned'])),
        guard('check the lease at the moment of sending', _runs(before, before['known_lease_at'])),
        # The wait for the answer begins after this, so that it bounds nothing yet.
        update(before, after, held=_YES, held_lease_at=before['known_lease_at']),
    )


def _give_up(before: State, after: State, guard: _ApplyGuard) -> Any:
    return z3.And(z3.Not(before['ended']), _update(before, after, guard, held=_NO))


def _resign(before: State, after: State, guard: _ApplyGuard) -> Any:
    return z3.And(
        z3.Not(before['ended']),
        guard('give requests up before resigning', z3.Not(before['held'])),
        _update(before, after, guard, resigned=_YES),
    )


def _end_process(before: State, after: State, guard: _ApplyGuard) -> Any:
    """The process is killed, and the kernel closes its connections."""
    is_held = z3.Bool('is_held_afterwards')
    return z3.And(
        z3.Implies(is_held, before['held']),
        guard('reset connections as the process ends', z3.Not(is_held)),
        _update(before, after, guard, ended=_YES, held=is_held),
    )


def _take_over(before: State, after: State, guard: _ApplyGuard) -> Any:
    """Another coordinator takes the lease over, which it saw change after the latest renewal."""
    has_expired = (before['now'] - before['lease_at']) * (1 + DRIFT) >= TAKEOVER
    return z3.And(
        guard('take over only after the lease', z3.Or(before['resigned'], has_expired)),
        _update(before, after, guard, taken_over=_YES),
    )


def _succeed(before: State, after: State, guard: _ApplyGuard) -> Any:
    """A request of the successor arrives."""
    return z3.And(before['taken_over'], _update(before, after, guard, succeeded=_YES))


def _deliver(before: State, after: State, guard: _ApplyGuard) -> Any:
    is_late = z3.Or(before['is_late'], before['succeeded'])
    return z3.And(before['held'], _update(before, after, guard, held=_NO, is_late=is_late))


def _initial(first: State) -> Any:
    flags = (name for name, sort in SORTS.items() if sort == z3.BoolSort())
    return z3.And(
        first['now'] >= 0,
        first['lease_at'] == 0,
        first['known_lease_at'] == 0,
        *(z3.Not(first[name]) for name in flags),
    )


def _invariant(now: State) -> dict[str, Any]:
    has_expired = (now['now'] - now['lease_at']) * (1 + DRIFT) >= TAKEOVER
    return {
        'times are not in the future': z3.And(
            now['known_lease_at'] <= now['lease_at'],
            now['lease_at'] <= now['now'],
            z3.Implies(now['held'], now['held_lease_at'] <= now['lease_at']),
        ),
        'a request is held only while its lease runs': z3.Implies(
            now['held'], z3.And(z3.Not(now['ended']), _runs(now, now['held_lease_at']))
        ),
        'a coordinator that has resigned has no request': z3.Implies(now['resigned'], z3.Not(now['held'])),
        'a successor comes after the lease': z3.And(
            z3.Implies(now['taken_over'], z3.Or(now['resigned'], has_expired)),
            z3.Implies(now['succeeded'], now['taken_over']),
        ),
        'no late promotion': z3.Not(now['is_late']),
    }


_REAL, _BOOL = z3.RealSort(), z3.BoolSort()

SORTS = {
    'now': _REAL,
    'lease_at': _REAL,
    'known_lease_at': _REAL,
    'resigned': _BOOL,
    'ended': _BOOL,
    'held': _BOOL,
    'held_lease_at': _REAL,
    'taken_over': _BOOL,
    'succeeded': _BOOL,
    'is_late': _BOOL,
}

_AUTHORITY = 'fescuequay_entry.relay.authority'
_MEMBERSHIP = 'fescuequay_entry.relay.membership:Membership'
_RECORDS = 'fescuequay_entry.relay.records:Records'

SYSTEM = System(
    name='promotions',
    sorts=SORTS,
    initial=_initial,
    actions=(
        Action('renew the lease', f'{_RECORDS}.renew', _renew),
        Action(
            'receive the answer to a renewal',
            'fescuequay_core.relay.lease:CoordinatorLease.record_renewal',
            _receive_renewal,
        ),
        Action('send a request', 'fescuequay_entry.relay.replacement:Replacement._request_promotion', _send),
        Action('give a request up', f'{_AUTHORITY}:run_within', _give_up),
        Action('resign', f'{_MEMBERSHIP}._consider_resigning', _resign),
        Action('end the process', 'environment', _end_process),
        Action('take the lease over', f'{_RECORDS}.acquire_lease', _take_over),
        Action("deliver the successor's request", 'environment', _succeed),
        Action('deliver the request', 'environment', _deliver),
    ),
    invariant=_invariant,
    properties=lambda now: {'no request of a former coordinator arrives after its successor': z3.Not(now['is_late'])},
    guards={
        guard.name: guard
        for guard in (
            Guard('give a request up when the lease under which it was sent ends', f'{_AUTHORITY}:run_within'),
            Guard('send nothing after resigning', 'fescuequay_core.relay.lease:CoordinatorLease.holds'),
            Guard('check the lease at the moment of sending', 'fescuequay_entry.relay.http_client:_Connection.send'),
            Guard('give requests up before resigning', 'fescuequay_entry.relay.coordinator:Coordinator.stop'),
            Guard('reset connections as the process ends', 'fescuequay_entry.relay.tcp_options:reset_at_close'),
            Guard('take over only after the lease', 'fescuequay_core.relay.lease:CoordinatorLease.may_take_over'),
        )
    },
    depth=5,
)
