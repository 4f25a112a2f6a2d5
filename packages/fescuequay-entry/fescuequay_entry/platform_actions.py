"""Executes the core's commands for the platform's services and reports the results as events."""

import asyncio
import contextlib
import hashlib
import logging
import time
import zlib
from collections.abc import Callable
from typing import Final

import msgspec

from fescuequay_core import commands, events
from fescuequay_core.decoding import JsonDecoder, UnreadableError
from fescuequay_core.exceptions import MessageError
from fescuequay_core.fleet import decode_record
from fescuequay_core.fleet_controller import encode_record
from fescuequay_core.types import Digest, InstanceId, SeatId
from fescuequay_entry.metrics import Metrics
from fescuequay_entry.peers import PeerClient, PeerError
from fescuequay_entry.platform import HttpPlatform, PlatformError, TableRow

FLEET_ROW: Final = 'fleet'

#: Timeout of reading an object from the store, after which it is requested from peers, in seconds.
_STORE_TIMEOUT_S: Final = 1.0
SEATS_PREFIX: Final = 'seats/'

_log = logging.getLogger('fescuequay')


class SeatRow(msgspec.Struct, frozen=True):
    """Body of a seat's row.

    :param holder: Instance that holds the seat.
    :param is_released: Whether the holder has released the seat.
    :param floor_free_in_s: Time from the write until an earlier holder has certainly lost its floor.
    """

    holder: str
    is_released: bool = False
    floor_free_in_s: float = 0.0


_SEATS: Final = JsonDecoder[SeatRow](SeatRow)


class PlatformActions:
    """Reads and writes the table, the object store and the instance list.

    :param platform: Client of the platform.
    :param peers: Client of the peers, from which objects are fetched while the platform is unavailable.
    :param data_centre: Data centre of this instance.
    :param metrics: Metrics, to count failed reads.
    :param post: Passes an event to the core.
    """

    def __init__(
        self,
        platform: HttpPlatform,
        peers: PeerClient,
        data_centre: str,
        metrics: Metrics,
        post: Callable[[events.Event], None],
    ) -> None:
        self._platform = platform
        self._peers = peers
        self._data_centre = data_centre
        self._metrics = metrics
        self._post = post
        self._objects: dict[Digest, bytes] = {}

    def packed_object(self, digest: Digest) -> bytes | None:
        """:returns: A cached object as stored (compressed), or ``None``."""
        return self._objects.get(digest)

    async def read_fleet(self, command: commands.ReadFleet) -> None:
        """Read the fleet record and report it."""
        started_at = time.monotonic()
        try:
            row = await self._platform.read(FLEET_ROW, command.etag)
            record = decode_record(row.body) if row.body is not None else None
        except (PlatformError, MessageError):
            self._metrics.incidents.labels('platform_failed').inc()
            self._post(events.FleetReadFailed())
            return
        self._post(events.FleetRead(started_at, row.etag, record))

    async def write_fleet(self, command: commands.WriteFleet) -> None:
        """Write the fleet record and report the platform's answer."""
        outcome, etag = await self._platform.write(FLEET_ROW, encode_record(command.record), command.etag)
        self._post(events.FleetWritten(command.write_id, outcome, etag))

    async def read_object(self, command: commands.ReadObject) -> None:
        """Read an object from the store or, if that fails, from a peer, and report it."""
        raw = None
        try:
            # A slow store must not delay a configuration text that a peer can supply.
            async with asyncio.timeout(_STORE_TIMEOUT_S):
                raw = await self._platform.get(command.digest)
        except (PlatformError, TimeoutError):
            raw = await self._fetch_from_peers(command)
        if raw is not None:
            self._objects = {command.digest: zlib.compress(raw, 9)}
            if hashlib.sha256(self._objects[command.digest]).hexdigest() != command.digest:
                self._objects = {}
        self._post(events.ObjectRead(command.digest, raw))

    async def read_members(self) -> None:
        """Read the instance list and report it."""
        try:
            members = await self._platform.members()
        except PlatformError:
            return
        self._post(events.MembersRead(members))

    async def read_seats(self) -> None:
        """Read the seats of this data centre and report them."""
        prefix = f'{SEATS_PREFIX}{self._data_centre}/'
        try:
            rows = await self._platform.read_prefix(prefix)
        except PlatformError:
            return
        self._post(events.SeatsRead(tuple(seat for row in rows if (seat := _decode_seat(row)) is not None)))

    async def write_seat(self, command: commands.WriteSeat) -> None:
        """Write a seat and report the platform's answer."""
        started_at = time.monotonic()
        body = msgspec.json.encode(SeatRow(command.holder, command.is_released, command.floor_free_in_s))
        outcome, etag = await self._platform.write(f'{SEATS_PREFIX}{command.seat}', body, command.etag)
        self._post(events.SeatWritten(command.seat, outcome, etag, started_at))

    async def _fetch_from_peers(self, command: commands.ReadObject) -> bytes | None:
        for address in command.peer_addresses:
            with contextlib.suppress(PeerError):
                return await self._peers.fetch(address, command.digest)
        return None


def _decode_seat(row: TableRow) -> events.Seat | None:
    try:
        body = _SEATS.decode(row.body or b'')
    except UnreadableError as error:
        _log.warning('bad_seat', extra={'pairs': {'key': row.key, 'detail': str(error)}})
        return None
    seat = SeatId(row.key.removeprefix(SEATS_PREFIX))
    return events.Seat(seat, InstanceId(body.holder), row.etag, row.age_s, body.is_released, body.floor_free_in_s)
