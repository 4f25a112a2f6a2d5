"""Steps that test the emulator's targets alone."""

import asyncio
import contextlib
import random
from typing import Any

from behave import given, then, when

from fescuequay_core.relay.model import TargetDescription
from fescuequay_core.types import OrganisationId, RequestId, Role, ServiceId, TargetId
from fescuequay_emulator.connections import ModelDriver
from fescuequay_emulator.load import write
from fescuequay_emulator.network import Network
from fescuequay_emulator.targets import Execution, ModelTarget
from fescuequay_emulator.virtual_loop import VirtualLoop

#: Time of a statement at the target, in seconds.
_WORK_S = 0.2


@given('a connection to an emulated target with an open transaction')
def step_connection(context: Any) -> None:
    context.loop = VirtualLoop()
    asyncio.set_event_loop(context.loop)
    network = Network(random.Random(1))
    description = TargetDescription(
        TargetId('t'), 1, ServiceId('s'), 't:9', 'north', is_draining=False, role=Role.PRIMARY
    )
    for node in ('t', 'n0'):
        network.add(node, 'north')
    executions: list[Execution] = []
    context.executions = executions
    target = ModelTarget(network, random.Random(1), description, 1, _WORK_S, executions.append)
    context.target = target
    driver = ModelDriver(network, {'t:9': target}, 'n0')

    async def begin() -> Any:
        connection = await driver.connect(description, OrganisationId('o'))
        await connection.begin(is_write=True, after=None)
        return connection

    context.connection = context.loop.run_until_complete(begin())


@when('the connection is closed while a write of the transaction waits for a slot')
def step_close(context: Any) -> None:
    async def give_up() -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_WORK_S / 10):
                await context.connection.execute(RequestId('r1'), write(1, 'v'))
        context.connection.close()
        await asyncio.sleep(_WORK_S * 10)

    context.loop.run_until_complete(give_up())
    context.loop.close()


@then('the target has run no statement outside a transaction')
def step_no_single(context: Any) -> None:
    outside = [execution.request for execution in context.executions if not execution.transaction]
    assert not outside, outside


@then('its log is empty')
def step_empty_log(context: Any) -> None:
    assert not context.target.log, context.target.log
