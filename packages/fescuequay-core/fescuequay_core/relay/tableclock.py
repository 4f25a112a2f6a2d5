"""Dates of rows: by when they were written, according to the table's own monotonic clock."""

import dataclasses

from fescuequay_core.relay.model import LeaseRecord, LeaseRow
from fescuequay_core.types import Instant


class TableClock:
    """The lease holder's knowledge of the table's clock and of when its own writes were completed."""

    def __init__(self) -> None:
        self._answer: tuple[float, Instant] | None = None
        self._known_version = -1
        self._known_by_s = 0.0
        #: The table's clock when the present era was settled, in seconds; nothing when unknown.
        self.settled_by_s: float | None = None

    def record_settlement(self, at_s: float | None) -> None:
        """Record when the present era was settled.

        :param at_s: The table's clock then, in seconds; nothing when unknown.
        """
        self.settled_by_s = at_s

    def record_answer(self, at_s: float, asked_at: Instant) -> None:
        """Record an answer of the table.

        :param at_s: Its clock when it answered, in seconds.
        :param asked_at: When the question was sent, on this instance's clock.
        """
        self._answer = (at_s, asked_at)

    def at_s(self, now: Instant) -> float | None:
        """:returns: Latest time that the table's clock may show now, in seconds; nothing before its first answer."""
        if self._answer is None:
            return None
        at_s, asked_at = self._answer
        return at_s + now - asked_at

    def record_write(self, version: int, at_s: float) -> None:
        """Record that the table has done a write.

        :param version: Version of the rows.
        :param at_s: The table's clock when it confirmed the write, in seconds.
        """
        self._known_version = version
        self._known_by_s = at_s

    def date(self, record: LeaseRecord, began_at: Instant) -> LeaseRow:
        """Date a row that is about to be written.

        :param record: The row.
        :param began_at: When its writing begins.
        :returns: The row, with the latest time that the table's clock may show then.
        """
        row = LeaseRow(record.instance, record.incarnation, record.address, record.token, record.nonce, record.version)
        began_by_s = self.at_s(began_at)
        if began_by_s is None:
            return row
        return dataclasses.replace(
            row,
            began_by_s=began_by_s,
            known_version=self._known_version,
            known_by_s=self._known_by_s,
            settled_by_s=self.settled_by_s,
        )


@dataclasses.dataclass(frozen=True, slots=True)
class ReadingDates:
    """Dates of the rows of one read, on the reader's clock.

    :param lease: The lease row among them.
    :param at_s: The table's clock when it answered, in seconds.
    :param answered_at: When the answer arrived.
    """

    lease: LeaseRow | None
    at_s: float
    answered_at: Instant

    def begun_by(self) -> Instant:
        """:returns: Time by which the write of the lease row had certainly begun."""
        if self.lease is None or self.lease.began_by_s is None:
            return self.answered_at
        return self.answered_at - max(self.at_s - self.lease.began_by_s, 0)

    def settled_by(self) -> Instant:
        """:returns: Time by which no coordinator of an earlier era acted any more."""
        if self.lease is None or self.lease.settled_by_s is None:
            return self.answered_at
        return self.answered_at - max(self.at_s - self.lease.settled_by_s, 0)

    def written_by(self, version: int) -> Instant:
        """:returns: Time by which the rows of a version had certainly been written."""
        if self.lease is None or version > self.lease.known_version:
            return self.answered_at
        return self.answered_at - max(self.at_s - self.lease.known_by_s, 0)
