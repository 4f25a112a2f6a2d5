"""Hooks of behave: every scenario ends what it started."""

from typing import Any


def after_scenario(context: Any, scenario: Any) -> None:
    """End the processes of a scenario that ran real ones."""
    world = getattr(context, 'world', None)
    if world is not None:
        world.close()
        context.world = None
