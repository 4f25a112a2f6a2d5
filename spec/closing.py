"""Closing: on the users' platform, nobody acts on a leader record after the next primary was named.

A coordinator renews its duty; only the holder writes leader records, so while its lease runs it confirms the newest
one that it knows, unless a write of its own may have taken effect unheard. An instance asks it and dates what it
hears from before its question. Another coordinator takes the duty over when the lease has surely ended, or when the
holder has said that it acts no more. A promoter outwaits that instance or has its permit given back: from when the
record was surely closing; as the same coordinator, from the latest confirmation that it sent; as another one that
took the duty over and has confirmed nothing itself, from then or from the end of the earlier lease. One instance
stands for all. Times are true times; steady clocks, that of the table among them, run at a rate between 1 - DRIFT and
1 + DRIFT of them, and the drift over a relayed age lies within the margin.
"""

from collections.abc import Callable
from typing import Any

import z3

from fescuequay_core.relay.lease import LEASE_S, TAKEOVER_AFTER_S
from fescuequay_core.relay.permits import PERMIT_MARGIN_S, PERMIT_S
from spec.transition import Action, Guard, State, System, only

PERMIT = z3.RealVal(str(PERMIT_S))
WAIT = z3.RealVal(str(PERMIT_S + PERMIT_MARGIN_S))
HOLD, TAKE = z3.RealVal(str(LEASE_S)), z3.RealVal(str(TAKEOVER_AFTER_S))
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
        then(before, after, took=_YES, version=before['version'] + 1, lease_at=before['renew_at']),
    )


def _hear_renewal(before: State, after: State, keep: _Keep) -> Any:
    start = z3.Real('start')
    heard = {'renewing': _NO, 'known': before['condition'] + 1, 'complete': before['condition'] + 1, 'writing': _NO}
    return z3.And(
        before['renewing'],
        before['took'],
        start <= before['now'],
        keep('count from before the renewal', start == before['renew_at']),
        then(before, after, **heard, renewed_at=start),
    )


def _lose_renewal(before: State, after: State, keep: _Keep) -> Any:
    return z3.And(before['renewing'], then(before, after, renewing=_NO))


def _begin_closing(before: State, after: State, keep: _Keep) -> Any:
    """The coordinator sends the closing record; an earlier try may be on its way still."""
    return z3.And(
        # One write at a time.
        z3.Not(before['renewing']),
        z3.Not(before['writing']),
        z3.Not(before['knows']),
        before['complete'] == before['known'],
        then(before, after, writing=_YES, write_at=before['now'], write_condition=before['known']),
    )


def _close(before: State, after: State, keep: _Keep) -> Any:
    """The table takes the closing record, written with the duty's row; the coordinator may not hear of it."""
    version = before['version'] + 1
    is_own = z3.And(
        before['writing'],
        keep('close only over the row that was read', before['write_condition'] == before['version']),
    )
    return z3.And(
        z3.Not(before['closed']),
        z3.Or(is_own, before['taken']),
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
    heard_at, seen_at = z3.Real('heard_at'), z3.Real('seen_at')
    return z3.And(
        z3.Not(before['taken']),
        seen_at <= before['now'],
        keep('count the lease from when its row was seen', seen_at >= before['lease_at']),
        keep('take the duty only after the lease', z3.Or(before['resigned'], _has_lapsed(before))),
        keep('count from when the duty was taken', heard_at >= before['now']),
        heard_at <= after['now'],
        then(
            before,
            after,
            taken=_YES,
            version=version,
            take_version=version,
            take_at=before['now'],
            taken_at=heard_at,
            seen_at=seen_at,
        ),
    )


def _has_lapsed(now: State) -> Any:
    """:returns: Whether the lease has ended for whoever saw its row change after the latest renewal."""
    return (now['now'] - now['lease_at']) * (1 + DRIFT) >= TAKE


def _resign(before: State, after: State, keep: _Keep) -> Any:
    return then(before, after, resigned=_YES)


def _holds(now: State, keep: _Keep) -> Any:
    """:returns: Whether the coordinator counts itself as the holder, with everything read that is known to exist."""
    return z3.And(
        keep('confirm nothing after resigning', z3.Not(now['resigned'])),
        keep('confirm only under the lease', (now['now'] - now['renewed_at']) * (1 - DRIFT) < HOLD),
        now['complete'] == now['known'],
    )


def _answer(before: State, after: State, keep: _Keep) -> Any:
    # The question came at any time before.
    start, asked_at = z3.Real('start'), z3.Real('asked_at')
    until, told = z3.Real('until'), z3.Real('told')
    is_settled = z3.Or(z3.Not(before['writing']), until <= before['write_at'])
    age = before['now'] - until
    is_remembered = z3.And(told >= before['told_at'], z3.Or(before['knows'], told >= until))
    return z3.And(
        z3.Not(before['answered']),
        z3.Or(before['knows'], _holds(before, keep)),
        until <= before['now'],
        keep('confirm nothing after a write whose outcome is not known', is_settled),
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
    since = z3.Real('since')
    return z3.And(
        before['closed'],
        z3.Not(before['learnt']),
        since <= before['now'],
        keep('count the closing from when it was surely written', since >= before['closed_at']),
        then(before, after, learnt=_YES, learnt_at=since),
    )


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
    other = z3.And(now['taken'], z3.Or(passed(now['taken_at']), passed(now['seen_at'] + HOLD)))
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
    flags = (name for name, sort in SORTS.items() if sort == z3.BoolSort())
    numbers = ('renewed_at', 'lease_at', 'told_at', *(name for name, sort in SORTS.items() if sort == _INT))
    return z3.And(
        first['now'] >= 0,
        *(z3.Not(first[name]) for name in flags),
        *(first[name] == 0 for name in numbers),
    )


def _invariant(now: State) -> dict[str, Any]:
    closed, knows = now['closed'], now['knows']
    is_later = now['condition'] >= now['close_version']
    past = {
        'renewing': 'renew_at',
        'writing': 'write_at',
        'answered': 'answer_from',
        'permit': 'permit_at',
        'closed': 'closed_at',
        'learnt': 'learnt_at',
        'taken': 'take_at',
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
                now['take_at'] <= now['taken_at'],
                now['taken_at'] <= now['now'],
                now['take_version'] <= now['version'],
                now['lease_at'] <= now['seen_at'],
                z3.Implies(open_answer, now['answer_from'] <= now['take_at']),
                z3.Implies(now['permit'], now['permit_at'] <= now['take_at']),
                z3.Implies(now['renewing'], now['condition'] < now['take_version']),
            ),
        ),
        'the duty is taken after the lease': z3.And(
            now['renewed_at'] <= now['lease_at'],
            now['lease_at'] <= now['now'],
            z3.Implies(open_answer, now['answer_from'] <= now['lease_at'] + HOLD / (1 - DRIFT)),
            z3.Implies(now['permit'], now['permit_at'] <= now['lease_at'] + HOLD / (1 - DRIFT)),
            z3.Implies(z3.And(now['renewing'], now['took']), now['renew_at'] <= now['lease_at']),
            z3.Implies(now['renewing'], now['lease_at'] <= now['renew_at']),
            z3.Implies(
                now['taken'],
                z3.Or(now['resigned'], (now['take_at'] - now['lease_at']) * (1 + DRIFT) >= TAKE),
            ),
        ),
        'who does not know of the closing wrote it or lost the duty before': z3.Implies(
            z3.And(closed, z3.Not(knows)),
            z3.Or(
                z3.And(now['taken'], now['take_at'] <= now['closed_at']),
                z3.And(
                    now['writing'],
                    now['write_at'] <= now['closed_at'],
                    z3.Not(z3.And(now['renewing'], now['took'])),
                ),
            ),
        ),
        'a closing on its way is older than the renewal': z3.Implies(
            now['writing'],
            z3.And(
                now['write_condition'] <= now['known'],
                z3.Implies(now['renewing'], now['write_condition'] <= now['condition']),
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
    'renewed_at': _REAL,
    'lease_at': _REAL,
    'resigned': _BOOL,
    'writing': _BOOL,
    'write_at': _REAL,
    'write_condition': _INT,
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
    'take_at': _REAL,
    'taken_at': _REAL,
    'seen_at': _REAL,
    'take_version': _INT,
    'promoted': _BOOL,
    'late': _BOOL,
}

_RECORDS = 'fescuequay_entry.relay.records:Records'
_MEMBERSHIP = 'fescuequay_entry.relay.membership:Membership'
_REPLACEMENT = 'fescuequay_entry.relay.replacement:Replacement'
_PERMITS = 'fescuequay_core.relay.permits:Permits'
_CONFIRMATIONS = 'fescuequay_core.relay.permits:Confirmations'
_LEASE = 'fescuequay_core.relay.lease:CoordinatorLease'

#: An answer of the coordinator after another one closed the term, or after its own closing took effect unheard.
_LATE = (_answer, _take_answer, _promote, _acknowledge)

#: A silent instance, and a closing that the coordinator hears of.
_SILENT = (_answer, _take_answer, _begin_closing, _close, _learn, _promote, _acknowledge)

#: A silent instance, and another coordinator that took over from one that resigned.
_RESIGNED = (_answer, _take_answer, _resign, _take_over, _close, _learn, _promote, _acknowledge)

SYSTEM = System(
    name='closing',
    sorts=SORTS,
    initial=_initial,
    actions=(
        Action('the coordinator begins a renewal', f'{_RECORDS}.renew', _begin_renewal),
        Action('the table takes the renewal', 'environment', _take_renewal),
        Action('the coordinator hears of the renewal', f'{_PERMITS}.confirm', _hear_renewal),
        Action('the answer to the renewal is lost', 'environment', _lose_renewal),
        Action('the coordinator sends the closing record', f'{_RECORDS}.write_leader', _begin_closing),
        Action('the coordinator resigns', f'{_LEASE}.resign', _resign),
        Action('the table takes the closing record', f'{_RECORDS}.write_leader', _close),
        Action('the coordinator reads the table', f'{_RECORDS}.read', _read),
        Action('another coordinator takes the duty', f'{_RECORDS}.acquire_lease', _take_over),
        Action('a peer tells the coordinator of its row', f'{_LEASE}.observe', _hear_of_row),
        Action(
            'the coordinator answers an instance', 'fescuequay_entry.relay.coordinator:Coordinator.exchange', _answer
        ),
        Action('the instance takes the answer', f'{_MEMBERSHIP}._apply_answer', _take_answer),
        Action('the promoter learns of the closing', f'{_PERMITS}.written_by', _learn),
        Action('the instance gives its permit back', f'{_MEMBERSHIP}.answer_close', _give_back),
        Action('the next primary is named', f'{_REPLACEMENT}._request_promotion', _promote),
        Action(
            'the instance acknowledges',
            'fescuequay_entry.relay.statement_runner:StatementRunner.has_valid_permit',
            _acknowledge,
        ),
    ),
    invariant=_invariant,
    properties=lambda now: {'no acknowledgement after the next primary was named': z3.Not(now['late'])},
    guards={
        guard.name: guard
        for guard in (
            Guard(
                'renew only on a complete view',
                f'{_RECORDS}._write',
                (_begin_closing, _close, _learn, _hear_of_row, _begin_renewal, _take_renewal, _hear_renewal, *_LATE),
            ),
            Guard(
                'write only over the row that was read',
                f'{_RECORDS}._write',
                (_begin_closing, _close, _learn, _begin_renewal, _take_renewal, _hear_renewal, *_LATE),
            ),
            Guard(
                'renew only the own duty',
                f'{_RECORDS}._write',
                (_take_over, _read, _begin_renewal, _take_renewal, _hear_renewal, _close, _learn, *_LATE),
            ),
            Guard(
                'close only over the row that was read',
                f'{_RECORDS}._write',
                (_begin_closing, _begin_renewal, _take_renewal, _close, _learn, _hear_renewal, *_LATE),
            ),
            Guard('count the closing from when it was surely written', f'{_RECORDS}.read', _SILENT),
            Guard(
                'take the duty only after the lease', f'{_LEASE}.may_take_over', (_take_over, _close, _learn, *_LATE)
            ),
            Guard('confirm only under the lease', f'{_LEASE}.holds', (_take_over, _close, _learn, *_LATE)),
            Guard('confirm nothing after resigning', f'{_LEASE}.holds', (_resign, _take_over, _close, _learn, *_LATE)),
            Guard(
                'confirm nothing after a write whose outcome is not known',
                f'{_RECORDS}.confirmed_at',
                (_begin_closing, _close, _learn, *_LATE),
            ),
            Guard('count from when the duty was taken', f'{_CONFIRMATIONS}.begin', _RESIGNED),
            Guard('count the lease from when its row was seen', f'{_LEASE}.expires_at', _RESIGNED),
            Guard(
                'remember the latest confirmation',
                f'{_CONFIRMATIONS}.record_sent',
                (_answer, _take_answer, _begin_closing, _close, _read, _learn, _promote, _acknowledge),
            ),
            Guard(
                'count from before the renewal',
                f'{_RECORDS}.renew',
                (_begin_renewal, _take_renewal, _take_over, _close, _learn, _hear_renewal, *_LATE),
            ),
            Guard(
                'count an age from before the question',
                f'{_MEMBERSHIP}._apply_answer',
                (_answer, _take_answer, _begin_closing, _close, _read, _learn, _promote, _acknowledge),
            ),
            Guard(
                'keep no older record',
                f'{_PERMITS}.observe',
                (_answer, _begin_closing, _close, _learn, _give_back, _take_answer, _promote, _acknowledge),
            ),
            Guard('wait for silent instances', f'{_REPLACEMENT}._revoke_permit', _SILENT),
            Guard('acknowledge under a running permit', f'{_PERMITS}.leader', _SILENT),
        )
    },
    depth=11,
)
