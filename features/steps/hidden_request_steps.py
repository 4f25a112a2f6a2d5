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
from fescuequay_emulator.scenarios import HIDDEN_KIND, run_scenario


@given('the schedule of a hunt of seed {seed:d} with nothing but hidden requests')
def step_schedule(context: Any, seed: int) -> None:
    scenario = hunted_scenario(seed)
    kept = tuple(fault for fault in scenario.faults if fault.kind == HIDDEN_KIND)
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


@then('at least {count:d} requests were hidden')
def step_hidden(context: Any, count: int) -> None:
    assert context.figures.hidden_requests >= count, context.figures.hidden_requests


@then('each hides requests, and the other faults are those of schedules without them')
def step_kept_faults(context: Any) -> None:
    for seed, faults in enumerate(context.schedules, 1):
        *others, last = faults
        assert last.kind == HIDDEN_KIND, last
        assert tuple(others) == with_late_deliveries(random_scenario(seed), seed).faults, seed


@when('one day is hunted with the options "{options}"')
def step_hunt(context: Any, options: str) -> None:
    context.report = CliRunner().invoke(cmdline.main, ['hunt', '--days', '1', *options.split()]).output
    # The hunt closes the loop that it has set.
    asyncio.set_event_loop(None)


@then('its report has "{text}"')
def step_report(context: Any, text: str) -> None:
    assert text in context.report, context.report
