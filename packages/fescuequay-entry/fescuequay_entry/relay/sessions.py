"""The sessions of the callers of an instance."""

from fescuequay_entry.relay.board import Board
from fescuequay_entry.relay.metrics import RelayMetrics
from fescuequay_entry.relay.ports import CallerConnection
from fescuequay_entry.relay.session import Session
from fescuequay_entry.relay.session_buffers import SessionBuffers
from fescuequay_entry.relay.statement_runner import StatementRunner


class Sessions:
    """Serves each caller in a session, and closes idle sessions on request.

    :param board: Shared state of the instance.
    :param runner: Runs statements at targets.
    :param metrics: Counters and histograms.
    :param memory_mb: Memory of the machine, in MB; nothing if it is not known.
    """

    def __init__(self, board: Board, runner: StatementRunner, metrics: RelayMetrics, memory_mb: float | None) -> None:
        self._board = board
        self._runner = runner
        self._metrics = metrics
        self._buffers = SessionBuffers(memory_mb)
        self._open: set[Session] = set()

    def __len__(self) -> int:
        """:returns: Number of open sessions."""
        return len(self._open)

    async def serve(self, caller: CallerConnection) -> None:
        """Serve a caller until either side closes the connection."""
        session = Session(self._board, self._runner, self._metrics, self._buffers, caller)
        self._open.add(session)
        try:
            await session.run()
        finally:
            self._open.discard(session)

    def busy_count(self) -> int:
        """:returns: Number of sessions whose latest request has not been answered."""
        return sum(session.is_busy for session in self._open)

    def close_idle(self) -> int:
        """:returns: Number of idle sessions that have been closed."""
        return sum(session.close_if_idle() for session in tuple(self._open))
