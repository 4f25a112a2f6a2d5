"""Reads one feed for as long as the coordinator does not relay it."""

import asyncio
import random
from collections.abc import Callable
from typing import Final, Generic, TypeVar

from fescuequay_core.relay.intervals import retry_interval_s
from fescuequay_core.types import Era
from fescuequay_entry.relay.board import Board, log_event
from fescuequay_entry.relay.ports import Batch, Feed, HistoryLost, TableError, TableRejected

Item = TypeVar('Item')

#: Interval between checks whether the coordinator still relays, or the table has begun a new era, in seconds.
_RELAY_CHECK_INTERVAL_S: Final = 0.2


class FeedReader(Generic[Item]):
    """Reads a snapshot of a feed and then its changes.

    :param board: The blackboard.
    :param feed: The feed.
    :param apply: Applies entries by key; is told whether they are a whole snapshot.
    :param name: Name of the feed in logs.
    :param on_failure: Called when entries may be missing from the next snapshot for a while: the table did not answer,
        or it has come back from a copy.
    """

    def __init__(
        self,
        board: Board,
        feed: Feed[Item],
        apply: Callable[[dict[str, Item | None], bool], None],
        name: str,
        on_failure: Callable[[], None],
    ) -> None:
        self._board = board
        self._feed = feed
        self._apply = apply
        self._name = name
        self._on_failure = on_failure
        self._version: int | None = None
        self._era: Era | None = None
        self._is_lost = False

    async def run(self) -> None:
        """Read the feed until cancelled."""
        while True:
            if self._version is not None and await self._wait_while_relayed():
                # The coordinator followed the feeds in the meantime, so this instance starts again with a snapshot.
                self._version = None
            try:
                await self._read()
            except HistoryLost:
                log_event('feed_history_lost', feed=self._name, version=self._version)
                self._version = None
            except TableError as error:
                await self._handle_failure(error)
            else:
                self._handle_answer()

    async def _read(self) -> None:
        """Read the snapshot or the next changes, and apply them.

        :raises HistoryLost: A new snapshot is needed.
        :raises TableError: There was no answer, or one of an earlier era.
        """
        is_snapshot = self._version is None
        batch = await (self._feed.snapshot() if self._version is None else self._wait_for_changes(self._version))
        if self._era is not None and batch.era < self._era:
            raise TableError(f'answer of era {batch.era}, the present one is {self._era}')
        if self._is_new_era(batch) and not is_snapshot:
            raise HistoryLost
        self._board.record_feed_answer(self._name)
        if batch.items or is_snapshot:
            self._apply(dict(batch.items), is_snapshot)
        self._version = batch.version

    async def _wait_for_changes(self, version: int) -> Batch[Item]:
        """Wait for the next changes; a call that the table got in an earlier era may stay without an answer.

        :raises HistoryLost: The table has begun a new era in the meantime, or as for the feed.
        :raises TableError: The call is overdue, or as for the feed.
        """
        timing = self._board.feed_timing
        overdue_at = self._board.clock() + timing.overdue_s
        waiting = asyncio.ensure_future(self._feed.changes(version, timing.wait_s))
        try:
            while not waiting.done():
                left_s = overdue_at - self._board.clock()
                if left_s <= 0:
                    raise TableError(f'no answer in {timing.overdue_s:.1f} s')
                await asyncio.wait({waiting}, timeout=min(left_s, _RELAY_CHECK_INTERVAL_S))
                present = self._board.lease.era
                if not waiting.done() and present is not None and self._era is not None and present > self._era:
                    raise HistoryLost
            return waiting.result()
        finally:
            waiting.cancel()

    def _is_new_era(self, batch: Batch[Item]) -> bool:
        """Note the era of an answer; the copy may lack entries until they are written again.

        :returns: Whether it is later than the one before.
        """
        earlier, self._era = self._era, batch.era
        if earlier is None or batch.era == earlier:
            return False
        log_event('feed_era_changed', feed=self._name, era=batch.era, earlier=earlier)
        self._on_failure()
        return True

    async def _handle_failure(self, error: TableError) -> None:
        """Log the first of consecutive failures, and pause before the next call.

        The first failure may be that of a connection only, which a call on a new one shows at once.
        """
        self._on_failure()
        is_first = not self._is_lost
        self._is_lost = True
        if is_first:
            log_event('feed_lost', feed=self._name, age_s=self._age_s(), detail=str(error))
        if not is_first or isinstance(error, TableRejected):
            await self._pause()

    async def _pause(self) -> None:
        """Pause so long that all instances together call the table at a bounded rate; a coordinator is only one."""
        began_at = self._board.clock()
        share = random.uniform(1 / 2, 2)  # noqa: S311 -- spreads calls, no secret
        while True:
            now = self._board.clock()
            callers = 1 if self._board.lease.holds(now) else self._board.member_count()
            left_s = began_at + share * retry_interval_s(callers) - now
            if left_s <= 0:
                return
            await asyncio.sleep(min(left_s, _RELAY_CHECK_INTERVAL_S))

    def _handle_answer(self) -> None:
        if self._is_lost:
            log_event('feed_regained', feed=self._name, version=self._version)
        self._is_lost = False

    def _age_s(self) -> float | None:
        """:returns: Time since the feed last answered this instance, in seconds; nothing if it never did."""
        answered_at = self._board.feed_answered_at.get(self._name)
        return None if answered_at is None else round(self._board.clock() - answered_at, 2)

    async def _wait_while_relayed(self) -> bool:
        """Wait for as long as the coordinator relays the feeds.

        :returns: Whether it relayed them at all.
        """
        has_waited = False
        while self._board.is_relayed() and not self._board.lease.is_own():
            has_waited = True
            await asyncio.sleep(_RELAY_CHECK_INTERVAL_S)
        return has_waited
