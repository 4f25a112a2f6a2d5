"""Followers of the feeds: the operators' configuration and the target registry."""

import asyncio
import random
from collections.abc import Callable
from typing import Final, TypeVar

from fescuequay_core.relay.distribution import parent_of
from fescuequay_core.relay.history import Difference
from fescuequay_core.relay.intervals import retry_interval_s
from fescuequay_core.relay.model import Configuration, TargetDescription
from fescuequay_core.types import Era, Instant, TargetId
from fescuequay_entry.relay.board import Board, log_event
from fescuequay_entry.relay.messages import FetchAnswer, FetchRequest
from fescuequay_entry.relay.ports import Feed, HistoryLost, PeerError, Peers, TableError

Item = TypeVar('Item')

#: Maximum wait for a change in one call, in seconds. A dead connection is noticed after this and the client's own
#: timeout of 1 s; until then, peers relay newer configurations. 4 s halve the number of calls compared with 2 s.
LONG_POLL_S: Final = 4.0

#: Number of feeds that are followed.
FEED_COUNT: Final = 2

#: Maximum age of the coordinator's feeds for which other instances rely on them, in seconds: one long poll without a
#: change, and 1 s for a late answer.
RELAYED_FEED_MAX_AGE_S: Final = LONG_POLL_S + 1.0

#: Interval between checks whether the coordinator still relays, in seconds.
_RELAY_CHECK_INTERVAL_S: Final = 0.2

#: Attempts at the parent before the table is asked. The parent itself needs one or two steps to get the configuration.
_PARENT_TRIES: Final = 4

#: Minimum pause between two attempts to get a configuration, in seconds: about the time that a parent takes to get it.
_FETCH_PAUSE_S: Final = 0.12

#: Time after a failed call during which a target missing from the registry is kept, in seconds. Entries that expired
#: while the table was unavailable are back within about 2 s of its return.
_REMOVAL_DELAY_S: Final = 2.5


class ConfigurationFollower:
    """Adopts each newer configuration from the feed or from peers.

    :param board: The blackboard.
    :param feed: Feed of the operators' configuration.
    :param peers: Client of the other instances.
    """

    def __init__(self, board: Board, feed: Feed[Configuration], peers: Peers) -> None:
        self._board = board
        self._feed = feed
        self._peers = peers
        self._wanted_version = -1
        self._preferred_peer = ''
        self._fallback_peer = ''
        self._is_fetch_due = asyncio.Event()

    async def run(self) -> None:
        """Follow the feed until cancelled."""
        await _follow(self._board, self._feed, self._apply, 'configuration', on_failure=_ignore_failure)

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
        if self._preferred_peer:
            return self._preferred_peer
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
                self._preferred_peer = '' if source else self._fallback_peer
            tries += 1
            if self._held_version() == earlier:
                await asyncio.sleep(_FETCH_PAUSE_S * random.uniform(1, 2))  # noqa: S311 -- spreads calls

    async def _fetch_from(self, address: str) -> None:
        """Ask a peer, or the table if no address is given. :raises TableError, HistoryLost, PeerError: No answer."""
        if address:
            answer = await self._peers.fetch(address, FetchRequest(self._held_version() + 1))
            if answer.configuration is not None:
                self._board.adopt(answer.configuration, f'peer {address}')
        else:
            self._apply(dict((await self._feed.snapshot()).items), _is_snapshot=True)

    def _apply(self, items: dict[str, Configuration | None], _is_snapshot: bool) -> None:
        for configuration in items.values():
            if configuration is not None:
                self._board.adopt(configuration, 'table')


class TargetFollower:
    """Keeps the blackboard's targets up to date with the registry.

    :param board: The blackboard.
    :param feed: Feed of the target registry.
    """

    def __init__(self, board: Board, feed: Feed[TargetDescription]) -> None:
        self._board = board
        self._feed = feed
        self._missing_since: dict[TargetId, Instant] = {}
        self._failed_at: Instant = float('-inf')

    async def run(self) -> None:
        """Follow the feed until cancelled."""
        await _follow(self._board, self._feed, self._apply, 'targets', on_failure=self._record_failure)

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
        now = self._board.clock()
        for target, missing_since in tuple(self._missing_since.items()):
            if now - max(missing_since, self._failed_at) >= _REMOVAL_DELAY_S:
                self._missing_since.pop(target)
                self._remove(target)

    def _record_failure(self) -> None:
        self._failed_at = self._board.clock()

    def _apply(self, items: dict[str, TargetDescription | None], is_snapshot: bool) -> None:
        for name, description in items.items():
            target = TargetId(name)
            if description is None:
                self._handle_missing(target)
            else:
                self._missing_since.pop(target, None)
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
        if now - self._failed_at < _REMOVAL_DELAY_S:
            self._missing_since.setdefault(target, now)
            log_event('target_in_doubt', target=target, failed_s=round(now - self._failed_at, 2))
        else:
            self._remove(target)

    def _remove(self, target: TargetId) -> None:
        if self._board.targets_by_id.pop(target, None) is not None:
            log_event('target_gone', target=target)
            self._board.changes.on_next('targets')


async def _follow(
    board: Board,
    feed: Feed[Item],
    apply: Callable[[dict[str, Item | None], bool], None],
    name: str,
    on_failure: Callable[[], None],
) -> None:
    version: int | None = None
    era: Era | None = None
    is_lost = False
    while True:
        if version is not None and await _wait_while_relayed(board):
            # The coordinator followed the feeds in the meantime, so this instance starts again with a snapshot.
            version = None
        try:
            batch = await feed.snapshot() if version is None else await feed.changes(version, LONG_POLL_S)
            if era is not None and batch.era < era:
                raise TableError(f'answer of era {batch.era}, the present one is {era}')  # noqa: TRY301 -- as no answer
            if era is not None and batch.era > era:
                # The copy may lack entries until their writers have written them again, as after an outage.
                log_event('feed_era_changed', feed=name, era=batch.era, earlier=era)
                on_failure()
                era, version = batch.era, None
                continue
            era = batch.era
            if batch.items or version is None:
                apply(dict(batch.items), version is None)
            version = batch.version
        except HistoryLost:
            log_event('feed_history_lost', feed=name, version=version)
            version = None
        except TableError as error:
            on_failure()
            _log_feed_lost(name, error, is_lost=is_lost)
            is_lost = True
            pause_s = retry_interval_s(board.member_count())
            await asyncio.sleep(random.uniform(pause_s / 2, pause_s * 2))  # noqa: S311 -- spreads calls, no secret
        else:
            board.feed_answered_at[name] = board.clock()
            if is_lost:
                log_event('feed_regained', feed=name, version=version)
            is_lost = False


def _ignore_failure() -> None:
    """Ignore a failed call, since the present configuration stays in force."""


def _log_feed_lost(name: str, error: TableError, *, is_lost: bool) -> None:
    """Log the first of consecutive failures."""
    if not is_lost:
        log_event('feed_lost', feed=name, detail=str(error))


async def _wait_while_relayed(board: Board) -> bool:
    """Wait for as long as the coordinator relays the feeds.

    :returns: Whether it relayed them at all.
    """
    has_waited = False
    while board.is_relayed() and not board.lease.is_own():
        has_waited = True
        await asyncio.sleep(_RELAY_CHECK_INTERVAL_S)
    return has_waited
