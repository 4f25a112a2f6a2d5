"""Both ends of connections of the line protocol in memory: what a target answers, and what an instance sends."""

import asyncio
from collections.abc import Awaitable, Callable, Iterable
from typing import Any

from fescuequay_core.relay import refusals
from fescuequay_core.relay.model import LogPosition, SessionState, Statement, StatementKind
from fescuequay_core.relay.refusals import Refused
from fescuequay_core.types import RequestId, Term
from fescuequay_entry.relay.ports import Outcome, TargetLost, Unsendable, UnsendableStatement
from fescuequay_platform.connections import LineCaller, LineTarget
from fescuequay_platform.line_protocol import LineProtocol

_POSITION = LogPosition(Term(1), 2)


class _Options:
    """Stands in for the socket whose options are set."""

    def setsockopt(self, *_option: Any) -> None:
        """Accept an option."""


class MemoryTransport(asyncio.Transport):
    """Keeps what is sent."""

    def __init__(self) -> None:
        super().__init__()
        self.sent = b''
        self.is_paused = False
        self._is_closing = False

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """:returns: What takes socket options; nothing for an address."""
        return _Options() if name == 'socket' else default

    def write(self, data: Any) -> None:
        """Keep the bytes."""
        self.sent += data

    def is_closing(self) -> bool:
        """:returns: Whether it was closed."""
        return self._is_closing

    def close(self) -> None:
        """Close it."""
        self._is_closing = True

    def abort(self) -> None:
        """Close it."""
        self._is_closing = True

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        """Do nothing: everything is sent at once."""

    def get_write_buffer_size(self) -> int:
        """:returns: Zero."""
        return 0

    def pause_reading(self) -> None:
        """Note it; whoever feeds the protocol decides."""
        self.is_paused = True

    def resume_reading(self) -> None:
        """Note it; whoever feeds the protocol decides."""
        self.is_paused = False


def connect() -> tuple[LineProtocol, MemoryTransport]:
    """:returns: An established connection and its transport."""
    protocol, transport = LineProtocol(), MemoryTransport()
    protocol.connection_made(transport)
    return protocol, transport


async def ask(chunks: Iterable[bytes], statement: Statement) -> tuple[Outcome | None, LineTarget, bytes]:
    """Run a statement on a connection to a target that answers with these bytes and then closes its end.

    :param chunks: What the target sends, as it arrives.
    :param statement: The statement.
    :returns: Its outcome, or nothing if the connection was lost; the connection; what the target was sent.
    """
    protocol, transport = connect()
    target = LineTarget(protocol)
    running = asyncio.ensure_future(target.execute(RequestId('a1'), statement))
    await asyncio.sleep(0)
    for chunk in chunks:
        protocol.data_received(chunk)
    outcome = None
    while not running.done():
        for _ in range(3):
            await asyncio.sleep(0)
        if not running.done():
            protocol.eof_received()
    if not isinstance(running.exception(), TargetLost):
        outcome = running.result()
    return outcome, target, transport.sent


async def send_everywhere(text: str) -> dict[str, bytes]:
    """:returns: What the other end gets when a text is sent in each place that others may have written."""
    read = Statement(StatementKind.READ, f'READ {text}')
    steps: dict[str, Callable[[LineCaller, LineTarget], Awaitable[Any] | None]] = {
        'request': lambda _, target: target.execute(RequestId(text), Statement(StatementKind.READ, 'READ x')),
        'statement': lambda _, target: target.execute(RequestId('a1'), read),
        'value': lambda _, target: target.set_value('lang', text),
        'shape': lambda _, target: target.prepare('f0', text, is_write=False),
        'row': lambda caller, _: caller.answer([text], 'sig', SessionState.IDLE, _POSITION),
        'signature': lambda caller, _: caller.answer([], text, SessionState.IDLE, _POSITION),
        'detail': lambda caller, _: caller.refuse(Refused(refusals.LOST, text), SessionState.IDLE, _POSITION),
    }
    return {place: await _send(step) for place, step in steps.items()}


async def _send(step: Callable[[LineCaller, LineTarget], Awaitable[Any] | None]) -> bytes:
    protocol, transport = connect()
    try:
        running = step(LineCaller(protocol), LineTarget(protocol))
        if running is not None:
            await running
    except (Unsendable, UnsendableStatement):
        return transport.sent
    return transport.sent
