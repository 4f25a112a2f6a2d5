"""Fences: once a majority is fenced, it holds every write that a majority had acknowledged.

Target 0 is the primary of the old term; targets 1 and 2 replicate from it. Positions are log lengths.
"""

from collections.abc import Callable
from typing import Any

import z3

from spec.transition import Action, Guard, State, System, update

_ApplyGuard = Callable[[str, Any], Any]

TARGETS = (0, 1, 2)


def _write(before: State, after: State, guard: _ApplyGuard) -> Any:
    return z3.And(
        guard('a fenced primary accepts no writes', z3.Not(before['fenced0'])),
        update(before, after, length0=before['length0'] + 1),
    )


def _replicate(replica: int) -> Callable[[State, State, _ApplyGuard], Any]:
    def step(before: State, after: State, guard: _ApplyGuard) -> Any:
        length = z3.Int(f'new_length_{replica}')
        return z3.And(
            guard('a fenced replica accepts no log of an older term', z3.Not(before[f'fenced{replica}'])),
            length > before[f'length{replica}'],
            length <= before['length0'],
            update(before, after, **{f'length{replica}': length}),
        )

    return step


def _confirm(replica: int) -> Callable[[State, State, _ApplyGuard], Any]:
    """The replica reports its position to the primary, which may happen long after replication."""

    def step(before: State, after: State, guard: _ApplyGuard) -> Any:
        return update(before, after, **{f'confirmed{replica}': before[f'length{replica}']})

    return step


def _acknowledge(before: State, after: State, guard: _ApplyGuard) -> Any:
    position = z3.Int('position')
    return z3.And(
        position <= before['length0'],
        position > before['acknowledged'],
        guard(
            'acknowledge only what a majority confirmed',
            z3.Or(position <= before['confirmed1'], position <= before['confirmed2']),
        ),
        update(before, after, acknowledged=position),
    )


def _fence(target: int) -> Callable[[State, State, _ApplyGuard], Any]:
    def step(before: State, after: State, guard: _ApplyGuard) -> Any:
        changes = {f'fenced{target}': z3.BoolVal(val=True)}
        return z3.And(z3.Not(before['promoted']), update(before, after, **changes))

    return step


def _promote(candidate: int) -> Callable[[State, State, _ApplyGuard], Any]:
    def step(before: State, after: State, guard: _ApplyGuard) -> Any:
        fenced = [before[f'fenced{target}'] for target in TARGETS]
        is_majority = z3.Sum(*(z3.If(flag, 1, 0) for flag in fenced)) >= 2
        is_most_advanced = z3.And(
            *(
                z3.Implies(before[f'fenced{other}'], before[f'length{candidate}'] >= before[f'length{other}'])
                for other in TARGETS
            )
        )
        return z3.And(
            z3.Not(before['promoted']),
            before[f'fenced{candidate}'],
            guard('fence a majority', is_majority),
            guard('choose the most advanced fenced target', is_most_advanced),
            update(before, after, promoted=z3.BoolVal(val=True), start_position=before[f'length{candidate}']),
        )

    return step


def _initial(first: State) -> Any:
    numbers = ('length0', 'length1', 'length2', 'confirmed1', 'confirmed2', 'acknowledged', 'start_position')
    flags = ('fenced0', 'fenced1', 'fenced2', 'promoted')
    return z3.And(*(first[name] == 0 for name in numbers), *(z3.Not(first[name]) for name in flags))


def _invariant(now: State) -> dict[str, Any]:
    fenced = [z3.If(now[f'fenced{target}'], 1, 0) for target in TARGETS]
    starts_after = [
        z3.Implies(now[f'fenced{target}'], now['start_position'] >= now[f'length{target}']) for target in TARGETS
    ]
    return {
        'replicas are behind the primary': z3.And(
            now['length1'] <= now['length0'], now['length2'] <= now['length0'], now['acknowledged'] <= now['length0']
        ),
        'a replica holds its confirmed position': z3.And(
            now['confirmed1'] <= now['length1'], now['confirmed2'] <= now['length2']
        ),
        'a replica holds what was acknowledged': z3.Or(
            now['acknowledged'] <= now['length1'], now['acknowledged'] <= now['length2']
        ),
        'a new term starts from a fenced majority': z3.Implies(
            now['promoted'], z3.And(z3.Sum(*fenced) >= 2, *starts_after)
        ),
    }


def _properties(now: State) -> dict[str, Any]:
    return {
        'the new term holds every acknowledged write': z3.Implies(
            now['promoted'], now['start_position'] >= now['acknowledged']
        )
    }


_INT, _BOOL = z3.IntSort(), z3.BoolSort()
_CORE = 'fescuequay_core'

SYSTEM = System(
    name='fences',
    sorts={
        **{f'length{target}': _INT for target in TARGETS},
        **{f'fenced{target}': _BOOL for target in TARGETS},
        'confirmed1': _INT,
        'confirmed2': _INT,
        'acknowledged': _INT,
        'promoted': _BOOL,
        'start_position': _INT,
    },
    initial=_initial,
    actions=(
        Action('the old primary commits a write', 'environment', _write),
        *(Action(f'replica {replica} replicates log', 'environment', _replicate(replica)) for replica in (1, 2)),
        *(Action(f'replica {replica} confirms its position', 'environment', _confirm(replica)) for replica in (1, 2)),
        Action(
            'a write is acknowledged', f'{_CORE}.acknowledgements:AcknowledgementTracker._is_confirmed', _acknowledge
        ),
        *(
            Action(f'target {target} is fenced', f'{_CORE}.leadership:LeadershipController._fence', _fence(target))
            for target in TARGETS
        ),
        *(
            Action(
                f'target {target} is promoted',
                f'{_CORE}.leadership:LeadershipController._request_promotion',
                _promote(target),
            )
            for target in TARGETS
        ),
    ),
    invariant=_invariant,
    properties=_properties,
    guards={
        guard.name: guard
        for guard in (
            Guard('a fenced primary accepts no writes', 'environment'),
            Guard('a fenced replica accepts no log of an older term', 'environment'),
            Guard(
                'acknowledge only what a majority confirmed',
                f'{_CORE}.acknowledgements:AcknowledgementTracker._is_confirmed',
            ),
            Guard('fence a majority', f'{_CORE}.leadership:LeadershipController._fence'),
            Guard(
                'choose the most advanced fenced target', f'{_CORE}.leadership:LeadershipController._choose_candidate'
            ),
        )
    },
    depth=8,
)
