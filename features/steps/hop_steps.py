"""Steps for the frames between instances."""

import asyncio
import dataclasses
import time
from collections.abc import Callable
from typing import Any, Final

import msgspec
from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st

from features import gateway_builders as builders
from features import hop_stream_model as model
from features import odd_asks
from features.gateway_bench import GatewayBench
from features.ports import reserve_port
from fescuequay_core.relay import refusals
from fescuequay_core.relay.model import DatabaseName, SessionState, Statement, StatementKind
from fescuequay_core.relay.waiting import WaitingStatement
from fescuequay_core.types import OrganisationId, RequestId
from fescuequay_emulator.callers import Session, StatementOutcome
from fescuequay_emulator.load import Load, prepare, read
from fescuequay_emulator.world import World
from fescuequay_entry.relay.hop_connection import HopConnection
from fescuequay_entry.relay.hop_frames import (
    Answer,
    Ask,
    Fate,
    Frame,
    FrameDecoder,
    FrameError,
    Ping,
    Pong,
    Step,
    UnsendableFrame,
    encode,
)
from fescuequay_entry.relay.hop_streams import GatewayPeer, HopStream
from fescuequay_entry.relay.hop_tcp import TcpHops
from fescuequay_entry.relay.hops import HopReceiver
from fescuequay_entry.relay.ports import GatewayLost, Outcome, TargetConnection, TargetLost

_CUTS = st.lists(st.integers(0, 400), max_size=6)

#: Time after which a statement runs at its target, and is not answered yet, in virtual seconds.
_UNTIL_RUN_S: Final = 0.005

#: Each takes six bytes in JSON.
_CONTROLS: Final = '\x01' * 1_000_000


def _decoded(raw: bytes, cuts: list[int]) -> tuple[list[Frame], FrameError | None]:
    decoder = FrameDecoder()
    frames: list[Frame] = []
    error = None
    for chunk in model.chunks_of(raw, cuts):
        is_ended = error is not None
        try:
            for frame in decoder.feed(chunk):
                assert not is_ended, (frame, error)
                frames.append(frame)
        except FrameError as found:
            error = found
    return frames, error


@then('hypothesis finds no frames and no chunks that the frame decoder turns into other frames')
def step_same(context: Any) -> None:
    @settings(max_examples=300, deadline=None, derandomize=True)
    @for_all(st.lists(model.FRAMES, max_size=4), _CUTS)
    def check(frames: list[Frame], cuts: list[int]) -> None:
        assert _decoded(b''.join(map(encode, frames)), cuts) == (frames, None)

    check()


@then("hypothesis finds no damage after which the frame decoder yields what a plain model doesn't")
def step_damaged(context: Any) -> None:
    @settings(max_examples=600, deadline=None, derandomize=True)
    @for_all(st.lists(model.FRAMES, min_size=1, max_size=4), st.binary(max_size=6), st.booleans(), st.data())
    def check(frames: list[Frame], damage: bytes, is_of_same_size: bool, data: Any) -> None:  # noqa: FBT001
        raw = b''.join(map(encode, frames))
        places = st.integers(0, len(raw))
        place, cuts = data.draw(places), data.draw(st.lists(places, max_size=4))
        skipped = len(damage) if is_of_same_size else data.draw(st.integers(0, 8))
        damaged = raw[:place] + damage + raw[place + skipped :]
        found, error = _decoded(damaged, cuts)
        plain = list(model.plain_frames_of(damaged))
        assert len(found) <= len(plain), (found, plain)
        assert all(map(model.is_same, found, plain)), (found, plain)
        assert error is not None or len(found) == len(plain), (found, plain)

    check()


@when('frames follow {what} in the same chunk and in later ones')
def step_behind(context: Any, what: str) -> None:
    decoder = FrameDecoder()
    chunks = [encode(Ping()) + builders.bytes_of(what) + encode(Pong()) * 3, encode(Pong()), encode(Pong())]
    context.frames, context.errors = [], []
    for chunk in chunks:
        try:
            context.frames.extend(decoder.feed(chunk))
        except FrameError as error:
            context.errors.append(error)


@then('only the first frame is decoded, and each later chunk is an error')
def step_only_first(context: Any) -> None:
    assert context.frames == [Ping()], context.frames
    assert len(context.errors) == 3, context.errors


@when('{count:d} short frames arrive in one chunk, and one frame of 1 MiB in {pieces:d} chunks')
def step_many(context: Any, count: int, pieces: int) -> None:
    decoder = model.counting_decoder()
    long = encode(Answer(1, Fate.ANSWERED, rows=['x' * 1024 * 1024]))
    step = len(long) // pieces
    chunks = [encode(Ping()) * count, *(long[start : start + step] for start in range(0, len(long), step))]
    context.decoded = sum(1 for chunk in chunks for _ in decoder.feed(chunk))
    assert context.decoded == count + 1, context.decoded
    context.size = sum(map(len, chunks))


@then('the decoder has copied each byte at most {times:d} times')
def step_copied(context: Any, times: int) -> None:
    copied = model.CountingBuffer.copied
    assert context.size <= copied <= times * context.size, (copied, context.size)


class _Frames(HopReceiver):
    """Keeps the frames of a stream."""

    def __init__(self) -> None:
        self.frames: asyncio.Queue[Frame | str] = asyncio.Queue()

    def receive(self, frame: Frame) -> None:
        self.frames.put_nowait(frame)

    def end(self, detail: str) -> None:
        self.frames.put_nowait(detail)


_UNSENDABLE_BY_NAME: Final[dict[str, Callable[[Ask], Ask]]] = {
    'a statement of 1 MiB of control characters twice': lambda ask: msgspec.structs.replace(
        ask, text=f'EXECUTE s {_CONTROLS}', arguments=_CONTROLS
    ),
    'a text with half of a surrogate pair': lambda ask: msgspec.structs.replace(ask, text='READ \ud800'),
    'a text whose surrogates are the bytes of a letter': lambda ask: msgspec.structs.replace(
        ask, text='READ \udcc3\udca9'
    ),
}


@when('{what} is sent over a stream, and a sign of life after it')
def step_unsendable(context: Any, what: str) -> None:
    frame = _UNSENDABLE_BY_NAME[what](builders.ask())

    async def send() -> None:
        port = reserve_port()
        hops, receiver = TcpHops('127.0.0.1', port), _Frames()
        await hops.listen(lambda _link: receiver)
        link = await hops.connect(f'127.0.0.1:{port}', _Frames())
        try:
            link.send(frame)
        except (UnsendableFrame, UnicodeEncodeError) as error:
            context.error = error
        link.send(Ping())
        context.first = await asyncio.wait_for(receiver.frames.get(), 5.0)
        link.close()
        hops.stop()

    context.error = None
    asyncio.run(send())


@then('only the sign of life arrives, and the sender knows that the other frame was not sent')
def step_not_sent(context: Any) -> None:
    assert context.first == Ping(), context.first
    assert isinstance(context.error, UnsendableFrame), repr(context.error)


@when('a caller executes a statement whose frame would be too long, while others read over the same gateway')
def step_long_statement(context: Any) -> None:
    world: World = context.relay
    long = Statement(StatementKind.EXECUTE, f'EXECUTE s {_CONTROLS}', name='s', arguments=_CONTROLS)

    async def scenario(_: World) -> None:
        await world.start()
        await Load(world, 40, 12).run(2.0)
        asker = next(name for name in world.instances if name not in _gateways(world))
        sessions = [await _session(world, asker, number) for number in range(4)]
        await sessions[0].execute(prepare('s', 'shape', is_write=False))
        await asyncio.gather(*(session.execute(read(1)) for session in sessions))
        links = set(world.links)
        statements = [long, read(1), read(2), read(3)]
        context.sent = await asyncio.gather(
            *(session.execute(statement) for session, statement in zip(sessions, statements, strict=True))
        )
        context.ended = [(link.near, link.other.near) for link in links - set(world.links)]

    world.run(scenario)


@then('all of them are served, and no stream was ended')
def step_all_served(context: Any) -> None:
    outcomes = [(sent.outcome, sent.refusal) for sent in context.sent]
    assert all(outcome is StatementOutcome.SERVED for outcome, _ in outcomes), outcomes
    assert not context.ended, context.ended


def _gateways(world: World) -> tuple[str, ...]:
    primary = world.primary_of('s0').description
    return next(iter(world.instances.values()))._pools._directory.gateways_of(primary)


async def _session(world: World, asker: str, number: int) -> Session:
    credential = world.credentials()[0]
    session = Session(number, credential, DatabaseName('primary-0'), world.checker.sent, world.rng)
    await session.open(world.listeners[asker])
    return session


@given('a gateway that is asked over one stream')
def step_bench(context: Any) -> None:
    context.bench = GatewayBench()


@when("it is asked to write and to read, and the write's answer has 8 rows of 1 MiB")
def step_long_answer(context: Any) -> None:
    async def steps(bench: GatewayBench) -> None:
        pool = bench.instance._pools.pool_of(bench.primary)
        await bench.send(bench.ask(1))
        _lengthen(pool._idle[0].connection)
        await bench.send(bench.ask(2, 'WRITE 1 x', StatementKind.WRITE))
        await bench.send(bench.ask(3))

    context.bench.run(steps)


def _lengthen(connection: TargetConnection) -> None:
    """Let the next answer on a connection be long."""
    execute = connection.execute

    async def execute_once(*statement: Any, **options: Any) -> Outcome:
        connection.execute = execute  # type: ignore[method-assign]
        outcome = await execute(*statement, **options)
        return dataclasses.replace(outcome, rows=['x' * 1024 * 1024] * 8)

    connection.execute = execute_once  # type: ignore[method-assign]


@then('the write ran and its outcome is unknown, and the read is answered')
def step_long_answered(context: Any) -> None:
    bench = context.bench
    assert [execution.request for execution in bench.executions()][-3:] == ['r1', 'r2', 'r3'], bench.executions()
    _, write, second = bench.link.answers
    assert (write.number, write.fate, write.refusal().reason) == (2, Fate.ANSWERED, refusals.LOST), write
    assert second.fate is Fate.ANSWERED and not second.reason, second


_AGAIN_BY_NAME: Final[dict[str, Callable[[GatewayBench], Ask]]] = {
    'the same, while it runs': lambda bench: _write(bench, 7),
    'the same, after it was answered': lambda bench: _write(bench, 7),
    'the same number for another write': lambda bench: _write(bench, 7, request='r8'),
    'a lower number for another write': lambda bench: _write(bench, 6),
    'a transaction under a number that came before': lambda bench: _begin(bench, 9, lease=7),
    'a transaction whose number comes after its request': lambda bench: _begin(bench, 9, lease=10),
}


def _write(bench: GatewayBench, number: int, **fields: Any) -> Ask:
    return bench.ask(number, 'WRITE 1 x', StatementKind.WRITE, **fields)


def _begin(bench: GatewayBench, number: int, *, lease: int) -> Ask:
    return bench.ask(number, '', StatementKind.BEGIN, step=Step.BEGIN_WRITE, lease=lease, request='-')


@when('it is asked to write under number 7, and then {again}')
def step_again(context: Any, again: str) -> None:
    async def steps(bench: GatewayBench) -> None:
        first, second = _write(bench, 7), _AGAIN_BY_NAME[again](bench)
        await bench.send(bench.ask(1))
        bench.deliver(first)
        await asyncio.sleep(_UNTIL_RUN_S if again.endswith('runs') else 1.0)
        await bench.send(second)

    context.bench.run(steps)


@then('the first write ran once, and the stream ended as unreadable at the second request')
def step_ran_once(context: Any) -> None:
    bench = context.bench
    assert [execution.request for execution in bench.executions()] == ['r1', 'r7'], bench.executions()
    assert isinstance(bench.error, FrameError), bench.link.answers


@when('it is asked for a read, {what}, and another read')
def step_odd_ask(context: Any, what: str) -> None:
    async def steps(bench: GatewayBench) -> None:
        await bench.send(bench.ask(1))
        await bench.send(odd_asks.ASKS_BY_NAME[what](bench.ask(2)))
        await bench.send(bench.ask(9, request='r3'))

    context.bench.run(steps)


@then('both reads run, and the request between them is refused as malformed and not run')
def step_odd_refused(context: Any) -> None:
    bench = context.bench
    assert [execution.request for execution in bench.executions()] == ['r1', 'r3'], bench.executions()
    _, refused, last = bench.link.answers
    assert (refused.fate, refused.refusal().reason) == (Fate.REFUSED, refusals.MALFORMED), refused
    assert last.fate is Fate.ANSWERED and not last.reason, last


@when('it begins a transaction, writes in it, and gets a commit with another request in its id')
def step_odd_commit(context: Any) -> None:
    async def steps(bench: GatewayBench) -> None:
        await bench.send(_begin(bench, 3, lease=2))
        await bench.send(_write(bench, 4, step=Step.IN_TRANSACTION, lease=2))
        odd = bench.ask(5, 'COMMIT', StatementKind.COMMIT, step=Step.IN_TRANSACTION, lease=2, request='r\r\nQUERY')
        await bench.send(odd)
        context.is_busy = bench.instance._gateway.is_busy()

    context.bench.run(steps)


@then('the commit did not run, and the connection of the transaction is closed')
def step_not_committed(context: Any) -> None:
    bench = context.bench
    assert [execution.request for execution in bench.executions()] == ['r4'], bench.executions()
    assert bench.link.answers[-1].refusal().reason is refusals.MALFORMED, bench.link.answers
    assert not context.is_busy


_ODD_ANSWERS_BY_NAME: Final = {
    'a row with a line feed': Answer(1, Fate.ANSWERED, signature='s', rows=['x\nDONE y']),
    'a row with a carriage return': Answer(1, Fate.ANSWERED, signature='s', rows=['x', 'y\r']),
    'a row with a NUL': Answer(1, Fate.ANSWERED, signature='s', rows=['\0']),
    'a signature with another message': Answer(1, Fate.ANSWERED, signature='s\r\nREADY I -'),
    'no signature and no reason': Answer(1, Fate.ANSWERED, rows=['x']),
    'a detail with another message': Answer(1, Fate.ANSWERED, reason='target_busy', detail='x\r\nREADY I -'),
    'a refusal whose detail has another message': Answer(1, Fate.REFUSED, reason='no_room', detail='x\nDONE y'),
    'a line feed in why it was not sent': Answer(1, Fate.NOT_SENT, detail='x\n'),
}


class _AnsweringStream(HopStream):
    """A stream whose gateway gives one answer to everything."""

    def __init__(self, answer: Answer) -> None:
        self.dropped: list[int] = []
        self.failures: list[str] = []
        super().__init__(time.monotonic, self.failures.append, self.failures.clear)
        self._answer = answer

    async def ask(self, ask: Ask, *, may_repeat: bool) -> Answer:
        begun = Answer(ask.number, Fate.ANSWERED, SessionState.IN_TRANSACTION, signature='-')
        return begun if ask.step is Step.BEGIN_WRITE else self._answer

    def drop(self, lease: int) -> None:
        self.dropped.append(lease)


@when('a gateway answers a write in a transaction with {what}')
def step_odd_answer(context: Any, what: str) -> None:
    context.stream = _AnsweringStream(_ODD_ANSWERS_BY_NAME[what])
    context.error = None

    async def steps(bench: GatewayBench) -> None:
        board = bench.instance.board
        peer = GatewayPeer(board, TcpHops('127.0.0.1', 1), builders.member('other', 'd0', 1.0))
        waiting = WaitingStatement(OrganisationId('o'), 1, 0.0, 1.0, 1.0)
        metrics = bench.instance.metrics.gateway
        connection = HopConnection(board, peer, context.stream, bench.primary, waiting, metrics)
        await connection.begin(is_write=True, after=None)
        try:
            await connection.execute(RequestId('r'), Statement(StatementKind.WRITE, 'WRITE 1 x'))
        except TargetLost as error:
            context.error = error
        connection.close()

    GatewayBench().run(steps)


@then("the write's outcome is unknown, the target is not blamed, and the transaction is dropped")
def step_odd_unknown(context: Any) -> None:
    assert isinstance(context.error, GatewayLost), repr(context.error)
    assert len(context.stream.dropped) == 1, context.stream.dropped
