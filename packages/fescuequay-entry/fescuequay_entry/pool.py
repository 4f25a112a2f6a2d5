"""Connections to one target: bounded, opened ahead, closed after silence or doubt."""

import asyncio
import collections
import time

from fescuequay_entry.driver import ConnectError, Connection, Driver, Endpoint


class Pool:
    """Lends connections one user at a time.

    A connection comes back only when its last answer was complete and it is as clean as a new one;
    otherwise it is closed. Status, fence and promote requests go before statements.

    :param driver: Opens connections.
    :param endpoint: Where to.
    :param size: Largest number of connections.
    :param connect_timeout_s: Longest wait for a new connection.
    :param idle_s: Idle time after which a connection is closed rather than trusted.
    """

    def __init__(self, driver: Driver, endpoint: Endpoint, size: int, connect_timeout_s: float, idle_s: float) -> None:
        self.endpoint = endpoint
        self.size = size
        self._driver = driver
        self._connect_timeout_s = connect_timeout_s
        self._idle_s = idle_s
        self._idle: collections.deque[tuple[Connection, float]] = collections.deque()
        self._open_count = 0
        self._spare_task: asyncio.Task[None] | None = None
        self._cancel_tasks: set[asyncio.Task[None]] = set()
        self._urgent_waiters: collections.deque[asyncio.Future[None]] = collections.deque()
        self._waiters: collections.deque[asyncio.Future[None]] = collections.deque()

    @property
    def open_count(self) -> int:
        """:returns: Connections that are open or being opened."""
        return self._open_count

    async def acquire(self, *, is_urgent: bool = False, is_read_only: bool | None = None) -> Connection:
        """Take a connection; nobody else has it until it is released.

        :param is_urgent: Whether to go before statements.
        :param is_read_only: Whether the target should refuse writes on it; nothing when that does not matter.
        :returns: A clean connection.
        :raises ConnectError: when none can be opened, or the pool has none to give.
        """
        while True:
            connection = self._take_idle(is_read_only)
            if connection is not None:
                self._open_spare()
                return connection
            if self.size == 0:
                raise ConnectError(f'this instance may hold no connection to {self.endpoint.address}')
            if self._open_count < self.size:
                return await self._connect()
            await self._wait_turn(self._urgent_waiters if is_urgent else self._waiters)

    def release(self, connection: Connection) -> None:
        """Give a connection back; it is closed if there is any doubt about it.

        :param connection: The connection.
        """
        if connection.is_clean and self._open_count <= self.size:
            self._idle.append((connection, time.monotonic()))
        else:
            self._close(connection)
        self._wake_next_waiter()

    def discard(self, connection: Connection) -> None:
        """Close a connection that was acquired.

        :param connection: The connection.
        """
        self._close(connection)
        self._wake_next_waiter()

    def cancel_and_close(self, connection: Connection) -> None:
        """Cancel what runs on a connection that was acquired, then close it.

        :param connection: The connection.
        """
        task = asyncio.get_running_loop().create_task(connection.cancel())
        self._cancel_tasks.add(task)
        task.add_done_callback(lambda done: self._on_cancelled(done, connection))

    def resize(self, size: int) -> None:
        """Change the bound; idle connections beyond it are closed at once.

        :param size: Largest number of connections.
        """
        self.size = size
        while self._open_count > size and self._idle:
            self._close(self._idle.popleft()[0])
        self._wake_next_waiter()

    def close_idle(self) -> None:
        """Close every idle connection, because one of them went silent."""
        while self._idle:
            self._close(self._idle.popleft()[0])
        self._wake_next_waiter()

    def _on_cancelled(self, task: asyncio.Task[None], connection: Connection) -> None:
        self._cancel_tasks.discard(task)
        self.discard(connection)

    def _take_idle(self, is_read_only: bool | None) -> Connection | None:
        while self._idle:
            connection, idle_since = self._pop_idle(is_read_only)
            if connection.is_clean and time.monotonic() - idle_since < self._idle_s:
                return connection
            self._close(connection)
        return None

    def _open_spare(self) -> None:
        """Have the next connection ready before somebody waits for it."""
        if self._idle or self._spare_task is not None or self._open_count >= self.size:
            return
        self._spare_task = asyncio.get_running_loop().create_task(self._add_spare())

    async def _add_spare(self) -> None:
        try:
            self.release(await self._connect())
        except ConnectError:
            # Whoever needs the connection next meets the error itself.
            return
        finally:
            self._spare_task = None

    def _pop_idle(self, is_read_only: bool | None) -> tuple[Connection, float]:
        """The last one used comes first, so that the others grow old and are closed."""
        for entry in reversed(self._idle):
            if is_read_only is None or entry[0].is_read_only is is_read_only:
                self._idle.remove(entry)
                return entry
        return self._idle.pop()

    async def _wait_turn(self, queue: collections.deque[asyncio.Future[None]]) -> None:
        waiter: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        queue.append(waiter)
        try:
            await waiter
        except asyncio.CancelledError:
            if waiter.done() and not waiter.cancelled():
                # The turn was given and not used, so the next in line gets it.
                self._wake_next_waiter()
            elif waiter in queue:
                queue.remove(waiter)
            raise

    async def _connect(self) -> Connection:
        self._open_count += 1
        try:
            return await self._driver.connect(self.endpoint, self._connect_timeout_s)
        except BaseException:
            self._open_count -= 1
            self._wake_next_waiter()
            raise

    def _close(self, connection: Connection) -> None:
        self._open_count -= 1
        connection.close()

    def _wake_next_waiter(self) -> None:
        for queue in (self._urgent_waiters, self._waiters):
            while queue:
                waiter = queue.popleft()
                if not waiter.done():
                    waiter.set_result(None)
                    return
