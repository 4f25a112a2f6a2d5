"""Steps about the token pool: overload, stocks, and instances that lose contact."""

import collections
import random
from typing import Any

from behave import given, then, when

from fescuequay_core.relay.buckets import AcquireResult, Buckets
from fescuequay_core.relay.model import OrganisationPolicy
from fescuequay_core.relay.intervals import contact_timeout_s, exchange_interval_s
from fescuequay_core.relay.tokenpool import TokenPool, Tolerance, TokenRequest
from fescuequay_core.types import InstanceId, OrganisationId


def _simulate(context: Any, instances: int, factor: float, rate: float, silent_instance: int | None) -> None:
    """Simulate instances in steps of 10 ms, with an exchange every 0.35 s and every 30 ms for operations that wait."""
    policy = OrganisationPolicy(OrganisationId('o'), rate, rate)
    policies = {'o': policy}
    pool = TokenPool(0.0, Tolerance())
    buckets = [Buckets() for _ in range(instances)]
    for each in buckets:
        each._policies_by_organisation = policies
        each.set_member_count(instances)
    context.acquired = []
    # Operations that wait for the next exchange, as they do in admission.
    waiting: collections.Counter[int] = collections.Counter()
    for step in range(12 * 100):
        now = step / 100
        for number, each in enumerate(buckets):
            is_away = number == silent_instance and now > 4
            if not is_away and (step % 35 == number or step % 3 == 0):
                pool.record_contact(InstanceId(str(number)), now)
                each.record_contact(now + contact_timeout_s(instances))
                request = TokenRequest(each.update_requests(now), each.waiting(), each.held(now))
                granted = pool.grant(InstanceId(str(number)), request, policies, instances, now)
                for organisation, (tokens, next_token_s) in granted.items():
                    each.receive(organisation, tokens, next_token_s, now)
                context.acquired.extend([now] * _acquire_waiting(each, waiting.pop(number, 0), now))
            arriving = factor * rate / instances
            for _ in range(int(arriving * (step + 1) / 100) - int(arriving * step / 100)):
                result, wait_s = each.acquire(OrganisationId('o'), now, 0.05)
                if result is AcquireResult.ACQUIRED:
                    context.acquired.append(now + wait_s)
                elif result is AcquireResult.ASK_COORDINATOR and not is_away:
                    each.add_waiting(OrganisationId('o'), 1)
                    waiting[number] += 1


def _acquire_waiting(each: Buckets, count: int, now: float) -> int:
    """:returns: Number of waiting operations that acquired a token."""
    each.add_waiting(OrganisationId('o'), -count)
    results = [each.acquire(OrganisationId('o'), now, 0.05, is_retry=True)[0] for _ in range(count)]
    return results.count(AcquireResult.ACQUIRED)


@when('{instances:d} instances request tokens at {factor:d} times a rate of {rate:d} with a burst of 40 for 12 s')
def step_overload(context: Any, instances: int, factor: int, rate: int) -> None:
    _simulate(context, instances, factor, rate, None)


class SimulatedFleet:
    """Instances with one session each of an organisation, which share a token pool, in steps of 10 ms.

    :param instances: Number of instances.
    :param rate: Rate and burst of the organisation.
    """

    def __init__(self, instances: int, rate: float) -> None:
        self.policy = OrganisationPolicy(OrganisationId('o'), rate, rate)
        self.tolerance = Tolerance(5.0, 0.1, 20.0)
        self.pool = TokenPool(0.0, self.tolerance)
        self.buckets = [Buckets() for _ in range(instances)]
        self.acquired: list[float] = []
        self.refused: list[float] = []
        self._step = 0
        self._rng = random.Random(instances)
        for each in self.buckets:
            each._policies_by_organisation = {'o': self.policy}
            each.set_member_count(instances)
            each.add_sessions(OrganisationId('o'), 1)

    def run(self, seconds: float, per_s: float) -> None:
        """Let operations arrive as a Poisson process, each at a random instance."""
        round_steps = int(exchange_interval_s(len(self.buckets)) * 100)
        for _ in range(int(seconds * 100)):
            self._step += 1
            for number, each in enumerate(self.buckets):
                if self._step % round_steps == number % round_steps:
                    self._exchange(number, each)
            for _ in range(_poisson(self._rng, per_s / 100)):
                self._operate(self._rng.randrange(len(self.buckets)))

    def _exchange(self, number: int, each: Buckets) -> None:
        now = self._step / 100
        self.pool.record_contact(InstanceId(str(number)), now)
        each.record_contact(now + contact_timeout_s(len(self.buckets)))
        request = TokenRequest(each.update_requests(now), each.waiting(), each.held(now))
        granted = self.pool.grant(InstanceId(str(number)), request, {'o': self.policy}, len(self.buckets), now)
        for organisation, (tokens, next_token_s) in granted.items():
            each.receive(organisation, tokens, next_token_s, now)
        each.extend_stocks(now)

    def _operate(self, number: int) -> None:
        now = self._step / 100
        each = self.buckets[number]
        result, _ = each.acquire(OrganisationId('o'), now, 0.05)
        if result is AcquireResult.ASK_COORDINATOR:
            each.add_waiting(OrganisationId('o'), 1)
            self._exchange(number, each)
            result, _ = each.acquire(OrganisationId('o'), now, 0.05, is_retry=True)
            each.add_waiting(OrganisationId('o'), -1)
        (self.acquired if result is AcquireResult.ACQUIRED else self.refused).append(now)


def _poisson(rng: random.Random, mean: float) -> int:
    """:returns: Number of arrivals in a step, from a Poisson distribution."""
    count, at = 0, rng.expovariate(1.0)
    while at < mean:
        count, at = count + 1, at + rng.expovariate(1.0)
    return count


@given('{instances:d} instances with an open session of an organisation of {rate:d} operations a second each')
def step_fleet(context: Any, instances: int, rate: int) -> None:
    context.fleet = SimulatedFleet(instances, rate)


@when('{normal_s:d} s of normal load pass, and then the organisation sends 7 times its rate for 6 s')
def step_flood(context: Any, normal_s: int) -> None:
    fleet: SimulatedFleet = context.fleet
    # Pools start empty, and every instance requests its first token at the start.
    fleet.run(2, 0)
    fleet.run(normal_s, fleet.policy.rate_per_s / 1.6)
    context.normal_load = (len(fleet.acquired), len(fleet.refused))
    fleet.run(6, fleet.policy.rate_per_s * 7)


@then("no 5 s see more operations than its limit and the platform's tolerance allow")
def step_tolerated(context: Any) -> None:
    fleet: SimulatedFleet = context.fleet
    policy, tolerance = fleet.policy, fleet.tolerance
    allowed = policy.rate_per_s * tolerance.window_s + policy.burst
    step_window(context.fleet, int(allowed * (1 + tolerance.overage) + tolerance.slack), 0)


@then('the organisation is then served at least its rate')
def step_flood_served(context: Any) -> None:
    fleet: SimulatedFleet = context.fleet
    served = len(fleet.acquired) - context.normal_load[0]
    assert served >= fleet.policy.rate_per_s * 6 * 0.95, served


@then('operations under normal load acquire a token at once or when the pool answers')
def step_normal_load_served(context: Any) -> None:
    acquired, refused = context.normal_load
    assert refused <= acquired * 0.005, (acquired, refused)


@when('one of {instances:d} instances stops exchanging, while all offer twice a rate of {rate:d} with a burst of 40')
def step_silent_instance(context: Any, instances: int, rate: int) -> None:
    _simulate(context, instances, 2, rate, 1)


@then('no 5 s see more than {most:d} operations, and 12 s see at least {least:d}')
def step_window(context: Any, most: int, least: int) -> None:
    times = sorted(context.acquired)
    start = 0
    for end, at in enumerate(times):
        while times[start] < at - 5:
            start += 1
        assert end - start + 1 <= most, (at, end - start + 1)
    assert len(times) >= least, len(times)
