"""Steps for the fault soak."""

import asyncio
from typing import Any

from behave import then, when

from features.soak.__main__ import Soak
from features.soak.history import Commit, History


def _commit(*, is_led: bool = True) -> Commit:
    return Commit('q1', 'k', 1, 1.0, is_led)


def _acknowledged(*, is_led: bool = True) -> History:
    history = History()
    history.note_commit(_commit(is_led=is_led))
    history.note_acknowledged('q1', 'k', 1, 2.0)
    return history


@when("{what} happens in the soak's history")
def step_event(context: Any, what: str) -> None:
    history = _acknowledged(is_led='replaced primary' not in what)
    if 'runs twice' in what:
        history.note_commit(_commit())
    elif 'promised' in what:
        history.note_refused('q1', 'BUSY')
    elif 'older token' in what:
        history.note_promotion('a', 3)
        history.note_promotion('b', 2)
    elif 'lacks' in what:
        history.note_read('q2', 'k', 0, 1, 3.0)
    elif 'unanswered' in what:
        history.note_cut_off('n1', 'q3')
    context.soak_history = history


@then('the soak reports {promise}')
def step_reports(context: Any, promise: str) -> None:
    assert [line.partition(':')[0] for line in context.soak_history.broken] == [promise], context.soak_history.broken


@when('an acknowledged write is rolled back by a promotion')
def step_rolled_back(context: Any) -> None:
    context.soak_history = _acknowledged()
    context.soak_history.note_cut([_commit()])


@then('a read without it breaks nothing')
def step_breaks_nothing(context: Any) -> None:
    context.soak_history.note_read('q2', 'k', 0, 1, 3.0)
    assert not context.soak_history.broken, context.soak_history.broken


@when('three processes are harmed for {seconds:g} s by the schedule of seed {seed:d}')
def step_soak(context: Any, seconds: float, seed: int) -> None:
    context.soak = Soak(seed, seconds, 3)
    asyncio.run(context.soak.run())


@then('nothing is broken in the soak and callers were served')
def step_clean(context: Any) -> None:
    history = context.soak.history
    assert not history.broken, (history.broken, context.soak.faults, context.soak.folder)
    assert history.served > 0, history.refused
