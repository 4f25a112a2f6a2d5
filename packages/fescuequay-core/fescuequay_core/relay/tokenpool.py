"""Token buckets of one instance for those that leave their even parts to it: the coordinator, or a stand-in.

An instance leaves its part to one other at a time, so the pools of several never hold the same part.
"""

import collections
import dataclasses
from collections.abc import Mapping
from typing import Final

from fescuequay_core.relay.model import OrganisationPolicy
from fescuequay_core.relay.intervals import contact_timeout_s
from fescuequay_core.types import InstanceId, Instant, OrganisationId

#: Time by which the coordinator stops counting on an instance before the instance itself does, in seconds:
#: the longest that a request may have been on its way.
_MARGIN_S: Final = 0.35

#: Time after which an instance that is silent has no tokens of its stock left, in seconds: those may be used for 2 s.
_STOCK_GONE_S: Final = 2.5

#: Share of the tolerance that stocks may take up; the rest is left to requests that arrive late and to new buckets.
_TOLERANCE_SHARE: Final = 0.75

#: Share of the tolerance that a new bucket holds, when all leave their parts to it: what was granted out before is not
#: known, and stocks take up the rest of the tolerance.
_START_SHARE: Final = 1 - _TOLERANCE_SHARE

#: Share of the burst that is granted to no stock, so that operations that wait find tokens.
_RESERVED_SHARE: Final = 0.5

#: Tokens that a bucket can hold however many are in stocks, so that operations without a stock find some.
_MIN_LEVEL: Final = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Tolerance:
    """By how much a limit may be passed in any window; as the platform states it.

    :param window_s: Length of the window, in seconds.
    :param overage: Share of what the limit allows in a window.
    :param slack: Operations beyond that.
    """

    window_s: float = 5.0
    overage: float = 0.0
    slack: float = 0.0

    def stock_allowance(self, policy: OrganisationPolicy) -> float:
        """:returns: Tokens that may lie in stocks beside a full bucket."""
        allowed = policy.rate_per_s * self.window_s + policy.burst
        return _TOLERANCE_SHARE * (self.overage * allowed + self.slack)

    def start_allowance(self, policy: OrganisationPolicy) -> float:
        """:returns: Tokens that a new bucket may hold, whatever was granted out before."""
        return self.stock_allowance(policy) * _START_SHARE / _TOLERANCE_SHARE


@dataclasses.dataclass(frozen=True, slots=True)
class TokenRequest:
    """What an instance asks for and what it has.

    :param wanted: Tokens that it asks for, by organisation.
    :param waiting: How many of them operations wait for; the others are for its stock.
    :param held: Tokens in its stock.
    """

    wanted: Mapping[OrganisationId, int]
    waiting: Mapping[OrganisationId, int] = dataclasses.field(default_factory=dict)
    held: Mapping[OrganisationId, int] = dataclasses.field(default_factory=dict)


class _Stocks:
    """Tokens that instances hold for operations to come, which may all be used in one moment."""

    def __init__(self) -> None:
        self._held_by_instance: dict[InstanceId, tuple[Instant, dict[OrganisationId, int]]] = {}
        self._sum_by_organisation: collections.Counter[OrganisationId] = collections.Counter()
        self._swept_at: Instant = float('-inf')

    def replace(self, instance: InstanceId, held: Mapping[OrganisationId, int], now: Instant) -> None:
        """Take in what an instance holds, and forget those that are silent."""
        if now - self._swept_at > _STOCK_GONE_S / 2:
            self._swept_at = now
            for other, (noted_at, _) in tuple(self._held_by_instance.items()):
                if now - noted_at > _STOCK_GONE_S:
                    self._forget(other)
        self._forget(instance)
        self._held_by_instance[instance] = (now, dict(held))
        self._sum_by_organisation.update(held)

    def add(self, instance: InstanceId, organisation: OrganisationId, tokens: int) -> None:
        """Count tokens that an instance is granted for its stock."""
        held = self._held_by_instance[instance][1]
        held[organisation] = held.get(organisation, 0) + tokens
        self._sum_by_organisation[organisation] += tokens

    def total(self, organisation: OrganisationId) -> int:
        """:returns: Tokens of an organisation in all stocks."""
        return self._sum_by_organisation[organisation]

    def _forget(self, instance: InstanceId) -> None:
        _, held = self._held_by_instance.pop(instance, (0.0, {}))
        self._sum_by_organisation.subtract(held)


@dataclasses.dataclass(slots=True)
class _Bucket:
    level: float
    at: Instant
    started_share: float = 0.0


class TokenPool:
    """Gives tokens out of each organisation's bucket.

    Instances out of touch live on their even part of the rate, so the bucket fills and holds only the
    parts of those that were heard from lately. Tokens in stocks beyond the tolerance count as part of the burst,
    because all of them may be used in one window with it.

    :param began_at: When this instance started; every bucket begins with a part of the tolerance.
    :param tolerance: By how much a limit may be passed.
    """

    def __init__(self, began_at: Instant, tolerance: Tolerance) -> None:
        self.began_at = began_at
        self._tolerance = tolerance
        self._stocks = _Stocks()
        self._buckets_by_organisation: dict[OrganisationId, _Bucket] = {}
        self._contact_at_by_instance: dict[InstanceId, Instant] = {}
        self._released_number_by_incarnation: dict[tuple[InstanceId, str], int] = {}

    def record_contact(self, instance: InstanceId, now: Instant) -> None:
        """Record that an instance asked, so that it leaves its even part alone for a while."""
        self._contact_at_by_instance[instance] = now

    def accept_request(self, instance: InstanceId, incarnation: str, number: int, now: Instant) -> bool:
        """Record a request, unless the instance has taken its part back since it sent it.

        :param instance: Who asked.
        :param incarnation: Its incarnation.
        :param number: Number of the request; it grows.
        :param now: Present time.
        :returns: Whether it may be granted tokens.
        """
        if number <= self._released_number_by_incarnation.get((instance, incarnation), -1):
            return False
        self.record_contact(instance, now)
        return True

    def release(self, instance: InstanceId, incarnation: str, number: int) -> None:
        """Count an instance's part no more, from now on.

        :param instance: Who takes its part back.
        :param incarnation: Its incarnation; earlier ones are forgotten.
        :param number: Number of the request; earlier ones that arrive late count no more.
        """
        for known in tuple(self._released_number_by_incarnation):
            if known[0] == instance:
                self._released_number_by_incarnation.pop(known)
        self._released_number_by_incarnation[instance, incarnation] = number
        self._contact_at_by_instance.pop(instance, None)

    def share(self, members: int, now: Instant) -> float:
        """:returns: Part of each limit that this coordinator may give out."""
        oldest = now - (contact_timeout_s(members) - _MARGIN_S)
        in_touch = sum(heard_at > oldest for heard_at in self._contact_at_by_instance.values())
        return min(in_touch / max(members, 1), 1.0)

    def grant(
        self,
        instance: InstanceId,
        request: TokenRequest,
        policies_by_id: Mapping[str, OrganisationPolicy],
        members: int,
        now: Instant,
    ) -> dict[OrganisationId, tuple[int, float]]:
        """Give tokens to an instance.

        :param instance: Who asks.
        :param request: What it asks for and what it has.
        :param policies_by_id: Limits in force.
        :param members: Instances that share the limits.
        :param now: Present time.
        :returns: Tokens, and the time until the next one where there were too few.
        """
        share = self.share(members, now)
        granted: dict[OrganisationId, tuple[int, float]] = {}
        self._stocks.replace(instance, request.held, now)
        for organisation, count in request.wanted.items():
            policy = policies_by_id.get(organisation)
            if policy is None:
                continue
            bucket = self._refill(organisation, policy, share, now)
            used = min(request.waiting.get(organisation, 0), count, int(bucket.level))
            bucket.level -= used
            kept = min(count - used, self._stockable(organisation, policy, share, bucket.level))
            bucket.level -= kept
            self._stocks.add(instance, organisation, kept)
            exhausted_s = _exhausted_s(bucket, policy) if used + kept < count else 0.0
            granted[organisation] = (used + kept, exhausted_s)
        return granted

    def _stockable(self, organisation: OrganisationId, policy: OrganisationPolicy, share: float, level: float) -> int:
        """:returns: Tokens that may go into a stock: from the upper part of the burst, while stocks have room."""
        room = int((self._tolerance.stock_allowance(policy) + policy.burst) * share) - self._stocks.total(organisation)
        return max(min(int(level - _RESERVED_SHARE * policy.burst * share), room), 0)

    def _refill(self, organisation: OrganisationId, policy: OrganisationPolicy, share: float, now: Instant) -> _Bucket:
        bucket = self._buckets_by_organisation.get(organisation)
        if bucket is None:
            bucket = _Bucket(0.0, self.began_at)
            self._buckets_by_organisation[organisation] = bucket
        filled = bucket.level + policy.rate_per_s * share * max(now - bucket.at, 0)
        if share > bucket.started_share:
            # Parts that come later bring theirs, so that several new pools give no more than one.
            filled += self._tolerance.start_allowance(policy) * (share - bucket.started_share)
            bucket.started_share = share
        beyond = max(self._stocks.total(organisation) - self._tolerance.stock_allowance(policy) * share, 0)
        bucket.level = min(filled, max(policy.burst * share - beyond, min(policy.burst * share, _MIN_LEVEL), 1.0))
        bucket.at = max(now, bucket.at)
        return bucket


def _exhausted_s(bucket: _Bucket, policy: OrganisationPolicy) -> float:
    """:returns: Time until the next token of an empty bucket, 1 s at the most; 0 for one that has some."""
    if bucket.level >= 1:
        return 0.0
    if policy.rate_per_s <= 0:
        return 1.0
    # At the whole rate, because other instances may leave their parts here in the next moment.
    return round(min((1 - bucket.level) / policy.rate_per_s, 1.0), 3)
