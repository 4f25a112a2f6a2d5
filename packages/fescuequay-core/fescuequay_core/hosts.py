"""Rank of the hosts of a group, by which they take turns to act for it."""

import functools
import hashlib

from fescuequay_core.blackboard import Blackboard
from fescuequay_core.types import GroupId, InstanceId, TargetId

#: Highest rank; all later hosts share it.
MAX_RANK = 8

#: Rank keys that are cached.
_RANK_CACHE_SIZE = 4096

#: Number of hosts, lowest ranks first, that probe a group at the short interval even without requests for it.
FAST_PROBING_HOSTS = 3


def host_rank(board: Blackboard, group: GroupId, target: TargetId) -> int:
    """Compute the rank of this instance among the hosts of a group that answer.

    :param board: The blackboard.
    :param group: The group.
    :param target: Target that they act for; each target gives a different order.
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
    """Hash target and instance, so that different hosts act first for different failed targets."""
    return hashlib.blake2b(f'{target}|{instance}'.encode(), digest_size=8).digest()
