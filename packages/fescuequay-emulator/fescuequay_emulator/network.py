"""The simulated network: delays and cut paths between nodes."""

import asyncio
import enum
import random
from typing import Final

#: One-way delay inside a data centre, and between two or to callers, in seconds, as the sites state them.
_SAME_DATA_CENTRE_DELAY_S: Final = 0.0002
_CROSS_DATA_CENTRE_DELAY_S: Final = 0.0005


class CutMode(enum.Enum):
    """How a cut path treats messages: it drops them, refuses them with an error, or holds them until it is restored."""

    SILENT = 'silent'
    REFUSING = 'refusing'
    HOLDING = 'holding'


class Network:
    """Carries all messages between nodes: instances, targets and the table.

    :param rng: Random number generator of the delays.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self.data_centres_by_node: dict[str, str] = {}
        self._cuts: dict[tuple[str, str], CutMode] = {}
        self._held: dict[tuple[str, str], list[asyncio.Future[None]]] = {}

    def add(self, node: str, data_centre: str) -> None:
        """Add a node in a data centre."""
        self.data_centres_by_node[node] = data_centre

    def cut(self, near: str, far: str, how: CutMode = CutMode.SILENT) -> None:
        """Cut the path between two nodes in both directions."""
        self._cuts[near, far] = how
        self._cuts[far, near] = how

    def heal(self, near: str, far: str) -> None:
        """Restore the path between two nodes."""
        for path in ((near, far), (far, near)):
            self._cuts.pop(path, None)
            for message in self._held.pop(path, ()):
                if not message.done():
                    message.set_result(None)

    def is_cut(self, near: str, far: str) -> bool:
        """:returns: Whether the path from one node to another is cut."""
        return (near, far) in self._cuts

    async def transmit(self, start: str, end: str) -> None:
        """Wait for the one-way delay; on a path that is cut silently, wait for ever.

        A message that is held is lost if the sender cancels the call meanwhile, as by a reset of its connection.

        :raises ConnectionRefusedError: The path is cut and refuses messages.
        """
        is_same_data_centre = self.data_centres_by_node.get(start) == self.data_centres_by_node.get(end)
        await asyncio.sleep(
            (_SAME_DATA_CENTRE_DELAY_S if is_same_data_centre else _CROSS_DATA_CENTRE_DELAY_S)
            * self._rng.uniform(1, 1.3)
        )
        how = self._cuts.get((start, end))
        if how is CutMode.REFUSING:
            raise ConnectionRefusedError(f'{start} to {end}')
        if how is CutMode.SILENT:
            await asyncio.get_running_loop().create_future()
        if how is CutMode.HOLDING:
            message = asyncio.get_running_loop().create_future()
            self._held.setdefault((start, end), []).append(message)
            await message
