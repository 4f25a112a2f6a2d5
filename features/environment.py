"""Hooks of behave: every scenario ends what it started."""

import logging
from typing import Any


def before_all(context: Any) -> None:
    """Keep the instances' log lines out of the report."""
    for name in ('fescuequay', 'aiohttp.access'):
        logging.getLogger(name).setLevel(logging.CRITICAL)


def after_scenario(context: Any, scenario: Any) -> None:
    """End the processes of a scenario that ran real ones."""
    world = getattr(context, 'world', None)
    if world is not None:
        world.close()
        context.world = None
