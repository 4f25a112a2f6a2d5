"""Steps that test the checks of the soak test and run it briefly."""

import asyncio
from typing import Any

from behave import then, when

from features import smuggling, soak_events
from features.soak.__main__ import Soak
from features.soak.history import Commit, History
from features.soak.odd_answers import Oddity


def _commit(*, is_by_current_primary: bool = True) -> Commit:
    return Commit('q1', 'k', 1, 1.0, is_by_current_primary)


def _acknowledged(*, is_by_current_primary: bool = True) -> History:
    history = History()
    history.record_commit(_commit(is_by_current_primary=is_by_current_primary))
    history.record_success('q1', 'k', 1, 2.0)
    return history


@when("{what} happens in the soak's history")
def step_event(context: Any, what: str) -> None:
    history = _acknowledged(is_by_current_primary='replaced primary' not in what)
    if what in soak_events.VIOLATIONS_BY_NAME:
        soak_events.VIOLATIONS_BY_NAME[what](history)
    elif 'runs twice' in what:
        history.record_commit(_commit())
    elif 'reported' in what:
        history.record_refusal('q1', 'BUSY')
    elif 'older token' in what:
        history.record_promotion('a', 3)
        history.record_promotion('b', 2)
    elif 'lacks an older write' in what:
        _read_old_data(history, before=2.5)
    elif 'lacks' in what:
        history.record_read('q2', 'k', 0, 1, 3.0)
    elif 'unanswered' in what:
        history.record_unanswered('n1', 'q3')
    elif 'ends by itself' in what:
        history.record_end('n1', 1)
    elif 'refused for a route' in what:
        history.record_late_route('n1', 'ERROR NODB')
    context.soak_history = history


def _read_old_data(history: History, before: float) -> None:
    """Record a read without the write of 2.0, which had to return what was acknowledged before a time."""
    history.record_read('q2', 'k', 0, history.newest_acknowledged('k', before), 3.0, before)


@when('a read that accepts old data lacks a recent write')
def step_old_data(context: Any) -> None:
    context.soak_history = _acknowledged()
    _read_old_data(context.soak_history, before=1.5)


@then('it is no violation')
def step_nothing_reported(context: Any) -> None:
    assert not context.soak_history.violations, context.soak_history.violations


@then('the soak reports {guarantee}')
def step_reports(context: Any, guarantee: str) -> None:
    assert [line.partition(':')[0] for line in context.soak_history.violations] == [guarantee], (
        context.soak_history.violations
    )


@when('an acknowledged write is rolled back by a promotion')
def step_rolled_back(context: Any) -> None:
    context.soak_history = _acknowledged()
    context.soak_history.record_rollback([_commit()])


@then('a read that does not return it is no violation')
def step_no_violation(context: Any) -> None:
    context.soak_history.record_read('q2', 'k', 0, 1, 3.0)
    assert not context.soak_history.violations, context.soak_history.violations


@when('a database runs what callers sent')
def step_asked(context: Any) -> None:
    context.soak_history = History()
    soak_events.run_what_was_sent(context.soak_history)


@when('faults are injected into three processes for {seconds:g} s by the schedule of seed {seed:d}')
def step_soak(context: Any, seconds: float, seed: int) -> None:
    context.soak = Soak(seed, seconds, 3)
    asyncio.run(context.soak.run())


@then('the soak finds no violation and callers were served')
def step_clean(context: Any) -> None:
    history = context.soak.history
    assert not history.violations, (history.violations, context.soak.faults, context.soak.folder)
    assert history.served > 0, history.refused


@then('callers sent requests inside fields and under reserved ids, and databases answered oddly')
def step_tried(context: Any) -> None:
    tried = context.soak.history.requests.tried
    assert any(tried[f'sessions with {shape.name}'] for shape in smuggling.short_messages()), tried
    assert any(tried[f'requests under the id {reserved!r}'] for reserved in ('', '-')), tried
    assert any(tried[oddity.value] for oddity in Oddity), tried
