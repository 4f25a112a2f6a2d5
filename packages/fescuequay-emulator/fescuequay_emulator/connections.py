"""Simulated connections of instances to targets."""

import asyncio
import dataclasses
from collections.abc import Awaitable, Callable
from typing import Any

from fescuequay_core.relay import refusals
from fescuequay_core.relay.model import (
    LogPosition,
    SessionState,
    Statement,
    StatementKind,
    TargetDescription,
    TargetReport,
)
from fescuequay_core.relay.refusals import Reason, Refused
from fescuequay_core.types import OrganisationId, RequestId, Role, Term
from fescuequay_emulator.network import Network
from fescuequay_emulator.targets import Execution, ModelTarget
from fescuequay_emulator.wire import TargetCall, Wire, first_careless_line, split_carelessly
from fescuequay_entry.relay.ports import Outcome, TargetConnection, TargetDriver, TargetLost, ignore_acceptance


class ModelConnection(TargetConnection):
    """A connection of an instance to a simulated target.

    :param target: The target.
    :param caller: Name of the instance.
    :param organisation: Organisation that the connection authenticates as.
    :param wire: Encoding of the statements, which the target reads carelessly; nothing if it gets them as they are.
    """

    def __init__(
        self, target: ModelTarget, caller: str, organisation: OrganisationId, wire: Wire | None = None
    ) -> None:
        self.target = target
        self.is_open = True
        self.position = None
        self.values: dict[str, str] = {}
        self.shapes: dict[str, tuple[str, bool]] = {}
        self.transaction = 0
        self._caller = caller
        self._organisation = organisation
        self._wire = wire
        self._may_write = True
        self._writes: list[RequestId] = []
        self._broken: asyncio.Future[None] = asyncio.get_running_loop().create_future()

    def abort(self, *, is_silent: bool = False) -> None:
        """Close the connection from the target's side; the instance notices unless ``is_silent``."""
        self.transaction = 0
        self.target.connections.pop(self, None)
        if not is_silent:
            self.is_open = False
            if not self._broken.done():
                self._broken.set_result(None)

    def close(self) -> None:
        """Close the connection from the instance's side."""
        self.is_open = False
        self.transaction = 0
        self.target.connections.pop(self, None)

    async def execute(
        self,
        request: RequestId,
        statement: Statement,
        *,
        name: str | None = None,
        after: LogPosition | None = None,
    ) -> Outcome:
        """Execute a caller's statement."""
        read = statement
        if self._wire is not None:
            read = dataclasses.replace(statement, text=first_careless_line(statement.text))
        return await self._call(
            lambda: self._execute_statement(request, read, name, after),
            lambda connection: connection.execute(request, statement, name=name, after=after),
        )

    async def begin(self, *, is_write: bool, after: LogPosition | None) -> Outcome:
        """Begin a transaction."""

        async def begin() -> Outcome:
            if is_write and self.target.role is not Role.PRIMARY:
                return self._failure(refusals.NOT_LEADING)
            if after is not None and not self._has_applied(after):
                return self._failure(refusals.BEHIND)
            self.transaction = self.target.next_transaction()
            self._may_write = is_write
            self._writes = []
            return self._success()

        return await self._call(begin)

    async def rollback(self) -> Outcome:
        """Roll the transaction back."""

        async def roll_back() -> Outcome:
            self.transaction = 0
            return self._success()

        return await self._call(roll_back)

    async def set_value(self, name: str, value: str) -> Outcome:
        """Set a session value."""

        async def set_value() -> Outcome:
            self.values[name] = value
            return self._success()

        return await self._call(set_value, lambda connection: connection.set_value(name, value))

    async def prepare(self, name: str, shape: str, *, is_write: bool) -> Outcome:
        """Prepare a statement."""

        async def prepare() -> Outcome:
            self.shapes[name] = (shape, is_write)
            return self._success()

        return await self._call(prepare, lambda connection: connection.prepare(name, shape, is_write=is_write))

    async def reset(self) -> Outcome:
        """Clear all session values and prepared statements."""

        async def reset() -> Outcome:
            self.values.clear()
            self.shapes.clear()
            return self._success()

        return await self._call(reset)

    async def status(self) -> TargetReport | None:
        """:returns: Status of the target."""
        await self._call(self._no_operation)
        return self.target.report()

    async def demote(self, term: Term) -> TargetReport | None:
        """Demote a primary of an earlier term to a replica."""

        async def demote() -> Outcome:
            if self.target.role is Role.PRIMARY and self.target.term < term:
                self.target.become_replica()
                self.target.applied = len(self.target.log)
            return self._success()

        await self._call(demote)
        return self.target.report()

    async def hold(self, term: Term) -> TargetReport | None:
        """Stop replication on a replica."""

        async def hold() -> Outcome:
            self.target.ignores_replication = True
            return self._success()

        await self._call(hold)
        return self.target.report()

    async def _no_operation(self) -> Outcome:
        return self._success()

    async def _call(self, step: Callable[[], Awaitable[Outcome]], call: TargetCall | None = None) -> Outcome:
        written = b'' if self._wire is None or call is None else self._wire.write(call)
        if isinstance(written, Outcome):
            return written
        round_trip = asyncio.ensure_future(self._round_trip(step, written))
        pending: set[asyncio.Future[Any]] = {round_trip, self._broken}
        done, _ = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
        if round_trip in done:
            return round_trip.result()
        round_trip.cancel()
        raise TargetLost('the target ended the connection')

    async def _round_trip(self, step: Callable[[], Awaitable[Outcome]], written: bytes) -> Outcome:
        target = self.target
        try:
            await target.network.transmit(self._caller, target.name)
            if not target.is_alive:
                await asyncio.get_running_loop().create_future()
            outcome = await step()
            self._run_further_lines(written)
            await target.network.transmit(target.name, self._caller)
        except ConnectionRefusedError as error:
            raise TargetLost(str(error)) from error
        if self._wire is not None and outcome.rows:
            outcome = self._wire.read_answer(outcome)
        self.position = outcome.position
        return outcome

    def _run_further_lines(self, written: bytes) -> None:
        """Run the requests that a careless target reads behind the first line."""
        if self._wire is None:
            return
        for line in tuple(split_carelessly(written))[1:]:
            request = self._wire.parse_request(line)
            if request is not None:
                statement = Statement(StatementKind.READ, request[1])
                self.target.record_execution(self._describe_execution(request[0], statement, None, self.transaction))

    async def _execute_statement(
        self, request: RequestId, statement: Statement, name: str | None, after: LogPosition | None
    ) -> Outcome:
        target = self.target
        shape = self.shapes.get(name) if name is not None else None
        if name is not None and shape is None:
            return self._failure(refusals.UNKNOWN_STATEMENT)
        is_write = statement.kind is StatementKind.WRITE or (shape is not None and shape[1])
        # The connection may end while the statement waits; it still runs in its transaction, which is then rolled back
        # unless this was its end.
        transaction = self.transaction
        try:
            await target.occupy_slot()
        except Refused as refusal:
            return self._failure(refusal.reason)
        if not target.is_alive:
            await asyncio.get_running_loop().create_future()
        if after is not None and not self._has_applied(after):
            return self._failure(refusals.BEHIND)
        must_lead = is_write or (transaction > 0 and self._may_write)
        if must_lead and target.role is not Role.PRIMARY:
            self.transaction = 0
            return self._failure(refusals.NOT_LEADING)
        target.record_execution(self._describe_execution(request, statement, shape, transaction))
        if target.fails():
            return self._failure(refusals.FAILED)
        self._apply_effects(request, statement, transaction, is_write=is_write)
        if target.loses_answer():
            await asyncio.get_running_loop().create_future()
        rows = target.next_rows() if statement.kind is StatementKind.READ else ()
        return self._success(f'{target.name}:{request}', rows)

    def _apply_effects(self, request: RequestId, statement: Statement, transaction: int, *, is_write: bool) -> None:
        if statement.kind is StatementKind.COMMIT:
            if self._writes:
                self.target.commit(request, tuple(self._writes))
            self.transaction = 0
            self._writes = []
        elif is_write and transaction:
            self._writes.append(request)
        elif is_write:
            self.target.commit(request, (request,))

    def _describe_execution(
        self, request: RequestId, statement: Statement, shape: tuple[str, bool] | None, transaction: int
    ) -> Execution:
        target = self.target
        return Execution(
            asyncio.get_running_loop().time(),
            target.name,
            target.description.service,
            request,
            statement,
            self._organisation,
            dict(self.values),
            shape,
            transaction,
            target.visible_commits(),
            target.role is Role.PRIMARY,
            self._caller,
        )

    def _has_applied(self, position: LogPosition) -> bool:
        visible = self.target.visible_commits()
        return bool(visible) and visible[-1].position >= position or position.number == 0

    def _success(self, signature: str = '-', rows: tuple[str, ...] = ()) -> Outcome:
        state = SessionState.IN_TRANSACTION if self.transaction else SessionState.IDLE
        return Outcome(rows, signature, None, state, self.target.position())

    def _failure(self, reason: Reason) -> Outcome:
        state = SessionState.FAILED if self.transaction else SessionState.IDLE
        return Outcome((), '', Refused(reason), state, self.target.position())


class ModelDriver(TargetDriver):
    """Opens connections of one instance to simulated targets.

    :param network: The network.
    :param targets_by_address: Targets by the address that they listen on.
    :param caller: Name of the instance.
    :param wire: Encoding of the statements; nothing if targets get them as they are.
    """

    def __init__(
        self, network: Network, targets_by_address: dict[str, ModelTarget], caller: str, wire: Wire | None = None
    ) -> None:
        self._network = network
        self._targets_by_address = targets_by_address
        self._caller = caller
        self._wire = wire

    async def connect(
        self,
        target: TargetDescription,
        organisation: OrganisationId,
        on_accepted: Callable[[], None] = ignore_acceptance,
    ) -> TargetConnection:
        """Open a connection.

        :raises TargetLost: Nothing listens at the address, or the connection was refused.
        :raises Refused: Another target listens there, or its connections are used up.
        """
        found = self._targets_by_address.get(target.address)
        if found is None:
            raise TargetLost('nothing listens there', is_refusal=True)
        try:
            await self._network.transmit(self._caller, found.name)
            if found.is_silent:
                await asyncio.get_running_loop().create_future()
            if not found.is_alive:
                raise TargetLost('nothing listens there', is_refusal=True)
            if found.name != target.target:
                raise Refused(refusals.WRONG_TARGET)
            if len(found.connections) >= found.max_connections:
                found.rejected_connections += 1
                raise Refused(refusals.TOO_MANY)
            on_accepted()
            await found.occupy_slot_to_connect()
            await self._network.transmit(found.name, self._caller)
        except ConnectionRefusedError as error:
            raise TargetLost(str(error), is_refusal=True) from error
        connection = ModelConnection(found, self._caller, organisation, self._wire)
        found.connections[connection] = None
        found.opened_connections += 1
        return connection
