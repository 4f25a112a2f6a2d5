"""The command line of ``fescuequayd``."""

import asyncio
import gc
import pathlib
import signal
import sys

import click

from fescuequay_entry import logs
from fescuequay_entry.config import Settings, SettingsError, load
from fescuequay_entry.daemon import Daemon

_EXIT_BAD_SETTINGS = 2


@click.command()
@click.option(
    '--settings', 'path', required=True, type=click.Path(path_type=pathlib.Path), help='Settings, JSON with comments.'
)
@click.option('--check', is_flag=True, help='Check the settings and exit: 0 when they are usable, else 2.')
@click.version_option(package_name='fescuequay-entry')
def main(path: pathlib.Path, *, check: bool) -> None:
    """Run one entry instance until SIGTERM or SIGINT, then stop without cutting a request."""
    try:
        settings = load(path)
    except SettingsError as error:
        click.echo(str(error), err=True)
        sys.exit(_EXIT_BAD_SETTINGS)
    if check:
        click.echo(f'{path}: usable')
        return
    logs.configure(settings.log_level)
    asyncio.run(_run(settings))


async def _run(settings: Settings) -> None:
    daemon = Daemon(settings)
    await daemon.start()
    # Objects created during start-up live until the process ends; exclude them from garbage collection.
    gc.collect()
    gc.freeze()
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    await stop_requested.wait()
    await daemon.stop()
