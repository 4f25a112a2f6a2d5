"""Terms: promoters that die, pause and wake never share a term, and only the latest one publishes.

The record is one row that changes by compare-and-set. One term stands for every term; two promoters
stand for any number, because a takeover looks the same to each of them.
"""

from collections.abc import Callable
from typing import Any

import z3

from spec.transition import Action, Guard, State, System, only

_Keep = Callable[[str, Any], Any]

PROMOTERS = (1, 2)


def _close(promoter: int) -> Callable[[State, State, _Keep], Any]:
    """Close the term or take over; the write is conditional on the row that was read."""

    def step(before: State, after: State, keep: _Keep) -> Any:
        term = z3.Int('term')
        seen = before[f'seen{promoter}']
        return z3.And(
            keep('write only over the row that was read', before[f'read{promoter}'] == before['version']),
            keep('use a term that was never used', term == seen + 1),
            term >= seen,
            term <= seen + 1,
            term > 0,
            only(
                before,
                after,
                version=before['version'] + 1,
                next_term=term,
                owner=z3.IntVal(promoter),
                closing=z3.BoolVal(val=True),
                **{f'term{promoter}': term},
            ),
        )

    return step


def _read(promoter: int) -> Callable[[State, State, _Keep], Any]:
    def step(before: State, after: State, keep: _Keep) -> Any:
        is_mine = z3.And(before['closing'], before['owner'] == promoter)
        seen = {f'read{promoter}': before['version'], f'seen{promoter}': before['next_term']}
        return only(before, after, **seen, **{f'mine{promoter}': is_mine})

    return step


def _publish(promoter: int) -> Callable[[State, State, _Keep], Any]:
    def step(before: State, after: State, keep: _Keep) -> Any:
        term = before[f'term{promoter}']
        return z3.And(
            term > 0,
            keep('publish only over the own closing record', before[f'mine{promoter}']),
            keep('write only over the row that was read', before[f'read{promoter}'] == before['version']),
            only(
                before,
                after,
                version=before['version'] + 1,
                closing=z3.BoolVal(val=False),
                published=term,
                fell_back=z3.Or(before['fell_back'], term <= before['published']),
            ),
        )

    return step


def _initial(first: State) -> Any:
    numbers = ('version', 'next_term', 'owner', 'published', 'term1', 'term2', 'read1', 'read2', 'seen1', 'seen2')
    flags = ('closing', 'fell_back', 'mine1', 'mine2')
    return z3.And(*(first[name] == 0 for name in numbers), *(z3.Not(first[name]) for name in flags))


def _invariant(now: State) -> dict[str, Any]:
    return {
        'terms were given out': z3.And(now['term1'] <= now['next_term'], now['term2'] <= now['next_term']),
        'reads are past': z3.And(now['read1'] <= now['version'], now['read2'] <= now['version']),
        'a row that was read and not written since is as it was read': z3.And(
            *(
                z3.Implies(
                    now[f'read{promoter}'] == now['version'],
                    z3.And(
                        now[f'seen{promoter}'] == now['next_term'],
                        now[f'mine{promoter}'] == z3.And(now['closing'], now['owner'] == promoter),
                    ),
                )
                for promoter in PROMOTERS
            )
        ),
        'terms are not shared': z3.Or(now['term1'] == 0, now['term2'] == 0, now['term1'] != now['term2']),
        'terms are not negative': z3.And(now['term1'] >= 0, now['term2'] >= 0),
        'the closing term is new': z3.Implies(
            now['closing'],
            z3.And(
                now['next_term'] > now['published'],
                z3.Implies(now['owner'] == 1, now['term1'] == now['next_term']),
                z3.Implies(now['owner'] == 2, now['term2'] == now['next_term']),
            ),
        ),
        'published terms were given out': now['published'] <= now['next_term'],
        'terms only grow': z3.Not(now['fell_back']),
    }


def _properties(now: State) -> dict[str, Any]:
    return {
        'no term has two promoters': z3.Or(now['term1'] == 0, now['term1'] != now['term2']),
        'published terms only grow': z3.Not(now['fell_back']),
    }


_INT, _BOOL = z3.IntSort(), z3.BoolSort()
_LEADERSHIP = 'fescuequay_core.leadership:LeadershipController'

SYSTEM = System(
    name='terms',
    sorts={
        'version': _INT,
        'next_term': _INT,
        'owner': _INT,
        'closing': _BOOL,
        'published': _INT,
        'fell_back': _BOOL,
        'term1': _INT,
        'term2': _INT,
        'read1': _INT,
        'read2': _INT,
        'seen1': _INT,
        'seen2': _INT,
        'mine1': _BOOL,
        'mine2': _BOOL,
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
            Guard('publish only over the own closing record', 'fescuequay_core.fleet:ChangeLeader.apply_to'),
        )
    },
    depth=7,
)
