"""Steps about overloaded targets, in virtual time."""

from typing import Any

from behave import given, then, when

from features import builders
from features.cluster import Cluster
from fescuequay_core import keys, verdicts

#: Writes per second that 20 connections can carry at 50 ms of execution and 2 ms of network delay each.
_CAPACITY_PER_S = 20 / 0.052


@given('8 instances in virtual time whose targets need 50 ms for each statement')
def step_slow_targets(context: Any) -> None:
    plain = builders.plain_text()
    for name in ('acme', 'bolt'):
        plain['organisations'][name] = builders.organisation(name, 'g1', 100_000, 100_000)
    context.cluster = Cluster(plain)
    for number in range(8):
        context.cluster.add(f'n{number}', builders.DATA_CENTRES[number % 4])
    context.cluster.run(5)
    context.cluster.statement_s = 0.05
    context.sent = {}


def _offer(context: Any, phase: str, organisation: str, rate: float, seconds: float) -> None:
    cluster: Cluster = context.cluster
    digest = keys.digest_of(builders.key_of(organisation))
    names = context.sent.setdefault((phase, organisation), [])

    def send(number: int) -> None:
        names.append(cluster.write(f'n{number % 8}', key_digest=digest))

    for number in range(int(rate * seconds)):
        cluster.after(number / rate, lambda number=number: send(number))


@when('one organisation offers writes at the rate that the primary can carry for 6 s')
def step_full_load(context: Any) -> None:
    _offer(context, 'once', 'acme', _CAPACITY_PER_S, 6)
    context.cluster.run(12)


@when('then three times that rate for 6 s while another offers a fifth of it')
def step_triple_load(context: Any) -> None:
    context.began_at = context.cluster.now()
    _offer(context, 'thrice', 'acme', 3 * _CAPACITY_PER_S, 6)
    _offer(context, 'thrice', 'bolt', _CAPACITY_PER_S / 5, 6)
    context.cluster.run(12)


def _served(context: Any, phase: str, organisation: str) -> int:
    answers = context.cluster.answers
    names = context.sent[phase, organisation]
    return sum(name in answers and answers[name][1].refusal is None for name in names)


@then('at three times the load at least 90% as many writes were served')
def step_throughput(context: Any) -> None:
    once = _served(context, 'once', 'acme')
    thrice = _served(context, 'thrice', 'acme') + _served(context, 'thrice', 'bolt')
    assert once >= 0.9 * 6 * _CAPACITY_PER_S, once
    assert thrice >= 0.9 * once, (thrice, once)


@then('the other organisation was served at least 90% of what it sent')
def step_other(context: Any) -> None:
    sent = len(context.sent['thrice', 'bolt'])
    assert _served(context, 'thrice', 'bolt') >= 0.9 * sent, (_served(context, 'thrice', 'bolt'), sent)


@then('refusals came before the deadline and say when to retry')
def step_refusals(context: Any) -> None:
    refused = 0
    for name in context.sent['thrice', 'acme']:
        at, answer = context.cluster.answers[name]
        if answer.refusal is not None:
            refused += 1
            assert at <= context.cluster.sent[name][0] + 5.0
            assert answer.refusal.reason is verdicts.OVERLOADED and answer.refusal.retry_after_s, answer.refusal
    assert refused
