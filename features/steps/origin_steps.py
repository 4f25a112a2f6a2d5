"""Steps that test how the emulator's checker traces a statement."""

from typing import Any

from behave import then, when

from features.origin_builders import find_fault


@when('a statement runs {how}')
def step_execution(context: Any, how: str) -> None:
    context.fault = find_fault(how)


@then('the checker says "{fault}"')
@then('the checker says ""')
def step_fault(context: Any, fault: str = '') -> None:
    assert context.fault == fault, context.fault
