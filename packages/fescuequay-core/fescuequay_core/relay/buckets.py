"""This instance's tokens for each organisation's rate: a small stock from the coordinator, or its equal share."""

import dataclasses
import enum
import math
from collections.abc import Mapping
from typing import Final

from fescuequay_core.relay.intervals import contact_timeout_s, exchange_interval_s
from fescuequay_core.relay.model import Configuration, OrganisationPolicy
from fescuequay_core.types import Instant, OrganisationId

#: Time for which granted tokens may be used, in seconds. It bounds what an instance without contact can use.
_STOCK_S: Final = 2.0

#: Time after an answer with too few tokens for which none are requested for the stock, in seconds: by then a burst is
#: full again.
_SHORTAGE_S: Final = 1.0

#: Weight of the latest interval in the smoothed demand.
_DEMAND_WEIGHT: Final = 0.4

#: Shortest interval over which demand is measured, in seconds.
_LEAST_INTERVAL_S: Final = 0.05

#: Demand from which more tokens than one are held in stock, in operations a second.
_LEAST_DEMAND_PER_S: Final = 0.5


class AcquireResult(enum.Enum):
    """Result of an operation's attempt to acquire a token."""

    ACQUIRED = 'taken'
    ASK_COORDINATOR = 'ask'
    EXHAUSTED = 'dry'
    SHARE_EXHAUSTED = 'alone'


@dataclasses.dataclass(slots=True)
class _Stock:
    tokens: float = 0.0
    expires_at: Instant = float('-inf')
    share_level: float = 0.0
    share_filled_at: Instant = float('-inf')
    exhausted_until: Instant = float('-inf')
    short_until: Instant = float('-inf')
    operations: int = 0
    waiting: int = 0
    sessions: int = 0
    demand_per_s: float = 0.0


class Buckets:
    """Every organisation's tokens at this instance, granted by the ``TokenPool`` of a supplier."""

    def __init__(self) -> None:
        self._stocks_by_organisation: dict[OrganisationId, _Stock] = {}
        self._policies_by_organisation: Mapping[str, OrganisationPolicy] = {}
        self._members: int | None = None
        self._contact_until: Instant = float('-inf')
        self._reviewed_at: Instant | None = None

    def configure(self, configuration: Configuration) -> None:
        """Apply the limits of a configuration."""
        self._policies_by_organisation = configuration.organisations_by_id
        for organisation in tuple(self._stocks_by_organisation):
            if organisation not in self._policies_by_organisation:
                self._stocks_by_organisation.pop(organisation)

    def set_member_count(self, members: int) -> None:
        """Set how many instances share a rate without a coordinator."""
        self._members = max(members, 1)

    def record_contact(self, until: Instant) -> None:
        """Record until when this instance has delegated its equal share to a supplier."""
        self._contact_until = max(self._contact_until, until)

    def acquire(
        self, organisation: OrganisationId, now: Instant, longest_wait_s: float, *, is_retry: bool = False
    ) -> tuple[AcquireResult, float]:
        """Acquire one token.

        :param organisation: The organisation; one without a limit needs none.
        :param now: Present time.
        :param longest_wait_s: Longest wait for a token of the equal share.
        :param is_retry: Whether the operation asked before.
        :returns: Acquired, and how long to wait before it is used; or that the coordinator may have one; or
            that the rate, or without a coordinator the equal share of it, is exhausted, and when to retry.
        """
        policy = self._policies_by_organisation.get(organisation)
        if policy is None:
            return AcquireResult.ACQUIRED, 0.0
        stock = self._stocks_by_organisation.setdefault(organisation, _Stock())
        stock.operations += 0 if is_retry else 1
        self._refill(stock, policy, now)
        if stock.tokens >= 1:
            stock.tokens -= 1
            return AcquireResult.ACQUIRED, 0.0
        if now >= self._contact_until:
            return self._acquire_from_share(stock, policy, longest_wait_s)
        if now < stock.exhausted_until:
            wait_s = self._expected_wait_s(stock, policy, now)
            if wait_s > longest_wait_s:
                return AcquireResult.EXHAUSTED, wait_s
        return AcquireResult.ASK_COORDINATOR, 0.0

    def release(self, organisation: OrganisationId, now: Instant) -> None:
        """Return the token of an operation that was never sent to a target."""
        stock = self._stocks_by_organisation.get(organisation)
        if stock is None:
            return
        if stock.expires_at > now:
            stock.tokens += 1
        elif now >= self._contact_until:
            stock.share_level += 1

    def add_sessions(self, organisation: OrganisationId, change: int) -> None:
        """Count the open sessions of an organisation, so that a token is available for their next operation."""
        if organisation in self._policies_by_organisation:
            stock = self._stocks_by_organisation.setdefault(organisation, _Stock())
            stock.sessions = max(stock.sessions + change, 0)

    def add_waiting(self, organisation: OrganisationId, change: int) -> None:
        """Count the operations that wait for a token."""
        stock = self._stocks_by_organisation.get(organisation)
        if stock is not None:
            stock.waiting = max(stock.waiting + change, 0)

    def update_requests(self, now: Instant) -> dict[OrganisationId, int]:
        """Update the measured demand and compute the tokens to request.

        :param now: Present time.
        :returns: Tokens that this instance asks for, by organisation.
        """
        cover_s = self._cover_s()
        passed_s = now - self._reviewed_at if self._reviewed_at is not None else 1.0
        is_due = passed_s >= _LEAST_INTERVAL_S
        if is_due:
            self._reviewed_at = now
        requested: dict[OrganisationId, int] = {}
        for organisation, stock in self._stocks_by_organisation.items():
            if is_due:
                weight = min(_DEMAND_WEIGHT * passed_s / cover_s, 1)
                stock.demand_per_s += weight * (stock.operations / passed_s - stock.demand_per_s)
                stock.operations = 0
            if stock.expires_at <= now:
                stock.tokens = 0.0
            # When tokens are short, they go to waiting operations instead of stocks.
            held = self._target_tokens(stock) if now >= stock.short_until else 0.0
            missing = math.ceil(max(held, stock.waiting) - stock.tokens)
            if missing > 0:
                requested[organisation] = missing
        return requested

    def waiting(self) -> dict[OrganisationId, int]:
        """:returns: Operations that wait for a token, by organisation."""
        stocks = self._stocks_by_organisation.items()
        return {organisation: stock.waiting for organisation, stock in stocks if stock.waiting > 0}

    def held(self, now: Instant) -> dict[OrganisationId, int]:
        """:returns: Tokens in stock, by organisation."""
        stocks = self._stocks_by_organisation.items()
        return {
            organisation: int(stock.tokens)
            for organisation, stock in stocks
            if stock.tokens >= 1 and stock.expires_at > now
        }

    def extend_stocks(self, asked_at: Instant) -> None:
        """Extend the expiry of tokens that their organisations still need.

        :param asked_at: When the request was sent whose answer shows that the supplier is reachable.
        """
        for stock in self._stocks_by_organisation.values():
            if (
                stock.tokens > 0
                and stock.expires_at > asked_at
                and stock.tokens <= math.ceil(self._target_tokens(stock))
            ):
                stock.expires_at = max(stock.expires_at, asked_at + _STOCK_S)

    def receive(self, organisation: OrganisationId, tokens: int, next_token_s: float, asked_at: Instant) -> None:
        """Add the tokens that the supplier granted.

        :param organisation: The organisation.
        :param tokens: Tokens for the stock.
        :param next_token_s: Time until the next token, where there were too few.
        :param asked_at: When they were asked for.
        """
        stock = self._stocks_by_organisation.get(organisation)
        if stock is None:
            return
        if stock.expires_at <= asked_at:
            stock.tokens = 0.0
        stock.tokens += tokens
        stock.expires_at = asked_at + _STOCK_S
        stock.exhausted_until = asked_at + next_token_s if next_token_s > 0 else float('-inf')
        if next_token_s > 0:
            stock.short_until = asked_at + _SHORTAGE_S

    def _target_tokens(self, stock: _Stock) -> float:
        """:returns: Tokens to hold: what is used until the next exchange, and one wherever a session is open."""
        least = 1.0 if stock.sessions > 0 else 0.0
        if stock.demand_per_s < _LEAST_DEMAND_PER_S:
            return least
        return max(stock.demand_per_s * self._cover_s(), least)

    def _cover_s(self) -> float:
        """:returns: Time for which the stock lasts: from one answer until its equal share may be used."""
        members = self._members or 1
        return exchange_interval_s(members) + contact_timeout_s(members)

    def _expected_wait_s(self, stock: _Stock, policy: OrganisationPolicy, now: Instant) -> float:
        """:returns: Time until one more operation gets a token, if every instance gets an equal share of them."""
        per_s = policy.rate_per_s / (self._members or 1)
        return stock.exhausted_until - now + (stock.waiting / per_s if per_s > 0 else 1.0)

    def _acquire_from_share(
        self, stock: _Stock, policy: OrganisationPolicy, longest_wait_s: float
    ) -> tuple[AcquireResult, float]:
        rate_per_s = policy.rate_per_s / self._members if self._members else 0.0
        wait_s = max(1 - stock.share_level, 0) / rate_per_s if rate_per_s > 0 else 1.0
        if wait_s > longest_wait_s:
            return AcquireResult.SHARE_EXHAUSTED, wait_s
        stock.share_level -= 1
        return AcquireResult.ACQUIRED, wait_s

    def _refill(self, stock: _Stock, policy: OrganisationPolicy, now: Instant) -> None:
        if stock.expires_at <= now:
            stock.tokens = 0.0
        if self._members is None:
            return
        # The equal share refills only while it is not delegated to a supplier.
        since = max(stock.share_filled_at, self._contact_until)
        if since > stock.share_filled_at:
            stock.share_level = 0.0
        if now > since:
            filled = stock.share_level + (now - max(since, now - 1.0)) * policy.rate_per_s / self._members
            stock.share_level = min(filled, max(policy.burst / self._members, 1.0))
            stock.share_filled_at = now
