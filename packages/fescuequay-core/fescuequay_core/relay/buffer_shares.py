"""Which sessions give way when what waits to be decoded or sent exceeds the memory for it.

The load it answers: callers that read slowly or send unfinished messages, alone or many of one organisation.
"""

from collections.abc import Iterator, Mapping
from typing import Generic, TypeVar

from fescuequay_core.types import OrganisationId

Session = TypeVar('Session')


class BufferShares(Generic[Session]):
    """Bounds what all sessions of an instance hold together.

    :param limit_bytes: Most bytes that they may hold.
    """

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes

    def excess_of(self, held_by_session: Mapping[tuple[OrganisationId, Session], int]) -> Iterator[Session]:
        """Choose the sessions to reset: the largest ones of the organisation that holds most, until the rest fits.

        :param held_by_session: Number of bytes that each session holds, by its organisation and itself.
        :returns: The sessions; none if all fit.
        """
        total = sum(held_by_session.values())
        totals_by_organisation: dict[OrganisationId, int] = {}
        sizes_by_organisation: dict[OrganisationId, list[tuple[int, Session]]] = {}
        for (organisation, session), size in held_by_session.items():
            totals_by_organisation[organisation] = totals_by_organisation.get(organisation, 0) + size
            sizes_by_organisation.setdefault(organisation, []).append((size, session))
        for sizes in sizes_by_organisation.values():
            sizes.sort(key=lambda entry: entry[0])
        while total > self.limit_bytes:
            largest = max(totals_by_organisation, key=totals_by_organisation.__getitem__)
            size, session = sizes_by_organisation[largest].pop()
            totals_by_organisation[largest] -= size
            total -= size
            yield session
