"""Where a statement gets a connection to a target with gateways: from them in turn, then from this instance."""

from fescuequay_core.relay import gateways
from fescuequay_core.relay.waiting import WaitingStatement
from fescuequay_core.types import OrganisationId
from fescuequay_entry.relay.board import Board
from fescuequay_entry.relay.gateway_directory import GatewayDirectory
from fescuequay_entry.relay.hop_connection import HopConnection, HopPooled
from fescuequay_entry.relay.hop_streams import GatewayPeers
from fescuequay_entry.relay.metrics import GatewayMetrics
from fescuequay_entry.relay.pool import ConnectionSource, PooledConnection, TargetPool


class GatewaySource(ConnectionSource):
    """Connections that the gateways of a target hold.

    :param board: Shared state of the instance.
    :param directory: Knows the gateways.
    :param peers: Streams to them.
    :param own: This instance's own connections.
    :param metrics: Counts outcomes.
    """

    is_shared = True

    def __init__(
        self,
        board: Board,
        directory: GatewayDirectory,
        peers: GatewayPeers,
        own: TargetPool,
        metrics: GatewayMetrics,
    ) -> None:
        super().__init__(own.target)
        self._board = board
        self._directory = directory
        self._peers = peers
        self._metrics = metrics
        self.own = own

    def available(self) -> int:
        """:returns: Number of free connections as far as it is known here."""
        load = self._load()
        return self.own.available() if load is None else load[1]

    def has_idle(self, organisation: OrganisationId) -> bool:
        """:returns: True: a gateway usually holds one for each organisation."""
        return True

    def waiting(self) -> int:
        """:returns: Number of statements that wait for a connection, as far as it is known here."""
        load = self._load()
        return self.own.waiting() if load is None else load[0]

    async def acquire(self, statement: WaitingStatement) -> PooledConnection:
        """Acquire a connection from the organisation's gateway, from the other one, or from this instance."""
        chosen = self._directory.gateways_of(self.target)
        for instance in gateways.in_order_for(chosen, self.target.target, statement.organisation):
            if instance == self._board.own.instance:
                break
            peer = self._peers.of(instance)
            stream = await peer.usable_stream(self.target.target) if peer is not None else None
            if peer is not None and stream is not None:
                connection = HopConnection(self._board, peer, stream, self.target, statement, self._metrics)
                return HopPooled(connection, self.target, statement, self)
        return await self.own.acquire(statement)

    def release(self, pooled: PooledConnection, *, is_clean: bool) -> None:
        """Give a gateway's connection back; it has it already, unless a transaction is open."""
        pooled.connection.close()

    def sweep(self) -> None:
        """Nothing is held here."""

    def close(self) -> None:
        """Nothing is held here."""

    def _load(self) -> tuple[int, int] | None:
        """:returns: The shortest waiting line that a gateway reported lately; nothing without a report."""
        peers = (self._peers.of(instance) for instance in self._directory.gateways_of(self.target))
        loads = [peer.load_of(self.target.target) for peer in peers if peer is not None]
        return min((load for load in loads if load is not None), default=None)
