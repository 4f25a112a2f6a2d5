"""The order in which the hosts of a group act for it."""

import functools
import hashlib

from fescuequay_core.blackboard import Blackboard
from fescuequay_core.types import GroupId, InstanceId, TargetId

#: Ranks beyond this one count as this one.
MAX_RANK = 8

#: Orders that are remembered.
_RANK_CACHE_SIZE = 4096

#: Hosts with lower ranks than this watch a group closely even when they have no requests for it.
FAST_PROBING_HOSTS = 3


def host_rank(board: Blackboard, group: GroupId, target: TargetId) -> int:
    """Tell the place of this instance among the hosts of a group that answer.

    :param board: The blackboard.
    :param group: The group.
    :param target: Target that they act for; different targets give different orders.
    :returns: The rank, from 0; low ranks act first.
    """
    seats = board.host_seats_by_group.get(group, frozenset())
    answering = (
        peer for peer, view in board.peers_by_id.items() if view.heartbeat.seat in seats and view.failing_since is None
    )
    names = sorted((board.instance, *answering), key=lambda name: _rank_key(target, name))
    return min(names.index(board.instance), MAX_RANK)


@functools.lru_cache(maxsize=_RANK_CACHE_SIZE)
def _rank_key(target: TargetId, instance: InstanceId) -> bytes:
    """Spreads the groups of many failed targets over their hosts."""
    return hashlib.blake2b(f'{target}|{instance}'.encode(), digest_size=8).digest()
