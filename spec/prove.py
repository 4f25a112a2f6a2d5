"""Proves the specification; with --mutants, prints a counterexample for each guard that is removed."""

import importlib
import sys
import time
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor

import click

from spec import closing, eras, fences, listing, loans, permits, promotions, seats, terms, versions
from spec.transition import System, counterexample, guard_names, prove

#: The first six describe the product's own interface, the last four the protocol on the users' platform.
SYSTEMS = (
    permits.SYSTEM,
    fences.SYSTEM,
    terms.SYSTEM,
    loans.SYSTEM,
    seats.SYSTEM,
    versions.SYSTEM,
    closing.SYSTEM,
    listing.SYSTEM,
    eras.SYSTEM,
    promotions.SYSTEM,
)


@click.command()
@click.option('--mutants', is_flag=True, help='Remove each guard in turn and print the shortest counterexample.')
@click.option('--jobs', default=4, show_default=True, help='Processes that search for counterexamples.')
def main(*, mutants: bool, jobs: int) -> None:
    """Prove every property of the specification for any number of steps."""
    started_at = time.monotonic()
    failures = _show_mutants(jobs) if mutants else sum(_show_proofs(system) for system in SYSTEMS)
    faults = (*missing_names(), *unlisted_guards())
    for fault in faults:
        click.echo(f'FAULT     {fault}')
    count = failures + len(faults)
    click.echo(f'{"ok" if not count else "FAILED"} after {time.monotonic() - started_at:.1f} s')
    sys.exit(1 if count else 0)


def missing_names() -> Iterator[str]:
    """Find functions that the specification names and the code does not define.

    :returns: One sentence for each.
    """
    names = {
        part.carried_by
        for system in SYSTEMS
        for part in (*system.actions, *system.guards.values())
        if part.carried_by != 'environment'
    }
    for name in sorted(names):
        module_name, _, path = name.partition(':')
        found: object = importlib.import_module(module_name)
        for attribute in path.split('.'):
            found = getattr(found, attribute, None)
        if not callable(found):
            yield f'{name} is named in the specification but does not exist in the code'


def unlisted_guards() -> Iterator[str]:
    """Find guards that an action applies but its system does not list, and listed guards that no action applies.

    :returns: One sentence for each.
    """
    for system in SYSTEMS:
        for name in sorted(guard_names(system) ^ set(system.guards)):
            yield f'{system.name}: the guard "{name}" is either listed but not used or used but not listed'


def _show_proofs(system: System) -> int:
    results = dict(prove(system))
    claims = {name.split(': ')[0] for name in results}
    broken = {name.split(': ')[0]: name for name, holds in results.items() if not holds}
    for claim in sorted(claims):
        verdict = f'BROKEN ({broken[claim]})' if claim in broken else 'proved'
        click.echo(f'{system.name:9} {claim}: {verdict}')
    return len(broken)


def _show_mutants(jobs: int) -> int:
    survivors = 0
    mutants = [(number, guard) for number, system in enumerate(SYSTEMS) for guard in system.guards]
    with ProcessPoolExecutor(jobs) as pool:
        traces = list(pool.map(_trace_without, mutants))
    for (number, name), trace in zip(mutants, traces, strict=True):
        system = SYSTEMS[number]
        click.echo(f'{system.name}: without "{name}" ({system.guards[name].carried_by})')
        if trace is None:
            survivors += 1
            click.echo('    SURVIVED: no counterexample within the depth')
        for line in trace or ():
            click.echo(f'    {line}')
    return survivors


def _trace_without(mutant: tuple[int, str]) -> list[str] | None:
    """Search in a worker process, which receives the system's number because a system cannot be pickled.

    :returns: A counterexample to the system without the guard, or nothing.
    """
    number, guard = mutant
    return counterexample(SYSTEMS[number], guard)


if __name__ == '__main__':
    main()
