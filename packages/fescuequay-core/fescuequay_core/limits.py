"""Rate and burst of each organisation over the whole fleet: seats give a base, peers lend to each other."""

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

#: Interval of demand estimates and of loan requests, in seconds.
_REVIEW_INTERVAL_S: Final = 0.2

#: Weight of the latest interval in the demand estimate.
_DEMAND_WEIGHT: Final = 0.35

#: Factor by which an instance provides for more than its present demand.
_HEADROOM: Final = 1.25

#: Demand that a loan provides tokens for, in seconds.
_LOOK_AHEAD_S: Final = 0.3

#: Smallest interval between two immediate loan requests for one organisation, in seconds.
_MIN_REQUEST_INTERVAL_S: Final = 0.03

#: Time for which an organisation is refused at once after peers had nothing to lend, in seconds.
_NO_LOAN_BACKOFF_S: Final = 0.3

#: Demand below which no loan is asked for ahead of need.
_MIN_DEMAND_PER_S: Final = 0.5

_MIN_DURATION_S: Final = 0.01

#: Factor of need above which a loan is returned early.
_RETURN_SLACK: Final = 1.5

_ID_BITS: Final = 64

#: Peers that are asked at a time.
_MAX_LENDERS_ASKED: Final = 12

#: Answered loan requests that are remembered, so that a repeated one is not granted twice.
_MAX_REMEMBERED_ANSWERS: Final = 4096


class Admission(enum.Enum):
    """What the limit says to one request."""

    GRANTED = 'granted'
    WAIT = 'wait'
    REFUSED = 'refused'


class _Account:
    """One organisation's allotment here and how much of it is asked for."""

    def __init__(self, resource: ResourceId, now: Instant) -> None:
        self.allotment = Allotment(resource, now)
        self.arrivals = 0
        self.demand_per_s = 0.0
        self.waiting = 0
        self.asked_at: Instant = float('-inf')
        self.borrowed_units = 0.0
        self.backoff_until: Instant = float('-inf')
        self.has_had_base = False

    @property
    def is_active(self) -> bool:
        """:returns: Whether anything of it needs a look at the next review."""
        return self.arrivals > 0 or self.demand_per_s > _MIN_DURATION_S or bool(self.allotment.borrowed_by_id)


class LimitController(Controller):
    """Admits requests from local buckets and moves shares between instances by short loans.

    A lender gives up a part of its own seat before it tells the borrower, and takes it back only after
    the borrower has surely stopped using it. So the shares of all instances never sum to more than the
    limit, whatever is lost, doubled, delayed or paused.

    :param board: The blackboard.
    :param rng: Identities of requests and loans.
    :param seats: Tells which parts of the seat may be used.
    :param members: Tells which peers can be reached.
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
        """Take one token, or say whether a loan may bring one soon.

        :param organisation: Organisation to charge.
        :param now: Present time.
        :param is_retry: Whether the request has been counted as demand before.
        :returns: What the limit says.
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
        """:returns: Time until this instance will have a token again at its present share."""
        account = self._accounts.get(organisation)
        if account is None or account.allotment.rate_per_s <= 0:
            return 1.0
        return max((1 + account.waiting - account.allotment.level) / account.allotment.rate_per_s, _MIN_DURATION_S)

    def request_tokens(self, organisation: OrganisationId, waiting: int, now: Instant) -> Iterator[Command]:
        """Ask peers for tokens for requests that wait.

        :param organisation: Organisation that they are charged to.
        :param waiting: How many wait.
        :param now: Present time.
        """
        account = self._accounts.get(organisation)
        if account is None or now - account.asked_at < _MIN_REQUEST_INTERVAL_S:
            return
        account.waiting = waiting
        yield from self._request_loans({organisation: account}, now)

    def shares(self, now: Instant) -> dict[OrganisationId, tuple[float, float, float]]:
        """:returns: Rate, capacity and tokens of each organisation here."""
        self._sync(now)
        for account in self._accounts.values():
            account.allotment.advance(now)
        return {
            organisation: (account.allotment.rate_per_s, account.allotment.units, account.allotment.level)
            for organisation, account in self._accounts.items()
        }

    def has_no_lent_loans(self, now: Instant) -> bool:
        """:returns: Whether no loan of this instance runs any more."""
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
            ask: entry for ask, entry in self._open_requests.items() if now - entry[0] < self.board.timing.loan_s
        }
        short = {name: account for name, account in active.items() if self._needs_loan(account, now)}
        if not self.board.is_stopping:
            yield from self._request_loans(short, now)
        yield from self._return_loans(active, now)

    def _needs_loan(self, account: _Account, now: Instant) -> bool:
        if now < account.backoff_until:
            return False
        allotment = account.allotment
        allotment.advance(now)
        is_renewal_due = any(
            running.until - now < self.board.timing.loan_s / 2 for running in allotment.borrowed_by_id.values()
        )
        if account.demand_per_s < _MIN_DEMAND_PER_S and account.waiting == 0:
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
            wants = tuple(self._requested_amount(account, len(peers)) for account in accounts.values())
            renewals = tuple(
                loan_id
                for account in accounts.values()
                for loan_id in _needed_loans(account)
                if loan_id.startswith(f'{peer}:')
            )
            ask_id = f'{self.board.instance}:{self._rng.getrandbits(_ID_BITS):016x}'
            self._open_requests[ask_id] = (now, peer)
            yield SendPeer(peer, view.heartbeat.peer_address, LoanRequest(ask_id, self.board.instance, wants, renewals))
        for account in accounts.values():
            account.asked_at = now
            account.borrowed_units = 0.0

    def _return_loans(self, accounts: dict[OrganisationId, _Account], now: Instant) -> Iterator[Command]:
        """Return loans of refill that demand no longer needs, so that others need not wait for their end."""
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

    def _requested_amount(self, account: _Account, peers: int) -> RequestedAmount:
        allotment = account.allotment
        missing_rate = max(account.demand_per_s * _HEADROOM - allotment.rate_per_s, 0.0)
        wanted_level = account.waiting + account.demand_per_s * _LOOK_AHEAD_S + 1
        missing_units = max(wanted_level - allotment.level, 0.0)
        # Some peers will have less to spare than others, so each is asked for more than its part.
        over_request = 2 / peers
        return RequestedAmount(allotment.resource, missing_rate * over_request, missing_units * over_request)

    def _on_peer(self, event: PeerMessageReceived, now: Instant) -> Iterator[Command]:
        self._sync(now)
        if isinstance(event.message, LoanRequest):
            yield AnswerPeer(self._answer(event.message, now))
        elif isinstance(event.message, LoanAnswer):
            yield from self._receive_loans(event.message, now)

    def _answer(self, request: LoanRequest, now: Instant) -> LoanAnswer:
        known = self._answers_by_request.get(request.ask_id)
        if known is not None:
            return known
        self._sync(now)
        safe_until = now + self.board.timing.drift_safe_s(self.board.timing.loan_s)
        for loan_id in request.returns:
            for account in self._accounts.values():
                account.allotment.end_loan(loan_id, now, is_lender=True)
        renewed = tuple(loan_id for loan_id in request.renewals if self._renew(loan_id, safe_until, now))
        loans = tuple(
            loan for want in request.wants for loan in self._lend(want, safe_until, now) if not self.board.is_stopping
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
            # A lender whose own callers need the part back lets the loan end.
            if account.demand_per_s * _HEADROOM > account.allotment.rate_per_s or self.board.is_stopping:
                return False
            return account.allotment.renew(loan_id, until, now, is_lender=True)
        return False

    def _lend(self, want: RequestedAmount, until: Instant, now: Instant) -> Iterator[Loan]:
        account = self._accounts.get(OrganisationId(want.resource))
        if account is None or not (want.rate_per_s > 0 or want.units > 0):
            return
        rate, tokens = account.allotment.lendable(account.demand_per_s * _HEADROOM, now)
        lent_rate = min(want.rate_per_s, rate)
        # Capacity moves only together with the tokens that fill it: capacity without tokens would
        # make the lender drop tokens, and the organisation would lose them.
        lent_units = min(want.units, tokens)
        if lent_rate <= 0 and lent_units <= 0:
            return
        loan_id = f'{self.board.instance}:{self._rng.getrandbits(_ID_BITS):016x}'
        loan = Loan(loan_id, want.resource, lent_rate, lent_units, lent_units)
        account.allotment.lend(loan, until, now)
        yield loan

    def _receive_loans(self, answer: LoanAnswer, now: Instant) -> Iterator[Command]:
        asked_at, peer = self._open_requests.pop(answer.ask_id, (None, None))
        if asked_at is None or peer != answer.sender:
            return
        until = asked_at + self.board.timing.loan_s
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
            is_last = not any(entry[0] == account.asked_at for entry in self._open_requests.values())
            if is_last and account.waiting and account.borrowed_units < 1:
                account.backoff_until = now + _NO_LOAN_BACKOFF_S
                account.waiting = 0

    def _starts_full(self, account: _Account, parts: tuple[bool, bool]) -> bool:
        """A part that nobody can have used begins with all its tokens; any other begins with none."""
        return self._seats.is_first_holder and parts[0] and not account.has_had_base

    def _sync(self, now: Instant) -> None:
        """Follow the text and the seat; a lapse takes effect at its own time, even when seen late."""
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
        # A clock that runs fast must not fill its bucket faster than the limit allows.
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
    """Loans that present demand still needs, with some slack so that they do not go back and forth."""
    allotment = account.allotment
    needed = account.demand_per_s * _HEADROOM * slack - allotment.base_rate_per_s
    for loan_id, running in allotment.borrowed_by_id.items():
        if needed > 0 and running.loan.rate_per_s > 0:
            needed -= running.loan.rate_per_s
            yield loan_id
