"""Steps that run the contract tests against the stand-ins."""

import asyncio
import pathlib
import tempfile
from typing import Any

import aiohttp
from aiohttp import web
from behave import given, then

from features.contracts import CLAUSES
from fescuequay_entry.driver import Endpoint
from fescuequay_entry.platform import HttpPlatform
from fescuequay_entry.postgres import PostgresDriver
from fescuequay_standins.group import Group, MemberFaults
from fescuequay_standins.platform import Faults, Platform


class _PlatformSwitches:
    def __init__(self, platform: Platform) -> None:
        self._platform = platform

    async def set(self, fault: str) -> None:
        if fault == 'lose one answer':
            self._platform.faults = Faults(lose_answers=1)
        elif fault == 'down':
            self._platform.faults = Faults(is_down=True)
        elif fault == 'damage objects':
            self._platform.objects_by_digest = {name: b'x' for name in self._platform.objects_by_digest}
        elif fault == 'list two instances':
            for name, is_leaving in (('a', False), ('b', True)):
                row = {'data_centre': 'dc', 'peer_address': f'{name}:1', 'is_leaving': is_leaving}
                self._platform.instances_by_id[name] = row


class _GroupSwitches:
    def __init__(self, group: Group) -> None:
        self._group = group

    async def set(self, fault: str) -> None:
        for member in self._group.members_by_name.values():
            if fault == 'drop connections':
                member.drop_connections()
            await member.set_faults(MemberFaults(is_down=fault == 'down'))


async def _with_platform(clause: Any) -> None:
    platform = Platform()
    runner = web.AppRunner(platform.application(), shutdown_timeout=0.1)
    await runner.setup()
    await web.TCPSite(runner, '127.0.0.1', 0).start()
    async with aiohttp.ClientSession() as http:
        subject = HttpPlatform(http, f'http://127.0.0.1:{runner.addresses[0][1]}', 'dc-a')
        await clause(subject, _PlatformSwitches(platform))
    await runner.cleanup()


async def _with_group(clause: Any) -> None:
    with tempfile.TemporaryDirectory() as folder:
        group = Group(('a', 'b', 'c'), pathlib.Path(folder), slots=3, connections=3)
        await group.start()
        endpoints = [
            Endpoint(f'127.0.0.1:{member.port}', 'dc-a', 5.0, 1 << 20) for member in group.members_by_name.values()
        ]
        try:
            await clause((PostgresDriver(), endpoints), _GroupSwitches(group))
        finally:
            await group.stop()


@given('the stand-in of the {interface}')
def step_stand_in(context: Any, interface: str) -> None:
    context.interface = interface


@then('it fulfils the clause "{clause}"')
def step_clause(context: Any, clause: str) -> None:
    function = CLAUSES[context.interface][clause]
    run_clause = _with_group if context.interface == 'database driver' else _with_platform
    asyncio.run(run_clause(function))
