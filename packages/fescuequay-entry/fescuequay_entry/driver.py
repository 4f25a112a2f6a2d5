"""Abstract interface of database drivers, independent of the kind of target."""

import abc
import dataclasses

from fescuequay_core.exceptions import FescuequayError
from fescuequay_core.requests import ResultSet, Statement, TargetStatus
from fescuequay_core.types import Position, Term


class TargetError(FescuequayError):
    """The target rejected a statement.

    :param message: Error message of the target.
    :param code: Error code of the target.
    :param is_not_primary: Whether it rejected the statement because it is not the primary.
    """

    def __init__(self, message: str, code: str, *, is_not_primary: bool = False) -> None:
        super().__init__(message)
        self.code = code
        self.is_not_primary = is_not_primary


class ConnectError(FescuequayError):
    """No connection could be opened, so no statement was sent."""


class ConnectionLostError(FescuequayError):
    """The connection was lost or timed out after a statement may have been sent."""


class AnswerTooLargeError(FescuequayError):
    """The answer exceeds the size limit of this instance."""


@dataclasses.dataclass(frozen=True, slots=True)
class Endpoint:
    """Address of a target and parameters of its connections.

    :param address: IP address and port.
    :param data_centre: Data centre of this instance, sent to the target.
    :param statement_timeout_s: Timeout of one statement.
    :param max_answer_bytes: Maximum size of an answer.
    """

    address: str
    data_centre: str
    statement_timeout_s: float
    max_answer_bytes: int


class Connection(abc.ABC):
    """A connection to a target, used by one statement or transaction at a time."""

    @abc.abstractmethod
    async def execute(self, statement: Statement) -> ResultSet:
        """Run one statement.

        :param statement: The statement.
        :returns: The rows and the command tag.
        :raises TargetError: when the target rejects the statement.
        :raises ConnectionLostError: when there is no complete answer.
        :raises AnswerTooLargeError: when the statement ran and its answer is too large.
        """

    @abc.abstractmethod
    async def set_read_only(self, *, is_read_only: bool) -> None:
        """Make the target reject writes on this connection, or accept them again.

        :param is_read_only: Whether writes are rejected.
        """

    @abc.abstractmethod
    async def status(self) -> TargetStatus:
        """:returns: The status that the target reports."""

    @abc.abstractmethod
    async def fence(self, term: Term) -> TargetStatus:
        """Fence the target.

        :returns: Its status after the fence.

        :param term: Term of the fence.
        """

    @abc.abstractmethod
    async def promote(self, term: Term) -> Position:
        """Promote the target.

        :returns: The log position at which the term starts.

        :param term: Term in which the target is the primary.
        """

    @property
    @abc.abstractmethod
    def is_clean(self) -> bool:
        """:returns: Whether the connection is idle and its session is in the initial state."""

    @property
    @abc.abstractmethod
    def is_read_only(self) -> bool:
        """:returns: Whether the target rejects writes on this connection."""

    @property
    @abc.abstractmethod
    def is_transaction_intact(self) -> bool:
        """:returns: Whether the transaction begun by this instance is still open and the session unchanged."""

    @abc.abstractmethod
    async def cancel(self) -> None:
        """Request that the target cancels the running statement; best effort."""

    @abc.abstractmethod
    def close(self) -> None:
        """Close the connection at once."""


class Driver(abc.ABC):
    """Opens connections to targets."""

    @abc.abstractmethod
    async def connect(self, endpoint: Endpoint, timeout_s: float) -> Connection:
        """Open a connection.

        :param endpoint: Target to connect to.
        :param timeout_s: Timeout of opening the connection.
        :returns: The connection.
        :raises ConnectError: when none could be opened.
        """
