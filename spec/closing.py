"""Closing: on the users' platform, nobody acts on a leader record after the next primary was named.

A coordinator renews its duty and with it confirms the leader records; an instance asks it and dates what it
hears from before its question. A promoter outwaits that instance or has its permit given back: from when it learnt
that the record is closing; as the same coordinator, from the latest confirmation that it sent; as another one that
took the duty over and has confirmed nothing itself, from then. One instance stands for all. Times are true times;
steady clocks run at a rate between 1 - DRIFT and 1 + DRIFT of them, and the drift over a relayed age lies within the
margin.
"""

from collections.abc import Callable
from typing import Any

import z3
from fescuequay_core.relay.permits import PERMIT_MARGIN_S, PERMIT_S

from spec.transition import Action, Guard, State, System, only

PERMIT = z3.RealVal(str(PERMIT_S))
WAIT = z3.RealVal(str(PERMIT_S + PERMIT_MARGIN_S))
DRIFT = z3.RealVal('1/500')

_Keep = Callable[[str, Any], Any]

_YES, _NO = z3.BoolVal(val=True), z3.BoolVal(val=False)


def then(before: State, after: State, **changes: Any) -> Any:
    """:returns: That the given variables change, all others keep their values, and any time passes."""
    later = z3.Real('later')
    return z3.And(later >= before['now'], only(before, after, now=later, **changes))


def _begin_renewal(before: State, after: State, keep: _Keep) -> Any:
    return z3.And(
        z3.Not(before['renewing']),
        keep('renew only on a complete view', before['complete'] == before['known']),
        keep('renew only the own duty', z3.Or(z3.Not(before['taken']), before['known'] < before['take_version'])),
        then(before, after, renewing=_YES, took=_NO, renew_at=before['now'], condition=before['known']),
    )


def _take_renewal(before: State, after: State, keep: _Keep) -> Any:
    """The table carries the renewal out, if the duty's row is still as the coordinator knew it."""
    return z3.And(
        before['renewing'],
        z3.Not(before['took']),
        keep('write only over the row that was read', before['condition'] == before['version']),
        then(before, after, took=_YES, version=before['version'] + 1),
    )


def _hear_renewal(before: State, after: State, keep: _Keep) -> Any:
    start = z3.Real('start')
    heard = {'renewing': _NO, 'known': before['condition'] + 1, 'complete': before['condition'] + 1}
    return z3.And(
        before['renewing'],
        before['took'],
        start <= before['now'],
        keep('count from before the renewal', start == before['renew_at']),
        z3.If(
            before['knows'],
            then(before, after, **heard),
            then(before, after, **heard, renewed=_YES, renewed_at=start),
        ),
    )


def _lose_renewal(before: State, after: State, keep: _Keep) -> Any:
    return z3.And(before['renewing'], then(before, after, renewing=_NO))


def _close(before: State, after: State, keep: _Keep) -> Any:
    """The table takes the closing record, written with the duty's row; the coordinator may not hear of it."""
    version = before['version'] + 1
    return z3.And(
        z3.Not(before['closed']),
        then(before, after, closed=_YES, closed_at=before['now'], version=version, close_version=version),
    )


def _read(before: State, after: State, keep: _Keep) -> Any:
    """The coordinator reads the table or hears of its own write."""
    return then(before, after, known=before['version'], complete=before['version'], knows=before['closed'])


def _hear_of_row(before: State, after: State, keep: _Keep) -> Any:
    """A peer that read the table tells the coordinator of the duty's row and of nothing else."""
    return then(before, after, known=before['version'])


def _take_over(before: State, after: State, keep: _Keep) -> Any:
    """Another coordinator takes the duty, and hears of it later."""
    version = before['version'] + 1
    heard_at = z3.Real('heard_at')
    return z3.And(
        z3.Not(before['taken']),
        keep('count from when the duty was taken', heard_at >= before['now']),
        heard_at <= after['now'],
        then(before, after, taken=_YES, version=version, take_version=version, taken_at=heard_at),
    )


def _answer(before: State, after: State, keep: _Keep) -> Any:
    # The question came at any time before.
    start, asked_at = z3.Real('start'), z3.Real('asked_at')
    age = before['now'] - before['renewed_at']
    told = z3.Real('told')
    is_remembered = z3.And(told >= before['told_at'], z3.Or(before['knows'], told >= before['renewed_at']))
    return z3.And(
        z3.Not(before['answered']),
        z3.Or(before['knows'], before['renewed']),
        asked_at <= before['now'],
        start <= before['now'],
        keep('count an age from before the question', start == asked_at - age),
        told <= before['now'],
        z3.Implies(before['knows'], told == before['told_at']),
        keep('remember the latest confirmation', is_remembered),
        then(before, after, answered=_YES, answer_closing=before['knows'], answer_from=start, told_at=told),
    )


def _take_answer(before: State, after: State, keep: _Keep) -> Any:
    done = {'answered': _NO}
    newer = keep('keep no older record', z3.Not(before['x_closing']))
    return z3.And(
        before['answered'],
        z3.If(
            before['answer_closing'],
            then(before, after, **done, x_closing=_YES, permit=_NO),
            z3.If(
                newer,
                then(before, after, **done, permit=_YES, permit_at=before['answer_from']),
                then(before, after, **done),
            ),
        ),
    )


def _learn(before: State, after: State, keep: _Keep) -> Any:
    return z3.And(before['closed'], z3.Not(before['learnt']), then(before, after, learnt=_YES, learnt_at=before['now']))


def _give_back(before: State, after: State, keep: _Keep) -> Any:
    return z3.And(before['learnt'], then(before, after, x_closing=_YES, permit=_NO, gave=_YES))


def _promote(before: State, after: State, keep: _Keep) -> Any:
    return z3.And(
        before['learnt'],
        z3.Or(before['gave'], keep('wait for silent instances', _has_waited(before))),
        then(before, after, promoted=_YES),
    )


def _has_waited(now: State) -> Any:
    """:returns: Whether no permit of the closed term runs any more, by one of the three countings."""

    def passed(since: Any) -> Any:
        return (now['now'] - since) * (1 + DRIFT) >= WAIT

    same = z3.And(now['knows'], passed(now['told_at']))
    other = z3.And(now['taken'], passed(now['taken_at']))
    return z3.Or(passed(now['learnt_at']), same, other)


def _acknowledge(before: State, after: State, keep: _Keep) -> Any:
    elapsed = (before['now'] - before['permit_at']) * (1 - DRIFT)
    return z3.And(
        before['permit'],
        keep('acknowledge under a running permit', elapsed < PERMIT),
        then(before, after, late=z3.Or(before['late'], before['promoted'])),
    )


def _initial(first: State) -> Any:
    # The leader was published and confirmed once, at time 0.
    flags = (name for name, sort in SORTS.items() if sort == z3.BoolSort() and name != 'renewed')
    numbers = ('now', 'renewed_at', 'told_at', 'version', 'known', 'complete', 'condition', 'close_version')
    return z3.And(first['renewed'], *(z3.Not(first[name]) for name in flags), *(first[name] == 0 for name in numbers))


def _invariant(now: State) -> dict[str, Any]:
    closed, knows = now['closed'], now['knows']
    is_later = now['condition'] >= now['close_version']
    past = {
        'renewing': 'renew_at',
        'renewed': 'renewed_at',
        'answered': 'answer_from',
        'permit': 'permit_at',
        'closed': 'closed_at',
        'learnt': 'learnt_at',
        'taken': 'taken_at',
    }
    open_answer = z3.And(now['answered'], z3.Not(now['answer_closing']))
    return {
        'times are past': z3.And(*(z3.Implies(now[flag], now[at] <= now['now']) for flag, at in past.items())),
        'versions were given out': z3.And(
            *(now[name] <= now['version'] for name in ('known', 'complete', 'condition', 'close_version')),
            z3.Implies(z3.And(now['renewing'], now['took']), now['condition'] < now['version']),
        ),
        'only a closing record is known as one': z3.And(
            z3.Implies(knows, closed), z3.Implies(now['learnt'], closed), z3.Implies(now['x_closing'], closed)
        ),
        'an incomplete view is older than the closing': z3.Implies(
            z3.And(closed, z3.Not(knows)), now['complete'] < now['close_version']
        ),
        'a renewal after the closing knows of it': z3.Implies(z3.And(now['renewing'], closed, is_later), knows),
        'a renewal before the closing began before it': z3.Implies(
            z3.And(now['renewing'], now['took'], closed, z3.Not(is_later)),
            z3.And(now['renew_at'] <= now['closed_at'], now['condition'] + 1 < now['close_version']),
        ),
        'confirmations are older than the closing': z3.And(
            z3.Implies(z3.And(now['renewed'], closed), now['renewed_at'] <= now['closed_at']),
            z3.Implies(
                z3.And(now['answered'], closed, z3.Not(now['answer_closing'])), now['answer_from'] <= now['closed_at']
            ),
            z3.Implies(z3.And(now['permit'], closed), now['permit_at'] <= now['closed_at']),
        ),
        'the latest confirmation is remembered': z3.And(
            now['told_at'] <= now['now'],
            z3.Implies(open_answer, now['answer_from'] <= now['told_at']),
            z3.Implies(now['permit'], now['permit_at'] <= now['told_at']),
        ),
        'nothing is confirmed by an earlier coordinator': z3.Implies(
            now['taken'],
            z3.And(
                now['take_version'] <= now['version'],
                z3.Implies(now['renewed'], now['renewed_at'] <= now['taken_at']),
                z3.Implies(open_answer, now['answer_from'] <= now['taken_at']),
                z3.Implies(now['permit'], now['permit_at'] <= now['taken_at']),
                z3.Implies(now['renewing'], now['condition'] < now['take_version']),
                z3.Implies(z3.And(now['renewing'], now['took']), now['renew_at'] <= now['taken_at']),
            ),
        ),
        'an answer that tells of the closing comes after it': z3.Implies(
            z3.And(now['answered'], now['answer_closing']), closed
        ),
        'the closing is learnt after it was written': z3.Implies(now['learnt'], now['closed_at'] <= now['learnt_at']),
        'who knows of the closing has no permit': z3.And(
            z3.Implies(now['x_closing'], z3.Not(now['permit'])), z3.Implies(now['gave'], now['x_closing'])
        ),
        'a promotion comes after the permits': z3.Implies(
            now['promoted'],
            z3.And(now['learnt'], z3.Or(now['gave'], _has_waited(now))),
        ),
        'no late acknowledgement': z3.Not(now['late']),
    }


_REAL, _BOOL, _INT = z3.RealSort(), z3.BoolSort(), z3.IntSort()

SORTS = {
    'now': _REAL,
    'version': _INT,
    'known': _INT,
    'complete': _INT,
    'knows': _BOOL,
    'renewing': _BOOL,
    'took': _BOOL,
    'renew_at': _REAL,
    'condition': _INT,
    'renewed': _BOOL,
    'renewed_at': _REAL,
    'closed': _BOOL,
    'closed_at': _REAL,
    'close_version': _INT,
    'answered': _BOOL,
    'answer_closing': _BOOL,
    'answer_from': _REAL,
    'x_closing': _BOOL,
    'permit': _BOOL,
    'permit_at': _REAL,
    'learnt': _BOOL,
    'learnt_at': _REAL,
    'gave': _BOOL,
    'told_at': _REAL,
    'taken': _BOOL,
    'taken_at': _REAL,
    'take_version': _INT,
    'promoted': _BOOL,
    'late': _BOOL,
}

_RECORDS = 'fescuequay_entry.relay.records:Records'
_MEMBERSHIP = 'fescuequay_entry.relay.membership:Membership'
_REPLACEMENT = 'fescuequay_entry.relay.replacement:Replacement'
_PERMITS = 'fescuequay_core.relay.permits:Permits'
_CONFIRMATIONS = 'fescuequay_core.relay.permits:Confirmations'

SYSTEM = System(
    name='closing',
    sorts=SORTS,
    initial=_initial,
    actions=(
        Action('the coordinator begins a renewal', f'{_RECORDS}.renew', _begin_renewal),
        Action('the table takes the renewal', 'environment', _take_renewal),
        Action('the coordinator hears of the renewal', f'{_PERMITS}.confirm', _hear_renewal),
        Action('the answer to the renewal is lost', 'environment', _lose_renewal),
        Action('the table takes the closing record', f'{_RECORDS}.write_leader', _close),
        Action('the coordinator reads the table', f'{_RECORDS}.read', _read),
        Action('another coordinator takes the duty', f'{_RECORDS}.take_duty', _take_over),
        Action('a peer tells the coordinator of its row', 'fescuequay_core.relay.duty:Duty.learn', _hear_of_row),
        Action(
            'the coordinator answers an instance', 'fescuequay_entry.relay.coordinator:Coordinator.exchange', _answer
        ),
        Action('the instance takes the answer', f'{_MEMBERSHIP}._take', _take_answer),
        Action('the promoter learns of the closing', f'{_PERMITS}.learnt_at', _learn),
        Action('the instance gives its permit back', f'{_MEMBERSHIP}.answer_close', _give_back),
        Action('the next primary is named', f'{_REPLACEMENT}._name', _promote),
        Action('the instance acknowledges', 'fescuequay_entry.relay.routes:Runner.is_current', _acknowledge),
    ),
    invariant=_invariant,
    properties=lambda now: {'no acknowledgement after the next primary was named': z3.Not(now['late'])},
    guards={
        guard.name: guard
        for guard in (
            Guard('renew only on a complete view', f'{_RECORDS}._write'),
            Guard('write only over the row that was read', f'{_RECORDS}._write'),
            Guard('renew only the own duty', f'{_RECORDS}._write'),
            Guard('count from when the duty was taken', f'{_CONFIRMATIONS}.begin'),
            Guard('remember the latest confirmation', f'{_CONFIRMATIONS}.note_told'),
            Guard('count from before the renewal', f'{_RECORDS}.renew'),
            Guard('count an age from before the question', f'{_MEMBERSHIP}._take'),
            Guard('keep no older record', f'{_PERMITS}.learn'),
            Guard('wait for silent instances', f'{_REPLACEMENT}._give_back'),
            Guard('acknowledge under a running permit', f'{_PERMITS}.leader'),
        )
    },
    depth=11,
)
