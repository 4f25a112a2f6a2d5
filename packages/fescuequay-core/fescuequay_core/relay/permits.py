"""Permits: time-limited leases on using a primary, granted by confirming its leader record."""

import dataclasses
from collections.abc import Iterable
from typing import Final

from fescuequay_core.relay.history import History
from fescuequay_core.relay.model import LeaderRecord, MemberRecord
from fescuequay_core.types import InstanceId, Instant, LeaderState, ServiceId

#: Time for which an instance acts on a confirmed record, in seconds. A silent instance delays a failover until this
#: long after its last confirmation. It is longer than another coordinator needs to take over from a dead one.
PERMIT_S: Final = 2.4

#: Time beyond a permit that a promoter waits, in seconds: two monotonic clocks drift apart by far less in 4 s.
PERMIT_MARGIN_S: Final = 0.1


@dataclasses.dataclass(slots=True)
class _Permit:
    record: LeaderRecord
    confirmed_at: Instant
    written_by: Instant


class Permits:
    """Newest leader record of each service and when it was last known to be the newest.

    A confirmation is dated from before the read that gave it began, by this instance or by the peer that
    relays it, so that a promoter that waits for ``PERMIT_S`` after the table accepted the closing record has
    waited until every permit of an earlier record has expired. ``Confirmations`` may shorten that wait.
    """

    def __init__(self) -> None:
        self._permits_by_service: dict[ServiceId, _Permit] = {}
        self._history: History[ServiceId, LeaderRecord] = History()

    def __len__(self) -> int:
        """:returns: Number of services of which a record is known."""
        return len(self._permits_by_service)

    def observe(self, record: LeaderRecord, confirmed_at: Instant, written_by: Instant) -> bool:
        """Update the view from a record.

        :param record: The record; an older version than the known one is ignored.
        :param confirmed_at: When it was certainly still the newest.
        :param written_by: Time by which the table had certainly accepted it.
        :returns: Whether it replaced another version.
        """
        known = self._permits_by_service.get(record.service)
        if known is not None and record.version < known.record.version:
            return False
        if known is not None and record.version == known.record.version:
            known.confirmed_at = max(known.confirmed_at, confirmed_at)
            return False
        self._permits_by_service[record.service] = _Permit(record, confirmed_at, written_by)
        return True

    def confirm(self, records: Iterable[LeaderRecord], confirmed_at: Instant) -> None:
        """Confirm several records that were the newest ones at one time.

        :param records: The records.
        :param confirmed_at: That time.
        """
        for record in records:
            self.observe(record, confirmed_at, confirmed_at)

    def revoke_all(self) -> None:
        """Revoke every permit until its record is confirmed again."""
        for permit in self._permits_by_service.values():
            permit.confirmed_at = float('-inf')

    def leader(self, service: ServiceId, now: Instant) -> LeaderRecord | None:
        """:returns: The record under which the service's primary may be used now."""
        permit = self._permits_by_service.get(service)
        if permit is None or permit.record.state is not LeaderState.LEADING:
            return None
        return permit.record if now - permit.confirmed_at < PERMIT_S else None

    def was_in_force(self, record: LeaderRecord, at: Instant) -> bool:
        """Check whether this instance held a permit under a record at a past time, so that nobody else led then.

        :param record: The record under which the primary was used.
        :param at: That time. A later confirmation of the same record proves that it was in force before, too.
        :returns: Whether that is certain.
        """
        permit = self._permits_by_service.get(record.service)
        if permit is None or permit.record.version != record.version or record.state is not LeaderState.LEADING:
            return False
        return at - permit.confirmed_at < PERMIT_S

    def record(self, service: ServiceId) -> LeaderRecord | None:
        """:returns: The newest known record, whether or not it may be acted on."""
        permit = self._permits_by_service.get(service)
        return permit.record if permit else None

    def written_by(self, record: LeaderRecord) -> Instant:
        """:returns: Time by which the table had certainly accepted a record; infinite when it is not the newest."""
        permit = self._permits_by_service.get(record.service)
        if permit is None or permit.record.version != record.version:
            return float('inf')
        return permit.written_by

    def records(self) -> tuple[LeaderRecord, ...]:
        """:returns: The newest known record of every service."""
        return tuple(permit.record for permit in self._permits_by_service.values())

    def digest(self) -> str:
        """:returns: Short digest of the newest known records."""
        self._record_history()
        return self._history.digest

    def since(self, digest: str) -> tuple[LeaderRecord, ...] | None:
        """Find what another instance lacks to know what this one knows.

        :param digest: Digest of the records that it knows.
        :returns: The records that it lacks, all its others being the same; nothing if it has to be sent all.
        """
        self._record_history()
        difference = self._history.since(digest)
        if difference is None:
            return () if self._permits_by_service else None
        return None if difference.is_whole or difference.removed else difference.changed

    def age_s(self, service: ServiceId, now: Instant) -> float:
        """:returns: Age of the latest confirmation of a service's record; infinite when none is known."""
        permit = self._permits_by_service.get(service)
        return float('inf') if permit is None else now - permit.confirmed_at

    def oldest_age_s(self, now: Instant) -> float:
        """:returns: Age of the oldest confirmation; infinite when nothing is known."""
        ages = [now - permit.confirmed_at for permit in self._permits_by_service.values()]
        return max(ages, default=float('inf'))

    def _record_history(self) -> None:
        self._history.record({service: permit.record for service, permit in self._permits_by_service.items()})


class Confirmations:
    """Dates of the latest confirmations that other instances can have, which bound when their permits expire.

    Other instances get confirmations from the coordinator, or from their own read of the table, which is dated from
    their registration before it. Those of an earlier coordinator are dated from before its lease ended.
    """

    def __init__(self) -> None:
        self._earlier_coordinator_until: Instant = float('inf')
        self._sent_at_by_instance: dict[InstanceId, Instant] = {}
        self._rows_by_instance: dict[InstanceId, tuple[int, Instant]] = {}

    def begin(self, earlier_until: Instant) -> None:
        """Start recording as the new coordinator.

        :param earlier_until: Latest date that an earlier coordinator may have given to a confirmation: when the
            table had certainly given the lease to this instance, or the end of the earlier lease.
        """
        self._earlier_coordinator_until = earlier_until
        self._sent_at_by_instance.clear()

    def record_sent(self, instance: InstanceId, confirmed_at: Instant) -> None:
        """Record a confirmation that was sent to an instance.

        :param instance: The instance.
        :param confirmed_at: Its date.
        """
        self._sent_at_by_instance[instance] = max(self._sent_at_by_instance.get(instance, confirmed_at), confirmed_at)

    def record_row(self, instance: InstanceId, version: int, written_by: Instant) -> None:
        """Record the version of an instance's row; each registration changes it.

        :param instance: The instance.
        :param version: Version of its row when read.
        :param written_by: Time by which it was certainly written.
        """
        if self._rows_by_instance.get(instance, (-1,))[0] != version:
            self._rows_by_instance[instance] = (version, written_by)

    def latest(self, member: MemberRecord) -> Instant:
        """Return the date of the latest confirmation that an instance can have.

        :param member: The instance, as last read from the table.
        :returns: The date; infinite when this instance never coordinated or the row was never read.
        """
        _, registered_at = self._rows_by_instance.get(member.instance, (-1, float('inf')))
        sent_at = self._sent_at_by_instance.get(member.instance, float('-inf'))
        return max(self._earlier_coordinator_until, registered_at, sent_at)
