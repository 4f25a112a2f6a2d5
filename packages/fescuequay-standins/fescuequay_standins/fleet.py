"""A small fleet: stand-ins for the platform, database groups and balancer, and real instances as processes."""

import asyncio
import json
import os
import pathlib
import signal
import sys
import tempfile
from typing import Any, Final

import aiohttp
from aiohttp import web

from fescuequay_core import jsonc, textcheck
from fescuequay_standins.balancer import BalancedInstance, Balancer
from fescuequay_standins.group import Group, MemberFaults, control_application
from fescuequay_standins.platform import Faults, Platform

_START_S: Final = 15.0


class Instance:
    """One ``fescuequayd`` process.

    :param name: Name of the instance.
    :param data_centre: Its data centre.
    :param process: The process.
    :param callers: Address of its listener for callers.
    :param peers: Address of its listener for peers.
    """

    def __init__(
        self, name: str, data_centre: str, process: asyncio.subprocess.Process, callers: str, peers: str
    ) -> None:
        self.name = name
        self.data_centre = data_centre
        self.process = process
        self.callers = callers
        self.peers = peers
        self.log: list[str] = []

    async def stop(self, number: int = signal.SIGTERM) -> int:
        """Send the process a signal and wait until it exits.

        :param number: Signal number.
        :returns: Its exit code.
        """
        if self.process.returncode is None:
            self.process.send_signal(number)
        return await self.process.wait()

    def send(self, number: int) -> None:
        """Send the process a signal and return at once."""
        self.process.send_signal(number)


class StandInFleet:
    """Starts and stops everything that a test or measurement needs; the system chooses every port.

    :param text: The configuration text; the addresses of its targets are replaced by those in use.
    """

    def __init__(self, text: bytes) -> None:
        self.plain: Any = jsonc.decode_text(text)[0]
        self.platform = Platform()
        self.balancer = Balancer()
        self.groups_by_id: dict[str, Group] = {}
        self.instances_by_name: dict[str, Instance] = {}
        self.platform_address = ''
        self._folder = tempfile.TemporaryDirectory(prefix='fescuequay-')
        self._runners: list[web.AppRunner] = []
        self._readers: list[asyncio.Task[None]] = []
        self.timing: dict[str, float] = {}
        self.settings: dict[str, Any] = {}

    async def start(self) -> None:
        """Start the platform, the groups and the balancer."""
        self.platform_address = await self._serve(self.platform.application())
        folder = pathlib.Path(self._folder.name)
        for service in self.plain['services'].values():
            for group_id, described in service.get('groups', {}).items():
                self.groups_by_id[group_id] = await _start_group(described, folder)
        self.control_address = await self._serve(control_application(self.groups_by_id))
        await self.balancer.start()

    async def stop(self) -> None:
        """Stop everything that was started."""
        live = [instance for instance in self.instances_by_name.values() if instance.process.returncode is None]
        for instance in live:
            instance.send(signal.SIGCONT)
            instance.send(signal.SIGKILL)
        for instance in live:
            await instance.process.wait()
        for reader in self._readers:
            reader.cancel()
        self.balancer.stop()
        for group in self.groups_by_id.values():
            await group.stop()
        for runner in self._runners:
            await runner.cleanup()
        self._folder.cleanup()

    def text(self) -> bytes:
        """:returns: The configuration text with the addresses in use."""
        return json.dumps(self.plain, indent=2).encode()

    async def add_instance(self, name: str, data_centre: str) -> Instance:
        """Start an instance and register it with the platform and the balancer.

        :param name: Its name.
        :param data_centre: Its data centre.
        :returns: The instance, once it listens.
        """
        path = pathlib.Path(self._folder.name) / f'{name}.jsonc'
        settings = {
            'instance': name,
            'data_centre': data_centre,
            'platform': self.platform_address,
            'secrets': ['5e' * 16],
            'timing': self.timing,
            **self.settings,
        }
        path.write_text(json.dumps(settings))
        binary = pathlib.Path(sys.executable).with_name('fescuequayd')
        process = await asyncio.create_subprocess_exec(
            str(binary), '--settings', str(path), stderr=asyncio.subprocess.PIPE, env={**os.environ}
        )
        started = await asyncio.wait_for(self._read_start_event(process), _START_S)
        instance = Instance(started['instance'], data_centre, process, started['callers'], started['peers'])
        self.instances_by_name[name] = instance
        self._readers.append(asyncio.create_task(_collect_log(process, instance)))
        self.platform.instances_by_id[instance.name] = {
            'data_centre': data_centre,
            'peer_address': instance.peers,
            'is_leaving': False,
        }
        self.balancer.instances_by_name[name] = BalancedInstance(instance.callers)
        return instance

    def set_platform_faults(self, **switches: Any) -> None:
        """Replace the platform's faults; those that are not named are switched off."""
        self.platform.faults = Faults(**switches)

    async def set_member_faults(self, name: str, **switches: Any) -> None:
        """Replace the faults of one database; those that are not named are switched off.

        :param name: Id of the target.
        """
        for group in self.groups_by_id.values():
            if name in group.members_by_name:
                await group.members_by_name[name].set_faults(MemberFaults(**switches))

    async def wait_ready(self, timeout_s: float = 20.0) -> None:
        """Wait until every instance is ready and every group has a leader.

        :param timeout_s: Longest wait.
        :raises TimeoutError: if they are not ready by then.
        """
        async with asyncio.timeout(timeout_s), aiohttp.ClientSession() as http:
            for instance in self.instances_by_name.values():
                while not await self._is_serving(http, instance):
                    await asyncio.sleep(0.05)

    async def _is_serving(self, http: aiohttp.ClientSession, instance: Instance) -> bool:
        async with http.get(f'http://{instance.peers}/status') as answer:
            state = await answer.json()
        leaders = state['leaders']
        is_complete = set(leaders) == set(self.groups_by_id)
        is_seen = all(target['role'] for target in state['targets'].values() if target['connections'])
        return bool(state['is_ready'] and state['seat'] and is_complete and is_seen)

    async def _serve(self, app: web.Application) -> str:
        runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await runner.setup()
        site = web.TCPSite(runner, '127.0.0.1', 0)
        await site.start()
        self._runners.append(runner)
        return f'http://127.0.0.1:{runner.addresses[0][1]}'

    async def _read_start_event(self, process: asyncio.subprocess.Process) -> dict[str, str]:
        assert process.stderr is not None  # noqa: S101
        while line := (await process.stderr.readline()).decode():
            pairs = dict(part.split('=', 1) for part in line.split() if '=' in part)
            if pairs.get('event') == 'started':
                return pairs
            sys.stderr.write(line)
        raise RuntimeError('the instance exited before it started to listen')


async def _collect_log(process: asyncio.subprocess.Process, instance: Instance) -> None:
    assert process.stderr is not None  # noqa: S101
    while line := await process.stderr.readline():
        instance.log.append(line.decode())


async def _start_group(described: Any, folder: pathlib.Path) -> Group:
    targets = described['targets']
    first = described['primary']
    names = (first, *(name for name in targets if name != first))
    target = targets[first]
    group = Group(names, folder, target['slots'], target['connections'])
    await group.start()
    for name, member in group.members_by_name.items():
        targets[name]['address'] = f'127.0.0.1:{member.port}'
    return group


def load_text(path: pathlib.Path) -> bytes:
    """Read and validate a configuration text.

    :param path: The file.
    :returns: Its bytes.
    :raises SystemExit: if the text has faults; the exit message lists them.
    """
    raw = path.read_bytes()
    text, faults = textcheck.load(raw)
    if text is None:
        raise SystemExit('\n'.join(f'{path}:{fault.line}: {fault.path}: {fault.message}' for fault in faults))
    return raw
