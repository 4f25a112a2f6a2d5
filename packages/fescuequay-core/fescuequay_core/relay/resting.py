"""How many connections of a target transactions may hold while others wait."""

from typing import Final

#: Part of the connections that open transactions may hold before single statements that wait go first.
_TRANSACTION_SHARE: Final = 0.6


def may_open(transactions: int, connections: int, waiting: int) -> bool:
    """Decide whether one more transaction may take a connection.

    A transaction at rest keeps its connection while its caller thinks, so that a few slow callers could hold them all.

    :param transactions: Connections that open transactions hold.
    :param connections: Connections that there may be.
    :param waiting: Single statements that wait for one.
    :returns: Whether it may.
    """
    return waiting == 0 or transactions < max(connections * _TRANSACTION_SHARE, 1)
