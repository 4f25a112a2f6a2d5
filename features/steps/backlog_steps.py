"""Steps that test what callers cost the others who send too much, or don't read their answers."""

import asyncio
import contextlib
import socket
import threading
import time
import tracemalloc
from typing import Any
from unittest import mock

from behave import then, when

from features import line_ends
from fescuequay_core.relay.buffer_shares import BufferShares
from fescuequay_core.types import OrganisationId
from fescuequay_entry.relay.session_buffers import Holder, SessionBuffers
from fescuequay_platform import codec

_MESSAGES_BY_NAME = {'empty lines': b'\n', 'unknown kinds': b'x\r\n', 'session values': b'QUERY a SET x y\r\n'}
_MESSAGES_BY_NAME['commits'] = b'QUERY a COMMIT\r\n'
_FLOOD_BYTES = 2**20
_TEXTS_BY_NAME = {'ASCII characters': 'x', 'characters beyond ASCII': '\N{GRINNING FACE}x'}

#: Interval between two reads of callers that read slowly, in seconds.
_SLOW_READ_INTERVAL_S = 2.0

#: Unread bytes that the kernel keeps for a caller who reads nothing.
_RECEIVE_BYTES = 65536

#: Time for which others are watched, in seconds.
_WATCH_S = 4.0

#: Longest wait until sessions that read nothing are reset, in seconds; the limit is 10 s.
_RESET_WAIT_S = 20.0


@when('{count:d} short messages arrive at once on a connection')
def step_many(context: Any, count: int) -> None:
    protocol, transport = line_ends.connect()
    with mock.patch.object(codec, '_decode_line', wraps=codec._decode_line) as decode_line:
        protocol.data_received(b'BYE\r\n' * count)
    context.decoded, context.is_paused = decode_line.call_count, transport.is_paused
    context.protocol, context.transport = protocol, transport


@then('{count:d} message is decoded until it is read, and reading from the connection is paused')
def step_lazily(context: Any, count: int) -> None:
    assert (context.decoded, context.is_paused) == (count, True), (context.decoded, context.is_paused)


@when('a message of 1 MiB of {text} arrives on a connection')
def step_large(context: Any, text: str) -> None:
    protocol = line_ends.connect()[0]
    protocol.on_backlog = mock.Mock()
    head = b'QUERY a WRITE x '
    content = _TEXTS_BY_NAME[text].ljust(codec.MAX_MESSAGE_BYTES - len(head) - 4, 'x').encode()
    raw = head + content[: codec.MAX_MESSAGE_BYTES - len(head)] + b'\r\n'
    tracemalloc.start()
    protocol.data_received(raw)
    context.memory_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    context.held_bytes, context.is_reported = protocol.held_bytes(), protocol.on_backlog.called
    assert protocol.has_unread()


@then('what the connection holds counts with at least {share:g} of its memory, and is reported')
def step_counted(context: Any, share: float) -> None:
    assert context.held_bytes >= share * context.memory_bytes, (context.held_bytes, context.memory_bytes)
    assert context.is_reported


@then('all {count:d} are read in turn, and reading from the connection is not paused')
def step_resumed(context: Any, count: int) -> None:
    async def read_all() -> int:
        found = 0
        while context.protocol.has_unread():
            await context.protocol.receive()
            found += 1
        return found

    assert asyncio.run(read_all()) == count
    assert not context.transport.is_paused


@when('a caller stops reading and its connection is lost')
def step_lost(context: Any) -> None:
    async def lose() -> None:
        protocol, transport = line_ends.connect()
        with mock.patch.object(transport, 'get_write_buffer_size', return_value=70_000):
            protocol.pause_writing()
        waiting = asyncio.ensure_future(protocol.wait_until_read(_RESET_WAIT_S))
        await asyncio.sleep(0)
        protocol.connection_lost(ConnectionResetError())
        context.is_over = await asyncio.wait_for(waiting, 1.0)
        context.unread_bytes = protocol.unread_bytes

    asyncio.run(lose())


@then('the wait for it ends at once, and the bytes that it never read are known')
def step_lost_known(context: Any) -> None:
    assert (context.is_over, context.unread_bytes) == (True, 70_000), (context.is_over, context.unread_bytes)


class _Holder(Holder):
    def __init__(self) -> None:
        self.is_reset = False

    def held_bytes(self) -> int:
        return 40_000_000

    def reset(self, reason: str) -> None:
        self.is_reset = True


@when('sessions of 40 MB begin and end one after the other, with 64 MB for all')
def step_in_turn(context: Any) -> None:
    buffers = SessionBuffers(None)
    context.in_turn = [_Holder() for _ in range(3)]
    for holder in context.in_turn:
        buffers.record_backlog(holder, OrganisationId('o'))
        buffers.forget(holder)
    context.together = [_Holder(), _Holder()]
    for holder in context.together:
        buffers.record_backlog(holder, OrganisationId('o'))


@then('none is reset, but of two at the same time one is')
def step_one_reset(context: Any) -> None:
    assert not any(holder.is_reset for holder in context.in_turn)
    assert [holder.is_reset for holder in context.together].count(True) == 1


@when('sessions hold {held} and may hold {limit:d} together')
def step_held(context: Any, held: str, limit: int) -> None:
    entries = [entry.split(' ') for entry in held.split(', ')]
    held_by_session = {(OrganisationId(name[0]), name): int(size) for name, size in entries}
    context.excess = list(BufferShares[str](limit).excess_of(held_by_session))


@then('{names} are reset')
def step_excess(context: Any, names: str) -> None:
    assert set(context.excess) == (set() if names == 'none' else set(names.split(' '))), context.excess


@when('{count:d} callers send 1 MiB of {what} at once')
def step_flood(context: Any, count: int, what: str) -> None:
    context.world.await_primary()
    context.lines_before = len(context.world.output())
    raw = _MESSAGES_BY_NAME[what] * (_FLOOD_BYTES // len(_MESSAGES_BY_NAME[what]))
    context.is_undecodable = what != 'session values'
    context.floods = count
    _start([threading.Thread(target=_flood, args=(context.world.open_session(), raw)) for _ in range(count)])


def _flood(caller: socket.socket, raw: bytes) -> None:
    with caller, contextlib.suppress(OSError):
        sending = threading.Thread(target=_send, args=(caller, raw))
        sending.start()
        while caller.recv(65536):
            time.sleep(0)
        sending.join()


def _send(caller: socket.socket, raw: bytes) -> None:
    with contextlib.suppress(OSError):
        caller.sendall(raw)


def _start(threads: list[threading.Thread]) -> None:
    for thread in threads:
        thread.daemon = True
        thread.start()


@then('others are served within {limit_s:d} s each, and the instance uses at most {limit_mb:d} MB')
def step_served(context: Any, limit_s: int, limit_mb: int) -> None:
    longest_s = context.world.longest_read_s(time.monotonic() + _WATCH_S)
    assert longest_s < limit_s, longest_s
    assert context.world.peak_memory_mb() <= limit_mb, context.world.peak_memory_mb()


@then('each flood of undecodable messages has logged at most {most:d} lines')
def step_logged(context: Any, most: int) -> None:
    lines = [line for line in context.world.output()[context.lines_before :] if 'event=bad_message' in line]
    assert len(lines) <= most * context.floods, len(lines)
    assert bool(lines) == context.is_undecodable, lines[:2]


def _write_large(context: Any, size: int) -> None:
    context.world.await_primary()
    with context.world.open_session() as writer:
        writer.sendall(b'QUERY w1 WRITE large ' + b'x' * size + b'\r\n')
        assert writer.recv(100).startswith(b'DONE')


@when(
    '{count:d} callers ask for an answer of {size:d} bytes {times:d} times each in a transaction, '
    'and read {rate:d} bytes a second'
)
def step_slow(context: Any, count: int, size: int, times: int, rate: int) -> None:
    _write_large(context, size)
    context.slow = [context.world.open_session('bulk-key', _RECEIVE_BYTES) for _ in range(count)]
    for caller in context.slow:
        caller.sendall(b'QUERY b1 BEGIN READ\r\n' + b'QUERY r1 READ large\r\n' * times)
    _start([threading.Thread(target=_read_slowly, args=(caller, rate)) for caller in context.slow])


def _read_slowly(caller: socket.socket, rate: int) -> None:
    with contextlib.suppress(OSError):
        time.sleep(_SLOW_READ_INTERVAL_S)
        while caller.recv(int(rate * _SLOW_READ_INTERVAL_S)):
            time.sleep(_SLOW_READ_INTERVAL_S)


@then('after {pause_s:d} s others are served again')
def step_served_again(context: Any, pause_s: int) -> None:
    time.sleep(pause_s)
    with context.world.open_session('bulk-key') as other:
        other.sendall(b'QUERY s1 READ none\r\n')
        answer = other.recv(200)
    for caller in context.slow:
        caller.close()
    assert not answer.startswith(b'ERROR'), answer


@when('{count:d} callers send a message of 1 MiB each, are answered and stay idle')
def step_idle(context: Any, count: int) -> None:
    context.world.await_primary()
    head = b'QUERY a DEALLOC '
    raw = head.ljust(codec.MAX_MESSAGE_BYTES, b'x') + b'\r\n'
    with contextlib.ExitStack() as sessions:
        for _ in range(count):
            caller = sessions.enter_context(context.world.open_session())
            caller.sendall(raw)
            assert caller.recv(100).startswith(b'ERROR ')
        context.peak_mb = context.world.peak_memory_mb()


@then('the instance uses at most {limit_mb:d} MB')
def step_used(context: Any, limit_mb: int) -> None:
    assert context.peak_mb <= limit_mb, context.peak_mb


@when('{count:d} callers ask for an answer of {size:d} bytes {times:d} times each and read nothing')
def step_unread(context: Any, count: int, size: int, times: int) -> None:
    _write_large(context, size)
    context.silent = [context.world.open_session('bulk-key', _RECEIVE_BYTES) for _ in range(count)]
    for caller in context.silent:
        caller.sendall(b'QUERY r1 READ large\r\n' * times)


@then('each of these sessions ends, and the log says which, how much it left unread and for how long')
def step_reset(context: Any) -> None:
    names = {'{0}:{1}'.format(*caller.getsockname()) for caller in context.silent}
    until = time.monotonic() + _RESET_WAIT_S
    while time.monotonic() < until and len(_resets(context)) < len(names):
        time.sleep(0.2)
    resets = _resets(context)
    assert {line.partition('session=')[2].split(' ')[0] for line in resets} == names, (len(resets), len(names))
    assert all('unread_bytes=' in line and 'waited_s=' in line for line in resets), resets[:2]
    for caller in context.silent:
        caller.close()


def _resets(context: Any) -> list[str]:
    return [line for line in context.world.output() if 'event=answer_unread' in line]
