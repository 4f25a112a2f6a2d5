"""The state of one relaying instance that its controllers read and write."""

import asyncio
import dataclasses
import logging
from collections.abc import Callable, Iterator
from typing import Any, Final

from reactivex.subject import Subject

from fescuequay_core.relay.buckets import Buckets
from fescuequay_core.relay.lease import CoordinatorLease
from fescuequay_core.relay.health import HealthByTarget, TargetHealth
from fescuequay_core.relay.freshness import Samples
from fescuequay_core.relay.history import History
from fescuequay_core.relay.model import Configuration, LeaderRecord, MemberRecord, TargetDescription
from fescuequay_core.relay.permits import Confirmations, Permits
from fescuequay_core.relay.tokenpool import Tolerance
from fescuequay_core.types import InstanceId, Instant, LeaderState, Role, ServiceId, TargetId

_NO_TOLERANCE: Final = Tolerance()

#: Time after the start within which the first answers of the table are expected, in seconds; later callers are better
#: off elsewhere.
_STARTUP_S: Final = 0.4

_log = logging.getLogger('fescuequay')


@dataclasses.dataclass(frozen=True, slots=True)
class InstanceIdentity:
    """Who this instance is.

    :param instance: Its name.
    :param incarnation: Differs after each start.
    :param data_centre: Where it runs.
    :param peer_address: Its peer listener.
    """

    instance: InstanceId
    incarnation: str
    data_centre: str
    peer_address: str


class Board:
    """Shared state; controllers hold no other reference to each other.

    The followers own the configuration and the targets, the peers' exchange the members, and every
    controller may teach the permits a newer record. Changes are announced on ``changes``.

    :param own: Who this instance is.
    :param clock: Steady time that also counts while the machine is suspended, in seconds.
    :param tolerance: By how much a limit may be passed.
    """

    def __init__(
        self, own: InstanceIdentity, clock: Callable[[], Instant], tolerance: Tolerance = _NO_TOLERANCE
    ) -> None:
        self.own = own
        self.tolerance = tolerance
        self.clock = clock
        self._began_at = clock()
        self.configuration: Configuration | None = None
        self.targets_by_id: dict[TargetId, TargetDescription] = {}
        self.has_targets = False
        self.feed_answered_at: dict[str, Instant] = {}
        self.relayed_until: Instant = float('-inf')
        self.members_by_id: dict[InstanceId, MemberRecord] = {}
        # What instances tell each other of the list: a new incarnation at the same address is no news.
        self.members_history: History[InstanceId, MemberRecord] = History()
        self.targets_history: History[TargetId, TargetDescription] = History()
        self.listed: frozenset[tuple[InstanceId, str]] = frozenset()
        self.permits = Permits()
        self.confirmations = Confirmations()
        self.samples = Samples()
        self.health = HealthByTarget()
        self.buckets = Buckets()
        self.lease = CoordinatorLease(own.instance, own.incarnation)
        self.is_stopping = False
        # At a planned stop: what was not sent by then is refused, and what was sent is answered by then.
        self.refuse_by: Instant = float('inf')
        self.answer_by: Instant = float('inf')
        self.changes: Subject[str] = Subject()
        self.in_flight_writes: dict[ServiceId, int] = {}
        # A dict keeps the order in which the waiters came.
        self._waiters: dict[asyncio.Future[None], None] = {}
        self.changes.subscribe(self._on_change)

    def adopt(self, configuration: Configuration, source: str) -> bool:
        """Take over a configuration if it is newer; never go back.

        :param configuration: The configuration, complete.
        :param source: Where it came from.
        :returns: Whether it was newer.
        """
        held = self.configuration.version if self.configuration else -1
        if configuration.version <= held:
            return False
        self.configuration = configuration
        self.buckets.configure(configuration)
        log_event('configuration_adopted', version=configuration.version, earlier=held, source=source)
        self.changes.on_next('configuration')
        return True

    def update_record(
        self, record: LeaderRecord, confirmed_at: Instant, source: str, written_by: Instant | None = None
    ) -> None:
        """Take in a leader record, with a log line when it is news.

        :param record: The record.
        :param confirmed_at: When it was surely the newest.
        :param source: Where it came from.
        :param written_by: A moment by which the table had surely accepted it; left out, now.
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
        """:returns: What the traffic shows about a target."""
        return self.health.of(target.target, target.born_ms)

    def leader(self, service: ServiceId) -> tuple[LeaderRecord, TargetDescription] | None:
        """:returns: The primary that may be used now."""
        record = self.permits.leader(service, self.clock())
        if record is None:
            return None
        target = self.targets_by_id.get(record.target)
        return (record, target) if target is not None and target.service == service else None

    def targets_of(self, service: ServiceId) -> Iterator[TargetDescription]:
        """:returns: The registered targets of a service."""
        return (target for target in self.targets_by_id.values() if target.service == service)

    def read_targets_of(self, service: ServiceId) -> Iterator[tuple[TargetDescription, bool]]:
        """:returns: The targets that may run reads, and whether each leads under a permit now."""
        record = self.permits.record(service)
        leader = self.leader(service)
        for target in self.targets_of(service):
            is_leader = leader is not None and leader[0].target == target.target
            is_named = record is not None and record.target == target.target and record.state is LeaderState.LEADING
            if target.is_draining or (is_named and not is_leader):
                continue
            if not is_leader and target.role is Role.PRIMARY and not is_named:
                continue
            yield target, is_leader

    def is_starting(self) -> bool:
        """:returns: Whether configuration, targets and leaders are on their way for the first time."""
        return self.uptime_s() < _STARTUP_S

    def uptime_s(self) -> float:
        """:returns: Time since the start of this instance."""
        return self.clock() - self._began_at

    async def await_configuration(self) -> None:
        """Wait for the first configuration while it is on its way; a caller is better off than with a refusal."""
        # One expression for the end of the wait: a rounded one that is over for the timer only would never yield.
        until = self._began_at + _STARTUP_S
        while self.configuration is None and self.clock() < until:
            await self.wait_for_change(until - self.clock())

    def may_wait_until(self, until: Instant) -> Instant:
        """:returns: The end of a wait for something that is not sent yet, a planned stop considered."""
        return min(until, self.refuse_by)

    def set_members(self, members_by_id: dict[InstanceId, MemberRecord]) -> None:
        """Take over the list of instances."""
        self.members_by_id = members_by_id
        self.members_history.note(
            {
                member.instance: dataclasses.replace(member, incarnation='', is_leaving=False)
                for member in members_by_id.values()
            }
        )
        self.buckets.set_member_count(self.member_count())

    def is_relayed(self) -> bool:
        """:returns: Whether the coordinator passes on the configuration and the registry, freshly read."""
        return self.clock() < self.relayed_until

    def member_count(self) -> int:
        """:returns: Instances that share limits; at least this one."""
        return max(len(self.members_by_id), 1)

    async def wait_for_change(self, timeout_s: float) -> bool:
        """Wait for the next change of a leader, a configuration or a target.

        :param timeout_s: Longest wait.
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

    def _on_change(self, subject: str) -> None:
        # A wish for tokens changes nothing; operations that wait would wake each other without end.
        if subject != 'demand':
            self._wake()

    def _wake(self) -> None:
        for waiter in tuple(self._waiters):
            if not waiter.done():
                waiter.set_result(None)


def log_event(event: str, *, level: int = logging.INFO, **pairs: Any) -> None:
    """Write one line of key=value pairs.

    :param event: What happened.
    :param level: Level of the line.
    :param pairs: Inputs of the decision, their age or version, and the outcome.
    """
    _log.log(level, event, extra={'pairs': pairs})
