"""Versions: no accepted text is overwritten by another operator, and no instance returns to an older one."""

from collections.abc import Callable
from typing import Any

import z3

from spec.transition import Action, Guard, State, System, update

_ApplyGuard = Callable[[str, Any], Any]


def _read(before: State, after: State, guard: _ApplyGuard) -> Any:
    return update(before, after, read_version=before['version'])


def _other_applies(before: State, after: State, guard: _ApplyGuard) -> Any:
    return update(before, after, version=before['version'] + 1, accepted_count=before['accepted_count'] + 1)


def _apply(before: State, after: State, guard: _ApplyGuard) -> Any:
    return z3.And(
        guard('apply only over the text that was read', before['read_version'] == before['version']),
        update(before, after, version=before['read_version'] + 1, accepted_count=before['accepted_count'] + 1),
    )


def _receive(before: State, after: State, guard: _ApplyGuard) -> Any:
    """Any existing version may arrive, from the platform or a peer, late and more than once."""
    received = z3.Int('received')
    return z3.And(
        received >= 0,
        received <= before['version'],
        guard('adopt only newer versions', received > before['instance_version']),
        update(
            before,
            after,
            instance_version=received,
            went_back=z3.Or(before['went_back'], received < before['instance_version']),
        ),
    )


def _initial(first: State) -> Any:
    numbers = ('version', 'accepted_count', 'read_version', 'instance_version')
    return z3.And(*(first[name] == 0 for name in numbers), z3.Not(first['went_back']))


def _invariant(now: State) -> dict[str, Any]:
    return {
        'read versions exist': z3.And(now['read_version'] >= 0, now['read_version'] <= now['version']),
        'the version of an instance exists': z3.And(
            now['instance_version'] >= 0, now['instance_version'] <= now['version']
        ),
        'each accepted text has a version of its own': now['accepted_count'] == now['version'],
        'instance versions only increase': z3.Not(now['went_back']),
    }


_INT = z3.IntSort()

SYSTEM = System(
    name='versions',
    sorts={
        'version': _INT,
        'accepted_count': _INT,
        'read_version': _INT,
        'instance_version': _INT,
        'went_back': z3.BoolSort(),
    },
    initial=_initial,
    actions=(
        Action('an operator reads', 'fescuequay_ctl.operations:Operations._read', _read),
        Action('another operator applies', 'fescuequay_ctl.operations:Operations.apply', _other_applies),
        Action('the operator applies', 'fescuequay_ctl.operations:Operations.apply', _apply),
        Action('an instance receives a version', 'fescuequay_core.fleet_controller:FleetController._adopt', _receive),
    ),
    invariant=_invariant,
    properties=lambda now: {
        'no accepted text is overwritten without being read': now['accepted_count'] == now['version'],
        'no instance returns to an older version': z3.Not(now['went_back']),
    },
    guards={
        guard.name: guard
        for guard in (
            Guard('apply only over the text that was read', 'fescuequay_core.fleet:ApplyText.apply_to'),
            Guard('adopt only newer versions', 'fescuequay_core.fleet_controller:FleetController._adopt'),
        )
    },
    depth=5,
)
