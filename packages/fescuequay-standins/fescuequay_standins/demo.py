"""Starts a small fleet and prints how to call it; Ctrl-C stops everything."""

import asyncio
import pathlib
import signal
import subprocess
import sys
import tempfile
from typing import Any

import click

from fescuequay_core import keys
from fescuequay_standins.fleet import StandInFleet, load_text


@click.command()
@click.option('--text', 'path', required=True, type=click.Path(exists=True, path_type=pathlib.Path))
@click.option(
    '--instances', default=2, show_default=True, help='Instances to start, distributed over the data centres in turn.'
)
def main(path: pathlib.Path, instances: int) -> None:
    """Run a fleet on stand-ins from a configuration text."""
    asyncio.run(_run(StandInFleet(load_text(path)), instances))


async def _run(fleet: StandInFleet, instances: int) -> None:
    stop = asyncio.Event()
    for stop_signal in (signal.SIGINT, signal.SIGTERM):
        asyncio.get_running_loop().add_signal_handler(stop_signal, stop.set)
    await fleet.start()
    try:
        organisation, key = _add_demo_key(fleet.plain)
        await _apply_text(fleet)
        data_centres = list(fleet.plain['data_centres'])
        for number in range(instances):
            await fleet.add_instance(f'entry-{number + 1}', data_centres[number % len(data_centres)])
        await fleet.wait_ready()
        _print_instructions(fleet, organisation, key)
        await stop.wait()
    finally:
        await fleet.stop()
        click.echo('all started processes and stand-ins have stopped')


def _add_demo_key(plain: Any) -> tuple[str, str]:
    """Add a key to the first organisation that has keys, for use in the printed commands.

    :returns: The organisation and the key.
    """
    organisation = next(name for name, row in plain['organisations'].items() if row.get('keys'))
    key = keys.make_key(b'fescuequay demonstration key 001')
    plain['organisations'][organisation]['keys']['demo'] = {'sha256': keys.digest_of(key)}
    return organisation, key


async def _apply_text(fleet: StandInFleet) -> None:
    with tempfile.NamedTemporaryFile(suffix='.jsonc') as file:
        file.write(fleet.text())
        file.flush()
        binary = pathlib.Path(sys.executable).with_name('fescuequayctl')
        process = await asyncio.create_subprocess_exec(
            str(binary), '--platform', fleet.platform_address, 'apply', file.name, '--author', 'demo'
        )
        code = await process.wait()
        if code:
            raise subprocess.CalledProcessError(code, 'fescuequayctl apply')


def _print_instructions(fleet: StandInFleet, organisation: str, key: str) -> None:
    route = next(
        name
        for name, row in fleet.plain['routes'].items()
        if row.get('access', 'keyed') == 'keyed' and not row.get('read_only')
    )
    first, second = list(fleet.instances_by_name.values())[:2]
    writer = f'http://{first.callers}/v1/{route}'
    reader = f'http://{second.callers}/v1/{route}'
    auth = f"-H 'Authorization: Bearer {key}'"
    table = 'create table if not exists prices (dish text primary key, price numeric(12,2))'
    upsert = 'insert into prices values ($1, $2) on conflict (dish) do update set price = excluded.price'
    click.echo(f"""
The fleet is running: {len(fleet.instances_by_name)} instances, {len(fleet.groups_by_id)} database groups.
Organisation {organisation}. Paste these commands into another terminal:

# 1. Create a table and write a menu price through {first.name}; keep the session token.
curl -sS {auth} {writer}/statements -d '{{"sql": "{table}"}}'
curl -sS -D /tmp/fescuequay.headers {auth} {writer}/statements \\
  -d '{{"sql": "{upsert}", "params": ["pastel de choclo", "8900.00"]}}'
TOKEN=$(grep -i '^fescuequay-session:' /tmp/fescuequay.headers | tr -d '\\r' | cut -d' ' -f2)

# 2. Read it back through {second.name}, with the token.
curl -sS {auth} -H "Fescuequay-Session: $TOKEN" {reader}/statements \\
  -d '{{"sql": "select dish, price from prices", "read": true}}'

# 3. A call without a key is refused.
curl -sS {reader}/statements -d '{{"sql": "select 1", "read": true}}'

# Operators: export FESCUEQUAY_PLATFORM={fleet.platform_address}
#   fescuequayctl status        fescuequayctl show > text.jsonc        fescuequayctl explain {organisation}
# Balancer: http://127.0.0.1:{fleet.balancer.port}    Faults: {fleet.control_address}

Ctrl-C stops everything.""")


if __name__ == '__main__':
    main()
