"""Admission, dispatch and answering of callers' requests."""

import dataclasses
import random
from collections.abc import Iterator, Mapping
from typing import Final

from fescuequay_core import tokens, verdicts
from fescuequay_core.access import Authoriser, Grant, refuse
from fescuequay_core.acknowledgements import AcknowledgementTracker, ResolvedWrite
from fescuequay_core.blackboard import Blackboard, Pending
from fescuequay_core.charging import ChargeQueue
from fescuequay_core.commands import Command, Execute, Forward, Incident, Reply
from fescuequay_core.controller import Controller, Handler
from fescuequay_core.events import (
    Event,
    ExecutionEnded,
    FleetRead,
    FleetWritten,
    ForwardEnded,
    PeerMessageReceived,
    RequestArrived,
    TargetStatusReceived,
    Tick,
)
from fescuequay_core.fleet_controller import FleetController
from fescuequay_core.forwarding import Forwarder
from fescuequay_core.lanes import FairLane
from fescuequay_core.limits import Admission, LimitController
from fescuequay_core.membership import MembershipController
from fescuequay_core.messages import Heartbeat, LoanAnswer
from fescuequay_core.queues import GroupQueues
from fescuequay_core.requests import Answer, Outcome, Request
from fescuequay_core.routing import Dispatch, Refuse, Router, Wait
from fescuequay_core.targets import TargetController
from fescuequay_core.tokens import Mark
from fescuequay_core.transactions import TransactionRegistry
from fescuequay_core.types import GroupId, Instant, Position, RequestId, RequestKind, Verdict
from fescuequay_core.verdicts import Refusal

#: Maximum executions of one request. Only reads, and requests that the target reports as not run, are retried.
_MAX_TRIES: Final = 3

#: Retries that each execution adds to the credit of the instance.
_RETRY_CREDIT_PER_EXECUTION: Final = 0.1

#: Upper bound of the retry credit.
_MAX_RETRY_CREDIT: Final = 10.0

#: Minimum interval between two status probes of a target that requests or unconfirmed writes wait for, in seconds.
_MIN_PROBE_INTERVAL_S: Final = 0.002

#: Weight of the latest execution in the exponential moving average of the service time.
_SERVICE_TIME_WEIGHT: Final = 0.1

_TRANSACTION_KINDS: Final = frozenset((RequestKind.IN_TRANSACTION, RequestKind.COMMIT, RequestKind.ROLLBACK))


class AdmissionController(Controller):
    """Checks, charges, queues, dispatches and answers requests.

    Every request gets exactly one reply. Its verdict is ``not_run`` only if the request cannot have taken
    effect at any target.

    :param board: The blackboard.
    :param rng: Chooses among equivalent peers.
    :param limits: Charges organisations.
    :param targets: Probes the status of targets.
    :param fleet: Reads the fleet record again when it seems outdated.
    :param members: Knows which peers can be reached.
    """

    def __init__(
        self,
        board: Blackboard,
        rng: random.Random,
        limits: LimitController,
        targets: TargetController,
        fleet: FleetController,
        members: MembershipController,
    ) -> None:
        super().__init__(board)
        self._charges = ChargeQueue(board, limits)
        self._targets = targets
        self._fleet = fleet
        self._forwarder = Forwarder(board, rng, members)
        self._authoriser = Authoriser(board)
        self._router = Router(board)
        self._acks = AcknowledgementTracker(board)
        self._transactions = TransactionRegistry(board)
        self._queues = GroupQueues(board)
        self._retry_credit = _MAX_RETRY_CREDIT

    def handlers(self) -> Mapping[type[Event], Handler]:
        """:returns: Handlers of requests, their outcomes, statuses and the timer."""
        return {
            RequestArrived: self._on_arrived,
            ExecutionEnded: self._on_ended,
            ForwardEnded: self._on_forwarded,
            TargetStatusReceived: self._on_target_status,
            PeerMessageReceived: self._on_peer,
            FleetRead: self._on_record,
            FleetWritten: self._on_record,
            Tick: self._on_tick,
        }

    def is_idle(self) -> bool:
        """:returns: Whether no request and no transaction is open."""
        return not self.board.requests_by_id and not self.board.transactions_by_id

    def _on_arrived(self, event: RequestArrived, now: Instant) -> Iterator[Command]:
        request = event.request
        grant = self._authoriser.check(request, now)
        if isinstance(grant, Refusal):
            yield from self._refuse_unadmitted(request, grant)
            return
        is_in_transaction = request.kind in _TRANSACTION_KINDS
        if self.board.is_stopping and not is_in_transaction:
            yield from self._refuse_unadmitted(
                request, refuse(verdicts.STOPPING, 'the instance is stopping', 0.1), grant
            )
            return
        if (
            grant.route.read_only
            and not request.is_read
            and request.kind is not RequestKind.ROLLBACK
            and not is_in_transaction
        ):
            detail = f'the route {request.route!r} accepts only reads'
            yield from self._refuse_unadmitted(request, refuse(verdicts.OUT_OF_SCOPE, detail), grant)
            return
        pending = Pending(
            request=request,
            organisation=grant.organisation,
            service=grant.route.service,
            group=grant.group,
            session=grant.session,
            arrived_at=now,
            is_read=request.is_read,
        )
        self.board.requests_by_id[request.request_id] = pending
        self.board.used_at_by_group[pending.group] = now
        yield from self._charge(pending, now)

    def _charge(self, pending: Pending, now: Instant) -> Iterator[Command]:
        admission = self._charges.charge(pending, now)
        if admission is Admission.GRANTED:
            yield from self._queue_or_forward(pending, now)
        elif admission is Admission.REFUSED:
            yield from self._refuse(pending, self._charges.refusal(pending))
        else:
            yield from self._charges.request_loans(pending.organisation, now)

    def _resume_charging(self, now: Instant) -> Iterator[Command]:
        for pending, admission in self._charges.resolve(now):
            if admission is Admission.GRANTED:
                yield from self._queue_or_forward(pending, now)
            else:
                yield from self._refuse(pending, self._charges.refusal(pending))
        for organisation in tuple(self._charges.waiting_organisations()):
            yield from self._charges.request_loans(organisation, now)

    def _queue_or_forward(self, pending: Pending, now: Instant) -> Iterator[Command]:
        if pending.request.kind in _TRANSACTION_KINDS:
            yield from self._run_in_transaction(pending, now)
            return
        if not self._holds_connections(pending.group):
            yield from self._forward(pending, self._forwarder.to_host(pending, now))
            return
        refusal = self._queues.check_overload(pending, now)
        if refusal is not None:
            yield from self._refuse(pending, refusal)
            return
        self._queues.add(pending)
        yield from self._dispatch_group(pending.group, now)

    def _holds_connections(self, group_id: GroupId) -> bool:
        group = self.board.group_of(group_id)
        return group is not None and any(self.board.view_of(target).connections for target in group.targets)

    def _forward(self, pending: Pending, forward: Forward | Refusal) -> Iterator[Command]:
        if isinstance(forward, Refusal):
            yield from self._refuse(pending, forward)
        else:
            yield forward

    def _run_in_transaction(self, pending: Pending, now: Instant) -> Iterator[Command]:
        owner = self._transactions.owner_of(pending.request.transaction)
        if owner is not None and owner != self.board.instance:
            yield from self._forward(pending, self._forwarder.to_owner(pending, owner))
            return
        transaction = self._transactions.acquire(pending)
        if isinstance(transaction, Refusal):
            yield from self._refuse(pending, transaction)
            return
        pending.target = transaction.target
        pending.term = transaction.term
        pending.is_read = transaction.is_read
        pending.dispatched_at = now
        yield self._execute(pending)

    def _dispatch_group(self, group: GroupId, now: Instant) -> Iterator[Command]:
        for lane in self._queues.lanes_of(group):
            yield from self._dispatch_lane(lane, now)

    def _dispatch_lane(self, lane: FairLane, now: Instant) -> Iterator[Command]:
        has_progress = bool(lane)
        while has_progress:
            has_progress = False
            for pending in lane.candidates():
                choice = self._router.choose(pending, now)
                if isinstance(choice, Wait):
                    yield from self._refresh_state_for(choice, now)
                    continue
                lane.remove(pending)
                has_progress = True
                if isinstance(choice, Refuse):
                    yield from self._refuse(pending, choice.refusal)
                elif isinstance(choice, Dispatch):
                    yield from self._dispatch(pending, choice, now)
                break

    def _refresh_state_for(self, choice: Wait, now: Instant) -> Iterator[Command]:
        for target in choice.probes:
            yield from self._targets.probe(target, now, _MIN_PROBE_INTERVAL_S)
        if choice.needs_refresh:
            yield from self._fleet.refresh_soon(now)

    def _dispatch(self, pending: Pending, choice: Dispatch, now: Instant) -> Iterator[Command]:
        # The key may have been withdrawn while the request waited.
        grant = self._authoriser.check(pending.request, now)
        if isinstance(grant, Refusal):
            yield from self._refuse(pending, grant)
            return
        pending.target = choice.target
        pending.term = choice.term
        pending.dispatched_at = now
        pending.tries += 1
        self._retry_credit = min(self._retry_credit + _RETRY_CREDIT_PER_EXECUTION, _MAX_RETRY_CREDIT)
        self.board.view_of(choice.target).in_flight += 1
        yield self._execute(pending)

    def _execute(self, pending: Pending) -> Execute:
        transaction = pending.request.transaction
        if pending.request.kind is RequestKind.BEGIN:
            transaction = self._transactions.new_id(pending.request.request_id)
        assert pending.target is not None  # noqa: S101
        return Execute(pending.request, pending.target, pending.is_read, transaction, pending.organisation)

    def _on_ended(self, event: ExecutionEnded, now: Instant) -> Iterator[Command]:
        pending = self.board.requests_by_id.get(event.request_id)
        if pending is None or pending.target is None:
            return
        if pending.request.kind in _TRANSACTION_KINDS or pending.request.kind is RequestKind.BEGIN:
            self._transactions.on_ended(pending, event.outcome, now)
        else:
            self._release_connection(pending, now)
        yield from self._handle_outcome(pending, event.outcome, now)
        yield from self._dispatch_group(pending.group, now)

    def _release_connection(self, pending: Pending, now: Instant) -> None:
        if pending.target is None:
            return
        view = self.board.view_of(pending.target)
        view.in_flight = max(view.in_flight - 1, 0)
        if pending.dispatched_at is not None:
            elapsed_s = now - pending.dispatched_at
            view.service_time_s += _SERVICE_TIME_WEIGHT * (elapsed_s - view.service_time_s)

    def _handle_outcome(self, pending: Pending, outcome: Outcome, now: Instant) -> Iterator[Command]:
        if outcome.refusal is not None:
            yield from self._handle_failure(pending, outcome, now)
            return
        is_commit = pending.request.kind in {RequestKind.STATEMENT, RequestKind.BATCH, RequestKind.COMMIT}
        if is_commit and not pending.is_read:
            self._acks.add(pending, outcome, now)
            if pending.target is not None:
                yield from self._targets.probe(pending.target, now)
            return
        yield from self._reply(pending, outcome)

    def _handle_failure(self, pending: Pending, outcome: Outcome, now: Instant) -> Iterator[Command]:
        assert outcome.refusal is not None  # noqa: S101
        is_repeatable = outcome.verdict is Verdict.NOT_RUN or pending.is_read
        is_single = pending.request.kind not in _TRANSACTION_KINDS
        self._record_lost_connection(pending, outcome, now)
        if outcome.is_retryable and is_repeatable and is_single and self._may_retry(pending, now):
            yield from self._fleet.refresh_soon(now)
            if pending.target is not None:
                yield from self._targets.probe(pending.target, now)
            self._queues.add(pending)
            return
        if outcome.verdict is Verdict.MAY_HAVE_RUN and not pending.is_read:
            self._mark_uncertain(pending)
        yield from self._refuse(pending, outcome.refusal)

    def _record_lost_connection(self, pending: Pending, outcome: Outcome, now: Instant) -> None:
        """Mark the target of a lost connection as failing, so that other requests wait instead of being sent there."""
        is_lost = outcome.refusal is not None and outcome.refusal.reason is verdicts.CONNECTION_LOST
        if is_lost and pending.target is not None:
            view = self.board.view_of(pending.target)
            has_newer = view.seen_at is not None and view.seen_at > (pending.dispatched_at or now)
            if view.failing_since is None and not has_newer:
                view.failing_since = pending.dispatched_at

    def _may_retry(self, pending: Pending, now: Instant) -> bool:
        if pending.tries >= _MAX_TRIES or now >= pending.request.deadline:
            return False
        # A retry for a failing target is not sent until the target answers again, so it costs no credit.
        is_target_failing = pending.target is not None and self.board.view_of(pending.target).failing_since is not None
        if not is_target_failing:
            self._retry_credit -= 1
        return is_target_failing or self._retry_credit >= 0

    def _mark_uncertain(self, pending: Pending) -> None:
        last = pending.session.marks.get(pending.group, Mark(pending.term or 0, Position(0)))  # type: ignore[arg-type]
        mark = Mark(last.term, last.position, is_uncertain=True)
        pending.session = pending.session.with_mark(pending.group, mark)

    def _on_target_status(self, event: TargetStatusReceived, now: Instant) -> Iterator[Command]:
        for resolved in self._acks.on_status(event.target, event.status, event.started_at, now):
            yield from self._answer_resolved_write(resolved)
        if event.target in set(self._acks.targets()):
            yield from self._targets.probe(event.target, now, _MIN_PROBE_INTERVAL_S)
        text = self.board.text
        group = text.group_ids_by_target.get(event.target) if text else None
        if group is not None:
            yield from self._dispatch_group(group, now)

    def _answer_resolved_write(self, resolved: ResolvedWrite) -> Iterator[Command]:
        write = resolved.write
        pending = write.pending
        if resolved.verdict is Verdict.RAN and pending.term is not None and write.position is not None:
            pending.session = pending.session.with_mark(pending.group, Mark(pending.term, write.position))
            yield from self._reply(pending, write.outcome)
            return
        self._mark_uncertain(pending)
        detail = f'the write ran at {pending.target!r} in term {pending.term}, but was not confirmed in time'
        yield from self._refuse(pending, Refusal(verdicts.NOT_ACKNOWLEDGED, Verdict.MAY_HAVE_RUN, detail))

    def _on_forwarded(self, event: ForwardEnded, now: Instant) -> Iterator[Command]:
        pending = self.board.requests_by_id.pop(event.request_id, None)
        if pending is None:
            return
        if event.answer is not None:
            yield Reply(dataclasses.replace(event.answer, request_id=event.request_id))
            return
        verdict = Verdict.MAY_HAVE_RUN if event.may_have_run else Verdict.NOT_RUN
        if event.may_have_run and not pending.is_read:
            self._mark_uncertain(pending)
        detail = 'the instance that the request was forwarded to did not answer'
        yield from self._refuse(pending, Refusal(verdicts.PEER_UNREACHABLE, verdict, detail))

    def _on_peer(self, event: PeerMessageReceived, now: Instant) -> Iterator[Command]:
        if isinstance(event.message, LoanAnswer):
            yield from self._resume_charging(now)
        elif isinstance(event.message, Heartbeat) and event.message.record is not None:
            yield from self._dispatch_all_groups(now)

    def _on_record(self, event: Event, now: Instant) -> Iterator[Command]:
        yield from self._dispatch_all_groups(now)

    def _dispatch_all_groups(self, now: Instant) -> Iterator[Command]:
        for group in self._queues.groups():
            yield from self._dispatch_group(group, now)

    def _on_tick(self, event: Tick, now: Instant) -> Iterator[Command]:
        yield from self._resume_charging(now)
        for resolved in self._acks.on_tick(now):
            yield from self._answer_resolved_write(resolved)
        for target in tuple(self._acks.targets()):
            yield from self._targets.probe(target, now)
        for pending, refusal in self._queues.expire(now):
            yield from self._refuse(pending, refusal)
        yield from self._dispatch_all_groups(now)
        for execute in self._transactions.expire(now):
            yield execute

    def _reply(self, pending: Pending, outcome: Outcome) -> Iterator[Command]:
        self.board.requests_by_id.pop(pending.request.request_id, None)
        view = self.board.view_of(pending.target) if pending.target else None
        is_begin = pending.request.kind is RequestKind.BEGIN
        yield Reply(
            Answer(
                request_id=pending.request.request_id,
                token=tokens.encode(pending.session, self.board.secrets[0]),
                results=outcome.results,
                target=pending.target,
                term=pending.term,
                role=view.status.role if view and view.status else None,
                organisation=pending.organisation,
                transaction=self._transactions.new_id(pending.request.request_id) if is_begin else None,
                is_repeat=outcome.is_repeat,
            )
        )

    def _refuse(self, pending: Pending, refusal: Refusal) -> Iterator[Command]:
        self.board.requests_by_id.pop(pending.request.request_id, None)
        token = tokens.encode(pending.session, self.board.secrets[0])
        yield from self._refusal_commands(pending.request.request_id, refusal, pending.organisation, token)

    def _refuse_unadmitted(self, request: Request, refusal: Refusal, grant: Grant | None = None) -> Iterator[Command]:
        organisation = grant.organisation if grant else ''
        yield from self._refusal_commands(request.request_id, refusal, organisation, None)

    def _refusal_commands(
        self, request_id: RequestId, refusal: Refusal, organisation: str, token: str | None
    ) -> Iterator[Command]:
        yield Reply(Answer(request_id, token, refusal=refusal, organisation=organisation))
        details = (('verdict', refusal.verdict.value), ('organisation', organisation))
        yield Incident('request_refused', request_id, f'{refusal.reason.code}: {refusal.detail}', details)
