"""Delays and cuts between the model's places."""

import asyncio
import enum
import random
from typing import Final

#: One way inside a data centre, between two, and to callers, in seconds; as the sites' pages state them.
_NEAR_S: Final = 0.0002
_FAR_S: Final = 0.0005


class Cut(enum.Enum):
    """How a cut path behaves."""

    SILENT = 'silent'
    REFUSING = 'refusing'


class Network:
    """Carries everything; a cut path swallows or refuses what is sent.

    :param chance: Source of chance.
    """

    def __init__(self, chance: random.Random) -> None:
        self._chance = chance
        self.zones_by_place: dict[str, str] = {}
        self._cuts: dict[tuple[str, str], Cut] = {}

    def add(self, place: str, zone: str) -> None:
        """Add a place."""
        self.zones_by_place[place] = zone

    def cut(self, near: str, far: str, how: Cut = Cut.SILENT) -> None:
        """Cut both ways between two places."""
        self._cuts[near, far] = how
        self._cuts[far, near] = how

    def heal(self, near: str, far: str) -> None:
        """End a cut."""
        self._cuts.pop((near, far), None)
        self._cuts.pop((far, near), None)

    def is_cut(self, near: str, far: str) -> bool:
        """:returns: Whether nothing goes from one place to another."""
        return (near, far) in self._cuts

    async def travel(self, start: str, end: str) -> None:
        """Take the time of one way.

        :raises ConnectionRefusedError: The path is cut and refuses.
        """
        is_near = self.zones_by_place.get(start) == self.zones_by_place.get(end)
        await asyncio.sleep((_NEAR_S if is_near else _FAR_S) * self._chance.uniform(1, 1.3))
        how = self._cuts.get((start, end))
        if how is Cut.REFUSING:
            raise ConnectionRefusedError(f'{start} to {end}')
        if how is Cut.SILENT:
            await asyncio.get_running_loop().create_future()
