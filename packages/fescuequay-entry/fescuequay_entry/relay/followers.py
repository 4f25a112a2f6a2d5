"""Followers of the feeds: the operators' configuration and the target registry."""

import asyncio
import dataclasses
import random
import types
from collections.abc import Mapping
from typing import Final

from fescuequay_core.relay.distribution import parent_of
from fescuequay_core.relay.history import Difference
from fescuequay_core.relay.missing import MissingEntries
from fescuequay_core.relay.model import Configuration, Evacuation, TargetDescription
from fescuequay_core.types import Instant, TargetId
from fescuequay_entry.relay.board import OPERATOR_FEED, Board, log_event
from fescuequay_entry.relay.feed_reader import FeedReader
from fescuequay_entry.relay.messages import FetchAnswer, FetchRequest
from fescuequay_entry.relay.ports import Feed, HistoryLost, OperatorEntry, PeerError, Peers, TableError

#: Number of feeds that are followed.
FEED_COUNT: Final = 2

#: Attempts at the parent before the table is asked. The parent itself needs one or two steps to get the configuration.
_PARENT_TRIES: Final = 4

#: Minimum pause between two attempts to get a configuration, in seconds: about the time that a parent takes to get it.
_FETCH_PAUSE_S: Final = 0.12

_NOTHING_KNOWN: Final[Mapping[str, Instant]] = types.MappingProxyType({})


class ConfigurationFollower:
    """Adopts each newer configuration from the feed or from peers, and the evacuations from the feed.

    :param board: The blackboard.
    :param feed: Feed of what operators write.
    :param peers: Client of the other instances.
    """

    def __init__(self, board: Board, feed: Feed[OperatorEntry], peers: Peers) -> None:
        self._board = board
        self._feed = feed
        self._peers = peers
        self._wanted_version = -1
        self._preferred_peer = ''
        self._fallback_peer = ''
        self._is_fetch_due = asyncio.Event()
        self._data_centres_by_key: dict[str, str] = {}
        self._missing: MissingEntries[str] = MissingEntries()

    async def run(self) -> None:
        """Follow the feed until cancelled."""
        await FeedReader(self._board, self._feed, self._apply, OPERATOR_FEED, self._record_failure).run()

    def adopt_evacuations(self, since_by_data_centre: Mapping[str, Instant], read_at: Instant) -> None:
        """Apply the coordinator's list of evacuated data centres, unless this instance has read the feed later.

        :param since_by_data_centre: Since when the coordinator has known of each.
        :param read_at: A time at which its feed was certainly not read yet, or just then.
        """
        if read_at < self._board.feed_answered_at.get(OPERATOR_FEED, float('-inf')):
            return
        self._data_centres_by_key = {name: name for name in since_by_data_centre}
        self._missing.forget()
        self._publish_evacuations('coordinator', since_by_data_centre)

    def remove_expired(self) -> None:
        """Lift evacuations whose missing entries have not come back in time."""
        for key in self._missing.pop_expired(self._board.clock()):
            self._data_centres_by_key.pop(key, None)
            self._publish_evacuations('table')

    async def run_fetches(self) -> None:
        """Fetch each newer configuration that peers report, until cancelled."""
        while True:
            await self._is_fetch_due.wait()
            self._is_fetch_due.clear()
            await self._fetch_wanted()
            self._preferred_peer = ''

    def request_version(self, version: int, preferred_peer: str = '', fallback_peer: str = '') -> None:
        """Request that a newer configuration be fetched.

        :param version: Its version.
        :param preferred_peer: Peer that has it and reported it to few instances; it is asked first.
        :param fallback_peer: Peer that has it and reports it to all instances; it is asked only if the table fails.
        """
        if version > self._wanted_version:
            log_event('configuration_wanted', version=version, held=self._held_version(), sender=preferred_peer or '-')
            self._wanted_version = version
            self._preferred_peer = preferred_peer
            self._fallback_peer = fallback_peer
            self._is_fetch_due.set()

    def answer_fetch(self, request: FetchRequest) -> FetchAnswer:
        """:returns: The configuration, if it is new enough for the peer that asks."""
        return FetchAnswer(self._board.configuration if self._held_version() >= request.version else None)

    def _held_version(self) -> int:
        return self._board.configuration.version if self._board.configuration else -1

    def _next_source(self, tries: int) -> str:
        """Choose where to ask next: the preferred peer, the parent, then the table and random peers by turns.

        :param tries: Failed or useless attempts so far.
        :returns: Address of the peer to ask; empty for the table.
        """
        own = self._board.own
        members = tuple(self._board.members_by_id.values())
        preferred, self._preferred_peer = self._preferred_peer, ''
        if preferred:
            # Asked once: it may have restarted since it told of the version, or another process may have its address.
            return preferred
        if tries < _PARENT_TRIES:
            parent = parent_of(own.instance, own.data_centre, members)
            return parent.address if parent is not None else ''
        others = [member.address for member in members if member.instance != own.instance]
        return random.choice(others) if others and tries % 2 else ''  # noqa: S311 -- spreads calls, no secret

    async def _fetch_wanted(self) -> None:
        """Ask one source after another until the wanted version is here."""
        tries = 0
        while self._held_version() < self._wanted_version:
            earlier = self._held_version()
            source = self._next_source(tries)
            try:
                await self._fetch_from(source)
            except (TableError, HistoryLost, PeerError) as error:
                log_event('fetch_failed', source=source or 'table', wanted=self._wanted_version, detail=str(error))
                # Skip the parent after one failure: changes must take effect within seconds.
                tries = max(tries, _PARENT_TRIES - 1)
                if not source:
                    self._preferred_peer = self._fallback_peer
            tries += 1
            if self._held_version() == earlier:
                await asyncio.sleep(_FETCH_PAUSE_S * random.uniform(1, 2))  # noqa: S311 -- spreads calls

    async def _fetch_from(self, address: str) -> None:
        """Ask a peer, or the table if no address is given. :raises TableError, HistoryLost, PeerError: No answer."""
        if address:
            answer = await self._peers.fetch(address, FetchRequest(self._held_version() + 1))
            if answer.configuration is None:
                log_event('fetch_empty', source=address, wanted=self._wanted_version)
            else:
                self._board.adopt(answer.configuration, f'peer {address}')
        else:
            began_at = self._board.clock()
            batch = await self._feed.snapshot()
            self._board.record_operators_reading(began_at)
            self._apply(dict(batch.items), is_snapshot=True)

    def _record_failure(self) -> None:
        self._missing.record_failure(self._board.clock())

    def _apply(self, items: dict[str, OperatorEntry | None], is_snapshot: bool) -> None:
        for key, entry in items.items():
            if isinstance(entry, Configuration):
                self._board.adopt(entry, 'table')
            elif isinstance(entry, Evacuation):
                self._missing.record_present(key)
                self._data_centres_by_key[key] = entry.data_centre
        known = set(self._data_centres_by_key)
        removed = known - set(items) if is_snapshot else {key for key, entry in items.items() if entry is None} & known
        for key in removed:
            if self._missing.is_gone(key, self._board.clock()):
                self._data_centres_by_key.pop(key)
            else:
                log_event('evacuation_in_doubt', data_centre=self._data_centres_by_key[key])
        self._publish_evacuations('table')

    def _publish_evacuations(self, source: str, since: Mapping[str, Instant] = _NOTHING_KNOWN) -> None:
        board = self._board
        now = board.clock()
        changed = board.evacuations.replace({name: since.get(name, now) for name in self._data_centres_by_key.values()})
        if changed:
            log_event(
                'evacuations_changed',
                changed=','.join(changed),
                evacuated=','.join(board.evacuations.data_centres) or '-',
                source=source,
            )
            board.changes.on_next('targets')


class TargetFollower:
    """Keeps the blackboard's targets up to date with the registry.

    :param board: The blackboard.
    :param feed: Feed of the target registry.
    """

    def __init__(self, board: Board, feed: Feed[TargetDescription]) -> None:
        self._board = board
        self._feed = feed
        self._missing: MissingEntries[TargetId] = MissingEntries()

    async def run(self) -> None:
        """Follow the feed until cancelled."""
        await FeedReader(self._board, self._feed, self._apply, 'targets', self._record_failure).run()

    def adopt(self, changes: Difference[TargetDescription]) -> None:
        """Apply the coordinator's view of the registry, which still lists targets that it has not confirmed as gone.

        :param changes: How it differs from the targets known here.
        """
        for description in changes.changed:
            self._put(description)
        present = {target.target for target in changes.changed}
        removed = set(self._board.targets_by_id) - present if changes.is_whole else changes.removed
        for name in sorted(removed):
            self._remove(TargetId(name))
        self._board.has_targets = True

    def remove_expired(self) -> None:
        """Remove missing targets whose entries have not come back in time."""
        for target in self._missing.pop_expired(self._board.clock()):
            self._remove(target)

    def _record_failure(self) -> None:
        self._missing.record_failure(self._board.clock())

    def _apply(self, items: dict[str, TargetDescription | None], is_snapshot: bool) -> None:
        for name, description in items.items():
            target = TargetId(name)
            if description is None:
                self._handle_missing(target)
            else:
                self._missing.record_present(target)
                self._put(description)
        if is_snapshot:
            for target in tuple(self._board.targets_by_id):
                if target not in items:
                    self._handle_missing(target)
        self._board.has_targets = True

    def _put(self, description: TargetDescription) -> None:
        known = self._board.targets_by_id.get(description.target)
        if known == description:
            return
        if known is not None and known.is_draining and known.born_ms == description.born_ms:
            # A target that has said that it leaves does not come back; a copy of the registry may say so.
            description = dataclasses.replace(description, is_draining=True)
        self._board.targets_by_id[description.target] = description
        log_event(
            'target_seen',
            target=description.target,
            service=description.service,
            address=description.address,
            draining=description.is_draining,
            role=description.role.value,
            born_ms=description.born_ms,
        )
        self._board.changes.on_next('targets')

    def _handle_missing(self, target: TargetId) -> None:
        if target not in self._board.targets_by_id:
            return
        now = self._board.clock()
        if self._missing.is_gone(target, now):
            self._remove(target)
        else:
            log_event('target_in_doubt', target=target, failed_s=round(self._missing.failed_s(now), 2))

    def _remove(self, target: TargetId) -> None:
        if self._board.targets_by_id.remove(target):
            log_event('target_gone', target=target)
            self._board.changes.on_next('targets')
