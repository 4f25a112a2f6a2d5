"""Fair queues: one per organisation in front of each group, served in turn."""

import collections
from collections.abc import Iterator

from fescuequay_core.blackboard import Pending
from fescuequay_core.types import OrganisationId

#: Requests of one organisation that are considered in one turn, past a head that cannot go yet.
_MAX_CANDIDATES_PER_ORGANISATION = 4


class FairLane:
    """Waiting requests of one group and class.

    Each organisation has a queue of its own, and the organisations take turns, so that one that sends
    several times its part waits behind itself and not in front of others.
    """

    def __init__(self) -> None:
        self._queues: collections.OrderedDict[OrganisationId, collections.deque[Pending]] = collections.OrderedDict()

    def __len__(self) -> int:
        return sum(len(queue) for queue in self._queues.values())

    def __iter__(self) -> Iterator[Pending]:
        for queue in tuple(self._queues.values()):
            yield from tuple(queue)

    def add(self, pending: Pending) -> None:
        """Put a request behind the others of its organisation.

        :param pending: The request.
        """
        self._queues.setdefault(pending.organisation, collections.deque()).append(pending)

    def remove(self, pending: Pending) -> None:
        """Take a request out; its organisation goes to the end of the turns.

        :param pending: The request.
        """
        queue = self._queues.get(pending.organisation)
        if queue is None or pending not in queue:
            return
        queue.remove(pending)
        if queue:
            self._queues.move_to_end(pending.organisation)
        else:
            self._queues.pop(pending.organisation)

    def count_ahead(self, organisation: OrganisationId) -> int:
        """:returns: How many requests would be served before a new one of this organisation."""
        own = len(self._queues.get(organisation, ()))
        return sum(min(len(queue), own + 1) for name, queue in self._queues.items() if name != organisation) + own

    def candidates(self) -> Iterator[Pending]:
        """Iterate over the requests that may go next, in the order of the turns."""
        for queue in tuple(self._queues.values()):
            yield from tuple(queue)[:_MAX_CANDIDATES_PER_ORGANISATION]
