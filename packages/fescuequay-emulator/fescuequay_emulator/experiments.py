"""Experiments on scenarios: sweeps over seeds, comparisons of settings, and a search for failing schedules."""

import dataclasses
import importlib
import multiprocessing
import random
import statistics
import sys
from collections.abc import Callable, Iterator, Sequence
from typing import Final

import msgspec

from fescuequay_emulator.figures import Figures
from fescuequay_emulator.late_delivery import HoldEnd
from fescuequay_emulator.scenarios import (
    DRILL_KIND,
    EVACUATION_KIND,
    FAULT_KINDS,
    HIDDEN_ANSWERS_KIND,
    HIDDEN_KIND,
    HOLD_KIND,
    TRANSACTIONS_KIND,
    Fault,
    Scenario,
    run_scenario,
)
from fescuequay_emulator.wire import Wire
from fescuequay_emulator.world import Plan

#: Number of resamples of the bootstrap, and the confidence level of its interval.
_RESAMPLES: Final = 2000
_CONFIDENCE: Final = 0.95

#: Largest number of faults in a random schedule.
_MAX_FAULTS: Final = 4

#: Share of the random schedules that use gateways, and the number of connections of a target with which they do.
_GATEWAY_SHARE: Final = 0.5
_GATEWAY_CONNECTIONS: Final = 12

#: Services of a deployment in ``scale``: the minimum, and instances per service above it.
_MIN_SERVICES: Final = 4
_INSTANCES_PER_SERVICE: Final = 20

#: Values of ``how`` in a random schedule.
_VARIANTS: Final = ('', 'dark', 'reset', 'silent', 'busy', 'some', 'slow', 'late', 'deaf', 'replicas', 'all', 'peers')


@dataclasses.dataclass(frozen=True, slots=True)
class Setting:
    """A constant of the product that an experiment overrides.

    :param module: Module that defines it.
    :param name: Name of the constant.
    :param number: Value in the experiment.
    """

    module: str
    name: str
    number: float

    def apply(self) -> None:
        """Override the constant in this process, in every module that imported it under its name."""
        importlib.import_module(self.module)
        for module in tuple(sys.modules.values()):
            if getattr(module, '__name__', '').startswith('fescuequay') and hasattr(module, self.name):
                setattr(module, self.name, self.number)


@dataclasses.dataclass(frozen=True, slots=True)
class Comparison:
    """Share of served operations with two settings on the same seeds.

    :param first: Mean share with the first setting.
    :param second: Mean share with the second setting.
    :param low: Lower end of the confidence interval of the difference.
    :param high: Upper end.
    """

    first: float
    second: float
    low: float
    high: float


@dataclasses.dataclass(frozen=True, slots=True)
class FailingSchedule:
    """A schedule of faults that violates a guarantee, shrunk for as long as it still does.

    :param seed: Seed of the run.
    :param scenario: The shrunk scenario.
    :param figures: Result of its run.
    """

    seed: int
    scenario: Scenario
    figures: Figures


def _run_with_settings(job: tuple[Scenario, int, Sequence[Setting]]) -> Figures:
    scenario, seed, settings = job
    for setting in settings:
        setting.apply()
    return run_scenario(scenario, seed)


def sweep(
    scenario: Scenario, seeds: Sequence[int], settings: Sequence[Setting] = (), jobs: int = 2
) -> Iterator[Figures]:
    """Run a scenario on many seeds in worker processes.

    :param scenario: The scenario.
    :param seeds: The seeds.
    :param settings: Constants to override.
    :param jobs: Number of processes in parallel; each is replaced after eight runs.
    :returns: Figures in the order of the seeds.
    """
    context = multiprocessing.get_context('spawn')
    with context.Pool(jobs, maxtasksperchild=8) as pool:
        yield from pool.imap(_run_with_settings, [(scenario, seed, tuple(settings)) for seed in seeds])


def compare(
    scenario: Scenario, seeds: Sequence[int], first: Sequence[Setting], second: Sequence[Setting], jobs: int = 2
) -> Comparison:
    """Compare two settings on the same seeds with a paired bootstrap.

    :param scenario: The scenario.
    :param seeds: The seeds.
    :param first: Constants to override on the first side.
    :param second: Constants to override on the second side.
    :param jobs: Number of processes in parallel.
    :returns: The shares and the confidence interval of their difference.
    """
    shares = [[_served_share(figures) for figures in sweep(scenario, seeds, side, jobs)] for side in (first, second)]
    differences = [later - earlier for earlier, later in zip(*shares, strict=True)]
    rng = random.Random(len(differences))
    means = sorted(statistics.fmean(rng.choices(differences, k=len(differences))) for _ in range(_RESAMPLES))
    margin = int(_RESAMPLES * (1 - _CONFIDENCE) / 2)
    return Comparison(statistics.fmean(shares[0]), statistics.fmean(shares[1]), means[margin], means[-margin - 1])


def hunt(
    seeds: Sequence[int],
    on_scenario: Callable[[int, Figures], None],
    *,
    with_drills: bool = False,
    wire: Wire | None = None,
) -> Iterator[FailingSchedule]:
    """Run random schedules and shrink those that violate a guarantee.

    :param seeds: Seeds of the schedules.
    :param on_scenario: Called after each run with its seed and figures.
    :param with_drills: Whether each schedule also has drills: the table comes back from a copy, a data centre is
        evacuated.
    :param wire: Encoding of messages; without one they are handed over as they are, and no request hides inside one.
    :returns: The failing schedules.
    """
    for seed in seeds:
        scenario = hunted_scenario(seed, with_drills=with_drills)
        figures = run_scenario(scenario, seed, wire)
        on_scenario(seed, figures)
        if figures.broken:
            yield shrink(FailingSchedule(seed, scenario, figures), wire)


def hunted_scenario(seed: int, *, with_drills: bool = False) -> Scenario:
    """:returns: The schedule of a seed in a hunt: random faults, late deliveries, hidden requests, drills if wanted."""
    scenario = with_hidden_requests(with_late_deliveries(random_scenario(seed), seed), seed)
    return with_random_drills(scenario, seed) if with_drills else scenario


def random_scenario(seed: int) -> Scenario:
    """:returns: A scenario with a random schedule of faults that may overlap."""
    rng = random.Random(seed)
    faults = tuple(
        Fault(
            at=round(rng.uniform(1, 9), 1),
            kind=rng.choice(FAULT_KINDS),
            for_s=round(rng.uniform(1, 6), 1),
            on=rng.choice(('0', '1', 'coordinator')),
            how=rng.choice(_VARIANTS),
            share=round(rng.uniform(0.1, 0.6), 2),
        )
        for _ in range(rng.randint(1, _MAX_FAULTS))
    )
    return Scenario(f'hunted {seed}', faults=tuple(map(_with_supported_subject, faults)))


def with_late_deliveries(scenario: Scenario, seed: int) -> Scenario:
    """Add a promotion that is held up on its way, and transactions that stay open on a primary which is replaced.

    :param scenario: The scenario.
    :param seed: Seed of the faults.
    :returns: The scenario with both faults, and a service that has no other load.
    """
    rng = random.Random(f'late {seed}')
    held = Fault(
        at=round(rng.uniform(0, 1), 2),
        kind=HOLD_KIND,
        for_s=round(rng.uniform(0.5, 6), 2),
        on=rng.choice(('0', '1')),
        how=rng.choice([end.value for end in HoldEnd]),
    )
    replaced = Fault(
        at=round(rng.uniform(0, 3), 2),
        kind=TRANSACTIONS_KIND,
        for_s=round(rng.uniform(4, 9), 2),
        how=rng.choice(('', 'cut')),
    )
    plan = dataclasses.replace(scenario.plan, idle_services=1)
    return msgspec.structs.replace(scenario, plan=plan, faults=(*scenario.faults, held, replaced))


def with_hidden_requests(scenario: Scenario, seed: int) -> Scenario:
    """Add callers and targets that hide requests and answers inside fields, on some seeds with gateways.

    :param scenario: The scenario.
    :param seed: Seed of the faults.
    :returns: The scenario with both faults.
    """
    rng = random.Random(f'hidden {seed}')
    hidden = Fault(at=round(rng.uniform(0, 8), 2), kind=HIDDEN_KIND, for_s=round(rng.uniform(2, 5), 2))
    plan = scenario.plan
    is_with_gateways = rng.random() < _GATEWAY_SHARE
    answers = Fault(
        at=round(rng.uniform(0, 8), 2),
        kind=HIDDEN_ANSWERS_KIND,
        for_s=round(rng.uniform(2, 4), 2),
        on=rng.choice(('0', '1')),
        share=round(rng.uniform(0.1, 0.3), 2),
    )
    if is_with_gateways:
        plan = dataclasses.replace(plan, cores=1.0, max_connections=_GATEWAY_CONNECTIONS)
    return msgspec.structs.replace(scenario, plan=plan, faults=(*scenario.faults, hidden, answers))


def with_random_drills(scenario: Scenario, seed: int) -> Scenario:
    """Add drills to a schedule, at any moment and also in quick succession.

    :param scenario: The scenario.
    :param seed: Seed of the drills.
    :returns: The scenario with one or two returns of the table from a copy, and an evacuation.
    """
    rng = random.Random(f'drill {seed}')
    drills = tuple(
        Fault(
            at=round(rng.uniform(1, 9), 2),
            kind=DRILL_KIND,
            for_s=round(rng.uniform(0.05, 3), 2),
            share=round(rng.uniform(0, 6), 1),
        )
        for _ in range(rng.randint(1, 2))
    )
    evacuation = Fault(
        at=round(rng.uniform(0, 6), 2),
        kind=EVACUATION_KIND,
        for_s=round(rng.uniform(3, 14), 1),
        on=rng.choice(('0', '1', '2', '0,1', '0,1,2')),
    )
    return msgspec.structs.replace(scenario, faults=(*scenario.faults, *drills, evacuation))


def shrink(failing: FailingSchedule, wire: Wire | None = None) -> FailingSchedule:
    """Remove faults one by one for as long as a guarantee is still violated.

    :param failing: The failing schedule.
    :param wire: Encoding of messages in its run.
    :returns: A schedule from which no single fault can be removed.
    """
    for fault in failing.scenario.faults:
        kept = tuple(other for other in failing.scenario.faults if other is not fault)
        smaller = msgspec.structs.replace(failing.scenario, faults=kept)
        figures = run_scenario(smaller, failing.seed, wire)
        if figures.broken:
            return shrink(FailingSchedule(failing.seed, smaller, figures), wire)
    return failing


def _with_supported_subject(fault: Fault) -> Fault:
    """:returns: The fault, on number 0 where its kind does not accept ``coordinator``."""
    if fault.on == 'coordinator' and fault.kind not in {'kill', 'stop', 'cut_instance'}:
        return msgspec.structs.replace(fault, on='0')
    return fault


def _served_share(figures: Figures) -> float:
    return figures.served / max(figures.asked, 1)


def scale(counts: Sequence[int], seconds: float, jobs: int) -> Iterator[Figures]:
    """Run deployments of several sizes without faults.

    Load, organisations and services grow with the number of instances: five operations a second and an organisation
    per instance, and a service for every twenty instances.

    :param counts: Numbers of instances.
    :param seconds: Duration of the load.
    :param jobs: Number of processes in parallel.
    :returns: The figures, including control messages, in the order of the counts.
    """
    with multiprocessing.get_context('spawn').Pool(jobs) as pool:
        yield from pool.imap(_run_size, [(count, seconds) for count in counts])


def _run_size(size: tuple[int, float]) -> Figures:
    count, seconds = size
    plan = Plan(
        instances=count,
        services=max(_MIN_SERVICES, count // _INSTANCES_PER_SERVICE),
        slots=8,
        max_connections=2 * count,
        organisations=count,
        counts_bytes=True,
    )
    return run_scenario(Scenario('scale', plan, seconds, per_s=5.0 * count, sessions=8 * count), seed=1)
