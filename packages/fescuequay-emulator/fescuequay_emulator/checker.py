"""Checks the guarantees against what callers, targets and the operator observed, and nothing else."""

import collections
import dataclasses
from collections.abc import Iterator
from typing import Final

from fescuequay_core.relay.model import Configuration, Consistency, Route, Statement, StatementKind
from fescuequay_core.types import InstanceId, RequestId, ServiceId, TargetId, Term
from fescuequay_emulator.callers import SentStatement, StatementOutcome
from fescuequay_emulator.origins import Origins
from fescuequay_emulator.targets import Commit, Execution
from fescuequay_emulator.wire import Stream, Wire, ambiguous_answers

#: Window of an organisation's limit, in seconds, and the share and number by which it may be exceeded, as promised to
#: the sites.
_LIMIT_WINDOW_S: Final = 5.0
LIMIT_OVERAGE: Final = 0.1
LIMIT_SLACK: Final = 20

#: Time within which a new configuration must be in force, in seconds.
MAX_APPLY_S: Final = 3.0

#: Time that an instance may need to restore contact after a cut, in seconds, as promised to the sites.
_RECONNECT_S: Final = 4.0

#: Time within which an evacuated data centre must get no more work, in seconds.
_MAX_EVACUATION_S: Final = 5.0

_KINDS_SENT_TO_TARGETS: Final = frozenset(
    (StatementKind.READ, StatementKind.WRITE, StatementKind.EXECUTE, StatementKind.COMMIT)
)


@dataclasses.dataclass(frozen=True, slots=True)
class Violation:
    """A violated guarantee.

    :param promise: Name of the guarantee.
    :param at: Time of the violation; 0 where it has none.
    :param detail: What was observed.
    """

    promise: str
    at: float
    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class PrimaryChange:
    """A promotion that the promoter carried out.

    :param at: When the target became primary.
    :param service: The service.
    :param target: The new primary.
    :param term: Its term.
    :param kept: Its log at that time.
    """

    at: float
    service: ServiceId
    target: TargetId
    term: Term
    kept: tuple[Commit, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class PromotionRequest:
    """A request for a promotion that reached the promoter.

    :param at: When it arrived.
    :param holder: Instance that claimed the coordinator lease.
    :param token: Fencing token of the lease.
    :param target: Target to promote.
    """

    at: float
    holder: InstanceId
    token: int
    target: TargetId


@dataclasses.dataclass(slots=True)
class ObservedEvacuation:
    """An evacuation that the operator requested.

    :param data_centre: The data centre.
    :param at: When the table acknowledged it.
    :param lifted_at: When the operator lifted it.
    """

    data_centre: str
    at: float
    lifted_at: float = float('inf')


class Checker:
    """Records observations; ``violations`` checks them at the end of a run.

    :param wire: Encoding of the callers' messages; nothing if they are handed over as they are.
    """

    def __init__(self, wire: Wire | None = None) -> None:
        self._wire = wire
        self.streams: list[Stream] = []
        self.sent: list[SentStatement] = []
        self.executions: list[Execution] = []
        self.changes: list[PrimaryChange] = []
        self.promotion_requests: list[PromotionRequest] = []
        self.configurations: list[tuple[float, Configuration]] = []
        self.evacuations: list[ObservedEvacuation] = []
        self.data_centres_by_target: dict[TargetId, str] = {}
        #: Begins and ends of times in which the table was disturbed for anybody.
        self.table_disturbances: list[tuple[float, float]] = []
        #: Starts and resumptions of instances.
        self.disturbed: list[tuple[str, float]] = []
        self.cut_off: list[tuple[str, float, float]] = []

    def violations(self, logs_by_service: dict[ServiceId, tuple[Commit, ...]]) -> tuple[Violation, ...]:
        """Check every guarantee.

        :param logs_by_service: Log of each service's primary at the end.
        :returns: The violations found.
        """
        sent_by_request = {sent.request: sent for sent in self.sent}
        checks = (
            self._check_origin(sent_by_request),
            self._check_isolation(sent_by_request),
            self._check_freshness(sent_by_request),
            self._check_replaced_primaries(sent_by_request),
            self._check_effects(logs_by_service),
            self._check_quotas(),
            self._check_withdrawn_keys(sent_by_request),
            self._check_promotion_tokens(),
            self._check_evacuations(),
            (Violation('mixed', 0.0, f'a caller was sent {line!r}') for line in ambiguous_answers(self.streams)),
        )
        return tuple(violation for check in checks for violation in check)

    def _check_origin(self, sent_by_request: dict[RequestId, SentStatement]) -> Iterator[Violation]:
        configurations = [configuration for _, configuration in self.configurations]
        origins = Origins(self.sent, configurations, self.streams, self._wire)
        for execution in self.executions:
            fault = origins.find_fault(execution)
            if fault:
                ran = f'{execution.target} ran {execution.request} {execution.statement.text!r}'
                yield Violation('unasked', execution.at, f'{ran}, sent on by {execution.instance}: {fault}')
                continue
            sent = sent_by_request[execution.request]
            if execution.shape != sent.shape:
                yield Violation(
                    'pinned',
                    execution.at,
                    f'{execution.request} ran shape {execution.shape}, prepared was {sent.shape}',
                )
            elif execution.values != sent.values:
                yield Violation(
                    'pinned', execution.at, f'{execution.request} ran with {execution.values}, set were {sent.values}'
                )

    def _check_isolation(self, sent_by_request: dict[RequestId, SentStatement]) -> Iterator[Violation]:
        """Transactions of callers and of targets must correspond one to one."""
        caller_transactions: dict[tuple[TargetId, int], int] = {}
        for execution in self.executions:
            sent = sent_by_request.get(execution.request)
            if sent is None:
                continue
            if bool(sent.transaction) != bool(execution.transaction):
                yield Violation(
                    'mixed',
                    execution.at,
                    f'{execution.request}: transaction {sent.transaction} ran in {execution.transaction}',
                )
            elif (
                execution.transaction
                and caller_transactions.setdefault((execution.target, execution.transaction), sent.transaction)
                != sent.transaction
            ):
                yield Violation(
                    'mixed', execution.at, f'{execution.request} ran inside the transaction of another caller'
                )
        for sent in self.sent:
            is_sent_to_target = sent.statement.kind in _KINDS_SENT_TO_TARGETS
            if (
                is_sent_to_target
                and sent.outcome is StatementOutcome.SERVED
                and not sent.signature.endswith(f':{sent.request}')
            ):
                yield Violation('mixed', sent.answered_at, f'{sent.request} was answered with {sent.signature!r}')

    def _check_freshness(self, sent_by_request: dict[RequestId, SentStatement]) -> Iterator[Violation]:
        acknowledged = self._acknowledged()
        for execution in self.executions:
            sent = sent_by_request.get(execution.request)
            if sent is None or not _is_read(execution.statement, execution.shape):
                continue
            route = self._route_of(sent)
            if route is None:
                continue
            held = {commit.request for commit in execution.applied}
            lost = self._rolled_back(execution.service)
            for at, session, commit_request in acknowledged.get(execution.service, ()):
                is_own = session == sent.session and route.consistency is Consistency.SESSION
                limit = sent.work_began_at - (0 if is_own else route.staleness_s)
                if at < limit and commit_request not in held and commit_request not in lost:
                    yield Violation(
                        'stale',
                        execution.at,
                        f'{execution.request} at {execution.target} lacked {commit_request} of {at:.3f}',
                    )
                    break

    def _acknowledged(self) -> dict[ServiceId, list[tuple[float, tuple[int, int], RequestId]]]:
        services_by_request = {execution.request: execution.service for execution in self.executions}
        result: dict[ServiceId, list[tuple[float, tuple[int, int], RequestId]]] = collections.defaultdict(list)
        for sent in self.sent:
            if (
                sent.outcome is StatementOutcome.SERVED
                and self._commits_write(sent)
                and sent.request in services_by_request
            ):
                result[services_by_request[sent.request]].append((sent.answered_at, sent.session, sent.request))
        return result

    def _commits_write(self, sent: SentStatement) -> bool:
        if sent.statement.kind is StatementKind.COMMIT:
            return any(
                other.transaction == sent.transaction
                and other.session == sent.session
                and _is_write(other)
                and other.outcome is StatementOutcome.SERVED
                for other in self._statements_of_transaction(sent)
            )
        return _is_write(sent) and not sent.transaction

    def _statements_of_transaction(self, sent: SentStatement) -> list[SentStatement]:
        return [other for other in self.sent if other.session == sent.session and other.transaction == sent.transaction]

    def _rolled_back(self, service: ServiceId) -> frozenset[RequestId]:
        """:returns: Requests whose commits were lost in a change of primary."""
        kept: set[RequestId] = set()
        ran: set[RequestId] = set()
        for change in self.changes:
            if change.service == service:
                kept.update(commit.request for commit in change.kept)
                ran.update(
                    execution.request
                    for execution in self.executions
                    if execution.service == service and execution.at <= change.at
                )
        return frozenset(ran - kept)

    def _check_replaced_primaries(self, sent_by_request: dict[RequestId, SentStatement]) -> Iterator[Violation]:
        """A commit at a target that had already been replaced as primary must not be acknowledged."""
        for change in self.changes:
            for execution in self.executions:
                sent = sent_by_request.get(execution.request)
                is_old = (
                    execution.service == change.service
                    and execution.target != change.target
                    and execution.at > change.at
                )
                later = any(
                    other.service == change.service and change.at < other.at < execution.at for other in self.changes
                )
                if (
                    sent
                    and is_old
                    and not later
                    and sent.outcome is StatementOutcome.SERVED
                    and self._commits_write(sent)
                ):
                    yield Violation(
                        'one',
                        execution.at,
                        f'{execution.request} was committed at {execution.target} after {change.at:.3f}',
                    )

    def _check_effects(self, logs_by_service: dict[ServiceId, tuple[Commit, ...]]) -> Iterator[Violation]:
        not_applied = {sent.request for sent in self.sent if sent.outcome is StatementOutcome.NOT_APPLIED}
        for kept in logs_by_service.values():
            counts = collections.Counter(request for commit in kept for request in commit.writes)
            for request, count in counts.items():
                if count > 1:
                    yield Violation('twice', 0.0, f'{request} took effect {count} times')
                if request in not_applied:
                    yield Violation(
                        'refused', 0.0, f'{request} took effect although its refusal guaranteed that it had not'
                    )

    def _check_evacuations(self) -> Iterator[Violation]:
        """No statement reaches a target of an evacuated data centre after the bound, except from a cut-off instance."""
        for evacuation in self.evacuations:
            for execution in self.executions:
                is_inside = self.data_centres_by_target.get(execution.target) == evacuation.data_centre
                is_evacuated = evacuation.at + _MAX_EVACUATION_S < execution.at < evacuation.lifted_at
                if is_inside and is_evacuated and self._was_in_touch(execution):
                    yield Violation(
                        'evac',
                        execution.at,
                        f'{execution.instance} sent {execution.request} to {execution.target}; '
                        f'{evacuation.data_centre} is evacuated since {evacuation.at:.3f}',
                    )
                    break

    def _check_promotion_tokens(self) -> Iterator[Violation]:
        """A token belongs to one holder, and no request has a lower token than an earlier one."""
        holders_by_token: dict[int, InstanceId] = {}
        newest = 0
        for request in self.promotion_requests:
            holder = holders_by_token.setdefault(request.token, request.holder)
            if holder != request.holder:
                yield Violation(
                    'one', request.at, f'{holder} and {request.holder} requested promotions under token {request.token}'
                )
            if request.token < newest:
                yield Violation(
                    'one',
                    request.at,
                    f'{request.holder} requested a promotion under token {request.token} after {newest}',
                )
            newest = max(newest, request.token)

    def _check_quotas(self) -> Iterator[Violation]:
        if not self.configurations:
            return
        limits = self.configurations[0][1].organisations_by_id
        start_times: dict[str, list[float]] = collections.defaultdict(list)
        operations: set[object] = set()
        for execution in self.executions:
            operation = (execution.target, execution.transaction) if execution.transaction else execution.request
            if operation not in operations:
                operations.add(operation)
                start_times[execution.organisation].append(execution.at)
        for organisation, times in start_times.items():
            policy = limits.get(organisation)
            if policy is None:
                continue
            most = (policy.rate_per_s * _LIMIT_WINDOW_S + policy.burst) * (1 + LIMIT_OVERAGE) + LIMIT_SLACK
            start = 0
            for end, at in enumerate(times):
                while times[start] < at - _LIMIT_WINDOW_S:
                    start += 1
                if end - start + 1 > most:
                    yield Violation(
                        'quota',
                        at,
                        f'{organisation}: {end - start + 1} operations in {_LIMIT_WINDOW_S} s, {most:.0f} allowed',
                    )
                    break

    def _check_withdrawn_keys(self, sent_by_request: dict[RequestId, SentStatement]) -> Iterator[Violation]:
        for execution in self.executions:
            sent = sent_by_request.get(execution.request)
            if sent is None:
                continue
            allowed = [
                configuration
                for at, configuration in self._possible_configurations(sent.sent_at)
                if sent.credential in configuration.organisation_ids_by_credential
            ]
            if not allowed and not self._is_cut_off(execution):
                yield Violation('config', execution.at, f'{execution.request} ran with a key that was withdrawn')

    def _is_cut_off(self, execution: Execution) -> bool:
        """:returns: Whether the instance had no path to the table, in which case no time limit applies to it."""
        return any(
            name == execution.instance and start <= execution.at <= end + _RECONNECT_S
            for name, start, end in self.cut_off
        )

    def _was_in_touch(self, execution: Execution) -> bool:
        """Check whether the instance was bound by times.

        :returns: Whether it had a path to the table and had run for long enough, before a table that was undisturbed.
        """
        is_table_disturbed = any(start <= execution.at <= end + _RECONNECT_S for start, end in self.table_disturbances)
        has_started = any(
            name == execution.instance and at <= execution.at <= at + _RECONNECT_S for name, at in self.disturbed
        )
        return not has_started and not is_table_disturbed and not self._is_cut_off(execution)

    def _possible_configurations(self, at: float) -> list[tuple[float, Configuration]]:
        """:returns: The configurations that may be in force: the last one past its deadline, and all newer ones."""
        older = [entry for entry in self.configurations if entry[0] + MAX_APPLY_S <= at]
        newer = [entry for entry in self.configurations if entry[0] + MAX_APPLY_S > at]
        return [*older[-1:], *newer]

    def _route_of(self, sent: SentStatement) -> Route | None:
        return self.configurations[0][1].routes_by_database.get(sent.database)


def _is_read(statement: Statement, shape: tuple[str, bool] | None) -> bool:
    return statement.kind is StatementKind.READ or (shape is not None and not shape[1])


def _is_write(sent: SentStatement) -> bool:
    return sent.statement.kind is StatementKind.WRITE or (sent.shape is not None and sent.shape[1])
