"""Interfaces through which a relaying instance meets callers, targets, the table and the promoter."""

import abc
import dataclasses
import enum
from collections.abc import Awaitable, Callable, Mapping, Sequence
from typing import Final, Generic, TypeAlias, TypeVar

from fescuequay_core.relay.model import (
    Configuration,
    Credential,
    DatabaseName,
    LogPosition,
    SessionState,
    Statement,
    TargetDescription,
    TargetReport,
)
from fescuequay_core.relay.refusals import Refused
from fescuequay_core.types import InstanceId, OrganisationId, RequestId, ServiceId, TargetId, Term
from fescuequay_entry.relay.messages import (
    CloseAnswer,
    CloseRequest,
    ExchangeAnswer,
    ExchangeRequest,
    FetchAnswer,
    FetchRequest,
    News,
    SupplyAnswer,
    SupplyRequest,
)

Item = TypeVar('Item')


class TableError(Exception):
    """The table did not do what was asked; a write may or may not have been done."""


class TableRejected(TableError):
    """The table said that nothing was done."""


class HistoryLost(TableError):
    """The changes since the given version are no longer kept; a new snapshot is needed."""


@dataclasses.dataclass(frozen=True, slots=True)
class TableRow:
    """One row.

    :param key: Its key.
    :param content: Its value.
    :param version: Grows with each change of any row.
    """

    key: str
    content: bytes
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class CommitResult:
    """What became of a conditional write.

    :param is_accepted: Whether it was done.
    :param version: Version of the rows that it wrote.
    :param rows_by_key: Where a condition failed, the rows of the conditions as they are.
    :param at_s: Time on the table's steady clock when it answered, in seconds.
    """

    is_accepted: bool
    version: int
    rows_by_key: Mapping[str, TableRow]
    at_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class TableSnapshot:
    """Every row of the table as of one moment.

    :param rows: The rows in the order of their keys.
    :param at_s: Time on the table's steady clock when it answered, in seconds.
    """

    rows: tuple[TableRow, ...]
    at_s: float


class Table(abc.ABC):
    """The system's own table: linearizable reads and conditional writes."""

    @abc.abstractmethod
    async def read(self) -> TableSnapshot:
        """Read every row as of one moment after the call began.

        :returns: The rows.
        :raises TableError: There was no answer.
        """

    @abc.abstractmethod
    async def commit(
        self, versions_by_key: Mapping[str, int], puts: Mapping[str, bytes], deletes: Sequence[str] = ()
    ) -> CommitResult:
        """Write rows if others still have their versions.

        :param versions_by_key: Version that each of these rows must have; 0 for none.
        :param puts: Contents to write.
        :param deletes: Keys to remove.
        :returns: Whether it was done.
        :raises TableRejected: It was surely not done.
        :raises TableError: It may have been done, or may be done later if its conditions still hold.
        """


@dataclasses.dataclass(frozen=True, slots=True)
class Batch(Generic[Item]):
    """Some entries of a feed.

    :param items: Entries that are there; nothing for one that was removed, by key.
    :param version: Where to go on.
    """

    items: Mapping[str, Item | None]
    version: int


class Feed(abc.ABC, Generic[Item]):
    """Entries that others write and this system follows."""

    @abc.abstractmethod
    async def snapshot(self) -> Batch[Item]:
        """:returns: All entries. :raises TableError: There was no answer."""

    @abc.abstractmethod
    async def changes(self, after: int, wait_s: float) -> Batch[Item]:
        """Wait for changes.

        :param after: Version of the latest batch.
        :param wait_s: Longest wait.
        :returns: What changed; empty when nothing did.
        :raises HistoryLost: A snapshot is needed.
        :raises TableError: There was no answer.
        """


ConfigurationFeed: TypeAlias = Feed[Configuration]
TargetFeed: TypeAlias = Feed[TargetDescription]


class PromoteResult(enum.Enum):
    """What the promoter said."""

    ACCEPTED = 'accepted'
    REFUSED = 'refused'
    UNKNOWN = 'unknown'


class Promoter(abc.ABC):
    """Makes a target lead its service."""

    @abc.abstractmethod
    async def promote(self, service: ServiceId, target: TargetId, holder: InstanceId, token: int) -> PromoteResult:
        """Ask for a target to lead the next term.

        :param service: Its service.
        :param target: The target.
        :param holder: Coordinator that asks.
        :param token: Token of its duty; grows whenever the holder changes.
        :returns: Accepted also when it leads already; refused when it does not run.
        """


class TargetLost(Exception):
    """The connection to a target could not be opened or ended.

    :param is_refusal: Whether the address refused it, so that nothing listens there.
    """

    def __init__(self, detail: str, *, is_refusal: bool = False) -> None:
        super().__init__(detail)
        self.is_refusal = is_refusal


class NotSent(TargetLost):
    """The connection ended before the caller's statement was sent; it has surely not run."""


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """Complete answer of a target to one statement.

    :param rows: Rows as they came.
    :param signature: The target's mark of success.
    :param fault: Why it refused or failed.
    :param state: State of the transaction afterwards.
    :param position: Position of its log.
    """

    rows: Sequence[str]
    signature: str
    fault: Refused | None
    state: SessionState
    position: LogPosition | None


class TargetConnection(abc.ABC):
    """One open connection to a target, for one organisation; one statement at a time.

    :ivar is_open: Whether it can be used.
    :ivar position: Log position that the target stated last.
    """

    is_open: bool = False
    position: LogPosition | None = None

    @abc.abstractmethod
    async def execute(
        self,
        request: RequestId,
        statement: Statement,
        *,
        name: str | None = None,
        after: LogPosition | None = None,
    ) -> Outcome:
        """Run a caller's statement.

        :param request: The caller's id of the request.
        :param statement: The statement; its text goes out unchanged.
        :param name: Name of the prepared statement at this connection.
        :param after: Position that the log must have reached.
        :raises TargetLost: The connection ended; the statement may have run.
        """

    @abc.abstractmethod
    async def begin(self, *, is_write: bool, after: LogPosition | None) -> Outcome:
        """Begin a transaction. :raises TargetLost: The connection ended."""

    @abc.abstractmethod
    async def rollback(self) -> Outcome:
        """Roll the transaction back. :raises TargetLost: The connection ended."""

    @abc.abstractmethod
    async def set_value(self, name: str, value: str) -> Outcome:
        """Set a session value. :raises TargetLost: The connection ended."""

    @abc.abstractmethod
    async def prepare(self, name: str, shape: str, *, is_write: bool) -> Outcome:
        """Prepare a statement. :raises TargetLost: The connection ended."""

    @abc.abstractmethod
    async def reset(self) -> Outcome:
        """Drop all values and prepared statements. :raises TargetLost: The connection ended."""

    @abc.abstractmethod
    async def status(self) -> TargetReport | None:
        """:returns: What the target says of itself; nothing when it is too busy. :raises TargetLost: It ended."""

    @abc.abstractmethod
    async def demote(self, term: Term) -> TargetReport | None:
        """Make a primary of an earlier term a replica. :raises TargetLost: The connection ended."""

    @abc.abstractmethod
    async def hold(self, term: Term) -> TargetReport | None:
        """Stop a replica from receiving until a promotion. :raises TargetLost: The connection ended."""

    @abc.abstractmethod
    def close(self) -> None:
        """End the connection at once; the target rolls back what is open."""


class TargetDriver(abc.ABC):
    """Opens connections to targets."""

    @abc.abstractmethod
    async def connect(self, target: TargetDescription, organisation: OrganisationId) -> TargetConnection:
        """Open a connection that states which target is meant.

        :param target: The target.
        :param organisation: Organisation on whose behalf statements will run.
        :raises TargetLost: There was no connection.
        :raises Refused: The target refused it; nothing has run.
        """


@dataclasses.dataclass(frozen=True, slots=True)
class Opening:
    """First message of a caller.

    :param database: Name of the database.
    :param credential: The caller's key; empty when there was none.
    """

    database: DatabaseName
    credential: Credential


@dataclasses.dataclass(frozen=True, slots=True)
class Query:
    """A statement of a caller.

    :param request: The caller's id of the request.
    :param statement: The statement.
    """

    request: RequestId
    statement: Statement


@dataclasses.dataclass(frozen=True, slots=True)
class BadMessage:
    """A message that could not be read.

    :param detail: What is wrong with it.
    :param is_fatal: Whether nothing after it can be read.
    """

    detail: str
    is_fatal: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Closing:
    """The caller ended the session, or its connection ended."""


CallerMessage: TypeAlias = Opening | Query | BadMessage | Closing


class CallerConnection(abc.ABC):
    """One connection of a caller.

    :ivar is_disconnected: Whether the caller has left.
    """

    is_disconnected: bool = False

    @abc.abstractmethod
    async def receive(self) -> CallerMessage:
        """:returns: The next message; ``Closing`` for ever after the end."""

    @abc.abstractmethod
    def has_unread(self) -> bool:
        """:returns: Whether bytes of the caller have arrived that were not received yet."""

    @abc.abstractmethod
    def answer(self, rows: Sequence[str], signature: str, state: SessionState, position: LogPosition | None) -> None:
        """Send a success."""

    @abc.abstractmethod
    def refuse(self, refusal: Refused, state: SessionState, position: LogPosition | None) -> None:
        """Send a refusal or failure."""

    @abc.abstractmethod
    def accept_session(self) -> None:
        """Accept the session."""

    @abc.abstractmethod
    def reject_session(self, refusal: Refused) -> None:
        """Refuse the session and close."""

    @abc.abstractmethod
    def close(self) -> None:
        """End the connection after what was sent."""


CallerHandler: TypeAlias = Callable[[CallerConnection], Awaitable[None]]


class CallerListener(abc.ABC):
    """Accepts callers."""

    @abc.abstractmethod
    async def start(self, handler: CallerHandler) -> None:
        """Accept callers from now on, each in a task of its own."""

    @abc.abstractmethod
    def stop_accepting(self) -> None:
        """Accept no more callers."""


#: Longest wait for a peer's answer, in seconds: hundreds of crossings between data centres of 0.5 ms.
PEER_TIMEOUT_S: Final = 0.4


#: Longest wait for a peer's configuration, in seconds: 350 routes take 0.2 s on a link of 5 Mbit/s, to four at a time.
FETCH_TIMEOUT_S: Final = 1.0


class PeerError(Exception):
    """A peer did not answer.

    :param detail: What happened.
    :param is_unsent: Whether no connection came about, so that the peer has seen nothing of the message.
    """

    def __init__(self, detail: str, *, is_unsent: bool = False) -> None:
        super().__init__(detail)
        self.is_unsent = is_unsent


class Peers(abc.ABC):
    """Carries messages to other instances."""

    @abc.abstractmethod
    async def exchange(self, address: str, request: ExchangeRequest) -> ExchangeAnswer:
        """:returns: The coordinator's answer. :raises PeerError: There was none."""

    @abc.abstractmethod
    async def supply(self, address: str, request: SupplyRequest) -> SupplyAnswer:
        """:returns: Tokens. :raises PeerError: There was no answer."""

    @abc.abstractmethod
    async def fetch(self, address: str, request: FetchRequest) -> FetchAnswer:
        """:returns: The peer's configuration, if it is new enough. :raises PeerError: There was no answer."""

    @abc.abstractmethod
    async def close(self, address: str, request: CloseRequest, timeout_s: float) -> CloseAnswer:
        """:returns: The confirmation that permits were given back. :raises PeerError: There was none."""

    @abc.abstractmethod
    async def send_news(self, address: str, news: News) -> None:
        """Tell a peer that something changed. :raises PeerError: It did not answer."""
