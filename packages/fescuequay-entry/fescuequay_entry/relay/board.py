"""The blackboard: state of an instance that its controllers share."""

import asyncio
import dataclasses
import logging
from collections.abc import Callable, Iterator
from typing import Any, Final

from reactivex.subject import Subject

from fescuequay_core.relay import formats
from fescuequay_core.relay.buckets import Buckets
from fescuequay_core.relay.evacuation import Evacuations
from fescuequay_core.relay.feed_timing import FeedTiming, feed_timing
from fescuequay_core.relay.freshness import Samples
from fescuequay_core.relay.health import HealthByTarget, TargetHealth
from fescuequay_core.relay.history import History
from fescuequay_core.relay.lease import CoordinatorLease
from fescuequay_core.relay.model import Configuration, LeaderRecord, MemberRecord, TargetDescription
from fescuequay_core.relay.pace import PaceByTarget
from fescuequay_core.relay.permits import Confirmations, Permits
from fescuequay_core.relay.registry import Registry
from fescuequay_core.relay.tokenpool import Tolerance
from fescuequay_core.types import InstanceId, Instant, LeaderState, Role, ServiceId, TargetId

_NO_TOLERANCE: Final = Tolerance()

#: Bound of an evacuation where the settings give none, in seconds.
_EVACUATION_S: Final = 5.0

#: Time within which changes must be in force where the settings give none, in seconds.
_CHANGE_S: Final = 5.0

#: Time after the start within which the first answers of the table are expected, in seconds. After that, callers do
#: better at another instance.
_STARTUP_S: Final = 0.4

#: Name of the operators' feed.
OPERATOR_FEED: Final = 'configuration'

_log = logging.getLogger('fescuequay')


@dataclasses.dataclass(frozen=True, slots=True)
class InstanceIdentity:
    """Identity of an instance.

    :param instance: Its name.
    :param incarnation: Identifier of this run; it differs after each start.
    :param data_centre: Data centre in which it runs.
    :param peer_address: Address of its peer listener.
    :param capacity: What it can bear as a gateway, in cores; 0 if it is none.
    """

    instance: InstanceId
    incarnation: str
    data_centre: str
    peer_address: str
    capacity: float = 0.0

    def member_record(self) -> MemberRecord:
        """:returns: Its entry in the list of instances."""
        return MemberRecord(
            self.instance,
            self.incarnation,
            self.peer_address,
            self.data_centre,
            capacity=self.capacity,
            reads=formats.READS,
        )


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationBasis:
    """What an instance knows of the configuration by which it judges a request.

    :param version: Version in force; -1 for none.
    :param source: Where it came from: the table, or a peer with its address.
    :param held_s: Time since this instance adopted it, in seconds.
    :param read_age_s: Time since the operators' row was last read, here or by the coordinator, in seconds.
    """

    version: int
    source: str
    held_s: float
    read_age_s: float

    def pairs(self) -> dict[str, Any]:
        """:returns: The pairs of a log line."""
        return {
            'version': self.version,
            'version_source': self.source,
            'version_held_s': round(self.held_s, 2),
            'read_age_s': round(self.read_age_s, 2),
        }


class Board:
    """State shared by the controllers.

    The followers update the configuration and the targets, the exchange with peers updates the members, and every
    controller may add a newer leader record. Changes are published on ``changes``.

    :param own: Identity of this instance.
    :param clock: Monotonic clock that also counts while the machine is suspended, in seconds.
    :param tolerance: By how much a rate limit may be exceeded.
    :param evacuations: Data centres whose targets get no more work.
    :param change_s: Time within which what operators write must be in force, in seconds.
    """

    def __init__(
        self,
        own: InstanceIdentity,
        clock: Callable[[], Instant],
        tolerance: Tolerance = _NO_TOLERANCE,
        evacuations: Evacuations | None = None,
        change_s: float = _CHANGE_S,
    ) -> None:
        self.own = own
        self.tolerance = tolerance
        self.clock = clock
        self._timing = feed_timing(change_s)
        self._began_at = clock()
        self.configuration: Configuration | None = None
        self._configuration_source = '-'
        self._configuration_adopted_at = self._began_at
        self.targets_by_id = Registry()
        self.has_targets = False
        self.evacuations = evacuations or Evacuations(_EVACUATION_S)
        self.feed_answered_at: dict[str, Instant] = {}
        # A time at which the operators' row was certainly read, by this instance or by the coordinator.
        self._operators_read_at: Instant = self._began_at
        self.relayed_until: Instant = float('-inf')
        self.members_by_id: dict[InstanceId, MemberRecord] = {}
        # The list as instances send it to each other; a new incarnation at the same address is not a change.
        self.members_history: History[InstanceId, MemberRecord] = History(formats.MEMBER_FORMATS)
        self.targets_history: History[TargetId, TargetDescription] = History(formats.TARGET_FORMATS)
        self.listed: frozenset[tuple[InstanceId, str]] = frozenset()
        self.permits = Permits()
        self.confirmations = Confirmations()
        self.samples = Samples()
        self.health = HealthByTarget()
        self._paces = PaceByTarget()
        self.buckets = Buckets()
        self.lease = CoordinatorLease(own.instance, own.incarnation)
        self.is_stopping = False
        # Deadlines of a planned stop: for refusing what has not been sent, and for answering what has.
        self.refuse_by: Instant = float('inf')
        self.answer_by: Instant = float('inf')
        self.changes: Subject[str] = Subject()
        self.in_flight_writes: dict[ServiceId, int] = {}
        # A dict, because it keeps the waiters in order of arrival.
        self._waiters: dict[asyncio.Future[None], None] = {}
        self.changes.subscribe(self._on_change)

    @property
    def paces(self) -> PaceByTarget:
        """:returns: Paces of the targets whose connections this instance holds for others."""
        return self._paces

    @property
    def feed_timing(self) -> FeedTiming:
        """:returns: Times of the feeds."""
        return self._timing

    def adopt(self, configuration: Configuration, source: str) -> bool:
        """Adopt a configuration if it is newer than the present one.

        :param configuration: The complete configuration.
        :param source: Where it came from, for the log.
        :returns: Whether it was newer.
        """
        held = self.configuration.version if self.configuration else -1
        if configuration.version <= held:
            return False
        now = self.clock()
        self.configuration = configuration
        self._configuration_source = source
        self._configuration_adopted_at = now
        self.buckets.configure(configuration)
        log_event(
            'configuration_adopted',
            version=configuration.version,
            earlier=held,
            source=source,
            read_age_s=round(now - self._operators_read_at, 2),
        )
        self.changes.on_next('configuration')
        return True

    def configuration_basis(self) -> ConfigurationBasis:
        """:returns: By which configuration a request is judged now, and how recent that is."""
        now = self.clock()
        return ConfigurationBasis(
            self.configuration.version if self.configuration else -1,
            self._configuration_source,
            now - self._configuration_adopted_at,
            now - self._operators_read_at,
        )

    def record_feed_answer(self, feed: str) -> None:
        """Record that a feed has answered this instance, with or without changes."""
        self.feed_answered_at[feed] = self.clock()
        if feed == OPERATOR_FEED:
            self.record_operators_reading(self.clock())

    def record_operators_reading(self, at: Instant) -> None:
        """Record when the operators' row was certainly read; what it had that is newer may still be on its way here."""
        self._operators_read_at = max(self._operators_read_at, at)

    def update_record(
        self, record: LeaderRecord, confirmed_at: Instant, source: str, written_by: Instant | None = None
    ) -> None:
        """Apply a leader record, and log it if it is newer than the known one.

        :param record: The record.
        :param confirmed_at: A time at which it was certainly the newest.
        :param source: Where it came from, for the log.
        :param written_by: A time by which the table had certainly accepted it; by default, now.
        """
        if self.permits.observe(record, confirmed_at, self.clock() if written_by is None else written_by):
            log_event(
                'leader_learnt',
                service=record.service,
                term=record.term,
                target=record.target,
                state=record.state.value,
                version=record.version,
                age_s=round(self.clock() - confirmed_at, 3),
                source=source,
            )
            self.changes.on_next('leader')

    def health_of(self, target: TargetDescription) -> TargetHealth:
        """:returns: The health of a target, as seen in this instance's traffic."""
        return self.health.of(target.target, target.born_ms)

    def leader(self, service: ServiceId) -> tuple[LeaderRecord, TargetDescription] | None:
        """:returns: The primary for which this instance holds a permit now, with its leader record."""
        record = self.permits.leader(service, self.clock())
        if record is None:
            return None
        target = self.targets_by_id.get(record.target)
        if target is None or target.service != service or self.is_closed(target):
            return None
        return record, target

    def is_closed(self, target: TargetDescription) -> bool:
        """:returns: Whether a target gets no more work, because its data centre is evacuated."""
        return self.evacuations.is_closed(target.data_centre, self.clock())

    def targets_of(self, service: ServiceId) -> Iterator[TargetDescription]:
        """:returns: The registered targets of a service."""
        return self.targets_by_id.of_service(service)

    def read_targets_of(self, service: ServiceId) -> Iterator[tuple[TargetDescription, bool]]:
        """:returns: The targets that may run reads, and for each whether it is the primary under a valid permit."""
        record = self.permits.record(service)
        leader = self.leader(service)
        for target in self.targets_of(service):
            is_leader = leader is not None and leader[0].target == target.target
            is_named = record is not None and record.target == target.target and record.state is LeaderState.LEADING
            if target.is_draining:
                continue
            if is_leader or not (is_named or target.role is Role.PRIMARY or self._is_evacuated(target)):
                yield target, is_leader

    def is_starting(self) -> bool:
        """:returns: Whether the first configuration, targets and leader records are still expected."""
        return self.uptime_s() < _STARTUP_S

    def uptime_s(self) -> float:
        """:returns: Seconds since the start of this instance."""
        return self.clock() - self._began_at

    async def await_configuration(self) -> None:
        """Wait for the first configuration while it is expected, since a short wait is better than a refusal."""
        # The condition and the timeout use the same deadline. If rounding made them differ, the loop could spin
        # without ever yielding.
        until = self._began_at + _STARTUP_S
        while self.configuration is None and self.clock() < until:
            await self.wait_for_change(until - self.clock())

    def may_wait_until(self, until: Instant) -> Instant:
        """:returns: The deadline of a wait before sending, capped by a planned stop."""
        return min(until, self.refuse_by)

    def set_members(self, members_by_id: dict[InstanceId, MemberRecord]) -> None:
        """Replace the list of instances."""
        self.members_by_id = members_by_id
        self.members_history.record(
            {
                member.instance: dataclasses.replace(member, incarnation='', is_leaving=False)
                for member in members_by_id.values()
            }
        )
        self.buckets.set_member_count(self.member_count())

    def record_targets(self) -> None:
        """Record the registry as the present state of its history."""
        self.targets_history.record(self.targets_by_id.get_all())

    def rely_on_coordinator(self, read_at: Instant, until: Instant) -> None:
        """Rely on the coordinator's readings of the feeds.

        :param read_at: When it had last read both.
        :param until: When its answer is too old to show that it goes on.
        """
        self.relayed_until = min(until, read_at + self._timing.max_age_s)

    def is_relayed(self) -> bool:
        """:returns: Whether the coordinator relays the configuration and the registry from recent reads."""
        return self.clock() < self.relayed_until

    def member_count(self) -> int:
        """:returns: Number of instances that share the limits, at least 1."""
        return max(len(self.members_by_id), 1)

    async def wait_for_change(self, timeout_s: float) -> bool:
        """Wait for the next change other than new demand for tokens.

        :param timeout_s: Maximum wait.
        :returns: Whether something changed.
        """
        if timeout_s <= 0:
            return False
        waiter = asyncio.get_running_loop().create_future()
        self._waiters[waiter] = None
        try:
            await asyncio.wait_for(waiter, timeout_s)
        except TimeoutError:
            return False
        finally:
            self._waiters.pop(waiter, None)
        return True

    def _is_evacuated(self, target: TargetDescription) -> bool:
        return self.evacuations.includes(target.data_centre)

    def _on_change(self, subject: str) -> None:
        # Demand for tokens wakes no waiter, since waiting operations would wake each other in an endless loop.
        if subject != 'demand':
            self._wake()

    def _wake(self) -> None:
        for waiter in tuple(self._waiters):
            if not waiter.done():
                waiter.set_result(None)


def log_event(event: str, *, level: int = logging.INFO, **pairs: Any) -> None:
    """Log an event as one line of key=value pairs.

    :param event: Name of the event.
    :param level: Log level.
    :param pairs: Inputs of the decision, their age or version, and the outcome.
    """
    _log.log(level, event, extra={'pairs': pairs})
