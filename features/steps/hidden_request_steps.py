"""Steps in which callers of the emulator hide requests inside fields of other messages."""

import asyncio
from typing import Any

import msgspec
from behave import given, then, when
from click.testing import CliRunner

from features import relay_guards
from features.line_wire import LineWire
from fescuequay_emulator import cmdline
from fescuequay_emulator.experiments import hunted_scenario, random_scenario, with_late_deliveries
from fescuequay_emulator.scenarios import HIDDEN_ANSWERS_KIND, HIDDEN_KIND, run_scenario

_HIDDEN_KINDS = (HIDDEN_KIND, HIDDEN_ANSWERS_KIND)


@given('the schedule of a hunt of seed {seed:d} with nothing but hidden requests and answers')
def step_schedule(context: Any, seed: int) -> None:
    scenario = hunted_scenario(seed)
    kept = tuple(fault for fault in scenario.faults if fault.kind in _HIDDEN_KINDS)
    context.relay_scenario = msgspec.structs.replace(scenario, faults=kept)
    context.seed = seed


@given('its instances connect to targets {how}')
def step_gateways(context: Any, how: str) -> None:
    assert (context.relay_scenario.plan.cores > 0) == (how == 'through gateways'), context.relay_scenario.plan


@when('it is run twice over the line protocol')
def step_run_twice(context: Any) -> None:
    context.figures_twice = [run_scenario(context.relay_scenario, context.seed, LineWire()) for _ in range(2)]
    context.figures = context.figures_twice[0]


@when('it is run over the line protocol without {guard}')
def step_run_without(context: Any, guard: str) -> None:
    with relay_guards.removed(guard):
        figures = run_scenario(context.relay_scenario, context.seed, LineWire())
    context.violated = {violation.promise for violation in figures.broken}


@then('at least {requests:d} requests and {answers:d} answers were hidden')
def step_hidden(context: Any, requests: int, answers: int) -> None:
    counts = (context.figures.hidden_requests, context.figures.hidden_answers)
    assert counts >= (requests, answers) and counts[1] >= answers, counts


@then('each hides requests and answers, and the other faults are those of schedules without them')
def step_kept_faults(context: Any) -> None:
    for seed, faults in enumerate(context.schedules, 1):
        *others, requests, answers = faults
        assert (requests.kind, answers.kind) == _HIDDEN_KINDS, faults
        assert tuple(others) == with_late_deliveries(random_scenario(seed), seed).faults, seed


@when('one day is hunted with the options "{options}"')
def step_hunt(context: Any, options: str) -> None:
    context.report = CliRunner().invoke(cmdline.main, ['hunt', '--days', '1', *options.split()]).output
    # The hunt closes the loop that it has set.
    asyncio.set_event_loop(None)


@then('its report has "{text}"')
def step_report(context: Any, text: str) -> None:
    assert text in context.report, context.report
