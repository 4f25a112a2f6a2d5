"""Fleet-wide rate and burst limits: each seat brings a base share, and instances lend shares to each other."""

import collections
import enum
import random
from collections.abc import Iterator, Mapping
from typing import Final

from fescuequay_core.allotments import Allotment
from fescuequay_core.blackboard import Blackboard
from fescuequay_core.commands import AnswerPeer, Command, Incident, SendPeer
from fescuequay_core.controller import Controller, Handler, Timer
from fescuequay_core.events import Event, PeerMessageReceived, Tick
from fescuequay_core.membership import MembershipController
from fescuequay_core.messages import Loan, LoanAnswer, LoanRequest, RequestedAmount
from fescuequay_core.seats import SeatController, seats_of
from fescuequay_core.types import InstanceId, Instant, OrganisationId, ResourceId

#: Interval at which demand is estimated and loans are requested and returned, in seconds.
_REVIEW_INTERVAL_S: Final = 0.2

#: Weight of the latest interval in the exponential moving average of the demand.
_DEMAND_WEIGHT: Final = 0.35

#: Factor on the estimated demand for which an instance provides.
_HEADROOM: Final = 1.25

#: Duration of demand that the tokens of a loan should cover, in seconds.
_LOOK_AHEAD_S: Final = 0.3

#: Minimum interval between two immediate loan requests for one organisation, in seconds.
_MIN_REQUEST_INTERVAL_S: Final = 0.03

#: Time for which requests are refused without waiting after the peers had nothing to lend, in seconds.
_NO_LOAN_BACKOFF_S: Final = 0.3

#: Demand below which loans are requested only for requests that already wait.
_MIN_DEMAND_PER_S: Final = 0.5

#: Lower bound of the time between two reviews and of a retry-after, in seconds.
_MIN_DURATION_S: Final = 0.01

#: Demand above which an account is reviewed although no request has arrived since the latest review.
_MIN_REVIEWED_DEMAND_PER_S: Final = 0.01

#: Factor on the need; a loan that exceeds the enlarged need is returned early.
_RETURN_SLACK: Final = 1.5

_ID_BITS: Final = 64

#: Maximum number of peers that one round of loan requests is sent to.
_MAX_LENDERS_ASKED: Final = 12

#: Maximum number of stored answers to loan requests; a repeated request gets the stored answer, not a second loan.
_MAX_REMEMBERED_ANSWERS: Final = 4096


class Admission(enum.Enum):
    """Decision of the rate limit on one request."""

    GRANTED = 'granted'
    WAIT = 'wait'
    REFUSED = 'refused'


class _Account:
    """One organisation's allotment at this instance and the demand for it."""

    def __init__(self, resource: ResourceId, now: Instant) -> None:
        self.allotment = Allotment(resource, now)
        self.arrivals = 0
        self.demand_per_s = 0.0
        self.waiting_count = 0
        self.requested_at: Instant = float('-inf')
        self.borrowed_units = 0.0
        self.backoff_until: Instant = float('-inf')
        self.has_had_base = False

    @property
    def is_active(self) -> bool:
        """:returns: Whether the account must be part of the next review."""
        return (
            self.arrivals > 0 or self.demand_per_s > _MIN_REVIEWED_DEMAND_PER_S or bool(self.allotment.borrowed_by_id)
        )


class LimitController(Controller):
    """Admits requests from local token buckets and moves shares between instances by short loans.

    A lender reduces its own share before it answers the borrower, and restores it only after the borrower
    has certainly stopped using the loan. Therefore the shares of all instances never sum to more than the
    limit, even if messages are lost, duplicated or delayed, or an instance is paused.

    :param board: The blackboard.
    :param rng: Generates the ids of requests and loans, and the order of peers.
    :param seats: Knows which parts of the seat may be used.
    :param members: Knows which peers can be reached.
    """

    def __init__(
        self, board: Blackboard, rng: random.Random, seats: SeatController, members: MembershipController
    ) -> None:
        super().__init__(board)
        self._rng = rng
        self._seats = seats
        self._members = members
        self._accounts: dict[OrganisationId, _Account] = {}
        self._review_timer = Timer(_REVIEW_INTERVAL_S)
        self._reviewed_at: Instant | None = None
        self._open_requests: dict[str, tuple[Instant, InstanceId]] = {}
        self._answers_by_request: collections.OrderedDict[str, LoanAnswer] = collections.OrderedDict()
        self._usable_parts: tuple[bool, bool] = (False, False)
        self._text_number = 0

    def handlers(self) -> Mapping[type[Event], Handler]:
        """:returns: Handlers of the timer and of messages of peers."""
        return {Tick: self._on_tick, PeerMessageReceived: self._on_peer}

    def admit(self, organisation: OrganisationId, now: Instant, *, is_retry: bool = False) -> Admission:
        """Take one token or decide whether to wait for a loan.

        :param organisation: Organisation to charge.
        :param now: Present time.
        :param is_retry: Whether the request has already been counted as demand.
        :returns: ``WAIT`` when a loan may bring a token soon.
        """
        self._sync(now)
        account = self._accounts.get(organisation)
        if account is None:
            return Admission.REFUSED
        if not is_retry:
            account.arrivals += 1
        if account.allotment.acquire(now):
            return Admission.GRANTED
        return Admission.REFUSED if now < account.backoff_until else Admission.WAIT

    def retry_after_s(self, organisation: OrganisationId) -> float:
        """:returns: Time until the present share yields a token beyond those that waiting requests need."""
        account = self._accounts.get(organisation)
        if account is None or account.allotment.rate_per_s <= 0:
            return 1.0
        return max(
            (1 + account.waiting_count - account.allotment.level) / account.allotment.rate_per_s, _MIN_DURATION_S
        )

    def request_tokens(self, organisation: OrganisationId, waiting: int, now: Instant) -> Iterator[Command]:
        """Request loans from peers for requests that wait.

        :param organisation: Organisation that they are charged to.
        :param waiting: Number of waiting requests.
        :param now: Present time.
        """
        account = self._accounts.get(organisation)
        if account is None or now - account.requested_at < _MIN_REQUEST_INTERVAL_S:
            return
        account.waiting_count = waiting
        yield from self._request_loans({organisation: account}, now)

    def shares(self, now: Instant) -> dict[OrganisationId, tuple[float, float, float]]:
        """:returns: Rate, capacity and tokens of each organisation at this instance."""
        self._sync(now)
        for account in self._accounts.values():
            account.allotment.advance(now)
        return {
            organisation: (account.allotment.rate_per_s, account.allotment.units, account.allotment.level)
            for organisation, account in self._accounts.items()
        }

    def has_no_lent_loans(self, now: Instant) -> bool:
        """:returns: Whether every loan that this instance has lent has ended."""
        self._sync(now)
        for account in self._accounts.values():
            account.allotment.advance(now)
        return not any(account.allotment.lent_by_id for account in self._accounts.values())

    def _on_tick(self, event: Tick, now: Instant) -> Iterator[Command]:
        self._sync(now)
        if not self._review_timer.is_due(now):
            return
        elapsed_s = now - self._reviewed_at if self._reviewed_at is not None else _REVIEW_INTERVAL_S
        self._reviewed_at = now
        active = {name: account for name, account in self._accounts.items() if account.is_active}
        for account in active.values():
            latest = account.arrivals / max(elapsed_s, _MIN_DURATION_S)
            account.demand_per_s += _DEMAND_WEIGHT * (latest - account.demand_per_s)
            account.arrivals = 0
        self._open_requests = {
            ask_id: entry for ask_id, entry in self._open_requests.items() if now - entry[0] < self.board.timing.loan_s
        }
        short_accounts = {name: account for name, account in active.items() if self._needs_loan(account, now)}
        if not self.board.is_stopping:
            yield from self._request_loans(short_accounts, now)
        yield from self._return_loans(active, now)

    def _needs_loan(self, account: _Account, now: Instant) -> bool:
        if now < account.backoff_until:
            return False
        allotment = account.allotment
        allotment.advance(now)
        is_renewal_due = any(
            running.until - now < self.board.timing.loan_s / 2 for running in allotment.borrowed_by_id.values()
        )
        if account.demand_per_s < _MIN_DEMAND_PER_S and account.waiting_count == 0:
            return False
        return is_renewal_due or account.demand_per_s * _HEADROOM > allotment.rate_per_s

    def _request_loans(self, accounts: dict[OrganisationId, _Account], now: Instant) -> Iterator[Command]:
        peers = [
            (peer, view)
            for peer, view in self.board.peers_by_id.items()
            if view.heartbeat.seat is not None and self._members.is_reachable(peer, now)
        ]
        if not accounts or not peers:
            return
        self._rng.shuffle(peers)
        here = self.board.identity.data_centre
        peers = sorted(peers, key=lambda pair: pair[1].heartbeat.data_centre != here)[:_MAX_LENDERS_ASKED]
        for peer, view in peers:
            amounts = tuple(self._requested_amount(account, len(peers)) for account in accounts.values())
            renewals = tuple(
                loan_id
                for account in accounts.values()
                for loan_id in _needed_loans(account)
                if loan_id.startswith(f'{peer}:')
            )
            ask_id = f'{self.board.instance}:{self._rng.getrandbits(_ID_BITS):016x}'
            self._open_requests[ask_id] = (now, peer)
            yield SendPeer(
                peer, view.heartbeat.peer_address, LoanRequest(ask_id, self.board.instance, amounts, renewals)
            )
        for account in accounts.values():
            account.requested_at = now
            account.borrowed_units = 0.0

    def _return_loans(self, accounts: dict[OrganisationId, _Account], now: Instant) -> Iterator[Command]:
        """Return the loans of refill that demand no longer needs, so that the lender need not wait for their end."""
        returns_by_peer: dict[InstanceId, list[str]] = collections.defaultdict(list)
        for account in accounts.values():
            kept = set(_needed_loans(account, slack=_RETURN_SLACK))
            for loan_id, running in tuple(account.allotment.borrowed_by_id.items()):
                if loan_id not in kept and running.loan.rate_per_s > 0:
                    account.allotment.end_loan(loan_id, now, is_lender=False)
                    returns_by_peer[InstanceId(loan_id.split(':')[0])].append(loan_id)
        for peer, loan_ids in returns_by_peer.items():
            view = self.board.peers_by_id.get(peer)
            if view is not None:
                ask_id = f'{self.board.instance}:{self._rng.getrandbits(_ID_BITS):016x}'
                request = LoanRequest(ask_id, self.board.instance, returns=tuple(loan_ids))
                yield SendPeer(peer, view.heartbeat.peer_address, request)

    def _requested_amount(self, account: _Account, peer_count: int) -> RequestedAmount:
        allotment = account.allotment
        missing_rate = max(account.demand_per_s * _HEADROOM - allotment.rate_per_s, 0.0)
        wanted_level = account.waiting_count + account.demand_per_s * _LOOK_AHEAD_S + 1
        missing_units = max(wanted_level - allotment.level, 0.0)
        # Some peers can lend less than others, so each is asked for twice its equal share.
        over_request_factor = 2 / peer_count
        return RequestedAmount(
            allotment.resource, missing_rate * over_request_factor, missing_units * over_request_factor
        )

    def _on_peer(self, event: PeerMessageReceived, now: Instant) -> Iterator[Command]:
        self._sync(now)
        if isinstance(event.message, LoanRequest):
            yield AnswerPeer(self._answer(event.message, now))
        elif isinstance(event.message, LoanAnswer):
            yield from self._receive_loans(event.message, now)

    def _answer(self, request: LoanRequest, now: Instant) -> LoanAnswer:
        earlier_answer = self._answers_by_request.get(request.ask_id)
        if earlier_answer is not None:
            return earlier_answer
        self._sync(now)
        safe_until = now + self.board.timing.drift_safe_s(self.board.timing.loan_s)
        for loan_id in request.returns:
            for account in self._accounts.values():
                account.allotment.end_loan(loan_id, now, is_lender=True)
        renewed = tuple(loan_id for loan_id in request.renewals if self._renew(loan_id, safe_until, now))
        loans = tuple(
            loan
            for amount in request.wants
            for loan in self._lend(amount, safe_until, now)
            if not self.board.is_stopping
        )
        answer = LoanAnswer(request.ask_id, self.board.instance, loans, renewed)
        self._answers_by_request[request.ask_id] = answer
        if len(self._answers_by_request) > _MAX_REMEMBERED_ANSWERS:
            self._answers_by_request.popitem(last=False)
        return answer

    def _renew(self, loan_id: str, until: Instant, now: Instant) -> bool:
        for account in self._accounts.values():
            running = account.allotment.lent_by_id.get(loan_id)
            if running is None:
                continue
            # A lender that needs the refill for its own demand lets the loan end.
            if account.demand_per_s * _HEADROOM > account.allotment.rate_per_s or self.board.is_stopping:
                return False
            return account.allotment.renew(loan_id, until, now, is_lender=True)
        return False

    def _lend(self, amount: RequestedAmount, until: Instant, now: Instant) -> Iterator[Loan]:
        account = self._accounts.get(OrganisationId(amount.resource))
        if account is None or not (amount.rate_per_s > 0 or amount.units > 0):
            return
        rate, tokens = account.allotment.lendable(account.demand_per_s * _HEADROOM, now)
        lent_rate = min(amount.rate_per_s, rate)
        # Capacity is lent only together with the tokens that fill it. Capacity alone would make the lender
        # discard the tokens above its reduced capacity, and the organisation would lose them.
        lent_units = min(amount.units, tokens)
        if lent_rate <= 0 and lent_units <= 0:
            return
        loan_id = f'{self.board.instance}:{self._rng.getrandbits(_ID_BITS):016x}'
        loan = Loan(loan_id, amount.resource, lent_rate, lent_units, lent_units)
        account.allotment.lend(loan, until, now)
        yield loan

    def _receive_loans(self, answer: LoanAnswer, now: Instant) -> Iterator[Command]:
        requested_at, peer = self._open_requests.pop(answer.ask_id, (None, None))
        if requested_at is None or peer != answer.sender:
            return
        until = requested_at + self.board.timing.loan_s
        for loan_id in answer.renewed:
            for account in self._accounts.values():
                account.allotment.renew(loan_id, until, now, is_lender=False)
        for loan in answer.loans:
            borrower_account = self._accounts.get(OrganisationId(loan.resource))
            if borrower_account is not None:
                borrower_account.allotment.borrow(loan, until, now)
                borrower_account.borrowed_units += loan.units
                amounts = (('rate_per_s', f'{loan.rate_per_s:.2f}'), ('tokens', f'{loan.tokens:.2f}'))
                yield Incident('allotment_borrowed', loan.resource, f'lent by {answer.sender}', amounts)
        for account in self._accounts.values():
            is_last = not any(entry[0] == account.requested_at for entry in self._open_requests.values())
            if is_last and account.waiting_count and account.borrowed_units < 1:
                account.backoff_until = now + _NO_LOAN_BACKOFF_S
                account.waiting_count = 0

    def _starts_full(self, account: _Account, parts: tuple[bool, bool]) -> bool:
        """Check whether no instance can have used the share before; any other share starts with no tokens."""
        return self._seats.is_first_holder and parts[0] and not account.has_had_base

    def _sync(self, now: Instant) -> None:
        """Apply changes of the text and the seat; an expired lease counts from its end, even when noticed later."""
        parts = (self._seats.has_main(now), self._seats.has_floor(now))
        if parts == self._usable_parts and self._text_number == self.board.text_number:
            return
        text = self.board.text
        if text is None:
            return
        changed_at = now
        if self._usable_parts[0] and not parts[0]:
            changed_at = min(now, max(self._seats.main_until, float('-inf')))
        floor = self.board.timing.floor
        part = (1 - floor if parts[0] else 0.0) + (floor if parts[1] else 0.0)
        fraction = part / len(seats_of(text))
        # A clock that runs fast must not refill the bucket faster than the limit allows.
        rate_fraction = fraction * (1 - self.board.timing.drift)
        for organisation_id, organisation in text.organisations.items():
            account = self._accounts.get(organisation_id)
            if account is None:
                account = _Account(ResourceId(organisation_id), now)
                self._accounts[organisation_id] = account
            account.allotment.set_base(
                organisation.rate_per_s * rate_fraction,
                organisation.burst * fraction,
                changed_at if changed_at > float('-inf') else now,
                is_full=self._starts_full(account, parts),
            )
            account.has_had_base = account.has_had_base or parts[0]
        for organisation_id, account in self._accounts.items():
            if organisation_id not in text.organisations:
                account.allotment.set_base(0.0, 0.0, now)
        self._usable_parts = parts
        self._text_number = self.board.text_number


def _needed_loans(account: _Account, slack: float = 1.0) -> Iterator[str]:
    """:returns: Loans that the present demand needs; ``slack`` keeps them from being returned and requested again."""
    allotment = account.allotment
    needed = account.demand_per_s * _HEADROOM * slack - allotment.base_rate_per_s
    for loan_id, running in allotment.borrowed_by_id.items():
        if needed > 0 and running.loan.rate_per_s > 0:
            needed -= running.loan.rate_per_s
            yield loan_id
