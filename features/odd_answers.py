"""Builders of targets that answer what can't be read, and of what callers send to make an instance stumble."""

import asyncio
from collections.abc import Iterable, Iterator
from typing import Any, Final
from unittest import mock

from features.platform_standin import PlatformStandIn
from features.relay_processes import Deployment
from features.steps import token_charge_steps
from fescuequay_core.relay.model import Credential, SessionState, Statement, StatementKind
from fescuequay_core.types import RequestId
from fescuequay_emulator.callers import ModelCaller
from fescuequay_entry.relay.metrics import RelayMetrics
from fescuequay_entry.relay.operation import Placement
from fescuequay_entry.relay.ports import Opening, Outcome, Query, UnreadableAnswer, Unsendable
from fescuequay_entry.relay.session import Session
from fescuequay_entry.relay.session_buffers import SessionBuffers

#: Maximum length of a message without its end, in bytes.
MAX_MESSAGE_BYTES: Final = 1_048_576

#: Item whose row holds a byte that no message may hold.
UNREADABLE: Final = 'unreadable'

#: Ends of the statements that are answered with such a row.
_UNREADABLY_ANSWERED: Final = (f' READ {UNREADABLE}', f' SET v {UNREADABLE}', ' BEGIN')

#: Message that commits.
COMMIT: Final = Query(RequestId('q3'), Statement(StatementKind.COMMIT, 'COMMIT'))

_WRITING: Final = (
    Opening(token_charge_steps.DATABASE, Credential('key')),
    Query(RequestId('q1'), Statement(StatementKind.BEGIN, 'BEGIN', is_write=True)),
    Query(RequestId('q2'), Statement(StatementKind.WRITE, 'WRITE x 1', is_write=True)),
)


class OddStandIn(PlatformStandIn):
    """Stands in for a platform with a database that answers some statements with what can't be read."""

    def count_runs(self) -> int:
        """:returns: How many statements the database has answered with what can't be read."""
        return sum(f' {ran}'.endswith(_UNREADABLY_ANSWERED) for _, ran in self.ran)

    def count_connections(self) -> int:
        """:returns: How many connections the database has accepted."""
        return self._connection_count

    def _replies_to(self, line: str, connection: int) -> list[str]:
        replies = super()._replies_to(line, connection)
        return ['ROW a\nb', *replies[1:]] if line.endswith(_UNREADABLY_ANSWERED) else replies


class OddDeployment(Deployment):
    """One real instance process whose database is odd."""

    def __init__(self) -> None:
        self.database = OddStandIn()
        super().__init__(self.database)

    def ask_in_turn(self, lines: Iterator[str]) -> list[list[str]]:
        """:returns: Answers of one session to these lines, each of which is refused or answered locally."""
        with self._open('START db secret') as caller:
            self._await_primary(caller)
            self._await_reuse(caller)
            return [self._ask(caller, line, 2) for line in lines]


def longest_shape(executions: int) -> Iterator[str]:
    """:returns: Lines that prepare the longest shape that a message can hold, and execute it that often."""
    beginning = 'QUERY p PREPARE p WRITE '
    yield beginning + 'q' * (MAX_MESSAGE_BYTES - len(beginning))
    for number in range(executions):
        yield f'QUERY e{number} EXECUTE p x y'


class UnsendableCaller(ModelCaller):
    """Caller to whom the answer of a commit can't be passed on."""

    def answer(self, rows: Any, signature: str, state: Any, position: Any) -> None:
        """Pass on anything but a commit. :raises Unsendable: It is the answer of a commit."""
        if signature == 'commit':
            raise Unsendable('a NUL in a field of DONE')
        super().answer(rows, signature, state, position)


class CountingRunner:
    """Runs each statement with success, and counts how often its only connection was given back."""

    def __init__(self) -> None:
        self.given_back = 0
        pooled = mock.MagicMock()
        begun = Outcome((), '-', None, SessionState.IN_TRANSACTION, None)
        pooled.connection.begin = mock.AsyncMock(return_value=begun)
        self._placement = Placement(pooled, None)

    async def place(self, *_: Any, **_options: Any) -> Any:
        """:returns: The connection."""
        return self._placement

    async def execute(self, *arguments: Any) -> Outcome:
        """:returns: A success."""
        is_commit = arguments[3].kind is StatementKind.COMMIT
        state = SessionState.IDLE if is_commit else SessionState.IN_TRANSACTION
        return Outcome((), 'commit' if is_commit else 'sig', None, state, None)

    def has_valid_permit(self, _placement: Any) -> bool:
        """:returns: That the primary still leads."""
        return True

    def release(self, _placement: Any, *, is_clean: bool) -> None:
        """Count it."""
        self.given_back += 1

    def roll_back_and_release(self, _placement: Any) -> None:
        """Count it."""
        self.given_back += 1


class UnreadableRunner(CountingRunner):
    """Runs each statement with success, except that the answer of a commit can't be read."""

    async def execute(self, *arguments: Any) -> Outcome:
        """:returns: A success. :raises UnreadableAnswer: It is a commit."""
        if arguments[3].kind is StatementKind.COMMIT:
            raise UnreadableAnswer('a NUL inside a message')
        return await super().execute(*arguments)


async def write_and_end(board: Any, runner: Any, caller: ModelCaller, messages: Iterable[Any]) -> Any:
    """Open a session, write in a transaction, send further messages and disconnect.

    :returns: The answer to the last of these messages.
    """
    serving = asyncio.ensure_future(Session(board, runner, RelayMetrics(), SessionBuffers(None), caller).run())
    answer = None
    for message in (*_WRITING, *messages):
        caller.send(message)
        answer = await caller.next_answer()
    caller.disconnect()
    await serving
    return answer
