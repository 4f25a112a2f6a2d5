"""Token buckets of one instance for those that leave their even parts to it: the coordinator, or a stand-in.

An instance leaves its part to one other at a time, so the pools of several never hold the same part.
"""

import dataclasses
from collections.abc import Mapping
from typing import Final

from fescuequay_core.relay.model import OrganisationPolicy
from fescuequay_core.relay.pace import contact_s
from fescuequay_core.types import InstanceId, Instant, OrganisationId

#: Time by which the coordinator stops counting on an instance before the instance itself does, in seconds:
#: the longest that a request may have been on its way.
_MARGIN_S: Final = 0.35


@dataclasses.dataclass(slots=True)
class _Bucket:
    level: float
    at: Instant


class TokenPool:
    """Gives tokens out of each organisation's bucket.

    Instances out of touch live on their even part of the rate, so the bucket fills and holds only the
    parts of those that were heard from lately.

    :param began_at: When this instance started; every bucket begins empty.
    """

    def __init__(self, began_at: Instant) -> None:
        self.began_at = began_at
        self._buckets_by_organisation: dict[OrganisationId, _Bucket] = {}
        self._heard_at: dict[InstanceId, Instant] = {}
        self._released: dict[tuple[InstanceId, str], int] = {}

    def note_heard(self, instance: InstanceId, now: Instant) -> None:
        """Record that an instance asked, so that it leaves its even part alone for a while."""
        self._heard_at[instance] = now

    def note_asked(self, instance: InstanceId, incarnation: str, number: int, now: Instant) -> bool:
        """Record a request, unless the instance has taken its part back since it sent it.

        :param instance: Who asked.
        :param incarnation: Its incarnation.
        :param number: Number of the request; it grows.
        :param now: Present time.
        :returns: Whether it may be given tokens.
        """
        if number <= self._released.get((instance, incarnation), -1):
            return False
        self.note_heard(instance, now)
        return True

    def release(self, instance: InstanceId, incarnation: str, number: int) -> None:
        """Count an instance's part no more, from now on.

        :param instance: Who takes its part back.
        :param incarnation: Its incarnation; earlier ones are forgotten.
        :param number: Number of the request; earlier ones that arrive late count no more.
        """
        for known in tuple(self._released):
            if known[0] == instance:
                self._released.pop(known)
        self._released[instance, incarnation] = number
        self._heard_at.pop(instance, None)

    def share(self, members: int, now: Instant) -> float:
        """:returns: Part of each limit that this coordinator may give out."""
        oldest = now - (contact_s(members) - _MARGIN_S)
        in_touch = sum(heard_at > oldest for heard_at in self._heard_at.values())
        return min(in_touch / max(members, 1), 1.0)

    def give(
        self,
        wanted: Mapping[OrganisationId, int],
        policies_by_id: Mapping[str, OrganisationPolicy],
        members: int,
        now: Instant,
    ) -> dict[OrganisationId, tuple[int, float]]:
        """Give tokens to an instance.

        :param wanted: Tokens that it asks for.
        :param policies_by_id: Limits in force.
        :param members: Instances that share the limits.
        :param now: Present time.
        :returns: Tokens, and the time until the next one where there were too few.
        """
        share = self.share(members, now)
        given: dict[OrganisationId, tuple[int, float]] = {}
        for organisation, count in wanted.items():
            policy = policies_by_id.get(organisation)
            if policy is None:
                continue
            bucket = self._settle(organisation, policy, share, now)
            tokens = max(min(count, int(bucket.level)), 0)
            bucket.level -= tokens
            dry_s = 0.0
            if tokens < count:
                # At the whole rate, because other instances may leave their parts here in the next moment.
                dry_s = (1 - bucket.level) / policy.rate_per_s if policy.rate_per_s > 0 else 1.0
            given[organisation] = (tokens, round(min(dry_s, 1.0), 3))
        return given

    def _settle(self, organisation: OrganisationId, policy: OrganisationPolicy, share: float, now: Instant) -> _Bucket:
        bucket = self._buckets_by_organisation.get(organisation)
        if bucket is None:
            bucket = _Bucket(0.0, self.began_at)
            self._buckets_by_organisation[organisation] = bucket
        filled = bucket.level + policy.rate_per_s * share * max(now - bucket.at, 0)
        bucket.level = min(filled, max(policy.burst * share, 1.0))
        bucket.at = max(now, bucket.at)
        return bucket
