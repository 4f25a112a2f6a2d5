"""Steps about the token pool: floods, stocks and instances out of touch."""

import collections
import random
from typing import Any

from behave import given, then, when

from fescuequay_core.relay.buckets import AcquireResult, Buckets
from fescuequay_core.relay.model import OrganisationPolicy
from fescuequay_core.relay.intervals import contact_timeout_s, exchange_interval_s
from fescuequay_core.relay.tokenpool import TokenPool, Tolerance, TokenRequest
from fescuequay_core.types import InstanceId, OrganisationId


def _ask(context: Any, instances: int, factor: float, rate: float, leaver: int | None) -> None:
    """Let instances take tokens in steps of 10 ms, exchanging every 0.35 s or when an operation waits."""
    policy = OrganisationPolicy(OrganisationId('o'), rate, rate)
    policies = {'o': policy}
    pool = TokenPool(0.0, Tolerance())
    buckets = [Buckets() for _ in range(instances)]
    for each in buckets:
        each._policies_by_organisation = policies
        each.set_member_count(instances)
    context.taken = []
    # Operations that wait for the next exchange, as admission lets them.
    waiting: collections.Counter[int] = collections.Counter()
    for step in range(12 * 100):
        now = step / 100
        for number, each in enumerate(buckets):
            is_away = number == leaver and now > 4
            if not is_away and (step % 35 == number or step % 3 == 0):
                pool.record_contact(InstanceId(str(number)), now)
                each.record_contact(now + contact_timeout_s(instances))
                wish = TokenRequest(each.update_requests(now), each.waiting(), each.held(now))
                given = pool.grant(InstanceId(str(number)), wish, policies, instances, now)
                for organisation, (tokens, dry_s) in given.items():
                    each.receive(organisation, tokens, dry_s, now)
                context.taken.extend([now] * _take_waiting(each, waiting.pop(number, 0), now))
            owed = factor * rate / instances
            for _ in range(int(owed * (step + 1) / 100) - int(owed * step / 100)):
                taken, wait_s = each.acquire(OrganisationId('o'), now, 0.05)
                if taken is AcquireResult.ACQUIRED:
                    context.taken.append(now + wait_s)
                elif taken is AcquireResult.ASK_COORDINATOR and not is_away:
                    each.add_waiting(OrganisationId('o'), 1)
                    waiting[number] += 1


def _take_waiting(each: Buckets, count: int, now: float) -> int:
    """:returns: How many of the operations that waited got a token."""
    each.add_waiting(OrganisationId('o'), -count)
    results = [each.acquire(OrganisationId('o'), now, 0.05, is_retry=True)[0] for _ in range(count)]
    return results.count(AcquireResult.ACQUIRED)


@when('{instances:d} instances ask the token pool at {factor:d} times a rate of {rate:d} with a burst of 40 for 12 s')
def step_hot(context: Any, instances: int, factor: int, rate: int) -> None:
    _ask(context, instances, factor, rate, None)


class Fleet:
    """Instances with a session each of one organisation, in steps of 10 ms, before one token pool.

    :param instances: How many.
    :param rate: Rate and burst of the organisation.
    """

    def __init__(self, instances: int, rate: float) -> None:
        self.policy = OrganisationPolicy(OrganisationId('o'), rate, rate)
        self.tolerance = Tolerance(5.0, 0.1, 20.0)
        self.pool = TokenPool(0.0, self.tolerance)
        self.buckets = [Buckets() for _ in range(instances)]
        self.taken: list[float] = []
        self.refused: list[float] = []
        self._step = 0
        self._chance = random.Random(instances)
        for each in self.buckets:
            each._policies_by_organisation = {'o': self.policy}
            each.set_member_count(instances)
            each.add_sessions(OrganisationId('o'), 1)

    def run(self, seconds: float, per_s: float) -> None:
        """Let operations arrive by chance, each at some instance."""
        round_steps = int(exchange_interval_s(len(self.buckets)) * 100)
        for _ in range(int(seconds * 100)):
            self._step += 1
            for number, each in enumerate(self.buckets):
                if self._step % round_steps == number % round_steps:
                    self._exchange(number, each)
            for _ in range(_poisson(self._chance, per_s / 100)):
                self._operate(self._chance.randrange(len(self.buckets)))

    def _exchange(self, number: int, each: Buckets) -> None:
        now = self._step / 100
        self.pool.record_contact(InstanceId(str(number)), now)
        each.record_contact(now + contact_timeout_s(len(self.buckets)))
        wish = TokenRequest(each.update_requests(now), each.waiting(), each.held(now))
        given = self.pool.grant(InstanceId(str(number)), wish, {'o': self.policy}, len(self.buckets), now)
        for organisation, (tokens, dry_s) in given.items():
            each.receive(organisation, tokens, dry_s, now)
        each.extend_stocks(now)

    def _operate(self, number: int) -> None:
        now = self._step / 100
        each = self.buckets[number]
        taken, _ = each.acquire(OrganisationId('o'), now, 0.05)
        if taken is AcquireResult.ASK_COORDINATOR:
            each.add_waiting(OrganisationId('o'), 1)
            self._exchange(number, each)
            taken, _ = each.acquire(OrganisationId('o'), now, 0.05, is_retry=True)
            each.add_waiting(OrganisationId('o'), -1)
        (self.taken if taken is AcquireResult.ACQUIRED else self.refused).append(now)


def _poisson(chance: random.Random, mean: float) -> int:
    """:returns: Arrivals in a step."""
    count, at = 0, chance.expovariate(1.0)
    while at < mean:
        count, at = count + 1, at + chance.expovariate(1.0)
    return count


@given('{instances:d} instances with an open session of an organisation of {rate:d} operations a second each')
def step_fleet(context: Any, instances: int, rate: int) -> None:
    context.fleet = Fleet(instances, rate)


@when('{calm:d} s go by, and then the organisation sends 7 times its rate for 6 s')
def step_flood(context: Any, calm: int) -> None:
    fleet: Fleet = context.fleet
    # Pools begin empty, and every instance asks for its first token then.
    fleet.run(2, 0)
    fleet.run(calm, fleet.policy.rate_per_s / 1.6)
    context.calm = (len(fleet.taken), len(fleet.refused))
    fleet.run(6, fleet.policy.rate_per_s * 7)


@then("no 5 s see more operations than its limit and the platform's tolerance allow")
def step_tolerated(context: Any) -> None:
    fleet: Fleet = context.fleet
    policy, tolerance = fleet.policy, fleet.tolerance
    allowed = policy.rate_per_s * tolerance.window_s + policy.burst
    step_window(context.fleet, int(allowed * (1 + tolerance.overage) + tolerance.slack), 0)


@then('the flood gets at least its rate')
def step_flood_served(context: Any) -> None:
    fleet: Fleet = context.fleet
    served = len(fleet.taken) - context.calm[0]
    assert served >= fleet.policy.rate_per_s * 6 * 0.95, served


@then('calm operations find a token at once or when the pool answers')
def step_calm_served(context: Any) -> None:
    taken, refused = context.calm
    assert refused <= taken * 0.005, (taken, refused)


@when('one of {instances:d} instances stops exchanging, all wanting twice a rate of {rate:d} with a burst of 40')
def step_leaver(context: Any, instances: int, rate: int) -> None:
    _ask(context, instances, 2, rate, 1)


@then('no 5 s see more than {most:d} operations, and 12 s see at least {least:d}')
def step_window(context: Any, most: int, least: int) -> None:
    times = sorted(context.taken)
    start = 0
    for end, at in enumerate(times):
        while times[start] < at - 5:
            start += 1
        assert end - start + 1 <= most, (at, end - start + 1)
    assert len(times) >= least, len(times)
