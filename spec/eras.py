"""Eras: on the users' platform, a table that comes back from a copy does not bring back what has been replaced.

One coordinator of the earlier era stands for all. The table may lose everything that it wrote: that it renewed its
lease, closed the leader record, or had another target promoted. Then either that coordinator settles the new era from
memory, while its lease runs, or another instance does so without knowing what happened. It keeps the record as leading
if its own permit is live. Otherwise the record is in doubt: it may lead again only once the targets show that no
promotion took place, or another target is promoted.

Another instance stands for all that hold a permit of the earlier era and are missing from the list of the new one.
Times are in true time; monotonic clocks run at between 1 - DRIFT and 1 + DRIFT times its rate.
"""

from collections.abc import Callable
from typing import Any

import z3

from fescuequay_core.relay import eras
from fescuequay_core.relay.lease import SETTLE_AFTER_S
from fescuequay_core.relay.settlement import PROMOTION_EFFECT_S
from fescuequay_core.types import Era
from spec.closing import DRIFT, LEASE, PERMIT, WAIT, update_later
from spec.transition import Action, Guard, State, System

SETTLE, EFFECT = z3.RealVal(str(SETTLE_AFTER_S)), z3.RealVal(str(PROMOTION_EFFECT_S))
#: Tokens of the earlier era are smaller than this one.
FIRST_TOKEN = eras.next_token(0, Era(1))

_ApplyGuard = Callable[[str, Any], Any]

_YES, _NO = z3.BoolVal(val=True), z3.BoolVal(val=False)


def _acts(now: State) -> Any:
    """:returns: Whether the earlier coordinator may act."""
    return (now['now'] - now['lease_at']) * (1 - DRIFT) < LEASE


def _is_live(now: State, permit: str) -> Any:
    return z3.And(now[permit], (now['now'] - now[f'{permit}_at']) * (1 - DRIFT) < PERMIT)


def _renew(before: State, after: State, guard: _ApplyGuard) -> Any:
    sent_at = z3.Real('sent_at')
    accepted = guard('count no write that a later era answers', z3.Not(before['era_began']))
    return z3.And(
        _acts(before),
        accepted,
        sent_at >= before['lease_at'],
        sent_at <= before['now'],
        update_later(before, after, lease_at=sent_at),
    )


def _confirm(permit: str) -> Callable[[State, State, _ApplyGuard], Any]:
    def step(before: State, after: State, guard: _ApplyGuard) -> Any:
        """The earlier coordinator confirms the record; the answer may be as old as a lease."""
        at = z3.Real('confirmed_at')
        return z3.And(
            _acts(before),
            z3.Not(before['closed']),
            at >= before[f'{permit}_at'],
            at <= before['now'],
            guard(
                'confirm nothing beyond the own settlement',
                z3.Implies(before['settled_by_holder'], at <= before['settled_at']),
            ),
            update_later(before, after, **{permit: _YES, f'{permit}_at': at}),
        )

    return step


_confirm_settler, _confirm_other = _confirm('settler_permit'), _confirm('other_permit')


def _close(before: State, after: State, guard: _ApplyGuard) -> Any:
    return z3.And(_acts(before), update_later(before, after, closed=_YES))


def _revoke(before: State, after: State, guard: _ApplyGuard) -> Any:
    """The earlier coordinator tells both instances of the closing."""
    return z3.And(before['closed'], update_later(before, after, settler_permit=_NO, other_permit=_NO))


def _request_promotion(before: State, after: State, guard: _ApplyGuard) -> Any:
    def has_ended(permit: str) -> Any:
        return z3.Or(z3.Not(before[permit]), (before['now'] - before[f'{permit}_at']) * (1 + DRIFT) >= WAIT)

    return z3.And(
        _acts(before),
        before['closed'],
        z3.Not(before['promoted']),
        has_ended('settler_permit'),
        has_ended('other_permit'),
        update_later(before, after, promoted=_YES, promoted_at=before['now']),
    )


def _begin_era(before: State, after: State, guard: _ApplyGuard) -> Any:
    """The table comes back from a copy; writes of the earlier coordinator may be under way."""
    return z3.And(
        z3.Not(before['era_began']),
        update_later(before, after, era_began=_YES, write_pending=z3.Or(before['write_pending'], _acts(before))),
    )


def _see_era(before: State, after: State, guard: _ApplyGuard) -> Any:
    return z3.And(
        before['era_began'],
        z3.Not(before['era_seen']),
        update_later(before, after, era_seen=_YES, seen_at=before['now']),
    )


def _is_free(now: State, guard: _ApplyGuard) -> Any:
    settled = z3.Or(now['settled_by_holder'], now['settled_by_other'])
    return guard('settle an era that has no lease', z3.Not(settled))


def _settle_as_holder(before: State, after: State, guard: _ApplyGuard) -> Any:
    """The earlier coordinator writes what it knows, which is complete."""
    return z3.And(
        before['era_began'],
        _acts(before),
        _is_free(before, guard),
        update_later(before, after, settled_by_holder=_YES, settled_at=before['now']),
    )


def _settle_as_other(before: State, after: State, guard: _ApplyGuard) -> Any:
    is_kept, token = z3.Bool('is_kept'), z3.Int('new_token')
    has_waited = (before['now'] - before['seen_at']) * (1 + DRIFT) >= SETTLE
    return z3.And(
        before['era_seen'],
        _is_free(before, guard),
        guard('settle after earlier coordinators have stopped', has_waited),
        z3.Implies(is_kept, guard('keep a record only under a live permit', _is_live(before, 'settler_permit'))),
        token > before['known_token'],
        guard('order tokens by era', token >= FIRST_TOKEN),
        update_later(
            before,
            after,
            settled_by_other=_YES,
            settled_at=before['now'],
            leads_on=z3.Or(before['leads_on'], is_kept),
            token=token,
        ),
    )


def _ask_targets(before: State, after: State, guard: _ApplyGuard) -> Any:
    """All targets answer; a promotion shows by the time that promotions take at most."""
    has_waited = (before['now'] - before['settled_at']) * (1 + DRIFT) >= EFFECT
    is_hidden = z3.Or(z3.Not(before['promoted']), before['now'] - before['promoted_at'] < EFFECT)
    return z3.And(
        before['settled_by_other'],
        guard('ask the targets after promotions have taken effect', has_waited),
        is_hidden,
        update_later(before, after, leads_on=_YES),
    )


def _promote_in_new_era(before: State, after: State, guard: _ApplyGuard) -> Any:
    """A coordinator of the new era has another target promoted; the other instance is not in its list."""
    has_waited = (before['now'] - before['settled_at']) * (1 + DRIFT) >= WAIT
    return z3.And(
        z3.Or(before['settled_by_other'], before['settled_by_holder']),
        guard('outwait permits of the earlier era', has_waited),
        update_later(before, after, promoted_later=_YES),
    )


def _acknowledge(before: State, after: State, guard: _ApplyGuard) -> Any:
    is_late = z3.Or(before['late'], before['promoted_later'])
    return z3.And(_is_live(before, 'other_permit'), update_later(before, after, late=is_late))


def _write_late(before: State, after: State, guard: _ApplyGuard) -> Any:
    """The table carries out a write of the earlier era; its rows may have the versions that it expects."""
    settled = z3.Or(before['settled_by_holder'], before['settled_by_other'])
    return z3.And(
        before['write_pending'],
        settled,
        guard('keep the rows of each era apart', _NO),
        update_later(before, after, overwritten=_YES),
    )


def _initial(first: State) -> Any:
    flags = (name for name, sort in SORTS.items() if sort == _BOOL)
    reals = (name for name, sort in SORTS.items() if sort == _REAL)
    return z3.And(
        *(z3.Not(first[name]) for name in flags),
        *(first[name] == 0 for name in reals),
        first['known_token'] <= first['old_token'],
        first['known_token'] >= 0,
        first['old_token'] < FIRST_TOKEN,
        first['token'] == FIRST_TOKEN,
    )


def _invariant(now: State) -> dict[str, Any]:
    settled = z3.Or(now['settled_by_holder'], now['settled_by_other'])
    lease_end = now['lease_at'] + LEASE / (1 - DRIFT)
    past = ('lease_at', 'settler_permit_at', 'other_permit_at', 'promoted_at', 'seen_at', 'settled_at')
    return {
        'times are not in the future': z3.And(now['now'] >= 0, *(now[name] <= now['now'] for name in past)),
        'events happen in their order': z3.And(
            z3.Implies(now['era_seen'], now['era_began']),
            z3.Implies(settled, now['era_began']),
            z3.Implies(now['promoted'], now['closed']),
            z3.Implies(now['leads_on'], now['settled_by_other']),
            z3.Implies(now['promoted_later'], settled),
            z3.Implies(now['late'], now['promoted_later']),
        ),
        'the last renewal comes before the era is seen': z3.Implies(now['era_seen'], now['lease_at'] <= now['seen_at']),
        'the earlier coordinator acts only under its lease': z3.And(
            now['other_permit_at'] <= lease_end, z3.Implies(now['promoted'], now['promoted_at'] <= lease_end)
        ),
        'an instance settles after the earlier coordinator has stopped': z3.Implies(
            now['settled_by_other'],
            z3.And(
                now['era_seen'],
                (now['settled_at'] - now['seen_at']) * (1 + DRIFT) >= SETTLE,
                lease_end < now['settled_at'],
                now['token'] >= FIRST_TOKEN,
            ),
        ),
        'the holder settles after its last confirmation': z3.Implies(
            now['settled_by_holder'], now['other_permit_at'] <= now['settled_at']
        ),
        'a promotion comes after the permits': z3.Implies(
            z3.And(now['promoted'], now['settler_permit']),
            (now['promoted_at'] - now['settler_permit_at']) * (1 + DRIFT) >= WAIT,
        ),
        'one settles an era': z3.Not(z3.And(now['settled_by_holder'], now['settled_by_other'])),
        'a record that leads on was never replaced': z3.Not(z3.And(now['leads_on'], now['promoted'])),
        'a promotion of the new era comes after the permits of the earlier one': z3.Implies(
            now['promoted_later'],
            (now['now'] - now['settled_at']) * (1 + DRIFT) >= WAIT,
        ),
        'tokens': z3.And(now['known_token'] <= now['old_token'], now['old_token'] < FIRST_TOKEN),
        'no late acknowledgement': z3.Not(now['late']),
        'rows stay as they were settled': z3.Not(now['overwritten']),
    }


def _properties(now: State) -> dict[str, Any]:
    return {
        'coordinators of two eras never act at once': z3.Not(z3.And(now['settled_by_other'], _acts(now))),
        'one settles an era': z3.Not(z3.And(now['settled_by_holder'], now['settled_by_other'])),
        'a record that leads on was never replaced': z3.Not(z3.And(now['leads_on'], now['promoted'])),
        'no late acknowledgement': z3.Not(now['late']),
        'tokens grow': z3.Implies(now['settled_by_other'], now['token'] > now['old_token']),
        'rows stay as they were settled': z3.Not(now['overwritten']),
    }


_REAL, _BOOL, _INT = z3.RealSort(), z3.BoolSort(), z3.IntSort()

SORTS = {
    'now': _REAL,
    'lease_at': _REAL,
    'closed': _BOOL,
    'promoted': _BOOL,
    'promoted_at': _REAL,
    'settler_permit': _BOOL,
    'settler_permit_at': _REAL,
    'other_permit': _BOOL,
    'other_permit_at': _REAL,
    'era_began': _BOOL,
    'era_seen': _BOOL,
    'seen_at': _REAL,
    'settled_by_holder': _BOOL,
    'settled_by_other': _BOOL,
    'settled_at': _REAL,
    'leads_on': _BOOL,
    'promoted_later': _BOOL,
    'late': _BOOL,
    'write_pending': _BOOL,
    'overwritten': _BOOL,
    'known_token': _INT,
    'old_token': _INT,
    'token': _INT,
}

_RECORDS = 'fescuequay_entry.relay.records:Records'
_TABLE = 'fescuequay_entry.relay.era_table:EraTable'
_LEASE = 'fescuequay_core.relay.lease:CoordinatorLease'
_REPLACEMENT = 'fescuequay_entry.relay.replacement:Replacement'
_COORDINATOR = 'fescuequay_entry.relay.coordinator:Coordinator'

_SEEN = (_begin_era, _see_era)
_SETTLED = (*_SEEN, _settle_as_other)
_SETTLED_TWICE = (_begin_era, _settle_as_holder, _see_era, _settle_as_other)

SYSTEM = System(
    name='eras',
    sorts=SORTS,
    initial=_initial,
    actions=(
        Action('the earlier coordinator renews its lease', f'{_RECORDS}.renew', _renew),
        Action('it confirms the record to the settler', f'{_COORDINATOR}.exchange', _confirm_settler),
        Action('it confirms the record to another', f'{_COORDINATOR}.exchange', _confirm_other),
        Action('it closes the record', f'{_REPLACEMENT}._close', _close),
        Action('it collects the permits', f'{_REPLACEMENT}._collect_permits', _revoke),
        Action('it requests a promotion', f'{_REPLACEMENT}._request_promotion', _request_promotion),
        Action('the table comes back from a copy', 'environment', _begin_era),
        Action('an instance sees the era', f'{_LEASE}.enter_era', _see_era),
        Action('the earlier coordinator settles the era', f'{_RECORDS}.acquire_lease', _settle_as_holder),
        Action('the instance settles the era', f'{_RECORDS}.acquire_lease', _settle_as_other),
        Action('it asks the targets', f'{_REPLACEMENT}._keep_primary', _ask_targets),
        Action('another target is promoted', f'{_REPLACEMENT}.run', _promote_in_new_era),
        Action('the other instance acknowledges a write', f'{_LEASE}.holds', _acknowledge),
        Action('the table carries out an earlier write', 'environment', _write_late),
    ),
    invariant=_invariant,
    properties=_properties,
    guards={
        guard.name: guard
        for guard in (
            Guard('count no write that a later era answers', f'{_TABLE}.commit', (*_SEEN, _renew, _settle_as_other)),
            Guard('settle an era that has no lease', f'{_RECORDS}.acquire_lease', _SETTLED_TWICE),
            Guard('settle after earlier coordinators have stopped', f'{_LEASE}.may_take_over', _SETTLED),
            Guard(
                'keep a record only under a live permit',
                'fescuequay_core.relay.settlement:settle',
                (_close, *_SEEN, _request_promotion, _settle_as_other),
            ),
            Guard('order tokens by era', 'fescuequay_core.relay.eras:next_token', _SETTLED),
            Guard(
                'ask the targets after promotions have taken effect',
                f'{_REPLACEMENT}._keep_primary',
                (_close, *_SEEN, _request_promotion, _settle_as_other, _ask_targets),
            ),
            Guard(
                'outwait permits of the earlier era',
                f'{_REPLACEMENT}._earlier_era_deadline',
                (_begin_era, _see_era, _confirm_other, _settle_as_other, _promote_in_new_era, _acknowledge),
            ),
            Guard(
                'confirm nothing beyond the own settlement',
                f'{_RECORDS}.confirmed_at',
                (_begin_era, _settle_as_holder, _confirm_other, _promote_in_new_era, _acknowledge),
            ),
            Guard('keep the rows of each era apart', f'{_TABLE}.commit', (_begin_era, _settle_as_holder, _write_late)),
        )
    },
    depth=7,
)
