"""Steps that run a cluster with and without one guard."""

from typing import Any

from behave import then, when

from features.guards import RUNS, removed


@when('{run} is run with every guard')
def step_run_with_guards(context: Any, run: str) -> None:
    context.found = RUNS[run]()


@when('{run} is run without {guard}')
def step_run_without_guard(context: Any, run: str, guard: str) -> None:
    with removed(guard):
        context.found = RUNS[run]()


@then('no violation is found')
def step_no_violation(context: Any) -> None:
    assert not context.found, context.found[:5]


@then('a violation is found')
def step_violation(context: Any) -> None:
    assert context.found, 'the run has no violation without the guard'
