"""Steps that run random sequences of faults."""

from typing import Any

from behave import then, when

from features.random_faults import HostileOrders, HostileOrdersAtPrimary, run


@when('{examples:d} sequences of up to {steps:d} faults run with acknowledgement at the "{where}"')
def step_sequences(context: Any, examples: int, steps: int, where: str) -> None:
    context.is_without_violation = False
    run(HostileOrders if where == 'replica' else HostileOrdersAtPrimary, examples, steps)
    context.is_without_violation = True


@then('the checker found no violation in any of them')
def step_no_violation(context: Any) -> None:
    assert context.is_without_violation
