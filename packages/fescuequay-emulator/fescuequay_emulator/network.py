"""Delays and cuts between the model's places."""

import asyncio
import enum
import random
from typing import Final

#: One way inside a data centre, between two, and to callers, in seconds; as the sites' pages state them.
_SAME_DATA_CENTRE_DELAY_S: Final = 0.0002
_CROSS_DATA_CENTRE_DELAY_S: Final = 0.0005


class CutMode(enum.Enum):
    """How a cut path behaves."""

    SILENT = 'silent'
    REFUSING = 'refusing'


class Network:
    """Carries everything; a cut path swallows or refuses what is sent.

    :param rng: Source of chance.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self.data_centres_by_node: dict[str, str] = {}
        self._cuts: dict[tuple[str, str], CutMode] = {}

    def add(self, node: str, data_centre: str) -> None:
        """Add a node."""
        self.data_centres_by_node[node] = data_centre

    def cut(self, near: str, far: str, how: CutMode = CutMode.SILENT) -> None:
        """Cut both ways between two places."""
        self._cuts[near, far] = how
        self._cuts[far, near] = how

    def heal(self, near: str, far: str) -> None:
        """End a cut."""
        self._cuts.pop((near, far), None)
        self._cuts.pop((far, near), None)

    def is_cut(self, near: str, far: str) -> bool:
        """:returns: Whether nothing goes from one node to another."""
        return (near, far) in self._cuts

    async def transmit(self, start: str, end: str) -> None:
        """Take the time of one way.

        :raises ConnectionRefusedError: The path is cut and refuses.
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
