"""Closing: on the users' platform, no instance acts on a leader record after the next primary was named.

The coordinator renews its lease, and only the lease holder writes leader records. While its lease is valid it
confirms the newest record that it knows, unless a write of its own may have been applied without its knowing.
An instance asks the coordinator for confirmation and dates the answer from before its request. Another coordinator
takes the lease over once it has certainly expired, or once the holder has said that it confirms nothing more.

A promoter has each instance's permit revoked or waits until it has expired. The wait starts:
- at a time when the record was certainly closing;
- in the same coordinator, at the latest confirmation that it sent;
- in a coordinator that took the lease over and has confirmed nothing itself, at the takeover or at the end of the
  earlier lease.

One instance stands for all. Times are in true time. Monotonic clocks, that of the table included, run at between
1 - DRIFT and 1 + DRIFT times its rate; the drift over the age that a peer passes on lies within the margin.
"""

from collections.abc import Callable
from typing import Any

import z3

from fescuequay_core.relay.lease import LEASE_S, TAKEOVER_AFTER_S
from fescuequay_core.relay.permits import PERMIT_MARGIN_S, PERMIT_S
from spec.transition import Action, Guard, State, System, update

PERMIT = z3.RealVal(str(PERMIT_S))
WAIT = z3.RealVal(str(PERMIT_S + PERMIT_MARGIN_S))
LEASE, TAKEOVER = z3.RealVal(str(LEASE_S)), z3.RealVal(str(TAKEOVER_AFTER_S))
DRIFT = z3.RealVal('1/500')

_ApplyGuard = Callable[[str, Any], Any]

_YES, _NO = z3.BoolVal(val=True), z3.BoolVal(val=False)


def update_later(before: State, after: State, **changes: Any) -> Any:
    """:returns: The condition that the given variables change, all others keep their values, and any time passes."""
    later = z3.Real('later')
    return z3.And(later >= before['now'], update(before, after, now=later, **changes))


def _send_renewal(before: State, after: State, guard: _ApplyGuard) -> Any:
    return z3.And(
        z3.Not(before['renewing']),
        guard('renew only with a complete view', before['complete_version'] == before['known_version']),
        guard(
            'renew only a lease that is held',
            z3.Or(z3.Not(before['taken_over']), before['known_version'] < before['takeover_version']),
        ),
        update_later(
            before,
            after,
            renewing=_YES,
            renewal_applied=_NO,
            renewal_sent_at=before['now'],
            renewal_condition=before['known_version'],
        ),
    )


def _apply_renewal(before: State, after: State, guard: _ApplyGuard) -> Any:
    """The table applies the renewal if the lease row is still as the coordinator knew it."""
    return z3.And(
        before['renewing'],
        z3.Not(before['renewal_applied']),
        guard('write only over the row that was read', before['renewal_condition'] == before['version']),
        update_later(
            before, after, renewal_applied=_YES, version=before['version'] + 1, lease_at=before['renewal_sent_at']
        ),
    )


def _receive_renewal(before: State, after: State, guard: _ApplyGuard) -> Any:
    start = z3.Real('start')
    received = {
        'renewing': _NO,
        'known_version': before['renewal_condition'] + 1,
        'complete_version': before['renewal_condition'] + 1,
        'closing_pending': _NO,
    }
    return z3.And(
        before['renewing'],
        before['renewal_applied'],
        start <= before['now'],
        guard('start the lease before the renewal', start == before['renewal_sent_at']),
        update_later(before, after, **received, known_lease_at=start),
    )


def _lose_renewal_answer(before: State, after: State, guard: _ApplyGuard) -> Any:
    return z3.And(before['renewing'], update_later(before, after, renewing=_NO))


def _send_closing(before: State, after: State, guard: _ApplyGuard) -> Any:
    """The coordinator sends the closing record; an earlier attempt may still be in transit."""
    return z3.And(
        # The coordinator has one write in flight at a time.
        z3.Not(before['renewing']),
        z3.Not(before['closing_pending']),
        z3.Not(before['knows_closing']),
        before['complete_version'] == before['known_version'],
        update_later(
            before,
            after,
            closing_pending=_YES,
            closing_sent_at=before['now'],
            closing_condition=before['known_version'],
        ),
    )


def _apply_closing(before: State, after: State, guard: _ApplyGuard) -> Any:
    """The table applies the closing record together with the lease row; the coordinator may not learn of it."""
    version = before['version'] + 1
    is_own = z3.And(
        before['closing_pending'],
        guard('close only over the row that was read', before['closing_condition'] == before['version']),
    )
    return z3.And(
        z3.Not(before['closed']),
        z3.Or(is_own, before['taken_over']),
        update_later(before, after, closed=_YES, closed_at=before['now'], version=version, closed_version=version),
    )


def _read(before: State, after: State, guard: _ApplyGuard) -> Any:
    """The coordinator reads the table or receives the answer to its own write."""
    return update_later(
        before,
        after,
        known_version=before['version'],
        complete_version=before['version'],
        knows_closing=before['closed'],
    )


def _receive_row(before: State, after: State, guard: _ApplyGuard) -> Any:
    """A peer that read the table sends the coordinator the lease row and nothing else."""
    return update_later(before, after, known_version=before['version'])


def _take_over(before: State, after: State, guard: _ApplyGuard) -> Any:
    """Another coordinator takes the lease over, and receives the answer later."""
    version = before['version'] + 1
    known_at, seen_at = z3.Real('known_at'), z3.Real('lease_seen_at')
    return z3.And(
        z3.Not(before['taken_over']),
        seen_at <= before['now'],
        guard('date the earlier lease by when its row was seen', seen_at >= before['lease_at']),
        guard('take over only after the lease', z3.Or(before['resigned'], _has_expired(before))),
        guard('start the wait after the takeover', known_at >= before['now']),
        known_at <= after['now'],
        update_later(
            before,
            after,
            taken_over=_YES,
            version=version,
            takeover_version=version,
            taken_over_at=before['now'],
            takeover_known_at=known_at,
            lease_seen_at=seen_at,
        ),
    )


def _has_expired(now: State) -> Any:
    """:returns: Whether the lease has expired for an observer that saw its row change after the latest renewal."""
    return (now['now'] - now['lease_at']) * (1 + DRIFT) >= TAKEOVER


def _resign(before: State, after: State, guard: _ApplyGuard) -> Any:
    return update_later(before, after, resigned=_YES)


def _holds(now: State, guard: _ApplyGuard) -> Any:
    """:returns: Whether the coordinator considers itself the holder and has read everything that it knows to exist."""
    return z3.And(
        guard('confirm nothing after resigning', z3.Not(now['resigned'])),
        guard('confirm only under a valid lease', (now['now'] - now['known_lease_at']) * (1 - DRIFT) < LEASE),
        now['complete_version'] == now['known_version'],
    )


def _answer(before: State, after: State, guard: _ApplyGuard) -> Any:
    # The request was sent at any earlier time.
    start, requested_at = z3.Real('start'), z3.Real('requested_at')
    confirmed_until, confirmed_at = z3.Real('confirmed_until'), z3.Real('confirmed_at')
    is_resolved = z3.Or(z3.Not(before['closing_pending']), confirmed_until <= before['closing_sent_at'])
    age = before['now'] - confirmed_until
    is_recorded = z3.And(
        confirmed_at >= before['last_confirmed_at'], z3.Or(before['knows_closing'], confirmed_at >= confirmed_until)
    )
    return z3.And(
        z3.Not(before['answer_pending']),
        z3.Or(before['knows_closing'], _holds(before, guard)),
        confirmed_until <= before['now'],
        guard('confirm nothing after a write whose outcome is not known', is_resolved),
        requested_at <= before['now'],
        start <= before['now'],
        guard('date an answer from before the request', start == requested_at - age),
        confirmed_at <= before['now'],
        z3.Implies(before['knows_closing'], confirmed_at == before['last_confirmed_at']),
        guard('record the latest confirmation', is_recorded),
        update_later(
            before,
            after,
            answer_pending=_YES,
            answer_is_closing=before['knows_closing'],
            answer_at=start,
            last_confirmed_at=confirmed_at,
        ),
    )


def _receive_answer(before: State, after: State, guard: _ApplyGuard) -> Any:
    done = {'answer_pending': _NO}
    newer = guard('ignore an older record', z3.Not(before['instance_knows_closing']))
    return z3.And(
        before['answer_pending'],
        z3.If(
            before['answer_is_closing'],
            update_later(before, after, **done, instance_knows_closing=_YES, permit=_NO),
            z3.If(
                newer,
                update_later(before, after, **done, permit=_YES, permit_at=before['answer_at']),
                update_later(before, after, **done),
            ),
        ),
    )


def _observe_closing(before: State, after: State, guard: _ApplyGuard) -> Any:
    since = z3.Real('since')
    return z3.And(
        before['closed'],
        z3.Not(before['closing_observed']),
        since <= before['now'],
        guard('date the closing no earlier than its write', since >= before['closed_at']),
        update_later(before, after, closing_observed=_YES, closing_observed_at=since),
    )


def _revoke_permit(before: State, after: State, guard: _ApplyGuard) -> Any:
    return z3.And(
        before['closing_observed'],
        update_later(before, after, instance_knows_closing=_YES, permit=_NO, permit_revoked=_YES),
    )


def _name_primary(before: State, after: State, guard: _ApplyGuard) -> Any:
    return z3.And(
        before['closing_observed'],
        z3.Or(
            before['permit_revoked'], guard('wait until permits of silent instances have expired', _has_waited(before))
        ),
        update_later(before, after, promoted=_YES),
    )


def _has_waited(now: State) -> Any:
    """:returns: Whether all permits of the closed term have expired, by one of the three starts of the wait."""

    def has_expired_since(since: Any) -> Any:
        return (now['now'] - since) * (1 + DRIFT) >= WAIT

    by_same_coordinator = z3.And(now['knows_closing'], has_expired_since(now['last_confirmed_at']))
    by_new_coordinator = z3.And(
        now['taken_over'],
        z3.Or(has_expired_since(now['takeover_known_at']), has_expired_since(now['lease_seen_at'] + LEASE)),
    )
    return z3.Or(has_expired_since(now['closing_observed_at']), by_same_coordinator, by_new_coordinator)


def _acknowledge(before: State, after: State, guard: _ApplyGuard) -> Any:
    elapsed = (before['now'] - before['permit_at']) * (1 - DRIFT)
    return z3.And(
        before['permit'],
        guard('acknowledge only under a valid permit', elapsed < PERMIT),
        update_later(before, after, acknowledged_late=z3.Or(before['acknowledged_late'], before['promoted'])),
    )


def _initial(first: State) -> Any:
    # The leader was published and last confirmed at time 0.
    flags = (name for name, sort in SORTS.items() if sort == z3.BoolSort())
    numbers = (
        'known_lease_at',
        'lease_at',
        'last_confirmed_at',
        *(name for name, sort in SORTS.items() if sort == _INT),
    )
    return z3.And(
        first['now'] >= 0,
        *(z3.Not(first[name]) for name in flags),
        *(first[name] == 0 for name in numbers),
    )


def _invariant(now: State) -> dict[str, Any]:
    closed, knows = now['closed'], now['knows_closing']
    is_later = now['renewal_condition'] >= now['closed_version']
    past = {
        'renewing': 'renewal_sent_at',
        'closing_pending': 'closing_sent_at',
        'answer_pending': 'answer_at',
        'permit': 'permit_at',
        'closed': 'closed_at',
        'closing_observed': 'closing_observed_at',
        'taken_over': 'taken_over_at',
    }
    open_answer = z3.And(now['answer_pending'], z3.Not(now['answer_is_closing']))
    return {
        'times are not in the future': z3.And(
            *(z3.Implies(now[flag], now[at] <= now['now']) for flag, at in past.items())
        ),
        'versions exist': z3.And(
            *(
                now[name] <= now['version']
                for name in ('known_version', 'complete_version', 'renewal_condition', 'closed_version')
            ),
            z3.Implies(z3.And(now['renewing'], now['renewal_applied']), now['renewal_condition'] < now['version']),
        ),
        'a closing is known only after it was written': z3.And(
            z3.Implies(knows, closed),
            z3.Implies(now['closing_observed'], closed),
            z3.Implies(now['instance_knows_closing'], closed),
        ),
        'an incomplete view is older than the closing': z3.Implies(
            z3.And(closed, z3.Not(knows)), now['complete_version'] < now['closed_version']
        ),
        'a renewal that follows the closing is sent with knowledge of it': z3.Implies(
            z3.And(now['renewing'], closed, is_later), knows
        ),
        'a renewal applied before the closing was sent before it': z3.Implies(
            z3.And(now['renewing'], now['renewal_applied'], closed, z3.Not(is_later)),
            z3.And(now['renewal_sent_at'] <= now['closed_at'], now['renewal_condition'] + 1 < now['closed_version']),
        ),
        'confirmations are older than the closing': z3.And(
            z3.Implies(
                z3.And(now['answer_pending'], closed, z3.Not(now['answer_is_closing'])),
                now['answer_at'] <= now['closed_at'],
            ),
            z3.Implies(z3.And(now['permit'], closed), now['permit_at'] <= now['closed_at']),
        ),
        'the latest confirmation is recorded': z3.And(
            now['last_confirmed_at'] <= now['now'],
            z3.Implies(open_answer, now['answer_at'] <= now['last_confirmed_at']),
            z3.Implies(now['permit'], now['permit_at'] <= now['last_confirmed_at']),
        ),
        'an earlier coordinator confirms nothing after the takeover': z3.Implies(
            now['taken_over'],
            z3.And(
                now['taken_over_at'] <= now['takeover_known_at'],
                now['takeover_known_at'] <= now['now'],
                now['takeover_version'] <= now['version'],
                now['lease_at'] <= now['lease_seen_at'],
                z3.Implies(open_answer, now['answer_at'] <= now['taken_over_at']),
                z3.Implies(now['permit'], now['permit_at'] <= now['taken_over_at']),
                z3.Implies(now['renewing'], now['renewal_condition'] < now['takeover_version']),
            ),
        ),
        'the takeover comes after the lease': z3.And(
            now['known_lease_at'] <= now['lease_at'],
            now['lease_at'] <= now['now'],
            z3.Implies(open_answer, now['answer_at'] <= now['lease_at'] + LEASE / (1 - DRIFT)),
            z3.Implies(now['permit'], now['permit_at'] <= now['lease_at'] + LEASE / (1 - DRIFT)),
            z3.Implies(z3.And(now['renewing'], now['renewal_applied']), now['renewal_sent_at'] <= now['lease_at']),
            z3.Implies(now['renewing'], now['lease_at'] <= now['renewal_sent_at']),
            z3.Implies(
                now['taken_over'],
                z3.Or(now['resigned'], (now['taken_over_at'] - now['lease_at']) * (1 + DRIFT) >= TAKEOVER),
            ),
        ),
        'a coordinator that does not know of the closing wrote it or had lost the lease': z3.Implies(
            z3.And(closed, z3.Not(knows)),
            z3.Or(
                z3.And(now['taken_over'], now['taken_over_at'] <= now['closed_at']),
                z3.And(
                    now['closing_pending'],
                    now['closing_sent_at'] <= now['closed_at'],
                    z3.Not(z3.And(now['renewing'], now['renewal_applied'])),
                ),
            ),
        ),
        'a pending closing is older than the renewal': z3.Implies(
            now['closing_pending'],
            z3.And(
                now['closing_condition'] <= now['known_version'],
                z3.Implies(now['renewing'], now['closing_condition'] <= now['renewal_condition']),
            ),
        ),
        'an answer that reports the closing comes after it': z3.Implies(
            z3.And(now['answer_pending'], now['answer_is_closing']), closed
        ),
        'the closing is observed after it was written': z3.Implies(
            now['closing_observed'], now['closed_at'] <= now['closing_observed_at']
        ),
        'an instance that knows of the closing has no permit': z3.And(
            z3.Implies(now['instance_knows_closing'], z3.Not(now['permit'])),
            z3.Implies(now['permit_revoked'], now['instance_knows_closing']),
        ),
        'a promotion comes after the last permit': z3.Implies(
            now['promoted'],
            z3.And(now['closing_observed'], z3.Or(now['permit_revoked'], _has_waited(now))),
        ),
        'no late acknowledgement': z3.Not(now['acknowledged_late']),
    }


_REAL, _BOOL, _INT = z3.RealSort(), z3.BoolSort(), z3.IntSort()

SORTS = {
    'now': _REAL,
    'version': _INT,
    'known_version': _INT,
    'complete_version': _INT,
    'knows_closing': _BOOL,
    'renewing': _BOOL,
    'renewal_applied': _BOOL,
    'renewal_sent_at': _REAL,
    'renewal_condition': _INT,
    'known_lease_at': _REAL,
    'lease_at': _REAL,
    'resigned': _BOOL,
    'closing_pending': _BOOL,
    'closing_sent_at': _REAL,
    'closing_condition': _INT,
    'closed': _BOOL,
    'closed_at': _REAL,
    'closed_version': _INT,
    'answer_pending': _BOOL,
    'answer_is_closing': _BOOL,
    'answer_at': _REAL,
    'instance_knows_closing': _BOOL,
    'permit': _BOOL,
    'permit_at': _REAL,
    'closing_observed': _BOOL,
    'closing_observed_at': _REAL,
    'permit_revoked': _BOOL,
    'last_confirmed_at': _REAL,
    'taken_over': _BOOL,
    'taken_over_at': _REAL,
    'takeover_known_at': _REAL,
    'lease_seen_at': _REAL,
    'takeover_version': _INT,
    'promoted': _BOOL,
    'acknowledged_late': _BOOL,
}

_RECORDS = 'fescuequay_entry.relay.records:Records'
_MEMBERSHIP = 'fescuequay_entry.relay.membership:Membership'
_REPLACEMENT = 'fescuequay_entry.relay.replacement:Replacement'
_PERMITS = 'fescuequay_core.relay.permits:Permits'
_CONFIRMATIONS = 'fescuequay_core.relay.permits:Confirmations'
_LEASE = 'fescuequay_core.relay.lease:CoordinatorLease'

#: The coordinator answers after another one closed the term, or after its own closing was applied unknown to it.
_LATE_ANSWER = (_answer, _receive_answer, _name_primary, _acknowledge)

#: An instance does not answer, and the coordinator knows of the closing.
_SILENT_INSTANCE = (
    _answer,
    _receive_answer,
    _send_closing,
    _apply_closing,
    _observe_closing,
    _name_primary,
    _acknowledge,
)

#: An instance does not answer, and another coordinator takes over from one that resigned.
_TAKEOVER_AFTER_RESIGNATION = (
    _answer,
    _receive_answer,
    _resign,
    _take_over,
    _apply_closing,
    _observe_closing,
    _name_primary,
    _acknowledge,
)

SYSTEM = System(
    name='closing',
    sorts=SORTS,
    initial=_initial,
    actions=(
        Action('the coordinator sends a renewal', f'{_RECORDS}.renew', _send_renewal),
        Action('the table applies the renewal', 'environment', _apply_renewal),
        Action('the coordinator receives the answer to the renewal', f'{_PERMITS}.confirm', _receive_renewal),
        Action('the answer to the renewal is lost', 'environment', _lose_renewal_answer),
        Action('the coordinator sends the closing record', f'{_RECORDS}.write_leader', _send_closing),
        Action('the coordinator resigns', f'{_LEASE}.resign', _resign),
        Action('the table applies the closing record', f'{_RECORDS}.write_leader', _apply_closing),
        Action('the coordinator reads the table', f'{_RECORDS}.read', _read),
        Action('another coordinator takes the lease over', f'{_RECORDS}.acquire_lease', _take_over),
        Action('a peer sends the coordinator the lease row', f'{_LEASE}.observe', _receive_row),
        Action(
            'the coordinator answers an instance', 'fescuequay_entry.relay.coordinator:Coordinator.exchange', _answer
        ),
        Action('the instance receives the answer', f'{_MEMBERSHIP}._apply_answer', _receive_answer),
        Action('the promoter observes the closing', f'{_PERMITS}.written_by', _observe_closing),
        Action('the instance revokes its permit', f'{_MEMBERSHIP}.answer_close', _revoke_permit),
        Action('the next primary is named', f'{_REPLACEMENT}._request_promotion', _name_primary),
        Action(
            'the instance acknowledges',
            'fescuequay_entry.relay.statement_runner:StatementRunner.has_valid_permit',
            _acknowledge,
        ),
    ),
    invariant=_invariant,
    properties=lambda now: {'no acknowledgement after the next primary was named': z3.Not(now['acknowledged_late'])},
    guards={
        guard.name: guard
        for guard in (
            Guard(
                'renew only with a complete view',
                f'{_RECORDS}._write',
                (
                    _send_closing,
                    _apply_closing,
                    _observe_closing,
                    _receive_row,
                    _send_renewal,
                    _apply_renewal,
                    _receive_renewal,
                    *_LATE_ANSWER,
                ),
            ),
            Guard(
                'write only over the row that was read',
                f'{_RECORDS}._write',
                (
                    _send_closing,
                    _apply_closing,
                    _observe_closing,
                    _send_renewal,
                    _apply_renewal,
                    _receive_renewal,
                    *_LATE_ANSWER,
                ),
            ),
            Guard(
                'renew only a lease that is held',
                f'{_RECORDS}._write',
                (
                    _take_over,
                    _read,
                    _send_renewal,
                    _apply_renewal,
                    _receive_renewal,
                    _apply_closing,
                    _observe_closing,
                    *_LATE_ANSWER,
                ),
            ),
            Guard(
                'close only over the row that was read',
                f'{_RECORDS}._write',
                (
                    _send_closing,
                    _send_renewal,
                    _apply_renewal,
                    _apply_closing,
                    _observe_closing,
                    _receive_renewal,
                    *_LATE_ANSWER,
                ),
            ),
            Guard('date the closing no earlier than its write', f'{_RECORDS}.read', _SILENT_INSTANCE),
            Guard(
                'take over only after the lease',
                f'{_LEASE}.may_take_over',
                (_take_over, _apply_closing, _observe_closing, *_LATE_ANSWER),
            ),
            Guard(
                'confirm only under a valid lease',
                f'{_LEASE}.holds',
                (_take_over, _apply_closing, _observe_closing, *_LATE_ANSWER),
            ),
            Guard(
                'confirm nothing after resigning',
                f'{_LEASE}.holds',
                (_resign, _take_over, _apply_closing, _observe_closing, *_LATE_ANSWER),
            ),
            Guard(
                'confirm nothing after a write whose outcome is not known',
                f'{_RECORDS}.confirmed_at',
                (_send_closing, _apply_closing, _observe_closing, *_LATE_ANSWER),
            ),
            Guard('start the wait after the takeover', f'{_CONFIRMATIONS}.begin', _TAKEOVER_AFTER_RESIGNATION),
            Guard(
                'date the earlier lease by when its row was seen', f'{_LEASE}.expires_at', _TAKEOVER_AFTER_RESIGNATION
            ),
            Guard(
                'record the latest confirmation',
                f'{_CONFIRMATIONS}.record_sent',
                (
                    _answer,
                    _receive_answer,
                    _send_closing,
                    _apply_closing,
                    _read,
                    _observe_closing,
                    _name_primary,
                    _acknowledge,
                ),
            ),
            Guard(
                'start the lease before the renewal',
                f'{_RECORDS}.renew',
                (
                    _send_renewal,
                    _apply_renewal,
                    _take_over,
                    _apply_closing,
                    _observe_closing,
                    _receive_renewal,
                    *_LATE_ANSWER,
                ),
            ),
            Guard(
                'date an answer from before the request',
                f'{_MEMBERSHIP}._apply_answer',
                (
                    _answer,
                    _receive_answer,
                    _send_closing,
                    _apply_closing,
                    _read,
                    _observe_closing,
                    _name_primary,
                    _acknowledge,
                ),
            ),
            Guard(
                'ignore an older record',
                f'{_PERMITS}.observe',
                (
                    _answer,
                    _send_closing,
                    _apply_closing,
                    _observe_closing,
                    _revoke_permit,
                    _receive_answer,
                    _name_primary,
                    _acknowledge,
                ),
            ),
            Guard(
                'wait until permits of silent instances have expired',
                f'{_REPLACEMENT}._revoke_permit',
                _SILENT_INSTANCE,
            ),
            Guard('acknowledge only under a valid permit', f'{_PERMITS}.leader', _SILENT_INSTANCE),
        )
    },
    depth=11,
)
