"""Whether this instance still reaches most of the others, judged by how many of its probes they answer.

It answers a network partition that leaves some instances in contact with each other and without the coordinator and the
table. Their callers are better served by the others, whereas an outage of the table for all is no reason to move them.
"""

import collections
import hashlib
from collections.abc import Iterable
from typing import Final

from fescuequay_core.relay.model import MemberRecord
from fescuequay_core.types import InstanceId, Instant

#: Number of latest probes that count. Where a third of the instances is reachable, so many hardly ever show a majority.
_MAX_PROBES: Final = 24

#: Number of probes from which a sample counts; in a smaller one, a minority of the instances may give most answers.
_MIN_PROBES: Final = 12

#: Time for which a probe counts, in seconds: ten times its timeout.
_PROBE_AGE_S: Final = 4.0

#: Share of answered probes above which most instances count as reachable: more than half, by a margin for chance.
_MAJORITY: Final = 0.6


class Reach:
    """Results of the latest probes of other instances."""

    def __init__(self) -> None:
        self._probes: collections.deque[tuple[Instant, bool]] = collections.deque(maxlen=_MAX_PROBES)

    def record(self, now: Instant, *, is_answered: bool) -> None:
        """Record the result of a probe."""
        self._probes.append((now, is_answered))

    def has_majority(self, now: Instant) -> bool:
        """:returns: Whether most of the recent probes were answered."""
        recent = [is_answered for at, is_answered in self._probes if now - at <= _PROBE_AGE_S]
        return len(recent) >= _MIN_PROBES and sum(recent) > _MAJORITY * len(recent)


class ProbeRotation:
    """Chooses which instances to probe: all in turn, in an order that differs between instances.

    A random choice meets the same few again and again by chance, so that the share of answers says little.

    :param own: This instance.
    """

    def __init__(self, own: InstanceId) -> None:
        self._own = own
        self._last = ''

    def choose(self, members: Iterable[MemberRecord], count: int) -> list[MemberRecord]:
        """Choose the next instances in the order.

        :param members: The instances that may be probed.
        :param count: How many to choose at most.
        :returns: Those that follow the ones chosen before, each at most once.
        """
        ordered = sorted(members, key=self._place_of)
        following = [member for member in ordered if self._place_of(member) > self._last]
        waiting = [member for member in ordered if self._place_of(member) <= self._last]
        chosen = [*following, *waiting][:count]
        if chosen:
            self._last = self._place_of(chosen[-1])
        return chosen

    def _place_of(self, member: MemberRecord) -> str:
        return hashlib.blake2b(f'{self._own} {member.instance}'.encode()).hexdigest()
