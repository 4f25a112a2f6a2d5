"""Measures the cost of one instance: CPU time per statement, idle load, memory, start-up time, latency."""

import asyncio
import json
import pathlib
import sys
import time
from typing import Any

import aiohttp
import msgspec

from fescuequay_core.requests import Statement
from fescuequay_entry.driver import Endpoint
from fescuequay_entry.postgres import PostgresDriver
from fescuequay_standins.fleet import Instance
from lab.harness import OUT, Trial, cpu_s, example, key_of, resident_mb, settle

_LOAD_S = 6.0
_ORGANISATION = 'imprenta-central'
_READ = {'sql': 'select dish, price from prices where dish = $1', 'params': ['completo'], 'read': True}
_WRITE = {'sql': 'update prices set price = $1 where dish = $2', 'params': ['8900.00', 'completo']}


async def _run_load(instance: Instance, route: str, body: Any, workers: int) -> tuple[int, float, float]:
    """:returns: Number of statements, CPU time of the instance per statement and median latency, both in ms."""
    job = {
        'url': f'http://{instance.callers}/v1/{route}/statements',
        'headers': {'Authorization': f'Bearer {key_of(_ORGANISATION)}'},
        'body': body,
        'workers': workers,
        'seconds': _LOAD_S,
    }
    path = pathlib.Path(__file__).with_name('loader.py')
    before = cpu_s(instance.process.pid)
    process = await asyncio.create_subprocess_exec(
        sys.executable, str(path), json.dumps(job), stdout=asyncio.subprocess.PIPE
    )
    printed, _ = await process.communicate()
    result = json.loads(printed)
    used_ms = (cpu_s(instance.process.pid) - before) * 1000
    return result['count'], used_ms / max(result['count'], 1), result['median_ms']


async def _direct_read_median_ms(trial: Trial) -> float:
    """:returns: Median latency in ms of the same read sent directly to the target by the client library."""
    group = trial.fleet.groups_by_id['cartas-norte']
    address = f'127.0.0.1:{group.members_by_name["cartas-norte-1"].port}'
    connection = await PostgresDriver().connect(Endpoint(address, 'lab', 5.0, 1 << 20), 1.0)
    statement = Statement(str(_READ['sql']), ('completo',))
    times = []
    for _ in range(500):
        began_at = time.perf_counter()
        await connection.execute(statement)
        times.append(time.perf_counter() - began_at)
    connection.close()
    return sorted(times)[250] * 1000


async def _memory_per_callers_mb(instance: Instance, count: int) -> float:
    """:returns: Resident memory per 1000 open connections of callers, in MB."""
    before = resident_mb(instance.process.pid)
    host, _, port = instance.callers.rpartition(':')
    writers = [(await asyncio.open_connection(host, int(port)))[1] for _ in range(count)]
    for writer in writers:
        writer.write(b'GET /livez HTTP/1.1\r\nHost: x\r\n\r\n')
    await settle(2)
    grown = resident_mb(instance.process.pid) - before
    for writer in writers:
        writer.close()
    return grown * 1000 / count


async def measure() -> dict[str, float]:
    """:returns: Each figure by name."""
    figures: dict[str, float] = {}
    async with Trial(example('cordillera', rate=100_000), 8) as trial:
        first = trial.instances[0]
        began_at = time.monotonic()
        await trial.fleet.add_instance('entry-9', 'santiago-a')
        await trial.fleet.wait_ready()
        figures['one_more_start_to_ready_s'] = time.monotonic() - began_at
        await settle(3)
        figures['idle_memory_mb'] = resident_mb(first.process.pid)
        before, loads = cpu_s(first.process.pid), await _platform_load(trial)
        await settle(10)
        figures['idle_core_percent'] = (cpu_s(first.process.pid) - before) * 10
        after = await _platform_load(trial)
        figures['platform_reads_per_node_s'] = (after['reads'] - loads['reads']) / 10 / 9
        figures['platform_writes_per_node_s'] = (after['writes'] - loads['writes']) / 10 / 9
        await trial.call(
            first, 'pedidos', _ORGANISATION, {'sql': 'create table prices (dish text primary key, price numeric(12,2))'}
        )
        await trial.call(first, 'pedidos', _ORGANISATION, {'sql': "insert into prices values ('completo', '8000.00')"})
        for name, route, body, workers in (
            ('read', 'carta', _READ, 8),
            ('read_one', 'carta', _READ, 1),
            ('write', 'pedidos', _WRITE, 4),
        ):
            count, cost_ms, median_ms = await _run_load(first, route, body, workers)
            figures[f'{name}_per_s'] = count / _LOAD_S
            figures[f'{name}_cpu_ms'] = cost_ms
            figures[f'{name}_median_ms'] = median_ms
        figures['direct_read_median_ms'] = await _direct_read_median_ms(trial)
        figures['memory_per_1000_callers_mb'] = await _memory_per_callers_mb(first, 1000)
    return figures


async def _platform_load(trial: Trial) -> Any:
    async with aiohttp.ClientSession() as http:
        async with http.get(f'{trial.fleet.platform_address}/control/load') as answer:
            return await answer.json()


def main() -> None:
    """Print the figures and write them to cost.json for the capacity page."""
    figures = asyncio.run(measure())
    OUT.mkdir(exist_ok=True)
    (OUT / 'cost.json').write_bytes(msgspec.json.format(msgspec.json.encode(figures)))
    for name, figure in figures.items():
        print(f'{name:32} {figure:10.3f}')


if __name__ == '__main__':
    main()
