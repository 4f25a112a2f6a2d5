"""The coordinator's lease: who holds it, and when another instance may take it over.

A refused connection does not prove that the holder has stopped: a network partition may refuse connections too.
"""

from typing import Final

from fescuequay_core.relay import eras
from fescuequay_core.relay.model import LeaseRecord
from fescuequay_core.types import Era, InstanceId, Instant

#: Time for which the holder may act, counted from the start of its latest renewal that the table accepted, in seconds.
LEASE_S: Final = 1.1

#: Time between renewals, in seconds; two in a row may fail before the lease expires.
RENEW_INTERVAL_S: Final = 0.4

#: Time without a renewal after which the holder resigns, in seconds, so that an instance that still reaches the table
#: can take over at once: one and a half renewal intervals.
RESIGN_AFTER_S: Final = 0.65

#: Time without a renewal after which another instance takes over, in seconds: longer than LEASE_S by far more
#: than clocks drift, because the holder's last action may still be in transit.
TAKEOVER_AFTER_S: Final = 1.5

#: Time after the first sight of a new era of the table after which no holder of an earlier era acts any more, in
#: seconds: its last renewal was accepted before the era began, so LEASE_S and the drift of clocks suffice.
SETTLE_AFTER_S: Final = 1.2


class CoordinatorLease:
    """This instance's view of the lease.

    :param instance: This instance.
    :param incarnation: Its present incarnation.
    """

    def __init__(self, instance: InstanceId, incarnation: str) -> None:
        self.instance = instance
        self.incarnation = incarnation
        self.record: LeaseRecord | None = None
        #: Present era of the table; nothing until the table or a peer has shown it.
        self.era: Era | None = None
        #: Time by which no coordinator of an earlier era acted any more; infinite while the present era has no lease.
        self.settled_at: Instant = float('inf')
        #: When this instance first saw the present era.
        self.era_seen_at: Instant = float('-inf')
        self._seen_at: Instant = float('-inf')
        self._renewed_at: Instant = float('-inf')
        self._resigned_token = 0

    def enter_era(self, era: Era, now: Instant) -> bool:
        """Note the era of an answer of the table.

        :param era: The era.
        :param now: Present time.
        :returns: Whether it is newer than the one known before.
        """
        if self.era is not None and era <= self.era:
            return False
        self.era = era
        self.era_seen_at = now
        self.settled_at = float('inf')
        return True

    def is_settled(self) -> bool:
        """:returns: Whether the newest known row was written in the present era; earlier rows give no rights."""
        return self.record is not None and self.is_present(self.record.version)

    def date_settlement(self, at: Instant) -> None:
        """Date the settlement of the present era.

        :param at: A time by which no coordinator of an earlier era acted any more.
        """
        self.settled_at = min(self.settled_at, at)

    def is_present(self, stamp: int) -> bool:
        """:returns: Whether a row with this stamp was written in the present era."""
        return eras.era_of(stamp) == self.era

    def settles_at(self) -> Instant:
        """:returns: When another instance than the holder may take the lease of an era that has none yet."""
        return self.era_seen_at + SETTLE_AFTER_S

    def observe(self, record: LeaseRecord | None, begun_by: Instant, now: Instant) -> None:
        """Update the view from a row that was read.

        :param record: The row.
        :param begun_by: Time by which the write of the row had certainly begun.
        :param now: Present time.
        """
        if record is None:
            return
        self.enter_era(eras.era_of(record.version), now)
        if self.record is None or record.version > self.record.version:
            self._seen_at = begun_by
            self._set_record(record, now)
        elif record.version == self.record.version:
            self._seen_at = min(self._seen_at, begun_by)

    def record_renewal(self, record: LeaseRecord, began_at: Instant, now: Instant) -> None:
        """Record a write of this instance that the table accepted.

        :param record: What was written.
        :param began_at: When the write began.
        :param now: Present time.
        """
        self._seen_at = began_at
        self._renewed_at = began_at
        self._set_record(record, now)

    def record_resignation(self, token: int) -> None:
        """Record that the holder with a token has resigned; its row stays until another instance replaces it."""
        self._resigned_token = max(self._resigned_token, token)

    def resign(self, now: Instant) -> bool:
        """Resign if renewals fail, because the table may still answer other instances.

        :param now: Present time.
        :returns: Whether this instance held the lease and a renewal has failed for ``RESIGN_AFTER_S``.
        """
        if not self.holds(now) or now - self._renewed_at < RESIGN_AFTER_S:
            return False
        self._renewed_at = float('-inf')
        self._resigned_token = self.token
        return True

    @property
    def token(self) -> int:
        """:returns: The newest known token; 0 when none is known."""
        return self.record.token if self.record is not None else 0

    def next_token(self) -> int:
        """:returns: The token for the next holder; it identifies one holder and only grows."""
        return eras.next_token(self.token, self.era or Era(0))

    def renewal_age_s(self, now: Instant) -> float:
        """:returns: Time since the latest renewal of this instance that the table accepted."""
        return now - self._renewed_at

    def left_s(self, token: int, now: Instant) -> float:
        """Return how long this instance may still act as the coordinator unless it renews the lease.

        :param token: Token under which it acts.
        :param now: Present time.
        :returns: That time, in seconds; 0 when another token is in force or the lease has ended.
        """
        if self.token != token or not self.holds(now):
            return 0.0
        return self._renewed_at + LEASE_S - now

    def expires_at(self) -> Instant:
        """:returns: When the lease of the newest known row expires unless it is renewed."""
        return self._seen_at + LEASE_S

    def takeover_at(self) -> Instant:
        """:returns: When the holder has certainly stopped acting unless the row is renewed."""
        return self._seen_at + TAKEOVER_AFTER_S

    def has_resigned(self) -> bool:
        """:returns: Whether this incarnation is named in the row but has resigned."""
        return self.is_own() and self.token <= self._resigned_token

    def is_own(self) -> bool:
        """:returns: Whether the newest known row names this incarnation."""
        return self.record is not None and self.record.incarnation == self.incarnation

    def holds(self, now: Instant) -> bool:
        """:returns: Whether this instance may act as the coordinator now."""
        return self.is_own() and not self.has_resigned() and now - self._renewed_at < LEASE_S

    def may_take_over(self, now: Instant) -> bool:
        """:returns: Whether the lease is free or its holder has certainly stopped acting."""
        record = self.record
        if record is None or not self.is_settled():
            return self.holds(now) or now > self.settles_at()
        if not record.instance:
            return True
        if record.instance == self.instance and record.incarnation != self.incarnation:
            return True
        if record.token <= self._resigned_token:
            return True
        return now > self.takeover_at()

    def _set_record(self, record: LeaseRecord, at: Instant) -> None:
        self.record = record
        if self.is_settled():
            self.settled_at = min(self.settled_at, at)
