"""Fair queueing: round robin over the organisations that wait for a group."""

import collections
from collections.abc import Iterator

from fescuequay_core.blackboard import Pending
from fescuequay_core.types import OrganisationId

#: Requests of one organisation considered in one round, so that those behind a blocked first one can run.
_MAX_CANDIDATES_PER_ORGANISATION = 4


class FairLane:
    """Waiting reads or writes of one group.

    Each organisation has its own queue, and the queues are served in turn. An organisation that sends several
    times its share therefore delays only its own requests.
    """

    def __init__(self) -> None:
        self._queues: collections.OrderedDict[OrganisationId, collections.deque[Pending]] = collections.OrderedDict()

    def __len__(self) -> int:
        return sum(len(queue) for queue in self._queues.values())

    def __iter__(self) -> Iterator[Pending]:
        for queue in tuple(self._queues.values()):
            yield from tuple(queue)

    def add(self, pending: Pending) -> None:
        """Append a request to the queue of its organisation.

        :param pending: The request.
        """
        self._queues.setdefault(pending.organisation, collections.deque()).append(pending)

    def remove(self, pending: Pending) -> None:
        """Remove a request and move its organisation to the end of the round.

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
        """:returns: Number of requests that would be served before a new one of this organisation."""
        own = len(self._queues.get(organisation, ()))
        return sum(min(len(queue), own + 1) for name, queue in self._queues.items() if name != organisation) + own

    def candidates(self) -> Iterator[Pending]:
        """Iterate over the requests that may be dispatched next, in the order of the round."""
        for queue in tuple(self._queues.values()):
            yield from tuple(queue)[:_MAX_CANDIDATES_PER_ORGANISATION]
