"""Keeps the fleet record and the configuration text up to date and writes proposed changes."""

import random
from collections.abc import Iterator, Mapping

import msgspec

from fescuequay_core import config, textcheck
from fescuequay_core.blackboard import Blackboard
from fescuequay_core.commands import Command, Incident, ReadFleet, ReadObject, WriteFleet
from fescuequay_core.controller import Controller, Handler, Timer
from fescuequay_core.events import (
    Event,
    FleetRead,
    FleetReadFailed,
    FleetWritten,
    ObjectRead,
    PeerMessageReceived,
    Tick,
    WriteResult,
)
from fescuequay_core.fleet import FleetRecord, Proposal, with_write_id
from fescuequay_core.messages import Heartbeat
from fescuequay_core.types import Acknowledge, Instant

#: Interval between requests for a text that has not arrived, in seconds.
_TEXT_RETRY_S = 0.5

#: Time after which an unanswered read no longer blocks the next, in seconds.
_READ_TIMEOUT_S = 3.0

#: Smallest interval between reads that are requested outside the poll interval, in seconds.
_MIN_REFRESH_INTERVAL_S = 0.25

#: Largest rounding error of an age in a heartbeat, which has two decimal places, in seconds.
_MAX_AGE_ERROR_S = 0.005

#: Smallest factor that jitter applies to the poll interval.
_MIN_POLL_FACTOR = 0.8

_WRITE_ID_BITS = 64


class FleetController(Controller):
    """Reads the fleet record on a timer, adopts newer versions only, and writes proposals by compare-and-set.

    All waiting proposals go into one write, so that many groups that fail at once need few writes.
    New versions come from the platform or from peers, but only a read at the platform confirms one.

    :param board: The blackboard.
    :param rng: Source of jitter and write identities.
    """

    def __init__(self, board: Blackboard, rng: random.Random) -> None:
        super().__init__(board)
        self._rng = rng
        self._read_timer = Timer(board.timing.fleet_poll_s)
        self._text_timer = Timer(_TEXT_RETRY_S)
        self._etag: str | None = None
        self._etag_version = 0
        self._read_since: Instant | None = None
        self._proposals: list[Proposal] = []
        self._sent_proposals: list[Proposal] = []
        self._sent_record: FleetRecord | None = None
        self._write_id: str | None = None
        self._refreshed_at: Instant = float('-inf')

    def handlers(self) -> Mapping[type[Event], Handler]:
        """:returns: Handlers of the timer, the platform's answers and heartbeats."""
        return {
            Tick: self._on_tick,
            FleetRead: self._on_read,
            FleetReadFailed: self._on_read_failed,
            FleetWritten: self._on_written,
            ObjectRead: self._on_object,
            PeerMessageReceived: self._on_peer,
        }

    def propose(self, proposal: Proposal, now: Instant) -> Iterator[Command]:
        """Queue a change, to be written after the next read of the record.

        :param proposal: The change, dropped when it no longer applies.
        :param now: Present time.
        """
        if proposal not in self._proposals and proposal not in self._sent_proposals:
            self._proposals.append(proposal)
            yield from self._read(now)

    def refresh_soon(self, now: Instant) -> Iterator[Command]:
        """Read the record ahead of the poll interval, because it may have changed.

        :param now: Present time.
        """
        if now - self._refreshed_at >= _MIN_REFRESH_INTERVAL_S:
            self._refreshed_at = now
            yield from self._read(now)

    def _read(self, now: Instant) -> Iterator[Command]:
        if self._read_since is None:
            self._read_since = now
            yield ReadFleet(self._etag)

    def _on_tick(self, event: Tick, now: Instant) -> Iterator[Command]:
        if self._read_since is not None and now - self._read_since > _READ_TIMEOUT_S:
            self._read_since = None
        if self._read_since is None and self._read_timer.is_due(now):
            self._read_timer.interval_s = self.board.timing.fleet_poll_s * self._rng.uniform(_MIN_POLL_FACTOR, 1)
            yield from self._read(now)
        yield from self._fetch_text(now)

    def _on_read(self, event: FleetRead, now: Instant) -> Iterator[Command]:
        self._read_since = None
        # An answer that arrives late must restore neither an older record nor an older row version,
        # against which the next write would then be compared.
        if event.record is not None and event.record.version >= self._etag_version:
            self._etag = event.etag
            self._etag_version = event.record.version
            yield from self._adopt(event.record, now)
        # When the read began, the row was at most at the version held now. So the held record, even one
        # that came from a peer, is confirmed as of that time.
        self.board.confirmed_at = max(event.started_at, self.board.confirmed_at or event.started_at)
        yield from self._write_proposals(now)

    def _on_read_failed(self, event: FleetReadFailed, now: Instant) -> Iterator[Command]:
        self._read_since = None
        yield from ()

    def _on_written(self, event: FleetWritten, now: Instant) -> Iterator[Command]:
        if event.write_id != self._write_id or self._sent_record is None:
            return
        record, self._sent_record = self._sent_record, None
        self._write_id = None
        self._sent_proposals = []
        if event.outcome is WriteResult.ACCEPTED and record.version > self._etag_version:
            self._etag = event.etag
            self._etag_version = record.version
            yield from self._adopt(record, now)
        # Whatever the outcome, a read follows; after an unknown one it shows whether the write took effect.
        yield from self._read(now)
        if event.outcome is WriteResult.UNKNOWN:
            yield Incident('fleet_write_unknown', event.write_id, 'the platform did not answer')

    def _on_peer(self, event: PeerMessageReceived, now: Instant) -> Iterator[Command]:
        if not isinstance(event.message, Heartbeat):
            return
        message = event.message
        if message.record is not None:
            yield from self._adopt(message.record, now)
        if message.fleet_version > self.board.record.version:
            yield from self._read(now)
        # A message may have been delayed before it arrived. Only for an answer is the delay bounded: its
        # age counts from when the request was sent.
        if event.sent_at is None or message.confirmed_age_s is None:
            return
        if message.fleet_version <= self.board.record.version:
            peer_confirmed_at = event.sent_at - message.confirmed_age_s - _MAX_AGE_ERROR_S
            self.board.peer_confirmed_at = max(peer_confirmed_at, self.board.peer_confirmed_at or peer_confirmed_at)

    def _adopt(self, record: FleetRecord, now: Instant) -> Iterator[Command]:
        if record.version <= self.board.record.version:
            return
        previous = self.board.record
        self.board.record = record
        for group, leader in record.leaders.items():
            if previous.leaders.get(group) != leader:
                yield Incident(
                    'leader_changed',
                    group,
                    leader.cause,
                    (('term', str(leader.term)), ('target', leader.target), ('state', leader.state.value)),
                )
        if record.text != previous.text:
            self._text_timer.expire()
            yield from self._fetch_text(now)

    def _fetch_text(self, now: Instant) -> Iterator[Command]:
        applied = self.board.record.text
        if applied is None or applied.number <= self.board.text_number or not self._text_timer.is_due(now):
            return
        peers = [view.heartbeat.peer_address for view in self.board.peers_by_id.values()]
        self._rng.shuffle(peers)
        yield ReadObject(applied.digest, tuple(peers[:3]))

    def _on_object(self, event: ObjectRead, now: Instant) -> Iterator[Command]:
        applied = self.board.record.text
        if event.raw is None or applied is None or event.digest != applied.digest:
            return
        if applied.number <= self.board.text_number:
            return
        text, faults = textcheck.load_applied(event.raw)
        if text is None:
            yield Incident('text_rejected', str(applied.number), f'{len(faults)} faults, first: {faults[0].message}')
            return
        self._record_permit_policy_end(text, applied.number, now)
        self.board.text = text
        self.board.text_adopted_at = now
        self.board.text_number = applied.number
        yield Incident('text_in_force', str(applied.number), f'applied by {applied.author}')

    def _record_permit_policy_end(self, text: config.Text, number: int, now: Instant) -> None:
        """Record which groups other instances may still acknowledge by permit under an earlier text."""
        board = self.board
        is_next = board.text is not None and number == board.text_number + 1
        for group in text.groups_by_id:
            service = board.service_of(group)
            if not is_next or (service is not None and service.acknowledge is Acknowledge.PRIMARY):
                board.permit_policy_ended_at[group] = now

    def _write_proposals(self, now: Instant) -> Iterator[Command]:
        if self._write_id is not None or not self._proposals:
            return
        # Apply proposals only to the row that was read from the platform, never to a record from a peer.
        if self._etag_version != self.board.record.version:
            return
        changed: FleetRecord = self.board.record
        waiting, self._proposals = self._proposals, []
        is_changed = False
        for proposal in waiting:
            after = proposal.apply_to(changed)
            if after is not None:
                changed = after
                is_changed = True
        if is_changed:
            self._write_id = f'{self.board.instance}.{self._rng.getrandbits(_WRITE_ID_BITS):016x}'
            self._sent_record = with_write_id(changed, self._write_id)
            self._sent_proposals = waiting
            yield WriteFleet(self._sent_record, self._etag, self._write_id)


def encode_record(record: FleetRecord) -> bytes:
    """:returns: The record as JSON, as the platform stores it."""
    return msgspec.json.encode(record)
