"""Finds the coordinator of a model deployment."""

from fescuequay_emulator.world import World


def coordinator_of(world: World) -> str | None:
    """:returns: The instance that holds the coordinator lease now."""
    now = world.loop.time()
    return next((name for name, one in world.instances.items() if one.board.lease.holds(now)), None)
