"""Runs the two users' workloads on real processes with scheduled faults, and prints and reports the figures."""

import asyncio
import copy
import pathlib
import signal
import sys
from typing import Any

import click
import msgspec

from fescuequay_core import jsonc, textcheck
from features.checker import Limit
from lab import figures, report
from lab.harness import OUT, Trial, example, key_of, settle
from lab.workload import Job, Op

_LIST_LAG_S = 3.0
_SETTINGS = pathlib.Path(__file__).with_name('measure.jsonc')


class WorkloadRun:
    """A run of one workload on a fleet of its own.

    :param name: Name in the report.
    :param plan: Settings of the workload.
    :param settings: Settings of the whole measurement.
    :param baseline: Empty for the run with faults; else ``no faults``, ``primary reads`` or ``static shares``.
    """

    def __init__(self, name: str, plan: dict[str, Any], settings: dict[str, Any], baseline: str = '') -> None:
        self.name = name
        self.plan = plan
        self.settings = settings
        self.baseline = baseline
        self.seconds = 15.0 if baseline else float(settings['seconds'])
        self.faults = [] if baseline else settings['faults']
        self.notes: list[str] = []

    async def run(self) -> tuple[dict[str, Any], list[Op]]:
        """:returns: The figures and the operations."""
        timing = {'loan_s': 0.001, 'loan_wait_s': 0.001} if self.baseline == 'static shares' else {}
        async with Trial(example(self.plan['example']), self.settings['instances'], timing=timing) as trial:
            self.trial = trial
            await self._prepare()
            path = OUT / f'{self.name.replace(" ", "-")}.json'
            job = msgspec.json.encode(self._job(path)).decode()
            process = await asyncio.create_subprocess_exec(sys.executable, '-m', 'lab.workload', job)
            began_at = asyncio.get_running_loop().time()
            for fault in self.faults:
                await asyncio.sleep(max(began_at + fault['at'] - asyncio.get_running_loop().time(), 0))
                click.echo(f'  {self.name}: {fault["at"]:>3} s {fault["fault"]}', err=True)
                await self._inject(fault['fault'])
            await process.wait()
            await self._clear_faults()
            await settle(3)
            ops = msgspec.json.decode(path.read_bytes(), type=list[Op])
            return self._figures(ops), ops

    async def _prepare(self) -> None:
        for group in self.trial.fleet.groups_by_id.values():
            for member in group.members_by_name.values():
                member.faults.service_time_s = self.settings['service_time_s']
        organisations_by_group = {
            next(iter(row['groups'].values())): name for name, row in self._organisations().items()
        }
        for organisation in organisations_by_group.values():
            sql = {'sql': 'create table if not exists marks (name text primary key, org text)'}
            first = self.trial.instances[0]
            status, _, plain = await self.trial.call(first, self.plan['writes_route'], organisation, sql)
            assert status == 200, plain  # noqa: S101
        await settle(2)

    def _organisations(self) -> dict[str, Any]:
        found: dict[str, Any] = self.trial.fleet.plain['organisations']
        return found

    def _job(self, path: pathlib.Path) -> Job:
        rows = self._organisations()
        fields = ('reads_route', 'writes_route', 'sessions', 'per_s', 'write_share', 'aged_read_share')
        return Job(
            addresses=[instance.callers for instance in self.trial.instances],
            keys={name: key_of(name) for name in rows},
            weights={name: row['rate_per_s'] for name, row in rows.items() if name != self.plan['flooder']},
            **{name: self.plan[name] for name in fields},
            idempotent_share=self.plan['idempotent_share'],
            flooder=self.plan['flooder'],
            flood_per_s=self.plan['flood_per_s'],
            seconds=self.seconds,
            seed=self.settings['seed'],
            is_primary_only=self.baseline == 'primary reads',
            out=str(path),
        )

    async def _inject(self, fault: str) -> None:
        actions = {
            'cut primary': self._cut_primary,
            'lag replica': self._lag_replica,
            'kill instance': self._kill_instance,
            'store away': lambda: self._set_platform_faults(is_down=True),
            'store slow': lambda: self._set_platform_faults(delay_s=0.5),
            'limit changed': lambda: self._apply_text(lambda rows: rows[self.plan['flooder']].update(rate_per_s=20.0)),
            'key withdrawn': lambda: self._apply_text(lambda rows: rows[list(rows)[-2]].update(keys={})),
            'cut data centre': lambda: self._set_platform_faults(cut_data_centres=(next(iter(self._data_centres())),)),
            'silent connections': lambda: self._set_member_faults(self._primary()[0], silence_open=True),
            'planned stop': self._planned_stop,
            'mend': self._clear_faults,
        }
        await actions[fault]()

    def _primary(self) -> tuple[str, list[str]]:
        """:returns: The primary of the first group, and its other members."""
        group = next(iter(self.trial.fleet.groups_by_id.values()))
        primary = max(
            (name for name, member in group.members_by_name.items() if member.database.is_primary),
            key=lambda name: group.members_by_name[name].database.term,
        )
        return primary, [name for name in group.members_by_name if name != primary]

    def _data_centres(self) -> dict[str, Any]:
        found: dict[str, Any] = self.trial.fleet.plain['data_centres']
        return found

    async def _cut_primary(self) -> None:
        primary = self._primary()[0]
        data_centre = self._data_centre_of(primary)
        cut = tuple(name for name in self._data_centres() if name != data_centre)
        await self._set_member_faults(primary, is_isolated=True, cut_data_centres=cut)

    async def _lag_replica(self) -> None:
        await self._set_member_faults(self._primary()[1][0], lag_s=1.5)

    async def _set_platform_faults(self, **switches: Any) -> None:
        self.trial.fleet.set_platform_faults(**switches)

    async def _kill_instance(self) -> None:
        instance = self.trial.instances[3]
        await instance.stop(signal.SIGKILL)
        self._unlist_later(instance.name)

    async def _planned_stop(self) -> None:
        instance = self.trial.instances[5]
        instance.send(signal.SIGTERM)
        self._unlist_later(instance.name)

    def _unlist_later(self, name: str) -> None:
        """Remove an ended instance from the platform's list after the delay that the list has in reality."""
        listed = self.trial.fleet.platform.instances_by_id
        asyncio.get_running_loop().call_later(_LIST_LAG_S, lambda: listed.pop(name, None))

    def _data_centre_of(self, target: str) -> str:
        text, _ = textcheck.load(self.trial.fleet.text())
        assert text is not None  # noqa: S101
        return {str(name): row.data_centre for name, row in text.targets_by_id.items()}[target]

    async def _set_member_faults(self, member: str, **switches: Any) -> None:
        await self.trial.fleet.set_member_faults(member, service_time_s=self.settings['service_time_s'], **switches)

    async def _apply_text(self, edit: Any) -> None:
        fleet = self.trial.fleet
        plain = copy.deepcopy(fleet.plain)
        edit(plain['organisations'])
        applied = await self.trial.operations.apply(msgspec.json.encode(plain), 'lab', None)
        fleet.plain = plain
        self.notes.append(
            f'text {applied.number} in force after {await self._time_until_in_force_s(applied.number):.2f} s'
        )

    async def _time_until_in_force_s(self, number: int) -> float:
        try:
            return await self.trial.operations.wait(number, 3.0)
        except Exception:  # noqa: BLE001
            return float('nan')

    async def _clear_faults(self) -> None:
        self.trial.fleet.set_platform_faults()
        for group in self.trial.fleet.groups_by_id.values():
            for name in group.members_by_name:
                await self._set_member_faults(name)

    def _figures(self, ops: list[Op]) -> dict[str, Any]:
        rows = self._organisations()
        limits = {name: Limit(row['rate_per_s'], row['burst']) for name, row in rows.items()}
        by_organisation = figures.organisations(ops, limits)
        steady = {name: row for name, row in by_organisation.items() if name != self.plan['flooder']}
        worst = min(steady, key=lambda name: steady[name]['share'])
        total = sum(row['sent'] for row in steady.values())
        reasons: dict[str, int] = {}
        for op in ops:
            if op.status != 200 and op.organisation != self.plan['flooder']:
                reasons[op.reason or 'connection failed'] = reasons.get(op.reason or 'connection failed', 0) + 1
        return {
            'has_faults': bool(self.faults),
            'requests': len(ops),
            'replica share of reads': figures.replica_share(ops),
            'worst-served organisation': f'{worst} {steady[worst]["share"]:.3f}',
            'wrongful refusals (share)': sum(row['wrongful'] for row in steady.values()) / max(total, 1),
            'latency of reads (ms)': figures.percentiles(op for op in ops if not op.is_write),
            'latency of writes (ms)': figures.percentiles(op for op in ops if op.is_write),
            'write gap by fault (s)': figures.write_gaps(
                (op for op in ops if op.organisation in self._affected_organisations()), self.faults
            ),
            'refusals by reason': reasons,
            'notes': '; '.join(self.notes),
            'violations': figures.find_violations(ops, self._stored_rows()),
            'organisations': by_organisation,
        }

    def _affected_organisations(self) -> set[str]:
        """:returns: Organisations of the first group, whose targets the faults affect."""
        group = next(iter(self.trial.fleet.groups_by_id))
        return {name for name, row in self._organisations().items() if group in row['groups'].values()}

    def _stored_rows(self) -> list[str]:
        rows = []
        for group in self.trial.fleet.groups_by_id.values():
            primaries = [member.database for member in group.members_by_name.values() if member.database.is_primary]
            database = max(primaries, key=lambda member: member.term)
            rows.extend(row[0] for row in database.connect().execute('select name from marks').fetchall())
        return rows


@click.command()
@click.option('--quick', is_flag=True, help='Skip the baselines; only the two runs with faults.')
def main(*, quick: bool) -> None:
    """Run both users' workloads, and write measure.json and measure.html."""
    settings: Any = jsonc.decode_text(_SETTINGS.read_bytes())[0]
    OUT.mkdir(exist_ok=True)
    results: dict[str, Any] = {}
    ops_by_run: dict[str, list[Op]] = {}
    for name, plan in settings['workloads'].items():
        baselines = ('',) if quick else ('', 'no faults', 'primary reads', 'static shares')
        for baseline in baselines:
            run = WorkloadRun(f'{name} {baseline}'.strip(), plan, settings, baseline)
            click.echo(f'{run.name}: {run.seconds:.0f} s', err=True)
            results[run.name], ops_by_run[run.name] = asyncio.run(run.run())
            _print_result(run.name, results[run.name])
    (OUT / 'measure.json').write_bytes(msgspec.json.format(msgspec.json.encode(results)))
    (OUT / 'measure.html').write_text(report.page(results, ops_by_run, settings['faults']))
    click.echo(f'written: {OUT / "measure.json"} and {OUT / "measure.html"}')


def _print_result(name: str, result: dict[str, Any]) -> None:
    click.echo(f'== {name}')
    for key, value in result.items():
        if key != 'organisations':
            click.echo(f'{key:28} {value}')
    for organisation, row in result['organisations'].items():
        click.echo(f'    {organisation:24} {" ".join(f"{key} {value:.4g}" for key, value in row.items())}')


if __name__ == '__main__':
    main()
