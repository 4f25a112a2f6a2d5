"""The line protocol as a byte boundary of the emulator: the platform's adapters, and a plain reading beside them."""

import asyncio
from collections.abc import Coroutine, Iterator, Sequence
from typing import Any, TypeVar

from fescuequay_core.relay.model import SessionState
from fescuequay_core.types import RequestId
from fescuequay_emulator.load import read
from fescuequay_emulator.wire import MESSAGE_END, CallerInput, TargetCall, Wire
from fescuequay_entry.relay.ports import CallerMessage, Opening, Outcome, Query, TargetLost
from fescuequay_platform import statements
from fescuequay_platform.connections import LineCaller, LineTarget
from fescuequay_platform.line_protocol import LineProtocol

Result = TypeVar('Result')


class Recorder(asyncio.Transport):
    """Records what is written."""

    def __init__(self) -> None:
        super().__init__()
        self.written = b''

    def is_closing(self) -> bool:
        """:returns: Whether it is closed; it never is."""
        return False

    def write(self, data: Any) -> None:
        """Record written bytes."""
        self.written += data

    def abort(self) -> None:
        """Ignore the end."""


def _run_to_first_wait(coroutine: Coroutine[Any, Any, Result]) -> Result | None:
    """:returns: What the coroutine returned; nothing if it waits, and is then ended."""
    try:
        coroutine.send(None)
    except StopIteration as ended:
        result: Result = ended.value
        return result
    coroutine.close()
    return None


class _LineInput(CallerInput):
    def __init__(self) -> None:
        self._protocol = LineProtocol()
        self._caller = LineCaller(self._protocol)

    def feed(self, chunk: bytes) -> Iterator[CallerMessage]:
        """:returns: The messages that are complete."""
        self._protocol.data_received(chunk)
        while self._protocol.has_unread():
            message = _run_to_first_wait(self._caller.receive())
            assert message is not None
            yield message


class LineWire(Wire):
    """The line protocol."""

    def open_input(self) -> CallerInput:
        """:returns: The platform's decoder."""
        return _LineInput()

    def write(self, call: TargetCall) -> bytes | Outcome:
        """:returns: What the platform's adapter writes, or its outcome if it writes nothing."""
        protocol = LineProtocol()
        recorder = Recorder()
        protocol.transport = recorder
        return _run_to_first_wait(call(LineTarget(protocol))) or recorder.written

    def read_answer(self, answer: Outcome) -> Outcome:
        """:returns: What the platform's adapter reads. :raises TargetLost: It cannot be read."""
        protocol = LineProtocol()
        state, position = statements.format_state(answer.state), statements.format_position(answer.position)
        lines = (*(f'ROW {row}' for row in answer.rows), f'DONE {answer.signature}', f'READY {state} {position}')
        asking = LineTarget(protocol).execute(RequestId('r'), read(1))
        # What arrives before the statement is sent is no answer to it.
        asking.send(None)
        protocol.data_received(b''.join(line.encode() + MESSAGE_END for line in lines))
        found = _run_to_first_wait(asking)
        if found is None:
            raise TargetLost('the answer did not end')
        return found

    def write_answer(self, rows: Sequence[str], signature: str) -> bytes:
        """:returns: What the platform's adapter writes. :raises Unsendable: It writes nothing."""
        protocol = LineProtocol()
        recorder = Recorder()
        protocol.transport = recorder
        LineCaller(protocol).answer(rows, signature, SessionState.IDLE, None)
        return recorder.written

    def format(self, message: CallerMessage) -> bytes:
        """:returns: The line of a message."""
        match message:
            case Opening():
                line = f'START {message.database} {message.credential}'
            case Query():
                line = f'QUERY {message.request} {message.statement.text}'
            case _:
                line = 'BYE'
        return line.encode() + MESSAGE_END

    def parse_request(self, line: bytes) -> tuple[RequestId, str] | None:
        """:returns: Id and text of a request."""
        word, _, rest = line.decode(errors='surrogateescape').partition(' ')
        request, _, text = rest.partition(' ')
        return (RequestId(request), text) if word == 'QUERY' else None
