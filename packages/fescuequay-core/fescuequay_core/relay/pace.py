"""How many statements may be at a target at a time."""

import abc
import math

from fescuequay_core.types import Instant


class Pace(abc.ABC):
    """Limit of the statements that one instance may have at a target at a time."""

    @abc.abstractmethod
    def limit(self, now: Instant) -> float:
        """:returns: Statements and openings of connections that may be at the target at a time."""

    @abc.abstractmethod
    def record_answer(self, now: Instant, took_s: float, in_flight: int) -> None:
        """Record a statement that ran.

        :param now: Present time.
        :param took_s: Time of its answer, in seconds.
        :param in_flight: Number of statements that were at the target when it was sent, this one included.
        """

    @abc.abstractmethod
    def record_overload(self, now: Instant) -> None:
        """Record that the target turned a statement or a connection away because it is full."""

    @abc.abstractmethod
    def record_failure(self, now: Instant) -> None:
        """Record that the target did not answer."""

    @abc.abstractmethod
    def restart(self, now: Instant) -> None:
        """Begin anew, since the target has just started, recovered or been promoted."""


class Unpaced(Pace):
    """No limit besides the connections."""

    def limit(self, now: Instant) -> float:
        """:returns: No limit."""
        return math.inf

    def record_answer(self, now: Instant, took_s: float, in_flight: int) -> None:
        """Ignore the answer."""

    def record_overload(self, now: Instant) -> None:
        """Ignore the overload."""

    def record_failure(self, now: Instant) -> None:
        """Ignore the failure."""

    def restart(self, now: Instant) -> None:
        """Ignore the restart."""
