"""Versions: no accepted text is lost to another operator, and no instance goes back to an older one."""

from collections.abc import Callable
from typing import Any

import z3

from spec.transition import Action, Guard, State, System, only

_Keep = Callable[[str, Any], Any]


def _read(before: State, after: State, keep: _Keep) -> Any:
    return only(before, after, read=before['version'])


def _other_applies(before: State, after: State, keep: _Keep) -> Any:
    return only(before, after, version=before['version'] + 1, accepted=before['accepted'] + 1)


def _apply(before: State, after: State, keep: _Keep) -> Any:
    return z3.And(
        keep('apply only over the text that was read', before['read'] == before['version']),
        only(before, after, version=before['read'] + 1, accepted=before['accepted'] + 1),
    )


def _hear(before: State, after: State, keep: _Keep) -> Any:
    """Any version that ever was may arrive, from the platform or from a peer, late and more than once."""
    heard = z3.Int('heard')
    return z3.And(
        heard >= 0,
        heard <= before['version'],
        keep('adopt only newer versions', heard > before['held']),
        only(before, after, held=heard, went_back=z3.Or(before['went_back'], heard < before['held'])),
    )


def _initial(first: State) -> Any:
    numbers = ('version', 'accepted', 'read', 'held')
    return z3.And(*(first[name] == 0 for name in numbers), z3.Not(first['went_back']))


def _invariant(now: State) -> dict[str, Any]:
    return {
        'reads are past': z3.And(now['read'] >= 0, now['read'] <= now['version']),
        'held versions exist': z3.And(now['held'] >= 0, now['held'] <= now['version']),
        'every accepted text has its version': now['accepted'] == now['version'],
        'nobody goes back': z3.Not(now['went_back']),
    }


_INT = z3.IntSort()

SYSTEM = System(
    name='versions',
    sorts={'version': _INT, 'accepted': _INT, 'read': _INT, 'held': _INT, 'went_back': z3.BoolSort()},
    initial=_initial,
    actions=(
        Action('an operator reads', 'fescuequay_ctl.operations:Operations._read', _read),
        Action('another operator applies', 'fescuequay_ctl.operations:Operations.apply', _other_applies),
        Action('the operator applies', 'fescuequay_ctl.operations:Operations.apply', _apply),
        Action('an instance hears of a version', 'fescuequay_core.fleet_controller:FleetController._adopt', _hear),
    ),
    invariant=_invariant,
    properties=lambda now: {
        'no accepted text is overwritten unseen': now['accepted'] == now['version'],
        'no instance goes back': z3.Not(now['went_back']),
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
