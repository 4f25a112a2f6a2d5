"""Steps in which a link holds the bytes of a call that is then given up."""

import asyncio
import dataclasses
import sys
import textwrap
from collections.abc import Awaitable, Callable
from typing import Any, Final
from unittest import mock

from behave import given, then, when

from features.gateway_builders import ask, target
from features.soak.databases import HOST
from features.soak.platform import Proxy
from fescuequay_core.relay.model import TargetDescription
from fescuequay_core.types import InstanceId, OrganisationId, RequestId, ServiceId, TargetId, Term
from fescuequay_emulator.experiments import hunted_scenario
from fescuequay_emulator.late_delivery import HoldEnd
from fescuequay_emulator.load import write
from fescuequay_emulator.scenarios import HOLD_KIND, TRANSACTIONS_KIND, Fault, Scenario, run_scenario
from fescuequay_entry.relay.authority import Authority
from fescuequay_entry.relay.board import Board, InstanceIdentity
from fescuequay_entry.relay.control_connections import ControlConnections
from fescuequay_entry.relay.hop_frames import Frame
from fescuequay_entry.relay.hop_tcp import TcpHops
from fescuequay_entry.relay.hops import HopReceiver
from fescuequay_entry.relay.http_client import HttpClient
from fescuequay_entry.relay.ports import PromoteResult
from fescuequay_entry.relay.replacement import Replacement
from fescuequay_platform.connections import LineDriver
from fescuequay_platform.store import PlatformPromoter

#: Time until bytes have reached the other end of a connection on loopback, in seconds.
_ARRIVAL_S: Final = 0.15

#: Time limit of a call that is held, in seconds.
_LIMIT_S: Final = 0.2

_TOKEN: Final = 3

#: Answers of the end to the first messages of a connection of the line protocol.
_ANSWERS_BY_WORD: Final = {b'START': b'READY I 1.0\r\n'}
_STATUS: Final = b'ROW primary 1 1.0 0 0 0 1\r\nDONE -\r\nREADY I 1.0\r\n'

_PROMOTING_PROCESS: Final = """
    import asyncio, sys
    from features.steps.late_call_steps import SteadyAuthority, promote
    asyncio.run(promote(sys.argv[1], SteadyAuthority(30)))
"""


class SteadyAuthority(Authority):
    """An authority that says the given times, and the last of them again and again."""

    def __init__(self, *left_s: float) -> None:
        self._left_s = list(left_s)

    def left_s(self) -> float:
        """:returns: The next of the given times."""
        return self._left_s.pop(0) if len(self._left_s) > 1 else self._left_s[0]


class EndingAuthority(Authority):
    """An authority that ends at a time, whatever it promised before.

    :param left_s: What it promises until then, in seconds; less by the time that has passed unless it is renewed.
    :param ends_after_s: When it ends, in seconds.
    """

    def __init__(self, left_s: float, ends_after_s: float, *, is_renewed: bool) -> None:
        self._began_at = asyncio.get_running_loop().time()
        self._left_s = left_s
        self._ends_after_s = ends_after_s
        self._is_renewed = is_renewed

    def left_s(self) -> float:
        """:returns: The time left."""
        passed_s = asyncio.get_running_loop().time() - self._began_at
        if passed_s >= self._ends_after_s:
            return 0.0
        return self._left_s if self._is_renewed else self._left_s - passed_s


async def promote(address: str, authority: Authority) -> PromoteResult:
    """Request a promotion with the platform's adapter."""
    promoter = PlatformPromoter(HttpClient(), address)
    return await promoter.promote(ServiceId('s'), TargetId('t'), InstanceId('n'), _TOKEN, authority)


class _NoReceiver(HopReceiver):
    """Handles nothing."""

    def receive(self, frame: Frame) -> None:
        """Ignore a frame."""

    def end(self, detail: str) -> None:
        """Ignore the end."""


class HeldEnd:
    """An end that records what arrives, behind a link."""

    def __init__(self) -> None:
        self.received = b''

    def hold(self) -> None:
        """Let the link hold what it gets from now on; what came before is not of interest."""
        self.link.mode = 'silent'
        self.received = b''

    async def run(self, step: Callable[['HeldEnd'], Awaitable[Any]]) -> Any:
        """Run a step while the end and the link listen."""
        server = await asyncio.start_server(self._serve, HOST, 0)
        self.link = Proxy(server.sockets[0].getsockname()[1])
        await self.link.start()
        self.address = f'{HOST}:{self.link.port}'
        try:
            return await step(self)
        finally:
            server.close()

    async def deliver(self) -> None:
        """Let the link deliver what it holds."""
        # What a close has sent arrives at the link first.
        await asyncio.sleep(_ARRIVAL_S)
        self.link.mode = 'pass'
        await asyncio.sleep(_ARRIVAL_S)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while chunk := await reader.read(4096):
                self.received += chunk
                for line in chunk.split(b'\r\n'):
                    writer.write(_ANSWERS_BY_WORD.get(line.partition(b' ')[0], b''))
                    writer.write(_STATUS if line.endswith(b'STATUS') else b'')
        except ConnectionError:
            return
        finally:
            writer.close()


async def _give_up_request(end: HeldEnd) -> None:
    end.hold()
    await _expect_timeout(HttpClient().request('POST', end.address, '/x'))


async def _outlast_lease(end: HeldEnd) -> None:
    end.hold()
    assert await promote(end.address, SteadyAuthority(_LIMIT_S)) is PromoteResult.UNKNOWN


async def _give_up_statement(end: HeldEnd) -> None:
    connection = await LineDriver().connect(_target(end), OrganisationId('o'))
    end.hold()
    await _expect_timeout(connection.execute(RequestId('q1'), write(1, 'v')))


async def _outlast_lease_of_demotion(end: HeldEnd) -> None:
    controls = await _open_controls(end)
    end.hold()
    assert await controls.demote(_target(end), Term(2), SteadyAuthority(_LIMIT_S)) is None


async def _close_stream(end: HeldEnd) -> None:
    link = await TcpHops(HOST, 0).connect(end.address, _NoReceiver())
    end.hold()
    link.send(ask())
    await asyncio.sleep(_ARRIVAL_S)
    link.close()


async def _open_controls(end: HeldEnd) -> ControlConnections:
    """:returns: Control connections, of which one to the end is open."""
    board = Board(InstanceIdentity(InstanceId('a'), 'a1', 'north', 'a:1'), asyncio.get_running_loop().time)
    controls = ControlConnections(board, LineDriver())
    assert await controls.status(_target(end)) is not None
    return controls


def _target(end: HeldEnd) -> TargetDescription:
    return dataclasses.replace(target('t', 'north'), address=end.address)


async def _kill_sender(end: HeldEnd) -> None:
    end.hold()
    process = await asyncio.create_subprocess_exec(
        sys.executable, '-c', textwrap.dedent(_PROMOTING_PROCESS), end.address
    )
    while not end.link.held_bytes:
        await asyncio.sleep(_ARRIVAL_S)
    process.kill()
    await process.wait()


async def _expect_timeout(call: Awaitable[Any]) -> None:
    try:
        await asyncio.wait_for(call, _LIMIT_S)
    except TimeoutError:
        return
    raise AssertionError('the call was answered')


_HELD_CALLS: Final[dict[tuple[str, str], Callable[[HeldEnd], Awaitable[None]]]] = {
    ('a request', 'is given up after its time limit'): _give_up_request,
    ('a promotion', 'outlasts its lease'): _outlast_lease,
    ('a promotion', 'is sent by a process that is killed'): _kill_sender,
    ('a statement', 'is given up after its time limit'): _give_up_statement,
    ('a demotion', 'outlasts its lease'): _outlast_lease_of_demotion,
    ('a frame for a gateway', 'is given up as its stream is closed'): _close_stream,
}


@given('an end behind a link')
def step_end(context: Any) -> None:
    context.end = HeldEnd()


@when('the link holds {what}, which {end}')
def step_hold(context: Any, what: str, end: str) -> None:
    async def run(held: HeldEnd) -> None:
        await _HELD_CALLS[what, end](held)
        context.held_bytes = held.link.held_bytes
        await held.deliver()

    asyncio.run(context.end.run(run))


@then('the end gets nothing of it when the link delivers what it holds')
def step_nothing(context: Any) -> None:
    assert context.held_bytes > 0, 'the link held nothing'
    assert not context.end.received, context.end.received


@when('a promotion is requested under a lease that ends before the connection is open')
def step_slow_connection(context: Any) -> None:
    async def run(held: HeldEnd) -> PromoteResult:
        # Asked twice while it connects, and then at the moment of sending.
        result = await promote(held.address, SteadyAuthority(1.0, 1.0, 0.0))
        await asyncio.sleep(_ARRIVAL_S)
        return result

    context.result = asyncio.run(context.end.run(run))


@then('the answer is that it was not sent, and the end gets nothing')
def step_not_sent(context: Any) -> None:
    assert context.result is PromoteResult.NOT_SENT, context.result
    assert not context.end.received, context.end.received


@when('a demotion is requested under a lease that has ended')
def step_late_demotion(context: Any) -> None:
    async def run(held: HeldEnd) -> Any:
        controls = await _open_controls(held)
        held.received = b''
        answer = await controls.demote(_target(held), Term(2), SteadyAuthority(1.0, 1.0, 0.0))
        await asyncio.sleep(_ARRIVAL_S)
        return answer

    context.result = asyncio.run(context.end.run(run))


@then('the demotion has no answer, and the end gets nothing')
def step_no_demotion(context: Any) -> None:
    assert context.result is None, context.result
    assert not context.end.received, context.end.received


@when('a promotion stays without an answer, and {what}')
def step_unanswered(context: Any, what: str) -> None:
    async def run(held: HeldEnd) -> tuple[PromoteResult, float]:
        began_at = asyncio.get_running_loop().time()
        ends_after_s = 0.1 if 'resigned' in what else 30.0
        authority = EndingAuthority(0.4, ends_after_s, is_renewed='renewed' in what)
        return await promote(held.address, authority), asyncio.get_running_loop().time() - began_at

    context.outcome = asyncio.run(context.end.run(run))


@then('its outcome is unknown after {least:g} to {most:g} s')
def step_unknown_after(context: Any, least: float, most: float) -> None:
    result, took_s = context.outcome
    assert result is PromoteResult.UNKNOWN, result
    assert least <= took_s <= most, took_s


@given('a deployment whose coordinator is cut off as it requests a promotion, until {when}')
def step_held_promotion(context: Any, when: str) -> None:
    how = '' if when == 'later' else when
    context.relay_scenario = Scenario(
        'a promotion that is held', seconds=14, faults=(Fault(at=2, kind=HOLD_KIND, for_s=5.5, how=how),)
    )


@when('it is run on seeds {first:d} to {last:d}')
def step_run_on_seeds(context: Any, first: int, last: int) -> None:
    context.runs = [run_scenario(context.relay_scenario, seed) for seed in range(first, last + 1)]


@then('no seed violated a guarantee')
def step_no_seed_violated(context: Any) -> None:
    assert not any(figures.broken for figures in context.runs), [figures.broken[:2] for figures in context.runs]


@when('the schedules of seeds {first:d} to {last:d} are drawn for a hunt')
def step_schedules(context: Any, first: int, last: int) -> None:
    context.schedules = [hunted_scenario(seed).faults for seed in range(first, last + 1)]


@then('each has both faults, and their variants all occur')
def step_both_faults(context: Any) -> None:
    variants = {(fault.kind, fault.how) for faults in context.schedules for fault in faults}
    assert variants >= {(HOLD_KIND, end.value) for end in HoldEnd}, variants
    assert variants >= {(TRANSACTIONS_KIND, ''), (TRANSACTIONS_KIND, 'cut')}, variants
    for faults in context.schedules:
        assert {HOLD_KIND, TRANSACTIONS_KIND} <= {fault.kind for fault in faults}, faults


@when('a coordinator whose lease has run out, and that may still renew it, is to request a promotion')
def step_run_out(context: Any) -> None:
    board, promoter = mock.MagicMock(), mock.AsyncMock()
    board.lease.holds.return_value = False
    board.permits.record.return_value = None
    replacement = Replacement(board, *(mock.AsyncMock() for _ in range(3)), promoter)
    context.sleep = mock.AsyncMock()
    with mock.patch('asyncio.sleep', context.sleep):
        asyncio.run(replacement._request_promotion(mock.MagicMock(), mock.MagicMock(), {}))
    context.promoter = promoter


@then('it has requested none, and has paused')
def step_paused(context: Any) -> None:
    assert not context.promoter.promote.called
    context.sleep.assert_awaited_once()
