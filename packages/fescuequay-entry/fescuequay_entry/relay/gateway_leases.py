"""Connections of a gateway that transactions of other instances use."""

import dataclasses

from fescuequay_core.types import Instant
from fescuequay_entry.relay.pool import PooledConnection


@dataclasses.dataclass(slots=True)
class GatewayLease:
    """Connection that a transaction of another instance uses.

    :param pooled: The connection.
    :param used_at: When its latest statement ended.
    :param is_busy: Whether a statement runs on it.
    :param is_dropped: Whether it is closed as soon as that statement ends.
    :param has_written: Whether the transaction has written.
    """

    pooled: PooledConnection
    used_at: Instant
    is_busy: bool = False
    is_dropped: bool = False
    has_written: bool = False
