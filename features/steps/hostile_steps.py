"""Steps that run the hostile orders."""

from typing import Any

from behave import then, when

from features.hostile import HostileOrders, HostileOrdersAtPrimary, run


@when('{examples:d} orders of up to {steps:d} faults run with acknowledgement at the "{where}"')
def step_orders(context: Any, examples: int, steps: int, where: str) -> None:
    context.is_clean = False
    run(HostileOrders if where == 'replica' else HostileOrdersAtPrimary, examples, steps)
    context.is_clean = True


@then('the judge found nothing wrong in any of them')
def step_clean(context: Any) -> None:
    assert context.is_clean
