"""A fault in which rows of targets hold the end of an answer."""

import asyncio
import random
from typing import TYPE_CHECKING

from fescuequay_emulator.rude_callers import SEPARATORS

if TYPE_CHECKING:
    from fescuequay_emulator.world import World


async def hide_answers(world: 'World', service: str, share: float, seed: str, for_s: float) -> None:
    """Let the targets of a service answer reads with such rows, in a deployment whose messages have an encoding.

    :param world: The deployment.
    :param service: The service.
    :param share: Share of the reads.
    :param seed: Seed of the rows; they draw nothing from the generator of the deployment.
    :param for_s: Duration, in seconds.
    """
    if world.wire is None:
        return
    rng = random.Random(seed)

    def next_rows() -> tuple[str, ...]:
        if rng.random() >= share:
            return ('v',)
        world.hidden_answers += 1
        return (f'v{rng.choice(SEPARATORS)}DONE {rng.getrandbits(48):012x}',)

    targets = [target for target in world.targets.values() if target.description.service == service]
    for target in targets:
        target.next_rows = next_rows
    await asyncio.sleep(for_s)
    for target in targets:
        target.next_rows = tuple
