"""Base class and timer of the controllers."""

import abc
from collections.abc import Callable, Iterator, Mapping
from typing import Any, TypeAlias

from fescuequay_core.blackboard import Blackboard
from fescuequay_core.commands import Command
from fescuequay_core.events import Event
from fescuequay_core.types import Instant

#: Handles one type of event and yields commands.
Handler: TypeAlias = Callable[[Any, Instant], Iterator[Command]]


class Controller(abc.ABC):
    """Handles one concern of the instance and shares its state on the blackboard.

    :param board: The blackboard.
    """

    def __init__(self, board: Blackboard) -> None:
        self.board = board

    @abc.abstractmethod
    def handlers(self) -> Mapping[type[Event], Handler]:
        """:returns: The handlers of this controller by event type."""


class Timer:
    """Limits an action to once per interval; checked at each tick of the host.

    :param interval_s: The interval.
    """

    def __init__(self, interval_s: float) -> None:
        self.interval_s = interval_s
        self._next_at: Instant = float('-inf')

    def is_due(self, now: Instant) -> bool:
        """:returns: Whether the interval has passed; if so, the next one begins."""
        if now < self._next_at:
            return False
        self._next_at = now + self.interval_s
        return True

    def expire(self) -> None:
        """Make the timer due at the next check."""
        self._next_at = float('-inf')
