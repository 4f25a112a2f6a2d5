"""Steps about the pace of targets, in virtual time."""

import asyncio
import math
from typing import Any
from unittest import mock

from behave import given, then, when

from features.paced_pool import SLOTS, WORK_S, PacedPool
from features.paced_target import FixedPace, PacedTarget
from features.uneven_demand import play_wave
from fescuequay_core.relay.model import TargetDescription
from fescuequay_core.relay.pace import AnswerPace, PaceByTarget, PaceCause
from fescuequay_core.types import Role, ServiceId, TargetId

#: Schedules over which an outcome is averaged: statements differ much in work.
_SEEDS = range(8)

#: Statements that a target with one slot of ``WORK_S`` serves a second; their work is spread with a factor of 0.5.
_SLOT_RATE_PER_S = 1 / (WORK_S * math.exp(0.5**2 / 2))


@given('targets that run {slots:d} statements at a time and say {told:d}')
def step_targets(context: Any, slots: int, told: int) -> None:
    context.targets = [PacedTarget(AnswerPace(told), slots, seed=seed) for seed in _SEEDS]


@given('after {seconds:g} s of the {before} mix and full load, the {after} mix at {slowness:g} times the time')
def step_load_before(context: Any, seconds: float, before: str, after: str, slowness: float) -> None:
    for target in context.targets:
        target.mix = before
        target.run(seconds)
        target.mix, target.slowness = after, slowness
        target.run(1)


@when('they run under full load for {seconds:g} s')
def step_full_load(context: Any, seconds: float) -> None:
    context.since = context.targets[0].now
    context.limits = []
    for target in context.targets:
        context.since = target.now
        target.begin_count()
        for _ in range(10):
            target.run(seconds / 10)
            context.limits.append(target.pace.limit(target.now))


def _capacity(target: PacedTarget) -> float:
    """:returns: Statements a second of a target that always has enough of them."""
    full = PacedTarget(FixedPace(3 * target.slots), target.slots, seed=99)
    full.mix, full.slowness = target.mix, target.slowness
    full.begin_count()
    full.run(60)
    return full.rate()


@then('they serve at least {share:g} of what they can')
@then('from 0.5 s on they serve at least {share:g} of what they can')
def step_share(context: Any, share: float) -> None:
    rate = sum(target.rate() for target in context.targets) / len(context.targets)
    assert rate >= share * _capacity(context.targets[0]), (rate, _capacity(context.targets[0]))


@then('the limit is at most {most:g} on average, and no statement is turned away')
def step_limit(context: Any, most: float) -> None:
    mean = sum(context.limits) / len(context.limits)
    assert mean <= most, mean
    assert not any(target.rejected for target in context.targets)


@when('they are restarted and run under full load for 2 s')
def step_restarted(context: Any) -> None:
    step_restarted_often(context, 1)


@when('they are restarted {count:d} times and run under full load for 2 s')
def step_restarted_often(context: Any, count: int) -> None:
    for target in context.targets:
        for _ in range(count):
            target.pace.record_failure(target.now)
            target.run(0.2)
            target.pace.restart(target.now)
        target.moments.clear()
        target.run(0.5)
        target.begin_count()
        target.run(1.5)


@then('at most 5% of the answers take longer than {aim:g} s')
def step_late(context: Any, aim: float) -> None:
    took_s = [moment.took_s for target in context.targets for moment in target.moments]
    late = sum(one > aim for one in took_s)
    assert late <= 0.05 * len(took_s), (late, len(took_s))


@when('one turns statements away three times, 0.2 s apart')
def step_turned_away(context: Any) -> None:
    context.pace, context.now = context.targets[0].pace, 0.0
    for _ in range(3):
        context.now += 0.2
        context.pace.record_overload(context.now)


@when('it answers at once for 1 s')
def step_answers(context: Any) -> None:
    _answer(context, 100)


@when('it answers at once {count:d} times')
def step_answers_few(context: Any, count: int) -> None:
    _answer(context, count)


def _answer(context: Any, count: int) -> None:
    for _ in range(count):
        context.now += 0.01
        context.pace.record_answer(context.now, 0.01, int(context.pace.limit(context.now)))


@then('its limit is at most {most:d}')
def step_limit_at_most(context: Any, most: int) -> None:
    assert context.pace.limit(context.now) <= most, context.pace.limit(context.now)


@then('its limit is at least {least:d}')
def step_limit_at_least(context: Any, least: int) -> None:
    assert context.pace.limit(context.now) >= least, context.pace.limit(context.now)


@then('its limit is {limit:d}')
def step_limit_is(context: Any, limit: int) -> None:
    assert int(context.pace.limit(context.now)) == limit, context.pace.limit(context.now)


def _description(born_ms: int) -> TargetDescription:
    return TargetDescription(
        TargetId('t'), born_ms, ServiceId('s'), 't:9', 'north', is_draining=False, role=Role.REPLICA, slots=SLOTS
    )


@given('the pace of a target that has found a limit of {limit:d}')
def step_found(context: Any, limit: int) -> None:
    context.paces, context.now = PaceByTarget(), 0.0
    context.pace = context.paces.of(_description(1), 0.0)
    while context.pace.limit(context.now) < limit:
        _answer(context, 1)


@when('another incarnation of it is seen')
def step_incarnation(context: Any) -> None:
    context.pace = context.paces.of(_description(2), context.now)


@when('it is restarted and fails by turns for {seconds:g} s')
def step_by_turns(context: Any, seconds: float) -> None:
    context.changes = []
    until = context.now + seconds
    while context.now < until:
        context.now += 0.1
        context.pace.record_failure(context.now)
        context.changes += context.pace.take_changes(context.now)
        context.pace.restart(context.now)
        _answer(context, 3)
        context.changes += context.pace.take_changes(context.now)


@then('at most {most:d} changes are reported, with their causes')
def step_changes(context: Any, most: int) -> None:
    assert 0 < len(context.changes) <= most, context.changes
    assert {change.cause for change in context.changes} == {PaceCause.RESTART, PaceCause.FAILURE}, context.changes


@given('a pool of {connections:d} connections {which} a pace to a target with 4 slots')
def step_pool(context: Any, connections: int, which: str) -> None:
    context.paced_pool = PacedPool(connections, is_paced=which == 'with')


@when('{count:d} callers run reads for {seconds:g} s')
def step_reads(context: Any, count: int, seconds: float) -> None:
    _play(context, count, seconds)


@when('{count:d} callers run reads for {seconds:g} s, and after 2 s the target is silent for {silent_s:g} s')
def step_reads_silence(context: Any, count: int, seconds: float, silent_s: float) -> None:
    async def silence() -> None:
        await asyncio.sleep(2)
        context.paced_pool.refused_after_s = 0.0
        await context.paced_pool.silence_for(silent_s)
        context.waited_s = context.paced_pool.refused_after_s

    _play(context, count, seconds, silence())


@when('{count:d} callers run reads for {seconds:g} s, and after 2 s the target is promoted')
def step_reads_promotion(context: Any, count: int, seconds: float) -> None:
    async def promote() -> None:
        await asyncio.sleep(2)
        context.paced_pool.promote()

    _play(context, count, seconds, promote())


@when('{count:d} callers begin transactions and rest')
def step_rest(context: Any, count: int) -> None:
    context.resting = count


def _play(context: Any, count: int, seconds: float, *others: Any) -> None:
    paced: PacedPool = context.paced_pool
    context.seconds = seconds
    resting = getattr(context, 'resting', 0)

    async def scenario() -> None:
        until = paced.board.clock() + seconds + 1.0
        rests = [asyncio.ensure_future(paced.rest_until(until)) for _ in range(resting)]
        await asyncio.sleep(1.0)
        await asyncio.gather(*others, *rests, *(paced.read_until(until) for _ in range(count)))

    with mock.patch('fescuequay_entry.relay.pacing.log_event') as log:
        paced.run(scenario())
    context.logged = [call.kwargs for call in log.call_args_list]


@then('at most {most:d} statements are at the target at a time')
def step_at_target(context: Any, most: int) -> None:
    assert context.paced_pool.most_at_target <= most, context.paced_pool.most_at_target


@then('the callers get at least 90% of the answers that 4 slots can give')
def step_answers_given(context: Any) -> None:
    served = len(context.paced_pool.took_s)
    assert served >= 0.9 * SLOTS * _SLOT_RATE_PER_S * context.seconds, served


@then('the readers are served as if nobody rested')
def step_readers(context: Any) -> None:
    step_answers_given(context)


@then('while it is silent, callers wait for at most {most:g} s in all')
def step_waited(context: Any, most: float) -> None:
    assert 0 < context.waited_s <= most, context.waited_s


@then('a restart of the pace is logged')
def step_restart_logged(context: Any) -> None:
    assert any(pairs['cause'] == 'restart' for pairs in context.logged), context.logged


@when('a wave of demand is played for {seconds:d} s, with the draw and without it')
def step_wave(context: Any, seconds: int) -> None:
    context.waves = {
        is_drawn: [play_wave(seconds, is_drawn=is_drawn, seed=seed) for seed in range(3)] for is_drawn in (True, False)
    }


@then('no target has more than {factor:g} times the mean use for over {seconds:d} s')
def step_even(context: Any, factor: float, seconds: int) -> None:
    assert max(wave.longest_uneven_s(factor) for wave in context.waves[True]) <= seconds


@then('statements wait at most {factor:g} times as long with the draw')
def step_waits(context: Any, factor: float) -> None:
    drawn, best = (
        sum(sum(wave.waits_s) / len(wave.waits_s) for wave in context.waves[is_drawn]) for is_drawn in (True, False)
    )
    assert drawn <= factor * best, (drawn, best)
