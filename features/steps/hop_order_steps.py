"""Steps for the order of frames between instances: repeated, cancelled and late ones."""

import asyncio
import collections
import contextlib
import random
import time
from typing import Any, Final

import msgspec
from behave import then, when
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st

from features import gateway_builders as builders
from features.gateway_bench import BenchLink, GatewayBench
from fescuequay_core.relay.model import StatementKind
from fescuequay_entry.relay import ask_checks
from fescuequay_entry.relay.hop_frames import Answer, Ask, Cancel, Drop, Fate, Frame, Step
from fescuequay_entry.relay.hop_streams import GatewayPeer, HopStream
from fescuequay_entry.relay.hop_tcp import TcpHops
from fescuequay_entry.relay.hops import HopLink, HopReceiver
from fescuequay_platform import statements

_SENT_KINDS: Final = frozenset((StatementKind.READ, StatementKind.WRITE, StatementKind.EXECUTE, StatementKind.COMMIT))

#: Number of requests of a stream, and the longest time between two frames, in virtual seconds.
_REQUESTS: Final = 12
_PAUSE_S: Final = 0.02


@then('hypothesis finds no statement of the platform that a gateway refuses as malformed')
def step_taken(context: Any) -> None:
    words = st.sampled_from(('READ', 'WRITE', 'EXECUTE', 'COMMIT', 'BEGIN', 'SET'))
    rest = st.text(st.sampled_from('a1 -\t\x0b\x7f\xe9\u2028\udcff'), max_size=8)
    taken: collections.Counter[StatementKind] = collections.Counter()

    @settings(max_examples=500, deadline=None, derandomize=True)
    @for_all(words, rest, st.booleans())
    def check(word: str, after: str, has_rest: bool) -> None:  # noqa: FBT001
        try:
            statement = statements.parse_statement(f'{word} {after}' if has_rest else word)
        except ValueError:
            return
        if statement.kind not in _SENT_KINDS:
            return
        plain = builders.ask()
        ask = Ask(
            *(getattr(plain, field) for field in plain.__struct_fields__[: plain.__struct_fields__.index('kind')]),
            statement.kind,
            statement.text,
            statement.arguments,
            ('shape', False) if statement.kind is StatementKind.EXECUTE else None,
        )
        step = Step.IN_TRANSACTION if statement.kind is StatementKind.COMMIT else Step.SINGLE
        ask_checks.require_sound(msgspec.structs.replace(ask, step=step), statements.parse_statement)
        taken[statement.kind] += 1

    check()
    assert set(taken) == _SENT_KINDS, taken


@when('answers come for a request that was cancelled, for none, and twice for another one')
def step_late_answers(context: Any) -> None:
    async def ask_two() -> None:
        failures: list[str] = []
        stream = HopStream(time.monotonic, failures.append, failures.clear)
        stream.open(BenchLink())
        first, second = (
            asyncio.ensure_future(stream.ask(builders.ask(stream.next_number()), may_repeat=False)) for _ in range(2)
        )
        await asyncio.sleep(0)
        first.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await first
        for number, signature in ((1, 'late'), (99, 'none'), (2, 'first'), (2, 'again')):
            stream.receive(Answer(number, Fate.ANSWERED, signature=signature))
        context.answer = await asyncio.wait_for(second, 1.0)
        stream.close_unused()

    asyncio.run(ask_two())


@then('only the other request is answered, by its first answer')
def step_first_answer(context: Any) -> None:
    assert (context.answer.number, context.answer.signature) == (2, 'first'), context.answer


@when('{count:d} streams bring requests that are repeated, cancelled, dropped and out of order')
def step_disordered(context: Any, count: int) -> None:
    context.runs = collections.Counter()
    context.ended = 0
    for seed in range(count):
        bench = GatewayBench()
        rng = random.Random(seed)

        async def steps(bench: GatewayBench, rng: random.Random = rng) -> None:
            for frame in _disordered(bench, rng):
                bench.deliver(frame)
                await asyncio.sleep(rng.uniform(0, _PAUSE_S))
            await bench.send()

        bench.run(steps)
        context.ended += bench.error is not None
        context.runs.update((seed, execution.request) for execution in bench.executions())
    context.count = count


def _disordered(bench: GatewayBench, rng: random.Random) -> list[Frame]:
    """:returns: Requests with numbers that grow, of which some come again, and frames that cancel or drop some."""
    frames: list[Frame] = [
        bench.ask(number, f'WRITE {number} x', StatementKind.WRITE) for number in range(1, _REQUESTS + 1)
    ]
    for _ in range(rng.randint(0, 3)):
        number = rng.randint(1, _REQUESTS)
        frames.insert(rng.randint(0, len(frames)), rng.choice((Cancel(number), Drop(number), Cancel(number))))
    for _ in range(rng.randint(0, 2)):
        place = rng.randrange(len(frames))
        frames.insert(rng.randint(place, len(frames)), frames[place])
    return frames


@then('no statement ran twice, and many of the streams were ended')
def step_at_most_once(context: Any) -> None:
    twice = {key: times for key, times in context.runs.items() if times > 1}
    assert not twice, twice
    assert context.runs and context.ended > context.count // 3, (len(context.runs), context.ended)


class _EndingHops(TcpHops):
    """Opens streams that end before they are in use."""

    def __init__(self) -> None:
        super().__init__('127.0.0.1', 1)

    async def connect(self, address: str, receiver: HopReceiver) -> HopLink:
        receiver.end('format version 2 instead of 1')
        return BenchLink()


@when("a gateway's first bytes are no frame, and arrive before the stream is in use")
def step_ended_early(context: Any) -> None:
    async def steps(bench: GatewayBench) -> None:
        context.peer = GatewayPeer(bench.instance.board, _EndingHops(), builders.member('other', 'd0', 1.0))
        context.stream = await context.peer.usable_stream(bench.primary.target)
        context.is_avoided = context.peer.is_avoided()

    GatewayBench().run(steps)


@then('the statement takes another way at once, and the gateway is avoided')
def step_other_way(context: Any) -> None:
    assert context.stream is None, context.stream
    assert context.is_avoided
