"""Runs the soak: ``python -m features.soak --seconds 60 --seed 3``; ``make soak`` takes fresh seeds."""

import asyncio
import json
import random
import signal
import sys
import time
from typing import Final

import click

from features.soak.callers import Caller
from features.soak.databases import Service
from features.soak.history import History
from features.soak.instances import Process, make_folder
from features.soak.platform import Platform

#: Time without faults at the end, in seconds, after which callers must be served again: a power loss and a failover.
_CALM_S: Final = 8.0

#: Pause between two faults, in seconds; most last longer, so that they overlap.
_GAP_S: Final = (0.6, 2.0)


def _configuration(services: list[Service]) -> dict[str, object]:
    routes = [
        {
            'name': f'r-{service.name}',
            'host': service.name,
            'route_type': 'primary',
            'service': service.name,
            'timeout_ms': 1000,
            'target_latency_ms': 400,
        }
        for service in services
    ]
    return {
        'version': 1,
        'routes': routes,
        'services': [{'name': service.name, 'max_conns': 200, 'sync_replicas': 0} for service in services],
        'tenants': [{'name': 'org', 'api_keys': ['secret'], 'rate_per_s': 5000, 'burst': 5000}],
        'limits': {'tx_idle_ms': 3000},
    }


class Soak:
    """One run.

    :param seed: Source of the schedule; the processes' own timing differs from run to run.
    :param seconds: Length.
    :param count: Instances.
    """

    def __init__(self, seed: int, seconds: float, count: int) -> None:
        self.history = History()
        self.faults: list[str] = []
        self.folder = make_folder()
        self._chance = random.Random(seed)
        self._seconds = seconds
        self._services = [Service('one', self.history), Service('two', self.history)]
        self._platform = Platform(self._services)
        self._count = count
        self._processes: list[Process] = []
        self._down: set[str] = set()

    async def run(self) -> None:
        """Play the run and end every process."""
        for service in self._services:
            await service.start()
        await self._platform.start()
        self._platform.put('op', 'config', _configuration(self._services))
        self._processes = [Process(f'n{number}', self._platform, self.folder) for number in range(self._count)]
        for process in self._processes:
            await process.prepare()
            await process.start()
        tasks = [asyncio.ensure_future(process.watch()) for process in self._processes]
        try:
            tasks.extend(asyncio.ensure_future(caller.run()) for caller in self._callers())
            await asyncio.sleep(_CALM_S)
            await self._harm()
            await asyncio.sleep(_CALM_S)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*(process.end() for process in self._processes))
        if time.monotonic() - self.history.last_served_at > _CALM_S / 2:
            self.history.broken.append('RECOVER: nothing was served at the end')

    def _callers(self) -> list[Caller]:
        return [
            Caller(number, self._services[number % 2].name, self.history, self._processes, self._chance)
            for number in range(4 * self._count)
        ]

    async def _harm(self) -> None:
        until = time.monotonic() + self._seconds
        running: list[asyncio.Task[None]] = []
        kinds = {
            'kill': self._kill,
            'stop': self._stop,
            'pause': self._pause,
            'silent path': self._path,
            'reset path': self._path,
            'rejecting store': self._store,
            'slow store': self._store,
            'lost answers of the store': self._store,
            'primary crashes': self._crash,
            'primary goes dark': self._dark,
            'lost answers of databases': self._lose,
        }
        while time.monotonic() < until:
            kind = self._chance.choice(sorted(kinds))
            for_s = self._chance.uniform(0.5, 4.0)
            self.faults.append(f'{time.monotonic() - until + self._seconds:.1f} {kind} {for_s:.1f}')
            if kind != 'stop':
                self._note_harm()
            running.append(asyncio.ensure_future(kinds[kind](kind, for_s)))
            await asyncio.sleep(self._chance.uniform(*_GAP_S))
        await asyncio.gather(*running)

    def _note_harm(self) -> None:
        for process in self._processes:
            process.harmed_at = time.monotonic()

    def _pick(self) -> Process | None:
        up = [process for process in self._processes if process.name not in self._down]
        return self._chance.choice(up) if up else None

    async def _kill(self, _: str, for_s: float) -> None:
        await self._bounce(for_s, is_planned=False)

    async def _stop(self, _: str, for_s: float) -> None:
        await self._bounce(for_s, is_planned=True)

    async def _bounce(self, for_s: float, *, is_planned: bool) -> None:
        process = self._pick()
        if process is None:
            return
        self._down.add(process.name)
        await (process.stop() if is_planned else process.end())
        await asyncio.sleep(for_s / 2)
        await process.start()
        self._down.discard(process.name)

    async def _pause(self, _: str, for_s: float) -> None:
        process = self._pick()
        if process is None:
            return
        self._down.add(process.name)
        await process.send(signal.SIGSTOP)
        await asyncio.sleep(for_s)
        await process.send(signal.SIGCONT)
        self._down.discard(process.name)
        self._note_harm()

    async def _path(self, kind: str, for_s: float) -> None:
        process = self._chance.choice(self._processes)
        process.proxy.harm(kind.split()[0])
        await asyncio.sleep(for_s)
        process.proxy.harm('pass')
        self._note_harm()

    async def _store(self, kind: str, for_s: float) -> None:
        platform = self._platform
        platform.is_rejecting = kind == 'rejecting store'
        platform.slow_s = 0.3 if kind == 'slow store' else 0.0
        platform.loses_answers = 0.3 if kind == 'lost answers of the store' else 0.0
        await asyncio.sleep(for_s)
        platform.is_rejecting, platform.slow_s, platform.loses_answers = False, 0.0, 0.0
        self._note_harm()

    async def _crash(self, _: str, for_s: float) -> None:
        database = self._chance.choice(self._services).named
        database.crash()
        await asyncio.sleep(for_s)
        if not database.is_up:
            database.is_primary = database.service.named is database
            await database.start()
            database.service.report()
        self._note_harm()

    async def _dark(self, _: str, for_s: float) -> None:
        database = self._chance.choice(self._services).named
        database.is_dark = True
        await asyncio.sleep(for_s)
        database.is_dark = False
        self._note_harm()

    async def _lose(self, _: str, for_s: float) -> None:
        service = self._chance.choice(self._services)
        for database in service.databases:
            database.loses_answers = 0.1
        await asyncio.sleep(for_s)
        for database in service.databases:
            database.loses_answers = 0.0
        self._note_harm()


@click.command()
@click.option('--seconds', default=30.0, show_default=True, help='Length of the part with faults.')
@click.option('--seed', type=int, help='Source of the schedule; a new one each time when left out.')
@click.option('--instances', default=5, show_default=True, help='Processes.')
def main(seconds: float, seed: int | None, instances: int) -> None:
    """Harm real processes and check the promises from what callers and databases see."""
    chosen = seed if seed is not None else random.SystemRandom().randrange(10**6)
    soak = Soak(chosen, seconds, instances)
    asyncio.run(soak.run())
    history = soak.history
    report = {
        'seed': chosen,
        'faults': soak.faults,
        'served': history.served,
        'refused': history.refused,
        'broken': history.broken,
        'logs': str(soak.folder),
    }
    click.echo(json.dumps(report))
    sys.exit(1 if history.broken else 0)


if __name__ == '__main__':
    main()
