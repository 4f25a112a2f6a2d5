"""Hooks of behave, which stop the processes that a scenario started."""

import logging
from typing import Any


def before_all(context: Any) -> None:
    """Suppress log lines of instances in the report."""
    for name in ('fescuequay', 'aiohttp.access'):
        logging.getLogger(name).setLevel(logging.CRITICAL)


def after_scenario(context: Any, scenario: Any) -> None:
    """Stop the processes of a scenario that ran real ones."""
    world = getattr(context, 'world', None)
    if world is not None:
        world.close()
        context.world = None
