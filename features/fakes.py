"""Fakes of the core's outside interfaces: the rows of the platform and one database group."""

import dataclasses
from typing import Any

from fescuequay_core.events import Seat, WriteResult
from fescuequay_core.fleet import FleetRecord
from fescuequay_core.requests import TargetStatus
from fescuequay_core.types import InstanceId, Position, Role, SeatId, Term


class FakePlatform:
    """Versioned rows and objects in memory, with switches for faults."""

    def __init__(self) -> None:
        self.record: FleetRecord | None = None
        self.version = 0
        self.seats: dict[str, tuple[int, str, bool, float, float]] = {}
        self.objects: dict[str, bytes] = {}
        self.is_down = False
        self.lose_answers = 0
        self.delay_s = 0.0
        self.cut: set[str] = set()
        self.seat_writes = 0
        self.records: list[FleetRecord] = []

    def etag(self) -> str | None:
        """:returns: Version of the fleet row."""
        return f'v{self.version}' if self.record is not None else None

    def write_fleet(self, record: FleetRecord, etag: str | None) -> WriteResult:
        """:returns: Result of a conditional write of the fleet row."""
        if etag != self.etag():
            return WriteResult.CONFLICT
        self.version += 1
        self.record = record
        self.records.append(record)
        return WriteResult.ACCEPTED

    def write_seat(self, command: Any, now: float) -> tuple[WriteResult, str | None]:
        """:returns: Result of a conditional write of a seat, and the new version."""
        row = self.seats.get(command.seat)
        if command.etag != (f's{row[0]}' if row else None):
            return WriteResult.CONFLICT, None
        self.seat_writes += 1
        self.seats[command.seat] = (self.seat_writes, command.holder, command.is_released, command.floor_free_in_s, now)
        return WriteResult.ACCEPTED, f's{self.seat_writes}'

    def read_seats(self, data_centre: str, now: float) -> tuple[Seat, ...]:
        """:returns: The seats of one data centre."""
        return tuple(
            Seat(SeatId(name), InstanceId(row[1]), f's{row[0]}', now - row[4], row[2], row[3])
            for name, row in self.seats.items()
            if name.startswith(f'{data_centre}/')
        )


@dataclasses.dataclass(frozen=True)
class Entry:
    """One log entry."""

    term: int
    write: str


class FakeTarget:
    """A database with its log, term and fence, and switches for faults."""

    def __init__(self, name: str, *, is_primary: bool) -> None:
        self.name = name
        self.term = 1
        self.fence = 1
        self.is_primary = is_primary
        self.leads = is_primary
        self.log: list[Entry] = []
        self.acked: dict[str, int] = {}
        self.heard_at = 0.0
        self.is_down = False
        self.is_isolated = False
        self.cut: set[str] = set()
        self.lag_s = 0.0
        self.in_use = 0
        self.most_in_use = 0

    def status(self, now: float) -> TargetStatus:
        """:returns: The status that it reports."""
        return TargetStatus(
            role=Role.PRIMARY if self.is_primary else Role.REPLICA,
            term=Term(self.term),
            position=Position(len(self.log)),
            fence=Term(self.fence),
            replicated=Position(max(self.acked.values(), default=0)),
            upstream_age_s=0.0 if self.is_primary else now - self.heard_at,
        )

    def set_fence(self, term: int) -> bool:
        """:returns: Whether the fence was set; one below the present fence is refused."""
        if term < self.fence:
            return False
        self.fence = term
        if self.is_primary and term > self.term:
            self.is_primary = False
        return True

    def promote(self, term: int) -> int | None:
        """:returns: The log position at which the term starts, or ``None`` when the promotion is refused."""
        if self.is_primary and self.term == term:
            return sum(entry.term < term for entry in self.log)
        if term != self.fence or term <= self.term:
            return None
        self.term = term
        self.is_primary = self.leads = True
        self.acked = {}
        return len(self.log)


class FakeGroup:
    """Three databases, whose replicas copy the log when ``replicate`` is called."""

    def __init__(self, group: str) -> None:
        self.targets = {
            f'{group}-{place}': FakeTarget(f'{group}-{place}', is_primary=place == 1) for place in (1, 2, 3)
        }
        self.committed_at: dict[str, float] = {}

    def write(self, target: FakeTarget, write: str, now: float) -> None:
        """Commit a write at a target."""
        target.log.append(Entry(target.term, write))
        self.committed_at[write] = now

    def replicate(self, now: float) -> None:
        """Copy to each replica the log of the reachable leader with the highest term."""
        for replica in self.targets.values():
            if replica.is_down or replica.is_isolated or replica.is_primary:
                continue
            sources = [
                other
                for other in self.targets.values()
                if other is not replica
                and not other.is_down
                and not other.is_isolated
                and other.leads
                and other.term >= max(replica.fence, replica.term)
            ]
            if sources:
                self._copy(max(sources, key=lambda other: other.term), replica, now)

    def _copy(self, source: FakeTarget, replica: FakeTarget, now: float) -> None:
        replica.heard_at = now
        common = min(len(source.log), len(replica.log))
        while common and source.log[common - 1] is not replica.log[common - 1]:
            common -= 1
        del replica.log[common:]
        for entry in source.log[common:]:
            if now - self.committed_at.get(entry.write, 0.0) < replica.lag_s:
                break
            replica.log.append(entry)
        if source.term > replica.term:
            replica.term = source.term
            replica.fence = max(replica.fence, source.term)
            replica.leads = False
        source.acked[replica.name] = len(replica.log)
