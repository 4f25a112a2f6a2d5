"""What the entry instance needs from a target, whatever database it is."""

import abc
import dataclasses

from fescuequay_core.exceptions import FescuequayError
from fescuequay_core.requests import ResultSet, Statement, TargetStatus
from fescuequay_core.types import Position, Term


class TargetError(FescuequayError):
    """The target rejected a statement.

    :param message: What the target said.
    :param code: Its error code.
    :param is_not_primary: Whether it said so because it does not lead.
    """

    def __init__(self, message: str, code: str, *, is_not_primary: bool = False) -> None:
        super().__init__(message)
        self.code = code
        self.is_not_primary = is_not_primary


class ConnectError(FescuequayError):
    """No connection could be opened; nothing was sent."""


class ConnectionLostError(FescuequayError):
    """The connection ended or went silent after something may have been sent."""


class AnswerTooLargeError(FescuequayError):
    """The answer exceeds the limit of this instance."""


@dataclasses.dataclass(frozen=True, slots=True)
class Endpoint:
    """Where a target listens and how it is opened.

    :param address: IP number and port.
    :param data_centre: Data centre of this instance, told to the target.
    :param statement_timeout_s: Longest run of one statement.
    :param max_answer_bytes: Largest answer.
    """

    address: str
    data_centre: str
    statement_timeout_s: float
    max_answer_bytes: int


class Connection(abc.ABC):
    """One connection to a target; used by one statement or transaction at a time."""

    @abc.abstractmethod
    async def execute(self, statement: Statement) -> ResultSet:
        """Run one statement.

        :param statement: The statement.
        :returns: Its rows.
        :raises TargetError: when the target rejects it.
        :raises ConnectionLostError: when no answer comes.
        :raises AnswerTooLargeError: when it ran and the answer is too large.
        """

    @abc.abstractmethod
    async def set_read_only(self, *, is_read_only: bool) -> None:
        """Make the target refuse writes on this connection, or take them again.

        :param is_read_only: Whether writes are refused from now on.
        """

    @abc.abstractmethod
    async def status(self) -> TargetStatus:
        """:returns: What the target says of itself."""

    @abc.abstractmethod
    async def fence(self, term: Term) -> TargetStatus:
        """:returns: The status after the fence.

        :param term: Term of the fence.
        """

    @abc.abstractmethod
    async def promote(self, term: Term) -> Position:
        """:returns: The position at which the term starts.

        :param term: Term in which the target leads.
        """

    @property
    @abc.abstractmethod
    def is_clean(self) -> bool:
        """:returns: Whether the next statement would find the connection as a new one."""

    @property
    @abc.abstractmethod
    def is_read_only(self) -> bool:
        """:returns: Whether the target refuses writes on this connection."""

    @property
    @abc.abstractmethod
    def is_transaction_intact(self) -> bool:
        """:returns: Whether the open transaction is still the one that was begun here."""

    @abc.abstractmethod
    async def cancel(self) -> None:
        """Ask the target to stop the running statement; best effort."""

    @abc.abstractmethod
    def close(self) -> None:
        """Close at once."""


class Driver(abc.ABC):
    """Opens connections."""

    @abc.abstractmethod
    async def connect(self, endpoint: Endpoint, timeout_s: float) -> Connection:
        """Open a connection.

        :param endpoint: Where to.
        :param timeout_s: Longest wait.
        :returns: The connection.
        :raises ConnectError: when none could be opened.
        """
