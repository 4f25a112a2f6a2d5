"""Shared by all measurements: a stand-in fleet, and the CPU time and memory of a process."""

import asyncio
import os
import pathlib
from typing import Any

import aiohttp

from fescuequay_core import keys
from fescuequay_ctl.operations import Operations
from fescuequay_standins.fleet import Instance, StandInFleet, load_text

EXAMPLES = pathlib.Path(__file__).parent.parent / 'examples'
OUT = pathlib.Path(__file__).parent / 'out'

_TICKS_PER_S = os.sysconf('SC_CLK_TCK')


def cpu_s(pid: int) -> float:
    """:returns: User and system CPU time of a process, in seconds."""
    fields = pathlib.Path(f'/proc/{pid}/stat').read_text().rsplit(')', 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS_PER_S


def resident_mb(pid: int) -> float:
    """:returns: Resident memory of a process, in MB."""
    for line in pathlib.Path(f'/proc/{pid}/status').read_text().splitlines():
        if line.startswith('VmRSS'):
            return int(line.split()[1]) / 1024
    return 0.0


def key_of(organisation: str) -> str:
    """:returns: The key that ``example`` assigns to an organisation."""
    return f'fq_lab_{organisation}'


def example(name: str, *, rate: float | None = None) -> bytes:
    """Load an example and assign a known key to each organisation.

    :param name: Name of the example.
    :param rate: Rate and burst of every organisation; by default those of the example.
    :returns: The configuration text.
    """
    fleet = StandInFleet(load_text(EXAMPLES / f'{name}.jsonc'))
    for organisation, row in fleet.plain['organisations'].items():
        row['keys'] = {'lab': {'sha256': keys.digest_of(key_of(organisation))}}
        if rate is not None:
            row['rate_per_s'] = rate
            row['burst'] = int(rate)
    return fleet.text()


class Trial:
    """A context manager that runs a fleet of stand-ins and instances.

    :param text: The operators' configuration text.
    :param instances: Number of instances, spread over the data centres in turn.
    :param settings: Further settings of each instance.
    """

    def __init__(self, text: bytes, instances: int, **settings: Any) -> None:
        self.fleet = StandInFleet(text)
        self.fleet.settings = settings
        self._instances = instances

    async def __aenter__(self) -> 'Trial':
        """:returns: The running fleet."""
        self.http = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
        await self.fleet.start()
        self.operations = Operations(self.http, self.fleet.platform_address)
        await self.operations.apply(self.fleet.text(), 'lab', None)
        data_centres = list(self.fleet.plain['data_centres'])
        for number in range(self._instances):
            await self.fleet.add_instance(f'entry-{number + 1}', data_centres[number % len(data_centres)])
        await self.fleet.wait_ready()
        return self

    async def __aexit__(self, *error: object) -> None:
        """Stop all processes and close connections."""
        await self.http.close()
        await self.fleet.stop()

    @property
    def instances(self) -> list[Instance]:
        """:returns: The instances in starting order."""
        return list(self.fleet.instances_by_name.values())

    async def call(self, instance: Instance, route: str, organisation: str, body: Any, **headers: str) -> Any:
        """Send one statement.

        :returns: Status, headers and decoded body.
        """
        sent = {'Authorization': f'Bearer {key_of(organisation)}', **headers}
        url = f'http://{instance.callers}/v1/{route}/statements'
        async with self.http.post(url, json=body, headers=sent) as answer:
            return answer.status, answer.headers, await answer.json(content_type=None)


async def settle(seconds: float) -> None:
    """Wait for background work to reach a steady state."""
    await asyncio.sleep(seconds)
