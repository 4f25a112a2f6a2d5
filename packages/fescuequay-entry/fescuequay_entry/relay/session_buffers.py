"""Memory for what waits on the connections of callers: who is watched, and who is reset when it is used up."""

import abc
from typing import Final

from fescuequay_core.relay.buffer_shares import BufferShares
from fescuequay_core.types import OrganisationId

#: Share of the machine's memory for what waits on callers' connections.
_SHARE_OF_MEMORY: Final = 0.25

#: Memory that is assumed where the settings don't say how much there is, in MB.
_ASSUMED_MEMORY_MB: Final = 256.0

_BYTES_PER_MB: Final = 1_000_000


class Holder(abc.ABC):
    """A session with bytes that wait to be decoded or sent."""

    @abc.abstractmethod
    def held_bytes(self) -> int:
        """:returns: Their number."""

    @abc.abstractmethod
    def reset(self, reason: str) -> None:
        """Reset the connection and discard what waits."""


class SessionBuffers:
    """Bounds the memory of what waits on the connections of all callers of an instance.

    :param memory_mb: Memory of the machine, in MB; nothing if it is not known.
    """

    def __init__(self, memory_mb: float | None) -> None:
        limit_bytes = int((memory_mb or _ASSUMED_MEMORY_MB) * _SHARE_OF_MEMORY * _BYTES_PER_MB)
        self._shares: BufferShares[Holder] = BufferShares(limit_bytes)
        self._organisations_by_holder: dict[Holder, OrganisationId] = {}

    def record_backlog(self, holder: Holder, organisation: OrganisationId) -> None:
        """Watch a session for which much waits, and reset those that must give way.

        :param holder: The session.
        :param organisation: Its organisation.
        """
        self._organisations_by_holder[holder] = organisation
        held = {
            (known_organisation, known): known.held_bytes()
            for known, known_organisation in self._organisations_by_holder.items()
        }
        for largest in self._shares.excess_of(held):
            self.forget(largest)
            largest.reset(f'callers hold more than {self._shares.limit_bytes} bytes')

    def forget(self, holder: Holder) -> None:
        """Stop watching a session that has ended, or for which nothing waits."""
        self._organisations_by_holder.pop(holder, None)
