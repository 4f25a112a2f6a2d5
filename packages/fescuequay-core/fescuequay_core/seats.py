"""Seats: leases on fixed shares of the fleet's limits, each held by one instance."""

import hashlib
import random
from collections.abc import Iterator, Mapping
from typing import Final

from fescuequay_core.blackboard import Blackboard
from fescuequay_core.commands import Command, Incident, ReadSeats, WriteSeat
from fescuequay_core.config import Group, Text
from fescuequay_core.controller import Controller, Handler, Timer
from fescuequay_core.events import Event, Seat, SeatsRead, SeatWritten, Tick, WriteResult
from fescuequay_core.types import DataCentreId, GroupId, Instant, SeatId

#: Maximum number of instances that hold connections to one group; the others forward requests to them.
MAX_HOSTS: Final = 16

_DISTANT_FUTURE: Final = float('inf')
_DISTANT_PAST: Final = float('-inf')

#: Interval of reading the seats while none is held, in seconds.
_SEARCH_INTERVAL_S: Final = 1.0


def seats_of(text: Text) -> tuple[SeatId, ...]:
    """:returns: Every seat of a text, in a fixed order."""
    return tuple(
        SeatId(f'{data_centre}/{number}')
        for data_centre in sorted(text.data_centres)
        for number in range(text.data_centres[data_centre].seats)
    )


def data_centre_of(seat: SeatId) -> DataCentreId:
    """:returns: The data centre of a seat."""
    return DataCentreId(seat.rsplit('/', 1)[0])


def hosts_of(text: Text, group_id: GroupId, group: Group) -> tuple[SeatId, ...]:
    """Choose the seats whose holders keep connections to a group.

    Rendezvous hashing keeps the choice stable when seats are added or removed. The best-ranked seat of each
    data centre comes first, so that an isolated data centre can still reach the targets that it contains.

    :param text: The text.
    :param group_id: The group.
    :param group: Its description.
    :returns: Host seats in a fixed order.
    """
    count = min(MAX_HOSTS, *(target.connections for target in group.targets.values()))
    ranked = sorted(seats_of(text), key=lambda seat: _score(group_id, seat), reverse=True)
    first_by_data_centre: dict[DataCentreId, SeatId] = {}
    for seat in ranked:
        first_by_data_centre.setdefault(data_centre_of(seat), seat)
    first_seats = set(first_by_data_centre.values())
    others = (seat for seat in ranked if seat not in first_seats)
    return (*first_by_data_centre.values(), *others)[:count]


def connection_share(hosts: tuple[SeatId, ...], seat: SeatId, connections: int) -> int:
    """Divide the connections of a target among the hosts of its group.

    :param hosts: Host seats of the group.
    :param seat: One seat.
    :param connections: Connections that the fleet may hold.
    :returns: Connections that the holder of the seat may open; the shares sum to the limit.
    """
    if seat not in hosts:
        return 0
    whole, rest = divmod(connections, len(hosts))
    return whole + (1 if hosts.index(seat) < rest else 0)


def _score(group_id: GroupId, seat: SeatId) -> bytes:
    return hashlib.blake2b(f'{group_id}|{seat}'.encode(), digest_size=8).digest()


class SeatController(Controller):
    """Claims one seat of this data centre, renews its leases and reports which parts of it may be used.

    The main part has a short lease, so that a replacement instance soon finds a free seat. The floor has a
    long lease, so that an isolated data centre can go on serving a share of the rate. The holder counts both
    leases from the time before it sent the renewal. A claimant counts them by the platform's clock and waits
    longer than the lease by the drift bound and the length of a loan.

    :param board: The blackboard.
    :param rng: Chooses among the free seats, so that instances that start together rarely claim the same one.
    """

    def __init__(self, board: Blackboard, rng: random.Random) -> None:
        super().__init__(board)
        self._rng = rng
        self._search_timer = Timer(_SEARCH_INTERVAL_S)
        self._renew_timer = Timer(board.timing.seat_renew_s)
        self._etag: str | None = None
        self._pending_claim: Seat | None = None
        self.usable_from: Instant = _DISTANT_FUTURE
        self.main_until: Instant = _DISTANT_PAST
        self.floor_from: Instant = _DISTANT_FUTURE
        self.floor_until: Instant = _DISTANT_PAST
        self.is_first_holder = False
        self._released_at: Instant | None = None

    def handlers(self) -> Mapping[type[Event], Handler]:
        """:returns: Handlers of the timer and of the platform's answers."""
        return {Tick: self._on_tick, SeatsRead: self._on_seats, SeatWritten: self._on_written}

    def has_main(self, now: Instant) -> bool:
        """:returns: Whether the main part of the seat may be used."""
        return self.usable_from <= now < self.main_until

    def has_floor(self, now: Instant) -> bool:
        """:returns: Whether the floor of the seat may be used."""
        return max(self.usable_from, self.floor_from) <= now < self.floor_until

    def release(self) -> Iterator[Command]:
        """Release the seat and stop using it."""
        seat, self.board.seat = self.board.seat, None
        if seat is None:
            return
        floor_free_in_s = max(self.floor_from - self.usable_from, 0) if self.floor_from < _DISTANT_FUTURE else 0
        self.main_until = self.floor_until = _DISTANT_PAST
        yield WriteSeat(seat, self.board.instance, self._etag, is_released=True, floor_free_in_s=floor_free_in_s)
        yield Incident('seat_released', seat, 'the instance is stopping')

    def _on_tick(self, event: Tick, now: Instant) -> Iterator[Command]:
        board = self.board
        board.has_main_share = self.has_main(now)
        board.has_floor_share = self.has_floor(now)
        if board.text is None or board.is_stopping:
            return
        if board.seat is None or now >= self.main_until:
            if self._search_timer.is_due(now):
                yield ReadSeats()
        elif self._renew_timer.is_due(now):
            yield self._write(board.seat, now)

    def _write(self, seat: SeatId, now: Instant) -> WriteSeat:
        floor_free_in_s = max(self.floor_from - now, 0) if self.floor_from < _DISTANT_FUTURE else 0
        return WriteSeat(seat, self.board.instance, self._etag, floor_free_in_s=floor_free_in_s)

    def _on_seats(self, event: SeatsRead, now: Instant) -> Iterator[Command]:
        if self.board.text is None or self.board.is_stopping:
            return
        local_seats = [
            seat for seat in seats_of(self.board.text) if data_centre_of(seat) == self.board.identity.data_centre
        ]
        rows = {row.seat: row for row in event.seats}
        own_row = next((row for row in event.seats if row.holder == self.board.instance and not row.is_released), None)
        if own_row is not None and own_row.seat in local_seats:
            # The claim may have taken effect although its answer was lost; the row then names this instance.
            self._etag = own_row.etag
            if self.board.seat == own_row.seat:
                yield self._write(own_row.seat, now)
            else:
                yield from self._claim(own_row, now)
            return
        if self.board.seat is not None and now < self.floor_until:
            self._end_main_lease()
        free = [rows.get(seat, Seat(seat, None, None, _DISTANT_FUTURE)) for seat in local_seats]
        free = [row for row in free if self._is_free(row)]
        if free:
            yield from self._claim(self._rng.choice(free), now)

    def _end_main_lease(self) -> None:
        # Another instance holds the seat, so only the floor may be used until the long lease ends.
        self.main_until = _DISTANT_PAST

    def _is_free(self, row: Seat) -> bool:
        timing = self.board.timing
        return (
            row.holder is None
            or row.is_released
            or row.age_s >= timing.drift_safe_s(timing.seat_lease_s + timing.loan_s)
        )

    def _claim(self, row: Seat, now: Instant) -> Iterator[Command]:
        timing = self.board.timing
        floor_free_in_s = max(row.floor_free_in_s - row.age_s, 0)
        if row.holder not in {None, self.board.instance} and not row.is_released:
            floor_free_in_s = max(
                floor_free_in_s, timing.drift_safe_s(timing.floor_lease_s + timing.loan_s) - row.age_s
            )
        self._pending_claim = row
        yield WriteSeat(row.seat, self.board.instance, row.etag, floor_free_in_s=max(floor_free_in_s, 0))
        self._claimed_floor_s = max(floor_free_in_s, 0)

    def _on_written(self, event: SeatWritten, now: Instant) -> Iterator[Command]:
        if event.outcome is not WriteResult.ACCEPTED:
            self._pending_claim = None
            self._search_timer.expire()
            if event.outcome is WriteResult.CONFLICT and event.seat == self.board.seat:
                yield ReadSeats()
            return
        timing = self.board.timing
        claimed, self._pending_claim = self._pending_claim, None
        if claimed is not None and claimed.seat == event.seat:
            self._adopt(claimed, now)
            yield Incident('seat_claimed', event.seat, 'free' if claimed.holder is None else 'left by another instance')
        if self.board.seat == event.seat:
            self._etag = event.etag
            self.main_until = max(self.main_until, event.started_at + timing.seat_lease_s)
            self.floor_until = max(self.floor_until, event.started_at + timing.floor_lease_s)

    def _adopt(self, row: Seat, now: Instant) -> None:
        self.board.seat = row.seat
        self.is_first_holder = row.holder is None
        wait_s = 0 if self.is_first_holder else self.board.timing.drift_safe_s(self.board.timing.loan_s)
        self.usable_from = now + wait_s
        self.floor_from = now + self.board.timing.drift_safe_s(self._claimed_floor_s)
        self.main_until = self.floor_until = _DISTANT_PAST
