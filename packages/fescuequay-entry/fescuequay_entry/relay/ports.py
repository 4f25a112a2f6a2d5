"""Interfaces between an instance and its callers, targets, peers, the table and the promoter."""

import abc
import dataclasses
import enum
from collections.abc import Awaitable, Callable, Mapping, Sequence
from typing import Final, Generic, TypeAlias, TypeVar

from fescuequay_core.relay.model import (
    Configuration,
    Credential,
    DatabaseName,
    Evacuation,
    LogPosition,
    SessionState,
    Statement,
    TargetDescription,
    TargetReport,
)
from fescuequay_core.relay.refusals import Refused
from fescuequay_core.types import Era, InstanceId, OrganisationId, RequestId, ServiceId, TargetId, Term
from fescuequay_entry.relay.authority import Authority
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

#: Era of a table that never came back from a copy.
_FIRST_ERA: Final = Era(0)


class TableError(Exception):
    """A request to the table failed; a write may or may not have been applied."""


class TableRejected(TableError):
    """The table rejected the request; nothing was applied."""


class HistoryLost(TableError):
    """The changes since the given version are no longer retained; a new snapshot is needed."""


@dataclasses.dataclass(frozen=True, slots=True)
class TableRow:
    """One row of the table.

    :param key: Its key.
    :param content: Its value.
    :param version: Version of its latest change; within an era, versions grow with each change of any row.
    """

    key: str
    content: bytes
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class CommitResult:
    """Result of a conditional write.

    :param is_accepted: Whether it was applied.
    :param version: Version of the rows that it wrote.
    :param rows_by_key: If a condition failed, the current rows of all conditions.
    :param at_s: Time on the table's monotonic clock when it answered, in seconds.
    :param era: Era of the table when it answered. A write of which the table says so in a later era than its
        conditions were read in may have met other rows with the same versions.
    """

    is_accepted: bool
    version: int
    rows_by_key: Mapping[str, TableRow]
    at_s: float
    era: Era = _FIRST_ERA


@dataclasses.dataclass(frozen=True, slots=True)
class TableSnapshot:
    """All rows of the table at one point in time.

    :param rows: The rows in the order of their keys.
    :param at_s: Time on the table's monotonic clock when it answered, in seconds.
    :param era: Era of the table when it answered.
    """

    rows: tuple[TableRow, ...]
    at_s: float
    era: Era = _FIRST_ERA


class Table(abc.ABC):
    """The system's own table: linearizable reads and conditional writes.

    The table may come back from an earlier copy of itself. Each time its era grows by one: rows that it had
    acknowledged are gone, and versions are given out again.
    """

    @abc.abstractmethod
    async def read(self) -> TableSnapshot:
        """Read all rows at one point in time after the call began.

        :returns: The rows.
        :raises TableError: There was no answer.
        """

    @abc.abstractmethod
    async def commit(
        self, versions_by_key: Mapping[str, int], puts: Mapping[str, bytes], deletes: Sequence[str] = ()
    ) -> CommitResult:
        """Write rows atomically if the given rows still have the expected versions.

        :param versions_by_key: Version that each of these rows must have; 0 for a row that must not exist.
        :param puts: Contents to write, by key.
        :param deletes: Keys to remove.
        :returns: Whether it was applied.
        :raises TableRejected: It was certainly not applied.
        :raises TableError: It may have been applied, or may be applied later if its conditions still hold.
        """


@dataclasses.dataclass(frozen=True, slots=True)
class Batch(Generic[Item]):
    """Snapshot or changes of a feed.

    :param items: Entries by key; nothing for an entry that was removed.
    :param version: Version up to which it is complete; the next changes are requested from there.
    :param era: Era of the table when it answered; changes can't be requested from a version of an earlier era.
    """

    items: Mapping[str, Item | None]
    version: int
    era: Era = _FIRST_ERA


class Feed(abc.ABC, Generic[Item]):
    """Versioned entries that other systems write and this one follows."""

    @abc.abstractmethod
    async def snapshot(self) -> Batch[Item]:
        """:returns: All entries. :raises TableError: There was no answer."""

    @abc.abstractmethod
    async def changes(self, after: int, wait_s: float) -> Batch[Item]:
        """Wait for changes.

        :param after: Version of the latest batch.
        :param wait_s: Longest wait, in seconds.
        :returns: The changes; empty if there were none in that time.
        :raises HistoryLost: A new snapshot is needed.
        :raises TableError: There was no answer.
        """


#: What operators write: the configuration, and data centres to evacuate.
OperatorEntry: TypeAlias = Configuration | Evacuation

#: Parses the text of a statement, or raises ``ValueError``.
StatementParser: TypeAlias = Callable[[str], Statement]

OperatorFeed: TypeAlias = Feed[OperatorEntry]
TargetFeed: TypeAlias = Feed[TargetDescription]


class PromoteResult(enum.Enum):
    """Answer of the promoter."""

    ACCEPTED = 'accepted'
    REFUSED = 'refused'
    UNKNOWN = 'unknown'
    NOT_SENT = 'not_sent'


class Promoter(abc.ABC):
    """Promotes a target to primary of its service."""

    @abc.abstractmethod
    async def promote(
        self, service: ServiceId, target: TargetId, holder: InstanceId, token: int, authority: Authority
    ) -> PromoteResult:
        """Request that a target becomes the primary of the next term.

        The request must not take effect when it has been given up, nor after the process has ended.

        :param service: Its service.
        :param target: The target.
        :param holder: Coordinator that asks.
        :param token: Fencing token of the coordinator lease; grows whenever the holder changes.
        :param authority: Until when the coordinator may ask; the request is given up when it ends.
        :returns: Accepted also if the target is the primary already; refused if it is not running.
        """


class TargetLost(Exception):
    """A connection to a target could not be opened, or it ended.

    :param is_refusal: Whether the address refused the connection, so that nothing listens there.
    :cvar concerns_target: Whether it says something about the target; not if a gateway before it failed.
    """

    concerns_target = True

    def __init__(self, detail: str, *, is_refusal: bool = False) -> None:
        super().__init__(detail)
        self.is_refusal = is_refusal


class UnreadableAnswer(TargetLost):
    """A target answered with what is no answer; the connection ended, and the statement may have run."""


class UnsendableStatement(Exception):
    """A statement cannot be sent to a target as one message; nothing was sent."""


class Unsendable(Exception):
    """A text cannot be sent to the caller as a part of one message; nothing was sent."""


class NotSent(TargetLost):
    """The connection ended before the caller's statement was sent; it has certainly not run."""


class GatewayLost(TargetLost):
    """A gateway was lost or is silent; what it was asked may have run."""

    concerns_target = False


class TargetSilent(TargetLost):
    """The target gave no sign of itself to this instance of late, so nothing was tried."""


class GatewayTurnedAway(NotSent):
    """A gateway doesn't serve the target now, or was not reached; the statement has certainly not run."""

    concerns_target = False


class GatewayRefused(NotSent):
    """A gateway had no connection for the statement in time; it has certainly not run.

    :param refusal: Its refusal.
    """

    concerns_target = False

    def __init__(self, refusal: Refused) -> None:
        super().__init__(refusal.detail)
        self.refusal = refusal


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """Complete answer of a target to one statement.

    :param rows: Rows as received.
    :param signature: Fields of the message that ends a successful answer; passed on unchanged.
    :param fault: Why the statement was refused or failed; nothing after a success.
    :param state: State of the session afterwards.
    :param position: Log position of the target.
    """

    rows: Sequence[str]
    signature: str
    fault: Refused | None
    state: SessionState
    position: LogPosition | None


class TargetConnection(abc.ABC):
    """Open connection to a target on behalf of one organisation; runs one statement at a time.

    :ivar name: Name of the connection in logs: the address from which it was opened, or the gateway that holds it.
    :ivar is_open: Whether it can be used.
    :ivar position: Log position that the target reported last.
    """

    name: str = '-'
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
        :param statement: The statement; its text is sent unchanged.
        :param name: Name of the prepared statement on this connection.
        :param after: Log position that the target must have reached.
        :returns: The answer; a fault that is no answer of the target if it cannot be sent as one message.
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
        """Set a session value.

        :raises TargetLost: The connection ended.
        :raises UnsendableStatement: It cannot be sent as one message; nothing was sent.
        """

    @abc.abstractmethod
    async def prepare(self, name: str, shape: str, *, is_write: bool) -> Outcome:
        """Prepare a statement.

        :raises TargetLost: The connection ended.
        :raises UnsendableStatement: It cannot be sent as one message; nothing was sent.
        """

    @abc.abstractmethod
    async def reset(self) -> Outcome:
        """Discard all session values and prepared statements. :raises TargetLost: The connection ended."""

    @abc.abstractmethod
    async def status(self) -> TargetReport | None:
        """:returns: The target's status; nothing if it is too busy. :raises TargetLost: The connection ended."""

    @abc.abstractmethod
    async def demote(self, term: Term) -> TargetReport | None:
        """Demote a primary of an earlier term to a replica. :raises TargetLost: The connection ended."""

    @abc.abstractmethod
    async def hold(self, term: Term) -> TargetReport | None:
        """Stop replication on a replica until a promotion. :raises TargetLost: The connection ended."""

    @abc.abstractmethod
    def close(self) -> None:
        """End the connection at once; the target rolls back what is open."""


def ignore_acceptance() -> None:
    """Do nothing when a target accepts a connection."""


class TargetDriver(abc.ABC):
    """Opens connections to targets."""

    @abc.abstractmethod
    async def connect(
        self,
        target: TargetDescription,
        organisation: OrganisationId,
        on_accepted: Callable[[], None] = ignore_acceptance,
    ) -> TargetConnection:
        """Open a connection that names the intended target.

        :param target: The target.
        :param organisation: Organisation on whose behalf statements will run.
        :param on_accepted: Called when something at the target's address has accepted the connection, before the target
            has opened it: a full target accepts at once and opens late, a silent one does neither.
        :raises TargetLost: The connection could not be opened.
        :raises Refused: The target refused it; nothing has run.
        """


@dataclasses.dataclass(frozen=True, slots=True)
class Opening:
    """First message of a caller.

    :param database: Name of the database.
    :param credential: The caller's key; empty if it sent none.
    """

    database: DatabaseName
    credential: Credential


@dataclasses.dataclass(frozen=True, slots=True)
class Extent:
    """The bytes of a message in what its caller has sent.

    :param offset: Number of bytes that the caller sent before it.
    :param size: Its length with its end, in bytes; of an undecodable one, the length of what was examined.
    """

    offset: int
    size: int


#: Extent of a message that did not come from a connection.
NO_EXTENT: Final = Extent(0, 0)


@dataclasses.dataclass(frozen=True, slots=True)
class Query:
    """Message with a statement of a caller.

    :param request: The caller's id of the request.
    :param statement: The statement.
    :param extent: Its bytes.
    """

    request: RequestId
    statement: Statement
    extent: Extent = NO_EXTENT


@dataclasses.dataclass(frozen=True, slots=True)
class BadMessage:
    """Message that could not be decoded.

    :param detail: What is wrong with it.
    :param is_fatal: Whether the messages after it can't be decoded either.
    :param extent: Its bytes.
    """

    detail: str
    is_fatal: bool
    extent: Extent = NO_EXTENT


@dataclasses.dataclass(frozen=True, slots=True)
class Closing:
    """The caller closed the session, or its connection ended."""


CallerMessage: TypeAlias = Opening | Query | BadMessage | Closing


class CallerConnection(abc.ABC):
    """Connection of a caller.

    :ivar peer: Address of the caller, which names the session in logs.
    :ivar is_disconnected: Whether the caller has disconnected.
    """

    peer: str = '-'
    is_disconnected: bool = False

    @abc.abstractmethod
    async def receive(self) -> CallerMessage:
        """:returns: The next message; ``Closing`` on every call after the end."""

    @abc.abstractmethod
    def has_unread(self) -> bool:
        """:returns: Whether input of the caller has arrived that was not received yet."""

    @abc.abstractmethod
    def watch_backlog(self, on_backlog: Callable[[], None]) -> None:
        """Call a function whenever much has come to wait to be decoded or sent."""

    @abc.abstractmethod
    def held_bytes(self) -> int:
        """:returns: Number of bytes that wait to be decoded or sent."""

    @abc.abstractmethod
    def unread_bytes(self) -> int:
        """:returns: Number of bytes of answers that the caller has not read; after the end, that it never read."""

    @abc.abstractmethod
    async def wait_until_read(self, limit_s: float) -> bool:
        """Wait until the caller has read its answers, but for a rest.

        :param limit_s: Longest wait, in seconds.
        :returns: Whether it has, or the connection has ended.
        """

    @abc.abstractmethod
    def abort(self) -> None:
        """Reset the connection and discard pending output."""

    @abc.abstractmethod
    def answer(self, rows: Sequence[str], signature: str, state: SessionState, position: LogPosition | None) -> None:
        """Send the result of a successful statement. :raises Unsendable: It holds what cannot be sent."""

    @abc.abstractmethod
    def refuse(self, refusal: Refused, state: SessionState, position: LogPosition | None) -> None:
        """Send the refusal or failure of a statement; its detail is made sendable."""

    @abc.abstractmethod
    def accept_session(self) -> None:
        """Confirm the opening of the session."""

    @abc.abstractmethod
    def reject_session(self, refusal: Refused) -> None:
        """Refuse the session and close the connection."""

    @abc.abstractmethod
    def close(self) -> None:
        """Close the connection after sending pending output."""


CallerHandler: TypeAlias = Callable[[CallerConnection], Awaitable[None]]


class CallerListener(abc.ABC):
    """Listens for callers' connections."""

    @abc.abstractmethod
    async def start(self, handler: CallerHandler) -> None:
        """Start to accept callers; each is handled in a task of its own."""

    @abc.abstractmethod
    def stop_accepting(self) -> None:
        """Stop accepting callers."""


#: Timeout of a request to a peer, in seconds: hundreds of one-way delays of 0.5 ms between data centres.
PEER_TIMEOUT_S: Final = 0.4


#: Timeout for fetching a peer's configuration, in seconds: 350 routes take 0.2 s on a 5 Mbit/s link,
#: sent to four peers at a time.
FETCH_TIMEOUT_S: Final = 1.0


class PeerError(Exception):
    """A peer did not answer.

    :param detail: What happened.
    :param is_unsent: Whether no connection was established, so that the peer received nothing.
    """

    def __init__(self, detail: str, *, is_unsent: bool = False) -> None:
        super().__init__(detail)
        self.is_unsent = is_unsent


class Peers(abc.ABC):
    """Sends requests to other instances."""

    @abc.abstractmethod
    async def exchange(self, address: str, request: ExchangeRequest) -> ExchangeAnswer:
        """:returns: The coordinator's answer. :raises PeerError: There was none."""

    @abc.abstractmethod
    async def supply(self, address: str, request: SupplyRequest) -> SupplyAnswer:
        """:returns: The tokens granted. :raises PeerError: There was no answer."""

    @abc.abstractmethod
    async def fetch(self, address: str, request: FetchRequest) -> FetchAnswer:
        """:returns: The peer's configuration, if it is recent enough. :raises PeerError: There was no answer."""

    @abc.abstractmethod
    async def close(self, address: str, request: CloseRequest, timeout_s: float) -> CloseAnswer:
        """:returns: The confirmation that the peer has released its permits. :raises PeerError: There was none."""

    @abc.abstractmethod
    async def send_news(self, address: str, news: News) -> None:
        """Notify a peer of a change. :raises PeerError: It did not answer."""
