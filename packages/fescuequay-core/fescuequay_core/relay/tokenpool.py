"""Token buckets from which the coordinator, or a fallback supplier, grants tokens to other instances.

An instance delegates its equal share to one supplier at a time, so no two pools hold the same share.
"""

import collections
import dataclasses
from collections.abc import Mapping
from typing import Final

from fescuequay_core.relay.intervals import contact_timeout_s
from fescuequay_core.relay.model import OrganisationPolicy
from fescuequay_core.types import InstanceId, Instant, OrganisationId

#: Time by which the pool stops counting an instance's share before the instance may use that share itself, in
#: seconds: the longest time that a request may have been in transit.
_MARGIN_S: Final = 0.35

#: Time after which the stock of a silent instance has expired, in seconds: its tokens may be used for 2 s.
_STOCK_GONE_S: Final = 2.5

#: Share of the tolerance that stocks may take up; the rest is left to requests that arrive late and to new buckets.
_TOLERANCE_SHARE: Final = 0.75

#: Share of the tolerance that a new bucket holds, when all instances delegate their shares to it: what was
#: granted before is not known, and stocks take up the rest of the tolerance.
_START_SHARE: Final = 1 - _TOLERANCE_SHARE

#: Share of the burst that is never granted to stocks, so that waiting operations find tokens.
_RESERVED_SHARE: Final = 0.5

#: Tokens that a bucket can hold however many are in stocks, so that operations without a stock find some.
_MIN_LEVEL: Final = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Tolerance:
    """By how much a limit may be exceeded in any window, as the platform defines it.

    :param window_s: Length of the window, in seconds.
    :param overage: Share of what the limit allows in a window.
    :param slack: Operations beyond that.
    """

    window_s: float = 5.0
    overage: float = 0.0
    slack: float = 0.0

    def stock_allowance(self, policy: OrganisationPolicy) -> float:
        """:returns: Tokens that may be in stocks in addition to a full bucket."""
        allowed = policy.rate_per_s * self.window_s + policy.burst
        return _TOLERANCE_SHARE * (self.overage * allowed + self.slack)

    def start_allowance(self, policy: OrganisationPolicy) -> float:
        """:returns: Tokens that a new bucket may hold, whatever was granted before."""
        return self.stock_allowance(policy) * _START_SHARE / _TOLERANCE_SHARE


@dataclasses.dataclass(frozen=True, slots=True)
class TokenRequest:
    """Tokens that an instance requests and holds.

    :param wanted: Tokens that it asks for, by organisation.
    :param waiting: How many of them waiting operations need; the others are for its stock.
    :param held: Tokens in its stock.
    """

    wanted: Mapping[OrganisationId, int]
    waiting: Mapping[OrganisationId, int] = dataclasses.field(default_factory=dict)
    held: Mapping[OrganisationId, int] = dataclasses.field(default_factory=dict)


class _Stocks:
    """Tokens that instances hold for later operations, all of which may be used at once."""

    def __init__(self) -> None:
        self._held_by_instance: dict[InstanceId, tuple[Instant, dict[OrganisationId, int]]] = {}
        self._sum_by_organisation: collections.Counter[OrganisationId] = collections.Counter()
        self._swept_at: Instant = float('-inf')

    def replace(self, instance: InstanceId, held: Mapping[OrganisationId, int], now: Instant) -> None:
        """Record what an instance holds, and drop instances that are silent."""
        if now - self._swept_at > _STOCK_GONE_S / 2:
            self._swept_at = now
            for other, (reported_at, _) in tuple(self._held_by_instance.items()):
                if now - reported_at > _STOCK_GONE_S:
                    self._remove(other)
        self._remove(instance)
        self._held_by_instance[instance] = (now, dict(held))
        self._sum_by_organisation.update(held)

    def add(self, instance: InstanceId, organisation: OrganisationId, tokens: int) -> None:
        """Count tokens granted to an instance for its stock."""
        held = self._held_by_instance[instance][1]
        held[organisation] = held.get(organisation, 0) + tokens
        self._sum_by_organisation[organisation] += tokens

    def total(self, organisation: OrganisationId) -> int:
        """:returns: Tokens of an organisation in all stocks."""
        return self._sum_by_organisation[organisation]

    def _remove(self, instance: InstanceId) -> None:
        _, held = self._held_by_instance.pop(instance, (0.0, {}))
        self._sum_by_organisation.subtract(held)


@dataclasses.dataclass(slots=True)
class _Bucket:
    level: float
    filled_at: Instant
    started_share: float = 0.0


class TokenPool:
    """Grants tokens from each organisation's bucket.

    Instances without contact use their own equal share of the rate, so the rate and the capacity of a bucket include
    only the shares of instances that were in contact recently. Tokens in stocks beyond the tolerance count as part of
    the burst, because all of them may be used in one window with it.

    :param began_at: When this instance started; every bucket begins with a part of the tolerance.
    :param tolerance: By how much a limit may be exceeded.
    """

    def __init__(self, began_at: Instant, tolerance: Tolerance) -> None:
        self.began_at = began_at
        self._tolerance = tolerance
        self._stocks = _Stocks()
        self._buckets_by_organisation: dict[OrganisationId, _Bucket] = {}
        self._contact_at_by_instance: dict[InstanceId, Instant] = {}
        self._released_number_by_incarnation: dict[tuple[InstanceId, str], int] = {}

    def record_contact(self, instance: InstanceId, now: Instant) -> None:
        """Record that an instance asked, so that it does not use its equal share for a while."""
        self._contact_at_by_instance[instance] = now

    def accept_request(self, instance: InstanceId, incarnation: str, number: int, now: Instant) -> bool:
        """Record a request, unless the instance has taken its share back since it sent it.

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
        """Stop counting an instance's share.

        :param instance: Instance that takes its share back.
        :param incarnation: Its incarnation; earlier ones are forgotten.
        :param number: Number of the request; earlier ones that arrive late are ignored.
        """
        for known in tuple(self._released_number_by_incarnation):
            if known[0] == instance:
                self._released_number_by_incarnation.pop(known)
        self._released_number_by_incarnation[instance, incarnation] = number
        self._contact_at_by_instance.pop(instance, None)

    def share(self, members: int, now: Instant) -> float:
        """:returns: Part of each limit that this pool may grant."""
        oldest = now - (contact_timeout_s(members) - _MARGIN_S)
        in_contact = sum(contact_at > oldest for contact_at in self._contact_at_by_instance.values())
        return min(in_contact / max(members, 1), 1.0)

    def grant(
        self,
        instance: InstanceId,
        request: TokenRequest,
        policies_by_id: Mapping[str, OrganisationPolicy],
        members: int,
        now: Instant,
    ) -> dict[OrganisationId, tuple[int, float]]:
        """Grant tokens to an instance.

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
            for_waiting = min(request.waiting.get(organisation, 0), count, int(bucket.level))
            bucket.level -= for_waiting
            for_stock = min(count - for_waiting, self._grantable_to_stock(organisation, policy, share, bucket.level))
            bucket.level -= for_stock
            self._stocks.add(instance, organisation, for_stock)
            next_token_s = _next_token_s(bucket, policy) if for_waiting + for_stock < count else 0.0
            granted[organisation] = (for_waiting + for_stock, next_token_s)
        return granted

    def _grantable_to_stock(
        self, organisation: OrganisationId, policy: OrganisationPolicy, share: float, level: float
    ) -> int:
        """:returns: Tokens that may go into a stock: from the upper part of the burst, up to the stocks' allowance."""
        allowance_left = int((self._tolerance.stock_allowance(policy) + policy.burst) * share) - self._stocks.total(
            organisation
        )
        return max(min(int(level - _RESERVED_SHARE * policy.burst * share), allowance_left), 0)

    def _refill(self, organisation: OrganisationId, policy: OrganisationPolicy, share: float, now: Instant) -> _Bucket:
        bucket = self._buckets_by_organisation.get(organisation)
        if bucket is None:
            bucket = _Bucket(0.0, self.began_at)
            self._buckets_by_organisation[organisation] = bucket
        filled = bucket.level + policy.rate_per_s * share * max(now - bucket.filled_at, 0)
        if share > bucket.started_share:
            # A share delegated later adds its part of the tolerance, so that several new pools grant no more than one.
            filled += self._tolerance.start_allowance(policy) * (share - bucket.started_share)
            bucket.started_share = share
        excess = max(self._stocks.total(organisation) - self._tolerance.stock_allowance(policy) * share, 0)
        bucket.level = min(filled, max(policy.burst * share - excess, min(policy.burst * share, _MIN_LEVEL), 1.0))
        bucket.filled_at = max(now, bucket.filled_at)
        return bucket


def _next_token_s(bucket: _Bucket, policy: OrganisationPolicy) -> float:
    """:returns: Time until the next token of an empty bucket, 1 s at the most; 0 for one that has some."""
    if bucket.level >= 1:
        return 0.0
    if policy.rate_per_s <= 0:
        return 1.0
    # At the whole rate, because other instances may delegate their shares to this pool at any time.
    return round(min((1 - bucket.level) / policy.rate_per_s, 1.0), 3)
