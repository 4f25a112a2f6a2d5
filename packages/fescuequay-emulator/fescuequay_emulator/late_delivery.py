"""Faults in which messages are held up by the network and delivered after their sender has given up."""

import asyncio
import enum
from typing import TYPE_CHECKING, Final

from fescuequay_emulator.network import CutMode
from fescuequay_emulator.peers import PROMOTER_NODE
from fescuequay_emulator.table import TABLE_NODE

if TYPE_CHECKING:
    from fescuequay_emulator.world import World

#: Longest wait for a replacement to request its promotion, in seconds.
_REPLACEMENT_S: Final = 6.0

#: Time after the begin of a cut at which its instance is killed or frozen, in seconds; the lease is still valid then.
_DISTURBED_AFTER_S: Final = 0.2

#: Interval at which the end of a cut is checked, in seconds.
_CHECK_INTERVAL_S: Final = 0.002


class HoldEnd(enum.Enum):
    """What ends a cut, or happens to the instance that is cut off meanwhile."""

    #: It ends after its time.
    TIME = ''
    #: It ends as soon as another request for a promotion has arrived.
    SUCCESSOR = 'successor'
    #: The process of the instance is killed.
    KILLED = 'killed'
    #: The process of the instance is frozen until the cut has ended.
    FROZEN = 'frozen'


async def hold_next_promotion(world: 'World', service: str, for_s: float, end: HoldEnd) -> None:
    """Crash a primary, and cut the coordinator off from table and promoter when it requests the promotion.

    :param world: The deployment.
    :param service: The service.
    :param for_s: Longest time of the cut, in seconds.
    :param end: What ends it.
    """
    disturbing = [asyncio.ensure_future(world.crash(world.primary_of(service), for_s + 1, is_silent=True))]
    try:
        holder = await asyncio.wait_for(world.next_promotion(), _REPLACEMENT_S)
    except TimeoutError:
        # Another fault keeps the primary from being replaced.
        await asyncio.gather(*disturbing)
        return
    far_nodes = (TABLE_NODE, PROMOTER_NODE)
    for far in far_nodes:
        world.network.cut(holder, far, CutMode.HOLDING)
    began_at = world.loop.time()
    requests = len(world.checker.promotion_requests)
    if end in {HoldEnd.KILLED, HoldEnd.FROZEN}:
        await asyncio.sleep(_DISTURBED_AFTER_S)
    if end is HoldEnd.KILLED:
        disturbing.append(asyncio.ensure_future(world.restart(holder, for_s)))
    elif end is HoldEnd.FROZEN:
        world.loop.freeze(holder, for_s)
    until = began_at + for_s
    while world.loop.time() < until:
        await asyncio.sleep(_CHECK_INTERVAL_S)
        if end is HoldEnd.SUCCESSOR and len(world.checker.promotion_requests) > requests:
            break
    for far in far_nodes:
        world.network.heal(holder, far)
    world.checker.cut_off.append((holder, began_at, world.loop.time()))
    world.checker.disturbed.append((holder, world.loop.time()))
    await asyncio.gather(*disturbing)
