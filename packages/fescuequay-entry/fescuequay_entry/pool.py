"""Connection pool of one target."""

import asyncio
import collections
import time

from fescuequay_entry.driver import ConnectError, Connection, Driver, Endpoint


class Pool:
    """A bounded pool of connections, each used by one request or transaction at a time.

    A connection returns to the pool only when its last answer was complete and its session is in its initial
    state; otherwise it is closed. Status, fence and promote requests have priority over statements.

    :param driver: Opens connections.
    :param endpoint: Target to connect to.
    :param size: Maximum number of connections.
    :param connect_timeout_s: Timeout of opening a connection.
    :param idle_s: Idle time after which a connection is closed rather than reused.
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
        """:returns: Number of connections that are open or being opened."""
        return self._open_count

    async def acquire(self, *, is_urgent: bool = False, is_read_only: bool | None = None) -> Connection:
        """Acquire a connection for exclusive use until it is released.

        :param is_urgent: Whether the request has priority over statements.
        :param is_read_only: Preferred access mode of the connection; ``None`` for either.
        :returns: A clean connection, not necessarily in the preferred mode.
        :raises ConnectError: when none can be opened, or the size of the pool is zero.
        """
        while True:
            connection = self._take_idle(is_read_only)
            if connection is not None:
                self._open_spare()
                return connection
            if self.size == 0:
                raise ConnectError(f'this instance is not allowed any connections to {self.endpoint.address}')
            if self._open_count < self.size:
                return await self._connect()
            await self._wait_turn(self._urgent_waiters if is_urgent else self._waiters)

    def release(self, connection: Connection) -> None:
        """Return a connection to the pool; it is closed unless it is clean and within the size of the pool.

        :param connection: The connection.
        """
        if connection.is_clean and self._open_count <= self.size:
            self._idle.append((connection, time.monotonic()))
        else:
            self._close(connection)
        self._wake_next_waiter()

    def discard(self, connection: Connection) -> None:
        """Close an acquired connection instead of returning it to the pool.

        :param connection: The connection.
        """
        self._close(connection)
        self._wake_next_waiter()

    def cancel_and_close(self, connection: Connection) -> None:
        """Cancel the statement that runs on an acquired connection, then close the connection.

        :param connection: The connection.
        """
        task = asyncio.get_running_loop().create_task(connection.cancel())
        self._cancel_tasks.add(task)
        task.add_done_callback(lambda done: self._on_cancelled(done, connection))

    def resize(self, size: int) -> None:
        """Change the size of the pool; idle connections in excess of it are closed at once.

        :param size: Maximum number of connections.
        """
        self.size = size
        while self._open_count > size and self._idle:
            self._close(self._idle.popleft()[0])
        self._wake_next_waiter()

    def close_idle(self) -> None:
        """Close all idle connections, after a connection to the target has failed or timed out."""
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
        """Open a connection in the background when none is idle, so that the next request need not wait for it."""
        if self._idle or self._spare_task is not None or self._open_count >= self.size:
            return
        self._spare_task = asyncio.get_running_loop().create_task(self._add_spare())

    async def _add_spare(self) -> None:
        try:
            self.release(await self._connect())
        except ConnectError:
            # The next request that needs a connection gets the error itself.
            return
        finally:
            self._spare_task = None

    def _pop_idle(self, is_read_only: bool | None) -> tuple[Connection, float]:
        """Prefer the most recently used connection, so that surplus ones exceed the idle time and are closed."""
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
                # This waiter was woken but will not use its turn; wake the next one.
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
