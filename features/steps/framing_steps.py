"""Steps that test what a target runs when callers send requests inside fields of other messages."""

from collections.abc import Iterable
from typing import Any

from behave import given, then, when

from features import relay_processes, smuggling


@given('a real instance whose target takes LF, CR and NUL for the end of a line')
def step_deployment(context: Any) -> None:
    context.world = relay_processes.Deployment()
    context.world.start()


def _send_all(context: Any, shapes: Iterable[smuggling.Smuggling]) -> None:
    context.answers_by_hidden = {shape.hidden.decode(): (shape.name, context.world.smuggle(shape)) for shape in shapes}


@when('callers send a request inside each kind of field, before each byte that may end a line')
def step_fields(context: Any) -> None:
    _send_all(context, smuggling.shapes())


@when('callers send requests under the id of internal statements and under no id')
def step_ids(context: Any) -> None:
    _send_all(context, smuggling.reserved_ids())


@then('the target has run nothing but what callers sent as messages of their own')
def step_nothing_hidden(context: Any) -> None:
    words = {word for request, text in context.world.ran() for word in (request, *text.split(' '))}
    smuggled = [name for hidden, (name, _) in context.answers_by_hidden.items() if hidden in words]
    assert not smuggled, smuggled
    unanswered = [name for name, received in context.answers_by_hidden.values() if b'ERROR MALFORMED' not in received]
    assert not unanswered, unanswered
