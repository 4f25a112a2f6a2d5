"""Steps that remove guards."""

from typing import Any

from behave import then, when

from features.guards import RUNS, removed


@when('{run} is run with every guard')
def step_with(context: Any, run: str) -> None:
    context.found = RUNS[run]()


@when('{run} is run without {guard}')
def step_without(context: Any, run: str, guard: str) -> None:
    with removed(guard):
        context.found = RUNS[run]()


@then('nothing is found')
def step_nothing(context: Any) -> None:
    assert not context.found, context.found[:5]


@then('something is found')
def step_something(context: Any) -> None:
    assert context.found, 'the run is clean without the guard'
