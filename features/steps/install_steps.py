"""Steps that check how the project is installed."""

from typing import Any

from behave import then, when

from lab import install, wheels


@then('every pin is recorded with wheels for x86_64 and aarch64 with glibc 2.36')
def step_recorded(context: Any) -> None:
    found = wheels.repository_faults()
    assert not found, '\n'.join([*found, 'run `make wheels` after a change of pins'])


@when('a library is pinned to {version} and the recorded wheel is "{wheel}"')
def step_wheel(context: Any, version: str, wheel: str) -> None:
    context.wheel_faults = list(wheels.faults({'some-library': version}, {'x86_64': [wheel]}))


@then('a missing wheel is reported')
def step_missing(context: Any) -> None:
    assert len(context.wheel_faults) == 1, context.wheel_faults


@then('a missing wheel is not reported')
def step_not_missing(context: Any) -> None:
    assert not context.wheel_faults, context.wheel_faults


@when('pip fails with the output "{output}"')
def step_output(context: Any, output: str) -> None:
    context.install_line = install.explain(output.split('/'))


@then('the line is "{line}"')
def step_line(context: Any, line: str) -> None:
    assert context.install_line == line, context.install_line
