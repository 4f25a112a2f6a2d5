"""Runs the soak test: ``python -m features.soak --seconds 60 --seed 3``; ``make soak`` chooses new seeds."""

import asyncio
import contextlib
import functools
import json
import random
import signal
import sys
import time
from typing import Final

import click

from features import odd_entries
from features.soak.callers import (
    ANSWER_TIMEOUT_S,
    TRANSACTION_PAUSE_S,
    BoundedReader,
    Caller,
    TransactionHolder,
)
from features.soak.configuration import BOUNDED_HOST, make_configuration
from features.soak.databases import HOST, Service
from features.soak.history import History
from features.soak.instances import Process, make_folder
from features.soak.odd_answers import Oddity
from features.soak.platform import Platform
from features.soak.rude_callers import RudeCaller

#: Time without faults before and after the part with faults, in seconds: long enough for a power loss and a failover.
#: Callers must have been served during the last half of it.
_FAULT_FREE_S: Final = 8.0

#: Range of the interval between two faults, in seconds. Most faults last longer, so that they overlap.
_FAULT_INTERVAL_S: Final = (0.6, 2.0)

#: Time within which a route must be known everywhere, in seconds; the default of the settings.
_APPLY_S: Final = 5.0

#: Longest wait for a replacement to request its promotion, in seconds.
_REPLACEMENT_S: Final = 8.0

#: Time after which the entry of an isolated database expires, and for which it stays isolated after that, in seconds.
_EXPIRY_S: Final = 3.0
_ISOLATED_S: Final = 5.0

#: Share of the held promotions that are delivered as soon as another one has arrived, and interval of that check in s.
_UNTIL_NEXT_SHARE: Final = 0.5
_CHECK_INTERVAL_S: Final = 0.005

#: Number of transactions that stay open.
_TRANSACTIONS: Final = 6

#: Number of keys under which another writer leaves entries.
_ODD_KEYS: Final = 8

#: Interval between checks for processes that have ended, in seconds.
_WATCH_INTERVAL_S: Final = 0.2


class Soak:
    """One run of the soak test.

    :param seed: Seed of the fault schedule; the timing of the processes still differs from run to run.
    :param seconds: Length of the part with faults.
    :param count: Number of instances.
    """

    def __init__(self, seed: int, seconds: float, count: int) -> None:
        self.history = History()
        self.faults: list[str] = []
        self.folder = make_folder()
        self._rng = random.Random(seed)
        # Apart, so that the seeds of the other faults keep their schedules.
        self._odd_rng = random.Random(f'odd {seed}')
        self._version = 1
        self._seconds = seconds
        self._late_rng = random.Random(f'late {seed}')
        self._answers_rng, self._rude_rng = random.Random(f'answers {seed}'), random.Random(f'rude {seed}')
        #: The last one has no callers but those of a replacement under open transactions.
        self._services = [Service(name, self.history) for name in ('one', 'two', 'quiet')]
        self._platform = Platform(self._services)
        self._count = count
        self._processes: list[Process] = []
        self._down: set[str] = set()

    async def run(self) -> None:
        """Run the instances, callers and faults, and kill every process at the end."""
        await self._start_platform()
        for process in self._processes:
            await process.prepare()
            await process.start()
        tasks = [asyncio.ensure_future(process.poll_readiness()) for process in self._processes]
        tasks.append(asyncio.ensure_future(self._watch_processes()))
        try:
            tasks.extend(asyncio.ensure_future(caller.run()) for caller in (*self._callers(), *self._rude_callers()))
            await asyncio.sleep(_FAULT_FREE_S)
            await self._replace_under_transactions()
            await self._hold_promotion()
            await asyncio.gather(
                self._inject_faults(),
                self._inject_odd_events(),
                self._inject_odd_answers(),
                self._hold_promotion(),
                self._replace_under_transactions(),
            )
            await asyncio.sleep(_FAULT_FREE_S - _APPLY_S)
            await self._check_configuration()
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*(process.kill() for process in self._processes))
        if time.monotonic() - self.history.last_served_at > _FAULT_FREE_S / 2:
            self.history.violations.append('RECOVER: nothing was served at the end')

    async def _start_platform(self) -> None:
        for service in self._services:
            await service.start()
        await self._platform.start()
        self._platform.put('op', 'config', make_configuration(self._services))
        self._processes = [Process(f'n{number}', self._platform, self.folder) for number in range(self._count)]

    def _callers(self) -> list[Caller]:
        return [
            Caller(number, self._services[number % 2].name, self.history, self._processes, self._rng)
            for number in range(4 * self._count)
        ]

    def _rude_callers(self) -> list[RudeCaller]:
        databases = (*(service.name for service in self._services[:-1]), BOUNDED_HOST)
        shared = (databases, self.history.requests, self._processes)
        return [RudeCaller(number, *shared, self._rude_rng) for number in range(2 * self._count)]

    async def _inject_faults(self) -> None:
        until = time.monotonic() + self._seconds
        running: list[asyncio.Task[None]] = []
        kinds = {
            'kill': self._kill_instance,
            'stop': self._stop_instance,
            'pause': self._pause_instance,
            'silent path': self._disturb_network,
            'reset path': self._disturb_network,
            'rejecting store': self._disturb_store,
            'slow store': self._disturb_store,
            'lost answers of the store': self._disturb_store,
            'store restored': self._restore_store,
            'primary crashes': self._crash_primary,
            'primary stops responding': self._silence_primary,
            'lost answers of databases': self._lose_database_answers,
        }
        while time.monotonic() < until:
            kind = self._rng.choice(sorted(kinds))
            for_s = self._rng.uniform(0.5, 4.0)
            self.faults.append(f'{time.monotonic() - until + self._seconds:.1f} {kind} {for_s:.1f}')
            if kind != 'stop':
                self._record_fault()
            running.append(asyncio.ensure_future(kinds[kind](kind, for_s)))
            await asyncio.sleep(self._rng.uniform(*_FAULT_INTERVAL_S))
        await asyncio.gather(*running)

    async def _inject_odd_events(self) -> None:
        """Let another writer leave odd entries, change the configuration and silence connections, until the end."""
        until = time.monotonic() + self._seconds
        events = (self._leave_odd_entry, self._change_configuration, self._silence_connections)
        while time.monotonic() < until:
            event = self._odd_rng.choice(events)
            self.faults.append(f'{time.monotonic() - until + self._seconds:.1f} {event.__name__.strip("_")}')
            event()
            await asyncio.sleep(self._odd_rng.uniform(*_FAULT_INTERVAL_S))

    async def _inject_odd_answers(self) -> None:
        """Let the databases of a service answer oddly for a while, again and again until the end."""
        until = time.monotonic() + self._seconds
        while time.monotonic() < until:
            service, oddity = self._answers_rng.choice(self._services[:-1]), self._answers_rng.choice(list(Oddity))
            self.faults.append(f'{time.monotonic() - until + self._seconds:.1f} {service.name}: {oddity.value}')
            self._record_fault()
            await service.answer_oddly(oddity, self._answers_rng.uniform(*_FAULT_INTERVAL_S))
            self._record_fault()
            await asyncio.sleep(self._answers_rng.uniform(*_FAULT_INTERVAL_S) / 2)

    async def _hold_promotion(self) -> None:
        """Hold the paths of an instance to the platform as it requests a promotion, and deliver everything later."""
        seen: asyncio.Future[Process] = asyncio.get_running_loop().create_future()

        def notice(process: Process, chunk: bytes) -> None:
            if chunk.startswith(b'POST /promote') and not seen.done():
                process.hold_paths(is_held=True)
                seen.set_result(process)

        for process in self._processes:
            process.promoter_proxy.on_chunk = functools.partial(notice, process)
        database = self._services[0].current_primary
        database.is_silent = True
        held_s, is_until_next = self._late_rng.uniform(3.0, 6.0), self._late_rng.random() < _UNTIL_NEXT_SHARE
        until = 'the next one' if is_until_next else f'{held_s:.1f} s later'
        self.faults.append(f'a promotion of {database.service.name} is held until {until}')
        with contextlib.suppress(TimeoutError):
            process = await asyncio.wait_for(seen, _REPLACEMENT_S)
            count = self.history.promotion_count()
            release_at = time.monotonic() + held_s
            while time.monotonic() < release_at and not (is_until_next and self.history.promotion_count() > count):
                await asyncio.sleep(_CHECK_INTERVAL_S)
            process.hold_paths(is_held=False)
        database.is_silent = False
        self._record_fault()

    async def _replace_under_transactions(self) -> None:
        """Isolate a primary on which transactions are open, while a replica receives nothing and reads go on."""
        service = self._services[-1]
        primary = service.current_primary
        deaf = next(database for database in service.databases if database is not primary)
        near = max(self._processes, key=lambda process: process.coordinates_since())
        far = self._late_rng.choice([process for process in self._processes if process is not near])
        arguments = (self.history, [near], self._late_rng)
        writer = Caller(0, service.name, self.history, [far], self._late_rng)
        reader = BoundedReader(1, BOUNDED_HOST, *arguments)
        reader.follow(writer.key)
        holders = [TransactionHolder(number, service.name, *arguments) for number in range(2, 2 + _TRANSACTIONS)]
        self.faults.append(f'{primary.name} is isolated under open transactions at {near.name}')
        tasks = [asyncio.ensure_future(reader.run())]
        for holder in holders:
            tasks.append(asyncio.ensure_future(holder.run()))
            # Their statements take turns, so that the position of their target is always recent.
            await asyncio.sleep(TRANSACTION_PAUSE_S / _TRANSACTIONS)
        primary.is_isolated = deaf.is_deaf = True
        await asyncio.sleep(_EXPIRY_S)
        self._platform.delete('servers', primary.name)
        tasks.append(asyncio.ensure_future(writer.run()))
        await asyncio.sleep(_ISOLATED_S)
        primary.is_isolated = deaf.is_deaf = False
        primary.is_primary = service.current_primary is primary
        service.report()
        self._record_fault()
        for task in tasks:
            task.cancel()

    def _leave_odd_entry(self) -> None:
        raw = self._odd_rng.choice(sorted(odd_entries.ENTRIES_BY_NAME.values()))
        self._platform.put_raw('servers', f'odd-{self._odd_rng.randrange(_ODD_KEYS)}', raw)

    def _change_configuration(self) -> None:
        self._version += 1
        configuration = make_configuration(self._services, self._version)
        self._platform.put_raw('op', 'config', odd_entries.with_odd_entries(configuration))

    def _silence_connections(self) -> None:
        self._odd_rng.choice(self._processes).proxy.silence_open()
        self._record_fault()

    async def _check_configuration(self) -> None:
        """Check that a route which is added now is known everywhere in time."""
        self._change_configuration()
        await asyncio.sleep(_APPLY_S)
        for process in self._processes:
            answer = await self._open_session(process, f'added-{self._version}')
            if not answer.startswith('READY'):
                self.history.record_late_route(process.name, answer)

    async def _open_session(self, process: Process, database: str) -> str:
        """:returns: The instance's answer, or why there was none."""
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(HOST, process.callers_port)
                writer.write(f'START {database} secret\r\n'.encode())
                answer = (await reader.readline()).decode().rstrip()
        except OSError as error:
            return repr(error)
        writer.transport.abort()
        return answer

    async def _watch_processes(self) -> None:
        """Report and start again what ends by itself, until cancelled."""
        while True:
            await asyncio.sleep(_WATCH_INTERVAL_S)
            for process in self._processes:
                code = process.exit_code()
                if code is not None:
                    self.history.record_end(process.name, code)
                    await process.start()

    def _record_fault(self) -> None:
        for process in self._processes:
            process.last_fault_at = time.monotonic()

    def _choose_running(self) -> Process | None:
        up = [process for process in self._processes if process.name not in self._down]
        return self._rng.choice(up) if up else None

    async def _kill_instance(self, _: str, for_s: float) -> None:
        await self._restart(for_s, is_planned=False)

    async def _stop_instance(self, _: str, for_s: float) -> None:
        await self._restart(for_s, is_planned=True)

    async def _restart(self, for_s: float, *, is_planned: bool) -> None:
        process = self._choose_running()
        if process is None:
            return
        self._down.add(process.name)
        await (process.stop() if is_planned else process.kill())
        await asyncio.sleep(for_s / 2)
        await process.start()
        self._down.discard(process.name)

    async def _pause_instance(self, _: str, for_s: float) -> None:
        process = self._choose_running()
        if process is None:
            return
        self._down.add(process.name)
        await process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(for_s)
        await process.send_signal(signal.SIGCONT)
        self._down.discard(process.name)
        self._record_fault()

    async def _disturb_network(self, kind: str, for_s: float) -> None:
        process = self._rng.choice(self._processes)
        process.proxy.set_mode(kind.split()[0])
        await asyncio.sleep(for_s)
        process.proxy.set_mode('pass')
        self._record_fault()

    async def _disturb_store(self, kind: str, for_s: float) -> None:
        platform = self._platform
        platform.is_rejecting = kind == 'rejecting store'
        platform.delay_s = 0.3 if kind == 'slow store' else 0.0
        platform.answer_loss_probability = 0.3 if kind == 'lost answers of the store' else 0.0
        await asyncio.sleep(for_s)
        platform.is_rejecting, platform.delay_s, platform.answer_loss_probability = False, 0.0, 0.0
        self._record_fault()

    async def _restore_store(self, _: str, for_s: float) -> None:
        """Let the store be away for a moment and come back from a copy."""
        platform = self._platform
        copy = platform.copy()
        await asyncio.sleep(for_s / 2)
        platform.is_rejecting = True
        await asyncio.sleep(for_s / 2)
        platform.restore(copy)
        platform.is_rejecting = False
        self._record_fault()

    async def _crash_primary(self, _: str, for_s: float) -> None:
        database = self._rng.choice(self._services[:-1]).current_primary
        database.crash()
        await asyncio.sleep(for_s)
        if not database.is_up:
            database.is_primary = database.service.current_primary is database
            await database.start()
            database.service.report()
        self._record_fault()

    async def _silence_primary(self, _: str, for_s: float) -> None:
        database = self._rng.choice(self._services[:-1]).current_primary
        database.is_silent = True
        await asyncio.sleep(for_s)
        database.is_silent = False
        self._record_fault()

    async def _lose_database_answers(self, _: str, for_s: float) -> None:
        service = self._rng.choice(self._services[:-1])
        for database in service.databases:
            database.answer_loss_probability = 0.1
        await asyncio.sleep(for_s)
        for database in service.databases:
            database.answer_loss_probability = 0.0
        self._record_fault()


@click.command()
@click.option('--seconds', default=30.0, show_default=True, help='Length of the part with faults, in seconds.')
@click.option('--seed', type=int, help='Seed of the fault schedule; random by default.')
@click.option('--instances', default=5, show_default=True, help='Number of instances.')
def main(seconds: float, seed: int | None, instances: int) -> None:
    """Inject faults into real processes and check the guarantees from what callers and databases observe."""
    chosen = seed if seed is not None else random.SystemRandom().randrange(10**6)
    soak = Soak(chosen, seconds, instances)
    asyncio.run(soak.run())
    history = soak.history
    report = {
        'seed': chosen,
        'faults': soak.faults,
        'served': history.served,
        'refused': history.refused,
        'tried': dict(sorted(history.requests.tried.items())),
        'broken': history.violations,
        'logs': str(soak.folder),
    }
    click.echo(json.dumps(report))
    sys.exit(1 if history.violations else 0)


if __name__ == '__main__':
    main()
