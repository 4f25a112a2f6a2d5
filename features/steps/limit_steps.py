"""Steps about rate and burst limits, in virtual time."""

import copy
import random
from collections.abc import Callable
from typing import Any

from behave import given, then, when

from features import builders, faults
from features.cluster import Cluster, Node
from features.checker import Limit, largest_excess
from features.load import grants
from fescuequay_core import commands, keys, verdicts
from fescuequay_core.types import RouteId


@given('{count:d} instances in virtual time and "{organisation}" with a rate of {rate:d} and a burst of {burst:d}')
def step_limited(context: Any, count: int, organisation: str, rate: int, burst: int) -> None:
    plain = builders.plain_text()
    for name in ('acme', 'bolt'):
        plain['organisations'][name] = builders.organisation(name, 'g1', rate, burst)
    context.cluster = Cluster(plain)
    context.limit = Limit(rate, burst)
    for number in range(count):
        drift = (number % 3 - 1) * context.cluster.timing.drift * 0.9 / 2
        context.cluster.add(f'n{number}', builders.DATA_CENTRES[number % 4], drift)
    context.cluster.run(5)
    context.began_at = context.cluster.now()
    context.ids = {'acme': [], 'bolt': []}


def _offer(context: Any, organisation: str, rate: float, seconds: float, choose: Callable[[float], str | None]) -> None:
    cluster: Cluster = context.cluster
    began_at = cluster.now()
    count = int(rate * seconds)
    digest = keys.digest_of(builders.key_of(organisation))

    def send() -> None:
        node = choose(cluster.now() - began_at)
        if node is not None and not cluster.nodes[node].is_dead and not cluster.nodes[node].is_paused:
            name = cluster.read(node, key_digest=digest, route=RouteId(builders.READS))
            context.ids[organisation].append((cluster.now(), name, node))

    for number in range(count):
        cluster.after(number / rate, send)


_PATTERNS: dict[str, Callable[[random.Random, float], str]] = {
    'its load is spread evenly': lambda rng, at: f'n{rng.randrange(8)}',
    'all its load goes to one instance': lambda rng, at: 'n3',
    'its load moves to another instance every 10 s': lambda rng, at: f'n{int(at // 10) * 3}',
    'two instances share its load unevenly': lambda rng, at: 'n1' if rng.random() < 0.8 else 'n6',
}


@when('"{organisation}" offers {rate:d} requests/s for {seconds:d} s while {pattern}')
def step_offer(context: Any, organisation: str, rate: int, seconds: int, pattern: str) -> None:
    rng = random.Random(7)
    if pattern.startswith('"bolt"'):
        _offer(context, 'bolt', 90, seconds, lambda at: f'n{rng.randrange(8)}')
        _offer(context, organisation, rate, seconds, lambda at: f'n{rng.randrange(8)}')
    else:
        _offer(context, organisation, rate, seconds, lambda at: _PATTERNS[pattern](rng, at))
    context.shift_s = 10 if 'every 10 s' in pattern else seconds
    context.cluster.run(seconds + 1)


@when('"{organisation}" sends {count:d} requests at once to one instance')
def step_burst(context: Any, organisation: str, count: int) -> None:
    digest = keys.digest_of(builders.key_of(organisation))
    for _ in range(count):
        name = context.cluster.read('n2', key_digest=digest, route=RouteId(builders.READS))
        context.ids[organisation].append((context.cluster.now(), name, 'n2'))
    context.cluster.run(2)


def _duplicate_messages(cluster: Cluster) -> None:
    send = cluster._do_SendPeer

    def send_twice(node: Node, command: commands.SendPeer) -> None:
        send(node, command)
        cluster.after(0.7, lambda: send(node, command))

    cluster._do_SendPeer = send_twice  # type: ignore[method-assign]


def _pause_two(cluster: Cluster, seconds: float) -> None:
    for name in ('n1', 'n4'):
        cluster.nodes[name].is_paused = True
        cluster.after(seconds, cluster.nodes[name].resume)


def _replace_two(cluster: Cluster) -> None:
    faults.FAULTS['two instances die'](cluster)
    cluster.add('n8', 'dc-b')
    cluster.add('n9', 'dc-a')


def _partition_all(cluster: Cluster) -> None:
    cluster.peer_cuts = {
        frozenset((left, right)) for left in builders.DATA_CENTRES for right in builders.DATA_CENTRES if left != right
    }
    cluster.platform.cut = set(builders.DATA_CENTRES)


def _partition_one(cluster: Cluster) -> None:
    cluster.peer_cuts = {frozenset(('dc-a', other)) for other in builders.DATA_CENTRES[1:]}
    cluster.platform.cut = {'dc-a'}


_FAULTS: dict[str, Callable[[Cluster], Any]] = {
    'two instances die': faults.FAULTS['two instances die'],
    'two instances are paused for 8 s': lambda cluster: _pause_two(cluster, 8),
    'two instances are paused for 40 s': lambda cluster: _pause_two(cluster, 20),
    'a data centre is cut off': _partition_one,
    'all data centres are cut off from each other': _partition_all,
    'the platform goes down': faults.FAULTS['the platform goes down'],
    'two instances die and others take their place': _replace_two,
    'messages between instances are duplicated': _duplicate_messages,
}


@when('"{organisation}" offers {rate:d} requests/s for {seconds:d} s and after 5 s {fault}')
def step_offer_fault(context: Any, organisation: str, rate: int, seconds: int, fault: str) -> None:
    rng = random.Random(3)

    def choose(at: float) -> str | None:
        names = [name for name, node in context.cluster.nodes.items() if not node.is_dead]
        return rng.choice(names)

    _offer(context, organisation, rate, seconds, choose)
    if fault.startswith('its rate'):
        limit = int(fault.rsplit(' ', 1)[1])
        context.cluster.after(5, lambda: _change_limit(context, organisation, limit))
    else:
        context.cluster.after(5, lambda: _FAULTS[fault](context.cluster))
    context.cluster.run(seconds + 1)


def _change_limit(context: Any, organisation: str, limit: int) -> None:
    plain = copy.deepcopy(context.cluster.plain)
    plain['organisations'][organisation].update(rate_per_s=limit, burst=limit)
    context.cluster.apply(plain)
    context.changed_at = context.cluster.now()
    context.new_limit = Limit(limit, limit)


def _grant_times(context: Any, organisation: str = 'acme') -> list[float]:
    return [grant.at for grant in grants(context.cluster) if grant.organisation == organisation]


@then('no time window holds more requests than the rate and the burst allow')
def step_no_excess(context: Any) -> None:
    for organisation in ('acme', 'bolt'):
        excess = largest_excess(_grant_times(context, organisation), context.limit)
        assert excess <= 1e-6, (organisation, excess)


@then('at most 1% of its requests were refused after 5 s, and after 5 s of each shift')
def step_few_refusals(context: Any) -> None:
    considered = [name for at, name, _ in context.ids['acme'] if (at - context.began_at) % context.shift_s >= 5]
    refused = [name for name in considered if context.cluster.answers[name][1].refusal is not None]
    assert len(refused) <= 0.01 * len(considered), (len(refused), len(considered))


@then('at least {count:d} of them were served')
def step_served_count(context: Any, count: int) -> None:
    served = _served(context, 'acme')
    assert served >= count, served


def _served(context: Any, organisation: str) -> int:
    answers = [
        context.cluster.answers[name][1] for _, name, _ in context.ids[organisation] if name in context.cluster.answers
    ]
    return sum(answer.refusal is None for answer in answers)


@then('"{organisation}" was served at least 90% of what it sent')
def step_served_sent(context: Any, organisation: str) -> None:
    assert _served(context, organisation) >= 0.9 * len(context.ids[organisation]), _served(context, organisation)


@then('"{organisation}" was served at least 90% of its rate')
def step_served_rate(context: Any, organisation: str) -> None:
    seconds = max(at for at, _, _ in context.ids[organisation]) - context.began_at
    assert _served(context, organisation) >= 0.9 * context.limit.rate_per_s * seconds, _served(context, organisation)


@then('every live instance served requests in the last 5 s')
def step_all_serve(context: Any) -> None:
    since = context.cluster.now() - 6
    served = {
        node
        for at, name, node in context.ids['acme']
        if at > since and name in context.cluster.answers and context.cluster.answers[name][1].refusal is None
    }
    live = {name for name, node in context.cluster.nodes.items() if not node.is_dead}
    assert served == live, (sorted(served), sorted(live))


@then('no time window before the change or from 4 s after it holds more requests than the limit in force allows')
def step_change(context: Any) -> None:
    times = _grant_times(context)
    before = [at for at in times if at <= context.changed_at]
    after = [at for at in times if at >= context.changed_at + 4]
    assert largest_excess(before, context.limit) <= 1e-6
    assert largest_excess(after, context.new_limit) <= 1e-6, largest_excess(after, context.new_limit)


@then('no time window holds more requests than the larger limit allows')
def step_larger(context: Any) -> None:
    larger = max(context.limit, context.new_limit, key=lambda limit: limit.rate_per_s)
    assert largest_excess(_grant_times(context), larger) <= 1e-6


@then('it was refused with "{reason}"')
def step_reason(context: Any, reason: str) -> None:
    answers = [answer for _, answer in context.cluster.answers.values() if answer.refusal]
    assert any(answer.refusal.reason is verdicts.REASONS_BY_CODE[reason] for answer in answers)
