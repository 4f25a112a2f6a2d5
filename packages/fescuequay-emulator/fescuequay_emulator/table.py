"""The simulated table, the feeds of configuration and targets, and their faults."""

import asyncio
import dataclasses
import random
from collections.abc import Mapping, Sequence
from typing import Final, Generic, TypeVar

from fescuequay_core.types import Era
from fescuequay_emulator.network import Network
from fescuequay_entry.relay.ports import (
    Batch,
    CommitResult,
    Feed,
    HistoryLost,
    Table,
    TableError,
    TableRejected,
    TableRow,
    TableSnapshot,
)

Item = TypeVar('Item')

#: Node of the table in the network.
TABLE_NODE: Final = 'table'

#: Time that the table takes for a call, in seconds.
_CALL_DURATION_S: Final = 0.004

#: Offset of the table's clock from those of the instances, in seconds.
_CLOCK_OFFSET_S: Final = 1000.0

#: Interval between two copies for drills, and age up to which they are kept, in seconds.
_COPY_INTERVAL_S: Final = 0.25
_OLDEST_COPY_S: Final = 8.0

#: Timeout of a call, in seconds; the same as in the real client.
_CALL_TIMEOUT_S: Final = 1.0


@dataclasses.dataclass(slots=True)
class StoreFaults:
    """Faults of the table that are in effect.

    :param is_silent: Whether it answers no calls.
    :param is_busy: Whether it rejects all calls.
    :param rejected: Instances whose calls it rejects.
    :param slowdown_factor: Factor on the time that a call takes.
    :param lost_answer_share: Share of the writes that are executed but not answered.
    :param max_delay_s: Longest delay until an unanswered write is executed.
    """

    is_silent: bool = False
    is_busy: bool = False
    rejected: frozenset[str] = frozenset()
    slowdown_factor: float = 1.0
    lost_answer_share: float = 0.0
    max_delay_s: float = 0.0


class Store:
    """State of the table: rows whose versions come from one counter that the feeds share.

    :param network: The network.
    :param rng: Random number generator of the faults.
    """

    def __init__(self, network: Network, rng: random.Random) -> None:
        self.network = network
        self.faults = StoreFaults()
        self.calls = 0
        self.version = 0
        self.rows: dict[str, TableRow] = {}
        self.oldest_retained_version = 0
        self.era = Era(1)
        self.era_began_at = float('-inf')
        self._copies: list[tuple[float, int, dict[str, TableRow]]] = []
        self._rng = rng
        self._waiters: dict[asyncio.Future[None], None] = {}
        # When the connections of each instance last went silent; calls that began earlier stay without an answer.
        self._silent_at: dict[str, float] = {}
        # For instances whose next write is left without an answer, the time until it takes effect.
        self._lost_writes: dict[str, float | None] = {}

    async def keep_copies(self) -> None:
        """Keep copies of the rows for drills, until cancelled."""
        while True:
            now = asyncio.get_running_loop().time()
            self._copies.append((now, self.version, dict(self.rows)))
            self._copies = [copy for copy in self._copies if copy[0] > now - _OLDEST_COPY_S]
            await asyncio.sleep(_COPY_INTERVAL_S)

    async def restore_copy(self, age_s: float, away_s: float) -> None:
        """Be away for a moment and come back from a copy: later rows of the system are gone, a new era begins.

        The rows of operators and targets are kept, as if they had been written again at once.

        :param age_s: Age of the copy when the table goes away, in seconds.
        :param away_s: Time for which it does not answer, in seconds.
        """
        began_at = asyncio.get_running_loop().time()
        older = [copy for copy in self._copies if copy[0] <= began_at - age_s] or self._copies[:1]
        _, version, rows = older[-1]
        was_silent = self.faults.is_silent
        self.faults.is_silent = True
        await asyncio.sleep(away_s)
        self.version, self.rows = version, dict(rows)
        self._copies = older
        self.era = Era(self.era + 1)
        self.era_began_at = asyncio.get_running_loop().time()
        self.oldest_retained_version = self.version + 1
        self.faults.is_silent = was_silent
        self.increment_version()

    def present_row(self, key: str) -> TableRow | None:
        """:returns: The row of the present era under a key of the system, without the era's prefix."""
        return self.rows.get(f'{self.era}/{key}')

    def clock_s(self) -> float:
        """:returns: Time on the table's monotonic clock, in seconds."""
        return asyncio.get_running_loop().time() + _CLOCK_OFFSET_S

    def increment_version(self) -> int:
        """:returns: The next version; wakes every task that waits for a change."""
        self.version += 1
        for waiter in tuple(self._waiters):
            if not waiter.done():
                waiter.set_result(None)
        return self.version

    async def wait_for_change(self, limit_s: float) -> None:
        """Wait until any row or entry changes, for ``limit_s`` at most."""
        waiter = asyncio.get_running_loop().create_future()
        self._waiters[waiter] = None
        try:
            await asyncio.wait_for(waiter, limit_s)
        except TimeoutError:
            return
        finally:
            self._waiters.pop(waiter, None)

    def silence_connections(self, caller: str) -> None:
        """Let the connections of an instance go silent, so that calls under way get no answer; new ones work."""
        self._silent_at[caller] = asyncio.get_running_loop().time()

    def lose_next_write(self, caller: str, effect_after_s: float | None) -> None:
        """Leave the next write of an instance without an answer.

        :param caller: Name of the instance.
        :param effect_after_s: Time until it takes effect, in seconds; nothing if it never does.
        """
        self._lost_writes[caller] = effect_after_s

    async def receive_call(self, caller: str) -> float:
        """Carry a call to the table and apply its faults.

        :returns: When the call began, in seconds.
        :raises TableRejected: The call was rejected.
        """
        began_at = asyncio.get_running_loop().time()
        self.calls += 1
        await self.network.transmit(caller, TABLE_NODE)
        if self.faults.is_silent:
            await asyncio.get_running_loop().create_future()
        await asyncio.sleep(_CALL_DURATION_S * self.faults.slowdown_factor)
        if self.faults.is_busy or caller in self.faults.rejected:
            raise TableRejected('503')
        return began_at

    async def send_answer(self, caller: str, began_at: float) -> None:
        """Carry the answer of a call back, unless its connection has gone silent meanwhile."""
        if began_at < self._silent_at.get(caller, float('-inf')):
            await asyncio.get_running_loop().create_future()
        await self.network.transmit(TABLE_NODE, caller)

    def commit(self, versions: Mapping[str, int], puts: Mapping[str, bytes], deletes: Sequence[str]) -> CommitResult:
        """Write rows if every row in ``versions`` still has its version; version 0 means that the row is absent."""
        present = {key: self.rows[key] for key in versions if key in self.rows}
        if any((present[key].version if key in present else 0) != version for key, version in versions.items()):
            return CommitResult(
                is_accepted=False, version=self.version, rows_by_key=present, at_s=self.clock_s(), era=self.era
            )
        version = self.increment_version()
        for key, content in puts.items():
            self.rows[key] = TableRow(key, content, version)
        for key in deletes:
            self.rows.pop(key, None)
        return CommitResult(is_accepted=True, version=version, rows_by_key={}, at_s=self.clock_s(), era=self.era)

    async def simulate_lost_answer(
        self, caller: str, versions: Mapping[str, int], puts: Mapping[str, bytes], deletes: Sequence[str]
    ) -> None:
        """For a share of the writes, schedule the write and never answer; otherwise do nothing."""
        if caller in self._lost_writes:
            effect_after_s = self._lost_writes.pop(caller)
        elif self._rng.random() < self.faults.lost_answer_share:
            effect_after_s = self._rng.uniform(0, self.faults.max_delay_s)
        else:
            return
        loop = asyncio.get_running_loop()
        if effect_after_s is not None:
            loop.call_later(effect_after_s, self.commit, versions, puts, deletes)
        await loop.create_future()


async def _with_timeout(step: 'asyncio._CoroutineLike[Item]', limit_s: float) -> Item:
    try:
        return await asyncio.wait_for(step, limit_s)
    except (TimeoutError, ConnectionRefusedError) as error:
        raise TableError(type(error).__name__) from error


class ModelTable(Table):
    """Client of the table for one instance.

    :param store: State of the table.
    :param caller: Name of the instance.
    """

    def __init__(self, store: Store, caller: str) -> None:
        self._store = store
        self._caller = caller

    async def read(self) -> TableSnapshot:
        """Read all rows."""
        return await _with_timeout(self._read(), _CALL_TIMEOUT_S)

    async def commit(
        self, versions_by_key: Mapping[str, int], puts: Mapping[str, bytes], deletes: Sequence[str] = ()
    ) -> CommitResult:
        """Write rows if the rows in ``versions_by_key`` still have their versions."""
        return await _with_timeout(self._commit(versions_by_key, puts, deletes), _CALL_TIMEOUT_S)

    async def _read(self) -> TableSnapshot:
        began_at = await self._store.receive_call(self._caller)
        snapshot = TableSnapshot(
            tuple(self._store.rows[key] for key in sorted(self._store.rows)), self._store.clock_s(), self._store.era
        )
        await self._store.send_answer(self._caller, began_at)
        return snapshot

    async def _commit(
        self, versions: Mapping[str, int], puts: Mapping[str, bytes], deletes: Sequence[str]
    ) -> CommitResult:
        began_at = await self._store.receive_call(self._caller)
        await self._store.simulate_lost_answer(self._caller, versions, puts, deletes)
        written = self._store.commit(versions, puts, deletes)
        await self._store.send_answer(self._caller, began_at)
        return written


class FeedEntries(Generic[Item]):
    """Entries of one feed and the version of each change.

    :param store: The table, whose version counter they share.
    """

    def __init__(self, store: Store) -> None:
        self.store = store
        self.items: dict[str, Item] = {}
        self.changes: list[tuple[int, str]] = []

    def put(self, key: str, item: Item) -> None:
        """Write an entry."""
        self.items[key] = item
        self.changes.append((self.store.version + 1, key))
        self.store.increment_version()

    def remove(self, key: str) -> None:
        """Remove an entry."""
        if self.items.pop(key, None) is not None:
            self.changes.append((self.store.version + 1, key))
            self.store.increment_version()


class ModelFeed(Feed[Item]):
    """Client of a feed for one instance.

    :param entries: The entries.
    :param caller: Name of the instance.
    """

    def __init__(self, entries: FeedEntries[Item], caller: str) -> None:
        self._entries = entries
        self._caller = caller

    async def snapshot(self) -> Batch[Item]:
        """:returns: All entries."""
        return await _with_timeout(self._snapshot(), _CALL_TIMEOUT_S)

    async def changes(self, after: int, wait_s: float) -> Batch[Item]:
        """Wait for changes after a version.

        :returns: The changed entries, without a value where removed; none if nothing changed within ``wait_s``.
        :raises HistoryLost: The changes since that version are no longer kept.
        """
        return await _with_timeout(self._changes(after, wait_s), wait_s + _CALL_TIMEOUT_S)

    async def _snapshot(self) -> Batch[Item]:
        store = self._entries.store
        began_at = await store.receive_call(self._caller)
        batch: Batch[Item] = Batch(dict(self._entries.items), store.version, store.era)
        await store.send_answer(self._caller, began_at)
        return batch

    async def _changes(self, after: int, wait_s: float) -> Batch[Item]:
        store = self._entries.store
        began_at = await store.receive_call(self._caller)
        era = store.era
        if not store.oldest_retained_version <= after <= store.version:
            raise HistoryLost
        until = asyncio.get_running_loop().time() + wait_s
        while not self._changed_keys(after) and asyncio.get_running_loop().time() < until:
            await store.wait_for_change(until - asyncio.get_running_loop().time())
        if store.era != era:
            raise HistoryLost
        batch: Batch[Item] = Batch(
            {key: self._entries.items.get(key) for key in self._changed_keys(after)}, store.version, store.era
        )
        await store.send_answer(self._caller, began_at)
        return batch

    def _changed_keys(self, after: int) -> list[str]:
        return [key for version, key in self._entries.changes if version > after]
