"""Terms: promoters that crash, pause and resume never share a term, and only the latest one publishes.

The record is one row that changes by compare-and-set. One service stands for all; two promoters stand for any
number, because a takeover looks the same to each of them.
"""

from collections.abc import Callable
from typing import Any

import z3

from spec.transition import Action, Guard, State, System, update

_ApplyGuard = Callable[[str, Any], Any]

PROMOTERS = (1, 2)


def _close(promoter: int) -> Callable[[State, State, _ApplyGuard], Any]:
    """Close the term or take over from another promoter, on condition that the row is as it was read."""

    def step(before: State, after: State, guard: _ApplyGuard) -> Any:
        term = z3.Int('term')
        read_term = before[f'read_term{promoter}']
        return z3.And(
            guard('write only over the row that was read', before[f'read_version{promoter}'] == before['version']),
            guard('use a term that was never used', term == read_term + 1),
            term >= read_term,
            term <= read_term + 1,
            term > 0,
            update(
                before,
                after,
                version=before['version'] + 1,
                next_term=term,
                closing_promoter=z3.IntVal(promoter),
                closing=z3.BoolVal(val=True),
                **{f'closing_term{promoter}': term},
            ),
        )

    return step


def _read(promoter: int) -> Callable[[State, State, _ApplyGuard], Any]:
    def step(before: State, after: State, guard: _ApplyGuard) -> Any:
        owns_closing = z3.And(before['closing'], before['closing_promoter'] == promoter)
        seen = {f'read_version{promoter}': before['version'], f'read_term{promoter}': before['next_term']}
        return update(before, after, **seen, **{f'owns_closing{promoter}': owns_closing})

    return step


def _publish(promoter: int) -> Callable[[State, State, _ApplyGuard], Any]:
    def step(before: State, after: State, guard: _ApplyGuard) -> Any:
        term = before[f'closing_term{promoter}']
        return z3.And(
            term > 0,
            guard('publish only over a closing record of the same promoter', before[f'owns_closing{promoter}']),
            guard('write only over the row that was read', before[f'read_version{promoter}'] == before['version']),
            update(
                before,
                after,
                version=before['version'] + 1,
                closing=z3.BoolVal(val=False),
                published=term,
                term_decreased=z3.Or(before['term_decreased'], term <= before['published']),
            ),
        )

    return step


def _initial(first: State) -> Any:
    numbers = (
        'version',
        'next_term',
        'closing_promoter',
        'published',
        'closing_term1',
        'closing_term2',
        'read_version1',
        'read_version2',
        'read_term1',
        'read_term2',
    )
    flags = ('closing', 'term_decreased', 'owns_closing1', 'owns_closing2')
    return z3.And(*(first[name] == 0 for name in numbers), *(z3.Not(first[name]) for name in flags))


def _invariant(now: State) -> dict[str, Any]:
    return {
        'terms were allocated': z3.And(
            now['closing_term1'] <= now['next_term'], now['closing_term2'] <= now['next_term']
        ),
        'read versions exist': z3.And(now['read_version1'] <= now['version'], now['read_version2'] <= now['version']),
        'a row that was not written since a read is as it was read': z3.And(
            *(
                z3.Implies(
                    now[f'read_version{promoter}'] == now['version'],
                    z3.And(
                        now[f'read_term{promoter}'] == now['next_term'],
                        now[f'owns_closing{promoter}'] == z3.And(now['closing'], now['closing_promoter'] == promoter),
                    ),
                )
                for promoter in PROMOTERS
            )
        ),
        'promoters do not share a term': z3.Or(
            now['closing_term1'] == 0, now['closing_term2'] == 0, now['closing_term1'] != now['closing_term2']
        ),
        'terms are not negative': z3.And(now['closing_term1'] >= 0, now['closing_term2'] >= 0),
        'the closing term is new': z3.Implies(
            now['closing'],
            z3.And(
                now['next_term'] > now['published'],
                z3.Implies(now['closing_promoter'] == 1, now['closing_term1'] == now['next_term']),
                z3.Implies(now['closing_promoter'] == 2, now['closing_term2'] == now['next_term']),
            ),
        ),
        'published terms were allocated': now['published'] <= now['next_term'],
        'terms only increase': z3.Not(now['term_decreased']),
    }


def _properties(now: State) -> dict[str, Any]:
    return {
        'no term has two promoters': z3.Or(now['closing_term1'] == 0, now['closing_term1'] != now['closing_term2']),
        'published terms only increase': z3.Not(now['term_decreased']),
    }


_INT, _BOOL = z3.IntSort(), z3.BoolSort()
_LEADERSHIP = 'fescuequay_core.leadership:LeadershipController'

SYSTEM = System(
    name='terms',
    sorts={
        'version': _INT,
        'next_term': _INT,
        'closing_promoter': _INT,
        'closing': _BOOL,
        'published': _INT,
        'term_decreased': _BOOL,
        'closing_term1': _INT,
        'closing_term2': _INT,
        'read_version1': _INT,
        'read_version2': _INT,
        'read_term1': _INT,
        'read_term2': _INT,
        'owns_closing1': _BOOL,
        'owns_closing2': _BOOL,
    },
    initial=_initial,
    actions=tuple(
        action
        for promoter in PROMOTERS
        for action in (
            Action(
                f'promoter {promoter} reads',
                'fescuequay_core.fleet_controller:FleetController._on_read',
                _read(promoter),
            ),
            Action(f'promoter {promoter} closes or takes over', f'{_LEADERSHIP}._close_term', _close(promoter)),
            Action(f'promoter {promoter} publishes', f'{_LEADERSHIP}._publish', _publish(promoter)),
        )
    ),
    invariant=_invariant,
    properties=_properties,
    guards={
        guard.name: guard
        for guard in (
            Guard('use a term that was never used', f'{_LEADERSHIP}._close_term'),
            Guard(
                'write only over the row that was read',
                'fescuequay_core.fleet_controller:FleetController._write_proposals',
            ),
            Guard(
                'publish only over a closing record of the same promoter', 'fescuequay_core.fleet:ChangeLeader.apply_to'
            ),
        )
    },
    depth=7,
)
