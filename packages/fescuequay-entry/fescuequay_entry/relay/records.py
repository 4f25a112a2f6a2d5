"""The system's own rows in the table: the coordinator lease, leader records and instances."""

import asyncio
import dataclasses
import secrets
from collections.abc import Iterable, Mapping

import msgspec

from fescuequay_core.relay import eras
from fescuequay_core.relay.model import LeaderRecord, LeaseRecord, MemberRecord
from fescuequay_core.relay.permits import PERMIT_MARGIN_S, PERMIT_S
from fescuequay_core.relay.tableclock import ReadingDates, TableClock
from fescuequay_core.types import Era, InstanceId, Instant
from fescuequay_entry.relay.board import Board, log_event
from fescuequay_entry.relay.era_table import EraTable
from fescuequay_entry.relay.ports import CommitResult, Table, TableError, TableRow
from fescuequay_entry.relay.table_rows import (
    LEADER_PREFIX,
    LEASE_KEY,
    MAX_BATCH_ROWS,
    MEMBER_PREFIX,
    Rows,
    lease_of,
    rows_of_new_era,
    split_batch,
    with_version,
)


class DutyLost(Exception):
    """Another instance has taken the lease."""


class Records:
    """Reads and writes the system's rows and updates the blackboard with what it reads.

    :param board: The blackboard.
    :param table: The table.
    """

    def __init__(self, board: Board, table: Table) -> None:
        self._board = board
        self._table = EraTable(board, table)
        self._lock = asyncio.Lock()
        self._row_versions_by_member: dict[InstanceId, int] = {}
        self._leaving_since: dict[InstanceId, tuple[int, Instant]] = {}
        # Version of the lease row as of which every leader record is known here.
        self._complete_lease_version = -1
        self._registered_at: Instant = float('-inf')
        self._clock = TableClock()
        #: When the lease of the previous holder had expired, if this instance has taken the lease over.
        self.previous_lease_until: Instant = float('inf')
        # Start of the earliest write with an unknown outcome that changes more than the lease row.
        self._unresolved_write_at: Instant = float('inf')
        self._leaders_left: tuple[LeaderRecord, ...] = ()
        self._leftover_keys: tuple[str, ...] = ()
        self._clock_era = board.lease.era

    async def read(self) -> None:
        """Read all rows and update the blackboard. :raises TableError: The table did not answer."""
        board = self._board
        began_at = board.clock()
        reading = await self._table.read()
        self._record_clock(reading.at_s, began_at)
        rows = Rows.decode(reading.rows)
        self._leaders_left = tuple(Rows.decode(reading.earlier_rows).leaders)
        self._leftover_keys = reading.leftover_keys
        if rows.lease is None and board.lease.holds(board.clock()):
            # The holder of the earlier era knows more than the table, and settles the new one from that.
            return
        dates = ReadingDates(rows.lease, reading.at_s, board.clock())
        for instance, version in rows.versions_by_member.items():
            self._row_versions_by_member[instance] = version
            board.confirmations.record_row(instance, version, dates.written_by(version))
        members = rows.members_by_id
        lease_version = rows.lease.version if rows.lease else eras.stamp_of(board.lease.era or Era(0), 0)
        if lease_version >= self._complete_lease_version:
            # A read that was overtaken by a newer read or a write would list instances marked as leaving since then.
            self._complete_lease_version = lease_version
            self._update_listed(members.values())
        # A promoter sees when this instance's row was written, but not when it read the table. So the confirmation
        # dates from the registration: an instance that is not, or no longer, listed has no permit left once promoters
        # stop asking it.
        for leader in rows.leaders:
            board.update_record(leader, self._registered_at, 'table', dates.written_by(leader.version))
        board.lease.observe(rows.lease.record() if rows.lease else None, dates.begun_by(), board.clock())
        if rows.lease is not None:
            self._clock.record_settlement(rows.lease.settled_by_s)
            board.lease.date_settlement(dates.settled_by())
        self.replace_members(members.values())

    def replace_members(self, members: Iterable[MemberRecord]) -> None:
        """Replace the list of instances."""
        board = self._board
        fresh = {member.instance: member for member in members}
        if fresh != board.members_by_id:
            log_event('members', count=len(fresh), earlier=len(board.members_by_id))
            board.set_members(fresh)

    async def register(self) -> None:
        """Write this instance's row. :raises TableError: The row may not have been written."""
        own = self._board.own
        began_at = self._board.clock()
        member = own.member_record()
        written = await self._table.commit({}, {MEMBER_PREFIX + own.instance: msgspec.json.encode(member)})
        self._row_versions_by_member[own.instance] = written.version
        self._registered_at = began_at

    async def leave(self) -> None:
        """Remove this instance's row, unless its next incarnation has registered in the meantime.

        :raises TableError: The row may still exist.
        """
        own = self._board.own.instance
        if own not in self._row_versions_by_member:
            return
        if not self._board.lease.is_present(self._row_versions_by_member[own]):
            await self.read()
        if self._board.lease.is_present(self._row_versions_by_member[own]):
            await self._table.commit(self._row_conditions([own]), {}, [MEMBER_PREFIX + own])

    async def acquire_lease(self) -> bool:
        """Acquire the coordinator lease; in an era that has none yet, carry over what is known of the earlier ones.

        :returns: Whether this instance holds the lease now.
        :raises TableError: The outcome is unknown; the lease may have been acquired.
        """
        lease = self._board.lease
        known = lease.record if lease.is_settled() else None
        began_at = self._board.clock()
        # Dates an earlier holder's confirmations; one of an earlier era may have renewed its lease without being seen.
        expires_at = lease.expires_at() if known else float('inf')
        self._renew_clock()
        if not known:
            self._clock.record_settlement(self._clock.at_s(began_at))
            # Until the outcome is known, nothing is confirmed beyond the settlement either.
            self._unresolved_write_at = min(self._unresolved_write_at, began_at)
        record = self._clock.date(
            LeaseRecord(
                lease.instance,
                lease.incarnation,
                self._board.own.peer_address,
                lease.next_token(),
                secrets.token_hex(4),
            ),
            began_at,
        )
        is_complete = lease.record is not None and lease.record.version == self._complete_lease_version
        is_holder = lease.holds(began_at) and is_complete
        rows = {} if known else rows_of_new_era(self._board, self._leaders_left, began_at, is_holder=is_holder)
        first, later = split_batch(rows)
        taken = await self._table.commit(
            {LEASE_KEY: known.version if known else 0}, {**first, LEASE_KEY: msgspec.json.encode(record)}
        )
        if not taken.is_accepted:
            row = taken.rows_by_key.get(LEASE_KEY)
            lease.observe(lease_of(row), self._board.clock(), self._board.clock())
            return False
        self._unresolved_write_at = float('inf')
        self.previous_lease_until = expires_at
        lease.record_renewal(with_version(record, taken.version).record(), began_at, self._board.clock())
        log_event('duty_taken', token=record.token, earlier=known.instance if known else '-')
        if not known:
            lease.date_settlement(began_at)
            self._complete_lease_version = taken.version
            self._board.listed = frozenset()
            self._leaving_since = {}
            self._adopt_carried(first, taken.version, began_at)
            await self._carry_over(later)
        return True

    async def release_lease(self) -> None:
        """Release the coordinator lease. :raises TableError: The table may still show it as held."""
        record = self._board.lease.record
        if record is None or not self._board.lease.is_own():
            return
        # Resign first: another instance may acquire the lease before the answer of the table arrives here.
        self._board.lease.record_resignation(record.token)
        free = LeaseRecord(InstanceId(''), '', '', record.token, secrets.token_hex(4))
        await self._table.commit({LEASE_KEY: record.version}, {LEASE_KEY: msgspec.json.encode(free)})

    async def renew(self) -> None:
        """Renew the lease and confirm the leader records, which only the lease holder can have changed.

        :raises TableError: The lease may not have been renewed.
        :raises DutyLost: Another instance holds the lease.
        """
        began_at = self._board.clock()
        await self._write({}, {})
        self._board.permits.confirm(self._board.permits.records(), began_at)

    def confirmed_at(self, now: Instant) -> Instant:
        """Return the latest time at which this instance certainly knew the newest leader records.

        Only the lease holder writes them, so that is the present time while the lease is valid. But a write of this
        instance may have taken effect although its answer was lost; then it is the start of that write.

        :param now: Present time.
        :returns: That time; minus infinity without the lease, or until the records of earlier holders are read.
        """
        lease = self._board.lease
        if not lease.holds(now) or lease.record is None or lease.record.version != self._complete_lease_version:
            return float('-inf')
        return min(now, self._unresolved_write_at)

    async def write_leader(self, record: LeaderRecord) -> LeaderRecord:
        """Write a leader record, on condition that this instance holds the lease.

        :param record: The record; its version is that of the row that it replaces, 0 for none.
        :returns: The record with its new version.
        :raises TableError: The record may not have been written.
        :raises DutyLost: Another instance holds the lease.
        """
        began_at = self._board.clock()
        key = LEADER_PREFIX + record.service
        # A record of an earlier era was not carried over, so its key must still be free.
        expected = record.version if self._board.lease.is_present(record.version) else 0
        version = await self._write({key: expected}, {key: msgspec.json.encode(record)})
        written = with_version(record, version)
        self._board.update_record(written, began_at, 'own')
        return written

    async def mark_leaving(self, instances: Iterable[InstanceId]) -> None:
        """Mark instances as leaving, so that they get no more permits until they register again.

        :param instances: The instances, whose rows the latest read has shown.
        :raises TableError: They may not be marked; one of them may have registered again.
        :raises DutyLost: Another instance holds the lease.
        """
        members = self._board.members_by_id
        marked = {instance: dataclasses.replace(members[instance], is_leaving=True) for instance in instances}
        await self._write(
            self._row_conditions(marked),
            {MEMBER_PREFIX + instance: msgspec.json.encode(member) for instance, member in marked.items()},
        )
        # The next read supplies the new row versions.
        self._board.listed = frozenset(pair for pair in self._board.listed if pair[0] not in marked)

    def members_without_permits(self) -> list[InstanceId]:
        """:returns: Leaving instances whose last permits have expired, so that no promoter needs to ask them."""
        latest = self._board.clock() - PERMIT_S - PERMIT_MARGIN_S
        return [instance for instance, (_, since) in self._leaving_since.items() if since < latest]

    async def remove_members(self, instances: Iterable[InstanceId]) -> None:
        """Remove the rows of instances that are gone.

        :param instances: Instances marked as leaving whose last permits have expired.
        :raises TableError: The rows may still exist; an instance may have registered again.
        :raises DutyLost: Another instance holds the lease.
        """
        gone = list(instances)
        await self._write(self._row_conditions(gone), {}, [MEMBER_PREFIX + instance for instance in gone])

    async def remove_leftovers(self) -> None:
        """Remove rows that are left of earlier eras, as many as one transaction takes.

        :raises TableError: They may still exist.
        :raises DutyLost: Another instance holds the lease.
        """
        keys = self._leftover_keys[:MAX_BATCH_ROWS]
        if keys:
            await self._write({}, {}, leftover_keys=keys)
            log_event('leftovers_removed', count=len(keys), era=self._board.lease.era)

    async def _carry_over(self, rows: Mapping[str, bytes]) -> None:
        """Write the rows that did not fit into the transaction that settled the era."""
        while rows:
            first, rows = split_batch(rows)
            began_at = self._board.clock()
            version = await self._write({key: 0 for key in first}, first)
            self._adopt_carried(first, version, began_at)

    def _adopt_carried(self, rows: Mapping[str, bytes], version: int, began_at: Instant) -> None:
        """Update the view with rows that this instance has written as they are in the new era."""
        written = Rows.decode(TableRow(key, content, version) for key, content in rows.items())
        for leader in written.leaders:
            self._board.update_record(leader, began_at, 'own')
        self._row_versions_by_member.update(written.versions_by_member)
        self._board.listed |= {(member.instance, member.incarnation) for member in written.members_by_id.values()}

    def _record_clock(self, at_s: float, asked_at: Instant) -> None:
        """Record an answer of the table's clock."""
        self._renew_clock()
        self._clock.record_answer(at_s, asked_at)
        settled_at = self._board.lease.settled_at
        if self._clock.settled_by_s is None and settled_at <= asked_at:
            self._clock.record_settlement(at_s - (asked_at - settled_at))

    def _renew_clock(self) -> None:
        """Forget the clock of an earlier era; the table may have begun to count anew."""
        if self._clock_era != self._board.lease.era:
            self._clock = TableClock()
            self._clock_era = self._board.lease.era

    def _update_listed(self, members: Iterable[MemberRecord]) -> None:
        """Record which instances may get permits, and since when the leaving ones certainly get none."""
        versions = self._row_versions_by_member
        self._board.listed = frozenset(
            (member.instance, member.incarnation) for member in members if not member.is_leaving
        )
        # A row with another version was registered and marked again in the meantime, so its time starts anew.
        marks = {
            member.instance: (versions[member.instance], self._board.clock()) for member in members if member.is_leaving
        }
        for instance, (version, since) in self._leaving_since.items():
            if marks.get(instance, (-1,))[0] == version:
                marks[instance] = (version, since)
        self._leaving_since = marks

    def _row_conditions(self, instances: Iterable[InstanceId]) -> dict[str, int]:
        return {MEMBER_PREFIX + instance: self._row_versions_by_member[instance] for instance in instances}

    async def _write(
        self,
        versions: Mapping[str, int],
        puts: Mapping[str, bytes],
        deletes: tuple[str, ...] | list[str] = (),
        leftover_keys: tuple[str, ...] = (),
    ) -> int:
        """Write rows on condition that this instance holds the lease, and renew it in the same transaction.

        Writes run one at a time.

        :returns: The new version of the lease row.
        :raises TableError: The rows may not have been written.
        :raises DutyLost: Another instance holds the lease.
        """
        async with self._lock:
            held = self._board.lease.record
            if held is not None and held.version != self._complete_lease_version:
                # The row is known from a peer only, and a leader record may have been written with it.
                await self.read()
                held = self._board.lease.record
            if held is None or not self._board.lease.is_own():
                raise DutyLost
            began_at = self._board.clock()
            record = self._clock.date(
                LeaseRecord(held.instance, held.incarnation, held.address, held.token, secrets.token_hex(4)), began_at
            )
            if puts or deletes:
                self._unresolved_write_at = min(self._unresolved_write_at, began_at)
            written = await self._table.commit(
                {**versions, LEASE_KEY: held.version},
                {**puts, LEASE_KEY: msgspec.json.encode(record)},
                list(deletes),
                leftover_keys,
            )
            if written.is_accepted:
                self._record_clock(written.at_s, began_at)
                self._clock.record_write(written.version, written.at_s)
                # No earlier write can take effect any more, since its condition on the lease row fails.
                self._unresolved_write_at = float('inf')
                self._complete_lease_version = written.version
                self._board.lease.record_renewal(
                    with_version(record, written.version).record(), began_at, self._board.clock()
                )
                return written.version
            await self._resolve(written)
            raise TableError('write rejected: a row has another version than expected')

    async def _resolve(self, written: CommitResult) -> None:
        """Find out why a condition failed: an earlier, unanswered write of this instance, or another holder.

        :raises DutyLost: Another instance holds the lease.
        """
        row = written.rows_by_key.get(LEASE_KEY)
        present = lease_of(row)
        own = self._board.own
        if present is not None and present.incarnation == own.incarnation:
            known = self._board.lease.record
            if known is None or present.version > known.version:
                log_event('own_write_found', nonce=present.nonce, version=present.version)
            await self.read()
            return
        self._board.lease.observe(present, self._board.clock(), self._board.clock())
        log_event('duty_lost', holder=present.instance if present else '-', token=present.token if present else 0)
        raise DutyLost
