"""Simulated callers: sessions that send statements and record the outcome of each."""

import asyncio
import collections
import dataclasses
import enum
import random
from collections.abc import Callable, Iterable, Sequence
from typing import Final

from fescuequay_core.relay.model import (
    Credential,
    DatabaseName,
    LogPosition,
    SessionState,
    Statement,
    StatementKind,
)
from fescuequay_core.relay.refusals import RefusalKind, Refused
from fescuequay_core.types import RequestId
from fescuequay_emulator.wire import Stream, Wire
from fescuequay_entry.relay.ports import (
    CallerConnection,
    CallerHandler,
    CallerListener,
    CallerMessage,
    Closing,
    Opening,
    Query,
)

#: Kinds of refusal that guarantee that no effect of the attempt is kept.
NOT_APPLIED_KINDS: Final = frozenset(
    (
        RefusalKind.OVERLOADED,
        RefusalKind.ABORTED,
        RefusalKind.BEHIND,
        RefusalKind.NOT_LEADING,
        RefusalKind.WRONG_TARGET,
        RefusalKind.TOO_MANY_CONNECTIONS,
    )
)


class StatementOutcome(enum.Enum):
    """Outcome of a statement as reported to its caller."""

    SERVED = 'served'
    NOT_APPLIED = 'promised'
    UNKNOWN = 'unknown'


@dataclasses.dataclass(slots=True)
class SentStatement:
    """A statement that a caller sent, with its outcome.

    :param request: Id of the request.
    :param session: Number of the caller and number of its connection; a session is one connection.
    :param credential: Key that the session was opened with.
    :param database: Database that the session opened.
    :param statement: The statement.
    :param sent_at: Time of sending, in virtual seconds.
    :param work_began_at: When its transaction, or the statement itself, began.
    :param values: Session values that had been acknowledged when it was sent.
    :param shape: Text under which its name was prepared, and whether it writes; nothing if it is no execution.
    :param transaction: Number of the caller's transaction; 0 outside one.
    :param outcome: Reported outcome; nothing until the answer.
    :param answered_at: Time of the answer.
    :param refusal: The refusal, if it was refused.
    :param signature: Signature of a successful answer.
    """

    request: RequestId
    session: tuple[int, int]
    credential: Credential
    database: DatabaseName
    statement: Statement
    sent_at: float
    work_began_at: float
    values: dict[str, str]
    shape: tuple[str, bool] | None
    transaction: int
    outcome: StatementOutcome | None = None
    answered_at: float = 0.0
    refusal: Refused | None = None
    signature: str = ''


class ModelCaller(CallerConnection):
    """Both ends of a session's connection; messages arrive without delay.

    :param wire: Encoding of the caller's messages; nothing if they are handed over as they are.
    """

    def __init__(self, wire: Wire | None = None) -> None:
        #: Bytes in both directions, and how those of the caller are cut into chunks.
        self.stream = Stream()
        self.cut: Callable[[bytes], Iterable[bytes]] = lambda content: (content,)
        self._wire = wire
        self._input = None if wire is None else wire.open_input()
        self._inbox: collections.deque[CallerMessage] = collections.deque()
        self._inbox_waiter: asyncio.Future[None] | None = None
        self._answers: asyncio.Queue[tuple[Refused | None, str, SessionState] | None] = asyncio.Queue()
        self.is_disconnected = False
        self.is_closed = False

    def send(self, message: CallerMessage) -> None:
        """Queue a message for the instance."""
        if self._wire is not None:
            self.send_bytes(self._wire.format(message))
            return
        self._inbox.append(message)
        self._wake()

    def send_bytes(self, content: bytes) -> None:
        """Queue what the instance decodes."""
        assert self._input is not None  # noqa: S101 -- bytes need an encoding
        self.stream.sent += content
        for chunk in self.cut(content):
            self._inbox.extend(self._input.feed(chunk))
        self._wake()

    def has_unread_answer(self) -> bool:
        """:returns: Whether the caller has not read an answer."""
        return not self._answers.empty()

    def disconnect(self) -> None:
        """Close the connection from the caller's side."""
        self.is_disconnected = True
        self._wake()

    async def next_answer(self) -> tuple[Refused | None, str, SessionState] | None:
        """:returns: The next answer, or nothing when the connection has ended."""
        return await self._answers.get()

    async def receive(self) -> CallerMessage:
        """:returns: The next message from the caller; ``Closing`` when the connection has ended."""
        while not self._inbox:
            if self.is_disconnected or self.is_closed:
                return Closing()
            self._inbox_waiter = asyncio.get_running_loop().create_future()
            await self._inbox_waiter
        return self._inbox.popleft()

    def has_unread(self) -> bool:
        """:returns: Whether received messages are unread."""
        return bool(self._inbox)

    def watch_backlog(self, on_backlog: Callable[[], None]) -> None:
        """Do nothing: callers of the model read at once."""

    def held_bytes(self) -> int:
        """:returns: Zero."""
        return 0

    def unread_bytes(self) -> int:
        """:returns: Zero."""
        return 0

    async def wait_until_read(self, limit_s: float) -> bool:
        """:returns: True."""
        return True

    def abort(self) -> None:
        """Close the connection from the instance's side."""
        self.close()

    def answer(self, rows: Sequence[str], signature: str, state: SessionState, position: LogPosition | None) -> None:
        """Deliver a successful answer to the caller."""
        if self._wire is not None and rows:
            self.stream.received += self._wire.write_answer(rows, signature)
        self._put((None, signature, state))

    def refuse(self, refusal: Refused, state: SessionState, position: LogPosition | None) -> None:
        """Deliver a refusal to the caller."""
        self._put((refusal, '', state))

    def accept_session(self) -> None:
        """Tell the caller that its session is open."""
        self._put((None, '-', SessionState.IDLE))

    def reject_session(self, refusal: Refused) -> None:
        """Tell the caller that its session is refused, and close the connection."""
        self._put((refusal, '', SessionState.IDLE))
        self.close()

    def close(self) -> None:
        """Close the connection from the instance's side."""
        if not self.is_closed:
            self.is_closed = True
            self._answers.put_nowait(None)
            self._wake()

    def _put(self, answer: tuple[Refused | None, str, SessionState]) -> None:
        if not self.is_closed:
            self._answers.put_nowait(answer)

    def _wake(self) -> None:
        if self._inbox_waiter is not None and not self._inbox_waiter.done():
            self._inbox_waiter.set_result(None)


class ModelListener(CallerListener):
    """The listener of one instance for callers.

    :param wire: Encoding of the callers' messages; nothing if they are handed over as they are.
    :param streams: Bytes of all connections, to which each new one is appended.
    """

    def __init__(self, wire: Wire | None = None, streams: list[Stream] | None = None) -> None:
        self._wire = wire
        self._streams = streams
        self._handler: CallerHandler | None = None
        self.is_accepting = False
        self.connections: dict[ModelCaller, None] = {}

    async def start(self, handler: CallerHandler) -> None:
        """Start to accept connections."""
        self._handler = handler
        self.is_accepting = True

    def stop_accepting(self) -> None:
        """Accept no further connections."""
        self.is_accepting = False

    def connect(self) -> ModelCaller | None:
        """:returns: A new connection, served by a task of the instance; nothing when none is accepted."""
        if not self.is_accepting or self._handler is None:
            return None
        caller = ModelCaller(self._wire)
        if self._streams is not None:
            self._streams.append(caller.stream)
        self.connections[caller] = None
        task = asyncio.ensure_future(self._handler(caller))
        task.add_done_callback(lambda _: self.connections.pop(caller, None))
        return caller

    def close_connections(self) -> None:
        """Close every connection, as the end of the process does."""
        self.is_accepting = False
        for caller in tuple(self.connections):
            caller.close()


class Session:
    """One caller: opens a session, sends statements and records their outcomes.

    :param number: Number of the caller.
    :param credential: Key that it presents.
    :param database: Database that it opens.
    :param sent: Record of all statements, to which each one is appended.
    :param rng: Random number generator.
    """

    def __init__(
        self,
        number: int,
        credential: Credential,
        database: DatabaseName,
        sent: list[SentStatement],
        rng: random.Random,
    ) -> None:
        self.number = number
        self.credential = credential
        self.database = database
        self.values: dict[str, str] = {}
        self.shapes: dict[str, tuple[str, bool]] = {}
        #: How its messages are cut into chunks; whole by default.
        self.cut: Callable[[bytes], Iterable[bytes]] | None = None
        self._sent = sent
        self._rng = rng
        self._caller: ModelCaller | None = None
        self._transaction = 0
        self._work_at = 0.0
        self._opened = 0

    @property
    def is_open(self) -> bool:
        """:returns: Whether the connection is open."""
        return self._caller is not None and not self._caller.is_closed

    async def open(self, listener: ModelListener) -> Refused | None | bool:
        """:returns: True when the session was accepted, a refusal, or nothing when there was no connection."""
        self.close()
        self._caller = listener.connect()
        if self._caller is None:
            return None
        if self.cut is not None:
            self._caller.cut = self.cut
        self._opened += 1
        self._caller.send(Opening(self.database, self.credential))
        answer = await self._caller.next_answer()
        if answer is None:
            return None
        return answer[0] if answer[0] is not None else True

    def close(self) -> None:
        """End the session; its values and prepared statements are lost."""
        if self._caller is not None:
            self._caller.disconnect()
            self._caller.close()
        self._caller = None
        self._transaction = 0
        self.values = {}
        self.shapes = {}

    def has_unread(self) -> bool:
        """:returns: Whether the caller has not read an answer."""
        return self._caller is not None and self._caller.has_unread_answer()

    async def exchange(self, content: bytes) -> None:
        """Send bytes that are no statement of this caller, and wait for the answer."""
        assert self._caller is not None  # noqa: S101 -- sessions are opened first
        self._caller.send_bytes(content)
        await self._caller.next_answer()

    async def execute(self, statement: Statement) -> SentStatement:
        """Send one statement and wait for its outcome.

        :param statement: The statement.
        :returns: The record of the statement.
        """
        loop = asyncio.get_running_loop()
        if statement.kind is StatementKind.BEGIN:
            self._transaction = self._rng.getrandbits(30) + 1
        if statement.kind is StatementKind.BEGIN or not self._transaction:
            self._work_at = loop.time()
        sent = SentStatement(
            RequestId(f'r{self._rng.getrandbits(48):012x}'),
            (self.number, self._opened),
            self.credential,
            self.database,
            statement,
            loop.time(),
            self._work_at,
            dict(self.values),
            self.shapes.get(statement.name) if statement.kind is StatementKind.EXECUTE else None,
            self._transaction,
        )
        self._sent.append(sent)
        assert self._caller is not None  # noqa: S101 -- sessions are opened first
        self._caller.send(Query(sent.request, statement))
        answer = await self._caller.next_answer()
        sent.answered_at = loop.time()
        self._record_answer(sent, answer)
        return sent

    def _record_answer(self, sent: SentStatement, answer: tuple[Refused | None, str, SessionState] | None) -> None:
        statement = sent.statement
        if answer is None:
            sent.outcome = StatementOutcome.UNKNOWN
            self._transaction = 0
            return
        refusal, sent.signature, state = answer
        sent.refusal = refusal
        if refusal is None:
            sent.outcome = StatementOutcome.SERVED
            if statement.kind is StatementKind.SET:
                self.values[statement.name] = statement.value
            elif statement.kind is StatementKind.PREPARE:
                self.shapes[statement.name] = (statement.value, statement.is_write)
        else:
            sent.outcome = (
                StatementOutcome.NOT_APPLIED if refusal.reason.kind in NOT_APPLIED_KINDS else StatementOutcome.UNKNOWN
            )
        if state is SessionState.IDLE:
            self._transaction = 0
