"""Steps that test what becomes of answers that can't be read and of statements and answers that can't be sent."""

import asyncio
import contextlib
import time
from typing import Any
from unittest import mock

import msgspec
from behave import given, then, when

from features import gateway_builders, line_ends, odd_answers
from features.gateway_bench import GatewayBench
from fescuequay_core.relay import refusals
from fescuequay_core.relay.model import Statement, StatementKind
from fescuequay_core.types import RequestId
from fescuequay_emulator.callers import ModelCaller
from fescuequay_emulator.connections import ModelConnection
from fescuequay_entry.relay.hop_frames import Fate, FrameDecoder, Ping, UnsendableFrame, encode
from fescuequay_entry.relay.ports import BadMessage, Outcome, TargetLost, UnreadableAnswer
from fescuequay_platform.connections import LineTarget

_READ = Statement(StatementKind.READ, 'READ x')

#: Time for a refusal to be logged, in seconds.
_LOG_TIMEOUT_S = 5.0


@given("a real instance whose database answers some statements with what can't be read")
def step_deployment(context: Any) -> None:
    context.world = odd_answers.OddDeployment()
    context.world.start()


def _ask(context: Any, lines: Any) -> None:
    # The connections that lead to a reusable one are counted before the first line is taken.
    def counted() -> Any:
        context.before = context.world.database.count_connections()
        yield from lines

    context.answers = context.world.ask_in_turn(counted())
    context.opened = context.world.database.count_connections() - context.before


@when('a caller sends QUERY {lines}')
def step_lines(context: Any, lines: str) -> None:
    _ask(context, f'QUERY {lines}'.split(', then '))


@then('the caller is refused, and the database ran it at most {runs:d} times on at most {most:d} new connections')
def step_runs(context: Any, runs: int, most: int) -> None:
    assert context.answers[-1][0].startswith('ERROR'), context.answers
    ran = context.world.database.count_runs()
    assert 1 <= ran <= runs and context.opened <= most, (ran, context.opened)


@when('a caller executes {executions:d} times a prepared statement that is too long to be prepared at a target')
def step_shape(context: Any, executions: int) -> None:
    _ask(context, odd_answers.longest_shape(executions))


@then('each is refused as malformed, and the database accepted at most {most:d} connections for them')
def step_few(context: Any, most: int) -> None:
    assert all(answer[0].startswith('ERROR MALFORMED') for answer in context.answers[1:]), context.answers[1:]
    assert context.opened <= most, context.opened


@when('a caller sends a statement that is refused under an id of 1 MiB')
def step_long_id(context: Any) -> None:
    identifier = 'i' * (odd_answers.MAX_MESSAGE_BYTES - len('QUERY  DEALLOC p'))
    _ask(context, [f'QUERY {identifier} DEALLOC p'])


@then('no log line is longer than {most:d} bytes')
def step_log(context: Any, most: int) -> None:
    deadline = time.monotonic() + _LOG_TIMEOUT_S
    while not any('is not prepared' in line for line in context.world.output()):
        assert time.monotonic() < deadline, 'the refusal was not logged'
        time.sleep(0.05)
    longest = max(len(line) for line in context.world.output())
    assert longest <= most, longest


@when('a target answers DONE without a signature and then DONE with one')
def step_two(context: Any) -> None:
    context.outcomes = [
        asyncio.run(line_ends.ask([done + b'\r\nROW late\r\nDONE sig\r\nREADY I 1.2\r\n'], _READ))[0]
        for done in (b'DONE', b'DONE ')
    ]


@then('the connection was lost')
def step_lost(context: Any) -> None:
    assert context.outcomes == [None, None], context.outcomes


async def _ask_twice() -> Outcome | None:
    """:returns: Outcome of the second statement, which the target has not answered; nothing if it got none."""
    protocol, _ = line_ends.connect()
    target = LineTarget(protocol)
    first = asyncio.ensure_future(target.execute(RequestId('a1'), _READ))
    await asyncio.sleep(0)
    protocol.data_received(b'ROW v\r\nDONE s1\r\nREADY T 1.2\r\nROW surplus\r\nDONE s2\r\nREADY T 1.2\r\n')
    await first
    try:
        return await asyncio.wait_for(target.execute(RequestId('a2'), _READ), 0.1)
    except (TargetLost, TimeoutError):
        return None


@when('a target within a transaction sends another answer behind that of a statement, and the next statement is sent')
def step_surplus(context: Any) -> None:
    context.next = asyncio.run(_ask_twice())


@then("the next statement doesn't get the surplus as its answer")
def step_no_surplus(context: Any) -> None:
    assert context.next is None or context.next.fault is not None, context.next


@when("its transaction is committed and the answer can't be passed on")
def step_commit(context: Any) -> None:
    context.runner = odd_answers.CountingRunner()
    _write_and_end(context, odd_answers.COMMIT, odd_answers.UnsendableCaller())


def _write_and_end(context: Any, message: Any, caller: ModelCaller) -> None:
    context.answer = asyncio.run(odd_answers.write_and_end(context.token_board, context.runner, caller, [message]))


@when("its transaction is committed and the target's answer can't be read")
def step_commit_unread(context: Any) -> None:
    context.runner = odd_answers.UnreadableRunner()
    _write_and_end(context, odd_answers.COMMIT, ModelCaller())


@when("it writes in a transaction and sends what can't be decoded")
def step_undecodable(context: Any) -> None:
    context.runner = odd_answers.CountingRunner()
    _write_and_end(context, BadMessage('a NUL inside a message', is_fatal=True), ModelCaller())


@then('its outcome is unknown')
def step_unknown(context: Any) -> None:
    assert context.answer[0].reason is refusals.LOST, context.answer


@then('the connection was given back once')
def step_once(context: Any) -> None:
    assert context.runner.given_back == 1, context.runner.given_back


@when('a statement with {count:d} session values of 1 MiB each is sent to a gateway, and then another message')
def step_values(context: Any, count: int) -> None:
    values = {f'v{number}': 'z' * odd_answers.MAX_MESSAGE_BYTES for number in range(count)}
    sent = b''
    # A statement that the other end could not read may be refused where it is encoded.
    with contextlib.suppress(UnsendableFrame):
        sent = encode(msgspec.structs.replace(gateway_builders.ask(), values=values))
    context.sent = sent + encode(Ping())


@then('the gateway reads the message behind it')
def step_behind(context: Any) -> None:
    frames = list(FrameDecoder().feed(context.sent))
    assert isinstance(frames[-1], Ping), frames


@when("the target of a gateway answers a read with what can't be read")
def step_gateway(context: Any) -> None:
    context.bench = GatewayBench()

    async def ask(bench: GatewayBench) -> None:
        unreadable = mock.AsyncMock(side_effect=UnreadableAnswer('a line feed inside a message'))
        with mock.patch.object(ModelConnection, 'execute', unreadable):
            await bench.send(bench.ask(1))

    context.bench.run(ask)


@then('the instance that asked gets it as an answer with an unknown outcome, and the gateway goes on using the target')
def step_gateway_answer(context: Any) -> None:
    (answer,) = context.bench.link.answers
    assert answer.fate is Fate.ANSWERED and answer.refusal().reason is refusals.LOST, answer
    board = context.bench.instance.board
    assert board.health_of(context.bench.primary).is_usable(board.clock())
