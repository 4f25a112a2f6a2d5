"""Hooks of behave, which stop the processes that a scenario started, and keep their logs if it failed."""

import logging
import pathlib
import tempfile
from typing import Any


def before_all(context: Any) -> None:
    """Suppress log lines of instances in the report."""
    for name in ('fescuequay', 'aiohttp.access'):
        logging.getLogger(name).setLevel(logging.CRITICAL)


def after_scenario(context: Any, scenario: Any) -> None:
    """Stop the processes of a scenario that ran real ones."""
    world = getattr(context, 'world', None)
    if world is not None:
        if scenario.status.has_failed():
            scenario.log_folder = _keep_logs(world.logs())
        world.close()
        context.world = None
    soak = getattr(context, 'soak', None)
    if soak is not None:
        scenario.log_folder = soak.folder
        context.soak = None


def _keep_logs(logs_by_name: dict[str, str]) -> pathlib.Path:
    folder = pathlib.Path(tempfile.mkdtemp(prefix='fescuequay-failed-'))
    for name, text in logs_by_name.items():
        (folder / f'{name}.log').write_text(text)
    return folder
