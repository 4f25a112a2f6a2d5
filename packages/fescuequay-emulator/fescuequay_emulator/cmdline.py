"""Command line of the emulator."""

import dataclasses
import importlib
import logging
import pathlib
import statistics
import sys
from typing import Any

import click
import msgspec

from fescuequay_emulator import experiments, scenarios
from fescuequay_emulator.experiments import Setting
from fescuequay_emulator.figures import Figures
from fescuequay_emulator.wire import Wire
from fescuequay_entry import logs

_SCENARIO = click.Path(path_type=pathlib.Path, exists=True, dir_okay=False)


class _WireType(click.ParamType[Wire]):
    """Name of a subclass of ``Wire``, such as ``package.module:Name``."""

    name = 'MODULE:NAME'

    def convert(self, value: Any, param: click.Parameter | None, ctx: click.Context | None) -> Wire:
        """:returns: An object of the class. :raises click.BadParameter: There is no such class."""
        module, _, name = value.partition(':')
        if not (module and name):
            self.fail(f'{value!r} does not have the form module:NAME', param, ctx)
        try:
            found = getattr(importlib.import_module(module), name, None)
        except ImportError as error:
            self.fail(f'{module} cannot be imported: {error}', param, ctx)
        if not (isinstance(found, type) and issubclass(found, Wire)):
            self.fail(f'{name} in {module} is no subclass of {Wire.__module__}.{Wire.__name__}', param, ctx)
        return found()


_wire_option = click.option(
    '--wire', type=_WireType(), help='Encoding of messages; by default they are handed over as they are.'
)


def _parse_settings(texts: tuple[str, ...]) -> tuple[Setting, ...]:
    """Parse settings such as ``fescuequay_core.relay.permits:PERMIT_S=3``."""
    settings = []
    for text in texts:
        path, _, number = text.partition('=')
        module, _, name = path.partition(':')
        if not (module and name and number):
            raise click.BadParameter(f'{text!r} does not have the form module:NAME=number')
        settings.append(Setting(module, name, float(number)))
    return tuple(settings)


def _print_figures(figures: Figures, *, as_json: bool) -> None:
    if as_json:
        click.echo(msgspec.json.encode(dataclasses.asdict(figures)).decode())
        return
    share = figures.served / max(figures.asked, 1)
    reasons = ', '.join(f'{name} {count}' for name, count in sorted(figures.refused.items())) or 'none'
    click.echo(
        f'served {figures.served} of {figures.asked} ({share:.1%}), replica share {figures.replica_share:.2f}, '
        f'longest write gap {figures.write_gap_s:.2f} s, median {figures.median_s * 1000:.0f} ms, '
        f'table calls {figures.store_calls}; refusals: {reasons}'
    )
    for violation in figures.broken:
        click.echo(f'BROKEN {violation.promise} at {violation.at:.3f} s: {violation.detail}')


@click.group()
def main() -> None:
    """Run deployments of real instances in virtual time."""
    logging.getLogger('fescuequay').setLevel(logging.CRITICAL)


@main.command()
@click.argument('scenario', type=_SCENARIO)
@click.option('--seed', default=1, help='Seed of the random number generator.')
@click.option('--json', 'as_json', is_flag=True, help='Print figures as JSON.')
@click.option('--log', is_flag=True, help="Print the instances' log lines.")
@_wire_option
def run(scenario: pathlib.Path, seed: int, wire: Wire | None, *, as_json: bool, log: bool) -> None:
    """Run SCENARIO once."""
    if log:
        logs.configure('info')
        logging.getLogger('fescuequay').setLevel(logging.INFO)
    figures = scenarios.run_scenario(scenarios.load(scenario), seed, wire)
    _print_figures(figures, as_json=as_json)
    sys.exit(1 if figures.broken else 0)


@main.command()
@click.argument('scenario', type=_SCENARIO)
@click.option('--seeds', default=20, help='Number of seeds.')
@click.option('--first', default=1, help='First seed.')
@click.option('--set', 'texts', multiple=True, help='Constant to change, as module:NAME=number.')
@click.option('--jobs', default=2, help='Number of processes in parallel.')
@click.option('--json', 'as_json', is_flag=True, help='Print figures as JSON.')
def sweep(scenario: pathlib.Path, seeds: int, first: int, texts: tuple[str, ...], jobs: int, *, as_json: bool) -> None:
    """Run SCENARIO on many seeds."""
    numbers = range(first, first + seeds)
    runs = experiments.sweep(scenarios.load(scenario), numbers, _parse_settings(texts), jobs)
    with click.progressbar(runs, length=seeds, file=sys.stderr) as bar:
        results = list(bar)
    for figures in results:
        if as_json or figures.broken:
            _print_figures(figures, as_json=as_json)
    shares = [figures.served / max(figures.asked, 1) for figures in results]
    gaps = [figures.write_gap_s for figures in results]
    click.echo(
        f'{seeds} seeds: served {statistics.fmean(shares):.3f} (least {min(shares):.3f}), write gap mean '
        f'{statistics.fmean(gaps):.2f} s (most {max(gaps):.2f} s), broken on '
        f'{sum(bool(figures.broken) for figures in results)}',
        err=as_json,
    )
    sys.exit(1 if any(figures.broken for figures in results) else 0)


@main.command()
@click.argument('scenario', type=_SCENARIO)
@click.option('--first', 'firsts', multiple=True, help='Constant of the first side, as module:NAME=number.')
@click.option(
    '--second', 'seconds', multiple=True, required=True, help='Constant of the second side, as module:NAME=number.'
)
@click.option('--seeds', default=20, help='Number of seeds.')
@click.option('--jobs', default=2, help='Number of processes in parallel.')
def compare(scenario: pathlib.Path, firsts: tuple[str, ...], seconds: tuple[str, ...], seeds: int, jobs: int) -> None:
    """Compare two settings on the same seeds of SCENARIO."""
    result = experiments.compare(
        scenarios.load(scenario), range(1, seeds + 1), _parse_settings(firsts), _parse_settings(seconds), jobs
    )
    click.echo(
        f'served {result.first:.4f} and {result.second:.4f}; difference {result.second - result.first:+.4f}, '
        f'95% interval {result.low:+.4f} to {result.high:+.4f}'
    )


@main.command()
@click.option('--sizes', default='30,100', show_default=True, help='Numbers of instances, separated by commas.')
@click.option('--seconds', default=6.0, show_default=True, help='Length of the load.')
@click.option('--jobs', default=2, help='Number of processes in parallel.')
def scale(sizes: str, seconds: float, jobs: int) -> None:
    """Run deployments of several sizes without faults; print the control traffic per instance."""
    counts = [int(text) for text in sizes.split(',')]
    click.echo('instances  served  exchange KB/s  supply KB/s  all messages/s at the supplier  table calls/s')
    for count, figures in zip(counts, experiments.scale(counts, seconds, jobs), strict=True):
        per_instance = 1000 * figures.seconds * count
        kilobytes = {kind: size / per_instance for kind, size in figures.control_bytes.items()}
        messages = sum(figures.control_messages.values()) / figures.seconds
        click.echo(
            f'{count:9}  {figures.served / max(figures.asked, 1):6.3f}  {kilobytes.get("ExchangeRequest", 0):13.2f}  '
            f'{kilobytes.get("SupplyRequest", 0):11.2f}  {messages:32.0f}  '
            f'{figures.store_calls / figures.seconds:13.1f}'
        )


@main.command()
@click.option('--days', default=20, help='Number of random schedules, one per seed.')
@click.option('--first', default=1, help='First seed.')
@click.option(
    '--drills',
    is_flag=True,
    help='In each schedule the table also comes back from a copy, and a data centre is evacuated.',
)
@_wire_option
def hunt(days: int, first: int, wire: Wire | None, *, drills: bool) -> None:
    """Run random schedules of faults; shrink and print those that violate a guarantee."""
    failing_count = 0
    runs: list[Figures] = []
    with click.progressbar(length=days, file=sys.stderr) as bar:

        def on_scenario(_seed: int, figures: Figures) -> None:
            runs.append(figures)
            bar.update(1)

        for failing in experiments.hunt(range(first, first + days), on_scenario, with_drills=drills, wire=wire):
            failing_count += 1
            faults: list[Any] = [msgspec.structs.asdict(fault) for fault in failing.scenario.faults]
            click.echo(f'\nseed {failing.seed}: {msgspec.json.encode(faults).decode()}')
            _print_figures(failing.figures, as_json=False)
    click.echo(f'{days} schedules, {failing_count} with a broken promise')
    hidden_counts = [figures.hidden_requests for figures in runs]
    click.echo(
        f'requests inside fields of other messages: {sum(hidden_counts)}, none in {hidden_counts.count(0)} schedules; '
        f'answers inside rows: {sum(figures.hidden_answers for figures in runs)}'
        + ('' if wire is not None else ' (messages have no encoding without --wire)')
    )
    sys.exit(1 if failing_count else 0)
