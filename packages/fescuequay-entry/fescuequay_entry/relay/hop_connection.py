"""A target's connection that a gateway holds, as the instance sees it that asks the gateway."""

import math
from typing import Final

from fescuequay_core.relay.fields import is_line
from fescuequay_core.relay.model import (
    LeaderRecord,
    LogPosition,
    SessionState,
    Statement,
    StatementKind,
    TargetDescription,
    TargetReport,
)
from fescuequay_core.relay.waiting import WaitingStatement
from fescuequay_core.types import Instant, RequestId, Term
from fescuequay_entry.relay.board import Board
from fescuequay_entry.relay.hop_frames import Answer, Ask, Fate, Step, UnsendableFrame, pair_of, position_of
from fescuequay_entry.relay.hop_streams import GatewayPeer, HopStream
from fescuequay_entry.relay.metrics import GatewayMetrics
from fescuequay_entry.relay.pool import ConnectionSource, PooledConnection
from fescuequay_entry.relay.ports import (
    GatewayLost,
    GatewayRefused,
    GatewayTurnedAway,
    NotSent,
    Outcome,
    TargetConnection,
    TargetLost,
)

#: Time limit that stands for none, in seconds.
_NO_LIMIT_S: Final = 3600.0


class HopConnection(TargetConnection):
    """Runs statements on a connection of a gateway; the connection is chosen when the first one arrives there.

    :param board: Shared state of the instance.
    :param peer: The gateway.
    :param stream: Open stream to it.
    :param target: The target.
    :param waiting: The statement for which it was acquired.
    :param metrics: Counts outcomes.
    """

    def __init__(
        self,
        board: Board,
        peer: GatewayPeer,
        stream: HopStream,
        target: TargetDescription,
        waiting: WaitingStatement,
        metrics: GatewayMetrics,
    ) -> None:
        self.name = peer.member.instance
        self.is_open = True
        self.position = None
        #: What the next frame carries: session values, shape, version of the leader record, end of the time limit.
        self.values: dict[str, str] = {}
        self.shape: tuple[str, bool] | None = None
        self.record_version = 0
        self.limit_at: Instant = math.inf
        self._board = board
        self._peer = peer
        self._stream = stream
        self._target = target
        self._waiting = waiting
        self._metrics = metrics
        self._lease = 0

    def is_silent(self) -> bool:
        """:returns: Whether the gateway, not the target, owes a sign of life."""
        return self._stream.is_silent or not self._stream.is_open

    async def execute(
        self,
        request: RequestId,
        statement: Statement,
        *,
        name: str | None = None,
        after: LogPosition | None = None,
    ) -> Outcome:
        """Run a caller's statement. :raises TargetLost: as for each connection, or the gateway was lost."""
        step = Step.IN_TRANSACTION if self._lease else Step.SINGLE
        is_write = statement.kind is StatementKind.WRITE or (
            name is not None and self.shape is not None and self.shape[1]
        )
        ask = self._ask(step, request, statement, self.shape if name is not None else None, after)
        return await self._run(ask, may_repeat=step is Step.SINGLE and not is_write)

    async def begin(self, *, is_write: bool, after: LogPosition | None) -> Outcome:
        """Begin a transaction; the gateway keeps a connection for it."""
        self._lease = self._stream.next_number()
        step = Step.BEGIN_WRITE if is_write else Step.BEGIN_READ
        ask = self._ask(step, RequestId('-'), Statement(StatementKind.BEGIN, ''), None, after)
        return await self._run(ask, may_repeat=True)

    async def rollback(self) -> Outcome:
        """Roll the transaction back."""
        ask = self._ask(Step.ROLLBACK, RequestId('-'), Statement(StatementKind.ROLLBACK, ''), None, None)
        return await self._run(ask, may_repeat=False)

    async def set_value(self, name: str, value: str) -> Outcome:
        """Not used: the values travel with the statements."""
        raise NotImplementedError

    async def prepare(self, name: str, shape: str, *, is_write: bool) -> Outcome:
        """Not used: the shapes travel with the statements."""
        raise NotImplementedError

    async def reset(self) -> Outcome:
        """Not used: the gateway resets its connections itself."""
        raise NotImplementedError

    async def status(self) -> TargetReport | None:
        """Not used: status requests have connections of their own."""
        raise NotImplementedError

    async def demote(self, term: Term) -> TargetReport | None:
        """Not used: coordinators have connections of their own."""
        raise NotImplementedError

    async def hold(self, term: Term) -> TargetReport | None:
        """Not used: coordinators have connections of their own."""
        raise NotImplementedError

    def close(self) -> None:
        """Abandon the transaction, if one is open."""
        self.is_open = False
        if self._lease:
            self._stream.drop(self._lease)
            self._lease = 0

    def _ask(
        self,
        step: Step,
        request: RequestId,
        statement: Statement,
        shape: tuple[str, bool] | None,
        after: LogPosition | None,
    ) -> Ask:
        now = self._board.clock()
        waiting = self._waiting
        return Ask(
            self._stream.next_number(),
            step,
            self._lease,
            self._target.target,
            self._target.born_ms,
            waiting.organisation,
            waiting.priority,
            _rounded(now - waiting.arrived_at),
            _rounded(waiting.aim_at - now),
            _rounded(max(min(waiting.until, self.limit_at) - now, 0)),
            _rounded(max(min(self.limit_at - now, _NO_LIMIT_S), 0)),
            waiting.is_continued,
            self.record_version,
            self.values,
            request,
            statement.kind,
            statement.text,
            statement.arguments,
            shape,
            pair_of(after),
        )

    async def _run(self, ask: Ask, *, may_repeat: bool) -> Outcome:
        try:
            answer = await self._stream.ask(ask, may_repeat=may_repeat)
        except UnsendableFrame as error:
            self._metrics.hops.labels('unsent').inc()
            self.is_open = False
            self._peer.record_turned_away(self._target.target)
            raise GatewayTurnedAway(str(error)) from error
        except TargetLost as error:
            self._metrics.hops.labels('unsent' if isinstance(error, NotSent) else 'gateway_lost').inc()
            self.is_open = False
            raise
        fault = _fault_of(answer)
        if fault is not None:
            # What the answer says of the statement can't be relied on either.
            self._metrics.hops.labels('gateway_lost').inc()
            self.is_open = False
            raise GatewayLost(f'the answer of {self.name} is unusable: {fault}')
        self._metrics.hops.labels(answer.fate.name.lower()).inc()
        self._peer.record_load(self._target.target, answer.waiting, answer.available)
        if answer.fate is Fate.ANSWERED:
            return self._outcome(answer)
        self.is_open = False
        self._lease = 0
        raise self._error(answer)

    def _outcome(self, answer: Answer) -> Outcome:
        self.position = position_of(answer.position)
        if answer.connection:
            self.name = f'{self._peer.member.instance}/{answer.connection}'
        if answer.state is SessionState.IDLE:
            # The gateway has taken its connection back.
            self._lease = 0
        fault = answer.refusal() if answer.reason else None
        return Outcome(answer.rows, answer.signature, fault, answer.state, self.position)

    def _error(self, answer: Answer) -> TargetLost:
        if answer.fate is Fate.TURNED_AWAY:
            self._peer.record_turned_away(self._target.target)
            return GatewayTurnedAway(answer.detail)
        if answer.fate is Fate.REFUSED:
            return GatewayRefused(answer.refusal())
        if answer.fate is Fate.NOT_SENT:
            return NotSent(answer.detail)
        return TargetLost(answer.detail)


class HopPooled(PooledConnection):
    """A gateway's connection in the place of one of this instance; nothing is sent before the statement itself."""

    def __init__(
        self, connection: HopConnection, target: TargetDescription, waiting: WaitingStatement, source: ConnectionSource
    ) -> None:
        super().__init__(connection, target, waiting.organisation, source)
        self._hop = connection

    async def apply_session_values(self, values: dict[str, str]) -> None:
        """Note the session values for the next statement."""
        self._hop.values = values

    async def prepared_name(self, shape: str, *, is_write: bool) -> str:
        """Note the shape for the next statement; the gateway knows the name."""
        self._hop.shape = (shape, is_write)
        return ''

    def note_record(self, record: LeaderRecord | None) -> None:
        """Note the leader record for which the gateway must hold a permit."""
        self._hop.record_version = 0 if record is None else record.version

    def note_limit(self, at: Instant) -> None:
        """Note when the time limit of the next statement ends."""
        self._hop.limit_at = at

    def concerns_target(self, error: Exception) -> bool:
        """:returns: Whether a failure says something about the target."""
        if isinstance(error, TargetLost):
            return error.concerns_target
        return not self._hop.is_silent()


def _fault_of(answer: Answer) -> str | None:
    """:returns: Why an answer can't be passed on to a caller; nothing if it can."""
    if not all(map(is_line, (answer.signature, answer.detail, *answer.rows))):
        return 'a text would end its message early'
    if answer.fate is Fate.ANSWERED and not answer.signature and not answer.reason:
        return 'it ended without a signature'
    return None


def _rounded(seconds: float) -> float:
    """:returns: A duration in as few digits as are needed."""
    return round(seconds, 4)
