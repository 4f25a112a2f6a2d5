"""Checks the promises from what callers, targets and the operator saw, and from nothing else."""

import collections
import dataclasses
from collections.abc import Iterator
from typing import Final

from fescuequay_core.relay.model import Configuration, Consistency, Route, Statement, StatementKind
from fescuequay_core.types import InstanceId, RequestId, ServiceId, TargetId, Term
from fescuequay_emulator.callers import Sent, Told
from fescuequay_emulator.targets import Commit, Run

#: Window of an organisation's limit, share and number by which it may be passed; as the sites' pages state them.
_WINDOW_S: Final = 5.0
OVERAGE: Final = 0.1
SLACK: Final = 20

#: Time within which a configuration must be in force, in seconds.
_APPLY_S: Final = 3.0

#: Time after a cut in which an instance is not yet in touch, in seconds; as the sites' pages state it.
_TOUCH_S: Final = 4.0

_SEEN_BY_TARGETS: Final = frozenset(
    (StatementKind.READ, StatementKind.WRITE, StatementKind.EXECUTE, StatementKind.COMMIT)
)


@dataclasses.dataclass(frozen=True, slots=True)
class Broken:
    """A promise that was not kept.

    :param promise: Its name.
    :param at: When.
    :param detail: What was seen.
    """

    promise: str
    at: float
    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """A change of primary as the promoter carried it out.

    :param at: When the new primary led.
    :param service: The service.
    :param target: The new primary.
    :param term: Its term.
    :param kept: Its log then.
    """

    at: float
    service: ServiceId
    target: TargetId
    term: Term
    kept: tuple[Commit, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """A call that reached the promoter.

    :param at: When.
    :param holder: Who said that it coordinates.
    :param token: Its token.
    :param target: The target that is to lead.
    """

    at: float
    holder: InstanceId
    token: int
    target: TargetId


class Judge:
    """Collects what was seen; ``findings`` checks it at the end."""

    def __init__(self) -> None:
        self.sent: list[Sent] = []
        self.runs: list[Run] = []
        self.changes: list[Change] = []
        self.orders: list[Order] = []
        self.configurations: list[tuple[float, Configuration]] = []
        self.cut_off: list[tuple[str, float, float]] = []

    def findings(self, kept_by_service: dict[ServiceId, tuple[Commit, ...]]) -> tuple[Broken, ...]:
        """Check every promise.

        :param kept_by_service: Log of each service's primary at the end.
        :returns: What was broken.
        """
        sent_by_request = {sent.request: sent for sent in self.sent}
        checks = (
            self._unasked(sent_by_request),
            self._mixed(sent_by_request),
            self._stale(sent_by_request),
            self._replaced(sent_by_request),
            self._twice_or_refused(kept_by_service),
            self._quota(),
            self._withdrawn(sent_by_request),
            self._ordered_twice(),
        )
        return tuple(broken for check in checks for broken in check)

    def _unasked(self, sent_by_request: dict[RequestId, Sent]) -> Iterator[Broken]:
        for run in self.runs:
            sent = sent_by_request.get(run.request)
            if sent is None or (run.statement.text != sent.statement.text and run.shape is None):
                yield Broken('unasked', run.at, f'{run.target} ran {run.request} {run.statement.text}')
            elif run.shape != sent.shape:
                yield Broken('pinned', run.at, f'{run.request} ran shape {run.shape}, prepared was {sent.shape}')
            elif run.values != sent.values:
                yield Broken('pinned', run.at, f'{run.request} ran with {run.values}, set were {sent.values}')

    def _mixed(self, sent_by_request: dict[RequestId, Sent]) -> Iterator[Broken]:
        """Transactions of callers and of targets must match one to one."""
        ends: dict[tuple[TargetId, int], int] = {}
        for run in self.runs:
            sent = sent_by_request.get(run.request)
            if sent is None:
                continue
            if bool(sent.transaction) != bool(run.transaction):
                yield Broken('mixed', run.at, f'{run.request}: transaction {sent.transaction} ran in {run.transaction}')
            elif (
                run.transaction and ends.setdefault((run.target, run.transaction), sent.transaction) != sent.transaction
            ):
                yield Broken('mixed', run.at, f'{run.request} ran inside the transaction of another caller')
        for sent in self.sent:
            is_seen = sent.statement.kind in _SEEN_BY_TARGETS
            if is_seen and sent.told is Told.SERVED and not sent.signature.endswith(f':{sent.request}'):
                yield Broken('mixed', sent.told_at, f'{sent.request} was answered with {sent.signature!r}')

    def _stale(self, sent_by_request: dict[RequestId, Sent]) -> Iterator[Broken]:
        acknowledged = self._acknowledged()
        for run in self.runs:
            sent = sent_by_request.get(run.request)
            if sent is None or not _reads(run.statement, run.shape):
                continue
            route = self._route_of(sent)
            if route is None:
                continue
            held = {commit.request for commit in run.applied}
            lost = self._rolled_back(run.service)
            for at, session, commit_request in acknowledged.get(run.service, ()):
                is_own = session == sent.session and route.consistency is Consistency.SESSION
                limit = sent.work_at - (0 if is_own else route.staleness_s)
                if at < limit and commit_request not in held and commit_request not in lost:
                    yield Broken('stale', run.at, f'{run.request} at {run.target} lacked {commit_request} of {at:.3f}')
                    break

    def _acknowledged(self) -> dict[ServiceId, list[tuple[float, tuple[int, int], RequestId]]]:
        services_by_request = {run.request: run.service for run in self.runs}
        result: dict[ServiceId, list[tuple[float, tuple[int, int], RequestId]]] = collections.defaultdict(list)
        for sent in self.sent:
            if sent.told is Told.SERVED and self._writes(sent) and sent.request in services_by_request:
                result[services_by_request[sent.request]].append((sent.told_at, sent.session, sent.request))
        return result

    def _writes(self, sent: Sent) -> bool:
        if sent.statement.kind is StatementKind.COMMIT:
            return any(
                other.transaction == sent.transaction
                and other.session == sent.session
                and _is_write(other)
                and other.told is Told.SERVED
                for other in self._sent_in(sent)
            )
        return _is_write(sent) and not sent.transaction

    def _sent_in(self, sent: Sent) -> list[Sent]:
        return [other for other in self.sent if other.session == sent.session and other.transaction == sent.transaction]

    def _rolled_back(self, service: ServiceId) -> frozenset[RequestId]:
        """:returns: Requests whose commits a change of primary cut off."""
        kept: set[RequestId] = set()
        ran: set[RequestId] = set()
        for change in self.changes:
            if change.service == service:
                kept.update(commit.request for commit in change.kept)
                ran.update(run.request for run in self.runs if run.service == service and run.at <= change.at)
        return frozenset(ran - kept)

    def _replaced(self, sent_by_request: dict[RequestId, Sent]) -> Iterator[Broken]:
        """No commit at a target that was replaced before may be acknowledged."""
        for change in self.changes:
            for run in self.runs:
                sent = sent_by_request.get(run.request)
                is_old = run.service == change.service and run.target != change.target and run.at > change.at
                later = any(other.service == change.service and change.at < other.at < run.at for other in self.changes)
                if sent and is_old and not later and sent.told is Told.SERVED and self._writes(sent):
                    yield Broken('one', run.at, f'{run.request} was committed at {run.target} after {change.at:.3f}')

    def _twice_or_refused(self, kept_by_service: dict[ServiceId, tuple[Commit, ...]]) -> Iterator[Broken]:
        promised = {sent.request for sent in self.sent if sent.told is Told.PROMISED}
        for kept in kept_by_service.values():
            counts = collections.Counter(request for commit in kept for request in commit.writes)
            for request, count in counts.items():
                if count > 1:
                    yield Broken('twice', 0.0, f'{request} took effect {count} times')
                if request in promised:
                    yield Broken('refused', 0.0, f'{request} took effect though nothing was to be kept')

    def _ordered_twice(self) -> Iterator[Broken]:
        """A token names one holder, and no order comes under a lower token than an earlier one."""
        holders_by_token: dict[int, InstanceId] = {}
        newest = 0
        for order in self.orders:
            holder = holders_by_token.setdefault(order.token, order.holder)
            if holder != order.holder:
                yield Broken('one', order.at, f'{holder} and {order.holder} gave orders under token {order.token}')
            if order.token < newest:
                yield Broken('one', order.at, f'{order.holder} gave an order under token {order.token} after {newest}')
            newest = max(newest, order.token)

    def _quota(self) -> Iterator[Broken]:
        if not self.configurations:
            return
        limits = self.configurations[0][1].organisations_by_id
        firsts: dict[str, list[float]] = collections.defaultdict(list)
        operations: set[object] = set()
        for run in self.runs:
            operation = (run.target, run.transaction) if run.transaction else run.request
            if operation not in operations:
                operations.add(operation)
                firsts[run.organisation].append(run.at)
        for organisation, times in firsts.items():
            policy = limits.get(organisation)
            if policy is None:
                continue
            most = (policy.rate_per_s * _WINDOW_S + policy.burst) * (1 + OVERAGE) + SLACK
            start = 0
            for end, at in enumerate(times):
                while times[start] < at - _WINDOW_S:
                    start += 1
                if end - start + 1 > most:
                    yield Broken(
                        'quota',
                        at,
                        f'{organisation}: {end - start + 1} operations in {_WINDOW_S} s, {most:.0f} allowed',
                    )
                    break

    def _withdrawn(self, sent_by_request: dict[RequestId, Sent]) -> Iterator[Broken]:
        for run in self.runs:
            sent = sent_by_request.get(run.request)
            if sent is None:
                continue
            allowed = [
                configuration
                for at, configuration in self._in_force(sent.at)
                if sent.credential in configuration.organisation_ids_by_credential
            ]
            if not allowed and not self._is_cut_off(run):
                yield Broken('config', run.at, f'{run.request} ran with a key that was withdrawn')

    def _is_cut_off(self, run: Run) -> bool:
        """:returns: Whether the instance had no path to the table, so that no time bound holds for it."""
        return any(name == run.instance and start <= run.at <= end + _TOUCH_S for name, start, end in self.cut_off)

    def _in_force(self, at: float) -> list[tuple[float, Configuration]]:
        """:returns: The configurations that may be in force at a moment."""
        older = [entry for entry in self.configurations if entry[0] + _APPLY_S <= at]
        newer = [entry for entry in self.configurations if entry[0] + _APPLY_S > at]
        return [*older[-1:], *newer]

    def _route_of(self, sent: Sent) -> Route | None:
        return self.configurations[0][1].routes_by_database.get(sent.database)


def _reads(statement: Statement, shape: tuple[str, bool] | None) -> bool:
    return statement.kind is StatementKind.READ or (shape is not None and not shape[1])


def _is_write(sent: Sent) -> bool:
    return sent.statement.kind is StatementKind.WRITE or (sent.shape is not None and sent.shape[1])
